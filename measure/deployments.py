"""The deployments that are measured, with their current sizes."""

from dataclasses import dataclass

from hawthornbridge.ids import ClassName, DomainName, MapId, RouteName, ServiceName, ShardName, UpstreamId, VersionName
from hawthornbridge.model import (
    Change,
    ClassLimits,
    CoverageFirst,
    FailureDomain,
    LatencyFirst,
    PutFailureDomain,
    PutService,
    PutShardMap,
    PutUpstream,
    PutVersion,
    Route,
    Service,
    ShardMap,
    Upstream,
    Version,
)

__all__ = ["KOTTAYAM", "SWAPSIES", "Deployment", "LeafSpec", "ServiceSpec", "changes_for"]

DOMAINS = ("a", "b", "c")
OLD_VERSION = "v1"


@dataclass(frozen=True, slots=True)
class LeafSpec:
    """Parameters of one stand-in leaf."""

    id: str
    service: str
    shard: str
    failure_domain: str
    version: str
    slots: int
    connections: int
    connect_ms: float
    service_ms: float


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Size of one service; service_ms is the median time of a sub-request in a slot."""

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    service_ms: float
    routes: tuple[str, ...]
    ordered_route: str | None = None

    def leaves(self, version: str = OLD_VERSION) -> list[LeafSpec]:
        """Return the leaves of one version; the replicas of a shard are in different failure domains."""
        return [
            LeafSpec(
                id=f"{self.name}-{version}-s{shard}-{replica}",
                service=self.name,
                shard=f"s{shard}",
                failure_domain=DOMAINS[(shard + replica) % len(DOMAINS)],
                version=version,
                slots=self.slots,
                connections=self.connections,
                connect_ms=self.connect_ms,
                service_ms=self.service_ms,
            )
            for shard in range(self.shards)
            for replica in range(self.replicas)
        ]


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment; caller_ms is the one-way network delay between callers and hosts."""

    name: str
    coverage_first: bool
    caller_ms: float
    hosts: int
    seats: int
    search: ServiceSpec
    orders: ServiceSpec


KOTTAYAM = Deployment(
    name="kottayam",
    coverage_first=False,
    caller_ms=3.0,
    hosts=8,
    seats=11,
    search=ServiceSpec("pattern-desk", 20, 2, 2, 25, 6.0, 8.0, ("lookup", "fitting")),
    orders=ServiceSpec("order-book", 1, 7, 3, 110, 1.0, 8.0, ("read", "enter"), "enter"),
)
SWAPSIES = Deployment(
    name="swapsies",
    coverage_first=True,
    caller_ms=1.0,
    hosts=8,
    seats=11,
    search=ServiceSpec("swapfinder", 20, 2, 2, 25, 6.0, 8.0, ("search", "quick-match")),
    orders=ServiceSpec("swap-ledger", 30, 2, 2, 25, 6.0, 8.0, ("read", "request"), "request"),
)


def changes_for(deployment: Deployment, addresses: dict[str, str], leaves: list[LeafSpec]) -> list[Change]:
    """Return the changes that configure a deployment whose leaves listen on these addresses."""
    changes: list[Change] = [PutFailureDomain(FailureDomain(name=DomainName(name))) for name in DOMAINS]
    for spec in (deployment.search, deployment.orders):
        name = ServiceName(spec.name)
        service = Service(
            name=name,
            routes=tuple(Route(RouteName(route), idempotent=route != spec.ordered_route) for route in spec.routes),
            classes=(ClassLimits(ClassName("default")), ClassLimits(ClassName("batch"), queue_length=16)),
            version=VersionName(OLD_VERSION),
            policy=CoverageFirst() if deployment.coverage_first else LatencyFirst(),
        )
        shards = tuple(ShardName(f"s{number}") for number in range(spec.shards))
        changes.append(PutService(service))
        changes.append(PutVersion(Version(service=name, name=VersionName(OLD_VERSION))))
        changes.append(PutShardMap(ShardMap(id=MapId(f"{name}-m1"), service=name, shards=shards)))
    changes += [PutUpstream(upstream_for(leaf, addresses[leaf.id])) for leaf in leaves]
    return changes


def upstream_for(leaf: LeafSpec, address: str) -> Upstream:
    """Return the configuration of a stand-in leaf."""
    return Upstream(
        id=UpstreamId(leaf.id),
        service=ServiceName(leaf.service),
        shard=ShardName(leaf.shard),
        failure_domain=DomainName(leaf.failure_domain),
        version=VersionName(leaf.version),
        address=address,
        slots=leaf.slots,
        connections=leaf.connections,
    )
