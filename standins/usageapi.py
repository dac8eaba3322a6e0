"""Stand-in for the platform's API for usage reports, with configurable faults."""

import asyncio
import time
from dataclasses import dataclass
from enum import Enum
from math import inf

from standins.server import Answer, Call, Drop, Server

__all__ = ["ApiFault", "ReceivedReport", "UsageApi", "broken_rules"]


class ApiFault(Enum):
    """How the API treats calls."""

    DOWN = "down"
    SILENT = "silent"
    LOST_ANSWER = "lost_answer"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report that the API has accepted."""

    time_s: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]


def broken_rules(received: list[ReceivedReport], lease_s: float) -> list[str]:
    """Return how reports break the rules of a duty that has one holder at a time."""
    broken: list[str] = []
    counts: dict[int, dict[str, int]] = {}
    holders: dict[int, str] = {}
    last_acts: dict[str, float] = {}
    highest, last_holder = 0, ""
    for each in received:
        if counts.setdefault(each.window, each.counts) != each.counts:
            broken.append(f"two counts for window {each.window}")
        if holders.setdefault(each.token, each.holder) != each.holder:
            broken.append(f"token {each.token} of two holders")
        if each.token < highest:
            broken.append(f"token {each.token} after {highest}")
        highest = max(highest, each.token)
        if each.holder != last_holder and each.time_s - last_acts.get(each.holder, -inf) < lease_s:
            broken.append(f"{each.holder} acts again within {lease_s} s")
        last_holder = each.holder
        last_acts[each.holder] = each.time_s
    return broken


class UsageApi:
    """API that records each report that it accepts."""

    def __init__(self, lease_s: float = 3.0) -> None:
        self.server = Server(self._handle)
        self.fault: ApiFault | None = None
        self.delay_s = 0.0
        self.received: list[ReceivedReport] = []
        self._lease_s = lease_s

    @property
    def address(self) -> str:
        """Return the address as ip:port."""
        return self.server.address

    def broken_rules(self) -> list[str]:
        """Return what the accepted reports break."""
        return broken_rules(self.received, self._lease_s)

    async def start(self) -> None:
        """Listen on a loopback port."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop()

    async def _handle(self, call: Call) -> Answer | Drop:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        match self.fault:
            case ApiFault.DOWN:
                return Answer(503, {})
            case ApiFault.LIMITED:
                return Answer(429, {})
            case ApiFault.SILENT:
                await asyncio.sleep(3_600)
        if (call.method, call.path) != ("POST", "/usage"):
            return Answer(404, {})
        holder, token = call.headers["hawthornbridge-duty-holder"], call.headers["hawthornbridge-fencing-token"]
        counts = call.body["counts"]
        self.received.append(ReceivedReport(time.time(), holder, int(token), call.body["window"], counts))
        return Drop() if self.fault is ApiFault.LOST_ANSWER else Answer(200, {})
