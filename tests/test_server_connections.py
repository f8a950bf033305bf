"""Server connections on an in-memory transport: which requests are answered, and when it closes."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from jaypost.calls import error_response
from jaypost.codecs import RequestHead, ResponseHead
from jaypost.connections import (
    CallServer,
    ConnectionHandlers,
    CutReason,
    IncomingCall,
    Responder,
    ServerConnection,
)
from jaypost.errors import ErrorKind
from jaypost.records import Address
from jaypost.uplink import Uplink
from standins.node_settings import node_settings
from tests.link_fakes import FakeTransport, SimulatedClock
from tests.virtual_time import VirtualTimePolicy

CODECS = ("httptools", "h11")


@pytest.fixture(scope="module")
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@dataclass
class RecordedCall(IncomingCall):
    """Call that records its events and is answered by the test."""

    responder: Responder
    head: RequestHead
    disconnected: bool = False

    def answer(self, body: bytes, with_length: bool = True) -> None:
        """Send a whole response."""
        self.send_head(len(body) if with_length else None)
        self.send_rest(body)

    def send_head(self, length: int | None) -> None:
        self.responder.send_head(ResponseHead(200, {}, [], length))
        self.responder.flush()

    def send_rest(self, body: bytes) -> None:
        self.responder.send_body(body)
        self.responder.send_end()
        self.responder.flush()

    def on_body(self, data: bytes) -> None:
        pass

    def on_body_end(self) -> None:
        pass

    def on_fault(self, kind: ErrorKind) -> None:
        self.responder.send_error(error_response(kind, b""))

    def on_disconnect(self) -> None:
        self.disconnected = True

    def on_write_paused(self) -> None:
        pass

    def on_write_resumed(self) -> None:
        pass


@dataclass
class OpenConnection:
    """A server connection without a socket, and the calls that it has opened."""

    codec: str
    calls: list[RecordedCall] = field(default_factory=list)

    def __post_init__(self) -> None:
        settings = node_settings(http_codec=self.codec, node_id="node-0")
        handlers = ConnectionHandlers(
            self._open_call,
            lambda kind: error_response(kind, b""),
            lambda head: head.method == "GET",
        )
        self.server = CallServer(settings, Address("127.0.0.1", 0), handlers, Uplink())
        self.connection = ServerConnection(settings, self.server, handlers)
        self.transport = FakeTransport(SimulatedClock())
        self.connection.connection_made(self.transport)

    def _open_call(self, responder: Responder, head: RequestHead) -> RecordedCall:
        call = RecordedCall(responder, head)
        self.calls.append(call)
        return call

    def request(self, number: int, method: str = "GET", end: str = "\r\n\r\n") -> None:
        """Receive a request with its number in the path."""
        head = f"{method} /{number} HTTP/1.1\r\nhost: orders{end}"
        self.connection.data_received(head.encode())

    @property
    def opened(self) -> list[str]:
        """Paths of the requests that were passed on."""
        return [call.head.target for call in self.calls]

    @property
    def closed(self) -> bool:
        return "close" in self.transport.calls or "write_eof" in self.transport.calls

    @property
    def announced_closes(self) -> int:
        return self.transport.data.lower().count(b"connection: close")


@pytest.mark.parametrize("codec", CODECS)
@pytest.mark.parametrize("reason", [CutReason.RESPONSE_ABORTED, CutReason.STOPPED])
async def test_requests_of_a_connection_that_the_node_closes_are_counted(
    codec: str, reason: CutReason
) -> None:
    """Guards against requests that are lost with their connection and leave no trace."""
    opened = OpenConnection(codec)
    opened.request(1)
    opened.request(2)
    if reason is CutReason.RESPONSE_ABORTED:
        opened.calls[0].send_head(10)
        opened.calls[0].responder.abort()
    else:
        opened.connection.close()
    opened.connection.connection_lost(None)
    assert opened.server.cut_by_reason == {reason: len(opened.calls)}


@pytest.mark.parametrize("codec", CODECS)
async def test_request_that_its_caller_leaves_is_not_counted_as_cut(codec: str) -> None:
    """Guards against callers that give up and are counted like requests that the node lost."""
    opened = OpenConnection(codec)
    opened.request(1)
    opened.connection.connection_lost(None)
    assert opened.calls[0].disconnected
    assert not opened.server.cut_by_reason
