"""Measures the bytes and times of table changes, by default for a table of a full-size fleet.

Compares two layouts in the store by the bytes that a reader receives for a change: the whole table
under one key (layout a), and a head record with deltas (layout c). Also prints the times to
validate, digest and decode a table, to apply a delta and to build the snapshot, and their slopes
over rows and targets.

Run it as ``python -m bench.table_bytes``.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import structlog

from jaypost import layout, settings, table
from jaypost.config import ConfigHolder, OfferDeltas, OfferTable
from jaypost.records import (
    Address,
    Delta,
    Destination,
    PlacedTarget,
    Row,
    RowChange,
    Spill,
    Table,
    Target,
    TargetState,
    TenantShare,
)
from jaypost.store import Found
from jaypost.writers import MAX_HEAD_DELTAS, Accepted, TableEdit, TableWriter
from standins.store import DirectStore, StoreCore

ROWS = 870
TARGETS = 7_000
# Changes of a day.
CHANGES = 3_000
TIMING_REPEATS = 15
# The whole table is encoded at every tenth change only.
ENCODING_STEP = 10
NAME_WORDS = ("orders", "stock", "packs", "guides", "plans", "deposits", "rooms", "quotes", "glass")
TENANTS = ("landlords", "agents", "installers", "parishes", "hotels", "families", "glaziers")
COMMENTS = ("raise limit before peak", "move traffic", "shorter timeout", "tenant share", "undo")


@dataclass(frozen=True, slots=True)
class LayoutBytes:
    """Bytes that one reader receives for all changes, by layout.

    Parameters
    ----------
    whole_table_bytes : int
        Layout a: the sum of the encoded tables.
    head_bytes : int
        Layout c: the sum of the head records.
    longest_head_bytes : int
        Layout c: the longest head record.
    written_bytes : int
        Layout c: bytes that the writer wrote to the store.
    """

    whole_table_bytes: int
    head_bytes: int
    longest_head_bytes: int
    written_bytes: int


def make_row(rng: random.Random, services: Sequence[str], number: int) -> Row:
    """Return a row of which about half of the columns differ from their defaults."""
    service = services[number]
    others = rng.sample(services, rng.choice((0, 0, 0, 1, 2)))
    weights = [Destination(other, rng.randint(1, 100)) for other in others if other != service]
    prefixes = tuple(
        f"/{rng.choice(NAME_WORDS)}/{rng.choice(NAME_WORDS)}" for _ in range(rng.randint(0, 2))
    )
    shares = rng.sample(TENANTS, rng.randint(0, 3))
    return Row(
        service,
        destinations=(Destination(service, 100), *weights) if weights else (),
        rate_limit=float(rng.choice((0, 0, rng.randint(50, 5_000)))),
        concurrency_limit=rng.choice((0, 0, rng.randint(10, 2_000))),
        queue_limit=rng.choice((64, 64, 16, 128)),
        timeout_ms=rng.choice((10_000, 2_000, 30_000, rng.randint(500, 60_000))),
        retry_limit=rng.choice((2, 2, 1, 3)),
        retry_budget=rng.choice((0.1, 0.1, 0.05, 0.2)),
        hedge_ms=rng.choice((0, 0, 0, rng.randint(20, 400))),
        long_prefixes=tuple(dict.fromkeys(prefixes)),
        tenant_shares=tuple(TenantShare(tenant, rng.randint(1, 10)) for tenant in shares),
        spill=rng.choice((Spill.ANY, Spill.ANY, Spill.REGION)),
    )


def make_rows(count: int) -> dict[str, Row]:
    """Return `count` random rows, drawn with a fixed seed."""
    rng = random.Random(870)
    services = [f"{rng.choice(NAME_WORDS)}-{rng.choice(NAME_WORDS)}-{n:03d}" for n in range(count)]
    return {services[n]: make_row(rng, services, n) for n in range(count)}


def edit_row(rng: random.Random, row: Row) -> Row:
    """Return `row` with another value in one column, as an operator would set it."""
    return rng.choice(
        (
            replace(row, rate_limit=float(rng.randint(50, 5_000))),
            replace(row, timeout_ms=rng.randint(500, 60_000), hedge_ms=0),
            replace(row, concurrency_limit=rng.randint(10, 2_000)),
            replace(row, queue_limit=rng.randint(1, 256)),
            replace(row, tenant_shares=(TenantShare(rng.choice(TENANTS), rng.randint(1, 99)),)),
        )
    )


async def measure_bytes(rows: int, changes: int, max_deltas: int) -> LayoutBytes:
    """Write changes with the writer and count what a reader of either layout receives.

    The whole table is encoded at every tenth change only, and its size is counted ten times.

    Parameters
    ----------
    rows : int
        Rows of the table.
    changes : int
        Number of changes.
    max_deltas : int
        Highest number of deltas in the head record.

    Returns
    -------
    LayoutBytes
        Sums over all changes.
    """
    rng = random.Random(3_000)
    store = DirectStore(StoreCore())
    writer = TableWriter(store, max_head_deltas=max_deltas)
    rows_by_service = make_rows(rows)
    services = sorted(rows_by_service)
    base = table.EMPTY_TABLE
    first = tuple(RowChange(service, rows_by_service[service]) for service in services)
    await _change(writer, TableEdit(base, first), rng)
    base = table.make_table(1, rows_by_service)
    whole_table_bytes, head_sizes = 0, []
    written_before = store.written_bytes
    for number in range(changes):
        # One change in five edits several rows.
        changed_services = rng.sample(services, rng.choice((1, 1, 1, 1, 3)))
        edits = tuple(
            RowChange(s, edit_row(rng, base.rows_by_service[s])) for s in changed_services
        )
        await _change(writer, TableEdit(base, edits), rng)
        base = table.make_table(
            base.version + 1, table.apply_row_changes(base.rows_by_service, edits)
        )
        if number % ENCODING_STEP == 0:
            whole_table_bytes += len(table.encode(base)) * ENCODING_STEP
        head = store.core.get(layout.HEAD_KEY)
        assert isinstance(head, Found)
        head_sizes.append(len(head.value))
    written_bytes = store.written_bytes - written_before
    return LayoutBytes(whole_table_bytes, sum(head_sizes), max(head_sizes), written_bytes)


async def _change(writer: TableWriter, edit: TableEdit, rng: random.Random) -> None:
    change_id = f"{rng.getrandbits(128):032x}"
    outcome = await writer.change(edit, "abebe", rng.choice(COMMENTS), change_id)
    assert isinstance(outcome, Accepted), outcome


def make_targets(services: Sequence[str], count: int) -> dict[str, tuple[PlacedTarget, ...]]:
    """Return `count` targets by service, each on its own host, spread evenly over the services."""
    targets_by_service: dict[str, list[PlacedTarget]] = {}
    for number in range(count):
        service = services[number % len(services)]
        placed = PlacedTarget(
            Target(f"t{number}", service, 9_000, 12, TargetState.READY),
            f"n{number}",
            f"domain-{number % 7}",
            f"region-{number % 3}",
            Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7_601),
        )
        targets_by_service.setdefault(service, []).append(placed)
    return {service: tuple(placed) for service, placed in targets_by_service.items()}


def median_ms(action: Callable[[], object]) -> float:
    """Return the median time of `action` in milliseconds."""
    times = []
    for _ in range(TIMING_REPEATS):
        started = time.perf_counter()
        action()
        times.append(time.perf_counter() - started)
    return statistics.median(times) * 1_000


def make_delta(base: Table) -> Delta:
    """Return a delta that changes one row of `base`."""
    service = min(base.rows_by_service)
    change = RowChange(service, replace(base.rows_by_service[service], queue_limit=99))
    rows = table.apply_row_changes(base.rows_by_service, (change,))
    version = base.version + 1
    return Delta(version, "0" * 32, "abebe", 0, "", (change,), table.digest(rows))


def new_holder(base: Table, targets: dict[str, tuple[PlacedTarget, ...]]) -> ConfigHolder:
    """Return a configuration holder that knows `targets` and has `base` in force."""
    environment = {
        "JAYPOST_NODE_ID": "n1",
        "JAYPOST_FAILURE_DOMAIN": "domain-1",
        "JAYPOST_REGION": "region-1",
        "JAYPOST_STORE": "127.0.0.1:7500",
    }
    loaded = settings.load(argparse.Namespace(), environment)
    assert isinstance(loaded, settings.LoadedSettings)
    holder = ConfigHolder(loaded.settings, "n1")
    holder.update_targets(targets)
    holder.offer(OfferTable(base))
    return holder


def print_times(rows: int, targets: int) -> dict[str, float]:
    """Print and return the times in milliseconds for a number of rows and of targets."""
    rows_by_service = make_rows(rows)
    base = table.make_table(1, rows_by_service)
    delta = make_delta(base)
    stored = table.encode(base)
    placed = make_targets(sorted(rows_by_service), targets)
    holders = iter([new_holder(base, placed) for _ in range(TIMING_REPEATS)])
    reused_holder = new_holder(base, placed)
    times = {
        "validate": median_ms(lambda: table.validate(rows_by_service)),
        "digest": median_ms(lambda: table.digest(rows_by_service)),
        "decode": median_ms(lambda: table.decode(stored, Table)),
        "apply_delta": median_ms(lambda: table.apply_delta(base, delta)),
        "targets_changed": median_ms(lambda: reused_holder.update_targets(placed)),
        "offer_delta": median_ms(lambda: next(holders).offer(OfferDeltas((delta,)))),
    }
    columns = " ".join(f"{name}_ms={value:.2f}" for name, value in times.items())
    print(f"rows={rows} targets={targets} {columns}")
    return times


def print_slopes(
    unit: str, small: dict[str, float], large: dict[str, float], added_count: int
) -> None:
    """Print how many microseconds each additional row or target adds to the times."""
    slopes = {name: (large[name] - small[name]) / added_count * 1_000 for name in small}
    columns = " ".join(f"{name}={slope:.2f}" for name, slope in slopes.items())
    print(f"slope=us_per_{unit} {columns}")


def main() -> None:
    """Run the benchmark and print the bytes and times."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rows", type=int, default=ROWS)
    parser.add_argument("--targets", type=int, default=TARGETS)
    parser.add_argument("--changes", type=int, default=CHANGES)
    parser.add_argument("--max-deltas", type=int, default=MAX_HEAD_DELTAS)
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))

    layout_bytes = asyncio.run(
        measure_bytes(arguments.rows, arguments.changes, arguments.max_deltas)
    )
    change_count = arguments.changes
    print(f"rows={arguments.rows} changes={arguments.changes} max_deltas={arguments.max_deltas}")
    print(
        f"layout=a_one_key bytes_per_change={layout_bytes.whole_table_bytes / change_count:.0f} "
        f"reader_day_mb={layout_bytes.whole_table_bytes / 1e6:.2f}"
    )
    print(
        f"layout=c_head_and_deltas bytes_per_change={layout_bytes.head_bytes / change_count:.0f} "
        f"reader_day_mb={layout_bytes.head_bytes / 1e6:.2f} "
        f"longest_head={layout_bytes.longest_head_bytes} "
        f"written_day_mb={layout_bytes.written_bytes / 1e6:.2f}"
    )
    rows, targets = arguments.rows, arguments.targets
    few_rows_times = print_times(rows // 4, targets)
    print_times(rows // 2, targets)
    full_times = print_times(rows, targets)
    print_times(rows, targets // 2)
    few_targets_times = print_times(rows, targets // 4)
    print_slopes("row", few_rows_times, full_times, rows - rows // 4)
    print_slopes("target", few_targets_times, full_times, targets - targets // 4)


if __name__ == "__main__":
    main()
