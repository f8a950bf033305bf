"""Server side of HTTP connections: sockets, backpressure, slow senders and the end of a call."""

from __future__ import annotations

import asyncio
import socket
import struct
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import cast

import structlog

from jaypost.calls import ErrorAnswer
from jaypost.codecs import (
    BodyChunk,
    Event,
    HeaderDialect,
    MessageEnd,
    ProtocolFault,
    RequestHead,
    ResponseHead,
    server_codec,
)
from jaypost.errors import ErrorKind
from jaypost.invariants import check
from jaypost.records import Address
from jaypost.settings import Settings
from jaypost.uplink import Uplink

log = structlog.get_logger(__name__)

LINGER_S = 1.0  # unread input at close makes the kernel send a reset, which may destroy the answer
LINGER_RESET = struct.pack("ii", 1, 0)  # closing the socket sends a reset
BACKLOG = 1024

PROBE_TARGET = "*"
# Requests that a caller may have in execution on one connection.
MAX_OVERLAPPING = 16
# A response that waits for earlier ones is kept up to this size; then its sender is paused.
WAITING_RESPONSE_BYTES = 262_144
# Stands for a request whose head could not be read.
UNREAD_REQUEST = RequestHead("", "", {}, [], keep_alive=False)


class Responder(ABC):
    """Where a call sends its response; nothing is on the wire before `flush`."""

    __slots__ = ()

    @abstractmethod
    def send_head(self, head: ResponseHead) -> None:
        """Start the response."""

    @abstractmethod
    def send_body(self, data: bytes) -> None:
        """Add a part of the body."""

    @abstractmethod
    def send_end(self) -> None:
        """Complete the response."""

    @abstractmethod
    def send_continue(self) -> None:
        """Ask for the body of the request."""

    @abstractmethod
    def flush(self) -> None:
        """Write what was sent since the last flush."""

    @abstractmethod
    def abort(self) -> None:
        """End the response before it is complete, so that the truncation is visible."""

    @abstractmethod
    def pause_body(self) -> None:
        """Stop the delivery of the request body."""

    @abstractmethod
    def resume_body(self) -> None:
        """Continue the delivery of the request body."""

    def send_answer(self, answer: ErrorAnswer, head_only: bool = False) -> None:
        """Send a complete response at once."""
        self.send_head(answer.head)
        if not head_only:
            self.send_body(answer.body)
        self.send_end()
        self.flush()


class IncomingCall(ABC):
    """A call that a connection delivers, from its head to its end."""

    __slots__ = ()

    @abstractmethod
    def on_body(self, data: bytes) -> None:
        """Take a part of the request body."""

    @abstractmethod
    def on_body_end(self) -> None:
        """Note that the request is complete."""

    @abstractmethod
    def on_fault(self, kind: ErrorKind) -> None:
        """Note that the rest of the request cannot be read."""

    @abstractmethod
    def on_disconnect(self) -> None:
        """Note that the caller closed the connection."""

    @abstractmethod
    def on_write_paused(self) -> None:
        """Note that the caller reads more slowly than the response arrives."""

    @abstractmethod
    def on_write_resumed(self) -> None:
        """Note that the caller has caught up."""


@dataclass(frozen=True, slots=True)
class ConnectionHandlers:
    """What a server connection calls.

    Parameters
    ----------
    open_call : callable
        Takes a request head and returns the call, which may already have been answered.
    refuse : callable
        Returns the answer to input that is not a request.
    may_overlap : callable
        Tells whether a request may start before earlier ones of its connection are answered.
    dialect : HeaderDialect or None
        Names of the headers on the connection; None for those of jaypost.
    """

    open_call: Callable[[Responder, RequestHead], IncomingCall]
    refuse: Callable[[ErrorKind], ErrorAnswer]
    may_overlap: Callable[[RequestHead], bool] = lambda head: False
    dialect: HeaderDialect | None = None


