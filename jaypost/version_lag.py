"""How long a node has known of a table version that it does not have in force.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# A node that knows of a newer version for longer than this is behind.
BEHIND_AFTER_S = 1.0
# Known versions that are kept. Of more, the newest replaces the last one, so that the time since
# the first is not lost.
MAX_KNOWN_VERSIONS = 64


@dataclass(frozen=True, slots=True)
class FellBehind:
    """The node became behind.

    Parameters
    ----------
    version : int
        Newest version that it knows of.
    source : str
        Node that told of it first.
    lag_s : float
        Seconds since it knows of a version that is newer than the one in force.
    """

    version: int
    source: str
    lag_s: float


@dataclass(frozen=True, slots=True)
class CaughtUp:
    """The node has the versions in force that it was behind; it took `lag_s` seconds."""

    version: int
    lag_s: float


@dataclass(frozen=True, slots=True)
class _Known:
    version: int
    source: str
    at: float


class VersionLag:
    """Keeps the versions that a node knows of and does not have in force."""

    def __init__(self) -> None:
        # Ascending by version, and so by time.
        self._known: deque[_Known] = deque()
        self._behind_since: float | None = None

    def note_known(self, version: int, source: str, in_force: int, now: float) -> None:
        """Note that `source` holds a version.

        Parameters
        ----------
        version : int
            The version.
        source : str
            Identifier of the node that told of it.
        in_force : int
            Version in force on this node.
        now : float
            Monotonic time in seconds.
        """
        newest = self._known[-1].version if self._known else 0
        if version <= max(in_force, newest):
            return
        if len(self._known) >= MAX_KNOWN_VERSIONS:
            self._known.pop()
        self._known.append(_Known(version, source, now))

    def lag_s(self, in_force: int, now: float) -> float:
        """Return the seconds since a newer version than the one in force is known; 0 if none is."""
        return next((now - item.at for item in self._known if item.version > in_force), 0.0)

    def check(self, in_force: int, now: float) -> FellBehind | CaughtUp | None:
        """Forget the versions that are in force; return what has changed since the last check."""
        while self._known and self._known[0].version <= in_force:
            self._known.popleft()
        lag_s = self.lag_s(in_force, now)
        if self._behind_since is None and lag_s > BEHIND_AFTER_S:
            self._behind_since = self._known[0].at
            newest = self._known[-1]
            return FellBehind(newest.version, newest.source, lag_s)
        if self._behind_since is not None and lag_s <= BEHIND_AFTER_S:
            since, self._behind_since = self._behind_since, None
            return CaughtUp(in_force, now - since)
        return None
