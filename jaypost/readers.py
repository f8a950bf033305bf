"""Task that watches the head record in the store and offers new versions to `ConfigHolder`."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from jaypost import freshness, invariants, layout, table
from jaypost.config import ConfigHolder, OfferDeltas, OfferTable
from jaypost.logs import EventName
from jaypost.records import Head, Table
from jaypost.settings import Settings
from jaypost.store import Found, Store, StoreFailed

log = structlog.get_logger(__name__)

# Interval at which a node that is not a reader checks whether it has become a reader.
ROLE_CHECK_INTERVAL_S = 0.5
# Time in seconds for which a node that holds a version must be a reader, or stand by, before it
# reads the store.
READER_SETTLE_S = 1.0
# Watches of an unchanged head record end at least this many times per `beacon_timeout_s`, and each
# of them renews `TableReader.last_contact`.
WATCHES_PER_BEACON_TIMEOUT = 3
# A damaged record is read again after this delay, or as soon as the head record changes.
DAMAGED_RETRY_DELAY_S = 30.0
# Pause between two reads, so that a store that changes all the time is not read in a tight loop.
MIN_READ_PAUSE_S = 0.05
# Pauses after a new version, of the first reader of a region and of the others. Versions that are
# replaced within the pause are skipped.
FIRST_READER_PAUSE_S = 0.25
OTHER_READER_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The head record was read, and its version or a newer one is held."""

    version: int


