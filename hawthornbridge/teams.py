"""Teams of callers and the index of their keys."""

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

from hawthornbridge.ids import TeamName

__all__ = ["KeyDigest", "Team", "TeamIndex", "TeamKeys", "digest_key", "parse_key"]

KeyDigest = NewType("KeyDigest", bytes)

DIGEST_BYTES = 16
AUTHORIZATION_SCHEME = b"token"
# The secret is drawn anew for each process, so that callers can't choose keys whose digests share a beginning with the
# digest of another key. The time of a look-up therefore tells nothing about the keys.
_SECRET = secrets.token_bytes(DIGEST_BYTES)


@dataclass(frozen=True, slots=True)
class Team:
    """Team of callers; its priority, if it has one, goes before that of the route."""

    name: TeamName
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class TeamKeys:
    """Team with the keys that the configuration gives it."""

    team: Team
    keys: tuple[str, ...]


class TeamIndex:
    """Index from the digest of each key to its team; immutable, and without the keys themselves."""

    def __init__(self, entries: Iterable[TeamKeys]) -> None:
        self._teams = {digest_key(key.encode()): entry.team for entry in entries for key in entry.keys}

    def find(self, digest: KeyDigest) -> Team | None:
        """Return the team that holds a key, or None."""
        return self._teams.get(digest)


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest of a key, which is the same for the life of this process."""
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET).digest())


def parse_key(values: list[bytes]) -> bytes | None:
    """Return the key of the authorization headers of a request, or None unless exactly one of them holds one."""
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    return key if scheme.lower() == AUTHORIZATION_SCHEME and key else None
