import anyio
import pytest

from hawthornbridge.stopping import ADDRESS_VALIDITY_MARGIN_S, SHORTENED_DRAIN_TIMEOUT_S, Stop

VALID_S = 5.0


class FakeListener:
    """Listener that takes a given time to complete its requests in progress."""

    def __init__(self, finish_s):
        self._finish_s = finish_s
        self.drained_s = None

    async def drain(self):
        self.drained_s = anyio.current_time()
        await anyio.sleep(self._finish_s)

    def abort(self):
        return 3


@pytest.mark.parametrize(
    ("finish_s", "signals_s", "drains_s", "ends_s", "aborted"),
    [
        (0.5, [1.0], 6.0 + ADDRESS_VALIDITY_MARGIN_S, 6.5 + ADDRESS_VALIDITY_MARGIN_S, 0),
        (60.0, [1.0], 6.0 + ADDRESS_VALIDITY_MARGIN_S, 66.0 + ADDRESS_VALIDITY_MARGIN_S, 0),
        (0.5, [1.0, 2.0], 2.0, 2.5, 0),
        (60.0, [1.0, 2.0], 2.0, 2.0 + SHORTENED_DRAIN_TIMEOUT_S, 3),
        (60.0, [1.0, 20.0], 6.0 + ADDRESS_VALIDITY_MARGIN_S, 20.0 + SHORTENED_DRAIN_TIMEOUT_S, 3),
        (60.0, [1.0, 2.0, 2.5], 2.0, 2.0 + SHORTENED_DRAIN_TIMEOUT_S, 3),
    ],
)
@pytest.mark.anyio
async def test_a_stop_waits_for_address_validity_and_for_requests(finish_s, signals_s, drains_s, ends_s, aborted):
    """Guards against a stop that aborts requests without a second signal, or that a second signal does not shorten."""
    listener, stop, withdrawn_s = FakeListener(finish_s), Stop(VALID_S), []
    start_s = anyio.current_time()

    async def signal():
        for at_s in signals_s:
            await anyio.sleep_until(start_s + at_s)
            stop.request_stop()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signal)
        assert not stop.leaving
        assert await stop.run(listener, lambda: withdrawn_s.append(anyio.current_time() - start_s)) == aborted
        assert anyio.current_time() - start_s == pytest.approx(ends_s)
        tasks.cancel_scope.cancel()
    assert listener.drained_s - start_s == pytest.approx(drains_s)
    assert withdrawn_s == [pytest.approx(1.0)]
    assert stop.leaving
