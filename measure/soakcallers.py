"""Callers of the fault soak: the requests that they send, and the promises that they check."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence

import httpcore

from measure.soakhosts import SoakHost
from standins.platformleaf import RECORD_BYTES, PlatformLeaf

__all__ = ["ORDERS", "SHARD_SETS", "TOP", "Callers"]

SHARD_SETS = (("a0", "a1", "a2"), ("b0", "b1", "b2", "b3"))
TOP = 5
ORDERS = "orders"
REQUEST_INTERVAL_S = 0.02
DEADLINE_MS = 1_500
HEADER_NAMES = {"id": "Hawthornbridge-Attempt-Id", "deadline": "Hawthornbridge-Deadline-Ms"}


class Callers:
    """Callers that compare the answers of hosts with the records of the leaves."""

    def __init__(
        self,
        hosts: Sequence[SoakHost],
        leaves: Callable[[], list[PlatformLeaf]],
        report: Callable[[str, str], None],
        count: Callable[[str], None],
    ) -> None:
        self._hosts = hosts
        self._leaves = leaves
        self._report_breach = report
        self._count = count
        self._refused: set[str] = set()
        # The host that each request was sent to, and when, on the monotonic clock.
        self.sent: dict[str, tuple[SoakHost, float]] = {}
        # When a host first passed on an answer in which a leaf says that it leaves, by host and leaf.
        self.told_leaving_s: dict[tuple[int, str], float] = {}
        self._numbers = 0

    async def run(self, number: int) -> None:
        """Send requests repeatedly over persistent connections."""
        rng = random.Random(number)
        pools: dict[str, httpcore.AsyncConnectionPool] = {}
        while True:
            host = rng.choice(self._hosts)
            pool = pools.setdefault(host.ip, httpcore.AsyncConnectionPool(max_connections=4))
            self._numbers += 1
            request_id = f"{number}-{self._numbers}"
            is_order = rng.random() < 0.3
            await (self._order if is_order else self._search)(pool, host, request_id)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _ask(
        self, pool: httpcore.AsyncConnectionPool, host: SoakHost, method: str, path: str, request_id: str
    ) -> httpcore.Response | None:
        timeout = {"connect": 1.0, "read": DEADLINE_MS / 1_000 + 1.0, "write": 1.0, "pool": 3.0}
        headers = [
            ("Host", "h.example"),
            (HEADER_NAMES["id"], request_id),
            (HEADER_NAMES["deadline"], str(DEADLINE_MS)),
        ]
        self.sent[request_id] = (host, time.monotonic())
        content = b"order" if method == "POST" else None
        try:
            answer = await pool.request(
                method,
                f"http://{host.ip}:{host.ports['front']}{path}",
                headers=headers,
                content=content,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            self._count(type(error).__name__)
            return None
        self._count(str(answer.status))
        return answer

    async def _search(self, pool: httpcore.AsyncConnectionPool, host: SoakHost, request_id: str) -> None:
        answer = await self._ask(pool, host, "GET", "/all/q", request_id)
        if answer is None:
            return
        if answer.status == 404:
            self._report_breach("no route is denied", f"404 from n{host.number} for {request_id}")
        if answer.status != 200:
            return
        headers = dict(answer.headers)
        stamps = headers[b"Hawthornbridge-Part-Stamps".lower()].decode().split(", ")
        missing = int(headers[b"hawthornbridge-missing-parts"])
        included = []
        for stamp in stamps:
            leaf = next((leaf for leaf in self._leaves() if leaf.stamps.get(stamp) == request_id), None)
            if leaf is None:
                self._report_breach("coverage is true", f"{request_id}: {stamp} is no stamp of it")
                return
            included.append(leaf)
        services = [leaf.service for leaf in included]
        sets = [shards for shards in SHARD_SETS if set(services) <= set(shards)]
        if len(set(services)) != len(services) or not sets or len(services) + missing != len(sets[0]):
            self._report_breach("one version's shards", f"{request_id}: {services} and {missing} missing")
        records = [leaf.body(request_id) for leaf in included]
        flat = [body[i : i + RECORD_BYTES] for body in records for i in range(0, len(body), RECORD_BYTES)]
        if answer.content != b"".join(sorted(flat, reverse=True)[:TOP]):
            self._report_breach("the greatest records", f"{request_id} from {services}")

    async def _order(self, pool: httpcore.AsyncConnectionPool, host: SoakHost, request_id: str) -> None:
        answer = await self._ask(pool, host, "POST", "/order/x", request_id)
        if answer is None:
            return
        if answer.status in (408, 421, 429, 503):
            self._refused.add(request_id)
        if answer.status == 200:
            stamp = dict(answer.headers)[b"hawthornbridge-server-stamp"].decode()
            leaf = next((leaf for leaf in self._leaves() if leaf.stamps.get(stamp) == request_id), None)
            if leaf is not None and (b"server-leaving", b"1") in answer.headers:
                self.told_leaving_s.setdefault((host.number, leaf.id), time.monotonic())
            if leaf is None or leaf.body(request_id) != answer.content:
                self._report_breach("the whole answer to its own request", request_id)

    def check_orders(self) -> None:
        """Compare the executions of each order with the answer to its caller."""
        runs = Counter(
            run.request_id for leaf in self._leaves() if leaf.service == ORDERS for run in leaf.runs if run.request_id
        )
        for request_id, count in runs.items():
            if count > 1:
                self._report_breach("an order runs at most once", f"{request_id} ran {count} times")
            if request_id in self._refused:
                self._report_breach("a refusal that says not run is true", request_id)
