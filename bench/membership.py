"""Measures membership: convergence, control plane cost, the membership view and control calls.

Run as ``python -m bench.membership [fleet|view|call|all]``:

- ``fleet`` measures the convergence and the cost of idle and of changing fleets. The nodes run in a
  few processes on loopback, in 4 failure domains of 2 regions with a delay of 30 ms each way
  between the regions.
- ``view`` measures the time, memory and encoded size of the membership view.
- ``call`` measures the CPU time of a control call.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import multiprocessing
import os
import random
import resource
import statistics
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from multiprocessing.connection import Connection
from typing import Any

import structlog
import uvloop

from jaypost import settings as settings_module
from jaypost.config import OfferDeltas, OfferTable
from jaypost.gossip import Gossip
from jaypost.messages import Ping, Pong, RecordPiece
from jaypost.peers import ByteKey, Direction, Link, PeerChannels, PeerServer, pack, unpack
from jaypost.records import (
    Address,
    Delta,
    NodeRecord,
    NodeState,
    Row,
    RowChange,
    Stamp,
    Table,
    Target,
    TargetState,
)
from jaypost.settings import Settings
from jaypost.view import MembershipView

# (failure domain, region); nodes are assigned to them in turn.
DOMAINS = (("d1", "east"), ("d2", "east"), ("d3", "west"), ("d4", "west"))
CROSS_REGION_DELAY_S = 0.03
PROCESS_COUNT = 8
NODE_COUNTS = (10, 50, 100, 200)
# Versions published to measure convergence.
VERSION_COUNT = 10
IDLE_DURATION_S = 10.0
CHANGES_PER_DAY = 3_000
# Factor on the daily change rate, so that the cost of changes shows in a short run.
CHANGE_SPEEDUP = 60.0
CHANGING_DURATION_S = 15.0
DAY_S = 86_400
LOOPBACK = Address("127.0.0.1", 0)


class DeltaChainHolder:
    """Stands in for the configuration holder: keeps a chain of deltas without validating them.

    `held_at_by_version` has the monotonic time when each version was received.
    """

    def __init__(self) -> None:
        self.on_held_version_raised: Callable[[], None] | None = None
        self.deltas: list[Delta] = []
        self.held_at_by_version: dict[int, float] = {}

    @property
    def held_version(self) -> int:
        """Return the newest version received."""
        return len(self.deltas)

    @property
    def in_force_version(self) -> int:
        """Return the held version, which is in force at once."""
        return len(self.deltas)

    @property
    def held_table(self) -> Table:
        """Return an empty table of the newest version."""
        return Table(self.held_version, {}, "")

    @property
    def table_for_replies(self) -> Table:
        """Return the held table."""
        return self.held_table

    def deltas_since(self, version: int) -> tuple[Delta, ...]:
        """Return the deltas after a version."""
        return tuple(self.deltas[version:])

    def offer(self, message: Any, activate: bool = True) -> object:
        """Append the deltas that continue the chain."""
        deltas = message.deltas if isinstance(message, OfferDeltas) else ()
        assert not isinstance(message, OfferTable) or message.table.version <= self.held_version
        before = self.held_version
        for delta in deltas:
            if delta.version == self.held_version + 1:
                self.deltas.append(delta)
        if self.held_version > before:
            for version in range(before + 1, self.held_version + 1):
                self.held_at_by_version[version] = time.monotonic()
            if self.on_held_version_raised is not None:
                self.on_held_version_raised()
        return None


def make_delta(version: int) -> Delta:
    """Return a delta that changes one row."""
    row = Row("catalogue", long_prefixes=("/guides",))
    return Delta(
        version,
        f"{version:032x}",
        "operator",
        version,
        "change of a limit",
        (RowChange("catalogue", row),),
        "0" * 32,
    )


def make_settings(node_id: str, failure_domain: str, region: str) -> Settings:
    """Return default settings with a control port chosen by the kernel and a dummy store."""
    values = {
        name: setting.parse(setting.default)
        for name, setting in settings_module.SETTING_BY_NAME.items()
        if setting.default is not None
    }
    values |= {
        "node_id": node_id,
        "failure_domain": failure_domain,
        "region": region,
        "store": LOOPBACK,
        "listen_control": LOOPBACK,
    }
    return Settings(**values)


def make_record(
    number: int, domain_count: int = len(DOMAINS), service_count: int = 100
) -> NodeRecord:
    """Return the record of a node with one target.

    The node is in one of `DOMAINS` or, when `domain_count` differs from their number, in one of
    that many other failure domains and in one of 3 other regions.
    """
    domain, region = DOMAINS[number % len(DOMAINS)]
    if domain_count != len(DOMAINS):
        domain, region = f"domain{number % domain_count}", f"region{number % 3}"
    node_id = f"host-{number:05}"
    target = Target(f"{node_id}-1", f"service{number % service_count}", 8080, 12, TargetState.READY)
    address = Address(f"10.0.{number // 250}.{number % 250}", 7601)
    return NodeRecord(
        node_id,
        domain,
        region,
        address,
        LOOPBACK,
        address,
        Stamp(1_700_000_000_000 + number, 1),
        NodeState.READY,
        (target,),
    )


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs of one process with nodes since it started.

    Parameters
    ----------
    cpu_s : float
        CPU time in seconds.
    byte_counts : dict
        Control bytes by link, message kind (both sent bytes only) and direction.
    peak_resident_kb : int
        Peak resident memory in kilobytes.
    """

    cpu_s: float
    byte_counts: dict[str, int]
    peak_resident_kb: int


