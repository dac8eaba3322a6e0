"""What leaves say of themselves: the decision in virtual time, and the exchange against the stand-in leaf."""

from math import inf

import anyio
import pytest

from hawthornbridge import leafclient
from hawthornbridge.ids import DomainName, UpstreamId, VersionName
from hawthornbridge.leafnotices import Exclusion, LeafNotices, parse_retry_after_s
from hawthornbridge.leaves import InFlightRequest
from hawthornbridge.versionsplit import VersionRule
from standins.platformleaf import PlatformLeaf
from tests.laterefusals import LateRefusalServer, response
from tests.platformfakes import Caller, ManualClock, entry, forward_route, gateway_over, gather_route, real_sockets
from tests.test_leaves import S, chosen, table_of

pytestmark = pytest.mark.anyio
anyio_backend = real_sockets()


def leaf_of(table, leaf_id="a"):
    return table._leaves[UpstreamId(leaf_id)]


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"4", 4.0),
        (b"0.25", 0.25),
        (b" 3 ", 3.0),
        (b"0", 0.0),
        (b"86400", 86_400.0),
        (None, None),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e3", None),
        (b"1_0", None),
        (b"soon", None),
        (b"9" * 400, None),
        (b"Sat, 05 Dec 2026 18:00:00 GMT", None),
    ],
)
def test_only_seconds_are_followed(value, seconds):
    """Guards against a spoiled header that keeps a leaf unused, or that ends a task."""
    assert parse_retry_after_s(value) == seconds


def test_a_leaf_that_leaves_gets_nothing_until_it_starts_again():
    """Guards against work for a leaf that leaves, also after its entry was written again or had lapsed."""
    table = table_of(entry("a"), entry("b"))
    leaf_of(table).notices.is_leaving = True
    assert set(chosen(table)) == {"b"}
    table.put(entry("a", sequence=2))
    assert set(chosen(table)) == {"b"}
    table.remove(UpstreamId("a"))
    table.put(entry("a", sequence=3))
    assert set(chosen(table)) == {"b"} and table.count_excluded(Exclusion.LEAVING) == 1
    table.put(entry("a", born_ms=2))
    assert set(chosen(table)) == {"a", "b"} and table.count_excluded(Exclusion.LEAVING) == 0


def test_what_is_known_of_a_leaf_does_not_pass_to_another_one_at_its_address():
    table = table_of(entry("a", address="10.0.0.1:1"))
    leaf_of(table).notices.is_leaving = True
    table.put(entry("b", address="10.0.0.1:1"))
    assert set(chosen(table)) == {"b"}


def test_a_version_whose_leaves_all_leave_counts_as_gone():
    """Guards against a rollout that waits for leaves of the old version that get nothing any more."""
    table = table_of(entry("a", version=VersionName("v1")), entry("b", version=VersionName("v2")))
    leaf_of(table).notices.is_leaving = True
    assert table.versions(S) == {"v2"}
    assert table.choose(S, rule=VersionRule(VersionName("v2"), False)) is None


def test_a_held_leaf_gets_nothing_until_the_end_of_the_time():
    clock = ManualClock()
    table = table_of(entry("a"), entry("b"), clock=clock)
    assert leaf_of(table).notices.hold(4.0, clock.now_s, slots=2)
    assert not leaf_of(table).notices.hold(1.0, clock.now_s, slots=2)
    assert set(chosen(table)) == {"b"}
    clock.now_s += 3.999
    assert set(chosen(table)) == {"b"} and table.count_excluded(Exclusion.HELD) == 1
    clock.now_s += 0.002
    assert set(chosen(table)) == {"a", "b"}


def test_requests_do_not_return_in_one_burst_after_a_hold():
    clock = ManualClock()
    table = table_of(entry("a", slots=2), clock=clock)
    leaf = leaf_of(table)
    leaf.notices.hold(4.0, clock.now_s, slots=2)
    clock.now_s += 4.1

    def send_all():
        while (each := table.choose(S)) is not None and len(each.in_flight) < 10:
            each.in_flight[object()] = InFlightRequest(clock.now_s, 0.03)
        return len(leaf.in_flight)

    counts = []
    for _ in range(3):
        counts.append(send_all())
        leaf.in_flight.clear()
        leaf.notices.record_reply(clock.now_s)
    assert counts == [1, 2, 10]


