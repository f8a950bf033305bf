"""The role of the divider: its lease in the store, and the shares that it grants meanwhile."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest

from jaypost.allotments.buckets import ShareBuckets, Taken
from jaypost.allotments.divider import FIRST_TERM_KEY, LEASE_TTL_S, Divider
from jaypost.allotments.holder import LONGEST_WAIT_S, ShareHolder
from jaypost.allotments.shares import LEASE_S, Demand
from jaypost.messages import AllotmentReply, AllotmentRequest
from jaypost.records import NodeRecord
from jaypost.store import (
    Conflict,
    Effect,
    LeaseExpired,
    LeaseGranted,
    LeaseHeld,
    Stored,
    StoreFailed,
)
from tests.allotments.test_shares import LEASED, LIMITS, SEQUENCE, TOLERANCE, WORKSPACE
from tests.gossip_fleet import make_record
from tests.virtual_time import VirtualTimePolicy


@pytest.fixture(scope="module")
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class LeaseStore:
    """One key under a lease, and keys without one; the store may be away."""

    revision: int = 0
    owner: str = ""
    kept_keys: set[str] = field(default_factory=set)
    loses_reply_for: str = ""
    expires_at_by_lease: dict[str, float] = field(default_factory=dict)
    is_away: bool = False
    raises: bool = False

    def _expire(self) -> None:
        if self.owner and self.expires_at_by_lease.get(self.owner, 0.0) <= now():
            self.owner = ""

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | StoreFailed:
        if self.raises:
            raise RuntimeError("unexpected")
        if self.is_away:
            return StoreFailed("away", Effect.UNKNOWN)
        lease_id = str(len(self.expires_at_by_lease))
        self.expires_at_by_lease[lease_id] = now() + ttl_s
        return LeaseGranted(lease_id)

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> Stored | Conflict | StoreFailed:
        if self.is_away:
            return StoreFailed("away", Effect.UNKNOWN)
        if lease_id is None:
            assert if_revision == 0
            if key in self.kept_keys:
                return Conflict(self.revision)
            self.kept_keys.add(key)
            if key == self.loses_reply_for:
                return StoreFailed("lost", Effect.UNKNOWN)
            return Stored(self.revision)
        self._expire()
        if self.owner:
            return Conflict(self.revision)
        self.owner, self.revision = lease_id, self.revision + 1
        return Stored(self.revision)

    async def renew_lease(self, lease_id: str) -> LeaseHeld | LeaseExpired | StoreFailed:
        if self.is_away:
            return StoreFailed("away", Effect.UNKNOWN)
        if self.expires_at_by_lease[lease_id] <= now():
            return LeaseExpired()
        self.expires_at_by_lease[lease_id] = now() + LEASE_TTL_S
        return LeaseHeld()

    async def delete(self, key: str, if_revision: int | None) -> Stored | Conflict:
        if if_revision != self.revision:
            return Conflict(self.revision)
        self.owner = ""
        return Stored(self.revision)


@dataclass
class Candidate:
    """A node that divides while it is the candidate."""

    store: LeaseStore
    name: str
    is_candidate: bool = True
    may_continue: bool = True
    first_start: bool = False
    term: int = 0

    def __post_init__(self) -> None:
        self.divider = Divider(
            self.name,
            self.store,
            lambda: self.is_candidate,
            lambda: self.may_continue,
            lambda: LIMITS,
            lambda: ("a", "b"),
            self.publish,
            first_start=self.first_start,
            clock=now,
        )

    def publish(self, term: int) -> None:
        self.term = term

    def rate_for(self, host: str, rate: float = 60.0, held: float = 0.0) -> float | None:
        request = AllotmentRequest(
            host, self.divider.term, 1, next(SEQUENCE), (Demand("lettings", rate, 0, held, held),)
        )
        reply = self.divider.handle(request)
        return reply.grants[0].rate if reply is not None else None


@asynccontextmanager
async def running(*candidates: Candidate) -> AsyncIterator[None]:
    for candidate in candidates:
        candidate.divider.start()
    await asyncio.sleep(1.0)
    try:
        yield
    finally:
        for candidate in candidates:
            await candidate.divider.close()


async def test_only_one_node_divides() -> None:
    store = LeaseStore()
    one, two = Candidate(store, "one"), Candidate(store, "two")
    async with running(one, two):
        await asyncio.sleep(10.0)
        assert sorted([one.term > 0, two.term > 0]) == [False, True]


async def test_divider_goes_on_when_another_node_is_the_candidate() -> None:
    """Guards against a recovery for each change of the candidate while nodes start."""
    store = LeaseStore()
    one, two = Candidate(store, "one"), Candidate(store, "two", is_candidate=False)
    async with running(one, two):
        one.is_candidate, two.is_candidate = False, True
        await asyncio.sleep(10.0)
        assert one.term and not two.term


async def test_node_that_leaves_or_hears_nobody_hands_the_role_over() -> None:
    store = LeaseStore()
    one, two = Candidate(store, "one"), Candidate(store, "two", is_candidate=False)
    async with running(one, two):
        held = one.rate_for("a") or 0.0
        one.may_continue, two.is_candidate = False, True
        await asyncio.sleep(2.0)
        assert (one.term, one.rate_for("a")) == (0, None)
        granted = two.rate_for("b")
        assert granted is not None and held + granted <= 20.0


@pytest.mark.parametrize("away_s", [1.0, 4.5, 20.0])
async def test_nothing_is_granted_after_the_lease_may_have_ended(away_s: float) -> None:
    """Guards against two dividers while one of them does not reach the store (QUOTA)."""
    store = LeaseStore()
    one = Candidate(store, "one")
    async with running(one):
        store.is_away = True
        await asyncio.sleep(away_s)
        may_be_lost = away_s >= LEASE_TTL_S
        assert (one.rate_for("a") is None) is may_be_lost
        store.is_away = False
        await asyncio.sleep(2.0)
        assert one.rate_for("a") is not None


async def test_divider_that_is_lost_is_replaced_within_the_leases_of_the_hosts() -> None:
    """Guards against requests that are refused because their divider was lost."""
    store = LeaseStore()
    one, two = Candidate(store, "one"), Candidate(store, "two", is_candidate=False)
    async with running(one, two):
        assert one.rate_for("a", 10.0, held=10.0) == pytest.approx(10.0)
        one.is_candidate, one.may_continue = False, False
        one.divider._lease_id = None  # lost without a word to the store
        two.is_candidate = True
        await asyncio.sleep(LEASE_S - 1.0)
        assert two.term > 0
        assert two.rate_for("a", 10.0, held=10.0) == pytest.approx(10.0)


@pytest.mark.parametrize(
    ("first_starts", "loses_reply", "is_older_copy", "first_has_all"),
    [
        pytest.param((True, True), False, False, True, id="second divider since the first start"),
        pytest.param((True, True), False, True, True, id="store that came back without the key"),
        pytest.param((True, True), True, False, False, id="lost reply of the store"),
        pytest.param((False, True), False, False, False, id="first divider of a restarted node"),
    ],
)
async def test_divider_does_not_lease_the_shares_of_an_earlier_one_again(
    first_starts: tuple[bool, bool], loses_reply: bool, is_older_copy: bool, first_has_all: bool
) -> None:
    """Guards against a host that is cut off and uses its share beside the new ones (QUOTA)."""
    store = LeaseStore(loses_reply_for=FIRST_TERM_KEY if loses_reply else "")
    one = Candidate(store, "one", first_start=first_starts[0])
    two = Candidate(store, "two", is_candidate=False, first_start=first_starts[1])
    async with running(one, two):
        granted = one.rate_for("a")
        assert granted is not None and (granted > 0.0) is first_has_all
        if not first_has_all:
            await asyncio.sleep(LEASE_S)
        held = one.rate_for("a") or 0.0
        assert held > 0.0
        one.is_candidate = False
        one.divider._lease_id = None  # cut off: the lease in the store is not renewed
        two.is_candidate = True
        if is_older_copy:
            store.kept_keys.clear()
            two.divider.forget_lease()
        await asyncio.sleep(LEASE_TTL_S + 1.0)
        assert two.term > one.term
        granted = two.rate_for("b")
        assert granted is not None and held + granted <= LEASED + TOLERANCE


@dataclass
class Directory:
    """The divider as a host reaches it."""

    candidate: Candidate
    is_cut: bool = False
    raises: bool = False
    asked: int = 0

    def divider(self) -> NodeRecord | None:
        if not self.candidate.term:
            return None
        record = make_record(self.candidate.name, "d", "r")
        return replace(record, divider_term=self.candidate.term)

    def host_count(self) -> int:
        return 2

    async def ask(
        self, divider: NodeRecord, request: AllotmentRequest, timeout_s: float
    ) -> AllotmentReply | None:
        self.asked += 1
        if self.raises:
            raise RuntimeError("unexpected")
        await asyncio.sleep(0.03)
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            return None
        return self.candidate.divider.handle(request)


@asynccontextmanager
async def running_host(directory: Directory, name: str = "a") -> AsyncIterator[ShareHolder]:
    holder = ShareHolder(name, 1, ShareBuckets(0.0), directory, random.Random(1), clock=now)
    holder.start()
    try:
        yield holder
    finally:
        await holder.close()


async def admit(holder: ShareHolder) -> bool:
    outcome = holder.take(WORKSPACE)
    if type(outcome).__name__ == "Short":
        outcome = await holder.acquire(WORKSPACE)
    return isinstance(outcome, Taken)


async def test_hosts_that_lost_power_together_admit_before_there_is_a_divider() -> None:
    """Guards against a fleet that refuses everything until its divider has recovered (RECOVER)."""
    candidate = Candidate(LeaseStore(), "one", is_candidate=False)
    directory = Directory(candidate)
    async with running(candidate), running_host(directory) as holder:
        await asyncio.sleep(1.5)
        admitted = 0
        for _ in range(60):
            admitted += isinstance(holder.take(WORKSPACE), Taken)
            await asyncio.sleep(0.05)
        assert 12 <= admitted <= 17  # half of 20 a second, divided by two hosts, for 3 s
        candidate.is_candidate = True
        await asyncio.sleep(2.0)
        held = sum(holder.rates().values())
        granted = candidate.rate_for("b", 60.0)
        assert granted is not None and held + granted <= LEASED + TOLERANCE


async def test_first_request_of_a_host_waits_for_its_share() -> None:
    """Guards against a request that is refused although its workspace has room."""
    candidate = Candidate(LeaseStore(), "one")
    directory = Directory(candidate)
    async with running(candidate), running_host(directory) as holder:
        await asyncio.sleep(LEASE_S + 1.0)
        started_at = now()
        assert await admit(holder)
        assert now() - started_at < LONGEST_WAIT_S


async def test_host_that_is_cut_off_uses_its_share_until_it_ends() -> None:
    candidate = Candidate(LeaseStore(), "one")
    directory = Directory(candidate)
    async with running(candidate), running_host(directory) as holder:
        await asyncio.sleep(LEASE_S + 1.0)
        for _ in range(20):
            await admit(holder)
            await asyncio.sleep(0.1)
        directory.is_cut = True
        admitted = []
        for _ in range(100):
            await asyncio.sleep(0.1)
            admitted.append(await admit(holder))
        assert all(admitted[:30]) and not any(admitted[-20:])


async def test_host_without_limited_requests_asks_nothing_after_the_first_report() -> None:
    """Guards against messages on deployments that do not use allotments."""
    candidate = Candidate(LeaseStore(), "one")
    directory = Directory(candidate)
    async with running(candidate), running_host(directory):
        await asyncio.sleep(10.0)
        assert directory.asked == 1


async def test_error_of_one_call_does_not_end_the_division() -> None:
    """Guards against a fleet without a divider for as long as the candidate stays the same."""
    store = LeaseStore(raises=True)
    candidate = Candidate(store, "one")
    async with running(candidate):
        await asyncio.sleep(5.0)
        assert not candidate.term
        store.raises = False
        await asyncio.sleep(2.0)
        assert candidate.term


async def test_error_of_one_renewal_does_not_end_the_renewals() -> None:
    """Guards against a host that has no share until it restarts."""
    candidate = Candidate(LeaseStore(), "one")
    directory = Directory(candidate, raises=True)
    async with running(candidate), running_host(directory) as holder:
        await asyncio.sleep(LEASE_S + 1.0)
        assert not await admit(holder)
        directory.raises = False
        await asyncio.sleep(1.5)
        assert await admit(holder)
