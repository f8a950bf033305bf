"""Retry and hedging rules, and the retry budget of each service."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.records import Row

INITIAL_RETRY_TOKENS = 1.0
# Most tokens that a node saves for one service, however small the fleet is.
MAX_RETRY_TOKENS = 3.0
# Attempts of a request that did not arrive at a target (see `undelivered_attempt_limit`) before an
# attempt of it may wait in the queue of a target. One more undelivered attempt fails the request.
MAX_UNDELIVERED_ATTEMPTS = 2
# The delay before a retry is random. Its upper bound is BACKOFF_BASE_S after the first attempt and
# doubles with each further one, up to BACKOFF_MAX_S.
BACKOFF_BASE_S = 0.01
BACKOFF_MAX_S = 0.1
# Failures after which the request may have run, so that it is retried only if its method is
# repeatable. Other failures are retried only if the request certainly did not run and would not
# fail in the same way again.
RETRY_IF_REPEATABLE_KINDS = frozenset(
    {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_CUT, ErrorKind.INTERNAL}
)


@dataclass(frozen=True, slots=True)
class RetryQuery:
    """A failed attempt and the state of its request.

    Parameters
    ----------
    row : Row
        Row of the request.
    service : str
        Service that the request goes to, a destination of the row.
    method : str
        HTTP method.
    attempt : int
        Number of attempts made so far, including this one; 1 for the first.
    kind : ErrorKind or None
        Kind of failure; None if the target responded with a server error status.
    status : int
        HTTP status of the response; 0 if there was none.
    may_have_run : bool
        Whether a byte of this attempt may have reached the application of a target, so that the
        request may have run. False if the target refused the request without executing it.
    body_kept : bool
        Whether the whole request body is still buffered, so that it can be sent again.
    final : bool
        Whether the response is marked as final: nodes that receive it must not retry the request.
    inside_retry : bool
        Whether the request results from a retry or a hedge by a node earlier in the call chain.
    remaining_s : float
        Time in seconds until the deadline of the request.
    now : float
        Monotonic time in seconds.
    earlier_may_have_run : bool
        Like `may_have_run`, for any earlier attempt of the request.
    delivered_attempts : int
        Number of attempts that arrived at a target, including those that the target refused
        without executing them.
    undelivered_attempts : int
        Number of attempts that did not arrive at any target.
    """

    row: Row
    service: str
    method: str
    attempt: int
    kind: ErrorKind | None
    status: int
    may_have_run: bool
    body_kept: bool
    final: bool
    inside_retry: bool
    remaining_s: float
    now: float
    earlier_may_have_run: bool = False
    delivered_attempts: int = 0
    undelivered_attempts: int = 0


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt after a delay in seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Report the failure; `final` tells nodes earlier in the call chain not to retry either."""

    kind: ErrorKind | None
    final: bool


def undelivered_attempt_limit(row: Row) -> int:
    """Return how many undelivered attempts precede one that may wait in a queue.

    An undelivered attempt did not arrive at a target, for example because the node of the target
    refused it. It does not count against the retry limit of the row, and it costs no retry token as
    long as no attempt of the request has arrived at a target.
    """
    return MAX_UNDELIVERED_ATTEMPTS if row.retry_limit else 0


def saved_token_limit(slack: float, host_count: int) -> float:
    """Return how many tokens a node may save for one service.

    When every target starts to fail, all nodes spend their saved tokens at once. They are retries
    beyond the budget, so their sum over the fleet stays within what the targets accept. A node
    that could not save a whole token could never retry, so that the sum exceeds `slack` in a fleet
    of more than `slack` hosts.

    Parameters
    ----------
    slack : float
        Retries that the targets of a service accept beyond the budget, from the whole fleet.
    host_count : int
        Number of hosts in the fleet, at least 1.
    """
    return min(MAX_RETRY_TOKENS, max(INITIAL_RETRY_TOKENS, slack / host_count))


