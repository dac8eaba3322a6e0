"""Choice of the version that answers a query while a service moves to another version."""

from collections.abc import Callable

from hawthornbridge.ids import RouteName, ServiceName, VersionName
from hawthornbridge.model import Catalogue, RolloutState, Service

__all__ = ["QueryVersions", "ShareOf"]

# Rounding errors may leave the sum of many shares just below a whole query.
CREDIT_TOLERANCE = 1e-9

ShareOf = Callable[[ServiceName], float]


class QueryVersions:
    """Distribute the queries of each route over the old and the new version of its service."""

    def __init__(self, catalogue: Callable[[], Catalogue], share_of: ShareOf | None = None) -> None:
        """Create a choice with the shares of the catalogue, or with those of share_of."""
        self._catalogue = catalogue
        self._share_of = share_of or self._configured_share
        self._credits: dict[tuple[ServiceName, RouteName], float] = {}

    def choose(self, catalogue: Catalogue, service: Service, route: RouteName) -> tuple[VersionName, ...]:
        """Return the version of a query, followed by the old version as fallback if the query takes the new one."""
        rollout = catalogue.rollouts.get(service.name)
        if rollout is None:
            return (service.version,)
        finished = rollout.state in (RolloutState.DONE, RolloutState.ROLLED_BACK)
        if finished and service.version not in (rollout.old, rollout.new):
            return (service.version,)
        # Carrying the credit from query to query keeps the new version's fraction of a route's queries within the
        # share at every point in time; independent random draws would exceed it occasionally.
        credit = self._credits.get((service.name, route), 0.0) + self._share_of(service.name)
        takes_new = credit >= 1.0 - CREDIT_TOLERANCE
        self._credits[service.name, route] = credit - 1.0 if takes_new else credit
        return (rollout.new, rollout.old) if takes_new else (rollout.old,)

    def _configured_share(self, service: ServiceName) -> float:
        rollout = self._catalogue().rollouts.get(service)
        return rollout.share if rollout is not None else 0.0
