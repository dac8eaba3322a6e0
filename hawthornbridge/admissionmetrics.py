"""Metrics of the admission to leaves, by class."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from hawthornbridge.leafadmission import LeafAdmission

if TYPE_CHECKING:
    from prometheus_client import Metric

__all__ = ["AdmissionMetrics"]


class AdmissionMetrics:
    """Queue lengths, waits, refusals and room of an admission."""

    def __init__(self, admission: LeafAdmission) -> None:
        self._admission = admission

    def collect(self) -> "Iterable[Metric]":
        """Return the metrics for prometheus_client."""
        # Imported here because only the reader of the metrics page needs it.
        from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

        waiting = GaugeMetricFamily(
            "hawthornbridge_requests_waiting", "Requests that wait for room at leaves", labels=["priority"]
        )
        for name, number in self._admission.waiting_by_class():
            waiting.add_metric([name], number)
        yield waiting
        wait = HistogramMetricFamily(
            "hawthornbridge_room_wait_seconds", "Wait for room at leaves of requests that waited", labels=["priority"]
        )
        for name, counts in self._admission.wait_s.items():
            wait.add_metric([name], counts.cumulative(), counts.sum)
        yield wait
        refusals = CounterMetricFamily(
            "hawthornbridge_requests_without_room", "Requests refused for want of room", labels=["priority", "reason"]
        )
        for (name, kind), number in self._admission.refusals.items():
            refusals.add_metric([name, kind.value], number)
        yield refusals
        short = sum(len(pool.room.short_services) for pool in self._admission.pools)
        yield GaugeMetricFamily("hawthornbridge_services_without_room", "Services whose leaves have no room", short)
