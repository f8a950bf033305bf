"""`jaypost` queries of the table, a node or the fleet; they change nothing."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime

from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from jaypost.console import (
    STANDARD_STREAM_ARGUMENT,
    CommandFailedError,
    Context,
    ExitCode,
    OutputFormat,
    UsageError,
    choose_format,
    non_default_cells,
    read_row_file,
    report_refusal,
    report_store_failure,
    show_changes,
    write_file,
)
from jaypost.explanations import Explanation
from jaypost.fleet_client import (
    EventsView,
    FleetClient,
    FleetView,
    LocalView,
    NodeView,
    QueryFailed,
    RolloutProgress,
    rollout_progress,
)
from jaypost.formats import InvalidInput, format_rows, row_cells, row_changes
from jaypost.records import Row, Table
from jaypost.request_explanations import RequestExplanation, RequestQuery
from jaypost.store import StoreFailed
from jaypost.table import EMPTY_TABLE, apply_row_changes, diff, row_columns, validate
from jaypost.writers import ChangeFound, TableWriter, VersionGone

MAX_LISTED_ITEMS = 10  # items printed of a list of names or problems
POLL_INTERVAL_S = 1.0


def _fleet_client(context: Context) -> FleetClient:
    if not context.nodes:
        raise UsageError("no node is set; use --node IP:PORT or JAYPOST_NODE")
    return FleetClient(context.nodes)


def _report_failure(context: Context, failure: QueryFailed) -> ExitCode:
    context.print_error(failure.reason)
    return ExitCode.FAILED


def _format_time(at_ms: int) -> str:
    """Return the UTC time, or the bare number of milliseconds when it is out of range."""
    try:
        return datetime.fromtimestamp(at_ms / 1000, UTC).isoformat(" ", "milliseconds")
    except (OverflowError, ValueError, OSError):
        return str(at_ms)


def _format_names(names: Sequence[str]) -> str:
    shown = ", ".join(names[:MAX_LISTED_ITEMS])
    more = len(names) - MAX_LISTED_ITEMS
    return f"{shown} and {more} more" if more > 0 else shown


async def status(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show the status of the fleet, or only of the node that answers."""
    client = _fleet_client(context)
    if arguments.this:
        node = await client.node()
        if isinstance(node, QueryFailed):
            return _report_failure(context, node)
        return _show_local_status(context, node)
    fleet = await client.fleet()
    if isinstance(fleet, QueryFailed):
        return _report_failure(context, fleet)
    if context.output is OutputFormat.JSON:
        context.print_json(fleet)
    elif arguments.all:
        _show_nodes(context, fleet.nodes)
    else:
        _show_fleet(context, fleet)
    return ExitCode.DONE


def _show_local_status(context: Context, node: LocalView) -> ExitCode:
    if context.output is OutputFormat.JSON:
        context.print_json(node)
        return ExitCode.DONE
    age = node.store_contact_age_s
    lines = [
        ("node", node.node_id),
        ("location", f"{node.failure_domain} in {node.region}"),
        ("state", node.state),
        ("ready", "yes" if node.ready else f"no: {node.not_ready_because}"),
        ("version in force", node.in_force_version),
        ("version held", node.held_version),
        ("behind", f"for {node.version_lag_s:.1f} s" if node.version_lag_s else "no"),
        ("refusal reasons", "; ".join(node.problems)),
        ("reader", "yes" if node.reader else "no"),
        ("last store answer", "store not contacted" if age is None else f"{age:.1f} s ago"),
        ("known nodes", node.known_nodes),
        ("unreachable nodes", _format_names(node.unreachable_nodes)),
        ("targets", ", ".join(f"{target.target_id} {target.state}" for target in node.targets)),
    ]
    context.print_table(("this node", ""), lines)
    return ExitCode.DONE


