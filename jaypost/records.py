"""Frozen data classes shared by the modules: table, membership and the snapshot in force."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from jaypost.workspaces.keys import WorkspaceIndex

LOOPBACK = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of a listening socket."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Destination:
    """A service that receives a share of a row's requests.

    Parameters
    ----------
    service : str
        Name of the service, which must have a row of its own.
    weight : int
        Relative share, 0 to 1000.
    """

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class TenantShare:
    """Relative share of a tenant in the queue of a target, 1 to 1000."""

    tenant: str
    share: int


class Spill(StrEnum):
    """How far from its ingress node a request may be sent: failure domain, region or anywhere."""

    DOMAIN = "domain"
    REGION = "region"
    ANY = "any"


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the operators' table: the configuration of a service or of a route to services.

    Parameters
    ----------
    service : str
        Name of the row: a service, or a route that only has other services as destinations.
    host : str
        Value of the ``Host`` header that the row matches; empty means the name of the row.
    path_prefix : str
        Path prefix that the row matches, with a slash at both ends. The longest matching prefix of
        a host wins. Empty means that the row is used only as a destination of other rows.
    destinations : tuple of Destination
        Services that receive the requests; empty means the service itself.
    rate_limit : float
        Requests per second for the whole fleet; 0 means no limit.
    concurrency_limit : int
        Requests in execution for the whole fleet; 0 means no limit.
    queue_limit : int
        Maximum number of requests in the queue of one target.
    timeout_ms : int
        Default and maximum deadline of a request in milliseconds.
    first_byte_timeout_ms : int
        Time in milliseconds without the first byte of a response after which the connection counts
        as silent; 0 means the deadline of the request.
    retry_limit : int
        Maximum number of attempts after the first.
    retry_budget : float
        Limit on retries and hedges, as a fraction of the requests of the service.
    repeatable_methods : tuple of str
        HTTP methods that are idempotent and may be executed more than once.
    hedge_ms : int
        Delay in milliseconds before a second attempt of a repeatable request; 0 means no hedge.
    long_prefixes : tuple of str
        Path prefixes whose requests count as long work.
    short_reserve : float
        Fraction of the slots of a target that long work may not use.
    tenant_shares : tuple of TenantShare
        Shares of the tenants in a queue; a tenant that is not listed has share 1.
    spill : Spill
        Where requests may be sent.
    priority : int
        Rank in the queue of a target; 0 goes first. In the row of a workspace it goes before that
        of the route, unless it is -1.
    target_latency_ms : int
        Time in milliseconds within which the caller wants the response. A request that cannot be
        answered within it does not wait in a queue; 0 means the deadline.
    rate_burst : float
        Requests beyond `rate_limit` that may come at once; 0 means those of 0.1 s.
    without_key : bool
        Whether requests without a known key are served as well, in a table with workspaces.
    crossing_ms : float
        Time in milliseconds that a request waits rather than leave its failure domain; 0 means that
        of the settings.
    workspace : str
        Name of the workspace that the row describes; empty for services and routes.
    key_digests : tuple of str
        Digests of keys of that workspace, in hexadecimal; see `jaypost.workspaces.keys`.
    """

    service: str
    host: str = ""
    path_prefix: str = "/"
    destinations: tuple[Destination, ...] = ()
    rate_limit: float = 0.0
    concurrency_limit: int = 0
    queue_limit: int = 64
    timeout_ms: int = 10_000
    first_byte_timeout_ms: int = 0
    retry_limit: int = 2
    retry_budget: float = 0.1
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    hedge_ms: int = 0
    long_prefixes: tuple[str, ...] = ()
    short_reserve: float = 0.25
    tenant_shares: tuple[TenantShare, ...] = ()
    spill: Spill = Spill.ANY
    priority: int = 0
    target_latency_ms: int = 0
    rate_burst: float = 0.0
    without_key: bool = False
    crossing_ms: float = 0.0
    workspace: str = ""
    key_digests: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RowProblem:
    """Why a row is refused; `column` is empty when the problem concerns the whole row."""

    service: str
    column: str
    reason: str


