"""Gossip: spreads table versions and node records between nodes, and detects failed nodes.

A node pushes each update at once to a few random nodes of its failure domain. At every sync
interval it also compares its state with one random node of the domain. A node that does not answer
is probed directly and through other nodes, and is accused when every probe fails. The readers of a
failure domain also push to and synchronise with nodes of the other domains. Some of the readers of
a region read the table from the store; see `elections`.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import zlib
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from enum import Enum, auto
from functools import partial, singledispatchmethod
from typing import Any, Protocol, TypeVar

import structlog

from jaypost import comparison, freshness
from jaypost.beacons import BeaconTracker, DomainContacts
from jaypost.config import OfferDeltas, OfferTable
from jaypost.elections import (
    CHECK_INTERVAL_S,
    READERS_PER_REGION,
    ReaderElection,
    candidates,
    contact_limit_s,
)
from jaypost.freshness import VersionFreshness
from jaypost.hedging import start_in_turn
from jaypost.isolation import PROBE_TIMEOUT_S as ISOLATION_PROBE_TIMEOUT_S
from jaypost.isolation import IsolationTracker
from jaypost.joining import SEEDS_JOINING_WAIT_S, Founded, Joiner, JoinOutcome, JoinServer
from jaypost.logs import EventName
from jaypost.messages import (
    AllotmentReply,
    AllotmentRequest,
    Beacon,
    CompareBuckets,
    CompareBucketsReply,
    CompareStamps,
    CompareStampsReply,
    FetchTable,
    FetchTableReply,
    Join,
    JoinReply,
    NodeStatus,
    Ping,
    Pong,
    Probe,
    ProbeReply,
    Push,
    PushReply,
    PushTable,
    RecordPiece,
    RolloutQuery,
    RolloutReport,
    StatusReply,
    StatusRequest,
    StatusScope,
    StoreContact,
    Sync,
    SyncReply,
)
from jaypost.peers import (
    Busy,
    ByteKey,
    CallOutcome,
    Declined,
    Failed,
    FailureReason,
    Link,
    PeerChannels,
    PeerServer,
    Replied,
    unpack,
)
from jaypost.records import (
    Accusation,
    Address,
    Delta,
    Departure,
    NodeRecord,
    NodeState,
    RolloutStep,
    Table,
    Target,
)
from jaypost.seeds import Seed, SeedDirectory
from jaypost.settings import Settings
from jaypost.status import StatusCollector
from jaypost.updates import Batch, TokenBucket, UpdateQueue
from jaypost.version_lag import CaughtUp, FellBehind, VersionLag
from jaypost.view import AccusationOutcome, AgedAccusation, MembershipView, Scope

log = structlog.get_logger(__name__)

T = TypeVar("T")

CALL_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
JOIN_TIMEOUT_S = 10.0
TABLE_TIMEOUT_S = 5.0
# Nodes that probe a peer on behalf of this node.
PROBE_RELAY_COUNT = 2
# An attempt to reach another failure domain has failed when up to this many of its nodes, chosen at
# random, have not answered.
PEERS_TRIED_PER_DOMAIN = 3
# A push of a version goes to another node as well when it is not answered for this long: hosts that
# lost their power count as reachable for a while. Longer than the round trip between regions.
SILENT_PEER_DELAY_S = 0.2
# Nodes of another failure domain to which a version is pushed until one answers.
VERSION_PEERS_PER_DOMAIN = 8
# Nodes of the own failure domain, and of each other scope, that are asked whether they answer when
# this node may be isolated.
ISOLATION_PROBES = 2
# Nodes that `replicate` and `replicate_record` push to; one acknowledgement is enough.
REPLICA_COUNT = 2
# Longest random wait after the beacon timeout, before a node that still receives no beacons becomes
# a reader itself (fallback reader).
READER_FALLBACK_JITTER_S = 5.0
# Intervals vary at random by this fraction in both directions.
INTERVAL_JITTER_FRACTION = 0.1
# One sync interval in this many, on average, also has a sync with an unreachable node, which
# detects that the node is back.
INTERVALS_PER_UNREACHABLE_SYNC = 2
MAX_ACCUSATIONS_PER_SYNC = 4
# Additional recipients of a push with a new version. When every node pushes to 4 nodes, about 2% of
# the nodes are missed, and with 6 about 0.25%. Missed nodes get the version only at their
# next sync. Versions are rare, so the additional traffic is small.
VERSION_EXTRA_FANOUT = 2
MAX_DELTAS_PER_MESSAGE = 32
# Limit on pushes of whole tables, which are about 30 KB each. It bounds the bandwidth that a node
# with many outdated peers uses.
TABLE_PUSHES_PER_S = 0.5
TABLE_PUSH_BURST = 4.0
# Interval at which a reader renews the lease of its seed, and joins at seeds that are not in its
# view.
SEED_REFRESH_INTERVAL_S = 20.0
# Interval at which the founder of a fleet tries seeds that have not answered.
SEED_INVITATION_INTERVAL_S = 0.1
# Sync intervals for which a node has to be a reader before it registers its seed. While a fleet
# starts, many nodes are readers for a moment, before they know the other nodes.
INTERVALS_BEFORE_REGISTRATION = 3
# Changes of the view within this time are reported by one notification.
NOTIFY_DELAY_S = 0.02
# A failed check of a peer that takes this much longer than the timeouts of its calls is ignored:
# this process was paused meanwhile.
PROBE_LATENESS_LIMIT_S = 1.0


class VersionHolder(Protocol):
    """The part of `ConfigHolder` that gossip uses."""

    on_held_version_raised: Callable[[], None] | None

    @property
    def held_version(self) -> int:
        """Return the newest version that the node holds."""

    @property
    def in_force_version(self) -> int:
        """Return the version that requests use."""

    @property
    def held_table(self) -> Table:
        """Return the table of the held version."""

    @property
    def table_for_replies(self) -> Table:
        """Return the table to send to a node that asks for a whole one."""

    def deltas_since(self, version: int) -> tuple[Delta, ...] | None:
        """Return the deltas after `version`, or None when a whole table is needed."""

    def offer(self, message: Any, activate: bool = True) -> object:
        """Hold the offered deltas or table if they are newer than the held version."""


class _Replication(Enum):
    """Outcome of a push to several nodes; a silent node answered neither the push nor a call."""

    ACKNOWLEDGED = auto()
    REFUSED = auto()
    SILENT = auto()


def link_between(own: NodeRecord, failure_domain: str, region: str) -> Link:
    """Return the link from the own node to a node in a failure domain and region."""
    if failure_domain == own.failure_domain:
        return Link.DOMAIN
    return Link.REGION if region == own.region else Link.CROSS_REGION


class Gossip:
    """Keeps the membership view and the held version consistent with those of the other nodes.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    view : MembershipView
        The view, which only this object changes.
    holder : VersionHolder
        Holds the table versions of the node.
    channels : PeerChannels
        Client side of the control port; started and closed together with this object.
    rng : random.Random
        Source of all random choices.
    seeds : SeedDirectory, optional
        Seeds in the store; without it, this node neither reads nor registers seeds there.

    Attributes
    ----------
    on_view_changed : Callable[[], None] or None
        Called shortly after the view has changed.
    on_previous_record : Callable[[NodeRecord], None] or None
        Called with the record of this node that a peer had before it received this node's `Join`.
    status_problems : Callable[[], tuple of str]
        Returns the problems to report in the status of this node.
    store_contact_age_s : Callable[[], float or None]
        Returns the seconds since the store last answered a read of the table; None before that.
    store_round_trip_s : Callable[[], float or None]
        Returns the round trip to the store in seconds; None if it is not known.
    read_newest_at : Callable[[], float or None]
        Returns the time, by the clock of `freshness`, of the last read of the store by this node
        after which the node held the newest version; None before the first.
    on_store_reading_changed : Callable[[], None]
        Called when a check changed whether this node reads the table from the store.
    on_allotment_request : Callable[[AllotmentRequest], AllotmentReply or None]
        Returns the shares of a node; None while this node does not divide.
    on_rollout_query : Callable[[RolloutStep], RolloutReport or None]
        Returns the report of this node about a service in a roll-out; None without roll-outs.
    """

    def __init__(
        self,
        settings: Settings,
        view: MembershipView,
        holder: VersionHolder,
        channels: PeerChannels,
        rng: random.Random,
        seeds: SeedDirectory | None = None,
    ) -> None:
        now = time.monotonic()
        own = view.own
        self._settings = settings
        self._view = view
        self._holder = holder
        self._channels = channels
        self._rng = rng
        self._seeds = seeds
        self._own_id = own.node_id
        self._server = PeerServer(
            self._serve, self._link_of, channels.byte_counts, channels.scheduler
        )
        self._join_server = JoinServer(view, settings.join_rate, rng, now)
        self._beacon_tracker = BeaconTracker(own.failure_domain, settings.beacon_timeout_s, now)
        self._domain_contacts = DomainContacts(settings.suspicion_s)
        self._updates = UpdateQueue(own.node_id, settings.push_rate, settings.push_delay_s, now)
        self._status_collector = StatusCollector(view, rng, self._call, self._own_status)
        self._table_push_tokens = TokenBucket(TABLE_PUSHES_PER_S, TABLE_PUSH_BURST, now)
        self._push_wakeup = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._joined = False
        self._closed = False
        self._beacon_counter = 0
        self._was_reader = False
        self._fallback_reader = False
        self._fallback_delay_s = rng.uniform(0.0, READER_FALLBACK_JITTER_S)
        self._election = ReaderElection(own.node_id, contact_limit_s(settings.watch_wait_s))
        self._isolation = IsolationTracker(now)
        self._isolated = asyncio.Event()
        self._version_lag = VersionLag()
        self._freshness = VersionFreshness()
        self._table_expected_until = 0.0
        self._catch_up_task: asyncio.Task[Any] | None = None
        self._pushed_version = holder.held_version
        self._notified_change_count = view.change_count
        self._notify_handle: asyncio.TimerHandle | None = None
        self._join_candidate_by_address: dict[Address, Seed] = {}
        self._join_candidate_added = asyncio.Event()
        self._declined_by_id: dict[str, NodeRecord] = {}
        self.on_view_changed: Callable[[], None] | None = None
        self.on_previous_record: Callable[[NodeRecord], None] | None = None
        self.status_problems: Callable[[], tuple[str, ...]] = tuple
        self.store_contact_age_s: Callable[[], float | None] = lambda: None
        self.store_round_trip_s: Callable[[], float | None] = lambda: None
        self.read_newest_at: Callable[[], float | None] = lambda: None
        self.on_store_reading_changed: Callable[[], None] = lambda: None
        self.on_allotment_request: Callable[[AllotmentRequest], AllotmentReply | None] = (
            lambda request: None
        )
        self.on_rollout_query: Callable[[RolloutStep], RolloutReport | None] = lambda step: None

    # Life cycle

    async def start(self) -> None:
        """Listen on the control port and start the periodic tasks."""
        bound = await self._server.start(self._settings.listen_control)
        if self._view.own.control_address.port == 0:
            advertised = Address(self._view.own.control_address.host, bound.port)
            self._view.update_own(control_address=advertised)
        self._channels.start()
        self._holder.on_held_version_raised = self._on_held_version_raised
        for loop in (
            self._sync_loop,
            self._cross_domain_sync_loop,
            self._push_loop,
            self._seed_loop,
            self._election_loop,
            self._isolation_loop,
        ):
            self._spawn(loop())

    async def close(self) -> None:
        """Stop all tasks and close the control sockets."""
        if self._closed:
            return
        self._closed = True
        self._holder.on_held_version_raised = None
        if self._notify_handle is not None:
            self._notify_handle.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._seeds is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await self._seeds.unregister()
        await self._channels.close()
        await self._server.close()

    def _spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("gossip_task_failed", node=self._own_id, exc_info=task.exception())

    # Interface to the node

    @property
    def byte_counts(self) -> Counter[ByteKey]:
        """Return the bytes of control messages by kind, link and direction."""
        return self._channels.byte_counts

    @property
    def is_joined(self) -> bool:
        """Tell whether `join` succeeded."""
        return self._joined

    def is_reader(self) -> bool:
        """Tell whether this node synchronises with the other domains and may read the store."""
        if not self._joined or self._view.own.state in (NodeState.LEAVING, NodeState.LEFT):
            return False
        readers = self._view.readers_of(self._view.own.failure_domain)
        return self._own_id in readers or self._reads_for_itself()

    def _reads_for_itself(self) -> bool:
        """Tell whether this node reads the store because it hears no reader, or no node at all."""
        return self._fallback_reader or self._isolation.is_isolated

    def store_reader_place(self) -> int | None:
        """Return the place of this node among the nodes of its region that read the store.

        Returns
        -------
        int or None
            0 for the first; None if this node does not read the store.
        """
        if not self.is_reader():
            return None
        if self._reads_for_itself():
            return READERS_PER_REGION
        return self._election.place(candidates(self._view))

    def reads_store(self) -> bool:
        """Tell whether this node reads the table from the store."""
        return self.store_reader_place() is not None

    @property
    def is_isolated(self) -> bool:
        """Tell whether no other node has replied for a while."""
        return self._isolation.is_isolated

    def reads_for_region(self) -> bool:
        """Tell whether this node reads the store, or would if no nearer region did."""
        if not self.is_reader():
            return False
        place = self._election.regional_place(candidates(self._view))
        return self._fallback_reader or place is not None

    def is_store_candidate(self) -> bool:
        """Tell whether this node reads the store for its region, or would if others failed."""
        return self.is_reader() and self._own_id in candidates(self._view).own_region

    def newest_at(self) -> float | None:
        """Return the last time at which the store is known to have held no newer version.

        Returns
        -------
        float or None
            Time in seconds of the clock of `freshness`, from the reads of this node and from what
            peers told of theirs; None if it is not known.
        """
        read_at = self.read_newest_at()
        if read_at is not None:
            self._freshness.note(self._holder.held_version, read_at)
        return self._freshness.newest_at(self._holder.held_version)

    def _newest_age_s(self) -> float | None:
        newest_at = self.newest_at()
        return None if newest_at is None else freshness.clock() - newest_at

    def ask_for_newest_version(self) -> None:
        """Ask one node for its version and for `newest_at`.

        This is a node of the own region. Those of other regions are asked so rarely that about one
        node of this region asks them at a time, because a link between regions may be narrow.
        """
        own_region = sum(record.region == self._view.own.region for record in self._view.records())
        scopes = [Scope.DOMAIN, Scope.REGION]
        self._rng.shuffle(scopes)
        scopes.insert(0 if self._rng.randrange(own_region) == 0 else 2, Scope.CROSS_REGION)
        for scope in scopes:
            peers = self._view.sample(self._rng, scope, 1)
            if peers:
                self._spawn(self._ask_version(peers[0]))
                return

    def publish(
        self,
        state: NodeState | None = None,
        targets: tuple[Target, ...] | None = None,
        rollouts: tuple[RolloutStep, ...] | None = None,
        divider_term: int | None = None,
        link_mbps: float | None = None,
        departures: tuple[Departure, ...] | None = None,
    ) -> NodeRecord:
        """Change the own record and queue it for the next push."""
        record = self._view.update_own(
            state,
            targets,
            rollouts=rollouts,
            divider_term=divider_term,
            link_mbps=link_mbps,
            departures=departures,
        )
        self._queue_records(record)
        return record

    async def ask(self, node_id: str, request: Any, timeout_s: float) -> Any | None:
        """Send a request to a node, or handle it here; None when there is no reply."""
        if node_id == self._own_id:
            reply = await self._handle(request)
            return None if isinstance(reply, Busy | Declined) else reply
        peer = self._view.get(node_id)
        if peer is None:
            return None
        outcome = await self._call(peer, request, timeout_s)
        return outcome.message if isinstance(outcome, Replied) else None

    async def leave(self) -> None:
        """Publish `leaving` unless it was published, then push `left` and wait for the replies."""
        if self._view.own.state not in (NodeState.LEAVING, NodeState.LEFT):
            self.publish(state=NodeState.LEAVING)
        record = self.publish(state=NodeState.LEFT)
        peers = self._view.sample(self._rng, Scope.DOMAIN, self._settings.push_fanout)
        peers += self._peers_in_other_domains() if self._was_reader else ()
        push = Push(self._own_id, records=(record,))
        await asyncio.gather(*(self._call(peer, push) for peer in peers))

    async def replicate(self) -> bool:
        """Push the held version to two nodes, nodes of the own failure domain first.

        When these do not answer, nodes of other domains and regions get it as well. The pushes of
        an isolated node go on in the background.

        Returns
        -------
        bool
            Whether one of them acknowledged the version or no other node is reachable. A node that
            is alone still has to follow the store.
        """
        deltas = self._holder.deltas_since(self._pushed_version) or ()
        push = Push(self._own_id, deltas=deltas)
        pushes = self._spawn(self._push_to_scopes(push, self._holder.held_version))
        isolated = self._spawn(self._isolated.wait())
        try:
            await asyncio.wait({pushes, isolated}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            isolated.cancel()
        if not pushes.done():
            return True
        outcomes = pushes.result()
        if _Replication.ACKNOWLEDGED in outcomes:
            return True
        return _Replication.REFUSED not in outcomes and not self._has_reachable_peer()

    async def _push_to_scopes(self, push: Push, version: int) -> list[_Replication]:
        """Push to two nodes of each scope, nearest first, until one holds at least `version`."""

        async def push_to_scope(scope: Scope) -> _Replication:
            peers = self._view.sample(self._rng, scope, REPLICA_COUNT)
            return await self._push_until_held(peers, push, version)

        return await start_in_turn(
            [partial(push_to_scope, scope) for scope in Scope],
            lambda outcome: outcome is _Replication.ACKNOWLEDGED,
            SILENT_PEER_DELAY_S,
            self._spawn,
        )

    def _has_reachable_peer(self) -> bool:
        others = (record.node_id for record in self._view.records())
        return any(i != self._own_id and self._view.is_reachable(i) for i in others)

    async def replicate_record(self) -> bool:
        """Push the own record to two nodes, nodes of the own failure domain first.

        Returns
        -------
        bool
            Whether one of them acknowledged the record; False when no other node is known.
        """
        push = Push(self._own_id, records=(self._view.own,))
        return _Replication.ACKNOWLEDGED in await self._push_to_scopes(push, 0)

    async def _push_until_held(
        self, peers: tuple[NodeRecord, ...], push: Push, version: int
    ) -> _Replication:
        """Push to all of `peers`, until one replies that it holds at least `version`."""
        results = asyncio.Queue[int | None]()

        async def push_to(peer: NodeRecord) -> None:
            results.put_nowait(await self._push_to(peer, push))

        for peer in peers:
            self._spawn(push_to(peer))
        outcome = _Replication.SILENT
        for _ in peers:
            held_version = await results.get()
            if held_version is not None and held_version >= version:
                return _Replication.ACKNOWLEDGED
            if held_version is not None:
                outcome = _Replication.REFUSED
        return outcome

    # Calls

    def _link_of(self, node_id: str) -> Link:
        record = self._view.get(node_id)
        if record is None:
            return Link.UNKNOWN
        return link_between(self._view.own, record.failure_domain, record.region)

    async def _call(
        self, peer: NodeRecord, request: Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> CallOutcome:
        link = link_between(self._view.own, peer.failure_domain, peer.region)
        outcome = await self._channels.call(peer.control_address, request, timeout_s, link)
        if isinstance(outcome, Replied | Busy) or outcome.reason is FailureReason.REFUSED:
            self._note_reply()
        return outcome

    def _record_contact(self, node_id: str) -> AgedAccusation | None:
        """Note a contact with a node; return the accusation that it has to refute, if any."""
        record = self._view.get(node_id)
        if record is None or node_id == self._own_id:
            return None
        self._domain_contacts.record_contact(record.failure_domain)
        accusation = self._view.confirm_reachable(node_id, time.monotonic())
        self._schedule_notification()
        return accusation

    # Updates: merging and pushing

    def _on_held_version_raised(self) -> None:
        self._updates.add_version()
        self._push_wakeup.set()

    def _queue_records(self, *records: NodeRecord) -> None:
        self._updates.add_records(records)
        self._push_wakeup.set()
        self._schedule_notification()

    def _merge_records(
        self, records: Sequence[NodeRecord], left_age_by_id: Any, spread: bool
    ) -> None:
        merged = self._view.merge(records, time.monotonic(), left_age_by_id)
        own = [record for record in merged if record.node_id == self._own_id]
        if own:
            log.warning("own_stamp_raised", node=self._own_id, stamp=str(own[0].stamp))
        if spread and merged:
            self._queue_records(*merged)
        elif own:
            self._queue_records(*own)
        self._schedule_notification()

    def _apply_accusations(self, accusations: Sequence[AgedAccusation]) -> None:
        now = time.monotonic()
        for item in accusations:
            outcome = self._view.accuse(item.accusation, now, item.age_s)
            if outcome is AccusationOutcome.NEW:
                self._updates.add_accusation(item, now)
                self._push_wakeup.set()
            elif outcome is AccusationOutcome.REFUTED:
                log.info("accusation_refuted", node=self._own_id)
                self._queue_records(self._view.own)

    def _apply_beacons(self, beacons: Sequence[Beacon]) -> None:
        now = time.monotonic()
        if self._beacon_tracker.merge(beacons, now):
            self._updates.add_beacons(self._beacon_tracker.fresh(now))
            self._push_wakeup.set()
        self._apply_cut_domains(now)

    def _apply_cut_domains(self, now: float) -> None:
        readers = self._view.readers_of(self._view.own.failure_domain)
        cut_since_by_domain = self._beacon_tracker.cut_since_by_domain(readers, now)
        if cut_since_by_domain is not None:
            self._view.set_cut_domains(cut_since_by_domain)
            self._schedule_notification()

    def _schedule_notification(self) -> None:
        if (
            self._view.change_count == self._notified_change_count
            or self._notify_handle is not None
        ):
            return
        loop = asyncio.get_running_loop()
        self._notify_handle = loop.call_later(NOTIFY_DELAY_S, self._notify_view_changed)

    def _notify_view_changed(self) -> None:
        self._notify_handle = None
        self._notified_change_count = self._view.change_count
        if self.on_view_changed is not None and not self._closed:
            self.on_view_changed()

    async def _push_loop(self) -> None:
        while True:
            self._push_wakeup.clear()
            wait_s = self._updates.wait_s(time.monotonic())
            if wait_s == 0.0:
                self._push_batch(self._updates.take(time.monotonic()))
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._push_wakeup.wait()

    def _push_batch(self, batch: Batch) -> None:
        push = self._push_message(batch)
        fanout = self._settings.push_fanout + (VERSION_EXTRA_FANOUT if batch.has_new_version else 0)
        for peer in self._view.sample(self._rng, Scope.DOMAIN, fanout):
            self._spawn(self._push_to(peer, push))
        if self.is_reader():
            self._push_to_other_domains(self._own_domain_part(push), batch.has_new_version)

    def _push_to_other_domains(self, push: Push, has_new_version: bool) -> None:
        """Push records of the own domain, and a version that was read here, to the other domains.

        Only the nodes that read the store send versions, so that a version crosses a link between
        regions a small constant number of times.
        """
        if has_new_version and self.reads_store():
            for domain in self._other_domains():
                self._spawn(self._push_version_to_domain(domain, push))
        elif push.records or push.accusations:
            for peer in self._peers_in_other_domains():
                self._spawn(self._push_to(peer, replace(push, deltas=())))

    async def _push_version_to_domain(self, failure_domain: str, push: Push) -> None:
        """Push to one node of a failure domain; try others when it does not answer."""
        peers = self._view.sample_domain(self._rng, failure_domain, VERSION_PEERS_PER_DOMAIN)
        await start_in_turn(
            [partial(self._push_to, peer, push) for peer in peers],
            lambda held_version: held_version is not None,
            SILENT_PEER_DELAY_S,
            self._spawn,
        )

    def _push_message(self, batch: Batch) -> Push:
        deltas: tuple[Delta, ...] = ()
        if batch.has_new_version:
            deltas = self._holder.deltas_since(self._pushed_version) or ()
            self._pushed_version = self._holder.held_version
        return Push(
            self._own_id,
            deltas[-MAX_DELTAS_PER_MESSAGE:],
            batch.records,
            self._view.left_ages(batch.records, time.monotonic()),
            batch.accusations,
            batch.beacons,
        )

    def _own_domain_part(self, push: Push) -> Push:
        # Only the readers of a failure domain send its records and accusations to other domains, so
        # that a record crosses a link between regions a small constant number of times.
        domain = self._view.own.failure_domain
        return replace(
            push,
            records=tuple(item for item in push.records if item.failure_domain == domain),
            accusations=tuple(
                item
                for item in push.accusations
                if self._is_in_domain(item.accusation.node_id, domain)
            ),
            beacons=(),
        )

    def _is_in_domain(self, node_id: str, failure_domain: str) -> bool:
        record = self._view.get(node_id)
        return record is not None and record.failure_domain == failure_domain

    def _peers_in_other_domains(self) -> tuple[NodeRecord, ...]:
        """Choose one node of each other failure domain."""
        return tuple(
            peer
            for domain in self._other_domains()
            for peer in self._view.sample_domain(self._rng, domain, 1)
        )

    def _other_domains(self) -> tuple[str, ...]:
        same_region = self._view.other_domains(Scope.REGION)
        return same_region + self._view.other_domains(Scope.CROSS_REGION)

    async def _push_to(self, peer: NodeRecord, push: Push) -> int | None:
        outcome = await self._call(peer, push)
        if not isinstance(outcome, Replied):
            return None
        held_version: int = outcome.message.held_version
        self._note_version(held_version, peer.node_id)
        if held_version < self._holder.held_version:
            return await self._send_missing_versions(peer, held_version)
        self._catch_up_with(peer, held_version)
        return held_version

    def _catch_up_with(self, peer: NodeRecord, held_version: int) -> None:
        """Ask a peer that holds a newer version for it, unless this node is already asking one."""
        asking = self._catch_up_task is not None and not self._catch_up_task.done()
        if held_version > self._holder.held_version and not asking:
            self._catch_up_task = self._spawn(self._sync_once(peer))

    async def _send_missing_versions(self, peer: NodeRecord, held_version: int) -> int | None:
        """Send a peer the versions after `held_version`; return the version that it holds then.

        The result is None when the peer does not reply, and `held_version` when the rate limit on
        whole tables does not allow the push.
        """
        deltas = self._holder.deltas_since(held_version)
        request: Any
        if deltas and len(deltas) <= MAX_DELTAS_PER_MESSAGE:
            request = Push(self._own_id, deltas=deltas)
        elif self._table_push_tokens.take(time.monotonic()):
            request = PushTable(self._own_id, self._holder.held_table)
        else:
            return held_version
        outcome = await self._call(peer, request, TABLE_TIMEOUT_S)
        return outcome.message.held_version if isinstance(outcome, Replied) else None

    def _offer_deltas(self, deltas: tuple[Delta, ...], source: str) -> None:
        if deltas and deltas[-1].version > self._holder.held_version:
            self._holder.offer(OfferDeltas(deltas))
            self._log_received_version(source, "deltas")

    def _log_received_version(self, source: str, form: str) -> None:
        log.info(
            EventName.VERSION_RECEIVED,
            source=source,
            form=form,
            held=self._holder.held_version,
            in_force=self._holder.in_force_version,
        )

    # Synchronisation and failure detection within the own failure domain

    async def _sync_loop(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(self._settings.sync_interval_s))
            self._run_periodic_checks(time.monotonic())
            if not self._joined:
                continue
            for peer in self._view.sample(self._rng, Scope.DOMAIN, 1):
                self._spawn(self._sync_and_detect_failure(peer))
            if self._rng.randrange(INTERVALS_PER_UNREACHABLE_SYNC) == 0:
                domain = self._view.own.failure_domain
                for peer in self._view.sample_unreachable(self._rng, domain, 1):
                    self._spawn(self._sync_once(peer))

    def _jittered(self, seconds: float) -> float:
        return seconds * self._rng.uniform(
            1.0 - INTERVAL_JITTER_FRACTION, 1.0 + INTERVAL_JITTER_FRACTION
        )

    def _note_version(self, version: int, source: str) -> None:
        self._version_lag.note_known(
            version, source, self._holder.in_force_version, time.monotonic()
        )

    def _log_version_lag(self, now: float) -> None:
        held, in_force = self._holder.held_version, self._holder.in_force_version
        self._note_version(held, self._own_id)
        event = self._version_lag.check(in_force, now)
        if isinstance(event, FellBehind):
            log.warning(
                EventName.VERSION_BEHIND,
                known=event.version,
                source=event.source,
                held=held,
                in_force=in_force,
                waits_for="activation" if held >= event.version else "transfer",
                lag_ms=int(event.lag_s * 1000),
            )
        elif isinstance(event, CaughtUp):
            log.info(
                EventName.VERSION_CAUGHT_UP,
                version=event.version,
                lag_ms=int(event.lag_s * 1000),
            )

    def version_lag_s(self) -> float:
        """Return the seconds since a newer version than the one in force is known; 0 if none is."""
        return self._version_lag.lag_s(self._holder.in_force_version, time.monotonic())

    def _run_periodic_checks(self, now: float) -> None:
        self._view.expire(now)
        self._log_version_lag(now)
        self._update_reader_role(now)
        self._apply_cut_domains(now)
        self._schedule_notification()

    def _update_reader_role(self, now: float) -> None:
        self._update_fallback_role(now)
        reader = self.is_reader()
        if reader and not self._was_reader:
            log.info("reader_started", node=self._own_id, fallback=self._fallback_reader)
            self._domain_contacts.adopt(self._view.cut_domains())
        elif self._was_reader and not reader:
            log.info("reader_stopped", node=self._own_id)
            self._domain_contacts.clear()
        self._was_reader = reader
        if reader:
            self._beacon_counter += 1
            incarnation = self._view.own.stamp.incarnation
            cuts = self._domain_contacts.cut_domains(now)
            self._apply_beacons((Beacon(self._own_id, incarnation, self._beacon_counter, cuts),))

    def _update_fallback_role(self, now: float) -> None:
        limit_s = self._settings.beacon_timeout_s + self._fallback_delay_s
        if self._beacon_tracker.since_last_beacon_s(now) > limit_s:
            self._fallback_reader = True
        elif self._fallback_reader:
            # Beacons are in the order of rank: a reader of lower rank ends the fallback.
            fresh = self._beacon_tracker.fresh(now)
            self._fallback_reader = not fresh or fresh[0].node_id == self._own_id

    def _sync_request(self, peer: NodeRecord) -> Sync:
        now = time.monotonic()
        own = self._view.own
        same_domain = peer.failure_domain == own.failure_domain
        return Sync(
            self._own_id,
            own.failure_domain,
            self._holder.held_version,
            self._view.root_hash(),
            self._beacon_tracker.fresh(now) if same_domain else (),
            self._sample_accusations(peer.node_id, now),
            own.control_address,
        )

    def _sample_accusations(self, node_id: str, now: float) -> tuple[AgedAccusation, ...]:
        return self._view.sample_accusations(self._rng, MAX_ACCUSATIONS_PER_SYNC, node_id, now)

    async def _sync_once(self, peer: NodeRecord) -> bool:
        """Synchronise with a peer; return whether it answered, with a reply or a refusal."""
        sent_at = freshness.clock()
        outcome = await self._call(peer, self._sync_request(peer))
        if not isinstance(outcome, Replied):
            # A peer that refuses a call is running.
            return isinstance(outcome, Busy) or outcome.reason is FailureReason.REFUSED
        reply: SyncReply = outcome.message
        if reply.node_id != peer.node_id:
            return False  # another node has taken over the address
        self._freshness.note_reply(reply.held_version, reply.newest_age_s, sent_at)
        accusation = self._record_contact(peer.node_id)
        self._apply_accusations(reply.accusations)
        if peer.failure_domain == self._view.own.failure_domain:
            self._apply_beacons(reply.beacons)
        await self._exchange_versions(peer, reply)
        if accusation is not None:
            await self._call(peer, Push(self._own_id, accusations=(accusation,)))
        if reply.root_hash != self._view.root_hash():
            await self._reconcile_records(peer)
        return True

    async def _exchange_versions(self, peer: NodeRecord, reply: SyncReply) -> None:
        self._note_version(reply.held_version, peer.node_id)
        self._offer_deltas(reply.deltas, peer.node_id)
        held_version = self._holder.held_version
        if reply.held_version > held_version:
            await self._fetch_table(peer)
        elif reply.held_version < held_version:
            await self._send_missing_versions(peer, reply.held_version)

    async def _fetch_table(self, peer: NodeRecord) -> None:
        """Fetch the table of a peer, unless another copy was requested just before.

        A transfer that takes longer does not hold up others, because its sender may be gone.
        """
        now = time.monotonic()
        if now < self._table_expected_until:
            return
        self._table_expected_until = now + CALL_TIMEOUT_S
        try:
            outcome = await self._call(peer, FetchTable(self._own_id), TABLE_TIMEOUT_S)
        finally:
            self._table_expected_until = 0.0
        if isinstance(outcome, Replied) and outcome.message.table is not None:
            self._offer_table(outcome.message.table, peer.node_id)

    def _offer_table(self, table: Table, source: str) -> None:
        if table.version > self._holder.held_version:
            self._holder.offer(OfferTable(table))
            self._log_received_version(source, "table")

    async def _reconcile_records(self, peer: NodeRecord) -> None:
        """Exchange records in which the views differ, within the limits of `comparison`."""
        outcome = await self._call(peer, comparison.bucket_request(self._view))
        if not isinstance(outcome, Replied):
            return
        request = comparison.stamp_request(self._view, outcome.message, self._rng)
        if request is None:
            return
        outcome = await self._call(peer, request)
        if not isinstance(outcome, Replied):
            return
        reply: CompareStampsReply = outcome.message
        # Records from another failure domain are pushed on within the own one.
        spread = peer.failure_domain != self._view.own.failure_domain
        self._merge_records(reply.records, reply.left_age_by_id, spread)
        wanted = [record for i in reply.wanted if (record := self._view.get(i)) is not None]
        records = comparison.limit_to_exchange(wanted)
        if records:
            ages = self._view.left_ages(records, time.monotonic())
            push = Push(self._own_id, (), records, ages)
            await self._call(peer, push)

    async def _sync_and_detect_failure(self, peer: NodeRecord) -> None:
        """Synchronise with a peer; accuse it when it answers neither this nor any probe."""
        started = time.monotonic()
        if await self._sync_once(peer):
            return
        relays = self._view.sample(
            self._rng, Scope.DOMAIN, PROBE_RELAY_COUNT, frozenset((peer.node_id,))
        )
        probe = Probe(self._own_id, peer.node_id, peer.control_address)
        direct, *answers = await asyncio.gather(
            self._ping(peer.node_id, peer.control_address),
            *(self._call(relay, probe, 2 * PROBE_TIMEOUT_S) for relay in relays),
        )
        replies = [answer.message for answer in answers if isinstance(answer, Replied)]
        if direct or any(reply.reached for reply in replies):
            self._record_contact(peer.node_id)
            return
        # After a pause of this process, calls time out although their replies have arrived.
        if (
            time.monotonic() - started
            > CALL_TIMEOUT_S + 2 * PROBE_TIMEOUT_S + PROBE_LATENESS_LIMIT_S
        ):
            return
        # If no relay answers either, this node may be the isolated one, so it does not spread the
        # accusation.
        self._accuse(peer, spread=bool(replies) or not relays)

    def _accuse(self, peer: NodeRecord, spread: bool) -> None:
        now = time.monotonic()
        accusation = Accusation(peer.node_id, peer.stamp)
        outcome = self._view.accuse(accusation, now, spread=spread)
        if outcome is AccusationOutcome.NEW:
            log.info("node_accused", node=self._own_id, accused=peer.node_id, spread=spread)
            if spread:
                self._updates.add_accusation(AgedAccusation(accusation, 0.0), now)
                self._push_wakeup.set()

    async def _ping(self, node_id: str, address: Address) -> bool:
        outcome = await self._channels.call(
            address, Ping(self._own_id), PROBE_TIMEOUT_S, self._link_of(node_id)
        )
        return isinstance(outcome, Replied) and outcome.message.node_id == node_id

    # Isolation

    async def _isolation_loop(self) -> None:
        """Ask some peers when none has replied for a while; become isolated if none answers."""
        while True:
            wait_s = self._isolation.wait_s(time.monotonic())
            if not self._joined or not self._has_reachable_peer():
                wait_s = max(wait_s, self._settings.sync_interval_s)
            if wait_s:
                await asyncio.sleep(wait_s)
                continue
            started_at = time.monotonic()
            peers = self._view.sample(self._rng, Scope.DOMAIN, ISOLATION_PROBES)
            for scope in (Scope.REGION, Scope.CROSS_REGION):
                peers += self._view.sample(self._rng, scope, ISOLATION_PROBES)
            probes = [self._call(p, Ping(self._own_id), ISOLATION_PROBE_TIMEOUT_S) for p in peers]
            await asyncio.gather(*probes, asyncio.sleep(ISOLATION_PROBE_TIMEOUT_S))
            self._isolation.note_probes_ended(started_at)
            if self._isolation.is_isolated and not self._isolated.is_set():
                self._isolated.set()
                log.warning(EventName.ISOLATION_CHANGED, node=self._own_id, isolated=True)
                self.on_store_reading_changed()

    def _note_reply(self) -> None:
        self._isolation.note_reply(time.monotonic())
        if self._isolated.is_set():
            self._isolated.clear()
            log.warning(EventName.ISOLATION_CHANGED, node=self._own_id, isolated=False)
            self.on_store_reading_changed()

    # Nodes that read the store

    async def _election_loop(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(CHECK_INTERVAL_S))
            if self.is_reader():
                self._check_candidates()

    def _check_candidates(self) -> None:
        """Check the nodes on which it depends whether this one reads the store.

        Each check ends by itself, so that a node that does not answer does not hold up the others.
        """
        for node_id in self._election.to_check(candidates(self._view)):
            peer = self._view.get(node_id)
            if peer is not None:
                self._spawn(self._check_candidate(peer))

    async def _check_candidate(self, peer: NodeRecord) -> None:
        contact = await self._ask_store_contact(peer)
        read_before = self.reads_store()
        self._election.set_contact(
            peer.node_id, contact, self.store_round_trip_s(), time.monotonic()
        )
        if self.reads_store() is not read_before:
            log.info(EventName.STORE_READING_CHANGED, node=self._own_id, reads=not read_before)
            self.on_store_reading_changed()

    async def _ask_store_contact(self, peer: NodeRecord) -> StoreContact | None:
        outcome = await self._call(peer, Ping(self._own_id))
        if not isinstance(outcome, Replied) or outcome.message.node_id != peer.node_id:
            return None
        pong: Pong = outcome.message
        self._catch_up_with(peer, pong.held_version)
        return pong.store_contact

    def _reported_store_contact(self) -> StoreContact | None:
        """Return the contact that keeps other candidates from reading the store, if any."""
        age_s = self._election.nearer_contact_age_s(candidates(self._view), time.monotonic())
        if age_s is None:
            age_s = self.store_contact_age_s()
        if age_s is None or not self.reads_for_region():
            return None
        return StoreContact(age_s, self.store_round_trip_s())

    # Synchronisation with the other failure domains

    async def _cross_domain_sync_loop(self) -> None:
        next_cross_region = 0.0
        while True:
            await asyncio.sleep(self._jittered(self._settings.sync_interval_s))
            if not self.is_reader():
                continue
            domains = set(self._domain_contacts.failing_domains())
            domains.update(self._choose_at_most_one(self._view.other_domains(Scope.REGION)))
            if time.monotonic() >= next_cross_region:
                interval_s = self._jittered(self._settings.cross_region_interval_s)
                next_cross_region = time.monotonic() + interval_s
                domains.update(
                    self._choose_at_most_one(self._view.other_domains(Scope.CROSS_REGION))
                )
            for domain in sorted(domains):
                self._spawn(self._sync_with_domain(domain))

    def _choose_at_most_one(self, domains: Sequence[str]) -> tuple[str, ...]:
        return (self._rng.choice(domains),) if domains else ()

    async def _sync_with_domain(self, failure_domain: str) -> None:
        peers = self._view.sample_domain(self._rng, failure_domain, PEERS_TRIED_PER_DOMAIN)
        if not peers or await self._sync_once(peers[0]):
            return
        others = await asyncio.gather(*(self._sync_once(peer) for peer in peers[1:]))
        if not any(others):
            self._domain_contacts.record_failure(failure_domain, time.monotonic())

    # Seeds and joining

    async def _seed_loop(self) -> None:
        if self._seeds is None:
            return
        registered = False
        intervals = 0
        while True:
            intervals = intervals + 1 if self.reads_for_region() else 0
            if intervals > INTERVALS_BEFORE_REGISTRATION:
                registered = (
                    await self._seeds.register(self._view.own.control_address) or registered
                )
                await self._join_unknown_seeds()
                await asyncio.sleep(self._jittered(SEED_REFRESH_INTERVAL_S))
                continue
            if registered and not intervals:
                await self._seeds.unregister()
                registered = False
            await asyncio.sleep(self._settings.sync_interval_s)

    async def _join_unknown_seeds(self) -> None:
        """Join at seeds whose addresses are not in the view, to merge fleets founded separately."""
        assert self._seeds is not None
        known = {record.control_address for record in self._view.records()}
        seeds = await self._seeds.read(allow_stale=True) or ()
        await asyncio.gather(*(self._join_at(seed) for seed in seeds if seed.address not in known))

    async def _invite_seeds(self) -> None:
        """Send `Join` to the seeds in the store until they answer.

        A seed that has founded a fleet as well replies, which merges the fleets. One that is about
        to join joins at this node. After a loss of all nodes, most seeds start later than the
        founder of the fleet, and the other nodes look for them.
        """
        assert self._seeds is not None
        known = {record.control_address for record in self._view.records()}
        for seed in await self._seeds.read(allow_stale=True) or ():
            if seed.address not in known:
                self._spawn(self._invite_seed(seed))

    async def _invite_seed(self, seed: Seed) -> None:
        until = time.monotonic() + SEEDS_JOINING_WAIT_S
        while time.monotonic() < until:
            outcome = await self._join_at(seed)
            declined = isinstance(outcome, Failed) and outcome.reason is FailureReason.REFUSED
            if isinstance(outcome, Replied) or declined:
                return
            await asyncio.sleep(self._jittered(SEED_INVITATION_INTERVAL_S))

    async def join(self) -> JoinOutcome:
        """Get all records and the table from a peer; see `Joiner.run`."""
        joiner = Joiner(
            self._settings,
            self._view,
            self._rng,
            self._seeds,
            self._join_at,
            self._ask_version,
            self._take_join_candidates,
            self._wait_for_join_candidate,
            self.store_round_trip_s,
        )
        outcome = await joiner.run()
        self._joined = True
        self._queue_records(self._view.own)
        self._invite_declined()
        if isinstance(outcome, Founded) and self._seeds is not None:
            self._spawn(self._invite_seeds())
        log.info(
            "joined", node=self._own_id, records=len(self._view), outcome=type(outcome).__name__
        )
        return outcome

    def _remember_declined(self, request: Join) -> None:
        """Remember the sender of a `Join` that is declined because this node has not joined yet.

        A sender that has not joined either is invited later. A sender that has joined becomes a
        join candidate of this node.
        """
        record = request.record
        if not request.has_joined:
            self._declined_by_id[record.node_id] = record
            return
        seed = Seed(record.failure_domain, record.control_address, record.region)
        self._join_candidate_by_address[seed.address] = seed
        self._join_candidate_added.set()

    def _invite_declined(self) -> None:
        """Send `Sync` to nodes whose `Join` was declined, which then join without further delay.

        This is how nodes that were killed together find the first of them that has joined again. At
        most as many nodes are invited as join replies are allowed in a second; an invited node then
        invites those that it declined itself.
        """
        declined, self._declined_by_id = self._declined_by_id, {}
        for record in list(declined.values())[: max(1, int(self._settings.join_rate))]:
            if not self._view.is_reachable(record.node_id):
                self._spawn(self._call(record, self._sync_request(record)))

    async def _join_at(self, seed: Seed) -> CallOutcome:
        request = Join(self._own_id, self._view.own, self._joined)
        domain = self._view.own.failure_domain
        link = Link.DOMAIN if seed.failure_domain == domain else Link.UNKNOWN
        sent_at = freshness.clock()
        outcome = await self._channels.call(seed.address, request, JOIN_TIMEOUT_S, link)
        if isinstance(outcome, Replied):
            reply: JoinReply = outcome.message
            self._freshness.note_reply(reply.held_version, reply.newest_age_s, sent_at)
            try:
                await self._apply_join_reply(reply)
            except (ValueError, zlib.error) as error:
                return Failed(FailureReason.BAD_REPLY, str(error))
        return outcome

    def _handle_join_candidate(self, request: Sync) -> None:
        """Remember the sender of a `Sync` as a join candidate, or join at it if it is unknown.

        A node that is restarted while the store is unavailable finds the other nodes this way.
        Until it has joined, every sender is a join candidate, even if it is in the view already:
        pushed records add nodes to the view without a join.
        """
        address = request.control_address
        if address is None:
            return
        seed = Seed(request.failure_domain, address)
        if not self._joined:
            self._join_candidate_by_address[address] = seed
            self._join_candidate_added.set()
        elif self._view.get(request.sender) is None:
            self._spawn(self._join_at(seed))

    async def _wait_for_join_candidate(self, timeout_s: float) -> None:
        """Return when there is a join candidate, or after `timeout_s` seconds."""
        if self._join_candidate_by_address:
            return  # added since the candidates were taken
        self._join_candidate_added.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._join_candidate_added.wait()

    def _take_join_candidates(self) -> tuple[Seed, ...]:
        seeds = tuple(self._join_candidate_by_address.values())
        self._join_candidate_by_address.clear()
        return seeds

    async def _apply_join_reply(self, reply: JoinReply) -> None:
        if reply.previous is not None and self.on_previous_record is not None:
            self.on_previous_record(reply.previous)
        for data in reply.pieces:
            piece = unpack(data, RecordPiece)
            self._merge_records(piece.records, piece.left_age_by_id, spread=False)
            await asyncio.sleep(0)  # unpacking all pieces at once would block the event loop
        self._view.merge_rollout_steps(reply.rollouts)
        if reply.table:
            self._offer_table(unpack(reply.table, Table), reply.node_id)
        self._apply_accusations(reply.accusations)
        self._apply_beacons(reply.beacons)

    async def _ask_version(self, peer: NodeRecord) -> int | None:
        sent_at = freshness.clock()
        outcome = await self._call(peer, self._sync_request(peer))
        if not isinstance(outcome, Replied) or outcome.message.node_id != peer.node_id:
            return None
        reply: SyncReply = outcome.message
        self._freshness.note_reply(reply.held_version, reply.newest_age_s, sent_at)
        self._record_contact(peer.node_id)
        # A table may take long. It is applied also when it arrives later.
        exchange = self._spawn(self._exchange_versions(peer, reply))
        await asyncio.wait({exchange}, timeout=CALL_TIMEOUT_S)
        return reply.held_version

    # Status

    async def collect_status(self) -> tuple[NodeStatus, ...]:
        """Ask each node of the own domain, and one node of each other domain for its domain."""
        return await self._status_collector.collect_fleet()

    def _own_status(self) -> NodeStatus:
        own = self._view.own
        return NodeStatus(
            self._own_id,
            own.failure_domain,
            own.region,
            own.state,
            own.stamp,
            True,
            self._holder.held_version,
            self._holder.in_force_version,
            self.status_problems(),
        )

    # Handlers of requests from other nodes

    async def _serve(self, request: Any) -> Any:
        return await self._handle(request)

    @singledispatchmethod
    async def _handle(self, request: Any) -> Any:
        raise TypeError(f"no handler for {type(request).__name__}")

    @_handle.register
    async def _(self, request: Sync) -> SyncReply:
        self._handle_join_candidate(request)
        self._note_version(request.held_version, request.sender)
        accusation = self._record_contact(request.sender)
        self._apply_accusations(request.accusations)
        own = self._view.own
        same_domain = request.failure_domain == own.failure_domain
        if same_domain:
            self._apply_beacons(request.beacons)
        now = time.monotonic()
        accusations = self._sample_accusations(request.sender, now)
        if accusation is not None:
            accusations = (accusation, *accusations)
        deltas: tuple[Delta, ...] = ()
        # The delta from nothing is a whole table. A node that holds none fetches one copy of it,
        # instead of receiving one from each node that it asks.
        if 0 < request.held_version < self._holder.held_version:
            deltas = self._holder.deltas_since(request.held_version) or ()
        return SyncReply(
            self._own_id,
            self._holder.held_version,
            self._view.root_hash(),
            self._beacon_tracker.fresh(now) if same_domain else (),
            accusations,
            deltas if len(deltas) <= MAX_DELTAS_PER_MESSAGE else (),
            self._newest_age_s(),
        )

    @_handle.register
    async def _(self, request: CompareBuckets) -> CompareBucketsReply:
        return comparison.bucket_reply(self._view, request, self._rng)

    @_handle.register
    async def _(self, request: CompareStamps) -> CompareStampsReply:
        return comparison.stamp_reply(self._view, request, time.monotonic())

    @_handle.register
    async def _(self, request: Push) -> PushReply:
        self._record_contact(request.sender)
        if request.deltas:
            self._note_version(request.deltas[-1].version, request.sender)
        self._offer_deltas(request.deltas, request.sender)
        self._merge_records(request.records, request.left_age_by_id, spread=True)
        self._apply_accusations(request.accusations)
        self._apply_beacons(request.beacons)
        return PushReply(self._holder.held_version)

    @_handle.register
    async def _(self, request: PushTable) -> PushReply:
        self._offer_table(request.table, request.sender)
        return PushReply(self._holder.held_version)

    @_handle.register
    async def _(self, request: Probe) -> ProbeReply:
        return ProbeReply(await self._ping(request.node_id, request.address))

    @_handle.register
    async def _(self, request: Ping) -> Pong:
        return Pong(self._own_id, self._holder.held_version, self._reported_store_contact())

    @_handle.register
    async def _(self, request: Join) -> JoinReply | Busy | Declined:
        if not self._joined:
            self._remember_declined(request)
            return Declined("this node has not joined yet")
        busy = self._join_server.admit(time.monotonic())
        if busy is not None:
            return busy
        previous = self._view.get(request.sender)
        self._merge_records((request.record,), {}, spread=True)
        same_domain = request.record.failure_domain == self._view.own.failure_domain
        now = time.monotonic()
        pieces = await self._join_server.pieces(now)
        return JoinReply(
            self._own_id,
            self._holder.held_version,
            self._table_for_join(request.record),
            pieces,
            self._view.accusations(now),
            self._beacon_tracker.fresh(now) if same_domain else (),
            previous,
            self._newest_age_s(),
            self._view.rollout_steps(),
        )

    def _table_for_join(self, joining: NodeRecord) -> bytes:
        """Return the packed table for a node of the own region; empty for one of another region.

        Copies of the table for many nodes that join at once would fill a narrow link between
        regions. A node that gets none asks the nodes near it for their versions next.
        """
        if joining.region != self._view.own.region:
            return b""
        return self._join_server.table(self._holder.table_for_replies)

    @_handle.register
    async def _(self, request: FetchTable) -> FetchTableReply:
        has_table = self._holder.held_version > 0
        return FetchTableReply(self._holder.table_for_replies if has_table else None)

    @_handle.register
    async def _(self, request: RolloutQuery) -> RolloutReport | Declined:
        self._view.merge_rollout_steps((request.step,))
        self._schedule_notification()
        report = self.on_rollout_query(request.step)
        return report if report is not None else Declined("roll-outs are not in use")

    @_handle.register
    async def _(self, request: AllotmentRequest) -> AllotmentReply | Declined:
        reply = self.on_allotment_request(request)
        return reply if reply is not None else Declined("this node does not divide allotments")

    @_handle.register
    async def _(self, request: StatusRequest) -> StatusReply:
        if request.scope is StatusScope.DOMAIN:
            return StatusReply(await self._status_collector.collect_domain())
        return StatusReply((self._own_status(),))
