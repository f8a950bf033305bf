"""Which nodes of a region read the table from the store.

Each failure domain has a few readers, which exchange state with the other domains. Only some of
the readers of a region read the store, because each read counts there and each version crosses the
link between regions once for each of them. The first candidates always read. The others check them
and read while one of these is not in contact with the store.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from jaypost.view import MembershipView, Scope

# Nodes of a region that read the store while all are in contact with it. Two, in different failure
# domains if possible, so that no version waits for a takeover when one of them fails.
READERS_PER_REGION = 2
# Nodes that may read for a region: the readers and those that take over from them.
CANDIDATES_PER_REGION = 4
# Interval at which a candidate checks those before it.
CHECK_INTERVAL_S = 0.5


def candidates(view: MembershipView) -> tuple[str, ...]:
    """Return the nodes that may read the store for the region of the own node, first choice first.

    The first reader of each failure domain comes before the second of any. Domains that are cut
    off choose their own, and the rest of the region does not count on them.
    """
    own = view.own
    domains = [own.failure_domain]
    domains += (name for name in view.other_domains(Scope.REGION) if name not in view.cut_domains())
    places = [
        (place, xxhash.xxh64_intdigest(f"{own.region}\0{node_id}"), node_id)
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
        self._failed_ids: frozenset[str] = frozenset()

    def to_check(self, chosen: Sequence[str]) -> tuple[str, ...]:
        """Return the candidates that this node has to check: those before it, if it stands by."""
        if self._own_id not in chosen[READERS_PER_REGION:]:
            return ()
        return tuple(chosen[: chosen.index(self._own_id)])

    def set_contact_ages(self, age_by_id: dict[str, float | None]) -> None:
        """Set the results of the check: seconds since the last contact, None for no reader."""
        self._failed_ids = frozenset(
            node_id
            for node_id, age_s in age_by_id.items()
            if age_s is None or age_s > self._contact_limit_s
        )

    def place(self, chosen: Sequence[str]) -> int | None:
        """Return the place of the own node among the readers, 0 for the first; None if it is none.

        Candidates that have not been checked yet count as readers.
        """
        if self._own_id not in chosen:
            return None
        before = chosen[: chosen.index(self._own_id)]
        place = sum(node_id not in self._failed_ids for node_id in before)
        return place if place < READERS_PER_REGION else None
