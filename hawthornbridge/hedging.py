"""Hedge delay from latency histograms, and the budgets of hedges and retries."""

from collections.abc import Callable
from typing import Protocol

import anyio
from hdrh.histogram import HdrHistogram

from hawthornbridge.ids import RouteName, ServiceName
from hawthornbridge.registry import PluginKind, register

__all__ = ["Budget", "HedgePolicy", "LatencyWindows", "NaivePolicy", "QuantileHedging", "UnhedgedPolicy"]

Clock = Callable[[], float]

# The window is long enough for a steady quantile at 100 sub-requests/s and short enough to follow a load change.
WINDOW_S = 10.0
# A quantile takes about 0.2 ms to compute, so each service and route computes it at most once per interval.
QUANTILE_REFRESH_INTERVAL_S = 0.25
# Hedges 3% of sub-requests, below the budget of 5%, so that the budget is rarely empty when a hedge is needed.
HEDGE_QUANTILE = 97.0
# With fewer samples a single straggler would set the quantile.
MIN_SAMPLES = 50
# Used while there are too few samples.
INITIAL_HEDGE_DELAY_S = 0.05
MIN_HEDGE_DELAY_S = 0.001
MIN_LATENCY_US = 64
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 2
# Bounds a burst of hedges after a time without hedges.
HEDGE_BURST = 10.0
# Covers the sub-requests in flight to one lost upstream, about 25 connections on each of a few shards.
RETRY_BURST = 100.0


class HedgePolicy(Protocol):
    """Decide when to hedge or retry a sub-request; the plug-in kind HEDGING, created with the two budget shares."""

    retries: bool

    def record_sent(self, service: ServiceName) -> None:
        """Count one first sub-request, which adds its share to the budgets."""

    def observe(self, service: ServiceName, route: RouteName, latency_s: float) -> None:
        """Record the time that a sub-request took."""

    def delay_s(self, service: ServiceName, route: RouteName) -> float | None:
        """Return how long to wait before hedging, or None if hedging is off."""

    def take_hedge(self, service: ServiceName) -> bool:
        """Take one hedge from the budget; return False if the budget is used up."""

    def take_retry(self, service: ServiceName) -> bool:
        """Take one retry from the budget; return False if the budget is used up."""


class Budget:
    """Limit extra sub-requests to a share of the first ones; a token bucket that each first one fills by the share."""

    def __init__(self, share: float, burst: float, tokens: float = 0.0) -> None:
        self._share = share
        self._burst = burst
        self._tokens = tokens

    def earn(self) -> None:
        """Count one sub-request that was sent."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one token; return False if the bucket has none."""
        # Rounding errors may leave the sum of many shares just below a whole token.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


class LatencyWindows:
    """Record latencies in two overlapping windows; the older is read, so it spans at least half a window."""

    def __init__(self, clock: Clock = anyio.current_time) -> None:
        self._clock = clock
        self._older = _histogram()
        self._newer = _histogram()
        self._rotated_at_s = clock()
        self._computed_at_s = float("-inf")
        self._delay_s = INITIAL_HEDGE_DELAY_S

    def record(self, latency_s: float) -> None:
        """Record one latency."""
        self._rotate(self._clock())
        value_us = min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(latency_s * 1_000_000)))
        self._older.record_value(value_us)
        self._newer.record_value(value_us)

    def delay_s(self) -> float:
        """Return the hedge quantile, or the first delay while there are too few samples."""
        now_s = self._clock()
        self._rotate(now_s)
        if now_s - self._computed_at_s < QUANTILE_REFRESH_INTERVAL_S:
            return self._delay_s
        if self._older.total_count >= MIN_SAMPLES:
            quantile_us = self._older.get_value_at_percentile(HEDGE_QUANTILE)
            self._delay_s = max(MIN_HEDGE_DELAY_S, quantile_us / 1_000_000)
            self._computed_at_s = now_s
        return self._delay_s

    def _rotate(self, now_s: float) -> None:
        if now_s - self._rotated_at_s < WINDOW_S / 2:
            return
        self._rotated_at_s = now_s
        self._older, self._newer = self._newer, _histogram()


class _Budgets:
    """Hold one budget per service, created on first use."""

    def __init__(self, share: float, burst: float, tokens: float) -> None:
        self._new = lambda: Budget(share, burst, tokens)
        self._budgets: dict[ServiceName, Budget] = {}

    def of(self, service: ServiceName) -> Budget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._new()
        return budget


@register(PluginKind.HEDGING, "naive")
class NaivePolicy:
    """Neither hedge nor retry; the naive baseline."""

    retries = False

    def __init__(self, hedge_share: float = 0.0, retry_share: float = 0.0) -> None:
        pass

    def record_sent(self, service: ServiceName) -> None:
        """Count nothing."""

    def observe(self, service: ServiceName, route: RouteName, latency_s: float) -> None:
        """Record nothing."""

    def delay_s(self, service: ServiceName, route: RouteName) -> float | None:
        """Never hedge."""
        return None

    def take_hedge(self, service: ServiceName) -> bool:
        """Never hedge."""
        return False

    def take_retry(self, service: ServiceName) -> bool:
        """Never retry."""
        return False


@register(PluginKind.HEDGING, "none")
class UnhedgedPolicy(NaivePolicy):
    """Retry within the budget, but never hedge."""

    retries = True

    def __init__(self, hedge_share: float = 0.0, retry_share: float = 0.1) -> None:
        super().__init__()
        # The retry bucket starts full because an upstream may be lost right after the start.
        self._retries = _Budgets(retry_share, RETRY_BURST, RETRY_BURST if retry_share else 0.0)

    def record_sent(self, service: ServiceName) -> None:
        """Add the share of one sub-request to the retry budget."""
        self._retries.of(service).earn()

    def take_retry(self, service: ServiceName) -> bool:
        """Take one retry from the budget; return False if the budget is used up."""
        return self._retries.of(service).take()


@register(PluginKind.HEDGING, "quantile")
class QuantileHedging(UnhedgedPolicy):
    """Hedge after a high quantile of the recent latencies of the service and route."""

    def __init__(self, hedge_share: float = 0.05, retry_share: float = 0.1, clock: Clock = anyio.current_time) -> None:
        super().__init__(hedge_share, retry_share)
        self._clock = clock
        # The hedge bucket starts empty, so hedges stay within the share from the first request on.
        self._hedges = _Budgets(hedge_share, HEDGE_BURST, 0.0)
        self._windows: dict[tuple[ServiceName, RouteName], LatencyWindows] = {}

    def record_sent(self, service: ServiceName) -> None:
        """Add the share of one sub-request to the hedge and the retry budget."""
        super().record_sent(service)
        self._hedges.of(service).earn()

    def observe(self, service: ServiceName, route: RouteName, latency_s: float) -> None:
        """Record the time that a sub-request took."""
        self._windows_of(service, route).record(latency_s)

    def delay_s(self, service: ServiceName, route: RouteName) -> float | None:
        """Return the hedge delay of the service and route."""
        return self._windows_of(service, route).delay_s()

    def take_hedge(self, service: ServiceName) -> bool:
        """Take one hedge from the budget; return False if the budget is used up."""
        return self._hedges.of(service).take()

    def _windows_of(self, service: ServiceName, route: RouteName) -> LatencyWindows:
        windows = self._windows.get((service, route))
        if windows is None:
            windows = self._windows[service, route] = LatencyWindows(self._clock)
        return windows


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
