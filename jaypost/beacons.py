"""Heartbeats of the readers of a failure domain, and their contact with the other domains.

The classes do no input or output, and time is passed in.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from jaypost.messages import Beacon, CutDomain
from jaypost.view import reader_rank

# More nodes than the chosen readers may send beacons for a while. Only this many beacons are
# forwarded, those of the lowest ranks.
MAX_FORWARDED_BEACONS = 4
# The counter of a stopped reader is kept for this many beacon timeouts. Without it, a copy of its
# last beacon that another node still holds would be accepted as new again and again.
COUNTER_RETENTION_TIMEOUTS = 20


@dataclass(frozen=True, slots=True)
class _ReceivedBeacon:
    beacon: Beacon
    at: float


class BeaconTracker:
    """Tracks the newest beacon of each reader of the own failure domain.

    Parameters
    ----------
    failure_domain : str
        The own failure domain.
    timeout_s : float
        Time in seconds after which a beacon is no longer fresh.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, failure_domain: str, timeout_s: float, now: float) -> None:
        self._failure_domain = failure_domain
        self._timeout_s = timeout_s
        self._received_by_id: dict[str, _ReceivedBeacon] = {}
        self._last_received_at = now

    def merge(self, beacons: Iterable[Beacon], now: float) -> bool:
        """Keep the beacons that are newer than the known ones.

        Returns
        -------
        bool
            Whether a beacon changed the cut domains that its reader reports.
        """
        changed = False
        for beacon in beacons:
            held = self._received_by_id.get(beacon.node_id)
            if held is not None and not _is_newer(beacon, held.beacon):
                continue
            previous_names = _cut_domain_names(held.beacon) if held is not None else frozenset()
            changed = changed or previous_names != _cut_domain_names(beacon)
            self._received_by_id[beacon.node_id] = _ReceivedBeacon(beacon, now)
            self._last_received_at = now
        return changed

    def fresh(self, now: float) -> tuple[Beacon, ...]:
        """Return the beacons that have not timed out, lowest rank first and bounded in number."""
        fresh = []
        for node_id, received in list(self._received_by_id.items()):
            age_s = now - received.at
            if age_s <= self._timeout_s:
                fresh.append(node_id)
            elif age_s > COUNTER_RETENTION_TIMEOUTS * self._timeout_s:
                del self._received_by_id[node_id]
        ranked = sorted(fresh, key=lambda i: reader_rank(self._failure_domain, i))
        return tuple(
            _with_current_ages(self._received_by_id[node_id], now)
            for node_id in ranked[:MAX_FORWARDED_BEACONS]
        )

    def since_last_beacon_s(self, now: float) -> float:
        """Return the time in seconds since a newer beacon of any reader was received."""
        return now - self._last_received_at

    def cut_since_by_domain(
        self, readers: Collection[str], now: float
    ) -> Mapping[str, float] | None:
        """Return the domains that all readers report as cut, and since when each has been cut.

        Parameters
        ----------
        readers : collection of str
            Present readers of the domain. Beacons of other nodes count only when no reader has a
            fresh one.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Mapping[str, float] or None
            Monotonic time in seconds by domain; None when there is no fresh beacon.
        """
        fresh = self.fresh(now)
        beacons = tuple(beacon for beacon in fresh if beacon.node_id in readers) or fresh
        if not beacons:
            return None
        cut_for_all = frozenset.intersection(*(_cut_domain_names(beacon) for beacon in beacons))
        since_by_domain: dict[str, float] = {}
        for beacon in beacons:
            for cut in beacon.cut_domains:
                if cut.failure_domain in cut_for_all:
                    since = since_by_domain.get(cut.failure_domain, now)
                    since_by_domain[cut.failure_domain] = min(since, now - cut.age_s)
        return since_by_domain


def _is_newer(beacon: Beacon, held: Beacon) -> bool:
    return (beacon.incarnation, beacon.counter) > (held.incarnation, held.counter)


def _cut_domain_names(beacon: Beacon) -> frozenset[str]:
    return frozenset(cut.failure_domain for cut in beacon.cut_domains)


def _with_current_ages(received: _ReceivedBeacon, now: float) -> Beacon:
    age_s = now - received.at
    cuts = tuple(replace(cut, age_s=cut.age_s + age_s) for cut in received.beacon.cut_domains)
    return replace(received.beacon, cut_domains=cuts) if cuts else received.beacon


class DomainContacts:
    """Tracks which of the other failure domains a reader can reach.

    A domain counts as cut when every attempt to reach it has failed for `suspicion_s` seconds.
    """

    def __init__(self, suspicion_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._failing_since_by_domain: dict[str, float] = {}

    def adopt(self, cut_since_by_domain: Mapping[str, float]) -> None:
        """Start from the domains that other readers report as cut."""
        for domain, since in cut_since_by_domain.items():
            self._failing_since_by_domain.setdefault(domain, since)

    def record_contact(self, failure_domain: str) -> None:
        """Note a contact with a node of the domain, in either direction."""
        self._failing_since_by_domain.pop(failure_domain, None)

    def record_failure(self, failure_domain: str, now: float) -> None:
        """Note that several nodes of the domain did not answer."""
        self._failing_since_by_domain.setdefault(failure_domain, now)

    def clear(self) -> None:
        """Forget all failures, when the node stops being a reader."""
        self._failing_since_by_domain.clear()

    def failing_domains(self) -> tuple[str, ...]:
        """Return the domains that the last attempt did not reach."""
        return tuple(self._failing_since_by_domain)

    def cut_domains(self, now: float) -> tuple[CutDomain, ...]:
        """Return the domains that count as cut."""
        return tuple(
            CutDomain(domain, now - since)
            for domain, since in sorted(self._failing_since_by_domain.items())
            if now - since >= self._suspicion_s
        )
