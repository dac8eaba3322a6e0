"""What leaves say of themselves in their answers: that they are leaving, or want no requests for some time."""

import re
from dataclasses import dataclass
from enum import Enum
from math import inf

__all__ = ["LEAVING_VALUE", "Exclusion", "LeafNotices", "parse_retry_after_s"]

LEAVING_VALUE = b"1"
# Seconds, with or without a fraction. A date, which HTTP allows too, depends on two clocks and is not followed.
_SECONDS = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?")


class Exclusion(Enum):
    """Reason why a leaf may get no request now."""

    DRAINING = "draining"
    LEAVING = "leaving"
    HELD = "held"
    RETURNING = "returning"
    MISDIRECTED = "misdirected"
    EVACUATED = "evacuated"


def parse_retry_after_s(value: bytes | None) -> float | None:
    """Return the seconds of a Retry-After header, or None if there is none or it can't be read."""
    if value is None or not _SECONDS.fullmatch(value.strip()):
        return None
    return float(value)


@dataclass(slots=True)
class LeafNotices:
    """What one incarnation of a leaf has said; a leaf that wants no requests for some time is held until its end.

    After a hold the leaf gets one request, and one more at a time after each reply, until it has given as many replies
    as it has slots, so that the requests of all hosts do not return in one burst.
    """

    is_leaving: bool = False
    held_until_s: float = -inf
    # Replies that are still to come before the leaf counts as returned; 0 if it has not been held.
    replies_left: int = 0
    replies: int = 0

    def hold(self, wait_s: float, now_s: float, slots: int) -> bool:
        """Record that the leaf wants no requests for wait_s; return whether it was not held before."""
        is_new = now_s >= self.held_until_s
        self.held_until_s = max(self.held_until_s, now_s + wait_s)
        self.replies, self.replies_left = 0, slots
        return is_new

    def record_reply(self, now_s: float) -> None:
        """Record a reply to a request that the leaf has run."""
        if self.replies_left and now_s >= self.held_until_s:
            self.replies += 1
            self.replies_left -= 1

    def exclusion(self, now_s: float, in_flight: int) -> Exclusion | None:
        """Return why the leaf may get no request now; in_flight is the number sent after the end of the hold."""
        if self.is_leaving:
            return Exclusion.LEAVING
        if now_s < self.held_until_s:
            return Exclusion.HELD
        if self.replies_left and in_flight > self.replies:
            return Exclusion.RETURNING
        return None
