"""The system's own process against crowds that take memory or processor time with what each of them may send.

The checks are counts: memory, descriptors, bytes read, and an ordinary request that is answered.
"""

import asyncio
import signal

import anyio
import pytest

from tests.hostileclients import (
    BODY_BYTES,
    CHUNKED,
    GET,
    HANG_S,
    LISTENERS,
    MEMORY_MB,
    WHOLE_CROWD,
    WHOLE_MAX_FDS,
    check_sound,
    frozen,
    hostile_site,
    play,
    private_memory_mb,
    raise_descriptors,
    stopped_by_answers,
    unread_bytes,
    wait_for_sockets,
)
from tests.platformfakes import real_sockets

pytestmark = [pytest.mark.anyio, pytest.mark.apart]
anyio_backend = real_sockets()
site = hostile_site()

# Heads that end nowhere: as many lines as the limits allow, and more than they do.
LINES = [b"x%04d: " % number + b"v" * 22 + b"\r\n" for number in range(1_200)]
HEAD_LINES = b"".join(LINES[:500])
MANY_LINES = b"".join(LINES)
CHUNK_CROWD = 40
PIPELINED_CROWD = 40
TINY_CHUNK = b"1\r\nx\r\n"
# What one client may send of one request in chunks of a byte, which all of a crowd may take from an ordinary request.
BODY_IN_CHUNKS_BYTES = BODY_BYTES * len(TINY_CHUNK)
READY = b"GET /ready HTTP/1.1\r\nhost: h.example\r\n\r\n"
RESOLVE = b"GET /resolve?name=h.example&region=r1&zone=z1 HTTP/1.1\r\nhost: h.example\r\n\r\n"
METRICS = b"GET /metrics HTTP/1.1\r\nhost: h.example\r\n\r\n"
SNAPSHOT = b"GET /snapshot HTTP/1.1\r\nhost: h.example\r\n\r\n"
OTHER_REQUESTS = {"ready": READY, "directory": RESOLVE, "control": SNAPSHOT, "metrics": METRICS}
OTHER_CROWD = 200
# A tenth of the crowd.
MOST_ANSWERED = 20
NOT_FOUND = b"GET /none HTTP/1.1\r\nhost: h.example\r\n\r\n"


@pytest.mark.parametrize("lines", [HEAD_LINES, MANY_LINES], ids=["within-limits", "over-limits"])
async def test_heads_that_do_not_end_cost_little_memory(site, lines):
    """Guards against refused connections that keep the headers of their requests, which nobody counts."""
    daemon, crowd_at, _, _ = site
    await raise_descriptors(daemon)
    crowd = crowd_at()
    # The daemon is frozen, so that it meets all of them within the time for which a refused connection is kept.
    with frozen(daemon):
        for _ in range(WHOLE_CROWD):
            await crowd.send_held(GET + lines)
    await check_sound(daemon, 0, max_sockets=WHOLE_MAX_FDS - 200)


@pytest.mark.parametrize("chunk", [TINY_CHUNK, b"10\r\n" + b"x" * 16 + b"\r\n"], ids=["1-byte", "16-bytes"])
async def test_an_ordinary_request_waits_for_little_of_what_a_crowd_sends(site, chunk):
    """Guards against a host that reads from all hostile clients in turn before it answers anyone else."""
    daemon, crowd_at, _, _ = site
    crowd, ordinary = crowd_at(), crowd_at("ready")
    for _ in range(CHUNK_CROWD):
        await crowd.send_held(CHUNKED)
    await wait_for_sockets(daemon, CHUNK_CROWD)
    caller = await ordinary.connect()
    await ordinary.ask(caller, READY)
    with frozen(daemon):
        await crowd.fill(chunk)
        before = await crowd.unread_bytes(daemon)
        await ordinary.send(caller, READY)
        with stopped_by_answers(daemon, caller):
            daemon.process.send_signal(signal.SIGCONT)
            await ordinary.receive(caller)
        read = before - await crowd.unread_bytes(daemon)
    print(f"{before} bytes to read, of which {read} were before the answer")
    assert before > 4 * BODY_IN_CHUNKS_BYTES
    # The crowd is still open.
    await check_sound(daemon, 0)
    assert read < BODY_IN_CHUNKS_BYTES


