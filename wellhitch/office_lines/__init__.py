"""The JSON lines protocol of the offices on the operators' platform, without I/O."""
