"""ControlPlane planes of several hosts on an in-memory network and store, for tests on a virtual clock."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from hawthornbridge.control import ControlPlane
from hawthornbridge.ids import DomainName, HostId, Incarnation, Seat
from hawthornbridge.membership import HostIdentity
from hawthornbridge.store import Ambiguous, Applied, Key, ReadOutcome, Revision, WatchOutcome, WriteOutcome
from standins.memorylinks import Network
from standins.memorystore import MemoryStore, StoreFaults, StoreState

__all__ = ["Fleet", "RecordingState"]

TOKEN = "peers-token-00001"


class RecordingState(StoreState):
    """Store state that records every value written, so that tests can check the history of a key."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[tuple[Key, bytes]] = []

    def write(self, key: Key, value: bytes | None, expected: Revision, lease: object) -> Applied:
        """Write a key and record the value."""
        outcome = super().write(key, value, expected, lease)  # type: ignore[arg-type]
        if isinstance(outcome, Applied) and value is not None:
            self.history.append((key, value))
        return outcome  # type: ignore[return-value]


class _HostStore(MemoryStore):
    """Store client of one host; a paused host neither sends calls nor receives answers."""

    def __init__(self, state: StoreState, network: Network, address: str) -> None:
        super().__init__(state, StoreFaults())
        self._network = network
        self._address = address

    async def get(self, key: Key) -> ReadOutcome:
        await self._wait_while_paused()
        outcome = await super().get(key)
        await self._wait_while_paused()
        return outcome

    async def watch(self, key: Key, after: Revision, wait_s: float) -> WatchOutcome:
        await self._wait_while_paused()
        outcome = await super().watch(key, after, wait_s)
        await self._wait_while_paused()
        return outcome

    async def compare_and_swap(self, key: Key, value: bytes, expected: Revision, lease: object = None) -> WriteOutcome:
        await self._wait_while_paused()
        outcome = await super().compare_and_swap(key, value, expected)
        await self._wait_while_paused()
        return (
            outcome if isinstance(outcome, Applied) or not self.faults.unavailable else Ambiguous("store unavailable")
        )

    async def _wait_while_paused(self) -> None:
        while self._address in self._network.faults.paused:
            await anyio.sleep(0.05)


@dataclass
class Fleet:
    """ControlPlane planes of hosts named h0, h1, ..., which can be killed, paused and restarted."""

    tasks: TaskGroup
    seats: int
    seed: int = 0
    state: StoreState = field(default_factory=RecordingState)

    def __post_init__(self) -> None:
        """Create the network."""
        self.network = Network(self.seed)
        self.controls: dict[str, ControlPlane] = {}
        self.stores: dict[str, MemoryStore] = {}
        self._scopes: dict[str, list[anyio.CancelScope]] = {}
        self._start_count = 0

    @property
    def running(self) -> list[ControlPlane]:
        """Return the control planes of the hosts that run and are not paused."""
        return [control for name, control in self.controls.items() if name not in self.network.faults.paused]

    def start(
        self, name: str, seat: int, address: str | None = None, known: tuple[str, ...] = ("h0", "h1")
    ) -> ControlPlane:
        """Start a host under a new incarnation."""
        self._start_count += 1
        address = address or name
        identity = HostIdentity(
            HostId(name),
            Incarnation(int(anyio.current_time() * 1e9) + self._start_count),
            Seat(seat),
            self.seats,
            address,
            f"{address}:callers",
            DomainName("a"),
            "r1",
        )
        store = self.stores.setdefault(name, _HostStore(self.state, self.network, address))
        links = self.network.open(address)
        rng = random.Random(f"{self.seed}/{self._start_count}")
        control = ControlPlane(identity, TOKEN, links, store, known, rng=rng)
        self.controls[name] = control
        self._scopes[name] = []
        self.spawn(name, control.run)
        return control

    def spawn(self, name: str, call: Callable[[], Awaitable[object]]) -> None:
        """Run a call as part of a host, until it ends or the host is killed."""
        scope = anyio.CancelScope()
        self._scopes[name].append(scope)
        self.tasks.start_soon(self._run, scope, call)

    def start_all(self, count: int) -> None:
        """Start this number of hosts, each on its own seat from 0."""
        for seat in range(count):
            self.start(f"h{seat}", seat)

    def kill(self, name: str) -> None:
        """Stop a host immediately."""
        self.network.faults.paused.discard(name)
        for scope in self._scopes.pop(name):
            scope.cancel()
        del self.controls[name]

    def restart(self, name: str) -> None:
        """Stop a host immediately and start it again at the same address."""
        seat = self.controls[name].membership.identity.seat
        self.kill(name)
        self.start(name, seat)

    def break_store(self, names: set[str], *, broken: bool = True) -> None:
        """Make the store unavailable to some hosts, or available again."""
        for name in names:
            self.stores[name].faults.unavailable = broken

    async def _run(self, scope: anyio.CancelScope, call: Callable[[], Awaitable[object]]) -> None:
        with scope:
            await call()
