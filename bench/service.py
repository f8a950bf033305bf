"""Compares latency and goodput of jaypost with two baseline policies, in processes on loopback.

Run ``python -m bench.service SCENARIO --deployment association|cooperativa``. Every policy runs in
its own fleet (a store, and one node and one target per host). Only one fleet runs at a time. Each
repetition runs all policies in turn with the same arrivals. Links between regions have no delay.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import re
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

import uvloop

from jaypost.records import Address
from standins.caller import Caller, CallPlan, CallResult
from standins.processes import Fleet, NodeSpec, http_json, http_request, new_node_spec, wait_until

JAYPOST = "jaypost"
POLICIES = ("round-robin", "two-choices", JAYPOST)
# (failure domain, region); hosts are assigned to them in turn.
DOMAINS = (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"))
START_TIMEOUT_S = 30.0
SEGMENT_TIMEOUT_S = 120.0
RESTART_TIMEOUT_S = 30.0
SETTLE_S = 1.0
WARM_UP_S = 2.0
READY_POLL_S = 0.1
SHORT_WORK_MS = 100
LONG_WORK_MS = 4000
# Fraction of the calls that are long work.
LONG_WORK_SHARE = 0.03
LONG_PREFIX = "/long/"
# Loads are fractions of the capacity of a service.
STEADY_LOAD = 0.7
STEADY_SEGMENT_S = 12.0
LONG_SEGMENT_S = 20.0
CREST_LOW_LOAD = 0.5
CREST_PEAK_LOAD = 1.5
CREST_RISE_S = 2.0
CREST_PEAK_S = 4.0
CREST_LOW_S = 2.0
CREST_TIMEOUT_MS = 1000
STEADY_TIMEOUT_MS = 30_000
# The straggler takes this many times as long for the first part of each period.
SLOWDOWN_FACTOR = 5
SLOW_PHASE_S = 0.5
SLOW_PERIOD_S = 2.0
FAIL_STATUS = 500
FAIL_RATE_PER_S = 100.0
FAIL_SEGMENT_S = 6.0
# Numbers of services that call each other in a chain.
CHAIN_DEPTHS = (2, 4, 8)
CHAIN_HOST_COUNT = 8
CHAIN_RATE_PER_S = 40.0
RESTART_LOAD = 0.4
# Error kinds of calls refused by limits or admission; all other kinds count as failures.
REFUSAL_KINDS = frozenset(
    {"slots_full", "queue_full", "deadline_too_short", "rate_limited", "concurrency_limited"}
)


@dataclass(frozen=True, slots=True)
class Service:
    """A service of a deployment: the number of its targets, one per host, and of their slots."""

    name: str
    targets: int
    slots: int

    @property
    def capacity(self) -> float:
        """Calls of short work per second that the slots can serve."""
        return self.targets * self.slots * 1000 / SHORT_WORK_MS


DEPLOYMENTS: Mapping[str, tuple[Service, ...]] = {
    "association": (Service("portal", 7, 12), Service("warehouse", 4, 12)),
    "cooperativa": (Service("commissions", 8, 9), Service("workshop", 4, 9)),
}


@dataclass(frozen=True, slots=True)
class Columns:
    """Values that a scenario sets in every row of the table."""

    timeout_ms: int = STEADY_TIMEOUT_MS
    long_prefixes: str = ""
    hedge_ms: int = 0


@dataclass(frozen=True, slots=True)
class Load:
    """Open-loop load of one segment: Poisson arrivals at a fraction of the capacity of a service.

    Parameters
    ----------
    name : str
        Name of the segment.
    duration_s : float
        Length of the load.
    load_at : callable
        Fraction of the capacity, as a function of the seconds since the start.
    seed : str
        Seed of the arrivals.
    long_share : float
        Fraction of the calls that are long work.
    post_share : float
        Fraction of the calls that are POST requests, which may not be repeated.
    """

    name: str
    duration_s: float
    load_at: Callable[[float], float]
    seed: str
    long_share: float = 0.0
    post_share: float = 0.0


@dataclass(slots=True)
class Segment:
    """Results by service of one segment, the part of a scenario with one load."""

    name: str
    results_by_service: dict[str, list[CallResult]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RunKey:
    """Identifies one load under one policy."""

    scenario: str
    policy: str
    repetition: int
    segment: str


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one service under one load.

    Calls of the warm-up are counted only in the last three fields and for amplification.

    Parameters
    ----------
    key : RunKey
        The load.
    service : str
        The service.
    offered : int
        Calls that were sent.
    runs_per_call : float
        Executions by targets per call.
    goodput_per_s : float
        Successful calls per second.
    capacity_per_s : float
        Calls of short work per second that the slots can serve.
    p50_ms, p99_ms, p999_ms : float
        Percentiles of the latency of successful short work.
    caller_late_p99_ms : float
        99th percentile of the delay with which the caller sent its calls.
    refusals_by_kind, failed_by_kind : mapping
        Unsuccessful calls by kind, for the kinds in `REFUSAL_KINDS` and for all others.
    not_run_but_ran : int
        Calls reported as not run that a target ran.
    post_run_twice, get_run_twice : int
        Calls that targets ran more than once.
    """

    key: RunKey
    service: str
    offered: int
    runs_per_call: float
    goodput_per_s: float = 0.0
    capacity_per_s: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    p999_ms: float = 0.0
    caller_late_p99_ms: float = 0.0
    refusals_by_kind: Mapping[str, int] = field(default_factory=dict)
    failed_by_kind: Mapping[str, int] = field(default_factory=dict)
    not_run_but_ran: int = 0
    post_run_twice: int = 0
    get_run_twice: int = 0


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return a percentile; 0 when there is no value."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def crest_load(at_s: float) -> float:
    """Return the load of the crest scenario as a fraction of the capacity.

    It is low, rises, stays at the peak, falls and is low again.
    """
    since_rise_s = at_s - CREST_LOW_S
    until_low_s = CREST_LOW_S + 2 * CREST_RISE_S + CREST_PEAK_S - at_s
    rise_fraction = min(1.0, max(0.0, min(since_rise_s, until_low_s) / CREST_RISE_S))
    return CREST_LOW_LOAD + (CREST_PEAK_LOAD - CREST_LOW_LOAD) * rise_fraction


