"""Contract of the store: the same cases against the in-memory fake and the HTTP plug-in with its stand-in."""

import time
from contextlib import asynccontextmanager

import anyio
import httpcore
import pytest
import trio
import trio.testing

from hawthornbridge import storehttp
from hawthornbridge.store import (
    ABSENT,
    VALUE_LIMIT_BYTES,
    Ambiguous,
    Applied,
    Conflict,
    Found,
    Key,
    LeaseGranted,
    LeaseLost,
    Missing,
    Unavailable,
    WatchTimeout,
)
from hawthornbridge.storehttp import HttpStore
from standins.memorystore import Fault, MemoryStore
from standins.platformleaf import ENDLESS_REPLIES
from standins.server import End, Raw, Server
from standins.store import StoreServer

KEY = Key("a/b c?&é")
OTHER = Key("a/z")
WRITES = ("compare_and_swap", "delete", "grant_lease", "renew_lease", "release_lease")
READS = ("get", "list", "watch")
# The contract does not cover time, so a machine that stalls must not turn an answer into a timeout.
CONTRACT_TIMEOUT_S = 30.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def in_memory():
    store = MemoryStore()
    yield store, store


@asynccontextmanager
async def over_http():
    server = StoreServer()
    await server.start()
    client = HttpStore(server.server.address, call_timeout_s=CONTRACT_TIMEOUT_S, connect_timeout_s=CONTRACT_TIMEOUT_S)
    try:
        yield client, server.store
    finally:
        await client.aclose()
        await server.stop()


@pytest.fixture(params=[in_memory, over_http])
def opened(request):
    """Return a context with a client and the fake behind it, whose faults are scripted."""
    return request.param


async def call(store, kind, lease):
    match kind:
        case "compare_and_swap":
            return await store.compare_and_swap(KEY, b"new", ABSENT)
        case "delete":
            return await store.delete(KEY, ABSENT)
        case "grant_lease":
            return await store.grant_lease(5)
        case "renew_lease":
            return await store.renew_lease(lease, 5)
        case "release_lease":
            return await store.release_lease(lease)
        case "watch":
            return await store.watch(KEY, ABSENT, 0.01)
        case "get":
            return await store.get(KEY)
        case "list":
            return await store.list(KEY)


@pytest.mark.anyio
async def test_values_follow_their_revisions(opened):
    async with opened() as (store, fake):
        assert await store.get(KEY) == Missing(KEY)
        first = await store.compare_and_swap(KEY, b"\x00\xff", ABSENT)
        assert isinstance(first, Applied)
        held = Found(KEY, b"\x00\xff", first.revision)
        assert await store.get(KEY) == held
        assert await store.compare_and_swap(KEY, b"x", ABSENT) == Conflict(held)
        await store.compare_and_swap(OTHER, b"", ABSENT)
        assert [found.key for found in (await store.list(Key("a/"))).values] == sorted([KEY, OTHER])
        assert isinstance(await store.delete(KEY, first.revision), Applied)
        assert await store.delete(KEY, first.revision) == Conflict(Missing(KEY))
        again = await store.compare_and_swap(KEY, b"x", ABSENT)
        assert again.revision > first.revision
        assert fake.state.calls == {"get": 2, "compare_and_swap": 4, "list": 1, "delete": 2}


@pytest.mark.anyio
async def test_a_value_over_the_limit_is_refused_without_effect(opened):
    async with opened() as (store, _):
        assert isinstance(await store.compare_and_swap(KEY, bytes(VALUE_LIMIT_BYTES + 1), ABSENT), Unavailable)
        assert await store.get(KEY) == Missing(KEY)


@pytest.mark.anyio
async def test_a_watch_sees_writes_and_deletions_and_counts_as_one_call(opened):
    async with opened() as (store, fake):
        assert await store.watch(KEY, ABSENT, 0.01) == WatchTimeout()
        seen = []

        async def watch(after):
            seen.append(await store.watch(KEY, after, 20))

        for write in (
            lambda: fake.compare_and_swap(KEY, b"1", ABSENT),
            lambda: fake.delete(KEY, seen[0].revision),
        ):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch, seen[0].revision if seen else ABSENT)
                while fake.state.calls["watch"] < len(seen) + 2:
                    await anyio.sleep(0.001)
                await write()
        assert isinstance(seen[0], Found)
        assert seen[1] == Missing(KEY)
        assert fake.state.calls["watch"] == 3


@pytest.mark.anyio
async def test_an_expired_lease_deletes_its_keys(opened):
    async with opened() as (store, fake):
        before_s = anyio.current_time()
        lease = await store.grant_lease(20)
        assert isinstance(lease, LeaseGranted)
        # The holder counts from before the request, so its lease never outlasts the store's.
        assert before_s + 20 <= lease.expires_s <= anyio.current_time() + 20
        assert isinstance(await store.compare_and_swap(KEY, b"held", ABSENT, lease.id), Applied)
        assert isinstance(await store.renew_lease(lease.id, 20), LeaseGranted)
        fake.state.expire_lease(lease.id)
        assert await store.get(KEY) == Missing(KEY)
        assert await store.renew_lease(lease.id, 20) == LeaseLost(lease.id)
        assert isinstance(await store.compare_and_swap(KEY, b"late", ABSENT, lease.id), Conflict)
        other = await store.grant_lease(20)
        assert await store.release_lease(other.id) is None
        assert await store.release_lease(other.id) == LeaseLost(other.id)


