"""Loopback addresses for parties that are started in processes of their own.

A port that was probed and let go may be taken by any process before its owner listens there, and what is sent to it
then reaches a stranger. These belong to this process: at a host address of its own, below the ports that systems give
out.
"""

import os
from itertools import count

FIRST_PORT = 7000
_ports = count(FIRST_PORT)


def process_loopback_host() -> str:
    """A loopback address that no other process of this machine gets here."""
    pid = os.getpid()  # 22 bits at most
    return f"127.{64 + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}"


def allocate_loopback_address() -> str:
    """host:port, another one each time."""
    return f"{process_loopback_host()}:{next(_ports)}"
