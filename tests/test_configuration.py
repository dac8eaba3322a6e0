"""Properties of the configuration over several hosts, compared with the changes in the store's history."""

from collections import deque
from functools import partial

import anyio
import msgspec
import trio
import trio.testing
from hypothesis import HealthCheck, given, settings, strategies as st

from hawthornbridge.acceptance import (
    ChangeAccepted,
    ChangeConflict,
    ChangeInvalid,
    ChangeNotAccepted,
    ChangeUncertain,
    QuorumMissing,
)
from hawthornbridge.confighead import HEAD_KEY, Head, encode_state
from hawthornbridge.freshness import Fresh
from hawthornbridge.ids import DomainName, Generation, OperationId
from hawthornbridge.messages import BaseChunk, Entries
from hawthornbridge.model import Catalogue, FailureDomain, PutFailureDomain, RemoveFailureDomain
from standins.fleet import Fleet
from standins.memorystore import Fault

HOSTS = 5
NAMES = [f"h{number}" for number in range(HOSTS)]
LAG_S = 3.0
CONVERGED_S = 4.0


def put(name, reason=""):
    return PutFailureDomain(FailureDomain(name=DomainName(name), reason=reason))


def operation(text):
    return OperationId(text)


def history_of(fleet):
    """Return the entries that the store has ever held, by generation."""
    entries = {}
    for key, value in fleet.state.history:
        if key == HEAD_KEY:
            for entry in msgspec.json.decode(value, type=Head).entries:
                assert entries.setdefault(entry.generation, entry) == entry
    return entries


