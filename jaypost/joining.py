"""Serves joining nodes: bounded in rate, with packed records that are reused between replies."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from jaypost.messages import RecordPiece
from jaypost.news import TokenBucket
from jaypost.peers import Busy, pack
from jaypost.records import Table
from jaypost.view import BUCKET_FANOUT, LEAF_COUNT, MembershipView

# A reused piece may lack the changes of this time; the joining node gets them by synchronisation.
OUTDATED_PIECE_AGE_S = 5.0
# Pieces hold the ages of left nodes, which must not be much too small.
UNCHANGED_PIECE_AGE_S = 60.0
LEAVES_PER_BUCKET = LEAF_COUNT // BUCKET_FANOUT
RETRY_JITTER = 0.5


@dataclass(frozen=True, slots=True)
class _Piece:
    bucket_hash: int
    packed_at: float
    data: bytes


class JoinServer:
    """Packs what a joining node needs.

    Parameters
    ----------
    view : MembershipView
        Source of the records.
    rate : float
        Join replies per second.
    rng : random.Random
        Source of the jitter of retries.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, view: MembershipView, rate: float, rng: random.Random, now: float) -> None:
        self._view = view
        self._rate = rate
        self._rng = rng
        self._replies = TokenBucket(rate, max(1.0, rate), now)
        self._declined_at: list[float] = []
        self._piece_by_bucket: dict[int, _Piece] = {}
        self._table_version = 0
        self._table = b""

    def admit(self, now: float) -> Busy | None:
        """Return None when a join may be answered now, else when to try again."""
        if self._replies.take(now):
            self._declined_at.clear()
            return None
        # Nodes that were declined within the last second share the coming tokens.
        self._declined_at = [at for at in self._declined_at if now - at < 1.0]
        self._declined_at.append(now)
        expected_s = len(self._declined_at) / self._rate
        return Busy(expected_s * self._rng.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER))

    def table(self, table: Table) -> bytes:
        """Return the packed table; empty for version 0."""
        if table.version == 0:
            return b""
        if table.version != self._table_version:
            self._table = pack(table)
            self._table_version = table.version
        return self._table

    async def pieces(self, now: float) -> tuple[bytes, ...]:
        """Return all records as packed `RecordPiece` messages."""
        pieces = []
        for bucket, bucket_hash in enumerate(self._view.bucket_hashes()):
            held = self._piece_by_bucket.get(bucket)
            if held is None or not self._reusable(held, bucket_hash, now):
                held = self._packed(bucket, bucket_hash, now)
                self._piece_by_bucket[bucket] = held
                # Packing all buckets at once would block the event loop for too long.
                await asyncio.sleep(0)
            pieces.append(held.data)
        return tuple(pieces)

    @staticmethod
    def _reusable(piece: _Piece, bucket_hash: int, now: float) -> bool:
        limit_s = (
            UNCHANGED_PIECE_AGE_S if piece.bucket_hash == bucket_hash else OUTDATED_PIECE_AGE_S
        )
        return now - piece.packed_at < limit_s

    def _packed(self, bucket: int, bucket_hash: int, now: float) -> _Piece:
        first = bucket * LEAVES_PER_BUCKET
        records = self._view.records_in(range(first, first + LEAVES_PER_BUCKET))
        piece = RecordPiece(records, self._view.left_ages(records, now))
        return _Piece(bucket_hash, now, pack(piece))