def steady_load(at_s: float) -> float:
    """Return the constant load of the steady segments."""
    return STEADY_LOAD


class Testbed:
    """A fleet whose nodes use one policy, with callers.

    Parameters
    ----------
    policy : str
        Policy of the ingresses.
    services : sequence of Service
        Services; each target gets its own host with a node.
    columns : Columns
        Values for every row of the table.
    directory : Path
        Directory of logs and journals.
    """

    def __init__(
        self, policy: str, services: Sequence[Service], columns: Columns, directory: Path
    ) -> None:
        self.policy = policy
        self.services = services
        self.fleet = Fleet(directory)
        self.specs: list[NodeSpec] = []
        self.service_by_host: dict[str, Service] = {}
        self._columns = columns
        self._callers: dict[str, Caller] = {}
        self._unready_hosts: set[str] = set()

    async def start(self) -> None:
        """Start all processes and wait until every node can route to every target."""
        self.fleet.start_store()
        self._import_table()
        for service in self.services:
            for _ in range(service.targets):
                domain, region = DOMAINS[len(self.specs) % len(DOMAINS)]
                spec = new_node_spec(f"host-{len(self.specs)}", domain, region)
                self.specs.append(spec)
                self.service_by_host[spec.node_id] = service
                self.start_node(spec)
                self.start_target(spec)
        ready = await asyncio.to_thread(
            wait_until, lambda: all(map(self.can_route, self.specs)), START_TIMEOUT_S
        )
        if ready is None:
            raise RuntimeError(f"fleet not ready after {START_TIMEOUT_S} s: {self.fleet.directory}")
        for spec in self.specs:
            self._callers[spec.node_id] = caller = Caller(spec.caller)
            await caller.start()
        await asyncio.sleep(SETTLE_S)

    async def close(self) -> Mapping[str, int | None]:
        """End all processes and return their exit codes."""
        for caller in self._callers.values():
            await caller.close()
        return await self.fleet.close()

    def start_node(self, spec: NodeSpec) -> None:
        """Start the node of a host."""
        if self.policy.startswith(JAYPOST):
            self.fleet.start_node(spec, ["--raise-on-violation", "true"])
        else:
            flags = ["--policy", self.policy]
            self.fleet.start_node(spec, flags, module="bench.baselines")

    def start_target(self, spec: NodeSpec, drain_s: float = 4.0) -> None:
        """Start the target of a host."""
        service = self.service_by_host[spec.node_id]
        self.fleet.start_target(
            self.target_id(spec),
            service.name,
            spec.node_id,
            service.slots,
            ["--drain-s", str(drain_s)],
        )

    @staticmethod
    def target_id(spec: NodeSpec) -> str:
        """Return the id of the target of a host."""
        return f"target-of-{spec.node_id}"

    def target_address(self, spec: NodeSpec) -> Address:
        """Return the address at which the target of a host listens, as read from its log."""
        log = (self.fleet.directory / f"{self.target_id(spec)}.log").read_text()
        return Address("127.0.0.1", int(re.findall(r"listening port=(\d+)", log)[-1]))

    def can_route(self, spec: NodeSpec) -> bool:
        """Tell whether a node is ready and knows all targets."""
        if http_request("GET", spec.admin, "/readyz")[0] != 200:
            return False
        known = [http_json(spec.admin, f"/explain/{service.name}") for service in self.services]
        counts = [len(found["targets"]) if found else 0 for found in known]
        return counts == [service.targets for service in self.services]

    def set_behaviour(self, specs: Iterable[NodeSpec], **values: object) -> None:
        """Replace the behaviour of targets."""
        for spec in specs:
            body = json.dumps(values).encode()
            status, _ = http_request("PUT", self.target_address(spec), "/behaviour", body)
            if status != 200:
                raise RuntimeError(f"behaviour of {self.target_id(spec)} not set: {status}")

    async def offer(self, load: Load) -> Segment:
        """Send the load to all ready nodes and wait for every result."""
        rng = random.Random(load.seed)
        segment = Segment(load.name, {service.name: [] for service in self.services})
        mean_ms = SHORT_WORK_MS + load.long_share * (LONG_WORK_MS - SHORT_WORK_MS)
        started = time.monotonic()
        sends = [
            self._offer_service(service, load, random.Random(rng.random()), mean_ms, started)
            for service in self.services
        ]
        async with asyncio.timeout(SEGMENT_TIMEOUT_S):
            ids_by_service = await asyncio.gather(*sends)
            for caller in self._callers.values():
                await caller.wait_idle()
        for service, ids in zip(self.services, ids_by_service, strict=True):
            segment.results_by_service[service.name] = self._results_since(ids, started)
        return segment

    async def _offer_service(
        self, service: Service, load: Load, rng: random.Random, mean_ms: float, started: float
    ) -> set[str]:
        # Arrivals are drawn at the peak rate and thinned to the load at their time.
        peak_per_s = CREST_PEAK_LOAD * service.capacity * SHORT_WORK_MS / mean_ms
        ids: set[str] = set()
        at_s = 0.0
        while (at_s := at_s + rng.expovariate(peak_per_s)) < load.duration_s:
            is_sent = rng.random() * CREST_PEAK_LOAD < load.load_at(at_s)
            long_work, post = rng.random() < load.long_share, rng.random() < load.post_share
            host_fraction = rng.random()
            if not is_sent:
                continue
            delay_s = started + at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            path = LONG_PREFIX + str(LONG_WORK_MS) if long_work else f"/work/{SHORT_WORK_MS}"
            plan = CallPlan(service.name, "POST" if post else "GET", path)
            ids.add(self._pick_caller(host_fraction).send(plan, started + at_s))
        return ids

    def _pick_caller(self, host_fraction: float) -> Caller:
        names = [name for name in self._callers if name not in self._unready_hosts]
        return self._callers[names[int(host_fraction * len(names))]]

    def _results_since(self, ids: set[str], started: float) -> list[CallResult]:
        """Return the results of calls, with `at_s` counted from the start of the segment."""
        return [
            replace(result, at_s=result.at_s + caller.started_at - started)
            for caller in self._callers.values()
            for result in caller.results
            if result.request_id in ids
        ]

    async def send_path(self, service: str, path: str, rate: float, duration_s: float) -> int:
        """Send calls of one path, spread evenly over the nodes, and return their number.

        `rate` is the number of calls per second to all nodes together.
        """
        callers = list(self._callers.values())
        sends = [
            caller.run([CallPlan(service, path=path)], rate / len(callers), duration_s)
            for caller in callers
        ]
        async with asyncio.timeout(SEGMENT_TIMEOUT_S):
            await asyncio.gather(*sends)
        return int(rate / len(callers) * duration_s) * len(callers)

    async def track_readiness(self) -> None:
        """Exclude nodes that are not ready from new calls, as a load balancer does."""
        while True:
            for spec in self.specs:
                status, _ = await asyncio.to_thread(http_request, "GET", spec.admin, "/readyz")
                if status == 200:
                    self._unready_hosts.discard(spec.node_id)
                else:
                    self._unready_hosts.add(spec.node_id)
            await asyncio.sleep(READY_POLL_S)

    def runs(self) -> Counter[str]:
        """Count the executions of each request id by the targets."""
        return Counter(entry["request_id"] for entry in self._run_entries())

    def runs_by_path(self) -> Counter[str]:
        """Count the executions of each path by the targets."""
        return Counter(entry["path"] for entry in self._run_entries())

    def _run_entries(self) -> Iterable[Mapping[str, str]]:
        for path in self.fleet.directory.glob("*.journal"):
            for line in path.read_text().splitlines():
                entry = json.loads(line)
                if not entry["end"]:
                    yield entry

    def _import_table(self) -> None:
        columns = self._columns
        lines = ["service,timeout_ms,long_prefixes,hedge_ms"]
        lines += [
            f"{service.name},{columns.timeout_ms},{columns.long_prefixes},{columns.hedge_ms}"
            for service in self.services
        ]
        path = self.fleet.directory / "table.csv"
        path.write_text("\n".join(lines) + "\n")
        wait_until(lambda: http_json(self.fleet.store_address, "/v1/stats") is not None, 10.0)
        environment = {"JAYPOST_STORE": str(self.fleet.store_address), "JAYPOST_AUTHOR": "bench"}
        command = [sys.executable, "-m", "jaypost.cli", "table", "import", str(path)]
        subprocess.run(command, env=environment, check=True, capture_output=True)


