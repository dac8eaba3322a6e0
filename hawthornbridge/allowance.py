"""Ramp of cold upstreams: limits how many requests all hosts together may have in flight at each."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Protocol

import msgspec
import xxhash

from hawthornbridge.ids import Incarnation, Seat, UpstreamId
from hawthornbridge.registry import PluginKind, register

__all__ = ["UNKNOWN_INCARNATION", "AllowanceNotice", "NoRamp", "Ramp", "Reason", "SharedRamp"]

TURN_DURATION_S = 1.0
# Maximum error of a host's clock; applies at both ends of a turn.
CLOCK_SKEW_S = 0.05
# A deadline is sent as remaining time, so the transit time delays the end of the work at the upstream.
TRANSIT_S = 0.02
# A request with less time than this would usually miss its deadline.
MIN_REQUEST_DURATION_S = 0.05

UNKNOWN_INCARNATION = Incarnation(0)
INITIAL_ALLOWANCE = 1
# Successes per doubling; hosts that start beside warm upstreams need five doublings, or 40 requests, for each.
SUCCESSES_PER_DOUBLING = 8
# A reset must outweigh concurrent halvings; eight halvings lead from an allowance of 256 to 1.
FALLS_PER_RESTART = 8
# Each setback doubles the successes needed, up to 8 * 2**5, for upstreams that collapse again under a faster ramp.
MAX_SETBACKS = 5


class Reason(Enum):
    """Name the reason for a change of an allowance."""

    SUCCESS = "success"
    NEW_INCARNATION = "new_incarnation"
    RESETS = "resets"
    LATENCY_STEP = "latency_step"
    SHED = "shed"
    RESTORED = "restored"
    PEER = "peer"


class AllowanceNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tell the other hosts how much work an upstream may have in flight.

    falls counts the decreases within an incarnation. A notice with more falls replaces a state with fewer; with equal
    falls the larger allowance holds. So a late notice of growth cannot undo a decrease.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    falls: int
    allowance: int
    reason: Reason = Reason.PEER


class Ramp(Protocol):
    """Limit the work that an upstream gets from this host; the plug-in kind RAMP."""

    on_allowance: Callable[[AllowanceNotice], None]

    def track(self, upstream: UpstreamId, *, full: int, slots: int) -> None:
        """Start tracking an upstream; full is the maximum number of requests that all hosts can send it at once."""

    def forget(self, upstream: UpstreamId) -> None:
        """Stop tracking an upstream."""

    def is_cold(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is still in its ramp."""

    def is_below_seat_count(self, upstream: UpstreamId) -> bool:
        """Return whether the allowance is too small for every host to send a request at once."""

    def time_left_s(self, upstream: UpstreamId, active: int) -> float:
        """Return how long one more request may take; 0 if none may be sent, infinity if there is no limit."""

    def record_success(self, upstream: UpstreamId) -> None:
        """Record a success."""

    def record_overload(self, upstream: UpstreamId, reason: Reason) -> None:
        """Record a sign of overload."""

    def reset(self, upstream: UpstreamId, reason: Reason) -> None:
        """Treat an upstream as cold."""

    def observe_incarnation(self, upstream: UpstreamId, incarnation: Incarnation) -> None:
        """Record the incarnation that an upstream reported."""

    def receive(self, notice: AllowanceNotice) -> bool:
        """Apply another host's notice; return whether this host's state changed."""

    def notices(self) -> list[AllowanceNotice]:
        """Return a notice of every allowance, to repeat for hosts that may have missed one."""


def _ignore(_notice: AllowanceNotice) -> None:
    return


