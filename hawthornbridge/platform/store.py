"""Client of the platform's metadata store."""

import base64
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from enum import Enum
from functools import partial
from math import inf
from typing import Any
from urllib.parse import urlencode

import anyio
import msgspec

from hawthornbridge.clocks import boot_time_s
from hawthornbridge.decimals import parse_decimal
from hawthornbridge.decodeerrors import DECODE_ERRORS
from hawthornbridge.httpconnection import HttpConnection, Outcome, Reply, connect
from hawthornbridge.outcomes import Execution
from hawthornbridge.platform.headers import STORE_ERA
from hawthornbridge.replymemory import STORE_REPLY_LIMITS
from hawthornbridge.store import (
    ABSENT,
    NO_ERA,
    Ambiguous,
    Applied,
    Conflict,
    Era,
    Found,
    Key,
    LeaseGranted,
    LeaseId,
    LeaseLost,
    Missing,
    Revision,
    Unavailable,
    WriteOutcome,
)
from hawthornbridge.storecopies import Changes, HistoryGone, Removed, Snapshot
from hawthornbridge.subrequests import FailureKind, UpstreamFailure

__all__ = ["CallKind", "MetadataStore"]

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.7
WATCH_MARGIN_S = 0.8
# Timeouts without data for a page, used in turn after failed reads. A call to a store that does not respond is lost,
# so a host that waits for its first read has to retry soon, while a slow store needs more time.
PAGE_READ_TIMEOUTS_S = (0.4, 0.4, 0.8, 3.0)
# Total timeout for a page whose transfer has started; many hosts that start at the same time share the network path
# from the store.
PAGE_TIMEOUT_S = 4.0
STATUS_GONE = 410
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 412
# Statuses with which the store reports that the call had no effect.
STATUS_WITHOUT_EFFECT = frozenset({400, 403, 429, 503})


class CallKind(Enum):
    """Kind of a call to the store, by which its metric counts."""

    RANGE = "range"
    OUTDATED_RANGE = "outdated_range"
    WATCH = "watch"
    KEY = "key"
    WRITE = "write"
    LEASE_GRANT = "lease_grant"
    LEASE_RENEW = "lease_renew"
    LEASE_END = "lease_end"


KINDS = {
    "kv-range": CallKind.RANGE,
    "kv-watch": CallKind.WATCH,
    "kv-key": CallKind.KEY,
    "kv-txn": CallKind.WRITE,
    "kv-lease": CallKind.LEASE_GRANT,
    "kv-keep": CallKind.LEASE_RENEW,
    "kv-lease-end": CallKind.LEASE_END,
}
# With this in its query, a read may be answered from an older state, at a tenth of the price.
OUTDATED_ALLOWED = {"stale_ok": "1"}


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    tombstone: bool = False

    def found(self, era: Era) -> Found:
        return Found(Key(self.key), base64.b64decode(self.value), Revision(self.revision, era))

    def event(self, era: Era) -> Found | Removed:
        return Removed(Key(self.key), Revision(self.revision, era)) if self.tombstone else self.found(era)


class _Page(msgspec.Struct):
    items: list[_Item]
    as_of: int
    has_more: bool = False


class _Conflicting(msgspec.Struct):
    # Current state of the keys of the condition; a key without a value may be missing or have revision 0.
    items: list[_Item] = []


class _Events(msgspec.Struct):
    events: list[_Item]
    as_of: int


class _Lease(msgspec.Struct):
    lease_id: int


class _Written(msgspec.Struct):
    revision: int


