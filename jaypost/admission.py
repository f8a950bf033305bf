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
ROUNDING = 1e-9
COMPACT_FACTOR = 2
DEVIATION_FACTOR = 2.0
# A less urgent request that came to a target within this time, in seconds, would get the slot that
# a more urgent one is refused.
LESS_URGENT_MEMORY_S = 1.0
# Another host probably sends a large response sooner than one whose link is busy for this long, in
# seconds.
LINK_WAIT_S = 0.25
USUAL_GAIN = 1 / 256
RECENT_GAIN = 1 / 4
# One request of unrecognised long work moves the pace by at most
# PACE_GAIN * (DURATION_CAP_FACTOR - 1), which stays below SLOW_FACTOR - 1.
PACE_GAIN = 1 / 6
DURATION_CAP_FACTOR = 8.0
SLOW_FACTOR = 3.0
STILL_SLOW_FACTOR = 1.5
SLOW_SLOTS_FRACTION = 0.2
# What a target told about its present durations holds for this time, in seconds.
TOLD_MEMORY_S = 1.0
LONG_FACTOR = 8.0
STILL_LONG_FACTOR = 4.0
PREFIX_SAMPLES = 5
RUNNING_LIMIT = 1024
PREFIX_GAIN = 1 / 16
PREFIX_LIMIT = 64
MEDIAN_WINDOW = 101
MEDIAN_INTERVAL = 16


class CallClass(StrEnum):
    """Class of a request by its expected length."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Admit:
    """Ask for a slot of a target.

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
        Monotonic time in seconds at which the request is worthless.
    may_queue : bool
        Whether the request may wait for a slot.
    now : float
        Monotonic time in seconds.
    priority : int
        Rank in the queue; 0 goes first.
    answer_by : float
        Monotonic time in seconds up to which an answer is worth most; a request that cannot have
        it by then does not wait.
    transfer_s : float
        Time in seconds that the response is expected to occupy the link of the host; 0 when it is
        small.
    link_wait_s : float
        Time in seconds until the link is free of the responses before this one.
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
    def due(self) -> float:
        """Time by which the request must be answered to be worth waiting for."""
        return min(self.deadline, self.answer_by)

    @property
    def rank(self) -> tuple[int, float]:
        """Order in the queue of a tenant."""
        return (self.priority, self.due)


