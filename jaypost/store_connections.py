"""HTTP connections of store clients: pooling, timeouts and the outcome of failed calls."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import urlencode

import h11

from jaypost.records import Address
from jaypost.store import Effect, StoreCallEnded, StoreFailed
from jaypost.timeouts import PatientTimeout

# Opening 200 connections at once overflowed the listen queue of the store, and some of them took
# 1 s to open. Watches are not counted: each of them uses an additional connection.
MAX_CONNECTIONS = 16
# A listing of 7,000 small values fits; a larger body is treated as an error of the store.
MAX_BODY_BYTES = 32 << 20
READ_BYTES = 64 << 10
MAX_ERA_DIGITS = 18
# Longest time in which a response may arrive after its first bytes, as a multiple of the timeout.
MAX_TRANSFER_TIMEOUTS = 10
REVISION_HEADER = b"x-revision"
# Number of times that the store came back from an older copy of its contents.
ERA_HEADER = b"x-store-era"


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Status, revision header and body of a response."""

    status: int
    revision: int | None
    body: bytes


# Exceptions from the network and from malformed responses, reported as `StoreFailed`.
_CALL_ERRORS = (OSError, TimeoutError, h11.ProtocolError, ValueError, RecursionError)


@dataclass(slots=True, eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection
    bytes_written: int = 0
    bytes_read: int = 0

    def is_reusable(self) -> bool:
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
            and not self.protocol.trailing_data[0]
            and not self.is_closed()
        )

    def is_closed(self) -> bool:
        return self.reader.at_eof() or self.writer.is_closing()


@dataclass(slots=True)
class StoreCall:
    """A request to the store.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Quoted path of the URL.
    parameters : dict of str to str
        Query parameters, not quoted.
    body : bytes
        Body of the request.
    wait_s : float
        Time in seconds that the store may wait before it responds; above 0 only in a watch.
    maybe_sent : bool
        Whether some bytes of the request may have been sent.
    """

    method: str
    path: str
    parameters: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    wait_s: float = 0.0
    maybe_sent: bool = False

    @property
    def is_write(self) -> bool:
        """Whether the call may change the contents of the store."""
        return self.method != "GET"

    @property
    def request_target(self) -> str:
        """Target of the HTTP request line: path and query string."""
        query = urlencode(self.parameters)
        return f"{self.path}?{query}" if query else self.path

    def failure(self, reason: str, maybe_applied: bool | None = None) -> StoreFailed:
        """Return the outcome of this call after a failure.

        Parameters
        ----------
        reason : str
            Description of the failure.
        maybe_applied : bool or None
            Whether the store may have applied the call; None to conclude it from `maybe_sent`.
        """
        unknown = self.is_write and (self.maybe_sent if maybe_applied is None else maybe_applied)
        return StoreFailed(reason, Effect.UNKNOWN if unknown else Effect.NONE)


