"""Table of the upstreams: choice of replicas and dispatch of sub-requests."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import partial

import anyio
from anyio.abc import TaskGroup

from hawthornbridge.allowance import AllowanceNotice, NoRamp, Ramp, Reason
from hawthornbridge.connections import ConnectionGroup, connection_quota
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import (
    DomainName,
    Seat,
    ServiceName,
    ShardName,
    SnapshotNumber,
    UpstreamId,
    VersionName,
)
from hawthornbridge.model import Catalogue, Upstream
from hawthornbridge.outcomes import Execution
from hawthornbridge.subrequests import (
    Execute,
    ExecuteOutcome,
    FailureKind,
    Search,
    SearchOutcome,
    Status,
    UpstreamFailure,
    UpstreamProtocol,
    UpstreamRefusal,
    UpstreamRefusalKind,
)
from hawthornbridge.upstreamstate import REFUSAL_HOLD_S, SelectionPenalty, UpstreamState

__all__ = ["ShardLoad", "UpstreamTable"]

STATUS_INTERVAL_S = 1.0
# Replies carry an upstream's load and incarnation, so while replies arrive a status adds only new snapshots. With the
# short interval, polls cost a daemon more than half of what sub-requests cost at 25 searches/s.
BUSY_STATUS_INTERVAL_S = 3.0
# Randomizes the interval by this share, so that the polls of all hosts spread out.
STATUS_JITTER = 0.25
# Share of a shard's requests that a cold upstream gets from a host while warm replicas are usable.
RAMP_TRAFFIC_SHARE = 0.2
ReplicaChoice = Callable[[list[UpstreamState]], UpstreamState]


@dataclass(frozen=True, slots=True)
class ShardLoad:
    """Hold the load of one shard's upstreams in one failure domain."""

    service: ServiceName
    shard: ShardName
    failure_domain: DomainName
    upstreams: int
    busy: int
    slots: int


