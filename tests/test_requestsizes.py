from hawthornbridge.callerlimits import CallerLimits
from hawthornbridge.requestsizes import READ_BYTES, RequestSizes
from tests.executedlines import executed_lines

LIMITS = CallerLimits(header_bytes=2 * READ_BYTES)


def test_empty_lines_are_skipped_without_a_step_for_each():
    """Guards against a read of empty lines that takes the event loop a hundred times as long as a request."""
    few, many = (b"\r\n" * count for count in (4, READ_BYTES // 2))
    steps = [
        executed_lines(lambda data=data: RequestSizes().skip_empty_lines(data, 0, LIMITS)) for data in (few, many)
    ]
    assert steps[0] == steps[1]
