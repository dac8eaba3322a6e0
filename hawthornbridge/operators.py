"""Operator interface over Connect: the operators' calls, their token and their limits."""

import hmac
import time
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import Any, NoReturn, Protocol, TypeAlias

import anyio
import msgspec
from connectrpc.code import Code
from connectrpc.errors import ConnectError
from protobuf import Oneof

from hawthornbridge import operations_pb as pb
from hawthornbridge.acceptance import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeLog,
    ChangeNotAccepted,
    ChangeUncertain,
    QuorumMissing,
)
from hawthornbridge.domaincapacity import LoadSource
from hawthornbridge.domains import (
    CapacityShort,
    DomainMoves,
    DrainOutcome,
    MoveProgress,
    MoveState,
    all_confirmed,
    host_moves,
)
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import DomainName, Generation, OperationId, ServiceName, VersionName
from hawthornbridge.model import Change, PutFailureDomain, PutRollout, PutService, Rollout, RolloutState
from hawthornbridge.operations_connect import OperationsASGIApplication
from hawthornbridge.operationscodec import (
    FieldError,
    OperatorRefusal,
    accepted_to_wire,
    catalogue_to_wire,
    change_from_wire,
    progress_to_wire,
    refusal_to_wire,
)
from hawthornbridge.registry import PluginKind, register
from hawthornbridge.settings import LimitSettings

__all__ = ["OperationsService", "OperatorApp"]

Scope: TypeAlias = MutableMapping[str, Any]
Message: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
AsgiApp: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]

PROBE_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
OPERATION_ID_LENGTH = 128
REASON_LENGTH = 512
WATCH_INTERVAL_S = 0.5
CATCH_UP_S = 2.0
# Each watch holds a connection and reads the load twice a second.
WATCHES = 64

CODES = {
    ChangeInvalid: Code.INVALID_ARGUMENT,
    ChangeConflict: Code.ABORTED,
    CapacityShort: Code.FAILED_PRECONDITION,
    ChangeNotAccepted: Code.UNAVAILABLE,
    ChangeUncertain: Code.UNKNOWN,
    QuorumMissing: Code.UNAVAILABLE,
}


class _ChangeCall(Protocol):
    """Name what every request for a change carries."""

    operation_id: str
    expected_generation: int
    force: bool


