import anyio
import eliot
import pytest

from hawthornbridge.events import Event
from hawthornbridge.supervision import BASE_RESTART_DELAY_S, MAX_RESTART_DELAY_S, STEADY_RUN_S, supervise

pytestmark = pytest.mark.anyio


class Failing:
    """Fail after each of the given times, then return."""

    def __init__(self, *lengths_s):
        self._lengths_s = list(lengths_s)
        self.starts_s = []

    async def run(self):
        self.starts_s.append(anyio.current_time())
        if not self._lengths_s:
            return
        await anyio.sleep(self._lengths_s.pop(0))
        raise LookupError("not expected")


async def test_a_failed_task_is_started_again_with_a_growing_delay():
    """Guards against one unexpected error that ends the process, and against a task that fails in a busy loop."""
    task = Failing(*[0.0] * 8)
    await supervise("a task", task.run)
    delays_s = [after - before for before, after in zip(task.starts_s, task.starts_s[1:], strict=False)]
    assert delays_s[0] == pytest.approx(BASE_RESTART_DELAY_S)
    assert delays_s == sorted(delays_s) and delays_s[-1] == pytest.approx(MAX_RESTART_DELAY_S)


async def test_a_task_that_ran_for_long_is_started_again_soon():
    task = Failing(0.0, 0.0, 0.0, STEADY_RUN_S, 0.0)
    await supervise("a task", task.run)
    assert task.starts_s[4] - task.starts_s[3] - STEADY_RUN_S == pytest.approx(BASE_RESTART_DELAY_S)


async def test_the_error_is_logged_with_its_traceback():
    """Guards against an error that is swallowed."""
    messages = []
    eliot.add_destinations(messages.append)
    await supervise("a logged task", Failing(0.0).run)
    eliot.remove_destination(messages.append)
    # A first destination also gets what was logged before.
    (message,) = [message for message in messages if message.get("task") == "a logged task"]
    assert message["event"] == Event.TASK_FAILED.value and "LookupError: not expected" in message["detail"]


async def test_a_cancelled_task_is_not_started_again():
    task = Failing(5.0)
    with anyio.move_on_after(1.0):
        await supervise("a task", task.run)
    assert len(task.starts_s) == 1
