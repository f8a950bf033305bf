"""Text formats of rows: ``column=value`` arguments, CSV files and JSON files."""

from __future__ import annotations

import csv
import io
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

import msgspec

from jaypost.records import Row, RowChange, RowProblem, Table
from jaypost.table import parse_row, row_columns

COLUMNS = tuple(item.name for item in fields(Row) if item.name != "service")
LIST_COLUMNS = frozenset({"repeatable_methods", "long_prefixes", "key_digests"})
# Fields of the entries in the columns whose cells are lists of ``name=number`` pairs.
PAIR_FIELDS_BY_COLUMN: Mapping[str, tuple[str, str]] = {
    "destinations": ("service", "weight"),
    "tenant_shares": ("tenant", "share"),
}
FLOAT_COLUMNS = frozenset(
    {"rate_limit", "retry_budget", "short_reserve", "rate_burst", "crossing_ms"}
)
TEXT_COLUMNS = frozenset({"host", "path_prefix", "spill", "workspace"})
FLAG_COLUMNS = frozenset({"without_key"})


class FileFormat(StrEnum):
    """Format of an exported or imported file."""

    CSV = "csv"
    JSON = "json"


@dataclass(frozen=True, slots=True)
class RowColumns:
    """Column values that a file or command-line arguments give for one row, as JSON types."""

    service: str
    columns: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class InvalidInput:
    """Input that does not give valid rows, with its problems."""

    problems: tuple[RowProblem, ...]


def parse_cell(service: str, column: str, text: str) -> object | RowProblem:
    """Convert the text of one cell to the JSON type of its column."""
    if column not in COLUMNS:
        return RowProblem(service, column, "is not a column")
    try:
        return _parse_cell_value(column, text.strip())
    except KeyError:
        return RowProblem(service, column, f"{text[:80]!r} must be true or false")
    except (ValueError, msgspec.DecodeError) as error:
        return RowProblem(service, column, f"{text[:80]!r} cannot be read: {error}")


def _parse_cell_value(column: str, text: str) -> object:
    if column in TEXT_COLUMNS:
        return text
    if column in LIST_COLUMNS or column in PAIR_FIELDS_BY_COLUMN:
        return _parse_list(column, text)
    if column in FLAG_COLUMNS:
        return {"true": True, "false": False}[text.lower()]
    return float(text) if column in FLOAT_COLUMNS else int(text)


def _parse_list(column: str, text: str) -> object:
    if text.startswith("["):
        return msgspec.json.decode(text)
    parts = [part.strip() for part in text.split(",") if part.strip()]
    if column in LIST_COLUMNS:
        return parts
    name_field, number_field = PAIR_FIELDS_BY_COLUMN[column]
    pairs = []
    for part in parts:
        name, separator, number = part.partition("=")
        if not separator:
            raise ValueError(f"{part!r} must be {name_field}={number_field}")
        pairs.append({name_field: name.strip(), number_field: int(number)})
    return pairs


def format_cell(column: str, value: object) -> str:
    """Return the text of a JSON value of `column`; `parse_cell` converts it back to `value`."""
    if column in LIST_COLUMNS:
        return _join_or_encode([str(part) for part in _as_sequence(value)], value)
    if column in FLAG_COLUMNS:
        return str(value).lower()
    if column in PAIR_FIELDS_BY_COLUMN:
        name_field, number_field = PAIR_FIELDS_BY_COLUMN[column]
        pairs = [f"{pair[name_field]}={pair[number_field]}" for pair in _as_sequence(value)]
        return _join_or_encode(pairs, value)
    return str(value)


def _as_sequence(value: object) -> Sequence[Any]:
    assert isinstance(value, list | tuple)
    return value


def _join_or_encode(parts: Sequence[str], value: object) -> str:
    """Join `parts` by commas, or encode `value` as JSON when parsing would split it differently."""
    plain = all(part and part == part.strip() and "," not in part for part in parts)
    text = ",".join(parts)
    return text if plain and not text.startswith("[") else msgspec.json.encode(value).decode()


def row_cells(row: Row) -> dict[str, str]:
    """Return the texts of the cells of a row, by column."""
    return {column: format_cell(column, value) for column, value in row_columns(row).items()}


def parse_assignments(service: str, assignments: Sequence[str]) -> RowColumns | InvalidInput:
    """Parse the ``column=value`` arguments for the row of `service`."""
    cells: dict[str, str] = {}
    problems: list[RowProblem] = []
    for text in assignments:
        column, separator, value = text.partition("=")
        if not separator:
            problems.append(RowProblem(service, column, "must be column=value"))
        elif column in cells:
            problems.append(RowProblem(service, column, "is given twice"))
        cells[column] = value
    return InvalidInput(tuple(problems)) if problems else _parse_cells(service, cells)


def _parse_cells(service: str, cells: Mapping[str, str]) -> RowColumns | InvalidInput:
    values = {column: parse_cell(service, column, text) for column, text in cells.items()}
    problems = tuple(value for value in values.values() if isinstance(value, RowProblem))
    return InvalidInput(problems) if problems else RowColumns(service, values)


