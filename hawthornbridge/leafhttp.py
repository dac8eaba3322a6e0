"""Upstream protocol over HTTP/1.1 and JSON."""

import contextlib
import select
from typing import Any

import anyio
import httpcore
import msgspec

from hawthornbridge.boundedbody import read_body
from hawthornbridge.decimals import parse_decimal
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.ids import Incarnation, MapId, RequestId, RouteName, ShardName, SnapshotNumber, VersionName
from hawthornbridge.outcomes import Execution
from hawthornbridge.registry import PluginKind, register
from hawthornbridge.subrequests import (
    Channel,
    Execute,
    ExecuteOutcome,
    FailureKind,
    HeldSnapshot,
    Hit,
    Result,
    Search,
    SearchOutcome,
    SearchReply,
    Status,
    StatusOutcome,
    UpstreamFailure,
    UpstreamRefusal,
    UpstreamRefusalKind,
)

__all__ = ["HttpChannel", "HttpUpstreamProtocol"]

MAX_PORT = 65_535
MAX_BODY_BYTES = 8_388_608


class _HitBody(msgspec.Struct):
    id: str
    score: float


class _SearchBody(msgspec.Struct):
    request_id: RequestId
    shard: ShardName
    snapshot: SnapshotNumber
    hits: list[_HitBody]
    incarnation: Incarnation
    version: VersionName
    in_flight: int
    slots: int


class _SearchRequest(msgspec.Struct):
    request_id: RequestId
    route: RouteName
    shard: ShardName
    snapshot: SnapshotNumber
    query: str
    limit: int
    deadline_ms: int


class _ResultBody(msgspec.Struct):
    request_id: RequestId
    result: Any
    incarnation: Incarnation


class _SnapshotBody(msgspec.Struct):
    number: SnapshotNumber
    map: MapId


class _StatusBody(msgspec.Struct):
    healthy: bool
    draining: bool
    in_flight: int
    slots: int
    incarnation: Incarnation
    version: VersionName
    snapshots: list[_SnapshotBody]


class _ErrorDetail(msgspec.Struct):
    kind: UpstreamRefusalKind
    execution: Execution


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


_search_decoder = msgspec.json.Decoder(_SearchBody)
_result_decoder = msgspec.json.Decoder(_ResultBody)
_status_decoder = msgspec.json.Decoder(_StatusBody)
_error_decoder = msgspec.json.Decoder(_ErrorBody)
_encode = msgspec.json.Encoder().encode


class _Stream(httpcore.AsyncNetworkStream):
    """Combine the head and the body of a request into one write.

    The stream ignores timeouts, because the caller of the channel limits the time of the whole exchange.
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        # poll accepts any descriptor; select fails from 1024 on, which a host with many upstreams exceeds.
        self._poll = select.poll()
        self._poll.register(stream.extra(anyio.abc.SocketAttribute.raw_socket), select.POLLIN)
        self._unsent: list[bytes] = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the buffered bytes, then wait for data; return empty bytes at the end of the stream."""
        try:
            if self._unsent:
                unsent = b"".join(self._unsent)
                self._unsent.clear()
                await self._stream.send(unsent)
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes until the next read."""
        if buffer:
            self._unsent.append(buffer)

    async def aclose(self) -> None:
        """Close the socket."""
        with contextlib.suppress(OSError):
            await anyio.aclose_forcefully(self._stream)

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket is readable; on an idle connection this means that the other side closed it."""
        if info != "is_readable":
            return None
        return bool(self._poll.poll(0))


