"""Addresses of this process alone."""

import subprocess
import sys
from pathlib import Path

from wellhitch.lab.loopback import allocate_loopback_address, process_loopback_host
from wellhitch.net.transport import is_loopback, split_address

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_an_address_is_given_once_and_never_by_the_system() -> None:
    # Guards against a stranger at a call server's address: what its clients sent was never answered.
    given = [split_address(allocate_loopback_address()) for _ in range(1000)]
    assert len(set(given)) == 1000 and {host for host, _ in given} == {process_loopback_host()}
    assert is_loopback(process_loopback_host())
    first = int(RANGE.read_text().split()[0]) if RANGE.exists() else 32768
    assert all(1024 <= port < first for _, port in given)


def test_another_process_has_another_host() -> None:
    code = "from wellhitch.lab.loopback import process_loopback_host; print(process_loopback_host())"
    other = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert other.stdout.strip() not in ("", process_loopback_host())
