import random
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest
import trio
import uuid_utils

from hawthornbridge.claims import (
    BUCKETS_PER_WINDOW,
    RESULT_LIMIT_BYTES,
    WINDOW_MS,
    BucketFull,
    Claim,
    Claimed,
    ClaimLimits,
    Claims,
    ClaimState,
    HeldElsewhere,
    KeyMismatch,
    Recorded,
    StoreDown,
    Unsettled,
)
from hawthornbridge.store import Ambiguous, Found, Key
from standins.memorystore import Fault, MemoryStore, StoreState

pytestmark = pytest.mark.anyio

EPOCH_S = 1_800_000_000.0
SERVICE = "order-book"


def wall_clock_s():
    return EPOCH_S + trio.current_time()


class Host:
    def __init__(self, state, name, tasks, **limits):
        self.store = MemoryStore(state)
        self.faults = self.store.faults
        self.claims = Claims(self.store, name, tasks, wall_clock_s, ClaimLimits(**limits), random.Random(name))

    async def claim(self, key, attempt, digest="d", wait_s=1.0):
        deadline_s = anyio.current_time() + wait_s
        return await self.claims.claim(SERVICE, key, ms_of(key), attempt, digest, deadline_s)

    async def repeat(self, key, attempt):
        """Claim as an execution does: wait for the holder's outcome, then look again."""
        outcome = await self.claim(key, attempt)
        if isinstance(outcome, HeldElsewhere):
            await self.claims.outcome(SERVICE, key, ms_of(key), outcome.attempt, anyio.current_time() + 1)
            outcome = await self.claim(key, attempt)
        return outcome

    def record(self, key, attempt, state, result=None):
        self.claims.record(SERVICE, key, ms_of(key), Claim(attempt, self.claims.host, "d", state, result))

    async def settled(self):
        while not self.claims.idle:
            await anyio.sleep(0.01)


@asynccontextmanager
async def hosts(count=2, **limits):
    state = StoreState()
    async with anyio.create_task_group() as tasks:
        yield [Host(state, f"h{number}", tasks, **limits) for number in range(count)]
        tasks.cancel_scope.cancel()


def new_key(number=0):
    return str(uuid_utils.uuid7(nanoseconds=int(wall_clock_s() * 1e9) + number))


def ms_of(key):
    return uuid_utils.UUID(key).timestamp


def stored(host):
    """Return every claim in the store by key."""
    claims = {}
    for found in host.store.state.list_prefix(Key("claims/")).values:
        claims |= msgspec.msgpack.decode(found.value, type=dict[str, Claim])
    return claims


async def test_one_attempt_holds_a_key_and_its_outcome_is_final():
    async with hosts() as (one, two):
        key = new_key()
        assert await one.claim(key, "a1") == Claimed()
        assert await two.claim(key, "a2") == HeldElsewhere("a1", "h0")
        assert await two.claim(key, "a2", digest="other") == KeyMismatch()
        one.record(key, "a1", ClaimState.RAN, b"1")
        await one.settled()
        two.record(key, "a2", ClaimState.RELEASED)
        one.record(key, "a1", ClaimState.UNKNOWN)
        assert await two.repeat(key, "a3") == Recorded(Claim("a1", "h0", "d", ClaimState.RAN, b"1"))


async def test_a_released_key_can_be_claimed_again():
    async with hosts() as (one, two):
        key = new_key()
        await one.claim(key, "a1")
        one.record(key, "a1", ClaimState.RELEASED)
        await one.settled()
        assert await two.claim(key, "a2") == Claimed()
        assert await one.claim(key, "a3") == HeldElsewhere("a2", "h1")


async def test_crossed_claims_have_one_winner():
    async with hosts(6) as all_hosts:
        key = new_key()
        outcomes = []

        async def claim(host):
            outcomes.append(await host.claim(key, f"by-{host.claims.host}"))

        async with anyio.create_task_group() as tasks:
            for host in all_hosts:
                tasks.start_soon(claim, host)
        assert outcomes.count(Claimed()) == 1
        assert sum(isinstance(outcome, HeldElsewhere) for outcome in outcomes) == 5


