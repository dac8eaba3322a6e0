"""The planned stop: leave the address answers, wait, finish every request, drain."""

from collections.abc import Callable
from typing import Protocol

import anyio

from hawthornbridge.events import Event, emit

__all__ = ["Drainable", "Stop"]

# Added to the validity of address answers for the way to the caller and the time to connect.
VALIDITY_MARGIN_S = 0.1
# Time that requests in progress keep after a second signal.
SHORTENED_FINISH_S = 1.0


class Drainable(Protocol):
    """Finish what is in progress; a listener implements it."""

    async def drain(self) -> None:
        """Accept nothing more, and return once every request in progress is answered."""

    def abort(self) -> int:
        """Cut off what is in progress and return the number of requests cut."""


class Stop:
    """Run the planned stop of one host; the first signal starts it and a second one shortens it."""

    def __init__(self, address_valid_s: float) -> None:
        self._address_valid_s = address_valid_s
        self._asked = anyio.Event()
        self._hurried = anyio.Event()

    @property
    def leaving(self) -> bool:
        """Return whether the stop has begun."""
        return self._asked.is_set()

    def ask(self) -> None:
        """Begin the stop, or shorten it if it has begun."""
        if not self.leaving:
            self._asked.set()
            emit(Event.DAEMON_STOPPING, wait_s=self._address_valid_s)
            return
        if not self._hurried.is_set():
            self._hurried.set()
            emit(Event.DAEMON_STOP_SHORTENED, finish_s=SHORTENED_FINISH_S)

    async def run(self, listener: Drainable, leave: Callable[[], None] | None = None) -> int:
        """Wait for a signal, run the whole sequence and return the number of requests cut off."""
        await self._asked.wait()
        if leave is not None:
            leave()
        with anyio.move_on_after(self._address_valid_s + VALIDITY_MARGIN_S):
            await self._hurried.wait()
        cut = 0
        async with anyio.create_task_group() as tasks:

            async def shorten() -> None:
                nonlocal cut
                await self._hurried.wait()
                await anyio.sleep(SHORTENED_FINISH_S)
                cut = listener.abort()
                emit(Event.DAEMON_REQUESTS_CUT, requests=cut)
                tasks.cancel_scope.cancel()

            tasks.start_soon(shorten)
            await listener.drain()
            tasks.cancel_scope.cancel()
        return cut
