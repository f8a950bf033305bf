"""Stands between a transport and its protocol, and passes input on in slices."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import structlog

from jaypost.intake.quanta import (
    MIN_SLICE_BYTES,
    QUANTUM_S,
    SLICE_WORK_S,
    Pace,
    Work,
    charge,
    excess_framing,
)
from jaypost.intake.scheduler import Deferral, IntakeScheduler
from jaypost.invariants import check
from jaypost.logs import EventName

log = structlog.get_logger(__name__)

# Name of the extra information of a `GatedTransport` with the bytes that were received and not yet
# passed to the protocol.
WAITING_INPUT = "waiting_input"
# Input of one connection that may wait: the largest read of an event loop, and one more that it had
# begun before it was paused.
MAX_WAITING_BYTES = 2 * 262_144


class InputGate(asyncio.Protocol):
    """Protocol that passes the input of a connection to another one, in slices.

    Input that fits into one slice is passed on at once. Of more input, the protocol gets as much as
    it decodes within its quantum, the rest in turn with the other connections. Reading is paused
    while input waits, so that a connection holds at most one read.

    Parameters
    ----------
    scheduler : IntakeScheduler
        Gives the turns.
    protocol : asyncio.Protocol
        Receives the input, and all other events of the connection in their order.
    framing_bytes : callable
        Returns the bytes that the protocol has received so far and that carried neither content nor
        the head of a message.
    on_held : callable
        Called with True when input waits because of its framing, so that a close by the other side
        is not noticed, and with False when it does no longer.
    input_outlives_connection : bool
        Whether input that waits when the connection is lost is passed on before the loss. Otherwise
        it is dropped.
    """

    __slots__ = (
        "_eof_waits",
        "_framing_bytes",
        "_hold_timer",
        "_input",
        "_input_outlives_connection",
        "_is_dropped",
        "_is_lost",
        "_is_queued",
        "_loss_error",
        "_offset",
        "_on_held",
        "_pace",
        "_protocol_paused",
        "_reading",
        "_scheduler",
        "_transport",
        "protocol",
    )

    def __init__(
        self,
        scheduler: IntakeScheduler,
        protocol: asyncio.Protocol,
        framing_bytes: Callable[[], int] = lambda: 0,
        on_held: Callable[[bool], None] = lambda held: None,
        input_outlives_connection: bool = False,
    ) -> None:
        self.protocol = protocol
        self._scheduler = scheduler
        self._framing_bytes = framing_bytes
        self._on_held = on_held
        self._input_outlives_connection = input_outlives_connection
        self._transport: asyncio.Transport | None = None
        self._pace = Pace()
        # Input that waits, from `_offset` on.
        self._input = b""
        self._offset = 0
        self._eof_waits = False
        # Whether the protocol itself has paused reading.
        self._protocol_paused = False
        self._reading = True
        self._is_queued = False
        self._hold_timer: asyncio.TimerHandle | None = None
        # Set when the protocol has closed the connection, after which it gets no input.
        self._is_dropped = False
        self._is_lost = False
        self._loss_error: Exception | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the connection on with a transport whose reading the gate controls."""
        # A cast, not an assertion: uvloop's transports do not subclass asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.protocol.connection_made(GatedTransport(self._transport, self))

    def data_received(self, data: bytes) -> None:
        """Pass on as much input as the connection may decode now."""
        if self._is_dropped:
            return
        if self.waiting_bytes or self._hold_timer is not None or self._protocol_paused:
            # The transport may deliver a read that it had begun before it was paused.
            self._input = self._input[self._offset :] + data
            self._offset = 0
            size = len(self._input)
            check(size <= MAX_WAITING_BYTES, "intake_waiting_input", size=size)
            return
        if len(data) <= self._pace.slice_bytes:
            self._decode(data)
            self._update_reading()
            return
        self._input, self._offset = data, 0
        ends_at = self._scheduler.clock() + QUANTUM_S
        while self._may_decode():
            self._decode_slice()
            if self._scheduler.clock() >= ends_at:
                break
        if self.waiting_bytes:
            self._scheduler.count_by_deferral[Deferral.YIELDED] += 1
        self._enqueue()

    def eof_received(self) -> bool | None:
        """Pass the end of the stream on, behind the input that waits."""
        if self.waiting_bytes and not self._is_dropped:
            self._eof_waits = True
            return True
        return self.protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the loss of the connection on, if need be behind the input that waits."""
        self._is_lost, self._loss_error = True, exc
        if self._hold_timer is not None:
            self._end_hold()
        if self.waiting_bytes and self._input_outlives_connection:
            self._enqueue()
        else:
            self._pass_loss_on()

    def pause_writing(self) -> None:
        """Pass on that the transport takes no more output now."""
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the transport takes output again."""
        self.protocol.resume_writing()

    # calls from the transport of the protocol

    @property
    def waiting_bytes(self) -> int:
        """Bytes that were received and not yet passed on."""
        return len(self._input) - self._offset

    def set_protocol_paused(self, paused: bool) -> None:
        """Note whether the protocol itself takes input."""
        self._protocol_paused = paused
        if not paused and self.waiting_bytes:
            self._enqueue()
        else:
            self._update_reading()

    def drop_input(self) -> None:
        """Pass on no more input, because the protocol closes the connection."""
        self._is_dropped = True
        self._input, self._offset = b"", 0
        if self._hold_timer is not None:
            self._end_hold()
        if self._is_lost and self._transport is not None:
            asyncio.get_running_loop().call_soon(self._pass_loss_on)

    # turns

    def take_turn(self) -> bool:
        """Pass on one slice; return whether more input waits that may be decoded now."""
        try:
            if self._may_decode():
                self._decode_slice()
        except Exception:
            # As an event loop does for an exception in `data_received`. The turns of the other
            # connections go on.
            log.exception(EventName.INPUT_FAILED)
            self._abort()
        if self._may_decode():
            return True
        self._is_queued = False
        if not self.waiting_bytes:
            self._pass_end_on()
        self._update_reading()
        return False

    def _abort(self) -> None:
        """Close the connection at once, after its protocol has failed."""
        self.drop_input()
        if self._transport is not None and not self._is_lost:
            self._transport.abort()

    def _enqueue(self) -> None:
        """Go on in the next pass of the loop, with the input that waits or with reading."""
        if not self._is_queued:
            self._is_queued = True
            self._scheduler.enqueue(self)
        self._update_reading()

    def _may_decode(self) -> bool:
        held = self._hold_timer is not None or self._protocol_paused
        return bool(self.waiting_bytes) and not held and not self._is_dropped

    def _decode_slice(self) -> None:
        end = self._offset + self._pace.slice_bytes
        data = self._input[self._offset : end]
        if end >= len(self._input):
            self._input, self._offset = b"", 0
        else:
            self._offset = end
        self._decode(data)

    def _decode(self, data: bytes) -> None:
        """Pass a slice on and charge the connection for the work."""
        framing_bytes = self._framing_bytes()
        started_at = self._scheduler.clock()
        self.protocol.data_received(data)
        now = self._scheduler.clock()
        size, duration_s = len(data), now - started_at
        if size < MIN_SLICE_BYTES and duration_s <= SLICE_WORK_S:
            return
        framing_bytes = min(size, self._framing_bytes() - framing_bytes)
        if size < self._pace.slice_bytes and duration_s <= SLICE_WORK_S:
            if not excess_framing(framing_bytes, size - framing_bytes):
                return  # would leave the pace as it is
        work = Work(duration_s, size, framing_bytes)
        self._pace = charge(self._pace, work, now)
        if self._pace.hold_s and not self._is_dropped and not self._is_lost:
            self._hold(self._pace.hold_s)

    def _hold(self, delay_s: float) -> None:
        self._scheduler.count_by_deferral[Deferral.HELD] += 1
        self._hold_timer = asyncio.get_running_loop().call_later(delay_s, self._on_hold_over)
        self._on_held(True)

    def _on_hold_over(self) -> None:
        self._end_hold()
        if self.waiting_bytes:
            self._enqueue()
        else:
            self._update_reading()

    def _end_hold(self) -> None:
        assert self._hold_timer is not None
        self._hold_timer.cancel()
        self._hold_timer = None
        self._on_held(False)

    def _update_reading(self) -> None:
        """Read from the transport unless the protocol, a hold or waiting input prevents it."""
        if self._transport is None or self._transport.is_closing() or self._is_dropped:
            return
        held = self._hold_timer is not None or self._is_queued
        reading = not (self._protocol_paused or held or self.waiting_bytes)
        if reading != self._reading:
            self._reading = reading
            if reading:
                self._transport.resume_reading()
            else:
                self._transport.pause_reading()

    def _pass_end_on(self) -> None:
        """Pass on the end of the stream or the loss that came while input waited."""
        if self._eof_waits:
            self._eof_waits = False
            keep_open = self.protocol.eof_received()
            if not keep_open and self._transport is not None:
                self._transport.close()
        if self._is_lost:
            self._pass_loss_on()

    def _pass_loss_on(self) -> None:
        """Pass the loss on, once."""
        self._is_dropped = True
        self._input, self._offset = b"", 0
        if self._transport is not None:
            self._transport = None
            self.protocol.connection_lost(self._loss_error)


