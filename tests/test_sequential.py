import random

import pytest

from hawthornbridge.sequential import Comparison, SequentialTest, log_evidence

ALPHA = 0.005 / (2 * 2 * 9)


def binomial(rng, total, rate):
    return sum(rng.random() < rate for _ in range(total))


def interval(rng, share, old_rate, new_rate, requests=200):
    new = max(1, int(share * requests))
    old = requests - new
    return Comparison(binomial(rng, new, new_rate), new, binomial(rng, old, old_rate), old)


@pytest.mark.parametrize("rate", [0.0, 0.01, 0.1, 0.5])
def test_equal_versions_raise_no_false_alarm_beyond_the_stated_rate(rate):
    # Guards against a test whose evidence grows under the null: at alpha 0.05 at most about 5 in 100 runs may alarm.
    alarms = 0
    for seed in range(100):
        rng = random.Random(seed)
        test = SequentialTest(0.05)
        for _ in range(40):
            test.update(interval(rng, 0.2, rate, rate))
        alarms += test.rejected
    assert alarms <= 11  # the 99th percentile of 100 runs at 5%


def test_a_common_fault_of_both_versions_is_no_evidence():
    # Guards against blaming the new version for an overload that hits both at the same time.
    rng = random.Random(1)
    test = SequentialTest(ALPHA)
    for round_number in range(60):
        rate = 0.9 if 20 <= round_number < 40 else 0.01
        test.update(interval(rng, 0.05, rate, rate))
    assert not test.rejected


@pytest.mark.parametrize(
    ("share", "healthy_intervals"), [(share, count) for share in (0.05, 0.2, 0.4) for count in (0, 57, 240, 1203)]
)
def test_a_failing_version_is_detected_within_thirty_requests(share, healthy_intervals):
    # Guards against earlier good behaviour hiding a fault that appears later.
    rng = random.Random(2)
    test = SequentialTest(ALPHA)
    for _ in range(healthy_intervals):
        test.update(interval(rng, share, 0.01, 0.01))
    assert not test.rejected
    test.update(Comparison(30, 30, 0, int(30 * (1 - share) / share)))
    assert test.rejected


def test_an_interval_without_old_traffic_is_no_evidence():
    test = SequentialTest(ALPHA)
    test.update(Comparison(30, 30, 0, 0))
    assert not test.rejected


def test_periods_in_which_all_requests_became_slower_are_no_evidence():
    """Guards against a version blamed for a slow fleet because it got most of its requests while that was slow."""
    fast, slow = Comparison(1, 20, 10, 200), Comparison(50, 100, 10, 20)
    together = Comparison(51, 120, 20, 220)
    assert log_evidence([together]) > 6
    assert log_evidence([fast, slow]) < 0


def test_a_look_without_requests_of_both_versions_is_no_evidence():
    assert log_evidence([]) == log_evidence([Comparison(5, 20, 0, 0)]) == float("-inf")


def test_many_bad_requests_are_scaled_down_to_fewer_of_the_same_shares():
    """Guards against a look that uses the processor for seconds while a busy service is slow."""
    seen = Comparison(4_000, 5_000, 40, 4_000)
    assert log_evidence([seen]) == pytest.approx(log_evidence([Comparison(198, 248, 2, 198)]))
    assert log_evidence([seen]) > 100
    assert log_evidence([Comparison(3_000, 6_000, 2_000, 4_000)]) < 0
