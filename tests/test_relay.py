"""Guards against faults of the soak that do not happen, so that its checks have no work."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from jaypost.records import Address
from standins.relay import BOTH_WAYS, Relay
from tests.harness import UvloopPolicy

SHORT_S = 0.2
GENEROUS_S = 10.0


class Echo:
    """A server that keeps what it received and sends it back."""

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
async def relayed() -> AsyncIterator[tuple[Echo, Relay, Address]]:
    echo = Echo()
    server = await asyncio.start_server(echo.serve, "127.0.0.1", 0)
    relay = Relay(Address("127.0.0.1", server.sockets[0].getsockname()[1]))
    address = await relay.start()
    yield echo, relay, address
    await relay.close()
    server.close()


@pytest.mark.parametrize(
    ("directions", "arrives"),
    [
        (frozenset(), True),
        (frozenset({True}), True),
        (frozenset({False}), False),
        (BOTH_WAYS, False),
    ],
    ids=["none", "to the client", "to the server", "both"],
)
async def test_silence(relayed, directions: frozenset[bool], arrives: bool) -> None:
    echo, relay, address = relayed
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"first")
    assert await asyncio.wait_for(reader.readexactly(5), GENEROUS_S) == b"first"
    assert relay.silence(directions) == 1
    writer.write(b"second")
    if directions:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), SHORT_S)
    else:
        assert await asyncio.wait_for(reader.readexactly(6), GENEROUS_S) == b"second"
    assert echo.received == (b"firstsecond" if arrives else b"first")
    writer.close()


async def test_reset_while_a_piece_is_delayed(relayed) -> None:
    _, relay, address = relayed
    relay.delay_s = SHORT_S
    failures: list[dict[str, object]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: failures.append(context))
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"first")
    await asyncio.sleep(SHORT_S / 2)
    relay.reset()
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.read(1), GENEROUS_S)
    await asyncio.sleep(2 * SHORT_S)
    assert not failures
    writer.close()


async def test_reset_ends_open_connections_only(relayed) -> None:
    _, relay, address = relayed
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"first")
    await asyncio.wait_for(reader.readexactly(5), GENEROUS_S)
    assert relay.reset() == 1
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.read(1), GENEROUS_S)
    writer.close()
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b"again")
    assert await asyncio.wait_for(reader.readexactly(5), GENEROUS_S) == b"again"
    writer.close()
