"""A client's connection is reset; the release of its call goes to other clients first. See `claim.txt`."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig_2 import (  # noqa: E402
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

LIMIT_S = 8.0  # the pages' longest time from a call's end to its release; 1 s where a release could be sent
OTHERS = 45  # with the owner's, 46 connections: a third of the 256 descriptors is 85
OWN, LATER, NEXT = "00000000000000b1", "00000000000000b2", "00000000000000b3"


async def case(rig: Rig) -> list[str]:
    """A client with a call loses its connection and opens another, which it uses; other clients come, each with a call
    on a connection of its own; then the first client's call ends."""
    board, office = Board(rig), Office(rig, "s-00c41f71", 1)
    await board.start()
    await office.start()
    board.publish(office.entry())
    server = CallServer(rig, "n0", 0, settings(0, {"voice": 3.0}), board)
    await server.start()
    owner = Client(rig, "owner", server.address)
    await owner.connect()
    await established(owner.invite(OWN, 1, 3000), "a set-up")
    if TROUBLE:
        owner.reset()
        await asyncio.sleep(0.2)
        await owner.connect()
    # The owner goes on working: set-ups on its connection are answered, and a call of it stands there.
    await established(owner.invite(LATER, 1, 3000), "the owner's next set-up")
    for number in range(OTHERS):
        other = Client(rig, f"client {number}", server.address, answers_unknown=False)
        await other.connect()
        await established(other.invite(f"{0xC000 + number:016x}", 1, 3000), "another client's set-up")
    await asyncio.sleep(0.5)
    office.end(OWN)
    await asyncio.sleep(LIMIT_S + 0.05)
    late = OWN not in owner.released
    await established(owner.invite(NEXT, 1, 3000), "a last set-up of the owner")
    await asyncio.sleep(1.0)
    if not late:
        return []
    after = "came later" if OWN in owner.released else "never came"
    return [
        f"the release of call {OWN} did not come to its client within {LIMIT_S} s of its end, while the client's "
        f"connection was open and in use; it {after}"
    ]


main(HERE, case)
