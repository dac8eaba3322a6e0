import anyio
import pytest
from hypothesis import example, given, strategies as st
from operatorfakes import CHANGES, FakeChangeLog, FakeHead, FakeLoad, catalogue

from hawthornbridge.acceptance import ChangeAccepted, ChangeConflict, ChangeInvalid, ChangeNotAccepted
from hawthornbridge.domaincapacity import ShardLoad, Shortage, shortages
from hawthornbridge.domains import CapacityShort, DomainMoves, MoveState
from hawthornbridge.model import DomainState, Entry, PutShardMap, ShardMap
from standins.fleet import Fleet as ControlFleet

pytestmark = pytest.mark.anyio


class Fleet:
    """Two hosts that share one head, each with its own domain moves."""

    def __init__(self, load=None):
        self.head = FakeHead(catalogue())
        self.load = load or FakeLoad()
        self.logs = [FakeChangeLog(self.head, "h1"), FakeChangeLog(self.head, "h2")]
        self.moves = [DomainMoves(log, self.load, host) for log, host in zip(self.logs, ("h1", "h2"), strict=True)]
        for log in self.logs:
            log.set_host("h1")
            log.set_host("h2")

    def set_host(self, host, generation=None, silent_s=0.0):
        for log in self.logs:
            log.set_host(host, generation, silent_s)

    def domain(self, name):
        return self.head.catalogue.domains[name]


async def drained(fleet, name="a", expected=1, **options):
    outcome = await fleet.moves[0].drain(name, expected, f"drain-{name}", **options)
    assert isinstance(outcome, ChangeAccepted), outcome
    return outcome.generation


async def run_for(fleet, seconds, hosts=(0, 1)):
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as tasks:
            for host in hosts:
                tasks.start_soon(fleet.moves[host].run)


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        # Guards against a drain that leaves too few slots or no replica, and against one whose load is not known.
        ({"a": (2, 1, 1), "b": (2, 0.5, 1), "c": (2, 0.5, 1)}, []),
        ({"a": (2, 3, 1), "b": (2, 1, 1), "c": (2, 1, 1)}, [Shortage("desk", "s0", 5, 4, 2)]),
        ({"a": (2, 0, 1), "b": (2, 0, 0), "c": (2, 0, 0)}, [Shortage("desk", "s0", 0, 4, 0)]),
        ({}, [Shortage("desk", "s0", 0, 0, 0)]),
    ],
)
def test_the_capacity_check_counts_what_remains(rows, expected):
    load = FakeLoad()
    load.rows = {name: ShardLoad("desk", "s0", name, *figures) for name, figures in rows.items()}
    assert shortages(catalogue(), load, {"a"}) == expected


@pytest.mark.parametrize(("maps", "count"), [({"desk": "m"}, 1), ({"desk": "m2"}, 0), ({}, 1), ({"desk": "m3"}, 1)])
def test_only_shards_of_the_best_snapshot_count(maps, count):
    """Guards against an old map that blocks a drain, and against counting no shard when the map is not known."""
    load = FakeLoad()
    load.rows, load.maps = {}, maps
    whole = catalogue()
    whole = whole.apply(Entry(9, "op", PutShardMap(ShardMap(id="m2", service="desk", shards=("t0",)))))
    assert len(shortages(whole, load, {"a"})) == count


async def test_a_drain_is_done_only_when_in_force_and_idle():
    """Guards against reporting a drain done while a host still sends or work is in flight."""
    fleet = Fleet()
    fleet.set_host("h3", generation=2)
    fleet.load.in_flight_by_domain["a"] = {"h1": 2}
    generation = await drained(fleet)
    await run_for(fleet, 10)
    assert fleet.domain("a").state is DomainState.DRAINING
    fleet.set_host("h3", generation=generation)
    await run_for(fleet, 10)
    assert fleet.moves[1].move("a", generation).state is MoveState.IN_PROGRESS
    fleet.load.in_flight_by_domain["a"] = {}
    await run_for(fleet, 10)
    assert fleet.domain("a").state is DomainState.DRAINED
    assert fleet.moves[1].move("a", generation).state is MoveState.DONE
    assert len(fleet.head.entries) == 2


