"""Passive health of targets: ejection, recovery and ramp-up from what requests show."""

from __future__ import annotations

from dataclasses import dataclass

from jaypost.errors import ErrorKind


@dataclass(frozen=True, slots=True)
class Observation:
    """One result of an attempt, reduced to what health needs."""

    target_id: str
    service: str
    kind: ErrorKind | None
    status: int
    latency_s: float
    now: float


class TargetHealth:
    """Health of each target, learnt from the results of attempts."""

    def observe(self, observation: Observation) -> None:
        """Take the result of one attempt into account."""
        raise NotImplementedError

    def weight(self, target_id: str, now: float) -> float:
        """Return the share of traffic for a target: 0 when ejected, 1 when healthy and warm."""
        raise NotImplementedError
