"""Guards against traffic to failed or slow targets, and against ejecting a whole service."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jaypost.errors import ErrorKind
from jaypost.health import CONSECUTIVE_FAILURES_TO_EJECT, Observation, TargetHealth

IDS = ("t0", "t1", "t2", "t3")


def make_health(ids=IDS, **options):
    health = TargetHealth(**options)
    health.set_targets("docs", ids, 0.0)
    return health


def observe(health, target_id, now, kind=None, status=200, latency_s=0.01, **options):
    if kind is not None:
        status = 0
    health.observe(Observation(target_id, "docs", kind, status, latency_s, now, **options))


def answer_from_all(health, now, ids=IDS, rounds=5):
    for _ in range(rounds):
        for target_id in ids:
            observe(health, target_id, now)


@pytest.mark.parametrize(
    ("kind", "status", "ejected"),
    [
        (ErrorKind.CONNECT_FAILED, 0, True),
        (ErrorKind.OUTCOME_UNKNOWN, 0, True),
        (None, 500, True),
        (None, 503, False),
        (None, 404, False),
        (ErrorKind.SLOTS_FULL, 0, False),
        (ErrorKind.QUEUE_FULL, 0, False),
        (ErrorKind.DEADLINE_TOO_SHORT, 0, False),
        (ErrorKind.CANCELLED, 0, False),
        (ErrorKind.DRAINING, 0, False),
    ],
)
def test_three_failures_in_a_row_eject_and_refusals_do_not(kind, status, ejected):
    """Guards against traffic to a failed target, and against ejecting one that refuses requests."""
    health = make_health()
    for number in range(3):
        assert health.weight("t0", 1.0) == 1.0, number
        observe(health, "t0", 1.0, kind, status)
    assert (health.weight("t0", 1.0) == 0.0) is ejected


def test_success_resets_the_count_of_failures():
    """Guards against ejecting a target for failures that are not consecutive."""
    health = make_health()
    for _ in range(5):
        observe(health, "t0", 1.0, ErrorKind.CONNECT_FAILED)
        observe(health, "t0", 1.0, ErrorKind.CONNECT_FAILED)
        observe(health, "t0", 1.0)
    assert health.weight("t0", 1.0) == 1.0


def test_straggler_is_ejected_within_a_few_requests():
    """Guards against traffic to a target that is much slower than its siblings."""
    health = make_health()
    answer_from_all(health, 1.0)
    request_count = 0
    while health.weight("t0", 1.0) and request_count < 10:
        observe(health, "t0", 1.0, latency_s=0.05)
        request_count += 1
    assert request_count <= 5
    assert health.weight("t1", 1.0) == 1.0


@pytest.mark.parametrize(
    ("latencies_s", "options"),
    [
        ([0.025] * 20, {}),
        ([0.4], {}),
        ([0.4] * 20, {"is_long_work": True}),
    ],
    ids=["below 3 times the median", "one unrecognised long request", "long work"],
)
def test_slow_responses_that_do_not_make_a_straggler(latencies_s, options):
    """Guards against ejecting a target for long work or for small differences in latency."""
    health = make_health()
    answer_from_all(health, 1.0)
    for latency_s in latencies_s:
        observe(health, "t0", 1.0, latency_s=latency_s, **options)
    assert health.weight("t0", 1.0) == 1.0


def test_slowdown_of_all_targets_ejects_none():
    """Guards against ejecting targets when the whole service is slow."""
    health = make_health()
    answer_from_all(health, 1.0)
    rng = random.Random(4)
    for step in range(200):
        observe(health, rng.choice(IDS), 1.0 + step / 100, latency_s=0.1 * rng.uniform(0.7, 1.3))
    answer_from_all(health, 4.0)
    assert all(health.weight(target_id, 4.0) == 1.0 for target_id in IDS)


def test_round_trip_to_another_region_does_not_make_a_straggler():
    """Guards against comparing latencies across regions."""
    health = make_health()
    for _ in range(10):
        for target_id, latency_s in zip(IDS, [0.01, 0.01, 0.07, 0.07], strict=True):
            region = "near" if latency_s < 0.05 else "far"
            observe(health, target_id, 1.0, latency_s=latency_s, region=region)
    assert all(health.weight(target_id, 1.0) == 1.0 for target_id in IDS)
    for _ in range(5):
        observe(health, "t3", 1.0, latency_s=0.35, region="far")
    assert health.weight("t3", 1.0) == 0.0


def test_silent_target_is_ejected_without_an_answer():
    """Guards against traffic to a target that accepts requests and does not answer them."""
    health = make_health()
    answer_from_all(health, 1.0)
    for _ in range(3):
        health.attempt_started("t0", 1.0)
    assert health.weight("t0", 1.9) == 1.0
    assert health.weight("t0", 2.1) == 0.0


def test_ejected_target_returns_with_growing_weight():
    """Guards against a target that gets full traffic as soon as its ejection ends."""
    health = make_health()
    for _ in range(3):
        observe(health, "t0", 1.0, ErrorKind.CONNECT_FAILED)
    assert health.weight("t0", 1.9) == 0.0
    weights = []
    for _ in range(5):
        weights.append(health.weight("t0", 2.1))
        observe(health, "t0", 2.1)
    assert weights == sorted(weights)
    assert weights[0] == pytest.approx(0.1)
    assert weights[-1] == 1.0


def test_failed_trial_ejects_for_longer():
    """Guards against frequent trials of a target that keeps failing."""
    health = make_health()
    for _ in range(3):
        observe(health, "t0", 1.0, ErrorKind.CONNECT_FAILED)
    assert health.weight("t0", 2.1) > 0.0
    observe(health, "t0", 2.1, ErrorKind.CONNECT_FAILED)
    assert health.weight("t0", 3.9) == 0.0
    assert health.weight("t0", 4.2) > 0.0


@pytest.mark.parametrize(("age_s", "weight"), [(0.0, 0.1), (5.0, 0.55), (10.0, 1.0)])
def test_target_that_joins_a_known_service_ramps_up(age_s, weight):
    """Guards against full traffic to a target that has just started."""
    health = make_health(ramp_s=10.0)
    health.set_targets("docs", (*IDS, "new"), 50.0)
    assert health.weight("new", 50.0 + age_s) == pytest.approx(weight)
    assert health.weight("t0", 50.0) == 1.0


class HealthMachine(RuleBasedStateMachine):
    """At most half of a service is ejected, and at least one target always gets traffic."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ids = IDS
        self.health = make_health()

    @rule(
        number=st.integers(0, 5),
        kind=st.sampled_from([None, None, ErrorKind.CONNECT_FAILED, ErrorKind.SLOTS_FULL]),
        latency_s=st.sampled_from([0.01, 0.05, 1.0]),
        count=st.integers(1, 4),
    )
    def finish_attempts(self, number, kind, latency_s, count):
        for _ in range(count):
            observe(self.health, f"t{number}", self.now, kind, latency_s=latency_s)

    @rule(number=st.integers(0, 5), count=st.integers(1, 4))
    def start_attempts(self, number, count):
        for _ in range(count):
            self.health.attempt_started(f"t{number}", self.now)

    @rule(step_s=st.floats(0.0, 3.0))
    def advance_time(self, step_s):
        self.now += step_s

    @rule(numbers=st.sets(st.integers(0, 5), min_size=1))
    def change_targets(self, numbers):
        self.ids = tuple(f"t{number}" for number in sorted(numbers))
        self.health.set_targets("docs", self.ids, self.now)

    @invariant()
    def at_most_half_is_ejected(self):
        weights = [self.health.weight(target_id, self.now) for target_id in self.ids]
        ejected = sum(weight == 0.0 for weight in weights)
        assert ejected <= len(self.ids) // 2
        assert any(weights)
        assert all(0.0 <= weight <= 1.0 for weight in weights)


