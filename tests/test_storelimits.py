import random

import anyio
import pytest

from hawthornbridge.store import ABSENT, VALUE_LIMIT_BYTES, Ambiguous, Applied, Key, Missing, Unavailable, WatchTimeout
from hawthornbridge.storelimits import (
    FAILURES_TO_OPEN_CIRCUIT,
    OPEN_BACKOFF_LIMIT_S,
    Backoff,
    CircuitState,
    LimitedStore,
)
from standins.memorystore import Fault, MemoryStore

KEY = Key("k")

pytestmark = pytest.mark.anyio


def limited(calls_per_s=1_000.0):
    fake = MemoryStore()
    return LimitedStore(fake, calls_per_s, rng=random.Random(1)), fake


async def open_circuit(store, fake):
    fake.faults.unavailable = True
    for _ in range(FAILURES_TO_OPEN_CIRCUIT):
        assert isinstance(await store.get(KEY), Unavailable)
    assert store.state is CircuitState.OPEN


async def test_calls_stay_within_the_rate_limit_and_are_refused_if_they_would_wait_too_long():
    store, fake = limited(calls_per_s=20)
    outcomes = []

    async def call():
        outcomes.append(await store.get(KEY))

    started_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for _ in range(100):
            tasks.start_soon(call)
    elapsed_s = anyio.current_time() - started_s
    # 20 per second: 5 at once, 5 within the 0.25 s that a call may wait.
    assert fake.state.calls["get"] == 10
    assert elapsed_s <= 0.25
    assert sum(isinstance(outcome, Unavailable) for outcome in outcomes) == 90


async def test_an_open_circuit_refuses_at_once_and_a_trial_closes_it():
    store, fake = limited()
    await open_circuit(store, fake)
    calls = fake.state.calls.total()
    started_s = anyio.current_time()
    for _ in range(50):
        await store.get(KEY)
    assert (fake.state.calls.total(), anyio.current_time()) == (calls, started_s)
    fake.faults.unavailable = False
    await anyio.sleep(OPEN_BACKOFF_LIMIT_S)
    assert await store.get(KEY) == Missing(KEY)
    assert store.state is CircuitState.CLOSED


async def test_only_one_trial_call_reaches_a_store_that_may_have_recovered():
    store, fake = limited()
    await open_circuit(store, fake)
    await anyio.sleep(OPEN_BACKOFF_LIMIT_S)
    calls = fake.state.calls.total()
    fake.faults.delay_s = 0.1
    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(store.get, KEY)
    assert fake.state.calls.total() == calls + 1
    assert store.state is CircuitState.OPEN


async def test_a_cancelled_trial_leaves_the_circuit_open_for_another():
    """Guards against a circuit that waits forever for a trial that its caller cancelled."""
    store, fake = limited()
    await open_circuit(store, fake)
    await anyio.sleep(OPEN_BACKOFF_LIMIT_S)
    fake.faults.unavailable = False
    fake.faults.delay_s = 0.1
    with anyio.move_on_after(0.01):
        await store.get(KEY)
    assert await store.get(KEY) == Missing(KEY)
    assert store.state is CircuitState.CLOSED


async def test_a_trial_watch_does_not_delay_closing_the_circuit():
    store, fake = limited()
    await open_circuit(store, fake)
    fake.faults.unavailable = False
    await anyio.sleep(OPEN_BACKOFF_LIMIT_S)
    started_s = anyio.current_time()
    assert await store.watch(KEY, ABSENT, 30) == WatchTimeout()
    assert anyio.current_time() == started_s
    assert store.state is CircuitState.CLOSED


async def test_a_slow_store_ends_calls_at_their_limit_and_opens_the_circuit():
    """Guards against callers that wait for a slow store: the timeout is 0.5 s, then calls are refused at once."""
    store, fake = limited()
    fake.faults.answer_delay_s = 30
    started_s = anyio.current_time()
    assert isinstance(await store.compare_and_swap(KEY, b"", ABSENT), Ambiguous)
    for _ in range(FAILURES_TO_OPEN_CIRCUIT - 1):
        assert isinstance(await store.get(KEY), Unavailable)
    assert anyio.current_time() - started_s == pytest.approx(0.5 * FAILURES_TO_OPEN_CIRCUIT)
    assert store.state is CircuitState.OPEN


@pytest.mark.parametrize("fault", [Fault.LOST_BEFORE, Fault.LOST_AFTER])
async def test_a_lost_answer_stays_ambiguous(fault):
    store, fake = limited()
    fake.faults.next_calls.append(fault)
    assert isinstance(await store.compare_and_swap(KEY, b"", ABSENT), Ambiguous)
    assert store.state is CircuitState.CLOSED


async def test_a_value_over_the_limit_makes_no_call_and_does_not_open_the_circuit():
    store, fake = limited()
    for _ in range(2 * FAILURES_TO_OPEN_CIRCUIT):
        assert isinstance(await store.compare_and_swap(KEY, bytes(VALUE_LIMIT_BYTES + 1), ABSENT), Unavailable)
    assert fake.state.calls.total() == 0
    assert isinstance(await store.compare_and_swap(KEY, b"", ABSENT), Applied)


async def test_backoff_has_full_jitter_below_a_doubling_limit():
    backoff = Backoff(0.1, 1.0, random.Random(2))
    draws = [backoff.next_s() for _ in range(2_000)]
    assert all(draw <= limit for draw, limit in zip(draws, [0.1, 0.2, 0.4, 0.8, 1.0], strict=False))
    assert max(draws) <= 1.0
    assert 0.45 < sum(draws) / len(draws) < 0.55
    backoff.reset()
    assert backoff.next_s() <= 0.1
