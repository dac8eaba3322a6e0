"""Run the scenarios against daemons on loopback and write docs/measurements.md."""

import json
import signal
import sys
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from measure.fleet import ProcessFleet
from measure.report import Result, merge_page, section, table_rows
from measure.scenarios import NAIVE, POLICY, SCENARIOS, Scenario
from measure.trials import Trial

PAGE = Path(__file__).parent.parent / "docs" / "measurements.md"


@dataclass
class Command:
    """Measure the policy and the naive baseline under equal load."""

    only: Annotated[list[str], cappa.Arg(long=True, help="Run only this scenario; may be repeated.")]
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the load.")] = 1
    hosts: Annotated[int, cappa.Arg(long=True, help="Number of daemons.")] = 7
    json: Annotated[bool, cappa.Arg(long=True, help="Print the results as JSON and write no page.")] = False

    def command_line(self) -> str:
        """Return the command line that repeats this run."""
        only = "".join(f" --only {name}" for name in self.only)
        return f"python -m measure.run{only} --seed {self.seed} --hosts {self.hosts}"


async def _run_trial(scenario: Scenario, plugins: dict[str, str], policy: str, command: Command) -> Trial:
    fleet = ProcessFleet(scenario.deployment, plugins, hosts=command.hosts, seed=command.seed, **scenario.options)
    async with fleet:
        trial = Trial(fleet, scenario.per_s, scenario.duration_s, policy)
        _progress(f"{scenario.name}, {policy}: warming up")
        await trial.warm_up()
        _progress(f"{scenario.name}, {policy}: measuring")
        await scenario.procedure(trial)
    return trial


async def _run(scenario: Scenario, command: Command) -> Result:
    load = f"{scenario.per_s:g} searches/s over {scenario.deployment.search.shards} shards, {command.hosts} hosts"
    result = Result(scenario.name, f"{scenario.deployment.name}: {scenario.title}", load)
    naive = await _run_trial(scenario, NAIVE, "naive", command) if scenario.baseline else None
    policy = await _run_trial(scenario, POLICY, "policy", command)
    if scenario.compare is not None and naive is not None:
        scenario.compare(policy, naive)
    for trial in filter(None, (policy, naive)):
        assert trial.figures is not None
        result.figures[trial.policy] = trial.figures
    result.targets = policy.targets
    result.naive_targets = naive.targets if naive is not None else []
    return result


def _progress(text: str) -> None:
    print(f"{datetime.now(UTC):%H:%M:%S} {text}", file=sys.stderr, flush=True)


def main() -> None:
    """Run the scenarios one after the other; a failed one is reported and the others still run."""
    command = cappa.parse(Command)
    names = [scenario.name for scenario in SCENARIOS]
    if unknown := [name for name in command.only if name not in names]:
        sys.exit(f"measure: no scenario {', '.join(unknown)}; there are {', '.join(names)}")
    # SIGTERM raises SystemExit, so that the fleet ends its child processes; otherwise they would outlive the parent.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("measure: stopped"))
    failed = []
    for scenario in SCENARIOS:
        if command.only and scenario.name not in command.only:
            continue
        try:
            result = anyio.run(_run, scenario, command)
        except Exception as error:
            _progress(f"{scenario.name} failed: {error!r}")
            failed.append(scenario.name)
            continue
        if command.json:
            print(json.dumps(asdict(result)), flush=True)
            continue
        print(
            "\n".join([scenario.name, *table_rows(result), *(target.line() for target in result.targets)]), flush=True
        )
        date = f"{datetime.now(UTC):%Y-%m-%d %H:%M} UTC"
        part = section(result, command.command_line(), date)
        PAGE.write_text(merge_page(PAGE.read_text(), {scenario.name: part}, names))
    if failed:
        sys.exit(f"measure: failed: {', '.join(failed)}")


if __name__ == "__main__":
    main()
