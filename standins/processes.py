"""Starts, monitors and stops the processes of a small fleet on this machine."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jaypost.records import Address

STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
_issued_addresses: set[Address] = set()


def free_address() -> Address:
    """Return a loopback address with a free port that this function has not returned before.

    The host is not 127.0.0.1, because the kernel assigns ports of 127.0.0.1 to outgoing
    connections, and one of these took the port of a node before the node listened on it. The host
    is also different in each process that calls this function.
    """
    process = os.getpid()
    host = f"127.{64 + (process >> 16) % 64}.{process >> 8 & 255}.{process & 255}"
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            address = Address(host, probe.getsockname()[1])
        if address not in _issued_addresses:  # the kernel may return a released port again
            _issued_addresses.add(address)
            return address


class Process:
    """One child process, with its output in a log file.

    Parameters
    ----------
    name : str
        Name of the process and, with the suffix ``.log``, of its log file.
    module : str
        Python module to run as ``python -m``.
    arguments : sequence of str
        Command-line arguments of the module.
    directory : Path
        Directory of the log file.
    """

    def __init__(self, name: str, module: str, arguments: Sequence[str], directory: Path) -> None:
        self.name = name
        self._command = [sys.executable, "-m", module, *arguments]
        self._log_path = directory / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int | None:
        """Process id while the process runs."""
        return self._child.pid if self._child is not None and self.is_running else None

    @property
    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with self._log_path.open("ab") as log:
            # Without its own session, a paused child in an orphaned process group got SIGHUP.
            self._child = subprocess.Popen(
                self._command, stdout=log, stderr=log, start_new_session=True
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.is_running and self._child is not None:
            self._child.send_signal(signal_number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait for the process to exit and return its exit code; None after `timeout_s` seconds.

        Returns 0 when the process was never started.
        """
        if self._child is None:
            return 0
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def stop(self) -> int | None:
        """Send SIGTERM, and SIGKILL if the process does not exit in time; return the exit code.

        The exit code is None when SIGKILL was needed.
        """
        self.send_signal(signal.SIGTERM)
        return self.wait_or_kill()

    def wait_or_kill(self) -> int | None:
        """Wait for the process to exit, and send SIGKILL if it does not in time.

        Returns the exit code, or None when SIGKILL was needed.
        """
        code = self.wait()
        if code is None:
            self.kill()
        return code

    def kill(self) -> None:
        """Kill the process, also while it is paused by SIGSTOP, and wait for its exit."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.wait()


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """Identity, location and listening addresses of a node."""

    node_id: str
    failure_domain: str
    region: str
    caller: Address
    peer: Address
    control: Address
    admin: Address


def new_node_spec(node_id: str, failure_domain: str, region: str) -> NodeSpec:
    """Return the specification of a new node, with four free addresses."""
    return NodeSpec(
        node_id,
        failure_domain,
        region,
        free_address(),
        free_address(),
        free_address(),
        free_address(),
    )


class Fleet:
    """A store, nodes and targets, each in its own process.

    Parameters
    ----------
    directory : Path
        Directory of the log files and journals.
    """

    def __init__(self, directory: Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        self.directory = directory
        self.store_address = free_address()
        self.spec_by_id: dict[str, NodeSpec] = {}
        self.process_by_name: dict[str, Process] = {}

    def start_store(self) -> Process:
        """Start the store stand-in."""
        arguments = ["--listen", str(self.store_address)]
        return self._start("store", "standins.store", arguments)

    def start_node(
        self,
        spec: NodeSpec,
        flags: Sequence[str] = (),
        seeds: Sequence[NodeSpec] = (),
        module: str = "jaypost.daemon",
    ) -> Process:
        """Start a node, or restart it after its process has ended.

        `flags` are added to the command line; `module` is the program to run.
        """
        self.spec_by_id[spec.node_id] = spec
        arguments = [
            *("--node-id", spec.node_id),
            *("--failure-domain", spec.failure_domain),
            *("--region", spec.region),
            *("--store", str(self.store_address)),
            *("--listen-caller", str(spec.caller)),
            *("--listen-peer", str(spec.peer)),
            *("--listen-control", str(spec.control)),
            *("--listen-admin", str(spec.admin)),
            *("--join-jitter-s", "0.2"),
            *(("--seeds", ",".join(str(seed.control) for seed in seeds)) if seeds else ()),
            *flags,
        ]
        return self._start(spec.node_id, module, arguments)

    def start_target(
        self, target_id: str, service: str, node_id: str, slots: int, flags: Sequence[str] = ()
    ) -> Process:
        """Start a target on the host of a node."""
        arguments = [
            *("--id", target_id),
            *("--service", service),
            *("--slots", str(slots)),
            *("--admin", str(self.spec_by_id[node_id].admin)),
            *("--node", str(self.spec_by_id[node_id].caller)),
            *("--journal", str(self.journal_path(target_id))),
            *flags,
        ]
        return self._start(target_id, "standins.target", arguments)

    def journal_path(self, target_id: str) -> Path:
        """Return the path of the journal of a target."""
        return self.directory / f"{target_id}.journal"

    def _start(self, name: str, module: str, arguments: Sequence[str]) -> Process:
        process = Process(name, module, arguments, self.directory)
        self.process_by_name[name] = process
        process.start()
        return process

    async def close(self) -> Mapping[str, int | None]:
        """Stop every process, the store last, and return the exit codes by process name."""
        names = [name for name in self.process_by_name if name != "store"]
        for name in names:
            self.process_by_name[name].send_signal(signal.SIGCONT)
            self.process_by_name[name].send_signal(signal.SIGTERM)
        # Not `stop`: a second SIGTERM would kill a process that has drained and removed its signal
        # handlers.
        waits = [asyncio.to_thread(self.process_by_name[name].wait_or_kill) for name in names]
        codes = dict(zip(names, await asyncio.gather(*waits), strict=True))
        if "store" in self.process_by_name:
            codes["store"] = await asyncio.to_thread(self.process_by_name["store"].stop)
        return codes


def http_request(
    method: str, address: Address, path: str, body: bytes | None = None, timeout_s: float = 5.0
) -> tuple[int, bytes]:
    """Make one blocking HTTP request to an admin port or the store stand-in.

    Returns
    -------
    tuple of int and bytes
        Status and body; status 0 and an empty body when there was no response.
    """
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def http_json(address: Address, path: str) -> Any:
    """Return the decoded JSON body of `path`, or None unless the status is 200."""
    status, body = http_request("GET", address, path)
    return json.loads(body) if status == 200 else None


def in_force_version(spec: NodeSpec) -> int:
    """Return the table version in force on a node; 0 when it does not respond."""
    status = http_json(spec.admin, "/status")
    return int(status["in_force_version"]) if status else 0


def total_control_bytes(specs: Sequence[NodeSpec]) -> float:
    """Return the control bytes that the nodes sent and received, summed from their metrics.

    Nodes that do not respond are left out.
    """
    total = 0.0
    for spec in specs:
        _, body = http_request("GET", spec.admin, "/metrics")
        for line in body.decode().splitlines():
            if line.startswith("jaypost_control_bytes_total{"):
                total += float(line.rpartition(" ")[2])
    return total


def wait_until(condition: Callable[[], bool], timeout_s: float) -> float | None:
    """Poll `condition` and return the seconds until it is true; None after `timeout_s` seconds."""
    started = time.monotonic()
    while time.monotonic() - started < timeout_s:
        if condition():
            return time.monotonic() - started
        time.sleep(POLL_INTERVAL_S)
    return None


def environment_seed(default: int) -> int:
    """Return the seed from the environment variable SEED, or `default`."""
    return int(os.environ.get("SEED", default))
