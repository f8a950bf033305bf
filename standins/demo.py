"""Runs a small mesh on this machine and prints the results: `make demo`.

Starts a store, nodes in four failure domains of two regions, and targets, each as its own process.
Sends calls while a row is edited, one host is killed and another one shuts down, then stops all
processes.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import uvloop

from standins.caller import Caller, CallPlan, CallResult
from standins.processes import (
    Fleet,
    NodeSpec,
    Process,
    http_json,
    http_request,
    in_force_version,
    new_node_spec,
    total_control_bytes,
    wait_until,
)

# Failure domain and region; hosts are assigned to them in turn.
DOMAINS = (("addis-a", "addis"), ("addis-b", "addis"), ("dire-a", "dire"), ("dire-b", "dire"))
NODE_COUNT = 8
SERVICE_BY_HOST = (
    "portal",
    "portal",
    "warehouse",
    "portal",
    "portal",
    "warehouse",
    "portal",
    "warehouse",
)
SLOTS_PER_TARGET = 12
CALLS_PER_S = 100.0
LOAD_DURATION_S = 12.0
START_TIMEOUT_S = 40.0
CONVERGENCE_TIMEOUT_S = 15.0
TABLE_CSV = """service,timeout_ms,retry_limit,repeatable_methods
portal,5000,2,"GET,HEAD"
warehouse,5000,2,"GET,HEAD"
"""


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of the demo.

    Parameters
    ----------
    convergence_s : float or None
        Seconds until the edited row was in force on every node; None when it was not in time.
    results : tuple of CallResult
        Results of all calls.
    run_twice : int
        POST requests that targets ran more than once.
    not_run_but_ran : int
        Requests reported to the caller as not run that a target ran.
    control_bytes : int
        Control bytes sent and received by the nodes that are up at the end.
    store_statistics : mapping
        Statistics of the store stand-in: calls by kind, bytes sent and received.
    exit_codes : mapping of str to int or None
        Exit code by process name.
    """

    convergence_s: float | None
    results: tuple[CallResult, ...]
    run_twice: int
    not_run_but_ran: int
    control_bytes: int
    store_statistics: Mapping[str, int]
    exit_codes: Mapping[str, int | None]


def print_line(text: str) -> None:
    """Print one line and flush."""
    print(text, flush=True)


def run_cli(fleet: Fleet, *words: str) -> subprocess.CompletedProcess[str]:
    """Print a command of the command-line tool and run it against the first node."""
    node = next(iter(fleet.spec_by_id.values()))
    command = [sys.executable, "-m", "jaypost.cli", *words]
    environment = {
        "JAYPOST_STORE": str(fleet.store_address),
        "JAYPOST_NODE": str(node.admin),
        "JAYPOST_AUTHOR": "demo",
    }
    print_line(f"$ jaypost {' '.join(words)}")
    return subprocess.run(command, env=environment, capture_output=True, text=True, check=False)


def can_route(spec: NodeSpec) -> bool:
    """Tell whether a node is ready and knows every target."""
    if http_request("GET", spec.admin, "/readyz")[0] != 200:
        return False
    explanations = [
        http_json(spec.admin, f"/explain/{service}") for service in set(SERVICE_BY_HOST)
    ]
    targets = [
        target for explanation in explanations if explanation for target in explanation["targets"]
    ]
    return len(targets) == NODE_COUNT


def start_fleet(fleet: Fleet) -> list[NodeSpec]:
    """Start the store, wait until it responds, and start the nodes and the targets."""
    fleet.start_store()
    if (
        wait_until(lambda: http_request("GET", fleet.store_address, "/v1/stats")[0] == 200, 30)
        is None
    ):
        raise SystemExit("the store did not start")
    specs = []
    for number in range(NODE_COUNT):
        domain, region = DOMAINS[number % len(DOMAINS)]
        spec = new_node_spec(f"host-{number}", domain, region)
        specs.append(spec)
        fleet.start_node(spec, ["--raise-on-violation", "true"])
        target = f"{SERVICE_BY_HOST[number]}-{number}"
        fleet.start_target(target, SERVICE_BY_HOST[number], spec.node_id, SLOTS_PER_TARGET)
    print_line(
        f"started a store, {NODE_COUNT} nodes and {NODE_COUNT} targets; logs in {fleet.directory}"
    )
    return specs


def import_table(fleet: Fleet, specs: Sequence[NodeSpec]) -> None:
    """Import the first version of the table and wait until every node can route calls."""
    path = fleet.directory / "table.csv"
    path.write_text(TABLE_CSV)
    imported = run_cli(fleet, "table", "import", str(path))
    print_line(imported.stdout.strip() or imported.stderr.strip())
    elapsed_s = wait_until(lambda: all(map(can_route, specs)), START_TIMEOUT_S)
    if elapsed_s is None:
        unready_ids = [spec.node_id for spec in specs if not can_route(spec)]
        raise SystemExit(f"nodes not ready after {START_TIMEOUT_S:g} s: {unready_ids}")
    print_line(f"all nodes ready after {elapsed_s:.2f} s")


