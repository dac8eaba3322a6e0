"""Rollouts on one host: the share in force, the joined evidence, and the cut that needs no agreement."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from hawthornbridge.events import Event, emit
from hawthornbridge.evidence import EvidenceBoard, RolloutEvidence, Sample, Tally, TallyKey
from hawthornbridge.ids import HostId, Incarnation, RouteName, ServiceName, VersionName
from hawthornbridge.model import Catalogue, Rollout
from hawthornbridge.sequential import Comparison, SequentialTest, log_evidence

__all__ = ["Rollouts", "Verdict"]

EVALUATION_INTERVAL_S = 0.5

# The probability that a rollout of a version that is no worse than tolerated is cut by any host.
FALSE_ALARM_RATE = 0.005
SIGNALS = 2

# A host that has just started may not know of a cut yet; it sends nothing to the new version for this long.
START_GRACE_S = 2.0

# Requests of a step that the new version must have served, over all hosts and routes, before it counts as judged.
JUDGED_REQUESTS = 100

# Requests of the old version in one comparison; fewer say little of how often it does badly.
COMPARED_REQUESTS = 10

# Evidence of at least this e-value holds a rollout at its step: too little to cut, too much to go on.
SUSPICION = math.log(10.0)

# Evidence of at least this e-value from requests of the same time lets the old version's earlier latency count too. It
# rules out a slower fleet, and the few requests left on the old version need not show more.
SUPPORT = math.log(3.0)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Say what the joined evidence on a rollout's present step allows."""

    judged: bool
    suspicious: bool
    cut: str | None


@dataclass
class _Judgement:
    """Hold the tests of one rollout and the totals that they have seen."""

    alpha: float
    tests: dict[tuple[RouteName, str], SequentialTest] = field(default_factory=dict)
    seen: dict[TallyKey, Tally] = field(default_factory=dict)
    # What the versions have served, new and old, since the last comparison.
    pending: dict[RouteName, tuple[Tally, Tally]] = field(default_factory=dict)
    # What the new version has served, route by route, since the old one last served anything.
    alone: dict[RouteName, Tally] = field(default_factory=dict)

    def update(self, totals: dict[TallyKey, Tally]) -> None:
        """Feed the growth since the last call to the tests, route by route."""
        growth = {key: tally - self.seen.get(key, Tally()) for key, tally in totals.items()}
        self.seen = totals
        for route in {key.route for key in growth}:
            new = sum((grown for key, grown in growth.items() if key.route == route and key.is_new), Tally())
            old = sum((grown for key, grown in growth.items() if key.route == route and not key.is_new), Tally())
            if old.requests:
                self.alone.pop(route, None)
                self._compare(route, new, old)
            elif new.requests:
                self._compare_with_past(route, new)

    def _compare(self, route: RouteName, new: Tally, old: Tally) -> None:
        before = self.pending.pop(route, (Tally(), Tally()))
        new, old = before[0] + new, before[1] + old
        if old.requests < COMPARED_REQUESTS:
            self.pending[route] = (new, old)
            return
        self._test(route, "failing").update(_failures(new, old))
        self._test(route, "slow").update(_slowness(new, old))

    def _compare_with_past(self, route: RouteName, new: Tally) -> None:
        # With all traffic on the new version nothing shows how the old one does now. Failures are rare on a sound
        # version at any time; latency is not compared, since the machines may just have become slower.
        left, _ = self.pending.pop(route, (Tally(), Tally()))
        alone = self.alone[route] = self.alone.get(route, Tally()) + left + new
        past = self._sum(route, sorted({key.step for key in self.seen}), is_new=False)
        self._test(route, "failing").look(log_evidence([_failures(alone, past)]))

    def look_at_totals(self) -> None:
        """Compare what both versions have served since each step, route by route.

        Earlier steps hide a version that turned bad, or that bears the share of a later step badly.
        """
        steps = sorted({key.step for key in self.seen})
        for route in {key.route for key in self.seen}:
            past = self._sum(route, steps, is_new=False)
            for first in steps:
                since = [step for step in steps if step >= first]
                new = self._sum(route, since, is_new=True)
                self._test(route, f"failing since step {first}").look(log_evidence([_failures(new, past)]))
                self._test(route, f"slow since step {first}").look(self._slow_evidence(route, since, new, past))

    def _slow_evidence(self, route: RouteName, steps: list[int], new: Tally, past: Tally) -> float:
        # Latency is compared within each step only, since the whole fleet may have become slower between them.
        found = log_evidence(
            _slowness(self._sum(route, [step], is_new=True), self._sum(route, [step], is_new=False)) for step in steps
        )
        return max(found, log_evidence([_slowness(new, past)])) if found >= SUPPORT else found

    def _sum(self, route: RouteName, steps: list[int], *, is_new: bool) -> Tally:
        """Return what a version has served on a route at some steps."""
        tallies = (self.seen.get(TallyKey(step, route, is_new), Tally()) for step in steps)
        return sum(tallies, Tally())

    def worst(self) -> tuple[float, str]:
        """Return the strongest evidence and what it says."""
        found = [(test.log_evidence, f"{signal} on route {route}") for (route, signal), test in self.tests.items()]
        return max(found, default=(-math.inf, ""))

    def rejected(self) -> str | None:
        """Return what the new version does worse, or None."""
        return next(
            (f"{signal} on route {route}" for (route, signal), test in self.tests.items() if test.rejected), None
        )

    def _test(self, route: RouteName, signal: str) -> SequentialTest:
        return self.tests.setdefault((route, signal), SequentialTest(self.alpha))


