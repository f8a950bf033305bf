"""The link of the host: large responses leave in pieces, small ones between them."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any, cast

# Time in seconds that one piece occupies the link; a small response waits for about one piece.
PIECE_S = 0.02
# Responses that occupy the link for less than this time, in seconds, are written at once.
DIRECT_S = 0.005
# Bytes of one connection that may wait for the link; then the sender of the response is paused.
WAITING_LIMIT_BYTES = 262_144
# Part of the link for the payload of responses; the rest is for packet headers and control traffic.
PAYLOAD_SHARE = 0.95
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class Uplink:
    """Shares the link of the host between the responses that the node writes.

    What is written faster than the link carries it queues in the network, where a small response
    waits behind all of it. So large responses wait here and leave one after the other.

    Parameters
    ----------
    megabits_per_s : float
        Rate of the link; 0 when it is unknown, which sends everything at once.
    """

    def __init__(self, megabits_per_s: float = 0.0) -> None:
        self.bytes_per_s = 0.0
        self.use(megabits_per_s)
        self.clock = time.monotonic
        self._busy_until = 0.0
        self._waiting_bytes = 0
        self._waiting: deque[PacedTransport] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def use(self, megabits_per_s: float) -> None:
        """Take a rate into use."""
        self.bytes_per_s = PAYLOAD_SHARE * megabits_per_s * BITS_PER_MEGABIT / BITS_PER_BYTE

    def wrap(self, transport: asyncio.Transport, protocol: asyncio.Protocol) -> asyncio.Transport:
        """Return a transport that writes to `transport` at the pace of the link."""
        return PacedTransport(self, transport, protocol)

    def transfer_s(self, size: float) -> float:
        """Return the time in seconds in which the link carries `size` bytes."""
        return size / self.bytes_per_s if self.bytes_per_s else 0.0

    def backlog_s(self) -> float:
        """Return the time in seconds in which the link carries all that was written so far."""
        return self._busy_s() + self.transfer_s(self._waiting_bytes)

    def is_direct(self, size: int) -> bool:
        """Tell whether a write is small enough to go before the waiting ones."""
        return self.transfer_s(size) <= DIRECT_S

    def note_written(self, size: int) -> None:
        """Count bytes that are on the link."""
        self._busy_until = max(self._busy_until, self.clock()) + self.transfer_s(size)

    def enqueue(self, paced: PacedTransport, size: int) -> None:
        """Count `size` bytes that wait, and send as much as the link can take now."""
        self._waiting_bytes += size
        if paced not in self._waiting:
            self._waiting.append(paced)
        self._pump()

    def remove(self, paced: PacedTransport, size: int) -> None:
        """Forget the bytes of a connection that is closed."""
        self._waiting_bytes -= size
        if paced in self._waiting:
            self._waiting.remove(paced)

    def _busy_s(self) -> float:
        return max(0.0, self._busy_until - self.clock())

    def _pump(self) -> None:
        piece_bytes = max(1, int(self.bytes_per_s * PIECE_S))
        for lost in [item for item in self._waiting if item.is_lost()]:
            self.remove(lost, lost.drop())
        while self._waiting and self._busy_s() < PIECE_S:
            paced = self._next(piece_bytes)
            if paced is None:
                break
            written = paced.write_piece(piece_bytes)
            self._waiting_bytes -= written
            self.note_written(written)
            if not paced.waiting_bytes:
                self._waiting.remove(paced)
                paced.all_written()
        if self._waiting and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(PIECE_S / 2, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._pump()

    def _next(self, piece_bytes: int) -> PacedTransport | None:
        """Return the first connection whose other side has taken the piece before."""
        for paced in self._waiting:
            if not paced.is_lost() and paced.get_write_buffer_size() < piece_bytes:
                return paced
        return None


class PacedTransport(asyncio.Transport):
    """A transport whose large writes wait for the link; a close waits for them.

    Parameters
    ----------
    uplink : Uplink
        Link of the host.
    transport : asyncio.Transport
        The open connection.
    protocol : asyncio.Protocol
        Owner of the connection, which is told to pause while too much waits.
    """

    def __init__(
        self, uplink: Uplink, transport: asyncio.Transport, protocol: asyncio.Protocol
    ) -> None:
        super().__init__()
        self._uplink = uplink
        self._transport = transport
        self._protocol = protocol
        self._parts: deque[memoryview] = deque()
        self.waiting_bytes = 0
        self._paused = False
        self._closing = False
        self._ending = False

    # writing

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        """Write small data at once, and the rest when the link is free."""
        if self.is_closing():
            return
        if not self._parts and self._uplink.is_direct(len(data)):
            self._uplink.note_written(len(data))
            self._transport.write(data)
            return
        self._parts.append(memoryview(data))
        self.waiting_bytes += len(data)
        self._uplink.enqueue(self, len(data))
        if self.waiting_bytes > WAITING_LIMIT_BYTES and not self._paused:
            self._paused = True
            self._protocol.pause_writing()

    def write_piece(self, size: int) -> int:
        """Write up to `size` of the waiting bytes and return how many."""
        piece = self._parts.popleft()
        if len(piece) > size:
            self._parts.appendleft(piece[size:])
            piece = piece[:size]
        self.waiting_bytes -= len(piece)
        self._transport.write(piece)
        if self._paused and self.waiting_bytes <= WAITING_LIMIT_BYTES:
            self._paused = False
            self._protocol.resume_writing()
        return len(piece)

    def all_written(self) -> None:
        """Close the connection if that was asked for while bytes waited."""
        if self.is_lost():
            return
        if self._closing:
            self._transport.close()
        elif self._ending:
            self._transport.write_eof()

    def is_lost(self) -> bool:
        """Tell whether the connection is gone and the waiting bytes are of no use."""
        return self._transport.is_closing()

    def drop(self) -> int:
        """Forget the waiting bytes and return how many they were."""
        dropped, self.waiting_bytes = self.waiting_bytes, 0
        self._parts.clear()
        return dropped

    def can_write_eof(self) -> bool:
        """Tell whether one side of the connection can be closed."""
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        """Close the sending side once everything is written."""
        self._ending = True
        if not self._parts:
            self._transport.write_eof()

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the other side has no room for yet."""
        return self._transport.get_write_buffer_size()

    # reading

    def is_reading(self) -> bool:
        """Tell whether input is delivered."""
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        """Stop the delivery of input."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue the delivery of input."""
        if not self._closing:
            self._transport.resume_reading()

    # end

    def is_closing(self) -> bool:
        """Tell whether the connection closes."""
        return self._closing or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection once everything is written."""
        if self.is_closing():
            return
        self._closing = True
        if self._parts:
            # A request that is read now could not be answered.
            self._transport.pause_reading()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._uplink.remove(self, self.drop())
        self._transport.abort()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return cast(Any, self._transport.get_extra_info(name, default))
