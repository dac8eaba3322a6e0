"""Hosts, upstreams with a ledger and callers in virtual time, shared by the tests of executions."""

import random
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum

import anyio
import trio
import uuid_utils

from hawthornbridge.claims import ClaimLimits, Claims
from hawthornbridge.executions import Executions
from hawthornbridge.ids import (
    DomainName,
    HostId,
    IdempotencyKey,
    MapId,
    RequestId,
    RouteName,
    ServiceName,
    ShardName,
    UpstreamId,
    VersionName,
)
from hawthornbridge.model import (
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
from hawthornbridge.outcomes import Execution
from hawthornbridge.requests import ExecuteRequest
from hawthornbridge.subrequests import FailureKind, Result, UpstreamFailure, UpstreamRefusal, UpstreamRefusalKind
from standins.memorystore import Fault, MemoryStore, StoreState

EPOCH_S = 1_800_000_000.0
SERVICE = ServiceName("order-book")
ORDER = RouteName("order")
PRICE = RouteName("price")
UPSTREAMS = 3


def wall_clock_s():
    return EPOCH_S + trio.current_time()


def new_key(number=0):
    return IdempotencyKey(str(uuid_utils.uuid7(nanoseconds=int(wall_clock_s() * 1e9) + number)))


def catalogue(shards=("s0",), addresses=("127.0.0.1:1",) * UPSTREAMS):
    service = Service(
        name=SERVICE,
        routes=(Route(ORDER, idempotent=False), Route(PRICE)),
        classes=(ClassLimits("default"),),
        version=VersionName("v1"),
    )
    shard_map = ShardMap(id=MapId("m1"), service=SERVICE, shards=tuple(ShardName(shard) for shard in shards))
    upstreams = [
        Upstream(
            id=UpstreamId(f"{shard}-u{number}"),
            service=SERVICE,
            shard=ShardName(shard),
            failure_domain=DomainName("a"),
            version=VersionName("v1"),
            address=address,
            slots=3,
            connections=110,
        )
        for shard in shards
        for number, address in enumerate(addresses)
    ]
    return fold(
        [
            PutService(service),
            PutShardMap(shard_map),
            PutFailureDomain(FailureDomain(name=DomainName("a"))),
            *(PutUpstream(upstream) for upstream in upstreams),
        ]
    )


class Send(Enum):
    """What happens to one request at an upstream."""

    RUN = "run"
    REFUSE = "refuse"
    LOSE_REQUEST = "lose_request"
    LOSE_ANSWER = "lose_answer"
    RUN_LATE = "run_late"


@dataclass
class Ledger:
    """Record what the upstreams of all hosts ran."""

    tasks: trio.Nursery
    executed: list = field(default_factory=list)
    script: deque = field(default_factory=deque)
    service_s: float = 0.002

    @property
    def per_key(self):
        return Counter(request.idempotency_key for request in self.executed)

    @property
    def attempts(self):
        return {request.attempt_id for request in self.executed}

    @property
    def request_ids(self):
        """Return the callers' request ids; a sub-request's id is the caller's with the attempt id."""
        return {request.request_id.partition(":")[0] for request in self.executed}

    def run(self, request):
        self.executed.append(request)

    async def run_late(self, request, delay_s):
        await anyio.sleep(delay_s)
        self.run(request)


@dataclass(frozen=True)
class Chosen:
    upstream: Upstream


class Upstreams:
    """Choose and run as UpstreamTable does, against the ledger; the gate pauses the host around each call."""

    def __init__(self, ledger, host):
        self._ledger = ledger
        self._host = host

    def choose(self, service, shard, version, snapshot, excluded=()):
        # A process that is stopped here goes on with the next line, whatever the time is by then.
        trio.lowlevel.current_clock().jump(self._host.stall_s)
        self._host.wall_offset_s += self._host.suspend_s
        left = [u for u in self._host.catalogue.replicas(service, shard) if u.id not in excluded]
        return Chosen(left[0]) if left else None

    async def execute(self, state, request):
        self._host.sent.append(request.attempt_id)
        await self._host.gate()
        ledger = self._ledger
        send = ledger.script.popleft() if ledger.script else Send.RUN
        await anyio.sleep(ledger.service_s)
        match send:
            case Send.REFUSE:
                await self._host.gate()
                return UpstreamRefusal(UpstreamRefusalKind.SHED, Execution.NOT_RUN)
            case Send.LOSE_REQUEST:
                return UpstreamFailure(FailureKind.RESET, Execution.UNKNOWN, "scripted")
            case Send.RUN_LATE:
                ledger.tasks.start_soon(ledger.run_late, request, 3.0)
                await anyio.sleep(30)
            case Send.LOSE_ANSWER:
                ledger.run(request)
                return UpstreamFailure(FailureKind.RESET, Execution.UNKNOWN, "scripted")
        ledger.run(request)
        await self._host.gate()
        return Result(request.request_id, {"entry": request.idempotency_key, "by": request.attempt_id}, 1)


class GatedStore(MemoryStore):
    """Pause the host before each call and after each answer."""

    def __init__(self, state, host):
        super().__init__(state)
        self._host = host

    async def get(self, key):
        await self._host.gate()
        outcome = await super().get(key)
        await self._host.gate()
        return outcome

    async def watch(self, key, after, wait_s):
        await self._host.gate()
        outcome = await super().watch(key, after, wait_s)
        await self._host.gate()
        return outcome

    async def compare_and_swap(self, key, value, expected, lease=None):
        await self._host.gate()
        outcome = await super().compare_and_swap(key, value, expected, lease)
        await self._host.gate()
        return outcome


class Host:
    """Run the executions of one host; it can be paused and lost."""

    def __init__(self, name, state, ledger, limits=None):
        self.name = name
        self.catalogue = catalogue()
        self.sent = []
        self.lost = False
        self.stall_s = 0.0
        self.suspend_s = 0.0
        self.wall_offset_s = 0.0
        self.write_faults = deque()
        self._state = state
        self._ledger = ledger
        self._limits = limits
        self._open = anyio.Event()
        self._open.set()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.store = GatedStore(self._state, self)
            rng = random.Random(self.name)
            self.store.faults.choose = self._write_fault
            limits = self._limits if self._limits is not None else ClaimLimits()
            self.claims = Claims(self.store, HostId(self.name), tasks, self.wall_clock_s, limits, rng)
            upstreams = Upstreams(self._ledger, self)
            self.executions = Executions(self.claims, upstreams, lambda: self.catalogue, tasks, self.wall_clock_s)
            task_status.started()
            await anyio.sleep_forever()

    def wall_clock_s(self):
        return wall_clock_s() + self.wall_offset_s

    def _write_fault(self, kind):
        return self.write_faults.popleft() if kind == "compare_and_swap" and self.write_faults else Fault.NONE

    async def gate(self):
        await self._open.wait()

    def pause(self):
        if self._open.is_set():
            self._open = anyio.Event()

    def resume(self):
        self._open.set()

    def lose(self):
        self.lost = True
        self.tasks.cancel_scope.cancel()

    async def order(self, key, wait_s=1.0, payload=1, route=ORDER, request_id="r"):
        deadline_s = anyio.current_time() + wait_s
        request = ExecuteRequest(RequestId(request_id), SERVICE, route, "default", "c", key, payload, deadline_s)
        return await self.executions.execute(request)


class World:
    """Hold hosts that share a store and a ledger."""

    def __init__(self, nursery, count, limits=None):
        self.state = StoreState()
        self.ledger = Ledger(nursery)
        self.hosts = [Host(f"h{number}", self.state, self.ledger, limits) for number in range(count)]


class Opened:
    """Run a world for the length of a with block."""

    def __init__(self, count, limits=None):
        self._count = count
        self._limits = limits

    async def __aenter__(self):
        self._manager = trio.open_nursery()
        nursery = await self._manager.__aenter__()
        self._nursery = nursery
        world = World(nursery, self._count, self._limits)
        for host in world.hosts:
            await nursery.start(host.run)
        return world

    async def __aexit__(self, *error):
        self._nursery.cancel_scope.cancel()
        return await self._manager.__aexit__(*error)
