"""Circuit breakers of the local targets: requests that a dead target would swallow are refused."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Requests in a row that ended without any answer before a target counts as dead. A single one may
# have met a connection that the target had closed.
BROKEN_IN_A_ROW = 3
# Interval in seconds at which a dead target gets one request. A restart takes longer.
TRIAL_INTERVAL_S = 0.25


@dataclass(slots=True)
class _Breaker:
    """What is known about one target."""

    broken: int = 0
    trial_at: float = float("-inf")

    @property
    def is_open(self) -> bool:
        """Tell whether the target counts as dead."""
        return self.broken >= BROKEN_IN_A_ROW


class Breakers:
    """Decides which local targets get requests, from whether they answer at all.

    A dead target ends its requests at once and so always has free slots, which draws more of them
    from every ingress node. Only its own node sees all of its failures. What was refused here was
    not run and goes to another target.
    """

    def __init__(self) -> None:
        self._breaker_by_id: dict[str, _Breaker] = {}

    def allows(self, target_id: str, now: float) -> bool:
        """Tell whether a request may go to a target, and count it as the trial if it is one."""
        breaker = self._breaker_by_id.get(target_id)
        if breaker is None or not breaker.is_open:
            return True
        if now < breaker.trial_at:
            return False
        breaker.trial_at = now + TRIAL_INTERVAL_S
        return True

    def is_open(self, target_id: str) -> bool:
        """Tell whether a target counts as dead."""
        breaker = self._breaker_by_id.get(target_id)
        return breaker is not None and breaker.is_open

    def broken(self, target_id: str, now: float) -> bool:
        """Note a request that ended without an answer; tell whether the target is dead from now."""
        breaker = self._breaker_by_id.setdefault(target_id, _Breaker())
        was_open = breaker.is_open
        breaker.broken += 1
        if breaker.is_open and not was_open:
            breaker.trial_at = now + TRIAL_INTERVAL_S
            return True
        return False

    def alive(self, target_id: str) -> bool:
        """Note an answer or an announcement; tell whether the target was dead until now."""
        breaker = self._breaker_by_id.pop(target_id, None)
        return breaker is not None and breaker.is_open

    def keep(self, target_ids: Iterable[str]) -> None:
        """Forget all other targets."""
        for target_id in self._breaker_by_id.keys() - set(target_ids):
            del self._breaker_by_id[target_id]
