"""Expected transfers of responses over the link of the host, and those not written yet."""

from __future__ import annotations

from collections import OrderedDict

from jaypost.admission import path_prefix
from jaypost.uplink import Uplink

# Weight of one response in the mean size of the responses under a path prefix.
SIZE_GAIN = 1 / 16
# Path prefixes remembered, over all services of the host.
PREFIX_LIMIT = 256


class Transfers:
    """Learns the sizes of responses and keeps count of those that are still to be written.

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
        """Return the time that the response to a request occupies the link.

        It is 0 for responses that are too small to matter and as long as the size is unknown.
        """
        size = self._mean_bytes_by_path.get((service, path_prefix(path)), 0.0)
        return 0.0 if self._uplink.is_direct(int(size)) else self._uplink.transfer_s(size)

    def wait_s(self) -> float:
        """Return the time until the link is free of all responses written and expected."""
        return self._uplink.backlog_s() + self._reserved_s

    def started(self, ticket: str, expected_s: float) -> None:
        """Count the response to a request that a target executes."""
        if expected_s:
            self._reserved_s_by_ticket[ticket] = expected_s
            self._reserved_s += expected_s

    def ended(self, ticket: str) -> None:
        """Forget the response to a request: it was written, or there will be none."""
        self._reserved_s -= self._reserved_s_by_ticket.pop(ticket, 0.0)
        if not self._reserved_s_by_ticket:
            self._reserved_s = 0.0  # no rounding errors are carried on

    def observe(self, service: str, path: str, size: int) -> None:
        """Take the size of a complete response into account."""
        key = (service, path_prefix(path))
        mean = self._mean_bytes_by_path.get(key, float(size))
        self._mean_bytes_by_path[key] = mean + SIZE_GAIN * (size - mean)
        self._mean_bytes_by_path.move_to_end(key)
        if len(self._mean_bytes_by_path) > PREFIX_LIMIT:
            self._mean_bytes_by_path.popitem(last=False)
