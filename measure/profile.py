"""Profile one daemon of a fleet under steady load, and print where the processor time goes."""

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
from measure.stages import Stage

__all__ = ["group_of", "shares"]

# The daemon's own settings have no room for the file that the profile goes to.
PROFILE_VARIABLE = "HAWTHORNBRIDGE_PROFILE"
LIBRARIES = ("anyio", "httpcore", "h11", "httptools", "uvicorn", "prometheus_client", "pynng", "eliot", "hdrh")
TOP_FUNCTIONS = 25
STOP_WAIT_S = 15.0


def group_of(file: str) -> str:
    """Return the module of the daemon, or the library, that a function's file belongs to."""
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
    """Return each group's share of the sum, the largest first."""
    total = sum(times.values()) or 1.0
    return sorted(((group, spent / total) for group, spent in times.items()), key=lambda item: -item[1])


def _functions(path: Path) -> dict[tuple[str, int, str], tuple[int, float]]:
    """Return calls and own time of each function, without the wait for events."""
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
    """Run a fleet whose first daemon is profiled; the profile makes it slower, so shares count and not times."""

    hosts: Annotated[int, cappa.Arg(long=True)] = 7
    per_s: Annotated[float, cappa.Arg(long=True)] = 25.0
    duration_s: Annotated[float, cappa.Arg(long=True)] = 15.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    save: Annotated[Path, cappa.Arg(long=True)] = Path(tempfile.gettempdir()) / "hawthornbridge-profile.out"


async def _profiled_fleet(command: Command) -> None:
    os.environ[PROFILE_VARIABLE] = str(command.save)
    fleet = ProcessFleet(KOTTAYAM, POLICY, hosts=command.hosts, seed=command.seed, wrapper=("-m", "measure.profile"))
    async with fleet:
        stage = Stage(fleet, command.per_s, command.duration_s, "policy")
        await stage.warm_up()
        async with stage.load():
            pass
        assert stage.figures is not None
        print(f"{stage.figures.requests} queries")
        fleet.daemons[0].terminate()
        with anyio.move_on_after(STOP_WAIT_S):
            while fleet.daemons[0].poll() is None:
                await anyio.sleep(0.1)


def _profiled_daemon() -> None:
    """Run the daemon; only the host of seat 0 writes a profile."""
    if not any(argument.endswith("entry-0.jsonc") for argument in sys.argv):
        daemon.main()
        return
    profile = cProfile.Profile()
    try:
        profile.runcall(daemon.main)
    finally:
        profile.dump_stats(os.environ[PROFILE_VARIABLE])


def main() -> None:
    """Profile a daemon, or be the daemon that is profiled."""
    if "--settings" in sys.argv:
        _profiled_daemon()
        return
    command = cappa.parse(Command)
    command.save = command.save.absolute()
    anyio.run(_profiled_fleet, command)
    _print(command.save)


if __name__ == "__main__":
    main()
