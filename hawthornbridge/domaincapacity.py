"""Capacity of failure domains: which shards the remaining ones cannot carry if some domains leave."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from hawthornbridge.ids import DomainName, HostId, MapId, ServiceName, ShardName
from hawthornbridge.model import Catalogue

__all__ = ["LoadSource", "ShardLoad", "Shortage", "shortages"]


@dataclass(frozen=True, slots=True)
class ShardLoad:
    """The load of one shard in one failure domain.

    `busy` counts sub-requests in flight or waiting, of every host and at every version; it can exceed `slots`. `slots`
    and `replicas` count the usable upstreams at the service's present version that hold its best snapshot, since all
    traffic returns to these upstreams when a rollout is rolled back.
    """

    service: ServiceName
    shard: ShardName
    failure_domain: DomainName
    slots: int
    busy: float
    replicas: int


class LoadSource(Protocol):
    """Interface to the load that this host knows of: its own, and what other hosts report."""

    def shard_loads(self) -> Sequence[ShardLoad]:
        """Return the load per service, shard and failure domain; a missing row stands for zeros."""

    def serving_maps(self) -> Mapping[ServiceName, MapId]:
        """Return the shard map of each service's best snapshot; a service without one is left out."""

    def in_flight(self, domain: DomainName) -> Mapping[HostId, int]:
        """Return each host's sub-requests in flight in a domain, as of the heartbeat that carried its generation."""

    def host_loads(self) -> Mapping[HostId, float]:
        """Return the share of each host's query slots in use."""


@dataclass(frozen=True, slots=True)
class Shortage:
    """A shard that the remaining failure domains cannot carry, with its load and their capacity."""

    service: ServiceName
    shard: ShardName
    busy: float
    slots: int
    replicas: int


def shortages(catalogue: Catalogue, load: LoadSource, leaving: Collection[DomainName]) -> list[Shortage]:
    """Return the shards of the leaving domains that the remaining active ones cannot carry, worst first.

    A shard without upstreams in the leaving domains is left out, since keeping these domains would not help it.
    """
    remaining = {name for name in catalogue.domains if catalogue.takes_work(name)}.difference(leaving)
    sums = {
        (service, shard): Shortage(service, shard, 0.0, 0, 0)
        for service, shard in _served_shards(catalogue, load.serving_maps(), leaving)
    }
    for row in load.shard_loads():
        total = sums.get((row.service, row.shard))
        if total is None:
            continue
        stays = row.failure_domain in remaining
        sums[row.service, row.shard] = Shortage(
            row.service,
            row.shard,
            total.busy + row.busy,
            total.slots + (row.slots if stays else 0),
            total.replicas + (row.replicas if stays else 0),
        )
    short = [total for total in sums.values() if total.replicas == 0 or total.busy > total.slots]
    return sorted(short, key=lambda total: (total.replicas > 0, total.slots - total.busy, total.service, total.shard))


def _served_shards(
    catalogue: Catalogue, maps: Mapping[ServiceName, MapId], leaving: Collection[DomainName]
) -> set[tuple[ServiceName, ShardName]]:
    served: dict[ServiceName, frozenset[ShardName]] = {}
    for service, map_id in maps.items():
        shard_map = catalogue.shard_maps.get(map_id)
        if shard_map is not None:
            served[service] = frozenset(shard_map.shards)
    # Without a best snapshot the needed shards are unknown, so all shards count.
    return {
        (upstream.service, upstream.shard)
        for upstream in catalogue.upstreams.values()
        if upstream.failure_domain in leaving
        and (upstream.service not in served or upstream.shard in served[upstream.service])
    }
