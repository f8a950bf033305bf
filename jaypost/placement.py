"""Choice of the target of an attempt: weighted destinations, locality, load hints and health."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from jaypost.errors import ErrorKind
from jaypost.health import TargetHealth
from jaypost.records import Destination, Load, PlacedTarget, Spill


@dataclass(frozen=True, slots=True)
class ChooseTarget:
    """Ask for the target of one attempt.

    Parameters
    ----------
    service : str
        Destination service of the request.
    targets : tuple of PlacedTarget
        Targets of that service in the snapshot of the request.
    spill : Spill
        How far the row lets requests go.
    tried : frozenset of str
        Identifiers of the targets that earlier attempts used.
    last_attempt : bool
        Whether no attempt may follow, so that this one may queue.
    now : float
        Monotonic time in seconds.
    """

    service: str
    targets: tuple[PlacedTarget, ...]
    spill: Spill
    tried: frozenset[str]
    last_attempt: bool
    now: float


@dataclass(frozen=True, slots=True)
class Chosen:
    """The target of an attempt and whether the attempt may wait in its queue."""

    target: PlacedTarget
    may_queue: bool


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can be tried."""

    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt was sent to the target."""

    target_id: str
    now: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Result of an attempt, as the ingress saw it.

    Parameters
    ----------
    target : PlacedTarget
        Target of the attempt.
    kind : ErrorKind or None
        None when the target answered, whatever the status.
    status : int
        HTTP status of the answer; 0 when there was none.
    latency_s : float
        Time to the first byte of the answer.
    load : Load or None
        Load reported by the target's node with the answer.
    now : float
        Monotonic time in seconds.
    """

    target: PlacedTarget
    kind: ErrorKind | None
    status: int
    latency_s: float
    load: Load | None
    now: float


class Placement:
    """Chooses targets from the load and health that the ingress knows."""

    def __init__(
        self, failure_domain: str, region: str, health: TargetHealth, rng: random.Random
    ) -> None:
        raise NotImplementedError

    def destination(
        self, destinations: tuple[Destination, ...], snapshot_targets: Mapping[str, object]
    ) -> str | None:
        """Return the destination service of a new request, by weight."""
        raise NotImplementedError

    def choose(self, question: ChooseTarget) -> Chosen | NoTarget:
        """Return the target of the next attempt."""
        raise NotImplementedError

    def observe(self, event: AttemptStarted | AttemptEnded) -> None:
        """Update load hints and health."""
        raise NotImplementedError
