"""Guards against wrong estimates of the time that responses occupy the link of the host."""

from __future__ import annotations

import pytest

from jaypost.transfers import MAX_SEGMENTS, Transfers
from jaypost.uplink import PAYLOAD_SHARE, Uplink

# Transmits 100,000 bytes in 0.1 s, or slightly longer because of PAYLOAD_SHARE.
LINK = Uplink(8.0)


@pytest.mark.parametrize(
    ("sizes", "path", "expected_s"),
    [
        ([100_000] * 3, "/guides/7?page=2", 0.1 / PAYLOAD_SHARE),
        ([300] * 3, "/guides/7", 0.0),
        ([100_000] * 3, "/stock/7", 0.0),
        ([], "/guides/7", 0.0),
    ],
    ids=["large", "small", "other segment", "unknown"],
)
def test_expected_transfer(sizes: list[int], path: str, expected_s: float) -> None:
    """Guards against wrong transfer times, and against reservations for small responses."""
    transfers = Transfers(LINK)
    for size in sizes:
        transfers.observe("docs", "/guides/1", size)
    assert transfers.expected_s("docs", path) == pytest.approx(expected_s)


def test_executing_requests_reserve_the_link() -> None:
    """Guards against admitting many downloads before the first of them is written."""
    transfers = Transfers(LINK)
    transfers.reserve("1", 0.1)
    transfers.reserve("2", 0.2)
    transfers.reserve("3", 0.0)
    assert transfers.link_wait_s() == pytest.approx(0.3)
    for ticket in ("1", "3", "2", "unknown"):
        transfers.release(ticket)
    assert transfers.link_wait_s() == 0.0


def test_number_of_remembered_segments_is_bounded() -> None:
    """Guards against memory that grows with the number of paths that callers request."""
    transfers = Transfers(LINK)
    for number in range(2 * MAX_SEGMENTS):
        transfers.observe("docs", f"/{number}", 100_000)
    assert transfers.expected_s("docs", "/0") == 0.0
    assert transfers.expected_s("docs", f"/{2 * MAX_SEGMENTS - 1}") > 0.0
