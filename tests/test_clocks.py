import time

from hawthornbridge.clocks import boot_time_s


def test_time_in_suspension_is_counted():
    """Guards against the clock of the event loop, which stands still while the machine is suspended."""
    before_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before_s <= boot_time_s() <= time.clock_gettime(time.CLOCK_BOOTTIME)
