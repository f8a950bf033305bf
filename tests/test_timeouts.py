"""Tests of timeouts, on an event loop that is blocked past them."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
import uvloop

from jaypost.timeouts import complete_within

TIMEOUT_S = 0.02
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


async def open_connection(port: int, block_at: str) -> str:
    """Open a connection and block the event loop past the timeout, before or after its start."""
    if block_at == "start":
        time.sleep(2 * TIMEOUT_S)  # noqa: ASYNC251 - the loop must be blocked
    else:
        asyncio.get_running_loop().call_soon(time.sleep, 2 * TIMEOUT_S)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.close()
    return "opened"


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("block_at", ["start", "next pass"])
def test_what_the_kernel_completed_while_the_loop_was_blocked_counts(
    loop: str, block_at: str
) -> None:
    """Guards against a peer that counts as unreachable because this process did not run."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        asyncio.Runner(loop_factory=LOOPS[loop]) as runner,
    ):
        port = listener.getsockname()[1]
        assert runner.run(complete_within(TIMEOUT_S, open_connection(port, block_at))) == "opened"


async def wait_forever(ended: list[str]) -> None:
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        ended.append("cancelled")


async def fail() -> None:
    raise ConnectionRefusedError


@pytest.mark.parametrize("loop", LOOPS)
def test_operation_that_does_not_complete_is_cancelled(loop: str) -> None:
    """Guards against an operation that goes on behind its timeout, or behind its caller."""
    ended: list[str] = []

    async def play() -> None:
        with pytest.raises(TimeoutError):
            await complete_within(TIMEOUT_S, wait_forever(ended))
        with pytest.raises(ConnectionRefusedError):
            await complete_within(TIMEOUT_S, fail())
        waiting = asyncio.create_task(complete_within(60, wait_forever(ended)))
        await asyncio.sleep(TIMEOUT_S)
        waiting.cancel()
        await asyncio.wait({waiting})
        assert waiting.cancelled()

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(play())
    assert ended == ["cancelled", "cancelled"]