@pytest.mark.parametrize(("silent_s", "ends"), [(2.9, False), (3.0, True)])
async def test_a_host_silent_during_a_drain_counts_as_confirmed_after_3_s(silent_s, ends):
    """Guards against a dead host that blocks a drain, and against counting a live one as dead."""
    fleet = Fleet()
    generation = await drained(fleet)
    fleet.set_host("h3", generation=2, silent_s=silent_s)
    fleet.load.in_flight_by_domain["a"] = {"h3": 4}
    await run_for(fleet, 10)
    assert (fleet.moves[0].move("a", generation).state is MoveState.DONE) is ends


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 0, "busy": 0, "replicas": 0},
        {"slots": 2, "busy": 9, "replicas": 1},
    ],
)
async def test_a_shortage_of_capacity_or_coverage_during_a_drain_rolls_it_back(change):
    """Guards against a drain that continues although the remaining domains can no longer carry the load."""
    fleet = Fleet()
    fleet.set_host("h3", generation=2)
    generation = await drained(fleet)
    await run_for(fleet, 3)
    for name in "bc":
        fleet.load.set(name, **change)
    await run_for(fleet, 0.7)
    assert fleet.domain("a").state is DomainState.DRAINING, "one late heartbeat must not end a drain"
    await run_for(fleet, 8)
    progress = fleet.moves[1].move("a", generation)
    assert (progress.state, fleet.domain("a").state) == (MoveState.ROLLED_BACK, DomainState.ACTIVE)
    assert "desk shard s0" in progress.reason


async def test_a_forced_drain_is_not_rolled_back():
    fleet = Fleet(FakeLoad(busy=3))
    refused = await fleet.moves[0].drain("a", 1, "op")
    assert refused == CapacityShort((Shortage("desk", "s0", 9, 4, 2),))
    assert fleet.head.entries == []
    await drained(fleet, force=True)
    await run_for(fleet, 10)
    assert fleet.domain("a").state is DomainState.DRAINED


async def test_racing_drains_of_two_domains_do_not_take_out_both():
    """Guards against two checks that each rely on the domain which the other takes out."""
    fleet = Fleet(FakeLoad(busy=1))
    outcomes = {}

    async def drain(host, name, expected):
        outcomes[name] = await fleet.moves[host].drain(name, expected, f"op-{name}")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(drain, 0, "a", 1)
        tasks.start_soon(drain, 1, "b", 2)
    accepted = [outcome for outcome in outcomes.values() if isinstance(outcome, ChangeAccepted)]
    refused = [outcome for outcome in outcomes.values() if isinstance(outcome, CapacityShort)]
    assert len(accepted) == len(refused) == 1
    assert refused[0].shortages == (Shortage("desk", "s0", 3, 2, 1),)


async def test_a_check_on_a_lagging_host_is_not_accepted():
    """Guards against a check that relies on a domain which is drained already, unknown to this host."""
    fleet = Fleet(FakeLoad(busy=1))
    fleet.logs[1].frozen = True
    fleet.logs[1].catalogue  # noqa: B018
    await drained(fleet)
    outcome = await fleet.moves[1].drain("b", 2, "op-b")
    assert isinstance(outcome, ChangeInvalid)
    assert outcome.field == "relies_on"
    assert fleet.domain("b").state is DomainState.ACTIVE


async def test_of_two_drains_that_exceed_capacity_the_later_is_rolled_back_first():
    fleet = Fleet()
    fleet.set_host("h3", generation=2)
    first = await drained(fleet)
    second = await drained(fleet, "b", 2)
    fleet.load.set("a", busy=0.5)
    fleet.load.set("c", busy=2.5)
    await run_for(fleet, 12)
    assert fleet.moves[0].move("b", second).state is MoveState.ROLLED_BACK
    assert fleet.moves[0].move("a", first).state is MoveState.IN_PROGRESS


@pytest.mark.parametrize("host", [0, 1])
async def test_a_drain_completes_on_any_host_that_is_left(host):
    """Guards against a drain that never ends because the host that watched it was lost."""
    fleet = Fleet()
    generation = await drained(fleet)
    fleet.set_host("h2" if host == 0 else "h1", generation=2, silent_s=60)
    await run_for(fleet, 5, hosts=(host,))
    assert fleet.moves[host].move("a", generation).state is MoveState.DONE


async def test_a_store_outage_after_acceptance_delays_the_end_only():
    """Guards against a drain that is lost, or reported as done, because its end could not be recorded."""
    fleet = Fleet()
    generation = await drained(fleet)
    fleet.head.fault = "down"
    await run_for(fleet, 20)
    assert fleet.moves[0].move("a", generation).state is MoveState.IN_PROGRESS
    assert not fleet.head.catalogue.takes_work("a")
    fleet.head.fault = None
    await run_for(fleet, 20)
    assert fleet.moves[0].move("a", generation).state is MoveState.DONE


