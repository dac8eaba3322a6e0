"""Connections that all callers of a process may have together."""

from collections.abc import Iterator, Sequence
from itertools import islice
from typing import Protocol

__all__ = ["MAX_INSPECTED", "CallerRoom", "PlacedConnection"]

# Connections that are inspected to make room for one. Without a limit each new connection of a crowd would cost time
# for every connection that there is.
MAX_INSPECTED = 16


class PlacedConnection(Protocol):
    """Connection of a caller that may have to give way to another one."""

    @property
    def is_idle(self) -> bool:
        """Return whether nothing has been received since the latest answer."""

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has been received in part."""

    @property
    def is_answered(self) -> bool:
        """Return whether only the rest of an answer, or of a body that was answered early, is left to transfer."""

    def close_for_room(self) -> None:
        """Close the connection at once."""


class CallerRoom:
    """Connections of all callers; while there is no room, the address with the most loses one that waits."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        # The connections of each address, in the order in which they were opened or last inspected.
        self._by_address: dict[str, dict[PlacedConnection, None]] = {}
        # The addresses with each number of connections.
        self._by_count: dict[int, dict[str, None]] = {}
        self._most = 0
        self._count = 0

    def enter(self, address: str, connection: PlacedConnection) -> bool:
        """Take a connection in; return False if every other one that is inspected is at work on a whole request."""
        if self._count >= self.max_connections and not self._make_room():
            return False
        group = self._by_address.setdefault(address, {})
        group[connection] = None
        self._count += 1
        self._move(address, len(group) - 1, len(group))
        return True

    def leave(self, address: str, connection: PlacedConnection) -> None:
        """Forget a connection that is closed."""
        group = self._by_address.get(address)
        if group is None or connection not in group:
            return
        del group[connection]
        self._count -= 1
        self._move(address, len(group) + 1, len(group))
        if not group:
            del self._by_address[address]

    def _move(self, address: str, before: int, after: int) -> None:
        """Record the number of connections of an address."""
        if before:
            addresses = self._by_count[before]
            del addresses[address]
            if not addresses:
                del self._by_count[before]
        if after:
            self._by_count.setdefault(after, {})[address] = None
        # A number changes by one, so that the next lower one has an address if the highest has none left.
        if after > self._most or (before == self._most and before not in self._by_count):
            self._most = after

    def _make_room(self) -> bool:
        inspected = list(islice(self._crowded_first(), MAX_INSPECTED))
        # An answer is cut only where nothing else gives way.
        for may_close in (_is_idle, _is_receiving, _is_answered):
            for number, (address, connection) in enumerate(inspected):
                if may_close(connection):
                    self._pass_over(inspected[:number])
                    self.leave(address, connection)
                    connection.close_for_room()
                    return True
        self._pass_over(inspected)
        return False

    def _crowded_first(self) -> Iterator[tuple[str, PlacedConnection]]:
        """Return the connections of the addresses with the most of them first, the oldest of each first."""
        for count in range(self._most, 0, -1):
            for address in self._by_count.get(count, ()):
                for connection in self._by_address[address]:
                    yield address, connection

    def _pass_over(self, inspected: Sequence[tuple[str, PlacedConnection]]) -> None:
        """Inspect others before these connections and their addresses the next time."""
        for address, connection in inspected:
            group = self._by_address[address]
            del group[connection]
            group[connection] = None
            addresses = self._by_count[len(group)]
            del addresses[address]
            addresses[address] = None


def _is_idle(connection: PlacedConnection) -> bool:
    return connection.is_idle


def _is_receiving(connection: PlacedConnection) -> bool:
    return connection.is_receiving


def _is_answered(connection: PlacedConnection) -> bool:
    return connection.is_answered
