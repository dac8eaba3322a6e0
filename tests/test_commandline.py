import re
import socket
import threading
from pathlib import Path

import msgspec
import pytest
from operatorfakes import NOW_MS, TOKEN, OperatorHost

from hawthornbridge import domains, operatorclient, operators
from hawthornbridge.commandline import ExitCode, run
from hawthornbridge.commands import ADDRESSES_VARIABLE, TOKEN_VARIABLE
from hawthornbridge.deployments import Deployment, plan
from hawthornbridge.model import DomainState, RolloutState, fold

UPSTREAM = """{ // a new replica
    "id": "u-new", "service": "desk", "shard": "s0", "failure_domain": "a", "version": "v1",
    "address": "127.0.0.1:9", "slots": 2, "connections": 25,
}"""


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
def host(running_host, monkeypatch):
    running_host.reset()
    monkeypatch.setenv(ADDRESSES_VARIABLE, running_host.address)
    monkeypatch.setenv(TOKEN_VARIABLE, TOKEN)
    monkeypatch.setattr(operatorclient, "ROUND_DELAY_S", 0.0)
    return running_host


@pytest.fixture
def call(capsys):
    def run_json(*arguments):
        code = run([*arguments, "--json"])
        return code, [msgspec.json.decode(line) for line in capsys.readouterr().out.splitlines()]

    return run_json


@pytest.fixture
def upstream_file(tmp_path):
    path = tmp_path / "upstream.jsonc"
    path.write_text(UPSTREAM)
    return str(path)


def test_an_entity_is_put_listed_and_removed(host, call, upstream_file):
    code, (put,) = call("put", "upstream", upstream_file)
    assert (code, put["outcome"], put["generation"]) == (ExitCode.OK, "accepted", host.head.catalogue.generation)
    _, (rows,) = call("list", "upstreams")
    assert [row["id"] for row in rows] == ["u-a", "u-b", "u-c", "u-new"]
    assert call("remove", "upstream", "u-new", "--watch")[1][-1]["state"] == "done"
    assert "u-new" not in host.head.catalogue.upstreams


def test_a_drain_and_a_restore_are_watched(host, call):
    code, lines = call("drain", "a", "--watch", "--reason", "new power supply")
    assert (code, lines[-1]["state"], lines[-1]["reason"]) == (ExitCode.OK, "done", "new power supply")
    assert host.head.catalogue.domains["a"].state is DomainState.DRAINED
    assert call("restore", "a", "--watch")[0] == ExitCode.OK


@pytest.mark.parametrize(
    ("arguments", "fault", "code", "outcome"),
    [
        (("drain", "z"), None, ExitCode.INVALID, "invalid"),
        (("drain", "a", "--expected", "0"), None, ExitCode.CONFLICT, "conflict"),
        (("drain", "a"), "busy", ExitCode.CAPACITY_SHORT, "capacity_short"),
        (("drain", "a"), "down", ExitCode.NOT_ACCEPTED, "not_accepted"),
        (("drain", "a"), "no_quorum", ExitCode.QUORUM_MISSING, "quorum_missing"),
        (("drain", "a", "--force"), "no_quorum", ExitCode.OK, "accepted"),
        # The retry with the same operation id settles the lost answer.
        (("drain", "a"), "lost", ExitCode.OK, "accepted"),
        (("drain", "a"), "always_lost", ExitCode.UNCERTAIN, "uncertain"),
    ],
)
def test_each_outcome_has_an_exit_code(host, call, arguments, fault, code, outcome):
    host.head.fault = fault
    if fault == "busy":
        for name in "abc":
            host.load.set(name, busy=3)
    ended, lines = call(*arguments)
    assert (ended, lines[-1]["outcome"]) == (code, outcome)


def test_a_conflict_and_a_capacity_refusal_say_what_matters(host, call, capsys, upstream_file):
    """Guards against messages that leave an operator without the change that won or the figures."""
    call("put", "upstream", upstream_file, "--operation-id", "op-first")
    run(["put", "upstream", upstream_file, "--expected", "0"])
    told = capsys.readouterr().err
    assert "put upstream desk:u-new of operation op-first" in told
    for name in "abc":
        host.load.set(name, busy=3)
    run(["drain", "a"])
    assert "desk shard s0: 9 busy, 4 slots and 2 replicas would remain" in capsys.readouterr().err


def test_a_rolled_back_and_a_superseded_drain_have_exit_codes(host, call):
    host.log.set_host("h2", generation=1)
    _, (drained,) = call("drain", "a")
    for name in "bc":
        host.load.set(name, replicas=0)
    code, lines = call("watch", str(drained["generation"]), "--failure-domain", "a")
    assert (code, lines[-1]["state"]) == (ExitCode.ROLLED_BACK, "rolled_back")
    assert "no replica of desk shard s0 remains" in lines[-1]["reason"]
    host.load.__init__()
    _, (again,) = call("drain", "a")
    call("restore", "a")
    code, lines = call("watch", str(again["generation"]), "--failure-domain", "a")
    assert (code, lines[-1]["state"]) == (ExitCode.SUPERSEDED, "superseded")


def test_a_rollout_is_controlled(host, call, tmp_path):
    version = tmp_path / "version.json"
    version.write_text('{"service": "desk", "name": "v2"}')
    call("put", "version", str(version))
    until = str(NOW_MS + 1)
    assert call("rollout", "start", "desk", "v2", "--steps", "0.05,0.3", "--finish-by-ms", until)[0] == ExitCode.OK
    for verb, state in (
        ("hold", RolloutState.HELD),
        ("continue", RolloutState.RUNNING),
        ("roll-back", RolloutState.ROLLED_BACK),
    ):
        assert call("rollout", verb, "desk")[0] == ExitCode.OK
        assert host.head.catalogue.rollouts["desk"].state is state
    assert call("remove", "version", "desk:v2")[0] == ExitCode.OK


