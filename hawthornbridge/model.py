"""The catalogue that results from the configuration's changes; entities and changes are re-exported."""

from collections.abc import Iterable
from functools import cached_property
from itertools import pairwise
from typing import TypeVar

import msgspec

from hawthornbridge.changes import (
    Change,
    Entry,
    PutFailureDomain,
    PutRollout,
    PutService,
    PutShardMap,
    PutUpstream,
    PutVersion,
    RemoveFailureDomain,
    RemoveService,
    RemoveShardMap,
    RemoveUpstream,
    RemoveVersion,
)
from hawthornbridge.entities import (
    ClassLimits,
    CoverageFirst,
    DomainGeneration,
    DomainState,
    Entity,
    FailureDomain,
    LatencyFirst,
    Rollout,
    RolloutState,
    Route,
    Service,
    ShardMap,
    Upstream,
    Version,
)
from hawthornbridge.ids import (
    DomainName,
    Generation,
    MapId,
    OperationId,
    ServiceName,
    ShardName,
    UpstreamId,
)

__all__ = [
    "RELIES_ON_FIELD",
    "Catalogue",
    "Change",
    "ChangeRejectedError",
    "ClassLimits",
    "CoverageFirst",
    "DomainGeneration",
    "DomainState",
    "Entry",
    "FailureDomain",
    "LatencyFirst",
    "PutFailureDomain",
    "PutRollout",
    "PutService",
    "PutShardMap",
    "PutUpstream",
    "PutVersion",
    "RemoveFailureDomain",
    "RemoveService",
    "RemoveShardMap",
    "RemoveUpstream",
    "RemoveVersion",
    "Rollout",
    "RolloutState",
    "Route",
    "Service",
    "ShardMap",
    "Upstream",
    "Version",
    "fold",
]

# The field named in the error when a failure domain that a change relies on has changed.
RELIES_ON_FIELD = "relies_on"


# Upper limit of the first step's share, which a version gets before it has been judged.
MAX_FIRST_SHARE = 0.05

# Upper limit of the last step's share: with a larger one, 30 bad requests of the new version would no longer stand
# out against the old version's traffic of the same time. A rollout that is judged good there goes on to all traffic.
MAX_LAST_SHARE = 0.4

EntityT = TypeVar("EntityT", bound=Entity)
KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


