"""Settings of the node: defaults, flags, environment variables and validation.

A flag takes precedence over the ``JAYPOST_`` environment variable of the same setting, the variable
over the settings file, and the file over the default.
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
    """HTTP library that the codecs use."""

    H11 = "h11"
    HTTPTOOLS = "httptools"


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of one node.

    The suffix of a name gives the unit: ``_s`` for seconds, ``_ms`` for milliseconds, ``_bytes``,
    ``_bytes_per_s`` and ``_mbps`` for megabits per second. The fields are described in
    `SETTING_BY_NAME`.
    """

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
    first_start: bool
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
    retry_slack: float
    crossing_ms: float
    exposure_share: float
    allotment_tolerance: float
    allotment_window_s: float
    allotment_slack: float
    link_mbps: float
    max_files: int
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
    """Settings that passed validation, with the source of each value."""

    settings: Settings
    source_by_name: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class RefusedSettings:
    """All problems that were found in the settings."""

    problems: tuple[SettingProblem, ...]


@dataclass(frozen=True, slots=True)
class Setting:
    """Definition of one setting.

    Parameters
    ----------
    default : str or None
        Text of the default; None when a value is required.
    parse : Callable[[str], Any]
        Converts the text to the value, or raises `ValueError`.
    help : str
        Help text of the flag.
    """

    default: str | None
    parse: Callable[[str], Any]
    help: str


def _number_parser(convert: Callable[[str], Any], low: float, high: float) -> Callable[[str], Any]:
    def parse(text: str) -> Any:
        value = convert(text)
        if not low <= value <= high:
            raise ValueError(f"must be between {low:g} and {high:g}")
        return value

    return parse


def _parse_name(text: str) -> str:
    if not text or len(text) > 64 or not all(c.isalnum() or c in "-_." for c in text):
        raise ValueError("must be 1 to 64 letters, digits, '-', '_' or '.'")
    return text


def _parse_optional_name(text: str) -> str:
    return _parse_name(text) if text else ""


def _choice_parser(*values: str) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in values:
            raise ValueError(f"must be one of {', '.join(values)}")
        return text

    return parse


def _parse_boolean(text: str) -> bool:
    return _choice_parser("true", "false")(text.lower()) == "true"


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is not a number up to 65535.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError("must be IP:PORT")
    ip = ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or int(port) > 65535:
        raise ValueError("port must be between 0 and 65535")
    return Address(str(ip), int(port))


def _parse_addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(part.strip()) for part in text.split(",") if part.strip())


def _parse_optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None


_parse_seconds = _number_parser(float, 0.001, 86_400)

