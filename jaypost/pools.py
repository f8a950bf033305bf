"""Pool of client HTTP connections by remote address; each carries one request at a time."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import cast

import structlog

from jaypost.calls import HOST, REQUEST_ID
from jaypost.codecs import client_codec
from jaypost.connections import PROBE_REQUEST_TARGET
from jaypost.errors import ErrorKind
from jaypost.exchanges import (
    CallFailed,
    Exchange,
    Receiver,
)
from jaypost.http_messages import (
    BodyChunk,
    ContinueReceived,
    Event,
    HeaderDialect,
    MessageEnd,
    ProtocolFault,
    RequestHead,
    ResponseHead,
)
from jaypost.intake.gate import WAITING_INPUT, InputGate
from jaypost.intake.scheduler import IntakeScheduler
from jaypost.logs import EventName
from jaypost.records import Address
from jaypost.settings import Settings
from jaypost.timeouts import PatientTimeout

log = structlog.get_logger(__name__)

# Idle connections are closed after this time.
IDLE_EXPIRY_S = 30.0
# An idle connection counts as silent when its probe is not answered within this time.
PROBE_TIMEOUT_S = 1.0
# A `ResponseStream` pauses its connection while it buffers more than this.
STREAM_BUFFER_BYTES = 65_536
# Identifiers of the last answered requests that are kept per connection. A further response with
# one of them is a duplicate and is dropped. A request that is sent again does not use a connection
# that has answered it, because a duplicate could not be told from its response.
MAX_REMEMBERED_REQUEST_IDS = 32


class PooledExchange(Exchange):
    """A request on a pooled connection.

    Parameters
    ----------
    address : Address
        Address of the other side.
    head : RequestHead
        Head of the request.
    body : bytes
        The whole body, or its first part; empty when the body is sent later.
    complete : bool
        Whether `body` is the whole body.
    receiver : Receiver
        Receives the response.
    """

    __slots__ = (
        "address",
        "body",
        "cancelled",
        "complete",
        "connection",
        "head",
        "paused",
        "pool",
        "receiver",
        "sent_at",
        "sent_body_bytes",
    )

    def __init__(
        self,
        address: Address,
        head: RequestHead,
        body: bytes,
        complete: bool,
        receiver: Receiver,
    ) -> None:
        self.address = address
        self.head = head
        self.body = body
        self.complete = complete
        self.receiver = receiver
        self.connection: ClientConnection | None = None
        self.pool: ConnectionPool | None = None
        self.sent_at: float | None = None
        self.sent_body_bytes = 0
        self.paused = False
        self.cancelled = False

    @property
    def reached(self) -> bool:
        """Whether the other side may have read any byte of the request."""
        return self.sent_at is not None

    def send_body(self, data: bytes) -> None:
        """Send a part of the request body."""
        if self.connection is not None:
            self.connection.send_body(data)

    def send_end(self) -> None:
        """Send the end of the request."""
        self.complete = True
        if self.connection is not None:
            self.connection.send_end()

    def pause(self) -> None:
        """Pause the delivery of the response."""
        self.paused = True
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Resume the delivery of the response."""
        self.paused = False
        if self.connection is not None:
            self.connection.resume()

    def cancel(self) -> None:
        """Cancel the request and close its connection."""
        self.cancelled = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.discard()
        elif self.pool is not None:
            self.pool.remove_waiting(self)

    def fail_unsent(self, failure: CallFailed) -> None:
        """Report a failure before any connection was used, unless the request was cancelled."""
        if not self.cancelled:
            self.receiver.on_failed(failure)


class _AddressGroup:
    """Connections to one address, and the requests that wait for a connection."""

    __slots__ = ("address", "connect_tasks", "connections", "idle", "waiting")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.connections: set[ClientConnection] = set()
        self.idle: list[ClientConnection] = []
        self.waiting: deque[PooledExchange] = deque()
        self.connect_tasks: set[asyncio.Task[None]] = set()


