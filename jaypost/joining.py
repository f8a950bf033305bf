"""Both sides of joining: the retries of a starting node, and replies of bounded rate and cost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from jaypost.messages import JoinReply, RecordPiece
from jaypost.news import TokenBucket
from jaypost.peers import Busy, CallOutcome, Failed, FailureReason, Replied, pack
from jaypost.records import NodeRecord, Table
from jaypost.seeds import Seed, SeedDirectory
from jaypost.settings import Settings
from jaypost.view import BUCKET_FANOUT, LEAF_COUNT, MembershipView, Scope

# A reused piece may lack the changes of this time; the joining node gets them by synchronisation.
OUTDATED_PIECE_AGE_S = 5.0
# Pieces hold the ages of left nodes, which must not be much too small.
UNCHANGED_PIECE_AGE_S = 60.0
LEAVES_PER_BUCKET = LEAF_COUNT // BUCKET_FANOUT
RETRY_JITTER = 0.5
# A restarted node asks this many peers for their version when the store is not available.
PEERS_ASKED = 3
# A node that has lost its power answers nothing; the next one is asked after this time in seconds.
HEAD_START_S = 0.2
FOUNDER_PAUSE_S = (0.5, 1.0)
FAILED_ROUNDS_BEFORE_FOUNDING = 2
BACKOFF_FACTOR = 3.0
# Bounds in seconds of the pause after a node answered that it is joining itself. Nodes that were
# killed together are all in this state, and two that found at once find each other by invitation.
JOINING_PAUSE_S = (0.05, 0.15)


@dataclass(frozen=True, slots=True)
class _Piece:
    bucket_hash: int
    packed_at: float
    data: bytes


class JoinServer:
    """Packs what a joining node needs.

    Parameters
    ----------
    view : MembershipView
        Source of the records.
    rate : float
        Join replies per second.
    rng : random.Random
        Source of the jitter of retries.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, view: MembershipView, rate: float, rng: random.Random, now: float) -> None:
        self._view = view
        self._rate = rate
        self._rng = rng
        self._replies = TokenBucket(rate, max(1.0, rate), now)
        self._declined_at: list[float] = []
        self._piece_by_bucket: dict[int, _Piece] = {}
        self._table_version = 0
        self._table = b""

    def admit(self, now: float) -> Busy | None:
        """Return None when a join may be answered now, else when to try again."""
        if self._replies.take(now):
            self._declined_at.clear()
            return None
        # Nodes that were declined within the last second share the coming tokens.
        self._declined_at = [at for at in self._declined_at if now - at < 1.0]
        self._declined_at.append(now)
        expected_s = len(self._declined_at) / self._rate
        return Busy(expected_s * self._rng.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER))

    def table(self, table: Table) -> bytes:
        """Return the packed table; empty for version 0."""
        if table.version == 0:
            return b""
        if table.version != self._table_version:
            self._table = pack(table)
            self._table_version = table.version
        return self._table

    async def pieces(self, now: float) -> tuple[bytes, ...]:
        """Return all records as packed `RecordPiece` messages."""
        pieces = []
        for bucket, bucket_hash in enumerate(self._view.bucket_hashes()):
            held = self._piece_by_bucket.get(bucket)
            if held is None or not self._reusable(held, bucket_hash, now):
                held = self._packed(bucket, bucket_hash, now)
                self._piece_by_bucket[bucket] = held
                # Packing all buckets at once would block the event loop for too long.
                await asyncio.sleep(0)
            pieces.append(held.data)
        return tuple(pieces)

    @staticmethod
    def _reusable(piece: _Piece, bucket_hash: int, now: float) -> bool:
        limit_s = (
            UNCHANGED_PIECE_AGE_S if piece.bucket_hash == bucket_hash else OUTDATED_PIECE_AGE_S
        )
        return now - piece.packed_at < limit_s

    def _packed(self, bucket: int, bucket_hash: int, now: float) -> _Piece:
        first = bucket * LEAVES_PER_BUCKET
        records = self._view.records_in(range(first, first + LEAVES_PER_BUCKET))
        piece = RecordPiece(records, self._view.left_ages(records, now))
        return _Piece(bucket_hash, now, pack(piece))


@dataclass(frozen=True, slots=True)
class Joined:
    """The node has the records of a peer.

    Parameters
    ----------
    asked : int
        Peers that told their version.
    highest_version : int
        The highest version told. A restarted node may not use an older one.
    """

    asked: int
    highest_version: int


@dataclass(frozen=True, slots=True)
class Founded:
    """The store is available and no other node answered: the node is the first one."""


