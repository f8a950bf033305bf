"""HTTP client of the key-value store.

Every call returns a tagged outcome. An outage is an outcome, never an exception.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol
from urllib.parse import quote, urlencode

import h11
import msgspec
import structlog

from jaypost.records import Address

log = structlog.get_logger(__name__)

# 200 connections at once overflowed the listen queue of the store, and some took 1 s to open.
# A watch has a connection of its own on top.
MAX_CONNECTIONS = 16
# A listing of 7,000 small values fits; a larger body is a fault of the store.
MAX_BODY_BYTES = 32 << 20
READ_BYTES = 64 << 10
REVISION_HEADER = b"x-revision"


class Effect(StrEnum):
    """What is known about the effect of a failed call on the store."""

    NONE = "none"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Found:
    """The value of a key and the revision of its last write."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Missing:
    """The key does not exist."""

    revision: int = 0


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The key did not change in the time of the watch.

    `revision` is below the watched one only when the store has lost writes.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key is at `revision`, not at the expected one; the write had no effect."""

    revision: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The call failed; `effect` is `unknown` when a write may have taken effect."""

    reason: str
    effect: Effect


@dataclass(frozen=True, slots=True)
class StoreCallEnded:
    """One call of the store; `status` is 0 when no answer came."""

    operation: str
    status: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key in a listing."""

    key: str
    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Listed:
    """All keys that start with a prefix."""

    entries: tuple[StoreEntry, ...]


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease that deletes its keys unless it is renewed."""

    lease_id: str


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """The lease was renewed."""


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """The lease no longer exists; its keys are deleted."""


GetOutcome = Found | Missing | StoreFailed
WatchOutcome = Found | Missing | Unchanged | StoreFailed
PutOutcome = Stored | Conflict | StoreFailed
DeleteOutcome = Stored | Missing | Conflict | StoreFailed
ListOutcome = Listed | StoreFailed
GrantOutcome = LeaseGranted | StoreFailed
RenewOutcome = LeaseHeld | LeaseLapsed | StoreFailed


class Store(Protocol):
    """The calls of the store that the table needs."""

    async def get(self, key: str) -> GetOutcome:
        """Read a key."""
        ...

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key if it is at `if_revision`."""
        ...

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key if it is at `if_revision`."""
        ...

    async def watch(self, key: str, after_revision: int, wait_s: float) -> WatchOutcome:
        """Wait until a key is above `after_revision`."""
        ...


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    revision: int | None
    body: bytes


class _ListedEntry(msgspec.Struct):
    key: str
    revision: int
    value: str


class _GrantedLease(msgspec.Struct):
    lease_id: str


_listing_decoder = msgspec.json.Decoder(list[_ListedEntry])
_lease_decoder = msgspec.json.Decoder(_GrantedLease)

# What a call can meet on the network or in a malformed response.
_CALL_ERRORS = (OSError, TimeoutError, h11.ProtocolError, msgspec.DecodeError, ValueError)


@dataclass(slots=True, eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection
    bytes_written: int = 0
    bytes_read: int = 0

    def reusable(self) -> bool:
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
            and not self.protocol.trailing_data[0]
            and not self.lost()
        )

    def lost(self) -> bool:
        return self.reader.at_eof() or self.writer.is_closing()


@dataclass(slots=True)
class _Call:
    """A request to the store and whether any of its bytes may have been sent."""

    method: str
    path: str
    parameters: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    wait_s: float = 0.0
    sent: bool = False

    @property
    def writes(self) -> bool:
        return self.method != "GET"

    @property
    def target(self) -> str:
        query = urlencode(self.parameters)
        return f"{self.path}?{query}" if query else self.path

    def failed(self, reason: str, applied: bool | None = None) -> StoreFailed:
        unknown = self.writes and (self.sent if applied is None else applied)
        return StoreFailed(reason, Effect.UNKNOWN if unknown else Effect.NONE)


