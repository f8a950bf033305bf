"""Which workspace a request belongs to, and what is left of its key."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jaypost import table
from jaypost.config import ConfigHolder, OfferDeltas, OfferTable
from jaypost.records import Row, Table
from jaypost.workspaces.keys import (
    NO_PRIORITY,
    Identified,
    UnknownKey,
    Workspace,
    WorkspaceIndex,
    identify,
    key_digest,
)
from jaypost.workspaces.rows import keys_of, workspace_rows
from tests.gossip_fleet import make_settings

LETTINGS = Workspace("Lettings_1", 2, 50.0, 100.0)
STUDIO = Workspace("studio")
INDEX = WorkspaceIndex(
    [
        *workspace_rows(LETTINGS, [key_digest("k-let-1"), key_digest("k-let-2")]),
        *workspace_rows(STUDIO, [key_digest("k-studio")]),
    ]
)
OTHER = (b"accept", b"*/*")


def bearer(key: str, scheme: str = "Bearer") -> tuple[bytes, bytes]:
    return b"authorization", f"{scheme} {key}".encode()


@pytest.mark.parametrize(
    ("headers", "without_key", "workspace"),
    [
        pytest.param([OTHER, bearer("k-let-2")], False, LETTINGS, id="known key"),
        pytest.param([bearer("k-studio", "bEARER")], False, STUDIO, id="case of the scheme"),
        pytest.param([bearer("k-studio")], True, STUDIO, id="known key for an open row"),
        pytest.param([OTHER], True, None, id="no key for an open row"),
        pytest.param([bearer("nobody")], True, None, id="unknown key for an open row"),
        pytest.param([OTHER], False, UnknownKey(), id="no key"),
        pytest.param([bearer("nobody")], False, UnknownKey(), id="unknown key"),
        pytest.param([bearer("")], False, UnknownKey(), id="empty key"),
        pytest.param([bearer("k-studio", "Basic")], False, UnknownKey(), id="other scheme"),
        pytest.param([bearer("k-studio"), bearer("k-let-1")], False, UnknownKey(), id="two keys"),
        pytest.param([bearer("k-studio"), bearer("k-studio")], False, UnknownKey(), id="repeated"),
    ],
)
def test_identify(
    headers: list[tuple[bytes, bytes]], without_key: bool, workspace: Workspace | UnknownKey | None
) -> None:
    """Guards against a request that runs for another workspace, and a key that is passed on."""
    found = identify(headers, INDEX, without_key)
    if isinstance(workspace, UnknownKey):
        assert found == workspace
        return
    assert isinstance(found, Identified)
    assert found.workspace == workspace
    assert found.headers == [header for header in headers if header == OTHER]


def test_removed_key_is_unknown_and_the_others_stay() -> None:
    index = WorkspaceIndex(workspace_rows(LETTINGS, [key_digest("k-let-1")]))
    assert index.find(b"k-let-1") == LETTINGS
    assert index.find(b"k-let-2") is None


@pytest.mark.parametrize("count", [0, 1, 64, 65, 1_000, 5_000])
def test_keys_of_a_workspace_fit_into_valid_rows(count: int) -> None:
    """Guards against a version that is refused for the number of its keys."""
    digests = {key_digest(f"key {number}") for number in range(count)}
    rows = {row.service: row for row in workspace_rows(LETTINGS, digests)}
    assert table.validate(rows) == ()
    assert keys_of(rows, LETTINGS.name) == digests


def test_a_few_keys_of_a_large_workspace_travel_as_a_small_delta() -> None:
    """Guards against a whole workspace in each message about one of its keys."""
    digests = {key_digest(f"key {number}") for number in range(5_000)}
    removed = set(sorted(digests)[:3])
    old, new = (
        table.make_table(version, {row.service: row for row in workspace_rows(LETTINGS, held)})
        for version, held in ((1, digests), (2, digests - removed))
    )
    delta = table.delta_between(old, new, "a", 0)
    assert 1 <= len(delta.rows) <= 3
    assert len(table.encode(delta)) < 12_000


@pytest.mark.parametrize(
    ("changes", "column"),
    [
        ({"key_digests": ("k-plain",)}, "key_digests"),
        ({"key_digests": (key_digest("a"),) * 2}, "key_digests"),
        ({"workspace": ""}, "key_digests"),
        ({"workspace": "with space"}, "workspace"),
        ({"path_prefix": "/"}, "workspace"),
        ({"priority": -2}, "priority"),
        ({"priority": 1_001}, "priority"),
    ],
)
def test_odd_rows_of_workspaces_are_refused(changes: dict[str, object], column: str) -> None:
    (row,) = workspace_rows(STUDIO, [key_digest("k-studio")])
    rows = {row.service: replace(row, **changes)}  # type: ignore[arg-type]
    assert column in {problem.column for problem in table.validate(rows)}


def test_priority_below_zero_is_only_for_workspaces() -> None:
    assert table.validate({"a": Row("a", priority=NO_PRIORITY)})


def make_version(version: int, *keys: str) -> Table:
    rows = [Row("shop"), *workspace_rows(LETTINGS, map(key_digest, keys))]
    return table.make_table(version, {row.service: row for row in rows})


def test_index_follows_the_version_in_force() -> None:
    """Guards against a removed key that works on, and an index built for each unrelated change."""
    holder = ConfigHolder(make_settings("n", "d", "r"), "n")
    first, second = make_version(1, "a", "b"), make_version(2, "b")
    holder.offer(OfferTable(first))
    assert holder.snapshot.workspaces.find(b"a") == LETTINGS
    holder.offer(OfferDeltas((table.delta_between(first, second, "x", 0),)))
    index = holder.snapshot.workspaces
    assert index.find(b"a") is None and index.find(b"b") == LETTINGS
    third = table.make_table(3, {**second.rows_by_service, "more": Row("more")})
    holder.offer(OfferDeltas((table.delta_between(second, third, "x", 0),)))
    assert holder.snapshot.version == 3 and holder.snapshot.workspaces is index
