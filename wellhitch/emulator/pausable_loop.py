"""An event loop for one party of a day that can be paused as SIGSTOP pauses a process. Its clock runs on, and after the
pause network events are handled before overdue timers, as asyncio does."""

import asyncio
from collections.abc import Callable
from typing import Any, cast


class PausableLoop:
    """The part of an asyncio loop that the server code uses, with a pause. `clock_offset_s`: how far this party's clock
    is ahead of the shared one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock_offset_s: float = 0.0) -> None:
        self._loop = loop
        self._clock_offset_s = clock_offset_s
        self.paused = False
        self.killed = False
        self._deferred_io: list[tuple[Callable[..., object], tuple[Any, ...]]] = []
        self._deferred_timers: list[tuple[Callable[..., object], tuple[Any, ...], _Handle]] = []

    def as_loop(self) -> asyncio.AbstractEventLoop:
        """This loop, typed as asyncio's loop."""
        return cast(asyncio.AbstractEventLoop, self)

    def time(self) -> float:
        """As in asyncio."""
        return self._loop.time() + self._clock_offset_s

    def call_soon(self, callback: Callable[..., object], *args: Any) -> "_Handle":
        """As in asyncio."""
        handle = _Handle()
        handle.inner = self._loop.call_soon(self._run, callback, args, handle)
        return handle

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> "_Handle":
        """As in asyncio."""
        handle = _Handle()
        handle.inner = self._loop.call_later(delay, self._run, callback, args, handle)
        return handle

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """As in asyncio."""
        self._loop.call_exception_handler(context)

    def _run(self, callback: Callable[..., object], args: tuple[Any, ...], handle: "_Handle") -> None:
        if self.killed or handle.cancelled:
            return
        if self.paused:
            self._deferred_timers.append((callback, args, handle))
        else:
            callback(*args)

    def run_or_defer(self, callback: Callable[..., object], *args: Any) -> None:
        """Run a network callback of this party, or defer it while paused."""
        if self.paused:
            self._deferred_io.append((callback, args))
        else:
            callback(*args)

    def pause(self) -> None:
        """Defer all callbacks until `resume`."""
        self.paused = True

    def resume(self) -> None:
        """Run the deferred callbacks and continue."""
        self.paused = False
        io, timers = self._deferred_io, self._deferred_timers
        self._deferred_io, self._deferred_timers = [], []
        for callback, args in io:
            callback(*args)
        for callback, args, handle in timers:
            if not handle.cancelled:
                callback(*args)


class _Handle:
    def __init__(self) -> None:
        self.inner: asyncio.Handle | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """As in asyncio; also cancels a deferred callback."""
        self.cancelled = True
        if self.inner:
            self.inner.cancel()
