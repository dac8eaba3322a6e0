"""Small fleet in one process on loopback: stand-ins, daemons and an operator."""

from collections.abc import Sequence
from typing import Any

import anyio
import httpcore
import msgspec
import uuid_utils
from anyio.abc import TaskGroup

from hawthornbridge import operations_pb as pb
from hawthornbridge.acceptance import ChangeAccepted, QuorumMissing
from hawthornbridge.daemon import Daemon
from hawthornbridge.ids import Generation
from hawthornbridge.model import Catalogue, Change
from hawthornbridge.operationscodec import change_to_wire
from hawthornbridge.operatorclient import OperatorClient, Outcome
from hawthornbridge.settings import Settings, decode
from standins.hostlist import HostList
from standins.ports import free_port
from standins.store import StoreServer

__all__ = ["LocalFleet", "free_address", "post", "settings_tree"]

OPERATOR_TOKEN = "operators-token-local"
PEER_TOKEN = "peers-token-local-fleet"


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


def settings_tree(
    number: int, seats: int, store: str, host_list: str, peers: Sequence[str], **changes: Any
) -> dict[str, Any]:
    """Return the undecoded settings of one host; peers is the peer address of every host."""
    return {
        "host": {
            "id": f"entry-{number}",
            "seat": number,
            "seats": seats,
            "failure_domain": "abc"[number % 3],
            "region": "local",
        },
        "listeners": {"callers": free_address(), "operators": free_address(), "peers": peers[number]},
        "peers": list(peers),
        "tokens": {"operators": OPERATOR_TOKEN, "peers": PEER_TOKEN},
        "platform": {"store": store, "host_list": host_list},
        **changes,
    }


async def post(address: str, path: str, body: dict[str, Any]) -> tuple[int, Any]:
    """Send one request on a new connection."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("POST", f"http://{address}{path}", content=msgspec.json.encode(body))
        return response.status, msgspec.json.decode(response.content)


class LocalFleet:
    """Daemons and the platform's stand-ins in this process."""

    def __init__(self, hosts: int, seats: int | None = None, **changes: Any) -> None:
        self.store = StoreServer()
        self.host_list = HostList()
        self.daemons: list[Daemon] = []
        self.settings: list[Settings] = []
        self._hosts = hosts
        self._seats = seats or hosts
        self._changes = changes

    @property
    def caller_addresses(self) -> list[str]:
        """Return the callers' address of each host."""
        return [settings.listeners.callers for settings in self.settings]

    @property
    def operator_addresses(self) -> list[str]:
        """Return the operators' address of each host."""
        return [settings.listeners.operators for settings in self.settings]

    async def start(self, tasks: TaskGroup) -> None:
        """Start the stand-ins and the daemons."""
        await self.store.start()
        await self.host_list.start()
        peers = [free_address() for _ in range(self._hosts)]
        for number in range(self._hosts):
            tree = settings_tree(
                number,
                self._seats,
                self.store.server.address,
                self.host_list.server.address,
                peers,
                **self._changes,
            )
            settings = decode(tree)
            self.settings.append(settings)
            daemon = Daemon(settings)
            self.daemons.append(daemon)
            await tasks.start(daemon.run)

    async def stop(self) -> None:
        """Stop the stand-ins."""
        await self.store.stop()
        await self.host_list.stop()

    async def apply(self, changes: Sequence[Change]) -> None:
        """Create entities by operator calls, and wait until every host has applied them."""
        generation = Generation(0)
        for change in changes:
            request = pb.ChangeRequest(
                operation_id=str(uuid_utils.uuid7()), expected_generation=0, change=change_to_wire(change)
            )
            outcome = await self.call("change", request)
            while isinstance(outcome, QuorumMissing):
                # Hosts that have just started have not received heartbeats from each other yet.
                await anyio.sleep(0.1)
                outcome = await self.call("change", request)
            if not isinstance(outcome, ChangeAccepted):
                raise RuntimeError(f"{type(change).__name__} was not accepted: {outcome}")
            generation = outcome.generation
        await self.wait_until_applied(generation)

    async def call(self, method: str, request: Any) -> Outcome:
        """Make one operator call that changes the configuration."""
        client = OperatorClient(self.operator_addresses, OPERATOR_TOKEN)
        return await anyio.to_thread.run_sync(client.change, method, request)

    async def configuration(self, host: int = 0) -> Catalogue:
        """Return the configuration that one host holds."""
        client = OperatorClient(self.operator_addresses[host : host + 1], OPERATOR_TOKEN)
        return await anyio.to_thread.run_sync(client.configuration)

    async def wait_until_applied(self, generation: Generation) -> None:
        """Wait until every host has applied a generation."""
        for host in range(self._hosts):
            while (await self.configuration(host)).generation < generation:
                await anyio.sleep(0.02)
