"""Admission of requests to the local targets: slots, classes, tenant queues and deadlines."""

from __future__ import annotations

import heapq
import itertools
import math
import statistics
from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import singledispatchmethod

from jaypost.errors import ErrorKind
from jaypost.invariants import check
from jaypost.records import Load, Row, Target, TargetState

NO_LOAD = Load(0, 0, 0)
# In slots. Added before rounding down, because 10 * (1.0 - 0.9) is slightly less than 1.
SLOT_ROUNDING_TOLERANCE = 1e-9
# A heap is rebuilt without the removed entries when it has more entries than this multiple of the
# queued requests of its tenant.
HEAP_COMPACTION_FACTOR = 2
# Number of mean deviations that `safe_s` adds to the recent mean duration. Most requests take less
# than the sum.
DEVIATION_FACTOR = 2.0
# A request counts as urgent if a request of lower priority arrived at the same target at most this
# long ago, because that request would get the slot if the urgent one were refused.
URGENCY_WINDOW_S = 1.0
# A large response that would wait longer than this for the link of the host is refused when another
# attempt may follow, because another host can probably send it sooner.
MAX_LINK_WAIT_S = 0.25
# Weights of one request in the moving averages of durations: USUAL_GAIN for the usual duration and
# the mean deviation, RECENT_GAIN for the recent duration.
USUAL_GAIN = 1 / 256
RECENT_GAIN = 1 / 4
# Weight of one request in the mean service time, and multiple of the usual duration at which its
# sample is capped. When a long request that was not recognised as long work ends, it raises the
# mean service time by at most SERVICE_TIME_GAIN * (DURATION_CAP_FACTOR - 1) times the usual
# duration. This stays below SLOW_FACTOR - 1, so one such request does not make its target count as
# slow.
SERVICE_TIME_GAIN = 1 / 6
DURATION_CAP_FACTOR = 8.0
# A target becomes slow when its mean service time exceeds this multiple of the usual duration, and
# stays slow while it exceeds the lower multiple.
SLOW_FACTOR = 3.0
STILL_SLOW_FACTOR = 1.5
# Fraction of its slots that a slow target offers to requests that may not queue.
SLOW_SLOTS_FRACTION = 0.2
# The requests that a target takes in this time at the rate that it names may start at once.
RATE_BURST_S = 0.5
# A target that takes nothing gets a request per second and a half, whose response tells when it
# takes more.
MIN_RATE = 1 / 1.5
# A duration that a target reported is ignored when it is older than this.
REPORTED_DURATION_MAX_AGE_S = 1.0
# Requests whose paths have the same first segment become long work when their mean duration exceeds
# this multiple of the median duration of the service, and stay long work while it exceeds the lower
# multiple.
LONG_FACTOR = 8.0
STILL_LONG_FACTOR = 4.0
# Number of requests of a segment that must have ended before their mean duration is used.
SEGMENT_MIN_SAMPLES = 5
# Maximum number of running requests remembered for each segment; the oldest is dropped.
SEGMENT_RUNNING_LIMIT = 1024
# Weight of one request in the mean duration of its segment.
SEGMENT_GAIN = 1 / 16
# Maximum number of segments remembered for each service; the least recently used is dropped.
SEGMENT_LIMIT = 64
# The median duration of a service covers its last MEDIAN_WINDOW_REQUESTS requests and is updated
# after every MEDIAN_INTERVAL_REQUESTS requests.
MEDIAN_WINDOW_REQUESTS = 101
MEDIAN_INTERVAL_REQUESTS = 16


class CallClass(StrEnum):
    """Class of a request by its expected duration; requests of class `LONG` are long work."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Admit:
    """Asks for a slot of a target.

    Parameters
    ----------
    ticket : str
        Identifier of the attempt, unique on this node.
    target_id : str
        Target of the attempt.
    row : Row
        Row of the service in the snapshot of the request.
    tenant : str
        Tenant of the request.
    call_class : CallClass
        Class of the request.
    deadline : float
        Monotonic time in seconds after which a response is of no use to the caller.
    may_queue : bool
        Whether the request may wait for a slot.
    now : float
        Monotonic time in seconds.
    priority : int
        Priority in the queue; 0 goes first.
    answer_by : float
        Monotonic time in seconds by which the caller wants the response. A request that cannot be
        answered by then is not queued.
    transfer_s : float
        Expected time in seconds that the response occupies the link of the host; 0 for a small
        response.
    link_wait_s : float
        Time in seconds until the link has sent the responses before this one.
    """

    ticket: str
    target_id: str
    row: Row
    tenant: str
    call_class: CallClass
    deadline: float
    may_queue: bool
    now: float
    priority: int = 0
    answer_by: float = math.inf
    transfer_s: float = 0.0
    link_wait_s: float = 0.0

    @property
    def effective_deadline(self) -> float:
        """Monotonic time in seconds by which the response to a queued request must be ready."""
        return min(self.deadline, self.answer_by)

    @property
    def rank(self) -> tuple[int, float]:
        """Sort key in the queue of a tenant; the lowest goes first."""
        return (self.priority, self.effective_deadline)


@dataclass(frozen=True, slots=True)
class Release:
    """Reports that the request of a ticket ended, and frees its slot.

    Parameters
    ----------
    ticket : str
        Ticket of an admitted request.
    service_s : float
        Time in seconds for which the request held its slot.
    now : float
        Monotonic time in seconds.
    """

    ticket: str
    service_s: float
    now: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Removes a request from its queue, for example because its caller gave up."""

    ticket: str
    now: float


