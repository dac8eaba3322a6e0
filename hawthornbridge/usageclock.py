"""Time of day that agrees with most hosts, for counts by window."""

from collections.abc import Callable
from math import inf

from hawthornbridge.ids import HostId

__all__ = ["WindowClock"]

# Differences below this come from the network and from busy event loops rather than from the clocks.
MIN_CORRECTION_S = 0.05
READING_VALID_S = 30.0


class WindowClock:
    """Time of day as an offset to a steady clock, by the median of the clocks of the hosts that hand over counts.

    The time of day of a host may be seconds off or step, which a single host can't detect.
    """

    def __init__(
        self,
        window_s: float,
        time_of_day: Callable[[], float],
        steady_clock: Callable[[], float],
        event_clock: Callable[[], float],
    ) -> None:
        self.window_s = window_s
        self._time_of_day = time_of_day
        self._steady_clock = steady_clock
        self._event_clock = event_clock
        self._offset_s = 0.0
        self._valid_until_s = -inf
        # Offset of each host's clock to the steady clock of this host, and when it was read.
        self._readings: dict[HostId, tuple[float, float]] = {}

    def time_s(self) -> float:
        """Return the time of day of most hosts, or of this host alone if none has been heard of lately."""
        now_s = self._steady_clock()
        return now_s + self._offset_s if now_s < self._valid_until_s else self._time_of_day()

    def raw_time_s(self) -> float:
        """Return the time of day of this host's own clock."""
        return self._time_of_day()

    def window_at(self, event_s: float) -> int:
        """Return the window of an event at a recent time of the event loop's clock."""
        return int((self.time_s() - (self._event_clock() - event_s)) // self.window_s)

    def end_s(self, window: int) -> float:
        """Return the time of day at which a window ends."""
        return (window + 1) * self.window_s

    def add_reading(self, host: HostId, time_s: float) -> None:
        """Take a reading of another host's clock."""
        now_s = self._steady_clock()
        self._readings[host] = (time_s - now_s, now_s)
        self._readings = {each: row for each, row in self._readings.items() if row[1] > now_s - READING_VALID_S}
        offsets = sorted([self._time_of_day() - now_s, *(offset_s for offset_s, _ in self._readings.values())])
        self._set(offsets[len(offsets) // 2], now_s)

    def follow(self, time_s: float, round_trip_s: float) -> None:
        """Take over the time of a host that has readings of many clocks, unless this host has them itself."""
        now_s = self._steady_clock()
        if all(read_s <= now_s - READING_VALID_S for _, read_s in self._readings.values()):
            self._set(time_s + round_trip_s / 2 - now_s, now_s)

    def _set(self, offset_s: float, now_s: float) -> None:
        own_s = self._time_of_day() - now_s
        self._offset_s = offset_s if abs(offset_s - own_s) >= MIN_CORRECTION_S else own_s
        self._valid_until_s = now_s + READING_VALID_S
