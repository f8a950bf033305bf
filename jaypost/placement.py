"""Choice of the target of an attempt by weight, locality, reported load and health."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from jaypost.crossings import Crossing, CrossingChoice, leaving_share
from jaypost.errors import ErrorKind
from jaypost.health import SHED_STATUS, Observation, TargetHealth
from jaypost.records import Destination, Load, PlacedTarget, Spill, Target, TargetState

# Targets are grouped in three tiers: 0 for the failure domain of the ingress, 1 for the rest of its
# region, 2 for other regions. A value of `spill` allows this many tiers, from the closest one on.
TIER_COUNT_BY_SPILL: Mapping[Spill, int] = {Spill.DOMAIN: 1, Spill.REGION: 2, Spill.ANY: 3}
REMOTE_TIER = 2
# Targets that said that they leave, of which a node keeps the word.
MAX_LEAVING_TARGETS = 1024
# Leaving the region must save this multiple of the round trip to another region in waiting time. It
# is more than the round trip alone, because the link between regions is billed by volume.
CROSS_REGION_COST_FACTOR = 2.0
# A tier with at least this many targets is sampled instead of scanned.
SAMPLED_TIER_MIN_TARGETS = 16
# Maximum number of random draws before such a tier is scanned after all.
MAX_SAMPLES = 8
# Requests leave the region only after waiting in it has cost more than leaving it for this long.
SPILL_DELAY_S = 0.1
# Time for which a target counts as full after it refused a request for lack of capacity.
FULL_BACKOFF_S = 0.02
# Time for which a target is avoided after a failed attempt.
FAILURE_BACKOFF_S = 1.0
# Time constant of the exponential decay of the weight of a load report.
LOAD_REPORT_DECAY_S = 0.5
# The targets of a service count as saturated when more than this fraction of their latest load
# reports showed no free slot.
SATURATED_FRACTION = 0.7
# Saturation is ignored when the last load report is older than this.
SATURATION_MAX_AGE_S = 1.0
# A refusal by a target at which the request was allowed to queue is ignored when it is older than
# this.
QUEUE_REFUSAL_MAX_AGE_S = 0.05
# A request that a full queue refused gets no further attempt if the mean length of the queues is at
# least this fraction of the length of that queue.
FULL_QUEUE_FRACTION = 0.8
# Wait that is added for a target without a recent load report, as a multiple of the mean latency of
# the service. Queueing at a target that just reported all its slots busy is safer than queueing at
# one that may be a straggler.
UNKNOWN_WAIT_FACTOR = 1.0
# Weights of one sample in the moving averages of load and latency.
LOAD_GAIN = 0.25
LATENCY_GAIN = 0.1
# Mean latency that is assumed for a service before its first response.
ASSUMED_LATENCY_S = 0.02
# Upper bound of the random time that decides between targets of equal cost.
TIE_BREAK_S = 1e-6

# Errors with which a target refuses a request that is allowed to queue.
QUEUE_REFUSAL_KINDS = frozenset({ErrorKind.QUEUE_FULL, ErrorKind.DEADLINE_TOO_SHORT})
# Errors with which a target refuses a request for lack of capacity.
FULL_KINDS = QUEUE_REFUSAL_KINDS | {ErrorKind.SLOTS_FULL}
# Errors after which a request does not go to the same target again while another one works.
FAILED_ATTEMPT_KINDS = frozenset(
    {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_CUT, ErrorKind.INTERNAL}
)
# Errors after which no request goes to the target while another one works.
UNAVAILABLE_KINDS = frozenset(
    {ErrorKind.CONNECT_FAILED, ErrorKind.DRAINING, ErrorKind.WRONG_TARGET}
)


@dataclass(frozen=True, slots=True)
class ChooseTarget:
    """Asks for the target of one attempt.

    Parameters
    ----------
    service : str
        Destination service of the request.
    targets : tuple of PlacedTarget
        Targets of that service in the snapshot of the request.
    spill : Spill
        How far from the failure domain the row lets requests go.
    tried : frozenset of str
        Identifiers of the targets that earlier attempts used.
    must_be_delivered : bool
        Whether the request fails if this attempt does not arrive at a target (see
        `jaypost.retries.undelivered_attempt_limit`). Such an attempt may always queue.
    now : float
        Monotonic time in seconds.
    is_long_work : bool
        Whether the request is long work. Some slots are reserved for short work, so a target may
        be full for long work only.
    crossing_price_s : float
        Time in seconds that the request may wait rather than leave the failure domain; 0 when it
        leaves as soon as no target there is free.
    crossing_bytes : float
        Bytes of the request and of its expected response.
    """

    service: str
    targets: tuple[PlacedTarget, ...]
    spill: Spill
    tried: frozenset[str]
    must_be_delivered: bool
    now: float
    is_long_work: bool = False
    crossing_price_s: float = 0.0
    crossing_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class Chosen:
    """The target of an attempt.

    Parameters
    ----------
    target : PlacedTarget
        The target.
    may_queue : bool
        Whether the attempt may wait in its queue.
    crossing : CrossingChoice or None
        What was decided about leaving the failure domain; None if there was nothing to decide.
    """

    target: PlacedTarget
    may_queue: bool
    crossing: CrossingChoice | None = None


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can be tried; `kind` tells why."""

    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt was sent to a target."""

    target_id: str
    now: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Result of an attempt, as seen by the ingress.

    Parameters
    ----------
    target : PlacedTarget
        Target of the attempt.
    kind : ErrorKind or None
        None when the target responded, whatever the status.
    status : int
        HTTP status of the response; 0 when there was none.
    latency_s : float
        Time in seconds to the first byte of the response.
    load : Load or None
        Load that the target's node reported with the response; None when it reported none.
    now : float
        Monotonic time in seconds.
    is_long_work : bool
        Whether the request was long work, whose latency does not tell whether the target is slow.
    """

    target: PlacedTarget
    kind: ErrorKind | None
    status: int
    latency_s: float
    load: Load | None
    now: float
    is_long_work: bool = False


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target said in a response that it leaves."""

    target: Target
    now: float


@dataclass(slots=True)
class _TargetLoad:
    """Load of one target as the ingress knows it, and until when to avoid the target.

    `utilisation` is busy slots and queued requests as a fraction of the slots, `queued` the queued
    requests, both from the last report. `inflight` counts the ingress's own requests.
    `full_until` applies to short work, `long_full_until` to long work, and `avoid_if_tried_until`
    only to requests that were already sent to the target.
    """

    utilisation: float = 0.0
    reported: Load | None = None
    queued: int = 0
    tier: int = 0
    reported_at: float = float("-inf")
    full_until: float = float("-inf")
    long_full_until: float = float("-inf")
    unavailable_at: float = float("-inf")
    unavailable_until: float = float("-inf")
    avoid_if_tried_until: float = float("-inf")
    queue_refused_at: float = float("-inf")
    inflight: int = 0
    inflight_at_report: int = 0

    def refused_to_queue(self, now: float) -> bool:
        """Tell whether the target recently refused a request that was allowed to queue."""
        return now - self.queue_refused_at <= QUEUE_REFUSAL_MAX_AGE_S


@dataclass(slots=True)
class _AggregateLoad:
    """Moving averages of the load of a service's targets, inside or outside the region."""

    full_fraction: float = 0.0
    updated_at: float = float("-inf")
    utilisation: float = 0.0
    reported: Load | None = None
    mean_queued: float = 0.0

    def add_report(self, load: _TargetLoad, full: bool, now: float) -> None:
        """Update the averages with one load report."""
        self.full_fraction += LOAD_GAIN * (float(full) - self.full_fraction)
        self.utilisation += LOAD_GAIN * (load.utilisation - self.utilisation)
        self.mean_queued += LOAD_GAIN * (load.queued - self.mean_queued)
        self.updated_at = now

    def is_saturated(self, now: float) -> bool:
        """Tell whether more than `SATURATED_FRACTION` of the last reports showed a full target.

        The result is False when the last report is older than `SATURATION_MAX_AGE_S`.
        """
        return (
            self.full_fraction > SATURATED_FRACTION and now - self.updated_at < SATURATION_MAX_AGE_S
        )


