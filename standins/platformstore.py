"""Stand-in for the metadata store of the users' platform, with configurable faults."""

import asyncio
import base64
import itertools
import json
import math
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from standins.server import Answer, Call, Drop, Server

__all__ = ["Outage", "PlatformStore"]

PAGE_LIMIT = 500
STATUS_GONE = 410
ERA_HEADER = "store-era"


class Outage(Enum):
    """How the store treats calls during an outage."""

    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def to_wire(self, key: str) -> dict[str, Any]:
        return {
            "key": key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease_id": self.lease,
        }


@dataclass
class _Lease:
    ttl_s: float
    expires_s: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class _Copy:
    items: dict[str, _Item]
    revision: int


class PlatformStore:
    """Store of keys with revisions, leases and history; tests write as the operator and leaves with put and remove."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.outage: Outage | None = None
        self.lose_answers = False
        self.delay_s = 0.0
        self.leases_lapse_in_outage = True
        self.page_items = PAGE_LIMIT
        self.calls: list[tuple[str, str]] = []
        # Reads that the caller allowed to be answered from an older state; they are among the calls too.
        self.outdated_reads = 0
        self._outdated: _Copy | None = None
        self.items: dict[str, _Item] = {}
        self.revision = 1
        # Without an era, the store does not send the header.
        self.era: int | None = None
        self._copy: _Copy | None = None
        self._first_revision = 0
        self._history: list[tuple[int, str, _Item | None]] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        """Return the address as ip:port."""
        return self.server.address

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key; a value other than bytes is encoded as JSON."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = _Item(content, self.revision, known.created if known else self.revision, lease)
        self.items[key] = item
        self._record_event(key, item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event(key, None)

    def forget_history(self) -> None:
        """Discard the history, so that watches fail and clients have to read every key again."""
        self._history.clear()
        self._first_revision = self.revision

    def take_copy(self) -> None:
        """Copy all keys and the revision."""
        self._copy = _Copy(dict(self.items), self.revision)

    def keep_outdated(self) -> None:
        """Answer reads that allow it from the present state until this is called again."""
        self._outdated = _Copy(dict(self.items), self.revision)

    def hold_leases(self) -> None:
        """Let no lease lapse that is open now, unless it is renewed."""
        for held in self._leases.values():
            held.expires_s = math.inf

    def restore_copy(self) -> None:
        """Put the copy back and end every lease; keys of the copy stay without their leases."""
        assert self._copy is not None and self.era is not None
        self.items = dict(self._copy.items)
        self.revision = self._copy.revision
        self._history = [event for event in self._history if event[0] <= self.revision]
        self._leases.clear()
        self.era += 1
        self._wake_watches()

    async def return_from_copy(self, away_s: float, outage: Outage = Outage.BUSY) -> None:
        """Be away for a time, and come back from the copy."""
        self.outage = outage
        await asyncio.sleep(away_s)
        self.restore_copy()
        self.outage = None

    def revoke_leases(self) -> None:
        """End every lease immediately."""
        for lease in list(self._leases):
            self._end_lease(lease)

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        await self.server.start(port)

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop()

    def _record_event(self, key: str, item: _Item | None) -> None:
        self._history.append((self.revision, key, item))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, call: Call) -> Answer | Drop:
        outcome = await self._answer_or_fail(call)
        if isinstance(outcome, Answer) and self.era is not None:
            outcome.headers[ERA_HEADER] = str(self.era)
        return outcome

    async def _answer_or_fail(self, call: Call) -> Answer | Drop:
        self.calls.append((call.method, call.path))
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        match self.outage:
            case Outage.BUSY:
                return Answer(503, {"error": "down"})
            case Outage.RESET:
                return Drop()
            case Outage.SILENT:
                await asyncio.sleep(3_600)
        self._expire()
        answer = await self._answer(call)
        if self.lose_answers and call.method != "GET":
            await asyncio.sleep(3_600)
        return answer

    async def _answer(self, call: Call) -> Answer:
        match call.method, call.path.split("/")[1]:
            case "GET", "kv-key":
                item = self.items.get(call.query["key"])
                return Answer(404, {}) if item is None else Answer(200, item.to_wire(call.query["key"]))
            case "GET", "kv-range":
                return self._range(call.query)
            case "GET", "kv-watch":
                return await self._watch(call.query)
            case "POST", "kv-txn":
                return self._transact(call.body)
            case "POST", "kv-lease":
                lease = next(self._lease_ids)
                ttl_s = call.body["ttl_ms"] / 1_000
                self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
                return Answer(200, {"lease_id": lease, "ttl_ms": call.body["ttl_ms"]})
            case "POST", "kv-keep":
                held = self._leases.get(int(call.path.split("/")[2]))
                if held is None:
                    return Answer(404, {})
                held.expires_s = time.monotonic() + held.ttl_s
                return Answer(200, {"ttl_ms": held.ttl_s * 1_000})
            case "DELETE", "kv-lease-end":
                self._end_lease(int(call.path.split("/")[2]))
                return Answer(200, {})
        return Answer(404, {})

    def _range(self, query: dict[str, str]) -> Answer:
        state = _Copy(self.items, self.revision)
        if query.get("stale_ok") == "1":
            self.outdated_reads += 1
            state = self._outdated or state
        keys = sorted(key for key in state.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
        page = keys[: self.page_items]
        items = [state.items[key].to_wire(key) for key in page]
        return Answer(200, {"items": items, "has_more": len(keys) > len(page), "as_of": state.revision})

    async def _watch(self, query: dict[str, str]) -> Answer:
        after, deadline_s = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            if after < self._first_revision or after > self.revision:
                return Answer(STATUS_GONE, {})
            events = [
                {"key": key, "revision": revision, "tombstone": True} if item is None else item.to_wire(key)
                for revision, key, item in self._history
                if revision > after and key.startswith(query["prefix"])
            ]
            left_s = deadline_s - time.monotonic()
            if events or left_s <= 0 or self.outage is not None:
                return Answer(200, {"events": events, "as_of": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
            self._expire()

    def _transact(self, body: dict[str, Any]) -> Answer:
        current = {row["key"]: self.items.get(row["key"]) for row in body["expect"]}
        if any(
            (item.revision if item else 0) != row["revision"]
            for row, item in zip(body["expect"], current.values(), strict=True)
        ):
            return Answer(412, {"items": [item.to_wire(key) for key, item in current.items() if item is not None]})
        for row in body["puts"]:
            if row.get("lease_id") and row["lease_id"] not in self._leases:
                return Answer(404, {})
        for row in body["puts"]:
            lease = row.get("lease_id", 0)
            self.put(row["key"], base64.b64decode(row["value"]), lease)
            if lease:
                self._leases[lease].keys.add(row["key"])
        for key in body["remove"]:
            self.remove(key)
        return Answer(200, {"revision": self.revision})

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease in [lease for lease, held in self._leases.items() if held.expires_s <= now_s]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        held = self._leases.pop(lease, None)
        if held is None:
            return
        for key in held.keys:
            if key in self.items and self.items[key].lease == lease:
                self.remove(key)