class NodeGroup:
    """The nodes of one process; the dictionaries have the numbers of the nodes as keys."""

    def __init__(self, numbers: Sequence[int], single_domain: bool) -> None:
        self.single_domain = single_domain
        self.holders: dict[int, DeltaChainHolder] = {}
        self.gossips: dict[int, Gossip] = {}
        self.records: dict[int, NodeRecord] = {}
        self.region_by_address: dict[Address, str] = {}
        self.byte_counts: Counter[ByteKey] = Counter()
        self.views: dict[int, MembershipView] = {}
        for number in numbers:
            self._add(number)

    def _add(self, number: int) -> None:
        record = make_record(0 if self.single_domain else number)
        record = replace(record, node_id=f"host-{number:05}")
        view = MembershipView(record, time.monotonic())
        holder = DeltaChainHolder()
        channels = PeerChannels(0.25, self.byte_counts, self._delay_from(record.region))
        self.views[number] = view
        self.holders[number] = holder
        settings = make_settings(record.node_id, record.failure_domain, record.region)
        self.gossips[number] = Gossip(settings, view, holder, channels, random.Random(number))

    def _delay_from(self, region: str) -> Callable[[Address], float]:
        def delay(address: Address) -> float:
            crosses_regions = self.region_by_address.get(address, region) != region
            return CROSS_REGION_DELAY_S if crosses_regions else 0.0

        return delay

    async def start(self) -> list[NodeRecord]:
        """Start all nodes and return their records."""
        await asyncio.gather(*(gossip.start() for gossip in self.gossips.values()))
        return [view.own for view in self.views.values()]

    def connect(self, records: Sequence[NodeRecord]) -> None:
        """Give every node all records and mark it as joined."""
        self.region_by_address = {record.control_address: record.region for record in records}
        for number, view in self.views.items():
            view.merge(records, time.monotonic())
            self.gossips[number]._joined = True

    def costs(self) -> Costs:
        """Return the costs since the process started."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        counts: Counter[str] = Counter()
        for key, size in self.byte_counts.items():
            if key.direction is Direction.SENT:
                counts[f"{key.link}"] += size
                counts[f"kind {key.kind}"] += size
            counts[f"total {key.direction}"] += size
        return Costs(usage.ru_utime + usage.ru_stime, dict(counts), usage.ru_maxrss)


async def serve_node_group(pipe: Connection, numbers: Sequence[int], single_domain: bool) -> None:
    """Run the nodes of one process and execute the commands of the parent process."""
    group = NodeGroup(numbers, single_domain)
    loop = asyncio.get_running_loop()
    records = await group.start()
    pipe.send(records)
    while True:
        try:
            command, argument = await loop.run_in_executor(None, pipe.recv)
        except EOFError:
            os._exit(1)  # the parent has exited; closing hundreds of nodes takes long
        if command == "stop":
            await asyncio.gather(*(gossip.close() for gossip in group.gossips.values()))
            return
        pipe.send(execute_command(group, command, argument))


def execute_command(group: NodeGroup, command: str, argument: Any) -> object:
    """Execute one command of the parent process and return the reply.

    "connect" passes all records to the nodes. "version" publishes a version at a node; the reply
    is the time of publication. "targets" publishes the targets of a node again. The reply to
    "rises" is the time when each node received a version, or None for each node that has not
    received it yet. "costs" asks for the costs of the process, and "reachable" for the number of
    nodes that each node sees as reachable.
    """
    if command == "connect":
        group.connect(argument)
    elif command == "version":
        number, version = argument
        started_at = time.monotonic()
        group.holders[number].offer(OfferDeltas((make_delta(version),)))
        return started_at
    elif command == "targets":
        view = group.views[argument]
        group.gossips[argument].publish(targets=view.own.targets)
    elif command == "rises":
        return [holder.held_at_by_version.get(argument) for holder in group.holders.values()]
    elif command == "costs":
        return group.costs()
    elif command == "reachable":
        return [
            sum(view.is_reachable(r.node_id) for r in view.records())
            for view in group.views.values()
        ]
    return None


def run_node_group(pipe: Connection, numbers: Sequence[int], single_domain: bool) -> None:
    """Run a process with nodes."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    # Makes full garbage collections rare. With the connections of many nodes in one process, they
    # pause it for longer than the call timeout, which does not happen to a node in its own process.
    gc.set_threshold(10_000, 10, 1_000)
    uvloop.run(serve_node_group(pipe, numbers, single_domain))


