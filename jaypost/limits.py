"""Fleet-wide rate and concurrency limits, enforced as shares at the nodes of the targets."""

from __future__ import annotations

from dataclasses import dataclass

from jaypost.errors import ErrorKind
from jaypost.records import Row


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
    """

    row: Row
    own_slots: int
    fleet_slots: int
    now: float


class FleetLimits:
    """Token buckets and counts of requests in execution by service."""

    def enter(self, question: LimitQuestion) -> ErrorKind | None:
        """Take one request into account, or return the limit it exceeds."""
        raise NotImplementedError

    def leave(self, service: str) -> None:
        """Take one request out of the count of requests in execution."""
        raise NotImplementedError
