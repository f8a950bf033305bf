"""Stand-in for the key-value store: compare-and-swap, leases, watches and fault injection.

Run it as ``python -m standins.store --listen IP:PORT``.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import signal
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import msgspec

from jaypost.records import Address
from jaypost.settings import parse_address
from jaypost.store import (
    Conflict,
    Effect,
    Found,
    LeaseExpired,
    LeaseHeld,
    Missing,
    Stored,
    StoreEntry,
    StoreFailed,
    Unchanged,
)

# The connection is closed on a larger request body.
MAX_VALUE_BYTES = 1 << 20
LEASE_CHECK_INTERVAL_S = 0.05
READ_BYTES = 64 << 10


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Entry:
    value: bytes
    revision: int
    lease_id: str | None


class StoreCore:
    """Keys, revisions and leases in memory; the arguments `now` are monotonic time in seconds."""

    def __init__(self) -> None:
        self.revision = 0
        self._entry_by_key: dict[str, _Entry] = {}
        self._lease_by_id: dict[str, _Lease] = {}
        self._leases_granted = 0

    def get(self, key: str) -> Found | Missing:
        """Read a key."""
        entry = self._entry_by_key.get(key)
        return Missing() if entry is None else Found(entry.value, entry.revision)

    def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> Stored | Conflict | LeaseExpired:
        """Write a key if it is at `if_revision`; None writes always, 0 only creates."""
        if lease_id is not None and lease_id not in self._lease_by_id:
            return LeaseExpired()
        current_revision = self._revision_of(key)
        if if_revision not in (None, current_revision):
            return Conflict(current_revision)
        self._remove_entry(key)
        self.revision += 1
        self._entry_by_key[key] = _Entry(value, self.revision, lease_id)
        if lease_id is not None:
            self._lease_by_id[lease_id].keys.add(key)
        return Stored(self.revision)

    def delete(self, key: str, if_revision: int | None) -> Stored | Conflict | Missing:
        """Delete a key if it is at `if_revision`; None deletes always."""
        current_revision = self._revision_of(key)
        if if_revision not in (None, current_revision):
            return Conflict(current_revision)
        if not current_revision:
            return Missing()
        self._remove_entry(key)
        self.revision += 1
        return Stored(self.revision)

    def list(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return all entries whose keys start with `prefix`, in key order."""
        return tuple(
            StoreEntry(key, entry.revision, entry.value)
            for key, entry in sorted(self._entry_by_key.items())
            if key.startswith(prefix)
        )

    def grant_lease(self, ttl_s: float, now: float) -> str:
        """Create a lease that expires `ttl_s` seconds after `now`, and return its id."""
        self._leases_granted += 1
        lease_id = f"lease-{self._leases_granted}"
        self._lease_by_id[lease_id] = _Lease(ttl_s, now + ttl_s)
        return lease_id

    def renew_lease(self, lease_id: str, now: float) -> LeaseHeld | LeaseExpired:
        """Extend a lease to `now` plus its time to live; `LeaseExpired` when it does not exist."""
        self.expire(now)
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return LeaseExpired()
        lease.expires_at = now + lease.ttl_s
        return LeaseHeld()

    def revoke_lease(self, lease_id: str) -> LeaseHeld | LeaseExpired:
        """End a lease and delete its keys; `LeaseExpired` when it does not exist."""
        lease = self._lease_by_id.pop(lease_id, None)
        if lease is None:
            return LeaseExpired()
        for key in sorted(lease.keys):
            self.delete(key, None)
        return LeaseHeld()

    def copy(self) -> StoreCore:
        """Return a copy of the contents, as a backup has it: without leases and their keys."""
        copied = StoreCore()
        copied.revision = self.revision
        copied._entry_by_key = {
            key: _Entry(entry.value, entry.revision, None)
            for key, entry in self._entry_by_key.items()
            if entry.lease_id is None
        }
        return copied

    def expire(self, now: float) -> None:
        """End the leases that were not renewed in time, and delete their keys."""
        expired_ids = [
            lease_id for lease_id, lease in self._lease_by_id.items() if lease.expires_at <= now
        ]
        for lease_id in expired_ids:
            self.revoke_lease(lease_id)

    def _revision_of(self, key: str) -> int:
        entry = self._entry_by_key.get(key)
        return 0 if entry is None else entry.revision

    def _remove_entry(self, key: str) -> None:
        entry = self._entry_by_key.pop(key, None)
        if entry is not None and entry.lease_id in self._lease_by_id:
            self._lease_by_id[entry.lease_id].keys.discard(key)