class ClientConnection(asyncio.Protocol):
    """One connection of a pool.

    asyncio and uvloop both set TCP_NODELAY on the sockets that they open.
    """

    __slots__ = (
        "_answered_request_ids",
        "_codec",
        "_exchange",
        "_group",
        "_head_received",
        "_paused",
        "_pool",
        "_skipping_response",
        "_transport",
        "_was_reset",
        "idle_since",
        "last_received",
    )

    def __init__(self, pool: ConnectionPool, group: _AddressGroup) -> None:
        self._pool = pool
        self._group = group
        self._codec = client_codec(
            pool.settings.http_codec, pool.settings.header_limit_bytes, pool.dialect
        )
        self._transport: asyncio.Transport | None = None
        self._exchange: PooledExchange | None = None
        self._answered_request_ids: deque[bytes] = deque(maxlen=MAX_REMEMBERED_REQUEST_IDS)
        self._head_received = False
        self._skipping_response = False
        self._was_reset = False
        self._paused = False
        self.idle_since = 0.0
        self.last_received = 0.0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        # A cast, not an assertion: uvloop's transports do not subclass asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.last_received = self._pool.clock()
        self._group.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, unless the end of the connection ends its response."""
        self._transport = None
        self._pool.remove_connection(self._group, self)
        exchange = self._exchange
        if exchange is None:
            return
        if exc is None and not self._was_reset:
            self._dispatch_all(exchange, self._codec.receive_eof())
        if self._exchange is not None:
            self._fail(ErrorKind.ANSWER_CUT if self._head_received else ErrorKind.OUTCOME_UNKNOWN)

    def eof_received(self) -> None:
        """Check whether the other side has reset the connection.

        libuv reports a reset that arrives together with data as the end of the stream. The end of
        the stream would complete a response without a length.
        """
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            self._was_reset = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def data_received(self, data: bytes) -> None:
        """Decode input and pass it to the receiver."""
        exchange = self._exchange
        self.last_received = self._pool.clock()
        if exchange is None:
            # No request is in progress. A late response, or one to another request, must not be
            # taken for the response to the next request.
            log.warning("unsolicited_response", address=str(self._group.address), size=len(data))
            self.discard()
            return
        self._dispatch_all(exchange, self._codec.receive(data))

    def pause_writing(self) -> None:
        """Pause the sender of the request."""
        if self._exchange is not None:
            self._exchange.receiver.on_request_write_paused()

    def resume_writing(self) -> None:
        """Resume the sender of the request."""
        if self._exchange is not None:
            self._exchange.receiver.on_request_write_resumed()

    # request

    @property
    def usable(self) -> bool:
        """Whether the connection is open, so that a request can be written."""
        return self._transport is not None and not self._transport.is_closing()

    def has_answered(self, exchange: PooledExchange) -> bool:
        """Tell whether the connection has carried a response to the same request before."""
        request_id = exchange.head.control.get(REQUEST_ID)
        return request_id is not None and request_id in self._answered_request_ids

    @property
    def framing_bytes(self) -> int:
        """Bytes received so far that carried neither content nor the head of a response."""
        return self._codec.framing_bytes

    @property
    def exchange(self) -> PooledExchange | None:
        """The request in progress."""
        return self._exchange

    def begin(self, exchange: PooledExchange) -> None:
        """Write a request, with the part of its body that is already there."""
        assert self._transport is not None
        self._exchange = exchange
        self._head_received = False
        exchange.connection = self
        exchange.sent_at = self._pool.clock()
        data = self._codec.encode_request(exchange.head)
        if exchange.body:
            data += self._codec.encode_body(exchange.body)
            exchange.sent_body_bytes += len(exchange.body)
        if exchange.complete:
            data += self._codec.encode_end()
        self._transport.write(data)
        if exchange.paused:
            self.pause()
        exchange.receiver.on_started()

    def send_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if self._transport is not None and self._exchange is not None:
            self._transport.write(self._codec.encode_body(data))
            self._exchange.sent_body_bytes += len(data)

    def send_end(self) -> None:
        """Write the end of the request."""
        if self._transport is not None:
            end = self._codec.encode_end()
            if end:
                self._transport.write(end)

    # response

    def _dispatch_all(self, exchange: PooledExchange, events: list[Event]) -> None:
        receiver = exchange.receiver
        while events:
            events = self._skip_duplicate_response(exchange, events)
            if not events:
                if (
                    not self._skipping_response
                    and self._codec.message_done
                    and self._exchange is exchange
                ):
                    self._codec.next_message()
                    events = self._codec.receive(b"")
                    continue
                return
            self._deliver(exchange, events)
            break
        receiver.on_batch_end()

    def _skip_duplicate_response(
        self, exchange: PooledExchange, events: list[Event]
    ) -> list[Event]:
        """Return the events without those of a duplicate response to an earlier request.

        The response to the request in progress follows the duplicate.
        """
        expected = exchange.head.control.get(REQUEST_ID)
        first = events[0]
        if isinstance(first, ResponseHead) and not self._head_received and expected is not None:
            received = first.control.get(REQUEST_ID)
            self._skipping_response = (
                received != expected and received in self._answered_request_ids
            )
            if self._skipping_response:
                log.warning(
                    "crossed_response",
                    address=str(self._group.address),
                    request_id=expected,
                    got=received,
                )
        if not self._skipping_response:
            return events
        if isinstance(events[-1], ProtocolFault):
            self._skipping_response = False
            return events[-1:]
        if isinstance(events[-1], MessageEnd):
            self._skipping_response = False
        return []

    def _deliver(self, exchange: PooledExchange, events: list[Event]) -> None:
        receiver = exchange.receiver
        for event in events:
            kind = type(event)
            if kind is BodyChunk:
                receiver.on_body(event.data)  # type: ignore[union-attr]
            elif kind is ResponseHead:
                self._head_received = True
                receiver.on_head(event)  # type: ignore[arg-type]
            elif kind is ContinueReceived:
                receiver.on_continue()
            elif kind is ProtocolFault:
                self._handle_protocol_fault(event)  # type: ignore[arg-type]
            else:
                self._complete(exchange)
                receiver.on_end()
                break
            if self._exchange is not exchange:
                break  # cancelled by the receiver

    def _handle_protocol_fault(self, fault: ProtocolFault) -> None:
        log.warning("bad_response", address=str(self._group.address), reason=fault.reason)
        self._pool.count_by_fault[fault.kind] += 1
        self._fail(ErrorKind.ANSWER_CUT if self._head_received else ErrorKind.OUTCOME_UNKNOWN)

    def _complete(self, exchange: PooledExchange) -> None:
        self._exchange = None
        self._answered_request_ids.append(exchange.head.control.get(REQUEST_ID, b""))
        exchange.connection = None
        reusable = exchange.complete and not self._has_more_input() and not self._codec.closing
        if not reusable or not self.usable:
            self.discard()
            return
        if self._paused:
            self.resume()
        self._codec.next_message()
        self._pool.release(self._group, self)

    def _has_more_input(self) -> bool:
        """Return whether bytes that follow the response have arrived."""
        if self._codec.has_excess_bytes or self._codec.has_following_bytes:
            return True
        return self._transport is not None and self._transport.get_extra_info(WAITING_INPUT, 0) > 0

    def _fail(self, kind: ErrorKind) -> None:
        exchange, self._exchange = self._exchange, None
        self.discard()
        if exchange is not None:
            exchange.connection = None
            exchange.receiver.on_failed(CallFailed(kind, reached=True))

    def pause(self) -> None:
        """Pause reading from the connection."""
        if self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading from the connection."""
        if self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def close_and_fail_request(self) -> None:
        """Close the connection and fail its request."""
        self._fail(ErrorKind.ANSWER_CUT if self._head_received else ErrorKind.OUTCOME_UNKNOWN)

    def discard(self) -> None:
        """Close the connection at once, without a call to the receiver of its request."""
        self._exchange = None
        self._pool.remove_connection(self._group, self)
        if self._transport is not None:
            self._transport.abort()


