"""Circuit breakers of the local targets: requests to a target that is down are refused."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# A target counts as down after this many consecutive requests without a response. A single one may
# have been sent on a connection that the target had already closed.
FAILURES_TO_OPEN = 3
# Interval at which a target that is down gets one trial request. A target takes longer than this to
# restart.
TRIAL_INTERVAL_S = 0.25


@dataclass(slots=True)
class _Breaker:
    """State of the breaker of one target: consecutive failures and time of the next trial."""

    failures: int = 0
    next_trial_at: float = float("-inf")

    @property
    def is_open(self) -> bool:
        """Tell whether the target counts as down."""
        return self.failures >= FAILURES_TO_OPEN


class Breakers:
    """Circuit breakers by target, which open when a target does not respond at all.

    Requests to a target that is down fail at once, so it always has free slots, which attract more
    requests from every ingress node. Only the node of its own host sees all of its failures. A
    request that is refused here was not run, so it can be sent to another target.
    """

    def __init__(self) -> None:
        self._breaker_by_id: dict[str, _Breaker] = {}

    def allows(self, target_id: str, now: float) -> bool:
        """Tell whether a request may be sent to a target.

        While the breaker is open, one request in each trial interval is allowed as a trial.
        """
        breaker = self._breaker_by_id.get(target_id)
        if breaker is None or not breaker.is_open:
            return True
        if now < breaker.next_trial_at:
            return False
        breaker.next_trial_at = now + TRIAL_INTERVAL_S
        return True

    def is_open(self, target_id: str) -> bool:
        """Tell whether a target counts as down."""
        breaker = self._breaker_by_id.get(target_id)
        return breaker is not None and breaker.is_open

    def record_failure(self, target_id: str, now: float) -> bool:
        """Record a request that ended without a response; return True if this opens the breaker."""
        breaker = self._breaker_by_id.setdefault(target_id, _Breaker())
        was_open = breaker.is_open
        breaker.failures += 1
        if breaker.is_open and not was_open:
            breaker.next_trial_at = now + TRIAL_INTERVAL_S
            return True
        return False

    def record_alive(self, target_id: str) -> bool:
        """Record a response or an announcement; return True if this closes an open breaker."""
        breaker = self._breaker_by_id.pop(target_id, None)
        return breaker is not None and breaker.is_open

    def retain(self, target_ids: Iterable[str]) -> None:
        """Keep the breakers of these targets and forget all others."""
        for target_id in self._breaker_by_id.keys() - set(target_ids):
            del self._breaker_by_id[target_id]
