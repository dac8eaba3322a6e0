"""In-memory store with configurable faults, for tests on a virtual clock."""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

import anyio

from hawthornbridge.store import (
    ABSENT,
    VALUE_LIMIT_BYTES,
    Ambiguous,
    Applied,
    Conflict,
    Found,
    Key,
    LeaseGranted,
    LeaseId,
    LeaseLost,
    LeaseOutcome,
    Listed,
    ListOutcome,
    Missing,
    ReadOutcome,
    Revision,
    Unavailable,
    WatchOutcome,
    WatchTimeout,
    WriteOutcome,
)

__all__ = ["Fault", "MemoryStore", "StoreFaults", "StoreState"]

OutcomeT = TypeVar("OutcomeT")


class Fault(Enum):
    """Fault of one call; a lost call is lost before or after it takes effect."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"


@dataclass
class StoreFaults:
    """Faults of the store as one client sees it; every field may be changed while it runs.

    The fault of a call comes from next_calls; once next_calls is empty, choose decides.
    """

    unavailable: bool = False
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    watch_lag_s: float = 0.0
    next_calls: deque[Fault] = field(default_factory=deque)
    choose: Callable[[str], Fault] | None = None

    def next(self, kind: str) -> Fault:
        """Return the fault of the next call of this kind."""
        if self.unavailable:
            return Fault.UNAVAILABLE
        if self.next_calls:
            return self.next_calls.popleft()
        return self.choose(kind) if self.choose is not None else Fault.NONE


@dataclass(frozen=True, slots=True)
class _StoredValue:
    value: bytes
    revision: Revision
    written_s: float
    lease: LeaseId | None


class StoreState:
    """Keys and leases that all clients share, with the number of calls by kind."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self._values: dict[Key, _StoredValue] = {}
        self._leases: dict[LeaseId, float] = {}
        self._pending: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count(1)
        self._revision = 0
        self._changed = anyio.Event()

    @property
    def keys(self) -> list[Key]:
        """Return the keys that hold a value, in order."""
        self.apply_due()
        return sorted(self._values)

    def expire_lease(self, lease: LeaseId) -> None:
        """Expire a lease immediately."""
        self._leases[lease] = -1.0
        self.apply_due()

    def apply_due(self) -> None:
        """Apply the pending writes that are due, and end the leases that have expired."""
        now_s = anyio.current_time()
        while self._pending and self._pending[0][0] <= now_s:
            heapq.heappop(self._pending)[2]()
        for lease in [lease for lease, expires_s in self._leases.items() if expires_s <= now_s]:
            self.end(lease)

    def schedule(self, delay_s: float, effect: Callable[[], None]) -> None:
        """Schedule an effect, which takes place even if the client has given up by then."""
        heapq.heappush(self._pending, (anyio.current_time() + delay_s, next(self._sequence_numbers), effect))

    def read(self, key: Key) -> Found | Missing:
        """Return the value of a key."""
        stored = self._values.get(key)
        return Missing(key) if stored is None else Found(key, stored.value, stored.revision)

    def list_prefix(self, prefix: Key) -> Listed:
        """Return the values below a prefix, in order of their keys."""
        found = sorted((key, stored) for key, stored in self._values.items() if key.startswith(prefix))
        return Listed(tuple(Found(key, stored.value, stored.revision) for key, stored in found))

    def age_s(self, key: Key) -> float:
        """Return the time since a key's last write."""
        stored = self._values.get(key)
        return float("inf") if stored is None else anyio.current_time() - stored.written_s

    def write(self, key: Key, value: bytes | None, expected: Revision, lease: LeaseId | None) -> Applied | Conflict:
        """Write a key, or delete it if there is no value, if its revision is the expected one."""
        current = self.read(key)
        revision = current.revision if isinstance(current, Found) else ABSENT
        if revision != expected or (lease is not None and lease not in self._leases):
            return Conflict(current)
        self._revision += 1
        if value is None:
            self._values.pop(key, None)
        else:
            self._values[key] = _StoredValue(value, Revision(self._revision), anyio.current_time(), lease)
        self._notify_watches()
        return Applied(Revision(self._revision))

    def grant(self, ttl_s: float) -> LeaseId:
        """Grant a lease."""
        lease = LeaseId(f"lease-{next(self._sequence_numbers)}")
        self._leases[lease] = anyio.current_time() + ttl_s
        return lease

    def renew(self, lease: LeaseId, ttl_s: float) -> bool:
        """Renew a lease; return False if it has ended."""
        if lease not in self._leases:
            return False
        self._leases[lease] = anyio.current_time() + ttl_s
        return True

    def end(self, lease: LeaseId) -> bool:
        """End a lease and remove the keys written under it; return False if it had already ended."""
        if self._leases.pop(lease, None) is None:
            return False
        for key in [key for key, stored in self._values.items() if stored.lease == lease]:
            del self._values[key]
            self._revision += 1
        self._notify_watches()
        return True

    async def wait(self, until_s: float) -> None:
        """Wait until a value changes, a pending effect or a lease expiry is due, or the given time is reached."""
        due = [until_s, *(entry[0] for entry in self._pending[:1]), *self._leases.values()]
        changed = self._changed
        with anyio.move_on_at(min(due)):
            await changed.wait()
        self.apply_due()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class MemoryStore:
    """Client of a store state with its own faults; clients of the same state see the same keys."""

    def __init__(self, state: StoreState | None = None, faults: StoreFaults | None = None) -> None:
        self.state = state if state is not None else StoreState()
        self.faults = faults if faults is not None else StoreFaults()

    async def get(self, key: Key) -> ReadOutcome:
        """Read one key."""
        if not await self._receive_call("get"):
            return Unavailable("injected fault")
        outcome = self.state.read(key)
        await anyio.sleep(self.faults.answer_delay_s)
        return outcome

    async def list(self, prefix: Key) -> ListOutcome:
        """Read all keys below a prefix."""
        if not await self._receive_call("list"):
            return Unavailable("injected fault")
        outcome = self.state.list_prefix(prefix)
        await anyio.sleep(self.faults.answer_delay_s)
        return outcome

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if its revision is the expected one; with a lease, the key is removed when the lease ends."""
        if len(value) > VALUE_LIMIT_BYTES:
            self.state.calls["compare_and_swap"] += 1
            return Unavailable(f"the value is larger than {VALUE_LIMIT_BYTES} bytes")
        return await self._change("compare_and_swap", lambda: self.state.write(key, value, expected, lease))

    async def delete(self, key: Key, expected: Revision) -> WriteOutcome:
        """Delete a key if its revision is the expected one."""
        return await self._change("delete", lambda: self.state.write(key, None, expected, None))

    async def watch(self, key: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait until a key has a revision above this one, or until a key that had a value has been deleted."""
        deadline_s = anyio.current_time() + wait_s
        if not await self._receive_call("watch"):
            return Unavailable("injected fault")
        while True:
            current = self.state.read(key)
            changed = current.revision > after if isinstance(current, Found) else after != ABSENT
            lag_s = self.faults.watch_lag_s - self.state.age_s(key) if isinstance(current, Found) else 0.0
            if changed and lag_s <= 0:
                return current
            if anyio.current_time() >= deadline_s:
                return WatchTimeout()
            await self.state.wait(min(deadline_s, anyio.current_time() + lag_s) if changed else deadline_s)
            if self.faults.unavailable:
                return Unavailable("injected fault")

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a lease."""
        sent_s = anyio.current_time()
        return await self._change("grant_lease", lambda: LeaseGranted(self.state.grant(ttl_s), sent_s + ttl_s))

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseOutcome:
        """Renew a lease."""
        sent_s = anyio.current_time()

        def renew() -> LeaseGranted | LeaseLost:
            return LeaseGranted(lease, sent_s + ttl_s) if self.state.renew(lease, ttl_s) else LeaseLost(lease)

        return await self._change("renew_lease", renew)

    async def release_lease(self, lease: LeaseId) -> LeaseOutcome | None:
        """Release a lease, which removes the keys written under it."""

        def release() -> LeaseLost | None:
            return None if self.state.end(lease) else LeaseLost(lease)

        return await self._change("release_lease", release)

    async def _receive_call(self, kind: str) -> bool:
        self.state.calls[kind] += 1
        fault = self.faults.next(kind)
        await anyio.sleep(self.faults.delay_s)
        self.state.apply_due()
        return fault is Fault.NONE

    async def _change(self, kind: str, effect: Callable[[], OutcomeT]) -> OutcomeT | Unavailable | Ambiguous:
        self.state.calls[kind] += 1
        fault = self.faults.next(kind)
        if fault is Fault.UNAVAILABLE:
            await anyio.sleep(self.faults.delay_s)
            return Unavailable("injected fault")
        outcomes: list[OutcomeT] = []
        if fault is not Fault.LOST_BEFORE:
            self.state.schedule(self.faults.delay_s, lambda: outcomes.append(effect()))
        await anyio.sleep(self.faults.delay_s)
        self.state.apply_due()
        await anyio.sleep(self.faults.answer_delay_s)
        return outcomes[0] if fault is Fault.NONE else Ambiguous("injected fault")
