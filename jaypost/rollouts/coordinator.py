"""Task that decides on roll-outs while this node is the first reader of the store.

Every step is written to the store, on the condition that the previous one is still there, before
other nodes follow it. So two nodes that both take themselves for the decider cannot both act. A
roll-back is the exception: it is published at once while the store is not available.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

import structlog

from jaypost.logs import EventName
from jaypost.messages import RolloutReport
from jaypost.records import PlacedTarget, RolloutPhase, RolloutStep, TargetState
from jaypost.rollouts.decisions import RolloutOrder, Situation, next_step
from jaypost.rollouts.evidence import RouteEvidence, Verdict, combine, judge, since
from jaypost.rollouts.orders import (
    RolloutKeys,
    RolloutStatus,
    decode_order,
    decode_status,
    encode_status,
)
from jaypost.rollouts.routing import GROUP_SUFFIX, apply_steps, is_excluded
from jaypost.store import (
    Conflict,
    Found,
    GetOutcome,
    Missing,
    PrefixOutcome,
    PrefixRead,
    PutOutcome,
    Stored,
    StoreFailed,
)

log = structlog.get_logger(__name__)

# Longest wait of a watch of the orders, and pause after a failed call of the store.
WATCH_WAIT_S = 3.0
STORE_PAUSE_S = 0.5
# Time in seconds after the store has come back from an older copy in which its writers write again
# what it has lost.
REWRITE_S = 15.0
# Interval between two decisions; longer when very many hosts are asked, at most this many a second.
DECISION_INTERVAL_S = 0.4
MAX_REPORTS_PER_S = 200.0
REPORT_TIMEOUT_S = 0.4
# Interval at which a node checks whether it is the decider.
ROLE_CHECK_INTERVAL_S = 0.5
# Hosts with targets of the old version that are asked for the comparison.
OLD_HOSTS_ASKED = 6
# The versions are compared over this time, and over the whole time, so that a fault that begins
# late does not vanish among earlier responses.
WINDOW_S = 3.0


class RolloutStore(Protocol):
    """The calls of the store that the coordinator makes."""

    async def get(self, key: str) -> GetOutcome:
        """Read a key."""
        ...

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key under a condition."""
        ...

    async def watch_prefix(self, prefix: str, after_revision: int, wait_s: float) -> PrefixOutcome:
        """Wait for a change of the keys under a prefix, then read all of them."""
        ...


class Fleet(Protocol):
    """What the coordinator asks of the other nodes."""

    def is_decider(self) -> bool:
        """Tell whether this node decides on roll-outs."""
        ...

    def targets_of(self, service: str) -> tuple[PlacedTarget, ...]:
        """Return all known targets of a service."""
        ...

    def publish(self, steps: tuple[RolloutStep, ...]) -> None:
        """Let all nodes follow the steps."""
        ...

    def known_step(self, service: str) -> RolloutStep | None:
        """Return the newest step of a service that this node knows."""
        ...

    def order_age_s(self, step: RolloutStep) -> float:
        """Return the seconds for which this node has known the order of a step; 0 if unknown."""
        ...

    async def report_of(
        self, node_id: str, step: RolloutStep, timeout_s: float
    ) -> RolloutReport | None:
        """Ask a node about its targets; None when it does not answer."""
        ...


@dataclass(slots=True)
class _Comparison:
    """Results of both versions, as reported by the hosts so far."""

    new_by_source: dict[tuple[str, int], tuple[RouteEvidence, ...]] = field(default_factory=dict)
    old_by_source: dict[tuple[str, int], tuple[RouteEvidence, ...]] = field(default_factory=dict)
    # Sums of the new and the old version at earlier times, the oldest first.
    earlier: deque[tuple[float, Mapping[str, RouteEvidence], Mapping[str, RouteEvidence]]] = field(
        default_factory=deque
    )

    def add(self, report: RolloutReport) -> None:
        source = (report.node_id, report.incarnation)
        self.new_by_source[source] = report.new
        self.old_by_source[source] = report.old

    def verdict(self, now: float) -> Verdict:
        """Return the verdict over the whole time and over the last `WINDOW_S`."""
        new = combine(item for items in self.new_by_source.values() for item in items)
        old = combine(item for items in self.old_by_source.values() for item in items)
        self.earlier.append((now, new, old))
        while len(self.earlier) > 1 and self.earlier[1][0] <= now - WINDOW_S:
            self.earlier.popleft()
        overall = judge(new, old)
        if overall is Verdict.WORSE:
            return overall
        _, new_before, old_before = self.earlier[0]
        recent_old = since(old, old_before)
        # The old version gets no requests any more once all of them have moved.
        compared_with = recent_old if any(i.answered for i in recent_old.values()) else old
        recent = judge(since(new, new_before), compared_with)
        return recent if recent is Verdict.WORSE else overall


