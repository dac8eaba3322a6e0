"""At-most-once execution of non-idempotent requests."""

import uuid
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from typing import Any, Protocol, TypeAlias, TypeVar

import anyio
import msgspec
import uuid_utils
import xxhash
from anyio.abc import TaskGroup

from hawthornbridge.claims import (
    BucketFull,
    Claim,
    Claimed,
    Claims,
    ClaimState,
    Digest,
    HeldElsewhere,
    KeyMismatch,
    Recorded,
    StoreDown,
    Unsettled,
)
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import (
    AttemptId,
    IdempotencyKey,
    RequestId,
    ServiceName,
    ShardName,
    SnapshotNumber,
    UpstreamId,
    VersionName,
)
from hawthornbridge.model import Catalogue, Upstream
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.requests import ExecuteAnswer, ExecuteRequest
from hawthornbridge.subrequests import Execute, ExecuteOutcome, FailureKind, Result, UpstreamFailure, UpstreamRefusal

__all__ = ["ChosenUpstream", "Executions", "Upstreams", "shard_of"]

MILLISECONDS_PER_SECOND = 1_000
# A key may be this far ahead of the host's clock, because callers' clocks are not synchronized with those of hosts.
FUTURE_KEY_LIMIT_S = 60.0
# Upstreams tried for one request; the next one is tried only if the last one certainly did not run the request.
UPSTREAM_LIMIT = 3
# An answer that arrives within this time after the deadline is still recorded for repeats.
LATE_ANSWER_WINDOW_S = 1.0
UUID_VERSION = 7


class ChosenUpstream(Protocol):
    """Upstream that was chosen for new work."""

    @property
    def upstream(self) -> Upstream:
        """Return the upstream's entry in the configuration."""


ChosenT = TypeVar("ChosenT", bound=ChosenUpstream)


class Upstreams(Protocol[ChosenT]):
    """Choice of upstreams and execution of requests on them; upstreams.UpstreamTable implements it."""

    def choose(
        self,
        service: ServiceName,
        shard: ShardName,
        version: VersionName,
        snapshot: SnapshotNumber | None,
        excluded: Collection[UpstreamId] = (),
    ) -> ChosenT | None:
        """Choose an upstream for new work, or None if no usable one is left."""

    async def execute(self, state: ChosenT, request: Execute) -> ExecuteOutcome:
        """Send a request to an upstream and return its outcome."""


@dataclass(frozen=True, slots=True)
class _Ran:
    """Outcome of an attempt that ran; result is None if it was too large to keep."""

    result: bytes | None
    repeated: bool


_AttemptOutcome: TypeAlias = _Ran | Refusal


@dataclass(eq=False)
class _Attempt:
    """Attempt on a key; repeats on this host wait for the same attempt.

    may_have_run is set while this attempt, or the one whose outcome it waits for, may have run the request.
    """

    request: ExecuteRequest
    key_ms: int
    digest: Digest
    id: AttemptId
    may_have_run: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: _AttemptOutcome | None = None


