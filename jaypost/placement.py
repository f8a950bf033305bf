"""Choice of the target of an attempt: weighted destinations, locality, load hints and health."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from jaypost.errors import ErrorKind
from jaypost.health import SHED_STATUS, Observation, TargetHealth
from jaypost.records import Destination, Load, PlacedTarget, Spill, TargetState

TIERS_BY_SPILL: Mapping[Spill, int] = {Spill.DOMAIN: 1, Spill.REGION: 2, Spill.ANY: 3}
REMOTE_TIER = 2
# The link between regions is billed by volume, so leaving the region must save more waiting time
# than the round trip alone costs.
LINK_PRICE_FACTOR = 2.0
SAMPLED_TIER = 16
SAMPLES = 8
SPILL_DELAY_S = 0.1
FULL_MEMORY_S = 0.02
FAILED_MEMORY_S = 1.0
HINT_DECAY_S = 0.5
SATURATED_SHARE = 0.7
SATURATION_MEMORY_S = 1.0
QUEUE_REFUSAL_MEMORY_S = 0.05
FULL_QUEUE_FRACTION = 0.8
# Waiting at a target that just reported a full house is safer than at one that may be a straggler.
UNKNOWN_WAIT = 1.0
FULL_GAIN = 0.25
LATENCY_GAIN = 0.1
ASSUMED_LATENCY_S = 0.02
TIE_S = 1e-6

QUEUE_REFUSALS = frozenset({ErrorKind.QUEUE_FULL, ErrorKind.DEADLINE_TOO_SHORT})
FULL_KINDS = QUEUE_REFUSALS | {ErrorKind.SLOTS_FULL}
BROKEN_KINDS = frozenset({ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_CUT, ErrorKind.INTERNAL})
FAILED_KINDS = frozenset({ErrorKind.CONNECT_FAILED, ErrorKind.DRAINING, ErrorKind.WRONG_TARGET})


@dataclass(frozen=True, slots=True)
class ChooseTarget:
    """Ask for the target of one attempt.

    Parameters
    ----------
    service : str
        Destination service of the request.
    targets : tuple of PlacedTarget
        Targets of that service in the snapshot of the request.
    spill : Spill
        How far the row lets requests go.
    tried : frozenset of str
        Identifiers of the targets that earlier attempts used.
    last_attempt : bool
        Whether no attempt may follow, so that this one may queue.
    now : float
        Monotonic time in seconds.
    long_work : bool
        Whether the request is long work, which may find a target full that has slots for short
        work.
    """

    service: str
    targets: tuple[PlacedTarget, ...]
    spill: Spill
    tried: frozenset[str]
    last_attempt: bool
    now: float
    long_work: bool = False


@dataclass(frozen=True, slots=True)
class Chosen:
    """The target of an attempt and whether the attempt may wait in its queue."""

    target: PlacedTarget
    may_queue: bool


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can be tried."""

    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt was sent to the target."""

    target_id: str
    now: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Result of an attempt, as the ingress saw it.

    Parameters
    ----------
    target : PlacedTarget
        Target of the attempt.
    kind : ErrorKind or None
        None when the target answered, whatever the status.
    status : int
        HTTP status of the answer; 0 when there was none.
    latency_s : float
        Time to the first byte of the answer.
    load : Load or None
        Load reported by the target's node with the answer.
    now : float
        Monotonic time in seconds.
    long_work : bool
        Whether the request was long work, whose latency says nothing about the target.
    """

    target: PlacedTarget
    kind: ErrorKind | None
    status: int
    latency_s: float
    load: Load | None
    now: float
    long_work: bool = False


