"""Error kinds of jaypost and the HTTP response that a caller gets for each of them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus


class RunState(StrEnum):
    """Whether a target has executed a request, as far as the node knows."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(StrEnum):
    """Every kind of error that jaypost reports to a caller or an operator."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    FRAMING_EXCESSIVE = "framing_excessive"
    BODY_TOO_SLOW = "body_too_slow"
    BAD_DEADLINE = "bad_deadline"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KEY = "unknown_key"
    ALLOTMENT_USED = "allotment_used"
    NOT_READY = "not_ready"
    NO_TARGET = "no_target"
    SLOTS_FULL = "slots_full"
    QUEUE_FULL = "queue_full"
    LINK_FULL = "link_full"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    DRAINING = "draining"
    TARGET_SHED = "target_shed"
    TARGET_DOWN = "target_down"
    WRONG_TARGET = "wrong_target"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LIMIT = "connection_limit"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_CUT = "answer_cut"
    DUPLICATE_REQUEST = "duplicate_request"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CANCELLED = "cancelled"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """Response to a caller for one error kind.

    Parameters
    ----------
    status : HTTPStatus
        Status of the HTTP response.
    run_state : RunState
        Whether a target may have executed the request.
    retryable : bool
        Whether another attempt may succeed without the risk of executing the request twice.
    text : str
        Description of the error for people, one sentence.
    """

    status: HTTPStatus
    run_state: RunState
    retryable: bool
    text: str


def _not_run(status: HTTPStatus, text: str, retryable: bool = False) -> Answer:
    """Return the response for a request that no target executed."""
    return Answer(status, RunState.NOT_RUN, retryable, text)


ANSWER_BY_KIND: Mapping[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: _not_run(HTTPStatus.BAD_REQUEST, "The request is malformed."),
    ErrorKind.HEADERS_TOO_LARGE: _not_run(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "The request headers are too large."
    ),
    ErrorKind.FRAMING_EXCESSIVE: _not_run(
        HTTPStatus.BAD_REQUEST, "The framing of the body is out of proportion to its content."
    ),
    ErrorKind.BODY_TOO_SLOW: _not_run(
        HTTPStatus.REQUEST_TIMEOUT, "The request body arrived too slowly."
    ),
    ErrorKind.BAD_DEADLINE: _not_run(
        HTTPStatus.BAD_REQUEST, "The deadline header is not a positive number of milliseconds."
    ),
    ErrorKind.UNKNOWN_SERVICE: _not_run(
        HTTPStatus.NOT_FOUND, "No row of the table matches the request."
    ),
    ErrorKind.UNKNOWN_KEY: _not_run(
        HTTPStatus.UNAUTHORIZED, "The request has no key that a workspace holds."
    ),
    ErrorKind.ALLOTMENT_USED: _not_run(
        HTTPStatus.TOO_MANY_REQUESTS, "The allotment of the workspace is used up."
    ),
    ErrorKind.NOT_READY: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, "The node holds no table version yet.", retryable=True
    ),
    ErrorKind.NO_TARGET: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, "The service has no target that can be tried."
    ),
    ErrorKind.SLOTS_FULL: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, "Every slot of the target is busy.", retryable=True
    ),
    ErrorKind.QUEUE_FULL: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, "The queue of the target is full.", retryable=True
    ),
    ErrorKind.LINK_FULL: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "The link of the target's host is busy with other responses.",
        retryable=True,
    ),
    ErrorKind.RATE_LIMITED: _not_run(
        HTTPStatus.TOO_MANY_REQUESTS, "The rate limit of the service is reached."
    ),
    ErrorKind.CONCURRENCY_LIMITED: _not_run(
        HTTPStatus.TOO_MANY_REQUESTS, "The concurrency limit of the service is reached."
    ),
    ErrorKind.DEADLINE_TOO_SHORT: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, "The estimated wait exceeds the deadline.", retryable=True
    ),
    ErrorKind.DEADLINE_EXCEEDED: _not_run(
        HTTPStatus.GATEWAY_TIMEOUT, "The deadline passed before the request was dispatched."
    ),
    ErrorKind.DRAINING: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, "The target is draining.", retryable=True
    ),
    ErrorKind.TARGET_SHED: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, "The target refused the request unexecuted.", retryable=True
    ),
    ErrorKind.TARGET_DOWN: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "The target broke its last connections off without an answer.",
        retryable=True,
    ),
    ErrorKind.WRONG_TARGET: _not_run(
        HTTPStatus.MISDIRECTED_REQUEST, "The host does not have this target.", retryable=True
    ),
    ErrorKind.CONNECT_FAILED: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "No connection to the target could be opened.",
        retryable=True,
    ),
    ErrorKind.CONNECTION_LIMIT: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "The node has as many connections open as it may have.",
        retryable=True,
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        HTTPStatus.GATEWAY_TIMEOUT,
        RunState.UNKNOWN,
        False,
        "The request was dispatched and its outcome is unknown.",
    ),
    ErrorKind.ANSWER_CUT: Answer(
        HTTPStatus.BAD_GATEWAY,
        RunState.UNKNOWN,
        False,
        "The answer of the target ended before it was complete.",
    ),
    ErrorKind.DUPLICATE_REQUEST: _not_run(
        HTTPStatus.CONFLICT, "A request with this idempotency key was already accepted."
    ),
    ErrorKind.CLAIM_UNAVAILABLE: _not_run(
        HTTPStatus.SERVICE_UNAVAILABLE, "The idempotency key could not be claimed in the store."
    ),
    ErrorKind.CANCELLED: Answer(
        HTTPStatus.REQUEST_TIMEOUT, RunState.UNKNOWN, False, "The caller cancelled the request."
    ),
    ErrorKind.NOT_FOUND: _not_run(HTTPStatus.NOT_FOUND, "The path does not exist."),
    ErrorKind.METHOD_NOT_ALLOWED: _not_run(
        HTTPStatus.METHOD_NOT_ALLOWED, "The path does not accept this method."
    ),
    ErrorKind.INTERNAL: Answer(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        RunState.UNKNOWN,
        False,
        "The node failed to handle the request.",
    ),
}
