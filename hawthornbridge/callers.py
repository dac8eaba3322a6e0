"""Caller interface over HTTP/1.1 and JSON."""

import re
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Annotated, Any, Protocol, TypeAlias, TypeVar

import anyio
import msgspec

from hawthornbridge.events import Event, emit
from hawthornbridge.ids import CallerId, ClassName, IdempotencyKey, RequestId, RouteName, ServiceName
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.registry import PluginKind, register
from hawthornbridge.requests import ExecuteAnswer, ExecuteRequest, SearchAnswer, SearchRequest
from hawthornbridge.settings import LimitSettings

__all__ = ["ASGIApp", "CallerApp", "CallerService", "Message", "Receive", "Scope", "Send", "send_json"]

Scope: TypeAlias = MutableMapping[str, Any]
Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
ASGIApp: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]
Name: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
# A longer deadline is accepted and then reduced to the host's limit.
Deadline: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=2**31)]
BodyT = TypeVar("BodyT")

# Finds the field name in a msgspec error about a missing or unknown top-level field, which has no path.
FIELD_IN_MESSAGE = re.compile(r"field `([^`]+)`")

HTTP_STATUSES = {
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
DEFAULT_HTTP_STATUS = 503


class _SearchBody(msgspec.Struct, forbid_unknown_fields=True):
    service: Name
    route: Name
    query: Annotated[str, msgspec.Meta(max_length=8_192)]
    request_id: Name
    class_name: Name = msgspec.field(name="class", default="default")
    caller: Annotated[str, msgspec.Meta(max_length=128)] = ""
    limit: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 20
    deadline_ms: Deadline | None = None


class _ExecuteBody(msgspec.Struct, forbid_unknown_fields=True):
    service: Name
    route: Name
    idempotency_key: Name
    payload: Any
    request_id: Name
    class_name: Name = msgspec.field(name="class", default="default")
    caller: Annotated[str, msgspec.Meta(max_length=128)] = ""
    deadline_ms: Deadline | None = None
    retry: bool = False


class CallerService(Protocol):
    """The operations that callers can request; the daemon implements them."""

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Answer a search."""

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Run a non-idempotent request at most once."""

    def addresses(self) -> list[str]:
        """Return the entry addresses that callers should use."""

    def deadline_ms(self, service: ServiceName) -> int:
        """Return the default deadline of a service, used for requests without one."""


@register(PluginKind.CALLER_INTERFACE, "http_json")
class CallerApp:
    """ASGI application that serves the HTTP API for callers."""

    def __init__(self, service: CallerService, limits: LimitSettings, address_valid_ms: int) -> None:
        self._service = service
        self._limits = limits
        self._address_valid_ms = address_valid_ms
        self._search_decoder = msgspec.json.Decoder(_SearchBody)
        self._execute_decoder = msgspec.json.Decoder(_ExecuteBody)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        try:
            await self._respond(scope, receive, send)
        except Exception as error:
            emit(Event.CALLER_REQUEST_FAILED, path=scope["path"], error=repr(error))
            raise

    async def _respond(self, scope: Scope, receive: Receive, send: Send) -> None:
        match (scope["method"], scope["path"]):
            case ("GET", "/v1/addresses"):
                body = {"addresses": self._service.addresses(), "valid_ms": self._address_valid_ms}
                await send_json(send, 200, body)
            case ("POST", "/v1/search"):
                await self._search(receive, send)
            case ("POST", "/v1/execute"):
                await self._execute(receive, send)
            case _:
                await _send_refusal(
                    send,
                    Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, "unknown path or method"),
                    404,
                    closing=True,
                )

    async def _search(self, receive: Receive, send: Send) -> None:
        started_s = anyio.current_time()
        body = await self._read_body(receive, self._search_decoder)
        if isinstance(body, Refusal):
            await _send_refusal(send, body, closing=True)
            return
        request = SearchRequest(
            request_id=RequestId(body.request_id),
            service=ServiceName(body.service),
            route=RouteName(body.route),
            class_name=ClassName(body.class_name),
            caller=CallerId(body.caller),
            query=body.query,
            limit=body.limit,
            deadline_s=started_s + self._deadline_s(ServiceName(body.service), body.deadline_ms),
        )
        outcome = await self._search_until_disconnect(receive, request)
        if outcome is None:
            return
        if isinstance(outcome, Refusal):
            await _send_refusal(send, outcome)
            return
        coverage = outcome.coverage
        await send_json(
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
        body = await self._read_body(receive, self._execute_decoder)
        if isinstance(body, Refusal):
            await _send_refusal(send, body, closing=True)
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
                deadline_s=started_s + self._deadline_s(ServiceName(body.service), body.deadline_ms),
                retry=body.retry,
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
        await send_json(send, 200, answer)

    def _deadline_s(self, service: ServiceName, requested_ms: int | None) -> float:
        uncapped_ms = requested_ms if requested_ms is not None else self._service.deadline_ms(service)
        return min(uncapped_ms, self._limits.deadline_ms) / 1_000

    async def _search_until_disconnect(
        self, receive: Receive, request: SearchRequest
    ) -> SearchAnswer | Refusal | None:
        """Run a search; cancel it and return None if its caller disconnects."""
        outcome: SearchAnswer | Refusal | None = None
        async with anyio.create_task_group() as tasks:

            async def watch_for_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch_for_disconnect)
            outcome = await self._service.search(request)
            tasks.cancel_scope.cancel()
        return outcome

    async def _read_body(self, receive: Receive, decoder: "msgspec.json.Decoder[BodyT]") -> BodyT | Refusal:
        content = bytearray()
        try:
            with anyio.fail_after(self._limits.read_ms / 1_000):
                more = True
                while more:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, "the caller disconnected", "body")
                    content += message.get("body", b"")
                    more = message.get("more_body", False)
                    if len(content) > self._limits.body_bytes:
                        detail = f"the request body is larger than {self._limits.body_bytes} bytes"
                        return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, detail, "body")
        except TimeoutError:
            detail = f"the request body was not received within {self._limits.read_ms} ms"
            return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, detail, "body")
        try:
            return decoder.decode(bytes(content))
        except msgspec.ValidationError as error:
            return _validation_refusal(str(error))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, str(error), "body")
        except RecursionError:
            return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, "the JSON is nested too deeply", "body")


def _validation_refusal(message: str) -> Refusal:
    text, _, path = message.partition(" - at `$")
    field_match = FIELD_IN_MESSAGE.search(text)
    field = path.strip(".`") or (field_match.group(1) if field_match else "body")
    return Refusal(RefusalKind.BAD_REQUEST, Execution.NOT_RUN, text, field)


async def _send_refusal(send: Send, refusal: Refusal, status: int | None = None, *, closing: bool = False) -> None:
    body = {
        "error": {
            "kind": refusal.kind.value,
            "execution": refusal.execution.value,
            "detail": refusal.detail,
            "field": refusal.field,
        }
    }
    await send_json(send, status or HTTP_STATUSES.get(refusal.kind, DEFAULT_HTTP_STATUS), body, closing=closing)


async def send_json(send: Send, status: int, body: object, *, closing: bool = False) -> None:
    """Send a complete JSON response; closing also ends the connection, which a partly read request makes unusable."""
    content = msgspec.json.encode(body)
    headers = [(b"content-type", b"application/json"), (b"content-length", str(len(content)).encode())]
    if closing:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": content})
