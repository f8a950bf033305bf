"""When a request leaves its failure domain, by load pattern."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from jaypost import placement as pl
from jaypost.crossings import DOMAIN_ROUND_TRIP_S, Crossing, CrossingChoice, leaving_share
from jaypost.errors import ErrorKind
from jaypost.health import TargetHealth
from jaypost.records import Address, Load, PlacedTarget, Spill, Target, TargetState

PRICE_S = 0.02
COST_S = PRICE_S + DOMAIN_ROUND_TRIP_S
WORK_S = 0.1
SLOTS = 5


@pytest.mark.parametrize(
    ("wait_here_s", "wait_there_s", "crossing_bytes", "share"),
    [
        pytest.param(0.0, 0.0, 0, 0.0, id="calm"),
        pytest.param(COST_S, 0.0, 0, 0.0, id="saves what it costs"),
        pytest.param(1.5 * COST_S, 0.0, 0, 0.5, id="share rises with the time saved"),
        pytest.param(10.0, 0.0, 0, 1.0, id="crest here, room there"),
        pytest.param(10.0, 10.0, 0, 0.0, id="all full"),
        pytest.param(0.0, 10.0, 0, 0.0, id="crest there"),
        pytest.param(3.0 * COST_S, 0.0, 65_536, 0.0, id="large response"),
    ],
)
def test_share_of_requests_that_leave(
    wait_here_s: float, wait_there_s: float, crossing_bytes: float, share: float
) -> None:
    """Guards against crossings that save less than they cost."""
    crossing = Crossing(wait_here_s, wait_there_s, PRICE_S, crossing_bytes)
    assert leaving_share(crossing) == pytest.approx(share)


def placed(target_id: str, domain: str) -> PlacedTarget:
    target = Target(target_id, "shop", 80, SLOTS, TargetState.READY)
    return PlacedTarget(target, f"n-{target_id}", domain, "east", Address("10.0.0.1", 1))


HERE = tuple(placed(f"h{n}", "a") for n in range(4))
THERE = tuple(placed(f"t{n}", "b") for n in range(4))
FREE, FULL = Load(1, SLOTS, 0), Load(SLOTS, SLOTS, 0)


class Pattern:
    """An ingress that knows the loads of a pattern, and what it chooses."""

    def __init__(self, loads: dict[str, Load], price_s: float = PRICE_S) -> None:
        self.placement = pl.Placement("a", "east", TargetHealth(), random.Random(7))
        self.price_s = price_s
        self.placement.choose(self.query(0.0))
        for _ in range(20):
            for item in HERE + THERE:
                load = loads[item.target.target_id[0]]
                kind = ErrorKind.SLOTS_FULL if load.busy >= load.slots else None
                self.placement.observe(pl.AttemptStarted(item.target.target_id, 0.99))
                self.placement.observe(
                    pl.AttemptEnded(item, kind, 0 if kind else 200, WORK_S, load, 1.0)
                )

    def query(self, now: float) -> pl.ChooseTarget:
        return pl.ChooseTarget(
            "shop",
            HERE + THERE,
            Spill.ANY,
            frozenset(),
            False,
            now,
            crossing_price_s=self.price_s,
        )

    def leaving(self, now: float = 1.001, count: int = 400) -> float:
        """Return the fraction of requests that are sent to the other domain."""
        left = 0
        for _ in range(count):
            chosen = self.placement.choose(self.query(now))
            assert isinstance(chosen, pl.Chosen)
            left += chosen.target.failure_domain == "b"
        return left / count


@pytest.mark.parametrize(
    ("loads", "price_s", "lowest", "highest"),
    [
        pytest.param({"h": FREE, "t": FREE}, PRICE_S, 0.0, 0.0, id="calm"),
        pytest.param(
            {"h": FULL, "t": FREE}, 0.0, 1.0, 1.0, id="no price: leaves when none is free"
        ),
        pytest.param({"h": FULL, "t": FREE}, PRICE_S, 0.0, 0.2, id="full for a moment: waits"),
        pytest.param(
            {"h": Load(SLOTS, SLOTS, 1), "t": FREE}, PRICE_S, 0.5, 1.0, id="short queue: some leave"
        ),
        pytest.param(
            {"h": Load(SLOTS, SLOTS, 9), "t": FREE}, PRICE_S, 1.0, 1.0, id="crest here: leaves"
        ),
        pytest.param(
            {"h": FULL, "t": Load(SLOTS, SLOTS, 9)}, PRICE_S, 0.0, 0.0, id="crest there: waits"
        ),
    ],
)
def test_load_patterns(
    loads: dict[str, Load], price_s: float, lowest: float, highest: float
) -> None:
    """Guards against a domain that is left in calm, or kept in a crest."""
    assert lowest <= Pattern(loads, price_s).leaving() <= highest


def test_old_reports_count_less() -> None:
    """Load: stale reports of a crest. Guards against a domain that is left long after it."""
    pattern = Pattern({"h": Load(SLOTS, SLOTS, 9), "t": FREE})
    assert pattern.leaving(now=60.0) < pattern.leaving()


def test_new_target_in_the_domain_is_used_before_leaving() -> None:
    """Load: crest with a cold target that just joined."""
    pattern = Pattern({"h": Load(SLOTS, SLOTS, 9), "t": FREE})
    new = placed("new", "a")
    query = replace(pattern.query(1.001), targets=(*HERE, *THERE, new))
    chosen = pattern.placement.choose(query)
    assert isinstance(chosen, pl.Chosen) and chosen.target is new


CREST_HERE = {"h": Load(SLOTS, SLOTS, 9), "t": FREE}
CREST_THERE = {"h": FULL, "t": Load(SLOTS, SLOTS, 9)}


@pytest.mark.parametrize(
    ("loads", "price_s", "choice", "may_queue"),
    [
        pytest.param({"h": FREE, "t": FREE}, PRICE_S, None, False, id="calm"),
        pytest.param(CREST_HERE, 0.0, None, False, id="no price"),
        pytest.param(CREST_HERE, PRICE_S, CrossingChoice.LEFT, False, id="crest here"),
        pytest.param(CREST_THERE, PRICE_S, CrossingChoice.STAYED, True, id="crest there"),
    ],
)
def test_choice_is_told_and_a_preview_shows_it(
    loads: dict[str, Load], price_s: float, choice: CrossingChoice | None, may_queue: bool
) -> None:
    """Guards against a metric or an explanation that differs from what was done."""
    pattern = Pattern(loads, price_s)
    previewed = pattern.placement.preview(pattern.query(1.001))
    chosen = pattern.placement.choose(pattern.query(1.001))
    assert isinstance(chosen, pl.Chosen) and chosen == previewed
    assert (chosen.crossing, chosen.may_queue) == (choice, may_queue)


@pytest.mark.parametrize(
    ("targets", "tried", "domains"),
    [
        pytest.param(THERE, frozenset(), {"b"}, id="all hosts of the domain are dead"),
        pytest.param(HERE, frozenset(), {"a"}, id="the other domain is dead or cut off"),
        pytest.param(
            HERE + THERE,
            frozenset({"h0"}),
            {"b"},
            id="a queue of the domain has refused the request",
        ),
    ],
)
def test_failures(
    targets: tuple[PlacedTarget, ...], tried: frozenset[str], domains: set[str]
) -> None:
    """Guards against requests that wait for a domain that cannot serve them."""
    pattern = Pattern({"h": FULL, "t": FREE})
    query = replace(pattern.query(1.001), targets=targets, tried=tried)
    seen = set()
    for _ in range(100):
        chosen = pattern.placement.choose(query)
        assert isinstance(chosen, pl.Chosen)
        seen.add(chosen.target.failure_domain)
    assert seen == domains