class Rollouts:
    """Count, join and judge the evidence on every running rollout, and cut a bad version at once."""

    def __init__(
        self,
        catalogue: Callable[[], Catalogue],
        publish: Callable[[RolloutEvidence], None],
        host: HostId,
        incarnation: Incarnation,
        seats: int,
        *,
        judged_requests: int = JUDGED_REQUESTS,
        false_alarm_rate: float = FALSE_ALARM_RATE,
        judges_totals: bool = False,
    ) -> None:
        self._catalogue = catalogue
        self._judged_requests = judged_requests
        self._false_alarm_rate = false_alarm_rate
        # With few requests, single intervals say too little; their totals show a version that is bad from the start.
        self._judges_totals = judges_totals
        self._publish = publish
        self._seats = seats
        self._board = EvidenceBoard(host, incarnation)
        self._judgements: dict[str, _Judgement] = {}
        self._cuts: dict[str, str] = {}
        self._started_s = anyio.current_time()

    def share_of(self, service: ServiceName) -> float:
        """Return the share of a service's queries that the new version gets on this host now."""
        rollout = self._catalogue().rollouts.get(service)
        if rollout is None:
            return 0.0
        if not rollout.is_open:
            return rollout.share
        if rollout.id in self._cuts or anyio.current_time() - self._started_s < START_GRACE_S:
            return 0.0
        return rollout.share

    def record(
        self,
        service: ServiceName,
        route: RouteName,
        version: VersionName,
        latency_s: float,
        failed: bool,
        *,
        slow: bool | None = None,
    ) -> None:
        """Count how one query went on its version; slow is set if the latency has been judged already."""
        rollout = self._catalogue().rollouts.get(service)
        if rollout is None or not rollout.moves(version) or not rollout.is_open:
            return
        self._board.record(rollout, Sample(route, version == rollout.new, latency_s, failed, slow))

    def on_evidence(self, evidence: RolloutEvidence) -> None:
        """Join another host's evidence on an open rollout, and cut what it has cut."""
        if not any(rollout.id == evidence.rollout for rollout in self._open()):
            return
        self._board.merge(evidence)
        if evidence.cut is not None:
            self._cut(evidence.rollout, evidence.cut)

    def cut_by_operator(self, rollout: Rollout, reason: str) -> None:
        """Cut a rollout at an operator's word, before the configuration says so."""
        self._cut(rollout.id, reason)

    def verdict(self, rollout: Rollout) -> Verdict:
        """Return what the evidence on the rollout's present step allows."""
        judgement = self._judgements.get(rollout.id)
        evidence, _ = judgement.worst() if judgement else (-math.inf, "")
        return Verdict(
            judged=self._is_judged(rollout), suspicious=evidence >= SUSPICION, cut=self._cuts.get(rollout.id)
        )

    async def run(self, interval_s: float = EVALUATION_INTERVAL_S) -> None:
        """Judge and publish until cancelled."""
        while True:
            self.evaluate()
            await anyio.sleep(interval_s)

    def evaluate(self) -> None:
        """Judge every open rollout once, cut the bad ones and publish this host's evidence."""
        rollouts = self._open()
        open_ids = {rollout.id for rollout in rollouts}
        self._board.retain(open_ids)
        self._judgements = {key: value for key, value in self._judgements.items() if key in open_ids}
        self._cuts = {key: value for key, value in self._cuts.items() if key in open_ids}
        for rollout in rollouts:
            self._judge(rollout)
            self._publish(self._board.own(rollout.id, self._cuts.get(rollout.id)))

    def _open(self) -> list[Rollout]:
        return [rollout for rollout in self._catalogue().rollouts.values() if rollout.is_open]

    def _judge(self, rollout: Rollout) -> None:
        service = self._catalogue().services[rollout.service]
        # The rate is shared by every test of every host, since any of them may cut.
        alpha = self._false_alarm_rate / (max(1, len(service.routes)) * SIGNALS * self._seats)
        judgement = self._judgements.setdefault(rollout.id, _Judgement(alpha))
        judgement.update(self._board.totals(rollout.id))
        if self._judges_totals:
            judgement.look_at_totals()
        reason = judgement.rejected()
        if reason is not None:
            self._cut(rollout.id, reason)

    def _cut(self, rollout_id: str, reason: str) -> None:
        if rollout_id in self._cuts:
            return
        self._cuts[rollout_id] = reason
        self._publish(self._board.own(rollout_id, reason))
        emit(Event.ROLLOUT_CUT, rollout=rollout_id, reason=reason)

    def _is_judged(self, rollout: Rollout) -> bool:
        totals = self._board.totals(rollout.id)
        new, old = Counter[RouteName](), Counter[RouteName]()
        for key, tally in totals.items():
            if key.step in rollout.judged_steps:
                (new if key.is_new else old)[key.route] += tally.requests
        if new.total() < self._judged_requests:
            return False
        return all(new[route] >= self._expected(rollout, count) for route, count in old.items())

    def _expected(self, rollout: Rollout, old_requests: int) -> int:
        if rollout.share >= 1.0:
            return 0
        # A rare route need not reach the full number, but half of what the share should have brought it.
        share = rollout.assured_share
        return min(self._judged_requests, int(0.5 * share / (1 - share) * old_requests))


def _failures(new: Tally, old: Tally) -> Comparison:
    return Comparison(new.failed, new.requests, old.failed, old.requests)


def _slowness(new: Tally, old: Tally) -> Comparison:
    return Comparison(new.slow, new.requests, old.slow, old.requests)
