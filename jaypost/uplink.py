"""Pacing of the responses on the link of the host: small ones overtake large ones."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any, Protocol, cast

# Large responses are sent in pieces that occupy the link for this time, in seconds. They delay a
# small response by less than two pieces.
PIECE_TRANSFER_S = 0.02
# Writes that occupy the link for at most this time, in seconds, skip the queue.
DIRECT_WRITE_MAX_S = 0.005
# Bytes that may be queued on one connection before the sender of the response is paused.
MAX_QUEUED_BYTES = 262_144
# Fraction of the link for the payload of responses; the rest is for packet headers and control
# traffic.
PAYLOAD_SHARE = 0.95
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class QueueOwner(Protocol):
    """Sender of the bytes that a `PacedTransport` queues."""

    def pause_queue(self) -> None:
        """Send no more, because too many bytes are queued."""

    def resume_queue(self) -> None:
        """Send again."""


class Uplink:
    """Shares the link of the host between the responses that the node writes.

    If responses are written faster than the link transmits them, they queue in the network, where a
    small response waits behind all of them. Large responses are therefore queued here and sent one
    after the other.

    Parameters
    ----------
    megabits_per_s : float
        Rate of the link; 0 means unknown, which disables pacing.
    """

    def __init__(self, megabits_per_s: float = 0.0) -> None:
        self.bytes_per_s = 0.0
        self.set_rate(megabits_per_s)
        self.clock = time.monotonic
        self._busy_until = 0.0
        self._queued_bytes = 0
        self._queue: deque[PacedTransport] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def set_rate(self, megabits_per_s: float) -> None:
        """Set the rate of the link in megabits per second; 0 disables pacing."""
        self.bytes_per_s = PAYLOAD_SHARE * megabits_per_s * BITS_PER_MEGABIT / BITS_PER_BYTE

    def wrap(self, transport: asyncio.Transport, owner: QueueOwner) -> asyncio.Transport:
        """Return a transport that paces its writes to `transport`."""
        return PacedTransport(self, transport, owner)

    def transfer_s(self, size: float) -> float:
        """Return the time in seconds that the link takes to transmit `size` bytes."""
        return size / self.bytes_per_s if self.bytes_per_s else 0.0

    def backlog_s(self) -> float:
        """Return the time in seconds until all written and queued bytes are transmitted."""
        return self._time_until_idle_s() + self.transfer_s(self._queued_bytes)

    @property
    def queued_bytes(self) -> int:
        """Bytes of all connections that wait for the link."""
        return self._queued_bytes

    def is_direct(self, size: int) -> bool:
        """Tell whether a write of `size` bytes is small enough to skip the queue."""
        return self.transfer_s(size) <= DIRECT_WRITE_MAX_S

    def record_written(self, size: int) -> None:
        """Count `size` bytes that were written to a connection as occupying the link."""
        self._busy_until = max(self._busy_until, self.clock()) + self.transfer_s(size)

    def enqueue(self, paced: PacedTransport, size: int) -> None:
        """Queue a connection for `size` more bytes, and send what the link can take now."""
        self._queued_bytes += size
        if paced not in self._queue:
            self._queue.append(paced)
        self._send_queued()

    def remove(self, paced: PacedTransport, size: int) -> None:
        """Remove a closed connection with `size` queued bytes from the queue."""
        self._queued_bytes -= size
        if paced in self._queue:
            self._queue.remove(paced)

    def _time_until_idle_s(self) -> float:
        return max(0.0, self._busy_until - self.clock())

    def _send_queued(self) -> None:
        """Write queued pieces until the link is busy for `PIECE_TRANSFER_S`; a timer continues."""
        piece_bytes = max(1, int(self.bytes_per_s * PIECE_TRANSFER_S))
        for lost in [item for item in self._queue if item.is_lost()]:
            self.remove(lost, lost.discard_queued())
        while self._queue and self._time_until_idle_s() < PIECE_TRANSFER_S:
            paced = self._next_writable(piece_bytes)
            if paced is None:
                break
            written = paced.write_piece(piece_bytes)
            self._queued_bytes -= written
            self.record_written(written)
            if not paced.queued_bytes:
                self._queue.remove(paced)
                paced.on_queue_empty()
        if self._queue and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                PIECE_TRANSFER_S / 2, self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        self._send_queued()

    def _next_writable(self, piece_bytes: int) -> PacedTransport | None:
        """Return the first queued connection whose write buffer is below the size of a piece.

        Connections with a slow receiver are skipped, so that they do not hold up the others.
        """
        for paced in self._queue:
            if not paced.is_lost() and paced.get_write_buffer_size() < piece_bytes:
                return paced
        return None


class PacedTransport(asyncio.Transport):
    """A transport whose large writes are queued until the link is free.

    Closing the connection or its sending side takes effect after the queued bytes are written.

    Parameters
    ----------
    uplink : Uplink
        Link of the host.
    transport : asyncio.Transport
        Transport of the open connection.
    owner : QueueOwner
        Paused while too many bytes are queued here. The transport pauses its protocol on its own,
        so the owner sends only while neither has paused it.
    """

    def __init__(self, uplink: Uplink, transport: asyncio.Transport, owner: QueueOwner) -> None:
        super().__init__()
        self._uplink = uplink
        self._transport = transport
        self._owner = owner
        self._queued_parts: deque[memoryview] = deque()
        self.queued_bytes = 0
        self._paused = False
        self._close_requested = False
        self._eof_requested = False

    # writing

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        """Write small data at once if nothing is queued, and queue it otherwise."""
        if self.is_closing():
            return
        if not self._queued_parts and self._uplink.is_direct(len(data)):
            self._uplink.record_written(len(data))
            self._transport.write(data)
            return
        self._queued_parts.append(memoryview(data))
        self.queued_bytes += len(data)
        self._uplink.enqueue(self, len(data))
        if self.queued_bytes > MAX_QUEUED_BYTES and not self._paused:
            self._paused = True
            self._owner.pause_queue()

    def write_piece(self, size: int) -> int:
        """Write at most `size` of the queued bytes and return the number written."""
        piece = self._queued_parts.popleft()
        if len(piece) > size:
            self._queued_parts.appendleft(piece[size:])
            piece = piece[:size]
        self.queued_bytes -= len(piece)
        self._transport.write(piece)
        if self._paused and self.queued_bytes <= MAX_QUEUED_BYTES:
            self._paused = False
            self._owner.resume_queue()
        return len(piece)

    def on_queue_empty(self) -> None:
        """Carry out a close or an end of file that was requested while bytes were queued."""
        if self.is_lost():
            return
        if self._close_requested:
            self._transport.close()
        elif self._eof_requested:
            self._transport.write_eof()

    def is_lost(self) -> bool:
        """Tell whether the connection is lost, so that queued bytes cannot be sent any more."""
        return self._transport.is_closing()

    def discard_queued(self) -> int:
        """Discard the queued bytes and return their number."""
        discarded_bytes, self.queued_bytes = self.queued_bytes, 0
        self._queued_parts.clear()
        return discarded_bytes

    def can_write_eof(self) -> bool:
        """Tell whether the sending side of the connection can be closed on its own."""
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        """Close the sending side once all queued bytes are written."""
        self._eof_requested = True
        if not self._queued_parts:
            self._transport.write_eof()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes in the write buffer, without those queued for the link."""
        return self._transport.get_write_buffer_size()

    # reading

    def is_reading(self) -> bool:
        """Tell whether received data is passed to the protocol."""
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        """Stop passing received data to the protocol."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume passing received data to the protocol, unless the connection is closing."""
        if not self._close_requested:
            self._transport.resume_reading()

    # closing

    def is_closing(self) -> bool:
        """Tell whether the connection is closed or closing."""
        return self._close_requested or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection once all queued bytes are written."""
        if self.is_closing():
            return
        self._close_requested = True
        if self._queued_parts:
            # A request that is read from now on could not be answered.
            self._transport.pause_reading()
        else:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once and discard the queued bytes."""
        self._uplink.remove(self, self.discard_queued())
        self._transport.abort()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return cast(Any, self._transport.get_extra_info(name, default))