async def test_claims_gather_while_a_write_is_in_flight():
    """Guard against store calls that follow the number of requests."""
    async with hosts(1) as (host,):
        host.faults.delay_s = 0.005
        outcomes = []

        async def claim(number):
            outcomes.append(await host.claim(new_key(number), f"a{number}"))

        async with anyio.create_task_group() as tasks:
            for number in range(400):
                tasks.start_soon(claim, number)
                await anyio.sleep(0.001)
        assert outcomes == [Claimed()] * 400
        # 0.4 s at one write per 100 ms and bucket, and one read per bucket.
        assert host.store.state.calls["compare_and_swap"] <= BUCKETS_PER_WINDOW * 6
        assert host.store.state.calls["get"] <= BUCKETS_PER_WINDOW


@pytest.mark.parametrize("fault", [Fault.LOST_BEFORE, Fault.LOST_AFTER])
async def test_a_lost_answer_is_settled_by_reading_back(fault):
    async with hosts() as (one, two):
        key = new_key()
        one.faults.next_calls.extend([Fault.NONE, fault])
        assert await one.claim(key, "a1") == Claimed()
        assert await two.claim(key, "a2") == HeldElsewhere("a1", "h0")


@pytest.mark.parametrize("fault", [Fault.LOST_BEFORE, Fault.LOST_AFTER])
async def test_an_unsettled_claim_is_released_when_the_store_answers(fault):
    async with hosts() as (one, two):
        key = new_key()
        one.faults.next_calls.extend([Fault.NONE, fault, *[Fault.UNAVAILABLE] * 20])
        assert await one.claim(key, "a1", wait_s=0.05) == Unsettled()
        if fault is Fault.LOST_AFTER:
            assert await two.claim(key, "a2") == HeldElsewhere("a1", "h0")
        one.faults.next_calls.clear()
        await one.settled()
        assert stored(one)[key].state is ClaimState.RELEASED
        assert await two.repeat(key, "a3") == Claimed()


async def test_a_write_that_arrives_late_cannot_bring_a_given_up_claim_back():
    """Guard against a read that finds the claim absent while its write is still on the way."""
    async with hosts() as (one, two):
        key = new_key()
        write = one.store.compare_and_swap

        async def write_late(*arguments):
            one.store.compare_and_swap = write
            one.faults.delay_s = 5.0
            with anyio.move_on_after(0.02):
                await write(*arguments)
            one.faults.delay_s = 0.0
            return Ambiguous("scripted")

        one.store.compare_and_swap = write_late
        assert await one.claim(key, "a1", wait_s=0.02) == Unsettled()
        await one.settled()
        assert stored(one)[key].state is ClaimState.RELEASED
        assert await two.claim(key, "a2") == Claimed()
        await anyio.sleep(10)
        assert stored(one)[key].attempt == "a2"


async def test_a_caller_that_goes_away_leaves_no_claim():
    async with hosts() as (one, two):
        one.faults.delay_s = 0.01
        key = new_key()
        with anyio.move_on_after(0.015):
            await one.claim(key, "a1")
        await one.settled()
        assert await two.claim(key, "a2") == Claimed()


async def test_a_caller_cancelled_as_its_claim_is_applied_leaves_no_claim():
    async with hosts() as (one, two):
        key = new_key()
        write = one.store.compare_and_swap
        with anyio.CancelScope() as scope:

            async def write_and_cancel(*arguments):
                outcome = await write(*arguments)
                scope.cancel()
                return outcome

            one.store.compare_and_swap = write_and_cancel
            await one.claim(key, "a1")
        await one.settled()
        assert await two.claim(key, "a2") == Claimed()


async def test_an_outcome_past_the_retention_is_dropped_while_the_store_is_down():
    """Guard against changes that pile up during a long outage."""
    async with hosts(1) as (one,):
        key = new_key()
        await one.claim(key, "a1")
        one.faults.unavailable = True
        one.record(key, "a1", ClaimState.RAN, b"1")
        await anyio.sleep(one.claims.limits.window_retention_s - 1)
        assert not one.claims.idle
        await anyio.sleep(1 + 2 * WINDOW_MS / 1_000)
        assert one.claims.idle


