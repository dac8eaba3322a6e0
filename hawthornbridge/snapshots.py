"""Choice of the index snapshot that a query pins, and the interface of upstreams that queries use."""

from collections.abc import Collection, Container, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

from hawthornbridge.ids import MapId, ServiceName, ShardName, SnapshotNumber, UpstreamId, VersionName
from hawthornbridge.model import Catalogue, ShardMap, Upstream
from hawthornbridge.subrequests import Search, SearchOutcome

__all__ = ["PinnedSnapshot", "Replica", "Upstreams", "best_snapshot"]


class Replica(Protocol):
    """Describe the properties of an upstream that queries need."""

    @property
    def upstream(self) -> Upstream:
        """Return the upstream's configuration."""

    @property
    def snapshots(self) -> Mapping[SnapshotNumber, MapId]:
        """Return the snapshots that the upstream holds, each with its shard map."""


ReplicaT = TypeVar("ReplicaT", bound=Replica)


class Upstreams(Protocol[ReplicaT]):
    """Choose replicas and send searches to them; upstreams.UpstreamTable implements it."""

    def usable(
        self, service: ServiceName, shard: ShardName, version: VersionName, snapshot: SnapshotNumber | None
    ) -> Sequence[ReplicaT]:
        """Return the replicas that may get new work and hold the snapshot; None stands for any snapshot."""

    def choose(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber | None,
        excluded: Collection[UpstreamId] = (),
    ) -> ReplicaT | None:
        """Choose a replica for new work, or None if no usable one is left."""

    def choose_hedge(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber,
        excluded: Collection[UpstreamId],
    ) -> ReplicaT | None:
        """Choose a replica for a hedged request: never a cold, shedding or leaving one."""

    async def search(self, replica: ReplicaT, request: Search) -> SearchOutcome:
        """Send a search and return its outcome; cancelling this call cancels the request at the upstream."""


@dataclass(frozen=True, slots=True)
class PinnedSnapshot:
    """Hold a snapshot and the shard map that belongs to it."""

    number: SnapshotNumber
    shard_map: ShardMap
    expected: int
    """Number of shards that had a usable replica when the snapshot was chosen."""

    @property
    def key(self) -> tuple[MapId, SnapshotNumber]:
        """Return the shard map and number that identify the snapshot within its service."""
        return self.shard_map.id, self.number


def best_snapshot(
    catalogue: Catalogue,
    table: Upstreams[ReplicaT],
    service: ServiceName,
    versions: Sequence[VersionName],
    excluded: Container[tuple[MapId, SnapshotNumber]] = (),
) -> PinnedSnapshot | None:
    """Return the newest of the snapshots whose usable replicas cover the largest share of shards."""
    best: tuple[float, SnapshotNumber, PinnedSnapshot] | None = None
    for shard_map in catalogue.maps_of(service):
        counts: dict[SnapshotNumber, int] = {}
        for shard in shard_map.shards:
            held = {
                number
                for version in versions
                for replica in table.usable(service, shard, version, None)
                for number, map_id in replica.snapshots.items()
                if map_id == shard_map.id
            }
            for number in held:
                counts[number] = counts.get(number, 0) + 1
        for number, count in counts.items():
            if (shard_map.id, number) in excluded:
                continue
            ratio = count / len(shard_map.shards)
            if best is None or (ratio, number) > best[:2]:
                best = (ratio, number, PinnedSnapshot(number, shard_map, count))
    return best[2] if best else None
