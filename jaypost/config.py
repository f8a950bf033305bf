"""Table versions of a node: the held version, the version in force and its snapshot.

The held version is the newest one that the node has received undamaged. It follows the store, even
to versions that are refused because their rows are invalid. The version in force is the one that
requests use, through the snapshot. A version comes into force only as a whole, when it is valid and
newer than the one in force.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod

import structlog

from jaypost import invariants, table
from jaypost.records import (
    Canary,
    Delta,
    Destination,
    PlacedTarget,
    RouteIndex,
    Row,
    RowProblem,
    Snapshot,
    Table,
    TargetState,
)
from jaypost.settings import Settings
from jaypost.workspaces.keys import WorkspaceIndex

log = structlog.get_logger(__name__)

# Twice the deltas that the head record holds before it is compacted (`writers.MAX_HEAD_DELTAS`),
# so that a peer that missed one compaction needs no whole table.
MAX_KEPT_DELTAS = 64


@dataclass(frozen=True, slots=True)
class OfferDeltas:
    """Offer of deltas from another node or from the store, in any order."""

    deltas: tuple[Delta, ...]


@dataclass(frozen=True, slots=True)
class OfferTable:
    """Offer of a whole version from another node or from the store."""

    table: Table


@dataclass(frozen=True, slots=True)
class Applied:
    """The version came into force."""

    version: int


@dataclass(frozen=True, slots=True)
class Held:
    """The version is held and valid, but not in force yet."""

    version: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The offer has no version newer than the held one."""

    held_version: int


@dataclass(frozen=True, slots=True)
class Gap:
    """The deltas do not lead from the held version to the newest offered one."""

    held_version: int


@dataclass(frozen=True, slots=True)
class RefusedVersion:
    """The version is refused as a whole and does not come into force.

    When only its rows are invalid, the version is held all the same, so that the deltas of later
    versions can be applied. A version whose data is damaged is not held.
    """

    version: int
    problems: tuple[RowProblem, ...]


OfferOutcome = Applied | Held | Stale | Gap | RefusedVersion


