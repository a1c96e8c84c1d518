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

from wellhitch.lab.loopback import own_address
from wellhitch.net.seam import split
from wellhitch.platform.configuration import read_configuration
from wellhitch.settings.checked import Faults
from wellhitch.sip import codec as sip
from wellhitch.stand_ins.platform import invite, plain

NOT_FOR_RUN = ("lark", "apsw", "matplotlib", "_jsonnet", "structlog", "prometheus_client", "hdrh", "blake3")
PATIENCE = 60  # s; far over what anything here takes, so that a slow machine changes no verdict


def sheet(**over: Any) -> dict[str, Any]:
    """A configuration as the platform writes it."""
    row = {
        "addr": "127.0.0.1:9",
        "cell": 0,
        "id": "s-00000000",
        "state": "up",
        "started_ms": 0,
        "weight": 1.0,
    }
    made = {
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
    made.update(over)
    return made


def put(folder: Path, value: Any) -> str:
    path = folder / "config.json"
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return str(path)


# ---- configuration ----


def test_a_configuration_is_read_and_figures_may_be_text(tmp_path: Path) -> None:
    told = read_configuration(put(tmp_path, sheet()))
    assert told.opened.seed == 0x8C1F30D27A5BE964 and told.opened.topology.peer_count == 2
    assert told.opened.traffic_classes[0].target_latency == 380_000 and told.connect_within == 500_000
    assert told.number == 1 and told.known[0].rows[0].id == "s-00000000"


def _settings(**over: Any) -> dict[str, Any]:
    return sheet()["settings"] | over


WRONG: list[tuple[Any, str]] = [
    ("", "config.json: not JSON"),
    (json.dumps(sheet())[:200], "config.json: not JSON"),
    ("[]", r"config.json: the file = \[\]"),
    (sheet(listen=5), "listen = 5"),
    (sheet(listen="localhost:1"), "listen = 'localhost:1'"),
    (sheet(listen="127.0.0.1"), "listen = '127.0.0.1'"),
    (sheet(board="board.example:8500"), "board = 'board.example:8500'"),
    (sheet(seed="not hex"), "seed = 'not hex'"),
    (sheet(limits={"sockets": 3}), "limits.sockets = 3"),
    (sheet(limits={"sockets": "many"}), "limits.sockets = 'many'"),
    (sheet(peers=["nowhere"]), r"peers\[0\] = 'nowhere'"),
    (sheet(settings=_settings(classes=[])), "settings.classes"),
    (
        sheet(settings=_settings(classes=[{"name": "a", "deadline_ns": "x"}])),
        r"settings.classes\[0\].deadline_ns = 'x'",
    ),
    (sheet(settings=_settings(rules={"cold_ns": []})), r"settings.rules.cold_ns = \[\]"),
    (sheet(known={"rev": 1}), "notices"),
]


@pytest.mark.parametrize(("value", "said"), WRONG)
def test_a_wrong_configuration_is_one_line_with_file_field_and_value(
    tmp_path: Path, value: Any, said: str
) -> None:
    with pytest.raises(Faults, match=said) as caught:
        read_configuration(put(tmp_path, value))
    assert len(caught.value.lines) == 1 and str(tmp_path) in str(caught.value)


# ---- the process ----


def environment(path: str | None) -> dict[str, str]:
    kept = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    return kept if path is None else kept | {"LB_CONFIG": path}


@pytest.mark.parametrize("path", [None, "/nowhere/config.json"])
def test_without_a_file_it_ends_with_two_and_one_line(path: str | None) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "wellhitch", "platform"],
        env=environment(path),
        capture_output=True,
        text=True,
        timeout=PATIENCE,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and "Traceback" not in done.stderr


