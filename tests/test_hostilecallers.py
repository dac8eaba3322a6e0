"""The system's own process against callers outside all limits: it lives, stays within its machine, and still answers.

Each test starts one daemon on loopback. The settings' limits are low, so that a small crowd shows the fault.
"""

import anyio
import pytest

from tests.hostileclients import (
    BODY_BYTES,
    CROWD,
    ENDLESS,
    GET,
    HANG_S,
    HEADER_BYTES,
    LARGE_BODY_BYTES,
    LIMITS,
    LISTENERS,
    POST,
    UNREAD_ANSWER_BYTES,
    WHOLE_BODY_BYTES,
    WHOLE_CROWD,
    WHOLE_MAX_FDS,
    check_sound,
    hostile_site,
    open_sockets,
    play,
    put_configuration,
    raise_descriptors,
)
from tests.platformfakes import real_sockets
from tests.slowleaves import UnreadingLeaf

pytestmark = [pytest.mark.anyio, pytest.mark.apart]
anyio_backend = real_sockets()
site = hostile_site()

HOLDING_CROWD = 40
IDLE_CROWD = 150
UNREAD_CROWD = 40
# Connections that each client of a crowd opens and resets.
RESETS = 300
# Connections to leaves and the store that a daemon keeps after requests.
KEPT_SOCKETS = 10


@pytest.mark.parametrize("kind", ENDLESS)
async def test_a_client_that_sends_without_end_is_refused_and_costs_little_memory(site, kind):
    """Guards against a process that runs out of memory, or reads for good, because of what a client sends."""
    daemon, crowd_at, _, leaves = site
    crowd = crowd_at()
    closed, most_sockets = await play(daemon, [crowd.flood(ENDLESS[kind]) for _ in range(CROWD)])
    await check_sound(daemon, most_sockets)
    assert closed == [True] * CROWD
    assert [arrival for leaf in leaves for arrival in leaf.arrivals if arrival.request_id == "hostile"] == []


@pytest.mark.parametrize("listener", LISTENERS[1:])
@pytest.mark.parametrize("kind", ["empty lines", "trailers", "chunked body"])
async def test_every_listener_refuses_a_client_that_sends_without_end(site, kind, listener):
    """Guards against limits that hold only for the listener of callers."""
    daemon, crowd_at, _, _ = site
    crowd = crowd_at(listener)
    closed, most_sockets = await play(daemon, [crowd.flood(ENDLESS[kind]) for _ in range(CROWD)])
    await check_sound(daemon, most_sockets)
    assert closed == [True] * CROWD


