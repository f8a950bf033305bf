"""Where a request would go, as `jaypost explain-request` tells, without an effect on the node."""

from __future__ import annotations

import random

import pytest

from jaypost.explanations import NodeIdentity
from jaypost.health import TargetHealth
from jaypost.placement import ChooseTarget, Placement
from jaypost.records import (
    Address,
    Canary,
    Destination,
    PlacedTarget,
    RouteIndex,
    Row,
    Snapshot,
    Spill,
    Target,
    TargetState,
)
from jaypost.request_explanations import (
    DecisionSources,
    RequestExplanation,
    RequestQuery,
    explain_request,
)
from jaypost.workspaces.keys import Workspace, WorkspaceIndex, key_digest
from jaypost.workspaces.rows import workspace_rows

TARGETS = tuple(
    PlacedTarget(
        Target(f"t{n}", "shop", 80, 5, TargetState.READY, version="v1"),
        f"n{n}",
        "east-a",
        "east",
        Address("10.0.0.1", n),
    )
    for n in range(3)
)
ROUTE = Row("route.shop", "shop.example", "/a/", (Destination("shop", 1),), priority=3)
OPEN_ROUTE = Row(
    "route.open", "shop.example", "/open/", (Destination("shop", 1),), without_key=True
)
LETTINGS = Workspace("lettings", 1, 50.0, 10.0)
WORKSPACES = WorkspaceIndex(workspace_rows(LETTINGS, [key_digest("k")]))


class Node:
    """Placement and snapshot of one node."""

    def __init__(self, workspaces: WorkspaceIndex, version: int = 7) -> None:
        self.health = TargetHealth()
        self.placement = Placement("east-a", "east", self.health, random.Random(3))
        rows = {row.service: row for row in (ROUTE, OPEN_ROUTE, Row("shop", path_prefix=""))}
        self.snapshot = Snapshot(
            version,
            rows,
            {"route.shop": (Destination("shop", 1),), "route.open": (Destination("shop", 1),)},
            {},
            {"shop": TARGETS},
            RouteIndex(rows.values()),
            {"shop": Canary("shop@canary", 0.05)},
            workspaces,
        )

    def explain(self, path: str, workspace: str = "") -> RequestExplanation:
        sources = DecisionSources(
            self.snapshot,
            NodeIdentity("n0", "east-a", "east"),
            self.placement.preview,
            lambda target_id: self.health.weight(target_id, 0.0),
            self.placement.reported_load,
            {"lettings": 1.5},
            0.0,
            0.0,
        )
        return explain_request(RequestQuery("Shop.Example:80", path, "GET", workspace), sources)


@pytest.mark.parametrize(
    ("path", "workspace", "version", "refused", "status"),
    [
        pytest.param("/a/1", "lettings", 7, "", 0, id="known workspace"),
        pytest.param("/a/1", "", 7, "unknown_key", 401, id="without a key"),
        pytest.param("/a/1", "nobody", 7, "unknown_key", 401, id="unknown workspace"),
        pytest.param("/open/1", "", 7, "", 0, id="route without keys"),
        pytest.param("/b/1", "lettings", 7, "unknown_service", 404, id="unknown route"),
        pytest.param("/a/1", "lettings", 0, "not_ready", 503, id="no version yet"),
    ],
)
def test_refusal_is_that_of_the_ingress(
    path: str, workspace: str, version: int, refused: str, status: int
) -> None:
    explanation = Node(WORKSPACES, version).explain(path, workspace)
    assert (explanation.refused, explanation.status) == (refused, status)


def test_choice_is_that_of_the_next_request() -> None:
    """Guards against an explanation that differs from the decision, or changes it."""
    node = Node(WORKSPACES)
    explained = node.explain("/a/1", "lettings")
    assert node.explain("/a/1", "lettings") == explained
    (destination,) = explained.destinations
    query = ChooseTarget("shop", TARGETS, Spill.ANY, frozenset(), False, 0.0)
    chosen = node.placement.choose(query)
    assert destination.choices[0].target_id == chosen.target.target.target_id  # type: ignore[union-attr]
    assert destination.choices[1].target_id != destination.choices[0].target_id
    assert (destination.canary_share, destination.choices[0].version) == (0.05, "v1")


def test_workspace_goes_before_the_route() -> None:
    explained = Node(WORKSPACES).explain("/a/1", "lettings")
    assert (explained.priority, explained.rate_limit, explained.share_rate) == (1, 50.0, 1.5)
    assert Node(WorkspaceIndex()).explain("/a/1").priority == 3
