"""Division of a limit: its sum over all orders of messages, losses and restarts."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jaypost.allotments.buckets import OverAllotment, ShareBuckets, Short, Taken
from jaypost.allotments.shares import (
    KEPT_ROOM_FRACTION,
    LEASE_S,
    LEASED_RATE_FRACTION,
    LEASED_ROOM_FRACTION,
    Asker,
    Demand,
    Grant,
    ShareLedger,
    Tolerance,
    limit_with,
)
from jaypost.workspaces.keys import Workspace

WORKSPACE = Workspace("lettings", rate_limit=20.0, rate_burst=20.0)
# What the users accept: 10% and 20 requests more in 5 s.
LIMIT = limit_with(Tolerance(0.1, 20.0, 5.0), 20.0, 20.0)
LIMITS = {"lettings": LIMIT}
ROOM = LIMIT.room
LEASED = LEASED_RATE_FRACTION * LIMIT.rate
TOLERANCE = 1e-6
SEQUENCE = itertools.count(1)


def ask(ledger: ShareLedger, host: str, now: float, rate: float, **more: float) -> Grant:
    demand = Demand("lettings", rate, **more)  # type: ignore[arg-type]
    (grant,) = ledger.request(next_asker(host), [demand], LIMITS, now)
    return grant


def next_asker(host: str, incarnation: int = 1) -> Asker:
    return Asker(host, incarnation, next(SEQUENCE))


@pytest.mark.parametrize(
    ("demands", "fractions"),
    [
        pytest.param({"a": 4.0}, {"a": 1.0}, id="alone"),
        pytest.param({"a": 2.0, "b": 4.0}, {"a": 0.336, "b": 0.664}, id="below the limit"),
        pytest.param({"a": 30.0, "b": 10.0}, {"a": 0.749, "b": 0.251}, id="pressed"),
        pytest.param({"a": 0.0, "b": 60.0}, {"a": 0.001, "b": 0.999}, id="one hot host"),
    ],
)
def test_shares_follow_demand(demands: dict[str, float], fractions: dict[str, float]) -> None:
    """Load: demand moves between hosts; after three renewals of each the shares have followed."""
    ledger = ShareLedger((), 0.0)
    granted: dict[str, Grant] = {}
    for now in (0.0, 1.0, 2.0, 3.0):
        for host, rate in demands.items():
            held = granted.get(host, Grant("lettings", 0.0, 0.0, 0.0, 20.0))
            granted[host] = ask(ledger, host, now, rate, held_rate=held.rate, held_room=held.room)
    for host, fraction in fractions.items():
        assert granted[host].rate == pytest.approx(fraction * LEASED, abs=0.02)
        room = (fraction + 1.0 / len(demands)) / 2 * LEASED_ROOM_FRACTION * ROOM
        assert granted[host].room == pytest.approx(room, abs=0.05)


def test_many_hosts_with_rare_requests_lease_nothing() -> None:
    """Load: more hosts than room. Guards against leased rates that nobody can use."""
    ledger = ShareLedger((), 0.0)
    hosts = [f"host-{number}" for number in range(60)]
    for now in (0.0, 1.0, 2.0):
        grants = [ask(ledger, host, now, 0.5) for host in hosts]
    assert all(grant.rate == 0.0 for grant in grants)
    # All of the rate is left for the requests that wait.
    served = sum(ask(ledger, host, 12.0, 0.5, short=1).tokens for host in hosts)
    assert served == int(KEPT_ROOM_FRACTION * ROOM)


def test_waiting_requests_get_the_tokens_that_are_not_leased() -> None:
    """Load: rare requests on many hosts, whose shares are too small at a moment."""
    ledger = ShareLedger((), 0.0)
    for host in "abcdef":
        ask(ledger, host, 0.0, 1.0)
    kept = int(KEPT_ROOM_FRACTION * ROOM)
    assert ask(ledger, "a", 2.0, 1.0, short=3).tokens == 3.0
    assert ask(ledger, "b", 2.0, 1.0, short=30).tokens == kept - 3.0
    assert ask(ledger, "c", 2.0, 1.0, short=1).tokens == 0.0


@pytest.mark.parametrize("passed_s", [0.1, LEASE_S - 0.1])
def test_share_of_a_silent_host_is_not_leased_again(passed_s: float) -> None:
    """Guards against a share that is used on both sides of a cut (QUOTA)."""
    ledger = ShareLedger((), 0.0)
    ask(ledger, "cut", 0.0, 60.0)
    assert ask(ledger, "b", passed_s, 60.0).rate == 0.0
    assert ask(ledger, "b", LEASE_S, 60.0).rate > 9.0


@pytest.mark.parametrize(
    ("hosts", "sum_kept"),
    [(("a", "b"), True), ((), False)],
    ids=["with hand-over", "without hand-over, for comparison"],
)
def test_new_divider_does_not_lease_what_an_earlier_one_has_leased(
    hosts: tuple[str, ...], sum_kept: bool
) -> None:
    """Guards against two dividers that both lease the whole limit after a take-over (QUOTA)."""
    first = ShareLedger((), 0.0)
    held = ask(first, "a", 0.0, 60.0).rate
    second = ShareLedger(hosts, 1.0)
    granted = ask(second, "b", 1.5, 60.0).rate
    assert (held + granted <= LEASED + TOLERANCE) is sum_kept


def test_reported_shares_are_divided_before_all_hosts_have_reported() -> None:
    """Guards against a fleet without shares while one dead host has not reported."""
    ledger = ShareLedger(("a", "b", "dead"), 0.0)
    assert ask(ledger, "a", 0.5, 10.0, held_rate=4.0, held_room=9.0).rate == pytest.approx(4.0)
    assert ask(ledger, "b", 0.6, 10.0, held_rate=3.0, held_room=9.0).rate == pytest.approx(3.0)
    assert ledger.is_recovering(1.0)
    assert not ledger.is_recovering(LEASE_S)


def test_kept_tokens_are_there_during_the_recovery() -> None:
    """Guards against a fleet without tokens while one dead host has not reported."""
    ledger = ShareLedger(("a", "dead"), 0.0)
    kept = (1.0 - LEASED_RATE_FRACTION) * LIMIT.rate
    assert ask(ledger, "a", 1.0, 1.0, short=30).tokens == int(kept)


def test_restarted_host_does_not_hold_up_the_recovery() -> None:
    ledger = ShareLedger(("a",), 0.0)
    ledger.request(next_asker("a"), (), LIMITS, 0.1)
    assert not ledger.is_recovering(0.2)
    assert ask(ledger, "a", 0.3, 20.0).rate == pytest.approx(LEASED)


@pytest.mark.parametrize(("rate", "burst"), [(1.0, 1.0), (11.0, 11.0), (349.0, 349.0), (5.0, 0.0)])
def test_steady_rate_and_room_stay_within_what_is_accepted_in_a_window(
    rate: float, burst: float
) -> None:
    """Guards against a window with more requests than operators accept (QUOTA)."""
    limit = limit_with(Tolerance(0.1, 20.0, 5.0), rate, burst)
    accepted = (5.0 * rate + burst) * 1.1 + 20.0
    assert 5.0 * rate + burst <= 5.0 * limit.rate + limit.room <= accepted


def divided_buckets(fallback_fraction: float = 0.0) -> ShareBuckets:
    """Return the buckets of a host that knows of a divider."""
    buckets = ShareBuckets(fallback_fraction)
    buckets.was_divided = True
    return buckets


@dataclass
class Host:
    """A host whose tokens and expiry are those of the product."""

    incarnation: int = 0
    late: list[tuple[Asker, tuple[Demand, ...]]] = field(default_factory=list)
    buckets: ShareBuckets = field(default_factory=lambda: divided_buckets())

    def held(self, now: float) -> float:
        return sum(demand.held_rate for demand in self.buckets.demands(now))


HOSTS = st.sampled_from(["a", "b", "c"])
STEPS = st.sampled_from([0.0, 0.1, 0.5, 1.0, 2.5, LEASE_S, 9.0])


class Division(RuleBasedStateMachine):
    """Three hosts and a divider that is replaced, with requests and replies that are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.hosts = {name: Host() for name in "abc"}
        self.ledger = ShareLedger((), 0.0)
        self.admitted: list[float] = []

    @rule(step=STEPS)
    def time_passes(self, step: float) -> None:
        self.now += step

    @rule(host=HOSTS, count=st.integers(1, 40))
    def requests_arrive(self, host: str, count: int) -> None:
        for _ in range(count):
            if isinstance(self.hosts[host].buckets.take(WORKSPACE, self.now), Taken):
                self.admitted.append(self.now)

    @rule(host=HOSTS, lost=st.sampled_from(["", "late", "reply"]), delay=st.floats(0, 2))
    def host_renews(self, host: str, lost: str, delay: float) -> None:
        asked_at = self.now
        demands = self.hosts[host].buckets.demands(asked_at)
        asker = next_asker(host, self.hosts[host].incarnation)
        if lost == "late":
            self.hosts[host].late.append((asker, demands))
            return
        grants = self.ledger.request(asker, demands, LIMITS, asked_at + delay / 2)
        self.now += delay
        if lost != "reply":
            self.hosts[host].buckets.apply(grants, asked_at, self.now)

    @rule(host=HOSTS)
    def late_request_arrives(self, host: str) -> None:
        for asker, demands in self.hosts[host].late:
            self.ledger.request(asker, demands, LIMITS, self.now)
        self.hosts[host].late.clear()

    @rule(host=HOSTS)
    def host_restarts(self, host: str) -> None:
        self.hosts[host] = Host(self.hosts[host].incarnation + 1)

    @rule()
    def divider_is_replaced(self) -> None:
        self.ledger = ShareLedger(self.hosts, self.now)

    @invariant()
    def sum_is_within_the_limit(self) -> None:
        """Whatever was lost, the hosts together hold no more than the limit."""
        held = sum(host.held(self.now) for host in self.hosts.values())
        assert held <= LEASED + TOLERANCE

    @invariant()
    def window_is_within_the_allotment(self) -> None:
        """No window of 5 s admits more than the users accept: 10% and 20 requests more."""
        allowed = (5.0 * WORKSPACE.rate_limit + WORKSPACE.rate_burst) * 1.1 + 20
        recent = [at for at in self.admitted if at > self.now - 5.0]
        assert len(recent) <= allowed


