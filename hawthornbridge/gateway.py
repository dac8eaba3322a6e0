"""Gateway for callers: matches each request to a route, forwards it and writes the answer."""

import random
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from math import inf

import anyio

from hawthornbridge.admission import Demand
from hawthornbridge.answers import Answer, Denied, Failed, LeafAnswer, Merged, Refused, RefusedReason, TimedOut
from hawthornbridge.answertime import AnswerTimes
from hawthornbridge.callers import Message, Receive, Scope, Send
from hawthornbridge.decimals import parse_decimal
from hawthornbridge.events import Event, emit
from hawthornbridge.fanout import FanOut, RouteLatencies
from hawthornbridge.gatewaymetrics import GatewayMetrics
from hawthornbridge.hedgedrequests import ForwardedRequest, GatewayContext
from hawthornbridge.ids import CallerId, ServiceName
from hawthornbridge.keyvalidity import KeyPermit, KeyValidity
from hawthornbridge.leafadmission import LeafAdmission, Permit, Pool
from hawthornbridge.leafroom import describe_room
from hawthornbridge.logbudget import LogBudget
from hawthornbridge.outcomes import Refusal, RefusalKind
from hawthornbridge.routing import Forward, Gather, Route, RoutingState, Splitter

__all__ = ["Gateway", "send_answer"]

