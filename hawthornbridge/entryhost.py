"""Entry host on a platform: creates the components and runs them until a planned stop is complete."""

import contextlib
import gc
import signal
import time
from collections.abc import Callable, Mapping
from functools import partial
from math import inf
from typing import Protocol

import anyio
import msgspec
from anyio.abc import TaskGroup

from hawthornbridge.admissionmetrics import AdmissionMetrics
from hawthornbridge.callerlimits import CallerBounds, CallerLimits
from hawthornbridge.callers import ASGIApp
from hawthornbridge.clocks import boot_time_s
from hawthornbridge.directory import Directory
from hawthornbridge.entrysettings import EntrySettings
from hawthornbridge.events import Event, emit
from hawthornbridge.firstcopy import FirstCopy, OutdatedReader
from hawthornbridge.gateway import Gateway
from hawthornbridge.gatewaymetrics import GatewayMetrics
from hawthornbridge.headernames import HeaderNames
from hawthornbridge.hedgedrequests import GatewayContext
from hawthornbridge.ids import DomainName
from hawthornbridge.keyvalidity import KeyValidity, max_copy_age_s, refresh_age_s
from hawthornbridge.leafadmission import LeafAdmission
from hawthornbridge.leafclient import Exchange, ExchangeStatus, LeafClient
from hawthornbridge.leafnotices import Exclusion
from hawthornbridge.leafreportexchange import LeafReportExchange
from hawthornbridge.leafroom import RoomEstimator
from hawthornbridge.leaves import COLD_FACTOR, Leaf, LeafTable
from hawthornbridge.listeners import Listener
from hawthornbridge.loopload import LoopLoad
from hawthornbridge.metricspage import MetricsPage
from hawthornbridge.mirror import Mirror
from hawthornbridge.orderedrollouts import OrderedRollouts, RolloutStore
from hawthornbridge.peersnapshots import FollowedStore, PeerSnapshots, SnapshotApp
from hawthornbridge.presence import HostEntry, HostList, Presence
from hawthornbridge.records import (
    DutyHolderRecord,
    DutyStateRecord,
    EvacuationRecord,
    EvidenceRecord,
    HostRecord,
    LeafRecord,
    RolloutOrderRecord,
    RolloutProgressRecord,
    RoutingRecord,
    StoreFormat,
    UnreadableRecord,
)
from hawthornbridge.retrybudget import RetryBudget
from hawthornbridge.settingsreload import SettingsReload
from hawthornbridge.startphases import StartPhase, StartPhases
from hawthornbridge.store import Era, Key
from hawthornbridge.storecopies import WatchableStore
from hawthornbridge.supervision import supervise
from hawthornbridge.usageduty import DutyStore
from hawthornbridge.usagereports import ReportSender, UsageReports

__all__ = ["EntryHost", "PlatformStore"]

ALL_KEYS = Key("")
# Time for which callers may cache an address; some callers use it three times as long. A new lookup costs a caller two
# round trips, which is too much for requests with a short latency objective.
ADDRESS_VALIDITY_S = 5.0
# Shares of the time for a planned stop. New requests are accepted until the first and refused afterwards; at the
# second, requests in progress are answered with what has arrived; at the third, the host exits.
ACCEPT_SHARE = 0.72
FINISH_SHARE = 0.92
EXIT_SHARE = 0.97
# Minimum number of hosts in each failure domain that limits are divided by, also before the store has been read.
MIN_HOSTS_PER_DOMAIN = 2
FREEZE_DELAY_S = 6.0
# A request that takes this many times the median latency of its route counts as slow when versions are compared.
SLOW_FACTOR = 2.5


class PlatformStore(WatchableStore, OutdatedReader, RolloutStore, DutyStore, Protocol):
    """Operations of the platform's store that an entry host uses, with the number of calls of each kind."""

    def call_counts(self) -> Mapping[str, Callable[[], float]]:
        """Return what reads the number of calls of each kind."""


