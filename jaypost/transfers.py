"""Estimates how long responses occupy the link of the host, and reserves time for pending ones."""

from __future__ import annotations

from collections import OrderedDict

from jaypost.admission import first_segment
from jaypost.uplink import Uplink

# Weight of a new response in the moving average of the sizes for a first path segment.
SIZE_GAIN = 1 / 16
# First path segments whose mean size is kept, over all services of the host. Beyond this number,
# the one that was not observed for the longest time is dropped.
MAX_SEGMENTS = 256


class Transfers:
    """Learns the mean sizes of responses and reserves link time for responses not written yet.

    Parameters
    ----------
    uplink : Uplink
        Link of the host.
    """

    def __init__(self, uplink: Uplink) -> None:
        self._uplink = uplink
        self._mean_bytes_by_segment: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._reserved_s_by_ticket: dict[str, float] = {}
        self._reserved_s = 0.0

    def expected_s(self, service: str, path: str) -> float:
        """Return the expected time in seconds that the response to a request occupies the link.

        It is 0 for a response that is small enough to be written at once, and as long as no
        response for the first segment of the path was observed.
        """
        size = self._mean_bytes_by_segment.get((service, first_segment(path)), 0.0)
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
        """Update the mean size for the first segment with a complete response of `size` bytes."""
        key = (service, first_segment(path))
        mean = self._mean_bytes_by_segment.get(key, float(size))
        self._mean_bytes_by_segment[key] = mean + SIZE_GAIN * (size - mean)
        self._mean_bytes_by_segment.move_to_end(key)
        if len(self._mean_bytes_by_segment) > MAX_SEGMENTS:
            self._mean_bytes_by_segment.popitem(last=False)