async def test_a_lost_answer_to_the_write_that_ends_a_drain_is_resolved():
    fleet = Fleet()
    generation = await drained(fleet)
    fleet.head.fault = "lost"
    await run_for(fleet, 10)
    assert fleet.moves[0].move("a", generation).state is MoveState.DONE
    assert len(fleet.head.entries) == 2


async def test_an_outage_a_silent_host_and_a_shortage_at_once_roll_back():
    """Guards against a drain that ends as done after the outage although capacity became too low during it."""
    fleet = Fleet()
    fleet.set_host("h3", generation=2)
    generation = await drained(fleet)
    fleet.head.fault = "down"
    fleet.set_host("h3", generation=2, silent_s=10)
    for name in "bc":
        fleet.load.set(name, replicas=0)
    await run_for(fleet, 20)
    fleet.head.fault = None
    await run_for(fleet, 20)
    assert fleet.moves[0].move("a", generation).state is MoveState.ROLLED_BACK


async def test_a_restore_during_a_drain_supersedes_the_drain():
    fleet = Fleet()
    fleet.set_host("h3", generation=2)
    generation = await drained(fleet)
    restored = await fleet.moves[1].restore("a", generation, "op-restore", "changed my mind")
    await run_for(fleet, 10)
    drain = fleet.moves[0].move("a", generation)
    assert (drain.state, drain.reason) == (
        MoveState.SUPERSEDED,
        f"active since generation {restored.generation}: changed my mind",
    )
    assert fleet.moves[0].move("a", restored.generation).state is MoveState.IN_PROGRESS
    fleet.set_host("h3", generation=restored.generation)
    assert fleet.moves[0].move("a", restored.generation).state is MoveState.DONE


async def test_a_repeated_drain_gets_its_first_result():
    """Guards against refusing, for capacity or as a conflict, a drain that was accepted when its answer was lost."""
    fleet = Fleet()
    fleet.logs[1].frozen = True
    fleet.logs[1].catalogue  # noqa: B018
    generation = await drained(fleet)
    assert await fleet.moves[0].drain("a", 1, "drain-a") == ChangeAccepted(generation, True, False)
    for name in "bc":
        fleet.load.set(name, replicas=0)
    assert await fleet.moves[1].drain("a", 1, "drain-a") == ChangeAccepted(generation, True, False)


async def test_a_move_that_is_not_possible_is_refused():
    fleet = Fleet()
    moves = fleet.moves[0]
    assert isinstance(await moves.drain("x", 1, "op-1"), ChangeInvalid)
    assert isinstance(await moves.restore("a", 1, "op-2"), ChangeInvalid)
    unknown = await moves.drain("a", 99, "op-3")
    assert (unknown.field, type(unknown)) == ("expected_generation", ChangeInvalid)
    assert isinstance(await moves.drain("a", 0, "op-4"), ChangeConflict)
    fleet.head.fault = "down"
    assert isinstance(await moves.drain("a", 1, "op-5"), ChangeNotAccepted)
    assert fleet.head.entries == []


async def test_a_watch_ends_with_the_move():
    fleet = Fleet()
    generation = await drained(fleet)
    seen = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.moves[1].run)
        async for progress in fleet.moves[0].watch("a", generation):
            seen.append(progress.state)
        tasks.cancel_scope.cancel()
    assert (seen[0], seen[-1]) == (MoveState.IN_PROGRESS, MoveState.DONE)


STEPS = st.one_of(
    st.tuples(st.just("drain"), st.integers(0, 1), st.sampled_from("abc")),
    st.tuples(st.just("restore"), st.integers(0, 1), st.sampled_from("abc")),
    st.tuples(st.just("store"), st.sampled_from([None, "down", "lost", "no_quorum"])),
    st.tuples(st.just("lag"), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("host"), st.sampled_from([None, 8, 9]), st.sampled_from([0.0, 2.9, 3.0])),
    st.tuples(st.just("load"), st.sampled_from("abc"), st.sampled_from([0.2, 1.5]), st.integers(0, 1)),
    st.tuples(st.just("flying"), st.sampled_from("abc"), st.integers(0, 1)),
    st.tuples(st.just("wait"), st.sampled_from([0.2, 1.5, 6.0])),
)


