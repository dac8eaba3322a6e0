"""HTTP/1.1 protocol of callers' connections: uvicorn's, with limits on what a caller sends, holds and leaves unread.

The bytes received are parsed in steps that end with a head or a body at the latest, and a request is not parsed before
the one ahead of it is answered. So there is at most one request for each connection, and a refusal can't overtake an
answer.
"""

import asyncio
import contextlib
from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hawthornbridge.callerlimits import CallerBounds
from hawthornbridge.callermemory import MIN_COUNTED_BYTES
from hawthornbridge.callerphase import CallerPhase
from hawthornbridge.callerrefusals import CallerRefusal, CallerRefusedError
from hawthornbridge.callertimers import CallerTimers
from hawthornbridge.inputturns import UNITS_PER_PART, UNITS_PER_REQUEST, work_of
from hawthornbridge.outcomes import RefusalKind
from hawthornbridge.requestheads import MAX_HEADERS, many_headers, read_head
from hawthornbridge.requestsizes import FIRST_READ_BYTES, RequestSizes
from hawthornbridge.sockets import has_ended, has_unread_bytes, is_reset

__all__ = ["CallerProtocol"]

# A drain closes a connection once it has been quiet for this long, because a busy caller may send its next request at
# the moment in which the connection is closed.
QUIET_BEFORE_CLOSE_S = 0.5
# A connection that is closed with unread bytes is reset, and its client may lose the refusal. So what a refused client
# still sends is read for a while and discarded.
LINGER_BYTES = 262_144
LINGER_S = 1.0
NO_MEMORY = CallerRefusal(
    503, "the requests in progress need all memory that is there for them", "body", RefusalKind.OVERLOADED
)
NO_TURN = CallerRefusal(
    503, "other requests in progress need all processor time that is there for them", "body", RefusalKind.OVERLOADED
)


