"""Parts of HTTP messages as typed events, and the rules for their heads.

The rules are checked here and not in the libraries that decode, so that the codecs of all of them
accept exactly the same input.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from jaypost.errors import ErrorKind

Header = tuple[bytes, bytes]

METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE"})

_CONTROL_HEADERS = frozenset({b"host", b"x-request-id", b"idempotency-key"})
_CONTROL_PREFIX = b"x-jaypost-"


@dataclass(frozen=True, slots=True)
class HeaderDialect:
    """Other names for jaypost's control headers, on connections of callers or of targets.

    Headers that begin with ``x-jaypost-`` are ignored when they arrive on such a connection.

    Parameters
    ----------
    name_by_wire : Mapping[bytes, bytes]
        jaypost's names of the control headers by their names on the wire, in lower case. Control
        headers without an entry are not sent.
    dropped : frozenset of bytes
        Names on the wire of headers that are ignored when they arrive.
    parse_by_wire : Mapping[bytes, callable]
        Functions that convert the value of a header on the wire to the value that jaypost reads,
        by name on the wire.
    passed_on : frozenset of bytes
        Names on the wire of control headers that are forwarded as well.
    """

    name_by_wire: Mapping[bytes, bytes]
    dropped: frozenset[bytes] = frozenset()
    parse_by_wire: Mapping[bytes, Callable[[bytes], bytes]] = field(default_factory=dict)
    passed_on: frozenset[bytes] = frozenset()

    def encode(self, control: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
        """Return the control headers that have a name on the wire, by that name."""
        return {wire: control[name] for wire, name in self.name_by_wire.items() if name in control}


# Hop-by-hop headers (RFC 9110, 7.6.1). The codec reads or drops them; they are never part of
# `RequestHead.headers` or `ResponseHead.headers`.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"http2-settings",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_PATH_PATTERN = re.compile(r"/[!-~]*")
_LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
_HOST_PATTERN = re.compile(rb"[A-Za-z0-9._~:\[\]%-]*")
BODYLESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers of a request.

    Parameters
    ----------
    method : str
        One of `METHODS`.
    target : str
        Request target as sent.
    control : dict of bytes to bytes
        Control headers, which jaypost itself reads: host, x-request-id, idempotency-key and
        x-jaypost-*. A head that repeats one of them is refused.
    headers : list of Header
        All other end-to-end headers, with names in lower case.
    content_length : int or None
        Length of the body in bytes, if the head has a ``Content-Length``.
    chunked : bool
        Whether the body is sent with chunked transfer coding.
    keep_alive : bool
        Whether the sender keeps the connection open.
    expect_continue : bool
        Whether the sender waits for ``100 Continue`` before the body.
    http_1_0 : bool
        Whether the sender uses HTTP/1.0 and therefore cannot read a chunked response.
    """

    method: str
    target: str
    control: dict[bytes, bytes]
    headers: list[Header]
    content_length: int | None = None
    chunked: bool = False
    keep_alive: bool = True
    expect_continue: bool = False
    http_1_0: bool = False

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        return self.chunked or bool(self.content_length)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    `control`, `headers`, `content_length`, `chunked` and `keep_alive` are as in `RequestHead`. A
    received response without a length and without chunks ends when its connection is closed. The
    server codec sends such a response in chunks if the client can read them.
    """

    status: int
    control: dict[bytes, bytes]
    headers: list[Header]
    content_length: int | None = None
    chunked: bool = False
    keep_alive: bool = True


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of a body, without chunk framing."""

    data: bytes


@dataclass(frozen=True, slots=True)
class MessageEnd:
    """The message is complete."""


@dataclass(frozen=True, slots=True)
class ContinueReceived:
    """The server sent ``100 Continue`` or another informational response."""


@dataclass(frozen=True, slots=True)
class ProtocolFault:
    """The other side violated the protocol; the codec decodes no further input."""

    kind: ErrorKind
    reason: str


Event = RequestHead | ResponseHead | BodyChunk | MessageEnd | ContinueReceived | ProtocolFault

MESSAGE_END = MessageEnd()
CONTINUE_RECEIVED = ContinueReceived()


class ProtocolFaultError(Exception):
    """Carries a `ProtocolFault` from the parsing functions to `Codec.receive`."""

    def __init__(self, reason: str, kind: ErrorKind = ErrorKind.BAD_REQUEST) -> None:
        super().__init__(reason)
        self.fault = ProtocolFault(kind, reason)


@dataclass(slots=True)
class _ParsedHeaders:
    """Control headers, end-to-end headers and the values of the hop-by-hop headers."""

    control: dict[bytes, bytes]
    headers: list[Header]
    content_length: int | None
    chunked: bool
    keep_alive: bool
    expect_continue: bool


def _translate_headers(raw: Iterable[Header], dialect: HeaderDialect) -> Iterator[Header]:
    seen: set[bytes] = set()
    for name, value in raw:
        own = dialect.name_by_wire.get(name)
        if name in dialect.passed_on:
            yield name, value
            if name in seen:  # one that is forwarded may be repeated, the first counts
                continue
            seen.add(name)
        if own is not None:
            parse = dialect.parse_by_wire.get(name)
            yield own, parse(value) if parse is not None else value
        elif name not in dialect.dropped and not name.startswith(_CONTROL_PREFIX):
            yield name, value


