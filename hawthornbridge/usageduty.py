"""Duty to send usage reports, held by one host at a time under a lease in the store.

A permanent key has the fencing number, the last holder and the reports that are recorded and not yet known to be
accepted. A second key under the lease shows that the duty is held; the next holder waits until it is gone. Each write
of a holder expects both keys as it left them, so that a host that lost the duty changes nothing.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from hawthornbridge.events import Event, emit
from hawthornbridge.ids import HostId
from hawthornbridge.store import (
    ABSENT,
    Ambiguous,
    Applied,
    Conflict,
    Found,
    Key,
    LeaseGranted,
    LeaseId,
    LeaseLost,
    Revision,
    Unavailable,
    WriteOutcome,
)
from hawthornbridge.usagecounts import TeamCounts, WindowNumber

__all__ = ["HOLDER_KEY", "STATE_KEY", "DutyHolder", "DutyState", "DutyStore", "UsageDuty"]

STATE_KEY = Key("duty/usage")
HOLDER_KEY = Key("duty/usage-holder")
# Part of the lease in which the holder no longer acts; a call that it has sent arrives within this time.
LEASE_MARGIN_S = 0.3
RENEW_INTERVAL_S = 0.8
# A record is made without the windows that would make its counts longer than this; the store takes values up to 1 MB.
MAX_PENDING_BYTES = 500_000
# A write whose answer was lost is repeated with the same content until its outcome is known.
MAX_WRITE_ATTEMPTS = 3

_encode = msgspec.json.Encoder().encode


class DutyState(msgspec.Struct, frozen=True):
    """State of the duty in the store: windows through recorded_through are final, pending ones may not be accepted."""

    token: int
    host: HostId
    recorded_through: WindowNumber
    pending: dict[WindowNumber, TeamCounts] = {}


class DutyHolder(msgspec.Struct, frozen=True):
    """Entry of the host that holds the duty, under its lease."""

    host: HostId
    token: int
    peer_address: str


class DutyStore(Protocol):
    """Operations of the store that the duty needs."""

    async def transact(
        self, expected: Mapping[Key, Revision], puts: Mapping[Key, bytes], lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write all keys if every expected key has its revision."""

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | LeaseLost | Unavailable | Ambiguous:
        """Open a lease."""

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseGranted | LeaseLost | Unavailable | Ambiguous:
        """Prolong a lease."""

    async def release_lease(self, lease: LeaseId) -> LeaseLost | Unavailable | Ambiguous | None:
        """End a lease and remove its keys."""


@dataclass(frozen=True, slots=True)
class _Held:
    state: DutyState
    state_revision: Revision
    holder_revision: Revision
    lease: LeaseId
    renewed_s: float


