"""Requests of callers and their answers, independent of the wire format."""

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


# Upstreams that queue instead of shedding show overload only by missed deadlines. A query counts as overloaded if more
# than this share of its shards is late, so that one shard that hangs does not count as overload.
OVERLOAD_LATE_SHARE = 0.1


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
    """Describe which shards of the pinned snapshot's map an answer covers."""

    answered: int
    total: int
    missing: tuple[ShardName, ...]

    @property
    def ratio(self) -> float:
        """Return the share of shards that answered, from 0 to 1."""
        return self.answered / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Hold the merged hits of one snapshot.

    extra counts hedges and retries, sheds the sub-requests that were shed, and late those without a reply by the
    deadline.
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
    def overloaded(self) -> bool:
        """Return whether the upstreams were overloaded, as opposed to a failure of a single one."""
        return self.sheds > 0 or self.late > OVERLOAD_LATE_SHARE * self.coverage.total


@dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """Ask a service to run a non-idempotent request; deadline_s as in SearchRequest.

    retry is set if the caller has sent the idempotency key before and does not know the outcome.
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
    """Hold the result of a request that ran once; repeated is set if an earlier attempt ran it."""

    request_id: RequestId
    result: Any
    repeated: bool
