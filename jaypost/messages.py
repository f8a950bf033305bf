"""Frozen data classes of the control messages between nodes.

Every request has a `sender`, the node identifier of the caller. The receiver counts the bytes of
the call under the link to that node.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from jaypost.allotments.shares import Demand, Grant
from jaypost.records import Address, Delta, NodeRecord, NodeState, RolloutStep, Stamp, Table
from jaypost.rollouts.evidence import RouteEvidence
from jaypost.view import AgedAccusation


@dataclass(frozen=True, slots=True)
class CutDomain:
    """A failure domain that a reader has had no contact with for `age_s` seconds."""

    failure_domain: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Beacon:
    """Heartbeat of a reader, which is spread in its failure domain.

    Parameters
    ----------
    node_id : str
        Identifier of the reader.
    incarnation : int
        Incarnation of the reader.
    counter : int
        Raised by the reader at every sync interval.
    cut_domains : tuple of CutDomain
        Failure domains that the reader has no contact with.
    """

    node_id: str
    incarnation: int
    counter: int
    cut_domains: tuple[CutDomain, ...] = ()


@dataclass(frozen=True, slots=True)
class Sync:
    """Compare the state of two nodes; also the first step of the failure detector.

    A receiver that does not know the sender joins at `control_address`.
    """

    sender: str
    failure_domain: str
    held_version: int
    root_hash: int
    beacons: tuple[Beacon, ...] = ()
    accusations: tuple[AgedAccusation, ...] = ()
    control_address: Address | None = None


@dataclass(frozen=True, slots=True)
class SyncReply:
    """State of the receiver of `Sync`, with the deltas that the sender lacks when they are few.

    `newest_age_s` is the time in seconds since the store is known to have held no version above
    `held_version`; None if that is unknown.
    """

    node_id: str
    held_version: int
    root_hash: int
    beacons: tuple[Beacon, ...] = ()
    accusations: tuple[AgedAccusation, ...] = ()
    deltas: tuple[Delta, ...] = ()
    newest_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class CompareBuckets:
    """The top bucket hashes of the sender, 8 bytes each, little endian; see `jaypost.view`."""

    sender: str
    hashes: bytes


@dataclass(frozen=True, slots=True)
class LeafHashes:
    """The hashes of the leaf buckets of one top bucket, 8 bytes each, little endian."""

    bucket: int
    hashes: bytes


@dataclass(frozen=True, slots=True)
class CompareBucketsReply:
    """Leaf hashes of some top buckets that differ."""

    differing: tuple[LeafHashes, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeStamp:
    """Stamp of a node's record."""

    node_id: str
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class CompareStamps:
    """Stamps of the sender's records in some leaf buckets."""

    sender: str
    leaves: tuple[int, ...]
    stamps: tuple[NodeStamp, ...]


@dataclass(frozen=True, slots=True)
class CompareStampsReply:
    """Records that the sender of `CompareStamps` lacks, and a request for those that it has newer.

    Parameters
    ----------
    records : tuple of NodeRecord
        Records that the sender lacks or has in an older version.
    left_age_by_id : Mapping[str, float]
        Time in seconds since each left node of `records` left.
    wanted : tuple of str
        Identifiers of the nodes whose records the sender has newer.
    """

    records: tuple[NodeRecord, ...] = ()
    left_age_by_id: Mapping[str, float] = field(default_factory=dict)
    wanted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Push:
    """Updates: deltas, records, accusations and beacons.

    `left_age_by_id` has the time in seconds since each left node of `records` left.
    """

    sender: str
    deltas: tuple[Delta, ...] = ()
    records: tuple[NodeRecord, ...] = ()
    left_age_by_id: Mapping[str, float] = field(default_factory=dict)
    accusations: tuple[AgedAccusation, ...] = ()
    beacons: tuple[Beacon, ...] = ()


@dataclass(frozen=True, slots=True)
class PushTable:
    """A whole table, for a receiver whose held version is too old for deltas."""

    sender: str
    table: Table


@dataclass(frozen=True, slots=True)
class PushReply:
    """The version that the receiver of a push holds after it has applied the push."""

    held_version: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask the receiver to ping the node `node_id` at `address` on behalf of the sender."""

    sender: str
    node_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Whether the probed node answered at its address."""

    reached: bool


@dataclass(frozen=True, slots=True)
class Ping:
    """Check that a node answers, for the sender itself or for a `Probe` of another node."""

    sender: str


