import signal

import anyio
import httpcore
import msgspec
import pytest

from hawthornbridge.daemon import Daemon, run_until_stopped
from hawthornbridge.ids import ClassName, DomainName, MapId, RouteName, ServiceName, ShardName, UpstreamId, VersionName
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
from hawthornbridge.settings import decode
from standins.leaf import Leaf

SERVICE = ServiceName("pattern-desk")
SHARDS = [ShardName(f"s{number}") for number in range(4)]


@pytest.fixture
def anyio_backend():
    return "asyncio"


BODY = {"service": SERVICE, "route": "lookup", "query": "last", "request_id": "q1"}


def settings_for(port, **changes):
    return decode(
        changes
        | {
            "host": {"id": "entry-1", "seat": 0, "seats": 3, "failure_domain": "a", "region": "r1"},
            "listeners": {
                "callers": f"127.0.0.1:{port()}",
                "operators": f"127.0.0.1:{port()}",
                "peers": f"127.0.0.1:{port()}",
            },
            "tokens": {"operators": "operators-token-1", "peers": "peers-token-00001"},
            "platform": {"store": f"127.0.0.1:{port()}", "host_list": f"127.0.0.1:{port()}"},
        }
    )


def catalogue_for(leaves):
    changes = [
        PutService(
            Service(
                name=SERVICE,
                routes=(Route(RouteName("lookup")),),
                classes=(ClassLimits(ClassName("default")),),
                version=VersionName("v1"),
            )
        ),
        PutShardMap(ShardMap(id=MapId("m1"), service=SERVICE, shards=tuple(SHARDS))),
        *(PutFailureDomain(FailureDomain(name=DomainName(name))) for name in "ab"),
    ]
    for number, leaf in enumerate(leaves):
        upstream = Upstream(
            id=UpstreamId(f"u{number}"),
            service=SERVICE,
            shard=ShardName(leaf.shard),
            failure_domain=DomainName("ab"[number % 2]),
            version=VersionName("v1"),
            address=leaf.server.address,
            slots=leaf.slots,
            connections=leaf.connections,
        )
        changes.append(PutUpstream(upstream))
    return fold(changes)


async def get(address, path):
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{address}{path}")
        return response.status, response.content


async def post(address, path, body):
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", f"http://{address}{path}", content=msgspec.json.encode(body))
        return response.status, msgspec.json.decode(response.content)


@pytest.mark.anyio
async def test_a_search_covers_every_shard_through_real_sockets(free_port):
    leaves = [Leaf(shard=shard) for shard in SHARDS for _ in range(2)]
    for leaf in leaves:
        await leaf.start()
    settings = settings_for(free_port)
    daemon = Daemon(settings, catalogue_for(leaves))
    async with anyio.create_task_group() as tasks:
        await tasks.start(daemon.run)
        body = {**BODY, "deadline_ms": 1_000}
        with anyio.fail_after(5):
            while True:
                status, answer = await post(settings.listeners.callers, "/v1/search", body)
                if status == 200 and answer["coverage"]["answered"] == len(SHARDS):
                    break
        tasks.cancel_scope.cancel()
    for leaf in leaves:
        await leaf.stop()
    assert answer["coverage"] == {"answered": 4, "total": 4, "missing": []}
    assert len(answer["hits"]) == 12
    assert answer["request_id"] == "q1"
    assert answer["snapshot"] == 1


@pytest.mark.anyio
async def test_a_planned_stop_cuts_no_request(free_port):
    """Guards against requests lost while a host stops: callers use its address as long as the answer is valid."""
    leaves = [Leaf(shard=shard, service_ms=20) for shard in SHARDS for _ in range(2)]
    for leaf in leaves:
        await leaf.start()
    settings = settings_for(free_port, address_valid_ms=200)
    address = settings.listeners.callers
    daemon = Daemon(settings, catalogue_for(leaves))
    stopped, outcomes, asked_late = anyio.Event(), [], []

    async def run(*, task_status):
        await daemon.run(task_status=task_status)
        stopped.set()

    async def caller(number):
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while True:
                asked_s = anyio.current_time()
                content = (await pool.request("GET", f"http://{address}/v1/addresses")).content
                valid = msgspec.json.decode(content)
                until_s = asked_s + valid["valid_ms"] / 1_000
                if not valid["addresses"]:
                    return
                while anyio.current_time() < until_s:
                    request_id = f"{number}-{len(outcomes)}"
                    asked_late.append(daemon.leaving)
                    body = {"service": SERVICE, "route": "lookup", "query": "x", "request_id": request_id}
                    content = msgspec.json.encode({**body, "deadline_ms": 5_000})
                    response = await pool.request("POST", f"http://{address}/v1/search", content=content)
                    outcomes.append(
                        (response.status, msgspec.json.decode(response.content)["request_id"] == request_id)
                    )

    async with anyio.create_task_group() as tasks:
        await tasks.start(run)
        while (await post(address, "/v1/search", {**BODY, "deadline_ms": 1_000}))[0] != 200:
            pass
        async with anyio.create_task_group() as callers:
            for number in range(8):
                callers.start_soon(caller, number)
            while len(outcomes) < 20:
                await anyio.sleep(0)
            daemon.stop()
        with anyio.fail_after(5):
            await stopped.wait()
        tasks.cancel_scope.cancel()
    for leaf in leaves:
        await leaf.stop()
    assert set(outcomes) == {(200, True)}
    assert any(asked_late)


@pytest.mark.anyio
async def test_a_signal_begins_the_planned_stop(free_port):
    """Guards against a server library that takes the signal and stops at once."""
    settings = settings_for(free_port, address_valid_ms=100)
    daemon = Daemon(settings, catalogue_for([]))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_until_stopped, daemon)
        with anyio.fail_after(5):
            while not daemon.serving:
                await anyio.sleep(0.01)
            before = (await get(settings.listeners.operators, "/readyz"))[0]
            signal.raise_signal(signal.SIGTERM)
            while not daemon.leaving:
                await anyio.sleep(0.01)
            during = (await get(settings.listeners.operators, "/readyz"))[0]
            addresses = (await get(settings.listeners.callers, "/v1/addresses"))[1]
    assert (before, during) == (200, 503)
    assert msgspec.json.decode(addresses)["addresses"] == []
