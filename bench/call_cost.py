"""Measures the latency and CPU time that nodes on the path add to a direct call of the target.

The variants are the direct path, the path through one node, which is ingress and egress, and the
path through an ingress node and an egress node. They alternate within one run, so that other load
on the machine affects all of them. Each measurement starts a new caller process; the nodes and the
target keep running.

    .venv/bin/python -m bench.call_cost --rates 200,1000,2000,4000 --duration-s 4 --rounds 3
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass

import psutil

CALLER_CODEC = "httptools"


@dataclass(frozen=True, slots=True)
class Variant:
    """One path to the target.

    Parameters
    ----------
    name : str
        Name in the report.
    address : str
        Address that the caller sends to.
    roles : tuple of str
        Processes whose CPU time is measured, in the order of the path.
    """

    name: str
    address: str
    roles: tuple[str, ...]


class Processes:
    """The processes of the benchmark, by role."""

    def __init__(self) -> None:
        self._popen_by_role: dict[str, subprocess.Popen[str]] = {}

    def start(self, role: str, module: str, *arguments: str) -> dict[str, str]:
        """Start a process and return the key=value pairs of its first line of output."""
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._popen_by_role[role] = process
        assert process.stdout is not None
        pairs = (part.partition("=") for part in process.stdout.readline().split())
        return {key: value for key, _, value in pairs}

    def cpu_s(self, role: str) -> float:
        """Return the CPU time in seconds that a process has used so far."""
        times = psutil.Process(self._popen_by_role[role].pid).cpu_times()
        return float(times.user + times.system)

    def close(self) -> None:
        """Terminate all processes and wait for them."""
        for process in self._popen_by_role.values():
            process.terminate()
        for process in self._popen_by_role.values():
            process.wait()


@dataclass(frozen=True, slots=True)
class Sample:
    """Result of one caller process.

    Parameters
    ----------
    calls, failed : int
        Measured calls, and how many of them failed.
    p50_ms, p99_ms : float
        Percentiles of the latency.
    cpu_us_by_role : dict
        CPU time per call of each process on the path, in microseconds.
    """

    calls: int
    failed: int
    p50_ms: float
    p99_ms: float
    cpu_us_by_role: dict[str, float]


def measure(processes: Processes, variant: Variant, rate: float, duration_s: float) -> Sample:
    """Run one caller process against a variant."""
    command = [sys.executable, "-m", "standins.caller", variant.address, "--codec", CALLER_CODEC]
    command += ["--rate", str(rate), "--duration-s", str(duration_s), "--service", "orders"]
    before = {role: processes.cpu_s(role) for role in variant.roles}
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    result = json.loads(output)
    # The CPU time includes the warm-up of the caller, which lasts 0.5 s by default, so it is
    # divided by the calls of the warm-up and the measured calls.
    calls = result["calls"] + int(rate * 0.5)
    cpu_us = {role: 1e6 * (processes.cpu_s(role) - before[role]) / calls for role in variant.roles}
    return Sample(result["calls"], result["failed"], result["p50_ms"], result["p99_ms"], cpu_us)


def start_variants(processes: Processes, codecs: list[str]) -> list[Variant]:
    """Start the target and the nodes, and return the variants: two for each codec, and direct."""
    target = processes.start(
        "target",
        "standins.target",
        *("--id", "target-1", "--service", "orders", "--slots", "10000", "--no-journal"),
    )
    variants = [Variant("direct", f"127.0.0.1:{target['port']}", ("target",))]
    for codec in codecs:
        flags = ("--codec", codec, "--target-port", target["port"])
        first_role, second_role = f"node-a {codec}", f"node-b {codec}"
        first_node = processes.start(first_role, "bench.node_process", *flags)
        second_node = processes.start(
            second_role,
            "bench.node_process",
            *(*flags, "--node-id", "node-b", "--peer", first_node["peer"]),
        )
        variants.append(Variant(f"{codec} 1 node", first_node["caller"], (first_role,)))
        variants.append(
            Variant(f"{codec} 2 nodes", second_node["caller"], (second_role, first_role))
        )
    return variants


def print_medians(variants: list[Variant], rate: float, samples: dict[str, list[Sample]]) -> None:
    """Print one line for each variant, with the medians over the rounds.

    The columns +p50 and +p99 hold the differences from the direct path; failed calls are summed.
    """

    def median(variant_name: str, field: str) -> float:
        return statistics.median(float(getattr(sample, field)) for sample in samples[variant_name])

    for variant in variants:
        p50, p99 = median(variant.name, "p50_ms"), median(variant.name, "p99_ms")
        added_p50, added_p99 = p50 - median("direct", "p50_ms"), p99 - median("direct", "p99_ms")
        cpu_text = ", ".join(
            f"{role} "
            f"{statistics.median(s.cpu_us_by_role[role] for s in samples[variant.name]):.0f}"
            for role in variant.roles
        )
        failed = sum(sample.failed for sample in samples[variant.name])
        print(
            f"{rate:7.0f} {variant.name:20} {p50:8.3f} {p99:8.3f} {added_p50:8.3f} "
            f"{added_p99:8.3f} {failed:6d}  {cpu_text}",
            flush=True,
        )


def main() -> None:
    """Measure all variants and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--rates", default="200,1000,2000,4000")
    parser.add_argument("--duration-s", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--codecs", default="httptools,h11")
    arguments = parser.parse_args()
    print("command: python -m bench.call_cost " + " ".join(sys.argv[1:]))
    print(f"load average: {psutil.getloadavg()}  cores: {psutil.cpu_count()}")
    print("  calls/s variant               p50 ms   p99 ms    +p50     +p99 failed  CPU us/call")
    processes = Processes()
    try:
        variants = start_variants(processes, arguments.codecs.split(","))
        for rate in map(float, arguments.rates.split(",")):
            samples: dict[str, list[Sample]] = {variant.name: [] for variant in variants}
            for _ in range(arguments.rounds):
                for variant in variants:
                    samples[variant.name].append(
                        measure(processes, variant, rate, arguments.duration_s)
                    )
                    time.sleep(0.2)
            print_medians(variants, rate, samples)
    finally:
        processes.close()


if __name__ == "__main__":
    main()
