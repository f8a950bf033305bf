"""Task that watches the head record in the store and offers new versions to the node."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from jaypost import invariants, layout, table
from jaypost.config import ConfigHolder, OfferDeltas, OfferTable
from jaypost.records import Head, Table
from jaypost.settings import Settings
from jaypost.store import Found, Store, StoreFailed

log = structlog.get_logger(__name__)

# Interval at which a node that is not a reader checks whether it has become one.
ROLE_CHECK_S = 0.5
# Contacts with a quiet store in the time after which a beacon counts as silent.
BEACONS_PER_TIMEOUT = 3
# A damaged record is read again after this time, unless the head record changes before.
DAMAGED_RETRY_S = 30.0
# A store that changes without pause would otherwise be read without pause.
MIN_READ_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class ReadHead:
    """The head record was read and its version is held."""

    version: int


@dataclass(frozen=True, slots=True)
class NothingNew:
    """The store answered and the head record has not changed."""


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The head record or its snapshot could not be read or used."""

    reason: str


ReadOutcome = ReadHead | NothingNew | ReadFailed


@dataclass(frozen=True, slots=True)
class TableSource:
    """Where the newest table version lies and in which form.

    Parameters
    ----------
    key : str
        Key in the store.
    decode : callable
        Returns the head record or the whole version in a value.
    """

    key: str
    decode: Callable[[bytes], Head | Table | table.Undecodable]


HEAD_SOURCE = TableSource(layout.HEAD_KEY, layout.decode_head)


