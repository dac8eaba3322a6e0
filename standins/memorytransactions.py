"""In-memory store with transactions, leases and watches, for entry hosts on a virtual clock."""

import itertools
import json
from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio

from hawthornbridge.store import (
    ABSENT,
    Applied,
    Conflict,
    Found,
    Key,
    LeaseGranted,
    LeaseId,
    LeaseLost,
    Missing,
    Revision,
    Unavailable,
)
from hawthornbridge.storecopies import Changes, HistoryGone, Removed, Snapshot

__all__ = ["MemoryTransactionStore", "TransactionClient"]

ANSWER_DELAY_S = 0.004


@dataclass
class MemoryTransactionStore:
    """Keys, their history and leases; each host has its own client, which can be disconnected."""

    items: dict[Key, Found] = field(default_factory=dict)
    history: list[Found | Removed] = field(default_factory=list)
    # The rollout states that were written, by key and in order, and the time of the last write of each key.
    statuses: list[tuple[Key, str]] = field(default_factory=list)
    times_s: dict[Key, float] = field(default_factory=dict)
    revision: int = 1
    leases: dict[LeaseId, tuple[float, float]] = field(default_factory=dict)
    lease_keys: dict[Key, LeaseId] = field(default_factory=dict)
    _lease_ids: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    _changed: anyio.Event = field(default_factory=anyio.Event)

    def client(self) -> "TransactionClient":
        """Return a new client."""
        return TransactionClient(self)

    def put(self, key: str, value: bytes, lease: LeaseId | None = None) -> None:
        """Write one key."""
        self.revision += 1
        found = Found(Key(key), value, Revision(self.revision))
        self.items[found.key] = found
        self.times_s[found.key] = anyio.current_time()
        if lease is not None:
            self.lease_keys[found.key] = lease
        if key.startswith("status/"):
            self.statuses.append((found.key, json.loads(value)["state"]))
        self._record_event(found)

    def remove(self, key: Key) -> None:
        """Remove one key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event(Removed(key, Revision(self.revision)))

    def written_s(self, key: Key) -> float:
        """Return when a key was last written."""
        return self.times_s[key]

    def expire(self) -> None:
        """End the leases that have expired, and remove their keys."""
        now_s = anyio.current_time()
        for lease in [lease for lease, (_, due_s) in self.leases.items() if due_s <= now_s]:
            del self.leases[lease]
            for key in [key for key, owner in self.lease_keys.items() if owner == lease]:
                del self.lease_keys[key]
                self.remove(key)

    async def wait_change(self) -> None:
        """Wait for the next change of any key."""
        await self._changed.wait()

    def open_lease(self, ttl_s: float) -> LeaseId:
        """Grant a lease."""
        lease = LeaseId(str(next(self._lease_ids)))
        self.leases[lease] = (ttl_s, anyio.current_time() + ttl_s)
        return lease

    def _record_event(self, event: Found | Removed) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = anyio.Event()


class TransactionClient:
    """Store client of one host."""

    def __init__(self, memory: MemoryTransactionStore) -> None:
        self._memory = memory
        self.is_down = False
        # Whether this client has moved a rollout.
        self.has_moved_rollout = False

    async def read_all(self, prefix: Key) -> Snapshot | Unavailable:
        """Read every key below a prefix."""
        if await self._is_disconnected():
            return Unavailable("disconnected")
        values = tuple(item for key, item in self._memory.items.items() if key.startswith(prefix))
        return Snapshot(values, Revision(self._memory.revision))

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> Changes | HistoryGone | Unavailable:
        """Wait for changes of keys below the prefix after a revision; return none after the wait time."""
        if await self._is_disconnected():
            return Unavailable("disconnected")
        with anyio.move_on_after(wait_s):
            while self._memory.revision <= after:
                await self._memory.wait_change()
        if self.is_down:
            return Unavailable("disconnected")
        events = tuple(event for event in self._memory.history if event.revision > after)
        return Changes(events, Revision(self._memory.revision))

    async def get(self, key: Key) -> Found | Missing | Unavailable:
        """Read one key."""
        if await self._is_disconnected():
            return Unavailable("disconnected")
        return self._memory.items.get(key, Missing(key))

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> Applied | Conflict | Unavailable:
        """Write a key if its revision is the expected one."""
        return await self.transact({key: expected}, {key: value}, lease)

    async def transact(
        self, expected: Mapping[Key, Revision], puts: Mapping[Key, bytes], lease: LeaseId | None = None
    ) -> Applied | Conflict | Unavailable:
        """Write all keys if every expected key has its expected revision."""
        if await self._is_disconnected():
            return Unavailable("disconnected")
        memory = self._memory
        for key, revision in expected.items():
            current = memory.items.get(key)
            if (ABSENT if current is None else current.revision) != revision:
                return Conflict(current or Missing(key))
        for key, value in puts.items():
            memory.put(key, value, lease)
        self.has_moved_rollout = self.has_moved_rollout or any(key.startswith("status/") for key in puts)
        return Applied(Revision(memory.revision))

    async def put(self, key: Key, value: bytes, lease: LeaseId) -> Applied | Unavailable:
        """Write a key under a lease."""
        if await self._is_disconnected():
            return Unavailable("disconnected")
        self._memory.put(key, value, lease)
        return Applied(Revision(self._memory.revision))

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable:
        """Grant a lease."""
        if await self._is_disconnected():
            return Unavailable("disconnected")
        return LeaseGranted(self._memory.open_lease(ttl_s), anyio.current_time() + ttl_s)

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease."""
        if await self._is_disconnected():
            return Unavailable("disconnected")
        if lease not in self._memory.leases:
            return LeaseLost(lease)
        self._memory.leases[lease] = (ttl_s, anyio.current_time() + ttl_s)
        return LeaseGranted(lease, anyio.current_time() + ttl_s)

    async def release_lease(self, lease: LeaseId) -> LeaseLost | Unavailable | None:
        """End a lease and remove its keys."""
        if await self._is_disconnected():
            return Unavailable("disconnected")
        ttl_s, _ = self._memory.leases.get(lease, (0.0, 0.0))
        self._memory.leases[lease] = (ttl_s, 0.0)
        self._memory.expire()
        return None

    async def _is_disconnected(self) -> bool:
        await anyio.sleep(ANSWER_DELAY_S)
        self._memory.expire()
        return self.is_down
