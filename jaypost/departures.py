"""Keeps the departures of the host's targets where they outlive this process.

A target that was told that its leaving is known must get no new work from then on, also after a
restart of its node. Its departure therefore lies in the store or at another node before it is
acknowledged.
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
# A target leaves within seconds of its announcement; its late announcements end with it.
DEPARTURE_LEASE_S = 600.0
# A target waits 1 s for the answer to its announcement.
KEEP_TIMEOUT_S = 0.8

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
        Copies the own record, which shows the departures, to other nodes and tells whether one
        has acknowledged it.
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
        """Return the departures in the store, or None when it is not available."""
        found = await self._store.get(self._key)
        if isinstance(found, Missing):
            return ()
        if not isinstance(found, Found):
            return None
        try:
            departures = _decoder.decode(found.value)
        except msgspec.DecodeError as error:
            log.error(EventName.DEPARTURE_NOT_KEPT, key=self._key, reason=str(error))
            return ()
        self._kept = frozenset(departures)
        return departures

    async def keep(self, departures: tuple[Departure, ...]) -> bool:
        """Keep departures in the store or at another node; tell whether one has them.

        Both are tried at the same time, because either may be out of reach.
        """
        wanted = frozenset(departures)
        if wanted <= self._kept:
            return True
        tasks = {
            asyncio.create_task(self._write(departures), name="store"),
            asyncio.create_task(self._copy(), name="peers"),
        }
        kept_by = await _first_true(tasks, KEEP_TIMEOUT_S)
        if kept_by is None:
            log.warning(EventName.DEPARTURE_NOT_KEPT, departures=len(departures))
            return False
        self._kept |= wanted
        log.info(EventName.DEPARTURE_KEPT, by=kept_by, departures=len(departures))
        return True

    async def _copy(self) -> bool:
        return await self._replicate()

    async def _write(self, departures: tuple[Departure, ...]) -> bool:
        if self._lease_id is None:
            granted = await self._store.grant_lease(DEPARTURE_LEASE_S)
            if not isinstance(granted, LeaseGranted):
                return False
            self._lease_id = granted.lease_id
        value = msgspec.json.encode(departures)
        stored = await self._store.put(self._key, value, None, self._lease_id)
        if isinstance(stored, Stored):
            return True
        self._lease_id = None  # it may have ended
        return False


async def _first_true(tasks: set[asyncio.Task[bool]], timeout_s: float) -> str | None:
    """Return the name of the first task that returns True; the others go on in the background."""
    pending = tasks
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while pending:
        left_s = max(0.0, deadline - loop.time())
        done, pending = await asyncio.wait(
            pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if not task.cancelled() and task.exception() is None and task.result():
                return task.get_name()
        if not done:
            return None
    return None
