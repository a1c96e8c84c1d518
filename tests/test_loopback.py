"""Loopback addresses that are reserved for one process."""

import subprocess
import sys
from pathlib import Path

from wellhitch.lab.loopback import allocate_loopback_address, process_loopback_host
from wellhitch.net.transport import is_loopback, split_address

EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_addresses_are_unique_and_outside_the_ephemeral_port_range() -> None:
    # Guards against another process that binds a call server's address and never answers that server's clients.
    addresses = [split_address(allocate_loopback_address()) for _ in range(1000)]
    assert len(set(addresses)) == 1000 and {host for host, _ in addresses} == {process_loopback_host()}
    assert is_loopback(process_loopback_host())
    first_ephemeral_port = (
        int(EPHEMERAL_PORT_RANGE.read_text().split()[0]) if EPHEMERAL_PORT_RANGE.exists() else 32768
    )
    assert all(1024 <= port < first_ephemeral_port for _, port in addresses)


def test_another_process_gets_another_host_address() -> None:
    code = "from wellhitch.lab.loopback import process_loopback_host; print(process_loopback_host())"
    other = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert other.stdout.strip() not in ("", process_loopback_host())
