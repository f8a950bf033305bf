"""Guards against changes that are lost, made twice, overwritten or reported wrongly."""

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


class Fate(enum.Enum):
    """What happens to one call of the store."""

    ANSWERED = enum.auto()
    ANSWER_LOST = enum.auto()
    APPLIED_LATE = enum.auto()
    DROPPED = enum.auto()
    REFUSED = enum.auto()


class FatedStore:
    """Calls a `StoreCore` with the fate that `choose` returns for each call."""

    def __init__(self, core, choose):
        self.core = core
        self.choose = choose
        self.late = []

    async def get(self, key):
        if await self.choose("get", key) is not Fate.ANSWERED:
            return StoreFailed("down", Effect.NONE)
        return self.core.get(key)

    async def put(self, key, value, if_revision, lease_id=None):
        return await self._write("put", key, lambda: self.core.put(key, value, if_revision))

    async def delete(self, key, if_revision):
        return await self._write("delete", key, lambda: self.core.delete(key, if_revision))

    async def _write(self, kind, key, apply):
        fate = await self.choose(kind, key)
        if fate is Fate.REFUSED:
            return StoreFailed("refused", Effect.NONE)
        if fate is Fate.ANSWERED:
            return apply()
        if fate is Fate.ANSWER_LOST:
            apply()
        if fate is Fate.APPLIED_LATE:
            self.late.append(apply)
        return StoreFailed("timed out", Effect.UNKNOWN)


async def answered(kind, key):
    return Fate.ANSWERED


async def no_sleep(delay_s):
    assert 0.2 <= delay_s <= 3


def writer_for(core, choose=answered, sleep=no_sleep, **options):
    store = FatedStore(core, choose)
    clock = iter(range(1, 1 << 30))
    return TableWriter(
        store, rng=random.Random(1), sleep=sleep, wall_clock=lambda: next(clock), **options
    )


def head_fates(*fates):
    """Return a choice that applies `fates` to the writes of the head, then answers all calls."""
    left = deque(fates)

    async def choose(kind, key):
        if kind == "put" and key == layout.HEAD_KEY and left:
            return left.popleft()
        return Fate.ANSWERED

    return choose


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
async def test_two_operators_merge_or_clash(theirs, ours, outcome):
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
        present, wanted = {r.service: r for r in theirs}, {r.service: r for r in ours}
        base_row = base.rows_by_service.get(outcome)
        clash = RowClash(outcome, base_row, present[outcome], wanted[outcome])
        assert result == Clash((clash,))
        assert await writer.read() == before


@pytest.mark.parametrize(
    ("fates", "outcome", "version"),
    [
        ([Fate.ANSWER_LOST], Accepted(2), 2),
        ([Fate.DROPPED], Accepted(2), 2),
        ([Fate.DROPPED, Fate.ANSWER_LOST], Accepted(2), 2),
        ([Fate.REFUSED] * 3, Accepted(2), 2),
        ([Fate.REFUSED] * 8, StoreFailed("refused", Effect.NONE), 1),
        ([Fate.DROPPED] * 8, Undecided("ours"), 1),
        ([Fate.APPLIED_LATE] * 8, Undecided("ours"), 1),
        ([Fate.APPLIED_LATE] + [Fate.REFUSED] * 7, Undecided("ours"), 1),
        ([Fate.DROPPED] * 7 + [Fate.ANSWER_LOST], Undecided("ours"), 2),
    ],
)
async def test_lost_answers(fates, outcome, version):
    core = StoreCore()
    await set_rows(writer_for(core), "base", A)
    writer = writer_for(core, head_fates(*fates))
    assert await set_rows(writer, "ours", A2) == outcome
    assert (await writer.read()).version == version
    made = await writer.status("ours")
    assert isinstance(made, ChangeFound if version == 2 else ChangeAbsent)
    for apply in writer._store.late:
        apply()
    retried = await set_rows(writer, "ours", A2, base=table.make_table(1, {"a": A}))
    assert retried == Accepted(2)
    assert [delta.change_id for delta in await writer.history(9)] == ["ours", "base"]


async def test_lost_answer_is_found_after_another_change_of_the_same_row():
    core = StoreCore()
    other = writer_for(core)

    async def choose(kind, key):
        return Fate.ANSWER_LOST if (kind, key) == ("put", layout.HEAD_KEY) else Fate.ANSWERED

    async def change_meanwhile(delay_s):
        assert await set_rows(other, "theirs", A3) == Accepted(2)

    writer = writer_for(core, choose, change_meanwhile)
    assert await set_rows(writer, "ours", A2) == Accepted(1)


