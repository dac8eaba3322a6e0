"""Hand-over of each host's counts to the hosts that collect them, over the listener for other hosts.

The host that holds the duty collects the counts, and so do the first hosts in the order of candidates, so that the
loss of one of them loses only what was not handed over yet. Hosts keep their counts until they are recorded.
"""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import anyio
import msgspec

from hawthornbridge.callers import ASGIApp, Receive, Scope, Send
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.gateway import send_answer
from hawthornbridge.httpconnection import HttpConnection, Reply, connect
from hawthornbridge.ids import HostId
from hawthornbridge.subrequests import UpstreamFailure
from hawthornbridge.usageclock import WindowClock
from hawthornbridge.usagecounts import (
    CollectedCounts,
    CountsMessage,
    CountsReply,
    HostCounts,
    TeamCounts,
    WindowNumber,
)
from hawthornbridge.usageduty import DutyState, UsageDuty

__all__ = ["COUNTS_PATH", "Collector", "CollectorAddress", "CountsApp", "HandOver", "HandOverMessage"]

COUNTS_PATH = "/counts"
CALL_TIMEOUT_S = 0.6
INCARNATION_BITS = 53
# Larger bodies are not read. A message has the first windows whose counts fit, and at least one.
MAX_MESSAGE_BYTES = 2_000_000
MAX_COUNTS_BYTES = 1_000_000

_encode = msgspec.msgpack.Encoder().encode
_reply_decoder = msgspec.msgpack.Decoder(CountsReply)


class HandOverMessage(CountsMessage, frozen=True):
    """Counts of one process, and the state of the duty that a store back from an older copy may have forgotten."""

    remembered: DutyState | None = None


_message_decoder = msgspec.msgpack.Decoder(HandOverMessage)


@dataclass(frozen=True, slots=True)
class CollectorAddress:
    """A host that collects counts, and its address for other hosts."""

    host: HostId
    address: str


@dataclass(slots=True)
class _Sent:
    """What a collector has of this host's counts."""

    incarnation: int = 0
    totals: dict[WindowNumber, int] = field(default_factory=dict)
    open_window: WindowNumber = -1
    connection: HttpConnection | None = None


class Collector:
    """Counts that other hosts handed over to this one, and the readings of their clocks."""

    def __init__(self, counts: CollectedCounts, clock: WindowClock, duty: UsageDuty) -> None:
        self._counts = counts
        self._clock = clock
        self._duty = duty
        self._incarnation = random.getrandbits(INCARNATION_BITS)

    def receive(self, message: HandOverMessage) -> CountsReply:
        """Take over a message of another host."""
        if message.remembered is not None:
            self._duty.learn(message.remembered)
        self._counts.put(message)
        self._clock.add_reading(message.host, message.time_s)
        return CountsReply(self._incarnation, self._clock.time_s())


class CountsApp:
    """ASGI application of the listener for other hosts: takes counts, and leaves other paths to another one."""

    def __init__(self, collector: Collector, other: ASGIApp) -> None:
        self._collector = collector
        self._other = other

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] != COUNTS_PATH:
            await self._other(scope, receive, send)
            return
        body = await _read_body(receive)
        try:
            message = _message_decoder.decode(body)
        except DECODE_ERRORS:
            await send_answer(send, 400, [], b"")
            return
        await send_answer(send, 200, [], _encode(self._collector.receive(message)))


class HandOver:
    """Sends this host's counts to each collector that lacks the newest ones."""

    def __init__(
        self,
        host: HostId,
        counts: HostCounts,
        clock: WindowClock,
        collected: CollectedCounts,
        duty: UsageDuty,
        event_clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._counts = counts
        self._clock = clock
        self._collected = collected
        self._duty = duty
        self._event_clock = event_clock
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._sent: dict[CollectorAddress, _Sent] = {}

    async def hand_over(
        self, collectors: Iterable[CollectorAddress], open_window: WindowNumber, *, reports_ends: bool
    ) -> None:
        """Send what is new; with reports_ends, also send that a window has ended without new counts."""
        self._forget_others(collectors := list(collectors))
        async with anyio.create_task_group() as tasks:
            for collector in collectors:
                sent = self._sent.setdefault(collector, _Sent())
                message = self._message(sent, open_window)
                is_end = message.open_window > sent.open_window and (reports_ends or bool(sent.totals))
                if not message.counts and not is_end and message.remembered is None:
                    continue
                if collector.host == self._host:
                    self._collected.put(message)
                    self._note(sent, message, sent.incarnation)
                else:
                    tasks.start_soon(self._send, collector, sent, message)

    def _message(self, sent: _Sent, open_window: WindowNumber) -> HandOverMessage:
        changed = self._counts.changed(sent.totals)
        counts: dict[WindowNumber, TeamCounts] = {}
        size = 0
        for window in sorted(changed):
            size += len(_encode(changed[window]))
            if counts and size > MAX_COUNTS_BYTES:
                # The rest follows in the next messages; until then its windows are not complete.
                open_window = min(open_window, window)
                break
            counts[window] = changed[window]
        remembered = self._duty.remembered
        return HandOverMessage(
            self._host, self._incarnation, open_window, self._clock.raw_time_s(), counts, remembered
        )

    def _note(self, sent: _Sent, message: CountsMessage, incarnation: int) -> None:
        if incarnation != sent.incarnation:
            sent.incarnation = incarnation
            if sent.totals:
                # The collector has started again, so that the counts before this message have to be sent again.
                sent.totals = {}
                sent.open_window = -1
                return
        kept = self._counts.totals.keys()
        sent.totals = {window: total for window, total in sent.totals.items() if window in kept}
        sent.totals.update({window: sum(teams.values()) for window, teams in message.counts.items()})
        sent.open_window = message.open_window

    async def _send(self, collector: CollectorAddress, sent: _Sent, message: CountsMessage) -> None:
        started_s = self._event_clock()
        reply = await self._call(collector, sent, _encode(message))
        if reply is None:
            return
        self._clock.follow(reply.time_s, self._event_clock() - started_s)
        self._note(sent, message, reply.incarnation)

    async def _call(self, collector: CollectorAddress, sent: _Sent, body: bytes) -> CountsReply | None:
        connection = sent.connection
        if connection is None or not connection.is_usable(self._event_clock()):
            opened = await connect(collector.address, CALL_TIMEOUT_S)
            if isinstance(opened, UpstreamFailure):
                return None
            sent.connection = connection = opened
        head = f"POST {COUNTS_PATH} HTTP/1.1\r\nHost: {collector.address}\r\nContent-Length: {len(body)}\r\n\r\n"
        match await connection.exchange(head.encode() + body, CALL_TIMEOUT_S):
            case Reply(status=200, body=answer):
                try:
                    return _reply_decoder.decode(answer)
                except DECODE_ERRORS:
                    return None
        return None

    def _forget_others(self, collectors: Collection[CollectorAddress]) -> None:
        for collector in [each for each in self._sent if each not in collectors]:
            connection = self._sent.pop(collector).connection
            if connection is not None:
                connection.close()


async def _read_body(receive: Receive) -> bytes:
    """Return the whole body, or nothing if it is too large or was cut off."""
    body = b""
    while len(body) <= MAX_MESSAGE_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b""
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body
    return b""
