"""Metrics in the form of prometheus_client, with bounded label sets."""

from prometheus_client import CollectorRegistry, Counter, Histogram

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.16, 0.25, 0.5, 1.0, 2.5)
COVERAGE_BUCKETS = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0)


class Metrics:
    """Hold the metrics of one host; services, routes and classes come from the configuration, never from callers."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry or CollectorRegistry()
        labels = ("service", "class")
        self.latency_s = Histogram(
            "hawthornbridge_latency_seconds",
            "Time from reading a request to its answer",
            labels,
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.queue_s = Histogram(
            "hawthornbridge_queue_seconds",
            "Time a request waited for admission",
            labels,
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.coverage = Histogram(
            "hawthornbridge_coverage_ratio",
            "Share of shards that answered",
            labels,
            buckets=COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self.sub_requests = Counter(
            "hawthornbridge_sub_requests", "Sub-requests sent", ("service", "purpose"), registry=self.registry
        )
        self.cancels_dropped = Counter(
            "hawthornbridge_cancels_dropped", "Cancel calls left out because too many wait", registry=self.registry
        )
        self.refusals = Counter(
            "hawthornbridge_refusals", "Refused requests", ("service", "class", "kind"), registry=self.registry
        )
