"""Which nodes of a region read the table from the store.

Each failure domain has a few readers, which exchange state with the other domains. Only some of
the readers of a region read the store, because each read counts there. The first candidates read.
The others check them and read while one of these is not in contact with the store.

A region that is far from the store does not read it while a nearer region does: the nearer one
sends it only what changes, which is a small part of the table. Its first candidates check the
readers of the nearer region, and read the store themselves while none of these is in contact.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from jaypost.messages import StoreContact
from jaypost.view import MembershipView, Scope

# Nodes of a region that read the store while all are in contact with it. Two, in different failure
# domains if possible, so that no version waits for a takeover when one of them fails.
READERS_PER_REGION = 2
# Nodes that may read for a region: the readers and those that take over from them.
CANDIDATES_PER_REGION = 4
# Interval at which a candidate checks others.
CHECK_INTERVAL_S = 0.5
# Age beyond the longest watch at which a contact with the store is too old.
CONTACT_SLACK_S = 0.5
# Another region is nearer to the store if the round trip from there is at most this fraction of the
# own one, and shorter by at least this time in seconds.
NEARER_FRACTION = 0.5
NEARER_MARGIN_S = 0.01


def contact_limit_s(watch_wait_s: float) -> float:
    """Return the age of a contact with the store from which a node no longer counts as a reader.

    A reader that the store does not answer must be replaced before the next version has to be in
    force, so the limit does not include the timeout of its calls.

    Parameters
    ----------
    watch_wait_s : float
        Longest wait of a watch in seconds.
    """
    return watch_wait_s + CONTACT_SLACK_S


@dataclass(frozen=True, slots=True)
class Candidates:
    """Nodes that may read the store, first choice first.

    Parameters
    ----------
    own_region : tuple of str
        Candidates of the region of the own node.
    other_regions : tuple of str
        First candidates of the other regions.
    """

    own_region: tuple[str, ...]
    other_regions: tuple[str, ...]


def candidates(view: MembershipView) -> Candidates:
    """Return the nodes that may read the store.

    The first reader of each failure domain comes before the second of any. Domains that are cut
    off choose their own, and the others do not count on them.
    """
    own = view.own
    domains_by_region: dict[str, list[str]] = {own.region: [own.failure_domain]}
    for domain in (*view.other_domains(Scope.REGION), *view.other_domains(Scope.CROSS_REGION)):
        if domain not in view.cut_domains():
            domains_by_region.setdefault(view.region_of(domain), []).append(domain)
    chosen_by_region = {
        region: _candidates_of(view, region, domains)
        for region, domains in domains_by_region.items()
    }
    own_region = chosen_by_region.pop(own.region)
    others = (chosen[:READERS_PER_REGION] for _, chosen in sorted(chosen_by_region.items()))
    return Candidates(own_region, tuple(node_id for chosen in others for node_id in chosen))


def _candidates_of(view: MembershipView, region: str, domains: Sequence[str]) -> tuple[str, ...]:
    places = [
        (place, xxhash.xxh64_intdigest(f"{region}\0{node_id}"), node_id)
        for domain in domains
        for place, node_id in enumerate(view.readers_of(domain))
    ]
    return tuple(node_id for _, _, node_id in sorted(places)[:CANDIDATES_PER_REGION])


class ReaderElection:
    """Tells whether the own node reads the store for its region.

    Parameters
    ----------
    own_id : str
        Identifier of the own node.
    contact_limit_s : float
        A node whose last contact with the store is older than this, in seconds, does not count as
        a reader.
    """

    def __init__(self, own_id: str, contact_limit_s: float) -> None:
        self._own_id = own_id
        self._contact_limit_s = contact_limit_s
        self._failed_ids: set[str] = set()
        # Times of the contacts with the store of nodes that are in contact and nearer to it.
        self._nearer_contact_at_by_id: dict[str, float] = {}

    def to_check(self, chosen: Candidates) -> tuple[str, ...]:
        """Return the candidates that this node has to check.

        These are the candidates before it if it stands by, and the readers of the other regions if
        it would read otherwise.
        """
        own_region = chosen.own_region
        if self._own_id not in own_region:
            return ()
        before = own_region[: own_region.index(self._own_id)]
        standing_by = len(before) >= READERS_PER_REGION
        others = chosen.other_regions if self.regional_place(chosen) is not None else ()
        return (*before, *others) if standing_by else others

    def set_contact(
        self,
        node_id: str,
        contact: StoreContact | None,
        own_round_trip_s: float | None,
        now: float,
    ) -> None:
        """Set the result of the check of one node.

        Parameters
        ----------
        node_id : str
            The node that was checked.
        contact : StoreContact or None
            Its contact; None if it does not answer or is no reader.
        own_round_trip_s : float or None
            Round trip in seconds from this node to the store; None if it is not known.
        now : float
            Monotonic time in seconds.
        """
        self._failed_ids.discard(node_id)
        self._nearer_contact_at_by_id.pop(node_id, None)
        if contact is None or contact.age_s > self._contact_limit_s:
            self._failed_ids.add(node_id)
        elif _is_nearer(contact, own_round_trip_s):
            self._nearer_contact_at_by_id[node_id] = now - contact.age_s

    def _nearer_contact_at(self, chosen: Candidates) -> float | None:
        """Return the last known contact of a nearer region; None if none is in contact."""
        contact_at_by_id = self._nearer_contact_at_by_id
        known = [contact_at_by_id[i] for i in chosen.other_regions if i in contact_at_by_id]
        return max(known, default=None)

    def regional_place(self, chosen: Candidates) -> int | None:
        """Return the place of the own node among the readers of its region, 0 for the first.

        None if it is none of them. Candidates that have not been checked yet count as readers.
        """
        if self._own_id not in chosen.own_region:
            return None
        before = chosen.own_region[: chosen.own_region.index(self._own_id)]
        place = sum(node_id not in self._failed_ids for node_id in before)
        return place if place < READERS_PER_REGION else None

    def place(self, chosen: Candidates) -> int | None:
        """Return `regional_place`, or None while a nearer region reads the store."""
        is_nearer_region_reading = self._nearer_contact_at(chosen) is not None
        return None if is_nearer_region_reading else self.regional_place(chosen)

    def nearer_contact_age_s(self, chosen: Candidates, now: float) -> float | None:
        """Return the time since the last known contact of a nearer region with the store."""
        contact_at = self._nearer_contact_at(chosen)
        return None if contact_at is None else now - contact_at


def _is_nearer(contact: StoreContact, own_round_trip_s: float | None) -> bool:
    if own_round_trip_s is None or contact.round_trip_s is None:
        return False
    limit_s = min(NEARER_FRACTION * own_round_trip_s, own_round_trip_s - NEARER_MARGIN_S)
    return contact.round_trip_s <= limit_s
