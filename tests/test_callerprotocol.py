"""The protocol of callers' connections without a network."""

import asyncio
import gc
import itertools
import socket
import weakref

import pytest
import uvicorn
from hypothesis import given, strategies as st
from uvicorn.server import ServerState

from hawthornbridge.callerlimits import MIN_MEMORY_BYTES, CallerBounds, CallerLimits, MachineLimits
from hawthornbridge.callerprotocol import CallerProtocol
from hawthornbridge.callers import send_json
from hawthornbridge.inputturns import InputTurns
from hawthornbridge.requestsizes import FIRST_READ_BYTES
from tests.callerconnections import Connection, settle
from tests.executedlines import executed_lines

LIMITS = CallerLimits(header_bytes=512, body_bytes=1_024)
MACHINE = MachineLimits()
GET = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nab\r\n\r"
CHUNKED_HEAD = b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKED = CHUNKED_HEAD + b"4\r\n\r\n\r\n\r\n3;a=b\r\nabc\r\n0\r\nt: v\r\n\r\n"
EMPTY_CHUNKED = b"\r\n" + CHUNKED_HEAD + b"0\r\n\r\n"
EXPECTING = b"POST /x HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nok"
BODIES = {GET: b"", POST: b"ab\r\n\r", CHUNKED: b"\r\n\r\nabc", EMPTY_CHUNKED: b"", EXPECTING: b"ok"}
FRAGMENTS = (
    b"\r\n",
    b"\n",
    b"\r",
    b"\x00",
    b" ",
    b":",
    b"0",
    b"f",
    b"\r\n\r\n",
    b"content-length: 3\r\n",
    b"transfer-encoding: chunked\r\n",
    b"connection: upgrade\r\nupgrade: x\r\n",
    b"connection: close\r\n",
    b"x" * 600,
    b"a: b\r\n" * 100,
    b"\r\n" * 300,
    b"ffffffffffffffff\r\n",
)


def tcp_pair():
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        client = socket.create_connection(listening.getsockname())
        accepted, _ = listening.accept()
    return client, accepted


def split(content, positions):
    edges = [0, *sorted({position % (len(content) + 1) for position in positions}), len(content)]
    return [content[start:end] for start, end in itertools.pairwise(edges) if start < end]


def scarce_bounds(limits):
    """Return bounds under which each part of a request waits for a turn of its own."""
    bounds = CallerBounds(limits, MACHINE)
    bounds.turns = InputTurns(1)
    return bounds


def play(content, positions, bounds):
    """Send content in parts; return the connection after everything is answered."""

    async def run():
        connection = Connection(bounds)
        try:
            await connection.send(split(content, positions))
            held = bounds.memory.used_bytes
            return connection, connection.statuses(), connection.transport.is_closing(), held
        finally:
            connection.close()

    return asyncio.run(run())


positions = st.lists(st.integers(0, 4_000), max_size=12)
requests = st.lists(st.sampled_from(list(BODIES)), min_size=1, max_size=6)
mutations = st.lists(
    st.tuples(st.integers(0, 4_000), st.integers(0, 12), st.sampled_from(FRAGMENTS) | st.binary(max_size=8)),
    min_size=1,
    max_size=4,
)


@pytest.mark.parametrize("make_bounds", [lambda limits: CallerBounds(limits, MACHINE), scarce_bounds])
@given(requests, positions)
def test_requests_are_answered_in_order_however_they_are_split(make_bounds, chosen, where):
    """Guards against a request that is lost or misread where one read ends, or waits, and the next begins."""
    connection, statuses, is_closing, _ = play(b"".join(chosen), where, make_bounds(LIMITS))
    assert connection.errors == []
    assert [status for status in statuses if status != 100] == [200] * len(chosen)
    assert connection.bodies == [BODIES[each] for each in chosen]
    assert not is_closing


@given(requests, mutations, positions)
def test_changed_bytes_end_in_answers_or_one_refusal(chosen, changes, where):
    """Guards against input that raises an error in the daemon, gets two answers, or is kept without bound."""
    content = b"".join(chosen)
    for at, removed, inserted in changes:
        start = at % (len(content) + 1)
        content = content[:start] + inserted + content[start + removed :]
    bounds = CallerBounds(LIMITS, MACHINE)
    connection, statuses, _, held = play(content, where, bounds)
    finals = [status for status in statuses if status != 100]
    assert connection.errors == []
    assert finals.count(200) == len(connection.bodies)
    refusals = [status for status in finals if status != 200]
    assert len(refusals) <= 1 and finals[len(finals) - len(refusals) :] == refusals
    assert set(refusals) <= {400, 413, 431}
    assert held <= 2 * len(content) + 512 * 200


