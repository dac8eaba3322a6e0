"""This host's entry in the store, under a lease, and the list of the other hosts."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
import msgspec
import xxhash

from hawthornbridge.events import Event, emit
from hawthornbridge.ids import DomainName, HostId
from hawthornbridge.store import NO_ERA, Ambiguous, Applied, Era, Key, LeaseGranted, LeaseId, LeaseLost, Unavailable

__all__ = ["HOST_PREFIX", "HostEntry", "HostList", "LeaseStore", "Presence"]

HOST_PREFIX = "hosts/"
# Callers are sent to a stopped host until its lease ends, so serving hosts have a short lease. Hosts that callers are
# not sent to renew a longer lease less often, which saves calls to the store.
LEASE_TTL_S = 3.0
RENEW_INTERVAL_S = 1.0
IDLE_LEASE_TTL_S = 6.0
IDLE_RENEW_INTERVAL_S = 2.5
RETRY_INTERVAL_S = 0.4
# A host without callers that gets no lease asks again ever less often, because a whole fleet may start in an outage.
MAX_IDLE_RETRY_INTERVAL_S = 3.0
# All hosts register again after a return of the store, at random times within this one.
MAX_RESTORE_DELAY_S = 1.0
# Hosts that disappeared from the list may still be sending, so they are counted for this long.
COUNT_WINDOW_S = 15.0
# With two hosts in each failure domain the service continues when a host or a domain is lost.
SERVING_PER_DOMAIN = 2
SERVING_KEY = "serving"
# With fewer hosts that watch the store, every host watches it, because followers need a second one if the first is
# lost.
MIN_STORE_READERS = 2


class HostEntry(msgspec.Struct, frozen=True):
    """Entry of a host in the store; capacity is in cores, is_busy means that little of it is left."""

    host: HostId
    address: str
    domain: DomainName
    capacity: float = 1.0
    is_busy: bool = False
    # Address at which other hosts request a copy of the store's keys.
    peer_address: str = ""
    # Unix time of the host's start, and how often it has registered since; both only rise, so that an entry that is
    # back in an older copy of the store is told from a newer one.
    started_ms: int = 0
    registrations: int = 0


class LeaseStore(Protocol):
    """Store operations for keys under a lease."""

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | LeaseLost | Unavailable | Ambiguous:
        """Open a lease."""

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseGranted | LeaseLost | Unavailable | Ambiguous:
        """Prolong a lease."""

    async def release_lease(self, lease: LeaseId) -> LeaseLost | Unavailable | Ambiguous | None:
        """End a lease and remove its keys."""

    async def put(self, key: Key, value: bytes, lease: LeaseId) -> Applied | LeaseLost | Unavailable | Ambiguous:
        """Write a key."""


class HostList:
    """List of the hosts in the store, and the choice of those that callers are sent to.

    A few hosts with many requests each have better latency data on the leaves and need fewer connections than many
    hosts with few requests. Callers are therefore sent to the hosts with the highest capacity in each failure domain,
    and to one more host for each busy one among them.
    """

    def __init__(self, own: HostEntry, min_count: int, clock: Callable[[], float]) -> None:
        self.own = own
        self._min_count = min_count
        self._clock = clock
        self._entries: dict[HostId, HostEntry] = {}
        self._serving: list[HostEntry] | None = None
        self._expected: list[HostEntry] = []
        self._recent_counts: list[tuple[float, int]] = []

    @property
    def peers(self) -> list[str]:
        """Return the addresses at which other hosts serve copies of the store's keys."""
        entries = self._entries.values()
        return [entry.peer_address for entry in entries if entry.host != self.own.host and entry.peer_address]

    @property
    def serving(self) -> list[HostEntry]:
        """Return the hosts that callers are sent to; hosts with equal lists return the same ones."""
        if self._serving is None:
            self._serving = _most_capable(self._entries.values())
        return self._serving

    def is_serving(self) -> bool:
        """Return whether callers are sent to this host."""
        return any(entry.host == self.own.host for entry in self.serving)

    @property
    def store_readers(self) -> list[HostEntry]:
        """Return the hosts that watch the store themselves: the first serving host of each failure domain."""
        first = {entry.domain: entry for entry in reversed(self.serving or self._expected)}
        return list(first.values())

    def reads_store(self) -> bool:
        """Return whether this host watches the store itself."""
        readers = self.store_readers
        return len(readers) < MIN_STORE_READERS or any(entry.host == self.own.host for entry in readers)

    def expect(self, entries: Iterable[HostEntry]) -> None:
        """Choose the hosts that read the store from this outdated list until the first host is put."""
        self._expected = _most_capable(entries)

    def is_expected_to_serve(self) -> bool:
        """Return whether callers will be sent to this host by the outdated list, or the list names no host."""
        return not self._expected or any(entry.host == self.own.host for entry in self._expected)

    def is_spare(self) -> bool:
        """Return whether callers are sent to other hosts and not to this one."""
        return bool(self.serving) and not self.is_serving()

    def put(self, entry: HostEntry) -> None:
        """Add or replace a host."""
        self._record_count()
        self._expected = []
        self._entries[entry.host] = entry
        self._serving = None

    def remove(self, host: HostId) -> None:
        """Remove a host whose lease has ended."""
        self._record_count()
        self._entries.pop(host, None)
        self._serving = None

    def count(self) -> int:
        """Return the number of hosts that may be sending requests to leaves, including this one."""
        now_s = self._clock()
        self._recent_counts = [
            (time_s, count) for time_s, count in self._recent_counts if time_s > now_s - COUNT_WINDOW_S
        ]
        return max(self._min_count, len(self.serving), 1, *(count for _, count in self._recent_counts))

    def rank(self, key: str) -> int:
        """Return the rank of this host for a key, 0 for the first."""
        own = _weight(self.own.host, key)
        return sum(_weight(entry.host, key) > own for entry in self.serving if entry.host != self.own.host)

    def is_listed(self, host: HostId) -> bool:
        """Return whether a host has an entry in the store."""
        return host in self._entries

    def ranked(self, key: str) -> list[HostEntry]:
        """Return the serving hosts in the order of their ranks for a key."""
        return sorted(self.serving, key=lambda entry: _weight(entry.host, key), reverse=True)

    def _record_count(self) -> None:
        self._recent_counts.append((self._clock(), len(self.serving)))


