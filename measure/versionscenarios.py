"""Scenarios in which a service moves to another version."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
import uuid_utils

from hawthornbridge import operations_pb as pb
from hawthornbridge.ids import Generation, ServiceName, VersionName
from hawthornbridge.model import PutUpstream, PutVersion, Version
from measure.deployments import upstream_for
from measure.stages import HALF_S, WARM_UP_LIMIT_S, Stage, accepted

__all__ = ["bad_version", "good_version"]


async def good_version(stage: Stage) -> None:
    """A version that is as good as the old one is rolled out in 25 s."""
    await _add_version(stage)
    async with stage.load(duration_s=28):
        finish_by_s = time.time() + 25
        await _start_rollout(stage, finish_by_s)
    rollout = (await stage.fleet.configuration()).rollouts[ServiceName(stage.fleet.deployment.search.name)]
    detail = f"{rollout.state.value}, step {rollout.step}: {rollout.reason or 'no reason'}"
    stage.expect("a good version arrives by its time (25 s)", detail, rollout.state.value == "done")
    assert stage.figures is not None
    stage.expect("coverage 1.0", f"{stage.figures.coverage:.5f}", stage.figures.coverage == 1.0)


def bad_version(
    fault: dict[str, Any], bad_share: float, *, after_s: float = 0.0, outage: bool = False
) -> Callable[[Stage], Awaitable[None]]:
    """Return a scenario in which this share of the new version's sub-requests is bad, from some time on."""

    async def act(stage: Stage) -> None:
        ids = await _add_version(stage)
        old = [leaf.id for leaf in stage.fleet.deployment.search.leaves()]
        samples: list[tuple[float, int, int]] = []
        began_s = 0.0
        async with stage.load(duration_s=28):
            await _start_rollout(stage, time.time() + 75)
            stage.fleet.store.faults.unavailable = outage
            base, new_base = await stage.received(old), await stage.received(ids)
            bad_from: int | None = None
            while len(samples) < 46:
                new = await stage.received(ids) - new_base
                samples.append((anyio.current_time(), new, await stage.received(old) - base))
                if bad_from is None and samples[-1][0] - samples[0][0] >= after_s:
                    bad_from, began_s = new, samples[-1][0]
                    for name, value in fault.items():
                        await stage.fleet.at_leaves("set_fault", ids, name, value)
                await anyio.sleep(0.5)
            stage.fleet.store.faults.unavailable = False
        await anyio.sleep(HALF_S)
        # Short prefixes say nothing about the share: a query of the new version has one sub-request for each shard.
        shards = stage.fleet.deployment.search.shards
        share = max((new / (new + seen) for _, new, seen in samples if new + seen >= 100 * shards), default=0.0)
        stage.expect("a bad version never has more than 5% before it is judged", f"{share:.2%}", share <= 0.05)
        assert bad_from is not None
        for what, count in (("bad sub-requests", int(30 / bad_share)), ("queries", 30 * shards)):
            _expect_stopped(stage, what, samples, bad_from + count)
        ended = next(at_s for at_s, new, _ in samples if new == samples[-1][1])
        stage.expect("last sub-request to it after the fault began", f"{ended - began_s:.1f} s", None)
        rollout = (await stage.fleet.configuration()).rollouts[ServiceName(stage.fleet.deployment.search.name)]
        stage.expect("it is rolled back", rollout.state.value, rollout.state.value == "rolled_back")

    return act


def _expect_stopped(stage: Stage, what: str, samples: list[tuple[float, int, int]], count: int) -> None:
    name = f"no work 5 s after it shows in 30 {what}"
    shown_s = next((at_s for at_s, new, _ in samples if new >= count), None)
    if shown_s is None:
        # It was stopped before that many; held if it got nothing at the end.
        quiet = samples[-1][1] == samples[-10][1]
        stage.expect(name, f"stopped after {samples[-1][1]} sub-requests" if quiet else "too few", quiet or None)
        return
    late = [new for at_s, new, _ in samples if at_s >= shown_s + 5]
    growth = late[-1] - late[0] if late else 0
    stage.expect(name, f"{growth} sub-requests in the {len(late)} samples after that", growth == 0 if late else None)


async def _add_version(stage: Stage) -> list[str]:
    spec = stage.fleet.deployment.search
    leaves = [replace(leaf, connections=leaf.connections) for leaf in spec.leaves("v2")]
    await stage.fleet.start_leaves(leaves)
    accepted(await stage.fleet.change(PutVersion(Version(service=ServiceName(spec.name), name=VersionName("v2")))))
    for leaf in leaves:
        accepted(await stage.fleet.change(PutUpstream(upstream_for(leaf, stage.fleet.addresses[leaf.id]))))
    # Warm-up requests to the new leaves are no traffic of the rollout, and the leaves can't tell them apart.
    ids = [leaf.id for leaf in leaves]
    ended_s, seen = anyio.current_time() + WARM_UP_LIMIT_S, -1
    while anyio.current_time() < ended_s and (received := await stage.received(ids)) != seen:
        seen = received
        await anyio.sleep(HALF_S)
    return ids


async def _start_rollout(stage: Stage, finish_by_s: float) -> Generation:
    request = pb.StartRolloutRequest(
        operation_id=str(uuid_utils.uuid7()),
        expected_generation=0,
        service=stage.fleet.deployment.search.name,
        new="v2",
        steps=[0.05, 0.3],
        finish_by_ms=int(finish_by_s * 1_000),
    )
    return accepted(await stage.fleet.call("start_rollout", request))
