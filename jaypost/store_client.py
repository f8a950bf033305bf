"""Client of the key-value store in the form of ``docs/interface.md``."""

from __future__ import annotations

import base64
import binascii
from urllib.parse import quote

import msgspec

from jaypost.store import (
    Conflict,
    DeleteOutcome,
    Found,
    GetOutcome,
    GrantOutcome,
    LeaseGranted,
    LeaseHeld,
    LeaseLapsed,
    Listed,
    ListOutcome,
    Missing,
    PutOutcome,
    RenewOutcome,
    Stored,
    StoreEntry,
    StoreFailed,
    Unchanged,
    WatchOutcome,
)
from jaypost.store_connections import StoreCall, StoreConnections, unexpected


class _ListedEntry(msgspec.Struct):
    key: str
    revision: int
    value: str


class _GrantedLease(msgspec.Struct):
    lease_id: str


_listing_decoder = msgspec.json.Decoder(list[_ListedEntry])
_lease_decoder = msgspec.json.Decoder(_GrantedLease)


class StoreClient(StoreConnections):
    """Client of the store that ``docs/interface.md`` describes."""

    async def get(self, key: str) -> GetOutcome:
        """Read a key."""
        call = StoreCall("GET", _key_path(key))
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200 and response.revision is not None:
            return Found(response.body, response.revision)
        if response.status == 404:
            return Missing(response.revision or 0)
        return unexpected(call, response)

    async def watch(self, key: str, after_revision: int, wait_s: float) -> WatchOutcome:
        """Wait until a key is above `after_revision`, for at most `wait_s` seconds."""
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
        return unexpected(call, response)

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
        call = StoreCall("PUT", _key_path(key), _condition(if_revision), value)
        if lease_id is not None:
            call.parameters["lease"] = lease_id
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200 and response.revision is not None:
            return Stored(response.revision)
        if response.status == 409:
            return Conflict(response.revision or 0)
        return unexpected(call, response)

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key if it is at `if_revision`; None for any revision."""
        call = StoreCall("DELETE", _key_path(key), _condition(if_revision))
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200:
            return Stored(response.revision or 0)
        if response.status == 404:
            return Missing(response.revision or 0)
        if response.status == 409:
            return Conflict(response.revision or 0)
        return unexpected(call, response)

    async def list(self, prefix: str) -> ListOutcome:
        """Read all keys that start with `prefix`."""
        call = StoreCall("GET", f"/v1/prefix/{quote(prefix)}")
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status != 200:
            return unexpected(call, response)
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
        call = StoreCall("POST", "/v1/leases", {"ttl_ms": str(round(ttl_s * 1000))})
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status != 200:
            return unexpected(call, response)
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
        call = StoreCall(method, f"/v1/leases/{quote(lease_id, safe='')}")
        response = await self.send(call)
        if isinstance(response, StoreFailed):
            return response
        if response.status == 200:
            return LeaseHeld()
        if response.status == 404:
            return LeaseLapsed()
        return unexpected(call, response)


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _condition(if_revision: int | None) -> dict[str, str]:
    return {} if if_revision is None else {"if_revision": str(if_revision)}
