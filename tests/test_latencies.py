from hawthornbridge.latencies import MIN_SAMPLES, WINDOW_SAMPLES, LatencyWindow


def test_the_initial_estimate_holds_until_there_are_samples():
    window = LatencyWindow(0.05)
    window.add(1.0)
    assert 0.05 <= window.quantile_s(0.5) < window.quantile_s(0.9) <= 0.1


def test_quantiles_are_of_the_latest_samples():
    """Guards against an estimate that a slow hour keeps up for ever."""
    window = LatencyWindow(0.05)
    for _ in range(WINDOW_SAMPLES):
        window.add(9.0)
    for number in range(WINDOW_SAMPLES):
        window.add(number / WINDOW_SAMPLES)
    assert abs(window.quantile_s(0.5) - 0.5) < 0.01 and abs(window.quantile_s(0.9) - 0.9) < 0.01
    assert window.quantile_s(1.0) < 1.0


def test_a_rare_route_has_an_estimate_after_few_samples():
    """Guards against hedges of every other request on a route that few callers use."""
    window = LatencyWindow(0.05)
    for _ in range(MIN_SAMPLES):
        window.add(0.2)
    assert window.quantile_s(0.5) == 0.2
