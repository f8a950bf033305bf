"""Caller-facing side of a node: reads requests, sends them to targets and returns responses."""

from __future__ import annotations

import asyncio
import itertools
import random
import secrets
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from jaypost.admission import CallClass
from jaypost.calls import DEFAULT_TENANT, CallEnded, ErrorResponse, error_response
from jaypost.connections import CallServer, InFlight
from jaypost.crossings import CrossingChoice
from jaypost.descriptors import connection_limits
from jaypost.egress import Egress
from jaypost.errors import ErrorKind, RunState
from jaypost.http_messages import HeaderDialect, RequestHead
from jaypost.ingress_calls import Allotments, ClaimRegistry, IngressCall, find_row
from jaypost.intake.scheduler import IntakeScheduler
from jaypost.placement import Placement
from jaypost.pools import ConnectionPool
from jaypost.records import Address, Snapshot
from jaypost.responders import BufferPlace, ConnectionHandlers, CutReason, IncomingCall, Responder
from jaypost.retries import RetryPolicy
from jaypost.settings import Settings
from jaypost.uplink import Uplink

# Rows whose mean response size an ingress keeps, and the weight of one response in it.
MAX_SIZED_ROWS = 4096
RESPONSE_SIZE_GAIN = 0.1
# Targets whose rates an ingress remembers.
MAX_NAMED_RATES = 1024


class Ingress:
    """Server for callers.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    placement : Placement
        Chooses the target of each attempt.
    retries : RetryPolicy
        Retry rules and budgets.
    claims : ClaimRegistry
        Claims idempotency keys.
    snapshot : callable
        Returns the snapshot in force.
    on_call_ended : callable
        Called with the result of each call.
    local_egress : Egress or None
        Egress of the same node, called without a socket; None to call it over a socket as well.
    dialect : HeaderDialect or None
        Header names on the connections of callers; None for those of jaypost.
    rng : random.Random or None
        Source of the random ``Retry-After``; None for a new one.
    uplink : Uplink or None
        Link of the host; None for a new `Uplink` with the rate of the settings, which the egress
        does not share.
    scheduler : IntakeScheduler or None
        Gives connections their turns to decode input; None for a new one, which the egress does
        not share.
    """

    def __init__(
        self,
        settings: Settings,
        placement: Placement,
        retries: RetryPolicy,
        claims: ClaimRegistry,
        snapshot: Callable[[], Snapshot],
        on_call_ended: Callable[[CallEnded], None],
        local_egress: Egress | None = None,
        dialect: HeaderDialect | None = None,
        rng: random.Random | None = None,
        uplink: Uplink | None = None,
        scheduler: IntakeScheduler | None = None,
    ) -> None:
        scheduler = scheduler or IntakeScheduler()
        self.settings = settings
        self.placement = placement
        self.retries = retries
        self.claims = claims
        self.snapshot = snapshot
        self.report = on_call_ended
        self.local_egress = local_egress
        self.rng = rng or random.Random()
        self.clock = time.monotonic  # the clock of uvloop has a resolution of only 1 ms
        max_connections = connection_limits(settings.max_files)
        self.pool = ConnectionPool(
            settings,
            probe=True,
            max_connections=max_connections.to_peers,
            scheduler=scheduler,
        )
        self.in_flight = InFlight()
        # Requests that found no free target in their failure domain, by what was decided.
        self.count_by_crossing: Counter[CrossingChoice] = Counter()
        # Mean size in bytes of the responses of each row.
        self.response_bytes_by_row: dict[str, float] = {}
        # Owner of the shares of the workspaces; None where limits of workspaces do not count.
        self.allotments: Allotments | None = None
        self.refuses_calls = False
        self._drain_ends_at = float("inf")
        # Rates that targets name, as in the header `RATE`; the oldest entry first.
        self.rate_by_target_id: dict[str, bytes] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_id_prefix = secrets.token_hex(6)
        self._request_id_counter = itertools.count(1)
        self._server = CallServer(
            settings,
            settings.listen_caller,
            ConnectionHandlers(
                self.open_call, self._refuse_input, self.may_execute_concurrently, dialect
            ),
            uplink or Uplink(settings.link_mbps),
            max_connections.callers,
            scheduler,
        )

    async def start(self) -> Address:
        """Listen for callers and return the address with the actual port."""
        self.loop = asyncio.get_running_loop()
        await self.pool.start()
        return await self._server.start()

    def open_call(self, responder: Responder, head: RequestHead) -> IncomingCall:
        """Return a call of a caller, which its connection begins."""
        return IngressCall(self, responder, head)

    def may_execute_concurrently(self, head: RequestHead) -> bool:
        """Tell whether a request may start before earlier ones of its connection are answered."""
        row = find_row(self.snapshot(), head)
        return row is not None and head.method in row.repeatable_methods

    def new_request_id(self) -> bytes:
        """Return an identifier for a request that has none."""
        return f"{self._request_id_prefix}-{next(self._request_id_counter):x}".encode()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that `close` waits for."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def buffered_bytes(self) -> dict[BufferPlace, int]:
        """Return the bytes of responses that the connections hold, by place."""
        return self._server.buffered_bytes()

    @property
    def cut_by_reason(self) -> Mapping[CutReason, int]:
        """Requests of callers whose connection the node closed before it answered them."""
        return self._server.cut_by_reason

    def note_response_size(self, row: str, size: int) -> None:
        """Update the mean size in bytes of the responses of a row."""
        mean = self.response_bytes_by_row.get(row)
        if mean is None and len(self.response_bytes_by_row) >= MAX_SIZED_ROWS:
            return
        self.response_bytes_by_row[row] = (
            size if mean is None else mean + RESPONSE_SIZE_GAIN * (size - mean)
        )

    def note_rate(self, target_id: str, rate: bytes | None) -> None:
        """Note the rate that a target names in a response, None if it names none."""
        if rate is None:
            self.rate_by_target_id.pop(target_id, None)
            return
        self.rate_by_target_id[target_id] = rate
        if len(self.rate_by_target_id) > MAX_NAMED_RATES:
            del self.rate_by_target_id[next(iter(self.rate_by_target_id))]

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
        await self._server.close()
        await self.pool.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _refuse_input(self, kind: ErrorKind) -> ErrorResponse:
        """Return the response to input that is not a valid request, and report the call."""
        request_id = self.new_request_id()
        response = error_response(kind, request_id)
        self.report(
            CallEnded(
                request_id.decode(),
                "",
                DEFAULT_TENANT,
                CallClass.SHORT,
                self.snapshot().version,
                kind,
                response.head.status,
                RunState.NOT_RUN,
                0,
                0.0,
                0.0,
                0.0,
            )
        )
        return response
