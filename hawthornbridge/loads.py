"""Load of shards and hosts, from the replies of upstreams and the heartbeats of hosts."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import TypeAlias

import anyio

from hawthornbridge.domaincapacity import ShardLoad
from hawthornbridge.ids import DomainName, HostId, MapId, ServiceName, ShardName, SnapshotNumber
from hawthornbridge.membership import Membership
from hawthornbridge.model import Catalogue, DomainState, Service
from hawthornbridge.snapshots import PinnedSnapshot, best_snapshot
from hawthornbridge.upstreams import ShardLoad as UpstreamLoad, UpstreamTable

__all__ = ["Loads"]

SAMPLE_INTERVAL_S = 0.25
# A shard has few slots, so a single sample is too noisy; an average over a few seconds shows its load.
MEAN_TIME_CONSTANT_S = 2.0
SAMPLE_WEIGHT = 1 - math.exp(-SAMPLE_INTERVAL_S / MEAN_TIME_CONSTANT_S)

LoadKey: TypeAlias = tuple[ServiceName, ShardName, DomainName]


class Loads:
    """Provide loads for decisions on failure domains; replies report an upstream's work for all hosts together."""

    def __init__(self, catalogue: Callable[[], Catalogue], table: UpstreamTable, membership: Membership) -> None:
        self._catalogue = catalogue
        self._table = table
        self._membership = membership
        self._busy: dict[LoadKey, float] = {}
        membership.in_flight = self.own_in_flight

    async def run(self) -> None:
        """Sample the load until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Add the current load to the moving averages."""
        present = {_key(load): float(load.busy) for load in self._table.loads()}
        self._busy = {
            key: busy + (1 - SAMPLE_WEIGHT) * (self._busy.get(key, busy) - busy) for key, busy in present.items()
        }

    def shard_loads(self) -> Sequence[ShardLoad]:
        """Return the load per service, shard and failure domain; a missing row means zero load."""
        return [load for service in self._catalogue().services.values() for load in self._service_loads(service)]

    def serving_maps(self) -> Mapping[ServiceName, MapId]:
        """Return the shard map of each service's best snapshot; a service without one is left out."""
        pinned = {service.name: self._pinned(service) for service in self._catalogue().services.values()}
        return {name: snapshot.shard_map.id for name, snapshot in pinned.items() if snapshot is not None}

    def in_flight(self, domain: DomainName) -> Mapping[HostId, int]:
        """Return each host's sub-requests in flight in a domain, as of the heartbeat that carried its generation."""
        found = {host: member.heartbeat.in_flight.get(domain, 0) for host, member in self._membership.members.items()}
        return found | {self._membership.identity.host: self._table.in_flight_in(domain)}

    def host_loads(self) -> Mapping[HostId, float]:
        """Return the share of each host's query slots in use."""
        return self._membership.loads

    def own_in_flight(self) -> dict[DomainName, int]:
        """Return this host's sub-requests in flight in each domain that takes no new work."""
        domains = self._catalogue().domains.values()
        return {
            domain.name: in_flight
            for domain in domains
            if domain.state is not DomainState.ACTIVE and (in_flight := self._table.in_flight_in(domain.name))
        }

    def _pinned(self, service: Service) -> PinnedSnapshot | None:
        return best_snapshot(self._catalogue(), self._table, service.name, (service.version,))

    def _service_loads(self, service: Service) -> list[ShardLoad]:
        pinned = self._pinned(service)
        if pinned is None:
            return []
        return [
            ShardLoad(
                load.service,
                load.shard,
                load.failure_domain,
                load.slots,
                self._busy.get(_key(load), load.busy),
                self._holders(service, load.shard, load.failure_domain, pinned.number),
            )
            for load in self._table.loads(service.name)
        ]

    def _holders(self, service: Service, shard: ShardName, domain: DomainName, snapshot: SnapshotNumber) -> int:
        holders = self._table.usable(service.name, shard, service.version, snapshot)
        # An upstream at the start of its ramp gets requests from some hosts only, so it cannot carry the shard.
        return sum(
            state.upstream.failure_domain == domain and not state.ramp.is_below_seat_count(state.upstream.id)
            for state in holders
        )


def _key(load: UpstreamLoad) -> LoadKey:
    return load.service, load.shard, load.failure_domain