class ServerConnection(asyncio.Protocol):
    """One accepted connection.

    Requests that may overlap run at the same time; their responses leave in the order of the
    requests. asyncio and uvloop both set TCP_NODELAY on the sockets that they accept.
    """

    __slots__ = (
        "_closing",
        "_codec",
        "_exchanges",
        "_handlers",
        "_held",
        "_lingering",
        "_reading",
        "_received",
        "_server",
        "_settings",
        "_transport",
        "_watch",
        "_watched_bytes",
    )

    def __init__(self, settings: Settings, server: CallServer, handlers: ConnectionHandlers):
        self._settings = settings
        self._server = server
        self._handlers = handlers
        self._codec = server_codec(
            settings.http_codec, settings.header_limit_bytes, handlers.dialect
        )
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[_ServerExchange] = deque()
        self._reading: _ServerExchange | None = None
        # Events of a request that waits until it is the first one on the connection.
        self._held: list[Event] = []
        self._closing = False
        self._lingering = False
        self._watch: asyncio.TimerHandle | None = None
        self._received = 0
        self._watched_bytes = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        # Not asserted: the transports of uvloop are no subclasses of asyncio.Transport.
        opened = cast(asyncio.Transport, transport)
        self._transport = self._server.uplink.wrap(opened, self)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls."""
        self._transport = None
        self._server.connections.discard(self)
        self._stop_watch()
        self._held.clear()
        self._cancel_exchanges()
        self._server.connection_closed()

    def data_received(self, data: bytes) -> None:
        """Decode input and hand it to its call."""
        self._received += len(data)
        if self._lingering or self._closing:
            return
        self._dispatch_all(self._codec.receive(data))
        if self._watch is None and (self._codec.head_pending or self._reading is not None):
            self._start_watch()

    def eof_received(self) -> None:
        """Treat the end of the input as the end of the connection."""

    def pause_writing(self) -> None:
        """Pass backpressure on to the sender of the response."""
        if self._exchanges:
            self._exchanges[0].pause_call()

    def resume_writing(self) -> None:
        """Let the sender of the response continue."""
        if self._exchanges:
            self._exchanges[0].resume_call()

    # events

    def _dispatch_all(self, events: list[Event]) -> None:
        while True:
            for event in events:
                if self._held:
                    self._held.append(event)
                else:
                    self._dispatch(event)
            if not self._may_read_on():
                return
            self._codec.next_message()
            events = self._codec.receive(b"")

    def _may_read_on(self) -> bool:
        """Tell whether the next request can be decoded now."""
        if self._lingering or self._closing or self._held or self._transport is None:
            return False
        if self._exchanges and (self._codec.sequential or self._reading is not None):
            return False
        return self._codec.message_done and not self._codec.surplus

    def _dispatch(self, event: Event) -> None:
        kind = type(event)
        if kind is RequestHead:
            self._request_arrived(event)  # type: ignore[arg-type]
        elif kind is ProtocolFault:
            self._fail(event.kind, event.reason)  # type: ignore[union-attr]
        elif self._reading is None:
            return
        elif kind is BodyChunk:
            self._reading.call_body(event.data)  # type: ignore[union-attr]
        elif kind is MessageEnd:
            reading, self._reading = self._reading, None
            reading.request_done = True
            if reading.is_ended:
                self.advance()
            else:
                reading.call_body_end()

    def _request_arrived(self, head: RequestHead) -> None:
        if self._exchanges and not self._may_overlap(head):
            self._held.append(head)
            if self._transport is not None:
                self._transport.pause_reading()
            return
        self._open(head)

    def _may_overlap(self, head: RequestHead) -> bool:
        """Tell whether a request may start before the ones ahead of it are answered.

        A caller sends a request again when the response ahead of it closes the connection, so only
        requests that may be executed twice start early.
        """
        if len(self._exchanges) >= MAX_OVERLAPPING or head.has_body:
            return False
        if not all(item.request_head.keep_alive for item in self._exchanges):
            return False
        return self._handlers.may_overlap(head)

    def _open(self, head: RequestHead) -> None:
        exchange = _ServerExchange(self, head)
        self._exchanges.append(exchange)
        self._reading = exchange
        if head.method == "OPTIONS" and head.target == PROBE_TARGET:
            exchange.send_head(ResponseHead(HTTPStatus.NO_CONTENT, {}, []))
            exchange.send_end()
            exchange.flush()
            return
        call = self._handlers.open_call(exchange, head)
        if not exchange.is_ended:
            exchange.call = call

    def _release_held(self, transport: asyncio.Transport) -> None:
        events, self._held = self._held, []
        transport.resume_reading()
        self._dispatch_all(events)

    def _fail(self, kind: ErrorKind, reason: str) -> None:
        log.info("input_refused", kind=kind, reason=reason)
        self._closing = True
        self._stop_watch()
        reading, self._reading = self._reading, None
        if reading is not None and not reading.is_ended:
            reading.call_fault(kind)
        elif reading is None:
            exchange = _ServerExchange(self, None)
            self._exchanges.append(exchange)
            exchange.send_answer(self._handlers.refuse(kind))
        self.advance()

    def _cancel_exchanges(self) -> None:
        exchanges, self._exchanges = self._exchanges, deque()
        self._reading = None
        for exchange in exchanges:
            exchange.disconnect()

    # slow senders

    def _start_watch(self) -> None:
        self._watched_bytes = self._received
        self._watch = asyncio.get_running_loop().call_later(
            self._settings.slow_body_s, self._check_rate
        )

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _check_rate(self) -> None:
        self._watch = None
        if self._transport is None or self._lingering or self._closing:
            return
        if not self._codec.head_pending and self._reading is None:
            return
        lowest = self._settings.slow_body_bytes_per_s * self._settings.slow_body_s
        slow = self._received - self._watched_bytes < lowest
        if slow and self._transport.is_reading():
            self._fail(ErrorKind.BODY_TOO_SLOW, "the request arrives too slowly")
            return
        self._start_watch()

    # responses

    def is_first(self, exchange: _ServerExchange) -> bool:
        """Tell whether the response of `exchange` is the next one on the connection."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    @property
    def will_close(self) -> bool:
        """Whether the connection closes after the response that comes next."""
        return self._closing or self._server.draining

    def encode(self, part: _Part, request: RequestHead | None) -> bytes:
        """Encode a part of the response that comes next."""
        if isinstance(part, ResponseHead):
            if self.will_close:
                part = replace(part, keep_alive=False)
            return self._codec.encode_response(part, request)
        return self._codec.encode_body(part) if part is not None else self._codec.encode_end()

    def write(self, data: bytes) -> None:
        """Write to the socket, if it is still open."""
        if self._transport is not None:
            self._transport.write(data)

    def write_continue(self) -> None:
        """Ask for the body of the request."""
        self.write(self._codec.encode_continue())

    def set_reading(self, reading: bool) -> None:
        """Read from the socket or stop it."""
        if self._transport is None:
            return
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def advance(self) -> None:
        """Remove what is answered and let the next response go."""
        while self._exchanges and self._transport is not None and not self._lingering:
            first = self._exchanges[0]
            if not first.is_ended:
                first.resume_call()
                return
            if first is self._reading and self._codec.message_done:
                return  # the end of the request is the next event
            if not first.request_done and not self._closing:
                # The rest of the request is still on its way.
                self._linger()
                return
            self._exchanges.popleft()
            if self._codec.closing:
                self._close_after_response()
                return
            if self._exchanges and self._exchanges[0].write_waiting():
                return
        if self._lingering or self._transport is None:
            return
        if self._closing or self._server.draining or self._codec.surplus:
            self._close_after_response()
            return
        if self._reading is None:
            self._stop_watch()
        if self._held:
            self._release_held(self._transport)
        else:
            self._dispatch_all([])

    def _close_after_response(self) -> None:
        self._cancel_exchanges()
        self._held.clear()
        self._linger()

    def abort(self) -> None:
        """Close the connection at once, without the end of the response."""
        transport = self._transport
        if transport is None:
            return
        self._closing = True
        if self._codec.unframed:
            opened = transport.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            transport.abort()
        else:
            transport.close()  # what was already written is still delivered

    def _linger(self) -> None:
        """Close after a while in which input is dropped, so that the answer arrives."""
        self._lingering = True
        self._stop_watch()
        self._cancel_exchanges()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._codec.message_done and not self._held:
            transport.close()
            return
        transport.resume_reading()
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    def close_if_idle(self) -> None:
        """Close the connection unless a call is in flight on it."""
        if not self._exchanges and self._transport is not None and not self._lingering:
            self._transport.close()

    def close(self) -> None:
        """Close the connection; calls in flight are cancelled."""
        if self._transport is not None:
            self._transport.abort()


