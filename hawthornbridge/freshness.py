"""The freshness rule: whether a host's configuration is recent enough to serve on."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from hawthornbridge.ids import Generation, HostId, Seat
from hawthornbridge.outcomes import Reachability

__all__ = [
    "Behind",
    "Contact",
    "ContinuedByQuorum",
    "Fresh",
    "HeardHost",
    "NoConfiguration",
    "OwnState",
    "Pending",
    "QuorumLost",
    "ServingState",
    "StoreNotDown",
    "UnresolvedChange",
    "judge",
    "quorum_of",
]

# A host stops this long after the last contact with the store that it knows of.
FRESH_S = 2.5


@dataclass(frozen=True, slots=True)
class Contact:
    """Hold a time at or before which the store was read, and the generation read then."""

    at_s: float
    generation: Generation


@dataclass(frozen=True, slots=True)
class Pending:
    """Hold an announced change whose outcome is unknown."""

    proposer: HostId
    generation: Generation


@dataclass(frozen=True, slots=True)
class HeardHost:
    """Hold the last report of a host that is heard in both directions."""

    host: HostId
    seat: Seat
    generation: Generation
    store_state: Reachability
    settled: bool
    pending: tuple[Pending, ...] = ()


@dataclass(frozen=True, slots=True)
class OwnState:
    """Hold what this host knows itself; contact is the latest whose generation it has applied."""

    report: HeardHost
    contact: Contact | None


@dataclass(frozen=True, slots=True)
class Fresh:
    """Say that the store was read recently enough."""

    age_s: float
    serves: bool = True


@dataclass(frozen=True, slots=True)
class ContinuedByQuorum:
    """Say that a quorum is heard and finds the store unreachable."""

    heard: int
    serves: bool = True


@dataclass(frozen=True, slots=True)
class NoConfiguration:
    """Say that this host has not received a configuration yet."""

    serves: bool = False


@dataclass(frozen=True, slots=True)
class QuorumLost:
    """Say that the store was not read recently and too few hosts are heard."""

    heard: int
    needed: int
    serves: bool = False


@dataclass(frozen=True, slots=True)
class StoreNotDown:
    """Say that a heard host does not find the store unreachable, so the configuration may have moved on."""

    host: HostId
    serves: bool = False


@dataclass(frozen=True, slots=True)
class Behind:
    """Say that a heard host has applied a generation that this host lacks."""

    host: HostId
    generation: Generation
    serves: bool = False


@dataclass(frozen=True, slots=True)
class UnresolvedChange:
    """Say that a host was lost while it wrote a change, so the change may be in the store."""

    proposer: HostId
    generation: Generation
    serves: bool = False


ServingState: TypeAlias = (
    Fresh | ContinuedByQuorum | NoConfiguration | QuorumLost | StoreNotDown | Behind | UnresolvedChange
)


def quorum_of(seats: int) -> int:
    """Return the smallest number of seats that is more than half."""
    return seats // 2 + 1


def judge(own: OwnState, heard: Iterable[HeardHost], seats: int, now_s: float) -> ServingState:
    """Return whether a host may serve, with the reason."""
    if own.report.generation == 0:
        return NoConfiguration()
    if own.contact is not None and now_s - own.contact.at_s <= FRESH_S:
        return Fresh(now_s - own.contact.at_s)
    hosts = [own.report, *heard]
    # A host that has just started may have forgotten a proposal that it confirmed, so it does not count yet.
    counted = len({host.seat for host in hosts if host.settled})
    if counted < quorum_of(seats):
        return QuorumLost(counted, quorum_of(seats))
    for host in hosts:
        if host.store_state is not Reachability.UNREACHABLE:
            return StoreNotDown(host.host)
        if host.generation > own.report.generation:
            return Behind(host.host, host.generation)
    # A proposer that is heard with the store unreachable has not learned the outcome; a lost one may have.
    known = {host.host for host in hosts}
    for pending in (pending for host in hosts for pending in host.pending):
        if pending.generation > own.report.generation and pending.proposer not in known:
            return UnresolvedChange(pending.proposer, pending.generation)
    return ContinuedByQuorum(counted)
