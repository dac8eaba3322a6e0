"""Conversion between the operators' wire messages and the configuration model."""

import re
from enum import Enum
from typing import Any, TypeAlias, TypeVar

import msgspec
from protobuf import Oneof

from hawthornbridge import operations_pb as pb
from hawthornbridge.acceptance import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeNotAccepted,
    ChangeUncertain,
    QuorumMissing,
)
from hawthornbridge.domaincapacity import Shortage
from hawthornbridge.domains import CapacityShort, HostMove, MoveProgress
from hawthornbridge.ids import Generation, OperationId, ServiceName, ShardName
from hawthornbridge.model import (
    Catalogue,
    Change,
    CoverageFirst,
    Entry,
    FailureDomain,
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
    Rollout,
    Service,
    ShardMap,
    Upstream,
    Version,
)

__all__ = [
    "FieldError",
    "OperatorRefusal",
    "accepted_to_wire",
    "catalogue_from_wire",
    "catalogue_to_wire",
    "change_from_wire",
    "change_to_wire",
    "progress_to_wire",
    "refusal_from_wire",
    "refusal_to_wire",
]

# More shards than these tell an operator nothing new.
SHORTAGES_SHOWN = 20
NAME_LENGTH = 128
ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")

OperatorRefusal: TypeAlias = (
    ChangeConflict | ChangeInvalid | ChangeNotAccepted | ChangeUncertain | QuorumMissing | CapacityShort
)
ModelT = TypeVar("ModelT")
POLICIES = {
    pb.Policy.UNSPECIFIED: "latency_first",
    pb.Policy.LATENCY_FIRST: "latency_first",
    pb.Policy.COVERAGE_FIRST: "coverage_first",
}


