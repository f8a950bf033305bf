"""Which nodes of a region read the table from the store."""

from __future__ import annotations

from pathlib import Path

import pytest

from jaypost.elections import (
    CHECK_INTERVAL_S,
    Candidates,
    ReaderElection,
    candidates,
    contact_limit_s,
)
from jaypost.messages import StoreContact
from jaypost.records import NodeState
from jaypost.view import MembershipView
from tests.gossip_fleet import make_record

NOW = 100.0
CHOSEN = Candidates(("a", "b", "c", "d"), ("y", "z"))
NEAR_S, FAR_S = 0.001, 0.06
# Shortest time in which an accepted version has to be in force on the users' sites.
SHORTEST_CONFIG_BOUND_S = 2.5


def contacts(ages: dict[str, float | None], round_trip_s: float = FAR_S) -> dict:
    return {
        node_id: None if age_s is None else StoreContact(age_s, round_trip_s)
        for node_id, age_s in ages.items()
    }


def view_of(domains: int, nodes_per_domain: int = 5) -> MembershipView:
    """Return a view with some domains in the region of the own node and one in another."""
    records = [
        make_record(f"d{domain}n{node}", f"d{domain}", "r1" if domain < domains else "r2")
        for domain in range(domains + 1)
        for node in range(nodes_per_domain)
    ]
    view = MembershipView(records[0], NOW)
    view.merge(records[1:], NOW)
    return view


@pytest.mark.parametrize("domains", [1, 2, 4])
def test_all_nodes_of_a_region_choose_the_same_candidates_from_different_domains(
    domains: int,
) -> None:
    """Guards against reads and region link bytes that grow with the domains or the fleet."""
    view = view_of(domains)
    chosen = candidates(view).own_region
    assert len(candidates(view).other_regions) == 2
    assert len(chosen) == min(4, 2 * domains)
    assert len({node_id[:2] for node_id in chosen[:2]}) == min(2, domains)
    other = MembershipView(make_record("d0n3", "d0", "r1"), NOW)
    other.merge(tuple(view.records()), NOW)
    assert candidates(other).own_region == chosen


def test_domains_that_are_cut_off_have_their_own_readers() -> None:
    """Guards against a domain that counts on a reader that it cannot reach."""
    view = view_of(4)
    view.set_cut_domains({f"d{domain}": NOW for domain in (1, 2, 3)})
    assert {node_id[:2] for node_id in candidates(view).own_region} == {"d0"}


def test_leaving_nodes_are_not_candidates() -> None:
    """Guards against a version that waits for a node which is shutting down."""
    view = view_of(2)
    first = candidates(view).own_region[0]
    domain = first[:2]
    left = make_record(first, domain, "r1", stamp=view.get(first).stamp, state=NodeState.LEAVING)
    later = left.stamp.__class__(left.stamp.incarnation, left.stamp.sequence + 1)
    view.merge((make_record(first, domain, "r1", stamp=later, state=NodeState.LEAVING),), NOW)
    assert first not in candidates(view).own_region


@pytest.mark.parametrize(
    ("own", "ages", "place"),
    [
        ("a", {}, 0),
        ("b", {}, 1),
        ("c", {}, None),
        ("c", {"a": 0.1, "b": 2.0}, None),
        ("c", {"a": None, "b": 2.0}, 1),
        ("c", {"a": None, "b": 9.0}, 0),
        ("d", {"a": None, "b": 2.0, "c": 0.1}, None),
        ("d", {"a": None, "b": None, "c": 0.1}, 1),
        ("x", {"a": None, "b": None}, None),
    ],
)
def test_candidates_take_over_from_those_without_contact_with_the_store(
    own: str, ages: dict[str, float | None], place: int | None
) -> None:
    """Guards against a region without a reader, and against more readers than needed."""
    election = ReaderElection(own, contact_limit_s=4.0)
    assert set(ages) <= set(election.to_check(CHOSEN)) or own == "x"
    for node_id, contact in contacts(ages).items():
        election.set_contact(node_id, contact, FAR_S, NOW)
    assert election.place(CHOSEN) == place


@pytest.mark.parametrize(
    ("other", "other_s", "own_s", "reads"),
    [
        ({"y": 0.1, "z": None}, NEAR_S, FAR_S, False),
        ({"y": None, "z": 2.0}, NEAR_S, FAR_S, False),
        ({"y": None, "z": None}, NEAR_S, FAR_S, True),
        ({"y": 9.0, "z": 9.0}, NEAR_S, FAR_S, True),
        ({"y": 0.1, "z": 0.1}, FAR_S, FAR_S, True),
        ({"y": 0.1, "z": 0.1}, FAR_S, NEAR_S, True),
        ({"y": 0.1, "z": 0.1}, NEAR_S, 0.004, True),
        ({"y": 0.1, "z": 0.1}, NEAR_S, None, True),
    ],
)
def test_far_region_reads_only_while_no_nearer_region_does(
    other: dict[str, float | None], other_s: float, own_s: float | None, reads: bool
) -> None:
    """Large table and a narrow link between regions: guards against its copies filling the link."""
    election = ReaderElection("a", contact_limit_s=4.0)
    assert election.to_check(CHOSEN) == ("y", "z")
    for node_id, contact in contacts(other, other_s).items():
        election.set_contact(node_id, contact, own_s, NOW)
    assert election.place(CHOSEN) == (0 if reads else None)
    assert election.regional_place(CHOSEN) == 0
    age_s = election.nearer_contact_age_s(CHOSEN, NOW + 1.0)
    assert (age_s is None) is reads


def test_readers_that_the_store_does_not_answer_are_replaced_before_a_version_is_due() -> None:
    """Both readers of a region lose the store: guards against a version that comes into force late.

    Found by a hunt of canopy-wa (trouble-1 with seed 227609086683): 4.2 s after its acceptance.
    """
    lines = (Path(__file__).parent.parent / "deploy" / "node.env").read_text().splitlines()
    (wait,) = [line for line in lines if line.startswith("JAYPOST_WATCH_WAIT_S=")]
    detection_s = contact_limit_s(float(wait.partition("=")[2])) + 1.1 * CHECK_INTERVAL_S
    assert detection_s < SHORTEST_CONFIG_BOUND_S
