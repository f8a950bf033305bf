"""Compares the decisions of the request path with two baselines in a simulated service.

Run ``python -m bench.policies`` for the whole comparison; ``--help`` lists the parts. The policy
objects are those of the node; the network, the slots and the clock are simulated.
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
    LongWork,
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
from jaypost.retries import AttemptFailed, Retry, RetryPolicy

SIZES = ((7, 12), (4, 12), (8, 9), (4, 9))
INGRESS_COUNTS = (8, 110, 800)
POLICIES = ("round-robin", "two-choices", "jaypost")
SHORT_S = 0.02
SERVICE_SHAPE = 4.0
HOP_S = 0.0005
SHORT_DEADLINE_S = 1.0
TIGHT_DEADLINE_S = 0.1
LONG_DEADLINE_S = 30.0
LONG_SHARE = 0.03
LONG_FACTOR = 40.0
STRAGGLER_FACTOR = 5.0
STRAGGLER_PERIOD_S = 2.0
STRAGGLER_SLOW_S = 0.5
REPORT_INTERVAL_S = 0.1
LATE_REPORT_S = 1.0
WARM_UP_S = 1.0
LONG_PATH = "/long/1"
SHORT_PATH = "/short/1"


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run: a policy, a service and a demand."""

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
    """Names one run of the comparison."""

    policy: str
    targets: int
    ingresses: int
    name: str


@dataclass(slots=True)
class Request:
    """A request of a caller."""

    number: int
    ingress: int
    work_s: float
    long: bool
    arrived: float
    deadline: float
    attempts: int = 0
    tried: set[str] = field(default_factory=set)

    @property
    def path(self) -> str:
        """Path of the request."""
        return LONG_PATH if self.long else SHORT_PATH


@dataclass(slots=True)
class Figures:
    """Results of a run."""

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
    """Event loop with a simulated clock, and the parts that all policies share."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.arrivals = random.Random(scenario.seed)
        self.rng = random.Random(scenario.seed + 1)
        self.figures = Figures()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, policy: Policy) -> Figures:
        """Run the scenario to its end."""
        self.at(0.0, lambda: self._arrive(policy))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.figures

    def service_end(self, target: int, work_s: float) -> float:
        """Return when a target has done the work that it starts now."""
        if not self.scenario.straggler or target != 0:
            return self.now + work_s
        when, left_s = self.now, work_s
        while True:
            phase = when % STRAGGLER_PERIOD_S
            slow = phase < STRAGGLER_SLOW_S
            span_s = (STRAGGLER_SLOW_S if slow else STRAGGLER_PERIOD_S) - phase + 1e-9
            speed = 1 / STRAGGLER_FACTOR if slow else 1.0
            if left_s <= span_s * speed:
                return when + left_s / speed
            left_s -= span_s * speed
            when += span_s

    def answered(self, request: Request) -> None:
        """Count an answer that arrived at the ingress."""
        if request.arrived < WARM_UP_S:
            return
        self.figures.attempts += request.attempts
        if self.now > request.deadline:
            self.figures.late += 1
        else:
            self.figures.good += 1
        if not request.long:
            self.figures.short_latencies_s.append(self.now - request.arrived)

    def refused(self, request: Request, kind: str) -> None:
        """Count a request that was not run."""
        if request.arrived < WARM_UP_S:
            return
        self.figures.attempts += request.attempts
        self.figures.refused += 1
        self.figures.refusals_by_kind[kind] += 1

    def _arrive(self, policy: Policy) -> None:
        scenario = self.scenario
        if self.now >= scenario.duration_s:
            return
        long = scenario.long_work and self.arrivals.random() < LONG_SHARE
        work_s = self.arrivals.gammavariate(SERVICE_SHAPE, SHORT_S / SERVICE_SHAPE)
        allowed_s = LONG_DEADLINE_S if long else scenario.deadline_s
        request = Request(
            next(self._numbers),
            self.arrivals.randrange(scenario.ingresses),
            work_s * (LONG_FACTOR if long else 1.0),
            long,
            self.now,
            self.now + allowed_s,
        )
        if self.now >= WARM_UP_S:
            self.figures.offered += 1
        policy.start(request)
        self.at(self.now + self.arrivals.expovariate(self._rate()), lambda: self._arrive(policy))

    def _rate(self) -> float:
        scenario = self.scenario
        mean = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0) if scenario.long_work else 1.0
        capacity = scenario.targets * scenario.slots / (SHORT_S * mean)
        return scenario.load_at(self.now) * capacity


class Policy:
    """How requests reach the slots of the targets."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation

    def start(self, request: Request) -> None:
        """Begin the first attempt of a request."""
        raise NotImplementedError


