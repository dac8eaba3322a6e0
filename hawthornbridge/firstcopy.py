"""First copy of the store's keys on a host that starts.

All hosts may start at once, after a loss of power. If each of them read the store, the calls would be many times
what the few serving hosts need, and compete with theirs. An entry in the list of hosts outlives a short loss of power,
so a cheap read of that list, which may be some seconds old, tells each host without any message whether it is one of
those that callers need first. These read the store at once, and the others copy from them.
"""

import random
from collections.abc import Callable
from typing import Protocol

from hawthornbridge.presence import HOST_PREFIX, HostEntry, HostList
from hawthornbridge.startphases import StartPhase, StartPhases
from hawthornbridge.store import Key, Revision, Unavailable
from hawthornbridge.storecopies import Snapshot, WatchableStore, WatchOutcome

__all__ = ["FirstCopy", "OutdatedReader"]

# Longest time for which a host that serves nobody asks others for the first copy before it reads the store itself.
# A serving host needs some tenths of a second from its start to its first copy.
MAX_WAIT_S = 1.0


class OutdatedReader(Protocol):
    """Store that can be read cheaply if the answer may be some seconds old."""

    async def read_outdated(self, prefix: Key) -> Snapshot | Unavailable:
        """Read the keys below a prefix as they were up to some seconds ago."""


class FirstCopy:
    """Store access that decides, before the first copy, which hosts take it from the store."""

    def __init__(
        self,
        store: OutdatedReader,
        followed: Callable[[Callable[[], float]], WatchableStore],
        hosts: HostList,
        decode: Callable[[Key, bytes], HostEntry | None],
        phases: StartPhases,
        rng: random.Random | None = None,
    ) -> None:
        """Create the access; followed makes the one that is used, from the time for which others are asked first."""
        self._store = store
        self._hosts = hosts
        self._decode = decode
        self._phases = phases
        self._random = rng or random.Random()
        self._has_asked = False
        self._has_copy = False
        self._followed = followed(lambda: self.wait_s)

    @property
    def wait_s(self) -> float:
        """Return how long to ask other hosts for a copy before the store is read."""
        if self._has_copy or self._hosts.is_expected_to_serve():
            return 0.0
        return self._random.uniform(0.5, 1.0) * MAX_WAIT_S

    async def read_all(self, prefix: Key) -> Snapshot | Unavailable:
        """Read every key below a prefix, from the store or from another host."""
        if not self._has_asked:
            self._has_asked = True
            listed = await self._store.read_outdated(Key(HOST_PREFIX))
            if isinstance(listed, Unavailable):
                # The caller asks the seeds next, and the store only after them.
                return listed
            decoded = (self._decode(found.key, found.value) for found in listed.values)
            self._hosts.expect([entry for entry in decoded if entry is not None])
            self._phases.reach(StartPhase.HOSTS_EXPECTED)
        outcome = await self._followed.read_all(prefix)
        if isinstance(outcome, Snapshot):
            self._has_copy = True
            self._phases.reach(StartPhase.FIRST_COPY)
        return outcome

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait until something below the prefix changes after a revision."""
        return await self._followed.watch_prefix(prefix, after, wait_s)
