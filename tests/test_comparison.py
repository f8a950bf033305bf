"""Comparison of two views by exchanges of bounded size."""

from __future__ import annotations

import random

import pytest

from jaypost import comparison
from jaypost.peers import pack
from jaypost.records import NodeRecord, Stamp
from jaypost.view import MembershipView
from tests.gossip_fleet import make_record


def view_of(own_id: str, records: list[NodeRecord]) -> MembershipView:
    view = MembershipView(make_record(own_id), 0.0)
    view.merge(records, 0.0)
    return view


def exchange(one: MembershipView, two: MembershipView, rng: random.Random) -> int:
    """Run one exchange and return the size of its largest message in bytes."""
    first = comparison.bucket_request(one)
    second = comparison.bucket_reply(two, first, rng)
    third = comparison.stamp_request(one, second, rng)
    if third is None:
        return 0
    fourth = comparison.stamp_reply(two, third, 0.0)
    one.merge(fourth.records, 0.0)
    fifth = comparison.limit_to_exchange(r for i in fourth.wanted if (r := one.get(i)) is not None)
    two.merge(fifth, 0.0)
    return max(len(pack(message)) for message in (first, second, third, fourth, fifth))


@pytest.mark.parametrize(
    ("count", "differing", "max_exchanges"),
    [(3000, 0, 1), (3000, 1, 1), (3000, 40, 12), (1500, 1500, 90)],
)
def test_views_converge_by_bounded_exchanges(
    count: int, differing: int, max_exchanges: int
) -> None:
    """Guards against an exchange that grows with the fleet, or a difference that is missed."""
    records = [make_record(f"n{number}", services=("shop",)) for number in range(count)]
    changed = [make_record(f"n{i}", stamp=Stamp(1, 1)) for i in range(0, differing, 2)]
    one = view_of("one", records[differing:] + changed)
    two = view_of("two", records)
    two.merge([one.own], 0.0)
    one.merge([two.own], 0.0)
    rng = random.Random(1)
    sizes = []
    while one.root_hash() != two.root_hash():
        sizes.append(exchange(one, two, rng))
    assert len(sizes) <= max_exchanges
    assert max(sizes, default=0) <= comparison.RECORD_BYTES_PER_EXCHANGE
    assert {r.stamp for r in changed} <= {r.stamp for r in two.records()}


def test_records_of_one_exchange_are_bounded() -> None:
    """Guards against a node that sends all its records at once after a partition."""
    records = [make_record(f"n{number}", services=("shop",)) for number in range(200)]
    chosen = comparison.limit_to_exchange(records)
    sizes = [comparison.record_size_bytes(record) for record in records]
    assert 10 < len(chosen) and sum(sizes[: len(chosen)]) <= comparison.RECORD_BYTES_PER_EXCHANGE
    huge = make_record("huge", services=tuple(f"service{i}" for i in range(500)))
    assert comparison.limit_to_exchange([huge, records[0]]) == (huge,)
