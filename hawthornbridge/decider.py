"""The decider, the one host that advances rollouts; a lease and generations fence off earlier deciders."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
import msgspec

from hawthornbridge.acceptance import ChangeAccepted, ChangeOutcome
from hawthornbridge.decimals import parse_decimal
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import Generation, HostId, Incarnation, OperationId
from hawthornbridge.model import Catalogue, Change, PutRollout, Rollout, RolloutState
from hawthornbridge.rollouts import Rollouts
from hawthornbridge.store import (
    ABSENT,
    FIRST_ERA,
    NO_ERA,
    Applied,
    Era,
    Found,
    Key,
    LeaseGranted,
    LeaseId,
    LeaseLost,
    LeaseOutcome,
    ReadOutcome,
    Revision,
    Unavailable,
    WriteOutcome,
)

__all__ = ["Decider", "DeciderStore", "RolloutLog"]

DECIDER_KEY = Key("moves/decider")
# Between the decider's name and the era of the store in which the key was written, from the second era on.
ERA_SEPARATOR = "@"
LEASE_TTL_S = 5.0
DECIDE_INTERVAL_S = 1.0

# A write that starts closer than this to the end of the lease could take effect after the lease has ended.
LEASE_MARGIN_S = 2.0


class DeciderStore(Protocol):
    """The store calls that the decider needs for its lease."""

    async def get(self, key: Key) -> ReadOutcome:
        """Read one key."""

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if its revision is the expected one."""

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a lease."""

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseOutcome:
        """Renew a lease."""


class RolloutLog(Protocol):
    """Read the rollouts and propose moves of them."""

    @property
    def catalogue(self) -> Catalogue:
        """Return the rollouts as this host knows them."""

    async def propose(self, change: Change, expected: Generation, operation_id: OperationId) -> ChangeOutcome:
        """Accept a move if its rollout is at the expected generation."""


@dataclass(frozen=True, slots=True)
class _DeciderLease:
    """The lease under which this host is the decider."""

    lease: LeaseGranted

    def covers_write(self) -> bool:
        """Return whether a write that starts now ends within the lease."""
        return anyio.current_time() < self.lease.expires_s - LEASE_MARGIN_S


class Decider:
    """Acquires the decider's lease if it is free; advances, finishes or rolls back rollouts while the lease lasts."""

    def __init__(
        self,
        store: DeciderStore,
        log: RolloutLog,
        rollouts: Rollouts,
        host: HostId,
        incarnation: Incarnation,
        now_ms: Callable[[], int],
        *,
        lease_ttl_s: float = LEASE_TTL_S,
        era: Callable[[], Era] = lambda: NO_ERA,
    ) -> None:
        self._store = store
        self._lease_ttl_s = lease_ttl_s
        self._step_seen: dict[str, tuple[int, float]] = {}
        self._log = log
        self._rollouts = rollouts
        self._name = f"{host}:{incarnation}"
        self._now_ms = now_ms
        self._era = era
        self._lease: _DeciderLease | None = None
        self._claimed: dict[str, Generation] = {}

    async def run(self) -> None:
        """Compete for the lease and decide until cancelled."""
        while True:
            await self.decide()
            await anyio.sleep(DECIDE_INTERVAL_S)

    async def decide(self) -> None:
        """Renew or acquire the lease, then move each open rollout by at most one step."""
        if not any(rollout.is_open for rollout in self._log.catalogue.rollouts.values()):
            return
        # Every host times the steps, so that a new decider does not wait again at a step that has lasted long enough.
        self._note_steps()
        await self._renew_or_acquire_lease()
        for rollout in list(self._log.catalogue.rollouts.values()):
            if rollout.is_open:
                await self._move(rollout)

    def forget_lease(self) -> None:
        """Acquire the lease anew, because the store has returned from an older copy without it."""
        self._lease = None
        self._claimed.clear()

    async def _renew_or_acquire_lease(self) -> None:
        held = self._lease
        if held is not None:
            outcome = await self._store.renew_lease(held.lease.id, self._lease_ttl_s)
            if isinstance(outcome, LeaseGranted):
                self._lease = _DeciderLease(outcome)
                return
            # A store that has returned from an older copy has forgotten the lease, and another host may take it.
            if not isinstance(outcome, LeaseLost) and held.covers_write():
                return
            self._lease = None
            self._claimed.clear()
        current = await self._store.get(DECIDER_KEY)
        if isinstance(current, Unavailable) or (isinstance(current, Found) and not self._is_forgotten(current)):
            return
        expected = current.revision if isinstance(current, Found) else ABSENT
        value = self._key_value()
        granted = await self._store.grant_lease(self._lease_ttl_s)
        if not isinstance(granted, LeaseGranted):
            return
        written = await self._store.compare_and_swap(DECIDER_KEY, value, expected, granted.id)
        if not isinstance(written, Applied):
            confirmed = await self._store.get(DECIDER_KEY)
            if not (isinstance(confirmed, Found) and confirmed.value == value):
                return
        self._lease = _DeciderLease(granted)
        emit(Event.DECIDER_ELECTED, decider=self._name)

    def _key_value(self) -> bytes:
        era = self._era()
        return (f"{self._name}{ERA_SEPARATOR}{era}" if era > FIRST_ERA else self._name).encode()

    def _is_forgotten(self, current: Found) -> bool:
        """Return whether a key is of an earlier era, since a decider writes it again in each, or this host's own."""
        if self._era() > FIRST_ERA and current.value == self._key_value():
            return True
        _, _, text = current.value.decode(errors="replace").partition(ERA_SEPARATOR)
        written_era = parse_decimal(text)
        return self._era() > (FIRST_ERA if written_era is None else written_era)

    async def _move(self, rollout: Rollout) -> None:
        if self._lease is None or not self._lease.covers_write():
            return
        if rollout.decider != self._name or rollout.id not in self._claimed:
            # Claiming raises the rollout's generation, so a late write of an earlier decider conflicts.
            await self._propose(rollout, msgspec.structs.replace(rollout, decider=self._name))
            return
        moved = self._next_state(rollout)
        if moved is not None and self._claimed[rollout.id] == rollout.generation:
            await self._propose(rollout, moved)
        elif self._claimed[rollout.id] != rollout.generation:
            # An operator has changed the rollout since its claim, so this host claims it again before acting on it.
            del self._claimed[rollout.id]

    def _next_state(self, rollout: Rollout) -> Rollout | None:
        assessment = self._rollouts.assess(rollout)
        replace = msgspec.structs.replace
        if assessment.cut is not None:
            return replace(rollout, state=RolloutState.ROLLED_BACK, reason=assessment.cut)
        now_ms = self._now_ms()
        if rollout.state is RolloutState.HELD:
            return None
        if now_ms >= rollout.finish_by_ms:
            reason = "the time limit passed without enough evidence that the new version is as good as the old"
            return replace(rollout, state=RolloutState.ROLLED_BACK, reason=reason)
        if (
            self._is_before_minimum_time(rollout)
            or assessment.suspicious
            or not assessment.judged
            or now_ms < _due_ms(rollout)
        ):
            return None
        if rollout.step + 1 < len(rollout.steps):
            return replace(rollout, step=rollout.step + 1)
        return replace(rollout, state=RolloutState.DONE, reason="every step was judged good")

    def _note_steps(self) -> None:
        now_s = anyio.current_time()
        seen = {}
        for rollout in self._log.catalogue.rollouts.values():
            step, since_s = self._step_seen.get(rollout.id, (-1, now_s))
            seen[rollout.id] = (rollout.step, since_s if step == rollout.step else now_s)
        self._step_seen = seen

    def _is_before_minimum_time(self, rollout: Rollout) -> bool:
        """Return whether this host has seen the rollout at its present step for less than a step's minimum time."""
        # An order may have arrived, or the step changed, since the steps were noted.
        step, since_s = self._step_seen.get(rollout.id, (-1, 0.0))
        return step != rollout.step or anyio.current_time() - since_s < rollout.minimum_step_s

    async def _propose(self, rollout: Rollout, moved: Rollout) -> None:
        # Imported here because only the decider needs it, while a rollout runs.
        import uuid_utils

        operation_id = OperationId(str(uuid_utils.uuid7()))
        outcome = await self._log.propose(PutRollout(moved), rollout.generation, operation_id)
        if not isinstance(outcome, ChangeAccepted):
            return
        self._claimed[rollout.id] = outcome.generation
        self._step_seen[rollout.id] = (moved.step, anyio.current_time())
        if (moved.step, moved.state) != (rollout.step, rollout.state):
            emit(
                Event.ROLLOUT_MOVED,
                rollout=rollout.id,
                step=moved.step,
                state=moved.state.value,
                reason=moved.reason,
            )


def _due_ms(rollout: Rollout) -> int:
    return int(rollout.started_ms + (rollout.finish_by_ms - rollout.started_ms) * rollout.step_end_fraction)
