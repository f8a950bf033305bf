"""Steps of a roll-out, and the targets that each of them uses."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jaypost.records import (
    Address,
    PlacedTarget,
    RolloutPhase,
    RolloutStep,
    Target,
    TargetState,
)
from jaypost.rollouts.decisions import RolloutOrder, Situation, next_step
from jaypost.rollouts.evidence import Verdict
from jaypost.rollouts.routing import GROUP_SUFFIX, apply_steps, is_excluded

EXPOSURE = 0.1
ORDER = RolloutOrder("shop", "v2", 16.0, 7)
CANARY = RolloutStep("shop", "v2", "v1", RolloutPhase.RUNNING, 0.05, 7, 1)
FULL = replace(CANARY, share=1.0, number=2)
CALM = Situation(ORDER, "v1", 4.0, 4.0, Verdict.NO_WORSE, 100, 100, 0)


@pytest.mark.parametrize(
    ("step", "changes", "phase", "share"),
    [
        pytest.param(None, {}, RolloutPhase.RUNNING, 0.05, id="begins with a part of the exposure"),
        pytest.param(CANARY, {}, None, 0.0, id="compares"),
        pytest.param(
            CANARY,
            {"elapsed_s": 8.0},
            RolloutPhase.RUNNING,
            1.0,
            id="moves all after half the time",
        ),
        pytest.param(
            CANARY,
            {"elapsed_s": 8.0, "verdict": Verdict.TOO_FEW},
            None,
            0.0,
            id="waits for more responses",
        ),
        pytest.param(
            CANARY,
            {"elapsed_s": 10.5, "verdict": Verdict.TOO_FEW},
            RolloutPhase.RUNNING,
            1.0,
            id="does not wait too long",
        ),
        pytest.param(
            CANARY, {"elapsed_s": 9.0, "new_slots": 79}, None, 0.0, id="waits for more targets"
        ),
        pytest.param(
            CANARY,
            {"elapsed_s": 15.5, "new_slots": 0},
            RolloutPhase.ROLLED_BACK,
            0.0,
            id="gives up when no target comes",
        ),
        pytest.param(
            CANARY, {"verdict": Verdict.WORSE}, RolloutPhase.ROLLED_BACK, 0.0, id="bad canary"
        ),
        pytest.param(
            FULL, {"verdict": Verdict.WORSE}, RolloutPhase.ROLLED_BACK, 0.0, id="bad under all load"
        ),
        pytest.param(FULL, {"in_phase_s": 0.9}, None, 0.0, id="observes all load"),
        pytest.param(FULL, {"unconfirmed": 1}, None, 0.0, id="waits for a host with old targets"),
        pytest.param(FULL, {}, RolloutPhase.SUCCEEDED, 1.0, id="done"),
        pytest.param(
            FULL,
            {"unconfirmed": 1, "elapsed_s": 15.5},
            RolloutPhase.SUCCEEDED,
            1.0,
            id="ends in time",
        ),
    ],
)
def test_next_step(
    step: RolloutStep | None, changes: dict[str, object], phase: RolloutPhase | None, share: float
) -> None:
    """Guards against exposure beyond the share, and an order that does not end in its time."""
    following = next_step(step, replace(CALM, **changes), EXPOSURE)  # type: ignore[arg-type]
    if phase is None:
        assert following is None
        return
    assert following is not None
    assert (following.phase, following.share) == (phase, share)
    assert step is None or following.newer_than(step)


@pytest.mark.parametrize(
    ("last", "baseline"),
    [
        pytest.param(FULL, "v1", id="order replaced while it runs"),
        pytest.param(replace(FULL, phase=RolloutPhase.SUCCEEDED), "v2", id="after a success"),
        pytest.param(replace(CANARY, phase=RolloutPhase.ROLLED_BACK), "v1", id="after a roll-back"),
    ],
)
def test_later_order_starts_from_the_version_in_use(last: RolloutStep, baseline: str) -> None:
    """Guards against an abandoned version that counts as the old one of the next order."""
    order = RolloutOrder("shop", "v3", 16.0, 9)
    step = next_step(last, replace(CALM, order=order, baseline="v2"), EXPOSURE)
    assert step is not None and step.newer_than(last)
    assert (step.version, step.baseline, step.number) == ("v3", baseline, 1)


def test_success_goes_before_a_roll_back_that_was_not_written() -> None:
    """Guards against targets of the old version that are used after they were stopped."""
    succeeded = replace(FULL, phase=RolloutPhase.SUCCEEDED, number=3)
    rolled_back = replace(FULL, phase=RolloutPhase.ROLLED_BACK, number=3)
    assert succeeded.newer_than(rolled_back) and not rolled_back.newer_than(succeeded)


def placed(number: int, version: str, region: str = "east") -> PlacedTarget:
    target = Target(f"t{number}", "shop", 80, 5, TargetState.READY, incarnation=1, version=version)
    return PlacedTarget(target, f"n{number}", f"{region}-a", region, Address("10.0.0.1", number))


OLD = tuple(placed(n, "v1", ("east", "west")[n % 2]) for n in range(20))
NEW = tuple(placed(n, "v2", ("east", "west")[n % 2]) for n in range(20, 40))
ABANDONED = (placed(50, "v0"),)


@pytest.mark.parametrize(
    ("step", "targets", "main", "canary_count"),
    [
        pytest.param(CANARY, OLD + NEW, OLD, 1, id="canary"),
        pytest.param(replace(CANARY, share=0.1), OLD + NEW, OLD, 2, id="one canary in each region"),
        pytest.param(CANARY, OLD + NEW + ABANDONED, OLD, 1, id="version of a replaced order"),
        pytest.param(CANARY, OLD, OLD, 0, id="no target of the new version yet"),
        pytest.param(FULL, OLD + NEW, NEW, 0, id="all requests move"),
        pytest.param(
            replace(FULL, phase=RolloutPhase.SUCCEEDED), OLD + NEW, NEW, 0, id="succeeded"
        ),
        pytest.param(
            replace(CANARY, phase=RolloutPhase.ROLLED_BACK), OLD + NEW, OLD, 0, id="rolled back"
        ),
        pytest.param(
            replace(CANARY, phase=RolloutPhase.ROLLED_BACK), NEW, (), 0, id="nothing but bad ones"
        ),
    ],
)
def test_targets_of_a_step(
    step: RolloutStep,
    targets: tuple[PlacedTarget, ...],
    main: tuple[PlacedTarget, ...],
    canary_count: int,
) -> None:
    """Guards against requests at a version that the step does not allow (EXPOSURE, ROUTE)."""
    routed = apply_steps({"shop": targets, "other": OLD}, (step,))
    assert routed.targets_by_service.get("shop", ()) == main
    assert routed.targets_by_service["other"] is OLD
    canaries = routed.targets_by_service.get("shop" + GROUP_SUFFIX, ())
    assert len(canaries) == canary_count
    assert len({item.region for item in canaries}) == min(canary_count, 2)
    if step.phase is RolloutPhase.RUNNING:
        share = routed.canary_by_service["shop"].share
        assert share == (step.share if canary_count else 0.0)
    assert not any(is_excluded(item.target, step) for item in main)