async def test_a_store_that_is_down_refuses_claims_at_once_and_keeps_outcomes():
    async with hosts() as (one, two):
        key = new_key()
        assert await one.claim(key, "a1") == Claimed()
        one.faults.unavailable = True
        started_s = anyio.current_time()
        assert isinstance(await one.claim(new_key(1), "a2"), StoreDown)
        assert anyio.current_time() - started_s <= one.claims.limits.write_interval_s
        one.record(key, "a1", ClaimState.RAN, b"1")
        await anyio.sleep(30)
        one.faults.unavailable = False
        await one.settled()
        assert isinstance(await two.claim(key, "a3"), Recorded)


async def test_repeats_wait_for_the_outcome_with_one_watch():
    async with hosts() as (one, two):
        key = new_key()
        await one.claim(key, "a1")
        waited = []

        async def wait():
            deadline_s = anyio.current_time() + 2
            waited.append(await two.claims.outcome(SERVICE, key, ms_of(key), "a1", deadline_s))

        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(wait)
            await anyio.sleep(1)
            one.record(key, "a1", ClaimState.RAN, b"1")
        assert {claim.state for claim in waited} == {ClaimState.RAN}
        assert one.store.state.calls["watch"] <= 3
        assert await two.claims.outcome(SERVICE, new_key(9), ms_of(key), "gone", anyio.current_time() + 1) is None


async def test_a_full_bucket_refuses_claims_and_still_takes_outcomes():
    async with hosts(1, buckets=1, bucket_bytes=10_000) as (host,):
        outcomes = [await host.claim(new_key(number), f"a{number}") for number in range(10)]
        assert outcomes[0] == Claimed()
        assert outcomes[-1] == BucketFull()
        for number in range(outcomes.count(Claimed())):
            host.record(new_key(number), f"a{number}", ClaimState.RAN, b"r" * RESULT_LIMIT_BYTES)
        await host.settled()
        assert all(len(found.value) <= 10_000 for found in host.store.state.list_prefix(Key("claims/")).values)


async def test_a_result_over_the_limit_is_not_kept():
    async with hosts(1) as (host,):
        key = new_key()
        await host.claim(key, "a1")
        host.record(key, "a1", ClaimState.RAN, b"r" * (RESULT_LIMIT_BYTES + 1))
        assert await host.claim(key, "a2") == Recorded(Claim("a1", "h0", "d", ClaimState.RAN, None))


async def test_an_unreadable_bucket_refuses_its_keys():
    async with hosts(1, buckets=1) as (host,):
        key = new_key()
        name = Key(f"claims/{SERVICE}/{ms_of(key) // WINDOW_MS}/0")
        await host.store.compare_and_swap(name, b"\xc1", 0)
        assert isinstance(await host.claim(key, "a1"), StoreDown)


async def test_windows_are_deleted_only_after_every_deadline():
    async with hosts(2) as (one, two):
        key = new_key()
        await one.claim(key, "a1")
        window_retention_s = one.claims.limits.window_retention_s
        assert window_retention_s >= 600 + 60
        await anyio.sleep(window_retention_s - 1)
        assert await one.claims.sweep(SERVICE) == 0
        await anyio.sleep(1 + 2 * WINDOW_MS / 1_000)
        assert await one.claims.sweep(SERVICE) == 1
        assert await two.claims.sweep(SERVICE) == 0
        assert [key for key in one.store.state.keys if key.startswith("claims/")] == []
        # An outcome that comes too late does not bring the window back.
        one.record(key, "a1", ClaimState.RAN, b"1")
        await one.settled()
        assert [key for key in one.store.state.keys if key.startswith("claims/")] == []


async def test_a_sweep_that_fails_goes_on_where_it_stopped():
    async with hosts(1) as (host,):
        await host.claim(new_key(), "a1")
        await anyio.sleep(host.claims.limits.window_retention_s + 2 * WINDOW_MS / 1_000)
        host.faults.choose = lambda kind: Fault.UNAVAILABLE if kind == "delete" else Fault.NONE
        assert await host.claims.sweep(SERVICE) == 0
        host.faults.choose = None
        assert await host.claims.sweep(SERVICE) == 1


async def test_a_bucket_stays_readable_for_hosts_without_a_cache():
    async with hosts(2) as (one, two):
        keys = [new_key(number) for number in range(30)]
        for key in keys:
            assert await one.claim(key, f"a-{key}") == Claimed()
        assert set(stored(two)) == set(keys)
        assert all(isinstance(found, Found) for found in two.store.state.list_prefix(Key("claims/")).values)
