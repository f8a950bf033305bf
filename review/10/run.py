"""Case 10: all nodes are killed at once while one tenant sends many times its usual."""

from __future__ import annotations

import asyncio
import bisect
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import BROKEN, HELD, NOT_RUN, Answer, Consumers, Mesh, Server, config, main, now, route

HERE = Path(__file__).resolve().parent
NODES = 12
ZONES = (("nbo-a", "nairobi"), ("nbo-b", "nairobi"), ("mba-a", "mombasa"), ("mba-b", "mombasa"))
# Limit of the tenant, what it usually sends, and how many times as much for how long, as the site
# file has it (`quota_x`, `hot_tenant`).
RATE, BURST = 80.0, 10.0
USUAL = RATE / 1.6
HOT_X, HOT_S = 7.5, 6.5
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
# The tenant begins to send more this long before the nodes are killed.
HOT_BEFORE_S = 0.5
CALM_S, DOWN_S, AFTER_S = 8.0, 1.0, 10.0


async def play(trouble: bool) -> int:
    """Play the case and return the exit code of the script."""
    mesh = Mesh(HERE, BOUNDS)
    try:
        return await _play(mesh, trouble)
    finally:
        await mesh.close()


async def _play(mesh: Mesh, trouble: bool) -> int:
    machines = [mesh.add_machine(*ZONES[i % len(ZONES)], "replay") for i in range(NODES)]
    await mesh.store.start()
    for machine in machines:
        mesh.start_node(machine, first=True)
    servers = [Server(mesh, machine, f"i-{machine.name}") for machine in machines]
    for server in servers:
        await server.start()
    document = config(
        7,
        [route("r-play", "play.example", "/play/", "replay")],
        ["replay"],
        workspaces=[
            {"name": "hot", "keys": ["key-hot"], "rate_limit": RATE, "rate_burst": BURST},
            {"name": "calm", "keys": ["key-calm"], "rate_limit": RATE, "rate_burst": BURST},
        ],
    )
    await mesh.write_config(document)
    if not await mesh.wait_ready(machines):
        print("the nodes did not become ready")
        return NOT_RUN
    await asyncio.sleep(8.0)  # the servers are known everywhere

    sent_at: dict[str, float] = {}
    consumers = Consumers()
    answers: list[Answer] = []
    tasks: set[asyncio.Task[None]] = set()

    async def consume(number: int, machine_number: int) -> None:
        request_id = f"q{number:08x}"
        headers = {
            "Host": "play.example",
            "Jaypost-Request-Id": request_id,
            "Jaypost-Request-Timeout-Ms": "2800",
            "Authorization": "Bearer key-hot",
        }
        sent_at[request_id] = now()
        machine = machines[machine_number]
        answer = await consumers.send(machine.outbound, "GET", "/play/1", headers, b"", 2.9)
        answers.append(answer)
        text = f"{request_id} sent to {machine.name} at {sent_at[request_id]:.3f}"
        mesh.record.add(f"{text}: {answer.status} {answer.reason}")

    async def load() -> None:
        began = last = now()
        due, number = 0.0, 0
        while last < began + CALM_S + DOWN_S + AFTER_S:
            at = now()
            is_hot = CALM_S - HOT_BEFORE_S <= at - began < CALM_S - HOT_BEFORE_S + HOT_S
            due += (at - last) * USUAL * (HOT_X if is_hot else 1.0)
            last = at
            while number < due:
                task = asyncio.create_task(consume(number, number % NODES))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                number += 1
            await asyncio.sleep(0.01)

    async def disrupt() -> None:
        await asyncio.sleep(CALM_S)
        for machine in machines:
            mesh.signal_node(machine, signal.SIGKILL)
        for machine in machines:
            await mesh.wait_exit(machine, 5.0)
        await asyncio.sleep(DOWN_S)
        for machine in machines:
            mesh.start_node(machine)

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
