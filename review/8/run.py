"""Case 8: consumers leave while their uploads wait for a slot of a server."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import sys
import termios
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import BROKEN, HELD, NOT_RUN, Machine, Mesh, Server, config, main, now, route

HERE = Path(__file__).resolve().parent
ZONES = (("kochi-a", "kochi"), ("kochi-b", "kochi"), ("kozhikode-a", "kozhikode"))
UPLOADS, STATUS = "drawings", "tracker"
BOUNDS = {"DrainS": "3000", "GraceS": "6", "RetryBudgetRatio": "0.2"}
SLOTS = 5
# Work of an upload on slow servers, and its size.
WORK_S, BODY = 0.9, b"x" * 180_000
TIMEOUT_MS, GOAL_MS = 3550, 2400
# Consumers of a round that stay, which fill the slots, and those that leave this long after they
# have sent their request.
STAYERS, LEAVERS, LEAVE_S = 15, 5, 0.1
ROUNDS, ROUND_S = 8, 3.0
LATE_S, A_FEW = 0.5, 5


async def play(trouble: bool) -> int:
    """Play the case and return the exit code of the script."""
    mesh = Mesh(HERE, BOUNDS)
    try:
        return await _play(mesh, trouble)
    finally:
        await mesh.close()


async def _play(mesh: Mesh, trouble: bool) -> int:
    places = [(*zone, UPLOADS) for zone in ZONES] + [(*ZONES[0], STATUS)]
    machines = [mesh.add_machine(*place) for place in places]
    await mesh.store.start()
    for machine in machines:
        mesh.start_node(machine, first=True)
    servers = [
        Server(mesh, machine, f"i-{machine.name}", lambda path: WORK_S, SLOTS)
        for machine in machines
    ]
    for server in servers:
        await server.start()
    routes = [
        route(
            "r-plan",
            "plans.example",
            "/plan/",
            UPLOADS,
            kind="upload",
            timeout_ms=TIMEOUT_MS,
            target_latency_ms=GOAL_MS,
        )
    ]
    await mesh.write_config(config(7, routes, [UPLOADS, STATUS]))
    if not await mesh.wait_ready(machines):
        print("the nodes did not become ready")
        return NOT_RUN
    await asyncio.sleep(6.0)  # the servers are known everywhere

    closed_at: dict[str, float] = {}
    answered: dict[str, str] = {}

    async def upload(request_id: str, machine: Machine, leaves: bool) -> None:
        reader, writer = await asyncio.open_connection(machine.outbound.host, machine.outbound.port)
        head = [
            "POST /plan/1 HTTP/1.1",
            "Host: plans.example",
            f"Jaypost-Request-Id: {request_id}",
            f"Jaypost-Request-Timeout-Ms: {TIMEOUT_MS}",
            f"Content-Length: {len(BODY)}",
        ]
        writer.transport.set_write_buffer_limits(0)
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + BODY)
        mesh.record.add(f"{request_id} sent to {machine.name}")
        if leaves:
            await asyncio.sleep(LEAVE_S)
            # The machine of the node has the whole request, so that the close reaches it at once.
            await writer.drain()
            unacknowledged = _unacknowledged_bytes(writer)
            writer.close()
            text = f"{request_id}: its consumer has closed the connection"
            mesh.record.add(f"{text}, {unacknowledged} bytes not acknowledged")
            if not unacknowledged:
                closed_at[request_id] = now()
            return
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 0.5):
                line = await reader.readline()
        except (OSError, TimeoutError) as error:
            line = type(error).__name__.encode()
        answered[request_id] = line.decode("latin-1").strip()
        mesh.record.add(f"{request_id} answered: {answered[request_id]}")
        writer.close()

    number = 0
    tasks: list[asyncio.Task[None]] = []
    for _ in range(ROUNDS):
        for place in range(STAYERS + LEAVERS):
            number += 1
            leaves = trouble and place >= STAYERS
            machine = machines[number % len(machines)]
            tasks.append(asyncio.create_task(upload(f"q{number:04x}", machine, leaves)))
            if place == STAYERS - 1:
                await asyncio.sleep(0.1)
        await asyncio.sleep(ROUND_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(2.0)
    return _judge(mesh, servers, closed_at, answered)


def _unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    """Return the bytes that the other side of a connection has not acknowledged."""
    sock = writer.get_extra_info("socket")
    (count,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))
    return int(count)


def _judge(
    mesh: Mesh, servers: list[Server], closed_at: dict[str, float], answered: dict[str, str]
) -> int:
    """Count the requests that reached a server over half a second after their consumer left."""
    arrived_at = {request_id: at for server in servers for at, request_id in server.arrivals}
    late = [
        arrived_at[request_id] - closed
        for request_id, closed in closed_at.items()
        if arrived_at.get(request_id, closed) > closed + LATE_S
    ]
    good = sum(" 200 " in line for line in answered.values())
    text = (
        f"{len(closed_at)} consumers left, {len(late)} of their uploads reached a server over "
        f"{LATE_S} s later, up to {max(late, default=0.0):.2f} s; "
        f"{good} of {len(answered)} others got 200"
    )
    mesh.record.add(text)
    print(text)
    if not good:
        return NOT_RUN
    return BROKEN if len(late) > A_FEW else HELD


main(play)
