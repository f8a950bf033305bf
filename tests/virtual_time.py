"""An event loop whose clock jumps to the next timer, for tests without sockets."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

# Time that each iteration of the loop takes, so that a timer shorter than the resolution of the
# clock does not stop the time.
ITERATION_S = 1e-6


class _NoWaitSelector(selectors.DefaultSelector):
    """Selector that advances the clock of its loop in place of waiting."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("every task waits, and no timer is set")
        self.loop.now += max(ITERATION_S, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time; it serves no sockets."""

    def __init__(self) -> None:
        self.now = 0.0
        selector = _NoWaitSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


class VirtualTimePolicy(asyncio.DefaultEventLoopPolicy):
    """Policy that makes a `VirtualTimeLoop` for each test."""

    def new_event_loop(self) -> VirtualTimeLoop:
        """Return a loop whose time begins at 0."""
        return VirtualTimeLoop()
