"""Runtime state of the upstreams, choice of replicas and dispatch of sub-requests."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import IntEnum
from functools import partial
from math import inf
from typing import Any

import anyio
from anyio.abc import TaskGroup

from hawthornbridge.allowance import UNKNOWN_INCARNATION, AllowanceNotice, NoRamp, Ramp, Reason
from hawthornbridge.connections import ConnectionGroup, connection_quota
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import (
    DomainName,
    Incarnation,
    MapId,
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
    Result,
    Search,
    SearchOutcome,
    SearchReply,
    Status,
    UpstreamFailure,
    UpstreamProtocol,
    UpstreamRefusal,
    UpstreamRefusalKind,
)

__all__ = ["SelectionPenalty", "ShardLoad", "UpstreamState", "UpstreamTable"]

STATUS_INTERVAL_S = 1.0
# Replies carry an upstream's load and incarnation, so while replies arrive a status adds only new snapshots. With the
# short interval, polls cost a daemon more than half of what sub-requests cost at 25 searches/s.
BUSY_STATUS_INTERVAL_S = 3.0
# Randomizes the interval by this share, so that the polls of all hosts spread out.
STATUS_JITTER = 0.25
# An upstream whose last status is older is treated as unhealthy and chosen last.
STATUS_STALE_S = 5.0
# A status may lag, so for this time it cannot override what a refusal has shown.
REFUSAL_HOLD_S = 5.0
# An upstream needs about this time after a shed to work off its queue.
SHED_HOLD_S = 0.25
# The load reported on a reply is used for this time; after it only the requests in flight from this host count.
LOAD_AGE_S = 1.0
# Two resets within this window indicate a restart of the upstream rather than one lost connection.
RESET_WINDOW_S = 1.0
# Share of a shard's requests that a cold upstream gets from a host while warm replicas are usable.
RAMP_TRAFFIC_SHARE = 0.2
# Weights of a new latency in the short and the long moving average. A latency step is a short average far above the
# long one: three stragglers of ten times the usual latency among ten replies make a step; one or two do not.
SHORT_MEAN_WEIGHT = 0.1
LONG_MEAN_WEIGHT = 0.01
LATENCY_STEP_FACTOR = 3.0
# A smaller rise is within the noise of a loopback or data-centre network.
MIN_LATENCY_STEP_S = 0.02
MIN_LATENCY_SAMPLES = 20

ReplicaChoice = Callable[[list["UpstreamState"]], "UpstreamState"]


class SelectionPenalty(IntEnum):
    """Order the reasons against sending work to a usable upstream; a larger one is stronger.

    COLD: in its ramp, but every host may send it a request. UNHEALTHY: by its status, or the status is stale.
    ALLOWANCE_USED: this host has used its part of the allowance. BELOW_SEAT_COUNT: the allowance is smaller than the
    number of seats, so hosts take turns. SHEDDING: it shed a request a moment ago.
    """

    NONE = 0
    COLD = 1
    UNHEALTHY = 2
    ALLOWANCE_USED = 3
    BELOW_SEAT_COUNT = 4
    SHEDDING = 5


@dataclass(frozen=True, slots=True)
class ShardLoad:
    """Hold the load of one shard's upstreams in one failure domain."""

    service: ServiceName
    shard: ShardName
    failure_domain: DomainName
    upstreams: int
    busy: int
    slots: int


