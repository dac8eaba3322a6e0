"""The runtime table of upstreams: what this host knows of each and has in flight there."""

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

__all__ = ["Caution", "ShardLoad", "UpstreamState", "UpstreamTable"]

STATUS_INTERVAL_S = 1.0
# Replies carry an upstream's load and incarnation, so while they arrive a status only tells of new snapshots. With the
# short interval, polls cost a daemon more than half of what sub-requests cost at 25 searches/s.
BUSY_STATUS_INTERVAL_S = 3.0
# Polls of all hosts spread over this share of the interval around its length.
STATUS_JITTER = 0.25
# An older status says nothing about health any more; the upstream is then chosen last.
STATUS_STALE_S = 5.0
# A lagging status may deny for a while what a refusal has proved.
REFUSAL_HOLD_S = 5.0
# After a shed the upstream needs about this long to work off its queue.
SHED_HOLD_S = 0.25
# Load on a reply describes an upstream for about this long; after that only local requests in flight count.
LOAD_AGE_S = 1.0
# A second reset this soon after the first points to a restart and not to one lost connection.
RESET_WINDOW_S = 1.0
# Share of a shard's requests that a cold upstream gets from a host while warm replicas are usable.
RAMP_SHARE = 0.2
# Weights of a new latency in the short and the long mean; a latency step is a short mean far above the long one.
# Three stragglers of ten times the usual latency among ten replies make a step; one or two don't.
SHORT_MEAN_WEIGHT = 0.1
LONG_MEAN_WEIGHT = 0.01
LATENCY_STEP_FACTOR = 3.0
# A smaller rise is within the noise of a loopback or a data-centre network.
LATENCY_STEP_FLOOR_S = 0.02
LATENCY_SAMPLES = 20

Choice = Callable[[list["UpstreamState"]], "UpstreamState"]


