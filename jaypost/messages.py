"""Frozen data classes of the control messages between nodes, and of the offers to the holder.

Every request has a `sender`, the node identifier of the caller, by which the receiver knows the
link that the bytes used.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from jaypost.records import Address, Delta, NodeRecord, NodeState, Stamp, Table
from jaypost.view import AgedAccusation


@dataclass(frozen=True, slots=True)
class CutDomain:
    """A failure domain that a reader has no contact with, and for how many seconds."""

    failure_domain: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Beacon:
    """Heartbeat of a reader, spread in its failure domain.

    Parameters
    ----------
    node_id : str
        The reader.
    incarnation : int
        Incarnation of the reader.
    counter : int
        Raised by the reader at every interval.
    cut_domains : tuple of CutDomain
        Failure domains that the reader has no contact with.
    """

    node_id: str
    incarnation: int
    counter: int
    cut_domains: tuple[CutDomain, ...] = ()


@dataclass(frozen=True, slots=True)
class Sync:
    """Compare the state of two nodes; also the probe of the failure detector.

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
    """State of the receiver of `Sync`, with the deltas that the sender lacks when they are few."""

    node_id: str
    held_version: int
    root_hash: int
    beacons: tuple[Beacon, ...] = ()
    accusations: tuple[AgedAccusation, ...] = ()
    deltas: tuple[Delta, ...] = ()


@dataclass(frozen=True, slots=True)
class CompareBuckets:
    """The top bucket hashes of the sender, 8 bytes each, little endian."""

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
class StampOf:
    """Stamp of a node's record."""

    node_id: str
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class CompareStamps:
    """Stamps of the sender's records in some leaf buckets."""

    sender: str
    leaves: tuple[int, ...]
    stamps: tuple[StampOf, ...]


@dataclass(frozen=True, slots=True)
class CompareStampsReply:
    """Records that the sender of `CompareStamps` lacks, and identifiers that the receiver lacks."""

    records: tuple[NodeRecord, ...] = ()
    left_age_by_id: Mapping[str, float] = field(default_factory=dict)
    wanted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Push:
    """News: deltas, records, accusations, beacons."""

    sender: str
    deltas: tuple[Delta, ...] = ()
    records: tuple[NodeRecord, ...] = ()
    left_age_by_id: Mapping[str, float] = field(default_factory=dict)
    accusations: tuple[AgedAccusation, ...] = ()
    beacons: tuple[Beacon, ...] = ()


@dataclass(frozen=True, slots=True)
class PushTable:
    """A whole table, for a receiver that holds too old a version for deltas."""

    sender: str
    table: Table


@dataclass(frozen=True, slots=True)
class PushReply:
    """The version that the receiver of news holds after it took them over."""

    held_version: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask another node to contact `address`."""

    sender: str
    node_id: str
    address: Address


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Whether the node at the address answered."""

    reached: bool


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask for a sign of life, on behalf of another node."""

    sender: str


@dataclass(frozen=True, slots=True)
class Pong:
    """Sign of life of a node, with the version that it holds."""

    node_id: str
    held_version: int


@dataclass(frozen=True, slots=True)
class Join:
    """Ask for all records and the table.

    Parameters
    ----------
    sender, record
        The sender and its own record.
    has_joined : bool
        Whether the sender has joined others before, so that the receiver may join at it.
    """

    sender: str
    record: NodeRecord
    has_joined: bool = False


@dataclass(frozen=True, slots=True)
class JoinReply:
    """All that a joining node needs.

    Parameters
    ----------
    node_id : str
        The receiver of `Join`.
    held_version : int
        Version that it holds.
    table : bytes
        Packed `Table`; empty when the receiver holds none.
    pieces : tuple of bytes
        Packed `RecordPiece` messages.
    accusations : tuple of AgedAccusation
        Accusations known to the receiver.
    beacons : tuple of Beacon
        Beacons known to the receiver, if it is in the same failure domain.
    previous : NodeRecord or None
        Record that the joining node had before, as the receiver knew it.
    """

    node_id: str
    held_version: int
    table: bytes = b""
    pieces: tuple[bytes, ...] = ()
    accusations: tuple[AgedAccusation, ...] = ()
    beacons: tuple[Beacon, ...] = ()
    previous: NodeRecord | None = None


@dataclass(frozen=True, slots=True)
class RecordPiece:
    """The records of one top bucket."""

    records: tuple[NodeRecord, ...]
    left_age_by_id: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FetchTable:
    """Ask for the whole table."""

    sender: str


@dataclass(frozen=True, slots=True)
class FetchTableReply:
    """The table that the receiver holds; None when it holds none."""

    table: Table | None


class StatusScope(StrEnum):
    """For which nodes a status request asks."""

    NODE = "node"
    DOMAIN = "domain"


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask for the status of the receiver or of all nodes in its failure domain."""

    sender: str
    scope: StatusScope


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of one node, as it reports it or, when `answered` is false, as others know it."""

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
