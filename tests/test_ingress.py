"""Tests of the path of a call from the caller's side, over real sockets."""

from __future__ import annotations

import pytest

from tests.harness import UvloopPolicy, content, mesh

CODECS = ("httptools", "h11")


@pytest.fixture(scope="module")
def event_loop_policy() -> UvloopPolicy:
    return UvloopPolicy()


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("targets", [(1,), (0, 1)], ids=["local", "two hops"])
async def test_response_is_whole_and_for_the_request(codec: str, targets: tuple[int, ...]) -> None:
    """Guards against lost or mixed responses on the plain path, locally and over a peer."""
    async with mesh(codec, targets) as built:
        client = await built.client()
        for number in range(3):
            reply = await client.call("GET", "/work/1", x_request_id=f"r{number}")
            assert (reply.status, reply.complete) == (200, True)
            assert reply.headers["x-request-id"] == f"r{number}"
            assert content(reply)["request_id"] == f"r{number}"
        body = bytes(range(256)) * 100
        assert (await client.call("POST", "/echo", body)).body == body
        big = await client.call("GET", "/bytes/1000000")
        assert (len(big.body), big.complete) == (1_000_000, True)
        assert (await client.call("HEAD", "/work/0")).status == 200
        assert [call.kind for call in built.nodes[0].calls] == [None] * 6
        await client.close()
