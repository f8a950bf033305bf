"""Server side of HTTP connections: sockets, backpressure, slow senders and the end of a call."""

from __future__ import annotations

import asyncio
import socket
import struct
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

import structlog

from jaypost.calls import ErrorAnswer
from jaypost.codecs import (
    BodyChunk,
    Event,
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

log = structlog.get_logger(__name__)

LINGER_S = 1.0  # unread input at close makes the kernel send a reset, which may destroy the answer
LINGER_RESET = struct.pack("ii", 1, 0)  # closing the socket sends a reset
BACKLOG = 1024

PROBE_TARGET = "*"


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
    """

    open_call: Callable[[Responder, RequestHead], IncomingCall]
    refuse: Callable[[ErrorKind], ErrorAnswer]


class ServerConnection(asyncio.Protocol, Responder):
    """One accepted connection, with one request at a time.

    asyncio and uvloop both set TCP_NODELAY on the sockets that they accept.
    """

    __slots__ = (
        "_call",
        "_codec",
        "_ended",
        "_exchange_open",
        "_handlers",
        "_lingering",
        "_out",
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
        self._codec = server_codec(settings.http_codec, settings.header_limit_bytes)
        self._transport: asyncio.Transport | None = None
        self._call: IncomingCall | None = None
        self._out: list[bytes] = []
        self._ended = False
        self._exchange_open = False
        self._lingering = False
        self._watch: asyncio.TimerHandle | None = None
        self._received = 0
        self._watched_bytes = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        # Not asserted: the transports of uvloop are no subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call."""
        self._transport = None
        self._server.connections.discard(self)
        self._stop_watch()
        call, self._call = self._call, None
        if call is not None:
            call.on_disconnect()
        self._server.connection_closed()

    def data_received(self, data: bytes) -> None:
        """Decode input and hand it to the call."""
        self._received += len(data)
        if self._lingering:
            return
        for event in self._codec.receive(data):
            self._dispatch(event)
        if self._watch is None and (self._codec.head_pending or self._receiving_body):
            self._start_watch()

    def eof_received(self) -> None:
        """Treat the end of the input as the end of the connection."""

    def pause_writing(self) -> None:
        """Pass backpressure on to the sender of the response."""
        if self._call is not None:
            self._call.on_write_paused()

    def resume_writing(self) -> None:
        """Let the sender of the response continue."""
        if self._call is not None:
            self._call.on_write_resumed()

    # events

    @property
    def _receiving_body(self) -> bool:
        return self._call is not None and not self._codec.message_done

    def _dispatch(self, event: Event) -> None:
        kind = type(event)
        if kind is RequestHead:
            self._open(event)  # type: ignore[arg-type]
        elif kind is ProtocolFault:
            self._fail(event.kind, event.reason)  # type: ignore[union-attr]
        elif self._call is None:
            return
        elif kind is BodyChunk:
            self._call.on_body(event.data)  # type: ignore[union-attr]
        elif kind is MessageEnd:
            self._call.on_body_end()

    def _open(self, head: RequestHead) -> None:
        self._ended = False
        self._exchange_open = True
        if head.method == "OPTIONS" and head.target == PROBE_TARGET:
            self.send_head(ResponseHead(HTTPStatus.NO_CONTENT, {}, []))
            self.send_end()
            self.flush()
            return
        call = self._handlers.open_call(self, head)
        if not self._ended:
            self._call = call

    def _fail(self, kind: ErrorKind, reason: str) -> None:
        log.info("input_refused", kind=kind, reason=reason)
        call = self._call
        if call is not None:
            call.on_fault(kind)
        elif not self._exchange_open:
            self._ended = False
            self._exchange_open = True
            self.send_answer(self._handlers.refuse(kind))
        if not self._lingering:
            self._linger()

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
        if self._transport is None or self._lingering:
            return
        if not self._codec.head_pending and not self._receiving_body:
            return
        lowest = self._settings.slow_body_bytes_per_s * self._settings.slow_body_s
        slow = self._received - self._watched_bytes < lowest
        if slow and self._transport.is_reading():
            self._fail(ErrorKind.BODY_TOO_SLOW, "the request arrives too slowly")
            return
        self._start_watch()

    # Responder

    def send_head(self, head: ResponseHead) -> None:
        """Start the response."""
        if self._server.draining:
            head = ResponseHead(
                head.status,
                head.control,
                head.headers,
                head.content_length,
                head.chunked,
                keep_alive=False,
            )
        self._out.append(self._codec.encode_response(head))

    def send_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if check(not self._ended, "P4_body_after_end", size=len(data)):
            self._out.append(self._codec.encode_body(data))

    def send_end(self) -> None:
        """Complete the response."""
        self._out.append(self._codec.encode_end())
        self._ended = True
        self._call = None

    def send_continue(self) -> None:
        """Ask for the body of the request."""
        if self._transport is not None:
            self._transport.write(self._codec.encode_continue())

    def flush(self) -> None:
        """Write what was sent since the last flush."""
        if self._transport is None:
            self._out.clear()
            return
        if self._out:
            self._transport.write(self._out[0] if len(self._out) == 1 else b"".join(self._out))
            self._out.clear()
        if self._ended and self._exchange_open:
            self._finish()

    def abort(self) -> None:
        """Close the connection at once, without the end of the response."""
        self._call = None
        self._out.clear()
        if self._transport is None:
            return
        if self._codec.unframed:
            opened = self._transport.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self._transport.abort()
        else:
            self._transport.close()  # what was already written is still delivered

    def pause_body(self) -> None:
        """Stop reading."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_body(self) -> None:
        """Read again."""
        if self._transport is not None:
            self._transport.resume_reading()

    # end of a call

    def _finish(self) -> None:
        if self._lingering or self._transport is None:
            return
        if not self._codec.message_done:
            self._linger()
            return
        self._stop_watch()
        if self._codec.surplus or self._codec.closing or self._server.draining:
            self._transport.close()
            return
        self._exchange_open = False
        self._codec.next_message()
        self._transport.resume_reading()

    def _linger(self) -> None:
        self._lingering = True
        self._stop_watch()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.resume_reading()
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    def close_if_idle(self) -> None:
        """Close the connection unless a call is in flight on it."""
        if self._call is None and self._transport is not None and not self._lingering:
            self._transport.close()

    def close(self) -> None:
        """Close the connection; a call in flight is cancelled."""
        if self._transport is not None:
            self._transport.abort()


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
    """

    def __init__(self, settings: Settings, address: Address, handlers: ConnectionHandlers) -> None:
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

        Returns
        -------
        bool
            Whether all calls ended within the timeout.
        """
        self.draining = True
        done = await in_flight.wait_empty(timeout_s)
        self.stop_listening()
        self.close_idle()
        return done

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

    async def wait_empty(self, timeout_s: float) -> bool:
        """Wait until no call is in flight; return False when the time is over first."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._empty.wait()
        except TimeoutError:
            return False
        return True
