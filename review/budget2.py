"""What cases 9 and 10 share: leaves that reject a part of their requests, callers, and the check of the retry budget."""

import asyncio
import random
import time
from collections import Counter

from rig2 import BOUNDS, CALLER_LIMITS, HOST_NAME, Caller, PlatformLeaf, Rig

from standins.platformleaf import Arrival
from standins.server import Answer, Call, Drop, Raw

__all__ = ["FIRST", "OTHER", "SHED_S", "Leaf", "Traffic", "configuration", "judge", "start_leaves"]

FIRST, OTHER = "kafi81c", "timb52d"
CALLERS = 12
WAIT_S = 0.25
# srv_grey shed, as a day of the site file swapsies-qld.toml has it: 0.6 of the requests for 9 s.
SHED_S = 9.0
SHED_SHARE = 0.6


class Leaf(PlatformLeaf):
    """The project's stand-in, which rejects a share of the requests while it is in trouble."""

    shed_share = 0.0

    async def _handle(self, call: Call) -> Answer | Drop | Raw:
        if random.random() >= self.shed_share:
            return await super()._handle(call)
        attempt = call.headers.get("hawthornbridge-attempt-id", "")
        self.arrivals.append(Arrival(time.monotonic(), attempt))
        return Answer(503, b"", headers={"hawthornbridge-attempt-id": attempt, "hawthornbridge-not-executed": "1"})


def configuration(version: int, service: str) -> dict[str, object]:
    """Return a desired state whose only route goes to a service."""
    route = {
        "name": "r-s4qmv29",
        "host": HOST_NAME,
        "prefix": "/timi402/",
        "kind": "idempotent",
        "timeout_ms": 4000,
        "target_latency_ms": 639,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }
    services = [
        {
            "name": name,
            "health_path": "/health",
            "max_conns": 110,
            "protocol": "h1",
            "tls": False,
            "warmup_s": 3.0,
            "warmup_per_s": 0.0,
        }
        for name in (FIRST, OTHER)
    ]
    return {"version": version, "routes": [route], "services": services, "limits": CALLER_LIMITS}


async def start_leaves(rig: Rig) -> list[Leaf]:
    """Start the leaves of both services, and return those of the first one."""
    leaves = [Leaf(f"i-{service}-{number}", service, slots=3) for service in (FIRST, OTHER) for number in range(4)]
    rig.leaves += leaves
    for number, leaf in enumerate(leaves):
        await leaf.start()
        zone = rig.zones[number % len(rig.zones)]
        rig.store.put(f"servers/{leaf.id}", leaf.entry(zone=zone, born=int(time.time() * 1000) - 60_000))
    return leaves[:4]


def shed(rig: Rig, leaves: list[Leaf], begins: bool) -> None:
    """Let the leaves begin or end to reject requests."""
    for leaf in leaves:
        leaf.shed_share = SHED_SHARE if begins else 0.0
    text = f"begin to reject {SHED_SHARE:.0%} of what they get, for {SHED_S} s" if begins else "are sound again"
    rig.note(f"the leaves of {FIRST} {text}")


class Traffic:
    """Callers that each send a request after the answer to the one before, and when they sent them."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self.asked_s: list[float] = []
        self.statuses: Counter[int] = Counter()

    def start(self) -> None:
        """Start all callers."""
        for number in range(CALLERS):
            self._rig.spawn(self._call(number))

    async def _call(self, number: int) -> None:
        hosts = self._rig.hosts
        host = number % len(hosts)
        caller = Caller(hosts[host].front)
        while True:
            self.asked_s.append(time.monotonic())
            sent = await caller.ask("GET", f"/timi402/{number}", timeout_s=4.0)
            self.statuses[sent.status] += 1
            self._rig.note_answer(sent)
            if not sent.status:
                # The host is gone; a caller goes on with another one.
                host = (host + 1) % len(hosts)
                caller = Caller(hosts[host].front)
            await asyncio.sleep(WAIT_S)


def judge(rig: Rig, leaves: list[Leaf], traffic: Traffic) -> bool:
    """Return whether the arrivals beyond the first of each request were too many in some window."""
    seen: set[str] = set()
    extra_s = []
    for at_s, attempt in sorted((each.at_s, each.request_id) for leaf in leaves for each in leaf.arrivals):
        if attempt in seen:
            extra_s.append(at_s)
            rig.note(f"{attempt} arrives again", at_s)
        seen.add(attempt)
    window_s, ratio, slack = BOUNDS["retry_window_s"], BOUNDS["retry_budget_ratio"], BOUNDS["retry_budget_slack"]
    # The share by which the allowed number was passed, with that number and the beginning of the window.
    worst = (-slack, 0, 0.0, rig.started_s)

    def asked(from_s: float) -> int:
        return sum(from_s <= at_s < from_s + window_s for at_s in traffic.asked_s)

    for from_s in extra_s:
        extra = sum(from_s <= at_s < from_s + window_s for at_s in extra_s)
        allowed = ratio * max(asked(from_s), asked(from_s - window_s), asked(from_s - window_s / 2)) + slack
        worst = max(worst, (extra - allowed, extra, allowed, from_s))
    over, extra, allowed, from_s = worst
    rig.note(f"callers saw {dict(traffic.statuses)}")
    rig.note(
        f"in {window_s} s from {from_s - rig.started_s:.3f}: {extra} arrivals beyond the first, allowed {allowed:.1f}"
    )
    return over > 0
