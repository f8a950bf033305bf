"""Faults of a chaos run: draws a schedule from a seed and applies it to real processes."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

from bench.chaos_checks import FaultWindow, ProcessExit
from jaypost.records import Address
from standins.processes import Fleet, Process, http_request
from standins.relay import BOTH_DIRECTIONS, Relay

# Keys of the table.
KEPT_PREFIX = "table/"
# Fraction of the nodes or of the targets that one fault kills.
KILLED_FRACTION = 0.2
EXIT_TIMEOUT_S = 30.0
# Time after the end of a fault in which it may still affect calls: calls that it delayed are in
# flight, and other nodes learn of its end late.
RECOVERY_S = 1.5
# Time until the idle probe or a request timeout detects a silent connection, which stays open but
# delivers no bytes.
SILENCE_RECOVERY_S = 12.0
# Offsets that are put on the wall clock of a node.
CLOCK_STEPS_S = (-3600.0, -20.0, -1.0, 1.0, 20.0, 3600.0)
# Delays of each chunk of bytes that a relay forwards.
DELAYS_S = (0.02, 0.1, 0.4)
# Like RECOVERY_S, but for kills: a killed node is accused after a failed sync, and refutes the
# accusation once it runs again.
KILL_RECOVERY_S = 3.0


def clock_path(directory: Path, node_id: str) -> Path:
    """Return the file that holds the offset of the wall clock of a node, in seconds."""
    return directory / f"{node_id}.clock"


class FaultKind(StrEnum):
    """Kinds of faults.

    Pausing sends SIGSTOP, and SIGCONT at the end. Terminating sends SIGTERM and restarts the
    process. A frozen target accepts requests and does not respond; a cut one closes the connection
    before or within the response; a crossed one responds with another request id. The store faults
    are those of the store stand-in. SILENCE, SILENCE_ONE_WAY, DELAY and RESET act on the
    connections through the relays; silence discards the bytes of the open ones. STEP_CLOCK sets the
    wall clock of a node wrong. HANG_UP sends SIGHUP, on which a node reloads its settings.
    RESTORE_STORE lets the store come back from a copy that is `duration_s` old; the operator writes
    the table again.
    """

    KILL_NODES = "kill_nodes"
    KILL_TARGETS = "kill_targets"
    PAUSE_NODE = "pause_node"
    PAUSE_TARGET = "pause_target"
    TERMINATE_NODE = "terminate_node"
    TERMINATE_TARGET = "terminate_target"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    FREEZE_TARGET = "freeze_target"
    CUT_TARGET = "cut_target"
    CROSS_TARGET = "cross_target"
    SILENCE = "silence"
    SILENCE_ONE_WAY = "silence_one_way"
    DELAY = "delay"
    RESET = "reset"
    STEP_CLOCK = "step_clock"
    HANG_UP = "hang_up"
    RESTORE_STORE = "restore_store"


# Kinds that must not cut any call in flight (rule P8). All others count as disturbances, except
# STEP_CLOCK and HANG_UP.
NON_DISTURBING_KINDS = (
    FaultKind.TERMINATE_NODE,
    FaultKind.TERMINATE_TARGET,
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LOSES_ANSWERS,
)
# Only in runs that ask for it.
EXTRA_KINDS = (FaultKind.RESTORE_STORE,)
DRAWN_KINDS = tuple(kind for kind in FaultKind if kind not in EXTRA_KINDS)
RESTORED_AT_FRACTIONS = (0.3, 0.7)
# How long the store is away before it comes back from a copy.
RESTORE_DOWN_S = 0.3
# Fraction of the schedule, from its start, that has only these kinds.
NON_DISTURBING_FRACTION = 0.4
FAULTS_PER_S = 1.0


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that starts `at_s` seconds after the start of the schedule.

    The kinds that terminate a process, silence or reset connections or send SIGHUP ignore
    `duration_s`.
    """

    at_s: float
    kind: FaultKind
    duration_s: float


def draw_schedule(rng: random.Random, duration_s: float) -> tuple[Fault, ...]:
    """Draw a schedule: first a part with faults that must not cut calls, then one with all kinds.

    Within each part, every kind is drawn once before any is drawn again, so that short runs cover
    all kinds.
    """
    non_disturbing_s = duration_s * NON_DISTURBING_FRACTION
    return (
        *_draw_part(rng, NON_DISTURBING_KINDS, 0.0, non_disturbing_s),
        *_draw_part(rng, DRAWN_KINDS, non_disturbing_s, duration_s),
    )


