"""Fleet-wide rate and concurrency limits, divided among the hosts of the targets."""

from __future__ import annotations

from dataclasses import dataclass

from jaypost.errors import ErrorKind
from jaypost.invariants import check
from jaypost.records import Row

# The capacity of a token bucket without `rate_burst` is the number of tokens added in this time,
# and at least one.
BURST_DURATION_S = 0.1


@dataclass(frozen=True, slots=True)
class LimitQuery:
    """Asks whether a request is within the limits of its row.

    Parameters
    ----------
    row : Row
        Row of the service.
    own_slots : int
        Slots of the ready targets of the service on this host.
    fleet_slots : int
        Slots of all reachable ready targets of the service, including those of this host.
    now : float
        Monotonic time in seconds.
    slots_before : int or None
        Slots of the reachable ready targets on hosts whose node id is lower. With this number
        the shares of a concurrency limit add up to exactly the limit; without it each host has a
        share of at least 1.
    """

    row: Row
    own_slots: int
    fleet_slots: int
    now: float
    slots_before: int | None = None


@dataclass(slots=True)
class _ServiceBucket:
    """Tokens of one service; each admits one request."""

    tokens: float
    refilled_at: float


class FleetLimits:
    """Token buckets and counts of active requests by service.

    A request is active from `enter` to `leave`, while it waits for a slot and while it holds one.
    Each host enforces a share of a limit, in proportion to its share of the reachable slots of the
    service. During a network partition, each side divides the whole limit among the slots it
    reaches.
    """

    def __init__(self) -> None:
        self._bucket_by_service: dict[str, _ServiceBucket] = {}
        self._active_by_service: dict[str, int] = {}

    def enter(self, query: LimitQuery) -> ErrorKind | None:
        """Count one request as active, or return the error for the limit it exceeds."""
        row = query.row
        active = self._active_by_service.get(row.service, 0)
        if row.concurrency_limit and active >= self._concurrency_share(query):
            return ErrorKind.CONCURRENCY_LIMITED
        if row.rate_limit and not self._take_token(query):
            return ErrorKind.RATE_LIMITED
        self._active_by_service[row.service] = active + 1
        return None

    def leave(self, service: str) -> None:
        """Remove one request that ended from the count of active requests."""
        active = self._active_by_service.get(service, 0)
        if not check(active > 0, "limits_leave_without_enter", service=service):
            return
        if active == 1:
            del self._active_by_service[service]
        else:
            self._active_by_service[service] = active - 1

    def active(self, service: str) -> int:
        """Return how many requests of the service are active."""
        return self._active_by_service.get(service, 0)

    def forget(self, service: str) -> None:
        """Drop the tokens of a service whose row was deleted."""
        self._bucket_by_service.pop(service, None)

    @staticmethod
    def _concurrency_share(query: LimitQuery) -> int:
        """Return how many requests may be active on this host at the same time."""
        limit = query.row.concurrency_limit
        fleet_slots = max(query.fleet_slots, query.own_slots, 1)
        if query.slots_before is None:
            return max(1, limit * query.own_slots // fleet_slots)
        before = limit * query.slots_before // fleet_slots
        up_to_own = limit * (query.slots_before + query.own_slots) // fleet_slots
        return up_to_own - before

    def _take_token(self, query: LimitQuery) -> bool:
        """Refill the bucket of the service and take a token; tell whether there was one."""
        fleet_slots = max(query.fleet_slots, query.own_slots, 1)
        share = query.own_slots / fleet_slots
        rate = query.row.rate_limit * share
        burst = max(1.0, query.row.rate_burst * share or rate * BURST_DURATION_S)
        bucket = self._bucket_by_service.setdefault(
            query.row.service, _ServiceBucket(burst, query.now)
        )
        refill = rate * max(0.0, query.now - bucket.refilled_at)
        bucket.tokens = min(burst, bucket.tokens + refill)
        bucket.refilled_at = max(bucket.refilled_at, query.now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True
