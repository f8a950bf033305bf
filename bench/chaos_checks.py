"""Checks of the rules of `docs/design.md`, section 1.2, on the record of a chaos run."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from jaypost.records import Delta
from standins.caller import CallResult

DRAIN_LIMIT_S = 5.0
FORBIDDEN_IN_LOGS = ("invariant_violated", "Traceback", "node_task_failed")
SHOWN_PER_RULE = 5
IN_FORCE = re.compile(r"event=version_in_force node=(?P<node>\S+) version=(?P<version>\d+)")
CUT_KINDS = frozenset({"outcome_unknown", "answer_cut", "cancelled", "internal"})


@dataclass(frozen=True, slots=True)
class Sample:
    """Version in force on a node at a moment."""

    node_id: str
    at_s: float
    version: int


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call and what its caller was told.

    Parameters
    ----------
    node_id : str
        Node that the call was sent to.
    key : str
        Idempotency key; empty means none.
    body_bytes : int
        Size of a whole response with status 200; 0 means any.
    sent_s, ended_s : float
        Monotonic times.
    """

    node_id: str
    key: str
    body_bytes: int
    sent_s: float
    ended_s: float
    result: CallResult


@dataclass(frozen=True, slots=True)
class Window:
    """A fault, in monotonic time."""

    kind: str
    subject: str
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class OperatorChange:
    """What an operator was told about a change."""

    change_id: str
    outcome: str
    version: int


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """End of a process; `expected` tells whether the run has caused it."""

    name: str
    code: int | None
    expected: bool


@dataclass(frozen=True, slots=True)
class JournalLine:
    """One line of the journal of a target."""

    target_id: str
    request_id: str
    end: str
    at_s: float


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Everything that a run has seen.

    Parameters
    ----------
    unanswered : tuple of str
        Calls in flight long after the end of the load.
    disturbances : tuple of Window
        Faults that may cut a call or leave its outcome unknown.
    terminations : tuple of Window
        From SIGTERM until the process is ready again.
    history : tuple of Delta
        Changes in the store at the end, oldest first.
    final_version_by_node : dict
        Versions in force at the end.
    row_mismatches : tuple of str
        Rows in force that are not those of the history.
    convergence_s : float or None
        Time from the end of the faults until all nodes had the newest version in force.
    violations : dict
        Violations of invariants by node, from the metrics.
    log_versions : tuple of Sample
        Versions that came into force, in the order of each log, without their times.
    """

    calls: tuple[SentCall, ...]
    unanswered: tuple[str, ...]
    samples: tuple[Sample, ...]
    disturbances: tuple[Window, ...]
    terminations: tuple[Window, ...]
    changes: tuple[OperatorChange, ...]
    history: tuple[Delta, ...]
    final_version_by_node: dict[str, int]
    row_mismatches: tuple[str, ...]
    convergence_s: float | None
    convergence_limit_s: float
    ends: tuple[ProcessEnd, ...]
    violations: dict[str, float]
    journal: tuple[JournalLine, ...]
    log_versions: tuple[Sample, ...]
    log_problems: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that did not hold."""

    rule: str
    text: str


def read_journals(directory: Path) -> tuple[JournalLine, ...]:
    """Return the lines of all journals, in the order of each journal."""
    lines = []
    for path in sorted(directory.glob("*.journal")):
        for text in path.read_text().splitlines():
            entry = json.loads(text)
            lines.append(JournalLine(path.stem, entry["request_id"], entry["end"], entry["at_s"]))
    return tuple(lines)


def read_log_problems(directory: Path) -> tuple[str, ...]:
    """Return the log lines that no run may have."""
    problems = []
    for path in sorted(directory.glob("*.log")):
        for number, line in enumerate(path.read_text(errors="replace").splitlines(), 1):
            if any(text in line for text in FORBIDDEN_IN_LOGS):
                problems.append(f"{path.name}:{number}: {line[:300]}")
    return tuple(problems)


def read_log_versions(directory: Path) -> tuple[Sample, ...]:
    """Return the versions that came into force by the logs of the nodes, in their order."""
    return tuple(
        Sample(match["node"], 0.0, int(match["version"]))
        for path in sorted(directory.glob("*.log"))
        for match in IN_FORCE.finditer(path.read_text(errors="replace"))
    )


def check_all(record: RunRecord) -> tuple[Broken, ...]:
    """Check every rule and return what did not hold, a few entries for each rule."""
    found = [
        *check_versions_rise(record),
        *check_accepted_changes(record),
        *check_own_response(record),
        *check_not_run(record),
        *check_at_most_once(record),
        *check_drained_targets(record),
        *check_nothing_cut(record),
        *check_processes(record),
    ]
    return tuple(found)


def check_versions_rise(record: RunRecord) -> Iterator[Broken]:
    """P1: the version in force of a node id never falls, also across its restarts."""
    for source, samples in (("status", record.samples), ("log", record.log_versions)):
        highest: dict[str, int] = {}
        for sample in samples:
            before = highest.get(sample.node_id, 0)
            if sample.version and sample.version < before:
                text = f"{sample.node_id} fell from {before} to {sample.version} by its {source}"
                yield Broken("P1", text)
            highest[sample.node_id] = max(before, sample.version)


