"""Limits on what callers may send and hold: those of one connection, and those of all connections together."""

import resource
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from hawthornbridge.events import Event, emit
from hawthornbridge.inputturns import InputTurns
from hawthornbridge.logbudget import LogBudget
from hawthornbridge.settings import LimitSettings

__all__ = [
    "MEGABYTE",
    "MIN_COUNTED_BYTES",
    "CallerBounds",
    "CallerConnection",
    "CallerLimits",
    "CallerMemory",
    "CallerRoom",
    "MachineLimits",
    "bounds_of",
]

MEGABYTE = 1_048_576
# Connections that hold less are bounded by their number alone, which keeps small requests cheap.
MIN_COUNTED_BYTES = 4_096
# A process without callers holds about 40 MB. A held byte costs up to three in its copies for the gateway and a leaf,
# and replies of leaves in progress take their own share of the memory.
PROCESS_BYTES = 48 * MEGABYTE
MEMORY_DIVISOR = 6
MIN_MEMORY_BYTES = 2 * MEGABYTE
# Descriptors that the platform reserves for files; sockets share the others.
FILE_DESCRIPTORS = 200
# The rest of the sockets serves leaves, the store and other hosts.
CALLER_SOCKET_SHARE = 0.5
# Part of the free memory for bytes that the system has received from callers and that the host has not read.
# Linux keeps up to twice the size that is set.
RECEIVED_MEMORY_DIVISOR = 4
MIN_RECEIVE_BUFFER_BYTES = 8_192
# A body in the limits of most configurations passes in a few round trips.
MAX_RECEIVE_BUFFER_BYTES = 65_536
MIN_CONNECTIONS = 16
# The host reads a body to its end before it forwards a request, so that a slow body is no use to its caller.
BODY_S = 30.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of one connection: sizes in bytes of a request's head and body, and times in seconds.

    opening_s is the time until the first request, idle_s that between two requests, header_s that of a head from its
    first byte, and body_s that of a body.
    """

    header_bytes: int = 65_536
    body_bytes: int = 8_388_608
    opening_s: float = 15.0
    header_s: float = 15.0
    body_s: float = BODY_S
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Limits of the machine for the whole process; None stands for a machine that states no limit on descriptors."""

    memory_bytes: int = 256 * MEGABYTE
    descriptors: int | None = None

    def caller_bytes(self) -> int:
        """Return how many bytes all callers together may hold."""
        return max(MIN_MEMORY_BYTES, (self.memory_bytes - PROCESS_BYTES) // MEMORY_DIVISOR)

    def caller_connections(self) -> int:
        """Return how many connections all callers together may have."""
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        known = [each for each in (limit, self.descriptors) if each is not None and each != resource.RLIM_INFINITY]
        sockets = min(known, default=MEGABYTE) - FILE_DESCRIPTORS
        return max(MIN_CONNECTIONS, int(sockets * CALLER_SOCKET_SHARE))

    def receive_buffer_bytes(self) -> int:
        """Return how many bytes the system may keep for each connection of a caller until the host reads them."""
        free = (self.memory_bytes - PROCESS_BYTES) // RECEIVED_MEMORY_DIVISOR
        share = free // self.caller_connections()
        return min(max(share, MIN_RECEIVE_BUFFER_BYTES), MAX_RECEIVE_BUFFER_BYTES)


class CallerConnection(Protocol):
    """Connection of a caller, as the limits of all connections see it."""

    @property
    def is_idle(self) -> bool:
        """Return whether nothing has been received since the latest answer."""

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has been received in part."""

    @property
    def is_answered(self) -> bool:
        """Return whether only the rest of an answer, or of a body that was answered early, is left to transfer."""

    def give_up_memory(self) -> bool:
        """Release what the connection holds; return False if a whole request or its answer needs it."""

    def close_for_room(self) -> None:
        """Close the connection at once."""


class CallerMemory:
    """Bytes that all callers hold; above the limit the largest that can be released is."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._sizes: dict[CallerConnection, int] = {}
        self._used = 0

    @property
    def used_bytes(self) -> int:
        """Return the bytes of the connections that hold more than the minimum counted."""
        return self._used

    def record(self, connection: CallerConnection, size: int) -> None:
        """Record the bytes that a connection holds."""
        before = self._sizes.get(connection, 0)
        if size < MIN_COUNTED_BYTES:
            if before:
                self.release(connection)
            return
        self._sizes[connection] = size
        self._used += size - before
        if self._used > self.max_bytes and size > before:
            self._release_largest()

    def release(self, connection: CallerConnection) -> None:
        """Forget a connection that holds nothing any more."""
        self._used -= self._sizes.pop(connection, 0)

    def _release_largest(self) -> None:
        # A single request is inside the limits of its connection, so it is served however little memory there is.
        for connection in sorted(self._sizes, key=self._sizes.__getitem__, reverse=True):
            if self._used <= self.max_bytes or len(self._sizes) == 1:
                return
            if connection.give_up_memory():
                self.release(connection)


class CallerRoom:
    """Connections of all callers; while there is no room, the address with the most loses one that waits."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._by_address: dict[str, dict[CallerConnection, None]] = {}
        self._count = 0

    def enter(self, address: str, connection: CallerConnection) -> bool:
        """Take a connection in; return False if every other one is at work on a whole request."""
        if self._count >= self.max_connections and not self._make_room():
            return False
        self._by_address.setdefault(address, {})[connection] = None
        self._count += 1
        return True

    def leave(self, address: str, connection: CallerConnection) -> None:
        """Forget a connection that is closed."""
        group = self._by_address.get(address)
        if group is None or connection not in group:
            return
        del group[connection]
        self._count -= 1
        if not group:
            del self._by_address[address]

    def _make_room(self) -> bool:
        addresses = sorted(self._by_address, key=lambda each: -len(self._by_address[each]))
        # An answer is cut only where nothing else gives way.
        for choose in (_unused, _answered):
            for address in addresses:
                victim = choose(self._by_address[address])
                if victim is not None:
                    self.leave(address, victim)
                    victim.close_for_room()
                    return True
        return False


class CallerBounds:
    """Limits of all listeners of a process, with what their callers hold; the limits may change while they serve."""

    def __init__(self, limits: CallerLimits, machine: MachineLimits, urgent_port: int | None = None) -> None:
        """Create the limits; with an urgent port, new requests at all others wait for their turns."""
        self.limits = limits
        self._urgent_port = urgent_port
        self.memory = CallerMemory(machine.caller_bytes())
        self.room = CallerRoom(machine.caller_connections())
        self.turns = InputTurns()
        self._machine = machine
        self._listening: list[socket.socket] = []
        self._log = LogBudget(time.monotonic)

    def is_urgent(self, port: int | None) -> bool:
        """Return whether new requests at a port are processed at once."""
        return self._urgent_port is None or port == self._urgent_port

    def set_machine(self, machine: MachineLimits) -> None:
        """Follow changed settings; the sizes of buffers hold for connections that are accepted from then on."""
        self._machine = machine
        self._bound_buffers()
        self.memory.max_bytes = machine.caller_bytes()
        self.room.max_connections = machine.caller_connections()

    def add_listening(self, sockets: Iterable[socket.socket]) -> None:
        """Bound what the system keeps for connections that are accepted on these sockets."""
        self._listening += sockets
        self._bound_buffers()

    def _bound_buffers(self) -> None:
        self._listening = [each for each in self._listening if each.fileno() >= 0]
        for each in self._listening:
            # Accepted connections take the size over.
            each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._machine.receive_buffer_bytes())

    def report_refusal(self, address: str, status: int, detail: str) -> None:
        """Log a refusal, unless many were logged just before."""
        if self._log.take():
            emit(Event.CALLER_REFUSED, address=address, status=status, detail=detail, unlogged=self._log.skipped())


def bounds_of(limits: LimitSettings) -> CallerBounds:
    """Return the limits of a host whose application bounds and times the bodies itself."""
    read_s = limits.read_ms / 1_000
    per_caller = CallerLimits(
        header_bytes=limits.header_bytes,
        # The application refuses a body over its limit in its own words, so the listener's limit is above it.
        body_bytes=2 * limits.body_bytes,
        opening_s=read_s,
        header_s=read_s,
        body_s=2 * read_s,
    )
    return CallerBounds(per_caller, MachineLimits())


def _unused(group: Iterable[CallerConnection]) -> CallerConnection | None:
    # The order of a group is that in which its connections were opened.
    idle = next((each for each in group if each.is_idle), None)
    return idle or next((each for each in group if each.is_receiving), None)


def _answered(group: Iterable[CallerConnection]) -> CallerConnection | None:
    return next((each for each in group if each.is_answered), None)
