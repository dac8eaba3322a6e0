"""Limits on the size of a reply, and on the memory of all replies that a host is receiving."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["REPLY_LIMITS", "STORE_REPLY_LIMITS", "ReplyLimits", "ReplyMemory"]

# A reply that takes less than this is not counted, which keeps small replies cheap.
MIN_COUNTED_BYTES = 65_536
# The smallest hosts have 200 MB, of which a process without such replies uses about 50 MB.
MAX_BYTES_IN_PROGRESS = 33_554_432


@dataclass(frozen=True, slots=True)
class ReplyLimits:
    """Limits of one reply in bytes; head_bytes also covers interim responses, blank lines and trailers."""

    head_bytes: int
    body_bytes: int


REPLY_LIMITS = ReplyLimits(head_bytes=65_536, body_bytes=8_388_608)
# A page of the store holds 1 MB or one value, whose text is a third longer; the changes of a watch and the copy of
# another host have no stated limit.
STORE_REPLY_LIMITS = ReplyLimits(head_bytes=65_536, body_bytes=33_554_432)


class Receiver(Protocol):
    """Connection that receives a reply and can give it up."""

    def fail_oversized(self, detail: str) -> None:
        """Give up the reply in progress and close the connection."""


class ReplyMemory:
    """Bytes of the large replies in progress; above the limit the largest one fails.

    A limit for each reply alone would have to be so low that hundreds of endless replies at once fit into memory.
    """

    def __init__(self, max_bytes: int = MAX_BYTES_IN_PROGRESS) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[Receiver, int] = {}

    @property
    def used_bytes(self) -> int:
        """Return the bytes of the large replies in progress."""
        return sum(self._sizes.values())

    def record(self, receiver: Receiver, size: int) -> None:
        """Record the size in bytes that a reply has reached."""
        if size < MIN_COUNTED_BYTES:
            return
        self._sizes[receiver] = size
        if self.used_bytes > self._max_bytes:
            largest = max(self._sizes, key=lambda each: self._sizes[each])
            del self._sizes[largest]
            largest.fail_oversized(f"the replies in progress need more than {self._max_bytes} bytes")

    def release(self, receiver: Receiver) -> None:
        """Forget a reply that is complete or given up."""
        self._sizes.pop(receiver, None)
