"""Persists the departures of the host's targets beyond the life of this process.

A target whose departure was acknowledged must get no new work, even after a restart of its node.
A departure is therefore acknowledged only once the store or another node has it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
import structlog

from jaypost.announcements import Departure
from jaypost.logs import EventName
from jaypost.store import (
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
        self._kept: frozenset[Departure] = frozenset()

    async def load(self) -> tuple[Departure, ...] | None:
        """Return the departures in the store, or None when the store is not available.

        A value that cannot be decoded counts as no departures.
        """
        found = await self._store.get(self._key)
        if isinstance(found, Missing):
            return ()
        if not isinstance(found, Found):
            return None
        try:
            departures = _decoder.decode(found.value)
        except (ValueError, RecursionError) as error:
            log.error(EventName.DEPARTURE_NOT_KEPT, key=self._key, reason=str(error))
            return ()
        self._kept = frozenset(departures)
        return departures

    def forget_kept(self) -> None:
        """Write the departures again: the store has come back from an older copy."""
        self._kept = frozenset()
        self._lease_id = None

    async def persist(self, departures: tuple[Departure, ...]) -> bool:
        """Persist departures in the store or at another node; return whether that succeeded.

        Both are tried concurrently, because either may be unreachable.
        """
        wanted = frozenset(departures)
        if wanted <= self._kept:
            return True
        tasks = {
            asyncio.create_task(self._write_to_store(departures), name="store"),
            asyncio.create_task(self._replicate_to_peers(), name="peers"),
        }
        kept_by = await _first_true(tasks, PERSIST_TIMEOUT_S)
        if kept_by is None:
            log.warning(EventName.DEPARTURE_NOT_KEPT, departures=len(departures))
            return False
        self._kept |= wanted
        log.info(EventName.DEPARTURE_KEPT, by=kept_by, departures=len(departures))
        return True

    async def _replicate_to_peers(self) -> bool:
        return await self._replicate()

    async def _write_to_store(self, departures: tuple[Departure, ...]) -> bool:
        if self._lease_id is None:
            granted = await self._store.grant_lease(DEPARTURE_LEASE_TTL_S)
            if not isinstance(granted, LeaseGranted):
                return False
            self._lease_id = granted.lease_id
        value = msgspec.json.encode(departures)
        stored = await self._store.put(self._key, value, None, self._lease_id)
        if isinstance(stored, Stored):
            return True
        self._lease_id = None  # the lease may have expired
        return False


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
