"""The scenarios: what happens to a fleet under load, and what has to hold."""

import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import uuid_utils

from hawthornbridge import operations_pb as pb
from hawthornbridge.ids import DomainName, Generation, MapId, ServiceName, ShardName
from hawthornbridge.model import PutShardMap, ShardMap
from measure.deployments import KOTTAYAM, SWAPSIES, Deployment
from measure.stages import HALF_S, TARGET_MS, Stage, accepted
from measure.versionscenarios import bad_version, good_version

__all__ = ["NAIVE", "POLICY", "SCENARIOS", "Scenario"]

POLICY: dict[str, str] = {}
NAIVE = {"replica_choice": "random", "hedging": "naive", "admission": "fifo", "ramp": "none"}
DRAIN_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 4.0
IDLE_S = 4.0
# An incomplete answer after this time ran into its deadline; an earlier one had no replica left to ask.
NEAR_DEADLINE_MS = 100.0


Act = Callable[[Stage], Awaitable[None]]
Compare = Callable[[Stage, Stage], None]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Describe one row of the table; compare sees the stages of the policy and of the naive baseline.

    There is no baseline where the decisions that are measured do not come from the plug-ins of the naive policy.
    """

    name: str
    title: str
    act: Act
    deployment: Deployment = KOTTAYAM
    per_s: float = 25.0
    duration_s: float = 20.0
    compare: Compare | None = None
    options: dict[str, Any] = field(default_factory=dict)
    baseline: bool = True


async def steady(stage: Stage) -> None:
    """Nothing happens."""
    idle_s = sum(stage.fleet.processor_s().values())
    await anyio.sleep(IDLE_S)
    idle = (sum(stage.fleet.processor_s().values()) - idle_s) / IDLE_S
    stage.expect("processor time of all daemons without load", f"{idle:.2f} cores", None)
    async with stage.load():
        pass
    assert stage.figures is not None
    net_ms = (stage.figures.cores - idle) * stage.duration_s * 1_000 / stage.figures.requests
    share = net_ms / stage.figures.query_ms
    stage.expect(
        "processor time without that of the background",
        f"{net_ms:.1f} ms per query, {share * stage.figures.sub_request_ms:.2f} ms per sub-request",
        None,
    )
    stage.expect_within()


async def stragglers(stage: Stage) -> None:
    """One sub-request in 100 is ten times slower."""
    ids = [leaf.id for leaf in stage.fleet.leaves]
    await stage.fleet.at_leaves("set_fault", ids, "straggler_share", 0.01)
    # The delay is learnt from the load that it is used for.
    await stage.search(stage.per_s, HALF_S)
    async with stage.load():
        pass
    stage.expect_within()


def compare_stragglers(policy: Stage, naive: Stage) -> None:
    """Expect a tail of half the naive one's for few extra sub-requests."""
    assert policy.figures is not None and naive.figures is not None
    ratio = policy.figures.p99_ms / naive.figures.p99_ms
    extra = policy.figures.extra_share
    policy.expect("p99 at most half of the naive policy's", f"ratio {ratio:.2f}", ratio <= 0.5)
    policy.expect("at most 5% extra sub-requests", f"{extra:.2%}", extra <= 0.05)


async def lost_replica(stage: Stage) -> None:
    """Replica 0 of every shard is lost 3 s after the load has started."""
    lost = [leaf.id for leaf in stage.fleet.deployment.search.leaves() if leaf.id.endswith("-0")]
    async with stage.load():
        await anyio.sleep(3)
        lost_s = time.monotonic()
        await stage.fleet.at_leaves("stop", lost)
    settled = [record.coverage for record in stage.records if record.result == "answer" and record.sent_s > lost_s + 1]
    mean = sum(settled) / max(1, len(settled))
    assert stage.figures is not None
    stage.expect("coverage 1.0 with one replica of each shard gone (after 1 s)", f"{mean:.5f}", mean == 1.0)
    whole = stage.figures.coverage
    partial = [record for record in stage.records if record.result == "answer" and record.coverage < 1.0]
    late = sum(record.latency_ms > NEAR_DEADLINE_MS for record in partial)
    stage.expect(f"incomplete answers that took more than {NEAR_DEADLINE_MS:g} ms", f"{late} of {len(partial)}", None)
    stage.expect("coverage 1.0 over the whole run, the loss included", f"{whole:.5f}", whole == 1.0)
    stage.expect_within()


