"""Seeds in the store: control addresses to join at, which readers register under a lease."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import structlog

from jaypost.records import Address
from jaypost.settings import parse_address
from jaypost.store import (
    DeleteOutcome,
    GrantOutcome,
    LeaseGranted,
    LeaseHeld,
    Listed,
    ListOutcome,
    PutOutcome,
    RenewOutcome,
    Stored,
    StoreFailed,
)

log = structlog.get_logger(__name__)

SEED_PREFIX = "seeds/"
SEED_LEASE_TTL_S = 60.0


class SeedStore(Protocol):
    """The calls of `StoreClient` that this module uses."""

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key."""
        ...

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key."""
        ...

    async def list(self, prefix: str, allow_stale: bool = False) -> ListOutcome:
        """Read all keys that start with a prefix, perhaps as they were some seconds ago."""
        ...

    async def grant_lease(self, ttl_s: float) -> GrantOutcome:
        """Create a lease."""
        ...

    async def renew_lease(self, lease_id: str) -> RenewOutcome:
        """Extend a lease."""
        ...


@dataclass(frozen=True, slots=True)
class Seed:
    """A node to join at; `failure_domain` and `region` are empty when they are not known."""

    failure_domain: str
    address: Address
    region: str = ""


class SeedDirectory(Protocol):
    """The seeds as gossip uses them; `StoreSeeds` implements this on the store."""

    async def read(self, allow_stale: bool = False) -> tuple[Seed, ...] | None:
        """Return the seeds, or None when the store is not available.

        With `allow_stale`, which is cheaper, these are perhaps the seeds of some seconds ago.
        """

    async def register(self, address: Address) -> bool:
        """Register the own seed or renew its lease; tell whether it is registered."""

    async def unregister(self) -> None:
        """Delete the own seed."""


class StoreSeeds:
    """Reads the seeds in the store, and registers the seed of the own node there under a lease.

    Parameters
    ----------
    store : SeedStore
        Client of the store.
    failure_domain, node_id : str
        Failure domain and identifier of the own node.
    region : str
        Region of the own node, written with its seed.
    """

    def __init__(
        self, store: SeedStore, failure_domain: str, node_id: str, region: str = ""
    ) -> None:
        self._store = store
        self._region = region
        self._key = f"{SEED_PREFIX}{failure_domain}/{node_id}"
        self._lease_id: str | None = None

    async def read(self, allow_stale: bool = False) -> tuple[Seed, ...] | None:
        """Return the well-formed seeds in the store, or None when it is not available."""
        listed = await self._store.list(SEED_PREFIX, allow_stale)
        if not isinstance(listed, Listed):
            return None
        seeds = []
        for entry in listed.entries:
            domain = entry.key.removeprefix(SEED_PREFIX).rpartition("/")[0]
            try:
                text, _, region = entry.value.decode().partition(" ")
                address = parse_address(text)
                if not address.port:
                    raise ValueError("port must not be 0")
                seeds.append(Seed(domain, address, region))
            except ValueError as error:
                log.warning("seed_malformed", key=entry.key, error=str(error))
        return tuple(seeds)

    async def register(self, address: Address) -> bool:
        """Register the own seed or renew its lease; tell whether it is registered."""
        if self._lease_id is not None:
            renewed = await self._store.renew_lease(self._lease_id)
            if isinstance(renewed, LeaseHeld):
                return True
            if isinstance(renewed, StoreFailed):
                return False
            self._lease_id = None  # the lease expired, so the store deleted the seed
        granted = await self._store.grant_lease(SEED_LEASE_TTL_S)
        if not isinstance(granted, LeaseGranted):
            return False
        value = f"{address} {self._region}".strip().encode()
        stored = await self._store.put(self._key, value, None, granted.lease_id)
        if not isinstance(stored, Stored):
            return False
        self._lease_id = granted.lease_id
        return True

    def forget_lease(self) -> None:
        """Register again the next time: the store has come back from an older copy."""
        self._lease_id = None

    async def unregister(self) -> None:
        """Delete the own seed, if this node has registered it."""
        if self._lease_id is not None:
            self._lease_id = None
            await self._store.delete(self._key, None)
