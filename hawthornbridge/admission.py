"""Admission control: bounded queues per class, fair queueing, early refusal and an adaptive concurrency limit."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from hawthornbridge.ids import CallerId, ClassName, ServiceName
from hawthornbridge.model import ClassLimits
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.registry import PluginKind, register

__all__ = ["AdmissionPolicy", "ConcurrencyLimit", "Demand", "FairShareAdmission", "FifoAdmission", "Ticket"]

# Weight of one sample in the moving average of service times, which covers about the last 20 requests.
SAMPLE_WEIGHT = 0.1
# A request's run time is estimated as the mean plus this many mean deviations.
DEVIATION_FACTOR = 2.0
# Factor of the multiplicative decrease of the concurrency limit; its increase is additive.
LIMIT_DECREASE = 0.9
# With a minimum of 2, seven hosts together sent more queries at once than small upstreams could answer in time.
MIN_LIMIT = 1


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe a request to the admission policy; deadline_s is on the clock of anyio.current_time."""

    service: ServiceName
    limits: ClassLimits
    caller: CallerId
    deadline_s: float


@dataclass(eq=False, slots=True)
class Ticket:
    """Permit one request to run; the holder returns it by calling leave."""

    demand: Demand
    started_s: float
    queued_s: float


class AdmissionPolicy(Protocol):
    """Decide which requests run and when; the plug-in kind ADMISSION, created with the highest concurrency."""

    @property
    def load(self) -> float:
        """Return the share of the concurrency in use, above 1 if requests wait."""

    async def enter(self, demand: Demand) -> Ticket | Refusal:
        """Wait until the request may run, or refuse it."""

    def leave(self, ticket: Ticket, *, overloaded: bool = False) -> None:
        """End a request; overloaded tells whether the upstreams showed signs of overload."""


class ConcurrencyLimit:
    """Adapt the number of concurrent requests: decrease on overload, increase while the limit is reached without it.

    A shed, or a query with many late shards, counts as overload. Latency alone is not used, because stragglers or slow
    versions would also lower the limit.
    """

    def __init__(self, highest: int) -> None:
        self._highest = float(highest)
        self._limit = float(highest)
        self._lowered_s = float("-inf")

    @property
    def value(self) -> int:
        """Return the current limit."""
        return int(self._limit)

    def observe(self, now_s: float, service_s: float, *, overloaded: bool, full: bool) -> None:
        """Adapt to one finished request that took service_s."""
        if not overloaded:
            if full:
                self._limit = min(self._highest, self._limit + 1.0 / self._limit)
            return
        # Requests that started before the last decrease do not show whether the lower limit is still too high.
        if now_s - service_s < self._lowered_s:
            return
        self._lowered_s = now_s
        self._limit = max(float(min(MIN_LIMIT, self._highest)), self._limit * LIMIT_DECREASE)


@dataclass(eq=False)
class _Waiter:
    demand: Demand
    since_s: float
    decided: anyio.Event = field(default_factory=anyio.Event)
    outcome: Ticket | Refusal | None = None


