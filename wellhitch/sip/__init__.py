"""The part of SIP over TCP that callers on the operators' platform use, without I/O."""
