"""Minimal HTTP/1.1 server; its low cost allows hundreds of stand-ins in one process."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import httptools

__all__ = ["REPEATED_BYTES", "Answer", "Call", "Drop", "End", "Handler", "Raw", "Server"]

REPEATED_BYTES = 8_192
REPEAT_INTERVAL_S = 0.001


@dataclass(frozen=True, slots=True)
class Call:
    """A received request; body is the decoded JSON, content the raw bytes, and header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    body: Any
    content: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    is_disconnected: Callable[[], bool] = lambda: False


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer with a JSON or bytes body; more than one copy simulates a duplicated answer."""

    status: int
    body: Any
    copies: int = 1
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Drop:
    """Instruction to reset the connection without an answer."""


class End(Enum):
    """What happens to the connection after a raw answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    # The last REPEATED_BYTES of the answer are sent again and again until the client closes the connection.
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class Raw:
    """An answer that is sent byte for byte, so that it can violate HTTP."""

    content: bytes
    end: End = End.KEEP


Handler = Callable[[Call], Awaitable[Answer | Drop | Raw]]


class _Connection(asyncio.Protocol):
    def __init__(self, server: "Server") -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._body: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(transport)
        if self._server.connect_cost_s > 0:
            transport.pause_reading()
            asyncio.get_running_loop().call_later(self._server.connect_cost_s, self._ready)

    def _ready(self) -> None:
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        assert self._transport is not None
        self._server.closed(self._transport)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        parsed = httptools.parse_url(self._url)
        body = b"".join(self._body)
        query = dict(parse_qsl((parsed.query or b"").decode(), keep_blank_values=True))
        method = self._parser.get_method().decode()
        decoded = None
        with contextlib.suppress(ValueError):
            decoded = json.loads(body) if body else None
        transport = self._transport
        assert transport is not None
        call = Call(method, parsed.path.decode(), query, decoded, body, self._headers, transport.is_closing)
        self._url = b""
        self._body = []
        self._headers = {}
        self._task = asyncio.get_running_loop().create_task(self._respond(call))

    async def _respond(self, call: Call) -> None:
        answer = await self._server.handler(call)
        assert self._transport is not None
        if self._transport.is_closing():
            return
        if isinstance(answer, Drop):
            self._transport.abort()
            return
        if isinstance(answer, Raw):
            await self._send_raw(answer)
            return
        content = answer.body if isinstance(answer.body, bytes) else json.dumps(answer.body).encode()
        phrase = HTTPStatus(answer.status).phrase if answer.status != 499 else "Client Closed Request"
        head = f"HTTP/1.1 {answer.status} {phrase}\r\ncontent-length: {len(content)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in answer.headers.items())
        self._transport.write((head.encode() + b"\r\n" + content) * answer.copies)

    async def _send_raw(self, answer: Raw) -> None:
        assert self._transport is not None
        self._transport.write(answer.content)
        match answer.end:
            case End.NEVER:
                await self._repeat(self._transport, answer.content[-REPEATED_BYTES:])
            case End.CLOSE:
                self._transport.close()
            case End.RESET:
                self._transport.abort()

    async def _repeat(self, transport: asyncio.Transport, content: bytes) -> None:
        while not transport.is_closing():
            if transport.get_write_buffer_size() == 0:
                transport.write(content * 8)
            await asyncio.sleep(REPEAT_INTERVAL_S)


class Server:
    """HTTP server of one stand-in on a loopback port."""

    def __init__(self, handler: Handler, connection_limit: int | None = None, connect_cost_s: float = 0.0) -> None:
        self.handler = handler
        self.connect_cost_s = connect_cost_s
        self.port = 0
        self.most_connections = 0
        self.refused_connections = 0
        self._connection_limit = connection_limit
        self._transports: set[asyncio.Transport] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address as ip:port."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 picks a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        for transport in list(self._transports):
            transport.abort()
        await asyncio.sleep(0)

    def opened(self, transport: asyncio.Transport) -> None:
        """Register a connection, and reset it if it exceeds the limit."""
        self._transports.add(transport)
        self.most_connections = max(self.most_connections, len(self._transports))
        if self._connection_limit is not None and len(self._transports) > self._connection_limit:
            self.refused_connections += 1
            transport.abort()

    def closed(self, transport: asyncio.Transport) -> None:
        """Unregister a closed connection."""
        self._transports.discard(transport)
