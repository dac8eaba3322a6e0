"""Processing of one request: checks, admission, execution and metrics."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, TypeVar

import anyio

from hawthornbridge.admission import AdmissionPolicy, Demand, Ticket
from hawthornbridge.ids import ServiceName
from hawthornbridge.metrics import Metrics
from hawthornbridge.model import Catalogue
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.requests import ExecuteAnswer, ExecuteRequest, SearchAnswer, SearchRequest
from hawthornbridge.search import Searcher

__all__ = ["QueryPipeline"]

# Default deadline of requests to unknown services; such requests are refused.
UNKNOWN_SERVICE_DEADLINE_MS = 1_000
# Metric label for services and classes that are not configured, so that callers cannot create labels.
UNKNOWN_LABEL = "unknown"

Executor = Callable[[ExecuteRequest], Awaitable[ExecuteAnswer | Refusal]]
ServingCheck = Callable[[], Refusal | None]
AnswerT = TypeVar("AnswerT", SearchAnswer, ExecuteAnswer)


class QueryPipeline:
    """Check and admit requests, pass them to the searcher or the executor, and record metrics."""

    def __init__(
        self,
        catalogue: Callable[[], Catalogue],
        admission: AdmissionPolicy,
        searcher: Searcher[Any],
        metrics: Metrics,
        executor: Executor | None = None,
        check_serving: ServingCheck | None = None,
    ) -> None:
        """Set up; check_serving returns the refusal for new work while the host may not take any, else None."""
        self._catalogue = catalogue
        self._admission = admission
        self._searcher = searcher
        self._metrics = metrics
        self._executor = executor or _no_store
        self._check_serving = check_serving or _always_serving

    def deadline_ms(self, service: ServiceName) -> int:
        """Return the default deadline of requests to a service."""
        found = self._catalogue().services.get(service)
        return found.deadline_ms if found is not None else UNKNOWN_SERVICE_DEADLINE_MS

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Answer a search, or refuse it."""
        outcome = await self._run_admitted(request, self._searcher.search)
        if isinstance(outcome, SearchAnswer):
            labels = (request.service, request.class_name)
            self._metrics.coverage.labels(*labels).observe(outcome.coverage.ratio)
            self._metrics.extra.labels(*labels).observe(outcome.extra / max(1, outcome.coverage.total))
        return outcome

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Run a non-idempotent request, or refuse it."""
        outcome = await self._run_admitted(request, self._executor)
        if isinstance(outcome, Refusal) and request.retry and not outcome.covers_earlier_attempts:
            # This attempt did not run, but without a claim it is unknown whether earlier attempts ran.
            return _with_unknown_execution(outcome)
        return outcome

    async def _run_admitted(
        self, request: Any, work: Callable[[Any], Awaitable[AnswerT | Refusal]]
    ) -> AnswerT | Refusal:
        started_s = anyio.current_time()
        demand = self._check(request)
        if isinstance(demand, Refusal):
            return self._refused(request, demand)
        ticket = await self._admission.enter(demand)
        if isinstance(ticket, Refusal):
            return self._refused(request, ticket)
        labels = (request.service, request.class_name)
        self._metrics.queue_s.labels(*labels).observe(ticket.queued_s)
        outcome = await self._work(request, work, ticket)
        if isinstance(outcome, Refusal):
            return self._refused(request, outcome)
        self._metrics.latency_s.labels(*labels).observe(anyio.current_time() - started_s)
        return outcome

    async def _work(
        self, request: Any, work: Callable[[Any], Awaitable[AnswerT | Refusal]], ticket: Ticket
    ) -> AnswerT | Refusal:
        overloaded = False
        try:
            # The configuration may have become stale while the request waited.
            outcome: AnswerT | Refusal = self._check_serving() or await work(request)
            overloaded = isinstance(outcome, SearchAnswer) and outcome.overloaded
            return outcome
        finally:
            self._admission.leave(ticket, overloaded=overloaded)

    def _check(self, request: Any) -> Demand | Refusal:
        closed = self._check_serving()
        if closed is not None:
            return closed
        service = self._catalogue().services.get(request.service)
        if service is None:
            return Refusal(RefusalKind.UNKNOWN_SERVICE, Execution.NOT_RUN, "no such service", "service")
        limits = service.limits(request.class_name)
        if limits is None:
            return Refusal(RefusalKind.UNKNOWN_CLASS, Execution.NOT_RUN, "no such class", "class")
        return Demand(service.name, limits, request.caller, request.deadline_s)

    def _refused(self, request: Any, refusal: Refusal) -> Refusal:
        service = self._catalogue().services.get(request.service)
        known = service is not None and service.limits(request.class_name) is not None
        labels = (
            request.service if service is not None else UNKNOWN_LABEL,
            request.class_name if known else UNKNOWN_LABEL,
            refusal.kind.value,
        )
        self._metrics.refusals.labels(*labels).inc()
        return refusal


async def _no_store(request: ExecuteRequest) -> Refusal:
    return Refusal(RefusalKind.STORE_UNAVAILABLE, Execution.NOT_RUN, "no store")


def _always_serving() -> None:
    return None


def _with_unknown_execution(refusal: Refusal) -> Refusal:
    if refusal.execution is not Execution.NOT_RUN:
        return refusal
    return replace(refusal, execution=Execution.UNKNOWN)