# A part of a response: its head, a piece of its body, or None for its end.
_Part = ResponseHead | bytes | None


class _ServerExchange(Responder):
    """One request of a connection and its response, which waits for the responses before it."""

    __slots__ = (
        "_aborted",
        "_connection",
        "_out",
        "_paused",
        "_waiting",
        "_waiting_bytes",
        "call",
        "is_ended",
        "request_done",
        "request_head",
    )

    request_head: RequestHead

    def __init__(self, connection: ServerConnection, request_head: RequestHead | None) -> None:
        self._connection = connection
        if request_head is None:
            request_head = UNREAD_REQUEST
        self.request_head = request_head
        self.request_done = request_head is UNREAD_REQUEST
        self.call: IncomingCall | None = None
        self.is_ended = False
        self._aborted = False
        self._paused = False
        self._out: list[bytes] = []
        self._waiting: list[_Part] = []
        self._waiting_bytes = 0

    # from the connection

    def call_body(self, data: bytes) -> None:
        """Hand a part of the request body to the call."""
        if self.call is not None:
            self.call.on_body(data)

    def call_body_end(self) -> None:
        """Tell the call that the request is complete."""
        if self.call is not None:
            self.call.on_body_end()

    def call_fault(self, kind: ErrorKind) -> None:
        """Tell the call that the rest of the request cannot be read."""
        if self.call is not None:
            self.call.on_fault(kind)

    def pause_call(self) -> None:
        """Stop the sender of the response."""
        if self.call is not None and not self._paused:
            self._paused = True
            self.call.on_write_paused()

    def resume_call(self) -> None:
        """Let the sender of the response continue."""
        if self.call is not None and self._paused:
            self._paused = False
            self.call.on_write_resumed()

    def disconnect(self) -> None:
        """Cancel the call."""
        call, self.call = self.call, None
        if call is not None:
            call.on_disconnect()

    def write_waiting(self) -> bool:
        """Write what waited for the responses before; tell whether the connection closes."""
        for part in self._waiting:
            self._out.append(self._connection.encode(part, self._request()))
        self._waiting.clear()
        self._waiting_bytes = 0
        self._write_out()
        if self._aborted:
            self._connection.abort()
        return self._aborted

    # Responder

    def send_head(self, head: ResponseHead) -> None:
        """Start the response."""
        self._add(head)

    def send_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if not check(not self.is_ended, "P4_body_after_end", size=len(data)):
            return
        self._add(data)
        if self._waiting_bytes > WAITING_RESPONSE_BYTES:
            self.pause_call()

    def send_end(self) -> None:
        """Complete the response."""
        self._add(None)
        self.is_ended = True
        self.call = None

    def send_continue(self) -> None:
        """Ask for the body of the request."""
        self._connection.write_continue()

    def flush(self) -> None:
        """Write what was sent since the last flush."""
        if not self._connection.is_first(self):
            return
        self._write_out()
        if self.is_ended:
            self._connection.advance()

    def abort(self) -> None:
        """Close the connection without the end of the response."""
        self.call = None
        self._out.clear()
        self._aborted = True
        if self._connection.is_first(self):
            self._connection.abort()

    def pause_body(self) -> None:
        """Stop reading."""
        self._connection.set_reading(False)

    def resume_body(self) -> None:
        """Read again."""
        self._connection.set_reading(True)

    def _request(self) -> RequestHead | None:
        return None if self.request_head is UNREAD_REQUEST else self.request_head

    def _add(self, part: _Part) -> None:
        if self._connection.is_first(self) and not self._waiting:
            self._out.append(self._connection.encode(part, self._request()))
            return
        self._waiting.append(part)
        if isinstance(part, bytes):
            self._waiting_bytes += len(part)

    def _write_out(self) -> None:
        if self._out:
            self._connection.write(self._out[0] if len(self._out) == 1 else b"".join(self._out))
            self._out.clear()


