"""Gossip of some tens of nodes on loopback."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from jaypost.joining import Founded, Joined, JoinServer
from jaypost.messages import Push
from jaypost.peers import Busy, Failed, FailureReason, Replied
from jaypost.records import Accusation, Address, NodeState, Stamp, TargetState
from jaypost.view import MembershipView
from tests.fleet import FIRST_STAMP, FakeStore, Fleet, Node, eventually, make_record

ONE_DOMAIN = (("d1", "r1"),)
TWO_DOMAINS = (("d1", "r1"), ("d2", "r1"))
TWO_REGIONS = (("d1", "r1"), ("d2", "r1"), ("d3", "r2"))


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.close()


def converged(fleet: Fleet) -> bool:
    hashes = {node.view.root_hash() for node in fleet.nodes}
    versions = {node.holder.held_version for node in fleet.nodes}
    return len(hashes) == len(versions) == 1


def reachable(node: Node, others: list[Node]) -> list[bool]:
    return [node.view.is_reachable(other.node_id) for other in others]


def readers(fleet: Fleet) -> list[Node]:
    return [node for node in fleet.nodes if node.gossip.is_reader()]


def split(fleet: Fleet) -> tuple[list[Node], list[Node]]:
    home = [node for node in fleet.nodes if node.view.own.failure_domain == "d1"]
    return home, [node for node in fleet.nodes if node not in home]


@pytest.mark.parametrize("domains", [ONE_DOMAIN, TWO_REGIONS])
async def test_records_and_versions_reach_every_node(fleet: Fleet, domains) -> None:
    """Guards against a node that misses records or versions although the network is whole."""
    await fleet.grow(24, domains)
    await eventually(lambda: converged(fleet) and all(len(n.view) == 24 for n in fleet.nodes))
    fleet.nodes[7].holder._raise_to(1)
    await eventually(lambda: all(node.holder.held_version == 1 for node in fleet.nodes))
    assert len(readers(fleet)) == 2 * len(domains)


async def test_a_node_that_is_far_behind_gets_the_table(fleet: Fleet) -> None:
    """Guards against a node that stays on an old version when its deltas are gone."""
    await fleet.grow(5)
    behind = fleet.nodes[3]
    fleet.isolated.add(behind.address)
    for version in range(1, 41):
        fleet.nodes[0].holder._raise_to(version)
    fleet.isolated.clear()
    await eventually(lambda: behind.holder.held_version == 40)
    assert behind.holder.tables_taken == 1


async def test_cut_domains_serve_on_and_heal(fleet: Fleet) -> None:
    """Guards against a cut that drops targets, and against one that never ends."""
    await fleet.grow(12, TWO_DOMAINS)
    await eventually(lambda: converged(fleet))
    home, away = split(fleet)
    changes: list[int] = []
    home[-1].gossip.on_view_changed = lambda: changes.append(home[-1].view.changes)
    fleet.cuts.add(frozenset(("d1", "d2")))
    await eventually(lambda: not any(any(reachable(node, away)) for node in home))
    await eventually(lambda: not any(any(reachable(node, home)) for node in away))
    await eventually(lambda: bool(changes))
    assert all(all(reachable(node, home)) for node in home)
    assert {len(node.view.targets_by_service(0.0)["shop"]) for node in fleet.nodes} == {12}
    home[0].holder._raise_to(1)
    await eventually(lambda: all(node.holder.held_version == 1 for node in home))
    assert {node.holder.held_version for node in away} == {0}
    fleet.cuts.clear()
    await eventually(lambda: converged(fleet))
    await eventually(lambda: all(all(reachable(node, fleet.nodes)) for node in fleet.nodes))


async def test_isolated_node_is_accused_and_refutes_when_it_is_back(fleet: Fleet) -> None:
    """Guards against a paused node that stays unreachable, or that accuses everybody."""
    await fleet.grow(8)
    await eventually(lambda: converged(fleet))
    victim, *others = reversed(fleet.nodes)
    stamps = {node.node_id: node.view.own.stamp for node in others}
    fleet.isolated.add(victim.address)
    await eventually(lambda: not any(n.view.is_reachable(victim.node_id) for n in others))
    await eventually(lambda: not any(reachable(victim, others)))
    fleet.isolated.clear()
    await eventually(lambda: all(n.view.is_reachable(victim.node_id) for n in others))
    await eventually(lambda: all(reachable(victim, others)))
    assert {node.node_id: node.view.own.stamp for node in others} == stamps


async def test_dead_readers_are_replaced(fleet: Fleet) -> None:
    """Guards against a domain that nobody connects to the store any more."""
    await fleet.grow(8)
    await eventually(lambda: converged(fleet) and len(readers(fleet)) == 2)
    dead = readers(fleet)
    await asyncio.gather(*(fleet.stop(node) for node in dead))
    await eventually(lambda: len(readers(fleet)) == 2)
    seeds = fleet.store.address_by_node
    await eventually(lambda: all(("d1", node.node_id) in seeds for node in readers(fleet)))


async def test_node_without_beacons_starts_to_read(fleet: Fleet) -> None:
    """Guards against readers that others count as reachable while they do nothing."""
    await fleet.grow(4)
    await eventually(lambda: converged(fleet) and len(readers(fleet)) == 2)
    idle = [node for node in fleet.nodes if not node.gossip.is_reader()]
    for node in idle:
        node.gossip._fallback_delay_s = 0.0
    for node in readers(fleet):
        node.gossip._take_beacons = lambda beacons: None
    await eventually(lambda: any(node.gossip.is_reader() for node in idle))


@pytest.mark.parametrize(("others", "asked"), [(1, {1}), (2, {2}), (5, {3, 4})])
async def test_restart_while_the_store_is_away(fleet: Fleet, others: int, asked: set[int]) -> None:
    """Guards against a restarted node that starts on an older version than it used before."""
    await fleet.grow(others + 1)
    fleet.nodes[0].holder._raise_to(5)
    await eventually(lambda: converged(fleet))
    victim = fleet.nodes[-1]
    await fleet.stop(victim)
    fleet.store.available = False
    seeds = tuple(node.address for node in fleet.nodes[:2])
    again = await fleet.add(victim.node_id, stamp=Stamp(0, 0), seeds=seeds)
    outcome = await again.join()
    assert isinstance(outcome, Joined)
    assert outcome.asked in asked, "each peer counts once"
    assert outcome.highest_version == again.holder.held_version == 5
    # The clock went backwards, so the first stamp was below the one the others know.
    await eventually(lambda: converged(fleet))
    assert again.view.own.stamp.newer_than(Stamp(1, 0))
    assert all(n.view.get(again.node_id).state is NodeState.READY for n in fleet.nodes)


async def test_groups_that_started_apart_find_each_other(fleet: Fleet) -> None:
    """Guards against two fleets that both believe to be the whole one."""
    one, two = await fleet.add("one"), await fleet.add("two", "d2")
    fleet.cuts.add(frozenset(("d1", "d2")))
    assert [type(await node.join()) for node in (one, two)] == [Founded, Founded]
    fleet.cuts.clear()
    await one.gossip._meet_seeds()
    await eventually(lambda: converged(fleet) and len(one.view) == 2)


async def test_leaving_is_told(fleet: Fleet) -> None:
    """Guards against a node that others keep using after it left."""
    await fleet.grow(6)
    await eventually(lambda: converged(fleet))
    leaver = fleet.nodes[2]
    await leaver.gossip.leave()
    await fleet.stop(leaver)
    await eventually(
        lambda: all(n.view.get(leaver.node_id).state is NodeState.LEFT for n in fleet.nodes)
    )
    assert all(len(n.view.targets_by_service(0.0)["shop"]) == 5 for n in fleet.nodes)


@pytest.mark.parametrize(
    ("peers", "cut", "expected"), [(0, False, True), (3, False, True), (3, True, False)]
)
async def test_replicate(fleet: Fleet, peers: int, cut: bool, expected: bool) -> None:
    """Guards against a reader that puts in force a version that only it holds."""
    await fleet.grow(1 + peers)
    if cut:
        fleet.isolated.add(fleet.nodes[0].address)
    fleet.nodes[0].holder.held_version = 1
    assert await fleet.nodes[0].gossip.replicate() is expected
    assert any(node.holder.held_version == 1 for node in fleet.nodes[1:]) == (peers > 0 and not cut)


async def test_status_covers_nodes_that_do_not_answer(fleet: Fleet) -> None:
    """Guards against an operator's overview that silently lacks nodes."""
    await fleet.grow(6, TWO_REGIONS)
    await eventually(lambda: converged(fleet))
    fleet.isolated.add(fleet.nodes[4].address)
    statuses = await fleet.nodes[0].gossip.collect_status()
    answered = {status.node_id: status.answered for status in statuses}
    assert answered == {node.node_id: node is not fleet.nodes[4] for node in fleet.nodes}


