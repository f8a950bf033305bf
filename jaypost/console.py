"""What the commands and queries of `jaypost` share: context, exit codes and output."""

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
from jaypost.formats import BadInput, FileFormat, RowColumns, read_rows, row_cells
from jaypost.logs import printable
from jaypost.records import Address, Row, RowProblem
from jaypost.store import StoreFailed
from jaypost.store_client import StoreClient
from jaypost.writers import TableWriter

NARROWEST_COLUMNS = 160
STANDARD_STREAM = "-"
STORE_TIMEOUT_S = 2.0


class ExitCode(IntEnum):
    """Exit status of `jaypost`."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CLASH = 3
    REFUSED = 4
    UNDECIDED = 5


class OutputFormat(StrEnum):
    """Format of the output of a query."""

    TABLE = "table"
    JSON = "json"


WriterFactory = Callable[[Address], AbstractAsyncContextManager[TableWriter]]


class CommandFailedError(Exception):
    """The command cannot go on; the text tells why."""


class UsageError(Exception):
    """A flag or environment variable that the command needs is missing or wrong."""


@dataclass(frozen=True, slots=True)
class Context:
    """Settings of one run of `jaypost`.

    Parameters
    ----------
    store : Address or None
        Address of the store, None when it is not set.
    nodes : tuple of Address
        Admin addresses of nodes, tried in this order.
    author : str
        Operator who makes changes; empty when it is not set.
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
        """Open the table in the store.

        Raises
        ------
        UsageError
            If no store address is set.
        """
        if self.store is None:
            raise UsageError("the store is not set; use --store IP:PORT or JAYPOST_STORE")
        return self.open_writer(self.store)

    def print_json(self, value: object) -> None:
        """Print `value` as one line of JSON."""
        print(encode(value).decode(), file=self.out, flush=True)

    def print_line(self, text: str) -> None:
        """Print one line for people."""
        print(printable(text), file=self.out, flush=True)

    def print_error(self, text: str) -> None:
        """Print one line on standard error."""
        print(f"jaypost: {printable(text)}", file=self.err, flush=True)

    def print_problems(self, problems: Sequence[RowProblem]) -> None:
        """Print one line on standard error for each problem of a row."""
        for problem in problems:
            place = [part for part in (problem.service, problem.column) if part]
            self.print_error(": ".join([*place, problem.reason]))

    def print_table(self, header: Sequence[str], lines: Sequence[Sequence[object]]) -> None:
        """Print a table for people."""
        table = RichTable(*header, box=None, pad_edge=False, header_style="bold")
        for line in lines:
            table.add_row(*(printable(str(cell)) for cell in line))
        self.rich_console().print(table)

    def rich_console(self) -> RichConsole:
        """Return a console that interprets no markup in the values printed."""
        width = None if self.out.isatty() else NARROWEST_COLUMNS
        return RichConsole(file=self.out, width=width, markup=False, emoji=False, highlight=False)


def author_of(context: Context) -> str:
    """Return the name of the operator.

    Raises
    ------
    UsageError
        If it is not set.
    """
    if not context.author:
        raise UsageError("the author is not set; use --author NAME or JAYPOST_AUTHOR")
    return context.author


def refuse(context: Context, problems: Sequence[RowProblem]) -> ExitCode:
    """Tell why rows are refused."""
    context.print_problems(problems)
    return ExitCode.REFUSED


def store_failed(context: Context, failure: StoreFailed) -> ExitCode:
    """Tell that the store did not answer."""
    context.print_error(
        f"the store did not answer: {failure.reason}; " "status, explain and events work without it"
    )
    return ExitCode.FAILED


def differences(old: Row | None, new: Row | None) -> tuple[tuple[str, str, str], ...]:
    """Return column, old cell and new cell for each column that differs."""
    old_cells = {} if old is None else row_cells(old)
    new_cells = {} if new is None else row_cells(new)
    if old is None or new is None:
        return (("row", _presence(old), _presence(new)),)
    return tuple(
        (column, cell, new_cells[column])
        for column, cell in old_cells.items()
        if cell != new_cells[column]
    )


def _presence(row: Row | None) -> str:
    if row is None:
        return "absent"
    return (
        ", ".join(f"{column}={cell!r}" for column, cell in custom_cells(row).items()) or "defaults"
    )


def custom_cells(row: Row) -> dict[str, str]:
    """Return the cells of a row that differ from the default."""
    default = row_cells(Row(row.service))
    return {column: cell for column, cell in row_cells(row).items() if cell != default[column]}


def show_changes(context: Context, old: Mapping[str, Row], new: Mapping[str, Row]) -> None:
    """Print the columns that differ between two sets of rows."""
    lines = [
        (service, *difference)
        for service in sorted(old.keys() | new.keys())
        if old.get(service) != new.get(service)
        for difference in differences(old.get(service), new.get(service))
    ]
    context.print_table(("service", "column", "old", "new"), lines)


def format_of(file: str, chosen: str | None) -> FileFormat:
    """Return the chosen format, else the one that the name of the file ends with."""
    if chosen:
        return FileFormat(chosen)
    return FileFormat.CSV if Path(file).suffix.lower() == ".csv" else FileFormat.JSON


def read_file(file: str, chosen: str | None) -> tuple[RowColumns, ...] | BadInput:
    """Read the rows of a file, or of standard input when `file` is ``-``.

    Raises
    ------
    CommandFailedError
        If the file cannot be read.
    """
    try:
        text = sys.stdin.read() if file == STANDARD_STREAM else Path(file).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandFailedError(f"{file} cannot be read: {error}") from error
    return read_rows(text, format_of(file, chosen))


def write_file(file: str, text: str) -> None:
    """Write a file.

    Raises
    ------
    CommandFailedError
        If the file cannot be written.
    """
    try:
        Path(file).write_text(text, encoding="utf-8")
    except OSError as error:
        raise CommandFailedError(f"{file} cannot be written: {error}") from error


@asynccontextmanager
async def open_writer(address: Address) -> AsyncIterator[TableWriter]:
    """Open the table in the store at `address`."""
    client = StoreClient(address, STORE_TIMEOUT_S)
    await client.start()
    try:
        yield TableWriter(client)
    finally:
        await client.close()
