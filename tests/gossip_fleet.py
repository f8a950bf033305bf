"""A small fleet of gossiping nodes in one process, with fakes of the holder and of the seeds."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from jaypost import settings as settings_module
from jaypost.config import OfferDeltas, OfferTable
from jaypost.gossip import Gossip
from jaypost.peers import PeerChannels
from jaypost.records import (
    Address,
    Delta,
    NodeRecord,
    NodeState,
    Stamp,
    Table,
    Target,
    TargetState,
)
from jaypost.seeds import Seed
from jaypost.settings import Settings
from jaypost.view import MembershipView

LOOPBACK_ANY_PORT = Address("127.0.0.1", 0)
FIRST_STAMP = Stamp(1, 0)
# Limit on the syncs of all nodes together, which share one event loop. More syncs would delay calls
# past their timeout, and each timeout causes probes and new connections.
MAX_SYNCS_PER_S = 50.0
MIN_SYNC_INTERVAL_S = 0.1


def delta(version: int) -> Delta:
    """Return the delta that leads to a version."""
    return Delta(version, f"change{version}", "test", 0, "", (), f"digest{version}")


class FakeHolder:
    """Holds a version without rows, and the last `kept_deltas` deltas."""

    def __init__(self, kept_deltas: int = 32) -> None:
        self.on_held_version_raised: Callable[[], None] | None = None
        self.held_version = 0
        self.kept_deltas = kept_deltas
        self.raised_at = 0.0
        self.tables_received = 0

    @property
    def in_force_version(self) -> int:
        return self.held_version

    @property
    def held_table(self) -> Table:
        return Table(self.held_version, {}, f"digest{self.held_version}")

    @property
    def table_for_replies(self) -> Table:
        return self.held_table

    def deltas_since(self, version: int) -> tuple[Delta, ...] | None:
        if version < self.held_version - self.kept_deltas:
            return None
        return tuple(delta(number) for number in range(version + 1, self.held_version + 1))

    def offer(self, message: Any, activate: bool = True) -> object:
        if isinstance(message, OfferTable):
            self.tables_received += 1
            return self.raise_to(message.table.version)
        assert isinstance(message, OfferDeltas)
        if message.deltas[0].version > self.held_version + 1:
            return None
        return self.raise_to(message.deltas[-1].version)

    def raise_to(self, version: int) -> None:
        if version > self.held_version:
            self.held_version = version
            self.raised_at = time.monotonic()
            if self.on_held_version_raised is not None:
                self.on_held_version_raised()


@dataclass
class FakeStore:
    """Seeds that all nodes share; `available` is false during a store outage."""

    available: bool = True
    address_by_node: dict[tuple[str, str], Address] = field(default_factory=dict)


@dataclass
class FakeSeeds:
    """Implements `SeedDirectory` on a `FakeStore`."""

    store: FakeStore
    failure_domain: str
    node_id: str

    async def read(self, allow_stale: bool = False) -> tuple[Seed, ...] | None:
        if not self.store.available:
            return None
        items = self.store.address_by_node.items()
        return tuple(Seed(domain, address) for (domain, _), address in items)

    async def register(self, address: Address) -> bool:
        if self.store.available:
            self.store.address_by_node[(self.failure_domain, self.node_id)] = address
        return self.store.available

    async def unregister(self) -> None:
        if self.store.available:
            self.store.address_by_node.pop((self.failure_domain, self.node_id), None)


def make_settings(node_id: str, failure_domain: str, region: str, **changes: Any) -> Settings:
    """Return settings with short intervals; `changes` replace settings by name."""
    defaults = settings_module.DEFAULTS
    parsed = {
        name: setting.parse(defaults[name])
        for name, setting in settings_module.SETTING_BY_NAME.items()
        if name in defaults
    }
    parsed |= {
        "node_id": node_id,
        "failure_domain": failure_domain,
        "region": region,
        "store": LOOPBACK_ANY_PORT,
        "listen_control": LOOPBACK_ANY_PORT,
        "sync_interval_s": MIN_SYNC_INTERVAL_S,
        "cross_region_interval_s": 2 * MIN_SYNC_INTERVAL_S,
        "suspicion_s": 0.6,
        "beacon_timeout_s": 2.0,
        "join_jitter_s": 0.05,
    }
    return Settings(**(parsed | changes))


def make_record(
    node_id: str,
    failure_domain: str = "d1",
    region: str = "r1",
    stamp: Stamp = FIRST_STAMP,
    state: NodeState = NodeState.READY,
    services: tuple[str, ...] = (),
) -> NodeRecord:
    """Return a record with one ready target for each service."""
    targets = tuple(
        Target(f"{node_id}-{service}", service, 9000, 4, TargetState.READY) for service in services
    )
    return NodeRecord(
        node_id,
        failure_domain,
        region,
        LOOPBACK_ANY_PORT,
        LOOPBACK_ANY_PORT,
        LOOPBACK_ANY_PORT,
        stamp,
        state,
        targets,
    )


class Node:
    """One node: view, fake holder, channels and gossip; `rng_seed` seeds its random choices."""

    def __init__(
        self,
        fleet: Fleet,
        record: NodeRecord,
        seeds: tuple[Address, ...] = (),
        rng_seed: int = 0,
        **changes: Any,
    ) -> None:
        self.fleet = fleet
        self.settings = make_settings(
            record.node_id, record.failure_domain, record.region, seeds=seeds, **changes
        )
        self.view = MembershipView(record, time.monotonic(), self.settings.suspicion_s)
        self.holder = FakeHolder()
        self.channels = PeerChannels(self.settings.connect_timeout_s)
        self.channels.is_link_cut = self._is_link_cut
        self.gossip = Gossip(
            self.settings,
            self.view,
            self.holder,
            self.channels,
            random.Random(rng_seed),
            FakeSeeds(fleet.store, record.failure_domain, record.node_id),
        )

    @property
    def node_id(self) -> str:
        return self.view.own.node_id

    @property
    def address(self) -> Address:
        return self.view.own.control_address

    def _is_link_cut(self, address: Address) -> bool:
        other = self.fleet.domain_by_address.get(address)
        if self.fleet.isolated_addresses.intersection((self.address, address)):
            return True
        return frozenset((self.view.own.failure_domain, other)) in self.fleet.cut_domain_pairs

    async def start(self) -> None:
        await self.gossip.start()
        self.fleet.domain_by_address[self.address] = self.view.own.failure_domain

    async def join(self) -> Any:
        outcome = await self.gossip.join()
        self.gossip.publish(state=NodeState.READY)
        return outcome


class Fleet:
    """Nodes that share a store.

    The network can be cut between the failure domains in `cut_domain_pairs`, and around the nodes
    in `isolated_addresses`.
    """

    def __init__(self) -> None:
        self.store = FakeStore()
        self.nodes: list[Node] = []
        self.domain_by_address: dict[Address, str] = {}
        self.cut_domain_pairs: set[frozenset[str | None]] = set()
        self.isolated_addresses: set[Address] = set()

    async def add(
        self, node_id: str, failure_domain: str = "d1", region: str = "r1", **changes: Any
    ) -> Node:
        """Start a node, without joining it."""
        record = make_record(node_id, failure_domain, region, state=NodeState.JOINING)
        targets = (Target(f"{node_id}-shop", "shop", 9000, 4, TargetState.READY),)
        changes.setdefault("rng_seed", len(self.nodes))
        stamp = changes.pop("stamp", record.stamp)
        control_address = changes.pop("control_address", record.control_address)
        record = replace(record, stamp=stamp, control_address=control_address, targets=targets)
        node = Node(self, record, **changes)
        await node.start()
        self.nodes.append(node)
        return node

    async def add_joined(
        self, count: int, domains: tuple[tuple[str, str], ...] = (("d1", "r1"),)
    ) -> None:
        """Start and join nodes, spread over (failure domain, region) pairs."""
        interval_s = max(MIN_SYNC_INTERVAL_S, count / MAX_SYNCS_PER_S)
        added = [
            await self.add(
                f"n{number:02}",
                *domains[number % len(domains)],
                sync_interval_s=interval_s,
                cross_region_interval_s=2 * interval_s,
            )
            for number in range(count)
        ]
        await added[0].join()
        await asyncio.gather(*(node.join() for node in added[1:]))

    async def stop(self, node: Node) -> None:
        """Stop a node without `leave`; as after a crash, its seed stays in the store."""
        self.nodes.remove(node)
        seeds = dict(self.store.address_by_node)
        await node.gossip.close()
        self.store.address_by_node.update(seeds)

    async def close(self) -> None:
        await asyncio.gather(*(node.gossip.close() for node in self.nodes))


async def eventually(condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
    """Wait until a condition holds; the default timeout is far above the usual time."""
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.02)
