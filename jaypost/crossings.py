"""When a request leaves its failure domain although targets there could run it later.

Waiting for a target of the own domain costs time; a target of another domain costs the distance,
and what the operators say a crossing is worth in time. The decision is made for each request, from
the waits that are estimated at this moment, and by a share that rises with the time saved: if all
nodes left as soon as it paid, they would fill the other domain at the same moment and come back
together.

The module does no input or output.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

# Bytes of a request and its response whose crossing costs `crossing_ms` once. More cost more.
CROSSING_UNIT_BYTES = 16_384
# Round trip in seconds between two failure domains of a region.
DOMAIN_ROUND_TRIP_S = 0.002


class CrossingChoice(StrEnum):
    """What was decided for a request that found no free target in its failure domain."""

    STAYED = "stayed"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Crossing:
    """What leaving the domain would cost and save.

    Parameters
    ----------
    wait_here_s : float
        Estimated wait in seconds for a slot of the best target of the own domain.
    wait_there_s : float
        The same for the best target of the other domains of the region.
    price_s : float
        Waiting time in seconds that the operators accept rather than one crossing.
    crossing_bytes : float
        Bytes of the request and of its expected response.
    """

    wait_here_s: float
    wait_there_s: float
    price_s: float
    crossing_bytes: float


def leaving_share(crossing: Crossing) -> float:
    """Return the fraction of such requests that should leave, 0 to 1.

    It is 0 while leaving saves less than it costs, and 1 from twice the cost on.
    """
    units = max(1.0, crossing.crossing_bytes / CROSSING_UNIT_BYTES)
    cost_s = DOMAIN_ROUND_TRIP_S + crossing.price_s * units
    saved_s = crossing.wait_here_s - crossing.wait_there_s
    return min(1.0, max(0.0, (saved_s - cost_s) / cost_s))
