import socket

import pytest

from hawthornbridge.sockets import accept_all, drop_new_connections, has_unread_bytes, listening_sockets

CONNECT_TIMEOUT_S = 0.2


@pytest.fixture
def listening():
    (listening,) = listening_sockets(["127.0.0.1:0"])
    with listening:
        listening.setblocking(False)
        listening.listen()
        yield listening


def connect(listening):
    return socket.create_connection(listening.getsockname(), CONNECT_TIMEOUT_S)


def test_waiting_connections_are_accepted_though_new_ones_are_dropped(listening):
    """Guards against connections that are established, and then reset, while a host stops listening."""
    with connect(listening) as first, connect(listening) as second:
        drop_new_connections(listening)
        with pytest.raises(TimeoutError):
            connect(listening)
        first.sendall(b"1")
        accepted = accept_all(listening)
        assert len(accepted) == 2 and accepted[0].recv(1) == b"1"
        for connection in accepted:
            connection.sendall(b"2")
            connection.close()
        assert first.recv(1) == second.recv(1) == b"2"
    assert accept_all(listening) == []


def test_bytes_and_the_end_of_a_stream_are_noticed_without_reading_them():
    """Guards against a connection that is closed although a request has arrived on it."""
    near, far = socket.socketpair()
    with near, far:
        assert not has_unread_bytes(near)
        far.sendall(b"x")
        assert has_unread_bytes(near) and near.recv(1) == b"x"
        assert not has_unread_bytes(near)
        far.close()
        assert has_unread_bytes(near)


def test_all_addresses_are_listened_on_or_none(free_port):
    """Guards against callers that wait at one port of a host while another one of its ports is taken."""
    first, second = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
    (other,) = listening_sockets([second])
    with other, pytest.raises(OSError, match="in use"):
        listening_sockets([first, second])
    for listening in listening_sockets([first, second]):
        listening.close()
