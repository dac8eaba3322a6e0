"""The platform's key-value store: its interface, positions in it, and the typed outcomes of each call."""

from dataclasses import dataclass
from typing import NewType, Protocol, TypeAlias

__all__ = [
    "ABSENT",
    "FIRST_ERA",
    "NO_ERA",
    "VALUE_LIMIT_BYTES",
    "Ambiguous",
    "Applied",
    "Conflict",
    "Era",
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
Era = NewType("Era", int)

# A store that names no era has only this one.
NO_ERA = Era(0)
FIRST_ERA = Era(1)
NUMBER_BITS = 64


class Revision(int):
    """Position in the history of the store, ordered by the era and then by the store's revision counter.

    The counter goes back when the store returns from an older copy, which begins a new era. A single integer makes
    every comparison of positions one of eras first; in a store without eras it is the counter itself.
    """

    __slots__ = ()

    def __new__(cls, number: int, era: int = NO_ERA) -> "Revision":
        """Create a position from the store's counter and its era."""
        return super().__new__(cls, era << NUMBER_BITS | number)

    @property
    def era(self) -> Era:
        """Return the era of the store."""
        return Era(self >> NUMBER_BITS)

    @property
    def number(self) -> int:
        """Return the store's own revision, which is unique within an era."""
        return self & ((1 << NUMBER_BITS) - 1)


# The revision that a compare-and-swap names to create a key.
ABSENT = Revision(0)

# The store refuses larger values.
VALUE_LIMIT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Found:
    """A value and the revision of the key's last write.

    taken is a later revision at which a host has begun to use the value, which it had refused before (None: at once).
    """

    key: Key
    value: bytes
    revision: Revision
    taken: Revision | None = None


@dataclass(frozen=True, slots=True)
class Missing:
    """Report that a key has no value."""

    key: Key


@dataclass(frozen=True, slots=True)
class Listed:
    """The values below a prefix, in order of their keys."""

    values: tuple[Found, ...]


@dataclass(frozen=True, slots=True)
class Applied:
    """Report that a write took effect at this revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Report that a write did not take effect, with the key's current value."""

    current: Found | Missing


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Report that a call definitely had no effect, because the store was not reached or refused the call."""

    detail: str


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """Report that a write may have taken effect, because its answer was lost."""

    detail: str


@dataclass(frozen=True, slots=True)
class WatchTimeout:
    """Report that a watch ended without a change; the store was reached."""


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease that lasts until expires_s on the clock of anyio.current_time, counted from before the request."""

    id: LeaseId
    expires_s: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Report that a lease has expired."""

    id: LeaseId


ReadOutcome: TypeAlias = Found | Missing | Unavailable
ListOutcome: TypeAlias = Listed | Unavailable
WriteOutcome: TypeAlias = Applied | Conflict | Unavailable | Ambiguous
WatchOutcome: TypeAlias = Found | Missing | WatchTimeout | Unavailable
LeaseOutcome: TypeAlias = LeaseGranted | LeaseLost | Unavailable | Ambiguous


class Store(Protocol):
    """Interface of the platform's store; the plug-in kind PLATFORM_STORE."""

    async def get(self, key: Key) -> ReadOutcome:
        """Read one key."""

    async def list(self, prefix: Key) -> ListOutcome:
        """Read all keys below a prefix."""

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if its revision is the expected one; with a lease, the key is deleted when the lease expires."""

    async def delete(self, key: Key, expected: Revision) -> WriteOutcome:
        """Delete a key if its revision is the expected one."""

    async def watch(self, key: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait until a key's revision is higher than this one."""

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a lease."""

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseOutcome:
        """Renew a lease."""

    async def release_lease(self, lease: LeaseId) -> LeaseOutcome | None:
        """Release a lease and delete the keys written under it."""
