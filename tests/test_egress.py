"""Tests of the peer-facing side: checks, admission, release of slots and headers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from jaypost.admission import CallClass
from jaypost.breakers import BROKEN_IN_A_ROW, TRIAL_INTERVAL_S
from jaypost.errors import ErrorKind, RunState
from jaypost.records import Row, TargetState
from standins.target import Behaviour
from tests.harness import Close, Mesh, RawClient, UvloopPolicy, fake_peer, mesh, until

pytestmark = [pytest.mark.parametrize("codec", ["httptools", "h11"])]

TARGET = "target-0-0"


@pytest.fixture(scope="module")
def event_loop_policy() -> UvloopPolicy:
    return UvloopPolicy()


async def peer_client(built: Mesh) -> RawClient:
    return await RawClient.open(built.nodes[0].peer_address)


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
    """Guards against refusals without load, and against refused requests that run (P5)."""
    headers, kind = REFUSALS[name]
    full = name in ("slots full", "queue full")
    row = Row("orders", queue_limit=0)
    async with mesh(codec, (1,), slots=0 if full else 2, row=row) as built:
        node = built.nodes[0]
        if name in ("draining", "starting"):
            node.state = TargetState(name)
            built.publish()
            await asyncio.sleep(4 * node.settings.drain_delay_s)
        elif name == "no row":
            built.snapshot = replace(built.snapshot, rows_by_service={})
        elif name == "limited":
            node.limits.refusal = ErrorKind.RATE_LIMITED
        elif name == "target gone":
            await node.targets[0].close()
        client = await peer_client(built)
        reply = await client.call(
            "POST", "/work/0", b"x", **({"x_jaypost_target": TARGET, "x_request_id": "a"} | headers)
        )
        assert (reply.error, reply.run) == (kind, RunState.NOT_RUN)
        assert reply.headers["x-request-id"] == "a"
        if "wrong target" not in name and "no target" not in name:
            assert reply.headers["x-jaypost-load"] == ("0/0/0" if full else "0/2/0")
        assert node.targets[0].journal == []
        assert (node.limits.inside, node.egress.in_flight.count) == (0, 0)
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
    """Guards against slots, limits and records of calls that are never given back."""
    behaviour, kind, run_state = ENDINGS[name]
    timeout_ms = 100 if name == "first byte too late" else 0
    async with mesh(codec, (1,), row=Row("orders", first_byte_timeout_ms=timeout_ms)) as built:
        node = built.nodes[0]
        node.targets[0].behaviour = behaviour
        client = await peer_client(built)
        client.request("POST", "/work/0", b"x", x_jaypost_target=TARGET, x_request_id="a")
        await until(lambda: len(node.targets[0].journal) == 1)
        if name == "peer leaves":
            await client.close()
        else:
            reply = await client.reply()
            assert reply.complete == (name != "cut")
            assert reply.error == (kind if kind and name != "cut" else "")
        await until(lambda: len(node.egress_calls) == 1)
        assert node.admission.load(TARGET).busy == 0
        assert (node.limits.inside, node.egress.in_flight.count) == (0, 0)
        assert node.egress.call_by_ticket == {}
        ended = node.egress_calls[0]
        assert (ended.kind, ended.run_state, ended.service) == (kind, run_state, "orders")
        await until(lambda: node.targets[0].running == 0)
        await client.close()


async def test_queued_request_runs_when_a_slot_is_free(codec: str) -> None:
    """Guards against queued requests that are lost, and against more calls than slots."""
    async with mesh(codec, (1,), slots=1) as built:
        node = built.nodes[0]
        clients = [await peer_client(built) for _ in range(4)]
        for number, client in enumerate(clients):
            client.request(
                "POST",
                "/work/20",
                b"x",
                x_jaypost_target=TARGET,
                x_jaypost_may_queue="1",
                x_jaypost_class="long",
                x_request_id=str(number),
            )
        replies = await asyncio.gather(*(client.reply() for client in clients))
        assert [reply.status for reply in replies] == [200] * 4
        assert node.targets[0].most_running == 1
        assert {call.call_class for call in node.egress_calls} == {CallClass.LONG}
        assert max(call.queue_s for call in node.egress_calls) > 0.03
        for client in clients:
            await client.close()


async def test_body_is_asked_for_only_after_admission(codec: str) -> None:
    """Guards against a large body that is sent to an egress which then refuses it."""
    async with mesh(codec, (1,), slots=1) as built:
        holder, client = await peer_client(built), await peer_client(built)
        holder.request("POST", "/work/300", x_jaypost_target=TARGET)
        await until(lambda: built.nodes[0].targets[0].running == 1)
        head = (
            f"POST /echo HTTP/1.1\r\nHost: orders\r\nx-jaypost-target: {TARGET}\r\n"
            "Content-Length: 200000\r\nExpect: 100-continue\r\n\r\n"
        ).encode()
        client.write(head)
        assert (await client.reply()).error == ErrorKind.SLOTS_FULL
        assert await client.at_eof()
        assert (await holder.reply()).status == 200
        again = await peer_client(built)
        again.write(head)
        assert (await again.head()).status == 100
        again.write(b"x" * 200_000)
        assert len((await again.reply()).body) == 200_000
        for opened in (holder, client, again):
            await opened.close()


async def test_headers_of_jaypost_are_not_taken_from_the_target(codec: str) -> None:
    """Guards against a target that passes on an error of a call below as its own (P5)."""
    async with mesh(codec, (1,)) as built:
        node = built.nodes[0]
        client = await peer_client(built)
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


async def test_draining_target_takes_calls_until_the_delay_is_over(codec: str) -> None:
    """Guards against calls refused before the fleet knows of a drain, and late starts (P7)."""
    async with mesh(codec, (1,), slots=1, drain_delay_s=0.5) as built:
        node = built.nodes[0]
        node.targets[0].behaviour = Behaviour(slow_ms=1500)
        first, second = await peer_client(built), await peer_client(built)
        node.state = TargetState.DRAINING
        built.publish()
        headers = {"x_jaypost_target": TARGET, "x_jaypost_may_queue": "1"}
        first.request("POST", "/work/0", b"x", x_request_id="a", **headers)
        await until(lambda: len(node.targets[0].journal) == 1)
        second.request("POST", "/work/0", b"x", x_request_id="b", **headers)
        waited = await second.reply()
        assert (waited.error, waited.run) == (ErrorKind.DRAINING, RunState.NOT_RUN)
        assert (await first.reply()).status == 200
        assert [entry.request_id for entry in node.targets[0].journal] == ["a"]
        await first.close()
        await second.close()


async def test_dead_target_gets_no_requests_until_it_is_alive(codec: str) -> None:
    """Guards against a target that breaks connections off and draws requests with free slots."""
    async with fake_peer([Close()]) as dead, mesh(codec, (1,), slots=2) as built:
        node = built.nodes[0]
        node.targets[0].port = dead.address.port
        built.publish()
        client = await peer_client(built)
        headers = {"x_jaypost_target": TARGET}
        for number in range(BROKEN_IN_A_ROW):
            reply = await client.call("POST", "/work/0", x_request_id=f"b{number}", **headers)
            assert (reply.error, reply.run) == (ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        reply = await client.call("POST", "/work/0", x_request_id="refused", **headers)
        assert (reply.error, reply.run) == (ErrorKind.TARGET_DOWN, RunState.NOT_RUN)
        assert reply.headers["x-jaypost-load"] == "2/2/0"
        assert dead.requests == BROKEN_IN_A_ROW
        await asyncio.sleep(TRIAL_INTERVAL_S)
        await client.call("POST", "/work/0", x_request_id="trial", **headers)
        assert dead.requests == BROKEN_IN_A_ROW + 1
        node.egress.target_alive(TARGET)
        await client.call("POST", "/work/0", x_request_id="after", **headers)
        assert dead.requests == BROKEN_IN_A_ROW + 2
        await client.close()


async def test_queue_of_a_target_that_dies_is_handed_over(codec: str) -> None:
    """Guards against queued requests that are fed to a dead target one after the other."""
    async with mesh(codec, (1,), slots=1) as built:
        node = built.nodes[0]
        running, waiting = await peer_client(built), await peer_client(built)
        headers = {"x_jaypost_target": TARGET, "x_jaypost_may_queue": "1"}
        running.request("POST", "/work/2000", x_request_id="a", **headers)
        await until(lambda: len(node.targets[0].journal) == 1)
        waiting.request("POST", "/work/0", x_request_id="b", **headers)
        await until(lambda: len(node.egress.queued_tickets) == 1)
        for _ in range(BROKEN_IN_A_ROW):
            node.egress.target_broke(TARGET)
        reply = await waiting.reply()
        assert (reply.error, reply.run) == (ErrorKind.TARGET_DOWN, RunState.NOT_RUN)
        await running.close()
        await waiting.close()
