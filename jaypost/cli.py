"""`jaypost`: the command-line tool of the operators."""

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
from jaypost.settings import parse_address

DEFAULT_WATCH_S = 30.0
DEFAULT_HISTORY = 20
DEFAULT_EVENTS = 100
MAX_EVENTS = 1000

Run = Callable[[Context, argparse.Namespace], Awaitable[ExitCode]]

EXIT_CODES = """\
exit codes: 0 done, 1 failed, 2 wrong usage, 3 clash with another operator,
4 refused by validation, 5 undecided (see: jaypost table status --change ID)"""


def main(
    argv: Sequence[str] | None = None,
    environment: Mapping[str, str] | None = None,
    out: TextIO | None = None,
    err: TextIO | None = None,
    writer_factory: WriterFactory = open_writer,
) -> int:
    """Run one command and return its exit code."""
    parser = build_parser()
    argcomplete.autocomplete(parser)
    arguments = parse(parser, argv)
    err = err or sys.stderr
    logs.setup("warning", err)
    try:
        context = _context(
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
        print("jaypost: interrupted; no change was sent", file=err)
        return ExitCode.FAILED
    except BrokenPipeError:
        return ExitCode.FAILED


def parse(parser: argparse.ArgumentParser, argv: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command line; lists of services or assignments may stand between flags."""
    arguments, rest = parser.parse_known_args(argv)
    rest_name: str = getattr(arguments, "rest", "")
    if rest and (not rest_name or any(word.startswith("-") for word in rest)):
        parser.error(f"unrecognized arguments: {' '.join(rest)}")
    if rest:
        getattr(arguments, rest_name).extend(rest)
    return arguments


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands and queries."""
    parser = argparse.ArgumentParser(
        prog="jaypost",
        description="Reads and changes the table of services and shows what the nodes do.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    _add_table_actions(actions.add_parser("table", help="read and change the table"))
    _add_status(actions)
    _add_explain(actions)
    _add_events(actions)
    _add_watch(actions)
    return parser


def _add_status(actions: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add(actions, "status", queries.status, "show the nodes and their versions")
    _add_node_flags(parser)
    scope = parser.add_mutually_exclusive_group()
    scope.add_argument("--all", action="store_true", help="one line for each node")
    scope.add_argument("--this", action="store_true", help="only the node that is asked")


def _add_explain(actions: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add(actions, "explain", queries.explain, "show how a node routes a service")
    parser.add_argument("service", metavar="SERVICE")
    _add_node_flags(parser)


def _add_events(actions: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add(actions, "events", queries.events, "show what a node did by itself")
    parser.add_argument(
        "--limit", type=_count(MAX_EVENTS), default=DEFAULT_EVENTS, help="newest events shown"
    )
    parser.add_argument("--name", help="only events of this name")
    _add_node_flags(parser)


def _add_watch(actions: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    parser = _add(actions, "watch", queries.watch, "follow a version until every node uses it")
    parser.add_argument(
        "--version", type=_count(), help="version to follow (default: the newest held by a node)"
    )
    parser.add_argument(
        "--timeout", type=_seconds, default=DEFAULT_WATCH_S, help="seconds until it gives up"
    )
    _add_node_flags(parser)


def _add_table_actions(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(metavar="ACTION", required=True)
    _add_table_queries(actions)
    _add_table_commands(actions)


def _add_table_queries(actions: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    get = _add(actions, "get", queries.table_get, "show rows")
    get.add_argument("services", metavar="SERVICE", nargs="*")
    export = _add(actions, "export", queries.table_export, "write rows to a file")
    export.add_argument("file", metavar="FILE", help="file to write, - for standard output")
    export.add_argument("services", metavar="SERVICE", nargs="*")
    _add_format_flag(export)
    history = _add(actions, "history", queries.table_history, "show the newest changes")
    history.add_argument(
        "--limit", type=_count(), default=DEFAULT_HISTORY, help="newest changes shown"
    )
    diff = _add(actions, "diff", queries.table_diff, "compare two versions")
    diff.add_argument("old", metavar="OLD", type=_count())
    diff.add_argument("new", metavar="NEW", type=_count(), nargs="?")
    validate = _add(actions, "validate", queries.table_validate, "check the table or a file")
    validate.add_argument("file", metavar="FILE", nargs="?", help="file to check, - for input")
    validate.add_argument(
        "--whole", action="store_true", help="the file is the whole table; the store is not read"
    )
    _add_format_flag(validate)
    status = _add(actions, "status", queries.table_status, "show the newest version")
    status.add_argument("--change", metavar="ID", help="tell what became of this change")
    for query in (get, export):
        query.set_defaults(rest="services")
    for query in (get, export, history, diff, validate, status):
        _add_store_flag(query)
        if query is not export:
            _add_output_flag(query)


def _add_table_commands(actions: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    set_row = _add(actions, "set", commands.set_row, "set columns of one row")
    set_row.add_argument("service", metavar="SERVICE")
    assignments = set_row.add_argument(
        "assignments", metavar="column=value", nargs="*", help=f"columns: {', '.join(COLUMNS)}"
    )
    assignments.completer = _complete_columns  # type: ignore[attr-defined]
    kind = set_row.add_mutually_exclusive_group()
    kind.add_argument("--create", action="store_true", help="make a new row")
    kind.add_argument("--delete", action="store_true", help="delete the row")
    edit = _add(actions, "edit", commands.edit, "change rows in $EDITOR")
    edit.add_argument("services", metavar="SERVICE", nargs="*", help="rows, default all")
    import_rows = _add(actions, "import", commands.import_rows, "set the rows of a file")
    import_rows.add_argument("file", metavar="FILE", help="file to read, - for standard input")
    import_rows.add_argument(
        "--whole", action="store_true", help="delete rows and reset columns not in the file"
    )
    _add_format_flag(import_rows)
    rollback = _add(actions, "rollback", commands.rollback, "bring back an earlier version")
    rollback.add_argument("version", metavar="VERSION", type=_count())
    set_row.set_defaults(rest="assignments")
    edit.set_defaults(rest="services")
    for command in (set_row, edit, import_rows, rollback):
        _add_store_flag(command)
        command.add_argument("--author", help="operator (default: JAYPOST_AUTHOR)")
        command.add_argument("--comment", "-m", default="", help="reason, kept in the history")
        if command is not rollback:
            command.add_argument(
                "--dry-run", action="store_true", help="check and show, write nothing"
            )


def _add(
    actions: argparse._SubParsersAction[argparse.ArgumentParser], name: str, run: Run, text: str
) -> argparse.ArgumentParser:
    parser = actions.add_parser(name, help=text, description=(run.__doc__ or text))
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


def _add_output_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--output",
        choices=[output.value for output in OutputFormat],
        default=OutputFormat.TABLE.value,
        help="format of the output",
    )


def _add_format_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--format",
        choices=[file_format.value for file_format in FileFormat],
        help="format of the file (default: by its name, else json)",
    )


def _complete_columns(prefix: str, **_: object) -> list[str]:
    return [f"{column}=" for column in COLUMNS if column.startswith(prefix)]


def _count(highest: int = 1 << 62) -> Callable[[str], int]:
    def parse(text: str) -> int:
        if not text.isdecimal() or not 1 <= int(text) <= highest:
            raise argparse.ArgumentTypeError(f"{text!r} must be a number from 1 to {highest}")
        return int(text)

    return parse


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= 86_400:
        raise argparse.ArgumentTypeError(f"{text!r} must be a number of seconds from 0 to 86400")
    return seconds


def _context(
    arguments: argparse.Namespace,
    environment: Mapping[str, str],
    out: TextIO,
    err: TextIO,
    writer_factory: WriterFactory,
) -> Context:
    def value(name: str) -> str:
        given = getattr(arguments, name, None)
        return str(given if given is not None else environment.get(f"JAYPOST_{name.upper()}", ""))

    stores = _addresses("store", value("store"))
    return Context(
        store=stores[0] if stores else None,
        nodes=_addresses("node", value("node")),
        author=value("author"),
        output=OutputFormat(getattr(arguments, "output", OutputFormat.TABLE)),
        open_writer=writer_factory,
        environment=environment,
        out=out,
        err=err,
    )


def _addresses(name: str, text: str) -> tuple[Address, ...]:
    try:
        return tuple(parse_address(part.strip()) for part in text.split(",") if part.strip())
    except ValueError as error:
        raise UsageError(f"{name} {text!r}: {error}") from error


if __name__ == "__main__":
    sys.exit(main())