class Executions:
    """At-most-once execution: claims the key, dispatches the request once and records the outcome."""

    def __init__(
        self,
        claims: Claims,
        upstreams: Upstreams[Any],
        catalogue: Callable[[], Catalogue],
        tasks: TaskGroup,
        wall_clock_s: Callable[[], float],
    ) -> None:
        self._claims = claims
        self._upstreams = upstreams
        self._catalogue = catalogue
        self._tasks = tasks
        self._wall_clock_s = wall_clock_s
        self._running: dict[tuple[ServiceName, IdempotencyKey], _Attempt] = {}

    @property
    def idle(self) -> bool:
        """Return whether no attempt is running and every outcome is recorded."""
        return not self._running and self._claims.idle

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Run a request at most once; a repeat receives the outcome of the attempt that ran."""
        service = self._catalogue().services.get(request.service)
        if service is None:
            return _not_run(RefusalKind.UNKNOWN_SERVICE, f"no service {request.service!r}", "service")
        route = service.route(request.route)
        if route is None:
            return _not_run(RefusalKind.UNKNOWN_ROUTE, f"no route {request.route!r}", "route")
        longest_s = anyio.current_time() + self._claims.limits.deadline_limit_s
        if request.deadline_s > longest_s:
            # Claims are kept only for as long as the maximum deadline requires.
            return _not_run(RefusalKind.BAD_REQUEST, "deadline exceeds the maximum", "deadline_ms")
        if route.idempotent:
            now_ms = int(self._wall_clock_s() * MILLISECONDS_PER_SECOND)
            return _answer(request, await self._dispatch(_Attempt(request, now_ms, Digest(""), _new_attempt_id())))
        key_ms = self._checked_key(request.idempotency_key)
        if isinstance(key_ms, Refusal):
            return key_ms
        attempt = _Attempt(request, key_ms, _digest(request), _new_attempt_id())
        running = self._running.get((request.service, request.idempotency_key))
        if running is not None:
            return await self._join(running, attempt)
        self._running[request.service, request.idempotency_key] = attempt
        # The attempt runs in its own task, so that its outcome is recorded even if the caller disconnects.
        self._tasks.start_soon(self._run, attempt)
        return await self._wait(attempt, request, repeated=False)

    def _checked_key(self, key: IdempotencyKey) -> int | Refusal:
        try:
            parsed = uuid.UUID(key)
        except ValueError:
            parsed = uuid.UUID(int=0)
        # Only the canonical form is accepted, because two spellings of one key would be claimed separately.
        if parsed.version != UUID_VERSION or str(parsed) != key:
            return _not_run(RefusalKind.BAD_REQUEST, "expected a UUIDv7 in lower case", "idempotency_key")
        key_ms = uuid_utils.UUID(key).timestamp
        age_s = self._wall_clock_s() - key_ms / MILLISECONDS_PER_SECOND
        if age_s > self._claims.limits.retention_s:
            detail = f"the key is older than {self._claims.limits.retention_s:.0f} s; it may have run earlier"
            return Refusal(RefusalKind.KEY_EXPIRED, Execution.UNKNOWN, detail, "idempotency_key")
        if age_s < -FUTURE_KEY_LIMIT_S:
            detail = f"the key is more than {FUTURE_KEY_LIMIT_S:.0f} s ahead of the host's clock"
            return _not_run(RefusalKind.BAD_REQUEST, detail, "idempotency_key")
        return key_ms

    async def _join(self, running: _Attempt, repeat: _Attempt) -> ExecuteAnswer | Refusal:
        if running.digest != repeat.digest:
            return _mismatch()
        return await self._wait(running, repeat.request, repeated=True)

    async def _wait(self, attempt: _Attempt, request: ExecuteRequest, repeated: bool) -> ExecuteAnswer | Refusal:
        with anyio.move_on_at(request.deadline_s):
            await attempt.done.wait()
        if attempt.outcome is not None:
            return _answer(request, attempt.outcome, repeated)
        # The first caller's deadline is also that of the attempt, which is never dispatched after it.
        if not repeated and not attempt.may_have_run:
            return _not_run(RefusalKind.DEADLINE, "not dispatched before the deadline")
        return _in_progress()

    async def _run(self, attempt: _Attempt) -> None:
        request = attempt.request
        try:
            attempt.outcome = await self._claim_and_dispatch(attempt)
        except Exception as error:
            emit(Event.EXECUTION_FAILED, service=request.service, attempt=attempt.id, error=repr(error))
            execution = Execution.UNKNOWN if attempt.may_have_run else Execution.NOT_RUN
            attempt.outcome = Refusal(
                RefusalKind.UPSTREAM_FAILED, execution, "internal error while handling the request"
            )
            self._record(attempt, ClaimState.UNKNOWN if attempt.may_have_run else ClaimState.RELEASED)
        finally:
            del self._running[request.service, request.idempotency_key]
            attempt.done.set()

    async def _claim_and_dispatch(self, attempt: _Attempt) -> _AttemptOutcome:
        request = attempt.request
        service, key, deadline_s = request.service, request.idempotency_key, request.deadline_s
        while True:
            outcome = await self._claims.claim(service, key, attempt.key_ms, attempt.id, attempt.digest, deadline_s)
            match outcome:
                case Claimed():
                    return await self._dispatch_claimed(attempt)
                case Recorded(claim):
                    return _recorded(claim)
                case HeldElsewhere(holder):
                    attempt.may_have_run = True
                    ended = await self._claims.outcome(service, key, attempt.key_ms, holder, deadline_s)
                    if ended is None:
                        return _in_progress()
                    attempt.may_have_run = False
                case KeyMismatch():
                    return _mismatch()
                case BucketFull():
                    return _not_run(RefusalKind.OVERLOADED, "too many idempotency keys in the same time window")
                case StoreDown(detail):
                    return _not_run(RefusalKind.STORE_UNAVAILABLE, detail)
                case Unsettled():
                    return _not_run(
                        RefusalKind.STORE_UNAVAILABLE, "idempotency key claim was not confirmed before the deadline"
                    )

    async def _dispatch_claimed(self, attempt: _Attempt) -> _AttemptOutcome:
        outcome = await self._dispatch(attempt)
        match outcome:
            case _Ran(result):
                self._record(attempt, ClaimState.RAN, result)
            case Refusal(execution=Execution.NOT_RUN):
                self._record(attempt, ClaimState.RELEASED)
                # The claim shows that no earlier attempt holds the key.
                return replace(outcome, covers_earlier_attempts=True)
            case Refusal(execution=Execution.RAN):
                self._record(attempt, ClaimState.RAN)
            case _:
                request = attempt.request
                emit(
                    Event.EXECUTION_UNKNOWN,
                    service=request.service,
                    key=request.idempotency_key,
                    attempt=attempt.id,
                    detail=outcome.detail,
                )
                self._record(attempt, ClaimState.UNKNOWN)
        return outcome

    async def _dispatch(self, attempt: _Attempt) -> _AttemptOutcome:
        request = attempt.request
        catalogue = self._catalogue()
        shard = shard_of(catalogue, request.service, request.idempotency_key)
        service = catalogue.services.get(request.service)
        if shard is None or service is None:
            return _not_run(RefusalKind.NO_UPSTREAM, "the service has no shard")
        tried: set[UpstreamId] = set()
        refused: UpstreamRefusal | UpstreamFailure | None = None
        while len(tried) < UPSTREAM_LIMIT:
            chosen = self._upstreams.choose(request.service, shard, service.version, None, tried)
            if chosen is None:
                break
            # The host may have been paused since the claim. Only the wall clock advances while a machine is suspended.
            if anyio.current_time() >= request.deadline_s or self._is_past_retention(attempt):
                return _not_run(RefusalKind.DEADLINE, "not dispatched before the deadline")
            tried.add(chosen.upstream.id)
            attempt.may_have_run = True
            outcome = await self._send(attempt, chosen, shard)
            match outcome:
                case Result(result=result):
                    return _Ran(msgspec.json.encode(result), repeated=False)
                case UpstreamRefusal(execution=Execution.NOT_RUN) | UpstreamFailure(execution=Execution.NOT_RUN):
                    attempt.may_have_run = False
                    refused = outcome
                case UpstreamRefusal() | UpstreamFailure():
                    return Refusal(RefusalKind.UPSTREAM_FAILED, outcome.execution, outcome.kind.value)
        if refused is None:
            return _not_run(RefusalKind.NO_UPSTREAM, f"no usable upstream of shard {shard!r}")
        detail = f"{len(tried)} upstreams refused, the last with {refused.kind.value}"
        return _not_run(RefusalKind.UPSTREAM_FAILED, detail)

    async def _send(self, attempt: _Attempt, chosen: ChosenUpstream, shard: ShardName) -> ExecuteOutcome:
        request = attempt.request
        # The attempt id makes the sub-request id unique, so that an answer to another attempt is not accepted.
        sent = Execute(
            request_id=RequestId(f"{request.request_id}:{attempt.id}"),
            attempt_id=attempt.id,
            idempotency_key=request.idempotency_key,
            route=request.route,
            shard=shard,
            payload=request.payload,
            deadline_s=request.deadline_s,
        )
        outcome: ExecuteOutcome | None = None
        with anyio.move_on_at(request.deadline_s + LATE_ANSWER_WINDOW_S):
            outcome = await self._upstreams.execute(chosen, sent)
        if outcome is None:
            return UpstreamFailure(FailureKind.TIMEOUT, Execution.UNKNOWN, "no answer from the upstream")
        if isinstance(outcome, Result) and outcome.request_id != sent.request_id:
            return UpstreamFailure(FailureKind.BAD_REPLY, Execution.UNKNOWN, "answer has a different request id")
        return outcome

    def _is_past_retention(self, attempt: _Attempt) -> bool:
        limits = self._claims.limits
        age_s = self._wall_clock_s() - attempt.key_ms / MILLISECONDS_PER_SECOND
        return age_s > limits.retention_s + limits.deadline_limit_s

    def _record(self, attempt: _Attempt, state: ClaimState, result: bytes | None = None) -> None:
        request = attempt.request
        claim = Claim(attempt.id, self._claims.host, attempt.digest, state, result)
        self._claims.record(request.service, request.idempotency_key, attempt.key_ms, claim)


def shard_of(catalogue: Catalogue, service: ServiceName, key: IdempotencyKey) -> ShardName | None:
    """Return the shard of a key by rendezvous hashing over the newest shard map of the service.

    A new map moves only the keys of added and removed shards. A claim covers the key on all shards, so a repeat after
    a change of the map never runs on a second shard.
    """
    maps = catalogue.maps_of(service)
    if not maps:
        return None
    newest = max(maps, key=lambda shard_map: shard_map.generation)
    return max(newest.shards, key=lambda shard: xxhash.xxh64_intdigest(f"{key}/{shard}".encode()))


def _new_attempt_id() -> AttemptId:
    return AttemptId(str(uuid_utils.uuid4()))


def _digest(request: ExecuteRequest) -> Digest:
    content = msgspec.json.encode((request.route, request.payload), order="deterministic")
    return Digest(xxhash.xxh3_128_hexdigest(content))


def _recorded(claim: Claim) -> _AttemptOutcome:
    if claim.state is ClaimState.RAN:
        return _Ran(claim.result, repeated=True)
    return Refusal(RefusalKind.UPSTREAM_FAILED, Execution.UNKNOWN, "unknown whether an earlier attempt ran")


def _answer(request: ExecuteRequest, outcome: _AttemptOutcome, repeated: bool = False) -> ExecuteAnswer | Refusal:
    if isinstance(outcome, Refusal):
        return outcome
    if outcome.result is None:
        detail = "an earlier attempt ran, and its result was too large to keep"
        return Refusal(RefusalKind.RESULT_NOT_KEPT, Execution.RAN, detail)
    result = msgspec.json.decode(outcome.result)
    return ExecuteAnswer(request.request_id, result, repeated or outcome.repeated)


def _not_run(kind: RefusalKind, detail: str, field: str | None = None) -> Refusal:
    return Refusal(kind, Execution.NOT_RUN, detail, field)


def _in_progress() -> Refusal:
    return Refusal(RefusalKind.IN_PROGRESS, Execution.UNKNOWN, "an attempt on the key has no outcome yet")


def _mismatch() -> Refusal:
    detail = "the key was used for a request with another route or payload"
    return _not_run(RefusalKind.KEY_MISMATCH, detail, "idempotency_key")