class OperationsService:
    """Do what operators ask, and answer in wire messages."""

    def __init__(
        self,
        log: ChangeLog,
        moves: DomainMoves,
        load: LoadSource,
        *,
        cut: Callable[[Rollout, str], None],
        now_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self._log = log
        self._moves = moves
        self._load = load
        self._cut = cut
        self._now_ms = now_ms
        self._watches = 0

    async def change(self, request: pb.ChangeRequest, _context: object) -> pb.ChangeResponse:
        """Put or remove one entity."""
        operation_id = await self._begin(request)
        try:
            change = change_from_wire(request.change)
        except FieldError as error:
            _refuse(ChangeInvalid(error.field, error.detail))
        change = self._without_moves(change, Generation(request.expected_generation))
        return _answer("change", operation_id, await self._propose(change, operation_id, request))

    async def drain_failure_domain(self, request: pb.MoveFailureDomainRequest, _context: object) -> pb.ChangeResponse:
        """Take a failure domain out after a capacity check."""
        operation_id = _operation_id(request)
        name, expected = DomainName(request.failure_domain), Generation(request.expected_generation)
        outcome = await self._moves.drain(name, expected, operation_id, _reason(request), force=request.force)
        return _answer("drain", operation_id, outcome)

    async def restore_failure_domain(
        self, request: pb.MoveFailureDomainRequest, _context: object
    ) -> pb.ChangeResponse:
        """Return a failure domain to service."""
        operation_id = _operation_id(request)
        name, expected = DomainName(request.failure_domain), Generation(request.expected_generation)
        outcome = await self._moves.restore(name, expected, operation_id, _reason(request), force=request.force)
        return _answer("restore", operation_id, outcome)

    async def start_rollout(self, request: pb.StartRolloutRequest, _context: object) -> pb.ChangeResponse:
        """Start a rollout at its first step."""
        operation_id = await self._begin(request)
        catalogue = self._log.catalogue
        service = catalogue.services.get(ServiceName(request.service))
        if service is None:
            _refuse(ChangeInvalid("service", f"no service {request.service!r}"))
        rollout = Rollout(
            service=service.name,
            old=service.version,
            new=VersionName(request.new),
            steps=tuple(request.steps),
            finish_by_ms=request.finish_by_ms,
            started_ms=self._now_ms(),
        )
        last = catalogue.rollouts.get(service.name)
        # A rollout that has moved on gives a conflict, or the first result of a repeated operation.
        if (last.generation if last else 0) == request.expected_generation:
            self._check_start(rollout, last)
        return _answer("start_rollout", operation_id, await self._propose(PutRollout(rollout), operation_id, request))

    async def hold_rollout(self, request: pb.ControlRolloutRequest, _context: object) -> pb.ChangeResponse:
        """Keep a running rollout at its present share."""
        return await self._control(request, RolloutState.HELD, RolloutState.RUNNING)

    async def continue_rollout(self, request: pb.ControlRolloutRequest, _context: object) -> pb.ChangeResponse:
        """Continue a held rollout."""
        return await self._control(request, RolloutState.RUNNING, RolloutState.HELD)

    async def roll_back_rollout(self, request: pb.ControlRolloutRequest, _context: object) -> pb.ChangeResponse:
        """Return all traffic of an unfinished rollout to the old version."""
        return await self._control(request, RolloutState.ROLLED_BACK, RolloutState.RUNNING, RolloutState.HELD)

    async def list_configuration(self, _request: pb.ListConfigurationRequest, _context: object) -> pb.Configuration:
        """List the configuration in force on this host."""
        return catalogue_to_wire(self._log.catalogue)

    async def list_hosts(self, _request: pb.ListHostsRequest, _context: object) -> pb.ListHostsResponse:
        """List the hosts known to this host."""
        loads = self._load.host_loads()
        hosts = []
        for progress in sorted(self._log.progress(), key=lambda progress: progress.host):
            host = pb.Host(
                id=progress.host,
                generation=progress.generation,
                silent_s=progress.silent_s,
                leaving=progress.leaving,
            )
            if progress.host in loads:
                host.load = loads[progress.host]
            hosts.append(host)
        return pb.ListHostsResponse(hosts=hosts)

    async def watch(self, request: pb.WatchRequest, _context: object) -> AsyncIterator[pb.WatchProgress]:
        """Report the progress of an accepted change until it has ended."""
        self._check_watch(request)
        if self._watches >= WATCHES:
            raise ConnectError(Code.RESOURCE_EXHAUSTED, f"this host serves {WATCHES} watches already")
        self._watches += 1
        try:
            while True:
                progress = self._progress(request)
                yield progress
                if progress.state is not pb.MoveState.IN_PROGRESS:
                    return
                await anyio.sleep(WATCH_INTERVAL_S)
        finally:
            self._watches -= 1

    async def _begin(self, request: _ChangeCall) -> OperationId:
        operation_id = _operation_id(request)
        # A change built on an entity older than the expected one would take back what came between.
        with anyio.move_on_after(CATCH_UP_S):
            await self._log.wait_for(Generation(request.expected_generation))
        generation = self._log.catalogue.generation
        if generation < request.expected_generation:
            _refuse(ChangeInvalid("expected_generation", f"this host is at generation {generation} only"))
        return operation_id

    def _without_moves(self, change: Change, expected: Generation) -> Change:
        # Only drain and restore change a domain's state, and only a rollout moves a service to another version.
        catalogue = self._log.catalogue
        match change:
            case PutFailureDomain(domain) if domain.name in catalogue.domains:
                return PutFailureDomain(catalogue.domains[domain.name])
            case PutService(service) if service.name in catalogue.services:
                current = catalogue.services[service.name]
                if current.generation == expected and current.version != service.version:
                    detail = f"only a rollout changes the version, which is {current.version!r}"
                    _refuse(ChangeInvalid("change.put_service.version", detail))
        return change

    async def _propose(self, change: Change, operation_id: OperationId, request: _ChangeCall) -> DrainOutcome:
        expected = Generation(request.expected_generation)
        return await self._log.propose(change, expected, operation_id, force=request.force)

    def _check_start(self, rollout: Rollout, last: Rollout | None) -> None:
        if last is not None and last.is_open:
            _refuse(ChangeInvalid("service", f"its rollout to {last.new!r} has not ended"))
        if rollout.new == rollout.old:
            _refuse(ChangeInvalid("new", f"{rollout.new!r} is the present version"))
        if not rollout.steps:
            _refuse(ChangeInvalid("steps", "no step"))
        if rollout.finish_by_ms <= rollout.started_ms:
            _refuse(ChangeInvalid("finish_by_ms", "expected a time to come"))

    async def _control(
        self, request: pb.ControlRolloutRequest, state: RolloutState, *allowed: RolloutState
    ) -> pb.ChangeResponse:
        operation_id = await self._begin(request)
        reason = _reason(request)
        rollout = self._log.catalogue.rollouts.get(ServiceName(request.service))
        if rollout is None:
            _refuse(ChangeInvalid("service", f"no rollout of {request.service!r}"))
        if rollout.generation == request.expected_generation and rollout.state not in allowed:
            _refuse(ChangeInvalid("service", f"its rollout is {rollout.state.value}"))
        if state is RolloutState.ROLLED_BACK and rollout.generation == request.expected_generation:
            # Stopping a version needs neither the store nor a quorum.
            self._cut(rollout, reason or "rolled back by an operator")
        change = PutRollout(msgspec.structs.replace(rollout, state=state, reason=reason))
        return _answer(f"rollout_{state.value}", operation_id, await self._propose(change, operation_id, request))

    def _check_watch(self, request: pb.WatchRequest) -> None:
        catalogue = self._log.catalogue
        if request.generation == 0:
            _refuse(ChangeInvalid("generation", "expected the generation of an accepted change"))
        match request.move:
            case Oneof(field="failure_domain", value=name):
                domain = catalogue.domains.get(DomainName(name))
                if domain is not None and domain.generation < request.generation <= catalogue.generation:
                    _refuse(ChangeInvalid("generation", f"not a change of failure domain {name!r}"))
            case Oneof(field="rollout", value=name):
                rollout = catalogue.rollouts.get(ServiceName(name))
                if rollout is not None and rollout.generation < request.generation <= catalogue.generation:
                    _refuse(ChangeInvalid("generation", f"not a change of the rollout of {name!r}"))

    def _progress(self, request: pb.WatchRequest) -> pb.WatchProgress:
        generation = Generation(request.generation)
        match request.move:
            case Oneof(field="failure_domain", value=name):
                return progress_to_wire(self._moves.move(DomainName(name), generation))
            case Oneof(field="rollout", value=name):
                return self._rollout_progress(ServiceName(name), generation)
        hosts = host_moves(self._log.progress(), generation)
        return progress_to_wire(
            MoveProgress(MoveState.DONE if all_confirmed(hosts) else MoveState.IN_PROGRESS, "", hosts)
        )

    def _rollout_progress(self, service: ServiceName, generation: Generation) -> pb.WatchProgress:
        catalogue = self._log.catalogue
        hosts = host_moves(self._log.progress(), generation)
        rollout = catalogue.rollouts.get(service)
        if catalogue.generation < generation:
            return progress_to_wire(MoveProgress(MoveState.IN_PROGRESS, "", hosts))
        if rollout is None:
            return progress_to_wire(MoveProgress(MoveState.SUPERSEDED, "the service was removed", hosts))
        match rollout.state:
            case RolloutState.DONE:
                state = MoveState.DONE
            case RolloutState.ROLLED_BACK:
                state = MoveState.ROLLED_BACK
            case _:
                state = MoveState.IN_PROGRESS
        if state is not MoveState.IN_PROGRESS and not all_confirmed(
            host_moves(self._log.progress(), rollout.generation)
        ):
            state = MoveState.IN_PROGRESS
        return progress_to_wire(MoveProgress(state, rollout.reason, hosts), rollout.share)


@register(PluginKind.OPERATOR_INTERFACE, "connect")
class OperatorApp:
    """Serve operators as an ASGI application, and the probes of another one beside them."""

    def __init__(
        self, service: OperationsService, token: str, limits: LimitSettings, probes: AsgiApp | None = None
    ) -> None:
        self._authorization = f"Bearer {token}".encode()
        self._limits = limits
        self._probes = probes
        self._operations: Any = OperationsASGIApplication(service, read_max_bytes=limits.body_bytes)  # type: ignore[arg-type]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        if self._probes is not None and scope["path"] in PROBE_PATHS:
            await self._probes(scope, receive, send)
            return
        if not self._authenticated(scope):
            emit(Event.OPERATOR_UNAUTHENTICATED, client=scope.get("client"), path=scope["path"][:128])
            await _send_error(send, 401, Code.UNAUTHENTICATED, "no valid bearer token")
            return
        content = bytearray()
        try:
            with anyio.fail_after(self._limits.read_ms / 1_000):
                more = True
                while more:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return
                    content += message.get("body", b"")
                    more = message.get("more_body", False)
                    if len(content) > self._limits.body_bytes:
                        detail = f"body: more than {self._limits.body_bytes} bytes"
                        await _send_error(send, 413, Code.RESOURCE_EXHAUSTED, detail)
                        return
        except TimeoutError:
            detail = f"body: not read within {self._limits.read_ms} ms"
            await _send_error(send, 408, Code.DEADLINE_EXCEEDED, detail)
            return
        await self._operations(scope, _replay(bytes(content), receive), send)

    def _authenticated(self, scope: Scope) -> bool:
        given = next((value for name, value in scope["headers"] if name == b"authorization"), b"")
        return hmac.compare_digest(given, self._authorization)


def _replay(content: bytes, receive: Receive) -> Receive:
    unread = [content]

    async def replayed() -> Message:
        if unread:
            return {"type": "http.request", "body": unread.pop(), "more_body": False}
        return await receive()

    return replayed


async def _send_error(send: Send, status: int, code: Code, detail: str) -> None:
    content = msgspec.json.encode({"code": code.value, "message": detail})
    # The rest of a body that is not read would be taken for the next request.
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(content)).encode()),
        (b"connection", b"close"),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": content})


