"""Measure the processor time of a gathered request on the entry host, and of its parts."""

import asyncio
import cProfile
import gc
import pstats
import re
import time
from dataclasses import dataclass
from typing import Annotated, Any

import anyio
import cappa

from hawthornbridge.gateway import Gateway
from hawthornbridge.gatewaymetrics import GatewayMetrics
from hawthornbridge.hedgedrequests import GatewayContext
from hawthornbridge.httpconnection import HttpConnection
from hawthornbridge.ids import DomainName, RouteName, ServiceName, UpstreamId, VersionName
from hawthornbridge.leafclient import LeafClient
from hawthornbridge.leaves import LeafEntry, LeafTable
from hawthornbridge.metricspage import MetricsPage
from hawthornbridge.platform.headers import HEADERS
from hawthornbridge.retrybudget import BudgetLimits, RetryBudget
from hawthornbridge.routing import Gather, Route, RoutingState, ServiceLimits
from measure.remote import Remote
from standins.platformleaf import PlatformLeaf

DOMAIN = DomainName("z1")
REPLICAS = 2
WARM_UP_QUERIES = 30
MAX_CONNECTIONS = 20
TOP_FUNCTIONS = 45
RECORDS = bytes(range(192))
REQUEST_ID = re.compile(HEADERS.request_id + rb": (\S+)")
MEMORY_REPLY = b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: a.1\r\ncontent-length: %d\r\n\r\n%s"
# Far longer than any query takes, so that no hedge or cancellation affects the figures.
DEADLINE_S = 30.0


@dataclass
class Command:
    """Print the least and the median processor time of a gathered request; its leaves run in another process."""

    shards: Annotated[int, cappa.Arg(long=True)] = 135
    queries: Annotated[int, cappa.Arg(long=True)] = 60
    rounds: Annotated[int, cappa.Arg(long=True)] = 7
    profile: Annotated[bool, cappa.Arg(long=True)] = False
    # Connections answer at once and without a network, which leaves out the kernel's part and most of the noise.
    in_memory: Annotated[bool, cappa.Arg(long=True)] = False


class PlatformLeaves:
    """Group of leaves without work."""

    def __init__(self) -> None:
        self._leaves: list[PlatformLeaf] = []

    async def start(self, services: list[str]) -> dict[str, str]:
        """Start the leaves and return their addresses by id."""
        for service in services:
            for replica in range(REPLICAS):
                leaf = PlatformLeaf(f"{service}-{replica}", service, work_s=lambda: 0.0)
                await leaf.start()
                self._leaves.append(leaf)
        return {leaf.id: leaf.address for leaf in self._leaves}


class _MemoryTransport(asyncio.Transport):
    """Transport that answers each request at once."""

    def __init__(self, connection: HttpConnection) -> None:
        super().__init__()
        self._connection = connection

    def write(self, data: bytes | bytearray | memoryview) -> None:
        request_id = REQUEST_ID.search(data)
        assert request_id is not None
        reply = MEMORY_REPLY % (HEADERS.request_id, request_id[1], HEADERS.stamp, len(RECORDS), RECORDS)
        asyncio.get_running_loop().call_soon(self._connection.data_received, reply)

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass


def _connect_in_memory(table: LeafTable, services: tuple[ServiceName, ...]) -> None:
    for service in services:
        while (leaf := table.choose(service)) is not None and not leaf.idle:
            connection = HttpConnection(HEADERS.request_id)
            connection.connection_made(_MemoryTransport(connection))
            leaf.idle.append(connection)
            leaf.connections += 1


class _OneHost:
    def count(self) -> int:
        return 1

    def rank(self, key: str) -> int:
        return 0


def _entry(leaf_id: str, address: str) -> LeafEntry:
    service = ServiceName(leaf_id.rpartition("-")[0])
    return LeafEntry(UpstreamId(leaf_id), service, address, DOMAIN, VersionName("v1"), 2, True, 0, 1)


async def _ask(gateway: Gateway, number: int) -> None:
    headers = [
        (b"host", b"h.example"),
        (HEADERS.request_id, b"query-%d" % number),
        (HEADERS.deadline_ms, b"%d" % (DEADLINE_S * 1_000)),
    ]
    scope = {"method": "GET", "path": "/all/q", "raw_path": b"/all/q", "query_string": b"", "headers": headers}
    parts = [{"type": "http.request", "body": b"", "more_body": False}]
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        if parts:
            return parts.pop()
        await anyio.sleep_forever()
        raise AssertionError

    async def send(message: Any) -> None:
        sent.append(message)

    await gateway({**scope, "type": "http"}, receive, send)
    assert sent[0]["status"] == 200, sent
    assert (HEADERS.missing_parts, b"0") in sent[0]["headers"], sent


async def _measure(command: Command, addresses: dict[str, str], profile: cProfile.Profile | None) -> float:
    """Return the processor time in seconds that this thread uses for one query."""
    services = tuple(dict.fromkeys(ServiceName(leaf_id.rpartition("-")[0]) for leaf_id in addresses))
    route = Route(
        name=RouteName("all"),
        host="h.example",
        prefix=b"/all/",
        idempotent=True,
        timeout_s=DEADLINE_S,
        objective_s=DEADLINE_S,
        max_leaves=2,
        plan=Gather(services, 10, 0.5),
    )
    async with anyio.create_task_group() as tasks:
        clock = time.monotonic
        table = LeafTable(DOMAIN, _OneHost(), clock)
        client = LeafClient(HEADERS, tasks, clock)
        budget = RetryBudget(BudgetLimits(0.2, 10.0, 58.0), lambda: 1, clock)
        gateway = Gateway(GatewayContext(HEADERS, table, client, budget, clock), GatewayMetrics(MetricsPage()))
        gateway.apply(RoutingState(1, (route,), dict.fromkeys(services, ServiceLimits(MAX_CONNECTIONS))))
        for leaf_id, address in addresses.items():
            table.put(_entry(leaf_id, address))
        if command.in_memory:
            _connect_in_memory(table, services)
        for number in range(WARM_UP_QUERIES):
            await _ask(gateway, number)
        # As the daemon does some seconds after its start.
        gc.collect()
        gc.freeze()
        if profile is not None:
            profile.enable()
        started_s = time.thread_time()
        for number in range(command.queries):
            await _ask(gateway, number)
        spent_s = time.thread_time() - started_s
        if profile is not None:
            profile.disable()
        for leaf_id in addresses:
            table.remove(UpstreamId(leaf_id))
        tasks.cancel_scope.cancel()
    return spent_s / command.queries


def _report(command: Command, addresses: dict[str, str]) -> None:
    times_s = sorted(anyio.run(_measure, command, addresses, None) for _ in range(command.rounds))
    best_s, median_s = times_s[0], times_s[len(times_s) // 2]
    print(
        f"best {best_s * 1e3:.2f} ms, median {median_s * 1e3:.2f} ms a query of {command.shards} parts; "
        f"best {best_s / command.shards * 1e6:.1f} us a part"
    )
    if command.profile:
        profile = cProfile.Profile()
        anyio.run(_measure, command, addresses, profile)
        pstats.Stats(profile).sort_stats("tottime").print_stats(TOP_FUNCTIONS)


def main() -> None:
    """Run the measurement."""
    command = cappa.parse(Command)
    services = [f"s{number}" for number in range(command.shards)]
    if command.in_memory:
        _report(command, {f"{service}-0": "127.0.0.1:1" for service in services})
        return
    leaves = Remote(PlatformLeaves)
    try:
        _report(command, anyio.run(leaves.call, "start", services))
    finally:
        leaves.close()


if __name__ == "__main__":
    main()
