"""Connections to one upstream: one task owns each of them."""

import random
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf
from typing import Any, TypeAlias

import anyio
from anyio.abc import TaskGroup

from hawthornbridge.ids import RequestId
from hawthornbridge.model import Upstream
from hawthornbridge.outcomes import Execution
from hawthornbridge.subrequests import (
    Channel,
    Execute,
    ExecuteOutcome,
    FailureKind,
    Search,
    SearchOutcome,
    StatusOutcome,
    UpstreamFailure,
    UpstreamProtocol,
)

__all__ = ["ConnectionGroup", "Gate", "Observer", "connection_quota"]

CONNECT_TIMEOUT_S = 2.0
# Spreads the connects of all hosts to one upstream, each of which costs it up to 6 ms.
WARM_UP_JITTER_S = 0.2
# The shortest pause lets the upstream notice the old connection's end before the new one counts against its limit.
RECONNECT_PAUSE_S = 0.02
RECONNECT_BASE_S = 0.1
RECONNECT_CEILING_S = 5.0
# How long the owner waits for a reply after its caller gave up; longer than the upstream's own stop at the deadline.
LATE_REPLY_GRACE_S = 0.25
# A cancel call costs the upstream a request, so it is sent only if the loser would run on for longer than this.
CANCEL_WORTH_S = 0.01
STATUS_DEADLINE_S = 1.0
# Waiting jobs per connection of the quota; more would only wait past their deadline.
QUEUE_LENGTH_PER_CONNECTION = 16

Exchange: TypeAlias = Callable[[Channel, Any], Awaitable[Any]]
Gate: TypeAlias = Callable[[int], float]
Observer: TypeAlias = Callable[[Any, float], None]


class _State(Enum):
    QUEUED = "queued"
    SENT = "sent"
    DONE = "done"


@dataclass(slots=True, eq=False)
class _Job:
    exchange: Exchange
    request: Any
    deadline_s: float
    # Status and cancel calls are no work for the upstream's slots, so the gate does not count them.
    control: bool = False
    state: _State = _State.QUEUED
    abandoned: bool = False
    outcome: Any = None
    done: anyio.Event = field(default_factory=anyio.Event)
    cancel: "_Job | None" = None

    def finish(self, outcome: Any) -> None:
        self.state = _State.DONE
        self.outcome = outcome
        self.done.set()


def connection_quota(connections: int, seats: int) -> int:
    """Return how many connections one host may open, so that all seats together stay within the limit.

    The quota is 0 if there are more seats than connections: one connection each would pass the limit.
    """
    return connections // seats


def _always_open(_active: int) -> float:
    return inf


def _ignore(_outcome: Any, _latency_s: float) -> None:
    return


def _nothing() -> None:
    return


async def _search(channel: Channel, request: Search) -> SearchOutcome:
    return await channel.search(request)


async def _execute(channel: Channel, request: Execute) -> ExecuteOutcome:
    return await channel.execute(request)


async def _cancel(channel: Channel, request_id: RequestId) -> UpstreamFailure | None:
    return await channel.cancel(request_id)


async def _status(channel: Channel, _request: None) -> StatusOutcome:
    return await channel.status()


class _Owner:
    """Hold the state that a connection's task shares with its group."""

    __slots__ = ("job", "scope", "wake")

    def __init__(self) -> None:
        self.job: _Job | None = None
        self.wake = anyio.Event()
        self.scope = anyio.CancelScope()


