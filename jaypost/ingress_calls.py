"""One call of a caller: its attempts at targets, its retries and its response."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

import structlog

from jaypost.admission import CallClass
from jaypost.allotments.buckets import OverAllotment, Short, Taken, TakeOutcome
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
    LEAVING,
    LOAD,
    MAY_QUEUE,
    PRIORITY,
    RATE,
    REQUEST_ID,
    RETRY,
    ROUTE,
    RUN,
    TARGET,
    TENANT,
    VERSION,
    WORKSPACE,
    CallEnded,
    error_response,
    parse_error_kind,
    parse_load,
)
from jaypost.claims import Claimed, ClaimOutcome, Duplicate
from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.exchanges import CallFailed, Exchange, Receiver
from jaypost.http_messages import RequestHead, ResponseHead
from jaypost.invariants import check
from jaypost.links.grants import needs_grant
from jaypost.local_exchange import LocalExchange
from jaypost.logs import EventName
from jaypost.placement import (
    QUEUE_REFUSAL_KINDS,
    AttemptEnded,
    AttemptStarted,
    ChooseTarget,
    Chosen,
    NoTarget,
    TargetLeaving,
)
from jaypost.pools import PooledExchange
from jaypost.records import Destination, Load, PlacedTarget, Row, Snapshot, TargetState
from jaypost.responders import IncomingCall, Responder
from jaypost.retries import GiveUp, Retry, RetryQuery, undelivered_attempt_limit
from jaypost.workspaces.keys import NO_PRIORITY, UnknownKey, Workspace, identify

if TYPE_CHECKING:
    from jaypost.ingress import Ingress

log = structlog.get_logger(__name__)

# The egress ends a call at its deadline and reports whether it was run. The ingress waits this much
# longer for that report before it answers that the outcome is unknown.
DEADLINE_GRACE_S = 0.05
# The egress also enforces the first-byte timeout of the row. The ingress waits this much longer
# before it treats the connections to the peer as silent and closes them.
FIRST_BYTE_GRACE_S = 0.25
# Responses up to this size are sent to the caller only once they are complete, so that a truncated
# one can be retried.
MAX_BUFFERED_RESPONSE_BYTES = 262_144
# Fraction of the time until the deadline that the claim of an idempotency key may take. The target
# needs the rest.
CLAIM_TIMEOUT_FRACTION = 0.5
# Bounds in seconds of the random ``Retry-After`` of an error. It spreads the retries of callers,
# and a slot may be free when they arrive.
RETRY_AFTER_RANGE_S_BY_KIND: Mapping[ErrorKind, tuple[float, float]] = {
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
    ErrorKind.CONNECTION_LIMIT: (0.05, 0.3),
}
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
TENANT_PATTERN = re.compile(rb"[A-Za-z0-9_.-]{1,64}")
IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,255}")


class ClaimRegistry(Protocol):
    """Claims idempotency keys, so that requests with the same key run at most once."""

    async def claim(self, service: str, key: str, request_id: str, now: float) -> ClaimOutcome:
        """Claim the key for a request."""

    async def record_status(self, service: str, key: str, request_id: str, status: int) -> None:
        """Record the status of the request that owns the key."""

    async def withdraw(self, service: str, key: str, request_id: str) -> None:
        """Release the key, because its request was not run."""


class Allotments(Protocol):
    """Tells whether a request is within the allotment of its workspace."""

    def take(self, workspace: Workspace) -> TakeOutcome:
        """Take a token for a request."""

    async def acquire(self, workspace: Workspace) -> TakeOutcome:
        """Wait for a token for a request that found none."""

    def give_back(self, workspace: Workspace) -> None:
        """Return the token of a request that was not run."""


class Attempt(Receiver):
    """One attempt of a call: a request to one target and its response."""

    __slots__ = (
        "_call",
        "awaits_grant",
        "exchange",
        "failure",
        "is_long_work",
        "may_queue",
        "placed",
        "started_at",
    )

    def __init__(
        self, call: IngressCall, placed: PlacedTarget, may_queue: bool, started_at: float
    ) -> None:
        self._call = call
        self.placed = placed
        self.may_queue = may_queue
        self.started_at = started_at
        # Whether the request is long work, according to its row or to the egress.
        self.is_long_work = False
        # Whether the buffered body is sent only when the host of the target asks for it.
        self.awaits_grant = False
        self.exchange: Exchange | None = None
        # Set when the response is not forwarded to the caller. The attempt fails only after the
        # response body has been read, so that the connection can be reused.
        self.failure: AttemptFailure | None = None

    def on_head(self, head: ResponseHead) -> None:
        """Pass the head of the response to the call."""
        self._call.on_attempt_head(self, head)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the response body to the call, if the response is forwarded."""
        if self.failure is None:
            self._call.on_attempt_body(self, data)

    def on_end(self) -> None:
        """End the attempt, because the response is complete."""
        if self.failure is None:
            self._call.on_attempt_end(self)
        else:
            self._call.on_attempt_failed(self, self.failure)

    def on_failed(self, failure: CallFailed) -> None:
        """Fail the attempt, because no complete response will arrive."""
        attempt_failure = self.failure
        if attempt_failure is None:
            attempt_failure = AttemptFailure(
                failure.kind, 0, failure.reached, False, None, failure.reached
            )
        self._call.on_attempt_failed(self, attempt_failure)

    def on_continue(self) -> None:
        """Send the request body, because the egress asked for it."""
        self._call.on_attempt_continue(self)

    def on_batch_end(self) -> None:
        """Flush the forwarded data to the caller."""
        self._call.flush(self)

    def on_request_write_paused(self) -> None:
        """Pause the caller, because the egress reads the body more slowly than it arrives."""
        self._call.on_attempt_write_paused(True)

    def on_request_write_resumed(self) -> None:
        """Resume the caller, because the egress has caught up."""
        self._call.on_attempt_write_paused(False)


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why the response of an attempt, if any, is not forwarded to the caller.

    `kind`, `status`, `may_have_run` and `final` are as in `RetryQuery`. `load` is the load of the
    target that the egress reported. `delivered` tells whether a target received the request, even
    if it refused to execute it.
    """

    kind: ErrorKind | None
    status: int
    may_have_run: bool
    final: bool
    load: Load | None
    delivered: bool


class IngressCall(IncomingCall):
    """One request of a caller, from its head to the end of its response."""

    __slots__ = (
        "_allotment_taken",
        "_answer_by",
        "_attempt_count",
        "_body_bytes",
        "_body_chunks",
        "_body_complete",
        "_body_paused",
        "_call_class",
        "_chosen_attempt",
        "_claimed",
        "_deadline",
        "_deadline_timer",
        "_delivered_attempts",
        "_destination",
        "_done",
        "_final",
        "_first_byte_timer",
        "_forwarding_body",
        "_group",
        "_head",
        "_hedge_timer",
        "_hedged",
        "_ingress",
        "_inside_retry",
        "_last_dispatch_at",
        "_last_error_kind",
        "_live_attempts",
        "_may_have_run",
        "_opened_at",
        "_request_id",
        "_responder",
        "_response_bytes",
        "_response_chunks",
        "_response_head",
        "_response_status",
        "_row",
        "_service",
        "_snapshot",
        "_start_is_due",
        "_streaming",
        "_tenant",
        "_tried_target_ids",
        "_undelivered_attempts",
        "_waits_for_allotment",
        "_workspace",
        "_write_paused",
    )

    def __init__(self, ingress: Ingress, responder: Responder, head: RequestHead) -> None:
        self._ingress = ingress
        self._responder = responder
        self._head = head
        self._snapshot = ingress.snapshot()
        self._opened_at = ingress.clock()
        # Start of the latest attempt, or arrival of the request head if there was no attempt yet.
        self._last_dispatch_at = self._opened_at
        self._deadline = 0.0
        # Monotonic time by which the caller wants the response, from `Row.target_latency_ms`.
        self._answer_by = 0.0
        self._request_id = b""
        self._service = ""
        self._destination = ""
        # Key of the targets for the next attempt: the service, or those of a new version of it.
        self._group = ""
        self._tenant = DEFAULT_TENANT
        # Workspace whose key the request carries.
        self._workspace: Workspace | None = None
        # Whether the request has a token of its workspace, or waits for one.
        self._allotment_taken = False
        self._waits_for_allotment = False
        # Whether the first attempt starts as soon as the token is there.
        self._start_is_due = False
        self._call_class = CallClass.SHORT
        self._row: Row | None = None
        # Whether the request is part of a retry or a hedge made further up the call chain.
        self._inside_retry = False
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._body_complete = False
        # Whether the egress of the attempt takes no more of the body now.
        self._body_paused = False
        # Whether the body goes to a single attempt as it arrives; it cannot be sent again.
        self._forwarding_body = False
        # Whether the first attempt starts before the body is complete, because the body is large.
        self._streaming = False
        self._claimed = False
        self._hedged = False
        self._attempt_count = 0
        # Failed attempts that a target received, even if it refused to execute them.
        self._delivered_attempts = 0
        # Failed attempts that no target received; raised to the limit if a target refuses to queue
        # the request.
        self._undelivered_attempts = 0
        self._tried_target_ids: frozenset[str] = frozenset()
        self._live_attempts: list[Attempt] = []
        # The attempt whose response goes to the caller.
        self._chosen_attempt: Attempt | None = None
        self._may_have_run = False
        self._last_error_kind: ErrorKind | None = None
        # Whether the response tells the nodes further up the call chain not to retry.
        self._final = False
        # Status of the response; 0 until its head is sent to the caller.
        self._response_status = 0
        self._response_head: ResponseHead | None = None
        self._response_chunks: list[bytes] = []
        self._response_bytes = 0
        # Whether the caller's connection takes no more of the response now.
        self._write_paused = False
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._hedge_timer: asyncio.TimerHandle | None = None
        self._first_byte_timer: asyncio.TimerHandle | None = None
        self._done = False

    def begin(self) -> None:
        """Check the head and start the deadline timer; a small body is read before any attempt."""
        self._ingress.in_flight.enter()
        kind = self._check_head()
        if kind is not None:
            self._fail(kind)
            return
        self._deadline_timer = self._ingress.loop.call_at(
            self._deadline + DEADLINE_GRACE_S, self._on_deadline
        )
        if not self._take_allotment():
            return
        if (self._head.content_length or 0) > self._ingress.settings.buffered_body_bytes:
            self._start_streaming()
        elif self._head.expect_continue:
            self._responder.send_continue()

    def _take_allotment(self) -> bool:
        """Take a token of the workspace; tell whether the request may go on, or wait for one."""
        allotments = self._ingress.allotments
        if allotments is None or self._workspace is None or not self._workspace.rate_limit:
            return True
        outcome = allotments.take(self._workspace)
        if isinstance(outcome, OverAllotment):
            self._fail(ErrorKind.ALLOTMENT_USED, retry_after_s=outcome.retry_after_s)
            return False
        self._allotment_taken = isinstance(outcome, Taken)
        self._waits_for_allotment = isinstance(outcome, Short)
        if self._waits_for_allotment:
            self._ingress.spawn(self._await_allotment(allotments, self._workspace))
        return True

    async def _await_allotment(self, allotments: Allotments, workspace: Workspace) -> None:
        outcome = await allotments.acquire(workspace)
        self._waits_for_allotment = False
        if self._done:
            if isinstance(outcome, Taken):
                allotments.give_back(workspace)
            return
        if isinstance(outcome, Taken):
            self._allotment_taken = True
            if self._start_is_due:
                self._start_first_attempt()
            return
        retry_after_s = outcome.retry_after_s if isinstance(outcome, OverAllotment) else None
        self._fail(ErrorKind.ALLOTMENT_USED, retry_after_s=retry_after_s)

    def _check_head(self) -> ErrorKind | None:
        ingress = self._ingress
        control = self._head.control
        self._request_id = control.get(REQUEST_ID) or ingress.new_request_id()
        if not REQUEST_ID_PATTERN.fullmatch(self._request_id):
            self._request_id = ingress.new_request_id()
            return ErrorKind.BAD_REQUEST
        tenant = control.get(TENANT)
        if tenant is not None and not self._snapshot.workspaces:
            if not TENANT_PATTERN.fullmatch(tenant):
                return ErrorKind.BAD_REQUEST
            self._tenant = tenant.decode()
        if ingress.refuses_calls:
            return ErrorKind.DRAINING
        if not self._snapshot.version:
            return ErrorKind.NOT_READY
        row = find_row(self._snapshot, self._head)
        if row is None:
            return ErrorKind.UNKNOWN_SERVICE
        self._service = row.service
        self._row = row
        return self._check_key(row) or self._check_destination(row) or self._check_deadline()

    def _check_key(self, row: Row) -> ErrorKind | None:
        """Find the workspace of the request and remove its key, if the table has workspaces."""
        workspaces = self._snapshot.workspaces
        if not workspaces:
            return None
        identified = identify(self._head.headers, workspaces, row.without_key)
        if isinstance(identified, UnknownKey):
            return ErrorKind.UNKNOWN_KEY
        if len(identified.headers) != len(self._head.headers):
            self._head = replace(self._head, headers=identified.headers)
        self._workspace = identified.workspace
        if identified.workspace is not None:
            self._tenant = identified.workspace.name
        return None

    def _check_destination(self, row: Row) -> ErrorKind | None:
        snapshot = self._snapshot
        destination = self._ingress.placement.destination(
            row.destinations or (Destination(row.service, 1),)
        )
        if destination is None or not snapshot.targets_by_service.get(destination):
            return ErrorKind.NO_TARGET
        self._destination = destination
        known = destination in snapshot.rows_by_service
        if not check(known, "P2_destination_without_row", destination=destination):
            return ErrorKind.NO_TARGET
        canary = snapshot.canary_by_service.get(destination)
        use_canary = canary is not None and self._ingress.rng.random() < canary.share
        self._group = canary.group if canary is not None and use_canary else destination
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
        # A caller that retries has already used part of the timeout of the row. The time of
        # `target_latency_ms` starts with the first try of the caller.
        spent_ms = self._row.timeout_ms - timeout_ms
        answer_in_ms = max(0, self._row.target_latency_ms - spent_ms)
        self._answer_by = self._opened_at + answer_in_ms / 1000
        key = self._head.control.get(IDEMPOTENCY_KEY)
        if key is not None and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
            return ErrorKind.BAD_REQUEST
        return None

    # request body

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the request body, or forward it if a target has asked for the body."""
        if self._done:
            return
        self._body_bytes += len(data)
        if self._forwarding_body:
            for attempt in self._live_attempts:
                assert attempt.exchange is not None
                attempt.exchange.send_body(data)
            return
        self._body_chunks.append(data)
        if not self._streaming and self._body_bytes > self._ingress.settings.buffered_body_bytes:
            self._start_streaming()

    def on_body_end(self) -> None:
        """Start the first attempt, or complete the forwarded request."""
        if self._done:
            return
        self._body_complete = True
        if not self._streaming:
            self._start_first_attempt()
        elif self._forwarding_body:
            for attempt in tuple(self._live_attempts):
                self._complete_request(attempt)

    def _complete_request(self, attempt: Attempt) -> None:
        """Send the end of a forwarded request, unless a part of its body is missing."""
        exchange = attempt.exchange
        assert exchange is not None
        if exchange.has_whole_body(self._body_bytes, "ingress"):
            exchange.send_end()
            return
        exchange.cancel()
        failure = AttemptFailure(ErrorKind.OUTCOME_UNKNOWN, 0, True, True, None, True)
        self.on_attempt_failed(attempt, failure)

    def _start_streaming(self) -> None:
        self._streaming = True
        self._responder.pause_body()
        self._start_first_attempt()

    def on_attempt_continue(self, attempt: Attempt) -> None:
        """Send the request body to the target that asked for it.

        A body that is not wholly buffered goes to no other target.
        """
        if attempt.awaits_grant and attempt in self._live_attempts:
            assert attempt.exchange is not None
            attempt.awaits_grant = False
            attempt.exchange.send_body(b"".join(self._body_chunks))
            attempt.exchange.send_end()
            return
        if not self._streaming or self._forwarding_body or attempt not in self._live_attempts:
            return
        assert attempt.exchange is not None
        self._forwarding_body = True
        for data in self._body_chunks:
            attempt.exchange.send_body(data)
        self._body_chunks.clear()
        if self._body_complete:
            self._complete_request(attempt)
            return
        if self._head.expect_continue:
            self._responder.send_continue()
        if not self._body_paused:
            self._responder.resume_body()

    def on_attempt_write_paused(self, paused: bool) -> None:
        """Pass the backpressure of the egress on to the caller."""
        self._body_paused = paused
        if not self._forwarding_body or self._body_complete:
            return
        if paused:
            self._responder.pause_body()
        else:
            self._responder.resume_body()

    def on_fault(self, kind: ErrorKind) -> None:
        """End the call, because the rest of the request cannot be read."""
        if self._done:
            return
        self._cancel_attempts()
        if self._response_status:
            self._abort_response()
        else:
            self._fail(ErrorKind.BAD_REQUEST if kind is ErrorKind.ANSWER_CUT else kind)

    def on_disconnect(self) -> None:
        """Cancel all attempts, because the caller closed the connection."""
        if self._done:
            return
        self._cancel_attempts()
        self._end(
            ErrorKind.CANCELLED,
            self._response_status,
            RunState.UNKNOWN if self._may_have_run else RunState.NOT_RUN,
        )

    def on_write_paused(self) -> None:
        """Pause reading the response, or the one that will be chosen: the caller reads slowly."""
        self._write_paused = True
        if self._chosen_attempt is not None and self._chosen_attempt.exchange is not None:
            self._chosen_attempt.exchange.pause()

    def on_write_resumed(self) -> None:
        """Resume reading the response."""
        self._write_paused = False
        if self._chosen_attempt is not None and self._chosen_attempt.exchange is not None:
            self._chosen_attempt.exchange.resume()

    # attempts

    def _start_first_attempt(self) -> None:
        """Start the first attempt, after a claim if a non-repeatable request has a key."""
        assert self._row is not None
        if self._waits_for_allotment:
            self._start_is_due = True
            return
        self._ingress.retries.request_started(self._row, self._destination, self._ingress.clock())
        key = self._head.control.get(IDEMPOTENCY_KEY)
        if key is None or self._head.method in self._row.repeatable_methods:
            self._start_attempt()
        else:
            self._ingress.spawn(self._claim_and_attempt(key.decode()))

    async def _claim_and_attempt(self, key: str) -> None:
        ingress = self._ingress
        request_id = self._request_id.decode()
        timeout_at = self._opened_at + CLAIM_TIMEOUT_FRACTION * (self._deadline - self._opened_at)
        timer = ingress.loop.call_at(timeout_at, self._fail, ErrorKind.CLAIM_UNAVAILABLE)
        outcome = await ingress.claims.claim(self._service, key, request_id, ingress.clock())
        timer.cancel()
        if isinstance(outcome, Claimed):
            if self._done:
                await ingress.claims.withdraw(self._service, key, request_id)
                return
            self._claimed = True
            self._start_attempt()
        elif self._done:
            return
        elif isinstance(outcome, Duplicate):
            detail = {"first_request_id": outcome.request_id, "first_status": outcome.status}
            self._fail(ErrorKind.DUPLICATE_REQUEST, detail)
        else:
            self._fail(ErrorKind.CLAIM_UNAVAILABLE)

    def _start_attempt(self, hedge: bool = False) -> None:
        if self._done:
            return
        ingress = self._ingress
        row = self._row
        assert row is not None
        now = ingress.clock()
        if now >= self._deadline:
            self._fail(ErrorKind.DEADLINE_EXCEEDED)
            return
        if ingress.may_outlast_drain(self._deadline):
            if not hedge:
                self._fail(ErrorKind.DRAINING)
            return
        repeatable = self._head.method in row.repeatable_methods
        if not check(
            repeatable or not self._may_have_run, "P6_second_dispatch", method=self._head.method
        ):
            self._fail(ErrorKind.OUTCOME_UNKNOWN)
            return
        chosen: Chosen | NoTarget | None = self._local_target_for_large_response()
        if chosen is None:
            chosen = self._choose_target(row, now)
        if isinstance(chosen, NoTarget) and self._group != self._destination:
            self._group = self._destination
            chosen = self._choose_target(row, now)
        if isinstance(chosen, NoTarget):
            if not hedge:
                self._fail(self._last_error_kind or chosen.kind)
            return
        if chosen.crossing is not None:
            ingress.count_by_crossing[chosen.crossing] += 1
        # Only the first attempt may go to a new version, so that its faults cost fewer requests.
        self._group = self._destination
        self._attempt_count += 1
        self._tried_target_ids = self._tried_target_ids | {chosen.target.target.target_id}
        self._last_dispatch_at = now
        attempt = Attempt(self, chosen.target, chosen.may_queue, now)
        attempt.is_long_work = self._call_class is CallClass.LONG
        ingress.placement.observe(AttemptStarted(chosen.target.target.target_id, now))
        self._live_attempts.append(attempt)
        self._hedged = self._hedged or hedge
        self._send(attempt, row, now, hedge)

    def _choose_target(self, row: Row, now: float) -> Chosen | NoTarget:
        return self._ingress.placement.choose(
            ChooseTarget(
                self._group,
                self._targets(),
                row.spill,
                self._tried_target_ids,
                self._undelivered_attempts >= undelivered_attempt_limit(row),
                now,
                self._call_class is CallClass.LONG,
                (row.crossing_ms or self._ingress.settings.crossing_ms) / 1000,
                self._body_bytes + self._ingress.response_bytes_by_row.get(row.service, 0.0),
            )
        )

    def _targets(self) -> tuple[PlacedTarget, ...]:
        return self._snapshot.targets_by_service.get(self._group, ())

    def _local_target_for_large_response(self) -> Chosen | None:
        """Return a target of this host for a first attempt with a large response, otherwise None.

        The response uses the link of this host in any case. With a target on another host it would
        use the link of that host as well.
        """
        local_egress = self._ingress.local_egress
        if local_egress is None or self._tried_target_ids:
            return None
        if not local_egress.transfers.expected_s(self._destination, self._head.target):
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
        self._body_paused = False
        placed = attempt.placed
        is_remote = placed.node_id != ingress.settings.node_id
        attempt.awaits_grant = (
            is_remote and not self._streaming and needs_grant(self._body_bytes, placed.link_mbps)
        )
        head = self._request_head(attempt, now, hedge)
        complete = not self._streaming and not attempt.awaits_grant
        body = b"".join(self._body_chunks) if complete else b""
        if ingress.local_egress is not None and placed.node_id == ingress.settings.node_id:
            local_exchange = LocalExchange(ingress.local_egress, head, body, complete, attempt)
            attempt.exchange = local_exchange
            self._set_timers(attempt, row, now)
            local_exchange.start()
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
            PRIORITY: b"%d" % self._priority(),
        }
        if self._workspace is not None:
            control[WORKSPACE] = self._workspace.name.encode()
        if self._destination in self._snapshot.canary_by_service:
            control[ROUTE] = self._row.service.encode()
        rate = self._ingress.rate_by_target_id.get(attempt.placed.target.target_id)
        if rate is not None:
            control[RATE] = rate
        if self._row.target_latency_ms:
            control[ANSWER_BY_MS] = b"%d" % max(0, int((self._answer_by - now) * 1000))
        # An earlier execution may already have made calls to other services, so the nodes further
        # down the call chain must not retry theirs.
        if hedge or self._inside_retry or self._may_have_run:
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
            expect_continue=self._streaming or attempt.awaits_grant,
        )

    def _priority(self) -> int:
        """Return the priority of the workspace, or that of the row if it has none."""
        assert self._row is not None
        if self._workspace is None or self._workspace.priority == NO_PRIORITY:
            return self._row.priority
        return self._workspace.priority

    def _set_timers(self, attempt: Attempt, row: Row, now: float) -> None:
        loop = self._ingress.loop
        if row.first_byte_timeout_ms and not attempt.may_queue and not self._streaming:
            if self._first_byte_timer is not None:
                self._first_byte_timer.cancel()
            timeout_at = now + row.first_byte_timeout_ms / 1000 + FIRST_BYTE_GRACE_S
            self._first_byte_timer = loop.call_at(timeout_at, self._on_first_byte_timeout, attempt)
        if row.hedge_ms and self._hedge_timer is None and not self._streaming:
            self._hedge_timer = loop.call_at(now + row.hedge_ms / 1000, self._hedge)

    def _hedge(self) -> None:
        row = self._row
        assert row is not None
        if self._done or self._chosen_attempt is not None or len(self._live_attempts) != 1:
            return
        now = self._ingress.clock()
        if self._head.method not in row.repeatable_methods:
            return
        if self._ingress.retries.charge_hedge(
            row, self._destination, self._head.method, self._inside_retry, now
        ):
            self._start_attempt(hedge=True)

    def _on_first_byte_timeout(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        if attempt not in self._live_attempts or self._chosen_attempt is not None:
            return
        if isinstance(exchange, PooledExchange) and exchange.sent_at is not None:
            self._ingress.pool.close_silent_connections(
                attempt.placed.peer_address, exchange.sent_at
            )

    def on_attempt_head(self, attempt: Attempt, head: ResponseHead) -> None:
        """Choose the response for the caller, or record why it is not forwarded."""
        control = head.control
        load = parse_load(control.get(LOAD))
        final = FINAL in control
        attempt.is_long_work = attempt.is_long_work or control.get(CLASS) == CallClass.LONG.encode()
        if control.get(REQUEST_ID) != self._request_id:
            log.error("crossed_response", request_id=self._request_id, got=control.get(REQUEST_ID))
            assert attempt.exchange is not None
            attempt.exchange.cancel()
            failure = AttemptFailure(ErrorKind.OUTCOME_UNKNOWN, 0, True, False, None, True)
            self.on_attempt_failed(attempt, failure)
            return
        kind = parse_error_kind(control.get(ERROR))
        if kind is not None:
            may_have_run = control.get(RUN) != RunState.NOT_RUN.encode()
            delivered = may_have_run or ARRIVED in control
            attempt.failure = AttemptFailure(
                kind, head.status, may_have_run, final, load, delivered
            )
            return
        self._ingress.note_rate(attempt.placed.target.target_id, control.get(RATE))
        if LEAVING in control:
            now = self._ingress.clock()
            self._ingress.placement.observe(TargetLeaving(attempt.placed.target, now))
        if head.status >= 500 and self._retry_server_error(attempt, head, load):
            return
        if self._chosen_attempt is None and attempt in self._live_attempts:
            self._choose_response(attempt, head, load)

    def _retry_server_error(self, attempt: Attempt, head: ResponseHead, load: Load | None) -> bool:
        """Schedule a retry after a 5xx response; return whether one follows."""
        if len(self._live_attempts) > 1:
            return False
        failure = AttemptFailure(None, head.status, True, FINAL in head.control, load, True)
        decision = self._decide_retry(failure, self._delivered_attempts + 1)
        if isinstance(decision, GiveUp):
            self._final = self._final or decision.final
            return False
        assert attempt.exchange is not None
        attempt.exchange.cancel()
        self._record_attempt_failure(attempt, failure)
        self._ingress.loop.call_later(decision.delay_s, self._start_attempt)
        return True

    def _choose_response(self, attempt: Attempt, head: ResponseHead, load: Load | None) -> None:
        """Choose the response of an attempt for the caller and cancel the other attempts."""
        now = self._ingress.clock()
        self._chosen_attempt = attempt
        if self._write_paused:
            assert attempt.exchange is not None
            attempt.exchange.pause()
        self._may_have_run = True
        for other in tuple(self._live_attempts):
            if other is not attempt:
                assert other.exchange is not None
                other.exchange.cancel()
                self._record_attempt_failure(
                    other, AttemptFailure(ErrorKind.CANCELLED, 0, True, False, None, True)
                )
        self._report_to_placement(attempt, None, head.status, load, now)
        control = {REQUEST_ID: head.control.get(REQUEST_ID, b"")}
        check(control[REQUEST_ID] == self._request_id, "P4_response_of_other_request")
        if self._final or FINAL in head.control:
            control[FINAL] = b"1"
        self._response_head = ResponseHead(head.status, control, head.headers, head.content_length)
        if (head.content_length or 0) > MAX_BUFFERED_RESPONSE_BYTES:
            self._forward_response()

    def _forward_response(self) -> None:
        """Send the buffered part of the response; the rest is forwarded as it arrives."""
        head = self._response_head
        assert head is not None
        self._response_status = head.status
        self._responder.send_head(head)
        for data in self._response_chunks:
            self._responder.send_body(data)
        self._response_chunks.clear()

    def on_attempt_body(self, attempt: Attempt, data: bytes) -> None:
        """Buffer or forward a part of the response body."""
        if attempt is not self._chosen_attempt:
            return
        self._response_bytes += len(data)
        if self._response_status:
            self._responder.send_body(data)
            return
        self._response_chunks.append(data)
        if self._response_bytes > MAX_BUFFERED_RESPONSE_BYTES:
            self._forward_response()

    def on_attempt_end(self, attempt: Attempt) -> None:
        """Complete the response to the caller."""
        if attempt is self._chosen_attempt and not self._done:
            if not self._response_status:
                self._set_content_length()
                self._forward_response()
            self._responder.send_end()
            self._responder.flush()
            self._ingress.note_response_size(self._service, self._response_bytes)
            self._end(None, self._response_status, RunState.RAN)

    def _set_content_length(self) -> None:
        """Set the length of a complete response that arrived without one."""
        head = self._response_head
        assert head is not None
        if head.content_length is None and self._response_bytes:
            self._response_head = replace(head, content_length=self._response_bytes)

    def flush(self, attempt: Attempt) -> None:
        """Flush the forwarded data to the caller."""
        if attempt is self._chosen_attempt and not self._done and self._response_status:
            self._responder.flush()

    def on_attempt_failed(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Start another attempt, or answer with an error."""
        if self._done or attempt not in self._live_attempts:
            return
        if attempt is self._chosen_attempt:
            if self._response_status:
                self._abort_response()
                return
            self._chosen_attempt = None
            self._response_chunks.clear()
            self._response_bytes = 0
        self._record_attempt_failure(attempt, failure)
        if self._live_attempts:
            return  # the other attempt of a hedge may still succeed
        decision = self._decide_retry(failure, self._delivered_attempts)
        log.info(
            EventName.ATTEMPT_FAILED,
            request_id=self._request_id.decode("latin-1"),
            target=attempt.placed.target.target_id,
            kind=failure.kind or failure.status,
            arrived=failure.delivered,
            may_have_run=self._may_have_run,
            arrivals=self._delivered_attempts,
            hand_overs=self._undelivered_attempts,
            left_ms=int((self._deadline - self._ingress.clock()) * 1000),
            load=str(failure.load or ""),
            version=self._snapshot.version,
            decision=type(decision).__name__,
        )
        if isinstance(decision, GiveUp):
            self._final = self._final or decision.final
            self._fail(decision.kind or failure.kind or ErrorKind.OUTCOME_UNKNOWN)
        elif decision.delay_s > 0:
            self._ingress.loop.call_later(decision.delay_s, self._start_attempt)
        else:
            self._start_attempt()

    def _decide_retry(self, failure: AttemptFailure, delivered_attempts: int) -> GiveUp | Retry:
        row = self._row
        assert row is not None
        now = self._ingress.clock()
        return self._ingress.retries.decide(
            RetryQuery(
                row,
                self._destination,
                self._head.method,
                self._attempt_count,
                failure.kind,
                failure.status,
                failure.may_have_run,
                not self._forwarding_body,
                failure.final,
                self._inside_retry,
                self._deadline - now,
                now,
                self._may_have_run,
                delivered_attempts,
                self._undelivered_attempts,
            )
        )

    def _record_attempt_failure(self, attempt: Attempt, failure: AttemptFailure) -> None:
        if attempt in self._live_attempts:
            self._live_attempts.remove(attempt)
        attempt.exchange = None
        if failure.delivered:
            self._delivered_attempts += 1
        else:
            self._undelivered_attempts += 1
        if failure.kind in QUEUE_REFUSAL_KINDS and self._row is not None:
            # The next attempt is the last one, so that a request which finds every queue too long
            # fails after two such refusals.
            self._undelivered_attempts = max(
                self._undelivered_attempts, undelivered_attempt_limit(self._row)
            )
        self._may_have_run = self._may_have_run or failure.may_have_run
        self._last_error_kind = failure.kind
        now = self._ingress.clock()
        self._report_to_placement(attempt, failure.kind, failure.status, failure.load, now)

    def _report_to_placement(
        self,
        attempt: Attempt,
        kind: ErrorKind | None,
        status: int,
        load: Load | None,
        now: float,
    ) -> None:
        latency_s = now - attempt.started_at
        self._ingress.placement.observe(
            AttemptEnded(attempt.placed, kind, status, latency_s, load, now, attempt.is_long_work)
        )

    def _cancel_attempts(self) -> None:
        live, self._live_attempts = self._live_attempts, []
        for attempt in live:
            assert attempt.exchange is not None
            attempt.exchange.cancel()
            self._may_have_run = self._may_have_run or attempt.exchange.reached
            attempt.exchange = None
            if attempt is not self._chosen_attempt:
                self._report_to_placement(
                    attempt, ErrorKind.CANCELLED, 0, None, self._ingress.clock()
                )

    # end

    def _on_deadline(self) -> None:
        if self._done:
            return
        self._cancel_attempts()
        if self._response_status:
            self._abort_response()
        else:
            self._fail(ErrorKind.DEADLINE_EXCEEDED)

    def _abort_response(self) -> None:
        """Abort the response, so that the caller sees that it is incomplete."""
        self._cancel_attempts()
        self._responder.abort()
        self._end(ErrorKind.ANSWER_CUT, self._response_status, RunState.UNKNOWN)

    def _fail(
        self,
        kind: ErrorKind,
        detail: dict[str, object] | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Answer with an error; never report not-run when an attempt may have run."""
        if self._done:
            return
        if self._may_have_run and ANSWER_BY_KIND[kind].run_state is RunState.NOT_RUN:
            kind = ErrorKind.OUTCOME_UNKNOWN
        answer = ANSWER_BY_KIND[kind]
        check(
            answer.run_state is not RunState.NOT_RUN or not self._may_have_run,
            "P5_not_run_after_dispatch",
            kind=kind,
        )
        self._end(kind, answer.status, answer.run_state)
        if kind in RETRY_AFTER_RANGE_S_BY_KIND:
            retry_after_s = self._ingress.rng.uniform(*RETRY_AFTER_RANGE_S_BY_KIND[kind])
        self._responder.send_error(
            error_response(
                kind,
                self._request_id,
                final=self._final,
                detail=detail,
                retry_after_s=retry_after_s,
            ),
            head_only=self._head.method == "HEAD",
        )

    def _end(self, kind: ErrorKind | None, status: int, run_state: RunState) -> None:
        """Cancel the timers, settle the claim and report the result."""
        if self._done:
            return
        self._done = True
        # Break the reference cycles, so that the call is freed at once without the garbage
        # collector.
        for attempt in self._live_attempts:
            attempt.exchange = None
        self._chosen_attempt = None
        self._live_attempts.clear()
        self._body_chunks.clear()
        for timer in (self._deadline_timer, self._hedge_timer, self._first_byte_timer):
            if timer is not None:
                timer.cancel()
        if self._allotment_taken and run_state is RunState.NOT_RUN:
            assert self._ingress.allotments is not None and self._workspace is not None
            self._ingress.allotments.give_back(self._workspace)
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
                self._attempt_count,
                self._last_dispatch_at - self._opened_at,
                now - self._last_dispatch_at,
                now - self._opened_at,
                self._hedged,
            )
        )

    async def _settle_claim(self, status: int, run_state: RunState) -> None:
        """Release the key of a request that was not run, or record the status of one that ran.

        The key stays claimed when it is unknown whether the request ran.
        """
        key = self._head.control[IDEMPOTENCY_KEY].decode()
        request_id = self._request_id.decode()
        claims = self._ingress.claims
        if run_state is RunState.NOT_RUN:
            await claims.withdraw(self._service, key, request_id)
        elif run_state is RunState.RAN:
            await claims.record_status(self._service, key, request_id, status)


def find_row(snapshot: Snapshot, head: RequestHead) -> Row | None:
    """Return the row that matches the host and path of a request."""
    host = head.control.get(HOST, b"").decode("latin-1").lower()
    return snapshot.routes.find(host.partition(":")[0], head.target)
