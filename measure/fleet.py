"""Fleet for measurements: daemons, leaves and callers in child processes, the platform's stand-ins in this one."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from types import TracebackType
from typing import Any

import anyio
import httpcore
import msgspec
import uuid_utils
from prometheus_client.parser import text_string_to_metric_families

from hawthornbridge import operations_pb as pb
from hawthornbridge.confighead import HEAD_KEY, Head
from hawthornbridge.ids import Generation, OperationId
from hawthornbridge.model import Catalogue, Change, Entry
from hawthornbridge.operationscodec import change_to_wire
from hawthornbridge.operatorclient import OperatorClient, Outcome
from hawthornbridge.store import ABSENT
from measure.deployments import Deployment, LeafSpec, changes_for
from measure.leafgroup import LeafGroup
from measure.load import CallerProcess
from measure.local import OPERATOR_TOKEN, free_address, settings_tree
from measure.remote import Remote
from standins.hostlist import HostList
from standins.store import StoreServer

__all__ = ["ProcessFleet", "processor_s"]

LEAF_GROUPS = 2
# A single caller process cannot keep up with its open-loop schedule at 100 requests per second.
CALLERS = 4
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used; 0 if it has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    # The program name, which is in parentheses, can contain spaces.
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class ProcessFleet:
    """One deployment on loopback, with a process for each daemon."""

    def __init__(
        self,
        deployment: Deployment,
        plugins: dict[str, str],
        *,
        hosts: int,
        seed: int,
        orders: bool = False,
        service_ms: float | None = None,
        wrapper: Sequence[str] = (),
    ) -> None:
        self.deployment = deployment
        self.store = StoreServer()
        self.host_list = HostList()
        self.hosts = hosts
        self.trees: list[dict[str, Any]] = []
        self.daemons: list[subprocess.Popen[bytes]] = []
        self.leaves: list[LeafSpec] = deployment.search.leaves() + (deployment.orders.leaves() if orders else [])
        if service_ms is not None:
            self.leaves = [replace(spec, service_ms=service_ms) for spec in self.leaves]
        self.addresses: dict[str, str] = {}
        self._plugins = plugins
        self._seed = seed
        self._wrapper = tuple(wrapper) or ("-m", "hawthornbridge.daemon")
        self._leaf_groups: list[Remote] = []
        self.callers: list[Remote] = []
        self._directory = tempfile.TemporaryDirectory(prefix="hawthornbridge-measure-")

    @property
    def operator_addresses(self) -> list[str]:
        """Return the operators' address of each running host."""
        running = zip(self.trees, self.daemons, strict=True)
        return [tree["listeners"]["operators"] for tree, daemon in running if daemon.poll() is None]

    @property
    def leaf_group_pids(self) -> list[int]:
        """Return the process ids of the leaf processes."""
        return [leaf_group.pid for leaf_group in self._leaf_groups]

    async def __aenter__(self) -> "ProcessFleet":
        try:
            await self._start()
        except BaseException:
            self._end_processes()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._end_processes()
        await self.store.stop()
        await self.host_list.stop()

    async def start_leaves(self, specs: list[LeafSpec]) -> None:
        """Start leaves, distributed over the leaf processes."""
        for number, leaf_group in enumerate(self._leaf_groups):
            part = specs[number::LEAF_GROUPS]
            self.addresses |= await leaf_group.call("start", part, {1: f"{self.deployment.search.name}-m1"})

    async def call_leaves(self, method: str, ids: list[str], *args: Any) -> None:
        """Call a method of the leaf processes for some leaves."""
        for leaf_group in self._leaf_groups:
            await leaf_group.call(method, ids, *args)

    async def counters(self) -> dict[str, dict[str, int]]:
        """Return the counters of each leaf."""
        counters: dict[str, dict[str, int]] = {}
        for leaf_group in self._leaf_groups:
            counters |= await leaf_group.call("counters")
        return counters

    async def executions(self) -> dict[str, int]:
        """Return the number of executions of each idempotency key over all leaves."""
        total: Counter[str] = Counter()
        for leaf_group in self._leaf_groups:
            total.update(await leaf_group.call("executions"))
        return dict(total)

    async def sub_requests(self) -> dict[str, Counter[str]]:
        """Return the sub-requests by purpose of each running host, keyed by its operators' address."""
        totals: dict[str, Counter[str]] = {}
        async with httpcore.AsyncConnectionPool() as pool:
            for address in self.operator_addresses:
                total = totals[address] = Counter()
                response = await pool.request("GET", f"http://{address}/metrics")
                for family in text_string_to_metric_families(response.content.decode()):
                    if family.name != "hawthornbridge_sub_requests":
                        continue
                    for sample in family.samples:
                        if sample.name.endswith("_total"):
                            total[sample.labels["purpose"]] += int(sample.value)
        return totals

    def processor_s(self) -> dict[str, float]:
        """Return the processor time of each running daemon, keyed by its operators' address."""
        running = zip(self.trees, self.daemons, strict=True)
        return {
            tree["listeners"]["operators"]: processor_s(daemon.pid)
            for tree, daemon in running
            if daemon.poll() is None
        }

    async def call(self, method: str, request: Any) -> Outcome:
        """Make one operator call that changes the configuration."""
        client = OperatorClient(self.operator_addresses, OPERATOR_TOKEN)
        return await anyio.to_thread.run_sync(client.change, method, request)

    async def change(self, change: Change, expected: int = 0) -> Outcome:
        """Put or remove one entity."""
        request = pb.ChangeRequest(
            operation_id=str(uuid_utils.uuid7()), expected_generation=expected, change=change_to_wire(change)
        )
        return await self.call("change", request)

    async def configuration(self, address: str | None = None) -> Catalogue:
        """Return the configuration that one host holds."""
        client = OperatorClient([address] if address else self.operator_addresses, OPERATOR_TOKEN)
        return await anyio.to_thread.run_sync(client.configuration)

    async def wait_until_applied(self, generation: Generation) -> None:
        """Wait until every running host has applied a generation."""
        waiting = self.operator_addresses
        while waiting:
            waiting = [address for address in waiting if (await self.configuration(address)).generation < generation]

    def signal_host(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to one daemon."""
        self.daemons[number].send_signal(signal_number)

    async def _start(self) -> None:
        await self.store.start()
        await self.host_list.start()
        self._leaf_groups = [Remote(LeafGroup) for _ in range(LEAF_GROUPS)]
        await self.start_leaves(self.leaves)
        self._seed_configuration(changes_for(self.deployment, self.addresses, self.leaves))
        peers = [free_address() for _ in range(self.hosts)]
        for number in range(self.hosts):
            tree = settings_tree(
                number,
                self.deployment.seats,
                self.store.server.address,
                self.host_list.server.address,
                peers,
                plugins=self._plugins,
            )
            self.trees.append(tree)
            self.daemons.append(self._start_daemon(number, tree))
        with anyio.fail_after(START_TIMEOUT_S):
            for tree in self.trees:
                await _wait_until_ready(tree["listeners"]["operators"])
        entries = [tree["listeners"]["callers"] for tree in self.trees]
        self.callers = [
            Remote(CallerProcess, entries, self._seed * CALLERS + number, self.deployment.caller_ms)
            for number in range(CALLERS)
        ]

    def _seed_configuration(self, changes: list[Change]) -> None:
        # Written directly, because operator calls take 1 s for every 20 changes and are measured elsewhere.
        entries = tuple(
            Entry(Generation(number), OperationId(f"seed-{number}"), change)
            for number, change in enumerate(changes, 1)
        )
        head = Head(Generation(len(entries)), entries=entries)
        self.store.state.write(HEAD_KEY, msgspec.json.encode(head), ABSENT, None)

    def _start_daemon(self, number: int, tree: dict[str, Any]) -> subprocess.Popen[bytes]:
        path = Path(self._directory.name) / f"entry-{number}.jsonc"
        path.write_text(json.dumps(tree))
        command = [sys.executable, *self._wrapper, "--settings", str(path)]
        with path.with_suffix(".log").open("wb") as log:
            return subprocess.Popen(command, stdout=log, stderr=log)

    def _end_processes(self) -> None:
        for daemon in self.daemons:
            if daemon.poll() is None:
                daemon.kill()
        for daemon in self.daemons:
            daemon.wait(STOP_TIMEOUT_S)
        for remote in [*self._leaf_groups, *self.callers]:
            remote.close()
        self._directory.cleanup()


async def _wait_until_ready(address: str) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            try:
                response = await pool.request("GET", f"http://{address}/readyz")
                if response.status == 200:
                    return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
            await anyio.sleep(0.1)
