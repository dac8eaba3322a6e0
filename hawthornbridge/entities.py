"""Configuration entities: services, shard maps, upstreams, failure domains, versions and rollouts."""

from enum import Enum
from typing import Annotated, TypeAlias

import msgspec

from hawthornbridge.ids import (
    ClassName,
    DomainName,
    Generation,
    MapId,
    RouteName,
    ServiceName,
    ShardName,
    UpstreamId,
    VersionName,
)

__all__ = [
    "ClassLimits",
    "CoverageFirst",
    "DomainGeneration",
    "DomainState",
    "Entity",
    "FailureDomain",
    "LatencyFirst",
    "Rollout",
    "RolloutState",
    "Route",
    "Service",
    "ShardMap",
    "Upstream",
    "Version",
]

Share: TypeAlias = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Milliseconds: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]

# A rollout plans to end after this fraction of its time, so that a hold does not make it miss its deadline.
PLANNED_FRACTION = 0.8


class DomainState(Enum):
    """Whether a failure domain takes new work; only an active one does."""

    ACTIVE = "active"
    DRAINING = "draining"
    DRAINED = "drained"


class RolloutState(Enum):
    """The state of a rollout."""

    RUNNING = "running"
    HELD = "held"
    DONE = "done"
    ROLLED_BACK = "rolled_back"


class Entity(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all entities: the generation of the entity's last change, 0 before it is accepted."""

    generation: Generation = Generation(0)


class LatencyFirst(msgspec.Struct, frozen=True, tag="latency_first", forbid_unknown_fields=True):
    """Answer at the deadline with the shards that have answered."""


class CoverageFirst(msgspec.Struct, frozen=True, tag="coverage_first", forbid_unknown_fields=True):
    """Spend the whole deadline and the budgets on missing shards."""


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one route of a service."""

    name: RouteName
    idempotent: bool = True


class ClassLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound one class of callers: its fair share and its queue."""

    name: ClassName
    weight: Count = 1
    queue_length: Count = 64


class Service(Entity, frozen=True, kw_only=True):
    """Describe a service: its routes, classes, policy and current version."""

    name: ServiceName
    routes: tuple[Route, ...]
    classes: tuple[ClassLimits, ...]
    version: VersionName
    policy: LatencyFirst | CoverageFirst = msgspec.field(default_factory=LatencyFirst)
    deadline_ms: Milliseconds = 120

    def route(self, name: RouteName) -> Route | None:
        """Return the route of this name."""
        return next((route for route in self.routes if route.name == name), None)

    def limits(self, name: ClassName) -> ClassLimits | None:
        """Return the limits of the class of this name."""
        return next((limits for limits in self.classes if limits.name == name), None)


class ShardMap(Entity, frozen=True, kw_only=True):
    """List the shards that together make up one partitioning of a service."""

    id: MapId
    service: ServiceName
    shards: tuple[ShardName, ...]


class Upstream(Entity, frozen=True, kw_only=True):
    """Describe one upstream process, which serves one shard of a service at one version."""

    id: UpstreamId
    service: ServiceName
    shard: ShardName
    failure_domain: DomainName
    version: VersionName
    address: str
    slots: Count
    connections: Count


class FailureDomain(Entity, frozen=True, kw_only=True):
    """Describe a failure domain and whether it takes new work."""

    name: DomainName
    state: DomainState = DomainState.ACTIVE
    reason: str = ""
    # A forced drain is not rolled back for the shortage that its operator has accepted.
    forced: bool = False
    # The generation of the drain that led to this state; 0 if no drain did.
    drain: Generation = Generation(0)


class DomainGeneration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The generation of a failure domain that a decision is based on."""

    name: DomainName
    generation: Generation


class Version(Entity, frozen=True, kw_only=True):
    """Name a version of a service that upstreams may run."""

    service: ServiceName
    name: VersionName


class Rollout(Entity, frozen=True, kw_only=True):
    """Describe a move of a service's traffic from one version to another."""

    service: ServiceName
    old: VersionName
    new: VersionName
    steps: tuple[Share, ...]
    finish_by_ms: int
    started_ms: int
    step: int = 0
    state: RolloutState = RolloutState.RUNNING
    reason: str = ""
    decider: str = ""

    @property
    def id(self) -> str:
        """Return the identifier under which hosts merge evidence on this rollout."""
        return f"{self.service}:{self.new}:{self.started_ms}"

    @property
    def judged_steps(self) -> range:
        """Return the steps whose requests count towards judging the present step."""
        return range(self.step, self.step + 1)

    @property
    def step_end_fraction(self) -> float:
        """Return the fraction of the rollout's time after which the present step may end."""
        return PLANNED_FRACTION * (self.step + 1) / len(self.steps)

    @property
    def minimum_step_s(self) -> float:
        """Return the minimum duration of each step, also of one that begins late."""
        return 0.0

    @property
    def minimum_share(self) -> float:
        """Return the minimum share of traffic that reaches a new version that serves without faults."""
        return self.share

    def involves(self, version: VersionName) -> bool:
        """Return whether the rollout involves a version; without an old version it involves all of the service's."""
        return version == self.new or not self.old or version == self.old

    @property
    def is_open(self) -> bool:
        """Return whether the rollout is neither done nor rolled back."""
        return self.state in (RolloutState.RUNNING, RolloutState.HELD)

    @property
    def share(self) -> float:
        """Return the share of traffic that the new version gets."""
        match self.state:
            case RolloutState.DONE:
                return 1.0
            case RolloutState.ROLLED_BACK:
                return 0.0
            case _:
                return self.steps[self.step]
