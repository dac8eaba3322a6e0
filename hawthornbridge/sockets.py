"""Operations on TCP sockets that asyncio does not offer."""

import array
import contextlib
import select
import socket
import struct
from collections.abc import Sequence

__all__ = [
    "BACKLOG",
    "accept_all",
    "drop_new_connections",
    "has_ended",
    "has_unread_bytes",
    "is_reset",
    "listening_sockets",
]

BACKLOG = 2_048

# From Linux' asm-generic/socket.h; the socket module does not name it.
SO_ATTACH_FILTER = 26
# Classic BPF program on TCP segments that drops those with SYN and without ACK: the first ones of new connections.
_DROP_SYN = b"".join(
    struct.pack("=HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # Load the byte with the flags of the TCP header.
        (0x54, 0, 0, 0x12),  # Keep SYN and ACK.
        (0x15, 0, 1, 0x02),  # Skip the next instruction unless only SYN is set.
        (0x06, 0, 0, 0),  # Drop the segment.
        (0x06, 0, 0, 0xFFFFFFFF),  # Accept the whole segment.
    )
)
_INSTRUCTION_BYTES = 8


def _bound_socket(address: str) -> socket.socket:
    """Return a TCP socket that is bound to an address given as ip:port."""
    # asyncio disables Nagle's algorithm only on sockets that are created with IPPROTO_TCP. With the algorithm on, the
    # second of two writes of an answer waits for the peer's delayed acknowledgement, about 40 ms.
    host, _, port = address.partition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((host, int(port)))
    except OSError:
        listening.close()
        raise
    return listening


def listening_sockets(addresses: Sequence[str]) -> list[socket.socket]:
    """Return TCP sockets that listen on addresses given as ip:port; raise OSError if one of them can't be had."""
    with contextlib.ExitStack() as stack:
        opened = [stack.enter_context(_bound_socket(address)) for address in addresses]
        # A port is only taken for certain by listening on it. No caller waits at one before all are bound.
        for listening in opened:
            listening.listen(BACKLOG)
        stack.pop_all()
    return opened


def drop_new_connections(listening: socket.socket) -> None:
    """Drop the first segment of each new connection; their clients send it again after about a second.

    A process can be interrupted between its last accept and the closing of the socket, and connections that are
    established in the meantime would be reset. Where the system has no such filters, the socket stays as it is.
    """
    program = array.array("B", _DROP_SYN)
    address, size = program.buffer_info()
    option = struct.pack("HP", size // _INSTRUCTION_BYTES, address)
    with contextlib.suppress(OSError):
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)


def accept_all(listening: socket.socket) -> list[socket.socket]:
    """Accept all connections that are waiting on a non-blocking socket."""
    accepted = []
    # Ends when no connection is waiting, or when the process has no descriptor left for one.
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listening.accept()
            accepted.append(connection)
    return accepted


def has_unread_bytes(connection: socket.socket) -> bool:
    """Return whether bytes, or the end of the stream, have arrived that have not been read."""
    # poll accepts any descriptor; select fails from 1024 on.
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))


def has_ended(connection: socket.socket) -> bool:
    """Return whether the peer has ended its side or reset the connection, also if what it sent before is not read."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))


def is_reset(connection: socket.socket) -> bool:
    """Return whether the peer has reset the connection, so that nothing can be sent or read any more."""
    poll = select.poll()
    # Errors and the end of both directions are reported in any case.
    poll.register(connection, 0)
    return bool(poll.poll(0))
