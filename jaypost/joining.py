"""Both sides of joining a fleet.

`Joiner` retries until a starting node has joined or founded a fleet. `JoinServer` bounds the rate
and the cost of the replies to joining nodes.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from jaypost.messages import JoinReply, RecordPiece
from jaypost.peers import Busy, CallOutcome, Failed, FailureReason, Replied, pack
from jaypost.records import Address, NodeRecord, Table
from jaypost.seeds import Seed, SeedDirectory
from jaypost.settings import Settings
from jaypost.updates import TokenBucket
from jaypost.view import BUCKET_FANOUT, LEAF_COUNT, MembershipView, Scope

# A cached piece is reused up to this age although records in it have changed. The joining node gets
# the changes by synchronisation.
MAX_OUTDATED_PIECE_AGE_S = 5.0
# Up to this number of records each reply has the newest ones: in a small fleet a restarted node
# asks all nodes that it knows for their versions, and must know all of them.
FRESH_PIECES_MAX_RECORDS = 100
# A cached piece without changed records is reused up to this age. Its `left_age_by_id`, the times
# since nodes left, are too small by the age of the piece, and must not be much too small.
MAX_UNCHANGED_PIECE_AGE_S = 60.0
LEAVES_PER_BUCKET = LEAF_COUNT // BUCKET_FANOUT
# The retry times in `Busy` replies vary at random by this fraction in both directions.
RETRY_JITTER_FRACTION = 0.5
# Nodes tried in a round from each list (join candidates and seeds), and peers that are asked for
# their held version. When the store is not available, a restarted node relies on these versions to
# use no older one than before the restart.
PEERS_TO_ASK = 3
# A host without power does not answer at all; the next node is tried after this time.
NEXT_PEER_DELAY_S = 0.2
# The same for a restarted node. Some of the seeds that it finds in the store may be gone for good.
RESTART_NEXT_PEER_DELAY_S = 0.1
# Shares of the nodes of a fleet that starts for the first time, and after how many seconds they
# look for others. So a few nodes register seeds and found the fleet, whatever its size, and the
# others find these.
FIRST_START_DELAYS_S = ((1 / 64, 0.0), (1 / 16, 0.4), (1 / 4, 0.8), (1.0, 1.2))
# Seeds that were read from the store are used for this time in seconds.
SEEDS_MAX_AGE_S = 2.0
# Bounds of the random pause between registering the own seed and looking for seeds of other nodes.
FOUNDER_PAUSE_RANGE_S = (0.5, 1.0)
FAILED_ROUNDS_BEFORE_FOUNDING = 2
# Each retry delay is random, up to this multiple of the one before (decorrelated jitter).
BACKOFF_FACTOR = 3.0
# A node whose configured seeds are running but have not joined yet waits for them this long before
# it looks for other seeds in the store. The configured seeds look there at once.
SEEDS_JOINING_WAIT_S = 2.0
# Bounds of the random time in seconds for which a restarted node looks for others before it founds
# a fleet, if it is one of the seeds in the store and if it is not. After a loss of all nodes, few
# nodes found a fleet, and read the table. The others join at the seeds.
SEED_FOUNDING_RANGE_S = (0.2, 0.5)
FOUNDING_RANGE_S = (0.3, 1.5)
# The wait is longer by this many round trips to the store: a node near the store reads the table
# faster, and not over a narrow link between regions. It is twice as many while a seed is running
# that has not joined yet.
FOUNDING_ROUND_TRIPS = 15
# Bounds of the random pause after a node declined because it has not joined yet. Nodes that were
# killed together are all in this state. If two of them found a fleet at the same time, an
# invitation merges the fleets; see `Gossip._invite_declined`.
JOINING_PEER_PAUSE_RANGE_S = (0.05, 0.15)
# The same after a seed in the store declined. It invites this node when it has joined. More calls
# of many nodes would take the processor time that the few seeds need to join.
DECLINED_PAUSE_RANGE_S = (0.4, 0.8)


@dataclass(frozen=True, slots=True)
class _CachedPiece:
    bucket_hash: int
    packed_at: float
    data: bytes


class JoinServer:
    """Limits the rate of join replies and packs their contents.

    Parameters
    ----------
    view : MembershipView
        Source of the records.
    rate : float
        Join replies per second.
    rng : random.Random
        Source of the jitter of retry times.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, view: MembershipView, rate: float, rng: random.Random, now: float) -> None:
        self._view = view
        self._rate = rate
        self._rng = rng
        self._reply_tokens = TokenBucket(rate, max(1.0, rate), now)
        self._deferred_at: list[float] = []
        self._piece_by_bucket: dict[int, _CachedPiece] = {}
        self._packed_table_version = 0
        self._packed_table = b""

    def admit(self, now: float) -> Busy | None:
        """Return None when a join may be answered now, else the time after which to retry."""
        if self._reply_tokens.take(now):
            self._deferred_at.clear()
            return None
        # Nodes that were deferred within the last second wait for the next tokens, one for each.
        self._deferred_at = [at for at in self._deferred_at if now - at < 1.0]
        self._deferred_at.append(now)
        expected_s = len(self._deferred_at) / self._rate
        return Busy(
            expected_s * self._rng.uniform(1.0 - RETRY_JITTER_FRACTION, 1.0 + RETRY_JITTER_FRACTION)
        )

    def table(self, table: Table) -> bytes:
        """Return the packed table; empty for version 0."""
        if table.version == 0:
            return b""
        if table.version != self._packed_table_version:
            self._packed_table = pack(table)
            self._packed_table_version = table.version
        return self._packed_table

    async def pieces(self, now: float) -> tuple[bytes, ...]:
        """Return all records as packed `RecordPiece` messages, one for each top bucket."""
        pieces = []
        for bucket, bucket_hash in enumerate(self._view.bucket_hashes()):
            cached = self._piece_by_bucket.get(bucket)
            if cached is None or not self._reusable(cached, bucket_hash, now):
                cached = self._pack_piece(bucket, bucket_hash, now)
                self._piece_by_bucket[bucket] = cached
                # Packing all buckets at once would block the event loop for too long.
                await asyncio.sleep(0)
            pieces.append(cached.data)
        return tuple(pieces)

    def _reusable(self, piece: _CachedPiece, bucket_hash: int, now: float) -> bool:
        limit_s = MAX_UNCHANGED_PIECE_AGE_S
        if piece.bucket_hash != bucket_hash:
            is_small = len(self._view) <= FRESH_PIECES_MAX_RECORDS
            limit_s = 0.0 if is_small else MAX_OUTDATED_PIECE_AGE_S
        return now - piece.packed_at < limit_s

    def _pack_piece(self, bucket: int, bucket_hash: int, now: float) -> _CachedPiece:
        first = bucket * LEAVES_PER_BUCKET
        records = self._view.records_in(range(first, first + LEAVES_PER_BUCKET))
        piece = RecordPiece(records, self._view.left_ages(records, now))
        return _CachedPiece(bucket_hash, now, pack(piece))


