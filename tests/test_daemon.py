import re
import signal
from pathlib import Path

import anyio
import httpcore
import msgspec
import pytest
import uuid_utils

from hawthornbridge import operations_pb as pb
from hawthornbridge.acceptance import ChangeAccepted
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
)
from hawthornbridge.settings import decode
from measure.local import LocalFleet, free_address, post, settings_tree
from standins.leaf import Leaf

SERVICE = ServiceName("pattern-desk")
SHARDS = [ShardName(f"s{number}") for number in range(4)]


@pytest.fixture
def anyio_backend():
    return "asyncio"


BODY = {"service": SERVICE, "route": "lookup", "query": "last", "request_id": "q1"}


def changes_for(leaves):
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
    return changes


@pytest.fixture
async def leaves():
    started = [Leaf(shard=shard, service_ms=20) for shard in SHARDS for _ in range(2)]
    for leaf in started:
        await leaf.start()
    yield started
    for leaf in started:
        await leaf.stop()


async def get(address, path):
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{address}{path}")
        return response.status, response.content


async def covered(address):
    """Search until every shard answers, as the upstreams are cold at first."""
    with anyio.fail_after(10):
        while True:
            status, answer = await post(address, "/v1/search", {**BODY, "deadline_ms": 1_000})
            if status == 200 and answer["coverage"]["answered"] == len(SHARDS):
                return answer
            await anyio.sleep(0.02)


@pytest.mark.anyio
async def test_a_search_covers_every_shard_through_real_sockets(leaves):
    fleet = LocalFleet(1)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        status, refused = await post(fleet.caller_addresses[0], "/v1/search", BODY)
        assert (status, refused["error"]["execution"]) == (503, "not_run")  # no configuration yet
        await fleet.apply(changes_for(leaves))
        answer = await covered(fleet.caller_addresses[0])
        tasks.cancel_scope.cancel()
    await fleet.stop()
    assert answer["coverage"] == {"answered": 4, "total": 4, "missing": []}
    assert len(answer["hits"]) == 12
    assert answer["request_id"] == "q1"
    assert answer["snapshot"] == 1


@pytest.mark.anyio
async def test_a_planned_stop_cuts_no_request(leaves):
    """Guards against requests lost while a host stops: callers use its address as long as the answer is valid."""
    fleet = LocalFleet(1, address_valid_ms=1_000)
    outcomes, asked_late, stopping = [], [], anyio.Event()

    async def caller(address, number):
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
                    asked_late.append(stopping.is_set())
                    content = msgspec.json.encode({**BODY, "request_id": request_id, "deadline_ms": 5_000})
                    response = await pool.request("POST", f"http://{address}/v1/search", content=content)
                    outcomes.append(
                        (response.status, msgspec.json.decode(response.content)["request_id"] == request_id)
                    )

    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await fleet.apply(changes_for(leaves))
        address = fleet.caller_addresses[0]
        await covered(address)
        async with anyio.create_task_group() as callers:
            for number in range(8):
                callers.start_soon(caller, address, number)
            while len(outcomes) < 20:
                await anyio.sleep(0.01)
            stopping.set()
            fleet.daemons[0].stop()
        with anyio.fail_after(10):
            await fleet.daemons[0].wait_stopped()
        tasks.cancel_scope.cancel()
    await fleet.stop()
    assert set(outcomes) == {(200, True)}
    assert any(asked_late)


@pytest.mark.anyio
async def test_a_domain_is_drained_through_the_operators_call(leaves):
    """Guards against a host whose load report lacks data that the check before a drain needs."""
    fleet = LocalFleet(1)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await fleet.apply(changes_for(leaves))
        await covered(fleet.caller_addresses[0])
        domain = (await fleet.configuration()).domains[DomainName("a")]
        request = pb.MoveFailureDomainRequest(
            operation_id=str(uuid_utils.uuid7()),
            expected_generation=domain.generation,
            failure_domain="a",
            reason="maintenance",
        )
        outcome = await fleet.call("drain_failure_domain", request)
        tasks.cancel_scope.cancel()
    await fleet.stop()
    assert isinstance(outcome, ChangeAccepted), outcome


@pytest.mark.anyio
async def test_a_signal_begins_the_planned_stop():
    """Guards against a server library that handles the signal itself and stops immediately."""
    fleet = LocalFleet(1, address_valid_ms=100)
    await fleet.store.start()
    await fleet.host_list.start()
    tree = settings_tree(0, 1, fleet.store.server.address, fleet.host_list.server.address, [free_address()])
    settings = decode(tree | {"address_valid_ms": 300})
    daemon = Daemon(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_until_stopped, daemon)
        with anyio.fail_after(10):
            await daemon.wait_started()
            before = (await get(settings.listeners.callers, "/v1/addresses"))[1]
            signal.raise_signal(signal.SIGTERM)
            while not daemon.leaving:
                await anyio.sleep(0.01)
            ready = (await get(settings.listeners.operators, "/readyz"))[0]
            after = (await get(settings.listeners.callers, "/v1/addresses"))[1]
            await daemon.wait_stopped()
    await fleet.stop()
    assert msgspec.json.decode(before)["addresses"] == [settings.listeners.callers]
    assert ready == 503
    assert msgspec.json.decode(after)["addresses"] == []


@pytest.mark.anyio
async def test_the_metrics_page_has_every_metric_that_operators_are_told_to_watch():
    """Guards against alerts on names that do not exist."""
    page = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    watched = set(re.findall(r"^\| `(hawthornbridge_\w+)`", page, re.M))
    fleet = LocalFleet(1)
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        status, content = await get(fleet.operator_addresses[0], "/metrics")
        tasks.cancel_scope.cancel()
    await fleet.stop()
    named = set(re.findall(r"^# HELP (\w+)", content.decode(), re.M))
    assert status == 200
    assert len(watched) > 5
    assert watched <= named


@pytest.mark.anyio
async def test_a_stop_waits_for_a_request_that_outlasts_the_validity_of_addresses(leaves):
    """Guards against a drain that ends while a request is in progress and cuts it off with the host's connections."""
    fleet = LocalFleet(1, address_valid_ms=100)
    answers = []

    async def ask(address):
        answers.append(await post(address, "/v1/search", {**BODY, "deadline_ms": 5_000}))

    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await fleet.apply(changes_for(leaves))
        address = fleet.caller_addresses[0]
        await covered(address)
        for leaf in leaves:
            leaf.service_ms = 1_000
        async with anyio.create_task_group() as callers:
            callers.start_soon(ask, address)
            while not any(leaf.in_flight for leaf in leaves):
                await anyio.sleep(0.01)
            fleet.daemons[0].stop()
        with anyio.fail_after(10):
            await fleet.daemons[0].wait_stopped()
        tasks.cancel_scope.cancel()
    await fleet.stop()
    [(status, answer)] = answers
    assert status == 200
    assert answer["coverage"]["missing"] == []
