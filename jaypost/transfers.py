"""Estimates how long responses occupy the link of the host, and reserves time for pending ones."""

from __future__ import annotations

from collections import OrderedDict

from jaypost.admission import path_prefix
from jaypost.uplink import Uplink

# Weight of a new response in the moving average of the sizes under a path prefix.
SIZE_GAIN = 1 / 16
# Path prefixes whose mean size is kept, over all services of the host. Beyond this number, the one
# that was not observed for the longest time is dropped.
MAX_PATH_PREFIXES = 256


class Transfers:
    """Learns the mean sizes of responses and reserves link time for responses not written yet.

    Parameters
    ----------
    uplink : Uplink
        Link of the host.
    """

    def __init__(self, uplink: Uplink) -> None:
        self._uplink = uplink
        self._mean_bytes_by_path: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._reserved_s_by_ticket: dict[str, float] = {}
        self._reserved_s = 0.0

    def expected_s(self, service: str, path: str) -> float:
        """Return the expected time in seconds that the response to a request occupies the link.

        It is 0 for a response that is small enough to be written at once, and as long as no
        response under the path prefix was observed.
        """
        size = self._mean_bytes_by_path.get((service, path_prefix(path)), 0.0)
        return 0.0 if self._uplink.is_direct(int(size)) else self._uplink.transfer_s(size)

    def link_wait_s(self) -> float:
        """Return the time in seconds until the link has sent all written and reserved responses."""
        return self._uplink.backlog_s() + self._reserved_s

    def reserve(self, ticket: str, expected_s: float) -> None:
        """Reserve the link for the response to a request that a target executes."""
        if expected_s:
            self._reserved_s_by_ticket[ticket] = expected_s
            self._reserved_s += expected_s

    def release(self, ticket: str) -> None:
        """Release the reservation of a request whose response was written or will not come."""
        self._reserved_s -= self._reserved_s_by_ticket.pop(ticket, 0.0)
        if not self._reserved_s_by_ticket:
            self._reserved_s = 0.0  # drops accumulated rounding errors

    def observe(self, service: str, path: str, size: int) -> None:
        """Update the mean size of the path prefix with a complete response of `size` bytes."""
        key = (service, path_prefix(path))
        mean = self._mean_bytes_by_path.get(key, float(size))
        self._mean_bytes_by_path[key] = mean + SIZE_GAIN * (size - mean)
        self._mean_bytes_by_path.move_to_end(key)
        if len(self._mean_bytes_by_path) > MAX_PATH_PREFIXES:
            self._mean_bytes_by_path.popitem(last=False)
