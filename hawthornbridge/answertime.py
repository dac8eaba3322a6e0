"""Latest moment at which a gathered answer may go out and still arrive within its route's latency objective.

Shards that are late leave parts out of an answer, so each millisecond before that moment is worth waiting for.
"""

from collections import deque
from collections.abc import Iterable

from hawthornbridge.ids import RouteName
from hawthornbridge.latencies import LatencyWindow
from hawthornbridge.routing import Route

__all__ = ["AnswerTimes"]

# Time on the network: the request's way from the caller and the answer's way back, about 3 ms each, the rounding of
# the caller's remaining time to whole milliseconds, and the jitter of both ways.
TRANSFER_RESERVE_S = 0.010
# More time than this is not taken off for what a caller has spent before; opening a connection takes less. Remaining
# times that differ more come from callers with other time limits, or from retries whose objective has passed.
MAX_SPENT_S = 0.016
# Callers may state any time, also one that is no limit.
MAX_LEFT_S = 3_600.0
# Requests of a route whose remaining times tell how long a caller of the route waits in all.
RECENT_REQUESTS = 64
# Part of the answers that are built within the reserved time after their last part is in.
BUILD_QUANTILE = 0.9
INITIAL_BUILD_TIME_S = 0.0085
# Share of the objective that is left for the shards however slowly this host builds its answers.
MIN_GATHER_SHARE = 0.5


class _RouteTimes:
    """What one route's callers and answers have shown."""

    def __init__(self) -> None:
        self.left_s: deque[float] = deque(maxlen=RECENT_REQUESTS)
        self.build_s = LatencyWindow(INITIAL_BUILD_TIME_S)


class AnswerTimes:
    """Estimates by route: the time that callers have spent before a request, and the time to build an answer."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, _RouteTimes] = {}

    def spent_s(self, route: Route, left_s: float) -> float:
        """Record the remaining time that a caller states, and return how much of its time it has spent before.

        Callers of a route mostly start with the same time, of which those that first had to connect have less left.
        """
        recent = self._times(route).left_s
        recent.append(min(left_s, MAX_LEFT_S))
        return min(MAX_SPENT_S, max(recent) - recent[-1])

    def latest_s(self, route: Route, started_s: float, spent_s: float) -> float:
        """Return when the answer to a request that arrived at started_s has to be built."""
        reserve_s = TRANSFER_RESERVE_S + spent_s + self._times(route).build_s.quantile_s(BUILD_QUANTILE)
        return started_s + max(route.objective_s - reserve_s, route.objective_s * MIN_GATHER_SHARE)

    def record_build(self, route: Route, build_s: float) -> None:
        """Record the time from when an answer could be built until it was built."""
        self._times(route).build_s.add(build_s)

    def keep_only(self, routes: Iterable[Route]) -> None:
        """Drop the estimates of routes that are not in the configuration."""
        for name in self._routes.keys() - {route.name for route in routes}:
            del self._routes[name]

    def _times(self, route: Route) -> _RouteTimes:
        times = self._routes.get(route.name)
        if times is None:
            times = self._routes[route.name] = _RouteTimes()
        return times