async def test_giving_up_after_races_is_undecided_while_a_write_may_have_won(monkeypatch):
    monkeypatch.setattr(writers, "MAX_RACES", 1)
    fates = deque([Fate.APPLIED_LATE])

    async def choose(kind, key):
        if (kind, key) != ("put", layout.HEAD_KEY):
            return Fate.ANSWERED
        if writer._store.late:
            writer._store.late.pop()()
        return fates.popleft() if fates else Fate.ANSWERED

    writer = writer_for(StoreCore(), choose)
    assert await set_rows(writer, "ours", A) == Undecided("ours")
    assert isinstance(await writer.status("ours"), ChangeFound)


async def test_change_between_read_and_write_is_merged():
    core = StoreCore()
    other = writer_for(core)
    races = deque([A2, A3])

    async def choose(kind, key):
        if (kind, key) == ("put", layout.HEAD_KEY) and races:
            await set_rows(other, f"c{len(races)}", races.popleft())
        return Fate.ANSWERED

    assert await set_rows(writer_for(core, choose), "ours", B) == Accepted(3)
    assert (await other.read()).rows_by_service == {"a": A3, "b": B}


async def test_store_down_before_the_write_is_not_undecided():
    async def down(kind, key):
        return Fate.REFUSED

    writer = writer_for(StoreCore(), down)
    edit = TableEdit(table.EMPTY_TABLE, (RowChange("a", A),))
    failed = StoreFailed("down", Effect.NONE)
    assert await writer.change(edit, "op", "", "ours") == failed
    assert await writer.rollback(1, "op", "", "ours") == failed
    # The write of an earlier call may still take effect.
    assert await writer.change(edit, "op", "", "ours", resumed=True) == Undecided("ours")
    assert await writer.rollback(1, "op", "", "ours", resumed=True) == Undecided("ours")


async def test_folded_history_can_be_read_searched_and_rolled_back_to():
    core = StoreCore()
    writer = writer_for(core, max_deltas=2, kept_archives=3)
    tables = [await writer.read()]
    for number in range(1, 31):
        row = replace(A, queue_limit=number)
        assert await set_rows(writer, f"c{number}", row) == Accepted(number)
        tables.append(await writer.read())
    assert [d.version for d in await writer.history(7)] == list(range(30, 23, -1))
    assert len(core.list("table/archive/")) == 4
    assert len(core.list("table/snapshot/")) == 5
    kept = [delta.version for delta in await writer.history(99)]
    assert await writer.status("c25") == ChangeFound((await writer.history(6))[-1])
    assert await writer.status("c1") == ChangeAbsent(30)

    assert await writer.rollback(kept[-1], "sara", "", "back") == Accepted(31)
    assert (await writer.read()).rows_by_service == tables[kept[-1]].rows_by_service
    assert await writer.rollback(kept[-1], "sara", "", "back") == Accepted(31)
    for version in (0, 1, 99):
        assert isinstance(await writer.rollback(version, "sara", "", "no"), Rejected)
    stale = await set_rows(writer, "c1", A2, base=tables[0])
    assert isinstance(stale, Rejected)


async def test_large_deltas_are_folded_before_the_head_grows():
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


async def test_damaged_records_are_failures_not_tables():
    core = StoreCore()
    writer = writer_for(core, max_deltas=1)
    for number in range(3):
        await set_rows(writer, f"c{number}", replace(A, queue_limit=number))
    other = table.make_table(2, {"b": B})
    core.put(layout.snapshot_key(2), table.encode(other), None)
    assert isinstance(await writer.read(), StoreFailed)
    core.put(layout.HEAD_KEY, b"x", None)
    assert isinstance(await writer.read(), StoreFailed)
    assert isinstance(await writer.history(1), StoreFailed)


async def test_racing_operators_over_the_network_lose_no_change():
    server = StoreServer(Address("127.0.0.1", 0))
    await server.start()
    await server.set_faults(Faults(lose_answers=5, fail_writes=5))
    clients = [StoreClient(server.address, 5) for _ in range(10)]

    async def operate(number, client):
        await client.start()
        writer = TableWriter(client, sleep=lambda _: asyncio.sleep(0.01), max_deltas=3)
        row = Row(f"s{number}")
        return await set_rows(writer, f"id{number}", row, base=table.EMPTY_TABLE)

    outcomes = await asyncio.gather(*(operate(*item) for item in enumerate(clients)))
    left = await TableWriter(clients[0]).read()
    for client in clients:
        await client.close()
    await server.close()
    assert sorted(outcome.version for outcome in outcomes) == list(range(1, 11))
    assert set(left.rows_by_service) == {f"s{number}" for number in range(10)}


