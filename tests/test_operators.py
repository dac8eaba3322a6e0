import socket
import time
from types import SimpleNamespace

import httpcore
import msgspec
import pytest
from connectrpc.code import Code
from connectrpc.errors import ConnectError
from operatorfakes import NOW_MS, TOKEN, OperatorHost, catalogue
from protobuf import Oneof

from hawthornbridge import domains, operations_pb as pb, operators
from hawthornbridge.acceptance import (
    ChangeConflict,
    ChangeInvalid,
    ChangeNotAccepted,
    ChangeUncertain,
    QuorumMissing,
)
from hawthornbridge.domaincapacity import Shortage
from hawthornbridge.domains import CapacityShort
from hawthornbridge.model import (
    DomainState,
    Entry,
    FailureDomain,
    PutFailureDomain,
    PutRollout,
    PutUpstream,
    PutVersion,
    Rollout,
    RolloutState,
    Version,
)
from hawthornbridge.operations_connect import OperationsClientSync
from hawthornbridge.operationscodec import (
    catalogue_from_wire,
    catalogue_to_wire,
    change_to_wire,
    refusal_from_wire,
)


@pytest.fixture(scope="module")
def running_host():
    with pytest.MonkeyPatch.context() as patch:
        # Real sockets rule out a virtual clock, so the intervals are short instead.
        patch.setattr(domains, "POLL_INTERVAL_S", 0.02)
        patch.setattr(domains, "SHORTAGE_CONFIRMED_S", 0.05)
        patch.setattr(operators, "WATCH_INTERVAL_S", 0.02)
        running = OperatorHost()
        yield running
        running.close()


@pytest.fixture
def host(running_host):
    running_host.reset()
    return running_host


@pytest.fixture
def client(host):
    with OperationsClientSync(f"http://{host.address}") as client:
        yield call_with_token(client)


def call_with_token(client, token=TOKEN):
    def bind(name):
        return lambda request: getattr(client, name)(
            request, headers={"authorization": f"Bearer {token}"}, timeout_ms=5_000
        )

    names = ("change", "drain_failure_domain", "restore_failure_domain", "start_rollout", "hold_rollout")
    names += ("continue_rollout", "roll_back_rollout", "list_configuration", "list_hosts", "watch")
    return SimpleNamespace(**{name: bind(name) for name in names})


def refusal(call, request):
    with pytest.raises(ConnectError) as raised:
        call(request)
    return raised.value.code, refusal_from_wire(raised.value.details[0].value(pb.Refusal))


def upstream(**fields):
    values = {
        "id": "u-new",
        "service": "desk",
        "shard": "s0",
        "failure_domain": "a",
        "version": "v1",
        "address": "127.0.0.1:9",
        "slots": 2,
        "connections": 25,
    }
    return pb.EntityChange(change=Oneof("put_upstream", pb.Upstream(**values | fields)))


def change(entity_change, operation_id="op-1", expected=0, force=False):
    return pb.ChangeRequest(operation_id=operation_id, expected_generation=expected, force=force, change=entity_change)


def service_with(**fields):
    return pb.EntityChange(change=Oneof("put_service", pb.Service(**{"name": "x", "version": "v1"} | fields)))


def rename(name):
    return pb.EntityChange(change=Oneof("put_failure_domain", pb.FailureDomain(name=name)))


