import json
import os

from hawthornbridge import logoutput
from hawthornbridge.logbudget import BURST_LINES, LINES_PER_S, LogBudget
from hawthornbridge.logoutput import NonBlockingOutput
from tests.platformfakes import ManualClock


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    content = b""
    while True:
        try:
            chunk = os.read(descriptor, 65_536)
        except BlockingIOError:
            break
        content += chunk
    return [json.loads(line) for line in content.splitlines()]


def test_each_message_is_one_line_of_json():
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer, "h1")
    output.write({"event": 1, "task_uuid": "x", "detail": "a\nb"})
    assert read_lines(reader) == [{"event": 1, "detail": "a\nb", "host": "h1"}]


def test_a_reader_that_does_not_read_blocks_nothing_and_lines_stay_whole():
    """Guards against an event loop that waits for a full pipe, and against lines cut in two."""
    reader, writer = os.pipe()
    output = NonBlockingOutput(writer, "h1")
    for number in range(logoutput.MOST_WAITING_LINES * 3):
        output.write({"event": number, "detail": "x" * 50})
    lines = read_lines(reader)
    output.write({"event": -1})
    lines += read_lines(reader)
    numbers = [line["event"] for line in lines]
    assert numbers == sorted(numbers, key=lambda number: number if number >= 0 else 10**9)
    assert len(lines) < logoutput.MOST_WAITING_LINES * 3


def test_the_number_of_lines_per_second_is_bounded():
    """Guards against logs that grow with the load."""
    clock = ManualClock()
    budget = LogBudget(clock)
    taken = 0
    for _ in range(10_000):
        clock.now_s += 0.001
        taken += budget.take()
    assert taken <= BURST_LINES + 10 * LINES_PER_S
    assert budget.skipped() == 10_000 - taken and budget.skipped() == 0