def _weight(host: HostId, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{host}".encode())


def _most_capable(entries: Iterable[HostEntry]) -> list[HostEntry]:
    by_domain: dict[DomainName, list[HostEntry]] = {}
    for entry in entries:
        by_domain.setdefault(entry.domain, []).append(entry)
    chosen: list[HostEntry] = []
    for members in by_domain.values():
        members.sort(key=lambda entry: (-entry.capacity, _weight(entry.host, SERVING_KEY)))
        chosen += _with_room(members)
    return chosen


def _with_room(members: Iterable[HostEntry]) -> Iterable[HostEntry]:
    """Yield the first hosts of a domain until SERVING_PER_DOMAIN of them are not busy.

    Busy hosts stay in the list, because their callers would otherwise overload the remaining hosts in turn. A host
    without callers may be busy with a change of the configuration, which more serving hosts would not relieve.
    """
    with_room = 0
    for entry in members:
        yield entry
        with_room += not entry.is_busy
        if with_room == SERVING_PER_DOMAIN:
            return


class Presence:
    """Registration of this host in the store, renewed until the host leaves."""

    def __init__(
        self,
        store: LeaseStore,
        entry: HostEntry,
        clock: Callable[[], float],
        is_serving: Callable[[], bool] = lambda: True,
        rng: random.Random | None = None,
        is_spare: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create the registration of an entry; is_spare tells whether callers do without this host."""
        self._is_spare = is_spare
        self._store = store
        self._entry = entry
        self._is_serving = is_serving
        self._clock = clock
        self._key = Key(HOST_PREFIX + entry.host)
        self._lease: LeaseId | None = None
        self._leaving = False
        self._rewrite = anyio.Event()
        self._random = rng or random.Random()
        self._registered_era = NO_ERA
        self._registrations = 0
        self._is_restoring = False

    @property
    def lease(self) -> LeaseId | None:
        """Return the lease of this host's keys, if there is one."""
        return self._lease

    async def run(self) -> None:
        """Register this host and renew its lease until cancelled."""
        failures = 0
        while not self._leaving:
            ttl_s = LEASE_TTL_S if self._is_serving() else IDLE_LEASE_TTL_S
            outcome = await self._store.grant_lease(ttl_s)
            if not isinstance(outcome, LeaseGranted):
                await anyio.sleep(self._retry_interval_s(failures))
                failures += 1
                continue
            failures = 0
            self._lease = outcome.id
            self._rewrite = anyio.Event()
            self._is_restoring = False
            if await self._register(outcome.id):
                await self._renew(outcome.id, ttl_s)

    def update(self, entry: HostEntry) -> None:
        """Replace the entry and write it to the store."""
        self._entry = entry
        self._rewrite.set()

    def reregister(self) -> None:
        """Write the entry again after the store has removed it."""
        if not self._leaving:
            emit(Event.HOST_ENTRY_LOST, host=self._entry.host)
            self._rewrite.set()

    def restore(self, era: Era) -> None:
        """Register again after a return of the store, which has forgotten the lease, unless it has been done."""
        if era <= self._registered_era or self._leaving:
            return
        # Another host's lease may be given the id of the lost one.
        self._lease = None
        self._is_restoring = True
        self._rewrite.set()
        emit(Event.STORE_WRITTEN_AGAIN, what=self._key, era=era)

    async def leave(self) -> None:
        """Remove the entry, so that callers are no longer sent to this host."""
        self._leaving = True
        if self._lease is not None:
            await self._store.release_lease(self._lease)

    def _retry_interval_s(self, failures: int) -> float:
        if not self._is_spare():
            return RETRY_INTERVAL_S
        interval_s = min(MAX_IDLE_RETRY_INTERVAL_S, RETRY_INTERVAL_S * 2**failures)
        return interval_s * self._random.uniform(0.5, 1.0)

    async def _register(self, lease: LeaseId) -> bool:
        value = msgspec.json.encode(msgspec.structs.replace(self._entry, registrations=self._registrations))
        self._registrations += 1
        while not self._leaving:
            match await self._store.put(self._key, value, lease):
                case Applied(revision):
                    self._registered_era = revision.era
                    return True
                case LeaseLost():
                    return False
            await anyio.sleep(RETRY_INTERVAL_S)
        return False

    async def _renew(self, lease: LeaseId, ttl_s: float) -> None:
        while not self._leaving:
            is_serving = self._is_serving()
            if is_serving != (ttl_s == LEASE_TTL_S):
                # The host started or stopped serving, so the entry needs a lease with the other TTL.
                return
            with anyio.move_on_after(RENEW_INTERVAL_S if is_serving else IDLE_RENEW_INTERVAL_S):
                await self._rewrite.wait()
                if not self._is_restoring:
                    return
            if self._is_restoring:
                await anyio.sleep(self._random.uniform(0.0, MAX_RESTORE_DELAY_S))
                return
            match await self._store.renew_lease(lease, ttl_s):
                case LeaseLost():
                    return
