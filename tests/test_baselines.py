"""Tests of the baseline policies that `bench.service` compares jaypost with."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from bench.baselines import PLACEMENT_BY_POLICY
from jaypost.health import TargetHealth
from jaypost.placement import AttemptStarted, ChooseTarget, Chosen
from jaypost.records import Address, PlacedTarget, Spill, Target, TargetState


def _targets(count: int) -> tuple[PlacedTarget, ...]:
    return tuple(
        PlacedTarget(
            Target(f"t{number}", "orders", 1, 4, TargetState.READY),
            f"n{number}",
            f"d{number}",
            f"r{number % 2}",
            Address("127.0.0.1", 1),
        )
        for number in range(count)
    )


@pytest.mark.parametrize("policy", list(PLACEMENT_BY_POLICY))
def test_first_attempt_may_queue_at_every_target(policy: str) -> None:
    # Guards against a baseline that inherits from jaypost the preference for near targets, or the
    # rule that a first attempt may not wait in a queue.
    placement = PLACEMENT_BY_POLICY[policy]("d0", "r0", TargetHealth(10.0), random.Random(1))
    targets = _targets(4)
    counts: Counter[str] = Counter()
    for number in range(40):
        query = ChooseTarget("orders", targets, Spill.ANY, frozenset(), False, float(number))
        chosen = placement.choose(query)
        assert isinstance(chosen, Chosen) and chosen.may_queue
        counts[chosen.target.target.target_id] += 1
        placement.observe(AttemptStarted(chosen.target.target.target_id, float(number)))
    assert max(counts.values()) - min(counts.values()) <= 2 and len(counts) == 4
