"""Claims of idempotency keys in the store, so that a keyed request is dispatched at most once."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections import OrderedDict
from dataclasses import dataclass, replace
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

MIN_CLAIM_LIFETIME_S = 24 * 3600.0
# Claims that a node makes within this time share a lease, so that a claim costs only one write. A
# claim therefore lives between 24 and 25 hours, and the claims of one lease expire together.
LEASE_SHARING_S = 3600.0
# Time after a claim in which its request may be dispatched. If the node was paused for longer, the
# caller has given up, and the lease may have expired.
DISPATCH_WINDOW_S = 10.0
# Claims that a node keeps in memory. Beyond these limits, the oldest one is forgotten and stays in
# the store until its lease expires.
MAX_OPEN_CLAIMS = 10_000
MAX_PENDING_WITHDRAWALS = 1_000
# A store that comes back from an older copy has lost its leases, and the claims with them. Each
# node writes its last claims again; until then, a new claim could take the key of a lost one.
RESTORE_WINDOW_S = 5.0
MAX_KEPT_CLAIMS = 500
RESTORED_PER_S = 200.0
# For this time after a claim, the node reads from the store periodically, so that it learns that
# the store has come back.
WATCHED_S = 60.0
# Revision of a claim that the store has lost.
LOST = -1


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request owns the key and may be dispatched until `dispatch_before` (monotonic time)."""

    key: str
    dispatch_before: float = float("inf")

    def may_dispatch(self, now: float) -> bool:
        """Tell whether the request may still be dispatched."""
        return now < self.dispatch_before


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Another request owns the key; `status` is 0 until the status of its response is recorded."""

    request_id: str
    status: int


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The key could not be claimed, so the request must not be dispatched."""

    reason: str


