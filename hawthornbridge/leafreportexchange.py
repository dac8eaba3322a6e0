"""Messages with reports of leaves between the hosts that serve callers, over the listener for other hosts.

The age of a report is known without comparing the clocks of two hosts: each message names the last reply of its
receiver and how long ago that reply arrived, so that the receiver computes an upper bound of the transfer on its own
clock, also for a message that lay in a buffer while a host was frozen.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from math import inf
from typing import Annotated

import anyio
import msgspec

from hawthornbridge.callers import ASGIApp, Receive, Scope, Send
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.events import Event, emit
from hawthornbridge.gateway import send_answer
from hawthornbridge.httpconnection import HttpConnection, Reply, connect
from hawthornbridge.ids import HostId
from hawthornbridge.leafreports import MAX_REPORTS, LeafObserver, LeafReport, ReportBook
from hawthornbridge.leaves import LeafTable
from hawthornbridge.metricspage import Gauges
from hawthornbridge.presence import HostEntry, HostList
from hawthornbridge.subrequests import UpstreamFailure
from hawthornbridge.supervision import contain

__all__ = [
    "MAX_BURST_BYTES",
    "MAX_BYTES_PER_S",
    "MAX_MESSAGE_BYTES",
    "PUSH_INTERVAL_S",
    "REPLY_BYTES",
    "REPORTS_PATH",
    "ByteBudget",
    "DropReason",
    "LeafReportExchange",
    "LeafReportsApp",
    "Outgoing",
    "Peer",
    "ReportMessage",
    "ReportReply",
]

REPORTS_PATH = "/leaves"
WAKE_INTERVAL_S = 0.04
# Reports are pushed at this interval, and sooner when a leaf stalls.
PUSH_INTERVAL_S = 0.2
MIN_PUSH_INTERVAL_S = 0.08
# Without other serving hosts the list of hosts is looked at this often.
IDLE_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.5
# A host that does not answer is left alone for this long.
SILENT_PEER_DELAY_S = 1.0
# Bytes of requests and their replies, for links that bear 6 KB/s; the other calls between hosts take the rest.
MAX_BYTES_PER_S = 4_500.0
MAX_BURST_BYTES = 1_800.0
MAX_PEERS = 8
# Bodies larger than this are not read. A message with MAX_REPORTS reports has at most 24 bytes for each.
MAX_MESSAGE_BYTES = 1_024
# Bytes of the head of a request and the fields before the reports; used to plan, the bytes sent are counted exactly.
PLANNED_HEAD_BYTES = 110
PLANNED_REPORT_BYTES = 18
REPLY_BYTES = 80
MAX_HOST_LENGTH = 200
# Rejections are logged at most this often.
REJECTION_LOG_INTERVAL_S = 10.0
AGE_WEIGHT = 0.1
STATUS_OK = 200
STATUS_BAD_REQUEST = 400

NonNegative = Annotated[int, msgspec.Meta(ge=0, le=2**62)]


class DropReason(Enum):
    """Why a message or its reports were not used."""

    MALFORMED = "malformed"
    UNKNOWN_HOST = "unknown_host"
    # Repeated, overtaken by a newer message, or from before the last start of the sender.
    OUTDATED = "outdated"
    # The sender has no reply of this process yet, so that the age is not known.
    UNKNOWN_AGE = "unknown_age"
    # This host serves nobody by its own list of hosts.
    NOT_SERVING = "not_serving"
    OLD_OR_UNKNOWN_LEAF = "old_or_unknown_leaf"


class ReportReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a message: the start of the receiver and the time on its own clock, in ms."""

    started_ms: NonNegative
    clock_ms: NonNegative


class ReportMessage(msgspec.Struct, frozen=True, array_like=True):
    """Reports of one host; replied is the last reply of the receiver, which arrived held_ms before this was sent."""

    host: Annotated[str, msgspec.Meta(max_length=MAX_HOST_LENGTH)]
    started_ms: NonNegative
    number: NonNegative
    replied: ReportReply | None
    held_ms: NonNegative
    reports: Annotated[list[LeafReport], msgspec.Meta(max_length=MAX_REPORTS)]


_encode = msgspec.msgpack.Encoder().encode
_message_decoder = msgspec.msgpack.Decoder(ReportMessage)
_reply_decoder = msgspec.msgpack.Decoder(ReportReply)


class ByteBudget:
    """Budget of bytes that fills at MAX_BYTES_PER_S up to MAX_BURST_BYTES."""

    def __init__(self, now_s: float) -> None:
        self._left = MAX_BURST_BYTES
        self._filled_s = now_s

    def left(self, now_s: float) -> float:
        """Return the bytes that may be sent now."""
        self._left = min(MAX_BURST_BYTES, self._left + (now_s - self._filled_s) * MAX_BYTES_PER_S)
        self._filled_s = now_s
        return self._left

    def take(self, size: int) -> None:
        """Record bytes that are sent; the budget may become negative by what one push was planned too small."""
        self._left -= size