class ConfigHolder:
    """Applies offered table versions and provides the snapshot that requests use.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    node_id : str
        Identifier of the node, for logs.

    Attributes
    ----------
    snapshot : Snapshot
        Configuration that requests use; replaced as a whole.
    minimum_held_version : int
        While the held version is lower than this, no version comes into force.
    refused : RefusedVersion or None
        Problems of the held version if it is refused.
    offer_count_by_outcome : Counter of str
        Number of offers by the class name of their outcome.
    on_held_version_raised : Callable[[], None] or None
        Called after an offer that raised the held version.
    on_version_in_force : Callable[[int], None] or None
        Called with each version that comes into force.
    """

    def __init__(self, settings: Settings, node_id: str) -> None:
        self._settings = settings
        self._node_id = node_id
        self._held = table.EMPTY_TABLE
        self._deltas: deque[Delta] = deque(maxlen=MAX_KEPT_DELTAS)
        # Newest valid version that was received and is not in force yet.
        self._candidate: Table | None = None
        self._in_force = table.EMPTY_TABLE
        self._activation_suspended = False
        self._targets_by_service: Mapping[str, tuple[PlacedTarget, ...]] = {}
        self._canary_by_service: Mapping[str, Canary] = {}
        self._routes = RouteIndex()
        self._workspaces = WorkspaceIndex()
        self.snapshot = Snapshot()
        self.minimum_held_version = 0
        self.refused: RefusedVersion | None = None
        self.offer_count_by_outcome: Counter[str] = Counter()
        self.on_held_version_raised: Callable[[], None] | None = None
        self.on_version_in_force: Callable[[int], None] | None = None

    @property
    def held_version(self) -> int:
        """Newest version that the node holds, valid or not."""
        return self._held.version

    @property
    def held_table(self) -> Table:
        """Table of the held version; its rows may be invalid."""
        return self._held

    @property
    def table_for_replies(self) -> Table:
        """Table for replies to a node that joins or asks for a whole table.

        It is the held version. When that one is refused and the deltas since the version in force
        are kept, it is the version in force, so that a restarted node can serve requests while the
        newest version is invalid.
        """
        if self.refused is not None and self._in_force.version > 0:
            if self.deltas_since(self._in_force.version):
                return self._in_force
        return self._held

    @property
    def in_force_version(self) -> int:
        """Version that requests use; 0 before the first one comes into force."""
        return self._in_force.version

    def raise_minimum_held_version(self, version: int) -> None:
        """Let no version come into force until `version` is held.

        `version` is the highest one that peers reported to a restarted node, which must not use an
        older version than before.
        """
        self.minimum_held_version = max(self.minimum_held_version, version)

    def suspend_activation(self) -> None:
        """Let no version come into force until `resume_activation` is called.

        A restarted node does not know which version it had in force before, and the first peer
        that it asks may hold an older one.
        """
        self._activation_suspended = True

    def resume_activation(self, minimum_held_version: int) -> None:
        """End the suspension; versions may come into force once `minimum_held_version` is held.

        This does not put a version in force; the next call of `activate` does.
        """
        self._activation_suspended = False
        self.raise_minimum_held_version(minimum_held_version)

    def deltas_since(self, version: int) -> tuple[Delta, ...] | None:
        """Return the deltas that lead from `version` to the held version.

        Parameters
        ----------
        version : int
            Version that the deltas start from.

        Returns
        -------
        tuple of Delta or None
            Empty when `version` is not older than the held version. None when not all deltas are
            kept, so that the whole table must be sent instead. If this node skipped `version`, the
            first delta starts from an earlier version; see `table.overlapping_deltas`.
        """
        if version >= self.held_version:
            return ()
        newer = tuple(delta for delta in self._deltas if delta.version > version)
        return newer if newer and newer[0].base_version <= version else None

    def offer(self, message: OfferDeltas | OfferTable, activate: bool = True) -> OfferOutcome:
        """Apply the versions of an offer that are newer than the held one.

        Parameters
        ----------
        message : OfferDeltas or OfferTable
            Versions from another node or from the store.
        activate : bool
            Whether a valid version may come into force at once. False for offers from the store,
            which a reader first replicates to other nodes.

        Returns
        -------
        OfferOutcome
            Outcome for the newest version of the offer.
        """
        held_before = self.held_version
        offer_outcome = self._apply_offer(message)
        # A peer that offers a version holds it too, so the version is already replicated. An offer
        # whose newest version could not be held, because of a gap or damaged data, does not count.
        replicated = self._candidate is not None and (
            self._candidate.version <= _newest_offered_version(message) <= self.held_version
        )
        applied = self.activate() if activate and replicated else None
        outcome = (
            applied if applied and not isinstance(offer_outcome, RefusedVersion) else offer_outcome
        )
        self.offer_count_by_outcome[type(outcome).__name__] += 1
        if self.on_held_version_raised is not None and self.held_version > held_before:
            self.on_held_version_raised()
        if isinstance(outcome, RefusedVersion):
            log.error(
                "version_refused",
                node=self._node_id,
                failure_domain=self._settings.failure_domain,
                version=outcome.version,
                in_force=self.in_force_version,
                problems=[f"{p.service}.{p.column}: {p.reason}" for p in outcome.problems],
            )
        return outcome

    def activate(self) -> Applied | None:
        """Put the newest valid version in force.

        Returns
        -------
        Applied or None
            None when no newer valid version was received, while activation is suspended, when the
            held version is below `minimum_held_version`, or when the version violates an invariant.
        """
        candidate = self._candidate
        if (
            candidate is None
            or self._activation_suspended
            or self.held_version < self.minimum_held_version
        ):
            return None
        self._candidate = None
        if not self._is_whole_and_valid(candidate):
            return None
        routes = RouteIndex(candidate.rows_by_service.values())
        previous, self._workspaces = self._workspaces, self._workspaces_of(candidate)
        if not self._replace_snapshot(self._build_snapshot(candidate, routes)):
            self._workspaces = previous
            return None
        self._in_force = candidate
        self._routes = routes
        self.minimum_held_version = max(self.minimum_held_version, candidate.version)
        log.info("version_in_force", node=self._node_id, version=candidate.version)
        if self.on_version_in_force is not None:
            self.on_version_in_force(candidate.version)
        return Applied(candidate.version)

    def _workspaces_of(self, candidate: Table) -> WorkspaceIndex:
        """Return the index of the workspaces; the present one if none of their rows changed."""
        rows = [row for row in candidate.rows_by_service.values() if row.workspace]
        known = self._in_force.rows_by_service
        count = sum(1 for row in known.values() if row.workspace)
        if len(rows) == count and all(known.get(row.service) == row for row in rows):
            return self._workspaces
        return WorkspaceIndex(rows)

    def update_targets(
        self,
        targets_by_service: Mapping[str, tuple[PlacedTarget, ...]],
        canary_by_service: Mapping[str, Canary] | None = None,
    ) -> None:
        """Rebuild the snapshot of the version in force with the targets known now.

        `canary_by_service` has the services of which a group of targets gets a share.
        """
        self._targets_by_service = _without_gone_targets(targets_by_service)
        self._canary_by_service = canary_by_service or {}
        self._replace_snapshot(self._build_snapshot(self._in_force, self._routes))

    def _build_snapshot(self, source: Table, routes: RouteIndex) -> Snapshot:
        return _build_snapshot(
            source,
            self._targets_by_service,
            routes,
            self._canary_by_service,
            self._workspaces,
        )

    @singledispatchmethod
    def _apply_offer(self, message: object) -> Held | Stale | Gap | RefusedVersion:
        raise TypeError(f"unknown offer: {message!r}")

    @_apply_offer.register
    def _(self, message: OfferDeltas) -> Held | Stale | Gap | RefusedVersion:
        newest_offered = max((delta.version for delta in message.deltas), default=0)
        if newest_offered <= self.held_version:
            return Stale(self.held_version)
        deltas = table.consecutive_deltas(message.deltas, self.held_version)
        if not deltas or deltas[-1].version != newest_offered:
            return self._apply_overlapping(message.deltas, newest_offered)
        base = self._held
        newest = table.apply_deltas(base, deltas)
        if isinstance(newest, table.DeltaRefused):
            return _damaged_version(newest.version, newest.reason)
        self._deltas.extend(deltas)
        outcome = self._hold(newest)
        if isinstance(outcome, RefusedVersion):
            # A version between the base and the refused one may still be valid.
            self._candidate = _newest_valid_version(base, deltas[:-1]) or self._candidate
        return outcome

    def _apply_overlapping(
        self, deltas: Sequence[Delta], newest_offered: int
    ) -> Held | Gap | RefusedVersion:
        """Apply deltas from a node that skipped the version held here."""
        steps = table.overlapping_deltas(deltas, self.held_version)
        if not steps or steps[-1].version != newest_offered:
            return Gap(self.held_version)
        newest = table.apply_overlapping_deltas(self._held, steps)
        if newest is None:
            return Gap(self.held_version)
        last = steps[-1]
        self._deltas.append(table.delta_between(self._held, newest, last.author, last.at_ms))
        return self._hold(newest)

    @_apply_offer.register
    def _(self, message: OfferTable) -> Held | Stale | Gap | RefusedVersion:
        offered = message.table
        if offered.version <= self.held_version:
            return Stale(self.held_version)
        if table.digest(offered.rows_by_service) != offered.digest:
            return _damaged_version(offered.version, "digest does not match the rows")
        self._deltas.clear()
        return self._hold(offered)

    def _hold(self, newest: Table) -> Held | RefusedVersion:
        """Make `newest` the held version, and the next one to come into force if it is valid."""
        self._held = newest
        self.refused = None
        problems = table.validate(newest.rows_by_service)
        if problems:
            self.refused = RefusedVersion(newest.version, problems)
            return self.refused
        self._candidate = newest
        return Held(newest.version)

    def _is_whole_and_valid(self, candidate: Table) -> bool:
        return invariants.check(
            table.digest(candidate.rows_by_service) == candidate.digest
            and not table.validate(candidate.rows_by_service),
            "P3_whole_valid_version",
            node=self._node_id,
            version=candidate.version,
        )

    def _replace_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the snapshot that requests use, and return whether it was replaced.

        It is not replaced if `snapshot` is older (invariant P1) or has unknown destinations (P2).
        """
        not_older = invariants.check(
            snapshot.version >= self.snapshot.version,
            "P1_never_older",
            node=self._node_id,
            version=snapshot.version,
            in_force=self.snapshot.version,
        )
        if not not_older or not _has_known_destinations(snapshot):
            return False
        self.snapshot = snapshot
        return True


def _newest_offered_version(message: OfferDeltas | OfferTable) -> int:
    if isinstance(message, OfferTable):
        return message.table.version
    return max((delta.version for delta in message.deltas), default=0)


def _newest_valid_version(base: Table, deltas: Sequence[Delta]) -> Table | None:
    """Return the newest valid version that consecutive `deltas` lead to, if there is one."""
    newest = None
    for delta in deltas:
        applied = table.apply_delta(base, delta)
        if isinstance(applied, table.DeltaRefused):
            break
        base = applied
        if not table.validate(base.rows_by_service):
            newest = base
    return newest


def _damaged_version(version: int, reason: str) -> RefusedVersion:
    # The empty service and column stand for the table as a whole.
    return RefusedVersion(version, (RowProblem("", "", reason),))


def _without_gone_targets(
    targets_by_service: Mapping[str, tuple[PlacedTarget, ...]],
) -> Mapping[str, tuple[PlacedTarget, ...]]:
    present_by_service = {}
    for service, targets in targets_by_service.items():
        present_targets = tuple(t for t in targets if t.target.state is not TargetState.GONE)
        if present_targets:
            present_by_service[service] = present_targets
    return present_by_service


def _build_snapshot(
    source: Table,
    targets_by_service: Mapping[str, tuple[PlacedTarget, ...]],
    routes: RouteIndex,
    canary_by_service: Mapping[str, Canary],
    workspaces: WorkspaceIndex,
) -> Snapshot:
    """Join a version with the known targets; destinations without targets become pending."""
    destinations_by_service = {}
    pending_by_service = {}
    for service, row in source.rows_by_service.items():
        row_destinations = row.destinations or (Destination(service, 1),)
        destinations_by_service[service] = tuple(
            destination
            for destination in row_destinations
            if destination.service in targets_by_service
        )
        pending = tuple(d.service for d in row_destinations if d.service not in targets_by_service)
        if pending:
            pending_by_service[service] = pending
    return Snapshot(
        source.version,
        source.rows_by_service,
        destinations_by_service,
        pending_by_service,
        targets_by_service,
        routes,
        canary_by_service,
        workspaces,
    )


def _has_known_destinations(snapshot: Snapshot) -> bool:
    """Check that every destination has a row and at least one known target."""
    rows: Mapping[str, Row] = snapshot.rows_by_service
    missing = [
        (service, destination.service)
        for service, destinations in snapshot.destinations_by_service.items()
        for destination in destinations
        if destination.service not in rows
        or not snapshot.targets_by_service.get(destination.service)
    ]
    return invariants.check(
        not missing, "P2_known_destinations", version=snapshot.version, missing=missing[:8]
    )
