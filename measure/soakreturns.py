"""Returns of the soak's store from an older copy, with random numbers of their own."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from standins.platformstore import Outage, PlatformStore

__all__ = ["RETURN", "StoreReturns"]

# The end of the history lines on a return.
RETURN = "_store_return"

COPY_AGE_S = (0.3, 3.0)
AWAY_S = (0.2, 1.0)
PAUSE_S = (3.0, 8.0)
# The operator and the leaves write again within this time.
WRITE_AGAIN_S = (0.0, 1.5)


class StoreReturns:
    """Let the store come back from a copy at random times, and let the operator and the leaves write again."""

    def __init__(self, seed: int, store: PlatformStore, write_again: Callable[[], None]) -> None:
        # Other faults draw from a source of their own, so that a listed seed goes on playing them.
        self._random = random.Random(f"returns {seed}")
        self._store = store
        self._write_again = write_again
        # The rollout orders that the operator has written and not withdrawn, by service.
        self.orders: dict[str, dict[str, object]] = {}

    def write_orders(self, services: Sequence[str]) -> None:
        """Write the operator's orders again, and withdraw those of other services again."""
        for service in services:
            if service in self.orders:
                self._store.put(f"op/rollout/{service}", self.orders[service])
            else:
                self._store.remove(f"op/rollout/{service}")

    async def run(self, end_s: float, started_s: float, history: list[str]) -> None:
        """Play returns until a time after the start, and note each in the history."""
        rng = self._random
        await asyncio.sleep(rng.uniform(*PAUSE_S) / 2)
        while time.monotonic() < started_s + end_s:
            history.append(f"{time.monotonic() - started_s:.2f} copy for {RETURN}")
            self._store.take_copy()
            await asyncio.sleep(rng.uniform(*COPY_AGE_S))
            await self._store.return_from_copy(rng.uniform(*AWAY_S), rng.choice(list(Outage)))
            await asyncio.sleep(rng.uniform(*WRITE_AGAIN_S))
            self._write_again()
            history.append(f"{time.monotonic() - started_s:.2f} written again after {RETURN}")
            await asyncio.sleep(rng.uniform(*PAUSE_S))
