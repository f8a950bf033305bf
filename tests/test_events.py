"""Guards against an event log that grows without bound or whose events can be modified."""

from __future__ import annotations

import dataclasses
import io

import pytest
import structlog

from jaypost import logs
from jaypost.events import MAX_DETAIL_CHARACTERS, EventLog
from jaypost.logs import EventName


@pytest.mark.parametrize(
    ("recorded", "capacity", "kept", "dropped"), [(0, 3, 0, 0), (3, 3, 3, 0), (10, 3, 3, 7)]
)
def test_event_log_keeps_the_newest_events_and_counts_dropped_ones(
    recorded, capacity, kept, dropped
):
    events = EventLog(capacity, clock_ms=lambda: 5)
    for number in range(recorded):
        events.record(EventName.NODE_ACCUSED, number=number)
    numbers = [event.details["number"] for event in events.newest(100)]
    assert numbers == list(range(recorded))[-kept:] if kept else numbers == []
    assert events.dropped == dropped


@pytest.mark.parametrize(
    ("limit", "name", "count"), [(0, None, 0), (2, None, 2), (9, "node_ready", 1)]
)
def test_newest_events_are_limited_and_filtered_by_name(limit, name, count):
    events = EventLog(clock_ms=lambda: 5)
    events.record(EventName.NODE_READY)
    events.record(EventName.NODE_ACCUSED)
    events.record(EventName.NODE_UNREACHABLE)
    assert len(events.newest(limit, name)) == count


@pytest.mark.parametrize("level", ["info", "error"])
def test_observed_events_are_kept_once_at_any_log_level(level):
    events = EventLog(clock_ms=lambda: 5)
    stream = io.StringIO()
    logs.setup(level, stream, observer=events.keep)
    log = structlog.get_logger()
    log.info("node_accused", accused="n2")
    log.info("target_announced", target_id="t1")
    events.record(EventName.TARGET_EJECTED, target_id="t1")
    structlog.reset_defaults()
    assert [(event.name, dict(event.details)) for event in events.newest(9)] == [
        ("node_accused", {"accused": "n2"}),
        ("target_ejected", {"target_id": "t1"}),
    ]
    assert len(stream.getvalue().splitlines()) == (3 if level == "info" else 0)
    assert logs.KEPT_MARK not in stream.getvalue()


def test_events_are_immutable_and_details_are_bounded():
    event = EventLog(clock_ms=lambda: 5).record(EventName.VERSION_REFUSED, reason="x" * 10_000)
    assert len(event.details["reason"]) == MAX_DETAIL_CHARACTERS
    with pytest.raises(dataclasses.FrozenInstanceError):
        event.at_ms = 6
    with pytest.raises(TypeError):
        event.details["reason"] = "y"
