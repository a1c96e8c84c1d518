"""Stand-ins for the cases: callers, offices, discovery, and the process of a call server, on loopback sockets.

Only the standard library is used. Every message that a stand-in reads or writes is kept in the record, with the seconds
since the record began. Offices handle the messages of all their connections in the order in which they arrived, since a
processor has one line.
"""

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NUMBER = "7f3a9c21e0b4d6"  # the number called, without its last two digits
LOG_LINES = 300  # of the call server's log, from its beginning and from its end, in the record
SLACK_S = 0.05  # by which every time limit is longer on sockets
STATES = {"up": 0, "draining": 1, "removed": 2}


class Record:
    """What was sent, answered and run, in order of time; written to `record.txt` at the end."""

    def __init__(self) -> None:
        self._began = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._began

    def add(self, who: str, text: str) -> float:
        """Add one line; its time is returned."""
        now = self.now()
        self._lines.append(f"{now:9.4f} {who:<10} {text}")
        return now

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")


def free_port() -> int:
    """A port at which nothing listens now, outside the range from which outgoing connections get theirs."""
    while True:
        port = random.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            return port


def settings() -> dict[str, Any]:
    """The settings of the wire page's example, with the probes that the site allows and four exchanges."""
    classes = [("balance-check", 9, 1.5, 1.0, 0.25), ("card-lock", 6, 1.2, 6.0, 0.25)]
    classes.append(("loan-simulation", 9, 1.5, 3.0, 0.1))
    second = 1_000_000_000
    return {
        "balancers": 4,
        "callers": {"marks_retry": False},
        "classes": [
            {
                "name": name,
                "deadline_ns": deadline * second,
                "objective_ns": int(target * second),
                "importance": value,
                "late_value": late,
                "group": "all",
                "memory_span_ns": 5 * second,
                "semantics": "retryable",
                "stream": True,
            }
            for name, deadline, target, value, late in classes
        ],
        "deductions": {"probe": 0.004, "peer": 0.0091, "waste": 0.16, "late_fail": 0.05},
        "discovery": "push",
        "family": "trunks",
        "family_info": {
            "centre_advises": True,
            "circuits_by_class": [1, 1, 1],
            "class_hold_ns": [11_900_000_000, 9_600_000_000, 14_300_000_000],
            "clear_wait_ns": second // 5,
            "far_state": "silent",
            "self_no": 0,
            "skilled_pools": [],
            "t1_ns": 0,
            "tells_wait": False,
            "topology": "meshed",
        },
        "goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
        "kinds": ["single-core"],
        "limits": {
            "connect_timeout_ns": second // 2,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 300_000,
            "idle_close_ns": 600 * second,
            "max_open": 20_000,
            "max_retry_after_ns": 2 * second,
            "may_cancel": True,
            "may_duplicate": False,
            "most_tries": 5,
            "multiplex": 1_048_576,
            "peer_messages": True,
            "probes": True,
            "retry_after": False,
        },
        "ordinal": 0,
        "over_share_worth": 0.1,
        "report": {"names": ["spare", "total"], "source": "pull"},
        "resolution_ns": 5_000_000,
        "rules": {
            "ask_within_ns": 10 * second,
            "cold_from": 0.33,
            "cold_ns": 15 * second,
            "drain_grace_ns": second // 4,
            "fall_multiple": 2.5,
            "grace_to_answer_ns": 20_000_000,
            "tip_after_ns": 2 * second,
        },
        "stages": ["chat-exchanges"],
        "tenants": [],
        "tier": 0,
        "weights": "silent",
        "worth_by": "request",
        "zone": "recife",
        "zones": ["recife", "fortaleza", "salvador", "sao-luis"],
    }


# ---- offices ----


