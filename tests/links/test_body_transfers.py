"""Bodies of requests on their way to a host with a narrow link, through real nodes."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from jaypost.errors import ErrorKind
from jaypost.links.grants import BodyRequest
from jaypost.records import Row
from tests.harness import Mesh, running_mesh
from tests.request_path.test_request_bodies import CODECS, echo

LINK_MBPS = 8.0


def narrow_links(mesh: Mesh, link_mbps: float = LINK_MBPS) -> None:
    """Let the nodes know the rate of the links of the hosts."""
    placed = mesh.snapshot.targets_by_service["orders"]
    narrow = tuple(replace(item, link_mbps=link_mbps) for item in placed)
    mesh.snapshot = replace(mesh.snapshot, targets_by_service={"orders": narrow})
    for node in mesh.nodes:
        node.egress.body_grants.link_mbps = link_mbps


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("size", [0, 100, 20_000, 65_536, 65_537, 300_000])
@pytest.mark.parametrize("chunk_bytes", [0, 8_000])
async def test_body_arrives_whole_after_its_grant(codec: str, size: int, chunk_bytes: int) -> None:
    """Guards against a body that is lost or sent twice between grant and target (UNASKED)."""
    async with running_mesh(codec, (0, 1)) as mesh:
        narrow_links(mesh)
        for request_id in ("a", "b"):
            client = await mesh.client()
            reply = await echo(client, b"x" * size, chunk_bytes, request_id)
            assert (reply.status, len(reply.body)) == (200, size)
            await client.close()
        assert not mesh.nodes[1].egress.call_by_body_ticket
        assert mesh.nodes[1].egress.body_grants.backlog_s() == 0.0


@pytest.mark.parametrize("codec", CODECS)
async def test_body_is_not_sent_before_its_grant(codec: str) -> None:
    """Guards against bodies that fill the link of a host while others arrive there."""
    async with running_mesh(codec, (0, 1)) as mesh:
        narrow_links(mesh)
        egress = mesh.nodes[1].egress
        egress.body_grants.request(
            BodyRequest("busy", 60_000, 0, float("inf"), True, egress.clock())
        )
        client = await mesh.client()
        reply = asyncio.create_task(echo(client, b"x" * 30_000, 0, "a"))
        await asyncio.sleep(0.05)
        assert egress.body_grants.has_waiting
        assert not mesh.nodes[1].targets[0].journal
        egress.apply_body_decisions(egress.body_grants.ended("busy", egress.clock()))
        assert (await reply).status == 200
        await client.close()


@pytest.mark.parametrize("codec", CODECS)
async def test_body_that_cannot_arrive_in_time_is_refused_as_not_run(codec: str) -> None:
    row = Row("orders", timeout_ms=100, retry_limit=0)
    async with running_mesh(codec, (0, 1), row=row) as mesh:
        narrow_links(mesh, 0.5)
        client = await mesh.client()
        reply = await echo(client, b"x" * 30_000, 0, "a")
        assert (reply.status, reply.error) == (503, ErrorKind.LINK_FULL)
        assert reply.run == "not-run"
        assert not mesh.nodes[1].targets[0].journal
        assert (await client.call("GET", "/work/0", x_request_id="b")).status == 200
        await client.close()


@pytest.mark.parametrize("codec", CODECS)
async def test_caller_that_leaves_gives_its_grant_back(codec: str) -> None:
    """Guards against a link that is kept for a body which never comes."""
    async with running_mesh(codec, (0, 1)) as mesh:
        narrow_links(mesh)
        egress = mesh.nodes[1].egress
        egress.body_grants.request(
            BodyRequest("busy", 60_000, 0, float("inf"), True, egress.clock())
        )
        client = await mesh.client()
        reply = asyncio.create_task(echo(client, b"x" * 30_000, 0, "a"))
        await asyncio.sleep(0.05)
        reply.cancel()
        await client.close()
        for _ in range(100):
            if not egress.body_grants.has_waiting:
                break
            await asyncio.sleep(0.01)
        assert not egress.body_grants.has_waiting and not egress.call_by_body_ticket
