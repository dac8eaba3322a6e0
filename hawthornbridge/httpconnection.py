"""HTTP/1.1 client connection that carries one exchange at a time.

Uses the parser of httptools on an asyncio transport, because a sub-request then costs less than half of what it costs
through a connection of httpcore, and a process sends twenty sub-requests for each query.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

import anyio
import httptools

from hawthornbridge.outcomes import Execution
from hawthornbridge.replymemory import REPLY_LIMITS, ReplyLimits, ReplyMemory
from hawthornbridge.subrequests import FailureKind, UpstreamFailure

__all__ = ["STALL_S", "HttpConnection", "Reply", "connect"]

# Subtracted from the keep-alive timeout of the server, because a request takes time to reach it.
KEEP_ALIVE_MARGIN_S = 0.3
# A server that takes nothing of a request for this long is given up. Another one can then still be asked within the
# usual timeout of a route.
STALL_S = 1.0
# Keep-alive timeout that is assumed for a server that does not send one.
DEFAULT_KEEP_ALIVE_S = 60.0
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
# The objects of a header take many times the bytes of a short header line.
MAX_HEADERS = 256
# Memory that a chunk of a body needs beside its bytes.
CHUNK_COST_BYTES = 64
# Size line and line ends that are allowed for each chunk.
MAX_CHUNK_FRAMING_BYTES = 32


@dataclass(slots=True)
class Reply:
    """One complete response; header names are in lower case."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _TooManyHeadersError(Exception):
    """Raised in a callback to end parsing when a response has more than MAX_HEADERS headers."""


class _InvalidStatusError(Exception):
    """Raised in a callback to end parsing at a status that HTTP does not have; the parser accepts any three digits."""


Outcome: TypeAlias = Reply | UpstreamFailure
OutcomeCallback: TypeAlias = Callable[[Outcome], None]


