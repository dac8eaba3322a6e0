"""Claims on idempotency keys as buckets store them, and the outcomes of changes to them."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType, TypeAlias

import msgspec

from hawthornbridge.ids import AttemptId, HostId

__all__ = [
    "BucketFull",
    "Claim",
    "ClaimOutcome",
    "ClaimState",
    "Claimed",
    "Digest",
    "HeldElsewhere",
    "KeyMismatch",
    "Recorded",
    "StoreDown",
    "Unsettled",
]

Digest = NewType("Digest", str)


class ClaimState(Enum):
    """Known state of the attempt that holds a key."""

    HELD = "held"
    RELEASED = "released"
    RAN = "ran"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Stored attempt on a key; result is None if it was not kept."""

    attempt: AttemptId
    host: HostId
    digest: Digest
    state: ClaimState
    result: bytes | None = None


@dataclass(frozen=True, slots=True)
class Claimed:
    """Outcome: the attempt holds the key and may be dispatched."""


@dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Outcome: another attempt holds the key and had no outcome at the last read of the bucket."""

    attempt: AttemptId
    host: HostId


@dataclass(frozen=True, slots=True)
class Recorded:
    """Outcome: an earlier attempt on the key has ended, as its claim tells."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class KeyMismatch:
    """Outcome: the key was used for another request body."""


@dataclass(frozen=True, slots=True)
class BucketFull:
    """Outcome: the bucket of the key has no room for another claim."""


@dataclass(frozen=True, slots=True)
class StoreDown:
    """Outcome: the claim was certainly not written, because the store was not reached or the bucket is unreadable."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unsettled:
    """Outcome: whether the claim was written was not known at the deadline; it is released once the store answers."""


ClaimOutcome: TypeAlias = Claimed | HeldElsewhere | Recorded | KeyMismatch | BucketFull | StoreDown | Unsettled
