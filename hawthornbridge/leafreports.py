"""Reports of leaves among the hosts that serve callers: what this host tells, and what others have told."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from math import inf
from typing import Annotated, NewType

import msgspec
import xxhash

from hawthornbridge.ids import HostId
from hawthornbridge.leafviews import LATENCY_RATIO_THRESHOLD, MAX_AGE_S, Observation, OtherViews
from hawthornbridge.leaves import Leaf, LeafEntry

__all__ = ["MAX_REPORTS", "LeafKey", "LeafObserver", "LeafReport", "ReportBook", "Urgency", "leaf_key"]

# Hash of the id of a leaf and the start of its incarnation, because the two would double the size of a report.
# Two leaves with one hash get each other's caution, which does no harm.
LeafKey = NewType("LeafKey", int)
KEY_MASK = 0xFFFF_FFFF
# Number of reports in one message.
MAX_REPORTS = 24
# A state that has not changed is told again after this time, so that it does not lapse at the other hosts.
REPEAT_INTERVAL_S = 0.2
# Latencies and failures of longer ago are not told, because they no longer count when they arrive.
MAX_TOLD_AGE_S = 0.4
MIN_FAILURE_RATE = 0.1
# Wakes of the observer that come this late show that this host was held up, not that leaves are silent.
MAX_LATE_WAKE_S = 0.04
# After such a wake the replies that have arrived meanwhile are read before leaves are judged.
SETTLE_S = 0.1
# A host that has told nothing for this long is forgotten, with the start that it gave.
FORGET_HOST_S = 3.0
INDEX_INTERVAL_S = 1.0

Byte = Annotated[int, msgspec.Meta(ge=0, le=255)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
MAX_BYTE = 255
MAX_MILLISECONDS = 65_535
RATIO_STEPS = 10
FAILURE_STEPS = 100


class LeafReport(msgspec.Struct, frozen=True, array_like=True):
    """What a host sees of one incarnation of a leaf when it sends the report."""

    key: Annotated[int, msgspec.Meta(ge=0, le=KEY_MASK)]
    # Time since the last exchange from which latency, failures and backoff follow.
    age_ms: Milliseconds
    # Time for which the leaf has been silent although replies are due; 0 for a leaf that answers.
    stalled_ms: Milliseconds
    # Latency in tenths of the median latency of the routes.
    latency_tenths: Byte
    failure_percent: Byte
    backoff_ms: Milliseconds
    in_flight: Byte
    connections: Byte


class Urgency(IntEnum):
    """Order in which reports are told if not all of them fit, the most important first."""

    STALL_BEGUN = 0
    STALLED = 1
    STALL_ENDED = 2
    UNREACHABLE = 3
    FAILING = 4
    SLOW = 5
    IN_FLIGHT = 6


@dataclass(frozen=True, slots=True)
class _Told:
    """What other hosts were told of a leaf last."""

    told_s: float
    urgency: Urgency
    report: LeafReport


def leaf_key(entry: LeafEntry) -> LeafKey:
    """Return the key of an incarnation of a leaf in reports."""
    return LeafKey(xxhash.xxh3_64_intdigest(f"{entry.id}/{entry.born_ms}".encode()) & KEY_MASK)


class LeafObserver:
    """Selects what this host tells of leaves: stalled, unreachable, failing and slow ones, and those in use."""

    def __init__(self, leaves: Iterable[Leaf]) -> None:
        self._leaves = leaves
        self._told: dict[Leaf, _Told] = {}
        self._judges_stalls_from_s = -inf

    def note_wake(self, due_s: float, now_s: float) -> None:
        """Record when the observer woke; after a late wake no leaf is told as stalled for a short time."""
        if now_s - due_s > MAX_LATE_WAKE_S:
            self._judges_stalls_from_s = now_s + SETTLE_S

    def select(self, now_s: float, limit: int) -> list[LeafReport]:
        """Return the most important reports that are due, and count them as told."""
        due = self._due(now_s)
        due.sort(key=lambda each: (each[0], -each[1].in_flight))
        chosen = due[:limit]
        for urgency, report, leaf in chosen:
            self._told[leaf] = _Told(now_s, urgency, report)
        self._told = {leaf: told for leaf, told in self._told.items() if now_s - told.told_s <= MAX_AGE_S}
        return [report for _, report, _ in chosen]

    def has_new_stall(self, now_s: float) -> bool:
        """Return whether a leaf has stalled that other hosts have not been told of."""
        if now_s < self._judges_stalls_from_s:
            return False
        return any(leaf.in_flight and self._is_new_stall(leaf, now_s) for leaf in self._leaves)

    def _is_new_stall(self, leaf: Leaf, now_s: float) -> bool:
        if not leaf.stalled_s(now_s):
            return False
        told = self._told.get(leaf)
        return told is None or not told.report.stalled_ms

    def _due(self, now_s: float) -> list[tuple[Urgency, LeafReport, Leaf]]:
        due = []
        for leaf in self._leaves:
            told = self._told.get(leaf)
            # Most leaves are not in use at a moment and answered well, so they are passed over with little work.
            if not leaf.in_flight and told is None and not _may_be_bad(leaf, now_s):
                continue
            report = self._report(leaf, now_s)
            urgency = _urgency(report, told)
            if urgency is not None and _is_due(report, urgency, told, now_s):
                due.append((urgency, report, leaf))
        return due

    def _report(self, leaf: Leaf, now_s: float) -> LeafReport:
        stalled_s = leaf.stalled_s(now_s) if now_s >= self._judges_stalls_from_s else 0.0
        age_s = now_s - leaf.last_observed_s
        is_recent = age_s <= MAX_TOLD_AGE_S
        latency_ratio = leaf.current_latency_ratio(now_s) if is_recent else 1.0
        failure_rate = leaf.current_failure_rate(now_s) if is_recent else 0.0
        return LeafReport(
            leaf_key(leaf.entry),
            _milliseconds(age_s),
            _milliseconds(stalled_s),
            min(MAX_BYTE, round(latency_ratio * RATIO_STEPS)),
            round(failure_rate * FAILURE_STEPS),
            _milliseconds(max(0.0, leaf.backoff_until_s - now_s)) if is_recent else 0,
            min(MAX_BYTE, len(leaf.in_flight)),
            min(MAX_BYTE, max(0, leaf.connections)),
        )


def _may_be_bad(leaf: Leaf, now_s: float) -> bool:
    if now_s - leaf.last_observed_s > MAX_TOLD_AGE_S:
        return False
    return leaf.latency_ratio > LATENCY_RATIO_THRESHOLD or leaf.failure_rate > MIN_FAILURE_RATE


def _urgency(report: LeafReport, told: _Told | None) -> Urgency | None:
    was_stalled = told is not None and told.report.stalled_ms > 0
    if report.stalled_ms:
        return Urgency.STALLED if was_stalled else Urgency.STALL_BEGUN
    if was_stalled:
        return Urgency.STALL_ENDED
    if report.backoff_ms:
        return Urgency.UNREACHABLE
    if report.failure_percent > MIN_FAILURE_RATE * FAILURE_STEPS:
        return Urgency.FAILING
    if report.latency_tenths > LATENCY_RATIO_THRESHOLD * RATIO_STEPS:
        return Urgency.SLOW
    if report.in_flight or (told is not None and told.report.in_flight):
        return Urgency.IN_FLIGHT
    return None


def _is_due(report: LeafReport, urgency: Urgency, told: _Told | None, now_s: float) -> bool:
    if told is None or now_s - told.told_s >= REPEAT_INTERVAL_S:
        return True
    return urgency < told.urgency or urgency in (Urgency.STALL_BEGUN, Urgency.STALL_ENDED)


def _milliseconds(time_s: float) -> int:
    return int(min(MAX_MILLISECONDS, time_s * 1_000))


@dataclass(slots=True)
class _Teller:
    """A host that has told of leaves: its start, the number of its last message, and when it arrived."""

    started_ms: int
    number: int
    heard_s: float


class ReportBook:
    """What other hosts have told of leaves, attached to the leaves that it concerns."""

    def __init__(self, leaves: Iterable[Leaf], clock: Callable[[], float]) -> None:
        self._leaves = leaves
        self._clock = clock
        self._tellers: dict[HostId, _Teller] = {}
        self._by_key: dict[LeafKey, Leaf] = {}
        self._indexed_s = -inf
        self._reported: dict[LeafKey, Leaf] = {}

    def __len__(self) -> int:
        return len(self._reported)

    def admit(self, host: HostId, started_ms: int, number: int) -> bool:
        """Return whether a message is newer than all before by its host; drop what an earlier start of it has told."""
        now_s = self._clock()
        teller = self._tellers.get(host)
        if teller is not None and (started_ms, number) <= (teller.started_ms, teller.number):
            return False
        if teller is not None and started_ms != teller.started_ms:
            self.drop_host(host)
        self._tellers[host] = _Teller(started_ms, number, now_s)
        return True

    def put(self, host: HostId, reports: Sequence[LeafReport], transfer_s: float) -> int:
        """Take reports over that took transfer_s to arrive; return how many are too old or of unknown leaves."""
        now_s = self._clock()
        dropped = 0
        if transfer_s > MAX_AGE_S:
            return len(reports)
        for report in reports:
            leaf = self._leaf(LeafKey(report.key), now_s)
            if leaf is None:
                dropped += 1
                continue
            if leaf.others is None:
                leaf.others = OtherViews()
            leaf.others.put(host, _observation(report, now_s - transfer_s))
            self._reported[LeafKey(report.key)] = leaf
        return dropped

    def drop_old(self) -> None:
        """Drop observations that no longer count, and hosts that have been silent."""
        now_s = self._clock()
        for teller in [host for host, each in self._tellers.items() if now_s - each.heard_s > FORGET_HOST_S]:
            del self._tellers[teller]
        for key, leaf in list(self._reported.items()):
            if leaf.others is not None:
                leaf.others.drop_old(now_s)
            self._release(key, leaf)

    def drop_host(self, host: HostId) -> None:
        """Drop all that a host has told."""
        self._tellers.pop(host, None)
        for key, leaf in list(self._reported.items()):
            if leaf.others is not None:
                leaf.others.remove(host)
            self._release(key, leaf)

    def clear(self) -> None:
        """Drop all that other hosts have told, and the index of leaves."""
        for host in list(self._tellers):
            self.drop_host(host)
        self._by_key = {}
        self._indexed_s = -inf

    def _release(self, key: LeafKey, leaf: Leaf) -> None:
        if not leaf.others:
            leaf.others = None
            del self._reported[key]

    def _leaf(self, key: LeafKey, now_s: float) -> Leaf | None:
        """Return a leaf by its key; the index is built when it is first needed, because few hosts serve callers."""
        leaf = self._by_key.get(key)
        if leaf is None and now_s - self._indexed_s >= INDEX_INTERVAL_S:
            self._by_key = {leaf_key(each.entry): each for each in self._leaves}
            self._indexed_s = now_s
            leaf = self._by_key.get(key)
        return leaf


def _observation(report: LeafReport, told_s: float) -> Observation:
    return Observation(
        told_s,
        told_s - report.age_ms / 1_000,
        report.stalled_ms / 1_000,
        report.latency_tenths / RATIO_STEPS,
        min(1.0, report.failure_percent / FAILURE_STEPS),
        report.backoff_ms / 1_000,
        report.in_flight,
        report.connections,
    )
