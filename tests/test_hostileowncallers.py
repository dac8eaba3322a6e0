"""The daemon of the project's own interface, as a process of its own, against callers outside all limits."""

import json
import subprocess
import sys

import anyio
import httpcore
import pytest

from measure.local import free_address, settings_tree
from standins.hostlist import HostList
from standins.store import StoreServer
from tests.hostileclients import CROWD, ENDLESS, HANG_S, Crowd, peak_memory_mb
from tests.platformfakes import real_sockets

pytestmark = [pytest.mark.anyio, pytest.mark.apart]
anyio_backend = real_sockets()

# Memory of the machine for which the test stands.
MEMORY_MB = 128


class OwnDaemon:
    """One daemon of the project's own interface."""

    def __init__(self, folder, store, host_list):
        tree = settings_tree(0, 1, store, host_list, [free_address()])
        self.callers, self.operators = tree["listeners"]["callers"], tree["listeners"]["operators"]
        path = folder / "settings.json"
        path.write_text(json.dumps(tree))
        command = [sys.executable, "-m", "hawthornbridge.daemon", "--settings", str(path)]
        self.process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    async def ask(self, address, path):
        async with httpcore.AsyncConnectionPool() as pool:
            return (await pool.request("GET", f"http://{address}{path}")).status

    async def wait_started(self):
        with anyio.fail_after(HANG_S):
            while True:
                try:
                    return await self.ask(self.callers, "/v1/addresses")
                except httpcore.ConnectError:
                    await anyio.sleep(0.05)

    def end(self):
        self.process.kill()
        self.process.wait()


@pytest.fixture
async def daemon(tmp_path):
    store, host_list = StoreServer(), HostList()
    await store.server.start()
    await host_list.server.start()
    started = OwnDaemon(tmp_path, store.server.address, host_list.server.address)
    await started.wait_started()
    yield started
    started.end()
    await store.server.stop()
    await host_list.server.stop()


@pytest.mark.parametrize("listener", ["callers", "operators"])
@pytest.mark.parametrize("kind", ["empty lines", "trailers", "header lines", "chunked body", "tiny chunks"])
async def test_the_own_interface_refuses_a_client_that_sends_without_end(daemon, kind, listener):
    """Guards against a process that runs out of memory, or reads for good, because of what a client sends."""
    host, _, port = getattr(daemon, listener).partition(":")
    crowd, closed = Crowd((host, int(port))), []

    async def flood():
        closed.append(await crowd.flood(ENDLESS[kind]))

    with anyio.fail_after(HANG_S):
        async with anyio.create_task_group() as tasks:
            for _ in range(CROWD):
                tasks.start_soon(flood)
    status = await daemon.ask(daemon.callers, "/v1/addresses")
    crowd.close()
    peak_mb = peak_memory_mb(daemon)
    print(f"peak {peak_mb:.1f} MB")
    assert daemon.process.poll() is None and status == 200
    assert peak_mb < MEMORY_MB
    assert closed == [True] * CROWD
