"""Copies of the store's keys that hosts give each other.

A few hosts follow the store, and the others follow these: a watch of each host would count as many calls. Hosts that
the store does not answer take copies from any other host. They ask over the HTTP listener and client that they have
anyway: a socket library of its own would cost each process memory and one more listener.
"""

import random
from collections.abc import Callable, Sequence
from math import inf
from urllib.parse import parse_qs

import anyio
import msgspec

from hawthornbridge.callers import Receive, Scope, Send
from hawthornbridge.events import Event, emit
from hawthornbridge.gateway import send_answer
from hawthornbridge.httpconnection import Reply, connect
from hawthornbridge.mirror import (
    Changes,
    HeldKey,
    HistoryGone,
    Mirror,
    Removed,
    Snapshot,
    WatchableStore,
    WatchOutcome,
)
from hawthornbridge.store import ABSENT, Found, Key, Revision, Unavailable
from hawthornbridge.subrequests import UpstreamFailure

__all__ = ["FollowedStore", "PeerSnapshots", "SnapshotApp"]

ASK_TIMEOUT_S = 0.4
# The time for a copy that goes on arriving, beyond the time for its first part.
COPY_TIMEOUT_S = 1.0
# Peers that are asked in one round; the next round follows with the next call to the store that fails.
ASKED_PEERS = 2
# A host whose copy is older has lost the store, and those that follow it turn to another one. The store's own watch is
# answered within 1.5 s, and a slow store answers some 0.3 s late.
OLDEST_FOLLOWED_S = 2.0
WAKE_MARGIN_S = 0.01
# After no host to follow had a recent copy, the store is followed for this long.
ALONE_S = 2.0
STATUS_NOTHING_NEWER = 204
STATUS_NOT_FOUND = 404


class _Value(msgspec.Struct, array_like=True):
    key: Key
    value: bytes
    revision: int
    # Set if the store has removed the key and the grace of an outage is not over.
    held_s: float | None = None


class _Message(msgspec.Struct):
    revision: int
    # Numbers the changes that the sender has reported; the next question goes on from there.
    cursor: int
    age_s: float
    values: list[_Value]
    removed: list[tuple[Key, int]] = []
    # Keys that stand at the revision asked for or an older one; the host that asks has their values.
    unchanged: list[Key] = []


_decoder = msgspec.msgpack.Decoder(_Message)


