"""The notice board of the operators' platform: the list of offices as frames and as JSON, sans-I/O."""
