"""Admission control: bounded queues per class, fair queueing, early refusal and an adaptive concurrency limit."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf
from typing import Protocol, TypeAlias, cast

import anyio

from hawthornbridge.classqueues import ClassQueue, ClassShare, ServiceTime, Waiter
from hawthornbridge.ids import ClassName, ServiceName
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.registry import PluginKind, register
from hawthornbridge.room import ConcurrencyLimit, ConcurrencyRoom, Demand, Room

__all__ = [
    "AdmissionPolicy",
    "ConcurrencyLimit",
    "ConcurrencyRoom",
    "Demand",
    "FairShareAdmission",
    "FifoAdmission",
    "Room",
    "Ticket",
]

# Callers follow a Retry-After up to this share of the time that they have left.
RETRY_AFTER_SHARE = 1.0 / 3.0
MIN_RETRY_AFTER_S = 0.01
# The first request of a burst is promised a place within this share of that time, so that the others find theirs.
FIRST_PLACE_SHARE = 0.5
# Places get closer to each other, down to this share of what is left of that time, so that callers stay in order.
CLOSEST_PLACE_SHARE = 1.0 / 16.0
# Service time of a class without any sample, as a share of the time to the objective.
INITIAL_OBJECTIVE_SHARE = 0.2
# Least share of a class's room that its requests which miss their objective are expected to get.
LEAST_LATE_SHARE = 1.0 / 64.0


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


_Queue: TypeAlias = ClassQueue["Ticket | Refusal"]


@dataclass(eq=False, slots=True)
class _Waiter(Waiter["Ticket | Refusal"]):
    demand: Demand = field(kw_only=True)
    queue: _Queue = field(kw_only=True)


@register(PluginKind.ADMISSION, "fair_share")
class FairShareAdmission:
    """Share the room between classes by weight and between the callers of a class round-robin."""

    def __init__(self, room: Room | int, clock: Callable[[], float] = anyio.current_time) -> None:
        """Create an admission for a room, or for a concurrency limit with this highest value."""
        self._room: Room = ConcurrencyRoom(ConcurrencyLimit(room)) if isinstance(room, int) else room
        self._clock = clock
        self._waiting = 0
        self._virtual = 0.0
        self._service_time = ServiceTime()
        self._shares: dict[tuple[ServiceName, ClassName], ClassShare] = {}
        # By service, class and whether the requests miss their objectives.
        self._queues: dict[tuple[ServiceName, ClassName, bool], _Queue] = {}
        # The last place that a refused request was told to return for.
        self._promised_s = -inf

    @property
    def load(self) -> float:
        """Return the share of the room in use, above 1 if requests wait."""
        return self._room.load + self._waiting / self._room.concurrency

    @property
    def limit(self) -> int:
        """Return how many requests may currently run at once."""
        return self._room.concurrency

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return self._waiting

    def waiting_by_class(self) -> Iterator[tuple[ClassName, int]]:
        """Yield the number of waiting requests of each class."""
        for (_, name), share in self._shares.items():
            yield name, share.waiting

    def yields(self, weight: int) -> bool:
        """Return whether extra work of a class with this weight has to wait for requests at least as urgent."""
        return bool(self._waiting) and any(share.waiting and share.weight >= weight for share in self._shares.values())

    def try_enter(self, demand: Demand) -> Ticket | None:
        """Return the ticket of a request that may run at once, or None."""
        if self._waiting or not self._room.fits(demand):
            return None
        now_s = self._clock()
        return self._start(self._queue_of(demand, is_late=False), demand, now_s, now_s)

    async def enter(self, demand: Demand) -> Ticket | Refusal:
        """Wait until the class is next, or refuse a request that cannot be done in time."""
        now_s = self._clock()
        if now_s >= demand.deadline_s:
            return _late("the deadline has passed")
        # Room may have come since the last look for it.
        self.start_waiting()
        ticket = self.try_enter(demand)
        if ticket is not None:
            return ticket
        queue = self._queue_of(demand, is_late=self._is_late(demand, now_s))
        refusal = self._refuse_early(queue, demand, now_s)
        if refusal is not None:
            return refusal
        waiter = _Waiter(demand.caller, demand.deadline_s, now_s, demand=demand, queue=queue)
        self._push(queue, waiter)
        self._waiting += 1
        return await self._wait(waiter)

    def leave(self, ticket: Ticket, *, overloaded: bool = False) -> None:
        """End a request and start waiting ones in its place."""
        now_s = self._clock()
        service_s = now_s - ticket.started_s
        self._queue_of(ticket.demand, is_late=False).share.service_time.observe(service_s)
        self._service_time.observe(service_s)
        self._room.finish(now_s, service_s, overloaded=overloaded)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start the waiting requests for which there is room."""
        now_s = self._clock()
        while self._waiting:
            waiting = [queue for queue in self._queues.values() if queue.length]
            highest = max(queue.share.weight for queue in waiting)
            for queue in sorted(waiting, key=_turn):
                # While a more urgent request waits too, the shares of the classes decide alone.
                keeps_reserve = queue.share.weight >= highest
                if self._room.fits(cast(_Waiter, queue.head).demand, keeps_reserve=keeps_reserve):
                    break
            else:
                return
            self._decide(cast(_Waiter, queue.pop()), now_s)

    def _decide(self, waiter: _Waiter, now_s: float) -> None:
        queue, demand = waiter.queue, waiter.demand
        if now_s + queue.share.service_time.upper_estimate_s > demand.deadline_s:
            waiter.outcome = self._too_late(demand, now_s)
        elif not queue.is_late and self._misses_objective(queue, demand, now_s):
            waiter.queue = self._queue_of(demand, is_late=True)
            self._push(waiter.queue, waiter)
            return
        else:
            waiter.outcome = self._start(queue, demand, now_s, waiter.since_s)
            self._room.expect(1)
        self._waiting -= 1
        waiter.decided.set()

    async def _wait(self, waiter: _Waiter) -> Ticket | Refusal:
        try:
            while waiter.outcome is None:
                now_s = self._clock()
                latest_s = waiter.deadline_s - waiter.queue.share.service_time.upper_estimate_s
                if now_s >= latest_s:
                    break
                # Each waiting request looks for room in turn, which together makes one look in each poll_s.
                with anyio.move_on_after(min(latest_s - now_s, self._room.poll_s * self._waiting)):
                    await waiter.decided.wait()
                if waiter.outcome is None:
                    self.start_waiting()
        except anyio.get_cancelled_exc_class():
            self._withdraw(waiter)
            raise
        outcome = waiter.outcome
        if isinstance(outcome, Refusal):
            return outcome
        if outcome is None or self._clock() >= waiter.deadline_s:
            self._withdraw(waiter)
            return self._too_late(waiter.demand, self._clock())
        self._room.expect(-1)
        return outcome

    def _withdraw(self, waiter: _Waiter) -> None:
        match waiter.outcome:
            case None:
                waiter.queue.remove(waiter)
                self._waiting -= 1
            case Ticket():
                self._room.expect(-1)
                self._room.withdraw()
                self.start_waiting()

    def _push(self, queue: _Queue, waiter: _Waiter) -> None:
        share = queue.share
        if not queue.is_late:
            share.contended_since_s = min(share.contended_since_s, self._clock())
        if not share.waiting:
            share.finish_tag = max(share.finish_tag, self._virtual)
        queue.push(waiter)

    def _start(self, queue: _Queue, demand: Demand, now_s: float, since_s: float) -> Ticket:
        # Start-time fair queueing: an idle class restarts at the current virtual time and accumulates no credit.
        self._virtual = max(queue.share.finish_tag, self._virtual)
        queue.share.finish_tag = self._virtual + 1.0 / queue.share.weight
        self._room.start()
        return Ticket(demand, now_s, now_s - since_s)

    def _is_late(self, demand: Demand, now_s: float) -> bool:
        """Return whether a request that has to wait is expected to miss its objective."""
        if demand.objective_s is None:
            return False
        queue = self._queue_of(demand, is_late=False)
        return self._misses_objective(queue, demand, now_s + self._wait_s(queue, demand))

    def _misses_objective(self, queue: _Queue, demand: Demand, start_s: float) -> bool:
        return demand.objective_s is not None and start_s + queue.share.service_time.likely_s > demand.objective_s

    def _wait_s(self, queue: _Queue, demand: Demand) -> float:
        """Return the estimated wait of a new request in a queue."""
        own = queue.share
        weights = sum(share.weight for share in self._shares.values() if share.waiting or share is own)
        rate = self._room.concurrency * own.weight / weights
        ahead = queue.ahead_of(demand.caller, demand.deadline_s) + 1
        if queue.is_late:
            # Requests that can meet their objective go first. That they will wait for as long as this one can is the
            # more likely, the longer they have waited so far.
            now_s = self._clock()
            lasting = max(0.0, now_s - own.contended_since_s) / (demand.deadline_s - now_s)
            rate *= max(LEAST_LATE_SHARE, 1.0 - lasting)
            ahead += own.waiting - queue.length
        return ahead * self._service_time.mean_s / rate

    def _refuse_early(self, queue: _Queue, demand: Demand, now_s: float) -> Refusal | None:
        # A request that finds a free slot always starts and is measured, so a wrong estimate is corrected in time.
        wait_s = self._wait_s(queue, demand)
        if now_s + wait_s + queue.share.service_time.upper_estimate_s > demand.deadline_s:
            return self._overloaded(demand, now_s, f"the estimated wait in the queue is {wait_s * 1_000:.0f} ms")
        if queue.length < demand.limits.queue_length:
            return None
        displaced = queue.displaced_by(demand.caller)
        if displaced is None:
            return self._overloaded(demand, now_s, "the queue of the class is full")
        queue.remove(displaced)
        self._waiting -= 1
        displaced.outcome = self._overloaded(
            cast(_Waiter, displaced).demand, now_s, "the caller has too many requests in the queue of the class"
        )
        displaced.decided.set()
        return None

    def _queue_of(self, demand: Demand, *, is_late: bool) -> _Queue:
        name = (demand.service, demand.limits.name)
        queue = self._queues.get((*name, is_late))
        if queue is None:
            share = self._shares.get(name)
            if share is None:
                share = self._shares[name] = ClassShare(self._new_service_time(demand))
            queue = self._queues[*name, is_late] = ClassQueue(share, is_late=is_late)
        queue.share.weight = demand.limits.weight
        return queue

    def _new_service_time(self, demand: Demand) -> ServiceTime:
        if demand.objective_s is None:
            return ServiceTime()
        expected_s = max(0.0, demand.objective_s - self._clock()) * INITIAL_OBJECTIVE_SHARE
        self._service_time.mean_s = self._service_time.mean_s or expected_s
        return ServiceTime(expected_s)

    def _overloaded(self, demand: Demand, now_s: float, detail: str) -> Refusal:
        wait_s = self._promise_s(demand, now_s)
        return Refusal(RefusalKind.OVERLOADED, Execution.NOT_RUN, detail, retry_after_s=wait_s)

    def _too_late(self, demand: Demand, now_s: float) -> Refusal:
        detail = "too little time was left after the wait in the queue"
        wait_s = self._promise_s(demand, now_s)
        return Refusal(RefusalKind.DEADLINE, Execution.NOT_RUN, detail, "deadline_ms", retry_after_s=wait_s)

    def _promise_s(self, demand: Demand, now_s: float) -> float:
        """Promise the next place to a refused request, and return in what time it is free."""
        longest_s = (demand.deadline_s - now_s) * RETRY_AFTER_SHARE
        if demand.objective_s is not None:
            # A request that comes back in time for its objective is served before those that came meanwhile.
            in_time_s = demand.objective_s - now_s - self._service_time.likely_s
            longest_s = min(longest_s, in_time_s) if in_time_s > MIN_RETRY_AFTER_S else longest_s
        longest_s = max(MIN_RETRY_AFTER_S, longest_s)
        interval_s = self._service_time.mean_s / self._room.concurrency
        first_s = now_s + min(self._waiting * interval_s, longest_s * FIRST_PLACE_SHARE)
        last_s = now_s + longest_s
        place_s = max(first_s, self._promised_s)
        place_s += min(interval_s, max(0.0, last_s - place_s) * CLOSEST_PLACE_SHARE)
        self._promised_s = place_s
        return max(MIN_RETRY_AFTER_S, min(place_s, last_s) - now_s)


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


def _turn(queue: _Queue) -> tuple[float, int, bool]:
    """Return the order in which queues are served: by class, and in a class first what meets its objective."""
    return queue.share.finish_tag, -queue.share.weight, queue.is_late
