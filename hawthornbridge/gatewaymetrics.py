"""Metrics of the gateway; label values come only from the configuration, which bounds their number."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hawthornbridge.answers import Answer, Denied, Failed, LeafAnswer, Merged, Refused, RefusedReason, TimedOut
from hawthornbridge.buckets import COVERAGE_BUCKETS, LATENCY_BUCKETS_S, BucketCounts
from hawthornbridge.ids import RouteName
from hawthornbridge.metricspage import CollectorList
from hawthornbridge.routing import Gather, Route

if TYPE_CHECKING:
    from prometheus_client import Metric

__all__ = ["GatewayMetrics"]


@dataclass(frozen=True, slots=True)
class _Outcome:
    """What the latency is counted by."""

    route: RouteName
    label: str


class GatewayMetrics:
    """Metrics of answers, latency, coverage and sub-requests by route."""

    def __init__(self, collectors: CollectorList) -> None:
        self._latency_s: dict[_Outcome, BucketCounts] = {}
        self._coverage: dict[RouteName, BucketCounts] = {}
        self._sent: Counter[RouteName] = Counter()
        self._without_permit: Counter[tuple[RouteName, str]] = Counter()
        collectors.register(self)

    def observe(self, route: Route, answer: Answer | None, latency_s: float, sent: int) -> None:
        """Record one request."""
        outcome = _Outcome(route.name, _outcome_label(answer))
        if outcome not in self._latency_s:
            self._latency_s[outcome] = BucketCounts(LATENCY_BUCKETS_S)
        self._latency_s[outcome].observe(latency_s)
        self._sent[route.name] += sent
        if isinstance(answer, Denied) or (isinstance(answer, Refused) and answer.reason is RefusedReason.COPY_TOO_OLD):
            self.count_without_permit(route, answer)
        if isinstance(answer, Merged) and isinstance(route.plan, Gather):
            shards = len(route.plan.shards)
            if route.name not in self._coverage:
                self._coverage[route.name] = BucketCounts(COVERAGE_BUCKETS)
            self._coverage[route.name].observe((shards - answer.missing) / shards)

    def count_without_permit(self, route: Route, answer: Denied | Refused) -> None:
        """Record a request whose key is missing or not allowed, or could not be judged."""
        self._without_permit[route.name, answer.reason.value] += 1

    def collect(self) -> "Iterable[Metric]":
        """Return the metrics for prometheus_client."""
        # Imported here because only the reader of the metrics page needs it.
        from prometheus_client.metrics_core import CounterMetricFamily, HistogramMetricFamily

        latency = HistogramMetricFamily(
            "hawthornbridge_request_seconds",
            "Time from reading a request's head to its answer",
            labels=["route", "outcome"],
        )
        for outcome, counts in self._latency_s.items():
            latency.add_metric([outcome.route, outcome.label], counts.cumulative(), counts.sum)
        yield latency
        coverage = HistogramMetricFamily(
            "hawthornbridge_answer_coverage_ratio", "Share of shards in a merged answer", labels=["route"]
        )
        for route, counts in self._coverage.items():
            coverage.add_metric([route], counts.cumulative(), counts.sum)
        yield coverage
        sent = CounterMetricFamily("hawthornbridge_leaf_requests", "Requests sent to leaves", labels=["route"])
        for route, number in self._sent.items():
            sent.add_metric([route], number)
        yield sent
        without_permit = CounterMetricFamily(
            "hawthornbridge_requests_without_permit",
            "Requests that were not run for want of a valid key, or of a recent copy of the store to judge it by",
            labels=["route", "reason"],
        )
        for (route, reason), number in self._without_permit.items():
            without_permit.add_metric([route, reason], number)
        yield without_permit


def _outcome_label(answer: Answer | None) -> str:
    match answer:
        case LeafAnswer(reply):
            return "answered" if reply.status < 300 else "leaf_failure"
        case Merged():
            return "answered"
        case Refused():
            return "refused"
        case Denied():
            return "denied"
        case Failed():
            return "failed"
        case TimedOut():
            return "timed_out"
    return "caller_left"
