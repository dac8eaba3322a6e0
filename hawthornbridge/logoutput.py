"""Log lines on standard output; writing never blocks the event loop."""

import os
from collections import deque
from typing import Any

import eliot
import msgspec

__all__ = ["NonBlockingOutput", "write_to_standard_output"]

STANDARD_OUTPUT = 1

# Beyond this many lines that a slow reader has not taken, the newest lines are dropped and counted.
MOST_WAITING_LINES = 2_000
# Fields of eliot that tell nothing here, because each line stands for itself.
OMITTED_FIELDS = ("task_uuid", "task_level")


class NonBlockingOutput:
    """Write lines to a descriptor that may not be ready."""

    def __init__(self, descriptor: int, host: str = "") -> None:
        # Name of the host in each line; it is not known before the settings have been read.
        self.host = host
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, message: dict[str, Any]) -> None:
        """Write one message, or keep it until the next one if the reader is slow."""
        if len(self._waiting) >= MOST_WAITING_LINES:
            self._dropped += 1
        else:
            fields = {name: value for name, value in message.items() if name not in OMITTED_FIELDS}
            fields["host"] = self.host
            if self._dropped:
                fields["dropped_lines"] = self._dropped
                self._dropped = 0
            self._waiting.append(msgspec.json.encode(fields, enc_hook=str) + b"\n")
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more.
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


def write_to_standard_output() -> NonBlockingOutput:
    """Send all log messages to standard output, each as one line of JSON; return the output."""
    output = NonBlockingOutput(STANDARD_OUTPUT)
    eliot.add_destinations(output.write)
    return output
