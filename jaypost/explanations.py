"""Explanation of how one node routes the requests for a service, and why."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from jaypost.records import Destination, Load, PlacedTarget, Row, Snapshot, Spill, TargetState

# Order of the values of `spill`, from near to far.
DISTANCE_BY_SPILL = {Spill.DOMAIN: 0, Spill.REGION: 1, Spill.ANY: 2}


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Node that gives the explanation, with its failure domain and region."""

    node_id: str
    failure_domain: str
    region: str


@dataclass(frozen=True, slots=True)
class TargetExplanation:
    """What the node knows about one target, and why it is not used.

    Parameters
    ----------
    target_id : str
        Identifier of the target.
    service : str
        Service of the target.
    node_id : str
        Node of the target's host.
    failure_domain : str
        Failure domain of that node.
    state : TargetState
        State that the target announced.
    reachable : bool
        Whether that node is reachable.
    tier : Spill
        Nearest value of `spill` that includes the target.
    weight : float
        Weight by health in the distribution of traffic: 0 is ejected, 1 is healthy after the
        ramp-up.
    load : str
        Last reported busy slots, slots and queued requests, as ``1/12/3``; empty when unknown.
    obstacle : str
        Why requests are not sent to this target; empty when they may be.
    """

    target_id: str
    service: str
    node_id: str
    failure_domain: str
    state: TargetState
    reachable: bool
    tier: Spill
    weight: float
    load: str
    obstacle: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """How a node routes requests for a service.

    Parameters
    ----------
    node_id : str
        Node that gives the explanation.
    version : int
        Table version in force on the node.
    row : Row
        Row of the service in that version.
    destinations : tuple of Destination
        Destinations with at least one known target.
    pending : tuple of str
        Destinations of the row that have no known target and get no requests.
    targets : tuple of TargetExplanation
        Known targets of the destinations.
    problems : tuple of str
        Reasons why requests are not answered or do not use a destination.
    """

    node_id: str
    version: int
    row: Row
    destinations: tuple[Destination, ...]
    pending: tuple[str, ...]
    targets: tuple[TargetExplanation, ...]
    problems: tuple[str, ...]


def explain(
    service: str,
    snapshot: Snapshot,
    identity: NodeIdentity,
    weight: Callable[[str], float],
    load: Callable[[str], Load | None],
) -> Explanation | None:
    """Explain how the node routes requests for `service`.

    Parameters
    ----------
    service : str
        Name of a row.
    snapshot : Snapshot
        Snapshot in force on the node.
    identity : NodeIdentity
        The node.
    weight : callable
        Returns the weight by health of a target by its identifier, from 0 to 1.
    load : callable
        Returns the load of a target by its identifier, None when it is unknown.

    Returns
    -------
    Explanation or None
        None when the version in force has no row for the service.
    """
    row = snapshot.rows_by_service.get(service)
    if row is None:
        return None
    destinations = snapshot.destinations_by_service.get(service, ())
    pending = snapshot.pending_by_service.get(service, ())
    targets = tuple(
        _explain_target(placed, row.spill, identity, weight, load)
        for destination in destinations
        for placed in snapshot.targets_by_service.get(destination.service, ())
    )
    problems = _problems(destinations, pending, targets)
    return Explanation(
        identity.node_id, snapshot.version, row, destinations, pending, targets, problems
    )


def _explain_target(
    placed: PlacedTarget,
    spill: Spill,
    identity: NodeIdentity,
    weight: Callable[[str], float],
    load: Callable[[str], Load | None],
) -> TargetExplanation:
    target = placed.target
    known_load = load(target.target_id)
    target_weight = weight(target.target_id)
    tier = _tier(placed, identity)
    return TargetExplanation(
        target.target_id,
        target.service,
        placed.node_id,
        placed.failure_domain,
        target.state,
        placed.reachable,
        tier,
        target_weight,
        "" if known_load is None else str(known_load),
        _obstacle(placed, tier, spill, target_weight),
    )


def _tier(placed: PlacedTarget, identity: NodeIdentity) -> Spill:
    if placed.failure_domain == identity.failure_domain:
        return Spill.DOMAIN
    return Spill.REGION if placed.region == identity.region else Spill.ANY


def _obstacle(placed: PlacedTarget, tier: Spill, spill: Spill, target_weight: float) -> str:
    if placed.target.state is not TargetState.READY:
        return f"the target is {placed.target.state}"
    if DISTANCE_BY_SPILL[tier] > DISTANCE_BY_SPILL[spill]:
        return f"spill={spill} of the row does not include it"
    if target_weight <= 0:
        return "ejected by passive health"
    if not placed.reachable:
        return "its node is unreachable; used only when no reachable target is left"
    return ""


def _problems(
    destinations: tuple[Destination, ...],
    pending: tuple[str, ...],
    targets: tuple[TargetExplanation, ...],
) -> tuple[str, ...]:
    problems = [f"destination {name} has no known target" for name in pending]
    for destination in destinations:
        own = [target for target in targets if target.service == destination.service]
        if destination.weight and all(target.obstacle for target in own):
            problems.append(f"destination {destination.service} has no target free of obstacles")
    if not destinations:
        problems.append("no destination has a target: requests get no_target")
    return tuple(problems)
