import time

import anyio
import pytest

from hawthornbridge.loopload import NORMAL_PERIOD_S, SAMPLE_INTERVAL_S, LoopLoad
from tests.platformfakes import real_sockets

anyio_backend = real_sockets()


def readings(load, delay_s, seconds, start_s=0.0):
    for number in range(int(seconds / SAMPLE_INTERVAL_S)):
        load.record_delay(delay_s, start_s + number * SAMPLE_INTERVAL_S)


def test_a_late_loop_is_busy_and_stays_so_until_it_has_been_calm_for_a_while():
    """Guards against callers that are sent back and forth between hosts."""
    changes = []
    load = LoopLoad(changes.append)
    readings(load, 0.05, 5)
    assert changes == [True]
    readings(load, 0.0, NORMAL_PERIOD_S / 2, start_s=5)
    assert changes == [True]
    readings(load, 0.0, 3 * NORMAL_PERIOD_S, start_s=5 + NORMAL_PERIOD_S / 2)
    assert changes == [True, False]


def test_one_long_pause_does_not_make_a_host_busy():
    changes = []
    load = LoopLoad(changes.append)
    load.record_delay(0.05, 0.0)
    readings(load, 0.0, 5, start_s=1)
    assert not changes


@pytest.mark.anyio
async def test_work_that_holds_the_loop_is_seen():
    load = LoopLoad(lambda _: None)
    with anyio.move_on_after(1.2 * SAMPLE_INTERVAL_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.run)
            await anyio.sleep(SAMPLE_INTERVAL_S - 0.05)
            time.sleep(0.15)
            await anyio.sleep(1)
    assert load.delay_s > 0.01
