from collections import Counter

from measure.fleet import processor_s
from measure.load import Record
from measure.profile import group_of, shares
from measure.report import Result, Target, figures_of, merge_page, section


def answer(latency_ms, coverage=1.0):
    return Record(0.0, latency_ms, "answer", coverage, 1)


def summed(records, **changes):
    arguments = {"sub_requests": Counter(first=100), "processor_s": 2.0, "duration_s": 4.0, "store_calls": 20}
    return figures_of(records, **(arguments | changes))


def test_percentiles_are_those_of_answers():
    """Guards against percentiles that are too low because they include refusals and cut requests, which end early."""
    records = [answer(float(number)) for number in range(1, 101)]
    records += [Record(0.0, 0.1, "overloaded/not_run", 0.0, 0), Record(0.0, 0.1, "cut", 0.0, 0)]
    figures = summed(records)
    assert abs(figures.p50_ms - 50) < 0.1
    assert abs(figures.p99_ms - 99) < 0.1
    assert figures.refusals == {"overloaded/not_run": 1}
    assert figures.cut == 1


def test_requests_without_an_answer_are_not_within_the_target():
    """Guards against a share of timely answers that ignores refused, cut or late requests."""
    records = [answer(10), answer(121), Record(0.0, 1.0, "cut", 0.0, 0), Record(0.0, 1.0, "shed/not_run", 0.0, 0)]
    assert summed(records).within_share == 0.25


def test_coverage_is_the_mean_and_the_share_of_complete_answers():
    """Guards against a mean coverage that hides how many answers lack a shard."""
    figures = summed([answer(1), answer(1), answer(1, 0.5), answer(1, 0.9)])
    assert abs(figures.coverage - 0.85) < 1e-9
    assert figures.complete_share == 0.5


def test_extra_load_counts_hedges_and_retries_over_first_sub_requests():
    """Guards against a share of all sub-requests, which is smaller than the defined share of first sub-requests."""
    figures = summed([answer(1)] * 10, sub_requests=Counter(first=100, hedge=3, retry=2, warm_up=20))
    assert abs(figures.warm_up_share - 0.2) < 1e-9
    assert abs(figures.extra_share - 0.05) < 1e-9
    assert abs(figures.sub_request_ms - 2_000 / 125) < 1e-9
    assert figures.query_ms == 200
    assert (figures.cores, figures.store_calls_per_s) == (0.5, 5)


def test_a_run_without_requests_has_figures():
    """Guards against a division by zero that hides why a scenario made no requests."""
    figures = summed([], sub_requests=Counter())
    assert (figures.requests, figures.within_share, figures.coverage, figures.extra_share) == (0, 0, 0, 0)


def test_a_missed_target_is_visible_on_the_page():
    """Guards against a page that lists a target without saying that it was missed."""
    result = Result("steady", "Steady load", "1/s", {"policy": summed([answer(200)])})
    result.targets = [Target("within 120 ms", "0.00%", False), Target("a", "1", True), Target("b", "-", None)]
    text = section(result, "python -m measure.run", "today")
    assert "within 120 ms: 0.00%: **not held**" in text
    assert "a: 1: held" in text
    assert "b: -: no verdict" in text


def test_a_run_of_one_scenario_leaves_the_others_on_the_page():
    """Guards against a run with --only that drops or reorders the figures of earlier runs."""

    def part(name, text):
        return f"<!-- scenario: {name} -->\n{text}\n<!-- end: {name} -->"

    page = "head\n<!-- scenarios -->\n<!-- end of scenarios -->\ntail\n"
    page = merge_page(page, {"b": part("b", "old")}, ["a", "b"])
    page = merge_page(page, {"a": part("a", "one")}, ["a", "b"])
    page = merge_page(page, {"b": part("b", "new")}, ["a", "b"])
    assert page.startswith("head\n") and page.endswith("tail\n")
    assert "old" not in page
    assert page.index("one") < page.index("new")


def test_the_processor_time_of_an_ended_process_is_zero():
    """Guards against a scenario that fails because it has killed a daemon."""
    assert processor_s(2**22 + 1) == 0.0


def test_a_profile_separates_the_daemon_from_its_libraries():
    """Guards against time in a library that is attributed to the daemon."""
    assert group_of("/srv/hawthornbridge/search.py") == "hawthornbridge/search.py"
    assert group_of("/venv/lib/python3.11/site-packages/anyio/_core/_tasks.py") == "anyio"
    assert group_of("/usr/lib/python3.11/asyncio/events.py") == "asyncio"
    assert group_of("~") == "built-in functions"
    assert shares({"a": 1.0, "b": 3.0}) == [("b", 0.75), ("a", 0.25)]
    assert shares({}) == []
