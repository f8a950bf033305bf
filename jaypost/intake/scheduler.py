"""Turns of the connections that have more input than they may decode at once."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from jaypost.intake.quanta import PASS_WORK_S


class Deferral(StrEnum):
    """Why a connection with input did not go on decoding.

    ``YIELDED``: the other connections had a turn first. ``HELD``: its framing was out of proportion
    to its content.
    """

    YIELDED = "yielded"
    HELD = "held"


class TurnTaker(Protocol):
    """A connection whose input waits."""

    def take_turn(self) -> bool:
        """Decode one slice; return whether more input waits that may be decoded now."""
        ...


class IntakeScheduler:
    """Gives turns to the connections of a node whose input waits, one slice after the other.

    A node has one scheduler, so that the bound on a pass of its event loop holds for all its
    connections together, however many have input.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds, with the resolution of a slice.

    Attributes
    ----------
    count_by_deferral : Counter of Deferral
        How often connections with input had to wait.
    """

    def __init__(self, clock: Callable[[], float] = time.perf_counter) -> None:
        self.clock = clock
        self.count_by_deferral: Counter[Deferral] = Counter()
        self._waiting: deque[TurnTaker] = deque()
        self._next_pass: asyncio.Handle | None = None

    def enqueue(self, taker: TurnTaker) -> None:
        """Give a connection, which must not wait already, a turn in the next pass of the loop."""
        self._waiting.append(taker)
        self._schedule()

    def _schedule(self) -> None:
        if self._next_pass is None:
            self._next_pass = asyncio.get_running_loop().call_soon(self._run_pass)

    def _run_pass(self) -> None:
        """Give turns in rotation until the work of a pass is done."""
        self._next_pass = None
        ends_at = self.clock() + PASS_WORK_S
        try:
            while self._waiting:
                taker = self._waiting.popleft()
                if taker.take_turn():
                    self._waiting.append(taker)
                if self.clock() >= ends_at:
                    break
        finally:
            # An exception, which the loop reports, ends the turns of one connection only.
            if self._waiting:
                self._schedule()

    def close(self) -> None:
        """Give no more turns to the connections that wait."""
        self._waiting.clear()
        if self._next_pass is not None:
            self._next_pass.cancel()
            self._next_pass = None