def test_hosts_and_tables_are_printed(host, call, capsys):
    assert call("list", "hosts")[1][0][0]["id"] == "h1"
    assert run(["list", "failure-domains"]) == ExitCode.OK
    header, *rows = capsys.readouterr().out.splitlines()
    assert header.split() == ["generation", "name", "state", "reason", "forced", "drain"]
    assert [row.split()[1:3] for row in rows] == [["a", "active"], ["b", "active"], ["c", "active"]]


def lose_answers(listener, address, count):
    """Pass requests on to a host, and close the connection instead of returning its answer."""
    for _ in range(count):
        connection, _ = listener.accept()
        with connection, socket.create_connection(address.split(":")) as host:
            host.sendall(connection.recv(65_536))
            host.recv(65_536)


def test_a_retry_at_the_next_host_after_a_lost_answer_is_safe(host, call):
    """Guards against a change that is made twice, or told as failed, because its answer was lost."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        lossy = f"127.0.0.1:{listener.getsockname()[1]}"
        proxy = threading.Thread(target=lose_answers, args=(listener, host.address, 1))
        proxy.start()
        code, (drained,) = call("drain", "a", "--expected", "1", "--addresses", f"{lossy},{host.address}")
        proxy.join()
    assert (code, drained["outcome"], drained["repeated"]) == (ExitCode.OK, "accepted", True)
    assert len([entry for entry in host.head.entries if entry.operation_id == drained["operation_id"]]) == 1


def test_dead_hosts_are_passed_over(host, call):
    assert call("list", "hosts", "--addresses", f"127.0.0.1:1,{host.address}")[0] == ExitCode.OK
    assert call("list", "hosts", "--addresses", "127.0.0.1:1")[0] == ExitCode.UNREACHABLE
    assert call("drain", "a", "--expected", "1", "--addresses", "127.0.0.1:1")[0] == ExitCode.UNREACHABLE


def test_tokens_come_from_a_file_or_the_environment(host, call, tmp_path, monkeypatch):
    token = tmp_path / "token"
    token.write_text(f"{TOKEN}\n")
    monkeypatch.setenv(TOKEN_VARIABLE, "a-wrong-operators-token")
    assert call("list", "hosts")[0] == ExitCode.UNAUTHENTICATED
    assert call("list", "hosts", "--token-file", str(token))[0] == ExitCode.OK
    monkeypatch.delenv(TOKEN_VARIABLE)
    assert call("list", "hosts")[0] == ExitCode.USAGE


@pytest.mark.parametrize(
    "arguments",
    [
        ("put", "upstream", "/nonexistent"),
        ("apply", "/nonexistent"),
        ("watch", "1", "--failure-domain", "a", "--rollout", "desk"),
        ("remove", "version", "v1"),
        ("rollout", "start", "desk", "v2", "--steps", "many", "--finish-by-ms", "1"),
    ],
)
def test_what_cannot_be_used_is_a_usage_error(host, call, arguments):
    assert call(*arguments)[0] == ExitCode.USAGE


def test_an_exported_configuration_can_be_applied(host, call, capsys, tmp_path):
    run(["export"])
    path = tmp_path / "deployment.jsonc"
    path.write_text("// exported\n" + capsys.readouterr().out)
    assert call("apply", str(path)) == (ExitCode.OK, [{"outcome": "unchanged"}])
    tree = msgspec.json.decode(path.read_text().partition("\n")[2])
    tree["upstreams"] = tree["upstreams"][:2]
    tree["upstreams"][0]["slots"] = 9
    path.write_text(msgspec.json.encode(tree).decode())
    assert [set(line) for line in call("apply", str(path), "--prune", "--dry-run")[1]] == [{"planned"}] * 2
    first = call("apply", str(path), "--prune", "--operation-id", "op")
    assert (first[0], [line["outcome"] for line in first[1]]) == (ExitCode.OK, ["accepted"] * 2)
    assert host.head.catalogue.upstreams.keys() == {"u-a", "u-b"}
    assert host.head.catalogue.upstreams["u-a"].slots == 9


def test_an_apply_keeps_what_moves_have_set():
    """Guards against a file that returns a drained domain to service or undoes a rollout."""
    catalogue = fold(Deployment(failure_domains=("a",)).changes())
    drained = msgspec.structs.replace(catalogue.domains["a"], state=DomainState.DRAINED)
    catalogue = msgspec.structs.replace(catalogue, domains={"a": drained})
    assert plan(catalogue, Deployment(failure_domains=("a",))) == []


def test_shell_completion_knows_commands_and_choices(monkeypatch, capsys):
    for line, location, expected in (("dr", "2", "drain:"), ("list up", "3", "upstreams:")):
        monkeypatch.setenv("COMPLETION_LINE", f"hawthornbridgectl {line}")
        monkeypatch.setenv("COMPLETION_LOCATION", location)
        with pytest.raises(SystemExit) as raised:
            run(["--completion=complete"])
        assert (raised.value.code, capsys.readouterr().out.strip()) == (0, expected)


def test_the_page_lists_every_exit_code():
    page = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    listed = {(int(code), name) for code, name in re.findall(r"^\| (\d+) \| (\w+) \|", page, re.M)}
    assert listed == {(code.value, code.name.lower()) for code in ExitCode}
