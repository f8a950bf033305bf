"""Control addresses to join at: from the settings and, kept under a lease by readers, the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol, runtime_checkable

import structlog

from jaypost.records import Address
from jaypost.settings import parse_address

log = structlog.get_logger(__name__)

SEED_PREFIX = "seeds/"
SEED_LEASE_S = 60.0


class SeedStore(Protocol):
    """The methods of `StoreClient` that this module uses."""

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: Any = None
    ) -> object:
        """Write a value."""

    async def delete(self, key: str, if_revision: int | None) -> object:
        """Delete a value."""

    async def list(self, prefix: str) -> object:
        """Read all entries below a prefix."""

    async def grant_lease(self, ttl_s: float) -> object:
        """Create a lease."""

    async def renew_lease(self, lease_id: Any) -> object:
        """Extend a lease."""


@runtime_checkable
class _Granted(Protocol):
    lease_id: Any


@runtime_checkable
class _Listed(Protocol):
    entries: Any


@runtime_checkable
class _Failure(Protocol):
    reason: Any
    effect: Any


@dataclass(frozen=True, slots=True)
class Seed:
    """A node that can be joined."""

    failure_domain: str
    address: Address


class SeedDirectory(Protocol):
    """The seeds as gossip uses them; `StoreSeeds` keeps them in the store."""

    async def read(self) -> tuple[Seed, ...] | None:
        """Return the seeds, or None when the store is not available."""

    async def keep(self, address: Address) -> bool:
        """Keep the own seed in the store."""

    async def withdraw(self) -> None:
        """Delete the own seed."""


class StoreSeeds:
    """Reads the seeds of the store, and keeps the own one there while the node is a reader.

    Parameters
    ----------
    store : SeedStore
        Client of the store.
    failure_domain, node_id : str
        The own node.
    """

    def __init__(self, store: SeedStore, failure_domain: str, node_id: str) -> None:
        self._store = store
        self._key = f"{SEED_PREFIX}{failure_domain}/{node_id}"
        self._lease_id: Any = None

    async def read(self) -> tuple[Seed, ...] | None:
        """Return the seeds of the store, or None when it is not available."""
        listed = await self._store.list(SEED_PREFIX)
        if not isinstance(listed, _Listed):
            return None
        seeds = []
        for entry in listed.entries:
            domain = entry.key.removeprefix(SEED_PREFIX).rpartition("/")[0]
            try:
                seeds.append(Seed(domain, parse_address(bytes(entry.value).decode())))
            except ValueError as error:
                log.warning("seed_malformed", key=entry.key, error=str(error))
        return tuple(seeds)

    async def keep(self, address: Address) -> bool:
        """Write the own seed, or renew its lease; tell whether it is in the store."""
        if self._lease_id is not None:
            renewed = await self._store.renew_lease(self._lease_id)
            if isinstance(renewed, _Granted):
                return True
            if isinstance(renewed, _Failure):
                return False
            self._lease_id = None  # the lease expired, and the seed with it
        granted = await self._store.grant_lease(SEED_LEASE_S)
        if not isinstance(granted, _Granted):
            return False
        stored = await self._store.put(self._key, str(address).encode(), None, granted.lease_id)
        if isinstance(stored, _Failure):
            return False
        self._lease_id = granted.lease_id
        return True

    async def withdraw(self) -> None:
        """Delete the own seed, if this node wrote it."""
        if self._lease_id is not None:
            self._lease_id = None
            await self._store.delete(self._key, None)
