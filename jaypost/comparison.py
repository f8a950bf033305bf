"""Finds and exchanges the records in which two views differ, in pieces of bounded size.

The steps are: top bucket hashes, leaf hashes of some differing buckets, stamps of some differing
leaves, then the records that one side lacks.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Iterable, Sequence

import msgspec

from jaypost.messages import (
    CompareBuckets,
    CompareBucketsReply,
    CompareStamps,
    CompareStampsReply,
    LeafHashes,
    StampOf,
)
from jaypost.records import NodeRecord
from jaypost.view import BUCKET_FANOUT, LEAF_COUNT, MembershipView

EXCHANGE_LIMIT_BYTES = 8192  # of records, before compression
BUCKETS_PER_EXCHANGE = 4
LEAVES_PER_EXCHANGE = 16
WANTED_PER_EXCHANGE = 32

_hashes = struct.Struct(f"<{BUCKET_FANOUT}Q")
_encoder = msgspec.msgpack.Encoder()


def record_size(record: NodeRecord) -> int:
    """Return the encoded size of a record in bytes."""
    return len(_encoder.encode(record))


def bounded(records: Iterable[NodeRecord]) -> tuple[NodeRecord, ...]:
    """Return the first records that together fit into one exchange, at least one."""
    chosen: list[NodeRecord] = []
    size = 0
    for record in records:
        size += record_size(record)
        if chosen and size > EXCHANGE_LIMIT_BYTES:
            break
        chosen.append(record)
    return tuple(chosen)


def bucket_request(view: MembershipView) -> CompareBuckets:
    """Start a comparison."""
    return CompareBuckets(view.own.node_id, _hashes.pack(*view.bucket_hashes()))


def bucket_reply(
    view: MembershipView, request: CompareBuckets, rng: random.Random
) -> CompareBucketsReply:
    """Return the leaf hashes of some buckets that differ from the request.

    Raises
    ------
    ValueError
        If the request has not `BUCKET_FANOUT` hashes.
    """
    differing = _differing(_unpacked(request.hashes), view.bucket_hashes())
    chosen = rng.sample(differing, min(BUCKETS_PER_EXCHANGE, len(differing)))
    return CompareBucketsReply(
        tuple(LeafHashes(bucket, _hashes.pack(*view.leaf_hashes(bucket))) for bucket in chosen)
    )


def stamp_request(
    view: MembershipView, reply: CompareBucketsReply, rng: random.Random
) -> CompareStamps | None:
    """Return the stamps in some differing leaves, or None when no leaf differs any more."""
    leaves = []
    for item in reply.differing:
        if 0 <= item.bucket < BUCKET_FANOUT:
            own = view.leaf_hashes(item.bucket)
            first = item.bucket * BUCKET_FANOUT
            leaves += [first + leaf for leaf in _differing(_unpacked(item.hashes), own)]
    if not leaves:
        return None
    chosen = tuple(rng.sample(leaves, min(LEAVES_PER_EXCHANGE, len(leaves))))
    stamps = tuple(StampOf(record.node_id, record.stamp) for record in view.records_in(chosen))
    return CompareStamps(view.own.node_id, chosen, stamps)


def stamp_reply(view: MembershipView, request: CompareStamps, now: float) -> CompareStampsReply:
    """Return the records that the sender lacks, and the identifiers of those that it has newer."""
    leaves = [leaf for leaf in request.leaves[:LEAVES_PER_EXCHANGE] if 0 <= leaf < LEAF_COUNT]
    stamp_by_id = {item.node_id: item.stamp for item in request.stamps}
    lacking = []
    for record in view.records_in(leaves):
        theirs = stamp_by_id.get(record.node_id)
        if theirs is None or record.stamp.newer_than(theirs):
            lacking.append(record)
    records = bounded(lacking)
    wanted = [item.node_id for item in request.stamps if view.wants(item.node_id, item.stamp)]
    return CompareStampsReply(
        records, view.left_ages(records, now), tuple(wanted[:WANTED_PER_EXCHANGE])
    )


def _unpacked(hashes: bytes) -> tuple[int, ...]:
    if len(hashes) != _hashes.size:
        raise ValueError(f"expected {_hashes.size} bytes of hashes, got {len(hashes)}")
    return _hashes.unpack(hashes)


def _differing(theirs: Sequence[int], own: Sequence[int]) -> list[int]:
    return [index for index in range(BUCKET_FANOUT) if theirs[index] != own[index]]