@dataclass(slots=True)
class Peer:
    """State of the messages to one other host."""

    host: HostId
    address: str
    connection: HttpConnection | None = None
    reply: ReportReply | None = None
    replied_s: float = -inf
    number: int = 0
    is_sending: bool = False
    silent_until_s: float = -inf

    def message(self, own: HostEntry, reports: list[LeafReport], now_s: float) -> ReportMessage:
        """Return the next message to this host."""
        self.number += 1
        held_ms = 0 if self.reply is None else int((now_s - self.replied_s) * 1_000)
        return ReportMessage(own.host, own.started_ms, self.number, self.reply, held_ms, reports)

    def note_reply(self, reply: ReportReply | None, now_s: float) -> None:
        """Record the reply to the last message, or that there was none."""
        self.is_sending = False
        if reply is not None:
            self.silent_until_s = -inf
            self.reply, self.replied_s = reply, now_s
            return
        if self.silent_until_s == -inf:
            emit(Event.LEAF_REPORTS_UNANSWERED, address=self.address)
        self.silent_until_s = now_s + SILENT_PEER_DELAY_S

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to be sent to a peer."""

    peer: Peer
    request: bytes


class LeafReportExchange:
    """Tells the other hosts that serve callers what this host sees of leaves, and takes their reports."""

    def __init__(self, hosts: HostList, table: LeafTable, clock: Callable[[], float]) -> None:
        self._hosts = hosts
        self._clock = clock
        self._observer = LeafObserver(table)
        self._book = ReportBook(table, clock)
        self._budget = ByteBudget(clock())
        self._peers: dict[HostId, Peer] = {}
        self._pushed_s = -inf
        self._rejection_logged_s = -inf
        self.sent = 0
        self.received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.age_s = 0.0
        self.dropped: Counter[DropReason] = Counter()

    def app(self, other: ASGIApp) -> "LeafReportsApp":
        """Return the application that takes reports and leaves other requests to another one."""
        return LeafReportsApp(self, other)

    def add_gauges(self, gauges: Gauges) -> None:
        """Add the counts of reports to the metrics."""
        gauges.add("leaf_reports_sent", "Reports of leaves sent to other hosts", lambda: self.sent)
        gauges.add("leaf_reports_received", "Reports of leaves by other hosts in use so far", lambda: self.received)
        dropped = {reason.value: partial(self.dropped.__getitem__, reason) for reason in DropReason}
        gauges.add_labelled("leaf_reports_dropped", "Reports or messages not used, by reason", "reason", dropped)
        sizes = {"sent": lambda: float(self.bytes_sent), "received": lambda: float(self.bytes_received)}
        gauges.add_labelled("leaf_report_bytes", "Bytes of messages with reports of leaves", "direction", sizes)
        gauges.add(
            "leaf_report_age_seconds", "Mean age of messages with reports of leaves on arrival", lambda: self.age_s
        )

    async def run(self) -> None:
        """Push reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                due_s = self._clock() + (WAKE_INTERVAL_S if self._peers else IDLE_INTERVAL_S)
                await anyio.sleep_until(due_s)
                for outgoing in self.wake(due_s):
                    tasks.start_soon(contain, "report of leaves", partial(self._send, outgoing))

    def wake(self, due_s: float) -> list[Outgoing]:
        """Drop what is old and return the requests that are due; due_s is when this should have been called."""
        now_s = self._clock()
        self._observer.note_wake(due_s, now_s)
        self._book.drop_old()
        self._follow_hosts()
        if not self._peers or not self._is_push_due(now_s):
            return []
        return self._push(now_s)

    def receive(self, body: bytes) -> ReportReply | None:
        """Take a message of another host over; return the reply, or None if the message is refused."""
        self.bytes_received += len(body)
        try:
            message = _message_decoder.decode(body)
        except DECODE_ERRORS:
            self._refuse(DropReason.MALFORMED, "")
            return None
        host = HostId(message.host)
        if host == self._hosts.own.host or not self._hosts.is_listed(host):
            self._refuse(DropReason.UNKNOWN_HOST, message.host)
            return None
        now_s = self._clock()
        reply = ReportReply(self._hosts.own.started_ms, int(now_s * 1_000))
        if not self._book.admit(host, message.started_ms, message.number):
            self.dropped[DropReason.OUTDATED] += 1
            return reply
        if message.replied is None or message.replied.started_ms != reply.started_ms:
            self.dropped[DropReason.UNKNOWN_AGE] += len(message.reports)
            return reply
        if not self._hosts.is_serving():
            self.dropped[DropReason.NOT_SERVING] += len(message.reports)
            return reply
        self._take(host, message, message.replied, now_s)
        return reply

    def _take(self, host: HostId, message: ReportMessage, replied: ReportReply, now_s: float) -> None:
        transfer_s = max(0.0, now_s - (replied.clock_ms + message.held_ms) / 1_000)
        dropped = self._book.put(host, message.reports, transfer_s)
        self.dropped[DropReason.OLD_OR_UNKNOWN_LEAF] += dropped
        self.received += len(message.reports) - dropped
        self.age_s += AGE_WEIGHT * (transfer_s - self.age_s)

    def _refuse(self, reason: DropReason, host: str) -> None:
        self.dropped[reason] += 1
        now_s = self._clock()
        if now_s - self._rejection_logged_s >= REJECTION_LOG_INTERVAL_S:
            self._rejection_logged_s = now_s
            emit(Event.LEAF_REPORTS_REFUSED, host=host, reason=reason.value, refused=self.dropped[reason])

    def _follow_hosts(self) -> None:
        """Keep messages going to the other serving hosts, to none while this host serves nobody."""
        wanted = {entry.host: entry.peer_address for entry in self._other_serving_hosts()}
        known = {host: peer.address for host, peer in self._peers.items()}
        if wanted == known:
            return
        for host in [host for host, address in known.items() if wanted.get(host) != address]:
            self._peers.pop(host).close()
            self._book.drop_host(host)
        for host, address in wanted.items():
            if host not in self._peers:
                self._peers[host] = Peer(host, address)
        if not wanted:
            self._book.clear()
        emit(Event.LEAF_REPORT_HOSTS_CHANGED, hosts=sorted(wanted))

    def _other_serving_hosts(self) -> list[HostEntry]:
        if not self._hosts.is_serving():
            return []
        own = self._hosts.own.host
        others = [entry for entry in self._hosts.serving if entry.host != own and entry.peer_address]
        if len(others) <= MAX_PEERS:
            return others
        return [entry for entry in self._hosts.ranked(own) if entry in others][:MAX_PEERS]

    def _is_push_due(self, now_s: float) -> bool:
        if now_s - self._pushed_s >= PUSH_INTERVAL_S:
            return True
        return now_s - self._pushed_s >= MIN_PUSH_INTERVAL_S and self._observer.has_new_stall(now_s)

    def _push(self, now_s: float) -> list[Outgoing]:
        ready = [peer for peer in self._peers.values() if not peer.is_sending and now_s >= peer.silent_until_s]
        if not ready:
            return []
        room = self._budget.left(now_s) / len(ready) - PLANNED_HEAD_BYTES - REPLY_BYTES
        limit = min(MAX_REPORTS, math.floor(room / PLANNED_REPORT_BYTES))
        if limit < 1:
            return []
        self._pushed_s = now_s
        reports = self._observer.select(now_s, limit)
        return [self._outgoing(peer, reports, now_s) for peer in ready] if reports else []

    def _outgoing(self, peer: Peer, reports: list[LeafReport], now_s: float) -> Outgoing:
        body = _encode(peer.message(self._hosts.own, reports, now_s))
        head = f"POST {REPORTS_PATH} HTTP/1.1\r\nHost: {peer.address}\r\nContent-Length: {len(body)}\r\n\r\n"
        request = head.encode() + body
        peer.is_sending = True
        self._budget.take(len(request) + REPLY_BYTES)
        self.bytes_sent += len(request)
        self.sent += len(reports)
        return Outgoing(peer, request)

    async def _send(self, outgoing: Outgoing) -> None:
        reply = None
        try:
            reply = await self._call(outgoing.peer, outgoing.request)
        finally:
            outgoing.peer.note_reply(reply, self._clock())

    async def _call(self, peer: Peer, request: bytes) -> ReportReply | None:
        connection = peer.connection
        if connection is None or not connection.is_usable(self._clock()):
            opened = await connect(peer.address, CALL_TIMEOUT_S)
            if isinstance(opened, UpstreamFailure):
                return None
            peer.connection = connection = opened
        match await connection.exchange(request, CALL_TIMEOUT_S):
            case Reply(status=200, body=body):
                try:
                    return _reply_decoder.decode(body)
                except DECODE_ERRORS:
                    return None
        return None


class LeafReportsApp:
    """ASGI application of the listener for other hosts: takes reports, and leaves other paths to another one."""

    def __init__(self, exchange: LeafReportExchange, other: ASGIApp) -> None:
        self._exchange = exchange
        self._other = other

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"] != REPORTS_PATH:
            await self._other(scope, receive, send)
            return
        reply = self._exchange.receive(await _read_body(receive))
        if reply is None:
            await send_answer(send, STATUS_BAD_REQUEST, [], b"")
            return
        await send_answer(send, STATUS_OK, [], _encode(reply))


async def _read_body(receive: Receive) -> bytes:
    """Return the whole body, or nothing if it is too large or was cut off."""
    body = b""
    while len(body) <= MAX_MESSAGE_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b""
        body += message.get("body", b"")
        if not message.get("more_body", False):
            return body if len(body) <= MAX_MESSAGE_BYTES else b""
    return b""
