"""A call ends while its call server shuts down and its client's connection has been reset. See `claim.txt`."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig_2 import (  # noqa: E402
    CARIRI_RURAL,
    TROUBLE,
    Board,
    CallServer,
    Client,
    Office,
    Rig,
    established,
    main,
    settings,
)

KILL_S = 3.7  # the earliest SIGKILL: the longest deadline and 0.7 s
LIMIT_S = 8.0  # the pages' longest time from a call's end to its release
ENDING, STAYING = "00000000000000a1", "00000000000000a2"


async def case(rig: Rig) -> list[str]:
    """Two calls; SIGTERM; the client's connection is reset and the first call ends; the next process is started and the
    client names both calls to it. Without the disruption the first call ends in the same place."""
    board, office = Board(rig), Office(rig, "s-00c41f71", 1)
    await board.start()
    await office.start()
    board.publish(office.entry())
    server = CallServer(rig, "n0", 0, settings(0, {"voice": 3.0}, CARIRI_RURAL), board)
    await server.start()
    client = Client(rig, "client", server.address)
    await client.connect()
    for call_id in (ENDING, STAYING):
        await established(client.invite(call_id, 1, 3000), "a set-up")
    await asyncio.sleep(1.0)
    assert server.process is not None
    if TROUBLE:
        terminated = time.monotonic()
        server.process.send_signal(signal.SIGTERM)
        rig.record("n0", "SIGTERM")
        await asyncio.sleep(0.5)
        client.reset()
        await asyncio.sleep(0.5)
    office.end(ENDING)
    ended = time.monotonic()
    if TROUBLE:
        await asyncio.sleep(max(0.0, terminated + KILL_S - time.monotonic()))
        server.process.kill()
        server.process.wait()
        rig.record("n0", f"SIGKILL; it had ended: {server.process.returncode}")
        await server.start()
        await client.connect()
        for call_id in (ENDING, STAYING):
            client.invite(call_id, 1, 3000, extra=f";at:{office.id}")
        ended = time.monotonic()
    await asyncio.sleep(max(0.0, ended + LIMIT_S + 2.0 - time.monotonic()))
    if ENDING in client.released:
        return []
    return [
        f"call {ENDING} ended, and was not released towards its client within {LIMIT_S + 2.0:.0f} s after the client "
        "had named it to the next process; its office sent the release twice"
    ]


main(HERE, case)
