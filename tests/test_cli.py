"""Guards against wrong exit codes, lost edits and values missing in table or JSON output."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import stat
import threading

import pytest
from admin_fakes import AdminHarness

from jaypost import admin, cli, queries
from jaypost.explanations import NodeIdentity, explain
from jaypost.logs import EventName
from jaypost.records import Row, RowChange, Snapshot
from jaypost.store import Effect, StoreFailed
from jaypost.writers import TableEdit, TableWriter
from standins.store import StoreCore

ENVIRONMENT = {"JAYPOST_STORE": "127.0.0.1:1", "JAYPOST_AUTHOR": "almaz"}
STORE_FAILURE = StoreFailed("connection refused", Effect.NONE)


class FakeStore:
    """In-memory store that can be down or lose a put.

    A lost put has no effect and fails with `Effect.UNKNOWN`, and the store is down afterwards.
    `before_put` is awaited once, before the next put.
    """

    def __init__(self):
        self.core = StoreCore()
        self.down = False
        self.loses_puts = False
        self.before_put = None

    async def get(self, key):
        return STORE_FAILURE if self.down else self.core.get(key)

    async def put(self, key, value, if_revision, lease_id=None):
        hook, self.before_put = self.before_put, None
        if hook:
            await hook()
        if self.loses_puts:
            self.down = True
            return StoreFailed("timed out", Effect.UNKNOWN)
        return STORE_FAILURE if self.down else self.core.put(key, value, if_revision)

    async def delete(self, key, if_revision):
        return STORE_FAILURE if self.down else self.core.delete(key, if_revision)


class FakeTable:
    """A `TableWriter` on a fake store; the first version has a default row for each service."""

    def __init__(self, *services):
        self.store = FakeStore()
        self.writer = TableWriter(self.store, sleep=self._no_sleep)
        asyncio.run(self.change("first", *(Row(service) for service in services)))

    async def _no_sleep(self, delay_s):
        return None

    async def change(self, change_id, *rows):
        edit = TableEdit(await self.writer.read(), tuple(RowChange(r.service, r) for r in rows))
        return await self.writer.change(edit, "other", "", change_id)

    @property
    def newest(self):
        return asyncio.run(self.writer.read())

    @property
    def services(self):
        return set(self.newest.rows_by_service)

    def row(self, service):
        return self.newest.rows_by_service[service]

    def last_change(self):
        return asyncio.run(self.writer.history(1))[0]


class Tool:
    """Runs `jaypost` in this process and keeps its output."""

    def __init__(self, table=None, **environment):
        self.table = table or FakeTable("orders", "stock")
        self.environment = ENVIRONMENT | environment
        self.out = self.err = ""

    def run(self, *arguments):
        @contextlib.asynccontextmanager
        async def factory(address):
            yield self.table.writer

        out, err = io.StringIO(), io.StringIO()
        try:
            return cli.main(arguments, self.environment, out, err, factory)
        except SystemExit as stop:
            return stop.code
        finally:
            self.out, self.err = out.getvalue(), err.getvalue()


class EditorScript:
    """A shell script to use as ``$EDITOR``."""

    def __init__(self, path):
        self.path = path

    def write_script(self, text=None, status=0):
        """Make the script save `text`, if any, and exit with `status`; return its path."""
        save_command = "" if text is None else f"cat > \"$1\" <<'END'\n{text}\nEND\n"
        self.path.write_text(f"#!/bin/sh\n{save_command}exit {status}\n")
        self.path.chmod(stat.S_IRWXU)
        return str(self.path)


@pytest.fixture
def tool():
    return Tool()


@pytest.fixture
def editor(tmp_path, monkeypatch):
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    return EditorScript(tmp_path / "editor")


@pytest.fixture
def host():
    """Run an admin server in a thread of its own, because `cli.main` blocks its thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    started = AdminHarness()

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(10)

    run(started.server.start())
    yield started
    run(started.server.close())
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.mark.parametrize(
    ("arguments", "exit_code", "message"),
    [
        (["table", "set", "orders", "timeout_ms=50"], 0, ""),
        (["table", "set", "orders", "timeout_ms=10000"], 0, ""),
        (["table", "set", "new", "timeout_ms=50"], 4, "--create"),
        (["table", "set", "new", "--create"], 0, ""),
        (["table", "set", "orders", "--create"], 4, "already has a row"),
        (["table", "set", "orders", "timeout_ms=0"], 4, "orders: timeout_ms"),
        (["table", "set", "orders", "timeout=1"], 4, "orders: timeout: is not a column"),
        (["table", "set", "orders", "destinations=none=1"], 4, "has no row"),
        (["table", "set", "orders", "--delete"], 0, ""),
        (["table", "set", "orders", "--delete", "hedge_ms=1"], 2, "--delete"),
        (["table", "set", "orders"], 2, "no column=value"),
        (["table", "set"], 2, ""),
        (["table", "set", "orders", "--comment", "why", "hedge_ms=1"], 0, ""),
        (["table", "set", "orders", "hedge_ms=1", "--force"], 2, ""),
        (["table", "get", "--output", "json", "orders"], 0, ""),
        (["table", "status", "orders"], 2, ""),
        (["table", "set", "orders", "timeout_ms=50", "--dry-run"], 0, ""),
        (["table", "set", "orders", "destinations=none=1", "--dry-run"], 4, "has no row"),
        (["table", "get"], 0, ""),
        (["table", "get", "none"], 1, "no row"),
        (["table", "history"], 0, ""),
        (["table", "history", "--limit", "0"], 2, ""),
        (["table", "diff", "1", "9"], 1, "version 9 does not exist"),
        (["table", "rollback", "1"], 0, ""),
        (["table", "rollback", "9"], 4, "version 9 does not exist"),
        (["table", "validate"], 0, ""),
        (["table", "validate", "/none.json"], 1, "cannot be read"),
        (["table", "import", "/none.csv"], 1, "cannot be read"),
        (["table", "export", "/none/x.csv"], 1, "cannot be written"),
        (["table", "export", "-", "none"], 1, "no row"),
        (["table", "status"], 0, ""),
        (["table", "status", "--change", "first"], 0, ""),
        (["table", "status", "--change", "none"], 1, ""),
        (["table", "edit"], 2, "EDITOR is not set"),
        (["status"], 2, "JAYPOST_NODE"),
        (["status", "--node", "host:1"], 2, "node 'host:1'"),
        (["status", "--node", "127.0.0.1:1"], 1, "127.0.0.1:1"),
        (["watch", "--timeout", "x"], 2, ""),
        (["table", "get", "--output", "xml"], 2, ""),
        ([], 2, ""),
    ],
)
def test_exit_codes_and_error_messages(tool, arguments, exit_code, message):
    assert tool.run(*arguments) == exit_code, tool.err
    assert message in tool.err


