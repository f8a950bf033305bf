"""Simple placement, retries, admission, limits and claims.

They replace the production rules in tests and benchmarks that cover only the transport.
"""

from __future__ import annotations

import asyncio
from collections import deque

from jaypost.admission import (
    Admission,
    Admit,
    Admitted,
    Cancel,
    Decision,
    Message,
    Queued,
    Refused,
    Release,
    SetTargets,
    Tick,
)
from jaypost.claims import Claimed, ClaimOutcome, ClaimUnavailable, Duplicate
from jaypost.errors import ANSWER_BY_KIND, ErrorKind
from jaypost.limits import FleetLimits, LimitQuery
from jaypost.placement import (
    AttemptEnded,
    AttemptStarted,
    ChooseTarget,
    Chosen,
    NoTarget,
    Placement,
    TargetLeaving,
)
from jaypost.records import Destination, Load, PlacedTarget, Row
from jaypost.retries import GiveUp, Retry, RetryPolicy, RetryQuery, undelivered_attempt_limit


class FirstTargetPlacement(Placement):
    """Chooses the first target that was not tried, or the first target when all were tried.

    Attributes
    ----------
    ended : list of AttemptEnded
        Results of the last 1000 attempts.
    failed_ids : set of str
        Identifiers of the targets that `is_working` reports as failed.
    """

    def __init__(self) -> None:
        self.ended: list[AttemptEnded] = []
        self.failed_ids: set[str] = set()

    def destination(self, destinations: tuple[Destination, ...]) -> str | None:
        """Return the first destination."""
        return destinations[0].service if destinations else None

    def choose(self, query: ChooseTarget) -> Chosen | NoTarget:
        """Return the first target that was not tried, else the first target."""
        if not query.targets:
            return NoTarget(ErrorKind.NO_TARGET)
        untried = [t for t in query.targets if t.target.target_id not in query.tried]
        return Chosen((untried or query.targets)[0], query.must_be_delivered)

    def is_working(self, placed: PlacedTarget, now: float) -> bool:
        """Tell whether a target is not in `failed_ids`."""
        return placed.target.target_id not in self.failed_ids

    def observe(self, event: AttemptStarted | AttemptEnded | TargetLeaving) -> None:
        """Record the result of an attempt that ended."""
        if isinstance(event, AttemptEnded):
            self.ended.append(event)
            del self.ended[:-1000]


class UnbudgetedRetries(RetryPolicy):
    """Retries requests that were not run and requests that may be repeated.

    There is no budget; the retry limit of the row applies.
    """

    def __init__(self) -> None:
        self.failures: list[RetryQuery] = []

    def request_started(self, row: Row, service: str, now: float) -> None:
        """Do nothing: there is no budget."""

    def decide(self, failure: RetryQuery) -> Retry | GiveUp:
        """Return whether another attempt is made."""
        self.failures.append(failure)
        repeatable = failure.method in failure.row.repeatable_methods and not failure.final
        refused = (
            not failure.may_have_run
            and failure.kind is not None
            and ANSWER_BY_KIND[failure.kind].retryable
        )
        if failure.delivered_attempts > failure.row.retry_limit or not failure.body_kept:
            return GiveUp(failure.kind, False)
        if failure.undelivered_attempts > undelivered_attempt_limit(failure.row):
            return GiveUp(failure.kind, False)
        return Retry(0.0) if refused or repeatable else GiveUp(failure.kind, False)

    def charge_hedge(
        self, row: Row, service: str, method: str, inside_retry: bool, now: float
    ) -> bool:
        """Allow every hedge."""
        return True