# Hop-by-hop headers and headers that are generated for each request; not forwarded.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Sent to callers whose request is refused because no configuration is known or the host is stopping.
RETRY_AFTER_S = 0.2
STATUS_DENIED = 401
AUTHENTICATION_SCHEME = b"Token"
STATUS_REFUSED = 503
STATUS_FAILED = 502
STATUS_TIMED_OUT = 504
# Services without room that one log line names.
LOGGED_ROOMS = 4
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class Gateway:
    """ASGI application that answers callers' requests by the routes of the current configuration."""

    def __init__(
        self,
        context: GatewayContext,
        metrics: GatewayMetrics,
        rng: random.Random | None = None,
        key_validity: KeyValidity | None = None,
    ) -> None:
        self._context = context
        self._metrics = metrics
        self._state: RoutingState | None = None
        self._splitter = Splitter(rng)
        self._latencies = RouteLatencies()
        self._answer_times = AnswerTimes()
        self._log = LogBudget(context.clock)
        self._active: set[FanOut] = set()
        # Requests that wait for room at leaves, with the scopes that end the wait.
        self._waiting: dict[ForwardedRequest, anyio.CancelScope] = {}
        self._key_validity = key_validity or KeyValidity()
        self.refuses_new_requests: Callable[[], bool] = lambda: False

    @property
    def state(self) -> RoutingState | None:
        """Return the current configuration, or None if none has been read yet."""
        return self._state

    def apply(self, state: RoutingState) -> None:
        """Switch to a newer configuration; ignore one that is not newer."""
        if self._state is not None and state.version <= self._state.version:
            return
        self._state = state
        self._key_validity.apply(state)
        self._splitter.keep_only(state.routes)
        self._latencies.keep_only(state.routes)
        self._answer_times.keep_only(state.routes)
        self._context.table.set_limits(dict(state.services))
        self._context.budget.keep_only(set(state.service_names()))
        if self._context.admission is not None:
            self._context.admission.keep_only(state)
        for forwarded, scope in self._waiting.items():
            if forwarded.refuse() is not None:
                scope.cancel()
        emit(Event.ROUTES_APPLIED, version=state.version, routes=len(state.routes))

    def finish(self) -> None:
        """Answer every request in progress now with the replies received so far; refuse those that wait for room."""
        for scope in self._waiting.values():
            scope.cancel()
        for fan_out in self._active:
            fan_out.finish()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        started_s = self._context.clock()
        body = await _read_body(receive)
        if body is None:
            return
        headers: list[tuple[bytes, bytes]] = scope["headers"]
        host = _host_of(headers)
        state = self._state
        if state is None or self.refuses_new_requests():
            reason = RefusedReason.NO_CONFIGURATION if state is None else RefusedReason.STOPPING
            self._log_unrouted(headers, reason.value, state)
            await _send_refusal(send, RETRY_AFTER_S)
            return
        path: bytes = scope["raw_path"]
        route = state.match(host, path)
        if route is None:
            self._log_unrouted(headers, "no_route", state)
            await send_answer(send, 404, [], b"")
            return
        permit: KeyPermit | None = None
        if state.teams is not None and not route.is_anonymous:
            admitted = self._admit(headers, route, state)
            if not isinstance(admitted, KeyPermit):
                await self._write(send, admitted)
                return
            permit = admitted
        forwarded = self._forwarded(scope, headers, body, route, started_s, state.teams is not None, permit)
        service = self._splitter.choose(route, route.plan) if isinstance(route.plan, Forward) else None
        answer_by_s = inf
        if isinstance(route.plan, Gather):
            spent_s = self._answer_times.spent_s(route, forwarded.stated_left_s)
            answer_by_s = self._answer_times.latest_s(route, started_s, spent_s)
        fan_out = FanOut(self._context, forwarded, route, service, self._latencies, answer_by_s)
        answer: Answer | None = None
        self._active.add(fan_out)
        try:
            answer = await _run_while_connected(partial(self._run, fan_out, forwarded, route, service), receive)
        finally:
            self._active.discard(fan_out)
            latency_s = self._context.clock() - started_s
            self._metrics.observe(route, answer, latency_s, len(fan_out.exchanges))
            self._log_request(forwarded, route, state, fan_out, answer, latency_s)
            fan_out.release()
        if isinstance(answer, Merged):
            self._answer_times.record_build(route, self._context.clock() - fan_out.ready_s)
        if answer is not None:
            await self._write(send, answer)

    async def _run(
        self, fan_out: FanOut, forwarded: ForwardedRequest, route: Route, service: ServiceName | None
    ) -> Answer:
        """Return the answer of a fan-out once there is room for it at leaves, or why it was not started."""
        admission = self._context.admission
        if admission is None:
            return await fan_out.run()
        pool = admission.pool(route, service)
        caller = CallerId(forwarded.team or forwarded.route)
        demand = admission.demand(route, pool, caller, forwarded.priority, *fan_out.times_s)
        permit = admission.try_enter(pool, demand)
        if permit is None:
            admitted = await self._wait_for_room(admission, pool, demand, forwarded)
            if not isinstance(admitted, Permit):
                return admitted
            permit = admitted
        try:
            return await fan_out.run()
        finally:
            admission.leave(permit)

    async def _wait_for_room(
        self, admission: LeafAdmission, pool: Pool, demand: Demand, forwarded: ForwardedRequest
    ) -> Permit | Refused | Denied:
        """Return the permit of a request that has waited, or why its wait has ended without one."""
        started_s = self._context.clock()
        self._log_room(Event.REQUEST_QUEUED, admission, pool, demand, forwarded, {})
        outcome: Permit | Refusal | None = None
        with anyio.CancelScope() as scope:
            self._waiting[forwarded] = scope
            try:
                outcome = await admission.enter(pool, demand)
            finally:
                del self._waiting[forwarded]
                forwarded.queued_s = self._context.clock() - started_s
        match outcome:
            case None:
                return forwarded.refuse() or Refused(RefusedReason.STOPPING, RETRY_AFTER_S)
            case Refusal(kind, detail=detail, retry_after_s=retry_after_s):
                fields = {"detail": detail, "retry_after_s": retry_after_s}
                self._log_room(Event.REQUEST_WITHOUT_ROOM, admission, pool, demand, forwarded, fields)
                has_waited = kind is RefusalKind.DEADLINE
                reason = RefusedReason.NO_ROOM_IN_TIME if has_waited else RefusedReason.NO_ROOM
                return Refused(reason, RETRY_AFTER_S if retry_after_s is None else retry_after_s)
        return outcome

    def _log_room(
        self,
        event: Event,
        admission: LeafAdmission,
        pool: Pool,
        demand: Demand,
        forwarded: ForwardedRequest,
        fields: Mapping[str, object],
    ) -> None:
        if not self._log.take():
            return
        rooms = admission.short_rooms(pool)
        emit(
            event,
            request=forwarded.request_id.decode("latin-1"),
            route=forwarded.route,
            priority=forwarded.priority,
            left_ms=round((demand.deadline_s - self._context.clock()) * 1_000),
            waiting=pool.queues.waiting,
            running=pool.room.running,
            short=len(rooms),
            rooms=[describe_room(room) for room in rooms[:LOGGED_ROOMS]],
            **fields,
        )

    def _admit(
        self, headers: list[tuple[bytes, bytes]], route: Route, state: RoutingState
    ) -> KeyPermit | Refused | Denied:
        """Return the permit of a request on a route that needs a key, or the answer to one that has none."""
        wanted = self._context.names.authorization
        admitted = self._key_validity.admit(state, [value for name, value in headers if name == wanted])
        if isinstance(admitted, KeyPermit):
            return admitted
        self._metrics.count_without_permit(route, admitted)
        if not self._log.take():
            return admitted
        fields = {"request": self._request_id(headers), "route": route.name, "version": state.version}
        if isinstance(admitted, Denied):
            emit(Event.REQUEST_DENIED, reason=admitted.reason.value, **fields)
        else:
            copy = self._key_validity.copy_age
            age_ms = None if copy.age_s == inf else round(copy.age_s * 1_000)
            emit(
                Event.REQUEST_WITHOUT_RECENT_COPY,
                reason=admitted.reason.value,
                age_ms=age_ms,
                bound_ms=round(copy.max_s * 1_000),
                **fields,
            )
        return admitted

    def _forwarded(
        self,
        scope: Scope,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        route: Route,
        started_s: float,
        has_teams: bool,
        permit: KeyPermit | None,
    ) -> ForwardedRequest:
        names = self._context.names
        dropped = CONNECTION_HEADERS | {names.deadline_ms, names.expected_leaf}
        if has_teams:
            dropped |= {names.authorization, names.team}
        request_id, stated_left_s = b"", route.timeout_s
        target: bytes = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        lines = [b"%s %s HTTP/1.1\r\n" % (scope["method"].encode(), target)]
        for name, value in headers:
            if name == names.deadline_ms:
                deadline_ms = parse_decimal(value)
                stated_left_s = stated_left_s if deadline_ms is None else deadline_ms / 1_000
            elif name == names.request_id:
                request_id = value
            elif name == b"connection":
                dropped |= {token.strip().lower() for token in value.split(b",")} - {names.request_id}
        lines.extend(b"%s: %s\r\n" % (name, value) for name, value in headers if name not in dropped)
        if permit is not None:
            lines.append(b"%s: %s\r\n" % (names.team, permit.team.name.encode()))
        if body or scope["method"] in METHODS_WITH_BODY:
            lines.append(b"content-length: %d\r\n" % len(body))
        return ForwardedRequest(
            request_id,
            route.name,
            b"".join(lines),
            body,
            route.idempotent,
            route.max_leaves,
            route.objective_s,
            started_s + min(stated_left_s, route.timeout_s),
            stated_left_s,
            None if permit is None else permit.team.name,
            permit,
            _priority(route, permit),
        )

    async def _write(self, send: Send, answer: Answer) -> None:
        names = self._context.names
        match answer:
            case LeafAnswer(reply):
                headers = [(name, value) for name, value in reply.headers if name not in CONNECTION_HEADERS]
                await send_answer(send, reply.status, headers, reply.body)
            case Merged(body, stamps, missing):
                headers = [(names.part_stamps, b", ".join(stamps)), (names.missing_parts, b"%d" % missing)]
                await send_answer(send, 200, headers, body)
            case Denied():
                await send_answer(send, STATUS_DENIED, [(b"www-authenticate", AUTHENTICATION_SCHEME)], b"")
            case Refused(_, retry_after_s):
                await _send_refusal(send, retry_after_s)
            case Failed():
                await send_answer(send, STATUS_FAILED, [], b"")
            case TimedOut():
                await send_answer(send, STATUS_TIMED_OUT, [], b"")

    def _log_unrouted(self, headers: list[tuple[bytes, bytes]], reason: str, state: RoutingState | None) -> None:
        if not self._log.take():
            return
        version = None if state is None else state.version
        emit(Event.REQUEST_NOT_ROUTED, request=self._request_id(headers), reason=reason, version=version)

    def _request_id(self, headers: list[tuple[bytes, bytes]]) -> str:
        wanted = self._context.names.request_id
        return next((value for name, value in headers if name == wanted), b"").decode("latin-1")

    def _log_request(
        self,
        forwarded: ForwardedRequest,
        route: Route,
        state: RoutingState,
        fan_out: FanOut,
        answer: Answer | None,
        latency_s: float,
    ) -> None:
        if not self._log.take():
            return
        emit(
            Event.REQUEST_ENDED,
            request=forwarded.request_id.decode("latin-1"),
            route=route.name,
            version=state.version,
            outcome=_outcome_name(answer),
            latency_ms=round(latency_s * 1_000, 1),
            queued_ms=round(forwarded.queued_s * 1_000, 1),
            sent=len(fan_out.exchanges),
            missing=[hedged.service for hedged in fan_out.hedged_requests if hedged.reply is None],
            failures=[
                f"{leaf}:{status}" for hedged in fan_out.hedged_requests for leaf, status in hedged.failed_attempts
            ],
            slowest=fan_out.slowest(),
            unlogged=self._log.skipped(),
        )


