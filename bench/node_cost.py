"""Measures the cost of the control plane of node processes, and the convergence of changes.

The cost is memory, CPU time, control bytes and store calls of idle fleets. With ``--storm``, all
nodes of the largest fleet are also killed together and started again.

    .venv/bin/python -m bench.node_cost --nodes 4,16,32,64
"""

from __future__ import annotations

import argparse
import asyncio
import json
import secrets
import statistics
import tempfile
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

import psutil

from jaypost import logs
from jaypost.records import Row, RowChange, Table
from jaypost.store_client import StoreClient
from jaypost.table import parse_row
from jaypost.writers import Accepted, TableEdit, TableWriter
from standins.processes import (
    Fleet,
    NodeSpec,
    http_json,
    http_request,
    in_force_version,
    new_node_spec,
    total_control_bytes,
    wait_until,
)

# (failure domain, region); hosts are assigned to them in turn.
DOMAINS = (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"))
READY_TIMEOUT_S = 180.0
CONVERGENCE_TIMEOUT_S = 30.0
PAUSE_AFTER_CHANGE_S = 0.02
SAMPLE_INTERVAL_S = 0.25
POLL_THREADS = 16


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Cost of an idle fleet; mean of all nodes unless stated otherwise.

    Parameters
    ----------
    nodes : int
        Size of the fleet.
    memory_mb : float
        Resident memory in megabytes.
    cpu_ms_per_s : float
        CPU time in milliseconds per second; 10 is 1% of a core.
    bytes_per_s : float
        Payload of control messages sent and received.
    store_calls_per_s : float
        Store calls of the whole fleet, not of one node.
    """

    nodes: int
    memory_mb: float
    cpu_ms_per_s: float
    bytes_per_s: float
    store_calls_per_s: float


@dataclass(frozen=True, slots=True)
class Convergence:
    """Time from creating a change until the last node has it in force, over several changes.

    Parameters
    ----------
    nodes : int
        Size of the fleet.
    median_s, worst_s : float
        Median and maximum of the changes.
    """

    nodes: int
    median_s: float
    worst_s: float


@dataclass(frozen=True, slots=True)
class Storm:
    """Restart of a whole fleet whose nodes were all killed.

    Parameters
    ----------
    nodes : int
        Size of the fleet.
    ready_s : float
        Time from the start of the first node until all nodes are ready.
    peak_store_calls_per_s : float
        Highest rate of store calls over about one second.
    store_calls : int
        Store calls until all nodes are ready.
    """

    nodes: int
    ready_s: float
    peak_store_calls_per_s: float
    store_calls: int


def start_fleet(fleet: Fleet, count: int) -> list[NodeSpec]:
    """Start the store and `count` nodes with a table of one row, and wait until all are ready."""
    fleet.start_store()
    if (
        wait_until(lambda: http_request("GET", fleet.store_address, "/v1/stats")[0] == 200, 30)
        is None
    ):
        raise SystemExit("the store did not start")
    asyncio.run(change_row(fleet, 1000))
    specs = [new_node_spec(f"host-{number}", *DOMAINS[number % 4]) for number in range(count)]
    for spec in specs:
        fleet.start_node(spec)
    wait_ready(specs)
    return specs


def wait_ready(specs: Sequence[NodeSpec]) -> float:
    """Wait until every node is ready and return how long it took, in seconds."""
    with ThreadPoolExecutor(POLL_THREADS) as executor:
        seconds = wait_until(lambda: all(executor.map(is_ready, specs)), READY_TIMEOUT_S)
    if seconds is None:
        raise SystemExit("not all nodes became ready")
    return seconds


def is_ready(spec: NodeSpec) -> bool:
    """Tell whether a node is ready."""
    return http_request("GET", spec.admin, "/readyz", timeout_s=2.0)[0] == 200


async def change_row(fleet: Fleet, timeout_ms: int) -> tuple[int, float]:
    """Write a row and return the new version and the monotonic time when the change was created."""
    store = StoreClient(fleet.store_address, 2.0)
    await store.start()
    writer = TableWriter(store)
    row = parse_row("portal", {"timeout_ms": timeout_ms})
    base = await writer.read()
    if not isinstance(row, Row) or not isinstance(base, Table):
        raise SystemExit(f"cannot change the table: {row}, {base}")
    created_at = time.monotonic()
    edit = TableEdit(base, (RowChange("portal", row),))
    outcome = await writer.change(edit, "bench", "", secrets.token_hex(16))
    await store.close()
    if not isinstance(outcome, Accepted):
        raise SystemExit(f"change refused: {outcome}")
    return outcome.version, created_at


def measure_idle(fleet: Fleet, specs: Sequence[NodeSpec], seconds: float) -> IdleCost:
    """Measure a fleet in which nothing changes."""
    pids = [fleet.process_by_name[spec.node_id].pid for spec in specs]
    processes = [psutil.Process(pid) for pid in pids if pid is not None]
    before = [sum(process.cpu_times()[:2]) for process in processes]
    bytes_before, calls_before = total_control_bytes(specs), store_calls(fleet)
    time.sleep(seconds)
    after = [sum(process.cpu_times()[:2]) for process in processes]
    calls = store_calls(fleet) - calls_before
    transferred_bytes = total_control_bytes(specs) - bytes_before
    mean_cpu_s = statistics.mean(
        later - earlier for later, earlier in zip(after, before, strict=True)
    )
    mean_memory_bytes = statistics.mean(process.memory_info().rss for process in processes)
    return IdleCost(
        len(specs),
        round(mean_memory_bytes / 1e6, 1),
        round(1000 * mean_cpu_s / seconds, 2),
        round(transferred_bytes / len(specs) / seconds, 1),
        round(calls / seconds, 2),
    )


def store_calls(fleet: Fleet) -> int:
    """Return the number of calls that the store has served so far."""
    stats = http_json(fleet.store_address, "/v1/stats")
    return sum(stats["calls_by_kind"].values())


def measure_convergence(fleet: Fleet, specs: Sequence[NodeSpec], changes: int) -> Convergence:
    """Change a row several times and poll all nodes until each has the version in force."""
    times = []
    with ThreadPoolExecutor(POLL_THREADS) as executor:
        for number in range(changes):
            version, created_at = asyncio.run(change_row(fleet, 2000 + number))
            outdated = list(specs)
            while outdated and time.monotonic() - created_at < CONVERGENCE_TIMEOUT_S:
                versions = executor.map(in_force_version, outdated)
                outdated = [
                    spec
                    for spec, in_force in zip(outdated, versions, strict=True)
                    if in_force < version
                ]
            if outdated:
                raise SystemExit(
                    f"version {version} did not come into force on {len(outdated)} nodes in time"
                )
            times.append(time.monotonic() - created_at)
            time.sleep(PAUSE_AFTER_CHANGE_S)
    return Convergence(len(specs), round(statistics.median(times), 3), round(max(times), 3))


class StoreCallSampler:
    """Thread that samples the count of store calls."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.samples: list[tuple[float, int]] = []

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def close(self) -> None:
        """Stop sampling."""
        self._stopping.set()
        self._thread.join()

    def peak_per_s(self) -> float:
        """Return the highest call rate between samples at least one second apart."""
        peak = 0.0
        for number, (at_s, calls) in enumerate(self.samples):
            for later_at_s, later_calls in self.samples[number + 1 :]:
                if later_at_s - at_s >= 1.0:
                    peak = max(peak, (later_calls - calls) / (later_at_s - at_s))
                    break
        return peak

    def _run(self) -> None:
        while not self._stopping.wait(SAMPLE_INTERVAL_S):
            self.samples.append((time.monotonic(), store_calls(self._fleet)))


def measure_storm(fleet: Fleet, specs: Sequence[NodeSpec]) -> Storm:
    """Kill all nodes, start all of them again without a delay, and count the store calls."""
    for spec in specs:
        fleet.process_by_name[spec.node_id].kill()
    before = store_calls(fleet)
    sampler = StoreCallSampler(fleet)
    sampler.start()
    started = time.monotonic()
    for spec in specs:
        fleet.start_node(spec, ["--join-jitter-s", "2"])
    wait_ready(specs)
    ready_s = time.monotonic() - started
    sampler.close()
    calls = store_calls(fleet) - before
    return Storm(len(specs), round(ready_s, 1), round(sampler.peak_per_s(), 1), calls)


def measure_fleet(count: int, arguments: argparse.Namespace, storm: bool) -> None:
    """Measure one fleet and print each result as a JSON line."""
    fleet = Fleet(Path(tempfile.mkdtemp(prefix="jaypost-bench-")))
    try:
        specs = start_fleet(fleet, count)
        time.sleep(arguments.settle_s)
        print_result(measure_idle(fleet, specs, arguments.duration_s))
        print_result(measure_convergence(fleet, specs, arguments.changes))
        if storm:
            print_result(measure_storm(fleet, specs))
    finally:
        asyncio.run(fleet.close())


def print_result(result: IdleCost | Convergence | Storm) -> None:
    """Print a result."""
    print(type(result).__name__, json.dumps(asdict(result)), flush=True)


def main() -> None:
    """Measure fleets of several sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", default="4,16,32,64", help="sizes of the fleets")
    parser.add_argument(
        "--duration-s", type=float, default=10.0, help="length of the idle measurement"
    )
    parser.add_argument(
        "--settle-s", type=float, default=10.0, help="wait before the idle measurement"
    )
    parser.add_argument(
        "--changes", type=int, default=10, help="changes to measure convergence with"
    )
    parser.add_argument(
        "--storm", action="store_true", help="kill and restart the whole largest fleet"
    )
    arguments = parser.parse_args()
    logs.setup("warning")
    sizes = sorted(int(size) for size in arguments.nodes.split(","))
    for size in sizes:
        measure_fleet(size, arguments, arguments.storm and size == sizes[-1])


if __name__ == "__main__":
    main()
