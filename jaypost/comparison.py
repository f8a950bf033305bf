"""Anti-entropy between two views: finds and exchanges differing records in bounded messages.

The steps of an exchange are: top bucket hashes, leaf hashes of some differing buckets, stamps of
some differing leaves, then the records that either side lacks. The buckets are described in
`jaypost.view`.
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
    NodeStamp,
)
from jaypost.records import NodeRecord
from jaypost.view import BUCKET_FANOUT, LEAF_COUNT, MembershipView

RECORD_BYTES_PER_EXCHANGE = 8192  # in each direction, before compression
BUCKETS_PER_EXCHANGE = 4
LEAVES_PER_EXCHANGE = 16
WANTED_RECORDS_PER_EXCHANGE = 32  # requested in a `CompareStampsReply`

_hashes_struct = struct.Struct(f"<{BUCKET_FANOUT}Q")
_encoder = msgspec.msgpack.Encoder()


def record_size_bytes(record: NodeRecord) -> int:
    """Return the encoded size of a record in bytes."""
    return len(_encoder.encode(record))


def limit_to_exchange(records: Iterable[NodeRecord]) -> tuple[NodeRecord, ...]:
    """Return the first records that fit into `RECORD_BYTES_PER_EXCHANGE`, but at least one."""
    chosen: list[NodeRecord] = []
    size = 0
    for record in records:
        size += record_size_bytes(record)
        if chosen and size > RECORD_BYTES_PER_EXCHANGE:
            break
        chosen.append(record)
    return tuple(chosen)


def bucket_request(view: MembershipView) -> CompareBuckets:
    """Return the first message of an exchange, with the top bucket hashes of `view`."""
    return CompareBuckets(view.own.node_id, _hashes_struct.pack(*view.bucket_hashes()))


def bucket_reply(
    view: MembershipView, request: CompareBuckets, rng: random.Random
) -> CompareBucketsReply:
    """Return the leaf hashes of some buckets that differ from the request.

    Raises
    ------
    ValueError
        If the request does not have `BUCKET_FANOUT` hashes.
    """
    differing = _differing_indexes(_unpack_hashes(request.hashes), view.bucket_hashes())
    chosen = rng.sample(differing, min(BUCKETS_PER_EXCHANGE, len(differing)))
    return CompareBucketsReply(
        tuple(
            LeafHashes(bucket, _hashes_struct.pack(*view.leaf_hashes(bucket))) for bucket in chosen
        )
    )


def stamp_request(
    view: MembershipView, reply: CompareBucketsReply, rng: random.Random
) -> CompareStamps | None:
    """Return the stamps in some differing leaves, or None when no leaf differs any more.

    Raises
    ------
    ValueError
        If an item of the reply does not have `BUCKET_FANOUT` hashes.
    """
    leaves = []
    for item in reply.differing:
        if 0 <= item.bucket < BUCKET_FANOUT:
            own = view.leaf_hashes(item.bucket)
            first = item.bucket * BUCKET_FANOUT
            leaves += [
                first + leaf for leaf in _differing_indexes(_unpack_hashes(item.hashes), own)
            ]
    if not leaves:
        return None
    chosen = tuple(rng.sample(leaves, min(LEAVES_PER_EXCHANGE, len(leaves))))
    stamps = tuple(NodeStamp(record.node_id, record.stamp) for record in view.records_in(chosen))
    return CompareStamps(view.own.node_id, chosen, stamps)


def stamp_reply(view: MembershipView, request: CompareStamps, now: float) -> CompareStampsReply:
    """Return records that the sender lacks, and identifiers of those that this view lacks.

    A record that one side has in an older version counts as lacking there.
    """
    leaves = [leaf for leaf in request.leaves[:LEAVES_PER_EXCHANGE] if 0 <= leaf < LEAF_COUNT]
    stamp_by_id = {item.node_id: item.stamp for item in request.stamps}
    missing_at_sender = []
    for record in view.records_in(leaves):
        sender_stamp = stamp_by_id.get(record.node_id)
        if sender_stamp is None or record.stamp.newer_than(sender_stamp):
            missing_at_sender.append(record)
    records = limit_to_exchange(missing_at_sender)
    wanted = [
        item.node_id for item in request.stamps if view.needs_record(item.node_id, item.stamp)
    ]
    return CompareStampsReply(
        records, view.left_ages(records, now), tuple(wanted[:WANTED_RECORDS_PER_EXCHANGE])
    )


def _unpack_hashes(hashes: bytes) -> tuple[int, ...]:
    if len(hashes) != _hashes_struct.size:
        raise ValueError(f"expected {_hashes_struct.size} bytes of hashes, got {len(hashes)}")
    return _hashes_struct.unpack(hashes)


def _differing_indexes(theirs: Sequence[int], own: Sequence[int]) -> list[int]:
    return [index for index in range(BUCKET_FANOUT) if theirs[index] != own[index]]
