"""Division of limits among the hosts where requests arrive.

The sum of the rates that are leased never exceeds the limit. A lease that its host has not given
back counts until it has expired, also when the host is cut off or dead. A share that becomes
smaller counts in full until the host tells that it has the smaller one, because the reply may be
lost.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from jaypost.invariants import check

# Time in seconds for which a share is leased. It bridges a change of the divider, and a store that
# is away for some seconds.
LEASE_S = 6.0
# A host gets this multiple of its demand while the limit leaves room, and at least this rate, so
# that a rise of its demand waits for no message.
HEADROOM = 2.5
MIN_RATE = 0.5
# Fraction of the limit that the demand of all hosts may reach before it is divided by demand alone.
PRESSED_FRACTION = 0.6
# Time in seconds of its rate that a host gets at once from the unused part of the burst, when
# requests wait there. Hosts without waiting requests get none, so that they do not hoard them.
TOKENS_AHEAD_S = 0.25
# Tolerance of the sum of rates, for rounding.
SUM_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit of a workspace: requests per second, and requests beyond it at once."""

    rate: float
    burst: float


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
    held : float
        Rate that the host still holds, from this divider or from an earlier one.
    """

    workspace: str
    rate: float
    short: int = 0
    held: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """What a host gets for one workspace.

    Parameters
    ----------
    workspace : str
        Name of the workspace.
    rate : float
        Requests per second until the lease expires; it replaces the rate that was held.
    tokens : float
        Requests that may be admitted at once, in addition.
    limit : float
        Limit of the workspace that was divided.
    """

    workspace: str
    rate: float
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
    """A leased share; `rate` is the largest one that the host may use until it asks again."""

    rate: float
    demand: float
    expires_at: float


@dataclass(slots=True)
class _Book:
    """Leases of one workspace, and the tokens that no lease has used."""

    refilled_at: float
    tokens: float = 0.0
    lease_by_host: dict[str, _Lease] = field(default_factory=dict)
    # Rate that hosts reported to hold from an earlier divider.
    reported: float = 0.0


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
        is_first_report = host in self._unreported
        grants = []
        demands = tuple(demands)
        if is_first_report:
            for demand in demands:
                self._book(demand.workspace).reported += max(0.0, demand.held)
            self._unreported.discard(host)
        for demand in demands:
            limit = limit_by_workspace.get(demand.workspace)
            if limit is not None and limit.rate > 0.0:
                grants.append(self._renew(host, demand, limit, now))
        asked = {demand.workspace for demand in demands}
        for workspace, book in self._book_by_workspace.items():
            if workspace not in asked:
                book.lease_by_host.pop(host, None)
        return tuple(grants)

    def leased(self, workspace: str, now: float) -> float:
        """Return the sum of the rates that are leased now."""
        book = self._book_by_workspace.get(workspace)
        if book is None:
            return 0.0
        return sum(item.rate for item in book.lease_by_host.values() if item.expires_at > now)

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
        self._refill(book, limit, now)
        leases.pop(host, None)
        available = limit.rate
        if self.is_recovering(now):
            available = min(available, book.reported)
        others = sum(lease.rate for lease in leases.values())
        total_demand = demand.rate + sum(lease.demand for lease in leases.values())
        rate = max(0.0, min(available - others, _wanted_rate(demand, total_demand, limit)))
        leases[host] = _Lease(max(rate, demand.held), demand.rate, now + LEASE_S)
        wanted_tokens = demand.short + TOKENS_AHEAD_S * rate if demand.short else 0.0
        tokens = min(book.tokens, wanted_tokens)
        book.tokens -= tokens
        check(
            rate == 0.0 or others + rate <= limit.rate + SUM_TOLERANCE,
            "allotment_sum",
            workspace=demand.workspace,
            leased=others + rate,
            limit=limit.rate,
        )
        return Grant(demand.workspace, rate, tokens, limit.rate)

    def _refill(self, book: _Book, limit: Limit, now: float) -> None:
        """Add the tokens of the part of the limit that was not leased."""
        if not self.is_recovering(now):
            leased = sum(lease.rate for lease in book.lease_by_host.values())
            unused = max(0.0, limit.rate - leased)
            book.tokens += unused * max(0.0, now - book.refilled_at)
        book.tokens = min(book.tokens, max(1.0, limit.burst))
        book.refilled_at = max(book.refilled_at, now)


def _wanted_rate(demand: Demand, total_demand: float, limit: Limit) -> float:
    """Return the rate that a host should get, if that much is free."""
    roomy = HEADROOM * demand.rate + min(MIN_RATE, limit.rate)
    if total_demand <= PRESSED_FRACTION * limit.rate:
        return min(roomy, limit.rate)
    return min(roomy, limit.rate * demand.rate / total_demand) if total_demand else 0.0
