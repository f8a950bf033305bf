"""Guards against breakers that open too early or too late, or that never close."""

from __future__ import annotations

import pytest

from jaypost.breakers import FAILURES_TO_OPEN, TRIAL_INTERVAL_S, Breakers


def open_breaker(now: float = 0.0) -> Breakers:
    breakers = Breakers()
    assert [breakers.record_failure("t", now) for _ in range(FAILURES_TO_OPEN)][-1]
    return breakers


# "b" stands for a broken connection, "a" for an answer.
@pytest.mark.parametrize(
    ("results", "allowed"),
    [
        ("b" * (FAILURES_TO_OPEN - 1), True),
        ("b" * FAILURES_TO_OPEN, False),
        ("b" * (FAILURES_TO_OPEN - 1) + "a" + "b", True),
        ("b" * FAILURES_TO_OPEN + "a", True),
    ],
    ids=["too few", "consecutive", "answer in between", "answer afterwards"],
)
def test_target_counts_as_down_after_consecutive_failures(results: str, allowed: bool) -> None:
    """Guards against requests sent to a target that is down, and withheld from one that is up."""
    breakers = Breakers()
    for result in results:
        if result == "b":
            breakers.record_failure("t", 1.0)
        else:
            breakers.record_alive("t")
    assert breakers.allows("t", 1.0) is allowed
    assert breakers.is_open("t") is not allowed
    assert breakers.allows("other", 1.0)


def test_target_that_is_down_gets_one_trial_request_per_interval() -> None:
    """Guards against targets that never get a request again, or too many while they are down."""
    breakers = open_breaker()
    times = [number * TRIAL_INTERVAL_S / 10 for number in range(41)]
    assert sum(breakers.allows("t", now) for now in times) == 4


def test_opening_and_closing_are_reported_once() -> None:
    """Guards against a log line for each failed request."""
    breakers = open_breaker()
    assert not breakers.record_failure("t", 0.1)
    assert breakers.record_alive("t")
    assert not breakers.record_alive("t")


def test_targets_that_are_gone_are_forgotten() -> None:
    """Guards against memory that grows with each restart of a target."""
    breakers = open_breaker()
    breakers.retain({"other"})
    assert not breakers.is_open("t")
