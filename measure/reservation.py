"""Compare latency when an order's upstream slot is reserved before its claim or only once it can be sent.

The idea that work should not reserve capacity that it cannot use yet comes from "When long prompts delay short
requests", where a decoder's memory is reserved only after a prompt has been read.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

import anyio
import trio
import trio.testing
import uuid_utils
from hdrh.histogram import HdrHistogram

from hawthornbridge.claims import Claims
from hawthornbridge.executions import Executions
from hawthornbridge.ids import (
    CallerId,
    ClassName,
    DomainName,
    HostId,
    IdempotencyKey,
    Incarnation,
    MapId,
    RequestId,
    RouteName,
    ServiceName,
    ShardName,
    SnapshotNumber,
    UpstreamId,
    VersionName,
)
from hawthornbridge.model import (
    Catalogue,
    ClassLimits,
    FailureDomain,
    PutFailureDomain,
    PutService,
    PutShardMap,
    PutUpstream,
    Route,
    Service,
    ShardMap,
    Upstream,
    fold,
)
from hawthornbridge.requests import ExecuteAnswer, ExecuteRequest
from hawthornbridge.subrequests import Execute, ExecuteOutcome, Result
from standins.memorystore import MemoryStore, StoreFaults

__all__ = ["main"]

SERVICE = ServiceName("order-book")
ROUTE = RouteName("enter")
LEAVES = 7
SLOTS = 3
SERVICE_S = 0.008
STORE_DELAY_S = 0.004
DEADLINE_S = 1.0
RUN_S = 20.0
RATES = (50, 200, 400)


class Reservation(Enum):
    """When an order reserves its slot."""

    EARLY = "before the claim"
    LATE = "after the claim"


@dataclass(frozen=True, slots=True)
class _Chosen:
    upstream: Upstream


@dataclass
class _Leaves:
    """All leaves with one pool of slots; the pool favours early reservation, since no order waits at a busy leaf."""

    upstream: Upstream
    reservation: Reservation
    slots: anyio.Semaphore = field(default_factory=lambda: anyio.Semaphore(LEAVES * SLOTS))

    def choose(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber | None,
        excluded: Collection[UpstreamId] = (),
    ) -> _Chosen | None:
        """Return the single upstream that represents all leaves."""
        return None if self.upstream.id in excluded else _Chosen(self.upstream)

    async def execute(self, state: _Chosen, request: Execute) -> ExecuteOutcome:
        """Execute a request in a slot."""
        if self.reservation is Reservation.EARLY:
            await anyio.sleep(SERVICE_S)
        else:
            async with self.slots:
                await anyio.sleep(SERVICE_S)
        return Result(request.request_id, {}, Incarnation(1))


def _catalogue() -> Catalogue:
    service = Service(
        name=SERVICE,
        routes=(Route(ROUTE, idempotent=False),),
        classes=(ClassLimits(ClassName("default")),),
        version=VersionName("v1"),
    )
    upstream = Upstream(
        id=UpstreamId("u"),
        service=SERVICE,
        shard=ShardName("s0"),
        failure_domain=DomainName("a"),
        version=VersionName("v1"),
        address="127.0.0.1:1",
        slots=SLOTS,
        connections=110,
    )
    domain = PutFailureDomain(FailureDomain(name=DomainName("a")))
    shard_map = PutShardMap(ShardMap(id=MapId("m"), service=SERVICE, shards=(ShardName("s0"),)))
    return fold([domain, PutService(service), shard_map, PutUpstream(upstream)])


async def _run(reservation: Reservation, per_s: float) -> tuple[HdrHistogram, int, int]:
    clock_start_s = 1_800_000_000.0
    rng = random.Random(1)
    catalogue = _catalogue()
    leaves = _Leaves(next(iter(catalogue.upstreams.values())), reservation)
    latency_us, late, sent = HdrHistogram(1, 60_000_000, 3), 0, 0

    def wall_clock_s() -> float:
        return clock_start_s + anyio.current_time() - started_s

    async def order(executions: Executions) -> None:
        nonlocal late
        asked_s = anyio.current_time()
        key = uuid_utils.uuid7(nanoseconds=int(wall_clock_s() * 1e9))
        request = ExecuteRequest(
            RequestId("r"),
            SERVICE,
            ROUTE,
            ClassName("default"),
            CallerId("c"),
            IdempotencyKey(str(key)),
            {},
            asked_s + DEADLINE_S,
        )
        if reservation is Reservation.EARLY:
            async with leaves.slots:
                outcome = await executions.execute(request)
        else:
            outcome = await executions.execute(request)
        taken_s = anyio.current_time() - asked_s
        if isinstance(outcome, ExecuteAnswer) and taken_s <= DEADLINE_S:
            latency_us.record_value(int(taken_s * 1e6))
        else:
            late += 1

    started_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        store = MemoryStore(faults=StoreFaults(delay_s=STORE_DELAY_S))
        claims = Claims(store, HostId("h"), tasks, wall_clock_s, rng=rng)
        executions = Executions(claims, leaves, lambda: catalogue, tasks, wall_clock_s)
        due_s = started_s
        while (due_s := due_s + rng.expovariate(per_s)) < started_s + RUN_S:
            await anyio.sleep_until(due_s)
            sent += 1
            tasks.start_soon(order, executions)
    return latency_us, late, sent


def main() -> None:
    """Print a table of latencies and of orders that were late or refused."""
    print(f"{LEAVES} leaves of {SLOTS} slots, {SERVICE_S * 1e3:.0f} ms a request, one host, virtual time")
    print("| slot taken | orders/s | p50 ms | p99 ms | late or refused |")
    print("| --- | --- | --- | --- | --- |")
    for per_s in RATES:
        for reservation in Reservation:
            clock = trio.testing.MockClock(autojump_threshold=0)
            latency_us, late, sent = trio.run(_run, reservation, per_s, clock=clock)
            p50, p99 = (latency_us.get_value_at_percentile(percentile) / 1e3 for percentile in (50, 99))
            print(f"| {reservation.value} | {per_s} | {p50:.0f} | {p99:.0f} | {late} of {sent} |", flush=True)


if __name__ == "__main__":
    main()
