"""What callers ask and are answered, whatever the wire format."""

from dataclasses import dataclass
from typing import Any

from hawthornbridge.ids import (
    CallerId,
    ClassName,
    IdempotencyKey,
    RequestId,
    RouteName,
    ServiceName,
    ShardName,
    SnapshotNumber,
)
from hawthornbridge.subrequests import Hit

__all__ = ["Coverage", "ExecuteAnswer", "ExecuteRequest", "SearchAnswer", "SearchRequest"]


# Upstreams that queue instead of shedding show an overload only by missed deadlines. One shard that hangs is no
# overload, so more than this share of a query's shards has to be late.
LATE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Ask a service for its best hits; deadline_s is on the clock of anyio.current_time."""

    request_id: RequestId
    service: ServiceName
    route: RouteName
    class_name: ClassName
    caller: CallerId
    query: str
    limit: int
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Coverage:
    """Say which shards of the pinned snapshot's map an answer covers."""

    answered: int
    total: int
    missing: tuple[ShardName, ...]

    @property
    def ratio(self) -> float:
        """Return the share of shards that answered, from 0 to 1."""
        return self.answered / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Hold the merged hits of one snapshot; extra counts hedges and retries, sheds the sub-requests shed.

    late counts the sub-requests that an upstream had not answered by the deadline.
    """

    request_id: RequestId
    snapshot: SnapshotNumber
    coverage: Coverage
    hits: tuple[Hit, ...]
    time_s: float
    hedged: bool
    extra: int = 0
    sheds: int = 0
    late: int = 0

    @property
    def strained(self) -> bool:
        """Return whether the upstreams had more work than they can do in time, and not only one of them failed."""
        return self.sheds > 0 or self.late > LATE_SHARE * self.coverage.total


@dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """Ask a service to run a non-idempotent request; deadline_s as in SearchRequest.

    retry says that the caller has sent the key before and does not know what became of it.
    """

    request_id: RequestId
    service: ServiceName
    route: RouteName
    class_name: ClassName
    caller: CallerId
    idempotency_key: IdempotencyKey
    payload: Any
    deadline_s: float
    retry: bool = False


@dataclass(frozen=True, slots=True)
class ExecuteAnswer:
    """Hold the result of a request that ran once; repeated says that an earlier attempt ran it."""

    request_id: RequestId
    result: Any
    repeated: bool
