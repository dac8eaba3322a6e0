"""Copy of the store's keys below a prefix, kept current by a watch."""

import itertools
from collections import deque
from collections.abc import Awaitable, Callable, Container
from dataclasses import replace
from math import inf

import anyio

from hawthornbridge.events import Event, emit
from hawthornbridge.store import ABSENT, FIRST_ERA, Era, Found, Key, Revision, Unavailable
from hawthornbridge.storecopies import Changes, HeldKey, HistoryGone, Removed, Snapshot, WatchableStore
from hawthornbridge.storereturn import (
    Ended,
    Kept,
    ReturnRules,
    WriterCount,
    count_nothing,
    is_settled,
    report_return,
    report_settled,
)

__all__ = ["Mirror"]

# A silent connection or store is only detected when a watch has had no answer for this time.
WATCH_TIMEOUT_S = 1.5
# Changes mostly arrive in bursts; a short delay after each collects the rest in fewer calls.
BATCH_DELAY_S = 0.12
# A store may cut a watch that is waiting, which is repeated at once. A store that is out of service refuses a watch
# sooner than this, or does not answer until the watch times out.
MIN_CUT_WATCH_S = 0.2
CUT_RETRY_DELAY_S = 0.02
BASE_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Used instead where the age of the copy is bounded, since each delay lengthens the time without a confirmation.
MAX_BOUNDED_BACKOFF_S = 0.4
# Shortest wait of a watch that has to confirm the copy soon.
MIN_CONFIRMING_WATCH_S = 0.3
# A short wait shows soon that a lost store has returned, because a call that it never answers times out sooner.
LOST_WATCH_WAIT_S = 0.1
# Hosts and leaves whose leases lapsed during an outage write their entries again within about 2 s of its end.
LAPSE_GRACE_S = 2.1
# The store may have returned right after the last call that it did not answer was sent. Removals have to be in force
# 4 s after its return, and a host that follows this one learns of them a little later.
MAX_HOLD_S = 3.5
# A host that follows this one and has missed more changes has to read all keys again.
CHANGE_LOG_LIMIT = 2_000


