import random

import anyio
import pytest
from fake_table import SERVICE, FakeReplica, FakeTable, catalogue, refusal, reply, request, upstream

from hawthornbridge.admission import FairShareAdmission
from hawthornbridge.hedging import UnhedgedPolicy
from hawthornbridge.metrics import Metrics, ProbeApp
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.queries import QueryPipeline
from hawthornbridge.requests import ExecuteRequest, SearchRequest
from hawthornbridge.search import Searcher

STALE = Refusal(RefusalKind.STALE_CONFIGURATION, Execution.NOT_RUN, "stale")


def path_for(behave, *, check_serving=None, concurrent=8):
    config = catalogue({"m1": ("s0",)})
    table = FakeTable([FakeReplica(upstream("s0", n), {1: "m1"}) for n in range(2)], behave)
    metrics, admission = Metrics(), FairShareAdmission(concurrent)
    searcher = Searcher(table, lambda: config, UnhedgedPolicy(), metrics=metrics, rng=random.Random(1))
    return (
        QueryPipeline(lambda: config, admission, searcher, metrics, check_serving=check_serving),
        metrics,
        admission,
        table,
    )


def changed(asked, **changes):
    names = SearchRequest.__dataclass_fields__
    return SearchRequest(**{name: getattr(asked, name) for name in names} | changes)


@pytest.mark.parametrize(
    ("changes", "kind", "field", "labels"),
    [
        ({"service": "other"}, RefusalKind.UNKNOWN_SERVICE, "service", ("unknown", "unknown")),
        ({"class_name": "other"}, RefusalKind.UNKNOWN_CLASS, "class", (SERVICE, "unknown")),
        ({"route": "other"}, RefusalKind.UNKNOWN_ROUTE, "route", (SERVICE, "default")),
        ({"deadline_s": -1.0}, RefusalKind.DEADLINE, "deadline_ms", (SERVICE, "default")),
    ],
)
@pytest.mark.anyio
async def test_requests_outside_the_configuration_are_refused(changes, kind, field, labels):
    """Guards against unknown names that reach upstreams, or that create metric labels."""
    path, metrics, admission, table = path_for(lambda r, s: (0.01, reply(r, s)))
    outcome = await path.search(changed(request(), **changes))
    assert (outcome.kind, outcome.execution, outcome.field) == (kind, Execution.NOT_RUN, field)
    assert (table.sent, admission.load) == ([], 0)
    name = "hawthornbridge_refusals_total"
    wanted = {"service": labels[0], "class": labels[1], "kind": kind.value}
    assert metrics.registry.get_sample_value(name, wanted) == 1


@pytest.mark.anyio
async def test_work_that_waited_is_refused_if_the_host_may_not_take_it_any_more():
    """Guards against work sent on a stale configuration after a wait in the queue."""
    state = {"refusal": None}
    path, _, admission, table = path_for(
        lambda r, s: (0.05, reply(r, s)), check_serving=lambda: state["refusal"], concurrent=1
    )
    outcomes = []

    async def ask():
        outcomes.append(await path.search(request(1.0)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(0.01)
        tasks.start_soon(ask)
        await anyio.sleep(0.01)
        state["refusal"] = STALE
    assert outcomes[0].coverage.ratio == 1.0
    assert outcomes[1] == STALE
    assert (len(table.sent), admission.load) == (1, 0)


@pytest.mark.anyio
async def test_sheds_lower_the_concurrency_and_count_as_extra_load():
    """Guards against an adaptive limit that sheds do not reach."""
    calls = iter([refusal("shed")])
    path, metrics, admission, _ = path_for(lambda r, s: (0.01, next(calls, None) or reply(r, s)))
    before = admission.limit
    answer = await path.search(request())
    assert (answer.coverage.ratio, answer.extra, answer.sheds) == (1.0, 1, 1)
    assert admission.limit < before
    labels = {"service": SERVICE, "class": "default"}
    assert metrics.registry.get_sample_value("hawthornbridge_extra_load_ratio_sum", labels) == 1.0
    assert metrics.registry.get_sample_value("hawthornbridge_coverage_ratio_sum", labels) == 1.0


@pytest.mark.parametrize(
    ("path", "ready", "status"),
    [
        ("/healthz", False, 200),
        ("/readyz", True, 200),
        ("/readyz", False, 503),
        ("/metrics", True, 200),
        ("/x", 1, 404),
    ],
)
@pytest.mark.anyio
async def test_probes_tell_health_and_readiness_apart(path, ready, status):
    """Guards against a stopping host that is taken for a broken one, or for a ready one."""
    sent = []

    async def send(message):
        sent.append(message)

    await ProbeApp(Metrics(), lambda: ready)({"method": "GET", "path": path}, None, send)
    assert sent[0]["status"] == status
    assert path != "/metrics" or b"hawthornbridge_latency_seconds" in sent[1]["body"]


@pytest.mark.parametrize(
    ("retry", "covers_earlier_attempts", "execution"),
    [
        (False, False, Execution.NOT_RUN),
        (True, False, Execution.UNKNOWN),
        (True, True, Execution.NOT_RUN),
    ],
)
@pytest.mark.anyio
async def test_a_repeated_key_is_not_called_not_run_without_a_claim(retry, covers_earlier_attempts, execution):
    """Guards against a caller that repeats an order because a host without the store reported it as not run."""
    config = catalogue({"m1": ("s0",)})

    async def refuse(request):
        return Refusal(
            RefusalKind.STORE_UNAVAILABLE, Execution.NOT_RUN, "down", covers_earlier_attempts=covers_earlier_attempts
        )

    path = QueryPipeline(lambda: config, FairShareAdmission(8), None, Metrics(), refuse)
    asked = ExecuteRequest("r", SERVICE, "lookup", "default", "c", "k", {}, anyio.current_time() + 1, retry)
    outcome = await path.execute(asked)
    assert outcome.execution is execution


@pytest.mark.anyio
async def test_a_repeated_key_refused_before_the_claims_are_read_is_unknown():
    path, *_ = path_for(lambda r, s: (0.01, reply(r, s)), check_serving=lambda: STALE)
    asked = ExecuteRequest("r", SERVICE, "lookup", "default", "c", "k", {}, anyio.current_time() + 1, True)
    assert (await path.execute(asked)).execution is Execution.UNKNOWN


@pytest.mark.parametrize(("late_shards", "lowered"), [(1, False), (10, True)])
@pytest.mark.anyio
async def test_many_late_shards_lower_the_concurrency_limit_and_one_does_not(late_shards, lowered):
    """Guards against overloading upstreams that queue instead of shedding, which made goodput collapse.

    One shard that hangs must not make the host refuse callers.
    """
    names = tuple(f"s{number}" for number in range(20))
    config = catalogue({"m1": names})
    late = set(names[:late_shards])
    table = FakeTable(
        [FakeReplica(upstream(name, n), {1: "m1"}) for name in names for n in range(2)],
        lambda r, s: (9.0 if s.shard in late else 0.01, reply(r, s)),
    )
    admission = FairShareAdmission(64)
    searcher = Searcher(table, lambda: config, UnhedgedPolicy(), rng=random.Random(1))
    path = QueryPipeline(lambda: config, admission, searcher, Metrics())
    before = admission.limit
    for _ in range(3):
        await path.search(request(0.1))
    assert (admission.limit < before) is lowered
