"""The platform's call server as a process on loopback: what it imports, its configuration, its signals."""

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from wellhitch.lab.loopback import allocate_loopback_address
from wellhitch.net.transport import split_address
from wellhitch.platform.configuration import read_configuration
from wellhitch.settings.checked import InvalidSettings
from wellhitch.sip import codec as sip
from wellhitch.stand_ins.platform import bodyless_request, invite

NOT_IMPORTED = ("lark", "apsw", "matplotlib", "_jsonnet", "structlog", "prometheus_client", "hdrh", "blake3")
TIMEOUT_S = 60  # far more than any step takes, so that a slow machine fails no test


def configuration_file(**over: Any) -> dict[str, Any]:
    """A configuration as the platform writes it."""
    row = {
        "addr": "127.0.0.1:9",
        "cell": 0,
        "id": "s-00000000",
        "state": "up",
        "started_ms": 0,
        "weight": 1.0,
    }
    configuration = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "peer_listen": "",
        "peers": [],
        "peers_all": "",
        "board": "127.0.0.1:9",
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"full": True, "version": 0, "servers": [row]}}]},
        "settings": {
            "balancers": "3",
            "classes": [
                {
                    "name": "cheap",
                    "importance": "1.0",
                    "late_value": 0.25,
                    "objective_ns": "380000000",
                    "deadline_ns": 3000000000,
                    "semantics": "retryable",
                    "group": "all",
                }
            ],
            "family_info": {
                "self_no": 0,
                "topology": "meshed",
                "clear_wait_ns": 100000000,
                "class_hold_ns": [1],
            },
            "limits": {
                "most_tries": 5,
                "max_open": 20000,
                "connect_timeout_ns": 500000000,
                "may_cancel": True,
            },
            "rules": {
                "drain_grace_ns": 250000000,
                "cold_from": 0.33,
                "cold_ns": 15000000000,
                "fall_multiple": 2.5,
            },
        },
    }
    configuration.update(over)
    return configuration


def write_configuration(folder: Path, value: Any) -> str:
    path = folder / "config.json"
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return str(path)


# ---- configuration ----


def test_configuration_is_read_and_numbers_may_be_text(tmp_path: Path) -> None:
    configuration = read_configuration(write_configuration(tmp_path, configuration_file()))
    assert (
        configuration.server_started.seed == 0x8C1F30D27A5BE964
        and configuration.server_started.topology.peer_count == 2
    )
    assert (
        configuration.server_started.traffic_classes[0].target_latency == 380_000
        and configuration.connect_timeout_us == 500_000
    )
    assert configuration.revision == 1 and configuration.known_updates[0].entries[0].id == "s-00000000"


def _settings(**over: Any) -> dict[str, Any]:
    return configuration_file()["settings"] | over


INVALID: list[tuple[Any, str]] = [
    ("", "config.json: not JSON"),
    (json.dumps(configuration_file())[:200], "config.json: not JSON"),
    ("[]", r"config.json: the file = \[\]"),
    (configuration_file(listen=5), "listen = 5"),
    (configuration_file(listen="localhost:1"), "listen = 'localhost:1'"),
    (configuration_file(listen="127.0.0.1"), "listen = '127.0.0.1'"),
    (configuration_file(board="board.example:8500"), "board = 'board.example:8500'"),
    (configuration_file(seed="not hex"), "seed = 'not hex'"),
    (configuration_file(limits={"sockets": 3}), "limits.sockets = 3"),
    (configuration_file(limits={"sockets": "many"}), "limits.sockets = 'many'"),
    (configuration_file(peers=["nowhere"]), r"peers\[0\] = 'nowhere'"),
    (configuration_file(settings=_settings(classes=[])), "settings.classes"),
    (
        configuration_file(settings=_settings(classes=[{"name": "a", "deadline_ns": "x"}])),
        r"settings.classes\[0\].deadline_ns = 'x'",
    ),
    (configuration_file(settings=_settings(rules={"cold_ns": []})), r"settings.rules.cold_ns = \[\]"),
    (configuration_file(known={"rev": 1}), "notices"),
]


@pytest.mark.parametrize(("value", "message"), INVALID)
def test_configuration_error_is_one_line_with_file_field_and_value(
    tmp_path: Path, value: Any, message: str
) -> None:
    with pytest.raises(InvalidSettings, match=message) as caught:
        read_configuration(write_configuration(tmp_path, value))
    assert len(caught.value.errors) == 1 and str(tmp_path) in str(caught.value)


# ---- the process ----


def environment(path: str | None) -> dict[str, str]:
    kept = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    return kept if path is None else kept | {"LB_CONFIG": path}


@pytest.mark.parametrize("path", [None, "/nowhere/config.json"])
def test_missing_configuration_file_exits_with_status_2_and_one_line(path: str | None) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "wellhitch", "platform"],
        env=environment(path),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and "Traceback" not in done.stderr


