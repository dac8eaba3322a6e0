"""Loopback TCP proxy that delays data, drops data in one or both directions, or resets connections."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

__all__ = ["FaultProxy", "LinkFault"]

READ_LIMIT_BYTES = 65_536
LINK_DELAY_S = 0.15


class LinkFault(Enum):
    """Fault that the proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"


class FaultProxy:
    """Proxy in front of one address; data that arrives while a fault drops it is lost."""

    def __init__(self, target: str) -> None:
        host, _, port = target.partition(":")
        self._target = (host, int(port))
        self.fault = LinkFault.NONE
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address as ip:port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.sleep(0)

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                raw_socket = writer.get_extra_info("socket")
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, to_target=True),
                self._forward(target_reader, writer, to_target=False),
            )
        finally:
            self._writers -= {writer, target_writer}

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, to_target: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_LIMIT_BYTES):
                match self.fault:
                    case LinkFault.SILENT:
                        continue
                    case LinkFault.ONE_WAY if not to_target:
                        continue
                    case LinkFault.DELAY:
                        await asyncio.sleep(LINK_DELAY_S)
                writer.write(data)
                await writer.drain()
        writer.close()
