"""Exchange of copies of the store's keys between hosts.

A few hosts watch the store and the others follow these hosts, because a watch by every host would multiply the calls
to the store. A host that gets no answer from the store takes a copy from any other host. Requests use the existing
HTTP listener and client, because a separate socket library would cost each process memory and one more listener.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf
from urllib.parse import parse_qs

import anyio
import msgspec

from hawthornbridge.callers import Receive, Scope, Send
from hawthornbridge.clocks import boot_time_s
from hawthornbridge.decimals import parse_decimal
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.events import Event, emit
from hawthornbridge.gateway import send_answer
from hawthornbridge.httpconnection import Reply, connect
from hawthornbridge.mirror import Mirror
from hawthornbridge.replymemory import STORE_REPLY_LIMITS
from hawthornbridge.store import ABSENT, Found, Key, Revision, Unavailable
from hawthornbridge.storecopies import Changes, HeldKey, HistoryGone, Removed, Snapshot, WatchableStore, WatchOutcome
from hawthornbridge.subrequests import UpstreamFailure

__all__ = ["FollowedStore", "PeerSnapshots", "SnapshotApp"]

REQUEST_TIMEOUT_S = 0.4
# Additional time for a copy whose transfer has started, beyond the time for its first bytes.
TRANSFER_TIMEOUT_S = 1.0
# Further peers are only asked after the next failed call to the store.
MAX_PEERS_PER_ROUND = 2
# A host with an older copy has lost the store, and hosts that follow it switch to another one. A watch of the store is
# answered within 1.5 s, and a slow store answers about 0.3 s late.
MAX_COPY_AGE_S = 2.0
WAKE_MARGIN_S = 0.01
# How long this host watches the store itself after it found no host with a recent copy.
STORE_FALLBACK_S = 2.0
# Delay between two watches meanwhile, of a host that should follow another. Many such hosts watch the store at once
# while hosts can't reach each other, and changes mostly arrive in bursts.
FALLBACK_WATCH_DELAY_S = 0.6
# When no host has a recent copy, the others ask again for as long as their own copies may be old, because these hosts
# mostly have recent copies soon, and the store would be read by the whole fleet at once.
REJOIN_INTERVAL_S = 0.3
# Time kept for reading the store, of the time in which a change has to be followed.
STORE_READ_RESERVE_S = 1.0
INCARNATION_BITS = 53
STATUS_NOTHING_NEWER = 204
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404


class _Value(msgspec.Struct, array_like=True):
    key: Key
    value: bytes
    revision: int
    # Remaining grace period of a key that the store has removed after an outage; otherwise None.
    held_s: float | None = None
    # Era of the revision; None from a host that knows none, and in the era of the message.
    era: int | None = None
    # Whether the sender has taken the value from the copy of a store that had returned, later than its revision.
    is_taken: bool = False


class _Message(msgspec.Struct):
    revision: int
    # Number of changes that the sender has reported; the next request continues from there.
    cursor: int
    age_s: float
    values: list[_Value]
    removed: list[tuple[Key, int]] = []
    # Keys that have not changed after the requested revision, so the requesting host has their values.
    unchanged: list[Key] = []
    # The start of the sender's process; a cursor counts changes since then and says nothing to another incarnation.
    incarnation: int = 0
    # Time for which keys that the copy lacks may still be written again, after a lapse of their leases in an outage.
    grace_s: float = 0.0
    # When the copy was surely current, in s after the request for it arrived, mostly negative; None if it is unknown.
    # The requesting host adds the time at which it sent the request, so that no delay makes the copy look newer.
    confirmed_after_s: float | None = None
    # The same on the sender's clock in ms, for the next request.
    confirmed_ms: int = 0
    # Era of the store; None from a host that knows no eras.
    era: int | None = None
    # What the store holds instead of the values of earlier eras.
    stored: list[_Value] = []


_decoder = msgspec.msgpack.Decoder(_Message)


@dataclass(frozen=True, slots=True)
class _Copy:
    """Message of another host, and the time on this host's clock up to which it surely reflects the store."""

    message: _Message
    revision: Revision
    confirmed_s: float

    def snapshot(self) -> Snapshot:
        message = self.message
        values = tuple(_found(each, self.revision) for each in message.values)
        held = tuple(HeldKey(Key(each.key), each.held_s) for each in message.values if each.held_s is not None)
        unchanged = tuple(message.unchanged)
        stored = tuple(_found(each, self.revision) for each in message.stored)
        return Snapshot(
            values, self.revision, held, message.age_s, unchanged, message.grace_s, self.confirmed_s, stored
        )


