"""Control connections between nodes: grpclib server and channels with a MessagePack codec."""

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
from jaypost.intake.gate import InputGate
from jaypost.intake.scheduler import IntakeScheduler
from jaypost.records import Address
from jaypost.timeouts import PatientTimeout

log = structlog.get_logger(__name__)

# grpclib logs a traceback for each request whose caller cancelled it or lost its connection. This
# module logs failed handlers itself, as events.
logging.getLogger("grpclib.server").setLevel(logging.CRITICAL)

SERVICE_PATH = "/jaypost.Peer/"
COMPRESSION_THRESHOLD_BYTES = 1024
COMPRESSION_LEVEL = 1
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
IDLE_TIMEOUT_S = 10.0
# Lower bound of the connect timeout. A node with a busy event loop opens and accepts connections
# late. With the shorter `connect_timeout_s` of service calls, every connection would then fail, and
# each failure would open another one.
MIN_CONNECT_TIMEOUT_S = 1.0
IDLE_SWEEP_INTERVAL_S = 2.0
LISTEN_BACKLOG = 512

_UNCOMPRESSED_PREFIX = b"\0"
_COMPRESSED_PREFIX = b"\1"

_encoder = msgspec.msgpack.Encoder()


class Link(StrEnum):
    """Distance between two nodes.

    ``DOMAIN`` is within one failure domain, ``REGION`` between domains of one region and
    ``CROSS_REGION`` between regions. ``UNKNOWN`` is used for joins at other domains and for nodes
    without a record in the view.
    """

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
    """Key of a byte count: message kind, link and direction."""

    kind: str
    link: Link
    direction: Direction


@dataclass(frozen=True, slots=True)
class Method:
    """A remote procedure: the last segment of its path and its message types."""

    name: str
    request_type: type
    reply_type: type

    @property
    def path(self) -> str:
        """Return the full path of the procedure."""
        return SERVICE_PATH + self.name


METHOD_BY_REQUEST_TYPE: Mapping[type, Method] = {
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
        Method("Allotment", messages.AllotmentRequest, messages.AllotmentReply),
        Method("Rollout", messages.RolloutQuery, messages.RolloutReport),
    )
}


class MessageDecompressionError(ValueError):
    """Decompression did not reach the end of a message within `MAX_MESSAGE_BYTES`."""


def pack(message: object) -> bytes:
    """Encode a message, and compress it from `COMPRESSION_THRESHOLD_BYTES` on."""
    payload = _encoder.encode(message)
    if len(payload) < COMPRESSION_THRESHOLD_BYTES:
        return _UNCOMPRESSED_PREFIX + payload
    return _COMPRESSED_PREFIX + zlib.compress(payload, COMPRESSION_LEVEL)


T = TypeVar("T")

_decoder_by_type: dict[type, msgspec.msgpack.Decoder[Any]] = {}


def unpack(data: bytes, message_type: type[T]) -> T:
    """Decode a message made by `pack`.

    Raises
    ------
    ValueError
        If the data is malformed, truncated or too large.
    """
    decoder = _decoder_by_type.get(message_type)
    if decoder is None:
        decoder = _decoder_by_type[message_type] = msgspec.msgpack.Decoder(message_type)
    payload = memoryview(data)[1:]
    if data[:1] == _COMPRESSED_PREFIX:
        message: T = decoder.decode(_decompress(payload))
    else:
        message = decoder.decode(payload)
    return message


