"""Membership of the fleet: live and leaving hosts, from heartbeats, settings and the host list."""

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
    "sort_by_rendezvous_hash",
]

NO_GENERATION = Generation(0)
HEARTBEAT_INTERVAL_S = 0.5
SUSPECT_TIMEOUT_S = 1.5
LOST_TIMEOUT_S = 3.0
# A member counts as heard for this time after Member.as_of_s, a time that certainly precedes its last report.
HEARD_WINDOW_S = 2.0
# A silent member is removed after this time; its address is then tried only if another source lists it.
MEMBER_RETENTION_S = 60.0
HOST_LIST_INTERVAL_S = 5.0
HOST_LIST_TIMEOUT_S = 2.0
FULL_MESH_LIMIT_HOSTS = 16
# A larger fleet is ordered by hashing on this many rings, and a host has links to its two neighbours on each ring.
# Echoes need links in both directions, and neighbours on a ring have them. Rings with independent orders keep the
# number of hops between two hosts logarithmic.
RINGS = 6
# An echo takes 8 bytes of a heartbeat, a member summary about 40. A few summaries per heartbeat spread addresses
# quickly enough. A large fleet has more links, so its heartbeats carry fewer summaries, which are kept for longer.
SUMMARIES_PER_HEARTBEAT = 3
SUMMARIES_PER_HEARTBEAT_SPARSE = 1
SUMMARY_RETENTION_S = 60.0
SUMMARY_RETENTION_SPARSE_S = 1_200.0
SENT_HEARTBEAT_WINDOW = 64
# Ranking thousands of hosts takes milliseconds, so a ranking is cached for this time.
RANKING_CACHE_TIMEOUT_S = 1.0


class Liveness(Enum):
    """Classify members by the time since their last heartbeat."""

    LIVE = "live"
    SUSPECT = "suspect"
    LOST = "lost"