class SnapshotApp:
    """Answer other hosts that ask for the copy of the store's keys; an ASGI application."""

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send what is newer than a revision, or wait for the next changes."""
        query = {name.decode(): int(values[0]) for name, values in parse_qs(scope["query_string"]).items()}
        match scope["path"]:
            case "/snapshot":
                message = self._newer(query["after"])
            case "/joining":
                message = self._copy(query["after"])
            case "/changes":
                message = await self._changes(query["cursor"], query["wait_ms"] / 1_000)
            case _:
                await send_answer(send, STATUS_NOT_FOUND, [], b"")
                return
        if message is None:
            await send_answer(send, STATUS_NOTHING_NEWER, [], b"")
        else:
            await send_answer(send, 200, [], msgspec.msgpack.encode(message))

    def _newer(self, after: int) -> _Message | None:
        message = self._copy(after)
        return None if message is None or message.revision <= after else message

    def _copy(self, after: int) -> _Message | None:
        """Return the copy, without the values of keys that have not changed after a revision."""
        snapshot = self._mirror.snapshot()
        if snapshot is None:
            return None
        held = {each.key: each.left_s for each in snapshot.held}
        values, unchanged = [], []
        for each in snapshot.values:
            if each.revision > after or each.key in held:
                values.append(_Value(each.key, each.value, each.revision, held.get(each.key)))
            else:
                unchanged.append(each.key)
        return _Message(snapshot.revision, self._mirror.cursor, snapshot.age_s, values, unchanged=unchanged)

    async def _changes(self, cursor: int, wait_s: float) -> _Message | None:
        """Wait for changes, but not beyond the time at which this copy is too old to be followed."""
        deadline_s = anyio.current_time() + wait_s
        while self._mirror.cursor == cursor:
            left_s = min(deadline_s - anyio.current_time(), OLDEST_FOLLOWED_S - self._mirror.age_s)
            if left_s <= 0:
                break
            with anyio.move_on_after(left_s + WAKE_MARGIN_S):
                await self._mirror.wait_change()
        match self._mirror.changes_after(cursor):
            case HistoryGone():
                return None
            case Changes(events, revision, age_s):
                values = [_Value(e.key, e.value, e.revision) for e in events if isinstance(e, Found)]
                removed: list[tuple[Key, int]] = [(e.key, e.revision) for e in events if isinstance(e, Removed)]
                return _Message(revision, self._mirror.cursor, age_s, _latest(values, removed), _last(removed, values))


class PeerSnapshots:
    """Ask other hosts for a newer copy, or follow one of them."""

    def __init__(
        self,
        peers: Callable[[], Sequence[str]],
        followed: Callable[[], Sequence[str]],
        chance: random.Random | None = None,
    ) -> None:
        self._peers = peers
        self._followed = followed
        self._random = chance or random.Random()
        self._source: str | None = None
        self._cursor = 0

    async def newer_than(self, revision: Revision) -> Snapshot | None:
        """Return the first newer copy that one of a few peers has."""
        peers = self._peers()
        for address in self._random.sample(peers, min(ASKED_PEERS, len(peers))):
            message = await _ask(address, f"/snapshot?after={revision}", ASK_TIMEOUT_S)
            if message is not None:
                emit(Event.PEER_SNAPSHOT_TAKEN, peer=address, revision=message.revision, before=revision)
                return _snapshot(message)
        return None

    async def join(self, after: Revision) -> Snapshot | Unavailable:
        """Read what a host that follows the store has beyond a revision, and follow it from then on."""
        # The nearest one comes first, because copies of all hosts would otherwise cross failure domains.
        nearest, *others = self._followed() or [""]
        candidates = [nearest, *self._random.sample(others, len(others))] if nearest else []
        for address in candidates[:ASKED_PEERS]:
            message = await _ask(address, f"/joining?after={after}", ASK_TIMEOUT_S)
            if message is not None and message.age_s <= OLDEST_FOLLOWED_S:
                self._source, self._cursor = address, message.cursor
                return _snapshot(message)
        self._source = None
        return Unavailable("no host that follows the store has a recent copy")

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> Changes | HistoryGone | Unavailable:
        """Wait for the next changes of the host that is followed."""
        if self._source is None or self._source not in self._followed():
            return HistoryGone()
        target = f"/changes?cursor={self._cursor}&wait_ms={int(wait_s * 1_000)}"
        message = await _ask(self._source, target, wait_s + ASK_TIMEOUT_S)
        if message is None or message.age_s > OLDEST_FOLLOWED_S:
            return HistoryGone()
        self._cursor = message.cursor
        found = (Found(Key(each.key), each.value, Revision(each.revision)) for each in message.values)
        removed = (Removed(Key(key), Revision(message.revision)) for key, _ in message.removed)
        return Changes((*found, *removed), Revision(message.revision), message.age_s)


class FollowedStore:
    """Read the store itself, or through a host that does, as the list of hosts says."""

    def __init__(self, store: WatchableStore, peers: PeerSnapshots, reads_store: Callable[[], bool]) -> None:
        self._store = store
        self._peers = peers
        self._reads_store = reads_store
        self._follows_peer = False
        self._alone_until_s = -inf

    async def read_all(self, prefix: Key) -> Snapshot | Unavailable:
        """Read every key below a prefix; the store is asked if no host has a recent copy."""
        if self._wants_peer():
            snapshot = await self._join(ABSENT)
            if snapshot is not None:
                return snapshot
        self._follows_peer = False
        return await self._store.read_all(prefix)

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait for a change, or change the source: another host sends what is newer than the revision.

        The store's watch is no way on from another host, which may have held keys that the store had removed before;
        HistoryGone then asks for a new read.
        """
        if not self._wants_peer():
            return HistoryGone() if self._follows_peer else await self._store.watch_prefix(prefix, after, wait_s)
        if self._follows_peer:
            outcome = await self._peers.watch_prefix(prefix, after, wait_s)
            if not isinstance(outcome, HistoryGone):
                return outcome
        snapshot = await self._join(after)
        if snapshot is not None:
            return snapshot
        # All hosts that start at the same time would otherwise read the store once more.
        return HistoryGone() if self._follows_peer else await self._store.watch_prefix(prefix, after, wait_s)

    def _wants_peer(self) -> bool:
        return not self._reads_store() and anyio.current_time() >= self._alone_until_s

    async def _join(self, after: Revision) -> Snapshot | None:
        match await self._peers.join(after):
            case Snapshot() as snapshot:
                self._follows_peer = True
                return snapshot
            case Unavailable():
                self._alone_until_s = anyio.current_time() + ALONE_S
                return None


def _latest(values: list[_Value], removed: list[tuple[Key, int]]) -> list[_Value]:
    """Leave out values that were removed later."""
    gone = dict(removed)
    return [each for each in values if each.revision > gone.get(each.key, -1)]


def _last(removed: list[tuple[Key, int]], values: list[_Value]) -> list[tuple[Key, int]]:
    """Leave out removals of keys that were written again."""
    written = {each.key: each.revision for each in values}
    return [(key, revision) for key, revision in removed if revision >= written.get(key, -1)]


def _snapshot(message: _Message) -> Snapshot:
    values = tuple(Found(Key(each.key), each.value, Revision(each.revision)) for each in message.values)
    held = tuple(HeldKey(Key(each.key), each.held_s) for each in message.values if each.held_s is not None)
    return Snapshot(values, Revision(message.revision), held, message.age_s, tuple(message.unchanged))


async def _ask(address: str, target: str, timeout_s: float) -> _Message | None:
    connection = await connect(address, ASK_TIMEOUT_S)
    if isinstance(connection, UpstreamFailure):
        return None
    request = f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    match await connection.exchange(request.encode(), timeout_s + COPY_TIMEOUT_S, timeout_s):
        case Reply(status=200, body=body):
            return _read(body, address)
    return None


def _read(body: bytes, address: str) -> _Message | None:
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as error:
        emit(Event.RECORD_UNREADABLE, key=f"copy of {address}", detail=str(error))
        return None
