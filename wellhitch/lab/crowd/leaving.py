"""Plays a client that leaves with set-ups still unread, which may come again on another connection.

python -m wellhitch.lab.crowd.leaving SET_UPS close|reset
"""

import asyncio
import socket
import struct
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from wellhitch.lab.crowd.attack import set_up
from wellhitch.lab.crowd.play import CallServerAndOffice, UsualClients

SETTLE_S = 0.3
FIRST_ID = 0xD << 60


@dataclass(frozen=True)
class Sent:
    """What the office received: how many set-ups of the client that had left, and how often the one that came again."""

    after_leaving: int
    came_again: int


def leave(address: str, set_ups: int, by_reset: bool) -> None:
    """Write set-ups and close or reset the connection at once."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as client:
        client.sendall(b"".join(set_up(FIRST_ID + n) for n in range(set_ups)))
        if by_reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def play_leaving(set_ups: int, by_reset: bool) -> Sent:
    """Let a client leave while the call server does not read, and send its first set-up again afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        async with CallServerAndOffice.started(Path(folder)) as played:
            usual = UsualClients(played.server.listen)
            await usual.run(1)
            played.server.pause()
            leave(played.server.listen, set_ups, by_reset)
            again = UsualClients(played.server.listen)
            await again.send(FIRST_ID)
            played.server.resume()
            await asyncio.sleep(SETTLE_S)
            attempts = played.office.attempts
            usual.close()
            again.close()
            ids = {f"{FIRST_ID + n:016x}" for n in range(1, set_ups)}
            return Sent(sum(attempts[call_id] for call_id in ids), attempts[f"{FIRST_ID:016x}"])


if __name__ == "__main__":
    print(asyncio.run(play_leaving(int(sys.argv[1]), sys.argv[2] == "reset")))
