"""Logs: one line of key=value pairs on stdout for each event, limited in rate by event name."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable, Mapping, MutableMapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TextIO, cast

import structlog

LINES_PER_SECOND = 5.0
BURST_LINES = 20.0
MAX_EVENT_NAMES = 256
# A traceback of a library quotes whole messages; one of them took 3 KB in a line.
MAX_VALUE_CHARACTERS = 4096
OTHER_EVENTS = "other"

LEVEL_BY_NAME: Mapping[str, int] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class EventName(StrEnum):
    """Stable names of the events in the log lines and in the event log of a node."""

    NODE_STARTED = "node_started"
    NODE_READY = "node_ready"
    NODE_DRAINING = "node_draining"
    NODE_STOPPED = "node_stopped"
    NODE_TASK_FAILED = "node_task_failed"
    JOIN_FAILED = "join_failed"
    JOINED = "joined"
    MEMBERSHIP_FOUNDED = "membership_founded"
    SEED_MALFORMED = "seed_malformed"
    OWN_STAMP_RAISED = "own_stamp_raised"
    GOSSIP_TASK_FAILED = "gossip_task_failed"
    CONTROL_REQUEST_FAILED = "control_request_failed"
    READER_STARTED = "reader_started"
    READER_STOPPED = "reader_stopped"
    READER_FAILED = "reader_failed"
    READ_FAILED = "read_failed"
    STORE_BEHIND = "store_behind"
    STORE_WENT_BACK = "store_went_back"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_AVAILABLE = "store_available"
    VERSION_IN_FORCE = "version_in_force"
    VERSION_REFUSED = "version_refused"
    VERSION_NOT_REPLICATED = "version_not_replicated"
    CHANGE_ACCEPTED = "change_accepted"
    CHANGE_UNDECIDED = "change_undecided"
    PRUNE_FAILED = "prune_failed"
    NODE_ACCUSED = "node_accused"
    NODE_UNREACHABLE = "node_unreachable"
    NODE_REACHABLE = "node_reachable"
    ACCUSATION_REFUTED = "accusation_refuted"
    TARGET_ANNOUNCED = "target_announced"
    TARGET_CHANGED = "target_changed"
    TARGET_GONE = "target_gone"
    TARGET_REPLACED = "target_replaced"
    TARGET_DOWN = "target_down"
    TARGET_UP = "target_up"
    TARGET_EJECTED = "target_ejected"
    TARGET_RECOVERED = "target_recovered"
    CONNECTIONS_CLOSED = "connections_closed"
    SILENT_PEER = "silent_peer"
    CONNECT_FAILED = "connect_failed"
    CROSSED_RESPONSE = "crossed_response"
    UNSOLICITED_RESPONSE = "unsolicited_response"
    BAD_RESPONSE = "bad_response"
    INPUT_REFUSED = "input_refused"
    CALL_FAILED = "call_failed"
    SPILL_STARTED = "spill_started"
    SPILL_ENDED = "spill_ended"
    ANNOUNCEMENT_REFUSED = "announcement_refused"
    ANNOUNCEMENT_LATE = "announcement_late"
    DEPARTURE_KEPT = "departure_kept"
    DEPARTURE_NOT_KEPT = "departure_not_kept"
    DEPARTURES_ADOPTED = "departures_adopted"
    SETTINGS_RELOADED = "settings_reloaded"
    SETTINGS_SIGNALLED = "settings_signalled"
    SETTINGS_REFUSED = "settings_refused"
    ATTEMPT_FAILED = "attempt_failed"
    EXECUTION_FAILED = "execution_failed"
    ANNOUNCEMENT_TIMER_LATE = "announcement_timer_late"
    ADMIN_REQUEST_FAILED = "admin_request_failed"
    INVARIANT_VIOLATED = "invariant_violated"
    LIBRARY_MESSAGE = "library_message"
    LINES_LEFT_OUT = "log_lines_left_out"


# Events that tell what a node did by itself, for `jaypost events`.
DECISIONS = frozenset(
    {
        EventName.NODE_STARTED,
        EventName.NODE_READY,
        EventName.NODE_DRAINING,
        EventName.JOIN_FAILED,
        EventName.JOINED,
        EventName.MEMBERSHIP_FOUNDED,
        EventName.OWN_STAMP_RAISED,
        EventName.READER_STARTED,
        EventName.READER_STOPPED,
        EventName.READER_FAILED,
        EventName.STORE_BEHIND,
        EventName.STORE_WENT_BACK,
        EventName.STORE_UNAVAILABLE,
        EventName.STORE_AVAILABLE,
        EventName.VERSION_IN_FORCE,
        EventName.VERSION_REFUSED,
        EventName.VERSION_NOT_REPLICATED,
        EventName.NODE_ACCUSED,
        EventName.NODE_UNREACHABLE,
        EventName.NODE_REACHABLE,
        EventName.ACCUSATION_REFUTED,
        EventName.TARGET_EJECTED,
        EventName.TARGET_RECOVERED,
        EventName.CONNECTIONS_CLOSED,
        EventName.SILENT_PEER,
        EventName.SPILL_STARTED,
        EventName.SPILL_ENDED,
        EventName.INVARIANT_VIOLATED,
    }
)
# Marks a line whose event is already in the event log of the node.
KEPT_MARK = "kept_mark"


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float
    left_out: int = 0


class RateLimiter:
    """Processor that limits the lines of each event name and counts the lines it leaves out.

    The next line of the event carries the count as `left_out`. `take_left_out` returns the
    counts that no line has carried yet.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._bucket_by_event: dict[str, _Bucket] = {}

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass `event` on, or raise `structlog.DropEvent` when its rate is exceeded."""
        if event.get("event") == EventName.LINES_LEFT_OUT:
            return event
        bucket = self._filled_bucket(str(event.get("event", "")))
        if bucket.tokens < 1.0:
            bucket.left_out += 1
            raise structlog.DropEvent
        bucket.tokens -= 1.0
        if bucket.left_out:
            event["left_out"] = bucket.left_out
            bucket.left_out = 0
        return event

    def take_left_out(self) -> Mapping[str, int]:
        """Return the lines left out by event name and set the counts to zero."""
        counts = {name: b.left_out for name, b in self._bucket_by_event.items() if b.left_out}
        for name in counts:
            self._bucket_by_event[name].left_out = 0
        return counts

    def _filled_bucket(self, name: str) -> _Bucket:
        now = self._clock()
        if name not in self._bucket_by_event and len(self._bucket_by_event) >= MAX_EVENT_NAMES:
            name = OTHER_EVENTS
        bucket = self._bucket_by_event.setdefault(name, _Bucket(BURST_LINES, now))
        elapsed = max(0.0, now - bucket.filled_at)
        bucket.tokens = min(BURST_LINES, bucket.tokens + elapsed * LINES_PER_SECOND)
        bucket.filled_at = now
        return bucket


class _Observation:
    """Processor that passes decisions of the node to an observer."""

    def __init__(self, observer: Callable[[EventName, Mapping[str, Any]], object] | None) -> None:
        self._observer = observer

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        kept = event.pop(KEPT_MARK, False)
        name = event.get("event")
        if self._observer is not None and not kept and name in DECISIONS:
            values = {key: value for key, value in event.items() if key != "event"}
            self._observer(EventName(str(name)), values)
        return event


class _LevelFilter:
    """Processor that drops events below the level; it runs after the observation."""

    def __init__(self, lowest: int) -> None:
        self._lowest = lowest

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        if LEVEL_BY_NAME.get(method, logging.ERROR) < self._lowest:
            raise structlog.DropEvent
        return event


class UnblockedOutput:
    """Standard output that drops lines while its reader does not take them.

    Attributes
    ----------
    dropped : int
        Lines dropped so far.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        data = text.encode("utf-8", "backslashreplace")
        try:
            written = os.write(self._descriptor, data)
        except OSError:  # the pipe is full, or its reader is gone
            written = 0
        if written < len(data):
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: every line is written at once."""


class LibraryHandler(logging.Handler):
    """Passes messages that libraries log by the standard module on as `library_message`."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log `record` in the format of this module."""
        log = structlog.get_logger(__name__)
        log.log(
            record.levelno,
            EventName.LIBRARY_MESSAGE,
            logger=record.name,
            message=record.getMessage(),
            exc_info=record.exc_info or None,
        )


