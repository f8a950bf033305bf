"""Tests of timeouts, on an event loop that is blocked past them."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from jaypost.timeouts import PatientTimeout

TIMEOUT_S = 0.02
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


async def open_connection(port: int) -> str:
    """Open a connection while the event loop is blocked past the timeout."""
    async with PatientTimeout(TIMEOUT_S):
        asyncio.get_running_loop().call_soon(time.sleep, 2 * TIMEOUT_S)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.close()
    return "done"


async def read_response(port: int) -> str:
    """Read from a connection whose data arrives while the event loop is blocked."""
    received, sending = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=received)
    async with PatientTimeout(TIMEOUT_S):
        asyncio.get_running_loop().call_soon(send_and_block, sending)
        await reader.readexactly(2)
    writer.close()
    return "done"


def send_and_block(sending: socket.socket) -> None:
    sending.sendall(b"hi")
    sending.close()
    time.sleep(2 * TIMEOUT_S)


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("operation", [open_connection, read_response])
def test_what_arrived_while_the_loop_was_blocked_counts(
    loop: str, operation: Callable[[int], Awaitable[str]]
) -> None:
    """Guards against a peer that counts as unreachable because this process did not run."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        asyncio.Runner(loop_factory=LOOPS[loop]) as runner,
    ):
        assert runner.run(operation(listener.getsockname()[1])) == "done"  # type: ignore[arg-type]


@pytest.mark.parametrize("loop", LOOPS)
def test_block_that_does_not_end_is_cancelled(loop: str) -> None:
    """Guards against a wait without end, and a timer that outlives its block."""
    ended: list[str] = []

    async def wait(delay_s: float) -> None:
        async with PatientTimeout(60) as limit:
            limit.reschedule(asyncio.get_running_loop().time() + delay_s)
            try:
                await asyncio.get_running_loop().create_future()
            finally:
                ended.append("cancelled")

    async def play() -> None:
        with pytest.raises(TimeoutError):
            await wait(TIMEOUT_S)
        with pytest.raises(ConnectionRefusedError):
            async with PatientTimeout(TIMEOUT_S):
                raise ConnectionRefusedError
        waiting = asyncio.create_task(wait(60))
        await asyncio.sleep(2 * TIMEOUT_S)
        waiting.cancel()
        await asyncio.wait({waiting})
        assert waiting.cancelled()
        async with PatientTimeout(TIMEOUT_S):
            pass
        await asyncio.sleep(2 * TIMEOUT_S)

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(play())
    assert ended == ["cancelled", "cancelled"]
