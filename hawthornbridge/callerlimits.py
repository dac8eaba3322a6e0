"""Limits on what callers may send and hold: those of one connection, and those of all connections together."""

import resource
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornbridge.callermemory import CallerMemory
from hawthornbridge.callerroom import CallerRoom
from hawthornbridge.events import Event, emit
from hawthornbridge.inputturns import InputTurns
from hawthornbridge.logbudget import LogBudget
from hawthornbridge.settings import LimitSettings

__all__ = [
    "MEGABYTE",
    "CallerBounds",
    "CallerLimits",
    "MachineLimits",
    "bounds_of",
]

MEGABYTE = 1_048_576
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
