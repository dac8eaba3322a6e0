"""Draining and restoring failure domains: capacity check, progress, completion and rollback."""

from collections.abc import AsyncIterator, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

import anyio
import xxhash

from hawthornbridge.acceptance import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeLog,
    ChangeOutcome,
    HostProgress,
)
from hawthornbridge.domaincapacity import LoadSource, Shortage, shortages
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import DomainName, Generation, HostId, OperationId
from hawthornbridge.model import (
    RELIES_ON_FIELD,
    Catalogue,
    DomainGeneration,
    DomainState,
    FailureDomain,
    PutFailureDomain,
)

__all__ = [
    "CapacityShort",
    "DomainMoves",
    "HostMove",
    "MoveProgress",
    "MoveState",
    "all_confirmed",
    "host_moves",
]

# A host silent for this long has stopped serving by the freshness rule: 2.5 s and a margin.
SILENCE_LIMIT_S = 3.0
POLL_INTERVAL_S = 0.25
WATCH_INTERVAL_S = 0.5
# One late heartbeat (500 ms) changes the sums briefly, so a shortage has to last longer than two heartbeats.
SHORTAGE_CONFIRMED_S = 1.0
# Only this many hosts end moves, so that the number of writes to the store does not grow with the fleet.
MOVE_ENDING_HOSTS = 3
# Delay between the attempts of these hosts, so that usually only the first one writes.
MOVE_ENDING_STAGGER_S = 2.0
RETRY_BASE_S = 1.0
RETRY_LIMIT_S = 16.0
# How often a drain's capacity is checked, as a domain that it relies on may change between check and acceptance.
CAPACITY_CHECK_ATTEMPTS = 3
CATCH_UP_TIMEOUT_S = 2.0
STALL_REPORT_S = 30.0


@dataclass(frozen=True, slots=True)
class CapacityShort:
    """A drain refused because the remaining failure domains cannot carry the present load; worst shards first."""

    shortages: tuple[Shortage, ...]


DrainOutcome: TypeAlias = ChangeOutcome | CapacityShort


class MoveState(Enum):
    """The state of a move."""

    IN_PROGRESS = "in_progress"
    DONE = "done"
    ROLLED_BACK = "rolled_back"
    SUPERSEDED = "superseded"


@dataclass(frozen=True, slots=True)
class HostMove:
    """How far one host has applied a move."""

    host: HostId
    generation: Generation
    silent_s: float
    confirmed: bool
    in_flight: int = 0


@dataclass(frozen=True, slots=True)
class MoveProgress:
    """The state of a move, the reason for its end, and its progress on every host."""

    state: MoveState
    reason: str
    hosts: tuple[HostMove, ...]


@dataclass(slots=True)
class _Attempt:
    """An attempt to end a drain in one state, with the time and the backoff of the next try."""

    state: DomainState
    due_s: float
    retry_s: float = RETRY_BASE_S


def host_moves(
    progress: Iterable[HostProgress], generation: Generation, in_flight: Mapping[HostId, int] | None = None
) -> tuple[HostMove, ...]:
    """Return each host's progress on a move; a host silent for too long has stopped and counts as confirmed."""
    known = in_flight or {}
    return tuple(
        HostMove(
            host=host.host,
            generation=host.generation,
            silent_s=host.silent_s,
            confirmed=host.generation >= generation or host.silent_s >= SILENCE_LIMIT_S,
            # The last reported number of a host that can no longer report would never fall to zero.
            in_flight=known.get(host.host, 0) if host.silent_s < SILENCE_LIMIT_S else 0,
        )
        for host in sorted(progress, key=lambda host: host.host)
    )


def all_confirmed(hosts: Iterable[HostMove]) -> bool:
    """Return whether every host has confirmed."""
    return all(host.confirmed for host in hosts)


