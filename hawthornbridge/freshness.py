"""The freshness rule, which decides whether a host's configuration is recent enough for the host to serve."""

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
    "quorum_of",
    "serving_state",
]

# A host that has no quorum stops serving when its latest known contact with the store is older than this.
FRESH_S = 2.5


@dataclass(frozen=True, slots=True)
class Contact:
    """A read of the store: the latest time at which the read may have begun, and the generation read."""

    at_s: float
    generation: Generation


@dataclass(frozen=True, slots=True)
class Pending:
    """An announced change whose outcome is unknown."""

    proposer: HostId
    generation: Generation


@dataclass(frozen=True, slots=True)
class HeardHost:
    """The last report of a host with which heartbeats arrive in both directions."""

    host: HostId
    seat: Seat
    generation: Generation
    store_state: Reachability
    settled: bool
    pending: tuple[Pending, ...] = ()


@dataclass(frozen=True, slots=True)
class OwnState:
    """This host's own report, and the latest store contact whose generation the host has applied."""

    report: HeardHost
    contact: Contact | None


@dataclass(frozen=True, slots=True)
class Fresh:
    """Serve, because the store was read recently enough."""

    age_s: float
    serves: bool = True


@dataclass(frozen=True, slots=True)
class ContinuedByQuorum:
    """Serve, because a quorum is heard and finds the store unreachable."""

    heard: int
    serves: bool = True


@dataclass(frozen=True, slots=True)
class NoConfiguration:
    """Do not serve, because this host has not received a configuration yet."""

    serves: bool = False


@dataclass(frozen=True, slots=True)
class QuorumLost:
    """Do not serve, because the store was not read recently and too few hosts are heard."""

    heard: int
    needed: int
    serves: bool = False


@dataclass(frozen=True, slots=True)
class StoreNotDown:
    """Do not serve: a host does not report the store as unreachable, so the configuration may have changed."""

    host: HostId
    serves: bool = False


@dataclass(frozen=True, slots=True)
class Behind:
    """Do not serve, because a heard host has applied a generation that this host lacks."""

    host: HostId
    generation: Generation
    serves: bool = False


@dataclass(frozen=True, slots=True)
class UnresolvedChange:
    """Do not serve: a host was lost while it wrote a change, so the change may be in the store."""

    proposer: HostId
    generation: Generation
    serves: bool = False


ServingState: TypeAlias = (
    Fresh | ContinuedByQuorum | NoConfiguration | QuorumLost | StoreNotDown | Behind | UnresolvedChange
)


def quorum_of(seats: int) -> int:
    """Return the smallest number of seats that is more than half."""
    return seats // 2 + 1


def serving_state(own: OwnState, heard: Iterable[HeardHost], seats: int, now_s: float) -> ServingState:
    """Return whether a host may serve, with the reason."""
    if own.report.generation == 0:
        return NoConfiguration()
    if own.contact is not None and now_s - own.contact.at_s <= FRESH_S:
        return Fresh(now_s - own.contact.at_s)
    hosts = [own.report, *heard]
    # A restart loses the proposals that a host has confirmed, so a host that has just started does not count yet.
    counted = len({host.seat for host in hosts if host.settled})
    if counted < quorum_of(seats):
        return QuorumLost(counted, quorum_of(seats))
    for host in hosts:
        if host.store_state is not Reachability.UNREACHABLE:
            return StoreNotDown(host.host)
        if host.generation > own.report.generation:
            return Behind(host.host, host.generation)
    # A heard proposer that cannot reach the store has not learned the outcome of its write; a lost one may have.
    known = {host.host for host in hosts}
    for pending in (pending for host in hosts for pending in host.pending):
        if pending.generation > own.report.generation and pending.proposer not in known:
            return UnresolvedChange(pending.proposer, pending.generation)
    return ContinuedByQuorum(counted)
