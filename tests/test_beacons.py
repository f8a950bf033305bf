"""Beacons of readers and the domains that they report as cut."""

from __future__ import annotations

import pytest

from jaypost.beacons import REMEMBERED_TIMEOUTS, BeaconBoard, DomainContacts
from jaypost.messages import Beacon, CutDomain

D2 = (CutDomain("d2", 3.0),)


def test_beacon_that_timed_out_does_not_come_back() -> None:
    """Guards against a dead reader whose last beacon goes round between the other nodes."""
    board = BeaconBoard("d1", 15.0, 0.0)
    board.hear((Beacon("a", 1, 7),), 0.0)
    assert board.fresh(15.0) and not board.fresh(16.0)
    board.hear((Beacon("a", 1, 7),), 17.0)
    assert not board.fresh(17.0) and board.silence_s(17.0) == 17.0
    board.hear((Beacon("a", 2, 1),), 18.0)
    assert board.fresh(18.0)
    board.fresh(20.0 + REMEMBERED_TIMEOUTS * 15.0)
    assert not board._heard_by_id


@pytest.mark.parametrize(
    ("cuts_by_reader", "readers", "expected"),
    [
        ({}, (), None),
        ({"a": D2}, ("a",), {"d2": 7.0}),
        ({"a": D2, "b": ()}, ("a", "b"), {}),
        ({"a": D2, "b": ()}, ("a",), {"d2": 7.0}),
        ({"a": D2, "b": (CutDomain("d2", 5.0),)}, ("a", "b"), {"d2": 5.0}),
        ({"a": D2}, ("other",), {"d2": 7.0}),
    ],
)
def test_domain_is_cut_when_all_readers_say_so(cuts_by_reader, readers, expected) -> None:
    """Guards against one isolated or former reader that decides for the whole domain."""
    board = BeaconBoard("d1", 15.0, 0.0)
    board.hear((Beacon(node, 1, 1, cuts) for node, cuts in cuts_by_reader.items()), 10.0)
    assert board.cut_since_by_domain(readers, 10.0) == expected


def test_contact_ends_a_cut_and_adoption_keeps_it() -> None:
    """Guards against a new reader that declares a cut domain reachable without any contact."""
    contacts = DomainContacts(5.0)
    contacts.failed("d2", 0.0)
    contacts.failed("d2", 4.0)
    assert contacts.cut(4.9) == () and contacts.cut(5.0) == (CutDomain("d2", 5.0),)
    contacts.adopt({"d3": 1.0})
    contacts.reached("d2")
    assert contacts.failing() == ("d3",) and contacts.cut(6.0) == (CutDomain("d3", 5.0),)
