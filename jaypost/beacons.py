"""Heartbeats of the readers of a failure domain, and their contact with the other domains.

Both classes are pure: time is passed in.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from jaypost.messages import Beacon, CutDomain
from jaypost.view import reader_rank

# More nodes than the chosen readers may send beacons for a while; only these are passed on.
BEACONS_KEPT = 4
# Counters of readers that stopped are remembered for this many timeouts. Without them, copies that
# other nodes still hold would look new again and again.
REMEMBERED_TIMEOUTS = 20


@dataclass(frozen=True, slots=True)
class _Heard:
    beacon: Beacon
    at: float


class BeaconBoard:
    """The newest beacon of each reader of the own failure domain.

    Parameters
    ----------
    failure_domain : str
        The own failure domain.
    timeout_s : float
        Time in seconds after which a beacon that was not renewed is dropped.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, failure_domain: str, timeout_s: float, now: float) -> None:
        self._failure_domain = failure_domain
        self._timeout_s = timeout_s
        self._heard_by_id: dict[str, _Heard] = {}
        self._last_heard = now

    def hear(self, beacons: Iterable[Beacon], now: float) -> bool:
        """Keep the beacons that are newer than the known ones.

        Returns
        -------
        bool
            Whether a beacon changed the cut domains that its reader reports.
        """
        changed = False
        for beacon in beacons:
            held = self._heard_by_id.get(beacon.node_id)
            if held is not None and not _newer(beacon, held.beacon):
                continue
            before = _names(held.beacon) if held is not None else frozenset()
            changed = changed or before != _names(beacon)
            self._heard_by_id[beacon.node_id] = _Heard(beacon, now)
            self._last_heard = now
        return changed

    def fresh(self, now: float) -> tuple[Beacon, ...]:
        """Return the beacons that are not timed out, in the order of their rank."""
        fresh = []
        for node_id, heard in list(self._heard_by_id.items()):
            age_s = now - heard.at
            if age_s <= self._timeout_s:
                fresh.append(node_id)
            elif age_s > REMEMBERED_TIMEOUTS * self._timeout_s:
                del self._heard_by_id[node_id]
        ranked = sorted(fresh, key=lambda i: reader_rank(self._failure_domain, i))
        return tuple(_aged(self._heard_by_id[node_id], now) for node_id in ranked[:BEACONS_KEPT])

    def silence_s(self, now: float) -> float:
        """Return the time in seconds since any beacon was heard."""
        return now - self._last_heard

    def cut_since_by_domain(
        self, readers: Collection[str], now: float
    ) -> Mapping[str, float] | None:
        """Return the domains that all readers report as cut, and since when.

        Parameters
        ----------
        readers : collection of str
            Nodes that read at present. Beacons of others count only when no reader has sent any.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Mapping[str, float] or None
            None when there is no fresh beacon.
        """
        fresh = self.fresh(now)
        beacons = tuple(beacon for beacon in fresh if beacon.node_id in readers) or fresh
        if not beacons:
            return None
        shared = frozenset.intersection(*(_names(beacon) for beacon in beacons))
        since_by_domain: dict[str, float] = {}
        for beacon in beacons:
            for cut in beacon.cut_domains:
                if cut.failure_domain in shared:
                    since = since_by_domain.get(cut.failure_domain, now)
                    since_by_domain[cut.failure_domain] = min(since, now - cut.age_s)
        return since_by_domain


def _newer(beacon: Beacon, held: Beacon) -> bool:
    return (beacon.incarnation, beacon.counter) > (held.incarnation, held.counter)


def _names(beacon: Beacon) -> frozenset[str]:
    return frozenset(cut.failure_domain for cut in beacon.cut_domains)


def _aged(heard: _Heard, now: float) -> Beacon:
    age_s = now - heard.at
    cuts = tuple(replace(cut, age_s=cut.age_s + age_s) for cut in heard.beacon.cut_domains)
    return replace(heard.beacon, cut_domains=cuts) if cuts else heard.beacon


class DomainContacts:
    """Contact of a reader with the other failure domains.

    A domain counts as cut when every attempt to reach it failed for `suspicion_s`.
    """

    def __init__(self, suspicion_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._failing_since_by_domain: dict[str, float] = {}

    def adopt(self, cut_since_by_domain: Mapping[str, float]) -> None:
        """Start from the domains that other readers report as cut."""
        for domain, since in cut_since_by_domain.items():
            self._failing_since_by_domain.setdefault(domain, since)

    def reached(self, failure_domain: str) -> None:
        """Note a contact with a node of the domain, in either direction."""
        self._failing_since_by_domain.pop(failure_domain, None)

    def failed(self, failure_domain: str, now: float) -> None:
        """Note that several nodes of the domain did not answer."""
        self._failing_since_by_domain.setdefault(failure_domain, now)

    def clear(self) -> None:
        """Forget everything, when the node stops to be a reader."""
        self._failing_since_by_domain.clear()

    def failing(self) -> tuple[str, ...]:
        """Return the domains whose last attempt failed."""
        return tuple(self._failing_since_by_domain)

    def cut(self, now: float) -> tuple[CutDomain, ...]:
        """Return the domains that count as cut."""
        return tuple(
            CutDomain(domain, now - since)
            for domain, since in sorted(self._failing_since_by_domain.items())
            if now - since >= self._suspicion_s
        )
