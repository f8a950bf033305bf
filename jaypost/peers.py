"""Control connections between nodes: grpclib server and client channels with a msgspec codec."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
import zlib
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Mapping
from contextvars import ContextVar
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeAlias, TypeVar
from weakref import WeakSet

import msgspec
import structlog
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from jaypost import messages
from jaypost.records import Address

log = structlog.get_logger(__name__)

# grpclib logs a traceback for each request whose caller gave up or lost its connection. Failed
# handlers are logged here as events.
logging.getLogger("grpclib.server").setLevel(logging.CRITICAL)

SERVICE_PATH = "/jaypost.Peer/"
COMPRESS_FROM_BYTES = 1024
COMPRESSION_LEVEL = 1
MESSAGE_LIMIT_BYTES = 32 * 1024 * 1024
IDLE_CLOSE_S = 10.0
# A node whose event loop is busy opens and accepts connections late. With the shorter timeout of
# the call path every connection failed then, and each failure opened another one.
CONNECT_TIMEOUT_S = 1.0
IDLE_SWEEP_S = 2.0
LISTEN_BACKLOG = 512

_PLAIN = b"\0"
_COMPRESSED = b"\1"

_encoder = msgspec.msgpack.Encoder()


class Link(StrEnum):
    """How far apart two nodes are."""

    DOMAIN = "domain"
    REGION = "region"
    CROSS_REGION = "cross_region"
    UNKNOWN = "unknown"


class Direction(StrEnum):
    """Direction of counted bytes."""

    SENT = "sent"
    RECEIVED = "received"


@dataclass(frozen=True, slots=True)
class ByteKey:
    """What a byte count is about: message kind, link and direction."""

    kind: str
    link: Link
    direction: Direction


@dataclass(frozen=True, slots=True)
class Method:
    """One remote procedure: the last part of its path and its message types."""

    name: str
    request_type: type
    reply_type: type

    @property
    def path(self) -> str:
        """Return the full path of the procedure."""
        return SERVICE_PATH + self.name


METHOD_BY_REQUEST: Mapping[type, Method] = {
    method.request_type: method
    for method in (
        Method("Sync", messages.Sync, messages.SyncReply),
        Method("CompareBuckets", messages.CompareBuckets, messages.CompareBucketsReply),
        Method("CompareStamps", messages.CompareStamps, messages.CompareStampsReply),
        Method("Push", messages.Push, messages.PushReply),
        Method("PushTable", messages.PushTable, messages.PushReply),
        Method("Probe", messages.Probe, messages.ProbeReply),
        Method("Ping", messages.Ping, messages.Pong),
        Method("Join", messages.Join, messages.JoinReply),
        Method("FetchTable", messages.FetchTable, messages.FetchTableReply),
        Method("Status", messages.StatusRequest, messages.StatusReply),
    )
}


class MessageTooLargeError(ValueError):
    """A message is larger than `MESSAGE_LIMIT_BYTES` when unpacked."""


def pack(message: object) -> bytes:
    """Encode a message; large ones are compressed."""
    payload = _encoder.encode(message)
    if len(payload) < COMPRESS_FROM_BYTES:
        return _PLAIN + payload
    return _COMPRESSED + zlib.compress(payload, COMPRESSION_LEVEL)


T = TypeVar("T")

_decoder_by_type: dict[type, msgspec.msgpack.Decoder[Any]] = {}


def unpack(data: bytes, message_type: type[T]) -> T:
    """Decode a message made by `pack`.

    Raises
    ------
    ValueError
        If the data is malformed or too large.
    """
    decoder = _decoder_by_type.get(message_type)
    if decoder is None:
        decoder = _decoder_by_type[message_type] = msgspec.msgpack.Decoder(message_type)
    payload = memoryview(data)[1:]
    if data[:1] == _COMPRESSED:
        message: T = decoder.decode(_decompress(payload))
    else:
        message = decoder.decode(payload)
    return message


def _decompress(payload: memoryview) -> bytes:
    stream = zlib.decompressobj()
    try:
        data = stream.decompress(payload, MESSAGE_LIMIT_BYTES)
    except zlib.error as error:
        raise ValueError(f"message is not valid zlib data: {error}") from error
    if stream.unconsumed_tail or not stream.eof:
        raise MessageTooLargeError(f"message exceeds {MESSAGE_LIMIT_BYTES} bytes or is truncated")
    return data


class MsgpackCodec(CodecBase):  # type: ignore[misc]
    """Codec for grpclib that counts the bytes of every message."""

    __content_subtype__ = "msgpack"

    def __init__(self, byte_counts: Counter[ByteKey], link: Link) -> None:
        self._byte_counts = byte_counts
        self._link = link

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message and count it as sent."""
        data = pack(message)
        self._count(message_type, Direction.SENT, self._link, data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message and count it as received."""
        message = unpack(data, message_type)
        self._count(message_type, Direction.RECEIVED, self._link, data)
        return message

    def _count(self, kind: type, direction: Direction, link: Link, data: bytes) -> None:
        self._byte_counts[ByteKey(kind.__name__, link, direction)] += len(data)


_request_link: ContextVar[Link] = ContextVar("request_link", default=Link.UNKNOWN)


class ServerCodec(MsgpackCodec):
    """Codec of the server, which learns the link from the sender named in each request."""

    def __init__(self, byte_counts: Counter[ByteKey], link_of: Callable[[str], Link]) -> None:
        super().__init__(byte_counts, Link.UNKNOWN)
        self._link_of = link_of

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a reply and count it on the link of its request."""
        data = pack(message)
        self._count(message_type, Direction.SENT, _request_link.get(), data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a request and count it on the link of its sender."""
        message = unpack(data, message_type)
        link = self._link_of(message.sender)
        _request_link.set(link)  # grpclib runs each request in a task of its own
        self._count(message_type, Direction.RECEIVED, link, data)
        return message


@dataclass(frozen=True, slots=True)
class Replied:
    """The peer's reply."""

    message: Any


@dataclass(frozen=True, slots=True)
class Busy:
    """The peer declines for now; also returned by a handler to decline."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Declined:
    """Returned by a handler that cannot serve the request in its present state."""

    detail: str


class FailureReason(StrEnum):
    """Why a control call has no reply."""

    CONNECT_FAILED = "connect_failed"
    TIMED_OUT = "timed_out"
    CONNECTION_LOST = "connection_lost"
    REFUSED = "refused"
    BAD_REPLY = "bad_reply"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Failed:
    """The call has no reply; the peer may have handled the request all the same."""

    reason: FailureReason
    detail: str = ""


CallOutcome: TypeAlias = Replied | Busy | Failed
RequestHandler: TypeAlias = Callable[[Any], Awaitable[Any]]


class _ClosingServer(Server):  # type: ignore[misc]
    """grpclib server that also closes its connections.

    `Server.close` only ends the listening socket and running requests: a closed node would still
    answer on connections that are open.
    """

    def __init__(self, handlers: Collection[Any], codec: CodecBase) -> None:
        super().__init__(handlers, codec=codec)
        self._protocols: WeakSet[Any] = WeakSet()

    def _protocol_factory(self) -> Any:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    @property
    def port(self) -> int:
        """Return the port that was bound."""
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Stop listening, cancel requests and close connections."""
        super().close()
        for protocol in list(self._protocols):
            if hasattr(protocol, "processor"):  # absent until the connection is made
                protocol.processor.close()


class PeerServer:
    """grpclib server of the control port.

    Parameters
    ----------
    handler : callable
        Coroutine function that turns a request into its reply, `Busy` or `Declined`.
    link_of : callable
        Tells the link to a node, by its identifier.
    byte_counts : Counter of ByteKey
        Counts that the server adds to.
    """

    def __init__(
        self,
        handler: RequestHandler,
        link_of: Callable[[str], Link],
        byte_counts: Counter[ByteKey],
    ) -> None:
        self._handler = handler
        self._codec = ServerCodec(byte_counts, link_of)
        self._server: _ClosingServer | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Return the table of methods that grpclib dispatches by."""
        return {
            method.path: Handler(
                self._answer, Cardinality.UNARY_UNARY, method.request_type, method.reply_type
            )
            for method in METHOD_BY_REQUEST.values()
        }

    async def _answer(self, stream: Any) -> None:
        try:
            request = await stream.recv_message()
        except ValueError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, f"malformed request: {error}") from error
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "request without a message")
        try:
            reply = await self._handler(request)
        except Exception as error:
            log.exception("control_request_failed", kind=type(request).__name__)
            raise GRPCError(Status.INTERNAL, "the request failed") from error
        if isinstance(reply, Busy):
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"{reply.retry_after_s:.3f}")
        if isinstance(reply, Declined):
            raise GRPCError(Status.FAILED_PRECONDITION, reply.detail)
        await stream.send_message(reply)

    async def start(self, address: Address) -> Address:
        """Listen on an address and return it with the port that was bound."""
        server = _ClosingServer([self], self._codec)
        await server.start(address.host, address.port, backlog=LISTEN_BACKLOG)
        self._server = server
        return Address(address.host, server.port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            server, self._server = self._server, None
            server.close()
            await server.wait_closed()


@dataclass(slots=True, eq=False)
class _Connection:
    channel: Channel
    used_at: float
    calls: int = 0
    method_by_path: dict[str, Any] = field(default_factory=dict)

    def method(self, method: Method) -> Any:
        bound = self.method_by_path.get(method.path)
        if bound is None:
            bound = UnaryUnaryMethod(
                self.channel, method.path, method.request_type, method.reply_type
            )
            self.method_by_path[method.path] = bound
        return bound


class PeerChannels:
    """Client side of the control port: one channel for each peer address, closed when idle.

    Parameters
    ----------
    connect_timeout_s : float
        Time to open a connection, in seconds.
    byte_counts : Counter of ByteKey
        Counts that the channels add to.
    link_delay : callable, optional
        Delay in seconds, each way, that is added to calls of a peer address.
    refuses_link : callable, optional
        Tells whether calls of a peer address fail, as if the network were cut.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        byte_counts: Counter[ByteKey] | None = None,
        link_delay: Callable[[Address], float] | None = None,
        refuses_link: Callable[[Address], bool] | None = None,
    ) -> None:
        self.byte_counts: Counter[ByteKey] = Counter() if byte_counts is None else byte_counts
        self.link_delay = link_delay
        self.refuses_link = refuses_link
        self._connect_timeout_s = connect_timeout_s
        self._connection_by_address: dict[Address, _Connection] = {}
        self._sweeper: asyncio.Task[None] | None = None
        self._closed = False

    def __len__(self) -> int:
        return len(self._connection_by_address)

    def start(self) -> None:
        """Start closing idle channels."""
        if self._sweeper is None and not self._closed:
            self._sweeper = asyncio.create_task(self._sweep())

    async def close(self) -> None:
        """Close all channels."""
        self._closed = True
        if self._sweeper is not None:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
            self._sweeper = None
        for address in list(self._connection_by_address):
            self._drop(address, self._connection_by_address[address])

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_S)
            oldest = time.monotonic() - IDLE_CLOSE_S
            for address, connection in list(self._connection_by_address.items()):
                if not connection.calls and connection.used_at < oldest:
                    self._drop(address, connection)

    async def call(
        self, address: Address, request: Any, timeout_s: float, link: Link
    ) -> CallOutcome:
        """Call the procedure that `request` belongs to.

        Failures are returned, never raised. A connection on which a call timed out is closed,
        because it may have gone silent while new connections work.
        """
        if self._closed:
            return Failed(FailureReason.CLOSED)
        if self.refuses_link is not None and self.refuses_link(address):
            return Failed(FailureReason.CONNECT_FAILED, "link refused")
        connection = self._connection_to(address, link)
        connection.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._exchange(connection, address, request)
        except TimeoutError:
            self._drop(address, connection)
            outcome = Failed(FailureReason.TIMED_OUT, f"no reply within {timeout_s:g} s")
        finally:
            connection.calls -= 1
            connection.used_at = time.monotonic()
            if self._connection_by_address.get(address) is not connection:
                # The channel was dropped during this call, which may have opened it again.
                connection.channel.close()
        return outcome

    def _connection_to(self, address: Address, link: Link) -> _Connection:
        connection = self._connection_by_address.get(address)
        if connection is None:
            channel = Channel(
                address.host, address.port, codec=MsgpackCodec(self.byte_counts, link)
            )
            connection = _Connection(channel, time.monotonic())
            self._connection_by_address[address] = connection
        return connection

    async def _exchange(
        self, connection: _Connection, address: Address, request: Any
    ) -> CallOutcome:
        delay_s = self.link_delay(address) if self.link_delay is not None else 0.0
        if delay_s:
            await asyncio.sleep(delay_s)
        outcome = await self._send(connection, address, request)
        if delay_s:
            await asyncio.sleep(delay_s)
        return outcome

    async def _send(self, connection: _Connection, address: Address, request: Any) -> CallOutcome:
        method = connection.method(METHOD_BY_REQUEST[type(request)])
        try:
            async with asyncio.timeout(max(self._connect_timeout_s, CONNECT_TIMEOUT_S)):
                await connection.channel.__connect__()
        except (OSError, TimeoutError) as error:
            self._drop(address, connection)
            return Failed(FailureReason.CONNECT_FAILED, str(error) or "connect timed out")
        try:
            return Replied(await method(request))
        except GRPCError as error:
            return self._refusal(error)
        except (OSError, StreamTerminatedError, ProtocolError, AssertionError) as error:
            # grpclib asserts that a reply is present; a connection that closes early has none.
            self._drop(address, connection)
            return Failed(FailureReason.CONNECTION_LOST, str(error))
        except ValueError as error:
            return Failed(FailureReason.BAD_REPLY, str(error))

    @staticmethod
    def _refusal(error: GRPCError) -> CallOutcome:
        if error.status is Status.RESOURCE_EXHAUSTED:
            with contextlib.suppress(ValueError):
                return Busy(float(error.message or ""))
        return Failed(FailureReason.REFUSED, f"{error.status.name}: {error.message}")

    def _drop(self, address: Address, connection: _Connection) -> None:
        if self._connection_by_address.get(address) is connection:
            del self._connection_by_address[address]
        connection.channel.close()
