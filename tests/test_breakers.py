"""Circuit breakers of the local targets."""

from __future__ import annotations

import pytest

from jaypost.breakers import BROKEN_IN_A_ROW, TRIAL_INTERVAL_S, Breakers


def opened(now: float = 0.0) -> Breakers:
    breakers = Breakers()
    assert [breakers.broken("t", now) for _ in range(BROKEN_IN_A_ROW)][-1]
    return breakers


@pytest.mark.parametrize(
    ("results", "allowed"),
    [
        ("b" * (BROKEN_IN_A_ROW - 1), True),
        ("b" * BROKEN_IN_A_ROW, False),
        ("b" * (BROKEN_IN_A_ROW - 1) + "a" + "b", True),
        ("b" * BROKEN_IN_A_ROW + "a", True),
    ],
    ids=["too few", "in a row", "an answer between", "an answer after"],
)
def test_target_counts_as_down_after_failures_in_a_row(results: str, allowed: bool) -> None:
    """Guards against dead targets that draw requests, and living ones that are left."""
    breakers = Breakers()
    for result in results:
        if result == "b":
            breakers.broken("t", 1.0)
        else:
            breakers.alive("t")
    assert breakers.allows("t", 1.0) is allowed
    assert breakers.is_open("t") is not allowed
    assert breakers.allows("other", 1.0)


def test_one_request_for_each_interval_tries_a_target_that_is_down() -> None:
    """Guards against targets that never get a request again, and against a rush to them."""
    breakers = opened()
    times = [number * TRIAL_INTERVAL_S / 10 for number in range(41)]
    assert sum(breakers.allows("t", now) for now in times) == 4


def test_opening_and_closing_are_told_once() -> None:
    """Guards against a log line for each refused request."""
    breakers = opened()
    assert not breakers.broken("t", 0.1)
    assert breakers.alive("t")
    assert not breakers.alive("t")


def test_targets_that_left_are_forgotten() -> None:
    """Guards against memory that grows with each restart of a target."""
    breakers = opened()
    breakers.keep({"other"})
    assert not breakers.is_open("t")
