"""Interfaces between a server connection and the calls that it opens."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from jaypost.calls import ErrorResponse
from jaypost.errors import ErrorKind
from jaypost.http_messages import HeaderDialect, RequestHead, ResponseHead


class BufferPlace(StrEnum):
    """What the buffered part of a response waits for."""

    LINK = "link"
    SOCKET = "socket"
    EARLIER_RESPONSE = "earlier_response"


class CutReason(StrEnum):
    """Why the node closed a connection of a caller before all its requests were answered."""

    RESPONSE_CLOSES = "response_closes"
    RESPONSE_ABORTED = "response_aborted"
    STOPPED = "stopped"


class Responder(ABC):
    """Sends the response of a call; `flush` writes its parts to the socket."""

    __slots__ = ()

    # Whether the request arrives over the link of the host.
    uses_link = True

    @abstractmethod
    def send_head(self, head: ResponseHead) -> None:
        """Send the head of the response."""

    @abstractmethod
    def send_body(self, data: bytes) -> None:
        """Send a part of the response body."""

    @abstractmethod
    def send_end(self) -> None:
        """Send the end of the response."""

    @abstractmethod
    def send_continue(self) -> None:
        """Send ``100 Continue``, which asks for the body of the request."""

    @abstractmethod
    def flush(self) -> None:
        """Write everything that was sent since the last flush to the socket."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection early, so that the receiver sees that the response is truncated."""

    @abstractmethod
    def pause_body(self) -> None:
        """Stop the delivery of the request body."""

    @abstractmethod
    def resume_body(self) -> None:
        """Continue the delivery of the request body."""

    def send_error(self, response: ErrorResponse, head_only: bool = False) -> None:
        """Send a complete response and flush it."""
        self.send_head(response.head)
        if not head_only:
            self.send_body(response.body)
        self.send_end()
        self.flush()


class IncomingCall(ABC):
    """Receives the request of one call and the events of its connection.

    The owner of a call keeps it before it calls `begin`, because the call may ask its responder for
    the body, or pause it, while it begins.
    """

    __slots__ = ()

    @abstractmethod
    def begin(self) -> None:
        """Start the call; it may send the whole response before this returns."""

    @abstractmethod
    def on_body(self, data: bytes) -> None:
        """Receive a part of the request body."""

    @abstractmethod
    def on_body_end(self) -> None:
        """Handle the end of the request."""

    @abstractmethod
    def on_fault(self, kind: ErrorKind) -> None:
        """Handle an error after which the rest of the request cannot be read."""

    @abstractmethod
    def on_disconnect(self) -> None:
        """Handle the loss of the connection to the caller."""

    @abstractmethod
    def on_write_paused(self) -> None:
        """Pause the response, because the connection cannot take more of it now."""

    @abstractmethod
    def on_write_resumed(self) -> None:
        """Resume the response."""


@dataclass(frozen=True, slots=True)
class ConnectionHandlers:
    """Functions that a server connection calls, and the header names that it uses.

    Parameters
    ----------
    open_call : callable
        Returns the call for a `Responder` and a request head. The connection begins it.
    refuse : callable
        Returns the response for an error kind, after input that is not a valid request.
    may_execute_concurrently : callable
        Tells whether a request may be executed before the earlier requests of its connection are
        answered.
    dialect : HeaderDialect or None
        Header names on the connection; None for jaypost's own names.
    """

    open_call: Callable[[Responder, RequestHead], IncomingCall]
    refuse: Callable[[ErrorKind], ErrorResponse]
    may_execute_concurrently: Callable[[RequestHead], bool] = lambda head: False
    dialect: HeaderDialect | None = None
