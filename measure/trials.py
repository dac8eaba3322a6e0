"""Run of a scenario: its fleet, its load, and its results."""

import os
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from hawthornbridge.acceptance import ChangeAccepted
from hawthornbridge.ids import Generation
from measure.fleet import ProcessFleet, processor_s
from measure.load import Record
from measure.remote import Remote
from measure.report import Figures, Target, figures_of

__all__ = ["SETTLING_TIME_S", "TARGET_MS", "WARM_UP_LIMIT_S", "Trial", "accepted_generation"]

TARGET_MS = 120.0
SETTLING_TIME_S = 2.0
HARNESS_CORES_LIMIT = 0.5
WARM_UP_LIMIT_S = 30.0
WARM_COMPLETE_SHARE = 0.95
# At a load near the capacity, some answers are always incomplete.
WARM_UP_PER_S = 25.0


@dataclass
class Trial:
    """One run of a scenario with its fleet and load; it collects the figures and targets."""

    fleet: ProcessFleet
    per_s: float
    duration_s: float
    policy: str
    records: list[Record] = field(default_factory=list)
    figures: Figures | None = None
    targets: list[Target] = field(default_factory=list)

    def expect(self, name: str, figure: str, held: bool | None) -> None:
        """Record a target with its figure."""
        self.targets.append(Target(name, figure, held))

    async def search(self, per_s: float, duration_s: float) -> list[Record]:
        """Send searches and return a record of each."""
        deployment = self.fleet.deployment
        deadline_ms = int(TARGET_MS - 2 * deployment.caller_ms)
        spec = deployment.search
        records: list[Record] = []
        searching = self.fleet.callers[:-1]  # The last one sends orders, since a process handles one call at a time.
        share = per_s / len(searching)

        async def send(callers: Remote) -> None:
            records.extend(await callers.call("searches", spec.name, spec.routes, share, duration_s, deadline_ms))

        async with anyio.create_task_group() as tasks:
            for callers in searching:
                tasks.start_soon(send, callers)
        return records

    async def warm_up(self) -> None:
        """Send searches until the ramp at the start is over and nearly every answer is complete."""
        ended_s = anyio.current_time() + WARM_UP_LIMIT_S
        while anyio.current_time() < ended_s:
            records = await self.search(min(self.per_s, WARM_UP_PER_S), SETTLING_TIME_S)
            complete = sum(record.coverage == 1.0 for record in records)
            if complete and complete >= WARM_COMPLETE_SHARE * len(records):
                break
        # The hedge delay needs some answers of warm leaves.
        await self.search(self.per_s, SETTLING_TIME_S)

    @asynccontextmanager
    async def load(self, per_s: float | None = None, duration_s: float | None = None) -> AsyncIterator[None]:
        """Run the load while the body acts on the fleet, and compute the figures at the end."""
        rate, duration = per_s or self.per_s, duration_s or self.duration_s
        fleet = self.fleet
        sub_requests, used_s = await fleet.sub_requests(), fleet.processor_s()
        calls = fleet.store.state.calls.total()
        harness = [*fleet.leaf_group_pids, *(callers.pid for callers in fleet.callers), os.getpid()]
        harness_s = [processor_s(pid) for pid in harness]

        async def run() -> None:
            self.records = await self.search(rate, duration)

        started_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            yield
        elapsed_s = anyio.current_time() - started_s
        # The counters of an ended host are lost, so the figures are those of the other hosts.
        processor = sum(now_s - used_s[address] for address, now_s in fleet.processor_s().items())
        busy = [(processor_s(pid) - before_s) / elapsed_s for pid, before_s in zip(harness, harness_s, strict=True)]
        calls = fleet.store.state.calls.total() - calls
        sent: Counter[str] = Counter()
        for address, counts in (await fleet.sub_requests()).items():
            sent.update(counts)
            sent.subtract(sub_requests[address])
        self.figures = figures_of(self.records, sent, processor, elapsed_s, calls, TARGET_MS)
        # A saturated harness process would distort the figures, which would show its own delays.
        figures = ", ".join(f"{share:.2f}" for share in busy)
        self.expect(
            f"cores used by the processes of leaves, callers, and platform (each below {HARNESS_CORES_LIMIT:g})",
            figures,
            max(busy) < HARNESS_CORES_LIMIT,
        )

    def domain_leaves(self, domain: str) -> list[str]:
        """Return the leaves of the searched service in one failure domain."""
        spec = self.fleet.deployment.search
        return [leaf.id for leaf in spec.leaves() if leaf.failure_domain == domain]

    async def received(self, ids: list[str], counter: str = "received") -> int:
        """Return the sum of a counter, by default of received requests, over some leaves."""
        counters = await self.fleet.counters()
        return sum(counters[leaf_id][counter] for leaf_id in ids)

    def expect_within(self) -> None:
        """Expect that 99% of the requests are answered within the latency target."""
        assert self.figures is not None
        share = self.figures.within_share
        self.expect("99% of answers within 120 ms", f"{share:.2%}", share >= 0.99)

    def expect_uncut(self) -> None:
        """Expect that every request got an answer or a refusal."""
        assert self.figures is not None
        self.expect("no request is cut", f"{self.figures.cut} cut", self.figures.cut == 0)


def accepted_generation(outcome: object) -> Generation:
    """Return the generation of an accepted change; raise RuntimeError for any other outcome."""
    if not isinstance(outcome, ChangeAccepted):
        raise RuntimeError(f"the change was not accepted: {outcome}")
    return outcome.generation
