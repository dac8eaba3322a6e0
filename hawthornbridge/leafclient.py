"""HTTP client for leaves, with persistent connections."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from math import inf

from anyio.abc import TaskGroup

from hawthornbridge.events import Event, emit
from hawthornbridge.headernames import HeaderNames
from hawthornbridge.httpconnection import HttpConnection, Outcome, Reply, connect
from hawthornbridge.ids import RouteName
from hawthornbridge.keyvalidity import KeyPermit
from hawthornbridge.leafnotices import LEAVING_VALUE, Exclusion, parse_retry_after_s
from hawthornbridge.leaves import InFlightRequest, Leaf
from hawthornbridge.outcomes import Execution
from hawthornbridge.replymemory import REPLY_LIMITS, ReplyMemory
from hawthornbridge.runmarks import RunMark
from hawthornbridge.subrequests import FailureKind, UpstreamFailure
from hawthornbridge.supervision import contain

__all__ = ["Exchange", "ExchangeStatus", "LeafClient", "classify_outcome"]

CONNECT_TIMEOUT_S = 0.6
# A leaf may close an idle connection just as a request is sent, and the request may then have run. Non-idempotent
# requests therefore only reuse a connection on which a reply has just arrived.
NON_IDEMPOTENT_MAX_IDLE_S = 0.2
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503


class ExchangeStatus(Enum):
    """Result of an exchange with a leaf, by what it says about whether the request ran."""

    SUCCESS = "success"
    # The leaf rejected the request without running it.
    REFUSED = "refused"
    # Another leaf now has the address; the request has not run.
    WRONG_LEAF = "wrong_leaf"
    # The request was not sent.
    NOT_SENT = "not_sent"
    # The leaf replied with an error status.
    FAILED = "failed"
    # No complete or valid reply arrived; the request may have run.
    UNKNOWN = "unknown"

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have run."""
        return self in (ExchangeStatus.SUCCESS, ExchangeStatus.FAILED, ExchangeStatus.UNKNOWN)


def classify_outcome(outcome: Outcome, names: HeaderNames) -> ExchangeStatus:
    """Return the status of an exchange with this outcome."""
    match outcome:
        case UpstreamFailure(execution=Execution.NOT_RUN):
            return ExchangeStatus.NOT_SENT
        case UpstreamFailure():
            return ExchangeStatus.UNKNOWN
        case Reply(status=status) if status == STATUS_MISDIRECTED:
            return ExchangeStatus.WRONG_LEAF
        case Reply(status=status) if 200 <= status < 300:
            return ExchangeStatus.SUCCESS if outcome.header(names.stamp) is not None else ExchangeStatus.UNKNOWN
        case _ if outcome.header(names.not_run) is not None:
            return ExchangeStatus.REFUSED
    return ExchangeStatus.FAILED


@dataclass(eq=False, slots=True)
class Exchange:
    """One request to one leaf; on_done is called once, unless the exchange has been abandoned before.

    render returns the bytes of the request for the time at which they are sent.
    """

    leaf: Leaf
    render: Callable[[float], bytes]
    request_id: bytes
    route: RouteName
    on_done: Callable[["Exchange", Outcome], None]
    started_s: float
    median_latency_s: float
    idempotent: bool = True
    deadline_s: float = inf
    # Permit of the caller's key; None where no key is needed.
    permit: KeyPermit | None = None
    # Connections that have carried this request id. A late copy of an earlier reply to the same id cannot be told from
    # the reply to this exchange, so none of them is used again for it.
    used_connections: Collection[HttpConnection] = ()
    run_mark: RunMark | None = None
    sent: bool = False
    connection: HttpConnection | None = None
    abandoned: bool = field(default=False, init=False)
    sent_s: float = field(default=inf, init=False)
    ended_s: float = field(default=inf, init=False)
    # Set before on_done is called.
    status: ExchangeStatus = field(default=ExchangeStatus.UNKNOWN, init=False)

    @property
    def is_over(self) -> bool:
        """Return whether the exchange has ended, with or without a reply."""
        return self.ended_s != inf


