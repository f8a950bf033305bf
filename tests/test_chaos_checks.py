"""Tests which calls of a chaos run count as undisturbed."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from bench.chaos_checks import (
    FaultWindow,
    RunRecord,
    SentCall,
    check_targets_served,
    count_request_lines,
    undisturbed_calls,
)


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


@pytest.mark.parametrize("unserved", [(), ("target-3",), ("target-1", "target-3")])
def test_target_that_gets_no_request_after_the_faults_is_reported(unserved):
    """Guards against a target that starts again and is forgotten by its node."""
    record = RunRecord(
        *((), (), (), (), (), (), (), {}, (), None, 5.0, (), {}, (), (), ()),
        unserved_target_ids=unserved,
    )
    violations = list(check_targets_served(record))
    assert [item.text.split()[0] for item in violations] == list(unserved)


def test_requests_are_counted_by_target(tmp_path):
    """Guards against a start or a drain in a journal that is taken for a request."""
    lines = ('{"request_id": "a", "end": ""}', '{"request_id": "b", "end": "x"}', '{"request')
    (tmp_path / "target-1.journal").write_text("\n".join(lines))
    (tmp_path / "target-2.journal").write_text('{"request_id": "", "end": "started"}\n')
    (tmp_path / "host-1.log").write_text("x\n")
    counts = count_request_lines(tmp_path)
    assert (counts["target-1"], counts["target-2"], counts["target-3"]) == (2, 0, 0)
