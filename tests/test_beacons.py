"""Beacons of readers and the domains that they report as cut."""

from __future__ import annotations

import pytest

from jaypost.beacons import COUNTER_RETENTION_TIMEOUTS, BeaconTracker, DomainContacts
from jaypost.messages import Beacon, CutDomain

D2_CUT = (CutDomain("d2", 3.0),)


def test_timed_out_beacon_is_not_accepted_again() -> None:
    """Guards against a stopped reader whose last beacon keeps circulating among other nodes."""
    tracker = BeaconTracker("d1", 15.0, 0.0)
    tracker.merge((Beacon("a", 1, 7),), 0.0)
    assert tracker.fresh(15.0) and not tracker.fresh(16.0)
    tracker.merge((Beacon("a", 1, 7),), 17.0)
    assert not tracker.fresh(17.0) and tracker.since_last_beacon_s(17.0) == 17.0
    tracker.merge((Beacon("a", 2, 1),), 18.0)
    assert tracker.fresh(18.0)
    tracker.fresh(20.0 + COUNTER_RETENTION_TIMEOUTS * 15.0)
    assert not tracker._received_by_id


@pytest.mark.parametrize(
    ("cuts_by_reader", "readers", "expected"),
    [
        ({}, (), None),
        ({"a": D2_CUT}, ("a",), {"d2": 7.0}),
        ({"a": D2_CUT, "b": ()}, ("a", "b"), {}),
        ({"a": D2_CUT, "b": ()}, ("a",), {"d2": 7.0}),
        ({"a": D2_CUT, "b": (CutDomain("d2", 5.0),)}, ("a", "b"), {"d2": 5.0}),
        ({"a": D2_CUT}, ("other",), {"d2": 7.0}),
    ],
)
def test_domain_is_cut_when_all_readers_report_it(cuts_by_reader, readers, expected) -> None:
    """Guards against one isolated or former reader that decides for the whole domain."""
    tracker = BeaconTracker("d1", 15.0, 0.0)
    tracker.merge((Beacon(node, 1, 1, cuts) for node, cuts in cuts_by_reader.items()), 10.0)
    assert tracker.cut_since_by_domain(readers, 10.0) == expected


def test_contact_ends_a_cut_and_a_new_reader_adopts_cuts() -> None:
    """Guards against a new reader that reports a cut domain as reachable without any contact."""
    contacts = DomainContacts(5.0)
    contacts.record_failure("d2", 0.0)
    contacts.record_failure("d2", 4.0)
    assert contacts.cut_domains(4.9) == () and contacts.cut_domains(5.0) == (CutDomain("d2", 5.0),)
    contacts.adopt({"d3": 1.0})
    contacts.record_contact("d2")
    assert contacts.failing_domains() == ("d3",) and contacts.cut_domains(6.0) == (
        CutDomain("d3", 5.0),
    )
