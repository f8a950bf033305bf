"""Run-time checks of rules that must always hold.

A violation is counted and logged. It raises an exception only after `raise_on_violation(True)`,
which the tests call, and the daemon if its setting of that name is true.
"""

from __future__ import annotations

from collections import Counter

import structlog

log = structlog.get_logger(__name__)

violations_by_rule: Counter[str] = Counter()
_raise_on_violation = False


class InvariantViolationError(AssertionError):
    """A rule that must always hold is violated."""


def raise_on_violation(enabled: bool) -> None:
    """Choose whether a violation raises `InvariantViolationError`."""
    global _raise_on_violation
    _raise_on_violation = enabled


def check(condition: bool, rule: str, **details: object) -> bool:
    """Count and log a violation of `rule` when `condition` is false.

    Parameters
    ----------
    condition : bool
        Whether the rule holds.
    rule : str
        Stable name of the rule, used in the log line and as the label of the metric.
    **details : object
        Further fields of the log line, which explain the violation.

    Returns
    -------
    bool
        `condition`, so that the caller can reject the operation that violates the rule.

    Raises
    ------
    InvariantViolationError
        If `condition` is false and `raise_on_violation(True)` was called.
    """
    if condition:
        return True
    violations_by_rule[rule] += 1
    log.error("invariant_violated", rule=rule, **details)
    if _raise_on_violation:
        raise InvariantViolationError(f"{rule}: {details}")
    return False