_limiter = RateLimiter()


def setup(
    level: str,
    stream: TextIO | None = None,
    limiter: RateLimiter | None = None,
    observer: Callable[[EventName, Mapping[str, Any]], object] | None = None,
) -> None:
    """Configure structlog and the standard logging module.

    Parameters
    ----------
    level : str
        Lowest level logged: debug, info, warning or error.
    stream : TextIO, optional
        Where lines are written; by default stdout, without ever waiting for its reader.
    limiter : RateLimiter, optional
        Rate limiter to use in place of a new one.
    observer : callable, optional
        Receives name and values of each event in `DECISIONS`, also of those that are not written
        because of the level or the rate.
    """
    global _limiter
    _limiter = limiter or RateLimiter()
    lowest = LEVEL_BY_NAME[level]
    structlog.configure(
        processors=[
            _Observation(observer),
            _LevelFilter(lowest),
            _limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            _printable_values,
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event"], drop_missing=True, bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(min(lowest, logging.INFO)),
        logger_factory=structlog.WriteLoggerFactory(stream or cast(TextIO, UnblockedOutput())),
        cache_logger_on_first_use=False,
    )
    logging.basicConfig(level=max(lowest, logging.WARNING), handlers=[LibraryHandler()], force=True)


def flush_left_out() -> None:
    """Log how many lines were left out since the last line of each event.

    Called at intervals and before the process ends, so that no count is lost when the event
    does not occur again.
    """
    log = structlog.get_logger(__name__)
    for name, count in _limiter.take_left_out().items():
        log.warning(EventName.LINES_LEFT_OUT, name=name, left_out=count)


def _printable_values(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Replace control characters, so that no value can start a line of its own."""
    return {key: _without_control_characters(value) for key, value in event.items()}


def _without_control_characters(value: object) -> object:
    if value is None or isinstance(value, bool | int | float):
        return value
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = f"{text[:MAX_VALUE_CHARACTERS]}...({len(text)} characters)"
    # The renderer escapes line feeds; it leaves other control characters as they are.
    return printable(text, kept="\n")


def printable(text: str, kept: str = "") -> str:
    """Replace control characters other than those in `kept` by their code, as in ``<1b>``."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() or c in kept else f"<{ord(c):02x}>" for c in text)
