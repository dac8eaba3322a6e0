"""Crowds of hostile clients, and one daemon with low limits that they are played against."""

import asyncio
import contextlib
import fcntl
import re
import signal
import socket
import struct
import sys
import termios
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest

from hawthornbridge.sockets import has_unread_bytes
from standins.platformleaf import PlatformLeaf
from standins.platformstore import PlatformStore
from tests.test_platform_daemon import DEPLOYED_COMMAND, QUERY, Daemon, configuration, forwarding, wait_for_line

# Limits of the machine, as its settings state them. Of the descriptors, 200 are reserved for files.
MEMORY_MB = 64
MAX_FDS = 300
MAX_SOCKETS = MAX_FDS - 200
# Limits of the configuration.
HEADER_BYTES = 8_192
BODY_BYTES = 65_536
LARGE_BODY_BYTES = 1_048_576
LIMITS = {
    "max_header_bytes": HEADER_BYTES,
    "max_body_bytes": BODY_BYTES,
    "header_timeout_ms": 2_000,
    "idle_timeout_ms": 10_000,
}
CROWD = 12
# Requests that each fit into one read of the daemon. Their descriptors are stated in the test.
WHOLE_CROWD = 500
WHOLE_BODY_BYTES = 30_000
WHOLE_MAX_FDS = 1_300
UNREAD_ANSWER_BYTES = 3_145_728
# A client that gets rid of this many bytes, 64 times the limit on bodies, is not refused.
REFUSED_WITHIN_BYTES = 64 * BODY_BYTES
WRITE_BYTES = 16_384
SEND_BUFFER_BYTES = 32_768
RECEIVE_BUFFER_BYTES = 16_384
# Time in which what was sent on loopback arrives and is acknowledged; until then it is in both queues.
ACKNOWLEDGED_S = 0.3
# State of a listening socket in /proc/net/tcp.
TCP_LISTEN = "0A"
# Ends a test that hangs; no check depends on it.
HANG_S = 120.0
# Time for which a client keeps sending requests whose answers it does not read.
FLOOD_S = 2.0
LISTENERS = ("front", "ready", "directory", "control", "metrics")

POST = b"POST /s0/x HTTP/1.1\r\nhost: h.example\r\nhawthornbridge-attempt-id: hostile\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
GET = b"GET /s0/x HTTP/1.1\r\nhost: h.example\r\nhawthornbridge-attempt-id: hostile\r\n"


@dataclass(frozen=True)
class Stream:
    """Bytes that a hostile client sends: an opening, and then a part again and again."""

    opening: bytes
    repeated: bytes


ENDLESS = {
    "request line": Stream(b"GET /s0/", b"x"),
    "header line": Stream(GET + b"long: ", b"x"),
    "header lines": Stream(GET, b"a: bcdef\r\n"),
    "empty lines": Stream(b"", b"\r\n"),
    "trailers": Stream(CHUNKED + b"0\r\n", b"name: " + b"v" * 56 + b"\r\n"),
    "trailer line": Stream(CHUNKED + b"0\r\nname: ", b"x"),
    "announced body": Stream(POST + b"content-length: 2000000000\r\n\r\n", b"x"),
    "chunked body": Stream(CHUNKED, b"1f9\r\n" + b"x" * 505 + b"\r\n"),
    "tiny chunks": Stream(CHUNKED, b"1\r\nx\r\n"),
    "chunk extension": Stream(CHUNKED + b"5;", b"x"),
    "chunk extensions": Stream(CHUNKED, b"1;name=" + b"v" * 502 + b"\r\nx\r\n"),
}


