"""Rules that must always hold, asserted inside the program.

A violation is counted and logged; it raises only when `raise_on_violation` was called, as tests do.
"""

from __future__ import annotations

from collections import Counter

import structlog

log = structlog.get_logger(__name__)

violations_by_rule: Counter[str] = Counter()
_raise_on_violation = False


class InvariantViolationError(AssertionError):
    """A rule that must always hold was broken."""


def raise_on_violation(enabled: bool) -> None:
    """Choose whether a violation raises `InvariantViolationError`."""
    global _raise_on_violation
    _raise_on_violation = enabled


def check(condition: bool, rule: str, **details: object) -> bool:
    """Count and log a violation of `rule` when `condition` is false.

    Parameters
    ----------
    condition : bool
        The rule's condition.
    rule : str
        Stable name of the rule, also the label of the metric.
    **details : object
        Values that explain the violation in the log line.

    Returns
    -------
    bool
        `condition`, so that production code can refuse the step that broke the rule.

    Raises
    ------
    InvariantViolationError
        If the condition is false and violations raise.
    """
    if condition:
        return True
    violations_by_rule[rule] += 1
    log.error("invariant_violated", rule=rule, **details)
    if _raise_on_violation:
        raise InvariantViolationError(f"{rule}: {details}")
    return False
