"""The seam to the network and the clock: asyncio's loop and the emulator both serve it."""