@pytest.mark.parametrize("renew", [False, True])
def test_a_lease_is_counted_from_before_the_request(renew):
    """Guards against a holder that relies on a slowly granted lease for longer than the store keeps it."""

    class SlowPool:
        async def handle_async_request(self, request):
            await anyio.sleep(3)
            return httpcore.Response(200, content=b'{"outcome": "lease", "lease": "lease-1"}')

    async def check():
        store = HttpStore("127.0.0.1:1", call_timeout_s=10)
        store._pool = SlowPool()
        sent_s = anyio.current_time()
        lease = await (store.renew_lease("lease-1", 20) if renew else store.grant_lease(20))
        assert lease == LeaseGranted("lease-1", sent_s + 20)

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.anyio
@pytest.mark.parametrize("kind", [*READS, *WRITES])
@pytest.mark.parametrize("fault", [Fault.UNAVAILABLE, Fault.LOST_BEFORE, Fault.LOST_AFTER])
async def test_a_fault_has_its_typed_outcome(opened, kind, fault):
    async with opened() as (store, fake):
        lease = (await store.grant_lease(20)).id
        fake.faults.next_calls.append(fault)
        outcome = await call(store, kind, lease)
        ambiguous = kind in WRITES and fault is not Fault.UNAVAILABLE
        assert isinstance(outcome, Ambiguous if ambiguous else Unavailable)
        took_effect = kind == "compare_and_swap" and fault is Fault.LOST_AFTER
        assert isinstance(await store.get(KEY), Found) == took_effect


@pytest.mark.anyio
async def test_the_contract_does_not_depend_on_the_speed_of_the_machine(opened):
    """Guards against a contract test that fails because the machine stalled while a connection was opened."""
    stall_s = 0.6

    async def stall():
        await anyio.lowlevel.checkpoint()
        time.sleep(stall_s)

    async with opened() as (store, _), anyio.create_task_group() as tasks:
        tasks.start_soon(stall)
        assert isinstance(await store.grant_lease(20), LeaseGranted)


@pytest.mark.anyio
@pytest.mark.parametrize("kind", [*READS, *WRITES])
async def test_a_refused_connection_is_unavailable(free_port, kind):
    store = HttpStore(f"127.0.0.1:{free_port()}")
    assert isinstance(await call(store, kind, "lease"), Unavailable)
    await store.aclose()


@pytest.mark.anyio
@pytest.mark.parametrize("kind", [*READS, *WRITES])
async def test_a_call_without_an_answer_ends_at_its_time_limit(kind):
    server = StoreServer()
    await server.start()
    server.faults.answer_delay_s = server.faults.delay_s = 30
    store = HttpStore(server.server.address, call_timeout_s=0.02)
    if kind == "watch":
        server.faults.delay_s = 0
    expected = WatchTimeout if kind == "watch" else Ambiguous if kind in WRITES else Unavailable
    assert isinstance(await call(store, kind, "lease"), expected)
    await store.aclose()
    await server.stop()


@pytest.mark.anyio
async def test_a_write_that_its_client_cancelled_may_still_take_effect():
    """Guards against a fake store that omits the hardest case for the claims: an ambiguous write that arrives late."""
    store = MemoryStore()
    store.faults.delay_s = 0.02
    with anyio.move_on_after(0.001):
        await store.compare_and_swap(KEY, b"late", ABSENT)
    store.faults.delay_s = 0
    assert await store.get(KEY) == Missing(KEY)
    assert isinstance(await store.watch(KEY, ABSENT, 20), Found)


@pytest.mark.anyio
async def test_a_lagging_watch_delivers_later(opened):
    async with opened() as (store, fake):
        fake.faults.watch_lag_s = 20
        await store.compare_and_swap(KEY, b"1", ABSENT)
        assert await store.watch(KEY, ABSENT, 0.01) == WatchTimeout()
        fake.faults.watch_lag_s = 0
        assert isinstance(await store.watch(KEY, ABSENT, 20), Found)


@pytest.mark.anyio
async def test_an_endless_answer_of_the_store_is_given_up(monkeypatch):
    """Guards against an answer whose bytes without end fill the memory of the host."""

    async def send_endlessly(call):
        return Raw(ENDLESS_REPLIES["chunked body"], End.NEVER)

    # The limit is lower, because httpcore takes seconds to read 32 MB.
    monkeypatch.setattr(storehttp, "MAX_BODY_BYTES", 1_000_000)
    server = Server(send_endlessly)
    await server.start()
    client = HttpStore(server.address, call_timeout_s=CONTRACT_TIMEOUT_S)
    try:
        read = await client.get(KEY)
        written = await client.compare_and_swap(KEY, b"1", ABSENT)
    finally:
        await client.aclose()
        await server.stop()
    assert isinstance(read, Unavailable) and "larger than" in read.detail
    assert isinstance(written, Ambiguous) and "larger than" in written.detail
