"""Compares the decisions of the request path with two baseline policies by simulation.

Run ``python -m bench.policies`` for the whole comparison; ``--help`` lists the options that select
parts of it. The policy "jaypost" runs the placement, retry and admission code of a node; the
network, the work of the targets and the clock are simulated.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace

from jaypost.admission import (
    Admission,
    Admit,
    Admitted,
    CallClass,
    Decision,
    LongWorkClassifier,
    Queued,
    Refused,
    Release,
    SetTargets,
)
from jaypost.errors import ErrorKind
from jaypost.health import TargetHealth
from jaypost.placement import (
    AttemptEnded,
    AttemptStarted,
    ChooseTarget,
    NoTarget,
    Placement,
)
from jaypost.records import Address, Load, PlacedTarget, Row, Spill, Target, TargetState
from jaypost.retries import Retry, RetryPolicy, RetryQuery

# (targets, slots per target) of the services.
TARGETS_AND_SLOTS = ((7, 12), (4, 12), (8, 9), (4, 9))
INGRESS_COUNTS = (8, 110, 800)
POLICIES = ("round-robin", "two-choices", "jaypost")
MEAN_SHORT_WORK_S = 0.02
# Shape of the gamma distribution of the work of a request.
WORK_GAMMA_SHAPE = 4.0
# Network delay between an ingress and a target, each way.
HOP_DELAY_S = 0.0005
SHORT_DEADLINE_S = 1.0
TIGHT_DEADLINE_S = 0.1
LONG_DEADLINE_S = 30.0
# Fraction of the requests that are long work.
LONG_WORK_SHARE = 0.03
# Mean long work as a multiple of mean short work.
LONG_WORK_FACTOR = 40.0
# The straggler works slower by this factor for the first part of each period.
STRAGGLER_SLOWDOWN = 5.0
STRAGGLER_PERIOD_S = 2.0
STRAGGLER_SLOW_PHASE_S = 0.5
# Load reports of the targets of the baselines: interval, and delay in the straggler scenario.
REPORT_INTERVAL_S = 0.1
DELAYED_REPORT_S = 1.0
WARM_UP_S = 1.0
LONG_PATH = "/long/1"
SHORT_PATH = "/short/1"


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run: a policy, a service and a load.

    Parameters
    ----------
    policy : str
        One of `POLICIES`.
    targets, slots : int
        Targets of the service and slots of each target.
    ingresses : int
        Number of ingress nodes.
    name : str
        Name of the scenario.
    seed : int
        Seed of the arrivals and of the policy.
    duration_s : float
        Time during which requests arrive.
    load : float
        Offered load as a fraction of the capacity.
    crest : bool
        Whether the load rises from 0.5 to a peak of 1.5 and falls back, instead of staying at
        `load`.
    long_work : bool
        Whether some of the requests are long work.
    long_declared : bool
        Whether the row declares the path prefix of long work.
    straggler : bool
        Whether the first target is periodically slow.
    report_delay_s : float
        Delay of the load reports that the baselines use.
    deadline_s : float
        Time allowed for short work.
    """

    policy: str
    targets: int
    slots: int
    ingresses: int
    name: str
    seed: int
    duration_s: float = 10.0
    load: float = 0.7
    crest: bool = False
    long_work: bool = False
    long_declared: bool = True
    straggler: bool = False
    report_delay_s: float = 0.0
    deadline_s: float = SHORT_DEADLINE_S

    def load_at(self, now: float) -> float:
        """Return the offered load as a fraction of the capacity."""
        if not self.crest:
            return self.load
        rise_s = 2.0
        start_s = self.duration_s / 2 - rise_s
        distance = abs(now - start_s - rise_s) / rise_s
        return 0.5 + max(0.0, 1.0 - distance)


@dataclass(frozen=True, slots=True)
class RunKey:
    """Identifies one run of the comparison."""

    policy: str
    targets: int
    ingresses: int
    name: str


@dataclass(slots=True)
class Request:
    """A request of a caller; times are those of the simulated clock."""

    number: int
    ingress: int
    work_s: float
    long: bool
    arrived_at: float
    deadline: float
    attempts: int = 0
    tried: set[str] = field(default_factory=set)

    @property
    def path(self) -> str:
        """Path of the request."""
        return LONG_PATH if self.long else SHORT_PATH