class FieldError(ValueError):
    """Report a field of a wire message that does not fit the model."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.field = field
        self.detail = detail


def change_from_wire(wire: pb.EntityChange | None) -> Change:
    """Return the change that a request asks for; raise FieldError naming the field at fault."""
    match wire.change if wire is not None else None:
        case None:
            raise FieldError("change", "missing")
        case Oneof(field="put_service", value=pb.Service() as value):
            return PutService(_convert(_service_tree(value), Service, "change.put_service"))
        case Oneof(field="remove_service", value=str(value)):
            return RemoveService(_name(value, "change.remove_service"))
        case Oneof(field="put_shard_map", value=pb.ShardMap() as value):
            return PutShardMap(_convert(_tree(value, "id", "service", "shards"), ShardMap, "change.put_shard_map"))
        case Oneof(field="remove_shard_map", value=str(value)):
            return RemoveShardMap(_name(value, "change.remove_shard_map"))
        case Oneof(field="put_upstream", value=pb.Upstream() as value):
            return PutUpstream(_convert(_upstream_tree(value), Upstream, "change.put_upstream"))
        case Oneof(field="remove_upstream", value=str(value)):
            return RemoveUpstream(_name(value, "change.remove_upstream"))
        case Oneof(field="put_failure_domain", value=pb.FailureDomain() as value):
            return PutFailureDomain(_convert(_tree(value, "name"), FailureDomain, "change.put_failure_domain"))
        case Oneof(field="remove_failure_domain", value=str(value)):
            return RemoveFailureDomain(_name(value, "change.remove_failure_domain"))
        case Oneof(field="put_version", value=pb.Version() as value):
            return PutVersion(_convert(_tree(value, "service", "name"), Version, "change.put_version"))
        case Oneof(field="remove_version", value=pb.RemoveVersion() as value):
            path = "change.remove_version"
            return RemoveVersion(_name(value.service, f"{path}.service"), _name(value.name, f"{path}.name"))
        case Oneof(field=field):
            raise FieldError(f"change.{field}", "not a change that this call makes")
    raise FieldError("change", "unknown")


def change_to_wire(change: Change) -> pb.EntityChange:
    """Return the wire form of a change."""
    match change:
        case PutService(service):
            return pb.EntityChange(change=_one_of("put_service", _service_to_wire(service)))
        case RemoveService(name):
            return pb.EntityChange(change=_one_of("remove_service", name))
        case PutShardMap(shard_map):
            return pb.EntityChange(change=_one_of("put_shard_map", _shard_map_to_wire(shard_map)))
        case RemoveShardMap(id):
            return pb.EntityChange(change=_one_of("remove_shard_map", id))
        case PutUpstream(upstream):
            return pb.EntityChange(change=_one_of("put_upstream", _upstream_to_wire(upstream)))
        case RemoveUpstream(id):
            return pb.EntityChange(change=_one_of("remove_upstream", id))
        case PutFailureDomain(domain):
            return pb.EntityChange(change=_one_of("put_failure_domain", _domain_to_wire(domain)))
        case RemoveFailureDomain(name):
            return pb.EntityChange(change=_one_of("remove_failure_domain", name))
        case PutVersion(version):
            return pb.EntityChange(change=_one_of("put_version", _version_to_wire(version)))
        case RemoveVersion(service, name):
            return pb.EntityChange(change=_one_of("remove_version", pb.RemoveVersion(service=service, name=name)))
        case PutRollout(rollout):
            return pb.EntityChange(change=_one_of("put_rollout", _rollout_to_wire(rollout)))


def catalogue_to_wire(catalogue: Catalogue) -> pb.Configuration:
    """Return the wire form of a whole configuration."""
    return pb.Configuration(
        generation=catalogue.generation,
        services=[_service_to_wire(service) for service in catalogue.services.values()],
        shard_maps=[_shard_map_to_wire(shard_map) for shard_map in catalogue.shard_maps.values()],
        upstreams=[_upstream_to_wire(upstream) for upstream in catalogue.upstreams.values()],
        failure_domains=[_domain_to_wire(domain) for domain in catalogue.domains.values()],
        versions=[_version_to_wire(version) for version in catalogue.versions.values()],
        rollouts=[_rollout_to_wire(rollout) for rollout in catalogue.rollouts.values()],
    )


def catalogue_from_wire(wire: pb.Configuration) -> Catalogue:
    """Return the configuration that a host has listed."""
    services = [_listed(_service_tree(service), service, Service) for service in wire.services]
    maps = [_listed(_tree(item, "id", "service", "shards"), item, ShardMap) for item in wire.shard_maps]
    upstreams = [_listed(_upstream_tree(upstream), upstream, Upstream) for upstream in wire.upstreams]
    domains = [_listed(_domain_tree(domain), domain, FailureDomain) for domain in wire.failure_domains]
    versions = [_listed(_tree(version, "service", "name"), version, Version) for version in wire.versions]
    rollouts = [_listed(_rollout_tree(rollout), rollout, Rollout) for rollout in wire.rollouts]
    return Catalogue(
        generation=Generation(wire.generation),
        services={service.name: service for service in services},
        shard_maps={shard_map.id: shard_map for shard_map in maps},
        upstreams={upstream.id: upstream for upstream in upstreams},
        domains={domain.name: domain for domain in domains},
        versions={f"{version.service}:{version.name}": version for version in versions},
        rollouts={rollout.service: rollout for rollout in rollouts},
    )


def refusal_to_wire(outcome: OperatorRefusal) -> pb.Refusal:
    """Return the wire form of a refusal."""
    match outcome:
        case ChangeInvalid(field, detail):
            return pb.Refusal(refusal=_one_of("invalid", pb.Invalid(field=field, detail=detail)))
        case ChangeConflict(current, winner):
            conflict = pb.Conflict(current_generation=current, winner=_winner_to_wire(winner) if winner else None)
            return pb.Refusal(refusal=_one_of("conflict", conflict))
        case CapacityShort(shortages):
            shown = [
                pb.Shortage(
                    service=short.service,
                    shard=short.shard,
                    busy=short.busy,
                    slots=short.slots,
                    replicas=short.replicas,
                )
                for short in shortages[:SHORTAGES_SHOWN]
            ]
            capacity = pb.CapacityShort(shortages=shown, total=len(shortages))
            return pb.Refusal(refusal=_one_of("capacity_short", capacity))
        case ChangeNotAccepted(detail):
            return pb.Refusal(refusal=_one_of("not_accepted", pb.NotAccepted(detail=detail)))
        case ChangeUncertain(detail):
            return pb.Refusal(refusal=_one_of("uncertain", pb.Uncertain(detail=detail)))
        case QuorumMissing(heard, needed):
            return pb.Refusal(refusal=_one_of("quorum_missing", pb.QuorumMissing(heard=heard, needed=needed)))


def refusal_from_wire(wire: pb.Refusal) -> OperatorRefusal:
    """Return the refusal that a host has sent; raise FieldError if this program does not know its kind."""
    match wire.refusal:
        case Oneof(field="invalid", value=pb.Invalid() as value):
            return ChangeInvalid(value.field, value.detail)
        case Oneof(field="conflict", value=pb.Conflict() as value):
            winner = value.winner if value.has_field("winner") else None
            return ChangeConflict(Generation(value.current_generation), _winner_from_wire(winner))
        case Oneof(field="capacity_short", value=pb.CapacityShort() as value):
            return CapacityShort(
                tuple(
                    Shortage(ServiceName(s.service), ShardName(s.shard), s.busy, s.slots, s.replicas)
                    for s in value.shortages
                )
            )
        case Oneof(field="not_accepted", value=pb.NotAccepted() as value):
            return ChangeNotAccepted(value.detail)
        case Oneof(field="uncertain", value=pb.Uncertain() as value):
            return ChangeUncertain(value.detail)
        case Oneof(field="quorum_missing", value=pb.QuorumMissing() as value):
            return QuorumMissing(value.heard, value.needed)
    raise FieldError("refusal", "unknown kind")


def accepted_to_wire(accepted: ChangeAccepted) -> pb.ChangeResponse:
    """Return the wire form of an acceptance."""
    return pb.ChangeResponse(generation=accepted.generation, repeated=accepted.repeated, forced=accepted.forced)


def progress_to_wire(progress: MoveProgress, share: float | None = None) -> pb.WatchProgress:
    """Return the wire form of a move's progress."""
    wire = pb.WatchProgress(
        state=pb.MoveState[progress.state.name],
        reason=progress.reason,
        hosts=[_host_move_to_wire(host) for host in progress.hosts],
    )
    if share is not None:
        wire.share = share
    return wire


