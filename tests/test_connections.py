import random
from dataclasses import dataclass, field

import anyio
import pytest
from hypothesis import given, strategies as st

from hawthornbridge.connections import (
    LATE_REPLY_TIMEOUT_S,
    QUEUE_LENGTH_PER_CONNECTION,
    ConnectionGroup,
    connection_quota,
)
from hawthornbridge.ids import Incarnation, RequestId, RouteName, ShardName, SnapshotNumber
from hawthornbridge.model import Upstream
from hawthornbridge.outcomes import Execution
from hawthornbridge.subrequests import (
    FailureKind,
    Search,
    SearchReply,
    Status,
    UpstreamFailure,
    UpstreamRefusal,
    UpstreamRefusalKind,
)

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def seeded_random():
    random.seed(1)


UPSTREAM = Upstream(
    id="u1", service="desk", shard="s0", failure_domain="a", version="v1", address="x", slots=2, connections=25
)


@dataclass
class FakeLeaf:
    """An in-memory upstream and its protocol; answers after takes_s, with the entry of outcomes if there is one."""

    takes_s: float = 0.01
    outcomes: dict = field(default_factory=dict)
    refuse_connects: bool = False
    open: int = 0
    most_open: int = 0
    connects: int = 0
    received: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    cancellations: dict = field(default_factory=dict)
    closed_idle: int = 0
    status: Status = field(default_factory=lambda: Status(True, False, 0, 2, Incarnation(1), "v1", ()))

    async def connect(self, address, timeout_s):
        await anyio.sleep(0.006)
        if self.refuse_connects:
            return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, "refused")
        self.connects += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        return FakeChannel(self)


class FakeChannel:
    def __init__(self, leaf):
        self.leaf = leaf
        self.born = leaf.connects

    @property
    def reusable(self):
        return self.born > self.leaf.closed_idle

    async def search(self, request):
        self.leaf.received.append(request)
        cancelled = self.leaf.cancellations[request.request_id] = anyio.Event()
        with anyio.move_on_after(self.leaf.takes_s):
            await cancelled.wait()
            return UpstreamRefusal(UpstreamRefusalKind.CANCELLED, Execution.UNKNOWN)
        reply = SearchReply(request.request_id, request.shard, request.snapshot, (), Incarnation(1), "v1", 1, 2)
        return self.leaf.outcomes.get(request.request_id, reply)

    async def cancel(self, request_id):
        self.leaf.cancelled.append(request_id)
        self.leaf.cancellations[request_id].set()

    async def status(self):
        return self.leaf.status

    async def aclose(self):
        self.leaf.open -= 1


def search(name="q1", within_s=0.1):
    deadline_s = anyio.current_time() + within_s
    return Search(RequestId(name), RouteName("r"), ShardName("s0"), SnapshotNumber(1), "last", 10, deadline_s)


class Running:
    """Run a connected group for the length of a with block."""

    def __init__(self, leaf, quota=2, **options):
        self.group = ConnectionGroup(UPSTREAM, quota, leaf, **options)

    async def __aenter__(self):
        self.tasks = await anyio.create_task_group().__aenter__()
        self.group.start(self.tasks)
        await anyio.sleep(1)
        return self.group

    async def __aexit__(self, *error):
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)


@given(st.integers(1, 1_000), st.integers(1, 1_000))
def test_the_quotas_of_all_seats_stay_within_the_limit(connections, seats):
    assert connection_quota(connections, seats) * seats <= connections


async def test_a_late_reply_is_drained_and_keeps_the_connection():
    """Guards against a caller that waits for a late reply, and against a reconnect for each one."""
    leaf = FakeLeaf(takes_s=0.2)
    seen = []
    async with Running(leaf, observer=lambda outcome, latency_s: seen.append((outcome, latency_s))) as group:
        started_s = anyio.current_time()
        outcome = await group.search(search("late", within_s=0.1))
        assert (outcome.kind, outcome.execution) == (FailureKind.TIMEOUT, Execution.UNKNOWN)
        assert anyio.current_time() - started_s == pytest.approx(0.1)
        assert group.in_flight == 1
        await anyio.sleep(0.15)
        assert group.in_flight == 0
        assert group.late_replies == 1
        assert isinstance(seen[0][0], SearchReply)
        assert (await group.search(search("next", within_s=1))).request_id == "next"
    assert leaf.connects == 2


async def test_a_reply_that_never_comes_costs_one_connection_after_the_timeout():
    leaf = FakeLeaf(takes_s=60)
    async with Running(leaf) as group:
        await group.search(search())
        assert leaf.open == 2
        await anyio.sleep(LATE_REPLY_TIMEOUT_S + 0.1)
        assert (leaf.connects, leaf.open, group.in_flight) == (3, 2, 0)
    assert leaf.most_open == 2


async def test_a_lost_hedge_is_cancelled_on_another_connection():
    """Guards against a cancelled request that keeps its slot, and a caller that waits for the cancellation."""
    leaf = FakeLeaf(takes_s=0.5)
    async with Running(leaf) as group:
        with anyio.move_on_after(0.02) as scope:
            await group.search(search("loser", within_s=1))
        assert scope.cancelled_caught
        assert leaf.cancelled == []
        await anyio.sleep(0.01)
        assert leaf.cancelled == ["loser"]
        assert group.in_flight == 0
    assert leaf.connects == 2


async def test_waiting_counts_against_the_deadline_and_is_not_run():
    """Guards against a request that is sent after its caller has gone."""
    leaf = FakeLeaf(takes_s=0.3)
    async with Running(leaf, quota=1) as group, anyio.create_task_group() as tasks:
        tasks.start_soon(group.search, search("first", within_s=1))
        await anyio.sleep(0.01)
        outcome = await group.search(search("second", within_s=0.1))
        assert (outcome.kind, outcome.execution) == (FailureKind.TIMEOUT, Execution.NOT_RUN)
    assert [request.request_id for request in leaf.received] == ["first"]