@dataclass(slots=True)
class Figures:
    """Results of a run, without the requests that arrived during the warm-up.

    Parameters
    ----------
    offered : int
        Requests that arrived.
    good, late : int
        Requests answered within and after their deadline.
    refused : int
        Requests that were refused or whose deadline passed before they were run.
    attempts : int
        Attempts of all requests.
    short_latencies_s : list of float
        Latencies of answered short work in seconds.
    refusals_by_kind : Counter
        Refused requests by error kind.
    """

    offered: int = 0
    good: int = 0
    refused: int = 0
    late: int = 0
    attempts: int = 0
    short_latencies_s: list[float] = field(default_factory=list)
    refusals_by_kind: Counter[str] = field(default_factory=Counter)

    def percentile_ms(self, fraction: float) -> float:
        """Return a percentile of the latency of answered short work in milliseconds."""
        ordered = sorted(self.short_latencies_s)
        return 1000 * ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class Simulation:
    """Event loop with a simulated clock, the arrivals and the results, for all policies."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.arrivals_rng = random.Random(scenario.seed)
        self.rng = random.Random(scenario.seed + 1)
        self.figures = Figures()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count()

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, policy: Policy) -> Figures:
        """Run the scenario to its end."""
        self.schedule(0.0, lambda: self._on_arrival(policy))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.figures

    def service_end(self, target: int, work_s: float) -> float:
        """Return the time when a target finishes work that it starts now.

        Target 0 is the straggler, if the scenario has one.
        """
        if not self.scenario.straggler or target != 0:
            return self.now + work_s
        when, remaining_work_s = self.now, work_s
        while True:
            phase = when % STRAGGLER_PERIOD_S
            slow = phase < STRAGGLER_SLOW_PHASE_S
            # The small term makes the next step start after the phase boundary despite rounding.
            phase_remaining_s = (
                (STRAGGLER_SLOW_PHASE_S if slow else STRAGGLER_PERIOD_S) - phase + 1e-9
            )
            speed = 1 / STRAGGLER_SLOWDOWN if slow else 1.0
            if remaining_work_s <= phase_remaining_s * speed:
                return when + remaining_work_s / speed
            remaining_work_s -= phase_remaining_s * speed
            when += phase_remaining_s

    def record_answer(self, request: Request) -> None:
        """Count an answer that arrived at the ingress."""
        if request.arrived_at < WARM_UP_S:
            return
        self.figures.attempts += request.attempts
        if self.now > request.deadline:
            self.figures.late += 1
        else:
            self.figures.good += 1
        if not request.long:
            self.figures.short_latencies_s.append(self.now - request.arrived_at)

    def record_refusal(self, request: Request, kind: str) -> None:
        """Count a request that was not run."""
        if request.arrived_at < WARM_UP_S:
            return
        self.figures.attempts += request.attempts
        self.figures.refused += 1
        self.figures.refusals_by_kind[kind] += 1

    def _on_arrival(self, policy: Policy) -> None:
        scenario = self.scenario
        if self.now >= scenario.duration_s:
            return
        long = scenario.long_work and self.arrivals_rng.random() < LONG_WORK_SHARE
        work_s = self.arrivals_rng.gammavariate(
            WORK_GAMMA_SHAPE, MEAN_SHORT_WORK_S / WORK_GAMMA_SHAPE
        )
        time_limit_s = LONG_DEADLINE_S if long else scenario.deadline_s
        request = Request(
            next(self._numbers),
            self.arrivals_rng.randrange(scenario.ingresses),
            work_s * (LONG_WORK_FACTOR if long else 1.0),
            long,
            self.now,
            self.now + time_limit_s,
        )
        if self.now >= WARM_UP_S:
            self.figures.offered += 1
        policy.start(request)
        self.schedule(
            self.now + self.arrivals_rng.expovariate(self._rate()), lambda: self._on_arrival(policy)
        )

    def _rate(self) -> float:
        scenario = self.scenario
        mean_work_factor = (
            1.0 + LONG_WORK_SHARE * (LONG_WORK_FACTOR - 1.0) if scenario.long_work else 1.0
        )
        capacity = scenario.targets * scenario.slots / (MEAN_SHORT_WORK_S * mean_work_factor)
        return scenario.load_at(self.now) * capacity


class Policy:
    """Decides how requests reach the slots of the targets."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation

    def start(self, request: Request) -> None:
        """Begin the first attempt of a request."""
        raise NotImplementedError


