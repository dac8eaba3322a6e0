"""Sequential test of whether a new version does worse than the old one.

In each interval both versions serve the same mix at the same time. Given how many requests were bad in total, the
number of bad requests of the new version follows Fisher's noncentral hypergeometric distribution at any common rate.
The likelihood ratio of a worse odds ratio against the tolerated one is an e-value, and products of e-values over
intervals form an e-process: by Ville's inequality it passes 1 / alpha with probability at most alpha if the new
version is no worse than tolerated (Ville 1939; Ramdas, Grünwald, Vovk and Shafer, "Game-theoretic statistics and safe
anytime-valid inference", 2023).
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Comparison", "SequentialTest", "log_evidence"]

# The odds of a bad request may be this much higher before the new version counts as worse.
TOLERATED_ODDS = 1.5

# Odds ratios of the alternatives; the evidence is their mean, so that mild and severe faults both show quickly.
ALTERNATIVE_ODDS = (4.0, 16.0, 128.0)

# A look at more bad requests is scaled down to this many: the cost of a look grows with the number of bad requests,
# and this many are enough to show a fault.
MAX_BAD_REQUESTS = 200

# A version may become bad later. A new e-process starts after this many intervals, with weights that sum to 1, so that
# earlier good behaviour does not hide a later fault.
INTERVALS_PER_START = 5


@dataclass(frozen=True, slots=True)
class Comparison:
    """Count the requests of both versions in one interval, and how many of each were bad."""

    new_bad: int
    new_total: int
    old_bad: int
    old_total: int


class SequentialTest:
    """Accumulate evidence that the new version is worse; alpha bounds the false-alarm rate over the whole run."""

    def __init__(self, alpha: float) -> None:
        self._threshold = math.log(1 / alpha)
        self._logs = [-math.inf] * len(ALTERNATIVE_ODDS)
        self._intervals = 0
        self._look = -math.inf

    @property
    def log_evidence(self) -> float:
        """Return the logarithm of the e-process, or of the last look's evidence if that is greater."""
        return max(_log_sum(self._logs) - math.log(len(self._logs)), self._look)

    @property
    def rejected(self) -> bool:
        """Return whether the evidence has passed the threshold."""
        return self.log_evidence >= self._threshold

    def update(self, seen: Comparison) -> None:
        """Add the evidence of one interval, unless no request was bad or one version had no requests."""
        if not _is_informative(seen):
            return
        fresh = self._log_start_weight()
        self._intervals += 1
        for index, gain in enumerate(_log_gains(seen)):
            self._logs[index] = _log_sum([self._logs[index], fresh]) + gain

    def look(self, found: float) -> None:
        """Replace the evidence of the last look, the logarithm of an e-value on all requests so far.

        Each look repeats the one before it, so that the bound on false alarms holds for a single look only.
        """
        self._look = found

    def _log_start_weight(self) -> float:
        if self._intervals % INTERVALS_PER_START:
            return -math.inf
        start = self._intervals // INTERVALS_PER_START + 1
        return -math.log(start * (start + 1))


def log_evidence(seen: Iterable[Comparison]) -> float:
    """Return the log e-value of one look at periods that are each compared separately; -inf if there are none."""
    gains = [_log_gains(_scaled(comparison)) for comparison in seen if _is_informative(comparison)]
    if not gains:
        return -math.inf
    return _log_sum([sum(each) for each in zip(*gains, strict=True)]) - math.log(len(ALTERNATIVE_ODDS))


def _scaled(seen: Comparison) -> Comparison:
    bad = seen.new_bad + seen.old_bad
    if bad <= MAX_BAD_REQUESTS:
        return seen
    part = MAX_BAD_REQUESTS / bad
    return Comparison(*(round(count * part) for count in (seen.new_bad, seen.new_total, seen.old_bad, seen.old_total)))


def _is_informative(seen: Comparison) -> bool:
    return bool(seen.new_bad + seen.old_bad and seen.new_total and seen.old_total)


def _log_gains(seen: Comparison) -> list[float]:
    """Return the log likelihood ratio of each alternative against the tolerated odds."""
    ways = _log_ways(seen, seen.new_bad + seen.old_bad)
    null = _log_normaliser(ways, TOLERATED_ODDS)
    return [
        seen.new_bad * math.log(odds / TOLERATED_ODDS) + null - _log_normaliser(ways, odds)
        for odds in ALTERNATIVE_ODDS
    ]


def _log_ways(seen: Comparison, bad: int) -> dict[int, float]:
    low = max(0, bad - seen.old_total)
    high = min(bad, seen.new_total)
    return {
        count: _log_choose(seen.new_total, count) + _log_choose(seen.old_total, bad - count)
        for count in range(low, high + 1)
    }


def _log_normaliser(ways: dict[int, float], odds: float) -> float:
    log_odds = math.log(odds)
    return _log_sum([log_ways + count * log_odds for count, log_ways in ways.items()])


def _log_choose(total: int, count: int) -> float:
    return math.lgamma(total + 1) - math.lgamma(count + 1) - math.lgamma(total - count + 1)


def _log_sum(logs: list[float]) -> float:
    top = max(logs)
    if top == -math.inf:
        return top
    return top + math.log(sum(math.exp(value - top) for value in logs))
