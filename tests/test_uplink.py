"""Tests of the pacing of responses, with a link in simulated time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from jaypost import uplink as uplink_module
from jaypost.uplink import DIRECT_WRITE_MAX_S, MAX_QUEUED_BYTES, PIECE_TRANSFER_S, Uplink
from tests.link_fakes import FakeQueueOwner, FakeTransport, SimulatedClock

# 1 megabit per second is 125 bytes per millisecond.
LINK_MBPS = 8.0
LARGE_BYTES = 100_000
SMALL_BYTES = 300


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[SimulatedClock]:
    clock = SimulatedClock()
    monkeypatch.setattr(uplink_module.asyncio, "get_running_loop", lambda: clock)
    yield clock


@dataclass
class Connection:
    """One connection over the link: the fake transport and the paced one that wraps it."""

    transport: FakeTransport
    owner: FakeQueueOwner
    paced: asyncio.Transport


def make_link(clock: SimulatedClock, megabits_per_s: float = LINK_MBPS) -> Uplink:
    link = Uplink(megabits_per_s)
    link.clock = lambda: clock.now  # type: ignore[method-assign]
    return link


def connect(link: Uplink, clock: SimulatedClock) -> Connection:
    transport, owner = FakeTransport(clock), FakeQueueOwner()
    return Connection(transport, owner, link.wrap(transport, owner))


def test_small_response_overtakes_large_ones(clock: SimulatedClock) -> None:
    """Guards against small responses that wait behind downloads in the network."""
    link = make_link(clock)
    first, second, small = (connect(link, clock) for _ in range(3))
    first.paced.write(bytes(LARGE_BYTES))
    second.paced.write(bytes(LARGE_BYTES))
    small.paced.write(bytes(SMALL_BYTES))
    on_link = sum(size for _, size in first.transport.written + second.transport.written)
    assert small.transport.written == [(clock.now, SMALL_BYTES)]
    assert link.transfer_s(on_link) <= 2 * PIECE_TRANSFER_S


def test_link_is_kept_busy_and_responses_arrive_one_after_the_other(clock: SimulatedClock) -> None:
    """Guards against pacing that leaves the link idle, and against downloads that all end late."""
    link = make_link(clock)
    connections = [connect(link, clock) for _ in range(4)]
    for index, connection in enumerate(connections):
        connection.paced.write(bytes([index]) * LARGE_BYTES)
    clock.run_for(link.transfer_s(4 * LARGE_BYTES))
    durations_s = [connection.transport.written[-1][0] - 100.0 for connection in connections]
    for index, (connection, duration_s) in enumerate(zip(connections, durations_s, strict=True)):
        assert connection.transport.data == bytes([index]) * LARGE_BYTES
        assert duration_s <= link.transfer_s((index + 1) * LARGE_BYTES)
    assert link.backlog_s() <= PIECE_TRANSFER_S


@pytest.mark.parametrize(
    ("megabits_per_s", "size"),
    [(0.0, 10 * LARGE_BYTES), (1000.0, LARGE_BYTES), (LINK_MBPS, SMALL_BYTES)],
    ids=["unknown rate", "fast link", "small response"],
)
def test_responses_that_need_no_pacing_are_written_at_once(
    clock: SimulatedClock, megabits_per_s: float, size: int
) -> None:
    """Guards against delays on links that are not the bottleneck."""
    connection = connect(make_link(clock, megabits_per_s), clock)
    connection.paced.write(bytes(size))
    assert connection.transport.written == [(clock.now, size)]
    assert not clock.timers


def test_small_write_stays_behind_queued_bytes_of_its_connection(clock: SimulatedClock) -> None:
    """Guards against the end of a response that overtakes its body."""
    link = make_link(clock)
    connection = connect(link, clock)
    connection.paced.write(b"a" * LARGE_BYTES)
    connection.paced.write(b"b" * SMALL_BYTES)
    clock.run_for(1.0)
    assert connection.transport.data == b"a" * LARGE_BYTES + b"b" * SMALL_BYTES


def test_connection_with_a_slow_receiver_does_not_delay_others(clock: SimulatedClock) -> None:
    """Guards against a link that is idle because one caller reads slowly."""
    link = make_link(clock)
    slow, quick = connect(link, clock), connect(link, clock)
    slow.transport.write_buffer_bytes = LARGE_BYTES
    slow.paced.write(bytes(LARGE_BYTES))
    quick.paced.write(bytes(LARGE_BYTES))
    clock.run_for(0.2)
    assert len(quick.transport.data) == LARGE_BYTES
    slow.transport.write_buffer_bytes = 0
    clock.run_for(0.2)
    assert len(slow.transport.data) == LARGE_BYTES


@pytest.mark.parametrize("closing_call", ["close", "write_eof"])
def test_end_of_connection_waits_for_the_response(clock: SimulatedClock, closing_call: str) -> None:
    """Guards against responses that are cut off by a close of the connection."""
    link = make_link(clock)
    connection = connect(link, clock)
    connection.paced.write(bytes(LARGE_BYTES))
    getattr(connection.paced, closing_call)()
    assert closing_call not in connection.transport.calls
    assert connection.paced.is_closing() == (closing_call == "close")
    clock.run_for(1.0)
    assert len(connection.transport.data) == LARGE_BYTES
    assert connection.transport.calls[-1] == closing_call


def test_closing_connection_does_not_read_another_request(clock: SimulatedClock) -> None:
    """Guards against executing a request whose connection is closed before its answer."""
    link = make_link(clock)
    connection = connect(link, clock)
    connection.paced.write(bytes(LARGE_BYTES))
    connection.paced.close()
    connection.paced.resume_reading()
    assert connection.transport.calls == ["pause_reading"]


@pytest.mark.parametrize("closed_by", ["own side", "other side"])
def test_lost_connection_frees_the_link(clock: SimulatedClock, closed_by: str) -> None:
    """Guards against a backlog of bytes that will never be sent."""
    link = make_link(clock)
    lost, other = connect(link, clock), connect(link, clock)
    lost.paced.write(bytes(5 * LARGE_BYTES))
    other.paced.write(bytes(SMALL_BYTES))
    (lost.paced if closed_by == "own side" else lost.transport).abort()
    other.paced.write(bytes(LARGE_BYTES))
    clock.run_for(0.2)
    assert len(other.transport.data) == SMALL_BYTES + LARGE_BYTES
    assert link.backlog_s() < PIECE_TRANSFER_S


@pytest.mark.parametrize("lost_at_write", [1, 2, 5])
@pytest.mark.parametrize("closing_call", ["", "close", "write_eof"])
def test_connection_lost_during_a_write_does_not_delay_others(
    clock: SimulatedClock, lost_at_write: int, closing_call: str
) -> None:
    """Guards against an error of one connection that stops all responses of the host."""
    link = make_link(clock)
    lost, other = connect(link, clock), connect(link, clock)
    lost.transport.lost_at_write = lost_at_write
    lost.paced.write(bytes(LARGE_BYTES))
    if closing_call and not lost.paced.is_closing():
        getattr(lost.paced, closing_call)()
    other.paced.write(bytes(LARGE_BYTES))
    clock.run_for(0.5)
    assert len(other.transport.data) == LARGE_BYTES
    assert link.backlog_s() == 0.0


def test_sender_is_paused_while_too_many_bytes_are_queued(clock: SimulatedClock) -> None:
    """Guards against buffering a whole large response in memory."""
    link = make_link(clock)
    connection = connect(link, clock)
    connection.paced.write(bytes(2 * MAX_QUEUED_BYTES))
    assert (connection.owner.paused, connection.owner.resumed) == (1, 0)
    clock.run_for(1.0)
    assert (connection.owner.paused, connection.owner.resumed) == (1, 1)


def test_backlog_counts_queued_and_written_bytes(clock: SimulatedClock) -> None:
    """Guards against admissions that regard the link as free while responses wait for it."""
    link = make_link(clock)
    connection = connect(link, clock)
    connection.paced.write(bytes(LARGE_BYTES))
    assert link.backlog_s() == pytest.approx(link.transfer_s(LARGE_BYTES))
    clock.run_for(0.05)
    assert link.backlog_s() == pytest.approx(
        link.transfer_s(LARGE_BYTES) - 0.05, abs=PIECE_TRANSFER_S
    )
    assert link.is_direct(int(link.bytes_per_s * DIRECT_WRITE_MAX_S))
