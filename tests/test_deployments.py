from collections import Counter
from pathlib import Path

import pytest
from operatorfakes import FakeLoad

from hawthornbridge import settings
from hawthornbridge.deployments import Deployment, DeploymentError, load as load_deployment, plan
from hawthornbridge.domaincapacity import ShardLoad, shortages
from hawthornbridge.model import CoverageFirst, LatencyFirst, Upstream, fold

EXAMPLES = Path(__file__).parent.parent / "examples"

# Shards, upstreams per shard, slots and connections, as section 1 of the design page has them.
SIZES = {
    "kottayam": {
        "pattern-desk": (20, 2, 2, 25),
        "member-ledger": (30, 2, 2, 25),
        "order-book": (1, 7, 3, 110),
        "timber-stock": (1, 3, 3, 110),
    },
    "swapsies": {
        "swapfinder": (20, 2, 2, 25),
        "swap-ledger": (30, 2, 2, 25),
        "homepage-view": (1, 10, 2, 35),
        "member-mail": (1, 5, 2, 35),
    },
}
POLICIES = {"kottayam": LatencyFirst(), "swapsies": CoverageFirst()}
ONCE = {"kottayam": ("order-book", "enter"), "swapsies": ("swap-ledger", "request")}


@pytest.mark.parametrize("name", SIZES)
def test_an_example_of_settings_loads(name):
    loaded = settings.load(EXAMPLES / f"{name}.jsonc")
    assert len(loaded.peers) + 1 <= loaded.host.seats
    assert loaded.listeners.peers not in loaded.peers


@pytest.mark.parametrize("name", SIZES)
def test_an_example_of_services_has_the_sizes_of_the_design_page(name):
    catalogue = fold(load_deployment(EXAMPLES / f"{name}-services.jsonc").changes())
    sizes = {}
    for shard_map in catalogue.shard_maps.values():
        replicas = [catalogue.replicas(shard_map.service, shard) for shard in shard_map.shards]
        (count,) = {len(found) for found in replicas}
        ((slots, connections),) = {(upstream.slots, upstream.connections) for found in replicas for upstream in found}
        sizes[shard_map.service] = (len(shard_map.shards), count, slots, connections)
    assert sizes == SIZES[name]
    assert {service.policy for service in catalogue.services.values()} == {POLICIES[name]}
    once = [
        (service.name, route.name)
        for service in catalogue.services.values()
        for route in service.routes
        if not route.idempotent
    ]
    assert once == [ONCE[name]]
    assert max(Counter(upstream.address for upstream in catalogue.upstreams.values()).values()) == 1


@pytest.mark.parametrize("name", SIZES)
@pytest.mark.parametrize("domain", "abc")
def test_any_one_domain_of_an_example_can_be_drained_when_idle(name, domain):
    """Guards against an example whose shards have both replicas in one failure domain."""
    catalogue = fold(load_deployment(EXAMPLES / f"{name}-services.jsonc").changes())
    load = FakeLoad()
    load.maps = {shard_map.service: shard_map.id for shard_map in catalogue.shard_maps.values()}
    load.rows = {
        upstream.id: ShardLoad(upstream.service, upstream.shard, upstream.failure_domain, upstream.slots, 0, 1)
        for upstream in catalogue.upstreams.values()
    }
    assert shortages(catalogue, load, {domain}) == []


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ('{"upstream": []}', "upstream"),
        ('{"upstreams": [{"id": "u"}]}', "$.upstreams[0]"),
        ('{"failure_domains": [1]}', "$.failure_domains[0]"),
        ("{", "deployment.jsonc"),
    ],
)
def test_a_file_that_cannot_be_applied_is_told_by_its_path(tmp_path, text, told):
    path = tmp_path / "deployment.jsonc"
    path.write_text(text)
    with pytest.raises(DeploymentError) as raised:
        load_deployment(path)
    assert told in str(raised.value)


def test_a_plan_names_the_generation_of_what_it_replaces():
    """Guards against an apply that overwrites a change it has not seen."""
    values = {"service": "desk", "shard": "s0", "failure_domain": "a", "version": "v1", "address": "127.0.0.1:1"}
    old = Upstream(id="u", slots=1, connections=1, **values)
    catalogue = fold(load_deployment(EXAMPLES / "kottayam-services.jsonc").changes())
    deployment = Deployment.of(catalogue)
    assert plan(catalogue, deployment, prune=True) == []
    changed = deployment.upstreams[0]
    (planned,) = plan(catalogue, Deployment(upstreams=(old,)))
    assert planned.expected == 0
    (planned,) = plan(catalogue, Deployment(upstreams=(Upstream(id=changed.id, slots=1, connections=1, **values),)))
    assert planned.expected == catalogue.upstreams[changed.id].generation
