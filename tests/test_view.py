"""Membership view: merge by stamp, reachability, expiry, hashes, sampling and targets."""

from __future__ import annotations

import random
from dataclasses import replace
from functools import reduce
from itertools import pairwise
from operator import xor

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from jaypost import view as view_module
from jaypost.records import Accusation, NodeRecord, NodeState, Stamp, TargetState
from jaypost.view import (
    LEFT_RETENTION_S,
    TOMBSTONE_LIFETIME_S,
    UNREACHABLE_RETENTION_S,
    AccusationOutcome,
    MembershipView,
    Scope,
)
from tests.gossip_fleet import make_record

SUSPICION_S = 5.0
OTHER = make_record("other", stamp=Stamp(5, 5), services=("shop",))


def view_with(*records: NodeRecord) -> MembershipView:
    view = MembershipView(make_record("own"), 0.0, SUSPICION_S)
    view.merge(records, 0.0)
    return view


def pass_time(view: MembershipView, start: float, seconds: float) -> float:
    """Call `expire` regularly for some seconds, without a pause, and return the time at the end."""
    step = 1.0 if seconds < 100.0 else seconds / 50.0
    normal_threshold_s, view_module.PAUSE_THRESHOLD_S = view_module.PAUSE_THRESHOLD_S, max(
        2.0, 2.0 * step
    )
    now = start
    while now < start + seconds:
        now += step
        view.expire(now)
    view_module.PAUSE_THRESHOLD_S = normal_threshold_s
    return now


def reachability_by_target_id(view: MembershipView, now: float) -> dict[str, bool]:
    return {
        placed.target.target_id: placed.reachable
        for targets in view.targets_by_service(now).values()
        for placed in targets
    }


@pytest.mark.parametrize(
    ("stamp", "is_new"),
    [
        (Stamp(5, 6), True),
        (Stamp(6, 0), True),
        (Stamp(5, 5), False),
        (Stamp(5, 4), False),
        (Stamp(4, 99), False),
    ],
)
def test_newer_stamp_wins(stamp: Stamp, is_new: bool) -> None:
    """Guards against a delayed or repeated record that replaces a newer one."""
    view = view_with(OTHER)
    record = replace(OTHER, stamp=stamp, state=NodeState.LEAVING)
    assert view.merge([record], 1.0) == ((record,) if is_new else ())
    assert view.get("other") == (record if is_new else OTHER)


@pytest.mark.parametrize(
    ("copy", "raised"),
    [
        (Stamp(9, 4), Stamp(10, 0)),  # the clock went backwards before the restart
        (Stamp(1, 7), Stamp(1, 8)),
        (Stamp(1, 0), None),
        (Stamp(0, 50), None),
    ],
)
def test_own_stamp_is_raised_above_newer_copies(copy: Stamp, raised: Stamp | None) -> None:
    """Guards against a restarted node whose records all other nodes refuse as old."""
    view = view_with()
    merged = view.merge([replace(view.own, stamp=copy, state=NodeState.LEFT)], 1.0)
    assert [record.stamp for record in merged] == ([raised] if raised else [])
    assert view.own.state is NodeState.READY


@pytest.mark.parametrize(
    ("node_id", "stamp", "outcome"),
    [
        ("other", Stamp(5, 5), AccusationOutcome.NEW),
        ("other", Stamp(5, 6), AccusationOutcome.NEW),
        ("other", Stamp(5, 4), AccusationOutcome.STALE),
        ("unknown", Stamp(5, 4), AccusationOutcome.STALE),
        ("own", Stamp(1, 0), AccusationOutcome.REFUTED),
    ],
)
def test_accusation_outcomes(node_id: str, stamp: Stamp, outcome: AccusationOutcome) -> None:
    """Guards against accusations that take effect after the node has refuted them."""
    view = view_with(OTHER)
    before = view.own.stamp
    assert view.accuse(Accusation(node_id, stamp), 0.0) is outcome
    assert view.own.stamp.newer_than(before) == (outcome is AccusationOutcome.REFUTED)


