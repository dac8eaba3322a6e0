"""The form in which a whole configuration is written to and read from a file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jsonc
import msgspec

from hawthornbridge.ids import DomainName, Generation
from hawthornbridge.model import (
    Catalogue,
    Change,
    Entity,
    FailureDomain,
    PutFailureDomain,
    PutService,
    PutShardMap,
    PutUpstream,
    PutVersion,
    RemoveFailureDomain,
    RemoveService,
    RemoveShardMap,
    RemoveUpstream,
    RemoveVersion,
    Service,
    ShardMap,
    Upstream,
    Version,
)

__all__ = ["Deployment", "DeploymentError", "PlannedChange", "load", "plan"]


class DeploymentError(Exception):
    """Report a file that cannot be applied, naming the path within it and what is allowed."""


class Deployment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """List the entities of a configuration; moves and rollouts are not part of it."""

    failure_domains: tuple[DomainName, ...] = ()
    services: tuple[Service, ...] = ()
    versions: tuple[Version, ...] = ()
    shard_maps: tuple[ShardMap, ...] = ()
    upstreams: tuple[Upstream, ...] = ()

    @classmethod
    def of(cls, catalogue: Catalogue) -> "Deployment":
        """Return the entities of a catalogue, without their generations."""
        return cls(
            failure_domains=tuple(catalogue.domains),
            services=tuple(_unstamped(service) for service in catalogue.services.values()),
            versions=tuple(_unstamped(version) for version in catalogue.versions.values()),
            shard_maps=tuple(_unstamped(shard_map) for shard_map in catalogue.shard_maps.values()),
            upstreams=tuple(_unstamped(upstream) for upstream in catalogue.upstreams.values()),
        )

    def changes(self) -> list[Change]:
        """Return the changes that build the configuration, each after those it refers to."""
        return [
            *(PutFailureDomain(FailureDomain(name=name)) for name in self.failure_domains),
            *(PutService(service) for service in self.services),
            *(PutVersion(version) for version in self.versions),
            *(PutShardMap(shard_map) for shard_map in self.shard_maps),
            *(PutUpstream(upstream) for upstream in self.upstreams),
        ]

    def tree(self) -> dict[str, Any]:
        """Return the form that a file holds."""
        tree: dict[str, Any] = msgspec.to_builtins(self)
        for entities in tree.values():
            for entity in entities:
                if isinstance(entity, dict):
                    del entity["generation"]
        return tree


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """Hold a change that an apply makes, and the generation that it expects."""

    change: Change
    expected: Generation


def load(path: Path) -> Deployment:
    """Read a deployment file; raise DeploymentError naming the path within it and what is allowed."""
    try:
        return msgspec.convert(jsonc.loads(path.read_text(encoding="utf-8")), Deployment)
    except msgspec.ValidationError as error:
        raise DeploymentError(f"{path}: {error}") from error
    except (OSError, ValueError) as error:
        raise DeploymentError(f"{path}: {error}") from error


def plan(catalogue: Catalogue, deployment: Deployment, *, prune: bool = False) -> list[PlannedChange]:
    """Return the changes that bring a catalogue to a deployment; `prune` removes what it does not list."""
    changes = [_keeping_version(catalogue, change) for change in deployment.changes()]
    changes = [change for change in changes if not _holds(catalogue, change)]
    if prune:
        changes += _removals(catalogue, deployment)
    return [PlannedChange(change, catalogue.generation_of(change)) for change in changes]


def _keeping_version(catalogue: Catalogue, change: Change) -> Change:
    # A file may be older than the last rollout, which alone moves a service to another version.
    if not isinstance(change, PutService) or change.service.name not in catalogue.services:
        return change
    current = catalogue.services[change.service.name]
    return PutService(msgspec.structs.replace(change.service, version=current.version))


def _holds(catalogue: Catalogue, change: Change) -> bool:
    match change:
        case PutService(service):
            current: Entity | None = catalogue.services.get(service.name)
            return current is not None and _unstamped(current) == _unstamped(service)
        case PutShardMap(shard_map):
            current = catalogue.shard_maps.get(shard_map.id)
            return current is not None and _unstamped(current) == _unstamped(shard_map)
        case PutUpstream(upstream):
            current = catalogue.upstreams.get(upstream.id)
            return current is not None and _unstamped(current) == _unstamped(upstream)
        case PutFailureDomain() | PutVersion():
            # A file holds only their names; the state of a domain belongs to drain and restore.
            return catalogue.generation_of(change) > 0
    return False


def _removals(catalogue: Catalogue, deployment: Deployment) -> list[Change]:
    upstreams = {upstream.id for upstream in deployment.upstreams}
    maps = {shard_map.id for shard_map in deployment.shard_maps}
    versions = {f"{version.service}:{version.name}" for version in deployment.versions}
    services = {service.name for service in deployment.services}
    return [
        *(RemoveUpstream(name) for name in catalogue.upstreams if name not in upstreams),
        *(RemoveShardMap(name) for name in catalogue.shard_maps if name not in maps),
        *(
            RemoveVersion(version.service, version.name)
            for key, version in catalogue.versions.items()
            if key not in versions
        ),
        *(RemoveService(name) for name in catalogue.services if name not in services),
        *(RemoveFailureDomain(name) for name in catalogue.domains if name not in deployment.failure_domains),
    ]


def _unstamped(entity: Any) -> Any:
    return msgspec.structs.replace(entity, generation=Generation(0))