def _show_nodes(context: Context, nodes: Sequence[NodeView]) -> None:
    header = ("node", "domain", "region", "state", "held", "in force", "problems")
    lines = [
        (
            node.node_id,
            node.failure_domain,
            node.region,
            node.state,
            node.held_version if node.answered else "no answer",
            node.in_force_version if node.answered else "",
            "; ".join(node.problems),
        )
        for node in sorted(nodes, key=lambda node: (node.region, node.failure_domain, node.node_id))
    ]
    context.print_table(header, lines)


def _show_fleet(context: Context, fleet: FleetView) -> None:
    newest = fleet.newest_version
    domains = sorted({(node.region, node.failure_domain) for node in fleet.nodes})
    lines = []
    for region, domain in domains:
        nodes = [node for node in fleet.nodes if node.failure_domain == domain]
        rollout = rollout_progress(FleetView(tuple(nodes), fleet.unreachable), newest)
        refused = sum(bool(node.problems) for node in nodes)
        lines.append(
            (
                region,
                domain,
                len(nodes),
                rollout.in_force,
                len(rollout.behind),
                refused,
                len(rollout.silent),
                sum(node.node_id in fleet.unreachable for node in nodes),
                _oldest_in_force(nodes),
            )
        )
    header = ("region", "domain", "nodes", "newest in force", "behind", "refused", "silent")
    context.print_table((*header, "unreachable", "oldest in force"), lines)
    _show_rollout(context, fleet, rollout_progress(fleet, newest))


def _oldest_in_force(nodes: Sequence[NodeView]) -> int | str:
    return min((node.in_force_version for node in nodes if node.answered), default="")


def _show_rollout(context: Context, fleet: FleetView, rollout: RolloutProgress) -> None:
    """Print the newest version and the nodes that are behind, refuse it, are silent or unreachable.

    The problems reported by the first node that has any follow.
    """
    context.print_line(f"newest version held: {rollout.version}")
    for label, names in (
        ("behind", rollout.behind),
        ("refused", rollout.refused),
        ("silent", rollout.silent),
        ("unreachable", fleet.unreachable),
    ):
        if names:
            context.print_line(f"{label}: {len(names)}: {_format_names(names)}")
    for node in fleet.nodes:
        if node.problems:
            context.print_line(f"reasons given by {node.node_id}:")
            for problem in node.problems[:MAX_LISTED_ITEMS]:
                context.print_line(f"  {problem}")
            return


