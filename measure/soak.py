"""Randomized fault soak: real daemons under injected faults, with guarantees checked at callers and leaves."""

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from measure.soakcallers import ORDERS, SHARD_SETS, Callers
from measure.soakconfiguration import configuration
from measure.soakduty import SoakDuty
from measure.soakhostile import run_hostile_client
from measure.soakhosts import SIGNALLED_AT_START, SoakHost, prepare_host
from measure.soakkeys import CALLERS as KEYED_CALLERS, SoakKeys
from measure.soaknotices import requests_after_leaving, requests_in_wait
from measure.soakresults import Breach, Counts, runs_of
from measure.soakreturns import RETURN, StoreReturns
from standins.faultproxy import FaultProxy, LinkFault
from standins.platformleaf import PlatformLeaf, PlatformLeafFaults
from standins.platformstore import Outage, PlatformStore

__all__ = ["Soak", "main"]

HOSTS = 3
HOSTILE_CLIENTS = 2
FIRST_BORN_MS = 1_000
GRACE_S = 3.0
SETTLING_TIME_S = 4.0
# Share of the requests that has to be served after the faults; the platform's recovery rule requires less.
MIN_SERVED_SHARE = 0.9
DRAIN_LIMIT_S = 3.0
ROLLOUT_S = 5.0
# The limits on a bad version that the hosts' settings give.
EXPOSED_SHARE = 0.1
EXPOSED_SLACK_REQUESTS = 50


