"""TCP relay that can delay or reset connections, or discard the bytes of one or both directions."""

from __future__ import annotations

import asyncio
import socket
import struct

from jaypost.records import Address

READ_BYTES = 65_536
# SO_LINGER on with a timeout of 0 seconds: closing the socket sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)

# A direction is True when it leads to the client, False when it leads to the server.
BOTH_DIRECTIONS = frozenset({False, True})


class _ConnectionPair:
    """A client connection and the server connection opened for it."""

    def __init__(self) -> None:
        # Directions that discard bytes; True leads to the client.
        self.silent: set[bool] = set()
        self.writers: list[asyncio.StreamWriter] = []

    async def forward(
        self,
        relay: Relay,
        to_client: bool,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copy bytes from `reader` to `writer` until the end of the stream.

        A silent direction discards the bytes and does not close `writer` at the end.
        """
        try:
            while data := await reader.read(READ_BYTES):
                await asyncio.sleep(relay.delay_s)
                if writer.is_closing():  # reset while the chunk was delayed
                    break
                if to_client in self.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if to_client not in self.silent:
            writer.close()

    def reset(self) -> None:
        """Reset both connections."""
        for writer in self.writers:
            tcp_socket = writer.get_extra_info("socket")
            if tcp_socket is not None and not writer.is_closing():
                tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                writer.transport.abort()


class Relay:
    """Forwards TCP connections to a server.

    Parameters
    ----------
    address : Address
        Address of the server.

    Attributes
    ----------
    delay_s : float
        Delay in seconds before each chunk is forwarded.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._server: asyncio.Server | None = None
        self._pair_by_task: dict[asyncio.Task[None], _ConnectionPair] = {}
        self.delay_s = 0.0

    async def start(self) -> Address:
        """Listen on a free loopback port and return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        tasks = list(self._pair_by_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def silence(self, directions: frozenset[bool] = BOTH_DIRECTIONS) -> int:
        """Discard further bytes of the open connections, and return the number of connections.

        `directions` holds True for the direction to the client and False for the one to the
        server. Connections that are opened later are forwarded.
        """
        for pair in self._pair_by_task.values():
            pair.silent |= directions
        return len(self._pair_by_task)

    def reset(self) -> int:
        """Reset the open connections, and return their number."""
        for pair in self._pair_by_task.values():
            pair.reset()
        return len(self._pair_by_task)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        pair = _ConnectionPair()
        pair.writers.append(writer)
        self._pair_by_task[task] = pair
        try:
            upstream = await asyncio.open_connection(self._address.host, self._address.port)
            pair.writers.append(upstream[1])
            await asyncio.gather(
                pair.forward(self, False, reader, upstream[1]),
                pair.forward(self, True, upstream[0], writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            del self._pair_by_task[task]
            for open_writer in pair.writers:
                open_writer.close()