async def test_another_node_at_a_known_address_is_not_mistaken(fleet: Fleet) -> None:
    """Guards against a replaced host that keeps its predecessor's record alive."""
    await fleet.grow(3)
    await eventually(lambda: converged(fleet))
    gone = replace(make_record("gone"), control_address=fleet.nodes[1].address)
    push = Push("gone", records=(gone,))
    outcome = await fleet.nodes[0].gossip._call(fleet.nodes[1].view.own, push)
    assert isinstance(outcome, Replied)
    await eventually(lambda: all(n.view.get("gone") is not None for n in fleet.nodes))
    await eventually(lambda: not any(n.view.is_reachable("gone") for n in fleet.nodes))


async def test_join_replies_are_limited() -> None:
    """Guards against a reconnect storm that takes over the nodes which still run."""
    view = MembershipView(make_record("own"), 0.0)
    server = JoinServer(view, 20.0, random.Random(1), 0.0)
    first = [server.admit(0.0) for _ in range(1000)]
    assert sum(outcome is None for outcome in first) == 20
    waits = [outcome.retry_after_s for outcome in first if isinstance(outcome, Busy)]
    assert 10.0 < max(waits) < 100.0, "the declined nodes are spread over the time that they need"
    admitted = sum(server.admit(step / 100.0) is None for step in range(1, 1001))
    assert 195 <= admitted <= 201
    assert await server.pieces(0.0) == await server.pieces(1.0)


