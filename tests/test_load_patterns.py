"""Load patterns of the heaviest days, played against the admission of one target."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

import pytest

from jaypost import admission as adm
from jaypost import uplink as uplink_module
from jaypost.records import Row, Target, TargetState
from jaypost.transfers import Transfers
from jaypost.uplink import Uplink
from tests.link_fakes import Clock, FakeProtocol, FakeTransport

SLOTS = 10
WORK_S = 0.1
LATENCY_TARGET_S = 0.4
DEADLINE_S = 1.0
CREST_S = 6.0
WARM_UP_S = 2.0
# Requests per second that the slots can execute.
CAPACITY = SLOTS / WORK_S
ROW = Row("portal", queue_limit=64)


@dataclass(frozen=True)
class Kind:
    """A kind of request: its share of the load and its rank."""

    name: str
    share: float
    priority: int


@dataclass(frozen=True)
class Work:
    """Durations of requests: a part of them take many times longer than the rest.

    `returned` is the part of the requests that were refused before, and `spent_s` the time that
    they have spent.
    """

    tail: float = 0.0
    tail_factor: float = 7.0
    returned: float = 0.0
    spent_s: float = 0.2

    def draw_s(self, rng: random.Random) -> float:
        """Return the duration of one request."""
        work_s = rng.expovariate(2 / WORK_S) + WORK_S / 2
        return work_s * (self.tail_factor if rng.random() < self.tail else 1.0)


EVEN_WORK = Work()
# Three in a hundred take seven times as long, and callers whose request was refused come back.
UNEVEN_WORK = Work(tail=0.03, returned=0.3)


@dataclass(frozen=True)
class Outcome:
    """What became of the requests of one kind during the crest."""

    asked: int
    on_time: int
    late: int
    refused_s: list[float]

    @property
    def on_time_share(self) -> float:
        return self.on_time / self.asked


def play(kinds: list[Kind], load: float, seed: int, work: Work = EVEN_WORK) -> dict[str, Outcome]:
    """Offer `load` times the capacity for some seconds and return the outcome by kind."""
    rng = random.Random(seed)
    queue = adm.Admission()
    target = Target("t", "portal", 1, SLOTS, TargetState.READY)
    queue.handle(adm.SetTargets((target,), 0.0))
    agenda: list[tuple[float, int, object]] = []
    order = itertools.count()
    arrived: dict[str, tuple[float, Kind]] = {}
    counts = {kind.name: Counter[str]() for kind in kinds}
    refused_s: dict[str, list[float]] = {kind.name: [] for kind in kinds}

    def decide(decisions: tuple[adm.Decision, ...], now: float) -> None:
        for decision in decisions:
            began, kind = arrived[decision.ticket]
            if isinstance(decision, adm.Admitted):
                ends_at = now + work.draw_s(rng)
                heapq.heappush(agenda, (ends_at, next(order), (decision.ticket, now)))
            elif isinstance(decision, adm.Refused) and began > WARM_UP_S:
                refused_s[kind.name].append(now - began)

    now, number = 0.0, 0
    while now < WARM_UP_S + CREST_S:
        rate = CAPACITY * (load if now > WARM_UP_S else 0.7)
        heapq.heappush(agenda, (now, next(order), number))
        now += rng.expovariate(rate)
        number += 1
    ticks = int((WARM_UP_S + CREST_S) / 0.02)
    for tick in range(ticks):
        heapq.heappush(agenda, (tick * 0.02, next(order), None))
    while agenda:
        now, _, event = heapq.heappop(agenda)
        if event is None:
            decide(queue.handle(adm.Tick(now)), now)
        elif isinstance(event, tuple):
            ticket, started = event
            began, kind = arrived[ticket]
            if began > WARM_UP_S:
                ended = "on_time" if now - began <= LATENCY_TARGET_S else "late"
                counts[kind.name][ended] += 1
            decide(queue.handle(adm.Release(ticket, now - started, now)), now)
        else:
            kind = rng.choices(kinds, [item.share for item in kinds])[0]
            ticket = str(event)
            spent_s = work.spent_s if rng.random() < work.returned else 0.0
            arrived[ticket] = (now - spent_s, kind)
            if now - spent_s > WARM_UP_S:
                counts[kind.name]["asked"] += 1
            request = adm.Admit(
                ticket,
                "t",
                ROW,
                "default",
                adm.CallClass.SHORT,
                now - spent_s + DEADLINE_S,
                True,
                now,
                kind.priority,
                now - spent_s + LATENCY_TARGET_S,
            )
            decide(queue.handle(request), now)
    return {
        name: Outcome(count["asked"], count["on_time"], count["late"], refused_s[name])
        for name, count in counts.items()
    }


VIEW = Kind("view", 0.75, 2)
ORDER = Kind("order", 0.25, 1)


@pytest.mark.parametrize("load", [1.2, 1.5, 2.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_that_lasts_seconds_is_served_on_time_up_to_the_capacity(load, seed):
    """Guards against a queue so long that every answer is late, in a crest of seconds."""
    outcome = play([VIEW], load, seed)["view"]
    assert outcome.on_time_share >= 0.9 * 0.9 / load
    assert outcome.late <= 0.05 * outcome.asked


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_refusals_in_a_crest_come_at_once(seed):
    """Guards against requests that wait for most of their time and are refused then."""
    refused_s = sorted(play([VIEW], 1.8, seed)["view"].refused_s)
    assert refused_s
    assert refused_s[len(refused_s) // 2] <= LATENCY_TARGET_S / 8


@pytest.mark.parametrize("load", [1.3, 1.8])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_requests_come_first_in_a_crest(load, seed):
    """Guards against a less urgent kind that is served better than a more urgent one."""
    outcomes = play([VIEW, ORDER], load, seed)
    assert outcomes["order"].on_time_share >= outcomes["view"].on_time_share
    assert outcomes["order"].on_time_share >= 0.9


@pytest.mark.parametrize("load", [1.3, 1.8])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_requests_come_first_beside_a_few_long_ones(load, seed):
    """Guards against urgent requests that are refused after each long one, and others served.

    The urgent kind needs less than half of the slots, so all but those whose own work is long or
    whose time is nearly spent can be answered in time.
    """
    order = play([VIEW, ORDER], load, seed, UNEVEN_WORK)["order"]
    assert order.on_time_share >= 0.9 * (1.0 - UNEVEN_WORK.tail)


LINK_MBPS = 8.0
DOWNLOAD_BYTES = 90_000
LOOKUP_BYTES = 300
LOOKUPS_PER_S = 40
DOWNLOAD_WORK_S = 0.1
DOWNLOAD_TARGET_S = 1.0


@dataclass
class ThinLink:
    """One host on a thin link that answers downloads and small lookups."""

    load: float
    seed: int
    monkeypatch: pytest.MonkeyPatch

    def __post_init__(self) -> None:
        self.clock = Clock()
        self.monkeypatch.setattr(uplink_module.asyncio, "get_running_loop", lambda: self.clock)
        self.uplink = Uplink(LINK_MBPS)
        self.uplink.clock = lambda: self.clock.now
        self.transfers = Transfers(self.uplink)
        self.transfers.observe("portal", "/download", DOWNLOAD_BYTES)
        self.queue = adm.Admission()
        target = Target("t", "portal", 1, SLOTS, TargetState.READY)
        self.queue.handle(adm.SetTargets((target,), self.clock.now))
        self.began_by_wire: dict[FakeTransport, float] = {}
        self.lookups: list[FakeTransport] = []
        self.downloads: list[FakeTransport] = []
        self.refused = 0

    def run(self) -> None:
        """Play a crest of seconds."""
        rng = random.Random(self.seed)
        ends_at = self.clock.now + CREST_S
        per_s = self.load * self.uplink.bytes_per_s / DOWNLOAD_BYTES
        for number in itertools.count():
            self.clock.run_for(rng.expovariate(per_s + LOOKUPS_PER_S))
            if self.clock.now >= ends_at:
                break
            if rng.random() < per_s / (per_s + LOOKUPS_PER_S):
                self._download(str(number))
            else:
                self._answer(LOOKUP_BYTES, self.lookups, self.clock.now)
        self.clock.run_for(2 * DOWNLOAD_TARGET_S)

    def _download(self, ticket: str) -> None:
        now = self.clock.now
        transfer_s = self.transfers.expected_s("portal", "/download")
        (decision,) = self.queue.handle(
            adm.Admit(
                ticket,
                "t",
                ROW,
                "default",
                adm.CallClass.SHORT,
                now + 2 * DOWNLOAD_TARGET_S,
                True,
                now,
                answer_by=now + DOWNLOAD_TARGET_S,
                transfer_s=transfer_s,
                link_wait_s=self.transfers.wait_s(),
            )
        )
        if isinstance(decision, adm.Refused):
            self.refused += 1
            return
        self.transfers.started(ticket, transfer_s)
        self.clock.call_later(DOWNLOAD_WORK_S, lambda: self._ran(ticket, now))

    def _ran(self, ticket: str, began: float) -> None:
        self._answer(DOWNLOAD_BYTES, self.downloads, began)
        self.transfers.ended(ticket)
        self.queue.handle(adm.Release(ticket, DOWNLOAD_WORK_S, self.clock.now))

    def _answer(self, size: int, answers: list[FakeTransport], began: float) -> None:
        wire = FakeTransport(self.clock)
        self.began_by_wire[wire] = began
        answers.append(wire)
        self.uplink.wrap(wire, FakeProtocol()).write(bytes(size))

    def sent_s(self, wire: FakeTransport) -> float:
        """Return the time from the request until its response was on the link."""
        return wire.written[-1][0] - self.began_by_wire[wire]


@pytest.mark.parametrize("load", [0.8, 1.3, 2.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_thin_link_in_a_crest_of_downloads(load, seed, monkeypatch):
    """Guards against lookups that wait behind downloads, and downloads that all end too late."""
    link = ThinLink(load, seed, monkeypatch)
    link.run()
    assert all(link.sent_s(wire) == 0.0 for wire in link.lookups)
    assert all(link.sent_s(wire) <= DOWNLOAD_TARGET_S for wire in link.downloads)
    sent = sum(len(wire.data) for wire in link.downloads)
    asked = (len(link.downloads) + link.refused) * DOWNLOAD_BYTES
    assert sent >= 0.85 * min(asked, CREST_S * link.uplink.bytes_per_s)
    assert not link.refused or load > 1.0
