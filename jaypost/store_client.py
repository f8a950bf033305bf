"""HTTP client of the key-value store whose API ``docs/interface.md`` specifies."""

from __future__ import annotations

import asyncio
import base64
from urllib.parse import quote

import msgspec

from jaypost.store import (
    Conflict,
    DeleteOutcome,
    Found,
    GetOutcome,
    GrantOutcome,
    LeaseExpired,
    LeaseGranted,
    LeaseHeld,
    Listed,
    ListOutcome,
    Missing,
    PrefixOutcome,
    PrefixRead,
    PutOutcome,
    RenewOutcome,
    Stored,
    StoreEntry,
    StoreFailed,
    Unchanged,
    WatchOutcome,
)
from jaypost.store_connections import StoreCall, StoreConnections, unexpected_status

# Interval in seconds at which a watched prefix is listed.
PREFIX_POLL_S = 1.0


class _ListedEntry(msgspec.Struct):
    key: str
    revision: int
    value: str


class _GrantedLease(msgspec.Struct):
    lease_id: str


_listing_decoder = msgspec.json.Decoder(list[_ListedEntry])
_lease_decoder = msgspec.json.Decoder(_GrantedLease)


class StoreClient(StoreConnections):
    """Client of a key-value store with the HTTP API that ``docs/interface.md`` specifies."""

    async def get(self, key: str) -> GetOutcome:
        """Read the value of a key."""
        call = StoreCall("GET", _key_path(key))
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200 and response.revision is not None:
            return Found(response.body, response.revision)
        if response.status == 404:
            return Missing(response.revision or 0)
        return unexpected_status(call, response)

    async def watch(self, key: str, after_revision: int, wait_s: float) -> WatchOutcome:
        """Wait up to `wait_s` seconds until the revision of a key is above `after_revision`."""
        call = StoreCall("GET", _key_path(key), wait_s=wait_s)
        call.parameters["watch_after"] = str(after_revision)
        call.parameters["wait_ms"] = str(round(wait_s * 1000))
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200 and response.revision is not None:
            return Found(response.body, response.revision)
        if response.status == 204:
            revision = after_revision if response.revision is None else response.revision
            return Unchanged(revision)
        if response.status == 404:
            return Missing(response.revision or 0)
        return unexpected_status(call, response)

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key if its revision is `if_revision`.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New value, at most 1 MB.
        if_revision : int or None
            Required revision of the key: 0 if it must not exist, None for any revision.
        lease_id : str or None
            Lease at whose end the store deletes the key; None for no lease.

        Returns
        -------
        PutOutcome
            `Conflict` if the key is at another revision.
        """
        call = StoreCall("PUT", _key_path(key), _revision_parameter(if_revision), value)
        if lease_id is not None:
            call.parameters["lease"] = lease_id
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200 and response.revision is not None:
            return Stored(response.revision)
        if response.status == 409:
            return Conflict(response.revision or 0)
        return unexpected_status(call, response)

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key if its revision is `if_revision`; None deletes it at any revision."""
        call = StoreCall("DELETE", _key_path(key), _revision_parameter(if_revision))
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200:
            return Stored(response.revision or 0)
        if response.status == 404:
            return Missing(response.revision or 0)
        if response.status == 409:
            return Conflict(response.revision or 0)
        return unexpected_status(call, response)

    async def list(self, prefix: str, allow_stale: bool = False) -> ListOutcome:
        """Read all keys that start with `prefix`; the result is current in either case."""
        call = StoreCall("GET", f"/v1/prefix/{quote(prefix)}")
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status != 200:
            return unexpected_status(call, response)
        try:
            listed = _listing_decoder.decode(response.body)
            entries = [
                StoreEntry(entry.key, entry.revision, base64.b64decode(entry.value, validate=True))
                for entry in listed
            ]
        except (ValueError, RecursionError) as error:
            return call.failure(f"malformed listing: {error}")
        return Listed(tuple(entries))

    async def watch_prefix(self, prefix: str, after_revision: int, wait_s: float) -> PrefixOutcome:
        """Wait until a key under `prefix` is written after `after_revision`, then read all.

        The store has no watch of a prefix, so the keys are listed every `PREFIX_POLL_S`. A deletion
        is seen with the next write.
        """
        waited_s = 0.0
        while True:
            listed = await self.list(prefix)
            if isinstance(listed, StoreFailed):
                return listed
            newest = max((entry.revision for entry in listed.entries), default=0)
            if newest > after_revision:
                return PrefixRead(listed.entries, newest)
            if waited_s >= wait_s:
                return Unchanged(after_revision)
            pause_s = min(PREFIX_POLL_S, wait_s - waited_s)
            await asyncio.sleep(pause_s)
            waited_s += pause_s

    async def grant_lease(self, ttl_s: float) -> GrantOutcome:
        """Create a lease that expires `ttl_s` seconds after its creation or last renewal."""
        call = StoreCall("POST", "/v1/leases", {"ttl_ms": str(round(ttl_s * 1000))})
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status != 200:
            return unexpected_status(call, response)
        try:
            return LeaseGranted(_lease_decoder.decode(response.body).lease_id)
        except (ValueError, RecursionError) as error:
            return call.failure(f"malformed lease: {error}")

    async def renew_lease(self, lease_id: str) -> RenewOutcome:
        """Extend a lease by its time to live; `LeaseExpired` if it no longer exists."""
        return await self._send_lease_request("PUT", lease_id)

    async def revoke_lease(self, lease_id: str) -> RenewOutcome:
        """End a lease and delete its keys; returns `LeaseExpired`, also if it had already ended."""
        outcome = await self._send_lease_request("DELETE", lease_id)
        return LeaseExpired() if isinstance(outcome, LeaseHeld) else outcome

    async def _send_lease_request(self, method: str, lease_id: str) -> RenewOutcome:
        call = StoreCall(method, f"/v1/leases/{quote(lease_id, safe='')}")
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200:
            return LeaseHeld()
        if response.status == 404:
            return LeaseExpired()
        return unexpected_status(call, response)


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _revision_parameter(if_revision: int | None) -> dict[str, str]:
    return {} if if_revision is None else {"if_revision": str(if_revision)}
