"""Choice of the index snapshot that a query pins."""

from dataclasses import dataclass

from hawthornbridge.ids import ServiceName, SnapshotNumber, VersionName
from hawthornbridge.model import Catalogue, ShardMap
from hawthornbridge.upstreams import UpstreamTable

__all__ = ["PinnedSnapshot", "best_snapshot"]


@dataclass(frozen=True, slots=True)
class PinnedSnapshot:
    """Hold a snapshot and the shard map that belongs to it."""

    number: SnapshotNumber
    shard_map: ShardMap


def best_snapshot(
    catalogue: Catalogue, table: UpstreamTable, service: ServiceName, version: VersionName
) -> PinnedSnapshot | None:
    """Return the newest snapshot with every shard usable, else the one that covers most."""
    best: tuple[float, SnapshotNumber, ShardMap] | None = None
    for shard_map in catalogue.maps_of(service):
        counts: dict[SnapshotNumber, int] = {}
        for shard in shard_map.shards:
            held = {
                number
                for state in table.usable(service, shard, version, None)
                for number, map_id in state.snapshots.items()
                if map_id == shard_map.id
            }
            for number in held:
                counts[number] = counts.get(number, 0) + 1
        for number, count in counts.items():
            candidate = (count / len(shard_map.shards), number, shard_map)
            if best is None or candidate[:2] > best[:2]:
                best = candidate
    return PinnedSnapshot(best[1], best[2]) if best else None
