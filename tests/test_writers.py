"""Guards against table changes that are lost, applied twice, overwritten or reported wrongly."""

from __future__ import annotations

import asyncio
import enum
import random
import types
from collections import deque
from dataclasses import replace

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jaypost import layout, table, writers
from jaypost.records import Address, Destination, Row, RowChange, Table
from jaypost.store import Effect, StoreFailed
from jaypost.store_client import StoreClient
from jaypost.writers import (
    Accepted,
    ChangeAbsent,
    ChangeFound,
    Clash,
    Rejected,
    RowClash,
    TableEdit,
    TableWriter,
    Undecided,
)
from standins.store import Faults, StoreCore, StoreServer


class StoreFault(enum.Enum):
    """Fault of one store call.

    A lost request has no effect, a lost response follows a write that took effect, and a write
    that is applied late takes effect when the test applies it from `delayed_writes`.
    """

    NONE = enum.auto()
    RESPONSE_LOST = enum.auto()
    APPLIED_LATE = enum.auto()
    REQUEST_LOST = enum.auto()
    REFUSED = enum.auto()


class FaultInjectingStore:
    """Calls a `StoreCore`, with the fault that `choose_fault` returns for each call."""

    def __init__(self, core, choose_fault):
        self.core = core
        self.choose_fault = choose_fault
        self.delayed_writes = []

    async def get(self, key):
        if await self.choose_fault("get", key) is not StoreFault.NONE:
            return StoreFailed("down", Effect.NONE)
        return self.core.get(key)

    async def put(self, key, value, if_revision, lease_id=None):
        return await self._write("put", key, lambda: self.core.put(key, value, if_revision))

    async def delete(self, key, if_revision):
        return await self._write("delete", key, lambda: self.core.delete(key, if_revision))

    async def _write(self, kind, key, apply):
        fault = await self.choose_fault(kind, key)
        if fault is StoreFault.REFUSED:
            return StoreFailed("refused", Effect.NONE)
        if fault is StoreFault.NONE:
            return apply()
        if fault is StoreFault.RESPONSE_LOST:
            apply()
        if fault is StoreFault.APPLIED_LATE:
            self.delayed_writes.append(apply)
        return StoreFailed("timed out", Effect.UNKNOWN)


async def no_faults(kind, key):
    return StoreFault.NONE


async def no_sleep(delay_s):
    """Check the bounds of the backoff delay instead of sleeping."""
    assert 0.2 <= delay_s <= 3


def writer_for(core, choose_fault=no_faults, sleep=no_sleep, **options):
    store = FaultInjectingStore(core, choose_fault)
    clock = iter(range(1, 1 << 30))
    return TableWriter(
        store, rng=random.Random(1), sleep=sleep, wall_clock=lambda: next(clock), **options
    )


def head_write_faults(*faults):
    """Return a function that assigns `faults` to the first writes of the head record."""
    remaining = deque(faults)

    async def choose_fault(kind, key):
        if kind == "put" and key == layout.HEAD_KEY and remaining:
            return remaining.popleft()
        return StoreFault.NONE

    return choose_fault


async def set_rows(writer, change_id, *rows, base=None):
    base = base or await writer.read()
    edit = TableEdit(base, tuple(RowChange(row.service, row) for row in rows))
    return await writer.change(edit, "abebe", "", change_id)


A, B = Row("a"), Row("b")
A2, A3 = replace(A, retry_limit=5), replace(A, retry_limit=6)


async def test_versions_are_consecutive_and_read_back():
    writer = writer_for(StoreCore())
    assert await set_rows(writer, "one", A, B) == Accepted(1)
    assert await set_rows(writer, "two", A2) == Accepted(2)
    assert await writer.read() == table.make_table(2, {"a": A2, "b": B})
    assert [delta.change_id for delta in await writer.history(9)] == ["two", "one"]
    assert await set_rows(writer, "same", A2) == Accepted(2)


async def test_invalid_change_is_rejected_without_effect():
    writer = writer_for(StoreCore())
    outcome = await set_rows(writer, "one", replace(A, destinations=(Destination("x", 1),)))
    assert isinstance(outcome, Rejected)
    assert [(p.service, p.column) for p in outcome.problems] == [("a", "destinations")]
    assert (await writer.read()).version == 0


