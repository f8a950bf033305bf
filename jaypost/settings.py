"""Settings of the node: defaults, flags, environment variables and their checks.

A value comes from its flag, else from its ``JAYPOST_`` environment variable, else from `DEFAULTS`.
"""

from __future__ import annotations

import argparse
import ipaddress
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from jaypost.records import Address

ENVIRONMENT_PREFIX = "JAYPOST_"


class HttpCodec(StrEnum):
    """HTTP library used on the path of a call."""

    H11 = "h11"
    HTTPTOOLS = "httptools"


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of one node; every duration is in seconds."""

    node_id: str
    failure_domain: str
    region: str
    store: Address
    listen_caller: Address
    listen_peer: Address
    listen_control: Address
    listen_admin: Address
    advertise_peer: Address | None
    advertise_control: Address | None
    advertise_admin: Address | None
    seeds: tuple[Address, ...]
    http_codec: HttpCodec
    store_timeout_s: float
    store_backoff_min_s: float
    store_backoff_max_s: float
    watch_wait_s: float
    readers_per_domain: int
    sync_interval_s: float
    cross_region_interval_s: float
    suspicion_s: float
    push_fanout: int
    push_delay_s: float
    push_rate: float
    join_jitter_s: float
    join_rate: float
    beacon_timeout_s: float
    announcement_timeout_s: float
    connect_timeout_s: float
    idle_probe_s: float
    drain_delay_s: float
    drain_timeout_s: float
    ramp_s: float
    header_limit_bytes: int
    buffered_body_bytes: int
    slow_body_s: float
    slow_body_bytes_per_s: int
    claim_rate: float
    label_limit: int
    service: str
    listen_targets: Address | None
    listen_ready: Address | None
    announcement_interval_ms: int
    drain_bound_ms: int
    grace_s: float
    retry_ratio: float
    link_mbps: float
    log_level: str
    raise_on_violation: bool


@dataclass(frozen=True, slots=True)
class SettingProblem:
    """Why the value of a setting is refused."""

    name: str
    value: str
    reason: str


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Settings that passed all checks, with the source of each value."""

    settings: Settings
    source_by_name: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class RefusedSettings:
    """All problems found, reported together."""

    problems: tuple[SettingProblem, ...]


@dataclass(frozen=True, slots=True)
class Setting:
    """Description of one setting: default, parser, unit and help text."""

    default: str | None
    parse: Callable[[str], Any]
    help: str


def _number(kind: Callable[[str], Any], low: float, high: float) -> Callable[[str], Any]:
    def parse(text: str) -> Any:
        value = kind(text)
        if not low <= value <= high:
            raise ValueError(f"must be between {low:g} and {high:g}")
        return value

    return parse


def _name(text: str) -> str:
    if not text or len(text) > 64 or not all(c.isalnum() or c in "-_." for c in text):
        raise ValueError("must be 1 to 64 letters, digits, '-', '_' or '.'")
    return text


def _optional_name(text: str) -> str:
    return _name(text) if text else ""


def _choice(*values: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in values:
            raise ValueError(f"must be one of {', '.join(values)}")
        return text

    return parse


def _boolean(text: str) -> bool:
    return _choice("true", "false")(text.lower()) == "true"


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``.

    Raises
    ------
    ValueError
        If the host is not an IP number or the port is out of range.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError("must be IP:PORT")
    ip = ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or int(port) > 65535:
        raise ValueError("port must be between 0 and 65535")
    return Address(str(ip), int(port))


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part.strip()) for part in text.split(",") if part.strip())


def _optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


_seconds = _number(float, 0.001, 86_400)