class UpstreamTable:
    """Track every upstream of the catalogue, choose replicas and send sub-requests."""

    def __init__(
        self, protocol: UpstreamProtocol, choice: ReplicaChoice, seats: int, ramp: Ramp | None = None
    ) -> None:
        self._protocol = protocol
        self._choice = choice
        self._seats = seats
        self._ramp: Ramp = ramp or NoRamp(Seat(0), seats)
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._removed: list[UpstreamState] = []
        self._catalogue = Catalogue()

    def apply(self, catalogue: Catalogue, tasks: TaskGroup) -> None:
        """Apply a new catalogue: added, changed and removed upstreams, drained and restored failure domains."""
        self._catalogue = catalogue
        for upstream_id in [known for known in self._states if known not in catalogue.upstreams]:
            self._remove(self._states[upstream_id], tasks)
            self._ramp.forget(upstream_id)
        for upstream in catalogue.upstreams.values():
            state = self._states.get(upstream.id)
            if state is None:
                self._add(upstream, None, tasks)
            elif _has_same_connection_settings(state.upstream, upstream):
                state.upstream = upstream
            else:
                self._remove(state, tasks)
                self._ramp.reset(upstream.id, Reason.NEW_INCARNATION)
                self._add(upstream, state.connections, tasks)
            self._apply_domain_state(self._states[upstream.id])

    def usable(
        self, service: ServiceName, shard: ShardName, version: VersionName, snapshot: SnapshotNumber | None
    ) -> list[UpstreamState]:
        """Return the upstreams of a shard that may get new work now and hold the snapshot."""
        found = []
        for upstream in self._catalogue.replicas(service, shard):
            state = self._states[upstream.id]
            if upstream.version != version or not self._catalogue.takes_work(upstream.failure_domain):
                continue
            if (snapshot is None or snapshot in state.snapshots) and state.usable:
                found.append(state)
        return found

    def choose(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber | None,
        excluded: Collection[UpstreamId] = (),
    ) -> UpstreamState | None:
        """Choose a replica for new work, or None if no usable one is left."""
        now_s = anyio.current_time()
        candidates = [
            (state.penalty(now_s), state)
            for state in self.usable(service, shard, version, snapshot)
            if state.upstream.id not in excluded
        ]
        if not candidates:
            return None
        ramping = [
            state
            for penalty, state in candidates
            if penalty is SelectionPenalty.BELOW_SEAT_COUNT and state.allows_request
        ]
        if ramping and random.random() < RAMP_TRAFFIC_SHARE:
            return self._choice(ramping)
        # A cold upstream that every host may send to is bounded by its allowance, so it is chosen like a warm one.
        highest_penalty = max(SelectionPenalty.COLD, min(penalty for penalty, _ in candidates))
        return self._choice([state for penalty, state in candidates if penalty <= highest_penalty])

    def hedgeable(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber | None,
        excluded: Collection[UpstreamId] = (),
    ) -> list[UpstreamState]:
        """Return the upstreams that may get a hedge: never a cold, shedding, unhealthy or leaving one."""
        now_s = anyio.current_time()
        return [
            state
            for state in self.usable(service, shard, version, snapshot)
            if state.upstream.id not in excluded and state.penalty(now_s) is SelectionPenalty.NONE
        ]

    def choose_hedge(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber | None,
        excluded: Collection[UpstreamId] = (),
    ) -> UpstreamState | None:
        """Choose a replica for a hedge, or None if there is none."""
        candidates = self.hedgeable(service, shard, version, snapshot, excluded)
        return self._choice(candidates) if candidates else None

    async def search(self, state: UpstreamState, request: Search) -> SearchOutcome:
        """Send a search to an upstream and return its outcome; cancelling this call cancels the request there."""
        if not self._takes_work(state):
            return _leaving_failure(state)
        outcome = await state.connections.search(request)
        if isinstance(outcome, UpstreamRefusal) and outcome.kind is UpstreamRefusalKind.SNAPSHOT_GONE:
            state.remove_snapshot(request.snapshot)
        return outcome

    async def execute(self, state: UpstreamState, request: Execute) -> ExecuteOutcome:
        """Send a non-idempotent request to an upstream and return its outcome."""
        if not self._takes_work(state):
            return _leaving_failure(state)
        return await state.connections.execute(request)

    def receive_allowance(self, notice: AllowanceNotice) -> None:
        """Apply another host's notice of an allowance."""
        state = self._states.get(notice.upstream)
        if self._ramp.receive(notice) and state is not None:
            state.connections.dispatch()

    def state(self, upstream_id: UpstreamId) -> UpstreamState | None:
        """Return the state of an upstream, or None if the catalogue does not have it."""
        return self._states.get(upstream_id)

    @property
    def tracks_upstreams(self) -> bool:
        """Return whether a configuration with upstreams has been applied."""
        return bool(self._states)

    def cold(self) -> list[UpstreamState]:
        """Return the upstreams that are in their ramp and may get work."""
        return [
            state
            for state in self._states.values()
            if self._ramp.is_cold(state.upstream.id) and state.usable and self._takes_work(state)
        ]

    def loads(self, service: ServiceName | None = None) -> list[ShardLoad]:
        """Return busy and total slots per shard and failure domain, over upstreams that take work."""
        sums: dict[tuple[ServiceName, ShardName, DomainName], list[int]] = {}
        for state in self._states.values():
            upstream = state.upstream
            if service not in (None, upstream.service) or state.draining or not self._takes_work(state):
                continue
            found = sums.setdefault((upstream.service, upstream.shard, upstream.failure_domain), [0, 0, 0])
            found[0] += 1
            found[1] += state.busy
            found[2] += upstream.slots
        return [ShardLoad(*key, *counts) for key, counts in sums.items()]

    def in_flight_in(self, domain: DomainName) -> int:
        """Return this host's requests in flight in a failure domain, at removed upstreams too."""
        states = [*self._states.values(), *self._removed]
        return sum(state.in_flight for state in states if state.upstream.failure_domain == domain)

    def _takes_work(self, state: UpstreamState) -> bool:
        upstream = state.upstream
        return self._states.get(upstream.id) is state and self._catalogue.takes_work(upstream.failure_domain)

    def _add(self, upstream: Upstream, previous: ConnectionGroup | None, tasks: TaskGroup) -> None:
        quota = connection_quota(upstream.connections, self._seats)
        if quota == 0:
            emit(
                Event.UPSTREAM_WITHOUT_QUOTA,
                upstream=upstream.id,
                connections=upstream.connections,
                seats=self._seats,
            )
        self._ramp.track(upstream.id, full=quota * self._seats, slots=upstream.slots)
        time_limit = partial(self._ramp.time_left_s, upstream.id)
        group = ConnectionGroup(upstream, quota, self._protocol, time_limit=time_limit)
        state = UpstreamState(upstream, group, self._ramp)
        group.observer = state.observe
        group.on_lost = state.record_connection_loss
        self._states[upstream.id] = state
        tasks.start_soon(self._run, state, previous, tasks)

    async def _run(self, state: UpstreamState, previous: ConnectionGroup | None, tasks: TaskGroup) -> None:
        if previous is not None:
            # The connections of the previous entry count against the same limit at the upstream.
            await previous.wait_closed()
        state.connections.start(tasks)
        await self._poll_status(state)

    def _remove(self, state: UpstreamState, tasks: TaskGroup) -> None:
        del self._states[state.upstream.id]
        self._removed.append(state)
        state.connections.close()
        tasks.start_soon(self._wait_until_closed, state)

    async def _wait_until_closed(self, state: UpstreamState) -> None:
        await state.connections.wait_closed()
        self._removed.remove(state)

    def _apply_domain_state(self, state: UpstreamState) -> None:
        if not self._catalogue.takes_work(state.upstream.failure_domain):
            state.connections.suspend()
            # Treating the upstream as cold from the drain on makes the order of drain, restore and notices irrelevant.
            self._ramp.reset(state.upstream.id, Reason.RESTORED)
        elif not state.draining:
            state.connections.resume()

    async def _poll_status(self, state: UpstreamState) -> None:
        while self._states.get(state.upstream.id) is state:
            if state.draining:
                # Only a status call can show the end of the drain, so the connections are reopened for one.
                state.connections.suspend()
                await anyio.sleep(REFUSAL_HOLD_S * random.uniform(1, 1.5))
                if self._takes_work(state):
                    state.connections.resume()
            await state.connections.wait_connected()
            outcome = await state.connections.status()
            if isinstance(outcome, Status):
                state.apply_status(outcome)
                if state.draining:
                    continue
            await self._wait_for_poll(state)

    async def _wait_for_poll(self, state: UpstreamState) -> None:
        is_busy = anyio.current_time() - state.load_at_s < STATUS_INTERVAL_S
        interval_s = BUSY_STATUS_INTERVAL_S if is_busy else STATUS_INTERVAL_S
        with anyio.move_on_after(interval_s * random.uniform(1 - STATUS_JITTER, 1 + STATUS_JITTER)):
            await state.status_due.wait()
        state.status_due = anyio.Event()


def _has_same_connection_settings(old: Upstream, new: Upstream) -> bool:
    return (old.address, old.connections, old.slots) == (new.address, new.connections, new.slots)


def _leaving_failure(state: UpstreamState) -> UpstreamFailure:
    return UpstreamFailure(FailureKind.LEAVING, Execution.NOT_RUN, f"{state.upstream.id} takes no new work")