@dataclass(frozen=True, slots=True)
class Release:
    """The request of a ticket ended; `service_s` is the time it held its slot."""

    ticket: str
    service_s: float
    now: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller of a queued request gave up."""

    ticket: str
    now: float


@dataclass(frozen=True, slots=True)
class SetTargets:
    """The targets of the host changed."""

    targets: tuple[Target, ...]
    now: float


@dataclass(frozen=True, slots=True)
class ToldDuration:
    """A target told how long its work takes now, as a multiple of the usual duration."""

    target_id: str
    factor: float
    now: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed: queued requests whose deadline can no longer be met are refused."""

    now: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds a slot until its `Release`."""

    ticket: str
    load: Load


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; a later `Decision` names its ticket."""

    ticket: str
    load: Load


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not and will not be run."""

    ticket: str
    kind: ErrorKind
    load: Load


Decision = Admitted | Queued | Refused
Message = Admit | Release | Cancel | SetTargets | ToldDuration | Tick


@dataclass(slots=True)
class _Waiting:
    """A queued request."""

    message: Admit
    order: int
    live: bool = True


@dataclass(slots=True)
class _Running:
    """A request that holds a slot."""

    target_id: str
    service: str
    call_class: CallClass


# Rank, order of arrival and the request.
_HeapEntry = tuple[tuple[int, float], int, _Waiting]


@dataclass(slots=True)
class _TenantQueue:
    """Queued requests of one tenant, by priority and then deadline in each class."""

    share: int
    finish: float
    heap_by_class: dict[CallClass, list[_HeapEntry]]
    waiting: int = 0


@dataclass(slots=True)
class _Durations:
    """Durations of the requests of one class: the usual one and the recent one, in seconds."""

    usual_s: float = 0.0
    recent_s: float = 0.0
    deviation_s: float = 0.0

    @property
    def likely_s(self) -> float:
        """Time left below which a request would probably hold a slot and still end too late."""
        return self.recent_s + self.deviation_s

    @property
    def safe_s(self) -> float:
        """Time in which most requests end: the recent mean and twice the mean deviation."""
        return self.recent_s + DEVIATION_FACTOR * self.deviation_s

    def learn(self, duration_s: float) -> None:
        """Take the duration of one request into account."""
        if not self.usual_s:
            self.usual_s = self.recent_s = duration_s
            return
        capped_s = min(duration_s, DURATION_CAP_FACTOR * self.usual_s)
        self.deviation_s += USUAL_GAIN * (abs(capped_s - self.usual_s) - self.deviation_s)
        self.usual_s += USUAL_GAIN * (capped_s - self.usual_s)
        self.recent_s += RECENT_GAIN * (capped_s - self.recent_s)


class _Pace:
    """Recent mean duration of short work, from the busy time between two ends.

    The busy time grows while requests run, so a target that becomes slow or freezes is noticed
    before its first slow request ends.
    """

    def __init__(self) -> None:
        self.running = 0
        self._mean_s = 0.0
        self._busy_s = 0.0
        self._at = 0.0

    def mean_s(self, now: float) -> float:
        """Return the mean duration, with the busy time since the last end."""
        busy_s = self._busy_s + self.running * max(0.0, now - self._at)
        return max(self._mean_s, self._mean_s + PACE_GAIN * (busy_s - self._mean_s))

    def started(self, now: float) -> None:
        """Take the start of a request into account."""
        self._advance(now)
        self.running += 1

    def ended(self, now: float, usual_s: float) -> None:
        """Take the end of a request into account."""
        self._advance(now)
        self.running -= 1
        busy_s = min(self._busy_s, DURATION_CAP_FACTOR * usual_s)
        self._mean_s += PACE_GAIN * (busy_s - self._mean_s)
        self._busy_s = 0.0

    def _advance(self, now: float) -> None:
        self._busy_s += self.running * max(0.0, now - self._at)
        self._at = max(self._at, now)


class _TargetQueue:
    """Slots and queue of one target.

    Between tenants the queue is self-clocked fair: a tenant that starts to wait takes the finish
    tag of the last request served, so nothing is kept for tenants that do not wait.
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
        self.pace = _Pace()
        self.slow = False
        self._told_factor = 1.0
        self._told_at = -math.inf
        self._clock = 0.0
        self._queue_by_tenant: dict[str, _TenantQueue] = {}
        self._asked_at_by_priority: dict[int, float] = {}

    @property
    def load(self) -> Load:
        """Load as it is reported to ingress nodes."""
        return Load(self.busy, self.offered_slots, self.queued)

    @property
    def offered_slots(self) -> int:
        """Slots for requests that may not queue; few while the target is slow.

        The node of the target sees its pace at once, while hundreds of ingress nodes would each
        need several slow answers. Requests that may queue still get every slot. What the target
        tells is exact, while a few long requests in a row look like a slow target.
        """
        if self.now - self._told_at <= TOLD_MEMORY_S:
            return max(1, round(self.target.slots / max(1.0, self._told_factor)))
        if not self.slow:
            return self.target.slots
        return max(1, int(self.target.slots * SLOW_SLOTS_FRACTION))

    def told(self, message: ToldDuration) -> None:
        """Take what the target told into account."""
        self._told_factor, self._told_at = message.factor, message.now

    def judge_pace(self) -> None:
        """Decide whether the target is slow compared with its usual durations."""
        usual_s = self.durations_by_class[CallClass.SHORT].usual_s
        factor = STILL_SLOW_FACTOR if self.slow else SLOW_FACTOR
        self.slow = usual_s > 0.0 and self.pace.mean_s(self.now) > factor * usual_s

    def long_slots(self) -> int:
        """Return how many slots long work may hold."""
        reserve = self.row.short_reserve if self.row is not None else 0.0
        return max(1, math.floor(self.target.slots * (1.0 - reserve) + ROUNDING))

    def has_slot(self, call_class: CallClass) -> bool:
        """Tell whether a request of the class may start now."""
        if self.busy >= self.target.slots:
            return False
        return call_class is CallClass.SHORT or self.long_busy < self.long_slots()

    def take(self, call_class: CallClass) -> None:
        """Take a slot."""
        self.busy += 1
        if call_class is CallClass.SHORT:
            self.pace.started(self.now)
        check(self.busy <= self.target.slots, "admission_slots", target=self.target.target_id)
        if call_class is CallClass.LONG:
            self.long_busy += 1
            check(self.long_busy <= self.long_slots(), "admission_reserve", busy=self.long_busy)

    def give_back(self, call_class: CallClass, service_s: float) -> None:
        """Free a slot."""
        self.busy -= 1
        self.long_busy -= call_class is CallClass.LONG
        durations = self.durations_by_class[call_class]
        durations.learn(service_s)
        if call_class is CallClass.SHORT:
            self.pace.ended(self.now, durations.usual_s)
            self.judge_pace()
        check(self.busy >= 0 and self.long_busy >= 0, "admission_release", busy=self.busy)

    def expected_s(self, call_class: CallClass) -> float:
        """Return the expected duration of a request."""
        return self.durations_by_class[call_class].recent_s

    def asked(self, message: Admit) -> None:
        """Note the rank of a request."""
        self._asked_at_by_priority[message.priority] = message.now

    def is_urgent(self, message: Admit, now: float) -> bool:
        """Tell whether less urgent requests come to this target, too."""
        return any(
            priority > message.priority and now - asked_at <= LESS_URGENT_MEMORY_S
            for priority, asked_at in self._asked_at_by_priority.items()
        )

    def link_refusal(self, message: Admit) -> ErrorKind | None:
        """Return why the link of the host cannot take the response to a request, if so."""
        if not message.transfer_s or not message.link_wait_s:
            return None
        if not message.may_queue:
            return ErrorKind.LINK_FULL if message.link_wait_s > LINK_WAIT_S else None
        run_s = self.expected_s(message.call_class)
        answered_at = message.now + max(message.link_wait_s, run_s) + message.transfer_s
        return ErrorKind.DEADLINE_TOO_SHORT if answered_at > message.due else None

    def needed_s(self, message: Admit, now: float) -> float:
        """Return the time that must be left for a request to be queued behind its wait.

        The least urgent requests need most of the chance to end in time, or they would hold a slot
        for nothing. A refused urgent request leaves its slot to a less urgent one, so an even
        chance is enough for it.
        """
        if self.is_urgent(message, now):
            return self._even_s(message.call_class)
        return self.durations_by_class[message.call_class].safe_s

    def least_s(self, message: Admit, now: float) -> float:
        """Return the time left below which a queued request gives up its place."""
        if self.is_urgent(message, now):
            return self._even_s(message.call_class)
        return self.durations_by_class[message.call_class].likely_s

    def _even_s(self, call_class: CallClass) -> float:
        """Return the time in which about half of the requests end.

        One long request raises the recent duration, but only a slow target raises the pace.
        """
        durations = self.durations_by_class[call_class]
        if self.slow:
            return durations.recent_s
        return min(durations.recent_s, durations.usual_s)

    def estimated_wait_s(self, message: Admit) -> float:
        """Return the time that the request would wait for a slot.

        A tenant waits for its own requests with earlier deadlines, at the rate of its share, but
        never for more than everything that is queued.
        """
        call_class = message.call_class
        slots = self.target.slots if call_class is CallClass.SHORT else self.long_slots()
        interval_s = self.expected_s(call_class) / slots
        ahead = self.queued_by_class[call_class]
        tenant_queue = self._queue_by_tenant.get(message.tenant)
        if tenant_queue is None:
            own, share = 0, _share(message.row, message.tenant)
            total = share + sum(queue.share for queue in self._queue_by_tenant.values())
        else:
            heap = tenant_queue.heap_by_class[call_class]
            own = sum(1 for rank, _, item in heap if item.live and rank <= message.rank)
            share = tenant_queue.share
            total = sum(queue.share for queue in self._queue_by_tenant.values())
        fair = (own + 1) * total / share
        return min(fair, ahead + 1) * interval_s

    def push(self, item: _Waiting) -> None:
        """Add a request to the queue."""
        message = item.message
        queue = self._queue_by_tenant.get(message.tenant)
        if queue is None:
            heaps: dict[CallClass, list[_HeapEntry]]
            heaps = {call_class: [] for call_class in CallClass}
            share = _share(message.row, message.tenant)
            queue = _TenantQueue(share, self._clock, heaps)
            self._queue_by_tenant[message.tenant] = queue
        heapq.heappush(queue.heap_by_class[message.call_class], (message.rank, item.order, item))
        queue.waiting += 1
        self.queued += 1
        self.queued_by_class[message.call_class] += 1

    def remove(self, item: _Waiting) -> None:
        """Take a request out of the queue."""
        item.live = False
        message = item.message
        self.queued -= 1
        self.queued_by_class[message.call_class] -= 1
        queue = self._queue_by_tenant[message.tenant]
        queue.waiting -= 1
        if not queue.waiting:
            del self._queue_by_tenant[message.tenant]
            return
        heap = queue.heap_by_class[message.call_class]
        if len(heap) > COMPACT_FACTOR * queue.waiting:
            heap[:] = [entry for entry in heap if entry[2].live]
            heapq.heapify(heap)

    def pop(self) -> _Waiting | None:
        """Take the next request that a free slot may run out of the queue."""
        classes = [item for item in CallClass if self.queued_by_class[item] and self.has_slot(item)]
        if not classes:
            return None
        best: tuple[float, tuple[int, float], int] | None = None
        chosen: tuple[_TenantQueue, _Waiting] | None = None
        for queue in self._queue_by_tenant.values():
            head = self._head(queue, classes)
            if head is None:
                continue
            charge = self._charge(head) / queue.share
            # A tenant whose long work could not run must not take later short slots for it.
            finish = max(queue.finish + charge, self._clock)
            rank = (finish, head.message.rank, head.order)
            if best is None or rank < best:
                best, chosen = rank, (queue, head)
        if best is None or chosen is None:
            return None
        queue, head = chosen
        queue.finish = best[0]
        self._clock = max(self._clock, best[0])
        self.remove(head)
        return head

    def expired(self, now: float) -> list[_Waiting]:
        """Take the requests that can no longer end before their deadline out of the queue."""
        late = []
        for item in self.all_waiting():
            if item.message.due <= now + self.least_s(item.message, now):
                self.remove(item)
                late.append(item)
        return late

    def push_out(self, message: Admit) -> _Waiting | None:
        """Make room for a tenant that has less of the full queue than the largest user of it."""
        largest = max(self._queue_by_tenant.values(), key=lambda queue: queue.waiting / queue.share)
        own = self._queue_by_tenant.get(message.tenant)
        own_waiting = own.waiting if own is not None else 0
        share = _share(message.row, message.tenant)
        if (own_waiting + 1) / share >= largest.waiting / largest.share:
            return None
        entries = [entry for heap in largest.heap_by_class.values() for entry in heap]
        _, _, last = max(entry for entry in entries if entry[2].live)
        self.remove(last)
        return last

    def all_waiting(self) -> list[_Waiting]:
        """Return every queued request."""
        return [
            item
            for queue in self._queue_by_tenant.values()
            for heap in queue.heap_by_class.values()
            for _, _, item in heap
            if item.live
        ]

    def _charge(self, item: _Waiting) -> float:
        if item.message.call_class is CallClass.SHORT:
            return 1.0
        short_s = self.durations_by_class[CallClass.SHORT].usual_s
        long_s = self.durations_by_class[CallClass.LONG].usual_s
        return max(1.0, long_s / short_s) if short_s else 1.0

    @staticmethod
    def _head(queue: _TenantQueue, classes: list[CallClass]) -> _Waiting | None:
        heads = []
        for call_class in classes:
            heap = queue.heap_by_class[call_class]
            while heap and not heap[0][2].live:
                heapq.heappop(heap)
            if heap:
                heads.append(heap[0])
        return min(heads)[2] if heads else None


