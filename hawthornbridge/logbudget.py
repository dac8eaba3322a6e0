"""Bound on the number of log lines per second."""

from collections.abc import Callable

__all__ = ["LogBudget"]

LINES_PER_S = 50.0
BURST_LINES = 200.0


class LogBudget:
    """Allow a bounded number of lines per second and count those that were left out."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._tokens = BURST_LINES
        self._counted_s = clock()
        self._skipped = 0

    def take(self) -> bool:
        """Take one line, or count it as left out."""
        now_s = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now_s - self._counted_s) * LINES_PER_S)
        self._counted_s = now_s
        if self._tokens < 1.0:
            self._skipped += 1
            return False
        self._tokens -= 1.0
        return True

    def skipped(self) -> int:
        """Return the number of lines left out since the last call."""
        skipped, self._skipped = self._skipped, 0
        return skipped
