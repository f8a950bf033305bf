"""Responses of targets whose status is no status (MIXED)."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from jaypost.errors import ErrorKind, RunState
from jaypost.records import Row
from tests.harness import Mesh, RawClient, Reply, running_mesh
from tests.request_path.test_request_bodies import CODECS, PLACES
from tests.test_faulty_targets import Answer, FaultyTarget

# Statuses that RFC 9110 does not know, and forms that are no status at all.
BAD_STATUSES = (
    "000",
    "099",
    "600",
    "999",
    "0",
    "20",
    "2000",
    "-200",
    "+200",
    "2x0",
    "",
    " 200",
    "200.0",
    "\uff12\uff10\uff10",
)
# Where the bad status stands in what the target sends.
FORMS = {
    "response": "HTTP/1.1 {status} Odd\r\n{id}content-length: 4\r\n\r\nbody",
    "with a refusal header": (
        "HTTP/1.1 {status} Odd\r\n{id}x-jaypost-shed: 1\r\ncontent-length: 4\r\n\r\nbody"
    ),
    "before a response": (
        "HTTP/1.1 {status} Odd\r\n\r\nHTTP/1.1 200 OK\r\n{id}content-length: 4\r\n\r\nbody"
    ),
    "without a length": "HTTP/1.1 {status} Odd\r\n{id}connection: close\r\n\r\nbody",
}


def answer_with(form: str, status: str) -> Answer:
    async def answer(writer: asyncio.StreamWriter, request_id: str) -> None:
        text = FORMS[form].format(status=status, id=f"x-request-id: {request_id}\r\n")
        writer.write(text.encode())
        if form == "without a length":
            await writer.drain()
            writer.close()

    return answer


@asynccontextmanager
async def mesh_with(
    codec: str, place: str, answer: Answer
) -> AsyncIterator[tuple[Mesh, FaultyTarget]]:
    targets, local = PLACES[place]
    target = FaultyTarget([answer])
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    target.port = server.sockets[0].getsockname()[1]
    row = Row("orders", retry_limit=0, timeout_ms=2_000)
    async with running_mesh(codec, (0,) * len(targets), local=local, row=row) as mesh:
        mesh.nodes[-1].targets.append(target)  # type: ignore[arg-type]
        mesh.publish()
        yield mesh, target
        mesh.nodes[-1].targets.clear()
    server.close()


async def call(mesh: Mesh, method: str, body: bytes) -> Reply:
    client = await RawClient.open(mesh.nodes[0].caller_address)
    try:
        return await client.call(method, "/work/0", body, x_request_id="a")
    finally:
        await client.close()


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("status", BAD_STATUSES)
async def test_status_that_is_none_is_not_passed_on(
    codec: str, place: str, form: str, status: str
) -> None:
    """Guards against a response whose status is no status, and "not run" for what may have run."""
    async with mesh_with(codec, place, answer_with(form, status)) as (mesh, target):
        reply = await call(mesh, "POST", b"")
        assert (reply.status, reply.run) == (504, RunState.UNKNOWN)
        assert reply.error == ErrorKind.OUTCOME_UNKNOWN
        assert target.request_ids == ["a"]


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("place", PLACES)
async def test_early_response_with_such_a_status_is_not_passed_on(codec: str, place: str) -> None:
    """Guards against the same in a response before the whole body has arrived."""
    async with mesh_with(codec, place, answer_with("response", "000")) as (mesh, _):
        reply = await call(mesh, "POST", b"x" * 900_000)
        assert reply.status == 504
