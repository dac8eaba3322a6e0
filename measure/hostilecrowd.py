"""Crowd of hostile clients as a process of its own: connections to one address that send what no client should."""

import asyncio
import contextlib
import itertools
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

import cappa

__all__ = ["MODES", "Mode"]

WRITE_BYTES = 24_000
RECONNECT_S = 0.05
CONNECT_LIMIT_S = 5.0

_GET = b"GET /one/x HTTP/1.1\r\nhost: h.example\r\nhawthornbridge-attempt-id: hostile\r\n"
_POST = b"POST /one/x HTTP/1.1\r\nhost: h.example\r\nhawthornbridge-attempt-id: hostile\r\n"
_NOT_FOUND = b"GET /none HTTP/1.1\r\nhost: h.example\r\n\r\n"
_RESOLVE = b"GET /resolve?name=h.example HTTP/1.1\r\nhost: h.example\r\n\r\n"
_METRICS = b"GET /metrics HTTP/1.1\r\nhost: h.example\r\n\r\n"
_SNAPSHOT = b"GET /snapshot HTTP/1.1\r\nhost: h.example\r\n\r\n"
_CHUNKED = _POST + b"transfer-encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Mode:
    """What each connection of a crowd sends, and how long it is kept once everything is sent."""

    opening: bytes
    repeated: bytes = b""
    # Bytes after which a connection sends nothing more; None stands for no end.
    sent_bytes: int | None = None
    kept_s: float = 0.0
    # Whether each write waits for an answer to the one before it.
    is_answered: bool = False

    def writes(self) -> Iterator[bytes]:
        """Return the bytes of each write."""
        yield self.opening
        if not self.repeated:
            return
        part = self.repeated if self.is_answered else self.repeated * max(1, WRITE_BYTES // len(self.repeated))
        count = None if self.sent_bytes is None else self.sent_bytes // len(part)
        yield from itertools.repeat(part) if count is None else itertools.repeat(part, count)


_LINES = b"".join(b"x%03d: " % number + b"v" * 54 + b"\r\n" for number in range(510))
MODES = {
    "header-line": Mode(_GET + b"long: ", b"x"),
    "empty-lines": Mode(b"", b"\r\n"),
    "trailers": Mode(_CHUNKED + b"0\r\n", b"name: " + b"v" * 56 + b"\r\n"),
    "announced-body": Mode(_POST + b"content-length: 2000000000\r\n\r\n", b"x"),
    "chunked-body": Mode(_CHUNKED, b"1f9\r\n" + b"x" * 505 + b"\r\n"),
    "open-body": Mode(_POST + b"content-length: 262144\r\n\r\n", b"x", 240_000, 10.0),
    "refused-heads": Mode(_GET + _LINES, kept_s=0.9),
    "tiny-chunks": Mode(_CHUNKED, b"1\r\nx\r\n"),
    "chunk-extensions": Mode(_CHUNKED, b"1;name=" + b"v" * 120 + b"\r\nx\r\n"),
    "pipelined": Mode(b"", _NOT_FOUND),
    "requests": Mode(_NOT_FOUND, _NOT_FOUND, is_answered=True),
    "resolve": Mode(_RESOLVE, _RESOLVE, is_answered=True),
    "metrics": Mode(_METRICS, _METRICS, is_answered=True),
    "snapshots": Mode(_SNAPSHOT, _SNAPSHOT, is_answered=True),
    "connects": Mode(b"\r\n"),
    "unread-answers": Mode(b"", _GET + b"\r\n", 40 * WRITE_BYTES, 20.0),
}


@dataclass
class Command:
    """Send to one address until the process is ended."""

    ip: str
    port: int
    connections: int
    modes: Annotated[list[str], cappa.Arg(help="Modes, which the connections have in turn.")]


async def _read_answer(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    await reader.readexactly(int(length[1]) if length else 0)


async def _play(address: tuple[str, int], mode: Mode) -> None:
    while True:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, writer = await asyncio.open_connection(*address)
            try:
                for part in mode.writes():
                    writer.write(part)
                    await writer.drain()
                    if mode.is_answered:
                        await _read_answer(reader)
                await asyncio.sleep(mode.kept_s)
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_S)


async def _run(command: Command) -> None:
    modes = [MODES[name] for name in command.modes]
    address = (command.ip, command.port)
    async with asyncio.TaskGroup() as tasks:
        for number in range(command.connections):
            tasks.create_task(_play(address, modes[number % len(modes)]))


if __name__ == "__main__":
    asyncio.run(_run(cappa.parse(Command)))