TestDivision = Division.TestCase
TestDivision.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize(
    ("steps", "outcomes"),
    [
        pytest.param([0.0], [Short], id="asks before it refuses"),
        pytest.param([0.0, 0.0, 0.0], [Short, Short, Short], id="all that arrive at once ask"),
    ],
)
def test_host_without_a_share_asks(steps: list[float], outcomes: list[type]) -> None:
    buckets = divided_buckets()
    assert [type(buckets.take(WORKSPACE, now)) for now in steps] == outcomes


def granted_buckets(rate: float) -> ShareBuckets:
    buckets = divided_buckets()
    buckets.take(WORKSPACE, 0.0)
    buckets.apply([Grant("lettings", rate, 2.5, 0.0, 20.0)], 0.0, 0.0)
    return buckets


def test_renewal_does_not_keep_a_host_from_asking() -> None:
    """Load: rare requests. Guards against a refusal while the divider has tokens (429)."""
    buckets = granted_buckets(0.4)
    buckets.apply([Grant("lettings", 0.4, 0.9, 0.0, 20.0)], 1.0, 1.0)
    assert isinstance(buckets.take(WORKSPACE, 1.01), Short)


def test_host_whose_waiting_requests_got_no_tokens_refuses_the_next_at_once() -> None:
    """Load: the allotment is used up. Guards against a wait for each of the refused requests."""
    buckets = granted_buckets(0.4)
    assert isinstance(buckets.take(WORKSPACE, 1.0), Short)
    buckets.wait_began(WORKSPACE)
    buckets.demands(1.0)
    buckets.apply([Grant("lettings", 0.4, 0.9, 0.0, 20.0)], 1.0, 1.1)
    buckets.wait_ended(WORKSPACE)
    assert isinstance(buckets.take(WORKSPACE, 1.2), OverAllotment)
    assert isinstance(buckets.take(WORKSPACE, 1.7), Short)


