"""ControlPlane plane of one host: peers, membership and configuration."""

import random

import anyio

from hawthornbridge.configuration import Configuration
from hawthornbridge.membership import HostIdentity, HostListSource, Membership
from hawthornbridge.messages import Codec
from hawthornbridge.peers import Links, Peers
from hawthornbridge.store import Store

__all__ = ["ControlPlane"]


class ControlPlane:
    """Create and run the components that exchange messages with other hosts and keep the configuration."""

    def __init__(
        self,
        identity: HostIdentity,
        token: str,
        links: Links,
        store: Store,
        known_addresses: tuple[str, ...] = (),
        host_list: HostListSource | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.peers = Peers(links, Codec(token))
        self.membership = Membership(identity, self.peers, known_addresses, host_list, rng)
        self.configuration = Configuration(store, self.membership, self.peers, rng)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.peers.run)
            tasks.start_soon(self.membership.run)
            tasks.start_soon(self.configuration.run)
