"""Daemons of the fault soak: their settings, processes and signals."""

import asyncio
import os
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from measure.soakduty import DUTY_BOUNDS
from standins.faultproxy import FaultProxy
from standins.ports import free_port

__all__ = ["MEMORY_MB", "REVOKE_S", "SIGNALLED_AT_START", "SoakHost", "prepare_host"]

POLL_INTERVAL_S = 0.02
RESTART_DELAY_S = 0.5
END_LIMIT_S = 5.0
# A signal in the start of the interpreter, before the first line of the program, can't be handled by it.
SIGNALLED_AT_START = "signalled at its start"
INTERPRETER_START_S = 1.0

ROOT = Path(__file__).parent.parent
SETTINGS = """
node: "n{number}"
ip: "{ip}"
zone: "z{number}"
zones: {{z1: "r1", z2: "r1", z3: "r1"}}
listen: {{front: "{ip}:{front}", ready: "{ip}:{ready}", directory: "{ip}:{directory}", control: "{ip}:{control}"}}
seeds: [{seeds}]
platform: {{address: "{store}"}}
limits: {{memory_mb: {memory_mb}, max_fds: 1000}}
share_leaf_reports: true
bounds: {{{bounds}}}
"""
REVOKE_S = 3.0
BOUNDS = (
    "grace_s: 3, retry_budget_slack: {retry_slack}, exposure_share: 0.1, exposure_slack: 50, "
    f"strict_revoke: true, revoke_ms: {REVOKE_S * 1_000:.0f}, {DUTY_BOUNDS}"
)
RETRY_SLACK = 60
# Memory of a host's machine, as its settings state it.
MEMORY_MB = 128
# Length of the part of a settings file that a host finds if it reads the file during a write.
HALF_WRITTEN_BYTES = 60


@dataclass
class SoakHost:
    """One daemon, with its settings file, log and process."""

    number: int
    settings: Path
    log: Path
    ip: str
    ports: dict[str, int]
    proxy: FaultProxy
    # The correct settings, to which the file is restored after a fault.
    text: str
    process: subprocess.Popen[bytes] | None = None
    # Times at which the host was started, paused, stopped or killed, on the monotonic clock.
    disturbed_s: list[float] = field(default_factory=list)
    _started: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _restart_delay_s: float = RESTART_DELAY_S

    def start(self) -> None:
        """Start the process with the deploy file's command."""
        # The command does without the folder of installed packages, which the platform names by a variable.
        packages = sysconfig.get_path("purelib")
        environment = os.environ | {"HAWTHORNBRIDGE_SETTINGS": str(self.settings), "PYTHONPATH": packages}
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *_deployed_arguments()], cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self._started.append(self.process)
        self.disturbed_s.append(time.monotonic())

    async def supervise(self, on_own_exit: Callable[[str], None]) -> None:
        """Run the process and start it again after each of its ends; only this task starts it.

        on_own_exit is called with a description of an exit that no signal of the soak has caused.
        """
        self.start()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.process is None or self.process.poll() is None:
                continue
            exit_text = self._own_exit(self.process)
            if exit_text is not None:
                on_own_exit(exit_text)
            await asyncio.sleep(self._restart_delay_s)
            self._restart_delay_s = RESTART_DELAY_S
            self.start()

    async def stop(self, limit_s: float) -> None:
        """Stop the process as the platform does, and kill it if it has not ended within the limit."""
        process = self.process
        self.signal(signal.SIGTERM)
        if process is not None and not await _has_ended(process, limit_s):
            # The process may be paused by another fault.
            process.kill()

    def kill(self, restart_delay_s: float) -> None:
        """Kill the process, which is started again after a delay."""
        self._restart_delay_s = restart_delay_s
        self.signal(signal.SIGKILL)

    async def end(self) -> list[int]:
        """Kill every process that was ever started, and return the ids of those that still run."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
        return [process.pid for process in self._started if not await _has_ended(process, END_LIMIT_S)]

    def change_settings(self, retry_slack: int, *, half_written: bool) -> None:
        """Write the settings with another retry budget, or only their first bytes."""
        lines = self.text.splitlines()
        bounds = f"bounds: {{{BOUNDS.format(retry_slack=retry_slack)}}}"
        text = "\n".join([line for line in lines if not line.startswith("bounds:")] + [bounds])
        self.settings.write_text(text[:HALF_WRITTEN_BYTES] if half_written else text)

    def restore_settings(self) -> None:
        """Write the correct settings."""
        self.settings.write_text(self.text)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(number)
        if number is not signal.SIGHUP:
            self.disturbed_s.append(time.monotonic())

    def is_undisturbed(self, from_s: float, to_s: float) -> bool:
        """Return whether the host was not started, paused, stopped or killed in a span of the monotonic clock."""
        return not any(from_s <= at_s <= to_s for at_s in self.disturbed_s)

    def failed_tasks(self) -> list[str]:
        """Return the log lines on background tasks that ended with an unexpected error."""
        return [line for line in self.log.read_text().splitlines() if '"message_type":"task_failed"' in line]

    def _own_exit(self, process: subprocess.Popen[bytes]) -> str | None:
        code = process.returncode
        if code in (0, -signal.SIGKILL, -signal.SIGTERM):
            return None
        if code == -signal.SIGHUP and time.monotonic() - self.disturbed_s[-1] < INTERPRETER_START_S:
            return SIGNALLED_AT_START
        last = (self.log.read_text().splitlines() or [""])[-1]
        return f"code {code}: {last}"


async def _has_ended(process: subprocess.Popen[bytes], limit_s: float) -> bool:
    end_s = time.monotonic() + limit_s
    while process.poll() is None:
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


def _deployed_arguments() -> list[str]:
    text = (ROOT / "deploy" / "system.toml").read_text()
    command: str = tomllib.loads(text)["roles"]["entry"]["run"]
    return command.split()[1:]


def prepare_host(
    number: int, folder: Path, proxy: FaultProxy, others: Sequence[SoakHost], added_settings: str = ""
) -> SoakHost:
    """Write the settings of a host that reaches the store through the proxy."""
    # Each run has its own loopback addresses, because all hosts use the same metrics port.
    ip = f"127.{os.getpid() % 200 + 10}.{os.getpid() // 200 % 250}.{number}"
    ports = {name: free_port(ip) for name in ("front", "ready", "directory", "control")}
    seeds = ", ".join(f'"{host.ip}:{host.ports["control"]}"' for host in others)
    path = folder / f"n{number}.yaml"
    bounds = BOUNDS.format(retry_slack=RETRY_SLACK)
    fields = {"seeds": seeds, "store": proxy.address, "bounds": bounds, "memory_mb": MEMORY_MB}
    text = SETTINGS.format(number=number, ip=ip, **fields, **ports)
    text += added_settings
    path.write_text(text)
    return SoakHost(number, path, folder / f"n{number}.log", ip, ports, proxy, text)