@pytest.mark.parametrize("recovery", ["none", "newer stamp", "contact"])
@pytest.mark.parametrize("wait_s", [4.0, 6.0, 60.0])
def test_unreachable_after_suspicion_until_recovery(recovery: str, wait_s: float) -> None:
    """Guards against nodes that become unreachable too early, or stay so after they recovered."""
    view = view_with(OTHER)
    view.accuse(Accusation("other", OTHER.stamp), 0.0)
    now = pass_time(view, 0.0, wait_s)
    assert reachability_by_target_id(view, now) == {"other-shop": wait_s < SUSPICION_S}
    if recovery == "newer stamp":
        view.merge([replace(OTHER, stamp=Stamp(5, 6))], now)
    elif recovery == "contact":
        assert view.confirm_reachable("other", now) is not None
        assert view.accuse(Accusation("other", OTHER.stamp), now) is AccusationOutcome.STALE
    now = pass_time(view, now, 6.0)
    assert reachability_by_target_id(view, now) == {"other-shop": recovery != "none"}


def test_pause_of_the_own_process_extends_suspicions() -> None:
    """Guards against a resumed process that marks every accused node as unreachable."""
    view = view_with(OTHER)
    view.accuse(Accusation("other", OTHER.stamp), 0.0)
    view.expire(1.0)
    view.expire(61.0)
    assert view.is_reachable("other")
    pass_time(view, 61.0, 6.0)
    assert not view.is_reachable("other")


@pytest.mark.parametrize(
    ("case", "kept_s", "removed_s"),
    [
        ("unreachable", UNREACHABLE_RETENTION_S - 3600, UNREACHABLE_RETENTION_S + 60),
        ("left", LEFT_RETENTION_S - 60, LEFT_RETENTION_S + 60),
        ("domain cut", UNREACHABLE_RETENTION_S - 3600, UNREACHABLE_RETENTION_S + 60),
    ],
)
def test_expired_records_are_removed(case: str, kept_s: float, removed_s: float) -> None:
    """Guards against records that are removed early or never, or come back from other nodes."""
    record = replace(
        OTHER,
        failure_domain="d2",
        state=NodeState.LEFT if case == "left" else NodeState.READY,
    )
    view = view_with(record)
    if case == "unreachable":
        view.accuse(Accusation("other", record.stamp), 0.0)
    if case == "domain cut":
        view.set_cut_domains({"d2": 0.0})
    now = pass_time(view, 0.0, kept_s)
    assert view.get("other") is not None
    now = pass_time(view, now, removed_s - kept_s)
    assert view.get("other") is None and len(view) == 1
    assert view.merge([record], now) == ()
    if case != "domain cut":
        assert view.merge([replace(record, stamp=Stamp(5, 6))], now) != ()
        now = pass_time(view, now, TOMBSTONE_LIFETIME_S + 600.0)
        assert view.needs_record("another", Stamp(0, 0))


def test_age_of_a_left_record_is_taken_over() -> None:
    """Guards against left records that never expire, as each joining node restarts their age."""
    record = replace(OTHER, state=NodeState.LEFT)
    view = view_with()
    view.merge([record], 0.0, {"other": LEFT_RETENTION_S - 10.0})
    assert view.left_ages([record], 0.0) == {"other": LEFT_RETENTION_S - 10.0}
    pass_time(view, 0.0, 11.0)
    assert view.get("other") is None


@pytest.mark.parametrize(
    ("states", "expected"),
    [
        (("ready", "ready", "ready", "ready"), 2),
        (("ready", "leaving", "joining", "left"), 2),
        (("leaving", "leaving", "leaving", "left"), 0),
    ],
)
def test_readers_are_the_usable_nodes_of_lowest_rank(
    states: tuple[str, ...], expected: int
) -> None:
    """Guards against a domain without readers, and leaving or unreachable nodes as readers."""
    records = [
        make_record(f"n{number}", "d2", state=NodeState(state))
        for number, state in enumerate(states)
    ]
    view = view_with(*records)
    readers = view.readers_of("d2")
    assert len(readers) == expected
    usable = [r.node_id for r in records if r.state in (NodeState.READY, NodeState.JOINING)]
    if states.count("ready") == len(states):
        rank = {node_id: view_module.reader_rank("d2", node_id) for node_id in usable}
        assert list(readers) == sorted(usable, key=rank.__getitem__)[:2]
    if readers:
        view.accuse(Accusation(readers[0], Stamp(1, 0)), 0.0)
        pass_time(view, 0.0, 6.0)
        assert readers[0] not in view.readers_of("d2")


