"""Server side of HTTP connections: backpressure, slow requests, pipelining and closing."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter, deque
from dataclasses import replace
from http import HTTPStatus
from typing import cast

import structlog

from jaypost.codecs import server_codec
from jaypost.errors import ErrorKind
from jaypost.hangups import HangupWatch
from jaypost.http_messages import (
    BodyChunk,
    Event,
    MessageEnd,
    ProtocolFault,
    RequestHead,
    ResponseHead,
)
from jaypost.intake.gate import WAITING_INPUT, InputGate
from jaypost.intake.scheduler import IntakeScheduler
from jaypost.invariants import check
from jaypost.logs import EventName
from jaypost.records import Address
from jaypost.responders import (
    BufferPlace,
    ConnectionHandlers,
    CutReason,
    IncomingCall,
    Responder,
)
from jaypost.settings import Settings
from jaypost.uplink import Uplink

log = structlog.get_logger(__name__)

# Time for which input is read and dropped before a connection is closed. Closing a socket with
# unread input makes the kernel send a reset, which may destroy the response.
LINGER_S = 1.0
# Value of SO_LINGER that makes the close of a socket send a reset.
LINGER_RESET = struct.pack("ii", 1, 0)
LISTEN_BACKLOG = 1024

# ``OPTIONS *`` is answered by the connection itself; clients probe idle connections with it.
PROBE_REQUEST_TARGET = "*"
# Largest number of pipelined requests of one connection that are executed at the same time.
MAX_CONCURRENT_REQUESTS = 16
# Size up to which a response is buffered while earlier responses of its connection are incomplete.
# Above it, the sender of the response is paused.
MAX_WAITING_RESPONSE_BYTES = 262_144
# Placeholder for a request whose head could not be decoded.
UNREADABLE_REQUEST = RequestHead("", "", {}, [], keep_alive=False)


class ServerConnection(asyncio.Protocol):
    """One accepted connection.

    Pipelined requests that may overlap are executed at the same time. Their responses are written
    in the order of the requests. asyncio and uvloop both set TCP_NODELAY on accepted sockets.
    """

    __slots__ = (
        "_closing",
        "_codec",
        "_cut_reason",
        "_deferred_events",
        "_dispatching",
        "_exchanges",
        "_full_places",
        "_handlers",
        "_input_held",
        "_lingering",
        "_pending_events",
        "_rate_timer",
        "_reading_exchange",
        "_received_bytes",
        "_received_bytes_at_check",
        "_server",
        "_settings",
        "_transport",
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
        self._reading_exchange: _ServerExchange | None = None
        # Events of a request that must not start before the earlier requests are answered.
        self._deferred_events: list[Event] = []
        # Decoded events that `_dispatch_all` has not dispatched yet.
        self._pending_events: deque[Event] = deque()
        self._dispatching = False
        # Buffers that hold as much of the responses as they may.
        self._full_places: set[BufferPlace] = set()
        self._input_held = False
        self._closing = False
        self._lingering = False
        # Set when the node closes the connection; None while only its other side may do so.
        self._cut_reason: CutReason | None = None
        self._rate_timer: asyncio.TimerHandle | None = None
        self._received_bytes = 0
        self._received_bytes_at_check = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        # A cast, not an assertion: uvloop's transports do not subclass asyncio.Transport.
        opened = cast(asyncio.Transport, transport)
        self._transport = self._server.uplink.wrap(opened, self)
        self._server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of the connection."""
        self._transport = None
        self._server.hangups.remove(self)
        self._server.connection_closed(self)
        self._stop_rate_timer()
        self._deferred_events.clear()
        self._cancel_exchanges()

    def data_received(self, data: bytes) -> None:
        """Decode input and pass it to its call."""
        self._received_bytes += len(data)
        self._server.connection_busy(self)
        if self._lingering or self._closing:
            return
        self._dispatch_all(self._codec.receive(data))
        if self._rate_timer is None and (
            self._codec.head_pending or self._reading_exchange is not None
        ):
            self._start_rate_timer()
        self._note_if_idle()

    def eof_received(self) -> None:
        """Let the transport close the connection, which it does when this returns None."""

    def pause_writing(self) -> None:
        """Note that the socket takes no more bytes now."""
        self._set_full(BufferPlace.SOCKET)

    def resume_writing(self) -> None:
        """Note that the socket takes bytes again."""
        self._set_free(BufferPlace.SOCKET)

    # QueueOwner

    def pause_queue(self) -> None:
        """Note that too many bytes wait for the link."""
        self._set_full(BufferPlace.LINK)

    def resume_queue(self) -> None:
        """Note that few bytes wait for the link."""
        self._set_free(BufferPlace.LINK)

    # InputGate

    @property
    def framing_bytes(self) -> int:
        """Bytes received so far that carried neither content nor the head of a request."""
        return self._codec.framing_bytes

    def on_input_held(self, held: bool) -> None:
        """Note whether the input waits because of its framing, so that it is not read."""
        self._input_held = held
        if not self._lingering:
            self._watch_for_hangup()

    # HangupOwner

    def on_hangup(self) -> None:
        """Cancel the calls of the connection: its other side closed it while it was not read."""
        transport = self._transport
        if transport is None or self._lingering:
            return
        requests = len(self._exchanges)
        log.info(EventName.HANGUP_NOTICED, requests=requests, deferred=bool(self._deferred_events))
        self._closing = True
        self._stop_rate_timer()
        self._deferred_events.clear()
        self._cancel_exchanges()
        transport.close()

    def _set_full(self, place: BufferPlace) -> None:
        """Pause the sender of the response that is being written, until no place is full."""
        self._full_places.add(place)
        self._apply_pause()

    def _set_free(self, place: BufferPlace) -> None:
        """Resume the sender of the response that is being written if no place is full."""
        self._full_places.discard(place)
        if self._exchanges and self._exchanges[0].has_waiting_parts:
            self.advance()
        else:
            self._apply_pause()

    def _apply_pause(self) -> None:
        """Pause or resume the sender of the first response, according to the full places."""
        if not self._exchanges:
            return
        if self._full_places:
            self._exchanges[0].pause_call()
        else:
            self._exchanges[0].resume_call()

    # events

    def _dispatch_all(self, events: list[Event]) -> None:
        """Dispatch events, then those of the requests that were received behind them.

        A request that is answered at once calls this again through `advance`. The outer call then
        goes on with the next request, so that the depth of the stack does not grow with each one.
        """
        self._pending_events.extendleft(reversed(events))
        if self._dispatching:
            return
        self._dispatching = True
        try:
            self._dispatch_pending()
        finally:
            self._dispatching = False

    def _dispatch_pending(self) -> None:
        while True:
            while self._pending_events:
                event = self._pending_events.popleft()
                if self._deferred_events:
                    self._deferred_events.append(event)
                else:
                    self._dispatch(event)
            if not self._can_decode_next_request():
                return
            self._codec.next_message()
            self._pending_events.extend(self._codec.receive(b""))

    def _can_decode_next_request(self) -> bool:
        """Tell whether the next request can be decoded now."""
        if self._lingering or self._closing or self._deferred_events or self._transport is None:
            return False
        if self._exchanges and (self._codec.sequential or self._reading_exchange is not None):
            return False
        return self._codec.message_done and not self._codec.has_excess_bytes

    def _dispatch(self, event: Event) -> None:
        kind = type(event)
        if kind is RequestHead:
            self._request_arrived(event)  # type: ignore[arg-type]
        elif kind is ProtocolFault:
            self._fail(event.kind, event.reason)  # type: ignore[union-attr]
        elif self._reading_exchange is None:
            return
        elif kind is BodyChunk:
            self._reading_exchange.deliver_body(event.data)  # type: ignore[union-attr]
        elif kind is MessageEnd:
            reading, self._reading_exchange = self._reading_exchange, None
            reading.request_done = True
            self.update_reading()
            if reading.is_ended:
                self.advance()
            else:
                reading.deliver_body_end()

    def _request_arrived(self, head: RequestHead) -> None:
        if self._exchanges and not self._may_execute_concurrently(head):
            self._deferred_events.append(head)
            self.update_reading()
            return
        self._open_exchange(head)

    def _may_execute_concurrently(self, head: RequestHead) -> bool:
        """Tell whether a request may start before the earlier requests are answered.

        If an earlier response closes the connection, the caller sends the later request again on a
        new connection. So no request starts behind one whose response closes the connection, and
        only those start early that may be executed twice, because a response can be cut short.
        """
        if len(self._exchanges) >= MAX_CONCURRENT_REQUESTS or head.has_body:
            return False
        if self._codec.closing:
            return False
        # The response to an HTTP/1.0 request closes the connection if it has no length.
        if any(
            item.request_head.http_1_0 or not item.request_head.keep_alive
            for item in self._exchanges
        ):
            return False
        return self._handlers.may_execute_concurrently(head)

    def _open_exchange(self, head: RequestHead) -> None:
        exchange = _ServerExchange(self, head)
        self._exchanges.append(exchange)
        self._reading_exchange = exchange
        if head.method == "OPTIONS" and head.target == PROBE_REQUEST_TARGET:
            exchange.send_head(ResponseHead(HTTPStatus.NO_CONTENT, {}, []))
            exchange.send_end()
            exchange.flush()
            return
        exchange.call = call = self._handlers.open_call(exchange, head)
        self._apply_pause()
        call.begin()

    def _dispatch_deferred(self) -> None:
        events, self._deferred_events = self._deferred_events, []
        self._dispatch_all(events)
        self.update_reading()

    def _fail(self, kind: ErrorKind, reason: str) -> None:
        log.info("input_refused", kind=kind, reason=reason)
        self._closing = True
        self._stop_rate_timer()
        reading, self._reading_exchange = self._reading_exchange, None
        if reading is not None and not reading.is_ended:
            reading.deliver_fault(kind)
        elif reading is None:
            exchange = _ServerExchange(self, None)
            self._exchanges.append(exchange)
            exchange.send_error(self._handlers.refuse(kind))
        self.advance()

    def _cancel_exchanges(self) -> None:
        exchanges, self._exchanges = self._exchanges, deque()
        self._reading_exchange = None
        if exchanges and self._cut_reason is not None:
            self._server.requests_cut(self._cut_reason, len(exchanges))
        for exchange in exchanges:
            exchange.disconnect()

    # slow requests

    def _start_rate_timer(self) -> None:
        self._received_bytes_at_check = self._received_bytes
        self._rate_timer = asyncio.get_running_loop().call_later(
            self._settings.slow_body_s, self._check_rate
        )

    def _stop_rate_timer(self) -> None:
        if self._rate_timer is not None:
            self._rate_timer.cancel()
            self._rate_timer = None

    def _check_rate(self) -> None:
        self._rate_timer = None
        if self._transport is None or self._lingering or self._closing:
            return
        if not self._codec.head_pending and self._reading_exchange is None:
            return
        min_bytes = self._settings.slow_body_bytes_per_s * self._settings.slow_body_s
        slow = self._received_bytes - self._received_bytes_at_check < min_bytes
        if slow and self._transport.is_reading():
            self._fail(ErrorKind.BODY_TOO_SLOW, "the request arrives too slowly")
            return
        self._start_rate_timer()

    # responses

    def is_first(self, exchange: _ServerExchange) -> bool:
        """Tell whether the response of `exchange` is the next one on the connection."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    def _closes_after(self, exchange: _ServerExchange) -> bool:
        """Tell whether the connection closes after the response of `exchange`.

        The requests behind it were passed on when they arrived, so their responses come first. A
        response that begins before the whole request has arrived also closes the connection: the
        rest of a request that was refused may be long, and nobody needs it.
        """
        if exchange is self._reading_exchange and not self._codec.message_done:
            return True
        return (self._closing or self._server.draining) and exchange is self._exchanges[-1]

    def encode(self, part: _ResponsePart, exchange: _ServerExchange) -> bytes:
        """Encode a part of the response of `exchange`, which is the next one on the connection."""
        if isinstance(part, ResponseHead):
            if self._closes_after(exchange):
                part = replace(part, keep_alive=False)
            return self._codec.encode_response(part, exchange.readable_request_head)
        return self._codec.encode_body(part) if part is not None else self._codec.encode_end()

    def write(self, data: bytes) -> None:
        """Write to the socket if it is open."""
        if self._transport is not None:
            self._transport.write(data)

    def write_continue(self) -> None:
        """Send ``100 Continue``, which asks for the body of the request."""
        self.write(self._codec.encode_continue())

    @property
    def write_buffer_bytes(self) -> int:
        """Bytes that the socket has not taken yet, without those that wait for the link."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def waiting_response_bytes(self) -> int:
        """Bytes of responses that wait for the earlier responses of the connection."""
        return sum(exchange.waiting_bytes for exchange in self._exchanges)

    def update_reading(self) -> None:
        """Read from the socket, unless the request in progress or one behind it has to wait.

        Nothing else pauses or resumes reading. The state follows from the requests alone, so that
        no end of a request can leave the connection paused.
        """
        if self._transport is None or self._lingering:
            return
        if self._input_must_wait():
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
        self._watch_for_hangup()

    def _input_must_wait(self) -> bool:
        reading = self._reading_exchange
        body_must_wait = reading is not None and reading.body_paused and not reading.is_ended
        return bool(self._deferred_events) or body_must_wait

    def _watch_for_hangup(self) -> None:
        """Ask the kernel for the end of the connection while it is not read."""
        if self._transport is None:
            return
        if self._input_held or self._input_must_wait():
            sock = self._transport.get_extra_info("socket")
            self._server.hangups.add(self, sock.fileno())
        else:
            self._server.hangups.remove(self)

    def advance(self) -> None:
        """Remove completed exchanges, write the next response and decode further requests."""
        while self._exchanges and self._transport is not None and not self._lingering:
            first = self._exchanges[0]
            if first.has_waiting_parts:
                if self._full_places:
                    return  # the next free place calls this again
                if first.write_waiting_parts():
                    return
            if not first.is_ended:
                self._apply_pause()
                return
            if first is self._reading_exchange and self._codec.message_done:
                return  # the next event is the end of the request, which calls this again
            if not first.request_done and not self._closing:
                # The rest of the request has not arrived; it is read and dropped.
                self._linger()
                return
            self._exchanges.popleft()
            if self._codec.closing:
                self._close_after_response()
                return
        if self._lingering or self._transport is None:
            return
        if self._closing or self._server.draining or self._codec.has_excess_bytes:
            self._close_after_response()
            return
        if self._reading_exchange is None:
            self._stop_rate_timer()
        if self._deferred_events:
            self._dispatch_deferred()
        else:
            self._dispatch_all([])
            self._note_if_idle()

    def _note_if_idle(self) -> None:
        """Tell the server if no request is in progress, not even a part of its head."""
        if self._exchanges or self._dispatching or self._codec.head_pending:
            return
        if self._has_waiting_input():
            return
        if self._transport is not None:
            self._server.connection_idle(self)

    def _has_waiting_input(self) -> bool:
        """Tell whether input has arrived that was not decoded yet."""
        return self._transport is not None and self._transport.get_extra_info(WAITING_INPUT, 0) > 0

    def _close_after_response(self) -> None:
        self._cut_reason = CutReason.RESPONSE_CLOSES
        check(not self._exchanges, "P8_response_cuts_others", requests=len(self._exchanges))
        self._cancel_exchanges()
        self._linger()

    def abort(self) -> None:
        """Close the connection without the end of the response."""
        transport = self._transport
        if transport is None:
            return
        self._closing = True
        self._cut_reason = CutReason.RESPONSE_ABORTED
        if self._codec.unframed:
            # Without a length or chunks, only a reset shows that the response is truncated.
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            transport.abort()
        else:
            self._linger()  # delivers what was already written

    def _linger(self) -> None:
        """Close the connection in a way that lets the response arrive.

        If more input may follow, it is read and dropped for `LINGER_S` before the close.
        """
        self._lingering = True
        self._server.hangups.remove(self)
        self._stop_rate_timer()
        self._cancel_exchanges()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        input_may_follow = (
            not self._codec.message_done
            or bool(self._deferred_events)
            or self._codec.has_following_bytes
            or self._codec.has_excess_bytes
            or self._has_waiting_input()
        )
        self._deferred_events.clear()
        if not input_may_follow:
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
        self._cut_reason = CutReason.STOPPED
        if self._transport is not None:
            self._transport.abort()