@pytest.mark.parametrize(
    ("theirs", "ours", "outcome"),
    [
        ((B,), (A2,), Accepted(3)),
        ((A2,), (A2,), Accepted(2)),
        ((A2, B), (A2, replace(B, hedge_ms=9)), "b"),
        ((A2,), (A3,), "a"),
    ],
)
async def test_changes_since_the_same_base_are_merged_or_clash(theirs, ours, outcome):
    writer = writer_for(StoreCore())
    await set_rows(writer, "base", A)
    base = await writer.read()
    await set_rows(writer, "theirs", *theirs, base=base)
    before = await writer.read()
    result = await set_rows(writer, "ours", *ours, base=base)
    if isinstance(outcome, Accepted):
        assert result == outcome
        assert (await writer.read()).rows_by_service == before.rows_by_service | {
            row.service: row for row in ours
        }
    else:
        current, requested = {r.service: r for r in theirs}, {r.service: r for r in ours}
        base_row = base.rows_by_service.get(outcome)
        clash = RowClash(outcome, base_row, current[outcome], requested[outcome])
        assert result == Clash((clash,))
        assert await writer.read() == before


@pytest.mark.parametrize(
    ("faults", "outcome", "version"),
    [
        ([StoreFault.RESPONSE_LOST], Accepted(2), 2),
        ([StoreFault.REQUEST_LOST], Accepted(2), 2),
        ([StoreFault.REQUEST_LOST, StoreFault.RESPONSE_LOST], Accepted(2), 2),
        ([StoreFault.REFUSED] * 3, Accepted(2), 2),
        ([StoreFault.REFUSED] * 8, StoreFailed("refused", Effect.NONE), 1),
        ([StoreFault.REQUEST_LOST] * 8, Undecided("ours"), 1),
        ([StoreFault.APPLIED_LATE] * 8, Undecided("ours"), 1),
        ([StoreFault.APPLIED_LATE] + [StoreFault.REFUSED] * 7, Undecided("ours"), 1),
        ([StoreFault.REQUEST_LOST] * 7 + [StoreFault.RESPONSE_LOST], Undecided("ours"), 2),
    ],
)
async def test_failed_head_writes_never_apply_a_change_twice(faults, outcome, version):
    core = StoreCore()
    await set_rows(writer_for(core), "base", A)
    writer = writer_for(core, head_write_faults(*faults))
    assert await set_rows(writer, "ours", A2) == outcome
    assert (await writer.read()).version == version
    status = await writer.change_status("ours")
    assert isinstance(status, ChangeFound if version == 2 else ChangeAbsent)
    for apply in writer._store.delayed_writes:
        apply()
    retried = await set_rows(writer, "ours", A2, base=table.make_table(1, {"a": A}))
    assert retried == Accepted(2)
    assert [delta.change_id for delta in await writer.history(9)] == ["ours", "base"]


async def test_change_with_lost_response_is_found_after_another_change_of_the_same_row():
    core = StoreCore()
    other = writer_for(core)

    async def choose_fault(kind, key):
        return (
            StoreFault.RESPONSE_LOST if (kind, key) == ("put", layout.HEAD_KEY) else StoreFault.NONE
        )

    async def change_meanwhile(delay_s):
        assert await set_rows(other, "theirs", A3) == Accepted(2)

    writer = writer_for(core, choose_fault, change_meanwhile)
    assert await set_rows(writer, "ours", A2) == Accepted(1)


async def test_giving_up_after_conflicts_is_undecided_if_a_write_may_have_taken_effect(monkeypatch):
    monkeypatch.setattr(writers, "MAX_CONFLICTS", 1)
    faults = deque([StoreFault.APPLIED_LATE])

    async def choose_fault(kind, key):
        if (kind, key) != ("put", layout.HEAD_KEY):
            return StoreFault.NONE
        if writer._store.delayed_writes:
            writer._store.delayed_writes.pop()()
        return faults.popleft() if faults else StoreFault.NONE

    writer = writer_for(StoreCore(), choose_fault)
    assert await set_rows(writer, "ours", A) == Undecided("ours")
    assert isinstance(await writer.change_status("ours"), ChangeFound)


async def test_change_between_read_and_write_is_merged():
    core = StoreCore()
    other = writer_for(core)
    conflicting_rows = deque([A2, A3])

    async def choose_fault(kind, key):
        if (kind, key) == ("put", layout.HEAD_KEY) and conflicting_rows:
            await set_rows(other, f"c{len(conflicting_rows)}", conflicting_rows.popleft())
        return StoreFault.NONE

    assert await set_rows(writer_for(core, choose_fault), "ours", B) == Accepted(3)
    assert (await other.read()).rows_by_service == {"a": A3, "b": B}