class HttpChannel:
    """Run one exchange at a time over one HTTP/1.1 connection."""

    def __init__(self, connection: httpcore.AsyncHTTP11Connection, origin: httpcore.URL) -> None:
        self._connection = connection
        self._origin = origin
        self._has_refused = False
        host = origin.host + b":" + str(origin.port).encode()
        self._host = (b"host", host)
        self._urls = {
            path: httpcore.URL(scheme=origin.scheme, host=origin.host, port=origin.port, target=path)
            for path in (b"/v1/search", b"/v1/execute", b"/v1/cancel", b"/v1/status")
        }

    @property
    def reusable(self) -> bool:
        """Return whether the upstream still has the idle connection open."""
        return not (self._connection.is_closed() or self._connection.has_expired())

    async def search(self, request: Search) -> SearchOutcome:
        """Send a search; deadline_ms carries the remaining time."""
        body = _SearchRequest(
            request.request_id,
            request.route,
            request.shard,
            request.snapshot,
            request.query,
            request.limit,
            _left_ms(request.deadline_s),
        )
        answer = await self._exchange(b"POST", b"/v1/search", _encode(body))
        if not isinstance(answer, bytes):
            return answer
        try:
            reply = _search_decoder.decode(answer)
        except DECODE_ERRORS as error:
            return UpstreamFailure(FailureKind.BAD_REPLY, Execution.UNKNOWN, str(error))
        if reply.request_id != request.request_id:
            return _reply_to_other_request(reply.request_id)
        return SearchReply(
            request_id=reply.request_id,
            shard=reply.shard,
            snapshot=reply.snapshot,
            hits=tuple([Hit(hit.id, hit.score) for hit in reply.hits]),
            incarnation=reply.incarnation,
            version=reply.version,
            in_flight=reply.in_flight,
            slots=reply.slots,
        )

    async def execute(self, request: Execute) -> ExecuteOutcome:
        """Run a non-idempotent request."""
        if self._has_refused:
            failure = await self._reconnect()
            if failure is not None:
                return failure
        body = {
            "request_id": request.request_id,
            "attempt_id": request.attempt_id,
            "idempotency_key": request.idempotency_key,
            "route": request.route,
            "shard": request.shard,
            "payload": request.payload,
            "deadline_ms": _left_ms(request.deadline_s),
        }
        answer = await self._exchange(b"POST", b"/v1/execute", _encode(body))
        if not isinstance(answer, bytes):
            return answer
        try:
            reply = _result_decoder.decode(answer)
        except DECODE_ERRORS as error:
            return UpstreamFailure(FailureKind.BAD_REPLY, Execution.UNKNOWN, str(error))
        if reply.request_id != request.request_id:
            return _reply_to_other_request(reply.request_id)
        return Result(reply.request_id, reply.result, reply.incarnation)

    async def cancel(self, request_id: RequestId) -> UpstreamFailure | None:
        """Cancel a request in flight on another connection."""
        answer = await self._exchange(b"POST", b"/v1/cancel", _encode({"request_id": request_id}))
        return answer if isinstance(answer, UpstreamFailure) else None

    async def status(self) -> StatusOutcome:
        """Request the status of the upstream."""
        answer = await self._exchange(b"GET", b"/v1/status", b"")
        match answer:
            case UpstreamFailure():
                return answer
            case UpstreamRefusal(kind):
                return UpstreamFailure(FailureKind.ERROR, Execution.NOT_RUN, kind.value)
        try:
            status = _status_decoder.decode(answer)
        except DECODE_ERRORS as error:
            return UpstreamFailure(FailureKind.BAD_REPLY, Execution.NOT_RUN, str(error))
        return Status(
            healthy=status.healthy,
            draining=status.draining,
            in_flight=status.in_flight,
            slots=status.slots,
            incarnation=status.incarnation,
            version=status.version,
            snapshots=tuple(HeldSnapshot(held.number, held.map) for held in status.snapshots),
        )

    async def aclose(self) -> None:
        """Close the connection."""
        await self._connection.aclose()

    async def _exchange(self, method: bytes, path: bytes, body: bytes) -> bytes | UpstreamRefusal | UpstreamFailure:
        request = httpcore.Request(
            method,
            self._urls[path],
            headers=[self._host, (b"content-length", b"%d" % len(body))],
            content=body,
        )
        try:
            response = await self._connection.handle_async_request(request)
            content = await read_body(response, MAX_BODY_BYTES)
            await response.aclose()
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectionNotAvailable) as error:
            return UpstreamFailure(FailureKind.RESET, Execution.UNKNOWN, str(error) or type(error).__name__)
        if response.status == 200:
            return content
        self._has_refused = True
        return _refusal(response.status, content)

    async def _reconnect(self) -> UpstreamFailure | None:
        """Replace the connection.

        A refusal bears no request id, so a late copy of one would be taken for the answer to an execution, which would
        then run here and at another upstream.
        """
        await self._connection.aclose()
        try:
            self._connection = await _open(self._origin)
        except OSError as error:
            return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, str(error))
        self._has_refused = False
        return None


async def _open(origin: httpcore.URL) -> httpcore.AsyncHTTP11Connection:
    """Open a connection; raise OSError if the upstream does not accept it, or its host is no name."""
    try:
        stream = await anyio.connect_tcp(origin.host.decode(), origin.port or 0)
    except UnicodeError as error:
        raise OSError(f"not a host: {error}") from error
    return httpcore.AsyncHTTP11Connection(origin.origin, _Stream(stream))


def _left_ms(deadline_s: float) -> int:
    return max(0, int((deadline_s - anyio.current_time()) * 1_000))


def _reply_to_other_request(request_id: RequestId) -> UpstreamFailure:
    detail = f"the reply belongs to request {request_id}"
    return UpstreamFailure(FailureKind.BAD_REPLY, Execution.UNKNOWN, detail)


def _refusal(status: int, content: bytes) -> UpstreamRefusal | UpstreamFailure:
    try:
        error = _error_decoder.decode(content).error
    except DECODE_ERRORS:
        return UpstreamFailure(FailureKind.ERROR, Execution.UNKNOWN, f"status {status}")
    return UpstreamRefusal(error.kind, error.execution)


@register(PluginKind.UPSTREAM_PROTOCOL, "http_json")
class HttpUpstreamProtocol:
    """Open HTTP/1.1 connections to upstreams."""

    async def connect(self, address: str, timeout_s: float) -> Channel | UpstreamFailure:
        """Open a connection and verify with a status call that the upstream answers."""
        host, _, port_text = address.partition(":")
        port = parse_decimal(port_text)
        if port is None or port > MAX_PORT:
            return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, f"not an address: {address!r}")
        with anyio.move_on_after(timeout_s):
            url = httpcore.URL(scheme=b"http", host=host.encode(), port=port, target=b"/")
            try:
                channel = HttpChannel(await _open(url), url)
            except OSError as error:
                return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, str(error))
            outcome: StatusOutcome | None = None
            try:
                outcome = await channel.status()
            finally:
                if not isinstance(outcome, Status):
                    with anyio.CancelScope(shield=True):
                        await channel.aclose()
            return channel if isinstance(outcome, Status) else outcome
        return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, f"no connection within {timeout_s:.3f} s")
