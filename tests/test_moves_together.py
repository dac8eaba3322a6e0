"""Moves that run at the same time; each has tests of its own in test_domains, test_decider and test_rollouts."""

import anyio
import pytest

from hawthornbridge.acceptance import ChangeAccepted
from hawthornbridge.decider import Decider
from hawthornbridge.domains import DomainMoves
from hawthornbridge.ids import HostId, Incarnation, OperationId
from hawthornbridge.model import DomainState, PutRollout, PutVersion, Rollout, RolloutState, Version, fold
from hawthornbridge.rollouts import StepAssessment
from standins.memorystore import MemoryStore, StoreFaults, StoreState
from tests.operatorfakes import CHANGES, FakeChangeLog, FakeHead, FakeLoad

TIME_MS = 60_000


class FixedAssessment:
    """Gives every rollout the same assessment."""

    def __init__(self):
        self.result = StepAssessment(judged=True, suspicious=False, cut=None)

    def assess(self, rollout):
        return self.result


class Fleet:
    """One host with a rollout of its only service under way, ready to drain domain a."""

    def __init__(self, tasks):
        rollout = Rollout(service="desk", old="v1", new="v2", steps=(0.05, 0.2), started_ms=0, finish_by_ms=TIME_MS)
        versions = [PutVersion(Version(service="desk", name=name)) for name in ("v1", "v2")]
        self.head = FakeHead(fold([*CHANGES, *versions, PutRollout(rollout)]))
        self.log = FakeChangeLog(self.head)
        self.load, self.judge, self.faults = FakeLoad(), FixedAssessment(), StoreFaults()
        self.moves = DomainMoves(self.log, self.load, HostId("h1"))
        store = MemoryStore(StoreState(), self.faults)
        decider = Decider(
            store, self.log, self.judge, HostId("h1"), Incarnation(1), lambda: int(anyio.current_time() * 1_000)
        )
        tasks.start_soon(self.moves.run)
        tasks.start_soon(decider.run)

    @property
    def states(self):
        return self.head.catalogue.domains["a"].state, self.head.catalogue.rollouts["desk"].state

    async def drain(self):
        generation = self.head.catalogue.domains["a"].generation
        assert isinstance(await self.moves.drain("a", generation, OperationId("drain")), ChangeAccepted)


@pytest.mark.anyio
async def test_a_domain_is_drained_while_a_rollout_goes_on():
    """Guards against moves that wait for each other, or whose generations conflict."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks)
        await anyio.sleep(20)
        await fleet.drain()
        await anyio.sleep(5)
        assert fleet.states == (DomainState.DRAINED, RolloutState.RUNNING)
        await anyio.sleep(TIME_MS / 1_000)
        assert fleet.states == (DomainState.DRAINED, RolloutState.DONE)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_bad_version_is_rolled_back_while_a_domain_drains():
    """Guards against a rollback that waits for a running drain."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks)
        await anyio.sleep(3)
        fleet.load.in_flight_by_domain["a"] = {"h1": 2}
        await fleet.drain()
        fleet.judge.result = StepAssessment(judged=True, suspicious=True, cut="failing on route read")
        await anyio.sleep(3)
        assert fleet.states == (DomainState.DRAINING, RolloutState.ROLLED_BACK)
        fleet.load.in_flight_by_domain["a"] = {}
        await anyio.sleep(3)
        assert fleet.states[0] is DomainState.DRAINED
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_store_outage_holds_both_moves_and_both_end_after_it():
    """Guards against a move that is lost, or goes forward, while nothing can be recorded."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks)
        await anyio.sleep(3)
        fleet.load.in_flight_by_domain["a"] = {"h1": 2}
        await fleet.drain()
        fleet.head.fault, fleet.faults.unavailable = "down", True
        fleet.load.in_flight_by_domain["a"] = {}
        accepted = len(fleet.head.entries)
        await anyio.sleep(35)
        assert len(fleet.head.entries) == accepted
        fleet.head.fault, fleet.faults.unavailable = None, False
        await anyio.sleep(TIME_MS / 1_000)
        assert fleet.states == (DomainState.DRAINED, RolloutState.DONE)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_upstreams_that_turn_cold_during_a_drain_bring_the_domain_back():
    """Guards against a drain that continues although the remaining domains can no longer carry the load."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks)
        await anyio.sleep(3)
        fleet.load.in_flight_by_domain["a"] = {"h1": 2}
        await fleet.drain()
        for domain in "bc":
            fleet.load.set(domain, replicas=0)
        await anyio.sleep(4)
        assert fleet.states[0] is DomainState.ACTIVE
        tasks.cancel_scope.cancel()
