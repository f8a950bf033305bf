"""Starts alternatives one after the other, without waiting for the timeout of each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

T = TypeVar("T")


async def start_in_turn(
    works: Sequence[Callable[[], Coroutine[Any, Any, T]]],
    succeeded: Callable[[T], bool],
    delay_s: float,
    spawn: Callable[[Coroutine[Any, Any, T]], asyncio.Task[T]],
) -> list[T]:
    """Start works one after the other until one succeeds.

    The next work starts when all before it have failed, or `delay_s` after the start of the one
    before. Works that are still running when one succeeds are left to end by themselves.

    Parameters
    ----------
    works : sequence of callable
        Each returns the coroutine of one alternative.
    succeeded : callable
        Tells whether a result ends the search.
    delay_s : float
        Time in seconds until the next work is started beside one that has not ended.
    spawn : callable
        Starts a coroutine as a task that its owner ends on `close`.

    Returns
    -------
    list
        Results of the works that have ended, in the order of their ends.
    """
    loop = asyncio.get_running_loop()
    results: list[T] = []
    pending: set[asyncio.Task[T]] = set()
    for number, work in enumerate(works, start=1):
        pending.add(spawn(work()))
        next_start_at = float("inf") if number == len(works) else loop.time() + delay_s
        while pending and loop.time() < next_start_at:
            timeout_s = None if number == len(works) else next_start_at - loop.time()
            done, pending = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            results += [task.result() for task in done]
            if any(succeeded(task.result()) for task in done):
                return results
    return results
