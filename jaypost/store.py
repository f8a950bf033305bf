"""Interface of the key-value store: its calls and their outcomes.

Each call returns an instance of one of the outcome classes below. A failure of the store is
returned as `StoreFailed`, never raised.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class Effect(StrEnum):
    """Whether a failed call may have changed the store."""

    NONE = "none"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Found:
    """The value of a key and the revision of its last write."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Missing:
    """The key does not exist; `revision` is that of its deletion, or 0 if it is not known."""

    revision: int = 0


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The key did not change while the watch waited.

    `revision` is lower than the watched revision only if the store has lost writes.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write had no effect, because the key is at `revision`, not at the expected one."""

    revision: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The call failed; `effect` is `Effect.UNKNOWN` if a write may have taken effect."""

    reason: str
    effect: Effect


@dataclass(frozen=True, slots=True)
class StoreCallEnded:
    """Result and duration of a finished store call, for metrics.

    Parameters
    ----------
    operation : str
        Kind of the call: ``watch``, or the HTTP method in lower case.
    status : int
        HTTP status of the response, 0 if there was none.
    duration_s : float
        Duration of the call in seconds.
    """

    operation: str
    status: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key, the revision of its last write and its value, in a listing."""

    key: str
    revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Listed:
    """All keys that start with a prefix."""

    entries: tuple[StoreEntry, ...]


@dataclass(frozen=True, slots=True)
class PrefixRead:
    """All keys that start with a prefix, and the revision from which a watch of it continues."""

    entries: tuple[StoreEntry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A new lease. Keys written with it are deleted when it is revoked or not renewed in time."""

    lease_id: str


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """The lease was renewed."""


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The lease no longer exists, because it expired or was revoked; its keys are deleted."""


GetOutcome = Found | Missing | StoreFailed
WatchOutcome = Found | Missing | Unchanged | StoreFailed
PutOutcome = Stored | Conflict | StoreFailed
DeleteOutcome = Stored | Missing | Conflict | StoreFailed
ListOutcome = Listed | StoreFailed
PrefixOutcome = PrefixRead | Unchanged | StoreFailed
GrantOutcome = LeaseGranted | StoreFailed
RenewOutcome = LeaseHeld | LeaseExpired | StoreFailed


class Store(Protocol):
    """Store calls that are needed to read and change the table."""

    async def get(self, key: str) -> GetOutcome:
        """Read the value of a key."""
        ...

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> PutOutcome:
        """Write a key if its revision is `if_revision`.

        0 requires that the key does not exist; None writes at any revision. The key is deleted
        when the lease `lease_id` ends.
        """
        ...

    async def delete(self, key: str, if_revision: int | None) -> DeleteOutcome:
        """Delete a key if its revision is `if_revision`; None deletes it at any revision."""
        ...

    async def watch(self, key: str, after_revision: int, wait_s: float) -> WatchOutcome:
        """Wait up to `wait_s` seconds until the revision of a key is above `after_revision`."""
        ...