@pytest.mark.parametrize(
    ("arguments", "exit_code"),
    [
        (["table", "set", "orders", "hedge_ms=1"], 1),
        (["table", "get"], 1),
        (["table", "history"], 1),
        (["table", "status"], 1),
        (["table", "validate"], 1),
        (["table", "status", "--change", "first"], 5),
    ],
)
def test_store_outage_is_reported(tool, arguments, exit_code):
    tool.table.store.down = True
    assert tool.run(*arguments) == exit_code
    assert "the store call failed: connection refused" in tool.err


@pytest.mark.parametrize("missing", ["JAYPOST_STORE", "JAYPOST_AUTHOR"])
def test_a_change_needs_store_and_author(tool, missing):
    del tool.environment[missing]
    assert tool.run("table", "set", "orders", "hedge_ms=1") == 2
    assert missing in tool.err
    assert tool.table.newest.version == 1


def test_flags_override_the_environment(tool):
    tool.run("table", "set", "orders", "hedge_ms=1", "--author", "sara", "-m", "why")
    assert (tool.table.last_change().author, tool.table.last_change().comment) == ("sara", "why")


def test_set_keeps_the_other_columns_and_dry_run_writes_nothing(tool):
    tool.run("table", "set", "orders", "hedge_ms=5")
    tool.run("table", "set", "orders", "retry_limit=1")
    tool.run("table", "set", "orders", "retry_limit=9", "--dry-run")
    assert tool.table.row("orders") == Row("orders", hedge_ms=5, retry_limit=1)
    assert "retry_limit" in tool.out


@pytest.mark.parametrize(
    ("service", "exit_code", "message"),
    [("stock", 0, ""), ("orders", 3, "orders: hedge_ms: theirs 7, yours 1")],
)
def test_concurrent_changes_merge_or_clash(tool, service, exit_code, message):
    tool.table.store.before_put = lambda: tool.table.change("o", Row(service, hedge_ms=7))
    assert tool.run("table", "set", "orders", "hedge_ms=1") == exit_code
    assert message in tool.err
    assert tool.table.row(service).hedge_ms == 7


def test_an_undecided_change_reports_its_id(tool):
    """Guards against an undecided change whose outcome the operator cannot look up."""
    tool.table.store.loses_puts = True
    assert tool.run("table", "set", "orders", "hedge_ms=1") == 5
    change_id = tool.err.split("--change ")[1].strip()
    tool.table.store.down = tool.table.store.loses_puts = False
    assert tool.run("table", "status", "--change", change_id) == 1
    asyncio.run(tool.table.change(change_id, Row("orders", hedge_ms=1)))
    assert tool.run("table", "status", "--change", change_id, "--output", "json") == 0
    assert json.loads(tool.out) == {"change": change_id, "version": 2}


