import socket
from pathlib import Path

import pytest

from standins import ports


def test_no_port_is_given_twice(monkeypatch):
    """Guards against a daemon whose listeners share a port, so that one of them answers for the other."""
    monkeypatch.setattr(ports, "LAST_PORT", ports.FIRST_PORT + 40)
    monkeypatch.setattr(ports, "_given", set())
    found = [ports.free_port() for _ in range(20)]
    assert len(set(found)) == len(found)


def test_no_port_that_is_in_use_or_serves_outgoing_connections_is_given(monkeypatch):
    """Guards against a port that is taken before the process that was given it listens."""
    with socket.socket() as busy:
        busy.bind(("127.0.0.1", 0))
        port = busy.getsockname()[1]
        monkeypatch.setattr(ports, "FIRST_PORT", port)
        monkeypatch.setattr(ports, "LAST_PORT", port)
        with pytest.raises(OSError, match="no free port"):
            ports.free_port()
    monkeypatch.undo()
    first, _ = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
    assert int(first) > ports.LAST_PORT