@register(PluginKind.RAMP, "none")
class NoRamp:
    """Limit nothing; the naive baseline."""

    def __init__(self, seat: Seat, seats: int) -> None:
        self.on_allowance: Callable[[AllowanceNotice], None] = _ignore

    def track(self, upstream: UpstreamId, *, full: int, slots: int) -> None:
        """Do nothing."""

    def forget(self, upstream: UpstreamId) -> None:
        """Do nothing."""

    def is_cold(self, upstream: UpstreamId) -> bool:
        """Return False."""
        return False

    def is_below_seat_count(self, upstream: UpstreamId) -> bool:
        """Return False."""
        return False

    def time_left_s(self, upstream: UpstreamId, active: int) -> float:
        """Set no limit."""
        return inf

    def record_success(self, upstream: UpstreamId) -> None:
        """Do nothing."""

    def record_overload(self, upstream: UpstreamId, reason: Reason) -> None:
        """Do nothing."""

    def reset(self, upstream: UpstreamId, reason: Reason) -> None:
        """Do nothing."""

    def observe_incarnation(self, upstream: UpstreamId, incarnation: Incarnation) -> None:
        """Do nothing."""

    def receive(self, notice: AllowanceNotice) -> bool:
        """Ignore the notice."""
        return False

    def notices(self) -> list[AllowanceNotice]:
        """Return nothing."""
        return []


@dataclass(slots=True)
class _AllowanceState:
    """Hold this host's view of one upstream's allowance."""

    full: int
    slots: int
    incarnation: Incarnation = UNKNOWN_INCARNATION
    falls: int = 0
    allowance: int = INITIAL_ALLOWANCE
    reason: Reason = Reason.NEW_INCARNATION
    successes: int = 0
    setbacks: int = 0
    # Set by a start, or once hosts have to take turns, until the upstream is warm.
    ramping: bool = True
    grown: bool = False
    ranked_turn: int = -1
    rank: int = 0

    @property
    def cold(self) -> bool:
        return self.allowance < self.full

    def record_setback(self) -> None:
        """Count a setback; the decreases that all hosts report for one overload count once."""
        if self.grown:
            self.setbacks = min(self.setbacks + 1, MAX_SETBACKS)
        self.grown = False

    def set_allowance(self, allowance: int, seats: int) -> None:
        """Set the allowance and update the progress of the ramp."""
        self.grown = self.grown or allowance > self.allowance
        self.allowance = allowance
        if not self.cold:
            self.ramping = False
            self.setbacks = 0
        elif allowance < seats:
            self.ramping = True