@dataclass(slots=True)
class _TargetLoad:
    """What the ingress knows about the load of one target."""

    utilisation: float = 0.0
    reported: Load | None = None
    queued: int = 0
    tier: int = 0
    hint_at: float = float("-inf")
    full_until: float = float("-inf")
    long_full_until: float = float("-inf")
    failed_at: float = float("-inf")
    failed_until: float = float("-inf")
    broken_until: float = float("-inf")
    queue_refused_at: float = float("-inf")
    inflight: int = 0
    inflight_at_hint: int = 0

    def refused_queue(self, now: float) -> bool:
        """Tell whether the target just refused a request that had leave to queue."""
        return now - self.queue_refused_at <= QUEUE_REFUSAL_MEMORY_S


@dataclass(slots=True)
class _Crowding:
    """How full the targets of a service were lately, inside or outside the region."""

    full_share: float = 0.0
    full_at: float = float("-inf")
    utilisation: float = 0.0
    reported: Load | None = None
    queued_mean: float = 0.0

    def learn(self, load: _TargetLoad, full: bool, now: float) -> None:
        """Take one reported load into account."""
        self.full_share += FULL_GAIN * (float(full) - self.full_share)
        self.utilisation += FULL_GAIN * (load.utilisation - self.utilisation)
        self.queued_mean += FULL_GAIN * (load.queued - self.queued_mean)
        self.full_at = now

    def is_saturated(self, now: float) -> bool:
        """Tell whether nearly every target was full lately."""
        return self.full_share > SATURATED_SHARE and now - self.full_at < SATURATION_MEMORY_S


@dataclass(slots=True)
class _ServiceState:
    """Targets of a service by tier, and how full they were lately."""

    targets: tuple[PlacedTarget, ...]
    tiers: tuple[tuple[PlacedTarget, ...], ...]
    near: _Crowding = field(default_factory=_Crowding)
    remote: _Crowding = field(default_factory=_Crowding)
    latency_s: float = 0.0
    near_full_since: float = float("inf")

    def crowding(self, tier: int) -> _Crowding:
        """Return the crowding that a tier belongs to."""
        return self.remote if tier == REMOTE_TIER else self.near


