import time

import anyio
import pytest

from hawthornbridge import leafclient
from hawthornbridge.httpconnection import connect
from hawthornbridge.outcomes import Execution
from standins.platformleaf import PlatformLeaf
from tests.platformfakes import Caller, forward_route, gateway_over, real_sockets

pytestmark = pytest.mark.anyio
anyio_backend = real_sockets()


@pytest.fixture
def connects_slowly(monkeypatch):
    """Return a function that makes each connection attempt take longer, as a pause of the process does."""

    def make(delay_s):
        async def connect_slowly(*args, **kwargs):
            connection = await connect(*args, **kwargs)
            # A paused process gets no turn either, so that no timer runs before the request would be sent.
            time.sleep(delay_s)
            return connection

        monkeypatch.setattr(leafclient, "connect", connect_slowly)

    return make


@pytest.mark.parametrize("idempotent", [False, True])
async def test_a_request_is_not_sent_after_its_deadline(connects_slowly, idempotent):
    """Guards against a process that was paused while it connected, and then runs what nobody waits for any more."""
    connects_slowly(0.4)
    leaf = PlatformLeaf("l1", "s")
    async with gateway_over([leaf], forward_route(idempotent=idempotent)) as (gateway, _):
        status, headers, _ = await Caller(gateway).ask("/one/a", deadline_ms=200)
        await anyio.sleep(0.5)
    assert status == 503 and "retry-after" in headers
    assert leaf.runs == []


async def test_a_leaf_is_told_the_time_that_is_left_when_the_request_is_sent(connects_slowly):
    """Guards against a leaf that works on a request for longer than its caller waits."""
    connects_slowly(0.3)
    leaf = PlatformLeaf("l1", "s")
    async with gateway_over([leaf], forward_route()) as (gateway, _):
        status, _, _ = await Caller(gateway).ask("/one/a", deadline_ms=1_000)
    assert status == 200
    assert leaf.runs[0].deadline_ms <= 700


async def test_an_exchange_that_was_not_sent_in_time_is_known_as_not_run(connects_slowly):
    outcomes = []
    connects_slowly(0.2)
    leaf = PlatformLeaf("l1", "s")
    async with gateway_over([leaf], forward_route()) as (gateway, table):
        client = gateway._context.client
        exchange = leafclient.Exchange(
            table.choose("s"),
            lambda now_s: b"",
            b"r1",
            "one",
            lambda _, outcome: outcomes.append(outcome),
            anyio.current_time(),
            0.01,
            deadline_s=anyio.current_time() + 0.1,
        )
        client.start(exchange)
        with anyio.fail_after(2):
            while not outcomes:
                await anyio.sleep(0.01)
        assert outcomes[0].execution is Execution.NOT_RUN
        assert len(exchange.leaf.idle) == 1