class Crowd:
    """Hostile clients over sockets of their own; none of them reads what it gets."""

    def __init__(self, address):
        self._address = address
        self._connections = []

    async def connect(self):
        connection = socket.socket()
        connection.setblocking(False)
        # Bytes in the buffers of the kernel count as sent, although nobody has read them.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._connections.append(connection)
        await asyncio.get_running_loop().sock_connect(connection, self._address)
        return connection

    async def flood(self, stream):
        """Send without end; return whether the connection was closed before it had sent what refusals are due in."""
        loop = asyncio.get_running_loop()
        write = stream.repeated * (WRITE_BYTES // len(stream.repeated))
        sent = 0
        try:
            connection = await self.connect()
            await loop.sock_sendall(connection, stream.opening)
            while sent < REFUSED_WITHIN_BYTES:
                await loop.sock_sendall(connection, write)
                sent += len(write)
        except OSError:
            return True
        return False

    async def send_held(self, content):
        """Send what the daemon takes at once or is closed at, and keep the connection."""
        with anyio.move_on_after(5.0):
            try:
                await asyncio.get_running_loop().sock_sendall(await self.connect(), content)
            except OSError:
                return

    async def ask_one_after_the_other(self, content, count, answered):
        """Send the same request over several connections, each once the one before it has run at the leaf."""
        for number in range(1, count + 1):
            await self.send_held(content)
            while answered() < number:
                await anyio.sleep(0.005)

    async def reset_often(self, contents, count):
        """Open connections one after the other, send a little on each, and reset it at once."""
        for number in range(count):
            connection = await self.connect()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            with contextlib.suppress(OSError):
                connection.send(contents[number % len(contents)])
            self._connections.remove(connection)
            connection.close()

    async def flood_answered(self, request):
        """Send the same request without end, read no answer, and stop after as many bytes as refusals are due in."""
        with contextlib.suppress(OSError), anyio.move_on_after(FLOOD_S):
            connection = await self.connect()
            write = request * (WRITE_BYTES // len(request))
            for _ in range(REFUSED_WITHIN_BYTES // len(write)):
                await asyncio.get_running_loop().sock_sendall(connection, write)

    async def reconnect_without_end(self, content):
        """Open a connection, send a little, wait until the daemon answers or closes, and begin again."""
        while True:
            connection = await self.connect()
            with contextlib.suppress(OSError):
                await asyncio.get_running_loop().sock_sendall(connection, content)
                await asyncio.get_running_loop().sock_recv(connection, 1_000)
            self._connections.remove(connection)
            connection.close()

    async def fill(self, part):
        """Send over all connections what the kernel takes."""
        write = part * (WRITE_BYTES // len(part))
        progress = True
        while progress:
            progress = False
            for connection in self._connections:
                with contextlib.suppress(OSError):
                    while connection.send(write):
                        progress = True
            await anyio.sleep(ACKNOWLEDGED_S)

    async def send_all(self, content):
        """Send the same over all connections."""
        for connection in self._connections:
            await self.send(connection, content)

    def answered(self):
        """Return how many connections have received something."""
        return sum(has_unread_bytes(connection) for connection in self._connections)

    async def unread_bytes(self, daemon):
        """Return the bytes that the kernel has taken and that a frozen daemon has not read."""
        await anyio.sleep(ACKNOWLEDGED_S)
        return sum(_unsent_bytes(connection) for connection in self._connections) + unread_bytes(daemon)

    async def ask(self, connection, request):
        await self.send(connection, request)
        await self.receive(connection)

    async def send(self, connection, request):
        await asyncio.get_running_loop().sock_sendall(connection, request)

    async def receive(self, connection, status=b"200"):
        """Wait for an answer without a body."""
        with anyio.fail_after(HANG_S):
            answer = b""
            while not answer.endswith(b"\r\n\r\n"):
                answer += await asyncio.get_running_loop().sock_recv(connection, 1_000)
        assert answer.startswith(b"HTTP/1.1 " + status), answer

    def close(self):
        for connection in self._connections:
            connection.close()
        self._connections.clear()


def hostile_site():
    """Return the fixture of a daemon that is played against crowds of hostile clients."""

    @pytest.fixture
    async def site(tmp_path, free_port):
        """Return a started daemon, a function that makes crowds at one of its listeners, the store and the leaves."""
        store = PlatformStore()
        await store.start()
        leaves = [PlatformLeaf(f"{shard}-0", shard) for shard in ("s0", "s1")]
        for leaf in leaves:
            await leaf.start()
            store.put(f"servers/{leaf.id}", leaf.entry())
        put_configuration(store, LIMITS)
        daemon = Daemon(tmp_path, store, free_port, "n31", command=DEPLOYED_COMMAND, starts=False)
        with daemon.settings.open("a") as file:
            file.write(f"limits: {{memory_mb: {MEMORY_MB}, max_fds: {MAX_FDS}}}\n")
        daemon.start()
        await daemon.wait_ready()
        crowds = []

        def crowd_at(listener="front"):
            crowds.append(Crowd((daemon.ip, daemon.ports[listener])))
            return crowds[-1]

        yield daemon, crowd_at, store, leaves
        for crowd in crowds:
            crowd.close()
        daemon.end()
        for server in (store, *leaves):
            await server.stop()

    return site


def put_configuration(store, limits, version=1):
    gather, single = configuration(["s0", "s1"], version), forwarding(["s0"])
    store.put("op/config", gather | {"routes": gather["routes"] + single["routes"], "limits": limits})


def peak_memory_mb(daemon):
    status = Path(f"/proc/{daemon.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s*(\d+) kB", status)[1]) / 1_024


@contextlib.contextmanager
def frozen(daemon):
    """Stop a daemon, as a machine that freezes, and let it go on at the end."""
    daemon.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        daemon.process.send_signal(signal.SIGCONT)


@contextlib.contextmanager
def stopped_by_answers(daemon, connection):
    """Let the kernel stop a daemon while it sends an answer, so that it reads nothing more."""
    flags = fcntl.fcntl(connection, fcntl.F_GETFL)
    fcntl.fcntl(connection, fcntl.F_SETOWN, daemon.process.pid)
    fcntl.fcntl(connection, fcntl.F_SETSIG, signal.SIGSTOP)
    fcntl.fcntl(connection, fcntl.F_SETFL, flags | fcntl.FASYNC)
    try:
        yield
    finally:
        fcntl.fcntl(connection, fcntl.F_SETFL, flags)


def private_memory_mb(daemon):
    status = Path(f"/proc/{daemon.process.pid}/status").read_text()
    return int(re.search(r"RssAnon:\s*(\d+) kB", status)[1]) / 1_024


def unread_bytes(daemon):
    """Return the bytes that the daemon's sockets have received and that it has not read."""
    address = socket.inet_aton(daemon.ip)[::-1].hex().upper()
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # The queue of a listening socket is that of new connections.
        if fields[1].startswith(address) and fields[3] != TCP_LISTEN:
            total += int(fields[4].partition(":")[2], 16)
    return total


def _unsent_bytes(connection):
    size = bytearray(4)
    fcntl.ioctl(connection, termios.TIOCOUTQ, size)
    return int.from_bytes(size, sys.byteorder)


async def raise_descriptors(daemon):
    """Allow the daemon as many descriptors as the largest crowds need."""
    text = daemon.settings.read_text()
    daemon.settings.write_text(text.replace(f"max_fds: {MAX_FDS}", f"max_fds: {WHOLE_MAX_FDS}"))
    daemon.process.send_signal(signal.SIGHUP)
    await wait_for_line(daemon, '"message_type":"settings_reloaded"')


def open_sockets(daemon):
    folder = Path(f"/proc/{daemon.process.pid}/fd")
    count = 0
    for descriptor in list(folder.iterdir()):
        try:
            count += str(descriptor.readlink()).startswith("socket:")
        except FileNotFoundError:
            continue
    return count


async def wait_for_sockets(daemon, count):
    """Wait until the daemon has accepted as many connections."""
    with anyio.fail_after(HANG_S):
        while open_sockets(daemon) < count:
            await anyio.sleep(0.05)


class MostSockets:
    """The most sockets that a daemon was seen to have open while the tests ran."""

    def __init__(self, daemon):
        self._daemon = daemon
        self.count = 0

    async def watch(self):
        while True:
            self.count = max(self.count, open_sockets(self._daemon))
            await anyio.sleep(0.01)


async def play(daemon, clients):
    """Run the clients at the same time; return their results and the most sockets of the daemon."""
    most, results = MostSockets(daemon), []

    async def run(client):
        results.append(await client)

    with anyio.fail_after(HANG_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(most.watch)
            async with anyio.create_task_group() as crowd:
                for client in clients:
                    crowd.start_soon(run, client)
            most.count = max(most.count, open_sockets(daemon))
            tasks.cancel_scope.cancel()
    return results, most.count


async def check_sound(daemon, most_sockets, request_ids: Sequence[str] = ("r1",), max_sockets: int = MAX_SOCKETS):
    """Check that the daemon lives within the limits of its machine and answers an ordinary request."""
    assert daemon.process.poll() is None, daemon.log()
    for request_id in request_ids:
        with anyio.fail_after(HANG_S):
            status, _, body = await daemon.ask(
                "front", "/all/q", [("Hawthornbridge-Attempt-Id", request_id), QUERY[1]]
            )
        assert (status, len(body)) == (200, 80)
    # The answer shows that the daemon has accepted the connections of the crowd, which were made before.
    most_sockets = max(most_sockets, open_sockets(daemon))
    peak_mb = peak_memory_mb(daemon)
    print(f"peak {peak_mb:.1f} MB, at most {most_sockets} sockets")
    assert peak_mb < MEMORY_MB
    assert most_sockets <= max_sockets
