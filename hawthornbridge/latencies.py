"""Quantiles of the recent sub-request latencies of a route."""

from collections import deque

__all__ = ["LatencyWindow"]

WINDOW_SAMPLES = 256
REFRESH_SAMPLES = 32
# A small minimum, because a route with few requests would otherwise keep its initial estimate for long.
MIN_SAMPLES = 8


class LatencyWindow:
    """Latency quantiles of recent sub-requests; sorts once per batch of samples because reads are frequent."""

    def __init__(self, initial_s: float) -> None:
        self._initial_s = initial_s
        self._samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._sorted: list[float] = []
        self._unsorted = 0
        self._quantiles_s: dict[float, float] = {}

    def add(self, latency_s: float) -> None:
        """Add one latency."""
        self._samples.append(latency_s)
        self._unsorted += 1
        if self._unsorted >= min(REFRESH_SAMPLES, max(MIN_SAMPLES, len(self._sorted))):
            self._sorted = sorted(self._samples)
            self._unsorted = 0
            self._quantiles_s.clear()

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the samples; until there are enough, derive it from the initial estimate."""
        quantile_s = self._quantiles_s.get(share)
        if quantile_s is None:
            quantile_s = self._quantiles_s[share] = self._compute_quantile_s(share)
        return quantile_s

    def _compute_quantile_s(self, share: float) -> float:
        if not self._sorted:
            return self._initial_s * (1.0 + share)
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]