async def take(fleet, step, number):
    match step:
        case ("drain" | "restore" as call, host, name):
            current = fleet.logs[host].catalogue.domains[name]
            await getattr(fleet.moves[host], call)(name, current.generation, f"op-{number}")
        case ("store", fault):
            fleet.head.fault = fault
        case ("lag", host, frozen):
            fleet.logs[host].frozen = frozen
        case ("host", generation, silent_s):
            fleet.set_host("h3", generation, silent_s)
        case ("load", name, busy, replicas):
            fleet.load.set(name, slots=2 * replicas, busy=busy, replicas=replicas)
        case ("flying", name, count):
            fleet.load.in_flight_by_domain[name] = {"h1": count}
        case ("wait", seconds):
            await anyio.sleep(seconds)


def check_entry(fleet, entry):
    """Check what must hold at the moment a change is accepted."""
    domain = entry.change.domain
    match domain.state:
        case DomainState.DRAINING:
            assert shortages(fleet.head.catalogue, fleet.load, {domain.name}) == []
        case DomainState.DRAINED:
            hosts = fleet.logs[0].hosts["h3"]
            applied = "h3" in fleet.logs[0].following or hosts.generation >= domain.drain or hosts.silent_s >= 3.0
            assert applied
            assert not any(fleet.load.in_flight(domain.name).values())


@example([("drain", 0, "a"), ("wait", 6.0)], True, None)
@given(st.lists(STEPS, max_size=15), st.booleans(), st.sampled_from([None, 8]))
async def test_moves_stay_correct_under_any_faults(steps, in_flight_by_domain, generation):
    """Guards against drains without capacity, done too early or never ended, under any combination of faults."""
    fleet = Fleet()
    fleet.set_host("h3", generation)
    fleet.load.in_flight_by_domain = {name: {"h1": int(in_flight_by_domain)} for name in "abc"}
    propose = fleet.head.propose

    def checked(*arguments):
        count = len(fleet.head.entries)
        outcome = propose(*arguments)
        if len(fleet.head.entries) > count:
            check_entry(fleet, fleet.head.entries[-1])
        return outcome

    fleet.head.propose = checked
    async with anyio.create_task_group() as tasks:
        for moves in fleet.moves:
            tasks.start_soon(moves.run)
        for number, step in enumerate(steps):
            await take(fleet, step, number)
        fleet.head.fault = None
        fleet.set_host("h3")
        fleet.load.in_flight_by_domain = {}
        for log in fleet.logs:
            log.frozen = False
        await anyio.sleep(60)
        states = {domain.state for domain in fleet.head.catalogue.domains.values()}
        tasks.cancel_scope.cancel()
    assert DomainState.DRAINING not in states


async def test_racing_drains_and_a_killed_host_over_the_real_configuration():
    """Guards against a change log that differs from the fake in what the moves rely on."""
    async with anyio.create_task_group() as tasks:
        fleet = ControlFleet(tasks, 3)
        fleet.start_all(3)
        await anyio.sleep(3)
        log = fleet.controls["h0"].configuration
        for number, change in enumerate(CHANGES):
            assert isinstance(await log.propose(change, 0, f"build-{number}"), ChangeAccepted)
        await anyio.sleep(2)
        load = FakeLoad(busy=1)
        moves = {name: DomainMoves(fleet.controls[name].configuration, load, name) for name in ("h0", "h1", "h2")}
        outcomes = {}

        async def drain(host, name, expected):
            outcomes[name] = await moves[host].drain(name, expected, f"op-{name}")

        async with anyio.create_task_group() as racing:
            racing.start_soon(drain, "h0", "a", 1)
            racing.start_soon(drain, "h1", "b", 2)
        assert {type(outcome) for outcome in outcomes.values()} == {ChangeAccepted, CapacityShort}
        (name,) = (name for name, outcome in outcomes.items() if isinstance(outcome, ChangeAccepted))
        generation = outcomes[name].generation
        repeated = await moves["h2"].drain(name, " ab".index(name), f"op-{name}")
        assert repeated == ChangeAccepted(generation, True, False)
        fleet.kill("h0")
        tasks.start_soon(moves["h1"].run)
        tasks.start_soon(moves["h2"].run)
        with anyio.fail_after(10):
            async for progress in moves["h2"].watch(name, generation):
                state = progress.state
        tasks.cancel_scope.cancel()
    assert state is MoveState.DONE
