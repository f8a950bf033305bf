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
from jaypost.events import EventLog, wall_clock_ms
from jaypost.logs import EventName
from jaypost.records import LOOPBACK, Address, Target, TargetState
from jaypost.settings import Settings, parse_address
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


# A target that missed this many announcements is gone.
MISSED_ANNOUNCEMENTS = 3
# Departures of withdrawn targets that the own record carries, newest last.
KEPT_DEPARTURES = 8


class AnnouncementBody(msgspec.Struct, frozen=True):
    """JSON body of ``PUT /targets/ID``; fields that are not listed here are ignored.

    Parameters
    ----------
    service : str
        Service of the target.
    slots : int
        Requests that the target executes at the same time.
    state : TargetState
        State of the target.
    port : int
        Port on the loopback address of the host.
    address : str
        Address on the host, ``IP:PORT``, in place of `port`.
    born : int
        Start time of the target in milliseconds since 1970; 0 when it does not tell.
    sequence : int
        Number of the announcement since that start, by which a late one is recognised.
    """

    service: str
    slots: int
    state: TargetState
    port: int = 0
    address: str = ""
    born: int = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class Announcement:
    """A checked announcement; the incarnation of its target and `sequence` give its order."""

    target: Target
    sequence: int


@dataclass(frozen=True, slots=True)
class Departure:
    """A start of a target that drains or is gone; no later announcement takes that back.

    `incarnation` is the start time of the target in milliseconds since 1970.
    """

    target_id: str
    incarnation: int


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
class Adopt:
    """Departures that this node acknowledged before it was restarted."""

    departures: tuple[Departure, ...]


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


Message = Announce | Withdraw | Adopt | DrainAll | Tick
Reply = TargetAccepted | TargetsListed | AnnouncementRefused


@dataclass(frozen=True, slots=True)
class _Entry:
    target: Target
    heard_at: float
    sequence: int = 0


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
        self.use(settings)
        self._incarnation_by_departed_id: dict[str, int] = {}
        self._withdrawn: tuple[Target, ...] = ()
        self._on_targets = on_targets
        # Called with the id of a target each time it shows that it is alive.
        self.on_alive: Callable[[str], None] = lambda target_id: None
        self._events = events
        self._entry_by_id: dict[str, _Entry] = {}
        self._published: tuple[Target, ...] = ()
        self._draining = False
        self._ticked_at: float | None = None
        self._timer: asyncio.Task[None] | None = None

    def use(self, settings: Settings) -> None:
        """Take settings into use."""
        self._timeout_s = min(
            settings.announcement_timeout_s,
            MISSED_ANNOUNCEMENTS * settings.announcement_interval_ms / 1000,
        )
        self._own_host = settings.listen_caller.host
        self._own_service = settings.service

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
        announced = parse_announcement(message.target_id, message.body, self._own_host)
        if isinstance(announced, AnnouncementRefused):
            return self._refuse(message.target_id, announced)
        target = announced.target
        if self._own_service and (target.service != self._own_service or not target.incarnation):
            reason = f"targets of this host belong to {self._own_service!r} and tell their start"
            foreign = AnnouncementRefused(ErrorKind.BAD_REQUEST, reason)
            return self._refuse(message.target_id, foreign)
        if self._is_late(announced):
            log.info(
                EventName.ANNOUNCEMENT_LATE,
                target_id=target.target_id,
                incarnation=target.incarnation,
                sequence=announced.sequence,
            )
            return TargetAccepted(replace(target, state=TargetState.DRAINING))
        refusal = self._make_room(target, message.now)
        if refusal is not None:
            return self._refuse(message.target_id, refusal)
        if target.state is TargetState.DRAINING:
            self._depart(target.target_id, target.incarnation)
        target = self._effective(target)
        previous = self._entry_by_id.get(target.target_id)
        self._entry_by_id[target.target_id] = _Entry(target, message.now, announced.sequence)
        if previous is None:
            self._record(EventName.TARGET_ANNOUNCED, target)
        elif previous.target != target:
            self._record(EventName.TARGET_CHANGED, target)
        self._publish()
        self.on_alive(target.target_id)
        return TargetAccepted(target)

    @handle.register
    def _withdraw(self, message: Withdraw) -> Reply:
        entry = self._entry_by_id.pop(message.target_id, None)
        if entry is None:
            # The answer to an earlier withdrawal was lost, or this node was restarted since. What
            # started before now has left; its late announcements must not bring it back.
            self._depart(message.target_id, wall_clock_ms())
            return TargetsListed(self._published)
        self._depart(message.target_id, entry.target.incarnation)
        if entry.target.incarnation:
            gone = replace(entry.target, state=TargetState.GONE)
            self._withdrawn = (*self._withdrawn, gone)[-KEPT_DEPARTURES:]
        self._record(EventName.TARGET_GONE, entry.target, reason="withdrawn")
        self._publish()
        return TargetsListed(self._published)

    @handle.register
    def _adopt(self, message: Adopt) -> Reply:
        for departure in message.departures:
            self._depart(departure.target_id, departure.incarnation)
        for target_id, entry in self._entry_by_id.items():
            self._entry_by_id[target_id] = replace(entry, target=self._effective(entry.target))
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

    @property
    def departures(self) -> tuple[Departure, ...]:
        """Departures that this node has acknowledged or adopted."""
        return tuple(
            Departure(target_id, incarnation)
            for target_id, incarnation in self._incarnation_by_departed_id.items()
        )

    def _depart(self, target_id: str, incarnation: int) -> None:
        if not incarnation:
            return  # a target that tells no start time may announce itself as ready again
        known = self._incarnation_by_departed_id.pop(target_id, 0)
        self._incarnation_by_departed_id[target_id] = max(known, incarnation)
        while len(self._incarnation_by_departed_id) > MAX_TARGETS:
            del self._incarnation_by_departed_id[next(iter(self._incarnation_by_departed_id))]

    def _has_departed(self, target: Target) -> bool:
        departed = self._incarnation_by_departed_id.get(target.target_id, 0)
        return 0 < target.incarnation <= departed

    def _is_late(self, announced: Announcement) -> bool:
        """Tell whether an announcement is older than what is known."""
        target = announced.target
        if not target.incarnation:
            return False
        entry = self._entry_by_id.get(target.target_id)
        if entry is None:
            # An entry of a target that drains lives on with its renewals; a new one is late.
            if self._has_departed(target) and target.state is not TargetState.DRAINING:
                return True
        elif target.incarnation != entry.target.incarnation:
            return target.incarnation < entry.target.incarnation
        elif announced.sequence and announced.sequence <= entry.sequence:
            return True
        return any(
            other.target.port == target.port and other.target.incarnation > target.incarnation
            for other in self._entry_by_id.values()
        )

    def _make_room(self, target: Target, now: float) -> AnnouncementRefused | None:
        for other in list(self._entry_by_id.values()):
            if other.target.target_id == target.target_id or other.target.port != target.port:
                continue
            succeeds = target.incarnation > other.target.incarnation > 0
            if not succeeds and now - other.heard_at < self._timeout_s * PORT_TAKEOVER_FRACTION:
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
        leaves = self._draining or self._has_departed(target)
        return replace(target, state=TargetState.DRAINING) if leaves else target

    def _publish(self) -> None:
        present = tuple(self._entry_by_id[key].target for key in sorted(self._entry_by_id))
        targets = present + self._withdrawn
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