SETTING_BY_NAME: Mapping[str, Setting] = {
    "node_id": Setting(None, _parse_name, "identifier of the node, stable across restarts"),
    "failure_domain": Setting(None, _parse_name, "failure domain of the host"),
    "region": Setting(None, _parse_name, "region of the host"),
    "store": Setting(None, parse_address, "address of the key-value store, IP:PORT"),
    "listen_caller": Setting("127.0.0.1:7600", parse_address, "listening address for callers"),
    "listen_peer": Setting(
        "127.0.0.1:7601", parse_address, "listening address for calls from other nodes"
    ),
    "listen_control": Setting(
        "127.0.0.1:7602", parse_address, "listening address for control traffic between nodes"
    ),
    "listen_admin": Setting(
        "127.0.0.1:7603", parse_address, "listening address for operators, metrics and targets"
    ),
    "advertise_peer": Setting(
        "",
        _parse_optional_address,
        "peer address sent to other nodes; empty means the listening address",
    ),
    "advertise_control": Setting(
        "",
        _parse_optional_address,
        "control address sent to other nodes; empty means the listening address",
    ),
    "advertise_admin": Setting(
        "",
        _parse_optional_address,
        "admin address sent to other nodes; empty means the listening address",
    ),
    "seeds": Setting(
        "",
        _parse_addresses,
        "control addresses of nodes to join, in addition to those in the store",
    ),
    "http_codec": Setting(HttpCodec.HTTPTOOLS, HttpCodec, "HTTP library: h11 or httptools"),
    "store_timeout_s": Setting("2", _parse_seconds, "timeout of one call to the store, in seconds"),
    "store_backoff_min_s": Setting(
        "0.2", _parse_seconds, "shortest delay after a failed store call, in seconds"
    ),
    "store_backoff_max_s": Setting(
        "3", _parse_seconds, "longest delay after a failed store call, in seconds"
    ),
    "watch_wait_s": Setting(
        "20", _parse_seconds, "longest time that one watch waits at the store, in seconds"
    ),
    "readers_per_domain": Setting(
        "2", _number_parser(int, 1, 5), "nodes of a failure domain that watch the store"
    ),
    "sync_interval_s": Setting(
        "1", _parse_seconds, "interval between synchronisations with a peer, in seconds"
    ),
    "cross_region_interval_s": Setting(
        "5", _parse_seconds, "interval between synchronisations with other regions, in seconds"
    ),
    "suspicion_s": Setting(
        "5", _parse_seconds, "time that an accused node has to refute the accusation, in seconds"
    ),
    "push_fanout": Setting(
        "4", _number_parser(int, 1, 16), "peers that receive each batch of updates"
    ),
    "push_delay_s": Setting(
        "0.05", _parse_seconds, "shortest time between two batches of updates, in seconds"
    ),
    "push_rate": Setting("4", _number_parser(float, 0.1, 100), "batches of updates per second"),
    "join_jitter_s": Setting(
        "2", _number_parser(float, 0, 60), "longest random delay before joining, in seconds"
    ),
    "join_rate": Setting("20", _number_parser(float, 0.1, 1000), "join replies per second"),
    "first_start": Setting(
        "false",
        _parse_boolean,
        "the whole fleet starts for the first time, so that the store holds nothing of earlier "
        "processes",
    ),
    "beacon_timeout_s": Setting(
        "15",
        _parse_seconds,
        "time without beacons of readers after which a node reads the store itself, in seconds",
    ),
    "announcement_timeout_s": Setting(
        "6",
        _parse_seconds,
        "time without announcements after which a target counts as gone, in seconds",
    ),
    "connect_timeout_s": Setting(
        "0.25", _parse_seconds, "timeout for opening a connection, in seconds"
    ),
    "idle_probe_s": Setting(
        "5", _parse_seconds, "interval between probes of idle connections, in seconds"
    ),
    "drain_delay_s": Setting(
        "3", _parse_seconds, "time that a leaving node still accepts new calls, in seconds"
    ),
    "drain_timeout_s": Setting(
        "60", _parse_seconds, "time that a leaving node waits for calls in flight, in seconds"
    ),
    "ramp_s": Setting(
        "10",
        _number_parser(float, 0, 3600),
        "time until a new target gets its full share of calls, in seconds",
    ),
    "header_limit_bytes": Setting(
        "32768", _number_parser(int, 1024, 1 << 20), "largest size of request headers, in bytes"
    ),
    "buffered_body_bytes": Setting(
        "65536",
        _number_parser(int, 0, 1 << 22),
        "largest request body that is buffered for a retry, in bytes",
    ),
    "slow_body_s": Setting(
        "10", _parse_seconds, "time over which the rate of a request body is measured, in seconds"
    ),
    "slow_body_bytes_per_s": Setting(
        "1000",
        _number_parser(int, 0, 1 << 20),
        "lowest accepted rate of a request body, in bytes per second",
    ),
    "claim_rate": Setting(
        "2", _number_parser(float, 0, 200), "claims of idempotency keys per second"
    ),
    "label_limit": Setting(
        "64", _number_parser(int, 1, 1000), "largest number of values of a metric label"
    ),
    "service": Setting(
        "",
        _parse_optional_name,
        "service of the targets on the host, sent to called targets as the name of the caller",
    ),
    "listen_targets": Setting(
        "",
        _parse_optional_address,
        "additional listening address of the admin server, for announcements of targets",
    ),
    "listen_ready": Setting(
        "",
        _parse_optional_address,
        "additional listening address of the admin server, for readiness checks",
    ),
    "announcement_interval_ms": Setting(
        "2000",
        _number_parser(int, 10, 600_000),
        "interval between the announcements of a target, in milliseconds",
    ),
    "drain_bound_ms": Setting(
        "5000",
        _number_parser(int, 100, 600_000),
        "longest time from the reply to the announcement of a draining target until calls to it "
        "stop, in milliseconds",
    ),
    "grace_s": Setting(
        "66",
        _number_parser(float, 0.1, 3600),
        "time from SIGTERM until the process is killed, in seconds",
    ),
    "retry_ratio": Setting(
        "0.2",
        _number_parser(float, 0, 1),
        "retries that the targets of a service accept, as a fraction of its calls",
    ),
    "retry_slack": Setting(
        "0",
        _number_parser(float, 0, 1_000_000),
        "retries beyond this fraction that the targets of a service accept at once from all hosts "
        "together; 0 when not known",
    ),
    "crossing_ms": Setting(
        "0",
        _number_parser(float, 0, 3_600_000),
        "time that a request waits for a target of its failure domain rather than leave it, in "
        "milliseconds; 0: it leaves as soon as none is free",
    ),
    "exposure_share": Setting(
        "0",
        _number_parser(float, 0, 1),
        "largest fraction of the requests of a service that a bad version may get in a roll-out; "
        "0 when roll-outs are not in use",
    ),
    "allotment_tolerance": Setting(
        "0.1",
        _number_parser(float, 0, 1),
        "fraction of the limit of a workspace that may be admitted beyond it in a window",
    ),
    "allotment_window_s": Setting(
        "5", _parse_seconds, "window in which a limit of a workspace is checked, in seconds"
    ),
    "allotment_slack": Setting(
        "0",
        _number_parser(float, 0, 1_000_000),
        "requests that may be admitted beyond a limit in a window, in addition to the fraction",
    ),
    "link_mbps": Setting(
        "0",
        _number_parser(float, 0, 1_000_000),
        "bandwidth of the network link of the host in megabits per second; 0 when unknown",
    ),
    "max_files": Setting(
        "0",
        _number_parser(int, 0, 1 << 24),
        "file descriptors that the process may use; 0 for the limit that the system sets",
    ),
    "log_level": Setting(
        "info", _choice_parser("debug", "info", "warning", "error"), "lowest level that is logged"
    ),
    "raise_on_violation": Setting(
        "false", _parse_boolean, "raise an exception when an invariant is violated"
    ),
}