class UsageDuty:
    """The duty as this host knows and holds it; the clock also counts suspensions."""

    def __init__(
        self,
        store: DutyStore,
        host: HostId,
        peer_address: str,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.holder: DutyHolder | None = None
        self._store = store
        self._host = host
        self._peer_address = peer_address
        self._lease_s = lease_s
        self._clock = clock
        self._known: DutyState | None = None
        self._known_revision = ABSENT
        # The newest state ever seen, which holds even if the store comes back from an older copy.
        self._newest: DutyState | None = None
        self._held: _Held | None = None
        self._proposed: DutyState | None = None
        self._revision_of: Callable[[Key], Revision] = lambda key: ABSENT
        # Where the copy from which the store has returned holds the entry of a holder.
        self._forgotten_revision = ABSENT
        # A state with a lower number may be one that the store has brought back from an older copy.
        self._least_token = 0
        # An earlier process of this host may have held the duty until now, and an older copy of the store may name it
        # although another host followed.
        self._held_until_s = clock()
        self._has_held = False

    @property
    def is_held(self) -> bool:
        """Return whether this host may act as the holder now."""
        return self.left_s > 0

    @property
    def left_s(self) -> float:
        """Return for how long this host may act without another renewal."""
        if self._held is None:
            return 0.0
        return self._held.renewed_s + self._lease_s - LEASE_MARGIN_S - self._clock()

    @property
    def token(self) -> int:
        """Return the fencing number of this host, or 0 if it does not hold the duty."""
        return 0 if self._held is None else self._held.state.token

    @property
    def pending(self) -> dict[WindowNumber, TeamCounts]:
        """Return the recorded reports that this host has to send."""
        return {} if self._held is None else self._held.state.pending

    @property
    def recorded_through(self) -> WindowNumber | None:
        """Return the last window that is recorded, or None before the first holder."""
        newest = self._newest if self._held is None else self._held.state
        return None if newest is None else newest.recorded_through

    @property
    def forgotten_holder(self) -> Revision:
        """Return the revision of an entry that nobody renews since a return of the store, or ABSENT."""
        revision = self._revision_of(HOLDER_KEY)
        return revision if revision == self._forgotten_revision else ABSENT

    @property
    def remembered(self) -> DutyState | None:
        """Return the newest state that is known here if the store may have forgotten it, or None."""
        newest = self._newest
        if newest is None or self._known is None:
            return newest
        return newest if self._known.token < max(newest.token, self._least_token) else None

    @property
    def may_take(self) -> bool:
        """Return whether this host may take the duty; not within a lease of losing it, if another host followed."""
        if self._has_held and self._known is not None and self._known.host == self._host:
            return True
        return self._clock() - self._held_until_s > self._lease_s + LEASE_MARGIN_S

    def put_state(self, state: DutyState | None, revision: Revision) -> None:
        """Take over the state as the store has it."""
        self._known, self._known_revision = state, revision
        if state is not None:
            self._newest = _newer(self._newest, state)

    def learn(self, state: DutyState) -> None:
        """Take over a state that another host remembers, and lose a duty whose number was used before."""
        self._newest = _newer(self._newest, state)
        is_used = state.token > self.token or (state.token == self.token and state.host != self._host)
        if self._held is not None and is_used:
            self._lose(f"{state.host} had the number {state.token} before the store returned")

    def put_holder(self, holder: DutyHolder | None) -> None:
        """Take over the entry of the holder as the store has it."""
        before, self.holder = self.holder, holder
        if self._held is None:
            return
        if holder is None and before is not None and before.token == self.token:
            self._lose("the entry of the holder was removed")
        elif holder is not None and holder.token > self.token:
            self._lose(f"{holder.host} holds it")

    def on_store_return(self, revision_of: Callable[[Key], Revision]) -> None:
        """Lose the duty, whose revisions are of the era before, and learn where the store holds its keys now."""
        self._revision_of = revision_of
        stored = revision_of(STATE_KEY)
        # A state that this host has first read in the new era was written in it or is in the copy.
        is_read = stored != ABSENT and stored == self._known_revision
        self._least_token = 0 if is_read or self._newest is None else self._newest.token + 1
        self._known_revision = stored
        self._forgotten_revision = revision_of(HOLDER_KEY)
        if self._held is not None:
            self._lose("the store has returned from a copy")

    async def take(self, first_window: WindowNumber) -> bool:
        """Try to take the duty; with no state in the store, the first window to report is first_window."""
        renewed_s = self._clock()
        # The state from before the call, so that the write fails if another host had the duty during it.
        state = self._next_state(first_window)
        before, forgotten = self._known_revision, self.forgotten_holder
        lease = await self._store.grant_lease(self._lease_s)
        if not isinstance(lease, LeaseGranted):
            return False
        revision = await self._write(STATE_KEY, state, {STATE_KEY: before, HOLDER_KEY: forgotten})
        if isinstance(revision, Applied):
            entry = DutyHolder(self._host, state.token, self._peer_address)
            expected = {HOLDER_KEY: forgotten, STATE_KEY: revision.revision}
            shown = await self._write(HOLDER_KEY, entry, expected, lease.id)
            is_in_time = self._clock() - renewed_s < self._lease_s - LEASE_MARGIN_S
            if isinstance(shown, Applied) and is_in_time:
                self._has_held = True
                self._held = _Held(state, revision.revision, shown.revision, lease.id, renewed_s)
                self._newest = _newer(self._newest, state)
                emit(Event.USAGE_DUTY_TAKEN, token=state.token, recorded_through=state.recorded_through)
                return True
        await self._store.release_lease(lease.id)
        return False

    async def renew(self) -> None:
        """Prolong the lease when it is due; lose the duty if the lease has ended or can't be shown to last."""
        held = self._held
        if held is None:
            return
        if not self.is_held:
            self._lose("the lease was not renewed in time")
            return
        sent_s = self._clock()
        if sent_s - held.renewed_s < RENEW_INTERVAL_S:
            return
        outcome = await self._store.renew_lease(held.lease, self._lease_s)
        if isinstance(outcome, LeaseLost):
            self._lose("the lease has ended")
        elif isinstance(outcome, LeaseGranted) and self._held is not None and self.is_held:
            self._held = replace(self._held, renewed_s=sent_s)

    async def record(self, reports: Mapping[WindowNumber, TeamCounts], accepted: Collection[WindowNumber]) -> bool:
        """Record the reports of further windows, and drop accepted ones; return whether a record was made.

        A record whose outcome is unknown is written again as it is before another one is made.
        """
        held = self._held
        if held is None or not self.is_held:
            return False
        if self._proposed is None:
            self._proposed = _extended(held.state, reports, accepted)
        if self._proposed == held.state:
            self._proposed = None
            return False
        expected = {STATE_KEY: held.state_revision, HOLDER_KEY: held.holder_revision}
        outcome = await self._write(STATE_KEY, self._proposed, expected)
        match outcome:
            case Applied(revision) if self._held is not None:
                self._held = replace(self._held, state=self._proposed, state_revision=revision)
                self._newest = _newer(self._newest, self._proposed)
                self._proposed = None
                return True
            case Conflict():
                self._lose("the state in the store was changed")
        return False

    async def give_up(self) -> None:
        """Give the duty up at a planned stop."""
        held = self._held
        if held is None:
            return
        self._end()
        emit(Event.USAGE_DUTY_GIVEN_UP, token=held.state.token)
        await self._store.release_lease(held.lease)

    def _next_state(self, first_window: WindowNumber) -> DutyState:
        known, newest = self._known, self._newest
        if newest is None:
            return DutyState(1, self._host, first_window - 1)
        # A store that came back from an older copy lacks the last records, which this host may have seen.
        behind = known is None or known.recorded_through < newest.recorded_through
        pending = newest.pending if behind else known.pending if known is not None else {}
        token = max(newest.token, 0 if known is None else known.token) + 1
        return DutyState(token, self._host, newest.recorded_through, pending)

    async def _write(
        self, key: Key, content: msgspec.Struct, expected: Mapping[Key, Revision], lease: LeaseId | None = None
    ) -> WriteOutcome:
        value = _encode(content)
        outcome: WriteOutcome = Unavailable("not tried")
        for _ in range(MAX_WRITE_ATTEMPTS):
            outcome = await self._store.transact(expected, {key: value}, lease)
            match outcome:
                case Conflict(Found(found_key, found_value, revision)) if (found_key, found_value) == (key, value):
                    # An earlier try, whose answer was lost, has written it.
                    return Applied(revision)
                case Applied() | Conflict() | Unavailable():
                    return outcome
        return outcome

    def _lose(self, detail: str) -> None:
        emit(Event.USAGE_DUTY_LOST, token=self.token, detail=detail)
        self._end()

    def _end(self) -> None:
        self._held_until_s = self._clock()
        self._held = None
        self._proposed = None


def _newer(first: DutyState | None, second: DutyState) -> DutyState:
    if first is None or (second.recorded_through, second.token) >= (first.recorded_through, first.token):
        return second if first is None else msgspec.structs.replace(second, token=max(first.token, second.token))
    return msgspec.structs.replace(first, token=max(first.token, second.token))


def _extended(
    state: DutyState, reports: Mapping[WindowNumber, TeamCounts], accepted: Collection[WindowNumber]
) -> DutyState:
    """Return the state with the first reports that it has room for; a single one always has."""
    pending = {window: counts for window, counts in state.pending.items() if window not in accepted}
    recorded_through = state.recorded_through
    size = len(_encode(pending))
    for window in sorted(reports):
        size += len(_encode(reports[window]))
        if pending and size > MAX_PENDING_BYTES:
            break
        pending[window] = reports[window]
        recorded_through = window
    return msgspec.structs.replace(state, recorded_through=recorded_through, pending=pending)
