"""Targets that say in their responses that they leave."""

from __future__ import annotations

import asyncio
import random

import pytest

from jaypost.errors import RunState
from jaypost.health import TargetHealth
from jaypost.placement import Placement
from jaypost.records import Row
from tests.harness import UvloopPolicy, running_mesh
from tests.test_faulty_targets import FaultyTarget, response


@pytest.fixture(scope="module")
def event_loop_policy() -> UvloopPolicy:
    return UvloopPolicy()


async def say_leaving(writer: asyncio.StreamWriter, request_id: str) -> None:
    writer.write(response(request_id, "200 OK", b"ran", "x-jaypost-leaving: 1"))


@pytest.mark.parametrize("codec", ["httptools", "h11"])
@pytest.mark.parametrize("local", [True, False])
async def test_ingress_sends_nothing_more_to_a_target_that_says_that_it_leaves(
    codec: str, local: bool
) -> None:
    """Guards against requests to a target that leaves, from a node that has passed on its word."""
    target = FaultyTarget([say_leaving])
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    target.port = server.sockets[0].getsockname()[1]
    async with running_mesh(codec, (0,), row=Row("orders"), local=local) as mesh:
        node = mesh.nodes[0]
        health = TargetHealth()
        node.ingress.placement = Placement("domain-a", "region-a", health, random.Random(1))
        node.targets.append(target)
        mesh.publish()
        client = await mesh.client()
        assert (await client.call("GET", "/work/0")).status == 200
        reply = await client.call("GET", "/work/0")
        assert (reply.status, reply.run) == (503, RunState.NOT_RUN)
        assert len(target.request_ids) == 1
        await client.close()
        node.targets.clear()
    server.close()
