"""Alternatives that are started one after the other."""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from jaypost.hedging import start_in_turn
from tests.virtual_time import VirtualTimePolicy

DELAY_S = 0.2


@pytest.fixture(scope="module")
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.mark.parametrize(
    ("durations_and_results", "results", "started", "ended_at_s"),
    [
        pytest.param([], [], 0, 0.0, id="none"),
        pytest.param([(0.1, True), (0.1, True)], [True], 1, 0.1, id="first succeeds"),
        pytest.param([(0.0, False), (0.1, True)], [False, True], 2, 0.1, id="first fails"),
        pytest.param([(1.0, False), (0.1, True)], [True], 2, 0.3, id="first is silent"),
        pytest.param([(0.3, True), (1.0, False)], [True], 2, 0.3, id="first is slow"),
        pytest.param([(1.0, False)] * 3 + [(0.1, True)], [True], 4, 0.7, id="three are silent"),
        pytest.param([(1.0, False)] * 2, [False, False], 2, 1.2, id="all are silent"),
    ],
)
async def test_silent_alternative_does_not_hold_up_the_next(
    durations_and_results: list, results: list, started: int, ended_at_s: float
) -> None:
    """Guards against a version that waits for the timeouts of hosts without power."""
    starts = []

    async def work(duration_s: float, result: bool) -> bool:
        starts.append(duration_s)
        await asyncio.sleep(duration_s)
        return result

    loop = asyncio.get_running_loop()
    began_at = loop.time()
    works = [partial(work, *item) for item in durations_and_results]
    ended = await start_in_turn(works, bool, DELAY_S, asyncio.create_task)
    assert (ended, len(starts)) == (results, started)
    assert loop.time() - began_at == pytest.approx(ended_at_s, abs=0.01)
