"""Guards against departures that are lost when the process that acknowledged them ends (P7).

P7 is the rule that a target gets no request later than a few seconds after it announced that it
drains; see `bench.chaos_checks`.
"""

from __future__ import annotations

import asyncio

import pytest

from jaypost import departures as d
from jaypost.announcements import Departure
from jaypost.store import Effect, Found, LeaseGranted, Missing, Stored, StoreFailed

DEPARTURES = (Departure("t1", 5), Departure("t2", 7))
DOWN = StoreFailed("down", Effect.NONE)


class FakeStore:
    def __init__(self):
        self.value_by_key = {}
        self.down = False
        self.unresponsive = False
        self.writes = 0

    async def get(self, key):
        if self.down:
            return DOWN
        value = self.value_by_key.get(key)
        return Missing() if value is None else Found(value, 1)

    async def put(self, key, value, if_revision, lease_id=None):
        if self.unresponsive:
            await asyncio.sleep(60)
        if self.down:
            return DOWN
        self.writes += 1
        self.value_by_key[key] = value
        return Stored(self.writes)

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


@pytest.mark.parametrize("value", [b"", b"{", b'[{"target_id":1}]', b"\xff"])
async def test_a_damaged_value_loads_as_no_departures(value):
    """Guards against a damaged value in the store that makes the start of the node fail."""
    store = FakeStore()
    store.value_by_key[f"{d.DEPARTURE_PREFIX}n1"] = value
    assert await d.Departures(store, "n1", FakePeers()).load() == ()
