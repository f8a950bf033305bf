"""Shared parts of the `jaypost` commands and queries: context, exit codes, output and files."""

from __future__ import annotations

import sys
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from pathlib import Path
from typing import TextIO

from rich.console import Console as RichConsole
from rich.table import Table as RichTable

from jaypost.admin import encode
from jaypost.formats import FileFormat, InvalidInput, RowColumns, parse_rows, row_cells
from jaypost.logs import printable
from jaypost.records import Address, Row, RowProblem
from jaypost.store import StoreFailed
from jaypost.store_client import StoreClient
from jaypost.writers import TableWriter

# Table width when the output is not a terminal and so has no width of its own.
NON_TERMINAL_WIDTH_CHARACTERS = 160
STANDARD_STREAM_ARGUMENT = "-"  # file argument for standard input or output
STORE_TIMEOUT_S = 2.0


class ExitCode(IntEnum):
    """Exit code of `jaypost`.

    `CLASH` means that another operator changed the same rows, `REFUSED` that rows or a version
    are invalid, and `UNDECIDED` that it is unknown whether a change took effect.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    CLASH = 3
    REFUSED = 4
    UNDECIDED = 5


class OutputFormat(StrEnum):
    """Output format of a query."""

    TABLE = "table"
    JSON = "json"


WriterFactory = Callable[[Address], AbstractAsyncContextManager[TableWriter]]


class CommandFailedError(Exception):
    """A command or query failed; the message gives the reason."""


class UsageError(Exception):
    """An argument, flag or environment variable is missing or invalid."""


@dataclass(frozen=True, slots=True)
class Context:
    """Settings and streams of one run of `jaypost`.

    Parameters
    ----------
    store : Address or None
        Address of the store; None when not set.
    nodes : tuple of Address
        Admin addresses of nodes, tried in this order.
    author : str
        Operator who makes changes; empty when not set.
    output : OutputFormat
        Format of the output of queries.
    open_writer : callable
        Opens a table writer on the store at an address.
    environment : Mapping[str, str]
        Environment variables.
    out, err : TextIO
        Standard output and standard error.
    """

    store: Address | None
    nodes: tuple[Address, ...]
    author: str
    output: OutputFormat
    open_writer: WriterFactory
    environment: Mapping[str, str] = field(default_factory=dict)
    out: TextIO = field(default_factory=lambda: sys.stdout)
    err: TextIO = field(default_factory=lambda: sys.stderr)

    def writer(self) -> AbstractAsyncContextManager[TableWriter]:
        """Return a context manager that opens a table writer on the store.

        Raises
        ------
        UsageError
            If no store address is set.
        """
        if self.store is None:
            raise UsageError("the store is not set; use --store IP:PORT or JAYPOST_STORE")
        return self.open_writer(self.store)

    def store_client(self) -> AbstractAsyncContextManager[StoreClient]:
        """Return a context manager that opens a client of the store.

        Raises
        ------
        UsageError
            If no store address is set.
        """
        if self.store is None:
            raise UsageError("the store is not set; use --store IP:PORT or JAYPOST_STORE")
        return open_store(self.store)

    def print_json(self, value: object) -> None:
        """Print `value` as one line of JSON."""
        print(encode(value).decode(), file=self.out, flush=True)

    def print_line(self, text: str) -> None:
        """Print one line of text with its control characters escaped."""
        print(printable(text), file=self.out, flush=True)

    def print_error(self, text: str) -> None:
        """Print one line on standard error, with its control characters escaped."""
        print(f"jaypost: {printable(text)}", file=self.err, flush=True)

    def print_problems(self, problems: Sequence[RowProblem]) -> None:
        """Print each problem on a line of its own on standard error."""
        for problem in problems:
            location = [part for part in (problem.service, problem.column) if part]
            self.print_error(": ".join([*location, problem.reason]))

    def print_table(self, header: Sequence[str], lines: Sequence[Sequence[object]]) -> None:
        """Print lines of cells as a text table."""
        table = RichTable(*header, box=None, pad_edge=False, header_style="bold")
        for line in lines:
            table.add_row(*(printable(str(cell)) for cell in line))
        self.rich_console().print(table)

    def rich_console(self) -> RichConsole:
        """Return a Rich console that prints values literally, without interpreting markup."""
        width = None if self.out.isatty() else NON_TERMINAL_WIDTH_CHARACTERS
        return RichConsole(file=self.out, width=width, markup=False, emoji=False, highlight=False)


def require_author(context: Context) -> str:
    """Return the operator who makes the change.

    Raises
    ------
    UsageError
        If the author is not set.
    """
    if not context.author:
        raise UsageError("the author is not set; use --author NAME or JAYPOST_AUTHOR")
    return context.author


def report_refusal(context: Context, problems: Sequence[RowProblem]) -> ExitCode:
    """Print why rows are refused and return the exit code."""
    context.print_problems(problems)
    return ExitCode.REFUSED


def report_store_failure(context: Context, failure: StoreFailed) -> ExitCode:
    """Print that the store call failed and return the exit code."""
    context.print_error(
        f"the store call failed: {failure.reason}; "
        "status, explain, events and watch work without the store"
    )
    return ExitCode.FAILED


def differing_cells(old: Row | None, new: Row | None) -> tuple[tuple[str, str, str], ...]:
    """Return column, old cell and new cell for each column that differs.

    A row that is absent on one side gives a single entry, whose column is ``row``.
    """
    old_cells = {} if old is None else row_cells(old)
    new_cells = {} if new is None else row_cells(new)
    if old is None or new is None:
        return (("row", _describe_row(old), _describe_row(new)),)
    return tuple(
        (column, cell, new_cells[column])
        for column, cell in old_cells.items()
        if cell != new_cells[column]
    )


def _describe_row(row: Row | None) -> str:
    if row is None:
        return "absent"
    return (
        ", ".join(f"{column}={cell!r}" for column, cell in non_default_cells(row).items())
        or "defaults"
    )


def non_default_cells(row: Row) -> dict[str, str]:
    """Return the cells of a row that differ from their defaults, by column."""
    default_cells = row_cells(Row(row.service))
    return {
        column: cell for column, cell in row_cells(row).items() if cell != default_cells[column]
    }


def show_changes(context: Context, old: Mapping[str, Row], new: Mapping[str, Row]) -> None:
    """Print the columns that differ between two sets of rows."""
    lines = [
        (service, *difference)
        for service in sorted(old.keys() | new.keys())
        if old.get(service) != new.get(service)
        for difference in differing_cells(old.get(service), new.get(service))
    ]
    context.print_table(("service", "column", "old", "new"), lines)


def choose_format(path: str, requested: str | None) -> FileFormat:
    """Return the requested format; by default CSV if the name ends in ``.csv``, else JSON."""
    if requested:
        return FileFormat(requested)
    return FileFormat.CSV if Path(path).suffix.lower() == ".csv" else FileFormat.JSON


def read_row_file(path: str, requested: str | None) -> tuple[RowColumns, ...] | InvalidInput:
    """Read the rows of a file, or of standard input when `path` is ``-``.

    Parameters
    ----------
    path : str
        Path of the file.
    requested : str or None
        Format of the file; None derives it from the name, see `choose_format`.

    Returns
    -------
    tuple of RowColumns or InvalidInput
        The rows, or why the text does not give any.

    Raises
    ------
    CommandFailedError
        If the file cannot be read.
    """
    try:
        text = (
            sys.stdin.read() if path == STANDARD_STREAM_ARGUMENT else Path(path).read_text("utf-8")
        )
    except (OSError, UnicodeDecodeError) as error:
        raise CommandFailedError(f"{path} cannot be read: {error}") from error
    return parse_rows(text, choose_format(path, requested))


def write_file(path: str, text: str) -> None:
    """Write `text` to a file in UTF-8.

    Raises
    ------
    CommandFailedError
        If the file cannot be written.
    """
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as error:
        raise CommandFailedError(f"{path} cannot be written: {error}") from error


@asynccontextmanager
async def open_store(address: Address) -> AsyncIterator[StoreClient]:
    """Open a client of the store at `address`, and close it at the end."""
    client = StoreClient(address, STORE_TIMEOUT_S)
    await client.start()
    try:
        yield client
    finally:
        await client.close()


@asynccontextmanager
async def open_writer(address: Address) -> AsyncIterator[TableWriter]:
    """Open a table writer on the store at `address`, and close its client at the end."""
    async with open_store(address) as client:
        yield TableWriter(client)