class MetadataStore:
    """Client of the store with persistent connections; a waiting watch has a connection of its own."""

    def __init__(self, address: str, clock: Callable[[], float] = boot_time_s) -> None:
        """Create a client; the clock counts suspensions, and says what an answer confirms."""
        self._address = address
        self._host = address.encode()
        self._idle: list[HttpConnection] = []
        self._clock = clock
        self._failed_reads = 0
        self.calls_by_kind: Counter[CallKind] = Counter()
        # The highest era that an answer has named.
        self.era = NO_ERA

    @property
    def calls(self) -> int:
        """Return the number of calls of all kinds."""
        return self.calls_by_kind.total()

    def call_counts(self) -> Mapping[str, Callable[[], float]]:
        """Return what reads the number of calls of each kind."""
        return {kind.value: partial(self.calls_by_kind.__getitem__, kind) for kind in CallKind}

    async def read_all(self, prefix: Key) -> Snapshot | Unavailable:
        """Read every key below a prefix, page by page."""
        return await self._read_pages(prefix, {})

    async def read_outdated(self, prefix: Key) -> Snapshot | Unavailable:
        """Read the keys below a prefix as they were up to some seconds ago, which confirms nothing."""
        snapshot = await self._read_pages(prefix, OUTDATED_ALLOWED)
        return snapshot if isinstance(snapshot, Unavailable) else replace(snapshot, confirmed_s=-inf, age_s=inf)

    async def _read_pages(self, prefix: Key, options: dict[str, str]) -> Snapshot | Unavailable:
        values: list[Found] = []
        first_revision: Revision | None = None
        started_s = self._clock()
        after = ""
        while True:
            query = options | {"prefix": prefix} | ({"after": after} if after else {})
            read_timeout_s = PAGE_READ_TIMEOUTS_S[self._failed_reads % len(PAGE_READ_TIMEOUTS_S)]
            outcome = await self._call("GET", "/kv-range", query, None, PAGE_TIMEOUT_S, read_timeout_s)
            page = _decoded(outcome, _Page)
            if isinstance(page, Unavailable):
                self._failed_reads += 1
                return page
            era = self._era_of(outcome)
            if first_revision is not None and first_revision.era != era:
                return Unavailable("the store returned from a copy between two pages")
            values.extend(item.found(era) for item in page.items)
            first_revision = Revision(page.as_of, era) if first_revision is None else first_revision
            if not page.has_more or not page.items:
                return Snapshot(tuple(values), first_revision, confirmed_s=started_s)
            after = page.items[-1].key

    async def watch_prefix(self, prefix: Key, after: Revision, wait_s: float) -> Changes | HistoryGone | Unavailable:
        """Wait for changes below a prefix after a revision; its history ends with its era.

        The numbers of an earlier era are given out again, so the store may have changes after such a number.
        """
        if after.era < self.era:
            return HistoryGone()
        wait_ms = int(wait_s * 1_000)
        query = {"prefix": prefix, "after": after.number, "wait_ms": wait_ms}
        started_s = self._clock()
        outcome = await self._call("GET", "/kv-watch", query, None, wait_s + WATCH_MARGIN_S)
        waited_s = self._clock() - started_s
        if isinstance(outcome, Reply) and outcome.status == STATUS_GONE:
            return HistoryGone()
        events = _decoded(outcome, _Events)
        if isinstance(events, Unavailable):
            return events
        era = self._era_of(outcome)
        if era != after.era:
            return HistoryGone()
        # A watch that ended empty after its whole wait shows that nothing had changed until then. One that brings
        # changes, or is cut, may have been answered as soon as it arrived.
        is_whole_wait = not events.events and waited_s * 1_000 >= wait_ms
        confirmed_s = started_s + wait_ms / 1_000 if is_whole_wait else started_s
        changes = tuple(item.event(era) for item in events.events)
        return Changes(changes, Revision(events.as_of, era), confirmed_s=confirmed_s)

    async def get(self, key: Key) -> Found | Missing | Unavailable:
        """Read one key."""
        outcome = await self._call("GET", "/kv-key", {"key": key}, None, CALL_TIMEOUT_S)
        if isinstance(outcome, Reply) and outcome.status == STATUS_NOT_FOUND:
            return Missing(key)
        item = _decoded(outcome, _Item)
        return item if isinstance(item, Unavailable) else item.found(self._era_of(outcome))

    async def compare_and_swap(
        self, key: Key, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write a key if it has the expected revision; with a lease, the key is removed when the lease lapses."""
        return await self.transact({key: expected}, {key: value}, lease)

    async def transact(
        self, expected: Mapping[Key, Revision], puts: Mapping[Key, bytes], lease: LeaseId | None = None
    ) -> WriteOutcome:
        """Write all keys if every expected key has its revision; a conflict returns the first key that differs."""
        if any(revision != ABSENT and revision.era < self.era for revision in expected.values()):
            return Unavailable("an expected revision is of an earlier era of the store")
        outcome = await self._transact(expected, puts, lease)
        if isinstance(outcome, Reply) and outcome.status == STATUS_CONFLICT:
            return _conflict(outcome, expected, self._era_of(outcome))
        failure = _write_failure(outcome, lease or LeaseId("0"))
        if isinstance(failure, LeaseLost):
            return Unavailable(f"lease {failure.id} has ended")
        if failure is not None:
            return failure
        written = _decoded(outcome, _Written)
        # The status shows that the keys were written, so an unreadable body leaves only the revision unknown.
        if isinstance(written, Unavailable):
            return Ambiguous(written.detail)
        return Applied(Revision(written.revision, self._era_of(outcome)))

    async def put(self, key: Key, value: bytes, lease: LeaseId) -> Applied | LeaseLost | Unavailable | Ambiguous:
        """Write a key under a lease."""
        outcome = await self._transact({}, {key: value}, lease)
        failure = _write_failure(outcome, lease)
        if failure is not None:
            return failure
        written = _decoded(outcome, _Written)
        if isinstance(written, Unavailable):
            return written
        return Applied(Revision(written.revision, self._era_of(outcome)))

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | LeaseLost | Unavailable | Ambiguous:
        """Open a lease."""
        sent_s = anyio.current_time()
        outcome = await self._call("POST", "/kv-lease", {}, {"ttl_ms": int(ttl_s * 1_000)}, CALL_TIMEOUT_S)
        lease = _decoded(outcome, _Lease)
        if isinstance(lease, Unavailable):
            return lease
        return LeaseGranted(LeaseId(str(lease.lease_id)), sent_s + ttl_s)

    async def renew_lease(self, lease: LeaseId, ttl_s: float) -> LeaseGranted | LeaseLost | Unavailable | Ambiguous:
        """Renew a lease."""
        sent_s = anyio.current_time()
        outcome = await self._call("POST", f"/kv-keep/{lease}", {}, None, CALL_TIMEOUT_S)
        return _write_failure(outcome, lease) or LeaseGranted(lease, sent_s + ttl_s)

    async def release_lease(self, lease: LeaseId) -> LeaseLost | Unavailable | Ambiguous | None:
        """End a lease and remove its keys."""
        return _write_failure(await self._call("DELETE", f"/kv-lease-end/{lease}", {}, None, CALL_TIMEOUT_S), lease)

    async def _transact(
        self, expected: Mapping[Key, Revision], puts: Mapping[Key, bytes], lease: LeaseId | None
    ) -> Outcome:
        lease_id = 0 if lease is None else int(lease)
        body = {
            "expect": [{"key": key, "revision": revision.number} for key, revision in expected.items()],
            "puts": [
                {"key": key, "value": base64.b64encode(value).decode(), "lease_id": lease_id}
                for key, value in puts.items()
            ],
            "remove": [],
        }
        return await self._call("POST", "/kv-txn", {}, body, CALL_TIMEOUT_S)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: dict[str, Any] | None,
        timeout_s: float,
        read_timeout_s: float | None = None,
    ) -> Outcome:
        self.calls_by_kind[_kind_of(path, query)] += 1
        target = f"{path}?{urlencode(query)}" if query else path
        head = f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
        content = b"" if body is None else msgspec.json.encode(body)
        if method != "GET":
            head += f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
        connection = self._take_idle() or await connect(
            self._address, min(read_timeout_s or timeout_s, CONNECT_TIMEOUT_S), limits=STORE_REPLY_LIMITS
        )
        if isinstance(connection, UpstreamFailure):
            return connection
        outcome = await connection.exchange(head.encode() + b"\r\n" + content, timeout_s, read_timeout_s)
        if not connection.closed:
            self._idle.append(connection)
        return self._without_earlier_era(outcome)

    def _era_of(self, outcome: Outcome) -> Era:
        text = outcome.header(STORE_ERA) if isinstance(outcome, Reply) else None
        era = None if text is None else parse_decimal(text)
        return self.era if era is None else Era(era)

    def _without_earlier_era(self, outcome: Outcome) -> Outcome:
        """Note the era of an answer; an answer of an earlier era says nothing on what the store holds now."""
        era = self._era_of(outcome)
        if era < self.era:
            detail = f"answer of era {era} in era {self.era}"
            return UpstreamFailure(FailureKind.TIMEOUT, Execution.UNKNOWN, detail)
        self.era = era
        return outcome

    def _take_idle(self) -> HttpConnection | None:
        now_s = anyio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(now_s):
                return connection
            connection.close()
        return None


def _kind_of(path: str, query: dict[str, Any]) -> CallKind:
    kind = KINDS[path.split("/")[1]]
    return CallKind.OUTDATED_RANGE if kind is CallKind.RANGE and OUTDATED_ALLOWED.items() <= query.items() else kind


def _decoded(outcome: Outcome, kind: type) -> Any:
    match outcome:
        case UpstreamFailure(detail=detail):
            return Unavailable(detail)
        case Reply(status=200, body=body):
            try:
                return msgspec.json.decode(body, type=kind)
            except DECODE_ERRORS as error:
                return Unavailable(f"store response could not be decoded: {error}")
        case _:
            return Unavailable(f"status {outcome.status}")


def _conflict(outcome: Reply, expected: Mapping[Key, Revision], era: Era) -> Conflict:
    try:
        items = msgspec.json.decode(outcome.body, type=_Conflicting).items
    except DECODE_ERRORS:
        # The status alone shows that nothing was written.
        items = []
    current = {item.key: item for item in items if item.revision > 0 and not item.tombstone}
    for key, revision in expected.items():
        item = current.get(key)
        if item is not None and item.revision != revision.number:
            return Conflict(item.found(era))
    return Conflict(Missing(next(iter(expected))))


def _write_failure(outcome: Outcome, lease: LeaseId) -> LeaseLost | Unavailable | Ambiguous | None:
    match outcome:
        case UpstreamFailure(execution=Execution.NOT_RUN, detail=detail):
            return Unavailable(detail)
        case UpstreamFailure(detail=detail):
            return Ambiguous(detail)
        case Reply(status=status) if status == STATUS_NOT_FOUND:
            return LeaseLost(lease)
        case Reply(status=status) if status in STATUS_WITHOUT_EFFECT:
            return Unavailable(f"status {status}")
        case Reply(status=status) if status != 200:
            return Ambiguous(f"status {status}")
    return None
