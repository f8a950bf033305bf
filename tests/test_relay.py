"""Tests the faults that the relay injects in runs of `bench.chaos`.

A fault without effect would let the checks of those runs pass although they tested nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from jaypost.records import Address
from standins.relay import BOTH_DIRECTIONS, Relay
from tests.harness import UvloopPolicy

SHORT_WAIT_S = 0.2
TIMEOUT_S = 10.0


class Echo:
    """Server that records the bytes it receives and sends them back."""

    def __init__(self) -> None:
        self.received = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(1024):
                self.received += data
                writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()


@pytest.fixture(scope="module")
def event_loop_policy() -> UvloopPolicy:
    return UvloopPolicy()


@pytest.fixture
async def echo_behind_relay() -> AsyncIterator[tuple[Echo, Relay, Address]]:
    echo = Echo()
    server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
    relay = Relay(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    address = await relay.start()
    yield echo, relay, address
    await relay.close()
    server.close()


@pytest.mark.parametrize(
    ("directions", "reaches_server"),
    [
        (frozenset(), True),
        (frozenset({True}), True),
        (frozenset({False}), False),
        (BOTH_DIRECTIONS, False),
    ],
    ids=["none", "to the client", "to the server", "both"],
)
async def test_silence_discards_bytes_in_the_given_directions(
    echo_behind_relay, directions: frozenset[bool], reaches_server: bool
) -> None:
    """Guards against a silence that lets bytes pass or acts on the other direction."""
    echo, relay, address = echo_behind_relay
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"first")
    assert await asyncio.wait_for(reader.readexactly(5), TIMEOUT_S) == b"first"
    assert relay.silence(directions) == 1
    writer.write(b"second")
    if directions:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), SHORT_WAIT_S)
    else:
        assert await asyncio.wait_for(reader.readexactly(6), TIMEOUT_S) == b"second"
    assert echo.received == (b"firstsecond" if reaches_server else b"first")
    writer.close()


async def test_reset_while_a_chunk_is_delayed_reports_no_error(echo_behind_relay) -> None:
    """Guards against a relay that fails when it writes a delayed chunk to a reset connection."""
    _, relay, address = echo_behind_relay
    relay.delay_s = SHORT_WAIT_S
    loop_errors: list[dict[str, object]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_errors.append(context))
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"first")
    await asyncio.sleep(SHORT_WAIT_S / 2)
    relay.reset()
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.read(1), TIMEOUT_S)
    await asyncio.sleep(2 * SHORT_WAIT_S)
    assert not loop_errors
    writer.close()


async def test_reset_affects_only_open_connections(echo_behind_relay) -> None:
    """Guards against a reset without effect, and one that also affects later connections."""
    _, relay, address = echo_behind_relay
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"first")
    await asyncio.wait_for(reader.readexactly(5), TIMEOUT_S)
    assert relay.reset() == 1
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.read(1), TIMEOUT_S)
    writer.close()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"again")
    assert await asyncio.wait_for(reader.readexactly(5), TIMEOUT_S) == b"again"
    writer.close()