def test_platform_command_imports_only_what_it_needs(tmp_path: Path) -> None:
    code = (
        "import sys; sys.argv=['wellhitch','platform']; import wellhitch.cli.main as m; "
        "m.main.get_command(None,'platform'); import wellhitch.platform.service; "
        f"print([n for n in {NOT_IMPORTED!r} if n in sys.modules], "
        "sorted(n for n in sys.modules if n.startswith(('wellhitch.server','wellhitch.hooks','wellhitch.ledger'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=TIMEOUT_S)
    assert done.stdout.split() == ["[]", "[]"], done.stdout + done.stderr


class Process:
    """One call server on loopback, and a discovery socket that only listens."""

    def __init__(self, folder: Path, max_files: int = 256) -> None:
        self.discovery = socket.create_server(("127.0.0.1", 0))
        listen = allocate_loopback_address()
        self.address = split_address(listen)
        self.configuration_file = configuration_file(
            listen=listen,
            board=f"127.0.0.1:{self.discovery.getsockname()[1]}",
            limits={"cores": 1.0, "memory_mb": 64, "sockets": max_files},
        )
        self.path = write_configuration(folder, self.configuration_file)
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.run = subprocess.Popen(
                [sys.executable, "-m", "wellhitch", "platform"],
                env=environment(self.path),
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_files, max_files)),
            )
        self.until("listening")

    def lines(self, event: str) -> list[dict[str, Any]]:
        return [
            one for line in self.log.read_text().splitlines() if (one := json.loads(line))["event"] == event
        ]

    def until(self, event: str) -> dict[str, Any]:
        for _ in range(TIMEOUT_S * 50):
            found = self.lines(event)
            if found:
                return found[-1]
            assert self.run.poll() is None or event == "stopped", self.log.read_text()
            time.sleep(0.02)
        raise AssertionError(f"no {event}: {self.log.read_text()}")

    def ask(self, data: bytes) -> sip.Response:
        with socket.create_connection(self.address, timeout=TIMEOUT_S) as link:
            link.sendall(data)
            decoder = sip.Decoder()
            while True:
                got = decoder.feed(link.recv(65536))
                if got:
                    assert isinstance(got[0], sip.Response)
                    return got[0]

    def end(self) -> None:
        if self.run.poll() is None:
            self.run.kill()
        self.run.wait()
        self.discovery.close()


def test_process_serves_reloads_on_sighup_and_ends_on_sigterm(tmp_path: Path) -> None:
    process = Process(tmp_path)
    try:
        assert process.ask(bodyless_request("OPTIONS", "0000000000000001")).status == 200
        assert (
            process.until("startup_objects_frozen")["objects"] > 5_000
        )  # kept out of later garbage collections
        assert process.ask(invite("9b1f03aa5c7e2d41", 1)).status == 503  # no office is known
        with socket.create_server(("127.0.0.1", 0)) as moved:
            address = f"127.0.0.1:{moved.getsockname()[1]}"
            Path(process.path).write_text(json.dumps(process.configuration_file | {"board": address})[:100])
            process.run.send_signal(signal.SIGHUP)
            process.until("configuration_refused")
            assert not process.lines("discovery_moved")
            Path(process.path).write_text(json.dumps(process.configuration_file | {"board": address}))
            process.run.send_signal(signal.SIGHUP)
            assert process.until("discovery_moved")["address"] == address
            moved.settimeout(TIMEOUT_S)
            taken, _ = moved.accept()
            taken.settimeout(TIMEOUT_S)
            assert taken.recv(8) == (1).to_bytes(8, "big")
            taken.close()
        process.run.send_signal(signal.SIGTERM)
        process.until("stopping")
        assert process.run.wait(TIMEOUT_S) == 0
        assert not process.lines("loop_fault")
    finally:
        process.end()


def test_hundreds_of_connections_never_exhaust_the_descriptors(tmp_path: Path) -> None:
    process = Process(tmp_path)
    try:
        silent = [socket.create_connection(process.address, timeout=TIMEOUT_S) for _ in range(400)]
        assert process.ask(bodyless_request("OPTIONS", "0000000000000001")).status == 200
        for one in silent:
            one.close()
        assert not process.lines("loop_fault")
    finally:
        process.end()


def test_address_in_use_exits_with_status_1_and_one_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = write_configuration(tmp_path, configuration_file(listen=f"127.0.0.1:{taken.getsockname()[1]}"))
        done = subprocess.run(
            [sys.executable, "-m", "wellhitch", "platform"],
            env=environment(path),
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    assert done.returncode == 1 and "cannot listen" in done.stderr and "Traceback" not in done.stderr


@pytest.mark.parametrize("max_files", [160, 256])
def test_bursts_of_lasting_connections_never_exhaust_the_descriptors(tmp_path: Path, max_files: int) -> None:
    """Each connection of a burst passes a health check and stays open, so that each of the next burst evicts one."""
    process = Process(tmp_path, max_files)
    opened = []
    try:
        for _ in range(3):
            crowd = [socket.create_connection(process.address, timeout=TIMEOUT_S) for _ in range(250)]
            for one in crowd:
                with contextlib.suppress(OSError):
                    one.sendall(bodyless_request("OPTIONS", "0000000000000002"))
            opened += crowd
            time.sleep(0.6)  # long enough for the connections to count as unused
        assert process.ask(bodyless_request("OPTIONS", "0000000000000001")).status == 200
        assert not process.lines("loop_fault")
    finally:
        process.end()
        for one in opened:
            one.close()
