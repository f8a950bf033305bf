"""A small deployment for the scripts of a review: nodes, servers, a store and consumers.

The nodes are processes with the command of the deploy file and settings made from its template.
The store is the stand-in of the project. Servers and consumers are small ones of this module, and
run in the process of the script. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from jaypost.records import Address
from standins.platform_store import PlatformStoreServer

ROOT = Path(__file__).resolve().parent.parent
PLACEHOLDER = re.compile(r"\{\{([^}]*)\}\}")
BEAT_S = 1.5
HELD, BROKEN, NOT_RUN = 0, 1, 2
EPOCH = time.monotonic()


def now() -> float:
    """Return the seconds since the script began."""
    return time.monotonic() - EPOCH


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, directory: Path) -> None:
        self._file = (directory / "record.txt").open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{now():9.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


_next_port = 0


def free_address(host: str) -> Address:
    """Return an address with a free port below the range of outgoing connections."""
    global _next_port
    while True:
        _next_port += 1
        port = 10_000 + (os.getpid() * 37 + _next_port) % 20_000
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        return Address(host, port)


@dataclass
class Machine:
    """A machine: its addresses, its place, and the process of its node."""

    name: str
    zone: str
    region: str
    service: str
    host: str
    directory: Path
    settings: dict[str, str] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)
    child: subprocess.Popen[bytes] | None = None
    started: int = 0

    def __post_init__(self) -> None:
        self.outbound = free_address(self.host)
        self.inbound = free_address(self.host)
        self.ready = free_address(self.host)
        self.control = free_address(self.host)
        self.ports = (free_address(self.host).port, free_address(self.host).port)
        self.app = free_address(self.host)


class Mesh:
    """All processes of a script, and the store.

    Parameters
    ----------
    directory : Path
        Folder of the case, for its record.
    bounds : Mapping[str, float]
        Bounds as the settings have them: ``GraceS`` in seconds, others as the template says.
    """

    def __init__(self, directory: Path, bounds: Mapping[str, str]) -> None:
        self.record = Record(directory)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.work = Path(self._temporary.name)
        self._bounds = dict(bounds)
        pid = os.getpid()
        self._net = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}"
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self.store = PlatformStoreServer(free_address(f"{self._net}.1"))
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["jaypostd"]
        self._command = role["run"].split()
        self._extra = dict(role.get("env", {}))
        self._template = (ROOT / role["template"]).read_text(encoding="utf-8")

    def add_machine(self, zone: str, region: str, service: str) -> Machine:
        """Return a new machine; its node does not run yet."""
        number = len(self.machines) + 2
        host = f"{self._net}.{number}"
        machine = Machine(f"m{number - 1}", zone, region, service, host, self.work)
        self.machines.append(machine)
        return machine

    def start_node(self, machine: Machine, first: bool = False) -> None:
        """Start the node of a machine, or start it again."""
        fields = {
            "NodeName": machine.name,
            "failure_domain": machine.zone,
            "Region": machine.region,
            "service": machine.service,
            "Platform.address": str(self.store.address),
            "ListenAddrs.Outbound": str(machine.outbound),
            "ListenAddrs.Inbound": str(machine.inbound),
            "ListenAddrs.Control": str(machine.control),
            "ListenAddrs.Ready": str(machine.ready),
            "Ip": machine.host,
            "PortRange.0": str(machine.ports[0]),
            "PortRange.1": str(machine.ports[1]),
            "HeartbeatS": str(int(BEAT_S * 1000)),
            "limits.BandwidthMbps": "100.0",
            "limits.MaxFds": "4100",
            "Bootstrap": "true" if first else "false",
            "Seeds": "",
            **{f"Bounds.{name}": value for name, value in self._bounds.items()},
            **machine.settings,
        }

        def fill(text: str) -> str:
            return PLACEHOLDER.sub(lambda match: fields.get(match[1], ""), text)

        path = self.work / f"{machine.name}.conf"
        lines = [fill(self._template), *machine.lines]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "JAYPOST_BOOT": str(path),
            **{name: fill(value) for name, value in self._extra.items() if fill(value)},
        }
        with (self.work / f"{machine.name}.log").open("ab") as log:
            machine.child = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.started += 1
        self.record.add(f"node {machine.name} started, pid {machine.child.pid}, first={first}")

    def signal_node(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the node of a machine."""
        assert machine.child is not None
        self.record.add(f"node {machine.name} gets {number.name}")
        machine.child.send_signal(number)

    async def wait_exit(self, machine: Machine, timeout_s: float) -> bool:
        """Wait for the end of a node; kill it when it takes too long."""
        assert machine.child is not None
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(machine.child.wait, timeout_s)
        ended = machine.child.poll() is not None
        if not ended:
            machine.child.kill()
            machine.child.wait()
        self.record.add(f"node {machine.name} ended by itself={ended}")
        return ended

    async def is_ready(self, machine: Machine) -> bool:
        """Ask the node whether it is ready."""
        answer = await request(machine.ready, "GET", "/readyz", {}, b"", 1.0)
        return answer.status == 200

    async def wait_ready(self, machines: Sequence[Machine], timeout_s: float = 30.0) -> bool:
        """Wait until all nodes are ready."""
        until = now() + timeout_s
        while now() < until:
            if all(await asyncio.gather(*map(self.is_ready, machines))):
                return True
            await asyncio.sleep(0.1)
        return False

    async def write_config(self, document: Mapping[str, Any]) -> float:
        """Write the configuration as the operator does; return the time of the ack."""
        await self.store.write("op/config", json.dumps(document).encode())
        self.record.add(f"operator: version {document['version']} acknowledged")
        return now()

    async def close(self) -> None:
        """End everything that was started."""
        for server in self.servers:
            await server.close()
        for machine in self.machines:
            if machine.child is not None and machine.child.poll() is None:
                machine.child.send_signal(signal.SIGCONT)
                machine.child.kill()
                machine.child.wait()
        await self.store.close()
        self._keep_logs()
        self._temporary.cleanup()
        self.record.close()

    def _keep_logs(self) -> None:
        """Copy the logs of the nodes to the folder that REVIEW_LOGS names, if it is set."""
        folder = os.environ.get("REVIEW_LOGS")
        if folder:
            Path(folder).mkdir(parents=True, exist_ok=True)
            for path in self.work.glob("*.log"):
                (Path(folder) / path.name).write_bytes(path.read_bytes())


