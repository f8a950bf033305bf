"""The decision whether a node hears no other node."""

from __future__ import annotations

import pytest

from jaypost.isolation import SILENCE_LIMIT_S, IsolationTracker


@pytest.mark.parametrize(
    ("replied_at", "probes_sent_at", "isolated"),
    [
        pytest.param(None, 5.0, True, id="nobody_ever_replied"),
        pytest.param(4.9, 5.0, True, id="last_reply_before_the_probes"),
        pytest.param(5.0, 5.0, False, id="reply_at_once"),
        pytest.param(5.3, 5.0, False, id="late_reply"),
    ],
)
def test_node_is_isolated_when_no_probe_is_answered(
    replied_at: float | None, probes_sent_at: float, isolated: bool
) -> None:
    """Guards against an old version in use on a host that hears nobody (CONFIG, review/5)."""
    tracker = IsolationTracker(0.0)
    if replied_at is not None:
        tracker.note_reply(replied_at)
    tracker.note_probes_ended(probes_sent_at)
    assert tracker.is_isolated is isolated


def test_reply_ends_the_isolation() -> None:
    tracker = IsolationTracker(0.0)
    tracker.note_probes_ended(2.0)
    tracker.note_reply(2.5)
    assert not tracker.is_isolated


@pytest.mark.parametrize(("now", "wait_s"), [(1.0, SILENCE_LIMIT_S), (1.5, 0.7), (9.0, 0.0)])
def test_peers_are_asked_after_the_silence_limit(now: float, wait_s: float) -> None:
    """Guards against probes in calm: a node hears a reply at least once in the limit."""
    tracker = IsolationTracker(0.0)
    tracker.note_reply(1.0)
    assert tracker.wait_s(now) == pytest.approx(wait_s)