@dataclass(slots=True)
class _ServiceState:
    """Targets of a service by tier, their recent load and their mean latency.

    `region_overloaded_since` is the time since which waiting in the own region has cost more than
    leaving it; infinity when it does not.
    """

    targets: tuple[PlacedTarget, ...]
    tiers: tuple[tuple[PlacedTarget, ...], ...]
    own_region: _AggregateLoad = field(default_factory=_AggregateLoad)
    remote: _AggregateLoad = field(default_factory=_AggregateLoad)
    latency_s: float = 0.0
    region_overloaded_since: float = float("inf")

    def aggregate_load(self, tier: int) -> _AggregateLoad:
        """Return the load averages that cover a tier."""
        return self.remote if tier == REMOTE_TIER else self.own_region


class Placement:
    """Chooses targets by the load and health that the ingress knows.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the ingress.
    region : str
        Region of the ingress.
    health : TargetHealth
        Health of the targets, which is updated with every attempt.
    rng : random.Random
        Source of the random choices.
    region_round_trip_s : float
        Round trip to another region in seconds.
    leaving_use_s : float
        Time in seconds for which a target that said that it leaves is used while no other works.
    """

    def __init__(
        self,
        failure_domain: str,
        region: str,
        health: TargetHealth,
        rng: random.Random,
        region_round_trip_s: float = 0.03,
        leaving_use_s: float = 0.0,
    ) -> None:
        self._failure_domain = failure_domain
        self._region = region
        self._health = health
        self._rng = rng
        self._leaving_use_s = leaving_use_s
        # Newest word of each target that said that it leaves, the oldest entry first.
        self._leaving_by_id: dict[str, TargetLeaving] = {}
        self._tier_cost_s = (0.0, 0.0, CROSS_REGION_COST_FACTOR * region_round_trip_s)
        self._load_by_id: dict[str, _TargetLoad] = {}
        self._state_by_service: dict[str, _ServiceState] = {}

    def destination(self, destinations: tuple[Destination, ...]) -> str | None:
        """Return the destination service of a new request, by weight.

        A destination without targets keeps its share of the requests, which are then refused: the
        other destinations are not sized for them. Returns None when all weights are 0.
        """
        total = sum(item.weight for item in destinations)
        if not total:
            return None
        remaining_weight = self._rng.uniform(0, total)
        for item in destinations:
            remaining_weight -= item.weight
            if remaining_weight < 0:
                return item.service
        return next(item.service for item in reversed(destinations) if item.weight)

    def choose(self, query: ChooseTarget) -> Chosen | NoTarget:
        """Return the target of the next attempt."""
        state = self._state(query)
        if not query.must_be_delivered and not query.tried:
            target = self._sampled_target(state, query)
            if target is not None:
                return Chosen(target, may_queue=False)
        tiers = self._usable_tiers(state, query)
        if not any(tiers):
            return NoTarget(ErrorKind.NO_TARGET)
        if self._queues_are_full(state, tiers, query):
            return NoTarget(ErrorKind.QUEUE_FULL)
        crossing: CrossingChoice | None = None
        if not query.must_be_delivered:
            crossing = self._choose_crossing(state, tiers, query)
            if crossing is CrossingChoice.STAYED:
                target = min(tiers[0], key=lambda item: self._slot_wait_s(state, item, query.now))
                return Chosen(target, may_queue=True, crossing=crossing)
            free_target = self._free_target(state, tiers, query)
            if free_target is not None:
                return Chosen(free_target, may_queue=False, crossing=crossing)
        return Chosen(self._queue_target(state, tiers, query), may_queue=True, crossing=crossing)

    def preview(self, query: ChooseTarget) -> Chosen | NoTarget:
        """Return what `choose` would return now, without an effect on later choices."""
        rng_state = self._rng.getstate()
        state = self._state_by_service.get(query.service)
        overloaded_since = state.region_overloaded_since if state is not None else None
        try:
            return self.choose(query)
        finally:
            self._rng.setstate(rng_state)
            if state is not None and overloaded_since is not None:
                state.region_overloaded_since = overloaded_since

    def observe(self, event: AttemptStarted | AttemptEnded | TargetLeaving) -> None:
        """Update the known load and health with the start or end of an attempt, or a departure."""
        if isinstance(event, TargetLeaving):
            self._note_leaving(event)
            return
        if isinstance(event, AttemptStarted):
            self._load(event.target_id).inflight += 1
            self._health.attempt_started(event.target_id, event.now)
            return
        self._attempt_ended(event)

    def is_working(self, placed: PlacedTarget, now: float) -> bool:
        """Tell whether a target is neither ejected nor known to be unavailable or to leave."""
        load = self._load_by_id.get(placed.target.target_id)
        if load is not None and now < load.unavailable_until:
            return False
        if self._leaving_for_s(placed, now) >= 0.0:
            return False
        return self._health.weight(placed.target.target_id, now) > 0.0

    def _note_leaving(self, event: TargetLeaving) -> None:
        target_id = event.target.target_id
        known = self._leaving_by_id.get(target_id)
        if known is not None and known.target.incarnation >= event.target.incarnation:
            return
        self._leaving_by_id[target_id] = event
        if len(self._leaving_by_id) > MAX_LEAVING_TARGETS:
            del self._leaving_by_id[next(iter(self._leaving_by_id))]

    def _leaving_for_s(self, placed: PlacedTarget, now: float) -> float:
        """Return the time in seconds since the target said that it leaves; negative if it did not.

        A later start of a target may have the same identifier.
        """
        leaving = self._leaving_by_id.get(placed.target.target_id)
        if leaving is None or placed.target.incarnation > leaving.target.incarnation:
            return float("-inf")
        return now - leaving.now

    def reported_load(self, target_id: str) -> Load | None:
        """Return the load that the target's node reported last, None when it never did."""
        load = self._load_by_id.get(target_id)
        return load.reported if load is not None else None

    def forget(self, service: str) -> None:
        """Drop the state of a service that no longer has targets."""
        state = self._state_by_service.pop(service, None)
        if state is None:
            return
        self._health.set_targets(service, (), state.own_region.updated_at)
        for placed in state.targets:
            self._load_by_id.pop(placed.target.target_id, None)

    def _state(self, query: ChooseTarget) -> _ServiceState:
        state = self._state_by_service.get(query.service)
        if state is not None and state.targets is query.targets:
            return state
        tiers = self._split_by_tier(query.targets)
        if state is None:
            state = _ServiceState(query.targets, tiers)
            self._state_by_service[query.service] = state
        kept = {(item.target.target_id, item.target.incarnation) for item in query.targets}
        ended_ids = {
            item.target.target_id
            for item in state.targets
            if (item.target.target_id, item.target.incarnation) not in kept
        }
        for target_id in ended_ids:
            self._load_by_id.pop(target_id, None)
        state.targets, state.tiers = query.targets, tiers
        ready = [placed.target.target_id for tier in tiers for placed in tier]
        if not ended_ids.isdisjoint(ready):  # a later start begins with the health of a new target
            self._health.set_targets(query.service, set(ready) - ended_ids, query.now)
        self._health.set_targets(query.service, ready, query.now)
        return state

    def _split_by_tier(
        self, targets: tuple[PlacedTarget, ...]
    ) -> tuple[tuple[PlacedTarget, ...], ...]:
        tiers: tuple[list[PlacedTarget], ...] = ([], [], [])
        for placed in targets:
            if placed.target.state is TargetState.READY:
                tiers[self._tier(placed)].append(placed)
        return tuple(tuple(tier) for tier in tiers)

    def _tier(self, placed: PlacedTarget) -> int:
        if placed.failure_domain == self._failure_domain:
            return 0
        return 1 if placed.region == self._region else 2

    def _sampled_target(self, state: _ServiceState, query: ChooseTarget) -> PlacedTarget | None:
        """Return the less loaded of two random targets of the closest tier, if that is a large one.

        Scanning 100 targets takes 86 us, a sixth of the latency that jaypost may add to a call.
        Returns None when the tiers must be scanned.
        """
        tier = next((tier for tier in state.tiers[:REMOTE_TIER] if tier), ())
        if len(tier) < SAMPLED_TIER_MIN_TARGETS or state.own_region.is_saturated(query.now):
            return None
        if query.spill is Spill.DOMAIN and tier is not state.tiers[0]:
            return None
        first: PlacedTarget | None = None
        for _ in range(MAX_SAMPLES):
            item = tier[int(self._rng.random() * len(tier))]
            if item is first or not item.reachable or not self._is_free(item, query):
                continue
            if not self.is_working(item, query.now):
                continue
            if self._rng.random() >= self._health.weight(item.target.target_id, query.now):
                continue
            if first is None:
                first = item
                continue
            state.region_overloaded_since = float("inf")
            return self._less_loaded(state, first, item, query.now)
        return None

    def _usable_tiers(
        self, state: _ServiceState, query: ChooseTarget
    ) -> tuple[tuple[PlacedTarget, ...], ...]:
        """Return the targets that may be tried, by tier.

        These are the reachable targets that work. If none does, they are all reachable targets,
        or the unreachable ones once every reachable one was tried.
        """
        allowed = state.tiers[: TIER_COUNT_BY_SPILL[query.spill]]
        if self._leaving_by_id:
            allowed = tuple(
                tuple(i for i in tier if self._leaving_for_s(i, query.now) < self._leaving_use_s)
                for tier in allowed
            )
        reachable = tuple(tuple(item for item in tier if item.reachable) for tier in allowed)
        if not any(reachable):
            return allowed
        working = tuple(
            tuple(item for item in tier if self._is_worth_trying(item, query)) for tier in reachable
        )
        if any(working):
            return working
        unreachable = tuple(tuple(item for item in tier if not item.reachable) for tier in allowed)
        if any(unreachable) and all(
            item.target.target_id in query.tried for tier in reachable for item in tier
        ):
            return unreachable
        return reachable

    def _is_worth_trying(self, placed: PlacedTarget, query: ChooseTarget) -> bool:
        """Tell whether a target works and no earlier attempt of the request just failed at it."""
        target_id = placed.target.target_id
        load = self._load_by_id.get(target_id)
        if load is not None and target_id in query.tried and query.now < load.avoid_if_tried_until:
            return False
        return self.is_working(placed, query.now)

    def _queues_are_full(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        query: ChooseTarget,
    ) -> bool:
        """Tell whether the other queues are about as long as the one that refused this request.

        Another attempt would then only displace another request.
        """
        if any(tiers[REMOTE_TIER:]) and not state.remote.is_saturated(query.now):
            return False
        for target_id in query.tried:
            load = self._load_by_id.get(target_id)
            if load is None or not load.refused_to_queue(query.now):
                continue
            aggregate_load = state.aggregate_load(load.tier)
            min_mean_queued = FULL_QUEUE_FRACTION * load.queued
            if (
                aggregate_load.is_saturated(query.now)
                and aggregate_load.mean_queued >= min_mean_queued
            ):
                return True
        return False

    def _free_target(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        query: ChooseTarget,
    ) -> PlacedTarget | None:
        """Return a target with a free slot in the closest tier that has one, else None.

        A saturated tier has none, except for targets that just joined.
        """
        for number, tier in enumerate(tiers):
            saturated = state.aggregate_load(number).is_saturated(query.now)
            free = [
                item
                for item in tier
                if self._is_free(item, query)
                and (not saturated or self._is_due_for_first_request(item, query.now))
            ]
            if (
                number == REMOTE_TIER
                and free
                and not self._should_leave_region(state, tiers, query)
            ):
                return None
            if free:
                if number < REMOTE_TIER and not saturated:
                    state.region_overloaded_since = float("inf")
                return self._better_of_two(state, free, query.now)
        return None

    def _choose_crossing(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        query: ChooseTarget,
    ) -> CrossingChoice | None:
        """Decide whether to leave the own domain; None if a target there is free."""
        if not query.crossing_price_s or query.tried or not all(tiers[:REMOTE_TIER]):
            return None
        if len(tiers) < REMOTE_TIER:
            return None
        own_domain, others = tiers[0], tiers[1]
        if any(self._is_free(item, query) for item in own_domain):
            return None
        wait_here_s = min(self._slot_wait_s(state, item, query.now) for item in own_domain)
        is_free_there = any(self._is_free(item, query) for item in others)
        wait_there_s = 0.0
        if not is_free_there:
            wait_there_s = min(self._slot_wait_s(state, item, query.now) for item in others)
        crossing = Crossing(wait_here_s, wait_there_s, query.crossing_price_s, query.crossing_bytes)
        leaves = self._rng.random() < leaving_share(crossing)
        return CrossingChoice.LEFT if leaves else CrossingChoice.STAYED

    def _slot_wait_s(self, state: _ServiceState, placed: PlacedTarget, now: float) -> float:
        """Return the estimated time in seconds until a slot of a target is free for a request."""
        slots = placed.target.slots or 1
        ahead = self._utilisation(state, placed, now) * slots + 1 - slots
        return max(0.0, ahead) / slots * (state.latency_s or ASSUMED_LATENCY_S)

    def _is_free(self, placed: PlacedTarget, query: ChooseTarget) -> bool:
        target_id = placed.target.target_id
        if target_id in query.tried:
            return False
        load = self._load_by_id.get(target_id)
        if load is None:
            return True
        full_until = load.long_full_until if query.is_long_work else load.full_until
        return query.now >= full_until

    def _should_leave_region(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        query: ChooseTarget,
    ) -> bool:
        """Tell whether waiting in the own region costs more than a request to another region.

        The wait must have been too long for `SPILL_DELAY_S`, unless the region has no usable target
        or a full queue there refused an earlier attempt of the request.
        """
        own_region = [item for tier in tiers[:REMOTE_TIER] for item in tier]
        if not own_region:
            return True
        if any(self._refused_earlier_attempt(item, query) for item in own_region):
            return True
        now = query.now
        wait_s = min(self._wait_s(state, item, now) for item in own_region)
        if wait_s <= self._tier_cost_s[REMOTE_TIER]:
            state.region_overloaded_since = float("inf")
            return False
        state.region_overloaded_since = min(state.region_overloaded_since, now)
        return now - state.region_overloaded_since >= SPILL_DELAY_S

    def _queue_target(
        self,
        state: _ServiceState,
        tiers: tuple[tuple[PlacedTarget, ...], ...],
        query: ChooseTarget,
    ) -> PlacedTarget:
        """Return the target at which queueing costs least."""
        candidates = [item for tier in tiers[:REMOTE_TIER] for item in tier]
        if not candidates or self._should_leave_region(state, tiers, query):
            candidates = [item for tier in tiers for item in tier]
        open_queues = [
            item for item in candidates if not self._refused_earlier_attempt(item, query)
        ]
        candidates = open_queues or candidates
        costs = [self._cost_s(state, item, query.now) for item in candidates]
        return candidates[costs.index(min(costs))]

    def _refused_earlier_attempt(self, placed: PlacedTarget, query: ChooseTarget) -> bool:
        """Tell whether a full queue just refused an earlier attempt of the request."""
        target_id = placed.target.target_id
        if target_id not in query.tried:
            return False
        load = self._load_by_id.get(target_id)
        return load is not None and load.refused_to_queue(query.now)

    def _cost_s(self, state: _ServiceState, placed: PlacedTarget, now: float) -> float:
        """Return the cost of queueing at a target in seconds of waiting time."""
        wait_s = self._slot_wait_s(state, placed, now)
        uncertainty_s = (
            UNKNOWN_WAIT_FACTOR * state.latency_s * (1.0 - self._report_weight(placed, now))
        )
        tie_break_s = self._rng.random() * TIE_BREAK_S
        return wait_s + uncertainty_s + self._tier_cost_s[self._tier(placed)] + tie_break_s

    def _wait_s(self, state: _ServiceState, placed: PlacedTarget, now: float) -> float:
        """Return the estimated wait in seconds for a slot of a target."""
        return max(0.0, self._utilisation(state, placed, now) - 1.0) * (
            state.latency_s or ASSUMED_LATENCY_S
        )

    def _better_of_two(
        self, state: _ServiceState, free: list[PlacedTarget], now: float
    ) -> PlacedTarget:
        """Return the less loaded of two free targets that are drawn by their health weight."""
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
        """Return the less loaded of two targets, or the first one if its load is not known yet.

        The mean that stands for an unknown load may be old or that of busier targets. If it
        decided, a target that just started would get no request, and so never report its load.
        """
        if self._awaits_first_request(first):
            return first
        first_load = self._utilisation(state, first, now)
        return first if first_load <= self._utilisation(state, second, now) else second

    def _awaits_first_request(self, placed: PlacedTarget) -> bool:
        """Tell whether a target has neither reported its load nor has a request of this ingress."""
        load = self._load_by_id.get(placed.target.target_id)
        return load is None or (load.reported is None and not load.inflight)

    def _is_due_for_first_request(self, placed: PlacedTarget, now: float) -> bool:
        """Decide whether a target that joined a saturated service gets the first request now.

        It is probably idle, but the load of the others does not show it. Targets that are unknown
        for another reason are probably as full as the others.
        """
        if not self._awaits_first_request(placed):
            return False
        weight = self._health.weight(placed.target.target_id, now)
        return weight < 1.0 and self._rng.random() < weight

    def _utilisation(self, state: _ServiceState, placed: PlacedTarget, now: float) -> float:
        """Return the estimated load of a target as a fraction of its slots.

        As a load report ages, its weight moves to the mean of the service: a target that got no
        request lately is probably loaded like the others. Own requests that were sent after the
        report are added.
        """
        load = self._load_by_id.get(placed.target.target_id)
        mean_utilisation = state.aggregate_load(self._tier(placed)).utilisation
        if load is None:
            return mean_utilisation
        report_weight = self._report_weight(placed, now)
        blended = load.utilisation * report_weight + mean_utilisation * (1.0 - report_weight)
        inflight_since_report = max(0, load.inflight - load.inflight_at_report)
        return blended + inflight_since_report / (placed.target.slots or 1)

    def _report_weight(self, placed: PlacedTarget, now: float) -> float:
        """Return the weight of the last load report of a target, from 1 to 0 with its age."""
        load = self._load_by_id.get(placed.target.target_id)
        if load is None:
            return 0.0
        return math.exp(-max(0.0, now - load.reported_at) / LOAD_REPORT_DECAY_S)

    def _load(self, target_id: str) -> _TargetLoad:
        load = self._load_by_id.get(target_id)
        if load is None:
            load = self._load_by_id[target_id] = _TargetLoad()
        return load

    def _attempt_ended(self, event: AttemptEnded) -> None:
        target = event.target.target
        load = self._load(target.target_id)
        load.inflight = max(0, load.inflight - 1)
        load.inflight_at_report = min(load.inflight_at_report, load.inflight)
        refused = event.kind in FULL_KINDS
        load.tier = self._tier(event.target)
        if event.load is not None:
            load.reported = event.load
            load.utilisation = (event.load.busy + event.load.queued) / max(1, event.load.slots)
            load.queued = event.load.queued
            load.reported_at, load.inflight_at_report = event.now, load.inflight
        if event.kind in QUEUE_REFUSAL_KINDS:
            load.queue_refused_at = event.now
        if refused or event.status == SHED_STATUS:
            load.long_full_until = event.now + FULL_BACKOFF_S
            if not event.is_long_work:
                load.full_until = load.long_full_until
        elif event.kind in FAILED_ATTEMPT_KINDS:
            load.avoid_if_tried_until = event.now + FAILURE_BACKOFF_S
        elif event.kind in UNAVAILABLE_KINDS:
            load.unavailable_at, load.unavailable_until = event.now, event.now + FAILURE_BACKOFF_S
        elif event.now - event.latency_s >= load.unavailable_at:
            # Only an attempt that started after the failure shows that the target works again: a
            # draining target still responds to the requests that it accepted before.
            load.unavailable_until = event.now
        self._update_service_state(event, load, refused)
        self._health.observe(
            Observation(
                target.target_id,
                target.service,
                event.kind,
                event.status,
                event.latency_s,
                event.now,
                event.is_long_work,
                event.target.region,
            )
        )

    def _update_service_state(self, event: AttemptEnded, load: _TargetLoad, refused: bool) -> None:
        state = self._state_by_service.get(event.target.target.service)
        if state is None:
            return
        report = event.load
        if report is not None and not event.is_long_work:
            # The target counts as full if it refused the request or reported no free slot.
            full = refused or report.busy >= report.slots
            state.aggregate_load(load.tier).add_report(load, full, event.now)
        updates_latency = load.tier < REMOTE_TIER or not state.latency_s
        if event.kind is None and not event.is_long_work and updates_latency:
            gain = LATENCY_GAIN if state.latency_s else 1.0
            state.latency_s += gain * (event.latency_s - state.latency_s)
