"""Persists the departures of the host's targets beyond the life of this process.

A target whose departure was acknowledged must get no new work, even after a restart of its node.
A departure is therefore acknowledged only once the store or another node has it. A copy at another
node lasts as long as the nodes that have it, so that the store gets each departure in the end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import msgspec
import structlog

from jaypost.announcements import MAX_TARGETS
from jaypost.logs import EventName
from jaypost.records import Departure
from jaypost.store import (
    Conflict,
    Found,
    GetOutcome,
    GrantOutcome,
    LeaseGranted,
    Missing,
    PutOutcome,
    Stored,
)

log = structlog.get_logger(__name__)

DEPARTURE_PREFIX = "departures/"
# Outlasts the late announcements of a target, which exits within seconds of its departure.
DEPARTURE_LEASE_TTL_S = 600.0
# Shorter than the 1 s that a target waits for the reply to its announcement.
PERSIST_TIMEOUT_S = 0.8
# Interval at which a write that failed is tried again.
STORE_RETRY_S = 1.0
# As many as a node remembers.
MAX_STORED_DEPARTURES = MAX_TARGETS
# A write that meets a conflict is followed by a read and a second write.
WRITES_PER_TRY = 2

_decoder = msgspec.json.Decoder(tuple[Departure, ...])


class DepartureStore(Protocol):
    """The calls of the store that this module uses."""

    async def get(self, key: str) -> GetOutcome:
        """Read a key."""
        ...

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key."""
        ...

    async def grant_lease(self, ttl_s: float) -> GrantOutcome:
        """Create a lease."""
        ...


class Departures:
    """Writes and reads the departures of one node.

    Parameters
    ----------
    store : DepartureStore
        Client of the store.
    node_id : str
        Identifier of the node.
    replicate : callable
        Pushes the own record, which contains the departures, to other nodes and returns whether
        one of them acknowledged it.
    """

    def __init__(
        self, store: DepartureStore, node_id: str, replicate: Callable[[], Awaitable[bool]]
    ) -> None:
        self._store = store
        self._key = f"{DEPARTURE_PREFIX}{node_id}"
        self._replicate = replicate
        self._lease_id: str | None = None
        # Revision of the key as far as known; None before it is read again.
        self._revision: int | None = 0
        # Departures that the store had when it was read last.
        self._read: tuple[Departure, ...] = ()
        # Departures that the store has, and those that another node has at least.
        self._stored: frozenset[Departure] = frozenset()
        self._kept: frozenset[Departure] = frozenset()
        self._wanted: tuple[Departure, ...] = ()
        self._write_is_due = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that repeats writes to the store that failed."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the task."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def load(self) -> tuple[Departure, ...] | None:
        """Return the departures in the store, or None when the store is not available.

        A value that cannot be decoded counts as no departures.
        """
        found = await self._store.get(self._key)
        if not isinstance(found, Found | Missing):
            return None
        self._revision, self._read = 0, ()
        if isinstance(found, Found):
            self._revision, self._read = found.revision, self._decode(found.value)
        self._stored = frozenset(self._read)
        self._kept |= self._stored
        return self._read

    def _decode(self, value: bytes) -> tuple[Departure, ...]:
        try:
            return _decoder.decode(value)
        except (ValueError, RecursionError) as error:
            log.error(EventName.DEPARTURE_NOT_KEPT, key=self._key, reason=str(error))
            return ()

    def forget_kept(self) -> None:
        """Write the departures again: the store has come back from an older copy."""
        self._kept = self._stored = frozenset()
        self._lease_id = self._revision = None

    async def persist(self, departures: tuple[Departure, ...]) -> bool:
        """Persist departures in the store or at another node; return whether that succeeded.

        Both are tried concurrently, because either may be unreachable.
        """
        wanted = frozenset(departures)
        if wanted <= self._kept:
            return True
        self._wanted = departures
        tasks = {
            asyncio.create_task(self._write_to_store(), name="store"),
            asyncio.create_task(self._replicate_to_peers(), name="peers"),
        }
        kept_by = await _first_true(tasks, PERSIST_TIMEOUT_S)
        if not self._is_stored():
            self._write_is_due.set()
        if kept_by is None:
            log.warning(EventName.DEPARTURE_NOT_KEPT, departures=len(departures))
            return False
        self._kept |= wanted
        log.info(EventName.DEPARTURE_KEPT, by=kept_by, departures=len(departures))
        return True

    async def _run(self) -> None:
        while True:
            await self._write_is_due.wait()
            await asyncio.sleep(STORE_RETRY_S)
            if not self._is_stored():
                await self._write_to_store()
            # More departures may have come while the write was in progress.
            if self._is_stored():
                self._write_is_due.clear()
                log.info(EventName.DEPARTURE_KEPT, by="later_store", departures=len(self._wanted))

    def _is_stored(self) -> bool:
        """Return whether the store has all wanted departures, or later ones of their targets."""
        incarnation_by_id = {item.target_id: item.incarnation for item in self._stored}
        return all(
            incarnation_by_id.get(item.target_id, 0) >= item.incarnation for item in self._wanted
        )

    async def _replicate_to_peers(self) -> bool:
        return await self._replicate()

    async def _write_to_store(self) -> bool:
        """Write the wanted departures; return whether the store has them.

        Each write has a condition, so that an earlier one that takes effect late changes nothing.
        """
        if self._lease_id is None:
            granted = await self._store.grant_lease(DEPARTURE_LEASE_TTL_S)
            if not isinstance(granted, LeaseGranted):
                return False
            self._lease_id = granted.lease_id
        for _ in range(WRITES_PER_TRY):
            if self._revision is None and await self.load() is None:
                return False
            departures = _merge((*self._read, *self._wanted))
            value = msgspec.json.encode(departures)
            stored = await self._store.put(self._key, value, self._revision, self._lease_id)
            if isinstance(stored, Stored):
                self._revision, self._stored = stored.revision, frozenset(departures)
                return True
            self._revision = None
            if not isinstance(stored, Conflict):
                self._lease_id = None  # it may have expired
                return False
        return False


def _merge(departures: Iterable[Departure]) -> tuple[Departure, ...]:
    """Return the latest departure of each target, and only the last ones of too many targets."""
    incarnation_by_id: dict[str, int] = {}
    for departure in departures:
        known = incarnation_by_id.pop(departure.target_id, 0)
        incarnation_by_id[departure.target_id] = max(known, departure.incarnation)
    newest = list(incarnation_by_id.items())[-MAX_STORED_DEPARTURES:]
    return tuple(Departure(target_id, incarnation) for target_id, incarnation in newest)


async def _first_true(tasks: set[asyncio.Task[bool]], timeout_s: float) -> str | None:
    """Return the name of the first task that returns True, or None after `timeout_s` seconds.

    The other tasks continue in the background.
    """
    pending = tasks
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while pending:
        remaining_s = max(0.0, deadline - loop.time())
        done, pending = await asyncio.wait(
            pending, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if not task.cancelled() and task.exception() is None and task.result():
                return task.get_name()
        if not done:
            return None
    return None
