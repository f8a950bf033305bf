"""Fakes of the event loop and of connections, in simulated time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any


@dataclass
class SimulatedClock:
    """Simulated clock with the timers of an event loop; `run_for` advances it."""

    now: float = 100.0
    timers: list[tuple[float, Any]] = field(default_factory=list)

    def call_later(self, delay_s: float, callback: Any) -> object:
        self.timers.append((self.now + delay_s, callback))
        return object()

    def run_for(self, seconds: float) -> None:
        until = self.now + seconds
        while self.timers:
            at, callback = min(self.timers, key=lambda timer: timer[0])
            if at > until:
                break
            self.timers.remove((at, callback))
            self.now = at
            callback()
        self.now = until


class FakeSocket:
    """Socket without a connection in the kernel."""

    def fileno(self) -> int:
        return -1


class FakeTransport(asyncio.Transport):
    """Records the time and size of each write, the data, and the other calls by name."""

    def __init__(self, clock: SimulatedClock) -> None:
        super().__init__({"socket": FakeSocket()})
        self.clock = clock
        self.written: list[tuple[float, int]] = []
        self.data = b""
        self.calls: list[str] = []
        self.write_buffer_bytes = 0
        # Number of the write, from 1, during which the connection is lost; 0 for never.
        self.lost_at_write = 0

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        if self.is_closing():
            raise RuntimeError("the transport is closed")
        self.written.append((self.clock.now, len(data)))
        self.data += bytes(data)
        if len(self.written) == self.lost_at_write:
            self.calls.append("abort")

    def get_write_buffer_size(self) -> int:
        return self.write_buffer_bytes

    def is_closing(self) -> bool:
        return "close" in self.calls or "abort" in self.calls

    def close(self) -> None:
        self.calls.append("close")

    def abort(self) -> None:
        self.calls.append("abort")

    def write_eof(self) -> None:
        if self.is_closing():
            raise RuntimeError("the transport is closed")
        self.calls.append("write_eof")

    def can_write_eof(self) -> bool:
        return True

    def is_reading(self) -> bool:
        changes = [call for call in self.calls if call in ("pause_reading", "resume_reading")]
        return changes[-1:] != ["pause_reading"]

    def pause_reading(self) -> None:
        self.calls.append("pause_reading")

    def resume_reading(self) -> None:
        self.calls.append("resume_reading")


class FakeQueueOwner:
    """Counts how often its queue was paused and resumed."""

    def __init__(self) -> None:
        self.paused = self.resumed = 0

    def pause_queue(self) -> None:
        self.paused += 1

    def resume_queue(self) -> None:
        self.resumed += 1
