"""Settings: Jsonnet templates, read into typed records and checked as a whole."""