class CallerProtocol(HttpToolsProtocol):
    """HTTP protocol that bounds what its peer can make the process hold or wait for, which uvicorn's does not."""

    bounds: CallerBounds
    # Uvicorn sets the URL when a request begins; input may be refused before that.
    url = b""
    _phase = CallerPhase.BETWEEN
    _is_closing = False
    _is_refused = False
    # Whether the bytes after the current request belong to another protocol.
    _ends = False
    # When the connection was opened or its latest answer sent, on the clock of the event loop.
    _last_event_s = 0.0
    # Bytes that wait until the request ahead of them is answered.
    _pending = b""
    _discarded_bytes = 0
    _is_counted = False

    def __init__(self, *args: Any, **options: Any) -> None:
        # The parser calls on_body for each chunk. A method of Python would make a body in chunks of one byte take
        # several times as long.
        self._body_parts: list[bytes] = []
        self.on_body = self._body_parts.append  # type: ignore[assignment]
        super().__init__(*args, **options)

    @property
    def is_idle(self) -> bool:
        """Return whether nothing has been received since the latest answer, which has been sent whole.

        What a caller has sent before it reset the connection can't be received any more.
        """
        if self._phase is not CallerPhase.BETWEEN or self._is_answering() or self._pending:
            return False
        if is_reset(self.transport.get_extra_info("socket")):
            return True
        return not self.transport.get_write_buffer_size() and not self._has_unread_bytes()

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has been received in part, or refused."""
        if self._is_refused or self._phase is CallerPhase.HEAD:
            return True
        return self._phase is CallerPhase.BODY and not self.cycle.response_started

    @property
    def is_answered(self) -> bool:
        """Return whether only the rest of an answer, or of a body that was answered early, is left to transfer."""
        is_left = self._phase is CallerPhase.BODY or bool(self.transport.get_write_buffer_size())
        return is_left and not self._is_in_progress() and not self._pending

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Take the connection in, if there is room for it."""
        super().connection_made(transport)
        self._set_read_bytes(FIRST_READ_BYTES)
        # What is unsent is counted from its first byte that counts to its last.
        transport.set_write_buffer_limits(high=MIN_COUNTED_BYTES, low=0)
        self._last_event_s = self.loop.time()
        self._is_urgent = self.server is None or self.bounds.is_urgent(self.server[1])
        self._sizes = RequestSizes()
        self._timers = CallerTimers(transport, self.bounds, self._on_timeout)
        if not self.bounds.room.enter(self._address, self):
            transport.abort()
            return
        self._timers.watch_phase(CallerPhase.OPENING)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what the connection has taken."""
        # Uvicorn leaves the timer of a connection that was reset.
        self._unset_keepalive_if_required()
        self._timers.stop()
        self._pending = b""
        self.bounds.turns.leave(self)
        self.bounds.room.leave(self._address, self)
        self.bounds.memory.release(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse, hold or discard what the caller has sent."""
        self._unset_keepalive_if_required()
        if self._is_refused or self._ends:
            self._discard(data)
        elif self._pending:
            self._hold(data)
            self._count_memory()
        elif self._phase is CallerPhase.BETWEEN:
            self._receive_in_turn(data, 0 if self._is_urgent else UNITS_PER_REQUEST)
        elif self._has_left():
            self.transport.close()
        else:
            self._receive_in_turn(data, work_of(data))

    def take_turn(self) -> None:
        """Go on with the input that waits, or read on."""
        if self._is_refused or self._ends:
            self.flow.resume_reading()
        else:
            self._resume()

    def on_message_begin(self) -> None:
        """Note that a head has begun."""
        self._phase = CallerPhase.HEAD
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header of the head; count those behind a body, but pass none of them on."""
        if self._phase is not CallerPhase.BODY:
            super().on_header(name, value)
            if len(self.headers) > MAX_HEADERS:
                raise CallerRefusedError(many_headers())
            return
        self._sizes.add_trailer(name, value, self.bounds.limits)

    def on_headers_complete(self) -> None:
        """Check the head before the application sees the request."""
        version, skips_body = self.parser.get_http_version(), self.parser.should_upgrade()
        head = read_head(self.url, self.headers, version, self.bounds.limits, skips_body)
        if isinstance(head, CallerRefusal):
            raise CallerRefusedError(head)
        super().on_headers_complete()
        self._sizes.begin_body(head, len(self.headers))
        self._phase = CallerPhase.BODY
        if self._is_closing:
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """Note that the request is complete, if there is memory for it; a small one can arrive whole in one read."""
        self._take_body()
        if self._sizes.is_counted:
            self._count_memory()
        if self._is_refused:
            raise CallerRefusedError(NO_MEMORY)
        self._phase = CallerPhase.BETWEEN
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Go on with the next request, if it waits."""
        self._last_event_s = self.loop.time()
        self.timeout_keep_alive = self.bounds.limits.idle_s  # type: ignore[assignment]
        super().on_response_complete()
        self._release_head()
        self._timers.watch_reader()
        if self._is_counted:
            self._count_memory()
        if self._pending and not self.transport.is_closing():
            self._unset_keepalive_if_required()
            self.flow.pause_reading()
            if self.bounds.turns.take(self, UNITS_PER_REQUEST):
                self.loop.call_soon(self._resume)

    def pause_writing(self) -> None:
        """Count and time an answer that the caller does not read."""
        super().pause_writing()
        self._count_memory()
        self._timers.watch_reader()

    def resume_writing(self) -> None:
        """Count what is left of an answer."""
        super().resume_writing()
        self._count_memory()

    def shutdown(self) -> None:
        """Close the connection once it is idle; a request that has been received, read or not, is answered first."""
        self._is_closing = True
        if self._phase is CallerPhase.HEAD or self._is_refused or self.transport.is_closing():
            return
        if self._pending and not self._is_in_progress():
            # The next request has been read, and its answer will be the last.
            return
        quiet_s = self.loop.time() - self._last_event_s
        if quiet_s < QUIET_BEFORE_CLOSE_S and not self._is_in_progress():
            self.loop.call_later(QUIET_BEFORE_CLOSE_S - quiet_s, self.shutdown)
        elif not self._has_unread_bytes():
            super().shutdown()

    def timeout_keep_alive_handler(self) -> None:
        """Close a connection that has been idle, unless a request or the rest of an answer is on its way."""
        if self.transport.get_write_buffer_size():
            again = self.timeout_keep_alive_handler
            self.timeout_keep_alive_task = self.loop.call_later(self.timeout_keep_alive, again)
        elif not self._has_unread_bytes():
            super().timeout_keep_alive_handler()

    def give_up_memory(self) -> bool:
        """Release what the connection holds; return False if a whole request or its answer needs it."""
        if self.is_receiving:
            self._refuse(NO_MEMORY)
            return True
        if self.transport.get_write_buffer_size():
            self.transport.abort()
            return True
        if self._pending and self._is_in_progress():
            # The requests that wait have not been read, which tells their client that they have not run.
            self._pending, self._ends = b"", True
            self.cycle.keep_alive = False
            self.flow.resume_reading()
            self._count_memory()
        return False

    def close_for_room(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    @property
    def _address(self) -> str:
        return self.client[0] if self.client else ""

    def _is_in_progress(self) -> bool:
        """Return whether the latest request that has been read to the end of its head is not answered yet."""
        return self.cycle is not None and not self.cycle.response_complete

    def _is_answering(self) -> bool:
        return self._phase is CallerPhase.BETWEEN and self._is_in_progress()

    def _has_left(self) -> bool:
        # What a caller has sent before it left may take the host long, and nobody waits for the answer.
        return has_ended(self.transport.get_extra_info("socket"))

    def _has_unread_bytes(self) -> bool:
        # A connection that is closed with unread bytes is reset, and the request is lost without an answer.
        return has_unread_bytes(self.transport.get_extra_info("socket"))

    def _resume(self) -> None:
        """Go on with the input that waits; close a connection whose caller has left meanwhile."""
        data, self._pending = self._pending, b""
        if not data or self._is_refused or self._ends or self.transport.is_closing():
            return
        if self._has_left():
            self.transport.close()
            return
        self._unset_keepalive_if_required()
        self.flow.resume_reading()
        self._receive(data)

    def _hold(self, data: bytes) -> None:
        self._pending += data
        self.flow.pause_reading()

    def _receive_in_turn(self, data: bytes, units: int) -> None:
        """Process bytes at once if their work fits into this turn of the event loop."""
        if not units or self.bounds.turns.take(self, units):
            self._receive(data)
        else:
            self._hold(data)
            self._count_memory()

    def _receive(self, data: bytes) -> None:
        """Parse bytes up to the end of the first request that has to be answered before the next one."""
        position = 0
        while position < len(data) and not self._is_refused and not self._ends:
            if self._is_answering():
                self._hold(data[position:])
                break
            try:
                position = self._step(data, position)
            except CallerRefusedError as error:
                self._refuse(error.refusal)
        if self._is_refused:
            return
        self._set_read_bytes(self._sizes.next_read_bytes(self._phase is CallerPhase.BODY))
        self._timers.watch_phase(self._receiving_phase())
        self._count_memory()

    def _set_read_bytes(self, size: int) -> None:
        # An attribute of asyncio's transports on sockets, which read 256 KiB at once without it.
        self.transport.max_size = size  # type: ignore[attr-defined]

    def _receiving_phase(self) -> CallerPhase:
        # The time for a head begins with its first byte, which is not that of an empty line before it.
        return CallerPhase.OPENING if self._phase is CallerPhase.BETWEEN and self._sizes.has_framing else self._phase

    def _step(self, data: bytes, position: int) -> int:
        """Parse up to the end of a head or of a body, and return the position behind it; raise CallerRefusedError."""
        if self._phase is CallerPhase.BETWEEN and self._sizes.is_empty_line(data[position]):
            return self._sizes.skip_empty_lines(data, position, self.bounds.limits)
        end = self._sizes.end_of_step(data, position, self._phase is CallerPhase.BODY)
        self._parse(data if position == 0 and end == len(data) else data[position:end])
        return end

    def _parse(self, part: bytes) -> None:
        before, body_before = self._phase, self._sizes.body_bytes
        try:
            self.parser.feed_data(part)
            self._take_body()
        except httptools.HttpParserUpgrade:
            self._ends = True
            self.cycle.keep_alive = False
            return
        except httptools.HttpParserError as error:
            raise CallerRefusedError(_refusal_for(error)) from None
        in_head = self._phase is CallerPhase.HEAD
        # A step that changes the phase begins or ends with its request, or ends with the head.
        if self._phase is before and before is not CallerPhase.BETWEEN:
            self._sizes.continue_part(part, self._sizes.body_bytes - body_before, in_head, self.bounds.limits)
        else:
            self._sizes.begin_part(part, in_head, self.bounds.limits)

    def _take_body(self) -> None:
        """Take the parts of the body that the parser has found, up to the limit."""
        if not self._body_parts:
            return
        body = b"".join(self._body_parts)
        self._body_parts.clear()
        self._sizes.add_body(len(body), self.bounds.limits)
        super().on_body(body)

    def _on_timeout(self) -> bool:
        """End a phase that takes too long; return False if received bytes have to be read first."""
        if self.bounds.turns.is_waiting(self):
            self._refuse(NO_TURN)
            return True
        if self._has_unread_bytes():
            # The event loop may have been busy, or the machine suspended, while the bytes arrived.
            return False
        if self._phase is CallerPhase.BETWEEN:
            self.transport.close()
            return True
        limit_ms = self._timers.limit_s(self._phase) * 1_000
        detail = f"the request {self._phase.value} was not received within {limit_ms:.0f} ms"
        self._refuse(CallerRefusal(408, detail, "headers"))
        return True

    def _count_memory(self) -> None:
        size = self.transport.get_write_buffer_size() + len(self._pending)
        if self._phase is CallerPhase.HEAD:
            size += self._sizes.partial_head_bytes(len(self.headers))
        elif self._is_in_progress():
            size += self._sizes.request_bytes
        if size >= MIN_COUNTED_BYTES or self._is_counted:
            self._is_counted = size >= MIN_COUNTED_BYTES
            self.bounds.memory.record(self, size)

    def _refuse(self, refusal: CallerRefusal) -> None:
        """Answer a request that is not read to its end, and close once the client has had time to read that."""
        if self._is_refused:
            return
        self._is_refused = True
        self._timers.watch_phase(CallerPhase.BETWEEN)
        self._pending = b""
        self._body_parts.clear()
        self._release_head()
        self.bounds.memory.release(self)
        can_answer = True
        if self._phase is CallerPhase.BODY:
            can_answer = not self.cycle.response_started
            self._end_cycle()
        if self.transport.is_closing():
            return
        self.bounds.report_refusal(self._address, refusal.status, refusal.detail)
        if can_answer:
            self.transport.write(refusal.encode())
        self.flow.resume_reading()
        # The caller may have gone, and its system reset the connection when the refusal arrived.
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.abort)

    def _release_head(self) -> None:
        """Keep no headers of a request that is over, since its connection may stay open for long."""
        self.headers = []
        # Uvicorn creates the scope when a head begins, and a cycle when it ends; both refer to the list.
        if self.scope is not None:
            self.scope["headers"] = self.headers
        if self.cycle is not None:
            self.cycle.scope["headers"] = self.headers

    def _end_cycle(self) -> None:
        """Tell the application that the caller is gone, which ends a request whose body is not received."""
        cycle = self.cycle
        cycle.disconnected = True
        cycle.waiting_for_100_continue = False
        cycle.body = bytearray()
        cycle.message_event.set()

    def _discard(self, data: bytes) -> None:
        """Read on after a refusal for as long as its caller may still need to see it."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > LINGER_BYTES or not self.bounds.turns.take(self, UNITS_PER_PART):
            self.flow.pause_reading()


def _refusal_for(error: httptools.HttpParserError) -> CallerRefusal:
    """Return the refusal that was raised in a callback, or that of input which the parser does not take."""
    cause = error.__context__
    if isinstance(cause, CallerRefusedError):
        return cause.refusal
    return CallerRefusal(400, "not an HTTP/1.1 request", "head")