@dataclass(frozen=True, slots=True)
class SetTargets:
    """Replaces the targets of the host."""

    targets: tuple[Target, ...]
    now: float


@dataclass(frozen=True, slots=True)
class ReportDuration:
    """Passes on how long the work of a target takes now, as the target reported it.

    Parameters
    ----------
    target_id : str
        Target that reported.
    factor : float
        Present duration of its work as a multiple of the usual one.
    now : float
        Monotonic time in seconds.
    """

    target_id: str
    factor: float
    now: float


@dataclass(frozen=True, slots=True)
class ReportRate:
    """Passes on how many requests a second a target takes, as the target named it.

    Parameters
    ----------
    target_id : str
        Target that named the rate.
    rate : float or None
        Requests per second; None when the target no longer names a rate.
    now : float
        Monotonic time in seconds.
    """

    target_id: str
    rate: float | None
    now: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Starts the queued requests that have a slot, and refuses those that would end too late.

    The owner of the `Admission` sends it at intervals while requests are queued. A target that
    names a rate has room again without the end of a request.
    """

    now: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds a slot until `Release` is sent for its ticket."""

    ticket: str
    load: Load


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in the queue; a later decision for the same ticket ends the wait."""

    ticket: str
    load: Load


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run and will not be run."""

    ticket: str
    kind: ErrorKind
    load: Load


Decision = Admitted | Queued | Refused
Message = Admit | Release | Cancel | SetTargets | ReportDuration | ReportRate | Tick


@dataclass(slots=True)
class _QueuedRequest:
    """A queued request.

    Its heap entry stays in place when the request is removed; `is_queued` is False from then on.
    """

    message: Admit
    arrival_number: int
    is_queued: bool = True


@dataclass(slots=True)
class _RunningRequest:
    """A request that holds a slot."""

    target_id: str
    service: str
    call_class: CallClass


# Rank, arrival number and the request. The arrival number decides between equal ranks.
_HeapEntry = tuple[tuple[int, float], int, _QueuedRequest]


@dataclass(slots=True)
class _TenantQueue:
    """Queued requests of one tenant, in each class by priority and then by deadline.

    `finish_tag` is the virtual time at which the tenant's last started request ends, see
    `_TargetQueue`.
    """

    share: int
    finish_tag: float
    heap_by_class: dict[CallClass, list[_HeapEntry]]
    queued_count: int = 0


@dataclass(slots=True)
class _Durations:
    """Moving averages of the durations of the requests of one class, in seconds.

    `usual_s` and `deviation_s` change slowly, `recent_s` follows the last few requests.
    """

    usual_s: float = 0.0
    recent_s: float = 0.0
    deviation_s: float = 0.0

    @property
    def likely_s(self) -> float:
        """Time within which a request probably ends: the recent mean plus the mean deviation.

        With less time left, a request would probably hold a slot and still end too late.
        """
        return self.recent_s + self.deviation_s

    @property
    def safe_s(self) -> float:
        """Time within which most requests end: the recent mean plus twice the mean deviation."""
        return self.recent_s + DEVIATION_FACTOR * self.deviation_s

    def add_sample(self, duration_s: float) -> None:
        """Update the averages with the duration of one request."""
        if not self.usual_s:
            self.usual_s = self.recent_s = duration_s
            return
        capped_s = min(duration_s, DURATION_CAP_FACTOR * self.usual_s)
        self.deviation_s += USUAL_GAIN * (abs(capped_s - self.usual_s) - self.deviation_s)
        self.usual_s += USUAL_GAIN * (capped_s - self.usual_s)
        self.recent_s += RECENT_GAIN * (capped_s - self.recent_s)


