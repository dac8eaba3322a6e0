"""Upstream protocol over HTTP/1.1 and JSON."""

from typing import Any

import anyio
import httpcore
import msgspec

from hawthornbridge.ids import Incarnation, MapId, RequestId, ShardName, SnapshotNumber, VersionName
from hawthornbridge.outcomes import Execution
from hawthornbridge.registry import Kind, register
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

CANCEL_TIMEOUT_S = 0.5
STATUS_TIMEOUT_S = 1.0


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


class HttpChannel:
    """Carry one exchange at a time over one HTTP/1.1 connection."""

    def __init__(self, connection: httpcore.AsyncHTTPConnection, origin: httpcore.URL) -> None:
        self._connection = connection
        self._origin = origin
        self._host = origin.host + b":" + str(origin.port).encode()

    async def search(self, request: Search) -> SearchOutcome:
        """Ask for hits; the time left travels in deadline_ms."""
        left_s = request.deadline_s - anyio.current_time()
        body = {
            "request_id": request.request_id,
            "route": request.route,
            "shard": request.shard,
            "snapshot": request.snapshot,
            "query": request.query,
            "limit": request.limit,
            "deadline_ms": max(0, int(left_s * 1_000)),
        }
        answer = await self._exchange(b"POST", b"/v1/search", _encode(body), left_s)
        if isinstance(answer, UpstreamFailure | UpstreamRefusal):
            return answer
        try:
            reply = _search_decoder.decode(answer)
        except msgspec.MsgspecError as error:
            return UpstreamFailure(FailureKind.BAD_REPLY, Execution.UNKNOWN, str(error))
        return SearchReply(
            request_id=reply.request_id,
            shard=reply.shard,
            snapshot=reply.snapshot,
            hits=tuple(Hit(hit.id, hit.score) for hit in reply.hits),
            incarnation=reply.incarnation,
            version=reply.version,
            in_flight=reply.in_flight,
            slots=reply.slots,
        )

    async def execute(self, request: Execute) -> ExecuteOutcome:
        """Run a non-idempotent request."""
        left_s = request.deadline_s - anyio.current_time()
        body = {
            "request_id": request.request_id,
            "attempt_id": request.attempt_id,
            "idempotency_key": request.idempotency_key,
            "route": request.route,
            "shard": request.shard,
            "payload": request.payload,
            "deadline_ms": max(0, int(left_s * 1_000)),
        }
        answer = await self._exchange(b"POST", b"/v1/execute", _encode(body), left_s)
        if isinstance(answer, UpstreamFailure | UpstreamRefusal):
            return answer
        try:
            reply = _result_decoder.decode(answer)
        except msgspec.MsgspecError as error:
            return UpstreamFailure(FailureKind.BAD_REPLY, Execution.UNKNOWN, str(error))
        return Result(reply.request_id, reply.result, reply.incarnation)

    async def cancel(self, request_id: RequestId) -> UpstreamFailure | None:
        """Cancel a request in flight on another connection."""
        answer = await self._exchange(b"POST", b"/v1/cancel", _encode({"request_id": request_id}), CANCEL_TIMEOUT_S)
        return answer if isinstance(answer, UpstreamFailure) else None

    async def status(self) -> StatusOutcome:
        """Ask the upstream about itself."""
        answer = await self._exchange(b"GET", b"/v1/status", b"", STATUS_TIMEOUT_S)
        match answer:
            case UpstreamFailure():
                return answer
            case UpstreamRefusal(kind):
                return UpstreamFailure(FailureKind.ERROR, Execution.NOT_RUN, kind.value)
        try:
            status = _status_decoder.decode(answer)
        except msgspec.MsgspecError as error:
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

    async def _exchange(
        self, method: bytes, path: bytes, body: bytes, timeout_s: float
    ) -> bytes | UpstreamRefusal | UpstreamFailure:
        request = httpcore.Request(
            method,
            httpcore.URL(scheme=self._origin.scheme, host=self._origin.host, port=self._origin.port, target=path),
            headers=[(b"host", self._host), (b"content-length", str(len(body)).encode())],
            content=body,
        )
        try:
            with anyio.fail_after(max(0.0, timeout_s)):
                response = await self._connection.handle_async_request(request)
                content = await response.aread()
                await response.aclose()
        except (TimeoutError, httpcore.TimeoutException):
            return UpstreamFailure(FailureKind.TIMEOUT, Execution.UNKNOWN, f"no reply within {timeout_s:.3f} s")
        except httpcore.ConnectError as error:
            return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, str(error))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectionNotAvailable) as error:
            return UpstreamFailure(FailureKind.RESET, Execution.UNKNOWN, str(error) or type(error).__name__)
        if response.status == 200:
            return content
        return _refusal(response.status, content)


def _refusal(status: int, content: bytes) -> UpstreamRefusal | UpstreamFailure:
    try:
        error = _error_decoder.decode(content).error
    except msgspec.MsgspecError:
        return UpstreamFailure(FailureKind.ERROR, Execution.UNKNOWN, f"status {status}")
    return UpstreamRefusal(error.kind, error.execution)


@register(Kind.UPSTREAM_PROTOCOL, "http_json")
class HttpUpstreamProtocol:
    """Open HTTP/1.1 connections to upstreams."""

    async def connect(self, address: str, timeout_s: float) -> Channel | UpstreamFailure:
        """Open a connection; the first exchange proves that the upstream answers."""
        host, _, port = address.partition(":")
        origin = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=b"/")
        connection = httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), int(port)), keepalive_expiry=None
        )
        channel = HttpChannel(connection, origin)
        with anyio.move_on_after(timeout_s):
            outcome = await channel.status()
            if isinstance(outcome, Status):
                return channel
            await channel.aclose()
            return outcome
        await channel.aclose()
        return UpstreamFailure(FailureKind.CONNECT, Execution.NOT_RUN, f"no connection within {timeout_s:.3f} s")
