import random
from functools import partial

import anyio
import pytest
import trio.testing
from hypothesis import given, settings, strategies as st

from hawthornbridge.ids import DomainName, HostId, Incarnation, Seat
from hawthornbridge.membership import (
    RINGS,
    ConfigurationReport,
    HostIdentity,
    HostListUnavailable,
    ListedHost,
    ListState,
    Liveness,
    Membership,
)
from hawthornbridge.messages import Codec, Heartbeat
from hawthornbridge.outcomes import Reachability
from hawthornbridge.peers import Peers
from standins.memorylinks import Network

REPORT = ConfigurationReport(store_state=Reachability.REACHABLE)


class Hosts:
    """Memberships that run without configuration."""

    def __init__(self, tasks, seats=5):
        self.tasks = tasks
        self.seats = seats
        self.network = Network()
        self.scopes = {}

    def start(self, name, seat=None, address=None, known=("h0",), incarnation=None, host_list=None):
        address = address or name
        seat = int(name[1:]) if seat is None else seat
        incarnation = incarnation or int(anyio.current_time() * 1e9) + 1
        identity = HostIdentity(
            HostId(name), Incarnation(incarnation), Seat(seat), self.seats, address, f"{address}:callers",
            DomainName("a"), "r1",
        )  # fmt: skip
        peers = Peers(self.network.open(address), Codec("peers-token-00001"))
        membership = Membership(identity, peers, known, host_list, random.Random(incarnation))
        membership.report = lambda: REPORT
        membership.peers = peers
        self.tasks.start_soon(partial(self._run, name, membership))
        return membership

    async def _run(self, name, membership):
        with anyio.CancelScope() as self.scopes[name]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(membership.peers.run)
                tasks.start_soon(membership.run)


@pytest.fixture
async def hosts(anyio_backend):
    async with anyio.create_task_group() as tasks:
        yield Hosts(tasks)
        tasks.cancel_scope.cancel()


def live(membership):
    return {member.heartbeat.host for member in membership.live}


def liveness(membership, host):
    return membership.members[host].liveness(anyio.current_time())


@pytest.mark.anyio
async def test_hosts_find_each_other_through_one_known_address(hosts):
    """Guards against hosts that know only the addresses in their settings."""
    members = [hosts.start(f"h{number}") for number in range(5)]
    await anyio.sleep(3)
    for number, member in enumerate(members):
        assert live(member) == {f"h{other}" for other in range(5)} - {f"h{number}"}
        assert member.heard_seats == 5


@pytest.mark.anyio
async def test_a_silent_host_is_suspect_then_lost(hosts):
    """Guards against timeouts other than 1.5 s and 3 s, and against lost hosts that count towards the quorum."""
    first, second = hosts.start("h0"), hosts.start("h1")
    hosts.start("h2")
    await anyio.sleep(3)
    assert first.hears_quorum
    hosts.scopes["h1"].cancel()
    hosts.scopes["h2"].cancel()
    received_s = first.members["h1"].received_s
    for silent_s, expected in [(1.4, Liveness.LIVE), (1.6, Liveness.SUSPECT), (2.9, Liveness.SUSPECT),
                               (3.1, Liveness.LOST)]:  # fmt: skip
        await anyio.sleep(received_s + silent_s - anyio.current_time())
        assert liveness(first, "h1") is expected
    assert not first.hears_quorum
    assert live(first) == set()
    assert second.identity.host not in first.loads


@pytest.mark.anyio
async def test_a_host_is_heard_only_if_messages_pass_in_both_directions(hosts):
    """Guards against a quorum that counts hosts which receive nothing from this host."""
    first, second = hosts.start("h0"), hosts.start("h1")
    await anyio.sleep(3)
    hosts.network.block({"h0"}, {"h1"}, both=False)
    await anyio.sleep(4)
    assert live(first) == {"h1"}
    assert first.heard_seats == second.heard_seats == 1


@pytest.mark.anyio
async def test_an_address_belongs_to_its_highest_incarnation(hosts):
    """Guards against late or repeated heartbeats that keep a replaced host in the membership."""
    first = hosts.start("h0")
    hosts.start("h1", address="reused")
    await anyio.sleep(3)
    late = first.members["h1"].heartbeat
    hosts.scopes["h1"].cancel()
    hosts.start("h2", address="reused")
    await anyio.sleep(3)
    assert live(first) == {"h2"}
    hosts.network.open("x")
    first._receive(late)
    assert live(first) == {"h2"}


@pytest.mark.anyio
async def test_the_host_that_started_earlier_detects_a_seat_conflict(hosts):
    """Guards against two hosts that use the same seat without either detecting the conflict."""
    first, second = hosts.start("h0"), hosts.start("h1", seat=0)
    await anyio.sleep(0.3)
    third = hosts.start("h2", seat=0)
    await anyio.sleep(2)
    assert third.seat_conflict is None
    assert first.seat_conflict is not None
    assert second.seat_conflict is not None
    assert first.heard_seats == 1
    for name in ("h1", "h2"):
        hosts.scopes[name].cancel()
    await anyio.sleep(4)
    assert first.seat_conflict is None


class ListedHosts:
    """Host list in memory; None stands for a list that is unavailable."""

    def __init__(self, hosts):
        self.listed = hosts

    async def hosts(self):
        return HostListUnavailable("scripted") if self.listed is None else self.listed


@pytest.mark.anyio
async def test_the_host_list_adds_hosts_and_marks_leaving_ones(hosts):
    """Guards against a host list that is ignored, and against members lost while the list is unavailable."""
    source = ListedHosts([ListedHost("h1", "h1", "h1:callers", ListState.LEAVING)])
    first = hosts.start("h0", known=(), host_list=source)
    hosts.start("h1", known=())
    await anyio.sleep(3)
    assert [member.heartbeat.host for member in first.leaving_members] == ["h1"]
    source.listed = None
    await anyio.sleep(20)
    assert live(first) == {"h1"}


@pytest.mark.anyio
async def test_a_large_fleet_has_a_bounded_degree_and_heartbeat(hosts):
    """Guards against a number of links, or a heartbeat size, that grows with the number of hosts."""
    members = [hosts.start(f"h{number}") for number in range(30)]
    # A host receives about 20 random member summaries per second, so 30 hosts need some 10 s to learn of each other.
    await anyio.sleep(20)
    degrees = [len(member.peers.addresses) for member in members]
    # h0, which is in the settings of all hosts, must not have more links than the others.
    assert max(degrees) <= 2 * RINGS + 3
    assert max(hosts.network.sent_sizes_bytes) < 4_000
    assert all(member.known_hosts == 30 for member in members)
    assert sum(member.is_among_first(3, "watchers") for member in members) == 3


@settings(max_examples=20)
@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 6)), min_size=1, max_size=20), st.randoms())
def test_the_order_of_heartbeats_does_not_matter(sent, rng):
    """Guards against late, repeated or reordered heartbeats that replace newer ones."""

    async def main():
        identity = HostIdentity("h0", 1, 0, 5, "h0", "c", "a", "r1")
        membership = Membership(identity, Peers(Network().open("h0"), Codec("peers-token-00001")))
        for incarnation, sequence in rng.sample(sent * 2, len(sent) * 2):
            membership._receive(
                Heartbeat("h1", incarnation, sequence, 1, "h1", "c", "a", "r1", 0, None, 0, Reachability.REACHABLE,
                          False, 0, (), False, 0.0, {}, {}, ())
            )  # fmt: skip
        last = membership.members["h1"].heartbeat
        assert (last.incarnation, last.sequence) == max(sent)

    trio.run(main, clock=trio.testing.MockClock())
