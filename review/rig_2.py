"""Stand-ins for the review's second set of cases: clients, endpoints and discovery on loopback sockets, and the call
server as a process that is started with `run` of the deploy file. Only the standard library is used.

Each case records what its stand-ins sent and received in `record.txt`. The stand-ins follow the operators' protocol
page; where it is silent they act as a sound client, endpoint or platform.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
UP, DRAINING, GONE = 0, 1, 2
STATE_NAMES = ("up", "draining", "removed")
READY_S = 30.0  # the longest time to readiness that the operators allow
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not be carried out as planned."""


class Record:
    """The file `record.txt` of a case: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, who: str, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started:8.3f} {who:14} {text}\n")
        self.file.flush()


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Site(NamedTuple):
    """The figures of one deployment's site file that bear on the cases; times in milliseconds."""

    release_wait_ms: int
    drain_grace_ms: int
    most_tries: int
    probes: bool
    cold_from: float
    fall_ms: int


NORDESTE_CHAT = Site(200, 250, 5, True, 0.33, 2000)
CARIRI_RURAL = Site(300, 1000, 4, False, 0.29, 1000)


def settings(
    cell: int, classes: dict[str, float], site: Site = NORDESTE_CHAT, servers: int = 2
) -> dict[str, Any]:
    """Settings in the platform's form; `classes` gives the deadline of each class in seconds."""
    return {
        "balancers": servers,
        "classes": [
            {
                "name": name,
                "importance": 1.0,
                "late_value": 0.25,
                "objective_ns": int(deadline * 5e8),
                "deadline_ns": int(deadline * 1e9),
                "semantics": "retryable",
                "group": "all",
            }
            for name, deadline in classes.items()
        ],
        "family_info": {
            "self_no": cell,
            "topology": "meshed",
            "clear_wait_ns": site.release_wait_ms * 1_000_000,
            "class_hold_ns": [12_000_000_000] * len(classes),
            "circuits_by_class": [1] * len(classes),
        },
        "limits": {
            "most_tries": site.most_tries,
            "max_open": 20000,
            "connect_timeout_ns": 500_000_000,
            "may_cancel": True,
            "probes": site.probes,
        },
        "rules": {
            "drain_grace_ns": site.drain_grace_ms * 1_000_000,
            "cold_from": site.cold_from,
            "cold_ns": 15_000_000_000,
            "fall_multiple": 2.5,
            "tip_after_ns": site.fall_ms * 1_000_000,
        },
    }


class Entry:
    """One entry of discovery."""

    def __init__(self, office_id: str, address: str, cell: int, state: int = UP, started_ms: int = 0) -> None:
        self.office_id, self.address, self.cell = office_id, address, cell
        self.state, self.started_ms = state, started_ms

    def record(self) -> bytes:
        """The entry as 31 bytes on the wire: id, address, port, state, zone, kind, cell, weight, start."""
        host, _, port = self.address.rpartition(":")
        return struct.pack(
            ">I4sHBBBHIQ",
            int(self.office_id[2:], 16),
            socket.inet_aton(host),
            int(port),
            self.state,
            0,
            0,
            self.cell,
            1000,
            self.started_ms,
        )

    def json(self) -> dict[str, Any]:
        """The entry in the form of the configuration."""
        return {
            "id": self.office_id,
            "addr": self.address,
            "zone": "east",
            "kind": "std",
            "cell": self.cell,
            "state": STATE_NAMES[self.state],
            "weight": 1,
            "started_ms": self.started_ms,
        }


