"""At-most-once claims of idempotency keys in the store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request owns the key and may be dispatched."""

    key: str


@dataclass(frozen=True, slots=True)
class Duplicate:
    """Another request owns the key; `status` is 0 while its result is not recorded."""

    request_id: str
    status: int


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The key could not be claimed, so the request must not be dispatched."""

    reason: str


ClaimOutcome = Claimed | Duplicate | ClaimUnavailable
