"""Latency and CPU time that the path of a call adds to a direct call of the target.

Variants alternate within one run, so that other load on the machine meets all of them. A caller
process is started for each measurement; the nodes and the target stay.

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
    """One way to the target; `roles` are the processes on it, in order."""

    name: str
    address: str
    roles: tuple[str, ...]


class Processes:
    """The processes of the measurement."""

    def __init__(self) -> None:
        self._popen_by_role: dict[str, subprocess.Popen[str]] = {}

    def start(self, role: str, module: str, *arguments: str) -> dict[str, str]:
        """Start a process and return the key=value pairs of its first line."""
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._popen_by_role[role] = process
        assert process.stdout is not None
        pairs = (part.partition("=") for part in process.stdout.readline().split())
        return {key: value for key, _, value in pairs}

    def cpu_s(self, role: str) -> float:
        """Return the CPU time that a process has used."""
        times = psutil.Process(self._popen_by_role[role].pid).cpu_times()
        return float(times.user + times.system)

    def close(self) -> None:
        """End all processes."""
        for process in self._popen_by_role.values():
            process.terminate()
        for process in self._popen_by_role.values():
            process.wait()


@dataclass(frozen=True, slots=True)
class Sample:
    """Result of one caller process."""

    calls: int
    failed: int
    p50_ms: float
    p99_ms: float
    cpu_us_by_role: dict[str, float]


def measure(processes: Processes, variant: Variant, rate: float, duration_s: float) -> Sample:
    """Run one caller against a variant."""
    command = [sys.executable, "-m", "standins.caller", variant.address, "--codec", CALLER_CODEC]
    command += ["--rate", str(rate), "--duration-s", str(duration_s), "--service", "orders"]
    before = {role: processes.cpu_s(role) for role in variant.roles}
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    result = json.loads(output)
    # The warm-up of the caller is part of the CPU time and of the calls it is divided by.
    calls = result["calls"] + int(rate * 0.5)
    cpu = {role: 1e6 * (processes.cpu_s(role) - before[role]) / calls for role in variant.roles}
    return Sample(result["calls"], result["failed"], result["p50_ms"], result["p99_ms"], cpu)


def start_variants(processes: Processes, codecs: list[str]) -> list[Variant]:
    """Start the target and the nodes."""
    target = processes.start(
        "target",
        "standins.target",
        *("--id", "target-1", "--service", "orders", "--slots", "10000", "--no-journal"),
    )
    variants = [Variant("direct", f"127.0.0.1:{target['port']}", ("target",))]
    for codec in codecs:
        options = ("--codec", codec, "--target-port", target["port"])
        egress, ingress = f"egress {codec}", f"ingress {codec}"
        own = processes.start(egress, "bench.node_process", *options)
        other = processes.start(
            ingress,
            "bench.node_process",
            *(*options, "--node-id", "node-b", "--peer", own["peer"]),
        )
        variants.append(Variant(f"{codec} 1 process", own["caller"], (egress,)))
        variants.append(Variant(f"{codec} 2 hops", other["caller"], (ingress, egress)))
    return variants


def report(variants: list[Variant], rate: float, samples: dict[str, list[Sample]]) -> None:
    """Print one line for each variant: medians over the rounds."""

    def median(name: str, field: str) -> float:
        return statistics.median(float(getattr(sample, field)) for sample in samples[name])

    for variant in variants:
        p50, p99 = median(variant.name, "p50_ms"), median(variant.name, "p99_ms")
        added50, added99 = p50 - median("direct", "p50_ms"), p99 - median("direct", "p99_ms")
        cpu = ", ".join(
            f"{role} "
            f"{statistics.median(s.cpu_us_by_role[role] for s in samples[variant.name]):.0f}"
            for role in variant.roles
        )
        failed = sum(sample.failed for sample in samples[variant.name])
        print(
            f"{rate:7.0f} {variant.name:20} {p50:8.3f} {p99:8.3f} {added50:8.3f} {added99:8.3f} "
            f"{failed:6d}  {cpu}",
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
            report(variants, rate, samples)
    finally:
        processes.close()


if __name__ == "__main__":
    main()
