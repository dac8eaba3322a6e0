"""Budget for retries and hedges, divided among hosts without communication."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from hawthornbridge.ids import ServiceName

__all__ = ["BudgetLimits", "Purpose", "RetryBudget"]

# The limit is checked at the leaves, where a request may be counted a little later than here.
WINDOW_MARGIN = 1.1
# Part of the slack that is used: a host may join between two counts of hosts, and a restarted host no longer knows
# what it sent.
SLACK_SHARE = 0.7
# Part of the ratio that is used.
RATIO_SHARE = 0.95
# Hedges may use only this share of the budget, because a failed request is lost without a retry.
HEDGE_SHARE = 0.85


class Purpose(Enum):
    """Reason for sending an extra request."""

    HEDGE = "hedge"
    RETRY = "retry"


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits of extra requests of all hosts in any window: ratio times the requests, plus slack."""

    ratio: float
    window_s: float
    slack: float


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    extra: deque[float] = field(default_factory=deque)

    def drop_before(self, time_s: float) -> None:
        for times in (self.requests, self.extra):
            while times and times[0] < time_s:
                times.popleft()


class RetryBudget:
    """Grants extra requests for each service within this host's share of the common budget.

    The ratio applies to the requests of this host, so the sum over hosts keeps to the ratio; the slack is divided by
    the number of hosts.
    """

    def __init__(self, limits: BudgetLimits, hosts: Callable[[], int], clock: Callable[[], float]) -> None:
        self._limits = limits
        self._hosts = hosts
        self._clock = clock
        self._windows: dict[ServiceName, _Window] = {}

    def record_request(self, service: ServiceName) -> None:
        """Count a first request to a service."""
        now_s = self._clock()
        window = self._windows.setdefault(service, _Window())
        # Also here, because a service that needs no extra request never takes one.
        window.drop_before(now_s - self._limits.window_s * WINDOW_MARGIN)
        window.requests.append(now_s)

    def counted(self, service: ServiceName) -> int:
        """Return the number of requests to a service that are remembered."""
        return len(self._windows[service].requests) if service in self._windows else 0

    def take(self, service: ServiceName, purpose: Purpose) -> bool:
        """Take one extra request from the budget and return whether it is allowed."""
        now_s = self._clock()
        window = self._windows.setdefault(service, _Window())
        window.drop_before(now_s - self._limits.window_s * WINDOW_MARGIN)
        slack = self._limits.slack * SLACK_SHARE / max(1, self._hosts())
        allowed = self._limits.ratio * RATIO_SHARE * len(window.requests) + slack
        if purpose is Purpose.HEDGE:
            allowed *= HEDGE_SHARE
        if len(window.extra) + 1 > allowed:
            return False
        window.extra.append(now_s)
        return True

    def set_limits(self, limits: BudgetLimits) -> None:
        """Replace the limits; requests sent before still count."""
        self._limits = limits

    def keep_only(self, services: set[ServiceName]) -> None:
        """Drop the counts of services that no route uses."""
        for service in self._windows.keys() - services:
            del self._windows[service]
