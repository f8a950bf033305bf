"""Timeouts that do not count the time in which the process itself did not run."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

# Passes of the event loop after a timeout. A connection that the kernel has established takes two
# of them, the others are a reserve for operations with more steps.
LOOP_PASSES_AFTER_TIMEOUT = 8

T = TypeVar("T")


async def complete_within(timeout_s: float, operation: Coroutine[Any, Any, T]) -> T:
    """Run an operation and cancel it after a timeout.

    When the loop was blocked, or the process stopped, past the timeout, the timer fires before the
    operation sees what the kernel completed in the meantime. The loop therefore runs a few more
    passes before the operation is cancelled. No further time is waited.

    Parameters
    ----------
    timeout_s : float
        Timeout in seconds.
    operation : coroutine
        The operation. It runs as a task of its own.

    Returns
    -------
    object
        Result of the operation.

    Raises
    ------
    TimeoutError
        If the operation did not complete; it is cancelled then.
    """
    task = asyncio.ensure_future(operation)
    try:
        await asyncio.wait({task}, timeout=timeout_s)
        for _ in range(LOOP_PASSES_AFTER_TIMEOUT):
            if not task.done():
                await asyncio.sleep(0)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
