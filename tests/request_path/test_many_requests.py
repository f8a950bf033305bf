"""Many requests that arrive in one piece."""

from __future__ import annotations

import asyncio

import pytest

from tests.harness import running_mesh

COUNT = 2_000


@pytest.mark.parametrize("host", ["unknown", "orders"])
async def test_each_of_many_requests_in_one_piece_is_answered(host: str) -> None:
    """Guards against work for one read that grows with the number of requests in it."""
    status = 404 if host == "unknown" else 200
    async with running_mesh("httptools", (1,)) as mesh:  # h11 answers only the first one
        client = await mesh.client()
        client.write(
            b"".join(
                b"GET /work/0 HTTP/1.1\r\nhost: %b\r\nx-request-id: %d\r\n\r\n"
                % (host.encode(), number)
                for number in range(COUNT)
            )
        )
        answered = 0
        while answered < COUNT:
            try:
                reply = await client.read_reply()
            except (asyncio.IncompleteReadError, TimeoutError):
                break
            assert (reply.status, reply.headers["x-request-id"]) == (status, str(answered))
            answered += 1
        assert answered == COUNT
        await client.close()
