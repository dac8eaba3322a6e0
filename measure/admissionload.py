"""Measure what callers get under load, with the admission to leaves and without it, in virtual time."""

import argparse
from collections import Counter
from functools import partial

import anyio

from hawthornbridge.ids import RouteName, ServiceName
from hawthornbridge.routing import Forward, Gather, Route, WeightedService
from standins.leafload import LoadedGateway, Traffic
from standins.virtualtime import VirtualTimeLoop

LEAVES = 3
SLOTS = 2
SHARDS = tuple(ServiceName(f"s{number}") for number in range(6))
SWEEP = Route(RouteName("sweep"), "h.example", b"/sweep/", True, 0.805, 0.235, 2, Gather(SHARDS, 5, 0.95), priority=1)
CHECK = Route(RouteName("check"), "h.example", b"/check/", True, 0.407, 0.12, 2, Gather(SHARDS, 5, 0.85), priority=0)
FETCH = Route(
    RouteName("fetch"),
    "h.example",
    b"/fetch/",
    True,
    4.0,
    1.276,
    2,
    Forward((WeightedService(ServiceName("f"), 1.0),)),
    priority=2,
)
WORK_S = {"sweep": 0.03, "check": 0.01, "fetch": 0.18}


def _capacity(route: Route) -> float:
    """Return how many requests of a route its leaves can run in a second."""
    return LEAVES * SLOTS / WORK_S[route.name]


async def _play(traffic: tuple[Traffic, ...], *, has_admission: bool, seed: int) -> str:
    world = LoadedGateway(
        (SWEEP, CHECK, FETCH), WORK_S, leaves=LEAVES, slots=SLOTS, has_admission=has_admission, seed=seed
    )
    results = await world.play(*traffic)
    parts = []
    for route in dict.fromkeys(each.route for each in traffic):
        chosen = [result for result in results if result.route == route.name]
        in_time = sum(result.is_in_time for result in chosen)
        last = Counter(result.statuses[-1] for result in chosen)
        duration_s = max(each.until_s for each in traffic if each.route is route)
        parts.append(
            f"{route.name}: asked {len(chosen)}, in time {in_time / len(chosen):.3f}, of the capacity"
            f" {in_time / (_capacity(route) * duration_s):.3f}, last status {dict(sorted(last.items()))}"
        )
    return "; ".join(parts)


def _loads() -> dict[str, tuple[Traffic, ...]]:
    loads: dict[str, tuple[Traffic, ...]] = {}
    for route, until_s in ((SWEEP, 3.0), (FETCH, 8.0)):
        for factor in (0.8, 1.0, 2.0):
            traffic = Traffic(route, _capacity(route) * factor, until_s=until_s, retries=1)
            loads[f"{route.name} at {factor} of the capacity"] = (traffic,)
    steady = (
        Traffic(CHECK, _capacity(CHECK) * 0.15, until_s=3.0, retries=1),
        Traffic(SWEEP, _capacity(SWEEP) * 0.6, until_s=3.0, retries=1),
    )
    burst = Traffic(SWEEP, _capacity(SWEEP) * 0.9, from_s=1.0, until_s=2.0, retries=1)
    loads["urgent and less urgent, steady"] = steady
    loads["urgent steady, less urgent x 2.5 for 1 s"] = (*steady, burst)
    return loads


def main() -> None:
    """Play each load with both, and print what callers got."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for name, traffic in _loads().items():
        for has_admission in (False, True):
            play = partial(_play, traffic, has_admission=has_admission, seed=seed)
            outcome = anyio.run(play, backend="asyncio", backend_options={"loop_factory": VirtualTimeLoop})
            print(f"{name}, {'with' if has_admission else 'without'} admission: {outcome}", flush=True)


if __name__ == "__main__":
    main()