HealthMachine.TestCase.settings = hypothesis_settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)
TestHealthMachine = HealthMachine.TestCase


@pytest.mark.parametrize(
    "moves",
    [
        [("a@canary", ("t1",)), ("a", ("t0", "t1")), ("a@canary", ()), ("a", ("t1",))],
        [("a@canary", ("t1",)), ("a", ("t1",)), ("a@canary", ("t2",)), ("a", ("t1", "t2"))],
        [("a", ("t1", "t2")), ("a@canary", ("t1", "t2")), ("a", ("t0",)), ("a@canary", ("t1",))],
        [("a", ("t1",)), ("a@canary", ("t1",)), ("a", ("t1",)), ("a@canary", ("t1",))],
    ],
)
def test_target_moves_between_a_service_and_its_canary(moves):
    """Guards against a record that one group deletes while the other group lists the target."""
    health = TargetHealth()
    for now, (service, target_ids) in enumerate(moves):
        health.set_targets(service, target_ids, float(now))
        for target_id in target_ids:
            health.observe(Observation(target_id, service, None, 200, 0.01, float(now)))
            assert health.weight(target_id, float(now)) > 0.0
        assert health.ejected_count(service, float(now)) == 0


def test_target_that_moves_to_another_group_keeps_its_health():
    """Guards against an ejected canary that gets its full weight when all requests move to it."""
    health = TargetHealth()
    health.set_targets("a@canary", ("t1", "t2"), 0.0)
    for _ in range(CONSECUTIVE_FAILURES_TO_EJECT):
        health.observe(Observation("t1", "a@canary", None, 500, 0.01, 0.0))
    assert health.weight("t1", 0.1) == 0.0
    health.set_targets("a", ("t0", "t1", "t2"), 0.1)
    assert health.weight("t1", 0.1) == 0.0
