"""In-memory links with scripted faults, for tests on a virtual clock."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

__all__ = ["LinkFaults", "MemoryLinks", "Network"]


@dataclass
class LinkFaults:
    """Script how the network misbehaves; every field may be changed while it runs."""

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
    """Carry messages between the links that are open; jitter reorders them."""

    def __init__(self, seed: int = 0) -> None:
        self.faults = LinkFaults()
        self.carried: list[int] = []
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._inboxes: dict[str, _Inbox] = {}

    def open(self, address: str) -> "MemoryLinks":
        """Listen on an address; whoever listened there before loses what was under way."""
        self._inboxes[address] = _Inbox()
        return MemoryLinks(self, address, self._inboxes[address])

    def block(self, sources: set[str], targets: set[str], *, both: bool = True) -> None:
        """Lose everything from some addresses to others."""
        pairs = {(source, target) for source in sources for target in targets if source != target}
        self.faults.blocked |= pairs | ({(target, source) for source, target in pairs} if both else set())

    def heal(self) -> None:
        """Take back every block."""
        self.faults.blocked.clear()

    def resume(self, address: str) -> None:
        """Let a paused host go on; it receives at once what has waited."""
        self.faults.paused.discard(address)
        self._inboxes[address].filled.set()

    async def carry(self, source: str, target: str, data: bytes) -> None:
        """Take one message; wait while the target is stuck or the source is paused."""
        faults = self.faults
        while target in faults.stuck or source in faults.paused:
            await anyio.sleep(0.05)
        if (source, target) in faults.blocked or self._random.random() < faults.loss:
            return
        inbox = self._inboxes.get(target)
        if inbox is None:
            return
        self.carried.append(len(data))
        copies = 2 if self._random.random() < faults.duplication else 1
        for _ in range(copies):
            extra_s = faults.choose(source, target) if faults.choose else 0.0
            due_s = anyio.current_time() + faults.delay_s + extra_s + self._random.uniform(0.0, faults.jitter_s)
            heapq.heappush(inbox.due, (due_s, next(self._numbers), data))
        inbox.filled.set()

    async def next(self, address: str, inbox: _Inbox) -> bytes:
        """Return the next message that is due."""
        while True:
            if inbox.due and inbox.due[0][0] <= anyio.current_time() and address not in self.faults.paused:
                return heapq.heappop(inbox.due)[2]
            inbox.filled = anyio.Event()
            until_s = inbox.due[0][0] if inbox.due and address not in self.faults.paused else float("inf")
            with anyio.move_on_at(until_s):
                await inbox.filled.wait()


class MemoryLinks:
    """Open one address of a network."""

    def __init__(self, network: Network, address: str, inbox: _Inbox) -> None:
        self._network = network
        self._address = address
        self._inbox = inbox

    async def send(self, address: str, data: bytes) -> None:
        """Send one message; wait while the peer takes nothing."""
        await self._network.carry(self._address, address, data)

    async def receive(self) -> bytes:
        """Return the next message from any peer."""
        return await self._network.next(self._address, self._inbox)

    def forget(self, address: str) -> None:
        """Do nothing: no connection is held."""
