"""Prometheus metrics of the node, based on aioprometheus, with bounded label cardinality."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Protocol

from aioprometheus import Counter as CounterMetric
from aioprometheus import Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter

from jaypost import invariants
from jaypost.admission import CallClass
from jaypost.errors import ErrorKind, RunState
from jaypost.records import Load

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Label value shared by all values beyond the limit of a label.
OTHER_LABEL = "other"
# Label value for an empty string.
EMPTY_LABEL = "none"
# Value of the label `kind` for calls without an error.
OK_LABEL = "ok"
MAX_LABEL_CHARACTERS = 64
UNSAFE_LABEL_CHARACTER = re.compile(r"[^A-Za-z0-9_.:/-]")

DURATION_BUCKETS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)
CONVERGENCE_LAG_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0, 300.0)


class StoreOutcome(StrEnum):
    """Outcome of a store call, as a label value."""

    DONE = "done"
    CONFLICT = "conflict"
    FAILED = "failed"
    UNKNOWN = "unknown"


class EndedCall(Protocol):
    """Properties of an ended call that the metrics use, for both ingress and egress calls."""

    @property
    def service(self) -> str:
        """Service that the caller requested (ingress) or that the target belongs to (egress)."""

    @property
    def tenant(self) -> str:
        """Tenant of the request."""

    @property
    def call_class(self) -> CallClass:
        """Class of the request."""

    @property
    def kind(self) -> ErrorKind | None:
        """Error that ended the call; None if a complete response was delivered."""

    @property
    def run_state(self) -> RunState:
        """Whether the target executed the request, as far as known."""

    @property
    def attempts(self) -> int:
        """Number of dispatched attempts."""

    @property
    def queue_s(self) -> float:
        """Time from the arrival of the request head to the last dispatch, in seconds."""

    @property
    def service_s(self) -> float:
        """Time from the last dispatch to the end, in seconds."""

    @property
    def total_s(self) -> float:
        """Time from the arrival of the request head to the end, in seconds."""


class LabelValues:
    """Maps the values of one label to at most `limit` distinct values, and the rest to `other`.

    The first values seen keep their own series until the process ends. Characters that would
    break the Prometheus text format are replaced.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._label_by_value: dict[str, str] = {}
        self._labels: set[str] = set()

    def label_for(self, value: str) -> str:
        """Return the label value that represents `value`."""
        known = self._label_by_value.get(value)
        if known is not None:
            return known
        label = UNSAFE_LABEL_CHARACTER.sub("_", value[:MAX_LABEL_CHARACTERS]) or EMPTY_LABEL
        if label in self._labels or len(self._labels) < self._limit:
            self._labels.add(label)
            if len(self._label_by_value) < self._limit:
                self._label_by_value[value] = label
            return label
        return OTHER_LABEL


