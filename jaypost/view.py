"""Membership view of one node: the node records, their reachability and the known targets.

The view does no input or output; time and randomness are passed in.

For the comparison of views, the records are in a hash tree: the hash of a node identifier selects
one of `LEAF_COUNT` leaf buckets, and `BUCKET_FANOUT` consecutive leaf buckets form a top bucket.
The hash of a bucket and the root hash are the XOR of the digests of their records.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from types import MappingProxyType

import xxhash

from jaypost.invariants import check
from jaypost.records import (
    Accusation,
    Address,
    Departure,
    NodeRecord,
    NodeState,
    PlacedTarget,
    RolloutStep,
    Stamp,
    Target,
    TargetState,
)

BUCKET_FANOUT = 32  # top buckets of the hash tree, and leaf buckets in each of them
LEAF_COUNT = BUCKET_FANOUT * BUCKET_FANOUT
# Time until the records of unreachable nodes, or of a domain that is cut off, are removed.
UNREACHABLE_RETENTION_S = 24 * 3600.0
# Time until the record of a node that has left is removed.
LEFT_RETENTION_S = 600.0
# Copies of a removed record are refused for this long. Other nodes remove the record seconds
# earlier or later, and a node that still holds it would otherwise bring it back.
TOMBSTONE_LIFETIME_S = 3600.0
# After contact with an accused node, copies of the accusation are ignored for this long. The node
# raises its stamp within seconds; once its new record arrives, the copies are stale anyway.
CONTACT_GRACE_S = 10.0
# A longer gap between two calls of `expire` means that this process was paused. Refutations that
# arrived in the meantime are still unread, so the deadlines of suspicions are moved by the gap.
PAUSE_THRESHOLD_S = 2.0
# Random draws for each node asked for, before all candidates are listed instead.
SAMPLE_DRAWS_PER_NODE = 8


class Scope(StrEnum):
    """Nodes of the own failure domain, of other domains of the own region, or of other regions."""

    DOMAIN = "domain"
    REGION = "region"
    CROSS_REGION = "cross_region"


class AccusationOutcome(StrEnum):
    """What an accusation changed in the view.

    ``NEW`` is recorded, or may now be passed on to other nodes. ``KNOWN`` was recorded before.
    ``STALE`` is ignored: the node is unknown, has left, was contacted lately or has a newer stamp.
    ``REFUTED`` is against the own node, which raised its stamp.
    """

    NEW = "new"
    KNOWN = "known"
    STALE = "stale"
    REFUTED = "refuted"


@dataclass(frozen=True, slots=True)
class AgedAccusation:
    """An accusation and the time in seconds since it was first made."""

    accusation: Accusation
    age_s: float


@dataclass(frozen=True, slots=True)
class _Suspicion:
    """An accusation that the node has not refuted.

    `since` is when it was first made and `unreachable_at` the deadline for a refutation, both in
    monotonic time. `spread` tells whether it may be passed on to other nodes.
    """

    stamp: Stamp
    since: float
    unreachable_at: float
    spread: bool


@dataclass(frozen=True, slots=True)
class _Contact:
    """A contact with an accused node; `stamp` is that of the accusation."""

    stamp: Stamp
    at: float


@dataclass(frozen=True, slots=True)
class _Tombstone:
    stamp: Stamp
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Entry:
    record: NodeRecord
    digest: int
    leaf: int


class _IdList:
    """Node identifiers with constant-time insertion, removal and random choice."""

    def __init__(self) -> None:
        self.ids: list[str] = []
        self._index_by_id: dict[str, int] = {}

    def add(self, node_id: str) -> None:
        if node_id not in self._index_by_id:
            self._index_by_id[node_id] = len(self.ids)
            self.ids.append(node_id)

    def remove(self, node_id: str) -> None:
        index = self._index_by_id.pop(node_id, None)
        if index is None:
            return
        last = self.ids.pop()
        if last != node_id:
            self.ids[index] = last
            self._index_by_id[last] = index


def reader_rank(failure_domain: str, node_id: str) -> int:
    """Return the rank of a node in its domain; the nodes with the lowest ranks become readers."""
    return xxhash.xxh64_intdigest(f"{failure_domain}\0{node_id}")


def _leaf_of(node_id: str) -> int:
    return xxhash.xxh64_intdigest(node_id) % LEAF_COUNT


def _digest_of(record: NodeRecord) -> int:
    stamp = record.stamp
    return xxhash.xxh64_intdigest(f"{record.node_id}\0{stamp.incarnation}\0{stamp.sequence}")


def _current_targets(record: NodeRecord) -> tuple[Target, ...]:
    if record.state is NodeState.LEFT:
        return ()
    return tuple(target for target in record.targets if target.state is not TargetState.GONE)


class MembershipView:
    """Node records merged by stamp, with their reachability, hashes and targets by service.

    Parameters
    ----------
    own : NodeRecord
        Record of the node that holds this view.
    now : float
        Monotonic time in seconds.
    suspicion_s : float
        Time in seconds that an accused node has for a refutation.
    reader_count : int
        Number of readers in each failure domain.
    """

    def __init__(
        self, own: NodeRecord, now: float, suspicion_s: float = 5.0, reader_count: int = 2
    ) -> None:
        self._own_id = own.node_id
        self._suspicion_s = suspicion_s
        self._reader_count = reader_count
        self._last_expire_at = now
        self._entry_by_id: dict[str, _Entry] = {}
        self._ids_by_domain: dict[str, _IdList] = {}
        self._region_by_domain: dict[str, str] = {}
        self._ids_by_leaf: list[set[str]] = [set() for _ in range(LEAF_COUNT)]
        self._leaf_hashes = [0] * LEAF_COUNT
        self._top_hashes = [0] * BUCKET_FANOUT
        self._root_hash = 0
        self._suspicion_by_id: dict[str, _Suspicion] = {}
        self._unreachable: set[str] = set()
        self._contact_by_id: dict[str, _Contact] = {}
        self._left_at_by_id: dict[str, float] = {}
        self._tombstone_by_id: dict[str, _Tombstone] = {}
        self._cut_since_by_domain: dict[str, float] = {}
        self._targets_by_node_id_by_service: dict[str, dict[str, tuple[Target, ...]]] = {}
        self._placed_by_service: dict[str, tuple[PlacedTarget, ...]] = {}
        self._stale_services: set[str] = set()
        self._cached_targets: Mapping[str, tuple[PlacedTarget, ...]] = MappingProxyType({})
        self._readers_by_domain: dict[str, tuple[str, ...]] = {}
        self._rollout_step_by_service: dict[str, RolloutStep] = {}
        self._divider_ids: set[str] = set()
        # Number of changes of the reachability of nodes and of records, except for changes of the
        # stamp alone.
        self.change_count = 0
        self._store(own)

    # Records

    @property
    def own(self) -> NodeRecord:
        """Return the record of the own node."""
        return self._entry_by_id[self._own_id].record

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def get(self, node_id: str) -> NodeRecord | None:
        """Return the record of a node, or None when it is not known."""
        entry = self._entry_by_id.get(node_id)
        return entry.record if entry else None

    def records(self) -> tuple[NodeRecord, ...]:
        """Return all records, including the own one."""
        return tuple(entry.record for entry in self._entry_by_id.values())

    def update_own(
        self,
        state: NodeState | None = None,
        targets: tuple[Target, ...] | None = None,
        control_address: Address | None = None,
        rollouts: tuple[RolloutStep, ...] | None = None,
        divider_term: int | None = None,
        link_mbps: float | None = None,
        departures: tuple[Departure, ...] | None = None,
    ) -> NodeRecord:
        """Change the own record and increment the sequence of its stamp."""
        own = self.own
        record = replace(
            own,
            state=own.state if state is None else state,
            targets=own.targets if targets is None else targets,
            control_address=control_address or own.control_address,
            rollouts=own.rollouts if rollouts is None else rollouts,
            divider_term=own.divider_term if divider_term is None else divider_term,
            link_mbps=own.link_mbps if link_mbps is None else link_mbps,
            departures=own.departures if departures is None else departures,
            stamp=Stamp(own.stamp.incarnation, own.stamp.sequence + 1),
        )
        self._store(record)
        return record

    def merge(
        self,
        records: Iterable[NodeRecord],
        now: float,
        left_age_by_id: Mapping[str, float] | None = None,
    ) -> tuple[NodeRecord, ...]:
        """Store the records that are newer than the known ones.

        Parameters
        ----------
        records : iterable of NodeRecord
            Records from another node, in any order.
        now : float
            Monotonic time in seconds.
        left_age_by_id : Mapping[str, float], optional
            Time in seconds since a node left, for the nodes of `records` that have left.

        Returns
        -------
        tuple of NodeRecord
            The records that were new to the view. A copy of the own record can be newer than the
            own record if the clock went backwards before a restart. The own stamp is then raised
            above that of the copy, and the result contains the own record.
        """
        ages = left_age_by_id or {}
        newer_records = []
        for record in records:
            if record.node_id == self._own_id:
                if record.stamp.newer_than(self.own.stamp):
                    newer_records.append(self._raise_own_stamp_above(record.stamp))
            elif self._accepts(record, now):
                self._apply(record, now, ages.get(record.node_id, 0.0))
                newer_records.append(record)
        return tuple(newer_records)

    def _accepts(self, record: NodeRecord, now: float) -> bool:
        if not self.needs_record(record.node_id, record.stamp):
            return False
        return not self._is_domain_expired(record.failure_domain, now)

    def needs_record(self, node_id: str, stamp: Stamp) -> bool:
        """Return whether a record with this stamp would be new to the view."""
        entry = self._entry_by_id.get(node_id)
        if entry is not None:
            return stamp.newer_than(entry.record.stamp)
        tombstone = self._tombstone_by_id.get(node_id)
        return tombstone is None or stamp.newer_than(tombstone.stamp)

    def _apply(self, record: NodeRecord, now: float, left_age_s: float) -> None:
        self._tombstone_by_id.pop(record.node_id, None)
        self._left_at_by_id.pop(record.node_id, None)
        if record.state is NodeState.LEFT:
            self._left_at_by_id[record.node_id] = now - left_age_s
        suspicion = self._suspicion_by_id.get(record.node_id)
        if suspicion is not None and record.stamp.newer_than(suspicion.stamp):
            self._clear_suspicion(record.node_id)
        self._store(record)

    def _raise_own_stamp_above(self, stamp: Stamp) -> NodeRecord:
        own = self.own
        if stamp.incarnation > own.stamp.incarnation:
            raised = Stamp(stamp.incarnation + 1, 0)
        else:
            raised = Stamp(own.stamp.incarnation, max(stamp.sequence, own.stamp.sequence) + 1)
        record = replace(own, stamp=raised)
        self._store(record)
        return record

    def _store(self, record: NodeRecord) -> None:
        previous = self._entry_by_id.get(record.node_id)
        entry = _Entry(record, _digest_of(record), _leaf_of(record.node_id))
        if previous is not None:
            check(
                record.stamp.newer_than(previous.record.stamp),
                "record_never_older",
                node_id=record.node_id,
                held=previous.record.stamp,
                offered=record.stamp,
            )
            self._remove_from_indexes(previous)
        self._entry_by_id[record.node_id] = entry
        self._add_to_indexes(entry)
        self.merge_rollout_steps(record.rollouts)
        if previous is None or self._differs_beyond_stamp(previous.record, record):
            self._mark_changed(record.node_id)

    def divider(self) -> NodeRecord | None:
        """Return the record of the node that divides allotments, None if there is none."""
        records = [self._entry_by_id[i].record for i in self._divider_ids if self.is_reachable(i)]
        return max(records, key=lambda record: record.divider_term, default=None)

    def merge_rollout_steps(self, steps: Iterable[RolloutStep]) -> None:
        """Keep the newest known step of each service, also when its decider is gone."""
        for step in steps:
            known = self._rollout_step_by_service.get(step.service)
            if known is None or step.newer_than(known):
                self._rollout_step_by_service[step.service] = step
                self.change_count += 1

    def rollout_steps(self) -> tuple[RolloutStep, ...]:
        """Return the newest known step of each service that has or had a roll-out."""
        return tuple(self._rollout_step_by_service.values())

    @staticmethod
    def _differs_beyond_stamp(before: NodeRecord, after: NodeRecord) -> bool:
        return replace(before, stamp=after.stamp) != after

    def _add_to_indexes(self, entry: _Entry) -> None:
        record = entry.record
        self._toggle_in_hashes(entry)
        self._ids_by_leaf[entry.leaf].add(record.node_id)
        self._ids_by_domain.setdefault(record.failure_domain, _IdList()).add(record.node_id)
        if record.divider_term and record.state is not NodeState.LEFT:
            self._divider_ids.add(record.node_id)
        self._region_by_domain[record.failure_domain] = record.region
        for target in _current_targets(record):
            targets_by_node_id = self._targets_by_node_id_by_service.setdefault(target.service, {})
            targets_by_node_id[record.node_id] = (
                *targets_by_node_id.get(record.node_id, ()),
                target,
            )

    def _remove_from_indexes(self, entry: _Entry) -> None:
        record = entry.record
        self._toggle_in_hashes(entry)
        self._ids_by_leaf[entry.leaf].discard(record.node_id)
        self._divider_ids.discard(record.node_id)
        self._ids_by_domain[record.failure_domain].remove(record.node_id)
        self._readers_by_domain.pop(record.failure_domain, None)
        for target in _current_targets(record):
            self._targets_by_node_id_by_service[target.service].pop(record.node_id, None)
            self._stale_services.add(target.service)

    def _toggle_in_hashes(self, entry: _Entry) -> None:
        # XOR is its own inverse, so the same operation adds and removes a record.
        self._leaf_hashes[entry.leaf] ^= entry.digest
        self._top_hashes[entry.leaf // BUCKET_FANOUT] ^= entry.digest
        self._root_hash ^= entry.digest

    def _mark_changed(self, node_id: str) -> None:
        record = self._entry_by_id[node_id].record
        self._readers_by_domain.pop(record.failure_domain, None)
        self._stale_services.update(target.service for target in record.targets)
        self.change_count += 1

    # Hashes

    def root_hash(self) -> int:
        """Return the hash of the stamps of all records."""
        return self._root_hash

    def bucket_hashes(self) -> tuple[int, ...]:
        """Return the hash of each top bucket."""
        return tuple(self._top_hashes)

    def leaf_hashes(self, bucket: int) -> tuple[int, ...]:
        """Return the hash of each leaf bucket of a top bucket."""
        return tuple(self._leaf_hashes[bucket * BUCKET_FANOUT : (bucket + 1) * BUCKET_FANOUT])

    def records_in(self, leaves: Iterable[int]) -> tuple[NodeRecord, ...]:
        """Return the records in the given leaf buckets, numbered from 0 to `LEAF_COUNT` - 1."""
        return tuple(
            self._entry_by_id[node_id].record
            for leaf in leaves
            for node_id in sorted(self._ids_by_leaf[leaf])
        )

    # Reachability

    @property
    def unreachable_ids(self) -> frozenset[str]:
        """Nodes that did not refute an accusation in time."""
        return frozenset(self._unreachable)

    def is_reachable(self, node_id: str) -> bool:
        """Return whether a node is known, not unreachable and not in a domain that is cut off."""
        entry = self._entry_by_id.get(node_id)
        if entry is None or node_id in self._unreachable:
            return False
        return entry.record.failure_domain not in self._cut_since_by_domain

    def accuse(
        self, accusation: Accusation, now: float, age_s: float = 0.0, spread: bool = True
    ) -> AccusationOutcome:
        """Record that a node appears to have failed; without a refutation it becomes unreachable.

        Parameters
        ----------
        accusation : Accusation
            The node and the stamp of its record when it was accused.
        now : float
            Monotonic time in seconds.
        age_s : float
            Time in seconds since the accusation was first made.
        spread : bool
            Whether other nodes may be informed; False when the own node may be the isolated one.
        """
        node_id = accusation.node_id
        entry = self._entry_by_id.get(node_id)
        if entry is None or entry.record.stamp.newer_than(accusation.stamp):
            return AccusationOutcome.STALE
        if node_id == self._own_id:
            return self._refute(accusation)
        if entry.record.state is NodeState.LEFT or self._recently_contacted(accusation, now):
            return AccusationOutcome.STALE
        suspicion = self._suspicion_by_id.get(node_id)
        if suspicion is not None and not accusation.stamp.newer_than(suspicion.stamp):
            return self._update_suspicion(node_id, suspicion, now - age_s, spread)
        self._suspicion_by_id[node_id] = _Suspicion(
            accusation.stamp, now - age_s, now + self._suspicion_s, spread
        )
        return AccusationOutcome.NEW

    def _refute(self, accusation: Accusation) -> AccusationOutcome:
        if self.own.state is NodeState.LEFT:
            return AccusationOutcome.STALE
        self._raise_own_stamp_above(accusation.stamp)
        return AccusationOutcome.REFUTED

    def _update_suspicion(
        self, node_id: str, suspicion: _Suspicion, since: float, spread: bool
    ) -> AccusationOutcome:
        self._suspicion_by_id[node_id] = replace(
            suspicion, since=min(suspicion.since, since), spread=suspicion.spread or spread
        )
        return AccusationOutcome.NEW if spread and not suspicion.spread else AccusationOutcome.KNOWN

    def _recently_contacted(self, accusation: Accusation, now: float) -> bool:
        contact = self._contact_by_id.get(accusation.node_id)
        if contact is None or now - contact.at > CONTACT_GRACE_S:
            return False
        return not accusation.stamp.newer_than(contact.stamp)

    def confirm_reachable(self, node_id: str, now: float) -> AgedAccusation | None:
        """Record a contact with a node, which ends its suspicion in this view.

        Parameters
        ----------
        node_id : str
            The node.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        AgedAccusation or None
            The accusation, if other nodes may know of it. The caller must send it to the accused
            node, which then refutes it.
        """
        suspicion = self._suspicion_by_id.get(node_id)
        if suspicion is None:
            return None
        self._contact_by_id[node_id] = _Contact(suspicion.stamp, now)
        self._clear_suspicion(node_id)
        if not suspicion.spread:
            return None
        return AgedAccusation(Accusation(node_id, suspicion.stamp), now - suspicion.since)

    def _clear_suspicion(self, node_id: str) -> None:
        self._suspicion_by_id.pop(node_id, None)
        if node_id in self._unreachable:
            self._unreachable.discard(node_id)
            self._mark_changed(node_id)

    def accusations(self, now: float) -> tuple[AgedAccusation, ...]:
        """Return the accusations that may be passed on to other nodes."""
        return tuple(
            AgedAccusation(Accusation(node_id, suspicion.stamp), now - suspicion.since)
            for node_id, suspicion in self._suspicion_by_id.items()
            if suspicion.spread
        )

    def sample_accusations(
        self, rng: random.Random, count: int, exclude: str, now: float
    ) -> tuple[AgedAccusation, ...]:
        """Return up to `count` random accusations of `accusations`, none against `exclude`."""
        ids = [
            i for i, suspicion in self._suspicion_by_id.items() if suspicion.spread and i != exclude
        ]
        chosen = rng.sample(ids, min(count, len(ids)))
        suspicion_by_id = {node_id: self._suspicion_by_id[node_id] for node_id in chosen}
        return tuple(
            AgedAccusation(Accusation(node_id, suspicion.stamp), now - suspicion.since)
            for node_id, suspicion in suspicion_by_id.items()
        )

    def set_cut_domains(self, cut_since_by_domain: Mapping[str, float]) -> None:
        """Set the failure domains that are cut off, and since when in monotonic time.

        The own domain is ignored.
        """
        own_domain = self.own.failure_domain
        wanted = {
            domain: since for domain, since in cut_since_by_domain.items() if domain != own_domain
        }
        changed = wanted.keys() ^ self._cut_since_by_domain.keys()
        self._cut_since_by_domain = wanted
        for domain in changed:
            for node_id in self._domain_ids(domain):
                self._mark_changed(node_id)

    def cut_domains(self) -> Mapping[str, float]:
        """Return the failure domains that are cut off, and since when in monotonic time."""
        return MappingProxyType(self._cut_since_by_domain)

    def _is_domain_expired(self, failure_domain: str, now: float) -> bool:
        since = self._cut_since_by_domain.get(failure_domain)
        return since is not None and now - since >= UNREACHABLE_RETENTION_S

    def expire(self, now: float) -> None:
        """Mark nodes that did not refute in time as unreachable, and remove expired records."""
        gap_s = now - self._last_expire_at
        self._last_expire_at = now
        if gap_s > PAUSE_THRESHOLD_S:
            self._extend_suspicions(gap_s)
        for node_id, suspicion in list(self._suspicion_by_id.items()):
            if node_id not in self._unreachable and now >= suspicion.unreachable_at:
                self._unreachable.add(node_id)
                self._mark_changed(node_id)
            elif node_id in self._unreachable and now - suspicion.since >= UNREACHABLE_RETENTION_S:
                self._remove_with_tombstone(node_id, now)
        for node_id, left_at in list(self._left_at_by_id.items()):
            if now - left_at >= LEFT_RETENTION_S:
                self._remove_with_tombstone(node_id, now)
        for domain in [d for d in self._cut_since_by_domain if self._is_domain_expired(d, now)]:
            for node_id in list(self._domain_ids(domain)):
                self._remove(node_id)
        self._drop_expired_contacts_and_tombstones(now)

    def _extend_suspicions(self, gap_s: float) -> None:
        for node_id, suspicion in self._suspicion_by_id.items():
            if node_id not in self._unreachable:
                extended = replace(suspicion, unreachable_at=suspicion.unreachable_at + gap_s)
                self._suspicion_by_id[node_id] = extended

    def _drop_expired_contacts_and_tombstones(self, now: float) -> None:
        for node_id, contact in list(self._contact_by_id.items()):
            if now - contact.at > CONTACT_GRACE_S:
                del self._contact_by_id[node_id]
        for node_id, tombstone in list(self._tombstone_by_id.items()):
            if now >= tombstone.expires_at:
                del self._tombstone_by_id[node_id]

    def _remove_with_tombstone(self, node_id: str, now: float) -> None:
        stamp = self._entry_by_id[node_id].record.stamp
        self._remove(node_id)
        self._tombstone_by_id[node_id] = _Tombstone(stamp, now + TOMBSTONE_LIFETIME_S)

    def _remove(self, node_id: str) -> None:
        self._mark_changed(node_id)
        self._remove_from_indexes(self._entry_by_id.pop(node_id))
        self._suspicion_by_id.pop(node_id, None)
        self._unreachable.discard(node_id)
        self._left_at_by_id.pop(node_id, None)

    def left_ages(self, records: Iterable[NodeRecord], now: float) -> dict[str, float]:
        """Return the time in seconds since a node left, for nodes of `records` that have left."""
        return {
            record.node_id: now - self._left_at_by_id[record.node_id]
            for record in records
            if record.node_id in self._left_at_by_id
        }

    # Selection of nodes

    def _domain_ids(self, failure_domain: str) -> Sequence[str]:
        ids = self._ids_by_domain.get(failure_domain)
        return ids.ids if ids else ()

    def readers_of(self, failure_domain: str) -> tuple[str, ...]:
        """Return the nodes of a domain that watch the store, ordered by rank.

        They are chosen from the reachable nodes that are ready. Joining nodes take the remaining
        places, so that a domain in which all nodes are starting has readers at once.
        """
        readers = self._readers_by_domain.get(failure_domain)
        if readers is None:
            readers = self._choose_readers(failure_domain)
            self._readers_by_domain[failure_domain] = readers
        return readers

    def _choose_readers(self, failure_domain: str) -> tuple[str, ...]:
        candidates = []
        for node_id in self._domain_ids(failure_domain):
            state = self._entry_by_id[node_id].record.state
            if node_id in self._unreachable or state in (NodeState.LEAVING, NodeState.LEFT):
                continue
            rank = reader_rank(failure_domain, node_id)
            candidates.append((state is not NodeState.READY, rank, node_id))
        return tuple(item[2] for item in heapq.nsmallest(self._reader_count, candidates))

    def other_domains(self, scope: Scope) -> tuple[str, ...]:
        """Return the known failure domains of a scope, except the own one.

        `scope` is ``REGION`` or ``CROSS_REGION``.
        """
        own = self.own
        same_region = scope is Scope.REGION
        return tuple(
            domain
            for domain, region in self._region_by_domain.items()
            if domain != own.failure_domain
            and (region == own.region) == same_region
            and self._domain_ids(domain)
        )

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a known failure domain."""
        return self._region_by_domain[failure_domain]

    def sample(
        self, rng: random.Random, scope: Scope, count: int, exclude: frozenset[str] = frozenset()
    ) -> tuple[NodeRecord, ...]:
        """Choose distinct random nodes of a scope.

        Nodes in `unreachable_ids` are chosen only when there are too few others. The own node and
        nodes that have left are never chosen. All nodes come from one failure domain: the own one,
        or a random other one of the scope.
        """
        if scope is Scope.DOMAIN:
            return self.sample_domain(rng, self.own.failure_domain, count, exclude)
        domains = self.other_domains(scope)
        if not domains:
            return ()
        return self.sample_domain(rng, rng.choice(domains), count, exclude)

    def sample_domain(
        self,
        rng: random.Random,
        failure_domain: str,
        count: int,
        exclude: frozenset[str] = frozenset(),
    ) -> tuple[NodeRecord, ...]:
        """Choose distinct random nodes of a failure domain; see `sample`."""
        ids = self._domain_ids(failure_domain)
        chosen = self._draw(
            rng, ids, count, lambda i: i not in exclude and self._is_preferred_peer(i)
        )
        if len(chosen) < count:
            taken = exclude.union(chosen)
            chosen += self._draw(
                rng, ids, count - len(chosen), lambda i: i not in taken and self._is_peer(i)
            )
        return tuple(self._entry_by_id[node_id].record for node_id in chosen)

    def sample_unreachable(
        self, rng: random.Random, failure_domain: str, count: int
    ) -> tuple[NodeRecord, ...]:
        """Choose random unreachable nodes of a failure domain, to check whether they are back."""
        ids = [
            node_id
            for node_id in self._unreachable
            if self._entry_by_id[node_id].record.failure_domain == failure_domain
        ]
        chosen = rng.sample(sorted(ids), min(count, len(ids)))
        return tuple(self._entry_by_id[node_id].record for node_id in chosen)

    def _is_preferred_peer(self, node_id: str) -> bool:
        return node_id not in self._unreachable and self._is_peer(node_id)

    def _is_peer(self, node_id: str) -> bool:
        state = self._entry_by_id[node_id].record.state
        return node_id != self._own_id and state is not NodeState.LEFT

    @staticmethod
    def _draw(
        rng: random.Random, ids: Sequence[str], count: int, accepts: Callable[[str], bool]
    ) -> list[str]:
        chosen: list[str] = []
        if not ids:
            return chosen
        for _ in range(SAMPLE_DRAWS_PER_NODE * count):
            node_id = ids[rng.randrange(len(ids))]
            if node_id not in chosen and accepts(node_id):
                chosen.append(node_id)
                if len(chosen) == count:
                    return chosen
        # Few nodes qualify: choose from a list of them instead of drawing further.
        rest = [node_id for node_id in ids if node_id not in chosen and accepts(node_id)]
        return chosen + rng.sample(rest, min(count - len(chosen), len(rest)))

    # Targets

    def targets_by_service(self, now: float) -> Mapping[str, tuple[PlacedTarget, ...]]:
        """Apply `expire` and return the known targets of each service.

        Targets of unreachable nodes stay in the result with ``reachable`` false, so that the
        failure detector never leaves a service without targets. Only the services of changed nodes
        are rebuilt.
        """
        self.expire(now)
        if not self._stale_services:
            return self._cached_targets
        for service in self._stale_services:
            placed = self._build_placed_targets(service)
            if placed:
                self._placed_by_service[service] = placed
            else:
                self._placed_by_service.pop(service, None)
                self._targets_by_node_id_by_service.pop(service, None)
        self._stale_services.clear()
        self._cached_targets = MappingProxyType(dict(self._placed_by_service))
        return self._cached_targets

    def _build_placed_targets(self, service: str) -> tuple[PlacedTarget, ...]:
        targets_by_node_id = self._targets_by_node_id_by_service.get(service, {})
        placed = []
        for node_id in sorted(targets_by_node_id):
            record = self._entry_by_id[node_id].record
            reachable = self.is_reachable(node_id)
            for target in targets_by_node_id[node_id]:
                placed.append(
                    PlacedTarget(
                        target,
                        node_id,
                        record.failure_domain,
                        record.region,
                        record.peer_address,
                        reachable,
                        record.link_mbps,
                    )
                )
        return tuple(placed)