class DomainMoves:
    """Drains and restores failure domains, and ends the drains that any host has started.

    All state of a drain is in the configuration: DRAINING when accepted, then DRAINED when done or ACTIVE when rolled
    back; the last two name the generation of the drain. Any host can therefore watch a drain and end it.
    """

    def __init__(self, log: ChangeLog, load: LoadSource, host: HostId) -> None:
        self._log = log
        self._load = load
        self._host = host
        self._attempts: dict[tuple[DomainName, Generation], _Attempt] = {}
        self._short_since_s: dict[tuple[DomainName, Generation], float] = {}
        self._seen_s: dict[tuple[DomainName, Generation], float] = {}
        self._stalled: set[tuple[DomainName, Generation]] = set()

    async def drain(
        self,
        name: DomainName,
        expected: Generation,
        operation_id: OperationId,
        reason: str = "",
        *,
        force: bool = False,
    ) -> DrainOutcome:
        """Take a failure domain out of service if the others can carry its load."""
        outcome: DrainOutcome = ChangeInvalid("failure_domain", "")
        for _ in range(CAPACITY_CHECK_ATTEMPTS):
            await self._catch_up(expected)
            catalogue = self._log.catalogue
            current = catalogue.domains.get(name)
            invalid = _check_move(name, current, expected, catalogue, DomainState.ACTIVE)
            if invalid is not None:
                return invalid
            draining = FailureDomain(name=name, state=DomainState.DRAINING, reason=reason, forced=force)
            if force or current is None or current.generation != expected:
                # A domain that has changed since gives a conflict, or the first result of a repeated operation.
                return await self._propose(PutFailureDomain(draining), expected, operation_id, force=force)
            short = shortages(catalogue, self._load, {name})
            if short:
                return await self._refuse(draining, expected, operation_id, short)
            relies_on = tuple(
                DomainGeneration(domain.name, domain.generation)
                for domain in catalogue.domains.values()
                if domain.name != name and domain.state is DomainState.ACTIVE
            )
            outcome = await self._propose(PutFailureDomain(draining, relies_on), expected, operation_id)
            if not (isinstance(outcome, ChangeInvalid) and outcome.field == RELIES_ON_FIELD):
                return outcome
            await self._catch_up(Generation(catalogue.generation + 1))
        return outcome

    async def restore(
        self,
        name: DomainName,
        expected: Generation,
        operation_id: OperationId,
        reason: str = "",
        *,
        force: bool = False,
    ) -> ChangeOutcome:
        """Return a failure domain to service."""
        await self._catch_up(expected)
        catalogue = self._log.catalogue
        invalid = _check_move(
            name, catalogue.domains.get(name), expected, catalogue, DomainState.DRAINING, DomainState.DRAINED
        )
        if invalid is not None:
            return invalid
        change = PutFailureDomain(FailureDomain(name=name, reason=reason))
        return await self._propose(change, expected, operation_id, force=force)

    def move(self, name: DomainName, generation: Generation) -> MoveProgress:
        """Return how far the move that was accepted at a generation is."""
        catalogue = self._log.catalogue
        hosts = host_moves(self._log.progress(), generation, self._load.in_flight(name))
        if catalogue.generation < generation:
            return MoveProgress(MoveState.IN_PROGRESS, "", hosts)
        domain = catalogue.domains.get(name)
        if domain is None:
            return MoveProgress(MoveState.SUPERSEDED, "the failure domain was removed", hosts)
        if domain.generation > generation:
            return MoveProgress(_ended(domain, generation), _end_reason(domain, generation), hosts)
        done = domain.state is not DomainState.DRAINING and all_confirmed(hosts)
        if domain.state is DomainState.DRAINED:
            done = done and not any(host.in_flight for host in hosts)
        return MoveProgress(MoveState.DONE if done else MoveState.IN_PROGRESS, domain.reason, hosts)

    async def watch(self, name: DomainName, generation: Generation) -> AsyncIterator[MoveProgress]:
        """Yield the progress of a move until the move has ended."""
        while True:
            progress = self.move(name, generation)
            yield progress
            if progress.state is not MoveState.IN_PROGRESS:
                return
            await anyio.sleep(WATCH_INTERVAL_S)

    async def run(self) -> None:
        """End drains: as done, or as rolled back if capacity or coverage becomes too low before."""
        while True:
            await self._end_drains()
            await anyio.sleep(POLL_INTERVAL_S)

    async def _end_drains(self) -> None:
        catalogue = self._log.catalogue
        draining = [domain for domain in catalogue.domains.values() if domain.state is DomainState.DRAINING]
        self._retain_attempts({(domain.name, domain.generation) for domain in draining})
        if not draining:
            return
        now_s = anyio.current_time()
        # Only the latest drain with a shortage is rolled back, as that may be enough for the earlier ones to continue.
        rollback_open = True
        for domain in sorted(draining, key=lambda domain: domain.generation, reverse=True):
            key = (domain.name, domain.generation)
            short = [] if domain.forced else shortages(catalogue, self._load, {domain.name})
            if short:
                short_s = now_s - self._short_since_s.setdefault(key, now_s)
                if rollback_open and short_s >= SHORTAGE_CONFIRMED_S:
                    await self._end(domain, DomainState.ACTIVE, _rollback_reason(short))
                rollback_open = False
                continue
            self._short_since_s.pop(key, None)
            hosts = host_moves(self._log.progress(), domain.generation, self._load.in_flight(domain.name))
            if all_confirmed(hosts) and not any(host.in_flight for host in hosts):
                await self._end(domain, DomainState.DRAINED, domain.reason)
            else:
                self._attempts.pop(key, None)
                self._report_stall(domain, hosts)

    async def _end(self, domain: FailureDomain, state: DomainState, reason: str) -> None:
        rank = self._rank(domain)
        if rank is None:
            return
        key = (domain.name, domain.generation)
        now_s = anyio.current_time()
        attempt = self._attempts.get(key)
        if attempt is None or attempt.state is not state:
            attempt = self._attempts[key] = _Attempt(state, now_s + rank * MOVE_ENDING_STAGGER_S)
        if now_s < attempt.due_s:
            return
        ended = FailureDomain(
            name=domain.name, state=state, reason=reason, forced=domain.forced, drain=domain.generation
        )
        # The operation id is the same on every host, so a host that writes second gets the result of the first write.
        operation_id = OperationId(f"{state.value}:{domain.name}:{domain.generation}")
        outcome = await self._log.propose(PutFailureDomain(ended), domain.generation, operation_id)
        match outcome:
            case ChangeAccepted(generation=generation, repeated=False):
                event = Event.DRAIN_DONE if state is DomainState.DRAINED else Event.DRAIN_ROLLED_BACK
                emit(event, failure_domain=domain.name, drain=domain.generation, generation=generation, reason=reason)
            case ChangeAccepted() | ChangeConflict():
                pass
            case _:
                emit(Event.DRAIN_END_DELAYED, failure_domain=domain.name, outcome=type(outcome).__name__)
        # An accepted change ends the attempt as soon as this host applies it.
        attempt.due_s = anyio.current_time() + attempt.retry_s
        attempt.retry_s = min(attempt.retry_s * 2, RETRY_LIMIT_S)

    def _rank(self, domain: FailureDomain) -> int | None:
        live = [
            host.host
            for host in self._log.progress()
            if host.host == self._host or (host.silent_s < SILENCE_LIMIT_S and not host.leaving)
        ]
        live.sort(key=lambda host: xxhash.xxh3_64_intdigest(f"{domain.name}:{domain.generation}:{host}".encode()))
        rank = live.index(self._host) if self._host in live else MOVE_ENDING_HOSTS
        return rank if rank < MOVE_ENDING_HOSTS else None

    def _report_stall(self, domain: FailureDomain, hosts: tuple[HostMove, ...]) -> None:
        key = (domain.name, domain.generation)
        seen_s = self._seen_s.setdefault(key, anyio.current_time())
        if key in self._stalled or anyio.current_time() - seen_s < STALL_REPORT_S:
            return
        self._stalled.add(key)
        waiting = [host.host for host in hosts if not host.confirmed or host.in_flight]
        emit(Event.DRAIN_STALLED, failure_domain=domain.name, drain=domain.generation, hosts=waiting)

    def _retain_attempts(self, keys: set[tuple[DomainName, Generation]]) -> None:
        for table in (self._attempts, self._short_since_s, self._seen_s):
            for key in table.keys() - keys:
                del table[key]
        self._stalled &= keys

    async def _refuse(
        self, draining: FailureDomain, expected: Generation, operation_id: OperationId, short: list[Shortage]
    ) -> DrainOutcome:
        # An earlier call with this operation id may have been accepted although this host has not applied it yet.
        # Proposing a change that cannot be valid returns that call's result and is never accepted itself.
        never = PutFailureDomain(draining, (DomainGeneration(draining.name, Generation(-1)),))
        outcome = await self._log.propose(never, expected, operation_id)
        if not isinstance(outcome, ChangeInvalid):
            return outcome
        emit(Event.DRAIN_REFUSED, failure_domain=draining.name, operation_id=operation_id, shards=len(short))
        return CapacityShort(tuple(short))

    async def _propose(
        self, change: PutFailureDomain, expected: Generation, operation_id: OperationId, *, force: bool = False
    ) -> ChangeOutcome:
        outcome = await self._log.propose(change, expected, operation_id, force=force)
        if isinstance(outcome, ChangeAccepted) and not outcome.repeated:
            emit(
                Event.DOMAIN_MOVE_ACCEPTED,
                failure_domain=change.domain.name,
                state=change.domain.state.value,
                generation=outcome.generation,
                operation_id=operation_id,
                forced=force,
            )
        return outcome

    async def _catch_up(self, generation: Generation) -> None:
        with anyio.move_on_after(CATCH_UP_TIMEOUT_S):
            await self._log.wait_for(generation)


