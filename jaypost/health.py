"""Passive health of targets: ejection, recovery and ramp-up from what requests show."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

from jaypost.errors import ErrorKind
from jaypost.invariants import check

FAILURES_TO_EJECT = 3
STRAGGLER_FACTOR = 3.0
STRAGGLER_SAMPLES = 3
LATENCY_GAIN = 0.3
# One request of long work (40 times the mean) must not look like a straggler: it moves the mean
# by at most LATENCY_GAIN * (LATENCY_CAP_FACTOR - 1), which stays below STRAGGLER_FACTOR - 1.
LATENCY_CAP_FACTOR = 6.0
EJECTION_S = 1.0
EJECTION_MAX_S = 30.0
STRAGGLER_EJECTION_S = 0.3
SILENCE_S = 1.0
SILENCE_FACTOR = 20.0
SILENCE_ATTEMPTS = 3
FIRST_TRIAL_WEIGHT = 0.1
TRIAL_GROWTH = 2.0
COLD_WEIGHT = 0.1
SERVER_ERROR_STATUS = 500
SHED_STATUS = 503

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
    """One result of an attempt, reduced to what health needs.

    Parameters
    ----------
    target_id : str
        Target of the attempt.
    service : str
        Service of the target.
    kind : ErrorKind or None
        None when the target answered, whatever the status.
    status : int
        HTTP status of the answer; 0 when there was none.
    latency_s : float
        Time to the first byte of the answer.
    now : float
        Monotonic time in seconds.
    long_work : bool
        Whether the request was long work, whose latency says nothing about the target.
    region : str
        Region of the target; latencies are compared within a region, because a round trip to
        another one would make every target there a straggler.
    """

    target_id: str
    service: str
    kind: ErrorKind | None
    status: int
    latency_s: float
    now: float
    long_work: bool = False
    region: str = ""


class _State(Enum):
    HEALTHY = auto()
    EJECTED = auto()
    TRIAL = auto()


@dataclass(slots=True)
class _TargetRecord:
    """What is known about one target."""

    service: str
    since: float
    warm: bool
    state: _State = _State.HEALTHY
    failures: int = 0
    latency_s: float = 0.0
    samples: int = 0
    ejected_until: float = 0.0
    ejections: int = 0
    trial_weight: float = FIRST_TRIAL_WEIGHT
    outstanding: int = 0
    started_since_answer: int = 0
    silent_since: float = 0.0
    region: str = ""


class TargetHealth:
    """Health of each target, learnt from the results of attempts.

    Parameters
    ----------
    ramp_s : float
        Time in seconds in which a cold target gets its full share.
    """

    def __init__(self, ramp_s: float = 10.0) -> None:
        self._ramp_s = ramp_s
        self._record_by_id: dict[str, _TargetRecord] = {}
        self._ids_by_service: dict[str, set[str]] = {}
        self._listed_services: set[str] = set()

    def set_targets(self, service: str, target_ids: Iterable[str], now: float) -> None:
        """Replace the ready targets of a service; those that join a known service start cold."""
        wanted = set(target_ids)
        known = self._ids_by_service.setdefault(service, set())
        warm = service not in self._listed_services
        self._listed_services.add(service)
        for target_id in known - wanted:
            del self._record_by_id[target_id]
        for target_id in wanted - known:
            self._record_by_id[target_id] = _TargetRecord(service, now, warm)
        self._ids_by_service[service] = wanted
        if not wanted:
            del self._ids_by_service[service]
        self._release_excess(service, now)

    def started(self, target_id: str, now: float) -> None:
        """Take into account that an attempt was sent to the target."""
        record = self._record_by_id.get(target_id)
        if record is None:
            return
        if record.started_since_answer == 0:
            record.silent_since = now
        record.outstanding += 1
        record.started_since_answer += 1

    def observe(self, observation: Observation) -> None:
        """Take the result of one attempt into account."""
        record = self._find(observation)
        if record is None:
            return
        record.outstanding = max(0, record.outstanding - 1)
        if self._is_failure(observation):
            self._failed(record, observation)
            return
        record.started_since_answer = 0
        if observation.kind is not None or observation.status == SHED_STATUS:
            return
        record.failures = 0
        self._answered(record, observation)

    def weight(self, target_id: str, now: float) -> float:
        """Return the share of traffic for a target: 0 when ejected, 1 when healthy and warm."""
        record = self._record_by_id.get(target_id)
        if record is None:
            return 1.0
        self._check_silence(record, target_id, now)
        if record.state is _State.EJECTED:
            if now < record.ejected_until:
                return 0.0
            self._start_trial(record)
        weight = record.trial_weight if record.state is _State.TRIAL else 1.0
        return weight * self._ramp(record, now)

    def ejected(self, service: str, now: float) -> int:
        """Return how many targets of the service are ejected."""
        return sum(
            1
            for target_id in self._ids_by_service.get(service, ())
            if self._is_ejected(self._record_by_id[target_id], now)
        )

    @staticmethod
    def _is_ejected(record: _TargetRecord, now: float) -> bool:
        return record.state is _State.EJECTED and now < record.ejected_until

    def _find(self, observation: Observation) -> _TargetRecord | None:
        record = self._record_by_id.get(observation.target_id)
        if record is not None or observation.service in self._listed_services:
            return record
        record = _TargetRecord(observation.service, observation.now, warm=True)
        self._record_by_id[observation.target_id] = record
        self._ids_by_service.setdefault(observation.service, set()).add(observation.target_id)
        return record

    @staticmethod
    def _is_failure(observation: Observation) -> bool:
        if observation.kind is not None:
            return observation.kind in FAILURE_KINDS
        return observation.status >= SERVER_ERROR_STATUS and observation.status != SHED_STATUS

    def _failed(self, record: _TargetRecord, observation: Observation) -> None:
        record.failures += 1
        if observation.status:
            record.started_since_answer = 0
        if record.state is _State.TRIAL or record.failures >= FAILURES_TO_EJECT:
            self._eject(record, observation.now, EJECTION_S)

    def _answered(self, record: _TargetRecord, observation: Observation) -> None:
        if observation.long_work:
            return
        record.region = observation.region
        siblings_s = self._sibling_median(record)
        self._learn_latency(record, observation.latency_s, siblings_s)
        if siblings_s and self._is_straggler(record, observation, siblings_s):
            self._eject(record, observation.now, STRAGGLER_EJECTION_S)
        elif record.state is _State.TRIAL:
            self._grow_trial(record)

    @staticmethod
    def _learn_latency(record: _TargetRecord, latency_s: float, siblings_s: float) -> None:
        if siblings_s:
            latency_s = min(latency_s, LATENCY_CAP_FACTOR * siblings_s)
        record.samples += 1
        if record.samples == 1:
            record.latency_s = latency_s
            return
        record.latency_s += LATENCY_GAIN * (latency_s - record.latency_s)

    @staticmethod
    def _is_straggler(record: _TargetRecord, observation: Observation, siblings_s: float) -> bool:
        limit_s = STRAGGLER_FACTOR * siblings_s
        if record.state is _State.TRIAL:
            return observation.latency_s > limit_s and record.latency_s > limit_s
        return record.samples >= STRAGGLER_SAMPLES and record.latency_s > limit_s

    def _sibling_median(self, record: _TargetRecord) -> float:
        latencies_s = [
            sibling.latency_s
            for sibling in map(self._record_by_id.__getitem__, self._ids_by_service[record.service])
            if sibling is not record and sibling.samples and sibling.region == record.region
        ]
        return statistics.median(latencies_s) if latencies_s else 0.0

    def _check_silence(self, record: _TargetRecord, target_id: str, now: float) -> None:
        if record.state is _State.EJECTED or record.started_since_answer < SILENCE_ATTEMPTS:
            return
        if not record.outstanding:
            return
        limit_s = max(SILENCE_S, SILENCE_FACTOR * self._sibling_median(record))
        if now - record.silent_since > limit_s:
            record.started_since_answer = 0
            self._eject(record, now, EJECTION_S)

    def _eject(self, record: _TargetRecord, now: float, base_s: float) -> None:
        if self._is_ejected(record, now):
            return
        ids = self._ids_by_service[record.service]
        if self.ejected(record.service, now) >= len(ids) // 2:
            return
        record.state = _State.EJECTED
        record.ejected_until = now + min(EJECTION_MAX_S, base_s * 2**record.ejections)
        record.ejections = min(record.ejections + 1, 10)
        check(
            self.ejected(record.service, now) <= len(ids) // 2,
            "health_half_ejected",
            service=record.service,
        )

    @staticmethod
    def _start_trial(record: _TargetRecord) -> None:
        record.state = _State.TRIAL
        record.trial_weight = FIRST_TRIAL_WEIGHT
        record.failures = 0
        record.samples = 0

    @staticmethod
    def _grow_trial(record: _TargetRecord) -> None:
        record.trial_weight *= TRIAL_GROWTH
        if record.trial_weight >= 1.0:
            record.state = _State.HEALTHY
            record.ejections = 0

    def _ramp(self, record: _TargetRecord, now: float) -> float:
        if record.warm:
            return 1.0
        age_s = now - record.since
        if age_s >= self._ramp_s:
            record.warm = True
            return 1.0
        return COLD_WEIGHT + (1.0 - COLD_WEIGHT) * max(0.0, age_s) / self._ramp_s

    def _release_excess(self, service: str, now: float) -> None:
        ids = self._ids_by_service.get(service, set())
        ejected = [
            record
            for record in map(self._record_by_id.__getitem__, ids)
            if self._is_ejected(record, now)
        ]
        ejected.sort(key=lambda record: record.ejected_until)
        for record in ejected[: max(0, len(ejected) - len(ids) // 2)]:
            self._start_trial(record)