@given(st.sampled_from(FRAGMENTS), st.sampled_from([b"", GET[:-2], CHUNKED[:-7], EMPTY_CHUNKED[:-2]]), positions)
def test_no_part_may_be_repeated_without_end(repeated, opening, where):
    """Guards against a part that costs nothing, so that a caller may send it for good."""
    content = opening + repeated * (200_000 // len(repeated))
    connection, statuses, _, _ = play(content, [*where, *range(0, len(content), 8_192)], CallerBounds(LIMITS, MACHINE))
    assert connection.errors == []
    assert statuses and statuses[-1] in (400, 413, 431)


@pytest.mark.parametrize(("parts", "statuses"), [((b"\r", GET), [400]), ((b"\r", b"\n" + GET), [200])])
def test_an_empty_line_may_be_split_but_not_end_in_half(parts, statuses):
    """Guards against a bare carriage return that is accepted because a read ends behind it."""
    content = b"".join(parts)
    _, answered, _, _ = play(content, [1], CallerBounds(LIMITS, MACHINE))
    assert answered == statuses


@pytest.mark.parametrize(("announced", "statuses"), [(1_024, [100, 200]), (1_025, [413])])
def test_an_expected_body_is_asked_for_within_the_limit(announced, statuses):
    """Guards against a caller that is told to send a body which is refused then."""
    head = b"POST /x HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: %d\r\n\r\n" % announced

    async def run():
        connection = Connection(CallerBounds(LIMITS, MACHINE))
        await connection.send([head])
        if statuses[0] == 100:
            assert connection.statuses() == [100]
            await connection.send([b"x" * announced])
        answered = connection.statuses()
        connection.close()
        return answered

    assert asyncio.run(run()) == statuses


def test_too_many_headers_are_refused_for_their_number():
    """Guards against a refusal that names a size which the head does not have."""
    content = GET[:-2] + b"a:\r\n" * 512 + b"\r\n"
    connection, statuses, _, _ = play(content, [], CallerBounds(CallerLimits(), MACHINE))
    assert statuses == [431]
    assert b"more than 512 headers" in connection.transport.written


def test_one_request_of_a_read_is_parsed_at_a_time():
    """Guards against requests that are kept as objects while the first of them runs."""

    async def run():
        connection = Connection(CallerBounds(LIMITS, MACHINE))
        connection.hold = asyncio.Event()
        await connection.send([GET * 50])
        running = len(connection.bodies)
        connection.hold.set()
        await settle(lambda: False)
        await asyncio.sleep(0.1)
        answered = connection.statuses()
        connection.close()
        return running, answered

    assert asyncio.run(run()) == (1, [200] * 50)


def test_the_largest_body_in_progress_makes_room():
    """Guards against callers that hold all memory with bodies that do not end; what is refused must not run."""

    async def run():
        bounds = CallerBounds(CallerLimits(body_bytes=2_000_000), MachineLimits(memory_bytes=0))
        head = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
        large, small = Connection(bounds), Connection(bounds)
        await large.send([head % 2_000_000, b"x" * 1_900_000])
        await small.send([head % 300_000, b"x" * 200_000])
        await small.send([b"x" * 100_000])
        results = large.statuses(), large.bodies, b"retry-after: " in large.transport.written, small.statuses()
        for connection in (large, small):
            connection.close()
        return results

    assert asyncio.run(run()) == ([503], [], True, [200])


def test_an_answer_that_nobody_reads_gives_way():
    """Guards against callers that hold all memory with answers that they do not read."""

    async def run():
        bounds = CallerBounds(LIMITS, MachineLimits(memory_bytes=0))
        connections = [Connection(bounds) for _ in range(3)]
        for connection in connections:
            connection.transport.unread_bytes = 1_000_000
            connection.protocol.pause_writing()
        closed = [connection.transport.is_closing() for connection in connections]
        for connection in connections:
            connection.close()
        return closed

    assert sorted(asyncio.run(run())) == [False, False, True]


@pytest.mark.parametrize(("content", "status"), [(GET[:-2], 408), (POST[:-3], 408), (b"\r\n", None)])
def test_a_slow_request_is_refused_and_does_not_run(content, status):
    """Guards against callers that hold connections with requests that do not end."""

    async def run():
        connection = Connection(CallerBounds(CallerLimits(header_s=0.05, body_s=0.05), MACHINE))
        await connection.send([content])
        await asyncio.sleep(0.2)
        results = connection.statuses(), connection.bodies
        connection.close()
        return results

    assert asyncio.run(run()) == ([status] if status else [], [])


def test_a_connection_with_an_unread_answer_is_closed_in_the_end():
    """Guards against connections that stay for good because their callers read nothing."""

    async def run():
        connection = Connection(CallerBounds(CallerLimits(idle_s=0.05), MACHINE))
        connection.transport.unread_bytes = 1_000
        await connection.send([GET])
        await asyncio.sleep(0.2)
        is_closed = connection.transport.is_closing()
        connection.close()
        return is_closed

    assert asyncio.run(run())


@pytest.mark.parametrize("unread_bytes", [0, 1_000])
def test_a_request_whose_answer_is_not_read_is_not_at_work(unread_bytes):
    """Guards against a connection that keeps its place for an answer which nobody reads."""

    async def run():
        connection = Connection(CallerBounds(LIMITS, MACHINE))
        connection.transport.unread_bytes = unread_bytes
        await connection.send([GET])
        state = connection.protocol.is_idle, connection.protocol.is_answered
        connection.close()
        return state

    assert asyncio.run(run()) == (unread_bytes == 0, unread_bytes > 0)


def test_a_caller_that_reads_each_answer_is_not_cut_in_the_next_one():
    """Guards against an answer that is compared with what was left of an earlier one, and cut while it is read."""

    async def run():
        now_s = 0.0
        asyncio.get_running_loop().time = lambda: now_s
        connection = Connection(CallerBounds(CallerLimits(idle_s=10.0), MACHINE))
        closed = []
        for answered_s in (0.0, 8.0):
            now_s = answered_s
            connection.transport.unread_bytes = 1_000
            await connection.send([GET])
            connection.transport.unread_bytes = 0
        connection.transport.unread_bytes = 1_000
        for later_s in (12.0, 17.0, 19.0):
            now_s = later_s
            await settle(lambda: False)
            closed.append(connection.transport.is_closing())
        connection.close()
        return closed

    assert asyncio.run(run()) == [False, False, True]


def test_a_refusal_to_a_caller_that_has_gone_raises_no_error():
    """Guards against an error from the connection that is refused, which would end the one that needs its memory."""

    async def run():
        connection = Connection(CallerBounds(LIMITS, MACHINE))
        protocol = connection.protocol
        client, accepted = tcp_pair()
        # A transport on a real socket takes the place of the one in memory.
        await asyncio.get_running_loop().connect_accepted_socket(lambda: protocol, accepted)
        client.send(POST[:-2])
        await settle(lambda: protocol.is_receiving)
        assert protocol.is_receiving
        # The refusal reaches a closed socket, so it is answered by a reset before the end of the stream is sent.
        client.close()
        assert protocol.give_up_memory()
        protocol.transport.abort()
        connection.close()

    asyncio.run(run())


def test_a_request_that_waits_outlives_the_answer_ahead_of_it():
    """Guards against a connection that gives up its next request without a word, and is then kept without a timer."""

    async def run():
        connection = Connection(CallerBounds(LIMITS, MACHINE))
        connection.hold = asyncio.Event()
        await connection.send([GET * 2])
        answered = connection.protocol.on_response_complete

        def answer_and_give_up():
            answered()
            # The limit of all callers may be met in any turn of the event loop, also before the next request is read.
            connection.protocol.give_up_memory()

        connection.protocol.cycle.on_response = answer_and_give_up
        connection.hold.set()
        await settle(lambda: False)
        statuses = connection.statuses()
        connection.close()
        return statuses

    assert asyncio.run(run()) == [200, 200]


def test_all_bytes_that_wait_for_an_answer_count():
    """Guards against bytes that are held without limit because only those of the first read are counted."""

    async def run():
        bounds = CallerBounds(LIMITS, MACHINE)
        connection = Connection(bounds)
        connection.hold = asyncio.Event()
        await connection.send([GET + b"x" * 5_000])
        # The application's wait for the end of the connection has resumed reading.
        assert connection.transport.is_reading
        await connection.send([b"x" * 5_000])
        held = bounds.memory.used_bytes
        connection.hold.set()
        await settle(lambda: False)
        connection.close()
        return held

    assert asyncio.run(run()) >= 10_000


def test_a_caller_that_resets_an_idle_connection_leaves_no_timer():
    """Guards against a timer that outlives its connection and raises an error on the closed socket."""

    async def run():
        connection = Connection(CallerBounds(CallerLimits(idle_s=0.05), MACHINE))
        await connection.send([GET])
        connection.protocol.connection_lost(ConnectionResetError())
        connection.transport.release()
        await asyncio.sleep(0.1)
        return connection.errors

    assert asyncio.run(run()) == []


def test_an_empty_line_behind_a_body_does_not_shorten_the_idle_time():
    """Guards against a kept connection that is closed after the time for a head, although no head has begun."""

    async def run():
        now_s = 0.0
        asyncio.get_running_loop().time = lambda: now_s
        connection = Connection(CallerBounds(CallerLimits(header_s=1.0, idle_s=10.0), MACHINE))
        await connection.send([POST + b"\r\n"])
        now_s = 8.0
        await settle(lambda: False)
        await connection.send([GET])
        statuses = connection.statuses()
        connection.close()
        return statuses

    assert asyncio.run(run()) == [200, 200]


def test_the_unread_part_of_a_small_answer_counts_until_it_is_read():
    """Guards against unread answers that are not counted, and against read ones that still are."""

    async def run():
        bounds = CallerBounds(LIMITS, MACHINE)
        connection = Connection(bounds)
        connection.answer = {"content": "x" * 60_000}
        client, accepted = socket.socketpair()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        # A transport on a real socket takes the place of the one in memory.
        await asyncio.get_running_loop().connect_accepted_socket(lambda: connection.protocol, accepted)
        client.setblocking(False)
        client.send(GET)
        await settle(lambda: connection.protocol.is_answered)
        unread, counted = connection.protocol.transport.get_write_buffer_size(), bounds.memory.used_bytes
        received = b""
        while not received.endswith(b"}"):
            received += await asyncio.get_running_loop().sock_recv(client, 10_000)
        await settle(lambda: False)
        left = bounds.memory.used_bytes
        connection.protocol.transport.abort()
        connection.close()
        client.close()
        return unread, counted, left

    unread, counted, left = asyncio.run(run())
    assert unread and counted == unread and left == 0


def test_an_answer_that_stops_before_its_end_is_timed_too():
    """Guards against an answer that waits for good for a caller which does not read its beginning."""

    async def run():
        now_s = 0.0
        asyncio.get_running_loop().time = lambda: now_s
        connection = Connection(CallerBounds(CallerLimits(idle_s=10.0), MACHINE))
        connection.hold = asyncio.Event()
        await connection.send([GET])
        connection.transport.unread_bytes = 10_000
        connection.protocol.pause_writing()
        now_s = 11.0
        await settle(lambda: False)
        is_closed = connection.transport.is_closing()
        connection.close()
        return is_closed

    assert asyncio.run(run())


def test_a_caller_whose_waiting_requests_are_given_up_is_read_until_its_answer():
    """Guards against a connection that is closed with unread bytes, which resets it and may lose the answer."""

    async def run():
        connection = Connection(CallerBounds(LIMITS, MACHINE))
        connection.hold = asyncio.Event()
        await connection.send([GET * 100, GET * 100])
        assert not connection.transport.is_reading
        connection.protocol.give_up_memory()
        is_reading = connection.transport.is_reading
        connection.hold.set()
        await settle(lambda: False)
        results = is_reading, connection.statuses(), connection.transport.is_closing()
        connection.close()
        return results

    assert asyncio.run(run()) == (True, [200], True)


def hold_requests(content, count, limits):
    """Send the same request over several connections, while none is answered; return their statuses and the memory."""

    async def run():
        bounds = CallerBounds(limits, MachineLimits(memory_bytes=0))
        connections = [Connection(bounds) for _ in range(count)]
        for connection in connections:
            connection.hold = asyncio.Event()
            await connection.send([content])
        held = bounds.memory.used_bytes
        running = sum(len(connection.bodies) for connection in connections)
        for connection in connections:
            connection.hold.set()
        await settle(lambda: False)
        statuses = [status for connection in connections for status in connection.statuses()]
        errors = [error for connection in connections for error in connection.errors]
        for connection in connections:
            connection.close()
        return held, running, statuses, errors

    return asyncio.run(run())


def test_requests_that_arrive_in_one_read_are_together_within_the_memory():
    """Guards against requests that are each received whole before the memory of all callers is looked at."""
    size = 30_000
    content = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % size + b"x" * size
    held, running, statuses, errors = hold_requests(content, 100, CallerLimits())
    assert held <= MIN_MEMORY_BYTES
    # What is refused has not run, and all the others are answered.
    assert (statuses.count(200), statuses.count(503)) == (running, 100 - running)
    assert running >= MIN_MEMORY_BYTES // size - 2 and errors == []


def test_the_headers_of_a_request_in_progress_count():
    """Guards against many short headers, whose objects take most of the memory of a request."""
    content = GET[:-2] + b"a:\r\n" * 500 + b"\r\n"
    held, running, statuses, errors = hold_requests(content, 50, CallerLimits())
    assert held <= MIN_MEMORY_BYTES
    assert 0 < running < 50 and errors == []
    assert (statuses.count(200), statuses.count(503)) == (running, 50 - running)


def test_a_caller_that_ends_its_side_counts_as_one_that_has_left():
    """Guards against work for callers that have closed, which TCP does not tell from those that still read."""

    async def run():
        connection = Connection(CallerBounds(LIMITS, MACHINE))
        connection.hold = asyncio.Event()
        client, accepted = socket.socketpair()
        # A transport on a real socket takes the place of the one in memory.
        await asyncio.get_running_loop().connect_accepted_socket(lambda: connection.protocol, accepted)
        client.send(GET)
        await settle(lambda: connection.bodies)
        client.shutdown(socket.SHUT_WR)
        await settle(lambda: connection.protocol.cycle.disconnected)
        is_left = connection.protocol.cycle.disconnected
        connection.hold.set()
        connection.close()
        client.close()
        return is_left

    assert asyncio.run(run())


@pytest.mark.parametrize("ending", [b"\r\n", b" : \r\n\r\n"], ids=["answered", "refused"])
def test_an_open_connection_keeps_no_headers_of_a_request_that_is_over(ending):
    """Guards against idle or refused connections that each hold the objects of hundreds of headers."""

    async def run():
        connection = Connection(CallerBounds(CallerLimits(), MACHINE))
        await connection.send([GET[:-2] + b"a:\r\n" * 500 + ending])
        protocol = connection.protocol
        kept = len(protocol.headers) + (len(protocol.cycle.scope["headers"]) if protocol.cycle else 0)
        results = kept, len(connection.statuses()), connection.transport.is_closing()
        connection.close()
        return results

    assert asyncio.run(run()) == (0, 1, False)


ENDINGS = {
    "opened": b"",
    "answered": GET,
    "half a head": GET[:-2] + b"a:\r\n" * 500,
    "refused": GET[:-2] + b"a:\r\n" * 600,
    "half a body": POST[:-3],
}


@pytest.mark.parametrize("ending", ENDINGS)
def test_a_closed_connection_is_freed_at_once(ending):
    """Guards against connections in reference cycles, which keep their headers until a garbage collection."""
    created = []

    async def answer(scope, receive, send):
        while (await receive()).get("more_body"):
            pass
        await send_json(send, 200, {})

    def create():
        config = uvicorn.Config(answer, interface="asgi3", ws="none", lifespan="off", log_config=None)
        kind = type("Protocol", (CallerProtocol,), {"bounds": CallerBounds(CallerLimits(), MACHINE)})
        protocol = kind(config=config, server_state=ServerState(), app_state={})
        created.append(weakref.ref(protocol))
        return protocol

    async def run():
        client, accepted = socket.socketpair()
        transport, _ = await asyncio.get_running_loop().connect_accepted_socket(create, accepted)
        client.send(ENDINGS[ending])
        await settle(lambda: False)
        transport.abort()
        await settle(lambda: False)
        client.close()

    gc.disable()
    try:
        asyncio.run(run())
        assert created[0]() is None
    finally:
        gc.enable()


def test_chunks_are_received_without_a_step_for_each():
    """Guards against a body in chunks of one byte that takes the event loop many times as long as one in a few."""

    async def run(count):
        connection = Connection(CallerBounds(CallerLimits(), MACHINE))
        await connection.send([CHUNKED_HEAD])
        steps = executed_lines(lambda: connection.protocol.data_received(b"1\r\nx\r\n" * count))
        await connection.send([b"0\r\n\r\n"])
        bodies = connection.bodies
        connection.close()
        return steps, bodies

    few, many = (asyncio.run(run(count)) for count in (10, 3_000))
    assert (few[1], many[1]) == ([b"x" * 10], [b"x" * 3_000])
    assert few[0] == many[0]


def test_a_part_of_a_request_waits_for_its_turn_and_a_new_request_does_not():
    """Guards against callers whose small requests wait behind those that take many reads."""

    async def run():
        bounds = scarce_bounds(LIMITS)
        slow, quick = Connection(bounds), Connection(bounds)
        await slow.send([POST[:-4]])
        bounds.turns.take(Connection(bounds).protocol, 1)
        slow.protocol.data_received(POST[-4:])
        quick.protocol.data_received(GET)
        waits = slow.protocol.is_receiving, bounds.turns.is_waiting(slow.protocol), slow.transport.is_reading
        await settle(lambda: False)
        return waits, quick.statuses(), slow.statuses(), slow.transport.is_reading

    assert asyncio.run(run()) == ((True, True, False), [200], [200], True)


class BusyTurns(InputTurns):
    """Turns that never come."""

    def take(self, connection, units):
        self._waiting[connection] = units
        return False


@pytest.mark.parametrize("content", [GET, POST], ids=["head", "body"])
def test_a_request_whose_turn_does_not_come_in_time_is_told_to_come_back(content):
    """Guards against callers that are held for good, or blamed for being slow, while the host has no time for them."""

    async def run():
        bounds = CallerBounds(CallerLimits(header_s=0.05, body_s=0.05), MACHINE)
        bounds.turns = BusyTurns()
        connection = Connection(bounds)
        await connection.send([content[:-3], content[-3:]])
        await asyncio.sleep(0.2)
        results = connection.statuses(), connection.bodies, b"retry-after: " in connection.transport.written
        connection.close()
        return results

    assert asyncio.run(run()) == ([503], [], True)


def test_a_request_that_waits_for_a_turn_is_answered_before_a_stop():
    """Guards against a planned stop that closes a connection with a request that has been read."""

    async def run():
        bounds = CallerBounds(LIMITS, MACHINE)
        connection = Connection(bounds)
        connection.hold = asyncio.Event()
        await connection.send([GET * 2])
        bounds.turns.take(Connection(bounds).protocol, 10_000)
        connection.hold.set()
        await settle(connection.statuses)
        connection.protocol._last_event_s -= 1.0
        connection.protocol.shutdown()
        await settle(lambda: False)
        results = connection.statuses(), connection.transport.is_closing()
        connection.close()
        return results

    assert asyncio.run(run()) == ([200, 200], True)


LEFT_CONNECTIONS = 20
LEFT_CHUNKS = 20_000


def test_what_callers_have_sent_before_they_left_is_not_processed():
    """Guards against a host that is busy for long with what closed connections have left."""

    async def run():
        bounds = CallerBounds(CallerLimits(), MACHINE)
        connections = [Connection(bounds) for _ in range(LEFT_CONNECTIONS)]
        for connection in connections:
            client, accepted = socket.socketpair()
            client.setblocking(False)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_048_576)
            client.send(CHUNKED_HEAD + b"1\r\nx\r\n" * LEFT_CHUNKS)
            client.close()
            protocol = connection.protocol
            # A transport on a real socket takes the place of the one in memory.
            await asyncio.get_running_loop().connect_accepted_socket(lambda protocol=protocol: protocol, accepted)
        while not all(connection.protocol.transport.is_closing() for connection in connections):
            await asyncio.sleep(0)
        processed = [connection.protocol._sizes.body_bytes for connection in connections]
        for connection in connections:
            connection.close()
        return processed, len(bounds.turns)

    processed, waiting = asyncio.run(run())
    # One read may be processed before the connection waits, and one is in progress then.
    assert max(processed) <= 2 * FIRST_READ_BYTES
    assert waiting == 0


def test_requests_that_wait_behind_an_answer_are_dropped_with_their_caller():
    """Guards against requests that run although their caller left before they were read."""

    async def run():
        connection = Connection(CallerBounds(LIMITS, MACHINE))
        connection.hold = asyncio.Event()
        client, accepted = tcp_pair()
        protocol = connection.protocol
        # A transport on a real socket takes the place of the one in memory.
        await asyncio.get_running_loop().connect_accepted_socket(lambda: protocol, accepted)
        # Far more than is read at once, so that the end of the stream is not seen.
        client.sendall(GET * 2_000)
        await settle(lambda: connection.bodies and protocol.flow.read_paused)
        client.shutdown(socket.SHUT_WR)
        connection.hold.set()
        await settle(protocol.transport.is_closing)
        connection.close()
        client.close()
        return connection.bodies

    assert asyncio.run(run()) == [b""]