class HttpConnection(asyncio.Protocol):
    """Connection that sends one request at a time and reports the complete reply or the reason for its absence."""

    def __init__(
        self, id_header: bytes | None = None, limits: ReplyLimits = REPLY_LIMITS, memory: ReplyMemory | None = None
    ) -> None:
        self.closed = False
        self.idle_until_s = 0.0
        self.idle_since_s = 0.0
        self.exchanges = 0
        self._chunks_received = 0
        self._limits = limits
        self._memory = memory
        self.on_closed: Callable[[HttpConnection], None] = _ignore_closed
        self._id_header = id_header
        self._sending_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._on_outcome: OutcomeCallback | None = None
        self._request_id: bytes | None = None
        self._must_close = False
        self._in_body = False
        self._has_framing = False
        self._complete = False
        # One parser does for all replies, because a connection is used again only after a complete one.
        self._parser = httptools.HttpResponseParser(self)
        self._reset_reply()

    @property
    def busy(self) -> bool:
        """Return whether an exchange is in progress."""
        return self._on_outcome is not None

    @property
    def is_sending(self) -> bool:
        """Return whether a part of the request has not been sent yet."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def is_usable(self, now_s: float) -> bool:
        """Return whether another request may be sent now."""
        return not self.closed and self._on_outcome is None and now_s < self.idle_until_s

    def send(self, request: bytes, on_outcome: OutcomeCallback, request_id: bytes | None = None) -> None:
        """Send a request; on_outcome is called once with the outcome."""
        assert self._on_outcome is None and self._transport is not None
        self._on_outcome = on_outcome
        self._request_id = request_id
        self.exchanges += 1
        self._reset_reply()
        self._transport.write(request)
        if self._transport.get_write_buffer_size():
            self._watch_sending()

    async def exchange(self, request: bytes, timeout_s: float, read_timeout_s: float | None = None) -> Outcome:
        """Send a request and return its outcome; close the connection if the reply does not arrive in time.

        The limits are timeout_s for the whole reply and read_timeout_s between two parts of it.
        """
        read_timeout_s = timeout_s if read_timeout_s is None else read_timeout_s
        detail = f"no complete reply in {timeout_s} s, or no data for {read_timeout_s} s"
        outcome: Outcome = UpstreamFailure(FailureKind.TIMEOUT, Execution.UNKNOWN, detail)
        arrived = anyio.Event()

        def on_outcome(result: Outcome) -> None:
            nonlocal outcome
            outcome = result
            arrived.set()

        self.send(request, on_outcome)
        try:
            with anyio.move_on_after(timeout_s):
                chunks = -1
                while not arrived.is_set() and self._chunks_received != chunks:
                    chunks = self._chunks_received
                    with anyio.move_on_after(read_timeout_s):
                        await arrived.wait()
        finally:
            if not arrived.is_set():
                # Closing the connection reports an outcome, which comes too late to be used.
                self._on_outcome = _ignore_outcome
                self.close()
        return outcome

    def close(self) -> None:
        """Close the connection; an exchange in progress fails."""
        if self._transport is not None:
            self._transport.abort()
        self._lost(None)

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.idle_since_s = asyncio.get_running_loop().time()
        self.idle_until_s = self.idle_since_s + DEFAULT_KEEP_ALIVE_S

    def data_received(self, data: bytes) -> None:
        """Parse a part of a reply; close the connection if no request is in progress."""
        if self._on_outcome is None:
            self.close()
            return
        self._chunks_received += 1
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                self._fail(FailureKind.BAD_REPLY, f"not an HTTP/1.1 response: {error}")
                return
            self._must_close = True
        if self._complete:
            self._finish()
            return
        self._other_bytes += len(data)
        self._check_limits()

    def fail_oversized(self, detail: str) -> None:
        """Close the connection because the reply in progress needs too much memory; the request may have run."""
        self._fail(FailureKind.BAD_REPLY, detail)

    def eof_received(self) -> bool | None:
        """Complete a reply whose end is only marked by the end of the connection."""
        if self._on_outcome is not None and self._in_body and not self._has_framing:
            self._keep_open = False
            self.on_message_complete()
            if self._complete:
                self._finish()
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an exchange that was interrupted by the end of the connection."""
        self._lost(exc)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a reply, or mark the connection for closing if an unrequested reply follows."""
        if self._complete:
            self._must_close = True
            return
        self._reply = Reply()
        self._body: list[bytes] = []
        self._has_framing = False
        self._in_body = False
        self._keep_alive_s: float | None = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped."""
        if self._complete or self._in_body:
            return
        if len(self._reply.headers) >= MAX_HEADERS:
            raise _TooManyHeadersError
        name = name.lower()
        match name:
            case b"content-length" | b"transfer-encoding":
                self._has_framing = True
            case b"keep-alive":
                self._keep_alive_s = _keep_alive_timeout_s(value)
        self._reply.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the status and whether the connection stays open after the reply."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise _InvalidStatusError(status)
        self._reply.status = status
        self._keep_open = self._parser.should_keep_alive()
        self._in_body = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if not self._complete:
            self._body.append(body)
            self._body_bytes += len(body)

    def on_chunk_header(self) -> None:
        """Count a chunk, whose size line is not part of the body."""
        self._body_chunks += 1

    def on_message_complete(self) -> None:
        """Mark the reply as complete, unless it is an interim response or belongs to an earlier request."""
        if self._complete or self._reply.status < MIN_FINAL_STATUS:
            return
        if self._answers_another_request():
            # The reply to this request may still follow, but the connection must not be reused afterwards.
            self._must_close = True
            return
        self._complete = True

    def _finish(self) -> None:
        # Called after the parser has returned, because the receiver of the reply may send the next request at once.
        reply = self._reply
        reply.body = b"".join(self._body)
        self._release_memory()
        self._stop_sending_timer()
        assert self._transport is not None
        on_outcome, self._on_outcome = self._on_outcome, None
        assert on_outcome is not None
        if self._must_close or not self._keep_open or self._transport.get_write_buffer_size():
            self.close()
        else:
            idle_s = DEFAULT_KEEP_ALIVE_S if self._keep_alive_s is None else self._keep_alive_s - KEEP_ALIVE_MARGIN_S
            self.idle_since_s = asyncio.get_running_loop().time()
            self.idle_until_s = self.idle_since_s + idle_s
        on_outcome(reply)

    def _watch_sending(self) -> None:
        assert self._transport is not None
        size = self._transport.get_write_buffer_size()
        if size:
            self._sending_timer = asyncio.get_running_loop().call_later(STALL_S, self._check_sending, size)

    def _check_sending(self, size_before: int) -> None:
        """Fail a request of which the server has taken nothing; what it took before may be enough for it to run."""
        assert self._transport is not None
        if self._transport.get_write_buffer_size() < size_before:
            self._watch_sending()
            return
        self._fail(FailureKind.STALLED, f"the server has taken nothing of the request for {STALL_S} s")

    def _stop_sending_timer(self) -> None:
        if self._sending_timer is not None:
            self._sending_timer.cancel()
            self._sending_timer = None

    def _reset_reply(self) -> None:
        self._reply = Reply()
        self._body = []
        self._has_framing = False
        self._in_body = False
        self._complete = False
        self._keep_open = False
        self._keep_alive_s = None
        self._body_bytes = 0
        self._body_chunks = 0
        # Bytes received during this exchange, less those of bodies, are bounded too: a head, interim responses, chunk
        # extensions and trailers may otherwise go on without end.
        self._other_bytes = 0

    def _check_limits(self) -> None:
        other_bytes = self._other_bytes - self._body_bytes
        body_bytes = self._body_bytes + self._body_chunks * CHUNK_COST_BYTES
        if other_bytes > self._limits.head_bytes + self._body_chunks * MAX_CHUNK_FRAMING_BYTES:
            self.fail_oversized(f"more than {self._limits.head_bytes} bytes of the response are not body")
        elif body_bytes > self._limits.body_bytes:
            self.fail_oversized(f"the response body is larger than {self._limits.body_bytes} bytes")
        elif self._memory is not None:
            self._memory.record(self, body_bytes)

    def _release_memory(self) -> None:
        if self._memory is not None:
            self._memory.release(self)

    def _answers_another_request(self) -> bool:
        if self._request_id is None or self._id_header is None:
            return False
        echoed = self._reply.header(self._id_header)
        if echoed is None:
            # Only the first reply on a connection cannot be a late copy of the reply to an earlier request.
            return self.exchanges > 1
        return echoed != self._request_id

    def _fail(self, kind: FailureKind, detail: str) -> None:
        on_outcome, self._on_outcome = self._on_outcome, None
        self.close()
        if on_outcome is not None:
            on_outcome(UpstreamFailure(kind, Execution.UNKNOWN, detail))

    def _lost(self, error: Exception | None) -> None:
        if self.closed:
            return
        self.closed = True
        self._release_memory()
        self._stop_sending_timer()
        # An exchange that was abandoned keeps a reference to this connection.
        self._body = []
        on_outcome, self._on_outcome = self._on_outcome, None
        self.on_closed(self)
        if on_outcome is not None:
            detail = f"connection lost: {error}" if error else "connection closed before the reply was complete"
            on_outcome(UpstreamFailure(FailureKind.RESET, Execution.UNKNOWN, detail))


def _ignore_closed(_connection: HttpConnection) -> None:
    return


def _ignore_outcome(_outcome: Outcome) -> None:
    return


def _keep_alive_timeout_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


async def connect(
    address: str,
    timeout_s: float,
    id_header: bytes | None = None,
    limits: ReplyLimits = REPLY_LIMITS,
    memory: ReplyMemory | None = None,
) -> HttpConnection | UpstreamFailure:
    """Open a connection; a failure means that nothing has been sent."""
    host, _, port = address.partition(":")
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(timeout_s):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(id_header, limits, memory), host, int(port)
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # The address may come from a record of another process and be none; a port out of range is an OverflowError.
        return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, f"no connection to {address}: {error!r}")
    return connection
