import resource
import socket
from collections import Counter

import pytest
from hypothesis import given, strategies as st

from hawthornbridge.callerlimits import MEGABYTE, CallerBounds, CallerLimits, MachineLimits
from hawthornbridge.callermemory import CallerMemory
from hawthornbridge.callerroom import CallerRoom


class FakeConnection:
    """A connection that gives up what it is told to."""

    def __init__(self, is_idle=False, is_receiving=False, is_answered=False):
        self.is_idle = is_idle
        self.is_receiving = is_receiving
        self.is_answered = is_answered
        self.is_given_up = False
        self.is_closed = False

    def give_up_memory(self):
        self.is_given_up = self.is_receiving
        return self.is_given_up

    def close_for_room(self):
        self.is_closed = True


def receiving():
    return FakeConnection(is_receiving=True)


def test_the_largest_that_is_not_whole_gives_way():
    memory = CallerMemory(100_000)
    whole, large, small = FakeConnection(), receiving(), receiving()
    memory.record(whole, 70_000)
    memory.record(large, 25_000)
    memory.record(small, 10_000)
    assert [each.is_given_up for each in (whole, large, small)] == [False, True, False]
    assert memory.used_bytes == 80_000


def test_a_single_request_is_served_however_little_memory_there_is():
    """Guards against a request inside the limits that is refused in calm."""
    memory = CallerMemory(10_000)
    only = receiving()
    memory.record(only, 500_000)
    assert not only.is_given_up


def test_released_memory_is_counted_once():
    memory = CallerMemory(100_000)
    connection = receiving()
    memory.record(connection, 50_000)
    memory.record(connection, 0)
    memory.release(connection)
    memory.record(connection, 100)
    assert memory.used_bytes == 0


def test_the_address_with_the_most_connections_makes_room_with_its_oldest_idle_one():
    """Guards against one client that takes all connections, so that others find none."""
    room = CallerRoom(4)
    busy, older, newer = FakeConnection(), FakeConnection(is_idle=True), FakeConnection(is_idle=True)
    other = FakeConnection(is_idle=True)
    for address, connection in (("a", busy), ("b", other), ("a", older), ("a", newer)):
        assert room.enter(address, connection)
    assert room.enter("c", FakeConnection())
    assert [each.is_closed for each in (busy, older, newer, other)] == [False, True, False, False]


def test_a_part_of_a_request_gives_way_to_no_idle_connection_but_to_a_new_one():
    room = CallerRoom(2)
    part, busy = receiving(), FakeConnection()
    room.enter("a", part)
    room.enter("a", busy)
    assert room.enter("b", FakeConnection()) and part.is_closed


def test_an_answered_request_gives_way_to_a_new_connection_after_all_others():
    """Guards against callers that take all connections by leaving their answers unread."""
    room = CallerRoom(3)
    answered, part, busy = FakeConnection(is_answered=True), receiving(), FakeConnection()
    for address, connection in (("a", answered), ("b", part), ("a", busy)):
        room.enter(address, connection)
    assert room.enter("b", FakeConnection()) and part.is_closed and not answered.is_closed
    assert room.enter("b", FakeConnection()) and answered.is_closed and not busy.is_closed


def test_a_new_connection_is_not_taken_while_all_are_at_work():
    room = CallerRoom(1)
    busy = FakeConnection()
    room.enter("a", busy)
    assert not room.enter("b", FakeConnection()) and not busy.is_closed
    room.leave("a", busy)
    assert room.enter("b", FakeConnection())


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=60), st.integers(1, 12))
def test_an_address_with_the_most_connections_gives_way(opened, places):
    """Guards against a client that keeps its connections at the cost of those that have fewer."""
    room, connections = CallerRoom(places), []
    for address, closes_first in opened:
        if closes_first and connections:
            room.leave(*connections.pop(0))
        counts = Counter(each for each, _ in connections)
        connection = FakeConnection(is_idle=True)
        assert room.enter(address, connection)
        closed = [each for each in connections if each[1].is_closed]
        assert len(closed) == (len(connections) == places)
        assert all(counts[each] == max(counts.values()) for each, _ in closed)
        connections = [each for each in connections if not each[1].is_closed] + [(address, connection)]


class CountedConnection(FakeConnection):
    """A connection at work that counts how often it is asked whether it is idle."""

    asked = 0

    @property
    def is_idle(self):
        CountedConnection.asked += 1
        return False

    @is_idle.setter
    def is_idle(self, value):
        pass


@pytest.mark.parametrize("addresses", [1, 500])
def test_few_connections_are_inspected_for_each_new_one(addresses):
    """Guards against a crowd whose new connections each cost time for all connections of a host."""
    room = CallerRoom(2_000)
    for number in range(2_000):
        room.enter(str(number % addresses), CountedConnection())
    CountedConnection.asked = 0
    for _ in range(100):
        room.enter("other", FakeConnection())
    assert 0 < CountedConnection.asked <= 100 * 32


def test_an_idle_connection_behind_many_busy_ones_gives_way_in_the_end():
    """Guards against a full host that looks at the same connections again and again."""
    room = CallerRoom(500)
    for _ in range(499):
        room.enter("a", FakeConnection())
    idle = FakeConnection(is_idle=True)
    room.enter("a", idle)
    tries = 0
    while not room.enter("b", FakeConnection()):
        tries += 1
    assert idle.is_closed and tries < 100


@pytest.mark.parametrize(("descriptors", "connections"), [(300, 50), (4_100, 1_950), (100, 16)])
def test_callers_have_half_of_the_sockets(monkeypatch, descriptors, connections):
    monkeypatch.setattr(resource, "getrlimit", lambda which: (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    assert MachineLimits(descriptors=descriptors).caller_connections() == connections


def test_the_process_own_limit_on_descriptors_counts(monkeypatch):
    monkeypatch.setattr(resource, "getrlimit", lambda which: (1_024, 1_024))
    assert MachineLimits(descriptors=4_100).caller_connections() == 412


@pytest.mark.parametrize(("memory_mb", "caller_mb"), [(300, 42), (152, 17.3), (32, 2)])
def test_callers_hold_a_part_of_what_the_process_leaves_free(memory_mb, caller_mb):
    assert MachineLimits(memory_mb * MEGABYTE).caller_bytes() == pytest.approx(caller_mb * MEGABYTE, rel=0.01)


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "buffer_bytes"), [(300, 4_100, 33_877), (64, 300, 65_536), (64, 1_300, 8_192)]
)
def test_unread_bytes_of_all_connections_have_a_part_of_the_memory(monkeypatch, memory_mb, descriptors, buffer_bytes):
    """Guards against a machine whose memory the system fills with what the host has not read."""
    monkeypatch.setattr(resource, "getrlimit", lambda which: (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    machine = MachineLimits(memory_mb * MEGABYTE, descriptors)
    assert machine.receive_buffer_bytes() == buffer_bytes
    assert 2 * buffer_bytes * machine.caller_connections() <= 0.55 * (memory_mb - 48) * MEGABYTE


def test_connections_accepted_after_a_change_of_the_settings_have_other_buffers():
    bounds = CallerBounds(CallerLimits(), MachineLimits(64 * MEGABYTE, 300))
    sizes = []
    with socket.socket() as listening, socket.socket() as closed:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        bounds.add_listening([listening, closed])
        closed.close()
        for descriptors in (300, 1_300):
            bounds.set_machine(MachineLimits(64 * MEGABYTE, descriptors))
            with socket.create_connection(listening.getsockname()), listening.accept()[0] as accepted:
                sizes.append(accepted.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF))
    assert sizes == [2 * 65_536, 2 * 8_192]