class FifoTarget:
    """A target with a bounded queue in order of arrival, as the baselines use it."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.busy = 0
        self.queue: deque[Request] = deque()
        self.reports: deque[tuple[float, int]] = deque([(0.0, 0)])

    @property
    def load(self) -> int:
        """Requests in slots and in the queue."""
        return self.busy + len(self.queue)


class Baseline(Policy):
    """Choice at the ingress alone, queues at the targets, refusals tried again elsewhere."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        scenario = simulation.scenario
        self._row = Row("bench")
        self.targets = [
            FifoTarget(scenario.slots, self._row.queue_limit) for _ in range(scenario.targets)
        ]
        self.inflight = [[0] * scenario.targets for _ in range(scenario.ingresses)]
        simulation.at(0.0, self._report)

    def pick(self, request: Request) -> int:
        """Return the number of the target of the next attempt."""
        raise NotImplementedError

    def start(self, request: Request) -> None:
        """Begin the next attempt of a request."""
        number = self.pick(request)
        request.attempts += 1
        request.tried.add(str(number))
        self.inflight[request.ingress][number] += 1
        self.simulation.at(self.simulation.now + HOP_S, lambda: self._reach(request, number))

    def reported(self, number: int) -> int:
        """Return the newest load of a target whose report has arrived."""
        reports = self.targets[number].reports
        visible = self.simulation.now - self.simulation.scenario.report_delay_s
        while len(reports) > 1 and reports[1][0] <= visible:
            reports.popleft()
        return reports[0][1]

    def _report(self) -> None:
        now = self.simulation.now
        for target in self.targets:
            target.reports.append((now, target.load))
        if now < self.simulation.scenario.duration_s:
            self.simulation.at(now + REPORT_INTERVAL_S, self._report)

    def _reach(self, request: Request, number: int) -> None:
        target = self.targets[number]
        if target.busy < target.slots:
            self._serve(request, number)
        elif len(target.queue) < target.queue_limit:
            target.queue.append(request)
        else:
            self.simulation.at(self.simulation.now + HOP_S, lambda: self._rejected(request, number))

    def _rejected(self, request: Request, number: int) -> None:
        self.inflight[request.ingress][number] -= 1
        if request.attempts > self._row.retry_limit:
            self.simulation.refused(request, "queue_full")
        else:
            self.start(request)

    def _serve(self, request: Request, number: int) -> None:
        self.targets[number].busy += 1
        end = self.simulation.service_end(number, request.work_s)
        self.simulation.at(end, lambda: self._served(request, number))

    def _served(self, request: Request, number: int) -> None:
        target = self.targets[number]
        target.busy -= 1
        while target.queue and target.busy < target.slots:
            following = target.queue.popleft()
            if following.deadline > self.simulation.now:
                self._serve(following, number)
            else:
                self._expired(following, number)
        self.simulation.at(self.simulation.now + HOP_S, lambda: self._answer(request, number))

    def _expired(self, request: Request, number: int) -> None:
        self.inflight[request.ingress][number] -= 1
        self.simulation.refused(request, "deadline_exceeded")

    def _answer(self, request: Request, number: int) -> None:
        self.inflight[request.ingress][number] -= 1
        self.simulation.answered(request)


class RoundRobin(Baseline):
    """Each ingress takes the targets in turn."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        count = simulation.scenario.targets
        self._next = [simulation.rng.randrange(count) for _ in range(simulation.scenario.ingresses)]

    def pick(self, request: Request) -> int:
        """Return the next target in turn."""
        number = self._next[request.ingress]
        self._next[request.ingress] = (number + 1) % len(self.targets)
        return number


class TwoChoices(Baseline):
    """Each ingress takes the better of two random targets by reported and own load."""

    def pick(self, request: Request) -> int:
        """Return the less loaded of two targets."""
        untried = [n for n in range(len(self.targets)) if str(n) not in request.tried]
        pair = self.simulation.rng.sample(untried, min(2, len(untried)))
        return min(pair, key=lambda number: self._score(request, number))

    def _score(self, request: Request, number: int) -> int:
        return max(self.reported(number), self.inflight[request.ingress][number])


@dataclass(slots=True)
class Ingress:
    """Decisions of one ingress node."""

    placement: Placement
    retries: RetryPolicy
    long_work: LongWork


@dataclass(slots=True)
class Egress:
    """Decisions of the node of one target."""

    admission: Admission
    long_work: LongWork


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at a target."""

    request: Request
    target: PlacedTarget
    number: int
    long: bool
    started: float
    admitted: float = 0.0


