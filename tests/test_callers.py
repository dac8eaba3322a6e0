import anyio
import msgspec
import pytest

from hawthornbridge.callers import CallerApp
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.requests import Coverage, ExecuteAnswer, SearchAnswer
from hawthornbridge.settings import LimitSettings

LIMITS = LimitSettings(body_bytes=2_000, read_ms=500, deadline_ms=10_000)
SEARCH = {"service": "desk", "route": "lookup", "query": "x", "request_id": "q1"}
EXECUTE = {"service": "desk", "route": "order", "payload": {}, "idempotency_key": "k", "request_id": "q1"}


class FakeService:
    def __init__(self, delay_s=0.0, refusal=None):
        self.delay_s, self.refusal = delay_s, refusal
        self.received_requests, self.cancelled = [], 0

    async def search(self, request):
        self.received_requests.append(request)
        try:
            await anyio.sleep(self.delay_s)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise
        return self.refusal or SearchAnswer(request.request_id, 1, Coverage(1, 2, ("s1",)), (), 0.01, False)

    async def execute(self, request):
        self.received_requests.append(request)
        await anyio.sleep(self.delay_s)
        return self.refusal or ExecuteAnswer(request.request_id, 7, False)

    def addresses(self):
        return ["127.0.0.1:1"]

    def deadline_ms(self, service):
        return 120


async def call(service, path, content, *, disconnect_after_s=None):
    """Call the app as uvicorn does; return the status and body, or None if nothing was sent."""
    content = content if isinstance(content, bytes) else msgspec.json.encode(content)
    parts = [content]
    sent = []

    async def receive():
        if parts:
            return {"type": "http.request", "body": parts.pop(0), "more_body": bool(parts)}
        await anyio.sleep(1e6 if disconnect_after_s is None else disconnect_after_s)
        return {"type": "http.disconnect"}

    async def send(message):
        sent.append(message)

    await CallerApp(service, LIMITS, 5_000)({"type": "http", "method": "POST", "path": path}, receive, send)
    return (sent[0]["status"], msgspec.json.decode(sent[1]["body"])) if sent else None


@pytest.mark.parametrize(
    ("path", "content", "status", "field"),
    [
        ("/v1/search", {**SEARCH, "limit": 0}, 400, "limit"),
        ("/v1/search", {**SEARCH, "limit": 1_001}, 400, "limit"),
        ("/v1/search", {**SEARCH, "limit": "many"}, 400, "limit"),
        ("/v1/search", {**SEARCH, "deadline_ms": 0}, 400, "deadline_ms"),
        ("/v1/search", {**SEARCH, "request_id": ""}, 400, "request_id"),
        ("/v1/search", {**SEARCH, "request_id": "r" * 129}, 400, "request_id"),
        ("/v1/search", {**SEARCH, "class": 7}, 400, "class"),
        ("/v1/search", {**SEARCH, "caller": "c" * 129}, 400, "caller"),
        ("/v1/search", {**SEARCH, "colour": "red"}, 400, "colour"),
        ("/v1/search", {key: value for key, value in SEARCH.items() if key != "service"}, 400, "service"),
        ("/v1/search", [], 400, "body"),
        ("/v1/search", b"", 400, "body"),
        ("/v1/search", b'{"service": "\xff"}', 400, "body"),
        ("/v1/search", b" " * 2_001, 400, "body"),
        ("/v1/execute", b'{"payload": ' + b"[" * 1_900, 400, "body"),
        ("/v1/execute", {**EXECUTE, "idempotency_key": ""}, 400, "idempotency_key"),
        ("/v1/other", SEARCH, 404, None),
    ],
)
@pytest.mark.anyio
async def test_invalid_input_is_refused_and_the_field_is_named(path, content, status, field):
    """Guards against unchecked input in the query path, and against refusals that do not name the wrong field."""
    service = FakeService()
    actual_status, answer = await call(service, path, content)
    error = answer["error"]
    assert (actual_status, error["kind"], error["execution"], error["field"]) == (
        status,
        "bad_request",
        "not_run",
        field,
    )
    assert service.received_requests == []


@pytest.mark.anyio
async def test_an_incomplete_body_is_refused_after_the_read_timeout():
    """Guards against callers that keep a request open indefinitely by never completing its body."""
    sent = []

    async def receive():
        await anyio.sleep(0.2)
        return {"type": "http.request", "body": b" ", "more_body": True}

    async def send(message):
        sent.append(message)

    started_s = anyio.current_time()
    await CallerApp(FakeService(), LIMITS, 5_000)({"method": "POST", "path": "/v1/search"}, receive, send)
    assert anyio.current_time() - started_s == pytest.approx(0.5)
    assert msgspec.json.decode(sent[1]["body"])["error"]["field"] == "body"
    assert (b"connection", b"close") in sent[0]["headers"]


@pytest.mark.parametrize(("requested_ms", "expected_s"), [(None, 0.12), (50, 0.05), (10_000, 10.0), (2**31, 10.0)])
@pytest.mark.anyio
async def test_deadline_defaults_to_that_of_the_service_and_is_capped(requested_ms, expected_s):
    """Guards against callers that occupy resources for as long as they choose."""
    service = FakeService()
    fields = {} if requested_ms is None else {"deadline_ms": requested_ms}
    for path, body in (("/v1/search", SEARCH), ("/v1/execute", EXECUTE)):
        started_s = anyio.current_time()
        assert (await call(service, path, body | fields))[0] == 200
        assert service.received_requests[-1].deadline_s - started_s == pytest.approx(expected_s)


@pytest.mark.anyio
async def test_a_search_is_cancelled_when_its_caller_disconnects():
    """Guards against work on searches whose callers have disconnected."""
    service = FakeService(delay_s=1.0)
    started_s = anyio.current_time()
    assert await call(service, "/v1/search", SEARCH, disconnect_after_s=0.1) is None
    assert service.cancelled == 1
    assert anyio.current_time() - started_s == pytest.approx(0.1)


@pytest.mark.anyio
async def test_an_answer_carries_the_id_of_its_own_request():
    """Guards against answers that a caller with many requests in flight cannot match to its requests."""
    service = FakeService(delay_s=0.01)
    answers = {}

    async def ask(request_id):
        answers[request_id] = await call(service, "/v1/search", {**SEARCH, "request_id": request_id})

    async with anyio.create_task_group() as tasks:
        for number in range(20):
            tasks.start_soon(ask, f"q{number}")
    assert all(answer["request_id"] == request_id for request_id, (_, answer) in answers.items())
    assert answers["q1"][1]["coverage"] == {"answered": 1, "total": 2, "missing": ["s1"]}


@pytest.mark.parametrize("kind", list(RefusalKind))
@pytest.mark.anyio
async def test_every_refusal_says_whether_the_request_ran(kind):
    """Guards against refusals that a caller mistakes for answers."""
    service = FakeService(refusal=Refusal(kind, Execution.UNKNOWN, "why", "field"))
    for path, body in (("/v1/search", SEARCH), ("/v1/execute", EXECUTE)):
        status, answer = await call(service, path, body)
        assert 400 <= status < 600
        assert answer == {"error": {"kind": kind.value, "execution": "unknown", "detail": "why", "field": "field"}}
