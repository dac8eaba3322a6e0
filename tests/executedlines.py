"""Count of the lines of Python that a call executes, which does not depend on the machine's speed."""

import sys


def executed_lines(function):
    """Return how many lines of the product a call executes; the collector may run others in between."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        count += event == "line" and frame.f_globals["__name__"].startswith("hawthornbridge")
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(before)
    return count
