"""How much of its input a connection may decode at a time, and how long it then waits.

The method is deficit round robin (Shreedhar and Varghese, "Efficient Fair Queueing Using Deficit
Round Robin", 1996) with work in place of bytes: what a byte costs differs by orders of magnitude
between a plain body, chunks of one byte and frames, so the size of a slice follows from what the
last one cost.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

# Time in seconds that the decoding of one slice should take, with all that follows from it.
SLICE_WORK_S = 0.0005
# Time in seconds for which a connection may decode before it yields to the others.
QUANTUM_S = 0.001
# Time in seconds for which all connections that have yielded may decode in one pass of the loop.
PASS_WORK_S = 0.002

MIN_SLICE_BYTES = 1024
FIRST_SLICE_BYTES = 16_384
MAX_SLICE_BYTES = 65_536
# A slice is at most this many times as large as the one before.
MAX_SLICE_GROWTH = 2.0

# Framing up to this multiple of the content is proportionate, as for chunks of three bytes.
PROPORTIONATE_FRAMING = 2
# Fraction of the time that one connection may use for framing out of proportion to its content.
FRAMING_SHARE = 0.1
# Time in seconds that it may use for such framing before it is held back.
FRAMING_BURST_S = 0.01
# Longest time in seconds that is charged for one slice, so that a process that was not scheduled
# does not hold back a connection.
MAX_CHARGE_S = 4 * SLICE_WORK_S
# Shorter times are not worth a timer.
MIN_HOLD_S = 0.001


@dataclass(frozen=True, slots=True)
class Work:
    """What the decoding of one slice took.

    Parameters
    ----------
    duration_s : float
        Time in seconds, with all that followed from the slice.
    size_bytes : int
        Size of the slice; above 0.
    framing_bytes : int
        Bytes of the slice that carried neither content nor the head of a message.
    """

    duration_s: float
    size_bytes: int
    framing_bytes: int = 0

    @property
    def disproportionate_s(self) -> float:
        """Time in seconds that went into framing out of proportion to the content."""
        excess = excess_framing(self.framing_bytes, self.size_bytes - self.framing_bytes)
        return min(self.duration_s, MAX_CHARGE_S) * excess / self.size_bytes


@dataclass(frozen=True, slots=True)
class Pace:
    """How a connection may go on decoding.

    Parameters
    ----------
    slice_bytes : int
        Largest size of its next slice.
    debt_s : float
        Time in seconds that went into disproportionate framing and is not yet made up for.
    charged_at : float
        Monotonic time in seconds at which `debt_s` held.
    """

    slice_bytes: int = FIRST_SLICE_BYTES
    debt_s: float = 0.0
    charged_at: float = 0.0

    @property
    def hold_s(self) -> float:
        """Time in seconds until the connection may decode again; 0 if it need not wait."""
        wait_s = (self.debt_s - FRAMING_BURST_S) / FRAMING_SHARE
        return wait_s if wait_s >= MIN_HOLD_S else 0.0


def excess_framing(framing_bytes: int, content_bytes: int) -> int:
    """Return the bytes of framing that are out of proportion to the content."""
    return max(0, framing_bytes - PROPORTIONATE_FRAMING * content_bytes)


def charge(pace: Pace, work: Work, now: float) -> Pace:
    """Return the pace of a connection after it has decoded a slice.

    Parameters
    ----------
    pace : Pace
        Pace before the slice.
    work : Work
        What the slice took.
    now : float
        Monotonic time in seconds.
    """
    made_up_s = FRAMING_SHARE * (now - pace.charged_at)
    debt_s = max(0.0, pace.debt_s - made_up_s) + work.disproportionate_s
    return replace(pace, slice_bytes=_next_slice_bytes(pace, work), debt_s=debt_s, charged_at=now)


def _next_slice_bytes(pace: Pace, work: Work) -> int:
    if work.size_bytes < pace.slice_bytes and work.duration_s <= SLICE_WORK_S:
        return pace.slice_bytes  # a small read says nothing about a full slice
    fitting_bytes = MAX_SLICE_GROWTH * work.size_bytes
    if work.duration_s * MAX_SLICE_GROWTH > SLICE_WORK_S:
        fitting_bytes = work.size_bytes * SLICE_WORK_S / work.duration_s
    return int(min(MAX_SLICE_BYTES, max(MIN_SLICE_BYTES, fitting_bytes)))