ClaimOutcome = Claimed | Duplicate | ClaimUnavailable


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Value of a claim in the store; `token` distinguishes requests with the same request id."""

    token: str
    request_id: str
    status: int = 0


class ClaimStore(Protocol):
    """The methods of `StoreClient` that `Claims` uses."""

    async def get(self, key: str) -> GetOutcome:
        """Read a key."""
        ...

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key if its revision is `if_revision`; 0 means that it must not exist."""
        ...

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key if its revision is `if_revision`."""
        ...

    async def grant_lease(self, ttl_s: float) -> GrantOutcome:
        """Create a lease that expires after `ttl_s` seconds."""
        ...


@dataclass(frozen=True, slots=True)
class _OpenClaim:
    """A claim of this node that was not withdrawn and has no recorded response status yet."""

    record: ClaimRecord
    revision: int
    lease_id: str


@dataclass(frozen=True, slots=True)
class _KeptClaim:
    """A claim of this node that is written again if the store loses it."""

    record: ClaimRecord
    claimed_at: float


@dataclass(frozen=True, slots=True)
class _SharedLease:
    """A lease in the store; new claims use it before the monotonic time `shared_until`."""

    lease_id: str
    shared_until: float


def claim_key(service: str, key: str) -> str:
    """Return the store key of the claim for an idempotency key."""
    return f"claims/{service}/{hashlib.sha256(key.encode()).hexdigest()[:32]}"


class Claims:
    """Claims idempotency keys for the requests of this node.

    Parameters
    ----------
    store : ClaimStore
        Client of the store.
    rate : float
        Claims per second that this node may make; 0 refuses all of them.
    rng : random.Random or None
        Source of the tokens that identify claims; None means the one of the operating system.
    """

    def __init__(self, store: ClaimStore, rate: float, rng: random.Random | None = None) -> None:
        self._store = store
        self._rate = rate
        self._rng = rng or random.SystemRandom()
        self._rate_tokens = max(1.0, rate) if rate else 0.0
        self._refilled_at = float("-inf")
        self._lease: _SharedLease | None = None
        self._lease_lock = asyncio.Lock()
        self._open_claim_by_key: OrderedDict[tuple[str, str], _OpenClaim] = OrderedDict()
        self._pending_withdrawal_by_key: OrderedDict[str, ClaimRecord] = OrderedDict()
        self._kept_claim_by_key: OrderedDict[str, _KeptClaim] = OrderedDict()
        # Keys of claims to write again; the newest is the last one.
        self._lost_keys: list[str] = []
        self._restoring_until = float("-inf")

    async def claim(self, service: str, key: str, request_id: str, now: float) -> ClaimOutcome:
        """Claim a key for a request, normally with one write to the store.

        Parameters
        ----------
        service : str
            Service of the request.
        key : str
            Idempotency key of the request.
        request_id : str
            Identifier of the request, which is reported to duplicates.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ClaimOutcome
            Whether the request owns the key, another request does, or the claim is unavailable.
        """
        if not self._take_rate_token(now):
            return ClaimUnavailable("claim rate of the node exceeded")
        restoring_until = self._restoring_until
        if now < restoring_until:
            return ClaimUnavailable("the store has lost claims, which are being restored")
        lease = await self._shared_lease(now)
        if isinstance(lease, ClaimUnavailable):
            return lease
        store_key = claim_key(service, key)
        record = ClaimRecord(f"{self._rng.getrandbits(128):032x}", request_id)
        outcome = await self._create_claim(store_key, record, lease.lease_id)
        if not isinstance(outcome, _OpenClaim):
            return outcome
        if self._restoring_until != restoring_until:
            # The response told that the store has come back; it may have lost another claim.
            await self._delete(store_key, outcome)
            return ClaimUnavailable("the store has lost claims, which are being restored")
        self._remember_open(store_key, request_id, outcome)
        self._keep(store_key, _KeptClaim(record, now))
        return Claimed(key, now + DISPATCH_WINDOW_S)

    async def record_status(self, service: str, key: str, request_id: str, status: int) -> None:
        """Store the status of the response in the claim, for the responses to duplicates."""
        store_key = claim_key(service, key)
        open_claim = self._open_claim_by_key.pop((store_key, request_id), None)
        if open_claim is None:
            return
        record = replace(open_claim.record, status=status)
        kept = self._kept_claim_by_key.get(store_key)
        if kept is not None:
            self._kept_claim_by_key[store_key] = replace(kept, record=record)
        if open_claim.revision == LOST:
            return
        value = msgspec.json.encode(record)
        outcome = await self._store.put(store_key, value, open_claim.revision, open_claim.lease_id)
        if isinstance(outcome, StoreFailed):
            # If the failed write took effect after all, this one ends with a conflict.
            await self._store.put(store_key, value, open_claim.revision, open_claim.lease_id)

    async def withdraw(self, service: str, key: str, request_id: str) -> None:
        """Delete the claim of a request that was not run, so that the key can be claimed again."""
        store_key = claim_key(service, key)
        open_claim = self._open_claim_by_key.pop((store_key, request_id), None)
        if open_claim is None:
            return
        self._kept_claim_by_key.pop(store_key, None)
        if open_claim.revision != LOST:
            await self._delete(store_key, open_claim)

    async def retry_withdrawals(self) -> None:
        """Retry the withdrawals that the store has not confirmed; call this periodically."""
        for store_key, record in list(self._pending_withdrawal_by_key.items()):
            found = await self._store.get(store_key)
            if isinstance(found, StoreFailed):
                return
            if isinstance(found, Found) and self._is_own(found, record):
                outcome = await self._store.delete(store_key, found.revision)
                if isinstance(outcome, StoreFailed):
                    return
            self._pending_withdrawal_by_key.pop(store_key, None)

    def store_came_back(self, now: float) -> None:
        """Refuse new claims for a time: the store has come back from an older copy.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._restoring_until = now + RESTORE_WINDOW_S
        self._lease = None
        self._lost_keys = list(self._kept_claim_by_key)
        for key, open_claim in self._open_claim_by_key.items():
            self._open_claim_by_key[key] = replace(open_claim, revision=LOST)

    async def watch_store(self, now: float) -> None:
        """Read from the store if a claim is recent, to learn whether the store has come back."""
        if not self._kept_claim_by_key or self._lost_keys:
            return
        store_key = next(reversed(self._kept_claim_by_key))
        if now - self._kept_claim_by_key[store_key].claimed_at < WATCHED_S:
            await self._store.get(store_key)

    async def restore_lost(self, now: float) -> int:
        """Write the claims again that the store has lost, and return how many were written.

        Call this periodically; what fails is tried again.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        restored = 0
        blocked: list[str] = []
        restoring_until = self._restoring_until
        while self._lost_keys:
            store_key = self._lost_keys.pop()
            kept = self._kept_claim_by_key.get(store_key)
            if kept is None:
                continue
            outcome = await self._write_again(store_key, kept.record, now)
            if self._restoring_until != restoring_until:
                return restored  # it has come back again, and all claims are lost once more
            if isinstance(outcome, _OpenClaim):
                restored += 1
                await self._on_restored(store_key, outcome)
            elif isinstance(outcome, ClaimUnavailable) or now < restoring_until:
                # Tried again: a claim that another node made in this time is withdrawn by it.
                blocked.append(store_key)
            if isinstance(outcome, ClaimUnavailable):
                break
            await asyncio.sleep(1 / RESTORED_PER_S)
        self._lost_keys += blocked
        return restored

    async def _write_again(
        self, store_key: str, record: ClaimRecord, now: float
    ) -> _OpenClaim | Duplicate | ClaimUnavailable:
        lease = await self._shared_lease(now)
        if isinstance(lease, ClaimUnavailable):
            return lease
        outcome = await self._create_claim(store_key, record, lease.lease_id)
        if isinstance(outcome, ClaimUnavailable) and store_key in self._kept_claim_by_key:
            # A write without a response may have taken effect; unlike a new claim, it stays.
            self._pending_withdrawal_by_key.pop(store_key, None)
        return outcome

    async def _on_restored(self, store_key: str, restored: _OpenClaim) -> None:
        if store_key not in self._kept_claim_by_key:  # withdrawn in the meantime
            await self._delete(store_key, restored)
            return
        key = (store_key, restored.record.request_id)
        if key in self._open_claim_by_key:
            self._open_claim_by_key[key] = restored

    async def _delete(self, store_key: str, claim: _OpenClaim) -> None:
        outcome = await self._store.delete(store_key, claim.revision)
        if isinstance(outcome, StoreFailed):
            self._remember_withdrawal(store_key, claim.record)

    def _keep(self, store_key: str, claim: _KeptClaim) -> None:
        self._kept_claim_by_key[store_key] = claim
        self._kept_claim_by_key.move_to_end(store_key)
        if len(self._kept_claim_by_key) > MAX_KEPT_CLAIMS:
            self._kept_claim_by_key.popitem(last=False)

    def _take_rate_token(self, now: float) -> bool:
        burst = max(1.0, self._rate) if self._rate else 0.0
        earned = self._rate * max(0.0, now - self._refilled_at) if self._rate else 0.0
        self._rate_tokens = min(burst, self._rate_tokens + earned)
        self._refilled_at = max(self._refilled_at, now)
        if self._rate_tokens < 1.0:
            return False
        self._rate_tokens -= 1.0
        return True

    async def _shared_lease(self, now: float) -> _SharedLease | ClaimUnavailable:
        """Return the lease for new claims, and create it if there is none or its time is over."""
        async with self._lease_lock:
            if self._lease is not None and now < self._lease.shared_until:
                return self._lease
            outcome = await self._store.grant_lease(MIN_CLAIM_LIFETIME_S + LEASE_SHARING_S)
            if isinstance(outcome, StoreFailed):
                return ClaimUnavailable(f"cannot create a lease: {outcome.reason}")
            # A request is dispatched up to DISPATCH_WINDOW_S after its claim, and the claim must
            # live for MIN_CLAIM_LIFETIME_S from then on.
            self._lease = _SharedLease(outcome.lease_id, now + LEASE_SHARING_S - DISPATCH_WINDOW_S)
            return self._lease

    async def _create_claim(
        self, store_key: str, record: ClaimRecord, lease_id: str
    ) -> _OpenClaim | Duplicate | ClaimUnavailable:
        value = msgspec.json.encode(record)
        put = await self._store.put(store_key, value, 0, lease_id)
        if isinstance(put, StoreFailed):
            if put.effect is not Effect.UNKNOWN:
                # The lease may be the cause, for example if the store lost it. Create a new one
                # for the next claim.
                self._lease = None
                return ClaimUnavailable(put.reason)
            # Writing again is safe, because at most one of the two writes can create the key. Once
            # the second write is answered, a delayed first write cannot create it any more.
            put = await self._store.put(store_key, value, 0, lease_id)
        if isinstance(put, Stored):
            return _OpenClaim(record, put.revision, lease_id)
        if isinstance(put, Conflict):
            return await self._read_owner(store_key, record, lease_id)
        self._remember_withdrawal(store_key, record)
        return ClaimUnavailable(put.reason)

    async def _read_owner(
        self, store_key: str, record: ClaimRecord, lease_id: str
    ) -> _OpenClaim | Duplicate | ClaimUnavailable:
        found = await self._store.get(store_key)
        if isinstance(found, Missing):
            return ClaimUnavailable("another request held the key and has just withdrawn its claim")
        if isinstance(found, StoreFailed):
            self._remember_withdrawal(store_key, record)
            return ClaimUnavailable(found.reason)
        if self._is_own(found, record):
            return _OpenClaim(record, found.revision, lease_id)
        owner = msgspec.json.decode(found.value, type=ClaimRecord)
        return Duplicate(owner.request_id, owner.status)

    @staticmethod
    def _is_own(found: Found, record: ClaimRecord) -> bool:
        return msgspec.json.decode(found.value, type=ClaimRecord).token == record.token

    def _remember_open(self, store_key: str, request_id: str, open_claim: _OpenClaim) -> None:
        self._open_claim_by_key[(store_key, request_id)] = open_claim
        if len(self._open_claim_by_key) > MAX_OPEN_CLAIMS:
            self._open_claim_by_key.popitem(last=False)

    def _remember_withdrawal(self, store_key: str, record: ClaimRecord) -> None:
        self._pending_withdrawal_by_key[store_key] = record
        if len(self._pending_withdrawal_by_key) > MAX_PENDING_WITHDRAWALS:
            self._pending_withdrawal_by_key.popitem(last=False)