def _host_move_to_wire(host: HostMove) -> pb.HostMove:
    return pb.HostMove(
        host=host.host,
        generation=host.generation,
        silent_s=host.silent_s,
        confirmed=host.confirmed,
        in_flight=host.in_flight,
    )


def _winner_to_wire(entry: Entry) -> pb.Winner:
    return pb.Winner(generation=entry.generation, operation_id=entry.operation_id, change=change_to_wire(entry.change))


def _winner_from_wire(winner: pb.Winner | None) -> Entry | None:
    if winner is None or winner.change is None:
        return None
    match winner.change.change:
        case Oneof(field="put_rollout", value=pb.Rollout() as value):
            change: Change = PutRollout(_listed(_rollout_tree(value), value, Rollout))
        case Oneof(field="put_failure_domain", value=pb.FailureDomain() as value):
            change = PutFailureDomain(_listed(_domain_tree(value), value, FailureDomain))
        case _:
            change = change_from_wire(winner.change)
    return Entry(Generation(winner.generation), OperationId(winner.operation_id), change)


def _service_to_wire(service: Service) -> pb.Service:
    coverage_first = isinstance(service.policy, CoverageFirst)
    return pb.Service(
        generation=service.generation,
        name=service.name,
        routes=[pb.Route(name=route.name, non_idempotent=not route.idempotent) for route in service.routes],
        classes=[
            pb.ClassLimits(name=limits.name, weight=limits.weight, queue_length=limits.queue_length)
            for limits in service.classes
        ],
        version=service.version,
        policy=pb.Policy.COVERAGE_FIRST if coverage_first else pb.Policy.LATENCY_FIRST,
        deadline_ms=service.deadline_ms,
    )


def _shard_map_to_wire(shard_map: ShardMap) -> pb.ShardMap:
    return pb.ShardMap(
        generation=shard_map.generation, id=shard_map.id, service=shard_map.service, shards=list(shard_map.shards)
    )