def test_an_interrupted_change_is_undecided(tool):
    """Guards against an interrupt that is reported as if no change had been sent."""

    async def interrupt():
        raise asyncio.CancelledError

    tool.table.store.before_put = interrupt
    assert tool.run("table", "set", "orders", "hedge_ms=1") == 5


@pytest.mark.parametrize("file_format", ["csv", "json"])
def test_export_and_import_of_some_rows_and_of_the_whole_table(tool, tmp_path, file_format):
    file = str(tmp_path / f"rows.{file_format}")
    tool.run("table", "set", "orders", "hedge_ms=5", "long_prefixes=/a,/b")
    assert tool.run("table", "export", file, "orders") == 0
    tool.run("table", "set", "orders", "hedge_ms=6", "long_prefixes=")
    assert tool.run("table", "import", file) == 0
    assert tool.table.row("orders") == Row("orders", hedge_ms=5, long_prefixes=("/a", "/b"))
    assert tool.table.services == {"orders", "stock"}
    assert tool.run("table", "validate", file, "--whole") == 0
    assert tool.run("table", "import", file, "--whole") == 0
    assert tool.table.services == {"orders"}


def test_import_of_some_columns_keeps_the_others_unless_whole(tool, tmp_path):
    file = tmp_path / "rows.csv"
    file.write_text("service,hedge_ms\norders,5\n")
    tool.run("table", "set", "orders", "retry_limit=1")
    tool.run("table", "import", str(file))
    assert tool.table.row("orders") == Row("orders", hedge_ms=5, retry_limit=1)
    tool.run("table", "import", str(file), "--whole")
    assert tool.table.row("orders") == Row("orders", hedge_ms=5)


@pytest.mark.parametrize(
    ("text", "status", "exit_code", "services"),
    [
        (None, 0, 0, {"orders", "stock"}),
        ('{"orders": {"hedge_ms": 5}}', 0, 0, {"orders"}),
        ('{"orders": {}, "stock": {}, "new": {}}', 0, 0, {"orders", "stock", "new"}),
        ('{"orders": {"hedge_ms": -5}}', 0, 4, {"orders", "stock"}),
        ('{"orders": ', 0, 4, {"orders", "stock"}),
        ("{}", 1, 1, {"orders", "stock"}),
    ],
)
def test_edit_applies_the_saved_rows_and_keeps_the_draft_of_a_failed_edit(
    tool, editor, tmp_path, text, status, exit_code, services
):
    tool.environment["EDITOR"] = editor.write_script(text, status)
    assert tool.run("table", "edit") == exit_code, tool.err
    assert tool.table.services == services
    drafts = list(tmp_path.glob("jaypost-*.json"))
    assert len(drafts) == (0 if exit_code == 0 else 1)


def test_edit_detects_a_concurrent_change(tool, editor):
    tool.environment["EDITOR"] = editor.write_script('{"orders": {"hedge_ms": 5}}')
    tool.table.store.before_put = lambda: tool.table.change("o", Row("orders", hedge_ms=7))
    assert tool.run("table", "edit", "orders") == 3
    assert "hedge_ms: theirs 7, yours 5" in tool.err
    assert "kept in" in tool.err


def test_edit_of_some_rows_keeps_the_others(tool, editor):
    tool.environment["EDITOR"] = editor.write_script("{}")
    assert tool.run("table", "edit", "orders") == 0
    assert tool.table.services == {"stock"}


@pytest.mark.parametrize(
    ("arguments", "words", "keys"),
    [
        (["get"], ["orders", "version 2"], {"version", "rows"}),
        (["get", "orders"], ["hedge_ms", "default 0"], {"version", "rows"}),
        (["history"], ["almaz", "slow page"], {"changes"}),
        (["diff", "1"], ["orders", "hedge_ms", "5"], {"old", "new", "changes"}),
        (["status"], ["version 2", "almaz"], {"version", "digest", "rows", "newest_change"}),
        (["validate"], ["valid: 2 rows"], {"valid", "rows", "changed"}),
    ],
)
def test_table_queries_print_text_and_json(tool, arguments, words, keys):
    tool.run("table", "set", "orders", "hedge_ms=5", "-m", "slow page")
    assert tool.run("table", *arguments) == 0
    assert all(word in tool.out for word in words), tool.out
    assert tool.run("table", *arguments, "--output", "json") == 0
    assert set(json.loads(tool.out)) == keys


def test_values_cannot_send_control_characters_or_markup_to_the_terminal(tool):
    tool.run("table", "set", "orders", "hedge_ms=5", "-m", "\x1b[2Jred[/bold]")
    tool.run("table", "history")
    assert "\x1b" not in tool.out
    assert "[/bold]" in tool.out


