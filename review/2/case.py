"""A leaf's late second copy of a refusal is taken for the answer to its next request, and an order runs twice."""

import asyncio
import random
from collections import Counter
from pathlib import Path

from review.harness import (
    BOUNDS,
    PROMISES,
    TROUBLE,
    ZONES,
    ClosedError,
    Connection,
    new_attempt,
    request_head,
    run_case,
)
from review.leaf import Leaf

# The doses of sites/klmcs-search.toml: garble, how "extra late", share 0.6 of the leafs, x 0.03 of their answers, 5 s.
SPOILED_LEAVES = 1
SPOILED_SHARE = 0.03
WINDOW_S = 5.0
WINDOWS = 12
PAUSE_S = 2.0
# The remaining leaf holds 6 orders, so that it refuses one of these now and then.
ORDERS_AT_ONCE = 7
ORDERS_EVERY_S = 0.08
WORK_S = (0.005, 0.025)


async def case(fleet, record):
    leaves = [
        Leaf(f"i-{copy}", "orders", zone, record, slots=2, queue=4, work_s=lambda: random.uniform(*WORK_S))
        for copy, zone in enumerate(ZONES[:2])
    ]
    for leaf in leaves:
        await leaf.start()
        fleet.store.put(f"servers/{leaf.name}", leaf.entry())
    route = {"name": "order", "host": "h.example", "prefix": "/order/", "kind": "non_idempotent", "service": "orders"}
    route |= {"timeout_ms": 10000, "target_latency_ms": 639, "max_attempts": 2, "priority": 1}
    services = [{"name": "orders", "max_conns": 26, "warmup_per_s": 0.0}]
    fleet.store.put("op/config", {"version": 1, "routes": [route], "services": services})
    fleet.start_daemons(ZONES)
    await fleet.wait_ready()
    await asyncio.sleep(1.0)
    fleet.store.put(f"op/evacuate/{ZONES[1]}", {})
    record(f"the operator evacuates {ZONES[1]}, in which one of the two leafs runs", show=True)
    await asyncio.sleep(BOUNDS["evacuate_ms"] / 1_000)
    answers = {}
    fleet.spawn(send_orders(fleet, record, answers))
    for _ in range(WINDOWS):
        await asyncio.sleep(PAUSE_S)
        if TROUBLE:
            begin_spoiling(leaves[:SPOILED_LEAVES], record)
        await asyncio.sleep(WINDOW_S)
        for leaf in leaves:
            leaf.spoils = lambda leaf, refusal: False
    await asyncio.sleep(2.0)
    runs = Counter()
    for leaf in leaves:
        runs.update(leaf.runs)
        record(f"{leaf.name}: {leaf.answers} answers, {leaf.spoiled} of them sent a second time", show=True)
    record(f"answers to clients: {dict(Counter(answers.values()))}", show=True)
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = [attempt for attempt, status in answers.items() if status in PROMISES and runs[attempt]]
    breaches = [f"TWICE: {attempt} ran {runs[attempt]} times, answered {answers.get(attempt)}" for attempt in twice]
    return breaches + [f"REFUSED: {attempt} answered {answers[attempt]}, ran {runs[attempt]} times" for attempt in refused]


def begin_spoiling(leaves, record):
    """Spoil SPOILED_SHARE of the answers that the leafs give from now on, at random and never more."""
    for leaf in leaves:
        answers, spoiled = leaf.answers, leaf.spoiled

        def spoils(each, refusal, answers=answers, spoiled=spoiled):
            is_within = each.spoiled - spoiled + 1 <= SPOILED_SHARE * (each.answers - answers)
            return is_within and random.random() < SPOILED_SHARE

        leaf.spoils = spoils
        record(f"{leaf.name}: begins to send {SPOILED_SHARE:.0%} of its answers a second time")


async def send_orders(fleet, record, answers):
    while True:
        await asyncio.sleep(ORDERS_EVERY_S)
        for _ in range(ORDERS_AT_ONCE):
            fleet.spawn(order(fleet, record, answers))


async def order(fleet, record, answers):
    attempt = new_attempt()
    address = random.choice(fleet.daemons).address("front")
    record(f"client sends {attempt} to {address}")
    try:
        connection = await Connection.open(address)
        reply = await connection.ask(request_head("POST", "/order/x", attempt, 10_000, 5), b"order")
        connection.close()
        answers[attempt] = reply.status
        record(f"client gets {reply.status} for {attempt}")
    except (OSError, TimeoutError, ClosedError) as error:
        answers[attempt] = "no answer"
        record(f"client gets no answer for {attempt}: {error!r}")


run_case(Path(__file__).parent, case)
