"""Case 7: the servers of a service are restarted one after the other and keep their ids."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import BROKEN, HELD, NOT_RUN, Consumers, Mesh, Server, config, main, now, route

HERE = Path(__file__).resolve().parent
ZONES = (("addis-bole", "addis"), ("addis-kality", "addis"), ("diredawa-kezira", "diredawa"))
PORTAL, DOCS = "order-portal", "warehouse-docs"
BOUNDS = {"DrainS": "2500", "GraceS": "6", "RetryBudgetRatio": "0.2"}
DRAIN_S, CONTACT_S, CONFIG_APPLY_S = 2.5, 4.0, 2.5
PROBE_S, PER_S = 12.0, 30.0


async def play(trouble: bool) -> int:
    """Play the case and return the exit code of the script."""
    mesh = Mesh(HERE, BOUNDS)
    try:
        return await _play(mesh, trouble)
    finally:
        await mesh.close()


async def _restart(mesh: Mesh, server: Server) -> Server:
    """End a server as the pages have it, and start it again under its id; return the new one."""
    server.state = "draining"
    status = await server.check_in(server.body())
    mesh.record.add(f"server {server.id} says that it drains: {status}")
    await asyncio.sleep(DRAIN_S + 0.5)
    server.beats = False
    await server.deregister()
    await server.close()
    await asyncio.sleep(0.5)
    again = Server(mesh, server.machine, server.id)
    mesh.record.add(f"server {again.id} starts again, born {server.born} and now {again.born}")
    await again.start()
    return again


async def _play(mesh: Mesh, trouble: bool) -> int:
    machines = [mesh.add_machine(*zone, service) for service in (PORTAL, DOCS) for zone in ZONES]
    await mesh.store.start()
    for machine in machines:
        mesh.start_node(machine, first=True)
    servers = [Server(mesh, machine, f"i-{machine.name}") for machine in machines]
    for server in servers:
        await server.start()
    first = [
        route("r-view", "shop.example", "/view/", PORTAL, timeout_ms=1000),
        route("r-guide", "docs.example", "/guide/", DOCS, timeout_ms=1000),
    ]
    await mesh.write_config(config(7, first, [PORTAL, DOCS]))
    if not await mesh.wait_ready(machines):
        print("the nodes did not become ready")
        return NOT_RUN
    await asyncio.sleep(6.0)  # the servers are known everywhere

    if trouble:
        for server in [server for server in servers if server.machine.service == DOCS]:
            await _restart(mesh, server)
            await asyncio.sleep(4.0)
    more = [*first, route("r-plan", "docs.example", "/plan/", DOCS, timeout_ms=1000)]
    await mesh.write_config(config(9, more, [PORTAL, DOCS]))
    # Steady state: no disturbance for longer than the bounds ask for.
    await asyncio.sleep(CONTACT_S + CONFIG_APPLY_S + 4.0)

    consumers = Consumers()
    statuses: dict[str, Counter[int]] = {"first": Counter(), "later": Counter()}
    tasks: set[asyncio.Task[None]] = set()

    async def consume(number: int) -> None:
        request_id = f"q{number:08x}"
        kind = ("first", "later")[number % 2]
        host, path = {"first": ("shop.example", "/view/1"), "later": ("docs.example", "/plan/1")}[
            kind
        ]
        headers = {
            "Host": host,
            "Jaypost-Request-Id": request_id,
            "Jaypost-Request-Timeout-Ms": "1000",
        }
        machine = machines[(number // 2) % len(machines)]
        sent_at = now()
        answer = await consumers.send(machine.outbound, "GET", path, headers, b"", 1.0)
        statuses[kind][answer.status] += 1
        text = f"{request_id} ({kind} route) sent to {machine.name} at {sent_at:.3f}"
        mesh.record.add(f"{text}: {answer.status} {answer.reason}")

    began, number = now(), 0
    while now() < began + PROBE_S:
        while number < (now() - began) * PER_S:
            task = asyncio.create_task(consume(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
        await asyncio.sleep(0.01)
    while tasks:
        await asyncio.wait(set(tasks))
    consumers.close()
    return _judge(mesh, statuses)


def _judge(mesh: Mesh, statuses: dict[str, Counter[int]]) -> int:
    """Compare how often the routes that were added later are served with the first ones."""
    share = {kind: counts[200] / max(1, counts.total()) for kind, counts in statuses.items()}
    text = f"answers by status: {({kind: dict(counts) for kind, counts in statuses.items()})}"
    mesh.record.add(text)
    print(text)
    if statuses["later"].total() < 20 or not share["first"]:
        return NOT_RUN
    return BROKEN if share["later"] < share["first"] / 4 else HELD


main(play)
