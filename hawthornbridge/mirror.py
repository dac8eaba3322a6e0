"""Copy of the store's keys below a prefix, kept current by a watch."""

import itertools
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf
from typing import Protocol, TypeAlias

import anyio

from hawthornbridge.events import Event, emit
from hawthornbridge.store import ABSENT, Found, Key, Revision, Unavailable

__all__ = ["Changes", "HeldKey", "HistoryGone", "Mirror", "Removed", "Snapshot", "WatchableStore"]

# A watch that gets no answer tells that the connection or the store is silent only after this time.
WATCH_S = 1.5
# Changes mostly come several at a time; a short pause after each collects them in fewer calls.
COLLECT_S = 0.12
FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 0.8
# Entries whose leases lapsed during an outage are written again within about 2 s of its end.
LAPSE_GRACE_S = 2.1
# A host that follows this one and has missed more changes reads everything anew.
LOG_LENGTH = 2_000


@dataclass(frozen=True, slots=True)
class HeldKey:
    """Name a key that the store has removed and that is kept a while, because its lease may only have lapsed."""

    key: Key
    left_s: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold all keys below a prefix; pages may be of different revisions, none older than revision.

    A snapshot from another host is age_s old, and may only name keys that the reader has at the same revision.
    """

    values: tuple[Found, ...]
    revision: Revision
    held: tuple[HeldKey, ...] = ()
    age_s: float = 0.0
    unchanged: tuple[Key, ...] = ()


@dataclass(frozen=True, slots=True)
class Removed:
    """Say that a key was removed at this revision."""

    key: Key
    revision: Revision


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold what changed after a revision, in order; empty if the watch ended without a change.

    Changes from another host are as that host knew the store age_s ago.
    """

    events: tuple[Found | Removed, ...]
    revision: Revision
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Say that the store no longer has the changes after the revision asked for."""


WatchOutcome: TypeAlias = Changes | Snapshot | HistoryGone | Unavailable


class WatchableStore(Protocol):
    """Read and watch all keys below a prefix."""

    async def read_all(self, prefix: Key) -> Snapshot | Unavailable:
        """Read every key below a prefix."""

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait until something below the prefix changes after a revision."""


