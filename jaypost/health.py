"""Passive health checks: ejects, restores and ramps up targets by the results of requests."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

from jaypost.errors import ErrorKind
from jaypost.invariants import check

CONSECUTIVE_FAILURES_TO_EJECT = 3
# A straggler is a target whose mean latency exceeds the median of its siblings by this factor.
# Siblings are the other targets of the same service in the same region.
STRAGGLER_FACTOR = 3.0
STRAGGLER_MIN_SAMPLES = 3
# Weight of a new sample in the moving average of the latency.
LATENCY_GAIN = 0.3
# Latency samples are capped at this multiple of the siblings' median, so that one request of
# unrecognised long work, which may take 40 times the mean latency, does not make its target a
# straggler: one sample raises the mean by at most LATENCY_GAIN * (LATENCY_CAP_FACTOR - 1) times the
# median, which stays below STRAGGLER_FACTOR - 1.
LATENCY_CAP_FACTOR = 6.0
# Duration of the first ejection: EJECTION_BASE_S after failures or silence, and
# STRAGGLER_EJECTION_BASE_S for a straggler. It doubles with each further one until the target
# recovers, up to EJECTION_MAX_S.
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0
STRAGGLER_EJECTION_BASE_S = 0.3
# A target is ejected as silent if it got at least SILENCE_MIN_ATTEMPTS attempts since its last
# response, the first of these is older than both SILENCE_MIN_S and SILENCE_LATENCY_FACTOR times the
# siblings' median latency, and at least one attempt is outstanding.
SILENCE_MIN_S = 1.0
SILENCE_LATENCY_FACTOR = 20.0
SILENCE_MIN_ATTEMPTS = 3
# After an ejection, a target is on trial. Its weight starts low and is multiplied by
# TRIAL_WEIGHT_GROWTH with each success, until it reaches 1.
INITIAL_TRIAL_WEIGHT = 0.1
TRIAL_WEIGHT_GROWTH = 2.0
# Weight at which the ramp-up of a new target starts.
RAMP_START_WEIGHT = 0.1
MIN_SERVER_ERROR_STATUS = 500
# Status of a target that sheds load; it counts neither as a failure nor as a success.
SHED_STATUS = 503

# Errors that count as a failure of the target. Others count neither as a failure nor as a success.
FAILURE_KINDS = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ANSWER_CUT,
        ErrorKind.WRONG_TARGET,
        ErrorKind.INTERNAL,
    }
)


@dataclass(frozen=True, slots=True)
class Observation:
    """Result of one attempt, as far as it concerns the health of its target.

    Parameters
    ----------
    target_id : str
        Target of the attempt.
    service : str
        Service of the target.
    kind : ErrorKind or None
        Kind of failure; None if the target responded, with any status.
    status : int
        HTTP status of the response; 0 if there was none.
    latency_s : float
        Time in seconds to the first byte of the response.
    now : float
        Monotonic time in seconds.
    is_long_work : bool
        Whether the request was long work; its latency is ignored, because it says nothing about
        the target.
    region : str
        Region of the target. Latencies are compared only within a region, because the round trip
        to another region would make every target there a straggler.
    """

    target_id: str
    service: str
    kind: ErrorKind | None
    status: int
    latency_s: float
    now: float
    is_long_work: bool = False
    region: str = ""


class _State(Enum):
    """State of a target; `TRIAL` follows an ejection and allows reduced traffic."""

    HEALTHY = auto()
    EJECTED = auto()
    TRIAL = auto()


@dataclass(slots=True)
class _TargetRecord:
    """Health of one target; times are monotonic, in seconds.

    `ramped_up` tells that the ramp-up ended. `ejections` counts the ejections since the target was
    last healthy, `outstanding` the attempts without a result. `first_unanswered_at` is the start
    of the first of the `attempts_since_response`.
    """

    service: str
    added_at: float
    ramped_up: bool
    state: _State = _State.HEALTHY
    consecutive_failures: int = 0
    mean_latency_s: float = 0.0
    latency_samples: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    trial_weight: float = INITIAL_TRIAL_WEIGHT
    outstanding: int = 0
    attempts_since_response: int = 0
    first_unanswered_at: float = 0.0
    region: str = ""


class TargetHealth:
    """Health of each target, derived from the results of attempts.

    Parameters
    ----------
    ramp_s : float
        Time in seconds until a target that joins a known service gets its full weight.
    """

    def __init__(self, ramp_s: float = 10.0) -> None:
        self._ramp_s = ramp_s
        self._record_by_id: dict[str, _TargetRecord] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._known_services: set[str] = set()

    def set_targets(self, service: str, target_ids: Iterable[str], now: float) -> None:
        """Replace the ready targets of a service.

        Targets ramp up from a low weight if they join a service whose targets were set before. A
        target that another service had, such as the canary group of a roll-out, keeps its health.
        """
        current_ids = set(target_ids)
        previous_ids = self._ids_by_service.setdefault(service, set())
        ramped_up = service not in self._known_services
        self._known_services.add(service)
        for target_id in previous_ids - current_ids:
            del self._record_by_id[target_id]
        for target_id in current_ids - previous_ids:
            known = self._record_by_id.get(target_id)
            if known is None:
                self._record_by_id[target_id] = _TargetRecord(service, now, ramped_up)
            else:
                self._ids_by_service[known.service].discard(target_id)
                known.service = service
        self._ids_by_service[service] = current_ids
        if not current_ids:
            del self._ids_by_service[service]
        self._limit_ejections(service, now)

    def attempt_started(self, target_id: str, now: float) -> None:
        """Record that an attempt was sent to the target."""
        record = self._record_by_id.get(target_id)
        if record is None:
            return
        if record.attempts_since_response == 0:
            record.first_unanswered_at = now
        record.outstanding += 1
        record.attempts_since_response += 1

    def observe(self, observation: Observation) -> None:
        """Update the health of a target with the result of one attempt."""
        record = self._find_or_create(observation)
        if record is None:
            return
        record.outstanding = max(0, record.outstanding - 1)
        if self._is_failure(observation):
            self._record_failure(record, observation)
            return
        record.attempts_since_response = 0
        if observation.kind is not None or observation.status == SHED_STATUS:
            return
        record.consecutive_failures = 0
        self._record_success(record, observation)

    def weight(self, target_id: str, now: float) -> float:
        """Return the weight of a target in the distribution of traffic.

        This also ejects a silent target, and puts a target on trial whose ejection is over.

        Parameters
        ----------
        target_id : str
            Identifier of the target.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            0 for an ejected target, 1 for an unknown target and for a healthy one after its
            ramp-up, a value between for a target that is ramping up or on trial.
        """
        record = self._record_by_id.get(target_id)
        if record is None:
            return 1.0
        self._eject_if_silent(record, target_id, now)
        if record.state is _State.EJECTED:
            if now < record.ejected_until:
                return 0.0
            self._start_trial(record)
        weight = record.trial_weight if record.state is _State.TRIAL else 1.0
        return weight * self._ramp_weight(record, now)

    def ejected_count(self, service: str, now: float) -> int:
        """Return the number of ejected targets of the service."""
        return sum(
            1
            for target_id in self._ids_by_service.get(service, ())
            if self._is_ejected(self._record_by_id[target_id], now)
        )

    @staticmethod
    def _is_ejected(record: _TargetRecord, now: float) -> bool:
        return record.state is _State.EJECTED and now < record.ejected_until

    def _find_or_create(self, observation: Observation) -> _TargetRecord | None:
        """Return the record of a target; None if its service is known but does not list it."""
        record = self._record_by_id.get(observation.target_id)
        if record is not None or observation.service in self._known_services:
            return record
        record = _TargetRecord(observation.service, observation.now, ramped_up=True)
        self._record_by_id[observation.target_id] = record
        self._ids_by_service.setdefault(observation.service, set()).add(observation.target_id)
        return record

    @staticmethod
    def _is_failure(observation: Observation) -> bool:
        if observation.kind is not None:
            return observation.kind in FAILURE_KINDS
        return observation.status >= MIN_SERVER_ERROR_STATUS and observation.status != SHED_STATUS

    def _record_failure(self, record: _TargetRecord, observation: Observation) -> None:
        record.consecutive_failures += 1
        if observation.status:
            record.attempts_since_response = 0
        if (
            record.state is _State.TRIAL
            or record.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
        ):
            self._eject(record, observation.now, EJECTION_BASE_S)

    def _record_success(self, record: _TargetRecord, observation: Observation) -> None:
        if observation.is_long_work:
            return
        record.region = observation.region
        sibling_median_s = self._sibling_median_s(record)
        self._update_mean_latency(record, observation.latency_s, sibling_median_s)
        if sibling_median_s and self._is_straggler(record, observation, sibling_median_s):
            self._eject(record, observation.now, STRAGGLER_EJECTION_BASE_S)
        elif record.state is _State.TRIAL:
            self._raise_trial_weight(record)

    @staticmethod
    def _update_mean_latency(
        record: _TargetRecord, latency_s: float, sibling_median_s: float
    ) -> None:
        if sibling_median_s:
            latency_s = min(latency_s, LATENCY_CAP_FACTOR * sibling_median_s)
        record.latency_samples += 1
        if record.latency_samples == 1:
            record.mean_latency_s = latency_s
            return
        record.mean_latency_s += LATENCY_GAIN * (latency_s - record.mean_latency_s)

    @staticmethod
    def _is_straggler(
        record: _TargetRecord, observation: Observation, sibling_median_s: float
    ) -> bool:
        limit_s = STRAGGLER_FACTOR * sibling_median_s
        if record.state is _State.TRIAL:
            return observation.latency_s > limit_s and record.mean_latency_s > limit_s
        return record.latency_samples >= STRAGGLER_MIN_SAMPLES and record.mean_latency_s > limit_s

    def _sibling_median_s(self, record: _TargetRecord) -> float:
        """Return the median of the siblings' mean latencies; 0 if none of them is known."""
        latencies_s = [
            sibling.mean_latency_s
            for sibling in map(self._record_by_id.__getitem__, self._ids_by_service[record.service])
            if sibling is not record and sibling.latency_samples and sibling.region == record.region
        ]
        return statistics.median(latencies_s) if latencies_s else 0.0

    def _eject_if_silent(self, record: _TargetRecord, target_id: str, now: float) -> None:
        if record.state is _State.EJECTED or record.attempts_since_response < SILENCE_MIN_ATTEMPTS:
            return
        if not record.outstanding:
            return
        limit_s = max(SILENCE_MIN_S, SILENCE_LATENCY_FACTOR * self._sibling_median_s(record))
        if now - record.first_unanswered_at > limit_s:
            record.attempts_since_response = 0
            self._eject(record, now, EJECTION_BASE_S)

    def _eject(self, record: _TargetRecord, now: float, base_s: float) -> None:
        """Eject a target, unless half of the targets of its service are ejected already."""
        if self._is_ejected(record, now):
            return
        ids = self._ids_by_service[record.service]
        if self.ejected_count(record.service, now) >= len(ids) // 2:
            return
        record.state = _State.EJECTED
        record.ejected_until = now + min(EJECTION_MAX_S, base_s * 2**record.ejections)
        # The duration has reached EJECTION_MAX_S before the exponent reaches its limit of 10.
        record.ejections = min(record.ejections + 1, 10)
        check(
            self.ejected_count(record.service, now) <= len(ids) // 2,
            "health_half_ejected",
            service=record.service,
        )

    @staticmethod
    def _start_trial(record: _TargetRecord) -> None:
        record.state = _State.TRIAL
        record.trial_weight = INITIAL_TRIAL_WEIGHT
        record.consecutive_failures = 0
        record.latency_samples = 0

    @staticmethod
    def _raise_trial_weight(record: _TargetRecord) -> None:
        record.trial_weight *= TRIAL_WEIGHT_GROWTH
        if record.trial_weight >= 1.0:
            record.state = _State.HEALTHY
            record.ejections = 0

    def _ramp_weight(self, record: _TargetRecord, now: float) -> float:
        if record.ramped_up:
            return 1.0
        age_s = now - record.added_at
        if age_s >= self._ramp_s:
            record.ramped_up = True
            return 1.0
        return RAMP_START_WEIGHT + (1.0 - RAMP_START_WEIGHT) * max(0.0, age_s) / self._ramp_s

    def _limit_ejections(self, service: str, now: float) -> None:
        """Put ejected targets on trial early, so that at most half of the service stays ejected."""
        ids = self._ids_by_service.get(service, set())
        ejected = [
            record
            for record in map(self._record_by_id.__getitem__, ids)
            if self._is_ejected(record, now)
        ]
        ejected.sort(key=lambda record: record.ejected_until)
        for record in ejected[: max(0, len(ejected) - len(ids) // 2)]:
            self._start_trial(record)