def test_refused_callers_are_asked_to_come_back_one_after_the_other() -> None:
    """Load: many refused callers. Guards against their return at the same moment."""
    buckets = granted_buckets(10.0)
    outcomes = [buckets.take(WORKSPACE, 0.0, may_wait=False) for _ in range(5)]
    waits = [item.retry_after_s for item in outcomes if isinstance(item, OverAllotment)]
    assert len(waits) == 5
    gaps = [later - earlier for earlier, later in itertools.pairwise(waits)]
    assert gaps == pytest.approx([0.1] * 4)


def test_token_of_a_request_that_was_not_run_is_used_again() -> None:
    """Guards against an allotment that is used up by requests refused for other reasons."""
    buckets = granted_buckets(10.0)
    assert isinstance(buckets.take(WORKSPACE, 0.2), Taken)
    buckets.give_back(WORKSPACE, 0.2)
    assert isinstance(buckets.take(WORKSPACE, 0.2), Taken)


@pytest.mark.parametrize(("limit", "admitted"), [(20.0, 10), (10.0, 5), (40.0, 20)])
def test_changed_limit_changes_the_share_at_once(limit: float, admitted: int) -> None:
    """Guards against a lowered limit that binds late, and a raised one that is not used."""
    buckets = granted_buckets(10.0)
    changed = Workspace("lettings", rate_limit=limit, rate_burst=20.0)
    buckets.take(changed, 0.0)
    taken = [isinstance(buckets.take(changed, 0.01 * n), Taken) for n in range(1, 101)]
    assert sum(taken) == pytest.approx(admitted, abs=1)