class _ServiceTime:
    """Recent mean service time of short requests: the time for which a request holds its slot.

    It is estimated from the slot time, in slot-seconds, that was used between two completions. The
    slot time grows while requests run, so a target that becomes slow or freezes is noticed before
    its first slow request ends.
    """

    def __init__(self) -> None:
        self.running = 0
        self._mean_s = 0.0
        self._slot_time_s = 0.0
        self._updated_at = 0.0

    def mean_s(self, now: float) -> float:
        """Return the mean service time in seconds.

        The slot time since the last completion counts if it raises the mean.
        """
        slot_time_s = self._slot_time_s + self.running * max(0.0, now - self._updated_at)
        return max(self._mean_s, self._mean_s + SERVICE_TIME_GAIN * (slot_time_s - self._mean_s))

    def started(self, now: float) -> None:
        """Record the start of a request."""
        self._advance(now)
        self.running += 1

    def ended(self, now: float, usual_s: float) -> None:
        """Record the end of a request and update the mean service time."""
        self._advance(now)
        self.running -= 1
        slot_time_s = min(self._slot_time_s, DURATION_CAP_FACTOR * usual_s)
        self._mean_s += SERVICE_TIME_GAIN * (slot_time_s - self._mean_s)
        self._slot_time_s = 0.0

    def _advance(self, now: float) -> None:
        self._slot_time_s += self.running * max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)