def test_the_first_time_at_which_a_leaf_may_be_asked():
    clock = ManualClock()
    table = table_of(entry("a"), entry("b"), entry("c", domain=DomainName("evacuated")), clock=clock)
    table.evacuate([DomainName("evacuated")])
    now_s = clock.now_s
    assert table.available_s(S, now_s) == now_s
    leaf_of(table, "a").notices.hold(4.0, now_s, slots=2)
    assert table.available_s(S, now_s) == now_s
    leaf_of(table, "b").notices.hold(2.0, now_s, slots=2)
    assert table.available_s(S, now_s) == now_s + 2.0
    leaf_of(table, "b").notices.is_leaving = True
    assert table.available_s(S, now_s) == now_s + 4.0
    leaf_of(table, "a").notices.is_leaving = True
    assert table.available_s(S, now_s) == inf


def test_a_reply_during_a_hold_does_not_end_it():
    notices = LeafNotices()
    notices.hold(4.0, 100.0, slots=1)
    notices.record_reply(101.0)
    assert notices.exclusion(101.0, 0) is Exclusion.HELD
    assert notices.exclusion(104.5, 1) is Exclusion.RETURNING


async def ask_often(gateway, times, path="/one/a", **options):
    statuses = []
    for number in range(times):
        status, _, _ = await Caller(gateway).ask(path, request_id=f"q{number}", **options)
        statuses.append(status)
    return statuses


@pytest.mark.parametrize("idempotent", [False, True])
async def test_after_an_answer_that_says_so_a_leaving_leaf_gets_nothing(idempotent):
    """Guards against requests to a leaf that leaves, while the store does not say so."""
    leaves = [PlatformLeaf("l1", "s"), PlatformLeaf("l2", "s")]
    leaves[0].faults.leaving = True
    async with gateway_over(leaves, forward_route(idempotent=idempotent)) as (gateway, table):
        assert set(await ask_often(gateway, 20)) == {200}
        table.put(entry("l1", address=leaves[0].address, sequence=2))
        ran = len(leaves[0].runs)
        assert ran == 1 and set(await ask_often(gateway, 20)) == {200}
    assert len(leaves[0].runs) == ran and len(leaves[1].runs) == 39


async def test_a_leaving_leaf_that_is_alone_in_its_shard_is_left_out_and_reported_as_missing():
    leaves = [PlatformLeaf(f"{shard}-0", shard) for shard in ("s0", "s1", "s2")]
    leaves[0].faults.leaving = True
    async with gateway_over(leaves, gather_route(("s0", "s1", "s2"))) as (gateway, _):
        assert set(await ask_often(gateway, 1, "/all/q")) == {200}
        with anyio.fail_after(0.25):
            status, headers, _ = await Caller(gateway).ask("/all/q", request_id="r2")
    assert status == 200 and headers["hawthornbridge-missing-parts"] == "1" and len(leaves[0].runs) == 1


@pytest.mark.parametrize("idempotent", [False, True])
async def test_a_leaf_that_asks_to_be_left_alone_is(idempotent):
    leaves = [PlatformLeaf("l1", "s"), PlatformLeaf("l2", "s")]
    leaves[0].faults.full, leaves[0].faults.retry_after = True, "4"
    async with gateway_over(leaves, forward_route(idempotent=idempotent)) as (gateway, _):
        assert set(await ask_often(gateway, 30)) == {200}
    assert len(leaves[0].refused) == 1 and len(leaves[1].runs) == 30


async def test_a_request_that_no_leaf_wants_in_time_is_refused_at_once_with_the_time_to_come_back():
    """Guards against callers that are held, or sent back at once, while every leaf wants nothing."""
    leaves = [PlatformLeaf("l1", "s"), PlatformLeaf("l2", "s")]
    for leaf, retry_after in zip(leaves, ("4", "6"), strict=True):
        leaf.faults.full, leaf.faults.retry_after = True, retry_after
    async with gateway_over(leaves, forward_route(idempotent=False)) as (gateway, _):
        await ask_often(gateway, 1)
        with anyio.fail_after(0.2):
            status, headers, _ = await Caller(gateway).ask("/one/a", request_id="r2")
    assert status == 503 and 3.0 < float(headers["retry-after"]) <= 4.0
    assert [len(leaf.refused) for leaf in leaves] == [1, 1]


