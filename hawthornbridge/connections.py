"""Connections to one upstream; each connection is owned by one task."""

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

__all__ = ["ConnectionGroup", "Observer", "TimeLimit", "connection_quota"]

CONNECT_TIMEOUT_S = 2.0
# Spreads the connects of all hosts to one upstream; each connect costs the upstream up to 6 ms.
CONNECT_JITTER_S = 0.2
# Lets the upstream notice that the old connection has closed before the new one counts against its limit.
MIN_RECONNECT_DELAY_S = 0.02
RECONNECT_BACKOFF_BASE_S = 0.1
RECONNECT_BACKOFF_LIMIT_S = 5.0
# Wait for a reply after its caller has given up; longer than an upstream takes to stop work at the deadline.
LATE_REPLY_TIMEOUT_S = 0.25
# A cancel call costs the upstream a request, so it is sent only if the cancelled one has more time than this left.
MIN_CANCEL_SAVING_S = 0.01
STATUS_DEADLINE_S = 1.0
# Maximum of waiting jobs per connection of the quota; further jobs would miss their deadline in the queue.
QUEUE_LENGTH_PER_CONNECTION = 16

Exchange: TypeAlias = Callable[[Channel, Any], Awaitable[Any]]
TimeLimit: TypeAlias = Callable[[int], float]
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
    # Status and cancel calls take no slot at the upstream, so the time limit does not apply to them.
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

    The quota is 0 if there are more seats than connections, since one connection each would exceed the limit.
    """
    return connections // seats


def _unlimited(_active: int) -> float:
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


class _ConnectionState:
    """Hold the state that a connection's task shares with its group."""

    __slots__ = ("job", "scope", "wake")

    def __init__(self) -> None:
        self.job: _Job | None = None
        self.wake = anyio.Event()
        self.scope = anyio.CancelScope()


