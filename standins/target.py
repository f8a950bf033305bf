"""Stand-in for a target: runs requests, announces itself to its node and journals what it ran.

Paths:

- ``/work/MS`` and ``/long/MS`` respond after MS milliseconds.
- ``/bytes/N`` streams N bytes.
- ``/echo`` returns the request body.
- ``/chain/A,B/MS`` calls service A through the node with the path ``/chain/B/MS`` and returns the
  status of that call. The last service of a chain gets ``/work/MS``.
- ``GET /journal`` returns the journal as JSON lines.
- ``PUT /behaviour`` replaces the `Behaviour` by the JSON object in the body.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import IO, Any, cast

import uvloop

from jaypost.calls import DEADLINE_MS, FINAL, HOST, REQUEST_ID, RETRY
from jaypost.codecs import server_codec
from jaypost.exchanges import CallFailed, Receiver
from jaypost.http_messages import BodyChunk, MessageEnd, ProtocolFault, RequestHead, ResponseHead
from jaypost.pools import ConnectionPool, PooledExchange
from jaypost.records import Address, TargetState
from jaypost.settings import HttpCodec, parse_address
from standins.node_settings import node_settings

ANNOUNCE_INTERVAL_S = 2.0
ANNOUNCE_TIMEOUT_S = 1.0
HEADER_LIMIT_BYTES = 32_768
WORK_PATH_PREFIXES = ("/work/", "/long/")
# Default for a target without a node; nothing is expected to listen there.
UNUSED_ADDRESS = Address("127.0.0.1", 1)
STREAM_CHUNK = b"x" * 65_536
KEPT_HEADS = 16  # heads of requests that a target keeps

# Called with the status of the next service of a chain and whether its response is final.
ChainCallback = Callable[[int, bool], None]


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Faults that a target injects. Only `crossed_id` also affects ``/journal`` and ``/behaviour``.

    Parameters
    ----------
    slow_ms : float
        Delay in milliseconds of each request that takes a slot, except ``/chain``; added to the MS
        of ``/work`` and ``/long``.
    frozen : bool
        Whether connections are accepted and requests read and journaled, but no response is sent.
    fail_status : int
        Status of every response; 0 means 200, or the status of the chain.
    cut_after : int
        The connection is closed after this many bytes of a response body; -1 means never.
    close_before_head : bool
        Whether the connection is closed without a response once a request has started to run.
    crossed_id : str
        Request id sent in every response in place of that of the request; empty sends that of the
        request.
    pass_control : bool
        Whether a chain passes on the retry header to the next service and the final header to its
        caller.
    """

    slow_ms: float = 0.0
    frozen: bool = False
    fail_status: int = 0
    cut_after: int = -1
    close_before_head: bool = False
    crossed_id: str = ""
    pass_control: bool = True


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """A request that the target ran, or a state change of the target.

    Parameters
    ----------
    request_id, method, path : str
        Request; empty for a state change.
    body_bytes : int
        Size of the request body in bytes.
    end : str
        ``done`` or ``cancelled``, empty while the request runs; ``started`` or ``draining`` for a
        state change.
    at_s : float
        Wall-clock time of the start of the request or of the state change, in seconds.
    """

    request_id: str
    method: str
    path: str
    body_bytes: int
    end: str = ""
    at_s: float = 0.0


class ChainCall(Receiver):
    """A call of the next service of a chain."""

    def __init__(
        self, target: StandinTarget, request: RequestHead, on_ended: ChainCallback
    ) -> None:
        services, _, work_ms = request.target.removeprefix("/chain/").partition("/")
        service, _, rest = services.partition(",")
        path = f"/chain/{rest}/{work_ms}" if rest else f"/work/{work_ms}"
        control = {HOST: service.encode()}
        forwarded_headers = (
            (DEADLINE_MS, RETRY) if target.behaviour.pass_control else (DEADLINE_MS,)
        )
        control |= {
            name: request.control[name] for name in forwarded_headers if name in request.control
        }
        self._on_ended = on_ended
        self._head: ResponseHead | None = None
        self._exchange = PooledExchange(
            target.node, RequestHead(request.method, path, control, [], None), b"", True, self
        )
        target.pool.start_exchange(self._exchange)

    def on_head(self, head: ResponseHead) -> None:
        """Store the head of the response."""
        self._head = head

    def on_body(self, data: bytes) -> None:
        """Ignore the body."""

    def on_end(self) -> None:
        """Report the status and whether the response is final."""
        assert self._head is not None
        self._on_ended(self._head.status, FINAL in self._head.control)

    def on_failed(self, failure: CallFailed) -> None:
        """Report status 502 as a response that is not final."""
        self._on_ended(HTTPStatus.BAD_GATEWAY, False)

    def cancel(self) -> None:
        """Cancel the call."""
        self._exchange.cancel()


