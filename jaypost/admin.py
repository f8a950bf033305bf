"""Admin HTTP server, based on h11: operator queries, metrics and target announcements."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import msgspec
import structlog

from jaypost.announcements import (
    Announce,
    AnnouncementRefused,
    Announcements,
    TargetAccepted,
    Withdraw,
    parse_withdrawal,
)
from jaypost.errors import ANSWER_BY_KIND, ErrorKind
from jaypost.events import EventLog
from jaypost.logs import EventName
from jaypost.metrics import CONTENT_TYPE, Metrics
from jaypost.records import Address, TargetState
from jaypost.request_explanations import RequestQuery
from jaypost.settings import Settings

log = structlog.get_logger(__name__)

MAX_BODY_BYTES = 16_384
MAX_CONNECTIONS = 128
# Input that is decoded before other connections have a turn. In chunks of one byte, h11 takes some
# milliseconds for it.
READ_CHUNK_BYTES = 4096
# Time from the start of a connection or the previous response to the end of the request head.
IDLE_TIMEOUT_S = 30.0
# Time to read a request body, and time to write a response.
REQUEST_TIMEOUT_S = 5.0
# Time to send buffered data before a connection is aborted.
CLOSE_TIMEOUT_S = 1.0
# Time to collect the status of all nodes.
FLEET_TIMEOUT_S = 10.0
# Maximum age of a cached fleet report, counted from the start of its collection.
FLEET_REPORT_MAX_AGE_S = 1.0
DEFAULT_EVENT_LIMIT = 100
MAX_EVENT_LIMIT = 1000
JSON_CONTENT_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the node is ready to receive calls, and the reason if it is not."""

    ready: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class FleetReport:
    """Status of all nodes, as collected by this node.

    Parameters
    ----------
    nodes : sequence
        Status of each known node, including nodes that did not answer.
    unreachable : sequence of str
        Nodes that are unreachable according to the membership view.
    """

    nodes: Sequence[Any]
    unreachable: Sequence[str] = ()


class NodeQueries(Protocol):
    """Interface of the node that the admin server calls. Results are encoded as JSON."""

    def readiness(self) -> Readiness:
        """Return whether the node is ready."""

    def status(self) -> Any:
        """Return the status of this node."""

    async def fleet(self) -> FleetReport:
        """Collect the status of all nodes."""

    def explain(self, service: str) -> Any | None:
        """Return how this node routes requests for `service`; None if no row exists for it."""

    def explain_request(self, query: RequestQuery) -> Any:
        """Return what this node would do with a request now."""

    def drain(self) -> None:
        """Start to drain all targets of the host and make the node leave the fleet."""


@dataclass(frozen=True, slots=True)
class Request:
    """A parsed request to the admin port."""

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """Response to a request to the admin port; `allow` is the value of its Allow header."""

    status: HTTPStatus
    body: bytes
    content_type: str = JSON_CONTENT_TYPE
    error: ErrorKind | None = None
    allow: str = ""


Handler = Callable[[Request], Awaitable[Reply]]


def encode(value: object) -> bytes:
    """Encode dataclasses, mappings and sequences as JSON, values without a JSON form as text."""
    return msgspec.json.encode(value, enc_hook=_encode_unsupported)


def _encode_unsupported(value: object) -> object:
    if isinstance(value, Mapping):
        return dict(value)
    return str(value)


def json_reply(value: object, status: HTTPStatus = HTTPStatus.OK) -> Reply:
    """Return a reply with `value` as JSON."""
    return Reply(status, encode(value))


def error_reply(kind: ErrorKind, reason: str = "", allow: str = "") -> Reply:
    """Return the reply for an error kind, as defined in `ANSWER_BY_KIND`.

    Parameters
    ----------
    kind : ErrorKind
        Determines the status and the general text.
    reason : str
        Cause of this particular error.
    allow : str
        Allowed methods, for the Allow header.
    """
    answer = ANSWER_BY_KIND[kind]
    body = encode({"error": kind, "text": answer.text, "reason": reason})
    return Reply(answer.status, body, error=kind, allow=allow)


