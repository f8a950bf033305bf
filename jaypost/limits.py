"""Fleet-wide rate and concurrency limits, enforced as shares at the nodes of the targets."""

from __future__ import annotations

from dataclasses import dataclass

from jaypost.errors import ErrorKind
from jaypost.invariants import check
from jaypost.records import Row

BURST_S = 0.1


@dataclass(frozen=True, slots=True)
class LimitQuestion:
    """Ask whether a request is within the limits of its row.

    Parameters
    ----------
    row : Row
        Row of the service.
    own_slots : int
        Slots of the ready targets of the service on this host.
    fleet_slots : int
        Slots of all reachable ready targets of the service, this host's included.
    now : float
        Monotonic time in seconds.
    slots_before : int or None
        Slots of the reachable ready targets on hosts that sort before this one. With it the
        shares of a concurrency limit add up to the limit exactly; without it each host has a
        share of at least 1.
    """

    row: Row
    own_slots: int
    fleet_slots: int
    now: float
    slots_before: int | None = None


@dataclass(slots=True)
class _Bucket:
    """Tokens of one service."""

    tokens: float
    filled_at: float


class FleetLimits:
    """Token buckets and counts of requests in execution by service.

    A host enforces the part of a limit that its slots are of all reachable slots of the service.
    While a partition lasts, each side divides the whole limit among the slots it reaches.
    """

    def __init__(self) -> None:
        self._bucket_by_service: dict[str, _Bucket] = {}
        self._running_by_service: dict[str, int] = {}

    def enter(self, question: LimitQuestion) -> ErrorKind | None:
        """Take one request into account, or return the limit it exceeds."""
        row = question.row
        running = self._running_by_service.get(row.service, 0)
        if row.concurrency_limit and running >= self._concurrency_share(question):
            return ErrorKind.CONCURRENCY_LIMITED
        if row.rate_limit and not self._take_token(question):
            return ErrorKind.RATE_LIMITED
        self._running_by_service[row.service] = running + 1
        return None

    def leave(self, service: str) -> None:
        """Take one request out of the count of requests in execution."""
        running = self._running_by_service.get(service, 0)
        if not check(running > 0, "limits_leave_without_enter", service=service):
            return
        if running == 1:
            del self._running_by_service[service]
        else:
            self._running_by_service[service] = running - 1

    def running(self, service: str) -> int:
        """Return how many requests of the service are in execution."""
        return self._running_by_service.get(service, 0)

    def forget(self, service: str) -> None:
        """Drop the tokens of a service whose row was deleted."""
        self._bucket_by_service.pop(service, None)

    @staticmethod
    def _concurrency_share(question: LimitQuestion) -> int:
        limit = question.row.concurrency_limit
        fleet_slots = max(question.fleet_slots, question.own_slots, 1)
        if question.slots_before is None:
            return max(1, limit * question.own_slots // fleet_slots)
        before = limit * question.slots_before // fleet_slots
        through = limit * (question.slots_before + question.own_slots) // fleet_slots
        return through - before

    def _take_token(self, question: LimitQuestion) -> bool:
        fleet_slots = max(question.fleet_slots, question.own_slots, 1)
        rate = question.row.rate_limit * question.own_slots / fleet_slots
        burst = max(1.0, rate * BURST_S)
        bucket = self._bucket_by_service.setdefault(
            question.row.service, _Bucket(burst, question.now)
        )
        earned = rate * max(0.0, question.now - bucket.filled_at)
        bucket.tokens = min(burst, bucket.tokens + earned)
        bucket.filled_at = max(bucket.filled_at, question.now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True
