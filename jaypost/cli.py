"""Command line of `jaypost`: parses the arguments and runs one command or query."""

# PYTHON_ARGCOMPLETE_OK

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TextIO

import argcomplete

from jaypost import commands, logs, queries
from jaypost.console import (
    CommandFailedError,
    Context,
    ExitCode,
    OutputFormat,
    UsageError,
    WriterFactory,
    open_writer,
)
from jaypost.formats import COLUMNS, FileFormat
from jaypost.records import Address
from jaypost.rollouts import commands as rollout_commands
from jaypost.settings import parse_address
from jaypost.workspaces import commands as workspace_commands

DEFAULT_WATCH_TIMEOUT_S = 30.0
DEFAULT_HISTORY_LIMIT = 20
DEFAULT_EVENT_LIMIT = 100
MAX_EVENT_LIMIT = 1000  # the admin port of a node accepts no higher limit

CommandFunction = Callable[[Context, argparse.Namespace], Awaitable[ExitCode]]

EXIT_CODES_HELP = """\
exit codes: 0 done, 1 failed, 2 usage error, 3 clash with a change of another
operator, 4 refused by validation, 5 undecided: it is unknown whether the change
took effect (check with: jaypost table status --change ID)"""


def main(
    argv: Sequence[str] | None = None,
    environment: Mapping[str, str] | None = None,
    out: TextIO | None = None,
    err: TextIO | None = None,
    writer_factory: WriterFactory = open_writer,
) -> int:
    """Run one command or query and return its exit code.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments without the program name; by default those of the process.
    environment : Mapping[str, str], optional
        Environment variables; by default those of the process.
    out, err : TextIO, optional
        Streams for output and errors; by default stdout and stderr.
    writer_factory : callable
        Opens a table writer on the store at an address.

    Raises
    ------
    SystemExit
        With status 2 if the arguments are invalid, with status 0 after ``--help``.
    """
    parser = build_parser()
    argcomplete.autocomplete(parser)
    arguments = parse_arguments(parser, argv)
    err = err or sys.stderr
    logs.setup("warning", err)
    try:
        context = _build_context(
            arguments,
            os.environ if environment is None else environment,
            out or sys.stdout,
            err,
            writer_factory,
        )
        return int(asyncio.run(arguments.run(context, arguments)))
    except UsageError as error:
        print(f"jaypost: {error}", file=err)
        return ExitCode.USAGE
    except CommandFailedError as error:
        print(f"jaypost: {error}", file=err)
        return ExitCode.FAILED
    except KeyboardInterrupt:
        # An interrupt while a change is being sent is reported as undecided by `commands`.
        print("jaypost: interrupted; no change was sent", file=err)
        return ExitCode.FAILED
    except BrokenPipeError:
        return ExitCode.FAILED


