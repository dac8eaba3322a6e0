import random

import pytest
from hypothesis import given, settings, strategies as st

from hawthornbridge.ids import ServiceName, VersionName
from hawthornbridge.model import RolloutState
from hawthornbridge.rolloutorders import OrderedRollout, RolloutOrder
from hawthornbridge.store import Key, Revision
from hawthornbridge.versionsplit import ExposureLimits, VersionRule, VersionSplit

SERVICE = ServiceName("s")
OLD, NEW = VersionName("v1"), VersionName("v2")
LIMITS = ExposureLimits(ratio=0.1, slack=50)


class Versions:
    def __init__(self, *versions):
        self.present = set(versions)

    def versions(self, service):
        return self.present


def rollout(state=RolloutState.RUNNING, step=0, revision=7):
    order = RolloutOrder(SERVICE, NEW, 12.0, Key("op/x"), Revision(revision))
    return OrderedRollout(
        service=SERVICE,
        old=VersionName(""),
        new=NEW,
        steps=(0.25, 0.2, 1.0),
        started_ms=0,
        finish_by_ms=12_000,
        step=step,
        state=state,
        order=order,
    )


def split(current, present=(OLD, NEW), share=None, hosts=1, seed=1):
    rollouts = {} if current is None else {SERVICE: current}
    new_version_share = lambda service: current.share if share is None else share  # noqa: E731
    return VersionSplit(
        lambda: rollouts, new_version_share, Versions(*present), LIMITS, lambda: hosts, rng=random.Random(seed)
    )


def test_without_an_order_every_version_may_serve():
    assert split(None).rule(SERVICE) is None


@settings(max_examples=60, deadline=None)
@given(hosts=st.integers(1, 9), requests=st.integers(1, 400), seed=st.integers(0, 99))
def test_trials_of_all_hosts_stay_within_the_exposure(hosts, requests, seed):
    """Guards against a bad version that gets more than its share before it is judged."""
    splits = [split(rollout(), hosts=hosts, seed=seed * 10 + number) for number in range(hosts)]
    rng = random.Random(seed)
    rules = [rng.choice(splits).rule(SERVICE) for _ in range(requests)]
    trials = sum(rule.wants_target for rule in rules)
    assert trials <= LIMITS.ratio * requests + LIMITS.slack


def test_a_service_that_gets_few_requests_still_brings_evidence():
    one = split(rollout(), hosts=6)
    rules = [one.rule(SERVICE) for _ in range(20)]
    assert sum(rule.wants_target for rule in rules) >= 3


def test_a_version_that_was_cut_gets_nothing():
    """Guards against traffic for a version that this host has judged bad while the record still says running."""
    one = split(rollout(), share=0.0)
    assert all(one.rule(SERVICE) == VersionRule(NEW, False) for _ in range(200))


@pytest.mark.parametrize(("state", "wants_target"), [(RolloutState.DONE, True), (RolloutState.ROLLED_BACK, False)])
def test_an_ended_rollout_decides_on_every_request(state, wants_target):
    one = split(rollout(state))
    assert all(one.rule(SERVICE) == VersionRule(NEW, wants_target) for _ in range(50))


def test_a_trial_is_followed_by_the_other_versions():
    """Guards against hedges and retries that add to a bad version's requests."""
    rule = VersionRule(NEW, True, is_trial=True)
    assert rule.allows(NEW) and not rule.allows(OLD)
    assert rule.after_trial().allows(OLD) and not rule.after_trial().allows(NEW)


def test_a_service_that_runs_the_target_only_goes_on_serving():
    """Guards against an outage when the order names the version that is there."""
    assert split(rollout(), present=(NEW,)).rule(SERVICE) is None


def test_the_target_gets_no_more_than_its_share_when_all_other_leaves_are_lost():
    """Guards against a bad version that inherits all requests because the old leaves crashed."""
    versions = Versions(OLD, NEW)
    one = VersionSplit(
        lambda: {SERVICE: rollout()}, lambda service: 0.25, versions, LIMITS, lambda: 1, rng=random.Random(1)
    )
    one.rule(SERVICE)
    versions.present = {NEW}
    rules = [one.rule(SERVICE) for _ in range(300)]
    assert None not in rules
    assert sum(rule.wants_target for rule in rules) <= LIMITS.ratio * 301 + LIMITS.slack


def test_a_finished_rollout_whose_leaves_are_gone_leaves_the_rest_to_serve():
    assert split(rollout(RolloutState.DONE), present=(OLD,)).rule(SERVICE) is None
