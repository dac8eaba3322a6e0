"""Choice of the version that gets the next request of a service during a rollout."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from hawthornbridge.ids import ServiceName, VersionName
from hawthornbridge.model import Rollout, RolloutState

__all__ = ["ExposureLimits", "VersionRule", "VersionSplit", "VersionTable"]

# Shares of the exposure limits that the trial step may use. The later steps need the rest, because a version that only
# fails under load is detected there.
TRIAL_RATIO_SHARE = 0.3
TRIAL_SLACK_SHARE = 0.36


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Limits of the requests to a bad version: ratio times the requests of its service since the order, plus slack."""

    ratio: float
    slack: float


@dataclass(frozen=True, slots=True)
class VersionRule:
    """Rule that allows a request either only leaves of the target version or only leaves of the other versions.

    In a trial the first attempt goes to the target version, and retries and hedges go to the other versions.
    """

    target: VersionName
    wants_target: bool
    is_trial: bool = False

    def allows(self, version: VersionName) -> bool:
        """Return whether leaves of a version may get the request."""
        return (version == self.target) == self.wants_target

    def after_trial(self) -> "VersionRule":
        """Return the rule for retries and hedges."""
        return VersionRule(self.target, False) if self.is_trial else self


class VersionTable(Protocol):
    """Lookup of the versions that a service has leaves of."""

    def versions(self, service: ServiceName) -> set[VersionName]:
        """Return the versions of the leaves of a service."""


@dataclass(slots=True)
class _Counts:
    requests: int = 0
    trials: int = 0
    has_seen_others: bool = False


class VersionSplit:
    """Chooses the version for each request; hosts keep the common limit on trials without communication."""

    def __init__(
        self,
        rollouts: Callable[[], Mapping[ServiceName, Rollout]],
        new_version_share: Callable[[ServiceName], float],
        table: VersionTable,
        limits: ExposureLimits,
        hosts: Callable[[], int],
        rng: random.Random | None = None,
    ) -> None:
        self._rollouts = rollouts
        self._share_of = new_version_share
        self._table = table
        self._limits = limits
        self._hosts = hosts
        self._random = rng or random.Random()
        self._counts: dict[str, _Counts] = {}

    def set_limits(self, limits: ExposureLimits) -> None:
        """Replace the limits; trials made before still count."""
        self._limits = limits

    def rule(self, service: ServiceName) -> VersionRule | None:
        """Return the rule for the next request, or None if every version may get it."""
        rollout = self._rollouts().get(service)
        if rollout is None:
            return None
        versions = self._table.versions(service)
        if rollout.state is RolloutState.DONE:
            return VersionRule(rollout.new, True) if rollout.new in versions else None
        counts = self._counts_of(rollout)
        counts.has_seen_others = counts.has_seen_others or bool(versions - {rollout.new})
        if rollout.is_open and not counts.has_seen_others:
            # The service has only had leaves of the target version, so no other version could serve.
            return None
        counts.requests += 1
        share = self._share_of(service)
        is_trial = rollout.is_open and rollout.step == 0
        if self._random.random() >= share or rollout.new not in versions:
            return VersionRule(rollout.new, False)
        if is_trial and counts.trials + 1 > self._max_trials(counts):
            return VersionRule(rollout.new, False)
        counts.trials += is_trial
        return VersionRule(rollout.new, True, is_trial)

    def _max_trials(self, counts: _Counts) -> float:
        slack = self._limits.slack * TRIAL_SLACK_SHARE / max(1, self._hosts())
        return self._limits.ratio * TRIAL_RATIO_SHARE * counts.requests + slack

    def _counts_of(self, rollout: Rollout) -> _Counts:
        counts = self._counts.get(rollout.id)
        if counts is None:
            current = {each.id for each in self._rollouts().values()}
            self._counts = {key: value for key, value in self._counts.items() if key in current}
            counts = self._counts[rollout.id] = _Counts()
        return counts
