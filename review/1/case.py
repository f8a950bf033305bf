"""Sends a long body in chunks to a node whose own server has an idle connection."""

from __future__ import annotations

import hashlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Record, call, new_request, run_case, running_site, sent_id, trouble

BODY_BYTES = 200_000
CHUNK_BYTES = 8_000
REQUESTS = 5


async def play(record: Record) -> bool:
    """Compare the bodies that the server ran with those that were sent."""
    async with running_site(record) as site:
        await site.wait_served("POST", "/order/warm")
        server, node = site.servers[0], site.nodes[0]
        rng = random.Random(1)
        held = True
        for number in range(REQUESTS):
            body = rng.randbytes(BODY_BYTES)
            request = new_request("POST", f"/order/{number}", body)
            digest = hashlib.blake2b(body, digest_size=8).hexdigest()
            form = "in chunks" if trouble() else "with a length"
            record.write(f"sent id={sent_id(request)} body={len(body)} {form} digest={digest}")
            answer = await call(node.outbound, request, CHUNK_BYTES if trouble() else 0)
            status = answer.status if answer is not None else "connection closed"
            record.write(f"answered id={sent_id(request)} {status}")
            for ran in [item for item in server.ran if item.request_id == sent_id(request)]:
                if ran.body != body:
                    record.write(f"changed id={sent_id(request)}: {len(ran.body)} bytes ran")
                    held = False
        return held


run_case(Path(__file__).resolve().parent, play)
