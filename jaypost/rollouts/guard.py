"""What a node knows about roll-outs: the newest steps, and the results at its own targets."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import structlog

from jaypost.calls import CallEnded
from jaypost.errors import ErrorKind
from jaypost.logs import EventName
from jaypost.messages import RolloutReport
from jaypost.records import RolloutPhase, RolloutStep, Target
from jaypost.rollouts.evidence import EvidenceCounter
from jaypost.rollouts.routing import RoutedTargets, TargetsByService, apply_steps, is_excluded

log = structlog.get_logger(__name__)

SERVER_ERROR_STATUS = 500
# Errors that the version of a target may have caused.
FAILURE_KINDS = frozenset(
    {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_CUT, ErrorKind.CONNECT_FAILED}
)


@dataclass(slots=True)
class _Watched:
    """The step that a node follows for a service, and the results since its order.

    `known_at` is the monotonic time in seconds at which the order became known.
    """

    step: RolloutStep
    known_at: float
    new: EvidenceCounter = field(default_factory=EvidenceCounter)
    old: EvidenceCounter = field(default_factory=EvidenceCounter)


class RolloutGuard:
    """Applies the newest known step of each service on this node.

    Parameters
    ----------
    node_id : str
        Identifier of the node.
    incarnation : int
        Incarnation of the node.
    """

    def __init__(self, node_id: str, incarnation: int) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._watched_by_service: dict[str, _Watched] = {}

    def offer(self, steps: Iterable[RolloutStep], now: float) -> bool:
        """Follow the steps that are newer than the known ones; tell whether there were any."""
        changed = False
        for step in steps:
            known = self._watched_by_service.get(step.service)
            if known is not None and not step.newer_than(known.step):
                continue
            same_order = known is not None and _order_of(known.step) == _order_of(step)
            if known is not None and same_order:
                known.step = step
            else:
                self._watched_by_service[step.service] = _Watched(step, now)
            changed = True
            log.info(
                EventName.ROLLOUT_STEP,
                service=step.service,
                version=step.version,
                phase=step.phase,
                share=step.share,
                number=step.number,
            )
        return changed

    def steps(self) -> tuple[RolloutStep, ...]:
        """Return the step that this node follows for each service."""
        return tuple(item.step for item in self._watched_by_service.values())

    def order_age_s(self, step: RolloutStep, now: float) -> float:
        """Return the seconds for which the order of a step has been known; 0 if it is not."""
        watched = self._watched_by_service.get(step.service)
        if watched is None or _order_of(watched.step) != _order_of(step):
            return 0.0
        return now - watched.known_at

    def route(self, targets_by_service: TargetsByService) -> RoutedTargets:
        """Return the targets that requests use now."""
        return apply_steps(targets_by_service, self.steps())

    def excludes(self, target: Target) -> bool:
        """Tell whether a target of this host must get no request."""
        watched = self._watched_by_service.get(target.service)
        return watched is not None and is_excluded(target, watched.step)

    def record(self, call: CallEnded, target: Target | None) -> None:
        """Count the result of a call at a target of this host."""
        watched = self._watched_by_service.get(call.service)
        if watched is None or target is None or watched.step.phase is not RolloutPhase.RUNNING:
            return
        if call.kind is not None and call.kind not in FAILURE_KINDS:
            return
        failed = call.kind is not None or call.status >= SERVER_ERROR_STATUS
        counter = watched.new if target.version == watched.step.version else watched.old
        counter.add(call.route, failed, call.service_s)

    def report(
        self, step: RolloutStep, calls_by_target: Iterable[tuple[Target, int]], now: float
    ) -> RolloutReport:
        """Return the report for the decider, from the calls that wait or run at each target."""
        self.offer((step,), now)
        watched = self._watched_by_service[step.service]
        excluded = sum(
            count
            for target, count in calls_by_target
            if target.service == step.service and is_excluded(target, watched.step)
        )
        same_order = _order_of(watched.step) == _order_of(step)
        return RolloutReport(
            self._node_id,
            self._incarnation,
            watched.step.number if same_order else 0,
            excluded,
            watched.new.totals() if same_order else (),
            watched.old.totals() if same_order else (),
        )


def _order_of(step: RolloutStep) -> tuple[int, int]:
    return step.era, step.order
