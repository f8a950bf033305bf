"""Guards against explanations that do not tell why a target or destination gets no requests."""

from __future__ import annotations

import pytest

from jaypost.explanations import NodeIdentity, explain
from jaypost.records import (
    Address,
    Destination,
    Load,
    PlacedTarget,
    Row,
    Snapshot,
    Spill,
    Target,
    TargetState,
)

IDENTITY = NodeIdentity("n1", "addis-a", "addis")


def placed(state=TargetState.READY, domain="addis-a", region="addis", reachable=True):
    target = Target("t1", "orders", 9000, 12, state)
    return PlacedTarget(target, "n2", domain, region, Address("127.0.0.1", 1), reachable)


def explain_target(target, spill=Spill.ANY, weight=1.0, load=None):
    snapshot = Snapshot(
        7,
        {"orders": Row("orders", spill=spill)},
        {"orders": (Destination("orders", 1),)},
        {"orders": ("orders-v2",)},
        {"orders": (target,)},
    )
    return explain("orders", snapshot, IDENTITY, lambda key: weight, lambda key: load)


@pytest.mark.parametrize(
    ("changes", "spill", "weight", "obstacle"),
    [
        ({}, "any", 1.0, ""),
        ({"state": TargetState.DRAINING}, "any", 1.0, "draining"),
        ({"domain": "addis-b"}, "domain", 1.0, "spill=domain"),
        ({"domain": "addis-b"}, "region", 1.0, ""),
        ({"domain": "d", "region": "dire"}, "region", 1.0, "spill=region"),
        ({"domain": "d", "region": "dire"}, "any", 1.0, ""),
        ({}, "any", 0.0, "ejected"),
        ({"reachable": False}, "any", 1.0, "unreachable"),
    ],
)
def test_obstacle_tells_why_a_target_is_not_used(changes, spill, weight, obstacle):
    explanation = explain_target(placed(**changes), Spill(spill), weight)
    (target,) = explanation.targets
    assert obstacle in target.obstacle
    assert bool(obstacle) is bool(target.obstacle)
    without_target = "destination orders has no target free of obstacles"
    assert (without_target in explanation.problems) is bool(obstacle)
    assert "destination orders-v2 has no known target" in explanation.problems


def test_load_is_shown_when_known():
    assert explain_target(placed()).targets[0].load == ""
    assert explain_target(placed(), load=Load(1, 12, 3)).targets[0].load == "1/12/3"


def test_service_without_a_row_has_no_explanation():
    assert explain("none", Snapshot(), IDENTITY, lambda key: 1.0, lambda key: None) is None


def test_explanation_of_a_row_without_targets_names_the_error():
    snapshot = Snapshot(1, {"orders": Row("orders")}, pending_by_service={"orders": ("orders",)})
    explanation = explain("orders", snapshot, IDENTITY, lambda key: 1.0, lambda key: None)
    assert any("no_target" in problem for problem in explanation.problems)
