"""Connections to one upstream: one task owns each of them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from hawthornbridge.model import Upstream
from hawthornbridge.outcomes import Execution
from hawthornbridge.subrequests import Channel, FailureKind, UpstreamFailure, UpstreamProtocol

__all__ = ["ConnectionGroup", "connection_quota"]

CONNECT_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.5

Exchange = Callable[[Channel], Awaitable[Any]]


def connection_quota(connections: int, seats: int) -> int:
    """Return how many connections one host may open, so that all seats together stay within the limit."""
    return connections // seats


@dataclass
class _Job:
    exchange: Exchange
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Any = None


class ConnectionGroup:
    """Hold this host's connections to one upstream and hand exchanges to idle ones."""

    def __init__(self, upstream: Upstream, quota: int, protocol: UpstreamProtocol) -> None:
        self._upstream = upstream
        self._quota = quota
        self._protocol = protocol
        self._send, self._receive = anyio.create_memory_object_stream[_Job](max_buffer_size=1_024)
        self._scope: anyio.CancelScope | None = None
        self.connected = 0

    def start(self, tasks: TaskGroup) -> None:
        """Start one task for each connection of the quota."""
        for _ in range(self._quota):
            tasks.start_soon(self._own_connection)

    async def run(self, exchange: Exchange) -> Any:
        """Run an exchange on the next idle connection and return its outcome."""
        if not self.connected:
            return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, f"no connection to {self._upstream.id}")
        job = _Job(exchange)
        self._send.send_nowait(job)
        await job.done.wait()
        return job.outcome

    async def _own_connection(self) -> None:
        while True:
            channel = await self._protocol.connect(self._upstream.address, CONNECT_TIMEOUT_S)
            if isinstance(channel, UpstreamFailure):
                await anyio.sleep(RECONNECT_DELAY_S)
                continue
            self.connected += 1
            try:
                await self._serve(channel)
            finally:
                self.connected -= 1
                with anyio.CancelScope(shield=True):
                    await channel.aclose()

    async def _serve(self, channel: Channel) -> None:
        while True:
            job = await self._receive.receive()
            job.outcome = await job.exchange(channel)
            job.done.set()
            if isinstance(job.outcome, UpstreamFailure):
                return
