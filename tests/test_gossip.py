"""Gossip of some tens of nodes on loopback."""

from __future__ import annotations

import pytest

from tests.fleet import Fleet, eventually


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.close()


TWO_REGIONS = (("d1", "r1"), ("d2", "r1"), ("d3", "r2"))


async def test_records_and_versions_reach_every_node(fleet: Fleet) -> None:
    """Guards against a node that misses records or versions although the network is whole."""
    await fleet.grow(30, TWO_REGIONS)
    await eventually(lambda: all(len(node.view) == 30 for node in fleet.nodes))
    await eventually(lambda: len({node.view.root_hash() for node in fleet.nodes}) == 1)
    fleet.nodes[7].holder._raise_to(1)
    await eventually(lambda: all(node.holder.held_version == 1 for node in fleet.nodes))
