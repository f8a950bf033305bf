"""`jaypost rollout`: the operator's orders of roll-outs, and their states."""

from __future__ import annotations

import argparse

from jaypost.console import (
    Context,
    ExitCode,
    OutputFormat,
    UsageError,
    report_store_failure,
)
from jaypost.rollouts.decisions import RolloutOrder
from jaypost.rollouts.orders import (
    DEFAULT_ROLLOUT_KEYS,
    MAX_DURATION_S,
    MAX_VERSION_CHARACTERS,
    decode_order,
    decode_status,
    encode_order,
)
from jaypost.store import Conflict, Listed, Stored, StoreFailed
from jaypost.table import SERVICE_PATTERN


async def start(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Order that a service moves to targets of another version."""
    service, version = arguments.service, arguments.version
    if not SERVICE_PATTERN.fullmatch(service):
        raise UsageError(f"{service!r} is not the name of a service")
    if not 0 < len(version) <= MAX_VERSION_CHARACTERS:
        raise UsageError(f"a version must have 1 to {MAX_VERSION_CHARACTERS} characters")
    if not 0.0 < arguments.within <= MAX_DURATION_S:
        raise UsageError("--within must be above 0 and at most a week")
    order = RolloutOrder(service, version, arguments.within, 0)
    async with context.store_client() as store:
        outcome = await store.put(
            DEFAULT_ROLLOUT_KEYS.order_prefix + service, encode_order(order), None
        )
    if isinstance(outcome, StoreFailed):
        return report_store_failure(context, outcome)
    if isinstance(outcome, Conflict):
        return ExitCode.CLASH
    assert isinstance(outcome, Stored)
    context.print_line(f"ordered: {service} moves to {version} within {arguments.within:g} s")
    return ExitCode.DONE


async def status(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show the orders of roll-outs and their states."""
    async with context.store_client() as store:
        orders = await store.list(DEFAULT_ROLLOUT_KEYS.order_prefix)
        states = await store.list(DEFAULT_ROLLOUT_KEYS.status_prefix)
    for outcome in (orders, states):
        if isinstance(outcome, StoreFailed):
            return report_store_failure(context, outcome)
    assert isinstance(orders, Listed) and isinstance(states, Listed)
    value_by_service = {
        entry.key.removeprefix(DEFAULT_ROLLOUT_KEYS.status_prefix): entry.value
        for entry in states.entries
    }
    rows = []
    for entry in orders.entries:
        order = decode_order(entry)
        if order is None or arguments.service not in (None, order.service):
            continue
        known = decode_status(order.service, value_by_service.get(order.service, b""))
        is_current = known is not None and known.step.order == order.revision
        state = known.step.phase.value if known is not None and is_current else "ordered"
        share = known.step.share if known is not None and is_current else 0.0
        rows.append((order.service, order.version, state, f"{share:.1%}"))
    if context.output is OutputFormat.JSON:
        context.print_json(rows)
    else:
        context.print_table(("service", "version", "state", "share"), rows)
    return ExitCode.DONE