class TargetConnection(asyncio.Protocol):
    """One connection to the target."""

    def __init__(self, target: StandinTarget) -> None:
        self._target = target
        self._codec = server_codec(target.codec, HEADER_LIMIT_BYTES)
        self._transport: asyncio.Transport | None = None
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._journal_index = -1
        self._running = False
        self._chain_call: ChainCall | None = None
        self._chain_status = 0
        self._chain_final = False
        self._timer: asyncio.TimerHandle | None = None
        self._stream_remaining_bytes = 0
        self._stream_sent_bytes = 0
        self._write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        # A cast, because the transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._target.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in execution or in the queue."""
        self._transport = None
        self._target.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._chain_call is not None:
            self._chain_call.cancel()
        self._target.cancel_waiting(self)
        if self._running:
            self._end_execution("cancelled")

    def data_received(self, data: bytes) -> None:
        """Decode received bytes and handle the request when it is complete."""
        for event in self._codec.receive(data):
            if isinstance(event, RequestHead):
                self._head = event
                self._body_bytes = 0
                self._body.clear()
                if event.expect_continue and self._transport is not None:
                    self._transport.write(self._codec.encode_continue())
            elif isinstance(event, BodyChunk):
                self._body_bytes += len(event.data)
                if self._head is not None and self._head.target == "/echo":
                    self._body.append(event.data)
                elif self._head is not None and self._head.target == "/behaviour":
                    self._body.append(event.data)
            elif isinstance(event, MessageEnd):
                self._route()
            elif isinstance(event, ProtocolFault):
                self.close()

    def pause_writing(self) -> None:
        """Pause the response stream."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Resume the response stream."""
        self._write_paused = False
        self._send_stream()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _route(self) -> None:
        head = self._head
        assert head is not None
        if head.target == "/journal":
            lines = [json.dumps(_entry_fields(entry)) for entry in self._target.journal]
            self._send_response(200, "\n".join(lines).encode() + b"\n")
        elif head.target == "/behaviour" and head.method == "PUT":
            self._target.behaviour = Behaviour(**json.loads(b"".join(self._body)))
            self._send_response(200, b"{}\n")
        else:
            self._target.run_or_queue(self)

    def run(self) -> None:
        """Run the request; the target calls this when a slot is free."""
        head = self._head
        assert head is not None
        self._running = True
        request_id = head.control.get(REQUEST_ID, b"").decode()
        self._target.heads.append(head)
        self._journal_index = self._target.execution_started(
            JournalEntry(request_id, head.method, head.target, self._body_bytes, at_s=time.time())
        )
        behaviour = self._target.behaviour
        if behaviour.frozen:
            return
        if behaviour.close_before_head:
            self.close()
            return
        self._chain_status, self._chain_final = 0, False
        if head.target.startswith("/chain/"):
            self._chain_call = ChainCall(self._target, head, self._chain_ended)
            return
        _, _, argument = head.target.rpartition("/")
        work_ms = float(argument) if head.target.startswith(WORK_PATH_PREFIXES) else 0.0
        delay_s = (work_ms + behaviour.slow_ms) / 1000
        if delay_s > 0:
            self._timer = self._target.loop.call_later(delay_s, self._respond)
        else:
            self._respond()

    def _chain_ended(self, status: int, final: bool) -> None:
        self._chain_call = None
        if self._transport is None or not self._running:
            return
        self._chain_status = status
        self._chain_final = final and self._target.behaviour.pass_control
        self._respond()

    def _respond(self) -> None:
        head = self._head
        assert head is not None
        behaviour = self._target.behaviour
        status = behaviour.fail_status or self._chain_status or 200
        if head.target.startswith("/bytes/"):
            self._stream_remaining_bytes = int(head.target.rpartition("/")[2])
            self._stream_sent_bytes = 0
            self._write(self._codec.encode_response(self._response_head(status, None), head))
            self._send_stream()
            return
        if head.target == "/echo":
            body = b"".join(self._body)
        else:
            request_id = head.control.get(REQUEST_ID, b"").decode()
            target_id = self._target.target_id
            body = json.dumps({"request_id": request_id, "target": target_id}).encode()
        if behaviour.cut_after >= 0:
            self._write(
                self._codec.encode_response(self._response_head(status, len(body)), self._head)
            )
            self._write(body[: behaviour.cut_after])
            if self._transport is not None:
                self._transport.close()
            return
        self._end_execution("done")
        self._send_response(status, body)

    def _response_head(self, status: int, length: int | None) -> ResponseHead:
        assert self._head is not None
        control: dict[bytes, bytes] = {}
        request_id = self._target.behaviour.crossed_id.encode() or self._head.control.get(
            REQUEST_ID
        )
        if request_id:
            control[REQUEST_ID] = request_id
        if self._chain_final:
            control[FINAL] = b"1"
        control |= self._target.extra_headers
        return ResponseHead(status, control, [(b"content-type", b"application/json")], length)

    def _send_response(self, status: int, body: bytes) -> None:
        assert self._head is not None
        data = self._codec.encode_response(self._response_head(status, len(body)), self._head)
        if self._head.method != "HEAD":
            data += self._codec.encode_body(body)
        self._write(data + self._codec.encode_end())
        self._close_or_reuse()

    def _send_stream(self) -> None:
        cut_after = self._target.behaviour.cut_after
        while (
            self._stream_remaining_bytes and not self._write_paused and self._transport is not None
        ):
            data = STREAM_CHUNK[: self._stream_remaining_bytes]
            if 0 <= cut_after < self._stream_sent_bytes + len(data):
                self._write(self._codec.encode_body(data[: cut_after - self._stream_sent_bytes]))
                self._transport.close()
                return
            self._stream_remaining_bytes -= len(data)
            self._stream_sent_bytes += len(data)
            self._write(self._codec.encode_body(data))
            if not self._stream_remaining_bytes:
                self._write(self._codec.encode_end())
                self._end_execution("done")
                self._close_or_reuse()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def _end_execution(self, end: str) -> None:
        self._running = False
        self._target.execution_ended(self._journal_index, end)

    def _close_or_reuse(self) -> None:
        if self._codec.closing or self._codec.has_excess_bytes or self._codec.has_following_bytes:
            if self._transport is not None:
                self._transport.close()
            return
        self._codec.next_message()


