"""Calls of the key-value store and their outcomes.

Every call returns a tagged outcome. An outage is an outcome, never an exception.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class Effect(StrEnum):
    """What is known about the effect of a failed call on the store."""

    NONE = "none"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Found:
    """The value of a key and the revision of its last write."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Missing:
    """The key does not exist."""

    revision: int = 0


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The key did not change in the time of the watch.

    `revision` is below the watched one only when the store has lost writes.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key is at `revision`, not at the expected one; the write had no effect."""

    revision: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The call failed; `effect` is `unknown` when a write may have taken effect."""

    reason: str
    effect: Effect


@dataclass(frozen=True, slots=True)
class StoreCallEnded:
    """One call of the store; `status` is 0 when no answer came."""

    operation: str
    status: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key in a listing."""

    key: str
    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Listed:
    """All keys that start with a prefix."""

    entries: tuple[StoreEntry, ...]


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease that deletes its keys unless it is renewed."""

    lease_id: str


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """The lease was renewed."""


@dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """The lease no longer exists; its keys are deleted."""


GetOutcome = Found | Missing | StoreFailed
WatchOutcome = Found | Missing | Unchanged | StoreFailed
PutOutcome = Stored | Conflict | StoreFailed
DeleteOutcome = Stored | Missing | Conflict | StoreFailed
ListOutcome = Listed | StoreFailed
GrantOutcome = LeaseGranted | StoreFailed
RenewOutcome = LeaseHeld | LeaseLapsed | StoreFailed


class Store(Protocol):
    """The calls of the store that the table needs."""

    async def get(self, key: str) -> GetOutcome:
        """Read a key."""
        ...

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key if it is at `if_revision`."""
        ...

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key if it is at `if_revision`."""
        ...

    async def watch(self, key: str, after_revision: int, wait_s: float) -> WatchOutcome:
        """Wait until a key is above `after_revision`."""
        ...