def _expiry_kind(message: Admit, now: float) -> ErrorKind:
    """Return why a request leaves the queue: its time is over, or too little of it is left."""
    if message.deadline <= now:
        return ErrorKind.DEADLINE_EXCEEDED
    return ErrorKind.DEADLINE_TOO_SHORT


def _share(row: Row, tenant: str) -> int:
    for item in row.tenant_shares:
        if item.tenant == tenant:
            return item.share
    return 1


class Admission:
    """Owner of the slots and queues of all targets of the host."""

    def __init__(self) -> None:
        self._queue_by_target: dict[str, _TargetQueue] = {}
        self._running_by_ticket: dict[str, _Running] = {}
        self._waiting_by_ticket: dict[str, _Waiting] = {}
        self._orders = itertools.count()

    @singledispatchmethod
    def handle(self, message: Message) -> tuple[Decision, ...]:
        """Apply `message` and return the decisions it brought about, for any ticket."""
        raise TypeError(f"unknown message {message!r}")

    def load(self, target_id: str) -> Load:
        """Return the load of a target."""
        queue = self._queue_by_target.get(target_id)
        return queue.load if queue is not None else NO_LOAD

    @handle.register
    def _admit(self, message: Admit) -> tuple[Decision, ...]:
        ticket = message.ticket
        known = ticket in self._running_by_ticket or ticket in self._waiting_by_ticket
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
        queue.asked(message)
        link_kind = queue.link_refusal(message)
        if link_kind is not None:
            return (Refused(ticket, link_kind, queue.load),)
        if queue.has_slot(message.call_class):
            queue.judge_pace()
            if not message.may_queue and queue.busy >= queue.offered_slots:
                return (Refused(ticket, ErrorKind.SLOTS_FULL, queue.load),)
            return (self._start(queue, message),)
        if not message.may_queue:
            return (Refused(ticket, ErrorKind.SLOTS_FULL, queue.load),)
        return self._wait(queue, message)

    @handle.register
    def _release(self, message: Release) -> tuple[Decision, ...]:
        running = self._running_by_ticket.pop(message.ticket, None)
        if not check(running is not None, "admission_release_unknown", ticket=message.ticket):
            return ()
        assert running is not None
        queue = self._queue_by_target[running.target_id]
        queue.now = max(queue.now, message.now)
        queue.give_back(running.call_class, message.service_s)
        if queue.target.state is TargetState.GONE and not queue.busy:
            del self._queue_by_target[running.target_id]
            return ()
        return self._grant(queue, message.now)

    @handle.register
    def _cancel(self, message: Cancel) -> tuple[Decision, ...]:
        item = self._waiting_by_ticket.pop(message.ticket, None)
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
            decisions += self._update(queue, target, message.now)
        for target_id, target in target_by_id.items():
            if target_id not in self._queue_by_target and target.state is not TargetState.GONE:
                self._queue_by_target[target_id] = _TargetQueue(target, message.now)
        return tuple(decisions)

    @handle.register
    def _told_duration(self, message: ToldDuration) -> tuple[Decision, ...]:
        queue = self._queue_by_target.get(message.target_id)
        if queue is not None:
            queue.now = max(queue.now, message.now)
            queue.told(message)
        return ()

    @handle.register
    def _tick(self, message: Tick) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        for queue in self._queue_by_target.values():
            queue.now = max(queue.now, message.now)
            decisions += self._grant(queue, message.now)
        return tuple(decisions)

    def _start(self, queue: _TargetQueue, message: Admit) -> Admitted:
        queue.take(message.call_class)
        self._running_by_ticket[message.ticket] = _Running(
            message.target_id, message.row.service, message.call_class
        )
        return Admitted(message.ticket, queue.load)

    def _wait(self, queue: _TargetQueue, message: Admit) -> tuple[Decision, ...]:
        wait_s = queue.estimated_wait_s(message)
        needed_s = wait_s + queue.needed_s(message, message.now)
        if message.now + needed_s > message.due:
            return (Refused(message.ticket, ErrorKind.DEADLINE_TOO_SHORT, queue.load),)
        decisions: list[Decision] = self._refuse_expired(queue, message.now)
        if queue.queued >= message.row.queue_limit:
            removed = queue.push_out(message) if queue.queued else None
            if removed is None:
                refused = Refused(message.ticket, ErrorKind.QUEUE_FULL, queue.load)
                return (*decisions, refused)
            decisions.append(self._refuse(queue, removed, ErrorKind.QUEUE_FULL))
        item = _Waiting(message, next(self._orders))
        queue.push(item)
        self._waiting_by_ticket[message.ticket] = item
        return (*decisions, Queued(message.ticket, queue.load))

    def _grant(self, queue: _TargetQueue, now: float) -> tuple[Decision, ...]:
        decisions: list[Decision] = self._refuse_expired(queue, now)
        while (item := queue.pop()) is not None:
            del self._waiting_by_ticket[item.message.ticket]
            decisions.append(self._start(queue, item.message))
        return tuple(decisions)

    def _refuse_expired(self, queue: _TargetQueue, now: float) -> list[Decision]:
        return [
            self._refuse(queue, item, _expiry_kind(item.message, now))
            for item in queue.expired(now)
        ]

    def _refuse(self, queue: _TargetQueue, item: _Waiting, kind: ErrorKind) -> Refused:
        del self._waiting_by_ticket[item.message.ticket]
        return Refused(item.message.ticket, kind, queue.load)

    def _update(self, queue: _TargetQueue, target: Target, now: float) -> list[Decision]:
        queue.target = target
        queue.now = max(queue.now, now)
        if target.state is not TargetState.GONE:
            return list(self._grant(queue, now))
        decisions: list[Decision] = []
        for item in queue.all_waiting():
            queue.remove(item)
            decisions.append(self._refuse(queue, item, ErrorKind.DRAINING))
        if not queue.busy:
            del self._queue_by_target[target.target_id]
        return decisions


