"""The platform's key-value store: its interface and the typed outcomes of each call."""

from dataclasses import dataclass
from typing import NewType, Protocol, TypeAlias

__all__ = [
    "ABSENT",
    "VALUE_LIMIT_BYTES",
    "Ambiguous",
    "Applied",
    "Conflict",
    "Found",
    "Key",
    "LeaseGranted",
    "LeaseId",
    "LeaseLost",
    "Listed",
    "Missing",
    "Revision",
    "Store",
    "Unavailable",
    "WatchTimeout",
]

Key = NewType("Key", str)
LeaseId = NewType("LeaseId", str)
Revision = NewType("Revision", int)

# The revision that a compare-and-swap names to create a key.
ABSENT = Revision(0)

# The store refuses larger values.
VALUE_LIMIT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Found:
    """Hold a value and the revision of the key's last write."""

    key: Key
    value: bytes
    revision: Revision


@dataclass(frozen=True, slots=True)
class Missing:
    """Say that a key has no value."""

    key: Key


@dataclass(frozen=True, slots=True)
class Listed:
    """Hold the values below a prefix, in order of their keys."""

    values: tuple[Found, ...]


@dataclass(frozen=True, slots=True)
class Applied:
    """Say that a write took effect at this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Say that a write did not take effect, and show what the key holds."""

    current: Found | Missing


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Say that a call certainly had no effect because the store was not reached or refused it."""

    detail: str


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """Say that a write may have taken effect because its answer was lost."""

    detail: str


@dataclass(frozen=True, slots=True)
class WatchTimeout:
    """Say that a watch ended without a change; the store was reached."""


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """Hold a lease that lasts until expires_s on the clock of anyio.current_time, counted from before the request."""

    id: LeaseId
    expires_s: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Say that a lease has lapsed."""

    id: LeaseId


ReadOutcome: TypeAlias = Found | Missing | Unavailable
ListOutcome: TypeAlias = Listed | Unavailable
WriteOutcome: TypeAlias = Applied | Conflict | Unavailable | Ambiguous
WatchOutcome: TypeAlias = Found | Missing | WatchTimeout | Unavailable
LeaseOutcome: TypeAlias = LeaseGranted | LeaseLost | Unavailable | Ambiguous


class Store(Protocol):
    """Call the platform's store; the plug-in kind PLATFORM_STORE."""

    async def get(self, key: Key) -> ReadOutcome:
        """Read one key."""

    async def list(self, prefix: Key) -> ListOutcome:
        """Read all keys below a prefix."""

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if its revision is the expected one; with a lease, the value goes when the lease lapses."""

    async def delete(self, key: Key, expected: Revision) -> WriteOutcome:
        """Delete a key if its revision is the expected one."""

    async def watch(self, key: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait until a key's revision is higher than this one."""

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Open a lease."""

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseOutcome:
        """Prolong a lease."""

    async def release_lease(self, lease: LeaseId) -> LeaseOutcome | None:
        """Give a lease up, and with it the keys written under it."""
