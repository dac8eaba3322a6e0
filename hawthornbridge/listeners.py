"""HTTP listeners: uvicorn with limits on callers and a drain that completes the requests in progress."""

import asyncio
import contextlib
import errno
import socket
from collections.abc import Iterator, Sequence

import anyio
from uvicorn.config import Config
from uvicorn.server import Server

from hawthornbridge.callerlimits import CallerBounds, bounds_of
from hawthornbridge.callerprotocol import CallerProtocol
from hawthornbridge.callers import ASGIApp, Message, Receive, Scope, Send
from hawthornbridge.events import Event, emit
from hawthornbridge.settings import LimitSettings
from hawthornbridge.sockets import BACKLOG, accept_all, drop_new_connections, listening_sockets

__all__ = ["Listener"]

POLL_INTERVAL_S = 0.01
BIND_RETRY_INTERVAL_S = 0.1
# The address is taken, or its network interface is not up yet.
TEMPORARY_BIND_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
# Time for handshakes in progress to complete before the listening socket is closed.
HANDSHAKE_WAIT_S = 0.01
# Connections accepted at a listener in one turn of the event loop. Those over the limit are closed some turns later.
ACCEPTED_AT_ONCE = 2


class _Server(Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections, a few in each turn of the event loop."""
        await super().startup(sockets)
        for listening in sockets or []:
            # Asyncio has set the queue of new connections to the number that it accepts at once.
            listening.listen(BACKLOG)

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop listening and end every connection, but answer all requests that have been received."""
        loop = asyncio.get_running_loop()
        listeners = sockets or []
        for listening in listeners:
            drop_new_connections(listening)
        await asyncio.sleep(HANDSHAKE_WAIT_S)
        for listening, server in zip(listeners, self.servers, strict=True):
            # Closing the socket resets connections that are established but not accepted yet.
            loop.remove_reader(listening)
            waiting = accept_all(listening)
            server.close()
            for connection in waiting:
                await loop.connect_accepted_socket(self._create_protocol, connection)
        await super().shutdown(sockets)

    def _create_protocol(self) -> asyncio.Protocol:
        config = self.config
        return config.http_protocol_class(  # type: ignore[call-arg]
            config=config, server_state=self.server_state, app_state=self.lifespan.state
        )


class Listener:
    """Listener that serves one ASGI application on one or more addresses until it is drained."""

    def __init__(
        self,
        app: ASGIApp,
        addresses: str | Sequence[str],
        limits: LimitSettings | CallerBounds,
        address_wait_s: float = 0.0,
    ) -> None:
        """Create a listener that waits at most address_wait_s for addresses that other processes have."""
        self._app = app
        self._addresses = [addresses] if isinstance(addresses, str) else list(addresses)
        self._bounds = limits if isinstance(limits, CallerBounds) else bounds_of(limits)
        protocol = type("BoundedProtocol", (CallerProtocol,), {"bounds": self._bounds})
        config = Config(
            self._serve_request,
            interface="asgi3",
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            backlog=ACCEPTED_AT_ONCE,
        )
        self._server = _Server(config)
        self._address_wait_s = address_wait_s
        self._closing = False
        self._stopped = anyio.Event()
        self.in_progress = 0

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listen and serve; return once the listener is drained."""
        with contextlib.ExitStack() as stack:
            listening = [stack.enter_context(each) for each in await self._open_sockets()]
            self._bounds.add_listening(listening)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_server, listening)
                while not self._server.started:
                    await anyio.sleep(POLL_INTERVAL_S)
                task_status.started()
        self._stopped.set()

    async def _open_sockets(self) -> list[socket.socket]:
        """Listen on all addresses; wait while one is taken, as by the previous process of this host."""
        until_s = anyio.current_time() + self._address_wait_s
        is_reported = False
        while True:
            try:
                return listening_sockets(self._addresses)
            except OSError as error:
                if error.errno not in TEMPORARY_BIND_ERRORS or anyio.current_time() >= until_s:
                    raise
                detail = str(error)
            if not is_reported:
                emit(Event.ADDRESS_AWAITED, addresses=self._addresses, detail=detail)
                is_reported = True
            await anyio.sleep(BIND_RETRY_INTERVAL_S)

    def close_after_answers(self) -> None:
        """Close each connection after its next answer, so that callers move to other hosts."""
        self._closing = True

    async def drain(self) -> None:
        """Stop accepting connections, and return once every request in progress is answered."""
        self._closing = True
        self._server.should_exit = True
        await self._stopped.wait()

    def abort(self) -> int:
        """Abort the requests in progress and return their number."""
        self._server.force_exit = True
        for task in list(self._server.server_state.tasks):
            task.cancel()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        return self.in_progress

    async def _run_server(self, listening: list[socket.socket]) -> None:
        await self._server.serve(sockets=listening)

    async def _serve_request(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_closing(message: Message) -> None:
            if self._closing and message["type"] == "http.response.start":
                message = {**message, "headers": [*message["headers"], (b"connection", b"close")]}
            await send(message)

        self.in_progress += 1
        try:
            await self._app(scope, receive, send_closing)
        finally:
            self.in_progress -= 1
