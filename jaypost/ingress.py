"""Caller-facing side of a node: reads requests, makes attempts and streams the response back."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import secrets
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, replace
from typing import Any, Protocol

import structlog

from jaypost.admission import CallClass
from jaypost.calls import (
    ANSWER_BY_MS,
    ARRIVED,
    CALLER,
    CLASS,
    DEADLINE_MS,
    DEFAULT_TENANT,
    ERROR,
    FINAL,
    HOST,
    IDEMPOTENCY_KEY,
    LOAD,
    MAY_QUEUE,
    PRIORITY,
    REQUEST_ID,
    RETRY,
    RUN,
    TARGET,
    TENANT,
    VERSION,
    CallEnded,
    ErrorAnswer,
    error_answer,
    parse_kind,
    parse_load,
)
from jaypost.claims import Claimed, ClaimOutcome, Duplicate
from jaypost.codecs import HeaderDialect, RequestHead, ResponseHead
from jaypost.connections import (
    CallServer,
    ConnectionHandlers,
    IncomingCall,
    InFlight,
    Responder,
)
from jaypost.egress import Egress
from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.invariants import check
from jaypost.local import LocalExchange
from jaypost.logs import EventName
from jaypost.placement import (
    QUEUE_REFUSALS,
    AttemptEnded,
    AttemptStarted,
    ChooseTarget,
    Chosen,
    NoTarget,
    Placement,
)
from jaypost.pools import CallFailed, ConnectionPool, Exchange, PooledExchange, Receiver
from jaypost.records import (
    Address,
    Destination,
    Load,
    PlacedTarget,
    Row,
    Snapshot,
    TargetState,
)
from jaypost.retries import AttemptFailed, GiveUp, Retry, RetryPolicy, hand_over_limit
from jaypost.settings import Settings
from jaypost.uplink import Uplink

log = structlog.get_logger(__name__)

# The egress cuts a call at its deadline and knows whether it was run; the ingress waits this much
# longer for that answer before it reports the outcome as unknown.
DEADLINE_GRACE_S = 0.05
SILENCE_GRACE_S = 0.25
# Responses up to this size are delivered once they are complete, so that one that is cut on the
# way can be replaced by another attempt.
BUFFERED_RESPONSE_BYTES = 262_144
# Part of the time of a request that its claim may take; the target needs the rest.
CLAIM_SHARE = 0.5
# Callers come back spread over this time, in seconds, once a slot may be free.
RETRY_AFTER_BY_KIND: Mapping[ErrorKind, tuple[float, float]] = {
    ErrorKind.NOT_READY: (0.2, 0.5),
    ErrorKind.NO_TARGET: (0.2, 0.5),
    ErrorKind.SLOTS_FULL: (0.05, 0.3),
    ErrorKind.QUEUE_FULL: (0.05, 0.3),
    ErrorKind.LINK_FULL: (0.05, 0.3),
    ErrorKind.DEADLINE_TOO_SHORT: (0.05, 0.3),
    ErrorKind.TARGET_SHED: (0.05, 0.3),
    ErrorKind.TARGET_DOWN: (0.05, 0.3),
    ErrorKind.DRAINING: (0.0, 0.1),
    ErrorKind.CONNECT_FAILED: (0.05, 0.3),
}
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
TENANT_PATTERN = re.compile(rb"[A-Za-z0-9_.-]{1,64}")
KEY_PATTERN = re.compile(rb"[!-~]{1,255}")


class ClaimKeeper(Protocol):
    """Keeps claims of idempotency keys."""

    async def claim(self, service: str, key: str, request_id: str, now: float) -> ClaimOutcome:
        """Claim a key for a request."""

    async def record(self, service: str, key: str, request_id: str, status: int) -> None:
        """Record the status of the request that owns the key."""

    async def withdraw(self, service: str, key: str, request_id: str) -> None:
        """Give the key back, because its request was not run."""


class Attempt(Receiver):
    """One attempt of a call: a request to one target and its response."""

    __slots__ = ("_call", "exchange", "long_work", "may_queue", "placed", "refusal", "started_at")

    def __init__(
        self, call: IngressCall, placed: PlacedTarget, may_queue: bool, started_at: float
    ) -> None:
        self._call = call
        self.placed = placed
        self.may_queue = may_queue
        self.started_at = started_at
        self.long_work = False
        self.exchange: Exchange | None = None
        # Set when the response is not delivered; the attempt fails once its body was read, so
        # that the connection stays usable.
        self.refusal: Refusal | None = None

    def on_head(self, head: ResponseHead) -> None:
        """Take the head of the response."""
        self._call.attempt_head(self, head)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self.refusal is None:
            self._call.attempt_body(self, data)

    def on_end(self) -> None:
        """Note that the response is complete."""
        if self.refusal is None:
            self._call.attempt_end(self)
        else:
            self._call.attempt_failed(self, self.refusal)

    def on_failed(self, failure: CallFailed) -> None:
        """Note that there will be no (complete) response."""
        refusal = self.refusal
        if refusal is None:
            refusal = Refusal(failure.kind, 0, failure.reached, False, None, failure.reached)
        self._call.attempt_failed(self, refusal)

    def on_continue(self) -> None:
        """Note that the egress asks for the body."""
        self._call.attempt_continues(self)

    def on_batch_end(self) -> None:
        """Write what was forwarded."""
        self._call.flush(self)

    def on_request_blocked(self) -> None:
        """Note that the egress reads the body more slowly than the caller sends it."""
        self._call.attempt_blocked(True)

    def on_request_unblocked(self) -> None:
        """Note that the egress has caught up."""
        self._call.attempt_blocked(False)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why an attempt gave no response that is delivered.

    `kind`, `status`, `reached` and `final` are as in `AttemptFailed`; `load` is the load that the
    egress reported. `arrived` tells whether a target has seen the request, also when it refused
    it unexecuted.
    """

    kind: ErrorKind | None
    status: int
    reached: bool
    final: bool
    load: Load | None
    arrived: bool


