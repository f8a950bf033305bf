"""Cost of control for whole nodes as processes: memory, processor time, bytes and store calls.

`python -m bench.node_cost --nodes 4,16,32,64` measures idle fleets and the convergence of changes;
with `--storm`, all nodes of the largest fleet are killed at once and started again.
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
    NodePlace,
    control_bytes,
    http,
    http_json,
    place_node,
    version_of,
    wait_until,
)

DOMAINS = (("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"))
READY_TIMEOUT_S = 180.0
CONVERGENCE_TIMEOUT_S = 30.0
POLL_S = 0.02
SAMPLE_S = 0.25
POLL_THREADS = 16


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Cost of one node of an idle fleet, as the mean over all nodes.

    Parameters
    ----------
    nodes : int
        Size of the fleet.
    memory_mb : float
        Resident memory.
    cpu_ms_per_s : float
        Processor time in milliseconds per second; 10 are 1% of a core.
    bytes_per_s : float
        Payload of control messages sent and received.
    store_calls_per_s : float
        Calls of the store by the whole fleet.
    """

    nodes: int
    memory_mb: float
    cpu_ms_per_s: float
    bytes_per_s: float
    store_calls_per_s: float


@dataclass(frozen=True, slots=True)
class Convergence:
    """Seconds from the building of a change to the last node in force, for several changes."""

    nodes: int
    median_s: float
    worst_s: float


@dataclass(frozen=True, slots=True)
class Storm:
    """A fleet that was killed as a whole and started again at once."""

    nodes: int
    ready_s: float
    peak_store_calls_per_s: float
    store_calls: int


def start_fleet(fleet: Fleet, count: int) -> list[NodePlace]:
    """Start the store and `count` nodes with a table of one row, and wait until all are ready."""
    fleet.start_store()
    if wait_until(lambda: http("GET", fleet.store_address, "/v1/stats")[0] == 200, 30) is None:
        raise SystemExit("the store did not start")
    asyncio.run(change_row(fleet, 1000))
    places = [place_node(f"host-{number}", *DOMAINS[number % 4]) for number in range(count)]
    for place in places:
        fleet.start_node(place)
    wait_ready(places)
    return places


def wait_ready(places: Sequence[NodePlace]) -> float:
    """Wait until every node is ready and return the seconds."""
    with ThreadPoolExecutor(POLL_THREADS) as executor:
        seconds = wait_until(lambda: all(executor.map(is_ready, places)), READY_TIMEOUT_S)
    if seconds is None:
        raise SystemExit("not all nodes became ready")
    return seconds


def is_ready(place: NodePlace) -> bool:
    """Tell whether a node is ready."""
    return http("GET", place.admin, "/readyz", timeout_s=2.0)[0] == 200


async def change_row(fleet: Fleet, timeout_ms: int) -> tuple[int, float]:
    """Write a row and return the new version and the time at which the change was built."""
    store = StoreClient(fleet.store_address, 2.0)
    await store.start()
    writer = TableWriter(store)
    row = parse_row("portal", {"timeout_ms": timeout_ms})
    base = await writer.read()
    if not isinstance(row, Row) or not isinstance(base, Table):
        raise SystemExit(f"cannot change the table: {row}, {base}")
    built_at = time.monotonic()
    edit = TableEdit(base, (RowChange("portal", row),))
    outcome = await writer.change(edit, "bench", "", secrets.token_hex(16))
    await store.close()
    if not isinstance(outcome, Accepted):
        raise SystemExit(f"change refused: {outcome}")
    return outcome.version, built_at


def measure_idle(fleet: Fleet, places: Sequence[NodePlace], seconds: float) -> IdleCost:
    """Measure a fleet in which nothing changes."""
    pids = [fleet.process_by_name[place.node_id].pid for place in places]
    processes = [psutil.Process(pid) for pid in pids if pid is not None]
    before = [sum(process.cpu_times()[:2]) for process in processes]
    bytes_before, calls_before = control_bytes(places), store_calls(fleet)
    time.sleep(seconds)
    after = [sum(process.cpu_times()[:2]) for process in processes]
    calls = store_calls(fleet) - calls_before
    sent = control_bytes(places) - bytes_before
    spent = statistics.mean(late - early for late, early in zip(after, before, strict=True))
    memory = statistics.mean(process.memory_info().rss for process in processes)
    return IdleCost(
        len(places),
        round(memory / 1e6, 1),
        round(1000 * spent / seconds, 2),
        round(sent / len(places) / seconds, 1),
        round(calls / seconds, 2),
    )