async def test_outage_before_the_write_is_undecided_only_for_a_resumed_change():
    async def down(kind, key):
        return StoreFault.REFUSED

    writer = writer_for(StoreCore(), down)
    edit = TableEdit(table.EMPTY_TABLE, (RowChange("a", A),))
    failed = StoreFailed("down", Effect.NONE)
    assert await writer.change(edit, "op", "", "ours") == failed
    assert await writer.rollback(1, "op", "", "ours") == failed
    # The write of an earlier call may still take effect.
    assert await writer.change(edit, "op", "", "ours", resumed=True) == Undecided("ours")
    assert await writer.rollback(1, "op", "", "ours", resumed=True) == Undecided("ours")


async def test_compacted_history_can_be_read_searched_and_rolled_back_to():
    core = StoreCore()
    writer = writer_for(core, max_head_deltas=2, kept_archives=3)
    tables = [await writer.read()]
    for number in range(1, 31):
        row = replace(A, queue_limit=number)
        assert await set_rows(writer, f"c{number}", row) == Accepted(number)
        tables.append(await writer.read())
    assert [d.version for d in await writer.history(7)] == list(range(30, 23, -1))
    # The newest archive and the 3 before it are kept, and the snapshot from which the oldest of
    # them starts.
    assert len(core.list("table/archive/")) == 4
    assert len(core.list("table/snapshot/")) == 5
    kept_versions = [delta.version for delta in await writer.history(99)]
    assert await writer.change_status("c25") == ChangeFound((await writer.history(6))[-1])
    assert await writer.change_status("c1") == ChangeAbsent(30)

    assert await writer.rollback(kept_versions[-1], "sara", "", "back") == Accepted(31)
    assert (await writer.read()).rows_by_service == tables[kept_versions[-1]].rows_by_service
    assert await writer.rollback(kept_versions[-1], "sara", "", "back") == Accepted(31)
    for version in (0, 1, 99):
        assert isinstance(await writer.rollback(version, "sara", "", "no"), Rejected)
    stale = await set_rows(writer, "c1", A2, base=tables[0])
    assert isinstance(stale, Rejected)


async def test_large_deltas_are_compacted_by_the_next_change():
    core = StoreCore()
    writer = writer_for(core)
    rng = random.Random(1)
    for number in range(4):
        prefixes = tuple(f"/{rng.getrandbits(800):x}" for _ in range(250))
        assert await set_rows(writer, f"c{number}", replace(A, long_prefixes=prefixes)) == (
            Accepted(number + 1)
        )
    stored = await layout.read_head(writer._store)
    assert stored.head.snapshot_version > 0
    assert (await writer.read()).rows_by_service["a"].long_prefixes == prefixes


async def test_damaged_records_are_reported_as_failures():
    core = StoreCore()
    writer = writer_for(core, max_head_deltas=1)
    for number in range(3):
        await set_rows(writer, f"c{number}", replace(A, queue_limit=number))
    other = table.make_table(2, {"b": B})
    core.put(layout.snapshot_key(2), table.encode(other), None)
    assert isinstance(await writer.read(), StoreFailed)
    core.put(layout.HEAD_KEY, b"x", None)
    assert isinstance(await writer.read(), StoreFailed)
    assert isinstance(await writer.history(1), StoreFailed)


async def test_concurrent_writers_over_http_lose_no_change():
    server = StoreServer(Address("127.0.0.1", 0))
    await server.start()
    await server.set_faults(Faults(lose_answers=5, fail_writes=5))
    clients = [StoreClient(server.address, 5) for _ in range(10)]

    async def add_row(number, client):
        await client.start()
        writer = TableWriter(client, sleep=lambda _: asyncio.sleep(0.01), max_head_deltas=3)
        row = Row(f"s{number}")
        return await set_rows(writer, f"id{number}", row, base=table.EMPTY_TABLE)

    outcomes = await asyncio.gather(*(add_row(*item) for item in enumerate(clients)))
    final_table = await TableWriter(clients[0]).read()
    for client in clients:
        await client.close()
    await server.close()
    assert sorted(outcome.version for outcome in outcomes) == list(range(1, 11))
    assert set(final_table.rows_by_service) == {f"s{number}" for number in range(10)}


@types.coroutine
def suspend(call):
    """Suspend the coroutine with a store call; return the fault that is sent to it."""
    return (yield call)


