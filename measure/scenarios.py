"""Scenarios: the events that a fleet under load is exposed to, and the targets that have to hold."""

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
from measure.trials import SETTLING_TIME_S, TARGET_MS, Trial, accepted_generation
from measure.versionscenarios import bad_version, good_version

__all__ = ["NAIVE", "POLICY", "SCENARIOS", "Scenario"]

POLICY: dict[str, str] = {}
NAIVE = {"replica_choice": "random", "hedging": "naive", "admission": "fifo", "ramp": "none"}
DRAIN_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 4.0
IDLE_S = 4.0
# An incomplete answer after this time ran into its deadline; an earlier one had no replica left to try.
NEAR_DEADLINE_MS = 100.0


Procedure = Callable[[Trial], Awaitable[None]]
Compare = Callable[[Trial, Trial], None]


@dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario; compare gets the runs of the policy and of the naive baseline.

    There is no baseline run where the naive policy's plug-ins do not make the decisions that are measured.
    """

    name: str
    title: str
    procedure: Procedure
    deployment: Deployment = KOTTAYAM
    per_s: float = 25.0
    duration_s: float = 20.0
    compare: Compare | None = None
    options: dict[str, Any] = field(default_factory=dict)
    baseline: bool = True


async def steady(trial: Trial) -> None:
    """Run a steady load without any fault."""
    idle_s = sum(trial.fleet.processor_s().values())
    await anyio.sleep(IDLE_S)
    idle = (sum(trial.fleet.processor_s().values()) - idle_s) / IDLE_S
    trial.expect("processor time of all daemons without load", f"{idle:.2f} cores", None)
    async with trial.load():
        pass
    assert trial.figures is not None
    net_ms = (trial.figures.cores - idle) * trial.duration_s * 1_000 / trial.figures.requests
    share = net_ms / trial.figures.query_ms
    trial.expect(
        "processor time without that of the background",
        f"{net_ms:.1f} ms per query, {share * trial.figures.sub_request_ms:.2f} ms per sub-request",
        None,
    )
    trial.expect_within()


async def stragglers(trial: Trial) -> None:
    """Make one sub-request in 100 ten times slower."""
    ids = [leaf.id for leaf in trial.fleet.leaves]
    await trial.fleet.call_leaves("set_fault", ids, "straggler_share", 0.01)
    # The hedge delay is derived from the latencies of the same load, so that load has to run first.
    await trial.search(trial.per_s, SETTLING_TIME_S)
    async with trial.load():
        pass
    trial.expect_within()


def compare_stragglers(policy: Trial, naive: Trial) -> None:
    """Expect at most half of the naive p99 latency for at most 5% extra sub-requests."""
    assert policy.figures is not None and naive.figures is not None
    ratio = policy.figures.p99_ms / naive.figures.p99_ms
    extra = policy.figures.extra_share
    policy.expect("p99 at most half of the naive policy's", f"ratio {ratio:.2f}", ratio <= 0.5)
    policy.expect("at most 5% extra sub-requests", f"{extra:.2%}", extra <= 0.05)


async def lost_replica(trial: Trial) -> None:
    """Stop replica 0 of every shard 3 s after the start of the load."""
    lost = [leaf.id for leaf in trial.fleet.deployment.search.leaves() if leaf.id.endswith("-0")]
    async with trial.load():
        await anyio.sleep(3)
        lost_s = time.monotonic()
        await trial.fleet.call_leaves("stop", lost)
    settled = [record.coverage for record in trial.records if record.result == "answer" and record.sent_s > lost_s + 1]
    mean = sum(settled) / max(1, len(settled))
    assert trial.figures is not None
    trial.expect("coverage 1.0 with one replica of each shard gone (after 1 s)", f"{mean:.5f}", mean == 1.0)
    whole = trial.figures.coverage
    partial = [record for record in trial.records if record.result == "answer" and record.coverage < 1.0]
    late = sum(record.latency_ms > NEAR_DEADLINE_MS for record in partial)
    trial.expect(f"incomplete answers that took more than {NEAR_DEADLINE_MS:g} ms", f"{late} of {len(partial)}", None)
    trial.expect("coverage 1.0 over the whole run, the loss included", f"{whole:.5f}", whole == 1.0)
    trial.expect_within()


async def drain_and_restore(trial: Trial) -> None:
    """Drain a failure domain under load and restore it 8 s later with cold leaves."""
    fleet, domain = trial.fleet, "a"
    ids = trial.domain_leaves(domain)
    async with trial.load(duration_s=30):
        await anyio.sleep(2)
        asked_s = anyio.current_time()
        generation = await _move(trial, "drain_failure_domain", domain)
        accepted_s = anyio.current_time()
        await fleet.wait_until_applied(generation)
        in_force_s = anyio.current_time() - asked_s
        await anyio.sleep_until(accepted_s + DRAIN_LIMIT_S)
        before = await trial.received(ids)
        await anyio.sleep(5)
        late = await trial.received(ids) - before
        # A cold leaf handles one request at a time until it has served 8, when the ramp first doubles its allowance.
        await fleet.call_leaves("turn_cold", ids, 8)
        collapses = await trial.received(ids, "cold_collapses")
        restored_s = time.monotonic()
        await _move(trial, "restore_failure_domain", domain)
    collapses = await trial.received(ids, "cold_collapses") - collapses
    back = await trial.received(ids) - before
    ramp = [record.coverage for record in trial.records if record.sent_s >= restored_s and record.result == "answer"]
    coverage = sum(ramp) / max(1, len(ramp))
    trial.expect(
        "accepted configuration in force on every host within 4 s",
        f"{in_force_s:.2f} s from the call",
        in_force_s <= IN_FORCE_LIMIT_S,
    )
    trial.expect("a drained domain gets no new work after 3 s", f"{late} requests in the next 5 s", late == 0)
    trial.expect_uncut()
    trial.expect("a cold leaf never has more in flight than it bears", f"{collapses} collapses", collapses == 0)
    trial.expect(
        "a returning domain ramps without lowering coverage",
        f"coverage {coverage:.5f} after restore, {back} requests served there",
        coverage == 1.0 and back > 0,
    )


async def cold_leaf(trial: Trial) -> None:
    """Turn four leaves cold without notice."""
    ids = [leaf.id for leaf in trial.fleet.leaves if leaf.id.endswith("-0")][:4]
    async with trial.load():
        await anyio.sleep(3)
        before = await trial.received(ids, "cold_collapses")
        await trial.fleet.call_leaves("turn_cold", ids, 8)
    collapses = await trial.received(ids, "cold_collapses") - before
    assert trial.figures is not None
    trial.expect("a cold leaf never has more in flight than it bears", f"{collapses} collapses", collapses == 0)
    trial.expect("coverage 1.0", f"{trial.figures.coverage:.5f}", trial.figures.coverage == 1.0)


async def overload(trial: Trial) -> None:
    """Run a load at the capacity of the leaves and then at twice that."""
    async with trial.load():
        pass
    at_capacity = _goodput(trial)
    await anyio.sleep(SETTLING_TIME_S)
    async with trial.load(per_s=2 * trial.per_s):
        pass
    ratio = _goodput(trial) / max(1e-9, at_capacity)
    trial.expect(
        "goodput at twice the capacity at least about that at capacity (0.9)",
        f"{at_capacity:.1f}/s, then {_goodput(trial):.1f}/s, ratio {ratio:.2f}",
        ratio >= 0.9,
    )


async def host_stopped(trial: Trial) -> None:
    """Send SIGTERM to one entry host under load."""
    async with trial.load():
        await anyio.sleep(3)
        trial.fleet.signal_host(1, signal.SIGTERM)
    trial.expect_uncut()
    ended = trial.fleet.daemons[1].poll()
    trial.expect("the host has ended", f"exit status {ended}", ended == 0)


async def host_killed(trial: Trial) -> None:
    """Send SIGKILL to one entry host under load."""
    async with trial.load():
        await anyio.sleep(3)
        killed_s = time.monotonic()
        trial.fleet.signal_host(1, signal.SIGKILL)
    late = [record for record in trial.records if record.result != "answer" and record.sent_s > killed_s]
    early = [record for record in trial.records if record.result != "answer" and record.sent_s <= killed_s]
    trial.expect(
        "only requests in flight at the killed host fail",
        f"{len(early)} failed that were sent before, {len(late)} sent after",
        not late,
    )


async def store_down(trial: Trial) -> None:
    """Make the store unavailable for 20 s under steady load."""
    async with trial.load(duration_s=26):
        await anyio.sleep(3)
        trial.fleet.store.faults.unavailable = True
        await anyio.sleep(20)
        trial.fleet.store.faults.unavailable = False
    assert trial.figures is not None
    refused = sum(trial.figures.refusals.values())
    trial.expect("queries continue", f"{refused} refused, coverage {trial.figures.coverage:.5f}", refused == 0)


async def store_down_in_drain(trial: Trial) -> None:
    """Make the store unavailable for 20 s once a drain is accepted."""
    ids = trial.domain_leaves("a")
    async with trial.load(duration_s=26):
        await anyio.sleep(2)
        await _move(trial, "drain_failure_domain", "a")
        trial.fleet.store.faults.unavailable = True
        await anyio.sleep(DRAIN_LIMIT_S)
        before = await trial.received(ids)
        await anyio.sleep(17)
        late = await trial.received(ids) - before
        trial.fleet.store.faults.unavailable = False
    assert trial.figures is not None
    refused = sum(trial.figures.refusals.values())
    trial.expect("a drained domain gets no new work after 3 s", f"{late} requests in the next 17 s", late == 0)
    trial.expect("queries continue", f"{refused} refused", refused == 0)
    trial.expect_uncut()


async def new_snapshot(trial: Trial) -> None:
    """Load a new snapshot on the leaves in turn, then replace the shard map by one with half the shards."""
    fleet, spec = trial.fleet, trial.fleet.deployment.search
    ids = [leaf.id for leaf in spec.leaves()]
    half = [leaf.id for leaf in spec.leaves() if int(leaf.shard[1:]) < spec.shards // 2]
    old, new = f"{spec.name}-m1", f"{spec.name}-m2"
    shards = tuple(ShardName(f"s{number}") for number in range(spec.shards // 2))
    async with trial.load(duration_s=24):
        await anyio.sleep(2)
        await _load_snapshots(trial, ids, {1: old, 2: old})
        await anyio.sleep(3)
        await _load_snapshots(trial, ids, {2: old})
        shard_map = ShardMap(id=MapId(new), service=ServiceName(spec.name), shards=shards)
        accepted_generation(await fleet.change(PutShardMap(shard_map)))
        await _load_snapshots(trial, half, {2: old, 3: new})
        await anyio.sleep(3)
        await _load_snapshots(trial, half, {3: new})
    seen = Counter(record.snapshot for record in trial.records if record.result == "answer")
    assert trial.figures is not None
    trial.expect("coverage 1.0", f"{trial.figures.coverage:.5f}", trial.figures.coverage == 1.0)
    trial.expect("each snapshot in turn is used", f"answers by snapshot {dict(sorted(seen.items()))}", len(seen) == 3)
    trial.expect_uncut()


async def _load_snapshots(trial: Trial, ids: list[str], snapshots: dict[int, str]) -> None:
    for first in range(0, len(ids), 5):
        await trial.fleet.call_leaves("set_leaf", ids[first : first + 5], "snapshots", snapshots)
        await anyio.sleep(0.2)


async def repeated_orders(trial: Trial) -> None:
    """Send each order twice to every host while one answer in five is lost between upstream and host."""
    spec = trial.fleet.deployment.orders
    ids = [leaf.id for leaf in spec.leaves()]
    await trial.fleet.call_leaves("set_fault", ids, "lost_answer_share", 0.2)
    async with trial.load():
        orders = await trial.fleet.callers[-1].call("repeated_orders", spec.name, spec.ordered_route, 4.0, 12.0)
    executions = await trial.fleet.executions()
    most = max(executions.values(), default=0)
    outcomes = {kind: sum(kind in attempts for attempts in orders) for kind in ("ran", "unknown", "not_run", "cut")}
    trial.expect(
        "never two executions in the leaves' ledger",
        f"{len(orders)} orders, {len(executions)} executed, at most {most} times each; orders with {outcomes}",
        most == 1,
    )


def _goodput(trial: Trial) -> float:
    good = sum(record.result == "answer" and record.coverage == 1.0 for record in trial.records)
    good -= sum(record.coverage == 1.0 and record.latency_ms > TARGET_MS for record in trial.records)
    return good / trial.duration_s


async def _move(trial: Trial, method: str, domain: str) -> Generation:
    generation = (await trial.fleet.configuration()).domains[DomainName(domain)].generation
    request = pb.MoveFailureDomainRequest(
        operation_id=str(uuid_utils.uuid7()),
        expected_generation=generation,
        failure_domain=domain,
        reason="measured",
    )
    return accepted_generation(await trial.fleet.call(method, request))


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