async def drain_and_restore(stage: Stage) -> None:
    """A failure domain is drained under load and restored 8 s later, its leaves cold."""
    fleet, domain = stage.fleet, "a"
    ids = stage.domain_leaves(domain)
    async with stage.load(duration_s=30):
        await anyio.sleep(2)
        asked_s = anyio.current_time()
        generation = await _move(stage, "drain_failure_domain", domain)
        accepted_s = anyio.current_time()
        await fleet.wait_in_force(generation)
        in_force_s = anyio.current_time() - asked_s
        await anyio.sleep_until(accepted_s + DRAIN_LIMIT_S)
        before = await stage.received(ids)
        await anyio.sleep(5)
        late = await stage.received(ids) - before
        # A stand-in bears one request until it has served as many as the ramp asks for before it doubles.
        await fleet.at_leaves("turn_cold", ids, 8)
        collapses = await stage.received(ids, "cold_collapses")
        restored_s = time.monotonic()
        await _move(stage, "restore_failure_domain", domain)
    collapses = await stage.received(ids, "cold_collapses") - collapses
    back = await stage.received(ids) - before
    ramp = [record.coverage for record in stage.records if record.sent_s >= restored_s and record.result == "answer"]
    coverage = sum(ramp) / max(1, len(ramp))
    stage.expect(
        "accepted configuration in force on every host within 4 s",
        f"{in_force_s:.2f} s from the call",
        in_force_s <= IN_FORCE_LIMIT_S,
    )
    stage.expect("a drained domain gets no new work after 3 s", f"{late} requests in the next 5 s", late == 0)
    stage.expect_uncut()
    stage.expect("a cold leaf never has more in flight than it bears", f"{collapses} collapses", collapses == 0)
    stage.expect(
        "a returning domain ramps without lowering coverage",
        f"coverage {coverage:.5f} after restore, {back} requests served there",
        coverage == 1.0 and back > 0,
    )


async def cold_leaf(stage: Stage) -> None:
    """Four leaves turn cold without warning."""
    ids = [leaf.id for leaf in stage.fleet.leaves if leaf.id.endswith("-0")][:4]
    async with stage.load():
        await anyio.sleep(3)
        before = await stage.received(ids, "cold_collapses")
        await stage.fleet.at_leaves("turn_cold", ids, 8)
    collapses = await stage.received(ids, "cold_collapses") - before
    assert stage.figures is not None
    stage.expect("a cold leaf never has more in flight than it bears", f"{collapses} collapses", collapses == 0)
    stage.expect("coverage 1.0", f"{stage.figures.coverage:.5f}", stage.figures.coverage == 1.0)


async def overload(stage: Stage) -> None:
    """The load is first the capacity of the leaves and then twice that."""
    async with stage.load():
        pass
    at_capacity = _goodput(stage)
    await anyio.sleep(HALF_S)
    async with stage.load(per_s=2 * stage.per_s):
        pass
    ratio = _goodput(stage) / max(1e-9, at_capacity)
    stage.expect(
        "goodput at twice the capacity at least about that at capacity (0.9)",
        f"{at_capacity:.1f}/s, then {_goodput(stage):.1f}/s, ratio {ratio:.2f}",
        ratio >= 0.9,
    )


async def host_stopped(stage: Stage) -> None:
    """One entry host gets SIGTERM under load."""
    async with stage.load():
        await anyio.sleep(3)
        stage.fleet.signal_host(1, signal.SIGTERM)
    stage.expect_uncut()
    ended = stage.fleet.daemons[1].poll()
    stage.expect("the host has ended", f"exit status {ended}", ended == 0)


async def host_killed(stage: Stage) -> None:
    """One entry host gets SIGKILL under load."""
    async with stage.load():
        await anyio.sleep(3)
        killed_s = time.monotonic()
        stage.fleet.signal_host(1, signal.SIGKILL)
    late = [record for record in stage.records if record.result != "answer" and record.sent_s > killed_s]
    early = [record for record in stage.records if record.result != "answer" and record.sent_s <= killed_s]
    stage.expect(
        "only requests in flight at the killed host fail",
        f"{len(early)} failed that were sent before, {len(late)} sent after",
        not late,
    )


