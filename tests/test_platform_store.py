"""Tests of the client of the platform's store against a stand-in with the same HTTP API."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from kv_store import KvStore

from jaypost.records import Address
from jaypost.store import (
    Conflict,
    Effect,
    Found,
    LeaseExpired,
    LeaseGranted,
    LeaseHeld,
    Listed,
    Missing,
    PrefixRead,
    Stored,
    StoreFailed,
    Unchanged,
)
from standins.platform_store import PlatformStoreServer

TIMEOUT_S = 5.0


@pytest.fixture
async def server() -> AsyncIterator[PlatformStoreServer]:
    built = PlatformStoreServer(Address("127.0.0.1", 0))
    await built.start()
    yield built
    await built.close()


@pytest.fixture
async def client(server: PlatformStoreServer) -> AsyncIterator[KvStore]:
    built = KvStore(server.address, TIMEOUT_S)
    await built.start()
    yield built
    await built.close()


async def test_keys_are_read_and_conditionally_written_and_deleted(client: KvStore) -> None:
    """Guards against overwriting a value that was written after the last read."""
    assert await client.get("a/b") == Missing()
    first = await client.put("a/b", b"\x00one", 0)
    assert isinstance(first, Stored)
    assert await client.get("a/b") == Found(b"\x00one", first.revision)
    assert await client.put("a/b", b"two", 0) == Conflict(first.revision)
    assert await client.put("a/b", b"two", first.revision) == Stored(first.revision + 1)
    assert await client.delete("a/b", first.revision) == Conflict(first.revision + 1)
    assert isinstance(await client.delete("a/b", None), Stored)
    assert await client.put("a/b", b"x", 7) == Conflict(0)


async def test_list_reads_every_page(server: PlatformStoreServer, client: KvStore) -> None:
    """Guards against seeds that are missing because a listing was truncated."""
    server.page_items = 2
    for name in "edcba":
        await client.put(f"seeds/{name}", name.encode(), None)
    await client.put("other", b"", None)
    listed = await client.list("seeds/")
    assert isinstance(listed, Listed)
    assert [entry.key for entry in listed.entries] == [f"seeds/{name}" for name in "abcde"]
    assert server.calls_by_kind["stale"] == 0
    assert await client.list("seeds/", allow_stale=True) == listed
    assert server.calls_by_kind["stale"] == 3, "each page of a list that may be stale is cheap"


async def test_watch_returns_the_newest_value(server: PlatformStoreServer, client: KvStore) -> None:
    """Guards against watches that return an old value or miss a change."""
    await server.write("op/config", b"1")
    found = await client.watch("op/config", 0, 0.0)
    assert isinstance(found, Found)
    waiting = asyncio.create_task(client.watch("op/config", found.revision, TIMEOUT_S))
    await server.write("op/config-of-another", b"no")
    await server.write("op/config", b"2")
    newer = await waiting
    if isinstance(newer, Unchanged):  # the watch was ended by the change of the other key
        newer = await client.watch("op/config", found.revision, TIMEOUT_S)
    assert isinstance(newer, Found)
    assert newer.value == b"2"
    assert await client.watch("op/config", newer.revision, 0.05) == Unchanged(newer.revision)


async def test_watch_of_unchanged_key_continues_after_history_is_discarded(
    server: PlatformStoreServer, client: KvStore
) -> None:
    """Guards against a new read of the whole document each time that history is discarded."""
    await server.write("op/config", b"1")
    found = await client.watch("op/config", 0, 0.0)
    assert isinstance(found, Found)
    await server.write("else", b"")
    assert await client.watch("op/config", found.revision, 0.05) == Unchanged(found.revision)
    server.discarded_revision = server.core.revision
    assert await client.watch("op/config", found.revision, 0.05) == Unchanged(found.revision)
    assert server.calls_by_kind["kv-key"] == 1


async def test_client_that_falls_behind_reads_only_the_newest_value(
    server: PlatformStoreServer, client: KvStore
) -> None:
    """Storm of versions behind a narrow link: replaced values are transferred at most once.

    Guards against a reader that asks for all values since the last one again and again, more of
    them each time, until the store discards them.
    """
    await server.write("op/config", b"1")
    found = await client.watch("op/config", 0, 0.0)
    assert isinstance(found, Found)
    await server.write("op/config", b"2")
    await server.write("op/config", b"3")
    behind = await client.watch("op/config", found.revision, 1.0)
    assert isinstance(behind, Found)
    await server.write("op/config", b"4")
    newest = await client.watch("op/config", behind.revision, 1.0)
    assert isinstance(newest, Found)
    assert newest.value == b"4"
    assert server.calls_by_kind["kv-watch"] == 1
    assert await client.watch("op/config", newest.revision, 0.05) == Unchanged(newest.revision)


@pytest.mark.parametrize("changed", [False, True])
async def test_watch_reads_the_key_when_history_is_discarded(
    server: PlatformStoreServer, client: KvStore, changed: bool
) -> None:
    """Guards against missing a change whose history was discarded (P9)."""
    await server.write("op/config", b"1")
    found = await client.watch("op/config", 0, 0.0)
    assert isinstance(found, Found)
    if changed:
        await server.write("op/config", b"2")
    await server.write("else", b"")
    server.discard_history()
    outcome = await client.watch("op/config", found.revision, 0.05)
    if changed:
        assert isinstance(outcome, Found)
        assert outcome.value == b"2"
    else:
        assert outcome == Unchanged(found.revision)


async def test_lapsed_lease_deletes_its_keys(server: PlatformStoreServer, client: KvStore) -> None:
    """Guards against entries of dead nodes that are never deleted."""
    granted = await client.grant_lease(60.0)
    assert isinstance(granted, LeaseGranted)
    assert isinstance(await client.put("seeds/a", b"x", None, granted.lease_id), Stored)
    assert await client.renew_lease(granted.lease_id) == LeaseHeld()
    server.core.revoke_lease(f"lease-{granted.lease_id}")
    assert await client.renew_lease(granted.lease_id) == LeaseExpired()
    assert await client.get("seeds/a") == Missing()
    outcome = await client.put("seeds/a", b"x", None, granted.lease_id)
    assert isinstance(outcome, StoreFailed)


@pytest.mark.parametrize(
    ("status", "effect"),
    [(503, Effect.NONE), (429, Effect.NONE), (403, Effect.NONE), (500, Effect.UNKNOWN)],
)
async def test_refused_calls_return_failures_with_their_effect(
    server: PlatformStoreServer, client: KvStore, status: int, effect: Effect
) -> None:
    """Guards against treating a refused write as one that may have taken effect."""
    server.forced_status = status
    written = await client.put("a", b"x", None)
    assert isinstance(written, StoreFailed)
    assert written.effect is effect
    for outcome in (
        await client.get("a"),
        await client.list("a"),
        await client.watch("a", 1, 0.05),
        await client.grant_lease(1.0),
        await client.renew_lease("1"),
    ):
        assert isinstance(outcome, StoreFailed)


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"key":"a","value":"%","revision":1}'])
async def test_malformed_replies_return_failures(
    server: PlatformStoreServer,
    client: KvStore,
    monkeypatch: pytest.MonkeyPatch,
    body: bytes,
) -> None:
    """Guards against accepting data of another program as the value of a key."""
    from standins import store as store_standin

    async def answer(request: object) -> store_standin.Reply:
        return store_standin.Reply(200, body)

    monkeypatch.setattr(server, "_dispatch", answer)
    assert isinstance(await client.get("a"), StoreFailed)
    assert isinstance(await client.watch("a", 1, 0.05), StoreFailed)
    assert isinstance(await client.grant_lease(1.0), StoreFailed)


@pytest.mark.parametrize("way", ["watched", "history discarded", "not watched"])
async def test_change_under_a_prefix_is_read(
    server: PlatformStoreServer, client: KvStore, monkeypatch: pytest.MonkeyPatch, way: str
) -> None:
    """Guards against an order that is seen late or not at all."""
    if way == "not watched":
        monkeypatch.setattr("kv_store.PREFIX_CHECK_S", 0.05)
    document = await client.put("op/config", b"1", None)
    assert isinstance(document, Stored)
    await client.put("op/orders/a", b"1", None)
    read = await client.watch_prefix("op/orders/", 0, 1.0)
    assert isinstance(read, PrefixRead) and len(read.entries) == 1
    if way != "not watched":
        assert await client.watch_prefix("op/orders/", read.revision, 0.05) == Unchanged(
            read.revision
        )
        await client.watch("op/config", document.revision, 0.05)
        watch = asyncio.create_task(client.watch("op/config", document.revision, 1.0))
        await asyncio.sleep(0.02)
    if way == "history discarded":
        await watch
        await client.watch_prefix("op/orders/", read.revision, 0.05)
        await client.put("op/orders/b", b"2", None)
        server.discard_history()
        await client.watch("op/config", document.revision, 1.0)
    else:
        await client.put("op/orders/b", b"2", None)
    changed = await client.watch_prefix("op/orders/", read.revision, 5.0)
    if way == "not watched" and isinstance(changed, Unchanged):
        changed = await client.watch_prefix("op/orders/", read.revision, 5.0)
    assert isinstance(changed, PrefixRead)
    assert [entry.key for entry in changed.entries] == ["op/orders/a", "op/orders/b"]
    if way == "watched":
        assert isinstance(await watch, Unchanged)
