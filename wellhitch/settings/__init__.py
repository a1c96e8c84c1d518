"""Settings: Jsonnet templates that are read into typed records and checked as a whole."""