class ChangeRejectedError(Exception):
    """Raised for a change that the catalogue does not allow; names the field at fault."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.field = field
        self.detail = detail


class Catalogue(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """The configuration at one generation."""

    generation: Generation = Generation(0)
    services: dict[ServiceName, Service] = {}
    shard_maps: dict[MapId, ShardMap] = {}
    upstreams: dict[UpstreamId, Upstream] = {}
    domains: dict[DomainName, FailureDomain] = {}
    versions: dict[str, Version] = {}
    rollouts: dict[ServiceName, Rollout] = {}

    @cached_property
    def _by_shard(self) -> dict[tuple[ServiceName, ShardName], tuple[Upstream, ...]]:
        found: dict[tuple[ServiceName, ShardName], list[Upstream]] = {}
        for upstream in self.upstreams.values():
            found.setdefault((upstream.service, upstream.shard), []).append(upstream)
        return {key: tuple(upstreams) for key, upstreams in found.items()}

    def replicas(self, service: ServiceName, shard: ShardName) -> tuple[Upstream, ...]:
        """Return the upstreams of a shard, at every version and in every failure domain."""
        return self._by_shard.get((service, shard), ())

    def maps_of(self, service: ServiceName) -> list[ShardMap]:
        """Return the shard maps of a service."""
        return [shard_map for shard_map in self.shard_maps.values() if shard_map.service == service]

    def takes_work(self, domain: DomainName) -> bool:
        """Return whether a failure domain takes new work."""
        return self.domains[domain].state is DomainState.ACTIVE

    def generation_of(self, change: Change) -> Generation:
        """Return the generation of the entity that a change names; 0 if there is none."""
        entity: Entity | None
        match change:
            case PutService(Service(name=name)) | RemoveService(name):
                entity = self.services.get(name)
            case PutShardMap(ShardMap(id=id)) | RemoveShardMap(id):
                entity = self.shard_maps.get(id)
            case PutUpstream(Upstream(id=id)) | RemoveUpstream(id):
                entity = self.upstreams.get(id)
            case PutFailureDomain(FailureDomain(name=name)) | RemoveFailureDomain(name):
                entity = self.domains.get(name)
            case PutVersion(version):
                entity = self.versions.get(f"{version.service}:{version.name}")
            case RemoveVersion(service, name):
                entity = self.versions.get(f"{service}:{name}")
            case PutRollout(rollout):
                entity = self.rollouts.get(rollout.service)
        return Generation(0) if entity is None else entity.generation

    def apply(self, entry: Entry) -> "Catalogue":
        """Return the catalogue after one more entry; raise ChangeRejectedError if the change is not allowed."""
        if entry.generation != self.generation + 1:
            raise ChangeRejectedError("generation", f"expected {self.generation + 1}, got {entry.generation}")
        return msgspec.structs.replace(self._changed(entry.change, entry.generation), generation=entry.generation)

    def _changed(self, change: Change, generation: Generation) -> "Catalogue":
        replace = msgspec.structs.replace
        match change:
            case PutService(service):
                return replace(self, services=self.services | {service.name: _with_generation(service, generation)})
            case RemoveService(name):
                self._require("name", name in self.services, f"no service {name!r}")
                self._require_unused(
                    "name", [upstream.id for upstream in self.upstreams.values() if upstream.service == name]
                )
                return replace(
                    self,
                    services=_without(self.services, name),
                    shard_maps={key: value for key, value in self.shard_maps.items() if value.service != name},
                    versions={key: value for key, value in self.versions.items() if value.service != name},
                    rollouts={key: value for key, value in self.rollouts.items() if key != name},
                )
            case PutShardMap(shard_map):
                self._require("shard_map.service", shard_map.service in self.services, "no such service")
                self._require(
                    "shard_map.shards", len(set(shard_map.shards)) == len(shard_map.shards) > 0, "not unique"
                )
                return replace(
                    self, shard_maps=self.shard_maps | {shard_map.id: _with_generation(shard_map, generation)}
                )
            case RemoveShardMap(id):
                self._require("id", id in self.shard_maps, f"no shard map {id!r}")
                return replace(self, shard_maps=_without(self.shard_maps, id))
            case PutUpstream(upstream):
                self._require("upstream.service", upstream.service in self.services, "no such service")
                self._require("upstream.failure_domain", upstream.failure_domain in self.domains, "no such domain")
                return replace(self, upstreams=self.upstreams | {upstream.id: _with_generation(upstream, generation)})
            case RemoveUpstream(id):
                self._require("id", id in self.upstreams, f"no upstream {id!r}")
                return replace(self, upstreams=_without(self.upstreams, id))
            case PutFailureDomain(domain, relies_on):
                for relied in relies_on:
                    current = self.domains.get(relied.name)
                    self._require(
                        RELIES_ON_FIELD,
                        current is not None and current.generation == relied.generation,
                        f"failure domain {relied.name!r} is not at generation {relied.generation}",
                    )
                return replace(self, domains=self.domains | {domain.name: _with_generation(domain, generation)})
            case RemoveFailureDomain(name):
                self._require("name", name in self.domains, f"no failure domain {name!r}")
                self._require_unused(
                    "name", [upstream.id for upstream in self.upstreams.values() if upstream.failure_domain == name]
                )
                return replace(self, domains=_without(self.domains, name))
            case PutVersion(version):
                self._require("version.service", version.service in self.services, "no such service")
                key = f"{version.service}:{version.name}"
                return replace(self, versions=self.versions | {key: _with_generation(version, generation)})
            case RemoveVersion(service, name):
                key = f"{service}:{name}"
                self._require("name", key in self.versions, f"no version {name!r} of {service!r}")
                self._require_unused(
                    "name",
                    [
                        upstream.id
                        for upstream in self.upstreams.values()
                        if upstream.service == service and upstream.version == name
                    ],
                )
                return replace(self, versions=_without(self.versions, key))
            case PutRollout(rollout):
                return self._with_rollout(rollout, generation)

    def _with_rollout(self, rollout: Rollout, generation: Generation) -> "Catalogue":
        service = self.services.get(rollout.service)
        if service is None:
            raise ChangeRejectedError("rollout.service", "no such service")
        self._require("rollout.new", f"{rollout.service}:{rollout.new}" in self.versions, "no such version")
        steps = rollout.steps
        self._require("rollout.step", 0 <= rollout.step < len(steps), "no such step")
        ascending = all(low < high for low, high in pairwise(steps))
        self._require("rollout.steps", ascending, "must ascend")
        self._require("rollout.steps", 0 < steps[0] <= MAX_FIRST_SHARE, f"must begin with at most {MAX_FIRST_SHARE}")
        self._require("rollout.steps", steps[-1] <= MAX_LAST_SHARE, f"must end with at most {MAX_LAST_SHARE}")
        services = self.services
        if rollout.state is RolloutState.DONE:
            done = msgspec.structs.replace(service, version=rollout.new)
            services = services | {service.name: _with_generation(done, generation)}
        rollouts = self.rollouts | {rollout.service: _with_generation(rollout, generation)}
        return msgspec.structs.replace(self, services=services, rollouts=rollouts)

    def _require(self, field: str, holds: bool, detail: str) -> None:
        if not holds:
            raise ChangeRejectedError(field, detail)

    def _require_unused(self, field: str, users: list[UpstreamId]) -> None:
        if users:
            raise ChangeRejectedError(field, f"still used by {len(users)} upstreams, among them {users[0]!r}")


def fold(changes: Iterable[Change]) -> Catalogue:
    """Return the catalogue that results from the changes, with generations counted from 1."""
    catalogue = Catalogue()
    for number, change in enumerate(changes, start=1):
        entry = Entry(Generation(number), OperationId(f"fold-{number}"), change)
        catalogue = catalogue.apply(entry)
    return catalogue


def _with_generation(entity: EntityT, generation: Generation) -> EntityT:
    return msgspec.structs.replace(entity, generation=generation)


def _without(entities: dict[KeyT, ValueT], key: KeyT) -> dict[KeyT, ValueT]:
    return {name: entity for name, entity in entities.items() if name != key}
