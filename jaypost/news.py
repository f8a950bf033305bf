"""News that a node pushes to others: gathered into batches, bounded in rate and in bytes.

The queue is pure: time is passed in. What exceeds the bounds is dropped here, and reaches the other
nodes by synchronisation.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from jaypost.comparison import record_size
from jaypost.messages import Beacon
from jaypost.records import NodeRecord
from jaypost.view import AgedAccusation

BURST_SECONDS = 2.0  # a bucket holds the tokens of this time
# With a fanout of 4 this is 4 KB/s sent by each node while very many records change.
RECORD_BYTES_PER_S = 1_000
RECORD_BURST_BYTES = 16_384
ACCUSATIONS_PER_BATCH = 32


class TokenBucket:
    """Limits a rate; unused tokens are kept up to the burst."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def _refill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now

    def wait_s(self, now: float, tokens: float = 1.0) -> float:
        """Return the time in seconds until that many tokens are there."""
        self._refill(now)
        return max(0.0, (tokens - self._tokens) / self._rate)

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Take tokens if there are enough."""
        self._refill(now)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True


@dataclass(frozen=True, slots=True)
class Batch:
    """News that are sent together; `version` tells that a new table version is among them."""

    records: tuple[NodeRecord, ...]
    accusations: tuple[AgedAccusation, ...]
    beacons: tuple[Beacon, ...]
    version: bool


@dataclass(frozen=True, slots=True)
class _Pending:
    accusation: AgedAccusation
    at: float


class NewsQueue:
    """Pending news.

    Parameters
    ----------
    own_id : str
        The own node, whose record is always sent.
    rate : float
        Batches per second. Table versions have a bucket of their own, so that a burst of changing
        nodes does not delay them.
    delay_s : float
        Shortest time in seconds between two batches, in which news are gathered.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, own_id: str, rate: float, delay_s: float, now: float) -> None:
        self._own_id = own_id
        self._delay_s = delay_s
        self._sent_at = now - delay_s
        self._batches = TokenBucket(rate, rate * BURST_SECONDS, now)
        self._version_batches = TokenBucket(rate, rate * BURST_SECONDS, now)
        self._bytes = TokenBucket(RECORD_BYTES_PER_S, RECORD_BURST_BYTES, now)
        self._record_by_id: dict[str, NodeRecord] = {}
        self._accusation_by_id: dict[str, _Pending] = {}
        self._beacons: tuple[Beacon, ...] = ()
        self._version = False
        self.dropped = 0

    def add_records(self, records: Iterable[NodeRecord]) -> None:
        """Add records; a newer one replaces the pending one of the same node."""
        for record in records:
            self._record_by_id[record.node_id] = record

    def add_accusation(self, accusation: AgedAccusation, now: float) -> None:
        """Add an accusation."""
        self._accusation_by_id[accusation.accusation.node_id] = _Pending(accusation, now)

    def add_beacons(self, beacons: tuple[Beacon, ...]) -> None:
        """Replace the pending beacons."""
        self._beacons = beacons

    def add_version(self) -> None:
        """Note that a new table version is held."""
        self._version = True

    def wait_s(self, now: float) -> float | None:
        """Return the time in seconds until a batch may be sent, or None without news."""
        if not (self._version or self._record_by_id or self._accusation_by_id or self._beacons):
            return None
        gather_s = max(0.0, self._sent_at + self._delay_s - now)
        bucket = self._version_batches if self._version else self._batches
        return max(gather_s, bucket.wait_s(now))

    def take(self, now: float) -> Batch:
        """Remove the pending news and return what may be sent of them."""
        (self._version_batches if self._version else self._batches).take(now)
        self._sent_at = now
        batch = Batch(
            self._take_records(now), self._take_accusations(now), self._beacons, self._version
        )
        self._beacons = ()
        self._version = False
        return batch

    def _take_records(self, now: float) -> tuple[NodeRecord, ...]:
        own = self._record_by_id.pop(self._own_id, None)
        chosen = [own] if own is not None else []
        # The newest news come first, because older ones have spread further by other nodes.
        for record in reversed(self._record_by_id.values()):
            if self._bytes.take(now, record_size(record)):
                chosen.append(record)
            else:
                self.dropped += 1
        self._record_by_id.clear()
        return tuple(chosen)

    def _take_accusations(self, now: float) -> tuple[AgedAccusation, ...]:
        pending = list(self._accusation_by_id.values())
        self.dropped += max(0, len(pending) - ACCUSATIONS_PER_BATCH)
        self._accusation_by_id.clear()
        return tuple(
            replace(item.accusation, age_s=item.accusation.age_s + now - item.at)
            for item in pending[-ACCUSATIONS_PER_BATCH:]
        )
