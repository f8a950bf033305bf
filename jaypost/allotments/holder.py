"""Task of every host: renews its shares at the divider, and wakes the requests that wait."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Protocol

import structlog

from jaypost.allotments.buckets import ShareBuckets, TakeOutcome
from jaypost.freshness import clock as boot_clock
from jaypost.logs import EventName
from jaypost.messages import AllotmentReply, AllotmentRequest
from jaypost.records import NodeRecord
from jaypost.workspaces.keys import Workspace

log = structlog.get_logger(__name__)

# Interval between two renewals, and the shortest one when requests wait.
RENEWAL_S = 1.0
MIN_RENEWAL_S = 0.05
RENEWAL_JITTER_FRACTION = 0.1
REQUEST_TIMEOUT_S = 0.5
# Longest time in seconds that a request waits for a share; some round trips between regions.
LONGEST_WAIT_S = 0.3


class DividerDirectory(Protocol):
    """How a host reaches the divider."""

    def divider(self) -> NodeRecord | None:
        """Return the record of the divider, None if none is known."""
        ...

    def host_count(self) -> int:
        """Return the number of known hosts."""
        ...

    async def ask(
        self, divider: NodeRecord, request: AllotmentRequest, timeout_s: float
    ) -> AllotmentReply | None:
        """Ask the divider for shares; None when there is no reply."""
        ...


class ShareHolder:
    """Shares of this host, renewed at the divider while workspaces with limits have requests.

    Parameters
    ----------
    node_id : str
        Identifier of the node.
    incarnation : int
        Incarnation of the node.
    buckets : ShareBuckets
        The shares, which only this object changes.
    directory : DividerDirectory
        The divider.
    rng : random.Random
        Source of the jitter.
    clock : callable
        Time in seconds, suspended time included: a share must not outlive a suspension.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        buckets: ShareBuckets,
        directory: DividerDirectory,
        rng: random.Random,
        clock: Callable[[], float] = boot_clock,
    ) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._buckets = buckets
        self._directory = directory
        self._rng = rng
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self._wanted = asyncio.Event()
        self._granted = asyncio.Event()
        self._known_term = 0
        self._sequence = 0

    def start(self) -> None:
        """Start the task; a node that joined knows the divider of its fleet."""
        self._buckets.was_divided = self._directory.divider() is not None
        self._buckets.note_hosts(self._directory.host_count(), self._clock())
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def take(self, workspace: Workspace) -> TakeOutcome:
        """Take a token for a request."""
        now = self._clock()
        self._buckets.note_hosts(self._directory.host_count(), now)
        may_wait = self._directory.divider() is not None
        return self._buckets.take(workspace, now, may_wait)

    def give_back(self, workspace: Workspace) -> None:
        """Return the token of a request that was not run."""
        self._buckets.give_back(workspace, self._clock())

    def rates(self) -> dict[str, float]:
        """Return the present share of each workspace in requests per second, by name."""
        return self._buckets.rates(self._clock())

    async def acquire(self, workspace: Workspace) -> TakeOutcome:
        """Ask the divider and wait until it gives a token, or has too few."""
        began_at = self._clock()
        self._buckets.wait_began(workspace)
        self._wanted.set()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LONGEST_WAIT_S):
                    while not self._buckets.is_answered(workspace, began_at, self._clock()):
                        # A grant may answer a request that was sent before this one waited.
                        await self._granted.wait()
        finally:
            self._buckets.wait_ended(workspace)
        return self._buckets.take(workspace, self._clock(), has_waited=True)

    async def _run(self) -> None:
        while True:
            jitter = self._rng.uniform(-RENEWAL_JITTER_FRACTION, RENEWAL_JITTER_FRACTION)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEWAL_S * (1.0 + jitter)):
                    await self._wanted.wait()
            self._wanted.clear()
            try:
                await self._renew()
            except Exception:
                # An error must not end the task: nobody else would renew the shares of this host.
                log.exception(EventName.ALLOTMENT_FAILED, node=self._node_id, divides=False)
            await asyncio.sleep(MIN_RENEWAL_S)

    async def _renew(self) -> None:
        divider = self._directory.divider()
        now = self._clock()
        self._buckets.note_hosts(self._directory.host_count(), now)
        demands = self._buckets.demands(now)
        # A new divider waits until every host has told it what it holds.
        is_new = divider is not None and divider.divider_term != self._known_term
        if divider is None or not (demands or is_new):
            return
        self._sequence += 1
        request = AllotmentRequest(
            self._node_id, divider.divider_term, self._incarnation, self._sequence, demands
        )
        reply = await self._directory.ask(divider, request, REQUEST_TIMEOUT_S)
        if reply is None:
            return
        self._known_term = divider.divider_term
        self._buckets.apply(reply.grants, now, self._clock())
        granted, self._granted = self._granted, asyncio.Event()
        granted.set()
