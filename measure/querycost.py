"""Measure the processor time of a query over 20 shards with two replicas each, and of its sub-requests."""

import argparse
import cProfile
import pstats
import time
from collections.abc import Callable
from dataclasses import replace

import anyio

from hawthornbridge.ids import (
    CallerId,
    ClassName,
    Incarnation,
    MapId,
    RequestId,
    RouteName,
    ServiceName,
    SnapshotNumber,
    VersionName,
)
from hawthornbridge.leafhttp import HttpUpstreamProtocol
from hawthornbridge.model import Catalogue, fold
from hawthornbridge.replicas import choose_of_two_reported
from hawthornbridge.requests import SearchAnswer, SearchRequest
from hawthornbridge.search import Searcher
from hawthornbridge.subrequests import (
    Channel,
    Execute,
    ExecuteOutcome,
    HeldSnapshot,
    Hit,
    Search,
    SearchOutcome,
    SearchReply,
    Status,
    StatusOutcome,
    UpstreamFailure,
    UpstreamProtocol,
)
from hawthornbridge.upstreams import UpstreamTable
from measure.deployments import KOTTAYAM, changes_for
from measure.leafgroup import LeafGroup
from measure.remote import Remote

SPEC = replace(KOTTAYAM.search, service_ms=0.0, connect_ms=0.0)
DEPLOYMENT = replace(KOTTAYAM, search=SPEC)
SNAPSHOTS = dict.fromkeys((1, 2), f"{SPEC.name}-m1")
WARM_UP_QUERIES = 100
HITS = 3
# Far longer than any query takes, so that no hedge or cancellation affects the figures.
DEADLINE_S = 30.0


class MemoryChannel:
    """Channel that answers immediately and without a network."""

    reusable = True

    async def search(self, request: Search) -> SearchOutcome:
        """Return the same number of hits as a stand-in leaf."""
        hits = tuple([Hit(f"{request.shard}-{number}", 1 / (number + 1)) for number in range(HITS)])
        return SearchReply(
            request.request_id, request.shard, request.snapshot, hits, Incarnation(1), VersionName("v1"), 1, SPEC.slots
        )

    async def execute(self, request: Execute) -> ExecuteOutcome:
        """Raise NotImplementedError, because queries only search."""
        raise NotImplementedError

    async def cancel(self, request_id: RequestId) -> UpstreamFailure | None:
        """Do nothing."""
        return None

    async def status(self) -> StatusOutcome:
        """Return a healthy status with every snapshot."""
        held = tuple(HeldSnapshot(SnapshotNumber(number), MapId(name)) for number, name in SNAPSHOTS.items())
        return Status(True, False, 1, SPEC.slots, Incarnation(1), VersionName("v1"), held)

    async def aclose(self) -> None:
        """Do nothing."""


class MemoryProtocol:
    """Upstream protocol with in-memory channels."""

    async def connect(self, address: str, timeout_s: float) -> Channel | UpstreamFailure:
        """Return a new channel."""
        return MemoryChannel()


def _request() -> SearchRequest:
    return SearchRequest(
        RequestId("q1"),
        ServiceName(SPEC.name),
        RouteName("lookup"),
        ClassName("default"),
        CallerId("caller-1"),
        "last",
        10,
        anyio.current_time() + DEADLINE_S,
    )


async def _connected(table: UpstreamTable, catalogue: Catalogue) -> None:
    quota = SPEC.connections // DEPLOYMENT.seats
    for upstream in catalogue.upstreams:
        while (state := table.state(upstream)) is None or state.connections.connected < quota or not state.snapshots:
            await anyio.sleep(0.01)


async def _measure(
    protocol: UpstreamProtocol, catalogue: Catalogue, queries: int, profile: cProfile.Profile | None
) -> float:
    """Return the processor time in seconds that this thread uses for one query."""
    table = UpstreamTable(protocol, choose_of_two_reported, DEPLOYMENT.seats)
    searcher = Searcher(table, lambda: catalogue)
    async with anyio.create_task_group() as tasks:
        table.apply(catalogue, tasks)
        await _connected(table, catalogue)
        spent_s = 0.0
        for count in (WARM_UP_QUERIES, queries):
            if profile is not None and count == queries:
                profile.enable()
            started_s = time.thread_time()
            for _ in range(count):
                answer = await searcher.search(_request())
                assert isinstance(answer, SearchAnswer) and answer.coverage.ratio == 1.0, answer
            spent_s = time.thread_time() - started_s
            if profile is not None:
                profile.disable()
        tasks.cancel_scope.cancel()
    return spent_s / queries


def _catalogue(addresses: dict[str, str]) -> Catalogue:
    return fold(changes_for(DEPLOYMENT, addresses, SPEC.leaves()))


def _report(name: str, measure: Callable[[cProfile.Profile | None], float], rounds: int, profiled: bool) -> None:
    times_s = sorted(measure(None) for _ in range(rounds))
    best_s, median_s = times_s[0], times_s[len(times_s) // 2]
    print(
        f"{name}: best {best_s * 1e6:.0f} us, median {median_s * 1e6:.0f} us a query of {SPEC.shards} shards; "
        f"best {best_s / SPEC.shards * 1e6:.1f} us a sub-request"
    )
    if profiled:
        profile = cProfile.Profile()
        measure(profile)
        pstats.Stats(profile).sort_stats("tottime").print_stats(35)


async def _start(leaf_group: Remote) -> dict[str, str]:
    result: dict[str, str] = await leaf_group.call("start", SPEC.leaves(), SNAPSHOTS)
    return result


def main() -> None:
    """Print the least and the median processor time of a query, in memory and over loopback connections."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--queries", type=int, default=300)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument(
        "--memory-only", action="store_true", help="measure in memory only, without leaves in another process"
    )
    parser.add_argument("--profile", action="store_true", help="print the functions that use the most time")
    arguments = parser.parse_args()
    rounds, queries = arguments.rounds, arguments.queries
    in_memory = _catalogue({spec.id: "127.0.0.1:1" for spec in SPEC.leaves()})
    _report(
        "in memory",
        lambda profile: anyio.run(_measure, MemoryProtocol(), in_memory, queries, profile),
        rounds,
        arguments.profile,
    )
    if arguments.memory_only:
        return
    leaf_group = Remote(LeafGroup)
    try:
        over_loopback = _catalogue(anyio.run(_start, leaf_group))
        _report(
            "over loopback",
            lambda profile: anyio.run(_measure, HttpUpstreamProtocol(), over_loopback, queries, profile),
            rounds,
            arguments.profile,
        )
    finally:
        leaf_group.close()


if __name__ == "__main__":
    main()
