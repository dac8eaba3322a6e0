"""Ramp of cold upstreams: how much work all hosts together may have in flight at each."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol

import msgspec
import xxhash

from hawthornbridge.ids import Incarnation, Seat, UpstreamId
from hawthornbridge.registry import Kind, register

__all__ = ["UNKNOWN_INCARNATION", "AllowanceNotice", "NoRamp", "Ramp", "Reason", "SharedRamp"]

TURN_S = 1.0
# Each host's clock may be off by this much, at either end of a turn.
CLOCK_SKEW_S = 0.05
# The deadline travels as time left, so the way to the upstream shifts the end of the work there.
TRANSIT_S = 0.02
# A request that must end sooner than this would mostly miss its deadline.
SHORTEST_REQUEST_S = 0.05

UNKNOWN_INCARNATION = Incarnation(0)
START_ALLOWANCE = 1
# Successes that double the allowance: a tier that starts with warm upstreams needs five doublings, 40 requests, each.
SUCCESSES_PER_DOUBLING = 8
# A fall to the start outweighs any number of concurrent halvings, of which eight lead from 256 to 1.
FALLS_OF_RESTART = 8
# Each fall doubles the successes needed, up to 8 * 2**5, for an upstream that a quicker ramp makes fall over again.
MOST_SETBACKS = 5


class Reason(Enum):
    """Name why an allowance changed."""

    SUCCESS = "success"
    NEW_INCARNATION = "new_incarnation"
    RESETS = "resets"
    LATENCY_STEP = "latency_step"
    SHED = "shed"
    RESTORED = "restored"
    PEER = "peer"


class AllowanceNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tell the other hosts how much work an upstream may have in flight.

    Falls counts the falls within an incarnation. A reading with more falls replaces one with fewer, and among readings
    with equal falls the largest holds, so a late notice of growth can't undo a fall.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    falls: int
    allowance: int
    reason: Reason = Reason.PEER


class Ramp(Protocol):
    """Decide how much work an upstream may get from this host; the plug-in kind RAMP."""

    on_allowance: Callable[[AllowanceNotice], None]

    def track(self, upstream: UpstreamId, *, full: int, slots: int) -> None:
        """Follow an upstream; full is the largest number of requests that all hosts can send it at once."""

    def forget(self, upstream: UpstreamId) -> None:
        """Stop following an upstream."""

    def is_cold(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is still in its ramp."""

    def is_scarce(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream may not yet get a request of every host at once."""

    def time_left_s(self, upstream: UpstreamId, active: int) -> float:
        """Return how long one more request may take; 0 if none may be sent, infinity if nothing limits it."""

    def succeeded(self, upstream: UpstreamId) -> None:
        """Note a success."""

    def overloaded(self, upstream: UpstreamId, reason: Reason) -> None:
        """Note a sign of overload."""

    def restarted(self, upstream: UpstreamId, reason: Reason) -> None:
        """Count an upstream as cold."""

    def seen(self, upstream: UpstreamId, incarnation: Incarnation) -> None:
        """Note the incarnation that an upstream reported."""

    def receive(self, notice: AllowanceNotice) -> bool:
        """Take in another host's notice; return whether this host's reading changed."""

    def notices(self) -> list[AllowanceNotice]:
        """Return every reading, to repeat to hosts that may have missed a notice."""


def _ignore(_notice: AllowanceNotice) -> None:
    return


@register(Kind.RAMP, "none")
class NoRamp:
    """Send every upstream what it is chosen for; the naive baseline."""

    def __init__(self, seat: Seat, seats: int) -> None:
        self.on_allowance: Callable[[AllowanceNotice], None] = _ignore

    def track(self, upstream: UpstreamId, *, full: int, slots: int) -> None:
        """Do nothing."""

    def forget(self, upstream: UpstreamId) -> None:
        """Do nothing."""

    def is_cold(self, upstream: UpstreamId) -> bool:
        """Return False."""
        return False

    def is_scarce(self, upstream: UpstreamId) -> bool:
        """Return False."""
        return False

    def time_left_s(self, upstream: UpstreamId, active: int) -> float:
        """Set no limit."""
        return inf

    def succeeded(self, upstream: UpstreamId) -> None:
        """Do nothing."""

    def overloaded(self, upstream: UpstreamId, reason: Reason) -> None:
        """Do nothing."""

    def restarted(self, upstream: UpstreamId, reason: Reason) -> None:
        """Do nothing."""

    def seen(self, upstream: UpstreamId, incarnation: Incarnation) -> None:
        """Do nothing."""

    def receive(self, notice: AllowanceNotice) -> bool:
        """Ignore the notice."""
        return False

    def notices(self) -> list[AllowanceNotice]:
        """Return nothing."""
        return []


@dataclass(slots=True)
class _Reading:
    """Hold what this host knows of one upstream's allowance."""

    full: int
    slots: int
    incarnation: Incarnation = UNKNOWN_INCARNATION
    falls: int = 0
    allowance: int = START_ALLOWANCE
    reason: Reason = Reason.NEW_INCARNATION
    successes: int = 0
    setbacks: int = 0
    # Set from a start, or from sharing turns, until the upstream is warm.
    ramping: bool = True
    grown: bool = False
    ranked_turn: int = -1
    rank: int = 0

    @property
    def cold(self) -> bool:
        return self.allowance < self.full

    def set_back(self) -> None:
        """Count a setback; the many falls that one overload causes at all hosts count once."""
        if self.grown:
            self.setbacks = min(self.setbacks + 1, MOST_SETBACKS)
        self.grown = False

    def follow(self, allowance: int, seats: int) -> None:
        """Set the allowance, and with it how far the ramp is."""
        self.grown = self.grown or allowance > self.allowance
        self.allowance = allowance
        if not self.cold:
            self.ramping = False
            self.setbacks = 0
        elif allowance < seats:
            self.ramping = True


@register(Kind.RAMP, "shared")
class SharedRamp:
    """Share each cold upstream's allowance between the seats of all hosts, without asking any of them."""

    def __init__(self, seat: Seat, seats: int, wall_clock: Callable[[], float] = time.time) -> None:
        self.on_allowance: Callable[[AllowanceNotice], None] = _ignore
        self._seat = seat
        self._seats = seats
        self._wall_clock = wall_clock
        self._readings: dict[UpstreamId, _Reading] = {}

    def track(self, upstream: UpstreamId, *, full: int, slots: int) -> None:
        """Follow an upstream, cold until it has proved otherwise."""
        reading = self._readings.setdefault(upstream, _Reading(full, slots))
        reading.full = full
        reading.slots = slots

    def forget(self, upstream: UpstreamId) -> None:
        """Stop following an upstream."""
        self._readings.pop(upstream, None)

    def is_cold(self, upstream: UpstreamId) -> bool:
        """Return whether the allowance could still hold a request back."""
        return self._readings[upstream].cold

    def is_scarce(self, upstream: UpstreamId) -> bool:
        """Return whether the allowance is smaller than the number of seats."""
        return self._readings[upstream].allowance < self._seats

    def time_left_s(self, upstream: UpstreamId, active: int) -> float:
        """Return how long one more request may take, given this host's requests at the upstream."""
        reading = self._readings[upstream]
        if not reading.cold:
            return inf
        if reading.allowance >= self._seats:
            return inf if active < reading.allowance // self._seats else 0.0
        if active:
            return 0.0
        now_s = self._wall_clock()
        turn = int(now_s // TURN_S)
        into_turn_s = now_s - turn * TURN_S
        left_s = TURN_S - into_turn_s - CLOCK_SKEW_S - TRANSIT_S
        if into_turn_s < CLOCK_SKEW_S or left_s < SHORTEST_REQUEST_S:
            return 0.0
        return left_s if self._rank(upstream, reading, turn) < reading.allowance else 0.0

    def succeeded(self, upstream: UpstreamId) -> None:
        """Grow the allowance after enough successes."""
        reading = self._readings.get(upstream)
        if reading is None or not reading.cold:
            return
        reading.successes += 1
        if reading.successes < SUCCESSES_PER_DOUBLING << reading.setbacks:
            return
        reading.successes = 0
        reading.follow(min(reading.full, reading.allowance * 2), self._seats)
        reading.reason = Reason.SUCCESS
        self._publish(upstream, reading)

    def overloaded(self, upstream: UpstreamId, reason: Reason) -> None:
        """Halve the allowance; an upstream that was warm keeps a request for each seat and each slot.

        Overload of a warm upstream would otherwise take most hosts' turns away, and with them the goodput.
        """
        reading = self._readings.get(upstream)
        if reading is None:
            return
        floor = START_ALLOWANCE if reading.ramping else min(reading.full, max(reading.slots, self._seats))
        self._fall(upstream, reading, max(floor, reading.allowance // 2), reason, falls=1)

    def restarted(self, upstream: UpstreamId, reason: Reason) -> None:
        """Let the allowance fall to its start."""
        reading = self._readings.get(upstream)
        if reading is not None:
            reading.ramping = True
            self._fall(upstream, reading, START_ALLOWANCE, reason, falls=FALLS_OF_RESTART)

    def seen(self, upstream: UpstreamId, incarnation: Incarnation) -> None:
        """Start a new ramp if the incarnation is a later one."""
        reading = self._readings.get(upstream)
        if reading is not None and incarnation > reading.incarnation:
            self._begin(reading, incarnation)
            self._publish(upstream, reading)

    def receive(self, notice: AllowanceNotice) -> bool:
        """Adopt growth of the same incarnation, and any fall at once."""
        reading = self._readings.get(notice.upstream)
        if reading is None or notice.incarnation < reading.incarnation:
            return False
        if notice.incarnation > reading.incarnation:
            # The notice's own allowance is growth for an incarnation that is news here; its repetition brings it.
            self._begin(reading, notice.incarnation)
            return True
        known = (reading.falls, reading.allowance)
        if (notice.falls, notice.allowance) <= known:
            return False
        if notice.falls > reading.falls:
            reading.set_back()
            reading.falls = notice.falls
        # A host with another view of the connection limits may publish an allowance that is too large for this one.
        reading.follow(min(notice.allowance, reading.full), self._seats)
        reading.reason = notice.reason
        reading.successes = 0
        return True

    def notices(self) -> list[AllowanceNotice]:
        """Return every reading of a known incarnation."""
        return [
            self._notice(upstream, reading)
            for upstream, reading in self._readings.items()
            if reading.incarnation > UNKNOWN_INCARNATION
        ]

    def _begin(self, reading: _Reading, incarnation: Incarnation) -> None:
        reading.incarnation = incarnation
        reading.falls = 0
        reading.allowance = START_ALLOWANCE
        reading.reason = Reason.NEW_INCARNATION
        reading.successes = 0
        reading.setbacks = 0
        reading.grown = False
        reading.ramping = True
        reading.ranked_turn = -1

    def _fall(self, upstream: UpstreamId, reading: _Reading, allowance: int, reason: Reason, *, falls: int) -> None:
        reading.successes = 0
        if allowance >= reading.allowance:
            return
        reading.falls += falls
        reading.set_back()
        reading.follow(allowance, self._seats)
        reading.reason = reason
        self._publish(upstream, reading)

    def _publish(self, upstream: UpstreamId, reading: _Reading) -> None:
        if reading.incarnation > UNKNOWN_INCARNATION:
            self.on_allowance(self._notice(upstream, reading))

    def _notice(self, upstream: UpstreamId, reading: _Reading) -> AllowanceNotice:
        return AllowanceNotice(upstream, reading.incarnation, reading.falls, reading.allowance, reading.reason)

    def _rank(self, upstream: UpstreamId, reading: _Reading, turn: int) -> int:
        """Return how many seats come before this one in the turn; all hosts agree on it, whatever else they know."""
        # The incarnation is left out: hosts that know different ones would rank the seats differently.
        if reading.ranked_turn != turn:
            salt = f"{upstream}/{turn}/"
            own = xxhash.xxh3_64_intdigest(f"{salt}{self._seat}".encode())
            reading.rank = sum(xxhash.xxh3_64_intdigest(f"{salt}{seat}".encode()) > own for seat in range(self._seats))
            reading.ranked_turn = turn
        return reading.rank
