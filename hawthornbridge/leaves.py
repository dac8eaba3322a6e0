"""Table of the leaves of each service, and the choice of the leaf for the next request."""

import random
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from math import exp, inf
from typing import Protocol

from hawthornbridge.httpconnection import HttpConnection
from hawthornbridge.ids import DomainName, ServiceName, UpstreamId, VersionName
from hawthornbridge.leafnotices import Exclusion, LeafNotices
from hawthornbridge.leafviews import LATENCY_RATIO_THRESHOLD, OtherViews
from hawthornbridge.routing import ServiceLimits
from hawthornbridge.versionsplit import VersionRule

__all__ = ["COLD_FACTOR", "HostShares", "InFlightRequest", "Leaf", "LeafEntry", "LeafTable"]

# Time constant with which observations of a leaf decay, so that a slow or failing leaf is tried again.
OBSERVATION_DECAY_S = 3.0
# Weight of the newest exchange in the exponentially weighted moving averages.
EWMA_WEIGHT = 0.3
# A leaf with a request that has been unanswered for this many times the median latency of its route counts as stalled.
STALL_FACTOR = 3.0
MIN_STALL_S = 0.04
# Limits the effect of a single very late reply, which would otherwise keep a leaf unused for long.
MAX_LATENCY_RATIO = 20.0
# Backoff after a failed connection attempt or an exchange without a reply; doubles with each consecutive one.
BASE_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# Costs in units of the median latency. A leaf that answers is preferred to a stalled one, and a stalled one to
# one that could not be reached.
STALL_COST = 20.0
BACKOFF_COST = 60.0
FAILURE_COST = 10.0
# Latency of a leaf that has just started, relative to its latency after warm-up.
COLD_FACTOR = 1.6
OTHER_DOMAIN_COST = 0.6
# Upper bound of the random cost that spreads the first requests of all hosts over equal leaves.
RANDOM_COST = 0.1
# All hosts together use less than half of a leaf's connection limit, because the connections of a host that loses
# power stay open at the leaf while the restarted host opens as many again.
CONNECTION_SHARE = 0.45
MIN_CONNECTIONS = 2
# The limit of a cold leaf is per second; the window is longer because requests take different times to reach the leaf.
COLD_WINDOW_S = 1.1
MAX_REMOVED_LEAVES = 4_096


@dataclass(frozen=True, slots=True)
class LeafEntry:
    """Entry that a leaf writes to the platform's store; born_ms identifies its incarnation."""

    id: UpstreamId
    service: ServiceName
    address: str
    domain: DomainName
    version: VersionName
    slots: int
    is_ready: bool
    cold_ms: int
    born_ms: int
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class InFlightRequest:
    """Start time of a request to a leaf and the median latency of its route, to detect a stalled leaf."""

    started_s: float
    median_latency_s: float