class ListState(Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One entry of the platform's host list, which may be out of date."""

    host: HostId
    peer_address: str
    caller_address: str
    state: ListState


@dataclass(frozen=True, slots=True)
class HostListUnavailable:
    """Outcome of a failed read of the host list."""

    detail: str


HostListOutcome: TypeAlias = list[ListedHost] | HostListUnavailable


class HostListSource(Protocol):
    """Source of the platform's host list; the plug-in kind MEMBERSHIP_SOURCE."""

    async def hosts(self) -> HostListOutcome:
        """Return the hosts listed now."""


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Identity of this host as other hosts see it; incarnation is its start time in ns."""

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
    """Part of a heartbeat that describes the configuration of its sender."""

    generation: Generation = NO_GENERATION
    store_age_s: float | None = None
    store_generation: Generation = NO_GENERATION
    store_state: Reachability = Reachability.UNTRIED
    settled: bool = False
    proposing: Generation = NO_GENERATION
    pending: tuple[PendingChange, ...] = ()


@dataclass(frozen=True, slots=True)
class Member:
    """Last heartbeat of another host, and the times that tell how recent it is.

    received_s is the time at which the heartbeat arrived. as_of_s is the time, on this host's clock, at which this
    host sent the last heartbeat that the other host has echoed; the other host's heartbeat was certainly sent later.
    as_of_s is None until the other host has echoed a heartbeat.
    """

    heartbeat: Heartbeat
    received_s: float
    as_of_s: float | None

    def liveness(self, now_s: float) -> Liveness:
        """Classify the time since the last heartbeat arrived."""
        silent_s = now_s - self.received_s
        if silent_s < SUSPECT_TIMEOUT_S:
            return Liveness.LIVE
        return Liveness.SUSPECT if silent_s < LOST_TIMEOUT_S else Liveness.LOST

    def is_heard(self, now_s: float) -> bool:
        """Return whether messages pass in both directions, as shown by a recent echo."""
        return self.as_of_s is not None and now_s - self.as_of_s <= HEARD_WINDOW_S


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _echo_key(address: str, incarnation: Incarnation) -> int:
    return xxhash.xxh32_intdigest(f"{address}/{incarnation}".encode())


def sort_by_rendezvous_hash(hosts: list[HostId], salt: str) -> list[HostId]:
    """Order hosts by rendezvous hashing."""
    return sorted(hosts, key=lambda host: (_hash(f"{salt}/{host}"), host), reverse=True)


@dataclass(frozen=True, slots=True)
class _ReportedMember:
    summary: MemberSummary
    last_heard_s: float


_NEVER_REPORTED = _ReportedMember(MemberSummary(HostId(""), "", 0), float("-inf"))


class Membership:
    """Heartbeats with other hosts, and the members that they report."""

    def __init__(
        self,
        identity: HostIdentity,
        peers: Peers,
        known_addresses: tuple[str, ...] = (),
        host_list: HostListSource | None = None,
        rng: random.Random | None = None,
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
        self._random = rng or random.Random(identity.incarnation)
        self._members: dict[HostId, Member] = {}
        self._listed: dict[str, ListedHost] = {}
        self._reported: dict[str, _ReportedMember] = {}
        self._cached_neighbours: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())
        self._cached_ranking: tuple[float, dict[str, bool]] = (float("-inf"), {})
        self._sent_s: dict[int, float] = {}
        self._liveness: dict[HostId, Liveness] = {}
        self._listeners: list[Callable[[Member], None]] = []
        peers.subscribe(Heartbeat, self._receive)

    @property
    def members(self) -> dict[HostId, Member]:
        """Return the other hosts by id, including lost ones."""
        return dict(self._members)

    @property
    def live(self) -> list[Member]:
        """Return the other hosts that are not lost."""
        now = anyio.current_time()
        return [member for member in self._members.values() if member.liveness(now) is not Liveness.LOST]

    @property
    def leaving_members(self) -> list[Member]:
        """Return the other live hosts that leave, according to their heartbeats or the host list."""
        listed = {host.host for host in self._listed.values() if host.state is ListState.LEAVING}
        return [member for member in self.live if member.heartbeat.leaving or member.heartbeat.host in listed]

    @property
    def heard(self) -> list[Member]:
        """Return the hosts heard in both directions."""
        now = anyio.current_time()
        return [member for member in self._members.values() if member.is_heard(now)]

    @property
    def heard_seats(self) -> int:
        """Return the number of heard seats, including this host's own."""
        return len({member.heartbeat.seat for member in self.heard} | {self.identity.seat})

    @property
    def hears_quorum(self) -> bool:
        """Return whether more than half of the seats are heard."""
        return self.heard_seats >= quorum_of(self.identity.seats)

    @property
    def is_sparse(self) -> bool:
        """Return whether this host has links to only some of the others."""
        return len(self._reported) >= FULL_MESH_LIMIT_HOSTS

    @property
    def known_hosts(self) -> int:
        """Return the number of known hosts, including this one."""
        return max(len(self._members), len(self._reported)) + 1

    @property
    def loads(self) -> dict[HostId, float]:
        """Return the load that each live host reports, including this one."""
        return {member.heartbeat.host: member.heartbeat.load for member in self.live} | {
            self.identity.host: self.load()
        }

    def add_listener(self, listener: Callable[[Member], None]) -> None:
        """Call the listener with each member that a heartbeat updates."""
        self._listeners.append(listener)

    def is_among_first(self, count: int, salt: str) -> bool:
        """Return whether this host is among the first count live hosts in rendezvous order."""
        now = anyio.current_time()
        computed_s, found = self._cached_ranking
        if now - computed_s > RANKING_CACHE_TIMEOUT_S or salt not in found:
            hosts = {member.heartbeat.host for member in self.live} | {self.identity.host}
            if self.is_sparse:
                # In a sparse mesh, most hosts are known only from the summaries in heartbeats.
                hosts |= {named.summary.host for named in self._reported.values()}
            found = {salt: self.identity.host in sort_by_rendezvous_hash(list(hosts), salt)[:count]}
            self._cached_ranking = (now, found)
        return found[salt]

    async def run(self) -> None:
        """Send heartbeats and follow the host list until cancelled."""
        async with anyio.create_task_group() as tasks:
            if self._host_list is not None:
                tasks.start_soon(self._follow_host_list, self._host_list)
            while True:
                self._update_liveness()
                self.send_heartbeat()
                await anyio.sleep(HEARTBEAT_INTERVAL_S * self._random.uniform(0.9, 1.0))

    def send_heartbeat(self) -> None:
        """Send a heartbeat now."""
        now = anyio.current_time()
        self._peers.connect(self._neighbours())
        identity, report = self.identity, self.report()
        if report.store_state is Reachability.UNTRIED:
            # Other hosts could not tell an untried store from a reachable one, and would stop serving in an outage.
            return
        self.sequence += 1
        self._sent_s[self.sequence] = now
        self._sent_s.pop(self.sequence - SENT_HEARTBEAT_WINDOW, None)
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
                # Rounded up, so that rounding never makes a contact with the store look more recent.
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
        if not self._drop_replaced_member(heartbeat):
            return
        echoed = self._sent_s.get(heartbeat.echoes.get(self._echo_key, 0))
        as_of_s = echoed
        if known is not None and as_of_s is None and known.heartbeat.incarnation == heartbeat.incarnation:
            as_of_s = known.as_of_s
        member = self._members[heartbeat.host] = Member(heartbeat, now, as_of_s)
        for summary in heartbeat.members:
            if summary.address != self.identity.address:
                last_heard_s = now - summary.age_ms / 1_000
                if last_heard_s > self._reported.get(summary.address, _NEVER_REPORTED).last_heard_s:
                    self._reported[summary.address] = _ReportedMember(summary, last_heard_s)
        self._detect_seat_conflict(heartbeat)
        # A heartbeat without an echo may be old, for example if it was queued while this host was paused.
        if echoed is not None:
            for listener in self._listeners:
                listener(member)

    def _drop_replaced_member(self, heartbeat: Heartbeat) -> bool:
        for other in list(self._members.values()):
            if other.heartbeat.host == heartbeat.host or other.heartbeat.address != heartbeat.address:
                continue
            if other.heartbeat.incarnation > heartbeat.incarnation:
                return False
            del self._members[other.heartbeat.host]
            self._liveness.pop(other.heartbeat.host, None)
            emit(Event.PEER_REPLACED, host=other.heartbeat.host, by=heartbeat.host, address=heartbeat.address)
        return True

    def _detect_seat_conflict(self, heartbeat: Heartbeat) -> None:
        own = self.identity
        if heartbeat.seat != own.seat or heartbeat.incarnation < own.incarnation:
            return
        if self.seat_conflict != heartbeat.host:
            emit(Event.SEAT_CONFLICT, seat=own.seat, host=own.host, other=heartbeat.host, address=heartbeat.address)
        self.seat_conflict = heartbeat.host

    def _update_liveness(self) -> None:
        now = anyio.current_time()
        for host, member in list(self._members.items()):
            liveness = member.liveness(now)
            if liveness is not self._liveness.get(host):
                self._liveness[host] = liveness
                emit(Event.PEER_LIVENESS_CHANGED, host=host, liveness=liveness.value)
            if liveness is Liveness.LOST and host == self.seat_conflict:
                self.seat_conflict = None
            if now - member.received_s > MEMBER_RETENTION_S:
                del self._members[host], self._liveness[host]
        kept_s = SUMMARY_RETENTION_SPARSE_S if self.is_sparse else SUMMARY_RETENTION_S
        self._reported = {key: named for key, named in self._reported.items() if now - named.last_heard_s < kept_s}

    def _neighbours(self) -> frozenset[str]:
        sources = self._known_addresses | self._listed.keys()
        sources |= self._reported.keys()
        sources |= {member.heartbeat.address for member in self._members.values()}
        addresses = sources - {self.identity.address}
        if len(addresses) < FULL_MESH_LIMIT_HOSTS:
            return addresses
        if addresses != self._cached_neighbours[0]:
            self._cached_neighbours = (addresses, self._ring_neighbours(addresses))
        # A host that has just started knows few others, so the hosts that it knows also connect to it.
        new_hosts = {member.heartbeat.address for member in self.live if len(member.heartbeat.echoes) < RINGS}
        return self._cached_neighbours[1] | new_hosts

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
            msgspec.structs.replace(named.summary, age_ms=int((now - named.last_heard_s) * 1_000))
            for address, named in self._reported.items()
            if address not in known
        ]
        count = SUMMARIES_PER_HEARTBEAT_SPARSE if self.is_sparse else SUMMARIES_PER_HEARTBEAT
        candidates = live + named
        return tuple(self._random.sample(candidates, min(len(candidates), count)))

    async def _follow_host_list(self, source: HostListSource) -> None:
        while True:
            outcome: HostListOutcome = HostListUnavailable("no response within the timeout")
            with anyio.move_on_after(HOST_LIST_TIMEOUT_S):
                outcome = await source.hosts()
            if isinstance(outcome, HostListUnavailable):
                emit(Event.HOST_LIST_UNAVAILABLE, detail=outcome.detail)
            else:
                self._listed = {host.peer_address: host for host in outcome}
            await anyio.sleep(HOST_LIST_INTERVAL_S * self._random.uniform(0.8, 1.2))
