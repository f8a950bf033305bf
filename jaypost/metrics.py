"""Metrics of the node, by aioprometheus, with a bounded number of values for each label."""

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
OTHER = "other"
EMPTY = "none"
OK = "ok"
MAX_LABEL_CHARACTERS = 64
UNSAFE_IN_LABEL = re.compile(r"[^A-Za-z0-9_.:/-]")

TIME_BUCKETS_S = (
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
LAG_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0, 300.0)


class StoreOutcome(StrEnum):
    """Result of a call of the store."""

    DONE = "done"
    CONFLICT = "conflict"
    FAILED = "failed"
    UNKNOWN = "unknown"


class EndedCall(Protocol):
    """What the metrics need of a call that ended, at the ingress or at the egress."""

    @property
    def service(self) -> str:
        """Service that the caller named (ingress) or that the target belongs to (egress)."""

    @property
    def tenant(self) -> str:
        """Tenant of the request."""

    @property
    def call_class(self) -> CallClass:
        """Class of the request."""

    @property
    def kind(self) -> ErrorKind | None:
        """Error that ended the call; None when a whole response was delivered."""

    @property
    def run_state(self) -> RunState:
        """What is known about the execution."""

    @property
    def attempts(self) -> int:
        """Attempts dispatched."""

    @property
    def queue_s(self) -> float:
        """Time before the last dispatch, in seconds."""

    @property
    def service_s(self) -> float:
        """Time from the last dispatch to the end, in seconds."""

    @property
    def total_s(self) -> float:
        """Time from the head of the request to the end, in seconds."""


