"""A timeout that does not count the time in which the process itself did not run."""

from __future__ import annotations

import asyncio
from types import TracebackType

# Passes of the event loop behind the due time, so that a task can take up what the loop had not
# yet noticed. A connection that the kernel has established takes two of them, the others are a
# reserve for operations with more steps.
LOOP_PASSES_AFTER_TIMEOUT = 8


class PatientTimeout:
    """Like `asyncio.timeout`, but spares what the kernel has completed before the timer fires.

    When the loop was blocked, or the process stopped, past the due time, the timer fires before the
    task sees the connection or the data that arrived in the meantime. The loop therefore runs a few
    more passes before the task is cancelled. No further time is waited.

    Parameters
    ----------
    delay_s : float
        Time from the start of the block in seconds.

    Raises
    ------
    TimeoutError
        At the end of the block, if it was cancelled because of the timeout.
    """

    __slots__ = ("_delay_s", "_handle", "_limit", "_loop")

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._limit = asyncio.timeout(None)

    async def __aenter__(self) -> PatientTimeout:
        """Start the timer."""
        self._loop = asyncio.get_running_loop()
        await self._limit.__aenter__()
        self._handle: asyncio.Handle = self._loop.call_later(
            self._delay_s, self._pass_loop, LOOP_PASSES_AFTER_TIMEOUT
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timer; raise `TimeoutError` if it has cancelled the block."""
        self._handle.cancel()
        await self._limit.__aexit__(kind, error, traceback)

    def reschedule(self, when: float) -> None:
        """Move the due time to `when`, a time on the clock of the event loop in seconds."""
        self._handle.cancel()
        self._handle = self._loop.call_at(when, self._pass_loop, LOOP_PASSES_AFTER_TIMEOUT)

    def _pass_loop(self, remaining: int) -> None:
        if remaining:
            self._handle = self._loop.call_soon(self._pass_loop, remaining - 1)
        else:
            self._limit.reschedule(self._loop.time())
