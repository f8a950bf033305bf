"""What the admin port of a node answers to the queries of `jaypost`, decoded and judged."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from jaypost.admin_client import AdminClient, AdminUnreachable
from jaypost.errors import ErrorKind
from jaypost.explanations import Explanation
from jaypost.records import Address, NodeState, Target

T = TypeVar("T")

# Errors that another node would give as well.
FINAL_KINDS = frozenset({ErrorKind.UNKNOWN_SERVICE, ErrorKind.BAD_REQUEST})


@dataclass(frozen=True, slots=True)
class NodeView:
    """Status of one node; fields that an older node does not send keep their default.

    Parameters
    ----------
    answered : bool
        Whether the node reported this itself; otherwise it is what others know of it.
    held_version, in_force_version : int
        Newest table version held, and the one that requests use.
    problems : tuple of str
        Why the node refused a version; empty when it refused none.
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
    """What a node tells about itself alone.

    Parameters
    ----------
    not_ready_because : str
        Why the node is not ready; empty when it is.
    reader : bool
        Whether it watches the store for its failure domain.
    store_contact_age_s : float or None
        Seconds since the store last answered; None when it has not been asked.
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


@dataclass(frozen=True, slots=True)
class FleetView:
    """Status of the fleet, as the node that was asked collected it."""

    nodes: tuple[NodeView, ...]
    unreachable: tuple[str, ...] = ()

    @property
    def newest_version(self) -> int:
        """Highest version that a node holds."""
        return max((node.held_version for node in self.nodes), default=0)


@dataclass(frozen=True, slots=True)
class Spread:
    """How far a version has spread.

    Parameters
    ----------
    in_force : int
        Nodes that use the version or a later one.
    behind : tuple of str
        Nodes that answered and use an older version.
    refused : tuple of str
        Nodes whose validation refused the version.
    silent : tuple of str
        Reachable nodes that did not answer.
    """

    version: int
    in_force: int
    behind: tuple[str, ...]
    refused: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def total(self) -> int:
        """Number of nodes that should use the version."""
        return self.in_force + len(self.behind) + len(self.silent)

    @property
    def complete(self) -> bool:
        """Whether every node uses the version."""
        return self.in_force > 0 and not self.behind and not self.silent


@dataclass(frozen=True, slots=True)
class EventView:
    """One decision of a node."""

    at_ms: int
    name: str
    details: dict[str, Any]


@dataclass(frozen=True, slots=True)
class EventsView:
    """Newest decisions of a node and the number of those it no longer keeps."""

    events: tuple[EventView, ...]
    dropped: int = 0


@dataclass(frozen=True, slots=True)
class QueryFailed:
    """No node answered the query, or it answered with an error."""

    reason: str
    kind: ErrorKind | None = None


@dataclass(frozen=True, slots=True)
class _ErrorBody:
    error: ErrorKind
    text: str = ""
    reason: str = ""


def spread_of(fleet: FleetView, version: int) -> Spread:
    """Judge how far `version` has spread. Nodes that leave or are unreachable do not count."""
    unreachable = frozenset(fleet.unreachable)
    counted = [
        node
        for node in fleet.nodes
        if node.state not in (NodeState.LEAVING, NodeState.LEFT) and node.node_id not in unreachable
    ]
    answered = [node for node in counted if node.answered]
    behind = [node for node in answered if node.in_force_version < version]
    return Spread(
        version,
        len(answered) - len(behind),
        tuple(sorted(node.node_id for node in behind)),
        tuple(sorted(node.node_id for node in behind if node.problems)),
        tuple(sorted(node.node_id for node in counted if not node.answered)),
    )


class FleetClient:
    """Asks the first node that answers.

    Parameters
    ----------
    nodes : tuple of Address
        Admin addresses, tried in this order.
    """

    def __init__(self, nodes: tuple[Address, ...]) -> None:
        self._nodes = nodes

    async def node(self) -> LocalView | QueryFailed:
        """Return the status of the node that is asked."""
        return await self._get("/status", LocalView)

    async def fleet(self) -> FleetView | QueryFailed:
        """Return the status of all nodes."""
        return await self._get("/fleet", FleetView)

    async def explain(self, service: str) -> Explanation | QueryFailed:
        """Return how the node routes requests for `service`."""
        return await self._get(f"/explain/{quote(service, safe='')}", Explanation)

    async def events(self, limit: int, name: str | None) -> EventsView | QueryFailed:
        """Return the newest decisions of the node."""
        filtered = "" if name is None else f"&name={quote(name, safe='')}"
        return await self._get(f"/events?limit={limit}{filtered}", EventsView)

    async def _get(self, path: str, kind: type[T]) -> T | QueryFailed:
        reasons = []
        for address in self._nodes:
            response = await AdminClient(address).request("GET", path)
            if isinstance(response, AdminUnreachable):
                reasons.append(f"node {address}: {response.reason}")
                continue
            answer = _decode(response.status, response.body, kind)
            if not isinstance(answer, QueryFailed) or answer.kind in FINAL_KINDS:
                return answer
            reasons.append(f"node {address}: {answer.reason}")
        return QueryFailed("; ".join(reasons))


def _decode(status: int, body: bytes, kind: type[T]) -> T | QueryFailed:
    try:
        if status == 200:
            return msgspec.json.decode(body, type=kind)
        error = msgspec.json.decode(body, type=_ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        return QueryFailed(f"the answer with status {status} cannot be read: {problem}")
    return QueryFailed(" ".join(part for part in (error.text, error.reason) if part), error.error)