class RetryPolicy:
    """Decides on retries and hedges, and keeps a bucket of retry tokens for each service.

    All rows that send requests to a service share its bucket: many rows would otherwise allow many
    retries at the service when its targets begin to fail.

    A request adds `retry_budget` tokens when it starts. A hedge takes one token, and so does a
    retry that `decide` charges. The tokens of a request are taken back when its first attempt
    fails, unless that attempt did not run and another one may succeed. So retries stop when every
    target fails, which bounds the load at every depth of a call chain, even if applications do not
    pass on the retry and final headers.

    Parameters
    ----------
    rng : random.Random
        Source of the random retry delays.
    slack : float
        Retries that the targets of a service accept beyond the budget, from the whole fleet.
    """

    def __init__(self, rng: random.Random, slack: float = math.inf) -> None:
        self._rng = rng
        self._slack = slack
        self._token_limit = saved_token_limit(slack, 1)
        self._tokens_by_service: dict[str, float] = {}

    def note_hosts(self, count: int) -> None:
        """Note how many hosts the fleet has as far as known, this one included."""
        self._token_limit = saved_token_limit(self._slack, count)

    def tokens(self, service: str) -> float:
        """Return the tokens that are left for a service."""
        return self._tokens_by_service.get(service, INITIAL_RETRY_TOKENS)

    def request_started(self, row: Row, service: str, now: float) -> None:
        """Add the tokens of one request to the bucket of its service."""
        self._add_tokens(service, row.retry_budget)

    def decide(self, failure: RetryQuery) -> Retry | GiveUp:
        """Return whether the request is attempted again, and charge the attempt to the budget.

        A retry costs no token if no attempt has arrived at a target and this one was refused.
        """
        refused = self._is_retryable_refusal(failure)
        if failure.attempt == 1 and not refused:
            self._add_tokens(failure.service, -failure.row.retry_budget)
        if not self._may_retry(failure, refused):
            return GiveUp(failure.kind, final=True)
        delay_s = 0.0 if refused else self._random_delay_s(failure.attempt)
        if failure.remaining_s <= delay_s:
            return GiveUp(failure.kind, final=True)
        costs_token = not refused or failure.delivered_attempts > 0
        if costs_token and not self._take_token(failure.row, failure.service):
            return GiveUp(failure.kind, final=True)
        return Retry(delay_s)

    def charge_hedge(
        self, row: Row, service: str, method: str, inside_retry: bool, now: float
    ) -> bool:
        """Return whether a hedge may be sent now; if so, take its token from the budget."""
        if inside_retry or not row.hedge_ms or not row.retry_limit:
            return False
        return method in row.repeatable_methods and self._take_token(row, service)

    def forget(self, service: str) -> None:
        """Remove the token bucket of a service whose row was deleted."""
        self._tokens_by_service.pop(service, None)

    @staticmethod
    def _is_retryable_refusal(failure: RetryQuery) -> bool:
        """Tell whether the attempt certainly did not run and another one may succeed."""
        if failure.kind is None or failure.may_have_run:
            return False
        answer = ANSWER_BY_KIND[failure.kind]
        return answer.retryable and answer.run_state is RunState.NOT_RUN

    @staticmethod
    def _may_retry(failure: RetryQuery, refused: bool) -> bool:
        if failure.final or not failure.body_kept:
            return False
        if failure.delivered_attempts > failure.row.retry_limit:
            return False
        if failure.undelivered_attempts > undelivered_attempt_limit(failure.row):
            return False
        repeatable = failure.method in failure.row.repeatable_methods
        if refused:
            return repeatable or not failure.earlier_may_have_run
        if failure.inside_retry or not repeatable:
            return False
        return failure.kind is None or failure.kind in RETRY_IF_REPEATABLE_KINDS

    def _random_delay_s(self, attempt: int) -> float:
        ceiling_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** (attempt - 1))
        return self._rng.uniform(0.0, ceiling_s)

    def _add_tokens(self, service: str, tokens: float) -> None:
        available = self.tokens(service)
        self._tokens_by_service[service] = min(self._token_limit, max(0.0, available + tokens))

    def _take_token(self, row: Row, service: str) -> bool:
        available = self.tokens(service)
        if available < 1.0 or not row.retry_budget:
            return False
        self._tokens_by_service[service] = available - 1.0
        return True
