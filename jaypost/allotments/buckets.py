"""Use of leased shares on one host: which requests are within the allotment of their workspace.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from jaypost.allotments.shares import LEASE_S, LEASED_RATE_FRACTION, Demand, Grant
from jaypost.workspaces.keys import Workspace

# Time constants of the two estimates of the demand. The slow one keeps the share of a host whose
# requests are rare steady, the fast one follows a rise.
SLOW_DEMAND_TIME_S = 5.0
FAST_DEMAND_TIME_S = 1.0
FAST_DEMAND_WEIGHT = 0.5
# Part of a limit that the hosts use in equal shares while there has been no divider since they
# started, as after a loss of all hosts. It is the part that a divider leases, and the hosts report
# it as held.
UNDIVIDED_FRACTION = LEASED_RATE_FRACTION
# Such a share is used only if no host has been added for this long. While the hosts of a fleet
# start together, each knows few of the others, and the shares would not add up to that part.
HOSTS_SETTLED_S = 1.0
# A workspace without requests for this long gives its share back.
IDLE_S = 10.0
# Time in seconds for which a host does not ask for more tokens after the divider had too few.
DENIED_PAUSE_S = 0.5
# Shortest and longest time in seconds after which a refused caller is asked to come back.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class Taken:
    """The request is within the allotment."""


@dataclass(frozen=True, slots=True)
class Short:
    """No token is here now, but the divider may have some."""


@dataclass(frozen=True, slots=True)
class OverAllotment:
    """The allotment is used up; there is room for the request after `retry_after_s` seconds."""

    retry_after_s: float


TakeOutcome = Taken | Short | OverAllotment


@dataclass(slots=True)
class _Bucket:
    """Share of one workspace on this host.

    `tokens` are those of the share, up to its room; `granted_tokens` came with the last grant, for
    requests that waited. `waiting` is the number of requests that wait for the next grant, `asked`
    the same when the divider was asked, `denied_at` the time of the last grant with too few tokens
    for them, and `returns_at` the time for which the last refused caller was asked to come back.
    """

    workspace: Workspace
    refilled_at: float
    rate: float = 0.0
    room: float = 1.0
    granted_limit: float = 0.0
    expires_at: float = float("-inf")
    denied_at: float = float("-inf")
    tokens: float = 0.0
    granted_tokens: float = 0.0
    slow_demand: float = 0.0
    fast_demand: float = 0.0
    demand_at: float = 0.0
    last_request_at: float = float("-inf")
    waiting: int = 0
    asked: int = 0
    returns_at: float = float("-inf")


class ShareBuckets:
    """Shares of all workspaces on this host.

    Parameters
    ----------
    fallback_fraction : float
        Fraction of a limit that the hosts which hold no lease may use together.
    """

    def __init__(self, fallback_fraction: float) -> None:
        self._fallback_fraction = fallback_fraction
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        # Hosts of the fleet, among which the fallback is divided, and when one was added last.
        self._host_count = 0
        self._host_added_at = float("-inf")
        # Whether a divider has been known since the start of the process.
        self.was_divided = False

    def note_hosts(self, count: int, now: float) -> None:
        """Note how many hosts the fleet has as far as known, this one included."""
        if count > self._host_count:
            self._host_added_at = now
        self._host_count = count

    def take(
        self, workspace: Workspace, now: float, may_wait: bool = True, has_waited: bool = False
    ) -> TakeOutcome:
        """Take a token for a request.

        Parameters
        ----------
        workspace : Workspace
            Workspace of the request, with a limit.
        now : float
            Time in seconds, suspended time included.
        may_wait : bool
            Whether there is a divider for which the request can wait.
        has_waited : bool
            Whether the request has waited already, so that it was counted before.
        """
        bucket = self._bucket(workspace, now)
        self._refill(bucket, now)
        if not has_waited:
            self._count_demand(bucket, now)
        if bucket.granted_tokens >= 1.0:
            bucket.granted_tokens -= 1.0
            return Taken()
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return Taken()
        if may_wait and not has_waited and now - bucket.denied_at >= DENIED_PAUSE_S:
            return Short()
        return OverAllotment(self._retry_after_s(bucket, now))

    def is_answered(self, workspace: Workspace, since: float, now: float) -> bool:
        """Tell whether there is a token now, or none was granted since a time."""
        bucket = self._bucket(workspace, now)
        self._refill(bucket, now)
        return max(bucket.granted_tokens, bucket.tokens) >= 1.0 or bucket.denied_at >= since

    def give_back(self, workspace: Workspace, now: float) -> None:
        """Return the token of a request that was refused later for another reason."""
        bucket = self._bucket_by_workspace.get(workspace.name)
        if bucket is not None:
            self._refill(bucket, now)
            bucket.tokens += 1.0

    def wait_began(self, workspace: Workspace) -> None:
        """Note that a request waits for the next grant."""
        self._bucket_by_workspace[workspace.name].waiting += 1

    def wait_ended(self, workspace: Workspace) -> None:
        """Note that a request does not wait any more."""
        bucket = self._bucket_by_workspace.get(workspace.name)
        if bucket is not None:
            bucket.waiting -= 1

    def demands(self, now: float) -> tuple[Demand, ...]:
        """Return what to ask the divider for; idle workspaces are dropped, and so given back."""
        for name, bucket in list(self._bucket_by_workspace.items()):
            if now - bucket.last_request_at > IDLE_S and not bucket.waiting:
                del self._bucket_by_workspace[name]
        for bucket in self._bucket_by_workspace.values():
            bucket.asked = bucket.waiting
        return tuple(
            Demand(
                name,
                self._demand_of(bucket, now),
                bucket.waiting,
                bucket.rate if bucket.expires_at > now else self._undivided_rate(bucket, now),
                bucket.room if bucket.expires_at > now else 0.0,
            )
            for name, bucket in self._bucket_by_workspace.items()
        )

    def apply(self, grants: Iterable[Grant], asked_at: float, now: float) -> None:
        """Use the grants that answer a request which was sent at `asked_at`."""
        self.was_divided = True
        for grant in grants:
            bucket = self._bucket_by_workspace.get(grant.workspace)
            if bucket is None:
                continue
            self._refill(bucket, now)
            bucket.rate, bucket.granted_limit = grant.rate, grant.limit
            bucket.room = grant.room
            bucket.expires_at = asked_at + LEASE_S
            if grant.tokens + bucket.tokens < bucket.asked:
                bucket.denied_at = now
            bucket.tokens = min(bucket.tokens, bucket.room)
            bucket.granted_tokens = grant.tokens

    def _undivided_rate(self, bucket: _Bucket, now: float) -> float:
        """Return the rate that this host uses without a lease, if no divider has been known."""
        return 0.0 if self.was_divided else self._rate(bucket, now)

    def rates(self, now: float) -> dict[str, float]:
        """Return the present share of each workspace in requests per second, by name."""
        buckets = self._bucket_by_workspace.items()
        return {name: self._rate(bucket, now) for name, bucket in buckets}

    def _bucket(self, workspace: Workspace, now: float) -> _Bucket:
        bucket = self._bucket_by_workspace.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(workspace, now, demand_at=now)
            bucket.tokens = 1.0 if not self.was_divided and self._unleased_fraction(now) else 0.0
            self._bucket_by_workspace[workspace.name] = bucket
        elif bucket.workspace is not workspace:
            bucket.workspace = workspace
        return bucket

    def _rate(self, bucket: _Bucket, now: float) -> float:
        """Return the present rate of a share.

        A change of the limit changes each share in proportion at once, which keeps their sum within
        the limit.
        """
        limit = bucket.workspace.rate_limit
        if bucket.expires_at <= now or not bucket.granted_limit:
            return self._unleased_fraction(now) * limit / max(1, self._host_count)
        return bucket.rate * limit / bucket.granted_limit

    def _unleased_fraction(self, now: float) -> float:
        """Return the fraction of a limit that all hosts without a lease may use together."""
        if self.was_divided:
            return self._fallback_fraction
        return UNDIVIDED_FRACTION if now - self._host_added_at >= HOSTS_SETTLED_S else 0.0

    def _refill(self, bucket: _Bucket, now: float) -> None:
        rate = self._rate(bucket, now)
        passed_s = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = max(bucket.refilled_at, now)
        room = bucket.room if bucket.expires_at > now else 1.0
        bucket.tokens = min(room, bucket.tokens + rate * passed_s)

    @staticmethod
    def _count_demand(bucket: _Bucket, now: float) -> None:
        passed_s = max(0.0, now - bucket.demand_at)
        bucket.slow_demand *= math.exp(-passed_s / SLOW_DEMAND_TIME_S)
        bucket.fast_demand *= math.exp(-passed_s / FAST_DEMAND_TIME_S)
        bucket.slow_demand += 1.0 / SLOW_DEMAND_TIME_S
        bucket.fast_demand += 1.0 / FAST_DEMAND_TIME_S
        bucket.demand_at = bucket.last_request_at = now

    @staticmethod
    def _demand_of(bucket: _Bucket, now: float) -> float:
        passed_s = max(0.0, now - bucket.demand_at)
        slow = bucket.slow_demand * math.exp(-passed_s / SLOW_DEMAND_TIME_S)
        fast = bucket.fast_demand * math.exp(-passed_s / FAST_DEMAND_TIME_S)
        return max(slow, FAST_DEMAND_WEIGHT * fast)

    def _retry_after_s(self, bucket: _Bucket, now: float) -> float:
        """Return when the next token is free, behind those of the callers refused before."""
        rate = max(self._rate(bucket, now), 1e-3)
        free_at = now + max(0.0, 1.0 - bucket.tokens) / rate
        returns_at = max(free_at, min(bucket.returns_at, now + MAX_RETRY_AFTER_S) + 1.0 / rate)
        bucket.returns_at = returns_at
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, returns_at - now))
