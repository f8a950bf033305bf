"""Retries and hedges: what may be repeated, and the budget of a service."""

from __future__ import annotations

import random
from dataclasses import dataclass

from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.records import Row

INITIAL_TOKENS = 1.0
# Retries saved up in quiet times come on top of the budget when every target starts to fail. Each
# node may save up this many, so that the sum over a fleet stays small.
MAX_TOKENS = 3.0
# Refusals by nodes that a request may meet before it queues.
MAX_HAND_OVERS = 2
BACKOFF_S = 0.01
BACKOFF_MAX_S = 0.1
# Failures after which a repeatable request may have run; every other kind is either not run or
# would fail in the same way again.
REPEATED_KINDS = frozenset({ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_CUT, ErrorKind.INTERNAL})


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
        Whether a byte of this attempt may have reached the application of a target.
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
    earlier_reached : bool
        Whether a byte of an earlier attempt may have reached the application of a target.
    arrivals : int
        Attempts that arrived at a target, also those that it refused unexecuted.
    hand_overs : int
        Attempts that no target has seen.
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
    earlier_reached: bool = False
    arrivals: int = 0
    hand_overs: int = 0


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt after the delay."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller; `final` tells the nodes above not to retry either."""

    kind: ErrorKind | None
    final: bool


def hand_over_limit(row: Row) -> int:
    """Return how often a request may go on to another node after one refused it unexecuted.

    Such an attempt reaches no target and costs no retry.
    """
    return MAX_HAND_OVERS if row.retry_limit else 0


class RetryPolicy:
    """Retry rules and the budget of each service.

    A request earns `retry_budget` tokens when it starts and loses them when its first attempt
    fails, so that retries stop when every target fails. The budget then bounds the load at every
    depth of a call chain, even when applications do not pass on the retry and final headers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tokens_by_service: dict[str, float] = {}

    def request_started(self, row: Row, now: float) -> None:
        """Add the share of one request to the budget of its service."""
        self._add(row, row.retry_budget)

    def decide(self, failure: AttemptFailed) -> Retry | GiveUp:
        """Return whether another attempt is made."""
        not_run = self._is_not_run(failure)
        if failure.attempt == 1 and not not_run:
            self._add(failure.row, -failure.row.retry_budget)
        if not self._may_repeat(failure, not_run):
            return GiveUp(failure.kind, final=True)
        delay_s = 0.0 if not_run else self._delay(failure.attempt)
        if failure.remaining_s <= delay_s:
            return GiveUp(failure.kind, final=True)
        repeats = not not_run or failure.arrivals > 0
        if repeats and not self._charge(failure.row):
            return GiveUp(failure.kind, final=True)
        return Retry(delay_s)

    def may_hedge(self, row: Row, method: str, inside_retry: bool, now: float) -> bool:
        """Return whether a second attempt may start now, and charge it to the budget."""
        if inside_retry or not row.hedge_ms or not row.retry_limit:
            return False
        return method in row.repeatable_methods and self._charge(row)

    def forget(self, service: str) -> None:
        """Drop the budget of a service whose row was deleted."""
        self._tokens_by_service.pop(service, None)

    @staticmethod
    def _is_not_run(failure: AttemptFailed) -> bool:
        if failure.kind is None or failure.reached:
            return False
        answer = ANSWER_BY_KIND[failure.kind]
        return answer.retryable and answer.run_state is RunState.NOT_RUN

    @staticmethod
    def _may_repeat(failure: AttemptFailed, not_run: bool) -> bool:
        if failure.final or not failure.body_kept:
            return False
        if failure.arrivals > failure.row.retry_limit:
            return False
        if failure.hand_overs > hand_over_limit(failure.row):
            return False
        repeatable = failure.method in failure.row.repeatable_methods
        if not_run:
            return repeatable or not failure.earlier_reached
        if failure.inside_retry or not repeatable:
            return False
        return failure.kind is None or failure.kind in REPEATED_KINDS

    def _delay(self, attempt: int) -> float:
        ceiling_s = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** (attempt - 1))
        return self._rng.uniform(0.0, ceiling_s)

    def _add(self, row: Row, tokens: float) -> None:
        held = self._tokens_by_service.get(row.service, INITIAL_TOKENS)
        self._tokens_by_service[row.service] = min(MAX_TOKENS, max(0.0, held + tokens))

    def _charge(self, row: Row) -> bool:
        held = self._tokens_by_service.get(row.service, INITIAL_TOKENS)
        if held < 1.0 or not row.retry_budget:
            return False
        self._tokens_by_service[row.service] = held - 1.0
        return True
