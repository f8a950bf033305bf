"""Tests of the egress: checks of requests, admission, release of slots and headers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from jaypost.admission import CallClass
from jaypost.breakers import FAILURES_TO_OPEN, TRIAL_INTERVAL_S
from jaypost.errors import ErrorKind, RunState
from jaypost.records import Row, TargetState
from standins.target import Behaviour
from tests.harness import (
    CloseConnection,
    Mesh,
    RawClient,
    UvloopPolicy,
    fake_peer,
    running_mesh,
    wait_until,
)

pytestmark = [pytest.mark.parametrize("codec", ["httptools", "h11"])]

TARGET = "target-0-0"


@pytest.fixture(scope="module")
def event_loop_policy() -> UvloopPolicy:
    return UvloopPolicy()


async def peer_client(mesh: Mesh) -> RawClient:
    return await RawClient.open(mesh.nodes[0].peer_address)


REFUSALS = {
    "wrong target": ({"x_jaypost_target": "other"}, ErrorKind.WRONG_TARGET),
    "no target named": ({"x_jaypost_target": ""}, ErrorKind.WRONG_TARGET),
    "bad deadline": ({"x_jaypost_deadline_ms": "soon"}, ErrorKind.BAD_DEADLINE),
    "no deadline left": ({"x_jaypost_deadline_ms": "0"}, ErrorKind.BAD_DEADLINE),
    "draining": ({}, ErrorKind.DRAINING),
    "starting": ({}, ErrorKind.WRONG_TARGET),
    "no row": ({}, ErrorKind.NOT_READY),
    "limited": ({}, ErrorKind.RATE_LIMITED),
    "slots full": ({}, ErrorKind.SLOTS_FULL),
    "queue full": ({"x_jaypost_may_queue": "1"}, ErrorKind.QUEUE_FULL),
    "target gone": ({}, ErrorKind.CONNECT_FAILED),
}


@pytest.mark.parametrize("name", REFUSALS)
async def test_refusal_is_not_run_and_reports_load(codec: str, name: str) -> None:
    """Guards against refusals that report no load, and refused requests that run (P5)."""
    headers, kind = REFUSALS[name]
    full = name in ("slots full", "queue full")
    row = Row("orders", queue_limit=0)
    async with running_mesh(codec, (1,), slots=0 if full else 2, row=row) as mesh:
        node = mesh.nodes[0]
        if name in ("draining", "starting"):
            node.target_state = TargetState(name)
            mesh.publish()
            await asyncio.sleep(4 * node.settings.drain_delay_s)
        elif name == "no row":
            mesh.snapshot = replace(mesh.snapshot, rows_by_service={})
        elif name == "limited":
            node.limits.refusal = ErrorKind.RATE_LIMITED
        elif name == "target gone":
            await node.targets[0].close()
        client = await peer_client(mesh)
        reply = await client.call(
            "POST", "/work/0", b"x", **({"x_jaypost_target": TARGET, "x_request_id": "a"} | headers)
        )
        assert (reply.error, reply.run) == (kind, RunState.NOT_RUN)
        assert reply.headers["x-request-id"] == "a"
        if "wrong target" not in name and "no target" not in name:
            assert reply.headers["x-jaypost-load"] == ("0/0/0" if full else "0/2/0")
        assert node.targets[0].journal == []
        assert (node.limits.active_count, node.egress.in_flight.count) == (0, 0)
        assert [call.kind for call in node.egress_calls] == [kind]
        await client.close()


ENDINGS = {
    "answered": (Behaviour(), None, RunState.RAN),
    "failed status": (Behaviour(fail_status=500), None, RunState.RAN),
    "dies": (Behaviour(close_before_head=True), ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN),
    "cut": (Behaviour(cut_after=3), ErrorKind.ANSWER_CUT, RunState.UNKNOWN),
    "crossed": (Behaviour(crossed_id="b"), ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN),
    "first byte too late": (Behaviour(frozen=True), ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN),
    "peer leaves": (Behaviour(frozen=True), ErrorKind.CANCELLED, RunState.UNKNOWN),
}


@pytest.mark.parametrize("name", ENDINGS)
async def test_slot_is_released_on_every_path(codec: str, name: str) -> None:
    """Guards against slots, limit counts and call records that are never released."""
    behaviour, kind, run_state = ENDINGS[name]
    timeout_ms = 100 if name == "first byte too late" else 0
    async with running_mesh(
        codec, (1,), row=Row("orders", first_byte_timeout_ms=timeout_ms)
    ) as mesh:
        node = mesh.nodes[0]
        node.targets[0].behaviour = behaviour
        client = await peer_client(mesh)
        client.send_request("POST", "/work/0", b"x", x_jaypost_target=TARGET, x_request_id="a")
        await wait_until(lambda: len(node.targets[0].journal) == 1)
        if name == "peer leaves":
            await client.close()
        else:
            reply = await client.read_reply()
            assert reply.complete == (name != "cut")
            assert reply.error == (kind if kind and name != "cut" else "")
        await wait_until(lambda: len(node.egress_calls) == 1)
        assert node.admission.load(TARGET).busy == 0
        assert (node.limits.active_count, node.egress.in_flight.count) == (0, 0)
        assert node.egress.call_by_ticket == {}
        ended = node.egress_calls[0]
        assert (ended.kind, ended.run_state, ended.service) == (kind, run_state, "orders")
        await wait_until(lambda: node.targets[0].running == 0)
        await client.close()


async def test_queued_request_runs_when_a_slot_is_free(codec: str) -> None:
    """Guards against lost queued requests, and against more running calls than slots."""
    async with running_mesh(codec, (1,), slots=1) as mesh:
        node = mesh.nodes[0]
        clients = [await peer_client(mesh) for _ in range(4)]
        for number, client in enumerate(clients):
            client.send_request(
                "POST",
                "/work/20",
                b"x",
                x_jaypost_target=TARGET,
                x_jaypost_may_queue="1",
                x_jaypost_class="long",
                x_request_id=str(number),
            )
        replies = await asyncio.gather(*(client.read_reply() for client in clients))
        assert [reply.status for reply in replies] == [200] * 4
        assert node.targets[0].max_running == 1
        assert {call.call_class for call in node.egress_calls} == {CallClass.LONG}
        assert max(call.queue_s for call in node.egress_calls) > 0.03
        for client in clients:
            await client.close()


async def test_body_is_requested_only_after_admission(codec: str) -> None:
    """Guards against sending a large body to an egress that then refuses the request."""
    async with running_mesh(codec, (1,), slots=1) as mesh:
        slot_holder, client = await peer_client(mesh), await peer_client(mesh)
        slot_holder.send_request("POST", "/work/300", x_jaypost_target=TARGET)
        await wait_until(lambda: mesh.nodes[0].targets[0].running == 1)
        head = (
            f"POST /echo HTTP/1.1\r\nHost: orders\r\nx-jaypost-target: {TARGET}\r\n"
            "Content-Length: 200000\r\nExpect: 100-continue\r\n\r\n"
        ).encode()
        client.write(head)
        assert (await client.read_reply()).error == ErrorKind.SLOTS_FULL
        assert await client.at_eof()
        assert (await slot_holder.read_reply()).status == 200
        again = await peer_client(mesh)
        again.write(head)
        assert (await again.read_head()).status == 100
        again.write(b"x" * 200_000)
        assert len((await again.read_reply()).body) == 200_000
        for opened in (slot_holder, client, again):
            await opened.close()


async def test_error_and_load_headers_of_target_are_ignored(codec: str) -> None:
    """Guards against a target that forwards the error headers of a call that it made (P5).

    The ingress would take them for a refusal of the request, which has run.
    """
    async with running_mesh(codec, (1,)) as mesh:
        node = mesh.nodes[0]
        client = await peer_client(mesh)
        node.targets[0].extra_headers = {
            b"x-jaypost-error": b"slots_full",
            b"x-jaypost-run": b"not-run",
            b"x-jaypost-load": b"0/99/0",
            b"x-jaypost-final": b"1",
        }
        reply = await client.call("POST", "/work/0", x_jaypost_target=TARGET, x_request_id="a")
        assert (reply.error, reply.run) == ("", "")
        assert reply.headers["x-jaypost-load"] == "1/4/0"
        assert reply.headers["x-jaypost-final"] == "1"
        assert (await client.call("OPTIONS", "*")).status == 204
        await client.close()


async def test_draining_target_accepts_calls_until_drain_delay_is_over(codec: str) -> None:
    """Guards against refusing calls before the fleet knows of a drain.

    It also guards against calls that start after the drain delay (P7).
    """
    async with running_mesh(codec, (1,), slots=1, drain_delay_s=0.5) as mesh:
        node = mesh.nodes[0]
        node.targets[0].behaviour = Behaviour(slow_ms=1500)
        first, second = await peer_client(mesh), await peer_client(mesh)
        node.target_state = TargetState.DRAINING
        mesh.publish()
        headers = {"x_jaypost_target": TARGET, "x_jaypost_may_queue": "1"}
        first.send_request("POST", "/work/0", b"x", x_request_id="a", **headers)
        await wait_until(lambda: len(node.targets[0].journal) == 1)
        second.send_request("POST", "/work/0", b"x", x_request_id="b", **headers)
        waited = await second.read_reply()
        assert (waited.error, waited.run) == (ErrorKind.DRAINING, RunState.NOT_RUN)
        assert (await first.read_reply()).status == 200
        assert [entry.request_id for entry in node.targets[0].journal] == ["a"]
        await first.close()
        await second.close()


async def test_dead_target_gets_only_trial_requests_until_it_is_alive(codec: str) -> None:
    """Guards against a target that drops connections and attracts requests by its free slots."""
    async with (
        fake_peer([CloseConnection()]) as dead_target,
        running_mesh(codec, (1,), slots=2) as mesh,
    ):
        node = mesh.nodes[0]
        node.targets[0].port = dead_target.address.port
        mesh.publish()
        client = await peer_client(mesh)
        headers = {"x_jaypost_target": TARGET}
        for number in range(FAILURES_TO_OPEN):
            reply = await client.call("POST", "/work/0", x_request_id=f"b{number}", **headers)
            assert (reply.error, reply.run) == (ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        reply = await client.call("POST", "/work/0", x_request_id="refused", **headers)
        assert (reply.error, reply.run) == (ErrorKind.TARGET_DOWN, RunState.NOT_RUN)
        assert reply.headers["x-jaypost-load"] == "2/2/0"
        assert dead_target.requests == FAILURES_TO_OPEN
        await asyncio.sleep(TRIAL_INTERVAL_S)
        await client.call("POST", "/work/0", x_request_id="trial", **headers)
        assert dead_target.requests == FAILURES_TO_OPEN + 1
        node.egress.record_target_alive(TARGET)
        await client.call("POST", "/work/0", x_request_id="after", **headers)
        assert dead_target.requests == FAILURES_TO_OPEN + 2
        await client.close()


async def test_queued_requests_are_refused_when_target_dies(codec: str) -> None:
    """Guards against sending queued requests to a dead target one after the other."""
    async with running_mesh(codec, (1,), slots=1) as mesh:
        node = mesh.nodes[0]
        running, waiting = await peer_client(mesh), await peer_client(mesh)
        headers = {"x_jaypost_target": TARGET, "x_jaypost_may_queue": "1"}
        running.send_request("POST", "/work/2000", x_request_id="a", **headers)
        await wait_until(lambda: len(node.targets[0].journal) == 1)
        waiting.send_request("POST", "/work/0", x_request_id="b", **headers)
        await wait_until(lambda: len(node.egress.queued_tickets) == 1)
        for _ in range(FAILURES_TO_OPEN):
            node.egress.record_broken_connection(TARGET)
        reply = await waiting.read_reply()
        assert (reply.error, reply.run) == (ErrorKind.TARGET_DOWN, RunState.NOT_RUN)
        await running.close()
        await waiting.close()
