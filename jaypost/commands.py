"""Commands of `jaypost`: they change the table."""

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
    author_of,
    differences,
    read_file,
    refuse,
    show_changes,
    store_failed,
)
from jaypost.formats import (
    BadInput,
    FileFormat,
    RowColumns,
    changes_to,
    parse_assignments,
    write_rows,
)
from jaypost.records import Row, RowChange, RowProblem, Table
from jaypost.store import StoreFailed
from jaypost.table import change_rows, validate
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
    """Set columns of one row, create it or delete it."""
    author_of(context)
    if arguments.delete and arguments.assignments:
        raise UsageError("--delete takes no column=value")
    if not (arguments.delete or arguments.create or arguments.assignments):
        raise UsageError("no column=value is given")
    parsed = parse_assignments(arguments.service, arguments.assignments)
    if isinstance(parsed, BadInput):
        return refuse(context, parsed.problems)
    async with context.writer() as writer:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return store_failed(context, base)
        problem = _existence_problem(base, arguments)
        if problem is not None:
            return refuse(context, (problem,))
        if arguments.delete:
            return await _submit(
                context, writer, base, (RowChange(arguments.service, None),), arguments
            )
        return await _submit_columns(context, writer, base, (parsed,), arguments)


def _existence_problem(base: Table, arguments: argparse.Namespace) -> RowProblem | None:
    exists = arguments.service in base.rows_by_service
    if exists and arguments.create:
        return RowProblem(arguments.service, "", "already has a row")
    if not exists and not arguments.create:
        return RowProblem(arguments.service, "", "has no row; --create makes a new one")
    return None


async def import_rows(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Set the rows of a file; with ``--whole``, also delete the rows that it does not name."""
    author_of(context)
    read = read_file(arguments.file, arguments.format)
    if isinstance(read, BadInput):
        return refuse(context, read.problems)
    async with context.writer() as writer:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return store_failed(context, base)
        return await _submit_columns(context, writer, base, read, arguments)


async def edit(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Open rows as JSON in ``$EDITOR`` and change the table by what was saved."""
    author_of(context)
    command = _editor(context)
    async with context.writer() as writer:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return store_failed(context, base)
        chosen = _choose_rows(base, arguments.services)
        if isinstance(chosen, BadInput):
            return refuse(context, chosen.problems)
        path = _write_draft(chosen)
        exit_code = await _edit_draft(context, writer, base, chosen, path, command, arguments)
    if exit_code is ExitCode.DONE:
        path.unlink(missing_ok=True)
    else:
        context.print_error(f"the edited rows are kept in {path}")
    return exit_code


def _editor(context: Context) -> Sequence[str]:
    command = shlex.split(context.environment.get("EDITOR", ""))
    if not command:
        raise UsageError("EDITOR is not set")
    return command


def _choose_rows(base: Table, services: Sequence[str]) -> tuple[Row, ...] | BadInput:
    names = services or sorted(base.rows_by_service)
    missing = [
        RowProblem(name, "", "has no row") for name in names if name not in base.rows_by_service
    ]
    if missing:
        return BadInput(tuple(missing))
    return tuple(base.rows_by_service[name] for name in names)


def _write_draft(rows: Sequence[Row]) -> Path:
    descriptor, name = tempfile.mkstemp(prefix="jaypost-", suffix=".json")
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(write_rows(rows, FileFormat.JSON))
    return Path(name)


async def _edit_draft(
    context: Context,
    writer: TableWriter,
    base: Table,
    chosen: Sequence[Row],
    path: Path,
    command: Sequence[str],
    arguments: argparse.Namespace,
) -> ExitCode:
    if not _run_editor(context, command, path):
        return ExitCode.FAILED
    read = read_file(str(path), FileFormat.JSON)
    if isinstance(read, BadInput):
        return refuse(context, read.problems)
    changes = changes_to(base, read, deletable=[row.service for row in chosen], keep=False)
    if isinstance(changes, BadInput):
        return refuse(context, changes.problems)
    return await _submit(context, writer, base, changes, arguments)


def _run_editor(context: Context, command: Sequence[str], path: Path) -> bool:
    try:
        status = subprocess.run([*command, str(path)], check=False).returncode
    except OSError as error:
        context.print_error(f"the editor {command[0]!r} cannot be run: {error}")
        return False
    if status != 0:
        context.print_error(f"the editor ended with status {status}; nothing was changed")
    return status == 0


async def rollback(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Bring back the rows of an earlier version as a new version."""
    author = author_of(context)
    change_id = new_change_id()
    async with context.writer() as writer:
        return await _decide(
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
    whole = getattr(arguments, "whole", False)
    deletable = sorted(base.rows_by_service) if whole else ()
    changes = changes_to(base, rows, deletable, keep=not whole)
    if isinstance(changes, BadInput):
        return refuse(context, changes.problems)
    return await _submit(context, writer, base, changes, arguments)


async def _submit(
    context: Context,
    writer: TableWriter,
    base: Table,
    changes: Sequence[RowChange],
    arguments: argparse.Namespace,
) -> ExitCode:
    if not changes:
        context.print_line(f"nothing to change in version {base.version}")
        return ExitCode.DONE
    if arguments.dry_run:
        return _show_plan(context, base, changes)
    change_id = new_change_id()
    table_edit = TableEdit(base, tuple(changes))
    return await _decide(
        context,
        change_id,
        writer.change(table_edit, author_of(context), arguments.comment, change_id),
    )


def _show_plan(context: Context, base: Table, changes: Sequence[RowChange]) -> ExitCode:
    rows = change_rows(base.rows_by_service, changes)
    problems = validate(rows)
    if problems:
        return refuse(context, problems)
    show_changes(context, base.rows_by_service, rows)
    context.print_line(f"valid; not written, because of --dry-run; base version {base.version}")
    return ExitCode.DONE


async def _decide(context: Context, change_id: str, outcome: Awaitable[ChangeOutcome]) -> ExitCode:
    """Await the outcome of a change; an interrupt from the keyboard leaves it undecided."""
    try:
        return report(context, await outcome)
    except asyncio.CancelledError:
        return report(context, Undecided(change_id))


def report(context: Context, outcome: ChangeOutcome) -> ExitCode:
    """Tell the outcome of a change and return its exit code."""
    match outcome:
        case Accepted(version):
            context.print_line(f"accepted as version {version}")
            return ExitCode.DONE
        case Rejected(problems):
            return refuse(context, problems)
        case Clash(rows):
            return _report_clash(context, rows)
        case Undecided(change_id):
            context.print_error(
                "the store did not tell whether the change took effect; "
                f"find out by: jaypost table status --change {change_id}"
            )
            return ExitCode.UNDECIDED
        case StoreFailed() as failure:
            return store_failed(context, failure)


def _report_clash(context: Context, rows: Sequence[RowClash]) -> ExitCode:
    context.print_error("another operator changed the same rows; nothing was written")
    for row in rows:
        for column, theirs, ours in differences(row.present, row.wanted):
            context.print_error(f"{row.service}: {column}: theirs {theirs}, yours {ours}")
    return ExitCode.CLASH
