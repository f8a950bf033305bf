"""Targets that name how many requests a second they take from all nodes together."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from jaypost.admission import (
    Admission,
    Admit,
    Admitted,
    CallClass,
    Refused,
    Release,
    ReportRate,
    SetTargets,
    Tick,
)
from jaypost.breakers import FAILURES_TO_OPEN
from jaypost.calls import parse_rate
from jaypost.errors import RunState
from jaypost.records import Address, Row, Target, TargetState
from tests.harness import RawClient, Reply, UvloopPolicy, running_mesh
from tests.test_faulty_targets import FaultyTarget, egress_of, response, send

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


class Demand:
    """Requests that arrive at one target evenly, in virtual time, and are admitted or refused."""

    def __init__(self, may_queue: bool, slots: int = 12, run_s: float = 0.1) -> None:
        self.may_queue, self.run_s, self.now = may_queue, run_s, 0.0
        self.admission = Admission()
        target = Target("t", "orders", 9000, slots, TargetState.READY)
        self.admission.handle(SetTargets((target,), 0.0))
        self.row = Row("orders")
        self.started_at: list[float] = []
        self.refused = 0
        self.arrivals = 0
        self.ends_by_ticket: dict[str, float] = {}

    def name_rate(self, rate: float | None) -> None:
        self.decide(ReportRate("t", rate, self.now))

    def run(self, per_s: float, for_s: float) -> None:
        """Let requests arrive for a time, with a tick every 20 ms."""
        until, next_arrival = self.now + for_s, self.now
        while self.now < until:
            self.now += 0.001
            for ticket, ends_at in list(self.ends_by_ticket.items()):
                if ends_at <= self.now:
                    del self.ends_by_ticket[ticket]
                    self.decide(Release(ticket, self.run_s, self.now))
            if round(self.now * 1000) % 20 == 0:
                self.decide(Tick(self.now))
            if self.now >= next_arrival:
                next_arrival += 1.0 / per_s
                self.arrivals += 1
                ticket, deadline = str(self.arrivals), self.now + 1.0
                self.decide(
                    Admit(
                        ticket,
                        "t",
                        self.row,
                        "a",
                        CallClass.SHORT,
                        deadline,
                        self.may_queue,
                        self.now,
                    )
                )

    def decide(self, message: object) -> None:
        for decision in self.admission.handle(message):
            if isinstance(decision, Admitted):
                self.started_at.append(self.now)
                self.ends_by_ticket[decision.ticket] = self.now + self.run_s
            elif isinstance(decision, Refused):
                self.refused += 1

    def most_in_window(self, after: float) -> int:
        times = [at for at in self.started_at if at > after]
        return max(sum(at <= other < at + WINDOW_S for other in times) for at in times)


@pytest.mark.parametrize("may_queue", [False, True])
@pytest.mark.parametrize("rate", [0.0, 0.4, 5.7, 24.0, 50.2])
def test_named_rate_bounds_each_window_and_is_used(rate: float, may_queue: bool) -> None:
    """Guards against a target in need that is overrun, and against one that is left idle."""
    demand = Demand(may_queue)
    demand.run(per_s=100.0, for_s=2.0)
    named_at = demand.now
    demand.name_rate(rate)
    demand.run(per_s=100.0, for_s=10.0)
    most = demand.most_in_window(named_at)
    assert most <= RATE_FACTOR * rate * WINDOW_S + EXTRA_REQUESTS
    assert most >= 0.9 * rate * WINDOW_S
    demand.name_rate(None)
    lapsed_at = demand.now
    demand.run(per_s=100.0, for_s=4.0)
    assert demand.most_in_window(lapsed_at) > 0.9 * 100.0 * WINDOW_S


def test_rate_of_an_earlier_start_does_not_bind_the_later_one() -> None:
    """Guards against a target that starts again under its id and gets few requests."""
    demand = Demand(may_queue=False)
    demand.name_rate(0.4)
    demand.run(per_s=100.0, for_s=2.0)
    restarted = Target("t", "orders", 9000, 12, TargetState.READY, 8)
    demand.decide(SetTargets((restarted,), demand.now))
    restarted_at = demand.now
    demand.run(per_s=100.0, for_s=4.0)
    assert demand.most_in_window(restarted_at) > 0.9 * 100.0 * WINDOW_S


async def test_egress_keeps_nothing_of_an_earlier_start() -> None:
    """Guards against a target that starts again under its id and counts as down or limited."""
    async with running_mesh("httptools", (0,), row=Row("orders")) as mesh:
        egress = mesh.nodes[0].egress
        egress.admission = Admission()
        first = Target("t", "orders", 9000, 4, TargetState.READY, 7)
        gone, second = replace(first, state=TargetState.GONE), replace(first, incarnation=8)
        egress.set_targets((first,))
        egress.note_rate(first, 0.0)
        for _ in range(FAILURES_TO_OPEN):
            egress.record_broken_connection("t")
        egress.set_targets((gone,))
        egress.set_targets((second,))
        egress.note_rate(first, 0.0)  # a late response
        assert (egress.rates.rate_by_id, egress.breakers.is_open("t")) == ({}, False)
        egress.note_rate(second, 5.0)
        assert egress.rates.rate_by_id == {"t": 5.0}


@pytest.mark.parametrize("rates", [(20.0, 10.0), (10.0, 20.0), (20.0, None, 20.0)])
def test_changes_of_the_rate_give_no_additional_requests(rates: tuple[float | None, ...]) -> None:
    """Guards against a target that names its rate anew in each response and is overrun by that."""
    demand = Demand(may_queue=False)
    for _ in range(200):
        for rate in rates:
            if rate is not None:
                demand.name_rate(rate)
            demand.run(per_s=100.0, for_s=0.02)
    highest = max(rate for rate in rates if rate is not None)
    assert demand.most_in_window(0.0) <= RATE_FACTOR * highest * WINDOW_S + EXTRA_REQUESTS


def test_target_at_its_rate_reports_no_free_slot() -> None:
    """Guards against ingress nodes that prefer the target because it seems to be idle."""
    demand = Demand(may_queue=False)
    demand.run(per_s=50.0, for_s=1.0)
    demand.name_rate(10.0)
    demand.run(per_s=50.0, for_s=2.0)
    load = demand.admission.load("t")
    assert load.busy >= load.slots
    assert load.slots < 12


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"26.5", 26.5),
        (b"0", 0.0),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e999", None),
        (b"many", None),
    ],
)
def test_malformed_rates_are_ignored(value: bytes, rate: float | None) -> None:
    """Guards against a faulty target that stops its own requests, or lifts its limit."""
    assert parse_rate(value) == rate


async def name_rate_once(writer: asyncio.StreamWriter, request_id: str) -> None:
    writer.write(response(request_id, "200 OK", b"ran", "x-jaypost-rate: 26.5"))


async def name_no_rate(writer: asyncio.StreamWriter, request_id: str) -> None:
    writer.write(response(request_id, "200 OK", b"ran"))


async def say_nothing(writer: asyncio.StreamWriter, request_id: str) -> None:
    return None


@pytest.mark.parametrize("codec", ["httptools", "h11"])
async def test_restarted_node_keeps_the_rate_that_an_ingress_knows(codec: str) -> None:
    """Guards against all slots of a target in need being filled when its node is restarted."""
    async with egress_of(codec, say_nothing, admission=Admission()) as (target, client):
        for number in range(20):
            other = await RawClient.open(Address(*client.writer.get_extra_info("peername")[:2]))
            other.send_request(
                "POST",
                "/work/0",
                b"",
                x_jaypost_target="faulty",
                x_request_id=f"r{number}",
                x_jaypost_deadline_ms="5000",
                x_jaypost_rate="0.4",
            )
            if number:
                reply = await other.read_reply()
                assert (reply.status, reply.run) == (503, RunState.NOT_RUN)
            await other.close()
        assert len(target.request_ids) <= 1


@pytest.mark.parametrize("codec", ["httptools", "h11"])
async def test_target_that_was_heard_overrides_what_an_ingress_knows(codec: str) -> None:
    """Guards against a limit that comes back after the target lifted it."""
    async with egress_of(codec, name_no_rate, admission=Admission()) as (target, client):
        assert (await send(client, "first")).status == 200
        for number in range(20):
            reply = await client.call(
                "POST",
                "/work/0",
                b"",
                x_jaypost_target="faulty",
                x_request_id=f"r{number}",
                x_jaypost_rate="0.4",
            )
            assert reply.status == 200
        assert len(target.request_ids) == 21


@pytest.mark.parametrize("codec", ["httptools", "h11"])
async def test_ingress_tells_what_it_knows_of_a_rate(codec: str) -> None:
    """Guards against a restarted node that learns nothing from the ingress nodes."""
    target = FaultyTarget([name_rate_once, name_no_rate])
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    target.port = server.sockets[0].getsockname()[1]
    async with running_mesh(codec, (0,), row=Row("orders"), local=False) as mesh:
        node = mesh.nodes[0]
        node.egress.admission = Admission()
        node.targets.append(target)
        mesh.publish()
        client = await mesh.client()
        assert (await client.call("GET", "/work/0")).status == 200
        assert node.ingress.rate_by_target_id == {"faulty": b"26.5"}
        assert (await client.call("GET", "/work/0")).status == 200
        assert node.ingress.rate_by_target_id == {}
        await client.close()
        node.targets.clear()
    server.close()
