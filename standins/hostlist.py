"""Stand-in for the platform's host list, whose answers can lag behind its content."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from standins.server import Answer, Call, Drop, Server

__all__ = ["HostList", "HostListFaults"]


@dataclass
class HostListFaults:
    """Faults of a host list; every field may be changed while it runs."""

    lag_s: float = 0.0
    delay_s: float = 0.0
    drops: bool = False
    status: int = 200
    malformed: bool = False


@dataclass
class HostList:
    """HTTP server that answers GET /v1/hosts."""

    faults: HostListFaults = field(default_factory=HostListFaults)

    def __post_init__(self) -> None:
        """Create the history and the server."""
        self.server = Server(self._handle)
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    async def start(self, port: int = 0) -> None:
        """Listen for requests."""
        await self.server.start(port)

    async def stop(self) -> None:
        """Stop the server and reset its connections."""
        await self.server.stop()

    def put(self, host: str, peer_address: str, caller_address: str, state: str = "live") -> None:
        """Add a host, or replace its entry."""
        line = {"id": host, "peer_address": peer_address, "caller_address": caller_address, "state": state}
        self._change([*(other for other in self._history[-1][1] if other["id"] != host), line])

    def remove(self, host: str) -> None:
        """Remove a host."""
        self._change([other for other in self._history[-1][1] if other["id"] != host])

    def _change(self, hosts: list[dict[str, Any]]) -> None:
        self._history.append((time.monotonic(), hosts))

    async def _handle(self, call: Call) -> Answer | Drop:
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.drops:
            return Drop()
        if call.path != "/v1/hosts":
            return Answer(404, {})
        shown_until = time.monotonic() - self.faults.lag_s
        hosts = next(hosts for changed, hosts in reversed(self._history) if changed <= max(0.0, shown_until))
        return Answer(self.faults.status, {"hosts": "none" if self.faults.malformed else hosts})
