"""One request of a peer: its checks, its slot, its request to the target and the response."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

import structlog

from jaypost.admission import (
    Admit,
    Admitted,
    CallClass,
    Cancel,
    Decision,
    Refused,
    Release,
    ReportDuration,
)
from jaypost.calls import (
    ANSWER_BY_MS,
    ARRIVED,
    CALLER,
    CLASS,
    DEADLINE_MS,
    DEFAULT_TENANT,
    FINAL,
    HOST,
    IDEMPOTENCY_KEY,
    LEAVING,
    LOAD,
    MAY_QUEUE,
    PRIORITY,
    RATE,
    REQUEST_ID,
    RETRY,
    ROUTE,
    SHED,
    TARGET,
    TENANT,
    WORK_DURATION,
    WORKSPACE,
    CallEnded,
    error_response,
    parse_rate,
)
from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.exchanges import CallFailed, Receiver
from jaypost.http_messages import RequestHead, ResponseHead
from jaypost.invariants import check
from jaypost.limits import LimitQuery
from jaypost.links.grants import BodyDecision, BodyGranted, BodyRefused, BodyRequest
from jaypost.logs import EventName
from jaypost.pools import PooledExchange
from jaypost.records import Address, Row, Target, TargetState
from jaypost.responders import IncomingCall, Responder

if TYPE_CHECKING:
    from jaypost.egress import Egress

log = structlog.get_logger(__name__)

# Value of `ANSWER_BY_MS` for a request without that header; longer than any deadline.
DEFAULT_ANSWER_BY_MS = 1_000_000_000

# Part of the time until its deadline that the body of a request may take to arrive. The rest is for
# its execution and the response.
BODY_TIME_FRACTION = 0.6

# Control headers that are passed on to the target unchanged.
_FORWARDED_CONTROL = (HOST, REQUEST_ID, TENANT, WORKSPACE, RETRY, IDEMPOTENCY_KEY, CALLER, TARGET)


# Statuses by which a target tells a caller that its request was not run and will not be.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class EgressCall(IncomingCall):
    """One request of a peer, from its head to the release of its slot."""

    __slots__ = (
        "_admitted_at",
        "_body_bytes",
        "_body_chunks",
        "_body_complete",
        "_body_paused",
        "_body_ticket",
        "_call_class",
        "_counted_by_limits",
        "_deadline",
        "_done",
        "_egress",
        "_exchange",
        "_expected_transfer_s",
        "_head",
        "_opened_at",
        "_refused_kind",
        "_responder",
        "_response_bytes",
        "_response_status",
        "_row",
        "_streaming",
        "_target",
        "_ticket",
        "_timeout_timer",
        "_waiting_for_slot",
        "_write_paused",
    )

    def __init__(self, egress: Egress, responder: Responder, head: RequestHead) -> None:
        self._egress = egress
        self._responder = responder
        self._head = head
        self._opened_at = egress.clock()
        self._row: Row | None = None
        self._target: Target | None = None
        self._deadline = 0.0
        self._ticket = ""
        self._call_class = CallClass.SHORT
        # Whether the admission has the call and has neither admitted nor refused it.
        self._waiting_for_slot = False
        self._admitted_at: float | None = None
        self._counted_by_limits = False
        # Whether the call asks for a slot before its body is read, because the body is large or its
        # length is unknown, or the sender waits for ``100 Continue``.
        self._streaming = False
        self._body_bytes = 0
        self._body_chunks: list[bytes] = []
        self._body_complete = False
        # Whether the target takes no more of the body now.
        self._body_paused = False
        # Identifies the body on the link, from its request until it has arrived.
        self._body_ticket = ""
        self._exchange: PooledExchange | None = None
        self._response_status = 0
        self._response_bytes = 0
        # Whether the other side takes no more of the response now.
        self._write_paused = False
        self._expected_transfer_s = 0.0
        # Set when the target reports that it did not execute the request.
        self._refused_kind: ErrorKind | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._done = False

    def begin(self) -> None:
        """Check the head and ask for a slot; a small body is read first."""
        self._egress.in_flight.enter()
        kind = self._check_head()
        if kind is not None:
            self._refuse(kind)
            return
        limit = self._egress.settings.buffered_body_bytes
        self._streaming = self._head.chunked or (self._head.content_length or 0) > limit
        if self._streaming:
            self._responder.pause_body()
            self._ask_for_slot()
        elif self._head.expect_continue:
            self._ask_for_body(may_be_refused=True)

    def _ask_for_body(self, may_be_refused: bool) -> None:
        """Ask the sender for the body when the link has room for it."""
        egress = self._egress
        if not self._responder.uses_link:
            self._responder.send_continue()
            return
        control = self._head.control
        now = egress.clock()
        self._body_ticket = egress.new_ticket()
        egress.call_by_body_ticket[self._body_ticket] = self
        egress.apply_body_decisions(
            (
                egress.body_grants.request(
                    BodyRequest(
                        self._body_ticket,
                        self._head.content_length or 0,
                        _int_or_default(control.get(PRIORITY), 0),
                        self._latest_body_arrival(now) if may_be_refused else float("inf"),
                        not may_be_refused or control.get(MAY_QUEUE) == b"1",
                        now,
                    )
                ),
            )
        )

    def _latest_body_arrival(self, now: float) -> float:
        """Return the time at which the body must be here, so that the request can still run."""
        return now + BODY_TIME_FRACTION * (self._deadline - now)

    def on_body_decision(self, decision: BodyDecision) -> None:
        """Ask for the body, or refuse the request before its body is sent."""
        if isinstance(decision, BodyGranted):
            self._responder.send_continue()
        elif isinstance(decision, BodyRefused):
            self._refuse(ErrorKind.LINK_FULL)

    def _end_body(self) -> None:
        """Note that the link does not carry the body any more."""
        ticket, self._body_ticket = self._body_ticket, ""
        if ticket:
            egress = self._egress
            del egress.call_by_body_ticket[ticket]
            egress.apply_body_decisions(egress.body_grants.ended(ticket, egress.clock()))

    def _check_head(self) -> ErrorKind | None:
        egress = self._egress
        control = self._head.control
        target = egress.target_by_id.get(control.get(TARGET, b"").decode("latin-1"))
        if target is None:
            return ErrorKind.WRONG_TARGET
        self._target = target
        if egress.refuses_calls or target.state is TargetState.DRAINING:
            return ErrorKind.DRAINING
        if egress.excludes(target):
            return ErrorKind.DRAINING
        if target.state is not TargetState.READY:
            return ErrorKind.WRONG_TARGET
        self._row = egress.snapshot().rows_by_service.get(target.service)
        if self._row is None:
            return ErrorKind.NOT_READY
        remaining = control.get(DEADLINE_MS)
        if remaining is None:
            remaining = b"%d" % self._row.timeout_ms
        if not remaining.isdigit() or not 0 < len(remaining) <= 9 or not int(remaining):
            return ErrorKind.BAD_DEADLINE
        self._deadline = self._opened_at + int(remaining) / 1000
        return None

    # admission

    def _ask_for_slot(self) -> None:
        assert self._row is not None and self._target is not None
        egress = self._egress
        now = egress.clock()
        if not egress.breakers.allows(self.target_id, now):
            self._refuse(ErrorKind.TARGET_DOWN)
            return
        known_rate = self._head.control.get(RATE)
        if known_rate is not None and not egress.rates.has_heard(self.target_id):
            egress.note_rate(self._target, parse_rate(known_rate))
        query = LimitQuery(
            self._row,
            egress.own_slots_by_service.get(self._target.service, 0),
            egress.fleet_slots(self._target.service).total,
            now,
            egress.fleet_slots(self._target.service).on_earlier_hosts,
        )
        kind = egress.limits.enter(query)
        if kind is not None:
            self._refuse(kind)
            return
        self._counted_by_limits = True
        self._ticket = egress.new_ticket()
        self._waiting_for_slot = True
        egress.call_by_ticket[self._ticket] = self
        control = self._head.control
        if control.get(CLASS) == CallClass.LONG.encode():
            self._call_class = CallClass.LONG
        else:
            self._call_class = egress.long_work_classifier.classify(
                self._row, self._head.target, now
            )
        path = self._head.target
        self._expected_transfer_s = egress.transfers.expected_s(self._row.service, path)
        egress.handle(
            Admit(
                self._ticket,
                self._target.target_id,
                self._row,
                control.get(TENANT, b"").decode("latin-1") or DEFAULT_TENANT,
                self._call_class,
                self._deadline,
                control.get(MAY_QUEUE) == b"1",
                now,
                _int_or_default(control.get(PRIORITY), 0),
                self._opened_at
                + _int_or_default(control.get(ANSWER_BY_MS), DEFAULT_ANSWER_BY_MS) / 1000,
                self._expected_transfer_s,
                egress.transfers.link_wait_s() if self._expected_transfer_s else 0.0,
            )
        )

    @property
    def target_id(self) -> str:
        """Identifier of the target; empty when the request names no target of this host."""
        return self._target.target_id if self._target is not None else ""

    def leave_queue(self, kind: ErrorKind) -> None:
        """Refuse the call if it still waits for a slot, because the target drains or is down."""
        if self._waiting_for_slot:
            self._refuse(kind)

    def on_decision(self, decision: Decision) -> None:
        """Apply a decision of the admission about this call."""
        self._egress.queued_tickets.discard(self._ticket)
        if isinstance(decision, Admitted):
            self._waiting_for_slot = False
            now = self._admitted_at = self._egress.clock()
            assert self._row is not None
            path = self._head.target
            self._egress.transfers.reserve(self._ticket, self._expected_transfer_s)
            self._egress.long_work_classifier.started(self._ticket, self._row.service, path, now)
            self._dispatch(now)
        elif isinstance(decision, Refused):
            self._waiting_for_slot = False
            self._refuse(decision.kind)
        else:
            self._egress.queued_tickets.add(self._ticket)
            self._egress.start_tick_timer()

    def _dispatch(self, now: float) -> None:
        assert self._target is not None and self._row is not None
        remaining_ms = int((self._deadline - now) * 1000)
        if remaining_ms <= 0:
            self._refuse(ErrorKind.DEADLINE_EXCEEDED)
            return
        if self._egress.may_outlast_drain(self._deadline):
            self._refuse(ErrorKind.DRAINING)
            return
        may_start = self._egress.may_start(self.target_id, now)
        if not check(may_start, "P7_work_after_drain", target=self.target_id):
            self._refuse(ErrorKind.DRAINING)
            return
        self._egress.rates.started(self.target_id)
        head = self._head
        received = head.control
        control = {name: received[name] for name in _FORWARDED_CONTROL if name in received}
        control[DEADLINE_MS] = b"%d" % remaining_ms
        body = b"".join(self._body_chunks)
        self._body_chunks.clear()
        self._exchange = PooledExchange(
            Address(self._target.host, self._target.port),
            RequestHead(
                head.method,
                head.target,
                control,
                head.headers,
                head.content_length,
                head.chunked,
            ),
            body,
            not self._streaming,
            _TargetReceiver(self),
        )
        if self._write_paused:
            self._exchange.pause()
        first_byte_timeout_s = self._row.first_byte_timeout_ms / 1000
        timeout_at = (
            min(self._deadline, now + first_byte_timeout_s)
            if first_byte_timeout_s
            else self._deadline
        )
        self._timeout_timer = self._egress.loop.call_at(timeout_at, self._on_timeout)
        self._egress.pool.start_exchange(self._exchange)

    # request body

    def on_body(self, data: bytes) -> None:
        """Buffer or forward a part of the request body."""
        if self._done:
            return
        self._body_bytes += len(data)
        if self._body_ticket:
            egress = self._egress
            egress.apply_body_decisions(
                egress.body_grants.arrived(self._body_ticket, len(data), egress.clock())
            )
        if not self._streaming or self._exchange is None or not self._exchange.reached:
            self._body_chunks.append(data)
        else:
            self._exchange.send_body(data)

    def on_body_end(self) -> None:
        """Ask for a slot if the body was buffered, else complete the forwarded request."""
        if self._done:
            return
        self._body_complete = True
        self._end_body()
        if not self._streaming:
            self._ask_for_slot()
        elif self._exchange is not None and self._exchange.reached:
            self._complete_request(self._exchange)

    def _complete_request(self, exchange: PooledExchange) -> None:
        """Send the end of a forwarded request, unless a part of its body is missing."""
        if exchange.has_whole_body(self._body_bytes, "egress"):
            exchange.send_end()
            return
        exchange.cancel()
        self._fail(ErrorKind.OUTCOME_UNKNOWN)

    def on_request_head_sent(self) -> None:
        """Send the buffered part of the body, then let the sender continue."""
        if not self._streaming or self._exchange is None:
            return
        for data in self._body_chunks:
            self._exchange.send_body(data)
        self._body_chunks.clear()
        if self._body_complete:
            self._complete_request(self._exchange)
            return
        if self._head.expect_continue:
            self._ask_for_body(may_be_refused=False)
        if not self._body_paused:
            self._responder.resume_body()

    def on_target_write_paused(self, paused: bool) -> None:
        """Pass the backpressure of the target on to the sender of the body."""
        self._body_paused = paused
        if paused:
            self._responder.pause_body()
        else:
            self._responder.resume_body()

    def on_fault(self, kind: ErrorKind) -> None:
        """End the call, because the rest of the request cannot be read."""
        exchange = self._exchange
        if exchange is not None and exchange.reached:
            exchange.cancel()
            self._fail(ErrorKind.OUTCOME_UNKNOWN)
        else:
            self._refuse(ErrorKind.BAD_REQUEST if kind is ErrorKind.ANSWER_CUT else kind)

    def on_disconnect(self) -> None:
        """Cancel the call at the target by closing its connection."""
        reached = self._exchange is not None and self._exchange.reached
        if self._exchange is not None:
            self._exchange.cancel()
        self._end(
            ErrorKind.CANCELLED,
            self._response_status,
            RunState.UNKNOWN if reached else RunState.NOT_RUN,
        )

    def on_write_paused(self) -> None:
        """Pause reading the response of the target, also if it has not begun."""
        self._write_paused = True
        if self._exchange is not None:
            self._exchange.pause()

    def on_write_resumed(self) -> None:
        """Resume reading the response of the target."""
        self._write_paused = False
        if self._exchange is not None:
            self._exchange.resume()

    # response

    def on_target_head(self, head: ResponseHead) -> None:
        """Forward the head of the response, unless it says that the request was not executed."""
        assert self._exchange is not None and self._target is not None
        self._egress.record_target_alive(self.target_id)
        request_id = self._head.control.get(REQUEST_ID, b"")
        if REQUEST_ID in head.control:
            self._egress.naming_target_ids.add(self.target_id)
        if not self._belongs_to_call(head, request_id):
            log.error(
                "crossed_response",
                target=self._target.target_id,
                got=head.control.get(REQUEST_ID, b""),
            )
            self._exchange.cancel()
            self._fail(ErrorKind.OUTCOME_UNKNOWN)
            return
        named = not request_id or head.control.get(REQUEST_ID) == request_id
        check(named or not _says_not_run(head), "P5_refusal_without_request", status=head.status)
        percent = _int_or_default(head.control.get(WORK_DURATION), 0)
        if percent:
            now = self._egress.clock()
            self._egress.handle(ReportDuration(self.target_id, percent / 100, now))
        if SHED in head.control:
            self._refused_kind = ErrorKind.TARGET_SHED
        elif head.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._refused_kind = ErrorKind.WRONG_TARGET
        self._note_rate(head)
        rate = self._egress.rates.rate_by_id.get(self.target_id)
        is_leaving = head.control.get(LEAVING) == b"1"
        if is_leaving:
            self._egress.on_target_leaving(self._target)
        if self._refused_kind is not None:
            return
        control = {
            REQUEST_ID: request_id,
            LOAD: str(self._egress.admission.load(self._target.target_id)).encode(),
            CLASS: self._call_class.encode(),
        }
        if rate is not None:
            control[RATE] = b"%.6g" % rate
        if is_leaving:
            control[LEAVING] = b"1"
        if FINAL in head.control:
            control[FINAL] = head.control[FINAL]
        self._response_status = head.status
        if (
            self._timeout_timer is not None
            and self._row is not None
            and self._row.first_byte_timeout_ms
        ):
            self._timeout_timer.cancel()
            self._timeout_timer = self._egress.loop.call_at(self._deadline, self._on_timeout)
        self._responder.send_head(
            ResponseHead(head.status, control, head.headers, head.content_length)
        )

    def _note_rate(self, head: ResponseHead) -> None:
        """Note the rate that the target names; only a request that was run tells that it ended."""
        assert self._target is not None
        self._egress.rates.heard(self.target_id)
        named = head.control.get(RATE)
        rate = parse_rate(named) if named is not None else None
        if rate is not None or (named is None and self._refused_kind is None):
            self._egress.note_rate(self._target, rate)

    def _belongs_to_call(self, head: ResponseHead, request_id: bytes) -> bool:
        """Tell whether a response may be taken for the one to the request with `request_id`.

        A response that names no request is taken only from a target that has never named one, and
        only if it does not say that the request was not run.
        """
        echoed = head.control.get(REQUEST_ID)
        if echoed is not None:
            return echoed == request_id
        if not request_id:
            return True
        return self.target_id not in self._egress.naming_target_ids and not _says_not_run(head)

    def on_target_body(self, data: bytes) -> None:
        """Forward a part of the response body."""
        if self._refused_kind is None:
            self._response_bytes += len(data)
            self._responder.send_body(data)

    def on_target_end(self) -> None:
        """Complete the response, or answer with an error if the request was not executed."""
        if self._refused_kind is not None:
            self._fail(self._refused_kind)
            return
        self._responder.send_end()
        self._responder.flush()
        self._end(None, self._response_status, RunState.RAN)

    def on_target_failed(self, failure: CallFailed) -> None:
        """Answer with an error, or abort a response whose head was sent."""
        target_failed = failure.kind is not ErrorKind.CONNECTION_LIMIT
        if target_failed and not self._response_status and self._refused_kind is None:
            self._egress.record_broken_connection(self.target_id)
        if self._refused_kind is not None:
            self._fail(self._refused_kind)
        elif self._response_status:
            responder = self._responder
            self._end(ErrorKind.ANSWER_CUT, self._response_status, RunState.UNKNOWN)
            responder.abort()
        elif failure.reached:
            self._fail(ErrorKind.OUTCOME_UNKNOWN)
        else:
            self._refuse(failure.kind)

    def on_batch_end(self) -> None:
        """Flush the forwarded data to the peer; do not wait for the rest of a refusal.

        The body of a refusal is not forwarded, and may have no end.
        """
        if self._refused_kind is not None and not self._done:
            assert self._exchange is not None
            self._exchange.cancel()
            self._fail(self._refused_kind)
            return
        self._responder.flush()

    def _on_timeout(self) -> None:
        """Cancel the request to the target at its deadline or its first-byte timeout."""
        exchange = self._exchange
        assert exchange is not None
        exchange.cancel()
        if self._response_status:
            self.on_target_failed(CallFailed(ErrorKind.ANSWER_CUT, reached=True))
        elif exchange.reached:
            self._fail(ErrorKind.OUTCOME_UNKNOWN)
        else:
            self._refuse(ErrorKind.DEADLINE_EXCEEDED)

    # end

    def _refuse(self, kind: ErrorKind) -> None:
        """Answer with an error that reports the request as not run."""
        reached = self._exchange is not None and self._exchange.reached
        if not check(not reached, "P5_not_run_after_dispatch", kind=kind):
            kind = ErrorKind.OUTCOME_UNKNOWN
        self._fail(kind)

    def _fail(self, kind: ErrorKind) -> None:
        """End the call with an error response that reports the load of the target."""
        answer = ANSWER_BY_KIND[kind]
        request_id = self._head.control.get(REQUEST_ID, b"")
        responder = self._responder
        arrived = self._exchange is not None and self._exchange.reached
        self._end(kind, answer.status, answer.run_state)
        load = self._egress.load(self.target_id) if self._target is not None else None
        error = error_response(kind, request_id, load=load)
        if arrived:
            error.head.control[ARRIVED] = b"1"
        responder.send_error(error, head_only=self._head.method == "HEAD")

    def _end(self, kind: ErrorKind | None, status: int, run_state: RunState) -> None:
        """Release all that the call holds, log a failure and report the result."""
        if self._done:
            return
        self._done = True
        egress = self._egress
        now = egress.clock()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
            self._timeout_timer = None
        egress.in_flight.leave()
        self._end_body()
        egress.call_by_ticket.pop(self._ticket, None)
        egress.queued_tickets.discard(self._ticket)
        if self._counted_by_limits and self._row is not None:
            egress.limits.leave(self._row.service)
        started_at = self._admitted_at if self._admitted_at is not None else now
        if kind is not None and kind is not ErrorKind.CANCELLED:
            log.info(
                EventName.EXECUTION_FAILED,
                request_id=self._head.control.get(REQUEST_ID, b"").decode("latin-1"),
                target=self.target_id,
                kind=kind,
                run=run_state,
                load=str(egress.load(self.target_id)),
                link_ms=int(egress.transfers.link_wait_s() * 1000),
                queue_ms=int((started_at - self._opened_at) * 1000),
                service_ms=int((now - started_at) * 1000),
                left_ms=int((self._deadline - now) * 1000) if self._deadline else 0,
            )
        egress.report(
            CallEnded(
                self._head.control.get(REQUEST_ID, b"").decode("latin-1"),
                self._target.service if self._target is not None else "",
                self._head.control.get(TENANT, b"").decode("latin-1") or DEFAULT_TENANT,
                self._call_class,
                egress.snapshot().version,
                kind,
                status,
                run_state,
                1 if self._exchange is not None else 0,
                started_at - self._opened_at,
                now - started_at,
                now - self._opened_at,
                target_id=self.target_id,
                route=self._head.control.get(ROUTE, b"").decode("latin-1"),
            )
        )
        self._exchange = None  # breaks the reference cycle of call, exchange and receiver
        if self._admitted_at is not None:
            egress.transfers.release(self._ticket)
            self._record_duration_and_size(run_state, now - started_at)
            egress.handle(Release(self._ticket, now - started_at, now))
        elif self._waiting_for_slot:
            egress.handle(Cancel(self._ticket, now))

    def _record_duration_and_size(self, run_state: RunState, service_s: float) -> None:
        assert self._row is not None
        long_work_classifier = self._egress.long_work_classifier
        service, path = self._row.service, self._head.target
        if run_state is RunState.RAN:
            long_work_classifier.observe(service, path, service_s, self._ticket)
            self._egress.transfers.observe(service, path, self._response_bytes)
        else:
            long_work_classifier.discard(self._ticket, service, path)


def _says_not_run(head: ResponseHead) -> bool:
    """Tell whether a caller takes a response as the promise that its request was not run."""
    return SHED in head.control or head.status in NOT_RUN_STATUSES


def _int_or_default(value: bytes | None, default: int) -> int:
    return int(value) if value is not None and value.isdigit() else default


class _TargetReceiver(Receiver):
    """Passes the response of the target to its call."""

    __slots__ = ("_call",)

    def __init__(self, call: EgressCall) -> None:
        self._call = call

    def on_started(self) -> None:
        self._call.on_request_head_sent()

    def on_head(self, head: ResponseHead) -> None:
        self._call.on_target_head(head)

    def on_body(self, data: bytes) -> None:
        self._call.on_target_body(data)

    def on_end(self) -> None:
        self._call.on_target_end()

    def on_failed(self, failure: CallFailed) -> None:
        self._call.on_target_failed(failure)

    def on_batch_end(self) -> None:
        self._call.on_batch_end()

    def on_request_write_paused(self) -> None:
        self._call.on_target_write_paused(True)

    def on_request_write_resumed(self) -> None:
        self._call.on_target_write_paused(False)
