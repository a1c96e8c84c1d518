"""Stand-ins for what the call server meets: offices, callers, the register, the centre, and their troubles.
They use the same seams as the server, so that they run on real sockets and in virtual time alike."""
