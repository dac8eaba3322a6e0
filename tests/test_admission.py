import random
from collections import Counter

import anyio
import pytest

from hawthornbridge.admission import ConcurrencyLimit, Demand, FairShareAdmission, FifoAdmission, Ticket
from hawthornbridge.model import ClassLimits
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind

SERVICE_S = 0.02


def demand(timeout_s=0.12, name="default", caller="c1", weight=1, queue_length=64):
    limits = ClassLimits(name, weight, queue_length)
    return Demand("desk", limits, caller, anyio.current_time() + timeout_s)


async def serve(admission, asked, done, service_s=SERVICE_S):
    """Run one request as the daemon does and record its outcome."""
    outcome = await admission.enter(asked)
    if isinstance(outcome, Refusal):
        assert outcome.execution is Execution.NOT_RUN
        done.append((asked, outcome.kind))
        return
    try:
        await anyio.sleep(service_s)
        done.append((asked, "good" if anyio.current_time() <= asked.deadline_s else "late"))
    finally:
        admission.leave(outcome)


async def goodput(admission, load, duration_s=2.0):
    """Return the share of the capacity of 8 slots that is answered in time at this load."""
    rng = random.Random(5)
    done = []
    capacity = 8 / SERVICE_S
    async with anyio.create_task_group() as tasks:
        for _ in range(int(capacity * load * duration_s)):
            tasks.start_soon(serve, admission, demand(), done, SERVICE_S * rng.uniform(0.5, 1.5))
            await anyio.sleep(rng.expovariate(capacity * load))
    return sum(result == "good" for _, result in done) / (capacity * duration_s), Counter(r for _, r in done)


@pytest.mark.anyio
async def test_goodput_stays_flat_at_twice_the_capacity_where_a_fifo_collapses():
    """Guards against a queue whose wait exceeds the deadline, so that every answer is late."""
    fair, counts = await goodput(FairShareAdmission(8), 2.0)
    fifo, _ = await goodput(FifoAdmission(8), 2.0)
    assert fair > 0.9
    assert fifo < 0.3
    assert counts["late"] < 0.02 * sum(counts.values())


@pytest.mark.anyio
async def test_classes_share_by_weight_and_callers_by_turns():
    """Guards against one class or caller that starves the others."""
    admission = FairShareAdmission(4)
    done = []
    async with anyio.create_task_group() as tasks:
        for _ in range(250):
            for asked in (
                *(demand(name="batch", caller="greedy") for _ in range(4)),
                demand(name="batch", caller="modest"),
                *(demand(name="desk", weight=3) for _ in range(5)),
            ):
                tasks.start_soon(serve, admission, asked, done)
            await anyio.sleep(SERVICE_S)
    good = Counter((asked.limits.name, asked.caller) for asked, result in done if result == "good")
    batch = good["batch", "greedy"] + good["batch", "modest"]
    assert good["desk", "c1"] / batch == pytest.approx(3, rel=0.1)
    assert good["batch", "modest"] / batch > 0.4


@pytest.mark.parametrize(
    ("asked", "kind"),
    [
        ({"timeout_s": -0.001}, RefusalKind.DEADLINE),
        ({"timeout_s": 0.5, "queue_length": 1}, RefusalKind.OVERLOADED),
        ({"timeout_s": 0.015}, RefusalKind.OVERLOADED),
    ],
)
@pytest.mark.anyio
async def test_a_request_that_cannot_be_done_in_time_is_refused_at_once(asked, kind):
    """Guards against queueing requests that can only be late."""
    admission = FairShareAdmission(1)
    done = []
    async with anyio.create_task_group() as tasks:
        await serve(admission, demand(), done)
        tasks.start_soon(serve, admission, demand(1.0), done)
        await anyio.sleep(0.001)
        tasks.start_soon(serve, admission, demand(1.0), done)
        await anyio.sleep(0.001)
        before_s = anyio.current_time()
        outcome = await admission.enter(demand(**asked))
        assert (outcome.kind, outcome.execution) == (kind, Execution.NOT_RUN)
        assert anyio.current_time() == before_s


