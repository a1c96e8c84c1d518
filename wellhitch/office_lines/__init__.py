"""The JSON lines that offices on the operators' platform speak: bytes to messages and back, sans-I/O."""
