"""Guards against a node that is behind unnoticed, and against a log line for each version."""

from __future__ import annotations

import pytest

from jaypost.version_lag import (
    BEHIND_AFTER_S,
    MAX_KNOWN_VERSIONS,
    CaughtUp,
    FellBehind,
    VersionLag,
)

LATE = BEHIND_AFTER_S + 0.5


@pytest.mark.parametrize(
    ("known", "in_force", "now", "lag_s"),
    [
        pytest.param((), 3, 9.0, 0.0, id="nothing known"),
        pytest.param(((3, 0.0),), 3, 9.0, 0.0, id="in force"),
        pytest.param(((4, 1.0),), 3, 9.0, 8.0, id="one newer"),
        pytest.param(((4, 1.0), (6, 5.0)), 3, 9.0, 8.0, id="the first of several counts"),
        pytest.param(((4, 1.0), (6, 5.0)), 4, 9.0, 4.0, id="the first one came into force"),
        pytest.param(((6, 5.0), (4, 7.0)), 4, 9.0, 4.0, id="told late of an older one"),
    ],
)
def test_lag_counts_from_the_first_version_that_is_not_in_force(
    known: tuple[tuple[int, float], ...], in_force: int, now: float, lag_s: float
) -> None:
    lag = VersionLag()
    for version, at in known:
        lag.note_known(version, "n1", 3, at)
    assert lag.lag_s(in_force, now) == lag_s


def test_each_delay_is_reported_once_with_its_end() -> None:
    lag = VersionLag()
    lag.note_known(4, "n1", 3, 0.0)
    assert lag.check(3, BEHIND_AFTER_S) is None
    lag.note_known(5, "n2", 3, 1.2)
    assert lag.check(3, LATE) == FellBehind(5, "n2", LATE)
    assert lag.check(3, LATE + 1) is None
    assert lag.check(5, LATE + 2) == CaughtUp(5, LATE + 2)
    assert lag.check(5, LATE + 3) is None


def test_storm_of_versions_is_kept_in_bounded_memory() -> None:
    """Load pattern: hundreds of versions while a node is cut off."""
    lag = VersionLag()
    for version in range(1, 10 * MAX_KNOWN_VERSIONS):
        lag.note_known(version, "n1", 0, float(version))
    assert len(lag._known) == MAX_KNOWN_VERSIONS
    assert lag.lag_s(0, 1000.0) == 999.0
    assert isinstance(lag.check(0, 1000.0), FellBehind)
    assert isinstance(lag.check(10 * MAX_KNOWN_VERSIONS - 1, 1001.0), CaughtUp)
