"""Tests of the pynng links over loopback, and of the outboxes on a virtual clock."""

from contextlib import asynccontextmanager

import anyio
import pynng
import pytest

from hawthornbridge.evidence import RolloutEvidence
from hawthornbridge.messages import MESSAGE_LIMIT_BYTES, Codec, EntriesRequest, Evidence
from hawthornbridge.peers import OUTBOX_LENGTH_LIMIT, Peers, PynngLinks
from standins.memorylinks import Network

TOKEN = "peers-token-00001"
# Long, because these tests check which messages arrive and not how soon.
LIMIT_S = 20


@asynccontextmanager
async def running(address, to=(), token=TOKEN):
    links = PynngLinks(address)
    peers = Peers(links, Codec(token))
    peers.connect(to)
    received = []
    peers.subscribe(Evidence, received.append)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(peers.run)
        yield peers, received
        tasks.cancel_scope.cancel()
    links.close()


async def until(condition, action=lambda: None):
    with anyio.fail_after(LIMIT_S):
        while not condition():
            action()
            await anyio.sleep(0.02)


def cut(number):
    return Evidence(RolloutEvidence(f"rollout-{number}", "h1", 9, (), "slow"))


@pytest.fixture
def addresses(free_port):
    return [f"127.0.0.1:{free_port()}" for _ in range(3)]


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_only_messages_under_the_shared_token_are_delivered(addresses):
    """Guards against a process with another token that is accepted as a peer."""
    async with (
        running(addresses[0]) as (receiver, received),
        running(addresses[1], [addresses[0]], "peers-token-00002") as (stray, _),
        running(addresses[2], [addresses[0]]) as (peer, _),
    ):
        await until(lambda: receiver.rejected, lambda: stray.publish(cut(1)))
        await until(lambda: received, lambda: peer.publish(cut(2)))
        assert set(received) == {cut(2)}


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_an_oversized_message_is_refused_and_others_still_arrive(addresses):
    """Guards against an unauthenticated sender that exhausts the memory of a host."""
    async with running(addresses[0]) as (receiver, received), running(addresses[1], [addresses[0]]) as (peer, _):
        with pynng.Push0(dial=f"tcp://{addresses[0]}", send_timeout=5_000) as stray:
            await stray.asend(b"x" * (MESSAGE_LIMIT_BYTES + 1))
            await until(lambda: received, lambda: peer.publish(cut(1)))
        assert receiver.received_bytes < MESSAGE_LIMIT_BYTES


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_a_peer_that_restarts_on_its_address_is_reached_again(addresses):
    """Guards against a link that stays down after the process of the peer was replaced."""
    async with running(addresses[1], [addresses[0]]) as (peer, _):
        for number in range(2):
            async with running(addresses[0]) as (_, received):
                await until(lambda received=received: received, lambda number=number: peer.publish(cut(number)))
                assert cut(number) in received


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_a_peer_that_does_not_listen_delays_no_other_peer(addresses):
    """Guards against a failed peer that delays the messages to the other peers."""
    async with (
        running(addresses[0]) as (_, received),
        running(addresses[1], [addresses[2], addresses[0]]) as (peer, _),
    ):
        await until(lambda: received, lambda: peer.publish(cut(1)))


def test_a_cancelled_send_ends_no_other_task(addresses):
    """Guards against a cancelled pynng call that ends every task of the host without an error."""
    # Such a call would also end an async test early, and the test would pass. The steps are checked outside the loop.
    steps = []

    async def main():
        async with running(addresses[0]) as (_, received), running(addresses[1], [addresses[2]]) as (peer, _):
            await until(lambda: peer.failed, lambda: peer.publish(cut(1)))
            steps.append("a send has timed out")
            peer.publish(cut(2))
            await anyio.sleep(0.5)
            peer.connect([addresses[0]])
            await until(lambda: received, lambda: peer.publish(cut(3)))
            steps.append("a link was dropped while it sent")
        steps.append("the tasks have ended")

    anyio.run(main)
    assert steps == ["a send has timed out", "a link was dropped while it sent", "the tasks have ended"]


@pytest.mark.anyio
async def test_the_outbox_of_a_stuck_peer_is_bounded_and_other_peers_are_not_delayed():
    """Guards against a peer that accepts no data and thereby fills the memory or delays the other peers."""
    network = Network()
    network.faults.stuck.add("stuck")
    sender = Peers(network.open("sender"), Codec(TOKEN))
    receiver = Peers(network.open("receiver"), Codec(TOKEN))
    received = []
    receiver.subscribe(Evidence, received.append)
    sender.connect({"stuck", "receiver"})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sender.run)
        tasks.start_soon(receiver.run)
        for number in range(OUTBOX_LENGTH_LIMIT * 2):
            sender.publish(cut(number))
            await anyio.sleep(0.002)
        await anyio.sleep(0.01)
        assert len(received) == OUTBOX_LENGTH_LIMIT * 2
        assert sender.dropped >= OUTBOX_LENGTH_LIMIT - 4
        sender.connect({"receiver"})
        sender.send("stuck", EntriesRequest("h1", "sender", 0, 0, 0))
        assert sender.addresses == {"receiver"}
        tasks.cancel_scope.cancel()