async def test_a_request_waits_for_a_leaf_that_is_back_in_time():
    leaf = PlatformLeaf("l1", "s")
    leaf.faults.full, leaf.faults.retry_after = True, "0.5"
    statuses = []
    async with (
        gateway_over([leaf], forward_route(idempotent=False)) as (gateway, _),
        anyio.create_task_group() as tasks,
    ):

        async def ask(number):
            statuses.append((await Caller(gateway).ask("/one/a", request_id=f"r{number}"))[0])

        for number in range(6):
            tasks.start_soon(ask, number)
        await anyio.sleep(0.2)
        leaf.faults.full = False
        with anyio.fail_after(2):
            while len(statuses) < 6:
                await anyio.sleep(0.01)
    assert statuses == [200] * 6 and len({run.request_id for run in leaf.runs}) == len(leaf.runs) == 6


async def test_a_gathered_query_is_not_held_up_by_a_shard_whose_leaves_want_nothing():
    leaves = [PlatformLeaf(f"{shard}-0", shard) for shard in ("s0", "s1", "s2")]
    leaves[0].faults.full, leaves[0].faults.retry_after = True, "4"
    async with gateway_over(leaves, gather_route(("s0", "s1", "s2"), objective_s=2.0)) as (gateway, _):
        with anyio.fail_after(0.5):
            statuses = await ask_often(gateway, 3, "/all/q")
            _, headers, _ = await Caller(gateway).ask("/all/q", request_id="r2")
    assert set(statuses) == {200} and headers["hawthornbridge-missing-parts"] == "1" and len(leaves[0].refused) == 1


@pytest.mark.parametrize("spoiled", ["", "-1", "nan", "soon"])
async def test_a_time_that_cannot_be_read_says_nothing(spoiled):
    leaf = PlatformLeaf("l1", "s")
    leaf.faults.full, leaf.faults.retry_after = True, spoiled
    async with gateway_over([leaf], forward_route()) as (gateway, table):
        await ask_often(gateway, 2)
        assert table.count_excluded(Exclusion.HELD) == 0
        leaf.faults.full = False
        assert await ask_often(gateway, 1) == [200]


@pytest.mark.parametrize(
    "reply",
    [
        response(421, headers=[(b"server-leaving", b"1"), (b"retry-after", b"9")]),
        b"HTTP/1.1 103 Early\r\nserver-leaving: 1\r\n\r\n" + response(500, b"x"),
        response(503, headers=[(b"hawthornbridge-attempt-id", b"other"), (b"retry-after", b"9")]),
        response(200, b"x", [(b"hawthornbridge-attempt-id", b"other"), (b"server-leaving", b"1")]),
    ],
    ids=["misdirected", "interim", "foreign-refusal", "foreign-answer"],
)
async def test_what_no_answer_of_the_leaf_says_tells_nothing(reply):
    """Guards against a leaf that is left out because of what another one, or an earlier request, was told."""
    route = forward_route(idempotent=False)
    server = LateRefusalServer(lambda head, body: reply, lambda head, body: reply)
    async with server, gateway_over([], route) as (gateway, table):
        table.put(entry("l1", address=server.address))
        await Caller(gateway).ask("/one/a", deadline_ms=300)
        notices = leaf_of(table, "l1").notices
    assert not notices.is_leaving and notices.held_until_s == -inf


async def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_leaf_that_leaves_meanwhile(monkeypatch):
    """Guards against requests that reach a leaf long after it has said that it leaves."""
    leaves = [PlatformLeaf("l1", "s"), PlatformLeaf("l2", "s")]
    connect = leafclient.connect
    async with gateway_over(leaves, forward_route(idempotent=False)) as (gateway, table):

        async def connect_slowly(address, *args):
            connection = await connect(address, *args)
            leaf_of(table, "l1").notices.is_leaving = True
            return connection

        monkeypatch.setattr(leafclient, "connect", connect_slowly)
        assert set(await ask_often(gateway, 5)) == {200}
    assert not leaves[0].runs and len(leaves[1].runs) == 5
