"""Bounded in-memory log of the events of a node, shown by `jaypost events`."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

import structlog

from jaypost.logs import KEPT_MARK, EventName

log = structlog.get_logger(__name__)

DEFAULT_CAPACITY = 1000
MAX_DETAIL_CHARACTERS = 200

DetailValue = str | int | float | bool | None


@dataclass(frozen=True, slots=True)
class Event:
    """A decision of the node, or a change that it observed.

    Parameters
    ----------
    at_ms : int
        Wall-clock time in milliseconds since 1970.
    name : EventName
        Stable name of the event, as in the log lines.
    details : Mapping of str to str, int, float, bool or None
        Values that describe the event.
    """

    at_ms: int
    name: EventName
    details: Mapping[str, DetailValue]


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000


class EventLog:
    """Ring buffer of the newest events. Each event is also logged.

    Parameters
    ----------
    capacity : int
        Number of events kept; the oldest are dropped first.
    clock_ms : callable
        Returns the wall-clock time in milliseconds since 1970.
    """

    def __init__(
        self,
        capacity: int = DEFAULT_CAPACITY,
        clock_ms: Callable[[], int] = wall_clock_ms,
    ) -> None:
        self._events: deque[Event] = deque(maxlen=capacity)
        self._clock_ms = clock_ms
        self._recorded = 0

    @property
    def dropped(self) -> int:
        """Number of events that are no longer kept."""
        return self._recorded - len(self._events)

    def record(self, name: EventName, **details: object) -> Event:
        """Keep and log one event."""
        event = self.keep(name, details)
        log.info(name, **event.details, **{KEPT_MARK: True})
        return event

    def keep(self, name: EventName, details: Mapping[str, object]) -> Event:
        """Keep one event that is logged elsewhere. Serves as the observer of `logs.setup`."""
        kept = {key: _detail_value(value) for key, value in details.items()}
        event = Event(self._clock_ms(), name, MappingProxyType(kept))
        self._events.append(event)
        self._recorded += 1
        return event

    def newest(self, limit: int, name: str | None = None) -> tuple[Event, ...]:
        """Return up to `limit` events, oldest first, optionally only those called `name`."""
        chosen = [event for event in self._events if name is None or event.name == name]
        return tuple(chosen[-limit:]) if limit > 0 else ()


def _detail_value(value: object) -> DetailValue:
    if value is None or isinstance(value, bool | int | float):
        return value
    return str(value)[:MAX_DETAIL_CHARACTERS]