async def test_a_full_queue_refuses_at_once():
    leaf = FakeLeaf(takes_s=0.5)
    async with Running(leaf, quota=1) as group, anyio.create_task_group() as tasks:
        for number in range(QUEUE_LENGTH_PER_CONNECTION + 1):
            tasks.start_soon(group.search, search(f"q{number}", within_s=0.2))
        await anyio.sleep(0.001)
        outcome = await group.search(search("over"))
        assert (outcome.kind, outcome.execution) == (FailureKind.QUEUE_FULL, Execution.NOT_RUN)


@pytest.mark.parametrize(
    ("kind", "connects"),
    [(FailureKind.ERROR, 2), (FailureKind.RESET, 3), (FailureKind.BAD_REPLY, 3)],
)
async def test_only_a_connection_that_may_deliver_a_stale_reply_is_replaced(kind, connects):
    leaf = FakeLeaf(outcomes={"q1": UpstreamFailure(kind, Execution.UNKNOWN, "")})
    async with Running(leaf) as group:
        assert (await group.search(search())).kind is kind
        await anyio.sleep(1)
        assert (await group.search(search("q2"))).request_id == "q2"
    assert (leaf.connects, leaf.most_open) == (connects, 2)


@pytest.mark.parametrize("closed", [1, 2])
async def test_a_connection_closed_while_idle_is_replaced_before_a_request_is_sent(closed):
    """Guards against a request with an unknown outcome although nothing was sent."""
    leaf = FakeLeaf()
    async with Running(leaf) as group:
        leaf.closed_idle = closed
        outcomes = [await group.search(search("q1", within_s=1)), await group.search(search("q1", within_s=1))]
        served = [outcome for outcome in outcomes if isinstance(outcome, SearchReply)]
        assert len(leaf.received) == len(served)
        if closed == 1:
            assert len(served) == 2
        else:
            assert {(outcome.kind, outcome.execution) for outcome in outcomes} == {
                (FailureKind.CONNECT, Execution.NOT_RUN)
            }
        await anyio.sleep(1)
        assert isinstance(await group.search(search("q2")), SearchReply)
    assert leaf.most_open == 2


async def test_a_suspension_refuses_waiting_requests_and_lets_work_in_flight_finish():
    leaf = FakeLeaf(takes_s=0.05)
    outcomes = {}

    async def ask(name):
        outcomes[name] = await group.search(search(name))

    async with Running(leaf, quota=1) as group:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, "sent")
            await anyio.sleep(0.001)
            tasks.start_soon(ask, "waiting")
            await anyio.sleep(0.001)
            group.suspend()
        assert isinstance(outcomes["sent"], SearchReply)
        assert (outcomes["waiting"].kind, outcomes["waiting"].execution) == (FailureKind.LEAVING, Execution.NOT_RUN)
        await anyio.sleep(0.1)
        assert leaf.open == 0
        assert (await group.search(search("refused"))).execution is Execution.NOT_RUN
        group.resume()
        await anyio.sleep(0.1)
        assert isinstance(await group.search(search("again")), SearchReply)
        group.close()
        await group.wait_closed()
        assert leaf.open == 0


async def test_the_time_limit_bounds_requests_and_shortens_their_deadline():
    """Guards against work at a cold upstream beyond its allowance or after the end of the turn."""
    leaf = FakeLeaf(takes_s=0.02)
    async with Running(leaf, time_limit=lambda active: 0.05 if active < 1 else 0.0) as group:
        started_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for name in "ab":
                tasks.start_soon(group.search, search(name, within_s=1))
            await anyio.sleep(0.001)
            assert (group.active, group.in_flight) == (1, 2)
        assert [request.deadline_s - started_s for request in leaf.received] == pytest.approx([0.05, 0.07], abs=0.005)


async def test_work_that_the_time_limit_does_not_admit_is_refused():
    async with Running(FakeLeaf(), time_limit=lambda _active: 0.0) as group:
        outcome = await group.search(search())
        assert (outcome.kind, outcome.execution) == (FailureKind.COLD, Execution.NOT_RUN)
        assert isinstance(await group.status(), Status)


async def test_connections_of_nine_hosts_stay_within_the_limit_whatever_fails():
    """Guards against reconnects, cancelled hedges and late replies that exceed the upstream's connection limit."""
    leaf = FakeLeaf(takes_s=0.05)
    dice = random.Random(1)
    async with anyio.create_task_group() as tasks:
        groups = [ConnectionGroup(UPSTREAM, connection_quota(25, 11), leaf) for _ in range(9)]
        for group in groups:
            group.start(tasks)

        async def ask(group, number):
            with anyio.move_on_after(dice.uniform(0.01, 0.2)):
                await group.search(search(f"q{number}", within_s=dice.uniform(0.01, 0.2)))

        for number in range(600):
            kind = dice.choice([FailureKind.RESET, FailureKind.BAD_REPLY, FailureKind.ERROR])
            leaf.outcomes[f"q{number * 3}"] = UpstreamFailure(kind, Execution.UNKNOWN, "")
            leaf.takes_s = dice.choice([0.01, 0.05, 1.0])
            leaf.refuse_connects = number % 100 > 90
            tasks.start_soon(ask, dice.choice(groups), number)
            await anyio.sleep(dice.uniform(0, 0.02))
        leaf.refuse_connects = False
        await anyio.sleep(10)
        assert sum(group.in_flight for group in groups) == 0
        assert leaf.open == 18
        tasks.cancel_scope.cancel()
    assert leaf.most_open == 18
    assert leaf.open == 0
