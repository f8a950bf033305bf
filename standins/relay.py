"""A TCP relay whose open connections can go silent while new ones work."""

from __future__ import annotations

import asyncio

from jaypost.records import Address

READ_BYTES = 65_536


class _Pair:
    """A connection of a client and the one opened for it, with a task for each direction."""

    def __init__(self) -> None:
        self.silent = False
        self.writers: list[asyncio.StreamWriter] = []

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Copy bytes until the end; a silent pair discards them and keeps both sides open."""
        try:
            while data := await reader.read(READ_BYTES):
                if self.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not self.silent:
            writer.close()


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

    def silence(self) -> int:
        """Stop forwarding on the connections that are open now, and return their number."""
        pairs = [pair for pair in self._pair_by_task.values() if not pair.silent]
        for pair in pairs:
            pair.silent = True
        return len(pairs)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        pair = _Pair()
        pair.writers.append(writer)
        self._pair_by_task[task] = pair
        try:
            far = await asyncio.open_connection(self._address.host, self._address.port)
            pair.writers.append(far[1])
            await asyncio.gather(pair.forward(reader, far[1]), pair.forward(far[0], writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            del self._pair_by_task[task]
            for end in pair.writers:
                end.close()
