"""The decider of roll-outs, with a store and hosts in memory and virtual time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import pytest

from jaypost.messages import RolloutReport
from jaypost.records import PlacedTarget, RolloutPhase, RolloutStep
from jaypost.rollouts.coordinator import RolloutCoordinator
from jaypost.rollouts.decisions import RolloutOrder
from jaypost.rollouts.evidence import RouteEvidence
from jaypost.rollouts.orders import RolloutKeys, decode_status, encode_order
from jaypost.rollouts.routing import is_excluded
from jaypost.store import (
    Conflict,
    Effect,
    Found,
    Missing,
    PrefixRead,
    Stored,
    StoreEntry,
    StoreFailed,
    Unchanged,
)
from tests.rollouts.test_decisions import NEW, OLD
from tests.virtual_time import VirtualTimePolicy

KEYS = RolloutKeys()
DURATION_S = 16.0
REQUESTS_PER_S = 400.0


@pytest.fixture(scope="module")
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "monotonic", lambda: asyncio.get_running_loop().time())


@dataclass
class MemoryStore:
    """A store that may be away, or lose the responses to writes that it has done."""

    entries: dict[str, StoreEntry] = field(default_factory=dict)
    revision: int = 0
    is_away: bool = False
    loses_responses: bool = False
    era: int = 1

    async def get(self, key: str) -> Found | Missing | StoreFailed:
        if self.is_away:
            return StoreFailed("away", Effect.NONE)
        entry = self.entries.get(key)
        return Missing() if entry is None else Found(entry.value, entry.revision)

    async def put(
        self, key: str, value: bytes, if_revision: int | None, lease_id: str | None = None
    ) -> Stored | Conflict | StoreFailed:
        if self.is_away:
            return StoreFailed("away", Effect.NONE)
        known = self.entries.get(key)
        current = 0 if known is None else known.revision
        if if_revision is not None and if_revision != current:
            return Conflict(current)
        self.revision += 1
        self.entries[key] = StoreEntry(key, self.revision, value)
        if self.loses_responses:
            return StoreFailed("no answer", Effect.UNKNOWN)
        return Stored(self.revision)

    async def watch_prefix(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> PrefixRead | Unchanged | StoreFailed:
        found = tuple(entry for key, entry in self.entries.items() if key.startswith(prefix))
        if self.is_away:
            return StoreFailed("away", Effect.NONE)
        if any(entry.revision > after_revision for entry in found):
            return PrefixRead(found, self.revision)
        await asyncio.sleep(0.1)
        return Unchanged(after_revision)


@dataclass
class MemoryFleet:
    """Hosts that follow published steps and report the responses of their targets."""

    fail_rate: float = 0.0
    targets: tuple[PlacedTarget, ...] = OLD + NEW
    is_leader: bool = True
    is_silent: bool = False
    busy_old_hosts: set[str] = field(default_factory=set)
    step: RolloutStep | None = None
    published: list[RolloutStep] = field(default_factory=list)
    known_at: float = 0.0

    def is_decider(self) -> bool:
        return self.is_leader

    def targets_of(self, service: str) -> tuple[PlacedTarget, ...]:
        return self.targets

    def publish(self, steps: tuple[RolloutStep, ...]) -> None:
        for step in steps:
            if self.step is None or step.newer_than(self.step):
                self.known_at = time.monotonic() if step.number == 1 else self.known_at
                self.step = step
                self.published.append(step)

    def known_step(self, service: str) -> RolloutStep | None:
        return self.step

    def order_age_s(self, step: RolloutStep) -> float:
        return time.monotonic() - self.known_at

    async def report_of(
        self, node_id: str, step: RolloutStep, timeout_s: float
    ) -> RolloutReport | None:
        await asyncio.sleep(0.01)
        if self.is_silent:
            return None
        self.publish((step,))
        (placed,) = (item for item in self.targets if item.node_id == node_id)
        passed_s = time.monotonic()
        share = min(1.0, step.share * 20) if placed.target.version == "v2" else 1.0
        answered = int(share * passed_s * REQUESTS_PER_S / len(OLD))
        rate = self.fail_rate if placed.target.version == "v2" else 0.0
        evidence = (RouteEvidence("r", answered, int(rate * answered), {20: answered}),)
        assert self.step is not None
        excluded = is_excluded(placed.target, self.step) and node_id in self.busy_old_hosts
        is_new = placed.target.version == "v2"
        return RolloutReport(
            node_id,
            1,
            self.step.number,
            int(excluded),
            evidence if is_new else (),
            () if is_new else evidence,
        )


@asynccontextmanager
async def decider(store: MemoryStore, fleet: MemoryFleet) -> AsyncIterator[RolloutCoordinator]:
    coordinator = RolloutCoordinator(
        store, KEYS, fleet, 0.1, era=lambda: store.era, clock=time.monotonic
    )
    coordinator.start()
    try:
        yield coordinator
    finally:
        await coordinator.close()


async def order(store: MemoryStore, version: str = "v2") -> None:
    value = encode_order(RolloutOrder("shop", version, DURATION_S, 0))
    await store.put(KEYS.order_prefix + "shop", value, None)


def written(store: MemoryStore) -> RolloutStep:
    value = store.entries[KEYS.status_prefix + "shop"].value
    status = decode_status("shop", value)
    assert status is not None
    return status.step


@pytest.mark.parametrize(
    ("fail_rate", "phase", "longest_s"),
    [
        pytest.param(0.0, RolloutPhase.SUCCEEDED, 0.75 * DURATION_S, id="good"),
        pytest.param(0.5, RolloutPhase.ROLLED_BACK, 2.0, id="bad"),
    ],
)
async def test_roll_out_ends(fail_rate: float, phase: RolloutPhase, longest_s: float) -> None:
    store, fleet = MemoryStore(), MemoryFleet(fail_rate)
    await order(store)
    async with decider(store, fleet):
        await asyncio.sleep(longest_s)
        assert written(store).phase is phase
        assert fleet.step == written(store)


async def test_version_whose_targets_never_come_is_rolled_back_in_time() -> None:
    store, fleet = MemoryStore(), MemoryFleet(targets=OLD)
    await order(store)
    async with decider(store, fleet):
        await asyncio.sleep(DURATION_S)
        assert written(store).phase is RolloutPhase.ROLLED_BACK


async def test_success_waits_for_old_targets_at_work() -> None:
    """Guards against old targets that stop, without a drain, while they run requests."""
    store, fleet = MemoryStore(), MemoryFleet(busy_old_hosts={OLD[3].node_id})
    await order(store)
    async with decider(store, fleet):
        await asyncio.sleep(0.8 * DURATION_S)
        assert written(store).phase is RolloutPhase.RUNNING
        fleet.busy_old_hosts.clear()
        await asyncio.sleep(1.0)
        assert written(store).phase is RolloutPhase.SUCCEEDED


async def test_roll_back_does_not_wait_for_the_store() -> None:
    """Guards against a bad version that gets requests for as long as the store is away."""
    store, fleet = MemoryStore(), MemoryFleet()
    await order(store)
    async with decider(store, fleet):
        await asyncio.sleep(3.0)
        store.is_away, fleet.fail_rate = True, 0.9
        await asyncio.sleep(4.0)
        assert fleet.step is not None and fleet.step.phase is RolloutPhase.ROLLED_BACK
        assert written(store).phase is RolloutPhase.RUNNING
        store.is_away = False
        await asyncio.sleep(2.0)
        assert written(store).phase is RolloutPhase.ROLLED_BACK


async def test_no_share_grows_without_the_store() -> None:
    store, fleet = MemoryStore(), MemoryFleet()
    await order(store)
    async with decider(store, fleet):
        await asyncio.sleep(3.0)
        store.is_away = True
        await asyncio.sleep(DURATION_S)
        assert max(step.share for step in fleet.published) == 0.05


async def test_step_whose_response_was_lost_is_taken_once() -> None:
    store, fleet = MemoryStore(), MemoryFleet()
    await order(store)
    store.loses_responses = True
    async with decider(store, fleet):
        await asyncio.sleep(DURATION_S)
        assert [step.number for step in fleet.published] == [1, 2, 3]
        assert written(store).phase is RolloutPhase.SUCCEEDED


@pytest.mark.parametrize("lost_at_s", [0.3, 2.0, 7.9, 8.5])
async def test_next_decider_continues(lost_at_s: float) -> None:
    """Guards against a roll-out that nobody ends after its decider was lost."""
    store, fleet = MemoryStore(), MemoryFleet()
    await order(store)
    async with decider(store, fleet):
        await asyncio.sleep(lost_at_s)
    await asyncio.sleep(2.0)
    async with decider(store, fleet):
        await asyncio.sleep(DURATION_S - lost_at_s - 1.0)
        assert written(store).phase is RolloutPhase.SUCCEEDED
        assert [step.number for step in fleet.published] == [1, 2, 3]


async def test_two_deciders_do_not_both_act() -> None:
    """Guards against steps of a node that was paused and still takes itself for the decider."""
    store, fleet = MemoryStore(), MemoryFleet()
    await order(store)
    async with decider(store, fleet), decider(store, fleet):
        await asyncio.sleep(DURATION_S)
    assert [step.number for step in fleet.published] == [1, 2, 3]


async def test_order_that_is_replaced_starts_again_from_the_same_baseline() -> None:
    store, fleet = MemoryStore(), MemoryFleet()
    await order(store)
    async with decider(store, fleet):
        await asyncio.sleep(9.0)
        third = tuple(
            replace(item, target=replace(item.target, version="v3"), node_id=f"x{item.node_id}")
            for item in NEW
        )
        fleet.targets = OLD + NEW + third
        await order(store, "v3")
        await asyncio.sleep(1.0)
        step = written(store)
        assert (step.version, step.baseline, step.share) == ("v3", "v1", 0.05)


async def test_hosts_that_do_not_answer_do_not_hold_up_the_end() -> None:
    store, fleet = MemoryStore(), MemoryFleet(is_silent=True)
    await order(store)
    async with decider(store, fleet):
        await asyncio.sleep(DURATION_S)
        assert written(store).phase is not RolloutPhase.RUNNING


@pytest.mark.parametrize("restored_at_s", [2.0, 8.3, 13.0])
@pytest.mark.parametrize("age_s", [0.0, 1.0, 4.0, 10.0])
@pytest.mark.parametrize("fail_rate", [0.0, 0.5])
async def test_store_comes_back_from_an_older_copy(
    restored_at_s: float, age_s: float, fail_rate: float
) -> None:
    """Guards against a bad version that gets requests again, and a roll-out that starts anew.

    The copy may be older than the order, than its first step, or than its end.
    """
    store, fleet = MemoryStore(), MemoryFleet(fail_rate)
    copies: list[tuple[float, dict[str, StoreEntry], int]] = [(0.0, {}, 0)]
    async with decider(store, fleet):
        await asyncio.sleep(1.0)
        await order(store)
        while now() < restored_at_s:
            copies.append((now(), dict(store.entries), store.revision))
            await asyncio.sleep(0.1)
        _, store.entries, store.revision = max(
            (copy for copy in copies if copy[0] <= max(0.0, restored_at_s - age_s)),
            key=lambda copy: copy[0],
        )
        store.era += 1
        before = fleet.step
        await asyncio.sleep(0.3)
        store.entries = dict(store.entries)
        await order(store)
        await asyncio.sleep(1.0 + DURATION_S)
        assert before is not None and fleet.step is not None
        assert written(store) == fleet.step
        assert fleet.step.era == 2
        expected = RolloutPhase.ROLLED_BACK if fail_rate else RolloutPhase.SUCCEEDED
        assert fleet.step.phase is expected
        shares = [step.share for step in fleet.published if step.era == 2]
        assert fail_rate or min(shares) >= before.share


def now() -> float:
    return asyncio.get_running_loop().time()
