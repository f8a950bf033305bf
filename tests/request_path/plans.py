"""Plans of scenarios of the request path: callers, requests, targets, and what happens meanwhile.

A plan is drawn from a seed. `scenario.play` plays it.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from jaypost.connections import MAX_WAITING_RESPONSE_BYTES
from jaypost.ingress_calls import MAX_BUFFERED_RESPONSE_BYTES

TIMEOUT_MS = 2_000
BODY_LIMIT = 65_536
REQUEST_SIZES = (0, 0, 1, BODY_LIMIT - 1, BODY_LIMIT, BODY_LIMIT + 1, 100_000, 300_000, 900_000)
CHUNKS = (0, 0, 1_000, 8_000, BODY_LIMIT, 200_000)
RESPONSE_SIZES = (
    0,
    1,
    1_000,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_BUFFERED_RESPONSE_BYTES + 1,
    MAX_WAITING_RESPONSE_BYTES + 100_000,
    900_000,
)
WORK_S = (0.0, 0.0, 0.01, 0.1, 0.5)


class Action(StrEnum):
    """What the target does with a request."""

    ANSWER = "answer"
    ANSWER_IN_CHUNKS = "answer in chunks"
    ANSWER_BEFORE_BODY = "answer before the body"
    REFUSE = "refuse"
    CLOSE = "close"
    CUT = "cut"
    REPEAT_EARLIER = "repeat an earlier answer first"
    EXTRA_REFUSAL = "refusal without an id first"
    ANSWER_UNTIL_CLOSE = "answer without a length"
    ANSWER_AFTER_INTERIM = "interim responses, then an answer"
    ANSWER_IN_SMALL_CHUNKS = "answer in many chunks"


SOUND_ACTIONS = frozenset(
    {
        Action.ANSWER,
        Action.ANSWER_IN_CHUNKS,
        Action.REFUSE,
        Action.ANSWER_UNTIL_CLOSE,
        Action.ANSWER_AFTER_INTERIM,
        Action.ANSWER_IN_SMALL_CHUNKS,
    }
)
WIDE_ACTIONS = (
    Action.ANSWER_UNTIL_CLOSE,
    Action.ANSWER_AFTER_INTERIM,
    Action.ANSWER_IN_SMALL_CHUNKS,
)
# Actions of `draw`; a fixed list, so that a seed keeps its scenario when actions are added.
DRAWN_ACTIONS = tuple(action for action in Action if action not in WIDE_ACTIONS)


@dataclass(frozen=True)
class PlannedRequest:
    """A request of a caller, and what its target does.

    Parameters
    ----------
    request_id, method : str
        Request line and id; ``GET`` may be repeated.
    body_bytes, chunk_bytes : int
        Size of the body, and of its chunks; 0 for a body with a length.
    response_bytes : int
        Size of the body of the response.
    work_s : float
        Time in seconds before the target answers.
    action : Action
        What the target does. With a second target, each later attempt is answered.
    expects_continue : bool
        Whether the caller waits for ``100 Continue`` before it sends the body.
    """

    request_id: str
    method: str
    body_bytes: int
    chunk_bytes: int
    response_bytes: int
    work_s: float
    action: Action
    expects_continue: bool = False

    def body(self) -> bytes:
        """Return the body, which differs from that of every other request."""
        seed = self.request_id.encode()
        return (hashlib.blake2b(seed).digest() * (self.body_bytes // 64 + 1))[: self.body_bytes]

    def encode(self) -> tuple[bytes, bytes]:
        """Return the bytes of the head and of the body."""
        lines = [
            f"{self.method} /{self.request_id} HTTP/1.1",
            "host: orders",
            f"x-request-id: {self.request_id}",
        ]
        body = self.body()
        if self.chunk_bytes and body:
            lines.append("transfer-encoding: chunked")
            body = encode_chunks(body, self.chunk_bytes)
        elif body or self.method == "POST":
            lines.append(f"content-length: {len(body)}")
        if self.expects_continue:
            lines.append("expect: 100-continue")
        return "\r\n".join(lines).encode() + b"\r\n\r\n", body


def encode_chunks(body: bytes, size: int) -> bytes:
    """Encode a body in chunks of at most `size` bytes."""
    step = max(size, 1)
    pieces = [body[at : at + step] for at in range(0, len(body), step)]
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


@dataclass(frozen=True)
class PlannedCaller:
    """A connection of a caller.

    Parameters
    ----------
    requests : sequence of PlannedRequest
        Requests in order.
    pipelined : bool
        Whether a request is sent without waiting for the response before it.
    read_bytes, read_pause_s : int, float
        Most bytes that are read at once, and the pause in seconds after each read.
    leaves_at_s : float or None
        Time at which the caller closes the connection; None if it stays.
    sends_garbage : bool
        Whether malformed bytes follow the last request.
    """

    requests: Sequence[PlannedRequest]
    pipelined: bool
    read_bytes: int
    read_pause_s: float
    leaves_at_s: float | None
    sends_garbage: bool = False


@dataclass(frozen=True)
class Scenario:
    """All choices of a run; drawn by `draw` and `draw_wide`.

    `second_target` adds a target at the other host. At `peer_ends_at_s`, the other host stops
    without notice.
    """

    seed: int
    codec: str
    own_host: bool
    local: bool
    link_mbps: float
    slots: int
    max_read_bytes: int
    capacity_bytes: int
    callers: Sequence[PlannedCaller]
    drain_at_s: float | None
    second_target: bool = False
    peer_ends_at_s: float | None = None


def draw(seed: int) -> Scenario:
    """Draw a scenario."""
    rng = random.Random(seed)
    faulty = rng.random() < 0.5
    callers = []
    for number in range(rng.randint(1, 3)):
        requests = [
            _draw_request(rng, f"c{number}r{index}", faulty) for index in range(rng.randint(1, 5))
        ]
        slow = rng.random() < 0.3
        callers.append(
            PlannedCaller(
                requests,
                rng.random() < 0.6,
                rng.choice((4_000, 50_000)) if slow else 262_144,
                rng.choice((0.001, 0.01)) if slow else 0.0,
                rng.uniform(0.0, 0.6) if rng.random() < 0.15 else None,
            )
        )
    return Scenario(
        seed,
        rng.choice(("httptools", "httptools", "h11")),
        rng.random() < 0.5,
        rng.random() < 0.8,
        rng.choice((0.0, 8.0, 100.0)),
        rng.choice((1, 4, 20)),
        rng.choice((0, 0, 700, 20_000)),
        rng.choice((16_384, 65_536, 262_144)),
        callers,
        rng.uniform(0.0, 0.6) if rng.random() < 0.4 else None,
    )


def _draw_request(rng: random.Random, request_id: str, faulty: bool) -> PlannedRequest:
    has_body = rng.random() < 0.5
    action = rng.choice((Action.ANSWER, Action.ANSWER, Action.ANSWER_IN_CHUNKS, Action.REFUSE))
    if faulty and rng.random() < 0.4:
        action = rng.choice(DRAWN_ACTIONS)
    return PlannedRequest(
        request_id,
        "POST" if has_body else "GET",
        rng.choice(REQUEST_SIZES) if has_body else 0,
        rng.choice(CHUNKS),
        rng.choice(RESPONSE_SIZES),
        rng.choice(WORK_S),
        action,
    )


def draw_wide(seed: int) -> Scenario:
    """Draw a scenario with what `draw` does not vary, in addition to what it varies."""
    rng = random.Random(f"wide {seed}")
    scenario = draw(seed)
    callers = []
    for caller in scenario.callers:
        requests = [_widen_request(rng, request) for request in caller.requests]
        if rng.random() < 0.2:
            first = requests[0]
            requests += [
                replace(first, request_id=f"{first.request_id}n{number}", method="GET")
                for number in range(rng.choice((15, 16, 17, 60)))
            ]
            requests = [replace(item, body_bytes=0, expects_continue=False) for item in requests]
        callers.append(replace(caller, requests=requests, sends_garbage=rng.random() < 0.2))
    return replace(
        scenario,
        callers=callers,
        second_target=rng.random() < 0.4,
        peer_ends_at_s=rng.uniform(0.0, 0.4) if rng.random() < 0.25 else None,
    )


def _widen_request(rng: random.Random, request: PlannedRequest) -> PlannedRequest:
    if request.action in SOUND_ACTIONS and rng.random() < 0.3:
        request = replace(request, action=rng.choice(WIDE_ACTIONS))
    if request.body_bytes:
        request = replace(request, expects_continue=rng.random() < 0.3)
        if rng.random() < 0.1:
            request = replace(request, body_bytes=rng.choice((1, 700)), chunk_bytes=1)
    return request
