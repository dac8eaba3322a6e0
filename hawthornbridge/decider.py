"""The decider: the one host that moves rollouts forward, fenced by a lease and by generations."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
import msgspec
import uuid_utils

from hawthornbridge.acceptance import Acceptance, ChangeAccepted
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import Generation, HostId, Incarnation, OperationId
from hawthornbridge.model import Catalogue, Change, PutRollout, Rollout, RolloutState
from hawthornbridge.rollouts import Rollouts
from hawthornbridge.store import (
    ABSENT,
    Applied,
    Found,
    Key,
    LeaseGranted,
    LeaseId,
    LeaseOutcome,
    Missing,
    ReadOutcome,
    Revision,
    WriteOutcome,
)

__all__ = ["Decider", "DeciderStore", "RolloutLog"]

DECIDER_KEY = Key("moves/decider")
LEASE_TTL_S = 5.0
ROUND_INTERVAL_S = 1.0

# A write that starts later than this before the lease ends could arrive after it.
LEASE_MARGIN_S = 2.0


class DeciderStore(Protocol):
    """Hold the decider's lease."""

    async def get(self, key: Key) -> ReadOutcome:
        """Read one key."""

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if its revision is the expected one."""

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Open a lease."""

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseOutcome:
        """Prolong a lease."""


class RolloutLog(Protocol):
    """Read the rollouts and propose moves of them."""

    @property
    def catalogue(self) -> Catalogue:
        """Return the rollouts as this host knows them."""

    async def propose(self, change: Change, expected: Generation, operation_id: OperationId) -> Acceptance:
        """Accept a move if its rollout is at the expected generation."""


@dataclass(frozen=True, slots=True)
class _Term:
    """Hold the lease under which this host decides."""

    lease: LeaseGranted

    def lasts(self) -> bool:
        """Return whether a write that starts now ends within the lease."""
        return anyio.current_time() < self.lease.expires_s - LEASE_MARGIN_S


class Decider:
    """Hold the decider's lease if it is free, and advance, finish or roll back rollouts while it lasts."""

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
    ) -> None:
        self._store = store
        self._lease_ttl_s = lease_ttl_s
        self._step_seen: dict[str, tuple[int, float]] = {}
        self._log = log
        self._rollouts = rollouts
        self._name = f"{host}:{incarnation}"
        self._now_ms = now_ms
        self._term: _Term | None = None
        self._claimed: dict[str, Generation] = {}

    async def run(self) -> None:
        """Take part until cancelled."""
        while True:
            await self.decide()
            await anyio.sleep(ROUND_INTERVAL_S)

    async def decide(self) -> None:
        """Keep or win the lease, then move each open rollout by at most one step."""
        if not any(rollout.is_open for rollout in self._log.catalogue.rollouts.values()):
            return
        # Every host times the steps, so that a new decider need not wait at a step that has lasted long enough.
        self._note_steps()
        await self._keep_term()
        for rollout in list(self._log.catalogue.rollouts.values()):
            if rollout.is_open:
                await self._move(rollout)

    async def _keep_term(self) -> None:
        if self._term is not None:
            outcome = await self._store.renew_lease(self._term.lease.id, self._lease_ttl_s)
            if isinstance(outcome, LeaseGranted):
                self._term = _Term(outcome)
                return
            if self._term.lasts():
                return
            self._term = None
            self._claimed.clear()
        current = await self._store.get(DECIDER_KEY)
        if not isinstance(current, Missing):
            return
        granted = await self._store.grant_lease(self._lease_ttl_s)
        if not isinstance(granted, LeaseGranted):
            return
        written = await self._store.compare_and_swap(DECIDER_KEY, self._name.encode(), ABSENT, granted.id)
        if not isinstance(written, Applied):
            confirmed = await self._store.get(DECIDER_KEY)
            if not (isinstance(confirmed, Found) and confirmed.value == self._name.encode()):
                return
        self._term = _Term(granted)
        emit(Event.DECIDER_ELECTED, decider=self._name)

    async def _move(self, rollout: Rollout) -> None:
        if self._term is None or not self._term.lasts():
            return
        if rollout.decider != self._name or rollout.id not in self._claimed:
            # Claiming raises the rollout's generation, so a late write of an earlier decider conflicts.
            await self._propose(rollout, msgspec.structs.replace(rollout, decider=self._name))
            return
        moved = self._next(rollout)
        if moved is not None and self._claimed[rollout.id] == rollout.generation:
            await self._propose(rollout, moved)
        elif self._claimed[rollout.id] != rollout.generation:
            # An operator has changed the rollout since; claim it again before acting on it.
            del self._claimed[rollout.id]

    def _next(self, rollout: Rollout) -> Rollout | None:
        verdict = self._rollouts.verdict(rollout)
        replace = msgspec.structs.replace
        if verdict.cut is not None:
            return replace(rollout, state=RolloutState.ROLLED_BACK, reason=verdict.cut)
        now_ms = self._now_ms()
        if rollout.state is RolloutState.HELD:
            return None
        if now_ms >= rollout.finish_by_ms:
            reason = "its time has come without enough evidence that the new version is as good as the old"
            return replace(rollout, state=RolloutState.ROLLED_BACK, reason=reason)
        if self._is_fresh(rollout) or verdict.suspicious or not verdict.judged or now_ms < _due_ms(rollout):
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

    def _is_fresh(self, rollout: Rollout) -> bool:
        """Return whether this host has seen the rollout at its present step for less than the least time of a step."""
        # An order or a step may have come since the steps were noted.
        step, since_s = self._step_seen.get(rollout.id, (-1, 0.0))
        return step != rollout.step or anyio.current_time() - since_s < rollout.least_step_s

    async def _propose(self, rollout: Rollout, moved: Rollout) -> None:
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
    return int(rollout.started_ms + (rollout.finish_by_ms - rollout.started_ms) * rollout.step_end)
