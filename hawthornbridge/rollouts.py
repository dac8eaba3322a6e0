"""Rollouts on one host: the new version's share, the merged evidence, and cuts made without agreement."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from hawthornbridge.events import Event, emit
from hawthornbridge.evidence import EvidenceCounters, RolloutEvidence, Sample, Tally, TallyKey
from hawthornbridge.ids import HostId, Incarnation, RouteName, ServiceName, VersionName
from hawthornbridge.model import Catalogue, Rollout
from hawthornbridge.sequential import Comparison, SequentialTest, log_evidence

__all__ = ["Rollouts", "StepAssessment"]

EVALUATION_INTERVAL_S = 0.5

# The probability that any host cuts the rollout of a version that is no worse than tolerated.
FALSE_ALARM_RATE = 0.005
SIGNAL_COUNT = 2

# A host sends nothing to the new version for this long after its start, as it may not know of a cut yet.
START_GRACE_S = 2.0

# Requests that the new version must have served in a step, over all hosts and routes, for the step to be judged.
JUDGED_REQUESTS = 100

# Minimum requests of the old version in one comparison; with fewer its rate of bad requests is too uncertain.
COMPARED_REQUESTS = 10

# Evidence of at least this e-value keeps a rollout at its step; it is too weak for a cut.
HOLD_LOG_EVIDENCE = math.log(10.0)

# With evidence of at least this e-value from requests of the same steps, the old version's earlier latency is
# compared too. Such evidence rules out that the whole fleet became slower, and the few requests that the old version
# still gets could not give stronger evidence.
PAST_LATENCY_LOG_EVIDENCE = math.log(3.0)


@dataclass(frozen=True, slots=True)
class StepAssessment:
    """Whether a rollout's present step has been judged, is suspicious, or was cut and why."""

    judged: bool
    suspicious: bool
    cut: str | None


