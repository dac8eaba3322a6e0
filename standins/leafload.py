"""Load on a gateway over virtual leaves, played in virtual time, and what its callers get."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from hawthornbridge.callers import Message
from hawthornbridge.gateway import Gateway
from hawthornbridge.gatewaymetrics import GatewayMetrics
from hawthornbridge.hedgedrequests import GatewayContext
from hawthornbridge.ids import DomainName, ServiceName, UpstreamId, VersionName
from hawthornbridge.leafadmission import LeafAdmission
from hawthornbridge.leafroom import RoomEstimator
from hawthornbridge.leaves import LeafEntry, LeafTable
from hawthornbridge.metricspage import MetricsPage
from hawthornbridge.platform.headers import HEADERS
from hawthornbridge.retrybudget import BudgetLimits, RetryBudget
from hawthornbridge.routing import Route, RoutingState, ServiceLimits
from hawthornbridge.teams import TeamIndex
from standins.virtualtime import VirtualLeaf, VirtualLeafClient

__all__ = ["LoadedGateway", "Result", "Traffic", "in_time_share"]

DOMAIN = DomainName("z1")
CONNECTIONS = 1_000
RETRY_AFTER_SHARE = 1.0 / 3.0
DEFAULT_RETRY_S = 0.1


@dataclass(frozen=True, slots=True)
class Traffic:
    """Requests of one kind at a rate per second, which may change over time."""

    route: Route
    per_s: float
    from_s: float = 0.0
    until_s: float = 10.0
    key: bytes | None = None
    retries: int = 0


@dataclass(slots=True)
class Result:
    """What one request's caller got; the times are in seconds from the start of the load."""

    route: str
    key: bytes | None
    asked_s: float
    objective_s: float
    ended_s: float = 0.0
    statuses: list[int] = field(default_factory=list)
    retry_after_s: list[float] = field(default_factory=list)

    @property
    def is_in_time(self) -> bool:
        """Return whether a good answer came within the objective."""
        return self.statuses[-1:] == [200] and self.ended_s - self.asked_s <= self.objective_s


def in_time_share(results: Iterable[Result], accept: Callable[[Result], bool] = lambda result: True) -> float:
    """Return the share of the accepted results that were in time."""
    chosen = [result.is_in_time for result in results if accept(result)]
    return sum(chosen) / len(chosen)


class _Hosts:
    def __init__(self, number: int) -> None:
        self._number = number

    def count(self) -> int:
        return self._number

    def rank(self, key: str) -> int:
        return 0


