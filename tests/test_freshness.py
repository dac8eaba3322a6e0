import pytest

from hawthornbridge.freshness import (
    FRESH_S,
    Behind,
    Contact,
    ContinuedByQuorum,
    Fresh,
    HeardHost,
    NoConfiguration,
    OwnState,
    Pending,
    QuorumLost,
    StoreNotDown,
    UnresolvedChange,
    serving_state,
)
from hawthornbridge.outcomes import Reachability

UP, DOWN, UNTRIED = Reachability.REACHABLE, Reachability.UNREACHABLE, Reachability.UNTRIED
NOW = 100.0
OLD = Contact(NOW - FRESH_S - 0.01, 5)
RECENT = Contact(NOW - FRESH_S, 5)


def host(seat, generation=5, store=DOWN, settled=True, pending=()):
    return HeardHost(f"h{seat}", seat, generation, store, settled, tuple(Pending(*change) for change in pending))


TABLE = {
    "the store was read 2.5 s ago": (host(0), RECENT, [], Fresh(FRESH_S)),
    "no configuration yet": (host(0, 0, UP), Contact(NOW, 0), [host(1), host(2)], NoConfiguration()),
    "store down for all": (host(0), OLD, [host(1), host(2)], ContinuedByQuorum(3)),
    "started from peers, no contact ever": (host(0, settled=False), None, [host(1), host(2), host(3)],
                                            ContinuedByQuorum(3)),
    "store down for a minority that hears no other": (host(0), OLD, [host(1)], QuorumLost(2, 3)),
    "a heard host reaches the store": (host(0), OLD, [host(1), host(2, store=UP)], StoreNotDown("h2")),
    "a heard host has not tried the store": (host(0), OLD, [host(1), host(2, store=UNTRIED)], StoreNotDown("h2")),
    "this host reaches the store but lacks entries": (host(0, store=UP), OLD, [host(1), host(2)], StoreNotDown("h0")),
    "two crashed of five in an outage": (host(0), OLD, [host(3), host(4)], ContinuedByQuorum(3)),
    "three crashed of five in an outage": (host(0), OLD, [host(3)], QuorumLost(2, 3)),
    "restarted hosts do not count": (host(0), OLD, [host(1), host(2, settled=False)], QuorumLost(2, 3)),
    "two hosts on one seat count once": (host(0), OLD, [host(1), host(1)], QuorumLost(2, 3)),
    "a heard host is ahead": (host(0), OLD, [host(1), host(2, 6)], Behind("h2", 6)),
    "a heard host is behind": (host(0), OLD, [host(1), host(2, 4)], ContinuedByQuorum(3)),
    "a lost proposer": (host(0), OLD, [host(1), host(2, pending=[("h3", 6)])], UnresolvedChange("h3", 6)),
    "a heard proposer": (host(0), OLD, [host(1), host(2, pending=[("h1", 6)])], ContinuedByQuorum(3)),
    "a lost proposer of an applied change": (host(0), OLD, [host(1), host(2, pending=[("h3", 5)])],
                                             ContinuedByQuorum(3)),
    "paused: all it knows is old": (host(0, store=UP), OLD, [], QuorumLost(1, 3)),
}  # fmt: skip


@pytest.mark.parametrize(("own", "contact", "heard", "expected"), TABLE.values(), ids=TABLE.keys())
def test_the_freshness_rule(own, contact, heard, expected):
    """Guards against a wrong decision in any case of the freshness rule."""
    assert serving_state(OwnState(own, contact), heard, 5, NOW) == expected
