"""Counts of observed values by bucket, which need no metrics library until they are read."""

from bisect import bisect_left
from math import inf
from typing import TypeAlias

__all__ = ["COVERAGE_BUCKETS", "LATENCY_BUCKETS_S", "BucketCounts", "BucketSample"]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.16, 0.25, 0.5, 1.0, 2.5)
COVERAGE_BUCKETS = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0)
LAST_BOUND = "+Inf"

# The text of the bound and the number of values up to it.
BucketSample: TypeAlias = tuple[str, float]


class BucketCounts:
    """Numbers of values up to each bound, and the sum of all values."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.sum = 0.0
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)

    def observe(self, value: float) -> None:
        """Count one value; a value equal to a bound belongs to its bucket."""
        self._counts[bisect_left(self._bounds, value)] += 1
        self.sum += value

    def cumulative(self) -> list[BucketSample]:
        """Return the number of values up to each bound as prometheus_client takes it, the last without a bound."""
        total = 0
        samples: list[BucketSample] = []
        for bound, count in zip((*self._bounds, inf), self._counts, strict=True):
            total += count
            samples.append((LAST_BOUND if bound == inf else str(bound), total))
        return samples