def test_run_imports_only_what_it_needs(tmp_path: Path) -> None:
    code = (
        "import sys; sys.argv=['wellhitch','platform']; import wellhitch.cli.main as m; "
        "m.main.get_command(None,'platform'); import wellhitch.platform.service; "
        f"print([n for n in {NOT_FOR_RUN!r} if n in sys.modules], "
        "sorted(n for n in sys.modules if n.startswith(('wellhitch.server','wellhitch.hooks','wellhitch.ledger'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=PATIENCE)
    assert done.stdout.split() == ["[]", "[]"], done.stdout + done.stderr


class Process:
    """One call server on loopback, and a board that only listens."""

    def __init__(self, folder: Path, most_files: int = 256) -> None:
        self.board = socket.create_server(("127.0.0.1", 0))
        listen = own_address()
        self.address = split(listen)
        self.sheet = sheet(
            listen=listen,
            board=f"127.0.0.1:{self.board.getsockname()[1]}",
            limits={"cores": 1.0, "memory_mb": 64, "sockets": most_files},
        )
        self.path = put(folder, self.sheet)
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.run = subprocess.Popen(
                [sys.executable, "-m", "wellhitch", "platform"],
                env=environment(self.path),
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most_files, most_files)),
            )
        self.until("listening")

    def lines(self, event: str) -> list[dict[str, Any]]:
        return [
            one for line in self.log.read_text().splitlines() if (one := json.loads(line))["event"] == event
        ]

    def until(self, event: str) -> dict[str, Any]:
        for _ in range(PATIENCE * 50):
            found = self.lines(event)
            if found:
                return found[-1]
            assert self.run.poll() is None or event == "stopped", self.log.read_text()
            time.sleep(0.02)
        raise AssertionError(f"no {event}: {self.log.read_text()}")

    def ask(self, data: bytes) -> sip.Response:
        with socket.create_connection(self.address, timeout=PATIENCE) as link:
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
        self.board.close()


def test_the_process_serves_follows_a_hangup_and_ends_by_itself(tmp_path: Path) -> None:
    process = Process(tmp_path)
    try:
        assert process.ask(plain("OPTIONS", "0000000000000001")).status == 200
        assert process.until("startup_objects_frozen")["objects"] > 5_000  # no work for later collections
        assert process.ask(invite("9b1f03aa5c7e2d41", 1)).status == 503  # nobody is there to be called
        with socket.create_server(("127.0.0.1", 0)) as moved:
            address = f"127.0.0.1:{moved.getsockname()[1]}"
            Path(process.path).write_text(json.dumps(process.sheet | {"board": address})[:100])
            process.run.send_signal(signal.SIGHUP)
            process.until("configuration_refused")
            assert not process.lines("discovery_moved")
            Path(process.path).write_text(json.dumps(process.sheet | {"board": address}))
            process.run.send_signal(signal.SIGHUP)
            assert process.until("discovery_moved")["address"] == address
            moved.settimeout(PATIENCE)
            taken, _ = moved.accept()
            taken.settimeout(PATIENCE)
            assert taken.recv(8) == (1).to_bytes(8, "big")
            taken.close()
        process.run.send_signal(signal.SIGTERM)
        process.until("stopping")
        assert process.run.wait(PATIENCE) == 0
        assert not process.lines("loop_fault")
    finally:
        process.end()


def test_hundreds_of_connections_never_bring_it_to_its_descriptors_limit(tmp_path: Path) -> None:
    process = Process(tmp_path)
    try:
        silent = [socket.create_connection(process.address, timeout=PATIENCE) for _ in range(400)]
        assert process.ask(plain("OPTIONS", "0000000000000001")).status == 200
        for one in silent:
            one.close()
        assert not process.lines("loop_fault")
    finally:
        process.end()


def test_an_address_in_use_ends_it_with_one_and_a_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = put(tmp_path, sheet(listen=f"127.0.0.1:{taken.getsockname()[1]}"))
        done = subprocess.run(
            [sys.executable, "-m", "wellhitch", "platform"],
            env=environment(path),
            capture_output=True,
            text=True,
            timeout=PATIENCE,
        )
    assert done.returncode == 1 and "cannot listen" in done.stderr and "Traceback" not in done.stderr


@pytest.mark.parametrize("most_files", [160, 256])
def test_crowds_that_speak_once_and_stay_never_bring_it_to_its_descriptors_limit(
    tmp_path: Path, most_files: int
) -> None:
    """Each connection of a crowd passes a test and stays: every one of the next crowd puts one out."""
    process = Process(tmp_path, most_files)
    opened = []
    try:
        for _ in range(3):
            crowd = [socket.create_connection(process.address, timeout=PATIENCE) for _ in range(250)]
            for one in crowd:
                with contextlib.suppress(OSError):
                    one.sendall(plain("OPTIONS", "0000000000000002"))
            opened += crowd
            time.sleep(0.6)  # quiet for longer than a connection in use may be
        assert process.ask(plain("OPTIONS", "0000000000000001")).status == 200
        assert not process.lines("loop_fault")
    finally:
        process.end()
        for one in opened:
            one.close()
