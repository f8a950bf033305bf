"""Definitions shared by ingress and egress: header names, error responses and call results."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus

from jaypost.admission import CallClass
from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.http_messages import ResponseHead
from jaypost.records import Load

HOST = b"host"
REQUEST_ID = b"x-request-id"
IDEMPOTENCY_KEY = b"idempotency-key"
# Milliseconds left until the deadline of the request.
DEADLINE_MS = b"x-jaypost-deadline-ms"
TENANT = b"x-jaypost-tenant"
# Name of the workspace whose key the request carried; never taken from a caller.
WORKSPACE = b"x-jaypost-workspace"
# Present on a request that is part of a retry or a hedge, so that the nodes further down the call
# chain do not retry as well.
RETRY = b"x-jaypost-retry"
# Present on a response after which the nodes further up the call chain must not retry.
FINAL = b"x-jaypost-final"
# Identifier of the target that the ingress chose.
TARGET = b"x-jaypost-target"
# "1" when the request may wait for a slot of the target.
MAY_QUEUE = b"x-jaypost-may-queue"
# `CallClass` of the request, set by the ingress and in the response by the egress.
CLASS = b"x-jaypost-class"
# Row that the request matched, for a service in a roll-out.
ROUTE = b"x-jaypost-route"
# Table version that the ingress used.
VERSION = b"x-jaypost-version"
# Service that makes the call: that of the targets on the host of the ingress.
CALLER = b"x-jaypost-caller"
# Priority of the row; 0 goes first.
PRIORITY = b"x-jaypost-priority"
# Present on the response of a target that did not execute the request.
SHED = b"x-jaypost-shed"
# Current duration of work at a target, in percent of the usual one.
WORK_DURATION = b"x-jaypost-work-duration"
# Requests per second that a target takes from all nodes together, a decimal number. An ingress
# sends what it knows with its requests, for a restarted node that has not heard its target yet.
RATE = b"x-jaypost-rate"
# "1" in the responses of a target that leaves.
LEAVING = b"x-jaypost-leaving"
# Milliseconds within which the caller wants the response, from `Row.target_latency_ms`.
ANSWER_BY_MS = b"x-jaypost-answer-by-ms"
# Present on an error response when the target may have received the request.
ARRIVED = b"x-jaypost-arrived"
RETRY_AFTER = b"retry-after"
# `ErrorKind` of an error response.
ERROR = b"x-jaypost-error"
# `RunState` of an error response.
RUN = b"x-jaypost-run"
# `Load` of the target.
LOAD = b"x-jaypost-load"

DEFAULT_TENANT = "default"


@dataclass(frozen=True, slots=True)
class CallEnded:
    """Result of one call as seen by a node, for metrics and logs.

    Parameters
    ----------
    request_id : str
        Identifier of the request; empty when its head could not be read.
    service : str
        Service that the caller named (ingress) or that the target belongs to (egress).
    tenant : str
        Tenant of the request.
    call_class : CallClass
        Class of the request.
    version : int
        Table version that the call used.
    kind : ErrorKind or None
        Error that ended the call; None when a complete response was delivered.
    status : int
        HTTP status sent; 0 when none was sent.
    run_state : RunState
        Whether the request was executed, as far as it is known.
    attempts : int
        Attempts dispatched (ingress), or 1 when the target was called (egress).
    queue_s : float
        Time in seconds before the last dispatch: for the body, the claim and earlier attempts
        (ingress), or for the body and the admission queue (egress).
    service_s : float
        Time in seconds from the last dispatch to the end.
    total_s : float
        Time in seconds from the head of the request to the end.
    hedged : bool
        Whether a second attempt was started while the first one still ran.
    target_id : str
        Target that was called (egress).
    route : str
        Row that the request matched (egress), if the service is in a roll-out.
    """

    request_id: str
    service: str
    tenant: str
    call_class: CallClass
    version: int
    kind: ErrorKind | None
    status: int
    run_state: RunState
    attempts: int
    queue_s: float
    service_s: float
    total_s: float
    hedged: bool = False
    target_id: str = ""
    route: str = ""


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """A complete response that reports an error."""

    head: ResponseHead
    body: bytes


def error_response(
    kind: ErrorKind,
    request_id: bytes,
    run_state: RunState | None = None,
    load: Load | None = None,
    final: bool = False,
    detail: dict[str, object] | None = None,
    retry_after_s: float | None = None,
) -> ErrorResponse:
    """Return the response for `kind`; `run_state` overrides the one in `ANSWER_BY_KIND`."""
    answer = ANSWER_BY_KIND[kind]
    state = run_state or answer.run_state
    content = {
        "error": kind,
        "run": state,
        "text": answer.text,
        "request_id": request_id.decode("latin-1"),
        **(detail or {}),
    }
    body = json.dumps(content).encode() + b"\n"
    control = {ERROR: kind.encode(), RUN: state.encode()}
    if request_id:
        control[REQUEST_ID] = request_id
    if load is not None:
        control[LOAD] = str(load).encode()
    if final:
        control[FINAL] = b"1"
    headers = [(b"content-type", b"application/json")]
    if answer.status is HTTPStatus.UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
    return ErrorResponse(ResponseHead(answer.status, control, headers, len(body)), body)


def parse_load(value: bytes | None) -> Load | None:
    """Return the load from the header `LOAD`, or None when it is missing or malformed.

    The value has the form of ``str(Load)``: busy slots, offered slots and queued requests,
    separated by slashes.
    """
    if value is None:
        return None
    parts = value.split(b"/")
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return None
    return Load(int(parts[0]), int(parts[1]), int(parts[2]))


def parse_rate(value: bytes) -> float | None:
    """Return the requests per second from the header `RATE`, or None when it is malformed."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if 0.0 <= rate < float("inf") else None


def parse_error_kind(value: bytes | None) -> ErrorKind | None:
    """Return the error kind named in a header; an unknown name counts as `INTERNAL`."""
    if value is None:
        return None
    try:
        return ErrorKind(value.decode("latin-1"))
    except ValueError:
        return ErrorKind.INTERNAL
