"""Operators' orders in the platform's store to move a service to another version."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Annotated, Protocol

import msgspec

from hawthornbridge.acceptance import ChangeAccepted, ChangeConflict, ChangeNotAccepted, ChangeOutcome, ChangeUncertain
from hawthornbridge.ids import ClassName, Generation, OperationId, ServiceName, VersionName
from hawthornbridge.model import (
    Catalogue,
    Change,
    ClassLimits,
    PutRollout,
    Rollout,
    RolloutState,
    Route,
    Service,
)
from hawthornbridge.routing import RoutingState
from hawthornbridge.store import (
    ABSENT,
    FIRST_ERA,
    Ambiguous,
    Applied,
    Conflict,
    Key,
    LeaseId,
    Revision,
    Unavailable,
    WriteOutcome,
)

__all__ = [
    "PROGRESS_PREFIX",
    "STEPS",
    "TRIAL_SHARE",
    "OrderLog",
    "OrderedRollout",
    "RolloutOrder",
    "RolloutProgress",
    "StatusEncoder",
    "TransactionStore",
]

PROGRESS_PREFIX = "rollouts/"
# The share of a new version in its trial step; versionsplit.py also limits the number of its requests.
TRIAL_SHARE = 0.35
MIN_TRIAL_SHARE = 0.05
# At the third step an eighth of the requests stays on the old version, for comparison: without these requests, a
# machine or a fleet that slows down at that time would count against the new version.
STEPS = (TRIAL_SHARE, 0.3, 0.875, 1.0)
# Nearly half of the time goes to the trial. The last step gives running requests on the old version time to end before
# the rollout is done, because the old leaves then stop without draining.
STEP_END_FRACTIONS = (0.42, 0.53, 0.8, 0.9)
MIN_STEP_FRACTION = 0.08
MIN_DURATION_S = 1.0


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a service's traffic to a version within a time, if the version is good.

    key and revision are those of the order in the store; an order that is written again is a new order, but for one
    that its operator writes again after a return of the store from a copy. origin is its first revision (ABSENT: the
    present one).
    """

    service: ServiceName
    version: VersionName
    duration_s: float
    key: Key
    revision: Revision = ABSENT
    origin: Revision = ABSENT

    @property
    def first_revision(self) -> Revision:
        """Return the revision at which the order was first written."""
        return self.origin or self.revision

    def is_repeated_by(self, other: "RolloutOrder") -> bool:
        """Return whether another order is this one, written again in a later era of the store."""
        return other.revision.era > self.revision.era and (other.version, other.duration_s) == (
            self.version,
            self.duration_s,
        )

    def at(self, revision: Revision) -> "RolloutOrder":
        """Return the order with the revision at which the store holds it."""
        return replace(self, revision=revision)


class RolloutProgress(msgspec.Struct, frozen=True):
    """The progress of an order, written only by the decider, under the revision that the decider has read.

    generation counts the writes, because the revision that the store gives to one key of a transaction is not known
    before the key is read. age_ms is the time since the order, when the record was written. order and era are the
    revision of the order, origin and origin_era its first one (0: the same); hosts of builds without eras write 0.
    """

    order: int
    generation: Generation
    state: RolloutState
    step: Annotated[int, msgspec.Meta(ge=0)] = 0
    reason: str = ""
    decider: str = ""
    age_ms: int = 0
    era: int = 0
    origin: int = 0
    origin_era: int = 0

    @property
    def first_revision(self) -> Revision:
        """Return the revision at which the order was first written."""
        return Revision(self.origin, self.origin_era) if self.origin else Revision(self.order, self.era)

    def is_of(self, order: RolloutOrder) -> bool:
        """Return whether this is the progress of an order."""
        if self.order == order.revision.number and self.era in (0, order.revision.era):
            return True
        return bool(self.era) and self.first_revision == order.first_revision


