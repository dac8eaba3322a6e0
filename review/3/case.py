"""A host that follows another one goes on from its old position after the other has restarted, and misses a change."""

import asyncio
import json
import random
import signal
import time
from collections import Counter
from pathlib import Path

import xxhash
from review.harness import BOUNDS, TROUBLE, ZONES, ClosedError, Connection, new_attempt, request_head, run_case
from review.leaf import Leaf

# klmcs-search: node_freeze has for_s = 3.5 on one machine of nine; node_kill hits one machine. Leafs are added
# (scale_out: share 0.3 more over 2 s), and the desired state moves a route (config_change, how route).
FREEZE_S = 3.5
SHARDS = tuple(f"desk{number}" for number in range(20))
ADDED_SHARE = 0.3
ADDED_OVER_S = 2.0
FREEZE_AFTER_S = 0.4
CHANGE_AFTER_S = 0.6
CONTACT_S = BOUNDS["contact_ms"] / 1_000
CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1_000
LENGTH_S = 25.0
PROBES_PER_S = 2.0


async def case(fleet, record):
    leaves = []

    async def add(name, service, zone):
        leaf = Leaf(name, service, zone, record, slots=4, queue=12, work_s=lambda: random.uniform(0.01, 0.05))
        await leaf.start()
        leaves.append(leaf)
        fleet.store.put(f"servers/{name}", leaf.entry())

    for shard in SHARDS:
        for copy, zone in enumerate(ZONES[:2]):
            await add(f"{shard}-{copy}", shard, zone)
    for service in ("stock", "book"):
        for copy, zone in enumerate(ZONES):
            await add(f"{service}-{copy}", service, zone)
    write_configuration(fleet, 1, "stock")
    fleet.start_daemons([zone for zone in ZONES for _ in range(2)])
    await fleet.wait_ready()
    await asyncio.sleep(6.0)
    results = []
    for daemon in fleet.daemons:
        fleet.spawn(probe(record, daemon, results))
    for number in range(30):
        fleet.spawn(client(fleet, ZONES[number % len(ZONES)], results))
    await asyncio.sleep(4.0)
    reader, follower = sorted(fleet.daemons[:2], key=lambda daemon: weight(daemon.name))
    record(f"{follower.name} follows {reader.name}", show=True)
    begun_s = record.now_s

    async def scale_out():
        count = int(len(leaves) * ADDED_SHARE)
        for number in range(count):
            shard = SHARDS[number % len(SHARDS)]
            await add(f"{shard}-more{number}", shard, ZONES[number % len(ZONES)])
            await asyncio.sleep(ADDED_OVER_S / count)

    fleet.spawn(scale_out())
    await asyncio.sleep(FREEZE_AFTER_S)
    if TROUBLE:
        follower.signal(signal.SIGSTOP)
        reader.signal(signal.SIGKILL)
        record(f"{follower.name} freezes for {FREEZE_S} s; {reader.name} is killed and starts again", show=True)
    frozen_s = record.now_s
    await asyncio.sleep(CHANGE_AFTER_S - FREEZE_AFTER_S)
    write_configuration(fleet, 2, "book")
    acked_s = record.now_s
    record("the store acknowledges version 2, which moves /order/ from stock to book", show=True)
    await asyncio.sleep(FREEZE_S - (record.now_s - frozen_s))
    if TROUBLE:
        follower.signal(signal.SIGCONT)
    in_touch_s = record.now_s + CONTACT_S
    await asyncio.sleep(LENGTH_S - (record.now_s - begun_s))
    due_s = max(acked_s + CONFIG_APPLY_S, in_touch_s)
    record(f"all machines are in touch and version 2 is due from {due_s:.3f} on", show=True)
    run_by = {attempt: leaf.service for leaf in leaves for attempt in leaf.runs}
    late = [(sent_s, name, attempt) for sent_s, name, attempt in results if sent_s > due_s]
    served = Counter((name, run_by.get(attempt, "nobody")) for _, name, attempt in late)
    record(f"orders sent later, by machine and service: {sorted(served.items())}", show=True)
    old = [(sent_s, name, attempt) for sent_s, name, attempt in late if run_by.get(attempt) == "stock"]
    if not old:
        return []
    sent_s, name, attempt = old[-1]
    return [
        f"CONFIG: {len(old)} of {len(late)} orders were run by stock, the last ({attempt}) sent to {name} at {sent_s:.3f},"
        f" {sent_s - acked_s:.1f} s after the ack"
    ]


def weight(name):
    """Return the number by which hosts of equal capacity are ranked in a zone; the first one watches the store."""
    return xxhash.xxh3_64_intdigest(f"serving/{name}".encode())


def write_configuration(fleet, version, service):
    common = {"host": "h.example", "max_attempts": 2, "priority": 1}
    routes = [
        common | {"name": "all", "prefix": "/all/", "kind": "idempotent", "gather": list(SHARDS), "top_k": 10,
                  "min_coverage": 0.89, "timeout_ms": 2500, "target_latency_ms": 183},
        common | {"name": "order", "prefix": "/order/", "kind": "non_idempotent", "service": service,
                  "timeout_ms": 10000, "target_latency_ms": 639},
    ]  # fmt: skip
    services = [{"name": name, "max_conns": 52, "warmup_per_s": 0.0} for name in (*SHARDS, "stock", "book")]
    fleet.store.put("op/config", {"version": version, "routes": routes, "services": services})


async def probe(record, daemon, results):
    """Send a few requests directly to one machine while it is ready, as PROTOCOL.md says."""
    while True:
        await asyncio.sleep(random.expovariate(PROBES_PER_S))
        await order(daemon.address("front"), daemon.name, record, results)


async def client(fleet, zone, results):
    """Look up an address and send orders there until the answer of the directory expires."""
    names = {daemon.address("front"): daemon.name for daemon in fleet.daemons}
    while True:
        addresses, until_s = [], 0.0
        for daemon in sorted(fleet.daemons, key=lambda each: (zone not in each.name, random.random()))[:3]:
            try:
                reply = await fleet.resolve(daemon, zone)
            except (OSError, TimeoutError, ClosedError):
                continue
            if reply.status == 200:
                value = json.loads(reply.body)
                addresses, until_s = value["addrs"], time.monotonic() + min(value["ttl_s"], BOUNDS["ttl_max_s"])
                break
        while addresses and time.monotonic() < until_s:
            address = random.choice(addresses)
            await order(address, names[address], fleet.record, results)
            await asyncio.sleep(random.uniform(0.5, 1.5))
        await asyncio.sleep(0.2)


async def order(address, name, record, results):
    attempt, sent_s = new_attempt(), record.now_s
    try:
        connection = await Connection.open(address)
    except (OSError, TimeoutError):
        return
    try:
        reply = await asyncio.wait_for(connection.ask(request_head("POST", "/order/x", attempt, 5_000, 5), b"order"), 6.0)
        record(f"{attempt} sent to {name} at {sent_s:.3f}: {reply.status} {reply.body.decode()}")
        results.append((sent_s, name, attempt))
    except (TimeoutError, ClosedError) as error:
        record(f"{attempt} sent to {name} at {sent_s:.3f}: {error!r}")
    finally:
        connection.close()


run_case(Path(__file__).parent, case)
