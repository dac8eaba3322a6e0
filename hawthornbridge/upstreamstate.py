"""What this host knows of one upstream, and the reasons against sending it work."""

from dataclasses import dataclass, field
from enum import IntEnum
from math import inf
from typing import Any

import anyio

from hawthornbridge.allowance import UNKNOWN_INCARNATION, Ramp, Reason
from hawthornbridge.connections import ConnectionGroup
from hawthornbridge.ids import Incarnation, MapId, SnapshotNumber
from hawthornbridge.model import Upstream
from hawthornbridge.subrequests import (
    FailureKind,
    Result,
    SearchReply,
    Status,
    UpstreamFailure,
    UpstreamRefusal,
    UpstreamRefusalKind,
)

__all__ = ["REFUSAL_HOLD_S", "SelectionPenalty", "UpstreamState"]

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
# Weights of a new latency in the short and the long moving average. A latency step is a short average far above the
# long one: three stragglers of ten times the usual latency among ten replies make a step; one or two do not.
SHORT_MEAN_WEIGHT = 0.1
LONG_MEAN_WEIGHT = 0.01
LATENCY_STEP_FACTOR = 3.0
# A smaller rise is within the noise of a loopback or data-centre network.
MIN_LATENCY_STEP_S = 0.02
MIN_LATENCY_SAMPLES = 20


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