class AdminServer:
    """HTTP server on the admin addresses of the node.

    Parameters
    ----------
    settings : Settings
        Listening addresses and header size limit.
    node : NodeQueries
        Answers the queries about the node.
    announcements : Announcements
        Targets of the host.
    events : EventLog
        Event log, served by ``GET /events``.
    metrics : Metrics
        Metrics, served by ``GET /metrics``.
    persist_departures : callable, optional
        Stores the departures of targets where they survive a restart of this process, and returns
        whether that succeeded. A target that leaves gets its reply only after that.
    """

    def __init__(
        self,
        settings: Settings,
        node: NodeQueries,
        announcements: Announcements,
        events: EventLog,
        metrics: Metrics,
        persist_departures: Callable[[], Awaitable[bool]] | None = None,
    ) -> None:
        self._settings = settings
        self._node = node
        self._announcements = announcements
        self._events = events
        self._metrics = metrics
        self._persist_departures = persist_departures
        self._server: asyncio.Server | None = None
        self._extra_servers: list[asyncio.Server] = []
        self._connections: set[asyncio.Task[None]] = set()
        self._fleet_cache = _FleetCache(node.fleet)
        # By first path segment and number of segments, then by method.
        self._handlers_by_path: Mapping[tuple[str, int], Mapping[str, Handler]] = {
            ("targets", 1): {"GET": self._list_targets},
            ("targets", 2): {"PUT": self._put_target, "DELETE": self._delete_target},
            ("metrics", 1): {"GET": self._get_metrics},
            ("healthz", 1): {"GET": self._get_health},
            ("readyz", 1): {"GET": self._get_readiness},
            ("status", 1): {"GET": self._get_status},
            ("fleet", 1): {"GET": self._get_fleet},
            ("explain", 2): {"GET": self._get_explanation},
            ("explain-request", 1): {"GET": self._get_request_explanation},
            ("events", 1): {"GET": self._get_events},
            ("drain", 1): {"POST": self._post_drain},
        }

    @property
    def address(self) -> Address:
        """Main listening address; port 0 in the settings is replaced once the socket is bound."""
        if self._server is None:
            return self._settings.listen_admin
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def bind(self) -> None:
        """Bind the admin addresses without accepting connections yet."""
        self._server = await self._create_server(self._settings.listen_admin)
        for extra in (self._settings.listen_targets, self._settings.listen_ready):
            if extra is not None:
                self._extra_servers.append(await self._create_server(extra))

    async def start(self) -> None:
        """Accept connections on the admin addresses."""
        if self._server is None:
            await self.bind()
        assert self._server is not None
        for server in (self._server, *self._extra_servers):
            await server.start_serving()

    async def _create_server(self, address: Address) -> asyncio.Server:
        return await asyncio.start_server(
            self._accept, address.host, address.port, start_serving=False
        )

    async def close(self) -> None:
        """Close the listening sockets and all connections."""
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for extra in self._extra_servers:
            extra.close()
        self._extra_servers.clear()
        self._fleet_cache.close()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def handle(self, request: Request) -> Reply:
        """Return the reply to `request`; an exception in a handler becomes an error reply."""
        handlers = self._handlers_by_path.get((request.path[0], len(request.path)))
        if handlers is None:
            return error_reply(ErrorKind.NOT_FOUND)
        handler = handlers.get(request.method)
        if handler is None:
            return error_reply(ErrorKind.METHOD_NOT_ALLOWED, allow=", ".join(handlers))
        try:
            return await handler(request)
        except Exception:
            log.exception(EventName.ADMIN_REQUEST_FAILED, path="/".join(request.path))
            return error_reply(ErrorKind.INTERNAL)

    async def _list_targets(self, request: Request) -> Reply:
        return json_reply({"targets": self._announcements.targets})

    async def _put_target(self, request: Request) -> Reply:
        message = Announce(request.path[1], request.body, time.monotonic())
        reply = self._announcements.handle(message)
        if not isinstance(reply, TargetAccepted):
            return self._refusal_reply(reply)
        if (
            reply.target.state is TargetState.DRAINING
            and not await self._ensure_departures_persisted()
        ):
            return error_reply(ErrorKind.NOT_READY, "the departure could not be kept")
        return json_reply({"target": reply.target})

    async def _delete_target(self, request: Request) -> Reply:
        withdrawal = Withdraw(request.path[1], time.monotonic(), parse_withdrawal(request.body))
        reply = self._announcements.handle(withdrawal)
        if isinstance(reply, AnnouncementRefused):
            return self._refusal_reply(reply)
        if not await self._ensure_departures_persisted():
            return error_reply(ErrorKind.NOT_READY, "the departure could not be kept")
        return json_reply({"targets": self._announcements.targets})

    async def _ensure_departures_persisted(self) -> bool:
        if self._persist_departures is None or not self._announcements.departures:
            return True
        return await self._persist_departures()

    def _refusal_reply(self, reply: object) -> Reply:
        if isinstance(reply, AnnouncementRefused):
            return error_reply(reply.kind, reply.reason)
        return error_reply(ErrorKind.INTERNAL)

    async def _get_metrics(self, request: Request) -> Reply:
        return Reply(HTTPStatus.OK, await self._metrics.render(), CONTENT_TYPE)

    async def _get_health(self, request: Request) -> Reply:
        return json_reply({"status": "ok"})

    async def _get_readiness(self, request: Request) -> Reply:
        readiness = self._node.readiness()
        if readiness.ready:
            return json_reply({"status": "ready"})
        return error_reply(ErrorKind.NOT_READY, readiness.reason)

    async def _get_status(self, request: Request) -> Reply:
        return json_reply(self._node.status())

    async def _get_fleet(self, request: Request) -> Reply:
        try:
            return json_reply(await self._fleet_cache.get())
        except TimeoutError:
            return error_reply(ErrorKind.DEADLINE_EXCEEDED, "the fleet did not answer in time")

    async def _get_explanation(self, request: Request) -> Reply:
        explanation = self._node.explain(request.path[1])
        if explanation is None:
            return error_reply(ErrorKind.UNKNOWN_SERVICE)
        return json_reply(explanation)

    async def _get_request_explanation(self, request: Request) -> Reply:
        given = {name: request.query.get(name, "") for name in ("host", "path")}
        if not given["host"] or not given["path"].startswith("/"):
            return error_reply(ErrorKind.BAD_REQUEST, "host and path are required")
        query = RequestQuery(
            given["host"],
            given["path"],
            request.query.get("method", "GET"),
            request.query.get("workspace", ""),
        )
        return json_reply(self._node.explain_request(query))

    async def _get_events(self, request: Request) -> Reply:
        text = request.query.get("limit", str(DEFAULT_EVENT_LIMIT))
        if not text.isdecimal() or not 1 <= int(text) <= MAX_EVENT_LIMIT:
            reason = f"limit must be between 1 and {MAX_EVENT_LIMIT}"
            return error_reply(ErrorKind.BAD_REQUEST, reason)
        events = self._events.newest(int(text), request.query.get("name"))
        return json_reply({"events": events, "dropped": self._events.dropped})

    async def _post_drain(self, request: Request) -> Reply:
        self._node.drain()
        return json_reply({"targets": self._announcements.targets}, HTTPStatus.ACCEPTED)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            writer.close()
            return
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await _Connection(reader, writer, self._settings.header_limit_bytes, self).serve()
        except asyncio.CancelledError:
            pass  # asyncio streams in Python 3.11 log a traceback for a cancelled connection task
        finally:
            await _close_writer(writer)
            self._connections.discard(task)


