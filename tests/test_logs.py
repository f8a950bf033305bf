"""Guards against log lines dropped without a count and values that break the line format."""

from __future__ import annotations

import ast
import io
import logging
import pathlib

import pytest
import structlog

from jaypost import logs


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def output(clock):
    stream = io.StringIO()
    logs.setup("info", stream, logs.RateLimiter(clock))
    yield stream
    structlog.reset_defaults()
    logging.basicConfig(force=True)


def lines(output):
    return output.getvalue().splitlines()


def left_out(output):
    counts = [
        line.split("left_out=")[1].split()[0] for line in lines(output) if "left_out=" in line
    ]
    return sum(map(int, counts))


@pytest.mark.parametrize("count", [1, 20, 21, 500])
@pytest.mark.parametrize("pause_s", [0.0, 1.0, 60.0])
def test_every_line_is_written_or_counted(output, clock, count, pause_s):
    log = structlog.get_logger()
    for number in range(count):
        log.info("target_gone", number=number)
    clock.now += pause_s
    log.info("target_gone", number=count)
    logs.log_left_out_counts()
    written = sum("event=target_gone" in line for line in lines(output))
    assert written + left_out(output) == count + 1
    assert written <= logs.MAX_BURST_LINES + pause_s * logs.MAX_LINES_PER_S


def test_frequent_event_does_not_use_the_rate_limit_of_another(output):
    log = structlog.get_logger()
    for _ in range(100):
        log.info("target_gone")
    log.info("version_refused")
    assert "event=version_refused" in output.getvalue()


def test_number_of_rate_limited_event_names_is_bounded(clock):
    limiter = logs.RateLimiter(clock)
    for number in range(10 * logs.MAX_EVENT_NAMES):
        try:
            limiter(None, "info", {"event": f"e{number}"})
        except structlog.DropEvent:
            continue
    assert len(limiter._bucket_by_event) <= logs.MAX_EVENT_NAMES + 1


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("plain", "value=plain"),
        ("two words", 'value="two words"'),
        ('a"b c', r'value="a\"b c"'),
        ("a\nlevel=error", r"a\nlevel=error"),
        ("a\rb", "value=a<0d>b"),
        ("\x1b[31m", "value=<1b>[31m"),
        ("x" * 100_000, "x...(100000"),
        (3.5, "value=3.5"),
        ("a\u2028b", "value=a<2028>b"),
        (True, "value=true"),
    ],
)
def test_value_cannot_break_the_log_line(output, value, text):
    structlog.get_logger().info("target_changed", value=value)
    assert len(lines(output)) == 1
    assert text in lines(output)[0]


def test_exception_is_logged_on_one_line(output):
    try:
        raise ValueError("bad\nvalue")
    except ValueError:
        structlog.get_logger().exception("admin_request_failed")
    assert len(lines(output)) == 1
    assert "ValueError" in lines(output)[0]


@pytest.mark.parametrize(
    ("level", "written"),
    [("debug", 4), ("info", 3), ("warning", 2), ("error", 1)],
)
def test_lines_below_the_level_are_not_written(level, written):
    stream = io.StringIO()
    logs.setup(level, stream)
    log = structlog.get_logger()
    for method in (log.debug, log.info, log.warning, log.error):
        method("node_started")
    structlog.reset_defaults()
    assert len(stream.getvalue().splitlines()) == written


def test_library_messages_have_the_same_format(output):
    logging.getLogger("asyncio").warning("slow %s", "callback")
    assert 'event=library_message logger=asyncio message="slow callback"' in output.getvalue()


def event_names_logged_as_literals():
    for path in pathlib.Path(logs.__file__).parent.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            owner = ast.unparse(node.func.value)
            if (
                owner in ("log", "self._log")
                and node.args
                and isinstance(node.args[0], ast.Constant)
            ):
                yield node.args[0].value, f"{path.name}:{node.lineno}"


def test_event_names_logged_as_literals_are_members_of_event_name():
    unknown = [
        logged
        for logged in event_names_logged_as_literals()
        if logged[0] not in set(logs.EventName)
    ]
    assert unknown == []


def test_every_event_name_is_in_the_operations_manual():
    page = (pathlib.Path(logs.__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    assert [name.value for name in logs.EventName if f"`{name}`" not in page] == []
    marked = {name for name in logs.EventName if f"`{name}`*" in page}
    assert {name for name in logs.OBSERVED_EVENTS if name not in marked} == set()
