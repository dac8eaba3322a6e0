"""Stand-in for the platform's store over HTTP, with configurable faults."""

import base64
from typing import Any

from hawthornbridge.store import (
    Ambiguous,
    Applied,
    Conflict,
    Found,
    Key,
    LeaseGranted,
    LeaseId,
    LeaseLost,
    Listed,
    Missing,
    Revision,
    Unavailable,
    WatchTimeout,
)
from standins.memorystore import MemoryStore, StoreFaults, StoreState
from standins.server import Answer, Call, Drop, Server

__all__ = ["StoreServer"]


class StoreServer:
    """HTTP server of a store state; it answers 503 while unavailable and resets the connection of a lost call."""

    def __init__(self, state: StoreState | None = None, faults: StoreFaults | None = None) -> None:
        self.store = MemoryStore(state, faults)
        self.server = Server(self._handle)

    @property
    def state(self) -> StoreState:
        """Return the keys, leases and call counts."""
        return self.store.state

    @property
    def faults(self) -> StoreFaults:
        """Return the faults, which may be changed."""
        return self.store.faults

    async def start(self, port: int = 0) -> None:
        """Listen for calls."""
        await self.server.start(port)

    async def stop(self) -> None:
        """Stop the server and reset its connections; the state is kept."""
        await self.server.stop()

    async def _handle(self, call: Call) -> Answer | Drop:
        outcome = await self._call(call)
        match outcome:
            case Unavailable():
                return Answer(503, {})
            case Ambiguous():
                return Drop()
            case _:
                return Answer(200, _body(outcome))

    async def _call(self, call: Call) -> object:
        query, body, store = call.query, call.body, self.store
        match call.path:
            case "/v1/value":
                return await store.get(Key(query["key"]))
            case "/v1/list":
                return await store.list(Key(query["prefix"]))
            case "/v1/watch":
                after, wait_s = Revision(int(query["after"])), int(query["wait_ms"]) / 1_000
                return await store.watch(Key(query["key"]), after, wait_s)
            case "/v1/compare-and-swap":
                value, lease = base64.b64decode(body["value"]), body["lease"]
                return await store.compare_and_swap(Key(body["key"]), value, Revision(body["expected"]), lease)
            case "/v1/delete":
                return await store.delete(Key(body["key"]), Revision(body["expected"]))
            case "/v1/lease/grant":
                return await store.grant_lease(body["ttl_ms"] / 1_000)
            case "/v1/lease/renew":
                return await store.renew_lease(LeaseId(body["lease"]), body["ttl_ms"] / 1_000)
            case "/v1/lease/release":
                return await store.release_lease(LeaseId(body["lease"]))
            case _:
                return Unavailable("unknown path")


def _body(outcome: object) -> dict[str, Any]:
    match outcome:
        case Found(key, value, revision):
            encoded = base64.b64encode(value).decode()
            return {"outcome": "value", "key": key, "value": encoded, "revision": revision}
        case Missing(key):
            return {"outcome": "value", "key": key}
        case Listed(values):
            return {"outcome": "listed", "values": [_body(value) for value in values]}
        case Applied(revision):
            return {"outcome": "applied", "revision": revision}
        case Conflict(current):
            return {"outcome": "conflict", "current": _body(current)}
        case WatchTimeout():
            return {"outcome": "unchanged"}
        case LeaseGranted(lease):
            return {"outcome": "lease", "lease": lease}
        case LeaseLost(lease):
            return {"outcome": "lease_lost", "lease": lease}
        case _:
            return {"outcome": "lease_released"}
