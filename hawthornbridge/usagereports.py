"""Reports of each team's requests to the platform: counts, hand-over, and the duty of the host that sends them."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Protocol

import anyio

from hawthornbridge.callers import ASGIApp
from hawthornbridge.clocks import boot_time_s
from hawthornbridge.entrysettings import UsageSettings
from hawthornbridge.events import Event, emit
from hawthornbridge.ids import HostId
from hawthornbridge.presence import HostList
from hawthornbridge.records import DutyHolderRecord, DutyStateRecord
from hawthornbridge.runmarks import RunMark
from hawthornbridge.store import ABSENT, Key, Revision
from hawthornbridge.usageclock import WindowClock
from hawthornbridge.usagecounts import CollectedCounts, HostCounts, TeamCounts, WindowNumber
from hawthornbridge.usageduty import DutyStore, UsageDuty
from hawthornbridge.usagehandover import Collector, CollectorAddress, CountsApp, HandOver

__all__ = ["ReportOutcome", "ReportSender", "UsageReport", "UsageReports"]

RANKING_KEY = "usage"
# Hosts that collect counts beside the holder, the first candidates for the duty.
STANDBY_COLLECTORS = 2
# A host that is killed loses what it has counted since its last hand-over.
HAND_OVER_INTERVAL_S = 0.5
DUTY_INTERVAL_S = 0.2
IDLE_INTERVAL_S = 1.0
# The first candidate waits this long after the holder's entry is gone, the next ones so much longer each. A former
# holder that has the store within reach sees the removal within this time.
TAKE_DELAY_S = 1.0
TAKE_STEP_S = 0.7
# Shares of the time between the end of a window and the time at which its report is due. Runs are counted when they
# end, so that those that began late in a window are counted some time after its end.
CLOSE_SHARE = 0.3
RECORD_SHARE = 0.35
# From here on a report is recorded without the counts that are missing.
MISSING_LIMIT_SHARE = 0.65
# Share of the platform's rate that the holder uses.
CALL_RATE_SHARE = 0.5
BASE_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# Recorded reports that are not accepted; all hosts read them at each change. Counts of further windows wait in memory.
MAX_PENDING = 60
# After this many windows without a holder or a store, older ones are not reported.
MAX_BACKLOG_WINDOWS = 360


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Report of one window by a holder with its fencing number."""

    holder: HostId
    token: int
    window: WindowNumber
    counts: TeamCounts


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Result of a call: a report that is not accepted may have arrived; a refused one is never accepted."""

    is_accepted: bool
    is_refused: bool = False
    detail: str = ""


class ReportSender(Protocol):
    """Sends reports to the platform."""

    async def send(self, report: UsageReport, left_s: Callable[[], float]) -> ReportOutcome:
        """Send a report if left_s is positive right before, and end the call within that time."""


class UsageReports:
    """Part of one host in the usage reports."""

    def __init__(
        self,
        settings: UsageSettings,
        hosts: HostList,
        store: DutyStore,
        sender: ReportSender,
        store_age_s: Callable[[], float],
        *,
        event_clock: Callable[[], float] = time.monotonic,
        steady_clock: Callable[[], float] = boot_time_s,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._hosts = hosts
        self._sender = sender
        self._store_age_s = store_age_s
        self._event_clock = event_clock
        self._steady_clock = steady_clock
        self._host = hosts.own.host
        self._clock = WindowClock(settings.window_s, time_of_day, steady_clock, event_clock)
        self._counts = HostCounts()
        self._collected = CollectedCounts()
        self.duty = UsageDuty(store, self._host, hosts.own.peer_address, settings.lease_s, steady_clock)
        self._collector = Collector(self._collected, self._clock, self.duty)
        self._hand_over = HandOver(self._host, self._counts, self._clock, self._collected, self.duty, event_clock)
        self.sent = 0
        self._accepted: set[WindowNumber] = set()
        self._absent_since_s = inf
        self._take_from_s = -inf
        self._is_leaving = False
        self._reported_failure = ""

    @property
    def oldest_pending_s(self) -> float:
        """Return the time since the end of the oldest window that this holder has not reported, or 0."""
        windows = self._unsent()
        return max(0.0, self._clock.time_s() - self._clock.end_s(min(windows))) if windows else 0.0

    def count(self, mark: RunMark, sent_s: float) -> None:
        """Count the first run of a request, sent at a time of the event loop's clock."""
        if not mark.is_counted:
            mark.is_counted = True
            self._counts.add(self._clock.window_at(sent_s), mark.team)

    def app(self, other: ASGIApp) -> CountsApp:
        """Return the application that takes counts from other hosts and leaves other requests to another one."""
        return CountsApp(self._collector, other)

    def apply(self, record: DutyStateRecord | DutyHolderRecord, revision: Revision) -> None:
        """Apply a record of the store."""
        match record:
            case DutyStateRecord(state):
                self.duty.put_state(state, revision)
                if state is not None:
                    self._drop_recorded()
            case DutyHolderRecord(holder):
                self.duty.put_holder(holder)

    def on_store_return(self, revision_of: Callable[[Key], Revision]) -> None:
        """Let a holder that can't hear of a return of the store from an older copy act to the end of its lease.

        The copy may lack the holder's entry although its lease has not ended by its own clock, or still have it
        although nobody renews its lease.
        """
        self.duty.on_store_return(revision_of)
        self._take_from_s = self._steady_clock() + self._settings.lease_s

    async def run(self) -> None:
        """Hand over counts, and send reports while this host has the duty, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._hand_over_counts)
            tasks.start_soon(self._seek_duty)

    async def leave(self) -> None:
        """Give up the duty, and take it no more."""
        self._is_leaving = True
        await self.duty.give_up()

    async def flush(self) -> None:
        """Hand over the last counts before the host ends."""
        await self._hand_over.hand_over(self._collectors(), self._open_window(), reports_ends=False)

    async def _hand_over_counts(self) -> None:
        while True:
            await self._hand_over.hand_over(
                self._collectors(), self._open_window(), reports_ends=self._hosts.is_serving()
            )
            await anyio.sleep(HAND_OVER_INTERVAL_S)

    def _open_window(self) -> WindowNumber:
        """Return the first window in which runs may still be counted."""
        settings = self._settings
        return int((self._clock.time_s() - settings.delay_s * CLOSE_SHARE) // settings.window_s)

    def _collectors(self) -> list[CollectorAddress]:
        standby = self._hosts.ranked(RANKING_KEY)[:STANDBY_COLLECTORS]
        collectors = {each.host: CollectorAddress(each.host, each.peer_address) for each in standby}
        holder = self.duty.holder
        if holder is not None:
            collectors[holder.host] = CollectorAddress(holder.host, holder.peer_address)
        return list(collectors.values())

    async def _seek_duty(self) -> None:
        while True:
            if self._is_turn() and await self.duty.take(int(self._clock.time_s() // self._settings.window_s)):
                self._accepted.clear()
                if self._is_leaving:
                    # The stop began while the duty was taken.
                    await self.duty.give_up()
                await self._fulfil_duty()
            await anyio.sleep(DUTY_INTERVAL_S if self._hosts.is_serving() else IDLE_INTERVAL_S)

    async def _fulfil_duty(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._record_reports)
            tasks.start_soon(self._send_reports)
            while self.duty.token:
                await anyio.sleep(DUTY_INTERVAL_S)
                await self.duty.renew()
            tasks.cancel_scope.cancel()

    def _is_turn(self) -> bool:
        """Return whether the entry of the holder has been gone long enough for this host to try to take the duty."""
        has_holder = self.duty.holder is not None and self.duty.forgotten_holder == ABSENT
        is_absent = not has_holder and self._store_age_s() < TAKE_DELAY_S * 2
        if not is_absent or self._is_leaving or not self.duty.may_take or not self._hosts.is_serving():
            self._absent_since_s = inf
            return False
        now_s = self._steady_clock()
        self._absent_since_s = min(self._absent_since_s, now_s)
        if now_s < self._take_from_s:
            return False
        wait_s = TAKE_DELAY_S + TAKE_STEP_S * self._hosts.rank(RANKING_KEY)
        if now_s - self._absent_since_s < wait_s:
            return False
        # A failed attempt is followed by the other candidates before this host tries again.
        self._absent_since_s = inf
        return True

    async def _record_reports(self) -> None:
        while True:
            if self.duty.is_held:
                await self._record_due()
            await anyio.sleep(DUTY_INTERVAL_S)

    async def _record_due(self) -> None:
        reports = self._due()
        if not reports:
            return
        if await self.duty.record(reports, set(self._accepted)):
            windows = [window for window in reports if window in self.duty.pending]
            emit(Event.USAGE_RECORDED, token=self.duty.token, windows=windows, pending=len(self.duty.pending))
            self._accepted &= self.duty.pending.keys()
            self._drop_recorded()

    def _due(self) -> dict[WindowNumber, TeamCounts]:
        """Return the next windows in order whose counts are complete, or have been waited for long enough."""
        recorded = self.duty.recorded_through
        if recorded is None:
            return {}
        settings, now_s = self._settings, self._clock.time_s()
        last = int((now_s - settings.delay_s * RECORD_SHARE) // settings.window_s) - 1
        first = max(recorded + 1, last - MAX_BACKLOG_WINDOWS)
        serving = {entry.host for entry in self._hosts.serving}
        reports: dict[WindowNumber, TeamCounts] = {}
        room = MAX_PENDING - len(self._unsent())
        for window in range(first, min(last + 1, first + room)):
            missing = self._collected.missing(window, serving, self._hosts.is_listed)
            if missing:
                if now_s < self._clock.end_s(window) + settings.delay_s * MISSING_LIMIT_SHARE:
                    break
                emit(Event.USAGE_COUNTS_MISSING, window=window, hosts=sorted(missing))
            reports[window] = self._collected.total(window)
        return reports

    def _drop_recorded(self) -> None:
        recorded = self.duty.recorded_through
        if recorded is not None:
            self._counts.drop_through(recorded)
            self._collected.drop_through(recorded)

    def _unsent(self) -> list[WindowNumber]:
        return [window for window in self.duty.pending if window not in self._accepted]

    async def _send_reports(self) -> None:
        backoff_s = BASE_BACKOFF_S
        interval_s = 1 / (self._settings.calls_per_s * CALL_RATE_SHARE)
        while True:
            windows = self._unsent() if self.duty.is_held else []
            if not windows:
                await anyio.sleep(DUTY_INTERVAL_S)
            elif await self._send(min(windows)):
                backoff_s = BASE_BACKOFF_S
                await anyio.sleep(interval_s)
            else:
                await anyio.sleep(max(interval_s, backoff_s))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _send(self, window: WindowNumber) -> bool:
        token = self.duty.token
        report = UsageReport(self._host, token, window, self.duty.pending[window])
        outcome = await self._sender.send(report, lambda: self.duty.left_s if self.duty.token == token else 0.0)
        if outcome.is_accepted or outcome.is_refused:
            self._accepted.add(window)
        if outcome.is_accepted:
            self.sent += 1
            self._reported_failure = ""
            after_s = round(self._clock.time_s() - self._clock.end_s(window), 3)
            emit(Event.USAGE_REPORT_SENT, window=window, token=token, teams=len(report.counts), after_s=after_s)
            return True
        if outcome.detail != self._reported_failure:
            self._reported_failure = outcome.detail
            emit(Event.USAGE_REPORT_FAILED, window=window, token=token, detail=outcome.detail)
        return outcome.is_refused