def make_fleet_report(*versions, unreachable=(), **fields):
    nodes = [
        {"node_id": f"n{i}", "failure_domain": "d1", "region": "r1", "held_version": 7}
        | {"in_force_version": version}
        | fields
        for i, version in enumerate(versions)
    ]
    return admin.FleetReport(nodes, unreachable)


@pytest.mark.parametrize(
    ("report", "version", "exit_code"),
    [
        (make_fleet_report(7, 7), None, 0),
        (make_fleet_report(7, 8), "7", 0),
        (make_fleet_report(7, 6), None, 1),
        (make_fleet_report(7, 7), "8", 1),
        (make_fleet_report(7, 6, unreachable=("n1",)), None, 0),
        (make_fleet_report(7, 7, answered=False), None, 1),
        (
            admin.FleetReport([*make_fleet_report(7).nodes, {"node_id": "n9", "answered": False}]),
            None,
            1,
        ),
        (make_fleet_report(6, 6, problems=["orders: timeout_ms: bad"]), None, 4),
        (make_fleet_report(), None, 1),
    ],
)
@pytest.mark.parametrize("output", ["table", "json"])
def test_watch_exit_code_tells_whether_every_node_uses_the_version(
    host, report, version, exit_code, output
):
    tool = Tool(JAYPOST_NODE=str(host.server.address))
    host.node.fleet_report = report
    flags = [] if version is None else ["--version", version]
    assert tool.run("watch", "--timeout", "0", "--output", output, *flags) == exit_code, tool.err
    assert bool(tool.err) is (exit_code != 0)
    if output == "json":
        assert {"version", "in_force"} <= set(json.loads(tool.out.splitlines()[0]))


def test_watch_follows_the_version_while_it_spreads(host, monkeypatch):
    monkeypatch.setattr(queries, "POLL_INTERVAL_S", 0.05)
    monkeypatch.setattr(admin, "FLEET_REPORT_MAX_AGE_S", 0.0)
    tool = Tool(JAYPOST_NODE=str(host.server.address))
    host.node.fleet_report = make_fleet_report(6, 7)
    threading.Timer(0.3, setattr, (host.node, "fleet_report", make_fleet_report(7, 7))).start()
    assert tool.run("watch", "--timeout", "20") == 0
    assert "in force on 1 of 2 nodes" in tool.out
    assert "version 7 is in force on 2 nodes" in tool.out


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        ([], ["d1", "behind: 1: n1", "reasons given by n0", "bad timeout"]),
        (["--all"], ["n0", "n1", "bad timeout"]),
        (["--this"], ["n1", "no: joining", "8", "t1 ready", "2.2 s ago"]),
        (["--this", "--output", "json"], ['"store_contact_age_s":2.25']),
        (["--output", "json"], ['"in_force_version":6']),
    ],
)
def test_status_shows_nodes_behind_and_reasons_of_refusal(host, arguments, words):
    host.node.fleet_report = make_fleet_report(7, 6, problems=["bad timeout"])
    tool = Tool(JAYPOST_NODE=f"127.0.0.1:1,{host.server.address}")
    tool.table.store.down = True
    assert tool.run("status", *arguments) == 0, tool.err
    assert all(word in tool.out for word in words), tool.out


def test_explain_and_events_work_with_the_store_down(host):
    tool = Tool(JAYPOST_NODE=str(host.server.address))
    tool.table.store.down = True
    snapshot = Snapshot(7, {"orders": Row("orders")}, pending_by_service={"orders": ("orders",)})
    identity = NodeIdentity("n1", "d1", "r1")
    host.node.explain = lambda service: explain(
        service, snapshot, identity, lambda key: 1.0, lambda key: None
    )
    host.events.record(EventName.TARGET_EJECTED, target_id="t1", reason="straggler")
    assert tool.run("explain", "orders") == 0
    assert "version 7, seen by n1" in tool.out
    assert tool.run("explain", "orders", "--output", "json") == 0
    assert json.loads(tool.out)["pending"] == ["orders"]
    assert tool.run("explain", "none") == 1
    assert "No row of the table matches the request" in tool.err
    assert tool.run("events") == 0
    assert "reason=straggler" in tool.out
    assert tool.run("events", "--name", "node_ready", "--output", "json") == 0
    assert json.loads(tool.out) == {"events": [], "dropped": 0}


def test_log_lines_do_not_mix_with_the_output(tool, capsys):
    assert tool.run("table", "set", "orders", "hedge_ms=1") == 0
    assert (tool.out, tool.err) == ("accepted as version 2\n", "")
    assert capsys.readouterr().out == ""
