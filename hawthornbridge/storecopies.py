"""Copies of the store's keys and their changes, as hosts read them from the store and from each other."""

from dataclasses import dataclass, field
from math import inf
from typing import Protocol, TypeAlias

from hawthornbridge.store import Found, Key, Revision, Unavailable

__all__ = ["Changes", "HeldKey", "HistoryGone", "Removed", "Snapshot", "WatchOutcome", "WatchableStore"]


@dataclass(frozen=True, slots=True)
class HeldKey:
    """Key that the store has removed and that is kept for left_s, because its lease may only have lapsed."""

    key: Key
    left_s: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys below a prefix; its pages may have been read at different revisions, none older than revision.

    A snapshot from another host is age_s old; unchanged lists keys without values that the reader already has. Keys
    that it lacks may still be written again, after a lapse of their leases, for at most grace_s. It surely reflects
    the store as it was at confirmed_s, on the clock that counts suspensions. After a return of the store from an older
    copy, another host may use values of earlier eras; stored lists what the store holds instead of them, if anything.
    """

    values: tuple[Found, ...]
    revision: Revision
    held: tuple[HeldKey, ...] = ()
    age_s: float = 0.0
    unchanged: tuple[Key, ...] = ()
    grace_s: float = inf
    confirmed_s: float = field(default=-inf, compare=False)
    stored: tuple[Found, ...] = ()


@dataclass(frozen=True, slots=True)
class Removed:
    """Removal of a key at this revision."""

    key: Key
    revision: Revision


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes after a revision, in order; empty if the watch ended without a change.

    Changes from another host reflect the store as that host read it age_s ago. That host has already waited for keys
    whose leases may only have lapsed, so that their grace_s is 0. With them, a copy that had all changes up to the
    earlier revision surely reflects the store as it was at confirmed_s.
    """

    events: tuple[Found | Removed, ...]
    revision: Revision
    age_s: float = 0.0
    grace_s: float = inf
    confirmed_s: float = field(default=-inf, compare=False)


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes after the requested revision."""


WatchOutcome: TypeAlias = Changes | Snapshot | HistoryGone | Unavailable


class WatchableStore(Protocol):
    """Read and watch all keys below a prefix."""

    async def read_all(self, prefix: Key) -> Snapshot | Unavailable:
        """Read every key below a prefix."""

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait until something below the prefix changes after a revision."""
