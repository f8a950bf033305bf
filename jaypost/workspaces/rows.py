"""Workspaces in the table: rows that hold their limits and the digests of their keys.

The keys of a large workspace are divided among several rows, so that a change of a few keys travels
as a small delta.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

from jaypost.records import Row
from jaypost.table import MAX_LIST_ENTRIES, SERVICE_PATTERN
from jaypost.workspaces.keys import Workspace

ROW_PREFIX = "workspace."
# Keys in a row on average; a row may hold up to `MAX_LIST_ENTRIES`.
KEYS_PER_ROW = 64
LONGEST_NAME_IN_ROW = 40
# Keeps a table that asks for keys closed while no workspace has one.
NOBODY = Workspace("nobody")


def workspace_rows(workspace: Workspace, key_digests: Iterable[str]) -> list[Row]:
    """Return the rows of a workspace; without keys it has one row."""
    digests = sorted(set(key_digests))
    row_count = 1
    while len(digests) > KEYS_PER_ROW * row_count:
        row_count *= 2
    while True:
        parts: list[list[str]] = [[] for _ in range(row_count)]
        for digest in digests:
            parts[int(digest[:8], 16) % row_count].append(digest)
        if max(map(len, parts)) <= MAX_LIST_ENTRIES:
            break
        row_count *= 2
    return [
        Row(
            f"{_row_name(workspace.name)}.{number}",
            path_prefix="",
            workspace=workspace.name,
            key_digests=tuple(part),
            priority=workspace.priority,
            rate_limit=workspace.rate_limit,
            rate_burst=workspace.rate_burst,
        )
        for number, part in enumerate(parts)
    ]


def keys_of(rows_by_service: Mapping[str, Row], name: str) -> set[str]:
    """Return the digests of all keys of a workspace in a table."""
    rows = (row for row in rows_by_service.values() if row.workspace == name)
    return {digest for row in rows for digest in row.key_digests}


def names_of(rows_by_service: Mapping[str, Row]) -> set[str]:
    """Return the names of all workspaces in a table."""
    return {row.workspace for row in rows_by_service.values() if row.workspace}


def _row_name(name: str) -> str:
    row_name = ROW_PREFIX + name
    if SERVICE_PATTERN.fullmatch(row_name) and len(name) <= LONGEST_NAME_IN_ROW:
        return row_name
    return f"{ROW_PREFIX}{xxhash.xxh64_hexdigest(name)}"