class OrderedRollout(Rollout, frozen=True, kw_only=True):
    """The rollout of an order; started_ms and finish_by_ms are on this host's own clock."""

    order: RolloutOrder

    @property
    def id(self) -> str:
        """Return the identifier under which hosts merge evidence, the same on all hosts."""
        first = self.order.first_revision
        # Builds without eras name orders by the number alone.
        era_text = f"{first.era}." if first.era > FIRST_ERA else ""
        return f"{self.service}:{self.new}:{era_text}{first.number}"

    @property
    def judged_steps(self) -> range:
        """Return all steps up to the present one: an order's time is too short for judging each on its own."""
        return range(self.step + 1)

    @property
    def step_end_fraction(self) -> float:
        """Return the fraction of the order's time after which the present step may end."""
        return STEP_END_FRACTIONS[self.step]

    @property
    def minimum_step_s(self) -> float:
        """Return the minimum duration of each step, so that a step that begins late is judged as well."""
        return self.order.duration_s * MIN_STEP_FRACTION

    @property
    def minimum_share(self) -> float:
        """Return the minimum share of all requests since the order that reaches the new version."""
        return min(self.share, MIN_TRIAL_SHARE)


class TransactionStore(Protocol):
    """Interface for writing several keys in one transaction."""

    async def transact(
        self, expected: Mapping[Key, Revision], puts: Mapping[Key, bytes], lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write all keys if every expected key is at its revision (ABSENT: has no value)."""


StatusEncoder = Callable[[ServiceName, VersionName, RolloutState], tuple[Key, bytes]]

_encode = msgspec.json.Encoder().encode


class OrderLog:
    """The rollouts of the orders in the store, and the interface that records the decider's moves there.

    The decider and Rollouts read this log in place of the project's own configuration.
    """

    def __init__(self, store: TransactionStore, encode_status: StatusEncoder, now_ms: Callable[[], int]) -> None:
        self.catalogue = Catalogue()
        self._store = store
        self._encode_status = encode_status
        self._now_ms = now_ms
        self._orders: dict[ServiceName, RolloutOrder] = {}
        self._seen_ms: dict[RolloutOrder, int] = {}
        self._progress: dict[ServiceName, tuple[RolloutProgress, Revision]] = {}
        self._routing: RoutingState | None = None
        # The last order of each service that is no longer in the store, and when it was first seen.
        self._removed: dict[ServiceName, tuple[RolloutOrder, int]] = {}

    def put_order(self, order: RolloutOrder) -> None:
        """Add a new order, which replaces an earlier one for the same service."""
        known = self._orders.get(order.service)
        last, seen_ms = self._removed.pop(order.service, (known, 0))
        if known is not None:
            last, seen_ms = known, self._seen_ms[known]
        if last is not None and last.is_repeated_by(order):
            order = replace(order, origin=last.first_revision)
            self._seen_ms[order] = seen_ms
        order = self._with_origin(order)
        self._orders[order.service] = order
        self._seen_ms = {each: self._seen_ms.get(each, self._now_ms()) for each in self._orders.values()}
        progress, _ = self._progress.get(order.service, (None, ABSENT))
        if progress is not None and progress.is_of(order):
            self._put_age(order, progress.age_ms)
        self._rebuild()

    def remove_order(self, service: ServiceName) -> None:
        """Drop an order that is no longer in the store."""
        order = self._orders.pop(service, None)
        if order is not None:
            self._removed[service] = (order, self._seen_ms[order])
        self._rebuild()

    def put_progress(self, service: ServiceName, progress: RolloutProgress, revision: Revision) -> None:
        """Apply a progress record from the store; an older record is ignored."""
        known = self._progress.get(service)
        if known is not None and known[0].generation > progress.generation:
            return
        self._progress[service] = (progress, revision)
        known_order = self._orders.get(service)
        if known_order is not None and progress.is_of(known_order):
            order = self._with_origin(known_order)
            self._seen_ms[order] = self._seen_ms.pop(known_order)
            self._orders[service] = order
            self._put_age(order, progress.age_ms)
        self._rebuild()

    def set_stored_revisions(self, revision_of: Callable[[Key], Revision]) -> None:
        """Take the revisions at which the store holds progress after a return from an older copy."""
        for service, (progress, _) in self._progress.items():
            self._progress[service] = (progress, revision_of(Key(PROGRESS_PREFIX + service)))

    def forgotten(self, is_stored: Callable[[Key], bool]) -> list[Rollout]:
        """Return the rollouts whose progress the store has lost or holds in an older state."""
        return [
            rollout
            for service, rollout in self.catalogue.rollouts.items()
            if service in self._progress
            and self._progress[service][0].is_of(self._orders[service])
            and not is_stored(Key(PROGRESS_PREFIX + service))
        ]

    def put_age(self, rollout_id: str, age_ms: int) -> None:
        """Apply the time since an order as another host counts it.

        Hosts count from the moment at which they first see an order, and a host that has restarted sees it later.
        """
        for order in self._orders.values():
            rollout = self.catalogue.rollouts[order.service]
            if rollout.id == rollout_id and self._put_age(order, age_ms):
                self._rebuild()

    def age_ms(self, rollout_id: str) -> int:
        """Return the time since the order of a rollout, or 0 if there is no such order."""
        for order in self._orders.values():
            if self.catalogue.rollouts[order.service].id == rollout_id:
                return self._now_ms() - self._seen_ms[order]
        return 0

    def remove_progress(self, service: ServiceName) -> None:
        """Drop a progress record that is no longer in the store."""
        self._progress.pop(service, None)
        self._rebuild()

    def set_routes(self, state: RoutingState) -> None:
        """Set the routes of each service; the false-alarm rate is divided among them."""
        self._routing = state
        if self._orders:
            self._rebuild()

    async def propose(
        self, change: Change, expected: Generation, operation_id: OperationId, *, force: bool = False
    ) -> ChangeOutcome:
        """Record a move and its status in one transaction, if neither the order nor its progress has changed since."""
        assert isinstance(change, PutRollout)
        rollout = change.rollout
        assert isinstance(rollout, OrderedRollout)
        order = rollout.order
        known, revision = self._progress.get(rollout.service, (None, ABSENT))
        generation = Generation(0) if known is None else known.generation
        # The decider goes through a list of rollouts, and an order may be replaced or withdrawn meanwhile.
        if generation != expected or self._orders.get(rollout.service) != order:
            return ChangeConflict(generation, None)
        progress = RolloutProgress(
            order.revision.number,
            Generation(generation + 1),
            rollout.state,
            rollout.step,
            rollout.reason,
            rollout.decider,
            self._now_ms() - self._seen_ms[order],
            order.revision.era,
            order.origin.number,
            order.origin.era,
        )
        key = Key(PROGRESS_PREFIX + rollout.service)
        status_key, status = self._encode_status(rollout.service, rollout.new, rollout.state)
        outcome = await self._store.transact(
            {key: revision, order.key: order.revision}, {key: _encode(progress), status_key: status}
        )
        match outcome:
            case Applied(written):
                self.put_progress(rollout.service, progress, written)
                return ChangeAccepted(progress.generation, repeated=False, forced=False)
            case Conflict():
                return ChangeConflict(generation, None)
            case Unavailable(detail):
                return ChangeNotAccepted(detail)
            case Ambiguous(detail):
                return ChangeUncertain(detail)

    def _with_origin(self, order: RolloutOrder) -> RolloutOrder:
        """Return the order with the first revision that its progress names, which a host that has started lacks."""
        progress, _ = self._progress.get(order.service, (None, ABSENT))
        if progress is None or not progress.origin or not progress.is_of(order):
            return order
        return replace(order, origin=progress.first_revision)

    def _put_age(self, order: RolloutOrder, age_ms: int) -> bool:
        seen_ms = self._now_ms() - age_ms
        if seen_ms >= self._seen_ms[order]:
            return False
        self._seen_ms[order] = seen_ms
        return True

    def _rebuild(self) -> None:
        self.catalogue = Catalogue(
            services={name: self._service(name) for name in self._orders},
            rollouts={name: self._rollout(order) for name, order in self._orders.items()},
        )

    def _service(self, name: ServiceName) -> Service:
        routes = () if self._routing is None else tuple(self._routing.routes_to(name))
        return Service(
            name=name,
            routes=tuple(Route(route.name, route.idempotent) for route in routes),
            classes=(ClassLimits(ClassName("default")),),
            version=VersionName(""),
        )

    def _rollout(self, order: RolloutOrder) -> OrderedRollout:
        known, _ = self._progress.get(order.service, (None, ABSENT))
        generation = Generation(0) if known is None else known.generation
        progress = known
        if progress is None or not progress.is_of(order):
            progress = RolloutProgress(order.revision.number, generation, RolloutState.RUNNING)
        started_ms = self._seen_ms[order]
        return OrderedRollout(
            generation=generation,
            service=order.service,
            old=VersionName(""),
            new=order.version,
            steps=STEPS,
            started_ms=started_ms,
            finish_by_ms=started_ms + int(max(MIN_DURATION_S, order.duration_s) * 1_000),
            step=min(progress.step, len(STEPS) - 1),
            state=progress.state,
            reason=progress.reason,
            decider=progress.decider,
            order=order,
        )
