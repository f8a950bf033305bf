"""Checks the record of a chaos run against the rules of `docs/design.md`, section 1.2."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from jaypost.records import Delta, RolloutPhase
from standins.caller import CallResult

# P7: latest start of a request after its target announced that it drains.
DRAIN_LIMIT_S = 5.0
FORBIDDEN_LOG_TEXTS = ("invariant_violated", "Traceback", "node_task_failed")
MAX_SHOWN_PER_RULE = 5
# Requests that a bad version may get beyond its share.
EXPOSURE_SLACK = 10
# Time after the end of a roll-out in which the targets that it excludes may still get requests.
ROLLOUT_END_S = 3.0
# A third of the first-byte timeout of the run.
MAX_STALLED_S = 0.5
VERSION_IN_FORCE_LINE = re.compile(
    r"event=version_in_force node=(?P<node>\S+) version=(?P<version>\d+)"
)
# Error kinds with which a node reports, in a complete response, that the call was cut further along
# its path.
CUT_ERROR_KINDS = frozenset({"outcome_unknown", "answer_cut", "cancelled", "internal"})


@dataclass(frozen=True, slots=True)
class VersionSample:
    """Version in force on a node at a monotonic time."""

    node_id: str
    at_s: float
    version: int


@dataclass(frozen=True, slots=True)
class SentCall:
    """A call and its result.

    Parameters
    ----------
    node_id : str
        Node that the call was sent to.
    key : str
        Idempotency key; empty means none.
    expected_body_bytes : int
        Body size of a complete response with status 200; 0 means any size above 0.
    sent_s, ended_s : float
        Monotonic times.
    result : CallResult
        What the caller received.
    workspace : str
        Workspace whose key the call carried; empty if no workspace has its key.
    """

    node_id: str
    key: str
    expected_body_bytes: int
    sent_s: float
    ended_s: float
    result: CallResult
    workspace: str = ""


@dataclass(frozen=True, slots=True)
class WorkspaceLimit:
    """Limit of the workspace that is checked, and what is accepted beyond it in a window.

    Parameters
    ----------
    workspace : str
        Its name.
    rate, burst : float
        Requests per second on all nodes together, and requests beyond them at once.
    tolerance, slack, window_s : float
        A fraction of what the limit allows in a window, some requests, and its length in seconds.
    """

    workspace: str
    rate: float
    burst: float
    tolerance: float
    slack: float
    window_s: float

    @property
    def most_in_window(self) -> float:
        """Requests that may be executed in a window."""
        return (self.rate * self.window_s + self.burst) * (1 + self.tolerance) + self.slack


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """A roll-out of a run.

    Parameters
    ----------
    old_target_ids, new_target_ids : tuple of str
        Targets of the service, by version.
    is_bad : bool
        Whether they fail every request.
    phase : RolloutPhase
        Phase that the store had at the end.
    ordered_at_s, ended_at_s : float
        Times of day in seconds.
    exposure_share : float
        Largest part of the requests that a bad version may get.
    """

    old_target_ids: tuple[str, ...]
    new_target_ids: tuple[str, ...]
    is_bad: bool
    phase: RolloutPhase
    ordered_at_s: float
    ended_at_s: float
    exposure_share: float


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """Time span of a fault and of the recovery from it.

    Parameters
    ----------
    kind : str
        Kind of the fault, such as ``kill``, which covers more than one `FaultKind`.
    subject : str
        Name of the node or target that the fault hit.
    start_s, end_s : float
        Monotonic times.
    """

    kind: str
    subject: str
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class OperatorChange:
    """A change and the outcome that its operator received.

    Parameters
    ----------
    change_id : str
        Identifier of the change.
    outcome : str
        Class name of the outcome, such as ``Accepted``.
    version : int
        Version of the accepted change; 0 for any other outcome.
    """

    change_id: str
    outcome: str
    version: int


@dataclass(frozen=True, slots=True)
class ProcessExit:
    """Exit of a process.

    Parameters
    ----------
    name : str
        Name of the process.
    code : int or None
        Exit code; None when the process did not exit in time.
    expected : bool
        Whether the chaos run sent SIGTERM to the process.
    """

    name: str
    code: int | None
    expected: bool


@dataclass(frozen=True, slots=True)
class JournalLine:
    """One line of the journal of a target.

    Parameters
    ----------
    target_id : str
        The target.
    request_id : str
        The request; empty for a state change of the target.
    end : str
        Empty for the start of an execution. Otherwise how the execution ended, or ``started`` or
        ``draining`` for a state change of the target.
    at_s : float
        Wall-clock time.
    """

    target_id: str
    request_id: str
    end: str
    at_s: float


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Everything that was observed in a run.

    Parameters
    ----------
    calls : tuple of SentCall
        The calls that ended.
    unanswered : tuple of str
        Descriptions of the calls still in flight after the timeout at the end of the load.
    samples : tuple of VersionSample
        Versions in force according to the status of the nodes.
    disturbances : tuple of FaultWindow
        Faults that may cut a call or leave its outcome unknown.
    terminations : tuple of FaultWindow
        From SIGTERM until the process is ready again.
    changes : tuple of OperatorChange
        Changes that the operators attempted.
    history : tuple of Delta
        Changes in the store at the end, oldest first.
    final_version_by_node : dict
        Versions in force at the end.
    row_mismatches : tuple of str
        Descriptions of the rows in force that differ from those of the history.
    convergence_s : float or None
        Time from the end of the faults until all nodes had the newest version in force; None when
        they did not converge in time.
    convergence_limit_s : float
        Longest permitted `convergence_s`.
    exits : tuple of ProcessExit
        Exits after SIGTERM, and exits that the run did not cause.
    invariant_violations_by_node : dict
        Number of invariant violations that each node counts in its metrics.
    journal : tuple of JournalLine
        Lines of the journals of all targets.
    log_versions : tuple of VersionSample
        Versions that came into force, in the order of each log, without their times.
    log_problems : tuple of str
        Log lines that contain one of `FORBIDDEN_LOG_TEXTS`.
    limit : WorkspaceLimit or None
        Limit to check; None if the table has no workspaces.
    shown_keys : tuple of str
        Files of the run, other than those of its callers, that show a key.
    stalls : tuple of FaultWindow
        Times in which the process with the callers and the relays was not scheduled.
    rollout : RolloutRecord or None
        Roll-out to check.
    unserved_target_ids : tuple of str
        Targets that got no request after the end of the faults.
    """

    calls: tuple[SentCall, ...]
    unanswered: tuple[str, ...]
    samples: tuple[VersionSample, ...]
    disturbances: tuple[FaultWindow, ...]
    terminations: tuple[FaultWindow, ...]
    changes: tuple[OperatorChange, ...]
    history: tuple[Delta, ...]
    final_version_by_node: dict[str, int]
    row_mismatches: tuple[str, ...]
    convergence_s: float | None
    convergence_limit_s: float
    exits: tuple[ProcessExit, ...]
    invariant_violations_by_node: dict[str, float]
    journal: tuple[JournalLine, ...]
    log_versions: tuple[VersionSample, ...]
    log_problems: tuple[str, ...]
    limit: WorkspaceLimit | None = None
    shown_keys: tuple[str, ...] = ()
    stalls: tuple[FaultWindow, ...] = ()
    rollout: RolloutRecord | None = None
    unserved_target_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violation of a rule, with a description."""

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


def count_request_lines(directory: Path) -> Counter[str]:
    """Return the number of lines of requests in the journal of each target."""
    counts: Counter[str] = Counter()
    for path in directory.glob("*.journal"):
        # The last line may be written only in part.
        lines = path.read_text().splitlines()
        counts[path.stem] = sum(
            '"request_id": "' in i and '"request_id": ""' not in i for i in lines
        )
    return counts


def read_log_problems(directory: Path) -> tuple[str, ...]:
    """Return the log lines that contain one of `FORBIDDEN_LOG_TEXTS`, with file and line number."""
    problems = []
    for path in sorted(directory.glob("*.log")):
        for number, line in enumerate(path.read_text(errors="replace").splitlines(), 1):
            if any(text in line for text in FORBIDDEN_LOG_TEXTS):
                problems.append(f"{path.name}:{number}: {line[:300]}")
    return tuple(problems)


def read_log_versions(directory: Path) -> tuple[VersionSample, ...]:
    """Return the versions that came into force according to the logs, in the order of each log."""
    return tuple(
        VersionSample(match["node"], 0.0, int(match["version"]))
        for path in sorted(directory.glob("*.log"))
        for match in VERSION_IN_FORCE_LINE.finditer(path.read_text(errors="replace"))
    )


def check_all(record: RunRecord) -> tuple[RuleViolation, ...]:
    """Check every rule and return all violations."""
    violations = [
        *check_versions_rise(record),
        *check_history(record),
        *check_own_response(record),
        *check_not_run(record),
        *check_at_most_once(record),
        *check_drained_targets(record),
        *check_no_call_cut(record),
        *check_processes(record),
        *check_keys(record),
        *check_allotments(record),
        *check_rollout(record),
        *check_targets_served(record),
    ]
    return tuple(violations)


def check_versions_rise(record: RunRecord) -> Iterator[RuleViolation]:
    """P1: the version in force of a node id never decreases, not even across restarts."""
    for source, samples in (("status", record.samples), ("log", record.log_versions)):
        highest: dict[str, int] = {}
        for sample in samples:
            before = highest.get(sample.node_id, 0)
            if sample.version and sample.version < before:
                text = (
                    f"{sample.node_id} went from {before} back to {sample.version} in its {source}"
                )
                yield RuleViolation("P1", text)
            highest[sample.node_id] = max(before, sample.version)


def check_history(record: RunRecord) -> Iterator[RuleViolation]:
    """P3, P9: the history matches the outcomes of the changes, and its newest version is in force.

    P9: the history has no gaps and contains every accepted change, and all nodes converge to its
    newest version in time. P3: no rejected or conflicting change is in the history, and no version
    or row is in force that the history does not contain.
    """
    newest = record.history[-1].version if record.history else 0
    versions = [delta.version for delta in record.history]
    if versions != list(range(1, newest + 1)):
        yield RuleViolation("P9", f"the history has gaps: {versions}")
    version_by_change = {delta.change_id: delta.version for delta in record.history}
    for change in record.changes:
        stored_version = version_by_change.get(change.change_id)
        if change.outcome == "Accepted" and stored_version != change.version:
            yield RuleViolation("P9", f"{change} has version {stored_version} in the history")
        if change.outcome in ("Rejected", "Clash") and stored_version is not None:
            yield RuleViolation("P3", f"{change} is in the history as version {stored_version}")
    for sample in (*record.samples, *record.log_versions):
        if sample.version > newest:
            yield RuleViolation("P3", f"{sample} is newer than the history")
    for node_id, version in record.final_version_by_node.items():
        if version != newest:
            yield RuleViolation("P9", f"{node_id} has {version} in force at the end, not {newest}")
    for text in record.row_mismatches:
        yield RuleViolation("P3", text)
    if record.convergence_s is None or record.convergence_s > record.convergence_limit_s:
        yield RuleViolation("P9", f"convergence after the faults took {record.convergence_s} s")


def check_own_response(record: RunRecord) -> Iterator[RuleViolation]:
    """P4: every call gets its own response, which is complete or recognisably cut."""
    for text in record.unanswered:
        yield RuleViolation("P4", f"no response: {text}")
    for call in record.calls:
        result = call.result
        if not result.own:
            yield RuleViolation("P4", f"response of another request: {result}")
        succeeded = result.status == 200 and result.complete and not result.error
        if succeeded and (
            not result.body_bytes or call.expected_body_bytes not in (0, result.body_bytes)
        ):
            yield RuleViolation(
                "P4", f"complete response with a body of {result.body_bytes} bytes: {result}"
            )


def _count_executions(record: RunRecord) -> Counter[str]:
    """Count the executions of each request id in all journals."""
    return Counter(line.request_id for line in record.journal if not line.end)


def check_not_run(record: RunRecord) -> Iterator[RuleViolation]:
    """P5: a request whose response says that it was not run is in no journal."""
    executions_by_request = _count_executions(record)
    for call in record.calls:
        if call.result.run == "not-run" and executions_by_request[call.result.request_id]:
            yield RuleViolation(
                "P5", f"reported as not run, but it ran: {call.node_id} {call.result}"
            )


def check_at_most_once(record: RunRecord) -> Iterator[RuleViolation]:
    """P6: a request that may not be repeated (POST) runs at most once.

    Requests with the same idempotency key together run at most once, too.
    Executions are counted over the journals of all targets.
    """
    executions_by_request = _count_executions(record)
    executions_by_key: Counter[str] = Counter()
    for call in record.calls:
        count = executions_by_request[call.result.request_id]
        if call.result.method == "POST" and count > 1:
            yield RuleViolation("P6", f"ran {count} times: {call.node_id} {call.result}")
        if call.key:
            executions_by_key[call.key] += count
    for key, count in executions_by_key.items():
        if count > 1:
            yield RuleViolation("P6", f"key {key} ran {count} times")


def check_drained_targets(record: RunRecord) -> Iterator[RuleViolation]:
    """P7: a target gets no request later than `DRAIN_LIMIT_S` after it announced draining."""
    draining_s_by_target: dict[str, float] = {}
    for line in record.journal:
        if line.end == "started":
            draining_s_by_target.pop(line.target_id, None)
        elif line.end == "draining":
            draining_s_by_target.setdefault(line.target_id, line.at_s)
        elif not line.end and line.target_id in draining_s_by_target:
            after_s = line.at_s - draining_s_by_target[line.target_id]
            if after_s > DRAIN_LIMIT_S:
                text = f"{line.target_id} started {line.request_id} {after_s:.1f} s after draining"
                yield RuleViolation("P7", text)


def check_no_call_cut(record: RunRecord) -> Iterator[RuleViolation]:
    """P8: SIGTERM and faults of the store cut no call in flight."""
    for call in undisturbed_calls(record):
        result = call.result
        if not result.complete and _sent_outside_terminations(call, record.terminations):
            yield RuleViolation("P8", f"cut: {call.node_id} {result}")
        elif result.complete and result.error in CUT_ERROR_KINDS:
            yield RuleViolation("P8", f"cut further along the path: {call.node_id} {result}")


def undisturbed_calls(record: RunRecord) -> Iterator[SentCall]:
    """Yield the calls that do not overlap with any disturbance.

    A call that passes a relay waits while the process with the relays is not scheduled, as with
    delayed connections.
    """
    for call in record.calls:
        if (
            not any(_overlap_s(call, window) >= 0 for window in record.disturbances)
            and sum(max(0.0, _overlap_s(call, stall)) for stall in record.stalls) < MAX_STALLED_S
        ):
            yield call


def _overlap_s(call: SentCall, window: FaultWindow) -> float:
    """Return how long a call and a window overlap, in seconds; negative if they do not."""
    return min(call.ended_s, window.end_s) - max(call.sent_s, window.start_s)


def _sent_outside_terminations(call: SentCall, terminations: Sequence[FaultWindow]) -> bool:
    """Tell whether the call was sent outside the terminations of its node.

    A call sent between the SIGTERM of its node and the end of the restart may fail.
    """
    return not any(
        window.subject == call.node_id and window.start_s <= call.sent_s <= window.end_s
        for window in terminations
    )


def check_keys(record: RunRecord) -> Iterator[RuleViolation]:
    """No request without a known key runs, and no process writes a key."""
    for name in record.shown_keys:
        yield RuleViolation("keys", f"{name} shows a key")
    if record.limit is None:
        return
    executions_by_request = _count_executions(record)
    for call in record.calls:
        served = call.result.status == 200 or executions_by_request[call.result.request_id]
        if not call.workspace and served:
            yield RuleViolation("keys", f"ran without a known key: {call.node_id} {call.result}")


def check_allotments(record: RunRecord) -> Iterator[RuleViolation]:
    """Check that the requests of a workspace that run stay within its limit in every window.

    They count at the time at which they were sent. A call that a fault delayed is admitted later,
    so only undisturbed calls are counted.
    """
    limit = record.limit
    if limit is None:
        return
    executions_by_request = _count_executions(record)
    sent = sorted(
        call.sent_s
        for call in undisturbed_calls(record)
        if call.workspace == limit.workspace and executions_by_request[call.result.request_id]
    )
    first = 0
    for last, sent_s in enumerate(sent):
        while sent[first] <= sent_s - limit.window_s:
            first += 1
        if last - first + 1 > limit.most_in_window:
            text = f"{last - first + 1} ran in {limit.window_s:g} s, not {limit.most_in_window:g}"
            yield RuleViolation("allotments", text)


def check_rollout(record: RunRecord) -> Iterator[RuleViolation]:
    """Check that a roll-out ends, that a bad one is rolled back, and what each version gets."""
    rollout = record.rollout
    if rollout is None:
        return
    if rollout.phase is RolloutPhase.RUNNING:
        yield RuleViolation("roll-out", "not ended in time")
    elif rollout.is_bad and rollout.phase is not RolloutPhase.ROLLED_BACK:
        yield RuleViolation("roll-out", "a version that fails each request succeeded")
    new_ids = set(rollout.new_target_ids)
    ids = new_ids.union(rollout.old_target_ids)
    runs = [line for line in record.journal if line.end == "" and line.target_id in ids]
    if rollout.is_bad:
        during = [run for run in runs if rollout.ordered_at_s <= run.at_s <= rollout.ended_at_s]
        at_new = sum(run.target_id in new_ids for run in during)
        if at_new > rollout.exposure_share * len(during) + EXPOSURE_SLACK:
            text = f"{at_new} of {len(during)} requests ran at the bad version"
            yield RuleViolation("roll-out", text)
    excludes_new = rollout.phase is RolloutPhase.ROLLED_BACK
    for run in runs:
        is_excluded = (run.target_id in new_ids) == excludes_new
        if is_excluded and run.at_s > rollout.ended_at_s + ROLLOUT_END_S:
            late_s = run.at_s - rollout.ended_at_s
            text = f"{run.request_id} ran at {run.target_id} {late_s:.1f} s after {rollout.phase}"
            yield RuleViolation("roll-out", text)


def read_shown_keys(directory: Path, keys: Iterable[str]) -> tuple[str, ...]:
    """Return the names of the files in a directory that contain one of the keys."""
    wanted = [key.encode() for key in keys]
    names = []
    for path in sorted(item for item in directory.rglob("*") if item.is_file()):
        content = path.read_bytes()
        if any(key in content for key in wanted):
            names.append(path.name)
    return tuple(names)


def check_targets_served(record: RunRecord) -> Iterator[RuleViolation]:
    """Check that a target which started again gets requests, also under the id that it had."""
    for target_id in record.unserved_target_ids:
        yield RuleViolation("served", f"{target_id} got no request after the faults")


def check_processes(record: RunRecord) -> Iterator[RuleViolation]:
    """Check exit codes, counted invariant violations and logs.

    No process exits by itself, and SIGTERM ends it with code 0. Code -9, that of a killed process,
    is accepted too. No node counts an invariant violation, and no log has a forbidden text.
    """
    for item in record.exits:
        if not item.expected:
            yield RuleViolation("exit", f"{item.name} exited by itself with code {item.code}")
        elif item.code not in (0, -9):
            yield RuleViolation("P8", f"{item.name} exited with code {item.code} after SIGTERM")
    for node_id, count in record.invariant_violations_by_node.items():
        if count:
            yield RuleViolation("invariants", f"{node_id} counts {count:g} invariant violations")
    for problem in record.log_problems:
        yield RuleViolation("logs", problem)


def summarise(violations: Iterable[RuleViolation]) -> str:
    """Return the number of violations of each rule and the first few of them."""
    texts_by_rule: dict[str, list[str]] = {}
    for violation in violations:
        texts_by_rule.setdefault(violation.rule, []).append(violation.text)
    lines = []
    for rule, texts in sorted(texts_by_rule.items()):
        lines.append(f"{rule}: {len(texts)}")
        lines += [f"  {text}" for text in texts[:MAX_SHOWN_PER_RULE]]
    return "\n".join(lines)
