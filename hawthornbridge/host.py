"""Assembly of the components of one host, without its listeners."""

import random
import time

import anyio
from anyio.abc import TaskGroup

from hawthornbridge.addresses import MemberView, choose_addresses
from hawthornbridge.claims import Claims
from hawthornbridge.control import ControlPlane
from hawthornbridge.decider import Decider
from hawthornbridge.domains import DomainMoves
from hawthornbridge.evidence import RolloutEvidence
from hawthornbridge.executions import Executions
from hawthornbridge.ids import Incarnation, ServiceName
from hawthornbridge.loads import Loads
from hawthornbridge.membership import HostIdentity
from hawthornbridge.messages import Evidence
from hawthornbridge.metrics import Metrics
from hawthornbridge.model import Catalogue
from hawthornbridge.notices import AllowanceExchange
from hawthornbridge.operators import OperationsService
from hawthornbridge.outcomes import Execution, Refusal, RefusalKind
from hawthornbridge.peers import PynngLinks
from hawthornbridge.queries import QueryPipeline
from hawthornbridge.registry import PluginKind, lookup
from hawthornbridge.requests import ExecuteAnswer, ExecuteRequest, SearchAnswer, SearchRequest
from hawthornbridge.rollouts import Rollouts
from hawthornbridge.search import Searcher
from hawthornbridge.settings import Settings
from hawthornbridge.storelimits import CircuitState, LimitedStore
from hawthornbridge.upstreams import UpstreamTable
from hawthornbridge.warmup import WarmUp

__all__ = ["Host"]

# Reserves a share of the store call rate for the configuration, so that claims of orders never delay it.
CONTROL_RATE_SHARE = 0.4
SWEEP_INTERVAL_S = 60.0
SWEEPING_HOSTS = 2


