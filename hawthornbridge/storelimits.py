"""Rate limit, timeouts, backoff and circuit breaker for calls to any store."""

import random
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import TypeVar

import anyio

from hawthornbridge.events import Event, emit
from hawthornbridge.store import (
    VALUE_LIMIT_BYTES,
    Ambiguous,
    Key,
    LeaseId,
    LeaseOutcome,
    ListOutcome,
    ReadOutcome,
    Revision,
    Store,
    Unavailable,
    WatchOutcome,
    WriteOutcome,
)

__all__ = ["Backoff", "CircuitState", "LimitedStore", "RateLimit"]

CALL_TIMEOUT_S = 0.5
# Added to the requested wait of a watch to give its timeout.
WATCH_MARGIN_S = 0.5
# A call that the rate limit would delay for longer than this is refused.
RATE_WAIT_LIMIT_S = 0.25
# After an idle period, the calls of this much time may start at once.
BURST_WINDOW_S = 0.25
FAILURES_TO_OPEN_CIRCUIT = 5
OPEN_BACKOFF_BASE_S = 0.2
OPEN_BACKOFF_LIMIT_S = 2.0

OutcomeT = TypeVar("OutcomeT")


class CircuitState(Enum):
    """Whether the circuit breaker lets calls through; in TRIAL one call is under way to test the store."""

    CLOSED = "closed"
    OPEN = "open"
    TRIAL = "trial"


class Backoff:
    """Draw delays with full jitter: uniform between zero and a limit that doubles with every failure."""

    def __init__(self, base_s: float, limit_s: float, rng: random.Random | None = None) -> None:
        self._base_s = base_s
        self._limit_s = limit_s
        self._rng = rng if rng is not None else random.Random()
        self._failures = 0

    def next_s(self) -> float:
        """Return the delay after one more failure."""
        limit_s = min(self._limit_s, self._base_s * 2.0**self._failures)
        # After 32 doublings the limit applies in any case, and a higher exponent would overflow the float.
        self._failures = min(self._failures + 1, 32)
        return self._rng.uniform(0.0, limit_s)

    def reset(self) -> None:
        """Start again from the base after a success."""
        self._failures = 0


class RateLimit:
    """Rate limiter that spaces calls evenly and allows a short burst."""

    def __init__(self, calls_per_s: float) -> None:
        self._interval_s = 1.0 / calls_per_s
        self._burst_s = max(0.0, BURST_WINDOW_S - self._interval_s)
        self._next_s = float("-inf")

    def reserve(self, wait_limit_s: float) -> float | None:
        """Return how long to wait for the next free slot and take it, or None if that is longer than the limit."""
        now_s = anyio.current_time()
        slot_s = max(self._next_s, now_s - self._burst_s)
        if slot_s - now_s > wait_limit_s:
            return None
        self._next_s = slot_s + self._interval_s
        return max(0.0, slot_s - now_s)


