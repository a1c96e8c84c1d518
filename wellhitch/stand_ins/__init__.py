"""Simulated counterparts of the call server: offices, callers, the register, the centre, and injected faults. They use
the same network interface as the server and run on real sockets and in virtual time."""
