"""Runs jaypostd with a wall clock whose offset from the real time a chaos run controls."""

from __future__ import annotations

import argparse
import time
from pathlib import Path

from jaypost import daemon

READ_INTERVAL_S = 0.1


class SteppedClock:
    """Wall clock with an offset that is read from a file.

    Parameters
    ----------
    path : Path
        File with the offset in seconds; the offset is 0 while the file does not exist.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset_ns = 0
        self._read_at = float("-inf")
        self._real_time_ns = time.time_ns

    def time_ns(self) -> int:
        """Return the time of day in nanoseconds."""
        if time.monotonic() - self._read_at >= READ_INTERVAL_S:
            self._read_at = time.monotonic()
            self._offset_ns = self._read_offset_ns()
        return self._real_time_ns() + self._offset_ns

    def time(self) -> float:
        """Return the time of day in seconds."""
        return self.time_ns() / 1e9

    def _read_offset_ns(self) -> int:
        try:
            text = self._path.read_text()
        except FileNotFoundError:
            return 0
        # Between its truncation and the write, the file is empty: keep the last offset.
        return int(float(text) * 1e9) if text else self._offset_ns


def main() -> None:
    """Run the daemon; ``--clock`` names the offset file, other flags are those of jaypostd."""
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument("--clock", type=Path, required=True)
    own_arguments, command_line = parser.parse_known_args()
    clock = SteppedClock(own_arguments.clock)
    time.time, time.time_ns = clock.time, clock.time_ns
    daemon.main(command_line=command_line)


if __name__ == "__main__":
    main()