def check_accepted_changes(record: RunRecord) -> Iterator[Broken]:
    """P3, P9: accepted changes are in the history, and its newest version is in force."""
    newest = record.history[-1].version if record.history else 0
    versions = [delta.version for delta in record.history]
    if versions != list(range(1, newest + 1)):
        yield Broken("P9", f"the history has gaps: {versions}")
    version_by_change = {delta.change_id: delta.version for delta in record.history}
    for change in record.changes:
        found = version_by_change.get(change.change_id)
        if change.outcome == "Accepted" and found != change.version:
            yield Broken("P9", f"{change} is version {found} of the history")
        if change.outcome in ("Rejected", "Clash") and found is not None:
            yield Broken("P3", f"{change} is in the history as version {found}")
    for sample in (*record.samples, *record.log_versions):
        if sample.version > newest:
            yield Broken("P3", f"{sample} is not in the history")
    for node_id, version in record.final_version_by_node.items():
        if version != newest:
            yield Broken("P9", f"{node_id} has {version} in force at the end, not {newest}")
    for text in record.row_mismatches:
        yield Broken("P3", text)
    if record.convergence_s is None or record.convergence_s > record.convergence_limit_s:
        yield Broken("P9", f"convergence after the faults took {record.convergence_s} s")


def check_own_response(record: RunRecord) -> Iterator[Broken]:
    """P4: a response is the caller's own, and whole or visibly cut."""
    for text in record.unanswered:
        yield Broken("P4", f"no answer at all: {text}")
    for call in record.calls:
        result = call.result
        if not result.own:
            yield Broken("P4", f"response of another request: {result}")
        whole = result.status == 200 and result.complete and not result.error
        if whole and (not result.body_bytes or call.body_bytes not in (0, result.body_bytes)):
            yield Broken("P4", f"complete, but {result.body_bytes} bytes: {result}")


def _starts(record: RunRecord) -> Counter[str]:
    return Counter(line.request_id for line in record.journal if not line.end)


def check_not_run(record: RunRecord) -> Iterator[Broken]:
    """P5: a request told as not run is in no journal."""
    starts = _starts(record)
    for call in record.calls:
        if call.result.run == "not-run" and starts[call.result.request_id]:
            yield Broken("P5", f"told not run, but it ran: {call.node_id} {call.result}")


def check_at_most_once(record: RunRecord) -> Iterator[Broken]:
    """P6: a request that may not be repeated, and a key, is in all journals at most once."""
    starts = _starts(record)
    starts_by_key: Counter[str] = Counter()
    for call in record.calls:
        count = starts[call.result.request_id]
        if call.result.method == "POST" and count > 1:
            yield Broken("P6", f"ran {count} times: {call.node_id} {call.result}")
        if call.key:
            starts_by_key[call.key] += count
    for key, count in starts_by_key.items():
        if count > 1:
            yield Broken("P6", f"key {key} ran {count} times")


def check_drained_targets(record: RunRecord) -> Iterator[Broken]:
    """P7: a target gets no request more than a few seconds after it announced draining."""
    draining_at: dict[str, float] = {}
    for line in record.journal:
        if line.end == "started":
            draining_at.pop(line.target_id, None)
        elif line.end == "draining":
            draining_at.setdefault(line.target_id, line.at_s)
        elif not line.end and line.target_id in draining_at:
            after_s = line.at_s - draining_at[line.target_id]
            if after_s > DRAIN_LIMIT_S:
                text = f"{line.target_id} started {line.request_id} {after_s:.1f} s after draining"
                yield Broken("P7", text)


def check_nothing_cut(record: RunRecord) -> Iterator[Broken]:
    """P8: with nothing but SIGTERM and faults of the store, no call in flight is cut."""
    for call in undisturbed_calls(record):
        result = call.result
        if not result.complete and _was_in_flight(call, record.terminations):
            yield Broken("P8", f"cut: {call.node_id} {result}")
        elif result.complete and result.error in CUT_KINDS:
            yield Broken("P8", f"cut behind the node: {call.node_id} {result}")


def undisturbed_calls(record: RunRecord) -> Iterator[SentCall]:
    """Return the calls during which no fault was active that may cut a call."""
    for call in record.calls:
        if not any(
            window.start_s <= call.ended_s and call.sent_s <= window.end_s
            for window in record.disturbances
        ):
            yield call


def _was_in_flight(call: SentCall, terminations: Sequence[Window]) -> bool:
    """Tell whether the node had the call before its SIGTERM, or got none during the call."""
    return not any(
        window.subject == call.node_id and window.start_s <= call.sent_s <= window.end_s
        for window in terminations
    )


def check_processes(record: RunRecord) -> Iterator[Broken]:
    """No process exits by itself or reports an invariant, and SIGTERM ends it with code 0."""
    for end in record.ends:
        if not end.expected:
            yield Broken("exit", f"{end.name} exited by itself with code {end.code}")
        elif end.code not in (0, -9):
            yield Broken("P8", f"{end.name} exited with code {end.code} after SIGTERM")
    for node_id, count in record.violations.items():
        if count:
            yield Broken("invariants", f"{node_id} counts {count:g} violations")
    for problem in record.log_problems:
        yield Broken("logs", problem)


def summarise(found: Iterable[Broken]) -> str:
    """Return the number of breaks by rule and the first of each."""
    by_rule: dict[str, list[str]] = {}
    for broken in found:
        by_rule.setdefault(broken.rule, []).append(broken.text)
    lines = []
    for rule, texts in sorted(by_rule.items()):
        lines.append(f"{rule}: {len(texts)}")
        lines += [f"  {text}" for text in texts[:SHOWN_PER_RULE]]
    return "\n".join(lines)
