"""Connections of callers after a request with a body: read again, or closed."""

from __future__ import annotations

import asyncio

import pytest

from jaypost.errors import ErrorKind
from jaypost.records import Row
from standins.target import Behaviour
from tests.harness import Mesh, RawClient, Reply, running_mesh, wait_until
from tests.request_path.test_request_bodies import LIMIT, PLACES, echo

CODECS = ("httptools", "h11")
TIMEOUT_MS = 400
# Time in which a connection must be read again or closed after a request has ended: the time for
# which the rest of a refused request is dropped, and some.
CLOSE_S = 3.0
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
