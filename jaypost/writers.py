"""Changes the table in the store by compare-and-swap on the head record.

The head record holds the newest version as a list of deltas since a snapshot. When the list is
too long or too large, a change compacts it: it writes these deltas to an archive record and the
table after them to a new snapshot, from which the head record starts again.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

import structlog

from jaypost import layout, table
from jaypost.layout import Archive, StoredHead
from jaypost.records import Delta, Head, Row, RowChange, RowProblem, Table
from jaypost.store import Conflict, Effect, Missing, Store, StoreFailed

log = structlog.get_logger(__name__)

MAX_HEAD_DELTAS = 32
KEPT_ARCHIVES = 128
# Number of successive compactions that delete the same expired archive, in case a deletion fails.
PRUNE_ATTEMPTS = 4
# Largest value that the store accepts.
MAX_VALUE_BYTES = 1 << 20
# Every reader receives the head record on each change. When a change would make it larger than
# this, the deltas before the change are compacted; a large delta is thus compacted by the next
# change.
MAX_HEAD_BYTES = 16 << 10
# A change is given up after this many failures of the store or conflicts with other writers.
MAX_STORE_FAILURES = 8
MAX_CONFLICTS = 64
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 3.0


@dataclass(frozen=True, slots=True)
class TableEdit:
    """Row changes that were made against the table version `base`."""

    base: Table
    rows: tuple[RowChange, ...]


@dataclass(frozen=True, slots=True)
class RowClash:
    """A row that this change and another change since the base version both modify.

    Parameters
    ----------
    service : str
        Name of the row.
    base : Row or None
        Row in the base version; None if it did not exist.
    current : Row or None
        Row in the newest version; None if it does not exist.
    requested : Row or None
        Row after this change; None if the change deletes it.
    """

    service: str
    base: Row | None
    current: Row | None
    requested: Row | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is part of `version`. A change that modifies no row creates no new version."""

    version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change had no effect: it would make the table invalid or cannot be made at all."""

    problems: tuple[RowProblem, ...]


@dataclass(frozen=True, slots=True)
class Clash:
    """The change had no effect, because another change modified the same rows."""

    rows: tuple[RowClash, ...]


@dataclass(frozen=True, slots=True)
class Undecided:
    """The store failed after the change was sent: it may have taken effect or may still do so.

    `TableWriter.change_status` tells later whether it did.
    """

    change_id: str


ChangeOutcome = Accepted | Rejected | Clash | Undecided | StoreFailed


@dataclass(frozen=True, slots=True)
class ChangeFound:
    """The change took effect."""

    delta: Delta


@dataclass(frozen=True, slots=True)
class ChangeAbsent:
    """The change is not part of `version` or of any older version whose delta is kept."""

    version: int


StatusOutcome = ChangeFound | ChangeAbsent | StoreFailed


@dataclass(frozen=True, slots=True)
class VersionGone:
    """The version does not exist or is no longer kept."""

    version: int


@dataclass(frozen=True, slots=True)
class _HistoryGone:
    """Some deltas after `version` are no longer kept."""

    version: int


@dataclass(frozen=True, slots=True)
class _HeadChanged:
    """Another writer changed the head record between the read and the write."""


@dataclass(frozen=True, slots=True)
class _Change:
    """A change as the caller requested it."""

    edit: TableEdit
    author: str
    comment: str
    change_id: str
    at_ms: int

    def delta(self, version: int, current: Table, rows_by_service: Mapping[str, Row]) -> Delta:
        """Return the delta from `current` to `rows_by_service`, which become `version`."""
        changed = table.make_table(version, rows_by_service)
        rows = table.diff(current, changed)
        return Delta(
            version, self.change_id, self.author, self.at_ms, self.comment, rows, changed.digest
        )


@dataclass(slots=True)
class _Progress:
    """State of one change across its attempts.

    Parameters
    ----------
    resumed : bool
        Whether an earlier call with the same change identifier was undecided.
    failures : int
        Attempts that failed because of the store.
    conflicts : int
        Attempts that failed because another writer changed the head record.
    unknown_write_revision : int or None
        Head revision on which a write of unknown effect was conditional. Once the head is at a
        higher revision and does not contain the change, that write can no longer take effect.
    delay_s : float
        Last backoff delay in seconds.
    """

    resumed: bool
    failures: int = 0
    conflicts: int = 0
    unknown_write_revision: int | None = None
    delay_s: float = BACKOFF_MIN_S


def new_change_id() -> str:
    """Return a random identifier of 128 bits."""
    return secrets.token_hex(16)


class TableWriter:
    """Changes the table in the store.

    Parameters
    ----------
    store : Store
        Client of the store.
    rng : random.Random
        Random source of the backoff jitter.
    sleep : Callable[[float], Awaitable[None]]
        Waits for a number of seconds.
    wall_clock : Callable[[], float]
        Time in seconds since 1970, recorded with each change.
    max_head_deltas : int
        Maximum number of deltas in the head record; the change after that compacts them.
    kept_archives : int
        Number of compactions, besides the newest, whose archive and snapshot are kept as history.
    """

    def __init__(
        self,
        store: Store,
        *,
        rng: random.Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        wall_clock: Callable[[], float] = time.time,
        max_head_deltas: int = MAX_HEAD_DELTAS,
        kept_archives: int = KEPT_ARCHIVES,
    ) -> None:
        self._store = store
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._wall_clock = wall_clock
        self._max_head_deltas = max_head_deltas
        self._kept_archives = kept_archives

    async def read(self) -> Table | StoreFailed:
        """Read the newest version of the table."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        return await layout.read_table(self._store, stored.head)

    async def change(
        self,
        edit: TableEdit,
        author: str,
        comment: str,
        change_id: str,
        *,
        resumed: bool = False,
    ) -> ChangeOutcome:
        """Apply `edit` to the newest version and store the result as a new version.

        The call is idempotent: repeated with the same `edit` and `change_id`, it does not make
        the change a second time.

        Parameters
        ----------
        edit : TableEdit
            Row changes and the version that they were made against.
        author : str
            Operator who makes the change.
        comment : str
            Reason for the change, for the operators.
        change_id : str
            Random identifier from `new_change_id`.
        resumed : bool
            Whether an earlier call with this `change_id` was undecided. Its write may still take
            effect, so a failure of the store leaves the change undecided again.

        Returns
        -------
        ChangeOutcome
            Result after all attempts; failures of the store are returned, not raised.
        """
        at_ms = round(self._wall_clock() * 1000)
        change = _Change(edit, author, comment, change_id, at_ms)
        progress = _Progress(resumed)
        while True:
            outcome = await self._attempt(change, progress)
            if isinstance(outcome, _HeadChanged):
                progress.conflicts += 1
                if progress.conflicts >= MAX_CONFLICTS:
                    reason = "too many conflicts with other writers"
                    return self._give_up(change, progress, StoreFailed(reason, Effect.NONE))
                continue
            if not isinstance(outcome, StoreFailed):
                return outcome
            progress.failures += 1
            if progress.failures >= MAX_STORE_FAILURES:
                return self._give_up(change, progress, outcome)
            await self._back_off(progress)

    async def rollback(
        self, version: int, author: str, comment: str, change_id: str, *, resumed: bool = False
    ) -> ChangeOutcome:
        """Make a new version with the rows of an older one.

        The other parameters and the outcome are those of `change`.
        """
        edit = await self._rollback_edit(version, change_id)
        if isinstance(edit, TableEdit):
            return await self.change(edit, author, comment, change_id, resumed=resumed)
        if isinstance(edit, StoreFailed) and resumed:
            return Undecided(change_id)
        return edit

    async def _rollback_edit(
        self, version: int, change_id: str
    ) -> TableEdit | Accepted | Rejected | StoreFailed:
        """Return the edit that restores the rows of `version`, or the outcome if there is none."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        if not 1 <= version <= stored.head.version:
            return _rejected(f"version {version} does not exist")
        committed = await self._find_change_since(stored.head, version, change_id)
        if isinstance(committed, StoreFailed):
            return committed
        if isinstance(committed, Delta):
            return Accepted(committed.version)
        old = await self._read_version(stored.head, version)
        if isinstance(old, StoreFailed):
            return old
        if isinstance(old, _HistoryGone):
            return _rejected(f"version {version} is no longer kept")
        current = await layout.read_table(self._store, stored.head)
        if isinstance(current, StoreFailed):
            return current
        return TableEdit(current, table.diff(current, old))

    async def history(self, limit: int) -> tuple[Delta, ...] | StoreFailed:
        """Return up to `limit` changes of the kept history, newest first."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        since = max(0, stored.head.version - limit)
        deltas = await self._deltas_since(stored.head, since, partial=True)
        if isinstance(deltas, StoreFailed):
            return deltas
        assert not isinstance(deltas, _HistoryGone)
        return tuple(reversed(deltas))

    async def read_version(self, version: int) -> Table | VersionGone | StoreFailed:
        """Read the newest or an older version of the table."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        if not 1 <= version <= stored.head.version:
            return VersionGone(version)
        old = await self._read_version(stored.head, version)
        return VersionGone(version) if isinstance(old, _HistoryGone) else old

    async def change_status(self, change_id: str) -> StatusOutcome:
        """Look up whether a change took effect, in the kept history."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        deltas = await self._deltas_since(stored.head, 0, partial=True)
        if isinstance(deltas, StoreFailed):
            return deltas
        assert not isinstance(deltas, _HistoryGone)
        delta = _find_change(deltas, change_id)
        return ChangeAbsent(stored.head.version) if delta is None else ChangeFound(delta)

    def _give_up(self, change: _Change, progress: _Progress, failure: StoreFailed) -> ChangeOutcome:
        if progress.unknown_write_revision is None and not progress.resumed:
            return StoreFailed(failure.reason, Effect.NONE)
        log.warning("change_undecided", change_id=change.change_id, reason=failure.reason)
        return Undecided(change.change_id)

    async def _back_off(self, progress: _Progress) -> None:
        """Wait with exponential backoff and decorrelated jitter."""
        longest = min(BACKOFF_MAX_S, progress.delay_s * 3)
        progress.delay_s = self._rng.uniform(BACKOFF_MIN_S, longest)
        await self._sleep(progress.delay_s)

    async def _attempt(self, change: _Change, progress: _Progress) -> ChangeOutcome | _HeadChanged:
        """Commit the change on top of the newest version, unless it was committed before."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        committed = await self._find_change_since(
            stored.head, change.edit.base.version, change.change_id
        )
        if isinstance(committed, StoreFailed):
            return committed
        if isinstance(committed, Delta):
            return Accepted(committed.version)
        if isinstance(committed, _HistoryGone):
            return _rejected(f"base version {committed.version} is no longer in the kept history")
        if (
            progress.unknown_write_revision is not None
            and stored.revision > progress.unknown_write_revision
        ):
            progress.unknown_write_revision = None
        current = await layout.read_table(self._store, stored.head)
        if isinstance(current, StoreFailed):
            return current
        clashes = _find_clashes(change.edit, current)
        if clashes:
            return Clash(clashes)
        rows_by_service = table.apply_row_changes(current.rows_by_service, change.edit.rows)
        problems = table.validate(rows_by_service)
        if problems:
            return Rejected(problems)
        delta = change.delta(current.version + 1, current, rows_by_service)
        if not delta.rows:
            return Accepted(current.version)
        return await self._commit(stored, current, delta, progress)

    async def _commit(
        self, stored: StoredHead, current: Table, delta: Delta, progress: _Progress
    ) -> ChangeOutcome | _HeadChanged:
        """Write the head record with `delta` if it is unchanged; compact its deltas if needed."""
        head = stored.head
        value = table.encode(_append_delta(head, delta))
        must_compact = len(head.deltas) >= self._max_head_deltas or len(value) > MAX_HEAD_BYTES
        expired_versions: tuple[int, ...] = ()
        if must_compact and head.deltas:
            expired = await self._compact(head, current)
            if isinstance(expired, StoreFailed):
                return expired
            expired_versions = expired
            value = table.encode(Head(delta.version, delta.digest, head.version, (delta,)))
        if len(value) > MAX_VALUE_BYTES:
            return _rejected(f"the change takes {len(value)} bytes, more than the store accepts")
        outcome = await self._store.put(layout.HEAD_KEY, value, stored.revision)
        if isinstance(outcome, Conflict):
            return _HeadChanged()
        if isinstance(outcome, StoreFailed):
            if outcome.effect is Effect.UNKNOWN:
                progress.unknown_write_revision = stored.revision
            return outcome
        await self._prune(expired_versions)
        log.info("change_accepted", version=delta.version, change_id=delta.change_id)
        return Accepted(delta.version)

    async def _compact(self, head: Head, current: Table) -> tuple[int, ...] | StoreFailed:
        """Write the archive and the snapshot of the version of `head`.

        Parameters
        ----------
        head : Head
            Head record whose deltas are archived.
        current : Table
            Table at the version of `head`.

        Returns
        -------
        tuple of int or StoreFailed
            Versions of the archives to delete once the change is committed.
        """
        previous_versions: tuple[int, ...] = ()
        if head.snapshot_version:
            older_archive = await layout.read_archive(self._store, head.snapshot_version)
            if isinstance(older_archive, StoreFailed):
                return older_archive
            if isinstance(older_archive, Archive):
                previous_versions = (*older_archive.previous, head.snapshot_version)
        previous_versions = previous_versions[-(self._kept_archives + PRUNE_ATTEMPTS) :]
        record_by_key = {
            layout.archive_key(head.version): Archive(previous_versions, head.deltas),
            layout.snapshot_key(head.version): current,
        }
        for key, record in record_by_key.items():
            # A conflict means that another writer has already written the same record.
            outcome = await self._store.put(key, table.encode(record), 0)
            if isinstance(outcome, StoreFailed):
                return StoreFailed(outcome.reason, Effect.NONE)
        return previous_versions[: -self._kept_archives]

    async def _prune(self, versions: tuple[int, ...]) -> None:
        """Delete the archives of `versions`, which are in ascending order, and their snapshots."""
        # The snapshot of the last version stays: the deltas of the oldest kept archive start
        # from it.
        keys = [layout.archive_key(version) for version in versions]
        keys += [layout.snapshot_key(version) for version in versions[:-1]]
        for key in keys:
            outcome = await self._store.delete(key, None)
            if isinstance(outcome, StoreFailed):
                log.warning("prune_failed", key=key, reason=outcome.reason)

    async def _find_change_since(
        self, head: Head, version: int, change_id: str
    ) -> Delta | _HistoryGone | StoreFailed | None:
        """Find the delta of a change in the head record and in the versions after `version`."""
        delta = _find_change(head.deltas, change_id)
        if delta is not None:
            return delta
        deltas = await self._deltas_since(head, version)
        if isinstance(deltas, _HistoryGone | StoreFailed):
            return deltas
        return _find_change(deltas, change_id)

    async def _deltas_since(
        self, head: Head, version: int, partial: bool = False
    ) -> tuple[Delta, ...] | _HistoryGone | StoreFailed:
        """Return the deltas after `version` in ascending order.

        If some of them are no longer kept, `partial` returns the others instead of
        `_HistoryGone`.
        """
        deltas = head.deltas
        snapshot_version = head.snapshot_version
        while snapshot_version > version:
            archive = await layout.read_archive(self._store, snapshot_version)
            if isinstance(archive, StoreFailed):
                return archive
            if isinstance(archive, Missing):
                if partial:
                    break
                return _HistoryGone(version)
            deltas = archive.deltas + deltas
            snapshot_version = archive.deltas[0].version - 1
        return tuple(delta for delta in deltas if delta.version > version)

    async def _read_version(self, head: Head, version: int) -> Table | _HistoryGone | StoreFailed:
        """Build `version` from the newest snapshot that is not above it and the deltas after it."""
        deltas = head.deltas
        snapshot_version = head.snapshot_version
        while snapshot_version > version:
            archive = await layout.read_archive(self._store, snapshot_version)
            if isinstance(archive, StoreFailed):
                return archive
            if isinstance(archive, Missing):
                return _HistoryGone(version)
            deltas = archive.deltas
            snapshot_version = deltas[0].version - 1
        snapshot = await layout.read_snapshot(self._store, snapshot_version)
        if isinstance(snapshot, StoreFailed):
            return snapshot
        if isinstance(snapshot, Missing):
            return _HistoryGone(version)
        needed = [delta for delta in deltas if delta.version <= version]
        applied = table.apply_deltas(snapshot, needed)
        if isinstance(applied, table.DeltaRefused):
            return StoreFailed(f"version {applied.version}: {applied.reason}", Effect.NONE)
        return applied


def _find_change(deltas: Iterable[Delta], change_id: str) -> Delta | None:
    return next((delta for delta in deltas if delta.change_id == change_id), None)


def _append_delta(head: Head, delta: Delta) -> Head:
    return Head(delta.version, delta.digest, head.snapshot_version, (*head.deltas, delta))


def _rejected(reason: str) -> Rejected:
    return Rejected((RowProblem("", "", reason),))


def _find_clashes(edit: TableEdit, current: Table) -> tuple[RowClash, ...]:
    clashes = []
    for change in edit.rows:
        base_row = edit.base.rows_by_service.get(change.service)
        current_row = current.rows_by_service.get(change.service)
        if current_row not in (base_row, change.row):
            clashes.append(RowClash(change.service, base_row, current_row, change.row))
    return tuple(clashes)
