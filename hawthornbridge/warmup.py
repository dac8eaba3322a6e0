"""Warm-up requests, which let cold upstreams ramp while there is little traffic from callers."""

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from uuid_utils import uuid7

from hawthornbridge.ids import RequestId, RouteName, ServiceName, SnapshotNumber
from hawthornbridge.metrics import Metrics
from hawthornbridge.model import Catalogue, Service
from hawthornbridge.requests import SearchRequest
from hawthornbridge.subrequests import Search
from hawthornbridge.upstreams import UpstreamTable
from hawthornbridge.upstreamstate import UpstreamState

__all__ = ["WarmUp"]

SEND_INTERVAL_S = 0.05
# At most 100 requests per second and host, about 6% of a core. Without a limit, hosts that had just started spent all
# processor time on warm-up requests and answered callers late.
REQUESTS_PER_INTERVAL = 5
# Limits how long a lost warm-up request holds its resources; a cold upstream may be several times slower than usual.
REQUEST_TIMEOUT_S = 0.5
MAX_CONCURRENT_REQUESTS = 32
METRIC_PURPOSE = "warm_up"


class WarmUp:
    """Repeat callers' last searches to cold upstreams that have no request from this host in flight.

    The allowance of a cold upstream limits warm-up requests like any others.
    """

    def __init__(self, table: UpstreamTable, catalogue: Callable[[], Catalogue], metrics: Metrics) -> None:
        self._table = table
        self._catalogue = catalogue
        self._metrics = metrics
        self._last: dict[ServiceName, SearchRequest] = {}
        self._in_flight = 0

    def remember_search(self, request: SearchRequest) -> None:
        """Store a search as the one to repeat for its service."""
        self._last[request.service] = request

    async def run(self) -> None:
        """Send warm-up requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self.send_due(tasks)
                await anyio.sleep(SEND_INTERVAL_S)

    def send_due(self, tasks: TaskGroup) -> None:
        """Start warm-up requests to cold upstreams that have no request from this host in flight."""
        cold = self._table.cold()
        random.shuffle(cold)
        left = min(REQUESTS_PER_INTERVAL, MAX_CONCURRENT_REQUESTS - self._in_flight)
        for state in cold:
            if left <= 0:
                return
            request = self._request_for(state) if state.allows_request and not state.in_flight else None
            if request is not None:
                left -= 1
                self._in_flight += 1
                tasks.start_soon(self._send, state, request)

    def _request_for(self, state: UpstreamState) -> Search | None:
        service = self._catalogue().services.get(state.upstream.service)
        route = _idempotent_route(service)
        if route is None or not state.snapshots:
            return None
        last = self._last.get(state.upstream.service)
        return Search(
            request_id=RequestId(str(uuid7())),
            route=last.route if last is not None else route,
            shard=state.upstream.shard,
            snapshot=SnapshotNumber(max(state.snapshots)),
            query=last.query if last is not None else "",
            limit=last.limit if last is not None else 1,
            deadline_s=anyio.current_time() + REQUEST_TIMEOUT_S,
        )

    async def _send(self, state: UpstreamState, request: Search) -> None:
        try:
            self._metrics.sub_requests.labels(state.upstream.service, METRIC_PURPOSE).inc()
            await self._table.search(state, request)
        finally:
            self._in_flight -= 1


def _idempotent_route(service: Service | None) -> RouteName | None:
    if service is None:
        return None
    return next((route.name for route in service.routes if route.idempotent), None)
