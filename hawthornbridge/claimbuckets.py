"""A bucket of claims, written with one compare-and-swap per group of changes."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeAlias

import anyio
import msgspec
from anyio.abc import TaskGroup

from hawthornbridge.claimoutcomes import (
    BucketFull,
    Claim,
    Claimed,
    ClaimOutcome,
    ClaimState,
    HeldElsewhere,
    KeyMismatch,
    Recorded,
    StoreDown,
    Unsettled,
)
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import AttemptId, IdempotencyKey
from hawthornbridge.store import (
    ABSENT,
    VALUE_LIMIT_BYTES,
    Ambiguous,
    Applied,
    Conflict,
    Found,
    Key,
    Missing,
    Revision,
    Store,
    Unavailable,
)
from hawthornbridge.storelimits import Backoff

__all__ = [
    "BUCKETS_PER_WINDOW",
    "MILLISECONDS_PER_SECOND",
    "RESULT_LIMIT_BYTES",
    "WINDOW_MS",
    "Bucket",
    "BucketContext",
    "ClaimChange",
    "ClaimLimits",
]

# All hosts must map a key to the same bucket, so these values may change only together with the prefix of the keys.
WINDOW_MS = 10_000
BUCKETS_PER_WINDOW = 2

MILLISECONDS_PER_SECOND = 1_000
# A larger result is not stored; a repeat then learns that the request ran, but not its result.
RESULT_LIMIT_BYTES = 1_024
# Maximum encoded size of a claim without its result.
CLAIM_LIMIT_BYTES = 256
RETRY_BASE_S = 0.02
RETRY_LIMIT_S = 0.5
CONFLICT_BASE_S = 0.01
CONFLICT_LIMIT_S = 0.1
# A bucket that other hosts write to is read again before a write if the last read is older than this, because a read
# costs the store less than a write that ends in a conflict.
READ_VALID_S = 0.002
WATCH_TIMEOUT_S = 5.0


_Entries: TypeAlias = dict[IdempotencyKey, Claim]


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits on the age of keys and on the write rate of a bucket; docs/claims.md explains the rate."""

    write_interval_s: float = 0.1
    record_delay_s: float = 0.1
    watch_interval_s: float = 0.1
    retention_s: float = 600.0
    skew_s: float = 1.0
    deadline_limit_s: float = 60.0
    buckets: int = BUCKETS_PER_WINDOW
    bucket_bytes: int = VALUE_LIMIT_BYTES * 9 // 10

    @property
    def window_retention_s(self) -> float:
        """Return the time after the end of a window from which none of its keys can be claimed or dispatched."""
        return self.retention_s + self.skew_s + self.deadline_limit_s


@dataclass(eq=False)
class ClaimChange:
    """Requested change of one claim in a bucket.

    A write with unknown outcome, expecting ambiguous_revision, may still apply the change. applied tells that the
    store holds the claim.
    """

    key: IdempotencyKey
    claim: Claim
    due_s: float = field(default_factory=anyio.current_time)
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: ClaimOutcome | None = None
    ambiguous_revision: Revision | None = None
    applied: bool = False
    abandoned: bool = False

    @property
    def is_claim(self) -> bool:
        """Return whether the change is a request for the key."""
        return self.claim.state is ClaimState.HELD and not self.abandoned

    @property
    def is_void(self) -> bool:
        """Return whether the claim was abandoned and is certainly not in the store."""
        return self.abandoned and self.ambiguous_revision is None and not self.applied

    def settle(self, outcome: ClaimOutcome) -> None:
        """Set the outcome and wake the task that waits for it."""
        self.outcome = outcome
        self.done.set()


@dataclass(frozen=True, slots=True)
class BucketContext:
    """Dependencies that all buckets of a host share."""

    store: Store
    tasks: TaskGroup
    wall_clock_s: Callable[[], float]
    limits: ClaimLimits
    rng: random.Random


