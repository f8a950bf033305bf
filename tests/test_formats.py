"""Guards against rows that change on export and import, and against invalid files."""

from __future__ import annotations

import json
import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jaypost import formats, table
from jaypost.records import Destination, Row, Spill, TenantShare

# Characters that need quoting in a cell, in CSV or in JSON, and one outside ASCII.
PREFIXES = st.text(st.sampled_from(',=" []\\\n\ta\u1200'), max_size=8)
ROWS = st.builds(
    Row,
    service=st.just("orders"),
    destinations=st.lists(
        st.builds(
            Destination, st.from_regex(r"[a-z0-9._-]{1,8}", fullmatch=True), st.integers(0, 9)
        )
    ).map(tuple),
    rate_limit=st.floats(0, 1e7),
    concurrency_limit=st.integers(0, 10**6),
    repeatable_methods=st.lists(st.sampled_from(["GET", "HEAD", "PUT"]), unique=True).map(tuple),
    long_prefixes=st.lists(PREFIXES.map(lambda text: "/" + text)).map(tuple),
    short_reserve=st.floats(0, 1),
    tenant_shares=st.lists(
        st.builds(
            TenantShare, st.from_regex(r"[A-Za-z0-9._-]{1,8}", fullmatch=True), st.integers(1, 9)
        )
    ).map(tuple),
    spill=st.sampled_from(Spill),
)


@pytest.mark.parametrize("file_format", formats.FileFormat)
@settings(max_examples=60, derandomize=True, deadline=None)
@given(row=ROWS)
def test_exported_row_is_imported_unchanged(file_format, row):
    text = formats.format_rows([row], file_format)
    (read,) = formats.parse_rows(text, file_format)
    assert read.columns == json.loads(json.dumps(table.row_columns(row)))


@pytest.mark.parametrize(
    ("assignment", "column", "value"),
    [
        ("rate_limit=10", "rate_limit", 10.0),
        ("hedge_ms= 20 ", "hedge_ms", 20),
        ("spill=region", "spill", "region"),
        ("long_prefixes=/a,/b", "long_prefixes", ["/a", "/b"]),
        ("long_prefixes=", "long_prefixes", []),
        ('long_prefixes=["/a,b"]', "long_prefixes", ["/a,b"]),
        (
            "destinations=a=9,b=1",
            "destinations",
            [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}],
        ),
        ("tenant_shares=t=2", "tenant_shares", [{"tenant": "t", "share": 2}]),
    ],
)
def test_assignment_is_converted_to_the_type_of_its_column(assignment, column, value):
    assert formats.parse_assignments("s", [assignment]).columns == {column: value}


@pytest.mark.parametrize(
    ("assignments", "column"),
    [
        (["timeout=1"], "timeout"),
        (["timeout_ms"], "timeout_ms"),
        (["timeout_ms=1.5"], "timeout_ms"),
        (["timeout_ms="], "timeout_ms"),
        (["timeout_ms=1", "timeout_ms=2"], "timeout_ms"),
        (["destinations=a"], "destinations"),
        (["destinations=a=b"], "destinations"),
        (["long_prefixes=[1"], "long_prefixes"),
        (["service=x"], "service"),
    ],
)
def test_invalid_assignment_is_reported_with_its_column(assignments, column):
    invalid = formats.parse_assignments("s", assignments)
    assert isinstance(invalid, formats.InvalidInput)
    assert {problem.column for problem in invalid.problems} == {column}


@pytest.mark.parametrize(
    ("file_format", "text"),
    [
        ("csv", ""),
        ("csv", "timeout_ms\n1\n"),
        ("csv", "service,timeout\na,1\n"),
        ("csv", "service,timeout_ms,timeout_ms\na,1,2\n"),
        ("csv", "service,timeout_ms\na\n"),
        ("csv", "service,timeout_ms\na,1,2\n"),
        ("csv", "service,timeout_ms\na,1\na,2\n"),
        ("csv", 'service,timeout_ms\n"a,1\n'),
        ("json", ""),
        ("json", "[]"),
        ("json", '{"a": 1}'),
        ("json", '{"a": {}, "a": {}}'),
        ("json", '{"a": {'),
    ],
)
def test_invalid_file_is_refused(file_format, text):
    assert isinstance(
        formats.parse_rows(text, formats.FileFormat(file_format)), formats.InvalidInput
    )


def test_byte_order_mark_written_by_a_spreadsheet_is_ignored():
    (read,) = formats.parse_rows("\ufeffservice,timeout_ms\na,5\n", formats.FileFormat.CSV)
    assert (read.service, read.columns) == ("a", {"timeout_ms": 5})


@pytest.mark.parametrize("column", formats.COLUMNS)
def test_operations_page_has_the_range_and_default_of_every_column(column):
    page = (pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    (line,) = [line for line in page.splitlines() if line.startswith(f"| `{column}` |")]
    cells = [cell.strip().replace(",", "") for cell in line.split("|")]
    default = formats.row_cells(Row("orders"))[column].removesuffix(".0").replace(",", "")
    assert default in cells[4].strip("`")
    if column in table.RANGE_BY_COLUMN:
        low, high = table.RANGE_BY_COLUMN[column]
        assert cells[3] in (f"{low} to {high}", f"{low} to `timeout_ms`")