def _entry_fields(entry: JournalEntry) -> dict[str, Any]:
    return {name: getattr(entry, name) for name in JournalEntry.__slots__}


class StandinTarget:
    """A target with its HTTP server, slots and journal.

    Parameters
    ----------
    target_id, service : str
        Identity of the target.
    slots : int
        Requests that run at the same time; further ones wait.
    codec : HttpCodec
        HTTP library.
    journal_file : file or None
        File for journal entries as JSON lines.
    node : Address
        Caller address of the node on its host, for calls to other services.

    Attributes
    ----------
    behaviour : Behaviour
        Faults in force.
    journal : list of JournalEntry
        Requests that the target ran, in order of their start.
    max_running : int
        Largest number of requests that ran at the same time.
    extra_headers : dict of bytes to bytes
        Headers added to every response.
    keep_journal : bool
        Whether requests are journaled.
    idle : asyncio.Event
        Set while no request runs.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        slots: int,
        codec: HttpCodec = HttpCodec.HTTPTOOLS,
        journal_file: IO[str] | None = None,
        node: Address = UNUSED_ADDRESS,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.slots = slots
        self.codec = codec
        self.behaviour = Behaviour()
        self.journal: list[JournalEntry] = []
        self.connections: set[TargetConnection] = set()
        self.max_running = 0
        self.port = 0
        self.node = node
        self.pool = ConnectionPool(node_settings())
        self.keep_journal = True
        # Heads of the latest requests, the newest last.
        self.heads: deque[RequestHead] = deque(maxlen=KEPT_HEADS)
        self.extra_headers: dict[bytes, bytes] = {}
        self.idle = asyncio.Event()
        self.idle.set()
        self._journal_file = journal_file
        self._running = 0
        self._waiting: deque[TargetConnection] = deque()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> int:
        """Listen on the loopback address and return the port."""
        self.loop = asyncio.get_running_loop()
        self._server = await self.loop.create_server(
            lambda: TargetConnection(self), "127.0.0.1", port, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]
        await self.pool.start()
        return self.port

    def stop_listening(self) -> None:
        """Close the listening socket."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def close(self) -> None:
        """Close all sockets."""
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close()
        await self.pool.close()

    @property
    def running(self) -> int:
        """Number of requests that run now."""
        return self._running

    def request_ids(self) -> list[str]:
        """Return the ids of the requests that were run, in order of their start."""
        return [entry.request_id for entry in self.journal]

    def run_or_queue(self, connection: TargetConnection) -> None:
        """Run the request of a connection, or queue it until a slot is free."""
        if self._running >= self.slots:
            self._waiting.append(connection)
            return
        self._running += 1
        self.idle.clear()
        self.max_running = max(self.max_running, self._running)
        connection.run()

    def cancel_waiting(self, connection: TargetConnection) -> None:
        """Remove the request of a connection from the queue for a slot."""
        if connection in self._waiting:
            self._waiting.remove(connection)

    def execution_started(self, entry: JournalEntry) -> int:
        """Add a journal entry and return its index, or -1 when no journal is kept."""
        if not self.keep_journal:
            return -1
        self.journal.append(entry)
        self._write_entry(entry)
        return len(self.journal) - 1

    def execution_ended(self, index: int, end: str) -> None:
        """Free the slot, complete the journal entry and run the next queued request."""
        self._running -= 1
        if not self._running:
            self.idle.set()
        if index >= 0:
            self.journal[index] = replace(self.journal[index], end=end)
            self._write_entry(self.journal[index])
        if self._waiting:
            self.run_or_queue(self._waiting.popleft())

    def record_state_change(self, change: str) -> None:
        """Write a state change of the target to the journal file, but not to `journal`."""
        self._write_entry(JournalEntry("", "", "", 0, change, time.time()))

    def _write_entry(self, entry: JournalEntry) -> None:
        if self._journal_file is not None:
            print(json.dumps(_entry_fields(entry)), file=self._journal_file, flush=True)