class LabelValues:
    """Maps the values of one label onto at most `limit` values and `other`.

    The first values seen keep their own series until the process ends. Characters that would
    break a line of the text format are replaced.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._label_by_value: dict[str, str] = {}
        self._labels: set[str] = set()

    def of(self, value: str) -> str:
        """Return the label value to use for `value`."""
        known = self._label_by_value.get(value)
        if known is not None:
            return known
        label = UNSAFE_IN_LABEL.sub("_", value[:MAX_LABEL_CHARACTERS]) or EMPTY
        if label in self._labels or len(self._labels) < self._limit:
            self._labels.add(label)
            if len(self._label_by_value) < self._limit:
                self._label_by_value[value] = label
            return label
        return OTHER


class Metrics:
    """Registry of all metrics; each method records one kind of observation.

    Parameters
    ----------
    label_limit : int
        Values of a label that get a series of their own; further values share `other`.
    """

    def __init__(self, label_limit: int) -> None:
        self._registry = Registry()
        self._values_by_label: dict[str, LabelValues] = {}
        self._label_limit = label_limit
        self._sources: list[Callable[[Metrics], None]] = []
        self._bytes_by_key: dict[tuple[str, str, str], int] = {}
        self._calls = self._counter("calls_total", "Calls answered as ingress, by error kind")
        self._total = self._histogram(
            "call_seconds", "Time from the caller's request to the end of the answer"
        )
        self._queue = self._histogram("queue_seconds", "Time that a request waited for a slot")
        self._service = self._histogram("service_seconds", "Time that a request held its slot")
        self._executions = self._counter(
            "executions_total", "Calls to the targets of the host, by error kind"
        )
        self._retries = self._counter(
            "retries_total", "Attempts after the first, including hedged ones"
        )
        self._hedges = self._counter("hedges_total", "Hedged attempts")
        self._queued = self._gauge("queued_requests", "Requests that wait for a slot")
        self._busy = self._gauge("busy_slots", "Slots in use")
        self._slots = self._gauge("slots", "Slots of the targets of the host")
        self._ejected = self._gauge("ejected_targets", "Targets that this node has ejected")
        self._lag = self._histogram(
            "convergence_lag_seconds",
            "Time from the operator's change to its use on this node, by wall clocks",
            LAG_BUCKETS_S,
        )
        self._in_force = self._gauge("version_in_force", "Table version in force")
        self._held = self._gauge("version_held", "Newest table version held")
        self._refused = self._counter("versions_refused_total", "Table versions refused")
        self._stale = self._counter("versions_stale_total", "Offers not newer than in force")
        self._bytes = self._counter("control_bytes_total", "Control bytes, by kind and link")
        self._store_calls = self._counter("store_calls_total", "Calls of the store")
        self._store_time = self._histogram("store_call_seconds", "Time of a call of the store")
        self._nodes = self._gauge("known_nodes", "Nodes in the view, by state")
        self._ready = self._gauge("ready", "Whether the node is ready, 0 or 1")
        self._violations = self._counter(
            "invariant_violations_total", "Violations of rules that must always hold"
        )

    def call_ended(self, call: EndedCall) -> None:
        """Count a call that this node answered to its caller, its total time and its retries."""
        self._calls.inc(self._labels(service=call.service, kind=_kind_label(call.kind)))
        labels = self._labels(tenant=call.tenant, call_class=call.call_class)
        self._total.observe(labels, call.total_s)
        if call.attempts > 1:
            self._retries.add(self._labels(service=call.service), call.attempts - 1)

    def execution_ended(self, call: EndedCall) -> None:
        """Count a call to a target of this host, and the times of those that were dispatched."""
        self._executions.inc(self._labels(service=call.service, kind=_kind_label(call.kind)))
        if call.run_state is RunState.NOT_RUN:
            return
        labels = self._labels(tenant=call.tenant, call_class=call.call_class)
        self._queue.observe(labels, call.queue_s)
        self._service.observe(labels, call.service_s)

    def hedge_started(self, service: str) -> None:
        """Count a hedged attempt."""
        self._hedges.inc(self._labels(service=service))

    def loads_changed(self, loads: Iterable[tuple[str, Load]]) -> None:
        """Set the load of the host from the service and load of each local target."""
        busy: Counter[str] = Counter()
        slots: Counter[str] = Counter()
        queued: Counter[str] = Counter()
        for service, load in loads:
            busy[service] += load.busy
            slots[service] += load.slots
            queued[service] += load.queued
        self._set_all(self._busy, "service", busy)
        self._set_all(self._slots, "service", slots)
        self._set_all(self._queued, "service", queued)

    def ejections_changed(self, ejected_by_service: Mapping[str, int]) -> None:
        """Set the number of targets of each service that this node does not use."""
        self._set_all(self._ejected, "service", ejected_by_service)

    def version_applied(self, version: int, lag_s: float | None) -> None:
        """Set the version in force; `lag_s` is None when the time of the change is unknown."""
        self._in_force.set({}, version)
        if lag_s is not None:
            self._lag.observe({}, max(0.0, lag_s))

    def version_held(self, version: int) -> None:
        """Set the newest version held."""
        self._held.set({}, version)

    def version_refused(self) -> None:
        """Count a version that failed validation on this node."""
        self._refused.inc({})

    def version_stale(self) -> None:
        """Count an offer of a version that is not newer than the one in force."""
        self._stale.inc({})

    def control_bytes(self, kind: str, link: str, direction: str, total: int) -> None:
        """Set the control bytes counted since the start."""
        key = (kind, link, direction)
        added = total - self._bytes_by_key.get(key, 0)
        if added > 0:
            self._bytes_by_key[key] = total
            self._bytes.add(self._labels(kind=kind, link=link, direction=direction), added)

    def store_call_ended(self, operation: str, outcome: StoreOutcome, seconds: float) -> None:
        """Count a call of the store and its time."""
        self._store_calls.inc(self._labels(operation=operation, outcome=outcome))
        self._store_time.observe(self._labels(operation=operation), seconds)

    def nodes_changed(self, count_by_state: Mapping[str, int]) -> None:
        """Set the number of known nodes in each state."""
        self._set_all(self._nodes, "state", count_by_state)

    def readiness_changed(self, ready: bool) -> None:
        """Set whether the node is ready."""
        self._ready.set({}, int(ready))

    def add_source(self, source: Callable[[Metrics], None]) -> None:
        """Call `source` before each rendering, for values that others keep."""
        self._sources.append(source)

    async def render(self) -> bytes:
        """Return the text format; other tasks run between two metrics."""
        for source in self._sources:
            source(self)
        for rule, count in invariants.violations_by_rule.items():
            self._violations.set(self._labels(rule=rule), count)
        formatter = TextFormatter()
        blocks = []
        for collector in self._registry.get_all():
            blocks.append(formatter.marshall_collector(collector))
            await asyncio.sleep(0)
        return ("\n".join(blocks) + "\n").encode()

    def _set_all(self, gauge: Gauge, label: str, count_by_value: Mapping[str, int]) -> None:
        """Set a gauge for all values of a label; values that are not named become 0."""
        total_by_label = {labels[label]: 0 for labels, _ in gauge.get_all()}
        for value, count in count_by_value.items():
            bounded = self._bounded(label, value)
            total_by_label[bounded] = total_by_label.get(bounded, 0) + count
        for bounded, total in total_by_label.items():
            gauge.set({label: bounded}, total)

    def _labels(self, **value_by_label: str) -> dict[str, str]:
        return {label: self._bounded(label, value) for label, value in value_by_label.items()}

    def _bounded(self, label: str, value: str) -> str:
        values = self._values_by_label.get(label)
        if values is None:
            values = self._values_by_label[label] = LabelValues(self._label_limit)
        return values.of(value)

    def _counter(self, name: str, text: str) -> CounterMetric:
        return CounterMetric(f"jaypost_{name}", text, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"jaypost_{name}", text, registry=self._registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...] = TIME_BUCKETS_S
    ) -> Histogram:
        return Histogram(f"jaypost_{name}", text, registry=self._registry, buckets=buckets)


def _kind_label(kind: ErrorKind | None) -> str:
    return OK if kind is None else kind.value