# Part of a response: its head, a part of its body, or None for its end.
_ResponsePart = ResponseHead | bytes | None


class _ServerExchange(Responder):
    """One request of a connection and its response.

    The parts of the response are buffered until all earlier responses are complete.
    """

    __slots__ = (
        "_aborted",
        "_connection",
        "_encoded_parts",
        "_paused",
        "_waiting_parts",
        "body_paused",
        "call",
        "is_ended",
        "request_done",
        "request_head",
        "waiting_bytes",
    )

    request_head: RequestHead

    def __init__(self, connection: ServerConnection, request_head: RequestHead | None) -> None:
        self._connection = connection
        if request_head is None:
            request_head = UNREADABLE_REQUEST
        self.request_head = request_head
        self.request_done = request_head is UNREADABLE_REQUEST
        self.call: IncomingCall | None = None
        self.body_paused = False
        self.is_ended = False
        self._aborted = False
        self._paused = False
        self._encoded_parts: list[bytes] = []
        self._waiting_parts: list[_ResponsePart] = []
        self.waiting_bytes = 0

    # calls from the connection

    def deliver_body(self, data: bytes) -> None:
        """Pass a part of the request body to the call."""
        if self.call is not None:
            self.call.on_body(data)

    def deliver_body_end(self) -> None:
        """Tell the call that the request is complete."""
        if self.call is not None:
            self.call.on_body_end()

    def deliver_fault(self, kind: ErrorKind) -> None:
        """Tell the call that the rest of the request cannot be read."""
        if self.call is not None:
            self.call.on_fault(kind)

    def pause_call(self) -> None:
        """Pause the sender of the response."""
        if self.call is not None and not self._paused:
            self._paused = True
            self.call.on_write_paused()

    def resume_call(self) -> None:
        """Resume the sender of the response."""
        if self.call is not None and self._paused:
            self._paused = False
            self.call.on_write_resumed()

    def disconnect(self) -> None:
        """Cancel the call."""
        call, self.call = self.call, None
        if call is not None:
            call.on_disconnect()

    @property
    def has_waiting_parts(self) -> bool:
        """Whether parts of the response wait for the earlier responses, or for a free buffer."""
        return bool(self._waiting_parts) or self._aborted

    def write_waiting_parts(self) -> bool:
        """Write the buffered parts, now that all earlier responses are complete.

        Returns
        -------
        bool
            Whether the response was aborted, which closes the connection.
        """
        for part in self._waiting_parts:
            self._encoded_parts.append(self._connection.encode(part, self))
        self._waiting_parts.clear()
        self.waiting_bytes = 0
        self._write_encoded_parts()
        if self._aborted:
            self._connection.abort()
        return self._aborted

    # Responder

    def send_head(self, head: ResponseHead) -> None:
        """Send the head of the response."""
        self._add_part(head)

    def send_body(self, data: bytes) -> None:
        """Send a part of the response body."""
        if not check(not self.is_ended, "P4_body_after_end", size=len(data)):
            return
        self._add_part(data)
        if self.waiting_bytes > MAX_WAITING_RESPONSE_BYTES:
            self.pause_call()

    def send_end(self) -> None:
        """Send the end of the response."""
        self._add_part(None)
        self.is_ended = True
        self.call = None
        self._connection.update_reading()

    def send_continue(self) -> None:
        """Send ``100 Continue``, which asks for the body of the request."""
        self._connection.write_continue()

    def flush(self) -> None:
        """Write everything that was sent since the last flush to the socket."""
        if not self._connection.is_first(self):
            return
        self._write_encoded_parts()
        if self.is_ended:
            self._connection.advance()

    def abort(self) -> None:
        """Close the connection without the end of the response."""
        self.call = None
        self._encoded_parts.clear()
        self._aborted = True
        if self._connection.is_first(self):
            self._connection.abort()

    def pause_body(self) -> None:
        """Pause reading from the connection while the body of this request arrives."""
        self.body_paused = True
        self._connection.update_reading()

    def resume_body(self) -> None:
        """Resume reading from the connection."""
        self.body_paused = False
        self._connection.update_reading()

    @property
    def readable_request_head(self) -> RequestHead | None:
        """Head of the request, or None if it could not be decoded."""
        return None if self.request_head is UNREADABLE_REQUEST else self.request_head

    def _add_part(self, part: _ResponsePart) -> None:
        if self._connection.is_first(self) and not self._waiting_parts:
            self._encoded_parts.append(self._connection.encode(part, self))
            return
        self._waiting_parts.append(part)
        if isinstance(part, bytes):
            self.waiting_bytes += len(part)

    def _write_encoded_parts(self) -> None:
        if self._encoded_parts:
            self._connection.write(
                self._encoded_parts[0]
                if len(self._encoded_parts) == 1
                else b"".join(self._encoded_parts)
            )
            self._encoded_parts.clear()