class TableReader:
    """Reads new table versions from the store while the node is a reader.

    Parameters
    ----------
    store : Store
        Client of the store.
    holder : ConfigHolder
        Receives the versions.
    replicate : Callable[[], Awaitable[bool]]
        Copies the held version to other nodes, and tells whether one has it or none exists.
    is_reader : Callable[[], bool]
        Tells whether this node reads for its failure domain.
    settings : Settings
        Settings of the node.
    source : TableSource
        Where the newest version lies.
    rng : random.Random
        Source of the jitter.
    sleep : Callable[[float], Awaitable[None]]
        Waits for a number of seconds.
    clock : Callable[[], float]
        Monotonic time in seconds.

    Attributes
    ----------
    last_contact : float or None
        Monotonic time of the last answer of the store, for beacons.
    head_read : bool
        Whether the newest version was read from the store since the start of the process.
    """

    def __init__(
        self,
        store: Store,
        holder: ConfigHolder,
        replicate: Callable[[], Awaitable[bool]],
        is_reader: Callable[[], bool],
        settings: Settings,
        *,
        source: TableSource = HEAD_SOURCE,
        rng: random.Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._holder = holder
        self._replicate = replicate
        self._is_reader = is_reader
        self._settings = settings
        self._source = source
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self._revision = 0
        self._taken_version = 0
        self._replicated_version = 0
        self._retry_at: float | None = None
        self._delay_s = settings.store_backoff_min_s
        # A watch that waits longer would let the beacons of a quiet store grow too old.
        self._wait_s = min(settings.watch_wait_s, settings.beacon_timeout_s / BEACONS_PER_TIMEOUT)
        self.last_contact: float | None = None
        self.head_read = False

    def start(self) -> None:
        """Start the task."""
        self._task = asyncio.create_task(self._run(), name="table-reader")

    async def close(self) -> None:
        """Stop the task and wait for its end."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    async def read_once(self) -> ReadOutcome:
        """Read the head record without waiting and bring its version into force.

        A starting node calls it before `start`, also when it is not a reader. The version stays
        out of force when other nodes exist and none acknowledges it.
        """
        outcome = await self._read(wait_s=0.0)
        if self._needs_replication():
            await self.bring_into_force()
        return outcome

    async def _run(self) -> None:
        while True:
            try:
                if self._is_reader():
                    await self._step()
                elif self._needs_replication():
                    # Nobody offers a version again that this node already holds.
                    await self._pause(await self.bring_into_force())
                else:
                    await self._sleep(ROLE_CHECK_S)
            except invariants.InvariantViolationError:
                raise
            except Exception:
                # The task must outlive faults, or its failure domain stops reading.
                log.exception("reader_failed")
                await self._back_off()

    async def _step(self) -> None:
        """Read once and bring a new version into force, with a pause before the next read."""
        started = self._clock()
        # A version that waits for replication is retried soon, so the watch must not wait.
        wait_s = 0.0 if self._needs_replication() else self._wait_s
        outcome = await self._read(wait_s)
        if isinstance(outcome, ReadFailed):
            log.warning("read_failed", reason=outcome.reason)
            await self._back_off()
            return
        progress = isinstance(outcome, ReadHead)
        if self._needs_replication():
            progress = await self.bring_into_force()
        elif self._clock() - started >= self._settings.store_backoff_min_s:
            progress = True
        await self._pause(progress)

    async def _pause(self, progress: bool) -> None:
        if progress:
            self._delay_s = self._settings.store_backoff_min_s
            await self._sleep(MIN_READ_INTERVAL_S)
        else:
            await self._back_off()

    def _needs_replication(self) -> bool:
        return self._taken_version > max(self._replicated_version, self._holder.in_force_version)

    async def bring_into_force(self) -> bool:
        """Replicate the held version and activate it; false when no other node has it."""
        if not self._needs_replication():
            self._holder.activate()
            return True
        version = self._holder.held_version
        if not await self._replicate():
            log.warning("version_not_replicated", version=version)
            return False
        self._replicated_version = version
        if self._holder.held_version == version:
            self._holder.activate()
        return True

    async def _back_off(self) -> None:
        """Wait with decorrelated jitter."""
        shortest = self._settings.store_backoff_min_s
        longest = min(self._settings.store_backoff_max_s, self._delay_s * 3)
        self._delay_s = self._rng.uniform(shortest, max(shortest, longest))
        await self._sleep(self._delay_s)

    async def _read(self, wait_s: float) -> ReadOutcome:
        if self._retry_at is not None and self._clock() >= self._retry_at:
            self._retry_at = None
            self._revision = 0
        found = await self._store.watch(self._source.key, self._revision, wait_s)
        if isinstance(found, StoreFailed):
            return ReadFailed(found.reason)
        self.last_contact = self._clock()
        if isinstance(found, Found):
            return await self._take(found)
        if found.revision < self._revision:
            log.error("store_went_back", revision=found.revision, known=self._revision)
            self._revision = 0
            return NothingNew()
        self.head_read = True
        return NothingNew()

    async def _take(self, found: Found) -> ReadOutcome:
        if found.revision <= self._revision:
            return NothingNew()
        head = self._source.decode(found.value)
        if isinstance(head, table.Undecodable):
            return self._refuse(found.revision, f"{self._source.key} is damaged: {head.reason}")
        failure: StoreFailed | None = None
        if isinstance(head, Table):
            self._offer_whole(head)
        else:
            failure = await self._offer(head)
        self._taken_version = self._holder.held_version
        if isinstance(failure, layout.Damaged):
            return self._refuse(found.revision, failure.reason)
        if failure is not None:
            return ReadFailed(failure.reason)
        self._revision = found.revision
        self.head_read = True
        return ReadHead(head.version)

    def _refuse(self, revision: int, reason: str) -> ReadFailed:
        """Leave a damaged version alone until the head record changes or some time has passed."""
        log.error("version_refused", reason=reason)
        self._revision = revision
        self._retry_at = self._clock() + DAMAGED_RETRY_S
        return ReadFailed(reason)

    def _offer_whole(self, whole: Table) -> None:
        """Offer a version as the change from the held one, which is what other nodes need."""
        held = self._holder.held_table
        if whole.version < held.version:
            log.warning("store_behind", head=whole.version, held=held.version)
        if whole.version > held.version:
            at_ms = time.time_ns() // 1_000_000
            delta = table.delta_between(held, whole, self._source.key, at_ms)
            self._holder.offer(OfferDeltas((delta,)), activate=False)

    async def _offer(self, head: Head) -> StoreFailed | None:
        """Offer the version of `head`, by its deltas or else by its snapshot."""
        if head.version < self._holder.held_version:
            log.warning("store_behind", head=head.version, held=self._holder.held_version)
        self._holder.offer(OfferDeltas(head.deltas), activate=False)
        if self._holder.held_version >= head.version:
            return None
        whole = await layout.read_table(self._store, head)
        if isinstance(whole, StoreFailed):
            return whole
        self.last_contact = self._clock()
        self._holder.offer(OfferTable(whole), activate=False)
        return None
