"""Guards against rules that break when faults of processes, connections and the store overlap."""

from __future__ import annotations

import pytest

from bench.chaos import ChaosPlan, run_chaos
from bench.chaos_checks import summarise, undisturbed_calls

CONVERGENCE_LIMIT_S = 20.0


@pytest.mark.parametrize("seed", [11, 12])
async def test_rules_hold_under_faults(seed, tmp_path):
    plan = ChaosPlan(seed, duration_s=8.0, nodes=6, convergence_limit_s=CONVERGENCE_LIMIT_S)
    record, found = await run_chaos(plan, tmp_path)
    assert not found, summarise(found)
    assert record.terminations and record.disturbances
    assert any(undisturbed_calls(record)), "no call checked for P8"
    assert {"Accepted"} <= {change.outcome for change in record.changes}
