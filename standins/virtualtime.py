"""Event loop of asyncio whose time jumps to the next timer, and leaves without a network."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

from hawthornbridge.headernames import HeaderNames
from hawthornbridge.httpconnection import Reply
from hawthornbridge.leafclient import Exchange, ExchangeStatus
from hawthornbridge.leaves import InFlightRequest, Leaf

__all__ = ["VirtualLeaf", "VirtualLeafClient", "VirtualTimeLoop"]

QUEUED_REQUESTS = 2
LINK_S = 0.001


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that never sleeps; its time jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1_000.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def _run_once(self) -> None:
        # Both are attributes of asyncio's own base class.
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            self._now_s = max(self._now_s, self._scheduled[0].when())  # type: ignore[attr-defined]
        super()._run_once()  # type: ignore[misc]


class VirtualLeaf:
    """A leaf that runs as many requests as it has slots, queues a few and refuses the others."""

    def __init__(self, slots: int, work_s: Callable[[str], float]) -> None:
        self.is_up = True
        self.refused = 0
        self.started: list[str] = []
        self._slots = slots
        self._work_s = work_s
        self._running = 0
        self._queue: deque[tuple[Exchange, Callable[[bool], None]]] = deque()

    @property
    def free_slots(self) -> int:
        """Return the number of slots that run nothing."""
        return self._slots - self._running if self.is_up else 0

    def ask(self, exchange: Exchange, done: Callable[[bool], None]) -> None:
        """Run a request, now or from the queue, or refuse it; done gets whether it ran."""
        if not self.is_up or (self._running >= self._slots and len(self._queue) >= QUEUED_REQUESTS):
            self.refused += 1
            done(False)
        elif self._running < self._slots:
            self._run(exchange, done)
        else:
            self._queue.append((exchange, done))

    def _run(self, exchange: Exchange, done: Callable[[bool], None]) -> None:
        self._running += 1
        self.started.append(exchange.route)

        def end() -> None:
            self._running -= 1
            while self._queue:
                queued, queued_done = self._queue.popleft()
                if not queued.abandoned:
                    self._run(queued, queued_done)
                    break
                queued_done(False)
            done(True)

        asyncio.get_running_loop().call_later(self._work_s(exchange.route) * random.uniform(0.7, 1.3), end)


class VirtualLeafClient:
    """Stand for LeafClient; requests reach virtual leaves after the time of the link."""

    def __init__(self, names: HeaderNames, leaves: dict[str, VirtualLeaf], body: bytes = b"") -> None:
        self._names = names
        self._leaves = leaves
        self._body = body

    def start(self, exchange: Exchange) -> None:
        """Send a request."""
        loop = asyncio.get_running_loop()
        leaf = exchange.leaf
        leaf.in_flight[exchange] = InFlightRequest(exchange.started_s, exchange.median_latency_s)
        exchange.sent, exchange.sent_s = True, loop.time()

        def done(ran: bool) -> None:
            loop.call_later(LINK_S, self._finish, exchange, leaf, ran)

        loop.call_later(LINK_S, self._leaves[leaf.entry.id].ask, exchange, done)

    def abandon(self, exchange: Exchange) -> None:
        """Stop reporting an exchange."""
        exchange.abandoned = True

    def cancel(self, exchange: Exchange) -> None:
        """Abandon an exchange."""
        exchange.abandoned = True

    def _finish(self, exchange: Exchange, leaf: Leaf, ran: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        leaf.in_flight.pop(exchange, None)
        exchange.ended_s = now_s
        exchange.status = ExchangeStatus.SUCCESS if ran else ExchangeStatus.REFUSED
        status, headers = (200, [(self._names.stamp, b"1")]) if ran else (503, [(self._names.not_run, b"1")])
        if ran:
            leaf.record_success((now_s - exchange.started_s) / exchange.median_latency_s, now_s)
        else:
            leaf.record_failure(now_s)
        if not exchange.abandoned:
            exchange.on_done(exchange, Reply(status, headers, self._body))
