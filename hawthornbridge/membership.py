"""Live and leaving hosts, from heartbeats, settings and the host list."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

import anyio
import msgspec
import xxhash

from hawthornbridge.events import Event, emit
from hawthornbridge.freshness import quorum_of
from hawthornbridge.ids import DomainName, Generation, HostId, Incarnation, Seat
from hawthornbridge.messages import Heartbeat, MemberSummary, PendingChange
from hawthornbridge.outcomes import Reachability
from hawthornbridge.peers import Peers

__all__ = [
    "ConfigurationReport",
    "HostIdentity",
    "HostListSource",
    "HostListUnavailable",
    "ListState",
    "ListedHost",
    "Liveness",
    "Member",
    "Membership",
    "by_rendezvous",
]

NO_GENERATION = Generation(0)
HEARTBEAT_S = 0.5
SUSPECT_S = 1.5
LOST_S = 3.0
# A member's report is used for this long after the time that it is known not to precede.
HEARD_S = 2.0
# A lost member is forgotten after this time; its address is then only tried if another source names it.
FORGET_S = 60.0
HOST_LIST_S = 5.0
HOST_LIST_TIMEOUT_S = 2.0
FULL_MESH_HOSTS = 16
# A larger fleet is ordered on this many rings by hashing; a host has links to its two neighbours on each. Being a
# neighbour is mutual, which echoes need, and rings in independent orders keep the number of hops logarithmic.
RINGS = 6
# An echo takes 8 bytes, and a named member about 40. Names spread quickly enough with a few in each heartbeat; large
# fleets have more links, name fewer members on each, and keep the names for longer.
NAMED_MEMBERS = 3
NAMED_MEMBERS_SPARSE = 1
NAME_KEPT_S = 60.0
NAME_KEPT_SPARSE_S = 1_200.0
REMEMBERED_SEQUENCES = 64
# The ranking of thousands of hosts takes milliseconds, so it is kept for this time.
RANKING_S = 1.0


class Liveness(Enum):
    """State how recently a member was heard."""

    LIVE = "live"
    SUSPECT = "suspect"
    LOST = "lost"


class ListState(Enum):
    """State what the host list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Hold one line of the platform's host list, which lags."""

    host: HostId
    peer_address: str
    caller_address: str
    state: ListState


@dataclass(frozen=True, slots=True)
class HostListUnavailable:
    """Say that the host list could not be read."""

    detail: str


HostListOutcome: TypeAlias = list[ListedHost] | HostListUnavailable


class HostListSource(Protocol):
    """Read the platform's host list; the plug-in kind MEMBERSHIP_SOURCE."""

    async def hosts(self) -> HostListOutcome:
        """Return the hosts listed now."""


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Identify this host to others; incarnation is its start time in ns."""

    host: HostId
    incarnation: Incarnation
    seat: Seat
    seats: int
    address: str
    caller_address: str
    domain: DomainName
    region: str


@dataclass(frozen=True, slots=True)
class ConfigurationReport:
    """Hold what a heartbeat says of its sender's configuration."""

    generation: Generation = NO_GENERATION
    store_age_s: float | None = None
    store_generation: Generation = NO_GENERATION
    store_state: Reachability = Reachability.UNTRIED
    settled: bool = False
    proposing: Generation = NO_GENERATION
    pending: tuple[PendingChange, ...] = ()


@dataclass(frozen=True, slots=True)
class Member:
    """Hold the last heartbeat of another host.

    received_s is when it arrived. as_of_s is a time on this host's clock that certainly precedes its sending: the
    host had by then received a heartbeat that this host sent at as_of_s. It is None until the host has echoed one.
    """

    heartbeat: Heartbeat
    received_s: float
    as_of_s: float | None

    def liveness(self, now_s: float) -> Liveness:
        """Return how recently the member was heard."""
        silent_s = now_s - self.received_s
        if silent_s < SUSPECT_S:
            return Liveness.LIVE
        return Liveness.SUSPECT if silent_s < LOST_S else Liveness.LOST

    def is_heard(self, now_s: float) -> bool:
        """Return whether messages pass in both directions, as shown by a recent echo."""
        return self.as_of_s is not None and now_s - self.as_of_s <= HEARD_S


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _echo_key(address: str, incarnation: Incarnation) -> int:
    return xxhash.xxh32_intdigest(f"{address}/{incarnation}".encode())


