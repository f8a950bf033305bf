"""Responses that begin before the whole body of their request has arrived."""

from __future__ import annotations

import pytest

from jaypost.errors import ErrorKind
from jaypost.records import Row
from tests.harness import running_mesh
from tests.request_path.test_request_bodies import CODECS, PLACES

# Which request is refused before its body has arrived: its host header and status.
REFUSALS = {"unknown route": ("unknown", 404), "refused by the egress": ("orders", 429)}
# Refusal and size of the body. A small body is read before its request leaves the ingress.
EARLY_CASES = [
    *(("unknown route", size) for size in (1_000, 100_000, 900_000)),
    *(("refused by the egress", size) for size in (100_000, 900_000)),
]
# A long body for an unknown route is answered after the first of its reads.
WHOLE_CASES = [
    *(("unknown route", size) for size in (0, 1_000)),
    *(("refused by the egress", size) for size in (0, 1_000, 60_000)),
]


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize(("refusal", "size"), EARLY_CASES)
@pytest.mark.parametrize("sent_fraction", [0.0, 0.5])
@pytest.mark.parametrize("expect", ["", "expect: 100-continue\r\n"], ids=["plain", "expect"])
async def test_early_response_says_that_its_connection_closes(
    codec: str, place: str, refusal: str, size: int, sent_fraction: float, expect: str
) -> None:
    """Guards against a pooled connection that is closed behind a response that did not say so."""
    targets, local = PLACES[place]
    host, status = REFUSALS[refusal]
    async with running_mesh(codec, targets, local=local, row=Row("orders")) as mesh:
        for node in mesh.nodes:
            node.limits.refusal = ErrorKind.RATE_LIMITED
        client = await mesh.client()
        head = f"POST /echo HTTP/1.1\r\nhost: {host}\r\nx-request-id: a\r\n{expect}"
        client.write(f"{head}content-length: {size}\r\n\r\n".encode())
        client.write(b"x" * int(size * sent_fraction))
        reply = await client.read_reply()
        assert (reply.status, reply.headers.get("connection")) == (status, "close")
        await client.close()


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize(("refusal", "size"), WHOLE_CASES)
async def test_connection_of_a_whole_request_is_kept(codec: str, refusal: str, size: int) -> None:
    """Guards against a close behind a refusal whose request has arrived as a whole."""
    host, status = REFUSALS[refusal]
    async with running_mesh(codec, (1,), row=Row("orders")) as mesh:
        mesh.nodes[0].limits.refusal = ErrorKind.RATE_LIMITED
        client = await mesh.client()
        head = f"POST /echo HTTP/1.1\r\nhost: {host}\r\nx-request-id: a\r\n"
        client.write(f"{head}content-length: {size}\r\n\r\n".encode() + b"x" * size)
        reply = await client.read_reply()
        assert (reply.status, reply.headers.get("connection")) == (status, None)
        assert (await client.call("GET", "/work/0", x_request_id="b")).status == 429
        await client.close()
