"""How requests ended over time, counted from the logs of several hosts."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hawthornbridge.explanations import REQUEST_EVENTS, read_event

__all__ = ["Summary", "summarize"]

TIME_COLUMN = "from_s"
SHORTEST_ROW_S = 0.001


@dataclass(frozen=True, slots=True)
class Summary:
    """Count the requests by outcome in each span of time; a span without requests has no row.

    rows maps the start of a span, in Unix seconds, to its counts. unlogged counts requests that hosts left out of
    their logs, unreadable the lines that are no log events.
    """

    rows: dict[float, Counter[str]]
    unlogged: int
    unreadable: int

    @property
    def requests(self) -> int:
        """Return the number of requests counted."""
        return sum(counts.total() for counts in self.rows.values())

    def table(self) -> list[dict[str, Any]]:
        """Return one row for each span, with a column for each outcome, the most frequent one first."""
        totals = sum(self.rows.values(), Counter())
        outcomes = [outcome for outcome, _ in totals.most_common()]
        return [
            {TIME_COLUMN: start_s, **{outcome: counts[outcome] for outcome in outcomes}}
            for start_s, counts in sorted(self.rows.items())
        ]


def summarize(lines: Iterable[str], *, every_s: float = 1.0) -> Summary:
    """Count how the requests ended that these lines tell of, in rows of every_s seconds."""
    span_s = max(SHORTEST_ROW_S, every_s)
    rows: dict[float, Counter[str]] = {}
    unlogged = unreadable = 0
    for line in lines:
        event = read_event(line)
        if event is None:
            unreadable += bool(line.strip())
        elif event.number in REQUEST_EVENTS:
            start_s = round(event.time_s // span_s * span_s, 3)
            outcome = str(event.fields.get("outcome") or event.fields.get("reason"))
            rows.setdefault(start_s, Counter())[outcome] += 1
            unlogged += int(event.fields.get("unlogged", 0))
    return Summary(rows, unlogged, unreadable)