JoinOutcome = Joined | Founded


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Outcome of asking some nodes; `joining` tells whether one of them is joining itself."""

    reply: JoinReply | None
    busy_s: float | None
    joining: bool


@dataclass(frozen=True, slots=True)
class _Round:
    """Outcome of asking every node that is known at the time."""

    reply: JoinReply | None
    busy_s: float | None
    joining: bool
    seeds_tried: bool
    store_answered: bool


class Joiner:
    """Joins a starting node to the others.

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
        Sends `Join` to a seed and takes over the reply.
    ask_version : callable
        Synchronises with a node and returns the version that it holds, or None.
    introductions : callable
        Returns the nodes that have contacted this one since the last call.
    wait : callable
        Waits between two rounds, at most for the time given; ends early at an introduction.
    """

    def __init__(
        self,
        settings: Settings,
        view: MembershipView,
        rng: random.Random,
        seeds: SeedDirectory | None,
        join_at: Callable[[Seed], Coroutine[Any, Any, CallOutcome]],
        ask_version: Callable[[NodeRecord], Awaitable[int | None]],
        introductions: Callable[[], Sequence[Seed]] = tuple,
        wait: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._introductions = introductions
        self._wait = wait
        self._settings = settings
        self._view = view
        self._rng = rng
        self._seeds = seeds
        self._join_at = join_at
        self._ask_version = ask_version

    async def run(self) -> JoinOutcome:
        """Get all records and the table from a peer; repeat until it succeeds.

        The outcome satisfies the rule for restarted nodes: at least three peers, or all that can
        be reached, told the highest version that they hold.
        """
        await asyncio.sleep(self._rng.uniform(0.0, self._settings.join_jitter_s))
        delay_s = self._settings.store_backoff_min_s
        failed_rounds = 0
        while True:
            result = await self._round()
            if result.reply is not None:
                return await self._complete(result.reply)
            if result.busy_s is None and result.store_answered:
                failed_rounds += 1
                if await self._may_found(result.seeds_tried, failed_rounds):
                    return Founded()
            if result.busy_s is not None:
                delay_s = self._next_delay(delay_s)
                await asyncio.sleep(max(delay_s, result.busy_s))
            elif result.joining and result.store_answered:
                await self._wait(self._rng.uniform(*JOINING_PAUSE_S))
            else:
                delay_s = self._next_delay(delay_s)
                await self._wait(delay_s)

    async def _round(self) -> _Round:
        """Try the nodes that made contact, and then those that the store and the settings list."""
        introduced = self._ordered(self._introductions())
        attempt = await self._try(introduced)
        if attempt.reply is not None:
            return _Round(attempt.reply, None, False, True, False)
        listed = await self._seeds.read() if self._seeds is not None else ()
        configured = (Seed("", address) for address in self._settings.seeds)
        seeds = self._ordered((*(listed or ()), *configured))
        second = await self._try(seeds)
        busy_s = [item.busy_s for item in (attempt, second) if item.busy_s is not None]
        return _Round(
            second.reply,
            min(busy_s, default=None),
            attempt.joining or second.joining,
            bool(introduced or seeds),
            listed is not None,
        )

    def _next_delay(self, delay_s: float) -> float:
        shortest_s = self._settings.store_backoff_min_s
        drawn_s = self._rng.uniform(shortest_s, BACKOFF_FACTOR * delay_s)
        return min(self._settings.store_backoff_max_s, drawn_s)

    async def _may_found(self, seeds_tried: bool, failed_rounds: int) -> bool:
        """Tell whether the node is the first; nodes that start together find each other here."""
        if seeds_tried:
            return failed_rounds >= FAILED_ROUNDS_BEFORE_FOUNDING
        if self._seeds is None:
            return True
        await self._seeds.keep(self._view.own.control_address)
        await asyncio.sleep(self._rng.uniform(*FOUNDER_PAUSE_S))
        listed = await self._seeds.read()
        return listed is not None and not self._ordered(listed)

    def _ordered(self, nodes: Sequence[Seed]) -> list[Seed]:
        own = self._view.own
        seeds = [seed for seed in nodes if seed.address != own.control_address]
        self._rng.shuffle(seeds)
        # A join carries all records; across regions it goes over a link that is billed by volume.
        return sorted(
            seeds,
            key=lambda seed: (
                seed.failure_domain != own.failure_domain,
                seed.region != own.region,
            ),
        )

    async def _try(self, seeds: Sequence[Seed]) -> _Attempt:
        """Ask some nodes, each after a head start of the one before, and take the first reply."""
        outcomes: list[CallOutcome] = []
        pending: set[asyncio.Task[CallOutcome]] = set()
        waiting = list(seeds[:PEERS_ASKED])
        try:
            while waiting or pending:
                if waiting:
                    pending.add(asyncio.create_task(self._join_at(waiting.pop(0))))
                timeout_s = HEAD_START_S if waiting else None
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    outcome = task.result()
                    if isinstance(outcome, Replied):
                        return _Attempt(outcome.message, None, False)
                    outcomes.append(outcome)
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)
        busy_s = [item.retry_after_s for item in outcomes if isinstance(item, Busy)]
        joining = any(
            isinstance(item, Failed) and item.reason is FailureReason.REFUSED for item in outcomes
        )
        return _Attempt(None, min(busy_s, default=None), joining)

    async def _complete(self, reply: JoinReply) -> Joined:
        versions = [reply.held_version]
        tried = {self._view.own.node_id, reply.node_id}
        while len(versions) < PEERS_ASKED:
            peers = self._untried(frozenset(tried))
            if not peers:
                break
            tried.update(peer.node_id for peer in peers)
            for held in await asyncio.gather(*(self._ask_version(peer) for peer in peers)):
                if held is not None:
                    versions.append(held)
        return Joined(len(versions), max(versions))

    def _untried(self, tried: frozenset[str]) -> tuple[NodeRecord, ...]:
        for scope in Scope:
            own_domain = (self._view.own.failure_domain,)
            domains = own_domain if scope is Scope.DOMAIN else self._view.other_domains(scope)
            for domain in domains:
                peers = self._view.sample_domain(self._rng, domain, PEERS_ASKED, tried)
                if peers:
                    return peers
        return ()