class ConnectionGroup:
    """Hold this host's connections to one upstream and hand requests to idle ones.

    The gate is asked, with the number of requests at the upstream, how many seconds a further one may take there: 0
    keeps it back, infinity sets no limit. The observer hears each outcome of work and its latency in seconds, late
    ones included; lost is called when the last connection has failed.
    """

    def __init__(
        self,
        upstream: Upstream,
        quota: int,
        protocol: UpstreamProtocol,
        *,
        gate: Gate = _always_open,
        observer: Observer = _ignore,
    ) -> None:
        self._upstream = upstream
        self._quota = quota
        self._protocol = protocol
        self._gate = gate
        self.observer = observer
        self.lost: Callable[[], None] = _nothing
        self._queue: deque[_Job] = deque()
        self._waiting_work = 0
        self._idle: list[_Owner] = []
        self._sent: dict[_Job, _Owner] = {}
        self._owners = 0
        self._resting = False
        self._closed = False
        self._changed = anyio.Event()
        self.connected = 0
        self.active = 0
        self.dropped_late = 0

    @property
    def in_flight(self) -> int:
        """Return the requests that wait here or are at the upstream, those whose caller gave up included."""
        return self._waiting_work + self.active

    @property
    def accepting(self) -> bool:
        """Return whether a request could be sent now or after a short wait."""
        return self.connected > 0 and not self._resting and not self._closed

    def start(self, tasks: TaskGroup) -> None:
        """Start one task for each connection of the quota."""
        for number in range(self._quota):
            self._owners += 1
            tasks.start_soon(self._own_connection, random.uniform(0, WARM_UP_JITTER_S) * number)

    async def search(self, request: Search) -> SearchOutcome:
        """Send a search on the next idle connection; the wait counts against its deadline."""
        return await self._run(_Job(_search, request, request.deadline_s))

    async def execute(self, request: Execute) -> ExecuteOutcome:
        """Send a non-idempotent request on the next idle connection; the wait counts against its deadline."""
        return await self._run(_Job(_execute, request, request.deadline_s))

    async def status(self) -> StatusOutcome:
        """Ask the upstream about itself."""
        job = _Job(_status, None, anyio.current_time() + STATUS_DEADLINE_S, control=True)
        return await self._run(job)

    def cancel(self, request_id: RequestId) -> None:
        """Cancel a request at the upstream through another connection, without waiting for the answer."""
        now_s = anyio.current_time()
        for job in list(self._sent):
            if not job.control and job.request.request_id == request_id and job.deadline_s - now_s > CANCEL_WORTH_S:
                self._submit_cancel(job)

    def rest(self) -> None:
        """Take no new work, refuse what waits and close the connections once they are idle."""
        self._resting = True
        self._refuse_waiting(FailureKind.LEAVING, "the upstream takes no new work")
        self._wake_all()

    def resume(self) -> None:
        """Open the connections again after a rest."""
        self._resting = False
        self._wake_all()

    def close(self) -> None:
        """End the connections for good once they are idle."""
        self._closed = True
        self.rest()

    async def wait_closed(self) -> None:
        """Wait until close has ended every connection."""
        while self._owners:
            await self._changed.wait()

    async def wait_connected(self) -> None:
        """Wait until a connection is open, or until there will be none."""
        while not (self.accepting or self._resting):
            await self._changed.wait()

    def dispatch(self) -> None:
        """Hand waiting jobs to idle connections, as far as the gate allows."""
        while self._queue and self._idle:
            job = self._queue[0]
            if not job.control:
                left_s = self._gate(self.active)
                if left_s <= 0:
                    if not self.active:
                        # Nothing will end and reopen the gate, so the callers had better try another upstream.
                        self._refuse_work(FailureKind.COLD, "the allowance gives this host no turn")
                    self._hand_over_controls()
                    return
                # A warm upstream's gate sets no limit, and then the clock need not be read.
                if left_s < inf and job.deadline_s > (turn_end_s := anyio.current_time() + left_s):
                    job.deadline_s = turn_end_s
                    job.request = replace(job.request, deadline_s=turn_end_s)
                self._waiting_work -= 1
                self.active += 1
            self._queue.popleft()
            self._hand_over(job)

    def _hand_over(self, job: _Job) -> None:
        owner = self._idle.pop()
        job.state = _State.SENT
        self._sent[job] = owner
        owner.job = job
        owner.scope.deadline = job.deadline_s + LATE_REPLY_GRACE_S
        owner.wake.set()

    def _hand_over_controls(self) -> None:
        for job in [job for job in self._queue if job.control]:
            if not self._idle:
                return
            self._queue.remove(job)
            self._hand_over(job)

    async def _run(self, job: _Job) -> Any:
        if not self.accepting:
            return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, f"no connection to {self._upstream.id}")
        if self._waiting_work >= QUEUE_LENGTH_PER_CONNECTION * self._quota:
            return UpstreamFailure(FailureKind.QUEUE_FULL, Execution.NOT_RUN, f"queue of {self._upstream.id} is full")
        if job.control:
            self._queue.appendleft(job)
        else:
            self._waiting_work += 1
            self._queue.append(job)
        self.dispatch()
        if job.state is _State.DONE:
            return job.outcome
        try:
            # anyio.move_on_at would add a second object per exchange; the scope alone does the same.
            with anyio.CancelScope(deadline=job.deadline_s):
                await job.done.wait()
                return job.outcome
        except BaseException:
            self._abandon(job, cancel=True)
            raise
        if job.state is _State.DONE:
            return job.outcome
        execution = Execution.NOT_RUN if job.state is _State.QUEUED else Execution.UNKNOWN
        self._abandon(job, cancel=False)
        return UpstreamFailure(FailureKind.TIMEOUT, execution, f"no reply from {self._upstream.id} by the deadline")

    def _abandon(self, job: _Job, *, cancel: bool) -> None:
        job.abandoned = True
        match job.state:
            case _State.QUEUED:
                self._withdraw(job)
            case _State.SENT:
                now_s = anyio.current_time()
                owner = self._sent[job]
                owner.scope.deadline = min(owner.scope.deadline, now_s + LATE_REPLY_GRACE_S)
                if cancel and not job.control and job.deadline_s - now_s > CANCEL_WORTH_S:
                    self._submit_cancel(job)

    def _submit_cancel(self, job: _Job) -> None:
        if job.cancel is not None or self._quota < 2:
            return
        job.cancel = _Job(_cancel, job.request.request_id, job.deadline_s, control=True)
        self._queue.appendleft(job.cancel)
        self.dispatch()

    def _withdraw(self, job: _Job) -> None:
        if job.state is not _State.QUEUED:
            return
        self._queue.remove(job)
        job.state = _State.DONE
        if not job.control:
            self._waiting_work -= 1

    def _refuse_work(self, kind: FailureKind, detail: str) -> None:
        for job in [job for job in self._queue if not job.control]:
            self._withdraw(job)
            job.finish(UpstreamFailure(kind, Execution.NOT_RUN, f"{self._upstream.id}: {detail}"))

    def _refuse_waiting(self, kind: FailureKind, detail: str) -> None:
        self._refuse_work(kind, detail)
        for job in list(self._queue):
            self._withdraw(job)
            job.finish(UpstreamFailure(kind, Execution.NOT_RUN, detail))

    def _wake_all(self) -> None:
        for owner in self._idle:
            owner.wake.set()
        self._idle.clear()
        self._announce()

    def _announce(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _own_connection(self, delay_s: float) -> None:
        failures = 0
        await anyio.sleep(delay_s)
        try:
            while not self._closed:
                if self._resting:
                    await self._changed.wait()
                    continue
                channel = await self._protocol.connect(self._upstream.address, CONNECT_TIMEOUT_S)
                if isinstance(channel, UpstreamFailure):
                    ceiling_s = min(RECONNECT_CEILING_S, RECONNECT_BASE_S * 2**failures)
                    failures = min(failures + 1, 10)
                    await anyio.sleep(RECONNECT_PAUSE_S + random.uniform(0, ceiling_s))
                    continue
                failures = 0
                try:
                    self.connected += 1
                    self._announce()
                    await self._serve(channel)
                finally:
                    self.connected -= 1
                    if not self.connected and not self._resting:
                        self._refuse_waiting(FailureKind.CONNECT, "the last connection was lost")
                        self.lost()
                    with anyio.CancelScope(shield=True):
                        await channel.aclose()
                await anyio.sleep(RECONNECT_PAUSE_S)
        finally:
            self._owners -= 1
            self._announce()

    async def _serve(self, channel: Channel) -> None:
        while not self._resting:
            owner = _Owner()
            self._idle.append(owner)
            self.dispatch()
            await owner.wake.wait()
            job = owner.job
            if job is None:
                continue
            if not channel.reusable:
                # The upstream closed the idle connection, so nothing of this request was sent.
                self._return_unsent(job)
                return
            if not await self._exchange(channel, owner, job):
                return

    def _return_unsent(self, job: _Job) -> None:
        del self._sent[job]
        if not job.control:
            self.active -= 1
        if job.abandoned:
            job.finish(None)
            return
        if not job.control:
            self._waiting_work += 1
        job.state = _State.QUEUED
        self._queue.appendleft(job)
        self.dispatch()

    async def _exchange(self, channel: Channel, owner: _Owner, job: _Job) -> bool:
        """Run one exchange; return whether the connection can carry another."""
        started_s = anyio.current_time()
        outcome: Any = UpstreamFailure(FailureKind.TIMEOUT, Execution.UNKNOWN, "no reply within the grace")
        try:
            with owner.scope:
                outcome = await job.exchange(channel, job.request)
        finally:
            del self._sent[job]
            if not job.control:
                self.active -= 1
            if job.cancel is not None:
                self._withdraw(job.cancel)
            job.finish(outcome)
        if not job.control:
            self.dropped_late += job.abandoned
            self.observer(outcome, anyio.current_time() - started_s)
        # An error status leaves the connection in step; after the other failures it may not be.
        return not isinstance(outcome, UpstreamFailure) or outcome.kind is FailureKind.ERROR