class NodeProcesses:
    """The processes with nodes, controlled by the parent process through pipes.

    Node n runs in the process n modulo `PROCESS_COUNT`.
    """

    def __init__(self, node_count: int, single_domain: bool) -> None:
        context = multiprocessing.get_context("spawn")
        self.node_count = node_count
        self.pipes: list[Connection] = []
        self.processes = []
        for index in range(PROCESS_COUNT):
            ours, theirs = context.Pipe()
            numbers = range(index, node_count, PROCESS_COUNT)
            process = context.Process(
                target=run_node_group, args=(theirs, numbers, single_domain), daemon=True
            )
            process.start()
            self.pipes.append(ours)
            self.processes.append(process)
        records = [record for pipe in self.pipes for record in pipe.recv()]
        self.ask_all("connect", records)

    def ask(self, number: int, command: str, argument: object) -> Any:
        """Send a command to the process of a node and return the reply."""
        pipe = self.pipes[number % PROCESS_COUNT]
        pipe.send((command, argument))
        return pipe.recv()

    def ask_all(self, command: str, argument: object = None) -> list[Any]:
        """Send a command to every process and return the replies."""
        for pipe in self.pipes:
            pipe.send((command, argument))
        return [pipe.recv() for pipe in self.pipes]

    def close(self) -> None:
        """Stop the processes."""
        for pipe in self.pipes:
            pipe.send(("stop", None))
        for process in self.processes:
            process.join(20)
            if process.is_alive():
                process.terminate()


def cost_per_node_second(
    before: Sequence[Costs], after: Sequence[Costs], node_seconds: float
) -> dict[str, float]:
    """Return the costs between two points in time, per node and second."""
    cpu_s = sum(b.cpu_s - a.cpu_s for a, b in zip(before, after, strict=True))
    sizes: Counter[str] = Counter()
    for earlier, later in zip(before, after, strict=True):
        sizes.update(later.byte_counts)
        sizes.subtract(earlier.byte_counts)
    result = {"cpu_ms": 1000.0 * cpu_s / node_seconds}
    return result | {f"bytes {name}": size / node_seconds for name, size in sorted(sizes.items())}


def measure_convergence(fleet: NodeProcesses) -> dict[str, float]:
    """Publish versions one by one and return the convergence times in milliseconds.

    A version converges when every node holds it. The times of the median node and of the last node
    are taken for each version. The result has the median of each over the versions, and the longest
    time of all.
    """
    medians, worsts = [], []
    for version in range(1, VERSION_COUNT + 1):
        number = random.Random(version).randrange(fleet.node_count)
        started_at = fleet.ask(number, "version", (number, version))
        held_times: list[float | None] = [None]
        while None in held_times:
            time.sleep(0.5)
            held_times = [held_at for part in fleet.ask_all("rises", version) for held_at in part]
        times = sorted(
            1000.0 * (held_at - started_at) for held_at in held_times if held_at is not None
        )
        medians.append(statistics.median(times))
        worsts.append(times[-1])
    return {
        "median_ms": round(statistics.median(medians), 1),
        "worst_median_ms": round(statistics.median(worsts), 1),
        "worst_ms": round(max(worsts), 1),
    }


