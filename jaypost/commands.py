"""`jaypost` commands that change the table."""

from __future__ import annotations

import argparse
import asyncio
import os
import shlex
import subprocess
import tempfile
from collections.abc import Awaitable, Sequence
from pathlib import Path

from jaypost.console import (
    Context,
    ExitCode,
    UsageError,
    differing_cells,
    read_row_file,
    report_refusal,
    report_store_failure,
    require_author,
    show_changes,
)
from jaypost.formats import (
    FileFormat,
    InvalidInput,
    RowColumns,
    format_rows,
    parse_assignments,
    row_changes,
)
from jaypost.records import Row, RowChange, RowProblem, Table
from jaypost.store import StoreFailed
from jaypost.table import apply_row_changes, validate
from jaypost.writers import (
    Accepted,
    ChangeOutcome,
    Clash,
    Rejected,
    RowClash,
    TableEdit,
    TableWriter,
    Undecided,
    new_change_id,
)


async def set_row(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Set columns of one row, or create or delete the row."""
    require_author(context)
    if arguments.delete and arguments.assignments:
        raise UsageError("--delete takes no column=value")
    if not (arguments.delete or arguments.create or arguments.assignments):
        raise UsageError("no column=value is given")
    parsed = parse_assignments(arguments.service, arguments.assignments)
    if isinstance(parsed, InvalidInput):
        return report_refusal(context, parsed.problems)
    async with context.writer() as writer:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return report_store_failure(context, base)
        problem = _existence_problem(base, arguments)
        if problem is not None:
            return report_refusal(context, (problem,))
        if arguments.delete:
            return await submit(
                context, writer, base, (RowChange(arguments.service, None),), arguments
            )
        return await _submit_columns(context, writer, base, (parsed,), arguments)


def _existence_problem(base: Table, arguments: argparse.Namespace) -> RowProblem | None:
    exists = arguments.service in base.rows_by_service
    if exists and arguments.create:
        return RowProblem(arguments.service, "", "already has a row")
    if not exists and not arguments.create:
        return RowProblem(arguments.service, "", "has no row; a new row requires --create")
    return None


async def import_rows(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Set the rows of a file; with --whole, delete rows and reset columns that it omits."""
    require_author(context)
    file_rows = read_row_file(arguments.file, arguments.format)
    if isinstance(file_rows, InvalidInput):
        return report_refusal(context, file_rows.problems)
    async with context.writer() as writer:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return report_store_failure(context, base)
        return await _submit_columns(context, writer, base, file_rows, arguments)


async def edit(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Edit rows as JSON in $EDITOR and apply the saved file; rows removed from it are deleted."""
    require_author(context)
    command = _editor_command(context)
    async with context.writer() as writer:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return report_store_failure(context, base)
        selected = _select_rows(base, arguments.services)
        if isinstance(selected, InvalidInput):
            return report_refusal(context, selected.problems)
        path = _write_draft(selected)
        exit_code = await _edit_and_submit(
            context, writer, base, selected, path, command, arguments
        )
    if exit_code is ExitCode.DONE:
        path.unlink(missing_ok=True)
    else:
        context.print_error(f"the edited rows are kept in {path}")
    return exit_code


def _editor_command(context: Context) -> Sequence[str]:
    command = shlex.split(context.environment.get("EDITOR", ""))
    if not command:
        raise UsageError("EDITOR is not set")
    return command


def _select_rows(base: Table, services: Sequence[str]) -> tuple[Row, ...] | InvalidInput:
    names = services or sorted(base.rows_by_service)
    missing = [
        RowProblem(name, "", "has no row") for name in names if name not in base.rows_by_service
    ]
    if missing:
        return InvalidInput(tuple(missing))
    return tuple(base.rows_by_service[name] for name in names)


def _write_draft(rows: Sequence[Row]) -> Path:
    descriptor, name = tempfile.mkstemp(prefix="jaypost-", suffix=".json")
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(format_rows(rows, FileFormat.JSON))
    return Path(name)


async def _edit_and_submit(
    context: Context,
    writer: TableWriter,
    base: Table,
    selected: Sequence[Row],
    path: Path,
    command: Sequence[str],
    arguments: argparse.Namespace,
) -> ExitCode:
    if not _run_editor(context, command, path):
        return ExitCode.FAILED
    file_rows = read_row_file(str(path), FileFormat.JSON)
    if isinstance(file_rows, InvalidInput):
        return report_refusal(context, file_rows.problems)
    changes = row_changes(
        base,
        file_rows,
        deletable_services=[row.service for row in selected],
        keep_omitted_columns=False,
    )
    if isinstance(changes, InvalidInput):
        return report_refusal(context, changes.problems)
    return await submit(context, writer, base, changes, arguments)


def _run_editor(context: Context, command: Sequence[str], path: Path) -> bool:
    try:
        status = subprocess.run([*command, str(path)], check=False).returncode
    except OSError as error:
        context.print_error(f"the editor {command[0]!r} cannot be run: {error}")
        return False
    if status != 0:
        context.print_error(f"the editor exited with status {status}; nothing was changed")
    return status == 0


async def rollback(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Restore the rows of an earlier version as a new version."""
    author = require_author(context)
    change_id = new_change_id()
    async with context.writer() as writer:
        return await _await_outcome(
            context,
            change_id,
            writer.rollback(arguments.version, author, arguments.comment, change_id),
        )


async def _submit_columns(
    context: Context,
    writer: TableWriter,
    base: Table,
    rows: Sequence[RowColumns],
    arguments: argparse.Namespace,
) -> ExitCode:
    """Submit `rows`; without ``--whole``, other rows and columns keep their values."""
    whole = getattr(arguments, "whole", False)
    deletable = sorted(base.rows_by_service) if whole else ()
    changes = row_changes(base, rows, deletable, keep_omitted_columns=not whole)
    if isinstance(changes, InvalidInput):
        return report_refusal(context, changes.problems)
    return await submit(context, writer, base, changes, arguments)


async def submit(
    context: Context,
    writer: TableWriter,
    base: Table,
    changes: Sequence[RowChange],
    arguments: argparse.Namespace,
) -> ExitCode:
    """Submit row changes that were made from `base`, and report the outcome."""
    if not changes:
        context.print_line(f"nothing to change in version {base.version}")
        return ExitCode.DONE
    if arguments.dry_run:
        return _show_dry_run(context, base, changes)
    change_id = new_change_id()
    table_edit = TableEdit(base, tuple(changes))
    return await _await_outcome(
        context,
        change_id,
        writer.change(table_edit, require_author(context), arguments.comment, change_id),
    )


def _show_dry_run(context: Context, base: Table, changes: Sequence[RowChange]) -> ExitCode:
    rows = apply_row_changes(base.rows_by_service, changes)
    problems = validate(rows)
    if problems:
        return report_refusal(context, problems)
    show_changes(context, base.rows_by_service, rows)
    context.print_line(f"valid, but not written because of --dry-run; base version {base.version}")
    return ExitCode.DONE


async def _await_outcome(
    context: Context, change_id: str, pending: Awaitable[ChangeOutcome]
) -> ExitCode:
    """Await and report the outcome of a change.

    A keyboard interrupt makes the change undecided, because its write may have reached the store.
    """
    try:
        return report_outcome(context, await pending)
    except asyncio.CancelledError:
        return report_outcome(context, Undecided(change_id))


def report_outcome(context: Context, outcome: ChangeOutcome) -> ExitCode:
    """Print the outcome of a change and return its exit code."""
    match outcome:
        case Accepted(version):
            context.print_line(f"accepted as version {version}")
            return ExitCode.DONE
        case Rejected(problems):
            return report_refusal(context, problems)
        case Clash(rows):
            return _report_clash(context, rows)
        case Undecided(change_id):
            context.print_error(
                "it is unknown whether the change took effect; "
                f"check with: jaypost table status --change {change_id}"
            )
            return ExitCode.UNDECIDED
        case StoreFailed() as failure:
            return report_store_failure(context, failure)


def _report_clash(context: Context, rows: Sequence[RowClash]) -> ExitCode:
    context.print_error("another operator changed the same rows; nothing was written")
    for row in rows:
        for column, theirs, yours in differing_cells(row.current, row.requested):
            context.print_error(f"{row.service}: {column}: theirs {theirs}, yours {yours}")
    return ExitCode.CLASH
