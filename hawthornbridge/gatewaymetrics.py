"""Metrics of the gateway; label values come only from the configuration, which bounds their number."""

from prometheus_client import CollectorRegistry, Counter, Histogram

from hawthornbridge.answers import Answer, Failed, LeafAnswer, Merged, Refused, TimedOut
from hawthornbridge.metrics import COVERAGE_BUCKETS, LATENCY_BUCKETS_S
from hawthornbridge.routing import Gather, Route

__all__ = ["GatewayMetrics"]


class GatewayMetrics:
    """Metrics of answers, latency, coverage and sub-requests by route."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._latency_s = Histogram(
            "hawthornbridge_request_seconds",
            "Time from reading a request's head to its answer",
            ("route", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._coverage = Histogram(
            "hawthornbridge_answer_coverage_ratio",
            "Share of shards in a merged answer",
            ("route",),
            buckets=COVERAGE_BUCKETS,
            registry=registry,
        )
        self._sent = Counter("hawthornbridge_leaf_requests", "Requests sent to leaves", ("route",), registry=registry)

    def observe(self, route: Route, answer: Answer | None, latency_s: float, sent: int) -> None:
        """Record one request."""
        self._latency_s.labels(route.name, _outcome_label(answer)).observe(latency_s)
        self._sent.labels(route.name).inc(sent)
        if isinstance(answer, Merged) and isinstance(route.plan, Gather):
            shards = len(route.plan.shards)
            self._coverage.labels(route.name).observe((shards - answer.missing) / shards)


def _outcome_label(answer: Answer | None) -> str:
    match answer:
        case LeafAnswer(reply):
            return "answered" if reply.status < 300 else "leaf_failure"
        case Merged():
            return "answered"
        case Refused():
            return "refused"
        case Failed():
            return "failed"
        case TimedOut():
            return "timed_out"
    return "caller_left"
