"""Evidence on rollouts: counted on each host and merged over all hosts."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import msgspec

from hawthornbridge.ids import HostId, Incarnation, RouteName, ServiceName
from hawthornbridge.model import Rollout

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

__all__ = ["EvidenceCounters", "EvidenceRow", "RolloutEvidence", "Sample", "Tally", "TallyKey"]

# The old version's latency quantile above which a request counts as slow, on either version.
SLOW_THRESHOLD_PERCENTILE = 90.0
WINDOW_MIN_S = 2.0
WINDOW_MIN_SAMPLES = 50
MAX_LATENCY_US = 60_000_000


class TallyKey(msgspec.Struct, frozen=True):
    """What a tally counts: one step of a rollout, one route, and one of the two versions."""

    step: int
    route: RouteName
    is_new: bool


class Tally(msgspec.Struct, frozen=True):
    """The number of requests, and how many of them failed or were slow."""

    requests: int = 0
    failed: int = 0
    slow: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(self.requests + other.requests, self.failed + other.failed, self.slow + other.slow)

    def __sub__(self, other: "Tally") -> "Tally":
        return Tally(self.requests - other.requests, self.failed - other.failed, self.slow - other.slow)

    def join(self, other: "Tally") -> "Tally":
        """Return the later of two readings of the same counters, which never decrease."""
        return Tally(max(self.requests, other.requests), max(self.failed, other.failed), max(self.slow, other.slow))


class EvidenceRow(msgspec.Struct, frozen=True):
    """One tally with its key."""

    key: TallyKey
    tally: Tally


class RolloutEvidence(msgspec.Struct, frozen=True):
    """One host's counters of one rollout, and the reason if the host has cut the rollout.

    age_ms is the time since the order of the rollout, as the host counts it.
    """

    rollout: str
    host: HostId
    incarnation: Incarnation
    rows: tuple[EvidenceRow, ...]
    cut: str | None = None
    age_ms: int = 0


@dataclass(frozen=True, slots=True)
class Sample:
    """The result of one request on one version; failed means that an upstream of the version failed the request.

    slow is None if the latency has yet to be compared with the old version's.
    """

    route: RouteName
    is_new: bool
    latency_s: float
    failed: bool
    slow: bool | None = None


def _latency_histogram() -> "HdrHistogram":
    # Imported here because only hosts that take requests during a rollout need it.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(1, MAX_LATENCY_US, 2)


@dataclass
class _SlowThreshold:
    """Tracks the old version's latency, so that both versions are compared with the same recent threshold."""

    limit_s: float | None = None
    _window: "HdrHistogram" = field(default_factory=_latency_histogram)
    _started_s: float = field(default_factory=anyio.current_time)

    def add(self, latency_s: float) -> None:
        """Count a latency of the old version, and update the threshold once the window is full."""
        self._window.record_value(max(1, min(MAX_LATENCY_US, int(latency_s * 1e6))))
        now_s = anyio.current_time()
        if now_s - self._started_s < WINDOW_MIN_S or self._window.get_total_count() < WINDOW_MIN_SAMPLES:
            return
        self.limit_s = self._window.get_value_at_percentile(SLOW_THRESHOLD_PERCENTILE) / 1e6
        self._window.reset()
        self._started_s = now_s


class EvidenceCounters:
    """The evidence counters of every host for the open rollouts."""

    def __init__(self, host: HostId, incarnation: Incarnation) -> None:
        self._own_key = (host, incarnation)
        self._tallies: dict[str, dict[tuple[HostId, Incarnation], dict[TallyKey, Tally]]] = {}
        self._thresholds: dict[tuple[ServiceName, RouteName], _SlowThreshold] = {}

    def record(self, rollout: Rollout, sample: Sample) -> None:
        """Count one request of this host."""
        slow = self._is_slow(rollout.service, sample) if sample.slow is None else sample.slow
        own_tallies = self._tallies.setdefault(rollout.id, {}).setdefault(self._own_key, {})
        key = TallyKey(rollout.step, sample.route, sample.is_new)
        own_tallies[key] = own_tallies.get(key, Tally()) + Tally(1, int(sample.failed), int(slow))

    def own(self, rollout_id: str, cut: str | None) -> RolloutEvidence:
        """Return this host's counters, for sending to the other hosts."""
        rows = self._tallies.get(rollout_id, {}).get(self._own_key, {})
        return RolloutEvidence(
            rollout_id, *self._own_key, tuple(EvidenceRow(key, tally) for key, tally in rows.items()), cut
        )

    def merge(self, evidence: RolloutEvidence) -> None:
        """Merge another host's counters; late and repeated copies have no effect."""
        sender = (evidence.host, evidence.incarnation)
        if sender == self._own_key:
            return
        other_tallies = self._tallies.setdefault(evidence.rollout, {}).setdefault(sender, {})
        for row in evidence.rows:
            other_tallies[row.key] = other_tallies.get(row.key, Tally()).join(row.tally)

    def totals(self, rollout_id: str) -> dict[TallyKey, Tally]:
        """Return the sum over all hosts."""
        totals: dict[TallyKey, Tally] = {}
        for rows in self._tallies.get(rollout_id, {}).values():
            for key, tally in rows.items():
                totals[key] = totals.get(key, Tally()) + tally
        return totals

    def retain(self, rollout_ids: Iterable[str]) -> None:
        """Drop the counters of every rollout that is not listed."""
        kept = set(rollout_ids)
        self._tallies = {rollout_id: rows for rollout_id, rows in self._tallies.items() if rollout_id in kept}

    def _is_slow(self, service: ServiceName, sample: Sample) -> bool:
        threshold = self._threshold(service, sample.route)
        slow = threshold.limit_s is not None and sample.latency_s > threshold.limit_s
        if not sample.is_new:
            threshold.add(sample.latency_s)
        return slow

    def _threshold(self, service: ServiceName, route: RouteName) -> _SlowThreshold:
        threshold = self._thresholds.get((service, route))
        if threshold is None:
            threshold = self._thresholds[service, route] = _SlowThreshold()
        return threshold