@dataclass(slots=True)
class _NamedRate:
    """Token bucket with the rate that a target names; each token admits one request.

    It starts without a token: the requests in flight were started before the target named the rate.
    """

    rate: float
    refilled_at: float
    tokens: float = 0.0

    def available(self, now: float) -> float:
        """Return the tokens at a time."""
        refill = self.rate * max(0.0, now - self.refilled_at)
        return min(max(1.0, self.rate * RATE_BURST_S), self.tokens + refill)

    def take(self, now: float) -> None:
        """Take a token."""
        self.tokens = self.available(now) - 1.0
        self.refilled_at = max(self.refilled_at, now)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate and keep the tokens."""
        self.tokens = self.available(now)
        self.refilled_at = max(self.refilled_at, now)
        self.rate = rate

    def wait_s(self, position: int, now: float) -> float:
        """Return the time in seconds until the request at a position of the queue has a token."""
        return max(0.0, position - self.available(now)) / self.rate


class _TargetQueue:
    """Slots and queue of one target.

    Tenants share the slots by self-clocked fair queueing. When the first request of a tenant is
    queued, the tenant takes the finish tag of the request that was last started, so no state is
    kept for tenants without queued requests.
    """

    def __init__(self, target: Target, now: float) -> None:
        self.target = target
        self.now = now
        self.row: Row | None = None
        self.busy = 0
        self.long_busy = 0
        self.queued = 0
        self.queued_by_class = dict.fromkeys(CallClass, 0)
        self.durations_by_class = {call_class: _Durations() for call_class in CallClass}
        self.service_time = _ServiceTime()
        self.slow = False
        self._reported_factor = 1.0
        self._reported_at = -math.inf
        self._named_rate: _NamedRate | None = None
        self._virtual_time = 0.0
        self._queue_by_tenant: dict[str, _TenantQueue] = {}
        self._last_arrival_by_priority: dict[int, float] = {}

    @property
    def load(self) -> Load:
        """Load that is reported to ingress nodes.

        A target that takes no further request at its rate now has no free slot.
        """
        offered = self.offered_slots
        busy = self.busy if self._has_token() else max(self.busy, offered)
        return Load(busy, offered, self.queued)

    @property
    def offered_slots(self) -> int:
        """Slots for requests that may not queue; fewer while the target is slow.

        The node of a slow target notices the slowness at once, while each of hundreds of ingress
        nodes would need several slow responses. Requests that may queue still get every slot. A
        duration that the target reported takes precedence, because it is exact, while a few long
        requests in a row look like a slow target.
        """
        if self.now - self._reported_at <= REPORTED_DURATION_MAX_AGE_S:
            offered = max(1, round(self.target.slots / max(1.0, self._reported_factor)))
        elif not self.slow:
            offered = self.target.slots
        else:
            offered = max(1, int(self.target.slots * SLOW_SLOTS_FRACTION))
        if self._named_rate is None:
            return offered
        # The slots that the named rate keeps busy, so that ingress nodes compare the target's load
        # with that of others.
        used = self._named_rate.rate * self.durations_by_class[CallClass.SHORT].usual_s
        return min(offered, max(1, math.ceil(used)))

    def _has_token(self) -> bool:
        return self._named_rate is None or self._named_rate.available(self.now) >= 1.0

    def set_named_rate(self, rate: float | None) -> None:
        """Limit the requests that start to the rate that the target named, None for no limit."""
        if rate is None:
            self._named_rate = None
            return
        rate = max(rate, MIN_RATE)
        if self._named_rate is None:
            self._named_rate = _NamedRate(rate, self.now)
        else:
            self._named_rate.set_rate(rate, self.now)

    def set_reported_duration(self, message: ReportDuration) -> None:
        """Store the duration that the target reported."""
        self._reported_factor, self._reported_at = message.factor, message.now

    def update_slow(self) -> None:
        """Update whether the target is slow compared with its usual duration."""
        usual_s = self.durations_by_class[CallClass.SHORT].usual_s
        factor = STILL_SLOW_FACTOR if self.slow else SLOW_FACTOR
        self.slow = usual_s > 0.0 and self.service_time.mean_s(self.now) > factor * usual_s

    def long_slots(self) -> int:
        """Return how many slots long work may use at the same time."""
        reserve = self.row.short_reserve if self.row is not None else 0.0
        return max(1, math.floor(self.target.slots * (1.0 - reserve) + SLOT_ROUNDING_TOLERANCE))

    def has_slot(self, call_class: CallClass) -> bool:
        """Tell whether a request of the class may start now."""
        if self.busy >= self.target.slots or not self._has_token():
            return False
        return call_class is CallClass.SHORT or self.long_busy < self.long_slots()

    def take_slot(self, call_class: CallClass) -> None:
        """Mark a slot as busy."""
        self.busy += 1
        if self._named_rate is not None:
            check(self._has_token(), "admission_named_rate", target=self.target.target_id)
            self._named_rate.take(self.now)
        if call_class is CallClass.SHORT:
            self.service_time.started(self.now)
        check(self.busy <= self.target.slots, "admission_slots", target=self.target.target_id)
        if call_class is CallClass.LONG:
            self.long_busy += 1
            check(self.long_busy <= self.long_slots(), "admission_reserve", busy=self.long_busy)

    def release_slot(self, call_class: CallClass, service_s: float) -> None:
        """Free a slot and record how long it was held."""
        self.busy -= 1
        self.long_busy -= call_class is CallClass.LONG
        durations = self.durations_by_class[call_class]
        durations.add_sample(service_s)
        if call_class is CallClass.SHORT:
            self.service_time.ended(self.now, durations.usual_s)
            self.update_slow()
        check(self.busy >= 0 and self.long_busy >= 0, "admission_release", busy=self.busy)

    def expected_s(self, call_class: CallClass) -> float:
        """Return the expected duration of a request in seconds."""
        return self.durations_by_class[call_class].recent_s

    def record_arrival(self, message: Admit) -> None:
        """Record the time at which a request of this priority arrived."""
        self._last_arrival_by_priority[message.priority] = message.now

    def is_urgent(self, message: Admit, now: float) -> bool:
        """Tell whether a request of lower priority arrived at this target recently."""
        return any(
            priority > message.priority and now - arrived_at <= URGENCY_WINDOW_S
            for priority, arrived_at in self._last_arrival_by_priority.items()
        )

    def link_refusal(self, message: Admit) -> ErrorKind | None:
        """Return the error when the link of the host cannot send the response in time, else None.

        A request that may queue is refused only if its response would be sent too late.
        """
        if not message.transfer_s or not message.link_wait_s:
            return None
        if not message.may_queue:
            return ErrorKind.LINK_FULL if message.link_wait_s > MAX_LINK_WAIT_S else None
        run_s = self.expected_s(message.call_class)
        answered_at = message.now + max(message.link_wait_s, run_s) + message.transfer_s
        return ErrorKind.DEADLINE_TOO_SHORT if answered_at > message.effective_deadline else None

    def required_to_queue_s(self, message: Admit, now: float) -> float:
        """Return the time in seconds that must remain after the wait for a request to be queued.

        The least urgent requests must be very likely to end in time, because one that ends too
        late held a slot for nothing. An urgent request that is refused leaves its slot to a less
        urgent one, so a probability of about one half is enough for it.
        """
        if self.is_urgent(message, now):
            return self._typical_s(message.call_class)
        return self.durations_by_class[message.call_class].safe_s

    def required_to_stay_s(self, message: Admit, now: float) -> float:
        """Return the time in seconds that must remain for a request to stay in the queue."""
        if self.is_urgent(message, now):
            return self._typical_s(message.call_class)
        return self.durations_by_class[message.call_class].likely_s

    def _typical_s(self, call_class: CallClass) -> float:
        """Return the time in seconds within which about half of the requests end.

        One long request is enough to raise the recent duration. So a recent duration above the
        usual one counts only while the target is slow.
        """
        durations = self.durations_by_class[call_class]
        if self.slow:
            return durations.recent_s
        return min(durations.recent_s, durations.usual_s)

    def estimated_wait_s(self, message: Admit) -> float:
        """Return the estimated time in seconds that the request would wait for a slot.

        It waits for the queued requests of its tenant that rank before it, which are served at the
        rate of the tenant's share. At most, it waits for all queued requests of its class.
        """
        call_class = message.call_class
        slots = self.target.slots if call_class is CallClass.SHORT else self.long_slots()
        interval_s = self.expected_s(call_class) / slots
        total_ahead = self.queued_by_class[call_class]
        tenant_queue = self._queue_by_tenant.get(message.tenant)
        if tenant_queue is None:
            tenant_ahead, share = 0, _tenant_share(message.row, message.tenant)
            total_shares = share + sum(queue.share for queue in self._queue_by_tenant.values())
        else:
            heap = tenant_queue.heap_by_class[call_class]
            tenant_ahead = sum(
                1 for rank, _, item in heap if item.is_queued and rank <= message.rank
            )
            share = tenant_queue.share
            total_shares = sum(queue.share for queue in self._queue_by_tenant.values())
        fair_position = (tenant_ahead + 1) * total_shares / share
        position = min(fair_position, total_ahead + 1)
        wait_s = position * interval_s if self.busy >= self.target.slots else 0.0
        if self._named_rate is None:
            return position * interval_s
        return max(wait_s, self._named_rate.wait_s(math.ceil(position), self.now))

    def push(self, item: _QueuedRequest) -> None:
        """Add a request to the queue of its tenant."""
        message = item.message
        queue = self._queue_by_tenant.get(message.tenant)
        if queue is None:
            heaps: dict[CallClass, list[_HeapEntry]]
            heaps = {call_class: [] for call_class in CallClass}
            share = _tenant_share(message.row, message.tenant)
            queue = _TenantQueue(share, self._virtual_time, heaps)
            self._queue_by_tenant[message.tenant] = queue
        heapq.heappush(
            queue.heap_by_class[message.call_class], (message.rank, item.arrival_number, item)
        )
        queue.queued_count += 1
        self.queued += 1
        self.queued_by_class[message.call_class] += 1

    def remove(self, item: _QueuedRequest) -> None:
        """Remove a request from the queue."""
        item.is_queued = False
        message = item.message
        self.queued -= 1
        self.queued_by_class[message.call_class] -= 1
        queue = self._queue_by_tenant[message.tenant]
        queue.queued_count -= 1
        if not queue.queued_count:
            del self._queue_by_tenant[message.tenant]
            return
        heap = queue.heap_by_class[message.call_class]
        if len(heap) > HEAP_COMPACTION_FACTOR * queue.queued_count:
            heap[:] = [entry for entry in heap if entry[2].is_queued]
            heapq.heapify(heap)

    def pop(self) -> _QueuedRequest | None:
        """Remove and return the next request for which a slot is free, or None."""
        classes = [item for item in CallClass if self.queued_by_class[item] and self.has_slot(item)]
        if not classes:
            return None
        best: tuple[float, tuple[int, float], int] | None = None
        chosen: tuple[_TenantQueue, _QueuedRequest] | None = None
        for queue in self._queue_by_tenant.values():
            head = self._head(queue, classes)
            if head is None:
                continue
            cost = self._cost(head) / queue.share
            # A tenant whose long requests had to wait for a slot keeps an old finish tag. Without
            # this lower bound it would later be compensated with slots for short requests.
            finish_tag = max(queue.finish_tag + cost, self._virtual_time)
            sort_key = (finish_tag, head.message.rank, head.arrival_number)
            if best is None or sort_key < best:
                best, chosen = sort_key, (queue, head)
        if best is None or chosen is None:
            return None
        queue, head = chosen
        queue.finish_tag = best[0]
        self._virtual_time = max(self._virtual_time, best[0])
        self.remove(head)
        return head

    def remove_expired(self, now: float) -> list[_QueuedRequest]:
        """Remove and return the requests that would probably be answered too late."""
        expired_requests = []
        for item in self.all_queued():
            if item.message.effective_deadline <= now + self.required_to_stay_s(item.message, now):
                self.remove(item)
                expired_requests.append(item)
        return expired_requests

    def evict_for(self, message: Admit) -> _QueuedRequest | None:
        """Remove and return a queued request in favour of `message`, or return None.

        The last request of the tenant with the most queued requests per share is removed, if the
        tenant of `message` would still have fewer of them per share.
        """
        largest = max(
            self._queue_by_tenant.values(), key=lambda queue: queue.queued_count / queue.share
        )
        own_queue = self._queue_by_tenant.get(message.tenant)
        own_queued_count = own_queue.queued_count if own_queue is not None else 0
        share = _tenant_share(message.row, message.tenant)
        if (own_queued_count + 1) / share >= largest.queued_count / largest.share:
            return None
        entries = [entry for heap in largest.heap_by_class.values() for entry in heap]
        _, _, last = max(entry for entry in entries if entry[2].is_queued)
        self.remove(last)
        return last

    def all_queued(self) -> list[_QueuedRequest]:
        """Return every queued request."""
        return [
            item
            for queue in self._queue_by_tenant.values()
            for heap in queue.heap_by_class.values()
            for _, _, item in heap
            if item.is_queued
        ]

    def _cost(self, item: _QueuedRequest) -> float:
        """Return the usual duration of a request as a multiple of that of a short request."""
        if item.message.call_class is CallClass.SHORT:
            return 1.0
        short_s = self.durations_by_class[CallClass.SHORT].usual_s
        long_s = self.durations_by_class[CallClass.LONG].usual_s
        return max(1.0, long_s / short_s) if short_s else 1.0

    @staticmethod
    def _head(queue: _TenantQueue, classes: list[CallClass]) -> _QueuedRequest | None:
        """Return the first queued request of a tenant in some classes, or None."""
        heads = []
        for call_class in classes:
            heap = queue.heap_by_class[call_class]
            while heap and not heap[0][2].is_queued:
                heapq.heappop(heap)
            if heap:
                heads.append(heap[0])
        return min(heads)[2] if heads else None


def _expiry_kind(message: Admit, now: float) -> ErrorKind:
    """Return why a queued request is refused: its deadline has passed or is too close."""
    if message.deadline <= now:
        return ErrorKind.DEADLINE_EXCEEDED
    return ErrorKind.DEADLINE_TOO_SHORT


def _tenant_share(row: Row, tenant: str) -> int:
    """Return the share of a tenant, which is 1 unless the row lists it."""
    for item in row.tenant_shares:
        if item.tenant == tenant:
            return item.share
    return 1


class Admission:
    """Slots and queues of all targets of the host."""

    def __init__(self) -> None:
        self._queue_by_target: dict[str, _TargetQueue] = {}
        self._running_by_ticket: dict[str, _RunningRequest] = {}
        self._queued_by_ticket: dict[str, _QueuedRequest] = {}
        self._arrival_numbers = itertools.count()

    @singledispatchmethod
    def handle(self, message: Message) -> tuple[Decision, ...]:
        """Apply `message` and return the resulting decisions, also about other tickets.

        Raises
        ------
        TypeError
            If the type of `message` is unknown.
        """
        raise TypeError(f"unknown message {message!r}")

    def load(self, target_id: str) -> Load:
        """Return the load of a target; `NO_LOAD` when the target is unknown."""
        queue = self._queue_by_target.get(target_id)
        return queue.load if queue is not None else NO_LOAD

    @handle.register
    def _admit(self, message: Admit) -> tuple[Decision, ...]:
        ticket = message.ticket
        known = ticket in self._running_by_ticket or ticket in self._queued_by_ticket
        if not check(not known, "admission_ticket_reused", ticket=ticket):
            return (Refused(ticket, ErrorKind.INTERNAL, self.load(message.target_id)),)
        queue = self._queue_by_target.get(message.target_id)
        if queue is None or queue.target.state is TargetState.GONE:
            return (Refused(ticket, ErrorKind.WRONG_TARGET, NO_LOAD),)
        if queue.target.state is not TargetState.READY:
            return (Refused(ticket, ErrorKind.DRAINING, queue.load),)
        if message.deadline <= message.now:
            return (Refused(ticket, ErrorKind.DEADLINE_EXCEEDED, queue.load),)
        queue.row = message.row
        queue.now = max(queue.now, message.now)
        queue.record_arrival(message)
        link_kind = queue.link_refusal(message)
        if link_kind is not None:
            return (Refused(ticket, link_kind, queue.load),)
        if queue.has_slot(message.call_class):
            queue.update_slow()
            if not message.may_queue and queue.busy >= queue.offered_slots:
                return (Refused(ticket, ErrorKind.SLOTS_FULL, queue.load),)
            return (self._start(queue, message),)
        if not message.may_queue:
            return (Refused(ticket, ErrorKind.SLOTS_FULL, queue.load),)
        return self._enqueue(queue, message)

    @handle.register
    def _release(self, message: Release) -> tuple[Decision, ...]:
        running = self._running_by_ticket.pop(message.ticket, None)
        if not check(running is not None, "admission_release_unknown", ticket=message.ticket):
            return ()
        assert running is not None
        queue = self._queue_by_target[running.target_id]
        queue.now = max(queue.now, message.now)
        queue.release_slot(running.call_class, message.service_s)
        if queue.target.state is TargetState.GONE and not queue.busy:
            del self._queue_by_target[running.target_id]
            return ()
        return self._start_queued(queue, message.now)

    @handle.register
    def _cancel(self, message: Cancel) -> tuple[Decision, ...]:
        item = self._queued_by_ticket.pop(message.ticket, None)
        if item is None:
            return ()
        queue = self._queue_by_target[item.message.target_id]
        queue.remove(item)
        return (Refused(message.ticket, ErrorKind.CANCELLED, queue.load),)

    @handle.register
    def _set_targets(self, message: SetTargets) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        target_by_id = {target.target_id: target for target in message.targets}
        for target_id, queue in list(self._queue_by_target.items()):
            target = target_by_id.get(target_id)
            if target is None:
                target = replace(queue.target, state=TargetState.GONE)
            decisions += self._update_target(queue, target, message.now)
        for target_id, target in target_by_id.items():
            if target_id not in self._queue_by_target and target.state is not TargetState.GONE:
                self._queue_by_target[target_id] = _TargetQueue(target, message.now)
        return tuple(decisions)

    @handle.register
    def _reported_duration(self, message: ReportDuration) -> tuple[Decision, ...]:
        queue = self._queue_by_target.get(message.target_id)
        if queue is not None:
            queue.now = max(queue.now, message.now)
            queue.set_reported_duration(message)
        return ()

    @handle.register
    def _reported_rate(self, message: ReportRate) -> tuple[Decision, ...]:
        queue = self._queue_by_target.get(message.target_id)
        if queue is None:
            return ()
        queue.now = max(queue.now, message.now)
        queue.set_named_rate(message.rate)
        return self._start_queued(queue, message.now)

    @handle.register
    def _tick(self, message: Tick) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        for queue in self._queue_by_target.values():
            queue.now = max(queue.now, message.now)
            decisions += self._start_queued(queue, message.now)
        return tuple(decisions)

    def _start(self, queue: _TargetQueue, message: Admit) -> Admitted:
        queue.take_slot(message.call_class)
        self._running_by_ticket[message.ticket] = _RunningRequest(
            message.target_id, message.row.service, message.call_class
        )
        return Admitted(message.ticket, queue.load)

    def _enqueue(self, queue: _TargetQueue, message: Admit) -> tuple[Decision, ...]:
        wait_s = queue.estimated_wait_s(message)
        required_s = wait_s + queue.required_to_queue_s(message, message.now)
        if message.now + required_s > message.effective_deadline:
            return (Refused(message.ticket, ErrorKind.DEADLINE_TOO_SHORT, queue.load),)
        decisions: list[Decision] = self._refuse_expired(queue, message.now)
        if queue.queued >= message.row.queue_limit:
            evicted = queue.evict_for(message) if queue.queued else None
            if evicted is None:
                refused = Refused(message.ticket, ErrorKind.QUEUE_FULL, queue.load)
                return (*decisions, refused)
            decisions.append(self._refuse(queue, evicted, ErrorKind.QUEUE_FULL))
        item = _QueuedRequest(message, next(self._arrival_numbers))
        queue.push(item)
        self._queued_by_ticket[message.ticket] = item
        return (*decisions, Queued(message.ticket, queue.load))

    def _start_queued(self, queue: _TargetQueue, now: float) -> tuple[Decision, ...]:
        decisions: list[Decision] = self._refuse_expired(queue, now)
        while (item := queue.pop()) is not None:
            del self._queued_by_ticket[item.message.ticket]
            decisions.append(self._start(queue, item.message))
        return tuple(decisions)

    def _refuse_expired(self, queue: _TargetQueue, now: float) -> list[Decision]:
        return [
            self._refuse(queue, item, _expiry_kind(item.message, now))
            for item in queue.remove_expired(now)
        ]

    def _refuse(self, queue: _TargetQueue, item: _QueuedRequest, kind: ErrorKind) -> Refused:
        del self._queued_by_ticket[item.message.ticket]
        return Refused(item.message.ticket, kind, queue.load)

    def _update_target(self, queue: _TargetQueue, target: Target, now: float) -> list[Decision]:
        queue.now = max(queue.now, now)
        if target.incarnation > queue.target.incarnation:
            queue.set_named_rate(None)  # an earlier start named it
        queue.target = target
        if target.state is not TargetState.GONE:
            return list(self._start_queued(queue, now))
        decisions: list[Decision] = []
        for item in queue.all_queued():
            queue.remove(item)
            decisions.append(self._refuse(queue, item, ErrorKind.DRAINING))
        if not queue.busy:
            del self._queue_by_target[target.target_id]
        return decisions


@dataclass(slots=True)
class _SegmentDurations:
    """Durations of the requests whose paths have the same first segment."""

    mean_s: float = 0.0
    count: int = 0
    is_long: bool = False
    started_at_by_ticket: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _ServiceDurations:
    """Durations of the requests of one service."""

    last_durations_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=MEDIAN_WINDOW_REQUESTS)
    )
    median_s: float = 0.0
    requests_until_median: int = 0
    durations_by_segment: OrderedDict[str, _SegmentDurations] = field(default_factory=OrderedDict)


class LongWorkClassifier:
    """Classifies requests by the path prefixes of the row and by the observed durations.

    Durations are observed by service and by the first segment of the path.
    """

    def __init__(self) -> None:
        self._durations_by_service: dict[str, _ServiceDurations] = {}

    def classify(self, row: Row, path: str, now: float | None = None) -> CallClass:
        """Return the class of a request.

        With `now`, a monotonic time in seconds, the requests of a segment become long work as soon
        as the oldest running one takes more than `LONG_FACTOR` times the median of the service.
        """
        if any(path.startswith(prefix) for prefix in row.long_prefixes):
            return CallClass.LONG
        durations = self._durations_by_service.get(row.service)
        if durations is None:
            return CallClass.SHORT
        segment_durations = durations.durations_by_segment.get(first_segment(path))
        if segment_durations is None:
            return CallClass.SHORT
        if now is not None and not segment_durations.is_long:
            segment_durations.is_long = self._has_overdue(durations, segment_durations, now)
        return CallClass.LONG if segment_durations.is_long else CallClass.SHORT

    def started(self, ticket: str, service: str, path: str, now: float) -> None:
        """Record the start of a request, so that long work is recognised before it ends."""
        durations = self._durations_by_service.setdefault(service, _ServiceDurations())
        started_at = self._durations_for(durations, first_segment(path)).started_at_by_ticket
        started_at[ticket] = now
        if len(started_at) > SEGMENT_RUNNING_LIMIT:
            del started_at[next(iter(started_at))]

    def discard(self, ticket: str, service: str, path: str) -> None:
        """Forget a request whose duration is not representative, such as a cancelled one."""
        durations = self._durations_by_service.get(service)
        segment_durations = (
            durations.durations_by_segment.get(first_segment(path)) if durations else None
        )
        if segment_durations is not None:
            segment_durations.started_at_by_ticket.pop(ticket, None)

    def observe(self, service: str, path: str, duration_s: float, ticket: str = "") -> None:
        """Update the class of a segment with the duration of one request that ended."""
        durations = self._durations_by_service.setdefault(service, _ServiceDurations())
        self._update_median(durations, duration_s)
        segment_durations = self._durations_for(durations, first_segment(path))
        segment_durations.started_at_by_ticket.pop(ticket, None)
        segment_durations.count += 1
        gain = max(1.0 / segment_durations.count, SEGMENT_GAIN)
        segment_durations.mean_s += gain * (duration_s - segment_durations.mean_s)
        if segment_durations.count < SEGMENT_MIN_SAMPLES:
            return
        factor = STILL_LONG_FACTOR if segment_durations.is_long else LONG_FACTOR
        segment_durations.is_long = segment_durations.mean_s > factor * durations.median_s

    def forget(self, service: str) -> None:
        """Drop what is known about a service whose row was deleted."""
        self._durations_by_service.pop(service, None)

    @staticmethod
    def _has_overdue(
        durations: _ServiceDurations, segment_durations: _SegmentDurations, now: float
    ) -> bool:
        """Tell whether the oldest running request of a segment takes too long for short work."""
        if len(durations.last_durations_s) < MEDIAN_INTERVAL_REQUESTS:
            return False
        limit_s = LONG_FACTOR * durations.median_s
        oldest_started_at = next(iter(segment_durations.started_at_by_ticket.values()), now)
        return now - oldest_started_at > limit_s

    @staticmethod
    def _update_median(durations: _ServiceDurations, duration_s: float) -> None:
        durations.last_durations_s.append(duration_s)
        durations.requests_until_median -= 1
        if durations.requests_until_median <= 0:
            durations.median_s = statistics.median(durations.last_durations_s)
            durations.requests_until_median = min(
                MEDIAN_INTERVAL_REQUESTS, len(durations.last_durations_s)
            )

    @staticmethod
    def _durations_for(durations: _ServiceDurations, segment: str) -> _SegmentDurations:
        """Return the durations of a segment; a new one may replace the least recently used."""
        durations_by_segment = durations.durations_by_segment
        if segment not in durations_by_segment:
            durations_by_segment[segment] = _SegmentDurations()
            if len(durations_by_segment) > SEGMENT_LIMIT:
                durations_by_segment.popitem(last=False)
        durations_by_segment.move_to_end(segment)
        return durations_by_segment[segment]


def first_segment(path: str) -> str:
    """Return the first segment of a path, without the query."""
    return path.partition("?")[0].lstrip("/").partition("/")[0]
