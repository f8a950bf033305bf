"""Spreads table versions and node records between nodes, and detects failed nodes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import zlib
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, Protocol

import structlog

from jaypost import comparison
from jaypost.beacons import BeaconBoard, DomainContacts
from jaypost.config import OfferDeltas, OfferTable
from jaypost.joining import Founded, Joiner, JoinOutcome, JoinServer
from jaypost.messages import (
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
    StatusReply,
    StatusRequest,
    StatusScope,
    Sync,
    SyncReply,
)
from jaypost.news import Batch, NewsQueue, TokenBucket
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
from jaypost.records import Accusation, Address, Delta, NodeRecord, NodeState, Table, Target
from jaypost.seeds import Seed, SeedDirectory
from jaypost.settings import Settings
from jaypost.status import StatusCollector
from jaypost.view import AccusationOutcome, AgedAccusation, MembershipView, Scope

log = structlog.get_logger(__name__)

CALL_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
JOIN_TIMEOUT_S = 10.0
TABLE_TIMEOUT_S = 5.0
PROBE_RELAYS = 2
BRIDGE_TRIES = 3
REPLICAS = 2
READER_FALLBACK_JITTER_S = 5.0
SYNC_JITTER = 0.1
# One more sync in this many goes to an unreachable node, to find out that it is back.
UNREACHABLE_SYNC_ONE_IN = 2
ACCUSATIONS_PER_SYNC = 4
# A push to 4 nodes by each node misses about 2% of them, and a push to 6 about 0.25%. Versions are
# rare, and the nodes that are missed wait for their next sync.
VERSION_EXTRA_FANOUT = 2
DELTAS_PER_REPLY = 32
# Whole tables are about 30 KB; the bound keeps a node with many outdated peers below its share.
TABLE_RATE = 0.5
TABLE_BURST = 4.0
SEED_INTERVAL_S = 20.0
# Changes of the view within this time lead to one notification.
NOTIFY_DELAY_S = 0.02
LATE_S = 1.0


class Holder(Protocol):
    """The part of `ConfigHolder` that gossip uses."""

    on_news: Callable[[], None] | None

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
    def shared_table(self) -> Table:
        """Return the table for nodes that have none."""

    def deltas_since(self, version: int) -> tuple[Delta, ...] | None:
        """Return the deltas after a version, or None when a whole table is needed."""

    def offer(self, message: Any, activate: bool = True) -> object:
        """Take over deltas or a table, if they are newer."""


def link_between(own: NodeRecord, failure_domain: str, region: str) -> Link:
    """Return the link from the own node to a node of a domain and region."""
    if failure_domain == own.failure_domain:
        return Link.DOMAIN
    return Link.REGION if region == own.region else Link.CROSS_REGION


class Gossip:
    """Task that keeps the view and the held version in step with the other nodes.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    view : MembershipView
        The view, which only this object changes.
    holder : Holder
        Configuration holder.
    channels : PeerChannels
        Client side of the control port; started and closed together with this object.
    rng : random.Random
        Source of all random choices.
    seeds : SeedDirectory, optional
        Seeds in the store.
    """

    def __init__(
        self,
        settings: Settings,
        view: MembershipView,
        holder: Holder,
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
        self._server = PeerServer(self._serve, self._link_of, channels.byte_counts)
        self._join_server = JoinServer(view, settings.join_rate, rng, now)
        self._board = BeaconBoard(own.failure_domain, settings.beacon_timeout_s, now)
        self._contacts = DomainContacts(settings.suspicion_s)
        self._news = NewsQueue(own.node_id, settings.push_rate, settings.push_delay_s, now)
        self._statuses = StatusCollector(view, rng, self._call, self._own_status)
        self._tables = TokenBucket(TABLE_RATE, TABLE_BURST, now)
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[object]] = set()
        self._joined = False
        self._closed = False
        self._beacon_counter = 0
        self._was_reader = False
        self._fallback_reader = False
        self._fallback_delay_s = rng.uniform(0.0, READER_FALLBACK_JITTER_S)
        self._pushed_version = holder.held_version
        self._notified_changes = view.changes
        self._notify_handle: asyncio.TimerHandle | None = None
        self._introduced_by_address: dict[Address, Seed] = {}
        self._introduced = asyncio.Event()
        self._declined_by_id: dict[str, NodeRecord] = {}
        self.on_view_changed: Callable[[], None] | None = None
        self.on_previous_record: Callable[[NodeRecord], None] | None = None
        self.status_problems: Callable[[], tuple[str, ...]] = tuple

    # Life cycle

    async def start(self) -> None:
        """Listen on the control port and start the periodic work."""
        bound = await self._server.start(self._settings.listen_control)
        if self._view.own.control_address.port == 0:
            advertised = Address(self._view.own.control_address.host, bound.port)
            self._view.update_own(control_address=advertised)
        self._channels.start()
        self._holder.on_news = self._version_rose
        for loop in (self._sync_loop, self._bridge_loop, self._push_loop, self._seed_loop):
            self._spawn(loop())

    async def close(self) -> None:
        """Stop all work and close the control sockets."""
        if self._closed:
            return
        self._closed = True
        self._holder.on_news = None
        if self._notify_handle is not None:
            self._notify_handle.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._seeds is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await self._seeds.withdraw()
        await self._channels.close()
        await self._server.close()

    def _spawn(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[object]) -> None:
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
        """Tell whether this node watches the store and connects its domain to the others."""
        if not self._joined or self._view.own.state in (NodeState.LEAVING, NodeState.LEFT):
            return False
        readers = self._view.readers_of(self._view.own.failure_domain)
        return self._own_id in readers or self._fallback_reader

    def publish(
        self, state: NodeState | None = None, targets: tuple[Target, ...] | None = None
    ) -> NodeRecord:
        """Change the own record and push it."""
        record = self._view.update_own(state, targets)
        self._announce(record)
        return record

    async def leave(self) -> None:
        """Publish `leaving` unless done, then `left`, and wait until a few nodes know."""
        if self._view.own.state not in (NodeState.LEAVING, NodeState.LEFT):
            self.publish(state=NodeState.LEAVING)
        record = self.publish(state=NodeState.LEFT)
        peers = self._view.sample(self._rng, Scope.DOMAIN, self._settings.push_fanout)
        peers += self._bridge_peers() if self._was_reader else ()
        push = Push(self._own_id, records=(record,))
        await asyncio.gather(*(self._call(peer, push) for peer in peers))

    async def replicate(self) -> bool:
        """Push the held version to two nodes.

        Returns
        -------
        bool
            Whether one of them acknowledged, or there is no other node.
        """
        peers = self._nearest(REPLICAS)
        if not peers:
            return True
        version = self._holder.held_version
        deltas = self._holder.deltas_since(self._pushed_version) or ()
        return await self._push_until_held(peers, Push(self._own_id, deltas=deltas), version)

    async def replicate_record(self) -> bool:
        """Push the own record to two nodes; tell whether one of them acknowledged it."""
        peers = self._nearest(REPLICAS)
        return await self._push_until_held(peers, Push(self._own_id, records=(self._view.own,)), 0)

    async def _push_until_held(
        self, peers: tuple[NodeRecord, ...], push: Push, version: int
    ) -> bool:
        """Push to all of `peers`; return at the first that took it and holds `version`."""
        results = asyncio.Queue[bool]()

        async def push_to(peer: NodeRecord) -> None:
            held = await self._push_to(peer, push)
            results.put_nowait(held is not None and held >= version)

        for peer in peers:
            self._spawn(push_to(peer))
        for _ in peers:
            if await results.get():
                return True
        return False

    def _nearest(self, count: int) -> tuple[NodeRecord, ...]:
        for scope in Scope:
            peers = self._view.sample(self._rng, scope, count)
            if peers:
                return peers
        return ()

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
        return await self._channels.call(peer.control_address, request, timeout_s, link)

    def _contacted(self, node_id: str) -> AgedAccusation | None:
        record = self._view.get(node_id)
        if record is None or node_id == self._own_id:
            return None
        self._contacts.reached(record.failure_domain)
        accusation = self._view.confirm_reachable(node_id, time.monotonic())
        self._notify_soon()
        return accusation

    # News

    def _version_rose(self) -> None:
        self._news.add_version()
        self._wake.set()

    def _announce(self, *records: NodeRecord) -> None:
        self._news.add_records(records)
        self._wake.set()
        self._notify_soon()

    def _take_records(
        self, records: Sequence[NodeRecord], left_age_by_id: Any, spread: bool
    ) -> None:
        news = self._view.merge(records, time.monotonic(), left_age_by_id)
        own = [record for record in news if record.node_id == self._own_id]
        if own:
            log.warning("own_stamp_raised", node=self._own_id, stamp=str(own[0].stamp))
        if spread and news:
            self._announce(*news)
        elif own:
            self._announce(*own)
        self._notify_soon()

    def _take_accusations(self, accusations: Sequence[AgedAccusation]) -> None:
        now = time.monotonic()
        for item in accusations:
            outcome = self._view.accuse(item.accusation, now, item.age_s)
            if outcome is AccusationOutcome.NEW:
                self._news.add_accusation(item, now)
                self._wake.set()
            elif outcome is AccusationOutcome.REFUTED:
                log.info("accusation_refuted", node=self._own_id)
                self._announce(self._view.own)

    def _take_beacons(self, beacons: Sequence[Beacon]) -> None:
        now = time.monotonic()
        if self._board.hear(beacons, now):
            self._news.add_beacons(self._board.fresh(now))
            self._wake.set()
        self._apply_cut_domains(now)

    def _apply_cut_domains(self, now: float) -> None:
        readers = self._view.readers_of(self._view.own.failure_domain)
        cut_since_by_domain = self._board.cut_since_by_domain(readers, now)
        if cut_since_by_domain is not None:
            self._view.set_cut_domains(cut_since_by_domain)
            self._notify_soon()

    def _notify_soon(self) -> None:
        if self._view.changes == self._notified_changes or self._notify_handle is not None:
            return
        loop = asyncio.get_running_loop()
        self._notify_handle = loop.call_later(NOTIFY_DELAY_S, self._notify)

    def _notify(self) -> None:
        self._notify_handle = None
        self._notified_changes = self._view.changes
        if self.on_view_changed is not None and not self._closed:
            self.on_view_changed()

    async def _push_loop(self) -> None:
        while True:
            self._wake.clear()
            wait_s = self._news.wait_s(time.monotonic())
            if wait_s == 0.0:
                self._push_batch(self._news.take(time.monotonic()))
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()

    def _push_batch(self, batch: Batch) -> None:
        push = self._push_message(batch)
        fanout = self._settings.push_fanout + (VERSION_EXTRA_FANOUT if batch.version else 0)
        for peer in self._view.sample(self._rng, Scope.DOMAIN, fanout):
            self._spawn(self._push_to(peer, push))
        if self.is_reader():
            home = self._home_news(push)
            if home.records or home.accusations or batch.version:
                for peer in self._bridge_peers():
                    self._spawn(self._push_to(peer, home))

    def _push_message(self, batch: Batch) -> Push:
        deltas: tuple[Delta, ...] = ()
        if batch.version:
            deltas = self._holder.deltas_since(self._pushed_version) or ()
            self._pushed_version = self._holder.held_version
        return Push(
            self._own_id,
            deltas[-DELTAS_PER_REPLY:],
            batch.records,
            self._view.left_ages(batch.records, time.monotonic()),
            batch.accusations,
            batch.beacons,
        )

    def _home_news(self, push: Push) -> Push:
        # Each domain's own bridges send its records, so that a record crosses a region link a
        # small constant number of times.
        domain = self._view.own.failure_domain
        return replace(
            push,
            records=tuple(item for item in push.records if item.failure_domain == domain),
            accusations=tuple(
                item for item in push.accusations if self._is_of(item.accusation.node_id, domain)
            ),
            beacons=(),
        )

    def _is_of(self, node_id: str, failure_domain: str) -> bool:
        record = self._view.get(node_id)
        return record is not None and record.failure_domain == failure_domain

    def _bridge_peers(self) -> tuple[NodeRecord, ...]:
        domains = self._view.other_domains(Scope.REGION)
        domains += self._view.other_domains(Scope.CROSS_REGION)
        return tuple(
            peer for domain in domains for peer in self._view.sample_domain(self._rng, domain, 1)
        )

    async def _push_to(self, peer: NodeRecord, push: Push) -> int | None:
        outcome = await self._call(peer, push)
        if not isinstance(outcome, Replied):
            return None
        held: int = outcome.message.held_version
        if held < self._holder.held_version:
            return await self._bring_up_to_date(peer, held)
        return held

    async def _bring_up_to_date(self, peer: NodeRecord, held: int) -> int | None:
        deltas = self._holder.deltas_since(held)
        request: Any
        if deltas and len(deltas) <= DELTAS_PER_REPLY:
            request = Push(self._own_id, deltas=deltas)
        elif self._tables.take(time.monotonic()):
            request = PushTable(self._own_id, self._holder.held_table)
        else:
            return held
        outcome = await self._call(peer, request, TABLE_TIMEOUT_S)
        return outcome.message.held_version if isinstance(outcome, Replied) else None

    def _offer(self, deltas: tuple[Delta, ...]) -> None:
        if deltas and deltas[-1].version > self._holder.held_version:
            self._holder.offer(OfferDeltas(deltas))

    # Synchronisation and probes

    async def _sync_loop(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(self._settings.sync_interval_s))
            self._tick(time.monotonic())
            if not self._joined:
                continue
            for peer in self._view.sample(self._rng, Scope.DOMAIN, 1):
                self._spawn(self._sync_and_verify(peer))
            if self._rng.randrange(UNREACHABLE_SYNC_ONE_IN) == 0:
                domain = self._view.own.failure_domain
                for peer in self._view.sample_unreachable(self._rng, domain, 1):
                    self._spawn(self._sync_once(peer))

    def _jittered(self, seconds: float) -> float:
        return seconds * self._rng.uniform(1.0 - SYNC_JITTER, 1.0 + SYNC_JITTER)

    def _tick(self, now: float) -> None:
        self._view.expire(now)
        self._update_reader(now)
        self._apply_cut_domains(now)
        self._notify_soon()

    def _update_reader(self, now: float) -> None:
        self._update_fallback(now)
        reader = self.is_reader()
        if reader and not self._was_reader:
            log.info("reader_started", node=self._own_id, fallback=self._fallback_reader)
            self._contacts.adopt(self._view.cut_domains())
        elif self._was_reader and not reader:
            log.info("reader_stopped", node=self._own_id)
            self._contacts.clear()
        self._was_reader = reader
        if reader:
            self._beacon_counter += 1
            incarnation = self._view.own.stamp.incarnation
            cuts = self._contacts.cut(now)
            self._take_beacons((Beacon(self._own_id, incarnation, self._beacon_counter, cuts),))

    def _update_fallback(self, now: float) -> None:
        limit_s = self._settings.beacon_timeout_s + self._fallback_delay_s
        if self._board.silence_s(now) > limit_s:
            self._fallback_reader = True
        elif self._fallback_reader:
            # The fresh beacons are in the order of rank: a better placed reader is heard again.
            fresh = self._board.fresh(now)
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
            self._board.fresh(now) if same_domain else (),
            self._some_accusations(peer.node_id, now),
            own.control_address,
        )

    def _some_accusations(self, node_id: str, now: float) -> tuple[AgedAccusation, ...]:
        return self._view.sample_accusations(self._rng, ACCUSATIONS_PER_SYNC, node_id, now)

    async def _sync_once(self, peer: NodeRecord) -> bool:
        outcome = await self._call(peer, self._sync_request(peer))
        if not isinstance(outcome, Replied):
            # A peer that refuses the call is alive.
            return isinstance(outcome, Busy) or outcome.reason is FailureReason.REFUSED
        reply: SyncReply = outcome.message
        if reply.node_id != peer.node_id:
            return False  # another node has taken over the address
        accusation = self._contacted(peer.node_id)
        self._take_accusations(reply.accusations)
        if peer.failure_domain == self._view.own.failure_domain:
            self._take_beacons(reply.beacons)
        await self._exchange_versions(peer, reply)
        if accusation is not None:
            await self._call(peer, Push(self._own_id, accusations=(accusation,)))
        if reply.root_hash != self._view.root_hash():
            await self._compare_with(peer)
        return True

    async def _exchange_versions(self, peer: NodeRecord, reply: SyncReply) -> None:
        self._offer(reply.deltas)
        held_version = self._holder.held_version
        if reply.held_version > held_version:
            await self._fetch_table(peer)
        elif reply.held_version < held_version:
            await self._bring_up_to_date(peer, reply.held_version)

    async def _fetch_table(self, peer: NodeRecord) -> None:
        outcome = await self._call(peer, FetchTable(self._own_id), TABLE_TIMEOUT_S)
        if isinstance(outcome, Replied) and outcome.message.table is not None:
            self._offer_table(outcome.message.table)

    def _offer_table(self, table: Table) -> None:
        if table.version > self._holder.held_version:
            self._holder.offer(OfferTable(table))

    async def _compare_with(self, peer: NodeRecord) -> None:
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
        # What comes from another domain is news to the own one.
        spread = peer.failure_domain != self._view.own.failure_domain
        self._take_records(reply.records, reply.left_age_by_id, spread)
        wanted = [record for i in reply.wanted if (record := self._view.get(i)) is not None]
        records = comparison.bounded(wanted)
        if records:
            ages = self._view.left_ages(records, time.monotonic())
            push = Push(self._own_id, (), records, ages)
            await self._call(peer, push)

    async def _sync_and_verify(self, peer: NodeRecord) -> None:
        started = time.monotonic()
        if await self._sync_once(peer):
            return
        relays = self._view.sample(
            self._rng, Scope.DOMAIN, PROBE_RELAYS, frozenset((peer.node_id,))
        )
        probe = Probe(self._own_id, peer.node_id, peer.control_address)
        direct, *answers = await asyncio.gather(
            self._ping(peer.node_id, peer.control_address),
            *(self._call(relay, probe, 2 * PROBE_TIMEOUT_S) for relay in relays),
        )
        replies = [answer.message for answer in answers if isinstance(answer, Replied)]
        if direct or any(reply.reached for reply in replies):
            self._contacted(peer.node_id)
            return
        # After a pause of this process the calls time out although their replies have arrived.
        if time.monotonic() - started > CALL_TIMEOUT_S + 2 * PROBE_TIMEOUT_S + LATE_S:
            return
        # When no relay answers either, the own node may be the isolated one.
        self._accuse(peer, spread=bool(replies) or not relays)

    def _accuse(self, peer: NodeRecord, spread: bool) -> None:
        now = time.monotonic()
        accusation = Accusation(peer.node_id, peer.stamp)
        outcome = self._view.accuse(accusation, now, spread=spread)
        if outcome is AccusationOutcome.NEW:
            log.info("node_accused", node=self._own_id, accused=peer.node_id, spread=spread)
            if spread:
                self._news.add_accusation(AgedAccusation(accusation, 0.0), now)
                self._wake.set()

    async def _ping(self, node_id: str, address: Address) -> bool:
        outcome = await self._channels.call(
            address, Ping(self._own_id), PROBE_TIMEOUT_S, self._link_of(node_id)
        )
        return isinstance(outcome, Replied) and outcome.message.node_id == node_id

    # Bridges to the other failure domains

    async def _bridge_loop(self) -> None:
        next_cross_region = 0.0
        while True:
            await asyncio.sleep(self._jittered(self._settings.sync_interval_s))
            if not self.is_reader():
                continue
            domains = set(self._contacts.failing())
            domains.update(self._one_of(self._view.other_domains(Scope.REGION)))
            if time.monotonic() >= next_cross_region:
                interval_s = self._jittered(self._settings.cross_region_interval_s)
                next_cross_region = time.monotonic() + interval_s
                domains.update(self._one_of(self._view.other_domains(Scope.CROSS_REGION)))
            for domain in sorted(domains):
                self._spawn(self._sync_domain(domain))

    def _one_of(self, domains: Sequence[str]) -> tuple[str, ...]:
        return (self._rng.choice(domains),) if domains else ()

    async def _sync_domain(self, failure_domain: str) -> None:
        peers = self._view.sample_domain(self._rng, failure_domain, BRIDGE_TRIES)
        if not peers or await self._sync_once(peers[0]):
            return
        others = await asyncio.gather(*(self._sync_once(peer) for peer in peers[1:]))
        if not any(others):
            self._contacts.failed(failure_domain, time.monotonic())

    # Seeds and joining

    async def _seed_loop(self) -> None:
        if self._seeds is None:
            return
        kept = False
        while True:
            if self.is_reader():
                kept = await self._seeds.keep(self._view.own.control_address) or kept
                await self._meet_seeds()
                await asyncio.sleep(self._jittered(SEED_INTERVAL_S))
                continue
            if kept:
                await self._seeds.withdraw()
                kept = False
            await asyncio.sleep(self._settings.sync_interval_s)

    async def _meet_seeds(self) -> None:
        """Join nodes of the store's list that the view lacks: groups that started apart."""
        assert self._seeds is not None
        known = {record.control_address for record in self._view.records()}
        seeds = await self._seeds.read() or ()
        await asyncio.gather(*(self._join_at(seed) for seed in seeds if seed.address not in known))

    async def join(self) -> JoinOutcome:
        """Get all records and the table from a peer; see `Joiner.run`."""
        joiner = Joiner(
            self._settings,
            self._view,
            self._rng,
            self._seeds,
            self._join_at,
            self._ask_version,
            self._take_introductions,
            self._wait_for_introduction,
        )
        outcome = await joiner.run()
        self._joined = True
        self._announce(self._view.own)
        self._invite_declined()
        if isinstance(outcome, Founded) and self._seeds is not None:
            self._spawn(self._meet_seeds())  # others may have founded at the same time
        log.info(
            "joined", node=self._own_id, records=len(self._view), outcome=type(outcome).__name__
        )
        return outcome

    def _note_declined(self, request: Join) -> None:
        """Remember a node that is joining as well, or join at one that has joined already."""
        record = request.record
        if not request.has_joined:
            self._declined_by_id[record.node_id] = record
            return
        seed = Seed(record.failure_domain, record.control_address, record.region)
        self._introduced_by_address[seed.address] = seed
        self._introduced.set()

    def _invite_declined(self) -> None:
        """Contact the nodes whose joins came too early, which then join without a further delay.

        Nodes that were killed together find the first of them that has joined this way. The number
        is that of the join replies of a second; an invited node invites those that it declined.
        """
        declined, self._declined_by_id = self._declined_by_id, {}
        for record in list(declined.values())[: max(1, int(self._settings.join_rate))]:
            if not self._view.is_reachable(record.node_id):
                self._spawn(self._call(record, self._sync_request(record)))

    async def _join_at(self, seed: Seed) -> CallOutcome:
        request = Join(self._own_id, self._view.own, self._joined)
        domain = self._view.own.failure_domain
        link = Link.DOMAIN if seed.failure_domain == domain else Link.UNKNOWN
        outcome = await self._channels.call(seed.address, request, JOIN_TIMEOUT_S, link)
        if isinstance(outcome, Replied):
            try:
                await self._take_join_reply(outcome.message)
            except (ValueError, zlib.error) as error:
                return Failed(FailureReason.BAD_REPLY, str(error))
        return outcome

    def _introduce(self, request: Sync) -> None:
        """Take note of a node that knows this one.

        A node that was restarted while the store is away finds the others this way. Until it has
        joined it keeps every contact: pushed records make the sender known without a join.
        """
        address = request.control_address
        if address is None:
            return
        seed = Seed(request.failure_domain, address)
        if not self._joined:
            self._introduced_by_address[address] = seed
            self._introduced.set()
        elif self._view.get(request.sender) is None:
            self._spawn(self._join_at(seed))

    async def _wait_for_introduction(self, timeout_s: float) -> None:
        """Return at the next contact of another node, or after `timeout_s`."""
        self._introduced.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._introduced.wait()

    def _take_introductions(self) -> tuple[Seed, ...]:
        seeds = tuple(self._introduced_by_address.values())
        self._introduced_by_address.clear()
        return seeds

    async def _take_join_reply(self, reply: JoinReply) -> None:
        if reply.previous is not None and self.on_previous_record is not None:
            self.on_previous_record(reply.previous)
        for data in reply.pieces:
            piece = unpack(data, RecordPiece)
            self._take_records(piece.records, piece.left_age_by_id, spread=False)
            await asyncio.sleep(0)  # unpacking all pieces at once would block the event loop
        if reply.table:
            self._offer_table(unpack(reply.table, Table))
        self._take_accusations(reply.accusations)
        self._take_beacons(reply.beacons)

    async def _ask_version(self, peer: NodeRecord) -> int | None:
        outcome = await self._call(peer, self._sync_request(peer))
        if not isinstance(outcome, Replied) or outcome.message.node_id != peer.node_id:
            return None
        self._contacted(peer.node_id)
        await self._exchange_versions(peer, outcome.message)
        held: int = outcome.message.held_version
        return held

    # Status

    async def collect_status(self) -> tuple[NodeStatus, ...]:
        """Ask the nodes of the own domain, and one node of each other domain for its domain."""
        return await self._statuses.of_fleet()

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

    # Requests of other nodes

    async def _serve(self, request: Any) -> Any:
        return await self._handle(request)

    @singledispatchmethod
    async def _handle(self, request: Any) -> Any:
        raise TypeError(f"no handler for {type(request).__name__}")

    @_handle.register
    async def _(self, request: Sync) -> SyncReply:
        self._introduce(request)
        accusation = self._contacted(request.sender)
        self._take_accusations(request.accusations)
        own = self._view.own
        same_domain = request.failure_domain == own.failure_domain
        if same_domain:
            self._take_beacons(request.beacons)
        now = time.monotonic()
        accusations = self._some_accusations(request.sender, now)
        if accusation is not None:
            accusations = (accusation, *accusations)
        deltas: tuple[Delta, ...] = ()
        if request.held_version < self._holder.held_version:
            deltas = self._holder.deltas_since(request.held_version) or ()
        return SyncReply(
            self._own_id,
            self._holder.held_version,
            self._view.root_hash(),
            self._board.fresh(now) if same_domain else (),
            accusations,
            deltas if len(deltas) <= DELTAS_PER_REPLY else (),
        )

    @_handle.register
    async def _(self, request: CompareBuckets) -> CompareBucketsReply:
        return comparison.bucket_reply(self._view, request, self._rng)

    @_handle.register
    async def _(self, request: CompareStamps) -> CompareStampsReply:
        return comparison.stamp_reply(self._view, request, time.monotonic())

    @_handle.register
    async def _(self, request: Push) -> PushReply:
        self._contacted(request.sender)
        self._offer(request.deltas)
        self._take_records(request.records, request.left_age_by_id, spread=True)
        self._take_accusations(request.accusations)
        self._take_beacons(request.beacons)
        return PushReply(self._holder.held_version)

    @_handle.register
    async def _(self, request: PushTable) -> PushReply:
        self._offer_table(request.table)
        return PushReply(self._holder.held_version)

    @_handle.register
    async def _(self, request: Probe) -> ProbeReply:
        return ProbeReply(await self._ping(request.node_id, request.address))

    @_handle.register
    async def _(self, request: Ping) -> Pong:
        return Pong(self._own_id, self._holder.held_version)

    @_handle.register
    async def _(self, request: Join) -> JoinReply | Busy | Declined:
        if not self._joined:
            self._note_declined(request)
            return Declined("this node has not joined yet")
        busy = self._join_server.admit(time.monotonic())
        if busy is not None:
            return busy
        previous = self._view.get(request.sender)
        self._take_records((request.record,), {}, spread=True)
        same_domain = request.record.failure_domain == self._view.own.failure_domain
        now = time.monotonic()
        return JoinReply(
            self._own_id,
            self._holder.held_version,
            self._join_server.table(self._holder.shared_table),
            await self._join_server.pieces(now),
            self._view.accusations(now),
            self._board.fresh(now) if same_domain else (),
            previous,
        )

    @_handle.register
    async def _(self, request: FetchTable) -> FetchTableReply:
        held = self._holder.held_version > 0
        return FetchTableReply(self._holder.shared_table if held else None)

    @_handle.register
    async def _(self, request: StatusRequest) -> StatusReply:
        if request.scope is StatusScope.DOMAIN:
            return StatusReply(await self._statuses.of_domain())
        return StatusReply((self._own_status(),))