class Bench:
    """Runs the scenarios and collects their figures."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._services = DEPLOYMENTS[arguments.deployment]
        self.figures: list[Figures] = []

    async def run(self, scenario: str) -> None:
        """Run all repetitions of one scenario."""
        for repetition in range(self._arguments.repetitions):
            await RUN_BY_SCENARIO[scenario](self, repetition)

    async def crest(self, repetition: int) -> None:
        """Measure the service while the load rises above the capacity and falls again."""
        duration_s = 2 * (CREST_LOW_S + CREST_RISE_S) + CREST_PEAK_S
        load = Load("crest", duration_s, crest_load, self._seed("crest", repetition))
        for policy in self._arguments.policy:
            testbed = self._make_testbed("crest", policy, repetition, Columns(CREST_TIMEOUT_MS))
            await self._measure(testbed, "crest", repetition, [load])

    async def long_work(self, repetition: int) -> None:
        """Measure short work mixed with long work, and the same rate of short work alone."""
        seed = self._seed("long", repetition)
        mean_work_factor = 1 + LONG_WORK_SHARE * (LONG_WORK_MS / SHORT_WORK_MS - 1)
        short_only_load = STEADY_LOAD * (1 - LONG_WORK_SHARE) / mean_work_factor
        loads = [
            Load("short-only", LONG_SEGMENT_S, lambda at_s: short_only_load, seed),
            Load("steady", STEADY_SEGMENT_S, steady_load, seed),
            Load("long", LONG_SEGMENT_S, steady_load, seed, long_share=LONG_WORK_SHARE),
        ]
        for policy in self._arguments.policy:
            testbed = self._make_testbed(
                "long", policy, repetition, Columns(long_prefixes=LONG_PREFIX)
            )
            await self._measure(testbed, "long", repetition, loads)

    async def straggler(self, repetition: int) -> None:
        """Measure short work while one target of each service is periodically slow."""
        seed = self._seed("straggler", repetition)
        policies = [*self._arguments.policy]
        if self._arguments.hedge_ms and JAYPOST in policies:
            policies.append(f"{JAYPOST}-hedged")
        for policy in policies:
            hedge_ms = self._arguments.hedge_ms if policy.endswith("-hedged") else 0
            testbed = self._make_testbed(
                "straggler", policy, repetition, Columns(hedge_ms=hedge_ms)
            )
            loads = [
                Load("steady", STEADY_SEGMENT_S, steady_load, seed),
                Load("straggler", STEADY_SEGMENT_S, steady_load, seed),
            ]
            await self._measure(testbed, "straggler", repetition, loads)

    async def amplification(self, repetition: int) -> None:
        """Count the executions per call while every target fails, also through chains of services.

        The targets of a chain either pass on the headers that prevent nested retries or drop them.
        """
        for depth in (1, *CHAIN_DEPTHS):
            names = [f"level-{number}" for number in range(depth)]
            services = [Service(name, max(1, CHAIN_HOST_COUNT // depth), 12) for name in names]
            for pass_control in (True, False) if depth > 1 else (True,):
                segment = f"depth {depth}, headers {'passed on' if pass_control else 'dropped'}"
                directory = self._directory("amplification", f"{depth}-{pass_control}", repetition)
                testbed = Testbed(JAYPOST, services, Columns(), directory)
                await self._amplify(testbed, segment, names, pass_control, repetition)

    async def _amplify(
        self, testbed: Testbed, segment: str, names: list[str], pass_control: bool, repetition: int
    ) -> None:
        path = f"/chain/{','.join(names[1:])}/0" if len(names) > 1 else "/work/0"
        rate = CHAIN_RATE_PER_S if len(names) > 1 else FAIL_RATE_PER_S
        try:
            await testbed.start()
            testbed.set_behaviour(testbed.specs, fail_status=FAIL_STATUS, pass_control=pass_control)
            offered = await testbed.send_path(names[0], path, rate, FAIL_SEGMENT_S)
        finally:
            await testbed.close()
        runs = testbed.runs_by_path()
        for level, name in enumerate(names):
            rest = names[level + 1 :]
            level_path = f"/chain/{','.join(rest)}/0" if rest else "/work/0"
            key = RunKey("amplification", JAYPOST, repetition, segment)
            self._add(Figures(key, name, offered, runs[level_path] / offered))

    async def restart(self, repetition: int) -> None:
        """Restart every node, then every target, under load."""
        testbed = self._make_testbed("restart", JAYPOST, repetition, Columns(10_000))
        stop = asyncio.Event()
        restart_load = RESTART_LOAD

        def load_until_stop(at_s: float) -> float:
            return 0.0 if stop.is_set() else restart_load

        seed = self._seed("restart", repetition)
        await testbed.start()
        try:
            readiness_task = asyncio.create_task(testbed.track_readiness())
            load = Load("restart", SEGMENT_TIMEOUT_S - 10, load_until_stop, seed, post_share=0.5)
            load_task = asyncio.create_task(testbed.offer(load))
            exit_codes = await _restart_all(testbed)
            await asyncio.sleep(SETTLE_S)
            stop.set()
            segment = await load_task
            readiness_task.cancel()
        finally:
            await testbed.close()
        print(f"restart: exit codes {dict(Counter(exit_codes))}", flush=True)
        self._add_segment(testbed, "restart", repetition, segment)

    async def _measure(
        self, testbed: Testbed, scenario: str, repetition: int, loads: Sequence[Load]
    ) -> None:
        segments = []
        try:
            await testbed.start()
            for load in loads:
                slow = (
                    asyncio.create_task(_slow_down(testbed)) if load.name == "straggler" else None
                )
                segments.append(await testbed.offer(load))
                if slow is not None:
                    slow.cancel()
                    await asyncio.gather(slow, return_exceptions=True)
        finally:
            await testbed.close()
        for segment in segments:
            self._add_segment(testbed, scenario, repetition, segment)

    def _add_segment(
        self, testbed: Testbed, scenario: str, repetition: int, segment: Segment
    ) -> None:
        runs = testbed.runs()
        for service in testbed.services:
            results = segment.results_by_service[service.name]
            key = RunKey(scenario, testbed.policy, repetition, segment.name)
            self._add(_figures(key, service, results, runs))

    def compare(self) -> None:
        """Print the 99th percentile of each disturbed segment as a multiple of its references'."""
        p99_by_load = {(item.key, item.service): item.p99_ms for item in self.figures}
        for (key, service), p99_ms in p99_by_load.items():
            for reference in REFERENCES_BY_SEGMENT.get(key.segment, ()):
                reference_ms = p99_by_load.get((replace(key, segment=reference), service))
                if reference_ms:
                    print(
                        f"{key.policy:15} {service:11} repetition {key.repetition}: 99th percentile"
                        f" of {key.segment} is {p99_ms / reference_ms:.2f} times {reference}"
                        f" (goal: at most {MAX_P99_RATIO})"
                    )

    def _add(self, figures: Figures) -> None:
        self.figures.append(figures)
        print(_line(figures), flush=True)

    def _make_testbed(
        self, scenario: str, policy: str, repetition: int, columns: Columns
    ) -> Testbed:
        directory = self._directory(scenario, policy, repetition)
        return Testbed(policy, self._services, columns, directory)

    def _directory(self, scenario: str, name: str, repetition: int) -> Path:
        directory: Path = self._arguments.directory
        return directory / f"{scenario}-{name}-{repetition}"

    def _seed(self, scenario: str, repetition: int) -> str:
        return f"{self._arguments.seed}-{scenario}-{repetition}"


