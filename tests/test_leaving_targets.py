"""Targets that say in their responses that they leave."""

from __future__ import annotations

import asyncio
import random

import pytest
from admin_fakes import load_settings

from jaypost.announcements import Announce, Announcements, ReportLeaving
from jaypost.errors import ErrorKind, RunState
from jaypost.events import EventLog
from jaypost.health import TargetHealth
from jaypost.placement import ChooseTarget, Chosen, NoTarget, Placement, TargetLeaving
from jaypost.records import Address, Departure, PlacedTarget, Row, Spill, Target, TargetState
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


def placed(target_id: str, incarnation: int = 1) -> PlacedTarget:
    target = Target(target_id, "orders", 9000, 4, TargetState.READY, incarnation)
    return PlacedTarget(target, "n", "d", "r", Address("127.0.0.1", 1))


@pytest.mark.parametrize(
    ("targets", "after_s", "chosen"),
    [
        pytest.param((placed("a"), placed("b")), 0.1, {"b"}, id="another works"),
        pytest.param((placed("a"),), 0.1, {"a"}, id="no other, soon after"),
        pytest.param((placed("a"),), 1.0, None, id="no other, later"),
        pytest.param((placed("a", 2),), 1.0, {"a"}, id="started again"),
    ],
)
def test_leaving_target_is_used_for_a_moment_only_if_no_other_works(
    targets: tuple[PlacedTarget, ...], after_s: float, chosen: set[str] | None
) -> None:
    """Guards against requests to a target that leaves, and against needless refusals."""
    placement = Placement("d", "r", TargetHealth(), random.Random(1), leaving_use_s=0.5)
    placement.observe(TargetLeaving(placed("a").target, 10.0))
    placement.observe(TargetLeaving(placed("a").target, 10.0 + after_s))
    query = ChooseTarget("orders", targets, Spill.ANY, frozenset(), False, 10.0 + after_s)
    choices = [placement.choose(query) for _ in range(20)]
    if chosen is None:
        assert {item.kind for item in choices if isinstance(item, NoTarget)} == {
            ErrorKind.NO_TARGET
        }
    else:
        assert {c.target.target.target_id for c in choices if isinstance(c, Chosen)} == chosen


def test_node_publishes_a_target_that_says_that_it_leaves_as_draining() -> None:
    """Guards against nodes that have not heard the target themselves, and a restart of its node."""
    published: list[tuple[Target, ...]] = []
    announcements = Announcements(load_settings(), published.append, EventLog())
    body = b'{"service": "orders", "slots": 4, "state": "ready", "port": 9000, "born": 7}'
    announcements.handle(Announce("t", body, 0.0))
    for _ in range(2):
        announcements.handle(ReportLeaving("t", 7, 0.1))
    announcements.handle(ReportLeaving("unknown", 7, 0.1))
    assert [targets[0].state for targets in published] == [TargetState.READY, TargetState.DRAINING]
    assert announcements.departures == (Departure("t", 7),)
    announcements.handle(Announce("t", body, 0.2))
    assert announcements.targets[0].state is TargetState.DRAINING


def test_late_response_of_an_earlier_start_does_not_drain_the_later_one() -> None:
    """Guards against a target that starts again under its id and gets no request (CONFIG)."""
    published: list[tuple[Target, ...]] = []
    announcements = Announcements(load_settings(), published.append, EventLog())
    body = b'{"service": "orders", "slots": 4, "state": "ready", "port": 9000, "born": 8}'
    announcements.handle(Announce("t", body, 0.0))
    announcements.handle(ReportLeaving("t", 7, 0.1))
    assert [targets[0].state for targets in published] == [TargetState.READY]
    assert announcements.departures == ()