class FifoAdmission(Admission):
    """Limits requests to the slots of each target, with one first-in-first-out queue per target.

    Attributes
    ----------
    busy : dict of str to set of str
        Tickets that hold a slot, by target.
    waiting : dict of str to deque of str
        Queued tickets in order of arrival, by target.
    """

    def __init__(self) -> None:
        self._slots: dict[str, int] = {}
        self.busy: dict[str, set[str]] = {}
        self.waiting: dict[str, deque[str]] = {}
        self._target_by_ticket: dict[str, str] = {}

    def load(self, target_id: str) -> Load:
        """Return the load of a target."""
        return Load(
            len(self.busy.get(target_id, ())),
            self._slots.get(target_id, 0),
            len(self.waiting.get(target_id, ())),
        )

    def handle(self, message: Message) -> tuple[Decision, ...]:
        """Apply `message` and return the resulting decisions."""
        if isinstance(message, Admit):
            return (self._admit_or_queue(message),)
        if isinstance(message, SetTargets):
            self._slots = {target.target_id: target.slots for target in message.targets}
        elif isinstance(message, Release | Cancel):
            return self._release_or_cancel(message.ticket)
        else:
            assert isinstance(message, Tick)
        return ()

    def _admit_or_queue(self, message: Admit) -> Decision:
        target_id = message.target_id
        busy = self.busy.setdefault(target_id, set())
        waiting = self.waiting.setdefault(target_id, deque())
        if len(busy) < self._slots.get(target_id, 0):
            self._target_by_ticket[message.ticket] = target_id
            busy.add(message.ticket)
            return Admitted(message.ticket, self.load(target_id))
        if not message.may_queue:
            return Refused(message.ticket, ErrorKind.SLOTS_FULL, self.load(target_id))
        if len(waiting) >= message.row.queue_limit:
            return Refused(message.ticket, ErrorKind.QUEUE_FULL, self.load(target_id))
        self._target_by_ticket[message.ticket] = target_id
        waiting.append(message.ticket)
        return Queued(message.ticket, self.load(target_id))

    def _release_or_cancel(self, ticket: str) -> tuple[Decision, ...]:
        target_id = self._target_by_ticket.pop(ticket)
        busy, waiting = self.busy[target_id], self.waiting[target_id]
        if ticket in waiting:
            waiting.remove(ticket)
            return ()
        busy.remove(ticket)
        if not waiting:
            return ()
        admitted_ticket = waiting.popleft()
        busy.add(admitted_ticket)
        return (Admitted(admitted_ticket, self.load(target_id)),)


class CountingLimits(FleetLimits):
    """Counts requests without a limit.

    Attributes
    ----------
    active_count : int
        Number of requests between `enter` and `leave`.
    refusal : ErrorKind or None
        When set, every request is refused with this kind.
    """

    def __init__(self) -> None:
        self.active_count = 0
        self.refusal: ErrorKind | None = None

    def enter(self, query: LimitQuery) -> ErrorKind | None:
        """Count one request, or return `refusal` when it is set."""
        if self.refusal is None:
            self.active_count += 1
        return self.refusal

    def leave(self, service: str) -> None:
        """Remove one request from the count."""
        self.active_count -= 1


class MemoryClaims:
    """Keeps claims of idempotency keys in memory.

    Attributes
    ----------
    available : bool
        False simulates an outage of the store.
    delay_s : float
        Seconds that each claim takes, to simulate a slow store.
    owner_and_status_by_key : dict of str to tuple of str and int
        Request id that owns the key and its status, which is 0 until it is recorded.
    """

    def __init__(self) -> None:
        self.available = True
        self.delay_s = 0.0
        self.owner_and_status_by_key: dict[str, tuple[str, int]] = {}

    async def claim(self, service: str, key: str, request_id: str, now: float) -> ClaimOutcome:
        """Claim a key for a request, unless it is claimed already or the store is unavailable."""
        await asyncio.sleep(self.delay_s)
        if not self.available:
            return ClaimUnavailable("unavailable")
        if key in self.owner_and_status_by_key:
            owner, status = self.owner_and_status_by_key[key]
            return Duplicate(owner, status)
        self.owner_and_status_by_key[key] = (request_id, 0)
        return Claimed(key)

    async def record_status(self, service: str, key: str, request_id: str, status: int) -> None:
        """Record the status of the request that owns the key."""
        self.owner_and_status_by_key[key] = (request_id, status)

    async def withdraw(self, service: str, key: str, request_id: str) -> None:
        """Delete the claim of the key."""
        del self.owner_and_status_by_key[key]