async def _slow_down(testbed: Testbed) -> None:
    """Make the first target of each service slow for a part of each period, until cancelled."""
    slow = [
        next(spec for spec in testbed.specs if testbed.service_by_host[spec.node_id] is service)
        for service in testbed.services
    ]
    extra_ms = SHORT_WORK_MS * (SLOWDOWN_FACTOR - 1)
    while True:
        started = time.monotonic()
        await asyncio.to_thread(testbed.set_behaviour, slow, slow_ms=extra_ms)
        await asyncio.sleep(started + SLOW_PHASE_S - time.monotonic())
        await asyncio.to_thread(testbed.set_behaviour, slow, slow_ms=0)
        await asyncio.sleep(started + SLOW_PERIOD_S - time.monotonic())


async def _restart_all(testbed: Testbed) -> list[int | None]:
    """Restart the nodes, then the targets, one host of each service at a time.

    Returns
    -------
    list of int or None
        Exit codes; None for a process that did not exit in time.
    """
    hosts_by_service = [
        [spec for spec in testbed.specs if testbed.service_by_host[spec.node_id] is service]
        for service in testbed.services
    ]
    exit_codes: list[int | None] = []
    for restart in (_restart_node, _restart_target):
        for number in range(max(map(len, hosts_by_service))):
            hosts = [hosts[number] for hosts in hosts_by_service if number < len(hosts)]
            exit_codes += await asyncio.gather(*(restart(testbed, host) for host in hosts))
    return exit_codes


