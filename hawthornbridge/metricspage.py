"""Page with the metrics of an entry host, built when it is read.

prometheus_client brings the HTTP servers and clients of the standard library with it, which take memory that an entry
host needs only while somebody reads its metrics.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from prometheus_client import Metric

__all__ = ["Collector", "CollectorList", "Gauges", "MetricsPage", "MetricsText"]

METRIC_PREFIX = "hawthornbridge_"


class Collector(Protocol):
    """Source of metrics, as prometheus_client defines it."""

    def collect(self) -> "Iterable[Metric]":
        """Return the metrics with their present values."""


class CollectorList(Protocol):
    """What a collector is added to: a metrics page, or a registry of prometheus_client."""

    def register(self, collector: Collector) -> None:
        """Add a collector."""


@dataclass(frozen=True, slots=True)
class MetricsText:
    """Metrics in the text format of Prometheus, with the media type."""

    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class _Gauge:
    """One gauge; the value of the label is the key of each reading, and empty without a label."""

    name: str
    help_text: str
    label: str
    readings: Mapping[str, Callable[[], float]]


class Gauges:
    """Values that are read when the metrics are."""

    def __init__(self) -> None:
        self._gauges: list[_Gauge] = []

    def add(self, name: str, help_text: str, reading: Callable[[], float]) -> None:
        """Add a value."""
        self._gauges.append(_Gauge(METRIC_PREFIX + name, help_text, "", {"": reading}))

    def add_labelled(self, name: str, help_text: str, label: str, readings: Mapping[str, Callable[[], float]]) -> None:
        """Add a value for each value of a label."""
        self._gauges.append(_Gauge(METRIC_PREFIX + name, help_text, label, readings))

    def collect(self) -> "Iterable[Metric]":
        """Return the gauges with their present values."""
        # Imported here because only the reader of the metrics page needs it.
        from prometheus_client.metrics_core import GaugeMetricFamily

        for gauge in self._gauges:
            family = GaugeMetricFamily(gauge.name, gauge.help_text, labels=[gauge.label] if gauge.label else [])
            for value, reading in gauge.readings.items():
                family.add_metric([value] if gauge.label else [], reading())
            yield family


class MetricsPage:
    """Metrics of all collectors of a host."""

    def __init__(self) -> None:
        self.gauges = Gauges()
        self._collectors: list[Collector] = [self.gauges]

    def register(self, collector: Collector) -> None:
        """Add a collector."""
        self._collectors.append(collector)

    def read(self) -> MetricsText:
        """Return the metrics with their present values."""
        # Imported here because only the reader of the metrics page needs it.
        from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        for collector in self._collectors:
            registry.register(collector)
        return MetricsText(CONTENT_TYPE_LATEST, generate_latest(registry))