class Mirror:
    """Keep a copy of the store's keys and report each change; a value of None says that the key is gone.

    A key that is written again with the same value is reported only if reports_rewrites says that each write counts.
    A key that vanishes just after an outage may only have lost its lease, so its removal is reported after a grace
    unless the key is back by then.
    """

    def __init__(
        self,
        store: WatchableStore,
        prefix: Key,
        on_change: Callable[[Key, bytes | None], None],
        may_lapse: Callable[[Key], bool],
        clock: Callable[[], float],
        fallback: Callable[[Revision], Awaitable[Snapshot | None]] | None = None,
        reports_rewrites: Callable[[Key], bool] = lambda key: False,
    ) -> None:
        self.is_synced = False
        self.read_s = -inf
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._may_lapse = may_lapse
        self._clock = clock
        self._fallback = fallback
        self._reports_rewrites = reports_rewrites
        self._values: dict[Key, Found] = {}
        self._revision = Revision(0)
        self._regained_s = -inf
        self._is_down = False
        self._held: dict[Key, float] = {}
        # Every change as it was reported, for hosts that follow this one.
        self._log: deque[Found | Removed] = deque(maxlen=LOG_LENGTH)
        self._logged = 0
        self._log_grew = anyio.Event()
        self._backoff_s = FIRST_BACKOFF_S

    def snapshot(self) -> Snapshot | None:
        """Return the copy as it is now, or None before the first read."""
        if not self.is_synced:
            return None
        now_s = self._clock()
        held = tuple(HeldKey(key, due_s - now_s) for key, due_s in self._held.items())
        return Snapshot(tuple(self._values.values()), self._revision, held, self.age_s)

    def revision_of(self, key: Key) -> Revision:
        """Return the revision at which a key stands, or ABSENT."""
        known = self._values.get(key)
        return ABSENT if known is None else known.revision

    @property
    def age_s(self) -> float:
        """Return how long ago the store was last read."""
        return self._clock() - self.read_s

    @property
    def cursor(self) -> int:
        """Return the number of changes reported so far."""
        return self._logged

    def changes_after(self, cursor: int) -> Changes | HistoryGone:
        """Return the changes reported after a cursor."""
        missed = self._logged - cursor
        if missed < 0 or missed > len(self._log):
            return HistoryGone()
        events = tuple(itertools.islice(self._log, len(self._log) - missed, None))
        return Changes(events, self._revision, self.age_s)

    async def wait_change(self) -> None:
        """Return once a change is reported."""
        await self._log_grew.wait()

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            match await self._store.read_all(self._prefix):
                case Unavailable(detail):
                    await self._back_off(detail)
                case Snapshot() as snapshot:
                    self._heard(snapshot.age_s)
                    self._reconcile(snapshot)
                    await self._follow()

    async def _follow(self) -> None:
        """Apply changes until the store has no history from here on."""
        while True:
            match await self._store.watch_prefix(self._prefix, self._revision, self._wait_s()):
                case Unavailable(detail):
                    await self._back_off(detail)
                case HistoryGone():
                    emit(Event.STORE_HISTORY_GONE, revision=self._revision)
                    return
                case Snapshot() as snapshot:
                    self._heard(snapshot.age_s)
                    self._reconcile(snapshot)
                case Changes(events, revision, age_s):
                    self._heard(age_s)
                    for event in events:
                        self._apply(event)
                    self._revision = max(self._revision, revision)
                    self._report_lapsed()
                    if events:
                        await anyio.sleep(COLLECT_S)

    def _wait_s(self) -> float:
        if not self._held:
            return WATCH_S
        return min(WATCH_S, max(0.05, min(self._held.values()) - self._clock()))

    async def _back_off(self, detail: str) -> None:
        if not self._is_down:
            self._is_down = True
            emit(Event.STORE_LOST, detail=detail, revision=self._revision)
        await self._take_fallback()
        if not self.is_synced:
            # Nothing is served before the first read, so a late one costs more than a few calls.
            await anyio.sleep(FIRST_BACKOFF_S)
            return
        await anyio.sleep(self._backoff_s)
        self._backoff_s = min(LONGEST_BACKOFF_S, self._backoff_s * 2)

    async def _take_fallback(self) -> None:
        snapshot = None if self._fallback is None else await self._fallback(self._revision)
        if snapshot is None or snapshot.revision <= self._revision:
            return
        self._reconcile(snapshot)
        now_s = self._clock()
        revisions = {found.key: found.revision for found in snapshot.values}
        for each in snapshot.held:
            known = self._values.get(each.key)
            # The store will not report these again, because it removed them before the snapshot's revision. A key that
            # has been written again here, or whose grace has just ended here, is not concerned.
            if known is not None and known.revision == revisions[each.key]:
                self._held.setdefault(each.key, now_s + each.left_s)

    def _heard(self, age_s: float) -> None:
        now_s = self._clock()
        self._backoff_s = FIRST_BACKOFF_S
        if self._is_down:
            self._is_down = False
            self._regained_s = now_s
            emit(Event.STORE_REGAINED, silent_s=round(now_s - self.read_s, 3), revision=self._revision)
        self.read_s = max(self.read_s, now_s - age_s)

    def _reconcile(self, snapshot: Snapshot) -> None:
        present = {found.key for found in snapshot.values}.union(snapshot.unchanged)
        for found in snapshot.values:
            self._apply(found)
        for key in self._values.keys() - present:
            if self._values[key].revision <= snapshot.revision:
                self._apply(Removed(key, snapshot.revision))
        self._revision = snapshot.revision
        self.is_synced = True
        self._report_lapsed()

    def _apply(self, event: Found | Removed) -> None:
        known = self._values.get(event.key)
        match event:
            case Found(key, value, revision):
                if known is not None and known.revision >= revision:
                    return
                self._values[key] = event
                self._held.pop(key, None)
                if known is None or known.value != value or self._reports_rewrites(key):
                    self._report(event)
            case Removed(key, revision):
                if known is None or known.revision > revision or key in self._held:
                    return
                if self._clock() < self._regained_s + LAPSE_GRACE_S and self._may_lapse(key):
                    self._held[key] = self._regained_s + LAPSE_GRACE_S
                    return
                del self._values[key]
                self._report(event)

    def _report(self, event: Found | Removed) -> None:
        self._log.append(event)
        self._logged += 1
        self._log_grew.set()
        self._log_grew = anyio.Event()
        self._on_change(event.key, event.value if isinstance(event, Found) else None)

    def _report_lapsed(self) -> None:
        now_s = self._clock()
        for key in [key for key, due_s in self._held.items() if due_s <= now_s]:
            del self._held[key]
            del self._values[key]
            self._report(Removed(key, self._revision))