async def _restart_node(testbed: Testbed, spec: NodeSpec) -> int | None:
    code = await asyncio.to_thread(testbed.fleet.process_by_name[spec.node_id].stop)
    testbed.start_node(spec)
    await asyncio.to_thread(wait_until, lambda: testbed.can_route(spec), RESTART_TIMEOUT_S)
    return code


async def _restart_target(testbed: Testbed, spec: NodeSpec) -> int | None:
    code = await asyncio.to_thread(testbed.fleet.process_by_name[testbed.target_id(spec)].stop)
    testbed.start_target(spec)
    await asyncio.to_thread(wait_until, lambda: testbed.can_route(spec), RESTART_TIMEOUT_S)
    return code


def _figures(
    key: RunKey, service: Service, results: Sequence[CallResult], runs: Counter[str]
) -> Figures:
    counted = [result for result in results if result.at_s >= WARM_UP_S]
    good = [result for result in counted if result.status == 200 and result.complete]
    short_s = [result.latency_s for result in good if not result.path.startswith(LONG_PREFIX)]
    bad = [result for result in counted if result.status != 200 or not result.complete]
    count_by_kind = Counter(_failure_kind(result) for result in bad)
    return Figures(
        key,
        service.name,
        len(counted),
        sum(runs[result.request_id] for result in counted) / max(1, len(counted)),
        _goodput(good, key.scenario),
        service.capacity,
        1000 * percentile(short_s, 0.5),
        1000 * percentile(short_s, 0.99),
        1000 * percentile(short_s, 0.999),
        1000 * percentile((result.late_s for result in counted), 0.99),
        {kind: count for kind, count in count_by_kind.items() if kind in REFUSAL_KINDS},
        {kind: count for kind, count in count_by_kind.items() if kind not in REFUSAL_KINDS},
        sum(runs[result.request_id] > 0 for result in results if result.run == "not-run"),
        sum(runs[result.request_id] > 1 for result in results if result.method == "POST"),
        sum(runs[result.request_id] > 1 for result in results if result.method != "POST"),
    )