async def test_many_requests_in_one_write_wait_without_much_memory(site):
    """Guards against requests that are all parsed and kept while the first of them runs."""
    daemon, crowd_at, _, _ = site
    content = (GET + b"\r\n") * (4 * BODY_BYTES // len(GET))
    crowd = crowd_at()
    _, most_sockets = await play(daemon, [crowd.send_held(content) for _ in range(HOLDING_CROWD)])
    await check_sound(daemon, most_sockets)


async def test_connections_beyond_the_machines_descriptors_cost_no_answer(site):
    """Guards against a host whose descriptors are all held by idle callers, so that it reaches no leaf or store."""
    daemon, crowd_at, _, _ = site
    crowd = crowd_at()
    _, most_sockets = await play(daemon, [crowd.send_held(b"") for _ in range(IDLE_CROWD)])
    await check_sound(daemon, most_sockets, [f"r{number}" for number in range(3)])


async def test_slow_heads_cost_no_answer(site):
    """Guards against callers that hold memory and connections with heads that do not end."""
    daemon, crowd_at, _, _ = site
    content = GET + b"slow: " + b"x" * (HEADER_BYTES - len(GET) - 512)
    crowd = crowd_at()
    _, most_sockets = await play(daemon, [crowd.send_held(content) for _ in range(IDLE_CROWD)])
    await check_sound(daemon, most_sockets)


async def test_slow_bodies_inside_the_limit_do_not_use_up_the_memory(site):
    """Guards against bodies that are each inside the limit and are together more than the machine's memory."""
    daemon, crowd_at, store, _ = site
    put_configuration(store, LIMITS | {"max_body_bytes": LARGE_BODY_BYTES}, version=2)
    await anyio.sleep(0.5)
    head = POST + b"content-length: %d\r\n\r\n" % LARGE_BODY_BYTES
    crowd = crowd_at()
    content = head + b"x" * (LARGE_BODY_BYTES * 9 // 10)
    _, most_sockets = await play(daemon, [crowd.send_held(content) for _ in range(HOLDING_CROWD)])
    await check_sound(daemon, most_sockets)


async def test_heads_over_the_limit_reach_no_leaf(site):
    """Guards against heads that are over the configuration's limit and are passed on."""
    daemon, crowd_at, _, leaves = site
    content = GET + b"large: " + b"x" * HEADER_BYTES + b"\r\n\r\n"
    crowd = crowd_at()
    _, most_sockets = await play(daemon, [crowd.send_held(content) for _ in range(CROWD)])
    await check_sound(daemon, most_sockets)
    assert [arrival for leaf in leaves for arrival in leaf.arrivals if arrival.request_id == "hostile"] == []


async def test_answers_that_nobody_reads_do_not_use_up_the_memory(site):
    """Guards against callers that ask for large answers and never read them."""
    daemon, crowd_at, _, leaves = site
    leaves[0].body = lambda request_id: b"x" * (UNREAD_ANSWER_BYTES if request_id == "hostile" else 192)
    crowd = crowd_at()
    clients = crowd.ask_one_after_the_other(GET + b"\r\n", UNREAD_CROWD, lambda: len(leaves[0].runs))
    _, most_sockets = await play(daemon, [clients])
    await check_sound(daemon, most_sockets)


@pytest.mark.parametrize("kind", ["body", "headers"])
async def test_many_whole_requests_at_a_silent_leaf_do_not_use_up_the_memory(site, kind):
    """Guards against requests that are each received in one read, so that no limit on their sum is met before."""
    daemon, crowd_at, _, leaves = site
    await raise_descriptors(daemon)
    leaves[0].faults.silent = True
    body = POST + b"content-length: %d\r\n\r\n" % WHOLE_BODY_BYTES + b"x" * WHOLE_BODY_BYTES
    headers = GET + b"a:\r\n" * 500 + b"\r\n"
    content = {"body": body, "headers": headers}[kind]
    crowd = crowd_at()
    _, most_sockets = await play(daemon, [crowd.send_held(content) for _ in range(WHOLE_CROWD)])
    leaves[0].faults.silent = False
    await check_sound(daemon, most_sockets, max_sockets=WHOLE_MAX_FDS - 200)


async def test_connections_that_are_reset_at_once_leave_nothing(site):
    """Guards against descriptors, timers or errors that are left by callers which reset what they have just opened."""
    daemon, crowd_at, _, _ = site
    crowds = [crowd_at(listener) for listener in LISTENERS]
    contents = [b"", b"\r\n", GET, GET + b"\r\n", POST + b"content-length: 9\r\n\r\nx"]
    before = open_sockets(daemon)
    clients = [crowd.reset_often(contents, RESETS) for crowd in crowds for _ in range(4)]
    _, most_sockets = await play(daemon, clients)
    await check_sound(daemon, most_sockets)
    with anyio.fail_after(HANG_S):
        while open_sockets(daemon) > before + KEPT_SOCKETS:
            await anyio.sleep(0.05)
    assert "Traceback" not in daemon.log()


async def test_a_crowd_of_all_kinds_at_all_listeners_costs_little_memory(site):
    """Guards against limits that each hold alone and fail together."""
    daemon, crowd_at, _, leaves = site
    leaves[0].body = lambda request_id: b"x" * (UNREAD_ANSWER_BYTES if request_id == "hostile" else 192)
    held = [
        b"",
        GET + b"slow: " + b"x" * (HEADER_BYTES - len(GET) - 512),
        GET + b"a:\r\n" * 500,
        (GET + b"\r\n") * 500,
        POST + b"content-length: %d\r\n\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1),
        GET + b"\r\n",
    ]
    clients = []
    for listener in LISTENERS:
        crowd = crowd_at(listener)
        clients += [crowd.flood(stream) for stream in ENDLESS.values()]
        clients += [crowd.send_held(content) for content in held * 4]
    _, most_sockets = await play(daemon, clients)
    await check_sound(daemon, most_sockets)
    assert "Traceback" not in daemon.log()


async def test_large_requests_to_a_leaf_that_does_not_read_do_not_use_up_the_memory(site):
    """Guards against requests that a leaf does not take, and that the host keeps for it in full."""
    daemon, crowd_at, store, leaves = site
    unreading = UnreadingLeaf()
    await unreading.start()
    store.remove(f"servers/{leaves[0].id}")
    store.put("servers/unreading", leaves[0].entry() | {"address": unreading.address})
    put_configuration(store, LIMITS | {"max_body_bytes": LARGE_BODY_BYTES}, version=2)
    await anyio.sleep(0.5)
    content = POST + b"content-length: %d\r\n\r\n" % LARGE_BODY_BYTES + b"x" * LARGE_BODY_BYTES
    crowd = crowd_at()
    _, most_sockets = await play(daemon, [crowd.send_held(content) for _ in range(HOLDING_CROWD)])
    await check_sound(daemon, most_sockets)
    await unreading.stop()
