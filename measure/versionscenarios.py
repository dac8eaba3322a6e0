"""Scenarios in which a new version of a service is rolled out."""

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
from measure.trials import SETTLING_TIME_S, WARM_UP_LIMIT_S, Trial, accepted_generation

__all__ = ["bad_version", "good_version"]


async def good_version(trial: Trial) -> None:
    """Roll out a version that is as good as the old one in 25 s."""
    await _add_version(trial)
    async with trial.load(duration_s=28):
        finish_by_s = time.time() + 25
        await _start_rollout(trial, finish_by_s)
    rollout = (await trial.fleet.configuration()).rollouts[ServiceName(trial.fleet.deployment.search.name)]
    detail = f"{rollout.state.value}, step {rollout.step}: {rollout.reason or 'no reason'}"
    trial.expect("a good version arrives by its time (25 s)", detail, rollout.state.value == "done")
    assert trial.figures is not None
    trial.expect("coverage 1.0", f"{trial.figures.coverage:.5f}", trial.figures.coverage == 1.0)


def bad_version(
    fault: dict[str, Any], bad_share: float, *, after_s: float = 0.0, outage: bool = False
) -> Callable[[Trial], Awaitable[None]]:
    """Return a scenario in which this share of the new version's sub-requests is bad after a given time."""

    async def procedure(trial: Trial) -> None:
        ids = await _add_version(trial)
        old = [leaf.id for leaf in trial.fleet.deployment.search.leaves()]
        samples: list[tuple[float, int, int]] = []
        began_s = 0.0
        async with trial.load(duration_s=28):
            await _start_rollout(trial, time.time() + 75)
            trial.fleet.store.faults.unavailable = outage
            base, new_base = await trial.received(old), await trial.received(ids)
            bad_from: int | None = None
            while len(samples) < 46:
                new = await trial.received(ids) - new_base
                samples.append((anyio.current_time(), new, await trial.received(old) - base))
                if bad_from is None and samples[-1][0] - samples[0][0] >= after_s:
                    bad_from, began_s = new, samples[-1][0]
                    for name, value in fault.items():
                        await trial.fleet.call_leaves("set_fault", ids, name, value)
                await anyio.sleep(0.5)
            trial.fleet.store.faults.unavailable = False
        await anyio.sleep(SETTLING_TIME_S)
        # The share is unreliable over few queries, because a query of the new version has one sub-request per shard.
        shards = trial.fleet.deployment.search.shards
        share = max((new / (new + seen) for _, new, seen in samples if new + seen >= 100 * shards), default=0.0)
        trial.expect("a bad version never has more than 5% before it is judged", f"{share:.2%}", share <= 0.05)
        assert bad_from is not None
        for what, count in (("bad sub-requests", int(30 / bad_share)), ("queries", 30 * shards)):
            _expect_stopped(trial, what, samples, bad_from + count)
        ended = next(at_s for at_s, new, _ in samples if new == samples[-1][1])
        trial.expect("last sub-request to it after the fault began", f"{ended - began_s:.1f} s", None)
        rollout = (await trial.fleet.configuration()).rollouts[ServiceName(trial.fleet.deployment.search.name)]
        trial.expect("it is rolled back", rollout.state.value, rollout.state.value == "rolled_back")

    return procedure


def _expect_stopped(trial: Trial, what: str, samples: list[tuple[float, int, int]], count: int) -> None:
    name = f"no work 5 s after it shows in 30 {what}"
    shown_s = next((at_s for at_s, new, _ in samples if new >= count), None)
    if shown_s is None:
        # The version was stopped before that many sub-requests; the target holds if it got none at the end.
        quiet = samples[-1][1] == samples[-10][1]
        trial.expect(name, f"stopped after {samples[-1][1]} sub-requests" if quiet else "too few", quiet or None)
        return
    late = [new for at_s, new, _ in samples if at_s >= shown_s + 5]
    growth = late[-1] - late[0] if late else 0
    trial.expect(name, f"{growth} sub-requests in the {len(late)} samples after that", growth == 0 if late else None)


async def _add_version(trial: Trial) -> list[str]:
    spec = trial.fleet.deployment.search
    leaves = [replace(leaf, connections=leaf.connections) for leaf in spec.leaves("v2")]
    await trial.fleet.start_leaves(leaves)
    accepted_generation(
        await trial.fleet.change(PutVersion(Version(service=ServiceName(spec.name), name=VersionName("v2"))))
    )
    for leaf in leaves:
        accepted_generation(await trial.fleet.change(PutUpstream(upstream_for(leaf, trial.fleet.addresses[leaf.id]))))
    # Leaves count warm-up requests too, which are not rollout traffic, so the rollout starts once they are over.
    ids = [leaf.id for leaf in leaves]
    ended_s, seen = anyio.current_time() + WARM_UP_LIMIT_S, -1
    while anyio.current_time() < ended_s and (received := await trial.received(ids)) != seen:
        seen = received
        await anyio.sleep(SETTLING_TIME_S)
    return ids


async def _start_rollout(trial: Trial, finish_by_s: float) -> Generation:
    request = pb.StartRolloutRequest(
        operation_id=str(uuid_utils.uuid7()),
        expected_generation=0,
        service=trial.fleet.deployment.search.name,
        new="v2",
        steps=[0.05, 0.3],
        finish_by_ms=int(finish_by_s * 1_000),
    )
    return accepted_generation(await trial.fleet.call("start_rollout", request))