def parse_arguments(
    parser: argparse.ArgumentParser, argv: Sequence[str] | None
) -> argparse.Namespace:
    """Parse the command line; flags may stand between the items of a list.

    Argparse ends a list of services or assignments at the first flag and returns the items after
    that flag as unrecognized. They are appended to the list that the default `rest` names.

    Raises
    ------
    SystemExit
        If the arguments are invalid.
    """
    arguments, rest = parser.parse_known_args(argv)
    list_name: str = getattr(arguments, "rest", "")
    if rest and (not list_name or any(word.startswith("-") for word in rest)):
        parser.error(f"unrecognized arguments: {' '.join(rest)}")
    if rest:
        getattr(arguments, list_name).extend(rest)
    return arguments


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser of all commands and queries."""
    parser = argparse.ArgumentParser(
        prog="jaypost",
        description="Reads and changes the service table and shows the state of the nodes.",
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(metavar="ACTION", required=True)
    _add_table_actions(subparsers.add_parser("table", help="read and change the service table"))
    _add_status(subparsers)
    _add_explain(subparsers)
    _add_explain_request(subparsers)
    _add_events(subparsers)
    _add_watch(subparsers)
    _add_rollout_actions(
        subparsers.add_parser("rollout", help="move a service to targets of another version")
    )
    _add_workspace_actions(
        subparsers.add_parser("workspace", help="workspaces, their limits and keys")
    )
    return parser


def _add_status(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(
        subparsers, "status", queries.status, "show the nodes and their table versions"
    )
    _add_node_flags(parser)
    scope = parser.add_mutually_exclusive_group()
    scope.add_argument("--all", action="store_true", help="print one line for each node")
    scope.add_argument("--this", action="store_true", help="show only the node that answers")


def _add_explain(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(
        subparsers, "explain", queries.explain, "show how a node routes a service"
    )
    parser.add_argument("service", metavar="SERVICE")
    _add_node_flags(parser)


def _add_explain_request(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    parser = _add_command(
        subparsers,
        "explain-request",
        queries.explain_request,
        "show where a request would go now, without sending it",
    )
    parser.add_argument("host", metavar="HOST", help="value of the Host header")
    parser.add_argument("path", metavar="PATH")
    parser.add_argument("--method", default="GET")
    parser.add_argument("--workspace", help="name of the workspace of the request")
    _add_node_flags(parser)


def _add_events(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(
        subparsers, "events", queries.events, "show the decisions that a node made on its own"
    )
    parser.add_argument(
        "--limit",
        type=_integer_parser(MAX_EVENT_LIMIT),
        default=DEFAULT_EVENT_LIMIT,
        help="number of newest events to show",
    )
    parser.add_argument("--name", help="only events of this name")
    _add_node_flags(parser)


def _add_watch(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add_command(
        subparsers, "watch", queries.watch, "follow a table version until every node uses it"
    )
    parser.add_argument(
        "--version",
        type=_integer_parser(),
        help="version to follow (default: the newest held by a node)",
    )
    parser.add_argument(
        "--timeout", type=_parse_seconds, default=DEFAULT_WATCH_TIMEOUT_S, help="seconds to wait"
    )
    _add_node_flags(parser)


def _add_table_actions(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(metavar="ACTION", required=True)
    _add_table_queries(subparsers)
    _add_table_commands(subparsers)


def _add_rollout_actions(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(metavar="ACTION", required=True)
    start = _add_command(subparsers, "start", rollout_commands.start, "order a roll-out")
    start.add_argument("service", metavar="SERVICE")
    start.add_argument("version", metavar="VERSION", help="version that its targets announce")
    start.add_argument(
        "--within", type=float, required=True, metavar="SECONDS", help="time for the roll-out"
    )
    _add_store_flag(start)
    status = _add_command(subparsers, "status", rollout_commands.status, "show the roll-outs")
    status.add_argument("service", metavar="SERVICE", nargs="?")
    _add_store_flag(status)
    _add_output_flag(status)


def _add_workspace_actions(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(metavar="ACTION", required=True)
    set_ = _add_command(
        subparsers, "set", workspace_commands.set_workspace, "create or change a workspace"
    )
    set_.add_argument("--rate-limit", type=float, help="requests per second; 0 for no limit")
    set_.add_argument("--rate-burst", type=float, help="requests beyond the rate at once")
    set_.add_argument("--priority", type=int, help="rank in queues; -1 for that of the route")
    set_.add_argument("--add-keys", metavar="FILE", help="keys to add, one on each line")
    set_.add_argument("--remove-keys", metavar="FILE", help="keys to remove, one on each line")
    delete = _add_command(
        subparsers, "delete", workspace_commands.delete_workspace, "delete a workspace"
    )
    delete.add_argument(
        "--without-keys", action="store_true", help="delete it even if no request needs a key then"
    )
    for command in (set_, delete):
        command.add_argument("name", metavar="NAME")
        _add_change_flags(command)
        command.add_argument(
            "--dry-run", action="store_true", help="check and show the changes, write nothing"
        )
    listing = _add_command(
        subparsers, "list", workspace_commands.list_workspaces, "show the workspaces"
    )
    _add_store_flag(listing)
    _add_output_flag(listing)


def _add_table_queries(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    get = _add_command(subparsers, "get", queries.table_get, "show rows")
    get.add_argument("services", metavar="SERVICE", nargs="*")
    export = _add_command(subparsers, "export", queries.table_export, "write rows to a file")
    export.add_argument("file", metavar="FILE", help="file to write, - for standard output")
    export.add_argument("services", metavar="SERVICE", nargs="*")
    _add_format_flag(export)
    history = _add_command(subparsers, "history", queries.table_history, "show the newest changes")
    history.add_argument(
        "--limit",
        type=_integer_parser(),
        default=DEFAULT_HISTORY_LIMIT,
        help="number of newest changes to show",
    )
    diff = _add_command(subparsers, "diff", queries.table_diff, "compare two versions")
    diff.add_argument("old", metavar="OLD", type=_integer_parser())
    diff.add_argument("new", metavar="NEW", type=_integer_parser(), nargs="?")
    validate = _add_command(
        subparsers, "validate", queries.table_validate, "check the table or a file"
    )
    validate.add_argument(
        "file", metavar="FILE", nargs="?", help="file to check, - for standard input"
    )
    validate.add_argument(
        "--whole", action="store_true", help="the file is the whole table; the store is not read"
    )
    _add_format_flag(validate)
    status = _add_command(subparsers, "status", queries.table_status, "show the newest version")
    status.add_argument("--change", metavar="ID", help="show whether this change took effect")
    for query in (get, export):
        query.set_defaults(rest="services")
    for query in (get, export, history, diff, validate, status):
        _add_store_flag(query)
        if query is not export:
            _add_output_flag(query)


def _add_table_commands(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    set_row = _add_command(subparsers, "set", commands.set_row, "set columns of one row")
    set_row.add_argument("service", metavar="SERVICE")
    assignments = set_row.add_argument(
        "assignments", metavar="column=value", nargs="*", help=f"columns: {', '.join(COLUMNS)}"
    )
    assignments.completer = _complete_columns  # type: ignore[attr-defined]
    row_action = set_row.add_mutually_exclusive_group()
    row_action.add_argument("--create", action="store_true", help="create the row")
    row_action.add_argument("--delete", action="store_true", help="delete the row")
    edit = _add_command(subparsers, "edit", commands.edit, "change rows in $EDITOR")
    edit.add_argument("services", metavar="SERVICE", nargs="*", help="rows to edit (default: all)")
    import_rows = _add_command(subparsers, "import", commands.import_rows, "set the rows of a file")
    import_rows.add_argument("file", metavar="FILE", help="file to read, - for standard input")
    import_rows.add_argument(
        "--whole", action="store_true", help="delete rows and reset columns that the file omits"
    )
    _add_format_flag(import_rows)
    rollback = _add_command(
        subparsers, "rollback", commands.rollback, "restore the rows of an earlier version"
    )
    rollback.add_argument("version", metavar="VERSION", type=_integer_parser())
    set_row.set_defaults(rest="assignments")
    edit.set_defaults(rest="services")
    for command in (set_row, edit, import_rows, rollback):
        _add_change_flags(command)
        if command is not rollback:
            command.add_argument(
                "--dry-run", action="store_true", help="check and show the changes, write nothing"
            )


def _add_command(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    run: CommandFunction,
    help_text: str,
) -> argparse.ArgumentParser:
    parser = subparsers.add_parser(name, help=help_text, description=(run.__doc__ or help_text))
    parser.set_defaults(run=run)
    return parser


def _add_node_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--node",
        metavar="IP:PORT[,IP:PORT]",
        help="admin addresses of nodes, tried in this order (default: JAYPOST_NODE)",
    )
    _add_output_flag(parser)


def _add_store_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--store", metavar="IP:PORT", help="address of the store (default: JAYPOST_STORE)"
    )


def _add_change_flags(parser: argparse.ArgumentParser) -> None:
    _add_store_flag(parser)
    parser.add_argument("--author", help="operator who makes the change (default: JAYPOST_AUTHOR)")
    parser.add_argument(
        "--comment", "-m", default="", help="reason for the change, kept in the history"
    )


def _add_output_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--output",
        choices=[output.value for output in OutputFormat],
        default=OutputFormat.TABLE.value,
        help="output format (default: table)",
    )


def _add_format_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--format",
        choices=[file_format.value for file_format in FileFormat],
        help="format of the file (default: csv if its name ends in .csv, else json)",
    )


def _complete_columns(prefix: str, **_: object) -> list[str]:
    """Return the completions ``column=`` for argcomplete."""
    return [f"{column}=" for column in COLUMNS if column.startswith(prefix)]


def _integer_parser(highest: int = 1 << 62) -> Callable[[str], int]:
    """Return a parser of integers from 1 to `highest`."""

    def parse(text: str) -> int:
        if not text.isdecimal() or not 1 <= int(text) <= highest:
            raise argparse.ArgumentTypeError(f"{text!r} must be an integer from 1 to {highest}")
        return int(text)

    return parse


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= 86_400:
        raise argparse.ArgumentTypeError(f"{text!r} must be a number of seconds from 0 to 86400")
    return seconds


def _build_context(
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
    out: TextIO,
    err: TextIO,
    writer_factory: WriterFactory,
) -> Context:
    def flag_or_variable(name: str) -> str:
        flag = getattr(arguments, name, None)
        return str(flag if flag is not None else environment.get(f"JAYPOST_{name.upper()}", ""))

    store_addresses = _parse_addresses("store", flag_or_variable("store"))
    return Context(
        store=store_addresses[0] if store_addresses else None,
        nodes=_parse_addresses("node", flag_or_variable("node")),
        author=flag_or_variable("author"),
        output=OutputFormat(getattr(arguments, "output", OutputFormat.TABLE)),
        open_writer=writer_factory,
        environment=environment,
        out=out,
        err=err,
    )


def _parse_addresses(name: str, text: str) -> tuple[Address, ...]:
    try:
        return tuple(parse_address(part.strip()) for part in text.split(",") if part.strip())
    except ValueError as error:
        raise UsageError(f"{name} {text!r}: {error}") from error


if __name__ == "__main__":
    sys.exit(main())
