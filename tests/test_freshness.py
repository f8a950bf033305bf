"""Until when the store is known to have held no newer version."""

from __future__ import annotations

import time

import pytest

import jaypost
from jaypost import freshness
from jaypost.freshness import VersionFreshness

# Replies of peers as (held version, age in seconds, time of the request).
OLD, NEW, UNKNOWN = (4, 1.0, 10.0), (5, 0.5, 11.0), (6, None, 12.0)


@pytest.mark.parametrize(
    ("replies", "held", "expected"),
    [
        pytest.param([], 5, None, id="nothing is known"),
        pytest.param([OLD], 4, 9.0, id="counted from the request"),
        pytest.param([OLD, NEW], 5, 10.5, id="the latest counts"),
        pytest.param([NEW, OLD], 5, 10.5, id="an older reply changes nothing"),
        pytest.param([OLD, NEW], 4, None, id="the version has not arrived"),
        pytest.param([NEW, UNKNOWN], 5, 10.5, id="a peer that knows nothing"),
    ],
)
def test_newest_at_holds_only_for_the_version_of_the_reply(replies, held, expected):
    """Guards against a restarted node that uses an older version than before (P1)."""
    freshness = VersionFreshness()
    for reply in replies:
        freshness.note_reply(*reply)
    assert freshness.newest_at(held) == expected


def test_suspended_time_counts(monkeypatch):
    """Guards against a node that was suspended and calls the version of its last read the newest.

    The monotonic clock stands still while a host is suspended.
    """
    suspended_s = 10.0
    read = time.clock_gettime
    monkeypatch.setattr(time, "monotonic", lambda: 0.0)
    before = freshness.clock()
    assert jaypost.STARTED_AT <= before
    monkeypatch.setattr(
        time,
        "clock_gettime",
        lambda which: read(which) + suspended_s * (which == time.CLOCK_BOOTTIME),
    )
    assert freshness.clock() - before >= suspended_s
