"""Random scenarios of the request path keep its rules.

`JAYPOST_SCENARIO_SEEDS=FIRST:END` plays other seeds, for runs by hand.
"""

from __future__ import annotations

import os

import pytest

from tests.request_path.memory_loop import MemoryLoop
from tests.request_path.scenario import draw, play

FIRST, _, END = os.environ.get("JAYPOST_SCENARIO_SEEDS", "0:300").partition(":")


@pytest.mark.parametrize("seed", range(int(FIRST), int(END)))
async def test_scenario_keeps_the_rules(loop: MemoryLoop, seed: int) -> None:
    """Guards against faults of sizes, orders and times that no other test varies (P4 to P6, P8)."""
    scenario = draw(seed)
    assert await play(scenario, loop) == [], scenario
