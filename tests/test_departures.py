"""Guards against departures that are lost when the process that acknowledged them ends (P7).

P7 is the rule that a target gets no request later than a few seconds after it announced that it
drains; see `bench.chaos_checks`.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from jaypost import departures as d
from jaypost.records import Departure
from jaypost.store import (
    Conflict,
    Effect,
    Found,
    LeaseGranted,
    Missing,
    Stored,
    StoreFailed,
)
from tests.harness import wait_until

DEPARTURES = (Departure("t1", 5), Departure("t2", 7))
DOWN = StoreFailed("down", Effect.NONE)


class FakeStore:
    def __init__(self):
        self.value_by_key = {}
        self.revision_by_key = {}
        self.down = False
        self.unresponsive = False
        self.writes = 0

    async def get(self, key):
        if self.down:
            return DOWN
        value = self.value_by_key.get(key)
        return Missing() if value is None else Found(value, self.revision_by_key.get(key, 1))

    async def put(self, key, value, if_revision, lease_id=None):
        if self.unresponsive:
            await asyncio.sleep(60)
        if self.down:
            return DOWN
        return self.apply(key, value, if_revision)

    def apply(self, key, value, if_revision):
        known = self.revision_by_key.get(key, 0)
        if if_revision not in (None, known):
            return Conflict(known)
        self.writes += 1
        self.value_by_key[key] = value
        self.revision_by_key[key] = self.writes
        return Stored(self.writes)

    def departures(self, node_id="n1"):
        value = self.value_by_key.get(f"{d.DEPARTURE_PREFIX}{node_id}")
        return (
            set() if value is None else set(msgspec.json.decode(value, type=tuple[Departure, ...]))
        )

    async def grant_lease(self, ttl_s):
        return DOWN if self.down else LeaseGranted("1")


class FakePeers:
    def __init__(self, acknowledges=True):
        self.acknowledges = acknowledges
        self.calls = 0

    async def __call__(self):
        self.calls += 1
        return self.acknowledges


@pytest.mark.parametrize(
    ("store_down", "peers", "kept"),
    [(False, False, True), (True, True, True), (False, True, True), (True, False, False)],
)
async def test_departures_are_kept_by_the_store_or_a_peer(store_down, peers, kept):
    """Guards against an acknowledgement without a copy, or one that needs both copies."""
    store = FakeStore()
    store.down = store_down
    assert await d.Departures(store, "n1", FakePeers(peers)).persist(DEPARTURES) is kept


async def test_a_restarted_node_loads_its_departures():
    """Guards against departures that are lost, read by another node or written again."""
    store = FakeStore()
    assert await d.Departures(store, "n1", FakePeers()).load() == ()
    assert await d.Departures(store, "n1", FakePeers(False)).persist(DEPARTURES)
    restarted = d.Departures(store, "n1", FakePeers(False))
    assert await restarted.load() == DEPARTURES
    assert await d.Departures(store, "n2", FakePeers()).load() == ()
    store.down = True
    assert await restarted.load() is None
    assert await restarted.persist(DEPARTURES[:1])


async def test_an_unresponsive_store_does_not_delay_a_copy_at_a_peer(monkeypatch):
    """Guards against a store that does not reply and so blocks the acknowledgement."""
    monkeypatch.setattr(d, "PERSIST_TIMEOUT_S", 0.2)
    store = FakeStore()
    store.unresponsive = True
    assert await d.Departures(store, "n1", FakePeers()).persist(DEPARTURES)
    assert not await d.Departures(store, "n1", FakePeers(False)).persist(DEPARTURES)


async def test_departures_that_are_kept_are_not_written_again():
    """Guards against a write to the store for each renewal of a draining target."""
    store, peers = FakeStore(), FakePeers()
    departures = d.Departures(store, "n1", peers)
    for _ in range(3):
        assert await departures.persist(DEPARTURES)
    assert store.writes == 1


async def test_departure_that_only_a_peer_keeps_is_written_when_the_store_is_back(monkeypatch):
    """Guards against a departure that is lost when the node restarts after an outage (P7)."""
    monkeypatch.setattr(d, "STORE_RETRY_S", 0.02)
    store = FakeStore()
    departures = d.Departures(store, "n1", FakePeers())
    departures.start()
    store.down = True
    assert await departures.persist(DEPARTURES[:1])
    assert await departures.persist(DEPARTURES)
    await asyncio.sleep(0.1)
    store.down = False
    await wait_until(lambda: store.departures() == set(DEPARTURES))
    assert await departures.persist(DEPARTURES)
    await asyncio.sleep(0.1)
    assert store.writes == 1
    await departures.close()


async def test_departure_that_comes_during_a_late_write_is_written_as_well(monkeypatch):
    """Guards against a repeated write that ends the repetition for a newer departure (P7)."""
    monkeypatch.setattr(d, "STORE_RETRY_S", 0.02)
    store = FakeStore()
    departures = d.Departures(store, "n1", FakePeers())
    departures.start()
    store.down = True
    assert await departures.persist(DEPARTURES[:1])
    put, written = store.put, asyncio.Event()

    async def put_while_another_departs(key, value, if_revision, lease_id=None):
        store.put = put
        store.down = True
        assert await departures.persist(DEPARTURES)
        store.down = False
        outcome = store.apply(key, value, if_revision)
        written.set()
        return outcome

    store.put, store.down = put_while_another_departs, False
    await written.wait()
    await wait_until(lambda: store.departures() == set(DEPARTURES))
    await departures.close()


async def test_store_that_knows_a_later_start_is_not_written_again_and_again(monkeypatch):
    """Guards against a write each second for a departure that the store has no need of."""
    monkeypatch.setattr(d, "STORE_RETRY_S", 0.02)
    store = FakeStore()
    assert await d.Departures(store, "n1", FakePeers(False)).persist((Departure("t1", 9),))
    departures = d.Departures(store, "n1", FakePeers())
    departures.start()
    assert await departures.persist((Departure("t1", 5),))
    await asyncio.sleep(0.2)
    assert store.writes <= 2
    assert store.departures() == {Departure("t1", 9)}
    await departures.close()


async def test_write_that_takes_effect_late_does_not_undo_a_later_one():
    """Guards against a store that loses a departure to a write which it carries out late (P7)."""
    store = FakeStore()
    departures = d.Departures(store, "n1", FakePeers())
    late = []

    async def put_later(key, value, if_revision, lease_id=None):
        late.append((key, value, if_revision))
        return StoreFailed("no reply", Effect.UNKNOWN)

    put, store.put = store.put, put_later
    assert await departures.persist(DEPARTURES[:1])
    store.put = put
    assert await departures.persist(DEPARTURES)
    store.apply(*late[0])
    assert store.departures() == set(DEPARTURES)


@pytest.mark.parametrize("is_read", [False, True])
async def test_departures_of_an_earlier_process_stay_in_the_store(is_read):
    """Guards against a restarted node that writes before it has read the earlier ones (P7)."""
    store = FakeStore()
    assert await d.Departures(store, "n1", FakePeers(False)).persist(DEPARTURES[:1])
    restarted = d.Departures(store, "n1", FakePeers(False))
    if is_read:
        assert await restarted.load() == DEPARTURES[:1]
    assert await restarted.persist(DEPARTURES[1:])
    assert store.departures() == set(DEPARTURES)
    later = (DEPARTURES[1], Departure("t1", 9))
    assert await restarted.persist(later)
    assert store.departures() == {Departure("t1", 9), DEPARTURES[1]}


async def test_number_of_stored_departures_is_bounded():
    """Guards against a value that grows with each restart."""
    store = FakeStore()
    for start in range(0, 200, 50):
        departures = tuple(Departure(f"t{i}", 5) for i in range(start, start + 50))
        assert await d.Departures(store, "n1", FakePeers(False)).persist(departures)
        assert len(store.departures()) <= d.MAX_STORED_DEPARTURES
        assert store.departures() >= set(departures)


@pytest.mark.parametrize("value", [b"", b"{", b'[{"target_id":1}]', b"\xff"])
async def test_a_damaged_value_loads_as_no_departures(value):
    """Guards against a damaged value in the store that makes the start of the node fail."""
    store = FakeStore()
    store.value_by_key[f"{d.DEPARTURE_PREFIX}n1"] = value
    assert await d.Departures(store, "n1", FakePeers()).load() == ()
