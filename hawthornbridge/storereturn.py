"""What a host keeps when the store returns from an older copy, until it is written again."""

from collections.abc import Callable, Collection, Container, Mapping, Sequence
from dataclasses import dataclass
from math import inf
from typing import TypeAlias

from hawthornbridge.events import Event, emit
from hawthornbridge.store import Era, Found, Key, Revision
from hawthornbridge.storecopies import Snapshot

__all__ = [
    "Ended",
    "Kept",
    "ReturnRules",
    "WriterCount",
    "count_nothing",
    "is_settled",
    "report_return",
    "report_settled",
]

# A copy is some seconds old, so it brings back only keys that were removed a short time before.
ENDED_MEMORY_S = 120.0
LOGGED_KEYS = 20

# The writer's own number of a value, which never goes back.
WriterCount: TypeAlias = tuple[int, ...]


def count_nothing(key: Key, value: bytes) -> WriterCount | None:
    """Return None: the values of no key are numbered."""
    return None


@dataclass(frozen=True, slots=True)
class Kept:
    """What the store holds under a key (None: nothing), and until when this host's own knowledge replaces it."""

    stored: Found | None
    until_s: float


@dataclass(frozen=True, slots=True)
class Ended:
    """A key that was removed at a time, with its last value."""

    last: Found
    at_s: float


class ReturnRules:
    """Decide which of two values of a key is in force when they are of different eras of the store."""

    def __init__(
        self, may_lapse: Callable[[Key], bool], writer_count: Callable[[Key, bytes], WriterCount | None]
    ) -> None:
        self._may_lapse = may_lapse
        self._writer_count = writer_count

    def compare(
        self,
        values: Mapping[Key, Found],
        ended: Mapping[Key, Ended],
        stored: Mapping[Key, Found],
        now_s: float,
        grace_until_s: float,
    ) -> dict[Key, Kept]:
        """Return the keys for which what a host knows stays in force, after it has read the first copy of an era."""
        kept = {key: self.keep(known, stored.get(key), grace_until_s) for key, known in values.items()}
        for key in stored.keys() & ended.keys() - values.keys():
            kept[key] = self.refuse(ended[key], stored[key], now_s, grace_until_s)
        return {key: each for key, each in kept.items() if each is not None}

    def is_earlier(self, found: Found, known: Found) -> bool:
        """Return whether the writer of a key wrote one value before the other."""
        count, known_count = self._count(found), self._count(known)
        return count is not None and known_count is not None and count < known_count

    def is_later(self, found: Found, known: Found) -> bool:
        """Return whether the writer of a key wrote one value after the other."""
        return self.is_earlier(known, found)

    def keep(self, known: Found, stored: Found | None, grace_until_s: float) -> Kept | None:
        """Return how long a known value stays in force instead of what a copy holds, or None if it does not.

        A value that its writer numbers stays until a higher number is written. A key under a lease and a value without
        a number only stay for the grace period: then the store is right, but for an entry that only the copy has.
        """
        if stored is not None and (stored.value == known.value or self.is_later(stored, known)):
            return None
        is_bounded = self._may_lapse(known.key) or self._count(known) is None
        return Kept(stored, grace_until_s if is_bounded else inf)

    def bound(
        self, values: Mapping[Key, Found], bounded: Container[Key], snapshot: Snapshot, until_s: float
    ) -> dict[Key, Kept | None]:
        """Return how long values of earlier eras stay in force that another host keeps too; None if they do not."""
        stored = {found.key: found for found in snapshot.stored}
        bounds: dict[Key, Kept | None] = {}
        for found in snapshot.values:
            known = values.get(found.key)
            if known is None or found.key in bounded:
                continue
            if max(found.revision.era, known.revision.era) < snapshot.revision.era:
                bounds[found.key] = self.keep(known, stored.get(found.key), until_s)
        return bounds

    def refuse(self, ended: Ended, stored: Found, now_s: float, grace_until_s: float) -> Kept | None:
        """Return how long a key that had been removed is not taken from the copy, or None if it is.

        The lease of an entry in the copy has ended and nobody renews it, so it is never taken until it is written.
        """
        if now_s - ended.at_s > ENDED_MEMORY_S or self.is_later(stored, ended.last):
            return None
        return Kept(stored, inf if self._may_lapse(stored.key) else grace_until_s)

    def is_distrusted(self, stored: Found) -> bool:
        """Return whether a value of the copy that nobody wrote again in the grace period is not used after it."""
        # A value without a number may have been written between the return and the first read.
        return self._may_lapse(stored.key) and self._count(stored) is not None

    def has_precedence(self, found: Found, known: Found) -> bool:
        """Return whether a value that another host has kept from an earlier era replaces a known one."""
        return (
            not self._may_lapse(found.key) and found.revision.era < known.revision.era and self.is_later(found, known)
        )

    def _count(self, found: Found) -> WriterCount | None:
        return self._writer_count(found.key, found.value)


def is_settled(found: Found, kept: Kept | None) -> bool:
    """Return whether the host that this one follows has begun to use what the store holds instead of a kept value."""
    if kept is None or kept.stored is None or kept.until_s == inf:
        return False
    return found.taken is not None and found.revision == kept.stored.revision


def report_return(before: Era, revision: Revision, kept: Collection[Key], in_force: Container[Key]) -> None:
    """Log a return of the store, and which keys of the copy are not used."""
    refused = [key for key in kept if key not in in_force]
    emit(
        Event.STORE_RETURNED,
        era_before=before,
        era=revision.era,
        revision=revision.number,
        kept=len(kept) - len(refused),
        refused=len(refused),
        keys=list(kept)[:LOGGED_KEYS],
    )


def report_settled(era: Era, dropped: Sequence[Key]) -> None:
    """Log the end of the grace period for keys that nobody has written again."""
    emit(Event.STORE_RETURN_SETTLED, era=era, dropped=len(dropped), keys=dropped[:LOGGED_KEYS])
