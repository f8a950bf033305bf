"""Layout of the table in the store: keys, records and reading a version.

The head record holds the newest version number and the deltas since a snapshot. Compaction moves
these deltas into an archive and writes a new snapshot, so that the head record stays small.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from jaypost import table
from jaypost.records import Delta, Head, Table
from jaypost.store import Effect, Missing, Store, StoreFailed

T = TypeVar("T")

HEAD_KEY = "table/head"
EMPTY_HEAD = Head(0, table.EMPTY_TABLE.digest, 0, ())


@dataclass(frozen=True, slots=True)
class Archive:
    """The deltas that one compaction took from the head record.

    They lead from the previous snapshot to the snapshot of the same version as the archive.

    Parameters
    ----------
    previous : tuple of int
        Versions of older archives, in ascending order; the oldest may already be deleted.
    deltas : tuple of Delta
        Deltas in ascending order; the last one leads to the version of this archive.
    """

    previous: tuple[int, ...]
    deltas: tuple[Delta, ...]


@dataclass(frozen=True, slots=True)
class StoredHead:
    """The head record and its revision in the store."""

    head: Head
    revision: int


class Damaged(StoreFailed):
    """A stored record is invalid; reading it again without a write gives the same result."""

    __slots__ = ()


def snapshot_key(version: int) -> str:
    """Return the key of the snapshot of `version`."""
    return f"table/snapshot/{version}"


def archive_key(version: int) -> str:
    """Return the key of the archive that belongs to the snapshot of `version`."""
    return f"table/archive/{version}"


def decode_head(data: bytes) -> Head | table.DecodeFailure:
    """Decode a head record and check that its versions and digests are consistent.

    Returns
    -------
    Head or DecodeFailure
        The head record, or why it is not one or not consistent.
    """
    head = table.decode(data, Head)
    if isinstance(head, table.DecodeFailure):
        return head
    versions = [delta.version for delta in head.deltas]
    if versions != list(range(head.snapshot_version + 1, head.version + 1)):
        return table.DecodeFailure(
            "deltas are not consecutive from the snapshot version to the head version"
        )
    if head.deltas and head.deltas[-1].digest != head.digest:
        return table.DecodeFailure(
            "digest of the head record differs from the digest of its last delta"
        )
    return head


async def read_head(store: Store) -> StoredHead | StoreFailed:
    """Read the head record; without one, the store holds version 0, which has no rows."""
    found = await store.get(HEAD_KEY)
    if isinstance(found, StoreFailed):
        return found
    if isinstance(found, Missing):
        return StoredHead(EMPTY_HEAD, 0)
    head = decode_head(found.value)
    if isinstance(head, table.DecodeFailure):
        return _damaged(HEAD_KEY, head.reason)
    return StoredHead(head, found.revision)


async def read_snapshot(store: Store, version: int) -> Table | Missing | StoreFailed:
    """Read the snapshot of `version` and check its version and digest."""
    if version == 0:
        return table.EMPTY_TABLE
    key = snapshot_key(version)
    snapshot = await _read_record(store, key, Table)
    if not isinstance(snapshot, Table):
        return snapshot
    if snapshot.version != version or table.digest(snapshot.rows_by_service) != snapshot.digest:
        return _damaged(key, "version does not match the key, or digest does not match the rows")
    return snapshot


async def read_archive(store: Store, version: int) -> Archive | Missing | StoreFailed:
    """Read the archive of `version` and check that its last delta leads to that version."""
    key = archive_key(version)
    archive = await _read_record(store, key, Archive)
    if isinstance(archive, Archive) and (
        not archive.deltas or archive.deltas[-1].version != version
    ):
        return _damaged(key, "deltas do not lead to the version of the archive")
    return archive


async def read_table(store: Store, head: Head) -> Table | StoreFailed:
    """Read the version of `head`: its snapshot with its deltas applied."""
    snapshot = await read_snapshot(store, head.snapshot_version)
    if isinstance(snapshot, StoreFailed):
        return snapshot
    if isinstance(snapshot, Missing):
        return _damaged(snapshot_key(head.snapshot_version), "the record is missing")
    applied = table.apply_deltas(snapshot, head.deltas)
    if isinstance(applied, table.DeltaRefused):
        return _damaged(HEAD_KEY, f"version {applied.version}: {applied.reason}")
    if applied.digest != head.digest:
        return _damaged(HEAD_KEY, "digest does not match the snapshot and its deltas")
    return applied


async def _read_record(store: Store, key: str, record_type: type[T]) -> T | Missing | StoreFailed:
    found = await store.get(key)
    if isinstance(found, StoreFailed | Missing):
        return found
    record = table.decode(found.value, record_type)
    return _damaged(key, record.reason) if isinstance(record, table.DecodeFailure) else record


def _damaged(key: str, reason: str) -> Damaged:
    return Damaged(f"{key} is damaged: {reason}", Effect.NONE)
