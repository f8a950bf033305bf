"""Case 10: the machine that divides the limits of the tenants is cut off for some seconds."""

from __future__ import annotations

import asyncio
import bisect
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import (
    BROKEN,
    HELD,
    NOT_RUN,
    Answer,
    Consumers,
    Links,
    Machine,
    Mesh,
    Server,
    config,
    main,
    now,
    route,
)

from jaypost.store import Found

HERE = Path(__file__).resolve().parent
ZONES = (("nbo-a", "nairobi"), ("nbo-b", "nairobi"), ("mba-a", "mombasa"), ("mba-b", "mombasa"))
NODES = 6
# Limit of the tenant, and what it sends: far more than its limit all the time, as after a change of
# the configuration of the kind `quota down`.
RATE, BURST = 80.0, 10.0
DEMAND = 375.0
# Share of the tenant's requests that begin on the machine that is cut off.
SHARE = 0.7
WINDOW_S, OVER, SLACK = 5.0, 0.1, 20.0
BOUNDS = {
    "DrainS": "3000",
    "GraceS": "6",
    "RetryBudgetRatio": "0.2",
    "ExposeShare": "0.1",
    "QuotaOver": "0.1",
    "QuotaWindowS": "5",
    "QuotaSlack": "20",
}
CALM_S, CUT_S, AFTER_S = 10.0, 8.0, 4.0


async def play(trouble: bool) -> int:
    """Play the case and return the exit code of the script."""
    mesh = Mesh(HERE, BOUNDS)
    links = Links(mesh)
    try:
        return await _play(mesh, links, trouble)
    finally:
        await links.close()
        await mesh.close()


def _last_writer(mesh: Mesh) -> Machine:
    """Return the machine that wrote to the store last under a condition."""
    found = mesh.store.core.get("allotments/divider")
    assert isinstance(found, Found)
    name = found.value.decode()
    return next(machine for machine in mesh.machines if machine.name == name)


async def _play(mesh: Mesh, links: Links, trouble: bool) -> int:
    machines = [mesh.add_machine(*ZONES[i % len(ZONES)], "replay") for i in range(NODES)]
    await mesh.store.start()
    for machine in machines:
        await links.add(machine)
        mesh.start_node(machine, first=True)
    servers = [Server(mesh, machine, f"i-{machine.name}") for machine in machines]
    for server in servers:
        await server.start()
    document = config(
        7,
        [route("r-play", "play.example", "/play/", "replay")],
        ["replay"],
        workspaces=[{"name": "hot", "keys": ["key-hot"], "rate_limit": RATE, "rate_burst": BURST}],
    )
    await mesh.write_config(document)
    if not await mesh.wait_ready(machines):
        print("the nodes did not become ready")
        return NOT_RUN
    await asyncio.sleep(8.0)  # the servers are known everywhere
    leader = _last_writer(mesh)
    others = [machine for machine in machines if machine is not leader]
    mesh.record.add(f"the last conditional write came from {leader.name}")

    sent_at: dict[str, float] = {}
    consumers = Consumers()
    answers: list[Answer] = []
    tasks: set[asyncio.Task[None]] = set()

    async def consume(number: int, machine: Machine) -> None:
        request_id = f"q{number:08x}"
        headers = {
            "Host": "play.example",
            "Jaypost-Request-Id": request_id,
            "Jaypost-Request-Timeout-Ms": "2800",
            "Authorization": "Bearer key-hot",
        }
        sent_at[request_id] = now()
        answer = await consumers.send(machine.outbound, "GET", "/play/1", headers, b"", 2.9)
        answers.append(answer)
        text = f"{request_id} sent to {machine.name} at {sent_at[request_id]:.3f}"
        mesh.record.add(f"{text}: {answer.status} {answer.reason}")

    async def load() -> None:
        began, number, at_leader = now(), 0, 0
        while now() < began + CALM_S + CUT_S + AFTER_S:
            while number < (now() - began) * DEMAND:
                if at_leader < SHARE * (number + 1):
                    machine, at_leader = leader, at_leader + 1
                else:
                    machine = others[number % len(others)]
                task = asyncio.create_task(consume(number, machine))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                number += 1
            await asyncio.sleep(0.01)

    async def disrupt() -> None:
        await asyncio.sleep(CALM_S)
        links.cut(leader)
        await asyncio.sleep(CUT_S)
        links.heal()

    work = [load()] + ([disrupt()] if trouble else [])
    await asyncio.gather(*work)
    while tasks:
        await asyncio.wait(set(tasks))
    consumers.close()
    return _judge(mesh, servers, sent_at)


def _judge(mesh: Mesh, servers: list[Server], sent_at: dict[str, float]) -> int:
    """Compare the runs of every window with what QUOTA allows."""
    runs = sorted((run.at, sent_at[run.request_id]) for server in servers for run in server.runs)
    allowed = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
    times = [at for at, _ in runs]
    most, most_at = 0, 0.0
    for _, start in runs:
        low = bisect.bisect_left(times, start)
        high = bisect.bisect_right(times, start + WINDOW_S)
        count = sum(1 for _, sent in runs[low:high] if sent >= start)
        if count > most:
            most, most_at = count, start
    text = f"runs {len(runs)}, most in {WINDOW_S} s: {most} from {most_at:.2f}, allowed {allowed}"
    mesh.record.add(text)
    print(text)
    if not runs:
        return NOT_RUN
    return BROKEN if most > allowed else HELD


main(play)
