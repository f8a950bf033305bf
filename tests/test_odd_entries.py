"""Entries of another writer in the store and among the announcements, which name nothing to use."""

from __future__ import annotations

import json
from typing import Any

import pytest
from kv_store import KvStore
from route_document import DocumentReader

from jaypost import table
from jaypost.announcements import Announcement, AnnouncementRefused, parse_announcement
from jaypost.departures import Departures
from jaypost.peers import pack
from jaypost.records import Address
from jaypost.seeds import Seed, StoreSeeds
from jaypost.store import Found, Listed, StoreEntry, StoreFailed
from jaypost.store_connections import StoreCall, StoreResponse

DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = 10**30
ANNOUNCEMENT = {"service": "orders", "slots": 4, "state": "ready", "port": 9000, "born": 1}
ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/",
    "kind": "safe",
    "timeout_ms": 1000,
    "attempts": 2,
    "service": "s",
}
DOCUMENT = {"version": 3, "routes": [ROUTE], "services": [{"name": "s"}]}


def with_deep_field(entry: dict[str, Any]) -> bytes:
    """Return an entry with a field that its reader does not know and that is nested deeply."""
    return json.dumps(entry).encode()[:-1] + b', "other": ' + DEEP + b"}"


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(DEEP, id="nested deeply"),
        pytest.param(with_deep_field(ANNOUNCEMENT), id="unknown field nested deeply"),
        pytest.param(b'{"service": "\xff"}', id="no text"),
        *(
            pytest.param(json.dumps(ANNOUNCEMENT | {name: value}).encode(), id=f"{name} {label}")
            for name in ("born", "sequence", "slots", "port")
            for label, value in (("too large", HUGE), ("beyond 64 bits", 2**64), ("negative", -1))
        ),
        *(
            pytest.param(json.dumps(ANNOUNCEMENT | {"address": text}).encode(), id=f"at {text}")
            for text in ("127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:²", ":1")
        ),
    ],
)
def test_odd_announcements_are_refused(body: bytes) -> None:
    """Guards against a node that fails on an announcement, or cannot pass its record on."""
    assert isinstance(parse_announcement("t", body), AnnouncementRefused)


def test_largest_accepted_numbers_can_be_passed_on() -> None:
    """Guards against a record that no other node gets, because a number in it does not fit."""
    body = ANNOUNCEMENT | {"born": 4_000_000_000_000, "sequence": 2**62, "port": 65_535}
    announced = parse_announcement("t", json.dumps(body).encode())
    assert isinstance(announced, Announcement)
    assert pack(announced.target)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(DEEP, id="nested deeply"),
        pytest.param(with_deep_field(DOCUMENT), id="unknown field nested deeply"),
        pytest.param(json.dumps(DOCUMENT).encode().replace(b'"h"', b'"\xff"'), id="no text"),
        pytest.param(json.dumps(DOCUMENT | {"version": HUGE}).encode(), id="version too large"),
        pytest.param(json.dumps(DOCUMENT | {"version": -1}).encode(), id="negative version"),
        *(
            pytest.param(
                json.dumps(DOCUMENT | {"routes": [ROUTE | {name: HUGE}]}).encode(),
                id=f"{name} too large",
            )
            for name in ("timeout_ms", "attempts", "target_latency_ms", "priority")
        ),
    ],
)
def test_odd_documents_are_refused(data: bytes) -> None:
    """Guards against a reader that stops following the table, and versions not passed on."""
    decoded = DocumentReader(0.2).decode(data)
    refused = isinstance(decoded, table.DecodeFailure)
    assert refused or table.validate(decoded.rows_by_service)
    assert refused or pack(decoded)


@pytest.mark.parametrize("body", [DEEP, b'{"key": "\xff"}', b"{}", b"["])
async def test_odd_replies_of_the_store_are_failures(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reader that ends on a reply that it cannot decode."""
    store = KvStore(Address("127.0.0.1", 1), 1.0)

    async def send(call: StoreCall) -> StoreResponse:
        return StoreResponse(200, 1, body)

    monkeypatch.setattr(store, "send", send)
    outcomes = [
        await store.get("a"),
        await store.watch("a", 0, 0.0),
        await store.watch("a", 1, 1.0),
        await store.list("a"),
        await store.put("a", b"", None),
        await store.grant_lease(1.0),
    ]
    assert all(isinstance(outcome, StoreFailed) for outcome in outcomes)


class OddStore:
    """Returns one value for each key."""

    def __init__(self, value: bytes) -> None:
        self.value = value

    async def get(self, key: str) -> Found:
        return Found(self.value, 1)

    async def list(self, prefix: str, allow_stale: bool = False) -> Listed:
        good = StoreEntry(f"{prefix}d/n", 1, b"10.0.0.1:7000")
        return Listed((StoreEntry(f"{prefix}d/odd", 1, self.value), good))


@pytest.mark.parametrize(
    "value", [DEEP, b"\xff", b"10.0.0.2:0", b"10.0.0.2:99999", b"10.0.0.2:" + b"9" * 5000]
)
async def test_odd_seeds_are_left_out(value: bytes) -> None:
    """Guards against a node that does not join because of one odd seed."""
    seeds = StoreSeeds(OddStore(value), "d", "n")  # type: ignore[arg-type]
    assert await seeds.read() == (Seed("d", Address("10.0.0.1", 7000)),)


@pytest.mark.parametrize("value", [DEEP, b"\xff", b'[{"target_id": "t", "incarnation": 1e400}]'])
async def test_odd_departures_count_as_none(value: bytes) -> None:
    """Guards against a node that does not start because of the departures that it finds."""

    async def replicate() -> bool:
        return True

    departures = Departures(OddStore(value), "n", replicate)  # type: ignore[arg-type]
    assert await departures.load() == ()
