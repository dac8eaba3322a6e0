"""Planned stop of a host: withdraw its address from callers, wait until they have moved, and drain the listener."""

from collections.abc import Callable
from typing import Protocol

import anyio

from hawthornbridge.events import Event, emit

__all__ = ["Drainable", "Stop"]

# Added to the validity of address answers, for the network delay to the caller and the time to connect.
ADDRESS_VALIDITY_MARGIN_S = 0.1
# Time that requests in progress have left after a second signal.
SHORTENED_DRAIN_TIMEOUT_S = 1.0


class Drainable(Protocol):
    """A server that can finish or abort its requests in progress; a listener implements it."""

    async def drain(self) -> None:
        """Stop accepting connections, and return once every request in progress is answered."""

    def abort(self) -> int:
        """Abort the requests in progress and return their number."""


class Stop:
    """The planned stop of one host; a first signal starts it and a second one shortens it."""

    def __init__(self, address_valid_s: float) -> None:
        self._address_valid_s = address_valid_s
        self._stop_requested = anyio.Event()
        self._shortening_requested = anyio.Event()

    @property
    def leaving(self) -> bool:
        """Return whether the stop has started."""
        return self._stop_requested.is_set()

    def request_stop(self) -> None:
        """Start the stop, or shorten it if it has started."""
        if not self.leaving:
            self._stop_requested.set()
            emit(Event.DAEMON_STOPPING, wait_s=self._address_valid_s)
            return
        if not self._shortening_requested.is_set():
            self._shortening_requested.set()
            emit(Event.DAEMON_STOP_SHORTENED, finish_s=SHORTENED_DRAIN_TIMEOUT_S)

    async def run(self, listener: Drainable, leave: Callable[[], None] | None = None) -> int:
        """Wait for a signal, run the whole stop and return the number of requests that it aborted."""
        await self._stop_requested.wait()
        if leave is not None:
            leave()
        with anyio.move_on_after(self._address_valid_s + ADDRESS_VALIDITY_MARGIN_S):
            await self._shortening_requested.wait()
        aborted = 0
        async with anyio.create_task_group() as tasks:

            async def abort_after_timeout() -> None:
                nonlocal aborted
                await self._shortening_requested.wait()
                await anyio.sleep(SHORTENED_DRAIN_TIMEOUT_S)
                aborted = listener.abort()
                emit(Event.DAEMON_REQUESTS_CUT, requests=aborted)
                tasks.cancel_scope.cancel()

            tasks.start_soon(abort_after_timeout)
            await listener.drain()
            tasks.cancel_scope.cancel()
        return aborted
