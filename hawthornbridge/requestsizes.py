"""Sizes of the request that a caller's connection receives, and the limits on them."""

from hawthornbridge.callerlimits import CallerLimits
from hawthornbridge.callermemory import MIN_COUNTED_BYTES
from hawthornbridge.callerrefusals import CallerRefusal, CallerRefusedError
from hawthornbridge.requestheads import RequestHead, large_body, large_head

__all__ = ["FIRST_READ_BYTES", "READ_BYTES", "RequestSizes"]

# Bytes read at once; they wait unparsed while a request ahead of them is answered.
READ_BYTES = 32_768
# Most requests fit into one read of this size. Lines of heads and chunks take far more time for their bytes than a
# body does, so that more is read at once only of a body without many of them.
FIRST_READ_BYTES = 4_096
BODY_BYTES_PER_FRAMING_BYTE = 8
# Memory of a header's objects beside its bytes.
HEADER_OBJECT_BYTES = 160
# The lines of a head have more bytes than their names and values, which the limit is on; empty lines come on top.
HEAD_SLACK_BYTES = 512
# A chunk of one byte has five more in its lines; a caller may send all its body in such chunks.
FRAMING_BYTES_PER_BODY_BYTE = 8
END_OF_HEAD = b"\r\n\r\n"
EMPTY_LINE_BYTES = b"\r\n"


class RequestSizes:
    """Bytes of the request in progress; each method raises CallerRefusedError above a limit."""

    def __init__(self) -> None:
        # The last bytes parsed, in which the end of a head may begin.
        self._tail = b""
        self._head_bytes = 0
        self._body_bytes = 0
        # What of the body is not received yet, if that is known.
        self._body_left: int | None = None
        # Bytes that are neither head nor body, in all and since the latest byte of the body.
        self._framing_bytes = 0
        self._gap_bytes = 0
        self._trailer_bytes = 0
        self._half_empty_line = False

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the body received so far."""
        return self._body_bytes

    @property
    def has_framing(self) -> bool:
        """Return whether bytes outside of heads and bodies have been received since the latest of these."""
        return self._framing_bytes > 0

    @property
    def request_bytes(self) -> int:
        """Return the memory of a request whose head is complete."""
        return self._head_bytes + self._body_bytes

    @property
    def is_counted(self) -> bool:
        """Return whether a request whose head is complete is large enough to be counted."""
        return self.request_bytes >= MIN_COUNTED_BYTES

    def partial_head_bytes(self, headers: int) -> int:
        """Return the memory of a head of which this many headers have been received."""
        return self._framing_bytes + headers * HEADER_OBJECT_BYTES

    def begin_body(self, head: RequestHead, headers: int) -> None:
        """Record a complete head with a number of headers."""
        self._head_bytes = head.size + headers * HEADER_OBJECT_BYTES
        self._body_left = head.body_bytes
        self._body_bytes = self._trailer_bytes = 0

    def add_body(self, size: int, limits: CallerLimits) -> None:
        """Count a part of the body."""
        self._body_bytes += size
        if self._body_left is not None:
            self._body_left -= size
        if self._body_bytes > limits.body_bytes:
            raise CallerRefusedError(large_body(limits))

    def add_trailer(self, name: bytes, value: bytes, limits: CallerLimits) -> None:
        """Count a header behind a body."""
        self._trailer_bytes += len(name) + len(value) + 4
        if self._trailer_bytes > limits.header_bytes:
            raise CallerRefusedError(large_head(limits))

    def is_empty_line(self, byte: int) -> bool:
        """Return whether a byte between two requests belongs to an empty line."""
        return self._half_empty_line or byte in EMPTY_LINE_BYTES

    def skip_empty_lines(self, data: bytes, position: int, limits: CallerLimits) -> int:
        """Return the position behind the empty lines."""
        end = len(data) - len(data[position:].lstrip(EMPTY_LINE_BYTES))
        self._framing_bytes += end - position
        if self._framing_bytes > limits.header_bytes:
            raise CallerRefusedError(large_head(limits))
        lines = (b"\r" if self._half_empty_line else b"") + data[position:end]
        whole, self._half_empty_line = len(lines) // 2, len(lines) % 2 == 1
        expected = b"\r\n" * whole + (b"\r" if self._half_empty_line else b"")
        if lines != expected or (self._half_empty_line and end < len(data)):
            raise CallerRefusedError(CallerRefusal(400, "an empty line does not end with CR and LF", "head"))
        return end

    def end_of_step(self, data: bytes, position: int, in_body: bool) -> int:
        """Return the position up to which at most one head or one body ends in data."""
        last = min(len(data), position + READ_BYTES)
        if in_body and self._body_left is not None:
            return min(last, position + self._body_left)
        if self._tail:
            overlap = self._tail + data[position : position + len(END_OF_HEAD) - 1]
            found = overlap.find(END_OF_HEAD)
            if found >= 0:
                return position + found + len(END_OF_HEAD) - len(self._tail)
        found = data.find(END_OF_HEAD, position, last)
        return last if found < 0 else found + len(END_OF_HEAD)

    def next_read_bytes(self, in_body: bool) -> int:
        """Return how many bytes to read at once next."""
        if not in_body:
            return FIRST_READ_BYTES
        if self._body_left is None and self._body_bytes <= BODY_BYTES_PER_FRAMING_BYTE * self._framing_bytes:
            return FIRST_READ_BYTES
        return READ_BYTES

    def begin_part(self, part: bytes, in_head: bool, limits: CallerLimits) -> None:
        """Count a step with which a head has begun, or a head or a body has ended."""
        self._framing_bytes = self._gap_bytes = len(part) if in_head else 0
        self._tail = part[-3:] if in_head else b""
        if in_head:
            self._check_head(limits)

    def continue_part(self, part: bytes, received: int, in_head: bool, limits: CallerLimits) -> None:
        """Count a step inside a head or a body, of which `received` bytes belong to the body."""
        self._framing_bytes += len(part) - received
        # Where in the part the latest byte of the body was is not known.
        self._gap_bytes = len(part) - received if received else self._gap_bytes + len(part)
        self._tail = (self._tail + part[-3:])[-3:]
        if in_head:
            self._check_head(limits)
        else:
            self._check_chunk_lines(limits)

    def _check_head(self, limits: CallerLimits) -> None:
        if self._framing_bytes > _largest_head(limits):
            raise CallerRefusedError(large_head(limits))

    def _check_chunk_lines(self, limits: CallerLimits) -> None:
        framing = limits.header_bytes + FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        largest_head = _largest_head(limits)
        if self._framing_bytes > framing + largest_head or self._gap_bytes > largest_head + READ_BYTES:
            detail = "the lines between the chunks of the body are too long"
            raise CallerRefusedError(CallerRefusal(400, detail, "body"))


def _largest_head(limits: CallerLimits) -> int:
    return 2 * limits.header_bytes + HEAD_SLACK_BYTES