def parse_announcement(
    target_id: str, body: bytes, own_host: str = LOOPBACK
) -> Announcement | AnnouncementRefused:
    """Check the identifier and the JSON body of an announcement.

    Parameters
    ----------
    target_id : str
        Identifier of the target.
    body : bytes
        JSON body.
    own_host : str
        Address of this host, where its targets may listen besides loopback.
    """
    try:
        parsed = msgspec.json.decode(body, type=AnnouncementBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return AnnouncementRefused(ErrorKind.BAD_REQUEST, str(error))
    address = Address(LOOPBACK, parsed.port)
    if parsed.address:
        try:
            address = parse_address(parsed.address)
        except ValueError as error:
            return AnnouncementRefused(ErrorKind.BAD_REQUEST, f"address {error}")
    problem = _problem(target_id, parsed, address, own_host)
    if problem is not None:
        return AnnouncementRefused(ErrorKind.BAD_REQUEST, problem)
    target = Target(
        target_id,
        parsed.service,
        address.port,
        parsed.slots,
        parsed.state,
        parsed.born,
        address.host,
    )
    return Announcement(target, parsed.sequence)


def _problem(target_id: str, body: AnnouncementBody, address: Address, own_host: str) -> str | None:
    name_rule = f"must be 1 to {MAX_NAME_CHARACTERS} letters, digits, '-', '_' or '.'"
    if not _is_name(target_id):
        return f"target id {name_rule}"
    if not SERVICE_PATTERN.fullmatch(body.service):
        return "service must be 1 to 64 lower-case letters, digits, '-', '_' or '.'"
    if address.host not in (LOOPBACK, own_host):
        return f"address must be on this host, {own_host}"
    if not 1 <= address.port <= 65_535:
        return "port must be between 1 and 65535"
    if body.born < 0 or body.sequence < 0:
        return "born and sequence must not be negative"
    if not 1 <= body.slots <= MAX_SLOTS:
        return f"slots must be between 1 and {MAX_SLOTS}"
    if body.state not in ANNOUNCED_STATES:
        return "state must be starting, ready or draining; DELETE reports a target that is gone"
    return None


def _is_name(text: str) -> bool:
    allowed = all(c.isascii() and (c.isalnum() or c in "-_.") for c in text)
    return 1 <= len(text) <= MAX_NAME_CHARACTERS and allowed
