"""Interfaces between the sender of a request and what carries it to the other side."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from jaypost.errors import ErrorKind
from jaypost.http_messages import ResponseHead
from jaypost.invariants import check


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Outcome of a request that got no complete response.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the failure.
    reached : bool
        Whether the other side may have read any byte of the request.
    """

    kind: ErrorKind
    reached: bool


class Receiver(ABC):
    """Receives the response to one request.

    The first call of `on_end` or `on_failed` ends the response.
    """

    __slots__ = ()

    @abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Receive the head of the response."""

    @abstractmethod
    def on_body(self, data: bytes) -> None:
        """Receive a part of the response body."""

    @abstractmethod
    def on_end(self) -> None:
        """Handle the end of the response."""

    @abstractmethod
    def on_failed(self, failure: CallFailed) -> None:
        """Handle a failure after which no further part of the response follows."""

    def on_started(self) -> None:  # noqa: B027 - optional
        """Handle the writing of the request head; a body may be sent from now on."""

    def on_continue(self) -> None:  # noqa: B027 - optional
        """Handle ``100 Continue``, which asks for the body of the request."""

    def on_batch_end(self) -> None:  # noqa: B027 - optional
        """Flush output; all events that were decoded so far have been delivered."""

    def on_request_write_paused(self) -> None:  # noqa: B027 - optional
        """Pause the request body, because the other side reads it too slowly."""

    def on_request_write_resumed(self) -> None:  # noqa: B027 - optional
        """Resume the request body."""


class Exchange(ABC):
    """A request in progress, as its sender controls it.

    Attributes
    ----------
    sent_body_bytes : int
        Bytes of the request body that were passed on to the other side.
    """

    __slots__ = ()

    sent_body_bytes: int

    @abstractmethod
    def send_body(self, data: bytes) -> None:
        """Send a part of the request body."""

    @abstractmethod
    def send_end(self) -> None:
        """Send the end of the request."""

    @abstractmethod
    def pause(self) -> None:
        """Pause the delivery of the response."""

    @abstractmethod
    def resume(self) -> None:
        """Resume the delivery of the response."""

    @abstractmethod
    def cancel(self) -> None:
        """Cancel the request; the receiver is not called any more."""

    @property
    @abstractmethod
    def reached(self) -> bool:
        """Whether the other side may have read any byte of the request."""

    def has_whole_body(self, received_bytes: int, side: str) -> bool:
        """Check that all bytes of the body that `side` has received were passed on."""
        return check(
            self.sent_body_bytes == received_bytes,
            "P11_whole_body",
            side=side,
            received=received_bytes,
            passed_on=self.sent_body_bytes,
        )
