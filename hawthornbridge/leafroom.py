"""Estimate of the room at leaves: how many more requests they can take from this host now."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil, inf

from hawthornbridge.admission import Demand
from hawthornbridge.ids import ServiceName, UpstreamId
from hawthornbridge.leaves import HostShares, Leaf, LeafTable

__all__ = ["LeafRoom", "RoomEstimator", "ServiceRoom", "describe_room"]

# Requests sent to a leaf beyond its slots, so that a slot is not idle while the next request is on its way. A leaf
# queues a few more, but in order of arrival; those that wait here are in the order of their classes.
AHEAD_REQUESTS = 1
# Time for which the refusals of all leaves of a service show that other hosts use them too.
SHARED_S = 1.0
# Bounds of the time for which a leaf that refused a request as full counts as full.
MIN_FULL_S = 0.005
MAX_FULL_S = 0.25
# Time between two looks for room while requests wait; room also comes by leaves and other hosts.
POLL_S = 0.005
MAX_REFUSALS_KEPT = 1_024
# Time after a request during which less urgent ones leave one place at each service free for the next of its class.
RESERVED_S = 10.0


@dataclass(frozen=True, slots=True)
class _FullSignal:
    """When a leaf refused a request as full, until when it counts as full, and what it held of this host."""

    at_s: float
    until_s: float
    in_flight: int


@dataclass(frozen=True, slots=True)
class ServiceRoom:
    """Inputs of the estimate for one service, for the log; the ages are in seconds."""

    service: ServiceName
    leaves: int
    capacity: int
    in_flight: int
    # Requests of other hosts in flight; None if none of the leaves has been reported.
    others: float | None
    # Time since the latest refusal of a leaf as full; None without one that still counts.
    refused_ago_s: float | None


def describe_room(room: ServiceRoom) -> str:
    """Return the inputs of an estimate in a few words."""
    others = "others unknown" if room.others is None else f"{room.others:.0f} of others"
    text = f"{room.service}: {room.leaves} leaves, {room.in_flight} of {room.capacity} in flight, {others}"
    return text if room.refused_ago_s is None else f"{text}, full {room.refused_ago_s * 1_000:.0f} ms ago"


class RoomEstimator:
    """Estimate the room at each leaf from its slots, this host's requests and what is known of other hosts'.

    Where nothing shows that a leaf is full, it has room.
    """

    def __init__(
        self,
        table: LeafTable,
        hosts: HostShares,
        clock: Callable[[], float],
        others_in_flight: Callable[[Leaf, float], float | None] = lambda leaf, now_s: None,
    ) -> None:
        """Create an estimator; others_in_flight returns the requests of other hosts at a leaf, None if unknown."""
        self._table = table
        self._hosts = hosts
        self._clock = clock
        self._others_in_flight = others_in_flight
        self._full: dict[UpstreamId, _FullSignal] = {}

    def record_full(self, leaf: Leaf, median_latency_s: float) -> None:
        """Record that a leaf refused a request without running it."""
        now_s = self._clock()
        if len(self._full) >= MAX_REFUSALS_KEPT:
            self._full = {leaf_id: each for leaf_id, each in self._full.items() if now_s - each.at_s < SHARED_S}
        full_s = min(MAX_FULL_S, max(MIN_FULL_S, median_latency_s))
        self._full[leaf.entry.id] = _FullSignal(now_s, now_s + full_s, len(leaf.in_flight))

    def has_room(self, service: ServiceName, wanted: int, now_s: float) -> bool:
        """Return whether a service can take this many more requests, or has no leaf to judge it by."""
        is_known, missing = False, wanted
        for leaf in self._table.listed(service):
            if self._table.exclusion(leaf, now_s) is not None:
                continue
            is_known = True
            missing -= max(0, self._free(leaf, now_s))
            if missing <= 0:
                return not self._full or self._is_within_share(service, wanted, now_s)
        return not is_known

    def describe(self, service: ServiceName) -> ServiceRoom:
        """Return the inputs of the estimate for a service."""
        now_s = self._clock()
        leaves = [leaf for leaf in self._table.listed(service) if self._table.exclusion(leaf, now_s) is None]
        others = [self._others_in_flight(leaf, now_s) for leaf in leaves]
        known = [number for number in others if number is not None]
        refused_ago_s = [now_s - self._full[leaf.entry.id].at_s for leaf in leaves if leaf.entry.id in self._full]
        recent_s = min(refused_ago_s, default=inf)
        return ServiceRoom(
            service,
            len(leaves),
            sum(leaf.entry.slots + AHEAD_REQUESTS for leaf in leaves),
            sum(len(leaf.in_flight) for leaf in leaves),
            sum(known) if known else None,
            recent_s if recent_s < SHARED_S else None,
        )

    def _free(self, leaf: Leaf, now_s: float) -> int:
        """Return how many more requests a leaf can take from this host."""
        if self._full:
            signal = self._full.get(leaf.entry.id)
            if signal is not None and now_s < signal.until_s:
                return 0
        capacity = leaf.entry.slots + AHEAD_REQUESTS
        others = self._others_in_flight(leaf, now_s)
        if others is not None:
            # Another host's view may be wrong, so it never takes the last place of a leaf that accepts requests.
            capacity = max(1, int(capacity - others))
        return capacity - len(leaf.in_flight)

    def _is_within_share(self, service: ServiceName, wanted: int, now_s: float) -> bool:
        """Return whether this host stays within its share of a service whose leaves have all refused requests of late.

        The share is by number of hosts, or what the leaves held of this host when they refused more, if that is more.
        """
        capacity = held = in_flight = 0
        for leaf in self._table.listed(service):
            if self._table.exclusion(leaf, now_s) is not None:
                continue
            signal = self._full.get(leaf.entry.id)
            if signal is None or now_s - signal.at_s >= SHARED_S or self._others_in_flight(leaf, now_s) is not None:
                return True
            capacity += leaf.entry.slots + AHEAD_REQUESTS
            held += signal.in_flight
            in_flight += len(leaf.in_flight)
        return in_flight + wanted <= max(held, ceil(capacity / max(1, self._hosts.count())))


class LeafRoom:
    """Room of the requests that use the same service, or the same shards."""

    poll_s = POLL_S

    def __init__(self, estimator: RoomEstimator, services: Sequence[ServiceName], clock: Callable[[], float]) -> None:
        self._estimator = estimator
        self._services = services
        self._clock = clock
        self._running = 0
        # The service that had no room for the last request that did not fit.
        self.short_service: ServiceName | None = None
        # Requests that have left the queue and are not in flight at their leaves yet.
        self._expected = 0
        # The weight of the most urgent class of late, and the time of its last request.
        self._urgent_weight = 0
        self._urgent_s = -inf

    @property
    def concurrency(self) -> int:
        """Return how many requests run, which is how many can, as requests wait only if there is no room."""
        return max(1, self._running)

    @property
    def load(self) -> float:
        """Return 0 without running requests, and 1 otherwise, because the room is not limited by a number."""
        return float(self._running > 0)

    @property
    def running(self) -> int:
        """Return the number of requests that run."""
        return self._running

    @property
    def short_services(self) -> list[ServiceName]:
        """Return the services without room for one more request."""
        now_s = self._clock()
        wanted = self._expected + 1
        return [service for service in self._services if not self._estimator.has_room(service, wanted, now_s)]

    def fits(self, demand: Demand, *, keeps_reserve: bool = True) -> bool:
        """Return whether all services but those that an answer may leave out have room."""
        now_s = self._clock()
        reserved = self._reserved(demand.limits.weight, now_s)
        wanted = self._expected + 1 + (reserved if keeps_reserve else 0)
        has_room, spare = self._estimator.has_room, demand.spare_shards
        for service in self._services:
            if not has_room(service, wanted, now_s):
                if not spare:
                    self.short_service = service
                    return False
                spare -= 1
        return True

    def _reserved(self, weight: int, now_s: float) -> int:
        """Return the places that a class leaves free; the slots of a leaf are never among them."""
        if weight >= self._urgent_weight or now_s - self._urgent_s >= RESERVED_S:
            self._urgent_weight, self._urgent_s = weight, now_s
            return 0
        return AHEAD_REQUESTS

    def start(self) -> None:
        """Count a request that starts."""
        self._running += 1

    def expect(self, change: int) -> None:
        """Count requests that have left the queue and are not in flight at their leaves yet."""
        self._expected += change

    def finish(self, now_s: float, service_s: float, *, overloaded: bool) -> None:
        """Count the end of a request."""
        self._running -= 1

    def withdraw(self) -> None:
        """Undo the start of a request that did not run."""
        self._running -= 1
