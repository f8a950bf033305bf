"""Connections of callers after a request with a body: read again, or closed."""

from __future__ import annotations

import asyncio

import pytest

from jaypost.errors import ErrorKind
from jaypost.records import Row
from standins.target import Behaviour
from tests.harness import Mesh, RawClient, Reply, running_mesh, wait_until
from tests.request_path.memory_loop import MemoryLoop
from tests.request_path.test_request_bodies import LIMIT, PLACES, echo, encode
from tests.test_faulty_targets import FaultyTarget

CODECS = ("httptools", "h11")
TIMEOUT_MS = 400
# Time in which a connection must be read again or closed after a request has ended: the time for
# which the rest of a refused request is dropped, and some.
CLOSE_S = 3.0
# Large compared with the buffers on the way to a target.
BODY_BYTES = 8_000_000
# Bodies around the limit from which on they are passed on while they arrive.
SIZES = (0, LIMIT - 1, LIMIT, LIMIT + 1, 100_000, 200_000, 1_000_000)


def refuse(mesh: Mesh) -> None:
    for node in mesh.nodes:
        node.limits.refusal = ErrorKind.RATE_LIMITED


def freeze(mesh: Mesh) -> None:
    set_behaviour(mesh, Behaviour(frozen=True))


def break_off(mesh: Mesh) -> None:
    set_behaviour(mesh, Behaviour(close_before_head=True))


def set_behaviour(mesh: Mesh, behaviour: Behaviour) -> None:
    for node in mesh.nodes:
        for target in node.targets:
            target.behaviour = behaviour


# What ends the first request, and its status.
ENDS = {
    "response": (lambda mesh: None, 200),
    "refusal": (refuse, 429),
    "timeout": (freeze, 504),
    "broken connection": (break_off, 502),
}


async def second_reply(client: RawClient) -> Reply | None:
    """Return the response to a further request, or None if the connection is closed."""
    try:
        return await asyncio.wait_for(client.call("GET", "/work/0", x_request_id="b"), CLOSE_S)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("chunk_bytes", [0, 8_000, 100_000])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("warm", [True, False], ids=["idle connection", "new connection"])
async def test_connection_is_read_again_or_closed(
    codec: str, place: str, size: int, chunk_bytes: int, end: str, warm: bool
) -> None:
    """Guards against a connection that nobody reads any more after a long body (CONFIG)."""
    targets, local = PLACES[place]
    change, status = ENDS[end]
    row = Row("orders", timeout_ms=TIMEOUT_MS, retry_limit=0)
    async with running_mesh(codec, targets, local=local, row=row) as mesh:
        if warm:
            first = await mesh.client()
            assert (await echo(first, b"", 0, "warm")).status == 200
            await first.close()
        change(mesh)
        client = await mesh.client()
        reply = await echo(client, b"x" * size, chunk_bytes, "a")
        assert reply.status in (status, 504 if status == 502 else status)
        second = await second_reply(client)
        assert second is None or second.status in (200, 429, 502, 504)
        await client.close()
        async with asyncio.timeout(CLOSE_S):
            await wait_until(lambda: not mesh.nodes[0].ingress._server.connections)


# Time for which a target accepts bytes without reading them.
NOT_READING_S = 10 * TIMEOUT_MS / 1000


async def accept_and_not_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(NOT_READING_S)
    writer.close()


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("own_host", [True, False], ids=["own host", "other host"])
@pytest.mark.parametrize("local", [True, False], ids=["direct", "socket"])
@pytest.mark.parametrize("chunk_bytes", [0, 8_000, 100_000])
@pytest.mark.parametrize("capacity_bytes", [8_000, 65_536])
@pytest.mark.parametrize("max_read_bytes", [0, 3_000], ids=["large reads", "small reads"])
async def test_body_is_paused_while_its_target_does_not_read(
    loop: MemoryLoop,
    codec: str,
    own_host: bool,
    local: bool,
    chunk_bytes: int,
    capacity_bytes: int,
    max_read_bytes: int,
) -> None:
    """Guards against a body that is buffered as a whole, because a pause is ended too early."""
    loop.capacity_bytes, loop.max_read_bytes = capacity_bytes, max_read_bytes
    target = FaultyTarget([])
    server = await asyncio.start_server(accept_and_not_read, "127.0.0.1", 0)
    target.port = server.sockets[0].getsockname()[1]
    row = Row("orders", timeout_ms=5 * TIMEOUT_MS)
    async with running_mesh(codec, (0, 0), local=local, row=row) as mesh:
        mesh.nodes[0 if own_host else 1].targets.append(target)  # type: ignore[arg-type]
        mesh.publish()
        client = await mesh.client()
        client.write(encode(b"x" * BODY_BYTES, chunk_bytes, "a"))
        await asyncio.sleep(4 * TIMEOUT_MS / 1000)
        read_bytes = BODY_BYTES - client.writer.transport.get_write_buffer_size()
        assert read_bytes < BODY_BYTES / 4
        await client.close()
        mesh.nodes[0 if own_host else 1].targets.clear()
    server.close()
    await asyncio.sleep(NOT_READING_S)