@dataclass(frozen=True, slots=True)
class NothingNew:
    """The store answered, without a newer head record."""


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The head record or its snapshot could not be read or used."""

    reason: str


ReadOutcome = HeadRead | NothingNew | ReadFailed


@dataclass(frozen=True, slots=True)
class TableSource:
    """Location and encoding of the newest table version in the store.

    Parameters
    ----------
    key : str
        Key in the store.
    decode : callable
        Decodes a value to a head record or to a whole table, or returns `DecodeFailure`.
    """

    key: str
    decode: Callable[[bytes], Head | Table | table.DecodeFailure]


HEAD_SOURCE = TableSource(layout.HEAD_KEY, layout.decode_head)


class TableReader:
    """Reads new table versions from the store while the node is a reader.

    Parameters
    ----------
    store : Store
        Client of the store.
    holder : ConfigHolder
        Receives the versions that are read.
    replicate : Callable[[], Awaitable[bool]]
        Sends the held version to other nodes. Returns whether one of them acknowledged it or
        there is no other node.
    reader_place : Callable[[], int or None]
        Returns the place of this node among the readers of its region, 0 for the first; None if it
        does not read the store.
    settings : Settings
        Settings of the node.
    is_candidate : Callable[[], bool]
        Tells whether this node is a reader, or becomes one when others fail.
    is_isolated : Callable[[], bool]
        Tells whether this node hears no other node.
    store_era : Callable[[], int]
        Returns the era of the store; see `jaypost.store_connections`.
    source : TableSource
        Location and encoding of the newest version.
    rng : random.Random
        Random source of the backoff jitter.
    sleep : Callable[[float], Awaitable[None]]
        Waits for a number of seconds.
    clock : Callable[[], float]
        Monotonic time in seconds.
    freshness_clock : Callable[[], float]
        Time in seconds that includes suspended time.

    Attributes
    ----------
    last_contact : float or None
        Monotonic time in seconds of the last response of the store; None before the first.
    head_read : bool
        Whether the store has returned a usable head record, or reported that there is no newer one
        or none at all, since the process started.
    newest_at : float or None
        Last time at which the store is known to have held no newer version than this node, by the
        clock of `freshness`; None before the first such read.
    """

    def __init__(
        self,
        store: Store,
        holder: ConfigHolder,
        replicate: Callable[[], Awaitable[bool]],
        reader_place: Callable[[], int | None],
        settings: Settings,
        *,
        is_candidate: Callable[[], bool] = lambda: False,
        is_isolated: Callable[[], bool] = lambda: False,
        store_era: Callable[[], int] = lambda: 0,
        source: TableSource = HEAD_SOURCE,
        rng: random.Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        clock: Callable[[], float] = time.monotonic,
        freshness_clock: Callable[[], float] = freshness.clock,
    ) -> None:
        self._store = store
        self._holder = holder
        self._replicate = replicate
        self._reader_place = reader_place
        self._settings = settings
        self._is_candidate = is_candidate
        self._is_isolated = is_isolated
        self._store_era = store_era
        self._known_era = 0
        self._source = source
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._clock = clock
        self._freshness_clock = freshness_clock
        self._task: asyncio.Task[None] | None = None
        self._last_revision = 0
        self._held_version_after_read = 0
        self._replicated_version = 0
        self._damaged_retry_at: float | None = None
        self._candidate_since: float | None = None
        self._role_changed = asyncio.Event()
        self._delay_s = settings.store_backoff_min_s
        # The watch of an unchanged head record must end often enough to keep `last_contact` recent.
        self._watch_wait_s = min(
            settings.watch_wait_s, settings.beacon_timeout_s / WATCHES_PER_BEACON_TIMEOUT
        )
        self._version_in_store: int | None = 0  # None while the record is damaged
        self.last_contact: float | None = None
        self.newest_at: float | None = None
        self.head_read = False

    def start(self) -> None:
        """Start the task that reads the store."""
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

        A starting node calls this before `start`, even if it is not a reader. The version does not
        come into force if there are other nodes and none of them acknowledges it.

        Returns
        -------
        ReadOutcome
            Result of the read; it does not tell whether the version came into force.
        """
        outcome = await self._read(wait_s=0.0)
        if self._needs_replication():
            await self.replicate_and_activate()
        return outcome

    async def _run(self) -> None:
        while True:
            try:
                if self._is_settled_reader():
                    await self._read_cycle()
                elif self._needs_replication():
                    # Other nodes do not offer a version that this node already holds, so it has to
                    # replicate the version itself even though it is not a reader.
                    await self._pause(await self.replicate_and_activate())
                else:
                    await self._wait_for_role()
            except invariants.InvariantViolationError:
                raise
            except Exception:
                # If an unexpected error ended the task, this node would stop reading for its
                # failure domain.
                log.exception("reader_failed")
                await self._back_off()

    def notify_role_changed(self) -> None:
        """Check at once whether this node has become a reader."""
        self._role_changed.set()

    async def _wait_for_role(self) -> None:
        """Wait until the role has to be checked again."""
        self._role_changed.clear()
        pause = asyncio.ensure_future(self._sleep(ROLE_CHECK_INTERVAL_S))
        changed = asyncio.ensure_future(self._role_changed.wait())
        try:
            await asyncio.wait({pause, changed}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()
            changed.cancel()

    def _is_settled_reader(self) -> bool:
        """Tell whether this node reads the store and has been a candidate for that for a while.

        While nodes start, each of them may be a reader for a moment. A node that holds no version
        does not wait, and neither does one that has been standing by or that hears no other node:
        the version that it reads may be due soon.
        """
        is_reader = self._reader_place() is not None
        if self._is_isolated():
            return is_reader
        if not is_reader and not self._is_candidate():
            self._candidate_since = None
            return False
        now = self._clock()
        if self._candidate_since is None:
            self._candidate_since = now
        settled = now - self._candidate_since >= READER_SETTLE_S
        return is_reader and (settled or not self._holder.held_version)

    async def _read_cycle(self) -> None:
        """Read once, bring a new version into force and pause before the next read."""
        started = self._clock()
        # The watch does not wait while a version must be replicated, so that this is retried soon.
        wait_s = 0.0 if self._needs_replication() else self._watch_wait_s
        outcome = await self._read(wait_s)
        if isinstance(outcome, ReadFailed):
            log.warning("read_failed", reason=outcome.reason)
            await self._back_off()
            return
        progress = isinstance(outcome, HeadRead)
        if self._needs_replication():
            progress = await self.replicate_and_activate()
        elif self._clock() - started >= self._settings.store_backoff_min_s:
            # The watch has already waited as long as the shortest backoff.
            progress = True
        if progress and isinstance(outcome, HeadRead):
            await self._sleep(self._pause_after_change_s())
        await self._pause(progress)

    def _pause_after_change_s(self) -> float:
        first = self._reader_place() == 0
        pause_s = FIRST_READER_PAUSE_S if first else OTHER_READER_PAUSE_S
        return min(pause_s, self._settings.store_backoff_max_s)

    async def _pause(self, progress: bool) -> None:
        """Pause briefly after progress, which resets the backoff; back off otherwise."""
        if progress:
            self._delay_s = self._settings.store_backoff_min_s
            await self._sleep(MIN_READ_PAUSE_S)
        else:
            await self._back_off()

    def _needs_replication(self) -> bool:
        """Return whether a version that was read is neither replicated nor in force."""
        return self._held_version_after_read > max(
            self._replicated_version, self._holder.in_force_version
        )

    async def replicate_and_activate(self) -> bool:
        """Replicate the held version if necessary, then activate it.

        Returns
        -------
        bool
            False if no other node acknowledged the version; it is then not activated.
        """
        if not self._needs_replication():
            self._holder.activate()
            return True
        version = self._holder.held_version
        if not await self._replicate():
            log.warning("version_not_replicated", version=version)
            return False
        self._replicated_version = version
        # Activate only the replicated version, not a newer one that arrived meanwhile.
        if self._holder.held_version == version:
            self._holder.activate()
        return True

    async def _back_off(self) -> None:
        """Wait with exponential backoff and decorrelated jitter."""
        shortest = self._settings.store_backoff_min_s
        longest = min(self._settings.store_backoff_max_s, self._delay_s * 3)
        self._delay_s = self._rng.uniform(shortest, max(shortest, longest))
        await self._sleep(self._delay_s)

    async def _read(self, wait_s: float) -> ReadOutcome:
        """Watch the table source for up to `wait_s` seconds and offer a new version."""
        started_at = self._freshness_clock()
        outcome = await self._read_source(wait_s)
        in_store = self._version_in_store
        if not isinstance(outcome, ReadFailed) and in_store is not None:
            if self._holder.held_version >= in_store:
                self.newest_at = started_at
        return outcome

    async def _read_source(self, wait_s: float) -> ReadOutcome:
        if self._damaged_retry_at is not None and self._clock() >= self._damaged_retry_at:
            self._damaged_retry_at = None
            # From revision 0, the watch returns the damaged record again at once.
            self._last_revision = 0
        if self._store_era() != self._known_era:
            # A version that is written again may have a lower revision than one that was read.
            self._known_era = self._store_era()
            self._last_revision = 0
        found = await self._store.watch(self._source.key, self._last_revision, wait_s)
        if isinstance(found, StoreFailed):
            return ReadFailed(found.reason)
        self.last_contact = self._clock()
        if isinstance(found, Found):
            return await self._offer_found(found)
        if found.revision < self._last_revision:
            log.error("store_went_back", revision=found.revision, known=self._last_revision)
            self._last_revision = 0
            return NothingNew()
        self.head_read = True
        return NothingNew()

    async def _offer_found(self, found: Found) -> ReadOutcome:
        """Decode a value of the table source and offer its version."""
        if found.revision <= self._last_revision:
            return NothingNew()
        head = self._source.decode(found.value)
        if isinstance(head, table.DecodeFailure):
            return self._skip_damaged(
                found.revision, f"{self._source.key} is damaged: {head.reason}"
            )
        self._version_in_store = head.version
        failure: StoreFailed | None = None
        if isinstance(head, Table):
            self._offer_table(head)
        else:
            failure = await self._offer_head(head)
        self._held_version_after_read = self._holder.held_version
        if isinstance(failure, layout.Damaged):
            return self._skip_damaged(found.revision, failure.reason)
        if failure is not None:
            return ReadFailed(failure.reason)
        self._last_revision = found.revision
        self.head_read = True
        log.info(
            EventName.VERSION_READ,
            version=head.version,
            revision=found.revision,
            held=self._holder.held_version,
            place=self._reader_place(),
        )
        return HeadRead(head.version)

    def _skip_damaged(self, revision: int, reason: str) -> ReadFailed:
        """Ignore a damaged record until the head record changes or the retry delay has passed."""
        log.error("version_refused", reason=reason)
        self._version_in_store = None
        self._last_revision = revision
        self._damaged_retry_at = self._clock() + DAMAGED_RETRY_DELAY_S
        return ReadFailed(reason)

    def _offer_table(self, stored_table: Table) -> None:
        """Offer a whole table as a delta from the held version, so that peers need only that."""
        held = self._holder.held_table
        if stored_table.version < held.version:
            log.warning("store_behind", head=stored_table.version, held=held.version)
        if stored_table.version > held.version:
            at_ms = time.time_ns() // 1_000_000
            delta = table.delta_between(held, stored_table, self._source.key, at_ms)
            self._holder.offer(OfferDeltas((delta,)), activate=False)

    async def _offer_head(self, head: Head) -> StoreFailed | None:
        """Offer the deltas of `head`; if they do not follow the held version, its whole table."""
        if head.version < self._holder.held_version:
            log.warning("store_behind", head=head.version, held=self._holder.held_version)
        self._holder.offer(OfferDeltas(head.deltas), activate=False)
        if self._holder.held_version >= head.version:
            return None
        stored_table = await layout.read_table(self._store, head)
        if isinstance(stored_table, StoreFailed):
            return stored_table
        self.last_contact = self._clock()
        self._holder.offer(OfferTable(stored_table), activate=False)
        return None
