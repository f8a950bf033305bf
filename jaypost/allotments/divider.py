"""Task of the node that divides the limits of workspaces among the hosts.

The divider holds a lease in the store. It grants nothing after the time at which that lease may
have expired, and a new divider does not lease what an earlier one may still have leased.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Protocol

import structlog

from jaypost.allotments.shares import Asker, Limit, ShareLedger
from jaypost.freshness import clock as boot_clock
from jaypost.logs import EventName
from jaypost.messages import AllotmentReply, AllotmentRequest
from jaypost.store import (
    Conflict,
    DeleteOutcome,
    GrantOutcome,
    LeaseExpired,
    LeaseGranted,
    LeaseHeld,
    PutOutcome,
    RenewOutcome,
    Stored,
)

log = structlog.get_logger(__name__)

DIVIDER_KEY = "allotments/divider"
# Exists from the first term of a fleet on, without a lease.
FIRST_TERM_KEY = "allotments/first-term"
LEASE_TTL_S = 3.0
# Interval between two renewals of the lease, or attempts to get it.
RENEWAL_S = 0.8
CLOSE_TIMEOUT_S = 0.3


class DividerStore(Protocol):
    """The calls of the store that the divider makes."""

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key under a condition and a lease."""
        ...

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key."""
        ...

    async def grant_lease(self, ttl_s: float) -> GrantOutcome:
        """Create a lease."""
        ...

    async def renew_lease(self, lease_id: str) -> RenewOutcome:
        """Extend a lease."""
        ...


class Divider:
    """Divides limits while this node holds the lease.

    Parameters
    ----------
    node_id : str
        Identifier of the node.
    store : DividerStore
        Client of the store.
    is_candidate : callable
        Tells whether this node should divide when no other does.
    may_continue : callable
        Tells whether this node may go on once it divides. The candidate may change several times
        while nodes start, and each change of the divider costs a recovery.
    limits : callable
        Returns the limits of the version in force by workspace.
    hosts : callable
        Returns the identifiers of all known hosts.
    publish_term : callable
        Tells all hosts the term of this divider; 0 when it does not divide any more.
    first_start : bool
        Whether the fleet starts for the first time, so that there may have been no divider yet.
    clock : callable
        Time in seconds, suspended time included.
    sleep : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        node_id: str,
        store: DividerStore,
        is_candidate: Callable[[], bool],
        may_continue: Callable[[], bool],
        limits: Callable[[], Mapping[str, Limit]],
        hosts: Callable[[], Iterable[str]],
        publish_term: Callable[[int], None],
        first_start: bool = False,
        clock: Callable[[], float] = boot_clock,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._is_candidate = is_candidate
        self._may_continue = may_continue
        self._limits = limits
        self._hosts = hosts
        self._publish_term = publish_term
        self._may_be_first = first_start
        self._is_marked = False
        self._clock = clock
        self._sleep = sleep
        self._task: asyncio.Task[None] | None = None
        self._lease_id: str | None = None
        self._valid_until = float("-inf")
        self._ledger: ShareLedger | None = None
        self.term = 0

    def start(self) -> None:
        """Start the task that gets and renews the lease."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the task and give the role up."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._step_down()

    def handle(self, request: AllotmentRequest) -> AllotmentReply | None:
        """Return the shares of a host; None while this node does not divide."""
        now = self._clock()
        if self._ledger is None or now >= self._valid_until or request.term != self.term:
            return None
        asker = Asker(request.sender, request.incarnation, request.sequence)
        grants = self._ledger.request(asker, request.demands, self._limits(), now)
        return AllotmentReply(grants)

    def forget_lease(self) -> None:
        """End the term: the store has come back from an older copy, without the lease."""
        # The copy may be older than the first term.
        self._may_be_first = self._is_marked = False
        if self._lease_id is not None:
            self._end_term()

    async def _run(self) -> None:
        while True:
            try:
                await self._keep_role()
            except Exception:
                # An error must not end the task: this node stays the candidate.
                log.exception(EventName.ALLOTMENT_FAILED, node=self._node_id, divides=True)
            await self._sleep(RENEWAL_S)

    async def _keep_role(self) -> None:
        """Get, renew or give up the lease, as the state of the fleet asks."""
        if not self._limits() or not self._may_continue():
            await self._step_down()
        elif self._lease_id is not None:
            await self._renew()
        elif self._is_candidate():
            await self._claim()

    async def _claim(self) -> None:
        sent_at = self._clock()
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if not isinstance(granted, LeaseGranted):
            return
        stored = await self._store.put(DIVIDER_KEY, self._node_id.encode(), 0, granted.lease_id)
        if not isinstance(stored, Stored):
            return  # another node divides, or the lease ends by itself
        is_first = await self._mark_term()
        if is_first is None:
            await self._store.delete(DIVIDER_KEY, stored.revision)
            return
        hosts = () if is_first else tuple(self._hosts())
        self._lease_id, self.term = granted.lease_id, stored.revision
        self._valid_until = sent_at + LEASE_TTL_S
        self._ledger = ShareLedger(hosts, self._clock())
        rates = [limit.rate for limit in self._limits().values()]
        log.info(
            EventName.DIVIDER_CHANGED,
            node=self._node_id,
            divides=True,
            term=self.term,
            hosts_to_report=len(hosts),
            limits=len(rates),
            lowest=min(rates, default=0.0),
            total=sum(rates),
        )
        self._publish_term(self.term)

    async def _mark_term(self) -> bool | None:
        """Write to the store that the fleet has had a divider.

        Only the store can tell whether there was one before: an earlier divider may have been cut
        off from this node.

        Returns
        -------
        bool or None
            Whether this is the first term, in which no host holds a share; None if it is not
            certain that the store has the mark, so that no term may begin.
        """
        if self._is_marked:
            return False
        marked = await self._store.put(FIRST_TERM_KEY, self._node_id.encode(), 0)
        is_first = self._may_be_first and isinstance(marked, Stored)
        self._may_be_first = False
        self._is_marked = isinstance(marked, Stored | Conflict)
        return is_first if self._is_marked else None

    async def _renew(self) -> None:
        assert self._lease_id is not None
        sent_at = self._clock()
        renewed = await self._store.renew_lease(self._lease_id)
        if isinstance(renewed, LeaseHeld):
            self._valid_until = sent_at + LEASE_TTL_S
        elif isinstance(renewed, LeaseExpired):
            self._end_term()
        # While the store is not available nothing is granted after the lease may have expired. If
        # it still exists then, nobody else can have divided meanwhile.

    async def _step_down(self) -> None:
        if self._lease_id is None:
            return
        term = self.term
        self._end_term()
        await self._store.delete(DIVIDER_KEY, term)

    def _end_term(self) -> None:
        self._lease_id, self._ledger = None, None
        self._valid_until = float("-inf")
        log.info(EventName.DIVIDER_CHANGED, node=self._node_id, divides=False, term=self.term)
        self._publish_term(0)