@dataclass(eq=False, slots=True)
class Leaf:
    """One incarnation of a leaf: its connections, requests in flight and recent latencies and failures."""

    entry: LeafEntry
    cold_until_s: float = 0.0
    idle: list[HttpConnection] = field(default_factory=list)
    connections: int = 0
    # Requests in flight, oldest first.
    in_flight: dict[object, InFlightRequest] = field(default_factory=dict)
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    last_observed_s: float = -inf
    last_reply_s: float = -inf
    backoff_until_s: float = -inf
    backoffs: int = 0
    usable: bool = True
    notices: LeafNotices = field(default_factory=LeafNotices)
    # Times within COLD_WINDOW_S at which this host sent a request to the leaf while it was cold. A list, because it is
    # short and each host has all leaves: an empty deque takes ten times the memory.
    cold_sent_s: list[float] = field(default_factory=list)
    # What other hosts have told of the leaf; None without any, which is the usual case.
    others: OtherViews | None = None

    def record_success(self, ratio: float, now_s: float) -> None:
        """Record a reply that took ratio times the median latency of its route."""
        self._observe(min(ratio, MAX_LATENCY_RATIO), 0.0, now_s)
        self.last_reply_s = now_s
        self.backoffs = 0
        self.backoff_until_s = -inf

    def record_failure(self, now_s: float) -> None:
        """Record a failure reported by the leaf or its connection."""
        self._observe(1.0 + (self.latency_ratio - 1.0) * self._decay(now_s), 1.0, now_s)

    def record_unreachable(self, now_s: float) -> None:
        """Record that the leaf refused a connection or did not reply, and start a backoff."""
        self.record_failure(now_s)
        if now_s < self.backoff_until_s:
            return
        backoff_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**self.backoffs)
        self.backoffs += 1
        self.backoff_until_s = now_s + backoff_s * random.uniform(0.8, 1.2)

    def is_suspect(self, now_s: float) -> bool:
        """Return whether the leaf is backing off or stalled, so that a request to it should be hedged early."""
        return self.backoffs > 0 or self.stalled_s(now_s) > 0.0

    def is_reported_stalled(self, now_s: float) -> bool:
        """Return whether another host sees the leaf stalled, and this host has had no newer reply."""
        return self.others is not None and self.others.is_stalled(now_s, self.last_reply_s)

    def others_in_flight(self, now_s: float) -> int | None:
        """Return the requests of other hosts in flight at this leaf by fresh reports, None when nothing is known."""
        return None if self.others is None else self.others.in_flight(now_s)

    def current_latency_ratio(self, now_s: float) -> float:
        """Return the latency ratio with the decay since the last observation."""
        return 1.0 + (self.latency_ratio - 1.0) * self._decay(now_s)

    def current_failure_rate(self, now_s: float) -> float:
        """Return the failure rate with the decay since the last observation."""
        return self.failure_rate * self._decay(now_s)

    def stalled_s(self, now_s: float) -> float:
        """Return for how long the leaf has been silent if it is stalled, or 0."""
        # Counts from the last reply, because a reply to a later request shows that one request is slow, not the leaf.
        for expected in self.in_flight.values():
            silent_s = now_s - max(expected.started_s, self.last_reply_s)
            if silent_s > max(MIN_STALL_S, expected.median_latency_s * STALL_FACTOR):
                return silent_s
        return 0.0

    def cost(self, now_s: float, domain: DomainName) -> float:
        """Return the expected latency in units of the median latency; the leaf with the lowest cost is chosen."""
        decay = self._decay(now_s)
        latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay
        cost = 1.0 + len(self.in_flight) / self.entry.slots
        if latency_ratio > LATENCY_RATIO_THRESHOLD:
            cost *= latency_ratio
        if now_s < self.cold_until_s:
            cost *= COLD_FACTOR
        if self.in_flight and self.stalled_s(now_s) > 0.0:
            cost += STALL_COST
        if now_s < self.backoff_until_s:
            cost += BACKOFF_COST
        if self.entry.domain != domain:
            cost += OTHER_DOMAIN_COST
        if self.others is not None:
            cost += self.others.added_cost(
                now_s, self.entry.slots, self.last_reply_s, self.last_observed_s, latency_ratio
            )
        return cost + FAILURE_COST * self.failure_rate * decay

    def exclusion(self, now_s: float) -> Exclusion | None:
        """Return why the leaf itself rules out a request now, or None."""
        if not self.usable:
            return Exclusion.MISDIRECTED
        if not self.entry.is_ready:
            return Exclusion.DRAINING
        return self.notices.exclusion(now_s, self._in_flight_since(self.notices.held_until_s))

    def close(self) -> None:
        """Close idle connections; connections in use are closed when their exchange ends."""
        self.usable = False
        for connection in list(self.idle):
            connection.close()

    def _in_flight_since(self, time_s: float) -> int:
        if not self.notices.replies_left:
            return 0
        return sum(request.started_s >= time_s for request in self.in_flight.values())

    def _observe(self, latency_ratio: float, failure_rate: float, now_s: float) -> None:
        kept = (1 - EWMA_WEIGHT) * self._decay(now_s)
        self.latency_ratio = 1.0 + (self.latency_ratio - 1.0) * kept + EWMA_WEIGHT * (latency_ratio - 1.0)
        self.failure_rate = self.failure_rate * kept + EWMA_WEIGHT * failure_rate
        self.last_observed_s = now_s

    def _decay(self, now_s: float) -> float:
        """Return the weight that the observations so far have now."""
        return exp((self.last_observed_s - now_s) / OBSERVATION_DECAY_S)


