"""Caller interface over HTTP/1.1 and JSON."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Annotated, Any, Protocol, TypeAlias, TypeVar

import anyio
import msgspec

from hawthornbridge.ids import CallerId, ClassName, IdempotencyKey, RequestId, RouteName, ServiceName
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.registry import Kind, register
from hawthornbridge.requests import ExecuteAnswer, ExecuteRequest, SearchAnswer, SearchRequest
from hawthornbridge.settings import LimitSettings

__all__ = ["CallerApp", "CallerService"]

Scope: TypeAlias = MutableMapping[str, Any]
Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
Name: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
BodyT = TypeVar("BodyT")

STATUS_OF_KIND = {
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.UNKNOWN_SERVICE: 404,
    RefusalKind.UNKNOWN_ROUTE: 404,
    RefusalKind.UNKNOWN_CLASS: 404,
    RefusalKind.OVERLOADED: 429,
    RefusalKind.KEY_EXPIRED: 410,
    RefusalKind.IN_PROGRESS: 409,
    RefusalKind.KEY_MISMATCH: 422,
    RefusalKind.RESULT_NOT_KEPT: 410,
    RefusalKind.DEADLINE: 504,
    RefusalKind.UPSTREAM_FAILED: 502,
}
DEFAULT_STATUS = 503


class _SearchBody(msgspec.Struct, forbid_unknown_fields=True):
    service: Name
    route: Name
    query: Annotated[str, msgspec.Meta(max_length=8_192)]
    request_id: Name
    class_name: Name = msgspec.field(name="class", default="default")
    caller: Annotated[str, msgspec.Meta(max_length=128)] = ""
    limit: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 20
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 120


class _ExecuteBody(msgspec.Struct, forbid_unknown_fields=True):
    service: Name
    route: Name
    idempotency_key: Name
    payload: Any
    request_id: Name
    class_name: Name = msgspec.field(name="class", default="default")
    caller: Annotated[str, msgspec.Meta(max_length=128)] = ""
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 1_000


class CallerService(Protocol):
    """Do what callers ask; the daemon implements it."""

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Answer a search."""

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Run a non-idempotent request at most once."""

    def addresses(self) -> list[str]:
        """Return the entry addresses that callers should use."""


@register(Kind.CALLER_INTERFACE, "http_json")
class CallerApp:
    """Serve callers as an ASGI application."""

    def __init__(self, service: CallerService, limits: LimitSettings, address_valid_ms: int) -> None:
        self._service = service
        self._limits = limits
        self._address_valid_ms = address_valid_ms
        self._search_decoder = msgspec.json.Decoder(_SearchBody)
        self._execute_decoder = msgspec.json.Decoder(_ExecuteBody)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        match (scope["method"], scope["path"]):
            case ("GET", "/v1/addresses"):
                body = {"addresses": self._service.addresses(), "valid_ms": self._address_valid_ms}
                await _send_json(send, 200, body)
            case ("POST", "/v1/search"):
                await self._search(receive, send)
            case ("POST", "/v1/execute"):
                await self._execute(receive, send)
            case _:
                await _send_refusal(send, Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, "no such path"), 404)

    async def _search(self, receive: Receive, send: Send) -> None:
        started_s = anyio.current_time()
        body = await self._read(receive, self._search_decoder)
        if isinstance(body, Refusal):
            await _send_refusal(send, body)
            return
        outcome = await self._service.search(
            SearchRequest(
                request_id=RequestId(body.request_id),
                service=ServiceName(body.service),
                route=RouteName(body.route),
                class_name=ClassName(body.class_name),
                caller=CallerId(body.caller),
                query=body.query,
                limit=body.limit,
                deadline_s=started_s + body.deadline_ms / 1_000,
            )
        )
        if isinstance(outcome, Refusal):
            await _send_refusal(send, outcome)
            return
        coverage = outcome.coverage
        await _send_json(
            send,
            200,
            {
                "request_id": outcome.request_id,
                "snapshot": outcome.snapshot,
                "coverage": {
                    "answered": coverage.answered,
                    "total": coverage.total,
                    "missing": coverage.missing,
                },
                "hits": outcome.hits,
                "time_ms": round(outcome.time_s * 1_000, 3),
                "hedged": outcome.hedged,
            },
        )

    async def _execute(self, receive: Receive, send: Send) -> None:
        started_s = anyio.current_time()
        body = await self._read(receive, self._execute_decoder)
        if isinstance(body, Refusal):
            await _send_refusal(send, body)
            return
        outcome = await self._service.execute(
            ExecuteRequest(
                request_id=RequestId(body.request_id),
                service=ServiceName(body.service),
                route=RouteName(body.route),
                class_name=ClassName(body.class_name),
                caller=CallerId(body.caller),
                idempotency_key=IdempotencyKey(body.idempotency_key),
                payload=body.payload,
                deadline_s=started_s + body.deadline_ms / 1_000,
            )
        )
        if isinstance(outcome, Refusal):
            await _send_refusal(send, outcome)
            return
        answer = {
            "request_id": outcome.request_id,
            "execution": Execution.RAN.value,
            "result": outcome.result,
            "repeated": outcome.repeated,
        }
        await _send_json(send, 200, answer)

    async def _read(self, receive: Receive, decoder: "msgspec.json.Decoder[BodyT]") -> BodyT | Refusal:
        content = bytearray()
        try:
            with anyio.fail_after(self._limits.read_ms / 1_000):
                more = True
                while more:
                    message = await receive()
                    content += message.get("body", b"")
                    more = message.get("more_body", False)
                    if len(content) > self._limits.body_bytes:
                        detail = f"more than {self._limits.body_bytes} bytes"
                        return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, detail, "body")
        except TimeoutError:
            detail = f"not read within {self._limits.read_ms} ms"
            return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, detail, "body")
        try:
            return decoder.decode(bytes(content))
        except msgspec.ValidationError as error:
            text, _, path = str(error).partition(" - at `$.")
            return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, text, path.rstrip("`") or "body")
        except msgspec.DecodeError as error:
            return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, str(error), "body")


async def _send_refusal(send: Send, refusal: Refusal, status: int | None = None) -> None:
    body = {
        "error": {
            "kind": refusal.kind.value,
            "execution": refusal.execution.value,
            "detail": refusal.detail,
            "field": refusal.field,
        }
    }
    await _send_json(send, status or STATUS_OF_KIND.get(refusal.kind, DEFAULT_STATUS), body)


async def _send_json(send: Send, status: int, body: object) -> None:
    content = msgspec.json.encode(body)
    headers = [(b"content-type", b"application/json"), (b"content-length", str(len(content)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": content})
