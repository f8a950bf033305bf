"""Which targets get the requests of a service in a roll-out.

The module does no input or output. All nodes that know the same step and targets choose the same
targets.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

import xxhash

from jaypost.records import Canary, PlacedTarget, RolloutPhase, RolloutStep, Target, TargetState

GROUP_SUFFIX = "@canary"

TargetsByService = Mapping[str, tuple[PlacedTarget, ...]]


@dataclass(frozen=True, slots=True)
class RoutedTargets:
    """Targets by service or group, and the services whose requests are divided."""

    targets_by_service: TargetsByService
    canary_by_service: Mapping[str, Canary]


def is_excluded(target: Target, step: RolloutStep) -> bool:
    """Tell whether a step lets no request go to a target."""
    if step.phase is RolloutPhase.ROLLED_BACK:
        return target.version == step.version
    if step.phase is RolloutPhase.SUCCEEDED or step.share >= 1.0:
        return target.version != step.version
    return False


def apply_steps(
    targets_by_service: TargetsByService, steps: Iterable[RolloutStep]
) -> RoutedTargets:
    """Divide the targets of the services in a roll-out.

    Parameters
    ----------
    targets_by_service : Mapping[str, tuple of PlacedTarget]
        All known targets.
    steps : iterable of RolloutStep
        Newest step of each service.

    Returns
    -------
    RoutedTargets
        The targets that requests use. While a share of them goes to a new version, its targets
        stand under the key of `Canary.group`.
    """
    routed = dict(targets_by_service)
    canary_by_service = {}
    for step in steps:
        targets = targets_by_service.get(step.service)
        if not targets:
            continue
        main = _main_targets(targets, step)
        if main:
            routed[step.service] = main
        else:
            del routed[step.service]
        if step.phase is not RolloutPhase.RUNNING:
            continue
        group = step.service + GROUP_SUFFIX
        chosen = _canary_targets(targets, main, step, group) if step.share < 1.0 else ()
        canary_by_service[step.service] = Canary(group, step.share if chosen else 0.0)
        if chosen:
            routed[group] = chosen
    return RoutedTargets(routed, canary_by_service)


def _main_targets(targets: tuple[PlacedTarget, ...], step: RolloutStep) -> tuple[PlacedTarget, ...]:
    """Return the targets for the requests that do not belong to the share of the canary.

    A version that neither the order nor the baseline names, such as that of an order that was
    replaced, is used only while nothing else is there.
    """
    wanted = step.baseline
    if step.phase is RolloutPhase.SUCCEEDED or step.share >= 1.0:
        wanted = step.version
    preferred = tuple(item for item in targets if item.target.version == wanted)
    if any(item.target.state is TargetState.READY for item in preferred):
        return preferred
    if wanted == step.version and step.phase is RolloutPhase.RUNNING:
        return targets
    return tuple(item for item in targets if not is_excluded(item.target, step)) or preferred


def _canary_targets(
    targets: tuple[PlacedTarget, ...],
    main: tuple[PlacedTarget, ...],
    step: RolloutStep,
    group: str,
) -> tuple[PlacedTarget, ...]:
    """Return so few targets of the new version that each is loaded like one of the old version.

    A fault that shows only under load would not show if the share were spread over all of them.
    The regions take turns, so that each has one as soon as possible.
    """
    ready = [item for item in targets if item.target.state is TargetState.READY]
    new = [item for item in ready if item.target.version == step.version and item.reachable]
    old_slots = sum(i.target.slots for i in main if i.target.state is TargetState.READY)
    wanted_slots = step.share * old_slots
    chosen: list[PlacedTarget] = []
    slots = 0
    for item in _regions_in_turn(new):
        if chosen and slots >= wanted_slots:
            break
        chosen.append(replace(item, target=replace(item.target, service=group)))
        slots += item.target.slots
    return tuple(chosen)


def _regions_in_turn(targets: Iterable[PlacedTarget]) -> list[PlacedTarget]:
    place_by_region: dict[str, int] = {}
    places = []
    for item in sorted(targets, key=lambda item: xxhash.xxh64_intdigest(item.target.target_id)):
        place = place_by_region[item.region] = place_by_region.get(item.region, 0) + 1
        places.append((place, item.region, item))
    return [item for _, _, item in sorted(places, key=lambda entry: entry[:2])]
