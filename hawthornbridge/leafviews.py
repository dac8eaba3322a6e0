"""What other hosts have told of one leaf, and the caution that follows from it.

Reports of other hosts may be wrong or old. They only add to the cost of a leaf, less than what this host would add for
a leaf that it sees stalled itself, and they count for a short time.
"""

from dataclasses import dataclass
from math import exp

from hawthornbridge.ids import HostId

__all__ = ["LATENCY_RATIO_THRESHOLD", "MAX_AGE_S", "MAX_REPORTED_COST", "Observation", "OtherViews"]

# Below this ratio the average of a few latencies is mostly noise, so the failure domain of the leaf decides instead.
LATENCY_RATIO_THRESHOLD = 1.4
# Observations older than this are dropped; a slow spell of a leaf lasts about as long.
MAX_AGE_S = 1.0
# Time constant with which reported observations decay.
OBSERVATION_DECAY_S = 0.5
# The requests in flight at a leaf change with each reply, so their weight falls to nothing within this time.
IN_FLIGHT_VALID_S = 0.3
# Costs in units of the median latency.
STALL_COST = 12.0
BACKOFF_COST = 12.0
FAILURE_COST = 5.0
# Below the cost of a leaf that this host sees stalled, so that no report makes such a leaf the better choice.
MAX_REPORTED_COST = 15.0
# A stall of unknown length is expected to last about as long again as it has lasted, within these bounds.
MIN_STALL_WAIT_S = 0.1
MAX_STALL_WAIT_S = 0.4


@dataclass(frozen=True, slots=True)
class Observation:
    """What one host told of a leaf; times are on the clock of this host.

    Latency, failures and backoff follow from exchanges up to observed_s, the other fields are the state at told_s.
    """

    told_s: float
    observed_s: float
    # Time for which the leaf was silent although replies were due; 0 for a leaf that answers.
    stalled_s: float = 0.0
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    backoff_s: float = 0.0
    in_flight: int = 0
    connections: int = 0

    @property
    def is_bad(self) -> bool:
        """Return whether the host saw the leaf stalled, slow, failing or unreachable."""
        is_slow = self.latency_ratio > LATENCY_RATIO_THRESHOLD
        return self.stalled_s > 0.0 or is_slow or self.failure_rate > 0.0 or self.backoff_s > 0.0

    def stall_wait_s(self, now_s: float) -> float:
        """Return how much longer the leaf is expected to be stalled."""
        if not self.stalled_s:
            return 0.0
        return self.told_s + min(MAX_STALL_WAIT_S, max(MIN_STALL_WAIT_S, self.stalled_s)) - now_s


class OtherViews:
    """Newest observation of one leaf by each other host."""

    __slots__ = ("_bad", "_by_host")

    def __init__(self) -> None:
        self._by_host: dict[HostId, Observation] = {}
        # Most reports only have requests in flight, which the choice of a leaf weighs with less work.
        self._bad: set[HostId] = set()

    def __bool__(self) -> bool:
        return bool(self._by_host)

    def put(self, host: HostId, observation: Observation) -> None:
        """Replace what a host has told before."""
        self._by_host[host] = observation
        if observation.is_bad:
            self._bad.add(host)
        else:
            self._bad.discard(host)

    def remove(self, host: HostId) -> None:
        """Drop what a host has told."""
        self._by_host.pop(host, None)
        self._bad.discard(host)

    def drop_old(self, now_s: float) -> None:
        """Drop observations that no longer count."""
        for host in [host for host, each in self._by_host.items() if now_s - each.told_s > MAX_AGE_S]:
            self.remove(host)

    def in_flight(self, now_s: float) -> int | None:
        """Return the requests of other hosts in flight by fresh reports, or None if there is no such report."""
        counts = [each.in_flight for each in self._by_host.values() if now_s - each.told_s <= MAX_AGE_S]
        return sum(counts) if counts else None

    def is_stalled(self, now_s: float, last_reply_s: float) -> bool:
        """Return whether a host sees the leaf stalled since the last reply that this host has had from it."""
        return any(each.told_s > last_reply_s and each.stall_wait_s(now_s) > 0.0 for each in self._by_host.values())

    def added_cost(
        self, now_s: float, slots: int, last_reply_s: float, last_observed_s: float, latency_ratio: float
    ) -> float:
        """Return the cost to add for the reports, from 0 to MAX_REPORTED_COST.

        The last three arguments are what this host has seen itself; what is newer than a report refutes it.
        """
        in_flight = 0.0
        worst = 0.0
        for host, each in self._by_host.items():
            age_s = now_s - each.told_s
            if age_s > MAX_AGE_S:
                continue
            if each.in_flight and age_s < IN_FLIGHT_VALID_S:
                in_flight += each.in_flight * (1.0 - age_s / IN_FLIGHT_VALID_S)
            if host in self._bad:
                worst = max(worst, _caution(each, now_s, last_reply_s, last_observed_s, latency_ratio))
        return min(MAX_REPORTED_COST, in_flight / slots + worst)


def _caution(
    observation: Observation, now_s: float, last_reply_s: float, last_observed_s: float, latency_ratio: float
) -> float:
    cost = 0.0
    wait_s = observation.stall_wait_s(now_s)
    if wait_s > 0.0 and observation.told_s > last_reply_s:
        cost += STALL_COST * min(1.0, wait_s / MIN_STALL_WAIT_S)
    if observation.observed_s <= last_observed_s:
        return cost
    decay = exp((observation.observed_s - now_s) / OBSERVATION_DECAY_S)
    cost += FAILURE_COST * observation.failure_rate * decay
    if now_s < observation.told_s + observation.backoff_s:
        cost += BACKOFF_COST * decay
    if observation.latency_ratio > LATENCY_RATIO_THRESHOLD:
        cost += max(0.0, 1.0 + (observation.latency_ratio - 1.0) * decay - latency_ratio)
    return cost
