"""Stops both nodes of a zone, one after the other, while consumers pipeline safe requests."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    GRACE_S,
    Node,
    Record,
    Request,
    Server,
    Site,
    encode_answer,
    encode_request,
    new_request,
    read_answer,
    run_case,
    running_site,
    sent_id,
    trouble,
)

CONSUMERS = 6
# Work of the two requests that a consumer sends behind each other.
WORK_S = (0.4, 0.8)
PAUSE_S = 0.05
PLAY_S = 8.0
SIGTERM_AFTER_S = 1.5
# Pause between the two machines, as in the days of the site.
GAP_S = 1.0
ZONES = ("addis-bole", "addis-bole", "addis-kality", "addis-kality", "addis-kality")


async def work(server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
    """Run a request for the time in its path, in seconds."""
    await asyncio.sleep(float(request.path.rpartition("/")[2]))
    writer.write(encode_answer(request.request_id, 200, b"x" * 1000))


async def consume(site: Site, node: Node, until: float) -> list[str]:
    """Send pairs of requests on a connection; return the ids of those that were not answered."""
    unanswered: list[str] = []
    record = site.record
    while time.monotonic() < until:
        if not site.receives_work[node.name]:
            await asyncio.sleep(PAUSE_S)
            continue
        try:
            reader, writer = await asyncio.open_connection(node.outbound.host, node.outbound.port)
        except OSError:
            await asyncio.sleep(PAUSE_S)
            continue
        try:
            while time.monotonic() < until and site.receives_work[node.name]:
                pair = [new_request("GET", f"/view/{work_s}") for work_s in WORK_S]
                writer.write(b"".join(encode_request(item) for item in pair))
                waiting = [sent_id(item) for item in pair]
                record.write(f"sent {' '.join(waiting)}")
                closes = False
                while waiting and not closes:
                    answer = await asyncio.wait_for(read_answer(reader), 5)
                    request_id = waiting.pop(0)
                    closes = answer.headers.get("connection") == "close"
                    record.write(f"answered {request_id} {answer.status}{' and closes' * closes}")
                    pause_s = float(answer.headers.get("retry-after", 0)) + PAUSE_S
                unanswered += waiting
                await asyncio.sleep(pause_s)
                if closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            record.write(f"closed without an answer: {' '.join(waiting)}")
            unanswered += waiting
        finally:
            writer.close()
    return unanswered


async def play(record: Record) -> bool:
    """Look for requests that were passed on to the server and whose connection was closed."""
    async with running_site(record, ZONES, work) as site:
        await site.wait_served("GET", "/view/0")
        first, second = site.nodes[:2]
        watch = asyncio.create_task(site.watch_readiness())
        await asyncio.sleep(SIGTERM_AFTER_S)
        until = time.monotonic() + PLAY_S
        consumers = [
            asyncio.create_task(consume(site, node, until))
            for node in (first, second)
            for _ in range(CONSUMERS)
        ]
        await asyncio.sleep(SIGTERM_AFTER_S)
        if trouble():
            first.send_signal(signal.SIGTERM)
            await asyncio.sleep(GAP_S)
            second.send_signal(signal.SIGTERM)
            for node in (first, second):
                record.write(f"exit code of {node.name}: {await node.wait_exit(GRACE_S)}")
                node.start()
        unanswered = {item for ids in await asyncio.gather(*consumers) for item in ids}
        watch.cancel()
        ran = {request.request_id for server in site.servers for request in server.ran}
        lost = unanswered & ran
        record.write(f"passed on and never answered: {' '.join(sorted(lost)) or 'none'}")
        return not lost


run_case(Path(__file__).resolve().parent, play)