@pytest.mark.parametrize(
    ("scope", "domains"),
    [
        (Scope.DOMAIN, {"d1"}),
        (Scope.REGION, {"d2", "d3"}),
        (Scope.CROSS_REGION, {"d4", "d5"}),
    ],
)
def test_sample_stays_in_its_scope(scope: Scope, domains: set[str]) -> None:
    """Guards against control traffic over the wrong link, and a node that samples itself."""
    regions = {"d1": "r1", "d2": "r1", "d3": "r1", "d4": "r2", "d5": "r2"}
    view = view_with(*(make_record(f"{d}{i}", d, r) for d, r in regions.items() for i in range(4)))
    view.accuse(Accusation("d10", Stamp(1, 0)), 0.0)
    pass_time(view, 0.0, 6.0)
    seen_domains = set()
    rng = random.Random(1)
    for _ in range(50):
        chosen = view.sample(rng, scope, 3)
        assert len({record.node_id for record in chosen}) == 3
        seen_domains.update(record.failure_domain for record in chosen)
        assert not {"own", "d10"}.intersection(record.node_id for record in chosen)
    assert seen_domains == domains
    assert len(view.sample(rng, scope, 9)) == 4, "unreachable nodes fill up a short sample"


def test_targets_are_cached_until_the_view_changes() -> None:
    """Guards against a rebuild of all targets on each request or each change of a node."""
    view = view_with(OTHER, make_record("third", services=("stock",)))
    first = view.targets_by_service(1.0)
    assert view.targets_by_service(1.0) is first
    gone = replace(OTHER.targets[0], state=TargetState.GONE)
    view.merge([replace(OTHER, stamp=Stamp(5, 6), targets=(gone,))], 1.0)
    second = view.targets_by_service(1.0)
    assert set(first) == {"shop", "stock"} and set(second) == {"stock"}
    assert second["stock"] is first["stock"]


def test_cut_domain_keeps_its_targets_as_unreachable() -> None:
    """Guards against a cut domain whose targets still count as reachable, or are dropped."""
    view = view_with(replace(OTHER, failure_domain="d2"))
    view.set_cut_domains({"d2": 0.0, "d1": 0.0})
    assert reachability_by_target_id(view, 1.0) == {"other-shop": False}
    assert view.is_reachable("own"), "the own domain is never cut"
    view.set_cut_domains({})
    assert reachability_by_target_id(view, 1.0) == {"other-shop": True}


NODE_IDS = ("a", "b", "c", "d")
nodes = st.sampled_from(NODE_IDS)


