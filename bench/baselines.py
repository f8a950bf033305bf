"""A node that chooses targets by a baseline policy, for comparison with jaypost.

Run it as ``python -m bench.baselines --policy POLICY``. The baselines allow the first attempt to
wait in the queue of its target. Everything but the choice of targets is that of a jaypost node.
"""

from __future__ import annotations

import argparse
import os
import random
import sys
from collections.abc import Mapping
from typing import Any

import uvloop

from jaypost import logs, settings
from jaypost.daemon import Node, load_settings
from jaypost.errors import ErrorKind
from jaypost.events import EventLog
from jaypost.placement import ChooseTarget, Chosen, NoTarget, Placement
from jaypost.records import PlacedTarget
from jaypost.settings import Settings

EXIT_USAGE = 2


class Baseline(Placement):
    """Chooses among all ready, reachable targets, including remote and ejected ones."""

    def choose(self, query: ChooseTarget) -> Chosen | NoTarget:
        """Return the target of the next attempt, which may always wait in the queue."""
        state = self._state(query)
        ready = [item for tier in state.tiers for item in tier if item.reachable]
        untried = [item for item in ready if item.target.target_id not in query.tried]
        candidates = untried or ready
        if not candidates:
            return NoTarget(ErrorKind.NO_TARGET)
        ordered = sorted(candidates, key=lambda item: item.target.target_id)
        return Chosen(self.pick(query.service, ordered), may_queue=True)

    def pick(self, service: str, candidates: list[PlacedTarget]) -> PlacedTarget:
        """Return one of the candidates."""
        raise NotImplementedError


class RoundRobin(Baseline):
    """Chooses the targets of a service in turn, starting with a random one."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._next_index_by_service: dict[str, int] = {}

    def pick(self, service: str, candidates: list[PlacedTarget]) -> PlacedTarget:
        """Return the next target in turn."""
        index = self._next_index_by_service.get(service, self._rng.randrange(len(candidates)))
        self._next_index_by_service[service] = index + 1
        return candidates[index % len(candidates)]


class TwoChoices(Baseline):
    """Chooses the less loaded of two random targets.

    The load of a target is a fraction of its slots: the utilisation that it reported or the calls
    that this node has in flight to it, whichever is greater.
    """

    def pick(self, service: str, candidates: list[PlacedTarget]) -> PlacedTarget:
        """Return the less loaded of two random candidates."""
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=self._load_fraction)

    def _load_fraction(self, placed: PlacedTarget) -> float:
        load = self._load(placed.target.target_id)
        return max(load.utilisation, load.inflight / (placed.target.slots or 1))


PLACEMENT_BY_POLICY: Mapping[str, type[Placement]] = {
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
}


class BaselineNode(Node):
    """A node whose ingress uses a baseline policy."""

    def __init__(self, policy: str, node_settings: Settings, events: EventLog) -> None:
        super().__init__(node_settings, events)
        self.placement = PLACEMENT_BY_POLICY[policy](
            node_settings.failure_domain, node_settings.region, self.health, random.Random()
        )
        self.ingress.placement = self.placement


async def serve(policy: str, node_settings: Settings, events: EventLog) -> int:
    """Run the node until SIGTERM or SIGINT and return its exit code."""
    node = BaselineNode(policy, node_settings, events)
    await node.start()
    return await node.run()


def main() -> None:
    """Run the node as a process, with the flags and variables of jaypostd."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--policy", choices=list(PLACEMENT_BY_POLICY), required=True)
    settings.add_flags(parser)
    arguments = parser.parse_args()
    loaded = load_settings(arguments, os.environ)
    if loaded is None:
        sys.exit(EXIT_USAGE)
    events = EventLog()
    logs.setup(loaded.settings.log_level, observer=events.keep)
    sys.exit(uvloop.run(serve(arguments.policy, loaded.settings, events)))


if __name__ == "__main__":
    main()