@dataclass(frozen=True, slots=True)
class RowChange:
    """New value of a row; `row` is None when the row is deleted."""

    service: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class Delta:
    """The change from one version to a later one.

    Parameters
    ----------
    version : int
        Version after the change.
    change_id : str
        Random identifier, by which a writer determines whether its change took effect.
    author : str
        Operator who made the change.
    at_ms : int
        Wall-clock time of the change in milliseconds since 1970, for display and metrics only.
    comment : str
        Reason given by the operator.
    rows : tuple of RowChange
        Rows that change.
    digest : str
        Digest of the whole table after the change.
    base : int or None
        Version that the change applies to; None means ``version - 1``.
    """

    version: int
    change_id: str
    author: str
    at_ms: int
    comment: str
    rows: tuple[RowChange, ...]
    digest: str
    base: int | None = None

    @property
    def base_version(self) -> int:
        """Version that the change applies to."""
        return self.version - 1 if self.base is None else self.base


@dataclass(frozen=True, slots=True)
class Table:
    """The complete table at one version."""

    version: int
    rows_by_service: Mapping[str, Row]
    digest: str


@dataclass(frozen=True, slots=True)
class Head:
    """Value of the head key in the store: the newest version and the deltas since a snapshot."""

    version: int
    digest: str
    snapshot_version: int
    deltas: tuple[Delta, ...]