def draw_restores(rng: random.Random, duration_s: float) -> tuple[Fault, ...]:
    """Draw when the store comes back from a copy, and how old the copy is."""
    return tuple(
        Fault(fraction * duration_s, FaultKind.RESTORE_STORE, rng.uniform(0.0, 3.0))
        for fraction in RESTORED_AT_FRACTIONS
    )


def _draw_part(
    rng: random.Random, kinds: Sequence[FaultKind], start_s: float, end_s: float
) -> tuple[Fault, ...]:
    count = max(len(kinds), int((end_s - start_s) * FAULTS_PER_S))
    drawn: list[FaultKind] = []
    while len(drawn) < count:
        drawn += rng.sample(kinds, len(kinds))
    times = sorted(rng.uniform(start_s, end_s) for _ in range(count))
    return tuple(
        Fault(at_s, kind, rng.uniform(0.3, 2.5))
        for at_s, kind in zip(times, drawn[:count], strict=True)
    )


@dataclass(frozen=True, slots=True)
class FaultSubjects:
    """Processes that faults may hit, and how to start them again.

    Parameters
    ----------
    node_ids : tuple of str
        The nodes.
    port_by_target : mapping
        Current port of each target.
    relay_by_node : mapping
        Relays in front of the peer addresses of some nodes.
    start_node, start_target : callable
        Start a process again and wait until it is ready.
    """

    node_ids: tuple[str, ...]
    port_by_target: Mapping[str, int]
    relay_by_node: Mapping[str, Relay]
    start_node: Callable[[str], Awaitable[None]]
    start_target: Callable[[str], Awaitable[None]]