@dataclass
class _RolloutTests:
    """The sequential tests of one rollout, and the totals that they have been updated with."""

    alpha: float
    tests: dict[tuple[RouteName, str], SequentialTest] = field(default_factory=dict)
    seen: dict[TallyKey, Tally] = field(default_factory=dict)
    # Requests of the new and the old version since the last comparison.
    pending: dict[RouteName, tuple[Tally, Tally]] = field(default_factory=dict)
    # Requests of the new version on each route since the old version last served one.
    served_alone: dict[RouteName, Tally] = field(default_factory=dict)

    def update(self, totals: dict[TallyKey, Tally]) -> None:
        """Update the tests of each route with the requests since the last call."""
        growth = {key: tally - self.seen.get(key, Tally()) for key, tally in totals.items()}
        self.seen = totals
        for route in {key.route for key in growth}:
            new = sum((grown for key, grown in growth.items() if key.route == route and key.is_new), Tally())
            old = sum((grown for key, grown in growth.items() if key.route == route and not key.is_new), Tally())
            if old.requests:
                self.served_alone.pop(route, None)
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
        # While all traffic goes to the new version, the old one has no present requests to compare with. A sound
        # version rarely fails at any time, so failures are compared with the past; latency is not, because the whole
        # fleet may have become slower.
        left, _ = self.pending.pop(route, (Tally(), Tally()))
        served_alone = self.served_alone[route] = self.served_alone.get(route, Tally()) + left + new
        past = self._sum(route, sorted({key.step for key in self.seen}), is_new=False)
        self._test(route, "failing").look(log_evidence([_failures(served_alone, past)]))

    def look_at_totals(self) -> None:
        """Compare the versions on each route, over the requests since each step.

        Totals that include earlier steps would hide a version that became bad later, or only at a larger share.
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
        # Latency is compared within each step only, because the whole fleet may have become slower between steps.
        found = log_evidence(
            _slowness(self._sum(route, [step], is_new=True), self._sum(route, [step], is_new=False)) for step in steps
        )
        return max(found, log_evidence([_slowness(new, past)])) if found >= PAST_LATENCY_LOG_EVIDENCE else found

    def _sum(self, route: RouteName, steps: list[int], *, is_new: bool) -> Tally:
        """Return the tally of one version on a route over some steps."""
        tallies = (self.seen.get(TallyKey(step, route, is_new), Tally()) for step in steps)
        return sum(tallies, Tally())

    def worst(self) -> tuple[float, str]:
        """Return the strongest log evidence, and the signal and route that it is about."""
        found = [(test.log_evidence, f"{signal} on route {route}") for (route, signal), test in self.tests.items()]
        return max(found, default=(-math.inf, ""))

    def rejected(self) -> str | None:
        """Return the signal and route on which the new version is worse, or None."""
        return next(
            (f"{signal} on route {route}" for (route, signal), test in self.tests.items() if test.rejected), None
        )

    def _test(self, route: RouteName, signal: str) -> SequentialTest:
        return self.tests.setdefault((route, signal), SequentialTest(self.alpha))


class Rollouts:
    """Records, merges and tests the evidence on every open rollout.

    A host that finds the new version worse cuts the rollout: the host sends nothing more to the new version and tells
    the other hosts, without waiting for the decider.
    """

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
        # With few requests single intervals give too little evidence; totals show a version bad from the start.
        self._judges_totals = judges_totals
        self._publish = publish
        self._seats = seats
        self._board = EvidenceCounters(host, incarnation)
        self._rollout_tests: dict[str, _RolloutTests] = {}
        self._cuts: dict[str, str] = {}
        self._started_s = anyio.current_time()

    def new_version_share(self, service: ServiceName) -> float:
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
        """Count how one query went on its version; slow is None if the latency has yet to be compared."""
        rollout = self._catalogue().rollouts.get(service)
        if rollout is None or not rollout.involves(version) or not rollout.is_open:
            return
        self._board.record(rollout, Sample(route, version == rollout.new, latency_s, failed, slow))

    def on_evidence(self, evidence: RolloutEvidence) -> None:
        """Merge another host's evidence on an open rollout, and cut the rollout if that host has cut it."""
        if not any(rollout.id == evidence.rollout for rollout in self._open()):
            return
        self._board.merge(evidence)
        if evidence.cut is not None:
            self._cut(evidence.rollout, evidence.cut)

    def cut_by_operator(self, rollout: Rollout, reason: str) -> None:
        """Cut a rollout on an operator's command, before the change is in the configuration."""
        self._cut(rollout.id, reason)

    def assess(self, rollout: Rollout) -> StepAssessment:
        """Assess the rollout's present step by the merged evidence."""
        rollout_tests = self._rollout_tests.get(rollout.id)
        evidence, _ = rollout_tests.worst() if rollout_tests else (-math.inf, "")
        return StepAssessment(
            judged=self._is_judged(rollout), suspicious=evidence >= HOLD_LOG_EVIDENCE, cut=self._cuts.get(rollout.id)
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
        self._rollout_tests = {key: value for key, value in self._rollout_tests.items() if key in open_ids}
        self._cuts = {key: value for key, value in self._cuts.items() if key in open_ids}
        for rollout in rollouts:
            self._judge(rollout)
            self._publish(self._board.own(rollout.id, self._cuts.get(rollout.id)))

    def _open(self) -> list[Rollout]:
        return [rollout for rollout in self._catalogue().rollouts.values() if rollout.is_open]

    def _judge(self, rollout: Rollout) -> None:
        service = self._catalogue().services[rollout.service]
        # Any test on any host may cut the rollout, so the false-alarm rate is divided among all of them.
        alpha = self._false_alarm_rate / (max(1, len(service.routes)) * SIGNAL_COUNT * self._seats)
        rollout_tests = self._rollout_tests.setdefault(rollout.id, _RolloutTests(alpha))
        rollout_tests.update(self._board.totals(rollout.id))
        if self._judges_totals:
            rollout_tests.look_at_totals()
        reason = rollout_tests.rejected()
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
        # A route with little traffic needs only half of the requests that the share should have given the new version.
        share = rollout.minimum_share
        return min(self._judged_requests, int(0.5 * share / (1 - share) * old_requests))


def _failures(new: Tally, old: Tally) -> Comparison:
    return Comparison(new.failed, new.requests, old.failed, old.requests)


def _slowness(new: Tally, old: Tally) -> Comparison:
    return Comparison(new.slow, new.requests, old.slow, old.requests)
