"""In-memory table of upstreams with scripted replies, for tests with a virtual clock."""

import random
from dataclasses import dataclass, field

import anyio

from hawthornbridge.ids import ClassName, DomainName, MapId, RouteName, ServiceName, ShardName, UpstreamId, VersionName
from hawthornbridge.model import (
    Catalogue,
    ClassLimits,
    FailureDomain,
    LatencyFirst,
    PutFailureDomain,
    PutService,
    PutShardMap,
    PutUpstream,
    Route,
    Service,
    ShardMap,
    Upstream,
    fold,
)
from hawthornbridge.outcomes import Execution
from hawthornbridge.requests import SearchRequest
from hawthornbridge.subrequests import (
    FailureKind,
    Hit,
    SearchReply,
    UpstreamFailure,
    UpstreamRefusal,
    UpstreamRefusalKind,
)

SERVICE = ServiceName("pattern-desk")
ROUTE = RouteName("lookup")
NOT_SENT = ("connect", "queue_full", "leaving", "cold")
DEFAULT_CLASSES = (ClassLimits(ClassName("default")),)


@dataclass
class FakeReplica:
    upstream: Upstream
    snapshots: dict
    usable: bool = True
    hedgeable: bool = True


@dataclass
class FakeTable:
    """Answer each sub-request with the delay and the outcome that `behave(replica, request)` returns."""

    replicas: list[FakeReplica]
    behave: object
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    sent: list = field(default_factory=list)
    arrived: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)

    def __post_init__(self):
        self._by_shard = {}
        for replica in self.replicas:
            self._by_shard.setdefault((replica.upstream.shard, replica.upstream.version), []).append(replica)

    def usable(self, service, shard, version, snapshot):
        return [
            replica
            for replica in self._by_shard.get((shard, version), ())
            if replica.usable and (snapshot is None or snapshot in replica.snapshots)
        ]

    def choose(self, service, shard, version, snapshot, excluded=()):
        found = [r for r in self.usable(service, shard, version, snapshot) if r.upstream.id not in excluded]
        return self.rng.choice(found) if found else None

    def choose_hedge(self, service, shard, version, snapshot, excluded):
        found = [r for r in self.usable(service, shard, version, snapshot) if r.upstream.id not in excluded]
        found = [r for r in found if r.hedgeable]
        return self.rng.choice(found) if found else None

    async def search(self, replica, request):
        self.sent.append((replica, request))
        delay_s, outcome = self.behave(replica, request)
        try:
            await anyio.sleep(delay_s)
        except anyio.get_cancelled_exc_class():
            self.cancelled.append((replica.upstream.id, request.request_id))
            raise
        self.arrived.append((request, outcome))
        return outcome


def reply(replica, request, **changes):
    """Return the reply of a replica; the ids of its hits name the shard, snapshot and replica."""
    hits = tuple(Hit(f"{request.shard}-{request.snapshot}-{replica.upstream.id}-{n}", 1 / (n + 1)) for n in range(2))
    known = {"request_id": request.request_id, "shard": request.shard, "snapshot": request.snapshot} | changes
    return SearchReply(**known, hits=hits, incarnation=1, version=replica.upstream.version, in_flight=0, slots=2)


def refusal(kind):
    return UpstreamRefusal(UpstreamRefusalKind(kind), Execution.NOT_RUN)


def failure(kind):
    execution = Execution.NOT_RUN if kind in NOT_SENT else Execution.UNKNOWN
    return UpstreamFailure(FailureKind(kind), execution, kind)


def upstream(shard, number, version="v1"):
    return Upstream(
        id=UpstreamId(f"{shard}{'abcdef'[number]}-{version}"),
        service=SERVICE,
        shard=ShardName(shard),
        failure_domain=DomainName("abcdef"[number]),
        version=VersionName(version),
        address="127.0.0.1:1",
        slots=2,
        connections=25,
    )


def catalogue(maps, upstreams=(), policy=None, classes=DEFAULT_CLASSES, idempotent=True) -> Catalogue:
    service = Service(
        name=SERVICE,
        routes=(Route(ROUTE, idempotent),),
        classes=classes,
        version=VersionName("v1"),
        policy=policy or LatencyFirst(),
    )
    return fold(
        [
            PutService(service),
            *(PutShardMap(ShardMap(id=MapId(name), service=SERVICE, shards=shards)) for name, shards in maps.items()),
            *(PutFailureDomain(FailureDomain(name=DomainName(name))) for name in "abcdef"),
            *(PutUpstream(each) for each in upstreams),
        ]
    )


def request(timeout_s=0.12, request_id="q1", limit=1_000):
    deadline_s = anyio.current_time() + timeout_s
    return SearchRequest(request_id, SERVICE, ROUTE, ClassName("default"), "caller-1", "last", limit, deadline_s)