class Board:
    """Discovery: events with numbers from 1, sent in order to each connection, and an empty frame each second."""

    def __init__(self, rig: "Rig") -> None:
        self.rig, self.events = rig, list[list[Entry]]()
        self.writers: dict[asyncio.StreamWriter, int] = {}
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.rig.listeners.append(server)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def publish(self, *entries: Entry) -> None:
        """Add an event, and tell it on every connection at once."""
        self.events.append(list(entries))
        for entry in entries:
            self.rig.record(
                "board",
                f"event {len(self.events)}: {entry.office_id} cell {entry.cell} at {entry.address} "
                f"{STATE_NAMES[entry.state]}",
            )
        for writer in list(self.writers):
            self._send_later_events(writer)

    def known(self) -> dict[str, Any]:
        """The events so far in the form of the configuration."""
        return {
            "rev": len(self.events),
            "notices": [
                {
                    "rev": number,
                    "pool": {
                        "version": number,
                        "full": number == 1,
                        "servers": [e.json() for e in event],
                    },
                }
                for number, event in enumerate(self.events, 1)
            ],
        }

    def _send_later_events(self, writer: asyncio.StreamWriter) -> None:
        for number in range(self.writers[writer] + 1, len(self.events) + 1):
            payload = b"".join(entry.record() for entry in self.events[number - 1])
            writer.write(struct.pack(">IQB", 9 + len(payload), number, 1 if number == 1 else 2) + payload)
            self.writers[writer] = number

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rig.writers.append(writer)
        try:
            self.writers[writer] = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.rig.record("board", f"asked for the events after {self.writers[writer]}")
            self._send_later_events(writer)
            while not writer.is_closing():
                writer.write(struct.pack(">IQB", 9, self.writers[writer], 0))
                await asyncio.sleep(1.0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()


class OfficeConnection:
    """One connection from the call server to an office."""

    def __init__(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.number, self.reader, self.writer, self.open = number, reader, writer, True

    def write(self, line: dict[str, Any]) -> None:
        """Write one line."""
        if self.open:
            self.writer.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")

    def reset(self) -> None:
        """Reset the connection; nothing that waits in it is read."""
        self.open = False
        reset(self.writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Handler = Callable[[OfficeConnection, dict[str, Any]], Awaitable[bool]]


class Office:
    """An endpoint. `attempts` are the set-ups that are out, `standing` the calls that stand, each with the connection
    of its set-up. `on_new` and `on_down` are asked first about a line; they return True where nothing more is to be
    done with it."""

    def __init__(self, rig: "Rig", office_id: str, cell: int, answer_after_s: float = 0.02) -> None:
        self.rig, self.id, self.cell, self.answer_after_s = rig, office_id, cell, answer_after_s
        self.connections: dict[OfficeConnection, None] = {}
        self.attempts: dict[str, OfficeConnection] = {}
        self.standing: dict[str, OfficeConnection] = {}
        self.received: list[tuple[float, str]] = []
        self.down_at: dict[str, float] = {}  # when the call server's release of a call was read
        self.on_new: Handler | None = None
        self.on_down: Handler | None = None
        self.address = ""
        # Releases of calls that ended here: each goes out also on the next connection that is opened.
        self.for_next_connection: list[dict[str, Any]] = []
        self._accepted = 0
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.rig.listeners.append(self._server)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def die(self) -> None:
        """The process ends: connections are reset, calls are cut, and new connections are refused."""
        assert self._server is not None
        self._server.close()
        self.rig.record(self.id, f"process ends; calls cut: {', '.join(self.standing) or 'none'}")
        self.attempts.clear()
        self.standing.clear()
        for connection in list(self.connections):
            connection.reset()

    def entry(self, state: int = UP, started_ms: int = 0) -> Entry:
        """The entry of discovery."""
        return Entry(self.id, self.address, self.cell, state, started_ms)

    def answer(self, call_id: str, on: OfficeConnection | None = None) -> None:
        """Answer a set-up, unless it is over or came on another connection than `on`: the call stands."""
        connection = self.attempts.get(call_id)
        if connection is None or not connection.open or (on is not None and on is not connection):
            return
        del self.attempts[call_id]
        self.standing[call_id] = connection
        self.rig.record(self.id, f"up {call_id} on connection {connection.number}: it stands")
        connection.write({"t": "up", "ref": call_id, "f": {}, "d": f"{self.id} {call_id}\r\n"})

    def end(self, call_id: str, cause: int = 16) -> None:
        """End a call that stands: the release goes out on the connection of its set-up, else on any open one."""
        connection = self.standing.pop(call_id)
        if not connection.open and self.connections:
            connection = next(iter(self.connections))
        self.rig.record(self.id, f"down {call_id} cause {cause} on connection {connection.number}")
        release = {"t": "down", "ref": call_id, "f": {}, "c": cause}
        self.for_next_connection.append(release)
        connection.write(release)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._accepted += 1
        self.rig.writers.append(writer)
        connection = OfficeConnection(self._accepted, reader, writer)
        self.connections[connection] = None
        self.rig.record(self.id, f"connection {connection.number} is open")
        for release in self.for_next_connection:
            self.rig.record(self.id, f"down {release['ref']} also on connection {connection.number}")
            connection.write(release)
        self.for_next_connection.clear()
        try:
            while line := await reader.readline():
                await self._read(connection, json.loads(line))
        except (OSError, ValueError):
            pass
        finally:
            connection.open = False
            self.connections.pop(connection, None)
            given_up = [ref for ref, owner in self.attempts.items() if owner is connection]
            for ref in given_up:
                del self.attempts[ref]
            self.rig.record(
                self.id,
                f"connection {connection.number} is over; set-ups given up: {', '.join(given_up) or 'none'}",
            )
            writer.close()

    async def _read(self, connection: OfficeConnection, line: dict[str, Any]) -> None:
        kind, ref = line["t"], line.get("ref", "")
        if kind == "new":
            self.received.append((time.monotonic(), ref))
            self.rig.record(
                self.id,
                f"got new {ref} for {line['f']['key']} on connection {connection.number}, "
                f"left {line['f']['left']}",
            )
            if self.on_new is not None and await self.on_new(connection, line):
                return
            self.attempts[ref] = connection
            asyncio.get_running_loop().call_later(self.answer_after_s, self.answer, ref, connection)
        elif kind == "down":
            if self.on_down is not None and await self.on_down(connection, line):
                return
            self.down_at[ref] = time.monotonic()
            state = "stood" if ref in self.standing else "was out" if ref in self.attempts else "unknown"
            self.rig.record(
                self.id, f"got down {ref} cause {line.get('c')} on connection {connection.number}: {state}"
            )
            self.standing.pop(ref, None)
            self.attempts.pop(ref, None)
        elif kind == "hb":
            connection.write({"t": "hb_ok", "ref": ref, "f": {}, "c": 1})


class Client:
    """One client with one connection to a call server at a time. It knows the calls that it set up itself. A release of
    any other call is answered with 481, as SIP has it, or not at all."""

    def __init__(self, rig: "Rig", name: str, address: str, answers_unknown: bool = True) -> None:
        self.rig, self.name, self.address = rig, name, address
        self.answers_unknown = answers_unknown
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.final: dict[str, asyncio.Future[tuple[int, str]]] = {}
        self.standing: dict[str, str] = {}  # call id -> description
        self.released: dict[str, float] = {}  # calls whose release came, and when
        self.bye_answered: dict[str, float] = {}
        self.ended = False  # the latest connection is over
        self._task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Open a connection."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.rig.writers.append(self.writer)
        self.ended = False
        self.rig.record(self.name, "connected")
        self._task = asyncio.create_task(self._read(self.reader, self.writer))
        self.rig.tasks.append(self._task)

    def reset(self) -> None:
        """The connection is reset by the network."""
        assert self.writer is not None
        self.rig.record(self.name, "its connection is reset")
        reset(self.writer)

    def invite(
        self, call_id: str, dest: int, deadline_ms: int, tier: str = "voice", extra: str = ""
    ) -> "asyncio.Future[tuple[int, str]]":
        """Send a set-up; the result is the status and the description of the final answer."""
        body = f"{call_id}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        future = self.final[call_id] = asyncio.get_running_loop().create_future()
        self._send(
            f"INVITE sip:{call_id}@net SIP/2.0\r\nVia: SIP/2.0/TCP {self.name}\r\nCall-ID: {call_id}\r\n"
            f"CSeq: 1 INVITE\r\nX-Tier: {tier}\r\nX-Deadline: {deadline_ms}\r\n"
            f"X-Attrs: dest:{dest};width:1;via:-1{extra}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        )
        self.rig.record(self.name, f"INVITE {call_id} to exchange {dest}, deadline {deadline_ms} ms{extra}")
        return future

    def bye(self, call_id: str) -> None:
        """Hang up a call that stands."""
        self.standing.pop(call_id, None)
        self._request("BYE", call_id, "Reason: Q.850;cause=16\r\n")

    def cancel(self, call_id: str) -> None:
        """Give a set-up up."""
        self._request("CANCEL", call_id)

    def _request(self, method: str, call_id: str, headers: str = "") -> None:
        self._send(
            f"{method} sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP {self.name}\r\nCall-ID: {call_id}\r\n"
            f"CSeq: 2 {method}\r\n{headers}Content-Length: 0\r\n\r\n"
        )
        self.rig.record(self.name, f"{method} {call_id}")

    def _send(self, text: str) -> None:
        assert self.writer is not None
        self.writer.write(text.encode())

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                body = (await reader.readexactly(int(headers["content-length"]))).decode()
                self._message(head[0], headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.ended = True
            self.rig.record(self.name, "its connection is over")

    def _message(self, start: str, headers: dict[str, str], body: str, writer: asyncio.StreamWriter) -> None:
        call_id, cseq = headers.get("call-id", ""), headers.get("cseq", "")
        if start.startswith("BYE"):
            known = call_id in self.standing or call_id in self.released
            status = "200 OK" if known else "481 Call/Transaction Does Not Exist"
            if known:
                self.released.setdefault(call_id, time.monotonic())
                self.standing.pop(call_id, None)
            elif not self.answers_unknown:
                self.rig.record(self.name, f"got BYE {call_id}, a call that it doesn't know")
                return
            self.rig.record(self.name, f"got BYE {call_id}, answers {status[:3]}")
            writer.write(
                f"SIP/2.0 {status}\r\nVia: {headers.get('via', '')}\r\nCall-ID: {call_id}\r\n"
                f"CSeq: {cseq}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        status_code = int(start.split(" ")[1])
        self.rig.record(self.name, f"got {status_code} to {cseq.partition(' ')[2]} {call_id}")
        if status_code < 200:
            return
        if cseq.endswith("BYE"):
            self.bye_answered[call_id] = time.monotonic()
        elif cseq.endswith("INVITE"):
            if status_code == 200:
                self.standing[call_id] = body
            self._request("ACK", call_id)
            future = self.final.get(call_id)
            if future is not None and not future.done():
                future.set_result((status_code, body))


class CallServer:
    """One call server, started with `run` of the deploy file."""

    def __init__(
        self, rig: "Rig", name: str, cell: int, server_settings: dict[str, Any], board: Board
    ) -> None:
        self.rig, self.name, self.cell, self.settings, self.board = rig, name, cell, server_settings, board
        self.address = f"{HOST}:{free_port()}"
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = rig.folder / f"{name}.log"
        self._starts = 0

    def write_configuration(self, sockets: int = 256) -> Path:
        """Replace the configuration file."""
        self._starts += 1
        path = self.rig.folder / f"{self.name}.json"
        content = {
            "name": self.name,
            "listen": self.address,
            "seed": f"{0x8C1F30D27A5BE964 + self._starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "peer_listen": "",
            "peers": [],
            "peers_all": "",
            "board": self.board.address,
            "known": self.board.known(),
            "settings": self.settings,
        }
        new = path.with_suffix(".new")
        new.write_text(json.dumps(content))
        new.replace(path)
        return path

    async def start(self, sockets: int = 256) -> None:
        """Start the process and wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.write_configuration(sockets)
        environment = os.environ | {
            "LB_NAME": self.name,
            "LB_LISTEN": self.address,
            "LB_CONFIG": str(path),
            "TMPDIR": str(self.rig.folder),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.rig.processes.append(self.process)
        self.rig.record(self.name, "started")
        deadline = time.monotonic() + READY_S
        while self.log_path.read_bytes().count(b'"event":"listening"') < self._starts:
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise NotRunError("the call server did not become ready")
            await asyncio.sleep(0.05)
        self.rig.record(self.name, "is ready")

    def log_lines(self, *events: str) -> list[dict[str, Any]]:
        """The lines of its log with these events."""
        lines = []
        for text in self.log_path.read_text(errors="replace").splitlines():
            if text.startswith("{"):
                line = json.loads(text)
                if line.get("event") in events:
                    lines.append(line)
        return lines


class Rig:
    """Everything that one case starts, and ends again."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.listeners: list[asyncio.Server] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.processes: list[subprocess.Popen[bytes]] = []

    async def close_sockets(self) -> None:
        """Close what the stand-ins have open."""
        for listener in self.listeners:
            listener.close()
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()
        await asyncio.sleep(0.05)

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Wait for a condition. Raises NotRunError where it does not hold in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise NotRunError(f"waited {timeout_s} s in vain: {what}")
        await asyncio.sleep(0.01)


async def established(future: "asyncio.Future[tuple[int, str]]", what: str) -> None:
    """Wait until a set-up is answered with 200. Raises NotRunError otherwise."""
    status, _ = await asyncio.wait_for(future, 10)
    if status != 200:
        raise NotRunError(f"{what} was answered {status}")


def main(folder: Path, case: Callable[[Rig], Awaitable[list[str]]]) -> None:
    """Run a case, which returns what broke the rule, and exit with its result."""
    rig = Rig(folder)
    result = NOT_RUN

    def stopped(number: int, frame: object) -> None:
        rig.record("verdict", f"stopped by signal {number}")
        rig.close()
        os._exit(NOT_RUN)

    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signal_number, stopped)
    try:

        async def limited() -> list[str]:
            try:
                async with asyncio.timeout(110):
                    return await case(rig)
            finally:
                await rig.close_sockets()

        broken = asyncio.run(limited())
        for text in broken:
            rig.record("verdict", f"broken: {text}")
        result = BROKEN if broken else HELD
        rig.record("verdict", f"{'broken' if broken else 'held'}, TROUBLE={int(TROUBLE)}")
        print("\n".join(broken) or "held")
    except Exception as error:  # a defect of the case is no verdict either
        rig.record("verdict", f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        rig.close()
    sys.exit(result)
