"""Validity of callers' keys, bounded by the age of this host's copy of the store."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from hawthornbridge.answers import Denied, DeniedReason, Refused, RefusedReason
from hawthornbridge.clocks import boot_time_s
from hawthornbridge.ids import TeamName
from hawthornbridge.routing import RoutingState
from hawthornbridge.teams import KeyDigest, Team, digest_key, parse_key

__all__ = ["CopyAge", "KeyPermit", "KeyValidity", "max_copy_age_s", "refresh_age_s"]

# Share of the time allowed for a withdrawal after which an unconfirmed copy is no longer used for requests with a key.
# The rest is for requests on their way to a leaf and for delays of this process between the check and the send.
MAX_AGE_SHARE = 0.8
# Share of that time within which a copy is confirmed while the store answers. The difference from MAX_AGE_SHARE is
# how long the store may be away without a refusal.
REFRESH_SHARE = 0.4
MIN_RETRY_AFTER_S = 0.2


def max_copy_age_s(revoke_s: float | None) -> float:
    """Return the age from which a copy is too old for requests with a key; None stands for no bound."""
    return inf if revoke_s is None else revoke_s * MAX_AGE_SHARE


def refresh_age_s(revoke_s: float | None) -> float:
    """Return the age within which a copy has to be confirmed while the store answers."""
    return inf if revoke_s is None else revoke_s * REFRESH_SHARE


@dataclass(frozen=True, slots=True)
class CopyAge:
    """Age of the copy of the store, and the age from which it is too old for requests with a key."""

    age_s: float
    max_s: float


class KeyValidity:
    """Decides whether a request with a key may be sent now.

    confirmed_s returns a time, on the clock, whose state of the store is surely in the copy; contact_in_s returns when
    the next confirmation is expected.
    """

    def __init__(
        self,
        confirmed_s: Callable[[], float] = lambda: inf,
        contact_in_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self.max_age_s = inf
        self._confirmed_s = confirmed_s
        self._contact_in_s = contact_in_s
        self._clock = clock
        self._state: RoutingState | None = None

    @property
    def copy_age(self) -> CopyAge:
        """Return the age of the copy with its bound."""
        return CopyAge(self._clock() - self._confirmed_s(), self.max_age_s)

    def apply(self, state: RoutingState) -> None:
        """Judge keys by another configuration."""
        self._state = state

    def admit(self, state: RoutingState, authorization: list[bytes]) -> "KeyPermit | Refused | Denied":
        """Return the permit of a request with these authorization headers, or why it has none."""
        assert state.teams is not None
        key = parse_key(authorization)
        if key is None:
            return Denied(DeniedReason.NO_KEY)
        # An old copy can't tell an unknown key from one that has been added since.
        stale = self.refuse_if_stale()
        if stale is not None:
            return stale
        digest = digest_key(key)
        team = state.teams.find(digest)
        return Denied(DeniedReason.UNKNOWN_KEY) if team is None else KeyPermit(self, digest, team, state)

    def refuse_if_stale(self) -> Refused | None:
        """Return the refusal of requests with a key if the copy is too old for them."""
        if self.max_age_s == inf or self._clock() - self._confirmed_s() < self.max_age_s:
            return None
        return Refused(RefusedReason.COPY_TOO_OLD, max(MIN_RETRY_AFTER_S, self._contact_in_s()))

    def is_held_by(self, digest: KeyDigest, team: TeamName, admitted: RoutingState) -> bool:
        """Return whether a team that held a key in an earlier configuration holds it now."""
        state = self._state
        if state is admitted or state is None or state.teams is None:
            return True
        found = state.teams.find(digest)
        return found is not None and found.name == team


@dataclass(frozen=True, slots=True)
class KeyPermit:
    """Permit of one request, by its key; it is checked again before each send to a leaf."""

    validity: KeyValidity
    digest: KeyDigest
    team: Team
    admitted: RoutingState

    def check(self) -> Refused | Denied | None:
        """Return why the request may not be sent now, or None if it may."""
        stale = self.validity.refuse_if_stale()
        if stale is not None:
            return stale
        if self.validity.is_held_by(self.digest, self.team.name, self.admitted):
            return None
        return Denied(DeniedReason.KEY_WITHDRAWN)