async def explain(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show how a node routes requests for a service."""
    explanation = await _fleet_client(context).explain(arguments.service)
    if isinstance(explanation, QueryFailed):
        return _report_failure(context, explanation)
    if context.output is OutputFormat.JSON:
        context.print_json(explanation)
    else:
        _show_explanation(context, explanation)
    return ExitCode.DONE


async def explain_request(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show where a request would go now and why, without sending it."""
    query = RequestQuery(
        arguments.host, arguments.path, arguments.method, arguments.workspace or ""
    )
    explanation = await _fleet_client(context).explain_request(query)
    if isinstance(explanation, QueryFailed):
        return _report_failure(context, explanation)
    if context.output is OutputFormat.JSON:
        context.print_json(explanation)
    else:
        _show_request_explanation(context, explanation)
    return ExitCode.DONE


def _show_request_explanation(context: Context, explanation: RequestExplanation) -> None:
    seen_by = f"version {explanation.version}, seen by {explanation.node_id}"
    if explanation.refused:
        route = explanation.route or "no route"
        context.print_line(f"{route}: refused with {explanation.refused}, {seen_by}")
        context.print_line(f"status {explanation.status}, not run")
        return
    repeatable = "may be repeated" if explanation.repeatable else "runs at most once"
    context.print_line(f"route {explanation.route}, {repeatable}, {seen_by}")
    context.print_line(f"priority {explanation.priority}")
    if explanation.workspace:
        limit = f"{explanation.rate_limit:g}/s on all hosts" if explanation.rate_limit else "none"
        context.print_line(
            f"workspace {explanation.workspace}: limit {limit}, "
            f"share of this host {explanation.share_rate:.2f}/s"
        )
    for destination in explanation.destinations:
        context.print_line(
            f"destination {destination.service}: {destination.share:.1%} of the requests, "
            f"{destination.canary_share:.1%} of them to a new version"
        )
        if destination.refused:
            context.print_line(f"  refused with {destination.refused}")
        for number, choice in enumerate(destination.choices):
            name = "target" if not number else "next one"
            waits = ", may wait there" if choice.may_wait else ""
            crossing = (
                f", none free in its own domain: {choice.crossing}" if choice.crossing else ""
            )
            context.print_line(
                f"  {name}: {choice.target_id} {choice.version}".rstrip()
                + f" on {choice.node_id} in {choice.failure_domain}{waits}{crossing}"
            )
    if explanation.explanation is not None:
        _show_explanation(context, explanation.explanation)


def _show_explanation(context: Context, explanation: Explanation) -> None:
    row = explanation.row
    context.print_line(
        f"service {row.service}, version {explanation.version}, seen by {explanation.node_id}"
    )
    context.print_line(
        f"timeout_ms={row.timeout_ms} retry_limit={row.retry_limit} hedge_ms={row.hedge_ms} "
        f"rate_limit={row.rate_limit:g} concurrency_limit={row.concurrency_limit} "
        f"queue_limit={row.queue_limit} spill={row.spill}"
    )
    total_weight = sum(destination.weight for destination in explanation.destinations)
    for destination in explanation.destinations:
        share = destination.weight / total_weight if total_weight else 0.0
        context.print_line(f"destination {destination.service}: {share:.1%} of the requests")
    header = ("target", "service", "node", "domain", "tier", "state", "weight", "load", "obstacle")
    lines = [
        (
            target.target_id,
            target.service,
            target.node_id,
            target.failure_domain,
            target.tier,
            target.state,
            f"{target.weight:.2f}",
            target.load or "unknown",
            target.obstacle,
        )
        for target in explanation.targets
    ]
    context.print_table(header, lines)
    for problem in explanation.problems:
        context.print_line(f"problem: {problem}")


async def events(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show the decisions that a node made on its own."""
    view = await _fleet_client(context).events(arguments.limit, arguments.name)
    if isinstance(view, QueryFailed):
        return _report_failure(context, view)
    if context.output is OutputFormat.JSON:
        context.print_json(view)
    else:
        _show_events(context, view)
    return ExitCode.DONE


def _show_events(context: Context, view: EventsView) -> None:
    lines = [
        (_format_time(event.at_ms), event.name, _format_details(event.details))
        for event in view.events
    ]
    context.print_table(("time (UTC)", "event", "details"), lines)
    if view.dropped:
        context.print_line(f"{view.dropped} older events are no longer kept")


def _format_details(details: Mapping[str, object]) -> str:
    return " ".join(f"{key}={value}" for key, value in details.items())


async def watch(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Follow a version until every node uses it, a node refuses it or the timeout ends."""
    client = _fleet_client(context)
    deadline = time.monotonic() + arguments.timeout
    version = arguments.version or 0
    with _progress_bar(context) as progress:
        task = progress.add_task("waiting for a node to answer", total=None)
        while True:
            fleet = await client.fleet()
            rollout = None
            if isinstance(fleet, QueryFailed):
                progress.update(task, description=fleet.reason)
            else:
                version = version or fleet.newest_version
                rollout = rollout_progress(fleet, version)
                _show_progress(context, progress, task, rollout)
            if rollout is not None and (rollout.complete or rollout.refused):
                break
            if time.monotonic() + POLL_INTERVAL_S > deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
    if isinstance(fleet, QueryFailed):
        return _report_failure(context, fleet)
    return _report_watch_result(context, rollout_progress(fleet, version))


def _progress_bar(context: Context) -> Progress:
    return Progress(
        TextColumn("{task.description}", markup=False),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=context.rich_console(),
        disable=context.output is OutputFormat.JSON or not context.out.isatty(),
    )


def _show_progress(
    context: Context, progress: Progress, task: object, rollout: RolloutProgress
) -> None:
    if context.output is OutputFormat.JSON:
        context.print_json(rollout)
    elif progress.disable:
        context.print_line(
            f"version {rollout.version}: in force on {rollout.in_force} of {rollout.total} nodes"
        )
    else:
        progress.update(
            progress.task_ids[0],
            description=f"version {rollout.version} in force",
            completed=rollout.in_force,
            total=rollout.total,
        )


def _report_watch_result(context: Context, rollout: RolloutProgress) -> ExitCode:
    if rollout.complete:
        if context.output is OutputFormat.TABLE:
            context.print_line(f"version {rollout.version} is in force on {rollout.in_force} nodes")
        return ExitCode.DONE
    if rollout.refused:
        context.print_error(
            f"version {rollout.version} is refused by {_format_names(rollout.refused)}"
        )
        return ExitCode.REFUSED
    lagging = rollout.behind + rollout.silent
    context.print_error(f"version {rollout.version} is not in force on {_format_names(lagging)}")
    return ExitCode.FAILED


async def table_get(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show rows of the newest version in the store."""
    table = await _read_table(context)
    if isinstance(table, StoreFailed):
        return report_store_failure(context, table)
    names = arguments.services or sorted(table.rows_by_service)
    missing = [name for name in names if name not in table.rows_by_service]
    if missing:
        context.print_error(f"no row in version {table.version}: {_format_names(missing)}")
        return ExitCode.FAILED
    rows = [table.rows_by_service[name] for name in names]
    if context.output is OutputFormat.JSON:
        context.print_json(
            {"version": table.version, "rows": {row.service: row_columns(row) for row in rows}}
        )
    elif arguments.services and len(rows) == 1:
        _show_row(context, rows[0])
    else:
        _show_rows(context, table, rows)
    return ExitCode.DONE


async def _read_table(context: Context) -> Table | StoreFailed:
    async with context.writer() as writer:
        return await writer.read()


def _show_row(context: Context, row: Row) -> None:
    default_cells = row_cells(Row(row.service))
    lines = [
        (
            column,
            cell,
            "" if cell == default_cells[column] else f"default {default_cells[column] or 'empty'}",
        )
        for column, cell in row_cells(row).items()
    ]
    context.print_table(("column", "value", ""), lines)


def _show_rows(context: Context, table: Table, rows: Sequence[Row]) -> None:
    lines = [
        (row.service, " ".join(f"{key}={cell}" for key, cell in non_default_cells(row).items()))
        for row in rows
    ]
    context.print_table(("service", "columns that differ from the default"), lines)
    context.print_line(f"version {table.version}, {len(table.rows_by_service)} rows")


async def table_export(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Write rows to a file or to standard output."""
    table = await _read_table(context)
    if isinstance(table, StoreFailed):
        return report_store_failure(context, table)
    names = arguments.services or sorted(table.rows_by_service)
    rows = [table.rows_by_service[name] for name in names if name in table.rows_by_service]
    if len(rows) < len(names):
        missing = [name for name in names if name not in table.rows_by_service]
        context.print_error(f"no row in version {table.version}: {_format_names(missing)}")
        return ExitCode.FAILED
    text = format_rows(rows, choose_format(arguments.file, arguments.format))
    if arguments.file == STANDARD_STREAM_ARGUMENT:
        context.out.write(text)
        return ExitCode.DONE
    write_file(arguments.file, text)
    context.print_line(f"wrote {len(rows)} rows of version {table.version}")
    return ExitCode.DONE


async def table_history(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show the newest changes of the table."""
    async with context.writer() as writer:
        deltas = await writer.history(arguments.limit)
    if isinstance(deltas, StoreFailed):
        return report_store_failure(context, deltas)
    if context.output is OutputFormat.JSON:
        context.print_json({"changes": deltas})
        return ExitCode.DONE
    header = ("version", "time (UTC)", "author", "rows", "change", "comment")
    lines = [
        (
            delta.version,
            _format_time(delta.at_ms),
            delta.author,
            _format_names([change.service for change in delta.rows]),
            delta.change_id,
            delta.comment,
        )
        for delta in deltas
    ]
    context.print_table(header, lines)
    return ExitCode.DONE


async def table_diff(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show the columns that differ between two versions; the second defaults to the newest."""
    async with context.writer() as writer:
        old = await writer.read_version(arguments.old)
        new = await _read_version(writer, arguments.new)
    if isinstance(old, StoreFailed):
        return report_store_failure(context, old)
    if isinstance(new, StoreFailed):
        return report_store_failure(context, new)
    if isinstance(old, VersionGone) or isinstance(new, VersionGone):
        gone = old if isinstance(old, VersionGone) else new
        raise CommandFailedError(f"version {gone.version} does not exist or is no longer kept")
    if context.output is OutputFormat.JSON:
        changes = [
            {
                "service": change.service,
                "row": None if change.row is None else row_columns(change.row),
            }
            for change in diff(old, new)
        ]
        context.print_json({"old": old.version, "new": new.version, "changes": changes})
    else:
        show_changes(context, old.rows_by_service, new.rows_by_service)
    return ExitCode.DONE


async def _read_version(
    writer: TableWriter, version: int | None
) -> Table | VersionGone | StoreFailed:
    """Read `version`, or the newest version when it is None."""
    return await writer.read() if version is None else await writer.read_version(version)


async def table_validate(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Check the newest version, or the table that the import of a file would give."""
    file_rows = read_row_file(arguments.file, arguments.format) if arguments.file else ()
    if isinstance(file_rows, InvalidInput):
        return report_refusal(context, file_rows.problems)
    base = EMPTY_TABLE if arguments.whole else await _read_table(context)
    if isinstance(base, StoreFailed):
        return report_store_failure(context, base)
    changes = row_changes(base, file_rows, deletable_services=(), keep_omitted_columns=True)
    if isinstance(changes, InvalidInput):
        return report_refusal(context, changes.problems)
    rows = apply_row_changes(base.rows_by_service, changes)
    problems = validate(rows)
    if problems:
        return report_refusal(context, problems)
    if context.output is OutputFormat.JSON:
        context.print_json({"valid": True, "rows": len(rows), "changed": len(changes)})
    else:
        context.print_line(f"valid: {len(rows)} rows, {len(changes)} of them changed")
    return ExitCode.DONE


async def table_status(context: Context, arguments: argparse.Namespace) -> ExitCode:
    """Show the newest version in the store, or whether a change took effect."""
    if arguments.change:
        return await _change_status(context, arguments.change)
    async with context.writer() as writer:
        table = await writer.read()
        deltas = await writer.history(1)
    if isinstance(table, StoreFailed):
        return report_store_failure(context, table)
    if isinstance(deltas, StoreFailed):
        return report_store_failure(context, deltas)
    newest = deltas[0] if deltas else None
    if context.output is OutputFormat.JSON:
        context.print_json(
            {
                "version": table.version,
                "digest": table.digest,
                "rows": len(table.rows_by_service),
                "newest_change": newest,
            }
        )
        return ExitCode.DONE
    context.print_line(
        f"version {table.version}, {len(table.rows_by_service)} rows, digest {table.digest}"
    )
    if newest is not None:
        context.print_line(
            f"changed {_format_time(newest.at_ms)} by {newest.author}: {newest.comment}"
        )
    return ExitCode.DONE


async def _change_status(context: Context, change_id: str) -> ExitCode:
    async with context.writer() as writer:
        outcome = await writer.change_status(change_id)
    if isinstance(outcome, StoreFailed):
        report_store_failure(context, outcome)
        return ExitCode.UNDECIDED
    if isinstance(outcome, ChangeFound):
        version: int | None = outcome.delta.version
        text = f"change {change_id} is version {version}"
    else:
        version = None
        text = (
            f"change {change_id} is not in version {outcome.version} or an older one that is kept"
        )
    if context.output is OutputFormat.JSON:
        context.print_json({"change": change_id, "version": version})
    else:
        context.print_line(text)
    return ExitCode.FAILED if version is None else ExitCode.DONE
