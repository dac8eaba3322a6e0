"""Measure how state, time and memory grow with the size of the deployment, for docs/CAPACITY.md."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
import msgspec

from hawthornbridge.evidence import EvidenceCounters, EvidenceRow, RolloutEvidence, Tally, TallyKey
from hawthornbridge.ids import (
    ClassName,
    DomainName,
    Generation,
    HostId,
    Incarnation,
    OperationId,
    RouteName,
    ServiceName,
    ShardName,
    UpstreamId,
    VersionName,
)
from hawthornbridge.model import (
    Catalogue,
    Change,
    ClassLimits,
    Entry,
    FailureDomain,
    PutFailureDomain,
    PutService,
    PutUpstream,
    Route,
    Service,
    Upstream,
)
from hawthornbridge.platform.decoding import encode_status
from hawthornbridge.rolloutorders import STEPS, OrderLog, RolloutOrder
from hawthornbridge.rollouts import Rollouts
from hawthornbridge.sequential import Comparison, SequentialTest
from hawthornbridge.store import Key, LeaseId, Revision, Unavailable, WriteOutcome

__all__ = ["Slope", "main"]

REPEATS = 5
SHARDS_PER_SERVICE = 56


@dataclass(frozen=True, slots=True)
class Slope:
    """Measurements at several sizes and their linear fit: value = intercept + slope * size."""

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def fit(self) -> tuple[float, float, float]:
        """Return slope, intercept and the coefficient of determination."""
        slope, intercept = statistics.linear_regression(self.sizes, self.values)
        correlation = statistics.correlation(self.sizes, self.values) if len(set(self.values)) > 1 else 1.0
        return slope, intercept, correlation**2

    def row(self) -> str:
        """Return the fit as a table row."""
        slope, intercept, determination = self.fit
        span = f"{self.sizes[0]} to {self.sizes[-1]}"
        fit = f"{slope:.4g} | {intercept:.4g} | {determination:.3f}"
        return f"| {self.name} | {self.unit} per {self.per} | {fit} | {span} |"


def main() -> None:
    """Measure every slope and print the table."""
    print("| what | unit | slope | intercept | r2 | range |")
    print("| --- | --- | --- | --- | --- | --- |")
    for measure in (
        _catalogue_apply,
        _catalogue_index,
        _catalogue_bytes,
        _catalogue_memory,
        _catalogue_decode,
        _evidence_bytes,
        _evidence_merge,
        _sequential_update,
        _order_evaluation,
        _order_bytes,
    ):
        print(measure().row(), flush=True)


def _catalogue(upstreams: int) -> Catalogue:
    catalogue = Catalogue()
    for change in _changes(upstreams):
        entry = Entry(Generation(catalogue.generation + 1), OperationId("measure"), change)
        if isinstance(change, PutUpstream):
            # Each apply would copy the whole table, so upstreams are added directly; the measured change comes later.
            catalogue.upstreams[change.upstream.id] = change.upstream
            catalogue = msgspec.structs.replace(catalogue, generation=entry.generation)
        else:
            catalogue = catalogue.apply(entry)
    return catalogue


def _changes(upstreams: int) -> list[Change]:
    services = max(1, upstreams // (SHARDS_PER_SERVICE * 2))
    changes: list[Change] = [PutFailureDomain(FailureDomain(name=DomainName(f"d{number}"))) for number in range(17)]
    for number in range(services):
        service = Service(
            name=ServiceName(f"service-{number}"),
            routes=(Route(RouteName("search")),),
            classes=(ClassLimits(ClassName("default")),),
            version=VersionName("v1"),
        )
        changes.append(PutService(service))
    changes += [PutUpstream(_upstream(number, services)) for number in range(upstreams)]
    return changes


def _upstream(number: int, services: int) -> Upstream:
    return Upstream(
        id=UpstreamId(f"upstream-{number}"),
        service=ServiceName(f"service-{number % services}"),
        shard=ShardName(f"s{number // services % SHARDS_PER_SERVICE}"),
        failure_domain=DomainName(f"d{number % 17}"),
        version=VersionName("v1"),
        address=f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8000",
        slots=2,
        connections=25,
    )


SIZES = (1_000, 4_000, 16_000, 49_000)


def _catalogue_apply() -> Slope:
    def measure(size: int) -> float:
        catalogue = _catalogue(size)
        change = PutUpstream(_upstream(0, max(1, size // (SHARDS_PER_SERVICE * 2))))
        entry = Entry(Generation(catalogue.generation + 1), OperationId("measure"), change)
        return _best_us(lambda: catalogue.apply(entry))

    return _slope("apply one change", "us", "upstream", SIZES, measure)


def _catalogue_index() -> Slope:
    def measure(size: int) -> float:
        catalogue = _catalogue(size)

        def index() -> None:
            msgspec.structs.replace(catalogue).replicas(ServiceName("service-0"), ShardName("s0"))

        return _best_us(index)

    return _slope("index replicas by shard after a change", "us", "upstream", SIZES, measure)


def _catalogue_bytes() -> Slope:
    return _slope(
        "folded configuration as MessagePack",
        "bytes",
        "upstream",
        SIZES,
        lambda size: float(len(msgspec.msgpack.encode(_catalogue(size)))),
    )


def _catalogue_memory() -> Slope:
    def measure(size: int) -> float:
        content = msgspec.msgpack.encode(_catalogue(size))
        gc.collect()
        tracemalloc.start()
        catalogue = msgspec.msgpack.decode(content, type=Catalogue)
        catalogue.replicas(ServiceName("service-0"), ShardName("s0"))
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return float(used)

    return _slope("configuration in memory, with its index", "bytes", "upstream", SIZES, measure)


def _catalogue_decode() -> Slope:
    def measure(size: int) -> float:
        content = msgspec.msgpack.encode(_catalogue(size))
        return _best_us(lambda: msgspec.msgpack.decode(content, type=Catalogue))

    return _slope("decode the folded configuration", "us", "upstream", SIZES, measure)


def _evidence(routes: int) -> RolloutEvidence:
    rows = tuple(
        EvidenceRow(TallyKey(0, RouteName(f"route-{number}"), is_new), Tally(100_000, 500, 10_000))
        for number in range(routes)
        for is_new in (False, True)
    )
    return RolloutEvidence("service:v2:1764800000000", HostId("entry-1"), Incarnation(time.time_ns()), rows)


def _evidence_bytes() -> Slope:
    return _slope(
        "rollout evidence of one host",
        "bytes",
        "route",
        (1, 2, 4, 8),
        lambda routes: float(len(msgspec.msgpack.encode(_evidence(routes)))),
    )


def _evidence_merge() -> Slope:
    def measure(hosts: int) -> float:
        board = EvidenceCounters(HostId("me"), Incarnation(0))
        messages = [
            msgspec.structs.replace(_evidence(2), host=HostId(f"h{number}"), incarnation=Incarnation(number))
            for number in range(1, hosts + 1)
        ]

        def merge() -> None:
            for message in messages:
                board.merge(message)
            board.totals("service:v2:1764800000000")

        return _best_us(merge)

    return _slope("join and sum the evidence of all hosts (2 routes)", "us", "host", (4, 8, 16, 64, 256), measure)


def _sequential_update() -> Slope:
    def measure(new_bad: int) -> float:
        seen = Comparison(new_bad, new_bad * 10, new_bad * 9, new_bad * 90)
        return _best_us(lambda: SequentialTest(0.001).update(seen))

    return _slope("one interval of the sequential test", "us", "bad request", (1, 4, 16, 64), measure)


ORDERED = RolloutOrder(ServiceName("service"), VersionName("v2"), 12.0, Key("order"), Revision(7))


def _ordered_log() -> OrderLog:
    class NoStore:
        async def transact(
            self, expected: Mapping[Key, Revision], puts: Mapping[Key, bytes], lease: LeaseId | None = None
        ) -> WriteOutcome:
            return Unavailable("no moves are recorded here")

    log = OrderLog(NoStore(), encode_status, lambda: 0)
    log.put_order(ORDERED)
    return log


def _order_evidence(number: int) -> RolloutEvidence:
    """Return the counts of one host at the end of a 12 s order, at 45 requests/s over nine hosts."""
    rows = tuple(
        EvidenceRow(TallyKey(step, RouteName(f"route-{route}"), is_new), Tally(30, 1, 2))
        for step in range(len(STEPS))
        for route in range(2)
        for is_new in (False, True)
        if is_new or STEPS[step] < 1.0
    )
    return RolloutEvidence("service:v2:7", HostId(f"h{number}"), Incarnation(number), rows)


def _order_evaluation() -> Slope:
    def measure(hosts: int) -> float:
        log = _ordered_log()

        async def judge() -> float:
            rollouts = Rollouts(
                lambda: log.catalogue, lambda evidence: None, HostId("me"), Incarnation(0), hosts, judges_totals=True
            )
            for number in range(1, hosts + 1):
                rollouts.on_evidence(_order_evidence(number))
            return _best_us(rollouts.evaluate)

        return anyio.run(judge)

    return _slope("judge the rollout of an order once (2 routes)", "us", "host", (4, 8, 16, 64, 256), measure)


def _order_bytes() -> Slope:
    return _slope(
        "evidence on orders that all hosts write",
        "bytes",
        "host",
        (4, 8, 16),
        lambda hosts: float(sum(len(msgspec.json.encode(_order_evidence(number))) for number in range(hosts))),
    )


def _slope(name: str, unit: str, per: str, sizes: tuple[int, ...], measure: Callable[[int], float]) -> Slope:
    return Slope(name, unit, per, sizes, tuple(measure(size) for size in sizes))


def _best_us(action: Callable[[], object]) -> float:
    """Return the least processor time of several repeats, which is the one least disturbed by other load."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time_ns()
        action()
        times.append((time.process_time_ns() - started) / 1_000)
    return min(times)


if __name__ == "__main__":
    main()
