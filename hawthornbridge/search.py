"""Search of one query: pins a snapshot, fans out to its shards, hedges, retries and merges the replies."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol

import anyio
import uuid_utils
from anyio.abc import TaskGroup
from prometheus_client import Counter

from hawthornbridge.events import Event, emit
from hawthornbridge.hedging import HedgePolicy, QuantileHedging
from hawthornbridge.ids import (
    MapId,
    RequestId,
    RouteName,
    ServiceName,
    ShardName,
    SnapshotNumber,
    UpstreamId,
    VersionName,
)
from hawthornbridge.metrics import Metrics
from hawthornbridge.model import Catalogue, CoverageFirst, LatencyFirst, Service
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.queryversions import QueryVersions, ShareOf
from hawthornbridge.requests import SearchAnswer, SearchRequest
from hawthornbridge.searchprogress import Purpose, SearchFanOut, ShardAttempts
from hawthornbridge.snapshots import ReplicaT, Upstreams, best_snapshot
from hawthornbridge.subrequests import (
    FailureKind,
    Hit,
    Search,
    SearchOutcome,
    SearchReply,
    UpstreamFailure,
    UpstreamRefusal,
    UpstreamRefusalKind,
)

__all__ = ["QueryRecorder", "Searcher"]

# Time reserved before the deadline to merge the replies and write the answer.
ANSWER_RESERVE_S = 0.005
# Backoff before CoverageFirst asks the replicas of a shard again; the delay doubles each time up to the maximum.
INITIAL_RETRY_DELAY_S = 0.005
MAX_RETRY_DELAY_S = 0.1


class QueryRecorder(Protocol):
    """Record the outcome of one query on one version; the latency is that of the query's slowest sub-request.

    All sub-requests of a query see the same delay of this host, so recording each of them would count it many times.
    """

    def __call__(
        self, service: ServiceName, route: RouteName, version: VersionName, latency_s: float, failed: bool
    ) -> None:
        """Record one query."""


@dataclass(frozen=True, slots=True)
class _PolicyLimits:
    """Hold how many hedges a service policy allows per shard and whether it retries until the deadline."""

    hedges: int
    retries_until_deadline: bool


class Searcher(Generic[ReplicaT]):
    """Answer searches; every answer comes from a single snapshot."""

    def __init__(
        self,
        table: Upstreams[ReplicaT],
        catalogue: Callable[[], Catalogue],
        policy: HedgePolicy | None = None,
        *,
        new_version_share: ShareOf | None = None,
        record: QueryRecorder | None = None,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._table = table
        self._catalogue = catalogue
        self._policy: HedgePolicy = policy or QuantileHedging()
        self._versions = QueryVersions(catalogue, new_version_share)
        self._record = record
        self._metrics = metrics or Metrics()
        # Caches the counters because looking one up by its labels takes longer than counting.
        self._sent: dict[tuple[ServiceName, Purpose], Counter] = {}
        self._random = rng or random.Random()
        # Different callers may use the same request id, so this host generates the ids of sub-requests.
        self._prefix = uuid_utils.uuid4().hex
        self._numbers = itertools.count()

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Fan a query out and return the merged answer with its coverage."""
        started_s = anyio.current_time()
        catalogue = self._catalogue()
        service = catalogue.services.get(request.service)
        if service is None:
            return Refusal(RefusalKind.UNKNOWN_SERVICE, Execution.NOT_RUN, "no such service", "service")
        route = service.route(request.route)
        if route is None:
            return Refusal(RefusalKind.UNKNOWN_ROUTE, Execution.NOT_RUN, "no such route", "route")
        if not route.idempotent:
            # Searches are hedged and retried, which would run a non-idempotent request more than once.
            return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, "the route is not idempotent", "route")
        deadline_s = request.deadline_s - ANSWER_RESERVE_S
        if started_s >= deadline_s:
            return Refusal(RefusalKind.DEADLINE, Execution.NOT_RUN, "the deadline leaves no time", "deadline_ms")
        versions = self._versions.choose(catalogue, service, request.route)
        pinned = best_snapshot(catalogue, self._table, service.name, versions)
        if pinned is None:
            return Refusal(RefusalKind.NO_UPSTREAM, Execution.NOT_RUN, "no usable upstream")
        best, fan_outs = await self._run_fan_outs(
            SearchFanOut(request, catalogue, service, versions, pinned, deadline_s)
        )
        return SearchAnswer(
            request_id=request.request_id,
            snapshot=best.pinned.number,
            coverage=best.coverage,
            hits=_merge(best.replies, request.limit),
            time_s=anyio.current_time() - started_s,
            hedged=any(fan_out.hedged for fan_out in fan_outs),
            extra=sum(fan_out.extra for fan_out in fan_outs),
            sheds=sum(fan_out.sheds for fan_out in fan_outs),
            late=sum(fan_out.late for fan_out in fan_outs),
        )

    async def _run_fan_outs(self, fan_out: SearchFanOut) -> tuple[SearchFanOut, list[SearchFanOut]]:
        """Fan out, again on another snapshot whenever one is removed; return the best fan-out and all fan-outs."""
        best = fan_out
        fan_outs = []
        gone_snapshots: set[tuple[MapId, SnapshotNumber]] = set()
        while True:
            gone_snapshots.add(fan_out.pinned.key)
            await self._run_fan_out(fan_out, gone_snapshots)
            fan_outs.append(fan_out)
            self._report(fan_out)
            # On equal coverage the later fan-out is preferred because its snapshot still exists.
            if fan_out.coverage.ratio >= best.coverage.ratio:
                best = fan_out
            if fan_out.next_pinned is None or anyio.current_time() >= fan_out.deadline_s:
                return best, fan_outs
            emit(
                Event.SEARCH_RESTARTED,
                service=fan_out.service.name,
                snapshot=fan_out.pinned.number,
                next_snapshot=fan_out.next_pinned.number,
            )
            fan_out = SearchFanOut(
                fan_out.request,
                self._catalogue(),
                fan_out.service,
                fan_out.versions,
                fan_out.next_pinned,
                fan_out.deadline_s,
            )

    async def _run_fan_out(self, fan_out: SearchFanOut, gone_snapshots: set[tuple[MapId, SnapshotNumber]]) -> None:
        fan_out.scope.deadline = fan_out.deadline_s
        fan_out.delay_s = self._policy.delay_s(fan_out.service.name, fan_out.request.route)
        unfinished = len(fan_out.pinned.shard_map.shards)

        async def ask(shard: ShardName) -> None:
            nonlocal unfinished
            await self._search_shard(fan_out, shard, gone_snapshots)
            unfinished -= 1
            if not unfinished:
                tasks.cancel_scope.cancel()

        with fan_out.scope:
            async with anyio.create_task_group() as tasks:
                for shard in fan_out.pinned.shard_map.shards:
                    tasks.start_soon(ask, shard)
                if fan_out.delay_s is not None:
                    tasks.start_soon(self._hedge, fan_out, fan_out.delay_s, tasks)

    async def _search_shard(
        self, fan_out: SearchFanOut, shard: ShardName, gone_snapshots: set[tuple[MapId, SnapshotNumber]]
    ) -> None:
        """Send sub-requests to the replicas of one shard until one replies or no further attempt is allowed."""
        policy_limits = _policy_limits(fan_out.service)
        lacking_snapshot: set[UpstreamId] = set()  # replicas that do not hold the snapshot
        tried: set[UpstreamId] = set()
        purpose = Purpose.FIRST
        retry_delay_s = INITIAL_RETRY_DELAY_S
        needs_retry_budget = False
        while True:
            replica = self._choose(fan_out, shard, tried | lacking_snapshot)
            if replica is None:
                if lacking_snapshot or self._is_gone(fan_out, shard):
                    self._give_up_snapshot(fan_out, shard, gone_snapshots)
                if (lacking_snapshot and not tried) or not policy_limits.retries_until_deadline:
                    return
                await anyio.sleep(retry_delay_s * self._random.uniform(0.5, 1.0))
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)
                tried.clear()
                continue
            if needs_retry_budget and not self._policy.take_retry(fan_out.service.name):
                return
            outcome = await self._ask_replicas(
                fan_out, shard, replica, tried, lacking_snapshot, purpose, policy_limits.hedges
            )
            match outcome:
                case SearchReply():
                    fan_out.replies[shard] = outcome
                    return
                case UpstreamRefusal(UpstreamRefusalKind.DEADLINE) | UpstreamFailure(FailureKind.TIMEOUT):
                    return
                case UpstreamFailure(execution=Execution.NOT_RUN):
                    # The request was not sent, so trying another replica adds no load and needs no retry budget.
                    needs_retry_budget = False
                case _:
                    needs_retry_budget = True
            if not self._policy.retries:
                return
            purpose = Purpose.RETRY

    async def _ask_replicas(
        self,
        fan_out: SearchFanOut,
        shard: ShardName,
        first: ReplicaT,
        tried: set[UpstreamId],
        lacking_snapshot: set[UpstreamId],
        purpose: Purpose,
        hedges: int,
    ) -> SearchOutcome:
        """Send to one replica, hedge if it is slow, and return the first reply or else the last failure."""
        tried.add(first.upstream.id)
        attempts = ShardAttempts(shard, tried, lacking_snapshot, hedges)
        if fan_out.delay_s is not None:
            fan_out.due_hedges.append((anyio.current_time() + fan_out.delay_s, attempts))
        await self._add_attempt(fan_out, attempts, first, purpose)
        if not attempts.done:
            # The first replica failed while a hedged request is still in flight.
            attempts.over = anyio.Event()
            await attempts.over.wait()
        assert attempts.outcome is not None
        return attempts.outcome

    async def _add_attempt(
        self, fan_out: SearchFanOut, attempts: ShardAttempts, replica: ReplicaT, purpose: Purpose
    ) -> None:
        with anyio.CancelScope() as scope:
            attempts.start(scope)
            attempts.finish(
                await self._attempt(fan_out, attempts.shard, replica, attempts.lacking_snapshot, purpose), scope
            )

    async def _hedge(self, fan_out: SearchFanOut, delay_s: float, tasks: TaskGroup) -> None:
        """Start hedged requests when they are due; one task serves all shards because few shards need a hedge."""
        while True:
            # A request that starts during this sleep is due after the end of the sleep at the earliest.
            await anyio.sleep_until(fan_out.due_hedges[0][0] if fan_out.due_hedges else anyio.current_time() + delay_s)
            while fan_out.due_hedges and (
                fan_out.due_hedges[0][1].done or fan_out.due_hedges[0][0] <= anyio.current_time()
            ):
                _, attempts = fan_out.due_hedges.popleft()
                if attempts.done or not attempts.hedges:
                    continue
                attempts.hedges -= 1
                if attempts.hedges:
                    fan_out.due_hedges.append((anyio.current_time() + delay_s, attempts))
                replica = self._choose(fan_out, attempts.shard, attempts.tried | attempts.lacking_snapshot, hedge=True)
                if replica is None or not self._policy.take_hedge(fan_out.service.name):
                    continue
                attempts.tried.add(replica.upstream.id)
                fan_out.hedged = True
                attempts.running += 1
                tasks.start_soon(self._add_attempt, fan_out, attempts, replica, Purpose.HEDGE)

    async def _attempt(
        self,
        fan_out: SearchFanOut,
        shard: ShardName,
        replica: ReplicaT,
        lacking_snapshot: set[UpstreamId],
        purpose: Purpose,
    ) -> SearchOutcome:
        """Send one sub-request and return its outcome; a reply to another request is returned as BAD_REPLY."""
        service, route, version = fan_out.service.name, fan_out.request.route, replica.upstream.version
        sub_request = Search(
            request_id=RequestId(f"{self._prefix}-{next(self._numbers)}"),
            route=route,
            shard=shard,
            snapshot=fan_out.pinned.number,
            query=fan_out.request.query,
            limit=fan_out.request.limit,
            deadline_s=fan_out.deadline_s,
        )
        if purpose is Purpose.FIRST:
            self._policy.record_sent(service)
        else:
            fan_out.extra += 1
        self._count_sent(service, purpose)
        started_s = anyio.current_time()
        try:
            outcome = await self._table.search(replica, sub_request)
        except anyio.get_cancelled_exc_class():
            now_s = anyio.current_time()
            if now_s >= fan_out.deadline_s:
                fan_out.late += 1
                fan_out.record_sub_request(version, now_s - started_s, failed=True)
                raise
            # The elapsed time is a lower bound of the latency. Without it the slow tail would be missing from the
            # histogram, and the hedge delay would shrink from window to window.
            if fan_out.delay_s is not None and now_s - started_s >= fan_out.delay_s:
                self._policy.observe(service, route, now_s - started_s)
                if purpose is Purpose.FIRST:
                    # The slow version is recorded here because the hedge that replied first may have gone to another.
                    fan_out.record_sub_request(version, now_s - started_s, failed=False)
            raise
        latency_s = anyio.current_time() - started_s
        match outcome:
            case SearchReply() if _answers_request(outcome, sub_request):
                self._policy.observe(service, route, latency_s)
                fan_out.record_sub_request(version, latency_s, failed=False)
            case SearchReply():
                outcome = UpstreamFailure(
                    FailureKind.BAD_REPLY, Execution.UNKNOWN, "the reply belongs to another request"
                )
                fan_out.record_sub_request(version, latency_s, failed=True)
            case UpstreamRefusal(UpstreamRefusalKind.SNAPSHOT_GONE):
                lacking_snapshot.add(replica.upstream.id)
            case UpstreamRefusal(UpstreamRefusalKind.SHED):
                fan_out.sheds += 1
            case UpstreamRefusal(UpstreamRefusalKind.DEADLINE):
                fan_out.late += 1
                fan_out.record_sub_request(version, latency_s, failed=True)
            case UpstreamFailure(FailureKind.QUEUE_FULL):
                fan_out.sheds += 1
            case UpstreamFailure(FailureKind.TIMEOUT, Execution.UNKNOWN):
                fan_out.late += 1
                fan_out.record_sub_request(version, latency_s, failed=True)
            case UpstreamFailure(execution=Execution.UNKNOWN):
                # Only requests that may have reached the upstream are recorded: a failure before sending says nothing
                # about the upstream's version.
                fan_out.record_sub_request(version, latency_s, failed=True)
        return outcome

    def _count_sent(self, service: ServiceName, purpose: Purpose) -> None:
        counter = self._sent.get((service, purpose))
        if counter is None:
            counter = self._metrics.sub_requests.labels(service, purpose.value)
            self._sent[service, purpose] = counter
        counter.inc()

    def _choose(
        self, fan_out: SearchFanOut, shard: ShardName, excluded: set[UpstreamId], *, hedge: bool = False
    ) -> ReplicaT | None:
        """Choose a replica with the pinned snapshot and shard map; the query's own version is tried first."""
        service, number = fan_out.service.name, fan_out.pinned.number
        choose = self._table.choose_hedge if hedge else self._table.choose
        passed_over = set(excluded)
        for version in fan_out.versions:
            while replica := choose(service, shard, version, number, passed_over):
                if replica.snapshots.get(number) == fan_out.pinned.shard_map.id:
                    return replica
                passed_over.add(replica.upstream.id)
        return None

    def _is_gone(self, fan_out: SearchFanOut, shard: ShardName) -> bool:
        service, number = fan_out.service.name, fan_out.pinned.number
        if any(self._table.usable(service, shard, version, number) for version in fan_out.versions):
            return False
        return any(self._table.usable(service, shard, version, None) for version in fan_out.versions)

    def _give_up_snapshot(
        self, fan_out: SearchFanOut, shard: ShardName, gone_snapshots: set[tuple[MapId, SnapshotNumber]]
    ) -> None:
        """Restart the query if another snapshot is expected to cover more shards than the pinned one still can."""
        fan_out.lost_shards.add(shard)
        other = best_snapshot(self._catalogue(), self._table, fan_out.service.name, fan_out.versions, gone_snapshots)
        if other is None:
            return
        total = len(fan_out.pinned.shard_map.shards)
        possible = (total - len(fan_out.lost_shards)) / total
        if other.expected / len(other.shard_map.shards) > possible:
            fan_out.next_pinned = other
            fan_out.scope.cancel()

    def _report(self, fan_out: SearchFanOut) -> None:
        if self._record is None:
            return
        for version, seen in fan_out.performance.items():
            self._record(fan_out.service.name, fan_out.request.route, version, seen.latency_s, seen.failed)


def _policy_limits(service: Service) -> _PolicyLimits:
    match service.policy:
        case LatencyFirst():
            return _PolicyLimits(hedges=1, retries_until_deadline=False)
        case CoverageFirst():
            return _PolicyLimits(hedges=2, retries_until_deadline=True)


def _answers_request(reply: SearchReply, request: Search) -> bool:
    return (reply.request_id, reply.shard, reply.snapshot) == (request.request_id, request.shard, request.snapshot)


def _merge(replies: dict[ShardName, SearchReply], limit: int) -> tuple[Hit, ...]:
    hits = (hit for reply in replies.values() for hit in reply.hits)
    return tuple(heapq.nsmallest(limit, hits, key=lambda hit: (-hit.score, hit.id)))
