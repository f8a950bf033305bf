"""An event loop with virtual time whose TCP connections are buffers in memory.

Servers and clients use it like any other loop. Each direction of a connection has a bounded buffer,
as in a kernel, so that a receiver that does not read pauses the sender. How the bytes are cut into
reads is drawn from a seeded generator.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Collection
from typing import Any

from tests.virtual_time import VirtualTimeLoop

# Bytes that a sender buffers before it is told to pause, as in asyncio and uvloop.
HIGH_WATER_BYTES = 65_536
# Largest number of bytes in one read.
MAX_READ_BYTES = 262_144
FIRST_PORT = 20_000
# Above the descriptors of the kernel, which the process does not reach.
FIRST_DESCRIPTOR = 1_000_000

Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class MemorySocket:
    """The part of a socket that protocols ask for."""

    def __init__(self, address: Address, descriptor: int = -1) -> None:
        self._address = address
        self._descriptor = descriptor

    def fileno(self) -> int:
        return self._descriptor

    def getsockname(self) -> Address:
        return self._address

    def getsockopt(self, *_: object) -> int:
        return 0

    def setsockopt(self, *_: object) -> None:
        pass


class MemoryTransport(asyncio.Transport):
    """One side of a connection; `other` is the transport of the other side."""

    other: MemoryTransport

    def __init__(self, loop: MemoryLoop, protocol: asyncio.Protocol, address: Address) -> None:
        super().__init__()
        self._loop = loop
        self._protocol: Any = protocol
        descriptor = next(loop.descriptors)
        loop.transport_by_descriptor[descriptor] = self
        self._socket = MemorySocket(address, descriptor)
        # Bytes that were written and are not yet in the buffer of the other side.
        self._unsent = bytearray()
        # Bytes that arrived and were not read.
        self._unread = bytearray()
        self._eof_written = False
        self._eof_arrived = False
        self._eof_delivered = False
        self._reset_arrived = False
        self._closing = False
        self._lost = False
        self._reading = True
        self._writing_paused = False
        self._read_scheduled = False
        self.capacity_bytes = loop.capacity_bytes

    # writing

    def write(self, data: Any) -> None:
        if self._closing or self._lost or self._eof_written:
            return
        if self._reset_arrived:
            self._lose(BrokenPipeError())
            return
        self._unsent += data
        self._move()
        if len(self._unsent) > HIGH_WATER_BYTES and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()

    def _move(self) -> None:
        """Move bytes, and the end of the stream behind them, to the buffer of the other side."""
        other = self.other
        if self._lost:
            return
        if self._unsent and other._closing:
            # The kernel answers bytes for a closed connection with a reset.
            self._reset()
            return
        if self._unsent:
            size = max(0, self.capacity_bytes - len(other._unread))
            if size:
                other._unread += self._unsent[:size]
                del self._unsent[:size]
                other._schedule_read()
        if self._writing_paused and len(self._unsent) <= HIGH_WATER_BYTES // 4:
            self._writing_paused = False
            self._loop.call_soon(self._protocol.resume_writing)
        if not self._unsent and (self._eof_written or self._closing):
            other._eof_arrived = True
            other._schedule_read()
            if self._closing:
                self._lose(None)

    def write_eof(self) -> None:
        if not self._eof_written:
            self._eof_written = True
            self._move()

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return len(self._unsent)

    # reading

    def is_reading(self) -> bool:
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        if not self._closing:
            self._reading = True
            self._schedule_read()

    def _schedule_read(self) -> None:
        if not self._read_scheduled and not self._lost:
            self._read_scheduled = True
            self._loop.call_soon(self._read)

    def _read(self) -> None:
        self._read_scheduled = False
        if self._lost or not self._reading:
            return
        if self._unread:
            size = self._loop.draw_read_size(min(len(self._unread), MAX_READ_BYTES))
            data = bytes(self._unread[:size])
            del self._unread[:size]
            self._loop.reads += 1
            self._protocol.data_received(data)
            self.other._move()
            if self._unread or self._eof_arrived or self._reset_arrived:
                self._schedule_read()
        elif self._reset_arrived:
            self._lose(ConnectionResetError())
        elif self._eof_arrived and not self._eof_delivered:
            self._eof_delivered = True
            if not self._protocol.eof_received():
                self.close()

    @property
    def is_hung_up(self) -> bool:
        """Whether the other side has closed the connection, also behind unread bytes."""
        return self._eof_arrived or self._reset_arrived or self._lost

    # closing

    def is_closing(self) -> bool:
        return self._closing or self._lost

    def close(self) -> None:
        if self._closing or self._lost:
            return
        self._closing = True
        self._reading = False
        if self._unread:
            # The kernel resets a connection that is closed with unread bytes.
            self._unsent.clear()
            self.other._reset()
        self._move()

    def abort(self) -> None:
        if not self._lost:
            self._closing = True
            self._unsent.clear()
            self.other._reset()
            self._lose(None)

    def _reset(self) -> None:
        """Handle a reset by the other side: what arrived before can still be read, as on Linux."""
        self._unsent.clear()
        self._reset_arrived = True
        if self._closing:
            if not self._lost:
                self._lose(ConnectionResetError())
        else:
            self._schedule_read()

    def _lose(self, error: Exception | None) -> None:
        self._closing = self._lost = True
        self._loop.call_soon(self._protocol.connection_lost, error)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"socket": self._socket, "sockname": self._socket.getsockname()}.get(name, default)


class MemoryServer:
    """Listener of a `MemoryLoop`."""

    def __init__(self, loop: MemoryLoop, address: Address) -> None:
        self._loop = loop
        self._address = address
        self.sockets = [MemorySocket(address)]

    def close(self) -> None:
        self._loop.factory_by_address.pop(self._address, None)

    async def wait_closed(self) -> None:
        pass


class MemoryLoop(VirtualTimeLoop):
    """Event loop with virtual time and connections in memory.

    Attributes
    ----------
    rng : random.Random
        Draws the sizes of reads.
    max_read_bytes : int
        Largest number of bytes in one read; 0 to read all that has arrived.
    capacity_bytes : int
        Bytes that a connection holds in each direction while its receiver does not read.
    reads : int
        Reads of all connections so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(0)
        self.max_read_bytes = 0
        self.capacity_bytes = 262_144
        self.reads = 0
        self.factory_by_address: dict[Address, ProtocolFactory] = {}
        self.transport_by_descriptor: dict[int, MemoryTransport] = {}
        self.descriptors = itertools.count(FIRST_DESCRIPTOR)
        self._ports = itertools.count(FIRST_PORT)

    def poll_hangups(self, descriptors: Collection[int]) -> frozenset[int]:
        """Return the descriptors of the connections that their other side has closed."""
        return frozenset(i for i in descriptors if self.transport_by_descriptor[i].is_hung_up)

    def draw_read_size(self, available: int) -> int:
        """Return how many of the bytes that have arrived are read at once."""
        if not self.max_read_bytes:
            return available
        return min(available, self.rng.randint(1, self.max_read_bytes))

    async def create_server(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: str, port: int, **_: object
    ) -> MemoryServer:
        address = (host, port or next(self._ports))
        self.factory_by_address[address] = protocol_factory
        return MemoryServer(self, address)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: str, port: int, **_: object
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        accept = self.factory_by_address.get((host, port))
        if accept is None:
            raise ConnectionRefusedError(f"nothing listens on {host}:{port}")
        local = ("127.0.0.1", next(self._ports))
        accepted, opened = accept(), protocol_factory()
        server_side = MemoryTransport(self, accepted, (host, port))  # type: ignore[arg-type]
        client_side = MemoryTransport(self, opened, local)  # type: ignore[arg-type]
        server_side.other, client_side.other = client_side, server_side
        accepted.connection_made(server_side)
        opened.connection_made(client_side)
        await asyncio.sleep(0)
        return client_side, opened


class MemoryLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Policy that makes a `MemoryLoop` for each test."""

    def new_event_loop(self) -> MemoryLoop:
        """Return a loop whose time begins at 0."""
        return MemoryLoop()
