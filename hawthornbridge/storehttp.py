"""The platform store plug-in that speaks HTTP/1.1 and JSON."""

from typing import TypeAlias, TypeVar
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from hawthornbridge.boundedbody import read_body
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.registry import PluginKind, register
from hawthornbridge.store import (
    ABSENT,
    Ambiguous,
    Applied,
    Conflict,
    Found,
    Key,
    LeaseGranted,
    LeaseId,
    LeaseLost,
    LeaseOutcome,
    Listed,
    ListOutcome,
    Missing,
    ReadOutcome,
    Revision,
    Unavailable,
    WatchOutcome,
    WatchTimeout,
    WriteOutcome,
)

__all__ = ["HttpStore"]

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Added to the requested wait of a watch to give its timeout.
WATCH_MARGIN_S = 0.5
CONNECTIONS = 16
# A value holds up to 1 MB, which JSON makes a third longer, and a list holds several values.
MAX_BODY_BYTES = 33_554_432

# Statuses of calls that had no effect: bad request, not found, value too large, rate exceeded, out of service.
STATUS_WITHOUT_EFFECT = frozenset({400, 404, 413, 429, 503})


class ValueBody(msgspec.Struct, tag_field="outcome", tag="value"):
    """Carry what a key holds; a key without a value has revision 0."""

    key: Key
    value: bytes = b""
    revision: int = 0

    def to_outcome(self) -> Found | Missing:
        """Return the value as a read outcome."""
        return Missing(self.key) if self.revision == ABSENT else Found(self.key, self.value, Revision(self.revision))


class ListedBody(msgspec.Struct, tag_field="outcome", tag="listed"):
    """Carry the values below a prefix."""

    values: list[ValueBody]


class AppliedBody(msgspec.Struct, tag_field="outcome", tag="applied"):
    """Carry the revision of a write that took effect."""

    revision: int


class ConflictBody(msgspec.Struct, tag_field="outcome", tag="conflict"):
    """Carry what a key holds instead of the expected revision."""

    current: ValueBody


class UnchangedBody(msgspec.Struct, tag_field="outcome", tag="unchanged"):
    """End a watch without a change."""


class LeaseBody(msgspec.Struct, tag_field="outcome", tag="lease"):
    """Carry a lease that was granted or renewed."""

    lease: LeaseId


class LeaseLostBody(msgspec.Struct, tag_field="outcome", tag="lease_lost"):
    """Report that a lease has expired or was released."""

    lease: LeaseId


class LeaseReleasedBody(msgspec.Struct, tag_field="outcome", tag="lease_released"):
    """Report that a lease was released."""


BodyT = TypeVar("BodyT")
Parameter: TypeAlias = str | int

_value_decoder = msgspec.json.Decoder(ValueBody)
_list_decoder = msgspec.json.Decoder(ListedBody)
_write_decoder = msgspec.json.Decoder(AppliedBody | ConflictBody)
_watch_decoder = msgspec.json.Decoder(ValueBody | UnchangedBody)
_lease_decoder = msgspec.json.Decoder(LeaseBody | LeaseLostBody | LeaseReleasedBody)
_encode = msgspec.json.Encoder().encode


