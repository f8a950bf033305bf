"""The daemon `jaypostd`: creates, starts and stops the components of a node."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import math
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Coroutine, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import structlog
import uvloop

from jaypost import STARTED_AT, __version__, logs, settings
from jaypost.admin import AdminServer, FleetReport, Readiness
from jaypost.admission import Admission
from jaypost.allotments.node import NodeAllotments
from jaypost.announcements import AdoptDepartures, Announcements, DrainAll, ReportLeaving
from jaypost.calls import CallEnded
from jaypost.claims import Claims
from jaypost.config import ConfigHolder, RefusedVersion, Stale
from jaypost.departures import Departures
from jaypost.egress import Egress
from jaypost.events import EventLog
from jaypost.explanations import Explanation, NodeIdentity, explain
from jaypost.gossip import Gossip
from jaypost.health import TargetHealth
from jaypost.ingress import Ingress
from jaypost.intake.scheduler import IntakeScheduler
from jaypost.integration import DEFAULT_INTEGRATION, Integration
from jaypost.invariants import raise_on_violation
from jaypost.joining import PEERS_TO_ASK, Joined
from jaypost.limits import FleetLimits
from jaypost.logs import EventName
from jaypost.metrics import Metrics, StoreOutcome
from jaypost.peers import PeerChannels
from jaypost.placement import Placement
from jaypost.readers import ReadFailed, TableReader
from jaypost.records import (
    Address,
    Departure,
    NodeRecord,
    NodeState,
    Snapshot,
    Stamp,
    Target,
    TargetState,
)
from jaypost.reloading import SettingsReloader
from jaypost.request_explanations import (
    DecisionSources,
    RequestExplanation,
    RequestQuery,
    explain_request,
)
from jaypost.responders import BufferPlace
from jaypost.retries import RetryPolicy
from jaypost.rollouts.coordinator import RolloutCoordinator
from jaypost.rollouts.fleet import GossipFleet
from jaypost.rollouts.guard import RolloutGuard
from jaypost.seeds import StoreSeeds
from jaypost.settings import LoadedSettings, RefusedSettings, Settings
from jaypost.store import StoreCallEnded
from jaypost.uplink import Uplink
from jaypost.view import MembershipView

log = structlog.get_logger(__name__)

EXIT_USAGE = 2
EXIT_DRAIN_TIMEOUT = 1
PERIODIC_WORK_INTERVAL_S = 10.0
# With the time that restoring claims takes, it stays below `claims.RESTORE_WINDOW_S`.
CLAIM_CHECK_INTERVAL_S = 2.0
# Part of the time between SIGTERM and SIGKILL that is reserved for shutting down after calls in
# flight have ended.
SHUTDOWN_RESERVE_S = 0.8
# Fraction of the drain delay during which the targets of a leaving node still get calls from other
# nodes. The rest is for propagating the draining state, which takes one synchronization interval at
# most, and for the last calls.
TARGET_SERVING_FRACTION = 0.5
# Time that a starting node waits for its peers to receive a first version, and how often it looks.
FIRST_VERSION_WAIT_S = 2.0
FIRST_VERSION_CHECK_S = 0.05
# Interval at which a restarted node asks one of its peers for the newest version meanwhile.
FIRST_VERSION_ASK_INTERVAL_S = 0.15
# Mean time between the reads of the table by nodes that have waited in vain, and the longest time
# over which their reads are spread.
FIRST_READ_INTERVAL_S = 0.25
FIRST_READS_MAX_SPREAD_S = 10.0
# Time over which the nodes spread the writes of what a store has lost that came back from an older
# copy.
REWRITE_SPREAD_S = 1.0
# Newest departures that the own record has for other nodes; the store has all of them.
MAX_RECORD_DEPARTURES = 16
# Timeout of each of the last two steps, notifying the peers and closing the components. Both may
# wait for a peer that is cut off and never answers.
SHUTDOWN_STEP_TIMEOUT_S = 0.3


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """Status of this node for ``GET /status``.

    The fields up to `problems` have the same meaning as in `NodeStatus`.
    """

    node_id: str
    failure_domain: str
    region: str
    state: NodeState
    answered: bool
    held_version: int
    in_force_version: int
    problems: tuple[str, ...]
    ready: bool
    not_ready_because: str
    reader: bool
    known_nodes: int
    unreachable_nodes: tuple[str, ...]
    targets: tuple[Target, ...]
    store_contact_age_s: float | None
    version_lag_s: float


class Node:
    """All components of one node.

    Parameters
    ----------
    node_settings : Settings
        Validated settings.
    events : EventLog
        Event log of the node. `main` also makes it the observer of log lines.
    integration : Integration
        Store client, table source and header dialects for the environment of the node.
    """

    def __init__(
        self,
        node_settings: Settings,
        events: EventLog,
        integration: Integration = DEFAULT_INTEGRATION,
    ) -> None:
        self._integration = integration
        self.settings = node_settings
        rng = random.Random()
        self.events = events
        self.metrics = Metrics(node_settings.label_limit)
        self._store_available: bool | None = None
        self._store_reached = False
        self.store = integration.make_store(
            node_settings.store, node_settings.store_timeout_s, self._on_store_call_ended
        )
        self.holder = ConfigHolder(node_settings, node_settings.node_id)
        self.holder.suspend_activation()
        self.holder.on_version_in_force = self._on_version_in_force
        self.announcements = Announcements(node_settings, self._on_targets_changed, self.events)
        self.admin = AdminServer(
            node_settings,
            self,
            self.announcements,
            self.events,
            self.metrics,
            self._persist_departures,
        )
        self.health = TargetHealth(node_settings.ramp_s)
        self.placement = Placement(
            node_settings.failure_domain,
            node_settings.region,
            self.health,
            rng,
            leaving_use_s=node_settings.drain_bound_ms / 2000,
        )
        self.uplink = Uplink(node_settings.link_mbps)
        self.intake = IntakeScheduler()
        self.egress = Egress(
            node_settings,
            Admission(),
            FleetLimits(),
            self._snapshot,
            self._on_execution_ended,
            integration.target_dialect,
            self.uplink,
            self.intake,
        )
        self.announcements.on_target_alive = self.egress.record_target_alive
        self._incarnation = time.time_ns() // 1_000_000
        self.rollouts = RolloutGuard(node_settings.node_id, self._incarnation)
        self.egress.excludes = self.rollouts.excludes
        self.coordinator: RolloutCoordinator | None = None
        self.claims = Claims(self.store, node_settings.claim_rate)
        self.retries = RetryPolicy(rng, node_settings.retry_slack or math.inf)
        self.ingress = Ingress(
            node_settings,
            self.placement,
            self.retries,
            self.claims,
            self._snapshot,
            self._on_call_ended,
            self.egress,
            integration.caller_dialect,
            rng,
            self.uplink,
            self.intake,
        )
        self._rng = rng
        self._unreachable_ids: frozenset[str] = frozenset()
        self._counted_outcomes: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ready = False
        self._not_ready_reason = "the node has not joined the fleet"
        self._leave_requested = asyncio.Event()

    async def start(self) -> None:
        """Open all sockets, then join the fleet in the background."""
        await self.store.start()
        self.store.on_era_changed = self._on_store_era_changed
        self.announcements.start()
        await self.admin.bind()
        peer_address = await self.egress.start()
        await self.ingress.start()
        await self._start_membership(peer_address)
        self.egress.on_target_leaving = self._on_target_leaving
        self.announcements.on_departure = self._on_departure
        self.departures.start()
        await self.admin.start()  # its replies need the membership view
        self._spawn(self._become_ready())
        self._spawn(self._do_periodic_work())
        self._spawn(self._keep_claims())
        self.metrics.add_update_callback(self._update_metrics)
        self.events.record(EventName.NODE_STARTED, node=self.settings.node_id, process=os.getpid())

    async def _start_membership(self, peer_address: Address) -> None:
        node_settings = self.settings
        record = NodeRecord(
            node_settings.node_id,
            node_settings.failure_domain,
            node_settings.region,
            node_settings.advertise_peer or peer_address,
            node_settings.advertise_control or node_settings.listen_control,
            node_settings.advertise_admin or self.admin.address,
            Stamp(self._incarnation, 1),
            NodeState.JOINING,
            self.announcements.targets,
            link_mbps=node_settings.link_mbps,
        )
        self.view = MembershipView(
            record, time.monotonic(), node_settings.suspicion_s, node_settings.readers_per_domain
        )
        channels = PeerChannels(node_settings.connect_timeout_s, scheduler=self.intake)
        self._seeds = seeds = StoreSeeds(
            self.store, node_settings.failure_domain, node_settings.node_id, node_settings.region
        )
        self.gossip = Gossip(node_settings, self.view, self.holder, channels, self._rng, seeds)
        self.gossip.on_view_changed = self._on_view_changed
        self.gossip.status_problems = self._problems
        self.gossip.on_previous_record = self._on_previous_record
        self.departures = Departures(
            self.store, node_settings.node_id, self.gossip.replicate_record
        )
        self.reader = TableReader(
            self.store,
            self.holder,
            self.gossip.replicate,
            self.gossip.store_reader_place,
            node_settings,
            is_candidate=self.gossip.is_store_candidate,
            is_isolated=lambda: self.gossip.is_isolated,
            store_era=lambda: self.store.era,
            source=self._integration.make_table_source(node_settings),
        )
        self.gossip.on_store_reading_changed = self.reader.notify_role_changed
        self.gossip.store_contact_age_s = self._store_contact_age_s
        self.gossip.store_round_trip_s = lambda: self.store.round_trip_s
        self.gossip.read_newest_at = lambda: self.reader.newest_at
        if node_settings.exposure_share:
            self._start_rollouts(node_settings.exposure_share)
        self.allotments = NodeAllotments(
            node_settings,
            self._incarnation,
            self.store,
            self.gossip,
            self.view,
            lambda: self.holder.snapshot.workspaces,
            lambda: self._ready,
            self._rng,
        )
        self.ingress.allotments = self.allotments
        await self.gossip.start()

    def _start_rollouts(self, exposure_share: float) -> None:
        self.gossip.on_rollout_query = lambda step: self.rollouts.report(
            step, self.egress.calls_by_target(), time.monotonic()
        )
        self.coordinator = RolloutCoordinator(
            self.store,
            self._integration.rollout_keys,
            GossipFleet(self.gossip, self.view, self.rollouts, lambda: self._ready),
            exposure_share,
            era=lambda: self.store.era,
        )
        self.coordinator.start()

    def _store_contact_age_s(self) -> float | None:
        contact = self.reader.last_contact
        return None if contact is None else time.monotonic() - contact

    async def run(self) -> int:
        """Serve until SIGTERM, SIGINT or a call of `drain`, then drain and close.

        Returns
        -------
        int
            Exit code: 0, or 1 if calls in flight did not end within the drain timeout.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._leave_requested.set)
        await self._leave_requested.wait()
        drained = await self._leave()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN_STEP_TIMEOUT_S):
                await self.close()
        self.events.record(EventName.NODE_STOPPED, node=self.settings.node_id, drained=drained)
        logs.log_left_out_counts()
        return 0 if drained else EXIT_DRAIN_TIMEOUT

    async def _leave(self) -> bool:
        self.events.record(EventName.NODE_DRAINING, node=self.settings.node_id)
        self._ready, self._not_ready_reason = False, "the node is leaving"
        self.gossip.publish(state=NodeState.LEAVING)
        timeout_s = self._drain_timeout_s()
        *drained, _ = await asyncio.gather(
            self.ingress.drain(timeout_s), self.egress.drain(timeout_s), self._drain_targets()
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN_STEP_TIMEOUT_S):
                await self.gossip.leave()
        return all(drained)

    async def _drain_targets(self) -> None:
        """Publish the targets of the host as draining, early enough for other nodes to learn it.

        Until then they keep serving. Otherwise a restart would leave their slots unused for the
        whole drain delay.
        """
        await asyncio.sleep(self.settings.drain_delay_s * TARGET_SERVING_FRACTION)
        self.announcements.handle(DrainAll(time.monotonic()))

    def _drain_timeout_s(self) -> float:
        """Return the seconds to wait for calls in flight, limited so as to exit before SIGKILL."""
        left_s = self.settings.grace_s - self.settings.drain_delay_s - SHUTDOWN_RESERVE_S
        return max(0.0, min(self.settings.drain_timeout_s, left_s))

    def apply_settings(self, new: Settings) -> None:
        """Apply the settings that may change while the node runs."""
        self.settings = self.ingress.settings = self.egress.settings = new
        self.announcements.apply_settings(new)
        self.uplink.set_rate(new.link_mbps)
        if new.link_mbps != self.egress.body_grants.link_mbps:
            self.egress.body_grants.link_mbps = new.link_mbps
            self.gossip.publish(link_mbps=new.link_mbps)

    async def close(self) -> None:
        """Cancel the background tasks, then close every component."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.coordinator is not None:
            await self.coordinator.close()
        await self.allotments.close()
        await self.reader.close()
        await self.ingress.close()
        await self.egress.close()
        await self.gossip.close()
        await self.admin.close()
        await self.announcements.close()
        await self.departures.close()
        await self.store.close()
        self.intake.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("node_task_failed", exc_info=task.exception())

    async def _become_ready(self) -> None:
        """Join the fleet, bring the newest table version into force and publish the state `ready`.

        No version comes into force until the newest one is known, so that a restarted node never
        uses an older version than before.
        """
        outcome = await self.gossip.join()
        if not self.settings.first_start:
            self._spawn(self._load_departures())
        self._not_ready_reason = "the newest table version is not known yet"
        if not (isinstance(outcome, Joined) and await self._has_version_of_peers(outcome)):
            await self._read_first_version(retry=not isinstance(outcome, Joined))
        self.holder.resume_activation(outcome.highest_version if isinstance(outcome, Joined) else 0)
        self._not_ready_reason = "the newest table version is not in force yet"
        await self._replicate_and_activate()
        self.reader.start()
        # A full garbage collection over the records of 7,000 nodes blocks the event loop so long
        # that peers accuse the node. The objects that exist now live as long as the process, so
        # later collections skip them.
        gc.collect()
        gc.freeze()
        self._ready, self._not_ready_reason = True, ""
        self.gossip.publish(state=NodeState.READY)
        version = self.holder.in_force_version
        self.events.record(EventName.NODE_READY, node=self.settings.node_id, version=version)

    async def _has_version_of_peers(self, joined: Joined) -> bool:
        """Return whether enough peers were asked and the newest version that they hold is held.

        A fleet that starts as a whole has no version until its readers have read the first one.
        The other nodes wait for that rather than read the store themselves. If it takes too long,
        they read it one after the other, because many copies of the table at once would delay each
        other on a narrow link.

        After a restart, the newest version is known if the store held no newer one at some time
        since this process started, or if enough peers were asked.
        """
        known = self.settings.first_start or joined.answered_peers >= PEERS_TO_ASK
        if not known and joined.highest_version and not self._knows_newest_version():
            return False
        spread_s = min(FIRST_READ_INTERVAL_S * len(self.view), FIRST_READS_MAX_SPREAD_S)
        turn_s = self._rng.uniform(0.0, spread_s)
        waited_until = time.monotonic() + FIRST_VERSION_WAIT_S + turn_s
        ask_at = 0.0
        while time.monotonic() < waited_until:
            known = known or self._knows_newest_version()
            if known and self.holder.held_version >= max(joined.highest_version, 1):
                return True
            if self.settings.first_start and self.gossip.reads_store():
                return False
            if not self.settings.first_start and time.monotonic() >= ask_at:
                self.gossip.ask_for_newest_version()
                ask_at = time.monotonic() + FIRST_VERSION_ASK_INTERVAL_S
            await asyncio.sleep(FIRST_VERSION_CHECK_S)
        return False

    async def _read_first_version(self, retry: bool) -> None:
        """Read the table from the store; with `retry`, until it succeeds or a peer has sent it."""
        while isinstance(await self.reader.read_once(), ReadFailed) and retry:
            self.gossip.ask_for_newest_version()
            await asyncio.sleep(self.settings.store_backoff_min_s)
            if self.holder.held_version and self._knows_newest_version():
                return

    def _knows_newest_version(self) -> bool:
        """Return whether the held version is at least as new as any used before the restart."""
        newest_at = self.gossip.newest_at()
        return newest_at is not None and newest_at >= STARTED_AT

    async def _load_departures(self) -> None:
        """Adopt the departures kept in the store by an earlier process; retry until it answers."""
        departures = await self.departures.load()
        while departures is None:
            await asyncio.sleep(self.settings.store_backoff_min_s)
            departures = await self.departures.load()
        self._adopt_departures(departures)
        if self.announcements.departures:
            await self._persist_departures()

    def _on_departure(self) -> None:
        self.gossip.publish(departures=self.announcements.departures[-MAX_RECORD_DEPARTURES:])

    def _on_previous_record(self, record: NodeRecord) -> None:
        """Adopt the departures in the record that a peer had of this node before it joined."""
        departed_states = {TargetState.DRAINING, TargetState.GONE}
        if record.state in (NodeState.LEAVING, NodeState.LEFT):
            # The node drained its targets; these did not leave by themselves.
            departed_states = {TargetState.GONE}
        departed = [target for target in record.targets if target.state in departed_states]
        self._adopt_departures(
            (
                *record.departures,
                *(Departure(item.target_id, item.incarnation) for item in departed),
            )
        )

    def _adopt_departures(self, departures: tuple[Departure, ...]) -> None:
        if not set(departures) <= set(self.announcements.departures):
            target_ids = [item.target_id for item in departures]
            self.events.record(EventName.DEPARTURES_ADOPTED, targets=target_ids)
            self.announcements.handle(AdoptDepartures(departures))

    def _on_target_leaving(self, target: Target) -> None:
        """Publish a target as draining that said in a response that it leaves."""
        known = self.announcements.departures
        self.announcements.handle(
            ReportLeaving(target.target_id, target.incarnation, time.monotonic())
        )
        if self.announcements.departures != known:
            self._spawn(self._keep_departures())

    async def _keep_departures(self) -> None:
        await self._persist_departures()

    async def _persist_departures(self) -> bool:
        return await self.departures.persist(self.announcements.departures)

    async def _do_periodic_work(self) -> None:
        while True:
            await asyncio.sleep(PERIODIC_WORK_INTERVAL_S)
            logs.log_left_out_counts()
            await self.claims.retry_withdrawals()

    async def _keep_claims(self) -> None:
        while True:
            await asyncio.sleep(CLAIM_CHECK_INTERVAL_S)
            await self.claims.watch_store(time.monotonic())
            restored = await self.claims.restore_lost(time.monotonic())
            if restored:
                self.events.record(EventName.CLAIMS_RESTORED, claims=restored)

    async def _replicate_and_activate(self) -> None:
        """Retry until the held version is replicated, active and not below the minimum version."""
        while True:
            replicated = await self.reader.replicate_and_activate()
            if replicated and self.holder.held_version >= self.holder.minimum_held_version:
                return
            await asyncio.sleep(self.settings.store_backoff_min_s)

    def _update_metrics(self, metrics: Metrics) -> None:
        metrics.version_held(self.holder.held_version)
        metrics.version_lag(self.gossip.version_lag_s())
        metrics.readiness_changed(self._ready)
        count_by_state = Counter(record.state.value for record in self.view.records())
        metrics.nodes_changed(count_by_state | Counter(unreachable=len(self._unreachable_ids)))
        for key, count in self.gossip.byte_counts.items():
            metrics.control_bytes(key.kind, key.link, key.direction, count)
        cut = self.ingress.cut_by_reason.items()
        metrics.requests_cut({reason.value: count for reason, count in cut})
        crossings = self.ingress.count_by_crossing.items()
        metrics.crossings_changed({choice.value: count for choice, count in crossings})
        metrics.intake_deferred(
            {reason.value: count for reason, count in self.intake.count_by_deferral.items()}
        )
        metrics.bad_responses("target", self.egress.pool.count_by_fault)
        metrics.bad_responses("peer", self.ingress.pool.count_by_fault)
        buffers = Counter(self.ingress.buffered_bytes()) + Counter(self.egress.buffered_bytes())
        buffers[BufferPlace.LINK] = self.uplink.queued_bytes
        metrics.buffers_changed({place.value: buffers[place] for place in BufferPlace})
        metrics.loads_changed(
            (target.service, self.egress.admission.load(target.target_id))
            for target in self.announcements.targets
        )
        rates = self.egress.rates
        service_by_id = {t.target_id: t.service for t in self.announcements.targets}
        metrics.rates_changed(
            _sum_by_service(rates.rate_by_id, service_by_id),
            _sum_by_service(rates.starts_by_id, service_by_id),
        )
        now = time.monotonic()
        services = self.holder.snapshot.targets_by_service
        metrics.ejections_changed(
            {service: self.health.ejected_count(service, now) for service in services}
        )
        metrics.allotments_changed(self.allotments.rates())
        metrics.body_backlog_changed(self.egress.body_grants.backlog_s())
        metrics.rollouts_changed({step.service: step.share for step in self.rollouts.steps()})
        self._count_offer_outcomes(metrics)

    def _count_offer_outcomes(self, metrics: Metrics) -> None:
        outcomes = self.holder.offer_count_by_outcome
        new = outcomes - self._counted_outcomes
        self._counted_outcomes = Counter(outcomes)
        for _ in range(new[RefusedVersion.__name__]):
            metrics.version_refused()
        for _ in range(new[Stale.__name__]):
            metrics.version_stale()

    def _on_version_in_force(self, version: int) -> None:
        deltas = self.holder.deltas_since(version - 1)
        lag_s = time.time() - deltas[0].at_ms / 1000 if deltas else None
        self.metrics.version_applied(version, lag_s)
        self.allotments.start_if_limited()

    def _snapshot(self) -> Snapshot:
        return self.holder.snapshot

    def _on_targets_changed(self, targets: tuple[Target, ...]) -> None:
        self.egress.set_targets(targets)
        self.gossip.publish(targets=targets)

    def _on_view_changed(self) -> None:
        unreachable = self.view.unreachable_ids
        for node_id in unreachable - self._unreachable_ids:
            self.events.record(EventName.NODE_UNREACHABLE, node_id=node_id)
        for node_id in self._unreachable_ids - unreachable:
            self.events.record(EventName.NODE_REACHABLE, node_id=node_id)
        self._unreachable_ids = unreachable
        self.retries.note_hosts(len(self.view))
        if self.rollouts.offer(self.view.rollout_steps(), time.monotonic()):
            self.egress.refuse_excluded_calls()
        routed = self.rollouts.route(self.view.targets_by_service(time.monotonic()))
        self.holder.update_targets(routed.targets_by_service, routed.canary_by_service)

    def _on_store_call_ended(self, call: StoreCallEnded) -> None:
        outcome = StoreOutcome.DONE if call.status else StoreOutcome.FAILED
        if call.status == HTTPStatus.CONFLICT:
            outcome = StoreOutcome.CONFLICT
        self.metrics.store_call_ended(call.operation, outcome, call.duration_s)
        self._record_store_availability(call)

    def _on_store_era_changed(self, era: int) -> None:
        """Write again what this node had written and the store has lost."""
        self.events.record(EventName.STORE_ERA_CHANGED, era=era)
        self._seeds.forget_lease()
        self.departures.forget_kept()
        self.allotments.forget_lease()
        self.claims.store_came_back(time.monotonic())
        if self.announcements.departures:
            self._spawn(self._keep_departures_again())

    async def _keep_departures_again(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, REWRITE_SPREAD_S))
        await self._persist_departures()

    def _record_store_availability(self, call: StoreCallEnded) -> None:
        """Record an event when the store becomes available or unavailable to this node."""
        refused = call.status == HTTPStatus.TOO_MANY_REQUESTS
        available = 0 < call.status < HTTPStatus.INTERNAL_SERVER_ERROR and not refused
        if available == self._store_available:
            return
        if available and self._store_available is False and not self._store_reached:
            # The era before the outage is not known, so the store may be in a new one.
            self.claims.store_came_back(time.monotonic())
        self._store_reached = self._store_reached or available
        self._store_available = available
        name = EventName.STORE_AVAILABLE if available else EventName.STORE_UNAVAILABLE
        self.events.record(name, operation=call.operation, status=call.status)

    def _on_execution_ended(self, call: CallEnded) -> None:
        self.metrics.execution_ended(call)
        self.rollouts.record(call, self.egress.target_by_id.get(call.target_id))

    def _on_call_ended(self, call: CallEnded) -> None:
        self.metrics.call_ended(call)
        if call.hedged:
            self.metrics.hedge_started(call.service)
        if call.kind is not None:
            log.info(
                "call_failed",
                request_id=call.request_id,
                version=call.version,
                service=call.service,
                kind=call.kind,
                run=call.run_state,
                attempts=call.attempts,
            )

    # Queries from the admin port, see `NodeQueries`

    def readiness(self) -> Readiness:
        """Return whether the node is ready."""
        return Readiness(self._ready, self._not_ready_reason)

    def status(self) -> LocalStatus:
        """Return the status of this node."""
        own = self.view.own
        return LocalStatus(
            own.node_id,
            own.failure_domain,
            own.region,
            own.state,
            True,
            self.holder.held_version,
            self.holder.in_force_version,
            self._problems(),
            self._ready,
            self._not_ready_reason,
            self.gossip.reads_store(),
            len(self.view),
            self._unreachable_nodes(),
            self.announcements.targets,
            self._store_contact_age_s(),
            self.gossip.version_lag_s(),
        )

    async def fleet(self) -> FleetReport:
        """Collect the status of all nodes."""
        statuses = await self.gossip.collect_status()
        return FleetReport(statuses, unreachable=self._unreachable_nodes())

    def _unreachable_nodes(self) -> tuple[str, ...]:
        ids = (record.node_id for record in self.view.records())
        return tuple(node_id for node_id in ids if not self.view.is_reachable(node_id))

    def _problems(self) -> tuple[str, ...]:
        refused = self.holder.refused
        if refused is None:
            return ()
        return tuple(f"{p.service}.{p.column}: {p.reason}" for p in refused.problems)

    def explain(self, service: str) -> Explanation | None:
        """Return how this node routes requests for `service`."""
        identity = NodeIdentity(
            self.settings.node_id, self.settings.failure_domain, self.settings.region
        )
        now = time.monotonic()
        return explain(
            service,
            self.holder.snapshot,
            identity,
            lambda target_id: self.health.weight(target_id, now),
            self.placement.reported_load,
        )

    def explain_request(self, query: RequestQuery) -> RequestExplanation:
        """Return what this node would do with a request now; nothing is sent."""
        now = time.monotonic()
        sources = DecisionSources(
            self.holder.snapshot,
            NodeIdentity(self.settings.node_id, self.settings.failure_domain, self.settings.region),
            self.placement.preview,
            lambda target_id: self.health.weight(target_id, now),
            self.placement.reported_load,
            self.allotments.rates(),
            self.settings.crossing_ms,
            now,
        )
        return explain_request(query, sources)

    def drain(self) -> None:
        """Leave the fleet, as on SIGTERM."""
        self._leave_requested.set()


async def _serve(
    node_settings: Settings,
    events: EventLog,
    integration: Integration,
    arguments: argparse.Namespace,
) -> int:
    node = Node(node_settings, events, integration)
    await node.start()
    if arguments.settings_file is None:
        return await node.run()
    reloader = SettingsReloader(
        arguments.settings_file,
        node_settings,
        lambda content: settings.load(arguments, {**content, **os.environ}),
        node.apply_settings,
    )
    reloader.start()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reloader.request_reload)
    try:
        return await node.run()
    finally:
        await reloader.close()


def _argument_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="jaypostd", description="Node of the jaypost service mesh; one runs on each host."
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--check-settings", action="store_true", help="print the effective settings and exit"
    )
    parser.add_argument(
        "--settings-file",
        metavar="PATH",
        help="file of JAYPOST_NAME=value lines; read again when it changes",
    )
    settings.add_flags(parser)
    return parser


def load_settings(
    arguments: argparse.Namespace, environment: Mapping[str, str]
) -> LoadedSettings | None:
    """Load and validate the settings; print every problem on stderr and return None if any."""
    path = getattr(arguments, "settings_file", None)
    if path is not None:
        read = settings.read_settings_file(path)
        if isinstance(read, settings.UnreadableFile):
            print(f"jaypostd: settings file {path}: {read.reason}", file=sys.stderr)
            return None
        environment = {**read, **environment}
    loaded = settings.load(arguments, environment)
    if isinstance(loaded, RefusedSettings):
        for problem in loaded.problems:
            print(f"jaypostd: {problem.name}={problem.value!r}: {problem.reason}", file=sys.stderr)
        return None
    return loaded


def _sum_by_service(
    value_by_id: Mapping[str, float], service_by_id: Mapping[str, str]
) -> dict[str, float]:
    """Return the sums over the targets of each service."""
    sums: dict[str, float] = {}
    for target_id, value in value_by_id.items():
        service = service_by_id.get(target_id)
        if service is not None:
            sums[service] = sums.get(service, 0) + value
    return sums


def main(
    integration: Integration = DEFAULT_INTEGRATION, command_line: Sequence[str] | None = None
) -> None:
    """Run the daemon and exit with its exit code.

    Parameters
    ----------
    integration : Integration
        Store client, table source and header dialects for the environment of the node.
    command_line : sequence of str, optional
        Command-line arguments; by default those of the process.
    """
    arguments = _argument_parser().parse_args(command_line)
    loaded = load_settings(arguments, os.environ)
    if loaded is None:
        sys.exit(EXIT_USAGE)
    if arguments.check_settings:
        print(settings.describe(loaded))
        sys.exit(0)
    events = EventLog()
    logs.setup(loaded.settings.log_level, observer=events.keep)
    raise_on_violation(loaded.settings.raise_on_violation)
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(uvloop.run(_serve(loaded.settings, events, integration, arguments)))


if __name__ == "__main__":
    main()
