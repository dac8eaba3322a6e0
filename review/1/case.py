"""An entry below servers/ whose bytes can't be read ends every entry daemon, and ends it again after each restart."""

import asyncio
import json
import random
from collections import Counter
from pathlib import Path

from review.harness import TROUBLE, ZONES, ClosedError, Connection, new_attempt, request_head, run_case

SHARDS = ("a0", "a1", "a2")
TROUBLE_AT_S = 4.0
LENGTH_S = 16.0
# Entries of another writer: the first ones are written in both runs, the last one only with the disruption.
OTHER_WRITERS = {
    "servers/x-1": b'{"service":"a0"}',
    "servers/x-2": b'{"service":7,"address":[],"zone":"z1"}',
    "servers/x-3": b"\xff\xfe\x00",
}
UNREADABLE = b'{"note":' + b"[" * 4_000


async def case(fleet, record):
    for shard in SHARDS:
        for copy, zone in enumerate(ZONES[:2]):
            await fleet.add_leaf(f"{shard}-{copy}", shard, zone, work_s=lambda: random.uniform(0.002, 0.01))
    for copy, zone in enumerate(ZONES):
        await fleet.add_leaf(f"o-{copy}", "orders", zone, slots=3, work_s=lambda: random.uniform(0.05, 0.15))
    route = {"host": "h.example", "max_attempts": 2, "priority": 1}
    routes = [
        route | {"name": "all", "prefix": "/all/", "kind": "idempotent", "gather": list(SHARDS), "top_k": 10,
                 "min_coverage": 0.6, "timeout_ms": 2500, "target_latency_ms": 183},
        route | {"name": "order", "prefix": "/order/", "kind": "non_idempotent", "service": "orders",
                 "timeout_ms": 10000, "target_latency_ms": 639},
    ]  # fmt: skip
    services = [{"name": name, "max_conns": 26, "warmup_per_s": 0.0} for name in (*SHARDS, "orders")]
    fleet.store.put("op/config", {"version": 1, "routes": routes, "services": services})
    fleet.start_daemons(ZONES)
    await fleet.wait_ready()
    await asyncio.sleep(1.0)
    begun_s = record.now_s
    outcomes = {"before": Counter(), "after": Counter()}
    for _ in range(8):
        fleet.spawn(client(fleet, record, outcomes, begun_s))
    await asyncio.sleep(TROUBLE_AT_S)
    for key, value in OTHER_WRITERS.items():
        fleet.store.put(key, value)
        record(f"another writer puts {key}: {value[:40]!r}")
    await asyncio.sleep(1.0)
    if TROUBLE:
        fleet.store.put("servers/x-4", UNREADABLE)
        record(f"another writer puts servers/x-4: {UNREADABLE[:20]!r}... ({len(UNREADABLE)} bytes)", show=True)
    await asyncio.sleep(LENGTH_S - TROUBLE_AT_S - 1.0)
    for name, counts in outcomes.items():
        record(f"requests sent {name} the last entry: {dict(counts)}", show=True)
    ends = {daemon.name: len(daemon.own_ends) for daemon in fleet.daemons}
    record(f"ends of their own, with no impairment of any machine: {ends}", show=True)
    return [f"Fault: {ends} ends of their own"] if sum(count >= 3 for count in ends.values()) >= 2 else []


async def client(fleet, record, outcomes, begun_s):
    while True:
        await asyncio.sleep(random.uniform(0.02, 0.08))
        phase = "before" if record.now_s < begun_s + TROUBLE_AT_S + 1.0 else "after"
        try:
            named = await fleet.resolve(random.choice(fleet.daemons), random.choice(ZONES))
        except (OSError, TimeoutError, ClosedError):
            outcomes[phase]["no answer of the directory"] += 1
            continue
        if named.status != 200:
            outcomes[phase][f"directory {named.status}"] += 1
            continue
        address = random.choice(json.loads(named.body)["addrs"])
        attempt, is_order = new_attempt(), random.random() < 0.2
        try:
            connection = await Connection.open(address)
        except (OSError, TimeoutError):
            outcomes[phase]["no connection"] += 1
            continue
        try:
            if is_order:
                reply = await connection.ask(request_head("POST", "/order/x", attempt, 10_000, 5), b"order")
            else:
                reply = await connection.ask(request_head("GET", "/all/q", attempt, 2_500))
            result = str(reply.status)
        except ClosedError as error:
            result = "closed without an answer"
            record(f"{attempt} to {address}: {error}")
        finally:
            connection.close()
        outcomes[phase][result] += 1


run_case(Path(__file__).parent, case)