class LeafClient:
    """Sends requests to leaves and records the results in the leaf table."""

    def __init__(
        self,
        names: HeaderNames,
        tasks: TaskGroup,
        clock: Callable[[], float],
        on_classified: Callable[[Exchange, ExchangeStatus], None] = lambda exchange, status: None,
    ) -> None:
        self._names = names
        self._on_classified = on_classified
        self._tasks = tasks
        self._clock = clock
        self._memory = ReplyMemory()
        self.opened = 0
        self.stalled = 0
        self.sent = 0

    def start(self, exchange: Exchange) -> None:
        """Send a request over an idle connection, or over a new one."""
        leaf = exchange.leaf
        leaf.in_flight[exchange] = InFlightRequest(exchange.started_s, exchange.median_latency_s)
        connection = self._take_idle(leaf, exchange)
        if connection is not None:
            self._send(exchange, connection)
            return
        leaf.connections += 1
        self._tasks.start_soon(contain, "request to a leaf", partial(self._connect_and_send, exchange))

    def abandon(self, exchange: Exchange) -> None:
        """Stop reporting an exchange; its connection stays in use until the reply has arrived."""
        exchange.abandoned = True
        # Both keep the body of the request, and its caller may have left long before a slow leaf answers.
        exchange.render, exchange.on_done = _render_nothing, _ignore_outcome

    def cancel(self, exchange: Exchange) -> None:
        """Abandon an exchange and close its connection, which tells the leaf to stop working on the request.

        A leaf that took much longer than the median latency counts as unreachable.
        """
        exchange.abandoned = True
        if not exchange.is_over and exchange.connection is not None:
            exchange.connection.close()

    def _take_idle(self, leaf: Leaf, exchange: Exchange) -> HttpConnection | None:
        now_s = self._clock()
        for connection in reversed(tuple(leaf.idle)):
            if not connection.is_usable(now_s):
                leaf.idle.remove(connection)
                connection.close()
                continue
            if connection in exchange.used_connections:
                continue
            if not exchange.idempotent and now_s - connection.idle_since_s > NON_IDEMPOTENT_MAX_IDLE_S:
                return None
            leaf.idle.remove(connection)
            return connection
        if leaf.idle:
            # The new connection takes the place of one, so that the leaf's limit on connections holds.
            leaf.idle.pop().close()
        return None

    async def _connect_and_send(self, exchange: Exchange) -> None:
        leaf = exchange.leaf
        connection = await connect(
            leaf.entry.address, CONNECT_TIMEOUT_S, self._names.request_id, REPLY_LIMITS, self._memory
        )
        if isinstance(connection, UpstreamFailure):
            leaf.connections -= 1
            leaf.record_unreachable(self._clock())
            emit(Event.LEAF_UNREACHABLE, leaf=leaf.entry.id, service=leaf.entry.service, detail=connection.detail)
            self._finish(exchange, connection)
            return
        self.opened += 1

        def closed(connection: HttpConnection) -> None:
            leaf.connections -= 1
            if connection in leaf.idle:
                leaf.idle.remove(connection)

        connection.on_closed = closed
        # The leaf may have said that it leaves, or wants no requests, while the connection was opened.
        exclusion = leaf.exclusion(self._clock())
        if exchange.abandoned or exclusion not in (None, Exclusion.RETURNING, Exclusion.DRAINING):
            self._return_to_pool(leaf, connection)
            self._finish(
                exchange,
                UpstreamFailure(
                    FailureKind.LEAVING,
                    Execution.NOT_RUN,
                    "exchange was abandoned, or the leaf may get no request any more, before it was sent",
                ),
            )
            return
        if self._clock() >= exchange.deadline_s:
            # The connection took long, or this process was paused meanwhile.
            self._return_to_pool(leaf, connection)
            detail = "the deadline passed before the request could be sent"
            self._finish(exchange, UpstreamFailure(FailureKind.TIMEOUT, Execution.NOT_RUN, detail))
            return
        if exchange.permit is not None and exchange.permit.check() is not None:
            self._return_to_pool(leaf, connection)
            detail = "the caller's key was withdrawn, or its validity unknown, before the request could be sent"
            self._finish(exchange, UpstreamFailure(FailureKind.LEAVING, Execution.NOT_RUN, detail))
            return
        self._send(exchange, connection)

    def _send(self, exchange: Exchange, connection: HttpConnection) -> None:
        exchange.connection = connection
        exchange.sent = True
        exchange.sent_s = self._clock()
        self.sent += 1
        leaf = exchange.leaf

        def on_done(outcome: Outcome) -> None:
            if not connection.closed:
                self._return_to_pool(leaf, connection)
            self._observe(exchange, outcome)
            self._finish(exchange, outcome)

        connection.send(exchange.render(exchange.sent_s), on_done, exchange.request_id)

    def _return_to_pool(self, leaf: Leaf, connection: HttpConnection) -> None:
        if leaf.usable:
            leaf.idle.append(connection)
        else:
            connection.close()

    def _observe(self, exchange: Exchange, outcome: Outcome) -> None:
        leaf, now_s = exchange.leaf, self._clock()
        latency_s = now_s - exchange.started_s
        status = exchange.status = classify_outcome(outcome, self._names)
        self._on_classified(exchange, status)
        if isinstance(outcome, Reply) and status is not ExchangeStatus.WRONG_LEAF:
            self._record_notices(leaf, outcome, now_s)
        match status:
            case ExchangeStatus.SUCCESS:
                leaf.record_success(latency_s / exchange.median_latency_s, now_s)
            case ExchangeStatus.WRONG_LEAF:
                # The entry of the leaf is outdated: another leaf now has its address.
                leaf.close()
                emit(Event.LEAF_MISDIRECTED, leaf=leaf.entry.id, service=leaf.entry.service)
            case ExchangeStatus.UNKNOWN if _is_stalled(outcome):
                self.stalled += 1
                leaf.record_unreachable(now_s)
                emit(Event.LEAF_STALLED, leaf=leaf.entry.id, service=leaf.entry.service)
            case ExchangeStatus.UNKNOWN if exchange.abandoned and exchange.connection is not None:
                # This host closed the connection because no reply arrived; only a long wait counts against the leaf.
                if latency_s > exchange.median_latency_s * 4:
                    leaf.record_unreachable(now_s)
            case _:
                leaf.record_failure(now_s)

    def _record_notices(self, leaf: Leaf, reply: Reply, now_s: float) -> None:
        """Record what the reply says of the leaf itself."""
        notices, entry = leaf.notices, leaf.entry
        if not notices.is_leaving and reply.header(self._names.leaving) == LEAVING_VALUE:
            notices.is_leaving = True
            emit(Event.LEAF_LEAVING, leaf=entry.id, service=entry.service)
        if reply.status != STATUS_UNAVAILABLE:
            notices.record_reply(now_s)
            return
        wait_s = parse_retry_after_s(reply.header(self._names.retry_after))
        if wait_s and notices.hold(wait_s, now_s, entry.slots):
            emit(Event.LEAF_HELD, leaf=entry.id, service=entry.service, wait_s=wait_s)

    def _finish(self, exchange: Exchange, outcome: Outcome) -> None:
        exchange.leaf.in_flight.pop(exchange, None)
        exchange.ended_s = self._clock()
        if not exchange.sent:
            exchange.status = ExchangeStatus.NOT_SENT
        if not exchange.abandoned:
            exchange.on_done(exchange, outcome)


def _is_stalled(outcome: Outcome) -> bool:
    return isinstance(outcome, UpstreamFailure) and outcome.kind is FailureKind.STALLED


def _render_nothing(_sent_s: float) -> bytes:
    return b""


def _ignore_outcome(_exchange: Exchange, _outcome: Outcome) -> None:
    return