def _priority(route: Route, permit: KeyPermit | None) -> int:
    """Return the rank of a request; that of its team, if it has one, goes before the route's."""
    if permit is None or permit.team.priority is None:
        return route.priority
    return permit.team.priority


def _outcome_name(answer: Answer | None) -> str:
    match answer:
        case None:
            return "caller_left"
        case LeafAnswer(reply):
            return f"leaf_{reply.status}"
        case Merged(missing=0):
            return "complete"
        case Merged():
            return "partial"
        case Refused(reason) | Denied(reason) | Failed(reason):
            return reason.value
        case TimedOut():
            return "timed_out"


def _host_of(headers: list[tuple[bytes, bytes]]) -> str:
    for name, value in headers:
        if name == b"host":
            return value.decode("latin-1").lower().partition(":")[0]
    return ""


async def _read_body(receive: Receive) -> bytes | None:
    """Return the whole body, or None if the caller disconnected before its end."""
    chunks = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _run_while_connected(run: Callable[[], Awaitable[Answer]], receive: Receive) -> Answer | None:
    """Return the answer, or None if the caller disconnected first."""
    answer: Answer | None = None
    async with anyio.create_task_group() as tasks:

        async def watch_caller() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch_caller)
        answer = await run()
        tasks.cancel_scope.cancel()
    return answer


async def _send_refusal(send: Send, retry_after_s: float) -> None:
    await send_answer(send, STATUS_REFUSED, [(b"retry-after", b"%.3f" % retry_after_s)], b"")


async def send_answer(send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
    """Send a complete response."""
    start: Message = {
        "type": "http.response.start",
        "status": status,
        "headers": [*headers, (b"content-length", b"%d" % len(body))],
    }
    await send(start)
    await send({"type": "http.response.body", "body": body})