class HostShares(Protocol):
    """What a leaf table needs of the host list to divide the limits of a leaf among hosts."""

    def count(self) -> int:
        """Return the number of hosts that may be sending to leaves."""

    def rank(self, key: str) -> int:
        """Return the rank of this host for a key, 0 for the first; hosts with equal lists compute the same ranking."""


class LeafTable:
    """Leaves of all services; selects the leaf for each request within the limits that hosts share."""

    def __init__(
        self,
        domain: DomainName,
        hosts: HostShares,
        clock: Callable[[], float],
        *,
        cold_factor: float = 1.0,
        cold_slack: float = 0.0,
    ) -> None:
        self._domain = domain
        self._hosts = hosts
        self._clock = clock
        self._cold_factor = cold_factor
        self._cold_slack = cold_slack
        self._leaves: dict[UpstreamId, Leaf] = {}
        # Leaves that were removed after they had said something of themselves. The entry of an incarnation may be
        # written again after an outage of the store.
        self._removed: dict[UpstreamId, Leaf] = {}
        self._by_service: dict[ServiceName, list[Leaf]] = {}
        self._evacuated: frozenset[DomainName] = frozenset()
        self._limits: dict[ServiceName, ServiceLimits] = {}

    def __len__(self) -> int:
        return len(self._leaves)

    def __iter__(self) -> Iterator[Leaf]:
        return iter(self._leaves.values())

    def put(self, entry: LeafEntry) -> None:
        """Add a leaf or update its entry; a new incarnation starts without the history of the old one."""
        known = self._leaves.get(entry.id)
        if known is not None and _is_same_incarnation(known.entry, entry):
            known.entry = entry
            known.usable = True
        else:
            self.remove(entry.id)
            known = Leaf(entry)
            self._leaves[entry.id] = known
            removed = self._removed.pop(entry.id, None)
            if removed is not None and _is_same_incarnation(removed.entry, entry):
                known.notices = removed.notices
        if entry.cold_ms > 0:
            known.cold_until_s = self._clock() + entry.cold_ms / 1_000
        self._update_index(known, entry.is_ready)

    def remove(self, leaf_id: UpstreamId) -> None:
        """Remove a leaf, so that it gets no more requests."""
        leaf = self._leaves.pop(leaf_id, None)
        if leaf is None:
            return
        leaf.close()
        if leaf.notices.is_leaving or self._clock() < leaf.notices.held_until_s:
            self._removed[leaf_id] = leaf
            if len(self._removed) > MAX_REMOVED_LEAVES:
                del self._removed[next(iter(self._removed))]
        self._update_index(leaf, is_listed=False)

    def evacuate(self, domains: Iterable[DomainName]) -> None:
        """Replace the set of failure domains whose leaves get no requests."""
        self._evacuated = frozenset(domains)

    def set_cold_bounds(self, factor: float, slack: float) -> None:
        """Set the factor and the slack by which the request rate of a cold leaf may exceed its configured rate."""
        self._cold_factor = factor
        self._cold_slack = slack

    def set_limits(self, limits: dict[ServiceName, ServiceLimits]) -> None:
        """Replace the limits of the services."""
        self._limits = limits

    def choose(
        self, service: ServiceName, excluded: Collection[Leaf] = (), rule: VersionRule | None = None
    ) -> Leaf | None:
        """Return the leaf with the lowest expected latency that may get a request now, or None."""
        now_s = self._clock()
        best, best_cost = None, inf
        for leaf in self._by_service.get(service, ()):
            if leaf in excluded or self.exclusion(leaf, now_s) is not None:
                continue
            if rule is not None and not rule.allows(leaf.entry.version):
                continue
            if not leaf.idle and leaf.connections >= self.connection_limit(service):
                continue
            if now_s < leaf.cold_until_s and not self._may_send_to_cold(leaf, now_s):
                continue
            cost = leaf.cost(now_s, self._domain) + random.random() * RANDOM_COST
            if cost < best_cost:
                best, best_cost = leaf, cost
        if best is not None and now_s < best.cold_until_s:
            best.cold_sent_s.append(now_s)
        return best

    def exclusion(self, leaf: Leaf, now_s: float) -> Exclusion | None:
        """Return why a leaf may get no request now, or None; limits on connections and cold leaves come on top."""
        if leaf.entry.domain in self._evacuated:
            return Exclusion.EVACUATED
        return leaf.exclusion(now_s)

    def available_s(self, service: ServiceName, now_s: float, rule: VersionRule | None = None) -> float:
        """Return when the first leaf of a service that the version rule allows may be asked; inf if there is none."""
        first_s = inf
        for leaf in self._by_service.get(service, ()):
            if rule is not None and not rule.allows(leaf.entry.version):
                continue
            match self.exclusion(leaf, now_s):
                case None | Exclusion.RETURNING:
                    return now_s
                case Exclusion.HELD:
                    first_s = min(first_s, leaf.notices.held_until_s)
        return first_s

    def count_excluded(self, reason: Exclusion) -> int:
        """Return the number of leaves that may get no request now for a reason."""
        now_s = self._clock()
        return sum(self.exclusion(leaf, now_s) is reason for leaf in self._leaves.values())

    def listed(self, service: ServiceName) -> Sequence[Leaf]:
        """Return the leaves of a service that are ready."""
        return self._by_service.get(service, ())

    def versions(self, service: ServiceName) -> set[VersionName]:
        """Return the versions of the leaves of a service that are ready and have not said that they leave."""
        leaves = self._by_service.get(service, ())
        return {leaf.entry.version for leaf in leaves if not leaf.notices.is_leaving}

    def connection_limit(self, service: ServiceName) -> int:
        """Return the number of connections that this host may have to each leaf of a service."""
        limits = self._limits.get(service)
        if limits is None:
            return MIN_CONNECTIONS
        return max(MIN_CONNECTIONS, int(limits.max_connections * CONNECTION_SHARE / max(1, self._hosts.count())))

    def _may_send_to_cold(self, leaf: Leaf, now_s: float) -> bool:
        """Return whether this host may send one more request to a cold leaf.

        If the limit in requests per second is lower than the number of hosts, only the first hosts in the ranking of
        the leaf may send any.
        """
        limits = self._limits.get(leaf.entry.service)
        if limits is None or limits.cold_requests_per_s <= 0:
            return True
        common = int(limits.cold_requests_per_s * self._cold_factor + self._cold_slack)
        hosts = max(1, self._hosts.count())
        if hosts > common and self._hosts.rank(leaf.entry.id) >= common:
            return False
        while leaf.cold_sent_s and leaf.cold_sent_s[0] <= now_s - COLD_WINDOW_S:
            del leaf.cold_sent_s[0]
        return len(leaf.cold_sent_s) < max(1, common // hosts)

    def _update_index(self, leaf: Leaf, is_listed: bool) -> None:
        service = leaf.entry.service
        leaves = self._by_service.setdefault(service, [])
        if leaf in leaves and not is_listed:
            leaves.remove(leaf)
        elif leaf not in leaves and is_listed:
            leaves.append(leaf)
        if not leaves:
            del self._by_service[service]


def _is_same_incarnation(old: LeafEntry, new: LeafEntry) -> bool:
    return (old.born_ms, old.address, old.service) == (new.born_ms, new.address, new.service)