@dataclass(slots=True)
class _Rollout:
    """An order in progress.

    `revision` is that of the state in the store, 0 if there is none; None if it must be read again.
    """

    order: RolloutOrder
    step: RolloutStep | None
    revision: int | None
    started_at: float
    step_at: float
    comparison: _Comparison = field(default_factory=_Comparison)
    unwritten: RolloutStep | None = None


class RolloutCoordinator:
    """Reads the orders and takes the steps of roll-outs while this node is the decider.

    Parameters
    ----------
    store : RolloutStore
        Client of the store.
    keys : RolloutKeys
        Where orders and states are in the store.
    fleet : Fleet
        The other nodes.
    exposure_share : float
        Largest fraction of the requests of a service that a bad version may get.
    era : callable
        Returns the era of the store; see `jaypost.store_connections`.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        store: RolloutStore,
        keys: RolloutKeys,
        fleet: Fleet,
        exposure_share: float,
        era: Callable[[], int] = lambda: 0,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._keys = keys
        self._fleet = fleet
        self._exposure_share = exposure_share
        self._era = era
        self._clock = clock
        self._sleep = sleep
        self._rollout_by_service: dict[str, _Rollout] = {}
        self._step_by_service: dict[str, RolloutStep] = {}
        self._tasks: list[asyncio.Task[None]] = []
        # Revision from which the watch of the orders continues, and the era of the store then.
        self._orders_revision = 0
        self._known_era = 0
        # Until when an order with known contents counts as one that the store had lost.
        self._rewrites_until = float("-inf")

    def start(self) -> None:
        """Start the tasks that read orders and decide."""
        self._tasks = [asyncio.create_task(self._watch()), asyncio.create_task(self._decide_all())]

    async def close(self) -> None:
        """Stop the tasks."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Orders

    async def _watch(self) -> None:
        while True:
            try:
                await self._watch_once()
            except Exception:
                # An error must not end the task: nobody else would read the orders.
                log.exception(EventName.ROLLOUT_FAILED, service="")
                await self._sleep(STORE_PAUSE_S)

    async def _watch_once(self) -> None:
        """Wait for a change of the orders and apply it."""
        if not self._fleet.is_decider():
            self._orders_revision = 0
            self._rollout_by_service.clear()
            await self._sleep(ROLE_CHECK_INTERVAL_S)
            return
        if self._era() != self._known_era:
            self._orders_revision = 0
            if self._known_era:
                self._rewrites_until = self._clock() + REWRITE_S
            self._known_era = self._era()
        outcome = await self._store.watch_prefix(
            self._keys.order_prefix, self._orders_revision, WATCH_WAIT_S
        )
        if isinstance(outcome, StoreFailed):
            log.info(EventName.READ_FAILED, reason=outcome.reason)
            await self._sleep(STORE_PAUSE_S)
        elif isinstance(outcome, PrefixRead) and not await self._apply_orders(outcome):
            await self._sleep(STORE_PAUSE_S)
        else:
            self._orders_revision = outcome.revision

    async def _apply_orders(self, read: PrefixRead) -> bool:
        """Begin or continue the roll-outs of the orders; tell whether their states were read."""
        for entry in read.entries:
            order = decode_order(entry, self._era())
            if order is None:
                log.warning(EventName.ROLLOUT_ORDER_REFUSED, key=entry.key)
                continue
            known = self._rollout_by_service.get(order.service)
            if known is not None and known.order == order:
                continue
            if not await self._adopt(order):
                return False
        return True

    async def _adopt(self, order: RolloutOrder) -> bool:
        """Begin an order, or continue it from the state that an earlier decider has written."""
        found = await self._store.get(self._keys.status_prefix + order.service)
        if isinstance(found, StoreFailed):
            return False
        now = self._clock()
        status = None
        if isinstance(found, Found):
            status = decode_status(order.service, found.value)
        revision = 0 if isinstance(found, Missing) else found.revision
        step = status.step if status is not None else None
        carried = self._step_of_earlier_era(order, step)
        if carried is not None:
            return await self._write_again(order, carried, revision, now)
        known = self._rollout_by_service.get(order.service)
        if known is not None and known.order == order:
            if step != known.step:
                known.step, known.step_at = step, now
            known.revision = revision
        else:
            self._begin(order, status, revision, now)
        if step is not None:
            self._publish(step)
        return True

    def _step_of_earlier_era(
        self, order: RolloutOrder, written: RolloutStep | None
    ) -> RolloutStep | None:
        """Return the step that was taken for an order before the store lost its state.

        The operator writes the order again, at another revision.
        """
        if written is not None and _is_of(written, order):
            return None  # a decider has gone on in this era
        step = self._fleet.known_step(order.service)
        if step is None or (written is not None and written.newer_than(step)):
            step = written
        if step is None or step.version != order.version or _is_of(step, order):
            return None
        if step.era == order.era and self._clock() >= self._rewrites_until:
            return None  # the operator wants it once more
        return replace(step, era=order.era, order=order.revision)

    async def _write_again(
        self, order: RolloutOrder, step: RolloutStep, revision: int, now: float
    ) -> bool:
        known = self._rollout_by_service.get(order.service)
        started_at = known.started_at if known is not None else now
        value = encode_status(RolloutStatus(step, now - started_at))
        outcome = await self._store.put(self._keys.status_prefix + order.service, value, revision)
        if not isinstance(outcome, Stored):
            return False
        rollout = _Rollout(order, step, outcome.revision, started_at, now)
        if known is not None:
            rollout.comparison = known.comparison
        self._rollout_by_service[order.service] = rollout
        self._publish(step)
        return True

    def _begin(
        self, order: RolloutOrder, status: RolloutStatus | None, revision: int, now: float
    ) -> None:
        elapsed_s = 0.0
        if status is not None and _is_of(status.step, order):
            elapsed_s = max(status.elapsed_s, self._fleet.order_age_s(status.step))
        self._rollout_by_service[order.service] = _Rollout(
            order, status.step if status is not None else None, revision, now - elapsed_s, now
        )

    def _publish(self, step: RolloutStep) -> None:
        self._step_by_service[step.service] = step
        self._fleet.publish(tuple(self._step_by_service.values()))

    # Decisions

    async def _decide_all(self) -> None:
        while True:
            rollouts = [item for item in self._rollout_by_service.values() if _is_open(item)]
            if not rollouts or not self._fleet.is_decider():
                await self._sleep(DECISION_INTERVAL_S)
                continue
            started = self._clock()
            asked = 0
            for rollout in rollouts:
                try:
                    asked += await self._decide(rollout)
                except Exception:
                    log.exception(EventName.ROLLOUT_FAILED, service=rollout.order.service)
            interval_s = max(DECISION_INTERVAL_S, asked / MAX_REPORTS_PER_S)
            await self._sleep(max(0.05, interval_s - (self._clock() - started)))

    async def _decide(self, rollout: _Rollout) -> int:
        """Take the next step of a roll-out if it is due; return how many hosts were asked."""
        targets = self._fleet.targets_of(rollout.order.service)
        step = rollout.step
        reports: list[RolloutReport] = []
        asked: list[str] = []
        if step is not None and _is_of(step, rollout.order):
            asked = _hosts_to_ask(targets, step)
            answers = await asyncio.gather(
                *(self._fleet.report_of(node_id, step, REPORT_TIMEOUT_S) for node_id in asked)
            )
            reports = [report for report in answers if report is not None]
            for report in reports:
                rollout.comparison.add(report)
        situation = self._situation(rollout, targets, reports)
        following = next_step(step, situation, self._exposure_share)
        if following is not None:
            await self._take(rollout, following, situation)
        return len(asked)

    def _situation(
        self,
        rollout: _Rollout,
        targets: tuple[PlacedTarget, ...],
        reports: list[RolloutReport],
    ) -> Situation:
        now = self._clock()
        version, step = rollout.order.version, rollout.step
        ready = [t for t in targets if t.target.state is TargetState.READY and t.reachable]
        slots_by_version: Counter[str] = Counter()
        for placed in ready:
            slots_by_version[placed.target.version] += placed.target.slots
        new_slots = slots_by_version.pop(version, 0)
        unconfirmed = 0
        if step is not None:
            left = {
                report.node_id
                for report in reports
                if report.number >= step.number and not report.excluded_calls
            }
            excluded = {t.node_id for t in targets if t.reachable and is_excluded(t.target, step)}
            unconfirmed = len(excluded - left)
        return Situation(
            rollout.order,
            max(slots_by_version, key=lambda v: slots_by_version[v], default=""),
            now - rollout.started_at,
            now - rollout.step_at,
            rollout.comparison.verdict(now),
            new_slots,
            slots_by_version.total(),
            unconfirmed,
        )

    async def _take(self, rollout: _Rollout, step: RolloutStep, situation: Situation) -> None:
        """Write a step to the store, then publish it."""
        if rollout.revision is None and not await self._adopt(rollout.order):
            self._roll_back_without_store(rollout, step)
            return
        known = rollout.step
        if rollout.revision is None or (known is not None and not step.newer_than(known)):
            return  # another decider has gone on meanwhile
        status = RolloutStatus(step, situation.elapsed_s)
        key = self._keys.status_prefix + step.service
        outcome = await self._store.put(key, encode_status(status), rollout.revision)
        if isinstance(outcome, Stored):
            rollout.step, rollout.revision = step, outcome.revision
            rollout.step_at = self._clock()
            self._publish(step)
            log.info(
                EventName.ROLLOUT_DECIDED,
                service=step.service,
                version=step.version,
                phase=step.phase,
                share=step.share,
                verdict=situation.verdict,
                elapsed_ms=int(situation.elapsed_s * 1000),
                new_slots=situation.new_slots,
                old_slots=situation.old_slots,
                unconfirmed=situation.unconfirmed,
            )
            return
        # The write may have taken effect, or another decider has written: read before the next one.
        rollout.revision = None
        if isinstance(outcome, Conflict):
            await self._adopt(rollout.order)
            return
        log.warning(EventName.ROLLOUT_NOT_WRITTEN, service=step.service, reason=outcome.reason)
        self._roll_back_without_store(rollout, step)

    def _roll_back_without_store(self, rollout: _Rollout, step: RolloutStep) -> None:
        """Publish a roll-back that could not be written; the write is tried again."""
        if step.phase is RolloutPhase.ROLLED_BACK and rollout.unwritten != step:
            rollout.unwritten = step
            self._publish(step)


def _is_of(step: RolloutStep, order: RolloutOrder) -> bool:
    """Tell whether a step was taken for an order."""
    return (step.era, step.order) == (order.era, order.revision)


def _is_open(rollout: _Rollout) -> bool:
    step = rollout.step
    return step is None or not _is_of(step, rollout.order) or step.phase is RolloutPhase.RUNNING


def _hosts_to_ask(targets: tuple[PlacedTarget, ...], step: RolloutStep) -> list[str]:
    """Return the hosts whose reports a decision needs.

    While a share of the requests goes to the new version, these are the hosts of that share and
    some of the others. Afterwards they are all hosts of the service.
    """
    reachable = tuple(item for item in targets if item.reachable)
    if step.share >= 1.0:
        return sorted({item.node_id for item in reachable})
    routed = apply_steps({step.service: reachable}, (step,)).targets_by_service
    new = {item.node_id for item in routed.get(step.service + GROUP_SUFFIX, ())}
    old = sorted({i.node_id for i in reachable if i.target.version != step.version} - new)
    every = max(1, len(old) // OLD_HOSTS_ASKED)
    return sorted(new) + old[::every][:OLD_HOSTS_ASKED]
