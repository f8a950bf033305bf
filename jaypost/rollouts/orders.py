"""Orders and states of roll-outs in the store: keys and encoding."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from jaypost.records import RolloutPhase, RolloutStep
from jaypost.rollouts.decisions import RolloutOrder
from jaypost.store import StoreEntry
from jaypost.table import SERVICE_PATTERN

MAX_VERSION_CHARACTERS = 64
MAX_DURATION_S = 7 * 86_400.0


@dataclass(frozen=True, slots=True)
class RolloutKeys:
    """Prefixes of the keys in the store; the name of the service follows."""

    order_prefix: str = "rollouts/orders/"
    status_prefix: str = "rollouts/status/"


DEFAULT_ROLLOUT_KEYS = RolloutKeys()


class _OrderBody(msgspec.Struct):
    service: str
    target_version: str
    duration_s: float


class _StatusBody(msgspec.Struct):
    """JSON of a state; the fields behind the first two let another node continue."""

    state: RolloutPhase
    target_version: str
    baseline: str = ""
    share: float = 0.0
    order: int = 0
    number: int = 0
    era: int = 0
    elapsed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """A step as written in the store, and the time in seconds since its order at that moment."""

    step: RolloutStep
    elapsed_s: float


_order_decoder = msgspec.json.Decoder(_OrderBody)
_status_decoder = msgspec.json.Decoder(_StatusBody)


def encode_order(order: RolloutOrder) -> bytes:
    """Return the JSON of an order."""
    return msgspec.json.encode(_OrderBody(order.service, order.version, order.duration_s))


def decode_order(entry: StoreEntry, era: int = 0) -> RolloutOrder | None:
    """Return the order in an entry of the store, or None if it is not a valid one."""
    try:
        body = _order_decoder.decode(entry.value)
    except (ValueError, RecursionError):
        return None
    named = entry.key.endswith(f"/{body.service}") and SERVICE_PATTERN.fullmatch(body.service)
    if not named or not 0 < len(body.target_version) <= MAX_VERSION_CHARACTERS:
        return None
    if not 0.0 < body.duration_s <= MAX_DURATION_S:
        return None
    return RolloutOrder(body.service, body.target_version, body.duration_s, entry.revision, era)


def encode_status(status: RolloutStatus) -> bytes:
    """Return the JSON of a step."""
    step = status.step
    return msgspec.json.encode(
        _StatusBody(
            step.phase,
            step.version,
            step.baseline,
            step.share,
            step.order,
            step.number,
            step.era,
            round(status.elapsed_s, 3),
        )
    )


def decode_status(service: str, value: bytes) -> RolloutStatus | None:
    """Return the step of a service in the store, or None if the value is not a valid one."""
    try:
        body = _status_decoder.decode(value)
    except (ValueError, RecursionError):
        return None
    step = RolloutStep(
        service,
        body.target_version,
        body.baseline,
        body.state,
        body.share,
        body.order,
        body.number,
        body.era,
    )
    return RolloutStatus(step, body.elapsed_s)