async def store_down(stage: Stage) -> None:
    """The store is down for 20 s under steady load."""
    async with stage.load(duration_s=26):
        await anyio.sleep(3)
        stage.fleet.store.faults.unavailable = True
        await anyio.sleep(20)
        stage.fleet.store.faults.unavailable = False
    assert stage.figures is not None
    refused = sum(stage.figures.refusals.values())
    stage.expect("queries continue", f"{refused} refused, coverage {stage.figures.coverage:.5f}", refused == 0)


async def store_down_in_drain(stage: Stage) -> None:
    """The store goes down for 20 s at the acceptance of a drain."""
    ids = stage.domain_leaves("a")
    async with stage.load(duration_s=26):
        await anyio.sleep(2)
        await _move(stage, "drain_failure_domain", "a")
        stage.fleet.store.faults.unavailable = True
        await anyio.sleep(DRAIN_LIMIT_S)
        before = await stage.received(ids)
        await anyio.sleep(17)
        late = await stage.received(ids) - before
        stage.fleet.store.faults.unavailable = False
    assert stage.figures is not None
    refused = sum(stage.figures.refusals.values())
    stage.expect("a drained domain gets no new work after 3 s", f"{late} requests in the next 17 s", late == 0)
    stage.expect("queries continue", f"{refused} refused", refused == 0)
    stage.expect_uncut()