class EntryHost:
    """One entry host with its listeners, gateway, store access and rollouts."""

    def __init__(
        self,
        settings: EntrySettings,
        store: PlatformStore,
        names: HeaderNames,
        store_format: StoreFormat,
        tasks: TaskGroup,
        reload: SettingsReload | None = None,
        report_sender: ReportSender | None = None,
    ) -> None:
        # The clock of the asyncio event loop; a call through anyio.current_time costs much more.
        clock = time.monotonic
        self._settings = settings
        self._clock = clock
        self._phases = StartPhases(clock)
        self._format = store_format
        self._reload = reload
        if reload is not None:
            reload.on_change(self._apply_settings)
        self._leaving = False
        self._draining = False
        self._is_started = False
        own = HostEntry(
            settings.host,
            settings.addresses.callers,
            settings.domain,
            settings.capacity_cores,
            peer_address=settings.addresses.peers,
            started_ms=time.time_ns() // 1_000_000,
        )
        self.hosts = HostList(own, settings.domains * MIN_HOSTS_PER_DOMAIN, clock)
        self._presence = Presence(store, own, clock, self.hosts.is_serving, is_spare=self.hosts.is_spare)
        self._load = LoopLoad(self._on_load)
        # Crowds at the other listeners must not keep callers waiting.
        callers_port = int(settings.addresses.callers.rpartition(":")[2])
        self._callers = CallerBounds(CallerLimits(), settings.machine, callers_port)
        bounds = settings.bounds
        self.table = LeafTable(
            settings.domain,
            self.hosts,
            clock,
            cold_factor=bounds.cold_factor,
            cold_slack=bounds.cold_slack,
        )
        self.metrics = MetricsPage()
        client = LeafClient(names, tasks, clock, self._on_classified)
        self._client = client
        self._store = store
        self._rollouts = OrderedRollouts(
            store,
            store_format.encode_status,
            settings.host,
            self.hosts,
            self.table,
            settings.exposure,
            lambda: self._presence.lease,
            clock,
            era=lambda: self._mirror.era,
        )
        self._budget = RetryBudget(settings.budget, self.hosts.count, clock)
        admission = LeafAdmission(RoomEstimator(self.table, self.hosts, clock, Leaf.others_in_flight), clock)
        context = GatewayContext(names, self.table, client, self._budget, clock, self._rollouts.rule, admission)
        self._key_validity = KeyValidity(lambda: self._mirror.confirmed_s, lambda: self._mirror.contact_in_s)
        self._key_validity.max_age_s = max_copy_age_s(bounds.revoke_s)
        self.gateway = Gateway(context, GatewayMetrics(self.metrics), key_validity=self._key_validity)
        self.gateway.refuses_new_requests = lambda: self._draining
        self.directory = Directory(self.hosts, self.is_ready)
        peers = PeerSnapshots(
            self._peer_addresses,
            self._reader_addresses,
            asks_confirmations=lambda: self._settings.bounds.revoke_s is not None,
        )
        change_s = min(bounds.change_s, max_copy_age_s(bounds.revoke_s))
        first_copy = FirstCopy(
            store,
            lambda wait_s: FollowedStore(store, peers, self.hosts.reads_store, change_s, wait_s),
            self.hosts,
            self._decode_host,
            self._phases,
        )
        self._mirror = Mirror(
            first_copy,
            ALL_KEYS,
            self._on_change,
            store_format.may_lapse,
            boot_time_s,
            peers.newer_than,
            store_format.reports_rewrites,
            refresh_age_s=lambda: refresh_age_s(self._settings.bounds.revoke_s),
            writer_count=store_format.writer_count,
        )
        self._mirror.on_era_change(self._presence.restore)
        self._mirror.on_era_change(self._restore_rollouts)
        self._usage: UsageReports | None = None
        self.peer_app: ASGIApp = SnapshotApp(self._mirror)
        self._leaf_reports: LeafReportExchange | None = None
        if settings.shares_leaf_reports:
            self._leaf_reports = LeafReportExchange(self.hosts, self.table, clock)
            self.peer_app = self._leaf_reports.app(self.peer_app)
        if settings.usage is not None and report_sender is not None:
            usage = UsageReports(settings.usage, self.hosts, store, report_sender, lambda: self._mirror.age_s)
            self._usage = usage
            self.peer_app = usage.app(self.peer_app)
            self._mirror.on_era_change(lambda _era: usage.on_store_return(self._mirror.revision_of))
        self._evacuated: set[DomainName] = set()
        self._latest_entries: dict[str, tuple[int, int]] = {}
        self.metrics.register(AdmissionMetrics(admission))
        self._add_gauges(clock)

    @property
    def address_validity_s(self) -> float:
        """Return how long callers may cache an answer of the directory."""
        return min(ADDRESS_VALIDITY_S, self._settings.bounds.max_address_validity_s)

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return not self._leaving and self.gateway.state is not None

    async def run(self, app: ASGIApp) -> None:
        """Serve an application on all listeners until a planned stop after SIGTERM or SIGINT is complete."""
        listener = Listener(app, self._settings.addresses.all(), self._callers, address_wait_s=inf)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._start, listener, tasks)
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    if self._reload is not None:
                        self._reload.reload()
                if self._is_started:
                    await self._stop(listener)
                tasks.cancel_scope.cancel()
        emit(Event.DAEMON_STOPPED, host=self._settings.host, cut=listener.in_progress)

    async def _start(self, listener: Listener, tasks: TaskGroup) -> None:
        """Listen, then run the background tasks."""
        await tasks.start(listener.run)
        self._is_started = True
        self._phases.reach(StartPhase.LISTENING)
        tasks.start_soon(supervise, "copy of the store", self._mirror.run)
        tasks.start_soon(supervise, "registration", self._presence.run)
        tasks.start_soon(supervise, "load", self._load.run)
        tasks.start_soon(supervise, "rollouts", self._rollouts.run)
        if self._leaf_reports is not None:
            tasks.start_soon(supervise, "reports of leaves", self._leaf_reports.run)
        if self._usage is not None:
            tasks.start_soon(supervise, "usage reports", self._usage.run)
        if self._reload is not None:
            tasks.start_soon(supervise, "settings", self._reload.run)
        tasks.start_soon(_freeze_long_lived_objects)
        emit(Event.DAEMON_STARTED, host=self._settings.host)

    def _apply_settings(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._budget.set_limits(settings.budget)
        self._callers.set_machine(settings.machine)
        self._key_validity.max_age_s = max_copy_age_s(settings.bounds.revoke_s)
        self._rollouts.set_limits(settings.exposure)
        self.table.set_cold_bounds(settings.bounds.cold_factor, settings.bounds.cold_slack)

    async def _stop(self, listener: Listener) -> None:
        """Leave the directory, serve until callers have refreshed their addresses, and finish requests in progress."""
        stop_s = self._settings.bounds.stop_s
        started_s = anyio.current_time()
        self._leaving = True
        emit(Event.DAEMON_STOPPING, wait_s=stop_s * ACCEPT_SHARE)
        listener.close_after_answers()
        with anyio.move_on_after(stop_s * ACCEPT_SHARE):
            await self._presence.leave()
            if self._usage is not None:
                await self._usage.leave()
            await anyio.sleep_forever()
        self._draining = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._finish_at, started_s + stop_s * FINISH_SHARE)
            with anyio.move_on_at(started_s + stop_s * EXIT_SHARE):
                await listener.drain()
                if self._usage is not None:
                    await self._usage.flush()
            tasks.cancel_scope.cancel()

    async def _finish_at(self, time_s: float) -> None:
        await anyio.sleep_until(time_s)
        self.gateway.finish()

    def _on_classified(self, exchange: Exchange, status: ExchangeStatus) -> None:
        """Record an exchange as evidence on the version of its leaf, unless the request did not run."""
        if not status.may_have_run:
            return
        self._phases.reach(StartPhase.FIRST_LEAF_REPLY)
        if self._usage is not None and exchange.run_mark is not None:
            self._usage.count(exchange.run_mark, exchange.sent_s)
        entry = exchange.leaf.entry
        now_s = self._clock()
        # Leaves of a new version have just started, so the time to open connections is not counted and cold leaves are
        # allowed a higher latency.
        latency_s = now_s - exchange.sent_s
        slow_s = exchange.median_latency_s * SLOW_FACTOR
        if now_s < exchange.leaf.cold_until_s:
            slow_s *= COLD_FACTOR
        self._rollouts.record(
            entry.service,
            exchange.route,
            entry.version,
            latency_s,
            failed=status is not ExchangeStatus.SUCCESS and not exchange.abandoned,
            slow=latency_s > slow_s,
        )

    def _peer_addresses(self) -> list[str]:
        return list(dict.fromkeys([*self.hosts.peers, *self._settings.seeds]))

    def _reader_addresses(self) -> list[str]:
        """Return the addresses of the other hosts that watch the store, the one in the same failure domain first."""
        own = self.hosts.own
        readers = [entry for entry in self.hosts.store_readers if entry.host != own.host and entry.peer_address]
        readers.sort(key=lambda entry: entry.domain != own.domain)
        return [entry.peer_address for entry in readers]

    def _decode_host(self, key: Key, value: bytes) -> HostEntry | None:
        match self._format.decode(key, value):
            case HostRecord(_, entry):
                return entry
        return None

    def _restore_rollouts(self, _era: Era) -> None:
        self._rollouts.restore(self._mirror.is_stored, self._mirror.revision_of)

    def _on_load(self, is_busy: bool) -> None:
        delay_ms = round(self._load.delay_s * 1_000, 1)
        emit(Event.HOST_LOAD_CHANGED, busy=is_busy, delay_ms=delay_ms, serving=len(self.hosts.serving))
        self._presence.update(msgspec.structs.replace(self.hosts.own, is_busy=is_busy))

    def _add_gauges(self, clock: Callable[[], float]) -> None:
        add = self.metrics.gauges.add

        def version() -> float:
            return 0 if self.gateway.state is None else self.gateway.state.version

        add("store_age_seconds", "Time since the store was last read", lambda: self._mirror.age_s)
        add(
            "store_confirmed_age_seconds",
            "Time for which the copy of the store is not confirmed to be current",
            lambda: self._key_validity.copy_age.age_s,
        )
        add("store_era", "Era of the store, which rises when it returns from an older copy", lambda: self._mirror.era)
        add("configuration_version", "Version of the configuration in force", version)
        add("loop_delay_seconds", "Mean delay of the event loop", lambda: self._load.delay_s)
        add("leaves", "Leaves known", lambda: len(self.table))
        excluded = {reason.value: partial(self.table.count_excluded, reason) for reason in Exclusion}
        self.metrics.gauges.add_labelled(
            "leaves_excluded", "Leaves that get no requests, by reason", "reason", excluded
        )
        add("hosts", "Hosts among which limits are divided", self.hosts.count)
        add_labelled = self.metrics.gauges.add_labelled
        add_labelled("store_calls", "Calls to the store since the start, by kind", "kind", self._store.call_counts())
        usage = self._usage
        if usage is not None:
            add("usage_duty", "Fencing number of the usage reports' holder, 0 elsewhere", lambda: usage.duty.token)
            add("usage_reports_sent", "Usage reports accepted since the start", lambda: usage.sent)
            add("usage_pending_seconds", "Age of the oldest window not reported", lambda: usage.oldest_pending_s)
        if self._leaf_reports is not None:
            self._leaf_reports.add_gauges(self.metrics.gauges)
        add("leaf_connections", "Connections to leaves opened since the start", lambda: self._client.opened)
        add("leaf_stalls", "Requests of which a leaf took nothing, since the start", lambda: self._client.stalled)

    def _on_change(self, key: Key, value: bytes | None) -> None:
        match self._format.decode(key, value):
            case RoutingRecord(state):
                self.gateway.apply(state)
                self._phases.reach(StartPhase.CONFIGURED)
                self._callers.limits = (self.gateway.state or state).callers
                self._rollouts.set_routes(state)
            case RolloutOrderRecord() | RolloutProgressRecord() | EvidenceRecord() as record:
                self._rollouts.apply(record, self._mirror.revision_of(key))
            case LeafRecord(leaf_id, None):
                emit(Event.LEAF_GONE, leaf=leaf_id)
                self.table.remove(leaf_id)
            case LeafRecord(leaf_id, entry) if entry is not None:
                # A delayed write may arrive after a newer one.
                if (entry.born_ms, entry.sequence) < self._latest_entries.get(leaf_id, (0, 0)):
                    emit(Event.LEAF_ENTRY_OUTDATED, leaf=leaf_id, born_ms=entry.born_ms, sequence=entry.sequence)
                    return
                self._latest_entries[leaf_id] = (entry.born_ms, entry.sequence)
                emit(Event.LEAF_SEEN, leaf=leaf_id, service=entry.service, ready=entry.is_ready, cold_ms=entry.cold_ms)
                self.table.put(entry)
            case HostRecord(host, entry) if entry is not None:
                self.hosts.put(entry)
            case HostRecord(host, None):
                self.hosts.remove(host)
                if host == self._settings.host:
                    self._presence.reregister()
            case DutyStateRecord() | DutyHolderRecord() as record:
                if self._usage is not None:
                    self._usage.apply(record, self._mirror.revision_of(key))
            case EvacuationRecord(domain, active):
                self._evacuated = self._evacuated | {domain} if active else self._evacuated - {domain}
                self.table.evacuate(self._evacuated)
                emit(Event.DOMAIN_EVACUATED, domain=domain, active=active)
            case UnreadableRecord(bad_key, leaf_id, detail):
                emit(Event.RECORD_UNREADABLE, key=bad_key, detail=detail)
                if leaf_id is not None:
                    self.table.remove(leaf_id)


async def _freeze_long_lived_objects() -> None:
    # Full garbage collections would otherwise block the event loop while they traverse the tables.
    await anyio.sleep(FREEZE_DELAY_S)
    with contextlib.suppress(ValueError):
        gc.collect()
        gc.freeze()