def _check_move(
    name: DomainName,
    current: FailureDomain | None,
    expected: Generation,
    catalogue: Catalogue,
    *movable: DomainState,
) -> ChangeInvalid | None:
    if catalogue.generation < expected:
        detail = (
            f"this host is at generation {catalogue.generation}; {expected} does not exist or has not reached the host"
        )
        return ChangeInvalid("expected_generation", detail)
    if current is None:
        return ChangeInvalid("failure_domain", f"no failure domain {name!r}")
    if current.generation == expected and current.state not in movable:
        return ChangeInvalid("failure_domain", f"{name!r} is {current.state.value} already")
    return None


def _ended(domain: FailureDomain, generation: Generation) -> MoveState:
    if domain.drain != generation:
        return MoveState.SUPERSEDED
    return MoveState.DONE if domain.state is DomainState.DRAINED else MoveState.ROLLED_BACK


def _end_reason(domain: FailureDomain, generation: Generation) -> str:
    if domain.drain == generation:
        return domain.reason
    since = f"{domain.state.value} since generation {domain.generation}"
    return f"{since}: {domain.reason}" if domain.reason else since


def _rollback_reason(short: list[Shortage]) -> str:
    worst = short[0]
    shard = f"{worst.service} shard {worst.shard}"
    if worst.replicas == 0:
        return f"no replica of {shard} remains ({len(short)} shards short)"
    return f"{shard} has {worst.busy:g} busy for {worst.slots} slots ({len(short)} shards short)"