@pytest.mark.parametrize(
    ("entity_change", "field"),
    [
        (None, "change"),
        (pb.EntityChange(), "change"),
        (upstream(slots=0), "change.put_upstream.slots"),
        (upstream(slots=2_000_000), "change.put_upstream.slots"),
        (upstream(id=""), "change.put_upstream.id"),
        (upstream(id="x" * 129), "change.put_upstream.id"),
        (upstream(address="example.org:80"), "change.put_upstream.address"),
        (upstream(failure_domain="z"), "upstream.failure_domain"),
        (upstream(service="z"), "upstream.service"),
        (service_with(policy=pb.Policy(7)), "change.put_service.policy"),
        (service_with(routes=[pb.Route(name="")]), "change.put_service.routes[0]"),
        (service_with(routes=[pb.Route(name="r")] * 2), "change.put_service.routes[1]"),
        (service_with(deadline_ms=4_000_000), "change.put_service.deadline_ms"),
        (service_with(classes=[pb.ClassLimits(name="c", weight=2_000_000)]), "change.put_service.classes[0].weight"),
        (pb.EntityChange(change=Oneof("remove_upstream", "")), "change.remove_upstream"),
        (service_with(name="desk", version="v2"), "change.put_service.version"),
        (pb.EntityChange(change=Oneof("put_rollout", pb.Rollout())), "change.put_rollout"),
    ],
)
def test_bad_input_names_the_field_and_changes_nothing(host, client, entity_change, field):
    expected = 4 if field == "change.put_service.version" else 0
    code, told = refusal(client.change, change(entity_change, expected=expected))
    assert (code, type(told), told.field) == (Code.INVALID_ARGUMENT, ChangeInvalid, field)
    assert host.head.entries == []


@pytest.mark.parametrize(
    ("request_", "field"),
    [
        (change(upstream(), operation_id=""), "operation_id"),
        (change(upstream(), operation_id="x" * 129), "operation_id"),
    ],
)
def test_a_bad_operation_id_is_refused(client, request_, field):
    assert refusal(client.change, request_)[1].field == field


@pytest.mark.parametrize(
    ("fault", "code", "told"),
    [
        ("down", Code.UNAVAILABLE, ChangeNotAccepted("store unavailable")),
        ("lost", Code.UNKNOWN, ChangeUncertain("answer lost")),
        ("no_quorum", Code.UNAVAILABLE, QuorumMissing(1, 2)),
    ],
)
def test_a_fault_of_the_log_is_told_with_its_type(host, client, fault, code, told):
    host.head.fault = fault
    assert refusal(client.change, change(upstream())) == (code, told)
    host.head.fault = None
    answer = client.change(change(upstream()))
    assert answer.repeated is (fault == "lost")
    assert len(host.head.entries) == 1


def test_force_accepts_without_a_quorum_and_says_so(host, client):
    host.head.fault = "no_quorum"
    assert client.change(change(upstream(), force=True)).forced


def test_a_repeated_operation_gets_its_first_result(host, client):
    first = client.change(change(upstream()))
    again = client.change(change(upstream()))
    assert (first.repeated, again.repeated, again.generation) == (False, True, first.generation)
    assert len(host.head.entries) == 1


def test_a_race_is_a_conflict_that_shows_what_won(host, client):
    first = client.change(change(upstream(slots=3)))
    code, told = refusal(client.change, change(upstream(slots=4), "op-2"))
    assert (code, type(told), told.current) == (Code.ABORTED, ChangeConflict, first.generation)
    assert told.winner.operation_id == "op-1"
    assert isinstance(told.winner.change, PutUpstream)
    assert told.winner.change.upstream.slots == 3


def test_a_capacity_refusal_has_figures_and_force_accepts(host, client):
    for name in "abc":
        host.load.set(name, busy=3)
    request = pb.MoveFailureDomainRequest(operation_id="op-1", expected_generation=1, failure_domain="a")
    code, told = refusal(client.drain_failure_domain, request)
    assert (code, told) == (Code.FAILED_PRECONDITION, CapacityShort((Shortage("desk", "s0", 9, 4, 2),)))
    assert host.head.entries == []
    request.force = True
    assert client.drain_failure_domain(request).generation == host.head.entries[0].generation


