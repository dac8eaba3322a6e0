"""Demo on loopback: a search, a failure-domain drain under load, and a repeated order."""

import dataclasses
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import uuid_utils

from hawthornbridge import operations_pb as pb
from hawthornbridge.acceptance import ChangeAccepted
from hawthornbridge.ids import DomainName
from hawthornbridge.model import DomainState
from measure.deployments import KOTTAYAM, Deployment, changes_for
from measure.leafgroup import LeafGroup
from measure.load import Callers, LoadResult
from measure.local import LocalFleet, post

__all__ = ["main"]

HOSTS = 3
SHARDS = 6
DRAINED = "b"
SEARCHES_PER_S = 25.0
# The guarantee is that a domain gets no new work from this long after its drain is accepted.
DRAIN_LIMIT_S = 3.0
LOAD_S = 12.0
START_LIMIT_S = 30.0

DEMO = dataclasses.replace(KOTTAYAM, search=dataclasses.replace(KOTTAYAM.search, shards=SHARDS))


@dataclass
class Checks:
    """Results of the checks, printed one by one; passed tells whether all of them held."""

    passed: bool = True

    def check(self, right: bool, text: str) -> None:
        """Print and record one result."""
        print(f"  {'right' if right else 'WRONG'}: {text}", flush=True)
        self.passed = self.passed and right


@dataclass(frozen=True, slots=True)
class Demo:
    """The running fleet, its stand-in leaves and callers."""

    fleet: LocalFleet
    leaf_group: LeafGroup
    callers: Callers
    drained_leaves: list[str]

    async def received(self) -> int:
        """Return how many requests the leaves of the drained failure domain have received."""
        counters = await self.leaf_group.counters()
        return sum(counters[leaf]["received"] for leaf in self.drained_leaves)


def main() -> None:
    """Run the demo; exit with 0 only if the checks of coverage, drain and single execution passed."""
    checks = Checks()
    anyio.run(_run, checks)
    print("the demo was right" if checks.passed else "the demo was WRONG")
    sys.exit(0 if checks.passed else 1)


async def _run(checks: Checks) -> None:
    async with anyio.create_task_group() as tasks:
        fleet = LocalFleet(HOSTS)
        await fleet.start(tasks)
        async with _prepare_demo(fleet, DEMO) as demo:
            await _show_search(demo, checks)
            await _show_drain(demo, checks)
            await _show_order(demo, checks)
        await fleet.stop()
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def _prepare_demo(fleet: LocalFleet, deployment: Deployment) -> AsyncIterator[Demo]:
    leaf_group = LeafGroup()
    leaves = [*deployment.search.leaves(), *deployment.orders.leaves()]
    addresses: dict[str, str] = {}
    for spec in (deployment.search, deployment.orders):
        own = [leaf for leaf in leaves if leaf.service == spec.name]
        addresses |= await leaf_group.start(own, {1: f"{spec.name}-m1"})
    print(f"{HOSTS} daemons, {len(leaves)} stand-in leaves; configuring them through the operators' calls")
    await fleet.apply(changes_for(deployment, addresses, leaves))
    drained = [leaf.id for leaf in leaves if leaf.failure_domain == DRAINED]
    callers = Callers(fleet.caller_addresses, seed=1)
    try:
        yield Demo(fleet, leaf_group, callers, drained)
    finally:
        await callers.aclose()
        await leaf_group.stop(list(addresses))


async def _show_search(demo: Demo, checks: Checks) -> None:
    print("a search over every shard")
    body = {"service": DEMO.search.name, "route": "lookup", "query": "sandal", "request_id": "demo-search"}
    with anyio.fail_after(START_LIMIT_S):
        # Upstreams are cold, and get few requests, until they have answered some.
        while True:
            status, answer = await post(demo.fleet.caller_addresses[0], "/v1/search", body)
            if status == 200 and not answer["coverage"]["missing"]:
                break
            await anyio.sleep(0.05)
    coverage = answer["coverage"]
    text = f"snapshot {answer['snapshot']}, {coverage['answered']} of {coverage['total']} shards"
    checks.check(coverage["answered"] == SHARDS, f"{text}, {len(answer['hits'])} hits, {answer['time_ms']:.0f} ms")


async def _show_drain(demo: Demo, checks: Checks) -> None:
    print(f"failure domain {DRAINED} is drained under {SEARCHES_PER_S:.0f} searches/s")
    outcomes: list[LoadResult] = []

    async def load() -> None:
        spec = DEMO.search
        outcomes.append(await demo.callers.searches(spec.name, spec.routes, SEARCHES_PER_S, LOAD_S, 1_000))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load)
        await anyio.sleep(2)
        before = await demo.received()
        checks.check(before > 0, f"its leaves received {before} requests before the drain")
        await _drain(demo, checks)
        at_limit = await demo.received()
    late = await demo.received() - at_limit
    checks.check(late == 0, f"its leaves received {late} requests from {DRAIN_LIMIT_S:.0f} s after acceptance on")
    [outcome] = outcomes
    checks.check(
        outcome.answered == outcome.sent,
        f"{outcome.answered} of {outcome.sent} searches were answered, p99 {outcome.percentile_ms(99):.0f} ms",
    )
    checks.check(outcome.mean_coverage() == 1.0, f"mean coverage {outcome.mean_coverage():.4f}")


async def _drain(demo: Demo, checks: Checks) -> None:
    domain = (await demo.fleet.configuration()).domains[DomainName(DRAINED)]
    request = pb.MoveFailureDomainRequest(
        operation_id=str(uuid_utils.uuid7()),
        expected_generation=domain.generation,
        failure_domain=DRAINED,
        reason="demo",
    )
    accepted = await demo.fleet.call("drain_failure_domain", request)
    checks.check(isinstance(accepted, ChangeAccepted), f"the drain's answer was {accepted}")
    started_s = anyio.current_time()
    while (await demo.fleet.configuration()).domains[DomainName(DRAINED)].state is DomainState.DRAINING:
        await anyio.sleep(0.25)
    took_s = anyio.current_time() - started_s
    state = (await demo.fleet.configuration()).domains[DomainName(DRAINED)].state
    checks.check(state is DomainState.DRAINED, f"it is {state.value} {took_s:.1f} s after acceptance")
    await anyio.sleep(max(0.0, started_s + DRAIN_LIMIT_S - anyio.current_time()))


async def _show_order(demo: Demo, checks: Checks) -> None:
    print("an order entry, repeated at every host with the same key")
    key = str(uuid_utils.uuid7())
    for number, address in enumerate(demo.fleet.caller_addresses):
        body = {
            "service": DEMO.orders.name,
            "route": DEMO.orders.ordered_route,
            "idempotency_key": key,
            "payload": {"pattern": "sandal-7", "pairs": 1},
            "request_id": f"demo-order-{number}",
            "deadline_ms": 3_000,
        }
        status, answer = await post(address, "/v1/execute", body)
        right = status == 200 and answer["execution"] == "ran" and answer["repeated"] == (number > 0)
        checks.check(right, f"host {number}: {status} {answer}")
    executions = (await demo.leaf_group.executions()).get(key, 0)
    checks.check(executions == 1, f"the leaves' ledger holds {executions} execution")


if __name__ == "__main__":
    main()
