import random

from hawthornbridge.directory import MAX_ADDRESSES, Directory
from hawthornbridge.presence import HostList
from tests.platformfakes import ManualClock
from tests.test_presence import host


def directory_of(*names, ready=True):
    hosts = HostList(host("own"), 1, ManualClock())
    for name in names:
        hosts.put(host(name))
    return Directory(hosts, lambda: ready, random.Random(1))


def test_the_hosts_of_a_small_domain_are_named_once():
    assert sorted(directory_of("a", "own").addresses()) == ["a:1", "own:1"]


def test_a_host_that_is_not_ready_does_not_name_itself():
    """Guards against callers that are sent to a host that is stopping or knows no configuration."""
    assert directory_of("a", "own", ready=False).addresses() == ["a:1"]


def test_a_host_that_the_store_does_not_list_names_itself():
    assert directory_of().addresses() == ["own:1"]


def test_a_large_fleet_is_sampled():
    hosts = HostList(host("own"), 1, ManualClock())
    for number in range(200):
        hosts.put(host(str(number), domain=str(number)))
    addresses = Directory(hosts, lambda: True, random.Random(1)).addresses()
    assert len(set(addresses)) == MAX_ADDRESSES
