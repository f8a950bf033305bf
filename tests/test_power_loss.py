"""All hosts of a fleet lose power and are back within a second or two.

Simulates how the nodes find each other again, with delays between the hosts and in virtual time.
Guards against requests that are refused for seconds after the power is back, and against copies of
the table from the store that fill a narrow link between regions.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from jaypost.gossip import SEED_INVITATION_INTERVAL_S
from jaypost.joining import SEEDS_JOINING_WAIT_S, Founded, Joiner, JoinOutcome
from jaypost.messages import JoinReply
from jaypost.peers import CallOutcome, Failed, FailureReason, Replied
from jaypost.records import Address
from jaypost.seeds import Seed
from jaypost.view import MembershipView
from tests.gossip_fleet import make_record, make_settings
from tests.virtual_time import VirtualTimePolicy

NEAR, FAR = "near", "far"
ROUND_TRIP_S_BY_LINK = {False: 0.06, True: 0.002}  # by whether both ends are in one region
CONNECT_TIMEOUT_S = 1.0
# Time from a founder's start until it holds the table, by region.
TABLE_READ_S_BY_REGION = {NEAR: 0.07, FAR: 1.0}
# The slow hosts, which are most of them, start their node this much later than the fast ones.
SLOW_START_S = 0.8
# Entries of a server that lapsed are expected back within this time.
RETURN_BOUND_S = 2.0


@pytest.fixture(scope="module")
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@dataclass
class SimulatedNode:
    """A node that starts, joins or founds the fleet, and has the table some time later."""

    world: World
    name: str
    region: str
    address: Address
    starts_at_s: float
    started: bool = False
    outcome: JoinOutcome | None = None
    joined_at_s: float = 0.0
    declined: list[SimulatedNode] = field(default_factory=list)
    candidates: list[Seed] = field(default_factory=list)
    candidate_added: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def seed(self) -> Seed:
        return Seed(self.region, self.address, self.region)

    async def run(self) -> None:
        await asyncio.sleep(self.starts_at_s)
        self.started = True
        settings = make_settings(self.name, self.region, self.region, join_jitter_s=0.1)
        record = make_record(self.name, self.region, self.region)
        object.__setattr__(record, "control_address", self.address)
        joiner = Joiner(
            settings,
            MembershipView(record, 0.0),
            random.Random(self.name),
            self,
            self.join_at,
            self.ask_version,
            self.take_candidates,
            self.wait,
            lambda: ROUND_TRIP_S_BY_LINK[self.region == NEAR],
        )
        outcome = await joiner.run()
        if isinstance(outcome, Founded):
            invitations = [asyncio.create_task(self.invite(seed)) for seed in self.world.seeds]
            await asyncio.sleep(TABLE_READ_S_BY_REGION[self.region])
        self.outcome, self.joined_at_s = outcome, asyncio.get_running_loop().time()
        for node in self.declined:
            node.add_candidate(self)
        if isinstance(outcome, Founded):
            await asyncio.gather(*invitations)

    async def invite(self, seed: Seed) -> None:
        until = asyncio.get_running_loop().time() + SEEDS_JOINING_WAIT_S
        while asyncio.get_running_loop().time() < until:
            node = self.world.node_by_address.get(seed.address)
            if node is not None and node.started and node is not self:
                await asyncio.sleep(ROUND_TRIP_S_BY_LINK[node.region == self.region] / 2)
                node.add_candidate(self)
                return
            await asyncio.sleep(SEED_INVITATION_INTERVAL_S)

    def add_candidate(self, node: SimulatedNode) -> None:
        if self.outcome is None:
            self.candidates.append(node.seed)
            self.candidate_added.set()

    # What `Joiner` calls

    async def read(self, allow_stale: bool = False) -> tuple[Seed, ...]:
        await asyncio.sleep(ROUND_TRIP_S_BY_LINK[self.region == NEAR])
        return self.world.seeds

    async def register(self, address: Address) -> bool:
        return True

    async def unregister(self) -> None:
        pass

    async def join_at(self, seed: Seed) -> CallOutcome:
        node = self.world.node_by_address.get(seed.address)
        if node is None:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return Failed(FailureReason.CONNECT_FAILED)
        await asyncio.sleep(ROUND_TRIP_S_BY_LINK[node.region == self.region])
        if not node.started:
            return Failed(FailureReason.CONNECT_FAILED)
        if node.outcome is None:
            node.declined.append(self)
            return Failed(FailureReason.REFUSED)
        return Replied(JoinReply(node.name, 1))

    async def ask_version(self, peer: object) -> int | None:
        return None

    def take_candidates(self) -> tuple[Seed, ...]:
        taken, self.candidates = tuple(self.candidates), []
        return taken

    async def wait(self, timeout_s: float) -> None:
        if self.candidates:
            return
        self.candidate_added.clear()
        try:
            await asyncio.wait_for(self.candidate_added.wait(), timeout_s)
        except TimeoutError:
            pass


class World:
    """Hosts in two regions, some of them fast, and the seeds in the store.

    Parameters
    ----------
    host_count : int
        Number of hosts. One in four is fast.
    seed_count : int
        Number of slow hosts that are seeds.
    lost_seed_count : int
        Number of seeds whose hosts never come back.
    """

    def __init__(self, host_count: int, seed_count: int, lost_seed_count: int) -> None:
        self.nodes = [
            SimulatedNode(
                self,
                f"n{number}",
                FAR if number % 2 else NEAR,
                Address(f"10.0.0.{number}", 7600),
                0.0 if number % 8 in (0, 1) else SLOW_START_S,
            )
            for number in range(host_count)
        ]
        self.node_by_address = {node.address: node for node in self.nodes}
        slow = [node for node in self.nodes if node.starts_at_s]
        lost = [Seed("gone", Address(f"10.9.0.{i}", 7600)) for i in range(lost_seed_count)]
        self.seeds = (*(node.seed for node in slow[:seed_count]), *lost)


@pytest.mark.parametrize(
    ("host_count", "seed_count", "lost_seed_count"),
    [(32, 5, 0), (32, 5, 6), (12, 4, 0), (200, 8, 4)],
)
async def test_nodes_that_lost_power_together_find_each_other(
    host_count: int, seed_count: int, lost_seed_count: int
) -> None:
    """Few nodes found the fleet, none of them far from the store, and all are joined in time."""
    world = World(host_count, seed_count, lost_seed_count)
    await asyncio.gather(*(node.run() for node in world.nodes))
    founders = [node for node in world.nodes if isinstance(node.outcome, Founded)]
    assert 1 <= len(founders) <= host_count // 4
    assert {node.region for node in founders} == {NEAR}
    assert max(node.joined_at_s for node in world.nodes) <= SLOW_START_S + RETURN_BOUND_S