class ConnectionGroup:
    """Hold this host's connections to one upstream and hand requests to idle ones.

    time_limit takes the number of requests at the upstream and returns how many seconds one more may take there: 0
    holds the request back, infinity sets no limit. observer is called with the outcome and the latency in seconds of
    each search and execution, late replies included; on_lost is called when the last connection has failed.
    """

    def __init__(
        self,
        upstream: Upstream,
        quota: int,
        protocol: UpstreamProtocol,
        *,
        time_limit: TimeLimit = _unlimited,
        observer: Observer = _ignore,
    ) -> None:
        self._upstream = upstream
        self._quota = quota
        self._protocol = protocol
        self._time_limit = time_limit
        self.observer = observer
        self.on_lost: Callable[[], None] = _nothing
        self._queue: deque[_Job] = deque()
        self._waiting_work = 0
        self._idle: list[_ConnectionState] = []
        self._sent: dict[_Job, _ConnectionState] = {}
        self._open_tasks = 0
        self._suspended = False
        self._closed = False
        self._changed = anyio.Event()
        self.connected = 0
        self.active = 0
        self.late_replies = 0

    @property
    def in_flight(self) -> int:
        """Return the requests that wait here or are at the upstream, including those whose caller gave up."""
        return self._waiting_work + self.active

    @property
    def accepting(self) -> bool:
        """Return whether a request could be sent now or after a short wait."""
        return self.connected > 0 and not self._suspended and not self._closed

    def start(self, tasks: TaskGroup) -> None:
        """Start one task for each connection of the quota."""
        for number in range(self._quota):
            self._open_tasks += 1
            tasks.start_soon(self._run_connection, random.uniform(0, CONNECT_JITTER_S) * number)

    async def search(self, request: Search) -> SearchOutcome:
        """Send a search on the next idle connection; the wait counts against its deadline."""
        return await self._run(_Job(_search, request, request.deadline_s))

    async def execute(self, request: Execute) -> ExecuteOutcome:
        """Send a non-idempotent request on the next idle connection; the wait counts against its deadline."""
        return await self._run(_Job(_execute, request, request.deadline_s))

    async def status(self) -> StatusOutcome:
        """Request the status of the upstream."""
        job = _Job(_status, None, anyio.current_time() + STATUS_DEADLINE_S, control=True)
        return await self._run(job)

    def cancel(self, request_id: RequestId) -> None:
        """Cancel a request at the upstream through another connection, without waiting for the answer."""
        now_s = anyio.current_time()
        for job in list(self._sent):
            if (
                not job.control
                and job.request.request_id == request_id
                and job.deadline_s - now_s > MIN_CANCEL_SAVING_S
            ):
                self._submit_cancel(job)

    def suspend(self) -> None:
        """Take no new work, refuse waiting requests and close the connections once they are idle."""
        self._suspended = True
        self._refuse_waiting(FailureKind.LEAVING, "the upstream takes no new work")
        self._wake_all()

    def resume(self) -> None:
        """Open the connections again after a suspension."""
        self._suspended = False
        self._wake_all()

    def close(self) -> None:
        """Close the connections permanently once they are idle."""
        self._closed = True
        self.suspend()

    async def wait_closed(self) -> None:
        """Wait until close has ended every connection."""
        while self._open_tasks:
            await self._changed.wait()

    async def wait_connected(self) -> None:
        """Wait until a connection is open or the group is suspended or closed."""
        while not (self.accepting or self._suspended):
            await self._changed.wait()

    def dispatch(self) -> None:
        """Assign waiting jobs to idle connections, as far as the time limit allows."""
        while self._queue and self._idle:
            job = self._queue[0]
            if not job.control:
                left_s = self._time_limit(self.active)
                if left_s <= 0:
                    if not self.active:
                        # No request in flight will end and lift the limit, so callers try another upstream.
                        self._refuse_work(
                            FailureKind.COLD, "the allowance of the cold upstream admits no request of this host now"
                        )
                    self._assign_control_jobs()
                    return
                # A warm upstream has no time limit, so the clock need not be read.
                if left_s < inf and job.deadline_s > (turn_end_s := anyio.current_time() + left_s):
                    job.deadline_s = turn_end_s
                    job.request = replace(job.request, deadline_s=turn_end_s)
                self._waiting_work -= 1
                self.active += 1
            self._queue.popleft()
            self._assign(job)

    def _assign(self, job: _Job) -> None:
        connection = self._idle.pop()
        job.state = _State.SENT
        self._sent[job] = connection
        connection.job = job
        connection.scope.deadline = job.deadline_s + LATE_REPLY_TIMEOUT_S
        connection.wake.set()

    def _assign_control_jobs(self) -> None:
        for job in [job for job in self._queue if job.control]:
            if not self._idle:
                return
            self._queue.remove(job)
            self._assign(job)

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
            # A context manager around CancelScope would create a second object per exchange.
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
                connection = self._sent[job]
                connection.scope.deadline = min(connection.scope.deadline, now_s + LATE_REPLY_TIMEOUT_S)
                if cancel and not job.control and job.deadline_s - now_s > MIN_CANCEL_SAVING_S:
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
        for connection in self._idle:
            connection.wake.set()
        self._idle.clear()
        self._notify_changed()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _run_connection(self, delay_s: float) -> None:
        failures = 0
        await anyio.sleep(delay_s)
        try:
            while not self._closed:
                if self._suspended:
                    await self._changed.wait()
                    continue
                channel = await self._protocol.connect(self._upstream.address, CONNECT_TIMEOUT_S)
                if isinstance(channel, UpstreamFailure):
                    backoff_limit_s = min(RECONNECT_BACKOFF_LIMIT_S, RECONNECT_BACKOFF_BASE_S * 2**failures)
                    failures = min(failures + 1, 10)
                    await anyio.sleep(MIN_RECONNECT_DELAY_S + random.uniform(0, backoff_limit_s))
                    continue
                failures = 0
                try:
                    self.connected += 1
                    self._notify_changed()
                    await self._serve(channel)
                finally:
                    self.connected -= 1
                    if not self.connected and not self._suspended:
                        self._refuse_waiting(FailureKind.CONNECT, "the last connection was lost")
                        self.on_lost()
                    with anyio.CancelScope(shield=True):
                        await channel.aclose()
                await anyio.sleep(MIN_RECONNECT_DELAY_S)
        finally:
            self._open_tasks -= 1
            self._notify_changed()

    async def _serve(self, channel: Channel) -> None:
        while not self._suspended:
            connection = _ConnectionState()
            self._idle.append(connection)
            self.dispatch()
            await connection.wake.wait()
            job = connection.job
            if job is None:
                continue
            if not channel.reusable:
                # The upstream closed the idle connection, so no part of this request was sent.
                self._return_unsent(job)
                return
            if not await self._exchange(channel, connection, job):
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

    async def _exchange(self, channel: Channel, connection: _ConnectionState, job: _Job) -> bool:
        """Run one exchange; return whether the connection can carry another."""
        started_s = anyio.current_time()
        outcome: Any = UpstreamFailure(
            FailureKind.TIMEOUT, Execution.UNKNOWN, "no reply within the late-reply timeout"
        )
        try:
            with connection.scope:
                outcome = await job.exchange(channel, job.request)
        finally:
            del self._sent[job]
            if not job.control:
                self.active -= 1
            if job.cancel is not None:
                self._withdraw(job.cancel)
            job.finish(outcome)
        if not job.control:
            self.late_replies += job.abandoned
            self.observer(outcome, anyio.current_time() - started_s)
        # After an error status the next reply still belongs to the next request; after other failures it may not.
        return not isinstance(outcome, UpstreamFailure) or outcome.kind is FailureKind.ERROR