class GatedTransport(asyncio.Transport):
    """Transport that a protocol behind an `InputGate` gets; the gate decides what is read."""

    __slots__ = ("_gate", "_transport")

    def __init__(self, transport: asyncio.Transport, gate: InputGate) -> None:
        super().__init__()
        self._transport = transport
        self._gate = gate

    # reading

    def is_reading(self) -> bool:
        """Tell whether input is read now."""
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        """Take no input until `resume_reading`."""
        self._gate.set_protocol_paused(True)

    def resume_reading(self) -> None:
        """Take input again."""
        self._gate.set_protocol_paused(False)

    # writing

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        """Write data to the connection."""
        self._transport.write(data)

    def write_eof(self) -> None:
        """Close the sending side of the connection."""
        self._transport.write_eof()

    def can_write_eof(self) -> bool:
        """Tell whether the sending side of the connection can be closed on its own."""
        return self._transport.can_write_eof()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes in the write buffer."""
        return self._transport.get_write_buffer_size()

    # closing

    def is_closing(self) -> bool:
        """Tell whether the connection is closed or closing."""
        return self._transport.is_closing()

    def close(self) -> None:
        """Close the connection after its output is written; take no more input."""
        self._gate.drop_input()
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._gate.drop_input()
        self._transport.abort()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        if name == WAITING_INPUT:
            return self._gate.waiting_bytes
        return cast(Any, self._transport.get_extra_info(name, default))