DEFAULTS: Mapping[str, str] = {
    name: setting.default
    for name, setting in SETTING_BY_NAME.items()
    if setting.default is not None
}


@dataclass(frozen=True, slots=True)
class UnreadableFile:
    """A settings file that cannot be used, and why."""

    path: str
    reason: str


def read_settings_file(path: str) -> Mapping[str, str] | UnreadableFile:
    """Read a settings file: lines ``JAYPOST_NAME=value``, empty lines and ``#`` comments.

    Returns
    -------
    Mapping[str, str] or UnreadableFile
        Values by variable, for use like environment variables: `load` ignores variables that are
        not settings. Variables with an empty value are left out, so that they take the default.
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
    """Read and validate all settings.

    Parameters
    ----------
    arguments : argparse.Namespace
        Parsed flags; a flag that was not given is None or absent.
    environment : Mapping[str, str]
        Values by variable, from the environment, from `read_settings_file`, or from both, merged
        by the caller. An empty value counts as none.

    Returns
    -------
    LoadedSettings or RefusedSettings
        The settings, or all problems. Rules between settings are checked only when each value is
        valid by itself.
    """
    values: dict[str, Any] = {}
    source_by_name: dict[str, str] = {}
    problems: list[SettingProblem] = []
    for name, setting in SETTING_BY_NAME.items():
        text, source = _find_value(name, setting, arguments, environment)
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
    problems = list(_consistency_problems(settings))
    return (
        RefusedSettings(tuple(problems)) if problems else LoadedSettings(settings, source_by_name)
    )


def _find_value(
    name: str, setting: Setting, arguments: argparse.Namespace, environment: Mapping[str, str]
) -> tuple[str | None, str]:
    flag = getattr(arguments, name, None)
    if flag is not None:
        return flag, "flag"
    variable = ENVIRONMENT_PREFIX + name.upper()
    if environment.get(variable):
        return environment[variable], f"environment {variable}"
    return setting.default, "default"


def _consistency_problems(settings: Settings) -> Sequence[SettingProblem]:
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
    listen_addresses = [
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
    # With port 0 the kernel chooses a free port.
    fixed_addresses = [address for address in listen_addresses if address.port]
    if len(set(fixed_addresses)) != len(fixed_addresses):
        problems.append(SettingProblem("listen_caller", "", "all listening addresses must differ"))
    return problems


def describe(loaded: LoadedSettings) -> str:
    """Return a text with one line for each setting: name, effective value and source."""
    lines = []
    for item in fields(loaded.settings):
        value = getattr(loaded.settings, item.name)
        text = ",".join(map(str, value)) if isinstance(value, tuple) else str(value)
        lines.append(f"{item.name}={text} source={loaded.source_by_name[item.name]!r}")
    return "\n".join(lines)
