"""Queue of the updates that a node pushes to others, in batches of limited rate and size.

The queue does no input or output, and time is passed in. It drops updates that exceed the limits;
they reach the other nodes by synchronisation.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from jaypost.comparison import record_size_bytes
from jaypost.messages import Beacon
from jaypost.records import NodeRecord
from jaypost.view import AgedAccusation

# Capacity of the token buckets of batches, in seconds of their rate.
BATCH_BURST_S = 2.0
# Counted once for each batch: with a fanout of 4, each node sends 4 KB/s of records while very many
# of them change.
RECORD_BYTES_PER_S = 1_000
RECORD_BURST_BYTES = 16_384
MAX_ACCUSATIONS_PER_BATCH = 32


class TokenBucket:
    """Token bucket: limits a rate, and keeps unused tokens up to a burst.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Most tokens that the bucket holds; it is full at the start.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now

    def wait_s(self, now: float, tokens: float = 1.0) -> float:
        """Return the time in seconds until that many tokens are available."""
        self._refill(now)
        return max(0.0, (tokens - self._tokens) / self._rate)

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Take tokens if enough are available; tell whether they were taken."""
        self._refill(now)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True


@dataclass(frozen=True, slots=True)
class Batch:
    """Updates to send together; `has_new_version` tells that a new table version is to be sent."""

    records: tuple[NodeRecord, ...]
    accusations: tuple[AgedAccusation, ...]
    beacons: tuple[Beacon, ...]
    has_new_version: bool


@dataclass(frozen=True, slots=True)
class _PendingAccusation:
    accusation: AgedAccusation
    at: float


class UpdateQueue:
    """Updates that wait for the next push.

    Parameters
    ----------
    own_id : str
        Identifier of the own node, whose record is sent regardless of the limit on bytes.
    rate : float
        Batches per second. Batches with a table version have a token bucket of their own, so that a
        burst of record changes does not delay them.
    delay_s : float
        Shortest time in seconds between two batches, in which updates are gathered.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    dropped : int
        Records and accusations that were dropped because of the limits.
    """

    def __init__(self, own_id: str, rate: float, delay_s: float, now: float) -> None:
        self._own_id = own_id
        self._delay_s = delay_s
        self._sent_at = now - delay_s
        self._batch_tokens = TokenBucket(rate, rate * BATCH_BURST_S, now)
        self._version_batch_tokens = TokenBucket(rate, rate * BATCH_BURST_S, now)
        self._record_byte_tokens = TokenBucket(RECORD_BYTES_PER_S, RECORD_BURST_BYTES, now)
        self._record_by_id: dict[str, NodeRecord] = {}
        self._accusation_by_id: dict[str, _PendingAccusation] = {}
        self._beacons: tuple[Beacon, ...] = ()
        self._has_new_version = False
        self.dropped = 0

    def add_records(self, records: Iterable[NodeRecord]) -> None:
        """Add records; a newer one replaces the pending one of the same node."""
        for record in records:
            self._record_by_id[record.node_id] = record

    def add_accusation(self, accusation: AgedAccusation, now: float) -> None:
        """Add an accusation; it replaces the pending one of the same node."""
        self._accusation_by_id[accusation.accusation.node_id] = _PendingAccusation(accusation, now)

    def add_beacons(self, beacons: tuple[Beacon, ...]) -> None:
        """Replace the pending beacons."""
        self._beacons = beacons

    def add_version(self) -> None:
        """Note that a new table version is held."""
        self._has_new_version = True

    def wait_s(self, now: float) -> float | None:
        """Return the time in seconds until a batch may be sent, or None without updates."""
        if not (
            self._has_new_version or self._record_by_id or self._accusation_by_id or self._beacons
        ):
            return None
        delay_left_s = max(0.0, self._sent_at + self._delay_s - now)
        bucket = self._version_batch_tokens if self._has_new_version else self._batch_tokens
        return max(delay_left_s, bucket.wait_s(now))

    def take(self, now: float) -> Batch:
        """Remove all pending updates and return those within the limits."""
        (self._version_batch_tokens if self._has_new_version else self._batch_tokens).take(now)
        self._sent_at = now
        batch = Batch(
            self._take_records(now),
            self._take_accusations(now),
            self._beacons,
            self._has_new_version,
        )
        self._beacons = ()
        self._has_new_version = False
        return batch

    def _take_records(self, now: float) -> tuple[NodeRecord, ...]:
        own = self._record_by_id.pop(self._own_id, None)
        chosen = [own] if own is not None else []
        # The newest records come first, because other nodes have spread the older ones further.
        for record in reversed(self._record_by_id.values()):
            if self._record_byte_tokens.take(now, record_size_bytes(record)):
                chosen.append(record)
            else:
                self.dropped += 1
        self._record_by_id.clear()
        return tuple(chosen)

    def _take_accusations(self, now: float) -> tuple[AgedAccusation, ...]:
        pending = list(self._accusation_by_id.values())
        self.dropped += max(0, len(pending) - MAX_ACCUSATIONS_PER_BATCH)
        self._accusation_by_id.clear()
        return tuple(
            replace(item.accusation, age_s=item.accusation.age_s + now - item.at)
            for item in pending[-MAX_ACCUSATIONS_PER_BATCH:]
        )
