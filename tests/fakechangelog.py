"""A change log in memory: one shared head, and a copy per host that may lag."""

import anyio

from hawthornbridge.acceptance import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeNotAccepted,
    ChangeUncertain,
    HostProgress,
    QuorumMissing,
)
from hawthornbridge.model import Catalogue, ChangeRejectedError, Entry

TABLES = {
    "Service": ("services", "name"),
    "ShardMap": ("shard_maps", "id"),
    "Upstream": ("upstreams", "id"),
    "FailureDomain": ("domains", "name"),
    "Version": ("versions", "name"),
    "Rollout": ("rollouts", "service"),
}


def entity_generation(catalogue, change):
    """Return the generation of the entity that a change names; 0 if there is none."""
    kind = type(change).__name__.removeprefix("Put").removeprefix("Remove")
    table, key = TABLES[kind]
    named = change
    if type(change).__name__.startswith("Put"):
        named = getattr(change, change.__struct_fields__[0])
    name = getattr(named, key)
    if kind == "Version":
        name = f"{named.service}:{name}"
    entity = getattr(catalogue, table).get(name)
    return entity.generation if entity else 0


class FakeHead:
    """Hold the accepted entries; `fault` is None, "down", "lost" (accepted, answer lost) or "no_quorum"."""

    def __init__(self, catalogue=None):
        self.catalogue = catalogue or Catalogue()
        self.entries = []
        self.fault = None

    def propose(self, change, expected, operation_id, force):
        if self.fault == "down":
            return ChangeNotAccepted("store unavailable")
        if self.fault == "no_quorum" and not force:
            return QuorumMissing(1, 2)
        for entry in self.entries:
            if entry.operation_id == operation_id:
                return ChangeAccepted(entry.generation, True, False)
        current = entity_generation(self.catalogue, change)
        if current != expected:
            winner = next((entry for entry in self.entries if entry.generation == current), None)
            return ChangeConflict(current, winner)
        entry = Entry(self.catalogue.generation + 1, operation_id, change)
        try:
            self.catalogue = self.catalogue.apply(entry)
        except ChangeRejectedError as error:
            return ChangeInvalid(error.field, error.detail)
        self.entries.append(entry)
        if self.fault == "lost":
            return ChangeUncertain("answer lost")
        return ChangeAccepted(entry.generation, False, force and self.fault == "no_quorum")


class FakeChangeLog:
    """Follow a head as one host does; `frozen` stops it from applying entries."""

    def __init__(self, head, host="h1"):
        self.head = head
        self.frozen = False
        self._applied = head.catalogue
        self.hosts = {host: HostProgress(host, 0, 0.0, False)}
        self._host = host
        self.following = {host}

    @property
    def catalogue(self):
        if not self.frozen:
            self._applied = self.head.catalogue
        return self._applied

    def set_host(self, host, generation=None, silent_s=0.0, leaving=False):
        """Add or change a host; without a generation it follows the head."""
        if generation is None:
            self.following.add(host)
        else:
            self.following.discard(host)
        self.hosts[host] = HostProgress(host, generation or 0, silent_s, leaving)

    async def propose(self, change, expected, operation_id, *, force=False):
        await anyio.sleep(0.01)
        return self.head.propose(change, expected, operation_id, force)

    async def wait_for(self, generation):
        while self.catalogue.generation < generation:
            await anyio.sleep(0.01)

    def progress(self):
        head = self.catalogue.generation
        return [
            HostProgress(
                host.host, head if host.host in self.following else host.generation, host.silent_s, host.leaving
            )
            for host in self.hosts.values()
        ]
