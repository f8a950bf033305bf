"""Callers that close their connection while the node does not read from it."""

from __future__ import annotations

import asyncio
import socket

import pytest

from jaypost.errors import ErrorKind
from jaypost.hangups import HangupWatch, poll_hangups
from jaypost.records import Row
from standins.target import Behaviour
from tests.harness import Mesh, RawClient, running_mesh, wait_until
from tests.request_path.memory_loop import MemoryLoop
from tests.request_path.test_request_bodies import CODECS, LIMIT, PLACES, encode

TIMEOUT_MS = 60_000
# Requests of a caller that has left may reach a target for this long, by the users' rules.
LATE_S = 0.5
BODY = b"x" * 180_000


async def occupy_slot(mesh: Mesh) -> RawClient:
    """Let a request take the only slot of the target until its caller leaves."""
    target = next(target for node in mesh.nodes for target in node.targets)
    target.behaviour = Behaviour(frozen=True)
    client = await mesh.client()
    client.write(encode(b"", 0, "first"))
    await wait_until(lambda: len(target.journal) == 1)
    return client


def leave(client: RawClient, how: str) -> None:
    if how == "close":
        client.writer.close()
    else:
        client.writer.transport.abort()


def cancelled_ids(mesh: Mesh) -> list[str]:
    calls = mesh.nodes[0].ingress_calls
    return [call.request_id for call in calls if call.kind is ErrorKind.CANCELLED]


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("chunk_bytes", [0, 8_000])
@pytest.mark.parametrize("size", [LIMIT + 1, len(BODY)])
@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("max_read_bytes", [0, 30_000], ids=["large reads", "small reads"])
async def test_upload_of_a_caller_that_leaves_does_not_wait_on(
    loop: MemoryLoop,
    codec: str,
    place: str,
    chunk_bytes: int,
    size: int,
    how: str,
    max_read_bytes: int,
) -> None:
    """Guards against a long body that reaches a target after its caller has left (GONE)."""
    targets, local = PLACES[place]
    loop.max_read_bytes = max_read_bytes
    row = Row("orders", timeout_ms=TIMEOUT_MS)
    async with running_mesh(codec, targets, local=local, slots=1, row=row) as mesh:
        first = await occupy_slot(mesh)
        client = await mesh.client()
        client.write(encode(BODY[:size], chunk_bytes, "late"))
        await asyncio.sleep(0.1)
        assert cancelled_ids(mesh) == []
        leave(client, how)
        await asyncio.sleep(LATE_S)
        assert cancelled_ids(mesh) == ["late"]
        await first.close()
        await asyncio.sleep(LATE_S)
        journals = [target.journal for node in mesh.nodes for target in node.targets]
        assert [len(journal) for journal in journals] == [1]


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("how", ["close", "reset"])
async def test_caller_that_leaves_behind_a_deferred_request_is_noticed(
    codec: str, place: str, how: str
) -> None:
    """Guards against a target at work for a caller that has left (GONE)."""
    targets, local = PLACES[place]
    row = Row("orders", timeout_ms=TIMEOUT_MS)
    async with running_mesh(codec, targets, local=local, slots=1, row=row) as mesh:
        client = await occupy_slot(mesh)
        client.write(encode(b"y", 0, "second"))
        await asyncio.sleep(0.1)
        leave(client, how)
        await asyncio.sleep(LATE_S)
        assert cancelled_ids(mesh) == ["first"]
        assert not mesh.nodes[0].ingress._server.connections
        assert all(node.egress.in_flight.count == 0 for node in mesh.nodes)


@pytest.mark.parametrize(
    ("ends", "is_hung_up"),
    [("nothing", False), ("bytes", False), ("half", True), ("close", True), ("reset", True)],
)
def test_kernel_tells_the_end_of_a_connection_behind_unread_bytes(
    ends: str, is_hung_up: bool
) -> None:
    """Guards against a check that sees the end of a connection only once all bytes are read."""
    listener = socket.create_server(("127.0.0.1", 0))
    caller = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    with listener, caller, accepted:
        caller.sendall(b"" if ends == "nothing" else b"unread" * 1_000)
        if ends == "half":
            caller.shutdown(socket.SHUT_WR)
        elif ends == "reset":
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        if ends in ("close", "reset"):
            caller.close()
        expected = frozenset({accepted.fileno()}) if is_hung_up else frozenset()
        assert poll_hangups({accepted.fileno()}) == expected


class Owner:
    """A connection that counts its hangups."""

    def __init__(self) -> None:
        self.hangups = 0

    def on_hangup(self) -> None:
        self.hangups += 1


async def test_watch_tells_each_owner_once_and_stops() -> None:
    """Guards against a hangup that goes to a connection which took over the descriptor."""
    hung_up: set[int] = set()
    polls: list[set[int]] = []

    def poll(descriptors: object) -> frozenset[int]:
        polls.append(set(descriptors))  # type: ignore[call-overload]
        return frozenset(hung_up)

    watch = HangupWatch(poll)
    old, new, other = Owner(), Owner(), Owner()
    watch.add(old, 5)
    watch.add(new, 5)
    watch.add(other, 6)
    watch.remove(old)
    await asyncio.sleep(1.0)
    hung_up.add(5)
    await asyncio.sleep(1.0)
    assert (old.hangups, new.hangups, other.hangups) == (0, 1, 0)
    assert polls[-1] == {6}
    watch.remove(other)
    await asyncio.sleep(1.0)
    count = len(polls)
    await asyncio.sleep(1.0)
    assert len(polls) == count
    watch.close()
