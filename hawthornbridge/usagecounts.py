"""Counts of the requests that leaves began to run, by window of the time of day and team."""

from collections.abc import Callable, Collection

import msgspec

from hawthornbridge.ids import HostId, TeamName

__all__ = ["CollectedCounts", "CountsMessage", "CountsReply", "HostCounts", "TeamCounts", "WindowNumber"]

TeamCounts = dict[TeamName, int]
# Window k starts k times the length of a window after the start of 1970.
WindowNumber = int
# Counts are kept for this many windows if none is recorded, which bounds the memory of a host without a store.
MAX_WINDOWS = 360


class CountsMessage(msgspec.Struct, frozen=True):
    """Counts of one process of a host; a count replaces the earlier one for its window.

    No more runs are expected in windows before open_window. time_s is the sender's time of day.
    """

    host: HostId
    incarnation: int
    open_window: WindowNumber
    time_s: float
    counts: dict[WindowNumber, TeamCounts]


class CountsReply(msgspec.Struct, frozen=True):
    """Reply of a host that collects counts; another incarnation has none of the counts sent before."""

    incarnation: int
    time_s: float


class HostCounts:
    """Counts of this process."""

    def __init__(self) -> None:
        self._windows: dict[WindowNumber, TeamCounts] = {}
        # The total of a window changes with each count, so that it tells whether a receiver has the newest counts.
        self._totals: dict[WindowNumber, int] = {}
        self._recorded_through = -1

    @property
    def totals(self) -> dict[WindowNumber, int]:
        """Return the number of requests of each window."""
        return dict(self._totals)

    def add(self, window: WindowNumber, team: TeamName) -> None:
        """Count one request; a window that is already recorded stays as it is."""
        if window <= self._recorded_through:
            return
        teams = self._windows.get(window)
        if teams is None:
            if len(self._windows) >= MAX_WINDOWS:
                oldest = min(self._windows)
                if window < oldest:
                    return
                self._drop(oldest)
            teams = self._windows[window] = {}
            self._totals[window] = 0
        teams[team] = teams.get(team, 0) + 1
        self._totals[window] += 1

    def changed(self, sent: dict[WindowNumber, int]) -> dict[WindowNumber, TeamCounts]:
        """Return the windows whose totals differ from those sent before."""
        return {window: dict(self._windows[window]) for window, n in self._totals.items() if sent.get(window) != n}

    def drop_through(self, window: WindowNumber) -> None:
        """Forget the windows that are recorded."""
        if window <= self._recorded_through:
            return
        self._recorded_through = window
        for each in [each for each in self._windows if each <= window]:
            self._drop(each)

    def _drop(self, window: WindowNumber) -> None:
        del self._windows[window]
        del self._totals[window]


class CollectedCounts:
    """Counts that the processes of all hosts handed over, by window."""

    def __init__(self) -> None:
        self._windows: dict[WindowNumber, dict[tuple[HostId, int], TeamCounts]] = {}
        # First window that may still change, of the newest process of each host.
        self._open: dict[HostId, WindowNumber] = {}
        self._recorded_through = -1

    def put(self, message: CountsMessage) -> None:
        """Take over the counts of a message."""
        sender = (message.host, message.incarnation)
        for window, teams in message.counts.items():
            if window <= self._recorded_through:
                continue
            self._windows.setdefault(window, {})[sender] = teams
            if len(self._windows) > MAX_WINDOWS:
                del self._windows[min(self._windows)]
        self._open[message.host] = message.open_window

    def missing(
        self, window: WindowNumber, serving: Collection[HostId], is_listed: Callable[[HostId], bool]
    ) -> set[HostId]:
        """Return the listed hosts that serve or have counts for a window, and may hand over more of them."""
        counted = {host for host, _ in self._windows.get(window, ()) if is_listed(host)}
        return {host for host in counted.union(serving) if self._open.get(host, window) <= window}

    def total(self, window: WindowNumber) -> TeamCounts:
        """Return the sum of the counts of a window."""
        total: TeamCounts = {}
        for teams in self._windows.get(window, {}).values():
            for team, count in teams.items():
                total[team] = total.get(team, 0) + count
        return total

    def drop_through(self, window: WindowNumber) -> None:
        """Forget the windows that are recorded."""
        self._recorded_through = max(self._recorded_through, window)
        for each in [each for each in self._windows if each <= window]:
            del self._windows[each]
