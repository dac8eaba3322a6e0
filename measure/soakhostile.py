"""Hostile clients of the fault soak: they send what is outside all limits, and check the memory of the hosts."""

import asyncio
import contextlib
import random
import re
from collections.abc import Callable, Sequence
from pathlib import Path

from measure.soakhosts import MEMORY_MB, SoakHost

__all__ = ["run_hostile_client"]

# Far more than any limit, and little enough that ordinary callers are not slowed down by the loopback device.
SENT_BYTES = 1_048_576
WRITE_BYTES = 16_384
FLOOD_LIMIT_S = 3.0
PAUSE_S = (0.2, 1.0)
HELD_CONNECTIONS = 20
HELD_S = 0.5
LISTENERS = ("front", "ready", "directory", "control")

_POST = b"POST /order/x HTTP/1.1\r\nhost: h.example\r\n"
_CHUNKED = _POST + b"transfer-encoding: chunked\r\n\r\n"
# Openings, each with the part that is repeated behind it.
FLOODS = (
    (b"GET /all/q HTTP/1.1\r\nlong: ", b"x"),
    (b"GET /all/q HTTP/1.1\r\n", b"a: b\r\n"),
    (b"", b"\r\n"),
    (_CHUNKED + b"0\r\n", b"late: trailer\r\n"),
    (_CHUNKED, b"1;a=bcdefg\r\nx\r\n"),
    (_CHUNKED, b"1f9\r\n" + b"x" * 505 + b"\r\n"),
    (_POST + b"content-length: 2000000000\r\n\r\n", b"x"),
    (b"", b"GET /none HTTP/1.1\r\nhost: h.example\r\n\r\n"),
    (b"GET /all/q HTTP/1.1\r\n", b"\x00"),
)


async def run_hostile_client(
    hosts: Sequence[SoakHost], report: Callable[[str, str], None], rng: random.Random
) -> None:
    """Flood or occupy one host after the other, and check its memory each time."""
    while True:
        await asyncio.sleep(rng.uniform(*PAUSE_S))
        host, listener = rng.choice(hosts), rng.choice(LISTENERS)
        opening, repeated = rng.choice(FLOODS)
        holds = rng.random() < 0.2
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(FLOOD_LIMIT_S):
                if holds:
                    await _hold(host, listener, opening)
                else:
                    await _flood(host, listener, opening, repeated)
        peak_mb = _peak_memory_mb(host)
        if peak_mb > MEMORY_MB:
            report("a host stays within its memory", f"n{host.number} took {peak_mb:.0f} MB")


async def _flood(host: SoakHost, listener: str, opening: bytes, repeated: bytes) -> None:
    _, writer = await asyncio.open_connection(host.ip, host.ports[listener])
    try:
        writer.write(opening)
        part = repeated * (WRITE_BYTES // len(repeated))
        for _ in range(SENT_BYTES // WRITE_BYTES):
            writer.write(part)
            await writer.drain()
    finally:
        writer.transport.abort()


async def _hold(host: SoakHost, listener: str, opening: bytes) -> None:
    """Keep connections open on which a request has begun."""
    writers = []
    try:
        for _ in range(HELD_CONNECTIONS):
            _, writer = await asyncio.open_connection(host.ip, host.ports[listener])
            writers.append(writer)
            writer.write(opening)
        await asyncio.sleep(HELD_S)
    finally:
        for writer in writers:
            writer.transport.abort()


def _peak_memory_mb(host: SoakHost) -> float:
    """Return the peak memory of the host's process, or 0 if it does not run."""
    if host.process is None:
        return 0.0
    try:
        status = Path(f"/proc/{host.process.pid}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(r"VmHWM:\s*(\d+) kB", status)
    return int(found[1]) / 1_024 if found else 0.0
