"""Table versions of a node: what it holds, what is in force and the snapshot that requests use.

The held chain follows the store, also through versions that are refused. A version comes into
force only as a whole, when it is valid and newer than the one in force.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod

import structlog

from jaypost import invariants, table
from jaypost.records import (
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

log = structlog.get_logger(__name__)

# Twice the deltas of the head record, so that a peer that is one fold behind needs no snapshot.
KEPT_DELTAS = 64


@dataclass(frozen=True, slots=True)
class OfferDeltas:
    """Deltas that another node or the store has, in any order."""

    deltas: tuple[Delta, ...]


@dataclass(frozen=True, slots=True)
class OfferTable:
    """A whole version that another node or the store has."""

    table: Table


@dataclass(frozen=True, slots=True)
class Applied:
    """The version is in force."""

    version: int


@dataclass(frozen=True, slots=True)
class Held:
    """The version is held and valid, and not in force yet."""

    version: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The offer is not newer than what is held."""

    held_version: int


@dataclass(frozen=True, slots=True)
class Gap:
    """The deltas do not follow the held version."""

    have_version: int


@dataclass(frozen=True, slots=True)
class RefusedVersion:
    """The version is refused as a whole.

    Its deltas are held when only its rows are invalid, so that later versions can follow.
    """

    version: int
    problems: tuple[RowProblem, ...]


OfferOutcome = Applied | Held | Stale | Gap | RefusedVersion


class ConfigHolder:
    """Holds the table versions of a node and the snapshot in force.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    node_id : str
        Identifier of the node, for logs.

    Attributes
    ----------
    snapshot : Snapshot
        The configuration that requests use; replaced as a whole.
    floor : int
        Version that must be held before any comes into force.
    refused : RefusedVersion or None
        The newest held version if it is refused.
    outcomes_by_kind : Counter of str
        Offers by the name of their outcome.
    on_news : Callable[[], None] or None
        Called when the held version rose.
    on_in_force : Callable[[int], None] or None
        Called with a version that came into force.
    """

    def __init__(self, settings: Settings, node_id: str) -> None:
        self._settings = settings
        self._node_id = node_id
        self._held = table.EMPTY_TABLE
        self._deltas: deque[Delta] = deque(maxlen=KEPT_DELTAS)
        self._valid: Table | None = None
        self._in_force = table.EMPTY_TABLE
        self._suspended = False
        self._targets_by_service: Mapping[str, tuple[PlacedTarget, ...]] = {}
        self._routes = RouteIndex()
        self.snapshot = Snapshot()
        self.floor = 0
        self.refused: RefusedVersion | None = None
        self.outcomes_by_kind: Counter[str] = Counter()
        self.on_news: Callable[[], None] | None = None
        self.on_in_force: Callable[[int], None] | None = None

    @property
    def held_version(self) -> int:
        """Newest version that the node has."""
        return self._held.version

    @property
    def held_table(self) -> Table:
        """Rows of the newest version that the node has; they may be invalid."""
        return self._held

    @property
    def shared_table(self) -> Table:
        """Table for nodes that have none: a valid one where there is one.

        It is the version in force when the held one is refused and the deltas in between are
        kept, so that a restarted node can serve while the newest version is invalid.
        """
        if self.refused is not None and self._in_force.version > 0:
            if self.deltas_since(self._in_force.version):
                return self._in_force
        return self._held

    @property
    def in_force_version(self) -> int:
        """Version that requests use; 0 before the first one."""
        return self._in_force.version

    def raise_floor(self, version: int) -> None:
        """Keep everything out of force until `version` is held, because other nodes hold it.

        A node that has restarted calls this before it takes offers.
        """
        self.floor = max(self.floor, version)

    def suspend(self) -> None:
        """Keep every version out of force until `resume`.

        A restarted node does not know what it had in force before, and the first peer that it
        asks may hold an older version.
        """
        self._suspended = True

    def resume(self, floor: int) -> None:
        """Let versions of at least `floor` come into force again, by the next `activate`."""
        self._suspended = False
        self.raise_floor(floor)

    def deltas_since(self, version: int) -> tuple[Delta, ...] | None:
        """Return the deltas from `version` to the held one, or None when a table is needed."""
        if version >= self.held_version:
            return ()
        newer = tuple(delta for delta in self._deltas if delta.version > version)
        return newer if newer and newer[0].base_version == version else None

    def offer(self, message: OfferDeltas | OfferTable, activate: bool = True) -> OfferOutcome:
        """Take over newer versions.

        Parameters
        ----------
        message : OfferDeltas or OfferTable
            What another node or the store has.
        activate : bool
            Whether a valid version comes into force at once. A reader replicates it first.

        Returns
        -------
        OfferOutcome
            Outcome for the newest version of the offer.
        """
        held_before = self.held_version
        taken = self._take(message)
        # A peer that offers a version has it too, so it need not be replicated any more.
        confirmed = self._valid is not None and (
            self._valid.version <= _newest_version(message) <= self.held_version
        )
        applied = self.activate() if activate and confirmed else None
        outcome = applied if applied and not isinstance(taken, RefusedVersion) else taken
        self.outcomes_by_kind[type(outcome).__name__] += 1
        if self.on_news is not None and self.held_version > held_before:
            self.on_news()
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
        """Put the newest valid version in force; None when there is nothing newer to put."""
        version = self._valid
        if version is None or self._suspended or self.held_version < self.floor:
            return None
        self._valid = None
        if not self._may_come_into_force(version):
            return None
        routes = RouteIndex(version.rows_by_service.values())
        if not self._swap(_build_snapshot(version, self._targets_by_service, routes)):
            return None
        self._in_force = version
        self._routes = routes
        self.floor = max(self.floor, version.version)
        log.info("version_in_force", node=self._node_id, version=version.version)
        if self.on_in_force is not None:
            self.on_in_force(version.version)
        return Applied(version.version)

    def targets_changed(self, targets_by_service: Mapping[str, tuple[PlacedTarget, ...]]) -> None:
        """Rebuild the snapshot of the version in force for the targets that are known now."""
        self._targets_by_service = _without_gone(targets_by_service)
        self._swap(_build_snapshot(self._in_force, self._targets_by_service, self._routes))

    @singledispatchmethod
    def _take(self, message: object) -> Held | Stale | Gap | RefusedVersion:
        raise TypeError(f"unknown offer: {message!r}")

    @_take.register
    def _(self, message: OfferDeltas) -> Held | Stale | Gap | RefusedVersion:
        newest_offered = max((delta.version for delta in message.deltas), default=0)
        if newest_offered <= self.held_version:
            return Stale(self.held_version)
        deltas = table.chain(message.deltas, self.held_version)
        if not deltas or deltas[-1].version != newest_offered:
            return Gap(self.held_version)
        base = self._held
        newest = table.apply_deltas(base, deltas)
        if isinstance(newest, table.DeltaRefused):
            return _damaged(newest.version, newest.reason)
        self._deltas.extend(deltas)
        outcome = self._hold(newest)
        if isinstance(outcome, RefusedVersion):
            self._valid = _newest_valid(base, deltas[:-1]) or self._valid
        return outcome

    @_take.register
    def _(self, message: OfferTable) -> Held | Stale | Gap | RefusedVersion:
        offered = message.table
        if offered.version <= self.held_version:
            return Stale(self.held_version)
        if table.digest(offered.rows_by_service) != offered.digest:
            return _damaged(offered.version, "digest does not match the rows")
        self._deltas.clear()
        return self._hold(offered)

    def _hold(self, newest: Table) -> Held | RefusedVersion:
        """Hold a version, and remember it as the next one in force if it is valid."""
        self._held = newest
        self.refused = None
        problems = table.validate(newest.rows_by_service)
        if problems:
            self.refused = RefusedVersion(newest.version, problems)
            return self.refused
        self._valid = newest
        return Held(newest.version)

    def _may_come_into_force(self, version: Table) -> bool:
        return invariants.check(
            table.digest(version.rows_by_service) == version.digest
            and not table.validate(version.rows_by_service),
            "P3_whole_valid_version",
            node=self._node_id,
            version=version.version,
        )

    def _swap(self, snapshot: Snapshot) -> bool:
        """Replace the snapshot in force unless that would break P1 or P2."""
        newer = invariants.check(
            snapshot.version >= self.snapshot.version,
            "P1_never_older",
            node=self._node_id,
            version=snapshot.version,
            in_force=self.snapshot.version,
        )
        if not newer or not _has_all_it_names(snapshot):
            return False
        self.snapshot = snapshot
        return True


