"""What the keys of the platform's store tell a host, whatever their wire format."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from hawthornbridge.evidence import RolloutEvidence
from hawthornbridge.ids import DomainName, HostId, ServiceName, UpstreamId
from hawthornbridge.leaves import LeafEntry
from hawthornbridge.presence import HostEntry
from hawthornbridge.rolloutorders import RolloutOrder, RolloutProgress, StatusEncoder
from hawthornbridge.routing import RoutingState
from hawthornbridge.store import Key

__all__ = [
    "EvacuationRecord",
    "EvidenceRecord",
    "HostRecord",
    "LeafRecord",
    "Record",
    "RolloutOrderRecord",
    "RolloutProgressRecord",
    "RoutingRecord",
    "StoreFormat",
    "UnreadableRecord",
]


@dataclass(frozen=True, slots=True)
class RoutingRecord:
    """Hold the newest configuration."""

    state: RoutingState


@dataclass(frozen=True, slots=True)
class LeafRecord:
    """Hold what a leaf says of itself, or None if it is gone."""

    id: UpstreamId
    entry: LeafEntry | None


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """Say whether operators want a failure domain to get no work."""

    domain: DomainName
    active: bool


@dataclass(frozen=True, slots=True)
class RolloutOrderRecord:
    """Hold an operator's order for a service, or None if it was withdrawn."""

    service: ServiceName
    order: RolloutOrder | None


@dataclass(frozen=True, slots=True)
class RolloutProgressRecord:
    """Hold how far the order for a service is, or None if nothing is recorded."""

    service: ServiceName
    progress: RolloutProgress | None


@dataclass(frozen=True, slots=True)
class EvidenceRecord:
    """Hold what one host has seen of a rollout."""

    evidence: RolloutEvidence


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Hold a host's entry, or None if its lease has ended."""

    host: HostId
    entry: HostEntry | None


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """Say that a key's value can't be used, and why; leaf is set if the key is a leaf's."""

    key: str
    leaf: UpstreamId | None
    detail: str


Record: TypeAlias = (
    RoutingRecord
    | LeafRecord
    | EvacuationRecord
    | RolloutOrderRecord
    | RolloutProgressRecord
    | EvidenceRecord
    | HostRecord
    | UnreadableRecord
    | None
)


@dataclass(frozen=True, slots=True)
class StoreFormat:
    """Translate between the store's keys and values and the project's records; a value of None: the key is gone."""

    decode: Callable[[Key, bytes | None], Record]
    encode_status: StatusEncoder
    # Whether a key can vanish without its writer's will.
    may_lapse: Callable[[Key], bool]
    # Whether a key that is written again with the same value says something new.
    reports_rewrites: Callable[[Key], bool]
