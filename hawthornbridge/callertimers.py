"""Time limits of a caller's connection: on what it sends, and on reading its answers."""

import asyncio
from collections.abc import Callable

from hawthornbridge.callerlimits import CallerBounds
from hawthornbridge.callerphase import CallerPhase

__all__ = ["CallerTimers"]

UNREAD_RECHECK_S = 0.1


class CallerTimers:
    """Timers of one connection; a connection between requests is timed by uvicorn."""

    def __init__(self, transport: asyncio.Transport, bounds: CallerBounds, on_timeout: Callable[[], bool]) -> None:
        """Create the timers; on_timeout is called when a phase takes too long, and again while it returns False."""
        self._transport = transport
        self._bounds = bounds
        self._on_timeout = on_timeout
        self._loop = asyncio.get_running_loop()
        self._phase = CallerPhase.BETWEEN
        self._phase_timer: asyncio.TimerHandle | None = None
        self._reading_timer: asyncio.TimerHandle | None = None

    def watch_phase(self, phase: CallerPhase) -> None:
        """Time a phase from its beginning."""
        if phase is self._phase:
            return
        self._phase = phase
        if self._phase_timer is not None:
            self._phase_timer.cancel()
            self._phase_timer = None
        if phase is not CallerPhase.BETWEEN:
            self._phase_timer = self._loop.call_later(self.limit_s(phase), self._check_phase)

    def watch_reader(self) -> None:
        """Time the caller's reading anew; what was left of an earlier answer can't be compared with a new one."""
        self._stop_reading_timer()
        size = self._transport.get_write_buffer_size()
        if size:
            self._reading_timer = self._loop.call_later(self._bounds.limits.idle_s, self._check_reader, size)

    def stop(self) -> None:
        """Stop all timers for good."""
        self.watch_phase(CallerPhase.BETWEEN)
        self._stop_reading_timer()
        # The connection refers to its timers. With a reference back, its memory would be freed only by a full garbage
        # collection.
        self._on_timeout = _ignore_timeout

    def limit_s(self, phase: CallerPhase) -> float:
        """Return how long a phase may take."""
        limits = self._bounds.limits
        by_phase = {CallerPhase.HEAD: limits.header_s, CallerPhase.BODY: limits.body_s}
        return by_phase.get(phase, limits.opening_s)

    def _stop_reading_timer(self) -> None:
        if self._reading_timer is not None:
            self._reading_timer.cancel()
            self._reading_timer = None

    def _check_phase(self) -> None:
        if self._transport.is_closing():
            return
        if not self._on_timeout():
            self._phase_timer = self._loop.call_later(UNREAD_RECHECK_S, self._check_phase)

    def _check_reader(self, size_before: int) -> None:
        """Close a connection whose caller has read nothing of its answer for as long as it may be idle."""
        if self._transport.get_write_buffer_size() >= size_before:
            self._transport.abort()
        else:
            self.watch_reader()


def _ignore_timeout() -> bool:
    """Do nothing for a connection that is closed."""
    return True
