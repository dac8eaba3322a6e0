"""Load of this host, measured by the delay with which the event loop wakes a sleeping task."""

from collections.abc import Callable

import anyio

__all__ = ["LoopLoad"]

SAMPLE_INTERVAL_S = 0.5
# Weight of the newest sample in the exponentially weighted moving average.
EWMA_WEIGHT = 0.2
# A loop delay above BUSY_DELAY_S noticeably delays requests with a short latency objective. NORMAL_DELAY_S is far
# below it, because callers would otherwise be moved back and forth between hosts.
BUSY_DELAY_S = 0.015
NORMAL_DELAY_S = 0.003
NORMAL_PERIOD_S = 10.0


class LoopLoad:
    """Load monitor that reports when the host becomes busy and when its load has been normal for NORMAL_PERIOD_S."""

    def __init__(self, on_change: Callable[[bool], None]) -> None:
        self.is_busy = False
        self.delay_s = 0.0
        self._on_change = on_change
        self._normal_since_s: float | None = None

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_s = anyio.current_time() + SAMPLE_INTERVAL_S
            await anyio.sleep_until(due_s)
            self.record_delay(max(0.0, anyio.current_time() - due_s), anyio.current_time())

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Add one sample of the loop delay."""
        self.delay_s += EWMA_WEIGHT * (delay_s - self.delay_s)
        if self.delay_s > NORMAL_DELAY_S:
            self._normal_since_s = None
        elif self._normal_since_s is None:
            self._normal_since_s = now_s
        if not self.is_busy and self.delay_s > BUSY_DELAY_S:
            self._change(True)
        elif self.is_busy and self._normal_since_s is not None and now_s - self._normal_since_s >= NORMAL_PERIOD_S:
            self._change(False)

    def _change(self, is_busy: bool) -> None:
        self.is_busy = is_busy
        self._on_change(is_busy)
