"""Loopback addresses for servers that run in separate processes.

A port that is probed and released can be bound by any other process before its owner listens on it, and messages for
the owner then reach that process. The addresses here are reserved for the calling process: the host address is derived
from its process id, and the ports lie below the range from which the system assigns ephemeral ports.
"""

import os
from itertools import count

FIRST_PORT = 7000
_ports = count(FIRST_PORT)


def process_loopback_host() -> str:
    """Return the loopback host address of this process; no other process of this machine derives the same one."""
    pid = os.getpid()  # at most 22 bits
    return f"127.{64 + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}"


def allocate_loopback_address() -> str:
    """Return `host:port` with a port that was not returned before."""
    return f"{process_loopback_host()}:{next(_ports)}"
