"""Guards against requests that are served by the row of another host or path."""

from __future__ import annotations

import pytest

from jaypost import table
from jaypost.records import Destination, RouteIndex, Row

ROWS = (
    Row("orders"),
    Row("hidden", path_prefix=""),
    Row("all", host="shop.example", destinations=(Destination("orders", 1),)),
    Row("deep", host="shop.example", path_prefix="/a/b/", destinations=(Destination("orders", 1),)),
    Row("other", host="other.example", path_prefix="/a/", destinations=(Destination("orders", 1),)),
)


@pytest.mark.parametrize(
    ("host", "path", "row"),
    [
        ("orders", "/", "orders"),
        ("orders", "/x/y", "orders"),
        ("hidden", "/", None),
        ("all", "/", None),
        ("shop.example", "/a/b", "all"),
        ("shop.example", "/a/b/", "deep"),
        ("shop.example", "/a/b/c/d", "deep"),
        ("shop.example", "/a/bc/", "all"),
        ("shop.example", "/?q=/a/b/", "all"),
        ("shop.example", "/x?q=/a/b/", "all"),
        ("other.example", "/a/1", "other"),
        ("other.example", "/ab", None),
        ("other.example", "/a", None),
        ("unknown.example", "/a/", None),
        ("shop.example", "*", None),
    ],
)
def test_the_longest_prefix_of_the_host_serves_a_request(host, path, row):
    found = RouteIndex(ROWS).find(host, path)
    assert (found.service if found else None) == row


@pytest.mark.parametrize(
    ("changes", "column"),
    [
        ({"host": "Shop"}, "host"),
        ({"host": "shop:80"}, "host"),
        ({"path_prefix": "a/"}, "path_prefix"),
        ({"path_prefix": "/a"}, "path_prefix"),
        ({"path_prefix": "/" + "a" * 256 + "/"}, "path_prefix"),
        ({"host": "shop.example", "path_prefix": "/a/b/"}, "path_prefix"),
        ({"priority": -1}, "priority"),
        ({"target_latency_ms": -1}, "target_latency_ms"),
    ],
)
def test_invalid_or_duplicate_routes_are_refused(changes, column):
    rows = {row.service: row for row in (*ROWS, Row("new", **changes))}
    problems = table.validate(rows)
    assert [(problem.service, problem.column) for problem in problems] == [("new", column)]


def test_valid_routes_are_accepted():
    assert table.validate({row.service: row for row in ROWS}) == ()
