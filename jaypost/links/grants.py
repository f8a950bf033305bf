"""Which bodies of requests may be on their way to this host.

A body that takes a noticeable time on the link is sent only after the host has asked for it. The
host asks for few at a time, so that the others wait at their senders and not in the network, where
short calls and control traffic would wait behind them.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
# Fraction of the link for bodies that were asked for; the rest is for short calls and control
# traffic.
BODY_SHARE = 0.85
# A body that takes less than this time in seconds on the link is sent with its request.
MIN_TRANSFER_S = 0.01
# The next body is asked for when the rest of those on their way takes at most this time in seconds,
# so that the link does not idle for a whole round trip between regions.
LEAD_S = 0.04
# A request that may go to another host is refused when the bodies before it take longer than this.
# Trying another one costs up to a round trip between regions and a connection.
MAX_WAIT_S = 0.3
# Time in seconds that a body needs beside its transfer: a round trip between regions. A sender that
# takes longer does not hold up the others.
ROUND_TRIP_S = 0.1
SLOW_SENDER_FACTOR = 2.0


def transfer_s(body_bytes: int, link_mbps: float) -> float:
    """Return the time in seconds that a link takes for a body; 0 when its rate is unknown."""
    return body_bytes * BITS_PER_BYTE / (link_mbps * BITS_PER_MEGABIT) if link_mbps else 0.0


def needs_grant(body_bytes: int, link_mbps: float) -> bool:
    """Tell whether a body must wait until the host with that link asks for it."""
    return transfer_s(body_bytes, link_mbps) >= MIN_TRANSFER_S


@dataclass(frozen=True, slots=True)
class BodyRequest:
    """Asks for the transfer of a body to this host.

    Parameters
    ----------
    ticket : str
        Identifier of the request.
    body_bytes : int
        Length of the body.
    priority : int
        Rank of the request; 0 goes first.
    latest_start : float
        Monotonic time in seconds at which the body must have arrived, to be of use.
    may_wait : bool
        Whether the request has nowhere else to go, so that it may wait for long.
    now : float
        Monotonic time in seconds.
    """

    ticket: str
    body_bytes: int
    priority: int
    latest_start: float
    may_wait: bool
    now: float


@dataclass(frozen=True, slots=True)
class BodyGranted:
    """The sender may send the body now."""

    ticket: str


@dataclass(frozen=True, slots=True)
class BodyRefused:
    """The body cannot arrive in time, or another host takes it sooner."""

    ticket: str


@dataclass(frozen=True, slots=True)
class BodyWaits:
    """The link is busy; a later decision follows."""

    ticket: str


BodyDecision = BodyGranted | BodyRefused | BodyWaits


@dataclass(slots=True)
class _OnTheWay:
    """The rest of a body that was asked for; it counts until `forgotten_at` at the latest."""

    rest_s: float
    forgotten_at: float


class BodyGrants:
    """Bodies on their way to this host, and those that wait at their senders.

    Parameters
    ----------
    link_mbps : float
        Rate of the link in megabits per second; 0 when unknown, and bodies do not wait.
    """

    def __init__(self, link_mbps: float = 0.0) -> None:
        self.link_mbps = link_mbps
        self._on_the_way: dict[str, _OnTheWay] = {}
        self._waiting: dict[str, BodyRequest] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether bodies wait at their senders."""
        return bool(self._waiting)

    def backlog_s(self) -> float:
        """Return the time in seconds that the link takes for all bodies known now."""
        waiting = sum(self._transfer_s(item) for item in self._waiting.values())
        return waiting + self._on_the_way_s()

    def request(self, request: BodyRequest) -> BodyDecision:
        """Grant, refuse or queue a body."""
        if not self.link_mbps:
            return BodyGranted(request.ticket)
        self._forget_slow(request.now)
        ahead_s = self._on_the_way_s() + sum(
            self._transfer_s(item)
            for item in self._waiting.values()
            if item.priority <= request.priority
        )
        arrives_at = request.now + ahead_s + self._transfer_s(request)
        if arrives_at > request.latest_start or (ahead_s > MAX_WAIT_S and not request.may_wait):
            return BodyRefused(request.ticket)
        if self._waiting or not self._has_room():
            self._waiting[request.ticket] = request
            return BodyWaits(request.ticket)
        self._grant(request, request.now)
        return BodyGranted(request.ticket)

    def arrived(self, ticket: str, size: int, now: float) -> tuple[BodyDecision, ...]:
        """Note that `size` bytes of a body have arrived."""
        item = self._on_the_way.get(ticket)
        if item is None:
            return ()
        item.rest_s = max(0.0, item.rest_s - transfer_s(size, self.link_mbps * BODY_SHARE))
        return self.tick(now)

    def ended(self, ticket: str, now: float) -> tuple[BodyDecision, ...]:
        """Note that a body has arrived, or that its request has ended."""
        self._on_the_way.pop(ticket, None)
        self._waiting.pop(ticket, None)
        return self.tick(now)

    def tick(self, now: float) -> tuple[BodyDecision, ...]:
        """Grant the bodies for which there is room now; refuse those that would be too late."""
        if not self._waiting:
            return ()
        self._forget_slow(now)
        decisions: list[BodyDecision] = []
        for request in sorted(self._waiting.values(), key=lambda item: item.priority):
            if now + self._transfer_s(request) > request.latest_start:
                del self._waiting[request.ticket]
                decisions.append(BodyRefused(request.ticket))
            elif self._has_room():
                del self._waiting[request.ticket]
                self._grant(request, now)
                decisions.append(BodyGranted(request.ticket))
        return tuple(decisions)

    def _has_room(self) -> bool:
        return self._on_the_way_s() <= LEAD_S

    def _grant(self, request: BodyRequest, now: float) -> None:
        transfer_s = self._transfer_s(request)
        forgotten_at = now + ROUND_TRIP_S + SLOW_SENDER_FACTOR * (self._on_the_way_s() + transfer_s)
        self._on_the_way[request.ticket] = _OnTheWay(transfer_s, forgotten_at)

    def _transfer_s(self, request: BodyRequest) -> float:
        return transfer_s(request.body_bytes, self.link_mbps * BODY_SHARE)

    def _on_the_way_s(self) -> float:
        return sum(item.rest_s for item in self._on_the_way.values())

    def _forget_slow(self, now: float) -> None:
        for ticket in [i for i, item in self._on_the_way.items() if item.forgotten_at <= now]:
            del self._on_the_way[ticket]
