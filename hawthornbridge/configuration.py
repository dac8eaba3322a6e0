"""The host's copy of the configuration, kept up to date from the store and from peers."""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio
import msgspec
from anyio.abc import TaskGroup

from hawthornbridge.acceptance import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeNotAccepted,
    ChangeOutcome,
    ChangeUncertain,
    HostProgress,
    QuorumMissing,
)
from hawthornbridge.confighead import (
    ConfigurationKeys,
    ConfigurationState,
    HeadRead,
    Unreadable,
    decode_state,
    encode_state,
    needs_compaction,
)
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.events import Event, emit
from hawthornbridge.freshness import (
    FRESH_S,
    Contact,
    Fresh,
    HeardHost,
    OwnState,
    Pending,
    ServingState,
    quorum_of,
    serving_state,
)
from hawthornbridge.ids import Generation, HostId, Incarnation, OperationId, Seat
from hawthornbridge.membership import ConfigurationReport, Member, Membership
from hawthornbridge.messages import (
    PART_LIMIT_BYTES,
    BaseChunk,
    Entries,
    EntriesRequest,
    Heartbeat,
    PendingChange,
    Proposal,
    ProposalSeen,
)
from hawthornbridge.model import Catalogue, Change, ChangeRejectedError, Entry
from hawthornbridge.outcomes import Reachability
from hawthornbridge.peers import Peers
from hawthornbridge.store import ABSENT, Ambiguous, Applied, Conflict, Revision, Store, Unavailable

__all__ = ["Configuration"]

