"""Logging in logfmt on stdout: one line for each event, rate-limited by event name."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable, Mapping, MutableMapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TextIO, cast

import structlog

# Rate limit of each event name.
MAX_LINES_PER_S = 5.0
MAX_BURST_LINES = 20.0
# Number of event names with their own rate limit; further names share `OVERFLOW_EVENT_NAME`.
MAX_EVENT_NAMES = 256
# Longer values are truncated: tracebacks of libraries quote whole messages, some of 3 KB.
MAX_VALUE_CHARACTERS = 4096
OVERFLOW_EVENT_NAME = "other"

LEVEL_BY_NAME: Mapping[str, int] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class EventName(StrEnum):
    """Stable names of the events in the log lines and in the event log of the node."""

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
    STORE_ERA_CHANGED = "store_era_changed"
    CLAIMS_RESTORED = "claims_restored"
    STORE_READING_CHANGED = "store_reading_changed"
    ISOLATION_CHANGED = "isolation_changed"
    VERSION_READ = "version_read"
    VERSION_RECEIVED = "version_received"
    VERSION_IN_FORCE = "version_in_force"
    VERSION_REFUSED = "version_refused"
    VERSION_NOT_REPLICATED = "version_not_replicated"
    VERSION_BEHIND = "version_behind"
    VERSION_CAUGHT_UP = "version_caught_up"
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
    TARGET_RATE_CHANGED = "target_rate_changed"
    TARGET_EJECTED = "target_ejected"
    TARGET_RECOVERED = "target_recovered"
    CONNECTIONS_CLOSED = "connections_closed"
    SILENT_PEER = "silent_peer"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LIMIT = "connection_limit"
    HANGUP_NOTICED = "hangup_noticed"
    CROSSED_RESPONSE = "crossed_response"
    UNSOLICITED_RESPONSE = "unsolicited_response"
    BAD_RESPONSE = "bad_response"
    INPUT_REFUSED = "input_refused"
    INPUT_FAILED = "input_failed"
    REQUESTS_CUT = "requests_cut"
    CALL_FAILED = "call_failed"
    SPILL_STARTED = "spill_started"
    SPILL_ENDED = "spill_ended"
    ANNOUNCEMENT_REFUSED = "announcement_refused"
    ANNOUNCEMENT_LATE = "announcement_late"
    WITHDRAWAL_LATE = "withdrawal_late"
    DEPARTURE_KEPT = "departure_kept"
    DEPARTURE_NOT_KEPT = "departure_not_kept"
    DEPARTURES_ADOPTED = "departures_adopted"
    SETTINGS_RELOADED = "settings_reloaded"
    SETTINGS_SIGNALLED = "settings_signalled"
    SETTINGS_REFUSED = "settings_refused"
    DIVIDER_CHANGED = "divider_changed"
    ALLOTMENT_FAILED = "allotment_failed"
    ROLLOUT_STEP = "rollout_step"
    ROLLOUT_DECIDED = "rollout_decided"
    ROLLOUT_NOT_WRITTEN = "rollout_not_written"
    ROLLOUT_ORDER_REFUSED = "rollout_order_refused"
    ROLLOUT_FAILED = "rollout_failed"
    ATTEMPT_FAILED = "attempt_failed"
    EXECUTION_FAILED = "execution_failed"
    ANNOUNCEMENT_TIMER_LATE = "announcement_timer_late"
    ADMIN_REQUEST_FAILED = "admin_request_failed"
    INVARIANT_VIOLATED = "invariant_violated"
    LIBRARY_MESSAGE = "library_message"
    LINES_LEFT_OUT = "log_lines_left_out"


# Log events that `setup` also passes to its observer, so that `jaypost events` shows them: what the
# node decided and what it observed of other nodes, the store and targets.
OBSERVED_EVENTS = frozenset(
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
        EventName.VERSION_BEHIND,
        EventName.VERSION_CAUGHT_UP,
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
# Key that marks the lines of `EventLog.record`, whose events the observer must not keep a second
# time; removed before output.
KEPT_MARK = "kept_mark"


@dataclass(slots=True)
class _EventBucket:
    """Token bucket of one event name; `left_out` counts dropped lines not yet reported."""

    tokens: float
    refilled_at: float
    left_out: int = 0


class RateLimiter:
    """structlog processor that limits the lines of each event name and counts dropped lines.

    The next line of the same event reports the count as `left_out`. `take_left_out_counts`
    returns the counts that have not been reported this way.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._bucket_by_event: dict[str, _EventBucket] = {}

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return `event`, or raise `structlog.DropEvent` if its rate limit is exceeded."""
        if event.get("event") == EventName.LINES_LEFT_OUT:
            return event
        bucket = self._refilled_bucket(str(event.get("event", "")))
        if bucket.tokens < 1.0:
            bucket.left_out += 1
            raise structlog.DropEvent
        bucket.tokens -= 1.0
        if bucket.left_out:
            event["left_out"] = bucket.left_out
            bucket.left_out = 0
        return event

    def take_left_out_counts(self) -> Mapping[str, int]:
        """Return the unreported counts of dropped lines by event name, and reset them."""
        counts = {name: b.left_out for name, b in self._bucket_by_event.items() if b.left_out}
        for name in counts:
            self._bucket_by_event[name].left_out = 0
        return counts

    def _refilled_bucket(self, name: str) -> _EventBucket:
        now = self._clock()
        if name not in self._bucket_by_event and len(self._bucket_by_event) >= MAX_EVENT_NAMES:
            name = OVERFLOW_EVENT_NAME
        bucket = self._bucket_by_event.setdefault(name, _EventBucket(MAX_BURST_LINES, now))
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.tokens = min(MAX_BURST_LINES, bucket.tokens + elapsed * MAX_LINES_PER_S)
        bucket.refilled_at = now
        return bucket


class _ObserverNotifier:
    """structlog processor that passes the events in `OBSERVED_EVENTS` to an observer."""

    def __init__(self, observer: Callable[[EventName, Mapping[str, Any]], object] | None) -> None:
        self._observer = observer

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        kept = event.pop(KEPT_MARK, False)
        name = event.get("event")
        if self._observer is not None and not kept and name in OBSERVED_EVENTS:
            values = {key: value for key, value in event.items() if key != "event"}
            self._observer(EventName(str(name)), values)
        return event


class _LevelFilter:
    """structlog processor that drops events below a level, after the observer has seen them."""

    def __init__(self, min_level: int) -> None:
        self._min_level = min_level

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        if LEVEL_BY_NAME.get(method, logging.ERROR) < self._min_level:
            raise structlog.DropEvent
        return event


class NonBlockingOutput:
    """Non-blocking standard output that drops lines when its reader is too slow.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far, in whole or in part.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop what cannot be written without blocking."""
        data = text.encode("utf-8", "backslashreplace")
        try:
            written = os.write(self._descriptor, data)
        except OSError:  # the pipe is full or has no reader
            written = 0
        if written < len(data):
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""


class LibraryHandler(logging.Handler):
    """Forwards records of the standard logging module, used by libraries, as `library_message`."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log `record` through structlog."""
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
        Where lines are written; by default `NonBlockingOutput` on stdout.
    limiter : RateLimiter, optional
        Rate limiter; by default a new one.
    observer : callable, optional
        Receives the name and the values of each event in `OBSERVED_EVENTS`, even if the level or
        the rate limit keeps its line out of the log.
    """
    global _limiter
    _limiter = limiter or RateLimiter()
    min_level = LEVEL_BY_NAME[level]
    structlog.configure(
        processors=[
            _ObserverNotifier(observer),
            _LevelFilter(min_level),
            _limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            _sanitize_values,
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event"], drop_missing=True, bool_as_flag=False
            ),
        ],
        # Info events must reach the observer at every level; `_LevelFilter` drops them later.
        wrapper_class=structlog.make_filtering_bound_logger(min(min_level, logging.INFO)),
        logger_factory=structlog.WriteLoggerFactory(stream or cast(TextIO, NonBlockingOutput())),
        cache_logger_on_first_use=False,
    )
    logging.basicConfig(
        level=max(min_level, logging.WARNING), handlers=[LibraryHandler()], force=True
    )


def log_left_out_counts() -> None:
    """Log the number of dropped lines of each event that no later line has reported.

    Called at intervals and before the process ends, so that no count is lost if an event does
    not occur again.
    """
    log = structlog.get_logger(__name__)
    for name, count in _limiter.take_left_out_counts().items():
        log.warning(EventName.LINES_LEFT_OUT, name=name, left_out=count)


def _sanitize_values(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Truncate values and replace control characters, so that no value can start a new line."""
    return {key: _sanitize_value(value) for key, value in event.items()}


def _sanitize_value(value: object) -> object:
    if value is None or isinstance(value, bool | int | float):
        return value
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = f"{text[:MAX_VALUE_CHARACTERS]}...({len(text)} characters)"
    # LogfmtRenderer escapes line feeds, but no other control characters.
    return printable(text, kept="\n")


def printable(text: str, kept: str = "") -> str:
    """Replace non-printable characters except those in `kept` by their code, such as ``<1b>``."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() or c in kept else f"<{ord(c):02x}>" for c in text)
