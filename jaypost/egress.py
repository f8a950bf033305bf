"""Peer-facing side of a node: checks requests, admits them and sends them to a local target."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from http import HTTPStatus

import structlog

from jaypost.admission import (
    Admission,
    Admit,
    Admitted,
    CallClass,
    Cancel,
    Decision,
    LongWorkClassifier,
    Message,
    Refused,
    Release,
    ReportDuration,
    ReportRate,
    SetTargets,
    Tick,
)
from jaypost.breakers import Breakers
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
    ErrorResponse,
    error_response,
    parse_rate,
)
from jaypost.codecs import HeaderDialect, RequestHead, ResponseHead
from jaypost.connections import (
    BufferPlace,
    CallServer,
    ConnectionHandlers,
    IncomingCall,
    InFlight,
    Responder,
)
from jaypost.descriptors import connection_limits
from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.invariants import check
from jaypost.limits import FleetLimits, LimitQuery
from jaypost.links.grants import (
    BodyDecision,
    BodyGranted,
    BodyGrants,
    BodyRefused,
    BodyRequest,
)
from jaypost.logs import EventName
from jaypost.pools import CallFailed, ConnectionPool, PooledExchange, Receiver
from jaypost.records import Address, Load, PlacedTarget, Row, Snapshot, Target, TargetState
from jaypost.settings import Settings
from jaypost.target_rates import TargetRates
from jaypost.transfers import Transfers
from jaypost.uplink import Uplink

log = structlog.get_logger(__name__)

# Added to the drain delay of a target, both for the timer that refuses its queued calls and for the
# last time at which a call may start. The timer may be late on a busy host.
DRAIN_TIMER_SLACK_S = 0.05
# Interval in seconds of the `Tick` messages to the admission while calls are queued.
TICK_INTERVAL_S = 0.02
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
            egress.note_rate(self.target_id, parse_rate(known_rate))
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
            self._egress.on_target_leaving(self.target_id)
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
        self._egress.rates.heard(self.target_id)
        named = head.control.get(RATE)
        rate = parse_rate(named) if named is not None else None
        if rate is not None or (named is None and self._refused_kind is None):
            self._egress.note_rate(self.target_id, rate)

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


@dataclass(frozen=True, slots=True)
class FleetSlots:
    """Slots of the reachable ready targets of a service: all, and those on hosts before this one.

    Hosts are ordered by node id, so that their shares of a concurrency limit add up to the limit.
    """

    total: int
    on_earlier_hosts: int


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


class Egress:
    """Server for calls from other nodes, and the only sender of requests to the local targets.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    admission : Admission
        Owner of the slots and queues of the local targets.
    limits : FleetLimits
        Rate and concurrency limits of the services, which hold for the whole fleet.
    snapshot : callable
        Returns the snapshot in force.
    on_call_ended : callable
        Called with the result of each call.
    dialect : HeaderDialect or None
        Header names on the connections of targets; None for those of jaypost.
    uplink : Uplink or None
        Link of the host; None for a new `Uplink` with the rate of the settings, which the ingress
        does not share.
    """

    def __init__(
        self,
        settings: Settings,
        admission: Admission,
        limits: FleetLimits,
        snapshot: Callable[[], Snapshot],
        on_call_ended: Callable[[CallEnded], None],
        dialect: HeaderDialect | None = None,
        uplink: Uplink | None = None,
    ) -> None:
        uplink = uplink or Uplink(settings.link_mbps)
        self.transfers = Transfers(uplink)
        self.settings = settings
        self.admission = admission
        self.limits = limits
        self.snapshot = snapshot
        self.report = on_call_ended
        self.clock = time.monotonic  # the clock of uvloop has a resolution of only 1 ms
        self.long_work_classifier = LongWorkClassifier()
        self.breakers = Breakers()
        self.rates = TargetRates()
        # Targets that have named the request in a response.
        self.naming_target_ids: set[str] = set()
        max_connections = connection_limits(settings.max_files)
        self.pool = ConnectionPool(
            settings, dialect=dialect, max_connections=max_connections.to_targets
        )
        self.in_flight = InFlight()
        self.refuses_calls = False
        self._drain_ends_at = float("inf")
        # Called with the id of a target for each response in which it says that it leaves.
        self.on_target_leaving: Callable[[str], None] = lambda target_id: None
        # Tells whether a roll-out lets no request go to a target.
        self.excludes: Callable[[Target], bool] = lambda target: False
        self.target_by_id: dict[str, Target] = {}
        self.own_slots_by_service: dict[str, int] = {}
        self._announced_targets: tuple[Target, ...] = ()
        self._drain_delay_end_by_id: dict[str, float] = {}
        self.call_by_ticket: dict[str, EgressCall] = {}
        self.queued_tickets: set[str] = set()
        self.body_grants = BodyGrants(settings.link_mbps)
        self.call_by_body_ticket: dict[str, EgressCall] = {}
        self._fleet_slots_snapshot: Snapshot | None = None
        self._fleet_slots_by_service: dict[str, FleetSlots] = {}
        self._ticket_numbers = itertools.count(1)
        self._decisions: deque[Decision] = deque()
        self._applying_decisions = False
        self._tick_timer: asyncio.TimerHandle | None = None
        self._server = CallServer(
            settings,
            settings.listen_peer,
            ConnectionHandlers(self.open_call, self._refuse_input),
            uplink,
        )

    async def start(self) -> Address:
        """Listen for peers and return the address with the actual port."""
        self.loop = asyncio.get_running_loop()
        await self.pool.start()
        return await self._server.start()

    def buffered_bytes(self) -> dict[BufferPlace, int]:
        """Return the bytes of responses that the connections hold, by place."""
        return self._server.buffered_bytes()

    def set_targets(self, targets: tuple[Target, ...]) -> None:
        """Replace the targets of the host.

        A target that was ready and now drains accepts new calls until the drain delay is over,
        because the other nodes send calls until they learn of the drain. Calls that still wait for
        a slot at the end of the delay are refused.
        """
        self._announced_targets = targets
        listed = {target.target_id for target in targets}
        for target_id in self._drain_delay_end_by_id.keys() - listed:
            del self._drain_delay_end_by_id[target_id]
        self._apply_targets()

    def _apply_targets(self) -> None:
        now = self.clock()
        effective = tuple(self._effective_target(target, now) for target in self._announced_targets)
        self.target_by_id = {target.target_id: target for target in effective}
        self.breakers.retain(self.target_by_id)
        self.rates.retain(self.target_by_id)
        self.naming_target_ids &= self.target_by_id.keys()
        self.own_slots_by_service = {}
        for target in effective:
            if target.state is TargetState.READY:
                slots = self.own_slots_by_service.get(target.service, 0)
                self.own_slots_by_service[target.service] = slots + target.slots
        self.handle(SetTargets(effective, now))
        for target in effective:
            if target.state is TargetState.DRAINING:
                self._refuse_queued_calls(target.target_id, ErrorKind.DRAINING)

    def _refuse_queued_calls(self, target_id: str, kind: ErrorKind) -> None:
        for ticket in tuple(self.queued_tickets):
            call = self.call_by_ticket.get(ticket)
            if call is not None and call.target_id == target_id:
                call.leave_queue(kind)

    def refuse_excluded_calls(self) -> None:
        """Refuse the queued calls at targets that a roll-out excludes."""
        for target in self.target_by_id.values():
            if self.excludes(target):
                self._refuse_queued_calls(target.target_id, ErrorKind.DRAINING)

    def calls_by_target(self) -> tuple[tuple[Target, int], ...]:
        """Return the calls that wait or are in execution at each target of the host."""
        loads = [(target, self.admission.load(i)) for i, target in self.target_by_id.items()]
        return tuple((target, load.busy + load.queued) for target, load in loads)

    def record_broken_connection(self, target_id: str) -> None:
        """Count a connection that a target closed without a response or did not accept."""
        if self.breakers.record_failure(target_id, self.clock()):
            log.warning(EventName.TARGET_DOWN, target=target_id)
            self._refuse_queued_calls(target_id, ErrorKind.TARGET_DOWN)

    def record_target_alive(self, target_id: str) -> None:
        """Record that a target answered or announced itself."""
        if self.breakers.record_alive(target_id):
            log.info(EventName.TARGET_UP, target=target_id)

    def note_rate(self, target_id: str, rate: float | None) -> None:
        """Note the rate that a target names in a response, None if it names none."""
        if self.rates.note(target_id, rate):
            self.handle(ReportRate(target_id, rate, self.clock()))

    def load(self, target_id: str) -> Load:
        """Return the load to report for a target; a target that is down has no free slots."""
        load = self.admission.load(target_id)
        if self.breakers.is_open(target_id):
            return replace(load, busy=max(load.busy, load.slots))
        return load

    def _effective_target(self, target: Target, now: float) -> Target:
        """Return the target as it is treated: as ready until its drain delay is over."""
        if target.state is not TargetState.DRAINING:
            self._drain_delay_end_by_id.pop(target.target_id, None)
            return target
        known = self.target_by_id.get(target.target_id)
        if target.target_id not in self._drain_delay_end_by_id:
            was_ready = known is not None and known.state is TargetState.READY
            delay_s = self._target_drain_delay_s() if was_ready else 0.0
            self._drain_delay_end_by_id[target.target_id] = now + delay_s
            self.loop.call_later(delay_s + DRAIN_TIMER_SLACK_S, self._apply_targets)
        if now < self._drain_delay_end_by_id[target.target_id]:
            return replace(target, state=TargetState.READY)
        return target

    def _target_drain_delay_s(self) -> float:
        """Return for how many seconds a draining target accepts new calls.

        It is at most half of `drain_bound_ms`.
        """
        return min(self.settings.drain_delay_s, self.settings.drain_bound_ms / 2000)

    def may_start(self, target_id: str, now: float) -> bool:
        """Tell whether a call may start at a target: not after its drain delay and the slack."""
        return now < self._drain_delay_end_by_id.get(target_id, float("inf")) + DRAIN_TIMER_SLACK_S

    def open_call(self, responder: Responder, head: RequestHead) -> IncomingCall:
        """Return a call of a peer, or of the ingress of this node; its owner begins it."""
        return EgressCall(self, responder, head)

    def may_outlast_drain(self, deadline: float) -> bool:
        """Tell whether a call that starts now may be cut off at the end of a drain.

        Until new calls are refused, calls start whatever their deadline, because callers learn only
        meanwhile that the node leaves.
        """
        return deadline > self._drain_ends_at

    async def drain(self, timeout_s: float | None = None) -> bool:
        """Refuse new calls after the drain delay and wait for those in flight.

        Parameters
        ----------
        timeout_s : float, optional
            Time in seconds for the calls in flight after the drain delay; by default
            `drain_timeout_s` of the settings.

        Returns
        -------
        bool
            Whether all calls ended within the timeout.
        """
        if timeout_s is None:
            timeout_s = self.settings.drain_timeout_s
        await asyncio.sleep(self.settings.drain_delay_s)
        self.refuses_calls = True
        self._drain_ends_at = self.clock() + timeout_s
        return await self._server.drain(self.in_flight, timeout_s)

    async def close(self) -> None:
        """Close all sockets; calls in flight are cancelled."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None
        await self._server.close()
        await self.pool.close()

    # admission

    def new_ticket(self) -> str:
        """Return a ticket that is unique on this node."""
        return str(next(self._ticket_numbers))

    def fleet_slots(self, service: str) -> FleetSlots:
        """Return the slots of the reachable ready targets of a service in the snapshot."""
        snapshot = self.snapshot()
        if snapshot is not self._fleet_slots_snapshot:
            self._fleet_slots_snapshot = snapshot
            self._fleet_slots_by_service = {}
        slots = self._fleet_slots_by_service.get(service)
        if slots is None:
            slots = self._count_slots(snapshot.targets_by_service.get(service, ()))
            self._fleet_slots_by_service[service] = slots
        own = self.own_slots_by_service.get(service, 0)
        if slots.total < slots.on_earlier_hosts + own:  # own targets not in snapshot yet
            return FleetSlots(slots.on_earlier_hosts + own, slots.on_earlier_hosts)
        return slots

    def _count_slots(self, targets: tuple[PlacedTarget, ...]) -> FleetSlots:
        ready = [
            placed
            for placed in targets
            if placed.reachable and placed.target.state is TargetState.READY
        ]
        own_id = self.settings.node_id
        before = sum(placed.target.slots for placed in ready if placed.node_id < own_id)
        return FleetSlots(sum(placed.target.slots for placed in ready), before)

    def handle(self, message: Message) -> None:
        """Pass a message to the admission, and its decisions to their calls in order."""
        self._decisions.extend(self.admission.handle(message))
        if self._applying_decisions:
            return  # the outer call, which runs the loop below, applies the new decisions
        self._applying_decisions = True
        try:
            while self._decisions:
                decision = self._decisions.popleft()
                call = self.call_by_ticket.get(decision.ticket)
                if call is not None:
                    call.on_decision(decision)
                elif isinstance(decision, Admitted):
                    # The call ended before its slot was granted.
                    now = self.clock()
                    self._decisions.extend(
                        self.admission.handle(Release(decision.ticket, 0.0, now))
                    )
        finally:
            self._applying_decisions = False

    def apply_body_decisions(self, decisions: Iterable[BodyDecision]) -> None:
        """Pass decisions about bodies to their calls."""
        for decision in decisions:
            call = self.call_by_body_ticket.get(decision.ticket)
            if call is not None:
                call.on_body_decision(decision)
        if self.body_grants.has_waiting:
            self.start_tick_timer()

    def start_tick_timer(self) -> None:
        """Start the timer of the next `Tick`, which refuses queued calls that would be late."""
        if self._tick_timer is None:
            self._tick_timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        self.handle(Tick(self.clock()))
        self.apply_body_decisions(self.body_grants.tick(self.clock()))
        if self.queued_tickets:
            self.start_tick_timer()

    def _refuse_input(self, kind: ErrorKind) -> ErrorResponse:
        """Return the response to input that is not a valid request, and report the call."""
        status = ANSWER_BY_KIND[kind].status if kind in ANSWER_BY_KIND else HTTPStatus.BAD_REQUEST
        self.report(
            CallEnded(
                "",
                "",
                DEFAULT_TENANT,
                CallClass.SHORT,
                self.snapshot().version,
                kind,
                status,
                RunState.NOT_RUN,
                0,
                0.0,
                0.0,
                0.0,
            )
        )
        return error_response(kind, b"")