class LimitedStore:
    """A store client that enforces the host's rate limit and call timeouts, and fails fast while the store fails."""

    def __init__(
        self,
        store: Store,
        calls_per_s: float,
        call_timeout_s: float = CALL_TIMEOUT_S,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._rate = RateLimit(calls_per_s)
        self._call_timeout_s = call_timeout_s
        self._backoff = Backoff(OPEN_BACKOFF_BASE_S, OPEN_BACKOFF_LIMIT_S, rng)
        self._failures = 0
        self._open_until_s = 0.0
        self._state = CircuitState.CLOSED

    @property
    def state(self) -> CircuitState:
        """Return the state of the circuit breaker."""
        return self._state

    async def get(self, key: Key) -> ReadOutcome:
        """Read one key."""
        return _without_ambiguity(await self._call(lambda: self._store.get(key)))

    async def list(self, prefix: Key) -> ListOutcome:
        """Read all keys below a prefix."""
        return _without_ambiguity(await self._call(lambda: self._store.list(prefix)))

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if its revision is the expected one; with a lease, the value goes when the lease lapses."""
        # Refused here, because a store that rejects a large value is healthy and must not open the circuit.
        if len(value) > VALUE_LIMIT_BYTES:
            return Unavailable(f"the value has {len(value)} bytes, more than {VALUE_LIMIT_BYTES}")
        return await self._call(lambda: self._store.compare_and_swap(key, value, expected, lease))

    async def delete(self, key: Key, expected: Revision) -> WriteOutcome:
        """Delete a key if its revision is the expected one."""
        return await self._call(lambda: self._store.delete(key, expected))

    async def watch(self, key: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait until a key's revision is higher than this one; a trial call after an outage returns at once."""
        if self._state is not CircuitState.CLOSED:
            wait_s = 0.0
        outcome = await self._call(lambda: self._store.watch(key, after, wait_s), wait_s + WATCH_MARGIN_S)
        return _without_ambiguity(outcome)

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Open a lease."""
        return await self._call(lambda: self._store.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseOutcome:
        """Prolong a lease."""
        return await self._call(lambda: self._store.renew_lease(lease, ttl_s))

    async def release_lease(self, lease: LeaseId) -> LeaseOutcome | None:
        """Give a lease up, and with it the keys written under it."""
        return await self._call(lambda: self._store.release_lease(lease))

    async def _call(
        self, call: Callable[[], Awaitable[OutcomeT]], timeout_s: float | None = None
    ) -> OutcomeT | Unavailable | Ambiguous:
        if not self._may_call():
            return Unavailable("the circuit to the store is open")
        wait_s = self._rate.reserve(RATE_WAIT_LIMIT_S)
        if wait_s is None:
            return Unavailable("the host's rate limit for store calls is exceeded")
        if wait_s > 0:
            await anyio.sleep(wait_s)
            if not self._may_call():
                return Unavailable("the circuit to the store is open")
        trial = self._state is CircuitState.OPEN
        if trial:
            self._state = CircuitState.TRIAL
        settled = False
        try:
            outcome = await self._timed(call, timeout_s if timeout_s is not None else self._call_timeout_s)
            settled = True
        finally:
            # A cancelled trial says nothing about the store, so the circuit reopens and the next call is the trial.
            if trial and not settled:
                self._state = CircuitState.OPEN
        if isinstance(outcome, Unavailable | Ambiguous):
            self._failed(outcome.detail, trial)
        elif trial or self._state is CircuitState.CLOSED:
            self._succeeded()
        return outcome

    async def _timed(self, call: Callable[[], Awaitable[OutcomeT]], timeout_s: float) -> OutcomeT | Ambiguous:
        with anyio.move_on_after(timeout_s):
            return await call()
        return Ambiguous(f"no answer within {timeout_s:.3f} s")

    def _may_call(self) -> bool:
        match self._state:
            case CircuitState.CLOSED:
                return True
            case CircuitState.OPEN:
                return anyio.current_time() >= self._open_until_s
            case CircuitState.TRIAL:
                return False

    def _failed(self, detail: str, trial: bool) -> None:
        self._failures += 1
        if not trial and (self._state is not CircuitState.CLOSED or self._failures < FAILURES_TO_OPEN_CIRCUIT):
            return
        if not trial:
            emit(Event.STORE_CIRCUIT_OPENED, failures=self._failures, detail=detail)
        self._state = CircuitState.OPEN
        self._open_until_s = anyio.current_time() + self._backoff.next_s()

    def _succeeded(self) -> None:
        if self._state is not CircuitState.CLOSED:
            emit(Event.STORE_CIRCUIT_CLOSED)
        self._state = CircuitState.CLOSED
        self._failures = 0
        self._backoff.reset()


def _without_ambiguity(outcome: OutcomeT | Unavailable | Ambiguous) -> OutcomeT | Unavailable:
    return Unavailable(outcome.detail) if isinstance(outcome, Ambiguous) else outcome
