"""Directory of the addresses that callers use."""

import random
from collections.abc import Callable

from hawthornbridge.presence import HostList

__all__ = ["MAX_ADDRESSES", "Directory"]

MAX_ADDRESSES = 64


class Directory:
    """Selects the hosts whose addresses are returned to callers."""

    def __init__(self, hosts: HostList, is_ready: Callable[[], bool], rng: random.Random | None = None) -> None:
        self._hosts = hosts
        self._is_ready = is_ready
        self._random = rng or random.Random()

    def addresses(self) -> list[str]:
        """Return the addresses of serving hosts, at most MAX_ADDRESSES."""
        own = self._hosts.own
        addresses = [entry.address for entry in self._hosts.serving if entry.host != own.host]
        if len(addresses) < len(self._hosts.serving) or not addresses:
            # This host is among the serving hosts, or the list is empty.
            addresses += [own.address] if self._is_ready() else []
        if len(addresses) > MAX_ADDRESSES:
            addresses = self._random.sample(addresses, MAX_ADDRESSES)
        return addresses
