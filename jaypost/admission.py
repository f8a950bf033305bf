"""Admission of requests to the local targets: slots, classes, tenant queues and deadlines."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from jaypost.errors import ErrorKind
from jaypost.records import Load, Row, Target


class CallClass(StrEnum):
    """Class of a request by its expected length."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Admit:
    """Ask for a slot of a target.

    Parameters
    ----------
    ticket : str
        Identifier of the attempt, unique on this node.
    target_id : str
        Target of the attempt.
    row : Row
        Row of the service in the snapshot of the request.
    tenant : str
        Tenant of the request.
    call_class : CallClass
        Class of the request.
    deadline : float
        Monotonic time in seconds at which the request is worthless.
    may_queue : bool
        Whether the request may wait for a slot.
    now : float
        Monotonic time in seconds.
    """

    ticket: str
    target_id: str
    row: Row
    tenant: str
    call_class: CallClass
    deadline: float
    may_queue: bool
    now: float


@dataclass(frozen=True, slots=True)
class Release:
    """The request of a ticket ended; `service_s` is the time it held its slot."""

    ticket: str
    service_s: float
    now: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller of a queued request gave up."""

    ticket: str
    now: float


@dataclass(frozen=True, slots=True)
class SetTargets:
    """The targets of the host changed."""

    targets: tuple[Target, ...]
    now: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed: queued requests whose deadline can no longer be met are refused."""

    now: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds a slot until its `Release`."""

    ticket: str
    load: Load


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; a later `Decision` names its ticket."""

    ticket: str
    load: Load


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not and will not be run."""

    ticket: str
    kind: ErrorKind
    load: Load


Decision = Admitted | Queued | Refused
Message = Admit | Release | Cancel | SetTargets | Tick


class Admission:
    """Owner of the slots and queues of all targets of the host."""

    def handle(self, message: Message) -> tuple[Decision, ...]:
        """Apply `message` and return the decisions it brought about, for any ticket."""
        raise NotImplementedError

    def load(self, target_id: str) -> Load:
        """Return the load of a target."""
        raise NotImplementedError