class FifoTarget:
    """A target with a bounded FIFO queue, for the baselines."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.busy = 0
        self.queue: deque[Request] = deque()
        # Time and value of each load report.
        self.reports: deque[tuple[float, int]] = deque([(0.0, 0)])

    @property
    def load(self) -> int:
        """Number of requests in slots and in the queue."""
        return self.busy + len(self.queue)


class Baseline(Policy):
    """Chooses targets at the ingress, lets targets queue, and retries rejected attempts."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        scenario = simulation.scenario
        self._row = Row("bench")
        self.targets = [
            FifoTarget(scenario.slots, self._row.queue_limit) for _ in range(scenario.targets)
        ]
        self.in_flight = [[0] * scenario.targets for _ in range(scenario.ingresses)]
        simulation.schedule(0.0, self._report)

    def pick(self, request: Request) -> int:
        """Return the index of the target of the next attempt."""
        raise NotImplementedError

    def start(self, request: Request) -> None:
        """Begin the next attempt of a request."""
        index = self.pick(request)
        request.attempts += 1
        request.tried.add(str(index))
        self.in_flight[request.ingress][index] += 1
        self.simulation.schedule(
            self.simulation.now + HOP_DELAY_S, lambda: self._arrive_at_target(request, index)
        )

    def reported_load(self, index: int) -> int:
        """Return the load of a target in its newest report that has reached the ingresses."""
        reports = self.targets[index].reports
        visible_until = self.simulation.now - self.simulation.scenario.report_delay_s
        while len(reports) > 1 and reports[1][0] <= visible_until:
            reports.popleft()
        return reports[0][1]

    def _report(self) -> None:
        now = self.simulation.now
        for target in self.targets:
            target.reports.append((now, target.load))
        if now < self.simulation.scenario.duration_s:
            self.simulation.schedule(now + REPORT_INTERVAL_S, self._report)

    def _arrive_at_target(self, request: Request, index: int) -> None:
        target = self.targets[index]
        if target.busy < target.slots:
            self._start_work(request, index)
        elif len(target.queue) < target.queue_limit:
            target.queue.append(request)
        else:
            self.simulation.schedule(
                self.simulation.now + HOP_DELAY_S, lambda: self._receive_rejection(request, index)
            )

    def _receive_rejection(self, request: Request, index: int) -> None:
        self.in_flight[request.ingress][index] -= 1
        if request.attempts > self._row.retry_limit:
            self.simulation.record_refusal(request, "queue_full")
        else:
            self.start(request)

    def _start_work(self, request: Request, index: int) -> None:
        self.targets[index].busy += 1
        end = self.simulation.service_end(index, request.work_s)
        self.simulation.schedule(end, lambda: self._finish_work(request, index))

    def _finish_work(self, request: Request, index: int) -> None:
        target = self.targets[index]
        target.busy -= 1
        while target.queue and target.busy < target.slots:
            next_request = target.queue.popleft()
            if next_request.deadline > self.simulation.now:
                self._start_work(next_request, index)
            else:
                self._drop_expired(next_request, index)
        self.simulation.schedule(
            self.simulation.now + HOP_DELAY_S, lambda: self._receive_answer(request, index)
        )

    def _drop_expired(self, request: Request, index: int) -> None:
        self.in_flight[request.ingress][index] -= 1
        self.simulation.record_refusal(request, "deadline_exceeded")

    def _receive_answer(self, request: Request, index: int) -> None:
        self.in_flight[request.ingress][index] -= 1
        self.simulation.record_answer(request)


