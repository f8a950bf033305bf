"""Update queue: batches, rate limits and the limit on bytes."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from jaypost.comparison import record_size_bytes
from jaypost.records import Accusation, Stamp
from jaypost.updates import RECORD_BURST_BYTES, RECORD_BYTES_PER_S, UpdateQueue
from jaypost.view import AgedAccusation
from tests.gossip_fleet import make_record


def sent_batch_times(queue: UpdateQueue, seconds: float, add) -> list[float]:
    """Add updates every 10 ms and return the times in seconds at which batches are sent."""
    times = []
    for step in range(int(seconds * 100)):
        now = 100.0 + step / 100.0
        add(step)
        if queue.wait_s(now) == 0.0:
            queue.take(now)
            times.append(now)
    return times


@pytest.mark.parametrize("kind", ["records", "versions"])
def test_updates_are_gathered_into_batches_of_limited_rate(kind: str) -> None:
    """Guards against a burst of changes that saturates the processor and network of the node."""
    queue = UpdateQueue("own", 4.0, 0.05, 100.0)
    assert queue.wait_s(100.0) is None

    def add(step: int) -> None:
        if kind == "versions":
            queue.add_version()
        else:
            queue.add_records([make_record(f"n{step}")])

    times = sent_batch_times(queue, 10.0, add)
    assert times[0] == 100.0, "the first update is sent without delay"
    assert min(b - a for a, b in pairwise(times)) >= 0.0499
    # A burst of 8 batches, then 4 batches per second.
    assert 8 + 36 <= len(times) <= 8 + 41


def test_versions_do_not_wait_behind_records() -> None:
    """Guards against table versions that are delayed when many nodes reconnect at once."""
    queue = UpdateQueue("own", 4.0, 0.05, 100.0)
    now = 101.0
    queue.add_records([make_record("first")])
    while queue.wait_s(now) == 0.0:
        queue.take(now)
        queue.add_records([make_record("next")])
        now += 0.06
    # The burst of 8 batches and the tokens of that time are used up.
    assert 101.3 < now < 102.0
    queue.add_version()
    assert queue.wait_s(now) == 0.0


def test_bytes_of_records_are_limited_but_the_own_record_is_sent() -> None:
    """Guards against a burst of records beyond the bandwidth, and a missing own record."""
    queue = UpdateQueue("own", 1000.0, 0.0, 100.0)
    size = 0
    for step in range(1000):
        queue.add_records([make_record(f"n{step}-{i}") for i in range(20)] + [make_record("own")])
        batch = queue.take(100.0 + step / 100.0)
        assert batch.records[0].node_id == "own"
        size += sum(map(record_size_bytes, batch.records[1:]))
    assert size <= RECORD_BURST_BYTES + 10 * RECORD_BYTES_PER_S
    assert queue.dropped > 0


def test_batch_has_the_newest_record_and_the_present_age() -> None:
    """Guards against a batch with an outdated record or a wrong age of an accusation."""
    queue = UpdateQueue("own", 4.0, 0.05, 100.0)
    old, new = make_record("n"), replace(make_record("n"), stamp=Stamp(1, 1))
    queue.add_records([old])
    queue.add_records([new])
    queue.add_accusation(AgedAccusation(Accusation("x", Stamp(1, 0)), 2.0), 100.0)
    batch = queue.take(101.0)
    assert batch.records == (new,) and batch.accusations[0].age_s == 3.0
    assert queue.wait_s(101.0) is None
