"""Connections that all callers of a process may have together."""

from collections.abc import Iterable
from typing import Protocol

__all__ = ["CallerRoom", "PlacedConnection"]


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
        self._by_address: dict[str, dict[PlacedConnection, None]] = {}
        self._count = 0

    def enter(self, address: str, connection: PlacedConnection) -> bool:
        """Take a connection in; return False if every other one is at work on a whole request."""
        if self._count >= self.max_connections and not self._make_room():
            return False
        self._by_address.setdefault(address, {})[connection] = None
        self._count += 1
        return True

    def leave(self, address: str, connection: PlacedConnection) -> None:
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


def _unused(group: Iterable[PlacedConnection]) -> PlacedConnection | None:
    # The order of a group is that in which its connections were opened.
    idle = next((each for each in group if each.is_idle), None)
    return idle or next((each for each in group if each.is_receiving), None)


def _answered(group: Iterable[PlacedConnection]) -> PlacedConnection | None:
    return next((each for each in group if each.is_answered), None)
