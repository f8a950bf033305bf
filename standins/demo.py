"""Runs a small mesh on this machine and prints what it did: `make demo`.

Starts a store, nodes in four failure domains of two regions, and targets, each as its own process;
sends calls while a row is edited, a host dies and another one leaves; then ends everything.
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
    NodePlace,
    Process,
    control_bytes,
    http,
    http_json,
    place_node,
    version_of,
    wait_until,
)

DOMAINS = (("addis-a", "addis"), ("addis-b", "addis"), ("dire-a", "dire"), ("dire-b", "dire"))
NODES = 8
SERVICES = ("portal", "portal", "warehouse", "portal", "portal", "warehouse", "portal", "warehouse")
SLOTS = 12
RATE_PER_S = 100.0
LOAD_S = 12.0
START_TIMEOUT_S = 40.0
CONVERGENCE_TIMEOUT_S = 15.0
TABLE_CSV = """service,timeout_ms,retry_limit,repeatable_methods
portal,5000,2,"GET,HEAD"
warehouse,5000,2,"GET,HEAD"
"""


@dataclass(frozen=True, slots=True)
class Figures:
    """What the demo measured."""

    convergence_s: float | None
    results: tuple[CallResult, ...]
    run_twice: int
    not_run_but_ran: int
    control_bytes: int
    store_calls: Mapping[str, int]
    exit_codes: Mapping[str, int | None]


def say(text: str) -> None:
    """Print one line at once."""
    print(text, flush=True)


def jaypost(fleet: Fleet, *words: str) -> subprocess.CompletedProcess[str]:
    """Run the command-line tool."""
    node = next(iter(fleet.place_by_id.values()))
    command = [sys.executable, "-m", "jaypost.cli", *words]
    environment = {
        "JAYPOST_STORE": str(fleet.store_address),
        "JAYPOST_NODE": str(node.admin),
        "JAYPOST_AUTHOR": "demo",
    }
    say(f"$ jaypost {' '.join(words)}")
    return subprocess.run(command, env=environment, capture_output=True, text=True, check=False)


def can_answer(place: NodePlace) -> bool:
    """Tell whether a node is ready and knows the targets of each service."""
    if http("GET", place.admin, "/readyz")[0] != 200:
        return False
    known = [http_json(place.admin, f"/explain/{service}") for service in set(SERVICES)]
    targets = [target for explanation in known if explanation for target in explanation["targets"]]
    return len(targets) == NODES


def start(fleet: Fleet) -> list[NodePlace]:
    """Start the store, the nodes and the targets, and wait until calls can be answered."""
    fleet.start_store()
    if wait_until(lambda: http("GET", fleet.store_address, "/v1/stats")[0] == 200, 30) is None:
        raise SystemExit("the store did not start")
    places = []
    for number in range(NODES):
        domain, region = DOMAINS[number % len(DOMAINS)]
        place = place_node(f"host-{number}", domain, region)
        places.append(place)
        fleet.start_node(place, ["--raise-on-violation", "true"])
        target = f"{SERVICES[number]}-{number}"
        fleet.start_target(target, SERVICES[number], place.node_id, SLOTS)
    say(f"started a store, {NODES} nodes and {NODES} targets; logs in {fleet.directory}")
    return places


def load_table(fleet: Fleet, places: Sequence[NodePlace]) -> None:
    """Import the first version of the table and wait until every node is ready."""
    path = fleet.directory / "table.csv"
    path.write_text(TABLE_CSV)
    imported = jaypost(fleet, "table", "import", str(path))
    say(imported.stdout.strip() or imported.stderr.strip())
    seconds = wait_until(lambda: all(map(can_answer, places)), START_TIMEOUT_S)
    if seconds is None:
        unready = [place.node_id for place in places if not can_answer(place)]
        raise SystemExit(f"nodes not ready after {START_TIMEOUT_S:g} s: {unready}")
    say(f"all nodes can answer {seconds:.2f} s later")


def change_and_measure(fleet: Fleet, places: Sequence[NodePlace]) -> float | None:
    """Edit a row and return the seconds until the new version is in force on every node.

    The time counts from the moment at which the tool builds the change, before the store has
    accepted it, and includes the time of one poll of all nodes.
    """
    before = version_of(places[0])
    with ThreadPoolExecutor(1) as executor:
        command = executor.submit(jaypost, fleet, "table", "set", "portal", "timeout_ms=4000")
        spread = wait_until(
            lambda: all(version_of(place) > before for place in places), CONVERGENCE_TIMEOUT_S
        )
        in_force_at = time.time()
        done = command.result()
    say(done.stdout.strip() or done.stderr.strip())
    history = jaypost(fleet, "table", "history", "--limit", "1", "--output", "json")
    accepted_at = json.loads(history.stdout)["changes"][0]["at_ms"] / 1000
    return None if spread is None else in_force_at - accepted_at


async def load_with_faults(
    fleet: Fleet, places: Sequence[NodePlace]
) -> tuple[float | None, Caller]:
    """Send calls while a row changes, a host dies and another host leaves."""
    caller = Caller(places[0].caller)
    await caller.start()
    plans = [
        CallPlan("portal", path="/work/20"),
        CallPlan("warehouse", path="/work/10"),
        CallPlan("portal", "POST", "/work/20", b'{"pack": 7}'),
    ]
    load = asyncio.create_task(caller.run(plans, RATE_PER_S, LOAD_S))
    await asyncio.sleep(1.0)
    convergence_s = await asyncio.to_thread(change_and_measure, fleet, places)
    await asyncio.sleep(1.0)
    say("killing host-5 and its target with SIGKILL")
    for name in ("host-5", "warehouse-5"):
        await asyncio.to_thread(fleet.process_by_name[name].kill)
    await asyncio.sleep(2.0)
    say("stopping host-4 with SIGTERM")
    await asyncio.to_thread(_leave, fleet.process_by_name["host-4"])
    await load
    await caller.close()
    return convergence_s, caller


def _leave(process: Process) -> None:
    say(f"host-4 exited with code {process.stop()}")


def journal_counts(fleet: Fleet) -> Counter[str]:
    """Count how often the targets ran each request id."""
    ran: Counter[str] = Counter()
    for path in fleet.directory.glob("*.journal"):
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            if not entry.get("end"):
                ran[entry["request_id"]] += 1
    return ran


def report(figures: Figures) -> bool:
    """Print the figures and return whether they are as promised."""
    errors = Counter(r.error or f"status {r.status}" for r in figures.results if r.status != 200)
    say("--- figures")
    spread = "none" if figures.convergence_s is None else f"{figures.convergence_s:.3f} s"
    say(f"convergence of the edited row on all nodes: {spread}")
    say(f"control bytes sent and received by all nodes: {figures.control_bytes}")
    say(f"calls: {len(figures.results)}, not answered with 200: {dict(errors)}")
    say(f"responses of another request: {sum(not r.own for r in figures.results)}")
    say(f"non-repeatable requests run twice: {figures.run_twice}")
    say(f"requests reported as not run that ran: {figures.not_run_but_ran}")
    say(f"calls of the store: {figures.store_calls}")
    say(f"exit codes: {figures.exit_codes}")
    return (
        figures.convergence_s is not None
        and figures.run_twice == 0
        and figures.not_run_but_ran == 0
        and all(result.own for result in figures.results)
    )


async def run(directory: Path) -> bool:
    """Run the demo with logs and journals in `directory`."""
    fleet = Fleet(directory)
    try:
        places = start(fleet)
        load_table(fleet, places)
        convergence_s, caller = await load_with_faults(fleet, places)
        control_total = int(control_bytes(places))
        store_calls = http_json(fleet.store_address, "/v1/stats") or {}
        say(jaypost(fleet, "status").stdout)
        say(jaypost(fleet, "explain", "portal").stdout)
    finally:
        codes = await fleet.close()
    ran = journal_counts(fleet)
    results = tuple(caller.results)
    figures = Figures(
        convergence_s,
        results,
        sum(ran[result.request_id] > 1 for result in results if result.method == "POST"),
        sum(ran[result.request_id] > 0 for result in results if result.run == "not-run"),
        control_total,
        store_calls,
        codes,
    )
    return report(figures)


def main() -> None:
    """Run the demo in a temporary directory."""
    directory = Path(tempfile.mkdtemp(prefix="jaypost-demo-"))
    sys.exit(0 if uvloop.run(run(directory)) else 1)


if __name__ == "__main__":
    main()