@pytest.mark.parametrize("listener", ["ready", "directory", "control", "metrics"])
async def test_a_caller_waits_for_few_requests_at_other_listeners(site, listener):
    """Guards against a host that answers a crowd at another of its listeners before it answers a caller."""
    daemon, crowd_at, _, _ = site
    await raise_descriptors(daemon)
    crowd, ordinary = crowd_at(listener), crowd_at()
    for _ in range(OTHER_CROWD):
        await crowd.connect()
    caller = await ordinary.connect()
    await wait_for_sockets(daemon, OTHER_CROWD + 1)
    with frozen(daemon):
        await crowd.send_all(OTHER_REQUESTS[listener])
        await ordinary.send(caller, NOT_FOUND)
        with stopped_by_answers(daemon, caller):
            daemon.process.send_signal(signal.SIGCONT)
            await ordinary.receive(caller, b"404")
        answered = crowd.answered()
    print(f"{answered} of {OTHER_CROWD} were answered before the caller")
    await check_sound(daemon, 0, max_sockets=WHOLE_MAX_FDS - 200)
    assert answered < MOST_ANSWERED


async def test_bytes_that_nobody_has_read_are_within_the_memory(site):
    """Guards against bytes that wait in the kernel, which count as the machine's memory."""
    daemon, crowd_at, _, _ = site
    await raise_descriptors(daemon)
    crowd = crowd_at()
    for _ in range(WHOLE_CROWD):
        await crowd.connect()
    await wait_for_sockets(daemon, WHOLE_CROWD)
    with frozen(daemon):
        await crowd.fill(NOT_FOUND)
        used_mb = private_memory_mb(daemon) + unread_bytes(daemon) / 1_048_576
    print(f"{used_mb:.1f} MB with what is unread")
    await check_sound(daemon, 0, max_sockets=WHOLE_MAX_FDS - 200)
    assert used_mb < MEMORY_MB


@pytest.mark.parametrize("listener", LISTENERS)
async def test_pipelined_requests_without_end_cost_little_memory(site, listener):
    """Guards against requests that are read faster than they are answered."""
    daemon, crowd_at, _, _ = site
    crowd = crowd_at(listener)
    clients = [crowd.flood_answered(NOT_FOUND) for _ in range(PIPELINED_CROWD)]
    _, most_sockets = await play(daemon, clients)
    await check_sound(daemon, most_sockets)


@pytest.mark.parametrize("listener", ["directory", "metrics"])
async def test_answers_that_nobody_reads_cost_little_memory_at_any_listener(site, listener):
    """Guards against unread answers that are bounded only where callers ask."""
    daemon, crowd_at, _, _ = site
    crowd = crowd_at(listener)
    clients = [crowd.flood_answered(OTHER_REQUESTS[listener]) for _ in range(PIPELINED_CROWD)]
    _, most_sockets = await play(daemon, clients)
    await check_sound(daemon, most_sockets)


async def test_connections_that_close_at_once_leave_an_ordinary_caller_a_place(site):
    """Guards against new connections that wait for good behind those of a crowd."""
    daemon, crowd_at, _, _ = site
    crowds = [crowd_at(listener) for listener in LISTENERS]
    async with asyncio.timeout(HANG_S):
        async with anyio.create_task_group() as tasks:
            for crowd in crowds:
                for _ in range(4):
                    tasks.start_soon(crowd.reconnect_without_end, GET + HEAD_LINES)
            await check_sound(daemon, 0)
            tasks.cancel_scope.cancel()
    assert "Traceback" not in daemon.log()
