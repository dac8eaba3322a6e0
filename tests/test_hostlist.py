import pytest

from hawthornbridge.hostlist import HttpHostList
from hawthornbridge.membership import HostListUnavailable, ListedHost, ListState
from standins.hostlist import HostList, HostListFaults
from standins.platformleaf import ENDLESS_REPLIES
from standins.server import End, Raw, Server

LINE = ListedHost("entry-1", "127.0.0.1:1", "127.0.0.1:2", ListState.LIVE)


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def read(stand_in):
    await stand_in.start()
    try:
        return await HttpHostList(stand_in.server.address).hosts()
    finally:
        await stand_in.stop()


@pytest.mark.anyio
async def test_hosts_are_read_as_listed():
    """Guards against a wrongly decoded state or address."""
    stand_in = HostList()
    stand_in.put("entry-1", "127.0.0.1:1", "127.0.0.1:2")
    stand_in.put("entry-2", "127.0.0.1:3", "127.0.0.1:4", "leaving")
    assert await read(stand_in) == [LINE, ListedHost("entry-2", "127.0.0.1:3", "127.0.0.1:4", ListState.LEAVING)]


@pytest.mark.anyio
@pytest.mark.parametrize("faults", [HostListFaults(drops=True), HostListFaults(status=503),
                                    HostListFaults(malformed=True)])  # fmt: skip
async def test_a_failed_read_returns_an_outcome(faults):
    """Guards against an exception that would end the membership task."""
    assert isinstance(await read(HostList(faults)), HostListUnavailable)


@pytest.mark.anyio
async def test_an_endless_list_returns_an_outcome():
    """Guards against a host list whose bytes without end fill the memory of the host."""

    async def send_endlessly(call):
        return Raw(ENDLESS_REPLIES["chunked body"], End.NEVER)

    server = Server(send_endlessly)
    await server.start()
    try:
        outcome = await HttpHostList(server.address).hosts()
    finally:
        await server.stop()
    assert isinstance(outcome, HostListUnavailable) and "larger than" in outcome.detail


@pytest.mark.anyio
async def test_a_lagging_list_shows_the_earlier_state():
    """Guards against a stand-in that shows a change before its lag has passed."""
    stand_in = HostList(HostListFaults(lag_s=3_600))
    stand_in.put("entry-1", "127.0.0.1:1", "127.0.0.1:2")
    assert await read(stand_in) == []


@pytest.mark.anyio
async def test_a_refused_connection_returns_an_outcome(free_port):
    """Guards against a connection error that is raised instead of returned."""
    assert isinstance(await HttpHostList(f"127.0.0.1:{free_port()}").hosts(), HostListUnavailable)
