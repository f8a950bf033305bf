"""Guards against departures that end with the process which acknowledged them (P7)."""

from __future__ import annotations

import asyncio

import pytest

from jaypost import departures as d
from jaypost.announcements import Departure
from jaypost.store import Effect, Found, LeaseGranted, Missing, Stored, StoreFailed

LEFT = (Departure("t1", 5), Departure("t2", 7))
DOWN = StoreFailed("down", Effect.NONE)


class FakeStore:
    def __init__(self):
        self.value_by_key = {}
        self.down = False
        self.silent = False
        self.writes = 0

    async def get(self, key):
        if self.down:
            return DOWN
        value = self.value_by_key.get(key)
        return Missing() if value is None else Found(value, 1)

    async def put(self, key, value, if_revision, lease_id=None):
        if self.silent:
            await asyncio.sleep(60)
        if self.down:
            return DOWN
        self.writes += 1
        self.value_by_key[key] = value
        return Stored(self.writes)

    async def grant_lease(self, ttl_s):
        return DOWN if self.down else LeaseGranted("1")


class Peers:
    def __init__(self, acknowledge=True):
        self.acknowledge = acknowledge
        self.calls = 0

    async def __call__(self):
        self.calls += 1
        return self.acknowledge


@pytest.mark.parametrize(
    ("store_down", "peers", "kept"),
    [(False, False, True), (True, True, True), (False, True, True), (True, False, False)],
)
async def test_departures_are_kept_by_the_store_or_a_peer(store_down, peers, kept):
    store = FakeStore()
    store.down = store_down
    assert await d.Departures(store, "n1", Peers(peers)).keep(LEFT) is kept


async def test_a_restarted_node_reads_what_was_kept():
    store = FakeStore()
    assert await d.Departures(store, "n1", Peers()).load() == ()
    assert await d.Departures(store, "n1", Peers(False)).keep(LEFT)
    restarted = d.Departures(store, "n1", Peers(False))
    assert await restarted.load() == LEFT
    assert await d.Departures(store, "n2", Peers()).load() == ()
    store.down = True
    assert await restarted.load() is None
    assert await restarted.keep(LEFT[:1])


async def test_a_silent_store_does_not_delay_what_a_peer_has_acknowledged(monkeypatch):
    monkeypatch.setattr(d, "KEEP_TIMEOUT_S", 0.2)
    store = FakeStore()
    store.silent = True
    assert await d.Departures(store, "n1", Peers()).keep(LEFT)
    assert not await d.Departures(store, "n1", Peers(False)).keep(LEFT)


async def test_what_is_kept_is_not_written_again():
    store, peers = FakeStore(), Peers()
    departures = d.Departures(store, "n1", peers)
    for _ in range(3):
        assert await departures.keep(LEFT)
    assert store.writes == 1


@pytest.mark.parametrize("value", [b"", b"{", b'[{"target_id":1}]', b"\xff"])
async def test_a_damaged_entry_is_no_departure(value):
    store = FakeStore()
    store.value_by_key[f"{d.DEPARTURE_PREFIX}n1"] = value
    assert await d.Departures(store, "n1", Peers()).load() == ()