def measure_changes(fleet: NodeProcesses, speedup: float) -> dict[str, float]:
    """Return the costs while versions and targets change at `speedup` times the daily rate."""
    before = fleet.ask_all("costs")
    started_at = time.monotonic()
    interval_s = DAY_S / CHANGES_PER_DAY / speedup
    count = 0
    while time.monotonic() - started_at < CHANGING_DURATION_S:
        number = count % fleet.node_count
        # Always at the same node, because it holds every earlier version.
        fleet.ask(0, "version", (0, VERSION_COUNT + 1 + count))
        fleet.ask(number, "targets", number)
        count += 1
        time.sleep(max(0.0, started_at + count * interval_s - time.monotonic()))
    after = fleet.ask_all("costs")
    node_seconds = fleet.node_count * (time.monotonic() - started_at)
    return {"changes_per_s": round(count / CHANGING_DURATION_S, 2)} | cost_per_node_second(
        before, after, node_seconds
    )


def scale_to_daily_rate(idle: dict[str, float], changing: dict[str, float]) -> dict[str, float]:
    """Interpolate the costs at the daily rate of changes between the idle and the changing run."""
    share = CHANGES_PER_DAY / DAY_S / changing["changes_per_s"]
    names = ("cpu_ms", "bytes total sent", "bytes total received", "bytes cross_region")
    return {
        name: idle.get(name, 0.0) + share * (changing.get(name, 0.0) - idle.get(name, 0.0))
        for name in names
    }


def measure_fleet(node_count: int, single_domain: bool, speedup: float) -> None:
    """Measure one fleet and print its convergence and costs."""
    fleet = NodeProcesses(node_count, single_domain)
    time.sleep(5.0)
    before = fleet.ask_all("costs")
    started_at = time.monotonic()
    time.sleep(IDLE_DURATION_S)
    idle = cost_per_node_second(
        before, fleet.ask_all("costs"), node_count * (time.monotonic() - started_at)
    )
    versions = measure_convergence(fleet)
    changing = measure_changes(fleet, speedup)
    reachable = [count for part in fleet.ask_all("reachable") for count in part]
    report("convergence", node_count, versions)
    report("idle per node and second", node_count, idle)
    report("changing per node and second", node_count, changing)
    report(
        f"scaled to {CHANGES_PER_DAY} changes a day",
        node_count,
        scale_to_daily_rate(idle, changing),
    )
    peak_resident_kb = sum(cost.peak_resident_kb for cost in fleet.ask_all("costs"))
    report("memory", node_count, {"resident_kb_per_node": peak_resident_kb / node_count})
    report("reachable", node_count, {"lowest": min(reachable)})
    fleet.close()


def report(name: str, size: int, values: dict[str, float]) -> None:
    """Print one line with a name, the size and the values as JSON."""
    rounded = {key: round(value, 3) for key, value in values.items()}
    print(f"{name} n={size} {json.dumps(rounded)}", flush=True)


def measure_view(record_count: int, target_count: int) -> dict[str, float]:
    """Return the costs of a view with many records; the names of the values give the units."""
    records = []
    for number in range(record_count):
        record = make_record(number, domain_count=7, service_count=870)
        targets = tuple(
            Target(
                f"{record.node_id}-{i}", f"service{(number + i) % 870}", 1, 12, TargetState.READY
            )
            for i in range(target_count)
        )
        records.append(NodeRecord(**_record_fields(record, targets)))
    packed = pack(RecordPiece(tuple(records)))
    gc.collect()
    tracemalloc.start()
    received = unpack(packed, RecordPiece).records
    view = MembershipView(received[0], 0.0)
    view.merge(received[1:], 0.0)
    del received
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    view = MembershipView(records[0], 0.0)
    started_at = time.perf_counter()
    view.merge(records[1:], 0.0)
    merge_s = time.perf_counter() - started_at
    first_read_s = mean_time_s(lambda: view.targets_by_service(0.0), 1)
    cached_read_s = mean_time_s(lambda: view.targets_by_service(0.0), 1000)
    rng = random.Random(1)
    return {
        "merge_us_per_record": 1e6 * merge_s / record_count,
        "packed_bytes_per_record": len(packed) / record_count,
        "memory_kb_per_1000_records": memory / record_count,
        "root_hash_us": 1e6 * mean_time_s(view.root_hash, 1000),
        "bucket_hashes_us": 1e6 * mean_time_s(view.bucket_hashes, 1000),
        "first_targets_us": 1e6 * first_read_s,
        "cached_targets_us": 1e6 * cached_read_s,
        "change_and_targets_us": 1e6
        * mean_time_s(lambda: change_record_and_read_targets(view, rng, records), 200),
        "sample_us": 1e6 * mean_time_s(lambda: view.sample_domain(rng, "domain1", 4), 1000),
        "change_and_readers_us": 1e6
        * mean_time_s(lambda: change_state_and_choose_readers(view), 200),
        "expire_us": 1e6 * mean_time_s(lambda: view.expire(0.0), 1000),
    }