class DirectStore:
    """Implements the protocol `jaypost.store.Store` by direct calls of a `StoreCore`.

    Attributes
    ----------
    written_bytes : int
        Sum of the sizes of all values passed to `put`.
    """

    def __init__(self, core: StoreCore) -> None:
        self.core = core
        self.written_bytes = 0

    async def get(self, key: str) -> Found | Missing:
        """Read a key."""
        return self.core.get(key)

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> Stored | Conflict | StoreFailed:
        """Write a key if it is at `if_revision`."""
        self.written_bytes += len(value)
        outcome = self.core.put(key, value, if_revision, lease_id)
        if isinstance(outcome, LeaseExpired):
            return StoreFailed("lease does not exist", Effect.NONE)
        return outcome

    async def delete(self, key: str, if_revision: int | None) -> Stored | Conflict | Missing:
        """Delete a key if it is at `if_revision`."""
        return self.core.delete(key, if_revision)

    async def watch(self, key: str, after_revision: int, wait_s: float) -> Found | Unchanged:
        """Return the value or `Unchanged` at once, without waiting for a change."""
        found = self.core.get(key)
        if isinstance(found, Found) and found.revision > after_revision:
            return found
        return Unchanged(found.revision)


ADMIN_PATHS = ("/v1/stats", "/v1/faults", "/v1/copy", "/v1/restore")


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that a `StoreServer` injects; the calls of `ADMIN_PATHS` are not affected.

    Parameters
    ----------
    down : bool
        Whether every call ends with a closed connection instead of a response.
    delay_ms : int
        Delay in milliseconds before each call is handled.
    lose_answers : int
        Number of next writes that are applied but get a closed connection instead of a response.
    fail_writes : int
        Number of next writes that are not applied and get a closed connection.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    fail_writes: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A request to the store, with its query parameters decoded."""

    method: str
    path: str
    parameters: Mapping[str, str]
    body: bytes

    @property
    def is_admin(self) -> bool:
        """Whether the request concerns the stand-in and not its contents."""
        return self.path in ADMIN_PATHS

    @property
    def is_write(self) -> bool:
        """Whether the request is not a read."""
        return self.method != "GET"


@dataclass(frozen=True, slots=True)
class Reply:
    """Response of the store; `revision` is sent as a header unless it is None."""

    status: int
    body: bytes = b""
    revision: int | None = None


Handler: TypeAlias = Callable[[Request, str], Coroutine[Any, Any, Reply]]


class StoreServer:
    """HTTP server that serves a `StoreCore`.

    Attributes
    ----------
    core : StoreCore
        Content of the store.
    faults : Faults
        Faults in force; replaced with `set_faults`.
    calls_by_kind : Counter of str
        Number of calls by kind.
    sent_bytes, received_bytes : int
        Bytes of all connections.
    connections_accepted : int
        Number of connections accepted since the server was created.
    """

    def __init__(self, listen: Address) -> None:
        self.core = StoreCore()
        self.era = 1
        self._copied = StoreCore()
        self.faults = Faults()
        self.calls_by_kind: Counter[str] = Counter()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.connections_accepted = 0
        self._listen_address = listen
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._expiry_task: asyncio.Task[None] | None = None
        self._changed = asyncio.Condition()

    era_header = "x-store-era"

    async def restore(self, copied: StoreCore) -> None:
        """Come back from an older copy; `copied` is from `StoreCore.copy`."""
        self.core = copied.copy()
        self.era += 1
        await self._notify()

    async def _restore_but(self, kept_prefix: str) -> None:
        """Come back from the copy; what an operator keeps under a prefix is written again."""
        kept = self.core.list(kept_prefix)
        await self.restore(self._copied)
        for entry in kept:
            self.core.put(entry.key, entry.value, None)
        await self._notify()

    @property
    def address(self) -> Address:
        """Address that the server listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def start(self) -> None:
        """Listen and check the leases at intervals."""
        self._server = await asyncio.start_server(
            self._accept, self._listen_address.host, self._listen_address.port
        )
        self._listen_address = self.address
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """Stop listening and close all connections; `core` is kept for another `start`."""
        if self._server is None or self._expiry_task is None:
            return
        self._server.close()
        tasks = [self._expiry_task, *self._connection_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._server.wait_closed()
        self._server = None

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force; pending watches end when the store goes down."""
        self.faults = faults
        await self._notify()

    def stats(self) -> dict[str, object]:
        """Return the calls by kind and the bytes sent and received."""
        return {
            "calls_by_kind": dict(self.calls_by_kind),
            "sent_bytes": self.sent_bytes,
            "received_bytes": self.received_bytes,
        }

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.core.expire(time.monotonic())

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        self.connections_accepted += 1
        try:
            await self._serve(reader, writer)
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._connection_tasks.discard(task)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = h11.Connection(h11.SERVER)
        while True:
            request = await self._read_request(protocol, reader)
            if request is None:
                return
            reply = await self._handle(request)
            if reply is None:
                return
            await self._write_reply(protocol, writer, reply)
            if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                return
            protocol.start_next_cycle()

    async def _read_request(
        self, protocol: h11.Connection, reader: asyncio.StreamReader
    ) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(READ_BYTES)
                self.received_bytes += len(data)
                protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_VALUE_BYTES:
                    return None
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _parse_request(head, bytes(body))
            else:
                return None

    async def _write_reply(
        self, protocol: h11.Connection, writer: asyncio.StreamWriter, reply: Reply
    ) -> None:
        headers = [(self.era_header, str(self.era))]
        if reply.status != 204:
            headers.append(("content-length", str(len(reply.body))))
        if reply.revision is not None:
            headers.append(("x-revision", str(reply.revision)))
        data = protocol.send(h11.Response(status_code=reply.status, headers=headers)) or b""
        if reply.body:
            data += protocol.send(h11.Data(data=reply.body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        self.sent_bytes += len(data)
        writer.write(data)
        await writer.drain()

    async def _handle(self, request: Request) -> Reply | None:
        """Return the reply, or None to close the connection without one."""
        if request.is_admin:
            return await self._handle_admin(request)
        if self.faults.down:
            return None
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if request.is_write and self.faults.fail_writes:
            self.faults.fail_writes -= 1
            return None
        response_lost = bool(request.is_write and self.faults.lose_answers)
        if response_lost:
            self.faults.lose_answers -= 1
        try:
            reply = await self._dispatch(request)
        except ValueError as error:
            reply = Reply(400, str(error).encode())
        return None if response_lost or self.faults.down else reply

    async def _handle_admin(self, request: Request) -> Reply:
        if request.path == "/v1/stats":
            return Reply(200, msgspec.json.encode(self.stats()))
        if request.path == "/v1/copy":
            self._copied = self.core.copy()
            return Reply(204)
        if request.path == "/v1/restore":
            await self._restore_but(request.parameters.get("kept", "/"))
            return Reply(204)
        if request.method == "PUT":
            try:
                await self.set_faults(msgspec.json.decode(request.body, type=Faults))
            except msgspec.DecodeError as error:
                return Reply(400, str(error).encode())
        return Reply(200, msgspec.json.encode(self.faults))

    async def _dispatch(self, request: Request) -> Reply:
        handler_by_call: Mapping[tuple[str, str], Handler] = {
            ("GET", "/v1/kv/"): self._get,
            ("PUT", "/v1/kv/"): self._put,
            ("DELETE", "/v1/kv/"): self._delete,
            ("GET", "/v1/prefix/"): self._list,
            ("POST", "/v1/leases"): self._grant_lease,
            ("PUT", "/v1/leases/"): self._renew_lease,
            ("DELETE", "/v1/leases/"): self._revoke_lease,
        }
        for (method, prefix), handler in handler_by_call.items():
            is_exact = not prefix.endswith("/")
            matches = request.path == prefix if is_exact else request.path.startswith(prefix)
            if method == request.method and matches:
                return await handler(request, unquote(request.path[len(prefix) :]))
        return Reply(404, b"unknown call")

    async def _get(self, request: Request, key: str) -> Reply:
        if "watch_after" in request.parameters:
            return await self._watch(request, key)
        self.calls_by_kind["get"] += 1
        return self._value_reply(key)

    async def _watch(self, request: Request, key: str) -> Reply:
        self.calls_by_kind["watch"] += 1
        after = int(request.parameters["watch_after"])
        wait_s = int(request.parameters.get("wait_ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self.faults.down or self._has_newer_value(key, after)
                )
        except TimeoutError:
            pass
        if self._has_newer_value(key, after):
            return self._value_reply(key)
        found = self.core.get(key)
        return Reply(204, revision=found.revision)

    def _has_newer_value(self, key: str, revision: int) -> bool:
        found = self.core.get(key)
        return isinstance(found, Found) and found.revision > revision

    def _value_reply(self, key: str) -> Reply:
        found = self.core.get(key)
        if isinstance(found, Missing):
            return Reply(404, revision=0)
        return Reply(200, found.value, found.revision)

    async def _put(self, request: Request, key: str) -> Reply:
        self.calls_by_kind["put"] += 1
        self.core.expire(time.monotonic())
        outcome = self.core.put(
            key, request.body, _if_revision(request), request.parameters.get("lease")
        )
        if isinstance(outcome, LeaseExpired):
            return Reply(404, b"lease does not exist")
        return await self._write_outcome(outcome)

    async def _delete(self, request: Request, key: str) -> Reply:
        self.calls_by_kind["delete"] += 1
        return await self._write_outcome(self.core.delete(key, _if_revision(request)))

    async def _write_outcome(self, outcome: Stored | Conflict | Missing) -> Reply:
        if isinstance(outcome, Conflict):
            return Reply(409, revision=outcome.revision)
        if isinstance(outcome, Missing):
            return Reply(404, revision=0)
        await self._notify()
        return Reply(200, revision=outcome.revision)

    async def _list(self, request: Request, prefix: str) -> Reply:
        self.calls_by_kind["list"] += 1
        entries = [
            {
                "key": entry.key,
                "revision": entry.revision,
                "value": base64.b64encode(entry.value).decode(),
            }
            for entry in self.core.list(prefix)
        ]
        return Reply(200, msgspec.json.encode(entries))

    async def _grant_lease(self, request: Request, _: str) -> Reply:
        self.calls_by_kind["lease_grant"] += 1
        ttl_s = int(request.parameters["ttl_ms"]) / 1000
        lease_id = self.core.grant_lease(ttl_s, time.monotonic())
        return Reply(200, msgspec.json.encode({"lease_id": lease_id}))

    async def _renew_lease(self, request: Request, lease_id: str) -> Reply:
        self.calls_by_kind["lease_renew"] += 1
        held = isinstance(self.core.renew_lease(lease_id, time.monotonic()), LeaseHeld)
        return Reply(200 if held else 404)

    async def _revoke_lease(self, request: Request, lease_id: str) -> Reply:
        self.calls_by_kind["lease_revoke"] += 1
        held = isinstance(self.core.revoke_lease(lease_id), LeaseHeld)
        return Reply(200 if held else 404)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()


def _parse_request(head: h11.Request, body: bytes) -> Request:
    url = urlsplit(head.target.decode())
    parameters = {name: values[0] for name, values in parse_qs(url.query).items()}
    return Request(head.method.decode(), url.path, parameters, body)


def _if_revision(request: Request) -> int | None:
    text = request.parameters.get("if_revision")
    return None if text is None else int(text)


async def _run(listen: Address) -> None:
    server = StoreServer(listen)
    await server.start()
    print(f"store listens on {server.address}", flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await server.close()


def main() -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--listen", metavar="IP:PORT", type=parse_address, required=True)
    asyncio.run(_run(parser.parse_args().listen))


if __name__ == "__main__":
    main()
