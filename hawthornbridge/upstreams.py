"""The runtime table of upstreams: what this host knows of each and has in flight there."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from hawthornbridge.connections import ConnectionGroup, connection_quota
from hawthornbridge.ids import MapId, ServiceName, ShardName, SnapshotNumber, UpstreamId, VersionName
from hawthornbridge.model import Catalogue, Upstream
from hawthornbridge.subrequests import (
    Execute,
    ExecuteOutcome,
    Search,
    SearchOutcome,
    Status,
    UpstreamFailure,
    UpstreamProtocol,
)

__all__ = ["UpstreamState", "UpstreamTable"]

STATUS_INTERVAL_S = 1.0

Choice = Callable[[list["UpstreamState"]], "UpstreamState"]


@dataclass
class UpstreamState:
    """Hold what this host knows of one upstream."""

    upstream: Upstream
    connections: ConnectionGroup
    in_flight: int = 0
    draining: bool = False
    snapshots: dict[SnapshotNumber, MapId] = field(default_factory=dict)

    @property
    def usable(self) -> bool:
        """Return whether the upstream may get new work."""
        return not self.draining and self.connections.connected > 0


class UpstreamTable:
    """Track every upstream of the catalogue, choose replicas and send sub-requests."""

    def __init__(self, protocol: UpstreamProtocol, choice: Choice, seats: int) -> None:
        self._protocol = protocol
        self._choice = choice
        self._seats = seats
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._catalogue = Catalogue()

    def apply(self, catalogue: Catalogue, tasks: TaskGroup) -> None:
        """Follow a new catalogue: start connections to upstreams that are new."""
        self._catalogue = catalogue
        for upstream in catalogue.upstreams.values():
            if upstream.id in self._states:
                continue
            quota = connection_quota(upstream.connections, self._seats)
            state = UpstreamState(upstream, ConnectionGroup(upstream, quota, self._protocol))
            self._states[upstream.id] = state
            state.connections.start(tasks)
            tasks.start_soon(self._poll_status, state)

    def usable(
        self, service: ServiceName, shard: ShardName, version: VersionName, snapshot: SnapshotNumber | None
    ) -> list[UpstreamState]:
        """Return the upstreams of a shard that may get new work and hold the snapshot."""
        found = []
        for upstream in self._catalogue.replicas(service, shard):
            state = self._states[upstream.id]
            if upstream.version != version or not self._catalogue.takes_work(upstream.failure_domain):
                continue
            if state.usable and (snapshot is None or snapshot in state.snapshots):
                found.append(state)
        return found

    def choose(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber | None,
        excluded: Collection[UpstreamId] = (),
    ) -> UpstreamState | None:
        """Choose a replica for new work, or None if no usable one is left."""
        candidates = [
            state for state in self.usable(service, shard, version, snapshot) if state.upstream.id not in excluded
        ]
        return self._choice(candidates) if candidates else None

    async def search(self, state: UpstreamState, request: Search) -> SearchOutcome:
        """Send a search to an upstream and return its outcome."""
        state.in_flight += 1
        try:
            return await state.connections.run(lambda channel: channel.search(request))
        finally:
            state.in_flight -= 1

    async def execute(self, state: UpstreamState, request: Execute) -> ExecuteOutcome:
        """Send a non-idempotent request to an upstream and return its outcome."""
        state.in_flight += 1
        try:
            return await state.connections.run(lambda channel: channel.execute(request))
        finally:
            state.in_flight -= 1

    async def _poll_status(self, state: UpstreamState) -> None:
        while True:
            outcome = await state.connections.run(lambda channel: channel.status())
            match outcome:
                case Status():
                    state.draining = outcome.draining
                    state.snapshots = {held.number: held.map for held in outcome.snapshots}
                    await anyio.sleep(STATUS_INTERVAL_S)
                case UpstreamFailure():
                    await anyio.sleep(STATUS_INTERVAL_S / 20)
