"""Comparison of a new version with the old one, by kind of fault."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from jaypost.rollouts.evidence import (
    EvidenceCounter,
    RouteEvidence,
    Verdict,
    combine,
    judge,
    since,
)

ROUTES = ("browse", "order")
# Whether a response fails, and by which factor it takes longer, from its route.
Fault = Callable[[random.Random, str], tuple[bool, float]]


def sample(seed: str, count: int, fault: Fault, speed: float = 1.0) -> dict[str, RouteEvidence]:
    """Count responses with durations around 0.15 s at targets of different speed."""
    rng = random.Random(seed)
    counter = EvidenceCounter()
    for number in range(count):
        route = ROUTES[number % len(ROUTES)]
        failed, factor = fault(rng, route)
        counter.add(route, failed, rng.lognormvariate(-1.9, 0.5) * factor / speed)
    return combine(counter.totals())


def sound(rng: random.Random, route: str) -> tuple[bool, float]:
    return rng.random() < 0.01, 1.0


def failing(rng: random.Random, route: str) -> tuple[bool, float]:
    return rng.random() < 0.45, 1.0


def slow(rng: random.Random, route: str) -> tuple[bool, float]:
    return False, 8.0 if rng.random() < 0.5 else 1.0


def failing_on_one_route(rng: random.Random, route: str) -> tuple[bool, float]:
    return route == "order" and rng.random() < 0.45, 1.0


def cold(rng: random.Random, route: str) -> tuple[bool, float]:
    return rng.random() < 0.01, 2.0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("fault", "speed", "count", "verdict"),
    [
        pytest.param(sound, 1.0, 400, Verdict.NO_WORSE, id="good"),
        pytest.param(sound, 0.6, 400, Verdict.NO_WORSE, id="good on a slow machine"),
        pytest.param(cold, 1.0, 400, Verdict.NO_WORSE, id="good and still cold"),
        pytest.param(sound, 1.0, 30, Verdict.TOO_FEW, id="too few"),
        pytest.param(failing, 1.0, 50, Verdict.WORSE, id="errors"),
        pytest.param(slow, 1.0, 60, Verdict.WORSE, id="slow"),
        pytest.param(failing_on_one_route, 1.0, 100, Verdict.WORSE, id="one route"),
    ],
)
def test_verdict(fault: Fault, speed: float, count: int, verdict: Verdict, seed: int) -> None:
    """Guards against a bad version that is kept (EXPOSURE), and a good one that is rolled back."""
    old = sample(f"old {seed}", 1000, sound)
    assert judge(sample(f"new {seed}", count, fault, speed), old) is verdict


@pytest.mark.parametrize("seed", range(20))
def test_fault_that_begins_late_shows_in_the_last_seconds(seed: int) -> None:
    """Guards against a late fault that vanishes among earlier responses."""
    before = sample(f"before {seed}", 2_000, sound)
    after = sample(f"after {seed}", 60, failing)
    total = combine((*before.values(), *after.values()))
    old = sample(f"old {seed}", 1000, sound)
    assert judge(since(total, before), old) is Verdict.WORSE


def test_nothing_is_concluded_without_the_old_version() -> None:
    """Guards against a roll-back for want of a comparison."""
    new = sample("new", 200, failing)
    assert judge(new, {}) is not Verdict.WORSE