def measure_convergence(fleet: Fleet, specs: Sequence[NodeSpec]) -> float | None:
    """Edit a row and return the seconds until the new version is in force on every node.

    The time starts when the command-line tool builds the change, before the store accepts it. It
    includes the time of one poll of all nodes.
    """
    version_before = in_force_version(specs[0])
    with ThreadPoolExecutor(1) as executor:
        command = executor.submit(run_cli, fleet, "table", "set", "portal", "timeout_ms=4000")
        waited_s = wait_until(
            lambda: all(in_force_version(spec) > version_before for spec in specs),
            CONVERGENCE_TIMEOUT_S,
        )
        in_force_at = time.time()
        completed = command.result()
    print_line(completed.stdout.strip() or completed.stderr.strip())
    history = run_cli(fleet, "table", "history", "--limit", "1", "--output", "json")
    built_at = json.loads(history.stdout)["changes"][0]["at_ms"] / 1000
    return None if waited_s is None else in_force_at - built_at


async def run_load_with_faults(
    fleet: Fleet, specs: Sequence[NodeSpec]
) -> tuple[float | None, Caller]:
    """Send calls while a row is edited, a host is killed and another host shuts down."""
    caller = Caller(specs[0].caller)
    await caller.start()
    plans = [
        CallPlan("portal", path="/work/20"),
        CallPlan("warehouse", path="/work/10"),
        CallPlan("portal", "POST", "/work/20", b'{"pack": 7}'),
    ]
    load = asyncio.create_task(caller.run(plans, CALLS_PER_S, LOAD_DURATION_S))
    await asyncio.sleep(1.0)
    convergence_s = await asyncio.to_thread(measure_convergence, fleet, specs)
    await asyncio.sleep(1.0)
    print_line("killing host-5 and its target with SIGKILL")
    for name in ("host-5", "warehouse-5"):
        await asyncio.to_thread(fleet.process_by_name[name].kill)
    await asyncio.sleep(2.0)
    print_line("stopping host-4 with SIGTERM")
    await asyncio.to_thread(_stop_host, fleet.process_by_name["host-4"])
    await load
    await caller.close()
    return convergence_s, caller


def _stop_host(process: Process) -> None:
    print_line(f"host-4 exited with code {process.stop()}")


def count_executions(fleet: Fleet) -> Counter[str]:
    """Count how often the targets started to run each request, by request id."""
    executions_by_id: Counter[str] = Counter()
    for path in fleet.directory.glob("*.journal"):
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            if not entry.get("end"):
                executions_by_id[entry["request_id"]] += 1
    return executions_by_id


def print_report(figures: Figures) -> bool:
    """Print the figures and return whether the mesh kept its guarantees.

    These are: the row converged, no POST request ran twice, no request that was reported as not run
    ran, and no response belonged to another request.
    """
    errors = Counter(r.error or f"status {r.status}" for r in figures.results if r.status != 200)
    print_line("--- results")
    convergence = "none" if figures.convergence_s is None else f"{figures.convergence_s:.3f} s"
    print_line(f"convergence of the edited row on all nodes: {convergence}")
    print_line(f"control bytes sent and received by all nodes: {figures.control_bytes}")
    print_line(f"calls: {len(figures.results)}, not answered with 200: {dict(errors)}")
    print_line(
        f"responses that belong to another request: {sum(not r.own for r in figures.results)}"
    )
    print_line(f"POST requests run more than once: {figures.run_twice}")
    print_line(f"requests reported as not run that were run: {figures.not_run_but_ran}")
    print_line(f"store statistics: {figures.store_statistics}")
    print_line(f"exit codes: {figures.exit_codes}")
    return (
        figures.convergence_s is not None
        and figures.run_twice == 0
        and figures.not_run_but_ran == 0
        and all(result.own for result in figures.results)
    )


async def run_demo(directory: Path) -> bool:
    """Run the demo with logs and journals in `directory`."""
    fleet = Fleet(directory)
    try:
        specs = start_fleet(fleet)
        import_table(fleet, specs)
        convergence_s, caller = await run_load_with_faults(fleet, specs)
        control_total = int(total_control_bytes(specs))
        store_statistics = http_json(fleet.store_address, "/v1/stats") or {}
        print_line(run_cli(fleet, "status").stdout)
        print_line(run_cli(fleet, "explain", "portal").stdout)
    finally:
        exit_code_by_name = await fleet.close()
    executions_by_id = count_executions(fleet)
    results = tuple(caller.results)
    figures = Figures(
        convergence_s,
        results,
        sum(
            executions_by_id[result.request_id] > 1 for result in results if result.method == "POST"
        ),
        sum(
            executions_by_id[result.request_id] > 0 for result in results if result.run == "not-run"
        ),
        control_total,
        store_statistics,
        exit_code_by_name,
    )
    return print_report(figures)


def main() -> None:
    """Run the demo in a temporary directory."""
    directory = Path(tempfile.mkdtemp(prefix="jaypost-demo-"))
    sys.exit(0 if uvloop.run(run_demo(directory)) else 1)


if __name__ == "__main__":
    main()