class StoreConnections:
    """Base class of store clients, with a pool of HTTP/1.1 connections.

    Parameters
    ----------
    address : Address
        Address of the store.
    timeout_s : float
        Time in seconds without any progress after which a call fails; a watch has its waiting time
        in addition. A large response on a narrow link may take longer while bytes arrive.
    on_call_ended : Callable[[StoreCallEnded], None] or None
        Called with the result of each call, for metrics.

    Attributes
    ----------
    era : int
        Number of times that the store came back from an older copy, from its responses; 0 before
        the first. Revisions and leases of an earlier era mean nothing in a later one.
    on_era_changed : Callable[[int], None]
        Called with each new era, except for the first that is known.
    sent_bytes, received_bytes : int
        Total bytes written to and read from the connections.
    round_trip_s : float or None
        Shortest time in seconds in which a connection was opened; None before the first.
    """

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        on_call_ended: Callable[[StoreCallEnded], None] | None = None,
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._on_call_ended = on_call_ended
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._running = False
        self._connection_slots = asyncio.Semaphore(MAX_CONNECTIONS)
        self.era = 0
        self.on_era_changed: Callable[[int], None] = lambda era: None
        self._knows_era = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.round_trip_s: float | None = None

    era_header = ERA_HEADER

    def _note_era(self, response: h11.Response) -> None:
        value = dict(response.headers).get(self.era_header)
        if value is None or not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            return
        era, known = int(value), self._knows_era
        if known and era <= self.era:
            return  # a response of an earlier era that arrives late changes nothing
        self.era, self._knows_era = era, True
        if known:
            self._era_changed()
            self.on_era_changed(era)

    def _era_changed(self) -> None:
        """Forget what depends on revisions of the earlier era."""

    async def start(self) -> None:
        """Allow calls; connections are opened on demand."""
        self._running = True

    async def close(self) -> None:
        """Close all connections; calls in progress and later ones fail."""
        self._running = False
        connections = [*self._idle, *self._busy]
        self._idle.clear()
        for connection in connections:
            connection.writer.close()
        await asyncio.gather(
            *(connection.writer.wait_closed() for connection in connections),
            return_exceptions=True,
        )

    async def send(self, call: StoreCall) -> StoreResponse | StoreFailed:
        """Send a call and return its response, or `StoreFailed` if there is none."""
        started = time.monotonic()
        response = await self._send_within_timeout(call)
        if self._on_call_ended is not None:
            status = 0 if isinstance(response, StoreFailed) else response.status
            operation = "watch" if call.wait_s else call.method.lower()
            duration_s = time.monotonic() - started
            self._on_call_ended(StoreCallEnded(operation, status, duration_s))
        return response

    async def _send_within_timeout(self, call: StoreCall) -> StoreResponse | StoreFailed:
        if not self._running:
            return call.failure("the store client is closed")
        try:
            async with PatientTimeout(self._timeout_s + call.wait_s) as time_limit:
                if call.wait_s:
                    return await self._exchange(call, time_limit)
                async with self._connection_slots:
                    return await self._exchange(call, time_limit)
        except TimeoutError:
            # If the network path of the pooled connections no longer delivers data, all of them
            # would time out; new connections may work.
            self._close_idle()
            return call.failure("timed out")
        except _CALL_ERRORS as error:
            return call.failure(f"{type(error).__name__}: {error}")

    async def _exchange(self, call: StoreCall, time_limit: PatientTimeout) -> StoreResponse:
        connection = self._take_idle() or await self._connect()
        self._busy.add(connection)
        try:
            await self._write_request(connection, call)
            response = await self._read_response(connection, time_limit)
        except BaseException:
            connection.writer.close()
            raise
        finally:
            self._busy.discard(connection)
        self._release(connection)
        return response

    async def _connect(self) -> _Connection:
        started = time.monotonic()
        reader, writer = await asyncio.open_connection(self._address.host, self._address.port)
        duration_s = time.monotonic() - started
        if self.round_trip_s is None or duration_s < self.round_trip_s:
            self.round_trip_s = duration_s
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed():
                return connection
            connection.writer.close()
        return None

    def _close_idle(self) -> None:
        for connection in self._idle:
            connection.writer.close()
        self._idle.clear()

    def _release(self, connection: _Connection) -> None:
        if self._running and connection.is_reusable() and len(self._idle) < MAX_CONNECTIONS:
            connection.protocol.start_next_cycle()
            self._idle.append(connection)
        else:
            connection.writer.close()

    async def _write_request(self, connection: _Connection, call: StoreCall) -> None:
        head = h11.Request(
            method=call.method,
            target=call.request_target,
            headers=[("host", str(self._address)), ("content-length", str(len(call.body)))],
        )
        protocol = connection.protocol
        data = protocol.send(head) or b""
        if call.body:
            data += protocol.send(h11.Data(data=call.body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        # From here on the transport may send bytes, even if `drain` raises.
        call.maybe_sent = True
        connection.writer.write(data)
        self.sent_bytes += len(data)
        await connection.writer.drain()

    async def _read_response(
        self, connection: _Connection, time_limit: PatientTimeout
    ) -> StoreResponse:
        """Read a response; each part that arrives extends the timeout, up to a limit."""
        clock = asyncio.get_running_loop().time
        transfer_deadline: float | None = None
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = connection.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await connection.reader.read(READ_BYTES)
                if not data and head is None:
                    raise ConnectionError("the store closed the connection without a response")
                if transfer_deadline is None:
                    transfer_deadline = clock() + MAX_TRANSFER_TIMEOUTS * self._timeout_s
                time_limit.reschedule(min(clock() + self._timeout_s, transfer_deadline))
                self.received_bytes += len(data)
                connection.protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
                self._note_era(head)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise ValueError("the response body is too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return StoreResponse(head.status_code, _revision_header(head), bytes(body))
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionError("unexpected HTTP event in the response of the store")


def _revision_header(response: h11.Response) -> int | None:
    for name, value in response.headers:
        if name == REVISION_HEADER:
            return int(value)
    return None


def unexpected_status(call: StoreCall, response: StoreResponse) -> StoreFailed:
    """Return the outcome of a call whose response has a status that the call does not expect."""
    # A 5xx status can be sent after the write took effect. A 4xx status means that the store
    # refused the call.
    refused = 400 <= response.status < 500
    return call.failure(f"unexpected status {response.status}", maybe_applied=not refused)