class IngressCall(IncomingCall):
    """One request of a caller, from its head to the end of its response."""

    __slots__ = (
        "_answer_by",
        "_arrivals",
        "_attempts",
        "_body",
        "_body_bytes",
        "_body_done",
        "_body_open",
        "_call_class",
        "_claimed",
        "_deadline",
        "_destination",
        "_done",
        "_final",
        "_hand_overs",
        "_head",
        "_hedge_timer",
        "_hedged",
        "_ingress",
        "_inside_retry",
        "_last_kind",
        "_live",
        "_maybe_run",
        "_opened_at",
        "_request_id",
        "_responder",
        "_response",
        "_response_bytes",
        "_response_head",
        "_response_status",
        "_row",
        "_service",
        "_silence_timer",
        "_snapshot",
        "_started_at",
        "_streaming",
        "_tenant",
        "_timer",
        "_tried",
        "_winner",
    )

    def __init__(self, ingress: Ingress, responder: Responder, head: RequestHead) -> None:
        self._ingress = ingress
        self._responder = responder
        self._head = head
        self._snapshot = ingress.snapshot()
        self._opened_at = ingress.clock()
        self._started_at = self._opened_at
        self._deadline = 0.0
        self._answer_by = 0.0
        self._request_id = b""
        self._service = ""
        self._destination = ""
        self._tenant = DEFAULT_TENANT
        self._call_class = CallClass.SHORT
        self._row: Row | None = None
        self._inside_retry = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._body_done = False
        self._body_open = False
        self._streaming = False
        self._claimed = False
        self._hedged = False
        self._attempts = 0
        self._arrivals = 0
        self._hand_overs = 0
        self._tried: frozenset[str] = frozenset()
        self._live: list[Attempt] = []
        self._winner: Attempt | None = None
        self._maybe_run = False
        self._last_kind: ErrorKind | None = None
        self._final = False
        # Status of the response once its head is on the way to the caller.
        self._response_status = 0
        self._response_head: ResponseHead | None = None
        self._response: list[bytes] = []
        self._response_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._hedge_timer: asyncio.TimerHandle | None = None
        self._silence_timer: asyncio.TimerHandle | None = None
        self._done = False

    def begin(self) -> None:
        """Check the head and read a small body before the first attempt."""
        kind = self._check_head()
        if kind is not None:
            self._fail(kind)
            return
        self._timer = self._ingress.loop.call_at(
            self._deadline + DEADLINE_GRACE_S, self._deadline_over
        )
        if (self._head.content_length or 0) > self._ingress.settings.buffered_body_bytes:
            self._start_streaming()
        elif self._head.expect_continue:
            self._responder.send_continue()

    def _check_head(self) -> ErrorKind | None:
        ingress = self._ingress
        control = self._head.control
        self._request_id = control.get(REQUEST_ID) or ingress.new_request_id()
        if not REQUEST_ID_PATTERN.fullmatch(self._request_id):
            self._request_id = ingress.new_request_id()
            return ErrorKind.BAD_REQUEST
        tenant = control.get(TENANT)
        if tenant is not None:
            if not TENANT_PATTERN.fullmatch(tenant):
                return ErrorKind.BAD_REQUEST
            self._tenant = tenant.decode()
        if ingress.refusing:
            return ErrorKind.DRAINING
        if not self._snapshot.version:
            return ErrorKind.NOT_READY
        return self._check_service() or self._check_deadline()

    def _check_service(self) -> ErrorKind | None:
        snapshot = self._snapshot
        row = find_row(snapshot, self._head)
        if row is None:
            return ErrorKind.UNKNOWN_SERVICE
        self._service = row.service
        self._row = row
        destination = self._ingress.placement.destination(
            row.destinations or (Destination(row.service, 1),)
        )
        if destination is None or not snapshot.targets_by_service.get(destination):
            return ErrorKind.NO_TARGET
        self._destination = destination
        known = destination in snapshot.rows_by_service
        if not check(known, "P2_destination_without_row", destination=destination):
            return ErrorKind.NO_TARGET
        self._inside_retry = RETRY in self._head.control
        if row.long_prefixes and self._head.target.startswith(row.long_prefixes):
            self._call_class = CallClass.LONG
        return None

    def _check_deadline(self) -> ErrorKind | None:
        assert self._row is not None
        timeout_ms = self._row.timeout_ms
        remaining = self._head.control.get(DEADLINE_MS)
        if remaining is not None:
            if not remaining.isdigit() or len(remaining) > 9 or not int(remaining):
                return ErrorKind.BAD_DEADLINE
            timeout_ms = min(timeout_ms, int(remaining))
        self._deadline = self._opened_at + timeout_ms / 1000
        # A caller that comes back has spent a part of its time; its latency counts from the start.
        spent_ms = self._row.timeout_ms - timeout_ms
        answer_in_ms = max(0, self._row.target_latency_ms - spent_ms)
        self._answer_by = self._opened_at + answer_in_ms / 1000
        key = self._head.control.get(IDEMPOTENCY_KEY)
        if key is not None and not KEY_PATTERN.fullmatch(key):
            return ErrorKind.BAD_REQUEST
        return None

    # request body

    def on_body(self, data: bytes) -> None:
        """Keep the body while it is small, else forward it."""
        if self._done:
            return
        if self._body_open:
            for attempt in self._live:
                assert attempt.exchange is not None
                attempt.exchange.send_body(data)
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if not self._streaming and self._body_bytes > self._ingress.settings.buffered_body_bytes:
            self._start_streaming()

    def on_body_end(self) -> None:
        """Make the first attempt, or complete the forwarded request."""
        if self._done:
            return
        self._body_done = True
        if not self._streaming:
            self._dispatch()
        elif self._body_open:
            for attempt in self._live:
                assert attempt.exchange is not None
                attempt.exchange.send_end()

    def _start_streaming(self) -> None:
        self._streaming = True
        self._responder.pause_body()
        self._dispatch()

    def attempt_continues(self, attempt: Attempt) -> None:
        """Send the body of a large request, which is from now on sent to this target only."""
        if not self._streaming or self._body_open or attempt not in self._live:
            return
        assert attempt.exchange is not None
        self._body_open = True
        for data in self._body:
            attempt.exchange.send_body(data)
        self._body.clear()
        if self._body_done:
            attempt.exchange.send_end()
            return
        if self._head.expect_continue:
            self._responder.send_continue()
        self._responder.resume_body()

    def attempt_blocked(self, blocked: bool) -> None:
        """Pass the backpressure of the egress on to the caller."""
        if not self._body_open or self._body_done:
            return
        if blocked:
            self._responder.pause_body()
        else:
            self._responder.resume_body()

    def on_fault(self, kind: ErrorKind) -> None:
        """Give the call up, because the rest of the request cannot be read."""
        if self._done:
            return
        self._cancel_attempts()
        if self._response_status:
            self._cut()
        else:
            self._fail(ErrorKind.BAD_REQUEST if kind is ErrorKind.ANSWER_CUT else kind)

    def on_disconnect(self) -> None:
        """Cancel all attempts."""
        if self._done:
            return
        self._cancel_attempts()
        self._end(
            ErrorKind.CANCELLED,
            self._response_status,
            RunState.UNKNOWN if self._maybe_run else RunState.NOT_RUN,
        )

    def on_write_paused(self) -> None:
        """Stop reading the response."""
        if self._winner is not None and self._winner.exchange is not None:
            self._winner.exchange.pause()

    def on_write_resumed(self) -> None:
        """Read the response again."""
        if self._winner is not None and self._winner.exchange is not None:
            self._winner.exchange.resume()

    # attempts

    def _dispatch(self) -> None:
        assert self._row is not None
        self._ingress.retries.request_started(self._row, self._ingress.clock())
        key = self._head.control.get(IDEMPOTENCY_KEY)
        if key is None or self._head.method in self._row.repeatable_methods:
            self._attempt()
        else:
            self._ingress.spawn(self._claim(key.decode()))

    async def _claim(self, key: str) -> None:
        ingress = self._ingress
        request_id = self._request_id.decode()
        until = self._opened_at + CLAIM_SHARE * (self._deadline - self._opened_at)
        timer = ingress.loop.call_at(until, self._fail, ErrorKind.CLAIM_UNAVAILABLE)
        outcome = await ingress.claims.claim(self._service, key, request_id, ingress.clock())
        timer.cancel()
        if isinstance(outcome, Claimed):
            if self._done:
                await ingress.claims.withdraw(self._service, key, request_id)
                return
            self._claimed = True
            self._attempt()
        elif self._done:
            return
        elif isinstance(outcome, Duplicate):
            detail = {"first_request_id": outcome.request_id, "first_status": outcome.status}
            self._fail(ErrorKind.DUPLICATE_REQUEST, detail)
        else:
            self._fail(ErrorKind.CLAIM_UNAVAILABLE)

    def _attempt(self, hedge: bool = False) -> None:
        if self._done:
            return
        ingress = self._ingress
        row = self._row
        assert row is not None
        now = ingress.clock()
        if now >= self._deadline:
            self._fail(ErrorKind.DEADLINE_EXCEEDED)
            return
        repeatable = self._head.method in row.repeatable_methods
        if not check(
            repeatable or not self._maybe_run, "P6_second_dispatch", method=self._head.method
        ):
            self._fail(ErrorKind.OUTCOME_UNKNOWN)
            return
        chosen: Chosen | NoTarget | None = self._own_target()
        if chosen is None:
            chosen = ingress.placement.choose(
                ChooseTarget(
                    self._destination,
                    self._targets(),
                    row.spill,
                    self._tried,
                    self._hand_overs >= hand_over_limit(row),
                    now,
                    self._call_class is CallClass.LONG,
                )
            )
        if isinstance(chosen, NoTarget):
            if not hedge:
                self._fail(self._last_kind or chosen.kind)
            return
        self._attempts += 1
        self._tried = self._tried | {chosen.target.target.target_id}
        self._started_at = now
        attempt = Attempt(self, chosen.target, chosen.may_queue, now)
        attempt.long_work = self._call_class is CallClass.LONG
        ingress.placement.observe(AttemptStarted(chosen.target.target.target_id, now))
        self._live.append(attempt)
        self._hedged = self._hedged or hedge
        self._send(attempt, row, now, hedge)

    def _targets(self) -> tuple[PlacedTarget, ...]:
        return self._snapshot.targets_by_service.get(self._destination, ())

    def _own_target(self) -> Chosen | None:
        """Return a target of this host for the first attempt of a request with a large response.

        Its response crosses the link of this host anyway, and that of another host as well if the
        target is there.
        """
        local = self._ingress.local
        if local is None or self._tried:
            return None
        if not local.transfers.expected_s(self._destination, self._head.target):
            return None
        own_id = self._ingress.settings.node_id
        now = self._ingress.clock()
        for placed in self._targets():
            ready = placed.node_id == own_id and placed.target.state is TargetState.READY
            if ready and self._ingress.placement.is_working(placed, now):
                return Chosen(placed, may_queue=False)
        return None

    def _send(self, attempt: Attempt, row: Row, now: float, hedge: bool) -> None:
        ingress = self._ingress
        head = self._request_head(attempt, now, hedge)
        complete = not self._streaming
        body = b"".join(self._body) if complete else b""
        placed = attempt.placed
        if ingress.local is not None and placed.node_id == ingress.settings.node_id:
            local = LocalExchange(ingress.local, head, body, complete, attempt)
            attempt.exchange = local
            self._set_timers(attempt, row, now)
            local.start()
            return
        exchange = PooledExchange(placed.peer_address, head, body, complete, attempt)
        attempt.exchange = exchange
        self._set_timers(attempt, row, now)
        ingress.pool.start_exchange(exchange)

    def _request_head(self, attempt: Attempt, now: float, hedge: bool) -> RequestHead:
        head = self._head
        assert self._row is not None
        remaining_ms = max(1, int((self._deadline - now) * 1000))
        control = {
            HOST: head.control.get(HOST, b""),
            REQUEST_ID: self._request_id,
            DEADLINE_MS: b"%d" % remaining_ms,
            TENANT: self._tenant.encode(),
            TARGET: attempt.placed.target.target_id.encode(),
            MAY_QUEUE: b"1" if attempt.may_queue else b"0",
            CLASS: self._call_class.encode(),
            VERSION: b"%d" % self._snapshot.version,
            CALLER: self._ingress.settings.service.encode(),
            PRIORITY: b"%d" % self._row.priority,
        }
        if self._row.target_latency_ms:
            control[ANSWER_BY_MS] = b"%d" % max(0, int((self._answer_by - now) * 1000))
        # A first execution may already have caused calls below, so those below do not retry.
        if hedge or self._inside_retry or self._maybe_run:
            control[RETRY] = b"1"
        if IDEMPOTENCY_KEY in head.control:
            control[IDEMPOTENCY_KEY] = head.control[IDEMPOTENCY_KEY]
        chunked = head.chunked and self._streaming
        length = head.content_length
        if head.chunked and not self._streaming:
            length = self._body_bytes
        return RequestHead(
            head.method,
            head.target,
            control,
            head.headers,
            length,
            chunked,
            expect_continue=self._streaming,
        )

    def _set_timers(self, attempt: Attempt, row: Row, now: float) -> None:
        loop = self._ingress.loop
        if row.first_byte_timeout_ms and not attempt.may_queue and not self._streaming:
            if self._silence_timer is not None:
                self._silence_timer.cancel()
            until = now + row.first_byte_timeout_ms / 1000 + SILENCE_GRACE_S
            self._silence_timer = loop.call_at(until, self._peer_silent, attempt)
        if row.hedge_ms and self._hedge_timer is None and not self._streaming:
            self._hedge_timer = loop.call_at(now + row.hedge_ms / 1000, self._hedge)

    def _hedge(self) -> None:
        row = self._row
        assert row is not None
        if self._done or self._winner is not None or len(self._live) != 1:
            return
        now = self._ingress.clock()
        if self._head.method not in row.repeatable_methods:
            return
        if self._ingress.retries.may_hedge(row, self._head.method, self._inside_retry, now):
            self._attempt(hedge=True)

    def _peer_silent(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        if attempt not in self._live or self._winner is not None:
            return
        if isinstance(exchange, PooledExchange) and exchange.sent_at is not None:
            self._ingress.pool.close_silent(attempt.placed.peer_address, exchange.sent_at)

    def attempt_head(self, attempt: Attempt, head: ResponseHead) -> None:
        """Deliver the response, or note why it is not delivered."""
        control = head.control
        load = parse_load(control.get(LOAD))
        final = FINAL in control
        attempt.long_work = attempt.long_work or control.get(CLASS) == CallClass.LONG.encode()
        if control.get(REQUEST_ID) != self._request_id:
            log.error("crossed_response", request_id=self._request_id, got=control.get(REQUEST_ID))
            assert attempt.exchange is not None
            attempt.exchange.cancel()
            refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, 0, True, False, None, True)
            self.attempt_failed(attempt, refusal)
            return
        kind = parse_kind(control.get(ERROR))
        if kind is not None:
            reached = control.get(RUN) != RunState.NOT_RUN.encode()
            arrived = reached or ARRIVED in control
            attempt.refusal = Refusal(kind, head.status, reached, final, load, arrived)
            return
        if head.status >= 500 and self._retry_server_error(attempt, head, load):
            return
        if self._winner is None and attempt in self._live:
            self._deliver(attempt, head, load)

    def _retry_server_error(self, attempt: Attempt, head: ResponseHead, load: Load | None) -> bool:
        if len(self._live) > 1:
            return False
        refusal = Refusal(None, head.status, True, FINAL in head.control, load, True)
        decision = self._decide(refusal, self._arrivals + 1)
        if isinstance(decision, GiveUp):
            self._final = self._final or decision.final
            return False
        assert attempt.exchange is not None
        attempt.exchange.cancel()
        self._forget(attempt, refusal)
        self._ingress.loop.call_later(decision.delay_s, self._attempt)
        return True

    def _deliver(self, attempt: Attempt, head: ResponseHead, load: Load | None) -> None:
        now = self._ingress.clock()
        self._winner = attempt
        self._maybe_run = True
        for other in tuple(self._live):
            if other is not attempt:
                assert other.exchange is not None
                other.exchange.cancel()
                self._forget(other, Refusal(ErrorKind.CANCELLED, 0, True, False, None, True))
        self._observe(attempt, None, head.status, load, now)
        control = {REQUEST_ID: head.control.get(REQUEST_ID, b"")}
        check(control[REQUEST_ID] == self._request_id, "P4_response_of_other_request")
        if self._final or FINAL in head.control:
            control[FINAL] = b"1"
        self._response_head = ResponseHead(head.status, control, head.headers, head.content_length)
        if (head.content_length or 0) > BUFFERED_RESPONSE_BYTES:
            self._forward_response()

    def _forward_response(self) -> None:
        """Send what was received so far; from here on the response is forwarded as it arrives."""
        head = self._response_head
        assert head is not None
        self._response_status = head.status
        self._responder.send_head(head)
        for data in self._response:
            self._responder.send_body(data)
        self._response.clear()

    def attempt_body(self, attempt: Attempt, data: bytes) -> None:
        """Keep or forward a part of the response."""
        if attempt is not self._winner:
            return
        if self._response_status:
            self._responder.send_body(data)
            return
        self._response.append(data)
        self._response_bytes += len(data)
        if self._response_bytes > BUFFERED_RESPONSE_BYTES:
            self._forward_response()

    def attempt_end(self, attempt: Attempt) -> None:
        """Complete the response."""
        if attempt is self._winner and not self._done:
            if not self._response_status:
                self._frame_response()
                self._forward_response()
            self._responder.send_end()
            self._responder.flush()
            self._end(None, self._response_status, RunState.RAN)

    def _frame_response(self) -> None:
        """Announce the length of a response that came without one and is whole now."""
        head = self._response_head
        assert head is not None
        if head.content_length is None and self._response_bytes:
            self._response_head = replace(head, content_length=self._response_bytes)

    def flush(self, attempt: Attempt) -> None:
        """Write what was forwarded."""
        if attempt is self._winner and not self._done and self._response_status:
            self._responder.flush()

    def attempt_failed(self, attempt: Attempt, refusal: Refusal) -> None:
        """Make another attempt, or report the failure."""
        if self._done or attempt not in self._live:
            return
        if attempt is self._winner:
            if self._response_status:
                self._cut()
                return
            self._winner = None
            self._response.clear()
            self._response_bytes = 0
        self._forget(attempt, refusal)
        if self._live:
            return  # the other attempt of a hedge may still succeed
        decision = self._decide(refusal, self._arrivals)
        log.info(
            EventName.ATTEMPT_FAILED,
            request_id=self._request_id.decode("latin-1"),
            target=attempt.placed.target.target_id,
            kind=refusal.kind or refusal.status,
            arrived=refusal.arrived,
            may_have_run=self._maybe_run,
            arrivals=self._arrivals,
            hand_overs=self._hand_overs,
            left_ms=int((self._deadline - self._ingress.clock()) * 1000),
            load=str(refusal.load or ""),
            version=self._snapshot.version,
            decision=type(decision).__name__,
        )
        if isinstance(decision, GiveUp):
            self._final = self._final or decision.final
            self._fail(decision.kind or refusal.kind or ErrorKind.OUTCOME_UNKNOWN)
        elif decision.delay_s > 0:
            self._ingress.loop.call_later(decision.delay_s, self._attempt)
        else:
            self._attempt()

    def _decide(self, refusal: Refusal, arrivals: int) -> GiveUp | Retry:
        row = self._row
        assert row is not None
        now = self._ingress.clock()
        return self._ingress.retries.decide(
            AttemptFailed(
                row,
                self._head.method,
                self._attempts,
                refusal.kind,
                refusal.status,
                refusal.reached,
                not self._body_open,
                refusal.final,
                self._inside_retry,
                self._deadline - now,
                now,
                self._maybe_run,
                arrivals,
                self._hand_overs,
            )
        )

    def _forget(self, attempt: Attempt, refusal: Refusal) -> None:
        if attempt in self._live:
            self._live.remove(attempt)
        attempt.exchange = None
        if refusal.arrived:
            self._arrivals += 1
        else:
            self._hand_overs += 1
        if refusal.kind in QUEUE_REFUSALS and self._row is not None:
            # The next attempt is the last one: a caller whose request finds every queue too long
            # learns it after two of them.
            self._hand_overs = max(self._hand_overs, hand_over_limit(self._row))
        self._maybe_run = self._maybe_run or refusal.reached
        self._last_kind = refusal.kind
        now = self._ingress.clock()
        self._observe(attempt, refusal.kind, refusal.status, refusal.load, now)

    def _observe(
        self,
        attempt: Attempt,
        kind: ErrorKind | None,
        status: int,
        load: Load | None,
        now: float,
    ) -> None:
        latency_s = now - attempt.started_at
        self._ingress.placement.observe(
            AttemptEnded(attempt.placed, kind, status, latency_s, load, now, attempt.long_work)
        )

    def _cancel_attempts(self) -> None:
        live, self._live = self._live, []
        for attempt in live:
            assert attempt.exchange is not None
            attempt.exchange.cancel()
            self._maybe_run = self._maybe_run or attempt.exchange.reached
            attempt.exchange = None
            if attempt is not self._winner:
                self._observe(attempt, ErrorKind.CANCELLED, 0, None, self._ingress.clock())

    # end

    def _deadline_over(self) -> None:
        if self._done:
            return
        self._cancel_attempts()
        if self._response_status:
            self._cut()
        else:
            self._fail(ErrorKind.DEADLINE_EXCEEDED)

    def _cut(self) -> None:
        """End the response visibly incomplete."""
        self._cancel_attempts()
        self._responder.abort()
        self._end(ErrorKind.ANSWER_CUT, self._response_status, RunState.UNKNOWN)

    def _fail(self, kind: ErrorKind, detail: dict[str, object] | None = None) -> None:
        """Answer with an error, never as not run when an attempt may have been run."""
        if self._done:
            return
        if self._maybe_run and ANSWER_BY_KIND[kind].run_state is RunState.NOT_RUN:
            kind = ErrorKind.OUTCOME_UNKNOWN
        answer = ANSWER_BY_KIND[kind]
        check(
            answer.run_state is not RunState.NOT_RUN or not self._maybe_run,
            "P5_not_run_after_dispatch",
            kind=kind,
        )
        self._end(kind, answer.status, answer.run_state)
        retry_after_s = None
        if kind in RETRY_AFTER_BY_KIND:
            retry_after_s = self._ingress.rng.uniform(*RETRY_AFTER_BY_KIND[kind])
        self._responder.send_answer(
            error_answer(
                kind,
                self._request_id,
                final=self._final,
                detail=detail,
                retry_after_s=retry_after_s,
            ),
            head_only=self._head.method == "HEAD",
        )

    def _end(self, kind: ErrorKind | None, status: int, run_state: RunState) -> None:
        if self._done:
            return
        self._done = True
        # Without reference cycles a call is freed at once, and the garbage collector stays idle.
        for attempt in self._live:
            attempt.exchange = None
        self._winner = None
        self._live.clear()
        self._body.clear()
        for timer in (self._timer, self._hedge_timer, self._silence_timer):
            if timer is not None:
                timer.cancel()
        if self._claimed:
            self._ingress.spawn(self._settle_claim(status, run_state))
        ingress = self._ingress
        ingress.in_flight.leave()
        now = ingress.clock()
        ingress.report(
            CallEnded(
                self._request_id.decode("latin-1"),
                self._service,
                self._tenant,
                self._call_class,
                self._snapshot.version,
                kind,
                status,
                run_state,
                self._attempts,
                self._started_at - self._opened_at,
                now - self._started_at,
                now - self._opened_at,
                self._hedged,
            )
        )

    async def _settle_claim(self, status: int, run_state: RunState) -> None:
        key = self._head.control[IDEMPOTENCY_KEY].decode()
        request_id = self._request_id.decode()
        claims = self._ingress.claims
        if run_state is RunState.NOT_RUN:
            await claims.withdraw(self._service, key, request_id)
        elif run_state is RunState.RAN:
            await claims.record(self._service, key, request_id, status)