def _record_fields(record: NodeRecord, targets: tuple[Target, ...]) -> dict[str, Any]:
    names = NodeRecord.__dataclass_fields__
    return {name: getattr(record, name) for name in names} | {"targets": targets}


def change_record_and_read_targets(
    view: MembershipView, rng: random.Random, records: list[NodeRecord]
) -> None:
    """Merge a newer record whose targets have one more slot, and read the targets again."""
    index = rng.randrange(1, len(records))
    record = records[index]
    targets = tuple(
        Target(t.target_id, t.service, t.port, t.slots + 1, t.state) for t in record.targets
    )
    stamp = Stamp(record.stamp.incarnation, record.stamp.sequence + 1)
    records[index] = NodeRecord(**(_record_fields(record, targets) | {"stamp": stamp}))
    view.merge((records[index],), 0.0)
    view.targets_by_service(0.0)


def change_state_and_choose_readers(view: MembershipView) -> None:
    """Change the state of the view's own node, and choose the readers of its failure domain."""
    other = NodeState.JOINING if view.own.state is NodeState.READY else NodeState.READY
    view.update_own(state=other)
    view.readers_of(view.own.failure_domain)


def mean_time_s(action: Callable[[], object], repeats: int) -> float:
    """Return the mean time of an action in seconds."""
    started_at = time.perf_counter()
    for _ in range(repeats):
        action()
    return (time.perf_counter() - started_at) / repeats


def measure_views() -> None:
    """Print the cost of the view for several numbers of records and of targets per node."""
    for record_count in (875, 1750, 3500, 7000):
        report("view, 1 target per node", record_count, measure_view(record_count, 1))
    for target_count in (2, 4, 8):
        values = measure_view(7000, target_count)
        report(f"view, {target_count} targets per node", 7000, values)


async def measure_calls(count: int) -> dict[str, float]:
    """Return the CPU time of a call, client and server together, on an open and a new channel."""
    byte_counts: Counter[ByteKey] = Counter()

    async def answer(request: object) -> Pong:
        return Pong("peer", 1)

    server = PeerServer(answer, lambda sender: Link.DOMAIN, byte_counts)
    address = await server.start(LOOPBACK)
    channels = PeerChannels(1.0)
    await channels.call(address, Ping("me"), 1.0, Link.DOMAIN)
    started_at = time.process_time()
    for _ in range(count):
        await channels.call(address, Ping("me"), 1.0, Link.DOMAIN)
    open_channel_s = time.process_time() - started_at
    started_at = time.process_time()
    for _ in range(count // 10):
        new_channels = PeerChannels(1.0)
        await new_channels.call(address, Ping("me"), 1.0, Link.DOMAIN)
        await new_channels.close()
    new_channel_s = time.process_time() - started_at
    await channels.close()
    await server.close()
    return {
        "call_us_both_sides": 1e6 * open_channel_s / count,
        "call_us_new_channel": 1e6 * new_channel_s / (count // 10),
    }


def main(arguments: Sequence[str]) -> None:
    """Run the measurements named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", nargs="?", default="all", choices=["fleet", "view", "call", "all"])
    parser.add_argument("--nodes", type=int, nargs="*", default=list(NODE_COUNTS))
    parser.add_argument("--single-domain", action="store_true", help="all nodes in one domain")
    parser.add_argument(
        "--speedup", type=float, default=CHANGE_SPEEDUP, help="factor on the daily change rate"
    )
    chosen = parser.parse_args(arguments)
    if chosen.what in ("call", "all"):
        report("call", 3000, uvloop.run(measure_calls(3000)))
    if chosen.what in ("view", "all"):
        measure_views()
    if chosen.what in ("fleet", "all"):
        for node_count in chosen.nodes:
            measure_fleet(node_count, chosen.single_domain, chosen.speedup)


if __name__ == "__main__":
    main(sys.argv[1:])
