"""Authenticated messages between hosts: one sending task per peer and one receiving task."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable, Collection
from typing import Any, Protocol, TypeVar

import anyio
import pynng
from anyio.abc import TaskGroup

from hawthornbridge.events import Event, emit
from hawthornbridge.messages import MESSAGE_LIMIT_BYTES, Codec, Heartbeat, Message, MessageRejectedError

__all__ = ["Links", "Peers", "PynngLinks"]

# The socket of a peer that accepts no data for this time is replaced.
SEND_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.25
# 128 messages of at most 64 KB bound the memory of one outbox to 8 MB. The largest content is a configuration base.
OUTBOX_LENGTH_LIMIT = 128
# Rejected messages are logged at most once per interval, so that an unauthorized sender cannot flood the log.
REJECTION_LOG_INTERVAL_S = 10.0

MessageT = TypeVar("MessageT")
ResultT = TypeVar("ResultT")


class Links(Protocol):
    """Transport of opaque messages between addresses; messages may be lost, delayed, repeated or reordered."""

    async def send(self, address: str, data: bytes) -> None:
        """Send one message; wait while the peer accepts no data."""

    async def receive(self) -> bytes:
        """Return the next message from any peer."""

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer and discard its unsent messages."""


class PynngLinks:
    """Links over pynng: a Pull0 listener, and one Push0 socket per peer."""

    def __init__(self, listen: str) -> None:
        # The receiver closes a connection that announces a larger message, before it reads the message.
        self._pull = pynng.Pull0(recv_max_size=MESSAGE_LIMIT_BYTES, recv_buffer_size=64)
        self._pull.listen(f"tcp://{listen}")
        self._pushes: dict[str, pynng.Push0] = {}

    async def send(self, address: str, data: bytes) -> None:
        """Send one message; wait while the peer accepts no data."""
        push = self._pushes.get(address)
        if push is None:
            # Without a send buffer, a stuck peer is noticed at once and no old heartbeats accumulate.
            push = pynng.Push0(send_buffer_size=0, reconnect_time_min=100, reconnect_time_max=500)
            self._pushes[address] = push
            push.dial(f"tcp://{address}", block=False)
        try:
            # Most sends succeed at once and need no callback from a thread of the library.
            push.send(data, block=False)
        except pynng.TryAgain:
            await _await_in_cancel_scope(push.asend(data))

    async def receive(self) -> bytes:
        """Return the next message from any peer."""
        while True:
            # Waiting for the descriptor needs no callback from a thread of the library. Waiting before each message
            # lets other tasks run while messages keep arriving.
            await anyio.wait_readable(self._pull.recv_fd)
            with contextlib.suppress(pynng.TryAgain):
                return self._pull.recv(block=False)

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer and discard its unsent messages."""
        push = self._pushes.pop(address, None)
        if push is not None:
            push.close()

    def close(self) -> None:
        """Close every socket."""
        for address in list(self._pushes):
            self.disconnect(address)
        self._pull.close()


async def _await_in_cancel_scope(call: Awaitable[ResultT]) -> ResultT:
    """Await a pynng call so that cancel scopes of anyio recognize their own cancellation.

    On asyncio, pynng raises a new CancelledError when it is cancelled. A cancel scope does not recognize this error as
    its own, so the error would end the whole task group without being reported.
    """
    try:
        return await call
    except asyncio.CancelledError:
        await anyio.lowlevel.checkpoint_if_cancelled()
        raise


class _Peer:
    def __init__(self, address: str) -> None:
        self.address = address
        self.scope = anyio.CancelScope()
        self.dropped = 0
        self._outbox: deque[tuple[bool, bytes]] = deque()
        self._filled = anyio.Event()

    def enqueue(self, message: Message, data: bytes) -> None:
        is_heartbeat = isinstance(message, Heartbeat)
        if is_heartbeat:
            # A newer heartbeat replaces one that is still queued.
            self._outbox = deque(item for item in self._outbox if not item[0])
        if len(self._outbox) >= OUTBOX_LENGTH_LIMIT:
            self._outbox.popleft()
            self.dropped += 1
        self._outbox.append((is_heartbeat, data))
        self._filled.set()

    async def next_message(self) -> bytes:
        while not self._outbox:
            self._filled = anyio.Event()
            await self._filled.wait()
        return self._outbox.popleft()[1]


class Peers:
    """Outboxes of all peers, and the dispatch of received messages to subscribers."""

    def __init__(self, links: Links, codec: Codec) -> None:
        self._links = links
        self._codec = codec
        self._peers: dict[str, _Peer] = {}
        self._handlers: dict[type[Any], list[Callable[[Any], None]]] = {}
        self._tasks: TaskGroup | None = None
        self._rejection_logged_s = float("-inf")
        self.rejected = 0
        self.failed = 0
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses of the peers that messages are published to."""
        return frozenset(self._peers)

    @property
    def dropped(self) -> int:
        """Return the number of messages dropped because an outbox was full."""
        return sum(peer.dropped for peer in self._peers.values())

    def subscribe(self, kind: type[MessageT], handler: Callable[[MessageT], None]) -> None:
        """Call the handler with each message of this type."""
        self._handlers.setdefault(kind, []).append(handler)

    def publish(self, message: Message) -> None:
        """Send a message to all peers; raise MessageRejectedError if it is too large."""
        data = self._codec.encode(message)
        for peer in self._peers.values():
            peer.enqueue(message, data)

    def send(self, address: str, message: Message) -> None:
        """Send a message to one peer, if there is a link to it."""
        if address in self._peers:
            self._peers[address].enqueue(message, self._codec.encode(message))

    def connect(self, addresses: Collection[str]) -> None:
        """Keep links to exactly these addresses; close all others."""
        for address in sorted(self._peers.keys() - set(addresses)):
            self._peers.pop(address).scope.cancel()
        # Sorted, so that the order of tasks does not depend on the hash seed of the process.
        for address in sorted(set(addresses) - self._peers.keys()):
            peer = self._peers[address] = _Peer(address)
            if self._tasks is not None:
                self._tasks.start_soon(self._send_to, peer)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for peer in self._peers.values():
                tasks.start_soon(self._send_to, peer)
            await self._receive()

    async def _send_to(self, peer: _Peer) -> None:
        with peer.scope:
            while True:
                data = await peer.next_message()
                if await self._deliver(peer.address, data):
                    self.sent += 1
                    self.sent_bytes += len(data)
                else:
                    self.failed += 1
                    self._links.disconnect(peer.address)
                    await anyio.sleep(RECONNECT_DELAY_S)
        self._links.disconnect(peer.address)

    async def _deliver(self, address: str, data: bytes) -> bool:
        try:
            with anyio.move_on_after(SEND_TIMEOUT_S) as limit:
                await self._links.send(address, data)
        except pynng.NNGException:
            return False
        return not limit.cancelled_caught

    async def _receive(self) -> None:
        while True:
            data = await self._links.receive()
            self.received += 1
            self.received_bytes += len(data)
            try:
                message = self._codec.decode(data)
            except MessageRejectedError as error:
                self._reject(error)
                continue
            for handler in self._handlers.get(type(message), ()):
                handler(message)

    def _reject(self, error: MessageRejectedError) -> None:
        self.rejected += 1
        now = anyio.current_time()
        if now - self._rejection_logged_s >= REJECTION_LOG_INTERVAL_S:
            self._rejection_logged_s = now
            emit(Event.PEER_MESSAGE_REJECTED, detail=str(error), rejected=self.rejected)