def _parse_headers(
    raw: Iterable[Header], http_1_0: bool, dialect: HeaderDialect | None
) -> _ParsedHeaders:
    control: dict[bytes, bytes] = {}
    headers: list[Header] = []
    hop_by_hop: dict[bytes, bytes] = {}
    if dialect is not None:
        raw = _translate_headers(raw, dialect)
    for name, value in raw:
        if name in _HOP_BY_HOP_HEADERS:
            if name in hop_by_hop:
                if name in (b"content-length", b"transfer-encoding", b"expect"):
                    raise ProtocolFaultError(f"header {name.decode()} is repeated")
                value = hop_by_hop[name] + b", " + value
            hop_by_hop[name] = value
        elif name in _CONTROL_HEADERS or name.startswith(_CONTROL_PREFIX):
            if name in control:
                raise ProtocolFaultError(f"header {name.decode()} is repeated")
            control[name] = value
        else:
            headers.append((name, value))
    if not hop_by_hop:
        return _ParsedHeaders(control, headers, None, False, not http_1_0, False)
    connection_options = {
        part.strip() for part in hop_by_hop.get(b"connection", b"").lower().split(b",")
    }
    # A header that Connection lists is hop-by-hop. Control headers are kept even if they are
    # listed, because a caller could otherwise remove those that the previous node added.
    listed = connection_options - {b"close", b"keep-alive", b"upgrade", b""}
    if listed:
        headers = [header for header in headers if header[0] not in listed]
    return _ParsedHeaders(
        control,
        headers,
        _content_length(hop_by_hop),
        _is_chunked(hop_by_hop, http_1_0),
        (b"keep-alive" in connection_options) if http_1_0 else (b"close" not in connection_options),
        _expects_continue(hop_by_hop),
    )


def _content_length(hop_by_hop: dict[bytes, bytes]) -> int | None:
    value = hop_by_hop.get(b"content-length")
    if value is None:
        return None
    if b"transfer-encoding" in hop_by_hop:
        raise ProtocolFaultError("content-length and transfer-encoding are both given")
    if not _LENGTH_PATTERN.fullmatch(value):
        raise ProtocolFaultError("content-length is not a single decimal number")
    return int(value)


def _is_chunked(hop_by_hop: dict[bytes, bytes], http_1_0: bool) -> bool:
    value = hop_by_hop.get(b"transfer-encoding")
    if value is None:
        return False
    if http_1_0:
        raise ProtocolFaultError("transfer-encoding is not part of HTTP/1.0")
    if value.lower() != b"chunked":
        raise ProtocolFaultError("transfer-encoding is not chunked")
    return True


def _expects_continue(hop_by_hop: dict[bytes, bytes]) -> bool:
    value = hop_by_hop.get(b"expect")
    if value is None:
        return False
    if value.lower() != b"100-continue":
        raise ProtocolFaultError("expect is not 100-continue")
    return True


def _is_http_1_0(version: str) -> bool:
    if version not in ("1.0", "1.1"):
        raise ProtocolFaultError(f"HTTP version {version} is not supported")
    return version == "1.0"


def build_request(
    method: str,
    target: bytes,
    version: str,
    raw: Iterable[Header],
    dialect: HeaderDialect | None,
) -> RequestHead:
    """Return the head of a request from its request line and headers.

    Raises
    ------
    ProtocolFaultError
        If the head breaks a rule of the protocol or of this module.
    """
    if method not in METHODS:
        raise ProtocolFaultError(f"method {method[:20]!r} is not supported")
    text = target.decode("latin-1")
    if not _PATH_PATTERN.fullmatch(text) and (method, text) != ("OPTIONS", "*"):
        raise ProtocolFaultError("the request target is not a path")
    http_1_0 = _is_http_1_0(version)
    parsed = _parse_headers(raw, http_1_0, dialect)
    host = parsed.control.get(b"host")
    if host is None and not http_1_0:
        raise ProtocolFaultError("header host is missing")
    if host is not None and not _HOST_PATTERN.fullmatch(host):
        raise ProtocolFaultError("header host is not a host name")
    return RequestHead(
        method,
        text,
        parsed.control,
        parsed.headers,
        parsed.content_length,
        parsed.chunked,
        parsed.keep_alive,
        parsed.expect_continue and not http_1_0,
        http_1_0,
    )


def build_response(
    status: int, version: str, raw: Iterable[Header], dialect: HeaderDialect | None
) -> ResponseHead:
    """Return the head of a response from its status line and headers.

    Raises
    ------
    ProtocolFaultError
        If the head breaks a rule of the protocol or of this module.
    """
    if not 100 <= status <= 599:
        raise ProtocolFaultError(f"status {status} is out of range")
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise ProtocolFaultError("the server switched protocols without a request to do so")
    parsed = _parse_headers(raw, _is_http_1_0(version), dialect)
    return ResponseHead(
        status,
        parsed.control,
        parsed.headers,
        parsed.content_length,
        parsed.chunked,
        parsed.keep_alive,
    )


def check_lines(head: bytes) -> None:
    """Check the line ends of a head.

    Raises
    ------
    ProtocolFaultError
        If a line does not end with CRLF, or a header is folded.
    """
    lines = head.count(b"\r\n")
    if head.count(b"\n") != lines or head.count(b"\r") != lines:
        raise ProtocolFaultError("a line does not end with CRLF")
    if b"\n " in head or b"\n\t" in head:
        raise ProtocolFaultError("a header is folded over several lines")