class SnapshotApp:
    """ASGI application that sends this host's copy of the store's keys to other hosts."""

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        self._incarnation = random.getrandbits(INCARNATION_BITS)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the copy if it is newer than a revision, or wait for the next changes."""
        arrived_s = self._mirror.now_s
        query = _numbers(scope["query_string"])
        if query is None:
            await send_answer(send, STATUS_BAD_REQUEST, [], b"")
            return
        known_ms = query.get("confirmed")
        # A host that knows no eras asks without one.
        after = Revision(query.get("after", 0), query.get("era", self._mirror.era))
        match scope["path"]:
            case "/snapshot":
                message = self._newer(after, known_ms)
            case "/joining":
                # Hosts ask again until there is a recent copy, so one that is too old to be followed is not sent.
                message = self._copy(after) if self._mirror.age_s <= MAX_COPY_AGE_S else None
            case "/changes":
                is_known = query.get("incarnation") == self._incarnation
                wait_s = query.get("wait_ms", 0) / 1_000
                message = await self._changes(query.get("cursor", 0), wait_s, known_ms) if is_known else None
            case _:
                await send_answer(send, STATUS_NOT_FOUND, [], b"")
                return
        if message is None:
            await send_answer(send, STATUS_NOTHING_NEWER, [], b"")
            return
        if self._mirror.confirmed_s > -inf:
            message.confirmed_after_s = self._mirror.confirmed_s - arrived_s
            message.confirmed_ms = self._confirmed_ms()
        await send_answer(send, 200, [], msgspec.msgpack.encode(message))

    def _confirmed_ms(self) -> int:
        return int(self._mirror.confirmed_s * 1_000) if self._mirror.confirmed_s > -inf else 0

    def _newer(self, after: Revision, known_ms: int | None) -> _Message | None:
        """Return the copy if it is newer; if it is not, only its age, and that only if it was asked for."""
        snapshot = self._mirror.snapshot()
        if snapshot is None or snapshot.revision > after:
            return self._copy(after)
        if known_ms is None:
            return None
        revision = snapshot.revision
        return _Message(revision.number, self._mirror.cursor, snapshot.age_s, [], era=revision.era)

    def _copy(self, after: Revision) -> _Message | None:
        """Return the copy without the values of keys that have not changed after a revision."""
        snapshot = self._mirror.snapshot()
        if snapshot is None:
            return None
        held = {each.key: each.left_s for each in snapshot.held}
        values, unchanged = [], []
        for each in snapshot.values:
            is_kept = each.revision.era < snapshot.revision.era
            if each.revision > after or each.key in held or is_kept or each.taken is not None:
                values.append(_value(each, snapshot.revision, held.get(each.key)))
            else:
                unchanged.append(each.key)
        return _Message(
            snapshot.revision.number,
            self._mirror.cursor,
            snapshot.age_s,
            values,
            unchanged=unchanged,
            incarnation=self._incarnation,
            grace_s=snapshot.grace_s,
            era=snapshot.revision.era,
            stored=[_value(each, snapshot.revision) for each in snapshot.stored],
        )

    async def _changes(self, cursor: int, wait_s: float, known_ms: int | None) -> _Message | None:
        """Return the changes after a cursor; wait for them at most until this copy is too old to be followed.

        A host that says up to when it knows its copy to be current also gets each later confirmation.
        """
        deadline_s = anyio.current_time() + wait_s
        while self._mirror.cursor == cursor and (known_ms is None or self._confirmed_ms() <= known_ms):
            left_s = min(deadline_s - anyio.current_time(), MAX_COPY_AGE_S - self._mirror.age_s)
            if left_s <= 0:
                break
            with anyio.move_on_after(left_s + WAKE_MARGIN_S):
                await self._mirror.wait_change()
        match self._mirror.changes_after(cursor):
            case HistoryGone():
                return None
            case Changes(events, revision, age_s):
                found = [event for event in events if isinstance(event, Found)]
                removed = [event for event in events if isinstance(event, Removed)]
                return _Message(
                    revision.number,
                    self._mirror.cursor,
                    age_s,
                    [_value(each, revision) for each in _without_removed(found, removed)],
                    [(each.key, each.revision.number) for each in _without_rewritten(removed, found)],
                    incarnation=self._incarnation,
                    era=revision.era,
                )


class PeerSnapshots:
    """Client that takes copies of the store's keys from other hosts and follows one of them."""

    def __init__(
        self,
        peers: Callable[[], Sequence[str]],
        readers: Callable[[], Sequence[str]],
        rng: random.Random | None = None,
        clock: Callable[[], float] = boot_time_s,
        asks_confirmations: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a client; the clock counts suspensions, asks_confirmations tells whether copies have to be recent."""
        self._clock = clock
        self._asks_confirmations = asks_confirmations
        self._confirmed_ms = 0
        self._peers = peers
        self._readers = readers
        self._random = rng or random.Random()
        self._source: str | None = None
        self._cursor = 0
        self._incarnation = 0

    async def newer_than(self, revision: Revision) -> Snapshot | None:
        """Return the newest copy that a random few of the peers have, or None if none is newer than the revision.

        A single peer may have lost the store long ago, so that its copy still has keys that were removed since.
        """
        peers = self._peers()
        copies: dict[str, _Copy] = {}
        target = f"/snapshot?after={revision.number}&era={revision.era}"
        if self._asks_confirmations():
            target += "&confirmed=0"

        async def fetch(address: str) -> None:
            copy = await self._fetch(address, target, REQUEST_TIMEOUT_S, revision)
            if copy is not None:
                copies[address] = copy

        async with anyio.create_task_group() as tasks:
            for address in self._random.sample(peers, min(MAX_PEERS_PER_ROUND, len(peers))):
                tasks.start_soon(fetch, address)
        if not copies:
            return None
        newest = max(copies, key=lambda address: (copies[address].revision, copies[address].confirmed_s))
        taken = copies[newest].revision
        if taken > revision:
            emit(Event.PEER_SNAPSHOT_TAKEN, peer=newest, revision=taken.number, before=revision.number)
        return copies[newest].snapshot()

    async def join(self, after: Revision, *, only_nearest: bool = False) -> Snapshot | Unavailable:
        """Read a copy from a host that watches the store, with the values after a revision, and follow that host."""
        # The nearest host comes first, so that copies do not cross failure domains without need.
        nearest, *others = self._readers() or [""]
        candidates = [nearest, *self._random.sample(others, len(others))] if nearest else []
        for address in candidates[: 1 if only_nearest else MAX_PEERS_PER_ROUND]:
            target = f"/joining?after={after.number}&era={after.era}"
            copy = await self._fetch(address, target, REQUEST_TIMEOUT_S, after)
            if copy is not None and copy.message.age_s <= MAX_COPY_AGE_S and copy.revision.era >= after.era:
                self._source, self._cursor = address, copy.message.cursor
                self._incarnation = copy.message.incarnation
                self._confirmed_ms = copy.message.confirmed_ms
                return copy.snapshot()
        self._source = None
        return Unavailable("no host that watches the store has a recent copy")

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> Changes | HistoryGone | Unavailable:
        """Wait for the next changes of the host that this one follows."""
        if self._source is None or self._source not in self._readers():
            return HistoryGone()
        wait_ms = int(wait_s * 1_000)
        target = f"/changes?cursor={self._cursor}&incarnation={self._incarnation}&wait_ms={wait_ms}"
        if self._asks_confirmations():
            target += f"&confirmed={self._confirmed_ms}"
        copy = await self._fetch(self._source, target, wait_s + REQUEST_TIMEOUT_S, after)
        if copy is None or copy.message.age_s > MAX_COPY_AGE_S:
            return HistoryGone()
        message = copy.message
        revision = copy.revision
        if revision.era != after.era:
            # The first copy of an era is compared with what this host knows, so all of it is needed.
            return HistoryGone()
        self._cursor, self._confirmed_ms = message.cursor, message.confirmed_ms
        found = (_found(each, revision) for each in message.values)
        removed = (Removed(Key(key), revision) for key, _ in message.removed)
        return Changes((*found, *removed), revision, message.age_s, 0.0, copy.confirmed_s)

    async def _fetch(self, address: str, target: str, timeout_s: float, asked: Revision) -> "_Copy | None":
        sent_s = self._clock()
        message = await _fetch(address, target, timeout_s)
        if message is None:
            return None
        confirmed_s = -inf if message.confirmed_after_s is None else sent_s + message.confirmed_after_s
        return _Copy(message, _revision(message, asked), confirmed_s)


class FollowedStore:
    """Store access that reads the store itself or follows another host, depending on the host list."""

    def __init__(
        self,
        store: WatchableStore,
        peers: PeerSnapshots,
        reads_store: Callable[[], bool],
        change_s: float = 0.0,
        first_wait_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create the access; first_wait_s says how long other hosts are asked for all keys before the store is."""
        self._first_wait_s = first_wait_s
        self._store = store
        self._peers = peers
        self._max_wait_s = max(0.0, change_s - MAX_COPY_AGE_S - STORE_READ_RESERVE_S)
        self._reads_store = reads_store
        self._follows_peer = False
        self._store_fallback_until_s = -inf
        self._store_watched_s = -inf

    async def read_all(self, prefix: Key) -> Snapshot | Unavailable:
        """Read every key below a prefix; read the store itself if no host has a recent copy."""
        if self._should_follow_peer():
            snapshot = await self._join(ABSENT)
            if snapshot is not None:
                return snapshot
        self._follows_peer = False
        return await self._store.read_all(prefix)

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait for a change, or switch the source; a new host to follow sends what is newer than the revision.

        Switching from another host to the store returns HistoryGone, which causes a new read: the other host may have
        held keys that the store had already removed, and a watch of the store would not report these removals.
        """
        if not self._should_follow_peer():
            return HistoryGone() if self._follows_peer else await self._watch_store(prefix, after, wait_s)
        if self._follows_peer:
            outcome = await self._peers.watch_prefix(prefix, after, wait_s)
            if not isinstance(outcome, HistoryGone):
                return outcome
        snapshot = await self._join(after)
        if snapshot is not None:
            return snapshot
        # Continuing the watch avoids a second full read by every host when many hosts start at the same time.
        return HistoryGone() if self._follows_peer else await self._watch_store(prefix, after, wait_s)

    async def _watch_store(self, prefix: Key, after: Revision, wait_s: float) -> WatchOutcome:
        if not self._reads_store():
            await anyio.sleep_until(self._store_watched_s + FALLBACK_WATCH_DELAY_S)
        outcome = await self._store.watch_prefix(prefix, after, wait_s)
        self._store_watched_s = anyio.current_time()
        return outcome

    def _should_follow_peer(self) -> bool:
        return not self._reads_store() and anyio.current_time() >= self._store_fallback_until_s

    async def _join(self, after: Revision) -> Snapshot | None:
        snapshot = await self._peers.join(after)
        # Only a host that has lost those it followed waits; one that comes from the store goes on with the store.
        wait_s = random.uniform(0.5, 1.0) * self._max_wait_s if self._follows_peer and after != ABSENT else 0.0
        if after == ABSENT:
            wait_s = self._first_wait_s()
        deadline_s = anyio.current_time() + wait_s
        while isinstance(snapshot, Unavailable) and anyio.current_time() < deadline_s:
            await anyio.sleep(random.uniform(0.5, 1.0) * REJOIN_INTERVAL_S)
            # A host goes on following the one that it joins, and all changes would cross failure domains from then on.
            is_last = anyio.current_time() >= deadline_s
            snapshot = await self._peers.join(after, only_nearest=not is_last)
        if isinstance(snapshot, Snapshot):
            self._follows_peer = True
            return snapshot
        self._store_fallback_until_s = anyio.current_time() + STORE_FALLBACK_S
        return None


def _numbers(query_string: bytes) -> dict[str, int] | None:
    """Return the numbers of a query, or None if any of its values is none; any client may send one."""
    numbers: dict[str, int] = {}
    for name, values in parse_qs(query_string.decode("latin-1"), keep_blank_values=True).items():
        number = parse_decimal(values[0])
        if number is None:
            return None
        numbers[name] = number
    return numbers


def _without_removed(values: list[Found], removed: list[Removed]) -> list[Found]:
    """Return the values without those that were removed later."""
    gone = {each.key: each.revision for each in removed}
    return [each for each in values if each.key not in gone or each.revision > gone[each.key]]


def _without_rewritten(removed: list[Removed], values: list[Found]) -> list[Removed]:
    """Return the removals without those of keys that were written again."""
    written = {each.key: each.revision for each in values}
    return [each for each in removed if each.key not in written or each.revision >= written[each.key]]


def _value(found: Found, revision: Revision, held_s: float | None = None) -> _Value:
    era = None if found.revision.era == revision.era else found.revision.era
    return _Value(found.key, found.value, found.revision.number, held_s, era, found.taken is not None)


def _found(value: _Value, revision: Revision) -> Found:
    era = revision.era if value.era is None else value.era
    # The sender holds a value that it has taken at the revision of its message.
    taken = revision if value.is_taken else None
    return Found(Key(value.key), value.value, Revision(value.revision, era), taken)


def _revision(message: _Message, asked: Revision) -> Revision:
    """Return the revision of a message; a host that knows no eras is taken to be in that of the one that asks."""
    return Revision(message.revision, asked.era if message.era is None else message.era)


async def _fetch(address: str, target: str, timeout_s: float) -> _Message | None:
    connection = await connect(address, REQUEST_TIMEOUT_S, limits=STORE_REPLY_LIMITS)
    if isinstance(connection, UpstreamFailure):
        return None
    request = f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    match await connection.exchange(request.encode(), timeout_s + TRANSFER_TIMEOUT_S, timeout_s):
        case Reply(status=200, body=body):
            return _decode_message(body, address)
    return None


def _decode_message(body: bytes, address: str) -> _Message | None:
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS as error:
        emit(Event.RECORD_UNREADABLE, key=f"copy of {address}", detail=str(error))
        return None
