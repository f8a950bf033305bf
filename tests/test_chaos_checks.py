"""Tests which calls of a chaos run count as undisturbed."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from bench.chaos_checks import FaultWindow, RunRecord, SentCall, undisturbed_calls


def _window(start_s, end_s):
    return FaultWindow("kind", "subject", start_s, end_s)


@pytest.mark.parametrize(
    ("disturbances", "stalls", "is_checked"),
    [
        ((), (), True),
        ((_window(0.0, 9.9),), (), True),
        ((_window(0.0, 10.0),), (), False),
        ((_window(12.0, 12.0),), (), False),
        ((_window(12.1, 13.0),), (), True),
        # Stalls count with the part that falls into the call, together.
        ((), (_window(9.0, 10.4), _window(12.0, 14.0)), True),
        ((), (_window(9.0, 10.3), _window(11.0, 11.3)), False),
    ],
)
def test_calls_that_faults_or_stalls_delayed_are_not_checked(disturbances, stalls, is_checked):
    """Guards against calls that are reported as cut because the relays were not scheduled."""
    call = SentCall("host-0", "", 0, 10.0, 12.0, SimpleNamespace())
    record = RunRecord(
        *((call,), (), (), disturbances, (), (), (), {}, (), None, 5.0, (), {}, (), (), ()),
        stalls=stalls,
    )
    assert list(undisturbed_calls(record)) == ([call] if is_checked else [])