class CallServer:
    """Listens for connections and tracks the open ones.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    address : Address
        Address to listen on; with port 0 the kernel chooses the port.
    handlers : ConnectionHandlers
        Functions that the connections call.
    uplink : Uplink
        Paces the responses of all connections to the rate of the host's link.
    max_connections : int or None
        Largest number of open connections. A further one takes the place of the connection that
        has been idle for longest; while none is idle, it is closed. None for no limit.
    scheduler : IntakeScheduler or None
        Gives the connections their turns to decode input; None for one of the server's own.
    """

    def __init__(
        self,
        settings: Settings,
        address: Address,
        handlers: ConnectionHandlers,
        uplink: Uplink,
        max_connections: int | None = None,
        scheduler: IntakeScheduler | None = None,
    ) -> None:
        self.uplink = uplink
        self._scheduler = scheduler or IntakeScheduler()
        self._max_connections = max_connections
        self._settings = settings
        self._address = address
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._no_connections = asyncio.Event()
        self.connections: set[ServerConnection] = set()
        # Requests on connections that the node closed before it had answered them.
        self.cut_by_reason: Counter[CutReason] = Counter()
        # Connections without a request in progress, the longest idle first.
        self._idle: dict[ServerConnection, None] = {}
        self.hangups = HangupWatch()
        self.draining = False

    async def start(self) -> Address:
        """Start listening and return the address, with the port that is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol,
            self._address.host,
            self._address.port,
            backlog=LISTEN_BACKLOG,
        )
        return Address(self._address.host, self._server.sockets[0].getsockname()[1])

    def _make_protocol(self) -> InputGate:
        connection = ServerConnection(self._settings, self, self._handlers)
        return InputGate(
            self._scheduler,
            connection,
            framing_bytes=lambda: connection.framing_bytes,
            on_held=connection.on_input_held,
        )

    async def drain(self, in_flight: InFlight, timeout_s: float) -> bool:
        """Wait for the calls in flight, then stop listening and close all connections.

        From the start of the drain, each connection is closed after its current response. When
        this returns True, the responses of all calls have been written.

        Parameters
        ----------
        in_flight : InFlight
            Calls to wait for.
        timeout_s : float
            Longest time for the whole drain in seconds.

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
        """Close the listening socket; connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close the connections without a call in flight."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register a connection; close the longest idle one if there are too many."""
        if self._max_connections is not None and len(self.connections) >= self._max_connections:
            surplus = next(iter(self._idle), connection)
            log.warning(
                EventName.CONNECTION_LIMIT,
                connections=len(self.connections),
                idle=len(self._idle),
            )
            self._idle.pop(surplus, None)
            surplus.close()
        self.connections.add(connection)
        self._idle[connection] = None

    def connection_busy(self, connection: ServerConnection) -> None:
        """Keep a connection open, because input arrives on it."""
        self._idle.pop(connection, None)

    def connection_idle(self, connection: ServerConnection) -> None:
        """Let a connection be closed in favour of a new one."""
        self._idle.pop(connection, None)
        self._idle[connection] = None

    def connection_closed(self, connection: ServerConnection) -> None:
        """Forget a connection; wake the waiters for the close of all if it was the last one."""
        self.connections.discard(connection)
        self._idle.pop(connection, None)
        if not self.connections:
            self._no_connections.set()

    def buffered_bytes(self) -> dict[BufferPlace, int]:
        """Return the bytes of responses that the connections hold, by place."""
        return {
            BufferPlace.SOCKET: sum(item.write_buffer_bytes for item in self.connections),
            BufferPlace.EARLIER_RESPONSE: sum(
                item.waiting_response_bytes for item in self.connections
            ),
        }

    def requests_cut(self, reason: CutReason, count: int) -> None:
        """Count and log requests whose connection the node closes before it has answered them."""
        self.cut_by_reason[reason] += count
        log.warning(EventName.REQUESTS_CUT, reason=reason, requests=count, draining=self.draining)

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close()
        await self._wait_closed()
        self.hangups.close()

    async def _wait_closed(self) -> None:
        while self.connections:
            self._no_connections.clear()
            await self._no_connections.wait()


class InFlight:
    """Counts the calls in flight on a server."""

    def __init__(self) -> None:
        self._count = 0
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def count(self) -> int:
        """Number of calls in flight."""
        return self._count

    def enter(self) -> None:
        """Count a call that started."""
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