@dataclass(eq=False)
class UpstreamState:
    """Hold what this host knows of one upstream."""

    upstream: Upstream
    connections: ConnectionGroup
    ramp: Ramp
    # Reported by status calls, which may lag or be wrong.
    unhealthy: bool = False
    draining: bool = False
    snapshots: dict[SnapshotNumber, MapId] = field(default_factory=dict)
    status_at_s: float = -inf
    # Set by refusals; a status cannot clear these before the hold time has passed.
    draining_until_s: float = -inf
    shedding_until_s: float = -inf
    gone_until_s: dict[SnapshotNumber, float] = field(default_factory=dict)
    # Reported on replies.
    incarnation: Incarnation = UNKNOWN_INCARNATION
    reported_in_flight: int = 0
    reported_slots: int = 0
    load_at_s: float = -inf
    short_latency_s: float = 0.0
    long_latency_s: float = 0.0
    latency_samples: int = 0
    sheds: int = 0
    resets: int = 0
    reset_at_s: float = -inf
    status_due: anyio.Event = field(default_factory=anyio.Event)

    @property
    def in_flight(self) -> int:
        """Return this host's requests that wait for the upstream or are being processed there."""
        return self.connections.in_flight

    @property
    def usable(self) -> bool:
        """Return whether this host may send the upstream new work, possibly after a wait in its queue."""
        return not self.draining and self.connections.accepting and self.ramp.time_left_s(self.upstream.id, 0) > 0

    @property
    def allows_request(self) -> bool:
        """Return whether the allowance admits one more request of this host without a wait."""
        return self.ramp.time_left_s(self.upstream.id, self.in_flight) > 0

    @property
    def load(self) -> float:
        """Return the requests per slot: those of this host or, if larger, the reported ones, weighted down by age."""
        in_flight = self.in_flight
        if self.reported_in_flight <= in_flight:
            # The reported number is not larger at any age, so the clock is not read.
            return in_flight / self.upstream.slots
        age_s = anyio.current_time() - self.load_at_s
        reported = self.reported_in_flight * max(0.0, 1 - age_s / LOAD_AGE_S)
        return max(in_flight, reported) / self.upstream.slots

    @property
    def busy(self) -> int:
        """Return the requests at the upstream, by its last reply if recent, else those of this host."""
        if anyio.current_time() - self.load_at_s > LOAD_AGE_S:
            return self.in_flight
        # A reply counts its own request, which has ended. Including it would make a lightly used upstream look busy.
        return max(self.reported_in_flight - 1, self.in_flight)

    def penalty(self, now_s: float) -> SelectionPenalty:
        """Return the strongest reason against sending work to the upstream."""
        if now_s < self.shedding_until_s:
            return SelectionPenalty.SHEDDING
        if self.ramp.is_below_seat_count(self.upstream.id):
            return SelectionPenalty.BELOW_SEAT_COUNT
        if not self.allows_request:
            return SelectionPenalty.ALLOWANCE_USED
        if self.unhealthy or now_s - self.status_at_s > STATUS_STALE_S:
            return SelectionPenalty.UNHEALTHY
        if self.ramp.is_cold(self.upstream.id):
            return SelectionPenalty.COLD
        return SelectionPenalty.NONE

    def observe(self, outcome: Any, latency_s: float) -> None:
        """Update the state from the outcome of one exchange."""
        match outcome:
            case SearchReply() | Result():
                self.ramp.observe_incarnation(self.upstream.id, outcome.incarnation)
                self.incarnation = max(self.incarnation, outcome.incarnation)
                if isinstance(outcome, SearchReply):
                    self.reported_in_flight = outcome.in_flight
                    self.reported_slots = outcome.slots
                    self.load_at_s = anyio.current_time()
                if self._record_latency(latency_s):
                    self.ramp.record_overload(self.upstream.id, Reason.LATENCY_STEP)
                else:
                    self.ramp.record_success(self.upstream.id)
            case UpstreamRefusal(UpstreamRefusalKind.SHED):
                self.sheds += 1
                self.shedding_until_s = anyio.current_time() + SHED_HOLD_S
                self.ramp.record_overload(self.upstream.id, Reason.SHED)
            case UpstreamRefusal(UpstreamRefusalKind.DRAINING):
                self.draining = True
                self.draining_until_s = anyio.current_time() + REFUSAL_HOLD_S
                self.connections.suspend()
            case UpstreamFailure(FailureKind.RESET):
                self._record_reset()
            case UpstreamFailure(FailureKind.TIMEOUT) if self._record_latency(latency_s):
                self.ramp.record_overload(self.upstream.id, Reason.LATENCY_STEP)

    def record_connection_loss(self) -> None:
        """Treat the upstream as cold after the loss of its last connection."""
        self.ramp.reset(self.upstream.id, Reason.RESETS)

    def remove_snapshot(self, number: SnapshotNumber) -> None:
        """Remove a snapshot that the upstream reported as gone when it refused a request."""
        self.snapshots.pop(number, None)
        self.gone_until_s[number] = anyio.current_time() + REFUSAL_HOLD_S
        # Only a status reports the next snapshot, and the query can restart on it only after that, so poll now.
        self.status_due.set()

    def apply_status(self, status: Status) -> None:
        """Update health, draining and held snapshots from a status; a status never overrides a recent refusal."""
        now_s = anyio.current_time()
        self.status_at_s = now_s
        self.unhealthy = not status.healthy
        self.draining = status.draining or now_s < self.draining_until_s
        self.gone_until_s = {number: until_s for number, until_s in self.gone_until_s.items() if until_s > now_s}
        self.snapshots = {held.number: held.map for held in status.snapshots if held.number not in self.gone_until_s}
        self.ramp.observe_incarnation(self.upstream.id, status.incarnation)
        self.incarnation = max(self.incarnation, status.incarnation)

    def _record_reset(self) -> None:
        now_s = anyio.current_time()
        self.resets += 1
        if now_s - self.reset_at_s < RESET_WINDOW_S:
            self.ramp.reset(self.upstream.id, Reason.RESETS)
        self.reset_at_s = now_s

    def _record_latency(self, latency_s: float) -> bool:
        """Record a latency; return whether a latency step has occurred."""
        self.latency_samples += 1
        if self.latency_samples == 1:
            self.short_latency_s = self.long_latency_s = latency_s
        self.short_latency_s += SHORT_MEAN_WEIGHT * (latency_s - self.short_latency_s)
        self.long_latency_s += LONG_MEAN_WEIGHT * (latency_s - self.long_latency_s)
        limit_s = max(MIN_LATENCY_STEP_S, LATENCY_STEP_FACTOR * self.long_latency_s)
        if self.latency_samples < MIN_LATENCY_SAMPLES or self.short_latency_s <= limit_s:
            return False
        # Restarts the averages at the new level, so that one step is reported once.
        self.latency_samples = 0
        return True


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
