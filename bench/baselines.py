"""A node that chooses targets by a baseline policy, for comparisons: ``python -m bench.baselines``.

The baselines let the first attempt queue; the egress and its queue are those of jaypost.
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
    """Chooses among all ready, reachable targets without regard to locality or ejection."""

    def choose(self, question: ChooseTarget) -> Chosen | NoTarget:
        """Return the target of the next attempt, which may always queue."""
        state = self._state(question)
        ready = [item for tier in state.tiers for item in tier if item.reachable]
        untried = [item for item in ready if item.target.target_id not in question.tried]
        candidates = untried or ready
        if not candidates:
            return NoTarget(ErrorKind.NO_TARGET)
        ordered = sorted(candidates, key=lambda item: item.target.target_id)
        return Chosen(self.pick(question.service, ordered), may_queue=True)

    def pick(self, service: str, candidates: list[PlacedTarget]) -> PlacedTarget:
        """Return one of the candidates."""
        raise NotImplementedError


class RoundRobin(Baseline):
    """Takes the targets of a service in turn, from a random start."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._next_by_service: dict[str, int] = {}

    def pick(self, service: str, candidates: list[PlacedTarget]) -> PlacedTarget:
        """Return the next target in turn."""
        number = self._next_by_service.get(service, self._rng.randrange(len(candidates)))
        self._next_by_service[service] = number + 1
        return candidates[number % len(candidates)]


class TwoChoices(Baseline):
    """Takes the better of two random targets by reported load and own calls in flight."""

    def pick(self, service: str, candidates: list[PlacedTarget]) -> PlacedTarget:
        """Return the less loaded of two targets."""
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=self._score)

    def _score(self, placed: PlacedTarget) -> float:
        load = self._load(placed.target.target_id)
        return max(load.utilisation, load.inflight / (placed.target.slots or 1))


PLACEMENT_BY_POLICY: Mapping[str, type[Placement]] = {
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
}


class BaselineNode(Node):
    """A node whose ingress uses a baseline."""

    def __init__(self, policy: str, node_settings: Settings, events: EventLog) -> None:
        super().__init__(node_settings, events)
        self.placement = PLACEMENT_BY_POLICY[policy](
            node_settings.failure_domain, node_settings.region, self.health, random.Random()
        )
        self.ingress.placement = self.placement


async def serve(policy: str, node_settings: Settings, events: EventLog) -> int:
    """Serve until told to leave."""
    node = BaselineNode(policy, node_settings, events)
    await node.start()
    return await node.run()


def main() -> None:
    """Run the node as a process."""
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
