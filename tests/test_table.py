"""Guards against accepted invalid rows, rows changed by encoding and partly applied deltas."""

from __future__ import annotations

import zlib
from dataclasses import replace

import msgspec
import pytest

from jaypost import table
from jaypost.records import (
    Delta,
    Destination,
    Head,
    Row,
    RowChange,
    RowProblem,
    Spill,
    Table,
    TenantShare,
)

STOCK = Row("stock")
PORTAL = Row("portal", destinations=(Destination("stock", 3), Destination("portal", 1)))
ROWS = {"portal": PORTAL, "stock": STOCK}


def make_delta(base: Table, *changes: RowChange, **fields) -> Delta:
    rows = table.apply_row_changes(base.rows_by_service, changes)
    new_delta = Delta(base.version + 1, "id", "abebe", 0, "", changes, table.digest(rows))
    return replace(new_delta, **fields)


def test_row_round_trips_through_its_columns():
    row = Row(
        "portal",
        destinations=(Destination("stock", 3),),
        rate_limit=5.0,
        tenant_shares=(TenantShare("agents", 4),),
        long_prefixes=("/plans/",),
        spill=Spill.REGION,
    )
    assert table.parse_row("portal", table.row_columns(row)) == row
    assert table.parse_row("portal", {"rate_limit": 5}).rate_limit == 5.0


@pytest.mark.parametrize(
    ("columns", "column"),
    [
        ({"timeout": 5}, "timeout"),
        ({"service": "other"}, "service"),
        ({"timeout_ms": "5"}, "timeout_ms"),
        ({"timeout_ms": True}, "timeout_ms"),
        ({"timeout_ms": 1.5}, "timeout_ms"),
        ({"timeout_ms": None}, "timeout_ms"),
        ({"timeout_ms": 0}, "timeout_ms"),
        ({"rate_limit": float("nan")}, "rate_limit"),
        ({"rate_limit": float("inf")}, "rate_limit"),
        ({"rate_limit": -1}, "rate_limit"),
        ({"retry_budget": 1.1}, "retry_budget"),
        ({"short_reserve": -0.1}, "short_reserve"),
        ({"retry_limit": 11}, "retry_limit"),
        ({"first_byte_timeout_ms": 11_000}, "first_byte_timeout_ms"),
        ({"hedge_ms": 600, "timeout_ms": 500}, "hedge_ms"),
        ({"destinations": {"stock": 1}}, "destinations"),
        ({"destinations": [{"service": "stock"}]}, "destinations"),
        ({"destinations": [{"service": "stock", "weight": 1, "zone": "a"}]}, "destinations"),
        ({"destinations": [{"service": "stock", "weight": 1001}]}, "destinations"),
        ({"destinations": [{"service": "stock", "weight": -1}]}, "destinations"),
        ({"destinations": [{"service": "stock", "weight": 0}]}, "destinations"),
        ({"destinations": [{"service": "stock", "weight": 1}] * 2}, "destinations"),
        ({"repeatable_methods": ["get"]}, "repeatable_methods"),
        ({"repeatable_methods": "GET"}, "repeatable_methods"),
        ({"long_prefixes": ["plans"]}, "long_prefixes"),
        ({"long_prefixes": ["/" + "p" * 256]}, "long_prefixes"),
        ({"tenant_shares": [{"tenant": "agents", "share": 0}]}, "tenant_shares"),
        ({"tenant_shares": [{"tenant": "a b", "share": 1}]}, "tenant_shares"),
        ({"tenant_shares": [{"tenant": str(n), "share": 1} for n in range(257)]}, "tenant_shares"),
        ({"spill": "planet"}, "spill"),
    ],
)
def test_invalid_column_is_reported_with_its_row(columns, column):
    problem = table.parse_row("portal", columns)
    assert isinstance(problem, RowProblem)
    assert (problem.service, problem.column) == ("portal", column)


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        (ROWS, []),
        ({}, []),
        ({"portal": PORTAL}, [("portal", "destinations")]),
        (ROWS | {"stock": replace(STOCK, queue_limit=-1)}, [("stock", "queue_limit")]),
        (ROWS | {"plans": STOCK}, [("plans", "service")]),
        ({"Portal": Row("Portal")}, [("Portal", "service")]),
        (
            {"b": Row("b", timeout_ms=0), "a": Row("a", destinations=(Destination("c", 2000),))},
            [("a", "destinations"), ("a", "destinations"), ("b", "timeout_ms")],
        ),
    ],
)
def test_validate_reports_every_problem_of_a_table(rows, expected):
    assert [(problem.service, problem.column) for problem in table.validate(rows)] == expected