class Caution(IntEnum):
    """Order the reasons against sending work to a usable upstream; a larger one is stronger.

    COLD is in its ramp but may get a request of every host, DOUBTFUL is so by its status, FULL has used up this host's
    part of the allowance, SCARCE can't yet get a request of every host.
    """

    NONE = 0
    COLD = 1
    DOUBTFUL = 2
    FULL = 3
    SCARCE = 4
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
    # Said by status calls, which may lag or mislead.
    unhealthy: bool = False
    draining: bool = False
    snapshots: dict[SnapshotNumber, MapId] = field(default_factory=dict)
    status_at_s: float = -inf
    # Proved by refusals; a status can't take these back before their time.
    draining_until_s: float = -inf
    shedding_until_s: float = -inf
    gone_until_s: dict[SnapshotNumber, float] = field(default_factory=dict)
    # Carried on replies.
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
        """Return this host's requests waiting for or being at the upstream."""
        return self.connections.in_flight

    @property
    def usable(self) -> bool:
        """Return whether the upstream may get new work from this host, if only after a wait in its queue."""
        return not self.draining and self.connections.accepting and self.ramp.time_left_s(self.upstream.id, 0) > 0

    @property
    def open(self) -> bool:
        """Return whether the allowance lets one more request of this host through without a wait."""
        return self.ramp.time_left_s(self.upstream.id, self.in_flight) > 0

    @property
    def load(self) -> float:
        """Return the requests per slot: those of this host, or what a reply said, which counts for less as it ages."""
        in_flight = self.in_flight
        if self.reported_in_flight <= in_flight:
            # Whatever its age, the reply's figure is not the larger one.
            return in_flight / self.upstream.slots
        age_s = anyio.current_time() - self.load_at_s
        reported = self.reported_in_flight * max(0.0, 1 - age_s / LOAD_AGE_S)
        return max(in_flight, reported) / self.upstream.slots

    @property
    def busy(self) -> int:
        """Return the requests at the upstream, as its last reply or else this host knows."""
        if anyio.current_time() - self.load_at_s > LOAD_AGE_S:
            return self.in_flight
        # A reply counts its own request, which has ended by now; with it, a lightly used upstream would seem busy.
        return max(self.reported_in_flight - 1, self.in_flight)

    def caution(self, now_s: float) -> Caution:
        """Return the strongest reason against sending work to the upstream."""
        if now_s < self.shedding_until_s:
            return Caution.SHEDDING
        if self.ramp.is_scarce(self.upstream.id):
            return Caution.SCARCE
        if not self.open:
            return Caution.FULL
        if self.unhealthy or now_s - self.status_at_s > STATUS_STALE_S:
            return Caution.DOUBTFUL
        if self.ramp.is_cold(self.upstream.id):
            return Caution.COLD
        return Caution.NONE

    def observe(self, outcome: Any, latency_s: float) -> None:
        """Learn from the outcome of one exchange."""
        match outcome:
            case SearchReply() | Result():
                self.ramp.seen(self.upstream.id, outcome.incarnation)
                self.incarnation = max(self.incarnation, outcome.incarnation)
                if isinstance(outcome, SearchReply):
                    self.reported_in_flight = outcome.in_flight
                    self.reported_slots = outcome.slots
                    self.load_at_s = anyio.current_time()
                if self._note_latency(latency_s):
                    self.ramp.overloaded(self.upstream.id, Reason.LATENCY_STEP)
                else:
                    self.ramp.succeeded(self.upstream.id)
            case UpstreamRefusal(UpstreamRefusalKind.SHED):
                self.sheds += 1
                self.shedding_until_s = anyio.current_time() + SHED_HOLD_S
                self.ramp.overloaded(self.upstream.id, Reason.SHED)
            case UpstreamRefusal(UpstreamRefusalKind.DRAINING):
                self.draining = True
                self.draining_until_s = anyio.current_time() + REFUSAL_HOLD_S
                self.connections.rest()
            case UpstreamFailure(FailureKind.RESET):
                self._note_reset()
            case UpstreamFailure(FailureKind.TIMEOUT) if self._note_latency(latency_s):
                self.ramp.overloaded(self.upstream.id, Reason.LATENCY_STEP)

    def lost(self) -> None:
        """Count the upstream as cold after its last connection was lost."""
        self.ramp.restarted(self.upstream.id, Reason.RESETS)

    def lost_snapshot(self, number: SnapshotNumber) -> None:
        """Note that the upstream refused a request because it no longer holds the snapshot."""
        self.snapshots.pop(number, None)
        self.gone_until_s[number] = anyio.current_time() + REFUSAL_HOLD_S
        # The query can only restart on the next snapshot once a status has told of it.
        self.status_due.set()

    def take_status(self, status: Status) -> None:
        """Learn from a status: it may add caution, and says which snapshots are held."""
        now_s = anyio.current_time()
        self.status_at_s = now_s
        self.unhealthy = not status.healthy
        self.draining = status.draining or now_s < self.draining_until_s
        self.gone_until_s = {number: until_s for number, until_s in self.gone_until_s.items() if until_s > now_s}
        self.snapshots = {held.number: held.map for held in status.snapshots if held.number not in self.gone_until_s}
        self.ramp.seen(self.upstream.id, status.incarnation)
        self.incarnation = max(self.incarnation, status.incarnation)

    def _note_reset(self) -> None:
        now_s = anyio.current_time()
        self.resets += 1
        if now_s - self.reset_at_s < RESET_WINDOW_S:
            self.ramp.restarted(self.upstream.id, Reason.RESETS)
        self.reset_at_s = now_s

    def _note_latency(self, latency_s: float) -> bool:
        """Take in a latency; return whether it completes a step."""
        self.latency_samples += 1
        if self.latency_samples == 1:
            self.short_latency_s = self.long_latency_s = latency_s
        self.short_latency_s += SHORT_MEAN_WEIGHT * (latency_s - self.short_latency_s)
        self.long_latency_s += LONG_MEAN_WEIGHT * (latency_s - self.long_latency_s)
        limit_s = max(LATENCY_STEP_FLOOR_S, LATENCY_STEP_FACTOR * self.long_latency_s)
        if self.latency_samples < LATENCY_SAMPLES or self.short_latency_s <= limit_s:
            return False
        # The next step is measured from the new level, so one step counts once.
        self.latency_samples = 0
        return True


