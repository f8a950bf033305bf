"""Until when a node knows that the store held no newer version than the node itself.

A restarted node must not use an older version than before the restart. Versions that it used were
in the store before its process started. So a version is new enough if the store held no newer one
at some later time. Nodes tell each other of that time, so that only few have to read the store.

All times are those of `clock`, because a node that was suspended must not take its last read for a
recent one. Apart from that, the module does no input or output, and time is passed in.
"""

from __future__ import annotations

import time


def clock() -> float:
    """Return the time in seconds since the boot of the host, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class VersionFreshness:
    """Keeps the last time at which the store is known to have held no newer version."""

    def __init__(self) -> None:
        self._version = 0
        self._newest_at: float | None = None

    def note(self, version: int, newest_at: float) -> None:
        """Note that the store held no version above `version` at the time `newest_at`."""
        if self._newest_at is None or newest_at > self._newest_at:
            self._version, self._newest_at = version, newest_at

    def note_reply(self, version: int, age_s: float | None, sent_at: float) -> None:
        """Note what the reply of a peer tells.

        Parameters
        ----------
        version : int
            Version that the peer holds.
        age_s : float or None
            Time in seconds since the store is known to have held no newer one; None if unknown.
        sent_at : float
            Time at which the request was sent. The age is counted from it, because the reply may
            have been on its way for long.
        """
        if age_s is not None:
            self.note(version, sent_at - age_s)

    def newest_at(self, held_version: int) -> float | None:
        """Return when the store held no version above `held_version`; None if that is unknown."""
        return self._newest_at if held_version >= self._version else None
