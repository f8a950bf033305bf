"""The next step of a roll-out.

The module does no input or output, and time is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from jaypost.records import RolloutPhase, RolloutStep
from jaypost.rollouts.evidence import Verdict

# Part of the exposure that a new version gets until it is trusted with all requests. The rest is
# for the time in which a fault that shows only then is noticed.
CANARY_FRACTION = 0.5
# Fractions of the time of the order: when all requests move at the earliest; when they move
# although few requests were compared; and when the roll-out ends in any case.
FULL_AT = 0.5
FULL_AT_WITH_FEW_SAMPLES = 0.65
END_AT = 0.95
# All requests go to the new version for this fraction of the time, and at least this long, before
# it has succeeded.
FULL_FRACTION = 0.06
FULL_MIN_S = 1.0
# Slots that the new version needs to take all requests, as a fraction of those of the old one.
MIN_SLOTS_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The operator's order to move a service to another version.

    Parameters
    ----------
    service : str
        Service to move.
    version : str
        Version to move it to.
    duration_s : float
        Time in seconds within which the roll-out must end.
    revision : int
        Revision of the order in the store.
    era : int
        Era of the store.
    """

    service: str
    version: str
    duration_s: float
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class Situation:
    """What the decider knows about a roll-out.

    Parameters
    ----------
    order : RolloutOrder
        The order.
    baseline : str
        Version that most other targets of the service have.
    elapsed_s : float
        Time in seconds since the order.
    in_phase_s : float
        Time in seconds since the last step.
    verdict : Verdict
        Comparison of the versions.
    new_slots, old_slots : int
        Slots of the ready targets of the new version and of the others.
    unconfirmed : int
        Reachable hosts with targets of another version that have not reported that they send them
        nothing.
    """

    order: RolloutOrder
    baseline: str
    elapsed_s: float
    in_phase_s: float
    verdict: Verdict
    new_slots: int
    old_slots: int
    unconfirmed: int


def next_step(
    step: RolloutStep | None, situation: Situation, exposure_share: float
) -> RolloutStep | None:
    """Return the next step of a roll-out; None to go on with the present one.

    Parameters
    ----------
    step : RolloutStep or None
        Last step of the service, of this order or of an earlier one; None before the first.
    situation : Situation
        What is known now.
    exposure_share : float
        Largest fraction of the requests of the service that a bad version may get.
    """
    order = situation.order
    if step is None or (step.era, step.order) != (order.era, order.revision):
        return _first_step(step, situation, exposure_share)
    if step.phase is not RolloutPhase.RUNNING:
        return None
    if situation.verdict is Verdict.WORSE:
        return _following(step, RolloutPhase.ROLLED_BACK, 0.0)
    if step.share < 1.0:
        return _after_canary(step, situation)
    return _after_full(step, situation)


def _first_step(
    step: RolloutStep | None, situation: Situation, exposure_share: float
) -> RolloutStep:
    """Return the first step of an order; it may replace an order that has not ended."""
    order = situation.order
    baseline = situation.baseline
    if step is not None:
        succeeded = step.phase is RolloutPhase.SUCCEEDED
        baseline = step.version if succeeded else step.baseline
    share = CANARY_FRACTION * exposure_share
    return RolloutStep(
        order.service,
        order.version,
        baseline,
        RolloutPhase.RUNNING,
        share,
        order.revision,
        1,
        order.era,
    )


def _after_canary(step: RolloutStep, situation: Situation) -> RolloutStep | None:
    elapsed = situation.elapsed_s / situation.order.duration_s
    if elapsed >= END_AT:
        return _following(step, RolloutPhase.ROLLED_BACK, 0.0)
    if situation.new_slots < max(1.0, MIN_SLOTS_FRACTION * situation.old_slots):
        return None
    compared = situation.verdict is Verdict.NO_WORSE
    if elapsed >= (FULL_AT if compared else FULL_AT_WITH_FEW_SAMPLES):
        return _following(step, RolloutPhase.RUNNING, 1.0)
    return None


def _after_full(step: RolloutStep, situation: Situation) -> RolloutStep | None:
    duration_s = situation.order.duration_s
    if situation.elapsed_s >= END_AT * duration_s:
        return _following(step, RolloutPhase.SUCCEEDED, 1.0)
    observed = situation.in_phase_s >= max(FULL_MIN_S, FULL_FRACTION * duration_s)
    if observed and not situation.unconfirmed and situation.new_slots:
        return _following(step, RolloutPhase.SUCCEEDED, 1.0)
    return None


def _following(step: RolloutStep, phase: RolloutPhase, share: float) -> RolloutStep:
    return replace(step, phase=phase, share=share, number=step.number + 1)
