"""Plays one attack on a call server process, with usual clients beside it: their answers and the process's memory.

python -m wellhitch.lab.crowd ATTACK CLIENTS SECONDS
"""

import asyncio
import contextlib
import json
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wellhitch.lab.crowd.attack import Attack, set_up
from wellhitch.lab.loopback import allocate_loopback_address
from wellhitch.lab.trials.process import CallServer
from wellhitch.lab.trials.records import Records

OFFICE_ID = "s-00000001"
OFFICE_ANSWERS_AFTER_S = 0.02
MEMORY_LIMIT_MB = 192
MAX_DESCRIPTORS = 1024
SERVER_SEED = 0x8C1F30D27A5BE964
READY_S = 30.0
DEADLINE_MS = 3000
TARGET_LATENCY_S = 1.5
USUAL_INTERVAL_S = 0.02  # between the set-ups of the usual clients
USUAL_CONNECTIONS = 10
SET_UPS_BEFORE_ATTACK = 25
WAIT_FOR_LAST_ANSWERS_S = 3.2
KILL_AFTER_S = 5.0
HANG_S = 3600.0
CLOSE_S = 0.1  # until the stand-ins have closed their connections


def settings() -> dict[str, Any]:
    """The call server's settings, in the form in which the platform writes them."""
    return {
        "balancers": 1,
        "classes": [
            {
                "name": "voice",
                "importance": 1.0,
                "late_value": 0.25,
                "objective_ns": int(TARGET_LATENCY_S * 1e9),
                "deadline_ns": DEADLINE_MS * 1_000_000,
                "semantics": "retryable",
                "group": "all",
            }
        ],
        "family_info": {
            "self_no": 0,
            "topology": "meshed",
            "clear_wait_ns": 200_000_000,
            "class_hold_ns": [12_000_000_000],
            "circuits_by_class": [1],
        },
        "limits": {"most_tries": 5, "max_open": 20000, "connect_timeout_ns": 500_000_000, "may_cancel": True},
        "rules": {"drain_grace_ns": 250_000_000, "cold_from": 1.0},
    }


@dataclass
class Office:
    """An office that answers every set-up, or reads nothing if it `hangs`. `attempts` has how often each set-up came,
    by Call-ID."""

    hangs: bool = False
    address: str = field(default_factory=allocate_loopback_address)
    attempts: Counter[str] = field(default_factory=Counter)

    async def start(self) -> asyncio.Server:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            if self.hangs:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(HANG_S)
            while line := await reader.readline():
                message = json.loads(line)
                if message["t"] == "new":
                    self.attempts[message["ref"]] += 1
                    answer = {"t": "up", "ref": message["ref"], "f": {}, "d": "office"}
                    loop.call_later(OFFICE_ANSWERS_AFTER_S, _write_line, writer, answer)
                elif message["t"] == "hb":
                    _write_line(writer, {"t": "hb_ok", "ref": message["ref"], "f": {}, "c": 1})
        except OSError:
            pass
        finally:
            writer.transport.abort()