async def new_snapshot(stage: Stage) -> None:
    """Leaves load a new snapshot one after the other; then a map with half the shards replaces the old one."""
    fleet, spec = stage.fleet, stage.fleet.deployment.search
    ids = [leaf.id for leaf in spec.leaves()]
    half = [leaf.id for leaf in spec.leaves() if int(leaf.shard[1:]) < spec.shards // 2]
    old, new = f"{spec.name}-m1", f"{spec.name}-m2"
    shards = tuple(ShardName(f"s{number}") for number in range(spec.shards // 2))
    async with stage.load(duration_s=24):
        await anyio.sleep(2)
        await _load_snapshots(stage, ids, {1: old, 2: old})
        await anyio.sleep(3)
        await _load_snapshots(stage, ids, {2: old})
        shard_map = ShardMap(id=MapId(new), service=ServiceName(spec.name), shards=shards)
        accepted(await fleet.change(PutShardMap(shard_map)))
        await _load_snapshots(stage, half, {2: old, 3: new})
        await anyio.sleep(3)
        await _load_snapshots(stage, half, {3: new})
    seen = Counter(record.snapshot for record in stage.records if record.result == "answer")
    assert stage.figures is not None
    stage.expect("coverage 1.0", f"{stage.figures.coverage:.5f}", stage.figures.coverage == 1.0)
    stage.expect("each snapshot in turn is used", f"answers by snapshot {dict(sorted(seen.items()))}", len(seen) == 3)
    stage.expect_uncut()


async def _load_snapshots(stage: Stage, ids: list[str], snapshots: dict[int, str]) -> None:
    for first in range(0, len(ids), 5):
        await stage.fleet.at_leaves("set_leaf", ids[first : first + 5], "snapshots", snapshots)
        await anyio.sleep(0.2)


async def repeated_orders(stage: Stage) -> None:
    """Each order is sent twice to every host, and one answer in five is lost between upstream and host."""
    spec = stage.fleet.deployment.orders
    ids = [leaf.id for leaf in spec.leaves()]
    await stage.fleet.at_leaves("set_fault", ids, "lost_answer_share", 0.2)
    async with stage.load():
        orders = await stage.fleet.callers[-1].call("repeated_orders", spec.name, spec.ordered_route, 4.0, 12.0)
    executions = await stage.fleet.executions()
    most = max(executions.values(), default=0)
    outcomes = {kind: sum(kind in attempts for attempts in orders) for kind in ("ran", "unknown", "not_run", "cut")}
    stage.expect(
        "never two executions in the leaves' ledger",
        f"{len(orders)} orders, {len(executions)} executed, at most {most} times each; orders with {outcomes}",
        most == 1,
    )


def _goodput(stage: Stage) -> float:
    good = sum(record.result == "answer" and record.coverage == 1.0 for record in stage.records)
    good -= sum(record.coverage == 1.0 and record.latency_ms > TARGET_MS for record in stage.records)
    return good / stage.duration_s


async def _move(stage: Stage, method: str, domain: str) -> Generation:
    generation = (await stage.fleet.configuration()).domains[DomainName(domain)].generation
    request = pb.MoveFailureDomainRequest(
        operation_id=str(uuid_utils.uuid7()),
        expected_generation=generation,
        failure_domain=domain,
        reason="measured",
    )
    return accepted(await stage.fleet.call(method, request))


FAILING = {"failing_share": 0.5}
FAILING_ROUTE = {"failing_share": 0.5, "failing_route": "fitting"}
SLOW = {"slow_factor": 5.0}
SLOW_UNDER_LOAD = {"slow_factor": 5.0, "slow_above_in_flight": 1}

SCENARIOS = (
    Scenario("steady", "Steady load", steady),
    Scenario("steady-swapsies", "Steady load", steady, SWAPSIES),
    Scenario("stragglers", "1 sub-request in 100 ten times slower", stragglers, compare=compare_stragglers),
    Scenario(
        "stragglers-swapsies",
        "1 sub-request in 100 ten times slower",
        stragglers,
        SWAPSIES,
        compare=compare_stragglers,
    ),
    Scenario("lost-replica", "One replica of every shard lost after 3 s", lost_replica),
    Scenario("lost-replica-swapsies", "One replica of every shard lost after 3 s", lost_replica, SWAPSIES),
    Scenario("drain", "Failure domain drained, then restored with cold leaves", drain_and_restore),
    Scenario("cold-leaf", "Four leaves turn cold without warning", cold_leaf),
    Scenario("new-snapshot", "New snapshot, then a map with half the shards", new_snapshot),
    Scenario(
        "overload",
        "Capacity of the slots, then twice that (the row); sub-requests take 60 ms, so that slots and not processors "
        "bound the capacity",
        overload,
        per_s=66,
        duration_s=12.0,
        options={"service_ms": 60.0},
    ),
    Scenario("host-stopped", "One host gets SIGTERM", host_stopped, baseline=False),
    Scenario("host-killed", "One host gets SIGKILL", host_killed, baseline=False),
    Scenario("store-down", "Store down for 20 s (shortened from a minute)", store_down, baseline=False),
    Scenario(
        "store-down-drain", "Store down for 20 s after the acceptance of a drain", store_down_in_drain, baseline=False
    ),
    Scenario("good-version", "A good version is rolled out in 25 s", good_version, baseline=False),
    Scenario(
        "bad-version-failing",
        "Half of the new version's replies fail",
        bad_version(FAILING, 0.5),
        per_s=40,
        baseline=False,
    ),
    Scenario(
        "bad-version-slow", "The new version is five times slower", bad_version(SLOW, 1.0), per_s=40, baseline=False
    ),
    Scenario(
        "bad-version-late",
        "It fails 10 s after its start",
        bad_version(FAILING, 0.5, after_s=10),
        per_s=40,
        baseline=False,
    ),
    Scenario("bad-version-route", "It fails on one route", bad_version(FAILING_ROUTE, 0.25), per_s=40, baseline=False),
    Scenario(
        "bad-version-load",
        "It is five times slower while a leaf has two requests or more",
        bad_version(SLOW_UNDER_LOAD, 1.0),
        per_s=40,
        baseline=False,
    ),
    Scenario(
        "store-down-rollout",
        "Half of the new version's replies fail, and the store is down from the start of the rollout",
        bad_version(FAILING, 0.5, outage=True),
        per_s=40,
        baseline=False,
    ),
    Scenario(
        "repeated-orders",
        "Orders repeated at all hosts, 1 answer in 5 lost, with searches as load",
        repeated_orders,
        options={"orders": True},
        per_s=20,
        baseline=False,
    ),
)
