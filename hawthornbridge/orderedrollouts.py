"""Rollouts ordered by operators, on one entry host: orders, evidence, tests, the decider and the version split."""

import random
import uuid
from collections.abc import Callable
from math import inf
from typing import Protocol

import anyio

from hawthornbridge.acceptance import ChangeAccepted
from hawthornbridge.decider import Decider, DeciderStore
from hawthornbridge.events import Event, emit
from hawthornbridge.evidencewriter import EvidenceWriter
from hawthornbridge.ids import HostId, Incarnation, OperationId, RouteName, ServiceName, VersionName
from hawthornbridge.model import PutRollout, Rollout
from hawthornbridge.presence import HostList, LeaseStore
from hawthornbridge.records import EvidenceRecord, RolloutOrderRecord, RolloutProgressRecord
from hawthornbridge.rolloutorders import OrderLog, StatusEncoder, TransactionStore
from hawthornbridge.rollouts import Rollouts
from hawthornbridge.routing import RoutingState
from hawthornbridge.store import NO_ERA, Era, Key, LeaseId, Revision
from hawthornbridge.versionsplit import ExposureLimits, VersionRule, VersionSplit, VersionTable

__all__ = ["OrderedRollouts", "RolloutStore"]

# Orders may require a move within 12 s, so a lost decider is replaced quickly, and few requests suffice for judging.
DECIDER_LEASE_S = 3.0
DECIDE_INTERVAL_S = 0.25
EVALUATION_INTERVAL_S = 0.25
JUDGED_REQUESTS = 10
# Rolling back a good version costs operators a repeated order; keeping a bad one costs callers their answers.
FALSE_ALARM_RATE = 0.03
INCARNATION_BITS = 53
# After a return of the store, the hosts of lower rank write what it has forgotten only if the earlier ones did not.
RESTORE_CHECK_INTERVAL_S = 0.1
RESTORE_RANK_DELAY_S = 0.3
RESTORE_LIMIT_S = 10.0


class RolloutStore(TransactionStore, LeaseStore, DeciderStore, Protocol):
    """The store calls that rollouts need."""


class OrderedRollouts:
    """Moves services to other versions on operators' orders, and back if a version is bad."""

    def __init__(
        self,
        store: RolloutStore,
        encode_status: StatusEncoder,
        host: HostId,
        hosts: HostList,
        table: VersionTable,
        limits: ExposureLimits,
        lease: Callable[[], LeaseId | None],
        clock: Callable[[], float],
        rng: random.Random | None = None,
        era: Callable[[], Era] = lambda: NO_ERA,
    ) -> None:
        self._hosts = hosts
        # Orders are timed on the monotonic clock, because the wall clock may jump.
        now_ms = lambda: int(clock() * 1_000)  # noqa: E731
        # Only compared for equality; the standard library's module is imported in any case, by eliot.
        incarnation = Incarnation(uuid.uuid4().int >> (128 - INCARNATION_BITS))
        self._log = OrderLog(store, encode_status, now_ms)
        self._writer = EvidenceWriter(store, host, lease, hosts.count, clock, self._log.age_ms)
        self._rollouts = Rollouts(
            lambda: self._log.catalogue,
            self._writer.publish,
            host,
            incarnation,
            hosts.count(),
            judged_requests=JUDGED_REQUESTS,
            false_alarm_rate=FALSE_ALARM_RATE,
            judges_totals=True,
        )
        self._split = VersionSplit(
            lambda: self._log.catalogue.rollouts, self._rollouts.new_version_share, table, limits, hosts.count, rng
        )
        self._clock = clock
        self._returned_s = -inf
        self._is_stored: Callable[[Key], bool] = lambda key: True
        # Services whose progress has been written again since the return; the mirror shows the write a little later.
        self._restored: set[ServiceName] = set()
        self._era = era
        self._decider = Decider(
            store,
            self._log,
            self._rollouts,
            host,
            incarnation,
            now_ms,
            lease_ttl_s=DECIDER_LEASE_S,
            era=era,
        )

    def rule(self, service: ServiceName) -> VersionRule | None:
        """Return which versions the next request for a service may go to, or None for all."""
        return self._split.rule(service)

    def record(
        self,
        service: ServiceName,
        route: RouteName,
        version: VersionName,
        latency_s: float,
        *,
        failed: bool,
        slow: bool,
    ) -> None:
        """Record the result of a request on its version."""
        self._rollouts.record(service, route, version, latency_s, failed, slow=slow)

    def set_limits(self, limits: ExposureLimits) -> None:
        """Set new limits on the requests that a bad version may get."""
        self._split.set_limits(limits)

    def set_routes(self, state: RoutingState) -> None:
        """Set the routes of a new configuration."""
        self._log.set_routes(state)

    def apply(self, record: RolloutOrderRecord | RolloutProgressRecord | EvidenceRecord, revision: Revision) -> None:
        """Apply a decoded record of the store."""
        match record:
            case RolloutOrderRecord(service, None):
                self._log.remove_order(service)
                emit(Event.ROLLOUT_ORDER_WITHDRAWN, service=service)
            case RolloutOrderRecord(service, order) if order is not None:
                self._log.put_order(order.at(revision))
                emit(
                    Event.ROLLOUT_ORDERED,
                    service=service,
                    target=order.version,
                    duration_s=order.duration_s,
                    revision=revision.number,
                )
            case RolloutProgressRecord(service, None):
                self._log.remove_progress(service)
            case RolloutProgressRecord(service, progress) if progress is not None:
                self._log.put_progress(service, progress, revision)
            case EvidenceRecord(evidence):
                self._log.put_age(evidence.rollout, evidence.age_ms)
                self._rollouts.on_evidence(evidence)

    def restore(self, is_stored: Callable[[Key], bool], revision_of: Callable[[Key], Revision]) -> None:
        """Write again what the store has forgotten in a return from an older copy."""
        self._decider.forget_lease()
        self._is_stored = is_stored
        self._returned_s = self._clock()
        self._restored.clear()
        self._log.set_stored_revisions(revision_of)
        self._writer.write_again()

    async def run(self) -> None:
        """Judge, write evidence and decide until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._rollouts.run, EVALUATION_INTERVAL_S)
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._decide)
            tasks.start_soon(self._restore_progress)

    async def _decide(self) -> None:
        while True:
            await self._decide_once()
            await anyio.sleep(DECIDE_INTERVAL_S)

    async def _decide_once(self) -> None:
        # Evidence comes from callers' requests, so a host that is not serving has nothing to decide on.
        if self._hosts.is_serving():
            await self._decider.decide()

    async def _restore_progress(self) -> None:
        while True:
            await anyio.sleep(RESTORE_CHECK_INTERVAL_S)
            elapsed_s = self._clock() - self._returned_s
            if elapsed_s > RESTORE_LIMIT_S:
                continue
            for rollout in self._log.forgotten(self._is_stored):
                is_turn = elapsed_s >= self._hosts.rank(rollout.service) * RESTORE_RANK_DELAY_S
                if is_turn and rollout.service not in self._restored:
                    await self._write_again(rollout)

    async def _write_again(self, rollout: Rollout) -> None:
        operation_id = OperationId(str(uuid.uuid4()))
        outcome = await self._log.propose(PutRollout(rollout), rollout.generation, operation_id)
        if isinstance(outcome, ChangeAccepted):
            self._restored.add(rollout.service)
            emit(Event.STORE_WRITTEN_AGAIN, what=rollout.id, era=self._era(), state=rollout.state.value)