class Mirror:
    """Local copy of the store's keys that reports each change; a value of None means that the key was removed.

    A key that is written again with the same value is reported only if reports_rewrites returns true for it. A key
    that is removed just after an outage may only have lost its lease, so the removal is reported after a grace period
    and only if the key has not been written again by then. After a return of the store from an older copy, what the
    copy does not know yet stays in force as storereturn.py decides.
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
        refresh_age_s: Callable[[], float] = lambda: inf,
        writer_count: Callable[[Key, bytes], WriterCount | None] = count_nothing,
    ) -> None:
        """Create an empty copy, which a store that answers confirms before it is refresh_age_s old."""
        self.is_synced = False
        self.read_s = -inf
        # The copy surely reflects the store as it was at this time. An answer to a watch tells of a time between the
        # call and its arrival, so this may be earlier than read_s.
        self.confirmed_s = -inf
        self.needs_read = False
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._may_lapse = may_lapse
        self._clock = clock
        self._fallback = fallback
        self._reports_rewrites = reports_rewrites
        self._refresh_age_s = refresh_age_s
        self._next_call_s = -inf
        self._values: dict[Key, Found] = {}
        self._revision = Revision(0)
        self._is_down = False
        self._was_cut = False
        # Start of the last call that failed, until which the store may have been away.
        self._lost_call_s = -inf
        # Removals are held until this time, since the key's lease may only have lapsed in an outage.
        self._hold_until_s = -inf
        # Until this time, keys that were missing at the first read may still be written again.
        self._first_grace_until_s = -inf
        self._held: dict[Key, float] = {}
        self._rules = ReturnRules(may_lapse, writer_count)
        # Keys for which this host's own knowledge replaces what the store holds.
        self._kept: dict[Key, Kept] = {}
        # Keys that were removed, oldest first.
        self._ended: dict[Key, Ended] = {}
        self._on_era_change: list[Callable[[Era], None]] = []
        # Every change as it was reported, for hosts that follow this one.
        self._log: deque[Found | Removed] = deque(maxlen=CHANGE_LOG_LIMIT)
        self._log_count = 0
        self._log_extended = anyio.Event()
        self._backoff_s = BASE_BACKOFF_S

    def snapshot(self) -> Snapshot | None:
        """Return a snapshot of the current copy, or None before the first read."""
        if not self.is_synced:
            return None
        now_s = self._clock()
        held = tuple(HeldKey(key, due_s - now_s) for key, due_s in self._held.items())
        grace_s = max(0.0, self._hold_until_s - now_s, self._first_grace_until_s - now_s)
        stored = tuple(kept.stored for kept in self._kept.values() if kept.stored is not None)
        return Snapshot(tuple(self._values.values()), self._revision, held, self.age_s, grace_s=grace_s, stored=stored)

    def revision_of(self, key: Key) -> Revision:
        """Return the revision of a key, or ABSENT."""
        kept = self._kept.get(key)
        stored = self._values.get(key) if kept is None else kept.stored
        return ABSENT if stored is None else stored.revision

    def is_stored(self, key: Key) -> bool:
        """Return whether the store holds the value that is in force here."""
        return key in self._values and key not in self._kept

    def on_era_change(self, callback: Callable[[Era], None]) -> None:
        """Call back with the new era after each return of the store from an older copy."""
        self._on_era_change.append(callback)

    @property
    def era(self) -> Era:
        """Return the era of the copy."""
        return self._revision.era

    @property
    def age_s(self) -> float:
        """Return how long ago the store was last read."""
        return self._clock() - self.read_s

    @property
    def now_s(self) -> float:
        """Return the time on the clock of this copy's ages."""
        return self._clock()

    @property
    def contact_in_s(self) -> float:
        """Return the time until the store is called again, or 0 if a call is in progress."""
        return max(0.0, self._next_call_s - self._clock())

    @property
    def cursor(self) -> int:
        """Return the number of changes reported so far."""
        return self._log_count

    def changes_after(self, cursor: int) -> Changes | HistoryGone:
        """Return the changes reported after a cursor."""
        missed = self._log_count - cursor
        if missed < 0 or missed > len(self._log):
            return HistoryGone()
        events = tuple(itertools.islice(self._log, len(self._log) - missed, None))
        return Changes(events, self._revision, self.age_s)

    async def wait_change(self) -> None:
        """Return once a change is reported or the copy is confirmed."""
        await self._log_extended.wait()

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            started_s = self._clock()
            match await self._store.read_all(self._prefix):
                case Unavailable(detail):
                    await self._back_off(detail, started_s)
                case Snapshot() as snapshot:
                    if not self.is_synced and snapshot.revision.era > FIRST_ERA:
                        # A copy of another host tells what the store itself may have forgotten.
                        await self._apply_fallback()
                    if self.accept(snapshot):
                        self.needs_read = False
                        await self._follow()
                    else:
                        await self._back_off("a copy of an earlier era", started_s)

    async def _follow(self) -> None:
        """Apply changes until the store no longer has the history after the current revision."""
        while True:
            started_s, wait_s = self._clock(), self._watch_timeout_s()
            match await self._store.watch_prefix(self._prefix, self._revision, wait_s):
                case Unavailable() if self._is_cut(self._clock() - started_s, wait_s):
                    self._was_cut = True
                    await anyio.sleep(CUT_RETRY_DELAY_S)
                case Unavailable(detail):
                    await self._back_off(detail, started_s)
                    if self.needs_read:
                        return
                case HistoryGone():
                    emit(Event.STORE_HISTORY_GONE, revision=self._revision.number, era=self.era)
                    return
                case Snapshot() | Changes() as answer:
                    if answer.revision.era > self.era and isinstance(answer, Changes):
                        # The first copy of an era is compared with what this host knows.
                        return
                    if not self.accept(answer):
                        await self._back_off("changes of an earlier era", started_s)
                    elif isinstance(answer, Changes) and answer.events:
                        await anyio.sleep(BATCH_DELAY_S)

    def accept(self, answer: Snapshot | Changes) -> bool:
        """Apply an answer of the store or of another host; return False if it is of an earlier era."""
        if answer.revision.era < self.era:
            return False
        self._record_contact(answer.age_s)
        match answer:
            case Snapshot():
                self._reconcile(answer)
            case Changes(events, revision, _, grace_s, confirmed_s):
                for event in events:
                    if isinstance(event, Found) and is_settled(event, self._kept.get(event.key)):
                        self._kept[event.key] = Kept(event, self._clock())
                    self._apply(event, grace_s)
                self._revision = max(self._revision, revision)
                self._confirm(confirmed_s)
                self._end_held()
        return True

    def _is_cut(self, lasted_s: float, wait_s: float) -> bool:
        return not self._is_down and not self._was_cut and MIN_CUT_WATCH_S < lasted_s < wait_s

    def _watch_timeout_s(self) -> float:
        if self._is_down:
            return LOST_WATCH_WAIT_S
        wait_s = WATCH_TIMEOUT_S
        if self._refresh_age_s() < inf:
            left_s = self.confirmed_s + self._refresh_age_s() - self._clock()
            wait_s = min(wait_s, max(MIN_CONFIRMING_WATCH_S, left_s))
        due_s = min([*self._held.values(), *(kept.until_s for kept in self._kept.values())], default=inf)
        return min(wait_s, max(0.05, due_s - self._clock()))

    def _record_loss(self, detail: str, call_s: float) -> None:
        self._lost_call_s = call_s
        if not self._is_down:
            self._is_down = True
            emit(Event.STORE_LOST, detail=detail, revision=self._revision.number)

    async def _back_off(self, detail: str, call_s: float) -> None:
        self._record_loss(detail, call_s)
        await self._apply_fallback()
        if not self.is_synced:
            # The host serves nothing before the first read, so it retries without increasing the delay.
            await anyio.sleep(BASE_BACKOFF_S)
            return
        self._next_call_s = self._clock() + self._backoff_s
        await anyio.sleep(self._backoff_s)
        max_s = MAX_BACKOFF_S if self._refresh_age_s() == inf else MAX_BOUNDED_BACKOFF_S
        self._backoff_s = min(max_s, self._backoff_s * 2)

    async def _apply_fallback(self) -> None:
        snapshot = None if self._fallback is None else await self._fallback(self._revision)
        if snapshot is not None:
            self.take_copy(snapshot)

    def take_copy(self, snapshot: Snapshot) -> None:
        """Apply a copy of another host, which has to be newer, while the store can't be reached."""
        if snapshot.revision <= self._revision:
            if snapshot.revision.era == self.era:
                # This copy has every change that the other one has; one of an earlier era may have what was forgotten.
                self._confirm(snapshot.confirmed_s)
            return
        # What the other host keeps from an earlier era ends at a time that only a read of the store tells.
        self.needs_read = any(found.revision.era < snapshot.revision.era for found in snapshot.values)
        self._reconcile(snapshot)

    def _take_held(self, snapshot: Snapshot) -> None:
        now_s = self._clock()
        revisions = {found.key: found.revision for found in snapshot.values}
        for each in snapshot.held:
            known = self._values.get(each.key)
            # The store removed these keys before the revision of the snapshot and will not report the removal again,
            # so their grace period has to be taken over. A key that has been written again here, or whose grace period
            # has already ended here, is left as it is.
            if known is not None and known.revision == revisions[each.key]:
                self._held.setdefault(each.key, now_s + each.left_s)

    def _record_contact(self, age_s: float) -> None:
        now_s = self._clock()
        self._backoff_s = BASE_BACKOFF_S
        self._was_cut = False
        if not self.is_synced:
            self._first_grace_until_s = now_s + LAPSE_GRACE_S
        if self._is_down:
            self._is_down = False
            self._hold_until_s = min(now_s + LAPSE_GRACE_S, self._lost_call_s + MAX_HOLD_S)
            emit(Event.STORE_REGAINED, silent_s=round(now_s - self.read_s, 3), revision=self._revision.number)
        self.read_s = max(self.read_s, now_s - age_s)

    def _reconcile(self, snapshot: Snapshot) -> None:
        before = self.era
        is_return = self.is_synced and snapshot.revision.era > before
        if is_return:
            self._keep_what_may_not_revert(snapshot)
        present = {found.key for found in snapshot.values}.union(snapshot.unchanged)
        for found in snapshot.values:
            self._apply(replace(found, taken=snapshot.revision) if self._is_missed(found, snapshot) else found)
        self._bound_kept(snapshot, () if is_return else self._kept)
        for key in self._kept.keys() - self._values.keys() - present.union(found.key for found in snapshot.stored):
            # The store has removed a key of its copy that is not used here.
            del self._kept[key]
        for key in self._values.keys() - present:
            if self._values[key].revision <= snapshot.revision:
                self._apply(Removed(key, snapshot.revision), snapshot.grace_s)
        self._revision = max(self._revision, snapshot.revision)
        self.is_synced = True
        self._take_held(snapshot)
        self._confirm(snapshot.confirmed_s)
        self._end_held()
        if is_return:
            report_return(before, self._revision, self._kept, self._values)
            for callback in self._on_era_change:
                callback(self.era)

    def _is_missed(self, found: Found, snapshot: Snapshot) -> bool:
        """Return whether a key is missing here because a host whose copy was taken after a return had lacked it."""
        if found.key in self._values or not found.revision <= self._revision <= snapshot.revision:
            return False
        is_held = any(each.key == found.key for each in snapshot.held)
        return not is_held and found.revision.era == self.era > FIRST_ERA

    def _keep_what_may_not_revert(self, snapshot: Snapshot) -> None:
        """Compare the first copy of an era with what this host knows, and note what the copy does not replace."""
        now_s = self._clock()
        self._hold_until_s = now_s + min(LAPSE_GRACE_S, snapshot.grace_s)
        # Another host also sends what it keeps from earlier eras.
        stored = {found.key: found for found in snapshot.values if found.revision.era == snapshot.revision.era}
        # What it does not use of the store's copy may have ended here too.
        stored |= {found.key: found for found in snapshot.stored if found.key not in self._values}
        self._held.clear()
        self._kept = self._rules.compare(self._values, self._ended, stored, now_s, self._hold_until_s)

    def _bound_kept(self, snapshot: Snapshot, bounded: Container[Key]) -> None:
        """Keep values of earlier eras, which another host keeps too, no longer than that host does."""
        until_s = self._clock() + min(LAPSE_GRACE_S, snapshot.grace_s)
        bounds = self._rules.bound(self._values, bounded, snapshot, until_s)
        self._kept = {key: kept for key, kept in (self._kept | bounds).items() if kept is not None}
        used = {found.key for found in snapshot.values}
        for found in snapshot.stored:
            kept = self._kept.get(found.key)
            if kept is None and found.key in used:
                self._apply(found)
            elif kept is not None and found.revision > (kept.stored.revision if kept.stored else self._revision):
                self._kept[found.key] = Kept(found, kept.until_s)

    def _confirm(self, confirmed_s: float) -> None:
        """Record, after the changes have been applied, that the copy reflects the store as it was at a time."""
        if confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s
            self._wake_followers()

    def _apply(self, event: Found | Removed, grace_s: float = inf) -> None:
        known = self._values.get(event.key)
        kept = self._kept.get(event.key)
        match event:
            case Found(key, value, revision):
                if kept is not None and kept.stored is not None and revision <= kept.stored.revision:
                    return
                if known is not None and self._rules.has_precedence(event, known):
                    self._kept[key] = Kept(known, inf)
                    self._values[key] = event
                    self._report(event)
                    return
                if known is not None and known.revision >= revision:
                    return
                if known is not None and known.revision.era < revision.era and self._rules.is_earlier(event, known):
                    # Its writer writes again what it wrote before the return, and has not come to the newest value.
                    self._kept[key] = self._rules.keep(known, event, self._clock() + LAPSE_GRACE_S) or Kept(event, inf)
                    return
                if known is None and (event.taken or revision) < self._revision:
                    # The key has been removed since; an older copy, which another host may have, still has it.
                    return
                # A host that follows may have passed the revision of a write that this one has learned of late.
                self._values[key] = event if revision > self._revision else replace(event, taken=self._revision)
                self._held.pop(key, None)
                self._kept.pop(key, None)
                if known is None or known.value != value or self._reports_rewrites(key):
                    self._report(event)
            case Removed(key, revision):
                if kept is not None:
                    self._keep_without_stored(key, kept)
                    return
                if known is None or known.revision > revision or key in self._held:
                    return
                now_s = self._clock()
                hold_until_s = min(self._hold_until_s, now_s + grace_s)
                if now_s < hold_until_s and self._may_lapse(key):
                    self._held[key] = hold_until_s
                    return
                self._remove(event)

    def _keep_without_stored(self, key: Key, kept: Kept) -> None:
        if key in self._values:
            self._kept[key] = Kept(None, kept.until_s)
        else:
            del self._kept[key]

    def _remove(self, event: Removed) -> None:
        self._ended.pop(event.key, None)
        self._ended[event.key] = Ended(self._values.pop(event.key), self._clock())
        if len(self._ended) > CHANGE_LOG_LIMIT:
            del self._ended[next(iter(self._ended))]
        self._report(event)

    def _report(self, event: Found | Removed) -> None:
        self._log.append(event)
        self._log_count += 1
        self._wake_followers()
        self._on_change(event.key, event.value if isinstance(event, Found) else None)

    def _wake_followers(self) -> None:
        self._log_extended.set()
        self._log_extended = anyio.Event()

    def _end_held(self) -> None:
        now_s = self._clock()
        for key in [key for key, due_s in self._held.items() if due_s <= now_s]:
            del self._held[key]
            self._remove(Removed(key, self._revision))
        self._end_kept(now_s)

    def _end_kept(self, now_s: float) -> None:
        """Let the store replace what nobody has written again in time; the lease of an entry in a copy has ended."""
        dropped = [key for key, kept in self._kept.items() if kept.until_s <= now_s]
        for key in dropped:
            stored = self._kept.pop(key).stored
            is_distrusted = stored is not None and self._rules.is_distrusted(stored)
            if is_distrusted:
                self._kept[key] = Kept(stored, inf)
            if stored is not None and not is_distrusted:
                # A host that follows may have passed the revision, which conditions of later writes have to name.
                self._values[key] = replace(stored, taken=self._revision)
                self._report(self._values[key])
            elif key in self._values:
                self._remove(Removed(key, self._revision))
        if dropped:
            report_settled(self.era, dropped)
