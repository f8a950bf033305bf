"""Targets of the host: announcement, renewal, drain and expiry."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

import msgspec
import structlog

from jaypost.errors import ErrorKind
from jaypost.events import EventLog
from jaypost.logs import EventName
from jaypost.records import Target, TargetState
from jaypost.settings import Settings
from jaypost.table import SERVICE_PATTERN

log = structlog.get_logger(__name__)

MAX_TARGETS = 64
MAX_SLOTS = 10_000
MAX_NAME_CHARACTERS = 64
TICK_S = 0.5
# A target announces three times within the timeout. Half of the timeout without an announcement
# therefore means that the owner of a port has missed one.
PORT_TAKEOVER_FRACTION = 0.5

ANNOUNCED_STATES = frozenset({TargetState.STARTING, TargetState.READY, TargetState.DRAINING})


class AnnouncementBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of ``PUT /targets/ID``."""

    service: str
    port: int
    slots: int
    state: TargetState


@dataclass(frozen=True, slots=True)
class Announce:
    """A target announces or renews itself; `body` is the JSON text it sent."""

    target_id: str
    body: bytes
    now: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    """A target says that it is gone."""

    target_id: str
    now: float


@dataclass(frozen=True, slots=True)
class DrainAll:
    """The node leaves: every target is published as draining from now on."""

    now: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed: silent targets are removed."""

    now: float


@dataclass(frozen=True, slots=True)
class TargetAccepted:
    """The announcement was taken; `target` holds the state that is published."""

    target: Target


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """The targets after the message."""

    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class AnnouncementRefused:
    """The message changed nothing."""

    kind: ErrorKind
    reason: str


Message = Announce | Withdraw | DrainAll | Tick
Reply = TargetAccepted | TargetsListed | AnnouncementRefused


@dataclass(frozen=True, slots=True)
class _Entry:
    target: Target
    heard_at: float


class Announcements:
    """Owner of the targets of the host.

    Parameters
    ----------
    settings : Settings
        `announcement_timeout_s` is the silence after which a target is removed.
    on_targets : callable
        Called with all targets, ordered by id, whenever one of them changes.
    events : EventLog
        Receives what the node decides by itself.
    """

    def __init__(
        self,
        settings: Settings,
        on_targets: Callable[[tuple[Target, ...]], None],
        events: EventLog,
    ) -> None:
        self._timeout_s = settings.announcement_timeout_s
        self._on_targets = on_targets
        self._events = events
        self._entry_by_id: dict[str, _Entry] = {}
        self._published: tuple[Target, ...] = ()
        self._draining = False
        self._ticked_at: float | None = None
        self._timer: asyncio.Task[None] | None = None

    @property
    def targets(self) -> tuple[Target, ...]:
        """Targets as published, ordered by id."""
        return self._published

    @property
    def draining(self) -> bool:
        """Whether the node drains all of its targets."""
        return self._draining

    def start(self) -> None:
        """Start the timer that removes silent targets."""
        if self._timer is None:
            self._timer = asyncio.create_task(self._tick_forever())

    async def close(self) -> None:
        """Stop the timer; the targets stay as they are."""
        timer, self._timer = self._timer, None
        if timer is None:
            return
        timer.cancel()
        await asyncio.gather(timer, return_exceptions=True)

    @singledispatchmethod
    def handle(self, message: Message) -> Reply:
        """Apply `message` and return the reply to its sender."""
        raise TypeError(f"unknown message {type(message).__name__}")

    @handle.register
    def _announce(self, message: Announce) -> Reply:
        parsed = parse_announcement(message.target_id, message.body)
        if isinstance(parsed, AnnouncementRefused):
            return self._refuse(message.target_id, parsed)
        refusal = self._make_room(parsed, message.now)
        if refusal is not None:
            return self._refuse(message.target_id, refusal)
        target = self._effective(parsed)
        previous = self._entry_by_id.get(target.target_id)
        self._entry_by_id[target.target_id] = _Entry(target, message.now)
        if previous is None:
            self._record(EventName.TARGET_ANNOUNCED, target)
        elif previous.target != target:
            self._record(EventName.TARGET_CHANGED, target)
        self._publish()
        return TargetAccepted(target)

    @handle.register
    def _withdraw(self, message: Withdraw) -> Reply:
        entry = self._entry_by_id.pop(message.target_id, None)
        if entry is None:
            return AnnouncementRefused(ErrorKind.NOT_FOUND, "no such target")
        self._record(EventName.TARGET_GONE, entry.target, reason="withdrawn")
        self._publish()
        return TargetsListed(self._published)

    @handle.register
    def _drain_all(self, message: DrainAll) -> Reply:
        self._draining = True
        for target_id, entry in self._entry_by_id.items():
            self._entry_by_id[target_id] = replace(entry, target=self._effective(entry.target))
        self._publish()
        return TargetsListed(self._published)

    @handle.register
    def _tick(self, message: Tick) -> Reply:
        self._forgive_own_pause(message.now)
        silent = [
            entry
            for entry in self._entry_by_id.values()
            if message.now - entry.heard_at > self._timeout_s
        ]
        for entry in silent:
            del self._entry_by_id[entry.target.target_id]
            self._record(EventName.TARGET_GONE, entry.target, reason="silent")
        self._publish()
        return TargetsListed(self._published)

    def _forgive_own_pause(self, now: float) -> None:
        """Do not count the time in which this process did not run as silence of the targets."""
        pause = 0.0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        if pause <= self._timeout_s * PORT_TAKEOVER_FRACTION:
            return
        self._events.record(EventName.ANNOUNCEMENT_TIMER_LATE, pause_s=round(pause, 3))
        for target_id, entry in self._entry_by_id.items():
            heard_at = min(now, entry.heard_at + pause)
            self._entry_by_id[target_id] = replace(entry, heard_at=heard_at)

    def _make_room(self, target: Target, now: float) -> AnnouncementRefused | None:
        for other in list(self._entry_by_id.values()):
            if other.target.target_id == target.target_id or other.target.port != target.port:
                continue
            if now - other.heard_at < self._timeout_s * PORT_TAKEOVER_FRACTION:
                reason = f"port {target.port} belongs to target {other.target.target_id!r}"
                return AnnouncementRefused(ErrorKind.BAD_REQUEST, reason)
            del self._entry_by_id[other.target.target_id]
            self._record(EventName.TARGET_REPLACED, other.target, by=target.target_id)
        if target.target_id not in self._entry_by_id and len(self._entry_by_id) >= MAX_TARGETS:
            return AnnouncementRefused(
                ErrorKind.BAD_REQUEST, f"the host already has {MAX_TARGETS} targets"
            )
        return None

    def _effective(self, target: Target) -> Target:
        return replace(target, state=TargetState.DRAINING) if self._draining else target

    def _publish(self) -> None:
        targets = tuple(self._entry_by_id[key].target for key in sorted(self._entry_by_id))
        if targets != self._published:
            self._published = targets
            self._on_targets(targets)

    def _refuse(self, target_id: str, refusal: AnnouncementRefused) -> AnnouncementRefused:
        log.warning(
            EventName.ANNOUNCEMENT_REFUSED,
            target_id=target_id[:MAX_NAME_CHARACTERS],
            reason=refusal.reason,
        )
        return refusal

    def _record(self, name: EventName, target: Target, **details: object) -> None:
        self._events.record(
            name,
            target_id=target.target_id,
            service=target.service,
            port=target.port,
            state=target.state,
            **details,
        )

    async def _tick_forever(self) -> None:
        while True:
            self.handle(Tick(time.monotonic()))
            await asyncio.sleep(TICK_S)


def parse_announcement(target_id: str, body: bytes) -> Target | AnnouncementRefused:
    """Check the identifier and the JSON body of an announcement."""
    try:
        parsed = msgspec.json.decode(body, type=AnnouncementBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return AnnouncementRefused(ErrorKind.BAD_REQUEST, str(error))
    problem = _problem(target_id, parsed)
    if problem is not None:
        return AnnouncementRefused(ErrorKind.BAD_REQUEST, problem)
    return Target(target_id, parsed.service, parsed.port, parsed.slots, parsed.state)


def _problem(target_id: str, body: AnnouncementBody) -> str | None:
    name_rule = f"must be 1 to {MAX_NAME_CHARACTERS} letters, digits, '-', '_' or '.'"
    if not _is_name(target_id):
        return f"target id {name_rule}"
    if not SERVICE_PATTERN.fullmatch(body.service):
        return "service must be 1 to 64 lower-case letters, digits, '-', '_' or '.'"
    if not 1 <= body.port <= 65_535:
        return "port must be between 1 and 65535"
    if not 1 <= body.slots <= MAX_SLOTS:
        return f"slots must be between 1 and {MAX_SLOTS}"
    if body.state not in ANNOUNCED_STATES:
        return "state must be starting, ready or draining; DELETE reports a target that is gone"
    return None


def _is_name(text: str) -> bool:
    allowed = all(c.isascii() and (c.isalnum() or c in "-_.") for c in text)
    return 1 <= len(text) <= MAX_NAME_CHARACTERS and allowed