@dataclass(eq=False)
class _Path:
    """A forwarded connection: who accepted it, the address of its opener, and both sockets."""

    opener: str
    acceptor: str
    address: tuple[str, int]
    writers: tuple[asyncio.StreamWriter, ...]


class Links:
    """Proxies before the peer and control addresses of all machines, and before the store.

    They forward connections, and can cut one machine off from all others and from the store. A cut
    resets the connections of that machine in both directions and lets no further one through.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._listeners: list[asyncio.Server] = []
        self._paths: set[_Path] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._cut: Machine | None = None

    async def add(self, machine: Machine) -> None:
        """Listen for one machine, and let its settings name the proxies."""
        peer, control, store = (free_address(machine.host) for _ in range(3))
        inner = Address(machine.host, machine.ports[0])
        await self._listen(peer, machine.inbound, "", machine.name)
        await self._listen(control, inner, "", machine.name)
        await self._listen(store, self._mesh.store.address, machine.name, "store")
        machine.settings["Platform.address"] = str(store)
        machine.lines = [
            f"JAYPOST_ADVERTISE_PEER={peer}",
            f"JAYPOST_ADVERTISE_CONTROL={control}",
        ]

    def cut(self, machine: Machine) -> None:
        """Cut a machine off."""
        self._mesh.record.add(f"machine {machine.name} is cut off from all others and the store")
        self._cut = machine
        own = _addresses_of(machine)
        for path in tuple(self._paths):
            if machine.name in (path.opener, path.acceptor) or path.address in own:
                for writer in path.writers:
                    writer.transport.abort()

    def heal(self) -> None:
        """End the cut."""
        if self._cut is not None:
            self._mesh.record.add(f"machine {self._cut.name} is connected again")
        self._cut = None

    async def close(self) -> None:
        """Close all connections."""
        for listener in self._listeners:
            listener.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _listen(self, at: Address, to: Address, opener: str, acceptor: str) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                await self._forward(reader, writer, to, opener, acceptor)
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                self._tasks.discard(task)
                writer.transport.abort()

        self._listeners.append(await asyncio.start_server(accept, at.host, at.port))

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to: Address,
        opener: str,
        acceptor: str,
    ) -> None:
        address = tuple(writer.get_extra_info("peername")[:2])
        cut = self._cut
        if cut is not None:
            if cut.name in (opener, acceptor) or (not opener and address in _addresses_of(cut)):
                return
        upstream = await asyncio.open_connection(to.host, to.port)
        path = _Path(opener, acceptor, address, (writer, upstream[1]))
        self._paths.add(path)
        try:
            await asyncio.gather(_copy(reader, upstream[1]), _copy(upstream[0], writer))
        finally:
            self._paths.discard(path)
            upstream[1].transport.abort()


def _addresses_of(machine: Machine) -> set[tuple[str, int]]:
    """Return the local addresses of all connections of the node of a machine."""
    if machine.child is None or machine.child.poll() is not None:
        return set()
    inodes = set()
    for entry in Path(f"/proc/{machine.child.pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(entry))
    addresses = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if f"socket:[{fields[9]}]" in inodes:
            host, port = fields[1].split(":")
            packed = int(host, 16).to_bytes(4, sys.byteorder)
            addresses.add((socket.inet_ntoa(packed), int(port, 16)))
    return addresses


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    if not writer.is_closing() and writer.can_write_eof():
        with contextlib.suppress(OSError):
            writer.write_eof()


@dataclass
class Run:
    """A request that a server began to run."""

    request_id: str
    server: str
    at: float
    headers: dict[str, str]


class Server:
    """An application server beside a node: runs requests and checks in.

    Parameters
    ----------
    mesh : Mesh
        The deployment.
    machine : Machine
        The machine of the server.
    server_id : str
        Id of this lifetime.
    work_s : callable
        Returns the seconds of work of a request, from its path.
    slots : int
        Requests that run at the same time, as it tells in its check-ins.
    """

    def __init__(
        self,
        mesh: Mesh,
        machine: Machine,
        server_id: str,
        work_s: Callable[[str], float] = lambda path: 0.02,
        slots: int = 12,
    ) -> None:
        self.mesh = mesh
        self.machine = machine
        self.id = server_id
        self.slots = slots
        self._work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.runs: list[Run] = []
        self.beats = True
        # Tells whether the next request is turned away without being run.
        self.sheds: Callable[[], bool] = lambda: False
        # Times and ids of the requests that arrived, also of those that were turned away.
        self.arrivals: list[tuple[float, str]] = []
        self.last_body = b""
        self._listener: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._handlers: set[asyncio.Task[Any]] = set()
        mesh.servers.append(self)

    async def start(self, beats: bool = True) -> None:
        """Listen and begin to check in."""
        app = self.machine.app
        self._listener = await asyncio.start_server(self._accept, app.host, app.port)
        if beats:
            self._task = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """End the lifetime: close every connection."""
        self.beats = False
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in tuple(self._writers):
            writer.transport.abort()
        for handler in tuple(self._handlers):
            handler.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)

    def body(self) -> bytes:
        """Return the body of the next check-in."""
        self.sequence += 1
        fields = {
            "service": self.machine.service,
            "address": str(self.machine.app),
            "failure_domain": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(fields).encode()

    async def check_in(self, body: bytes) -> int:
        """Send a check-in; return the status, 0 without an answer within a second."""
        headers = {"Content-Type": "application/json"}
        path = f"/targets/{self.id}"
        answer = await request(self.machine.control, "PUT", path, headers, body, 1.0)
        return answer.status

    async def deregister(self) -> int:
        """Tell the node that the server leaves; return the status."""
        body = json.dumps({"born": self.born}).encode()
        headers = {"Content-Type": "application/json"}
        path = f"/targets/{self.id}"
        answer = await request(self.machine.control, "DELETE", path, headers, body, 1.0)
        self.mesh.record.add(f"server {self.id} deregisters: {answer.status}")
        return answer.status

    async def _beat(self) -> None:
        # Servers start at different times, so their check-ins are spread over the interval.
        place = self.mesh.servers.index(self) / len(self.mesh.servers)
        await asyncio.sleep(place * BEAT_S)
        while self.beats:
            body = self.body()
            if self.state == "ready":
                self.last_body = body
            await self.check_in(body)
            await asyncio.sleep(BEAT_S)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._handlers.discard(task)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        _, path, _ = head[0].split(" ")
        headers = {}
        for line in head[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if length:
            await reader.readexactly(length)
        request_id = headers.get("jaypost-request-id", "")
        wanted = headers.get("jaypost-target-instance", self.id)
        if wanted != self.id:
            self._answer(writer, 421, request_id, b"", "Jaypost-Not-Executed: 1\r\n")
            return True
        self.arrivals.append((now(), request_id))
        if self.sheds():
            self.mesh.record.add(f"server {self.id} turns {request_id} away")
            self._answer(writer, 503, request_id, b"", "Jaypost-Not-Executed: 1\r\n")
            return True
        self.runs.append(Run(request_id, self.id, now(), headers))
        self.mesh.record.add(f"server {self.id} runs {request_id} {path}")
        await asyncio.sleep(self._work_s(path))
        self._answer(writer, 200, request_id, f"{self.id} {request_id}".encode(), "")
        return True

    def _answer(
        self, writer: asyncio.StreamWriter, status: int, request_id: str, body: bytes, more: str
    ) -> None:
        writer.write(
            f"HTTP/1.1 {status} X\r\nJaypost-Request-Id: {request_id}\r\n"
            f"Jaypost-Response-Signature: {self.id}.{request_id}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )


@dataclass
class Answer:
    """Answer to a request; status 0 when there was none."""

    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    ended_at: float
    reason: str = ""


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Consumers:
    """Sends requests on kept connections, one at a time on each."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[Connection]] = {}

    async def send(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Answer:
        """Send a request, on an idle connection if there is one, and return its answer."""
        sent_at = now()
        idle = self._idle.setdefault(address, [])
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                while idle and connection is None:
                    connection = idle.pop()
                    if connection[0].at_eof() or connection[1].is_closing():
                        connection[1].close()
                        connection = None
                if connection is None:
                    connection = await asyncio.open_connection(address.host, address.port)
                sent_at = now()
                answer = await _exchange(connection, address, method, path, headers, body, sent_at)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            if connection is not None:
                connection[1].close()
            return Answer(0, {}, b"", sent_at, now(), type(error).__name__)
        if answer.headers.get("connection", "").lower() == "close":
            connection[1].close()
        else:
            idle.append(connection)
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for _, writer in connections:
                writer.close()
        self._idle.clear()


async def request(
    address: Address,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    timeout_s: float,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    consumers = Consumers()
    try:
        return await consumers.send(address, method, path, headers, body, timeout_s)
    finally:
        consumers.close()


async def _exchange(
    connection: Connection,
    address: Address,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    sent_at: float,
) -> Answer:
    reader, writer = connection
    lines = [f"{method} {path} HTTP/1.1", f"Host: {headers.get('Host', str(address))}"]
    lines += [f"{name}: {value}" for name, value in headers.items() if name != "Host"]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    received = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            received[name.strip().lower()] = value.strip()
    content = b""
    if "content-length" in received:
        content = await reader.readexactly(int(received["content-length"]))
    elif received.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            content += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    return Answer(status, received, content, sent_at, now())


def route(name: str, host: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    fields = {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "kind": "safe",
        "timeout_ms": 2800,
        "target_latency_ms": 620,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "without_key": False,
    }
    return fields | more


def config(
    version: int, routes: Sequence[Mapping[str, Any]], services: Sequence[str], **more: Any
) -> dict[str, Any]:
    """Return a configuration in full."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 560} for name in services
        ],
        "limits": {
            "header_limit_bytes": 16384,
            "body_limit_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        **more,
    }


def main(play: Callable[[bool], Any]) -> None:
    """Play a case; the variable TROUBLE=0 leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = NOT_RUN
    with contextlib.suppress(KeyboardInterrupt):
        try:
            code = asyncio.run(asyncio.wait_for(play(trouble), 115.0))
        except Exception as error:
            print(f"the case could not run: {error!r}")
    sys.exit(code)