def test_lease_ends_and_the_fallback_is_a_small_part_of_the_limit() -> None:
    """Guards against a host out of touch that goes on with a share leased to others."""
    buckets = divided_buckets(0.1)
    buckets.note_hosts(10, 0.0)
    buckets.take(WORKSPACE, 0.0)
    buckets.apply([Grant("lettings", 10.0, 2.5, 0.0, 20.0)], 0.0, 0.0)
    taken = [isinstance(buckets.take(WORKSPACE, LEASE_S + 0.1 * n), Taken) for n in range(100)]
    assert 2 <= sum(taken) <= 5  # 0.2 a second, and what was left of the share


@pytest.mark.parametrize("hosts", [12, 60])
@pytest.mark.parametrize("join_s", [0.0, 0.3, 2.0])
def test_hosts_that_start_together_stay_within_the_limit(hosts: int, join_s: float) -> None:
    """Guards against hosts that each take the part of a whole fleet at its start (QUOTA)."""
    workspace = Workspace("hot", rate_limit=200.0, rate_burst=20.0)
    all_buckets = [ShareBuckets(0.0) for _ in range(hosts)]
    taken_at = []
    for step in range(1, 5001):
        now = step / 1000
        known = hosts if now >= join_s else max(1, int(hosts * now / join_s))
        buckets = all_buckets[step % hosts]
        buckets.note_hosts(known, now)
        taken_at += [now for _ in range(3) if isinstance(buckets.take(workspace, now), Taken)]
    # Until there is a divider they use the part that is leased, and one request each at once.
    assert len(taken_at) <= LEASED_RATE_FRACTION * 200.0 * 5.0 + hosts
    assert min(taken_at) >= join_s
    settled_s = 5.0 - join_s - 1.0 - 2 * hosts / 1000
    assert len(taken_at) >= 0.8 * LEASED_RATE_FRACTION * 200.0 * settled_s
