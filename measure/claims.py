"""Compare the store calls and latency of three ways to store claims: per request, grouped, and with owner hosts."""

import argparse
import random
import statistics
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import anyio
import msgspec
import trio
import trio.testing
import uuid_utils
import xxhash
from anyio.abc import TaskGroup

from hawthornbridge.claims import Claim, Claimed, ClaimLimits, Claims, ClaimState, Digest
from hawthornbridge.ids import AttemptId, HostId, IdempotencyKey, ServiceName
from hawthornbridge.store import ABSENT, Applied, Conflict, Key
from standins.memorystore import MemoryStore, StoreFaults, StoreState

HOSTS = 9
RATES_PER_S = (10, 50, 100, 300)
BUCKETS = (1, 2, 4, 8, 16)
DURATION_S = 20.0
# Round-trip time of a store call; half of it passes before the call takes effect, half afterwards.
STORE_ROUND_TRIP_S = 0.004
UPSTREAM_DELAY_S = 0.010
FORWARD_DELAY_S = 0.0005
REPEAT_SHARE = 0.05
DEADLINE_S = 1.0
PROCESSES = 4
CLOCK_START_S = 1_800_000_000.0
SERVICE = ServiceName("order-book")
RESULT = msgspec.json.encode({"entry": "01a23fd2-2dbd-70f4-b423-d07c148be4c4", "shard": "s0"})
DIGEST = Digest("0" * 32)


@dataclass
class Figures:
    """The measurements of one run."""

    state: StoreState = field(default_factory=StoreState)
    orders: int = 0
    claimed: int = 0
    refused: int = 0
    conflicts: int = 0
    delays_s: list[float] = field(default_factory=list)

    def row(self, label: str, rate: int) -> str:
        """Format the figures as a row of a Markdown table."""
        calls = self.state.calls
        reads = calls["get"] + calls["list"] + calls["watch"]
        writes = calls["compare_and_swap"]
        per_thousand = 1_000 / self.orders
        percentiles = statistics.quantiles(self.delays_s, n=100)
        largest = max((len(found.value) for found in self.state.list_prefix(Key("claims/")).values), default=0)
        cells = (
            label,
            rate,
            f"{writes * per_thousand:.0f}",
            f"{reads * per_thousand:.0f}",
            f"{self.conflicts * per_thousand:.0f}",
            f"{writes / DURATION_S:.0f}",
            f"{percentiles[49] * 1_000:.0f}",
            f"{percentiles[98] * 1_000:.0f}",
            self.refused,
            f"{largest / 1_000:.0f}",
        )
        return "| " + " | ".join(str(cell) for cell in cells) + " |"


class CountingStore(MemoryStore):
    """Store client of one host that counts its write conflicts."""

    def __init__(self, figures: Figures) -> None:
        super().__init__(
            figures.state, StoreFaults(delay_s=STORE_ROUND_TRIP_S / 2, answer_delay_s=STORE_ROUND_TRIP_S / 2)
        )
        self._figures = figures

    async def compare_and_swap(self, key, value, expected, lease=None):  # type: ignore[no-untyped-def]
        """Write and count a conflict."""
        outcome = await super().compare_and_swap(key, value, expected, lease)
        self._figures.conflicts += isinstance(outcome, Conflict)
        return outcome


Order = Callable[[int, IdempotencyKey, AttemptId], Awaitable[bool]]


def wall_clock_s() -> float:
    """Return the wall-clock time that corresponds to the virtual time."""
    return CLOCK_START_S + anyio.current_time()


def per_request(figures: Figures, tasks: TaskGroup, limits: ClaimLimits) -> Order:
    """Store the claim and the outcome of each idempotency key under its own store key."""
    stores = [CountingStore(figures) for _ in range(HOSTS)]

    async def order(host: int, key: IdempotencyKey, attempt: AttemptId) -> bool:
        claim = Claim(attempt, HostId(f"h{host}"), DIGEST, ClaimState.HELD)
        name = Key(f"claims/{SERVICE}/{key}")
        outcome = await stores[host].compare_and_swap(name, msgspec.msgpack.encode(claim), ABSENT)
        if not isinstance(outcome, Applied):
            return False
        ended = msgspec.structs.replace(claim, state=ClaimState.RAN, result=RESULT)
        tasks.start_soon(record, host, name, msgspec.msgpack.encode(ended), outcome)
        return True

    async def record(host: int, name: Key, value: bytes, claimed: Applied) -> None:
        await anyio.sleep(UPSTREAM_DELAY_S)
        await stores[host].compare_and_swap(name, value, claimed.revision)

    return order


