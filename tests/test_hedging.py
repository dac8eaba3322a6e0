import pytest

from hawthornbridge.hedging import (
    INITIAL_HEDGE_DELAY_S,
    RETRY_BURST,
    WINDOW_S,
    Budget,
    LatencyWindows,
    QuantileHedging,
)
from hawthornbridge.registry import PluginKind, lookup


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.mark.parametrize(
    ("share", "sent", "allowed"), [(0.05, 19, 0), (0.05, 20, 1), (0.05, 200, 10), (0.0, 1_000, 0)]
)
def test_a_budget_never_exceeds_its_share(share, sent, allowed):
    """Guards against more than 5% extra sub-requests at any time."""
    budget = Budget(share, burst=10)
    taken = 0
    for _ in range(sent):
        budget.earn()
        taken += budget.take()
    assert taken == allowed


def test_a_quiet_time_leaves_only_a_bounded_burst():
    """Guards against an unbounded burst of hedges after a long time without any."""
    budget = Budget(0.05, burst=10)
    for _ in range(10_000):
        budget.earn()
    assert sum(budget.take() for _ in range(100)) == 10


def test_hedges_and_retries_do_not_draw_on_each_other():
    """Guards against hedges that leave nothing for retries after a loss."""
    policy = QuantileHedging(0.05, 0.1, Clock())
    for _ in range(100):
        policy.record_sent("s")
    assert [sum(policy.take_hedge("s") for _ in range(50)), policy.take_hedge("other")] == [5, False]
    assert sum(policy.take_retry("s") for _ in range(500)) == RETRY_BURST


def test_the_delay_follows_the_latency_of_its_own_service_and_route():
    """Guards against one slow route that delays the hedges of another."""
    clock = Clock()
    policy = QuantileHedging(clock=clock)
    for _ in range(100):
        policy.observe("s", "fast", 0.01)
        policy.observe("s", "slow", 0.1)
    assert policy.delay_s("s", "fast") == pytest.approx(0.01, rel=0.02)
    assert policy.delay_s("s", "slow") == pytest.approx(0.1, rel=0.02)
    assert policy.delay_s("s", "unused") == INITIAL_HEDGE_DELAY_S


def test_old_latencies_leave_the_windows():
    """Guards against a delay that stays high after a slow time."""
    clock = Clock()
    windows = LatencyWindows(clock)
    for step in range(1_000):
        clock.now_s = step * WINDOW_S / 500
        windows.record(0.2 if step < 500 else 0.01)
    assert windows.delay_s() == pytest.approx(0.01, rel=0.02)


@pytest.mark.parametrize(("name", "hedges", "retries"), [("naive", 0, 0), ("none", 0, 1), ("quantile", 1, 1)])
def test_policies_are_named_by_the_settings(name, hedges, retries):
    """Guards against a baseline that hedges or retries."""
    policy = lookup(PluginKind.HEDGING, name)(1.0, 1.0)
    policy.record_sent("s")
    assert (policy.take_hedge("s"), policy.take_retry("s"), policy.retries) == (hedges, retries, bool(retries))
