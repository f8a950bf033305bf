"""At-most-once claims of idempotency keys in the store."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

import msgspec

from jaypost.store import (
    Conflict,
    DeleteOutcome,
    Effect,
    Found,
    GetOutcome,
    GrantOutcome,
    Missing,
    PutOutcome,
    Stored,
    StoreFailed,
)

CLAIM_LEASE_S = 24 * 3600.0
# Claims of one node made within this time share a lease, so that a claim costs one write. A claim
# then lives between 24 and 25 hours, and the claims of one lease expire together.
LEASE_SHARED_S = 3600.0
# A node that was paused for longer than this between claim and dispatch does not dispatch: its
# caller has given up by then, and the lease may have expired.
DISPATCH_WINDOW_S = 10.0
HELD_LIMIT = 10_000
UNSETTLED_LIMIT = 1_000


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request owns the key and may be dispatched until `dispatch_before`."""

    key: str
    dispatch_before: float = float("inf")

    def may_dispatch(self, now: float) -> bool:
        """Tell whether the request may still be dispatched."""
        return now < self.dispatch_before


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Another request owns the key; `status` is 0 while its result is not recorded."""

    request_id: str
    status: int


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The key could not be claimed, so the request must not be dispatched."""

    reason: str


ClaimOutcome = Claimed | Duplicate | ClaimUnavailable


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Value of a claim in the store; `token` tells apart requests that reuse a request id."""

    token: str
    request_id: str
    status: int = 0


class ClaimStore(Protocol):
    """The calls of `StoreClient` that claims use."""

    async def get(self, key: str) -> GetOutcome:
        """Read a key."""
        ...

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key if it is at `if_revision`; 0 creates only."""
        ...

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key if it is at `if_revision`."""
        ...

    async def grant_lease(self, ttl_s: float) -> GrantOutcome:
        """Create a lease."""
        ...


@dataclass(frozen=True, slots=True)
class _Held:
    """A claim of this node whose request has not ended."""

    record: ClaimRecord
    revision: int
    lease_id: str


@dataclass(frozen=True, slots=True)
class _Lease:
    lease_id: str
    shared_until: float


def claim_key(service: str, key: str) -> str:
    """Return the store key of the claim for an idempotency key."""
    return f"claims/{service}/{hashlib.sha256(key.encode()).hexdigest()[:32]}"


class Claims:
    """Claims keys for the requests of this node.

    Parameters
    ----------
    store : ClaimStore
        Client of the store.
    rate : float
        Claims per second that this node may make; 0 refuses all of them.
    rng : random.Random or None
        Source of the tokens that identify a claim; None means the operating system's.
    """

    def __init__(self, store: ClaimStore, rate: float, rng: random.Random | None = None) -> None:
        self._store = store
        self._rate = rate
        self._rng = rng or random.SystemRandom()
        self._tokens = max(1.0, rate) if rate else 0.0
        self._filled_at = float("-inf")
        self._lease: _Lease | None = None
        self._lease_lock = asyncio.Lock()
        self._held_by_key: OrderedDict[tuple[str, str], _Held] = OrderedDict()
        self._unsettled_by_key: OrderedDict[str, ClaimRecord] = OrderedDict()

    async def claim(self, service: str, key: str, request_id: str, now: float) -> ClaimOutcome:
        """Claim a key for a request, with one write to the store."""
        if not self._take_token(now):
            return ClaimUnavailable("claim rate of the node exceeded")
        lease = await self._shared_lease(now)
        if isinstance(lease, ClaimUnavailable):
            return lease
        store_key = claim_key(service, key)
        record = ClaimRecord(f"{self._rng.getrandbits(128):032x}", request_id)
        outcome = await self._create(store_key, record, lease.lease_id)
        if not isinstance(outcome, _Held):
            return outcome
        self._remember(store_key, request_id, outcome)
        return Claimed(key, now + DISPATCH_WINDOW_S)

    async def record(self, service: str, key: str, request_id: str, status: int) -> None:
        """Store the status of the request, so that duplicates are told it."""
        store_key = claim_key(service, key)
        held = self._held_by_key.pop((store_key, request_id), None)
        if held is None:
            return
        value = msgspec.json.encode(ClaimRecord(held.record.token, request_id, status))
        outcome = await self._store.put(store_key, value, held.revision, held.lease_id)
        if isinstance(outcome, StoreFailed):
            await self._store.put(store_key, value, held.revision, held.lease_id)

    async def withdraw(self, service: str, key: str, request_id: str) -> None:
        """Give up the claim of a request that was not run, so that the key can be used again."""
        store_key = claim_key(service, key)
        held = self._held_by_key.pop((store_key, request_id), None)
        if held is None:
            return
        outcome = await self._store.delete(store_key, held.revision)
        if isinstance(outcome, StoreFailed):
            self._remember_unsettled(store_key, held.record)

    async def settle(self) -> None:
        """Withdraw claims of requests that were not run and whose withdrawal is not confirmed."""
        for store_key, record in list(self._unsettled_by_key.items()):
            found = await self._store.get(store_key)
            if isinstance(found, StoreFailed):
                return
            if isinstance(found, Found) and self._is_own(found, record):
                outcome = await self._store.delete(store_key, found.revision)
                if isinstance(outcome, StoreFailed):
                    return
            self._unsettled_by_key.pop(store_key, None)

    def _take_token(self, now: float) -> bool:
        burst = max(1.0, self._rate) if self._rate else 0.0
        earned = self._rate * max(0.0, now - self._filled_at) if self._rate else 0.0
        self._tokens = min(burst, self._tokens + earned)
        self._filled_at = max(self._filled_at, now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    async def _shared_lease(self, now: float) -> _Lease | ClaimUnavailable:
        async with self._lease_lock:
            if self._lease is not None and now < self._lease.shared_until:
                return self._lease
            outcome = await self._store.grant_lease(CLAIM_LEASE_S + LEASE_SHARED_S)
            if isinstance(outcome, StoreFailed):
                return ClaimUnavailable(f"no lease: {outcome.reason}")
            self._lease = _Lease(outcome.lease_id, now + LEASE_SHARED_S - DISPATCH_WINDOW_S)
            return self._lease

    async def _create(
        self, store_key: str, record: ClaimRecord, lease_id: str
    ) -> _Held | Duplicate | ClaimUnavailable:
        value = msgspec.json.encode(record)
        put = await self._store.put(store_key, value, 0, lease_id)
        if isinstance(put, StoreFailed):
            if put.effect is not Effect.UNKNOWN:
                # The lease may be the cause, for instance when the store lost it.
                self._lease = None
                return ClaimUnavailable(put.reason)
            # Writing again is safe, because at most one of the two writes can create the key. It
            # also settles a first write that is still on its way.
            put = await self._store.put(store_key, value, 0, lease_id)
        if isinstance(put, Stored):
            return _Held(record, put.revision, lease_id)
        if isinstance(put, Conflict):
            return await self._read_back(store_key, record, lease_id)
        self._remember_unsettled(store_key, record)
        return ClaimUnavailable(put.reason)

    async def _read_back(
        self, store_key: str, record: ClaimRecord, lease_id: str
    ) -> _Held | Duplicate | ClaimUnavailable:
        found = await self._store.get(store_key)
        if isinstance(found, Missing):
            return ClaimUnavailable("the claim of another request was just withdrawn")
        if isinstance(found, StoreFailed):
            self._remember_unsettled(store_key, record)
            return ClaimUnavailable(found.reason)
        if self._is_own(found, record):
            return _Held(record, found.revision, lease_id)
        owner = msgspec.json.decode(found.value, type=ClaimRecord)
        return Duplicate(owner.request_id, owner.status)

    @staticmethod
    def _is_own(found: Found, record: ClaimRecord) -> bool:
        return msgspec.json.decode(found.value, type=ClaimRecord).token == record.token

    def _remember(self, store_key: str, request_id: str, held: _Held) -> None:
        self._held_by_key[(store_key, request_id)] = held
        if len(self._held_by_key) > HELD_LIMIT:
            self._held_by_key.popitem(last=False)

    def _remember_unsettled(self, store_key: str, record: ClaimRecord) -> None:
        self._unsettled_by_key[store_key] = record
        if len(self._unsettled_by_key) > UNSETTLED_LIMIT:
            self._unsettled_by_key.popitem(last=False)
