"""A loop for one party of a day, so that it alone can be paused as SIGSTOP pauses a process: its clock runs on,
and when it goes on, what came over its links meanwhile is taken before its overdue timers, as asyncio does."""

import asyncio
from collections.abc import Callable
from typing import Any, cast


class PausableLoop:
    """The part of an asyncio loop that the server code uses, with a gate in it. `ahead`: seconds that this
    party's clock is ahead of the others'."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ahead: float = 0.0) -> None:
        self._loop = loop
        self._ahead = ahead
        self.paused = False
        self.gone = False
        self._io: list[tuple[Callable[..., object], tuple[Any, ...]]] = []
        self._due: list[tuple[Callable[..., object], tuple[Any, ...], _Handle]] = []

    def as_loop(self) -> asyncio.AbstractEventLoop:
        """Itself, for code that is typed with asyncio's loop."""
        return cast(asyncio.AbstractEventLoop, self)

    def time(self) -> float:
        """As asyncio's."""
        return self._loop.time() + self._ahead

    def call_soon(self, callback: Callable[..., object], *args: Any) -> "_Handle":
        """As asyncio's."""
        handle = _Handle()
        handle.inner = self._loop.call_soon(self._run, callback, args, handle)
        return handle

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> "_Handle":
        """As asyncio's."""
        handle = _Handle()
        handle.inner = self._loop.call_later(delay, self._run, callback, args, handle)
        return handle

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """As asyncio's."""
        self._loop.call_exception_handler(context)

    def _run(self, callback: Callable[..., object], args: tuple[Any, ...], handle: "_Handle") -> None:
        if self.gone or handle.cancelled:
            return
        if self.paused:
            self._due.append((callback, args, handle))
        else:
            callback(*args)

    def enter(self, callback: Callable[..., object], *args: Any) -> None:
        """Something that the network has for this party."""
        if self.paused:
            self._io.append((callback, args))
        else:
            callback(*args)

    def pause(self) -> None:
        """Stop, wherever it is."""
        self.paused = True

    def resume(self) -> None:
        """Go on."""
        self.paused = False
        io, due = self._io, self._due
        self._io, self._due = [], []
        for callback, args in io:
            callback(*args)
        for callback, args, handle in due:
            if not handle.cancelled:
                callback(*args)


class _Handle:
    def __init__(self) -> None:
        self.inner: asyncio.Handle | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """As asyncio's; also once it waits behind the gate."""
        self.cancelled = True
        if self.inner:
            self.inner.cancel()