class _ServiceTime:
    """Estimate the service time of requests by a moving average and mean deviation."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._deviation_s = 0.0

    @property
    def upper_estimate_s(self) -> float:
        """Return a time that few requests exceed; with the mean alone, half of the requests would be late."""
        return self.mean_s + DEVIATION_FACTOR * self._deviation_s

    def observe(self, sample_s: float) -> None:
        """Add one measured time."""
        if not self.mean_s:
            self.mean_s = sample_s
            return
        self._deviation_s += SAMPLE_WEIGHT * (abs(sample_s - self.mean_s) - self._deviation_s)
        self.mean_s += SAMPLE_WEIGHT * (sample_s - self.mean_s)


class _ClassQueue:
    """Hold the waiting requests of one class, served round-robin by caller, and the class's fair-queueing tag."""

    def __init__(self) -> None:
        self.callers: OrderedDict[CallerId, deque[_Waiter]] = OrderedDict()
        self.length = 0
        self.weight = 1
        self.finish_tag = 0.0
        self.service_time = _ServiceTime()

    def push(self, waiter: _Waiter) -> None:
        """Append a waiting request behind those of its caller."""
        self.callers.setdefault(waiter.demand.caller, deque()).append(waiter)
        self.length += 1

    def pop(self) -> _Waiter:
        """Remove and return the oldest request of the next caller."""
        caller, waiters = next(iter(self.callers.items()))
        waiter = waiters.popleft()
        self.length -= 1
        if waiters:
            self.callers.move_to_end(caller)
        else:
            del self.callers[caller]
        return waiter

    def remove(self, waiter: _Waiter) -> None:
        """Remove a request that no longer waits."""
        waiters = self.callers[waiter.demand.caller]
        waiters.remove(waiter)
        self.length -= 1
        if not waiters:
            del self.callers[waiter.demand.caller]

    def ahead_of(self, caller: CallerId) -> int:
        """Return how many requests are served before a new one of this caller in round-robin order."""
        own = len(self.callers.get(caller, ()))
        others = len(self.callers) - (caller in self.callers)
        return min(self.length, own + (own + 1) * others)

    def displaced_by(self, caller: CallerId) -> _Waiter | None:
        """Return the newest request of the caller with the most waiting, if this caller has at least two fewer."""
        longest = max(self.callers.values(), key=len)
        own = len(self.callers.get(caller, ()))
        return longest[-1] if len(longest) > own + 1 else None