@types.coroutine
def suspend(call):
    return (yield call)


class RacingOperators(RuleBasedStateMachine):
    """Operators whose store calls interleave in any order, with any fate."""

    SERVICES = ("a", "b")

    def __init__(self):
        super().__init__()
        self.core = StoreCore()
        self.late = []
        self.running = {}
        self.base_by_id = {}
        self.edit_by_id = {}
        self.outcome_by_id = {}
        self.count = 0

    def table_now(self) -> Table:
        return drive(writer_for(self.core).read())

    def history(self):
        return drive(writer_for(self.core, kept_archives=99).history(1 << 20))

    @precondition(lambda self: len(self.running) < 3)
    @rule(
        services=st.sets(st.sampled_from(SERVICES), min_size=1),
        limit=st.integers(0, 2),
        delete=st.booleans(),
        stale=st.booleans(),
    )
    def start(self, services, limit, delete, stale):
        """Start a change against the present table or one that another operator saw."""
        self.count += 1
        change_id = f"id{self.count}"
        base = self.table_now()
        if stale and self.base_by_id:
            base = self.base_by_id[min(self.base_by_id)]
        rows = tuple(
            RowChange(service, None if delete else Row(service, retry_limit=limit))
            for service in sorted(services)
        )
        self.base_by_id[change_id] = base
        self.edit_by_id[change_id] = rows
        self.resume(change_id)

    @precondition(lambda self: any(isinstance(o, Undecided) for o in self.outcome_by_id.values()))
    @rule(choice=st.randoms(use_true_random=False))
    def retry_undecided(self, choice):
        undecided = [i for i, o in self.outcome_by_id.items() if isinstance(o, Undecided)]
        change_id = choice.choice(undecided)
        del self.outcome_by_id[change_id]
        self.resume(change_id, resumed=True)

    def resume(self, change_id, resumed=False):
        async def choose(kind, key):
            return await suspend((kind, key))

        async def sleep(delay_s):
            return None

        writer = writer_for(self.core, choose, sleep, max_deltas=2, kept_archives=99)
        writer._store.late = self.late
        edit = TableEdit(self.base_by_id[change_id], self.edit_by_id[change_id])
        coroutine = writer.change(edit, "op", "", change_id, resumed=resumed)
        coroutine.send(None)
        self.running[change_id] = coroutine

    @precondition(lambda self: self.running)
    @rule(
        choice=st.randoms(use_true_random=False),
        fates=st.lists(st.sampled_from([Fate.ANSWERED] * 4 + list(Fate)), min_size=1, max_size=12),
    )
    def step(self, choice, fates):
        change_id = choice.choice(sorted(self.running))
        for fate in fates:
            try:
                self.running[change_id].send(fate)
            except StopIteration as stopped:
                self.outcome_by_id[change_id] = stopped.value
                del self.running[change_id]
                return

    @precondition(lambda self: self.late)
    @rule(choice=st.randoms(use_true_random=False))
    def apply_late_write(self, choice):
        self.late.pop(choice.randrange(len(self.late)))()

    @invariant()
    def no_change_is_made_twice_or_overwrites_another(self):
        present = table.EMPTY_TABLE
        seen = set()
        for delta in reversed(self.history()):
            assert delta.change_id not in seen
            seen.add(delta.change_id)
            base = self.base_by_id[delta.change_id]
            wanted = {change.service: change.row for change in self.edit_by_id[delta.change_id]}
            for change in delta.rows:
                before = present.rows_by_service.get(change.service)
                assert change.row == wanted[change.service]
                assert before == base.rows_by_service.get(change.service)
            present = table.apply_delta(present, delta)
        assert present == self.table_now()

    @invariant()
    def outcomes_are_true(self):
        made = {delta.change_id: delta.version for delta in self.history()}
        for change_id, outcome in self.outcome_by_id.items():
            if isinstance(outcome, Accepted):
                assert made.get(change_id, outcome.version) == outcome.version
            elif not isinstance(outcome, Undecided):
                assert change_id not in made

    def teardown(self):
        for coroutine in self.running.values():
            coroutine.close()


def drive(coroutine):
    """Run a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        return stopped.value
    raise AssertionError("the coroutine suspended")


# Shrinking a failure takes minutes here; add Phase.shrink to study one.
RacingOperators.TestCase.settings = hypothesis_settings(
    phases=(Phase.generate,),
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=60,
    database=None,
)
TestRacingOperators = RacingOperators.TestCase
