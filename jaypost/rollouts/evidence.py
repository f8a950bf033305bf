"""Comparison of a new version with the old one: counts, durations and the verdict.

The module does no input or output.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

# Durations are counted in buckets whose bounds grow by this factor, from 1 ms on.
BUCKET_GROWTH = 1.25
SHORTEST_DURATION_S = 0.001
# Standard deviations of the Wilson score interval. About one in 700 intervals does not contain the
# true rate, and a roll-out compares some hundred of them.
CONFIDENCE = 3.0
# A version is worse when it fails this much more often than the old one.
FAILURE_MARGIN = 0.05
# A response is slow when it takes longer than this multiple of the 90th percentile of the old
# version. Targets differ by a factor of less than two in speed.
SLOW_FACTOR = 2.0
SLOW_PERCENTILE = 0.9
# A version is worse when this much more of its responses are slow.
SLOW_MARGIN = 0.1
# Smallest number of failed or slow responses, and of responses of the old version, for a verdict.
MIN_WORSE = 5
MIN_OLD = 20
# Responses of the new version from which on a comparison is meaningful.
MIN_NEW = 50


class Verdict(StrEnum):
    """Result of a comparison."""

    NO_WORSE = "no_worse"
    WORSE = "worse"
    TOO_FEW = "too_few"


@dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Responses of one version to the requests of one route.

    Parameters
    ----------
    route : str
        Name of the row that the requests matched.
    answered : int
        Requests that were executed.
    failed : int
        Those of them that failed: a status of 500 or above, or no whole response.
    count_by_bucket : Mapping[int, int]
        Number of requests by the bucket of their duration; see `bucket_of`.
    """

    route: str
    answered: int = 0
    failed: int = 0
    count_by_bucket: Mapping[int, int] = field(default_factory=dict)


def bucket_of(duration_s: float) -> int:
    """Return the bucket of a duration in seconds; bucket n ends at 1 ms times 1.25 to the n."""
    if duration_s <= SHORTEST_DURATION_S:
        return 0
    return math.ceil(math.log(duration_s / SHORTEST_DURATION_S, BUCKET_GROWTH))


class EvidenceCounter:
    """Counts the responses of one version by route."""

    def __init__(self) -> None:
        self._answered_by_route: Counter[str] = Counter()
        self._failed_by_route: Counter[str] = Counter()
        self._count_by_bucket_by_route: dict[str, Counter[int]] = {}

    def add(self, route: str, failed: bool, duration_s: float) -> None:
        """Count one response."""
        self._answered_by_route[route] += 1
        self._failed_by_route[route] += failed
        buckets = self._count_by_bucket_by_route.setdefault(route, Counter())
        buckets[bucket_of(duration_s)] += 1

    def totals(self) -> tuple[RouteEvidence, ...]:
        """Return the counts of all routes since the start."""
        return tuple(
            RouteEvidence(
                route,
                answered,
                self._failed_by_route[route],
                dict(self._count_by_bucket_by_route[route]),
            )
            for route, answered in self._answered_by_route.items()
        )


def combine(evidence: Iterable[RouteEvidence]) -> dict[str, RouteEvidence]:
    """Return the sums by route."""
    summed: dict[str, RouteEvidence] = {}
    for item in evidence:
        known = summed.get(item.route, RouteEvidence(item.route))
        buckets = Counter(known.count_by_bucket) + Counter(item.count_by_bucket)
        summed[item.route] = RouteEvidence(
            item.route, known.answered + item.answered, known.failed + item.failed, buckets
        )
    return summed


def since(
    now: Mapping[str, RouteEvidence], before: Mapping[str, RouteEvidence]
) -> dict[str, RouteEvidence]:
    """Return the difference of two sums by route."""
    differences = {}
    for route, item in now.items():
        known = before.get(route, RouteEvidence(route))
        buckets = Counter(item.count_by_bucket) - Counter(known.count_by_bucket)
        differences[route] = RouteEvidence(
            route, item.answered - known.answered, item.failed - known.failed, buckets
        )
    return differences


def judge(new: Mapping[str, RouteEvidence], old: Mapping[str, RouteEvidence]) -> Verdict:
    """Compare the versions on each route, and on all routes together.

    Parameters
    ----------
    new, old : Mapping[str, RouteEvidence]
        Evidence by route, of the same time.

    Returns
    -------
    Verdict
        `WORSE` if the new version is worse on one route or on all together.
    """
    all_new, all_old = _merged(new.values()), _merged(old.values())
    pairs = [(item, old.get(route, RouteEvidence(route))) for route, item in new.items()]
    if any(_is_worse(*pair) for pair in (*pairs, (all_new, all_old))):
        return Verdict.WORSE
    return Verdict.NO_WORSE if all_new.answered >= MIN_NEW else Verdict.TOO_FEW


def _merged(evidence: Iterable[RouteEvidence]) -> RouteEvidence:
    answered = failed = 0
    buckets: Counter[int] = Counter()
    for item in evidence:
        answered += item.answered
        failed += item.failed
        buckets.update(item.count_by_bucket)
    return RouteEvidence("", answered, failed, buckets)


def _is_worse(new: RouteEvidence, old: RouteEvidence) -> bool:
    if old.answered < MIN_OLD:
        return False
    if _is_more_frequent(new.failed, new.answered, old.failed, old.answered, FAILURE_MARGIN):
        return True
    limit = _percentile_bucket(old, SLOW_PERCENTILE) + _buckets_of_factor(SLOW_FACTOR)
    new_slow, old_slow = _count_above(new, limit), _count_above(old, limit)
    return _is_more_frequent(new_slow, new.answered, old_slow, old.answered, SLOW_MARGIN)


def _is_more_frequent(
    new_count: int, new_total: int, old_count: int, old_total: int, margin: float
) -> bool:
    if new_count < MIN_WORSE:
        return False
    low, _ = wilson_interval(new_count, new_total)
    _, high = wilson_interval(old_count, old_total)
    return low > min(high, old_count / old_total + margin) + margin


def wilson_interval(count: int, total: int) -> tuple[float, float]:
    """Return the Wilson score interval of a rate (Wilson, 1927), at `CONFIDENCE`."""
    if not total:
        return 0.0, 1.0
    z = CONFIDENCE
    rate = count / total
    centre = rate + z * z / (2 * total)
    spread = z * math.sqrt(rate * (1 - rate) / total + z * z / (4 * total * total))
    scale = 1 + z * z / total
    return max(0.0, (centre - spread) / scale), min(1.0, (centre + spread) / scale)


def _percentile_bucket(evidence: RouteEvidence, fraction: float) -> int:
    wanted = fraction * evidence.answered
    seen = 0
    for bucket in sorted(evidence.count_by_bucket):
        seen += evidence.count_by_bucket[bucket]
        if seen >= wanted:
            return bucket
    return 0


def _buckets_of_factor(factor: float) -> int:
    return math.ceil(math.log(factor, BUCKET_GROWTH))


def _count_above(evidence: RouteEvidence, bucket: int) -> int:
    return sum(count for number, count in evidence.count_by_bucket.items() if number > bucket)
