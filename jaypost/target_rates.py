"""Rates that targets name: how many requests a second they take from all nodes together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import structlog

from jaypost.logs import EventName

log = structlog.get_logger(__name__)


class TargetRates:
    """The rates that the targets of this host name, and the requests that were started at them.

    The node of a target is the only sender of its requests, so its counts are those of all nodes
    together.
    """

    def __init__(self) -> None:
        self.rate_by_id: dict[str, float] = {}
        # Requests started at a target while it names a rate.
        self.starts_by_id: Counter[str] = Counter()
        # Targets that have responded to this process.
        self._heard_ids: set[str] = set()

    def note(self, target_id: str, rate: float | None) -> bool:
        """Note the rate in a response, None if it names none; return whether it changed."""
        known = self.rate_by_id.get(target_id)
        if rate == known:
            return False
        if rate is None:
            del self.rate_by_id[target_id]
        else:
            self.rate_by_id[target_id] = rate
        log.info(
            EventName.TARGET_RATE_CHANGED,
            target=target_id,
            rate=rate,
            before=known,
            starts=self.starts_by_id[target_id],
        )
        return True

    def heard(self, target_id: str) -> None:
        """Note that a target responded; what other nodes know of its rate no longer counts."""
        self._heard_ids.add(target_id)

    def has_heard(self, target_id: str) -> bool:
        """Tell whether a target has responded to this process."""
        return target_id in self._heard_ids

    def started(self, target_id: str) -> None:
        """Count a request that is started at a target, if the target names a rate."""
        if target_id in self.rate_by_id:
            self.starts_by_id[target_id] += 1

    def retain(self, target_ids: Iterable[str]) -> None:
        """Keep what is known of these targets and forget all others."""
        kept = set(target_ids)
        self._heard_ids &= kept
        for by_id in (self.rate_by_id, self.starts_by_id):
            for target_id in by_id.keys() - kept:
                del by_id[target_id]