def test_a_drain_is_watched_until_done_and_then_restored(host, client):
    accepted = client.drain_failure_domain(
        pb.MoveFailureDomainRequest(operation_id="op-1", expected_generation=1, failure_domain="a", reason="works")
    )
    seen = list(client.watch(pb.WatchRequest(generation=accepted.generation, move=Oneof("failure_domain", "a"))))
    assert seen[-1].state is pb.MoveState.DONE
    assert [(move.host, move.confirmed) for move in seen[-1].hosts] == [("h1", True)]
    domain = client.list_configuration(pb.ListConfigurationRequest()).failure_domains[0]
    assert (domain.state, domain.drain) == (pb.DomainState.DRAINED, accepted.generation)
    # A put of a drained domain must not return it to service.
    client.change(change(rename("a"), "op-2", domain.generation))
    assert host.head.catalogue.domains["a"].state is DomainState.DRAINED
    restored = client.restore_failure_domain(
        pb.MoveFailureDomainRequest(
            operation_id="op-3", expected_generation=host.head.catalogue.generation, failure_domain="a"
        )
    )
    (end,) = client.watch(pb.WatchRequest(generation=restored.generation, move=Oneof("failure_domain", "a")))
    assert end.state is pb.MoveState.DONE
    assert host.head.catalogue.takes_work("a")


def test_a_change_is_watched_into_force(client):
    accepted = client.change(change(upstream()))
    (end,) = client.watch(pb.WatchRequest(generation=accepted.generation))
    assert end.state is pb.MoveState.DONE


def test_a_watch_that_its_client_has_left_makes_room(host, client, monkeypatch):
    """Guards against watches that add up until the host refuses all of them."""
    monkeypatch.setattr(operators, "WATCHES", 1)
    request = pb.WatchRequest(generation=10_000)
    first = client.watch(request)
    next(first)
    with pytest.raises(ConnectError) as raised:
        next(client.watch(request))
    assert raised.value.code is Code.RESOURCE_EXHAUSTED
    first.close()
    while host.service._watches:
        time.sleep(0.005)


@pytest.mark.parametrize(
    "request_",
    [
        pb.WatchRequest(),
        pb.WatchRequest(generation=5, move=Oneof("failure_domain", "a")),
    ],
)
def test_a_watch_of_no_move_is_refused(client, request_):
    code, told = refusal(lambda request: list(client.watch(request)), request_)
    assert (code, told.field) == (Code.INVALID_ARGUMENT, "generation")


@pytest.mark.parametrize(
    ("fields", "field"),
    [
        ({"service": "z"}, "service"),
        ({"new": "v1"}, "new"),
        ({"new": "v9"}, "rollout.new"),
        ({"steps": []}, "steps"),
        ({"steps": [0.06]}, "rollout.steps"),
        ({"steps": [0.05, 0.05]}, "rollout.steps"),
        ({"finish_by_ms": NOW_MS}, "finish_by_ms"),
    ],
)
def test_a_bad_rollout_is_refused(host, client, fields, field):
    client.change(change(change_to_wire(PutVersion(Version(service="desk", name="v2")))))
    code, told = refusal(client.start_rollout, start_request(**fields))
    assert (code, told.field) == (Code.INVALID_ARGUMENT, field)
    assert len(host.head.entries) == 1


def start_request(**fields):
    values = {
        "operation_id": "op-start",
        "service": "desk",
        "new": "v2",
        "steps": [0.05, 0.4],
        "finish_by_ms": NOW_MS + 1,
    }
    return pb.StartRolloutRequest(**values | fields)


def test_a_rollout_is_started_held_continued_and_rolled_back(host, client):
    client.change(change(change_to_wire(PutVersion(Version(service="desk", name="v2")))))
    generation = client.start_rollout(start_request()).generation
    assert client.start_rollout(start_request()).repeated
    code, told = refusal(client.start_rollout, start_request(operation_id="x", expected_generation=generation))
    assert (code, told.field) == (Code.INVALID_ARGUMENT, "service")

    def control(call, operation_id):
        return call(
            pb.ControlRolloutRequest(operation_id=operation_id, expected_generation=generation, service="desk")
        ).generation

    code, told = refusal(
        client.continue_rollout,
        pb.ControlRolloutRequest(operation_id="y", expected_generation=generation, service="desk"),
    )
    assert (code, told.field) == (Code.INVALID_ARGUMENT, "service")
    for call, state in (
        (client.hold_rollout, RolloutState.HELD),
        (client.continue_rollout, RolloutState.RUNNING),
        (client.roll_back_rollout, RolloutState.ROLLED_BACK),
    ):
        generation = control(call, state.value)
        assert host.head.catalogue.rollouts["desk"].state is state
    assert host.cuts == [("v2", "rolled back by an operator")]
    (end,) = client.watch(pb.WatchRequest(generation=generation, move=Oneof("rollout", "desk")))
    assert (end.state, end.share) == (pb.MoveState.ROLLED_BACK, 0.0)