def _newest_version(message: OfferDeltas | OfferTable) -> int:
    if isinstance(message, OfferTable):
        return message.table.version
    return max((delta.version for delta in message.deltas), default=0)


def _newest_valid(base: Table, deltas: Sequence[Delta]) -> Table | None:
    """Return the newest valid version that `deltas` lead to, if there is one."""
    newest = None
    for delta in deltas:
        applied = table.apply_delta(base, delta)
        if isinstance(applied, table.DeltaRefused):
            break
        base = applied
        if not table.validate(base.rows_by_service):
            newest = base
    return newest


def _damaged(version: int, reason: str) -> RefusedVersion:
    return RefusedVersion(version, (RowProblem("", "", reason),))


def _without_gone(
    targets_by_service: Mapping[str, tuple[PlacedTarget, ...]],
) -> Mapping[str, tuple[PlacedTarget, ...]]:
    known = {}
    for service, targets in targets_by_service.items():
        present = tuple(t for t in targets if t.target.state is not TargetState.GONE)
        if present:
            known[service] = present
    return known


def _build_snapshot(
    version: Table,
    targets_by_service: Mapping[str, tuple[PlacedTarget, ...]],
    routes: RouteIndex,
) -> Snapshot:
    destinations_by_service = {}
    pending_by_service = {}
    for service, row in version.rows_by_service.items():
        named = row.destinations or (Destination(service, 1),)
        destinations_by_service[service] = tuple(
            destination for destination in named if destination.service in targets_by_service
        )
        pending = tuple(d.service for d in named if d.service not in targets_by_service)
        if pending:
            pending_by_service[service] = pending
    return Snapshot(
        version.version,
        version.rows_by_service,
        destinations_by_service,
        pending_by_service,
        targets_by_service,
        routes,
    )


def _has_all_it_names(snapshot: Snapshot) -> bool:
    """Check that every route leads to a row and to at least one known target."""
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
