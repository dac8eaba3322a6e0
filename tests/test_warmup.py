from types import SimpleNamespace

import anyio
import pytest

from hawthornbridge.metrics import Metrics
from hawthornbridge.model import PutService, Route, Service, fold
from hawthornbridge.warmup import REQUESTS_PER_INTERVAL, WarmUp


class Table:
    """Hold cold upstreams and record the requests sent to them."""

    def __init__(self, count, *, allows_request=True):
        upstreams = [SimpleNamespace(service="desk", shard=f"s{number}", id=f"u{number}") for number in range(count)]
        self.states = [
            SimpleNamespace(upstream=upstream, allows_request=allows_request, in_flight=0, snapshots={1: "m", 2: "m"})
            for upstream in upstreams
        ]
        self.sent = []

    def cold(self):
        return list(self.states)

    async def search(self, state, request):
        state.in_flight += 1
        self.sent.append((state.upstream.id, request))
        await anyio.sleep(0.2)
        state.in_flight -= 1


ORDER, SEARCH = Route("enter", idempotent=False), Route("lookup")


def warm_up(table, *routes):
    catalogue = fold([PutService(Service(name="desk", routes=routes or (ORDER, SEARCH), classes=(), version="v1"))])
    return WarmUp(table, lambda: catalogue, Metrics())


async def run_for(seconds, warming):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(warming.run)
        await anyio.sleep(seconds)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_cold_upstreams_get_one_request_each_at_a_bounded_rate():
    """Guards against warm-up requests using up the processor time of hosts that have just started."""
    table = Table(40)
    await run_for(0.19, warm_up(table))
    assert len(table.sent) == 4 * REQUESTS_PER_INTERVAL
    assert len({upstream for upstream, _ in table.sent}) == len(table.sent)


@pytest.mark.anyio
async def test_the_last_search_is_repeated_on_the_newest_snapshot_and_an_order_never_is():
    """Guards against a non-idempotent request that is repeated as a warm-up."""
    table = Table(1)
    warming = warm_up(table)
    warming.remember_search(SimpleNamespace(service="desk", route="lookup", query="sandal", limit=7))
    await run_for(0.01, warming)
    [(_, request)] = table.sent
    assert (request.route, request.query, request.limit, request.snapshot) == ("lookup", "sandal", 7, 2)
    only_orders = Table(1)
    await run_for(1, warm_up(only_orders, ORDER))
    assert only_orders.sent == []


@pytest.mark.anyio
async def test_an_upstream_whose_allowance_is_used_up_gets_nothing():
    """Guards against warm-up requests beyond the allowance of a cold upstream."""
    table = Table(3, allows_request=False)
    await run_for(1, warm_up(table))
    assert table.sent == []
