"""Turns of input: which connections are served in a turn of the event loop, and in which order."""

import asyncio

import pytest
from hypothesis import given, strategies as st

from hawthornbridge.inputturns import InputTurns

UNITS = 100


class Client:
    """A connection with parts to process; it asks for a turn for each of them."""

    def __init__(self, turns, parts, served, error=None):
        self._turns = turns
        self._parts = list(parts)
        self._served = served
        self._error = error

    def receive(self):
        if self._parts and self._turns.take(self, self._parts[0]):
            self._process()

    def take_turn(self):
        if self._error is not None:
            raise self._error
        self._process()

    def _process(self):
        self._served.append((self, self._parts.pop(0)))
        asyncio.get_running_loop().call_soon(self.receive)


async def turns_of(served, count):
    """Return what was processed in each of the next turns of the event loop."""
    turns = []
    for _ in range(count):
        del served[:]
        await asyncio.sleep(0)
        turns.append(list(served))
    return turns


parts = st.lists(st.integers(1, 3 * UNITS), min_size=1, max_size=6)


@given(st.lists(parts, min_size=1, max_size=12))
def test_each_turn_takes_a_bounded_part_and_all_are_served(clients):
    """Guards against a turn that takes as long as the crowd is large, and against a connection that waits for good."""

    async def run():
        turns, served = InputTurns(UNITS), []
        for each in clients:
            Client(turns, each, served).receive()
        first = list(served)
        return [first, *await turns_of(served, 4 * sum(map(len, clients)) + 4)], len(turns)

    played, waiting = asyncio.run(run())
    assert waiting == 0
    assert sum(len(turn) for turn in played) == sum(map(len, clients))
    for turn in played:
        # The last part of a turn may exceed it, since a part is not divided.
        assert sum(units for _, units in turn[:-1]) < 2 * UNITS


def test_connections_are_served_in_the_order_in_which_they_came():
    """Guards against a connection that is passed over by those that send most."""

    async def run():
        turns, served = InputTurns(UNITS), []
        clients = [Client(turns, [UNITS] * 2, served) for _ in range(5)]
        for client in clients:
            client.receive()
        order = [client for client, _ in served]
        for turn in await turns_of(served, 30):
            order += [client for client, _ in turn]
        return [clients.index(client) for client in order]

    assert asyncio.run(run()) == [0, 1, 2, 3, 4] * 2


def test_an_error_of_one_connection_keeps_no_other_waiting():
    """Guards against a queue that stops for good because of one connection."""

    async def run():
        errors, served = [], []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context["exception"]))
        turns = InputTurns(UNITS)
        for error in (None, None, ValueError("no"), None):
            Client(turns, [UNITS], served, error).receive()
        await turns_of(served, 10)
        return errors, len(turns)

    errors, waiting = asyncio.run(run())
    assert [type(error) for error in errors] == [ValueError] and waiting == 0


@pytest.mark.parametrize("is_forgotten", [False, True])
def test_a_closed_connection_gets_no_turn(is_forgotten):
    """Guards against a turn of a connection that is closed."""

    async def run():
        turns, served = InputTurns(UNITS), []
        first, second = (Client(turns, [UNITS], served) for _ in range(2))
        first.receive()
        second.receive()
        assert turns.is_waiting(second)
        if is_forgotten:
            turns.leave(second)
        return [client is second for turn in await turns_of(served, 5) for client, _ in turn]

    assert asyncio.run(run()) == ([] if is_forgotten else [True])