class TargetState(StrEnum):
    """State of a target, as announced to the node of its host."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class NodeState(StrEnum):
    """State of a node."""

    JOINING = "joining"
    READY = "ready"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Target:
    """A target on the host of the node that owns the record.

    Parameters
    ----------
    target_id : str
        Unique identifier.
    service : str
        Service that the target belongs to.
    port : int
        Port on which the target listens.
    slots : int
        Maximum number of requests that the target executes at the same time.
    state : TargetState
        Announced state.
    incarnation : int
        Start time of the target in milliseconds since 1970; 0 when unknown.
    host : str
        IP address at which the node of the host reaches the target.
    version : str
        Version of the software of the target; empty when roll-outs are not in use.
    """

    target_id: str
    service: str
    port: int
    slots: int
    state: TargetState
    incarnation: int = 0
    host: str = LOOPBACK
    version: str = ""


@dataclass(frozen=True, slots=True)
class Departure:
    """A target that drains or is gone.

    `incarnation` is its start time in milliseconds since 1970. Announcements of the same or an
    earlier start cannot make the target ready again.
    """

    target_id: str
    incarnation: int


class RolloutPhase(StrEnum):
    """Phase of a roll-out: in progress, or one of its two ends."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """What every node does with the versions of one service, from one decision of a roll-out on.

    Parameters
    ----------
    service : str
        Service whose requests are moved.
    version : str
        Version that the requests are moved to.
    baseline : str
        Version that the targets had before.
    phase : RolloutPhase
        Phase of the roll-out.
    share : float
        Fraction of the requests that go to `version`, 0 to 1.
    order : int
        Revision of the operator's order in the store.
    number : int
        Number of this step within the order, from 1.
    era : int
        Era of the store in which the order was read; see `jaypost.store.StoreEra`.
    """

    service: str
    version: str
    baseline: str
    phase: RolloutPhase
    share: float
    order: int
    number: int
    era: int = 0

    def newer_than(self, other: RolloutStep) -> bool:
        """Return whether this step replaces `other`, a step for the same service.

        Two nodes may decide on a step of the same number while one of them does not reach the
        store. Only the other one can succeed, so that its step goes first.
        """
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, int, int, bool]:
        return (self.era, self.order, self.number, self.phase is RolloutPhase.SUCCEEDED)


@dataclass(frozen=True, slots=True)
class Stamp:
    """Orders the records of one node: the higher (incarnation, sequence) is newer."""

    incarnation: int
    sequence: int

    def newer_than(self, other: Stamp) -> bool:
        """Return whether this stamp is newer than `other`."""
        return (self.incarnation, self.sequence) > (other.incarnation, other.sequence)


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """State of a node and its targets, as known to the fleet. Only the node itself changes it.

    Other nodes send requests for its targets to `peer_address` and control messages to
    `control_address`; its admin server listens on `admin_address`. `rollouts` has the steps that
    the node decided on. `divider_term` is above 0 while the node divides allotments; the divider
    with the highest term is the present one. `link_mbps` is the rate of the host's link in megabits
    per second, 0 when it is not known. `departures` has the newest departures of the host, so that
    the node learns of them after a restart.
    """

    node_id: str
    failure_domain: str
    region: str
    peer_address: Address
    control_address: Address
    admin_address: Address
    stamp: Stamp
    state: NodeState
    targets: tuple[Target, ...] = ()
    rollouts: tuple[RolloutStep, ...] = ()
    divider_term: int = 0
    link_mbps: float = 0.0
    departures: tuple[Departure, ...] = ()


@dataclass(frozen=True, slots=True)
class Accusation:
    """A claim that a node did not answer while its record had this stamp."""

    node_id: str
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class PlacedTarget:
    """A target with the location, address and link of its node, as used by placement."""

    target: Target
    node_id: str
    failure_domain: str
    region: str
    peer_address: Address
    reachable: bool = True
    link_mbps: float = 0.0


class RouteIndex:
    """Rows by host and path prefix.

    Parameters
    ----------
    rows : iterable of Row
        Rows of one table version.
    """

    __slots__ = ("_row_by_prefix_by_host",)

    def __init__(self, rows: Iterable[Row] = ()) -> None:
        self._row_by_prefix_by_host: dict[str, dict[str, Row]] = {}
        for row in rows:
            if row.path_prefix:
                row_by_prefix = self._row_by_prefix_by_host.setdefault(row.host or row.service, {})
                row_by_prefix[row.path_prefix] = row

    def find(self, host: str, path: str) -> Row | None:
        """Return the row of `host` with the longest prefix of `path`, or None if there is none."""
        row_by_prefix = self._row_by_prefix_by_host.get(host)
        if row_by_prefix is None:
            return None
        prefix = path.partition("?")[0]
        while prefix:
            prefix = prefix[: prefix.rfind("/") + 1]
            row = row_by_prefix.get(prefix)
            if row is not None:
                return row
            prefix = prefix[:-1]
        return None


@dataclass(frozen=True, slots=True)
class Canary:
    """Targets of a new version that get a share of the requests of a service.

    Parameters
    ----------
    group : str
        Key of these targets in `Snapshot.targets_by_service`.
    share : float
        Fraction of the requests of the service, 0 to 1.
    """

    group: str
    share: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration that requests use: one table version joined with the known targets.

    Parameters
    ----------
    version : int
        Table version; 0 when no version is in force yet.
    rows_by_service : Mapping[str, Row]
        Rows of that version.
    destinations_by_service : Mapping[str, tuple of Destination]
        Destinations that have at least one known target.
    pending_by_service : Mapping[str, tuple of str]
        Destinations that have no known target yet.
    targets_by_service : Mapping[str, tuple of PlacedTarget]
        Known targets.
    routes : RouteIndex
        Rows of that version, indexed by host and path prefix.
    canary_by_service : Mapping[str, Canary]
        Services with a roll-out in progress, and where its share of the requests goes.
    workspaces : WorkspaceIndex
        Workspaces of that version by key; empty when requests carry no keys.
    """

    version: int = 0
    rows_by_service: Mapping[str, Row] = field(default_factory=dict)
    destinations_by_service: Mapping[str, tuple[Destination, ...]] = field(default_factory=dict)
    pending_by_service: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    targets_by_service: Mapping[str, tuple[PlacedTarget, ...]] = field(default_factory=dict)
    routes: RouteIndex = field(default_factory=RouteIndex)
    canary_by_service: Mapping[str, Canary] = field(default_factory=dict)
    workspaces: WorkspaceIndex = field(default_factory=WorkspaceIndex)


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a target, as reported by its node: busy slots, offered slots, queued requests."""

    busy: int
    slots: int
    queued: int

    def __str__(self) -> str:
        return f"{self.busy}/{self.slots}/{self.queued}"
