"""The service table: parsing, validation, diffs, deltas, digest and serialisation."""

from __future__ import annotations

import hashlib
import re
import typing
import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, fields, is_dataclass, replace
from functools import cache
from typing import Any, TypeVar

import msgspec

from jaypost.records import Delta, Row, RowChange, RowProblem, Table
from jaypost.workspaces.keys import NO_PRIORITY

T = TypeVar("T")

SERVICE_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
HOST_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,252}")
TENANT_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
WORKSPACE_PATTERN = re.compile(r"[!-~]{1,128}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
MAX_LIST_ENTRIES = 256
MAX_PREFIX_CHARACTERS = 256
DIGEST_BYTES = 16
# Limits the memory that decompressing a damaged or malicious stored value can take. A table of
# 870 rows takes about 0.4 MB.
MAX_DECOMPRESSED_BYTES = 16 << 20

# Inclusive bounds of the numeric columns, in the unit of the column.
RANGE_BY_COLUMN: Mapping[str, tuple[float, float]] = {
    "rate_limit": (0, 10_000_000),
    "concurrency_limit": (0, 1_000_000),
    "queue_limit": (0, 10_000),
    "timeout_ms": (1, 3_600_000),
    "first_byte_timeout_ms": (0, 3_600_000),
    "retry_limit": (0, 10),
    "retry_budget": (0, 1),
    "hedge_ms": (0, 3_600_000),
    "short_reserve": (0, 1),
    "target_latency_ms": (0, 3_600_000),
    "rate_burst": (0, 10_000_000),
    "crossing_ms": (0, 3_600_000),
}
DESTINATION_WEIGHT_RANGE = (0, 1000)
TENANT_SHARE_RANGE = (1, 1000)
FLOAT_COLUMNS = ("rate_limit", "retry_budget", "short_reserve", "rate_burst", "crossing_ms")
HIGHEST_PRIORITY_NUMBER = 1000
KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{32}")


@dataclass(frozen=True, slots=True)
class DeltaRefused:
    """A delta that cannot be applied to a table.

    Parameters
    ----------
    version : int
        Version that the delta would lead to.
    reason : str
        Why it cannot be applied; messages put it after ``version N:``.
    """

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class DecodeFailure:
    """Stored data that cannot be decoded as a record of the expected type, and why."""

    reason: str


def parse_row(service: str, columns: Mapping[str, object]) -> Row | RowProblem:
    """Build a row from column values given by an operator.

    Parameters
    ----------
    service : str
        Name of the service.
    columns : Mapping[str, object]
        Values by column, as JSON types; omitted columns take their default.

    Returns
    -------
    Row or RowProblem
        The row, or the first problem found. Unknown columns are checked first, then the types of
        the values, and last their validity as in `validate`.
    """
    types = _field_types(Row)
    for column in sorted(columns):
        if column == "service" or column not in types:
            return RowProblem(service, column, "is not a column")
    values: dict[str, Any] = {}
    for column, expected_type in types.items():
        if column not in columns:
            continue
        try:
            values[column] = _convert(columns[column], expected_type)
        except msgspec.ValidationError as error:
            return RowProblem(service, column, str(error))
    row = Row(service, **values)
    return next(_row_problems(service, row), row)


def row_columns(row: Row) -> dict[str, object]:
    """Return the columns of a row as JSON types, in the form that `parse_row` accepts."""
    columns = typing.cast(dict[str, object], msgspec.to_builtins(row))
    del columns["service"]
    return columns


def validate(rows_by_service: Mapping[str, Row]) -> tuple[RowProblem, ...]:
    """Check a whole table.

    Each row must be valid by itself, no two rows may have the same host and path prefix, and every
    destination must have a row.

    Returns
    -------
    tuple of RowProblem
        All problems, sorted by service; empty when the table is valid.
    """
    problems: list[RowProblem] = []
    service_by_route: dict[tuple[str, str], str] = {}
    for service in sorted(rows_by_service):
        row = rows_by_service[service]
        problems.extend(_row_problems(service, row))
        route = (row.host or service, row.path_prefix)
        if row.path_prefix and service_by_route.setdefault(route, service) != service:
            reason = f"row {service_by_route[route]!r} has the same host and path_prefix"
            problems.append(RowProblem(service, "path_prefix", reason))
        for destination in row.destinations:
            if destination.service not in rows_by_service:
                reason = f"service {destination.service!r} has no row"
                problems.append(RowProblem(service, "destinations", reason))
    return tuple(problems)


def diff(old: Table, new: Table) -> tuple[RowChange, ...]:
    """Return the changes that turn the rows of `old` into those of `new`, sorted by service."""
    return tuple(
        RowChange(service, new.rows_by_service.get(service))
        for service in sorted(old.rows_by_service.keys() | new.rows_by_service.keys())
        if old.rows_by_service.get(service) != new.rows_by_service.get(service)
    )


def apply_row_changes(
    rows_by_service: Mapping[str, Row], changes: Iterable[RowChange]
) -> dict[str, Row]:
    """Return the rows with `changes` applied; deleting an absent row has no effect."""
    changed = dict(rows_by_service)
    for change in changes:
        if change.row is None:
            changed.pop(change.service, None)
        else:
            changed[change.service] = change.row
    return changed


def apply_delta(table: Table, delta: Delta) -> Table | DeltaRefused:
    """Return the version that `delta` leads to from `table`, or why it cannot be applied.

    The rows are checked against the digest in the delta. They are not validated.
    """
    return apply_deltas(table, (delta,))


def apply_deltas(table: Table, deltas: Iterable[Delta]) -> Table | DeltaRefused:
    """Apply consecutive deltas and check the result against the digest in the last one.

    As with `apply_delta`, the rows are not validated.
    """
    version, rows_by_service, expected_digest = table.version, table.rows_by_service, table.digest
    for delta in deltas:
        if delta.base_version != version or delta.version <= version:
            return DeltaRefused(delta.version, f"does not follow version {version}")
        for change in delta.rows:
            if change.row is not None and change.row.service != change.service:
                reason = f"has a row of another service under {change.service!r}"
                return DeltaRefused(delta.version, reason)
        rows_by_service = apply_row_changes(rows_by_service, delta.rows)
        version, expected_digest = delta.version, delta.digest
    if version != table.version and digest(rows_by_service) != expected_digest:
        return DeltaRefused(version, "digest does not match the rows")
    return Table(version, rows_by_service, expected_digest)


def consecutive_deltas(deltas: Iterable[Delta], version: int) -> tuple[Delta, ...]:
    """Return the deltas that lead, one after the other, from `version` to newer versions.

    `deltas` may be in any order and may overlap: a delta can span several versions, and nodes that
    read the store at different times divide the same history into different deltas. Of several
    deltas with the same base version, the one that leads to the newest version is used.
    """
    delta_by_base: dict[int, Delta] = {}
    for delta in sorted(deltas, key=lambda item: item.version):
        delta_by_base[delta.base_version] = delta
    steps: list[Delta] = []
    while (step := delta_by_base.get(version)) is not None and step.version > version:
        steps.append(step)
        version = step.version
    return tuple(steps)


def overlapping_deltas(deltas: Iterable[Delta], version: int) -> tuple[Delta, ...]:
    """Return deltas that lead to newer versions and may start from versions before `version`.

    A node that skipped a version has no delta that starts from it. A delta from an earlier version
    carries whole rows, so it can be applied as well, unless it lacks a row that changed before
    `version` and changed back later; the digest shows that. Each step is the delta that leads to
    the newest version.

    Returns
    -------
    tuple of Delta
        Steps whose first ``base_version`` is at most `version`; empty when no delta applies.
    """
    steps: list[Delta] = []
    remaining = [delta for delta in deltas if delta.version > version]
    while usable := [d for d in remaining if d.base_version <= version < d.version]:
        step = max(usable, key=lambda delta: delta.version)
        steps.append(step)
        version = step.version
    return tuple(steps)


def apply_overlapping_deltas(table: Table, deltas: Sequence[Delta]) -> Table | None:
    """Apply deltas of `overlapping_deltas`; None when the rows do not match the last digest."""
    rows_by_service = table.rows_by_service
    for delta in deltas:
        if any(change.row and change.row.service != change.service for change in delta.rows):
            return None
        rows_by_service = apply_row_changes(rows_by_service, delta.rows)
    if digest(rows_by_service) != deltas[-1].digest:
        return None
    return Table(deltas[-1].version, rows_by_service, deltas[-1].digest)


def delta_between(old: Table, new: Table, author: str, at_ms: int) -> Delta:
    """Return the delta from `old` to `new`, for a source that provides only whole versions.

    Parameters
    ----------
    old : Table
        Version that the delta starts from.
    new : Table
        Version that it leads to; its digest becomes the change identifier of the delta.
    author : str
        Author to record in the delta.
    at_ms : int
        Wall-clock time of the change in milliseconds since 1970.
    """
    changes = diff(old, new)
    return Delta(new.version, new.digest, author, at_ms, "", changes, new.digest, old.version)


def digest(rows_by_service: Mapping[str, Row]) -> str:
    """Return the BLAKE2b digest of the rows in hexadecimal; their order has no influence."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for service in sorted(rows_by_service):
        row = _with_float_columns(rows_by_service[service])
        hasher.update(_encoder.encode((service, row)))
    return hasher.hexdigest()


EMPTY_TABLE = Table(0, {}, hashlib.blake2b(digest_size=DIGEST_BYTES).hexdigest())


def make_table(version: int, rows_by_service: Mapping[str, Row]) -> Table:
    """Return the table of a version, with the digest of its rows."""
    return Table(version, rows_by_service, digest(rows_by_service))


def encode(value: object) -> bytes:
    """Serialise a `Table`, `Head`, `Delta` or other record as msgpack, compressed by zlib."""
    return zlib.compress(_encoder.encode(value))


def decode(data: bytes, expected_type: type[T]) -> T | DecodeFailure:
    """Deserialise a record that `encode` has serialised.

    Parameters
    ----------
    data : bytes
        Stored value.
    expected_type : type
        Dataclass of the record.

    Returns
    -------
    record or DecodeFailure
        The record, or why the data is not such a record. Data with unknown fields is refused,
        because a field that this version of the program does not know may change the meaning of
        the others.
    """
    try:
        return typing.cast(T, _convert(msgspec.msgpack.decode(_decompress(data)), expected_type))
    except (zlib.error, ValueError, RecursionError) as error:
        return DecodeFailure(str(error))


_encoder = msgspec.msgpack.Encoder()


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("compressed data is truncated, too large or followed by other data")
    return content


def _with_float_columns(row: Row) -> Row:
    # An integer in a float column becomes a float when the row is decoded. The two have different
    # encodings, so without this conversion the digest of the same row would change.
    int_columns = [name for name in FLOAT_COLUMNS if type(getattr(row, name)) is int]
    if not int_columns:
        return row
    float_by_column: dict[str, Any] = {name: float(getattr(row, name)) for name in int_columns}
    return replace(row, **float_by_column)


def _convert(value: object, expected_type: Any) -> Any:
    converted = msgspec.convert(value, expected_type)
    unknown = _unknown_field(value, expected_type)
    if unknown is not None:
        raise msgspec.ValidationError(f"unknown field {unknown!r}")
    return converted


def _unknown_field(value: Any, expected_type: Any) -> str | None:
    find = _unknown_field_finder(expected_type)
    return None if find is None else find(value)


@cache
def _field_types(expected_type: type) -> Mapping[str, Any]:
    hints = typing.get_type_hints(expected_type)
    return {item.name: hints[item.name] for item in fields(expected_type)}


@cache
def _unknown_field_finder(expected_type: Any) -> Callable[[Any], str | None] | None:
    """Return a function that finds an unknown field in a value of type `expected_type`.

    The function takes the value before its conversion and returns the name of an unknown field, or
    None. It is needed because `msgspec.convert` ignores unknown fields of dataclasses. None in
    place of a function means that `expected_type` contains no dataclass.
    """
    if is_dataclass(expected_type):
        return _finder_for_dataclass(typing.cast(type, expected_type))
    inner_finders = [
        finder
        for argument in typing.get_args(expected_type)
        if (finder := _unknown_field_finder(argument)) is not None
    ]
    if not inner_finders:
        return None
    # The type of a field contains at most one dataclass, in a sequence, a mapping or an optional.
    (find,) = inner_finders
    origin = typing.get_origin(expected_type)
    if isinstance(origin, type) and issubclass(origin, Mapping):
        return lambda value: _first_not_none(map(find, value.values()))
    if isinstance(origin, type) and issubclass(origin, Sequence):
        return lambda value: _first_not_none(map(find, value))
    return lambda value: None if value is None else find(value)


def _finder_for_dataclass(expected_type: type) -> Callable[[Any], str | None]:
    types = _field_types(expected_type)
    known_fields = types.keys()
    finder_by_field = {
        name: finder
        for name, field_type in types.items()
        if (finder := _unknown_field_finder(field_type)) is not None
    }

    def find(value: Any) -> str | None:
        if not isinstance(value, dict):
            return None
        if not value.keys() <= known_fields:
            return str(min(value.keys() - known_fields))
        return _first_not_none(
            finder(value[name]) for name, finder in finder_by_field.items() if name in value
        )

    return find


def _first_not_none(names: Iterable[str | None]) -> str | None:
    return next((name for name in names if name is not None), None)


def _row_problems(service: str, row: Row) -> Iterator[RowProblem]:
    if row.service != service:
        yield RowProblem(
            service, "service", f"differs from the service in the row, {row.service!r}"
        )
    if not SERVICE_PATTERN.fullmatch(service):
        yield RowProblem(
            service,
            "service",
            "must be 1 to 64 lower-case letters, digits, '-', '_' or '.', "
            "beginning with a letter or digit",
        )
    yield from _route_problems(service, row)
    yield from _destination_problems(service, row)
    yield from _range_problems(service, row)
    yield from _list_problems(service, row)
    yield from _workspace_problems(service, row)


def _workspace_problems(service: str, row: Row) -> Iterator[RowProblem]:
    lowest = NO_PRIORITY if row.workspace else 0
    if not lowest <= row.priority <= HIGHEST_PRIORITY_NUMBER:
        reason = f"{row.priority} must be between {lowest} and {HIGHEST_PRIORITY_NUMBER}"
        yield RowProblem(service, "priority", reason)
    yield from _length_and_duplicate_problems(service, "key_digests", row.key_digests)
    if not all(KEY_DIGEST_PATTERN.fullmatch(digest) for digest in row.key_digests):
        yield RowProblem(service, "key_digests", "must be 32 hexadecimal digits each")
    if row.key_digests and not row.workspace:
        yield RowProblem(service, "key_digests", "need a workspace")
    if row.workspace and not WORKSPACE_PATTERN.fullmatch(row.workspace):
        yield RowProblem(service, "workspace", "must be 1 to 128 printable characters")
    if row.workspace and (row.path_prefix or row.destinations):
        yield RowProblem(service, "workspace", "must not stand in the row of a route")


def _route_problems(service: str, row: Row) -> Iterator[RowProblem]:
    if row.host and not HOST_PATTERN.fullmatch(row.host):
        yield RowProblem(service, "host", "must be a lower-case host name without a port")
    prefix = row.path_prefix
    if prefix and not (prefix.startswith("/") and prefix.endswith("/")):
        yield RowProblem(service, "path_prefix", f"{prefix!r} must begin and end with '/'")
    if len(prefix) > MAX_PREFIX_CHARACTERS:
        reason = f"must have at most {MAX_PREFIX_CHARACTERS} characters"
        yield RowProblem(service, "path_prefix", reason)


def _destination_problems(service: str, row: Row) -> Iterator[RowProblem]:
    destinations = row.destinations
    if not destinations:
        return
    yield from _length_and_duplicate_problems(
        service, "destinations", [d.service for d in destinations]
    )
    low, high = DESTINATION_WEIGHT_RANGE
    for destination in destinations:
        if not low <= destination.weight <= high:
            reason = f"weight {destination.weight} of {destination.service!r}"
            yield RowProblem(service, "destinations", f"{reason} must be between {low} and {high}")
    if not any(destination.weight for destination in destinations):
        yield RowProblem(service, "destinations", "at least one weight must be above 0")


def _range_problems(service: str, row: Row) -> Iterator[RowProblem]:
    for column, (low, high) in RANGE_BY_COLUMN.items():
        value = getattr(row, column)
        if not low <= value <= high:
            yield RowProblem(service, column, f"{value} must be between {low} and {high}")
    for column in ("first_byte_timeout_ms", "hedge_ms"):
        value = getattr(row, column)
        if value > row.timeout_ms:
            reason = f"{value} must not exceed timeout_ms, which is {row.timeout_ms}"
            yield RowProblem(service, column, reason)


def _list_problems(service: str, row: Row) -> Iterator[RowProblem]:
    yield from _length_and_duplicate_problems(service, "repeatable_methods", row.repeatable_methods)
    for method in row.repeatable_methods:
        if not METHOD_PATTERN.fullmatch(method):
            yield RowProblem(
                service, "repeatable_methods", f"{method!r} must be 1 to 16 upper-case letters"
            )
    yield from _length_and_duplicate_problems(service, "long_prefixes", row.long_prefixes)
    for prefix in row.long_prefixes:
        if not prefix.startswith("/") or len(prefix) > MAX_PREFIX_CHARACTERS:
            reason = f"{prefix[:MAX_PREFIX_CHARACTERS]!r} must start with '/' and have at most "
            yield RowProblem(
                service, "long_prefixes", f"{reason}{MAX_PREFIX_CHARACTERS} characters"
            )
    yield from _tenant_problems(service, row)


def _tenant_problems(service: str, row: Row) -> Iterator[RowProblem]:
    shares = row.tenant_shares
    yield from _length_and_duplicate_problems(service, "tenant_shares", [s.tenant for s in shares])
    low, high = TENANT_SHARE_RANGE
    for share in shares:
        if not TENANT_PATTERN.fullmatch(share.tenant):
            reason = (
                f"tenant {share.tenant!r} must be 1 to 64 letters, digits, '-', '_' or '.', "
                "beginning with a letter or digit"
            )
            yield RowProblem(service, "tenant_shares", reason)
        if not low <= share.share <= high:
            reason = f"share {share.share} of {share.tenant!r}"
            yield RowProblem(service, "tenant_shares", f"{reason} must be between {low} and {high}")


def _length_and_duplicate_problems(
    service: str, column: str, names: Sequence[str]
) -> Iterator[RowProblem]:
    if len(names) > MAX_LIST_ENTRIES:
        reason = f"has {len(names)} entries, but must have at most {MAX_LIST_ENTRIES}"
        yield RowProblem(service, column, reason)
    if len(set(names)) < len(names):
        yield RowProblem(service, column, "contains duplicate entries")
