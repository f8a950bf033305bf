"""A store that comes back from an older copy of its contents."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest
from kv_store import KvStore

from jaypost import table
from jaypost.allotments.divider import FIRST_TERM_KEY, Divider
from jaypost.allotments.shares import Limit
from jaypost.config import ConfigHolder
from jaypost.departures import Departures
from jaypost.readers import TableReader, TableSource
from jaypost.records import Address, Departure, Row, Table
from jaypost.seeds import StoreSeeds
from jaypost.store import Found, PrefixRead, Stored, Unchanged
from standins.platform_store import PlatformStoreServer
from tests.gossip_fleet import make_settings

KEY = "op/document"


@pytest.fixture
async def server() -> AsyncIterator[PlatformStoreServer]:
    built = PlatformStoreServer(Address("127.0.0.1", 0))
    await built.start()
    yield built
    await built.close()


@pytest.fixture
async def client(server: PlatformStoreServer) -> AsyncIterator[KvStore]:
    built = KvStore(server.address, 5.0)
    await built.start()
    yield built
    await built.close()


def decode(data: bytes) -> Table:
    version = int(data)
    return table.make_table(version, {"a": Row("a", queue_limit=version)})


def make_reader(client: KvStore, holder: ConfigHolder) -> TableReader:
    async def replicate() -> bool:
        return True

    return TableReader(
        client,
        holder,
        replicate,
        lambda: 0,
        make_settings("n", "d", "r"),
        store_era=lambda: client.era,
        source=TableSource(KEY, decode),
        rng=random.Random(1),
    )


@pytest.mark.parametrize("other_writes", [0, 1, 50])
@pytest.mark.parametrize("lost_versions", [0, 1, 2])
async def test_version_that_is_written_again_is_read(
    server: PlatformStoreServer, client: KvStore, lost_versions: int, other_writes: int
) -> None:
    """Guards against a reader that waits for a revision which the store has lost (CONFIG)."""
    holder = ConfigHolder(make_settings("n", "d", "r"), "n")
    reader = make_reader(client, holder)
    copies = []
    for version in range(1, 6):
        await server.write(KEY, b"%d" % version)
        copies.append(server.core.copy())
        await reader._read(0.05)
        await reader.replicate_and_activate()
    assert holder.in_force_version == 5
    await server.restore(copies[-1 - lost_versions])
    for _ in range(3):
        await reader._read(0.05)
    assert holder.in_force_version == 5, "no host returns to an older table"
    for number in range(other_writes):
        await server.write(f"other/{number}", b"")
    await server.write(KEY, b"5")
    await server.write(KEY, b"6")
    for _ in range(3):
        await reader._read(0.05)
        await reader.replicate_and_activate()
    assert holder.in_force_version == 6


async def test_orders_are_read_again_in_a_new_era(
    server: PlatformStoreServer, client: KvStore
) -> None:
    """Guards against an order that is missed because its revision is lower than a known one."""
    copied = server.core.copy()
    await server.write("op/orders/a", b"1")
    read = await client.watch_prefix("op/orders/", 0, 1.0)
    assert isinstance(read, PrefixRead) and len(read.entries) == 1
    await server.restore(copied)
    assert isinstance(await client.watch_prefix("op/orders/", read.revision, 0.02), Unchanged)
    await client.get(KEY)  # the response tells the new era
    assert client.era == 2
    again = await client.watch_prefix("op/orders/", read.revision, 1.0)
    assert isinstance(again, PrefixRead) and again.entries == ()


async def test_late_response_of_an_earlier_era_changes_nothing(
    server: PlatformStoreServer, client: KvStore
) -> None:
    eras: list[int] = []
    client.on_era_changed = eras.append
    await client.get(KEY)
    await server.restore(server.core.copy())
    await client.get(KEY)
    server.era = 1
    await client.get(KEY)
    assert (client.era, eras) == (2, [2])


@pytest.mark.parametrize("lost", [True, False], ids=["copy before the write", "copy after it"])
async def test_owners_write_again_what_the_store_has_lost(
    server: PlatformStoreServer, client: KvStore, lost: bool
) -> None:
    """Guards against seeds, departures and the divider's key that stay lost, leases included."""
    copied = server.core.copy()
    seeds = StoreSeeds(client, "d", "n", "r")
    departures = Departures(client, "n", _unreachable)
    terms: list[int] = []
    divider = Divider(
        "n",
        client,
        lambda: True,
        lambda: True,
        lambda: {"w": Limit(1.0, 1.0, 1.0)},
        lambda: (),
        terms.append,
    )
    assert await seeds.register(Address("10.0.0.1", 7))
    assert await departures.persist((Departure("t", 1),))
    await divider._claim()
    if not lost:
        copied = server.core.copy()
    await server.restore(copied)
    left = [entry.key for entry in server.core.list("")]
    assert left == ([] if lost else [FIRST_TERM_KEY]), "keys under a lease are gone with it"
    await client.get(KEY)
    seeds.forget_lease()
    departures.forget_kept()
    divider.forget_lease()
    assert await seeds.register(Address("10.0.0.1", 7))
    assert await departures.persist((Departure("t", 1),))
    await divider._claim()
    assert len(server.core.list("")) == 4
    assert terms[1] == 0 and terms[0] and terms[2]


async def test_table_reader_continues_without_eras(
    server: PlatformStoreServer, client: KvStore
) -> None:
    """Guards against a store that tells no era, as earlier deployments have it."""
    server.era_header = "X-Other"
    stored = await client.put(KEY, b"1", None)
    assert isinstance(stored, Stored) and client.era == 0
    assert isinstance(await client.watch(KEY, 0, 0.05), Found)


async def _unreachable() -> bool:
    await asyncio.sleep(0)
    return False
