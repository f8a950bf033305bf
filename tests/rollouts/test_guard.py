"""What a node does with the steps of a roll-out at its own targets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jaypost.admission import CallClass
from jaypost.calls import CallEnded
from jaypost.errors import ErrorKind, RunState
from jaypost.records import RolloutPhase, RolloutStep, Target, TargetState
from jaypost.rollouts.evidence import RouteEvidence
from jaypost.rollouts.guard import RolloutGuard
from tests.rollouts.test_decisions import CANARY, FULL

OLD_TARGET = Target("t1", "shop", 80, 5, TargetState.READY, version="v1")
NEW_TARGET = Target("t2", "shop", 81, 5, TargetState.READY, version="v2")


def ended(kind: ErrorKind | None = None, status: int = 200) -> CallEnded:
    run = RunState.RAN if kind is None else RunState.UNKNOWN
    return CallEnded(
        "a", "shop", "w", CallClass.SHORT, 1, kind, status, run, 1, 0.0, 0.1, 0.1, route="browse"
    )


@pytest.mark.parametrize(
    ("call", "answered", "failed"),
    [
        pytest.param(ended(), 1, 0, id="response"),
        pytest.param(ended(status=404), 1, 0, id="error of the caller"),
        pytest.param(ended(status=500), 1, 1, id="server error"),
        pytest.param(ended(ErrorKind.ANSWER_CUT), 1, 1, id="truncated response"),
        pytest.param(ended(ErrorKind.CONNECT_FAILED), 1, 1, id="no connection"),
        pytest.param(ended(ErrorKind.SLOTS_FULL), 0, 0, id="refused by the node"),
        pytest.param(ended(ErrorKind.CANCELLED), 0, 0, id="caller has left"),
    ],
)
def test_results_are_counted_by_version(call: CallEnded, answered: int, failed: int) -> None:
    guard = RolloutGuard("n1", 1)
    guard.offer((CANARY,), 0.0)
    guard.record(call, NEW_TARGET)
    report = guard.report(CANARY, (), 1.0)
    counted = [(item.answered, item.failed) for item in report.new]
    assert counted == ([(answered, failed)] if answered else [])
    assert report.old == ()


def test_counts_start_again_with_each_order() -> None:
    """Guards against results of an earlier order in the comparison of the next one."""
    guard = RolloutGuard("n1", 1)
    guard.offer((CANARY,), 0.0)
    guard.record(ended(status=500), NEW_TARGET)
    later = replace(CANARY, order=9, version="v3")
    guard.offer((later,), 1.0)
    guard.record(ended(), OLD_TARGET)
    report = guard.report(later, (), 2.0)
    assert report.new == () and [type(item) for item in report.old] == [RouteEvidence]
    assert guard.order_age_s(later, 3.0) == 2.0


@pytest.mark.parametrize(
    ("step", "excluded"),
    [
        pytest.param(CANARY, set(), id="canary"),
        pytest.param(FULL, {"t1"}, id="all requests move"),
        pytest.param(replace(FULL, phase=RolloutPhase.SUCCEEDED, number=3), {"t1"}, id="succeeded"),
        pytest.param(
            replace(CANARY, phase=RolloutPhase.ROLLED_BACK, number=2), {"t2"}, id="rolled back"
        ),
    ],
)
def test_node_refuses_calls_for_excluded_targets(step: RolloutStep, excluded: set[str]) -> None:
    """Guards against calls of hosts that have not heard the step (EXPOSURE)."""
    guard = RolloutGuard("n1", 1)
    guard.offer((step,), 0.0)
    targets = (OLD_TARGET, NEW_TARGET)
    assert {target.target_id for target in targets if guard.excludes(target)} == excluded
    report = guard.report(step, ((OLD_TARGET, 2), (NEW_TARGET, 3)), 1.0)
    assert report.excluded_calls == sum({"t1": 2, "t2": 3}[i] for i in excluded)


def test_older_step_is_ignored() -> None:
    guard = RolloutGuard("n1", 1)
    assert guard.offer((FULL,), 0.0) and not guard.offer((CANARY,), 1.0)
    assert guard.steps() == (FULL,)