class UpstreamTable:
    """Track every upstream of the catalogue, choose replicas and send sub-requests."""

    def __init__(self, protocol: UpstreamProtocol, choice: Choice, seats: int, ramp: Ramp | None = None) -> None:
        self._protocol = protocol
        self._choice = choice
        self._seats = seats
        self._ramp: Ramp = ramp or NoRamp(Seat(0), seats)
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._leaving: list[UpstreamState] = []
        self._catalogue = Catalogue()

    def apply(self, catalogue: Catalogue, tasks: TaskGroup) -> None:
        """Follow a new catalogue: added, changed and removed upstreams, drained and restored failure domains."""
        self._catalogue = catalogue
        for upstream_id in [known for known in self._states if known not in catalogue.upstreams]:
            self._remove(self._states[upstream_id], tasks)
            self._ramp.forget(upstream_id)
        for upstream in catalogue.upstreams.values():
            state = self._states.get(upstream.id)
            if state is None:
                self._add(upstream, None, tasks)
            elif _connects_alike(state.upstream, upstream):
                state.upstream = upstream
            else:
                self._remove(state, tasks)
                self._ramp.restarted(upstream.id, Reason.NEW_INCARNATION)
                self._add(upstream, state.connections, tasks)
            self._follow_domain(self._states[upstream.id])

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
            (state.caution(now_s), state)
            for state in self.usable(service, shard, version, snapshot)
            if state.upstream.id not in excluded
        ]
        if not candidates:
            return None
        ramping = [state for caution, state in candidates if caution is Caution.SCARCE and state.open]
        if ramping and random.random() < RAMP_SHARE:
            return self._choice(ramping)
        # An upstream whose allowance every host has a part in needs no protection from ordinary choice.
        least = max(Caution.COLD, min(caution for caution, _ in candidates))
        return self._choice([state for caution, state in candidates if caution <= least])

    def hedgeable(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber | None,
        excluded: Collection[UpstreamId] = (),
    ) -> list[UpstreamState]:
        """Return the upstreams that may get a hedge: never a cold, shedding, doubtful or leaving one."""
        now_s = anyio.current_time()
        return [
            state
            for state in self.usable(service, shard, version, snapshot)
            if state.upstream.id not in excluded and state.caution(now_s) is Caution.NONE
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
            return _leaving(state)
        outcome = await state.connections.search(request)
        if isinstance(outcome, UpstreamRefusal) and outcome.kind is UpstreamRefusalKind.SNAPSHOT_GONE:
            state.lost_snapshot(request.snapshot)
        return outcome

    async def execute(self, state: UpstreamState, request: Execute) -> ExecuteOutcome:
        """Send a non-idempotent request to an upstream and return its outcome."""
        if not self._takes_work(state):
            return _leaving(state)
        return await state.connections.execute(request)

    def receive_allowance(self, notice: AllowanceNotice) -> None:
        """Take in another host's notice of an allowance."""
        state = self._states.get(notice.upstream)
        if self._ramp.receive(notice) and state is not None:
            state.connections.dispatch()

    def state(self, upstream_id: UpstreamId) -> UpstreamState | None:
        """Return what is known of an upstream of the catalogue."""
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
        states = [*self._states.values(), *self._leaving]
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
        gate = partial(self._ramp.time_left_s, upstream.id)
        group = ConnectionGroup(upstream, quota, self._protocol, gate=gate)
        state = UpstreamState(upstream, group, self._ramp)
        group.observer = state.observe
        group.lost = state.lost
        self._states[upstream.id] = state
        tasks.start_soon(self._run, state, previous, tasks)

    async def _run(self, state: UpstreamState, previous: ConnectionGroup | None, tasks: TaskGroup) -> None:
        if previous is not None:
            # The connections of the earlier entry count against the same limit.
            await previous.wait_closed()
        state.connections.start(tasks)
        await self._poll_status(state)

    def _remove(self, state: UpstreamState, tasks: TaskGroup) -> None:
        del self._states[state.upstream.id]
        self._leaving.append(state)
        state.connections.close()
        tasks.start_soon(self._await_end, state)

    async def _await_end(self, state: UpstreamState) -> None:
        await state.connections.wait_closed()
        self._leaving.remove(state)

    def _follow_domain(self, state: UpstreamState) -> None:
        if not self._catalogue.takes_work(state.upstream.failure_domain):
            state.connections.rest()
            # Counting it as cold from now on makes the order of drain, restore and notices irrelevant.
            self._ramp.restarted(state.upstream.id, Reason.RESTORED)
        elif not state.draining:
            state.connections.resume()

    async def _poll_status(self, state: UpstreamState) -> None:
        while self._states.get(state.upstream.id) is state:
            if state.draining:
                # Only a new status can tell that the drain is over, so the connections are opened again for it.
                state.connections.rest()
                await anyio.sleep(REFUSAL_HOLD_S * random.uniform(1, 1.5))
                if self._takes_work(state):
                    state.connections.resume()
            await state.connections.wait_connected()
            outcome = await state.connections.status()
            if isinstance(outcome, Status):
                state.take_status(outcome)
                if state.draining:
                    continue
            await self._wait_for_poll(state)

    async def _wait_for_poll(self, state: UpstreamState) -> None:
        is_busy = anyio.current_time() - state.load_at_s < STATUS_INTERVAL_S
        interval_s = BUSY_STATUS_INTERVAL_S if is_busy else STATUS_INTERVAL_S
        with anyio.move_on_after(interval_s * random.uniform(1 - STATUS_JITTER, 1 + STATUS_JITTER)):
            await state.status_due.wait()
        state.status_due = anyio.Event()


def _connects_alike(old: Upstream, new: Upstream) -> bool:
    return (old.address, old.connections, old.slots) == (new.address, new.connections, new.slots)


def _leaving(state: UpstreamState) -> UpstreamFailure:
    return UpstreamFailure(FailureKind.LEAVING, Execution.NOT_RUN, f"{state.upstream.id} takes no new work")
