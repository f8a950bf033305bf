"""Seeded random run of a fleet of real processes under faults, with checks of the rules.

Callers send requests, two operators change rows and a schedule of faults drawn from the seed hits
nodes, targets, connections and the store. Afterwards the rules of `docs/design.md`, section 1.2,
are checked on what callers were told, journals of targets, samples of the status, logs and metrics.
The schedule depends on the seed only; how the processes interleave differs from run to run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import re
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from pathlib import Path

import structlog
import uvloop

from bench import chaos_checks as checks
from bench.chaos_checks import Broken, OperatorChange, RunRecord, Sample, SentCall
from bench.chaos_faults import FaultRunner, Subjects, clock_path, draw_schedule
from jaypost.records import Address, Delta, Row, RowChange, Table
from jaypost.store import StoreFailed
from jaypost.store_client import StoreClient
from jaypost.writers import Accepted, TableEdit, TableWriter, new_change_id
from standins.caller import Caller, CallPlan, CallResult
from standins.processes import Fleet, NodePlace, http, http_json, place_node
from standins.relay import Relay

SERVICES = ("orders", "stock")
DOMAINS = (("a", "north"), ("b", "north"), ("c", "south"))
SLOTS = 12
RELAYED_NODES = 2
MAX_NODES = 16
RATE_PER_S = 80.0
RESENDS = 2
TIMEOUT_MS = 3000
FIRST_BYTE_TIMEOUT_MS = 1500
STREAM_BYTES = 200_000
SAMPLE_S = 0.1
STATUS_TIMEOUT_S = 0.5
START_TIMEOUT_S = 40.0
CONVERGENCE_LIMIT_S = 5.0
CONVERGENCE_TIMEOUT_S = 30.0
CALLS_END_TIMEOUT_S = 15.0
# Operators start at the same moments, because independent ones hardly ever write at once.
OPERATOR_PERIOD_S = 0.25
INVALID_SHARE = 0.1
LISTENING = re.compile(r"^listening port=(\d+)$", re.MULTILINE)
HISTORY_LIMIT = 100_000
# Longer than the drain limit of P7, so that a late request still finds the target.
TARGET_DRAIN_S = 6.5


@dataclass(frozen=True, slots=True)
class ChaosPlan:
    """Bounds of a run."""

    seed: int
    duration_s: float
    nodes: int
    convergence_limit_s: float = CONVERGENCE_LIMIT_S


class JournalingCaller(Caller):
    """A caller of one node that keeps what it sent, and sends keyed requests again elsewhere."""

    def __init__(self, node: NodePlace, load: Load) -> None:
        super().__init__(node.caller)
        self.node_id = node.node_id
        self._load = load
        self._sent_by_id: dict[str, tuple[CallPlan, float, int]] = {}

    def send_plan(self, plan: CallPlan, resends: int) -> None:
        """Send a request; `resends` is how often it may be sent again under its key."""
        sent_s = time.monotonic()
        self._sent_by_id[self.send(plan)] = (plan, sent_s, resends)

    def in_flight_calls(self) -> list[str]:
        """Describe the calls that have not ended."""
        now = time.monotonic()
        return [
            f"{self.node_id} {request_id} {plan.method} {plan.path} for {now - sent_s:.1f} s"
            for request_id, (plan, sent_s, _) in self._sent_by_id.items()
        ]

    def ended(self, result: CallResult) -> None:
        """Keep the call and send it again if it has a key and has failed."""
        super().ended(result)
        # A connection that fails at once ends the call within `send`.
        self.loop.call_soon(self._keep_call, result, time.monotonic())

    def _keep_call(self, result: CallResult, ended_s: float) -> None:
        plan, sent_s, resends = self._sent_by_id.pop(result.request_id)
        size = STREAM_BYTES if plan.path.startswith("/bytes/") else 0
        self._load.calls.append(SentCall(self.node_id, plan.key, size, sent_s, ended_s, result))
        if plan.key and resends and result.status != 200:
            self._load.send(plan, resends - 1, self.node_id)


class Load:
    """Sends requests to the nodes that are up.

    Parameters
    ----------
    places : list of NodePlace
        The nodes.
    runner : FaultRunner
        Tells which nodes are up.
    rng : random.Random
        Chooses requests and nodes.
    """

    def __init__(self, places: list[NodePlace], runner: FaultRunner, rng: random.Random) -> None:
        self.calls: list[SentCall] = []
        self.unanswered: list[str] = []
        self._runner = runner
        self._rng = rng
        self._callers = [JournalingCaller(place, self) for place in places]
        self._stopping = False

    async def run(self) -> None:
        """Send at a fixed rate until `stop`, then wait for the calls in flight."""
        for caller in self._callers:
            await caller.start()
        start = time.monotonic()
        number = 0
        while not self._stopping:
            number += 1
            await asyncio.sleep(max(0.0, start + number / RATE_PER_S - time.monotonic()))
            self.send(self._draw_plan(), RESENDS)
        try:
            async with asyncio.timeout(CALLS_END_TIMEOUT_S):
                for caller in self._callers:
                    await caller.wait_idle()
        except TimeoutError:
            self.unanswered = [
                text for caller in self._callers for text in caller.in_flight_calls()
            ]
        await asyncio.sleep(0)
        for caller in self._callers:
            await caller.close()

    def stop(self) -> None:
        """Send no more requests."""
        self._stopping = True

    def send(self, plan: CallPlan, resends: int, not_to: str = "") -> None:
        """Send a request to a node that is up, other than `not_to`."""
        up = [
            caller
            for caller in self._callers
            if caller.node_id != not_to and self._runner.is_up(caller.node_id)
        ]
        if up:
            self._rng.choice(up).send_plan(plan, resends)

    def _draw_plan(self) -> CallPlan:
        service = self._rng.choice(SERVICES)
        work = f"/work/{self._rng.choice((0, 5, 20, 150, 800))}"
        kind = self._rng.random()
        if kind < 0.35:
            return CallPlan(service, "GET", work)
        if kind < 0.5:
            return CallPlan(service, "GET", f"/bytes/{STREAM_BYTES}")
        key = f"{self._rng.getrandbits(64):016x}" if kind < 0.7 else ""
        return CallPlan(service, "POST", work, b'{"pack": 7}', key=key)


class Operator:
    """Changes rows until told to stop; the shared row makes two operators clash."""

    def __init__(self, number: int, writer: TableWriter, rng: random.Random) -> None:
        self.changes: list[OperatorChange] = []
        self._number = number
        self._writer = writer
        self._rng = rng
        self._stopping = False

    async def run(self) -> None:
        """Change rows."""
        while not self._stopping:
            await asyncio.sleep(OPERATOR_PERIOD_S - time.monotonic() % OPERATOR_PERIOD_S)
            base = await self._writer.read()
            if not isinstance(base, StoreFailed):
                await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.1)))
                await self._change(base)

    def stop(self) -> None:
        """Stop after the change in progress."""
        self._stopping = True

    async def _change(self, base: Table) -> None:
        change_id = new_change_id()
        edit = TableEdit(base, (self._draw_change(base),))
        author = f"operator-{self._number}"
        outcome = await self._writer.change(edit, author, "chaos", change_id)
        version = outcome.version if isinstance(outcome, Accepted) else 0
        if isinstance(outcome, Accepted) and version <= base.version:
            return  # the row had this value already
        self.changes.append(OperatorChange(change_id, type(outcome).__name__, version))

    def _draw_change(self, base: Table) -> RowChange:
        service = self._rng.choice((*SERVICES, f"extra-{self._number}"))
        if service not in SERVICES and service in base.rows_by_service:
            return RowChange(service, None)
        row = base.rows_by_service.get(service, Row(service))
        if self._rng.random() < INVALID_SHARE:
            return RowChange(service, replace(row, retry_budget=-1.0))
        # A change without a difference is accepted but has no version of its own, so the value
        # differs from the present one and from those of the other operator.
        timeout_ms = TIMEOUT_MS + 2 * self._rng.randrange(500) + self._number
        if timeout_ms == row.timeout_ms:
            timeout_ms += 2
        return RowChange(service, replace(row, timeout_ms=timeout_ms))


class ChaosRun:
    """One run: starts the fleet, applies load and faults, and gathers the record."""

    def __init__(self, plan: ChaosPlan, directory: Path) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._fleet = Fleet(directory)
        self._places: list[NodePlace] = []
        self._relay_by_node: dict[str, Relay] = {}
        self._relay_address_by_node: dict[str, str] = {}
        self._port_by_target: dict[str, int] = {}
        self._starts_by_target: Counter[str] = Counter()
        self._samples: list[Sample] = []
        self._sampling = True
        self._row_mismatches: list[str] = []
        self._violations: dict[str, float] = {}
        self._convergence_s: float | None = None
        self._history: tuple[Delta, ...] = ()

    async def run(self) -> RunRecord:
        """Run and return the record."""
        store = StoreClient(self._fleet.store_address, 2.0)
        await store.start()
        try:
            return await self._run(TableWriter(store))
        finally:
            await store.close()
            await self._fleet.close()
            for relay in self._relay_by_node.values():
                await relay.close()

    async def _run(self, writer: TableWriter) -> RunRecord:
        await self._start(writer)
        runner = FaultRunner(
            self._fleet,
            Subjects(
                tuple(place.node_id for place in self._places),
                self._port_by_target,
                self._relay_by_node,
                self._restart_node,
                self._restart_target,
            ),
            self._rng,
        )
        load = Load(self._places, runner, random.Random(self._plan.seed + 1))
        operators = [
            Operator(number, writer, random.Random(self._plan.seed + 2 + number))
            for number in range(2)
        ]
        tasks = [
            asyncio.create_task(work)
            for work in (load.run(), *(operator.run() for operator in operators))
        ]
        samplers = [asyncio.create_task(self._sample(place)) for place in self._places]
        await runner.run(draw_schedule(self._rng, self._plan.duration_s))
        faults_ended_s = time.monotonic()
        for operator in operators:
            operator.stop()
        await asyncio.gather(*tasks[1:])
        self._history = await self._read_history(writer)
        await self._wait_converged(faults_ended_s)
        load.stop()
        await tasks[0]
        await self._compare_rows()
        await self._read_violations()
        for name in self._fleet.process_by_name:
            runner.note_end(name)
        self._sampling = False
        await asyncio.gather(*samplers)
        final = await self._versions()
        codes = await self._fleet.close()
        ends = [checks.ProcessEnd(name, code, True) for name, code in codes.items()]
        return RunRecord(
            tuple(load.calls),
            tuple(load.unanswered),
            tuple(self._samples),
            tuple(runner.disturbances),
            tuple(runner.terminations),
            tuple(change for operator in operators for change in operator.changes),
            self._history,
            final,
            tuple(self._row_mismatches),
            self._convergence_s,
            self._plan.convergence_limit_s,
            (*runner.ends, *ends),
            self._violations,
            checks.read_journals(self._fleet.directory),
            checks.read_log_versions(self._fleet.directory),
            checks.read_log_problems(self._fleet.directory),
        )

    async def _start(self, writer: TableWriter) -> None:
        self._fleet.start_store()
        for number, target_id in enumerate(self._target_ids()):
            domain, region = DOMAINS[number % len(DOMAINS)]
            place = place_node(f"host-{number}", domain, region)
            self._places.append(place)
            self._fleet.place_by_id[place.node_id] = place
            if number < RELAYED_NODES:
                relay = Relay(place.peer)
                self._relay_by_node[place.node_id] = relay
                self._relay_address_by_node[place.node_id] = str(await relay.start())
            self._start_node(place.node_id)
            self._start_target(target_id)
        for target_id in self._target_ids():
            await self._wait_listening(target_id)
        rows = tuple(RowChange(service, self._first_row(service)) for service in SERVICES)
        if not await self._until(lambda: self._load_table(writer, rows)):
            raise RuntimeError(f"the fleet is not ready after {START_TIMEOUT_S:g} s")

    def _first_row(self, service: str) -> Row:
        return Row(
            service,
            timeout_ms=TIMEOUT_MS,
            first_byte_timeout_ms=FIRST_BYTE_TIMEOUT_MS,
            retry_limit=2,
            retry_budget=0.2,
            repeatable_methods=("GET",),
        )

    async def _load_table(self, writer: TableWriter, rows: tuple[RowChange, ...]) -> bool:
        base = await writer.read()
        if isinstance(base, StoreFailed):
            return False
        if not base.version:
            await writer.change(TableEdit(base, rows), "chaos", "first rows", new_change_id())
            return False
        ready = [await self._can_answer(place) for place in self._places]
        return all(ready)

    async def _can_answer(self, place: NodePlace) -> bool:
        if not await _answers(place.admin, "/readyz"):
            return False
        known = 0
        for service in SERVICES:
            found = await asyncio.to_thread(http_json, place.admin, f"/explain/{service}")
            known += len(found["targets"]) if found else 0
        return known == self._plan.nodes

    async def _until(self, condition: Callable[[], Awaitable[bool]]) -> bool:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if await condition():
                return True
            await asyncio.sleep(SAMPLE_S)
        return False

    def _start_node(self, node_id: str) -> None:
        directory = self._fleet.directory
        settings_file = directory / f"{node_id}.env"
        settings_file.touch()  # the daemon reads it again on SIGHUP
        flags = ["--raise-on-violation", "true", "--claim-rate", "50"]
        flags += ["--settings-file", str(settings_file)]
        flags += ["--clock", str(clock_path(directory, node_id))]
        if node_id in self._relay_address_by_node:
            flags += ["--advertise-peer", self._relay_address_by_node[node_id]]
        place = self._fleet.place_by_id[node_id]
        self._fleet.start_node(place, flags, module="bench.stepped_daemon")

    def _start_target(self, target_id: str) -> None:
        number = int(target_id.rpartition("-")[2])
        flags = ["--drain-s", str(TARGET_DRAIN_S)]
        service = SERVICES[number % len(SERVICES)]
        self._starts_by_target[target_id] += 1
        self._fleet.start_target(target_id, service, f"host-{number}", SLOTS, flags)

    async def _restart_node(self, node_id: str) -> None:
        self._start_node(node_id)
        place = self._fleet.place_by_id[node_id]
        await self._until(lambda: _answers(place.admin, "/readyz"))

    async def _restart_target(self, target_id: str) -> None:
        self._start_target(target_id)
        await self._wait_listening(target_id)

    async def _wait_listening(self, target_id: str) -> None:
        """Read the port, which the kernel chooses at each start, from the log."""

        async def listens() -> bool:
            log = (self._fleet.directory / f"{target_id}.log").read_text()
            ports = LISTENING.findall(log)
            if len(ports) < self._starts_by_target[target_id]:
                return False
            self._port_by_target[target_id] = int(ports[-1])
            return True

        await self._until(listens)

    def _target_ids(self) -> list[str]:
        return [f"target-{number}" for number in range(self._plan.nodes)]

    async def _sample(self, place: NodePlace) -> None:
        while self._sampling:
            version = await self._version(place)
            if version is not None:
                self._samples.append(Sample(place.node_id, time.monotonic(), version))
            await asyncio.sleep(SAMPLE_S)

    async def _version(self, place: NodePlace) -> int | None:
        status, body = await asyncio.to_thread(
            http, "GET", place.admin, "/status", None, STATUS_TIMEOUT_S
        )
        return int(json.loads(body)["in_force_version"]) if status == 200 else None

    async def _versions(self) -> dict[str, int]:
        versions = {}
        for place in self._places:
            versions[place.node_id] = await self._version(place) or 0
        return versions

    async def _read_history(self, writer: TableWriter) -> tuple[Delta, ...]:
        history = await writer.history(HISTORY_LIMIT)
        if isinstance(history, StoreFailed):
            raise RuntimeError(f"the history cannot be read: {history.reason}")
        return tuple(sorted(history, key=lambda delta: delta.version))

    async def _wait_converged(self, since_s: float) -> None:
        newest = self._history[-1].version
        while time.monotonic() < since_s + CONVERGENCE_TIMEOUT_S:
            if all(version == newest for version in (await self._versions()).values()):
                self._convergence_s = time.monotonic() - since_s
                return
            await asyncio.sleep(SAMPLE_S)

    async def _compare_rows(self) -> None:
        """Compare the rows in force with those that the history gives."""
        rows_by_service: dict[str, Row | None] = {}
        for delta in self._history:
            for change in delta.rows:
                rows_by_service[change.service] = change.row
        for place in self._places:
            for service, row in rows_by_service.items():
                found = await asyncio.to_thread(http_json, place.admin, f"/explain/{service}")
                timeout_ms = found["row"]["timeout_ms"] if found else None
                wanted = row.timeout_ms if row is not None else None
                if timeout_ms != wanted:
                    text = f"{place.node_id}: {service} has {timeout_ms} in force, not {wanted}"
                    self._row_mismatches.append(text)

    async def _read_violations(self) -> None:
        for place in self._places:
            _, body = await asyncio.to_thread(http, "GET", place.admin, "/metrics")
            for line in body.decode().splitlines():
                if line.startswith("jaypost_invariant_violations_total{"):
                    count = float(line.rpartition(" ")[2])
                    self._violations[place.node_id] = (
                        self._violations.get(place.node_id, 0.0) + count
                    )


async def _answers(address: Address, path: str) -> bool:
    status, _ = await asyncio.to_thread(http, "GET", address, path, None, STATUS_TIMEOUT_S)
    return status == 200


async def run_chaos(plan: ChaosPlan, directory: Path) -> tuple[RunRecord, tuple[Broken, ...]]:
    """Run once and check the record."""
    record = await ChaosRun(plan, directory).run()
    return record, checks.check_all(record)


def describe(record: RunRecord) -> str:
    """Return what the run covered, so that an empty run is seen."""
    told = Counter(
        "ok" if call.result.status == 200 and call.result.complete else call.result.error or "cut"
        for call in record.calls
    )
    outcomes = Counter(change.outcome for change in record.changes)
    keyed = Counter(call.key for call in record.calls if call.key)
    convergence = "none" if record.convergence_s is None else f"{record.convergence_s:.2f} s"
    drained = sum(line.end == "draining" for line in record.journal)
    lines = [
        f"calls: {len(record.calls)}, told: {dict(told.most_common())}",
        f"calls undisturbed: {sum(1 for _ in checks.undisturbed_calls(record))}",
        f"keys: {len(keyed)}, sent again: {sum(count > 1 for count in keyed.values())}",
        f"executions: {sum(1 for line in record.journal if not line.end)}",
        f"changes: {dict(outcomes)}, versions: {len(record.history)}",
        f"samples: {len(record.samples)}, drains announced: {drained}",
        f"disturbances: {dict(Counter(window.kind for window in record.disturbances))}",
        f"terminated: {[window.subject for window in record.terminations]}",
        f"convergence after the faults: {convergence}",
    ]
    return "\n".join(lines)


def main() -> None:
    """Run with each seed in turn; exit code 1 when a rule did not hold."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--seed", type=int, action="append", help="may be given several times")
    parser.add_argument("--duration", type=float, default=30.0, help="seconds of faults")
    parser.add_argument("--nodes", type=int, default=8, choices=range(4, MAX_NODES + 1))
    arguments = parser.parse_args()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    failed = False
    for seed in arguments.seed or [1]:
        directory = Path(tempfile.mkdtemp(prefix=f"jaypost-chaos-{seed}-"))
        print(f"--- seed {seed}, logs in {directory}", flush=True)
        plan = ChaosPlan(seed, min(arguments.duration, 600.0), arguments.nodes)
        record, found = uvloop.run(run_chaos(plan, directory))
        print(describe(record))
        print(checks.summarise(found) or "all rules held", flush=True)
        failed = failed or bool(found)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