@dataclass(frozen=True, slots=True)
class Joined:
    """The node has the records of a peer.

    Parameters
    ----------
    answered_peers : int
        Peers that reported the version that they hold.
    highest_version : int
        The highest version reported. A restarted node must not use an older one.
    """

    answered_peers: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class Founded:
    """The store is available and no other node answered: this node founds a fleet."""


JoinOutcome = Joined | Founded


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Outcome of `Join` calls to some nodes, one after the other.

    Parameters
    ----------
    reply : JoinReply or None
        The first reply.
    busy_delay_s : float or None
        Shortest time in seconds after which a busy node asked for a retry; None if none did.
    joining : bool
        Whether a node refused the call, as nodes that have not joined yet do.
    """

    reply: JoinReply | None
    busy_delay_s: float | None
    joining: bool


@dataclass(frozen=True, slots=True)
class _Round:
    """Outcome of one round of `Join` calls to the join candidates and the seeds.

    The first three fields are as in `_Attempt`.

    Parameters
    ----------
    seeds_tried : bool
        Whether there was any join candidate or seed to try.
    store_answered : bool
        Whether the store returned its seeds, or the node has no store. False when the store was
        not asked because a join candidate or a configured seed had replied.
    store_asked : bool
        Whether the seeds in the store were read.
    is_seed : bool
        Whether this node is one of the seeds.
    """

    reply: JoinReply | None
    busy_delay_s: float | None
    joining: bool
    seeds_tried: bool
    store_answered: bool
    store_asked: bool = True
    is_seed: bool = False


class Joiner:
    """Retries until a starting node has joined other nodes or founds a fleet.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    view : MembershipView
        View that the replies are merged into.
    rng : random.Random
        Source of jitter and of the order of seeds.
    seeds : SeedDirectory or None
        Seeds in the store.
    join_at : callable
        Sends `Join` to a seed and applies the reply.
    ask_version : callable
        Synchronises with a node and returns the version that it holds; None without a reply.
    take_join_candidates : callable
        Returns and forgets the join candidates: nodes that have contacted this one.
    wait : callable
        Waits between two rounds for a time in seconds, or until there is a join candidate.
    store_round_trip_s : callable
        Returns the round trip to the store in seconds; None if it is not known.
    """

    def __init__(
        self,
        settings: Settings,
        view: MembershipView,
        rng: random.Random,
        seeds: SeedDirectory | None,
        join_at: Callable[[Seed], Coroutine[Any, Any, CallOutcome]],
        ask_version: Callable[[NodeRecord], Awaitable[int | None]],
        take_join_candidates: Callable[[], Sequence[Seed]] = tuple,
        wait: Callable[[float], Awaitable[None]] = asyncio.sleep,
        store_round_trip_s: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._store_round_trip_s = store_round_trip_s
        self._take_join_candidates = take_join_candidates
        self._wait = wait
        self._settings = settings
        self._view = view
        self._rng = rng
        self._seeds = seeds
        self._join_at = join_at
        self._ask_version = ask_version
        self._seeds_in_store: tuple[Seed, ...] | None = None
        self._seeds_read_at = 0.0
        self._attempts_by_address: Counter[Address] = Counter()
        # Calls of `Join` without an outcome.
        self._call_by_address: dict[Address, asyncio.Task[CallOutcome]] = {}

    async def run(self) -> JoinOutcome:
        """Get all records, and within a region the table, from a peer; repeat until it succeeds.

        `Joined` satisfies the rule for restarted nodes: at least three peers, or all that can be
        reached, have reported the version that they hold.

        Returns
        -------
        JoinOutcome
            `Founded` when the store is available and no other node answers, else `Joined`.
        """
        try:
            return await self._join_or_found()
        finally:
            calls = tuple(self._call_by_address.values())
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def _join_or_found(self) -> JoinOutcome:
        pause_s = self._rng.uniform(0.0, self._settings.join_jitter_s)
        if self._settings.first_start:
            pause_s += self._first_start_delay_s()
        await self._wait(pause_s)
        delay_s = self._settings.store_backoff_min_s
        failed_rounds = 0
        clock = asyncio.get_running_loop().time
        started_at = clock()
        waits_for_seeds_until = started_at + SEEDS_JOINING_WAIT_S
        patience = self._rng.random()
        while True:
            result = await self._run_round(clock() < waits_for_seeds_until)
            if result.reply is not None:
                return await self._ask_for_versions(result.reply)
            founds_at = started_at + self._seeds_wait_s(result, patience)
            waits_for_seeds = clock() < founds_at
            if result.busy_delay_s is None and result.store_answered and not waits_for_seeds:
                failed_rounds += 1
                has_waited = founds_at > started_at
                if await self._may_found_fleet(result.seeds_tried, failed_rounds, has_waited):
                    return Founded()
            if result.busy_delay_s is not None:
                delay_s = self._next_delay(delay_s)
                await asyncio.sleep(max(delay_s, result.busy_delay_s))
            elif waits_for_seeds and result.joining and not self._settings.first_start:
                pause_s = self._rng.uniform(*DECLINED_PAUSE_RANGE_S)
                await self._wait(min(pause_s, founds_at - clock()))
            elif waits_for_seeds or (
                result.joining and (result.store_answered or not result.store_asked)
            ):
                await self._wait(self._rng.uniform(*JOINING_PEER_PAUSE_RANGE_S))
            else:
                delay_s = self._next_delay(delay_s)
                await self._wait(delay_s)

    def _seeds_wait_s(self, result: _Round, patience: float) -> float:
        """Return how long to look for seeds before founding a fleet.

        Parameters
        ----------
        result : _Round
            The last round.
        patience : float
            Place of this node in the range of the waits, from 0 to 1.
        """
        if self._settings.first_start:
            return SEEDS_JOINING_WAIT_S if result.joining else 0.0
        if not result.store_answered or not result.seeds_tried:
            return 0.0
        round_trips = FOUNDING_ROUND_TRIPS * (2 if result.joining and not result.is_seed else 1)
        distance_s = round_trips * (self._store_round_trip_s() or 0.0)
        shortest_s, longest_s = SEED_FOUNDING_RANGE_S if result.is_seed else FOUNDING_RANGE_S
        return shortest_s + patience * (longest_s - shortest_s) + distance_s

    async def _run_round(self, waits_for_seeds: bool) -> _Round:
        """Try the join candidates and the configured seeds, then those in the store.

        The store is not asked if `waits_for_seeds` and a configured seed of another node is
        running: in a large fleet that starts as a whole, each node would read the store again and
        again until the first one has joined.
        """
        candidates = self._nearest_first(self._take_join_candidates())
        configured = self._nearest_first([Seed("", item) for item in self._settings.seeds])
        known = [*candidates, *configured]
        attempt = await self._join_first_available(known, wait_for_all=True)
        if attempt.reply is not None:
            return _Round(attempt.reply, None, False, True, False, store_asked=False)
        own_address = self._view.own.control_address
        is_seed = own_address in self._settings.seeds
        if waits_for_seeds and configured and attempt.joining and not is_seed:
            return _Round(None, attempt.busy_delay_s, True, True, False, store_asked=False)
        in_store = await self._read_seeds() if self._seeds is not None else ()
        tried = {seed.address for seed in known[:PEERS_TO_ASK]}
        seeds = self._nearest_first([item for item in in_store or () if item.address not in tried])
        # Seeds of hosts without power stay in the store for a while, and never answer.
        store_attempt = await self._join_first_available(
            seeds, wait_for_all=self._settings.first_start
        )
        delays_s = [
            item.busy_delay_s for item in (attempt, store_attempt) if item.busy_delay_s is not None
        ]
        return _Round(
            store_attempt.reply,
            min(delays_s, default=None),
            attempt.joining or store_attempt.joining,
            bool(known or seeds),
            in_store is not None,
            is_seed=is_seed or any(seed.address == own_address for seed in in_store or ()),
        )

    async def _read_seeds(self) -> tuple[Seed, ...] | None:
        """Return the seeds in the store; those of the last read while they are recent.

        The first read may be stale, because most seeds are older than that.
        """
        assert self._seeds is not None
        now = asyncio.get_running_loop().time()
        if self._seeds_in_store is None:
            self._seeds_in_store = await self._seeds.read(allow_stale=True)
            self._seeds_read_at = now
            if self._seeds_in_store is None:
                return None
        if not self._seeds_in_store or now - self._seeds_read_at > SEEDS_MAX_AGE_S:
            self._seeds_in_store = await self._seeds.read()
            self._seeds_read_at = now
        return self._seeds_in_store

    def _first_start_delay_s(self) -> float:
        drawn = self._rng.random()
        return next(delay_s for share, delay_s in FIRST_START_DELAYS_S if drawn < share)

    def _next_delay(self, delay_s: float) -> float:
        shortest_s = self._settings.store_backoff_min_s
        drawn_s = self._rng.uniform(shortest_s, BACKOFF_FACTOR * delay_s)
        return min(self._settings.store_backoff_max_s, drawn_s)

    async def _may_found_fleet(
        self, seeds_tried: bool, failed_rounds: int, has_waited: bool
    ) -> bool:
        """Tell whether this node may found a fleet, because it has found no other node.

        A node that has tried other nodes may do so after `FAILED_ROUNDS_BEFORE_FOUNDING` rounds, or
        once it has waited for seeds. A node without seeds registers its own one and looks for
        others again after a pause, so that nodes which start together find each other.
        """
        if seeds_tried:
            return has_waited or failed_rounds >= FAILED_ROUNDS_BEFORE_FOUNDING
        if self._seeds is None:
            return True
        await self._seeds.register(self._view.own.control_address)
        await asyncio.sleep(self._rng.uniform(*FOUNDER_PAUSE_RANGE_S))
        seeds_in_store = await self._seeds.read()
        if seeds_in_store is None:
            return False
        others = self._nearest_first(seeds_in_store)
        if self._settings.first_start:
            # One of the nodes that have registered at the same time founds the fleet.
            own = str(self._view.own.control_address)
            return all(own < str(seed.address) for seed in others)
        return not others

    def _nearest_first(self, nodes: Sequence[Seed]) -> list[Seed]:
        own = self._view.own
        seeds = [seed for seed in nodes if seed.address != own.control_address]
        self._rng.shuffle(seeds)
        # A join reply contains all records, and links between regions are billed by volume. Seeds
        # that were tried before come last, because they may be gone for good.
        return sorted(
            seeds,
            key=lambda seed: (
                self._attempts_by_address[seed.address],
                seed.failure_domain != own.failure_domain,
                seed.region != own.region,
            ),
        )

    async def _join_first_available(self, seeds: Sequence[Seed], wait_for_all: bool) -> _Attempt:
        """Send `Join` to some nodes, one after the other, and return the first reply.

        The next node is tried when a call fails, or after a while without an outcome. Without
        `wait_for_all`, the last one gets no more time than the others; its reply may come during a
        later call of this method.
        """
        if not seeds:
            return _Attempt(None, None, False)
        outcomes: list[CallOutcome] = []
        asked: set[Address] = set()
        delay_s = NEXT_PEER_DELAY_S if wait_for_all else RESTART_NEXT_PEER_DELAY_S
        remaining = [seed for seed in seeds if seed.address not in self._call_by_address]
        remaining = remaining[:PEERS_TO_ASK]
        while remaining or self._call_by_address:
            if remaining:
                seed = remaining.pop(0)
                self._attempts_by_address[seed.address] += 1
                self._call_by_address[seed.address] = asyncio.create_task(self._join_at(seed))
                asked.add(seed.address)
            await asyncio.wait(
                self._call_by_address.values(),
                timeout=None if wait_for_all and not remaining else delay_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            done = [address for address, call in self._call_by_address.items() if call.done()]
            for address in done:
                outcome = self._call_by_address.pop(address).result()
                if isinstance(outcome, Replied):
                    return _Attempt(outcome.message, None, False)
                outcomes.append(outcome)
            unanswered = asked & self._call_by_address.keys()
            if not remaining and not (unanswered if wait_for_all else done):
                break
        busy_delays_s = [item.retry_after_s for item in outcomes if isinstance(item, Busy)]
        joining = any(
            isinstance(item, Failed) and item.reason is FailureReason.REFUSED for item in outcomes
        )
        return _Attempt(None, min(busy_delays_s, default=None), joining)

    async def _ask_for_versions(self, reply: JoinReply) -> Joined:
        """Ask peers for their held versions, near ones first, until enough of them have replied."""
        versions = [reply.held_version]
        tried = {self._view.own.node_id, reply.node_id}
        while len(versions) < PEERS_TO_ASK:
            peers = self._nearest_untried_peers(frozenset(tried))
            if not peers:
                break
            tried.update(peer.node_id for peer in peers)
            for held_version in await asyncio.gather(*(self._ask_version(peer) for peer in peers)):
                if held_version is not None:
                    versions.append(held_version)
        return Joined(len(versions), max(versions))

    def _nearest_untried_peers(self, tried: frozenset[str]) -> tuple[NodeRecord, ...]:
        for scope in Scope:
            own_domain = (self._view.own.failure_domain,)
            domains = own_domain if scope is Scope.DOMAIN else self._view.other_domains(scope)
            for domain in domains:
                peers = self._view.sample_domain(self._rng, domain, PEERS_TO_ASK, tried)
                if peers:
                    return peers
        return ()
