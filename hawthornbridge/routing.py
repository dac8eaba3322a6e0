"""Routes from callers' requests to services, as defined by one version of the configuration."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from hawthornbridge.callerlimits import CallerLimits
from hawthornbridge.ids import RouteName, ServiceName
from hawthornbridge.teams import TeamIndex

__all__ = ["Forward", "Gather", "Route", "RoutingState", "ServiceLimits", "Splitter", "WeightedService"]


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Service with its weight in a traffic split."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Forward:
    """Send each request to one leaf of one of these services."""

    targets: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class Gather:
    """Send each request to one leaf of every shard and merge the greatest records."""

    shards: tuple[ServiceName, ...]
    top: int
    min_coverage: float


Plan: TypeAlias = Forward | Gather


@dataclass(frozen=True, slots=True)
class Route:
    """Route of the requests for one host name and path prefix."""

    name: RouteName
    host: str
    prefix: bytes
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_leaves: int
    plan: Plan
    # Requests need no key, also where the configuration names teams.
    is_anonymous: bool = False
    priority: int = 0

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that the route may use."""
        match self.plan:
            case Forward(targets):
                return tuple(target.service for target in targets)
            case Gather(shards):
                return shards


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits of each leaf of a service, which all hosts together stay within."""

    max_connections: int
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True)
class RoutingState:
    """One version of the configuration; immutable, so that each request uses a single version."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, ServiceLimits]
    # None where callers need no keys.
    teams: TeamIndex | None = None
    callers: CallerLimits = field(default_factory=CallerLimits)
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False, default_factory=dict)

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def service_names(self) -> Iterable[ServiceName]:
        """Return the names of all services that a route uses."""
        for route in self.routes:
            yield from route.services()

    def routes_to(self, service: ServiceName) -> Iterable[Route]:
        """Return the routes that use a service."""
        return (route for route in self.routes if service in route.services())


class Splitter:
    """Distributes the requests of each route over its services in proportion to their weights.

    Smooth weighted round-robin keeps the count of each service within one request of its weight; a random initial
    state prevents hosts from choosing the same services at the same time.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._random = rng or random.Random()
        self._credit: dict[tuple[RouteName, tuple[WeightedService, ...]], list[float]] = {}

    def choose(self, route: Route, plan: Forward) -> ServiceName:
        """Return the service that gets the next request."""
        targets = plan.targets
        if len(targets) == 1:
            return targets[0].service
        total = sum(target.weight for target in targets)
        key = (route.name, targets)
        credit = self._credit.get(key)
        if credit is None:
            credit = self._credit[key] = [self._random.uniform(0, target.weight) for target in targets]
        for index, target in enumerate(targets):
            credit[index] += target.weight
        chosen = max(range(len(targets)), key=credit.__getitem__)
        credit[chosen] -= total
        return targets[chosen].service

    def keep_only(self, routes: Iterable[Route]) -> None:
        """Drop the state of splits that are not in the configuration."""
        names = {(route.name, route.plan.targets) for route in routes if isinstance(route.plan, Forward)}
        for key in self._credit.keys() - names:
            del self._credit[key]
