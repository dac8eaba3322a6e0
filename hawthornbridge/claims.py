"""Claims on idempotency keys, stored in buckets and written in groups."""

import random
from collections.abc import Callable

import anyio
import msgspec
import xxhash
from anyio.abc import TaskGroup

from hawthornbridge.claimbuckets import (
    BUCKETS_PER_WINDOW,
    MILLISECONDS_PER_SECOND,
    RESULT_LIMIT_BYTES,
    WINDOW_MS,
    Bucket,
    BucketContext,
    ClaimChange,
    ClaimLimits,
)
from hawthornbridge.claimoutcomes import (
    BucketFull,
    Claim,
    Claimed,
    ClaimOutcome,
    ClaimState,
    Digest,
    HeldElsewhere,
    KeyMismatch,
    Recorded,
    StoreDown,
    Unsettled,
)
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import AttemptId, HostId, IdempotencyKey, ServiceName
from hawthornbridge.store import ABSENT, Applied, Found, Key, Listed, Store, Unavailable

__all__ = [
    "BUCKETS_PER_WINDOW",
    "RESULT_LIMIT_BYTES",
    "WINDOW_MS",
    "BucketFull",
    "Claim",
    "ClaimLimits",
    "ClaimOutcome",
    "ClaimState",
    "Claimed",
    "Claims",
    "Digest",
    "HeldElsewhere",
    "KeyMismatch",
    "Recorded",
    "StoreDown",
    "Unsettled",
]

PREFIX = "claims"
# One sweep deletes at most this many windows, so that a sweep after an outage does not use up the host's call rate.
SWEEP_LIMIT_WINDOWS = 100


class Claims:
    """This host's view of the claims; it writes its changes in groups, one group per bucket at a time."""

    def __init__(
        self,
        store: Store,
        host: HostId,
        tasks: TaskGroup,
        wall_clock_s: Callable[[], float],
        limits: ClaimLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.limits = limits if limits is not None else ClaimLimits()
        self.host = host
        self._store = store
        self._wall_clock_s = wall_clock_s
        self._context = BucketContext(store, tasks, wall_clock_s, self.limits, rng or random.Random())
        self._buckets: dict[Key, Bucket] = {}

    @property
    def idle(self) -> bool:
        """Return whether every change has been written."""
        return not any(bucket.busy for bucket in self._buckets.values())

    async def claim(
        self,
        service: ServiceName,
        key: IdempotencyKey,
        key_ms: int,
        attempt: AttemptId,
        digest: Digest,
        deadline_s: float,
    ) -> ClaimOutcome:
        """Claim a key; a claim without an outcome at the deadline is abandoned and never dispatched."""
        bucket = self._bucket(service, key, key_ms)
        change = ClaimChange(key, Claim(attempt, self.host, digest, ClaimState.HELD))
        bucket.add(change)
        try:
            with anyio.move_on_at(deadline_s):
                await change.done.wait()
        except BaseException:
            # A cancelled caller does not dispatch its attempt, so the key has to be released.
            bucket.abandon(change)
            raise
        if change.outcome is None:
            bucket.abandon(change)
            emit(Event.CLAIM_UNSETTLED, service=service, key=key, attempt=attempt)
            return Unsettled()
        return change.outcome

    def record(self, service: ServiceName, key: IdempotencyKey, key_ms: int, claim: Claim) -> None:
        """Write the outcome of an attempt with the next group; retry until the store has it.

        No caller waits for this write, so it is delayed to share a group with other changes.
        """
        if claim.result is not None and len(claim.result) > RESULT_LIMIT_BYTES:
            claim = msgspec.structs.replace(claim, result=None)
        due_s = anyio.current_time() + self.limits.record_delay_s
        self._bucket(service, key, key_ms).add(ClaimChange(key, claim, due_s))

    async def outcome(
        self, service: ServiceName, key: IdempotencyKey, key_ms: int, attempt: AttemptId, deadline_s: float
    ) -> Claim | None:
        """Wait until another attempt's claim has an outcome; return None at the deadline."""
        bucket = self._bucket(service, key, key_ms)
        with anyio.move_on_at(deadline_s):
            return await bucket.wait_for(key, attempt)
        return None

    async def sweep(self, service: ServiceName) -> int:
        """Delete expired windows and return the number of deleted buckets. A few hosts call it regularly."""
        progress_key = Key(f"{PREFIX}-swept/{service}")
        last = int((self._wall_clock_s() - self.limits.window_retention_s) * MILLISECONDS_PER_SECOND) // WINDOW_MS - 1
        progress = await self._store.get(progress_key)
        if isinstance(progress, Unavailable):
            return 0
        # The first sweep of a service also covers the retention period before the last expired window.
        span = int(self.limits.window_retention_s * MILLISECONDS_PER_SECOND) // WINDOW_MS + 1
        first = int(progress.value) + 1 if isinstance(progress, Found) else last - span
        deleted = 0
        swept = first - 1
        for window in range(first, min(last + 1, first + SWEEP_LIMIT_WINDOWS)):
            listed = await self._store.list(Key(f"{PREFIX}/{service}/{window}/"))
            if not isinstance(listed, Listed):
                break
            outcomes = [await self._store.delete(held.key, held.revision) for held in listed.values]
            deleted += sum(isinstance(outcome, Applied) for outcome in outcomes)
            if not all(isinstance(outcome, Applied) for outcome in outcomes):
                break
            swept = window
        if swept >= first:
            revision = progress.revision if isinstance(progress, Found) else ABSENT
            await self._store.compare_and_swap(progress_key, str(swept).encode(), revision)
            emit(Event.CLAIM_WINDOWS_DELETED, service=service, first=first, last=swept, buckets=deleted)
        return deleted

    def _bucket(self, service: ServiceName, key: IdempotencyKey, key_ms: int) -> Bucket:
        window = key_ms // WINDOW_MS
        number = xxhash.xxh64_intdigest(key.encode()) % self.limits.buckets
        name = Key(f"{PREFIX}/{service}/{window}/{number}")
        bucket = self._buckets.get(name)
        if bucket is None:
            self._drop_old_buckets()
            bucket = self._buckets[name] = Bucket(self._context, name, window)
        return bucket

    def _drop_old_buckets(self) -> None:
        # Only repeats use buckets older than two windows, and they can read those from the store again.
        now = int(self._wall_clock_s() * MILLISECONDS_PER_SECOND) // WINDOW_MS
        for name, bucket in list(self._buckets.items()):
            if bucket.window < now - 2 and not bucket.busy:
                del self._buckets[name]
