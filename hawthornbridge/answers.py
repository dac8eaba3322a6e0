"""Outcomes of a forwarded request."""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from hawthornbridge.httpconnection import Reply

__all__ = [
    "Answer",
    "Denied",
    "DeniedReason",
    "Failed",
    "FailureReason",
    "LeafAnswer",
    "Merged",
    "Refused",
    "RefusedReason",
    "TimedOut",
]


class RefusedReason(Enum):
    """Reason why a request was refused without any leaf running it."""

    NO_CONFIGURATION = "no_configuration"
    NO_LEAF = "no_leaf"
    LEAVES_FULL = "leaves_full"
    LEAVES_HELD = "leaves_held"
    NOT_SENT_IN_TIME = "not_sent_in_time"
    STOPPING = "stopping"
    COPY_TOO_OLD = "copy_too_old"
    # Refused at once, because the estimated wait for room at leaves is too long.
    NO_ROOM = "no_room"
    # Refused after a wait for room at leaves.
    NO_ROOM_IN_TIME = "no_room_in_time"


class DeniedReason(Enum):
    """Reason why a request has no key that the configuration allows."""

    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"


class FailureReason(Enum):
    """Reason why a request that may have run has no answer."""

    LEAF_FAILED = "leaf_failed"
    COVERAGE = "coverage"


@dataclass(frozen=True, slots=True)
class LeafAnswer:
    """Reply of a leaf, passed on to the caller."""

    reply: Reply


@dataclass(frozen=True, slots=True)
class Merged:
    """Greatest records of all parts, the server stamps of the parts and the number of missing shards."""

    body: bytes
    stamps: tuple[bytes, ...]
    missing: int


@dataclass(frozen=True, slots=True)
class Refused:
    """No leaf has run or will run the request; the caller may retry after retry_after_s."""

    reason: RefusedReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Denied:
    """No leaf has run or will run the request, because its key is missing or not allowed."""

    reason: DeniedReason


@dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run, and no successful answer is available."""

    reason: FailureReason


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The request was sent and not answered before its deadline."""


Answer: TypeAlias = LeafAnswer | Merged | Refused | Denied | Failed | TimedOut