def _failure_kind(result: CallResult) -> str:
    if result.error:
        return result.error
    return "cut" if not result.complete else f"status {result.status}"


def _goodput(good: Sequence[CallResult], scenario: str) -> float:
    """Return the successful calls per second; for the crest scenario, during the peak only."""
    ends_s = [result.at_s + result.late_s + result.latency_s for result in good]
    start_s, end_s = WARM_UP_S, max(ends_s, default=WARM_UP_S + 1.0)
    if scenario == "crest":
        start_s = CREST_LOW_S + CREST_RISE_S
        end_s = start_s + CREST_PEAK_S
    return sum(start_s <= at_s < end_s for at_s in ends_s) / (end_s - start_s)


# For each segment with a disturbance, the segments without it.
REFERENCES_BY_SEGMENT = {"long": ("short-only", "steady"), "straggler": ("steady",)}
# Goal for the 99th percentile of a disturbed segment, as a multiple of that of a reference.
MAX_P99_RATIO = 1.5
HEADINGS = (
    f"{'policy':15} {'segment':28} {'service':11} {'calls':>6} {'good/s':>7} {'p50':>6} {'p99':>6}"
    f" {'p99.9':>6} {'late':>5} {'runs':>6}"
    " refused / failed / not run but ran / POST run twice / GET run twice"
)


