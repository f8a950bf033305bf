"""Division of limits among the hosts where requests arrive.

Each host gets a rate and room for a burst. Neither the rates nor the room of all hosts together
exceed what the limit allows. A lease that its host has not given back counts until it has expired,
also when the host is cut off or dead. A share that becomes smaller counts in full until the host
tells that it has the smaller one, because the reply may be lost.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from jaypost.invariants import check

# Time in seconds for which a share is leased. It bridges a change of the divider, and a store that
# is away for some seconds.
LEASE_S = 6.0
# Parts of the rate and of the room that are leased. The rest stays with the divider, for hosts
# whose share is too small at a moment, and for hosts that are new. Where requests are rare, about
# half of them find no token on their host.
LEASED_RATE_FRACTION = 0.5
LEASED_ROOM_FRACTION = 0.5
KEPT_ROOM_FRACTION = 0.4
# Parts of what operators accept beyond a limit in a window that are admitted steadily and at once.
STEADY_TOLERANCE_FRACTION = 0.5
BURST_TOLERANCE_FRACTION = 0.35
# Demand in requests per second that is added for each host, so that one whose requests are rare has
# a share as well.
MIN_DEMAND = 0.05
# Tokens that a host with a new lease has at once.
FIRST_TOKENS = 1.0
SUM_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit of a workspace.

    Parameters
    ----------
    rate : float
        Requests per second that may be admitted.
    room : float
        Requests beyond the rate that may be admitted in a short time.
    configured : float
        Requests per second in the table, by which hosts follow a change of the limit.
    """

    rate: float
    room: float
    configured: float


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What operators accept beyond a limit: a fraction of it and some requests, in a window.

    Parameters
    ----------
    fraction : float
        Fraction of what the limit allows in the window.
    requests : float
        Requests in addition.
    window_s : float
        Length of the window in seconds.
    """

    fraction: float
    requests: float
    window_s: float


def limit_with(tolerance: Tolerance, rate: float, burst: float) -> Limit:
    """Return the limit to divide, for a rate and a burst in the table.

    Part of what is accepted beyond them in a window is admitted steadily, part of it at once. The
    rest is left for requests on their way and for changes of the shares.
    """
    accepted = tolerance.fraction * (tolerance.window_s * rate + burst) + tolerance.requests
    return Limit(
        rate + STEADY_TOLERANCE_FRACTION * accepted / tolerance.window_s,
        burst + BURST_TOLERANCE_FRACTION * accepted,
        rate,
    )


@dataclass(frozen=True, slots=True)
class Demand:
    """What a host asks for one workspace.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    rate : float
        Requests per second that arrived lately, also those that were refused.
    short : int
        Requests that wait for a token.
    held_rate, held_room : float
        Share that the host still holds, from this divider or from an earlier one.
    """

    workspace: str
    rate: float
    short: int = 0
    held_rate: float = 0.0
    held_room: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """What a host gets for one workspace.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    rate : float
        Requests per second until the lease expires; it replaces the rate that was held.
    room : float
        Tokens that the host may keep.
    tokens : float
        Requests that may be admitted at once, in addition.
    limit : float
        Limit of the workspace in the table that was divided, in requests per second.
    """

    workspace: str
    rate: float
    room: float
    tokens: float
    limit: float


@dataclass(frozen=True, slots=True)
class Asker:
    """A process that asks for shares; `sequence` orders its requests."""

    host: str
    incarnation: int
    sequence: int


@dataclass(frozen=True, slots=True)
class _Lease:
    """A leased share; the largest that the host may use until it asks again."""

    rate: float
    room: float
    demand: float
    expires_at: float


@dataclass(slots=True)
class _Book:
    """Leases of one workspace, and the tokens that the divider keeps."""

    refilled_at: float
    tokens: float = 0.0
    lease_by_host: dict[str, _Lease] = field(default_factory=dict)
    # Share that hosts reported to hold from an earlier divider.
    reported_rate: float = 0.0
    reported_room: float = 0.0


class ShareLedger:
    """Leases of all workspaces.

    Parameters
    ----------
    hosts : iterable of str
        Hosts that may hold leases from an earlier divider.
    now : float
        Time in seconds, suspended time included.
    """

    def __init__(self, hosts: Iterable[str], now: float) -> None:
        # Until all of these hosts have reported, or their leases have expired, only what was
        # reported can be leased again.
        self._unreported = set(hosts)
        self._recovers_until = now + LEASE_S
        self._book_by_workspace: dict[str, _Book] = {}
        self._newest_asker_by_host: dict[str, Asker] = {}
        self._created_at = now

    def is_recovering(self, now: float) -> bool:
        """Tell whether leases of an earlier divider may be unknown."""
        return bool(self._unreported) and now < self._recovers_until

    def request(
        self,
        asker: Asker,
        demands: Iterable[Demand],
        limit_by_workspace: Mapping[str, Limit],
        now: float,
    ) -> tuple[Grant, ...]:
        """Renew the leases of a host.

        Parameters
        ----------
        asker : Asker
            The process that asks. Its demands replace all that its host asked for before.
        demands : iterable of Demand
            What it asks for.
        limit_by_workspace : Mapping[str, Limit]
            Limits of the version in force; a workspace without one is ignored.
        now : float
            Time in seconds, suspended time included.

        Returns
        -------
        tuple of Grant
            Empty for a request that was overtaken by a later one.
        """
        host = asker.host
        newest = self._newest_asker_by_host.get(host)
        if newest is not None and newest.incarnation == asker.incarnation:
            if asker.sequence <= newest.sequence:
                return ()
        self._newest_asker_by_host[host] = asker
        demands = tuple(demands)
        if host in self._unreported:
            self._unreported.discard(host)
            for demand in demands:
                book = self._book(demand.workspace)
                book.reported_rate += max(0.0, demand.held_rate)
                book.reported_room += max(0.0, demand.held_room)
        grants = []
        for demand in demands:
            limit = limit_by_workspace.get(demand.workspace)
            if limit is not None and limit.rate > 0.0:
                grants.append(self._renew(host, demand, limit, now))
        asked = {demand.workspace for demand in demands}
        for workspace, book in self._book_by_workspace.items():
            if workspace not in asked:
                book.lease_by_host.pop(host, None)
        return tuple(grants)

    def _book(self, workspace: str) -> _Book:
        book = self._book_by_workspace.get(workspace)
        if book is None:
            book = self._book_by_workspace[workspace] = _Book(self._created_at)
        return book

    def _renew(self, host: str, demand: Demand, limit: Limit, now: float) -> Grant:
        book = self._book(demand.workspace)
        leases = book.lease_by_host
        for other in [i for i, lease in leases.items() if lease.expires_at <= now]:
            del leases[other]
        is_new = leases.pop(host, None) is None and not demand.held_room
        others_rate = sum(lease.rate for lease in leases.values())
        others_room = sum(lease.room for lease in leases.values())
        rate_to_lease = LEASED_RATE_FRACTION * limit.rate
        room_to_lease = LEASED_ROOM_FRACTION * limit.room
        recovering = self.is_recovering(now)
        if recovering:
            rate_to_lease = min(rate_to_lease, book.reported_rate)
            room_to_lease = min(room_to_lease, book.reported_room)
        total = sum(lease.demand + MIN_DEMAND for lease in leases.values())
        weight = (demand.rate + MIN_DEMAND) / (total + demand.rate + MIN_DEMAND)
        rate = _share(weight, rate_to_lease, others_rate)
        # Half of the room is divided evenly: a host with rare requests needs room for one as well.
        room_weight = (weight + 1.0 / (len(leases) + 1)) / 2
        room = _share(room_weight, room_to_lease, others_room)
        if room < 1.0:
            rate = room = 0.0  # no token would ever be whole: the host asks for each request
        leases[host] = _Lease(
            max(rate, demand.held_rate), max(room, demand.held_room), demand.rate, now + LEASE_S
        )
        check(
            (not rate or others_rate + rate <= limit.rate + SUM_TOLERANCE)
            and (not room or others_room + room <= limit.room + SUM_TOLERANCE),
            "allotment_sum",
            workspace=demand.workspace,
            rate=others_rate + rate,
            room=others_room + room,
        )
        self._refill(book, limit, recovering, now)
        tokens = float(int(min(book.tokens, demand.short)))
        book.tokens -= tokens
        if is_new and not recovering:
            tokens = max(tokens, min(FIRST_TOKENS, room))
        return Grant(demand.workspace, rate, room, tokens, limit.configured)

    @staticmethod
    def _refill(book: _Book, limit: Limit, recovering: bool, now: float) -> None:
        """Add the tokens of the part of the rate that is not leased.

        An earlier divider has leased no more than its part, and grants nothing any more.
        """
        leased = sum(lease.rate for lease in book.lease_by_host.values())
        if recovering:
            leased = LEASED_RATE_FRACTION * limit.rate
        passed_s = max(0.0, now - book.refilled_at)
        book.tokens += max(0.0, limit.rate - leased) * passed_s
        book.tokens = min(book.tokens, max(1.0, KEPT_ROOM_FRACTION * limit.room))
        book.refilled_at = max(book.refilled_at, now)


def _share(weight: float, to_lease: float, others: float) -> float:
    """Return a share by weight, as far as others do not hold it still."""
    return max(0.0, min(weight * to_lease, to_lease - others))