class LoadedGateway:
    """A gateway, with or without admission, over virtual leaves that have a number of slots each."""

    def __init__(
        self,
        routes: tuple[Route, ...],
        work_s: dict[str, float],
        *,
        leaves: int = 3,
        slots: int = 2,
        has_admission: bool = True,
        teams: TeamIndex | None = None,
        seed: int = 1,
        hosts: int = 1,
        shared: dict[str, VirtualLeaf] | None = None,
    ) -> None:
        """Create a gateway; shared are the leaves of another one, if hosts is above 1."""
        self._random = random.Random(seed)
        random.seed(seed)
        clock = asyncio.get_running_loop().time
        self._clock = clock
        self._started_s = clock()
        self.results: list[Result] = []
        shares = _Hosts(hosts)
        self.table = LeafTable(DOMAIN, shares, clock)
        services = tuple(dict.fromkeys(service for route in routes for service in route.services()))
        self.leaves = shared or {
            f"{service}-{number}": VirtualLeaf(slots, work_s.__getitem__)
            for service in services
            for number in range(leaves)
        }
        client = VirtualLeafClient(HEADERS, self.leaves)
        budget = RetryBudget(BudgetLimits(0.2, 10.0, 200.0), shares.count, clock)
        estimator = RoomEstimator(self.table, shares, clock)
        self.admission = LeafAdmission(estimator, clock) if has_admission else None
        context = GatewayContext(
            HEADERS,
            self.table,
            client,  # type: ignore[arg-type]
            budget,
            clock,
            admission=self.admission,
        )
        self.gateway = Gateway(context, GatewayMetrics(MetricsPage()), random.Random(seed))
        limits = dict.fromkeys(services, ServiceLimits(CONNECTIONS))
        self.gateway.apply(RoutingState(1, routes, limits, teams))
        for leaf_id in self.leaves:
            self.put(leaf_id, slots)

    @property
    def now_s(self) -> float:
        """Return the time since the start."""
        return self._clock() - self._started_s

    def put(self, leaf_id: str, slots: int) -> None:
        """List a leaf."""
        service = ServiceName(leaf_id.rpartition("-")[0])
        entry = LeafEntry(UpstreamId(leaf_id), service, "", DOMAIN, VersionName("v1"), slots, True, 0, 1)
        self.table.put(entry)

    async def play(self, *traffic: Traffic) -> list[Result]:
        """Play traffic with random gaps until all its requests have ended."""
        async with anyio.create_task_group() as tasks:
            for each in traffic:
                tasks.start_soon(self._arrive, each, random.Random(self._random.random()), tasks)
        return self.results

    async def ask(
        self, route: Route, key: bytes | None = None, retries: int = 0, leave_after_s: float = 60.0
    ) -> Result:
        """Ask as a caller does, and again after refusals."""
        result = Result(route.name, key, self.now_s, route.objective_s)
        self.results.append(result)
        deadline_s = self.now_s + route.timeout_s
        for attempt in range(1 + retries):
            left_s = deadline_s - self.now_s
            if left_s <= 0:
                break
            status, retry_after_s = await self._ask_once(route, key, left_s, leave_after_s)
            result.statuses.append(status)
            if status != 503:
                break
            result.retry_after_s.append(retry_after_s)
            if attempt < retries:
                await anyio.sleep(min(retry_after_s, (deadline_s - self.now_s) * RETRY_AFTER_SHARE))
        result.ended_s = self.now_s
        return result

    async def _arrive(self, traffic: Traffic, rng: random.Random, tasks: TaskGroup) -> None:
        await anyio.sleep(max(0.0, traffic.from_s - self.now_s))
        while True:
            await anyio.sleep(rng.expovariate(traffic.per_s))
            if self.now_s >= traffic.until_s:
                return
            tasks.start_soon(self.ask, traffic.route, traffic.key, traffic.retries)

    async def _ask_once(
        self, route: Route, key: bytes | None, left_s: float, leave_after_s: float
    ) -> tuple[int, float]:
        """Return the status, 0 without an answer, and the seconds of Retry-After."""
        parts: list[Message] = [{"type": "http.request", "body": b"", "more_body": False}]
        sent: list[Message] = []

        async def receive() -> Message:
            if parts:
                return parts.pop()
            await anyio.sleep(leave_after_s)
            return {"type": "http.disconnect"}

        async def send(message: Message) -> None:
            sent.append(message)

        headers = [(b"host", route.host.encode()), (HEADERS.deadline_ms, b"%d" % (left_s * 1_000))]
        headers.append((HEADERS.request_id, b"%x" % self._random.getrandbits(64)))
        if key is not None:
            headers.append((HEADERS.authorization, b"Token " + key))
        path = route.prefix + b"q"
        scope: Message = {"type": "http", "method": "GET", "path": path.decode(), "raw_path": path}
        await self.gateway({**scope, "query_string": b"", "headers": headers}, receive, send)
        if not sent:
            return 0, DEFAULT_RETRY_S
        answer = dict(sent[0]["headers"])
        return sent[0]["status"], float(answer.get(b"retry-after", DEFAULT_RETRY_S))

    def started_by_route(self) -> Counter[str]:
        """Return how many requests of each route the leaves have started."""
        return Counter(route for leaf in self.leaves.values() for route in leaf.started)
