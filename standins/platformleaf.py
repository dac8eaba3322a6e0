"""Stand-in for a leaf of the users' platform, with slots, records and configurable faults."""

import asyncio
import hashlib
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.server import REPEATED_BYTES, Answer, Call, Drop, End, Raw, Server

__all__ = ["ENDLESS_REPLIES", "Arrival", "ExecutedRequest", "PlatformLeaf", "PlatformLeafFaults", "Refusal"]

RECORD_BYTES = 16
STATUS_MISDIRECTED = 421


def _endless(beginning: bytes, repeated: bytes) -> bytes:
    return beginning + repeated * (REPEATED_BYTES // len(repeated))


# Replies whose end is repeated until the client closes; the length of each repeated part divides REPEATED_BYTES.
ENDLESS_REPLIES = {
    "chunked body": _endless(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"1f9\r\n" + b"x" * 505 + b"\r\n"
    ),
    "tiny chunks": _endless(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"3\r\nxxx\r\n"),
    "body without a length": _endless(b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "body with a length": _endless(b"HTTP/1.1 200 OK\r\ncontent-length: 9999999999999\r\n\r\n", b"x"),
    "header lines": _endless(b"HTTP/1.1 200 OK\r\n", b"a: bcd\r\n"),
    "header line": _endless(b"HTTP/1.1 200 OK\r\nlong: ", b"x"),
    "status line": _endless(b"HTTP/1.1 200 ", b"x"),
    "interim responses": _endless(b"", b"HTTP/1.1 100 C\r\na: bcdefghij\r\n\r\n"),
    "blank lines": _endless(b"", b"\r\n"),
    "chunk extension": _endless(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", b"x"),
    "trailers": _endless(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"a: bcd\r\n"),
}


@dataclass
class PlatformLeafFaults:
    """Faults of a leaf; each share is the probability, from 0 to 1, that an answer has the fault."""

    silent: bool = False
    full: bool = False
    fail_share: float = 0.0
    truncate_share: float = 0.0
    extra_share: float = 0.0
    late_extra_share: float = 0.0
    unframed_share: float = 0.0
    reset_share: float = 0.0
    rubbish_share: float = 0.0
    # Status that every reply bears instead of 200; may be none that HTTP has.
    status: str | None = None
    # Says in every answer that the leaf leaves.
    leaving: bool = False
    # Retry-After of refusals while the leaf is full.
    retry_after: str | None = None
    # Name of an endless reply that is sent to every request.
    endless: str | None = None
    extra_delay_s: float = 0.005

    def wait_s(self) -> float:
        """Return for how long the leaf wants no requests after a refusal; 0 if it does not say so readably."""
        text = self.retry_after or ""
        return float(text) if text.replace(".", "", 1).isdecimal() else 0.0


@dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that the leaf has started to execute."""

    request_id: str
    method: str
    target: str
    body: bytes
    deadline_ms: int
    # Headers with names in lower case.
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the leaf, with the time on the monotonic clock."""

    at_s: float
    request_id: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that the leaf refused, and for how long it then wanted none; 0 if it did not say."""

    at_s: float
    request_id: str
    wait_s: float


@dataclass
class PlatformLeaf:
    """Leaf of one shard or service; its records are a hash of the request id, so that a test can compute them."""

    id: str
    service: str
    version: str = "v1"
    slots: int = 2
    queue: int = 12
    work_s: Callable[[], float] = lambda: 0.002
    records: int = 12
    seed: int = 0
    faults: PlatformLeafFaults = field(default_factory=PlatformLeafFaults)
    runs: list[ExecutedRequest] = field(default_factory=list)
    stamps: dict[str, str] = field(default_factory=dict)
    # Requests that reached the leaf, and those that it refused because it was full.
    arrivals: list[Arrival] = field(default_factory=list)
    refused: list[Refusal] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.server = Server(self._handle)
        self._random = random.Random(self.seed)
        self._free_slots = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._answer_numbers = itertools.count()

    @property
    def address(self) -> str:
        """Return the address as ip:port."""
        return self.server.address

    def entry(self, zone: str = "z1", state: str = "ready", seq: int = 1, born: int = 1_000) -> dict[str, object]:
        """Return the entry of the leaf in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "seq": seq,
            "born": born,
        }

    def body(self, request_id: str) -> bytes:
        """Return the records for a request, unsorted."""
        return b"".join(
            hashlib.blake2b(f"{self.service}/{request_id}/{number}".encode(), digest_size=RECORD_BYTES).digest()
            for number in range(self.records)
        )

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        await self.server.start(port)

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        await self.server.stop()

    async def _handle(self, call: Call) -> Answer | Drop | Raw:
        request_id = call.headers.get("hawthornbridge-attempt-id", "")
        echo = {"hawthornbridge-attempt-id": request_id}
        self.arrivals.append(Arrival(time.monotonic(), request_id))
        if self.faults.silent:
            await asyncio.sleep(3_600)
        if call.headers.get("hawthornbridge-expect-instance", self.id) != self.id:
            return Answer(STATUS_MISDIRECTED, b"", headers={"hawthornbridge-instance-id": self.id})
        if self.faults.full or self._waiting >= self.queue:
            wait_s = self.faults.wait_s()
            self.refused.append(Refusal(time.monotonic(), request_id, wait_s))
            return Answer(503, b"", headers={**echo, "hawthornbridge-not-executed": "1", **self._notices()})
        self._waiting += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._waiting -= 1
        try:
            if call.is_disconnected():
                return Drop()
            self.runs.append(self._run(call, request_id))
            await asyncio.sleep(self.work_s())
        finally:
            self._free_slots.release()
        return self._reply(request_id, echo)

    def _run(self, call: Call, request_id: str) -> ExecutedRequest:
        target = call.path + ("?" + "&".join(f"{k}={v}" for k, v in call.query.items()) if call.query else "")
        deadline_ms = int(call.headers.get("hawthornbridge-deadline-ms", 0))
        return ExecutedRequest(request_id, call.method, target, call.content, deadline_ms, dict(call.headers))

    def _reply(self, request_id: str, echo: dict[str, str]) -> Answer | Drop | Raw:
        stamp = f"{self.id}.{next(self._answer_numbers)}"
        headers = {**echo, "hawthornbridge-server-stamp": stamp, **self._notices()}
        body = self.body(request_id)
        faults = self.faults
        if self._occurs(faults.reset_share):
            return Drop()
        if self._occurs(faults.fail_share):
            return Answer(500, b"failed", headers=headers)
        if faults.endless is not None:
            return Raw(ENDLESS_REPLIES[faults.endless], End.NEVER)
        if self._occurs(faults.rubbish_share):
            return Raw(b"\x00\x01 this is no response\r\n\r\n")
        head = f"HTTP/1.1 {faults.status or '200'} OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in headers.items()
        )
        framed = head.encode() + b"content-length: %d\r\n\r\n" % len(body) + body
        if faults.status is not None:
            return Raw(framed)
        if self._occurs(faults.truncate_share):
            return Raw(framed[:-7], End.CLOSE)
        self.stamps[stamp] = request_id
        if self._occurs(faults.unframed_share):
            return Raw(head.encode() + b"\r\n" + body, End.CLOSE)
        if self._occurs(faults.extra_share):
            return Raw(framed + framed)
        if self._occurs(faults.late_extra_share):
            return Raw(framed + b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold")
        return Answer(200, body, headers=headers)

    def _notices(self) -> dict[str, str]:
        """Return what the leaf says of itself in an answer."""
        notices = {"server-leaving": "1"} if self.faults.leaving else {}
        if self.faults.full and self.faults.retry_after is not None:
            notices["retry-after"] = self.faults.retry_after
        return notices

    def _occurs(self, share: float) -> bool:
        return share > 0 and self._random.random() < share