SETTING_BY_NAME: Mapping[str, Setting] = {
    "node_id": Setting(None, _name, "identifier of the host, stable across restarts"),
    "failure_domain": Setting(None, _name, "failure domain of the host"),
    "region": Setting(None, _name, "region of the host"),
    "store": Setting(None, parse_address, "address of the key-value store, IP:PORT"),
    "listen_caller": Setting("127.0.0.1:7600", parse_address, "address for callers"),
    "listen_peer": Setting("127.0.0.1:7601", parse_address, "address for calls from other nodes"),
    "listen_control": Setting("127.0.0.1:7602", parse_address, "address for control traffic"),
    "listen_admin": Setting(
        "127.0.0.1:7603", parse_address, "address for operators, metrics and targets"
    ),
    "advertise_peer": Setting("", _optional_address, "peer address told to the fleet"),
    "advertise_control": Setting("", _optional_address, "control address told to the fleet"),
    "advertise_admin": Setting("", _optional_address, "admin address told to the fleet"),
    "seeds": Setting(
        "", _addresses, "control addresses of nodes to join, used next to the store's"
    ),
    "http_codec": Setting(HttpCodec.HTTPTOOLS, HttpCodec, "HTTP library: h11 or httptools"),
    "store_timeout_s": Setting("2", _seconds, "time for one call of the store, in seconds"),
    "store_backoff_min_s": Setting("0.2", _seconds, "shortest delay after a failed call"),
    "store_backoff_max_s": Setting("3", _seconds, "longest delay after a failed call"),
    "watch_wait_s": Setting("20", _seconds, "time that a watch may wait at the store"),
    "readers_per_domain": Setting(
        "2", _number(int, 1, 5), "nodes of a domain that watch the store"
    ),
    "sync_interval_s": Setting("1", _seconds, "interval of synchronisation with a peer"),
    "cross_region_interval_s": Setting("5", _seconds, "interval between regions"),
    "suspicion_s": Setting("5", _seconds, "time to refute an accusation"),
    "push_fanout": Setting("4", _number(int, 1, 16), "peers that receive each batch of news"),
    "push_delay_s": Setting("0.05", _seconds, "time in which news are gathered into one batch"),
    "push_rate": Setting("4", _number(float, 0.1, 100), "batches of news per second"),
    "join_jitter_s": Setting("2", _number(float, 0, 60), "largest random delay before joining"),
    "join_rate": Setting("20", _number(float, 0.1, 1000), "join replies per second"),
    "beacon_timeout_s": Setting(
        "15", _seconds, "silence of all readers before a node reads itself"
    ),
    "announcement_timeout_s": Setting("6", _seconds, "silence before a target counts as gone"),
    "connect_timeout_s": Setting("0.25", _seconds, "time to open a connection"),
    "idle_probe_s": Setting("5", _seconds, "interval of probes on idle connections"),
    "drain_delay_s": Setting("3", _seconds, "time that new calls are still accepted on leaving"),
    "drain_timeout_s": Setting("60", _seconds, "time for calls in flight on leaving"),
    "ramp_s": Setting(
        "10", _number(float, 0, 3600), "time in which a cold target gets its full share"
    ),
    "header_limit_bytes": Setting("32768", _number(int, 1024, 1 << 20), "size of request headers"),
    "buffered_body_bytes": Setting("65536", _number(int, 0, 1 << 22), "largest body sent again"),
    "slow_body_s": Setting("10", _seconds, "time over which the rate of a body is judged"),
    "slow_body_bytes_per_s": Setting("1000", _number(int, 0, 1 << 20), "lowest rate of a body"),
    "claim_rate": Setting("2", _number(float, 0, 200), "claims of idempotency keys per second"),
    "label_limit": Setting("64", _number(int, 1, 1000), "values of a metric label"),
    "service": Setting(
        "", _optional_name, "service of the host's own target, told to targets as the caller"
    ),
    "listen_targets": Setting(
        "", _optional_address, "further address of the admin port, for announcements of targets"
    ),
    "listen_ready": Setting(
        "", _optional_address, "further address of the admin port, for readiness checks"
    ),
    "announcement_interval_ms": Setting(
        "2000", _number(int, 10, 600_000), "interval at which targets announce themselves"
    ),
    "drain_bound_ms": Setting(
        "5000",
        _number(int, 100, 600_000),
        "time after the answer to a draining target by which no call may reach it",
    ),
    "grace_s": Setting(
        "66", _number(float, 0.1, 3600), "time from SIGTERM to the end of the process"
    ),
    "retry_ratio": Setting(
        "0.2",
        _number(float, 0, 1),
        "repeated calls that the targets of a service accept, as a fraction of its calls",
    ),
    "link_mbps": Setting(
        "0",
        _number(float, 0, 1_000_000),
        "rate of the link of the host in megabits per second; 0 when unknown",
    ),
    "log_level": Setting(
        "info", _choice("debug", "info", "warning", "error"), "lowest level logged"
    ),
    "raise_on_violation": Setting("false", _boolean, "raise when an invariant is violated"),
}

