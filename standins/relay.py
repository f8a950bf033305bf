"""A TCP relay whose open connections can go silent, both ways or one, be delayed or be reset."""

from __future__ import annotations

import asyncio
import socket
import struct

from jaypost.records import Address

READ_BYTES = 65_536
LINGER_RESET = struct.pack("ii", 1, 0)  # closing the socket sends a reset

BOTH_WAYS = frozenset({False, True})


class _Pair:
    """A connection of a client and the one opened for it, with a task for each direction."""

    def __init__(self) -> None:
        # Directions that discard bytes, by whether they lead to the client.
        self.silent: set[bool] = set()
        self.writers: list[asyncio.StreamWriter] = []

    async def forward(
        self,
        relay: Relay,
        to_client: bool,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copy bytes until the end; a silent direction discards them and keeps both sides open."""
        try:
            while data := await reader.read(READ_BYTES):
                await asyncio.sleep(relay.delay_s)
                if writer.is_closing():  # reset while the piece was delayed
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
            opened = writer.get_extra_info("socket")
            if opened is not None and not writer.is_closing():
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                writer.transport.abort()


class Relay:
    """Forwards connections to `address`.

    Parameters
    ----------
    address : Address
        Where connections are forwarded.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._server: asyncio.Server | None = None
        self._pair_by_task: dict[asyncio.Task[None], _Pair] = {}
        # Added to each piece that is forwarded, in seconds.
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

    def silence(self, directions: frozenset[bool] = BOTH_WAYS) -> int:
        """Stop forwarding on the connections that are open now, and return their number.

        `directions` are those cut, by whether they lead to the client.
        """
        for pair in self._pair_by_task.values():
            pair.silent |= directions
        return len(self._pair_by_task)

    def reset(self) -> int:
        """Reset the connections that are open now, and return their number."""
        for pair in self._pair_by_task.values():
            pair.reset()
        return len(self._pair_by_task)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        pair = _Pair()
        pair.writers.append(writer)
        self._pair_by_task[task] = pair
        try:
            far = await asyncio.open_connection(self._address.host, self._address.port)
            pair.writers.append(far[1])
            await asyncio.gather(
                pair.forward(self, False, reader, far[1]), pair.forward(self, True, far[0], writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            del self._pair_by_task[task]
            for end in pair.writers:
                end.close()
