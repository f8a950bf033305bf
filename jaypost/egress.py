"""Peer-facing side of a node: checks requests, admits them and sends them to a local target."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from http import HTTPStatus

import structlog

from jaypost.admission import (
    Admission,
    Admitted,
    CallClass,
    Decision,
    LongWorkClassifier,
    Message,
    Release,
    ReportRate,
    SetTargets,
    Tick,
)
from jaypost.breakers import Breakers
from jaypost.calls import DEFAULT_TENANT, CallEnded, ErrorResponse, error_response
from jaypost.connections import CallServer, InFlight
from jaypost.descriptors import connection_limits
from jaypost.egress_calls import EgressCall
from jaypost.errors import ANSWER_BY_KIND, ErrorKind, RunState
from jaypost.http_messages import HeaderDialect, RequestHead
from jaypost.intake.scheduler import IntakeScheduler
from jaypost.limits import FleetLimits
from jaypost.links.grants import BodyDecision, BodyGrants
from jaypost.logs import EventName
from jaypost.pools import ConnectionPool
from jaypost.records import Address, Load, PlacedTarget, Snapshot, Target, TargetState
from jaypost.responders import BufferPlace, ConnectionHandlers, IncomingCall, Responder
from jaypost.settings import Settings
from jaypost.target_rates import TargetRates
from jaypost.transfers import Transfers
from jaypost.uplink import Uplink

log = structlog.get_logger(__name__)

# Added to the drain delay of a target, both for the timer that refuses its queued calls and for the
# last time at which a call may start. The timer may be late on a busy host.
DRAIN_TIMER_SLACK_S = 0.05
# Interval in seconds of the `Tick` messages to the admission while calls are queued.
TICK_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class FleetSlots:
    """Slots of the reachable ready targets of a service: all, and those on hosts before this one.

    Hosts are ordered by node id, so that their shares of a concurrency limit add up to the limit.
    """

    total: int
    on_earlier_hosts: int


class Egress:
    """Server for calls from other nodes, and the only sender of requests to the local targets.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    admission : Admission
        Owner of the slots and queues of the local targets.
    limits : FleetLimits
        Rate and concurrency limits of the services, which hold for the whole fleet.
    snapshot : callable
        Returns the snapshot in force.
    on_call_ended : callable
        Called with the result of each call.
    dialect : HeaderDialect or None
        Header names on the connections of targets; None for those of jaypost.
    uplink : Uplink or None
        Link of the host; None for a new `Uplink` with the rate of the settings, which the ingress
        does not share.
    scheduler : IntakeScheduler or None
        Gives connections their turns to decode input; None for a new one, which the ingress does
        not share.
    """

    def __init__(
        self,
        settings: Settings,
        admission: Admission,
        limits: FleetLimits,
        snapshot: Callable[[], Snapshot],
        on_call_ended: Callable[[CallEnded], None],
        dialect: HeaderDialect | None = None,
        uplink: Uplink | None = None,
        scheduler: IntakeScheduler | None = None,
    ) -> None:
        scheduler = scheduler or IntakeScheduler()
        uplink = uplink or Uplink(settings.link_mbps)
        self.transfers = Transfers(uplink)
        self.settings = settings
        self.admission = admission
        self.limits = limits
        self.snapshot = snapshot
        self.report = on_call_ended
        self.clock = time.monotonic  # the clock of uvloop has a resolution of only 1 ms
        self.long_work_classifier = LongWorkClassifier()
        self.breakers = Breakers()
        self.rates = TargetRates()
        # Targets that have named the request in a response.
        self.naming_target_ids: set[str] = set()
        max_connections = connection_limits(settings.max_files)
        self.pool = ConnectionPool(
            settings,
            dialect=dialect,
            max_connections=max_connections.to_targets,
            scheduler=scheduler,
        )
        self.in_flight = InFlight()
        self.refuses_calls = False
        self._drain_ends_at = float("inf")
        # Called with a target for each response in which it says that it leaves.
        self.on_target_leaving: Callable[[Target], None] = lambda target: None
        # Tells whether a roll-out lets no request go to a target.
        self.excludes: Callable[[Target], bool] = lambda target: False
        self.target_by_id: dict[str, Target] = {}
        self.own_slots_by_service: dict[str, int] = {}
        self._announced_targets: tuple[Target, ...] = ()
        self._drain_delay_end_by_id: dict[str, float] = {}
        self.call_by_ticket: dict[str, EgressCall] = {}
        self.queued_tickets: set[str] = set()
        self.body_grants = BodyGrants(settings.link_mbps)
        self.call_by_body_ticket: dict[str, EgressCall] = {}
        self._fleet_slots_snapshot: Snapshot | None = None
        self._fleet_slots_by_service: dict[str, FleetSlots] = {}
        self._ticket_numbers = itertools.count(1)
        self._decisions: deque[Decision] = deque()
        self._applying_decisions = False
        self._tick_timer: asyncio.TimerHandle | None = None
        self._server = CallServer(
            settings,
            settings.listen_peer,
            ConnectionHandlers(self.open_call, self._refuse_input),
            uplink,
            scheduler=scheduler,
        )

    async def start(self) -> Address:
        """Listen for peers and return the address with the actual port."""
        self.loop = asyncio.get_running_loop()
        await self.pool.start()
        return await self._server.start()

    def buffered_bytes(self) -> dict[BufferPlace, int]:
        """Return the bytes of responses that the connections hold, by place."""
        return self._server.buffered_bytes()

    def set_targets(self, targets: tuple[Target, ...]) -> None:
        """Replace the targets of the host.

        A target that was ready and now drains accepts new calls until the drain delay is over,
        because the other nodes send calls until they learn of the drain. Calls that still wait for
        a slot at the end of the delay are refused.
        """
        self._announced_targets = targets
        listed = {target.target_id for target in targets}
        for target_id in self._drain_delay_end_by_id.keys() - listed:
            del self._drain_delay_end_by_id[target_id]
        self._apply_targets()

    def _apply_targets(self) -> None:
        now = self.clock()
        effective = tuple(self._effective_target(target, now) for target in self._announced_targets)
        restarted_ids = {t.target_id for t in effective if self._has_started_again(t)}
        self.target_by_id = {target.target_id: target for target in effective}
        known_ids = self.target_by_id.keys() - restarted_ids
        self.breakers.retain(known_ids)
        self.rates.retain(known_ids)
        for target_id in restarted_ids:
            self.rates.heard(target_id)  # other nodes know the rate of the earlier start
        self.naming_target_ids &= known_ids
        self.own_slots_by_service = {}
        for target in effective:
            if target.state is TargetState.READY:
                slots = self.own_slots_by_service.get(target.service, 0)
                self.own_slots_by_service[target.service] = slots + target.slots
        self.handle(SetTargets(effective, now))
        for target in effective:
            if target.state is TargetState.DRAINING:
                self._refuse_queued_calls(target.target_id, ErrorKind.DRAINING)

    def _has_started_again(self, target: Target) -> bool:
        """Return whether what is known of a target is of an earlier start."""
        known = self.target_by_id.get(target.target_id)
        return known is not None and known.incarnation < target.incarnation

    def _refuse_queued_calls(self, target_id: str, kind: ErrorKind) -> None:
        for ticket in tuple(self.queued_tickets):
            call = self.call_by_ticket.get(ticket)
            if call is not None and call.target_id == target_id:
                call.leave_queue(kind)

    def refuse_excluded_calls(self) -> None:
        """Refuse the queued calls at targets that a roll-out excludes."""
        for target in self.target_by_id.values():
            if self.excludes(target):
                self._refuse_queued_calls(target.target_id, ErrorKind.DRAINING)

    def calls_by_target(self) -> tuple[tuple[Target, int], ...]:
        """Return the calls that wait or are in execution at each target of the host."""
        loads = [(target, self.admission.load(i)) for i, target in self.target_by_id.items()]
        return tuple((target, load.busy + load.queued) for target, load in loads)

    def record_broken_connection(self, target_id: str) -> None:
        """Count a connection that a target closed without a response or did not accept."""
        if self.breakers.record_failure(target_id, self.clock()):
            log.warning(EventName.TARGET_DOWN, target=target_id)
            self._refuse_queued_calls(target_id, ErrorKind.TARGET_DOWN)

    def record_target_alive(self, target_id: str) -> None:
        """Record that a target answered or announced itself."""
        if self.breakers.record_alive(target_id):
            log.info(EventName.TARGET_UP, target=target_id)

    def note_rate(self, target: Target, rate: float | None) -> None:
        """Note the rate that a target names in a response, None if it names none."""
        known = self.target_by_id.get(target.target_id)
        if known is not None and known.incarnation > target.incarnation:
            return  # an earlier start has responded late
        if self.rates.note(target.target_id, rate):
            self.handle(ReportRate(target.target_id, rate, self.clock()))

    def load(self, target_id: str) -> Load:
        """Return the load to report for a target; a target that is down has no free slots."""
        load = self.admission.load(target_id)
        if self.breakers.is_open(target_id):
            return replace(load, busy=max(load.busy, load.slots))
        return load

    def _effective_target(self, target: Target, now: float) -> Target:
        """Return the target as it is treated: as ready until its drain delay is over."""
        if target.state is not TargetState.DRAINING:
            self._drain_delay_end_by_id.pop(target.target_id, None)
            return target
        known = self.target_by_id.get(target.target_id)
        if target.target_id not in self._drain_delay_end_by_id:
            was_ready = known is not None and known.state is TargetState.READY
            delay_s = self._target_drain_delay_s() if was_ready else 0.0
            self._drain_delay_end_by_id[target.target_id] = now + delay_s
            self.loop.call_later(delay_s + DRAIN_TIMER_SLACK_S, self._apply_targets)
        if now < self._drain_delay_end_by_id[target.target_id]:
            return replace(target, state=TargetState.READY)
        return target

    def _target_drain_delay_s(self) -> float:
        """Return for how many seconds a draining target accepts new calls.

        It is at most half of `drain_bound_ms`.
        """
        return min(self.settings.drain_delay_s, self.settings.drain_bound_ms / 2000)

    def may_start(self, target_id: str, now: float) -> bool:
        """Tell whether a call may start at a target: not after its drain delay and the slack."""
        return now < self._drain_delay_end_by_id.get(target_id, float("inf")) + DRAIN_TIMER_SLACK_S

    def open_call(self, responder: Responder, head: RequestHead) -> IncomingCall:
        """Return a call of a peer, or of the ingress of this node; its owner begins it."""
        return EgressCall(self, responder, head)

    def may_outlast_drain(self, deadline: float) -> bool:
        """Tell whether a call that starts now may be cut off at the end of a drain.

        Until new calls are refused, calls start whatever their deadline, because callers learn only
        meanwhile that the node leaves.
        """
        return deadline > self._drain_ends_at

    async def drain(self, timeout_s: float | None = None) -> bool:
        """Refuse new calls after the drain delay and wait for those in flight.

        Parameters
        ----------
        timeout_s : float, optional
            Time in seconds for the calls in flight after the drain delay; by default
            `drain_timeout_s` of the settings.

        Returns
        -------
        bool
            Whether all calls ended within the timeout.
        """
        if timeout_s is None:
            timeout_s = self.settings.drain_timeout_s
        await asyncio.sleep(self.settings.drain_delay_s)
        self.refuses_calls = True
        self._drain_ends_at = self.clock() + timeout_s
        return await self._server.drain(self.in_flight, timeout_s)

    async def close(self) -> None:
        """Close all sockets; calls in flight are cancelled."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None
        await self._server.close()
        await self.pool.close()

    # admission

    def new_ticket(self) -> str:
        """Return a ticket that is unique on this node."""
        return str(next(self._ticket_numbers))

    def fleet_slots(self, service: str) -> FleetSlots:
        """Return the slots of the reachable ready targets of a service in the snapshot."""
        snapshot = self.snapshot()
        if snapshot is not self._fleet_slots_snapshot:
            self._fleet_slots_snapshot = snapshot
            self._fleet_slots_by_service = {}
        slots = self._fleet_slots_by_service.get(service)
        if slots is None:
            slots = self._count_slots(snapshot.targets_by_service.get(service, ()))
            self._fleet_slots_by_service[service] = slots
        own = self.own_slots_by_service.get(service, 0)
        if slots.total < slots.on_earlier_hosts + own:  # own targets not in snapshot yet
            return FleetSlots(slots.on_earlier_hosts + own, slots.on_earlier_hosts)
        return slots

    def _count_slots(self, targets: tuple[PlacedTarget, ...]) -> FleetSlots:
        ready = [
            placed
            for placed in targets
            if placed.reachable and placed.target.state is TargetState.READY
        ]
        own_id = self.settings.node_id
        before = sum(placed.target.slots for placed in ready if placed.node_id < own_id)
        return FleetSlots(sum(placed.target.slots for placed in ready), before)

    def handle(self, message: Message) -> None:
        """Pass a message to the admission, and its decisions to their calls in order."""
        self._decisions.extend(self.admission.handle(message))
        if self._applying_decisions:
            return  # the outer call, which runs the loop below, applies the new decisions
        self._applying_decisions = True
        try:
            while self._decisions:
                decision = self._decisions.popleft()
                call = self.call_by_ticket.get(decision.ticket)
                if call is not None:
                    call.on_decision(decision)
                elif isinstance(decision, Admitted):
                    # The call ended before its slot was granted.
                    now = self.clock()
                    self._decisions.extend(
                        self.admission.handle(Release(decision.ticket, 0.0, now))
                    )
        finally:
            self._applying_decisions = False

    def apply_body_decisions(self, decisions: Iterable[BodyDecision]) -> None:
        """Pass decisions about bodies to their calls."""
        for decision in decisions:
            call = self.call_by_body_ticket.get(decision.ticket)
            if call is not None:
                call.on_body_decision(decision)
        if self.body_grants.has_waiting:
            self.start_tick_timer()

    def start_tick_timer(self) -> None:
        """Start the timer of the next `Tick`, which refuses queued calls that would be late."""
        if self._tick_timer is None:
            self._tick_timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        self.handle(Tick(self.clock()))
        self.apply_body_decisions(self.body_grants.tick(self.clock()))
        if self.queued_tickets:
            self.start_tick_timer()

    def _refuse_input(self, kind: ErrorKind) -> ErrorResponse:
        """Return the response to input that is not a valid request, and report the call."""
        status = ANSWER_BY_KIND[kind].status if kind in ANSWER_BY_KIND else HTTPStatus.BAD_REQUEST
        self.report(
            CallEnded(
                "",
                "",
                DEFAULT_TENANT,
                CallClass.SHORT,
                self.snapshot().version,
                kind,
                status,
                RunState.NOT_RUN,
                0,
                0.0,
                0.0,
                0.0,
            )
        )
        return error_response(kind, b"")
