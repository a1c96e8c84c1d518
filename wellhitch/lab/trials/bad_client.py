"""Clients that send what no call server can read, or nothing; they only load the server and are not checked."""

import asyncio
import random

from wellhitch.lab.trials.sockets import open_connection

MALFORMED_MESSAGES = (
    b"\x00\xff noise \r\n\r\n",
    b"INVITE sip:abc@net SIP/2.0\r\nContent-Length: -5\r\n\r\n",
    b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: zz\r\nContent-Length: 0\r\n\r\n",
    b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nContent-Length: 62914560\r\n\r\n" + b"x" * 200_000,
    b"INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVI",
)


async def bad_client(
    loop: asyncio.AbstractEventLoop, rng: random.Random, address: str, max_stay_s: float
) -> None:
    """Connect, send a malformed message or nothing, and close after a random time of up to `max_stay_s`."""
    connection = await open_connection(loop, address)
    if connection is None:
        return
    connection.start()
    if rng.random() < 0.7:
        connection.write(rng.choice(MALFORMED_MESSAGES))
    if rng.random() < 0.3:
        connection.half_close()
    await asyncio.sleep(max_stay_s * rng.random())
    connection.close()
