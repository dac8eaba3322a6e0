"""The way of one request, from the logs of several hosts."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from hawthornbridge.events import Event

__all__ = ["REQUEST_EVENTS", "Explanation", "LoggedEvent", "explain", "read_event"]

# Events that a host logged this long before a request ended may have decided it.
LOOK_BACK_S = 15.0
REQUEST_EVENTS = frozenset(
    {
        Event.REQUEST_ENDED.value,
        Event.REQUEST_NOT_ROUTED.value,
        Event.REQUEST_DENIED.value,
        Event.REQUEST_WITHOUT_RECENT_COPY.value,
    }
)
# What a host logged of a request before its end.
ROOM_EVENTS = frozenset({Event.REQUEST_QUEUED.value, Event.REQUEST_WITHOUT_ROOM.value})
LEAF_EVENTS = frozenset(
    {
        Event.LEAF_SEEN.value,
        Event.LEAF_GONE.value,
        Event.LEAF_UNREACHABLE.value,
        Event.LEAF_MISDIRECTED.value,
        Event.LEAF_ENTRY_OUTDATED.value,
        Event.LEAF_LEAVING.value,
        Event.LEAF_HELD.value,
    }
)
HOST_EVENTS = frozenset(
    {
        Event.DAEMON_STARTED.value,
        Event.DAEMON_STOPPING.value,
        Event.STORE_LOST.value,
        Event.STORE_REGAINED.value,
        Event.STORE_HISTORY_GONE.value,
        Event.RECORD_UNREADABLE.value,
        Event.ROUTES_APPLIED.value,
        Event.DOMAIN_EVACUATED.value,
        Event.PEER_SNAPSHOT_TAKEN.value,
    }
)
CAUSES = {
    "complete": "answered with every shard",
    "partial": "answered without some shards, because their leaves did not reply before the objective",
    "coverage": "failed: too few shards could reply; the failures name the leaves",
    "leaf_failed": "failed: the leaf that was sent the request gave no good reply, and it may have run",
    "timed_out": "failed: no leaf replied in the time that the caller or the route allows, and it may have run",
    "caller_left": "ended by its caller before an answer",
    "no_leaf": "refused, not run: its service has no usable leaf",
    "leaves_held": "refused, not run: every leaf of its service is leaving or wants no requests for some time",
    "leaves_full": "refused, not run: every leaf that was asked refused it",
    "not_sent_in_time": "refused, not run: no leaf had a free connection in time",
    "no_configuration": "refused, not run: the host had not read a configuration yet",
    "stopping": "refused, not run: the host was stopping",
    "no_key": "answered 401, not run: the request had no key, and its route needs one",
    "unknown_key": "answered 401, not run: no team of the configuration in force holds the request's key",
    "key_withdrawn": "answered 401, not run: the request's key was withdrawn while it waited to be sent",
    "no_room": "refused, not run: the estimated wait for room at its leaves was longer than the time it had left",
    "no_room_in_time": "refused, not run: no room at its leaves came free in the time it had left",
    "copy_too_old": "refused, not run: the host's copy of the store was too old to say whether its key is still valid",
    "no_route": "answered 404: no route of the configuration in force matches",
}


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """Hold one line of a log; time_s is Unix time on the clock of its host."""

    time_s: float
    host: str
    number: int
    name: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Hold what led to a request's end, in order, and its cause in a sentence."""

    events: tuple[LoggedEvent, ...]
    cause: str
    unreadable: int


def explain(lines: Iterable[str], request_id: str) -> Explanation | None:
    """Return how a request ended and what its host had logged of it, or None if no line names the request."""
    events: list[LoggedEvent] = []
    unreadable = 0
    for line in lines:
        event = read_event(line)
        if event is None:
            unreadable += bool(line.strip())
        else:
            events.append(event)
    ends = [event for event in events if event.number in REQUEST_EVENTS and event.fields.get("request") == request_id]
    if not ends:
        return None
    end = max(ends, key=lambda event: event.time_s)
    chosen = sorted({id(event): event for event in (*_context(events, end), *ends)}.values(), key=_time)
    return Explanation(tuple(chosen), _cause(end), unreadable)


def _time(event: LoggedEvent) -> float:
    return event.time_s


def read_event(line: str) -> LoggedEvent | None:
    """Return the event that a line of a log holds, or None."""
    # A log collector may have put its own columns before the object.
    _, brace, rest = line.partition("{")
    try:
        fields: dict[str, Any] = json.loads(brace + rest)
        time_s, number = float(fields.pop("timestamp")), int(fields.pop("event"))
        return LoggedEvent(time_s, str(fields.pop("host", "")), number, str(fields.pop("message_type", "")), fields)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


def _context(events: list[LoggedEvent], end: LoggedEvent) -> Iterator[LoggedEvent]:
    """Yield what the same host logged shortly before of itself, of the leaves and of the services concerned."""
    leaves = {failure.partition(":")[0] for failure in end.fields.get("failures", ())}
    slowest = str(end.fields.get("slowest", "")).split()
    leaves |= {part.partition("@")[0] for part in slowest[1:]}
    services = set(end.fields.get("missing", ())) | set(slowest[:1])
    for event in events:
        # A leaf is left out for the time that it has asked for.
        look_back_s = max(LOOK_BACK_S, float(event.fields.get("wait_s") or 0.0))
        if event.host != end.host or not 0 <= end.time_s - event.time_s <= look_back_s:
            continue
        is_own = event.number in ROOM_EVENTS and event.fields.get("request") == end.fields.get("request")
        concerned = event.fields.get("leaf") in leaves or event.fields.get("service") in services
        if is_own or event.number in HOST_EVENTS or (event.number in LEAF_EVENTS and concerned):
            yield event


def _cause(end: LoggedEvent) -> str:
    outcome = str(end.fields.get("outcome") or end.fields.get("reason"))
    cause = CAUSES.get(outcome, f"answered with the leaf's status {outcome.removeprefix('leaf_')}")
    missing, failures = end.fields.get("missing"), end.fields.get("failures")
    if missing and not outcome.startswith("leaf_"):
        cause += f"; missing {', '.join(missing)}"
    if failures:
        cause += f"; failures {', '.join(failures)}"
    queued_ms = end.fields.get("queued_ms")
    if queued_ms:
        cause += f"; waited {queued_ms:.0f} ms for room at leaves"
    return cause
