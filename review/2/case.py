"""Bad clients name calls that no office knows; each one is kept for good, until the memory limit is reached."""

import asyncio
import contextlib
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

MEMORY_MB = 192  # the most that a scored day allows
BAD_CLIENTS = 3  # at the same time: hundreds of set-ups at once, of all of them together
SET_UPS = 300  # of one bad client
RUNS_S = 100.0


def memory_mb(process: int) -> float:
    """Resident memory of a process; 0 where it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{process}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def bad_client(address: str, office_id: str, ids: "itertools.count[int]", sent: list[int]) -> None:
    """Clients one after another: each sends hundreds of set-ups with ids that no office knows, reads what is sent to
    it, and closes its connection."""
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            for number in itertools.islice(ids, SET_UPS):
                body = "c=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0\r\n"
                writer.write(
                    (
                        f"INVITE sip:{rig.NUMBER}55@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {number:016x}\r\n"
                        "CSeq: 1 INVITE\r\nX-Tier: balance-check\r\nX-Deadline: 1500\r\n"
                        f"X-Attrs: dest:1;width:1;via:-1;at:{office_id}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n{body}"
                    ).encode()
                )
            await writer.drain()
            sent[0] += SET_UPS
            writer.write_eof()
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()


async def case(record: rig.Record) -> list[str]:
    offices = [rig.Office(record, number, hold_s=10) for number in range(4)]
    for office in offices:
        await office.listen()
    board = rig.Board(record, offices)
    await board.listen()
    server = rig.CallServer(record, board)
    server.memory_mb = MEMORY_MB
    caller = rig.Caller(record)
    sent, tasks, faults = [0], [], list[str]()
    try:
        await server.start()
        await caller.connect(server.address)
        assert server.process is not None
        if rig.TROUBLE:
            ids = itertools.count(0x5BF0_0000_0000_0000)
            tasks = [
                asyncio.create_task(bad_client(server.address, offices[1].id, ids, sent))
                for _ in range(BAD_CLIENTS)
            ]
        for step in itertools.count():
            if record.now() > RUNS_S:
                break
            if caller.closed_at is None:
                caller.set_up(
                    f"{0x9B1F_03AA_0000_0000 + step:016x}", 3000, f"dest:{1 + step % 3};width:1;via:-1"
                )
            memory = memory_mb(server.process.pid)
            if step % 10 == 0:
                record.add("platform", f"memory {memory:.0f} MB of {MEMORY_MB}; bad set-ups sent: {sent[0]}")
            if memory > MEMORY_MB:
                record.add("platform", f"memory {memory:.0f} MB of {MEMORY_MB}: the call server is killed")
                server.process.kill()
                faults.append(
                    f"the call server went over its memory limit and was killed at {record.now():.1f} s, after "
                    f"{sent[0]} set-ups of bad clients"
                )
                break
            if server.process.poll() is not None:
                faults.append(f"the call server ended by itself: {server.process.returncode}")
                break
            await asyncio.sleep(0.2)
        return faults
    finally:
        for task in tasks:
            task.cancel()
        caller.close()
        server.stop()


rig.main(case, Path(__file__).resolve().parent)
