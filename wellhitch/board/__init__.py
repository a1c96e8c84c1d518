"""The discovery protocol of the operators' platform: the list of offices as binary frames and as JSON, without I/O."""