class ViewMachine(RuleBasedStateMachine):
    """Views that exchange records and accusations despite restarts, pauses and partitions."""

    @initialize()
    def set_up_views(self) -> None:
        self.now = 100.0
        self.view_by_id: dict[str, MembershipView] = {}
        self.newest: dict[str, Stamp] = {}
        self.newest_seen: dict[tuple[str, str], Stamp] = {}
        self.paused: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        for number, node_id in enumerate(NODE_IDS):
            self.start(node_id, Stamp(100, 0), "d1" if number < 3 else "d2")

    def start(self, node_id: str, stamp: Stamp, failure_domain: str) -> None:
        record = make_record(node_id, failure_domain, "r1", stamp, services=("shop", node_id))
        self.view_by_id[node_id] = MembershipView(record, self.now, SUSPICION_S)
        for other in NODE_IDS:
            self.newest_seen.pop((node_id, other), None)

    def are_connected(self, one: str, two: str) -> bool:
        separated = frozenset((one, two)) in self.cut_links or self.paused.intersection((one, two))
        return one != two and not separated

    @rule(one=nodes, two=nodes)
    def exchange(self, one: str, two: str) -> None:
        if self.are_connected(one, two):
            self.send(one, two)
            self.send(two, one)

    def send(self, sender: str, receiver: str) -> None:
        sending, receiving = self.view_by_id[sender], self.view_by_id[receiver]
        pending = sending.confirm_reachable(receiver, self.now)
        for item in sending.accusations(self.now) + ((pending,) if pending else ()):
            receiving.accuse(item.accusation, self.now, item.age_s)
        records = sending.records()
        receiving.merge(records, self.now, sending.left_ages(records, self.now))

    @rule(node_id=nodes, state=st.sampled_from([TargetState.READY, TargetState.DRAINING]))
    def change_targets(self, node_id: str, state: TargetState) -> None:
        if node_id not in self.paused:
            view = self.view_by_id[node_id]
            view.update_own(targets=tuple(replace(t, state=state) for t in view.own.targets))

    @rule(accuser=nodes, accused=nodes)
    def accuse(self, accuser: str, accused: str) -> None:
        view = self.view_by_id[accuser]
        record = view.get(accused)
        if record is not None and accuser != accused and accuser not in self.paused:
            view.accuse(Accusation(accused, record.stamp), self.now)

    @rule(node_id=nodes, incarnation_step=st.sampled_from([1, 50, -1, -50]))
    def restart(self, node_id: str, incarnation_step: int) -> None:
        own = self.view_by_id[node_id].own
        stamp = Stamp(max(0, own.stamp.incarnation + incarnation_step), 0)
        self.paused.discard(node_id)
        self.start(node_id, stamp, own.failure_domain)

    @rule(node_id=nodes)
    def pause_or_resume(self, node_id: str) -> None:
        self.paused ^= {node_id}

    @rule(one=nodes, two=nodes)
    def cut_or_restore_link(self, one: str, two: str) -> None:
        if one != two:
            self.cut_links ^= {frozenset((one, two))}

    @rule(node_id=nodes, cut=st.booleans())
    def mark_domains_as_cut(self, node_id: str, cut: bool) -> None:
        self.view_by_id[node_id].set_cut_domains({"d1": self.now, "d2": self.now} if cut else {})

    @rule(seconds=st.sampled_from([1, 3, 6, 30]))
    def advance_clock(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1.0
            for node_id, view in self.view_by_id.items():
                if node_id not in self.paused:
                    view.expire(self.now)

    @rule()
    def end_all_faults(self) -> None:
        """End all faults; afterwards all views are equal and all nodes are reachable.

        Nodes exchange only with their neighbours in a chain, so that most pairs become reachable
        for each other only by refutations.
        """
        self.cut_links.clear()
        self.paused.clear()
        for view in self.view_by_id.values():
            view.set_cut_domains({})
        for _ in range(8):
            for one, two in pairwise(NODE_IDS):
                self.exchange(one, two)
            self.advance_clock(1)
        self.advance_clock(6)
        assert len({view.root_hash() for view in self.view_by_id.values()}) == 1
        for view in self.view_by_id.values():
            assert all(view.is_reachable(node_id) for node_id in NODE_IDS)
            assert view.records() and {r.node_id for r in view.records()} == set(NODE_IDS)

    @invariant()
    def failure_detector_empties_no_service(self) -> None:
        for view in self.view_by_id.values():
            listed = view.targets_by_service(self.now)
            known = {r.node_id for r in view.records()}
            assert {placed.node_id for placed in listed["shop"]} == known
            assert known | {"shop"} == set(listed)
            for targets in listed.values():
                assert all(p.reachable == view.is_reachable(p.node_id) for p in targets)

    @invariant()
    def stamps_never_go_back(self) -> None:
        for owner_id, view in self.view_by_id.items():
            for record in view.records():
                key = (owner_id, record.node_id)
                before = self.newest_seen.get(key, record.stamp)
                assert not before.newer_than(record.stamp)
                self.newest_seen[key] = record.stamp

    @invariant()
    def hashes_match_the_records(self) -> None:
        for view in self.view_by_id.values():
            digests = [view_module._digest_of(record) for record in view.records()]
            assert view.root_hash() == reduce(xor, digests, 0)
            assert reduce(xor, view.bucket_hashes()) == view.root_hash()


TestViewMachine = ViewMachine.TestCase
TestViewMachine.settings = hypothesis_settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None, database=None
)