def format_rows(rows: Sequence[Row], file_format: FileFormat) -> str:
    """Return the content of an export file with `rows`."""
    if file_format is FileFormat.JSON:
        columns_by_service = {row.service: row_columns(row) for row in rows}
        return msgspec.json.format(msgspec.json.encode(columns_by_service)).decode() + "\n"
    text = io.StringIO()
    writer = csv.DictWriter(text, ("service", *COLUMNS), lineterminator="\n")
    writer.writeheader()
    for row in rows:
        writer.writerow({"service": row.service, **row_cells(row)})
    return text.getvalue()


def parse_rows(text: str, file_format: FileFormat) -> tuple[RowColumns, ...] | InvalidInput:
    """Parse the content of an import file; columns that it omits are not in the result."""
    if file_format is FileFormat.JSON:
        return _parse_json(text)
    return _parse_csv(text)


def _parse_json(text: str) -> tuple[RowColumns, ...] | InvalidInput:
    try:
        # The names are read separately because decoding keeps only the last of equal ones.
        names = _top_level_names(text)
        rows = msgspec.json.decode(text, type=dict[str, dict[str, Any]])
    except (msgspec.DecodeError, ValueError) as error:
        return InvalidInput((RowProblem("", "", f"the JSON cannot be read: {error}"),))
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        return InvalidInput(tuple(RowProblem(name, "", "is given twice") for name in duplicates))
    return tuple(RowColumns(service, columns) for service, columns in rows.items())


def _top_level_names(text: str) -> list[str]:
    names: list[str] = []

    def record_names(pairs: list[tuple[str, object]]) -> None:
        names[:] = [name for name, _ in pairs]

    # The hook is called for each object, last for the outermost one, whose names remain.
    json.loads(text, object_pairs_hook=record_names)
    return names


def _parse_csv(text: str) -> tuple[RowColumns, ...] | InvalidInput:
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
    rows: dict[str, RowColumns] = {}
    problems: list[RowProblem] = []
    try:
        header = reader.fieldnames or ()
        problems.extend(_header_problems(header))
        for cells in [] if problems else reader:
            parsed = _parse_csv_row(cells, reader.line_num)
            if isinstance(parsed, InvalidInput):
                problems.extend(parsed.problems)
            elif parsed.service in rows:
                problems.append(RowProblem(parsed.service, "", "is given twice"))
            else:
                rows[parsed.service] = parsed
    except csv.Error as error:
        problems.append(RowProblem("", "", f"line {reader.line_num}: {error}"))
    return InvalidInput(tuple(problems)) if problems else tuple(rows.values())


def _header_problems(header: Sequence[str]) -> list[RowProblem]:
    problems = [
        RowProblem("", column, "is not a column")
        for column in header
        if column not in ("service", *COLUMNS)
    ]
    if "service" not in header:
        problems.append(RowProblem("", "service", "is missing in the header line"))
    if len(set(header)) < len(header):
        problems.append(RowProblem("", "", "the header line names a column twice"))
    return problems


def _parse_csv_row(cells: Mapping[str | None, Any], line: int) -> RowColumns | InvalidInput:
    service = str(cells["service"] or "")
    if None in cells or None in cells.values():
        reason = f"line {line} does not have one cell for each column of the header line"
        return InvalidInput((RowProblem(service, "", reason),))
    return _parse_cells(service, {str(c): text for c, text in cells.items() if c != "service"})


def row_changes(
    base: Table,
    rows: Sequence[RowColumns],
    deletable_services: Sequence[str],
    keep_omitted_columns: bool,
) -> tuple[RowChange, ...] | InvalidInput:
    """Return the changes from `base` to `rows`.

    Parameters
    ----------
    base : Table
        Table that the changes start from.
    rows : sequence of RowColumns
        Rows as given by the operator.
    deletable_services : sequence of str
        Services whose rows are deleted when they are not in `rows`.
    keep_omitted_columns : bool
        Whether omitted columns keep their value in `base`; otherwise they take the default.

    Returns
    -------
    tuple of RowChange or InvalidInput
        The changes, without rows that equal those in `base`, or the problems of all rows.
    """
    changes: list[RowChange] = []
    problems: list[RowProblem] = []
    for given in rows:
        row = _build_row(base, given, keep_omitted_columns)
        if isinstance(row, RowProblem):
            problems.append(row)
        elif row != base.rows_by_service.get(given.service):
            changes.append(RowChange(given.service, row))
    given_services = {given.service for given in rows}
    changes.extend(
        RowChange(service, None) for service in deletable_services if service not in given_services
    )
    return InvalidInput(tuple(problems)) if problems else tuple(changes)


def _build_row(base: Table, given: RowColumns, keep_omitted_columns: bool) -> Row | RowProblem:
    current = base.rows_by_service.get(given.service)
    kept = row_columns(current) if keep_omitted_columns and current is not None else {}
    return parse_row(given.service, {**kept, **given.columns})