class RoundRobin(Baseline):
    """Each ingress chooses the targets in turn."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        count = simulation.scenario.targets
        self._next = [simulation.rng.randrange(count) for _ in range(simulation.scenario.ingresses)]

    def pick(self, request: Request) -> int:
        """Return the next target in turn."""
        index = self._next[request.ingress]
        self._next[request.ingress] = (index + 1) % len(self.targets)
        return index


class TwoChoices(Baseline):
    """Each ingress chooses the less loaded of two random targets.

    The load is the reported load or the number of requests that the ingress has in flight to the
    target, whichever is greater.
    """

    def pick(self, request: Request) -> int:
        """Return the less loaded of two random targets that were not tried."""
        untried = [n for n in range(len(self.targets)) if str(n) not in request.tried]
        pair = self.simulation.rng.sample(untried, min(2, len(untried)))
        return min(pair, key=lambda index: self._estimated_load(request, index))

    def _estimated_load(self, request: Request, index: int) -> int:
        return max(self.reported_load(index), self.in_flight[request.ingress][index])


@dataclass(slots=True)
class Ingress:
    """Decision objects of one ingress node."""

    placement: Placement
    retries: RetryPolicy
    long_work_classifier: LongWorkClassifier


@dataclass(slots=True)
class Egress:
    """Decision objects of the egress node of one target."""

    admission: Admission
    long_work_classifier: LongWorkClassifier


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at a target.

    Parameters
    ----------
    request : Request
        The request.
    target : PlacedTarget
        The target.
    index : int
        Index of the target.
    long : bool
        Whether the ingress, and later the egress, classifies the request as long work.
    started_at, admitted_at : float
        Simulated times.
    """

    request: Request
    target: PlacedTarget
    index: int
    long: bool
    started_at: float
    admitted_at: float = 0.0