async def _close_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection; abort it if the peer does not read the remaining data in time.

    It is also aborted when the task of the connection is cancelled meanwhile. The task ends anyway,
    and asyncio streams in Python 3.11 log a traceback for one that ends by its cancellation.
    """
    writer.close()
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await writer.wait_closed()
    except (TimeoutError, ConnectionError, asyncio.CancelledError):
        writer.transport.abort()


class _FleetCache:
    """Caches the fleet report for `FLEET_REPORT_MAX_AGE_S`; requests share one collection."""

    def __init__(self, collect: Callable[[], Awaitable[FleetReport]]) -> None:
        self._collect = collect
        self._task: asyncio.Task[FleetReport] | None = None
        self._started_at = 0.0

    async def get(self) -> FleetReport:
        """Return the current report; collect a new one if the last is too old or failed."""
        now = time.monotonic()
        if self._task is None or self._is_stale(self._task, now):
            self._task = asyncio.create_task(self._run())
            self._started_at = now
        return await asyncio.shield(self._task)

    def close(self) -> None:
        """Cancel a running collection."""
        if self._task is not None:
            self._task.cancel()

    def _is_stale(self, task: asyncio.Task[FleetReport], now: float) -> bool:
        if not task.done():
            return False
        failed = task.cancelled() or task.exception() is not None
        return failed or now - self._started_at > FLEET_REPORT_MAX_AGE_S

    async def _run(self) -> FleetReport:
        async with asyncio.timeout(FLEET_TIMEOUT_S):
            return await self._collect()


class _Connection:
    """Reads requests from one connection and replies to them until it is closed or idle."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        header_limit_bytes: int,
        server: AdminServer,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._server = server
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=header_limit_bytes)

    async def serve(self) -> None:
        """Answer requests in sequence."""
        try:
            while await self._serve_one():
                self._http.start_next_cycle()
        except h11.RemoteProtocolError as error:
            await self._refuse(_error_kind(error), str(error))
        except TimeoutError:
            if self._is_idle():
                return
            await self._refuse(ErrorKind.BODY_TOO_SLOW, "the request did not arrive in time")
        except ConnectionError:
            return

    def _is_idle(self) -> bool:
        """Return whether no byte of another request has arrived."""
        return self._http.their_state is h11.IDLE and not self._http.trailing_data[0]

    async def _serve_one(self) -> bool:
        """Answer one request; return whether the connection can be used again."""
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            head = await self._next_event()
        if not isinstance(head, h11.Request):
            return False
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            body = await self._read_body()
        reply = await self._reply_to(head, body)
        await self._send(reply, head.method != b"HEAD")
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _reply_to(self, head: h11.Request, body: bytes | None) -> Reply:
        if body is None:
            return error_reply(
                ErrorKind.BAD_REQUEST, f"the body is larger than {MAX_BODY_BYTES} bytes"
            )
        try:
            request = parse_request(head, body)
        except ValueError as error:
            return error_reply(ErrorKind.BAD_REQUEST, str(error))
        return await self._server.handle(request)

    async def _read_body(self) -> bytes | None:
        """Return the whole body, or None if it is larger than `MAX_BODY_BYTES`."""
        if self._http.they_are_waiting_for_100_continue:
            await self._write(
                self._http.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Data):
                return b"".join(chunks)
            size += len(event.data)
            if size > MAX_BODY_BYTES:
                return None
            chunks.append(bytes(event.data))

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._reader.read(READ_CHUNK_BYTES)
            await asyncio.sleep(0)  # a read returns at once while input is buffered
            self._http.receive_data(data)

    async def _refuse(self, kind: ErrorKind, reason: str) -> None:
        """Send an error reply unless a response has already been started."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        try:
            await self._send(error_reply(kind, reason), True)
        except (h11.LocalProtocolError, ConnectionError):
            return

    async def _send(self, reply: Reply, with_body: bool) -> None:
        headers = [("content-type", reply.content_type), ("content-length", str(len(reply.body)))]
        if reply.error is not None:
            answer = ANSWER_BY_KIND[reply.error]
            headers.append(("x-jaypost-error", reply.error.value))
            headers.append(("x-jaypost-run", answer.run_state.value))
        if reply.allow:
            headers.append(("allow", reply.allow))
        response = h11.Response(status_code=reply.status.value, headers=headers)
        data = self._http.send(response) or b""
        if with_body:
            data += self._http.send(h11.Data(data=reply.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._write(data)

    async def _write(self, data: bytes | None) -> None:
        self._writer.write(data or b"")
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            await self._writer.drain()


def parse_request(head: h11.Request, body: bytes) -> Request:
    """Split the request target into path segments and query.

    Raises
    ------
    ValueError
        If the request target is not a path, or is not a valid URL.
    """
    parts = urlsplit(head.target.decode("ascii"))
    if not parts.path.startswith("/"):
        raise ValueError("the request target must be a path")
    path = tuple(unquote(segment) for segment in parts.path[1:].split("/"))
    query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    return Request(head.method.decode("ascii"), path, query, body)


def _error_kind(error: h11.RemoteProtocolError) -> ErrorKind:
    if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        return ErrorKind.HEADERS_TOO_LARGE
    return ErrorKind.BAD_REQUEST
