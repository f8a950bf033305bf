"""Retries and hedges: what may be repeated, and the budget of a service."""

from __future__ import annotations

import random
from dataclasses import dataclass

from jaypost.errors import ErrorKind
from jaypost.records import Row


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt that did not give a usable answer.

    Parameters
    ----------
    row : Row
        Row of the service.
    method : str
        HTTP method.
    attempt : int
        Number of attempts made so far, 1 for the first.
    kind : ErrorKind or None
        Kind of failure; None when the target answered with a server error status.
    status : int
        HTTP status of the answer; 0 when there was none.
    reached : bool
        Whether a byte of the request may have reached the application of a target.
    body_kept : bool
        Whether the whole body is still held, so that it can be sent again.
    final : bool
        Whether the answer says that it must not be retried above.
    inside_retry : bool
        Whether the request is itself part of a retry of a caller above.
    remaining_s : float
        Time left until the deadline.
    now : float
        Monotonic time in seconds.
    """

    row: Row
    method: str
    attempt: int
    kind: ErrorKind | None
    status: int
    reached: bool
    body_kept: bool
    final: bool
    inside_retry: bool
    remaining_s: float
    now: float


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt after the delay."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller; `final` tells the nodes above not to retry either."""

    kind: ErrorKind | None
    final: bool


class RetryPolicy:
    """Retry rules and the budget of each service."""

    def __init__(self, rng: random.Random) -> None:
        raise NotImplementedError

    def request_started(self, row: Row, now: float) -> None:
        """Add the share of one request to the budget of its service."""
        raise NotImplementedError

    def decide(self, failure: AttemptFailed) -> Retry | GiveUp:
        """Return whether another attempt is made."""
        raise NotImplementedError

    def may_hedge(self, row: Row, method: str, inside_retry: bool, now: float) -> bool:
        """Return whether a second attempt may start now, and charge it to the budget."""
        raise NotImplementedError