def test_delta_made_of_a_diff_gives_the_new_table():
    old = table.make_table(1, ROWS)
    new = table.make_table(2, {"stock": replace(STOCK, retry_limit=0), "plans": Row("plans")})
    changes = table.diff(old, new)
    assert [(c.service, c.row is None) for c in changes] == [
        ("plans", False),
        ("portal", True),
        ("stock", False),
    ]
    assert table.apply_delta(old, make_delta(old, *changes)) == new


@pytest.mark.parametrize(
    "fields",
    [
        {"version": 3},
        {"version": 1},
        {"digest": "0" * 32},
        {"rows": ()},
        {"rows": (RowChange("stock", Row("portal")),)},
    ],
)
def test_inconsistent_delta_is_refused(fields):
    base = table.make_table(1, ROWS)
    refused = table.apply_delta(base, make_delta(base, RowChange("stock", None), **fields))
    assert isinstance(refused, table.DeltaRefused)


def test_digest_ignores_order_and_number_type_but_not_values():
    assert table.digest(ROWS) == table.digest(dict(reversed(ROWS.items())))
    assert table.digest({"a": Row("a", rate_limit=5)}) == table.digest(
        {"a": Row("a", rate_limit=5.0)}
    )
    assert table.digest(ROWS) != table.digest(ROWS | {"stock": replace(STOCK, hedge_ms=1)})
    assert table.EMPTY_TABLE == table.make_table(0, {})


BASE = table.make_table(1, ROWS)
CHANGE = make_delta(BASE, RowChange("stock", None), RowChange("plans", Row("plans", rate_limit=5)))


@pytest.mark.parametrize("value", [BASE, CHANGE, Head(2, "d", 1, (CHANGE,)), table.EMPTY_TABLE])
def test_encoded_record_decodes_to_the_same_value(value):
    assert table.decode(table.encode(value), type(value)) == value


def stored_with_unknown_field(value, *path: str | int) -> bytes:
    """Return the stored form of `value` with an unknown field added at `path`."""
    content = msgspec.msgpack.decode(msgspec.msgpack.encode(value))
    parent = content
    for step in path:
        parent = parent[step]
    parent["future"] = 1
    return zlib.compress(msgspec.msgpack.encode(content))


@pytest.mark.parametrize(
    ("data", "expected_type"),
    [
        (stored_with_unknown_field(BASE), Table),
        (stored_with_unknown_field(BASE, "rows_by_service", "stock"), Table),
        (stored_with_unknown_field(BASE, "rows_by_service", "portal", "destinations", 1), Table),
        (
            stored_with_unknown_field(Head(2, "d", 1, (CHANGE,)), "deltas", 0, "rows", 1, "row"),
            Head,
        ),
        (stored_with_unknown_field(CHANGE, "rows", 0), Delta),
        (table.encode(BASE), Head),
        (table.encode(BASE)[:-3], Table),
        (table.encode(BASE) + b"x", Table),
        (zlib.compress(b"\x00" * (table.MAX_DECOMPRESSED_BYTES + 1)), Table),
        (zlib.compress(b"\xc1"), Table),
        (b"", Table),
    ],
)
def test_unknown_fields_and_damaged_data_are_refused(data, expected_type):
    assert isinstance(table.decode(data, expected_type), table.DecodeFailure)