def by_rendezvous(hosts: list[HostId], salt: str) -> list[HostId]:
    """Order hosts by rendezvous hashing."""
    return sorted(hosts, key=lambda host: (_hash(f"{salt}/{host}"), host), reverse=True)


@dataclass(frozen=True, slots=True)
class _Named:
    summary: MemberSummary
    named_s: float


_NEVER = _Named(MemberSummary(HostId(""), "", 0), float("-inf"))


class Membership:
    """Exchange heartbeats with other hosts and keep what they report."""

    def __init__(
        self,
        identity: HostIdentity,
        peers: Peers,
        known_addresses: tuple[str, ...] = (),
        host_list: HostListSource | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self.identity = identity
        self.leaving = False
        self.load: Callable[[], float] = lambda: 0.0
        self.in_flight: Callable[[], dict[DomainName, int]] = dict
        self.report: Callable[[], ConfigurationReport] = ConfigurationReport
        self.seat_conflict: HostId | None = None
        self.sequence = 0
        self._peers = peers
        self._echo_key = _echo_key(identity.address, identity.incarnation)
        self._known_addresses = frozenset(known_addresses)
        self._host_list = host_list
        self._random = generator or random.Random(identity.incarnation)
        self._members: dict[HostId, Member] = {}
        self._listed: dict[str, ListedHost] = {}
        self._named: dict[str, _Named] = {}
        self._cached_neighbours: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())
        self._cached_first: tuple[float, dict[str, bool]] = (float("-inf"), {})
        self._sent_s: dict[int, float] = {}
        self._liveness: dict[HostId, Liveness] = {}
        self._listeners: list[Callable[[Member], None]] = []
        peers.subscribe(Heartbeat, self._receive)

    @property
    def members(self) -> dict[HostId, Member]:
        """Return the other hosts by id, the lost ones included."""
        return dict(self._members)

    @property
    def live(self) -> list[Member]:
        """Return the other hosts that are not lost."""
        now = anyio.current_time()
        return [member for member in self._members.values() if member.liveness(now) is not Liveness.LOST]

    @property
    def leaving_members(self) -> list[Member]:
        """Return the other live hosts that leave, by their own word or by the host list."""
        listed = {host.host for host in self._listed.values() if host.state is ListState.LEAVING}
        return [member for member in self.live if member.heartbeat.leaving or member.heartbeat.host in listed]

    @property
    def heard(self) -> list[Member]:
        """Return the hosts heard in both directions."""
        now = anyio.current_time()
        return [member for member in self._members.values() if member.is_heard(now)]

    @property
    def heard_seats(self) -> int:
        """Return how many seats are heard, this host's own included."""
        return len({member.heartbeat.seat for member in self.heard} | {self.identity.seat})

    @property
    def hears_quorum(self) -> bool:
        """Return whether more than half of the seats are heard."""
        return self.heard_seats >= quorum_of(self.identity.seats)

    @property
    def is_sparse(self) -> bool:
        """Return whether this host has links to only some of the others."""
        return len(self._named) >= FULL_MESH_HOSTS

    @property
    def known_hosts(self) -> int:
        """Return how many hosts are known, this one included."""
        return max(len(self._members), len(self._named)) + 1

    @property
    def loads(self) -> dict[HostId, float]:
        """Return the load that each live host reports, this one included."""
        return {member.heartbeat.host: member.heartbeat.load for member in self.live} | {
            self.identity.host: self.load()
        }

    def listen(self, listener: Callable[[Member], None]) -> None:
        """Call the listener with each member that a heartbeat updates."""
        self._listeners.append(listener)

    def is_among_first(self, count: int, salt: str) -> bool:
        """Return whether this host is among the first of the live hosts by rendezvous hashing."""
        now = anyio.current_time()
        computed_s, found = self._cached_first
        if now - computed_s > RANKING_S or salt not in found:
            hosts = {member.heartbeat.host for member in self.live} | {self.identity.host}
            if self.is_sparse:
                # Most hosts are known only by name.
                hosts |= {named.summary.host for named in self._named.values()}
            found = {salt: self.identity.host in by_rendezvous(list(hosts), salt)[:count]}
            self._cached_first = (now, found)
        return found[salt]

    async def run(self) -> None:
        """Send heartbeats and follow the host list until cancelled."""
        async with anyio.create_task_group() as tasks:
            if self._host_list is not None:
                tasks.start_soon(self._follow_host_list, self._host_list)
            while True:
                self._check()
                self.beat()
                await anyio.sleep(HEARTBEAT_S * self._random.uniform(0.9, 1.0))

    def beat(self) -> None:
        """Send a heartbeat now."""
        now = anyio.current_time()
        self._peers.connect(self._neighbours())
        identity, report = self.identity, self.report()
        if report.store_state is Reachability.UNTRIED:
            # Others could not tell it from a store that is up, and would stop in an outage.
            return
        self.sequence += 1
        self._sent_s[self.sequence] = now
        self._sent_s.pop(self.sequence - REMEMBERED_SEQUENCES, None)
        self._peers.publish(
            Heartbeat(
                host=identity.host,
                incarnation=identity.incarnation,
                sequence=self.sequence,
                seat=identity.seat,
                address=identity.address,
                caller_address=identity.caller_address,
                domain=identity.domain,
                region=identity.region,
                generation=report.generation,
                # Rounded up, so that rounding never makes a contact look more recent.
                store_age_ms=None if report.store_age_s is None else int(report.store_age_s * 1_000) + 1,
                store_generation=report.store_generation,
                store_state=report.store_state,
                settled=report.settled,
                proposing=report.proposing,
                pending=report.pending,
                leaving=self.leaving,
                load=self.load(),
                in_flight=self.in_flight(),
                echoes={
                    _echo_key(member.heartbeat.address, member.heartbeat.incarnation): member.heartbeat.sequence
                    for member in self.live
                },
                members=self._summaries(now),
            )
        )

    def _receive(self, heartbeat: Heartbeat) -> None:
        now = anyio.current_time()
        if heartbeat.address == self.identity.address:
            return
        known = self._members.get(heartbeat.host)
        order = (heartbeat.incarnation, heartbeat.sequence)
        if known is not None and order <= (known.heartbeat.incarnation, known.heartbeat.sequence):
            return
        if not self._replace_address(heartbeat):
            return
        echoed = self._sent_s.get(heartbeat.echoes.get(self._echo_key, 0))
        as_of_s = echoed
        if known is not None and as_of_s is None and known.heartbeat.incarnation == heartbeat.incarnation:
            as_of_s = known.as_of_s
        member = self._members[heartbeat.host] = Member(heartbeat, now, as_of_s)
        for summary in heartbeat.members:
            if summary.address != self.identity.address:
                named_s = now - summary.age_ms / 1_000
                if named_s > self._named.get(summary.address, _NEVER).named_s:
                    self._named[summary.address] = _Named(summary, named_s)
        self._check_seat(heartbeat)
        # Reports without an echo may be old, for example those that waited while this host was paused.
        if echoed is not None:
            for listener in self._listeners:
                listener(member)

    def _replace_address(self, heartbeat: Heartbeat) -> bool:
        for other in list(self._members.values()):
            if other.heartbeat.host == heartbeat.host or other.heartbeat.address != heartbeat.address:
                continue
            if other.heartbeat.incarnation > heartbeat.incarnation:
                return False
            del self._members[other.heartbeat.host]
            self._liveness.pop(other.heartbeat.host, None)
            emit(Event.PEER_REPLACED, host=other.heartbeat.host, by=heartbeat.host, address=heartbeat.address)
        return True

    def _check_seat(self, heartbeat: Heartbeat) -> None:
        own = self.identity
        if heartbeat.seat != own.seat or heartbeat.incarnation < own.incarnation:
            return
        if self.seat_conflict != heartbeat.host:
            emit(Event.SEAT_CONFLICT, seat=own.seat, host=own.host, other=heartbeat.host, address=heartbeat.address)
        self.seat_conflict = heartbeat.host

    def _check(self) -> None:
        now = anyio.current_time()
        for host, member in list(self._members.items()):
            liveness = member.liveness(now)
            if liveness is not self._liveness.get(host):
                self._liveness[host] = liveness
                emit(Event.PEER_LIVENESS_CHANGED, host=host, liveness=liveness.value)
            if liveness is Liveness.LOST and host == self.seat_conflict:
                self.seat_conflict = None
            if now - member.received_s > FORGET_S:
                del self._members[host], self._liveness[host]
        kept_s = NAME_KEPT_SPARSE_S if self.is_sparse else NAME_KEPT_S
        self._named = {key: named for key, named in self._named.items() if now - named.named_s < kept_s}

    def _neighbours(self) -> frozenset[str]:
        sources = self._known_addresses | self._listed.keys()
        sources |= self._named.keys()
        sources |= {member.heartbeat.address for member in self._members.values()}
        addresses = sources - {self.identity.address}
        if len(addresses) < FULL_MESH_HOSTS:
            return addresses
        if addresses != self._cached_neighbours[0]:
            self._cached_neighbours = (addresses, self._ring_neighbours(addresses))
        # A host that has just started knows few others, so it hears from those that it knows.
        newcomers = {member.heartbeat.address for member in self.live if len(member.heartbeat.echoes) < RINGS}
        return self._cached_neighbours[1] | newcomers

    def _ring_neighbours(self, addresses: frozenset[str]) -> frozenset[str]:
        chosen: set[str] = set()
        for ring in range(RINGS):
            own = _hash(f"{ring}/{self.identity.address}")
            # The distance to the next host on the ring wraps around at 64 bits.
            ahead = {address: (_hash(f"{ring}/{address}") - own) % 2**64 for address in addresses}
            chosen |= {min(addresses, key=ahead.__getitem__), max(addresses, key=ahead.__getitem__)}
        return frozenset(chosen)

    def _summaries(self, now: float) -> tuple[MemberSummary, ...]:
        live = [
            MemberSummary(member.heartbeat.host, member.heartbeat.address, int((now - member.received_s) * 1_000))
            for member in self.live
        ]
        known = {summary.address for summary in live}
        named = [
            msgspec.structs.replace(named.summary, age_ms=int((now - named.named_s) * 1_000))
            for address, named in self._named.items()
            if address not in known
        ]
        count = NAMED_MEMBERS_SPARSE if self.is_sparse else NAMED_MEMBERS
        candidates = live + named
        return tuple(self._random.sample(candidates, min(len(candidates), count)))

    async def _follow_host_list(self, source: HostListSource) -> None:
        while True:
            outcome: HostListOutcome = HostListUnavailable("no answer in time")
            with anyio.move_on_after(HOST_LIST_TIMEOUT_S):
                outcome = await source.hosts()
            if isinstance(outcome, HostListUnavailable):
                emit(Event.HOST_LIST_UNAVAILABLE, detail=outcome.detail)
            else:
                self._listed = {host.peer_address: host for host in outcome}
            await anyio.sleep(HOST_LIST_S * self._random.uniform(0.8, 1.2))