def _upstream_to_wire(upstream: Upstream) -> pb.Upstream:
    return pb.Upstream(**msgspec.structs.asdict(upstream))


def _domain_to_wire(domain: FailureDomain) -> pb.FailureDomain:
    return pb.FailureDomain(
        generation=domain.generation,
        name=domain.name,
        state=pb.DomainState[domain.state.name],
        reason=domain.reason,
        forced=domain.forced,
        drain=domain.drain,
    )


def _version_to_wire(version: Version) -> pb.Version:
    return pb.Version(generation=version.generation, service=version.service, name=version.name)


def _rollout_to_wire(rollout: Rollout) -> pb.Rollout:
    tree = msgspec.structs.asdict(rollout)
    # Which host decides is not an operator's business, and a claim changes it.
    del tree["decider"]
    return pb.Rollout(**tree | {"steps": list(rollout.steps), "state": pb.RolloutState[rollout.state.name]})


def _service_tree(wire: pb.Service) -> dict[str, Any]:
    if wire.policy not in POLICIES:
        raise FieldError("change.put_service.policy", f"unknown value {wire.policy}")
    # 0 is what a message holds for a number that was left out, and stands for the model's default.
    tree = _without_zeros(_tree(wire, "name", "version", "deadline_ms"))
    return tree | {
        "routes": [{"name": route.name, "idempotent": not route.non_idempotent} for route in wire.routes],
        "classes": [_without_zeros(_tree(limits, "name", "weight", "queue_length")) for limits in wire.classes],
        "policy": {"type": POLICIES[wire.policy]},
    }


def _upstream_tree(wire: pb.Upstream) -> dict[str, Any]:
    return _tree(wire, "id", "service", "shard", "failure_domain", "version", "address", "slots", "connections")


def _domain_tree(wire: pb.FailureDomain) -> dict[str, Any]:
    return _tree(wire, "name", "reason", "forced", "drain") | {"state": _enum_value(wire.state)}


def _rollout_tree(wire: pb.Rollout) -> dict[str, Any]:
    names = ("service", "old", "new", "steps", "finish_by_ms", "started_ms", "step", "reason")
    return _tree(wire, *names) | {"state": _enum_value(wire.state)}


def _enum_value(value: Enum) -> str:
    return value.name.lower()


def _tree(wire: Any, *names: str) -> dict[str, Any]:
    return {name: getattr(wire, name) for name in names}


def _without_zeros(tree: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in tree.items() if value != 0}


def _one_of(field: str, value: object) -> Any:
    # Oneof's type parameter is inferred as str, which does not match the Literal of the generated classes.
    return Oneof(field, value)


def _convert(tree: dict[str, Any], kind: type[ModelT], path: str) -> ModelT:
    _check_names(tree, path)
    return _decode(tree, kind, path)


def _listed(tree: dict[str, Any], wire: Any, kind: type[ModelT]) -> ModelT:
    return _decode(tree | {"generation": wire.generation}, kind, kind.__name__)


def _decode(tree: dict[str, Any], kind: type[ModelT], path: str) -> ModelT:
    try:
        return msgspec.convert(tree, kind)
    except msgspec.ValidationError as error:
        detail, _, where = str(error).partition(" - at `$")
        raise FieldError(path + where.rstrip("`"), detail) from error


def _check_names(tree: dict[str, Any], path: str) -> None:
    for key, value in tree.items():
        match value:
            case str() if key == "address":
                if not ADDRESS.fullmatch(value):
                    raise FieldError(f"{path}.{key}", "not an IPv4 address and a port")
            case str():
                _name(value, f"{path}.{key}")
            case list():
                _check_unique_names(value, f"{path}.{key}")


def _check_unique_names(values: list[Any], path: str) -> None:
    names = [value["name"] if isinstance(value, dict) else value for value in values]
    for number, name in enumerate(names):
        _name(name, f"{path}[{number}]")
        if name in names[:number]:
            raise FieldError(f"{path}[{number}]", f"{name!r} is listed twice")


def _name(value: Any, path: str) -> Any:
    if not 1 <= len(value) <= NAME_LENGTH:
        raise FieldError(path, f"expected 1 to {NAME_LENGTH} characters, got {len(value)}")
    return value