@register(PluginKind.RAMP, "shared")
class SharedRamp:
    """Divide each cold upstream's allowance among the seats of all hosts without any coordination."""

    def __init__(self, seat: Seat, seats: int, wall_clock: Callable[[], float] = time.time) -> None:
        self.on_allowance: Callable[[AllowanceNotice], None] = _ignore
        self._seat = seat
        self._seats = seats
        self._wall_clock = wall_clock
        self._states: dict[UpstreamId, _AllowanceState] = {}

    def track(self, upstream: UpstreamId, *, full: int, slots: int) -> None:
        """Start tracking an upstream; a new one is cold."""
        state = self._states.setdefault(upstream, _AllowanceState(full, slots))
        state.full = full
        state.slots = slots

    def forget(self, upstream: UpstreamId) -> None:
        """Stop tracking an upstream."""
        self._states.pop(upstream, None)

    def is_cold(self, upstream: UpstreamId) -> bool:
        """Return whether the allowance is below its maximum, so that it may hold a request back."""
        return self._states[upstream].cold

    def is_below_seat_count(self, upstream: UpstreamId) -> bool:
        """Return whether the allowance is smaller than the number of seats."""
        return self._states[upstream].allowance < self._seats

    def time_left_s(self, upstream: UpstreamId, active: int) -> float:
        """Return how long one more request may take, given this host's requests at the upstream."""
        state = self._states[upstream]
        if not state.cold:
            return inf
        if state.allowance >= self._seats:
            return inf if active < state.allowance // self._seats else 0.0
        if active:
            return 0.0
        now_s = self._wall_clock()
        turn = int(now_s // TURN_DURATION_S)
        into_turn_s = now_s - turn * TURN_DURATION_S
        left_s = TURN_DURATION_S - into_turn_s - CLOCK_SKEW_S - TRANSIT_S
        if into_turn_s < CLOCK_SKEW_S or left_s < MIN_REQUEST_DURATION_S:
            return 0.0
        return left_s if self._rank(upstream, state, turn) < state.allowance else 0.0

    def record_success(self, upstream: UpstreamId) -> None:
        """Double the allowance after enough successes."""
        state = self._states.get(upstream)
        if state is None or not state.cold:
            return
        state.successes += 1
        if state.successes < SUCCESSES_PER_DOUBLING << state.setbacks:
            return
        state.successes = 0
        state.set_allowance(min(state.full, state.allowance * 2), self._seats)
        state.reason = Reason.SUCCESS
        self._publish(upstream, state)

    def record_overload(self, upstream: UpstreamId, reason: Reason) -> None:
        """Halve the allowance; an upstream that was warm keeps one request for each seat and each slot.

        With less, overload of a warm upstream would make most hosts wait for a turn, and goodput would drop.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        floor = INITIAL_ALLOWANCE if state.ramping else min(state.full, max(state.slots, self._seats))
        self._fall(upstream, state, max(floor, state.allowance // 2), reason, falls=1)

    def reset(self, upstream: UpstreamId, reason: Reason) -> None:
        """Reset the allowance to its initial value."""
        state = self._states.get(upstream)
        if state is not None:
            state.ramping = True
            self._fall(upstream, state, INITIAL_ALLOWANCE, reason, falls=FALLS_PER_RESTART)

    def observe_incarnation(self, upstream: UpstreamId, incarnation: Incarnation) -> None:
        """Start a new ramp if the incarnation is a later one."""
        state = self._states.get(upstream)
        if state is not None and incarnation > state.incarnation:
            self._start_ramp(state, incarnation)
            self._publish(upstream, state)

    def receive(self, notice: AllowanceNotice) -> bool:
        """Apply growth within the same incarnation, and any decrease at once."""
        state = self._states.get(notice.upstream)
        if state is None or notice.incarnation < state.incarnation:
            return False
        if notice.incarnation > state.incarnation:
            # The allowance would be growth for an incarnation that is new here; a repeated notice applies it.
            self._start_ramp(state, notice.incarnation)
            return True
        known = (state.falls, state.allowance)
        if (notice.falls, notice.allowance) <= known:
            return False
        if notice.falls > state.falls:
            state.record_setback()
            state.falls = notice.falls
        # A host with other connection limits in its configuration may publish an allowance too large for this one.
        state.set_allowance(min(notice.allowance, state.full), self._seats)
        state.reason = notice.reason
        state.successes = 0
        return True

    def notices(self) -> list[AllowanceNotice]:
        """Return a notice of every allowance whose incarnation is known."""
        return [
            self._notice(upstream, state)
            for upstream, state in self._states.items()
            if state.incarnation > UNKNOWN_INCARNATION
        ]

    def _start_ramp(self, state: _AllowanceState, incarnation: Incarnation) -> None:
        state.incarnation = incarnation
        state.falls = 0
        state.allowance = INITIAL_ALLOWANCE
        state.reason = Reason.NEW_INCARNATION
        state.successes = 0
        state.setbacks = 0
        state.grown = False
        state.ramping = True
        state.ranked_turn = -1

    def _fall(
        self, upstream: UpstreamId, state: _AllowanceState, allowance: int, reason: Reason, *, falls: int
    ) -> None:
        state.successes = 0
        if allowance >= state.allowance:
            return
        state.falls += falls
        state.record_setback()
        state.set_allowance(allowance, self._seats)
        state.reason = reason
        self._publish(upstream, state)

    def _publish(self, upstream: UpstreamId, state: _AllowanceState) -> None:
        if state.incarnation > UNKNOWN_INCARNATION:
            self.on_allowance(self._notice(upstream, state))

    def _notice(self, upstream: UpstreamId, state: _AllowanceState) -> AllowanceNotice:
        return AllowanceNotice(upstream, state.incarnation, state.falls, state.allowance, state.reason)

    def _rank(self, upstream: UpstreamId, state: _AllowanceState, turn: int) -> int:
        """Return how many seats come before this one in a turn; all hosts compute the same order."""
        # The hash leaves out the incarnation: hosts that know different incarnations would rank the seats differently.
        if state.ranked_turn != turn:
            salt = f"{upstream}/{turn}/"
            own = xxhash.xxh3_64_intdigest(f"{salt}{self._seat}".encode())
            state.rank = sum(xxhash.xxh3_64_intdigest(f"{salt}{seat}".encode()) > own for seat in range(self._seats))
            state.ranked_turn = turn
        return state.rank
