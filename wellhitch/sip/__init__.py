"""SIP over TCP as callers on the operators' platform speak it: bytes to messages and back, sans-I/O."""
