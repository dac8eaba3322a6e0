"""Profile one daemon of a fleet under steady load, and print its processor time by module and function."""

import cProfile
import os
import pstats
import sys
import tempfile
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import anyio
import cappa

from hawthornbridge import daemon
from measure.deployments import KOTTAYAM
from measure.fleet import ProcessFleet
from measure.scenarios import POLICY
from measure.trials import Trial

__all__ = ["group_of", "shares"]

# Path of the profile; an environment variable, because the daemon's settings have no field for it.
PROFILE_VARIABLE = "HAWTHORNBRIDGE_PROFILE"
LIBRARIES = ("anyio", "httpcore", "h11", "httptools", "uvicorn", "prometheus_client", "pynng", "eliot", "hdrh")
TOP_FUNCTIONS = 25
STOP_WAIT_S = 15.0


def group_of(file: str) -> str:
    """Return the daemon module or the library that a source file belongs to."""
    parts = Path(file).parts
    if "hawthornbridge" in parts and "site-packages" not in parts:
        return f"hawthornbridge/{parts[-1]}"
    for library in LIBRARIES:
        if library in parts:
            return library
    if "asyncio" in parts or parts[-1:] == ("selectors.py",):
        return "asyncio"
    return "built-in functions" if file == "~" else "others"


def shares(times: dict[str, float]) -> list[tuple[str, float]]:
    """Return each group's share of the total time, largest first."""
    total = sum(times.values()) or 1.0
    return sorted(((group, spent / total) for group, spent in times.items()), key=lambda item: -item[1])


def _functions(path: Path) -> dict[tuple[str, int, str], tuple[int, float]]:
    """Return the calls and own time of each function, except the event loop's wait for events."""
    table: Any = pstats.Stats(str(path))
    return {
        function: (calls, own_s)
        for function, (_, calls, own_s, _, _) in table.stats.items()
        if "epoll" not in function[2]
    }


def _print(path: Path) -> None:
    functions = _functions(path)
    groups: dict[str, float] = defaultdict(float)
    for (file, _, _), (_, own_s) in functions.items():
        groups[group_of(file)] += own_s
    total_s = sum(groups.values())
    print(f"own time {total_s:.2f} s without the wait for events")
    print("\n".join(f"| {group} | {share:.1%} |" for group, share in shares(groups) if share >= 0.005))
    ranked = sorted(functions.items(), key=lambda item: -item[1][1])[:TOP_FUNCTIONS]
    for (file, line, name), (calls, own_s) in ranked:
        print(f"| `{group_of(file)}:{line} {name}` | {calls} | {own_s / total_s:.1%} |")


@dataclass
class Command:
    """Run a fleet whose first daemon is profiled; profiling slows it down, so only shares of time are meaningful."""

    hosts: Annotated[int, cappa.Arg(long=True)] = 7
    per_s: Annotated[float, cappa.Arg(long=True)] = 25.0
    duration_s: Annotated[float, cappa.Arg(long=True)] = 15.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    save: Annotated[Path, cappa.Arg(long=True)] = Path(tempfile.gettempdir()) / "hawthornbridge-profile.out"


async def _profiled_fleet(command: Command) -> None:
    os.environ[PROFILE_VARIABLE] = str(command.save)
    fleet = ProcessFleet(KOTTAYAM, POLICY, hosts=command.hosts, seed=command.seed, wrapper=("-m", "measure.profile"))
    async with fleet:
        trial = Trial(fleet, command.per_s, command.duration_s, "policy")
        await trial.warm_up()
        async with trial.load():
            pass
        assert trial.figures is not None
        print(f"{trial.figures.requests} queries")
        fleet.daemons[0].terminate()
        with anyio.move_on_after(STOP_WAIT_S):
            while fleet.daemons[0].poll() is None:
                await anyio.sleep(0.1)


def _profiled_daemon() -> None:
    """Run the daemon, with a profile if it is the host of seat 0."""
    if not any(argument.endswith("entry-0.jsonc") for argument in sys.argv):
        daemon.main()
        return
    profile = cProfile.Profile()
    try:
        profile.runcall(daemon.main)
    finally:
        profile.dump_stats(os.environ[PROFILE_VARIABLE])


def main() -> None:
    """Run the measurement, or a daemon of its fleet if settings are given."""
    if "--settings" in sys.argv:
        _profiled_daemon()
        return
    command = cappa.parse(Command)
    command.save = command.save.absolute()
    anyio.run(_profiled_fleet, command)
    _print(command.save)


if __name__ == "__main__":
    main()
