"""Sharing of the link of the host between responses, on a link played in simulated time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from jaypost import uplink as uplink_module
from jaypost.uplink import DIRECT_S, PIECE_S, WAITING_LIMIT_BYTES, Uplink
from tests.link_fakes import Clock, FakeProtocol, FakeTransport

# A megabit per second carries 125 bytes a millisecond.
MBPS = 8.0
LARGE = 100_000
SMALL = 300


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    clock = Clock()
    monkeypatch.setattr(uplink_module.asyncio, "get_running_loop", lambda: clock)
    yield clock


@dataclass
class Connection:
    """One connection over the link."""

    wire: FakeTransport
    protocol: FakeProtocol
    paced: asyncio.Transport


def link_of(clock: Clock, megabits_per_s: float = MBPS) -> Uplink:
    link = Uplink(megabits_per_s)
    link.clock = lambda: clock.now  # type: ignore[method-assign]
    return link


def connect(link: Uplink, clock: Clock) -> Connection:
    wire, protocol = FakeTransport(clock), FakeProtocol()
    return Connection(wire, protocol, link.wrap(wire, protocol))


def test_small_response_passes_large_ones(clock: Clock) -> None:
    """Guards against small responses that wait behind downloads in the network."""
    link = link_of(clock)
    first, second, small = (connect(link, clock) for _ in range(3))
    first.paced.write(bytes(LARGE))
    second.paced.write(bytes(LARGE))
    small.paced.write(bytes(SMALL))
    on_link = sum(size for _, size in first.wire.written + second.wire.written)
    assert small.wire.written == [(clock.now, SMALL)]
    assert link.transfer_s(on_link) <= 2 * PIECE_S


def test_link_is_kept_busy_and_responses_arrive_one_after_the_other(clock: Clock) -> None:
    """Guards against pacing that wastes the link, and against all downloads ending last."""
    link = link_of(clock)
    connections = [connect(link, clock) for _ in range(4)]
    for index, connection in enumerate(connections):
        connection.paced.write(bytes([index]) * LARGE)
    clock.run_for(link.transfer_s(4 * LARGE))
    ends = [connection.wire.written[-1][0] - 100.0 for connection in connections]
    for index, (connection, end) in enumerate(zip(connections, ends, strict=True)):
        assert connection.wire.data == bytes([index]) * LARGE
        assert end <= link.transfer_s((index + 1) * LARGE)
    assert link.backlog_s() <= PIECE_S


@pytest.mark.parametrize(
    ("megabits_per_s", "size"),
    [(0.0, 10 * LARGE), (1000.0, LARGE), (MBPS, SMALL)],
    ids=["unknown rate", "fast link", "small response"],
)
def test_what_the_link_carries_at_once_is_written_at_once(
    clock: Clock, megabits_per_s: float, size: int
) -> None:
    """Guards against delays on links that are not the bottleneck."""
    connection = connect(link_of(clock, megabits_per_s), clock)
    connection.paced.write(bytes(size))
    assert connection.wire.written == [(clock.now, size)]
    assert not clock.timers


def test_small_write_stays_behind_the_rest_of_its_connection(clock: Clock) -> None:
    """Guards against the end of a response that overtakes its body."""
    link = link_of(clock)
    connection = connect(link, clock)
    connection.paced.write(b"a" * LARGE)
    connection.paced.write(b"b" * SMALL)
    clock.run_for(1.0)
    assert connection.wire.data == b"a" * LARGE + b"b" * SMALL


def test_connection_that_does_not_read_holds_up_no_other(clock: Clock) -> None:
    """Guards against a link that idles while one caller is slow."""
    link = link_of(clock)
    slow, quick = connect(link, clock), connect(link, clock)
    slow.wire.unread = LARGE
    slow.paced.write(bytes(LARGE))
    quick.paced.write(bytes(LARGE))
    clock.run_for(0.2)
    assert len(quick.wire.data) == LARGE
    slow.wire.unread = 0
    clock.run_for(0.2)
    assert len(slow.wire.data) == LARGE


@pytest.mark.parametrize("end", ["close", "write_eof"])
def test_end_of_connection_waits_for_the_response(clock: Clock, end: str) -> None:
    """Guards against responses that are cut because the connection closes after them."""
    link = link_of(clock)
    connection = connect(link, clock)
    connection.paced.write(bytes(LARGE))
    getattr(connection.paced, end)()
    assert end not in connection.wire.calls
    assert connection.paced.is_closing() == (end == "close")
    clock.run_for(1.0)
    assert len(connection.wire.data) == LARGE
    assert connection.wire.calls[-1] == end


def test_closing_connection_reads_no_further_request(clock: Clock) -> None:
    """Guards against a request that is executed on a connection that cannot answer it."""
    link = link_of(clock)
    connection = connect(link, clock)
    connection.paced.write(bytes(LARGE))
    connection.paced.close()
    connection.paced.resume_reading()
    assert connection.wire.calls == ["pause_reading"]


@pytest.mark.parametrize("how", ["own side", "other side"])
def test_lost_connection_frees_the_link(clock: Clock, how: str) -> None:
    """Guards against a backlog of bytes that will never be sent."""
    link = link_of(clock)
    lost, other = connect(link, clock), connect(link, clock)
    lost.paced.write(bytes(5 * LARGE))
    other.paced.write(bytes(SMALL))
    (lost.paced if how == "own side" else lost.wire).abort()
    other.paced.write(bytes(LARGE))
    clock.run_for(0.2)
    assert len(other.wire.data) == SMALL + LARGE
    assert link.backlog_s() < PIECE_S


@pytest.mark.parametrize("lost_at", [1, 2, 5])
@pytest.mark.parametrize("end", ["", "close", "write_eof"])
def test_connection_lost_in_a_write_holds_up_no_other(clock: Clock, lost_at: int, end: str) -> None:
    """Guards against an error of one connection that stops all responses of the host."""
    link = link_of(clock)
    lost, other = connect(link, clock), connect(link, clock)
    lost.wire.lost_at = lost_at
    lost.paced.write(bytes(LARGE))
    if end and not lost.paced.is_closing():
        getattr(lost.paced, end)()
    other.paced.write(bytes(LARGE))
    clock.run_for(0.5)
    assert len(other.wire.data) == LARGE
    assert link.backlog_s() == 0.0


def test_sender_is_paused_while_too_much_waits(clock: Clock) -> None:
    """Guards against memory that grows with the size of a response."""
    link = link_of(clock)
    connection = connect(link, clock)
    connection.paced.write(bytes(2 * WAITING_LIMIT_BYTES))
    assert (connection.protocol.paused, connection.protocol.resumed) == (1, 0)
    clock.run_for(1.0)
    assert (connection.protocol.paused, connection.protocol.resumed) == (1, 1)


def test_backlog_counts_what_waits_and_what_is_on_the_link(clock: Clock) -> None:
    """Guards against admissions that see a free link while responses wait for it."""
    link = link_of(clock)
    connection = connect(link, clock)
    connection.paced.write(bytes(LARGE))
    assert link.backlog_s() == pytest.approx(link.transfer_s(LARGE))
    clock.run_for(0.05)
    assert link.backlog_s() == pytest.approx(link.transfer_s(LARGE) - 0.05, abs=PIECE_S)
    assert link.is_direct(int(link.bytes_per_s * DIRECT_S))
