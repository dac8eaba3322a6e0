"""Records that hosts read from the platform's store, independent of their wire format."""

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
from hawthornbridge.storereturn import WriterCount, count_nothing
from hawthornbridge.usageduty import DutyHolder, DutyState

__all__ = [
    "DutyHolderRecord",
    "DutyStateRecord",
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
    """Current configuration."""

    state: RoutingState


@dataclass(frozen=True, slots=True)
class LeafRecord:
    """Entry of a leaf, or None if it was removed."""

    id: UpstreamId
    entry: LeafEntry | None


@dataclass(frozen=True, slots=True)
class EvacuationRecord:
    """Request of operators to send nothing to a failure domain; active is False once it is withdrawn."""

    domain: DomainName
    active: bool


@dataclass(frozen=True, slots=True)
class RolloutOrderRecord:
    """Rollout order of an operator for a service, or None if it was withdrawn."""

    service: ServiceName
    order: RolloutOrder | None


@dataclass(frozen=True, slots=True)
class RolloutProgressRecord:
    """Progress of the rollout of a service, or None if none is recorded."""

    service: ServiceName
    progress: RolloutProgress | None


@dataclass(frozen=True, slots=True)
class EvidenceRecord:
    """Evidence on a rollout that one host has collected."""

    evidence: RolloutEvidence


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Entry of a host, or None if its lease has ended."""

    host: HostId
    entry: HostEntry | None


@dataclass(frozen=True, slots=True)
class DutyStateRecord:
    """State of the duty to report usage, or None if it was removed."""

    state: DutyState | None


@dataclass(frozen=True, slots=True)
class DutyHolderRecord:
    """Entry of the host that reports usage, or None if its lease has ended."""

    holder: DutyHolder | None


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """Value that could not be decoded, with the reason; leaf is set if the key is the entry of a leaf."""

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
    | DutyStateRecord
    | DutyHolderRecord
    | UnreadableRecord
    | None
)


@dataclass(frozen=True, slots=True)
class StoreFormat:
    """Conversion between keys and values of the store and records; a value of None means that the key was removed."""

    decode: Callable[[Key, bytes | None], Record]
    encode_status: StatusEncoder
    # Whether a key is under a lease, so that it can be removed without its writer removing it.
    may_lapse: Callable[[Key], bool]
    # Whether writing a key again with the same value counts as a change.
    reports_rewrites: Callable[[Key], bool]
    writer_count: Callable[[Key, bytes], WriterCount | None] = count_nothing
