"""Case 9: a server leaves while the store is down, then the node beside it is restarted."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import BROKEN, HELD, NOT_RUN, Consumers, Mesh, Server, config, main, now, route

from standins.store import Faults

HERE = Path(__file__).resolve().parent
ZONES = (
    ("addis-bole", "addis"),
    ("addis-kality", "addis"),
    ("diredawa-kezira", "diredawa"),
    ("diredawa-sabian", "diredawa"),
)
SERVICE = "order-portal"
BOUNDS = {"DrainS": "2500", "GraceS": "6", "RetryBudgetRatio": "0.2"}
DRAIN_S, CONTACT_S, GRACE_S = 2.5, 4.0, 6.0
NODES, PER_S = 8, 80.0
# The store is down for this time; the server leaves a second after its begin.
DOWN_S = 4.0
# The last check-in from before the leave arrives this long after the start of the node.
LATE_S = 2.5
# The server goes on serving this long after the ack.
STAY_S = 16.0


async def play(trouble: bool) -> int:
    """Play the case and return the exit code of the script."""
    mesh = Mesh(HERE, BOUNDS)
    try:
        return await _play(mesh, trouble)
    finally:
        await mesh.close()


async def _play(mesh: Mesh, trouble: bool) -> int:
    machines = [mesh.add_machine(*ZONES[i % len(ZONES)], SERVICE) for i in range(NODES)]
    await mesh.store.start()
    for machine in machines:
        mesh.start_node(machine, first=True)
    servers = [Server(mesh, machine, f"i-{machine.name}") for machine in machines]
    for server in servers:
        await server.start()
    routes = [route("r-view", "shop.example", "/view/", SERVICE, timeout_ms=1000)]
    await mesh.write_config(config(7, routes, [SERVICE]))
    if not await mesh.wait_ready(machines):
        print("the nodes did not become ready")
        return NOT_RUN
    await asyncio.sleep(6.0)  # the servers are known everywhere

    leaving = servers[0]
    machine = leaving.machine
    consumers = Consumers()
    sent: dict[str, tuple[float, str]] = {}
    tasks: set[asyncio.Task[None]] = set()
    over = asyncio.Event()
    # Times of the ack, of the start of the node, and of the return of the store.
    acknowledged_at = started_at = back_at = 0.0

    async def consume(number: int) -> None:
        request_id = f"q{number:08x}"
        headers = {
            "Host": "shop.example",
            "Jaypost-Request-Id": request_id,
            "Jaypost-Request-Timeout-Ms": "1000",
        }
        origin = machines[number % NODES]
        sent[request_id] = (now(), origin.name)
        answer = await consumers.send(origin.outbound, "GET", "/view/1", headers, b"", 1.0)
        text = f"{request_id} sent to {origin.name} at {sent[request_id][0]:.3f}"
        mesh.record.add(f"{text}: {answer.status} {answer.reason}")

    async def load() -> None:
        began, number = now(), 0
        while not over.is_set():
            while number < (now() - began) * PER_S:
                task = asyncio.create_task(consume(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                number += 1
            await asyncio.sleep(0.01)

    async def outage() -> None:
        nonlocal back_at
        back_at = now()
        if trouble:
            mesh.record.add("the store is down")
            await mesh.store.set_faults(Faults(down=True))
            await asyncio.sleep(DOWN_S)
            await mesh.store.set_faults(Faults())
            back_at = now()
            mesh.record.add("the store is back")

    async def leave() -> None:
        nonlocal acknowledged_at, started_at
        await asyncio.sleep(1.0)
        leaving.beats = False
        late = leaving.body()  # sent now, and on its way for long
        for _ in range(8):
            if await leaving.deregister() == 200:
                acknowledged_at = now()
                break
            await asyncio.sleep(0.3)
        await asyncio.sleep(1.0)
        mesh.signal_node(machine, signal.SIGTERM)
        await mesh.wait_exit(machine, GRACE_S)
        await asyncio.sleep(0.3)
        mesh.start_node(machine)
        started_at = now()
        await asyncio.sleep(LATE_S)
        status = await leaving.check_in(late)
        mesh.record.add(f"a check-in of {leaving.id} from before its leave arrives: {status}")
        await asyncio.sleep(max(0.0, acknowledged_at + STAY_S - now()))
        await leaving.close()
        mesh.record.add(f"server {leaving.id} ends")
        over.set()

    await asyncio.gather(load(), outage(), leave())
    while tasks:
        await asyncio.wait(set(tasks))
    consumers.close()
    if not acknowledged_at:
        print("the leave was not acknowledged")
        return NOT_RUN
    return _judge(mesh, leaving, sent, acknowledged_at, started_at, back_at)


def _judge(
    mesh: Mesh,
    leaving: Server,
    sent: dict[str, tuple[float, str]],
    acknowledged_at: float,
    started_at: float,
    back_at: float,
) -> int:
    """Count the requests that reached the server too late, sent on by machines in touch."""
    in_touch_at = max(started_at, back_at) + CONTACT_S
    late = [
        run
        for run in leaving.runs
        if run.at > acknowledged_at + DRAIN_S and sent[run.request_id][0] > in_touch_at
    ]
    after = max((run.at - acknowledged_at for run in late), default=0.0)
    text = f"{len(late)} requests reached {leaving.id} too late, up to {after:.2f} s after the ack"
    mesh.record.add(text)
    print(text)
    return BROKEN if late else HELD


main(play)