def _operation_id(request: _ChangeCall) -> OperationId:
    if not 1 <= len(request.operation_id) <= OPERATION_ID_LENGTH:
        _refuse(ChangeInvalid("operation_id", f"expected 1 to {OPERATION_ID_LENGTH} characters"))
    return OperationId(request.operation_id)


def _reason(request: pb.MoveFailureDomainRequest | pb.ControlRolloutRequest) -> str:
    if len(request.reason) > REASON_LENGTH:
        _refuse(ChangeInvalid("reason", f"more than {REASON_LENGTH} characters"))
    return request.reason


def _answer(call: str, operation_id: OperationId, outcome: DrainOutcome) -> pb.ChangeResponse:
    emit(Event.OPERATOR_CALL, call=call, operation_id=operation_id, outcome=type(outcome).__name__)
    if not isinstance(outcome, ChangeAccepted):
        _refuse(outcome)
    return accepted_to_wire(outcome)


def _refuse(outcome: OperatorRefusal) -> NoReturn:
    raise ConnectError(CODES[type(outcome)], _message(outcome), [refusal_to_wire(outcome)])


def _message(outcome: OperatorRefusal) -> str:
    match outcome:
        case ChangeInvalid(field, detail):
            return f"{field}: {detail}"
        case ChangeConflict(current, _):
            return f"the entity is at generation {current}"
        case CapacityShort(shortages):
            return f"the remaining failure domains cannot carry {len(shortages)} shards"
        case ChangeNotAccepted(detail):
            return f"not accepted: {detail}"
        case ChangeUncertain(detail):
            return f"may have been accepted: {detail}"
        case QuorumMissing(heard, needed):
            return f"this host hears {heard} hosts and needs {needed}"
