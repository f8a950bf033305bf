"""jaypostd with a wall clock that a chaos run sets wrong."""

from __future__ import annotations

import argparse
import time
from pathlib import Path

from jaypost import daemon

READ_INTERVAL_S = 0.1


class SteppedClock:
    """Wall clock with an error that is read from a file.

    Parameters
    ----------
    path : Path
        The file; without it the clock is right.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._error_ns = 0
        self._read_at = float("-inf")
        self._true_ns = time.time_ns

    def time_ns(self) -> int:
        """Return the time of day in nanoseconds."""
        if time.monotonic() - self._read_at >= READ_INTERVAL_S:
            self._read_at = time.monotonic()
            self._error_ns = self._read_error_ns()
        return self._true_ns() + self._error_ns

    def time(self) -> float:
        """Return the time of day in seconds."""
        return self.time_ns() / 1e9

    def _read_error_ns(self) -> int:
        try:
            text = self._path.read_text()
        except FileNotFoundError:
            return 0
        # The file may be read between its truncation and the write.
        return int(float(text) * 1e9) if text else self._error_ns


def main() -> None:
    """Run the daemon; ``--clock`` names the file with the error, other flags are the daemon's."""
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument("--clock", type=Path, required=True)
    own, command_line = parser.parse_known_args()
    clock = SteppedClock(own.clock)
    time.time, time.time_ns = clock.time, clock.time_ns
    daemon.main(command_line=command_line)


if __name__ == "__main__":
    main()