class Soak:
    """The run of one seed, and the broken promises that it found."""

    def __init__(self, seed: int, length_s: float) -> None:
        self._random = random.Random(seed)
        self._length_s = length_s
        self._started_s = 0.0
        self._faults_until_s = 0.0
        self.breaches: list[Breach] = []
        self.history: list[str] = []
        self.counts = Counts()
        self._store = PlatformStore()
        self._store.era = 1
        self._returns = StoreReturns(seed, self._store, self._write_again)
        services = [shard for shards in SHARD_SETS for shard in shards]
        self._leaves = [PlatformLeaf(f"{name}-{copy}", name, seed=seed) for name in services for copy in range(2)]
        self._leaves += [PlatformLeaf(f"{ORDERS}-{copy}", ORDERS, slots=3, seed=seed) for copy in range(3)]
        self._leaf_proxies: dict[str, FaultProxy] = {}
        self._hosts: list[SoakHost] = []
        self._version = 1
        self._shards = 0
        self._drained: dict[str, float] = {}
        self._rollouts_in_progress: set[str] = set()
        # Leaves of removed versions; late answers may still contain their stamps.
        self._removed_leaves: list[PlatformLeaf] = []
        self._sequence = 1
        # The start of each leaf that has started again.
        self._born: dict[str, int] = {}
        # Faults of the links to leaves: the leaf's id, start and end on the monotonic clock.
        self._link_faults: list[tuple[str, float, float]] = []
        # Faults of leaves that speak of themselves have random numbers of their own, so that a listed seed goes on
        # playing the same other faults.
        self._notices_random = random.Random(f"notices {seed}")
        # Hostile clients have random numbers of their own for the same reason.
        self._hostile_random = [random.Random(f"hostile {number} {seed}") for number in range(HOSTILE_CLIENTS)]
        self._keys = SoakKeys(seed, self._hosts, self._report_breach)
        self._duty = SoakDuty(seed)
        self._callers = Callers(self._hosts, self._all_leaves, self._report_breach, self._count)

    @property
    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    async def run(self, folder: Path) -> None:
        """Run the seed, and end the remaining processes by their ids."""
        self._started_s = time.monotonic()
        await self._start_platform()
        await self._duty.start()
        for number in range(1, HOSTS + 1):
            await self._add_host(number, folder)
        tasks: list[asyncio.Task[None]] = []
        try:
            tasks = [asyncio.create_task(host.supervise(self._own_exit_of(host))) for host in self._hosts]
            await asyncio.sleep(2.0)
            tasks += [asyncio.create_task(self._callers.run(number)) for number in range(6)]
            tasks += [asyncio.create_task(self._keys.call(number)) for number in range(KEYED_CALLERS)]
            tasks.append(asyncio.create_task(self._refresh_leaf_entries()))
            for rng in self._hostile_random:
                tasks.append(asyncio.create_task(run_hostile_client(self._hosts, self._report_breach, rng)))
            async with asyncio.TaskGroup() as injectors:
                injectors.create_task(self._inject())
                injectors.create_task(self._inject_notices())
                injectors.create_task(self._duty.inject(self._is_calming))
                injectors.create_task(self._keys.inject(self._is_calming, self._replace_configuration, self._note))
                end_s = self._length_s - SETTLING_TIME_S
                injectors.create_task(self._returns.run(end_s, self._started_s, self.history))
            await self._finish()
        finally:
            for task in tasks:
                task.cancel()
            for host in self._hosts:
                for process_id in await host.end():
                    self._report_breach("the soak ends what it starts", f"process {process_id} of n{host.number} runs")
            leaves = (*self._all_leaves(), *self._keys.leaves)
            await asyncio.gather(self._store.stop(), self._duty.stop(), *(leaf.stop() for leaf in leaves))
            for proxy in (*self._leaf_proxies.values(), *(host.proxy for host in self._hosts)):
                await proxy.stop()
        self._callers.check_orders()
        self._keys.check()
        self.counts.statuses.update(self._keys.statuses)
        for detail in self._duty.breaches():
            self._report_breach("one host reports usage", detail)
        for leaf in self._all_leaves():
            link_faults = [(start_s, end_s) for leaf_id, start_s, end_s in self._link_faults if leaf_id == leaf.id]
            for detail in requests_in_wait(leaf, self._callers, link_faults):
                self._report_breach("a leaf that wants no requests gets none", detail)
        for host in self._hosts:
            for line in host.failed_tasks():
                self._report_breach("no background task fails", f"n{host.number}: {line}")

    def _own_exit_of(self, host: SoakHost) -> Callable[[str], None]:
        def on_own_exit(text: str) -> None:
            self.counts.statuses[text] += 1
            if text != SIGNALLED_AT_START:
                self._report_breach("a host ends only when it is told to", f"n{host.number}: {text}")

        return on_own_exit

    def _report_breach(self, promise: str, detail: str) -> None:
        self.breaches.append(Breach(promise, detail, round(self.now_s, 2)))

    async def _start_platform(self) -> None:
        await self._store.start()
        for leaf in self._leaves:
            leaf.work_s = lambda: self._random.uniform(0.002, 0.02)
            await leaf.start()
            proxy = FaultProxy(leaf.address)
            await proxy.start()
            self._leaf_proxies[leaf.id] = proxy
            self._write_leaf(leaf, "ready")
        for leaf in self._keys.leaves:
            await leaf.start()
            self._store.put(f"servers/{leaf.id}", leaf.entry())
        self._write_configuration()

    def _write_leaf(self, leaf: PlatformLeaf, state: str) -> None:
        self._sequence += 1
        born = self._born.get(leaf.id, FIRST_BORN_MS)
        entry = leaf.entry(state=state, seq=self._sequence, born=born)
        self._store.put(f"servers/{leaf.id}", entry | {"address": self._leaf_proxies[leaf.id].address})

    def _write_configuration(self) -> None:
        names = {leaf.service for leaf in (*self._leaves, *self._keys.leaves)}
        value = configuration(self._version, SHARD_SETS[self._shards], names, self._keys.route())
        self._store.put("op/config", value | self._keys.configuration())

    def _replace_configuration(self) -> None:
        self._version += 1
        self._write_configuration()

    async def _add_host(self, number: int, folder: Path) -> None:
        proxy = FaultProxy(self._store.address)
        await proxy.start()
        self._hosts.append(prepare_host(number, folder, proxy, self._hosts, self._duty.settings()))

    async def _refresh_leaf_entries(self) -> None:
        """Write missing leaf entries again, as leaves do whose leases ended during an outage."""
        while True:
            await asyncio.sleep(0.5)
            if self._store.outage is None:
                for leaf in self._leaves:
                    if f"servers/{leaf.id}" not in self._store.items and leaf.id not in self._drained:
                        self._write_leaf(leaf, "ready")

    def _count(self, outcome: str) -> None:
        self.counts.statuses[outcome] += 1
        if self._faults_until_s and self.now_s > self._faults_until_s + SETTLING_TIME_S:
            self.counts.late[outcome] += 1

    def _write_again(self) -> None:
        """Write all that the operator and the leaves know, after the store has come back from an older copy."""
        self._write_configuration()
        self._returns.write_orders([shard for shards in SHARD_SETS for shard in shards])
        for leaf in self._leaves:
            self._write_leaf(leaf, "draining" if leaf.id in self._drained else "ready")
        for leaf in self._removed_leaves:
            self._store.remove(f"servers/{leaf.id}")

    # Faults.

    async def _inject(self) -> None:
        """Start overlapping faults at random times; each ends by itself."""
        kinds = (
            self._planned_stop,
            self._kill,
            self._pause,
            self._store_outage,
            self._store_link,
            self._leaf_link,
            self._leaf_fault,
            self._drain_leaf,
            self._change_configuration,
            self._lose_history,
            self._evacuate,
            self._change_settings,
            self._roll_out,
        )
        running: list[asyncio.Task[None]] = []
        while self.now_s < self._length_s - SETTLING_TIME_S:
            kind = self._random.choice(kinds)
            self.history.append(f"{self.now_s:.2f} {kind.__name__}")
            running.append(asyncio.create_task(kind()))
            await asyncio.sleep(self._random.expovariate(1.5))
        for outcome in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(outcome, BaseException):
                raise outcome

    def _note(self, text: str) -> None:
        self.history.append(f"{self.now_s:.2f} {text}")

    def _is_calming(self) -> bool:
        return self.now_s >= self._length_s - SETTLING_TIME_S

    async def _inject_notices(self) -> None:
        """Let leaves say at random times that they leave, or that they want no requests for some time."""
        rng = self._notices_random
        while self.now_s < self._length_s - SETTLING_TIME_S:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            if rng.random() < 0.3:
                await self._leave_leaf(rng.choice([leaf for leaf in self._leaves if leaf.service == ORDERS]))
            else:
                await self._hold_leaf(rng.choice(self._leaves), rng.uniform(0.8, 3.0), rng.uniform(0.2, 1.5))

    async def _leave_leaf(self, leaf: PlatformLeaf) -> None:
        """Let a leaf leave while its entry stays ready, and start it again; check what it gets meanwhile."""
        self.history.append(f"{self.now_s:.2f} _leave_leaf {leaf.id}")
        leaf.faults = PlatformLeafFaults(leaving=True)
        started_s = time.monotonic()
        await asyncio.sleep(DRAIN_LIMIT_S + 1.5)
        for request_id in requests_after_leaving(leaf, started_s, DRAIN_LIMIT_S, self._callers):
            self._report_breach("a leaf that says it leaves gets nothing", f"{leaf.id} got {request_id}")
        leaf.faults = PlatformLeafFaults()
        self._born[leaf.id] = self._born.get(leaf.id, FIRST_BORN_MS) + 1
        for key in [key for key in self._callers.told_leaving_s if key[1] == leaf.id]:
            del self._callers.told_leaving_s[key]
        if leaf.id not in self._drained:
            self._write_leaf(leaf, "ready")

    async def _hold_leaf(self, leaf: PlatformLeaf, wait_s: float, for_s: float) -> None:
        """Let a leaf refuse all requests and ask for a time without any."""
        self.history.append(f"{self.now_s:.2f} _hold_leaf {leaf.id}")
        leaf.faults = PlatformLeafFaults(full=True, retry_after=f"{wait_s:.1f}")
        await asyncio.sleep(for_s)
        leaf.faults = PlatformLeafFaults()

    async def _finish(self) -> None:
        """Let the system recover without faults, and check the share of requests that is served."""
        self._faults_until_s = self.now_s
        self._duty.settle(self._store)
        await asyncio.sleep(SETTLING_TIME_S)
        self._keys.begin_late_requests()
        await asyncio.sleep(SETTLING_TIME_S)
        self._keys.end_late_requests()
        served, asked = self.counts.late["200"], sum(self.counts.late.values())
        if served < MIN_SERVED_SHARE * asked:
            self._report_breach("service is back after faults", f"{served} of {asked}: {dict(self.counts.late)}")
        await self._duty.wait_due()

    async def _planned_stop(self) -> None:
        await self._random.choice(self._hosts).stop(GRACE_S + 2.0)

    async def _kill(self) -> None:
        self._random.choice(self._hosts).kill(self._random.uniform(0.1, 1.0))

    async def _pause(self) -> None:
        host = self._random.choice(self._hosts)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        host.signal(signal.SIGCONT)

    async def _store_outage(self) -> None:
        self._store.outage = self._random.choice(list(Outage))
        if self._random.random() < 0.5:
            self._store.revoke_leases()
        await asyncio.sleep(self._random.uniform(0.3, 3.0))
        self._store.outage = None

    async def _store_link(self) -> None:
        await self._fault_link(self._random.choice(self._hosts).proxy)

    async def _leaf_link(self) -> None:
        leaf_id, proxy = self._random.choice(list(self._leaf_proxies.items()))
        started_s = time.monotonic()
        await self._fault_link(proxy)
        self._link_faults.append((leaf_id, started_s, time.monotonic()))

    async def _fault_link(self, proxy: FaultProxy) -> None:
        if self._random.random() < 0.4:
            proxy.reset()
            return
        proxy.fault = self._random.choice(list(LinkFault))
        await asyncio.sleep(self._random.uniform(0.2, 2.5))
        proxy.fault = LinkFault.NONE
        # The proxy drops data during a fault, so the open connections are unusable.
        proxy.reset()

    async def _leaf_fault(self) -> None:
        leaf = self._random.choice(self._leaves)
        share = self._random.uniform(0.2, 1.0)
        name = self._random.choice(
            ("fail", "truncate", "extra", "late_extra", "unframed", "reset", "rubbish", "full", "silent")
        )
        leaf.faults = PlatformLeafFaults(**({name: True} if name in ("full", "silent") else {f"{name}_share": share}))
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        leaf.faults = PlatformLeafFaults()

    async def _drain_leaf(self) -> None:
        """Drain a leaf as the platform does and bring it back; a drained leaf may not get requests."""
        leaf = self._random.choice(self._leaves)
        if leaf.id in self._drained or self._store.outage is not None:
            return
        self._drained[leaf.id] = self.now_s
        self._write_leaf(leaf, "draining")
        await asyncio.sleep(DRAIN_LIMIT_S)
        before = len(leaf.runs)
        calm = self._is_calm(DRAIN_LIMIT_S + 2.0)
        await asyncio.sleep(1.0)
        if calm and len(leaf.runs) > before:
            self._report_breach("a leaving leaf gets nothing", f"{leaf.id} ran {len(leaf.runs) - before}")
        del self._drained[leaf.id]
        self._write_leaf(leaf, "ready")

    def _is_calm(self, for_s: float) -> bool:
        """Return whether no recent fault could have separated a host from the store."""
        unsettling = ("_store_outage", "_store_link", "_pause", "_lose_history", "_kill", "_planned_stop", RETURN)
        recent = [line for line in self.history if float(line.split()[0]) > self.now_s - for_s - 3.0]
        return not any(line.endswith(unsettling) for line in recent)

    async def _change_configuration(self) -> None:
        self._version += self._random.randint(1, 4)
        self._shards = 1 - self._shards
        self._write_configuration()

    async def _lose_history(self) -> None:
        self._store.forget_history()

    async def _evacuate(self) -> None:
        self._store.put("op/evacuate/z9", {})
        await asyncio.sleep(self._random.uniform(0.2, 1.0))
        self._store.remove("op/evacuate/z9")

    async def _change_settings(self) -> None:
        """Change a host's settings, sometimes by a partial write, with or without a signal."""
        host = self._random.choice(self._hosts)
        host.change_settings(self._random.randint(10, 90), half_written=self._random.random() < 0.4)
        if self._random.random() < 0.6:
            host.signal(signal.SIGHUP)
        await asyncio.sleep(self._random.uniform(0.05, 0.5))
        host.restore_settings()
        host.signal(signal.SIGHUP)

    async def _roll_out(self) -> None:
        """Order a rollout of a shard to a version that may be bad, and remove the version afterwards."""
        shard = self._random.choice(SHARD_SETS[self._shards])
        if shard in self._rollouts_in_progress or self._store.outage is not None:
            return
        self._rollouts_in_progress.add(shard)
        is_bad = self._random.random() < 0.6
        new = PlatformLeaf(f"{shard}-v2-{len(self.history)}", shard, "v2", seed=len(self.history))
        new.work_s = lambda: self._random.uniform(0.002, 0.02)
        new.faults = PlatformLeafFaults(fail_share=0.7 if is_bad else 0.0)
        await new.start()
        proxy = self._leaf_proxies[new.id] = FaultProxy(new.address)
        await proxy.start()
        order = {"service": shard, "target_version": "v2", "duration_s": ROLLOUT_S}
        arrived = runs_of(shard, self._all_leaves())
        self._returns.orders[shard] = order
        self._store.put(f"op/rollout/{shard}", order)
        # Hosts that are paused or disconnected need more time, or they would see the leaf before the order.
        await asyncio.sleep(SETTLING_TIME_S if not self._is_calm(0.0) else 0.3)
        self._leaves.append(new)
        self._write_leaf(new, "ready")
        await asyncio.sleep(ROLLOUT_S)
        arrived, runs = runs_of(shard, self._all_leaves()) - arrived, len(new.runs)
        if is_bad and runs > EXPOSED_SHARE * arrived + EXPOSED_SLACK_REQUESTS:
            self._report_breach("a bad version gets a small share", f"{new.id} ran {runs} of {arrived}")
        self._leaves.remove(new)
        self._removed_leaves.append(new)
        self._store.remove(f"servers/{new.id}")
        await asyncio.sleep(1.0)
        del self._returns.orders[shard]
        self._store.remove(f"op/rollout/{shard}")
        self._rollouts_in_progress.discard(shard)

    def _all_leaves(self) -> list[PlatformLeaf]:
        return [*self._leaves, *self._removed_leaves]


@dataclass
class Command:
    """Run the fault soak for some seeds."""

    first_seed: Annotated[int, cappa.Arg(long=True, help="First seed.")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="Number of seeds.")] = 1
    length_s: Annotated[float, cappa.Arg(long=True, help="Length of each run in s, without the end.")] = 20.0
    keep: Annotated[Path | None, cappa.Arg(long=True, help="Folder for the daemons' logs.")] = None


async def run_seed(seed: int, length_s: float, keep: Path | None = None) -> Soak:
    """Run one seed; keep the daemons' logs if a folder is given."""
    soak = Soak(seed, length_s)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary) if keep is None else keep / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        await soak.run(folder)
    return soak


def main() -> None:
    """Run the seeds one after the other; exit with 1 if any broke a promise."""
    command = cappa.parse(Command)
    failed = 0
    for seed in range(command.first_seed, command.first_seed + command.seeds):
        soak = asyncio.run(run_seed(seed, command.length_s, command.keep))
        failed += bool(soak.breaches)
        print(json.dumps({"seed": seed, "breaches": [str(b) for b in soak.breaches], **soak.counts.statuses}))
        if soak.breaches:
            print("\n".join(soak.history))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
