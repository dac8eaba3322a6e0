"""Changes to the configuration's entities, and the entries that number them."""

from typing import TypeAlias

import msgspec

from hawthornbridge.entities import DomainGeneration, FailureDomain, Rollout, Service, ShardMap, Upstream, Version
from hawthornbridge.ids import DomainName, Generation, MapId, OperationId, ServiceName, UpstreamId, VersionName

__all__ = [
    "Change",
    "Entry",
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
]


class PutService(msgspec.Struct, frozen=True, tag="put_service", forbid_unknown_fields=True):
    """Create or replace a service."""

    service: Service


class RemoveService(msgspec.Struct, frozen=True, tag="remove_service", forbid_unknown_fields=True):
    """Remove a service that no upstream and no map refers to."""

    name: ServiceName


class PutShardMap(msgspec.Struct, frozen=True, tag="put_shard_map", forbid_unknown_fields=True):
    """Create or replace a shard map."""

    shard_map: ShardMap


class RemoveShardMap(msgspec.Struct, frozen=True, tag="remove_shard_map", forbid_unknown_fields=True):
    """Remove a shard map."""

    id: MapId


class PutUpstream(msgspec.Struct, frozen=True, tag="put_upstream", forbid_unknown_fields=True):
    """Create or replace an upstream."""

    upstream: Upstream


class RemoveUpstream(msgspec.Struct, frozen=True, tag="remove_upstream", forbid_unknown_fields=True):
    """Remove an upstream."""

    id: UpstreamId


class PutFailureDomain(msgspec.Struct, frozen=True, tag="put_failure_domain", forbid_unknown_fields=True):
    """Create or replace a failure domain, provided that the domains the decision relies on have not changed."""

    domain: FailureDomain
    # Two drains checked at the same time would each rely on the other's domain; with relies_on only one is accepted.
    relies_on: tuple[DomainGeneration, ...] = ()


class RemoveFailureDomain(msgspec.Struct, frozen=True, tag="remove_failure_domain", forbid_unknown_fields=True):
    """Remove a failure domain that no upstream refers to."""

    name: DomainName


class PutVersion(msgspec.Struct, frozen=True, tag="put_version", forbid_unknown_fields=True):
    """Create a version of a service."""

    version: Version


class RemoveVersion(msgspec.Struct, frozen=True, tag="remove_version", forbid_unknown_fields=True):
    """Remove a version that nothing refers to."""

    service: ServiceName
    name: VersionName


class PutRollout(msgspec.Struct, frozen=True, tag="put_rollout", forbid_unknown_fields=True):
    """Start or change the rollout of a service; a finished one sets the service's version."""

    rollout: Rollout


Change: TypeAlias = (
    PutService
    | RemoveService
    | PutShardMap
    | RemoveShardMap
    | PutUpstream
    | RemoveUpstream
    | PutFailureDomain
    | RemoveFailureDomain
    | PutVersion
    | RemoveVersion
    | PutRollout
)


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An accepted change, numbered by its generation."""

    generation: Generation
    operation_id: OperationId
    change: Change
