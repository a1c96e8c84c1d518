"""A client that doesn't know a call refuses the call's release with 481. See `claim.txt`."""

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
    wait_until,
)

LIMIT_S = 8.0  # the pages' longest time from a call's end to its release
OTHERS, OWN, LATER, NEXT = (f"00000000000000{number}" for number in ("a1", "b1", "b2", "b3"))


async def case(rig: Rig) -> list[str]:
    """Two clients with a call each; one of the two connections is reset, and its client opens another."""
    board, office = Board(rig), Office(rig, "s-00c41f71", 1)
    await board.start()
    await office.start()
    board.publish(office.entry())
    server = CallServer(rig, "n0", 0, settings(0, {"voice": 3.0}), board)
    await server.start()
    other, owner = Client(rig, "other client", server.address), Client(rig, "owner", server.address)
    for client, call_id in ((other, OTHERS), (owner, OWN)):
        await client.connect()
        await established(client.invite(call_id, 1, 3000), "a set-up")
    # The other client's call ends, and it confirms the release: a sound client.
    office.end(OTHERS)
    await wait_until(lambda: OTHERS in other.released, 5, "the release of the other client's call")
    if TROUBLE:
        owner.reset()
        await asyncio.sleep(0.2)
        await owner.connect()
    # The owner goes on working on its connection: set-ups on it are answered, and a call of it stands there.
    await established(owner.invite(LATER, 1, 3000), "the owner's next set-up")
    await asyncio.sleep(1.0)
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
