"""Figures and targets of a run, and the page that lists them."""

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from measure.load import Record

__all__ = ["Figures", "Result", "Target", "figures_of", "merge_page", "section", "table_rows"]

MAX_LATENCY_US = 60_000_000
POLICY_COLUMNS = (
    "policy",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "within 120 ms",
    "coverage",
    "complete",
    "extra",
    "warm-up",
    "refusals",
    "cut",
    "ms/query",
    "ms/sub-request",
    "cores",
    "store calls/s",
)


@dataclass(frozen=True, slots=True)
class Target:
    """A target and its figure; held is None if the run cannot decide it."""

    name: str
    figure: str
    held: bool | None

    def line(self) -> str:
        """Format the target as an item of a list."""
        verdict = {True: "held", False: "**not held**", None: "no verdict"}[self.held]
        return f"- {self.name}: {self.figure}: {verdict}"


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one policy under one load."""

    requests: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    within_share: float
    coverage: float
    complete_share: float
    extra_share: float
    warm_up_share: float
    refusals: dict[str, int]
    cut: int
    query_ms: float
    sub_request_ms: float
    cores: float
    store_calls_per_s: float

    def cells(self, policy: str) -> list[str]:
        """Return the cells of a row."""
        refusals = ", ".join(f"{kind} {count}" for kind, count in sorted(self.refusals.items())) or "0"
        return [
            policy,
            f"{self.p50_ms:.1f}",
            f"{self.p95_ms:.1f}",
            f"{self.p99_ms:.1f}",
            f"{self.within_share:.2%}",
            f"{self.coverage:.4f}",
            f"{self.complete_share:.2%}",
            f"{self.extra_share:.2%}",
            f"{self.warm_up_share:.2%}",
            refusals,
            str(self.cut),
            f"{self.query_ms:.2f}",
            f"{self.sub_request_ms:.3f}",
            f"{self.cores:.2f}",
            f"{self.store_calls_per_s:.1f}",
        ]


@dataclass
class Result:
    """The figures and targets of one scenario."""

    scenario: str
    title: str
    load: str
    figures: dict[str, Figures] = field(default_factory=dict)
    targets: list[Target] = field(default_factory=list)
    naive_targets: list[Target] = field(default_factory=list)


def figures_of(
    records: Iterable[Record],
    sub_requests: Counter[str],
    processor_s: float,
    duration_s: float,
    store_calls: int,
    target_ms: float = 120.0,
) -> Figures:
    """Summarise one run; latency and coverage are those of answers, and within_share is a share of all requests."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    coverage: list[float] = []
    refusals: Counter[str] = Counter()
    cut = within = total = 0
    for record in records:
        total += 1
        match record.result:
            case "answer":
                histogram.record_value(max(1, min(MAX_LATENCY_US, int(record.latency_ms * 1_000))))
                coverage.append(record.coverage)
                within += record.latency_ms <= target_ms
            case "cut":
                cut += 1
            case kind:
                refusals[kind] += 1
    sent = sum(sub_requests.values())
    first = sub_requests["first"]
    return Figures(
        requests=total,
        p50_ms=histogram.get_value_at_percentile(50) / 1_000,
        p95_ms=histogram.get_value_at_percentile(95) / 1_000,
        p99_ms=histogram.get_value_at_percentile(99) / 1_000,
        within_share=within / max(1, total),
        coverage=sum(coverage) / max(1, len(coverage)),
        complete_share=sum(ratio == 1.0 for ratio in coverage) / max(1, len(coverage)),
        extra_share=(sub_requests["hedge"] + sub_requests["retry"]) / max(1, first),
        warm_up_share=sub_requests["warm_up"] / max(1, first),
        refusals=dict(refusals),
        cut=cut,
        query_ms=processor_s * 1_000 / max(1, total),
        sub_request_ms=processor_s * 1_000 / max(1, sent),
        cores=processor_s / duration_s,
        store_calls_per_s=store_calls / duration_s,
    )


def table_rows(result: Result) -> list[str]:
    """Return the lines of a scenario's table."""
    rows = [POLICY_COLUMNS, ("---",) * len(POLICY_COLUMNS)]
    rows += [tuple(figures.cells(policy)) for policy, figures in result.figures.items()]
    return ["| " + " | ".join(row) + " |" for row in rows]


def section(result: Result, command: str, date: str) -> str:
    """Return a scenario's section of the page."""
    lines = [
        f"<!-- scenario: {result.scenario} -->",
        f"### {result.scenario}",
        "",
        f"{result.title}. Load: {result.load}. Run: `{command}`, {date}.",
        "",
        *table_rows(result),
        "",
        *(target.line() for target in result.targets),
        "",
        *_baseline(result),
        f"<!-- end: {result.scenario} -->",
    ]
    return "\n".join(lines)


def _baseline(result: Result) -> list[str]:
    if not result.naive_targets:
        return []
    return ["The naive baseline, for comparison:", "", *(target.line() for target in result.naive_targets), ""]


def merge_page(page: str, sections: dict[str, str], order: list[str]) -> str:
    """Replace or add the sections of the scenarios that ran; other content of the page is kept."""
    known = dict(re.findall(r"(?s)<!-- scenario: (\S+) -->(.*?)<!-- end: \1 -->", page))
    merged = {name: f"<!-- scenario: {name} -->{text}<!-- end: {name} -->" for name, text in known.items()} | sections
    text = "\n\n".join(merged[name] for name in order if name in merged)
    head, _, rest = page.partition("<!-- scenarios -->")
    _, _, tail = rest.partition("<!-- end of scenarios -->")
    return f"{head}<!-- scenarios -->\n\n{text}\n\n<!-- end of scenarios -->{tail}"
