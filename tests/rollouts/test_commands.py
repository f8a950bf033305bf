"""`jaypost rollout` on a store stand-in, and the records it leaves there."""

from __future__ import annotations

import asyncio
import io
from dataclasses import replace

import pytest

from jaypost import cli
from jaypost.records import Address
from jaypost.rollouts.orders import (
    RolloutStatus,
    decode_order,
    decode_status,
    encode_status,
)
from jaypost.store import StoreEntry
from standins.store import StoreServer
from tests.rollouts.test_decisions import CANARY


async def run(server: StoreServer, *arguments: str) -> tuple[int, str]:
    out, err = io.StringIO(), io.StringIO()
    environment = {"JAYPOST_STORE": str(server.address)}
    code = await asyncio.to_thread(cli.main, ("rollout", *arguments), environment, out, err)
    return code, out.getvalue() + err.getvalue()


async def test_order_and_its_state_are_shown() -> None:
    server = StoreServer(Address("127.0.0.1", 0))
    await server.start()
    try:
        assert (await run(server, "start", "shop", "v2", "--within", "60"))[0] == 0
        assert "ordered" in (await run(server, "status"))[1]
        (entry,) = server.core.list("rollouts/orders/")
        step = replace(CANARY, order=entry.revision)
        server.core.put("rollouts/status/shop", encode_status(RolloutStatus(step, 3.0)), None)
        shown = (await run(server, "status", "shop"))[1]
        assert "running" in shown and "5.0%" in shown
        assert (await run(server, "start", "Shop!", "v2", "--within", "60"))[0] == 2
        assert (await run(server, "start", "shop", "v2", "--within", "0"))[0] == 2
    finally:
        await server.close()


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("orders/shop", b"{"),
        ("orders/shop", b"[" * 10_000),
        ("orders/shop", b'{"service":"cart","target_version":"v2","duration_s":5}'),
        ("orders/shop", b'{"service":"shop","target_version":"","duration_s":5}'),
        ("orders/shop", b'{"service":"shop","target_version":"v2","duration_s":0}'),
        ("orders/shop", b'{"service":"shop","target_version":"v2","duration_s":1e300}'),
        ("orders/shop", b'{"service":"shop","target_version":7,"duration_s":5}'),
    ],
)
def test_odd_orders_are_refused(key: str, value: bytes) -> None:
    """Guards against an entry of another writer that ends the decider."""
    assert decode_order(StoreEntry(key, 1, value)) is None


def test_state_is_read_as_written_and_odd_ones_are_refused() -> None:
    status = RolloutStatus(CANARY, 2.5)
    assert decode_status("shop", encode_status(status)) == status
    assert decode_status("shop", b'{"state":"paused","target_version":"v2"}') is None