class OfficeLink(asyncio.Protocol):
    """One connection from the call server to an office."""

    def __init__(self, office: "Office") -> None:
        self.office = office
        self.transport: asyncio.Transport | None = None
        self._buffered = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.office.links.append(self)
        self.office.record.add(self.office.name, "connection accepted")
        self.office.report(self)
        self.office.send_releases_again(self)

    def data_received(self, data: bytes) -> None:
        *parts, self._buffered = (self._buffered + data).split(b"\n")
        for part in parts:
            if part.strip():
                self.office.line_read(self, json.loads(part))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self in self.office.links:
            self.office.links.remove(self)
        self.office.record.add(self.office.name, "connection ended")
        self.office.link_ended(self)

    def write(self, message: dict[str, Any]) -> bool:
        """Write one line; False where the connection is gone."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")
        return True


class Office:
    """An office: set-ups become calls, which end after `hold_s`. `refuse` may return a cause and a note for a set-up
    that the processor looks at. `wait_s` is how long a message waits in the processor's line."""

    def __init__(self, record: Record, number: int, hold_s: float = 10) -> None:
        self.record, self.number, self.hold_s = record, number, hold_s
        self.id, self.name = f"s-{0x41C07A00 + number:08x}", f"office-{number}"
        self.port = free_port()
        # Of the group to the call server's exchange: those free without the calls of this one, and all.
        self.circuits = (90, 90)
        self.work_s, self.wait_s = 0.012, 0.0
        self.refuse: Callable[[str], tuple[int, str] | None] = lambda ref: None
        self.links: list[OfficeLink] = []
        self.open: dict[str, OfficeLink] = {}  # set-ups that wait for their answer
        self.calls: dict[str, OfficeLink] = {}
        self.set_ups: list[tuple[float, str]] = []  # read from the sockets
        self.answers: list[tuple[float, str]] = []  # `up` and `down` before it, as written
        self.given_up: list[tuple[float, str]] = []  # read from the sockets, before or after the answer
        self.ended: dict[str, float] = {}  # calls that have ended here, and when
        self._released: dict[str, dict[str, Any]] = {}
        self._line_free_at = 0.0
        self._set_up_count = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """host:port."""
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: OfficeLink(self), "127.0.0.1", self.port)

    def refuse_connections(self) -> None:
        """Accept no new connections; open ones stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def reset_links(self) -> None:
        """Reset every open connection. No connection owns a call that stands."""
        for link in list(self.links):
            if link.transport is not None:
                sock = link.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                link.transport.abort()

    def die(self) -> None:
        """The process dies: connections are reset, calls are cut, and new connections are refused."""
        self.record.add(self.name, "process dies")
        self.refuse_connections()
        for ref in list(self.calls):
            self.ended[ref] = self.record.add(self.name, f"call {ref} is cut")
        self.calls.clear()
        self.open.clear()
        self._released.clear()
        self.reset_links()

    def report(self, link: OfficeLink) -> None:
        """Send the state of the trunk group to the call server's exchange."""
        load = f"spare:{max(0, self.circuits[0] - len(self.calls))};total:{self.circuits[1]}"
        link.write({"t": "gauge", "ref": "0" * 16, "f": {"load": load}})

    def send_releases_again(self, link: OfficeLink) -> None:
        """Send the releases of ended calls on a new connection too."""
        for ref, release in self._released.items():
            self.record.add(self.name, f"down {ref} c={release['c']} (again)")
            link.write(release)
        self._released.clear()

    def line_read(self, link: OfficeLink, message: dict[str, Any]) -> None:
        """Note a message as read, and give it to the processor, which has one line."""
        kind, ref = message["t"], message["ref"]
        if kind == "hb":
            link.write({"t": "hb_ok", "ref": ref, "f": {}, "c": 1})
            return
        now = self.record.add(self.name, f"read {kind} {ref} {message['f']} c={message.get('c')}")
        (self.set_ups if kind == "new" else self.given_up).append((now, ref))
        if kind == "new":
            self.open[ref] = link
        loop = asyncio.get_running_loop()
        self._line_free_at = max(self._line_free_at, loop.time() + self.wait_s) + self.work_s
        loop.call_at(self._line_free_at, self._look_at, link, message)

    def _look_at(self, link: OfficeLink, message: dict[str, Any]) -> None:
        ref = message["ref"]
        if message["t"] == "down":
            self.open.pop(ref, None)
            if self.calls.pop(ref, None) is not None:
                self.ended[ref] = self.record.add(
                    self.name, f"call {ref} is cut by the call server's release"
                )
            else:
                self.record.add(self.name, f"release of {ref} handled: no call of that id stands")
            link.write({"t": "ack", "ref": ref, "f": {}})
            self.report(link)
            return
        if link.transport is None:
            return  # a connection that is closed gives up its set-ups
        refusal = self.refuse(ref)
        if refusal is not None:
            cause, note = refusal
            self.open.pop(ref, None)
            self.answers.append((self.record.add(self.name, f"down {ref} c={cause} note={note}"), ref))
            link.write({"t": "down", "ref": ref, "f": {"note": note}, "c": cause})
            return
        self._set_up_count += 1
        description = f"c=IN IP4 127.0.7.{self.number}\r\nm=audio {31000 + self._set_up_count} RTP/AVP 0\r\n"
        self.open.pop(ref, None)
        self.calls[ref] = link
        self.answers.append((self.record.add(self.name, f"up {ref} {description!r}"), ref))
        link.write({"t": "up", "ref": ref, "f": {}, "d": description})
        self.report(link)
        asyncio.get_running_loop().call_later(self.hold_s, self._end_call, ref, link)

    def _end_call(self, ref: str, link: OfficeLink) -> None:
        if self.calls.get(ref) is not link:
            return
        del self.calls[ref]
        self.ended[ref] = self.record.add(self.name, f"down {ref} c=16: the call has come to its end")
        release = {"t": "down", "ref": ref, "f": {}, "c": 16}
        self._released[ref] = release  # also on the next connection
        for other in [link, *self.links]:
            if other.write(release):
                self.report(other)
                return

    def link_ended(self, link: OfficeLink) -> None:
        """Give up the set-ups that are open on a connection that has ended."""
        for ref in [ref for ref, owner in self.open.items() if owner is link]:
            del self.open[ref]
            self.answers.append((self.record.add(self.name, f"set-up {ref} given up: connection ended"), ref))


