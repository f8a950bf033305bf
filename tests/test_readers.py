"""Guards against versions in force before they are replicated and a store read in a tight loop."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import replace

import pytest
from test_config import LOADED, TABLES

from jaypost import layout, readers, table
from jaypost.config import ConfigHolder, OfferDeltas, OfferTable
from jaypost.readers import HeadRead, NothingNew, ReadFailed, TableReader, TableSource
from jaypost.records import Address, Head, Row, RowChange
from jaypost.store import Effect, Found, Missing, StoreFailed, Unchanged
from jaypost.store_client import StoreClient
from jaypost.writers import Accepted, TableEdit, TableWriter
from standins.store import Faults, StoreServer

# Short waits keep the tests fast. No test asserts an upper bound on elapsed time.
SETTINGS = replace(
    LOADED.settings, store_backoff_min_s=0.01, store_backoff_max_s=0.05, watch_wait_s=0.2
)


class Node:
    """A `TableReader` and its holder; the test sets whether replication succeeds."""

    def __init__(self, store, is_reader=True, **options):
        self.holder = ConfigHolder(SETTINGS, "n1")
        self.replication_succeeds = True
        self.is_reader = is_reader
        self.replicated = []
        self.reader = TableReader(
            store,
            self.holder,
            self.replicate,
            lambda: 0 if self.is_reader else None,
            SETTINGS,
            rng=random.Random(1),
            **options,
        )

    async def replicate(self):
        self.replicated.append((self.holder.held_version, self.holder.in_force_version))
        return self.replication_succeeds


async def wait_until(condition):
    for _ in range(4000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not become true within 20 s")


@contextlib.asynccontextmanager
async def running_reader(**writer_options):
    server = StoreServer(Address("127.0.0.1", 0))
    await server.start()
    client = StoreClient(server.address, 5)
    await client.start()
    node = Node(client)
    node.reader.start()
    try:
        yield server, TableWriter(client, **writer_options), node
    finally:
        await node.reader.close()
        # Closing again has no effect.
        await node.reader.close()
        await client.close()
        await server.close()


async def change(writer, number):
    base = await writer.read()
    edit = TableEdit(base, (RowChange("a", Row("a", queue_limit=number)),))
    assert await writer.change(edit, "op", "", f"id{number}") == Accepted(number)


async def test_each_version_is_replicated_before_it_is_in_force():
    async with running_reader(max_head_deltas=2) as (_, writer, node):
        for number in range(1, 6):
            await change(writer, number)
            await wait_until(lambda number=number: node.holder.in_force_version == number)
        assert node.replicated == [(number, number - 1) for number in range(1, 6)]
        assert node.reader.head_read and node.reader.last_contact is not None


async def test_version_waits_for_an_acknowledgement_and_newer_ones_replace_it():
    async with running_reader() as (_, writer, node):
        node.replication_succeeds = False
        await change(writer, 1)
        await wait_until(lambda: len(node.replicated) >= 3)
        await change(writer, 2)
        await wait_until(lambda: node.replicated[-1] == (2, 0))
        assert node.holder.snapshot.version == 0
        node.is_reader = False
        node.replication_succeeds = True
        await wait_until(lambda: node.holder.in_force_version == 2)


async def test_reader_that_missed_a_compaction_reads_the_snapshot():
    async with running_reader(max_head_deltas=1) as (_, writer, node):
        node.is_reader = False
        await change(writer, 1)
        await asyncio.sleep(0.5)
        for number in range(2, 6):
            await change(writer, number)
        node.is_reader = True
        await wait_until(lambda: node.holder.in_force_version == 5)
        assert node.holder.held_table == await writer.read()


async def test_reader_resumes_after_an_outage_and_stops_watching_when_it_is_no_reader():
    async with running_reader() as (server, writer, node):
        await change(writer, 1)
        await wait_until(lambda: node.holder.in_force_version == 1)
        await server.set_faults(Faults(down=True))
        await asyncio.sleep(0.3)
        contact = node.reader.last_contact
        await asyncio.sleep(0.2)
        assert node.reader.last_contact == contact
        assert node.holder.in_force_version == 1
        await server.set_faults(Faults())
        await change(writer, 2)
        await wait_until(lambda: node.holder.in_force_version == 2)

        node.is_reader = False
        await asyncio.sleep(0.5)
        watches = server.calls_by_kind["watch"]
        await asyncio.sleep(0.5)
        assert server.calls_by_kind["watch"] == watches


async def test_reader_continues_after_an_exception_in_replicate():
    async with running_reader() as (_, writer, node):
        results = iter([ValueError("fault"), True])

        async def replicate():
            result = next(results)
            if isinstance(result, Exception):
                raise result
            return result

        node.reader._replicate = replicate
        await change(writer, 1)
        await wait_until(lambda: node.holder.in_force_version == 1)


class FixedStore:
    """Returns `watched` from every watch, without waiting, and `value_by_key` from other reads."""

    def __init__(self, watched, value_by_key=None):
        self.watched = watched
        self.value_by_key = value_by_key or {}
        self.watches = 0

    async def watch(self, key, after_revision, wait_s):
        self.watches += 1
        return self.watched

    async def get(self, key):
        value = self.value_by_key.get(key)
        return Missing() if value is None else Found(value, 1)


EMPTY = table.EMPTY_TABLE
NO_SNAPSHOT = Head(3, "0" * 32, 3, ())
WRONG_DIGEST = Head(2, "0" * 32, 2, ())
CASES_WITHOUT_PROGRESS = {
    "store fails": (FixedStore(StoreFailed("down", Effect.NONE)), True),
    "watch does not wait": (FixedStore(Unchanged(0)), True),
    "same head again": (FixedStore(Found(table.encode(Head(0, EMPTY.digest, 0, ())), 7)), True),
    "store went back": (FixedStore(Unchanged(-1)), True),
    "undecodable head": (FixedStore(Found(b"x", 7)), True),
    "missing deltas": (FixedStore(Found(table.encode(Head(4, "", 1, ())), 7)), True),
    "no snapshot": (FixedStore(Found(table.encode(NO_SNAPSHOT), 7)), True),
    "wrong digest": (
        FixedStore(
            Found(table.encode(WRONG_DIGEST), 7),
            {layout.snapshot_key(2): table.encode(TABLES[2])},
        ),
        True,
    ),
    "not acknowledged": (
        FixedStore(
            Found(table.encode(Head(2, TABLES[2].digest, 2, ())), 7),
            {layout.snapshot_key(2): table.encode(TABLES[2])},
        ),
        False,
    ),
}


@pytest.mark.parametrize(
    ("store", "replication_succeeds"), CASES_WITHOUT_PROGRESS.values(), ids=CASES_WITHOUT_PROGRESS
)
async def test_reader_backs_off_when_reads_make_no_progress(store, replication_succeeds):
    now, sleeps, enough = 0.0, [], asyncio.Event()

    async def sleep(delay_s):
        nonlocal now
        now += delay_s
        sleeps.append(delay_s)
        if len(sleeps) >= 200:
            enough.set()
            await asyncio.Event().wait()

    node = Node(store, sleep=sleep, clock=lambda: now)
    node.replication_succeeds = replication_succeeds
    node.reader.start()
    async with asyncio.timeout(20):
        await enough.wait()
    await node.reader.close()
    assert store.watches <= len(sleeps)
    assert now >= 200 * SETTINGS.store_backoff_min_s
    assert max(sleeps) <= SETTINGS.store_backoff_max_s
    assert len(set(sleeps)) > 100, "delays must be jittered"
    assert node.holder.in_force_version == 0


async def test_damaged_snapshot_is_read_again_after_the_retry_delay():
    now, done = 0.0, asyncio.Event()

    class StoreWithWaitingWatch(FixedStore):
        gets = 0

        async def watch(self, key, after_revision, wait_s):
            nonlocal now
            now += wait_s
            await asyncio.sleep(0)
            return self.watched if self.watched.revision > after_revision else Unchanged(7)

        async def get(self, key):
            self.gets += 1
            return Missing()

    async def sleep(delay_s):
        nonlocal now
        now += delay_s
        # Ten retry delays of 30 s have passed.
        if now > 305:
            done.set()
            await asyncio.Event().wait()

    store = StoreWithWaitingWatch(Found(table.encode(NO_SNAPSHOT), 7))
    node = Node(store, sleep=sleep, clock=lambda: now)
    node.reader.start()
    async with asyncio.timeout(20):
        await done.wait()
    await node.reader.close()
    assert 5 <= store.gets <= 11


async def test_node_that_is_not_a_reader_neither_watches_nor_replicates():
    store, checks, enough = FixedStore(Unchanged(0)), [], asyncio.Event()

    async def sleep(delay_s):
        checks.append(delay_s)
        if len(checks) >= 5:
            enough.set()
        await asyncio.sleep(0)

    node = Node(store, is_reader=False, sleep=sleep)
    node.holder.offer(OfferTable(TABLES[2]), activate=False)
    node.reader.start()
    async with asyncio.timeout(20):
        await enough.wait()
    await node.reader.close()
    assert store.watches == 0 and node.replicated == []


async def test_valid_version_after_a_damaged_one_comes_into_force():
    good = table.encode(Head(2, TABLES[2].digest, 2, ()))
    store = FixedStore(Found(b"x", 7), {layout.snapshot_key(2): table.encode(TABLES[2])})
    node = Node(store)
    assert isinstance(await node.reader.read_once(), ReadFailed)
    assert not node.reader.head_read
    store.watched = Found(good, 8)
    assert await node.reader.read_once() == HeadRead(2)
    assert node.reader.head_read
    assert node.holder.in_force_version == 2


@pytest.mark.parametrize(
    ("watched", "head_read"),
    [(Unchanged(0), True), (Missing(), True), (StoreFailed("down", Effect.NONE), False)],
)
async def test_head_read_is_set_once_the_store_has_answered(watched, head_read):
    node = Node(FixedStore(watched))
    outcome = await node.reader.read_once()
    assert isinstance(outcome, NothingNew if head_read else ReadFailed)
    assert node.reader.head_read is head_read


async def test_store_that_lost_versions_does_not_revert_the_version_in_force():
    old = table.encode(Head(1, TABLES[1].digest, 1, ()))
    node = Node(FixedStore(Found(old, 1), {layout.snapshot_key(1): table.encode(TABLES[1])}))
    node.holder.offer(OfferTable(TABLES[2]))
    assert await node.reader.read_once() == HeadRead(1)
    assert node.holder.in_force_version == 2


def decode_whole_version(value):
    """Decode the number of a version to a whole table; the numbers may skip values."""
    if not value.isdigit():
        return table.DecodeFailure("not a number")
    number = int(value)
    return table.make_table(number, {"a": Row("a", queue_limit=number), "b": Row("b")})


async def test_whole_versions_are_offered_as_deltas_between_them():
    """Guards against whole tables being sent to all nodes and versions having to be consecutive."""
    server = StoreServer(Address("127.0.0.1", 0))
    await server.start()
    client = StoreClient(server.address, 5)
    await client.start()
    holder = ConfigHolder(SETTINGS, "n1")

    async def replicate():
        return True

    reader = TableReader(
        client,
        holder,
        replicate,
        lambda: 0,
        SETTINGS,
        source=TableSource("doc", decode_whole_version),
    )
    for version in (3, 7, 12):
        await client.put("doc", str(version).encode(), None)
        assert await reader.read_once() == HeadRead(version)
        assert holder.in_force_version == version
    await client.put("doc", b"damaged", None)
    assert isinstance(await reader.read_once(), ReadFailed)
    await client.put("doc", b"5", None)
    await reader.read_once()
    assert holder.in_force_version == 12
    first, second = holder.deltas_since(3)
    assert [first.base_version, first.version, second.version] == [3, 7, 12]
    assert [change.service for change in second.rows] == ["a"]
    for version_held in (0, 5):  # the first holder skipped version 5
        behind = ConfigHolder(SETTINGS, "n2")
        behind.offer(OfferTable(decode_whole_version(str(version_held).encode())))
        behind.offer(OfferDeltas(holder.deltas_since(version_held)))
        assert behind.in_force_version == 12
        assert behind.held_table == holder.held_table
    await client.close()
    await server.close()


async def test_node_that_is_a_reader_for_a_moment_does_not_read_the_store():
    """Many nodes start: each is among the readers until it knows enough of the others."""
    async with running_reader() as (server, writer, node):
        await change(writer, 1)
        await wait_until(lambda: node.holder.in_force_version == 1)
        node.is_reader = False
        await asyncio.sleep(readers.ROLE_CHECK_INTERVAL_S + 2 * SETTINGS.watch_wait_s)
        calls = server.calls_by_kind["watch"]
        node.is_reader = True
        await asyncio.sleep(readers.ROLE_CHECK_INTERVAL_S + 0.1)
        node.is_reader = False
        assert server.calls_by_kind["watch"] == calls
        node.is_reader = True
        await wait_until(lambda: server.calls_by_kind["watch"] > calls)


@pytest.mark.parametrize(
    ("watched", "newest"),
    [
        pytest.param([Unchanged(0)], True, id="nothing in the store"),
        pytest.param([Found(b"1", 1)], True, id="a version"),
        pytest.param([Found(b"1", 1), Found(b"2", 2)], True, id="two versions"),
        pytest.param([StoreFailed("down", Effect.NONE)], False, id="no answer"),
        pytest.param([Found(b"damaged", 1)], False, id="a damaged version"),
        pytest.param([Found(b"damaged", 1), Unchanged(1)], False, id="still damaged"),
        pytest.param([Found(b"damaged", 1), Found(b"1", 2)], True, id="repaired"),
    ],
)
async def test_node_knows_that_it_holds_the_newest_version_after_a_read(watched, newest):
    """Guards against a node that calls its version the newest although it cannot read a newer."""
    now = 0.0
    store = FixedStore(watched[0])
    source = TableSource("doc", decode_whole_version)
    node = Node(store, source=source, freshness_clock=lambda: now)
    for found in watched:
        now += 1.0
        store.watched = found
        await node.reader.read_once()
    assert node.reader.newest_at == (now if newest else None)
