"""In-memory network between peers with configurable faults, for tests on a virtual clock."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

__all__ = ["LinkFaults", "MemoryLinks", "Network"]


@dataclass
class LinkFaults:
    """Faults of a network; every field may be changed while it runs."""

    delay_s: float = 0.001
    jitter_s: float = 0.0
    loss: float = 0.0
    duplication: float = 0.0
    blocked: set[tuple[str, str]] = field(default_factory=set)
    stuck: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    choose: Callable[[str, str], float] | None = None


class _Inbox:
    def __init__(self) -> None:
        self.due: list[tuple[float, int, bytes]] = []
        self.filled = anyio.Event()


class Network:
    """Network that delivers messages between open addresses; jitter can reorder them."""

    def __init__(self, seed: int = 0) -> None:
        self.faults = LinkFaults()
        self.sent_sizes_bytes: list[int] = []
        self._random = random.Random(seed)
        self._message_numbers = itertools.count()
        self._inboxes: dict[str, _Inbox] = {}

    def open(self, address: str) -> "MemoryLinks":
        """Open an address; undelivered messages to an earlier listener at the address are lost."""
        self._inboxes[address] = _Inbox()
        return MemoryLinks(self, address, self._inboxes[address])

    def block(self, sources: set[str], targets: set[str], *, both: bool = True) -> None:
        """Drop all messages from the sources to the targets, and in both directions if asked for."""
        pairs = {(source, target) for source in sources for target in targets if source != target}
        self.faults.blocked |= pairs | ({(target, source) for source, target in pairs} if both else set())

    def unblock_all(self) -> None:
        """Remove every block."""
        self.faults.blocked.clear()

    def resume(self, address: str) -> None:
        """Resume a paused host, which immediately receives the messages that are due."""
        self.faults.paused.discard(address)
        self._inboxes[address].filled.set()

    async def deliver(self, source: str, target: str, data: bytes) -> None:
        """Send one message; wait while the target accepts nothing or the source is paused."""
        faults = self.faults
        while target in faults.stuck or source in faults.paused:
            await anyio.sleep(0.05)
        if (source, target) in faults.blocked or self._random.random() < faults.loss:
            return
        inbox = self._inboxes.get(target)
        if inbox is None:
            return
        self.sent_sizes_bytes.append(len(data))
        copies = 2 if self._random.random() < faults.duplication else 1
        for _ in range(copies):
            extra_s = faults.choose(source, target) if faults.choose else 0.0
            due_s = anyio.current_time() + faults.delay_s + extra_s + self._random.uniform(0.0, faults.jitter_s)
            heapq.heappush(inbox.due, (due_s, next(self._message_numbers), data))
        inbox.filled.set()

    async def next(self, address: str, inbox: _Inbox) -> bytes:
        """Wait for the next message that is due and return it."""
        while True:
            if inbox.due and inbox.due[0][0] <= anyio.current_time() and address not in self.faults.paused:
                return heapq.heappop(inbox.due)[2]
            inbox.filled = anyio.Event()
            next_due_s = inbox.due[0][0] if inbox.due and address not in self.faults.paused else float("inf")
            with anyio.move_on_at(next_due_s):
                await inbox.filled.wait()


class MemoryLinks:
    """Links of one address of a network, with the interface of the daemon's peer links."""

    def __init__(self, network: Network, address: str, inbox: _Inbox) -> None:
        self._network = network
        self._address = address
        self._inbox = inbox

    async def send(self, address: str, data: bytes) -> None:
        """Send one message; wait while the peer accepts nothing."""
        await self._network.deliver(self._address, address, data)

    async def receive(self) -> bytes:
        """Return the next message from any peer."""
        return await self._network.next(self._address, self._inbox)

    def disconnect(self, address: str) -> None:
        """Do nothing, because an in-memory link has no connection to close."""