class FaultRunner:
    """Applies a schedule and records the time windows of the faults.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    subjects : FaultSubjects
        What the faults may hit.
    rng : random.Random
        Chooses the subjects and the parameters of the faults.
    """

    def __init__(self, fleet: Fleet, subjects: FaultSubjects, rng: random.Random) -> None:
        self.disturbances: list[FaultWindow] = []
        self.terminations: list[FaultWindow] = []
        self.exits: list[ProcessExit] = []
        self._fleet = fleet
        self._subjects = subjects
        self._rng = rng
        self._reserved_names: set[str] = set()
        self._store_faults: dict[str, object] = {}
        self._apply_by_kind: Mapping[FaultKind, Callable[[float], Coroutine[Any, Any, None]]] = {
            FaultKind.KILL_NODES: self._kill_nodes,
            FaultKind.KILL_TARGETS: self._kill_targets,
            FaultKind.PAUSE_NODE: self._pause_node,
            FaultKind.PAUSE_TARGET: self._pause_target,
            FaultKind.TERMINATE_NODE: self._terminate_node,
            FaultKind.TERMINATE_TARGET: self._terminate_target,
            FaultKind.STORE_DOWN: self._store_down,
            FaultKind.STORE_SLOW: self._store_slow,
            FaultKind.STORE_LOSES_ANSWERS: self._store_loses_answers,
            FaultKind.FREEZE_TARGET: self._freeze_target,
            FaultKind.CUT_TARGET: self._cut_target,
            FaultKind.CROSS_TARGET: self._cross_target,
            FaultKind.SILENCE: self._silence,
            FaultKind.SILENCE_ONE_WAY: self._silence_one_way,
            FaultKind.DELAY: self._delay,
            FaultKind.RESET: self._reset,
            FaultKind.STEP_CLOCK: self._step_clock,
            FaultKind.HANG_UP: self._hang_up,
            FaultKind.RESTORE_STORE: self._restore_store,
        }

    def _log_fault(self, text: str) -> None:
        """Append a line with the time of day to ``faults.txt`` in the log directory."""
        now = time.strftime("%H:%M:%S", time.gmtime()) + f".{time.time_ns() // 1_000_000 % 1000:03}"
        with (self._fleet.directory / "faults.txt").open("a") as file:
            print(now, text, file=file)

    def is_available(self, node_id: str) -> bool:
        """Tell whether callers may choose this node: no fault has reserved it."""
        return node_id not in self._reserved_names

    async def run(self, schedule: Sequence[Fault]) -> None:
        """Apply the schedule and return when every fault has ended; faults may overlap."""
        start = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        for fault in schedule:
            await asyncio.sleep(max(0.0, start + fault.at_s - time.monotonic()))
            tasks.append(asyncio.create_task(self._apply_by_kind[fault.kind](fault.duration_s)))
        await asyncio.gather(*tasks)

    def record_unexpected_exit(self, name: str) -> None:
        """Record the exit of a process if it is no longer running, although nothing ended it."""
        process = self._fleet.process_by_name[name]
        if not process.is_running:
            self.exits.append(ProcessExit(name, process.wait(), expected=False))

    def _reserve(self, names: Sequence[str], count: int = 1) -> list[str]:
        """Reserve up to `count` processes for a fault; a third of `names` always stays free.

        Records reserved processes that had already exited before the fault.
        """
        free = [name for name in names if name not in self._reserved_names]
        allowed = max(0, len(free) - (len(names) + 2) // 3)
        reserved = self._rng.sample(free, min(count, allowed))
        self._reserved_names.update(reserved)
        for name in reserved:
            self.record_unexpected_exit(name)
        return reserved

    def _record_disturbance(
        self, kind: str, subject: str, start_s: float, recovery_s: float
    ) -> None:
        self.disturbances.append(FaultWindow(kind, subject, start_s, time.monotonic() + recovery_s))

    async def _kill_nodes(self, duration_s: float) -> None:
        names = self._subjects.node_ids
        await self._kill(names, duration_s, self._subjects.start_node)

    async def _kill_targets(self, duration_s: float) -> None:
        names = tuple(self._subjects.port_by_target)
        await self._kill(names, duration_s, self._subjects.start_target)

    async def _kill(
        self, names: Sequence[str], duration_s: float, start: Callable[[str], Awaitable[None]]
    ) -> None:
        reserved = self._reserve(names, max(1, round(len(names) * KILLED_FRACTION)))
        start_s = time.monotonic()
        for name in reserved:
            self._log_fault(f"kill {name}")
            await asyncio.to_thread(self._process(name).kill)
        await asyncio.sleep(duration_s)
        await asyncio.gather(*(start(name) for name in reserved))
        for name in reserved:
            self._log_fault(f"started {name}")
            self._record_disturbance("kill", name, start_s, KILL_RECOVERY_S)
        self._reserved_names.difference_update(reserved)

    async def _pause_node(self, duration_s: float) -> None:
        await self._pause(self._subjects.node_ids, duration_s)

    async def _pause_target(self, duration_s: float) -> None:
        await self._pause(tuple(self._subjects.port_by_target), duration_s)

    async def _pause(self, names: Sequence[str], duration_s: float) -> None:
        for name in self._reserve(names):
            start_s = time.monotonic()
            self._log_fault(f"pause {name}")
            self._process(name).send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self._log_fault(f"continue {name}")
            self._process(name).send_signal(signal.SIGCONT)
            self._record_disturbance("pause", name, start_s, RECOVERY_S)
            self._reserved_names.discard(name)

    async def _terminate_node(self, duration_s: float) -> None:
        # Not a node with a relay: the relay still accepts connections after the node has exited,
        # which the host of a real node does not.
        names = [name for name in self._subjects.node_ids if not self._has_relay(name)]
        for name in self._reserve(names):
            await self._terminate(name, self._subjects.start_node)

    def _has_relay(self, node_id: str) -> bool:
        return node_id in self._subjects.relay_by_node

    async def _terminate_target(self, duration_s: float) -> None:
        for name in self._reserve(tuple(self._subjects.port_by_target)):
            await self._terminate(name, self._subjects.start_target)

    async def _terminate(self, name: str, start: Callable[[str], Awaitable[None]]) -> None:
        start_s = time.monotonic()
        process = self._process(name)
        self._log_fault(f"terminate {name}")
        process.send_signal(signal.SIGTERM)
        code = await asyncio.to_thread(process.wait, EXIT_TIMEOUT_S)
        if code is None:
            await asyncio.to_thread(process.kill)
        self._log_fault(f"exit {name} with code {code}")
        self.exits.append(ProcessExit(name, code, expected=True))
        await start(name)
        self.terminations.append(FaultWindow("terminate", name, start_s, time.monotonic()))
        self._reserved_names.discard(name)

    def _process(self, name: str) -> Process:
        return self._fleet.process_by_name[name]

    async def _store_down(self, duration_s: float) -> None:
        await self._apply_store_fault("down", True, duration_s)

    async def _store_slow(self, duration_s: float) -> None:
        await self._apply_store_fault("delay_ms", self._rng.choice((50, 300, 1500)), duration_s)

    async def _store_loses_answers(self, duration_s: float) -> None:
        await self._apply_store_fault("lose_answers", self._rng.randint(1, 5), duration_s)

    async def _apply_store_fault(self, name: str, value: object, duration_s: float) -> None:
        self._store_faults[name] = value
        await self._put_store_faults()
        await asyncio.sleep(duration_s)
        self._store_faults.pop(name, None)
        await self._put_store_faults()

    async def _restore_store(self, age_s: float) -> None:
        address = self._fleet.store_address
        await _put_json(address, "/v1/copy", {})
        await asyncio.sleep(age_s)
        self._store_faults["down"] = True
        await self._put_store_faults()
        await asyncio.sleep(RESTORE_DOWN_S)
        self._log_fault(f"restore the store from a copy that is {age_s:.1f} s old")
        await _put_json(address, f"/v1/restore?kept={KEPT_PREFIX}", {})
        self._store_faults.pop("down", None)
        await self._put_store_faults()

    async def _put_store_faults(self) -> None:
        self._log_fault(f"store {self._store_faults}")
        address = self._fleet.store_address
        await _put_json(address, "/v1/faults", dict(self._store_faults))

    async def _freeze_target(self, duration_s: float) -> None:
        await self._apply_behaviour({"frozen": True}, duration_s)

    async def _cut_target(self, duration_s: float) -> None:
        behaviour = self._rng.choice(
            (
                {"cut_after": 20},
                {"cut_after": 70_000},
                {"close_before_head": True},
            )
        )
        await self._apply_behaviour(behaviour, duration_s)

    async def _cross_target(self, duration_s: float) -> None:
        await self._apply_behaviour({"crossed_id": "other"}, duration_s)

    async def _apply_behaviour(self, behaviour: Mapping[str, object], duration_s: float) -> None:
        for name in self._reserve(tuple(self._subjects.port_by_target)):
            start_s = time.monotonic()
            address = Address("127.0.0.1", self._subjects.port_by_target[name])
            self._log_fault(f"behaviour {name} {behaviour}")
            await _put_json(address, "/behaviour", behaviour)
            await asyncio.sleep(duration_s)
            self._log_fault(f"behaviour {name} reset")
            await _put_json(address, "/behaviour", {})
            self._record_disturbance("behaviour", name, start_s, RECOVERY_S)
            self._reserved_names.discard(name)

    async def _silence(self, duration_s: float) -> None:
        await self._silence_connections(BOTH_DIRECTIONS)

    async def _silence_one_way(self, duration_s: float) -> None:
        await self._silence_connections(frozenset({self._rng.random() < 0.5}))

    async def _silence_connections(self, directions: frozenset[bool]) -> None:
        for node_id, relay in self._subjects.relay_by_node.items():
            start_s = time.monotonic()
            count = relay.silence(directions)
            self._log_fault(f"silence {count} connections to {node_id}, to_client in {directions}")
            self._record_disturbance("silence", node_id, start_s, SILENCE_RECOVERY_S)

    async def _delay(self, duration_s: float) -> None:
        for node_id, relay in self._subjects.relay_by_node.items():
            start_s = time.monotonic()
            relay.delay_s = self._rng.choice(DELAYS_S)
            self._log_fault(f"delay connections to {node_id} by {relay.delay_s} s")
            await asyncio.sleep(duration_s)
            relay.delay_s = 0.0
            self._record_disturbance("delay", node_id, start_s, RECOVERY_S)

    async def _reset(self, duration_s: float) -> None:
        for node_id, relay in self._subjects.relay_by_node.items():
            start_s = time.monotonic()
            self._log_fault(f"reset {relay.reset()} connections to {node_id}")
            self._record_disturbance("reset", node_id, start_s, RECOVERY_S)

    async def _step_clock(self, duration_s: float) -> None:
        # Not a disturbance: the rules also hold while a clock is wrong.
        node_id = self._rng.choice(self._subjects.node_ids)
        path = clock_path(self._fleet.directory, node_id)
        step_s = self._rng.choice(CLOCK_STEPS_S)
        self._log_fault(f"step the clock of {node_id} by {step_s} s")
        path.write_text(str(step_s))
        await asyncio.sleep(duration_s)
        self._log_fault(f"correct the clock of {node_id}")
        path.write_text("0")

    async def _hang_up(self, duration_s: float) -> None:
        for name in self._reserve(self._subjects.node_ids):
            self._log_fault(f"send SIGHUP to {name}")
            self._process(name).send_signal(signal.SIGHUP)
            self._reserved_names.discard(name)


async def _put_json(address: Address, path: str, value: Mapping[str, object]) -> None:
    await asyncio.to_thread(http_request, "PUT", address, path, json.dumps(value).encode())
