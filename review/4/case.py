"""After an outage of the store, directories name a machine that is gone for longer than the rule allows."""

import asyncio
import json
import random
import signal
from pathlib import Path

from review.harness import BOUNDS, TROUBLE, ZONES, ClosedError, run_case
from review.leaf import Leaf

# klmcs-search has platform_down with for_s = 4.5 and 5.0; "silent" is one of its variants.
OUTAGE_S = 4.5
CLIENTS = 66
CONTACT_S = BOUNDS["contact_ms"] / 1_000
ALLOWED_S = CONTACT_S + 3.0
ALLOWED_ANSWERS = 3


async def case(fleet, record):
    for copy, zone in enumerate(ZONES):
        leaf = Leaf(f"i-{copy}", "orders", zone, record)
        await leaf.start()
        fleet.store.put(f"servers/{leaf.name}", leaf.entry())
    route = {"name": "order", "host": "h.example", "prefix": "/order/", "kind": "non_idempotent", "service": "orders"}
    route |= {"timeout_ms": 10000, "target_latency_ms": 639, "max_attempts": 2, "priority": 1}
    services = [{"name": "orders", "max_conns": 110, "warmup_per_s": 0.0}]
    fleet.store.put("op/config", {"version": 1, "routes": [route], "services": services})
    fleet.start_daemons(["z1", "z1", "z1", "z1", "z2", "z2", "z2", "z3", "z3"])
    await fleet.wait_ready()
    await asyncio.sleep(3.0)
    answers = []
    for number in range(CLIENTS):
        fleet.spawn(client(fleet, record, answers, ZONES[number % len(ZONES)]))
    await asyncio.sleep(random.uniform(5.0, 8.0))
    if TROUBLE:
        fleet.store.go_down()
        record("the store is down: it answers nothing, and leases pause", show=True)
    named = answers[-1][2]
    gone = random.choice([daemon for daemon in fleet.daemons if daemon.address("front") in named])
    await asyncio.sleep(0.2)
    gone.removed = True
    gone.signal(signal.SIGKILL)
    gone_s = record.now_s
    record(f"{gone.name} ({gone.address('front')}) is removed for good", show=True)
    await asyncio.sleep(OUTAGE_S - 0.2)
    stable_s = 0.0
    if TROUBLE:
        fleet.store.come_back()
        stable_s = record.now_s + CONTACT_S
        record("the store is back", show=True)
    await asyncio.sleep(12.0)
    named = [
        f"{asked.name} at {at_s:.3f}, {at_s - gone_s:.1f} s after its end"
        for at_s, asked, addresses in answers
        if at_s > stable_s and at_s > gone_s + ALLOWED_S and gone.address("front") in addresses and len(addresses) > 1
    ]
    for line in named:
        record(f"{gone.name} is named by {line}")
    last = max((at_s for at_s, _, addresses in answers if gone.address("front") in addresses), default=0.0)
    record(f"{len(answers)} answers of the directory; the last that names it came {last - gone_s:.1f} s after its end", show=True)
    if len(named) <= ALLOWED_ANSWERS:
        return []
    return [f"DRAIN: {len(named)} answers of machines in touch name {gone.name}, the last by {named[-1]}"]


async def client(fleet, record, answers, zone):
    """Look up the address as PROTOCOL.md says: up to three nodes, nearest first, and again when the answer expires."""
    while True:
        nearest = sorted(fleet.daemons, key=lambda daemon: (zone not in daemon.name, random.random()))
        ttl_s = 1.0
        for daemon in nearest[:3]:
            sent_s = record.now_s
            try:
                reply = await fleet.resolve(daemon, zone)
            except (OSError, TimeoutError, ClosedError):
                continue
            if reply.status != 200:
                continue
            value = json.loads(reply.body)
            answers.append((sent_s, daemon, value["addrs"]))
            record(f"{daemon.name}: names {', '.join(value['addrs'])} for {value['ttl_s']} s")
            ttl_s = min(value["ttl_s"], BOUNDS["ttl_max_s"])
            break
        await asyncio.sleep(random.uniform(0.8, 1.2) * ttl_s)


run_case(Path(__file__).parent, case)
