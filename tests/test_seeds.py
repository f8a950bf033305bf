"""Seeds in the store, registered under a lease."""

from __future__ import annotations

from jaypost.records import Address
from jaypost.seeds import Seed, StoreSeeds
from jaypost.store import (
    Effect,
    LeaseExpired,
    LeaseGranted,
    LeaseHeld,
    Listed,
    Stored,
    StoreEntry,
    StoreFailed,
)

ADDRESS = Address("127.0.0.1", 7602)
OUTAGE = StoreFailed("timed out", Effect.UNKNOWN)


class FakeStore:
    """A store whose lease and availability the test controls."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self.leases: set[str] = set()
        self.granted = 0
        self.available = True

    async def put(self, key, value, if_revision, lease_id=None):
        if self.available:
            self.value_by_key[key] = value
        return Stored(1) if self.available else OUTAGE

    async def delete(self, key, if_revision):
        self.value_by_key.pop(key, None)

    async def list(self, prefix, allow_stale=False):
        entries = tuple(StoreEntry(key, 1, value) for key, value in self.value_by_key.items())
        return Listed(entries) if self.available else OUTAGE

    async def grant_lease(self, ttl_s):
        self.granted += self.available
        self.leases.add(str(self.granted))
        return LeaseGranted(str(self.granted)) if self.available else OUTAGE

    async def renew_lease(self, lease_id):
        if not self.available:
            return OUTAGE
        return LeaseHeld() if lease_id in self.leases else LeaseExpired()


async def test_seed_is_registered_renewed_and_unregistered() -> None:
    """Guards against a missing seed after its lease expired, and a seed that outlasts its reader.

    The store deletes the seed when its lease expires, so the reader must register the seed under a
    new lease.
    """
    store = FakeStore()
    seeds = StoreSeeds(store, "d1", "node", "addis")
    assert await seeds.register(ADDRESS) and await seeds.register(ADDRESS)
    assert store.granted == 1 and await seeds.read() == (Seed("d1", ADDRESS, "addis"),)
    store.value_by_key.clear()
    store.leases.clear()
    assert await seeds.register(ADDRESS) and store.granted == 2
    assert await seeds.read() == (Seed("d1", ADDRESS, "addis"),)
    await seeds.unregister()
    assert store.value_by_key == {}


async def test_outage_reads_as_none_and_malformed_seeds_are_skipped() -> None:
    """Guards against an outage that looks like an empty list, so that a node founds a fleet.

    A malformed seed is skipped and must not make the read fail.
    """
    store = FakeStore()
    seeds = StoreSeeds(store, "d1", "node")
    store.value_by_key["seeds/d1/other"] = b"nonsense"
    assert await seeds.read() == ()
    store.available = False
    assert await seeds.read() is None and not await seeds.register(ADDRESS)
    store.available = True
    assert await seeds.register(ADDRESS)
