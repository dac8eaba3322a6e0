"""Background tasks whose unexpected errors are logged and do not end the process."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from hawthornbridge.events import Event, emit

__all__ = ["contain", "supervise"]

BASE_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 2.0
# A task that has run for this long is started again with the shortest delay.
STEADY_RUN_S = 10.0
# Number of the last characters of a traceback that are logged.
MAX_DETAIL_LENGTH = 2_000


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; log an error that it does not handle and start it again after a delay."""
    delay_s = BASE_RESTART_DELAY_S
    while True:
        started_s = anyio.current_time()
        if await contain(name, run):
            return
        if anyio.current_time() - started_s >= STEADY_RUN_S:
            delay_s = BASE_RESTART_DELAY_S
        await anyio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, delay_s * 2)


async def contain(name: str, run: Callable[[], Awaitable[None]]) -> bool:
    """Run a task once; log an error that it does not handle and return whether there was none."""
    try:
        await run()
    except Exception as error:
        detail = "".join(traceback.format_exception(error))
        emit(Event.TASK_FAILED, task=name, detail=detail[-MAX_DETAIL_LENGTH:])
        return False
    return True
