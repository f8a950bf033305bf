"""Layout of the table in the store: keys, records and how a version is read from them."""

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
    """The deltas that lead from the snapshot before to the snapshot under the same version.

    Parameters
    ----------
    previous : tuple of int
        Versions of the older archives that are kept, in ascending order.
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
    """A record exists and cannot be used; reading it again gives the same."""

    __slots__ = ()


def snapshot_key(version: int) -> str:
    """Return the key of the snapshot of `version`."""
    return f"table/snapshot/{version}"


def archive_key(version: int) -> str:
    """Return the key of the deltas that were folded into the snapshot of `version`."""
    return f"table/archive/{version}"


def decode_head(data: bytes) -> Head | table.Undecodable:
    """Return the head record in `data`, refused when its parts do not fit together."""
    head = table.decode(data, Head)
    if isinstance(head, table.Undecodable):
        return head
    versions = [delta.version for delta in head.deltas]
    if versions != list(range(head.snapshot_version + 1, head.version + 1)):
        return table.Undecodable("deltas do not lead from the snapshot to the version")
    if head.deltas and head.deltas[-1].digest != head.digest:
        return table.Undecodable("digest of the head differs from that of its last delta")
    return head


async def read_head(store: Store) -> StoredHead | StoreFailed:
    """Read the head record; a store without one holds the empty version 0."""
    found = await store.get(HEAD_KEY)
    if isinstance(found, StoreFailed):
        return found
    if isinstance(found, Missing):
        return StoredHead(EMPTY_HEAD, 0)
    head = decode_head(found.value)
    if isinstance(head, table.Undecodable):
        return _damaged(HEAD_KEY, head.reason)
    return StoredHead(head, found.revision)


async def read_snapshot(store: Store, version: int) -> Table | Missing | StoreFailed:
    """Read the snapshot of `version` and check its digest."""
    if version == 0:
        return table.EMPTY_TABLE
    key = snapshot_key(version)
    snapshot = await _read(store, key, Table)
    if not isinstance(snapshot, Table):
        return snapshot
    if snapshot.version != version or table.digest(snapshot.rows_by_service) != snapshot.digest:
        return _damaged(key, "version or digest does not match")
    return snapshot


async def read_archive(store: Store, version: int) -> Archive | Missing | StoreFailed:
    """Read the deltas that were folded into the snapshot of `version`."""
    key = archive_key(version)
    archive = await _read(store, key, Archive)
    if isinstance(archive, Archive) and (
        not archive.deltas or archive.deltas[-1].version != version
    ):
        return _damaged(key, "deltas do not lead to the version")
    return archive


async def read_table(store: Store, head: Head) -> Table | StoreFailed:
    """Read the version that `head` names."""
    snapshot = await read_snapshot(store, head.snapshot_version)
    if isinstance(snapshot, StoreFailed):
        return snapshot
    if isinstance(snapshot, Missing):
        return _damaged(snapshot_key(head.snapshot_version), "does not exist")
    applied = table.apply_deltas(snapshot, head.deltas)
    if isinstance(applied, table.DeltaRefused):
        return _damaged(HEAD_KEY, f"version {applied.version} {applied.reason}")
    if applied.digest != head.digest:
        return _damaged(HEAD_KEY, "digest does not match the snapshot")
    return applied


async def _read(store: Store, key: str, kind: type[T]) -> T | Missing | StoreFailed:
    found = await store.get(key)
    if isinstance(found, StoreFailed | Missing):
        return found
    record = table.decode(found.value, kind)
    return _damaged(key, record.reason) if isinstance(record, table.Undecodable) else record


def _damaged(key: str, reason: str) -> Damaged:
    return Damaged(f"{key} is damaged: {reason}", Effect.NONE)
