"""What limits the requests that an admission lets run at once."""

from dataclasses import dataclass
from math import inf
from typing import Protocol

from hawthornbridge.ids import CallerId, ServiceName
from hawthornbridge.model import ClassLimits

__all__ = ["ConcurrencyLimit", "ConcurrencyRoom", "Demand", "Room"]

# Factor of the multiplicative decrease of the concurrency limit; its increase is additive.
LIMIT_DECREASE = 0.9
# With a minimum of 2, seven hosts together sent more queries at once than small upstreams could answer in time.
MIN_LIMIT = 1


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe a request to the admission policy; deadline_s is on the clock of anyio.current_time.

    objective_s is the time until which an answer is worth the most. Requests that can't meet it any more wait behind
    those that can; None if only the deadline counts.
    """

    service: ServiceName
    limits: ClassLimits
    caller: CallerId
    deadline_s: float
    objective_s: float | None = None
    # Shards of the service that may be left out of an answer.
    spare_shards: int = 0


class ConcurrencyLimit:
    """Adapt the number of concurrent requests: decrease on overload, increase while the limit is reached without it.

    A shed, or a query with many late shards, counts as overload. Latency alone is not used, because stragglers or slow
    versions would also lower the limit.
    """

    def __init__(self, highest: int) -> None:
        self._highest = float(highest)
        self._limit = float(highest)
        self._lowered_s = float("-inf")

    @property
    def value(self) -> int:
        """Return the current limit."""
        return int(self._limit)

    def observe(self, now_s: float, service_s: float, *, overloaded: bool, full: bool) -> None:
        """Adapt to one finished request that took service_s."""
        if not overloaded:
            if full:
                self._limit = min(self._highest, self._limit + 1.0 / self._limit)
            return
        # Requests that started before the last decrease do not show whether the lower limit is still too high.
        if now_s - service_s < self._lowered_s:
            return
        self._lowered_s = now_s
        self._limit = max(float(min(MIN_LIMIT, self._highest)), self._limit * LIMIT_DECREASE)


class Room(Protocol):
    """Limit the requests of a fair-share admission that run at once."""

    @property
    def concurrency(self) -> int:
        """Return how many requests can run at once, 1 or more; an estimate that waits are calculated with."""

    @property
    def load(self) -> float:
        """Return the share of the room in use."""

    @property
    def poll_s(self) -> float:
        """Return how often room may come other than by the end of a request; inf if it never does."""

    def fits(self, demand: Demand, *, keeps_reserve: bool = True) -> bool:
        """Return whether a request may start now, also if it keeps what is reserved for a more urgent class."""

    def start(self) -> None:
        """Count a request that starts."""

    def expect(self, change: int) -> None:
        """Count requests that have left the queue and whose task has not continued yet."""

    def finish(self, now_s: float, service_s: float, *, overloaded: bool) -> None:
        """Count the end of a request that took service_s."""

    def withdraw(self) -> None:
        """Undo the start of a request that did not run."""


class ConcurrencyRoom:
    """Room for as many requests as a concurrency limit allows."""

    poll_s = inf

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self._limit = limit
        self._running = 0

    @property
    def concurrency(self) -> int:
        """Return the current limit."""
        return self._limit.value

    @property
    def load(self) -> float:
        """Return the share of the limit in use."""
        return self._running / self._limit.value

    def fits(self, demand: Demand, *, keeps_reserve: bool = True) -> bool:
        """Return whether fewer requests run than the limit allows."""
        return self._running < self._limit.value

    def start(self) -> None:
        """Count a request that starts."""
        self._running += 1

    def expect(self, change: int) -> None:
        """Do nothing, because a request counts from its start."""

    def finish(self, now_s: float, service_s: float, *, overloaded: bool) -> None:
        """Adapt the limit to a request that has ended."""
        self._limit.observe(now_s, service_s, overloaded=overloaded, full=self._running >= self._limit.value)
        self._running -= 1

    def withdraw(self) -> None:
        """Undo the start of a request that did not run."""
        self._running -= 1
