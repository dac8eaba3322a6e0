"""One query: pin a snapshot, fan out to its shards, hedge, retry, merge what arrives."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
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
from hawthornbridge.model import Catalogue, CoverageFirst, LatencyFirst, RolloutState, Service
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.requests import Coverage, SearchAnswer, SearchRequest
from hawthornbridge.snapshots import PinnedSnapshot, ReplicaT, Upstreams, best_snapshot
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

__all__ = ["Recorder", "Searcher", "ShareOf"]

# Time kept back from the deadline to merge the replies and write the answer.
ANSWER_RESERVE_S = 0.005
# First pause before CoverageFirst asks the replicas of a shard again; it doubles each time.
FIRST_PAUSE_S = 0.005
LONGEST_PAUSE_S = 0.1
# The sum of many shares may end just below a whole query.
CREDIT_TOLERANCE = 1e-9

ShareOf = Callable[[ServiceName], float]


class Recorder(Protocol):
    """Receive how one query went on one version; the latency is that of its slowest sub-request.

    Sub-requests of one query share its delays, so that counting each of them would count one pause many times.
    """

    def __call__(
        self, service: ServiceName, route: RouteName, version: VersionName, latency_s: float, failed: bool
    ) -> None:
        """Record one query."""


class Purpose(Enum):
    """Say why a sub-request is sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


@dataclass(frozen=True, slots=True)
class _Effort:
    """Say how much a service policy spends on a slow or missing shard."""

    hedges: int
    repeats: bool


@dataclass(eq=False)
class _Race:
    """Hold the requests to one shard of which the first reply counts."""

    shard: ShardName
    tried: set[UpstreamId]
    without: set[UpstreamId]
    hedges: int
    running: int = 1
    done: bool = False
    outcome: SearchOutcome | None = None
    over: anyio.Event | None = None
    _scopes: list[anyio.CancelScope] = field(default_factory=list)

    def start(self, scope: anyio.CancelScope) -> None:
        """Note the scope of one more request; a hedge that starts after the end is cancelled at once."""
        self._scopes.append(scope)
        if self.done:
            scope.cancel()

    def finish(self, outcome: SearchOutcome, own: anyio.CancelScope) -> None:
        """Note an outcome; the first reply, or the last failure, ends the race and cancels the others."""
        if self.done:
            return
        self.running -= 1
        self.outcome = outcome
        if self.running and not isinstance(outcome, SearchReply):
            return
        self.done = True
        if self.over is not None:
            self.over.set()
        for scope in self._scopes:
            if scope is not own:
                scope.cancel()


@dataclass(slots=True)
class _Performance:
    """Hold the slowest sub-request that one version got from a query, and whether it failed any."""

    latency_s: float = 0.0
    failed: bool = False


@dataclass
class _Pass:
    """Hold one fan-out over one pinned snapshot."""

    request: SearchRequest
    catalogue: Catalogue
    service: Service
    versions: tuple[VersionName, ...]
    pinned: PinnedSnapshot
    deadline_s: float
    replies: dict[ShardName, SearchReply] = field(default_factory=dict)
    lost: set[ShardName] = field(default_factory=set)
    delay_s: float | None = None
    due: deque[tuple[float, "_Race"]] = field(default_factory=deque)
    hedged: bool = False
    extra: int = 0
    sheds: int = 0
    late: int = 0
    next_pinned: PinnedSnapshot | None = None
    performance: dict[VersionName, _Performance] = field(default_factory=dict)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    @property
    def coverage(self) -> Coverage:
        """Return which shards have answered."""
        shards = self.pinned.shard_map.shards
        missing = tuple(shard for shard in shards if shard not in self.replies)
        return Coverage(len(self.replies), len(shards), missing)

    def note(self, version: VersionName, latency_s: float, *, failed: bool) -> None:
        """Note how a sub-request went on its version."""
        seen = self.performance.setdefault(version, _Performance())
        seen.latency_s = max(seen.latency_s, latency_s)
        seen.failed = seen.failed or failed


