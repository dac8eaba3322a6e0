"""Clients of case 6, as a process of their own: connections to one address that send heads without end, or are proper.

Arguments: address, port, number of connections, and `endless` or `proper`.
"""

import asyncio
import sys

# As many header lines as fit: their names and values are over the limit of the desired state, 16,384 bytes.
LINES = b"".join(b"x%03d: " % number + b"v" * 54 + b"\r\n" for number in range(510))
HEAD = b"GET /timi402/2f HTTP/1.1\r\nHost: pupu76.example\r\n"
IDS = b"Hawthornbridge-Attempt-Id: %016x\r\nHawthornbridge-Deadline-Ms: 4000\r\n\r\n"
WAIT_S = 0.9


async def endless(address: tuple[str, int]) -> None:
    """Send a head that does not end, read what the host says, and begin again on a new connection."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(HEAD + LINES)
            await writer.drain()
            await reader.read(1000)
            await asyncio.sleep(WAIT_S)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.05)


async def proper(address: tuple[str, int], number: int) -> None:
    """Send a small request now and then on a connection that is kept open."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
            while True:
                writer.write(HEAD + IDS % number)
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(10.0)
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.5)


async def main() -> None:
    address, count = (sys.argv[1], int(sys.argv[2])), int(sys.argv[3])
    if sys.argv[4] == "endless":
        await asyncio.gather(*(endless(address) for _ in range(count)))
    else:
        await asyncio.gather(*(proper(address, number) for number in range(count)))


asyncio.run(main())