class Metrics:
    """All metrics of the node. Each method records one kind of observation.

    Parameters
    ----------
    label_limit : int
        Number of values of a label that get a series of their own; further values share `other`.
    """

    def __init__(self, label_limit: int) -> None:
        self._registry = Registry()
        self._values_by_label: dict[str, LabelValues] = {}
        self._label_limit = label_limit
        self._update_callbacks: list[Callable[[Metrics], None]] = []
        self._bytes_by_key: dict[tuple[str, str, str], int] = {}
        self._calls = self._counter("calls_total", "Calls answered as ingress, by error kind")
        self._call_time = self._histogram(
            "call_seconds", "Time from the caller's request to the end of the answer"
        )
        self._queue_time = self._histogram("queue_seconds", "Time that a request waited for a slot")
        self._service_time = self._histogram("service_seconds", "Time that a request held its slot")
        self._executions = self._counter(
            "executions_total", "Calls to the targets of the host, by error kind"
        )
        self._retries = self._counter(
            "retries_total", "Attempts after the first, including hedged ones"
        )
        self._hedges = self._counter("hedges_total", "Hedged attempts")
        self._requests_cut = self._counter(
            "requests_cut_total", "Requests on connections that were closed without their answers"
        )
        self._intake_deferred = self._counter(
            "intake_deferred_total", "Times that received input had to wait, by reason"
        )
        self._bad_responses = self._counter(
            "bad_responses_total", "Responses that violated the protocol, by sender and kind"
        )
        self._crossings = self._counter(
            "crossings_total", "Requests without a free target in their failure domain"
        )
        self._buffered_bytes = self._gauge(
            "buffered_response_bytes", "Bytes of responses in buffers, by what they wait for"
        )
        self._queued_requests = self._gauge("queued_requests", "Requests that wait for a slot")
        self._busy_slots = self._gauge("busy_slots", "Slots in use")
        self._slots = self._gauge("slots", "Slots of the targets of the host")
        self._target_rate = self._gauge(
            "target_rate", "Requests per second that the targets of the host take, if they name it"
        )
        self._target_rate_starts = self._gauge(
            "target_rate_starts", "Requests started at targets of the host that name a rate"
        )
        self._ejected_targets = self._gauge("ejected_targets", "Targets that this node has ejected")
        self._convergence_lag = self._histogram(
            "convergence_lag_seconds",
            "Time from the operator's change to its use on this node, by wall clocks",
            CONVERGENCE_LAG_BUCKETS_S,
        )
        self._version_in_force = self._gauge("version_in_force", "Table version in force")
        self._version_held = self._gauge("version_held", "Newest table version held")
        self._version_lag = self._gauge(
            "version_lag_seconds", "Time since a newer version than the one in force is known"
        )
        self._versions_refused = self._counter("versions_refused_total", "Table versions refused")
        self._versions_stale = self._counter(
            "versions_stale_total", "Offers not newer than in force"
        )
        self._allotment_rate = self._gauge(
            "allotment_rate", "Requests per second that this host may admit, by workspace"
        )
        self._body_backlog = self._gauge(
            "body_backlog_seconds",
            "Time that the link takes for the bodies on their way or waiting at their senders",
        )
        self._rollout_share = self._gauge(
            "rollout_share", "Fraction of the requests that go to the new version of a service"
        )
        self._control_bytes = self._counter(
            "control_bytes_total", "Control bytes, by kind and link"
        )
        self._store_calls = self._counter("store_calls_total", "Calls of the store")
        self._store_time = self._histogram("store_call_seconds", "Time of a call of the store")
        self._known_nodes = self._gauge("known_nodes", "Nodes in the view, by state")
        self._ready = self._gauge("ready", "Whether the node is ready, 0 or 1")
        self._violations = self._counter(
            "invariant_violations_total", "Violations of rules that must always hold"
        )

    def call_ended(self, call: EndedCall) -> None:
        """Count a call that this node answered as ingress, its retries and its total time."""
        self._calls.inc(self._labels(service=call.service, kind=_kind_label(call.kind)))
        labels = self._labels(tenant=call.tenant, call_class=call.call_class)
        self._call_time.observe(labels, call.total_s)
        if call.attempts > 1:
            self._retries.add(self._labels(service=call.service), call.attempts - 1)

    def execution_ended(self, call: EndedCall) -> None:
        """Count a call to a target of this host; record its times if it was dispatched."""
        self._executions.inc(self._labels(service=call.service, kind=_kind_label(call.kind)))
        if call.run_state is RunState.NOT_RUN:
            return
        labels = self._labels(tenant=call.tenant, call_class=call.call_class)
        self._queue_time.observe(labels, call.queue_s)
        self._service_time.observe(labels, call.service_s)

    def hedge_started(self, service: str) -> None:
        """Count a hedged attempt."""
        self._hedges.inc(self._labels(service=service))

    def requests_cut(self, count_by_reason: Mapping[str, int]) -> None:
        """Set the requests that were on connections which the node closed, since its start."""
        for reason, count in count_by_reason.items():
            self._requests_cut.set(self._labels(reason=reason), count)

    def intake_deferred(self, count_by_reason: Mapping[str, int]) -> None:
        """Set how often received input had to wait before it was decoded, since the start."""
        for reason, count in count_by_reason.items():
            self._intake_deferred.set(self._labels(reason=reason), count)

    def bad_responses(self, sender: str, count_by_kind: Mapping[ErrorKind, int]) -> None:
        """Set the responses of targets or peers that violated the protocol, since the start."""
        for kind, count in count_by_kind.items():
            self._bad_responses.set(self._labels(sender=sender, kind=kind.value), count)

    def crossings_changed(self, count_by_choice: Mapping[str, int]) -> None:
        """Set the requests that stayed in their failure domain or left it, since the start."""
        for choice, count in count_by_choice.items():
            self._crossings.set(self._labels(choice=choice), count)

    def buffers_changed(self, bytes_by_place: Mapping[str, int]) -> None:
        """Set the bytes of responses that the node holds, by what they wait for."""
        self._set_all(self._buffered_bytes, "place", bytes_by_place)

    def loads_changed(self, loads: Iterable[tuple[str, Load]]) -> None:
        """Set slots, busy slots and queued requests from the service and load of local targets."""
        busy: Counter[str] = Counter()
        slots: Counter[str] = Counter()
        queued: Counter[str] = Counter()
        for service, load in loads:
            busy[service] += load.busy
            slots[service] += load.slots
            queued[service] += load.queued
        self._set_all(self._busy_slots, "service", busy)
        self._set_all(self._slots, "service", slots)
        self._set_all(self._queued_requests, "service", queued)

    def rates_changed(
        self, rate_by_service: Mapping[str, float], starts_by_service: Mapping[str, float]
    ) -> None:
        """Set the rates that local targets name, and the requests that were started at them."""
        self._set_all(self._target_rate, "service", rate_by_service)
        self._set_all(self._target_rate_starts, "service", starts_by_service)

    def ejections_changed(self, ejected_by_service: Mapping[str, int]) -> None:
        """Set the number of targets of each service that this node has ejected."""
        self._set_all(self._ejected_targets, "service", ejected_by_service)

    def allotments_changed(self, rate_by_workspace: Mapping[str, float]) -> None:
        """Set the share that this host has of the limit of each workspace."""
        self._set_all(self._allotment_rate, "workspace", rate_by_workspace)

    def body_backlog_changed(self, backlog_s: float) -> None:
        """Set the time in seconds that the link takes for all bodies known now."""
        self._body_backlog.set({}, backlog_s)

    def rollouts_changed(self, share_by_service: Mapping[str, float]) -> None:
        """Set the share that the new version of each service gets, as this node knows it."""
        self._set_all(self._rollout_share, "service", share_by_service)

    def version_applied(self, version: int, lag_s: float | None) -> None:
        """Set the version in force and record its convergence lag.

        Parameters
        ----------
        version : int
            Table version that came into force.
        lag_s : float or None
            Seconds since the operator's change; None if the time of the change is unknown.
        """
        self._version_in_force.set({}, version)
        if lag_s is not None:
            self._convergence_lag.observe({}, max(0.0, lag_s))

    def version_held(self, version: int) -> None:
        """Set the newest version that the node holds."""
        self._version_held.set({}, version)

    def version_lag(self, lag_s: float) -> None:
        """Set the seconds since a newer version than the one in force is known."""
        self._version_lag.set({}, lag_s)

    def version_refused(self) -> None:
        """Count an offer of a version that this node refused."""
        self._versions_refused.inc({})

    def version_stale(self) -> None:
        """Count an offer of a version that is not newer than the one held."""
        self._versions_stale.inc({})

    def control_bytes(self, kind: str, link: str, direction: str, total: int) -> None:
        """Add the increase of a byte count; `total` counts bytes since the start of the process."""
        key = (kind, link, direction)
        added = total - self._bytes_by_key.get(key, 0)
        if added > 0:
            self._bytes_by_key[key] = total
            self._control_bytes.add(self._labels(kind=kind, link=link, direction=direction), added)

    def store_call_ended(self, operation: str, outcome: StoreOutcome, duration_s: float) -> None:
        """Count a store call and record its duration in seconds."""
        self._store_calls.inc(self._labels(operation=operation, outcome=outcome))
        self._store_time.observe(self._labels(operation=operation), duration_s)

    def nodes_changed(self, count_by_state: Mapping[str, int]) -> None:
        """Set the number of known nodes in each state."""
        self._set_all(self._known_nodes, "state", count_by_state)

    def readiness_changed(self, ready: bool) -> None:
        """Set whether the node is ready."""
        self._ready.set({}, int(ready))

    def add_update_callback(self, callback: Callable[[Metrics], None]) -> None:
        """Register `callback` to update metrics before each rendering."""
        self._update_callbacks.append(callback)

    async def render(self) -> bytes:
        """Return all metrics in the text format. Other tasks can run between two metrics."""
        for callback in self._update_callbacks:
            callback(self)
        for rule, count in invariants.violations_by_rule.items():
            self._violations.set(self._labels(rule=rule), count)
        formatter = TextFormatter()
        blocks = []
        for collector in self._registry.get_all():
            blocks.append(formatter.marshall_collector(collector))
            await asyncio.sleep(0)
        return ("\n".join(blocks) + "\n").encode()

    def _set_all(self, gauge: Gauge, label: str, count_by_value: Mapping[str, float]) -> None:
        """Set a gauge for each value of a label; known values that are not given become 0."""
        total_by_label: dict[str, float] = {labels[label]: 0 for labels, _ in gauge.get_all()}
        for value, count in count_by_value.items():
            bounded_value = self._bounded_label(label, value)
            total_by_label[bounded_value] = total_by_label.get(bounded_value, 0) + count
        for bounded_value, total in total_by_label.items():
            gauge.set({label: bounded_value}, total)

    def _labels(self, **value_by_label: str) -> dict[str, str]:
        return {label: self._bounded_label(label, value) for label, value in value_by_label.items()}

    def _bounded_label(self, label: str, value: str) -> str:
        values = self._values_by_label.get(label)
        if values is None:
            values = self._values_by_label[label] = LabelValues(self._label_limit)
        return values.label_for(value)

    def _counter(self, name: str, help_text: str) -> CounterMetric:
        return CounterMetric(f"jaypost_{name}", help_text, registry=self._registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(f"jaypost_{name}", help_text, registry=self._registry)

    def _histogram(
        self, name: str, help_text: str, buckets: tuple[float, ...] = DURATION_BUCKETS_S
    ) -> Histogram:
        return Histogram(f"jaypost_{name}", help_text, registry=self._registry, buckets=buckets)


def _kind_label(kind: ErrorKind | None) -> str:
    return OK_LABEL if kind is None else kind.value
