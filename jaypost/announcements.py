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
from jaypost.invariants import check
from jaypost.logs import EventName
from jaypost.records import LOOPBACK, Address, Departure, Target, TargetState
from jaypost.settings import Settings, parse_address
from jaypost.table import SERVICE_PATTERN

log = structlog.get_logger(__name__)

MAX_TARGETS = 64  # on one host; also the number of departures kept
MAX_SLOTS = 10_000  # of one target
MAX_NAME_CHARACTERS = 64
# Start of the year 2100. A later start of one odd announcement would make all others late.
MAX_START_MS = 4_102_444_800_000
MAX_SEQUENCE = 2**62  # fits the integers of the control messages
TICK_INTERVAL_S = 0.5
# After this fraction of the timeout without an announcement, another target may take over the port:
# a target announces three times within the timeout, so the owner has missed an announcement. A gap
# between two ticks that is longer than this fraction of the timeout is a pause of this process.
PORT_TAKEOVER_FRACTION = 0.5

ANNOUNCED_STATES = frozenset({TargetState.STARTING, TargetState.READY, TargetState.DRAINING})


# A target that missed this many announcements is removed.
MISSED_ANNOUNCEMENT_LIMIT = 3
# Withdrawn targets that stay in the own record as gone, newest last. A restarted node learns of
# their departures from the copy of its record at another node.
MAX_WITHDRAWN_TARGETS = 8


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
        Start time of the target in milliseconds since 1970; 0 when unknown.
    sequence : int
        Number of the announcement since that start, by which a late announcement is recognised;
        0 when unknown.
    version : str
        Version of the software of the target; empty when unknown.
    """

    service: str
    slots: int
    state: TargetState
    port: int = 0
    address: str = ""
    born: int = 0
    sequence: int = 0
    version: str = ""


@dataclass(frozen=True, slots=True)
class Announcement:
    """A valid announcement; those of a target are ordered by its incarnation, then `sequence`."""

    target: Target
    sequence: int


@dataclass(frozen=True, slots=True)
class Announce:
    """A target announces itself or renews its announcement; `body` is the JSON text it sent."""

    target_id: str
    body: bytes
    now: float


class WithdrawalBody(msgspec.Struct, frozen=True):
    """JSON body of ``DELETE /targets/ID``, which may be empty; `born` as in `AnnouncementBody`."""

    born: int = 0


@dataclass(frozen=True, slots=True)
class Withdraw:
    """A target reports that it is gone; `incarnation` is the start that is, 0 when unknown."""

    target_id: str
    now: float
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class ReportLeaving:
    """A target said in a response that it leaves; `incarnation` is the start that said so."""

    target_id: str
    incarnation: int
    now: float


@dataclass(frozen=True, slots=True)
class AdoptDepartures:
    """Departures that this node acknowledged before it was restarted."""

    departures: tuple[Departure, ...]


@dataclass(frozen=True, slots=True)
class DrainAll:
    """The node leaves: every target is published as draining from now on."""

    now: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: targets whose announcements have stopped are removed."""

    now: float


@dataclass(frozen=True, slots=True)
class TargetAccepted:
    """The announcement was accepted; `target` has the published state.

    A late announcement changes nothing, and the state is draining.
    """

    target: Target


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """The message was applied; `targets` are the published targets after it."""

    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class AnnouncementRefused:
    """The message was refused and changed nothing."""

    kind: ErrorKind
    reason: str


Message = Announce | Withdraw | ReportLeaving | AdoptDepartures | DrainAll | Tick
Reply = TargetAccepted | TargetsListed | AnnouncementRefused


@dataclass(frozen=True, slots=True)
class _Entry:
    target: Target
    last_announced_at: float
    sequence: int = 0