class Check:
    """Compares every host with the catalogue that the store's history gives, continuously."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.accepted = []
        self.refused = set()
        self._folds = [Catalogue()]
        self._highest = {}
        self._violations = []

    def fold(self, generation):
        while len(self._folds) <= generation:
            self._folds.append(self._folds[-1].apply(history_of(self.fleet)[len(self._folds)]))
        return self._folds[generation]

    def now(self):
        now = anyio.current_time()
        assert not self._violations
        for control in self.fleet.running:
            generation = control.configuration.generation
            if control not in self._highest:
                self._highest[control] = generation
                control.configuration.add_listener(partial(self._adopted, control))
            assert control.configuration.catalogue == self.fold(generation), "a host holds what the store never held"
            if control.configuration.may_serve().serves:
                for accepted, accepted_s in self.accepted:
                    lag_s = now - accepted_s
                    assert generation >= accepted or lag_s <= LAG_S, f"{control.membership.identity.host} lags {lag_s}"

    def _adopted(self, control, catalogue):
        if catalogue.generation <= self._highest[control]:
            self._violations.append(f"{control.membership.identity.host} went back to {catalogue.generation}")
        self._highest[control] = catalogue.generation

    async def run(self):
        while True:
            self.now()
            await anyio.sleep(0.1)

    async def propose(self, name, entity, number, force=False):
        control = self.fleet.controls[name].configuration
        change = put(f"d{entity}", f"change {number}")
        expected = control.catalogue.generation_of(change)
        outcome = await control.propose(change, expected, operation(f"op{number}"), force=force)
        match outcome:
            case ChangeAccepted(generation):
                assert history_of(self.fleet)[generation].operation_id == f"op{number}"
                if not force:
                    self.accepted.append((generation, anyio.current_time()))
            case ChangeUncertain():
                pass
            case _:
                self.refused.add(f"op{number}")
        return outcome

    def finish(self):
        head = max(history_of(self.fleet), default=0)
        operations = {entry.operation_id for entry in history_of(self.fleet).values()}
        assert not self._violations
        assert not self.refused & operations, "a refused change is in the store"
        for control in self.fleet.running:
            assert control.configuration.generation == head, "a connected host has not converged"
            assert head == 0 or isinstance(control.configuration.may_serve(), Fresh)


def run_virtual(main):
    async def limited():
        with anyio.fail_after(3_600):
            async with anyio.create_task_group() as tasks:
                await main(tasks)
                tasks.cancel_scope.cancel()

    trio.run(limited, clock=trio.testing.MockClock(autojump_threshold=0))


async def settled_fleet(tasks, seed=0, hosts=HOSTS):
    fleet = Fleet(tasks, hosts, seed)
    fleet.start_all(hosts)
    await anyio.sleep(7)
    outcome = await fleet.controls["h0"].configuration.propose(put("d0"), Generation(0), operation("first"))
    assert outcome == ChangeAccepted(Generation(1), repeated=False, forced=False)
    await anyio.sleep(1)
    return fleet


HOST = st.sampled_from(NAMES)
SOME_HOSTS = st.sets(HOST, min_size=1, max_size=HOSTS - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.sampled_from([0.05, 0.5, 1.5, 3.5])),
        st.tuples(st.just("propose"), HOST, st.integers(0, 2)),
        st.tuples(st.just("propose"), HOST, st.integers(0, 2)),
        st.tuples(st.just("force"), HOST, st.integers(0, 2)),
        st.tuples(st.just("partition"), SOME_HOSTS),
        st.tuples(st.just("one_way"), SOME_HOSTS, HOST),
        st.tuples(st.just("region_cut_off"), SOME_HOSTS),
        st.tuples(st.just("loss"), st.sampled_from([0.0, 0.1, 0.3])),
        st.tuples(st.just("reorder"), st.sampled_from([0.0, 0.4])),
        st.tuples(st.just("store_down"), SOME_HOSTS),
        st.tuples(st.just("store_down_for_all")),
        st.tuples(st.just("store_up")),
        st.tuples(st.just("lost_answers"), HOST, st.lists(st.sampled_from(list(Fault)), max_size=4)),
        st.tuples(st.just("watch_lag"), HOST),
        st.tuples(st.just("pause"), HOST),
        st.tuples(st.just("resume")),
        st.tuples(st.just("restart"), HOST),
        st.tuples(st.just("heal")),
    ),
    min_size=4,
    max_size=24,
)


async def take(step, fleet, check, number):
    faults = fleet.network.faults
    match step:
        case ("wait", duration_s):
            await anyio.sleep(duration_s)
        case ("propose" | "force" as kind, host, entity):
            fleet.spawn(host, partial(check.propose, host, entity, number, kind == "force"))
            await anyio.sleep(0.02)
        case ("partition", side):
            fleet.network.block(side, set(NAMES) - side)
        case ("one_way", sources, target):
            fleet.network.block(sources, {target}, both=False)
        case ("region_cut_off", side):
            fleet.network.block(side, set(NAMES) - side)
            fleet.break_store(set(NAMES) - side)
        case ("loss", share):
            faults.loss = share
        case ("reorder", jitter_s):
            faults.jitter_s = jitter_s
            faults.duplication = 0.2 if jitter_s else 0.0
        case ("store_down", hosts):
            fleet.break_store(hosts)
        case ("store_down_for_all",):
            fleet.break_store(set(NAMES))
        case ("store_up",):
            fleet.break_store(set(NAMES), broken=False)
        case ("lost_answers", host, calls):
            fleet.stores[host].faults.next_calls = deque(calls)
        case ("watch_lag", host):
            fleet.stores[host].faults.watch_lag_s = 10.0
        case ("pause", host):
            faults.paused.add(host)
        case ("resume",):
            for host in list(faults.paused):
                fleet.network.resume(host)
        case ("restart", host):
            fleet.restart(host)
        case ("heal",):
            fleet.network.unblock_all()


def restore(fleet):
    fleet.network.unblock_all()
    faults = fleet.network.faults
    faults.loss = faults.jitter_s = faults.duplication = 0.0
    for host in list(faults.paused):
        fleet.network.resume(host)
    for store in fleet.stores.values():
        store.faults.unavailable = False
        store.faults.next_calls.clear()


@settings(max_examples=30, suppress_health_check=[HealthCheck.too_slow])
@given(STEPS, st.integers(0, 1_000))
def test_hosts_agree_with_the_store_history_under_any_faults(steps, seed):
    """Guards against reversion, invented or lost entries, and hosts that serve on an old configuration."""

    async def main(tasks):
        fleet = await settled_fleet(tasks, seed)
        check = Check(fleet)
        tasks.start_soon(check.run)
        for number, step in enumerate(steps):
            await take(step, fleet, check, number)
        restore(fleet)
        await anyio.sleep(CONVERGED_S)
        check.finish()

    run_virtual(main)


def scenario(test):
    """Run an async test on a settled fleet with the continuous check."""

    def run():
        async def main(tasks):
            fleet = await settled_fleet(tasks)
            check = Check(fleet)
            tasks.start_soon(check.run)
            await test(fleet, check)

        run_virtual(main)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


def reasons(fleet):
    return {name: type(control.configuration.may_serve()).__name__ for name, control in fleet.controls.items()}


def others(*names):
    return set(NAMES) - set(names)


@scenario
async def test_a_minority_with_the_store_accepts_nothing_that_the_majority_would_miss(fleet, check):
    """Guards against acceptance without a quorum, also right after the partition, when peers still count as heard."""
    fleet.network.block({"h0", "h1"}, others("h0", "h1"))
    fleet.break_store(others("h0", "h1"))
    assert isinstance(await check.propose("h0", 1, 1), QuorumMissing)
    await anyio.sleep(5)
    assert isinstance(await check.propose("h0", 1, 2), QuorumMissing)
    assert reasons(fleet) == dict.fromkeys(["h0", "h1"], "Fresh") | dict.fromkeys(
        ["h2", "h3", "h4"], "ContinuedByQuorum"
    )
    forced = await check.propose("h0", 1, 3, force=True)
    assert forced == ChangeAccepted(Generation(2), repeated=False, forced=True)


@scenario
async def test_a_proposer_lost_while_it_writes_stops_those_that_cannot_see_the_outcome(fleet, check):
    """Guards against a change accepted by a host that is cut off between its announcement and its write."""
    fleet.stores["h0"].faults.delay_s = 0.3
    fleet.spawn("h0", partial(check.propose, "h0", 1, 1))
    await anyio.sleep(0.4)
    fleet.network.block({"h0"}, others("h0"))
    fleet.break_store(others("h0"))
    await anyio.sleep(5)
    assert check.accepted
    assert {reasons(fleet)[name] for name in others("h0")} == {"UnresolvedChange"}
    fleet.break_store(others("h0"), broken=False)
    fleet.stores["h0"].faults.delay_s = 0.0
    await anyio.sleep(2)
    assert {control.configuration.generation for control in fleet.running} == {2}
    assert set(reasons(fleet).values()) == {"Fresh"}


@scenario
async def test_service_continues_without_a_gap_while_the_store_is_down_for_all(fleet, check):
    """Guards against an outage of the store, and crashes and restarts during it, that stop the hosts."""
    fleet.break_store(set(NAMES))
    for step in range(100):
        if step == 50:
            fleet.kill("h4")
        if step == 70:
            fleet.restart("h3")
        await anyio.sleep(0.1)
        serving = [control.configuration.may_serve().serves for control in fleet.running]
        assert serving.count(False) <= (step >= 70), (step, reasons(fleet))
    assert set(reasons(fleet).values()) == {"ContinuedByQuorum"}
    outcome = await check.propose("h0", 1, 1)
    assert isinstance(outcome, ChangeNotAccepted)


@scenario
async def test_an_isolated_host_stops_within_3_s(fleet, check):
    """Guards against a host that keeps serving while it reaches neither peers nor the store."""
    fleet.network.block({"h2"}, others("h2"))
    fleet.break_store({"h2"})
    await anyio.sleep(3)
    assert reasons(fleet) == dict.fromkeys(others("h2"), "Fresh") | {"h2": "QuorumLost"}
    fleet.network.unblock_all()
    await anyio.sleep(2)
    assert reasons(fleet)["h2"] == "Fresh"


@scenario
async def test_a_paused_host_serves_only_after_it_has_heard_again(fleet, check):
    """Guards against old heartbeats, queued during a pause, that count as recent."""
    fleet.break_store({"h4"})
    fleet.network.faults.paused.add("h4")
    await anyio.sleep(10)
    assert isinstance(await check.propose("h0", 1, 1), ChangeAccepted)
    # The link from peers is blocked first, so that only queued messages arrive.
    fleet.network.block(others("h4"), {"h4"}, both=False)
    await anyio.sleep(10)
    fleet.network.resume("h4")
    for _ in range(30):
        await anyio.sleep(0.05)
        state = fleet.controls["h4"].configuration
        assert not state.may_serve().serves or state.generation == 2
    fleet.network.unblock_all()
    await anyio.sleep(2)
    assert reasons(fleet)["h4"] == "Fresh"


@scenario
async def test_late_heartbeats_make_no_host_fresh(fleet, check):
    """Guards against ages counted from arrival: a link that delays by 10 s must not hide that the sender is gone."""
    fleet.break_store({"h4"})
    fleet.network.faults.choose = lambda source, target: 10.0 if target == "h4" else 0.0
    await anyio.sleep(5)
    assert not fleet.controls["h4"].configuration.may_serve().serves


@scenario
async def test_one_way_loss_stops_only_the_host_that_hears_nothing(fleet, check):
    """Guards against a host that others hear, that hears none of them, and that keeps serving."""
    fleet.network.block(others("h4"), {"h4"}, both=False)
    fleet.break_store({"h4"})
    await anyio.sleep(3)
    assert reasons(fleet) == dict.fromkeys(others("h4"), "Fresh") | {"h4": "QuorumLost"}


@scenario
async def test_a_store_restored_from_an_old_backup_reverts_nothing(fleet, check):
    """Guards against reversion to what an old backup of the store holds, whether it is read or watched."""
    old = fleet.state.read(HEAD_KEY).value
    assert isinstance(await check.propose("h1", 1, 1), ChangeAccepted)
    await anyio.sleep(1)
    current = fleet.state.read(HEAD_KEY).value
    for phase in range(8):
        fleet.state.write(HEAD_KEY, current, fleet.state.read(HEAD_KEY).revision, None)
        await anyio.sleep(3 + phase * 0.07)
        assert set(reasons(fleet).values()) == {"Fresh"}
        fleet.state.write(HEAD_KEY, old, fleet.state.read(HEAD_KEY).revision, None)
        await anyio.sleep(4)
        assert set(reasons(fleet).values()) == {"ContinuedByQuorum"}
    assert {control.configuration.generation for control in fleet.running} == {2}
    assert isinstance(await check.propose("h1", 1, 2), ChangeNotAccepted)


@scenario
async def test_late_messages_revert_nothing(fleet, check):
    """Guards against an old base or old entries from a peer that replace newer ones."""
    old = fleet.controls["h1"].configuration._state
    assert isinstance(await check.propose("h1", 1, 1), ChangeAccepted)
    await anyio.sleep(1)
    host = fleet.controls["h4"]
    for kind, message in [
        (BaseChunk, BaseChunk("h1", "h1", old.generation, 0, 1, encode_state(old))),
        (Entries, Entries("h1", (history_of(fleet)[1],))),
    ]:
        for handler in host.peers._handlers[kind]:
            handler(message)
    assert host.configuration.generation == 2


def test_a_watch_does_not_count_as_a_store_contact():
    """Guards against freshness from a watch, which may lag and so misses a change without saying so."""

    async def main(tasks):
        fleet = Fleet(tasks, 1)
        read_s = []

        def note(kind):
            if kind == "get" and anyio.current_time() > 2:
                return Fault.UNAVAILABLE
            if kind == "get":
                read_s.append(anyio.current_time())
            return Fault.NONE

        host = fleet.start("h0", 0).configuration
        fleet.stores["h0"].faults.choose = note
        await anyio.sleep(1)
        assert isinstance(await host.propose(put("d0"), Generation(0), operation("a")), ChangeAccepted)
        while anyio.current_time() < 4:
            await anyio.sleep(0.03)
            assert host.may_serve().age_s >= anyio.current_time() - read_s[-1]

    run_virtual(main)


@scenario
async def test_a_host_that_lacks_entries_is_not_fresh_by_its_peers(fleet, check):
    """Guards against a host that hears recent contacts with the store but not what was read there."""
    fleet.break_store({"h4"})
    host = fleet.controls["h4"]
    host.peers._handlers.pop(Entries)
    assert isinstance(await check.propose("h0", 1, 1), ChangeAccepted)
    await anyio.sleep(LAG_S)
    assert host.configuration.generation == 1
    assert not host.configuration.may_serve().serves


@scenario
async def test_an_accepted_change_reaches_all_hosts_in_one_hop_during_a_store_outage(fleet, check):
    """Guards against dissemination that needs the store after acceptance."""
    fleet.network.faults.delay_s = 0.02
    assert isinstance(await check.propose("h3", 1, 1), ChangeAccepted)
    fleet.break_store(set(NAMES))
    # One hop; the repair through heartbeats would take three.
    with anyio.fail_after(0.03):
        for control in fleet.running:
            await control.configuration.wait_for(Generation(2))
    await anyio.sleep(0.1)
    progress = fleet.controls["h3"].configuration.progress()
    assert {host.host: host.generation for host in progress} == dict.fromkeys(NAMES, 2)
    assert max(host.silent_s for host in progress) < 1.0


@scenario
async def test_a_change_whose_proposer_dies_is_in_force_within_4_s(fleet, check):
    """Guards against an accepted change that only its proposer knows of."""
    fleet.network.faults.choose = lambda source, target: 100.0 if source == "h3" and fleet.state.keys else 0.0
    outcome = await fleet.controls["h3"].configuration.propose(put("d1"), Generation(0), operation("a"), force=True)
    assert isinstance(outcome, ChangeAccepted)
    fleet.kill("h3")
    with anyio.fail_after(4):
        for control in fleet.running:
            await control.configuration.wait_for(Generation(2))


@scenario
async def test_racing_changes_of_different_entities_both_succeed(fleet, check):
    """Guards against a lost race that refuses a change although nobody else changed its entity."""
    outcomes = []

    async def propose(name, entity):
        outcomes.append(await check.propose(name, entity, entity))

    async with anyio.create_task_group() as tasks:
        for number, name in enumerate(NAMES, start=1):
            tasks.start_soon(propose, name, number)
    assert sorted(outcome.generation for outcome in outcomes) == [2, 3, 4, 5, 6]


@scenario
async def test_racing_changes_of_one_entity_have_one_winner(fleet, check):
    """Guards against two operators who overwrite each other's change without a conflict."""
    outcomes = []

    async def propose(name, number):
        outcomes.append(await check.propose(name, 1, number))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(propose, "h1", 1)
        tasks.start_soon(propose, "h2", 2)
    winner = history_of(fleet)[2]
    assert [o for o in outcomes if isinstance(o, ChangeConflict)] == [ChangeConflict(Generation(2), winner)]
    assert len([o for o in outcomes if isinstance(o, ChangeAccepted)]) == 1


