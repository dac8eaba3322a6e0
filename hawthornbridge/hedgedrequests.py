"""Request to one service with retries and hedges; the first successful reply is used."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from hawthornbridge.answers import Denied, Refused
from hawthornbridge.headernames import HeaderNames
from hawthornbridge.httpconnection import Outcome, Reply
from hawthornbridge.ids import RouteName, ServiceName, TeamName
from hawthornbridge.keyvalidity import KeyPermit
from hawthornbridge.latencies import LatencyWindow
from hawthornbridge.leafadmission import LeafAdmission
from hawthornbridge.leafclient import Exchange, ExchangeStatus, LeafClient
from hawthornbridge.leaves import Leaf, LeafTable
from hawthornbridge.retrybudget import Purpose, RetryBudget
from hawthornbridge.runmarks import RunMark
from hawthornbridge.versionsplit import VersionRule

__all__ = ["ForwardedRequest", "GatewayContext", "HedgedRequest"]

# Bounds of the hedge delay as quantiles of recent latencies. An earlier hedge spends budget on requests whose replies
# are about to arrive; a later hedge no longer shortens the tail.
MIN_HEDGE_QUANTILE = 0.85
MAX_HEDGE_QUANTILE = 0.97
MEDIAN_QUANTILE = 0.5
MIN_HEDGE_DELAY_S = 0.008
# Bounds of the hedge delay as shares of the latency objective. The target leaves the second leaf about twice the time
# it needs to answer within the objective, the maximum leaves it that time once.
TARGET_HEDGE_DELAY_SHARE = 0.25
MAX_HEDGE_DELAY_SHARE = 0.45
# Delay before the next attempt when no leaf of the service can take a request; doubles up to the maximum.
BASE_RETRY_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 0.1
# A refused request has not run, so refusals have a limit of their own instead of counting as attempts. Sending the
# request again after a refusal still takes from the retry budget.
MAX_REFUSALS = 3
MIN_SEND_TIME_S = 0.002
# Upper bound of the random delay after which requests that waited for a leaf ask it again.
MAX_RETURN_DELAY_S = 0.1


@dataclass(slots=True, eq=False)
class ForwardedRequest:
    """Request of a caller as it is forwarded to leaves; deadline_s is on the clock of anyio.current_time."""

    request_id: bytes
    route: RouteName
    head: bytes
    body: bytes
    idempotent: bool
    max_leaves: int
    objective_s: float
    deadline_s: float
    # Remaining time that the caller states, which may be longer than the route's timeout.
    stated_left_s: float
    # Shared by all exchanges of a request with a team.
    run_mark: RunMark | None = field(default=None, init=False)
    # Time that the request waited for room at leaves.
    queued_s: float = field(default=0.0, init=False)
    # The team whose key the caller sent; None on routes and platforms without keys.
    team: TeamName | None = None
    # Checked again before each send; None where no key is needed.
    permit: KeyPermit | None = None
    # Rank of the request, where 0 is the most urgent: that of its team, or else of its route.
    priority: int = 0

    def refuse(self) -> Refused | Denied | None:
        """Return why the request may not be sent to a leaf now, or None if it may."""
        return None if self.permit is None else self.permit.check()

    def render(self, leaf: Leaf, now_s: float, names: HeaderNames) -> bytes:
        """Return the bytes sent to a leaf, including the remaining time as a header."""
        left_ms = max(1, int((self.deadline_s - now_s) * 1_000))
        own = b"%s: %d\r\n%s: %s\r\n\r\n" % (names.deadline_ms, left_ms, names.expected_leaf, leaf.entry.id.encode())
        return self.head + own + self.body

    def __post_init__(self) -> None:
        """Create the mark of a request with a team."""
        if self.team is not None:
            self.run_mark = RunMark(self.team)


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """Objects that all forwarded requests of a host share."""

    names: HeaderNames
    table: LeafTable
    client: LeafClient
    budget: RetryBudget
    clock: Callable[[], float]
    version_rule: Callable[[ServiceName], VersionRule | None] = lambda service: None
    # None where every request is sent at once.
    admission: LeafAdmission | None = None


class HedgedRequest:
    """Sends one request to leaves of a service until one replies successfully or no further attempt is allowed."""

    def __init__(
        self,
        context: GatewayContext,
        forwarded: ForwardedRequest,
        service: ServiceName,
        window: LatencyWindow,
        on_change: Callable[["HedgedRequest"], None],
        wait_until_s: float,
    ) -> None:
        """Create a request that waits for leaves that want no requests until wait_until_s at most."""
        self.service = service
        self.reply: Reply | None = None
        self.failure: Reply | None = None
        self.is_over = False
        self.may_have_run = False
        self.due_s = inf
        # When the first leaf of the service may be asked, if the request did not wait for it; inf if there is none.
        self.available_s = -inf
        # Why the request was no longer sent, although a leaf could have been asked.
        self.withheld: Refused | Denied | None = None
        self.exchanges: list[Exchange] = []
        self.failed_attempts: list[tuple[str, str]] = []
        self.ended_s = inf
        self._context = context
        self._forwarded = forwarded
        self._window = window
        self._on_change = on_change
        self._wait_until_s = wait_until_s
        self._rule: VersionRule | None = None
        self._tried: list[Leaf] = []
        self._running = 0
        self._attempts = 0
        self._refusals = 0
        self._retry_delay_s = BASE_RETRY_DELAY_S

    @property
    def was_sent(self) -> bool:
        """Return whether the request was sent to any leaf."""
        return any(exchange.sent for exchange in self.exchanges)

    def describe(self, started_s: float) -> str:
        """Return the service and the leaf, start and end of each exchange, in ms after started_s, for the log."""
        parts = []
        for exchange in self.exchanges:
            end = "" if exchange.ended_s == inf else f"{(exchange.ended_s - started_s) * 1_000:.0f}"
            parts.append(f"{exchange.leaf.entry.id}@{(exchange.started_s - started_s) * 1_000:.0f}-{end}")
        return " ".join([self.service, *parts])

    def start(self) -> None:
        """Send the first request."""
        self._context.budget.record_request(self.service)
        self._rule = self._context.version_rule(self.service)
        self._attempt()

    def run_due(self, now_s: float) -> None:
        """Send a hedge or make another attempt, if its time has come."""
        if self.is_over or now_s < self.due_s:
            return
        self.due_s = inf
        if not self._running:
            self._attempt()
        elif self._attempts < self._forwarded.max_leaves:
            self._hedge(now_s)

    def stop(self) -> None:
        """Abandon the exchanges in flight and make no further attempt."""
        self.is_over = True
        self.ended_s = min(self.ended_s, self._context.clock())
        for exchange in self.exchanges:
            if not exchange.is_over:
                self._context.client.abandon(exchange)

    def _hedge(self, now_s: float) -> None:
        if self._forwarded.refuse() is not None:
            return
        if self._yields():
            self.due_s = now_s + self._next_retry_delay_s()
            return
        leaf = self._context.table.choose(self.service, self._tried, self._rule)
        if leaf is None or leaf.is_suspect(now_s) or not self._context.budget.take(self.service, Purpose.HEDGE):
            self.due_s = now_s + self._next_retry_delay_s()
            return
        self._send(leaf)

    def _attempt(self) -> None:
        context, now_s = self._context, self._context.clock()
        if self._forwarded.deadline_s - now_s < MIN_SEND_TIME_S:
            self._end()
            return
        self.withheld = self._forwarded.refuse()
        if self.withheld is not None:
            self._end()
            return
        # After a refusal a retry is no extra work, because the request has not run.
        if self.may_have_run and self._yields():
            self.due_s = now_s + self._next_retry_delay_s()
            return
        leaf = context.table.choose(self.service, self._tried, self._rule)
        if leaf is None and self._rule is not None and self._rule.is_trial:
            self._rule = self._rule.after_trial()
            leaf = context.table.choose(self.service, self._tried, self._rule)
        if leaf is None:
            available_s = context.table.available_s(self.service, now_s, self._rule)
            if available_s > max(now_s, self._wait_until_s):
                self.available_s = available_s
                self._end()
                return
            if available_s > now_s:
                self._tried.clear()
                self.due_s = available_s + random.uniform(0.0, MAX_RETURN_DELAY_S)
                return
            # Every leaf has been tried or has no free connection. Leaves that refused the request may be tried again.
            self._tried.clear()
            self.due_s = now_s + self._next_retry_delay_s()
            return
        if self.was_sent and not context.budget.take(self.service, Purpose.RETRY):
            self._end()
            return
        self._send(leaf)

    def _send(self, leaf: Leaf) -> None:
        now_s = self._context.clock()
        forwarded = self._forwarded
        self._tried.append(leaf)
        if self._rule is not None:
            self._rule = self._rule.after_trial()
        self._attempts += 1
        self._running += 1
        suspect = leaf.is_suspect(now_s) or leaf.is_reported_stalled(now_s)
        exchange = Exchange(
            leaf,
            lambda sent_s: forwarded.render(leaf, sent_s, self._context.names),
            forwarded.request_id,
            forwarded.route,
            self._on_done,
            now_s,
            self._window.quantile_s(MEDIAN_QUANTILE),
            run_mark=forwarded.run_mark,
            idempotent=forwarded.idempotent,
            deadline_s=forwarded.deadline_s,
            permit=forwarded.permit,
            used_connections=[each.connection for each in self.exchanges if each.connection is not None],
        )
        self.exchanges.append(exchange)
        if forwarded.idempotent and self._attempts < forwarded.max_leaves:
            self.due_s = now_s + self._hedge_delay_s(suspect)
        self._context.client.start(exchange)

    def _yields(self) -> bool:
        """Return whether first requests at least as urgent wait for the room that a hedge or a retry would take."""
        admission = self._context.admission
        return admission is not None and admission.yields(self.service, self._forwarded.priority)

    def _hedge_delay_s(self, suspect: bool) -> float:
        quantile_s, objective_s = self._window.quantile_s, self._forwarded.objective_s
        if suspect:
            delay_s = quantile_s(MEDIAN_QUANTILE)
        else:
            latest_s = min(quantile_s(MAX_HEDGE_QUANTILE), objective_s * TARGET_HEDGE_DELAY_SHARE)
            delay_s = max(quantile_s(MIN_HEDGE_QUANTILE), latest_s)
        return max(MIN_HEDGE_DELAY_S, min(delay_s, objective_s * MAX_HEDGE_DELAY_SHARE))

    def _on_done(self, exchange: Exchange, outcome: Outcome) -> None:
        self._running -= 1
        status = exchange.status
        admission = self._context.admission
        if admission is not None:
            if status is ExchangeStatus.REFUSED:
                admission.record_full(exchange.leaf, exchange.median_latency_s)
            admission.on_room(self.service)
        if status is ExchangeStatus.SUCCESS:
            assert isinstance(outcome, Reply)
            self._window.add(self._context.clock() - exchange.started_s)
            self.reply = outcome
            self.may_have_run = True
            self.stop()
            self._on_change(self)
            return
        self.failed_attempts.append((exchange.leaf.entry.id, status.value))
        self.may_have_run = self.may_have_run or status.may_have_run
        if status is ExchangeStatus.FAILED:
            assert isinstance(outcome, Reply)
            self.failure = outcome
        if self.is_over:
            return
        if not status.may_have_run:
            self._attempts -= 1
            self._refusals += status is not ExchangeStatus.NOT_SENT
        if self._may_try_again(status):
            self._attempt()
            if not self.is_over:
                self._on_change(self)
        elif not self._running:
            self._end()

    def _may_try_again(self, status: ExchangeStatus) -> bool:
        if status.may_have_run and not self._forwarded.idempotent:
            return False
        if self._running and self._attempts >= self._forwarded.max_leaves:
            return False
        return self._attempts < self._forwarded.max_leaves and self._refusals < MAX_REFUSALS

    def _end(self) -> None:
        if self._running:
            return
        self.is_over = True
        self.ended_s = self._context.clock()
        self._on_change(self)

    def _next_retry_delay_s(self) -> float:
        delay_s, self._retry_delay_s = self._retry_delay_s, min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)
        return delay_s
