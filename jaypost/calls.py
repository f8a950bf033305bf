"""What ingress and egress share about a call: header names, answers to errors, the final event."""

from __future__ import annotations

import json
from dataclasses import dataclass

from jaypost.admission import CallClass
from jaypost.codecs import ResponseHead
from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.records import Load

HOST = b"host"
REQUEST_ID = b"x-request-id"
IDEMPOTENCY_KEY = b"idempotency-key"
DEADLINE_MS = b"x-jaypost-deadline-ms"
TENANT = b"x-jaypost-tenant"
RETRY = b"x-jaypost-retry"
FINAL = b"x-jaypost-final"
TARGET = b"x-jaypost-target"
MAY_QUEUE = b"x-jaypost-may-queue"
CLASS = b"x-jaypost-class"
VERSION = b"x-jaypost-version"
CALLER = b"x-jaypost-caller"
PRIORITY = b"x-jaypost-priority"
SHED = b"x-jaypost-shed"
# Present duration of work at a target, in percent of the usual.
WORK_DURATION = b"x-jaypost-work-duration"
ANSWER_BY_MS = b"x-jaypost-answer-by-ms"
ARRIVED = b"x-jaypost-arrived"
RETRY_AFTER = b"retry-after"
ERROR = b"x-jaypost-error"
RUN = b"x-jaypost-run"
LOAD = b"x-jaypost-load"

DEFAULT_TENANT = "default"


@dataclass(frozen=True, slots=True)
class CallEnded:
    """One call as a node saw it, for metrics and logs.

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
        Error that ended the call; None when a whole response was delivered.
    status : int
        Status sent; 0 when none was sent.
    run_state : RunState
        What is known about the execution.
    attempts : int
        Attempts dispatched (ingress), or 1 when the target was called (egress).
    queue_s : float
        Time before the last dispatch: body, claim and earlier attempts (ingress), or body and
        admission queue (egress).
    service_s : float
        Time from the last dispatch to the end.
    total_s : float
        Time from the head of the request to the end.
    hedged : bool
        Whether a second attempt was started while the first one still ran.
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


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """A complete response that reports an error."""

    head: ResponseHead
    body: bytes


def error_answer(
    kind: ErrorKind,
    request_id: bytes,
    run_state: RunState | None = None,
    load: Load | None = None,
    final: bool = False,
    detail: dict[str, object] | None = None,
    retry_after_s: float | None = None,
) -> ErrorAnswer:
    """Return the response for `kind`; `run_state` replaces the one of the kind's answer."""
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
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
    return ErrorAnswer(ResponseHead(answer.status, control, headers, len(body)), body)


def parse_load(value: bytes | None) -> Load | None:
    """Return the load reported in a header, or None when it is missing or malformed."""
    if value is None:
        return None
    parts = value.split(b"/")
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return None
    return Load(int(parts[0]), int(parts[1]), int(parts[2]))


def parse_kind(value: bytes | None) -> ErrorKind | None:
    """Return the error kind named in a header; an unknown name counts as `INTERNAL`."""
    if value is None:
        return None
    try:
        return ErrorKind(value.decode("latin-1"))
    except ValueError:
        return ErrorKind.INTERNAL
