"""Changes of the table by compare-and-swap on the head record."""

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

MAX_DELTAS = 32
KEPT_ARCHIVES = 128
# An archive whose deletion failed is deleted by one of the next folds.
PRUNE_OVERLAP = 4
MAX_VALUE_BYTES = 1 << 20
# Every reader receives the head on each change, so a large delta is folded by the next one.
MAX_HEAD_BYTES = 16 << 10
MAX_FAILURES = 8
MAX_RACES = 64
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 3.0


@dataclass(frozen=True, slots=True)
class TableEdit:
    """Row edits against the version that the operator saw."""

    base: Table
    rows: tuple[RowChange, ...]


@dataclass(frozen=True, slots=True)
class RowClash:
    """A row that both this change and another one since the base version changed.

    None stands for an absent row.
    """

    service: str
    base: Row | None
    present: Row | None
    wanted: Row | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is part of `version`; an edit without difference creates no version."""

    version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change would make the table invalid and had no effect."""

    problems: tuple[RowProblem, ...]


@dataclass(frozen=True, slots=True)
class Clash:
    """The change had no effect, because rows were changed on both sides."""

    rows: tuple[RowClash, ...]


@dataclass(frozen=True, slots=True)
class Undecided:
    """The store failed after the change was sent; `TableWriter.status` tells the result later."""

    change_id: str


ChangeOutcome = Accepted | Rejected | Clash | Undecided | StoreFailed


@dataclass(frozen=True, slots=True)
class ChangeFound:
    """The change took effect."""

    delta: Delta


@dataclass(frozen=True, slots=True)
class ChangeAbsent:
    """The change is not part of `version` or, within the kept history, of an older one."""

    version: int


StatusOutcome = ChangeFound | ChangeAbsent | StoreFailed


@dataclass(frozen=True, slots=True)
class VersionGone:
    """The version does not exist or is no longer kept."""

    version: int


@dataclass(frozen=True, slots=True)
class _HistoryGone:
    """The deltas since this version are no longer all kept."""

    version: int


@dataclass(frozen=True, slots=True)
class _Raced:
    """Another change took effect between the read and the write."""


@dataclass(frozen=True, slots=True)
class _Change:
    edit: TableEdit
    author: str
    comment: str
    change_id: str
    at_ms: int

    def delta(self, version: int, present: Table, rows_by_service: Mapping[str, Row]) -> Delta:
        made = table.make_table(version, rows_by_service)
        rows = table.diff(present, made)
        return Delta(
            version, self.change_id, self.author, self.at_ms, self.comment, rows, made.digest
        )