@dataclass(frozen=True, slots=True)
class StoreContact:
    """Contact of a node with the store, its own or that of a nearer region.

    Parameters
    ----------
    age_s : float
        Time in seconds since the store last answered a read of the table.
    round_trip_s : float or None
        Shortest time in seconds in which the node has opened a connection to the store.
    """

    age_s: float
    round_trip_s: float | None


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to `Ping`.

    Parameters
    ----------
    node_id : str
        Identifier of the node.
    held_version : int
        Version that it holds.
    store_contact : StoreContact or None
        None when the node does not read the table for its region.
    """

    node_id: str
    held_version: int
    store_contact: StoreContact | None = None


@dataclass(frozen=True, slots=True)
class Join:
    """Ask for all records and the table.

    Parameters
    ----------
    sender : str
        Identifier of the joining node.
    record : NodeRecord
        Record of the joining node.
    has_joined : bool
        Whether the sender has joined or founded a fleet, so that the receiver may join at it.
    """

    sender: str
    record: NodeRecord
    has_joined: bool = False


@dataclass(frozen=True, slots=True)
class JoinReply:
    """The state of the fleet that a joining node starts from.

    Parameters
    ----------
    node_id : str
        Identifier of the receiver of `Join`.
    held_version : int
        Version that it holds.
    table : bytes
        Packed `Table`; empty when the receiver holds none, or is in another region than the joining
        node, which then looks for a nearer copy.
    pieces : tuple of bytes
        Packed `RecordPiece` messages.
    accusations : tuple of AgedAccusation
        Accusations known to the receiver.
    beacons : tuple of Beacon
        Beacons known to the receiver, if it is in the same failure domain.
    previous : NodeRecord or None
        Record that the receiver had of the joining node before this `Join`.
    newest_age_s : float or None
        As in `SyncReply`.
    rollouts : tuple of RolloutStep
        Newest known step of each roll-out.
    """

    node_id: str
    held_version: int
    table: bytes = b""
    pieces: tuple[bytes, ...] = ()
    accusations: tuple[AgedAccusation, ...] = ()
    beacons: tuple[Beacon, ...] = ()
    previous: NodeRecord | None = None
    newest_age_s: float | None = None
    rollouts: tuple[RolloutStep, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordPiece:
    """The records of one top bucket; `left_age_by_id` as in `Push`."""

    records: tuple[NodeRecord, ...]
    left_age_by_id: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FetchTable:
    """Ask for the whole table."""

    sender: str


@dataclass(frozen=True, slots=True)
class FetchTableReply:
    """The table of the receiver; None when it holds none."""

    table: Table | None


class StatusScope(StrEnum):
    """The nodes that a status request asks about."""

    NODE = "node"
    DOMAIN = "domain"


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask for the status of the receiver or of all nodes in its failure domain."""

    sender: str
    scope: StatusScope


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of one node: its own report, or its known record when `answered` is false."""

    node_id: str
    failure_domain: str
    region: str
    state: NodeState
    stamp: Stamp
    answered: bool
    held_version: int = 0
    in_force_version: int = 0
    problems: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusReply:
    """Status of the nodes asked for."""

    statuses: tuple[NodeStatus, ...]


@dataclass(frozen=True, slots=True)
class RolloutQuery:
    """Ask a node about its targets of a service in a roll-out; it also learns the step."""

    sender: str
    step: RolloutStep


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """What a node saw at its targets of a service since the order of the step.

    Parameters
    ----------
    node_id : str
        Identifier of the node.
    incarnation : int
        Incarnation of the node; its counts start from zero with each one.
    number : int
        Number of the step that the node follows.
    excluded_calls : int
        Calls that wait or are in execution at targets of a version that the step excludes.
    new, old : tuple of RouteEvidence
        Results at targets of the new version, and of other versions.
    """

    node_id: str
    incarnation: int
    number: int
    excluded_calls: int
    new: tuple[RouteEvidence, ...] = ()
    old: tuple[RouteEvidence, ...] = ()


@dataclass(frozen=True, slots=True)
class AllotmentRequest:
    """Ask the divider for shares; `demands` replace all earlier ones of the sender.

    `incarnation` is that of the sender, and `sequence` orders its requests.
    """

    sender: str
    term: int
    incarnation: int
    sequence: int
    demands: tuple[Demand, ...] = ()


@dataclass(frozen=True, slots=True)
class AllotmentReply:
    """Shares of the sender of `AllotmentRequest`."""

    grants: tuple[Grant, ...] = ()
