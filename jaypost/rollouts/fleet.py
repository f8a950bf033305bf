"""The other nodes as the coordinator of roll-outs sees them: through gossip and the view."""

from __future__ import annotations

import time
from collections.abc import Callable

from jaypost.gossip import Gossip
from jaypost.messages import RolloutQuery, RolloutReport
from jaypost.records import PlacedTarget, RolloutStep
from jaypost.rollouts.guard import RolloutGuard
from jaypost.view import MembershipView


class GossipFleet:
    """Implements `jaypost.rollouts.coordinator.Fleet`.

    Parameters
    ----------
    gossip : Gossip
        Gossip of this node.
    view : MembershipView
        Its view.
    guard : RolloutGuard
        What this node knows about roll-outs.
    is_ready : callable
        Tells whether this node is ready.
    """

    def __init__(
        self,
        gossip: Gossip,
        view: MembershipView,
        guard: RolloutGuard,
        is_ready: Callable[[], bool],
    ) -> None:
        self._gossip = gossip
        self._view = view
        self._guard = guard
        self._is_ready = is_ready

    def is_decider(self) -> bool:
        """Tell whether this node is ready and the first reader of the store."""
        return self._is_ready() and self._gossip.store_reader_place() == 0

    def targets_of(self, service: str) -> tuple[PlacedTarget, ...]:
        """Return all known targets of a service."""
        return self._view.targets_by_service(time.monotonic()).get(service, ())

    def publish(self, steps: tuple[RolloutStep, ...]) -> None:
        """Put the steps into the own record."""
        self._gossip.publish(rollouts=steps)

    def known_step(self, service: str) -> RolloutStep | None:
        """Return the newest step of a service that this node knows."""
        return next((s for s in self._guard.steps() if s.service == service), None)

    def order_age_s(self, step: RolloutStep) -> float:
        """Return the seconds for which this node has known the order of a step; 0 if unknown."""
        return self._guard.order_age_s(step, time.monotonic())

    async def report_of(
        self, node_id: str, step: RolloutStep, timeout_s: float
    ) -> RolloutReport | None:
        """Ask a node about its targets; None when it does not answer."""
        query = RolloutQuery(self._view.own.node_id, step)
        report: RolloutReport | None = await self._gossip.ask(node_id, query, timeout_s)
        return report if report is not None and report.node_id == node_id else None