def test_a_rollback_cuts_traffic_even_without_the_store(host, client):
    client.change(change(change_to_wire(PutVersion(Version(service="desk", name="v2")))))
    generation = client.start_rollout(start_request()).generation
    host.head.fault = "down"
    request = pb.ControlRolloutRequest(
        operation_id="op", expected_generation=generation, service="desk", reason="too slow"
    )
    assert refusal(client.roll_back_rollout, request)[1] == ChangeNotAccepted("store unavailable")
    assert host.cuts == [("v2", "too slow")]


def test_a_host_that_lags_builds_no_change_on_what_it_holds(host, client, monkeypatch):
    """Guards against a change built on an older entity, which would take back what came between."""
    monkeypatch.setattr("hawthornbridge.operators.CATCH_UP_S", 0.01)
    code, told = refusal(client.change, change(rename("a"), expected=50))
    assert (code, told.field) == (Code.INVALID_ARGUMENT, "expected_generation")


def test_hosts_are_listed(host, client):
    host.log.set_host("h2", generation=3, silent_s=1.5, leaving=True)
    listed = client.list_hosts(pb.ListHostsRequest()).hosts
    assert [(item.id, item.generation, item.silent_s, item.leaving) for item in listed][1] == ("h2", 3, 1.5, True)


@pytest.mark.parametrize("token", ["", "operators-token-2", "operators-token-1x"])
def test_a_bad_token_is_refused_and_probes_need_none(host, token):
    with OperationsClientSync(f"http://{host.address}") as client, pytest.raises(ConnectError) as raised:
        call_with_token(client, token).list_hosts(pb.ListHostsRequest())
    assert raised.value.code is Code.UNAUTHENTICATED
    with httpcore.ConnectionPool() as pool:
        assert pool.request("GET", f"http://{host.address}/readyz").content == b"ok"


def test_a_body_that_is_too_long_or_too_slow_is_refused(host):
    path = "/hawthornbridge.v1.Operations/Change"
    headers = f"POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\ncontent-length: 5000\r\n\r\n"
    for body, status in ((b"x" * 5_000, b"413"), (b"x", b"408")):
        with socket.create_connection(host.address.split(":")) as connection:
            connection.sendall(headers.encode() + body)
            assert connection.recv(4_096).split()[1] == status


def test_unary_calls_accept_plain_json(host):
    """Guards against calls that only a generated client can make."""
    with httpcore.ConnectionPool() as pool:
        response = pool.request(
            "POST",
            f"http://{host.address}/hawthornbridge.v1.Operations/ListHosts",
            headers={"authorization": f"Bearer {TOKEN}", "content-type": "application/json"},
            content=b"{}",
        )
    assert msgspec.json.decode(response.content)["hosts"][0]["id"] == "h1"


def test_a_catalogue_survives_the_wire():
    rollout = Rollout(service="desk", old="v1", new="v2", steps=(0.05,), finish_by_ms=9, started_ms=1)
    changes = [
        PutVersion(Version(service="desk", name="v2")),
        PutRollout(rollout),
        PutFailureDomain(FailureDomain(name="d", state=DomainState.DRAINED, reason="works", forced=True, drain=3)),
    ]
    whole = catalogue()
    for number, item in enumerate(changes, whole.generation + 1):
        whole = whole.apply(Entry(number, f"op-{number}", item))
    wire = pb.Configuration.from_binary(catalogue_to_wire(whole).to_binary())
    assert catalogue_from_wire(wire) == whole
