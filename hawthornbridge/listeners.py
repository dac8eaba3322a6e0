"""HTTP listeners: uvicorn with limits on request heads and a drain that completes the requests in progress."""

import asyncio
import contextlib
import errno
import socket
from collections.abc import Iterator, Sequence

import anyio
import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hawthornbridge.callers import ASGIApp, Message, Receive, Scope, Send
from hawthornbridge.events import Event, emit
from hawthornbridge.outcomes import Execution, RefusalKind
from hawthornbridge.settings import LimitSettings
from hawthornbridge.sockets import accept_all, drop_new_connections, has_unread_bytes, listening_sockets

__all__ = ["Listener"]

POLL_INTERVAL_S = 0.01
BIND_RETRY_INTERVAL_S = 0.1
# The address is taken, or its network interface is not up yet.
TEMPORARY_BIND_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
# Longer than the interval between two requests of a busy caller, so that such a caller seldom has to reconnect.
KEEP_ALIVE_TIMEOUT_S = 15
# A drain closes a connection once it has been quiet for this long, because a busy caller may send its next request at
# the moment in which the connection is closed.
QUIET_BEFORE_CLOSE_S = 0.5
# Time for handshakes in progress to complete before the listening socket is closed.
HANDSHAKE_WAIT_S = 0.01


class _HeadTooLongError(Exception):
    """Raised in a callback to end parsing when a head is too long; httptools itself has no such limit."""


class _BoundedProtocol(HttpToolsProtocol):
    """HTTP protocol that limits the size and read time of a request's head, which uvicorn's protocol does not."""

    limits: LimitSettings
    _reading_head = False
    _head_bytes = 0
    _closing = False
    # Uvicorn sets the URL when a request begins; input may be refused before that, and the refusal reads the URL.
    url = b""
    _refusal_body: bytes | None = None
    _head_timer: asyncio.TimerHandle | None = None
    # When the connection was opened or its latest answer sent, on the clock of the event loop.
    _last_event_s = 0.0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._last_event_s = self.loop.time()
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._refusal_body is not None:
            return
        if self.cycle is None or self.cycle.response_complete:
            self._start_head_timer()
        super().data_received(data)
        if self._reading_head and self._refusal_body is None:
            self._head_bytes += len(data)
            if self._head_bytes > self.limits.header_bytes:
                self._refuse_long_head()

    def on_message_begin(self) -> None:
        self._reading_head = True
        self._head_bytes = 0
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._reading_head = False
        self._cancel_head_timer()
        size = len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > self.limits.header_bytes:
            raise _HeadTooLongError
        super().on_headers_complete()
        if self._closing:
            self.cycle.keep_alive = False

    def send_400_response(self, msg: str) -> None:
        """Refuse input that the parser rejects: with 431 if the head is too long, otherwise with 400."""
        size = len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers or ())
        if size > self.limits.header_bytes:
            self._refuse_long_head()
        else:
            self._refuse(400, "not an HTTP/1.1 request", "head")

    def shutdown(self) -> None:
        """Close the connection once it is idle; a request that has been received, read or not, is answered first."""
        self._closing = True
        if self._reading_head or self.transport.is_closing():
            return
        quiet_s = self.loop.time() - self._last_event_s
        if quiet_s < QUIET_BEFORE_CLOSE_S and (self.cycle is None or self.cycle.response_complete):
            self.loop.call_later(QUIET_BEFORE_CLOSE_S - quiet_s, self.shutdown)
        elif not self._has_unread_bytes():
            super().shutdown()

    def on_response_complete(self) -> None:
        self._last_event_s = self.loop.time()
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that has been idle, unless a request has arrived while the event loop was busy."""
        if not self._has_unread_bytes():
            super().timeout_keep_alive_handler()

    def _has_unread_bytes(self) -> bool:
        # A connection that is closed with unread bytes is reset, and the request is lost without an answer.
        return has_unread_bytes(self.transport.get_extra_info("socket"))

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(self.limits.read_ms / 1_000, self._on_head_timeout)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if not self._reading_head:
            self.transport.close()
            return
        self._refuse(408, f"the request head was not received within {self.limits.read_ms} ms", "headers")

    def _refuse_long_head(self) -> None:
        self._refuse(431, f"the request head is larger than {self.limits.header_bytes} bytes", "headers")

    def _refuse(self, status: int, detail: str, field: str) -> None:
        error = {"kind": RefusalKind.BAD_REQUEST.value, "execution": Execution.NOT_RUN.value}
        self._refusal_body = msgspec.json.encode({"error": {**error, "detail": detail, "field": field}})
        self._cancel_head_timer()
        head = f"HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\nconnection: close\r\n"
        self.transport.write(
            head.encode() + f"content-length: {len(self._refusal_body)}\r\n\r\n".encode() + self._refusal_body
        )
        self.transport.close()


class _Server(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

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
        self, app: ASGIApp, addresses: str | Sequence[str], limits: LimitSettings, address_wait_s: float = 0.0
    ) -> None:
        """Create a listener that waits at most address_wait_s for addresses that other processes have."""
        self._app = app
        self._addresses = [addresses] if isinstance(addresses, str) else list(addresses)
        protocol = type("BoundedProtocol", (_BoundedProtocol,), {"limits": limits})
        config = uvicorn.Config(
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
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
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