@register(PluginKind.PLATFORM_STORE, "http_json")
class HttpStore:
    """Client of the HTTP store that uses a pool of connections."""

    def __init__(
        self, address: str, call_timeout_s: float = CALL_TIMEOUT_S, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        host, _, port = address.partition(":")
        self._host = host.encode()
        self._port = int(port)
        self._call_timeout_s = call_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._pool = httpcore.AsyncConnectionPool(max_connections=CONNECTIONS, keepalive_expiry=None)

    async def get(self, key: Key) -> ReadOutcome:
        """Read one key."""
        answer = await self._read(_value_decoder, "/v1/value", {"key": key}, self._call_timeout_s)
        return answer.to_outcome() if isinstance(answer, ValueBody) else answer

    async def list(self, prefix: Key) -> ListOutcome:
        """Read all keys below a prefix."""
        answer = await self._read(_list_decoder, "/v1/list", {"prefix": prefix}, self._call_timeout_s)
        if isinstance(answer, Unavailable):
            return answer
        return Listed(tuple(Found(value.key, value.value, Revision(value.revision)) for value in answer.values))

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if its revision is the expected one; with a lease, the key is deleted when the lease expires."""
        body = {"key": key, "value": value, "expected": expected.number, "lease": lease}
        return await self._write_key("/v1/compare-and-swap", body)

    async def delete(self, key: Key, expected: Revision) -> WriteOutcome:
        """Delete a key if its revision is the expected one."""
        body = {"key": key, "expected": expected.number}
        return await self._write_key("/v1/delete", body)

    async def watch(self, key: Key, after: Revision, wait_s: float) -> WatchOutcome:
        """Wait until a key's revision is higher than this one, or until a key that had a revision has no value."""
        query: dict[str, Parameter] = {"key": key, "after": after, "wait_ms": round(wait_s * 1_000)}
        answer = await self._read(_watch_decoder, "/v1/watch", query, wait_s + WATCH_MARGIN_S)
        match answer:
            case ValueBody():
                return answer.to_outcome()
            case UnchangedBody():
                return WatchTimeout()
            case _:
                return answer

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a lease."""
        sent_s = anyio.current_time()
        answer = await self._write(_lease_decoder, "/v1/lease/grant", {"ttl_ms": round(ttl_s * 1_000)})
        return _lease_outcome(answer, sent_s + ttl_s)

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseOutcome:
        """Renew a lease."""
        sent_s = anyio.current_time()
        body = {"lease": lease, "ttl_ms": round(ttl_s * 1_000)}
        return _lease_outcome(await self._write(_lease_decoder, "/v1/lease/renew", body), sent_s + ttl_s)

    async def release_lease(self, lease: LeaseId) -> LeaseOutcome | None:
        """Release a lease and delete the keys written under it."""
        answer = await self._write(_lease_decoder, "/v1/lease/release", {"lease": lease})
        return None if isinstance(answer, LeaseReleasedBody) else _lease_outcome(answer, anyio.current_time())

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def _write_key(self, path: str, body: object) -> WriteOutcome:
        answer = await self._write(_write_decoder, path, body)
        match answer:
            case AppliedBody(revision):
                return Applied(Revision(revision))
            case ConflictBody(current):
                return Conflict(current.to_outcome())
            case _:
                return answer

    async def _read(
        self, decoder: "msgspec.json.Decoder[BodyT]", path: str, query: dict[str, Parameter], timeout_s: float
    ) -> BodyT | Unavailable:
        answer = await self._exchange(b"GET", f"{path}?{urlencode(query)}", b"", timeout_s, decoder)
        return Unavailable(answer.detail) if isinstance(answer, Ambiguous) else answer

    async def _write(
        self, decoder: "msgspec.json.Decoder[BodyT]", path: str, body: object
    ) -> BodyT | Unavailable | Ambiguous:
        return await self._exchange(b"POST", path, _encode(body), self._call_timeout_s, decoder)

    async def _exchange(
        self, method: bytes, path: str, content: bytes, timeout_s: float, decoder: "msgspec.json.Decoder[BodyT]"
    ) -> BodyT | Unavailable | Ambiguous:
        connect_s = min(self._connect_timeout_s, timeout_s)
        request = httpcore.Request(
            method,
            httpcore.URL(scheme=b"http", host=self._host, port=self._port, target=path.encode()),
            headers=[
                (b"host", self._host + b":" + str(self._port).encode()),
                (b"content-length", str(len(content)).encode()),
            ],
            content=content,
            extensions={"timeout": {"connect": connect_s, "pool": connect_s}},
        )
        try:
            with anyio.fail_after(timeout_s):
                response = await self._pool.handle_async_request(request)
                answer = await read_body(response, MAX_BODY_BYTES)
                await response.aclose()
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            return Unavailable(f"{type(error).__name__}: {error}")
        except (TimeoutError, httpcore.TimeoutException):
            return Ambiguous(f"no answer within {timeout_s:.3f} s")
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.ConnectionNotAvailable) as error:
            return Ambiguous(f"{type(error).__name__}: {error}")
        if response.status in STATUS_WITHOUT_EFFECT:
            return Unavailable(f"status {response.status}")
        if response.status != 200:
            return Ambiguous(f"status {response.status}")
        try:
            return decoder.decode(answer)
        except DECODE_ERRORS as error:
            return Ambiguous(str(error))


def _lease_outcome(
    answer: LeaseBody | LeaseLostBody | LeaseReleasedBody | Unavailable | Ambiguous, expires_s: float
) -> LeaseOutcome:
    match answer:
        case LeaseBody(lease):
            return LeaseGranted(lease, expires_s)
        case LeaseLostBody(lease):
            return LeaseLost(lease)
        case LeaseReleasedBody():
            return Ambiguous("the store confirmed a lease release that was not requested")
        case _:
            return answer