def _line(figures: Figures) -> str:
    key = figures.key
    return (
        f"{key.policy:15} {key.segment:28} {figures.service:11} {figures.offered:6}"
        f" {figures.goodput_per_s:7.1f} {figures.p50_ms:6.1f} {figures.p99_ms:6.1f}"
        f" {figures.p999_ms:6.1f} {figures.caller_late_p99_ms:5.1f} {figures.runs_per_call:6.3f}"
        f" {dict(figures.refusals_by_kind)} / {dict(figures.failed_by_kind)}"
        f" / {figures.not_run_but_ran} / {figures.post_run_twice} / {figures.get_run_twice}"
    )


RUN_BY_SCENARIO = {
    "crest": Bench.crest,
    "long": Bench.long_work,
    "straggler": Bench.straggler,
    "amplification": Bench.amplification,
    "restart": Bench.restart,
}


def main() -> None:
    """Run the chosen scenarios and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("scenario", choices=[*RUN_BY_SCENARIO, "all"])
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), default="association")
    parser.add_argument("--policy", action="append", choices=POLICIES, help="default: all")
    parser.add_argument("--repetitions", type=int, default=1)
    parser.add_argument(
        "--hedge-ms",
        type=int,
        default=200,
        help="hedge delay of the hedged variant of straggler; 0: none",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--directory", type=Path, help="for logs and journals; default: temporary")
    parser.add_argument("--json", type=Path, help="file to write the figures to")
    arguments = parser.parse_args()
    arguments.policy = arguments.policy or list(POLICIES)
    arguments.directory = arguments.directory or Path(tempfile.mkdtemp(prefix="jaypost-service-"))
    print(f"seed {arguments.seed}, {arguments.deployment}, logs in {arguments.directory}")
    bench = Bench(arguments)
    scenarios = RUN_BY_SCENARIO if arguments.scenario == "all" else [arguments.scenario]
    for scenario in scenarios:
        print(f"--- {scenario}; latencies in ms\n{HEADINGS}", flush=True)
        uvloop.run(bench.run(scenario))
        if arguments.json:
            content: dict[str, object] = {
                "seed": arguments.seed,
                "deployment": arguments.deployment,
                "figures": [asdict(item) for item in bench.figures],
            }
            arguments.json.write_text(json.dumps(content, indent=1))
    bench.compare()


if __name__ == "__main__":
    main()
