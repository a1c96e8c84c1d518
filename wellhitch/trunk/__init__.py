"""The trunk protocol: frames, their codec, the protocol state of a connection, and the circuits that both ends
count."""
