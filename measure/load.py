"""Open-loop load on the callers' interface, and its results."""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore
import msgspec
import uuid_utils
from hdrh.histogram import HdrHistogram

__all__ = ["CallerProcess", "Callers", "LoadResult", "Record"]

MAX_LATENCY_US = 60_000_000


@dataclass(frozen=True, slots=True)
class Record:
    """Result of one request: "answer", "cut" if no answer came, or the kind and execution of a refusal."""

    sent_s: float
    latency_ms: float
    result: str
    coverage: float
    snapshot: int


@dataclass
class LoadResult:
    """Results of the searches of one load."""

    latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    coverage: list[float] = field(default_factory=list)
    refusals: Counter[str] = field(default_factory=Counter)
    snapshots: Counter[int] = field(default_factory=Counter)
    hedged: int = 0
    cut: int = 0
    sent: int = 0
    mismatched_ids: int = 0
    records: list[Record] = field(default_factory=list)

    @property
    def answered(self) -> int:
        """Return the number of answers."""
        return len(self.coverage)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of answers."""
        return float(self.latency_us.get_value_at_percentile(percentile)) / 1_000

    def mean_coverage(self) -> float:
        """Return the mean coverage of answers."""
        return sum(self.coverage) / len(self.coverage) if self.coverage else 0.0

    def complete_share(self) -> float:
        """Return the share of answers that cover every shard."""
        return sum(ratio == 1.0 for ratio in self.coverage) / len(self.coverage) if self.coverage else 0.0


class Callers:
    """Callers that send requests at random times to the entry addresses that hosts give, while these are valid."""

    def __init__(self, seeds: list[str], seed: int, caller_ms: float = 0.0) -> None:
        self._seeds = list(seeds)
        self._random = random.Random(seed)
        self._network_delay_s = caller_ms / 1_000
        self._pool = httpcore.AsyncConnectionPool(max_connections=512, max_keepalive_connections=512)
        self._addresses: list[str] = []
        self._valid_until_s = 0.0

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def searches(
        self, service: str, routes: tuple[str, ...], per_s: float, duration_s: float, deadline_ms: int = 120
    ) -> LoadResult:
        """Send searches for the given time and return their results."""
        outcome = LoadResult()
        async with anyio.create_task_group() as tasks:
            started_s = anyio.current_time()
            due_s = started_s
            while (due_s := due_s + self._random.expovariate(per_s)) < started_s + duration_s:
                await anyio.sleep_until(due_s)
                body = {
                    "service": service,
                    "route": self._random.choice(routes),
                    "query": "last",
                    "request_id": str(uuid_utils.uuid7()),
                    "deadline_ms": deadline_ms,
                }
                tasks.start_soon(self._search, body, outcome)
        return outcome

    async def post(self, path: str, body: dict[str, Any], timeout_s: float = 5.0) -> tuple[int, Any]:
        """Send one request to an entry host; return status 0 if no answer came."""
        content = msgspec.json.encode(body)
        try:
            with anyio.fail_after(timeout_s):
                response = await self._request(path, content)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError):
            self._valid_until_s = 0.0
            return 0, None
        return response.status, msgspec.json.decode(response.content)

    async def address(self) -> str:
        """Return an entry address; request new ones if the known ones have expired."""
        if anyio.current_time() >= self._valid_until_s or not self._addresses:
            await self._refresh()
        return self._random.choice(self._addresses or self._seeds)

    async def _request(self, path: str, content: bytes) -> httpcore.Response:
        while True:
            address = await self.address()
            try:
                return await self._pool.request("POST", f"http://{address}{path}", content=content)
            except httpcore.ConnectError:
                # Nothing was sent, so the request can go to another address; the failed address is dropped.
                self._addresses = [other for other in self._addresses if other != address]

    async def _refresh(self) -> None:
        for seed in self._random.sample(self._seeds, len(self._seeds)):
            try:
                with anyio.fail_after(1):
                    response = await self._pool.request("GET", f"http://{seed}/v1/addresses")
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError):
                continue
            answer = msgspec.json.decode(response.content)
            self._addresses = answer["addresses"]
            self._valid_until_s = anyio.current_time() + answer["valid_ms"] / 1_000
            return

    async def _search(self, body: dict[str, Any], outcome: LoadResult) -> None:
        outcome.sent += 1
        started_s = anyio.current_time()
        status, answer = await self.post("/v1/search", body)
        # The network delay between caller and host is added, because loopback has none.
        latency_s = anyio.current_time() - started_s + 2 * self._network_delay_s
        if status == 0:
            outcome.cut += 1
            outcome.records.append(Record(started_s, latency_s * 1_000, "cut", 0.0, 0))
            return
        if status != 200:
            refusal = answer["error"]["kind"] + "/" + answer["error"]["execution"]
            outcome.refusals[refusal] += 1
            outcome.records.append(Record(started_s, latency_s * 1_000, refusal, 0.0, 0))
            return
        coverage = answer["coverage"]
        ratio = coverage["answered"] / coverage["total"]
        outcome.records.append(Record(started_s, latency_s * 1_000, "answer", ratio, answer["snapshot"]))
        outcome.latency_us.record_value(max(1, min(MAX_LATENCY_US, int(latency_s * 1e6))))
        outcome.coverage.append(ratio)
        outcome.snapshots[answer["snapshot"]] += 1
        outcome.hedged += answer["hedged"]
        outcome.mismatched_ids += answer["request_id"] != body["request_id"]


class CallerProcess:
    """Callers in a child process; they return a record of each request, with monotonic times."""

    def __init__(self, seeds: list[str], seed: int, caller_ms: float) -> None:
        self._callers = Callers(seeds, seed, caller_ms)
        self._seeds = seeds

    async def searches(
        self, service: str, routes: tuple[str, ...], per_s: float, duration_s: float, deadline_ms: int
    ) -> list[Record]:
        """Send searches for the given time and return a record of each."""
        return (await self._callers.searches(service, routes, per_s, duration_s, deadline_ms)).records

    async def repeated_orders(self, service: str, route: str, per_s: float, duration_s: float) -> list[list[str]]:
        """Send each order twice to all hosts at the same time, and return the execution that each attempt reported."""
        orders: list[list[str]] = []
        async with anyio.create_task_group() as tasks:
            ended_s = anyio.current_time() + duration_s
            while anyio.current_time() < ended_s:
                body = {"service": service, "route": route, "payload": "one", "deadline_ms": 1_000}
                body["idempotency_key"] = str(uuid_utils.uuid7())
                orders.append([])
                for address in self._seeds:
                    tasks.start_soon(self._order, address, body, orders[-1])
                await anyio.sleep(1 / per_s)
        return orders

    async def _order(self, address: str, body: dict[str, Any], results: list[str]) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            for _ in range(2):
                content = msgspec.json.encode({**body, "request_id": str(uuid_utils.uuid7())})
                try:
                    with anyio.fail_after(5):
                        response = await pool.request("POST", f"http://{address}/v1/execute", content=content)
                except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
                    results.append("cut")
                    continue
                answer = msgspec.json.decode(response.content)
                results.append(answer["execution"] if response.status == 200 else answer["error"]["execution"])