def _write_line(writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
    if not writer.is_closing():
        writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")


@dataclass
class Answers:
    """The answers to the usual clients: latency in seconds by status, and how many set-ups have none."""

    latencies: list[float] = field(default_factory=list)
    statuses: dict[int, int] = field(default_factory=dict)
    sent: int = 0

    @property
    def missing(self) -> int:
        """How many set-ups were not answered."""
        return self.sent - len(self.latencies)

    @property
    def late(self) -> int:
        """How many answers came after the target latency."""
        return sum(latency > TARGET_LATENCY_S for latency in self.latencies)

    def quantile(self, share: float) -> float:
        """A quantile of the latency in seconds."""
        ordered = sorted(self.latencies) or [0.0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class UsualClients:
    """Clients on a few connections, each of which sets up a call and ends it at once."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._sent_at: dict[str, float] = {}
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.answers = Answers()

    async def run(self, set_ups: int) -> None:
        """Send set-ups at a steady rate."""
        first = self.answers.sent
        for number in range(first, first + set_ups):
            await self.send(0xA << 60 | number)
            await asyncio.sleep(USUAL_INTERVAL_S)

    async def send(self, call_id: int) -> None:
        """Send one set-up."""
        writer = await self._writer(self.answers.sent % USUAL_CONNECTIONS)
        self._sent_at[f"{call_id:016x}"] = asyncio.get_running_loop().time()
        self.answers.sent += 1
        writer.write(set_up(call_id, deadline_ms=DEADLINE_MS))

    def close(self) -> None:
        """Close the connections."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _writer(self, index: int) -> asyncio.StreamWriter:
        if index >= len(self._writers) or self._writers[index].is_closing():
            reader, writer = await asyncio.open_connection(self._host, self._port)
            self._writers[index : index + 1] = [writer]
            self._tasks.append(asyncio.create_task(self._read(reader, writer)))
        return self._writers[index]

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                await reader.readexactly(int(headers["content-length"]))
                if head[0].startswith("SIP/2.0") and headers["cseq"].endswith("invite"):
                    self._answered(headers["call-id"], int(head[0].split()[1]), writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def _answered(self, call_id: str, status: int, writer: asyncio.StreamWriter) -> None:
        sent_at = self._sent_at.pop(call_id, None)
        if status < 200 or sent_at is None:
            return
        self.answers.latencies.append(asyncio.get_running_loop().time() - sent_at)
        self.answers.statuses[status] = self.answers.statuses.get(status, 0) + 1
        if status == 200:
            writer.write(
                f"BYE sip:peer@net SIP/2.0\r\nCall-ID: {call_id}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n".encode()
            )


class ServerProcess:
    """A call server process as the platform starts it."""

    def __init__(self, folder: Path, office: Office, discovery: str) -> None:
        self.listen = allocate_loopback_address()
        self._server = CallServer(
            "n0", 0, self.listen, folder, Records(), settings(), MAX_DESCRIPTORS, MEMORY_LIMIT_MB
        )
        path = self._server.write_configuration(discovery, _known_updates(office), SERVER_SEED)
        self._server.start(path, 0.0)
        assert self._server.process is not None
        self.process = self._server.process

    async def ready(self) -> None:
        """Wait until the process listens. Raises TimeoutError."""
        host, _, port = self.listen.rpartition(":")
        async with asyncio.timeout(READY_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.05)
                else:
                    writer.close()
                    return

    @property
    def running(self) -> bool:
        """Whether the process is alive."""
        return self._server.running

    def peak_memory_mb(self) -> float:
        """The most memory that was resident."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0

    def pause(self) -> None:
        """Stop the process for a time."""
        self._server.pause()

    def resume(self) -> None:
        """Let the process go on."""
        self._server.resume()

    def stop(self) -> None:
        """End the process."""
        self._server.terminate(0.0)
        try:
            self.process.wait(KILL_AFTER_S)
        except subprocess.TimeoutExpired:
            self._server.kill(0.0)


def _known_updates(office: Office) -> dict[str, object]:
    """The first update of discovery, which lists one office."""
    entry = {
        "id": OFFICE_ID,
        "addr": office.address,
        "zone": "east",
        "kind": "std",
        "cell": 1,
        "state": "up",
        "weight": 1,
        "started_ms": 0,
    }
    return {"rev": 1, "notices": [{"rev": 1, "pool": {"version": 1, "full": True, "servers": [entry]}}]}


async def _heartbeats(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Discovery that has nothing new."""
    try:
        while not writer.is_closing():
            writer.write((9).to_bytes(4, "big") + (1).to_bytes(8, "big") + b"\0")
            await writer.drain()
            await asyncio.sleep(1)
    except OSError:
        pass
    finally:
        writer.transport.abort()


@dataclass(frozen=True)
class Outcome:
    """What a play showed."""

    answers: Answers
    peak_memory_mb: float
    survived: bool

    def __str__(self) -> str:
        answers = self.answers
        return (
            f"answers {answers.statuses}, missing {answers.missing}, late {answers.late}; latency in ms: "
            f"median {1000 * answers.quantile(0.5):.0f}, 99% {1000 * answers.quantile(0.99):.0f}, "
            f"most {1000 * answers.quantile(1.0):.0f}; peak memory {self.peak_memory_mb:.0f} MB"
            f"{'' if self.survived else '; the call server ended'}"
        )


@dataclass(frozen=True)
class CallServerAndOffice:
    """A call server process, and the only office it knows."""

    server: ServerProcess
    office: Office

    @classmethod
    @contextlib.asynccontextmanager
    async def started(cls, folder: Path, hangs: bool = False) -> AsyncIterator["CallServerAndOffice"]:
        """Start both and discovery, and stop them in the end; the office `hangs`. Raises TimeoutError where the process
        is not ready in time."""
        office, discovery = Office(hangs=hangs), allocate_loopback_address()
        office_server = await office.start()
        host, _, port = discovery.rpartition(":")
        discovery_server = await asyncio.start_server(_heartbeats, host, int(port))
        server = ServerProcess(folder, office, discovery)
        try:
            await server.ready()
            yield cls(server, office)
        finally:
            server.stop()
            office_server.close()
            discovery_server.close()
            await asyncio.sleep(CLOSE_S)


async def play(attack: Attack, clients: int, seconds: float, seed: int, hangs: bool = False) -> Outcome:
    """Start a call server, load it for some seconds, and send it usual set-ups meanwhile. Its office `hangs`."""
    with tempfile.TemporaryDirectory() as folder:
        async with CallServerAndOffice.started(Path(folder), hangs) as played:
            server = played.server
            usual = UsualClients(server.listen)
            await usual.run(SET_UPS_BEFORE_ATTACK)
            command = [sys.executable, "-m", "wellhitch.lab.crowd.attack", attack.value, server.listen]
            crowd = subprocess.Popen([*command, str(clients), str(seconds), str(seed)])
            try:
                await usual.run(int(seconds / USUAL_INTERVAL_S))
                await asyncio.sleep(WAIT_FOR_LAST_ANSWERS_S)
            finally:
                crowd.kill()
                crowd.wait()
                usual.close()
            return Outcome(usual.answers, server.peak_memory_mb() if server.running else 0.0, server.running)
