"""Guards against versions used before they are replicated and against a store read in a loop."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import replace

import pytest
from test_config import LOADED, TABLES

from jaypost import layout, table
from jaypost.config import ConfigHolder, OfferDeltas, OfferTable
from jaypost.readers import NothingNew, ReadFailed, ReadHead, TableReader, TableSource
from jaypost.records import Address, Head, Row, RowChange
from jaypost.store import Effect, Found, Missing, StoreFailed, Unchanged
from jaypost.store_client import StoreClient
from jaypost.writers import Accepted, TableEdit, TableWriter
from standins.store import Faults, StoreServer

# Short waits keep the tests fast; none of them asserts an upper bound on time.
SETTINGS = replace(
    LOADED.settings, store_backoff_min_s=0.01, store_backoff_max_s=0.05, watch_wait_s=0.2
)


class Node:
    """A reader with a scripted replication."""

    def __init__(self, store, reading=True, **options):
        self.holder = ConfigHolder(SETTINGS, "n1")
        self.acknowledges = True
        self.reading = reading
        self.replicated = []
        self.reader = TableReader(
            store,
            self.holder,
            self.replicate,
            lambda: self.reading,
            SETTINGS,
            rng=random.Random(1),
            **options,
        )

    async def replicate(self):
        self.replicated.append((self.holder.held_version, self.holder.in_force_version))
        return self.acknowledges


async def until(condition):
    for _ in range(4000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not become true within 20 s")


@contextlib.asynccontextmanager
async def running(**writer_options):
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
        await node.reader.close()
        await client.close()
        await server.close()


async def change(writer, number):
    base = await writer.read()
    edit = TableEdit(base, (RowChange("a", Row("a", queue_limit=number)),))
    assert await writer.change(edit, "op", "", f"id{number}") == Accepted(number)


async def test_each_version_is_replicated_before_it_is_in_force():
    async with running(max_deltas=2) as (_, writer, node):
        for number in range(1, 6):
            await change(writer, number)
            await until(lambda number=number: node.holder.in_force_version == number)
        assert node.replicated == [(number, number - 1) for number in range(1, 6)]
        assert node.reader.head_read and node.reader.last_contact is not None


async def test_version_waits_for_an_acknowledgement_and_newer_ones_replace_it():
    async with running() as (_, writer, node):
        node.acknowledges = False
        await change(writer, 1)
        await until(lambda: len(node.replicated) >= 3)
        await change(writer, 2)
        await until(lambda: node.replicated[-1] == (2, 0))
        assert node.holder.snapshot.version == 0
        node.reading = False
        node.acknowledges = True
        await until(lambda: node.holder.in_force_version == 2)


async def test_reader_that_missed_a_fold_reads_the_snapshot():
    async with running(max_deltas=1) as (_, writer, node):
        node.reading = False
        await change(writer, 1)
        await asyncio.sleep(0.5)
        for number in range(2, 6):
            await change(writer, number)
        node.reading = True
        await until(lambda: node.holder.in_force_version == 5)
        assert node.holder.held_table == await writer.read()


async def test_only_readers_watch_and_outages_end():
    async with running() as (server, writer, node):
        await change(writer, 1)
        await until(lambda: node.holder.in_force_version == 1)
        await server.set_faults(Faults(down=True))
        await asyncio.sleep(0.3)
        contact = node.reader.last_contact
        await asyncio.sleep(0.2)
        assert node.reader.last_contact == contact
        assert node.holder.in_force_version == 1
        await server.set_faults(Faults())
        await change(writer, 2)
        await until(lambda: node.holder.in_force_version == 2)

        node.reading = False
        await asyncio.sleep(0.5)
        watches = server.calls_by_kind["watch"]
        await asyncio.sleep(0.5)
        assert server.calls_by_kind["watch"] == watches


async def test_reader_outlives_a_fault_of_its_callbacks():
    async with running() as (_, writer, node):
        answers = iter([ValueError("fault"), True])

        async def replicate():
            answer = next(answers)
            if isinstance(answer, Exception):
                raise answer
            return answer

        node.reader._replicate = replicate
        await change(writer, 1)
        await until(lambda: node.holder.in_force_version == 1)


class FixedStore:
    """Answers each read at once: watches from `watched`, other reads from `value_by_key`."""

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
ENDLESS = {
    "failing": (FixedStore(StoreFailed("down", Effect.NONE)), True),
    "not waiting": (FixedStore(Unchanged(0)), True),
    "same head again": (FixedStore(Found(table.encode(Head(0, EMPTY.digest, 0, ())), 7)), True),
    "gone back": (FixedStore(Unchanged(-1)), True),
    "undecodable head": (FixedStore(Found(b"x", 7)), True),
    "broken chain": (FixedStore(Found(table.encode(Head(4, "", 1, ())), 7)), True),
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


@pytest.mark.parametrize(("store", "acknowledges"), ENDLESS.values(), ids=ENDLESS)
async def test_no_answer_makes_the_reader_loop_without_pause(store, acknowledges):
    now, sleeps, enough = 0.0, [], asyncio.Event()

    async def sleep(delay_s):
        nonlocal now
        now += delay_s
        sleeps.append(delay_s)
        if len(sleeps) >= 200:
            enough.set()
            await asyncio.Event().wait()

    node = Node(store, sleep=sleep, clock=lambda: now)
    node.acknowledges = acknowledges
    node.reader.start()
    async with asyncio.timeout(20):
        await enough.wait()
    await node.reader.close()
    assert store.watches <= len(sleeps)
    assert now >= 200 * SETTINGS.store_backoff_min_s
    assert max(sleeps) <= SETTINGS.store_backoff_max_s
    assert len(set(sleeps)) > 100, "delays must be jittered"
    assert node.holder.in_force_version == 0


async def test_damaged_snapshot_is_read_again_only_now_and_then():
    now, done = 0.0, asyncio.Event()

    class QuietStore(FixedStore):
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
        if now > 305:
            done.set()
            await asyncio.Event().wait()

    store = QuietStore(Found(table.encode(NO_SNAPSHOT), 7))
    node = Node(store, sleep=sleep, clock=lambda: now)
    node.reader.start()
    async with asyncio.timeout(20):
        await done.wait()
    await node.reader.close()
    assert 5 <= store.gets <= 11


async def test_node_that_is_no_reader_neither_watches_nor_replicates():
    store, checks, enough = FixedStore(Unchanged(0)), [], asyncio.Event()

    async def sleep(delay_s):
        checks.append(delay_s)
        if len(checks) >= 5:
            enough.set()
        await asyncio.sleep(0)

    node = Node(store, reading=False, sleep=sleep)
    node.holder.offer(OfferTable(TABLES[2]), activate=False)
    node.reader.start()
    async with asyncio.timeout(20):
        await enough.wait()
    await node.reader.close()
    assert store.watches == 0 and node.replicated == []


async def test_good_version_follows_a_damaged_one():
    good = table.encode(Head(2, TABLES[2].digest, 2, ()))
    store = FixedStore(Found(b"x", 7), {layout.snapshot_key(2): table.encode(TABLES[2])})
    node = Node(store)
    assert isinstance(await node.reader.read_once(), ReadFailed)
    assert not node.reader.head_read
    store.watched = Found(good, 8)
    assert await node.reader.read_once() == ReadHead(2)
    assert node.reader.head_read
    assert node.holder.in_force_version == 2


@pytest.mark.parametrize(
    ("watched", "head_read"),
    [(Unchanged(0), True), (Missing(), True), (StoreFailed("down", Effect.NONE), False)],
)
async def test_starting_node_knows_whether_it_has_read_the_head(watched, head_read):
    node = Node(FixedStore(watched))
    outcome = await node.reader.read_once()
    assert isinstance(outcome, NothingNew if head_read else ReadFailed)
    assert node.reader.head_read is head_read


async def test_store_that_lost_versions_does_not_take_the_node_back():
    old = table.encode(Head(1, TABLES[1].digest, 1, ()))
    node = Node(FixedStore(Found(old, 1), {layout.snapshot_key(1): table.encode(TABLES[1])}))
    node.holder.offer(OfferTable(TABLES[2]))
    assert await node.reader.read_once() == ReadHead(1)
    assert node.holder.in_force_version == 2


def whole_version(value):
    """Decode a source that only tells whole versions, whose numbers rise in uneven steps."""
    if not value.isdigit():
        return table.Undecodable("not a number")
    number = int(value)
    return table.make_table(number, {"a": Row("a", queue_limit=number), "b": Row("b")})


async def test_whole_versions_become_deltas_between_them():
    """Guards against whole tables for every node, and versions that must follow one another."""
    server = StoreServer(Address("127.0.0.1", 0))
    await server.start()
    client = StoreClient(server.address, 5)
    await client.start()
    holder = ConfigHolder(SETTINGS, "n1")

    async def replicate():
        return True

    reader = TableReader(
        client, holder, replicate, lambda: True, SETTINGS, source=TableSource("doc", whole_version)
    )
    for version in (3, 7, 12):
        await client.put("doc", str(version).encode(), None)
        assert await reader.read_once() == ReadHead(version)
        assert holder.in_force_version == version
    await client.put("doc", b"damaged", None)
    assert isinstance(await reader.read_once(), ReadFailed)
    await client.put("doc", b"5", None)
    await reader.read_once()
    assert holder.in_force_version == 12
    first, second = holder.deltas_since(3)
    assert [first.base_version, first.version, second.version] == [3, 7, 12]
    assert [change.service for change in second.rows] == ["a"]
    assert holder.deltas_since(5) is None
    behind = ConfigHolder(SETTINGS, "n2")
    behind.offer(OfferDeltas(holder.deltas_since(0)))
    assert behind.in_force_version == 12
    await client.close()
    await server.close()