class Announcements:
    """Registry of the targets of the host, maintained from their announcements.

    Parameters
    ----------
    settings : Settings
        A target without an announcement for `announcement_timeout_s`, or for
        `MISSED_ANNOUNCEMENT_LIMIT` intervals if that is shorter, is removed.
    on_targets : callable
        Called with all published targets whenever one of them changes.
    events : EventLog
        Receives an event for each change of a target and for each pause of this process.
    """

    def __init__(
        self,
        settings: Settings,
        on_targets: Callable[[tuple[Target, ...]], None],
        events: EventLog,
    ) -> None:
        self.apply_settings(settings)
        self._incarnation_by_departed_id: dict[str, int] = {}
        # Withdrawn targets that have not started again since, in the order of their withdrawal.
        self._withdrawn_by_id: dict[str, Target] = {}
        self._on_targets = on_targets
        # Called with the id of a target for each of its announcements that is not late or refused.
        self.on_target_alive: Callable[[str], None] = lambda target_id: None
        # Called when a target has departed, before the targets are published.
        self.on_departure: Callable[[], None] = lambda: None
        self._events = events
        self._entry_by_id: dict[str, _Entry] = {}
        self._published: tuple[Target, ...] = ()
        self._draining = False
        self._last_tick_at: float | None = None
        self._timer: asyncio.Task[None] | None = None

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings; the known targets are kept."""
        self._timeout_s = min(
            settings.announcement_timeout_s,
            MISSED_ANNOUNCEMENT_LIMIT * settings.announcement_interval_ms / 1000,
        )
        self._own_host = settings.listen_caller.host
        self._own_service = settings.service
        self._publishes_versions = settings.exposure_share > 0.0

    @property
    def targets(self) -> tuple[Target, ...]:
        """Published targets: present ones ordered by id, then withdrawn ones."""
        return self._published

    @property
    def draining(self) -> bool:
        """Whether the node drains all of its targets."""
        return self._draining

    def start(self) -> None:
        """Start the timer that removes targets whose announcements have stopped."""
        if self._timer is None:
            self._timer = asyncio.create_task(self._run_timer())

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
        if not self._publishes_versions:
            target = replace(target, version="")
        if self._own_service and (target.service != self._own_service or not target.incarnation):
            reason = f"targets of this host belong to {self._own_service!r} and tell their start"
            mismatch = AnnouncementRefused(ErrorKind.BAD_REQUEST, reason)
            return self._refuse(message.target_id, mismatch)
        if self._is_late(announced):
            log.info(
                EventName.ANNOUNCEMENT_LATE,
                target_id=target.target_id,
                incarnation=target.incarnation,
                sequence=announced.sequence,
            )
            return TargetAccepted(replace(target, state=TargetState.DRAINING))
        refusal = self._take_over_port(target, message.now)
        if refusal is not None:
            return self._refuse(message.target_id, refusal)
        if target.state is TargetState.DRAINING:
            self._add_departure(target.target_id, target.incarnation)
        target = self._as_published(target)
        self._withdrawn_by_id.pop(target.target_id, None)
        previous = self._entry_by_id.get(target.target_id)
        self._entry_by_id[target.target_id] = _Entry(target, message.now, announced.sequence)
        if previous is None:
            self._record(EventName.TARGET_ANNOUNCED, target)
        elif previous.target != target:
            self._record(EventName.TARGET_CHANGED, target)
        self._publish()
        self.on_target_alive(target.target_id)
        return TargetAccepted(target)

    @handle.register
    def _withdraw(self, message: Withdraw) -> Reply:
        entry = self._entry_by_id.get(message.target_id)
        if entry is not None and 0 < message.incarnation < entry.target.incarnation:
            log.info(
                EventName.WITHDRAWAL_LATE,
                target_id=message.target_id,
                incarnation=message.incarnation,
            )
            return TargetsListed(self._published)
        if entry is None:
            # The reply to an earlier withdrawal was lost, or this node has been restarted since.
            # Late announcements of a target that started before now must not bring it back.
            self._add_departure(message.target_id, message.incarnation or wall_clock_ms())
            return TargetsListed(self._published)
        del self._entry_by_id[message.target_id]
        self._add_departure(message.target_id, max(message.incarnation, entry.target.incarnation))
        if entry.target.incarnation:
            self._add_withdrawn(replace(entry.target, state=TargetState.GONE))
        self._record(EventName.TARGET_GONE, entry.target, reason="withdrawn")
        self._publish()
        return TargetsListed(self._published)

    @handle.register
    def _leaving(self, message: ReportLeaving) -> Reply:
        entry = self._entry_by_id.get(message.target_id)
        if (
            entry is not None
            and entry.target.incarnation <= message.incarnation
            and entry.target.state is not TargetState.DRAINING
        ):
            target = replace(entry.target, state=TargetState.DRAINING)
            self._add_departure(target.target_id, target.incarnation)
            self._entry_by_id[message.target_id] = replace(entry, target=target)
            self._record(EventName.TARGET_CHANGED, target, reason="response")
            self._publish()
        return TargetsListed(self._published)

    @handle.register
    def _adopt(self, message: AdoptDepartures) -> Reply:
        for departure in message.departures:
            self._add_departure(departure.target_id, departure.incarnation)
        for target_id, entry in self._entry_by_id.items():
            self._entry_by_id[target_id] = replace(entry, target=self._as_published(entry.target))
        self._publish()
        return TargetsListed(self._published)

    @handle.register
    def _drain_all(self, message: DrainAll) -> Reply:
        self._draining = True
        for target_id, entry in self._entry_by_id.items():
            self._entry_by_id[target_id] = replace(entry, target=self._as_published(entry.target))
        self._publish()
        return TargetsListed(self._published)

    @handle.register
    def _tick(self, message: Tick) -> Reply:
        self._exclude_own_pause(message.now)
        silent = [
            entry
            for entry in self._entry_by_id.values()
            if message.now - entry.last_announced_at > self._timeout_s
        ]
        for entry in silent:
            del self._entry_by_id[entry.target.target_id]
            self._record(EventName.TARGET_GONE, entry.target, reason="silent")
        self._publish()
        return TargetsListed(self._published)

    def _exclude_own_pause(self, now: float) -> None:
        """Exclude the time in which this process was paused from the silence of the targets."""
        pause_s = 0.0 if self._last_tick_at is None else now - self._last_tick_at
        self._last_tick_at = now
        if pause_s <= self._timeout_s * PORT_TAKEOVER_FRACTION:
            return
        self._events.record(EventName.ANNOUNCEMENT_TIMER_LATE, pause_s=round(pause_s, 3))
        for target_id, entry in self._entry_by_id.items():
            last_announced_at = min(now, entry.last_announced_at + pause_s)
            self._entry_by_id[target_id] = replace(entry, last_announced_at=last_announced_at)

    @property
    def departures(self) -> tuple[Departure, ...]:
        """Departures that this node has acknowledged or adopted, the newest last."""
        return tuple(
            Departure(target_id, incarnation)
            for target_id, incarnation in self._incarnation_by_departed_id.items()
        )

    def _add_departure(self, target_id: str, incarnation: int) -> None:
        if not incarnation:
            return  # a target without a start time may announce itself as ready again
        if incarnation <= self._incarnation_by_departed_id.get(target_id, 0):
            return
        self._incarnation_by_departed_id.pop(target_id, None)
        self._incarnation_by_departed_id[target_id] = incarnation
        while len(self._incarnation_by_departed_id) > MAX_TARGETS:
            del self._incarnation_by_departed_id[next(iter(self._incarnation_by_departed_id))]
        self.on_departure()

    def _add_withdrawn(self, gone: Target) -> None:
        self._withdrawn_by_id.pop(gone.target_id, None)
        self._withdrawn_by_id[gone.target_id] = gone
        while len(self._withdrawn_by_id) > MAX_WITHDRAWN_TARGETS:
            del self._withdrawn_by_id[next(iter(self._withdrawn_by_id))]

    def _has_departed(self, target: Target) -> bool:
        departed = self._incarnation_by_departed_id.get(target.target_id, 0)
        return 0 < target.incarnation <= departed

    def _is_late(self, announced: Announcement) -> bool:
        """Return whether an announcement is older than what is known of the target or its port."""
        target = announced.target
        if not target.incarnation:
            return False
        entry = self._entry_by_id.get(target.target_id)
        if entry is None:
            withdrawn = self._withdrawn_by_id.get(target.target_id)
            if withdrawn is not None and target.incarnation <= withdrawn.incarnation:
                return True
            # A departed target may still announce that it drains; any other announcement is late.
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

    def _take_over_port(self, target: Target, now: float) -> AnnouncementRefused | None:
        """Remove other targets on the same port, or return why `target` is refused.

        A new target is also refused when the host already has `MAX_TARGETS` targets.
        """
        for other in list(self._entry_by_id.values()):
            if other.target.target_id == target.target_id or other.target.port != target.port:
                continue
            is_later_start = target.incarnation > other.target.incarnation > 0
            if (
                not is_later_start
                and now - other.last_announced_at < self._timeout_s * PORT_TAKEOVER_FRACTION
            ):
                reason = f"port {target.port} belongs to target {other.target.target_id!r}"
                return AnnouncementRefused(ErrorKind.BAD_REQUEST, reason)
            del self._entry_by_id[other.target.target_id]
            self._record(EventName.TARGET_REPLACED, other.target, by=target.target_id)
        if target.target_id not in self._entry_by_id and len(self._entry_by_id) >= MAX_TARGETS:
            return AnnouncementRefused(
                ErrorKind.BAD_REQUEST, f"the host already has {MAX_TARGETS} targets"
            )
        return None

    def _as_published(self, target: Target) -> Target:
        is_leaving = self._draining or self._has_departed(target)
        return replace(target, state=TargetState.DRAINING) if is_leaving else target

    def _publish(self) -> None:
        present = tuple(self._entry_by_id[key].target for key in sorted(self._entry_by_id))
        targets = present + tuple(self._withdrawn_by_id.values())
        ids = {target.target_id for target in targets}
        check(len(ids) == len(targets), "target_published_once", targets=targets)
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

    async def _run_timer(self) -> None:
        while True:
            self.handle(Tick(time.monotonic()))
            await asyncio.sleep(TICK_INTERVAL_S)


def parse_withdrawal(body: bytes) -> int:
    """Return the start time in the JSON body of a withdrawal; 0 if there is none that is valid."""
    try:
        born = msgspec.json.decode(body, type=WithdrawalBody).born
    except (ValueError, RecursionError):
        return 0
    return born if 0 <= born <= MAX_START_MS else 0


def parse_announcement(
    target_id: str, body: bytes, own_host: str = LOOPBACK
) -> Announcement | AnnouncementRefused:
    """Check the identifier and the JSON body of an announcement.

    Parameters
    ----------
    target_id : str
        Identifier of the target.
    body : bytes
        JSON body, see `AnnouncementBody`.
    own_host : str
        IP address of this host; its targets listen on it or on the loopback address.

    Returns
    -------
    Announcement or AnnouncementRefused
        `AnnouncementRefused` with the reason when the identifier or the body is invalid.
    """
    try:
        parsed = msgspec.json.decode(body, type=AnnouncementBody)
    except (ValueError, RecursionError) as error:
        return AnnouncementRefused(ErrorKind.BAD_REQUEST, str(error))
    address = Address(LOOPBACK, parsed.port)
    if parsed.address:
        try:
            address = parse_address(parsed.address)
        except ValueError as error:
            return AnnouncementRefused(ErrorKind.BAD_REQUEST, f"address {error}")
    problem = _find_problem(target_id, parsed, address, own_host)
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
        parsed.version,
    )
    return Announcement(target, parsed.sequence)


def _find_problem(
    target_id: str, body: AnnouncementBody, address: Address, own_host: str
) -> str | None:
    name_rule = f"must be 1 to {MAX_NAME_CHARACTERS} letters, digits, '-', '_' or '.'"
    if not _is_valid_name(target_id):
        return f"target id {name_rule}"
    if not SERVICE_PATTERN.fullmatch(body.service):
        return "service must be 1 to 64 lower-case letters, digits, '-', '_' or '.'"
    if address.host not in (LOOPBACK, own_host):
        return f"address must be on this host, {own_host}"
    if not 1 <= address.port <= 65_535:
        return "port must be between 1 and 65535"
    if not 0 <= body.born <= MAX_START_MS or not 0 <= body.sequence <= MAX_SEQUENCE:
        return f"born and sequence must be between 0 and {MAX_START_MS} and {MAX_SEQUENCE}"
    if len(body.version) > MAX_NAME_CHARACTERS:
        return f"version must have at most {MAX_NAME_CHARACTERS} characters"
    if not 1 <= body.slots <= MAX_SLOTS:
        return f"slots must be between 1 and {MAX_SLOTS}"
    if body.state not in ANNOUNCED_STATES:
        return "state must be starting, ready or draining; DELETE reports a target that is gone"
    return None


def _is_valid_name(text: str) -> bool:
    allowed = all(c.isascii() and (c.isalnum() or c in "-_.") for c in text)
    return 1 <= len(text) <= MAX_NAME_CHARACTERS and allowed