def find_row(snapshot: Snapshot, head: RequestHead) -> Row | None:
    """Return the row that serves a request."""
    host = head.control.get(HOST, b"").decode("latin-1").lower()
    return snapshot.routes.find(host.partition(":")[0], head.target)


class Ingress:
    """Server for callers.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    placement : Placement
        Choice of targets.
    retries : RetryPolicy
        Retry rules and budgets.
    claims : ClaimKeeper
        Claims of idempotency keys.
    snapshot : callable
        Returns the snapshot in force.
    on_call_ended : callable
        Told the result of each call.
    local : Egress or None
        Egress of the same node, which is called without a socket.
    dialect : HeaderDialect or None
        Names of the headers that callers read and write; None for those of jaypost.
    rng : random.Random or None
        Source of the jitter of ``Retry-After``.
    uplink : Uplink or None
        Link of the host; None for one of its own with the rate of the settings.
    """

    def __init__(
        self,
        settings: Settings,
        placement: Placement,
        retries: RetryPolicy,
        claims: ClaimKeeper,
        snapshot: Callable[[], Snapshot],
        on_call_ended: Callable[[CallEnded], None],
        local: Egress | None = None,
        dialect: HeaderDialect | None = None,
        rng: random.Random | None = None,
        uplink: Uplink | None = None,
    ) -> None:
        self.settings = settings
        self.placement = placement
        self.retries = retries
        self.claims = claims
        self.snapshot = snapshot
        self.report = on_call_ended
        self.local = local
        self.rng = rng or random.Random()
        self.clock = time.monotonic  # the clock of uvloop has a resolution of 1 ms only
        self.pool = ConnectionPool(settings, probe=True)
        self.in_flight = InFlight()
        self.refusing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._id_prefix = secrets.token_hex(6)
        self._id_count = itertools.count(1)
        self._server = CallServer(
            settings,
            settings.listen_caller,
            ConnectionHandlers(self.open_call, self._refuse_input, self.may_overlap, dialect),
            uplink or Uplink(settings.link_mbps),
        )

    async def start(self) -> Address:
        """Listen for callers and return the address with the port in use."""
        self.loop = asyncio.get_running_loop()
        await self.pool.start()
        return await self._server.start()

    def open_call(self, responder: Responder, head: RequestHead) -> IncomingCall:
        """Begin a call of a caller."""
        call = IngressCall(self, responder, head)
        self.in_flight.enter()
        call.begin()
        return call

    def may_overlap(self, head: RequestHead) -> bool:
        """Tell whether a request may start while earlier ones of its connection are open."""
        row = find_row(self.snapshot(), head)
        return row is not None and head.method in row.repeatable_methods

    def new_request_id(self) -> bytes:
        """Return an identifier for a request that names none."""
        return f"{self._id_prefix}-{next(self._id_count):x}".encode()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a claim operation; it is waited for on closing."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self, timeout_s: float | None = None) -> bool:
        """Refuse new calls after the drain delay and wait for those in flight.

        Parameters
        ----------
        timeout_s : float, optional
            Time for the calls in flight after the delay; by default the one of the settings.

        Returns
        -------
        bool
            Whether all calls ended within the drain timeout.
        """
        await asyncio.sleep(self.settings.drain_delay_s)
        self.refusing = True
        if timeout_s is None:
            timeout_s = self.settings.drain_timeout_s
        return await self._server.drain(self.in_flight, timeout_s)

    async def close(self) -> None:
        """Close all sockets; calls in flight are cancelled."""
        await self._server.close()
        await self.pool.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _refuse_input(self, kind: ErrorKind) -> ErrorAnswer:
        request_id = self.new_request_id()
        answer = error_answer(kind, request_id)
        self.report(
            CallEnded(
                request_id.decode(),
                "",
                DEFAULT_TENANT,
                CallClass.SHORT,
                self.snapshot().version,
                kind,
                answer.head.status,
                RunState.NOT_RUN,
                0,
                0.0,
                0.0,
                0.0,
            )
        )
        return answer