# ---- discovery ----


class Board:
    """The notice board: numbered events, the first of which holds the whole list. All that it sends comes `delay_s`
    late, on new connections too."""

    def __init__(self, record: Record, offices: list[Office]) -> None:
        self.record, self.offices = record, offices
        self.port = free_port()
        self.events: list[list[dict[str, Any]]] = [[self.entry(office, "up", 0) for office in offices]]
        self.delay_s = 0.0
        self._writers: dict[asyncio.StreamWriter, int] = {}

    @staticmethod
    def entry(office: Office, state: str, started_ms: int) -> dict[str, Any]:
        """One office, as `known` has it."""
        return {
            "id": office.id,
            "addr": office.address,
            "zone": "recife",
            "kind": "single-core",
            "cell": office.number,
            "state": state,
            "weight": 1,
            "started_ms": started_ms,
        }

    def known(self) -> dict[str, Any]:
        """The events up to now, as the configuration keeps them."""
        notices = [
            {"rev": index, "pool": {"version": index, "full": index == 1, "servers": entries}}
            for index, entries in enumerate(self.events, 1)
        ]
        return {"rev": len(notices), "notices": notices}

    async def listen(self) -> None:
        """Accept connections from call servers."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def tell(self, office: Office, state: str, started_ms: int) -> None:
        """Add an event and send it on all connections."""
        self.events.append([self.entry(office, state, started_ms)])
        self.record.add("board", f"event {len(self.events)}: {office.name} {state} started_ms={started_ms}")
        for writer in self._writers:
            self._send_later_events(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heartbeats = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self._writers[writer] = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.record.add("board", f"asked for what follows event {self._writers[writer]}")
            heartbeats = asyncio.create_task(self._send_heartbeats(writer))
            await reader.read()
        if heartbeats is not None:
            heartbeats.cancel()
            self.record.add("board", "the call server has closed a connection")
        self._writers.pop(writer, None)
        writer.close()

    async def _send_heartbeats(self, writer: asyncio.StreamWriter) -> None:
        while True:
            self._send_later_events(writer)
            self._write(writer, struct.pack(">IQB", 9, len(self.events), 0))
            await asyncio.sleep(1)

    def _send_later_events(self, writer: asyncio.StreamWriter) -> None:
        for number in range(self._writers[writer] + 1, len(self.events) + 1):
            payload = b"".join(self._packed(entry) for entry in self.events[number - 1])
            kind = 1 if number == 1 else 2
            self._write(writer, struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
        self._writers[writer] = len(self.events)

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        """Write a frame, `delay_s` after it is due."""
        if not self.delay_s:
            writer.write(frame)
            return

        def write_late() -> None:
            if writer in self._writers:
                writer.write(frame)

        asyncio.get_running_loop().call_later(self.delay_s, write_late)

    @staticmethod
    def _packed(entry: dict[str, Any]) -> bytes:
        host, _, port = entry["addr"].rpartition(":")
        return struct.pack(
            ">I4sHBBBHIQ",
            int(entry["id"][2:], 16),
            socket.inet_aton(host),
            int(port),
            STATES[entry["state"]],
            0,
            0,
            entry["cell"],
            1000,
            entry["started_ms"],
        )


# ---- callers ----


class Caller:
    """A caller with one connection to the call server, which carries many calls."""

    def __init__(self, record: Record, name: str = "caller") -> None:
        self.record, self.name = record, name
        self.answers: dict[str, list[tuple[float, int, str]]] = {}
        self.releases: dict[str, list[float]] = {}
        self.closed_at: float | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self, address: str) -> None:
        """Open the connection."""
        host, _, port = address.rpartition(":")
        reader, self._writer = await asyncio.open_connection(host, int(port))
        self._task = asyncio.create_task(self._read(reader))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    def set_up(self, call: str, deadline_ms: int, attributes: str, tier: str = "balance-check") -> None:
        """Send a set-up."""
        body = f"{call}\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        headers = f"X-Tier: {tier}\r\nX-Deadline: {deadline_ms}\r\nX-Attrs: {attributes}\r\n"
        self.record.add(self.name, f"INVITE {call} {tier} {deadline_ms} ms {attributes}")
        self._send("INVITE", call, 1, headers, body)

    def hang_up(self, call: str) -> None:
        """Release a call that stands."""
        self.record.add(self.name, f"BYE {call}")
        self._send("BYE", call, 2, "Reason: Q.850;cause=16\r\n")

    def _send(self, method: str, call: str, cseq: int, headers: str, body: str = "") -> None:
        if self._writer is None or self.closed_at is not None:
            raise CouldNotRun(f"the connection of {self.name} is not up")
        address = f"sip:{NUMBER}{call[-2:]}@net" if method == "INVITE" else "sip:call@net"
        self._writer.write(
            (
                f"{method} {address} SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\n"
                f"CSeq: {cseq} {method}\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.rstrip("\r\n").split("\r\n")
                headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines}
                body = (await reader.readexactly(int(headers["content-length"]))).decode()
                self._received(first, headers, body)
        self.closed_at = self.record.add(self.name, "connection ended")

    def _received(self, first: str, headers: dict[str, str], body: str) -> None:
        call, cseq = headers.get("call-id", ""), headers.get("cseq", "")
        now = self.record.add(self.name, f"received {first} {call} [{cseq}] {body!r}")
        if first.startswith("BYE "):
            self.releases.setdefault(call, []).append(now)
            assert self._writer is not None
            self._writer.write(
                f"SIP/2.0 200 OK\r\nVia: {headers.get('via', '')}\r\nCall-ID: {call}\r\n"
                f"CSeq: {cseq}\r\nContent-Length: 0\r\n\r\n".encode()
            )
        elif first.startswith("SIP/2.0 ") and cseq.endswith("INVITE"):
            status = int(first.split()[1])
            if status >= 200:
                self.answers.setdefault(call, []).append((now, status, body))
                self._send("ACK", call, 1, "")


async def passes_test(address: str, within_s: float) -> bool:
    """Whether the call server passes a test, as the front makes one after its start."""
    host, _, port = address.rpartition(":")
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP front\r\nCall-ID: 00000000000000aa\r\n"
                    b"CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
        await asyncio.sleep(0.1)
    return False


# ---- the call server ----


class CallServer:
    """A call server as the platform runs it: `run` of the deploy file, from the root, by /bin/sh."""

    def __init__(self, record: Record, board: Board) -> None:
        self.record, self.board = record, board
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.address = f"127.0.0.1:{free_port()}"
        self.settings = settings()
        self.sockets, self.memory_mb = 1024, 192
        self.process: subprocess.Popen[bytes] | None = None
        self._starts = 0

    def write_configuration(self, known: dict[str, Any] | None = None) -> Path:
        """Replace the configuration file."""
        path = self.folder / "config.json"
        new = path.with_suffix(".new")
        configuration = {
            "name": "n0",
            "listen": self.address,
            "seed": f"{0x8C1F30D27A5BE964 + self._starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "peer_listen": "",
            "peers": [],
            "peers_all": "",
            "board": f"127.0.0.1:{self.board.port}",
            "known": known or self.board.known(),
            "settings": self.settings,
        }
        new.write_text(json.dumps(configuration))
        new.replace(path)
        return path

    async def start(self) -> None:
        """Start the process and wait until it passes a test."""
        self._starts += 1
        path = self.write_configuration()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "LB_NAME": "n0",
            "LB_LISTEN": self.address,
            "LB_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
            )
        self.record.add("platform", f"call server started, process {self.process.pid}")
        if not await passes_test(self.address, 20):
            raise CouldNotRun("the call server did not pass a test within 20 s")
        self.record.add("platform", "the call server passes a test")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.add("platform", f"{number.name} to the call server")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process outright, and wait for its end."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    def stop(self) -> None:
        """Kill the process, copy its log into the record, and remove its folder."""
        if self.process is not None:
            if self.process.poll() is not None:
                self.record.add("platform", f"the call server has ended: {self.process.returncode}")
            self.process.kill()
            self.process.wait()
        log = self.folder / "log.txt"
        if log.exists():
            lines = [
                line
                for line in log.read_text(errors="replace").splitlines()
                if '"event":"status"' not in line
            ]
            for line in lines[:LOG_LINES]:
                self.record.add("log", line)
            if len(lines) > 2 * LOG_LINES:
                self.record.add("log", f"... {len(lines) - 2 * LOG_LINES} lines left out")
            for line in lines[max(LOG_LINES, len(lines) - LOG_LINES) :]:
                self.record.add("log", line)
        shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not be set up; nothing is known of the rule."""


def main(case: Callable[[Record], Any], folder: Path) -> None:
    """Run a case, write its record and its verdict, and exit with the status that belongs to the verdict."""
    record = Record()
    record.add("case", f"trouble: {'yes' if TROUBLE else 'no'}")

    async def run() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        for number in (
            signal.SIGTERM,
            signal.SIGINT,
        ):  # so that a case that is stopped ends its processes too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110):
            faults: list[str] = await case(record)
            return faults

    try:
        faults = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add("case", f"could not run: {error!r}")
        record.write(folder / "record.txt")
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    for fault in faults:
        record.add("case", f"RULE BROKEN: {fault}")
        print(f"rule broken: {fault}")
    if not faults:
        record.add("case", "the rule held")
        print("the rule held")
    record.write(folder / "record.txt")
    sys.exit(BROKEN if faults else HELD)