def _decompress(payload: memoryview) -> bytes:
    stream = zlib.decompressobj()
    try:
        data = stream.decompress(payload, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(f"message is not valid zlib data: {error}") from error
    if stream.unconsumed_tail or not stream.eof:
        raise MessageDecompressionError(
            f"message exceeds {MAX_MESSAGE_BYTES} bytes or is truncated"
        )
    return data


class MsgpackCodec(CodecBase):  # type: ignore[misc]
    """MessagePack codec for grpclib that counts the bytes of every message."""

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
    """Codec of the server, which derives the link from the sender of each request."""

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
        _request_link.set(link)  # per request: grpclib runs each one in its own task
        self._count(message_type, Direction.RECEIVED, link, data)
        return message


@dataclass(frozen=True, slots=True)
class Replied:
    """The peer's reply."""

    message: Any


@dataclass(frozen=True, slots=True)
class Busy:
    """The peer asks for a retry after `retry_after_s` seconds.

    The handler of the server returns it, and so does the call of the client.
    """

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Declined:
    """Returned by a handler when the node cannot serve the request in its present state.

    The call of the client fails with `FailureReason.REFUSED`.
    """

    detail: str


class FailureReason(StrEnum):
    """Why a control call has no reply.

    ``REFUSED`` means that the peer replied with a gRPC error instead.
    """

    CONNECT_FAILED = "connect_failed"
    TIMED_OUT = "timed_out"
    CONNECTION_LOST = "connection_lost"
    REFUSED = "refused"
    BAD_REPLY = "bad_reply"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Failed:
    """The call has no reply; the peer may still have handled the request."""

    reason: FailureReason
    detail: str = ""


CallOutcome: TypeAlias = Replied | Busy | Failed
RequestHandler: TypeAlias = Callable[[Any], Awaitable[Any]]


class _ClosingServer(Server):  # type: ignore[misc]
    """grpclib server whose `close` also closes the open connections.

    `Server.close` only closes the listening socket and cancels running requests, so a closed node
    would still answer on open connections. The connections decode their frames in turns.
    """

    def __init__(
        self, handlers: Collection[Any], codec: CodecBase, scheduler: IntakeScheduler
    ) -> None:
        super().__init__(handlers, codec=codec)
        self._scheduler = scheduler
        self._protocols: WeakSet[Any] = WeakSet()

    def _protocol_factory(self) -> InputGate:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return InputGate(self._scheduler, protocol)

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


class _GatedChannel(Channel):  # type: ignore[misc]
    """grpclib channel whose connections decode their frames in turns."""

    def __init__(self, address: Address, codec: CodecBase, scheduler: IntakeScheduler) -> None:
        super().__init__(address.host, address.port, codec=codec)
        self._address = address
        self._scheduler = scheduler

    async def _create_connection(self) -> Any:
        protocol = self._protocol_factory()
        gate = InputGate(self._scheduler, protocol, input_outlives_connection=True)
        await self._loop.create_connection(lambda: gate, self._address.host, self._address.port)
        return protocol


class PeerServer:
    """grpclib server of the control port.

    Parameters
    ----------
    handler : callable
        Coroutine function that turns a request into its reply, `Busy` or `Declined`.
    link_of : callable
        Returns the link to a node, given its identifier.
    byte_counts : Counter of ByteKey
        Sizes of messages, to which the server adds its own.
    scheduler : IntakeScheduler, optional
        Gives the connections their turns to decode input; None for one of the server's own.
    """

    def __init__(
        self,
        handler: RequestHandler,
        link_of: Callable[[str], Link],
        byte_counts: Counter[ByteKey],
        scheduler: IntakeScheduler | None = None,
    ) -> None:
        self._scheduler = scheduler or IntakeScheduler()
        self._handler = handler
        self._codec = ServerCodec(byte_counts, link_of)
        self._server: _ClosingServer | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handler of each method path, by which grpclib dispatches requests."""
        return {
            method.path: Handler(
                self._handle_stream, Cardinality.UNARY_UNARY, method.request_type, method.reply_type
            )
            for method in METHOD_BY_REQUEST_TYPE.values()
        }

    async def _handle_stream(self, stream: Any) -> None:
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
        server = _ClosingServer([self], self._codec, self._scheduler)
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
    last_used_at: float
    active_calls: int = 0
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
    """Client side of the control port: one connection for each peer address, closed when idle.

    `link_delay_s` and `is_link_cut` simulate slow and cut links in tests.

    Parameters
    ----------
    connect_timeout_s : float
        Time in seconds to open a connection, raised to `MIN_CONNECT_TIMEOUT_S` if it is shorter.
    byte_counts : Counter of ByteKey
        Sizes of messages, to which the connections add theirs.
    link_delay_s : callable, optional
        Returns the delay in seconds that is added in each direction to calls to a peer address.
    is_link_cut : callable, optional
        Tells whether calls to a peer address fail, as in a network partition.
    scheduler : IntakeScheduler, optional
        Gives the connections their turns to decode input; None for one of their own.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        byte_counts: Counter[ByteKey] | None = None,
        link_delay_s: Callable[[Address], float] | None = None,
        is_link_cut: Callable[[Address], bool] | None = None,
        scheduler: IntakeScheduler | None = None,
    ) -> None:
        self.scheduler = scheduler or IntakeScheduler()
        self.byte_counts: Counter[ByteKey] = Counter() if byte_counts is None else byte_counts
        self.link_delay_s = link_delay_s
        self.is_link_cut = is_link_cut
        self._connect_timeout_s = connect_timeout_s
        self._connection_by_address: dict[Address, _Connection] = {}
        self._idle_sweep_task: asyncio.Task[None] | None = None
        self._closed = False

    def __len__(self) -> int:
        return len(self._connection_by_address)

    def start(self) -> None:
        """Start the task that closes idle connections."""
        if self._idle_sweep_task is None and not self._closed:
            self._idle_sweep_task = asyncio.create_task(self._close_idle_connections())

    async def close(self) -> None:
        """Close all connections."""
        self._closed = True
        if self._idle_sweep_task is not None:
            self._idle_sweep_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._idle_sweep_task
            self._idle_sweep_task = None
        for address in list(self._connection_by_address):
            self._close_connection(address, self._connection_by_address[address])

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_INTERVAL_S)
            idle_limit = time.monotonic() - IDLE_TIMEOUT_S
            for address, connection in list(self._connection_by_address.items()):
                if not connection.active_calls and connection.last_used_at < idle_limit:
                    self._close_connection(address, connection)

    async def call(
        self, address: Address, request: Any, timeout_s: float, link: Link
    ) -> CallOutcome:
        """Send a request to a peer and return the outcome.

        Failures are returned, not raised. A connection is closed when a call on it times out,
        because it may have stopped carrying data while new connections work.

        Parameters
        ----------
        address : Address
            Control address of the peer.
        request : object
            Request message, whose type selects the remote procedure.
        timeout_s : float
            Time in seconds for the whole call, the connect included.
        link : Link
            Link to the peer, under which the bytes are counted.
        """
        if self._closed:
            return Failed(FailureReason.CLOSED)
        if self.is_link_cut is not None and self.is_link_cut(address):
            return Failed(FailureReason.CONNECT_FAILED, "link is cut")
        connection = self._get_or_create_connection(address, link)
        connection.active_calls += 1
        try:
            async with PatientTimeout(timeout_s):
                outcome = await self._send_with_delay(connection, address, request)
        except TimeoutError:
            self._close_connection(address, connection)
            outcome = Failed(FailureReason.TIMED_OUT, f"no reply within {timeout_s:g} s")
        finally:
            connection.active_calls -= 1
            connection.last_used_at = time.monotonic()
            if self._connection_by_address.get(address) is not connection:
                # The connection was closed during this call, which may have opened it again.
                connection.channel.close()
        return outcome

    def _get_or_create_connection(self, address: Address, link: Link) -> _Connection:
        connection = self._connection_by_address.get(address)
        if connection is None:
            channel = _GatedChannel(address, MsgpackCodec(self.byte_counts, link), self.scheduler)
            connection = _Connection(channel, time.monotonic())
            self._connection_by_address[address] = connection
        return connection

    async def _send_with_delay(
        self, connection: _Connection, address: Address, request: Any
    ) -> CallOutcome:
        delay_s = self.link_delay_s(address) if self.link_delay_s is not None else 0.0
        if delay_s:
            await asyncio.sleep(delay_s)
        outcome = await self._send(connection, address, request)
        if delay_s:
            await asyncio.sleep(delay_s)
        return outcome

    async def _send(self, connection: _Connection, address: Address, request: Any) -> CallOutcome:
        method = connection.method(METHOD_BY_REQUEST_TYPE[type(request)])
        try:
            async with PatientTimeout(max(self._connect_timeout_s, MIN_CONNECT_TIMEOUT_S)):
                await connection.channel.__connect__()
        except (OSError, TimeoutError) as error:
            self._close_connection(address, connection)
            return Failed(FailureReason.CONNECT_FAILED, str(error) or "connect timed out")
        try:
            return Replied(await method(request))
        except GRPCError as error:
            return self._outcome_of_error(error)
        except (OSError, StreamTerminatedError, ProtocolError, AssertionError) as error:
            # grpclib asserts that a reply is present; a connection that closes early has none.
            self._close_connection(address, connection)
            return Failed(FailureReason.CONNECTION_LOST, str(error))
        except ValueError as error:
            return Failed(FailureReason.BAD_REPLY, str(error))

    @staticmethod
    def _outcome_of_error(error: GRPCError) -> CallOutcome:
        if error.status is Status.RESOURCE_EXHAUSTED:
            with contextlib.suppress(ValueError):
                return Busy(float(error.message or ""))
        return Failed(FailureReason.REFUSED, f"{error.status.name}: {error.message}")

    def _close_connection(self, address: Address, connection: _Connection) -> None:
        if self._connection_by_address.get(address) is connection:
            del self._connection_by_address[address]
        connection.channel.close()
