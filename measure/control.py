"""Measure the cost of the control plane of one host among nine, over pynng on loopback."""

import argparse
import multiprocessing
import sys
import time
from multiprocessing.connection import Connection

import anyio
import msgspec

from hawthornbridge.acceptance import ChangeAccepted
from hawthornbridge.control import ControlPlane
from hawthornbridge.ids import DomainName, HostId, Incarnation, OperationId, Seat
from hawthornbridge.membership import HostIdentity
from hawthornbridge.model import FailureDomain, PutFailureDomain
from hawthornbridge.peers import PynngLinks
from hawthornbridge.store import Missing, ReadOutcome, WatchOutcome, WatchTimeout
from standins.memorystore import MemoryStore
from standins.ports import free_port

SETTLING_S = 4.0
IDLE_S = 20.0
CHANGES = 100
CHANGE_INTERVAL_S = 0.1


class Reading(msgspec.Struct):
    """The resources that one host has used so far."""

    processor_s: float
    sent: int
    sent_bytes: int
    received_bytes: int
    generation: int


class EmptyStore(MemoryStore):
    """Empty store that answers immediately, so that the figures include no cost of an HTTP client."""

    async def get(self, key: object) -> ReadOutcome:
        """Return that the key has no value."""
        return Missing(key)  # type: ignore[arg-type]

    async def watch(self, key: object, after: object, wait_s: float) -> WatchOutcome:
        """Wait for the whole time without a change."""
        await anyio.sleep(wait_s)
        return WatchTimeout()


def _control(number: int, addresses: list[str], store: MemoryStore) -> ControlPlane:
    identity = HostIdentity(
        HostId(f"entry-{number}"),
        Incarnation(time.time_ns()),
        Seat(number),
        len(addresses),
        addresses[number],
        addresses[number],
        DomainName("a"),
        "r1",
    )
    return ControlPlane(identity, "peers-token-00001", PynngLinks(addresses[number]), store, tuple(addresses))


def _reading(control: ControlPlane) -> Reading:
    peers = control.peers
    return Reading(
        time.process_time(), peers.sent, peers.sent_bytes, peers.received_bytes, control.configuration.generation
    )


def _serve(number: int, addresses: list[str], pipe: Connection) -> None:
    async def answer(control: ControlPlane) -> None:
        while True:
            await anyio.sleep(0.1)
            if pipe.poll():
                command = pipe.recv()
                if command == "stop":
                    return
                pipe.send(_reading(control))

    async def run() -> None:
        control = _control(number, addresses, EmptyStore())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(control.run)
            await answer(control)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def _ask(pipes: list[Connection]) -> list[Reading]:
    for pipe in pipes:
        pipe.send("read")
    return [pipe.recv() for pipe in pipes]


async def _propose(control: ControlPlane) -> float:
    started = time.process_time()
    for number in range(CHANGES):
        change = PutFailureDomain(FailureDomain(name=DomainName(f"d{number}")))
        outcome = await control.configuration.propose(change, change.domain.generation, OperationId(f"op-{number}"))
        assert isinstance(outcome, ChangeAccepted), outcome
        await anyio.sleep(CHANGE_INTERVAL_S)
    return time.process_time() - started


async def _measure(addresses: list[str], pipes: list[Connection]) -> None:
    # This process is the last host; it has its own in-memory store and proposes the changes.
    control = _control(len(addresses) - 1, addresses, MemoryStore())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(control.run)
        await anyio.sleep(SETTLING_S)
        before = await anyio.to_thread.run_sync(_ask, pipes)
        await anyio.sleep(IDLE_S)
        idle = await anyio.to_thread.run_sync(_ask, pipes)
        _print_idle(before, idle)
        started_s = time.monotonic()
        own_s = await _propose(control)
        await anyio.sleep(1.0)
        after = await anyio.to_thread.run_sync(_ask, pipes)
        _print_changes(before, idle, after, time.monotonic() - started_s, own_s)
        tasks.cancel_scope.cancel()


def _print_idle(before: list[Reading], idle: list[Reading]) -> None:
    count = len(before)
    processor_s = sum(b.processor_s - a.processor_s for a, b in zip(before, idle, strict=True)) / count
    sent = sum(b.sent - a.sent for a, b in zip(before, idle, strict=True)) / count
    sent_bytes = sum(b.sent_bytes - a.sent_bytes for a, b in zip(before, idle, strict=True)) / count
    received = sum(b.received_bytes - a.received_bytes for a, b in zip(before, idle, strict=True)) / count
    print(f"hosts: {count + 1}, idle for {IDLE_S:.0f} s; mean over {count} hosts, each in its own process")
    print(f"messages sent per host: {sent / IDLE_S:.1f}/s, {sent_bytes / sent:.0f} bytes each")
    print(
        f"bytes per host: {sent_bytes / IDLE_S / 1_000:.2f} KB/s sent, {received / IDLE_S / 1_000:.2f} KB/s received"
    )
    print(f"processor time per host: {processor_s / IDLE_S:.2%} of a core")
    print(f"processor time per heartbeat sent to or received from one peer: {processor_s / sent / 2 * 1e6:.0f} us")


def _print_changes(
    before: list[Reading], idle: list[Reading], after: list[Reading], duration_s: float, own_s: float
) -> None:
    assert all(reading.generation == CHANGES for reading in after), "a change did not arrive"
    count = len(idle)
    idle_s = sum(b.processor_s - a.processor_s for a, b in zip(before, idle, strict=True)) / count / IDLE_S
    idle_bytes = sum(b.sent_bytes - a.sent_bytes for a, b in zip(before, idle, strict=True)) / count / IDLE_S
    busy_s = sum(b.processor_s - a.processor_s for a, b in zip(idle, after, strict=True)) / count
    busy_bytes = sum(b.sent_bytes - a.sent_bytes for a, b in zip(idle, after, strict=True)) / count
    print(f"changes: {CHANGES} at one per {CHANGE_INTERVAL_S:.1f} s; all hosts have applied generation {CHANGES}")
    print(f"processor time per change on another host: {(busy_s - idle_s * duration_s) / CHANGES * 1e3:.2f} ms")
    print(f"bytes sent per change by another host: {(busy_bytes - idle_bytes * duration_s) / CHANGES:.0f}")
    print(f"processor time per change on the proposing host, its control included: {own_s / CHANGES * 1e3:.2f} ms")


def main() -> None:
    """Run all hosts but one in child processes and the last one here, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=9)
    hosts: int = parser.parse_args().hosts
    context = multiprocessing.get_context("spawn")
    addresses = [f"127.0.0.1:{free_port()}" for _ in range(hosts)]
    pipes, processes = [], []
    for number in range(hosts - 1):
        parent_end, child_end = context.Pipe()
        process = context.Process(target=_serve, args=(number, addresses, child_end), daemon=True)
        process.start()
        pipes.append(parent_end)
        processes.append(process)
    try:
        anyio.run(_measure, addresses, pipes)
    finally:
        for pipe in pipes:
            pipe.send("stop")
        for process in processes:
            process.join(5)
    sys.stdout.flush()


if __name__ == "__main__":
    main()