@scenario
async def test_a_lost_answer_is_settled_by_reading_back(fleet, check):
    """Guards against a change that is written twice, or reported lost, after the store's answer was lost."""
    control = fleet.controls["h0"].configuration
    for number, fault in enumerate([Fault.LOST_AFTER, Fault.LOST_BEFORE], start=2):
        pending = deque([fault])
        fleet.stores["h0"].faults.choose = lambda kind, pending=pending: (
            pending.popleft() if kind == "compare_and_swap" and pending else Fault.NONE
        )
        outcome = await control.propose(put(f"d{number}"), Generation(0), operation(f"op{number}"))
        assert outcome == ChangeAccepted(Generation(number), repeated=False, forced=False)
    await anyio.sleep(0.1)
    again = await fleet.controls["h1"].configuration.propose(put("d2"), Generation(0), operation("op2"))
    assert again == ChangeAccepted(Generation(2), repeated=True, forced=False)


@scenario
async def test_a_change_that_does_not_fit_is_refused_with_its_field(fleet, check):
    """Guards against an entry that no host could apply."""
    control = fleet.controls["h0"].configuration
    refused = await control.propose(RemoveFailureDomain(DomainName("none")), Generation(0), operation("a"))
    assert refused == ChangeInvalid("name", "no failure domain 'none'")
    large = await control.propose(put("d9", "x" * 60_000), Generation(0), operation("b"))
    assert isinstance(large, ChangeInvalid)