DEFAULTS: Mapping[str, str] = {
    name: setting.default
    for name, setting in SETTING_BY_NAME.items()
    if setting.default is not None
}


@dataclass(frozen=True, slots=True)
class UnreadableFile:
    """Why a settings file cannot be used."""

    path: str
    reason: str


def read_file(path: str) -> Mapping[str, str] | UnreadableFile:
    """Read a settings file: lines ``JAYPOST_NAME=value``, empty lines and ``#`` comments.

    The result is used like environment variables. Variables that are no settings are ignored, and
    an empty value means the default.
    """
    try:
        with open(path, encoding="utf-8") as file:
            lines = file.read().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return UnreadableFile(path, str(error))
    value_by_variable = {}
    for number, line in enumerate(lines, start=1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        variable, separator, value = text.partition("=")
        if not separator:
            return UnreadableFile(path, f"line {number} is not NAME=value")
        if value.strip():
            value_by_variable[variable.strip()] = value.strip()
    return value_by_variable


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Add one flag for each setting."""
    for name, setting in SETTING_BY_NAME.items():
        default = "required" if setting.default is None else f"default {setting.default!s}"
        parser.add_argument(
            "--" + name.replace("_", "-"), metavar="VALUE", help=f"{setting.help} ({default})"
        )


def load(
    arguments: argparse.Namespace, environment: Mapping[str, str]
) -> LoadedSettings | RefusedSettings:
    """Read and check every setting; all problems are reported together."""
    values: dict[str, Any] = {}
    source_by_name: dict[str, str] = {}
    problems: list[SettingProblem] = []
    for name, setting in SETTING_BY_NAME.items():
        text, source = _find(name, setting, arguments, environment)
        if text is None:
            problems.append(SettingProblem(name, "", "is required"))
            continue
        try:
            values[name] = setting.parse(text)
            source_by_name[name] = source
        except ValueError as error:
            problems.append(SettingProblem(name, text, str(error)))
    if problems:
        return RefusedSettings(tuple(problems))
    settings = Settings(**values)
    problems = list(_check_together(settings))
    return (
        RefusedSettings(tuple(problems)) if problems else LoadedSettings(settings, source_by_name)
    )


def _find(
    name: str, setting: Setting, arguments: argparse.Namespace, environment: Mapping[str, str]
) -> tuple[str | None, str]:
    flag = getattr(arguments, name, None)
    if flag is not None:
        return flag, "flag"
    variable = ENVIRONMENT_PREFIX + name.upper()
    if variable in environment:
        return environment[variable], f"environment {variable}"
    return setting.default, "default"


def _check_together(settings: Settings) -> Sequence[SettingProblem]:
    problems = []
    if settings.store_backoff_min_s > settings.store_backoff_max_s:
        problems.append(
            SettingProblem(
                "store_backoff_min_s",
                str(settings.store_backoff_min_s),
                "must not exceed store_backoff_max_s",
            )
        )
    if settings.sync_interval_s > settings.suspicion_s:
        problems.append(
            SettingProblem(
                "sync_interval_s", str(settings.sync_interval_s), "must not exceed suspicion_s"
            )
        )
    listeners = [
        settings.listen_caller,
        settings.listen_peer,
        settings.listen_control,
        settings.listen_admin,
    ]
    for name in ("peer", "control", "admin"):
        listen = getattr(settings, f"listen_{name}")
        if ipaddress.ip_address(listen.host).is_unspecified:
            if getattr(settings, f"advertise_{name}") is None:
                reason = f"is required when listen_{name} is an unspecified address"
                problems.append(SettingProblem(f"advertise_{name}", "", reason))
    bound = [address for address in listeners if address.port]
    if len(set(bound)) != len(bound):
        problems.append(SettingProblem("listen_caller", "", "listening addresses must differ"))
    return problems


def describe(loaded: LoadedSettings) -> str:
    """Return one line for each setting: name, effective value and source."""
    lines = []
    for item in fields(loaded.settings):
        value = getattr(loaded.settings, item.name)
        text = ",".join(map(str, value)) if isinstance(value, tuple) else str(value)
        lines.append(f"{item.name}={text} source={loaded.source_by_name[item.name]!r}")
    return "\n".join(lines)