@dataclass(slots=True)
class _PrefixDurations:
    """Durations of the requests under one path prefix."""

    mean_s: float = 0.0
    count: int = 0
    is_long: bool = False
    started_by_ticket: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _ServiceDurations:
    """Durations of the requests of one service."""

    recent_s: deque[float] = field(default_factory=lambda: deque(maxlen=MEDIAN_WINDOW))
    median_s: float = 0.0
    until_median: int = 0
    prefix_by_path: OrderedDict[str, _PrefixDurations] = field(default_factory=OrderedDict)


class LongWork:
    """Classifies requests by the prefixes of the row and by the durations observed."""

    def __init__(self) -> None:
        self._durations_by_service: dict[str, _ServiceDurations] = {}

    def classify(self, row: Row, path: str, now: float | None = None) -> CallClass:
        """Return the class of a request; with `now`, running requests are taken into account."""
        if any(path.startswith(prefix) for prefix in row.long_prefixes):
            return CallClass.LONG
        service = self._durations_by_service.get(row.service)
        if service is None:
            return CallClass.SHORT
        prefix = service.prefix_by_path.get(path_prefix(path))
        if prefix is None:
            return CallClass.SHORT
        if now is not None and not prefix.is_long:
            prefix.is_long = self._has_overdue(service, prefix, now)
        return CallClass.LONG if prefix.is_long else CallClass.SHORT

    def started(self, ticket: str, service: str, path: str, now: float) -> None:
        """Take the start of a request into account, so that long work shows before it ends."""
        durations = self._durations_by_service.setdefault(service, _ServiceDurations())
        running = self._prefix(durations, path_prefix(path)).started_by_ticket
        running[ticket] = now
        if len(running) > RUNNING_LIMIT:
            del running[next(iter(running))]

    def abandoned(self, ticket: str, service: str, path: str) -> None:
        """Forget a request whose duration says nothing, because it was cancelled."""
        durations = self._durations_by_service.get(service)
        prefix = durations.prefix_by_path.get(path_prefix(path)) if durations else None
        if prefix is not None:
            prefix.started_by_ticket.pop(ticket, None)

    def observe(self, service: str, path: str, duration_s: float, ticket: str = "") -> None:
        """Take the duration of one request into account."""
        durations = self._durations_by_service.setdefault(service, _ServiceDurations())
        self._learn_median(durations, duration_s)
        prefix = self._prefix(durations, path_prefix(path))
        prefix.started_by_ticket.pop(ticket, None)
        prefix.count += 1
        gain = max(1.0 / prefix.count, PREFIX_GAIN)
        prefix.mean_s += gain * (duration_s - prefix.mean_s)
        if prefix.count < PREFIX_SAMPLES:
            return
        factor = STILL_LONG_FACTOR if prefix.is_long else LONG_FACTOR
        prefix.is_long = prefix.mean_s > factor * durations.median_s

    def forget(self, service: str) -> None:
        """Drop what is known about a service whose row was deleted."""
        self._durations_by_service.pop(service, None)

    @staticmethod
    def _has_overdue(durations: _ServiceDurations, prefix: _PrefixDurations, now: float) -> bool:
        if len(durations.recent_s) < MEDIAN_INTERVAL:
            return False
        limit_s = LONG_FACTOR * durations.median_s
        oldest = next(iter(prefix.started_by_ticket.values()), now)
        return now - oldest > limit_s

    @staticmethod
    def _learn_median(durations: _ServiceDurations, duration_s: float) -> None:
        durations.recent_s.append(duration_s)
        durations.until_median -= 1
        if durations.until_median <= 0:
            durations.median_s = statistics.median(durations.recent_s)
            durations.until_median = min(MEDIAN_INTERVAL, len(durations.recent_s))

    @staticmethod
    def _prefix(durations: _ServiceDurations, prefix: str) -> _PrefixDurations:
        known = durations.prefix_by_path
        if prefix not in known:
            known[prefix] = _PrefixDurations()
            if len(known) > PREFIX_LIMIT:
                known.popitem(last=False)
        known.move_to_end(prefix)
        return known[prefix]


def path_prefix(path: str) -> str:
    """Return the first segment of a path, without the query."""
    return path.partition("?")[0].lstrip("/").partition("/")[0]
