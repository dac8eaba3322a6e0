"""Requests to upstreams, their outcomes, and the interface of upstream protocols."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol, TypeAlias

from hawthornbridge.ids import (
    AttemptId,
    IdempotencyKey,
    Incarnation,
    MapId,
    RequestId,
    RouteName,
    ShardName,
    SnapshotNumber,
    VersionName,
)
from hawthornbridge.outcomes import Execution

__all__ = [
    "Channel",
    "Execute",
    "FailureKind",
    "HeldSnapshot",
    "Hit",
    "Result",
    "Search",
    "SearchReply",
    "Status",
    "UpstreamFailure",
    "UpstreamProtocol",
    "UpstreamRefusal",
    "UpstreamRefusalKind",
]


class UpstreamRefusalKind(Enum):
    """Name the reason for which an upstream refused a request."""

    SHED = "shed"
    DRAINING = "draining"
    SNAPSHOT_GONE = "snapshot_gone"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"


class FailureKind(Enum):
    """Name how an exchange with an upstream failed."""

    CONNECT = "connect"
    RESET = "reset"
    TIMEOUT = "timeout"
    # The upstream takes nothing of the request.
    STALLED = "stalled"
    BAD_REPLY = "bad_reply"
    ERROR = "error"
    QUEUE_FULL = "queue_full"
    LEAVING = "leaving"
    COLD = "cold"


@dataclass(frozen=True, slots=True)
class Search:
    """Ask one shard for its hits; deadline_s is on the clock of anyio.current_time."""

    request_id: RequestId
    route: RouteName
    shard: ShardName
    snapshot: SnapshotNumber
    query: str
    limit: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Execute:
    """Ask one upstream to run a non-idempotent request; deadline_s as in Search."""

    request_id: RequestId
    attempt_id: AttemptId
    idempotency_key: IdempotencyKey
    route: RouteName
    shard: ShardName
    payload: Any
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Hit:
    """Hold one hit with its score, higher is better."""

    id: str
    score: float


@dataclass(frozen=True, slots=True)
class SearchReply:
    """Hold a shard's hits and the load that the upstream reported with them."""

    request_id: RequestId
    shard: ShardName
    snapshot: SnapshotNumber
    hits: tuple[Hit, ...]
    incarnation: Incarnation
    version: VersionName
    in_flight: int
    slots: int


@dataclass(frozen=True, slots=True)
class Result:
    """Hold the result of an executed request."""

    request_id: RequestId
    result: Any
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class UpstreamRefusal:
    """Hold an upstream's refusal and whether the request ran."""

    kind: UpstreamRefusalKind
    execution: Execution


@dataclass(frozen=True, slots=True)
class UpstreamFailure:
    """Hold a failed exchange and whether the request may have run."""

    kind: FailureKind
    execution: Execution
    detail: str


@dataclass(frozen=True, slots=True)
class HeldSnapshot:
    """Identify a snapshot that an upstream holds and the shard map that the snapshot belongs to."""

    number: SnapshotNumber
    map: MapId


@dataclass(frozen=True, slots=True)
class Status:
    """Hold the status that an upstream reports; a status may lag or be wrong."""

    healthy: bool
    draining: bool
    in_flight: int
    slots: int
    incarnation: Incarnation
    version: VersionName
    snapshots: tuple[HeldSnapshot, ...]


SearchOutcome: TypeAlias = SearchReply | UpstreamRefusal | UpstreamFailure
ExecuteOutcome: TypeAlias = Result | UpstreamRefusal | UpstreamFailure
StatusOutcome: TypeAlias = Status | UpstreamFailure


class Channel(Protocol):
    """Run one exchange at a time over one connection to an upstream; the caller limits the time of an exchange."""

    @property
    def reusable(self) -> bool:
        """Return whether the upstream still has the idle connection open."""
        raise NotImplementedError

    async def search(self, request: Search) -> SearchOutcome:
        """Send a search; the request carries the deadline."""

    async def execute(self, request: Execute) -> ExecuteOutcome:
        """Run a non-idempotent request."""

    async def cancel(self, request_id: RequestId) -> UpstreamFailure | None:
        """Cancel a request in flight on another connection."""

    async def status(self) -> StatusOutcome:
        """Request the status of the upstream."""

    async def aclose(self) -> None:
        """Close the connection."""


class UpstreamProtocol(Protocol):
    """Open channels to upstreams; the plug-in kind UPSTREAM_PROTOCOL."""

    async def connect(self, address: str, timeout_s: float) -> Channel | UpstreamFailure:
        """Open a connection to an upstream."""
