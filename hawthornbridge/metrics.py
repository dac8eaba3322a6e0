"""Metrics in the form of prometheus_client, with bounded label sets."""

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from hawthornbridge.buckets import COVERAGE_BUCKETS, LATENCY_BUCKETS_S
from hawthornbridge.callers import ASGIApp, Receive, Scope, Send

__all__ = ["Metrics", "ProbeApp"]

EXTRA_BUCKETS = (0.0, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)


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
        self.extra = Histogram(
            "hawthornbridge_extra_load_ratio",
            "Hedges and retries of a query over the shards of its map",
            labels,
            buckets=EXTRA_BUCKETS,
            registry=self.registry,
        )
        self.sub_requests = Counter(
            "hawthornbridge_sub_requests", "Sub-requests sent", ("service", "purpose"), registry=self.registry
        )
        self.refusals = Counter(
            "hawthornbridge_refusals", "Refused requests", ("service", "class", "kind"), registry=self.registry
        )

    def gauge(self, name: str, help_text: str, value: Callable[[], float]) -> None:
        """Add a value that is read when the metrics are."""
        Gauge(f"hawthornbridge_{name}", help_text, registry=self.registry).set_function(value)


class ProbeApp:
    """Answer /healthz, /readyz and /metrics, and pass every other request on to the operators' application."""

    def __init__(self, metrics: Metrics, is_ready: Callable[[], bool], operators: ASGIApp | None = None) -> None:
        self._metrics = metrics
        self._is_ready = is_ready
        self._operators = operators

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        match (scope["method"], scope["path"]):
            case ("GET", "/healthz"):
                await _send_text(send, 200, b"ok\n")
            case ("GET", "/readyz") if self._is_ready():
                await _send_text(send, 200, b"ready\n")
            case ("GET", "/readyz"):
                await _send_text(send, 503, b"not ready\n")
            case ("GET", "/metrics"):
                await _send_text(send, 200, generate_latest(self._metrics.registry), CONTENT_TYPE_LATEST)
            case _ if self._operators is not None:
                await self._operators(scope, receive, send)
            case _:
                await _send_text(send, 404, b"no such path\n")


async def _send_text(send: Send, status: int, content: bytes, kind: str = "text/plain; charset=utf-8") -> None:
    headers = [(b"content-type", kind.encode()), (b"content-length", str(len(content)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": content})
