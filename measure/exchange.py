"""Measure the processor time of one exchange with a leaf through a connection group."""

import asyncio
import multiprocessing
import time
from collections.abc import Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection

import anyio

from hawthornbridge.connections import ConnectionGroup
from hawthornbridge.ids import (
    DomainName,
    RequestId,
    RouteName,
    ServiceName,
    ShardName,
    SnapshotNumber,
    UpstreamId,
    VersionName,
)
from hawthornbridge.leafhttp import HttpUpstreamProtocol
from hawthornbridge.model import Upstream
from hawthornbridge.subrequests import Search, SearchReply
from standins.leaf import Leaf

EXCHANGES = 5_000
WARM_UP_EXCHANGES = 500


async def _serve(address: Connection) -> None:
    leaf = Leaf(shard="s0", service_ms=0.0)
    await leaf.start()
    address.send(leaf.server.address)
    await asyncio.Event().wait()


def _run_leaf(address: Connection) -> None:
    asyncio.run(_serve(address))


@contextmanager
def leaf_process() -> Iterator[str]:
    """Run a stand-in leaf in another process, which does not compete for the interpreter lock; yield its address."""
    parent_end, child_end = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_run_leaf, args=(child_end,), daemon=True)
    process.start()
    try:
        yield parent_end.recv()
    finally:
        process.terminate()
        process.join()


async def measure(address: str, exchanges: int) -> float:
    """Return the processor time in seconds that this thread uses for one exchange."""
    upstream = Upstream(
        id=UpstreamId("u0"),
        service=ServiceName("pattern-desk"),
        shard=ShardName("s0"),
        failure_domain=DomainName("a"),
        version=VersionName("v1"),
        address=address,
        slots=2,
        connections=25,
    )
    group = ConnectionGroup(upstream, 2, HttpUpstreamProtocol())
    request = Search(
        RequestId("q1"),
        RouteName("lookup"),
        ShardName("s0"),
        SnapshotNumber(1),
        "last",
        10,
        anyio.current_time() + 600,
    )
    async with anyio.create_task_group() as tasks:
        group.start(tasks)
        while not group.connected:
            await anyio.sleep(0.01)
        spent_s = 0.0
        for count in (WARM_UP_EXCHANGES, exchanges):
            started_s = time.thread_time()
            for _ in range(count):
                outcome = await group.search(request)
                assert isinstance(outcome, SearchReply), outcome
            spent_s = time.thread_time() - started_s
        tasks.cancel_scope.cancel()
    return spent_s / exchanges


def main() -> None:
    """Print the least and the median processor time of an exchange over five rounds."""
    with leaf_process() as address:
        rounds = sorted(anyio.run(measure, address, EXCHANGES) for _ in range(5))
    print(f"exchange: best {rounds[0] * 1e6:.0f} us, median {rounds[2] * 1e6:.0f} us of processor time")


if __name__ == "__main__":
    main()