def store_calls(fleet: Fleet) -> int:
    """Return the calls that the store has counted."""
    stats = http_json(fleet.store_address, "/v1/stats")
    return sum(stats["calls_by_kind"].values())


def measure_convergence(fleet: Fleet, places: Sequence[NodePlace], changes: int) -> Convergence:
    """Change a row several times and poll all nodes until each has the version in force."""
    times = []
    with ThreadPoolExecutor(POLL_THREADS) as executor:
        for number in range(changes):
            version, built_at = asyncio.run(change_row(fleet, 2000 + number))
            waiting = list(places)
            while waiting and time.monotonic() - built_at < CONVERGENCE_TIMEOUT_S:
                versions = executor.map(version_of, waiting)
                waiting = [
                    place for place, seen in zip(waiting, versions, strict=True) if seen < version
                ]
            if waiting:
                raise SystemExit(f"version {version} missing on {len(waiting)} nodes")
            times.append(time.monotonic() - built_at)
            time.sleep(POLL_S)
    return Convergence(len(places), round(statistics.median(times), 3), round(max(times), 3))


class CallSampler:
    """Thread that samples the number of store calls."""

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
        """Return the highest number of calls in a second."""
        peak = 0.0
        for number, (at, calls) in enumerate(self.samples):
            for later_at, later_calls in self.samples[number + 1 :]:
                if later_at - at >= 1.0:
                    peak = max(peak, (later_calls - calls) / (later_at - at))
                    break
        return peak

    def _run(self) -> None:
        while not self._stopping.wait(SAMPLE_S):
            self.samples.append((time.monotonic(), store_calls(self._fleet)))


def measure_storm(fleet: Fleet, places: Sequence[NodePlace]) -> Storm:
    """Kill all nodes at once, start them again at once, and count the calls of the store."""
    for place in places:
        fleet.process_by_name[place.node_id].kill()
    before = store_calls(fleet)
    sampler = CallSampler(fleet)
    sampler.start()
    started = time.monotonic()
    for place in places:
        fleet.start_node(place, ["--join-jitter-s", "2"])
    wait_ready(places)
    ready_s = time.monotonic() - started
    sampler.close()
    calls = store_calls(fleet) - before
    return Storm(len(places), round(ready_s, 1), round(sampler.peak_per_s(), 1), calls)


def run(count: int, arguments: argparse.Namespace, storm: bool) -> None:
    """Measure one fleet and print each result as a JSON line."""
    fleet = Fleet(Path(tempfile.mkdtemp(prefix="jaypost-bench-")))
    try:
        places = start_fleet(fleet, count)
        time.sleep(arguments.settle_s)
        show(measure_idle(fleet, places, arguments.duration_s))
        show(measure_convergence(fleet, places, arguments.changes))
        if storm:
            show(measure_storm(fleet, places))
    finally:
        asyncio.run(fleet.close())


def show(result: IdleCost | Convergence | Storm) -> None:
    """Print a result."""
    print(type(result).__name__, json.dumps(asdict(result)), flush=True)


def main() -> None:
    """Measure fleets of several sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", default="4,16,32,64", help="sizes of the fleets")
    parser.add_argument("--duration-s", type=float, default=10.0, help="time of the idle run")
    parser.add_argument("--settle-s", type=float, default=10.0, help="time before the idle run")
    parser.add_argument("--changes", type=int, default=10, help="changes for the convergence")
    parser.add_argument("--storm", action="store_true", help="restart the largest fleet at once")
    arguments = parser.parse_args()
    logs.setup("warning")
    sizes = sorted(int(size) for size in arguments.nodes.split(","))
    for size in sizes:
        run(size, arguments, arguments.storm and size == sizes[-1])


if __name__ == "__main__":
    main()