class ConnectionPool:
    """Pool of client connections; the ingress and the egress of a node have one each.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    probe : bool
        Whether idle connections are probed. The other side must answer ``OPTIONS *``.
    on_silent : callable, optional
        Called with the address of a peer whose silent connections were closed.
    dialect : HeaderDialect, optional
        Header names on the connections; None for jaypost's own names.
    max_connections : int, optional
        Largest number of open connections. A further one takes the place of the connection that
        has been idle for longest; while none is idle, its request fails. None for no limit.
    scheduler : IntakeScheduler, optional
        Gives the connections their turns to decode input; None for one of the pool's own.

    Attributes
    ----------
    count_by_fault : Counter of ErrorKind
        Responses that violated the protocol.
    """

    def __init__(
        self,
        settings: Settings,
        probe: bool = False,
        on_silent: Callable[[Address], None] | None = None,
        dialect: HeaderDialect | None = None,
        max_connections: int | None = None,
        scheduler: IntakeScheduler | None = None,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.count_by_fault: Counter[ErrorKind] = Counter()
        self._scheduler = scheduler or IntakeScheduler()
        self._max_connections = max_connections
        self._probe = probe
        self._on_silent = on_silent
        self._group_by_address: dict[Address, _AddressGroup] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._closed = False
        self.clock = time.monotonic

    async def start(self) -> None:
        """Start probing and expiring idle connections."""
        self._loop = asyncio.get_running_loop()
        self._closed = False
        self._timer = self._loop.call_later(
            self.settings.idle_probe_s, self._check_idle_connections
        )

    async def close(self) -> None:
        """Close all connections; requests in progress fail."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        connect_tasks = [
            task for group in self._group_by_address.values() for task in group.connect_tasks
        ]
        for group in tuple(self._group_by_address.values()):
            for connection in tuple(group.connections):
                connection.close_and_fail_request()
            while group.waiting:
                group.waiting.popleft().receiver.on_failed(
                    CallFailed(ErrorKind.CONNECT_FAILED, reached=False)
                )
        for task in connect_tasks:
            task.cancel()
        await asyncio.gather(*connect_tasks, return_exceptions=True)
        self._group_by_address.clear()

    def connection_count(self, address: Address) -> int:
        """Return the number of connections to an address."""
        group = self._group_by_address.get(address)
        return len(group.connections) if group else 0

    def start_exchange(self, exchange: PooledExchange) -> None:
        """Send a request on an idle connection.

        Without an idle connection, a new one is opened and the request waits for the first
        connection that becomes free.
        """
        exchange.pool = self
        group = self._group_by_address.get(exchange.address)
        if group is None:
            group = self._group_by_address[exchange.address] = _AddressGroup(exchange.address)
        group.idle = [connection for connection in group.idle if connection.usable]
        for connection in reversed(group.idle):
            if not connection.has_answered(exchange):
                group.idle.remove(connection)
                connection.begin(exchange)
                return
        if not self._make_room():
            failure = CallFailed(ErrorKind.CONNECTION_LIMIT, reached=False)
            self._remove_group_if_empty(group)
            assert self._loop is not None
            # Not before `start_exchange` returns, like any other failure.
            self._loop.call_soon(exchange.fail_unsent, failure)
            return
        group.waiting.append(exchange)
        self._start_connecting(group)

    def _make_room(self) -> bool:
        """Close the longest idle connection if no further one may be opened; return success."""
        groups = self._group_by_address.values()
        opened = sum(len(group.connections) + len(group.connect_tasks) for group in groups)
        if self._max_connections is None or opened < self._max_connections:
            return True
        idle = [group.idle[0] for group in groups if group.idle]  # the longest idle of each group
        log.warning(EventName.CONNECTION_LIMIT, connections=opened, idle=len(idle))
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since).discard()
        return True

    async def request(
        self, address: Address, head: RequestHead, body: bytes, deadline: float
    ) -> ResponseStream | CallFailed:
        """Send a request and return its response when the head has arrived.

        Parameters
        ----------
        address : Address
            Address of the other side.
        head : RequestHead
            Head of the request.
        body : bytes
            Whole body of the request.
        deadline : float
            Time on the monotonic clock, in seconds, at which the wait for the head ends.

        Returns
        -------
        ResponseStream or CallFailed
            The response, with its head, or the failure.
        """
        stream = ResponseStream()
        exchange = PooledExchange(address, head, body, True, stream)
        stream.attach(exchange)
        self.start_exchange(exchange)
        try:
            async with asyncio.timeout_at(deadline):
                outcome = await stream.wait_head()
        except TimeoutError:
            exchange.cancel()
            kind = ErrorKind.OUTCOME_UNKNOWN if exchange.reached else ErrorKind.DEADLINE_EXCEEDED
            return CallFailed(kind, exchange.reached)
        except asyncio.CancelledError:
            exchange.cancel()
            raise
        return outcome if isinstance(outcome, CallFailed) else stream

    def remove_waiting(self, exchange: PooledExchange) -> None:
        """Remove a request that waits for a connection."""
        group = self._group_by_address.get(exchange.address)
        if group is not None and exchange in group.waiting:
            group.waiting.remove(exchange)

    def release(self, group: _AddressGroup, connection: ClientConnection) -> None:
        """Give a connection that became free to a waiting request, or keep it idle."""
        if self._closed:
            connection.discard()
            return
        for exchange in group.waiting:
            if not connection.has_answered(exchange):
                group.waiting.remove(exchange)
                connection.begin(exchange)
                return
        connection.idle_since = self.clock()
        group.idle.append(connection)

    def remove_connection(self, group: _AddressGroup, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        group.connections.discard(connection)
        if connection in group.idle:
            group.idle.remove(connection)
        self._remove_group_if_empty(group)

    def _remove_group_if_empty(self, group: _AddressGroup) -> None:
        if not group.connections and not group.waiting and not group.connect_tasks:
            if self._group_by_address.get(group.address) is group:
                del self._group_by_address[group.address]

    def close_silent_connections(self, address: Address, since: float) -> None:
        """Close every connection to `address` on which nothing arrived after `since`.

        `since` is a time on the monotonic clock in seconds.
        """
        group = self._group_by_address.get(address)
        if group is None:
            return
        silent = [item for item in group.connections if item.last_received <= since]
        log.warning("silent_peer", address=str(address), connections=len(silent))
        for connection in silent:
            connection.close_and_fail_request()
        if self._on_silent is not None:
            self._on_silent(address)

    # opening connections

    def _start_connecting(self, group: _AddressGroup) -> None:
        assert self._loop is not None
        task = self._loop.create_task(self._connect(group))
        group.connect_tasks.add(task)
        task.add_done_callback(lambda done: self._connect_ended(group, done))

    def _connect_ended(self, group: _AddressGroup, task: asyncio.Task[None]) -> None:
        group.connect_tasks.discard(task)
        self._remove_group_if_empty(group)

    async def _connect(self, group: _AddressGroup) -> None:
        assert self._loop is not None
        connection = ClientConnection(self, group)
        gate = InputGate(
            self._scheduler,
            connection,
            framing_bytes=lambda: connection.framing_bytes,
            input_outlives_connection=True,
        )
        try:
            async with PatientTimeout(self.settings.connect_timeout_s):
                await self._loop.create_connection(
                    lambda: gate, group.address.host, group.address.port
                )
        except OSError as error:  # TimeoutError is a subclass
            log.info("connect_failed", address=str(group.address), reason=str(error))
            if group.waiting:
                own_limit = error.errno in (errno.EMFILE, errno.ENFILE)
                kind = ErrorKind.CONNECTION_LIMIT if own_limit else ErrorKind.CONNECT_FAILED
                failure = CallFailed(kind, reached=False)
                group.waiting.popleft().receiver.on_failed(failure)
            return
        if connection.usable:
            self.release(group, connection)

    # idle connections

    def _check_idle_connections(self) -> None:
        assert self._loop is not None
        self._timer = self._loop.call_later(
            self.settings.idle_probe_s, self._check_idle_connections
        )
        now = self.clock()
        for group in tuple(self._group_by_address.values()):
            for connection in [c for c in group.idle if now - c.idle_since > IDLE_EXPIRY_S]:
                connection.discard()
            longest_idle = group.idle[0] if group.idle else None
            if (
                self._probe
                and longest_idle is not None
                and now - longest_idle.idle_since >= self.settings.idle_probe_s
            ):
                group.idle.remove(longest_idle)
                _Probe(self, group.address, self._loop).send(longest_idle)


class _Probe(Receiver):
    """Checks with a request that an idle connection still carries data."""

    __slots__ = ("_address", "_loop", "_pool", "_timer")

    def __init__(
        self, pool: ConnectionPool, address: Address, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._pool = pool
        self._address = address
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def send(self, connection: ClientConnection) -> None:
        """Send the probe and start its timeout."""
        if not connection.usable:
            connection.discard()
            return
        head = RequestHead("OPTIONS", PROBE_REQUEST_TARGET, {HOST: b"jaypost"}, [])
        since = self._pool.clock()
        self._timer = self._loop.call_later(PROBE_TIMEOUT_S, self._time_out, since)
        connection.begin(PooledExchange(self._address, head, b"", True, self))

    def _time_out(self, since: float) -> None:
        self._pool.close_silent_connections(self._address, since)

    def on_head(self, head: ResponseHead) -> None:
        """Accept any response."""

    def on_body(self, data: bytes) -> None:
        """Ignore the body."""

    def on_end(self) -> None:
        """Stop the timeout; the connection works."""
        if self._timer is not None:
            self._timer.cancel()

    def on_failed(self, failure: CallFailed) -> None:
        """Stop the timeout; the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()


class ResponseStream(Receiver):
    """Buffers the response to a request, in bounded memory, for one task that reads it."""

    __slots__ = ("_buffered", "_changed", "_chunks", "_ended", "_exchange", "_failure", "head")

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self._exchange: PooledExchange | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._ended = False
        self._failure: CallFailed | None = None
        self._changed = asyncio.Event()

    def attach(self, exchange: PooledExchange) -> None:
        """Set the exchange that delivers the response."""
        self._exchange = exchange

    def on_head(self, head: ResponseHead) -> None:
        """Receive the head of the response."""
        self.head = head
        self._changed.set()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body; pause the connection when the buffer is full."""
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > STREAM_BUFFER_BYTES and self._exchange is not None:
            self._exchange.pause()
        self._changed.set()

    def on_end(self) -> None:
        """Handle the end of the response."""
        self._ended = True
        self._changed.set()

    def on_failed(self, failure: CallFailed) -> None:
        """Handle a failure after which no further part of the response follows."""
        self._failure = failure
        self._changed.set()

    async def wait_head(self) -> ResponseHead | CallFailed:
        """Wait for the head of the response and return it, or the failure."""
        while self.head is None and self._failure is None:
            self._changed.clear()
            await self._changed.wait()
        if self.head is not None:
            return self.head
        assert self._failure is not None
        return self._failure

    async def next_chunk(self) -> bytes | CallFailed | None:
        """Wait for the next part of the body and return it; None at the end of the body."""
        while not self._chunks and not self._ended and self._failure is None:
            self._changed.clear()
            await self._changed.wait()
        if self._chunks:
            data = self._chunks.popleft()
            self._buffered -= len(data)
            if self._buffered <= STREAM_BUFFER_BYTES and self._exchange is not None:
                self._exchange.resume()
            return data
        return None if self._ended else self._failure

    async def read(self) -> bytes | CallFailed:
        """Wait for the rest of the body and return it, or the failure."""
        parts: list[bytes] = []
        while True:
            chunk = await self.next_chunk()
            if chunk is None:
                return b"".join(parts)
            if isinstance(chunk, CallFailed):
                return chunk
            parts.append(chunk)

    def close(self) -> None:
        """Cancel the request unless its response is complete."""
        if self._exchange is not None and not self._ended:
            self._exchange.cancel()
