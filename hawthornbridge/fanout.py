"""Fan-out of a caller's request to one leaf, or to a leaf of every shard with a merge of their records."""

import asyncio
import heapq
import struct
from collections.abc import Iterable
from math import inf

import anyio

from hawthornbridge.answers import Answer, Failed, FailureReason, LeafAnswer, Merged, Refused, RefusedReason, TimedOut
from hawthornbridge.hedgedrequests import ForwardedRequest, GatewayContext, HedgedRequest
from hawthornbridge.ids import RouteName, ServiceName
from hawthornbridge.latencies import LatencyWindow
from hawthornbridge.leafclient import Exchange, LeafClient
from hawthornbridge.routing import Forward, Gather, Route

__all__ = ["RECORD_BYTES", "FanOut", "RouteLatencies", "merge_records"]

RECORD_BYTES = 16
_RECORD = struct.Struct(f"{RECORD_BYTES}s")
# Callers take these statuses to mean that a request has not run. A leaf guarantees that only with the not-executed
# header, so these statuses are not passed on from replies without it.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time reserved before the deadline for returning the answer to the caller.
DEADLINE_RESERVE_S = 0.015
RETRY_AFTER_S = 0.1
# Time for abandoned requests to finish, so that their connections can be reused; then the connections are closed.
ABANDONED_GRACE_S = 1.0
# Time after which leaves are told to stop working on an idempotent request whose caller has disconnected.
CALLER_LEFT_GRACE_S = 0.1
# Initial latency estimate of a route, as a share of its latency objective.
INITIAL_OBJECTIVE_SHARE = 0.2
# Share of the objective for which a shard of a gathered query waits for leaves that want no requests.
GATHER_WAIT_SHARE = 0.2
# Absorbs rounding, because the minimum number of shards is a product of floating-point numbers.
COVERAGE_TOLERANCE = 1e-9


class RouteLatencies:
    """Latency windows by route; all shards of a route share one window."""

    def __init__(self) -> None:
        self._windows: dict[RouteName, LatencyWindow] = {}

    def window(self, route: Route) -> LatencyWindow:
        """Return the latency window of a route."""
        window = self._windows.get(route.name)
        if window is None:
            window = self._windows[route.name] = LatencyWindow(route.objective_s * INITIAL_OBJECTIVE_SHARE)
        return window

    def keep_only(self, routes: Iterable[Route]) -> None:
        """Drop the windows of routes that are not in the configuration."""
        for name in self._windows.keys() - {route.name for route in routes}:
            del self._windows[name]


