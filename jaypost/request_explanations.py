"""Explanation of where a request would go now, for ``jaypost explain-request``.

Nothing is sent and no token is taken. The decisions are those of the ingress, without an effect on
its state.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from jaypost.errors import ANSWER_BY_KIND, ErrorKind
from jaypost.explanations import Explanation, NodeIdentity, explain
from jaypost.placement import ChooseTarget, Chosen, NoTarget
from jaypost.records import Destination, Load, Row, Snapshot
from jaypost.workspaces.keys import NO_PRIORITY, Workspace

# Choices shown for each destination: the target of the first attempt, and that of the next one.
SHOWN_CHOICES = 2


@dataclass(frozen=True, slots=True)
class RequestQuery:
    """A request to explain; `workspace` is the name of its workspace, empty without a key."""

    host: str
    path: str
    method: str = "GET"
    workspace: str = ""


@dataclass(frozen=True, slots=True)
class Choice:
    """Target of one attempt, whether the attempt may wait there, and the choice about leaving."""

    target_id: str
    node_id: str
    failure_domain: str
    version: str
    may_wait: bool
    crossing: str = ""


@dataclass(frozen=True, slots=True)
class DestinationChoices:
    """Where the requests of one destination would go.

    Parameters
    ----------
    service : str
        Destination service.
    share : float
        Fraction of the requests of the route.
    canary_share : float
        Fraction of them that goes to a new version in a roll-out.
    choices : tuple of Choice
        Target of the first attempt and of the next one.
    refused : str
        Error kind if there is no target to try, else empty.
    """

    service: str
    share: float
    canary_share: float
    choices: tuple[Choice, ...]
    refused: str = ""


@dataclass(frozen=True, slots=True)
class RequestExplanation:
    """What a node would do with a request now.

    Parameters
    ----------
    node_id : str
        Node that answers.
    version : int
        Table version in force there.
    route : str
        Row that matches; empty when none does.
    repeatable : bool
        Whether the request may be executed more than once.
    priority : int
        Rank of the request in queues.
    workspace : str
        Its workspace; empty without one.
    rate_limit : float
        Limit of the workspace on all hosts, 0 for none.
    share_rate : float
        Requests per second that this host may admit of it now.
    destinations : tuple of DestinationChoices
        Where the request would go.
    refused : str
        Error kind with which it would be refused before a target is chosen, else empty.
    status : int
        Status of that refusal; 0 without one.
    explanation : Explanation or None
        Candidates of the row with their obstacles.
    """

    node_id: str
    version: int
    route: str = ""
    repeatable: bool = False
    priority: int = 0
    workspace: str = ""
    rate_limit: float = 0.0
    share_rate: float = 0.0
    destinations: tuple[DestinationChoices, ...] = ()
    refused: str = ""
    status: int = 0
    explanation: Explanation | None = None


@dataclass(frozen=True, slots=True)
class DecisionSources:
    """What the decisions of a node depend on.

    Parameters
    ----------
    snapshot : Snapshot
        Configuration in force.
    identity : NodeIdentity
        The node and its location.
    preview : callable
        Returns what `Placement.choose` would, without changing anything.
    weight : callable
        Health of a target.
    load : callable
        Load of a target as last reported.
    share_rates : Mapping[str, float]
        Shares of this host by workspace.
    crossing_ms : float
        Price of a crossing where the row has none.
    now : float
        Monotonic time in seconds.
    """

    snapshot: Snapshot
    identity: NodeIdentity
    preview: Callable[[ChooseTarget], Chosen | NoTarget]
    weight: Callable[[str], float]
    load: Callable[[str], Load | None]
    share_rates: Mapping[str, float]
    crossing_ms: float
    now: float


def explain_request(query: RequestQuery, sources: DecisionSources) -> RequestExplanation:
    """Return what a node would do with a request now."""
    snapshot, node_id = sources.snapshot, sources.identity.node_id
    row = snapshot.routes.find(query.host.lower().partition(":")[0], query.path)
    if not snapshot.version:
        return _refused(node_id, snapshot, ErrorKind.NOT_READY)
    if row is None:
        return _refused(node_id, snapshot, ErrorKind.UNKNOWN_SERVICE)
    workspace = snapshot.workspaces.workspace_by_name.get(query.workspace)
    if snapshot.workspaces and workspace is None and not row.without_key:
        return _refused(node_id, snapshot, ErrorKind.UNKNOWN_KEY, row)
    own_priority = workspace is not None and workspace.priority != NO_PRIORITY
    destinations = row.destinations or (Destination(row.service, 1),)
    total = sum(item.weight for item in destinations)
    return RequestExplanation(
        node_id,
        snapshot.version,
        row.service,
        query.method in row.repeatable_methods,
        workspace.priority if workspace is not None and own_priority else row.priority,
        query.workspace if workspace is not None else "",
        workspace.rate_limit if workspace is not None else 0.0,
        _share_rate(workspace, sources),
        tuple(
            _choices(item.service, item.weight / total, row, sources)
            for item in destinations
            if item.weight
        ),
        explanation=explain(row.service, snapshot, sources.identity, sources.weight, sources.load),
    )


def _refused(
    node_id: str, snapshot: Snapshot, kind: ErrorKind, row: Row | None = None
) -> RequestExplanation:
    return RequestExplanation(
        node_id,
        snapshot.version,
        row.service if row is not None else "",
        refused=kind,
        status=ANSWER_BY_KIND[kind].status,
    )


def _share_rate(workspace: Workspace | None, sources: DecisionSources) -> float:
    return sources.share_rates.get(workspace.name, 0.0) if workspace is not None else 0.0


def _choices(service: str, share: float, row: Row, sources: DecisionSources) -> DestinationChoices:
    canary = sources.snapshot.canary_by_service.get(service)
    targets = sources.snapshot.targets_by_service.get(service, ())
    tried: frozenset[str] = frozenset()
    choices: list[Choice] = []
    refused = "" if targets else ErrorKind.NO_TARGET.value
    while targets and len(choices) < SHOWN_CHOICES:
        chosen = sources.preview(
            ChooseTarget(
                service,
                targets,
                row.spill,
                tried,
                False,
                sources.now,
                crossing_price_s=(row.crossing_ms or sources.crossing_ms) / 1000,
            )
        )
        if isinstance(chosen, NoTarget):
            refused = "" if choices else chosen.kind.value
            break
        placed = chosen.target
        tried |= {placed.target.target_id}
        choices.append(
            Choice(
                placed.target.target_id,
                placed.node_id,
                placed.failure_domain,
                placed.target.version,
                chosen.may_queue,
                chosen.crossing.value if chosen.crossing is not None else "",
            )
        )
    canary_share = canary.share if canary is not None else 0.0
    return DestinationChoices(service, share, canary_share, tuple(choices), refused)
