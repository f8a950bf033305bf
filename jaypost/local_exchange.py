"""Calls from the ingress to the egress of the same node, without a socket."""

from __future__ import annotations

from jaypost.egress import Egress
from jaypost.errors import ErrorKind
from jaypost.exchanges import CallFailed, Exchange, Receiver
from jaypost.http_messages import RequestHead, ResponseHead
from jaypost.responders import IncomingCall, Responder


class LocalExchange(Exchange):
    """A request that is passed to the egress of the same node.

    Parameters
    ----------
    egress : Egress
        Egress of the node.
    head : RequestHead
        Head of the request, as a peer would receive it.
    body : bytes
        The whole body, or empty when it is sent later.
    complete : bool
        Whether `body` is the whole body.
    receiver : Receiver
        Receives the response.
    """

    __slots__ = (
        "_body",
        "_call",
        "_complete",
        "_egress",
        "_head",
        "_reached",
        "_responder",
        "sent_body_bytes",
    )

    def __init__(
        self, egress: Egress, head: RequestHead, body: bytes, complete: bool, receiver: Receiver
    ) -> None:
        self._egress = egress
        self._head = head
        self._body = body
        self._complete = complete
        self._responder = _LocalResponder(receiver)
        self._call: IncomingCall | None = None
        self._reached = False
        self.sent_body_bytes = 0

    def start(self) -> None:
        """Begin the call; the response may arrive before this method returns."""
        self._reached = True
        self._call = call = self._egress.open_call(self._responder, self._head)
        call.begin()
        if self._complete and self._responder.receiver is not None:
            if self._body:
                self.send_body(self._body)
            call.on_body_end()

    @property
    def reached(self) -> bool:
        """Whether the request was passed to the egress, which may have sent it to the target."""
        return self._reached

    def send_body(self, data: bytes) -> None:
        """Send a part of the request body."""
        if self._call is not None:
            self._call.on_body(data)
            self.sent_body_bytes += len(data)

    def send_end(self) -> None:
        """Complete the request."""
        if self._call is not None:
            self._call.on_body_end()

    def pause(self) -> None:
        """Stop the delivery of the response."""
        if self._call is not None:
            self._call.on_write_paused()

    def resume(self) -> None:
        """Continue the delivery of the response."""
        if self._call is not None:
            self._call.on_write_resumed()

    def cancel(self) -> None:
        """Cancel the request; the receiver is not called any more."""
        ended = self._responder.receiver is None
        self._responder.receiver = None
        call, self._call = self._call, None
        if call is not None and not ended:
            call.on_disconnect()


class _LocalResponder(Responder):
    """Passes the response of the egress to the receiver, until it ends or is cancelled."""

    __slots__ = ("receiver",)

    uses_link = False

    def __init__(self, receiver: Receiver) -> None:
        self.receiver: Receiver | None = receiver

    def send_head(self, head: ResponseHead) -> None:
        if self.receiver is not None:
            self.receiver.on_head(head)

    def send_body(self, data: bytes) -> None:
        if self.receiver is not None:
            self.receiver.on_body(data)

    def send_end(self) -> None:
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.on_end()
            receiver.on_batch_end()

    def send_continue(self) -> None:
        if self.receiver is not None:
            self.receiver.on_continue()

    def flush(self) -> None:
        if self.receiver is not None:
            self.receiver.on_batch_end()

    def abort(self) -> None:
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.on_failed(CallFailed(ErrorKind.ANSWER_CUT, reached=True))

    def pause_body(self) -> None:
        if self.receiver is not None:
            self.receiver.on_request_write_paused()

    def resume_body(self) -> None:
        if self.receiver is not None:
            self.receiver.on_request_write_resumed()
