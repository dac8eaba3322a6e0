"""Free ports for processes that are started on this machine."""

import random
import socket

__all__ = ["free_port"]

# Below the range of which the kernel takes the ports of outgoing connections, one of which could otherwise take a port
# between its choice and the start of the process that listens on it.
FIRST_PORT = 10_000
LAST_PORT = 32_767
ATTEMPTS = 1_000

_given: set[int] = set()


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port of an address that is free and that this process has not been given before."""
    for _ in range(ATTEMPTS):
        # A source of its own, because tests seed the common one and processes would then choose the same ports.
        port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
        if port not in _given and _is_free(ip, port):
            _given.add(port)
            return port
    raise OSError(f"no free port between {FIRST_PORT} and {LAST_PORT} in {ATTEMPTS} attempts")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