@dataclass(slots=True)
class _Progress:
    """What one change knows about its earlier attempts.

    `unknown_at` is the head revision that a write of unknown effect was conditional on. Once the
    head is above it without the change, that write can no longer take effect.
    """

    resumed: bool
    failures: int = 0
    races: int = 0
    unknown_at: int | None = None
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
        Source of the jitter.
    sleep : Callable[[float], Awaitable[None]]
        Waits for a number of seconds.
    wall_clock : Callable[[], float]
        Time in seconds since 1970, recorded with each change.
    max_deltas : int
        Deltas in the head record before they are folded into a snapshot.
    kept_archives : int
        Folds whose snapshot and deltas are kept.
    """

    def __init__(
        self,
        store: Store,
        *,
        rng: random.Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        wall_clock: Callable[[], float] = time.time,
        max_deltas: int = MAX_DELTAS,
        kept_archives: int = KEPT_ARCHIVES,
    ) -> None:
        self._store = store
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._wall_clock = wall_clock
        self._max_deltas = max_deltas
        self._kept_archives = kept_archives

    async def read(self) -> Table | StoreFailed:
        """Read the newest version."""
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
        """Make `edit` part of a new version.

        Calling it again with the same `edit` and `change_id` never makes the change twice.

        Parameters
        ----------
        edit : TableEdit
            Row edits and the version that they were made against.
        author : str
            Operator.
        comment : str
            Reason for people.
        change_id : str
            Random identifier from `new_change_id`.
        resumed : bool
            Whether an earlier call with this `change_id` was undecided. Its write may still take
            effect, so a failure of the store leaves the change undecided again.
        """
        at_ms = round(self._wall_clock() * 1000)
        change = _Change(edit, author, comment, change_id, at_ms)
        progress = _Progress(resumed)
        while True:
            outcome = await self._attempt(change, progress)
            if isinstance(outcome, _Raced):
                progress.races += 1
                if progress.races >= MAX_RACES:
                    reason = "other changes kept taking effect first"
                    return self._give_up(change, progress, StoreFailed(reason, Effect.NONE))
                continue
            if not isinstance(outcome, StoreFailed):
                return outcome
            progress.failures += 1
            if progress.failures >= MAX_FAILURES:
                return self._give_up(change, progress, outcome)
            await self._back_off(progress)

    async def rollback(
        self, version: int, author: str, comment: str, change_id: str, *, resumed: bool = False
    ) -> ChangeOutcome:
        """Make a new version with the rows of an older one; `resumed` is as for `change`."""
        edit = await self._rollback_edit(version, change_id)
        if isinstance(edit, TableEdit):
            return await self.change(edit, author, comment, change_id, resumed=resumed)
        if isinstance(edit, StoreFailed) and resumed:
            return Undecided(change_id)
        return edit

    async def _rollback_edit(
        self, version: int, change_id: str
    ) -> TableEdit | Accepted | Rejected | StoreFailed:
        """Return the edit that leads back to `version`, or the outcome if there is none."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        if not 1 <= version <= stored.head.version:
            return _rejected(f"version {version} does not exist")
        made = await self._find_since(stored.head, version, change_id)
        if isinstance(made, StoreFailed):
            return made
        if isinstance(made, Delta):
            return Accepted(made.version)
        old = await self._read_version(stored.head, version)
        if isinstance(old, StoreFailed):
            return old
        if isinstance(old, _HistoryGone):
            return _rejected(f"version {version} is no longer kept")
        present = await layout.read_table(self._store, stored.head)
        if isinstance(present, StoreFailed):
            return present
        return TableEdit(present, table.diff(present, old))

    async def history(self, limit: int) -> tuple[Delta, ...] | StoreFailed:
        """Return the newest `limit` changes, the newest first."""
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
        """Read an older version."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        if not 1 <= version <= stored.head.version:
            return VersionGone(version)
        old = await self._read_version(stored.head, version)
        return VersionGone(version) if isinstance(old, _HistoryGone) else old

    async def status(self, change_id: str) -> StatusOutcome:
        """Tell whether a change took effect."""
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        deltas = await self._deltas_since(stored.head, 0, partial=True)
        if isinstance(deltas, StoreFailed):
            return deltas
        assert not isinstance(deltas, _HistoryGone)
        made = _find(deltas, change_id)
        return ChangeAbsent(stored.head.version) if made is None else ChangeFound(made)

    def _give_up(self, change: _Change, progress: _Progress, failure: StoreFailed) -> ChangeOutcome:
        if progress.unknown_at is None and not progress.resumed:
            return StoreFailed(failure.reason, Effect.NONE)
        log.warning("change_undecided", change_id=change.change_id, reason=failure.reason)
        return Undecided(change.change_id)

    async def _back_off(self, progress: _Progress) -> None:
        longest = min(BACKOFF_MAX_S, progress.delay_s * 3)
        progress.delay_s = self._rng.uniform(BACKOFF_MIN_S, longest)
        await self._sleep(progress.delay_s)

    async def _attempt(self, change: _Change, progress: _Progress) -> ChangeOutcome | _Raced:
        stored = await layout.read_head(self._store)
        if isinstance(stored, StoreFailed):
            return stored
        made = await self._find_since(stored.head, change.edit.base.version, change.change_id)
        if isinstance(made, StoreFailed):
            return made
        if isinstance(made, Delta):
            return Accepted(made.version)
        if isinstance(made, _HistoryGone):
            return _rejected(f"base version {made.version} is no longer kept")
        if progress.unknown_at is not None and stored.revision > progress.unknown_at:
            progress.unknown_at = None
        present = await layout.read_table(self._store, stored.head)
        if isinstance(present, StoreFailed):
            return present
        clashes = _clashes(change.edit, present)
        if clashes:
            return Clash(clashes)
        rows_by_service = table.change_rows(present.rows_by_service, change.edit.rows)
        problems = table.validate(rows_by_service)
        if problems:
            return Rejected(problems)
        delta = change.delta(present.version + 1, present, rows_by_service)
        if not delta.rows:
            return Accepted(present.version)
        return await self._commit(stored, present, delta, progress)

    async def _commit(
        self, stored: StoredHead, present: Table, delta: Delta, progress: _Progress
    ) -> ChangeOutcome | _Raced:
        head = stored.head
        value = table.encode(_extended(head, delta))
        folds = len(head.deltas) >= self._max_deltas or len(value) > MAX_HEAD_BYTES
        dropped: tuple[int, ...] = ()
        if folds and head.deltas:
            folded = await self._fold(head, present)
            if isinstance(folded, StoreFailed):
                return folded
            dropped = folded
            value = table.encode(Head(delta.version, delta.digest, head.version, (delta,)))
        if len(value) > MAX_VALUE_BYTES:
            return _rejected(f"the change takes {len(value)} bytes, more than the store holds")
        outcome = await self._store.put(layout.HEAD_KEY, value, stored.revision)
        if isinstance(outcome, Conflict):
            return _Raced()
        if isinstance(outcome, StoreFailed):
            if outcome.effect is Effect.UNKNOWN:
                progress.unknown_at = stored.revision
            return outcome
        await self._prune(dropped)
        log.info("change_accepted", version=delta.version, change_id=delta.change_id)
        return Accepted(delta.version)

    async def _fold(self, head: Head, present: Table) -> tuple[int, ...] | StoreFailed:
        """Write the snapshot and the archive of the version of `head`.

        Returns
        -------
        tuple of int or StoreFailed
            Versions whose archive is no longer kept after the change.
        """
        previous: tuple[int, ...] = ()
        if head.snapshot_version:
            older = await layout.read_archive(self._store, head.snapshot_version)
            if isinstance(older, StoreFailed):
                return older
            if isinstance(older, Archive):
                previous = (*older.previous, head.snapshot_version)
        previous = previous[-(self._kept_archives + PRUNE_OVERLAP) :]
        records = {
            layout.archive_key(head.version): Archive(previous, head.deltas),
            layout.snapshot_key(head.version): present,
        }
        for key, record in records.items():
            # A conflict means that another writer has written the same record before.
            outcome = await self._store.put(key, table.encode(record), 0)
            if isinstance(outcome, StoreFailed):
                return StoreFailed(outcome.reason, Effect.NONE)
        return previous[: -self._kept_archives]

    async def _prune(self, versions: tuple[int, ...]) -> None:
        # The oldest archive that is kept starts at the snapshot of the newest one that is not.
        keys = [layout.archive_key(version) for version in versions]
        keys += [layout.snapshot_key(version) for version in versions[:-1]]
        for key in keys:
            outcome = await self._store.delete(key, None)
            if isinstance(outcome, StoreFailed):
                log.warning("prune_failed", key=key, reason=outcome.reason)

    async def _find_since(
        self, head: Head, version: int, change_id: str
    ) -> Delta | _HistoryGone | StoreFailed | None:
        """Return the change if it took effect after `version` or is in the head record."""
        made = _find(head.deltas, change_id)
        if made is not None:
            return made
        deltas = await self._deltas_since(head, version)
        if isinstance(deltas, _HistoryGone | StoreFailed):
            return deltas
        return _find(deltas, change_id)

    async def _deltas_since(
        self, head: Head, version: int, partial: bool = False
    ) -> tuple[Delta, ...] | _HistoryGone | StoreFailed:
        """Return the deltas above `version`, with `partial` as far as they are kept."""
        deltas = head.deltas
        first = head.snapshot_version
        while first > version:
            archive = await layout.read_archive(self._store, first)
            if isinstance(archive, StoreFailed):
                return archive
            if isinstance(archive, Missing):
                if partial:
                    break
                return _HistoryGone(version)
            deltas = archive.deltas + deltas
            first = archive.deltas[0].version - 1
        return tuple(delta for delta in deltas if delta.version > version)

    async def _read_version(self, head: Head, version: int) -> Table | _HistoryGone | StoreFailed:
        deltas = head.deltas
        first = head.snapshot_version
        while first > version:
            archive = await layout.read_archive(self._store, first)
            if isinstance(archive, StoreFailed):
                return archive
            if isinstance(archive, Missing):
                return _HistoryGone(version)
            deltas = archive.deltas
            first = deltas[0].version - 1
        snapshot = await layout.read_snapshot(self._store, first)
        if isinstance(snapshot, StoreFailed):
            return snapshot
        if isinstance(snapshot, Missing):
            return _HistoryGone(version)
        needed = [delta for delta in deltas if delta.version <= version]
        applied = table.apply_deltas(snapshot, needed)
        if isinstance(applied, table.DeltaRefused):
            return StoreFailed(f"version {applied.version} {applied.reason}", Effect.NONE)
        return applied


def _find(deltas: Iterable[Delta], change_id: str) -> Delta | None:
    return next((delta for delta in deltas if delta.change_id == change_id), None)


def _extended(head: Head, delta: Delta) -> Head:
    return Head(delta.version, delta.digest, head.snapshot_version, (*head.deltas, delta))


def _rejected(reason: str) -> Rejected:
    return Rejected((RowProblem("", "", reason),))


def _clashes(edit: TableEdit, present: Table) -> tuple[RowClash, ...]:
    clashes = []
    for change in edit.rows:
        base_row = edit.base.rows_by_service.get(change.service)
        present_row = present.rows_by_service.get(change.service)
        if present_row not in (base_row, change.row):
            clashes.append(RowClash(change.service, base_row, present_row, change.row))
    return tuple(clashes)
