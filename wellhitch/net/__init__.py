"""The interface to the network and the clock, implemented on asyncio's event loop and by the emulator."""