@scenario
async def test_a_host_that_starts_in_an_outage_takes_a_compacted_configuration_from_peers(fleet, check):
    """Guards against a compacted base that cannot be read from the store or from peers."""
    control = fleet.controls["h0"].configuration
    for number in range(100):
        change = put(f"e{number % 40}", "x" * 3_000)
        expected = control.catalogue.generation_of(change)
        outcome = await control.propose(change, expected, operation(f"c{number}"))
        assert isinstance(outcome, ChangeAccepted), outcome
    await anyio.sleep(1)
    head = msgspec.json.decode(fleet.state.read(HEAD_KEY).value, type=Head)
    assert head.base > 90
    assert len(fleet.state.keys) == 2
    repeated = await control.propose(put("d0"), Generation(0), operation("first"))
    assert repeated == ChangeAccepted(Generation(1), repeated=True, forced=False)
    fleet.restart("h3")
    with anyio.fail_after(2):
        await fleet.controls["h3"].configuration.wait_for(Generation(101))
    fleet.break_store(set(NAMES))
    fleet.restart("h4")
    assert reasons(fleet)["h4"] == "NoConfiguration"
    with anyio.fail_after(4):
        await fleet.controls["h4"].configuration.wait_for(Generation(101))


@scenario
async def test_the_rate_of_calls_to_the_store_is_bounded(fleet, check):
    """Guards against hosts that all read the store: 9 calls/s for 3 watchers, and one read a second each if down."""
    calls = fleet.state.calls
    calls.clear()
    await anyio.sleep(20)
    assert calls.total() / 20 < 20
    fleet.break_store(set(NAMES))
    calls.clear()
    await anyio.sleep(20)
    assert calls.total() / 20 < 1.3 * HOSTS
