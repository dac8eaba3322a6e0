import pytest

from hawthornbridge.ids import DomainName, ServiceName, ShardName
from hawthornbridge.loads import Loads
from hawthornbridge.membership import Membership
from hawthornbridge.messages import Codec
from hawthornbridge.model import (
    FailureDomain,
    PutFailureDomain,
    PutService,
    PutShardMap,
    Route,
    Service,
    ShardMap,
    fold,
)
from hawthornbridge.peers import Peers
from hawthornbridge.upstreams import ShardLoad
from standins.memorylinks import Network
from tests.test_membership import HostIdentity


class Table:
    """Report one shard with the load set by the test; the object is also the only replica and its ramp."""

    def __init__(self):
        self.busy = 0
        self.below_seat_count = False

    def is_below_seat_count(self, upstream):
        return self.below_seat_count

    @property
    def ramp(self):
        return self

    def loads(self, service=None):
        return [ShardLoad(ServiceName("desk"), ShardName("s0"), DomainName("a"), 1, self.busy, 2)]

    def usable(self, service, shard, version, snapshot):
        return [self]

    snapshots = {1: "m1"}

    @property
    def upstream(self):
        return FailureDomainOf("a")


class FailureDomainOf:
    id = "u1"

    def __init__(self, name):
        self.failure_domain = name


def loads(table):
    catalogue = fold(
        [
            PutFailureDomain(FailureDomain(name="a")),
            PutService(Service(name="desk", routes=(Route("read"),), classes=(), version="v1")),
            PutShardMap(ShardMap(id="m1", service="desk", shards=("s0",))),
        ]
    )
    identity = HostIdentity("h0", 1, 0, 5, "h0", "c", "a", "r1")
    membership = Membership(identity, Peers(Network().open("h0"), Codec("peers-token-00001")))
    return Loads(lambda: catalogue, table, membership)


@pytest.mark.anyio
async def test_a_short_peak_is_not_a_sustained_load():
    """Guards against refusing a drain because three requests coincided at a shard of two slots."""
    table = Table()
    source = loads(table)
    for table.busy in [0] * 20 + [6]:
        source.sample()
    [load] = source.shard_loads()
    assert load.busy < load.slots
    assert load.replicas == 1


@pytest.mark.anyio
async def test_a_sustained_load_counts():
    """Guards against an average that hides an overload."""
    table = Table()
    source = loads(table)
    for table.busy in [0] * 20 + [6] * 16:
        source.sample()
    [load] = source.shard_loads()
    assert load.busy > load.slots


@pytest.mark.anyio
async def test_a_replica_at_the_start_of_its_ramp_does_not_count():
    """Guards against a drain that leaves a shard to an upstream that has just restarted cold."""
    table = Table()
    source = loads(table)
    table.below_seat_count = True
    [load] = source.shard_loads()
    assert load.replicas == 0
