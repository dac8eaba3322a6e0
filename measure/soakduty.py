"""Usage reports in the fault soak: faults of the platform's API, and the rules for the host that sends reports."""

import asyncio
import math
import random
import time
from collections.abc import Callable

from standins.platformstore import PlatformStore
from standins.usageapi import ApiFault, UsageApi

__all__ = ["DUTY_BOUNDS", "SoakDuty"]

# Short windows let several fall due in a run; the delay is that of the users' large platform.
WINDOW_S = 1.0
DELAY_S = 10.0
DUTY_BOUNDS = f"report_window_s: {WINDOW_S:.0f}, usage_delay_s: {DELAY_S:.0f}"
# The run goes on until so many windows that began after the faults are due.
DUE_WINDOWS = 2
# The platform's first holder begins with the window in which it takes the duty. Hosts that are started at the end of
# the faults take it within this time: 2 s for the start, a lease and its margin, and the delays of the last candidate.
FIRST_TAKE_S = 8.0
STATE_KEY = "duty/usage"


class SoakDuty:
    """The platform's API of one run; its faults have random numbers of their own, as listed seeds need."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"duty {seed}")
        self._api = UsageApi()
        self._first_due = 0

    async def start(self) -> None:
        """Start the stand-in of the API."""
        await self._api.start()

    async def stop(self) -> None:
        """Stop the stand-in of the API."""
        await self._api.stop()

    def settings(self) -> str:
        """Return the lines of a host's settings that give it the duty."""
        return f'cloud_api: {{address: "{self._api.address}", duties: ["usage_report"], duty_per_s: 50.0}}\n'

    async def inject(self, is_calming: Callable[[], bool]) -> None:
        """Let the API fail from time to time, until the other faults end."""
        while not is_calming():
            await asyncio.sleep(self._random.uniform(1.0, 5.0))
            self._api.fault = self._random.choice(list(ApiFault))
            await asyncio.sleep(self._random.uniform(0.2, 2.0))
            self._api.fault = None

    def settle(self, store: PlatformStore) -> None:
        """Expect a report of each window that begins from now on, or after the first take if there was none."""
        wait_s = 0.0 if STATE_KEY in store.items else FIRST_TAKE_S
        self._first_due = math.ceil((time.time() + wait_s) / WINDOW_S)

    async def wait_due(self) -> None:
        """Wait until the reports of some windows are due."""
        await asyncio.sleep((self._first_due + DUE_WINDOWS) * WINDOW_S + DELAY_S - time.time())

    def breaches(self) -> list[str]:
        """Return the broken rules, and the windows whose reports were due and not accepted in time."""
        reported_s = {each.window: each.time_s for each in reversed(self._api.received)}
        due = range(self._first_due, self._first_due + DUE_WINDOWS)
        ends_s = {window: (window + 1) * WINDOW_S for window in due}
        late = [window for window in due if reported_s.get(window, math.inf) > ends_s[window] + DELAY_S]
        return self._api.broken_rules() + [self._describe(window, reported_s.get(window)) for window in late]

    def _describe(self, window: int, reported_s: float | None) -> str:
        if reported_s is None:
            return f"window {window} was not reported; the last of {len(self._api.received)} reports was " + str(
                self._api.received[-1:]
            )
        return f"window {window} was reported {reported_s - (window + 1) * WINDOW_S:.2f} s after its end"
