"""Stand-in upstream with slots, a queue, warm-up, snapshots, versions, cancellation, deadlines and faults."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

from standins.server import Answer, Call, Drop, Server

__all__ = ["Leaf", "LeafFaults"]


@dataclass
class LeafFaults:
    """Faults of a stand-in leaf; every field may be changed while it runs."""

    straggler_share: float = 0.0
    straggler_factor: float = 10.0
    failing_share: float = 0.0
    failing_route: str | None = None
    slow_factor: float = 1.0
    slow_above_in_flight: int = 0
    drop_share: float = 0.0
    lost_answer_share: float = 0.0
    wrong_snapshot_share: float = 0.0
    draining: bool = False
    misleading_status: bool = False
    status_lag_s: float = 0.0
    shedding: bool = False
    reset_before_work: bool = False
    bad_json: bool = False
    wrong_id: bool = False
    duplicate_answers: bool = False


@dataclass
class Leaf:
    """Leaf of one shard; requests beyond its slots wait in a queue, and requests beyond the queue are shed."""

    shard: str
    version: str = "v1"
    slots: int = 2
    connections: int = 25
    connect_cost_ms: float = 0.0
    service_ms: float = 5.0
    queue_length: int = 8
    cold_capacity: int = 1
    warm_after: int = 0
    snapshots: dict[int, str] = field(default_factory=lambda: {1: "m1"})
    hits: int = 3
    faults: LeafFaults = field(default_factory=LeafFaults)
    seed: int = 0

    def __post_init__(self) -> None:
        """Create the counters and the server."""
        self.server = Server(self._handle, self.connections, self.connect_cost_ms / 1_000)
        self.incarnation = time.time_ns()
        self.in_flight = 0
        self.most_in_flight = 0
        self.most_cold_in_flight = 0
        self.served = 0
        self.cold_collapses = 0
        self.executed: dict[str, int] = {}
        self.received = 0
        self.cancels = 0
        self._last_status: tuple[float, dict[str, Any]] | None = None
        self._waiting = 0
        self._warmed = 0
        self._slots = asyncio.Semaphore(self.slots)
        self._running: dict[str, asyncio.Event] = {}
        self._random = random.Random(f"{self.seed}:{self.shard}:{self.version}")

    @property
    def cold(self) -> bool:
        """Return whether the leaf is still limited to its cold capacity."""
        return self._warmed < self.warm_after

    async def start(self, port: int = 0) -> None:
        """Listen for requests."""
        await self.server.start(port)

    async def stop(self) -> None:
        """Stop the server and reset its connections."""
        await self.server.stop()

    def turn_cold(self, warm_after: int) -> None:
        """Start a new incarnation that is cold until it has served this many requests."""
        self.incarnation = time.time_ns()
        self._warmed = 0
        self.warm_after = warm_after

    async def _handle(self, call: Call) -> Answer | Drop:
        match call.path:
            case "/v1/search":
                return await self._work(call.body)
            case "/v1/execute":
                return await self._work(call.body)
            case "/v1/cancel":
                self.cancels += 1
                event = self._running.get(call.body["request_id"])
                if event is not None:
                    event.set()
                return Answer(200, {})
            case "/v1/status":
                return Answer(200, self._lagging_status())
            case _:
                return Answer(404, {})

    def _lagging_status(self) -> dict[str, Any]:
        now = time.monotonic()
        if self._last_status is None or now - self._last_status[0] >= self.faults.status_lag_s:
            self._last_status = (now, self._status())
        return self._last_status[1]

    def _status(self) -> dict[str, Any]:
        misleading = self.faults.misleading_status
        return {
            "healthy": True,
            "draining": self.faults.draining and not misleading,
            "in_flight": 0 if misleading else self.in_flight,
            "slots": self.slots,
            "incarnation": self.incarnation,
            "version": self.version,
            "snapshots": [{"number": number, "map": map_id} for number, map_id in self.snapshots.items()],
        }

    async def _work(self, body: dict[str, Any]) -> Answer | Drop:
        self.received += 1
        if self.faults.reset_before_work:
            return Drop()
        if self.faults.shedding:
            return _refuse(503, "shed")
        if self.faults.draining:
            return _refuse(503, "draining")
        if "snapshot" in body and body["snapshot"] not in self.snapshots:
            return _refuse(409, "snapshot_gone")
        if self._waiting >= self.queue_length:
            return _refuse(503, "shed")
        if self.cold and self.in_flight >= self.cold_capacity:
            # A cold process that is loaded beyond its cold capacity crashes, so its warm-up starts again.
            self.cold_collapses += 1
            self._warmed = 0
            return _refuse(503, "shed")
        cancelled = asyncio.Event()
        self._running[body["request_id"]] = cancelled
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        if self.cold:
            self.most_cold_in_flight = max(self.most_cold_in_flight, self.in_flight)
        try:
            return await self._serve(body, cancelled)
        finally:
            self.in_flight -= 1
            self._running.pop(body["request_id"], None)

    async def _serve(self, body: dict[str, Any], cancelled: asyncio.Event) -> Answer | Drop:
        deadline = time.monotonic() + body["deadline_ms"] / 1_000
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if cancelled.is_set():
                return _refuse(499, "cancelled")
            if time.monotonic() >= deadline:
                return _refuse(504, "deadline")
            if "attempt_id" in body:
                return await self._execute(body)
            duration = self._duration_s(body["route"])
            left = max(0.0, deadline - time.monotonic())
            try:
                await asyncio.wait_for(cancelled.wait(), min(duration, left))
                return _refuse(499, "cancelled", "unknown")
            except TimeoutError:
                return self._reply(body) if duration <= left else _refuse(504, "deadline", "unknown")
        finally:
            self._slots.release()

    def _duration_s(self, route: str) -> float:
        busy = self.in_flight > self.faults.slow_above_in_flight
        factor = self.faults.slow_factor if busy and self.faults.failing_route in (None, route) else 1.0
        if self._random.random() < self.faults.straggler_share:
            factor *= self.faults.straggler_factor
        return self.service_ms * factor * self._random.uniform(0.7, 1.3) / 1_000

    async def _execute(self, body: dict[str, Any]) -> Answer | Drop:
        key = body["idempotency_key"]
        self.executed[key] = self.executed.get(key, 0) + 1
        await asyncio.sleep(self._duration_s(body["route"]))
        self._warmed += 1
        if self._random.random() < self.faults.lost_answer_share:
            return Drop()
        result = {"entry": key, "shard": self.shard}
        return Answer(200, {"request_id": body["request_id"], "result": result, "incarnation": self.incarnation})

    def _reply(self, body: dict[str, Any]) -> Answer | Drop:
        faults = self.faults
        if faults.failing_route in (None, body["route"]) and self._random.random() < faults.failing_share:
            return Answer(500, {})
        if self._random.random() < faults.drop_share:
            return Drop()
        if faults.bad_json:
            return Answer(200, b'{"request_id": ')
        snapshot = body["snapshot"]
        if self._random.random() < faults.wrong_snapshot_share:
            snapshot += 1
        self.served += 1
        self._warmed += 1
        hits = [
            {"id": f"{self.shard}-{body['snapshot']}-{rank}", "score": 1.0 / (rank + 1)} for rank in range(self.hits)
        ]
        return Answer(
            200,
            {
                "request_id": "another" if faults.wrong_id else body["request_id"],
                "shard": self.shard,
                "snapshot": snapshot,
                "hits": hits[: body["limit"]],
                "incarnation": self.incarnation,
                "version": self.version,
                "in_flight": self.in_flight,
                "slots": self.slots,
            },
            copies=2 if faults.duplicate_answers else 1,
        )


def _refuse(status: int, kind: str, execution: str = "not_run") -> Answer:
    return Answer(status, {"error": {"kind": kind, "execution": execution}})
