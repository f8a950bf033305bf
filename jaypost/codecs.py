"""HTTP/1.1 codecs that use h11 or httptools to convert between bytes and typed events.

The rules for where a message ends are checked here, before and after the library is called, so that
both libraries accept exactly the same input. The httptools codecs keep bytes that follow a message
as the start of the next one, unless the message was chunked. In all other cases `has_excess_bytes`
reports such bytes, and the owner of the codec closes the connection after its response.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from enum import Enum, auto
from functools import lru_cache
from http import HTTPStatus

import h11
import httptools

from jaypost.errors import ErrorKind
from jaypost.http_messages import (
    BODYLESS_STATUSES,
    CONTINUE_RECEIVED,
    MESSAGE_END,
    BodyChunk,
    Event,
    Header,
    HeaderDialect,
    ProtocolFault,
    ProtocolFaultError,
    RequestHead,
    ResponseHead,
    build_request,
    build_response,
    check_lines,
)
from jaypost.intake.framing import MAX_EXCESS_BYTES, FramingMeter
from jaypost.settings import HttpCodec


class _Phase(Enum):
    HEAD = auto()
    BODY = auto()
    DONE = auto()
    FAILED = auto()


class Codec(ABC):
    """Protocol state of one side of an HTTP connection, without any I/O.

    Parameters
    ----------
    header_limit_bytes : int
        Largest size in bytes of a head, of the interim responses and empty lines before it, and of
        chunk framing (extensions and trailers) that arrives without body data in between.
    dialect : HeaderDialect, optional
        Header names on this connection; None for jaypost's own names.

    Attributes
    ----------
    has_excess_bytes : bool
        Whether bytes followed the end of a message and were not kept for the next one.
    closing : bool
        Whether either side announced that the connection closes after this exchange.
    unframed : bool
        Whether the response that is sent has neither a length nor chunks, so that only a reset of
        the connection shows that it is truncated.
    sequential : bool
        Whether the response to a request must be encoded before the next request is decoded.
    """

    sequential = False
    # Largest size of chunk framing out of proportion to the content; None for no limit.
    _max_excess_framing_bytes: int | None = None

    __slots__ = (
        "_buffer",
        "_dialect",
        "_following",
        "_framing",
        "_header_limit_bytes",
        "_phase",
        "closing",
        "has_excess_bytes",
        "unframed",
    )

    def __init__(self, header_limit_bytes: int, dialect: HeaderDialect | None = None) -> None:
        self._header_limit_bytes = header_limit_bytes
        self._dialect = dialect
        self._buffer = b""
        self._following = b""
        self._phase = _Phase.HEAD
        self._framing = FramingMeter(header_limit_bytes, self._max_excess_framing_bytes)
        self.has_excess_bytes = False
        self.closing = False
        self.unframed = False

    def receive(self, data: bytes) -> list[Event]:
        """Decode received bytes into events; a `ProtocolFault` is always the last one."""
        events: list[Event] = []
        try:
            self._decode(data, events)
        except ProtocolFaultError as error:
            self._phase = _Phase.FAILED
            events.append(error.fault)
        return events

    def receive_eof(self) -> list[Event]:
        """Decode the end of the stream into events."""
        if self._phase is _Phase.BODY:
            if self._ends_with_connection():
                self._phase = _Phase.DONE
                return [MESSAGE_END]
            self._phase = _Phase.FAILED
            return [ProtocolFault(ErrorKind.ANSWER_CUT, "the connection ended inside a body")]
        if self._phase is _Phase.HEAD and self._buffer:
            self._phase = _Phase.FAILED
            return [ProtocolFault(ErrorKind.BAD_REQUEST, "the connection ended inside a head")]
        return []

    @property
    def framing_bytes(self) -> int:
        """Bytes received so far that carried neither content nor the head of a message."""
        return self._framing.total_bytes

    @property
    def head_pending(self) -> bool:
        """Whether a part of a head, but not the whole head, was received."""
        return self._phase is _Phase.HEAD and bool(self._buffer)

    @property
    def message_done(self) -> bool:
        """Whether the whole message of the other side was received."""
        return self._phase is _Phase.DONE

    @property
    def has_following_bytes(self) -> bool:
        """Whether bytes that follow the message were kept for the next one."""
        return bool(self._following)

    def next_message(self) -> None:
        """Prepare for the next message after this one is complete.

        The next call of `receive` also decodes the bytes that were kept; its data may be empty.
        """
        self._phase = _Phase.HEAD
        self._framing.start_part()
        self._buffer, self._following = self._following, b""

    def _decode(self, data: bytes, events: list[Event]) -> None:
        while True:
            if self._phase is _Phase.HEAD:
                head, data = self._split_head(data)
                if not head:
                    return
                event = self._parse_head(head)
                if event is CONTINUE_RECEIVED:
                    self._framing.add_preamble(len(head))
                    events.append(event)
                    continue
                events.append(event)
                self._framing.start_part()
                self._phase = _Phase.BODY
            elif self._phase is _Phase.BODY:
                self._decode_body(data, events)
                return
            else:
                self._handle_following_bytes(data)
                return

    def _handle_following_bytes(self, data: bytes) -> None:
        """Drop bytes that follow the message; a subclass may keep them for the next one."""
        self.has_excess_bytes = self.has_excess_bytes or bool(data)

    def _encode_control(self, control: dict[bytes, bytes]) -> Mapping[bytes, bytes]:
        return control if self._dialect is None else self._dialect.encode(control)

    def _split_head(self, data: bytes) -> tuple[bytes, bytes]:
        if self._buffer:
            data = self._buffer + data
        if not data:
            return b"", b""
        if data.startswith(b"\r\n"):
            data = data[2:]  # an empty line before a message is ignored (RFC 9112, 2.2)
            self._framing.add_preamble(2)
        end = data.find(b"\r\n\r\n")
        if (end if end >= 0 else len(data)) > self._header_limit_bytes:
            raise ProtocolFaultError("the head is too large", ErrorKind.HEADERS_TOO_LARGE)
        if end < 0:
            check_lines(data.removesuffix(b"\r"))
            self._buffer = data
            return b"", b""
        self._buffer = b""
        head = data[: end + 4]
        check_lines(head)
        return head, data[end + 4 :]

    @abstractmethod
    def _parse_head(self, head: bytes) -> Event: ...

    @abstractmethod
    def _decode_body(self, data: bytes, events: list[Event]) -> None: ...

    @abstractmethod
    def _ends_with_connection(self) -> bool: ...

    @abstractmethod
    def encode_body(self, data: bytes) -> bytes:
        """Encode a part of the body."""

    @abstractmethod
    def encode_end(self) -> bytes:
        """Encode the end of the message; empty unless the body is chunked."""


class ServerCodec(Codec):
    """Server side: decodes requests and encodes responses."""

    __slots__ = ()

    @abstractmethod
    def encode_response(self, head: ResponseHead, request: RequestHead | None) -> bytes:
        """Encode the head of a response to `request`.

        `request` is None when its head could not be decoded; the connection then closes after the
        response.
        """

    def encode_continue(self) -> bytes:
        """Encode ``100 Continue``, which asks for the body of the request."""
        return b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientCodec(Codec):
    """Client side: encodes requests and decodes responses."""

    _max_excess_framing_bytes = MAX_EXCESS_BYTES

    __slots__ = ()

    @abstractmethod
    def encode_request(self, head: RequestHead) -> bytes:
        """Encode the head of a request."""


# httptools


class _ChunkDecoder:
    """Decodes a chunked body.

    Its parser is first fed a fixed request head, so that it takes all further input as a chunked
    body.
    """

    __slots__ = ("_parser", "content", "ended", "has_excess_bytes")

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self.ended = False
        self.has_excess_bytes = False
        self.content: list[bytes] = []
        self._parser.feed_data(b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n")

    def on_message_begin(self) -> None:
        # Bytes that follow the body begin a second message.
        self.has_excess_bytes = self.ended

    def on_body(self, data: bytes) -> None:
        if not self.ended:
            self.content.append(data)

    def on_message_complete(self) -> None:
        self.ended = True

    def feed(self, data: bytes) -> list[bytes]:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.ended:
                raise ProtocolFaultError(f"malformed chunk: {error}") from None
            self.has_excess_bytes = True
        content, self.content = self.content, []
        return content


class _HttptoolsCodec(Codec):
    """Framing shared by both sides of the httptools implementation."""

    __slots__ = ("_chunk_decoder", "_chunked_output", "_remaining_bytes")

    def __init__(self, header_limit_bytes: int, dialect: HeaderDialect | None = None) -> None:
        super().__init__(header_limit_bytes, dialect)
        # Bytes of the body still to be received; None if the body ends with the connection.
        self._remaining_bytes: int | None = 0
        self._chunk_decoder: _ChunkDecoder | None = None
        self._chunked_output = False

    def _expect_body(self, length: int | None, chunked: bool) -> None:
        self._remaining_bytes = length
        self._chunk_decoder = _ChunkDecoder() if chunked else None

    def _ends_with_connection(self) -> bool:
        return self._chunk_decoder is None and self._remaining_bytes is None

    def _decode_body(self, data: bytes, events: list[Event]) -> None:
        if self._chunk_decoder is not None:
            self._decode_chunks(self._chunk_decoder, data, events)
            return
        if self._remaining_bytes is None:
            if data:
                events.append(BodyChunk(data))
            return
        if len(data) > self._remaining_bytes:
            self._handle_following_bytes(data[self._remaining_bytes :])
            data = data[: self._remaining_bytes]
        if data:
            self._remaining_bytes -= len(data)
            events.append(BodyChunk(data))
        if not self._remaining_bytes:
            self._phase = _Phase.DONE
            events.append(MESSAGE_END)

    def _handle_following_bytes(self, data: bytes) -> None:
        if self._chunk_decoder is not None:
            super()._handle_following_bytes(data)
        else:
            self._following += data

    def _decode_chunks(self, chunks: _ChunkDecoder, data: bytes, events: list[Event]) -> None:
        content = b"".join(chunks.feed(data))
        if content:
            events.append(BodyChunk(content))
        if chunks.ended:
            self.has_excess_bytes = self.has_excess_bytes or chunks.has_excess_bytes
            self._phase = _Phase.DONE
            events.append(MESSAGE_END)
        self._framing.add_body(len(data), len(content), chunks.ended)

    def encode_body(self, data: bytes) -> bytes:
        if self._chunked_output and data:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def encode_end(self) -> bytes:
        return b"0\r\n\r\n" if self._chunked_output else b""


class _HeadCollector:
    """Callbacks that collect the request target and the headers from a parser."""

    __slots__ = ("headers", "url")

    def __init__(self) -> None:
        self.url = b""
        self.headers: list[Header] = []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))


@lru_cache(maxsize=600)
def _status_line(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


def _encode_head(
    first_line: bytes,
    control: Mapping[bytes, bytes],
    headers: list[Header],
    framing: bytes,
    closing: bool,
) -> bytes:
    parts = [first_line]
    parts += [b"%b: %b\r\n" % header for header in control.items()]
    parts += [b"%b: %b\r\n" % header for header in headers]
    parts.append(framing)
    parts.append(b"connection: close\r\n\r\n" if closing else b"\r\n")
    return b"".join(parts)


class HttptoolsServerCodec(_HttptoolsCodec, ServerCodec):
    """Server side, implemented with httptools."""

    __slots__ = ()

    def _parse_head(self, head: bytes) -> Event:
        collector = _HeadCollector()
        parser = httptools.HttpRequestParser(collector)
        try:
            parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            pass  # a server may ignore an upgrade request
        except httptools.HttpParserError as error:
            raise ProtocolFaultError(f"malformed request: {error}") from None
        method = parser.get_method().decode("latin-1")
        request = build_request(
            method, collector.url, parser.get_http_version(), collector.headers, self._dialect
        )
        self._expect_body(request.content_length or 0, request.chunked)
        return request

    def encode_response(self, head: ResponseHead, request: RequestHead | None) -> bytes:
        """Encode the head of a response."""
        closing = not head.keep_alive or request is None or not request.keep_alive
        self._chunked_output = False
        framing = b""
        if head.content_length is not None:
            framing = b"content-length: %d\r\n" % head.content_length
        elif head.status in BODYLESS_STATUSES:
            pass
        elif request is not None and not request.http_1_0:
            self._chunked_output = request.method != "HEAD"
            framing = b"transfer-encoding: chunked\r\n"
        else:
            closing = self.unframed = True
        self.closing = closing
        control = self._encode_control(head.control)
        return _encode_head(_status_line(head.status), control, head.headers, framing, closing)


class HttptoolsClientCodec(_HttptoolsCodec, ClientCodec):
    """Client side, implemented with httptools."""

    __slots__ = ("_method",)

    def __init__(self, header_limit_bytes: int, dialect: HeaderDialect | None = None) -> None:
        super().__init__(header_limit_bytes, dialect)
        self._method = ""

    def _parse_head(self, head: bytes) -> Event:
        collector = _HeadCollector()
        parser = httptools.HttpResponseParser(collector)
        try:
            parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            raise ProtocolFaultError(
                "the server switched protocols without a request to do so"
            ) from None
        except httptools.HttpParserError as error:
            raise ProtocolFaultError(f"malformed response: {error}") from None
        response = build_response(
            parser.get_status_code(), parser.get_http_version(), collector.headers, self._dialect
        )
        if response.status < HTTPStatus.OK:
            return CONTINUE_RECEIVED
        self.closing = self.closing or not response.keep_alive
        bodyless = self._method == "HEAD" or response.status in BODYLESS_STATUSES
        self._expect_body(
            0 if bodyless else response.content_length, response.chunked and not bodyless
        )
        return response

    def encode_request(self, head: RequestHead) -> bytes:
        """Encode the head of a request."""
        self._method = head.method
        self._chunked_output = head.chunked
        framing = b""
        if head.chunked:
            framing = b"transfer-encoding: chunked\r\n"
        elif head.content_length is not None:
            framing = b"content-length: %d\r\n" % head.content_length
        if head.expect_continue:
            framing += b"expect: 100-continue\r\n"
        first_line = f"{head.method} {head.target} HTTP/1.1\r\n".encode("latin-1")
        control = self._encode_control(head.control)
        return _encode_head(first_line, control, head.headers, framing, not head.keep_alive)


# h11


class _H11Codec(Codec):
    """Framing shared by both sides of the h11 implementation."""

    sequential = True

    __slots__ = ("_body_ends_at_close", "_connection")

    _role: type[h11.CLIENT] | type[h11.SERVER]

    def __init__(self, header_limit_bytes: int, dialect: HeaderDialect | None = None) -> None:
        super().__init__(header_limit_bytes, dialect)
        self._connection = self._new_connection()
        self._body_ends_at_close = False

    def _new_connection(self) -> h11.Connection:
        # `_split_head` limits the size of a head before h11 sees it. The limit of h11 is larger, so
        # that it has no effect on heads.
        return h11.Connection(self._role, max_incomplete_event_size=2 * self._header_limit_bytes)

    def _ends_with_connection(self) -> bool:
        return self._body_ends_at_close

    def _feed_head(self, head: bytes) -> h11.Event:
        lowered = head.lower()
        # h11 merges repeated or listed lengths into one, so they must be checked before.
        if lowered.count(b"\r\ncontent-length:") > 1:
            raise ProtocolFaultError("header content-length is repeated")
        for line in lowered.split(b"\r\n"):
            if line.startswith(b"content-length:") and b"," in line:
                raise ProtocolFaultError("content-length is not a single decimal number")
        try:
            self._connection.receive_data(head)
            event = self._connection.next_event()
        except h11.RemoteProtocolError as error:
            raise ProtocolFaultError(f"malformed head: {error}") from None
        if not isinstance(event, h11.Request | h11.Response | h11.InformationalResponse):
            raise ProtocolFaultError("malformed head")
        return event

    def _decode_body(self, data: bytes, events: list[Event]) -> None:
        parts: list[bytes] = []
        ended = False
        try:
            if data:
                self._connection.receive_data(data)
            while isinstance(event := self._connection.next_event(), h11.Data):
                parts.append(bytes(event.data))
            ended = isinstance(event, h11.EndOfMessage)
        except h11.RemoteProtocolError as error:
            raise ProtocolFaultError(f"malformed body: {error}") from None
        finally:
            content = b"".join(parts)
            if content:
                events.append(BodyChunk(content))
        if ended:
            self.has_excess_bytes = self.has_excess_bytes or bool(self._connection.trailing_data[0])
            self._phase = _Phase.DONE
            events.append(MESSAGE_END)
        self._framing.add_body(len(data), len(content), ended)

    def next_message(self) -> None:
        super().next_message()
        try:
            self._connection.start_next_cycle()
        except h11.LocalProtocolError:
            # Raised unless both sides have completed their message and keep the connection open.
            self._connection = self._new_connection()

    def _encode(self, event: h11.Event) -> bytes:
        return self._connection.send(event) or b""

    def encode_body(self, data: bytes) -> bytes:
        return self._encode(h11.Data(data=data)) if data else b""

    def encode_end(self) -> bytes:
        return self._encode(h11.EndOfMessage())


class H11ServerCodec(_H11Codec, ServerCodec):
    """Server side, implemented with h11."""

    __slots__ = ()

    _role = h11.SERVER

    def _parse_head(self, head: bytes) -> Event:
        event = self._feed_head(head)
        assert isinstance(event, h11.Request)
        return build_request(
            event.method.decode(),
            event.target,
            event.http_version.decode(),
            event.headers,
            self._dialect,
        )

    def encode_response(self, head: ResponseHead, request: RequestHead | None) -> bytes:
        """Encode the head of a response."""
        headers = [*self._encode_control(head.control).items(), *head.headers]
        if head.content_length is not None:
            headers.append((b"content-length", b"%d" % head.content_length))
        elif head.status not in BODYLESS_STATUSES and request is not None:
            if request.http_1_0:
                self.closing = self.unframed = True
            else:
                headers.append((b"transfer-encoding", b"chunked"))
        if not head.keep_alive or request is None or not request.keep_alive:
            self.closing = True
        if self.closing:
            headers.append((b"connection", b"close"))
        reason = _status_line(head.status).split(b" ", 2)[2].strip()
        return self._encode(h11.Response(status_code=head.status, headers=headers, reason=reason))


class H11ClientCodec(_H11Codec, ClientCodec):
    """Client side, implemented with h11."""

    __slots__ = ("_method",)

    _role = h11.CLIENT

    def __init__(self, header_limit_bytes: int, dialect: HeaderDialect | None = None) -> None:
        super().__init__(header_limit_bytes, dialect)
        self._method = ""

    def _parse_head(self, head: bytes) -> Event:
        event = self._feed_head(head)
        assert isinstance(event, h11.Response | h11.InformationalResponse)
        response = build_response(
            event.status_code, event.http_version.decode(), event.headers, self._dialect
        )
        if response.status < HTTPStatus.OK:
            return CONTINUE_RECEIVED
        self.closing = self.closing or not response.keep_alive
        bodyless = self._method == "HEAD" or response.status in BODYLESS_STATUSES
        framed = response.chunked or response.content_length is not None
        self._body_ends_at_close = not bodyless and not framed
        return response

    def encode_request(self, head: RequestHead) -> bytes:
        """Encode the head of a request."""
        self._method = head.method
        headers = [*self._encode_control(head.control).items(), *head.headers]
        if head.chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif head.content_length is not None:
            headers.append((b"content-length", b"%d" % head.content_length))
        if head.expect_continue:
            headers.append((b"expect", b"100-continue"))
        if not head.keep_alive:
            headers.append((b"connection", b"close"))
        return self._encode(h11.Request(method=head.method, target=head.target, headers=headers))


_SERVER_CODECS: dict[HttpCodec, type[ServerCodec]] = {
    HttpCodec.H11: H11ServerCodec,
    HttpCodec.HTTPTOOLS: HttptoolsServerCodec,
}
_CLIENT_CODECS: dict[HttpCodec, type[ClientCodec]] = {
    HttpCodec.H11: H11ClientCodec,
    HttpCodec.HTTPTOOLS: HttptoolsClientCodec,
}


def server_codec(
    library: HttpCodec, header_limit_bytes: int, dialect: HeaderDialect | None = None
) -> ServerCodec:
    """Return a codec for an accepted connection, with the parameters of `Codec`."""
    return _SERVER_CODECS[library](header_limit_bytes, dialect)


def client_codec(
    library: HttpCodec, header_limit_bytes: int, dialect: HeaderDialect | None = None
) -> ClientCodec:
    """Return a codec for an outgoing connection, with the parameters of `Codec`."""
    return _CLIENT_CODECS[library](header_limit_bytes, dialect)
