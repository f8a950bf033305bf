"""`jaypost workspace`: commands for the workspaces in the table and their keys."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from pathlib import Path

from jaypost.commands import submit
from jaypost.console import Context, ExitCode, OutputFormat, UsageError, report_store_failure
from jaypost.records import Row, RowChange, Table
from jaypost.store import StoreFailed
from jaypost.workspaces.keys import Workspace, key_digest
from jaypost.workspaces.rows import keys_of, names_of, workspace_rows


async def set_workspace(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Create a workspace, or change its limits and keys; files have one key on each line."""
    added = _read_digests(arguments.add_keys)
    removed = _read_digests(arguments.remove_keys)
    async with context.writer() as writer:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return report_store_failure(context, base)
        known = _rows_of(base, arguments.name)
        workspace = _changed(arguments, known)
        digests = (keys_of(base.rows_by_service, arguments.name) | added) - removed
        changes = _row_changes(known, workspace_rows(workspace, digests))
        return await submit(context, writer, base, changes, arguments)


async def delete_workspace(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Delete a workspace and all its keys."""
    async with context.writer() as writer:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return report_store_failure(context, base)
        if names_of(base.rows_by_service) == {arguments.name} and not arguments.without_keys:
            raise UsageError(
                f"{arguments.name} is the last workspace: without one, no request needs a key;"
                " add --without-keys if this is wanted"
            )
        changes = _row_changes(_rows_of(base, arguments.name), ())
        return await submit(context, writer, base, changes, arguments)


async def list_workspaces(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show the workspaces with their limits and the number of their keys."""
    async with context.writer() as writer:
        base = await writer.read()
    if isinstance(base, StoreFailed):
        return report_store_failure(context, base)
    names = sorted(names_of(base.rows_by_service))
    lines = []
    for name in names:
        first = _rows_of(base, name)[0]
        keys = len(keys_of(base.rows_by_service, name))
        lines.append((name, keys, first.rate_limit, first.rate_burst, first.priority))
    if context.output is OutputFormat.JSON:
        context.print_json(lines)
    else:
        context.print_table(("workspace", "keys", "rate_limit", "rate_burst", "priority"), lines)
    return ExitCode.DONE


def _read_digests(path: str | None) -> set[str]:
    """Read keys, one on each line, and return their digests."""
    if path is None:
        return set()
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"the keys cannot be read: {error}") from error
    return {key_digest(line.strip()) for line in lines if line.strip()}


def _rows_of(base: Table, name: str) -> list[Row]:
    rows = [row for row in base.rows_by_service.values() if row.workspace == name]
    return sorted(rows, key=lambda row: row.service)


def _changed(arguments: argparse.Namespace, known: Sequence[Row]) -> Workspace:
    """Return the workspace with the limits that were given; the others stay."""
    workspace = Workspace(arguments.name)
    if known:
        first = known[0]
        workspace = Workspace(arguments.name, first.priority, first.rate_limit, first.rate_burst)
    return Workspace(
        arguments.name,
        workspace.priority if arguments.priority is None else arguments.priority,
        workspace.rate_limit if arguments.rate_limit is None else arguments.rate_limit,
        workspace.rate_burst if arguments.rate_burst is None else arguments.rate_burst,
    )


def _row_changes(known: Sequence[Row], wanted: Sequence[Row]) -> tuple[RowChange, ...]:
    row_by_name = {row.service: row for row in known}
    changes = [
        RowChange(row.service, row) for row in wanted if row_by_name.pop(row.service, None) != row
    ]
    return (*changes, *(RowChange(service, None) for service in row_by_name))
