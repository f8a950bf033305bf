"""Client for the queries that `jaypost` sends to the admin port of a node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from jaypost.admin_client import AdminClient, AdminUnreachable
from jaypost.errors import ErrorKind
from jaypost.explanations import Explanation
from jaypost.records import Address, NodeState, Target
from jaypost.request_explanations import RequestExplanation, RequestQuery

T = TypeVar("T")

# Errors that every node would return, so that the next node is not asked.
NON_RETRYABLE_KINDS = frozenset({ErrorKind.UNKNOWN_SERVICE, ErrorKind.BAD_REQUEST})


@dataclass(frozen=True, slots=True)
class NodeView:
    """Status of one node. Fields that an older release does not send have their default value.

    Parameters
    ----------
    answered : bool
        Whether the node reported this status itself. If not, it is what other nodes know.
    held_version, in_force_version : int
        Newest table version that the node holds, and the version that its requests use.
    problems : tuple of str
        Problems of the version that the node refused; empty if it refused none.
    """

    node_id: str
    failure_domain: str = ""
    region: str = ""
    state: NodeState = NodeState.READY
    answered: bool = True
    held_version: int = 0
    in_force_version: int = 0
    problems: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LocalView:
    """Detailed status of one node, as the node reports it.

    Parameters
    ----------
    not_ready_because : str
        Why the node is not ready; empty if it is ready.
    reader : bool
        Whether the node watches the store for its failure domain.
    store_contact_age_s : float or None
        Seconds since the store last answered a table read of this node; None if it never did.
    version_lag_s : float
        Seconds since the node knows of a newer version than the one in force; 0 if it knows none.
    """

    node_id: str
    failure_domain: str = ""
    region: str = ""
    state: NodeState = NodeState.READY
    ready: bool = False
    not_ready_because: str = ""
    held_version: int = 0
    in_force_version: int = 0
    problems: tuple[str, ...] = ()
    reader: bool = False
    known_nodes: int = 0
    unreachable_nodes: tuple[str, ...] = ()
    targets: tuple[Target, ...] = ()
    store_contact_age_s: float | None = None
    version_lag_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """Status of all nodes, as collected by the node that was queried."""

    nodes: tuple[NodeView, ...]
    unreachable: tuple[str, ...] = ()

    @property
    def newest_version(self) -> int:
        """Newest table version that any node holds."""
        return max((node.held_version for node in self.nodes), default=0)


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """Rollout progress of a table version.

    Parameters
    ----------
    in_force : int
        Number of nodes that use the version or a newer one.
    behind : tuple of str
        Nodes that answered and use an older version.
    refused : tuple of str
        Nodes that are behind and reported validation problems.
    silent : tuple of str
        Nodes that did not respond although they are considered reachable.
    """

    version: int
    in_force: int
    behind: tuple[str, ...]
    refused: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def total(self) -> int:
        """Number of nodes that are expected to use the version."""
        return self.in_force + len(self.behind) + len(self.silent)

    @property
    def complete(self) -> bool:
        """Whether every expected node uses the version or a newer one."""
        return self.in_force > 0 and not self.behind and not self.silent


@dataclass(frozen=True, slots=True)
class EventView:
    """One event from the event log of a node."""

    at_ms: int
    name: str
    details: dict[str, Any]


@dataclass(frozen=True, slots=True)
class EventsView:
    """Newest events of a node, and the number of older events that it has dropped."""

    events: tuple[EventView, ...]
    dropped: int = 0


@dataclass(frozen=True, slots=True)
class QueryFailed:
    """No node answered the query, or a node answered with an error."""

    reason: str
    kind: ErrorKind | None = None


@dataclass(frozen=True, slots=True)
class _ErrorBody:
    error: ErrorKind
    text: str = ""
    reason: str = ""


def rollout_progress(fleet: FleetView, version: int) -> RolloutProgress:
    """Return the rollout progress of `version`.

    Nodes that are leaving, have left or are unreachable are not counted.
    """
    unreachable = frozenset(fleet.unreachable)
    counted = [
        node
        for node in fleet.nodes
        if node.state not in (NodeState.LEAVING, NodeState.LEFT) and node.node_id not in unreachable
    ]
    answered = [node for node in counted if node.answered]
    behind = [node for node in answered if node.in_force_version < version]
    return RolloutProgress(
        version,
        len(answered) - len(behind),
        tuple(sorted(node.node_id for node in behind)),
        tuple(sorted(node.node_id for node in behind if node.problems)),
        tuple(sorted(node.node_id for node in counted if not node.answered)),
    )


class FleetClient:
    """Sends each query to the nodes in turn until one of them answers.

    Parameters
    ----------
    nodes : tuple of Address
        Admin addresses, tried in this order.
    """

    def __init__(self, nodes: tuple[Address, ...]) -> None:
        self._nodes = nodes

    async def node(self) -> LocalView | QueryFailed:
        """Return the status of the node that answers."""
        return await self._get("/status", LocalView)

    async def fleet(self) -> FleetView | QueryFailed:
        """Return the status of all nodes."""
        return await self._get("/fleet", FleetView)

    async def explain(self, service: str) -> Explanation | QueryFailed:
        """Return how the node that answers routes requests for `service`."""
        return await self._get(f"/explain/{quote(service, safe='')}", Explanation)

    async def explain_request(self, query: RequestQuery) -> RequestExplanation | QueryFailed:
        """Return what the node that answers would do with a request now."""
        parameters = urlencode(msgspec.to_builtins(query))
        return await self._get(f"/explain-request?{parameters}", RequestExplanation)

    async def events(self, limit: int, name: str | None) -> EventsView | QueryFailed:
        """Return up to `limit` of the newest events, optionally only those called `name`."""
        name_query = "" if name is None else f"&name={quote(name, safe='')}"
        return await self._get(f"/events?limit={limit}{name_query}", EventsView)

    async def _get(self, path: str, result_type: type[T]) -> T | QueryFailed:
        reasons = []
        for address in self._nodes:
            response = await AdminClient(address).request("GET", path)
            if isinstance(response, AdminUnreachable):
                reasons.append(f"node {address}: {response.reason}")
                continue
            result = _decode_response(response.status, response.body, result_type)
            if not isinstance(result, QueryFailed) or result.kind in NON_RETRYABLE_KINDS:
                return result
            reasons.append(f"node {address}: {result.reason}")
        return QueryFailed("; ".join(reasons))


def _decode_response(status: int, body: bytes, result_type: type[T]) -> T | QueryFailed:
    try:
        if status == 200:
            return msgspec.json.decode(body, type=result_type)
        error = msgspec.json.decode(body, type=_ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as decode_error:
        return QueryFailed(f"cannot decode the response with status {status}: {decode_error}")
    return QueryFailed(" ".join(part for part in (error.text, error.reason) if part), error.error)