class JaypostPolicy(Policy):
    """Uses the decision objects of a jaypost node."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        scenario = simulation.scenario
        declared_prefixes = ("/long",) if scenario.long_declared else ()
        self.row = Row("bench", long_prefixes=declared_prefixes)
        self.targets = tuple(self._make_target(index) for index in range(scenario.targets))
        self.ingresses = [self._make_ingress() for _ in range(scenario.ingresses)]
        self.egresses = [self._make_egress(placed) for placed in self.targets]
        self.index_by_target_id = {
            placed.target.target_id: index for index, placed in enumerate(self.targets)
        }
        self._attempt_by_ticket: dict[str, Attempt] = {}
        self._tickets = itertools.count()

    def _make_target(self, index: int) -> PlacedTarget:
        slots = self.simulation.scenario.slots
        target = Target(f"t{index}", "bench", 1, slots, TargetState.READY)
        return PlacedTarget(target, f"n{index}", "a", "r", Address("127.0.0.1", 1))

    def _make_ingress(self) -> Ingress:
        rng = random.Random(self.simulation.rng.getrandbits(64))
        return Ingress(
            Placement("a", "r", TargetHealth(), rng),
            RetryPolicy(random.Random(rng.getrandbits(64))),
            LongWorkClassifier(),
        )

    def _make_egress(self, placed: PlacedTarget) -> Egress:
        admission = Admission()
        admission.handle(SetTargets((placed.target,), 0.0))
        return Egress(admission, LongWorkClassifier())

    def start(self, request: Request) -> None:
        """Begin the first attempt of a request."""
        self.ingresses[request.ingress].retries.request_started(
            self.row, self.row.service, self.simulation.now
        )
        self._start_attempt(request)

    def _start_attempt(self, request: Request) -> None:
        now = self.simulation.now
        ingress = self.ingresses[request.ingress]
        long = ingress.long_work_classifier.classify(self.row, request.path) is CallClass.LONG
        request.attempts += 1
        query = ChooseTarget(
            "bench",
            self.targets,
            Spill.ANY,
            frozenset(request.tried),
            request.attempts > self.row.retry_limit,
            now,
            long,
        )
        chosen = ingress.placement.choose(query)
        if isinstance(chosen, NoTarget):
            request.attempts -= 1
            self.simulation.record_refusal(request, chosen.kind)
            return
        target_id = chosen.target.target.target_id
        request.tried.add(target_id)
        ingress.placement.observe(AttemptStarted(target_id, now))
        attempt = Attempt(request, chosen.target, self.index_by_target_id[target_id], long, now)
        self.simulation.schedule(
            now + HOP_DELAY_S, lambda: self._arrive_at_target(attempt, chosen.may_queue)
        )

    def _arrive_at_target(self, attempt: Attempt, may_queue: bool) -> None:
        now = self.simulation.now
        egress = self.egresses[attempt.index]
        ticket = str(next(self._tickets))
        self._attempt_by_ticket[ticket] = attempt
        call_class = egress.long_work_classifier.classify(self.row, attempt.request.path, now)
        if attempt.long:
            call_class = CallClass.LONG
        # The egress sends its classification with the answer, because one ingress among many sees
        # too few requests to classify them by their durations.
        attempt.long = call_class is CallClass.LONG
        admit = Admit(
            ticket,
            attempt.target.target.target_id,
            self.row,
            "",
            call_class,
            attempt.request.deadline,
            may_queue,
            now,
        )
        self._apply(egress.admission.handle(admit))

    def _apply(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            match decision:
                case Admitted(ticket=ticket):
                    self._start_work(ticket)
                case Refused(ticket=ticket, kind=kind, load=load):
                    self._send_result(self._attempt_by_ticket.pop(ticket), kind, load)
                case Queued():
                    pass

    def _start_work(self, ticket: str) -> None:
        attempt = self._attempt_by_ticket[ticket]
        attempt.admitted_at = self.simulation.now
        self.egresses[attempt.index].long_work_classifier.started(
            ticket, "bench", attempt.request.path, attempt.admitted_at
        )
        end = self.simulation.service_end(attempt.index, attempt.request.work_s)
        self.simulation.schedule(end, lambda: self._finish_work(ticket))

    def _finish_work(self, ticket: str) -> None:
        now = self.simulation.now
        attempt = self._attempt_by_ticket.pop(ticket)
        egress = self.egresses[attempt.index]
        duration_s = now - attempt.admitted_at
        egress.long_work_classifier.observe("bench", attempt.request.path, duration_s, ticket)
        decisions = egress.admission.handle(Release(ticket, duration_s, now))
        self._send_result(attempt, None, egress.admission.load(attempt.target.target.target_id))
        self._apply(decisions)

    def _send_result(self, attempt: Attempt, kind: ErrorKind | None, load: Load) -> None:
        self.simulation.schedule(
            self.simulation.now + HOP_DELAY_S, lambda: self._receive_result(attempt, kind, load)
        )

    def _receive_result(self, attempt: Attempt, kind: ErrorKind | None, load: Load) -> None:
        now = self.simulation.now
        request = attempt.request
        ingress = self.ingresses[request.ingress]
        latency_s = now - attempt.started_at
        if kind is None:
            ingress.long_work_classifier.observe("bench", request.path, latency_s)
        status = 200 if kind is None else 503
        ingress.placement.observe(
            AttemptEnded(attempt.target, kind, status, latency_s, load, now, attempt.long)
        )
        if kind is None:
            self.simulation.record_answer(request)
        else:
            self._retry_or_refuse(request, kind)

    def _retry_or_refuse(self, request: Request, kind: ErrorKind) -> None:
        now = self.simulation.now
        failure = RetryQuery(
            self.row,
            self.row.service,
            "GET",
            request.attempts,
            kind,
            503,
            may_have_run=False,
            body_kept=True,
            final=False,
            inside_retry=False,
            remaining_s=request.deadline - now,
            now=now,
        )
        decision = self.ingresses[request.ingress].retries.decide(failure)
        if isinstance(decision, Retry):
            self.simulation.schedule(now + decision.delay_s, lambda: self._start_attempt(request))
        else:
            self.simulation.record_refusal(request, kind)


POLICY_BY_NAME: dict[str, type[Policy]] = {
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "jaypost": JaypostPolicy,
}


def run(scenario: Scenario) -> Figures:
    """Run one scenario."""
    simulation = Simulation(scenario)
    return simulation.run(POLICY_BY_NAME[scenario.policy](simulation))


def scenario_variants(scenario: Scenario) -> list[Scenario]:
    """Return the scenarios to compare for one service and policy.

    The scenario "short-only" has the same rate of short work as "long".
    """
    mean_work_factor = 1.0 + LONG_WORK_SHARE * (LONG_WORK_FACTOR - 1.0)
    short_only_load = scenario.load * (1.0 - LONG_WORK_SHARE) / mean_work_factor
    result = [
        replace(scenario, name="crest", crest=True),
        replace(scenario, name="crest-tight", crest=True, deadline_s=TIGHT_DEADLINE_S),
        replace(scenario, name="steady"),
        replace(scenario, name="short-only", load=short_only_load),
        replace(scenario, name="long", long_work=True),
        replace(scenario, name="straggler", straggler=True, report_delay_s=DELAYED_REPORT_S),
    ]
    if scenario.policy == "jaypost":
        result.append(
            replace(scenario, name="long-undeclared", long_work=True, long_declared=False)
        )
    return result


def format_result(scenario: Scenario, figures: Figures, reference_ms: float) -> str:
    """Return the line of one run.

    `reference_ms` is the 99th percentile of the run without the disturbance; 0 when there is none.
    """
    goodput = figures.good / max(1, figures.offered)
    attempts = figures.attempts / max(1, figures.offered)
    p99 = figures.percentile_ms(0.99)
    ratio = f"{p99 / reference_ms:5.2f}" if reference_ms else "     "
    kinds = ",".join(f"{kind}:{count}" for kind, count in figures.refusals_by_kind.most_common(3))
    return (
        f"{scenario.targets}x{scenario.slots:<3} {scenario.ingresses:4} {scenario.name:16}"
        f" {scenario.policy:12} goodput {goodput:6.4f}  p99 {p99:7.1f} ms"
        f"  p99.9 {figures.percentile_ms(0.999):7.1f} ms  ratio {ratio}"
        f"  refused {figures.refused:6}  late {figures.late:5}  attempts {attempts:5.3f}  {kinds}"
    )


# For each scenario with a disturbance, the scenario without it.
REFERENCE_BY_SCENARIO = {
    "long": "short-only",
    "long-undeclared": "short-only",
    "straggler": "steady",
}


def run_key(scenario: Scenario, name: str) -> RunKey:
    """Return the key of the run of the scenario `name` with the same service and policy."""
    return RunKey(scenario.policy, scenario.targets, scenario.ingresses, name)


def main() -> None:
    """Run the comparison and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument(
        "--scenario", action="append", help="run only these scenarios and their references"
    )
    parser.add_argument("--policy", action="append", choices=POLICIES)
    parser.add_argument("--ingresses", type=int, action="append")
    parser.add_argument("--targets", type=int, action="append")
    parser.add_argument("--duration", type=float, default=10.0)
    arguments = parser.parse_args()
    scenarios = [
        variant
        for targets, slots in TARGETS_AND_SLOTS
        if not arguments.targets or targets in arguments.targets
        for ingresses in arguments.ingresses or INGRESS_COUNTS
        for policy in arguments.policy or POLICIES
        for variant in scenario_variants(
            Scenario(policy, targets, slots, ingresses, "", arguments.seed, arguments.duration)
        )
    ]
    if arguments.scenario:
        selected_names = set(arguments.scenario)
        selected_names |= {
            REFERENCE_BY_SCENARIO[name] for name in selected_names & REFERENCE_BY_SCENARIO.keys()
        }
        scenarios = [scenario for scenario in scenarios if scenario.name in selected_names]
    print(
        f"seed {arguments.seed}, {arguments.duration:g} s per run,"
        f" mean short work {1000 * MEAN_SHORT_WORK_S:g} ms;"
        " ratio: 99th percentile against the run without the disturbance"
    )
    with ProcessPoolExecutor(arguments.workers) as executor:
        results = list(executor.map(run, scenarios))
    p99_by_run = {
        run_key(scenario, scenario.name): figures.percentile_ms(0.99)
        for scenario, figures in zip(scenarios, results, strict=True)
    }
    lines = []
    for scenario, figures in zip(scenarios, results, strict=True):
        reference = run_key(scenario, REFERENCE_BY_SCENARIO.get(scenario.name, ""))
        lines.append(format_result(scenario, figures, p99_by_run.get(reference, 0.0)))
    order = {policy: index for index, policy in enumerate(POLICIES)}
    ordered_pairs = sorted(
        zip(scenarios, lines, strict=True),
        key=lambda pair: (
            pair[0].name,
            -pair[0].targets * pair[0].slots,
            pair[0].ingresses,
            order[pair[0].policy],
        ),
    )
    for _, line in ordered_pairs:
        print(line)


if __name__ == "__main__":
    main()