def test_accusation_of_a_left_node_is_ignored() -> None:
    """Guards against accusations that keep a record which is to be forgotten."""
    view = MembershipView(make_record("own", state=NodeState.LEFT), 0.0)
    view.accuse(Accusation("own", Stamp(9, 9)), 0.0)
    assert view.own.stamp == Stamp(1, 0)


async def test_restarted_node_joins_by_its_peers_while_the_store_is_away(fleet: Fleet) -> None:
    """Guards against a restarted node that serves nothing until the store is back."""
    await fleet.grow(4)
    await eventually(lambda: converged(fleet) and all(len(n.view) == 4 for n in fleet.nodes))
    old = fleet.nodes[1]
    address = old.address
    await fleet.stop(old)
    fleet.store.available = False
    node = await fleet.add(
        old.node_id,
        stamp=Stamp(FIRST_STAMP.incarnation + 1, 1),
        listen_control=address,
        control_address=address,
    )
    outcome = await asyncio.wait_for(node.join(), 20)
    assert isinstance(outcome, Joined)
    assert len(node.view) == 4


async def test_node_joins_although_a_push_came_before_its_failed_first_attempt(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that never joins: records pushed to it hid the later contacts."""
    await fleet.grow(2)
    await eventually(lambda: converged(fleet) and all(len(n.view) == 2 for n in fleet.nodes))
    old = fleet.nodes[1]
    await fleet.stop(old)
    fleet.store.available = False
    node = await fleet.add(
        old.node_id,
        stamp=Stamp(FIRST_STAMP.incarnation + 1, 1),
        listen_control=old.address,
        control_address=old.address,
    )
    join_at, attempts = node.gossip._join_at, []

    async def fail_once(seed):
        attempts.append(seed)
        if len(attempts) == 1:
            await node.gossip._call(node.view.own, Push("n00", records=(fleet.nodes[0].view.own,)))
            return Failed(FailureReason.TIMED_OUT)
        return await join_at(seed)

    monkeypatch.setattr(node.gossip, "_join_at", fail_once)
    assert isinstance(await asyncio.wait_for(node.join(), 20), Joined)
    assert len(attempts) == 2


async def test_nodes_killed_together_join_as_soon_as_one_has(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against nodes that sit out their back-off after the first one is ready."""
    long_delay = {"store_backoff_min_s": 30.0, "store_backoff_max_s": 60.0}
    first = await fleet.add("first")
    second = await fleet.add("second", **long_delay)
    third = await fleet.add("third", **long_delay)
    for node in (second, third):
        await node.gossip._seeds.keep(first.address)
    joins = [asyncio.create_task(node.join()) for node in (second, third)]
    await eventually(lambda: len(first.gossip._declined_by_id) == 2)
    fleet.store.available = False
    first.gossip._joined = True
    first.gossip._invite_declined()
    assert [type(outcome) for outcome in await asyncio.wait_for(asyncio.gather(*joins), 20)] == [
        Joined,
        Joined,
    ]


async def test_nodes_that_found_at_the_same_time_find_each_other(fleet: Fleet) -> None:
    """Guards against two fleets of nodes that were killed together and declined each other."""
    nodes = [await fleet.add(name, store_backoff_min_s=20.0) for name in ("one", "two", "three")]
    for node in nodes:
        await node.gossip._seeds.keep(node.address)
    outcomes = await asyncio.wait_for(asyncio.gather(*(node.join() for node in nodes)), 10)
    assert Founded in {type(outcome) for outcome in outcomes}
    await eventually(lambda: converged(fleet) and all(len(n.view) == 3 for n in fleet.nodes))


async def test_node_that_the_store_turns_away_joins_by_a_seed_of_its_own(fleet: Fleet) -> None:
    """Guards against a node that serves nothing after a power loss, as it cannot read the store."""
    turned_away = await fleet.add("away")
    await turned_away.gossip._seeds.keep(turned_away.address)
    turned_away.gossip._seeds.store = FakeStore(available=False)
    joining = asyncio.create_task(turned_away.join())
    founder = await fleet.add("founder", store_backoff_min_s=0.05)
    assert isinstance(await asyncio.wait_for(founder.join(), 20), Founded)
    assert isinstance(await asyncio.wait_for(joining, 5), Joined)


async def test_silent_seeds_do_not_delay_a_join(fleet: Fleet, monkeypatch) -> None:
    """Guards against a node that waits for hosts without power, one after the other."""
    joined = await fleet.add("joined")
    await joined.join()
    await joined.gossip._seeds.keep(joined.address)
    late = await fleet.add("late")
    silent = [Address("127.0.0.1", port) for port in (1, 2)]
    for number, address in enumerate(silent):
        fleet.store.address_by_node[("d1", f"silent{number}")] = address
    join_at = late.gossip._join_at

    async def hang_at_silent(seed):
        if seed.address in silent:
            await asyncio.sleep(3600)
        return await join_at(seed)

    monkeypatch.setattr(late.gossip, "_join_at", hang_at_silent)
    assert isinstance(await asyncio.wait_for(late.join(), 20), Joined)


async def test_joining_node_learns_its_own_previous_record(fleet: Fleet) -> None:
    """Guards against a restarted node that forgets which targets had announced to leave (P7)."""
    await fleet.grow(3)
    await eventually(lambda: converged(fleet) and all(len(n.view) == 3 for n in fleet.nodes))
    old = fleet.nodes[2]
    leaving = replace(old.view.own.targets[0], state=TargetState.DRAINING, incarnation=5)
    old.gossip.publish(targets=(leaving,))
    assert await old.gossip.replicate_record()
    await eventually(lambda: converged(fleet))
    await fleet.stop(old)
    node = await fleet.add(old.node_id, stamp=Stamp(FIRST_STAMP.incarnation + 1, 1))
    previous = []
    node.gossip.on_previous_record = previous.append
    await node.join()
    assert previous[0].targets == (leaving,)


async def test_record_is_not_replicated_without_peers(fleet: Fleet) -> None:
    """Guards against a departure that is acknowledged while no other process knows it."""
    node = await fleet.add("alone")
    assert not await node.gossip.replicate_record()