def merge_records(parts: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of all parts in descending order; drop an incomplete record at the end of a part."""
    records = [record for part in parts for (record,) in _RECORD.iter_unpack(part[: _whole_bytes(part)])]
    return b"".join(heapq.nlargest(top, records))


def _whole_bytes(part: bytes) -> int:
    return len(part) // RECORD_BYTES * RECORD_BYTES


class FanOut:
    """Forwards one request of a caller to the services of its route and builds the answer."""

    def __init__(
        self,
        context: GatewayContext,
        forwarded: ForwardedRequest,
        route: Route,
        service: ServiceName | None,
        latencies: RouteLatencies,
        answer_by_s: float = inf,
    ) -> None:
        """Create a fan-out whose answer leaves late shards out from answer_by_s on."""
        self._context = context
        self._forwarded = forwarded
        self._route = route
        self._started_s = context.clock()
        self._answer_by_s = answer_by_s
        # When the answer could be built: the last reply has arrived, or no further one is waited for.
        self.ready_s = inf
        self._give_up_s = forwarded.deadline_s - DEADLINE_RESERVE_S
        self._changed = anyio.Event()
        window = latencies.window(route)
        match route.plan:
            case Gather(shards):
                services = shards
                wait_until_s = self._started_s + route.objective_s * GATHER_WAIT_SHARE
            case Forward():
                assert service is not None
                services = (service,)
                wait_until_s = max(self._started_s, self._give_up_s - route.objective_s)
        self.hedged_requests = [
            HedgedRequest(context, forwarded, name, window, self._on_change, wait_until_s) for name in services
        ]
        self._unfinished = len(self.hedged_requests)

    @property
    def times_s(self) -> tuple[float, float]:
        """Return the time until which an answer meets its objective, and the time at which the request is given up."""
        return min(self._answer_by_s, self._started_s + self._route.objective_s), self._give_up_s

    @property
    def exchanges(self) -> list[Exchange]:
        """Return all exchanges started so far."""
        return [exchange for hedged in self.hedged_requests for exchange in hedged.exchanges]

    def slowest(self) -> str:
        """Describe the hedged request that ended last, for the log."""
        return max(self.hedged_requests, key=lambda hedged: hedged.ended_s).describe(self._started_s)

    def finish(self) -> None:
        """Answer the request now with the replies received so far."""
        self._give_up_s = min(self._give_up_s, self._context.clock())
        self._changed.set()

    def release(self) -> None:
        """Break the reference cycles through the exchanges, which keep bodies until a garbage collection."""
        for hedged in self.hedged_requests:
            hedged.exchanges.clear()
        self.hedged_requests.clear()

    async def run(self) -> Answer:
        """Return the answer; cancellation, when the caller disconnects, abandons all exchanges."""
        try:
            for hedged in self.hedged_requests:
                hedged.start()
            return await self._collect()
        except BaseException:
            self._abandon_rest(
                CALLER_LEFT_GRACE_S if self._forwarded.idempotent else self._forwarded.deadline_s - self._started_s
            )
            raise

    async def _collect(self) -> Answer:
        answer_by_s = self._answer_by_s
        while True:
            now_s, give_up_s = self._context.clock(), self._give_up_s
            answer = self._answer(now_s, answer_by_s, give_up_s)
            if answer is not None:
                self.ready_s = min(now_s, self._ready_s(answer_by_s))
                late = now_s >= give_up_s
                self._abandon_rest(0.0 if late and self._forwarded.idempotent else ABANDONED_GRACE_S)
                return answer
            for hedged in self.hedged_requests:
                hedged.run_due(now_s)
            due_s = min((hedged.due_s for hedged in self.hedged_requests if not hedged.is_over), default=inf)
            wake_s = min(due_s, give_up_s, answer_by_s if answer_by_s > now_s else inf)
            with anyio.move_on_at(wake_s):
                await self._changed.wait()
            if self._changed.is_set():
                self._changed = anyio.Event()

    def _answer(self, now_s: float, answer_by_s: float, give_up_s: float) -> Answer | None:
        must_end = not self._unfinished or now_s >= give_up_s
        match self._route.plan:
            case Gather() as plan:
                if not must_end and now_s < answer_by_s and self._can_reach_coverage(plan):
                    return None
                parts = sum(hedged.reply is not None for hedged in self.hedged_requests)
                if parts and self._has_coverage(plan, parts):
                    return self._merge(plan)
                if must_end or not self._can_reach_coverage(plan):
                    return self._failure(FailureReason.COVERAGE, now_s, give_up_s)
                return None
            case Forward():
                hedged = self.hedged_requests[0]
                if hedged.reply is not None:
                    return LeafAnswer(hedged.reply)
                if not must_end:
                    return None
                if hedged.failure is not None and hedged.is_over and hedged.failure.status not in NOT_RUN_STATUSES:
                    return LeafAnswer(hedged.failure)
                return self._failure(FailureReason.LEAF_FAILED, now_s, give_up_s)

    def _ready_s(self, answer_by_s: float) -> float:
        last_s = max((hedged.ended_s for hedged in self.hedged_requests if hedged.is_over), default=-inf)
        return max(last_s, answer_by_s) if self._unfinished else last_s

    def _has_coverage(self, plan: Gather, parts: int) -> bool:
        return parts >= plan.min_coverage * len(self.hedged_requests) - COVERAGE_TOLERANCE

    def _can_reach_coverage(self, plan: Gather) -> bool:
        possible = sum(hedged.reply is not None or not hedged.is_over for hedged in self.hedged_requests)
        return self._has_coverage(plan, possible)

    def _merge(self, plan: Gather) -> Merged:
        stamps = []
        bodies = []
        for hedged in self.hedged_requests:
            if hedged.reply is None:
                continue
            stamp = hedged.reply.header(self._context.names.stamp)
            assert stamp is not None
            stamps.append(stamp)
            bodies.append(hedged.reply.body)
        return Merged(merge_records(bodies, plan.top), tuple(stamps), len(self.hedged_requests) - len(stamps))

    def _failure(self, reason: FailureReason, now_s: float, give_up_s: float) -> Answer:
        ran = any(hedged.may_have_run for hedged in self.hedged_requests)
        in_flight = any(exchange.sent and not exchange.is_over for exchange in self.exchanges)
        if not ran and not in_flight:
            withheld = next((each.withheld for each in self.hedged_requests if each.withheld is not None), None)
            if withheld is not None:
                return withheld
            available_s = [each.available_s for each in self.hedged_requests if now_s < each.available_s < inf]
            if available_s:
                return Refused(RefusedReason.LEAVES_HELD, min(available_s) - now_s)
            if now_s >= give_up_s:
                return Refused(RefusedReason.NOT_SENT_IN_TIME, RETRY_AFTER_S)
            sent = any(hedged.was_sent for hedged in self.hedged_requests)
            return Refused(RefusedReason.LEAVES_FULL if sent else RefusedReason.NO_LEAF, RETRY_AFTER_S)
        return TimedOut() if now_s >= give_up_s else Failed(reason)

    def _abandon_rest(self, grace_s: float) -> None:
        for hedged in self.hedged_requests:
            hedged.stop()
        running = [exchange for exchange in self.exchanges if not exchange.is_over]
        if running:
            asyncio.get_running_loop().call_later(grace_s, _cancel_all, self._context.client, running)

    def _on_change(self, hedged: HedgedRequest) -> None:
        self._unfinished -= hedged.is_over
        # A reply before the answer is due only matters if it is the last one, so it does not wake the task.
        if not self._unfinished or hedged.reply is None or self._context.clock() >= self._answer_by_s:
            self._changed.set()


def _cancel_all(client: LeafClient, exchanges: list[Exchange]) -> None:
    for exchange in exchanges:
        client.cancel(exchange)
