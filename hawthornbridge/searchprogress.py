"""State of one fan-out of a query: what its shards have answered, and the requests in flight to each shard."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

import anyio

from hawthornbridge.ids import ShardName, UpstreamId, VersionName
from hawthornbridge.model import Catalogue, Service
from hawthornbridge.requests import Coverage, SearchRequest
from hawthornbridge.snapshots import PinnedSnapshot
from hawthornbridge.subrequests import SearchOutcome, SearchReply

__all__ = ["Purpose", "SearchFanOut", "ShardAttempts"]


class Purpose(Enum):
    """Name the reason for sending a sub-request."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


@dataclass(eq=False)
class ShardAttempts:
    """Hold concurrent requests to replicas of one shard; the first reply is used and the others are cancelled."""

    shard: ShardName
    tried: set[UpstreamId]
    lacking_snapshot: set[UpstreamId]
    hedges: int
    running: int = 1
    done: bool = False
    outcome: SearchOutcome | None = None
    over: anyio.Event | None = None
    _scopes: list[anyio.CancelScope] = field(default_factory=list)

    def start(self, scope: anyio.CancelScope) -> None:
        """Add the cancel scope of one more request; one that is added after the end is cancelled at once."""
        self._scopes.append(scope)
        if self.done:
            scope.cancel()

    def finish(self, outcome: SearchOutcome, own: anyio.CancelScope) -> None:
        """Record an outcome; the first reply or the last failure ends the attempts that are left."""
        if self.done:
            return
        self.running -= 1
        self.outcome = outcome
        if self.running and not isinstance(outcome, SearchReply):
            return
        self.done = True
        if self.over is not None:
            self.over.set()
        for scope in self._scopes:
            if scope is not own:
                scope.cancel()


@dataclass(slots=True)
class VersionPerformance:
    """Hold the latency of a query's slowest sub-request to one version, and whether any of them failed."""

    latency_s: float = 0.0
    failed: bool = False


@dataclass
class SearchFanOut:
    """Hold one fan-out over one pinned snapshot."""

    request: SearchRequest
    catalogue: Catalogue
    service: Service
    versions: tuple[VersionName, ...]
    pinned: PinnedSnapshot
    deadline_s: float
    replies: dict[ShardName, SearchReply] = field(default_factory=dict)
    lost_shards: set[ShardName] = field(default_factory=set)
    delay_s: float | None = None
    due_hedges: deque[tuple[float, ShardAttempts]] = field(default_factory=deque)
    hedged: bool = False
    extra: int = 0
    sheds: int = 0
    late: int = 0
    next_pinned: PinnedSnapshot | None = None
    performance: dict[VersionName, VersionPerformance] = field(default_factory=dict)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    @property
    def coverage(self) -> Coverage:
        """Return which shards have answered."""
        shards = self.pinned.shard_map.shards
        missing = tuple(shard for shard in shards if shard not in self.replies)
        return Coverage(len(self.replies), len(shards), missing)

    def record_sub_request(self, version: VersionName, latency_s: float, *, failed: bool) -> None:
        """Record the latency and the failure of a sub-request for its version."""
        seen = self.performance.setdefault(version, VersionPerformance())
        seen.latency_s = max(seen.latency_s, latency_s)
        seen.failed = seen.failed or failed
