"""Control connections: codec, typed outcomes of failures, byte counts, idle closing, hooks."""

from __future__ import annotations

import asyncio
import socket
import time
import zlib
from collections import Counter

import pytest

from jaypost import messages, peers
from jaypost.messages import Ping, Pong, Push, RecordPiece
from jaypost.peers import (
    Busy,
    ByteKey,
    Direction,
    Failed,
    FailureReason,
    Link,
    PeerChannels,
    PeerServer,
    Replied,
    pack,
    unpack,
)
from jaypost.records import Accusation, Address, Stamp, Table
from jaypost.view import AgedAccusation
from tests.gossip_fleet import delta, eventually, make_record

RECORDS = tuple(make_record(f"n{number}", services=("shop",)) for number in range(40))


@pytest.mark.parametrize(
    ("message", "compressed"),
    [
        (Ping("a"), False),
        (Push("a", (delta(3),), RECORDS[:1], {"n0": 1.5}), False),
        (Push("a", accusations=(AgedAccusation(Accusation("n", Stamp(1, 2)), 0.5),)), False),
        (Table(3, {}, "digest"), False),
        (RecordPiece(RECORDS), True),
    ],
)
def test_unpacked_message_equals_the_packed_one(message: object, compressed: bool) -> None:
    """Guards against fields that the codec loses, and large messages that are not compressed."""
    data = pack(message)
    assert unpack(data, type(message)) == message
    assert (data[:1] == b"\1") == compressed
    if compressed:
        assert len(data) < 2000


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\0\xc1",
        b"\1not zlib",
        b"\1" + zlib.compress(b"x" * 100)[:-8],
        b"\1" + zlib.compress(b"\0" * (peers.MAX_MESSAGE_BYTES + 1)),
        pack(Pong("a", 1)),
    ],
)
def test_malformed_messages_are_rejected(data: bytes) -> None:
    """Guards against a peer that crashes the node or exhausts its memory."""
    with pytest.raises(ValueError):
        unpack(data, Ping)


def test_every_request_has_a_sender_and_a_method() -> None:
    """Guards against a message whose bytes cannot be counted by link."""
    for method in peers.METHOD_BY_REQUEST_TYPE.values():
        assert "sender" in method.request_type.__dataclass_fields__
        assert method.path in PeerServer(None, None, Counter()).__mapping__()
    assert len({method.name for method in peers.METHOD_BY_REQUEST_TYPE.values()}) == len(
        peers.METHOD_BY_REQUEST_TYPE
    )


class Peer:
    """A server that answers `Ping` with `reply` after `delay_s`, and channels to it."""

    def __init__(self) -> None:
        self.reply: object = Pong("peer", 7)
        self.delay_s = 0.0
        self.counts: Counter[ByteKey] = Counter()
        self.server = PeerServer(self.answer, lambda sender: Link.REGION, self.counts)
        self.channels = PeerChannels(0.25)
        self.address = Address("127.0.0.1", 0)

    async def answer(self, request: object) -> object:
        await asyncio.sleep(self.delay_s)
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply

    async def ping(self, timeout_s: float = 5.0) -> peers.CallOutcome:
        return await self.channels.call(self.address, Ping("me"), timeout_s, Link.DOMAIN)


@pytest.fixture
async def peer():
    peer = Peer()
    peer.address = await peer.server.start(peer.address)
    peer.channels.start()
    yield peer
    await peer.channels.close()
    await peer.server.close()


@pytest.mark.parametrize(
    ("reply", "delay_s", "expected"),
    [
        (Pong("peer", 7), 0.0, Replied(Pong("peer", 7))),
        (Busy(0.5), 0.0, Busy(0.5)),
        (RuntimeError("fault"), 0.0, FailureReason.REFUSED),
        (messages.PushReply(1), 0.0, FailureReason.BAD_REPLY),
        (Pong("peer", 7), 10.0, FailureReason.TIMED_OUT),
    ],
)
async def test_call_returns_a_typed_outcome(
    peer: Peer, reply: object, delay_s: float, expected: object
) -> None:
    """Guards against a failed call that raises, hangs or looks like a reply."""
    peer.reply, peer.delay_s = reply, delay_s
    outcome = await peer.ping(0.3 if delay_s else 5.0)
    if isinstance(expected, FailureReason):
        assert isinstance(outcome, Failed) and outcome.reason is expected
    else:
        assert outcome == expected


async def test_closed_server_does_not_answer(peer: Peer) -> None:
    """Guards against a closed node that still answers on open connections."""
    assert isinstance(await peer.ping(), Replied)
    await peer.server.close()
    outcome = await peer.ping()
    assert isinstance(outcome, Failed)
    assert outcome.reason in (FailureReason.CONNECT_FAILED, FailureReason.CONNECTION_LOST)
    await peer.channels.close()
    assert await peer.ping() == Failed(FailureReason.CLOSED)


async def test_silent_connection_is_replaced(peer: Peer) -> None:
    """Guards against calls that keep using a connection which no longer carries data."""
    with socket.create_server(("127.0.0.1", 0)) as silent:
        port = silent.getsockname()[1]
        silent_address = Address("127.0.0.1", port)
        outcome = await peer.channels.call(silent_address, Ping("me"), 0.3, Link.DOMAIN)
        assert isinstance(outcome, Failed) and outcome.reason is FailureReason.TIMED_OUT
        assert len(peer.channels) == 0
    await peer.server.close()
    peer.address = await peer.server.start(silent_address)
    assert isinstance(await peer.ping(), Replied)


async def test_one_channel_is_shared_and_closed_when_idle(
    peer: Peer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one connection per call, and against idle connections that stay open."""
    monkeypatch.setattr(peers, "IDLE_SWEEP_INTERVAL_S", 0.05)
    await peer.channels.close()
    peer.channels = PeerChannels(0.25)
    peer.channels.start()
    await asyncio.gather(*(peer.ping() for _ in range(5)))
    assert len(peer.channels) == 1
    monkeypatch.setattr(peers, "IDLE_TIMEOUT_S", 0.0)
    await eventually(lambda: len(peer.channels) == 0)
    assert isinstance(await peer.ping(), Replied)


async def test_bytes_are_counted_on_both_sides(peer: Peer) -> None:
    """Guards against control traffic that the metrics omit or assign to the wrong link."""
    await peer.ping()
    client, server = peer.channels.byte_counts, peer.counts
    for kind, client_direction, server_direction in (
        ("Ping", "SENT", "RECEIVED"),
        ("Pong", "RECEIVED", "SENT"),
    ):
        size = client[ByteKey(kind, Link.DOMAIN, Direction[client_direction])]
        assert size == server[ByteKey(kind, Link.REGION, Direction[server_direction])] > 0


async def test_hooks_delay_and_cut_links(peer: Peer) -> None:
    """Guards against tests of slow or cut links that run on an unimpaired network instead."""
    peer.channels.link_delay_s = lambda address: 0.1
    began = asyncio.get_running_loop().time()
    assert isinstance(await peer.ping(), Replied)
    assert asyncio.get_running_loop().time() - began >= 0.2
    peer.channels.is_link_cut = lambda address: address == peer.address
    outcome = await peer.ping()
    assert isinstance(outcome, Failed) and outcome.reason is FailureReason.CONNECT_FAILED


async def test_busy_event_loop_does_not_fail_connections(peer: Peer) -> None:
    """Guards against repeated connects that each time out while the event loop is busy."""
    asyncio.get_running_loop().call_soon(time.sleep, 0.5)
    assert isinstance(await peer.ping(), Replied)