class CallServer:
    """A listening socket and its connections.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    address : Address
        Address to listen on; port 0 lets the kernel choose.
    handlers : ConnectionHandlers
        Receiver of the calls.
    uplink : Uplink
        Link of the host, which the responses share.
    """

    def __init__(
        self, settings: Settings, address: Address, handlers: ConnectionHandlers, uplink: Uplink
    ) -> None:
        self.uplink = uplink
        self._settings = settings
        self._address = address
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._no_connections = asyncio.Event()
        self.connections: set[ServerConnection] = set()
        self.draining = False

    async def start(self) -> Address:
        """Listen and return the address with the port in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._settings, self, self._handlers),
            self._address.host,
            self._address.port,
            backlog=BACKLOG,
        )
        return Address(self._address.host, self._server.sockets[0].getsockname()[1])

    async def drain(self, in_flight: InFlight, timeout_s: float) -> bool:
        """Keep no connection after its call, wait for the calls in flight and stop listening.

        The responses of calls that ended are delivered before this returns.

        Returns
        -------
        bool
            Whether all calls ended and all connections were closed within the timeout.
        """
        self.draining = True
        try:
            async with asyncio.timeout(timeout_s):
                await in_flight.wait_empty()
                self.stop_listening()
                self.close_idle()
                await self._wait_closed()
        except TimeoutError:
            self.stop_listening()
            return False
        return True

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close the connections that carry no call."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def connection_closed(self) -> None:
        """Note that a connection is gone."""
        if not self.connections:
            self._no_connections.set()

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close()
        await self._wait_closed()

    async def _wait_closed(self) -> None:
        while self.connections:
            self._no_connections.clear()
            await self._no_connections.wait()


class InFlight:
    """Calls that a server has begun and not ended."""

    def __init__(self) -> None:
        self._count = 0
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def count(self) -> int:
        """Number of calls in flight."""
        return self._count

    def enter(self) -> None:
        """Count a call that began."""
        self._count += 1
        if self._count == 1:
            self._empty.clear()

    def leave(self) -> None:
        """Count a call that ended."""
        self._count -= 1
        if self._count == 0:
            self._empty.set()

    async def wait_empty(self) -> None:
        """Wait until no call is in flight."""
        await self._empty.wait()