class ConcurrentWriters(RuleBasedStateMachine):
    """Concurrent changes whose store calls interleave in any order, with any fault."""

    SERVICES = ("a", "b")

    def __init__(self):
        super().__init__()
        self.core = StoreCore()
        self.delayed_writes = []
        self.coroutine_by_id = {}
        self.base_by_id = {}
        self.row_changes_by_id = {}
        self.outcome_by_id = {}
        self.change_count = 0

    def current_table(self) -> Table:
        return drive(writer_for(self.core).read())

    def history(self):
        return drive(writer_for(self.core, kept_archives=99).history(1 << 20))

    @precondition(lambda self: len(self.coroutine_by_id) < 3)
    @rule(
        services=st.sets(st.sampled_from(SERVICES), min_size=1),
        retry_limit=st.integers(0, 2),
        delete=st.booleans(),
        use_old_base=st.booleans(),
    )
    def start_change(self, services, retry_limit, delete, use_old_base):
        """Start a change against the current table or against the base of an earlier change."""
        self.change_count += 1
        change_id = f"id{self.change_count}"
        base = self.current_table()
        if use_old_base and self.base_by_id:
            base = self.base_by_id[min(self.base_by_id)]
        rows = tuple(
            RowChange(service, None if delete else Row(service, retry_limit=retry_limit))
            for service in sorted(services)
        )
        self.base_by_id[change_id] = base
        self.row_changes_by_id[change_id] = rows
        self.submit_change(change_id)

    @precondition(lambda self: any(isinstance(o, Undecided) for o in self.outcome_by_id.values()))
    @rule(rng=st.randoms(use_true_random=False))
    def retry_undecided(self, rng):
        undecided = [i for i, o in self.outcome_by_id.items() if isinstance(o, Undecided)]
        change_id = rng.choice(undecided)
        del self.outcome_by_id[change_id]
        self.submit_change(change_id, resumed=True)

    def submit_change(self, change_id, resumed=False):
        async def choose_fault(kind, key):
            return await suspend((kind, key))

        async def sleep(delay_s):
            return None

        writer = writer_for(self.core, choose_fault, sleep, max_head_deltas=2, kept_archives=99)
        writer._store.delayed_writes = self.delayed_writes
        edit = TableEdit(self.base_by_id[change_id], self.row_changes_by_id[change_id])
        coroutine = writer.change(edit, "op", "", change_id, resumed=resumed)
        coroutine.send(None)
        self.coroutine_by_id[change_id] = coroutine

    @precondition(lambda self: self.coroutine_by_id)
    @rule(
        rng=st.randoms(use_true_random=False),
        faults=st.lists(
            st.sampled_from([StoreFault.NONE] * 4 + list(StoreFault)), min_size=1, max_size=12
        ),
    )
    def step(self, rng, faults):
        """Run one change for as many store calls as there are faults, or to its end."""
        change_id = rng.choice(sorted(self.coroutine_by_id))
        for fault in faults:
            try:
                self.coroutine_by_id[change_id].send(fault)
            except StopIteration as stopped:
                self.outcome_by_id[change_id] = stopped.value
                del self.coroutine_by_id[change_id]
                return

    @precondition(lambda self: self.delayed_writes)
    @rule(rng=st.randoms(use_true_random=False))
    def apply_delayed_write(self, rng):
        self.delayed_writes.pop(rng.randrange(len(self.delayed_writes)))()

    @invariant()
    def no_change_is_made_twice_or_overwrites_another(self):
        rebuilt = table.EMPTY_TABLE
        seen = set()
        for delta in reversed(self.history()):
            assert delta.change_id not in seen
            seen.add(delta.change_id)
            base = self.base_by_id[delta.change_id]
            wanted = {
                change.service: change.row for change in self.row_changes_by_id[delta.change_id]
            }
            for change in delta.rows:
                before = rebuilt.rows_by_service.get(change.service)
                assert change.row == wanted[change.service]
                assert before == base.rows_by_service.get(change.service)
            rebuilt = table.apply_delta(rebuilt, delta)
        assert rebuilt == self.current_table()

    @invariant()
    def reported_outcomes_match_the_history(self):
        version_by_id = {delta.change_id: delta.version for delta in self.history()}
        for change_id, outcome in self.outcome_by_id.items():
            if isinstance(outcome, Accepted):
                assert version_by_id.get(change_id, outcome.version) == outcome.version
            elif not isinstance(outcome, Undecided):
                assert change_id not in version_by_id

    def teardown(self):
        for coroutine in self.coroutine_by_id.values():
            coroutine.close()


def drive(coroutine):
    """Run a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        return stopped.value
    raise AssertionError("the coroutine suspended")


# Shrinking a failure takes minutes, so it is disabled; add Phase.shrink to investigate a failure.
ConcurrentWriters.TestCase.settings = hypothesis_settings(
    phases=(Phase.generate,),
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=60,
    database=None,
)
TestConcurrentWriters = ConcurrentWriters.TestCase