@pytest.mark.anyio
async def test_a_request_whose_deadline_passes_in_the_queue_is_never_started():
    """Guards against work for callers that have given up, when estimates are too low."""
    admission = FairShareAdmission(1)
    held = await admission.enter(demand())
    outcome = await admission.enter(demand(0.05))
    assert (outcome.kind, outcome.execution) == (RefusalKind.DEADLINE, Execution.NOT_RUN)
    admission.leave(held)
    assert admission.load == 0


@pytest.mark.anyio
async def test_an_abandoned_request_leaves_the_queue():
    """Guards against slots and queue places that leak when callers disconnect."""
    admission = FairShareAdmission(1)
    held = await admission.enter(demand())
    with anyio.move_on_after(0.01):
        await admission.enter(demand())
    assert admission.load == 1
    admission.leave(held)
    assert admission.load == 0


@pytest.mark.anyio
async def test_a_caller_with_a_full_queue_makes_room_for_another():
    """Guards against one caller that fills the queue of its class."""
    admission = FairShareAdmission(1)
    held = await admission.enter(demand(5))
    outcomes = []

    async def wait(caller):
        outcomes.append((caller, await admission.enter(demand(5, caller=caller, queue_length=3))))

    async with anyio.create_task_group() as tasks:
        for caller in ("greedy", "greedy", "greedy", "modest"):
            tasks.start_soon(wait, caller)
            await anyio.sleep(0.001)
        assert [(caller, outcome.kind) for caller, outcome in outcomes] == [("greedy", RefusalKind.OVERLOADED)]
        tasks.cancel_scope.cancel()
    admission.leave(held)


@pytest.mark.anyio
async def test_a_wrong_estimate_does_not_refuse_everything_permanently():
    """Guards against a service time, measured during a stall, that is never corrected."""
    admission = FairShareAdmission(1)
    await serve(admission, demand(), [], service_s=5.0)
    assert isinstance(await admission.enter(demand()), Ticket)


def test_the_limit_falls_once_per_round_of_sheds_and_rises_only_when_used():
    """Guards against a limit that collapses on one burst, or grows without evidence."""
    limit = ConcurrencyLimit(64)
    for _ in range(20):
        limit.observe(1.0, 0.02, overloaded=True, full=True)
    assert limit.value == 57
    limit.observe(2.0, 0.02, overloaded=False, full=False)
    assert limit.value == 57
    for _ in range(200):
        limit.observe(2.0, 0.02, overloaded=False, full=True)
    assert limit.value == 60


async def complete_answers(adapts, duration_s=1.5, shards=4, slots=4, service_s=0.01):
    """Return complete answers over capacity, at twice the capacity, of shards that shed beyond a queue of 8."""
    rng = random.Random(3)
    free = [anyio.Semaphore(slots) for _ in range(shards)]
    capacity = slots / service_s
    admission = FairShareAdmission(64)
    complete = 0

    async def ask(shard, replies):
        if shard.statistics().tasks_waiting < 8:
            async with shard:
                await anyio.sleep(service_s * rng.uniform(0.7, 1.3))
            replies.append(True)

    async def query(asked):
        nonlocal complete
        ticket = await admission.enter(asked)
        if isinstance(ticket, Refusal):
            return
        replies = []
        async with anyio.create_task_group() as tasks:
            for shard in free:
                tasks.start_soon(ask, shard, replies)
        admission.leave(ticket, overloaded=adapts and len(replies) < shards)
        complete += len(replies) == shards

    async with anyio.create_task_group() as tasks:
        for _ in range(int(capacity * 2 * duration_s)):
            tasks.start_soon(query, demand())
            await anyio.sleep(rng.expovariate(capacity * 2))
    return complete / (capacity * duration_s)


@pytest.mark.anyio
async def test_the_limit_follows_sheds_so_that_answers_stay_complete():
    """Guards against admitting more queries than the shards can answer whole."""
    assert await complete_answers(adapts=False) < 0.5
    assert await complete_answers(adapts=True) > 0.75
