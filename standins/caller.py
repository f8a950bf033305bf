"""Load generator: sends requests at a fixed rate and records the response to each.

The load is open-loop: requests start at their scheduled times, whether or not earlier ones have
ended. Timers of uvloop fire up to 1 ms late, so a result holds both the latency from the actual
start and the delay of that start.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import resource
import sys
import time
from dataclasses import asdict, dataclass

from jaypost.calls import (
    DEADLINE_MS,
    ERROR,
    FINAL,
    HOST,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    RUN,
    TARGET,
    TENANT,
)
from jaypost.exchanges import CallFailed, Receiver
from jaypost.http_messages import RequestHead, ResponseHead
from jaypost.pools import ConnectionPool, PooledExchange
from jaypost.records import Address
from jaypost.settings import HttpCodec, parse_address
from jaypost.workspaces.keys import KEY_HEADER
from standins.node_settings import node_settings
from standins.target import run_on_uvloop

# The request id in the body is checked only in response bodies up to this size.
MAX_PARSED_BODY_BYTES = 4096


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Parameters of one call.

    Parameters
    ----------
    service : str
        Value of the host header.
    method, path : str
        Method and path of the request line.
    body : bytes
        Request body.
    tenant : str
        Value of the tenant header; empty sends no header.
    deadline_ms : int
        Value of the deadline header in milliseconds; 0 sends no header.
    key : str
        Idempotency key; empty sends no header.
    target_id : str
        Value of the target header, which a node sends to the peer port of another node; empty
        sends no header, as a caller does.
    workspace_key : str
        Key of the workspace, in the authorization header; empty sends no header.
    """

    service: str
    method: str = "GET"
    path: str = "/work/0"
    body: bytes = b""
    tenant: str = ""
    deadline_ms: int = 0
    key: str = ""
    target_id: str = ""
    workspace_key: str = ""


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one call, as the caller saw it.

    Parameters
    ----------
    request_id : str
        Request id that the caller sent.
    method, path : str
        Method and path of the request line.
    at_s : float
        Scheduled start in seconds after `Caller.start`.
    late_s : float
        Delay of the actual start in seconds, caused by the caller and not by the service.
    latency_s : float
        Seconds from the actual start to the end of the response.
    status : int
        HTTP status; 0 when no response arrived.
    error, run : str
        Error kind and run state from the response headers; `error` is ``connection`` when the
        connection failed and no header named an error kind.
    final : bool
        Whether the response says that the request must not be retried.
    complete : bool
        Whether the response was complete.
    own : bool
        Whether the response belongs to this request, by its request id header and, when the body
        names a request id, by that one too. True when no response arrived.
    body_bytes : int
        Size of the response body in bytes.
    """

    request_id: str
    method: str
    path: str
    at_s: float
    late_s: float
    latency_s: float
    status: int
    error: str
    run: str
    final: bool
    complete: bool
    own: bool
    body_bytes: int


class _Call(Receiver):
    """A call in flight; collects its response."""

    __slots__ = (
        "_body",
        "_caller",
        "_head",
        "_plan",
        "_request_id",
        "_scheduled_at",
        "_sent_at",
        "_size_bytes",
    )

    def __init__(
        self, caller: Caller, plan: CallPlan, request_id: str, scheduled_at: float
    ) -> None:
        self._caller = caller
        self._plan = plan
        self._request_id = request_id
        self._scheduled_at = scheduled_at
        self._sent_at = time.monotonic()
        self._head: ResponseHead | None = None
        self._body = b""
        self._size_bytes = 0

    def on_head(self, head: ResponseHead) -> None:
        self._head = head

    def on_body(self, data: bytes) -> None:
        self._size_bytes += len(data)
        if self._size_bytes <= MAX_PARSED_BODY_BYTES:
            self._body += data

    def on_end(self) -> None:
        self._end(True, "")

    def on_failed(self, failure: CallFailed) -> None:
        self._end(False, "connection")

    def _end(self, complete: bool, error: str) -> None:
        head = self._head
        control = head.control if head is not None else {}
        self._caller.on_call_ended(
            CallResult(
                self._request_id,
                self._plan.method,
                self._plan.path,
                self._scheduled_at - self._caller.started_at,
                self._sent_at - self._scheduled_at,
                time.monotonic() - self._sent_at,
                head.status if head is not None else 0,
                control.get(ERROR, error.encode()).decode(),
                control.get(RUN, b"").decode(),
                FINAL in control,
                complete,
                self._matches_request(control.get(REQUEST_ID, b"").decode()),
                self._size_bytes,
            )
        )

    def _matches_request(self, header_request_id: str) -> bool:
        if self._head is None:
            return True
        if self._body.startswith(b'{"request_id"') and self._size_bytes <= MAX_PARSED_BODY_BYTES:
            try:
                if json.loads(self._body)["request_id"] != self._request_id:
                    return False
            except ValueError:
                pass  # a truncated body cannot be decoded
        return header_request_id == self._request_id


class Caller:
    """Sends calls to one address and collects their results.

    Parameters
    ----------
    address : Address
        Caller address of a node, or the address of a target for a direct call.
    codec : HttpCodec
        HTTP library.
    keep_results : bool
        Whether results are added to `results`.

    Attributes
    ----------
    results : list of CallResult
        Results in the order in which the calls ended.
    in_flight : int
        Number of calls that have not ended.
    started_at : float
        Monotonic time of `start` in seconds.
    """

    def __init__(
        self, address: Address, codec: HttpCodec = HttpCodec.HTTPTOOLS, keep_results: bool = True
    ) -> None:
        self.results: list[CallResult] = []
        self.in_flight = 0
        self.started_at = 0.0
        self._address = address
        self._keep_results = keep_results
        self._pool = ConnectionPool(node_settings(http_codec=codec, connect_timeout_s=2))
        self._call_ended = asyncio.Event()
        self._request_count = 0
        self._request_id_prefix = f"{random.SystemRandom().getrandbits(32):08x}"

    async def start(self) -> None:
        """Start the connection pool and the clock of `CallResult.at_s`."""
        self.loop = asyncio.get_running_loop()
        self.started_at = time.monotonic()
        await self._pool.start()

    async def close(self) -> None:
        """Close the connections; calls in flight fail."""
        await self._pool.close()

    def send(self, plan: CallPlan, scheduled_at: float | None = None) -> str:
        """Start one call and return its request id.

        `scheduled_at` is the monotonic time at which it was due; None means now.
        """
        self._request_count += 1
        request_id = f"{self._request_id_prefix}-{self._request_count}"
        control = {HOST: plan.service.encode(), REQUEST_ID: request_id.encode()}
        if plan.tenant:
            control[TENANT] = plan.tenant.encode()
        if plan.deadline_ms:
            control[DEADLINE_MS] = b"%d" % plan.deadline_ms
        if plan.key:
            control[IDEMPOTENCY_KEY] = plan.key.encode()
        if plan.target_id:
            control[TARGET] = plan.target_id.encode()
        length = len(plan.body) if plan.body or plan.method in ("POST", "PUT", "PATCH") else None
        headers = []
        if plan.workspace_key:
            headers.append((KEY_HEADER, b"Bearer " + plan.workspace_key.encode()))
        head = RequestHead(plan.method, plan.path, control, headers, length)
        call = _Call(self, plan, request_id, scheduled_at or time.monotonic())
        self.in_flight += 1
        self._pool.start_exchange(PooledExchange(self._address, head, plan.body, True, call))
        return request_id

    async def run(self, plans: list[CallPlan], rate: float, duration_s: float) -> None:
        """Send calls at `rate` per second, cycling through `plans`, and wait for all to end."""
        start = time.monotonic()
        for number in range(int(rate * duration_s)):
            scheduled_at = start + number / rate
            delay_s = scheduled_at - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            elif number % 64 == 0:
                # Behind schedule: give the event loop a turn, so that responses are read.
                await asyncio.sleep(0)
            self.send(plans[number % len(plans)], scheduled_at)
        await self.wait_idle()

    async def wait_idle(self) -> None:
        """Wait until no call is in flight."""
        while self.in_flight:
            self._call_ended.clear()
            await self._call_ended.wait()

    def on_call_ended(self, result: CallResult) -> None:
        """Record the result of a call that ended."""
        self.in_flight -= 1
        self._call_ended.set()
        if self._keep_results:
            self.results.append(result)


def _percentile(values: list[float], percent: int) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) * percent // 100, len(values) - 1)]


async def _run(arguments: argparse.Namespace) -> None:
    caller = Caller(arguments.address, HttpCodec(arguments.codec))
    await caller.start()
    plans = [
        CallPlan(
            arguments.service,
            arguments.method,
            path,
            b"x" * arguments.body_bytes,
            arguments.tenant,
            arguments.deadline_ms,
            target_id=arguments.target_id,
        )
        for path in arguments.path
    ]
    await caller.run(plans[:1], arguments.rate, arguments.warm_up_s)
    warm_up_count = len(caller.results)
    usage_before = resource.getrusage(resource.RUSAGE_SELF)
    await caller.run(plans, arguments.rate, arguments.duration_s)
    usage_after = resource.getrusage(resource.RUSAGE_SELF)
    measured = caller.results[warm_up_count:]
    await caller.close()
    if arguments.journal:
        for result in measured:
            print(json.dumps(asdict(result)))
        return
    latencies = [1000 * result.latency_s for result in measured]
    cpu_s = (
        usage_after.ru_utime + usage_after.ru_stime - usage_before.ru_utime - usage_before.ru_stime
    )
    summary = {
        "calls": len(measured),
        "failed": sum(result.status != 200 or not result.complete for result in measured),
        "not_own": sum(not result.own for result in measured),
        "p50_ms": _percentile(latencies, 50),
        "p99_ms": _percentile(latencies, 99),
        "max_ms": _percentile(latencies, 100),
        "late_p99_ms": _percentile([1000 * result.late_s for result in measured], 99),
        "cpu_us_per_call": 1e6 * cpu_s / max(1, len(measured)),
    }
    print(json.dumps(summary), file=sys.stdout, flush=True)


def main() -> None:
    """Run a caller as a process; print a summary, or each result as a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("address", type=parse_address)
    parser.add_argument("--service", default="orders")
    parser.add_argument("--method", default="GET")
    parser.add_argument("--path", action="append", default=[])
    parser.add_argument("--body-bytes", type=int, default=0)
    parser.add_argument("--tenant", default="")
    parser.add_argument("--deadline-ms", type=int, default=0)
    parser.add_argument(
        "--target-id", default="", help="value of the target header, for calls to a peer port"
    )
    parser.add_argument("--rate", type=float, default=100.0, help="calls per second")
    parser.add_argument("--duration-s", type=float, default=5.0)
    parser.add_argument("--warm-up-s", type=float, default=0.5)
    parser.add_argument("--codec", default=HttpCodec.HTTPTOOLS, choices=list(HttpCodec))
    parser.add_argument("--journal", action="store_true", help="print each result as a JSON line")
    arguments = parser.parse_args()
    arguments.path = arguments.path or ["/work/0"]
    run_on_uvloop(lambda: _run(arguments))


if __name__ == "__main__":
    main()
