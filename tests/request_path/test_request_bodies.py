"""Bodies of requests on their way to a target: whole, or the request ends with an error."""

from __future__ import annotations

import itertools
import random

import pytest

from jaypost import invariants
from jaypost.errors import ErrorKind, RunState
from jaypost.local_exchange import LocalExchange
from jaypost.pools import ClientConnection
from tests.harness import RawClient, Reply, running_mesh
from tests.request_path.memory_loop import MemoryLoop

CODECS = ("httptools", "h11")
# Where the target of the request is: beside the caller's node, which calls its own egress directly
# or over a connection, or on another host.
PLACES = {"own host": ((1,), True), "own host, socket": ((1,), False), "other host": ((0, 1), True)}
# Size of a body from which on it is passed on while it arrives, `buffered_body_bytes`.
LIMIT = 65_536
SIZES = (0, 1, LIMIT - 1, LIMIT, LIMIT + 1, 2 * LIMIT, 200_000, 1_000_000)
# Bytes in each chunk; 0 for a body with a length.
CHUNKS = (0, 1_000, 8_000, 100_000)


def encode(body: bytes, chunk_bytes: int, request_id: str, expect: bool = False) -> bytes:
    """Encode a request whose target echoes its body."""
    head = f"POST /echo HTTP/1.1\r\nhost: orders\r\nx-request-id: {request_id}\r\n"
    if expect:
        head += "expect: 100-continue\r\n"
    if not chunk_bytes:
        return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body
    pieces = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return f"{head}transfer-encoding: chunked\r\n\r\n".encode() + chunks + b"0\r\n\r\n"


async def echo(client: RawClient, body: bytes, chunk_bytes: int, request_id: str) -> Reply:
    client.write(encode(body, chunk_bytes, request_id))
    return await client.read_reply()


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("loser", [LocalExchange, ClientConnection])
@pytest.mark.parametrize("chunk_bytes", [0, 8_000])
async def test_request_that_lost_a_part_of_its_body_is_not_completed(
    monkeypatch: pytest.MonkeyPatch, codec: str, loser: type, chunk_bytes: int
) -> None:
    """Guards against a target that takes a body without one of its parts for whole (UNASKED)."""
    invariants.raise_on_violation(False)
    send_body, parts = loser.send_body, itertools.count()

    def send_all_but_the_second(sender: object, data: bytes) -> None:
        if next(parts) != 1:
            send_body(sender, data)

    monkeypatch.setattr(loser, "send_body", send_all_but_the_second)
    violations = invariants.violations_by_rule["P11_whole_body"]
    async with running_mesh(codec, (1,)) as mesh:
        client = await mesh.client()
        reply = await echo(client, b"x" * 1_000_000, chunk_bytes, "a")
        assert (reply.error, reply.run) == (ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        assert invariants.violations_by_rule["P11_whole_body"] == violations + 1
        assert mesh.nodes[0].targets[0].journal == []
        await client.close()


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("chunk_bytes", CHUNKS)
@pytest.mark.parametrize("warm", [True, False], ids=["idle connection", "new connection"])
@pytest.mark.parametrize("max_read_bytes", [0, 3_000], ids=["large reads", "small reads"])
async def test_target_gets_the_whole_body(
    loop: MemoryLoop,
    codec: str,
    place: str,
    size: int,
    chunk_bytes: int,
    warm: bool,
    max_read_bytes: int,
) -> None:
    """Guards against a request that runs without a part of its body (UNASKED)."""
    targets, local = PLACES[place]
    body = random.Random(size).randbytes(size)
    async with running_mesh(codec, targets, local=local) as mesh:
        if warm:
            client = await mesh.client()
            assert (await echo(client, b"", 0, "warm")).status == 200
            await client.close()
        loop.max_read_bytes = max_read_bytes
        client = await mesh.client()
        reply = await echo(client, body, chunk_bytes, "a")
        assert (reply.status, reply.body == body) == (200, True)
        await client.close()