class Host:
    """Create and run the components of one host, and answer callers."""

    def __init__(self, settings: Settings, tasks: TaskGroup) -> None:
        self._settings = settings
        self._tasks = tasks
        self._random = random.Random()
        self.leaving = False
        self.metrics = Metrics()
        plugins, limits, host = settings.plugins, settings.limits, settings.host
        incarnation = Incarnation(time.time_ns())
        store = lookup(PluginKind.PLATFORM_STORE, plugins.platform_store)(settings.platform.store)
        control_rate = settings.platform.store_calls_per_s * CONTROL_RATE_SHARE
        control_store = LimitedStore(store, control_rate)
        claims_store = LimitedStore(store, settings.platform.store_calls_per_s - control_rate)
        identity = HostIdentity(
            host=host.id,
            incarnation=incarnation,
            seat=host.seat,
            seats=host.seats,
            address=settings.listeners.peers,
            caller_address=settings.listeners.callers,
            domain=host.failure_domain,
            region=host.region,
        )
        host_list = lookup(PluginKind.MEMBERSHIP_SOURCE, plugins.membership_source)(settings.platform.host_list)
        self._links = PynngLinks(settings.listeners.peers)
        self._control = ControlPlane(
            identity, settings.tokens.peers, self._links, control_store, settings.peers, host_list
        )
        ramp = lookup(PluginKind.RAMP, plugins.ramp)(host.seat, host.seats)
        self._table = UpstreamTable(
            lookup(PluginKind.UPSTREAM_PROTOCOL, plugins.upstream_protocol)(),
            lookup(PluginKind.REPLICA_CHOICE, plugins.replica_choice),
            host.seats,
            ramp,
        )
        self._allowances = AllowanceExchange(ramp, self._table, self._control.membership, self._control.peers)
        self._rollouts = Rollouts(self._catalogue, self._publish_evidence, host.id, incarnation, host.seats)
        self._searcher = Searcher(
            self._table,
            self._catalogue,
            lookup(PluginKind.HEDGING, plugins.hedging)(limits.hedge_share, limits.retry_share),
            new_version_share=self._rollouts.new_version_share,
            record=self._rollouts.record,
            metrics=self.metrics,
        )
        self._claims = Claims(claims_store, host.id, tasks, time.time)
        self._executions = Executions(self._claims, self._table, self._catalogue, tasks, time.time)
        self._admission = lookup(PluginKind.ADMISSION, plugins.admission)(limits.concurrent_queries)
        self._queries = QueryPipeline(
            self._catalogue,
            self._admission,
            self._searcher,
            self.metrics,
            self._executions.execute,
            self._check_serving,
        )
        self._loads = loads = Loads(self._catalogue, self._table, self._control.membership)
        configuration = self._control.configuration
        self._moves = DomainMoves(configuration, loads, host.id)
        self._decider = Decider(control_store, configuration, self._rollouts, host.id, incarnation, _now_ms)
        self.operations = OperationsService(configuration, self._moves, loads, cut=self._rollouts.cut_by_operator)
        self._warm_up = WarmUp(self._table, self._catalogue, self.metrics)
        self._connect_parts()
        self._add_gauges((control_store, claims_store))

    @property
    def idle(self) -> bool:
        """Return whether every execution has ended and its outcome has been recorded."""
        return self._executions.idle

    def ready(self) -> bool:
        """Return whether this host is ready for requests of callers."""
        return not self.leaving and self._check_serving() is None

    async def run(self) -> None:
        """Run the tasks of every component until cancelled."""
        parts = (
            self._control.run,
            self._rollouts.run,
            self._decider.run,
            self._moves.run,
            self._loads.run,
            self._warm_up.run,
            self._allowances.run,
            self._sweep_claims,
        )
        try:
            async with anyio.create_task_group() as tasks:
                for part in parts:
                    tasks.start_soon(part)
        finally:
            self._links.close()

    def leave(self) -> None:
        """Announce to the other hosts that this one leaves, so that they no longer return its address to callers."""
        self.leaving = True
        self._control.membership.leaving = True
        self._control.membership.send_heartbeat()

    async def search(self, request: SearchRequest) -> SearchAnswer | Refusal:
        """Answer a search."""
        outcome = await self._queries.search(request)
        if isinstance(outcome, SearchAnswer):
            self._warm_up.remember_search(request)
        return outcome

    async def execute(self, request: ExecuteRequest) -> ExecuteAnswer | Refusal:
        """Run a non-idempotent request at most once."""
        return await self._queries.execute(request)

    def deadline_ms(self, service: ServiceName) -> int:
        """Return the default deadline of requests to a service."""
        return self._queries.deadline_ms(service)

    def addresses(self) -> list[str]:
        """Return the entry addresses that callers should use."""
        host, now_s = self._settings.host, anyio.current_time()
        membership = self._control.membership
        leaving = {member.heartbeat.host for member in membership.leaving_members}
        views = [
            MemberView(
                member.heartbeat.caller_address,
                member.heartbeat.domain,
                member.heartbeat.host in leaving,
                member.heartbeat.load,
                now_s - member.received_s,
            )
            for member in membership.live
        ]
        if not self.leaving:
            # Callers may use an address while the answer is valid, which would be beyond the stop of a leaving host.
            own = self._settings.listeners.callers
            views.append(MemberView(own, host.failure_domain, False, self._admission.load, 0.0))
        return choose_addresses(views, self._random)

    def _connect_parts(self) -> None:
        peers, membership = self._control.peers, self._control.membership
        peers.subscribe(Evidence, lambda message: self._rollouts.on_evidence(message.evidence))
        membership.load = lambda: self._admission.load
        self._control.configuration.add_listener(lambda catalogue: self._table.apply(catalogue, self._tasks))

    def _add_gauges(self, stores: tuple[LimitedStore, LimitedStore]) -> None:
        membership, peers, add = self._control.membership, self._control.peers, self.metrics.gauge
        add("serving", "1 if this host takes new work", lambda: float(self._check_serving() is None))
        add("generation", "Generation of the configuration", lambda: self._control.configuration.generation)
        add("heard_seats", "Seats heard in both directions, this one included", lambda: membership.heard_seats)
        add("seat_conflict", "1 if a later host has this host's seat", lambda: membership.seat_conflict is not None)
        add("cold_upstreams", "Upstreams in their ramp that may get work now", lambda: len(self._table.cold()))
        add("load_ratio", "Share of the host's query slots in use", lambda: self._admission.load)
        add("control_sent_bytes", "Bytes sent to other hosts", lambda: peers.sent_bytes)
        add("control_received_bytes", "Bytes received from other hosts", lambda: peers.received_bytes)
        add("control_rejected", "Messages without a valid digest, or malformed", lambda: peers.rejected)
        add(
            "store_circuits_open",
            "Circuit breakers to the store that are not closed, of 2",
            lambda: sum(store.state is not CircuitState.CLOSED for store in stores),
        )

    def _catalogue(self) -> Catalogue:
        return self._control.configuration.catalogue

    def _check_serving(self) -> Refusal | None:
        state = self._control.configuration.may_serve()
        if state.serves:
            return None
        return Refusal(RefusalKind.STALE_CONFIGURATION, Execution.NOT_RUN, type(state).__name__)

    def _publish_evidence(self, evidence: RolloutEvidence) -> None:
        self._control.peers.publish(Evidence(evidence))

    async def _sweep_claims(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S * self._random.uniform(0.5, 1.5))
            if not self._control.membership.is_among_first(SWEEPING_HOSTS, "sweepers"):
                continue
            for service in self._catalogue().services.values():
                if any(not route.idempotent for route in service.routes):
                    await self._claims.sweep(service.name)


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
