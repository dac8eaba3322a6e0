"""Admission of callers' requests to leaves: one set of queues for each service, or for each set of shards."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeAlias

from hawthornbridge.admission import Demand, FairShareAdmission, Ticket
from hawthornbridge.buckets import LATENCY_BUCKETS_S, BucketCounts
from hawthornbridge.entities import ClassLimits
from hawthornbridge.ids import CallerId, ClassName, RouteName, ServiceName
from hawthornbridge.leafroom import LeafRoom, RoomEstimator, ServiceRoom
from hawthornbridge.leaves import Leaf
from hawthornbridge.outcomes import Refusal, RefusalKind
from hawthornbridge.routing import Gather, Route, RoutingState

__all__ = ["LeafAdmission", "Permit", "Pool", "class_limits"]

# Weight of the least urgent rank, and by how much that of the next rank is higher. Under a burst of the more urgent
# rank, the less urgent one keeps a ninth of the room.
RANK_FACTOR = 8
LEAST_URGENT_RANK = 3
# Bounds the memory for waiting requests of one class; the wait bounds them before in most cases.
QUEUE_LENGTH = 512
# Absorbs rounding, because the minimum number of shards is a product of floating-point numbers.
COVERAGE_TOLERANCE = 1e-9

_PoolKey: TypeAlias = tuple[ServiceName, ...]


def class_limits(priority: int) -> ClassLimits:
    """Return the class of requests of a priority, where 0 is the most urgent."""
    rank = min(max(priority, 0), LEAST_URGENT_RANK)
    weight = RANK_FACTOR ** (LEAST_URGENT_RANK - rank)
    return ClassLimits(name=ClassName(str(rank)), weight=weight, queue_length=QUEUE_LENGTH)


_CLASSES = tuple(class_limits(rank) for rank in range(LEAST_URGENT_RANK + 1))


@dataclass(frozen=True, slots=True)
class Pool:
    """Queues of the requests to one set of services, with their room."""

    services: _PoolKey
    room: LeafRoom
    queues: FairShareAdmission


@dataclass(frozen=True, slots=True)
class Permit:
    """Permit one request to run; the holder returns it by calling LeafAdmission.leave."""

    pool: Pool
    ticket: Ticket


class LeafAdmission:
    """Decide which requests of callers are sent to leaves now, which wait and which are refused."""

    def __init__(self, estimator: RoomEstimator, clock: Callable[[], float]) -> None:
        self.estimator = estimator
        self.wait_s: dict[ClassName, BucketCounts] = {}
        self.refusals: Counter[tuple[ClassName, RefusalKind]] = Counter()
        self._clock = clock
        self._pools: dict[_PoolKey, Pool] = {}
        # The longest time that a request of each route had left when it arrived.
        self._longest_left_s: dict[RouteName, float] = {}
        # By service, for the hedges and retries of a shard.
        self._pools_of: dict[ServiceName, tuple[Pool, ...]] = {}

    @property
    def pools(self) -> Iterable[Pool]:
        """Return the pools of the configuration in force that have had requests."""
        return self._pools.values()

    def pool(self, route: Route, service: ServiceName | None) -> Pool:
        """Return the pool of a route's requests; service is the chosen one of a route that forwards."""
        key = route.services() if service is None else (service,)
        pool = self._pools.get(key)
        if pool is None:
            room = LeafRoom(self.estimator, key, self._clock)
            pool = self._pools[key] = Pool(key, room, FairShareAdmission(room, self._clock))
            for name in key:
                self._pools_of[name] = (*self._pools_of.get(name, ()), pool)
        return pool

    def demand(
        self, route: Route, pool: Pool, caller: CallerId, priority: int, objective_s: float, deadline_s: float
    ) -> Demand:
        """Return the demand of a request that arrives now.

        A request with less time left than others of its route is taken for one that was refused before: its objective
        is that of its first attempt.
        """
        left_s = deadline_s - self._clock()
        longest_s = self._longest_left_s.get(route.name, 0.0)
        if left_s > longest_s:
            longest_s = self._longest_left_s[route.name] = left_s
        objective_s -= longest_s - left_s
        spare = 0
        if isinstance(route.plan, Gather):
            spare = int(len(pool.services) * (1.0 - route.plan.min_coverage) + COVERAGE_TOLERANCE)
        limits = _CLASSES[min(max(priority, 0), LEAST_URGENT_RANK)]
        return Demand(pool.services[0], limits, caller, deadline_s, min(objective_s, deadline_s), spare)

    def try_enter(self, pool: Pool, demand: Demand) -> Permit | None:
        """Return the permit of a request that may be sent at once, or None."""
        ticket = pool.queues.try_enter(demand)
        return None if ticket is None else Permit(pool, ticket)

    async def enter(self, pool: Pool, demand: Demand) -> Permit | Refusal:
        """Wait until a request may be sent, or refuse it."""
        outcome = await pool.queues.enter(demand)
        name = demand.limits.name
        if isinstance(outcome, Refusal):
            self.refusals[name, outcome.kind] += 1
            return outcome
        if name not in self.wait_s:
            self.wait_s[name] = BucketCounts(LATENCY_BUCKETS_S)
        self.wait_s[name].observe(outcome.queued_s)
        return Permit(pool, outcome)

    def leave(self, permit: Permit) -> None:
        """End a request and start waiting ones in its place."""
        permit.pool.queues.leave(permit.ticket)

    def yields(self, service: ServiceName, priority: int) -> bool:
        """Return whether a hedge or a retry has to wait for requests at least as urgent that wait for room."""
        weight = _CLASSES[min(max(priority, 0), LEAST_URGENT_RANK)].weight
        return any(pool.queues.yields(weight) for pool in self._pools_of.get(service, ()))

    def record_full(self, leaf: Leaf, median_latency_s: float) -> None:
        """Record that a leaf refused a request without running it."""
        self.estimator.record_full(leaf, median_latency_s)

    def on_room(self, service: ServiceName) -> None:
        """Start waiting requests after one to a service has ended."""
        for pool in self._pools_of.get(service, ()):
            # Looking for room after each of the replies to a query would cost more than the query.
            if pool.queues.waiting and pool.room.short_service == service:
                pool.queues.start_waiting()

    def short_rooms(self, pool: Pool) -> list[ServiceRoom]:
        """Return the inputs of the estimate for the services of a pool that have no room."""
        return [self.estimator.describe(service) for service in pool.room.short_services]

    def keep_only(self, state: RoutingState) -> None:
        """Drop the pools with services that no route uses and for which nothing runs or waits."""
        names = set(state.service_names())
        self._longest_left_s = {}
        for key, pool in list(self._pools.items()):
            if not names.issuperset(key) and not pool.room.running and not pool.queues.waiting:
                del self._pools[key]
        self._pools_of = {}
        for key, pool in self._pools.items():
            for name in key:
                self._pools_of[name] = (*self._pools_of.get(name, ()), pool)

    def waiting_by_class(self) -> Iterator[tuple[ClassName, int]]:
        """Yield the number of waiting requests of each class."""
        counts: Counter[ClassName] = Counter()
        for pool in self._pools.values():
            for name, number in pool.queues.waiting_by_class():
                counts[name] += number
        yield from counts.items()