@register(PluginKind.ADMISSION, "fair_share")
class FairShareAdmission:
    """Share the concurrency between classes by weight and between the callers of a class round-robin."""

    def __init__(self, concurrent: int) -> None:
        self._limit = ConcurrencyLimit(concurrent)
        self._running = 0
        self._waiting = 0
        self._virtual = 0.0
        self._service_time = _ServiceTime()
        self._queues: dict[tuple[ServiceName, ClassName], _ClassQueue] = {}

    @property
    def load(self) -> float:
        """Return the share of the concurrency in use, above 1 if requests wait."""
        return (self._running + self._waiting) / self._limit.value

    @property
    def limit(self) -> int:
        """Return how many requests may currently run at once."""
        return self._limit.value

    async def enter(self, demand: Demand) -> Ticket | Refusal:
        """Wait until the class is next, or refuse a request that cannot be done in time."""
        now_s = anyio.current_time()
        if now_s >= demand.deadline_s:
            return _late("the deadline has passed")
        queue = self._queue_of(demand)
        if self._running < self._limit.value and not self._waiting:
            return self._start(queue, demand, now_s, now_s)
        refusal = self._refuse_early(queue, demand, now_s)
        if refusal is not None:
            return refusal
        waiter = _Waiter(demand, now_s)
        if not queue.length:
            queue.finish_tag = max(queue.finish_tag, self._virtual)
        queue.push(waiter)
        self._waiting += 1
        return await self._wait(queue, waiter)

    def leave(self, ticket: Ticket, *, overloaded: bool = False) -> None:
        """End a request and start waiting ones in its place."""
        now_s = anyio.current_time()
        service_s = now_s - ticket.started_s
        queue = self._queue_of(ticket.demand)
        queue.service_time.observe(service_s)
        self._service_time.observe(service_s)
        self._limit.observe(now_s, service_s, overloaded=overloaded, full=self._running >= self._limit.value)
        self._running -= 1
        self._start_waiting(now_s)

    async def _wait(self, queue: _ClassQueue, waiter: _Waiter) -> Ticket | Refusal:
        try:
            with anyio.move_on_after(waiter.demand.deadline_s - anyio.current_time()):
                await waiter.decided.wait()
        except anyio.get_cancelled_exc_class():
            self._withdraw(queue, waiter)
            raise
        outcome = waiter.outcome
        if isinstance(outcome, Refusal):
            return outcome
        if outcome is None or anyio.current_time() >= waiter.demand.deadline_s:
            self._withdraw(queue, waiter)
            return _late("the deadline passed in the queue")
        return outcome

    def _withdraw(self, queue: _ClassQueue, waiter: _Waiter) -> None:
        match waiter.outcome:
            case None:
                queue.remove(waiter)
                self._waiting -= 1
            case Ticket():
                self._running -= 1
                self._start_waiting(anyio.current_time())

    def _start_waiting(self, now_s: float) -> None:
        while self._waiting and self._running < self._limit.value:
            queue = min((each for each in self._queues.values() if each.length), key=lambda each: each.finish_tag)
            waiter = queue.pop()
            self._waiting -= 1
            if now_s + queue.service_time.upper_estimate_s > waiter.demand.deadline_s:
                waiter.outcome = _late("too little time was left after the wait in the queue")
            else:
                waiter.outcome = self._start(queue, waiter.demand, now_s, waiter.since_s)
            waiter.decided.set()

    def _start(self, queue: _ClassQueue, demand: Demand, now_s: float, since_s: float) -> Ticket:
        # Start-time fair queueing: an idle class restarts at the current virtual time and accumulates no credit.
        self._virtual = max(queue.finish_tag, self._virtual)
        queue.finish_tag = self._virtual + 1.0 / queue.weight
        self._running += 1
        return Ticket(demand, now_s, now_s - since_s)

    def _refuse_early(self, queue: _ClassQueue, demand: Demand, now_s: float) -> Refusal | None:
        # A request that finds a free slot always starts and is measured, so a wrong estimate is corrected in time.
        weights = sum(each.weight for each in self._queues.values() if each.length or each is queue)
        rate = self._limit.value * queue.weight / weights
        wait_s = (queue.ahead_of(demand.caller) + 1) * self._service_time.mean_s / rate
        if now_s + wait_s + queue.service_time.upper_estimate_s > demand.deadline_s:
            return _overloaded(f"the estimated wait in the queue is {wait_s * 1_000:.0f} ms")
        if queue.length < demand.limits.queue_length:
            return None
        displaced = queue.displaced_by(demand.caller)
        if displaced is None:
            return _overloaded("the queue of the class is full")
        queue.remove(displaced)
        self._waiting -= 1
        displaced.outcome = _overloaded("the caller has too many requests in the queue of the class")
        displaced.decided.set()
        return None

    def _queue_of(self, demand: Demand) -> _ClassQueue:
        key = (demand.service, demand.limits.name)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _ClassQueue()
        queue.weight = demand.limits.weight
        return queue


@register(PluginKind.ADMISSION, "fifo")
class FifoAdmission:
    """Queue all requests without a limit in order of arrival; the naive baseline."""

    def __init__(self, concurrent: int) -> None:
        self._concurrent = concurrent
        self._slots = anyio.Semaphore(concurrent)

    @property
    def load(self) -> float:
        """Return the share of the concurrency in use, above 1 if requests wait."""
        return (self._concurrent - self._slots.value + self._slots.statistics().tasks_waiting) / self._concurrent

    async def enter(self, demand: Demand) -> Ticket | Refusal:
        """Wait for a slot, however long it takes."""
        since_s = anyio.current_time()
        await self._slots.acquire()
        now_s = anyio.current_time()
        return Ticket(demand, now_s, now_s - since_s)

    def leave(self, ticket: Ticket, *, overloaded: bool = False) -> None:
        """Free the slot of a request."""
        self._slots.release()


def _late(detail: str) -> Refusal:
    return Refusal(RefusalKind.DEADLINE, Execution.NOT_RUN, detail, "deadline_ms")


def _overloaded(detail: str) -> Refusal:
    return Refusal(RefusalKind.OVERLOADED, Execution.NOT_RUN, detail)