def grouped(figures: Figures, tasks: TaskGroup, limits: ClaimLimits, owned: bool = False) -> Order:
    """Write claims in groups; if buckets are owned, one host writes each bucket and the others forward to it."""
    hosts = [
        Claims(CountingStore(figures), HostId(f"h{number}"), tasks, wall_clock_s, limits, random.Random(number))
        for number in range(HOSTS)
    ]

    async def order(host: int, key: IdempotencyKey, attempt: AttemptId) -> bool:
        if owned:
            host = xxhash.xxh64_intdigest(key.encode()) % limits.buckets % HOSTS
            await anyio.sleep(FORWARD_DELAY_S)
        claims = hosts[host]
        key_ms = uuid_utils.UUID(key).timestamp
        deadline_s = anyio.current_time() + DEADLINE_S
        outcome = await claims.claim(SERVICE, key, key_ms, attempt, DIGEST, deadline_s)
        if owned:
            await anyio.sleep(FORWARD_DELAY_S)
        if not isinstance(outcome, Claimed):
            return False
        ended = Claim(attempt, claims.host, DIGEST, ClaimState.RAN, RESULT)
        tasks.start_soon(record, claims, key, key_ms, ended)
        return True

    async def record(claims: Claims, key: IdempotencyKey, key_ms: int, ended: Claim) -> None:
        await anyio.sleep(UPSTREAM_DELAY_S)
        claims.record(SERVICE, key, key_ms, ended)

    return order


async def run(strategy: Callable[..., Order], limits: ClaimLimits, rate: int, owned: bool = False) -> Figures:
    """Send orders at random times to random hosts, and repeat a share of them immediately on another host."""
    figures = Figures()
    rng = random.Random(rate)
    async with anyio.create_task_group() as tasks:
        order = strategy(figures, tasks, limits, owned) if owned else strategy(figures, tasks, limits)

        async def place_order(host: int, key: IdempotencyKey, attempt: AttemptId, repeat: bool) -> None:
            started_s = anyio.current_time()
            claimed = await order(host, key, attempt)
            if not repeat:
                figures.delays_s.append(anyio.current_time() - started_s)
            figures.claimed += claimed

        while anyio.current_time() < DURATION_S:
            await anyio.sleep(rng.expovariate(rate))
            key = IdempotencyKey(str(uuid_utils.uuid7(nanoseconds=int(wall_clock_s() * 1e9))))
            host = rng.randrange(HOSTS)
            figures.orders += 1
            tasks.start_soon(place_order, host, key, AttemptId(f"a{figures.orders}"), False)
            if rng.random() < REPEAT_SHARE:
                other = (host + rng.randrange(1, HOSTS)) % HOSTS
                tasks.start_soon(place_order, other, key, AttemptId(f"b{figures.orders}"), True)
    figures.refused = figures.orders - figures.claimed
    return figures


def measure_case(
    label: str, strategy: Callable[..., Order], limits: ClaimLimits, rate: int, owned: bool = False
) -> str:
    """Run one case on its own virtual clock and return its table row."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    figures: Figures = trio.run(run, strategy, limits, rate, owned, clock=clock)
    return figures.row(label, rate)


def main() -> None:
    """Print the results as a Markdown table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--interval-ms", type=float, default=ClaimLimits().write_interval_s * 1_000)
    parser.add_argument("--buckets", type=int, nargs="*", default=BUCKETS)
    parser.add_argument("--rates", type=int, nargs="*", default=RATES_PER_S)
    options = parser.parse_args()
    print("| strategy | orders/s | writes | reads | conflicts | writes/s | p50 ms | p99 ms | not claimed | KB |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    cases: list[tuple[str, Callable[..., Order], ClaimLimits, int, bool]] = []
    for rate in options.rates:
        cases.append(("per request", per_request, ClaimLimits(), rate, False))
        for buckets in options.buckets:
            limits = ClaimLimits(buckets=buckets, write_interval_s=options.interval_ms / 1_000)
            cases.append((f"grouped, {buckets}", grouped, limits, rate, False))
            cases.append((f"owned, {buckets}", grouped, limits, rate, True))
    with ProcessPoolExecutor(max_workers=PROCESSES) as pool:
        for row in pool.map(measure_case, *zip(*cases, strict=True)):
            print(row, flush=True)


if __name__ == "__main__":
    main()
