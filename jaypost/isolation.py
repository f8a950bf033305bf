"""Tells whether a node hears no other node.

A node that hears nobody cannot get table versions from other nodes, and none of them can
acknowledge one. It then reads the store itself and does not wait for an acknowledgement.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

# Time in seconds without a reply after which peers are asked whether they answer. It is longer than
# the longest interval between two synchronisations, so that a node in contact asks nobody.
SILENCE_LIMIT_S = 1.2
# Time in seconds for these answers; several round trips between regions.
PROBE_TIMEOUT_S = 0.4


class IsolationTracker:
    """Tracks the replies to the own calls.

    Only replies count: a request that arrives does not show that a reply to it will.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._replied_at = now
        self.is_isolated = False

    def wait_s(self, now: float) -> float:
        """Return the seconds until peers have to be asked; 0 when they are to be asked now."""
        return max(0.0, self._replied_at + SILENCE_LIMIT_S - now)

    def note_reply(self, now: float) -> None:
        """Note that a peer replied to a call, which ends the isolation."""
        self._replied_at = max(self._replied_at, now)
        self.is_isolated = False

    def note_probes_ended(self, started_at: float) -> None:
        """Note that probes of peers ended, which were sent at `started_at`."""
        if self._replied_at < started_at:
            self.is_isolated = True