class Bucket:
    """Cache and writer of one bucket; changes that arrive during a write are grouped into the next one."""

    def __init__(self, context: BucketContext, name: Key, window: int) -> None:
        self.window = window
        self._context = context
        self._name = name
        self._changes: list[ClaimChange] = []
        self._writing = False
        self._waiters = 0
        self._watching = False
        self._stale = True
        self._revision = ABSENT
        self._entries: _Entries = {}
        self._updated = anyio.Event()
        self._arrived = anyio.Event()
        self._next_write_s = float("-inf")
        self._read_s = float("-inf")
        self._is_shared = False
        self._has_conflict = False
        self._is_full = False
        self._retry = Backoff(RETRY_BASE_S, RETRY_LIMIT_S, context.rng)
        self._conflict = Backoff(CONFLICT_BASE_S, CONFLICT_LIMIT_S, context.rng)

    @property
    def busy(self) -> bool:
        """Return whether changes are pending or tasks wait for an outcome."""
        return self._writing or self._waiters > 0

    def add(self, change: ClaimChange) -> None:
        """Add a change to the next group."""
        self._changes.append(change)
        self._arrived.set()
        if not self._writing:
            self._writing = True
            self._context.tasks.start_soon(self._write_all)

    def abandon(self, change: ClaimChange) -> None:
        """Abandon a claim: drop it if no write contains it, else release it once the store answers."""
        change.abandoned = True
        if isinstance(change.outcome, Claimed):
            change.applied = True
            self.add(change)

    async def wait_for(self, key: IdempotencyKey, attempt: AttemptId) -> Claim:
        """Wait until the attempt on a key has an outcome or another attempt holds the key; return that claim."""
        self._waiters += 1
        try:
            while True:
                claim = self._entries.get(key)
                if claim is not None and (claim.attempt != attempt or claim.state is not ClaimState.HELD):
                    return claim
                if not self._watching:
                    self._watching = True
                    self._context.tasks.start_soon(self._watch)
                await self._updated.wait()
        finally:
            self._waiters -= 1

    async def _watch(self) -> None:
        # All waiting tasks share one watch. The pause limits the store calls while other hosts write to the bucket.
        try:
            while self._waiters:
                outcome = await self._context.store.watch(self._name, self._revision, WATCH_TIMEOUT_S)
                if isinstance(outcome, Found | Missing):
                    self._update_from_store(outcome)
                await anyio.sleep(self._context.limits.watch_interval_s)
        finally:
            self._watching = False

    async def _write_all(self) -> None:
        try:
            while self._changes:
                await self._wait_until_due()
                self._next_write_s = anyio.current_time() + self._context.limits.write_interval_s
                await self._write_group()
        finally:
            self._writing = False

    async def _wait_until_due(self) -> None:
        while True:
            due_s = max(self._next_write_s, min(change.due_s for change in self._changes))
            if due_s <= anyio.current_time():
                return
            self._arrived = anyio.Event()
            with anyio.move_on_at(due_s):
                await self._arrived.wait()

    async def _write_group(self) -> None:
        self._changes = [change for change in self._changes if not change.is_void and not self._is_expired(change)]
        if not self._changes:
            return
        is_old = anyio.current_time() - self._read_s > READ_VALID_S
        if self._stale or (self._is_shared and is_old):
            known = self._revision
            current = await self._context.store.get(self._name)
            if isinstance(current, Unavailable):
                await self._handle_failure(self._changes, current.detail)
                return
            if not self._update_from_store(current):
                await self._handle_failure(self._changes, "claim bucket is unreadable")
                return
            self._stale = False
            self._is_shared = self._revision != known
        group, self._changes = self._changes, []
        expected = self._revision
        entries, outcomes = self._apply_changes(group)
        if entries == self._entries:
            self._settle(outcomes)
            return
        content = msgspec.msgpack.encode(entries)
        outcome = await self._context.store.compare_and_swap(self._name, content, expected)
        match outcome:
            case Applied(revision):
                if revision > self._revision:
                    self._replace(revision, entries)
                self._settle(outcomes)
                self._retry.reset()
                self._conflict.reset()
                self._has_conflict = False
            case Conflict(current):
                self._changes = group + self._changes
                self._stale = not self._update_from_store(current)
                # A conflict returns the current content of the bucket, so the first retry is sent at once. Later ones
                # back off.
                delay_s = self._conflict.next_s() if self._has_conflict else 0.0
                self._is_shared = self._has_conflict = True
                self._next_write_s = anyio.current_time() + delay_s
            case Unavailable(detail):
                await self._handle_failure(group, detail)
            case Ambiguous():
                # The write may still be applied while the bucket has this revision. Reading the bucket again therefore
                # settles the changes only if the bucket contains them or has a newer revision.
                for change in group:
                    change.ambiguous_revision = expected
                self._changes = group + self._changes
                self._stale = True
                await anyio.sleep(self._retry.next_s())

    async def _handle_failure(self, group: list[ClaimChange], detail: str) -> None:
        kept = []
        for change in group:
            if change.is_claim and change.ambiguous_revision is None:
                change.settle(StoreDown(detail))
            else:
                kept.append(change)
        self._changes = kept + [change for change in self._changes if change not in group]
        if self._changes:
            await anyio.sleep(self._retry.next_s())

    def _is_expired(self, change: ClaimChange) -> bool:
        end_s = (self.window + 1) * WINDOW_MS / MILLISECONDS_PER_SECOND
        if self._context.wall_clock_s() <= end_s + self._context.limits.window_retention_s or change.is_claim:
            return False
        # The window may have been deleted, and its keys can no longer be claimed.
        emit(Event.CLAIM_OUTCOME_LOST, bucket=self._name, key=change.key, attempt=change.claim.attempt)
        return True

    def _apply_changes(self, group: list[ClaimChange]) -> tuple[_Entries, list[tuple[ClaimChange, ClaimOutcome]]]:
        entries = dict(self._entries)
        room = self._context.limits.bucket_bytes - _projected_bytes(entries.values())
        outcomes: list[tuple[ClaimChange, ClaimOutcome]] = []
        for change in group:
            current = entries.get(change.key)
            mine = current is not None and current.attempt == change.claim.attempt
            if change.abandoned:
                # While the bucket has the revision of an ambiguous write, the release is written even if the claim is
                # absent, because the new revision prevents that write from being applied later.
                free = current is None or current.state is ClaimState.RELEASED
                unsettled = change.ambiguous_revision == self._revision and free and not mine
                if unsettled or (current is not None and mine and current.state is ClaimState.HELD):
                    entries[change.key] = msgspec.structs.replace(change.claim, state=ClaimState.RELEASED)
                outcomes.append((change, Unsettled()))
            elif not change.is_claim:
                if current is not None and mine and current.state is ClaimState.HELD:
                    entries[change.key] = change.claim
                outcomes.append((change, Claimed()))
            else:
                outcome = _claim_outcome(current, change.claim)
                if isinstance(outcome, Claimed) and not mine:
                    if room < CLAIM_LIMIT_BYTES + RESULT_LIMIT_BYTES and current is None:
                        outcome = BucketFull()
                        self._report_full()
                    else:
                        room -= CLAIM_LIMIT_BYTES + RESULT_LIMIT_BYTES
                        entries[change.key] = change.claim
                outcomes.append((change, outcome))
        return entries, outcomes

    def _report_full(self) -> None:
        # Logged once per bucket, because all later claims on the bucket in this window fail as well.
        if not self._is_full:
            self._is_full = True
            emit(Event.CLAIM_BUCKET_FULL, bucket=self._name, claims=len(self._entries))

    def _settle(self, outcomes: list[tuple[ClaimChange, ClaimOutcome]]) -> None:
        for change, outcome in outcomes:
            if change.abandoned and isinstance(outcome, Claimed) and change.claim.state is ClaimState.HELD:
                # The claim was abandoned during the write and was applied, so it has to be released.
                change.applied = True
                self._changes.append(change)
            else:
                change.settle(outcome)

    def _update_from_store(self, current: Found | Missing) -> bool:
        """Update the cache from the store unless the cache is newer; return False if the content is unreadable."""
        self._read_s = anyio.current_time()
        if isinstance(current, Missing):
            self._replace(ABSENT, {})
            return True
        if current.revision <= self._revision:
            return True
        try:
            entries = _decoder.decode(current.value)
        except DECODE_ERRORS as error:
            emit(Event.CLAIM_BUCKET_UNREADABLE, bucket=self._name, detail=str(error))
            return False
        self._replace(current.revision, entries)
        return True

    def _replace(self, revision: Revision, entries: _Entries) -> None:
        self._revision = revision
        self._entries = entries
        self._updated.set()
        self._updated = anyio.Event()


_decoder = msgspec.msgpack.Decoder(dict[IdempotencyKey, Claim])


def _claim_outcome(current: Claim | None, wanted: Claim) -> ClaimOutcome:
    if current is None:
        return Claimed()
    if current.digest != wanted.digest:
        return KeyMismatch()
    match current.state:
        case ClaimState.RELEASED:
            return Claimed()
        case ClaimState.HELD if current.attempt == wanted.attempt:
            return Claimed()
        case ClaimState.HELD:
            return HeldElsewhere(current.attempt, current.host)
        case _:
            return Recorded(current)


def _projected_bytes(claims: Iterable[Claim]) -> int:
    # A claim without an outcome reserves room for its result.
    return sum(
        CLAIM_LIMIT_BYTES + (RESULT_LIMIT_BYTES if claim.state is ClaimState.HELD else len(claim.result or b""))
        for claim in claims
    )