WATCHER_COUNT = 3
# A watcher waits this long for a change, then reads the head again: watches may lag, so only a read is a contact.
WATCH_WAIT_S = 0.4
READ_TIMEOUT_S = 0.3
RETRY_INTERVAL_S = 1.0
# Up to this many hosts each retry an unreachable store once a second; in larger fleets each host retries less often.
RETRY_SCALING_MIN_HOSTS = 500
# A host reads the store itself when the latest contact that it knows of is older than this.
CONTACT_AGE_LIMIT_S = 2.0
# When a peer reports the store unreachable, hosts try the store earlier, so that all have tried within FRESH_S.
CONTACT_AGE_LIMIT_IN_OUTAGE_S = 0.5
POLL_INTERVAL_S = 0.1
REQUEST_INTERVAL_S = 0.3
CHUNKS_PER_REQUEST = 16
RETAINED_ENTRIES = 256
RETAINED_CONTACTS = 32
PROPOSAL_ATTEMPTS = 24
PROPOSAL_READ_TIMEOUT_S = 2.0
ANNOUNCE_TIMEOUT_S = 0.6
ANNOUNCE_INTERVAL_S = 0.15
# A write whose answer was lost takes effect within this time or not at all.
LATE_WRITE_LIMIT_S = 5.0
READ_BACK_INTERVAL_S = 0.2
READ_BACK_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class _NotedProposal:
    """A change announced by another host, whose outcome this host does not know yet."""

    incarnation: Incarnation
    sequence: int
    generation: Generation
    noted_s: float

    def is_ended_by(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat of the proposer shows that the proposer knows the outcome."""
        ended = heartbeat.incarnation == self.incarnation and heartbeat.proposing == 0
        return ended and heartbeat.sequence > self.sequence


@dataclass
class _Announcement:
    """The change that this host has announced, and the seats that have confirmed the announcement."""

    generation: Generation
    seats: set[Seat]
    changed: anyio.Event


@dataclass
class _BaseTransfer:
    """The chunks received so far of a base that a peer sends."""

    generation: Generation
    count: int
    parts: list[bytes]


class Configuration:
    """The highest generation of the configuration that this host knows; proposes changes to the configuration."""

    def __init__(self, store: Store, membership: Membership, peers: Peers, rng: random.Random | None = None) -> None:
        self._keys = ConfigurationKeys(store)
        self._membership = membership
        self._peers = peers
        self._random = rng or random.Random(membership.identity.incarnation)
        self._started_s = anyio.current_time()
        self._state = ConfigurationState()
        self._log: deque[Entry] = deque(maxlen=RETAINED_ENTRIES)
        self._applied = anyio.Event()
        self._listeners: list[Callable[[Catalogue], None]] = []
        self._contacts: dict[Generation, float] = {}
        self._reachability = Reachability.UNTRIED
        self._revision = ABSENT
        self._contact_age_limit_s = CONTACT_AGE_LIMIT_S
        self._requested_s = float("-inf")
        self._base_transfer: _BaseTransfer | None = None
        self._served_base: tuple[Generation, bytes] = (Generation(0), b"")
        self._noted: dict[HostId, _NotedProposal] = {}
        self._announcement: _Announcement | None = None
        self._unsettled = Generation(0)
        self._unsettled_since_s = float("-inf")
        self._settled = False
        self._proposal_lock = anyio.Lock()
        self._tasks: TaskGroup | None = None
        self._serving: type[ServingState] | None = None
        self._store_behind = False
        membership.report = self._report
        membership.add_listener(self._hear)
        peers.subscribe(Entries, self._receive_entries)
        peers.subscribe(EntriesRequest, self._answer_request)
        peers.subscribe(BaseChunk, self._receive_chunk)
        peers.subscribe(Proposal, self._note_proposal)
        peers.subscribe(ProposalSeen, self._confirm_proposal)

    @property
    def catalogue(self) -> Catalogue:
        """Return the configuration in force on this host."""
        return self._state.catalogue

    @property
    def generation(self) -> Generation:
        """Return the highest generation that this host has applied."""
        return self._state.generation

    def add_listener(self, listener: Callable[[Catalogue], None]) -> None:
        """Call the listener with each new configuration."""
        self._listeners.append(listener)

    def may_serve(self) -> ServingState:
        """Return whether this host may start new work, with the reason."""
        now = anyio.current_time()
        contact = self._usable_contact()
        if contact is not None and self.generation and now - contact.at_s <= FRESH_S:
            state: ServingState = Fresh(now - contact.at_s)
        else:
            own = OwnState(self._own_report(), contact)
            state = serving_state(own, map(_heard, self._membership.heard), self._membership.identity.seats, now)
        if type(state) is not self._serving:
            self._serving = type(state)
            emit(Event.SERVING_CHANGED, serves=state.serves, reason=type(state).__name__)
        return state

    async def wait_for(self, generation: Generation) -> None:
        """Return once this host has applied the generation."""
        while self.generation < generation:
            await self._applied.wait()

    def progress(self) -> list[HostProgress]:
        """Return how far each known host is, this one included."""
        now = anyio.current_time()
        leaving = {member.heartbeat.host for member in self._membership.leaving_members}
        own = HostProgress(self._membership.identity.host, self.generation, 0.0, self._membership.leaving)
        return [own] + [
            HostProgress(host, member.heartbeat.generation, now - member.received_s, host in leaving)
            for host, member in self._membership.members.items()
        ]

    async def run(self) -> None:
        """Read and watch the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._follow_store()

    # Proposals

    async def propose(
        self, change: Change, expected: Generation, operation_id: OperationId, *, force: bool = False
    ) -> ChangeOutcome:
        """Accept a change if the entity it names is at the expected generation (0 to create it)."""
        async with self._proposal_lock:
            outcome: ChangeOutcome = ChangeUncertain("the call was cancelled before the outcome was known")
            try:
                outcome = await self._propose(change, expected, operation_id, force)
            finally:
                self._end_announcement(settled=not isinstance(outcome, ChangeUncertain))
                emit(Event.CHANGE_PROPOSED, operation=operation_id, outcome=type(outcome).__name__, forced=force)
        return outcome

    async def _propose(
        self, change: Change, expected: Generation, operation_id: OperationId, force: bool
    ) -> ChangeOutcome:
        if not force and not self._membership.hears_quorum:
            return self._quorum_missing(self._membership.heard_seats)
        uncertain = False
        for attempt in range(PROPOSAL_ATTEMPTS):
            read = await self._read_for_proposal(patient=uncertain)
            if not isinstance(read, HeadRead):
                detail = read.detail
                return ChangeUncertain(detail) if uncertain else ChangeNotAccepted(detail)
            repeated = self._state.accepted_as(operation_id)
            if repeated is not None:
                if not force and not await self._announce(repeated):
                    return ChangeUncertain(
                        "accepted, but too few hosts answer to confirm that the change will be in force"
                    )
                return ChangeAccepted(repeated, repeated=not uncertain, forced=force)
            entry = Entry(Generation(self.generation + 1), operation_id, change)
            refusal = self._check(entry, expected)
            if refusal is not None:
                return refusal
            if not force and not await self._announce(entry.generation):
                missing = self._quorum_missing(len(self._announcement.seats) if self._announcement else 1)
                return ChangeUncertain("too few hosts answer to repeat the write") if uncertain else missing
            asked_s = anyio.current_time()
            match await self._keys.write(read.head.append(entry), read.revision):
                case Applied(revision):
                    self._accept(entry, asked_s, revision)
                    return ChangeAccepted(entry.generation, repeated=False, forced=force)
                case Conflict():
                    await anyio.sleep(self._random.uniform(0.0, 0.01) * (attempt + 1))
                case Unavailable(detail):
                    return ChangeUncertain(detail) if uncertain else ChangeNotAccepted(detail)
                case Ambiguous():
                    uncertain = True
        detail = f"conflicts with other changes in {PROPOSAL_ATTEMPTS} attempts"
        return ChangeUncertain(detail) if uncertain else ChangeNotAccepted(detail)

    async def _read_for_proposal(self, *, patient: bool) -> HeadRead | Unavailable | Unreadable:
        for _ in range(READ_BACK_ATTEMPTS if patient else 1):
            before = self.generation
            read = await self._keys.read(PROPOSAL_READ_TIMEOUT_S)
            if isinstance(read, HeadRead):
                if read.head.generation < before:
                    return Unavailable(f"the store is at generation {read.head.generation}, this host at {before}")
                if await self._adopt_head(read, "proposal") and read.head.generation == self.generation:
                    return read
                read = Unavailable("the configuration changed while it was read")
            await anyio.sleep(READ_BACK_INTERVAL_S if patient else 0.0)
        return read

    def _check(self, entry: Entry, expected: Generation) -> ChangeConflict | ChangeInvalid | None:
        current = self.catalogue.generation_of(entry.change)
        if current != expected:
            winner = next((known for known in self._log if known.generation == current), None)
            return ChangeConflict(current, winner)
        if len(msgspec.msgpack.encode(entry)) > PART_LIMIT_BYTES:
            return ChangeInvalid("change", f"is larger than {PART_LIMIT_BYTES} bytes")
        try:
            self._state.apply(entry)
        except ChangeRejectedError as error:
            return ChangeInvalid(error.field, error.detail)
        return None

    def _quorum_missing(self, heard: int) -> QuorumMissing:
        return QuorumMissing(heard, quorum_of(self._membership.identity.seats))

    def _accept(self, entry: Entry, asked_s: float, revision: Revision) -> None:
        self._revision = max(self._revision, revision)
        self._adopt_entries([entry], "proposal")
        self._note_contact(Contact(asked_s, entry.generation))
        if self._tasks is not None:
            self._tasks.start_soon(self._compact)

    async def _announce(self, generation: Generation) -> bool:
        """Announce a write to the peers; return whether a quorum of seats confirmed the announcement.

        Any quorum that continues without the store then contains a host that knows of the write.
        """
        identity = self._membership.identity
        announcement = self._announcement = _Announcement(generation, {identity.seat}, anyio.Event())
        needed = quorum_of(identity.seats)
        message = Proposal(
            identity.host, identity.incarnation, identity.address, self._membership.sequence, generation
        )
        with anyio.move_on_after(ANNOUNCE_TIMEOUT_S):
            while len(announcement.seats) < needed:
                self._peers.publish(message)
                with anyio.move_on_after(ANNOUNCE_INTERVAL_S):
                    while len(announcement.seats) < needed:
                        announcement.changed = anyio.Event()
                        await announcement.changed.wait()
        return len(announcement.seats) >= needed

    def _end_announcement(self, *, settled: bool) -> None:
        announcement, self._announcement = self._announcement, None
        if announcement is None:
            return
        if settled:
            self._membership.send_heartbeat()
        else:
            self._unsettled = max(self._unsettled, announcement.generation)
            self._unsettled_since_s = anyio.current_time()

    def _settle(self) -> None:
        """Stop reporting an unsettled write once a read of the store shows its outcome."""
        overdue = anyio.current_time() - self._unsettled_since_s > LATE_WRITE_LIMIT_S
        if overdue or self.generation >= self._unsettled:
            self._unsettled = Generation(0)

    def _note_proposal(self, proposal: Proposal) -> None:
        known = self._noted.get(proposal.host)
        order = (proposal.incarnation, proposal.sequence, proposal.generation)
        if known is not None and order < (known.incarnation, known.sequence, known.generation):
            return
        # An earlier write of the same host may still have an unknown outcome, so the higher generation is kept.
        generation = max(proposal.generation, known.generation) if known is not None else proposal.generation
        self._noted[proposal.host] = _NotedProposal(
            proposal.incarnation, proposal.sequence, generation, anyio.current_time()
        )
        identity = self._membership.identity
        seen = ProposalSeen(identity.host, identity.seat, proposal.incarnation, proposal.generation)
        self._peers.send(proposal.address, seen)

    def _confirm_proposal(self, seen: ProposalSeen) -> None:
        announcement = self._announcement
        if announcement is None or seen.generation != announcement.generation:
            return
        if seen.proposer_incarnation == self._membership.identity.incarnation:
            announcement.seats.add(seen.seat)
            announcement.changed.set()

    def _forget_settled_proposals(self) -> None:
        contact = self._usable_contact()
        for host, noted in list(self._noted.items()):
            read_since = contact is not None and contact.at_s > noted.noted_s + LATE_WRITE_LIMIT_S
            if read_since or noted.generation <= self.generation:
                del self._noted[host]

    # Adoption

    async def _adopt_head(self, read: HeadRead, source: str) -> bool:
        head = read.head
        if head.generation > self.generation and head.base > self.generation:
            base = await self._keys.read_base(head)
            if isinstance(base, Unreadable):
                emit(Event.CONFIGURATION_UNREADABLE, detail=base.detail)
            if not isinstance(base, ConfigurationState):
                return False
            self._adopt_state(base, source)
        self._adopt_entries(head.entries, source)
        if self.generation >= head.generation:
            self._revision = max(self._revision, read.revision)
        return self.generation >= head.generation

    def _adopt_state(self, folded: ConfigurationState, source: str) -> None:
        if folded.generation <= self.generation:
            return
        self._state = folded
        self._log.clear()
        self._adopted(source)

    def _adopt_entries(self, entries: Iterable[Entry], source: str) -> None:
        adopted: list[Entry] = []
        for entry in entries:
            if entry.generation != self.generation + 1:
                continue
            try:
                self._state = self._state.apply(entry)
            except ChangeRejectedError as error:
                emit(Event.CONFIGURATION_UNREADABLE, detail=str(error), generation=entry.generation)
                break
            self._log.append(entry)
            adopted.append(entry)
        if not adopted:
            return
        if source != "peer" or self._membership.is_sparse:
            for part in _parts(adopted):
                self._peers.publish(Entries(self._membership.identity.host, part))
        self._adopted(source)

    def _adopted(self, source: str) -> None:
        emit(Event.CONFIGURATION_ADOPTED, generation=self.generation, source=source)
        self._applied.set()
        self._applied = anyio.Event()
        for listener in self._listeners:
            listener(self.catalogue)
        self._membership.send_heartbeat()

    # Store

    async def _follow_store(self) -> None:
        while True:
            if not self._reads_store():
                await anyio.sleep(self._random.uniform(0.5, 1.5) * POLL_INTERVAL_S)
                continue
            self._contact_age_limit_s = CONTACT_AGE_LIMIT_S * self._random.uniform(0.9, 1.1)
            reached = await self._read()
            if reached and self._membership.is_among_first(WATCHER_COUNT, "watchers"):
                await self._watch()
                continue
            scale = max(1.0, self._membership.known_hosts / RETRY_SCALING_MIN_HOSTS)
            await anyio.sleep(RETRY_INTERVAL_S * scale * self._random.uniform(0.8, 1.2))

    def _reads_store(self) -> bool:
        if self._reachability is Reachability.UNTRIED or self._membership.is_among_first(WATCHER_COUNT, "watchers"):
            return True
        contact = self._usable_contact()
        age_s = float("inf") if contact is None else anyio.current_time() - contact.at_s
        if age_s > self._contact_age_limit_s:
            return True
        return age_s > CONTACT_AGE_LIMIT_IN_OUTAGE_S and any(
            member.heartbeat.store_state is Reachability.UNREACHABLE for member in self._membership.heard
        )

    async def _read(self) -> bool:
        before = self.generation
        read = await self._keys.read(READ_TIMEOUT_S)
        if isinstance(read, Unreadable):
            emit(Event.CONFIGURATION_UNREADABLE, detail=read.detail)
        behind = isinstance(read, HeadRead) and read.head.generation < before
        if behind and not self._store_behind:
            emit(Event.STORE_BEHIND, generation=before)
        self._store_behind = behind
        reached = isinstance(read, HeadRead) and not behind and await self._adopt_head(read, "store")
        if reached:
            assert isinstance(read, HeadRead)
            self._note_contact(Contact(read.asked_s, read.head.generation))
            self._settle()
        state = Reachability.REACHABLE if reached else Reachability.UNREACHABLE
        if state is not self._reachability:
            self._reachability = state
            self._membership.send_heartbeat()
        return reached

    async def _watch(self) -> None:
        read = await self._keys.watch(self._revision, WATCH_WAIT_S * self._random.uniform(0.8, 1.0))
        if isinstance(read, HeadRead):
            await self._adopt_head(read, "store")

    async def _compact(self) -> None:
        read = await self._keys.read(PROPOSAL_READ_TIMEOUT_S)
        if isinstance(read, HeadRead) and needs_compaction(read) and await self._keys.compact(read, self._state):
            emit(Event.CONFIGURATION_COMPACTED, generation=read.head.generation)

    # Peers

    def _hear(self, member: Member) -> None:
        heartbeat = member.heartbeat
        if heartbeat.store_age_ms is not None and member.as_of_s is not None:
            at_s = member.as_of_s - heartbeat.store_age_ms / 1_000
            self._note_contact(Contact(at_s, heartbeat.store_generation))
        noted = self._noted.get(heartbeat.host)
        if noted is not None and noted.is_ended_by(heartbeat):
            del self._noted[heartbeat.host]
        if heartbeat.generation > self.generation:
            self._request(heartbeat.address)

    def _request(self, address: str) -> None:
        now = anyio.current_time()
        if now - self._requested_s < REQUEST_INTERVAL_S:
            return
        self._requested_s = now
        identity, transfer = self._membership.identity, self._base_transfer
        base, chunk = (transfer.generation, len(transfer.parts)) if transfer else (Generation(0), 0)
        self._peers.send(address, EntriesRequest(identity.host, identity.address, self.generation, base, chunk))

    def _answer_request(self, request: EntriesRequest) -> None:
        entries = [entry for entry in self._log if entry.generation > request.after]
        host = self._membership.identity.host
        if entries and entries[0].generation == request.after + 1:
            for part in _parts(entries):
                self._peers.send(request.address, Entries(host, part))
        elif request.after < self.generation:
            self._send_base(request)

    def _send_base(self, request: EntriesRequest) -> None:
        generation, data = self._served_base
        if generation <= request.after or request.base != generation:
            generation, data = self._served_base = (self.generation, encode_state(self._state))
        count = -(-len(data) // PART_LIMIT_BYTES)
        first = request.chunk if request.base == generation else 0
        identity = self._membership.identity
        for index in range(first, min(first + CHUNKS_PER_REQUEST, count)):
            part = data[index * PART_LIMIT_BYTES : (index + 1) * PART_LIMIT_BYTES]
            self._peers.send(
                request.address, BaseChunk(identity.host, identity.address, generation, index, count, part)
            )

    def _receive_entries(self, message: Entries) -> None:
        self._adopt_entries(message.entries, "peer")

    def _receive_chunk(self, chunk: BaseChunk) -> None:
        if chunk.generation <= self.generation:
            return
        if chunk.index == 0 and (self._base_transfer is None or self._base_transfer.generation < chunk.generation):
            self._base_transfer = _BaseTransfer(chunk.generation, chunk.count, [])
        transfer = self._base_transfer
        if transfer is None or (chunk.generation, chunk.index) != (transfer.generation, len(transfer.parts)):
            return
        transfer.parts.append(chunk.data)
        if len(transfer.parts) < transfer.count:
            if len(transfer.parts) % CHUNKS_PER_REQUEST == 0:
                self._requested_s = float("-inf")
                self._request(chunk.address)
            return
        self._base_transfer = None
        try:
            self._adopt_state(decode_state(b"".join(transfer.parts)), "peer")
        except DECODE_ERRORS as error:
            emit(Event.CONFIGURATION_UNREADABLE, detail=str(error))

    # Freshness

    def _note_contact(self, contact: Contact) -> None:
        known_s = self._contacts.get(contact.generation, float("-inf"))
        self._contacts[contact.generation] = max(known_s, contact.at_s)
        if len(self._contacts) > RETAINED_CONTACTS:
            del self._contacts[min(self._contacts)]

    def _usable_contact(self) -> Contact | None:
        """Return the latest contact with the store whose generation this host has applied."""
        usable = [(at_s, generation) for generation, at_s in self._contacts.items() if generation <= self.generation]
        return Contact(*max(usable)) if usable else None

    def _own_report(self) -> HeardHost:
        self._forget_settled_proposals()
        contact = self._usable_contact()
        self._settled = self._settled or (contact is not None and contact.at_s >= self._started_s + LATE_WRITE_LIMIT_S)
        pending = tuple(Pending(host, noted.generation) for host, noted in self._noted.items())
        identity = self._membership.identity
        return HeardHost(identity.host, identity.seat, self.generation, self._reachability, self._settled, pending)

    def _report(self) -> ConfigurationReport:
        own = self._own_report()
        contact = self._usable_contact()
        return ConfigurationReport(
            generation=self.generation,
            store_age_s=None if contact is None else anyio.current_time() - contact.at_s,
            store_generation=Generation(0) if contact is None else contact.generation,
            store_state=own.store_state,
            settled=own.settled,
            proposing=max(self._unsettled, self._announcement.generation if self._announcement else Generation(0)),
            pending=tuple(PendingChange(pending.proposer, pending.generation) for pending in own.pending),
        )


def _heard(member: Member) -> HeardHost:
    heartbeat = member.heartbeat
    pending = tuple(Pending(change.proposer, change.generation) for change in heartbeat.pending)
    return HeardHost(
        heartbeat.host, heartbeat.seat, heartbeat.generation, heartbeat.store_state, heartbeat.settled, pending
    )


def _parts(entries: Iterable[Entry]) -> Iterable[tuple[Entry, ...]]:
    part: list[Entry] = []
    size = 0
    for entry in entries:
        length = len(msgspec.msgpack.encode(entry))
        if part and size + length > PART_LIMIT_BYTES:
            yield tuple(part)
            part, size = [], 0
        part.append(entry)
        size += length
    if part:
        yield tuple(part)
