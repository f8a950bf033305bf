"""Guards against store outcomes that hide an outage or a write that may have taken effect."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import urllib.request

import pytest

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
    Stored,
    StoreEntry,
    StoreFailed,
    Unchanged,
)
from jaypost.store_client import StoreClient
from standins.store import Faults, StoreServer

ANY_PORT = Address("127.0.0.1", 0)
# Contains characters that must be quoted in a URL.
KEY = "seeds/addis-a/n 1/é?"


@contextlib.asynccontextmanager
async def running_store(timeout_s=5.0):
    server = StoreServer(ANY_PORT)
    await server.start()
    client = StoreClient(server.address, timeout_s)
    await client.start()
    try:
        yield server, client
    finally:
        await client.close()
        # Closing again has no effect.
        await client.close()
        await server.close()


async def test_get_put_list_and_delete_with_compare_and_swap():
    async with running_store() as (server, client):
        assert await client.get(KEY) == Missing()
        assert await client.put(KEY, b"one", 0) == Stored(1)
        assert await client.put(KEY, b"two", 0) == Conflict(1)
        assert await client.put(KEY, b"two", 1) == Stored(2)
        assert await client.put("other", b"", None) == Stored(3)
        assert await client.get(KEY) == Found(b"two", 2)
        assert await client.list("seeds/addis-a/") == Listed((StoreEntry(KEY, 2, b"two"),))
        assert await client.delete(KEY, 1) == Conflict(2)
        assert await client.delete(KEY, 2) == Stored(4)
        assert await client.delete(KEY, None) == Missing()
        assert await client.put(KEY, b"x" * (1 << 20), 0) == Stored(5)
        assert server.calls_by_kind == {"get": 2, "put": 5, "list": 1, "delete": 3}


async def test_watch_returns_on_a_change_or_after_its_wait_time():
    async with running_store() as (server, client):
        assert await client.watch("k", 0, 0.01) == Unchanged(0)
        watch = asyncio.create_task(client.watch("k", 0, 60))
        await asyncio.sleep(0.01)
        await client.put("k", b"v", 0)
        assert await watch == Found(b"v", 1)
        assert await client.watch("k", 0, 60) == Found(b"v", 1)
        assert await client.watch("k", 1, 0.01) == Unchanged(1)
        assert await client.watch("k", 9, 0.01) == Unchanged(1)
        assert server.calls_by_kind["watch"] == 5


async def test_end_of_a_lease_deletes_its_keys():
    async with running_store() as (_, client):
        granted = await client.grant_lease(60)
        assert isinstance(granted, LeaseGranted)
        await client.put("a", b"", 0, granted.lease_id)
        assert await client.renew_lease(granted.lease_id) == LeaseHeld()
        assert await client.revoke_lease(granted.lease_id) == LeaseExpired()
        assert await client.get("a") == Missing()
        refused = await client.put("a", b"", 0, granted.lease_id)
        assert isinstance(refused, StoreFailed) and refused.effect is Effect.NONE

        short = await client.grant_lease(0.02)
        await client.put("b", b"", 0, short.lease_id)
        await asyncio.sleep(0.2)
        assert await client.renew_lease(short.lease_id) == LeaseExpired()
        assert await client.get("b") == Missing()


@pytest.mark.parametrize(
    ("faults", "effect", "applied"),
    [
        (Faults(lose_answers=1), Effect.UNKNOWN, True),
        (Faults(fail_writes=1), Effect.UNKNOWN, False),
        (Faults(down=True), Effect.UNKNOWN, False),
        (Faults(delay_ms=60_000), Effect.UNKNOWN, False),
    ],
)
async def test_write_that_was_sent_has_unknown_effect(faults, effect, applied):
    async with running_store(timeout_s=0.3) as (server, client):
        await server.set_faults(faults)
        failed = await client.put("k", b"v", 0)
        assert isinstance(failed, StoreFailed) and failed.effect is effect
        assert (server.core.get("k") == Found(b"v", 1)) is applied
        await server.set_faults(Faults(down=True))
        read = await client.get("k")
        assert isinstance(read, StoreFailed) and read.effect is Effect.NONE


async def test_write_that_could_not_be_sent_has_no_effect():
    async with running_store() as (server, client):
        await client.get("k")
        await server.close()
        # Give the client time to notice that the pooled connection was closed.
        await asyncio.sleep(0.1)
        failed = await client.put("k", b"v", 0)
        assert isinstance(failed, StoreFailed) and failed.effect is Effect.NONE
        await server.start()
        assert await client.put("k", b"v", 0) == Stored(1)
    closed = await client.put("k", b"v", 0)
    assert isinstance(closed, StoreFailed) and closed.effect is Effect.NONE


async def test_burst_of_calls_opens_a_bounded_number_of_connections():
    async with running_store() as (server, client):
        await server.set_faults(Faults(delay_ms=20))
        outcomes = await asyncio.gather(*(client.get("k") for _ in range(100)))
        assert set(outcomes) == {Missing()}
        assert server.connections_accepted <= 16


async def test_watch_ends_when_the_store_goes_down():
    async with running_store() as (server, client):
        watch = asyncio.create_task(client.watch("k", 0, 60))
        await asyncio.sleep(0.01)
        await server.set_faults(Faults(down=True))
        assert isinstance(await watch, StoreFailed)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nv",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx-revision: 1\r\n\r\nv",
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nx-revision: one\r\n\r\nv",
        b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
        b"\x00\x00\r\n\r\n",
        b"",
    ],
)
async def test_malformed_responses_are_reported_as_failures(response):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = StoreClient(Address(*server.sockets[0].getsockname()), 5)
    await client.start()
    calls = [client.get("k"), client.watch("k", 0, 1), client.list("k"), client.grant_lease(1)]
    outcomes = [await call for call in calls]
    written = await client.put("k", b"", 0)
    await client.close()
    server.close()
    assert {type(outcome) for outcome in outcomes} == {StoreFailed}
    assert isinstance(written, StoreFailed) and written.effect is Effect.UNKNOWN


async def test_timeout_replaces_all_pooled_connections():
    response = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\nx-revision: 1\r\n\r\nv"

    async def respond_once(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(respond_once, "127.0.0.1", 0)
    client = StoreClient(Address(*server.sockets[0].getsockname()), 0.3)
    await client.start()
    assert set(await asyncio.gather(*(client.get("k") for _ in range(3)))) == {Found(b"v", 1)}
    assert isinstance(await client.get("k"), StoreFailed)
    assert await client.get("k") == Found(b"v", 1)
    await client.close()
    server.close()


def request_json(address, method, path, body=None):
    request = urllib.request.Request(f"http://{address}{path}", body, method=method)
    with urllib.request.urlopen(request, timeout=5) as response:
        return json.load(response)


async def test_stand_in_process_serves_calls_faults_and_statistics():
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "standins.store", "--listen", "127.0.0.1:0"),
        stdout=asyncio.subprocess.PIPE,
    )
    line = (await process.stdout.readline()).decode()
    address = Address("127.0.0.1", int(line.rpartition(":")[2]))
    client = StoreClient(address, 5)
    await client.start()
    assert await client.put("k", b"v", 0) == Stored(1)
    faults = await asyncio.to_thread(
        request_json, address, "PUT", "/v1/faults", b'{"lose_answers": 1}'
    )
    assert faults == {"down": False, "delay_ms": 0, "lose_answers": 1, "fail_writes": 0}
    assert isinstance(await client.put("k", b"w", 1), StoreFailed)
    assert await client.get("k") == Found(b"w", 2)
    stats = await asyncio.to_thread(request_json, address, "GET", "/v1/stats")
    assert stats["calls_by_kind"] == {"put": 2, "get": 1}
    await client.close()
    process.terminate()
    assert await process.wait() == 0


@pytest.mark.parametrize(
    ("pause_s", "parts", "found"),
    [(0.15, 6, True), (0.15, 1, True), (0.6, 2, False), (0.05, 100, False)],
    ids=["slow link", "short answer", "stalled", "without end"],
)
async def test_call_fails_without_progress_but_not_on_a_slow_link(pause_s, parts, found):
    """Large value on a narrow link: guards against reading its first part again and again."""
    tasks = []

    async def answer(reader, writer):
        tasks.append(asyncio.current_task())
        with contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nx-revision: 1\r\n")
            writer.write(b"content-length: %d\r\n\r\n" % parts)
            for _ in range(parts):
                await asyncio.sleep(pause_s)
                writer.write(b"v")

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    timeout_s = 0.4 if pause_s > 0.1 else 0.1
    client = StoreClient(Address("127.0.0.1", server.sockets[0].getsockname()[1]), timeout_s)
    await client.start()
    outcome = await client.get("k")
    assert outcome == Found(b"v" * parts, 1) if found else isinstance(outcome, StoreFailed)
    await client.close()
    server.close()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