class Announcer:
    """Announces a target to the admin port of its node at intervals."""

    def __init__(self, target: StandinTarget, admin: Address, version: str = "") -> None:
        self._target = target
        self._admin = admin
        self._version = version
        self._pool = ConnectionPool(node_settings())
        self._task: asyncio.Task[None] | None = None
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self.state = TargetState.READY

    async def start(self) -> None:
        """Start to announce, at once and then at intervals."""
        await self._pool.start()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop announcing and withdraw the announcement."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
            await self._send("DELETE", json.dumps({"born": self._born_ms}).encode())
        await self._pool.close()

    async def announce(self) -> bool:
        """Announce the current state and return whether the node accepted it."""
        self._sequence += 1
        content = {
            "born": self._born_ms,
            "sequence": self._sequence,
            "service": self._target.service,
            "port": self._target.port,
            "slots": self._target.slots,
            "state": self.state,
            "version": self._version,
        }
        return await self._send("PUT", json.dumps(content).encode())

    async def _run(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _send(self, method: str, body: bytes) -> bool:
        head = RequestHead(
            method,
            f"/targets/{self._target.target_id}",
            {HOST: str(self._admin).encode()},
            [(b"content-type", b"application/json")],
            len(body),
        )
        deadline = asyncio.get_running_loop().time() + ANNOUNCE_TIMEOUT_S
        outcome = await self._pool.request(self._admin, head, body, deadline)
        if isinstance(outcome, CallFailed):
            print(f"announcement failed: {outcome.kind}", file=sys.stderr, flush=True)
            return False
        await outcome.read()
        return outcome.head is not None and outcome.head.status < 300


async def _serve(arguments: argparse.Namespace) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    journal: IO[str] | None = None
    if arguments.journal:
        journal = open(arguments.journal, "a")  # noqa: ASYNC230 - opened once, at start
    target = StandinTarget(
        arguments.id,
        arguments.service,
        arguments.slots,
        HttpCodec(arguments.codec),
        journal,
        arguments.node,
    )
    target.keep_journal = not arguments.no_journal
    port = await target.start(arguments.port)
    target.record_state_change("started")
    print(f"listening port={port}", flush=True)
    announcer = Announcer(target, arguments.admin, arguments.version) if arguments.admin else None
    if announcer is not None:
        await announcer.start()
    await stop.wait()
    if announcer is not None:
        announcer.state = TargetState.DRAINING
        if await announcer.announce():
            target.record_state_change("draining")
        await asyncio.sleep(arguments.drain_s)
    await target.idle.wait()
    if announcer is not None:
        await announcer.close()
    await target.close()


def run_on_uvloop(coroutine_function: Callable[[], Any]) -> None:
    """Run a coroutine function on a new uvloop event loop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(coroutine_function())


def main() -> None:
    """Run a target as a process."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--version", default="", help="version to announce")
    parser.add_argument("--admin", type=parse_address, help="admin address of the node")
    parser.add_argument(
        "--node",
        type=parse_address,
        default=UNUSED_ADDRESS,
        help="caller address of the node, for chains",
    )
    parser.add_argument("--codec", default=HttpCodec.HTTPTOOLS, choices=list(HttpCodec))
    parser.add_argument("--journal", help="file to which the journal is appended as JSON lines")
    parser.add_argument("--no-journal", action="store_true", help="do not record requests")
    parser.add_argument(
        "--drain-s",
        type=float,
        default=4.0,
        help="seconds between the announcement of draining and the exit",
    )
    arguments = parser.parse_args()
    run_on_uvloop(lambda: _serve(arguments))


if __name__ == "__main__":
    main()
