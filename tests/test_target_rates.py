"""Targets that name how many requests a second they take from all nodes together."""

from __future__ import annotations

import asyncio
import time

import pytest

from jaypost.admission import Admission
from jaypost.errors import RunState
from tests.harness import Reply, UvloopPolicy
from tests.test_faulty_targets import egress_of, response, send

RATE = 10.0
REQUESTS = 300
# A target may get this much in a window, by the users' rules: one and a half times its rate, and a
# few requests more.
WINDOW_S, RATE_FACTOR, EXTRA_REQUESTS = 4.0, 1.5, 5


@pytest.fixture(scope="module")
def event_loop_policy() -> UvloopPolicy:
    return UvloopPolicy()


async def name_rate(writer: asyncio.StreamWriter, request_id: str) -> None:
    writer.write(response(request_id, "200 OK", b"ran", f"x-jaypost-rate: {RATE:g}"))


@pytest.mark.parametrize("codec", ["httptools", "h11"])
async def test_target_gets_no_more_requests_than_it_takes(codec: str) -> None:
    """Guards against a target in need that gets many more requests than the rate it named."""
    async with egress_of(codec, name_rate, admission=Admission()) as (target, client):
        replies: list[Reply] = []
        started_at = time.monotonic()
        for number in range(REQUESTS):
            replies.append(await send(client, f"r{number}"))
        windows = max(1.0, (time.monotonic() - started_at) / WINDOW_S)
        allowed = RATE_FACTOR * RATE * WINDOW_S * windows + EXTRA_REQUESTS
        assert len(target.request_ids) <= allowed
        refused = [reply for reply in replies if reply.status != 200]
        assert len(refused) == REQUESTS - len(target.request_ids)
        assert all(reply.run == RunState.NOT_RUN for reply in refused)