class Jaypost(Policy):
    """The decisions of the node."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        scenario = simulation.scenario
        declared = ("/long",) if scenario.long_declared else ()
        self.row = Row("bench", long_prefixes=declared)
        self.targets = tuple(self._placed(number) for number in range(scenario.targets))
        self.ingresses = [self._ingress() for _ in range(scenario.ingresses)]
        self.egresses = [self._egress(placed) for placed in self.targets]
        self.number_by_id = {
            placed.target.target_id: number for number, placed in enumerate(self.targets)
        }
        self._attempt_by_ticket: dict[str, Attempt] = {}
        self._tickets = itertools.count()

    def _placed(self, number: int) -> PlacedTarget:
        slots = self.simulation.scenario.slots
        target = Target(f"t{number}", "bench", 1, slots, TargetState.READY)
        return PlacedTarget(target, f"n{number}", "a", "r", Address("127.0.0.1", 1))

    def _ingress(self) -> Ingress:
        rng = random.Random(self.simulation.rng.getrandbits(64))
        return Ingress(
            Placement("a", "r", TargetHealth(), rng),
            RetryPolicy(random.Random(rng.getrandbits(64))),
            LongWork(),
        )

    def _egress(self, placed: PlacedTarget) -> Egress:
        admission = Admission()
        admission.handle(SetTargets((placed.target,), 0.0))
        return Egress(admission, LongWork())

    def start(self, request: Request) -> None:
        """Begin the first attempt of a request."""
        self.ingresses[request.ingress].retries.request_started(self.row, self.simulation.now)
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        now = self.simulation.now
        ingress = self.ingresses[request.ingress]
        long = ingress.long_work.classify(self.row, request.path) is CallClass.LONG
        request.attempts += 1
        question = ChooseTarget(
            "bench",
            self.targets,
            Spill.ANY,
            frozenset(request.tried),
            request.attempts > self.row.retry_limit,
            now,
            long,
        )
        chosen = ingress.placement.choose(question)
        if isinstance(chosen, NoTarget):
            request.attempts -= 1
            self.simulation.refused(request, chosen.kind)
            return
        target_id = chosen.target.target.target_id
        request.tried.add(target_id)
        ingress.placement.observe(AttemptStarted(target_id, now))
        attempt = Attempt(request, chosen.target, self.number_by_id[target_id], long, now)
        self.simulation.at(now + HOP_S, lambda: self._reach(attempt, chosen.may_queue))

    def _reach(self, attempt: Attempt, may_queue: bool) -> None:
        now = self.simulation.now
        egress = self.egresses[attempt.number]
        ticket = str(next(self._tickets))
        self._attempt_by_ticket[ticket] = attempt
        call_class = egress.long_work.classify(self.row, attempt.request.path, now)
        if attempt.long:
            call_class = CallClass.LONG
        # The egress tells its class with the answer, because an ingress of many sees too few
        # requests to find it out.
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
                    self._serve(ticket)
                case Refused(ticket=ticket, kind=kind, load=load):
                    self._back(self._attempt_by_ticket.pop(ticket), kind, load)
                case Queued():
                    pass

    def _serve(self, ticket: str) -> None:
        attempt = self._attempt_by_ticket[ticket]
        attempt.admitted = self.simulation.now
        self.egresses[attempt.number].long_work.started(
            ticket, "bench", attempt.request.path, attempt.admitted
        )
        end = self.simulation.service_end(attempt.number, attempt.request.work_s)
        self.simulation.at(end, lambda: self._served(ticket))

    def _served(self, ticket: str) -> None:
        now = self.simulation.now
        attempt = self._attempt_by_ticket.pop(ticket)
        egress = self.egresses[attempt.number]
        duration_s = now - attempt.admitted
        egress.long_work.observe("bench", attempt.request.path, duration_s, ticket)
        decisions = egress.admission.handle(Release(ticket, duration_s, now))
        self._back(attempt, None, egress.admission.load(attempt.target.target.target_id))
        self._apply(decisions)

    def _back(self, attempt: Attempt, kind: ErrorKind | None, load: Load) -> None:
        self.simulation.at(self.simulation.now + HOP_S, lambda: self._ended(attempt, kind, load))

    def _ended(self, attempt: Attempt, kind: ErrorKind | None, load: Load) -> None:
        now = self.simulation.now
        request = attempt.request
        ingress = self.ingresses[request.ingress]
        latency_s = now - attempt.started
        if kind is None:
            ingress.long_work.observe("bench", request.path, latency_s)
        status = 200 if kind is None else 503
        ingress.placement.observe(
            AttemptEnded(attempt.target, kind, status, latency_s, load, now, attempt.long)
        )
        if kind is None:
            self.simulation.answered(request)
        else:
            self._failed(request, kind)

    def _failed(self, request: Request, kind: ErrorKind) -> None:
        now = self.simulation.now
        failure = AttemptFailed(
            self.row,
            "GET",
            request.attempts,
            kind,
            503,
            reached=False,
            body_kept=True,
            final=False,
            inside_retry=False,
            remaining_s=request.deadline - now,
            now=now,
        )
        decision = self.ingresses[request.ingress].retries.decide(failure)
        if isinstance(decision, Retry):
            self.simulation.at(now + decision.delay_s, lambda: self._attempt(request))
        else:
            self.simulation.refused(request, kind)


POLICY_BY_NAME: dict[str, type[Policy]] = {
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "jaypost": Jaypost,
}


def run(scenario: Scenario) -> Figures:
    """Run one scenario."""
    simulation = Simulation(scenario)
    return simulation.run(POLICY_BY_NAME[scenario.policy](simulation))


def variants(scenario: Scenario) -> list[Scenario]:
    """Return the scenarios that are compared for one service and policy."""
    mean = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0)
    same_short_rate = scenario.load * (1.0 - LONG_SHARE) / mean
    result = [
        replace(scenario, name="crest", crest=True),
        replace(scenario, name="crest-tight", crest=True, deadline_s=TIGHT_DEADLINE_S),
        replace(scenario, name="steady"),
        replace(scenario, name="short-only", load=same_short_rate),
        replace(scenario, name="long", long_work=True),
        replace(scenario, name="straggler", straggler=True, report_delay_s=LATE_REPORT_S),
    ]
    if scenario.policy == "jaypost":
        result.append(
            replace(scenario, name="long-undeclared", long_work=True, long_declared=False)
        )
    return result


def report(scenario: Scenario, figures: Figures, reference_ms: float) -> str:
    """Return one line of figures."""
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


REFERENCE_BY_NAME = {
    "long": "short-only",
    "long-undeclared": "short-only",
    "straggler": "steady",
}


def run_key(scenario: Scenario, name: str) -> RunKey:
    """Return the key of the run of the same service and policy in a named scenario."""
    return RunKey(scenario.policy, scenario.targets, scenario.ingresses, name)


def main() -> None:
    """Run the comparison and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--scenario", action="append", help="run only these")
    parser.add_argument("--policy", action="append", choices=POLICIES)
    parser.add_argument("--ingresses", type=int, action="append")
    parser.add_argument("--targets", type=int, action="append")
    parser.add_argument("--duration", type=float, default=10.0)
    arguments = parser.parse_args()
    scenarios = [
        variant
        for targets, slots in SIZES
        if not arguments.targets or targets in arguments.targets
        for ingresses in arguments.ingresses or INGRESS_COUNTS
        for policy in arguments.policy or POLICIES
        for variant in variants(
            Scenario(policy, targets, slots, ingresses, "", arguments.seed, arguments.duration)
        )
    ]
    if arguments.scenario:
        wanted = set(arguments.scenario)
        wanted |= {REFERENCE_BY_NAME[name] for name in wanted & REFERENCE_BY_NAME.keys()}
        scenarios = [scenario for scenario in scenarios if scenario.name in wanted]
    print(
        f"seed {arguments.seed}, {arguments.duration:g} s per run, mean short work"
        f" {1000 * SHORT_S:g} ms; ratio: 99th percentile against the run without the disturbance"
    )
    with ProcessPoolExecutor(arguments.workers) as executor:
        results = list(executor.map(run, scenarios))
    p99_by_run = {
        run_key(scenario, scenario.name): figures.percentile_ms(0.99)
        for scenario, figures in zip(scenarios, results, strict=True)
    }
    lines = []
    for scenario, figures in zip(scenarios, results, strict=True):
        reference = run_key(scenario, REFERENCE_BY_NAME.get(scenario.name, ""))
        lines.append(report(scenario, figures, p99_by_run.get(reference, 0.0)))
    order = {policy: number for number, policy in enumerate(POLICIES)}
    ranked = sorted(
        zip(scenarios, lines, strict=True),
        key=lambda pair: (
            pair[0].name,
            -pair[0].targets * pair[0].slots,
            pair[0].ingresses,
            order[pair[0].policy],
        ),
    )
    for _, line in ranked:
        print(line)


if __name__ == "__main__":
    main()