class StoreClient:
    """Client of the store over pooled HTTP/1.1 connections.

    Parameters
    ----------
    address : Address
        Address of the store.
    timeout_s : float
        Time for one call in seconds, on top of the time that a watch waits.
    on_call_ended : Callable[[StoreCallEnded], None] or None
        Told the result of each call, for metrics.
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
        self._slots = asyncio.Semaphore(MAX_CONNECTIONS)
        self.sent_bytes = 0
        self.received_bytes = 0

    async def start(self) -> None:
        """Allow calls; connections are opened when they are needed."""
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

    async def get(self, key: str) -> GetOutcome:
        """Read a key."""
        call = _Call("GET", _key_path(key))
        response = await self._send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200 and response.revision is not None:
            return Found(response.body, response.revision)
        if response.status == 404:
            return Missing(response.revision or 0)
        return _unexpected(call, response)

    async def watch(self, key: str, after_revision: int, wait_s: float) -> WatchOutcome:
        """Wait until a key is above `after_revision`, for at most `wait_s` seconds."""
        call = _Call("GET", _key_path(key), wait_s=wait_s)
        call.parameters["watch_after"] = str(after_revision)
        call.parameters["wait_ms"] = str(round(wait_s * 1000))
        response = await self._send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200 and response.revision is not None:
            return Found(response.body, response.revision)
        if response.status == 204:
            revision = after_revision if response.revision is None else response.revision
            return Unchanged(revision)
        if response.status == 404:
            return Missing(response.revision or 0)
        return _unexpected(call, response)

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key.

        Parameters
        ----------
        key : str
            Key.
        value : bytes
            Value, up to 1 MB.
        if_revision : int or None
            Revision that the key must be at; 0 when it must not exist, None for any.
        lease_id : str or None
            Lease whose end deletes the key.
        """
        call = _Call("PUT", _key_path(key), _condition(if_revision), value)
        if lease_id is not None:
            call.parameters["lease"] = lease_id
        response = await self._send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200 and response.revision is not None:
            return Stored(response.revision)
        if response.status == 409:
            return Conflict(response.revision or 0)
        return _unexpected(call, response)

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key if it is at `if_revision`; None for any revision."""
        call = _Call("DELETE", _key_path(key), _condition(if_revision))
        response = await self._send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200:
            return Stored(response.revision or 0)
        if response.status == 404:
            return Missing(response.revision or 0)
        if response.status == 409:
            return Conflict(response.revision or 0)
        return _unexpected(call, response)

    async def list(self, prefix: str) -> ListOutcome:
        """Read all keys that start with `prefix`."""
        call = _Call("GET", f"/v1/prefix/{quote(prefix)}")
        response = await self._send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status != 200:
            return _unexpected(call, response)
        try:
            listed = _listing_decoder.decode(response.body)
            entries = [
                StoreEntry(entry.key, entry.revision, base64.b64decode(entry.value, validate=True))
                for entry in listed
            ]
        except (msgspec.DecodeError, binascii.Error) as error:
            return call.failed(f"malformed listing: {error}")
        return Listed(tuple(entries))

    async def grant_lease(self, ttl_s: float) -> GrantOutcome:
        """Create a lease that lapses `ttl_s` seconds after its last renewal."""
        call = _Call("POST", "/v1/leases", {"ttl_ms": str(round(ttl_s * 1000))})
        response = await self._send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status != 200:
            return _unexpected(call, response)
        try:
            return LeaseGranted(_lease_decoder.decode(response.body).lease_id)
        except msgspec.DecodeError as error:
            return call.failed(f"malformed lease: {error}")

    async def renew_lease(self, lease_id: str) -> RenewOutcome:
        """Renew a lease."""
        return await self._use_lease("PUT", lease_id)

    async def revoke_lease(self, lease_id: str) -> RenewOutcome:
        """End a lease; `LeaseLapsed` also when it had ended before."""
        outcome = await self._use_lease("DELETE", lease_id)
        return LeaseLapsed() if isinstance(outcome, LeaseHeld) else outcome

    async def _use_lease(self, method: str, lease_id: str) -> RenewOutcome:
        call = _Call(method, f"/v1/leases/{quote(lease_id, safe='')}")
        response = await self._send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200:
            return LeaseHeld()
        if response.status == 404:
            return LeaseLapsed()
        return _unexpected(call, response)

    async def _send(self, call: _Call) -> _Response | StoreFailed:
        started = time.monotonic()
        response = await self._try(call)
        if self._on_call_ended is not None:
            status = 0 if isinstance(response, StoreFailed) else response.status
            operation = "watch" if call.wait_s else call.method.lower()
            seconds = time.monotonic() - started
            self._on_call_ended(StoreCallEnded(operation, status, seconds))
        return response

    async def _try(self, call: _Call) -> _Response | StoreFailed:
        if not self._running:
            return call.failed("client is closed")
        try:
            async with asyncio.timeout(self._timeout_s + call.wait_s):
                if call.wait_s:
                    return await self._exchange(call)
                async with self._slots:
                    return await self._exchange(call)
        except TimeoutError:
            # Pooled connections of a silent path are all silent; new ones may work.
            self._close_idle()
            return call.failed("timed out")
        except _CALL_ERRORS as error:
            return call.failed(f"{type(error).__name__}: {error}")

    async def _exchange(self, call: _Call) -> _Response:
        connection = self._take_idle() or await self._connect()
        self._busy.add(connection)
        try:
            await self._write_request(connection, call)
            response = await self._read_response(connection)
        except BaseException:
            connection.writer.close()
            raise
        finally:
            self._busy.discard(connection)
        self._give_back(connection)
        return response

    async def _connect(self) -> _Connection:
        reader, writer = await asyncio.open_connection(self._address.host, self._address.port)
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.lost():
                return connection
            connection.writer.close()
        return None

    def _close_idle(self) -> None:
        for connection in self._idle:
            connection.writer.close()
        self._idle.clear()

    def _give_back(self, connection: _Connection) -> None:
        if self._running and connection.reusable() and len(self._idle) < MAX_CONNECTIONS:
            connection.protocol.start_next_cycle()
            self._idle.append(connection)
        else:
            connection.writer.close()

    async def _write_request(self, connection: _Connection, call: _Call) -> None:
        head = h11.Request(
            method=call.method,
            target=call.target,
            headers=[("host", str(self._address)), ("content-length", str(len(call.body)))],
        )
        protocol = connection.protocol
        data = protocol.send(head) or b""
        if call.body:
            data += protocol.send(h11.Data(data=call.body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        # The transport may send from here on, also when the drain fails.
        call.sent = True
        connection.writer.write(data)
        self.sent_bytes += len(data)
        await connection.writer.drain()

    async def _read_response(self, connection: _Connection) -> _Response:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = connection.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await connection.reader.read(READ_BYTES)
                if not data and head is None:
                    raise ConnectionError("store closed the connection")
                self.received_bytes += len(data)
                connection.protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise ValueError("response body is too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _Response(head.status_code, _revision(head), bytes(body))
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionError("store answered out of turn")


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _condition(if_revision: int | None) -> dict[str, str]:
    return {} if if_revision is None else {"if_revision": str(if_revision)}


def _revision(response: h11.Response) -> int | None:
    for name, value in response.headers:
        if name == REVISION_HEADER:
            return int(value)
    return None


def _unexpected(call: _Call, response: _Response) -> StoreFailed:
    # A server error may follow the write; a client error means that the store refused the call.
    refused = 400 <= response.status < 500
    return call.failed(f"unexpected status {response.status}", applied=not refused)
