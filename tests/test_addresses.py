import random
from collections import Counter

import pytest
from hypothesis import given, strategies as st

from hawthornbridge.addresses import LOST_TIMEOUT_S, MemberView, choose_addresses

MEMBERS = st.lists(
    st.builds(
        MemberView,
        address=st.integers(0, 10_000).map(str),
        failure_domain=st.sampled_from("abc"),
        leaving=st.booleans(),
        load=st.sampled_from([0.1, 0.9, 1.5]),
        silent_s=st.sampled_from([0.1, 2.0, 4.0]),
    ),
    max_size=9,
    unique_by=lambda member: member.address,
)


def rank(member):
    """Return how unfit a live member is; leaving counts most, then suspect, then overloaded."""
    return (member.leaving, member.silent_s > 1.5, member.load > 1)


@given(MEMBERS, st.integers(0, 9))
def test_only_the_fittest_live_hosts_are_chosen(members, seed):
    """Guards against addresses of lost hosts, and against an empty answer while any host is live."""
    chosen = choose_addresses(members, random.Random(seed))
    live = [member for member in members if member.silent_s < LOST_TIMEOUT_S]
    assert bool(chosen) == bool(live)
    assert len(chosen) == len(set(chosen)) <= 3
    picked = [member for member in members if member.address in chosen]
    assert all(member in live for member in picked)
    if any(rank(member) == (False, False, False) for member in live):
        assert all(rank(member) == (False, False, False) for member in picked)
        fit = [member for member in live if rank(member) == (False, False, False)]
        assert len({member.failure_domain for member in picked}) == min(3, len({m.failure_domain for m in fit}))
    if any(not member.leaving for member in live):
        assert not any(member.leaving for member in picked)


def test_every_host_is_first_equally_often():
    """Guards against a host that gets the load of several because it is alone in its failure domain."""
    members = [MemberView(str(n), "a" if n else "b", False, 0.1, 0.1) for n in range(4)]
    rng = random.Random(1)
    first = Counter(choose_addresses(members, rng)[0] for _ in range(4_000))
    assert all(count == pytest.approx(1_000, rel=0.1) for count in first.values())
