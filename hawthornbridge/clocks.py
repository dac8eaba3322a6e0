"""Clocks beside the one of the event loop."""

import time

__all__ = ["boot_time_s"]


def boot_time_s() -> float:
    """Return the time in seconds since the machine was booted; it also counts time in which the machine is suspended.

    The event loop's clock stands still in a suspension, so that a copy of the store would look as recent as before.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