class Placement:
    """Chooses targets from the load and health that the ingress knows.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the ingress.
    region : str
        Region of the ingress.
    health : TargetHealth
        Health of the targets; placement feeds it.
    rng : random.Random
        Source of the random choices.
    region_round_trip_s : float
        Round trip to another region in seconds.
    """

    def __init__(
        self,
        failure_domain: str,
        region: str,
        health: TargetHealth,
        rng: random.Random,
        region_round_trip_s: float = 0.03,
    ) -> None:
        self._failure_domain = failure_domain
        self._region = region
        self._health = health
        self._rng = rng
        self._tier_cost_s = (0.0, 0.0, LINK_PRICE_FACTOR * region_round_trip_s)
        self._load_by_id: dict[str, _TargetLoad] = {}
        self._state_by_service: dict[str, _ServiceState] = {}

    def destination(self, destinations: tuple[Destination, ...]) -> str | None:
        """Return the destination service of a new request, by weight.

        A destination without targets keeps its share, which is refused: the others are not sized
        for it.
        """
        total = sum(item.weight for item in destinations)
        if not total:
            return None
        point = self._rng.uniform(0, total)
        for item in destinations:
            point -= item.weight
            if point < 0:
                return item.service
        return next(item.service for item in reversed(destinations) if item.weight)

    def choose(self, question: ChooseTarget) -> Chosen | NoTarget:
        """Return the target of the next attempt."""
        state = self._state(question)
        if not question.last_attempt and not question.tried:
            target = self._sampled_target(state, question)
            if target is not None:
                return Chosen(target, may_queue=False)
        tiers = self._usable_tiers(state, question)
        if not any(tiers):
            return NoTarget(ErrorKind.NO_TARGET)
        if self._queues_are_full(state, tiers, question):
            return NoTarget(ErrorKind.QUEUE_FULL)
        if not question.last_attempt:
            target = self._free_target(state, tiers, question)
            if target is not None:
                return Chosen(target, may_queue=False)
        return Chosen(self._queue_target(state, tiers, question), may_queue=True)

    def observe(self, event: AttemptStarted | AttemptEnded) -> None:
        """Update load hints and health."""
        if isinstance(event, AttemptStarted):
            self._load(event.target_id).inflight += 1
            self._health.started(event.target_id, event.now)
            return
        self._ended(event)

    def is_working(self, placed: PlacedTarget, now: float) -> bool:
        """Tell whether a target is neither ejected nor failed just now."""
        load = self._load_by_id.get(placed.target.target_id)
        if load is not None and now < load.failed_until:
            return False
        return self._health.weight(placed.target.target_id, now) > 0.0

    def reported_load(self, target_id: str) -> Load | None:
        """Return the load that the target's node reported last, None when it never did."""
        load = self._load_by_id.get(target_id)
        return load.reported if load is not None else None

    def forget(self, service: str) -> None:
        """Drop what is known about a service that has no targets any more."""
        state = self._state_by_service.pop(service, None)
        if state is None:
            return
        self._health.set_targets(service, (), state.near.full_at)
        for placed in state.targets:
            self._load_by_id.pop(placed.target.target_id, None)

    def _state(self, question: ChooseTarget) -> _ServiceState:
        state = self._state_by_service.get(question.service)
        if state is not None and state.targets is question.targets:
            return state
        tiers = self._split(question.targets)
        if state is None:
            state = _ServiceState(question.targets, tiers)
            self._state_by_service[question.service] = state
        kept = {placed.target.target_id for placed in question.targets}
        for placed in state.targets:
            if placed.target.target_id not in kept:
                self._load_by_id.pop(placed.target.target_id, None)
        state.targets, state.tiers = question.targets, tiers
        ready = [placed.target.target_id for tier in tiers for placed in tier]
        self._health.set_targets(question.service, ready, question.now)
        return state

    def _split(self, targets: tuple[PlacedTarget, ...]) -> tuple[tuple[PlacedTarget, ...], ...]:
        tiers: tuple[list[PlacedTarget], ...] = ([], [], [])
        for placed in targets:
            if placed.target.state is TargetState.READY:
                tiers[self._tier(placed)].append(placed)
        return tuple(tuple(tier) for tier in tiers)

    def _tier(self, placed: PlacedTarget) -> int:
        if placed.failure_domain == self._failure_domain:
            return 0
        return 1 if placed.region == self._region else 2

    def _sampled_target(self, state: _ServiceState, question: ChooseTarget) -> PlacedTarget | None:
        """Return the better of two random targets of a large closest tier, without a scan of it.

        A scan of 100 targets took 86 us, a sixth of the time that jaypost may add to a call.
        """
        tier = next((tier for tier in state.tiers[:REMOTE_TIER] if tier), ())
        if len(tier) < SAMPLED_TIER or state.near.is_saturated(question.now):
            return None
        if question.spill is Spill.DOMAIN and tier is not state.tiers[0]:
            return None
        first: PlacedTarget | None = None
        for _ in range(SAMPLES):
            item = tier[int(self._rng.random() * len(tier))]
            if item is first or not item.reachable or not self._is_free(item, question):
                continue
            if not self.is_working(item, question.now):
                continue
            if self._rng.random() >= self._health.weight(item.target.target_id, question.now):
                continue
            if first is None:
                first = item
                continue
            state.near_full_since = float("inf")
            return self._less_loaded(state, first, item, question.now)
        return None

    def _usable_tiers(
        self, state: _ServiceState, question: ChooseTarget
    ) -> tuple[tuple[PlacedTarget, ...], ...]:
        allowed = state.tiers[: TIERS_BY_SPILL[question.spill]]
        reachable = tuple(tuple(item for item in tier if item.reachable) for tier in allowed)
        if not any(reachable):
            return allowed
        working = tuple(
            tuple(item for item in tier if self._is_worth_trying(item, question))
            for tier in reachable
        )
        if any(working):
            return working
        unreachable = tuple(tuple(item for item in tier if not item.reachable) for tier in allowed)
        if any(unreachable) and all(
            item.target.target_id in question.tried for tier in reachable for item in tier
        ):
            return unreachable
        return reachable

    def _is_worth_trying(self, placed: PlacedTarget, question: ChooseTarget) -> bool:
        """Tell whether a target works and did not just fail an earlier attempt of the request."""
        target_id = placed.target.target_id
        load = self._load_by_id.get(target_id)
        if load is not None and target_id in question.tried and question.now < load.broken_until:
            return False
        return self.is_working(placed, question.now)

    def _queues_are_full(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        question: ChooseTarget,
    ) -> bool:
        """Tell whether the queue that refused this request is no longer than the others.

        Another attempt would then only take the place of another request.
        """
        if any(tiers[REMOTE_TIER:]) and not state.remote.is_saturated(question.now):
            return False
        for target_id in question.tried:
            load = self._load_by_id.get(target_id)
            if load is None or not load.refused_queue(question.now):
                continue
            crowding = state.crowding(load.tier)
            longest = FULL_QUEUE_FRACTION * load.queued
            if crowding.is_saturated(question.now) and crowding.queued_mean >= longest:
                return True
        return False

    def _free_target(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        question: ChooseTarget,
    ) -> PlacedTarget | None:
        for number, tier in enumerate(tiers):
            if state.crowding(number).is_saturated(question.now):
                continue
            free = [item for item in tier if self._is_free(item, question)]
            if number == REMOTE_TIER and free and not self._pays(state, tiers, question):
                return None
            if free:
                if number < REMOTE_TIER:
                    state.near_full_since = float("inf")
                return self._better_of_two(state, free, question.now)
        return None

    def _is_free(self, placed: PlacedTarget, question: ChooseTarget) -> bool:
        target_id = placed.target.target_id
        if target_id in question.tried:
            return False
        load = self._load_by_id.get(target_id)
        if load is None:
            return True
        full_until = load.long_full_until if question.long_work else load.full_until
        return question.now >= full_until

    def _pays(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        question: ChooseTarget,
    ) -> bool:
        near = [item for tier in tiers[:REMOTE_TIER] for item in tier]
        if not near:
            return True
        if any(self._refused_queue(item, question) for item in near):
            return True
        now = question.now
        wait_s = min(self._wait(state, item, now) for item in near)
        if wait_s <= self._tier_cost_s[REMOTE_TIER]:
            state.near_full_since = float("inf")
            return False
        state.near_full_since = min(state.near_full_since, now)
        return now - state.near_full_since >= SPILL_DELAY_S

    def _queue_target(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        question: ChooseTarget,
    ) -> PlacedTarget:
        candidates = [item for tier in tiers[:REMOTE_TIER] for item in tier]
        if not candidates or self._pays(state, tiers, question):
            candidates = [item for tier in tiers for item in tier]
        open_queues = [item for item in candidates if not self._refused_queue(item, question)]
        candidates = open_queues or candidates
        costs = [self._cost(state, item, question.now) for item in candidates]
        return candidates[costs.index(min(costs))]

    def _refused_queue(self, placed: PlacedTarget, question: ChooseTarget) -> bool:
        target_id = placed.target.target_id
        if target_id not in question.tried:
            return False
        load = self._load_by_id.get(target_id)
        return load is not None and load.refused_queue(question.now)

    def _cost(self, state: _ServiceState, placed: PlacedTarget, now: float) -> float:
        wait_s = self._wait(state, placed, now)
        doubt_s = UNKNOWN_WAIT * state.latency_s * (1.0 - self._freshness(placed, now))
        tie_s = self._rng.random() * TIE_S
        return wait_s + doubt_s + self._tier_cost_s[self._tier(placed)] + tie_s

    def _wait(self, state: _ServiceState, placed: PlacedTarget, now: float) -> float:
        return max(0.0, self._utilisation(state, placed, now) - 1.0) * (
            state.latency_s or ASSUMED_LATENCY_S
        )

    def _better_of_two(
        self, state: _ServiceState, free: list[PlacedTarget], now: float
    ) -> PlacedTarget:
        if len(free) == 1:
            return free[0]
        weights = [self._health.weight(item.target.target_id, now) for item in free]
        if not any(weights):  # ejected targets are tried when all others have just failed
            weights = [1.0] * len(free)
        first = self._rng.choices(range(len(free)), weights)[0]
        weights[first] = 0.0
        if not any(weights):
            return free[first]
        second = self._rng.choices(range(len(free)), weights)[0]
        return self._less_loaded(state, free[first], free[second], now)

    def _less_loaded(
        self, state: _ServiceState, first: PlacedTarget, second: PlacedTarget, now: float
    ) -> PlacedTarget:
        first_load = self._utilisation(state, first, now)
        return first if first_load <= self._utilisation(state, second, now) else second

    def _utilisation(self, state: _ServiceState, placed: PlacedTarget, now: float) -> float:
        """Return the estimated load of a target as a fraction of its slots.

        A hint loses weight with its age against the mean of the service, because a target that
        was not asked lately is no better than the others.
        """
        load = self._load_by_id.get(placed.target.target_id)
        usual = state.crowding(self._tier(placed)).utilisation
        if load is None:
            return usual
        fresh = self._freshness(placed, now)
        hinted = load.utilisation * fresh + usual * (1.0 - fresh)
        own = max(0, load.inflight - load.inflight_at_hint)
        return hinted + own / (placed.target.slots or 1)

    def _freshness(self, placed: PlacedTarget, now: float) -> float:
        load = self._load_by_id.get(placed.target.target_id)
        if load is None:
            return 0.0
        return math.exp(-max(0.0, now - load.hint_at) / HINT_DECAY_S)

    def _load(self, target_id: str) -> _TargetLoad:
        load = self._load_by_id.get(target_id)
        if load is None:
            load = self._load_by_id[target_id] = _TargetLoad()
        return load

    def _ended(self, event: AttemptEnded) -> None:
        target = event.target.target
        load = self._load(target.target_id)
        load.inflight = max(0, load.inflight - 1)
        load.inflight_at_hint = min(load.inflight_at_hint, load.inflight)
        refused = event.kind in FULL_KINDS
        load.tier = self._tier(event.target)
        if event.load is not None:
            load.reported = event.load
            load.utilisation = (event.load.busy + event.load.queued) / max(1, event.load.slots)
            load.queued = event.load.queued
            load.hint_at, load.inflight_at_hint = event.now, load.inflight
        if event.kind in QUEUE_REFUSALS:
            load.queue_refused_at = event.now
        if refused or event.status == SHED_STATUS:
            load.long_full_until = event.now + FULL_MEMORY_S
            if not event.long_work:
                load.full_until = load.long_full_until
        elif event.kind in BROKEN_KINDS:
            load.broken_until = event.now + FAILED_MEMORY_S
        elif event.kind in FAILED_KINDS:
            load.failed_at, load.failed_until = event.now, event.now + FAILED_MEMORY_S
        elif event.now - event.latency_s >= load.failed_at:
            # A draining target still answers what it took before it refused.
            load.failed_until = event.now
        self._learn(event, load, refused)
        self._health.observe(
            Observation(
                target.target_id,
                target.service,
                event.kind,
                event.status,
                event.latency_s,
                event.now,
                event.long_work,
                event.target.region,
            )
        )

    def _learn(self, event: AttemptEnded, load: _TargetLoad, refused: bool) -> None:
        state = self._state_by_service.get(event.target.target.service)
        if state is None:
            return
        hint = event.load
        if hint is not None and not event.long_work:
            # The slot of an answered request is free again when its load is reported.
            full = refused or hint.busy >= hint.slots
            state.crowding(load.tier).learn(load, full, event.now)
        near = load.tier < REMOTE_TIER or not state.latency_s
        if event.kind is None and not event.long_work and near:
            gain = LATENCY_GAIN if state.latency_s else 1.0
            state.latency_s += gain * (event.latency_s - state.latency_s)
