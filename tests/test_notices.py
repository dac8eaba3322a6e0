from types import SimpleNamespace

import anyio
import pytest

from hawthornbridge.allowance import SUCCESSES_PER_DOUBLING, Reason, SharedRamp
from hawthornbridge.ids import Incarnation, UpstreamId
from hawthornbridge.notices import AllowanceExchange

SEATS = 3
FULL = 6
LEAF = UpstreamId("u1")
BORN = Incarnation(5)


class Bus:
    """Deliver messages between the hosts of a test immediately, or drop them while lost is set."""

    def __init__(self):
        self.handlers = {}
        self.lost = False

    def peers(self, address):
        handlers = self.handlers.setdefault(address, {})

        def deliver(target, message):
            if not self.lost:
                self.handlers[target][type(message)](message)

        return SimpleNamespace(
            subscribe=lambda kind, handler: handlers.update({kind: handler}),
            send=deliver,
            publish=lambda message: [deliver(target, message) for target in self.handlers if target != address],
        )


class Host:
    """One host's ramp and exchange; the object itself serves as the table of upstreams."""

    def __init__(self, bus, seat, others):
        self.ramp = SharedRamp(seat, SEATS)
        self.configured = True
        live = [SimpleNamespace(heartbeat=SimpleNamespace(address=other)) for other in others]
        membership = SimpleNamespace(live=live, identity=SimpleNamespace(address=f"h{seat}"))
        self.exchange = AllowanceExchange(self.ramp, self, membership, bus.peers(f"h{seat}"))

    @property
    def tracks_upstreams(self):
        return self.configured

    def receive_allowance(self, notice):
        self.ramp.receive(notice)

    def track(self):
        self.ramp.track(LEAF, full=FULL, slots=2)

    def warm_up(self):
        self.ramp.observe_incarnation(LEAF, BORN)
        for _ in range(SUCCESSES_PER_DOUBLING * 6):
            self.ramp.record_success(LEAF)


async def run_all(tasks, *hosts):
    for host in hosts:
        tasks.start_soon(host.exchange.run)
    await anyio.sleep(1)


@pytest.mark.anyio
async def test_a_host_that_starts_learns_which_upstreams_are_warm():
    """Guards against a restart after which a host ramps every upstream again."""
    bus = Bus()
    old, new = Host(bus, 0, ["h1"]), Host(bus, 1, ["h0"])
    old.track()
    old.warm_up()
    new.configured = False
    async with anyio.create_task_group() as tasks:
        await run_all(tasks, old, new)
        # The first answer came before the configuration and had no effect; the host keeps asking.
        new.track()
        new.configured = True
        assert new.ramp.is_cold(LEAF)
        await anyio.sleep(1)
        assert not new.ramp.is_cold(LEAF)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_lost_fall_is_repeated_while_the_upstream_is_cold():
    """Guards against a host that keeps full load on an upstream because it missed one notice."""
    bus = Bus()
    hosts = [Host(bus, 0, ["h1"]), Host(bus, 1, ["h0"])]
    for host in hosts:
        host.track()
        host.warm_up()
    async with anyio.create_task_group() as tasks:
        await run_all(tasks, *hosts)
        bus.lost = True
        hosts[0].ramp.reset(LEAF, Reason.RESETS)
        await anyio.sleep(1)
        assert not hosts[1].ramp.is_cold(LEAF)
        bus.lost = False
        await anyio.sleep(3)
        assert hosts[1].ramp.is_below_seat_count(LEAF)
        tasks.cancel_scope.cancel()
