"""Turns in which callers' connections have their input processed, so that no crowd keeps the event loop to itself."""

import asyncio
from typing import Protocol

__all__ = ["UNITS_PER_PART", "UNITS_PER_REQUEST", "InputTurns", "WaitingConnection", "work_of"]

# Work in one turn of the event loop for input that continues a request. A unit is about a line of a chunk.
UNITS_PER_TURN = 2_048
# Work for each part, however short it is, and for its bytes.
UNITS_PER_PART = 64
BYTES_PER_UNIT = 512
# Work for a request that has waited behind another one on its connection.
UNITS_PER_REQUEST = 512


class WaitingConnection(Protocol):
    """Connection whose input waits for a turn."""

    def take_turn(self) -> None:
        """Process the input that waits."""


class InputTurns:
    """Queue of connections whose input is processed in the order in which it came, a bounded part of it in each turn.

    It answers a crowd whose requests take many reads, or many callbacks for each byte: a turn of the event loop takes
    about as long for a thousand such connections as for one, so that other callers are answered in between.
    """

    def __init__(self, units_per_turn: int = UNITS_PER_TURN) -> None:
        self._units_per_turn = units_per_turn
        self._left = units_per_turn
        self._waiting: dict[WaitingConnection, int] = {}
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def is_waiting(self, connection: WaitingConnection) -> bool:
        """Return whether a connection waits for a turn."""
        return connection in self._waiting

    def take(self, connection: WaitingConnection, units: int) -> bool:
        """Return whether input may be processed at once; otherwise its connection gets a turn later."""
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin)
        if self._waiting or self._left <= 0:
            self._waiting[connection] = units
            return False
        self._left -= units
        return True

    def leave(self, connection: WaitingConnection) -> None:
        """Forget a connection that is closed."""
        self._waiting.pop(connection, None)

    def _begin(self) -> None:
        """Begin a turn with the connections that have waited longest."""
        self._left = self._units_per_turn
        try:
            while self._waiting and self._left > 0:
                connection = next(iter(self._waiting))
                self._left -= self._waiting.pop(connection)
                connection.take_turn()
        finally:
            # An error of one connection must not keep the others waiting for good.
            self._is_scheduled = bool(self._waiting)
            if self._is_scheduled:
                asyncio.get_running_loop().call_soon(self._begin)


def work_of(data: bytes) -> int:
    """Return the work that input takes: most of it is for lines, which are headers or the frames of chunks."""
    return UNITS_PER_PART + data.count(b"\n") + len(data) // BYTES_PER_UNIT
