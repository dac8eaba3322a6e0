"""Queues of the requests that wait for admission, one for each class, served round-robin by caller."""

from bisect import bisect_right, insort
from collections import OrderedDict
from dataclasses import dataclass, field
from math import inf
from operator import attrgetter
from typing import Generic, TypeVar

import anyio

from hawthornbridge.ids import CallerId

__all__ = ["ClassQueue", "ClassShare", "ServiceTime", "Waiter"]

# Weight of one sample in the moving average of service times, which covers about the last 20 requests.
SAMPLE_WEIGHT = 0.1
# A request's run time is estimated as the mean plus this many mean deviations.
DEVIATION_FACTOR = 2.0

OutcomeT = TypeVar("OutcomeT")

_deadline_s = attrgetter("deadline_s")


@dataclass(eq=False, slots=True)
class Waiter(Generic[OutcomeT]):
    """One waiting request; decided is set with its outcome."""

    caller: CallerId
    deadline_s: float
    since_s: float
    decided: anyio.Event = field(default_factory=anyio.Event)
    outcome: OutcomeT | None = None


class ServiceTime:
    """Estimate the service time of requests by a moving average and mean deviation."""

    def __init__(self, mean_s: float = 0.0) -> None:
        """Create an estimate that mean_s stands for until the first sample."""
        self.mean_s = mean_s
        self._deviation_s = 0.0

    @property
    def likely_s(self) -> float:
        """Return a time that most requests stay within."""
        return self.mean_s + self._deviation_s

    @property
    def upper_estimate_s(self) -> float:
        """Return a time that few requests exceed; with the mean alone, half of the requests would be late."""
        return self.mean_s + DEVIATION_FACTOR * self._deviation_s

    def observe(self, sample_s: float) -> None:
        """Add one measured time."""
        if not self.mean_s:
            self.mean_s = sample_s
            return
        self._deviation_s += SAMPLE_WEIGHT * (abs(sample_s - self.mean_s) - self._deviation_s)
        self.mean_s += SAMPLE_WEIGHT * (sample_s - self.mean_s)


@dataclass(eq=False, slots=True)
class ClassShare:
    """Share of one class: its weight and fair-queueing tag, and how many of its requests wait, in all its queues."""

    service_time: ServiceTime
    weight: int = 1
    finish_tag: float = 0.0
    waiting: int = 0
    # Since when requests wait that can meet their objective; inf if none does.
    contended_since_s: float = inf


class ClassQueue(Generic[OutcomeT]):
    """Hold waiting requests of one class, served round-robin by caller.

    The requests of a caller are served in the order of their deadlines, so that one that was refused and comes back is
    served before those that came meanwhile.
    """

    def __init__(self, share: ClassShare, *, is_late: bool) -> None:
        """Create a queue; is_late tells whether its requests miss their objectives."""
        self.share = share
        self.is_late = is_late
        self.callers: OrderedDict[CallerId, list[Waiter[OutcomeT]]] = OrderedDict()
        self.length = 0

    @property
    def head(self) -> Waiter[OutcomeT]:
        """Return the request that is served next."""
        return next(iter(self.callers.values()))[0]

    def push(self, waiter: Waiter[OutcomeT]) -> None:
        """Add a waiting request to those of its caller."""
        insort(self.callers.setdefault(waiter.caller, []), waiter, key=_deadline_s)
        self.length += 1
        self.share.waiting += 1

    def pop(self) -> Waiter[OutcomeT]:
        """Remove and return the next request of the next caller."""
        caller, waiters = next(iter(self.callers.items()))
        waiter = waiters.pop(0)
        self._shrink()
        if waiters:
            self.callers.move_to_end(caller)
        else:
            del self.callers[caller]
        return waiter

    def remove(self, waiter: Waiter[OutcomeT]) -> None:
        """Remove a request that no longer waits."""
        waiters = self.callers[waiter.caller]
        waiters.remove(waiter)
        self._shrink()
        if not waiters:
            del self.callers[waiter.caller]

    def ahead_of(self, caller: CallerId, deadline_s: float) -> int:
        """Return how many requests are served before a new one of this caller in round-robin order."""
        own = bisect_right(self.callers.get(caller, ()), deadline_s, key=_deadline_s)
        others = len(self.callers) - (caller in self.callers)
        return min(self.length, own + (own + 1) * others)

    def displaced_by(self, caller: CallerId) -> Waiter[OutcomeT] | None:
        """Return the last request of the caller with the most waiting, if this caller has at least two fewer."""
        longest = max(self.callers.values(), key=len)
        own = len(self.callers.get(caller, ()))
        return longest[-1] if len(longest) > own + 1 else None

    def _shrink(self) -> None:
        self.length -= 1
        self.share.waiting -= 1
        if not self.length and not self.is_late:
            self.share.contended_since_s = inf
