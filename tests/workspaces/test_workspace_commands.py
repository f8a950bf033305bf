"""`jaypost workspace` on a fake store, and the rows that it leaves in the table."""

from __future__ import annotations

from pathlib import Path

import pytest

from jaypost.workspaces.keys import Workspace, WorkspaceIndex
from tests.test_cli import Tool

KEYS = ("k-secret-1", "k-secret-2")


def write_keys(directory: Path, *keys: str) -> str:
    path = directory / "keys.txt"
    path.write_text("\n".join(keys) + "\n")
    return str(path)


def index_of(tool: Tool) -> WorkspaceIndex:
    return WorkspaceIndex(tool.table.newest.rows_by_service.values())


def test_keys_and_limits_are_set_and_changed(tmp_path: Path) -> None:
    """Guards against a change of one limit or key that loses the others, and against shown keys."""
    tool = Tool()
    shown = ""
    arguments = ("--rate-limit", "50", "--add-keys", write_keys(tmp_path, *KEYS))
    assert tool.run("workspace", "set", "lettings", *arguments) == 0
    shown += tool.out + tool.err
    assert tool.run("workspace", "set", "lettings", "--priority", "1") == 0
    shown += tool.out + tool.err
    assert index_of(tool).find(KEYS[0].encode()) == Workspace("lettings", 1, 50.0)
    removed = write_keys(tmp_path, KEYS[0])
    assert tool.run("workspace", "set", "lettings", "--remove-keys", removed) == 0
    shown += tool.out + tool.err
    assert index_of(tool).find(KEYS[0].encode()) is None
    assert index_of(tool).find(KEYS[1].encode()) is not None
    for command in (("workspace", "list"), ("table", "get"), ("table", "history")):
        assert tool.run(*command) == 0
        shown += tool.out + tool.err
    assert not any(key in shown for key in KEYS)


@pytest.mark.parametrize(
    ("others", "flags", "code", "is_left"),
    [
        pytest.param((), (), 2, True, id="last one"),
        pytest.param((), ("--without-keys",), 0, False, id="last one, wanted"),
        pytest.param(("studio",), (), 0, False, id="another one is left"),
    ],
)
def test_last_workspace_is_not_deleted_by_mistake(
    tmp_path: Path, others: tuple[str, ...], flags: tuple[str, ...], code: int, is_left: bool
) -> None:
    """Guards against a table that serves everybody once its last workspace is deleted."""
    tool = Tool()
    for name in ("lettings", *others):
        assert tool.run("workspace", "set", name, "--add-keys", write_keys(tmp_path, name)) == 0
    assert tool.run("workspace", "delete", "lettings", *flags) == code
    assert (index_of(tool).find(b"lettings") is not None) is is_left


def test_unreadable_key_file_is_a_usage_error(tmp_path: Path) -> None:
    tool = Tool()
    missing = str(tmp_path / "missing")
    assert tool.run("workspace", "set", "lettings", "--add-keys", missing) == 2
    assert not index_of(tool)
