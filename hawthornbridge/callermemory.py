"""Memory that all callers of a process may hold together."""

from typing import Protocol

__all__ = ["MIN_COUNTED_BYTES", "CallerMemory", "HoldingConnection"]

# Connections that hold less are bounded by their number alone, which keeps small requests cheap.
MIN_COUNTED_BYTES = 4_096


class HoldingConnection(Protocol):
    """Connection of a caller that holds memory."""

    def give_up_memory(self) -> bool:
        """Release what the connection holds; return False if a whole request or its answer needs it."""


class CallerMemory:
    """Bytes that all callers hold; above the limit the largest that can be released is."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._sizes: dict[HoldingConnection, int] = {}
        self._used = 0

    @property
    def used_bytes(self) -> int:
        """Return the bytes of the connections that hold more than the minimum counted."""
        return self._used

    def record(self, connection: HoldingConnection, size: int) -> None:
        """Record the bytes that a connection holds."""
        before = self._sizes.get(connection, 0)
        if size < MIN_COUNTED_BYTES:
            if before:
                self.release(connection)
            return
        self._sizes[connection] = size
        self._used += size - before
        if self._used > self.max_bytes and size > before:
            self._release_largest()

    def release(self, connection: HoldingConnection) -> None:
        """Forget a connection that holds nothing any more."""
        self._used -= self._sizes.pop(connection, 0)

    def _release_largest(self) -> None:
        # A single request is inside the limits of its connection, so it is served however little memory there is.
        for connection in sorted(self._sizes, key=self._sizes.__getitem__, reverse=True):
            if self._used <= self.max_bytes or len(self._sizes) == 1:
                return
            if connection.give_up_memory():
                self.release(connection)