class Searcher(Generic[ReplicaT]):
    """Answer searches from one snapshot each."""

    def __init__(
        self,
        table: Upstreams[ReplicaT],
        catalogue: Callable[[], Catalogue],
        policy: HedgePolicy | None = None,
        *,
        share_of: ShareOf | None = None,
        record: Recorder | None = None,
        metrics: Metrics | None = None,
        chance: random.Random | None = None,
    ) -> None:
        self._table = table
        self._catalogue = catalogue
        self._policy: HedgePolicy = policy or QuantileHedging()
        self._share_of = share_of or self._configured_share
        self._record = record
        self._metrics = metrics or Metrics()
        # Looking a metric up by its labels takes longer than counting.
        self._sent: dict[tuple[ServiceName, Purpose], Counter] = {}
        self._credits: dict[tuple[ServiceName, RouteName], float] = {}
        self._random = chance or random.Random()
        # Callers may repeat each other's request ids, so sub-requests carry ids of this host's own.
        self._prefix = uuid_utils.uuid4().hex
        self._numbers = itertools.count()

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Fan a query out and return the merged answer with its true coverage."""
        started_s = anyio.current_time()
        catalogue = self._catalogue()
        service = catalogue.services.get(request.service)
        if service is None:
            return Refusal(RefusalKind.UNKNOWN_SERVICE, Execution.NOT_RUN, "no such service", "service")
        route = service.route(request.route)
        if route is None:
            return Refusal(RefusalKind.UNKNOWN_ROUTE, Execution.NOT_RUN, "no such route", "route")
        if not route.idempotent:
            # A search may be hedged and retried.
            return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, "the route is not idempotent", "route")
        deadline_s = request.deadline_s - ANSWER_RESERVE_S
        if started_s >= deadline_s:
            return Refusal(RefusalKind.DEADLINE, Execution.NOT_RUN, "the deadline leaves no time", "deadline_ms")
        versions = self._choose_versions(catalogue, service, request.route)
        pinned = best_snapshot(catalogue, self._table, service.name, versions)
        if pinned is None:
            return Refusal(RefusalKind.NO_UPSTREAM, Execution.NOT_RUN, "no usable upstream")
        best, passes = await self._passes(_Pass(request, catalogue, service, versions, pinned, deadline_s))
        return SearchAnswer(
            request_id=request.request_id,
            snapshot=best.pinned.number,
            coverage=best.coverage,
            hits=_merge(best.replies, request.limit),
            time_s=anyio.current_time() - started_s,
            hedged=any(work.hedged for work in passes),
            extra=sum(work.extra for work in passes),
            sheds=sum(work.sheds for work in passes),
            late=sum(work.late for work in passes),
        )

    async def _passes(self, work: _Pass) -> tuple[_Pass, list[_Pass]]:
        """Fan out, again on another snapshot as often as one vanishes; return the best pass and all of them."""
        best = work
        passes = []
        gone: set[tuple[MapId, SnapshotNumber]] = set()
        while True:
            gone.add(work.pinned.key)
            await self._fan_out(work, gone)
            passes.append(work)
            self._report(work)
            # The later pass wins a tie because its snapshot is the one that still exists.
            if work.coverage.ratio >= best.coverage.ratio:
                best = work
            if work.next_pinned is None or anyio.current_time() >= work.deadline_s:
                return best, passes
            emit(
                Event.SEARCH_RESTARTED,
                service=work.service.name,
                snapshot=work.pinned.number,
                next_snapshot=work.next_pinned.number,
            )
            work = _Pass(
                work.request, self._catalogue(), work.service, work.versions, work.next_pinned, work.deadline_s
            )

    async def _fan_out(self, work: _Pass, gone: set[tuple[MapId, SnapshotNumber]]) -> None:
        work.scope.deadline = work.deadline_s
        work.delay_s = self._policy.delay_s(work.service.name, work.request.route)
        unfinished = len(work.pinned.shard_map.shards)

        async def ask(shard: ShardName) -> None:
            nonlocal unfinished
            await self._ask(work, shard, gone)
            unfinished -= 1
            if not unfinished:
                tasks.cancel_scope.cancel()

        with work.scope:
            async with anyio.create_task_group() as tasks:
                for shard in work.pinned.shard_map.shards:
                    tasks.start_soon(ask, shard)
                if work.delay_s is not None:
                    tasks.start_soon(self._hedge, work, work.delay_s, tasks)

    async def _ask(self, work: _Pass, shard: ShardName, gone: set[tuple[MapId, SnapshotNumber]]) -> None:
        """Ask the replicas of one shard until one answers or nothing more may be spent on it."""
        effort = _effort(work.service)
        without: set[UpstreamId] = set()  # these do not hold the snapshot
        tried: set[UpstreamId] = set()
        purpose = Purpose.FIRST
        pause_s = FIRST_PAUSE_S
        budget_due = False
        while True:
            replica = self._choose(work, shard, tried | without)
            if replica is None:
                if without or self._is_gone(work, shard):
                    self._give_up_snapshot(work, shard, gone)
                if (without and not tried) or not effort.repeats:
                    return
                await anyio.sleep(pause_s * self._random.uniform(0.5, 1.0))
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                tried.clear()
                continue
            if budget_due and not self._policy.take_retry(work.service.name):
                return
            outcome = await self._race(work, shard, replica, tried, without, purpose, effort.hedges)
            match outcome:
                case SearchReply():
                    work.replies[shard] = outcome
                    return
                case UpstreamRefusal(UpstreamRefusalKind.DEADLINE) | UpstreamFailure(FailureKind.TIMEOUT):
                    return
                case UpstreamFailure(execution=Execution.NOT_RUN):
                    # Nothing was sent, so trying another replica adds no load and needs no budget.
                    budget_due = False
                case _:
                    budget_due = True
            if not self._policy.retries:
                return
            purpose = Purpose.RETRY

    async def _race(
        self,
        work: _Pass,
        shard: ShardName,
        first: ReplicaT,
        tried: set[UpstreamId],
        without: set[UpstreamId],
        purpose: Purpose,
        hedges: int,
    ) -> SearchOutcome:
        """Ask one replica, hedged if it is slow, and return the first reply, else the last failure."""
        tried.add(first.upstream.id)
        race = _Race(shard, tried, without, hedges)
        if work.delay_s is not None:
            work.due.append((anyio.current_time() + work.delay_s, race))
        await self._run_in_race(work, race, first, purpose)
        if not race.done:
            # The first replica failed while a hedged request is under way.
            race.over = anyio.Event()
            await race.over.wait()
        assert race.outcome is not None
        return race.outcome

    async def _run_in_race(self, work: _Pass, race: _Race, replica: ReplicaT, purpose: Purpose) -> None:
        with anyio.CancelScope() as scope:
            race.start(scope)
            race.finish(await self._attempt(work, race.shard, replica, race.without, purpose), scope)

    async def _hedge(self, work: _Pass, delay_s: float, tasks: TaskGroup) -> None:
        """Start hedged requests as they come due; one task serves all shards, because few of them need it."""
        while True:
            # A race that starts during this sleep comes due after it at the earliest.
            await anyio.sleep_until(work.due[0][0] if work.due else anyio.current_time() + delay_s)
            while work.due and (work.due[0][1].done or work.due[0][0] <= anyio.current_time()):
                _, race = work.due.popleft()
                if race.done or not race.hedges:
                    continue
                race.hedges -= 1
                if race.hedges:
                    work.due.append((anyio.current_time() + delay_s, race))
                replica = self._choose(work, race.shard, race.tried | race.without, hedge=True)
                if replica is None or not self._policy.take_hedge(work.service.name):
                    continue
                race.tried.add(replica.upstream.id)
                work.hedged = True
                race.running += 1
                tasks.start_soon(self._run_in_race, work, race, replica, Purpose.HEDGE)

    async def _attempt(
        self,
        work: _Pass,
        shard: ShardName,
        replica: ReplicaT,
        without: set[UpstreamId],
        purpose: Purpose,
    ) -> SearchOutcome:
        """Send one sub-request and return its outcome; a reply that is not its own counts as a bad one."""
        service, route, version = work.service.name, work.request.route, replica.upstream.version
        sub_request = Search(
            request_id=RequestId(f"{self._prefix}-{next(self._numbers)}"),
            route=route,
            shard=shard,
            snapshot=work.pinned.number,
            query=work.request.query,
            limit=work.request.limit,
            deadline_s=work.deadline_s,
        )
        if purpose is Purpose.FIRST:
            self._policy.sent(service)
        else:
            work.extra += 1
        self._count_sent(service, purpose)
        started_s = anyio.current_time()
        try:
            outcome = await self._table.search(replica, sub_request)
        except anyio.get_cancelled_exc_class():
            now_s = anyio.current_time()
            if now_s >= work.deadline_s:
                work.late += 1
                work.note(version, now_s - started_s, failed=True)
                raise
            # The time so far is a lower bound; without it, the slow tail would vanish from the histogram and each
            # window would hedge earlier than the one before.
            if work.delay_s is not None and now_s - started_s >= work.delay_s:
                self._policy.observe(service, route, now_s - started_s)
                if purpose is Purpose.FIRST:
                    # A hedge that wins must not hide a slow version.
                    work.note(version, now_s - started_s, failed=False)
            raise
        latency_s = anyio.current_time() - started_s
        match outcome:
            case SearchReply() if _belongs(outcome, sub_request):
                self._policy.observe(service, route, latency_s)
                work.note(version, latency_s, failed=False)
            case SearchReply():
                outcome = UpstreamFailure(FailureKind.BAD_REPLY, Execution.UNKNOWN, "the reply of another request")
                work.note(version, latency_s, failed=True)
            case UpstreamRefusal(UpstreamRefusalKind.SNAPSHOT_GONE):
                without.add(replica.upstream.id)
            case UpstreamRefusal(UpstreamRefusalKind.SHED):
                work.sheds += 1
            case UpstreamRefusal(UpstreamRefusalKind.DEADLINE):
                work.late += 1
                work.note(version, latency_s, failed=True)
            case UpstreamFailure(FailureKind.QUEUE_FULL):
                work.sheds += 1
            case UpstreamFailure(FailureKind.TIMEOUT, Execution.UNKNOWN):
                work.late += 1
                work.note(version, latency_s, failed=True)
            case UpstreamFailure(execution=Execution.UNKNOWN):
                # What was never sent says nothing about the upstream's version.
                work.note(version, latency_s, failed=True)
        return outcome

    def _count_sent(self, service: ServiceName, purpose: Purpose) -> None:
        counter = self._sent.get((service, purpose))
        if counter is None:
            counter = self._metrics.sub_requests.labels(service, purpose.value)
            self._sent[service, purpose] = counter
        counter.inc()

    def _choose(
        self, work: _Pass, shard: ShardName, excluded: set[UpstreamId], *, hedge: bool = False
    ) -> ReplicaT | None:
        """Choose a replica that holds the pinned snapshot under the pinned map, of the query's own version first."""
        service, number = work.service.name, work.pinned.number
        choose = self._table.choose_hedge if hedge else self._table.choose
        passed_over = set(excluded)
        for version in work.versions:
            while replica := choose(service, shard, version, number, passed_over):
                if replica.snapshots.get(number) == work.pinned.shard_map.id:
                    return replica
                passed_over.add(replica.upstream.id)
        return None

    def _is_gone(self, work: _Pass, shard: ShardName) -> bool:
        service, number = work.service.name, work.pinned.number
        if any(self._table.usable(service, shard, version, number) for version in work.versions):
            return False
        return any(self._table.usable(service, shard, version, None) for version in work.versions)

    def _give_up_snapshot(self, work: _Pass, shard: ShardName, gone: set[tuple[MapId, SnapshotNumber]]) -> None:
        """Restart the query if another snapshot promises more than the pinned one can still give."""
        work.lost.add(shard)
        other = best_snapshot(self._catalogue(), self._table, work.service.name, work.versions, gone)
        if other is None:
            return
        total = len(work.pinned.shard_map.shards)
        possible = (total - len(work.lost)) / total
        if other.expected / len(other.shard_map.shards) > possible:
            work.next_pinned = other
            work.scope.cancel()

    def _report(self, work: _Pass) -> None:
        if self._record is None:
            return
        for version, seen in work.performance.items():
            self._record(work.service.name, work.request.route, version, seen.latency_s, seen.failed)

    def _configured_share(self, service: ServiceName) -> float:
        rollout = self._catalogue().rollouts.get(service)
        return rollout.share if rollout is not None else 0.0

    def _choose_versions(self, catalogue: Catalogue, service: Service, route: RouteName) -> tuple[VersionName, ...]:
        """Return the version of a query and, if it is the new one, the old one that it may fall back to."""
        rollout = catalogue.rollouts.get(service.name)
        if rollout is None:
            return (service.version,)
        finished = rollout.state in (RolloutState.DONE, RolloutState.ROLLED_BACK)
        if finished and service.version not in (rollout.old, rollout.new):
            return (service.version,)
        # Credit carried from query to query keeps every prefix of a route's queries within the share; independent
        # draws would exceed it now and then.
        credit = self._credits.get((service.name, route), 0.0) + self._share_of(service.name)
        takes_new = credit >= 1.0 - CREDIT_TOLERANCE
        self._credits[service.name, route] = credit - 1.0 if takes_new else credit
        return (rollout.new, rollout.old) if takes_new else (rollout.old,)


def _effort(service: Service) -> _Effort:
    match service.policy:
        case LatencyFirst():
            return _Effort(hedges=1, repeats=False)
        case CoverageFirst():
            return _Effort(hedges=2, repeats=True)


def _belongs(reply: SearchReply, request: Search) -> bool:
    return (reply.request_id, reply.shard, reply.snapshot) == (request.request_id, request.shard, request.snapshot)


def _merge(replies: dict[ShardName, SearchReply], limit: int) -> tuple[Hit, ...]:
    hits = (hit for reply in replies.values() for hit in reply.hits)
    return tuple(heapq.nsmallest(limit, hits, key=lambda hit: (-hit.score, hit.id)))
